"""Tests of the journal: queries compared with a scan of a list, limits, restarts, damage and a full disk."""

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
    st.sampled_from([EventKind.REQUESTED, EventKind.PLAYS, EventKind.REFUSED]),
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
def test_queries_find_what_a_plain_scan_finds(
    rows: list[Any], session: str | None, equal: dict[str, object], since: int, span: int, limit: int,
    before: int,
) -> None:  # fmt: skip
    journal, plain, now = Journal("f", SMALL), [], 0.0
    for what, name, title, server, why, step in rows:
        now += step
        plain.append(journal.add(now, what, session=name, title=title, server=server, why=why))
    query = Query(session, equal, since, since + span)
    expected = [entry for entry in reversed(plain) if query.matches(entry) and entry.number < before]
    assert journal.find(query, limit, before) == expected[:limit]
    assert list(journal.entries(3, 20)) == plain[2:19]
    paged, following = [], before
    while following is not None:  # the same query, one segment at a time
        page, following = journal.search(query, limit, following, max_segments=1)
        paged += page
    assert paged == expected


def test_memory_stays_under_its_limit_and_the_oldest_entries_are_dropped_first() -> None:
    config = JournalConfig(segment_entries=64, max_memory_bytes=60_000)
    journal = Journal("f", config)
    fill(journal, 20_000)
    assert journal.memory_bytes <= config.max_memory_bytes and 1 < journal.first < 20_000
    assert [entry.number for entry in journal.entries(0)] == list(range(journal.first, 20_001))
    assert journal.find(Query("s1")) == [] and journal.find(Query("s19999"))[0].number == 20_000


def test_entries_dropped_from_memory_are_read_from_disk_up_to_the_disk_limit(tmp_path: Path) -> None:
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


@pytest.mark.parametrize("truncated_bytes", [0, 1, 30])
def test_entries_written_before_a_kill_are_restored(tmp_path: Path, truncated_bytes: int) -> None:
    folder = JournalFolder(tmp_path)
    journal = Journal("f", SMALL, folder)
    journal.restore(*folder.open())
    fill(journal, 83)
    expected = list(journal.entries(0))
    if truncated_bytes:  # a kill may leave only a part of the newest row
        size = (tmp_path / "newest.rows").stat().st_size
        os.truncate(tmp_path / "newest.rows", size - truncated_bytes)
        expected.pop()
    for _ in range(3):
        reopened = JournalFolder(tmp_path)
        restored = Journal("f", SMALL, reopened)
        restored.restore(*reopened.open())
        assert list(restored.entries(0)) == expected and reopened.problems == []
        expected.append(restored.add(500.0, EventKind.FRONT, why="up"))
        assert restored.find(Query("s40"))[0].number == 41
        reopened.close()


def test_damage_is_reported_and_intact_entries_are_restored(tmp_path: Path) -> None:
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
    reopened = JournalFolder(tmp_path, file_bytes=500)
    restored = Journal("f", SMALL, reopened)
    restored.restore(*reopened.open())
    assert len(reopened.problems) >= 2 and "damaged at byte" in reopened.problems[0]
    numbers = [entry.number for entry in restored.entries(0)]
    assert numbers[0] == 1 and numbers[-1] == 200 and 100 < len(numbers) < 200
    reopened.close()


def test_zero_bytes_left_by_a_lost_write_are_not_read_as_frames(tmp_path: Path) -> None:
    folder = JournalFolder(tmp_path)
    journal = Journal("f", SMALL, folder)
    journal.restore(*folder.open())
    fill(journal, 20)
    folder.close()
    with open(next(tmp_path.glob("*.blocks")), "ab") as file:
        file.write(bytes(100))
    reopened = JournalFolder(tmp_path)
    restored = Journal("f", SMALL, reopened)
    restored.restore(*reopened.open())
    assert [entry.number for entry in restored.entries(0)] == list(range(1, 21)) and restored.last == 20
    assert "100 bytes skipped" in reopened.problems[0]
    reopened.close()


def test_a_full_disk_is_reported_once_and_the_journal_continues(tmp_path: Path) -> None:
    class FullDiskFolder(JournalFolder):
        full = False

        def append_row(self, entry: Entry) -> None:
            if self.full:
                raise OSError(errno.ENOSPC, "No space left on device")
            super().append_row(entry)

        def append_segment(self, first: int, last: int, data: bytes) -> object:
            if self.full:
                raise OSError(errno.ENOSPC, "No space left on device")
            return super().append_segment(first, last, data)

    folder, faults = FullDiskFolder(tmp_path), []
    journal = Journal("f", SMALL, folder)
    journal.on_fault = faults.append
    journal.restore(*folder.open())
    fill(journal, 20)
    folder.full = True
    fill(journal, 40, 20)
    assert faults == ["No space left on device"]
    assert len(list(journal.entries(0))) == 60 and journal.find(Query("s30"))
    folder.full = False
    fill(journal, 16, 60)
    assert faults == ["No space left on device", ""] and journal.fault == ""
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
def test_rows_that_are_not_entries_are_rejected(row: Any) -> None:
    with pytest.raises(EntryError):
        from_row(row)


def test_lone_surrogates_are_escaped_and_do_not_stop_the_journal(tmp_path: Path) -> None:
    folder = JournalFolder(tmp_path)
    journal = Journal("f", SMALL, folder)
    journal.restore(*folder.open())
    for _ in range(20):
        journal.add(0.0, EventKind.REFUSED, session="s", tenant="t\ud800", why="w\udfff\x00")
    assert {entry.tenant for entry in journal.entries(1)} == {"t\\ud800"}
    folder.close()


def test_an_entry_equals_the_one_decoded_from_its_row() -> None:
    journal = Journal("f")
    entry = journal.add(
        1.5, EventKind.SETUP, session="s", title="l", server=3, more={"passed": [[1, "full"]]}
    )
    assert from_row(to_row(entry)) == entry


def test_a_restarted_front_ends_only_its_own_earlier_sessions() -> None:
    journal, projection = Journal("", SMALL), StateProjection()
    journal.watchers.append(projection.apply)
    for front in ("f1", "f2"):
        journal.add(0.0, EventKind.FRONT, front=front, why="up")
        journal.add(0.0, EventKind.REQUESTED, front=front, session="same-id", title="l", cls="c")
        journal.add(0.0, EventKind.SETUP, front=front, session="same-id", server=1, attempt=0, rung=2)
        journal.add(0.0, EventKind.STARTED, front=front, session="same-id", server=1, attempt=0, rung=2)
    assert projection.servers[1].playing == 2 and len(projection.sessions) == 2
    journal.add(0.0, EventKind.FRONT, front="f1", why="up")
    assert list(projection.sessions) == ["f2/same-id"] and projection.servers[1].playing == 1
    journal.add(0.0, EventKind.FRONT, front="f2", why="down")
    assert projection.sessions == {} and projection.servers == {} and list(projection.fronts) == ["f1"]
