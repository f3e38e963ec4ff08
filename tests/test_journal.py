"""The journal against a plain list: asked by any field, bounded, restarted, cut off, damaged, out of disk."""

from __future__ import annotations

import errno
import os
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from fernweir.journal.disk import JournalFolder
from fernweir.journal.events import Entry, EntryError, EventKind, from_row, to_row
from fernweir.journal.segment import Query
from fernweir.journal.state_projection import StateProjection
from fernweir.journal.store import Journal, JournalConfig

ENTRIES = st.tuples(
    st.sampled_from([EventKind.ASKED, EventKind.PLAYS, EventKind.REFUSED]),
    st.sampled_from(["", "a", "b", "c"]),
    st.sampled_from(["l0", "l1"]),
    st.integers(-1, 2),
    st.sampled_from(["", "full"]),
    st.integers(0, 5),
)
SMALL = JournalConfig(segment_entries=8, max_decoded_segments=2)


def fill(journal: Journal, count: int, start: int = 0) -> None:
    for number in range(start, start + count):
        journal.add(
            float(number), EventKind.PLAYS, session=f"s{number}", title=f"l{number % 7}", server=number % 5
        )


@given(
    st.lists(ENTRIES, max_size=60),
    st.sampled_from([None, "a", "b", "zz"]),
    st.dictionaries(
        st.sampled_from(["lesson", "box", "why"]), st.sampled_from(["l0", 1, "full"]), max_size=2
    ),
    st.integers(0, 80),
    st.integers(1, 80),
    st.integers(1, 6),
    st.integers(1, 70),
)
@hypothesis_settings(max_examples=150)
def test_it_finds_what_a_plain_scan_finds(
    rows: list[Any], session: str | None, equal: dict[str, object], since: int, span: int, limit: int,
    before: int,
) -> None:  # fmt: skip
    journal, plain, now = Journal("f", SMALL), [], 0.0
    for what, name, lesson, box, why, step in rows:
        now += step
        plain.append(journal.add(now, what, session=name, title=lesson, server=box, why=why))
    question = Query(session, equal, since, since + span)
    expected = [one for one in reversed(plain) if question.matches(one) and one.number < before]
    assert journal.find(question, limit, before) == expected[:limit]
    assert list(journal.entries(3, 20)) == plain[2:19]
    paged, following = [], before
    while following is not None:  # the same, a few segments at a time
        page, following = journal.search(question, limit, following, max_segments=1)
        paged += page
    assert paged == expected


def test_memory_stays_under_its_bound_and_the_oldest_leave_first() -> None:
    rules = JournalConfig(segment_entries=64, max_memory_bytes=60_000)
    journal = Journal("f", rules)
    fill(journal, 20_000)
    assert journal.memory_bytes <= rules.max_memory_bytes and 1 < journal.first < 20_000
    assert [one.number for one in journal.entries(0)] == list(range(journal.first, 20_001))
    assert journal.find(Query("s1")) == [] and journal.find(Query("s19999"))[0].number == 20_000


def test_what_leaves_memory_is_read_from_disk_until_the_disk_is_bounded_too(tmp_path: Path) -> None:
    folder = JournalFolder(tmp_path, max_bytes=60_000, file_bytes=10_000)
    journal = Journal("f", JournalConfig(segment_entries=64, max_memory_bytes=30_000), folder)
    journal.restore(*folder.open())
    fill(journal, 20_000)
    assert journal.memory_bytes <= 30_000 and folder.stored_bytes <= 70_000
    assert sum(path.stat().st_size for path in tmp_path.iterdir()) <= 80_000
    oldest = next(iter(journal.entries(0)))
    assert oldest.number == journal.first and 1 < oldest.number < 18_000
    assert journal.find(Query(oldest.session)) == [oldest]
    folder.close()


@pytest.mark.parametrize("cut", [0, 1, 30])
def test_killed_and_opened_again_it_has_what_was_written(tmp_path: Path, cut: int) -> None:
    folder = JournalFolder(tmp_path)
    journal = Journal("f", SMALL, folder)
    journal.restore(*folder.open())
    fill(journal, 83)
    expected = list(journal.entries(0))
    if cut:  # a kill may leave part of the newest row
        size = (tmp_path / "newest.rows").stat().st_size
        os.truncate(tmp_path / "newest.rows", size - cut)
        expected.pop()
    for _ in range(3):
        again = JournalFolder(tmp_path)
        life = Journal("f", SMALL, again)
        life.restore(*again.open())
        assert list(life.entries(0)) == expected and again.problems == []
        expected.append(life.add(500.0, EventKind.FRONT, why="up"))
        assert life.find(Query("s40"))[0].number == 41
        again.close()


