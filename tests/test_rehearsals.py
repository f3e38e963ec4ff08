"""The judges of the long rehearsals see what is wrong; a short piece of the hours runs here."""

from __future__ import annotations

import tracemalloc
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from fernweir.audit.printed import Drained, Printed, TraceBook
from fernweir.console import views
from fernweir.console.state import ConsoleState
from fernweir.journal import state_projection
from fernweir.journal.events import EventKind
from fernweir.journal.state_projection import StateProjection
from fernweir.journal.store import Journal
from fernweir.rehearsal.hours import Hours, HoursPlan
from tests.helpers import SETTINGS

WIDE = replace(
    SETTINGS,
    streams_by_server_type=(60,),
    zone_count=24,
    rack_count=4,
    link_rate_per_weight_kbyte_s=40_000.0,
    uplink_rate_kbyte_s=200_000.0,
)
HEAD = "session phase lesson class box rung since"
BOXES = "box state plays out link uplink list drained by"


def runs(t: float, session: str, box: int, rung: int = 2) -> dict[str, Any]:
    return {"kind": "box.runs", "t": t, "box": box, "id": 1, "front": "f", "session": session, "attempt": 0,
            "title": "l", "cls": "c", "rung": rung}  # fmt: skip


TRACE = [
    runs(0.0, "a", 1),
    runs(0.0, "b", 1),
    runs(0.0, "c", 2),
    {"kind": "box.rung", "t": 5_000.0, "box": 1, "front": "f", "session": "b", "attempt": 0, "cls": "c",
     "rung": 3},
    {"kind": "box.end", "t": 9_000.0, "box": 2, "front": "f", "session": "c", "attempt": 0, "title": "l",
     "cls": "c", "why": "over"},
    {"kind": "box.setup", "t": 9_500.0, "box": 3, "id": 2, "front": "f", "session": "d", "attempt": 0,
     "title": "l", "cls": "c", "rung": 1},
]  # fmt: skip
TRUE = Printed(
    8_000.0, 8_010.0,
    [HEAD, "a playing l c 1 2 00:00:00", "b playing l c 1 3 00:00:00", "c playing l c 2 2 00:00:00"],
    [BOXES, "1 ready 2 0 [#...] 50% [#...] 50% ready", "2 draining 1 0 [#...] 50% [#...] 50% ready ann"],
    frozenset([2]),
)  # fmt: skip


def test_a_true_print_is_true() -> None:
    assert TraceBook(TRACE, 500.0).check(TRUE) == []


@pytest.mark.parametrize(
    ("change", "says"),
    [
        ({"sessions": [*TRUE.sessions[:3], "c playing l c 1 2 00:00:00"]}, "did not run there"),
        ({"sessions": TRUE.sessions[:3]}, "c ran at box 2 all the while"),
        ({"sessions": [*TRUE.sessions[:2], "b playing l c 1 2 00:00:00", TRUE.sessions[3]]}, "at rung 2"),
        ({"sessions": [*TRUE.sessions, "ghost playing l c 1 2 00:00:00"]}, "ghost is shown playing"),
        ({"sessions": [*TRUE.sessions, "what is this"]}, "can't be read"),
        ({"boxes": [BOXES, TRUE.boxes[1].replace("ready 2", "ready 3"), TRUE.boxes[2]]}, "is shown with 3"),
        ({"boxes": TRUE.boxes[:2]}, "box 2 is not shown"),
        ({"drained": frozenset([1, 2])}, "box 1 is shown ready"),
        ({"drained": frozenset()}, "nobody drained it"),
    ],
)
def test_a_wrong_print_is_caught(change: dict[str, Any], says: str) -> None:
    wrong = TraceBook(TRACE, 500.0).check(replace(TRUE, **change))
    assert any(says in text for text in wrong), wrong


def test_a_set_up_past_the_grace_of_a_drain_is_caught() -> None:
    book = TraceBook(TRACE)
    assert book.after_drains([Drained(3, 9_000.0)], 1_000.0) == []
    assert book.after_drains([Drained(3, 8_000.0, 9_400.0)], 1_000.0) == []
    assert "1500 ms after its drain" in book.after_drains([Drained(3, 8_000.0)], 1_000.0)[0]


def test_the_judge_reads_what_the_views_print() -> None:
    shown, journal = ConsoleState(), Journal("f")
    journal.watchers.append(shown.projection.apply)
    for number in (1, 2, 3):
        named = {"session": f"s{number}", "title": "l", "cls": "c"}
        place = {"server": number, "attempt": 0, "rung": 1}
        journal.add(0.0, EventKind.SERVER, server=number, why="ready")
        journal.add(0.0, EventKind.REQUESTED, **named)
        journal.add(0.0, EventKind.SETUP, **place, **named)
        journal.add(0.0, EventKind.STARTED, **place, **named)
    journal.add(0.0, EventKind.SILENT, server=2)
    printed = Printed(
        5_000.0, 5_001.0,
        [*views.sessions(shown).head, *views.sessions(shown).rows],
        [*views.boxes(shown).head, *views.boxes(shown).rows],
    )  # fmt: skip
    trace = [runs(0.0, f"s{number}", number, 1) for number in (1, 2, 3)]
    assert TraceBook(trace).check(printed) == []
    assert len(TraceBook(trace[:2]).check(printed)) == 2  # the session, and its box's count


def test_a_quarter_of_an_hour_of_churn(tmp_path: Path) -> None:
    plan = HoursPlan(hours=0.25, rate=0.6, memory_bytes=100_000, disk_bytes=400_000)
    result = Hours(plan, WIDE, tmp_path, lambda text: None).run()
    assert result.wrong == [] and result.sessions > 400 and result.entries > 2_000


def test_hours_leave_no_tracing_behind(tmp_path: Path) -> None:
    """It once slowed every test after it fourfold."""
    Hours(HoursPlan(hours=0.01), SETTINGS, tmp_path, lambda text: None).run()
    assert not tracemalloc.is_tracing()


def test_hours_see_a_picture_that_is_wrong(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    kept = StateProjection._on_ended

    def forgets(self: StateProjection, entry: Any) -> None:
        if entry.number % 50:
            kept(self, entry)

    monkeypatch.setitem(state_projection.StateProjection._HANDLERS, EventKind.ENDED, forgets)
    plan = HoursPlan(hours=0.25, rate=0.6, play_ms=(10_000.0, 60_000.0))
    assert Hours(plan, WIDE, tmp_path, lambda text: None).run().wrong
