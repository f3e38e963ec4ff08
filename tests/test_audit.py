"""The auditor can fail: doctored traces and deliberately broken fronts, each caught by its rule."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from fernweir.audit import TraceError, audit_lines, render_table
from fernweir.front.commands import SessionReply
from fernweir.front.dispatcher import Dispatcher
from fernweir.front.session_manager import SessionManager
from fernweir.rehearsal.site import SitePlan
from fernweir.safety_rules import SafetyRules
from fernweir.standin.site import Cold, SiteClass, SiteTimes
from tests.scene import Scene, play
from tests.sockets import until

Trace = list[dict[str, Any]]
TERMS = {
    "t": 0, "kind": "terms", "rungs": 5, "drain_grace_ms": 1000.0,
    "classes": [{"name": "briefing", "floor": 1, "seats": 2, "effect": "repeatable"},
                {"name": "paid", "floor": 0, "seats": 0, "effect": "once"}],
    "budget": {"span_ms": 10000.0, "free": 1.0, "share": 0.1},
    "cold": {"warm_up_ms": 8000.0, "cold_from": 0.5, "multiple": 2.0, "window_ms": 2000.0},
}  # fmt: skip


def session(number: int, at: float, *, box: int = 1, attempt: int = 0, cls: str = "briefing") -> Trace:
    """One good session: asked, set up, answered, played, ended."""
    who = {"session": f"s{number}", "title": "t", "cls": cls}
    at_box = {"box": box, "front": "f", "attempt": attempt, **who}
    key = number * 10 + attempt
    return [
        {"t": at, "kind": "viewer.ask", "req": key, "front": "f", "wait_ms": 3000.0, **who},
        {"t": at + 5, "kind": "box.setup", "id": key, "rung": 2, **at_box},
        {"t": at + 20, "kind": "box.runs", "id": key, "rung": 2, **at_box},
        {"t": at + 21, "kind": "box.answer", "box": box, "id": key, "status": 200, "whole": True},
        {"t": at + 25, "kind": "viewer.answer", "req": key, "status": 200, "rungs": [1, 2]},
        {"t": at + 30, "kind": "box.segment", "box": box, "session": f"s{number}", "attempt": attempt,
         "cls": cls, "rung": 2, "status": 200},
        {"t": at + 1000, "kind": "box.end", "why": "left", **at_box},
    ]  # fmt: skip


def start(box: int, at: float, cold: bool) -> dict[str, Any]:
    return {"t": at, "kind": "box.start", "box": box, "boot": f"{box}", "cold": cold, "streams": 8}


def good() -> Trace:
    trace: Trace = [
        dict(TERMS),
        {"t": 1, "kind": "front.up", "front": "f"},
        start(1, 2, False),
        start(2, 3, True),
    ]
    trace.append({"t": 4, "kind": "list.told", "front": "f", "box": 1, "state": "ready", "version": 1})
    for number in range(1, 5):
        trace += session(number, number * 3000.0, box=1 + number % 2)
    return trace


def find(trace: Trace, kind: str, nth: int = 0) -> dict[str, Any]:
    return [record for record in trace if record["kind"] == kind][nth]


def broken_rules(trace: Trace) -> set[str]:
    return {finding.rule for finding in audit_lines(json.dumps(record) for record in trace).findings}


def told(trace: Trace, state: str, at: float) -> None:
    trace.append({"t": at, "kind": "list.told", "front": "f", "box": 2, "state": state, "version": 2})


def answered_late(trace: Trace) -> None:
    find(trace, "viewer.answer")["t"] += 3000


def answered_twice(trace: Trace) -> None:
    trace.append({**find(trace, "viewer.answer"), "t": 3100.0})


def never_answered(trace: Trace) -> None:
    trace.remove(find(trace, "viewer.answer"))


def cut_off(trace: Trace) -> None:
    answer = find(trace, "viewer.answer")
    trace[trace.index(answer)] = {
        "t": answer["t"],
        "kind": "viewer.cut",
        "req": answer["req"],
        "outcome": "reset",
    }


def odd_status(trace: Trace) -> None:
    find(trace, "viewer.answer").update(status=500, rungs=[])


def two_out(trace: Trace) -> None:
    find(trace, "box.answer")["t"] = 3300.0
    trace.append({**find(trace, "box.setup"), "t": 3010.0, "box": 3, "id": 999, "attempt": 1})


def still_out(trace: Trace) -> None:
    first = find(trace, "box.setup")
    trace.remove(find(trace, "box.answer"))
    trace.append({**first, "t": 3500.0, "id": 998, "attempt": 1})


def paid_twice(trace: Trace) -> None:
    trace += session(50, 20000.0, cls="paid")
    trace.append({**find(trace, "box.setup", -1), "t": 20900.0, "id": 997, "attempt": 1})


def sent_to_drained(trace: Trace) -> None:
    told(trace, "draining", 1500.0)


def sent_to_gone(trace: Trace) -> None:
    told(trace, "gone", 7000.0)


def pushed_over(trace: Trace) -> None:
    trace.append({"t": 5000.0, "kind": "box.stop", "box": 2, "why": "toppled"})


def herd(trace: Trace) -> None:
    for number in range(100, 106):
        trace += session(number, 100.0 + number, box=2, cls="paid")


def low_set_up(trace: Trace) -> None:
    find(trace, "box.setup")["rung"] = 0


def low_manifest(trace: Trace) -> None:
    find(trace, "viewer.answer")["rungs"] = [0, 1, 2]


def low_segment(trace: Trace) -> None:
    find(trace, "box.segment")["rung"] = 0


def low_change(trace: Trace) -> None:
    trace.append({"t": 3100.0, "kind": "box.rung", "box": 2, "front": "f", "session": "s1", "attempt": 0,
                  "cls": "briefing", "rung": 0})  # fmt: skip


def too_many_seats(trace: Trace) -> None:
    for number in (60, 61, 62):
        trace += session(number, 20000.0 + number)


def lease(number: int, **more: Any) -> dict[str, Any]:
    return {"t": 3000.0 + number, "kind": "seat.taken", "lease": f"L{number}", "front": "f", "session": "s1",
            "place": "t/l/c", "used": 1, "limit": 2, **more}  # fmt: skip


def over_leased(trace: Trace) -> None:
    trace.append(lease(1, used=3))


def leased_twice(trace: Trace) -> None:
    trace += [lease(1), lease(2)]


def too_many_tries(trace: Trace) -> None:
    for number in range(1, 5):
        trace.append({**find(trace, "box.setup", number - 1), "t": 15100.0 + number, "id": 700 + number,
                      "attempt": 1, "cls": "none", "session": f"x{number}"})  # fmt: skip


@pytest.mark.parametrize(
    ("rule", "doctor"),
    [
        ("1", answered_late), ("1", answered_twice), ("1", never_answered), ("1", cut_off), ("1", odd_status),
        ("2", two_out), ("2", still_out), ("2", paid_twice), ("3", sent_to_drained), ("3", sent_to_gone),
        ("4", pushed_over), ("4", herd), ("5", low_set_up), ("5", low_manifest), ("5", low_segment),
        ("5", low_change), ("5", too_many_seats), ("5", over_leased),
        ("5", leased_twice), ("6", too_many_tries),
    ],
)  # fmt: skip
def test_a_doctored_trace_is_caught(rule: str, doctor: Callable[[Trace], None]) -> None:
    trace = good()
    assert broken_rules(trace) == set()
    doctor(trace)
    assert rule in broken_rules(trace)
    auditor = audit_lines(json.dumps(record) for record in trace)
    finding = next(one for one in auditor.findings if one.rule == rule)
    assert 1 <= finding.line <= len(trace) and f"line {finding.line}" in render_table(auditor)


def test_what_the_rules_allow_is_not_caught() -> None:
    trace = good()
    told(trace, "draining", 5500.0)  # within the grace of the set-up at 6005
    told(trace, "ready", 6500.0)
    trace += [
        {"t": 30000.0, "kind": "viewer.ask", "req": 900, "front": "f", "session": "k", "title": "t",
         "cls": "briefing", "wait_ms": 3000.0},
        {"t": 30100.0, "kind": "front.down", "front": "f"},  # it was killed: nobody owes an answer
        {"t": 30110.0, "kind": "viewer.cut", "req": 900, "outcome": "reset"},
        {"t": 31000.0, "kind": "viewer.ask", "req": 901, "front": "f", "session": "k", "title": "t",
         "cls": "briefing", "wait_ms": 3000.0},
        {"t": 31001.0, "kind": "viewer.cut", "req": 901, "outcome": "refused"},
        {"t": 31002.0, "kind": "day", "what": "end"},
    ]  # fmt: skip
    assert broken_rules(trace) == set()


@pytest.mark.parametrize(
    ("line", "word"),
    [("no", "not JSON"), ('{"t": 1, "kind": "what"}', "kind"),
     ('{"t": "x", "kind": "front.up", "front": "f"}', "t"),
     ('{"t": 1, "kind": "front.up", "front": "f", "more": 1}', "more")],
)  # fmt: skip
def test_traces_that_cannot_be_read(line: str, word: str) -> None:
    with pytest.raises(TraceError, match=f"line 2.*{word}"):
        audit_lines([json.dumps(TERMS), line])
    with pytest.raises(TraceError, match="terms"):
        audit_lines(['{"t": 1, "kind": "front.up", "front": "f"}'])


# --- broken fronts, on sockets ---

QUICK = SiteTimes(tell=200.0, seen_after=50.0, set_up=(2.0, 6.0), idle=10_000.0, orphan=500.0)
PLAN = SitePlan(times=QUICK)
FREE = (SiteClass("briefing", 1.4, 1, seats=0, deadline_ms=900.0), SiteClass("training", deadline_ms=900.0))


async def crowd(scene: Scene) -> None:
    await asyncio.gather(*(scene.request_session(scene.wish(cls="briefing")) for _ in range(6)))


def test_a_front_that_holds_answers_back(monkeypatch: pytest.MonkeyPatch) -> None:
    plain = Dispatcher._execute

    def late(self: Dispatcher, command: Any) -> None:
        if isinstance(command, SessionReply):
            self.loop.call_later(1.2, plain, self, command)
        else:
            plain(self, command)

    monkeypatch.setattr(Dispatcher, "_execute", late)
    play(crowd, replace(PLAN, classes=FREE), broken=("1",))


def test_a_front_that_loses_answers(monkeypatch: pytest.MonkeyPatch) -> None:
    plain = Dispatcher._execute
    monkeypatch.setattr(
        Dispatcher,
        "_execute",
        lambda self, command: None if isinstance(command, SessionReply) else plain(self, command),
    )
    play(crowd, replace(PLAN, classes=FREE), broken=("1",))


def test_a_front_that_sets_up_each_request(monkeypatch: pytest.MonkeyPatch) -> None:
    plain = SessionManager.request_session

    def forgetful(self: SessionManager, now: float, ask: Any) -> None:
        self._table.by_id.pop(ask.session_id, None)
        plain(self, now, ask)

    monkeypatch.setattr(SessionManager, "request_session", forgetful)

    async def story(scene: Scene) -> None:
        for box in scene.site.boxes:
            scene.set_behaviour(box, late_ms=150.0)
        wish = scene.wish(wait_s=1)
        asks = [asyncio.ensure_future(scene.request_session(wish)) for _ in range(2)]
        await until(lambda: len(scene.records_of("box.setup")) == 2)
        await asyncio.gather(*asks)

    play(story, PLAN, broken=("2",))


def test_a_front_that_ignores_drains(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(SafetyRules, "is_eligible", lambda *args: True)
    monkeypatch.setattr(SessionManager, "is_attempt_wanted", lambda *args: True)

    async def story(scene: Scene) -> None:
        box = await scene.first_choice()
        scene.site.tell(box, "draining")
        await until(lambda: scene.fronts[0].core.sessions._servers.states[box].name == "DRAINING")
        said = scene.records_of("list.told", box=box, state="draining")[0]["t"]
        await until(lambda: scene.loop.time() * 1000 > said + 60)
        await scene.request_session(scene.wish())

    play(story, replace(PLAN, drain_grace_ms=50.0), broken=("3",))


def test_a_front_that_does_not_pace_cold_boxes(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(SafetyRules, "slow_start_admits", lambda *args: True)
    monkeypatch.setattr(SafetyRules, "slow_start_factor", lambda *args: 1.0)
    cold = Cold(warm_up_ms=10_000.0, cold_from=0.3, multiple=2.0, window_ms=1000.0)

    async def story(scene: Scene) -> None:
        box = await scene.first_choice()
        scene.site.boxes[box].die()
        await scene.site.restart(box)
        scene.site.tell(box)
        await asyncio.gather(*(scene.request_session(scene.wish(top=0)) for _ in range(12)))
        assert scene.site.boxes[box].toppled

    play(story, replace(PLAN, cold=cold, streams=10, link_kb=60_000.0), broken=("4",))


def test_a_front_told_other_terms(monkeypatch: pytest.MonkeyPatch) -> None:
    plain = Scene.start

    async def wrong(self: Scene, fronts: int) -> None:
        write = self.site.settings

        def settings(ordinal: int, port: int = 0, extra: str = "") -> Any:
            path = write(ordinal, port, extra)
            text = (
                path.read_text()
                .replace("lowest-rung = 1", "lowest-rung = 0")
                .replace("seats = 2", "seats = 0")
            )
            path.write_text(text)
            return path

        self.site.settings = settings  # type: ignore[method-assign]
        await plain(self, fronts)

    monkeypatch.setattr(Scene, "start", wrong)
    classes = (SiteClass("briefing", 1.4, 1, seats=2), SiteClass("training"))
    auditor = play(crowd, replace(PLAN, classes=classes), broken=("5",))
    texts = " ".join(finding.text for finding in auditor.findings)
    assert "seats" in texts and "floor" in texts


def test_a_front_that_knows_no_budget(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(SafetyRules, "is_within_retry_budget", lambda *args: True)

    async def story(scene: Scene) -> None:
        for box in scene.site.boxes:
            scene.set_behaviour(box, fail_share=1.0)
        await asyncio.gather(*(scene.request_session(scene.wish(), front=0) for _ in range(6)))

    play(story, replace(PLAN, budget=(10_000.0, 1.0, 0.1)), broken=("6",))
