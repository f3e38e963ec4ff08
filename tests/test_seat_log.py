"""The seat log: killed at every write and sync, torn, damaged, full; and offline repair."""

from __future__ import annotations

import errno
import subprocess
import sys
from contextlib import suppress
from pathlib import Path
from random import Random

import pytest
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from fernweir.seats import records
from fernweir.seats.files import DiskFiles
from fernweir.seats.log import DamageError, LogError, LogRules, SeatLog, compact, recover
from fernweir.seats.memory import Killed, MemoryFiles
from fernweir.seats.records import Kept, RecordError, Table, encode_table, fold, fold_all

SMALL = LogRules(segment_bytes=400, snapshot_records=7)


def seat(name: str, generation: int = 1) -> Kept:
    return Kept(name, generation, "t", "l", "c", "p", 1.0)


def history() -> list[bytes]:
    """Asks, grants and ends of a dozen sessions, in a settled order."""
    out = []
    for number in range(12):
        out.append(records.asked(seat(f"s{number}", number + 1)))
        if number % 3:
            out.append(records.held(f"s{number}", f"L{number}", number, 100.0 + number))
        if number % 2:
            out.append(records.gone(f"s{number - 1}"))
    return out


def write_all(files: MemoryFiles, durable: list[int], group: int) -> None:
    """Plays the history in groups, with snapshots when they are due; notes what was promised."""
    log = SeatLog(files, SMALL)
    found = log.open()
    table = fold_all(found.snapshot, found.records)
    for index, body in enumerate(history()):
        log.append(body)
        fold(table, body)
        if index % group == group - 1:
            durable.append(log.commit())
            if log.wants_snapshot:
                log.snapshot(encode_table(table))
    durable.append(log.commit())


def model(count: int) -> Table:
    table: Table = {}
    for body in history()[:count]:
        fold(table, body)
    return table


@pytest.mark.parametrize("group", [1, 3, 5])
def test_killed_after_every_operation_it_recovers_what_was_promised(group: int) -> None:
    probe = MemoryFiles()
    write_all(probe, [], group)
    assert probe.operations > 20
    for stop in range(1, probe.operations + 1):
        for seed in range(6):
            left, durable = [stop], [0]

            def before(what: str, left: list[int] = left) -> None:
                left[0] -= 1
                if left[0] < 0:
                    raise Killed

            files = MemoryFiles(before)
            with suppress(Killed):
                write_all(files, durable, group)
            disk = files.crash(Random(seed * 1000 + stop))
            log = SeatLog(disk, SMALL)
            found = log.open()
            assert found.last >= durable[-1], "a promised record is lost"
            assert fold_all(found.snapshot, found.records) == model(found.last)
            # It goes on from there, and a second crash finds the same.
            for body in history()[found.last :]:
                log.append(body)
            log.commit()
            again = recover(disk.crash(Random(seed)))
            assert fold_all(again.snapshot, again.records) == model(len(history()))


def full_log() -> MemoryFiles:
    files = MemoryFiles()
    log = SeatLog(files, LogRules(segment_bytes=400))
    log.open()
    for body in history():
        log.append(body)
        log.commit()
    return files


def test_a_damaged_middle_is_refused_and_named_and_nothing_is_changed() -> None:
    files = full_log()
    names = [name for name in files.names() if name.endswith(".log")]
    assert len(names) > 3
    for name in names:
        data = files.read(name)
        for at in range(0, len(data), 7):
            hurt = full_log()
            hurt._now[name][at] ^= 0x40
            before = dict(hurt._now)
            try:
                found = SeatLog(hurt).open()
            except DamageError as error:
                assert name in str(error) or "missing" in str(error)
                assert hurt._now == before
            else:  # only the very last record can be taken for a torn tail
                assert name == names[-1] and found.last >= len(history()) - 1


@pytest.mark.parametrize("change", ["segment", "snapshot", "format", "gap"])
def test_what_no_crash_can_leave_is_refused(change: str) -> None:
    files = MemoryFiles()
    write_all(files, [], 3)
    snapshot = next(name for name in files.names() if name.endswith(".snap"))
    segment = next(name for name in files.names() if name.endswith(".log"))
    if change == "segment":
        files._now[segment][0:6] = b"NOTLOG"
    elif change == "snapshot":
        files._now[snapshot][-1] ^= 1
    elif change == "format":
        files._now[segment][6] = 9
    else:
        files.remove(snapshot)
    with pytest.raises(DamageError, match=r"format 9|not a seat log|checksum|missing"):
        recover(files)


def test_a_disk_that_refuses_breaks_the_log_and_loses_nothing_promised() -> None:
    files = MemoryFiles(room=700)
    log = SeatLog(files, LogRules(segment_bytes=10_000))
    log.open()
    promised = 0
    with pytest.raises(LogError, match="No space left"):
        for body in history() * 3:
            log.append(body)
            promised = log.commit()
    assert promised > 3
    with pytest.raises(LogError):
        log.commit()
    files.room = None
    found = SeatLog(files).open()
    assert found.last >= promised and found.torn_bytes > 0