def test_damage_is_said_and_the_rest_is_kept(tmp_path: Path) -> None:
    folder = JournalFolder(tmp_path, file_bytes=500)
    journal = Journal("f", SMALL, folder)
    journal.restore(*folder.open())
    fill(journal, 200)
    folder.close()
    files = sorted(tmp_path.glob("*.blocks"))
    data = bytearray(files[1].read_bytes())
    data[-3] ^= 0xFF
    files[1].write_bytes(data)
    files[2].write_bytes(b"what is this")
    again = JournalFolder(tmp_path, file_bytes=500)
    life = Journal("f", SMALL, again)
    life.restore(*again.open())
    assert len(again.problems) >= 2 and "damaged at byte" in again.problems[0]
    numbers = [one.number for one in life.entries(0)]
    assert numbers[0] == 1 and numbers[-1] == 200 and 100 < len(numbers) < 200
    again.close()


def test_zeros_that_a_lost_write_left_are_no_frames(tmp_path: Path) -> None:
    folder = JournalFolder(tmp_path)
    journal = Journal("f", SMALL, folder)
    journal.restore(*folder.open())
    fill(journal, 20)
    folder.close()
    with open(next(tmp_path.glob("*.blocks")), "ab") as file:
        file.write(bytes(100))
    again = JournalFolder(tmp_path)
    life = Journal("f", SMALL, again)
    life.restore(*again.open())
    assert [one.number for one in life.entries(0)] == list(range(1, 21)) and life.last == 20
    assert "100 bytes passed over" in again.problems[0]
    again.close()


def test_a_full_disk_is_said_once_and_the_journal_goes_on(tmp_path: Path) -> None:
    class Full(JournalFolder):
        full = False

        def append_row(self, entry: Entry) -> None:
            if self.full:
                raise OSError(errno.ENOSPC, "No space left on device")
            super().append_row(entry)

        def append_segment(self, first: int, last: int, data: bytes) -> object:
            if self.full:
                raise OSError(errno.ENOSPC, "No space left on device")
            return super().append_segment(first, last, data)

    folder, said = Full(tmp_path), []
    journal = Journal("f", SMALL, folder)
    journal.on_fault = said.append
    journal.restore(*folder.open())
    fill(journal, 20)
    folder.full = True
    fill(journal, 40, 20)
    assert said == ["No space left on device"]
    assert len(list(journal.entries(0))) == 60 and journal.find(Query("s30"))
    folder.full = False
    fill(journal, 16, 60)
    assert said == ["No space left on device", ""] and journal.fault == ""
    folder.close()


@pytest.mark.parametrize(
    "row",
    [
        None,
        [],
        [1, 2, "plays"],
        [1, 2, "what", "", "", "", "", "", 1, 1, 1, ""],
        [1, 2, "plays", "", "", "", "", "", 1, 1, "1", ""],
        [True, 2, "plays", "", "", "", "", "", 1, 1, 1, ""],
        [1, 2, "plays", "", 5, "", "", "", 1, 1, 1, ""],
        [1, 2, "plays", "", "", "", "", "", 1, 1, 1, "", []],
    ],
)
def test_rows_that_are_no_entries(row: Any) -> None:
    with pytest.raises(EntryError):
        from_row(row)


def test_text_that_is_no_unicode_does_not_stop_the_journal(tmp_path: Path) -> None:
    folder = JournalFolder(tmp_path)
    journal = Journal("f", SMALL, folder)
    journal.restore(*folder.open())
    for _ in range(20):
        journal.add(0.0, EventKind.REFUSED, session="s", tenant="t\ud800", why="w\udfff\x00")
    assert {one.tenant for one in journal.entries(1)} == {"t\\ud800"}
    folder.close()


def test_an_entry_survives_its_row() -> None:
    journal = Journal("f")
    entry = journal.add(
        1.5, EventKind.SETUP, session="s", title="l", server=3, more={"passed": [[1, "full"]]}
    )
    assert from_row(to_row(entry)) == entry


def test_a_front_that_came_back_ends_its_sessions_of_before_and_nobody_elses() -> None:
    journal, picture = Journal("", SMALL), StateProjection()
    journal.watchers.append(picture.apply)
    for front in ("f1", "f2"):
        journal.add(0.0, EventKind.FRONT, front=front, why="up")
        journal.add(0.0, EventKind.ASKED, front=front, session="same-id", title="l", cls="c")
        journal.add(0.0, EventKind.SETUP, front=front, session="same-id", server=1, attempt=0, rung=2)
        journal.add(0.0, EventKind.STARTED, front=front, session="same-id", server=1, attempt=0, rung=2)
    assert picture.servers[1].playing == 2 and len(picture.sessions) == 2
    journal.add(0.0, EventKind.FRONT, front="f1", why="up")
    assert list(picture.sessions) == ["f2/same-id"] and picture.servers[1].playing == 1
    journal.add(0.0, EventKind.FRONT, front="f2", why="down")
    assert picture.sessions == {} and picture.servers == {} and list(picture.fronts) == ["f1"]