@pytest.mark.parametrize("operation", ["append", "sync", "replace"])
def test_a_disk_that_turned_read_only_is_said_and_nothing_promised_is_lost(operation: str) -> None:
    """Each operation of the log is refused from some moment on."""
    for refused_from in (1, 4, 9):
        left = [refused_from]

        def before(what: str, left: list[int] = left) -> None:
            left[0] -= what.startswith(operation)
            if left[0] < 0:
                raise OSError(errno.EROFS, "Read-only file system")

        files, durable = MemoryFiles(before), [0]
        try:
            write_all(files, durable, 2)
        except LogError as error:
            assert "Read-only file system" in str(error)
        files.before = None
        found = SeatLog(files.crash(Random(refused_from)), SMALL).open()
        assert found.last >= durable[-1]
        assert fold_all(found.snapshot, found.records) == model(found.last)


def test_on_a_disk(tmp_path: Path) -> None:
    files = DiskFiles(tmp_path / "seats")
    log = SeatLog(files, SMALL)
    log.open()
    for body in history():
        log.append(body)
    log.commit()
    log.snapshot(encode_table(model(len(history()))))
    log.append(records.gone("s11"))
    log.commit()
    files.close()
    segment = next(path for path in (tmp_path / "seats").iterdir() if path.suffix == ".log")
    with open(segment, "ab") as file:
        file.write(b"torn")
    again = DiskFiles(tmp_path / "seats")
    found = SeatLog(again).open()
    table = fold_all(found.snapshot, found.records)
    assert found.torn_bytes == 4 and "s11" not in table and "s11" in model(len(history()))
    compact(again, encode_table(table), found.last)
    assert [path.suffix for path in (tmp_path / "seats").iterdir()] == [".snap"]
    assert fold_all(recover(again).snapshot, recover(again).records) == table
    again.close()


@pytest.mark.parametrize(
    "body", [b"no", b"[]", b"{}", b'["what"]', b'["ask"]', b'["gone"]', b'["held", "a"]']
)
def test_records_that_say_nothing_known(body: bytes) -> None:
    with pytest.raises(RecordError):
        fold({}, body)
    good = [records.asked(seat("a")), records.held("a", "L", 3, 9.0)]
    for at in range(3):  # and among good ones, where many are decoded at once
        with pytest.raises(RecordError, match="record"):
            fold_all(None, list(enumerate([*good[:at], body, *good[at:]])))


_WRITER = """
import sys
from pathlib import Path
from fernweir.seats import records
from fernweir.seats.files import DiskFiles
from fernweir.seats.log import LogRules, SeatLog
from fernweir.seats.records import Kept, encode_table, fold, fold_all
log = SeatLog(DiskFiles(Path(sys.argv[1])), LogRules(segment_bytes=3000, snapshot_records=150))
found = log.open()
table = fold_all(found.snapshot, found.records)
while True:
    for _ in range(1 + log.last % 5):
        number = log.last + 1
        body = records.asked(Kept(f"s{number % 40}", number, "t", "l", "c", "p", 1.0))
        log.append(body)
        fold(table, body)
    print(log.commit(), flush=True)
    if log.wants_snapshot:
        log.snapshot(encode_table(table))
"""


def test_a_process_killed_while_it_writes_keeps_what_it_promised(tmp_path: Path) -> None:
    """kill -9 at whatever point the writer has reached, ten lives on one folder."""
    promised = 0
    for life in range(10):
        writer = subprocess.Popen(
            [sys.executable, "-c", _WRITER, str(tmp_path)], stdout=subprocess.PIPE, text=True
        )
        assert writer.stdout is not None
        for _ in range(5 + life * 7):
            promised = int(writer.stdout.readline())
        writer.kill()
        rest = writer.stdout.read().split()
        promised = int(rest[-1]) if rest else promised
        writer.wait()
        found = recover(DiskFiles(tmp_path))
        table = fold_all(found.snapshot, found.records)
        assert found.last >= promised
        expected = {f"s{number % 40}": number for number in range(1, found.last + 1)}
        assert {name: kept.generation for name, kept in table.items()} == expected


class LogStory(RuleBasedStateMachine):
    """Appends, commits, snapshots, crashes in any order, against a plain list."""

    @initialize(seed=st.integers(0, 1000))
    def begin(self, seed: int) -> None:
        self.dice, self.files = Random(seed), MemoryFiles()
        self.said: list[bytes] = []
        self.promised = 0
        self.count = 0
        self.open()

    def open(self) -> None:
        self.log = SeatLog(self.files, SMALL)
        found = self.log.open()
        assert found.last >= self.promised
        self.said = self.said[: found.last]
        assert fold_all(found.snapshot, found.records) == self.table()
        self.promised = found.last

    def table(self) -> Table:
        table: Table = {}
        for body in self.said:
            fold(table, body)
        return table

    @rule(name=st.sampled_from("abc"), kind=st.integers(0, 2))
    def append(self, name: str, kind: int) -> None:
        self.count += 1
        body = [
            records.asked(seat(name, self.count)),
            records.held(name, "L", self.count, 1.0),
            records.gone(name),
        ]
        self.said.append(body[kind])
        assert self.log.append(body[kind]) == len(self.said)

    @rule()
    def commit(self) -> None:
        self.promised = self.log.commit()

    @precondition(lambda self: not self.log.pending)
    @rule()
    def snapshot(self) -> None:
        self.log.snapshot(encode_table(self.table()))

    @rule()
    def crash(self) -> None:
        self.files = self.files.crash(self.dice)
        self.open()


LogStory.TestCase.settings = hypothesis_settings(max_examples=150, stateful_step_count=40)
TestLogStory = LogStory.TestCase
