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
from fernweir.seats.file_store import DiskFileStore
from fernweir.seats.log import LogConfig, LogCorruptedError, LogError, SeatLog, compact_log, recover_log
from fernweir.seats.memory_file_store import MemoryFileStore, SimulatedCrash
from fernweir.seats.records import (
    RecordError,
    SeatRecord,
    SeatTable,
    apply_record,
    encode_table,
    rebuild_table,
)

SMALL = LogConfig(segment_bytes=400, records_per_snapshot=7)


def seat(name: str, generation: int = 1) -> SeatRecord:
    return SeatRecord(name, generation, "t", "l", "c", "p", 1.0)


def history() -> list[bytes]:
    """Asks, grants and ends of a dozen sessions, in a settled order."""
    out = []
    for number in range(12):
        out.append(records.encode_requested(seat(f"s{number}", number + 1)))
        if number % 3:
            out.append(records.encode_granted(f"s{number}", f"L{number}", number, 100.0 + number))
        if number % 2:
            out.append(records.encode_removed(f"s{number - 1}"))
    return out


def write_all(files: MemoryFileStore, durable: list[int], group: int) -> None:
    """Plays the history in groups, with snapshots when they are due; notes what was promised."""
    log = SeatLog(files, SMALL)
    found = log.open()
    table = rebuild_table(found.snapshot, found.records)
    for index, body in enumerate(history()):
        log.append(body)
        apply_record(table, body)
        if index % group == group - 1:
            durable.append(log.commit())
            if log.is_snapshot_due:
                log.write_snapshot(encode_table(table))
    durable.append(log.commit())


def model(count: int) -> SeatTable:
    table: SeatTable = {}
    for body in history()[:count]:
        apply_record(table, body)
    return table


@pytest.mark.parametrize("group", [1, 3, 5])
def test_killed_after_every_operation_it_recovers_what_was_promised(group: int) -> None:
    probe = MemoryFileStore()
    write_all(probe, [], group)
    assert probe.operation_count > 20
    for stop in range(1, probe.operation_count + 1):
        for seed in range(6):
            left, durable = [stop], [0]

            def before(what: str, left: list[int] = left) -> None:
                left[0] -= 1
                if left[0] < 0:
                    raise SimulatedCrash

            files = MemoryFileStore(before)
            with suppress(SimulatedCrash):
                write_all(files, durable, group)
            disk = files.crash(Random(seed * 1000 + stop))
            log = SeatLog(disk, SMALL)
            found = log.open()
            assert found.last_sequence >= durable[-1], "a promised record is lost"
            assert rebuild_table(found.snapshot, found.records) == model(found.last_sequence)
            # It goes on from there, and a second crash finds the same.
            for body in history()[found.last_sequence :]:
                log.append(body)
            log.commit()
            again = recover_log(disk.crash(Random(seed)))
            assert rebuild_table(again.snapshot, again.records) == model(len(history()))


def full_log() -> MemoryFileStore:
    files = MemoryFileStore()
    log = SeatLog(files, LogConfig(segment_bytes=400))
    log.open()
    for body in history():
        log.append(body)
        log.commit()
    return files


def test_a_damaged_middle_is_refused_and_named_and_nothing_is_changed() -> None:
    files = full_log()
    names = [name for name in files.list_names() if name.endswith(".log")]
    assert len(names) > 3
    for name in names:
        data = files.read(name)
        for at in range(0, len(data), 7):
            hurt = full_log()
            hurt._written[name][at] ^= 0x40
            before = dict(hurt._written)
            try:
                found = SeatLog(hurt).open()
            except LogCorruptedError as error:
                assert name in str(error) or "missing" in str(error)
                assert hurt._written == before
            else:  # only the very last record can be taken for a torn tail
                assert name == names[-1] and found.last_sequence >= len(history()) - 1


@pytest.mark.parametrize("change", ["segment", "snapshot", "format", "gap"])
def test_what_no_crash_can_leave_is_refused(change: str) -> None:
    files = MemoryFileStore()
    write_all(files, [], 3)
    snapshot = next(name for name in files.list_names() if name.endswith(".snap"))
    segment = next(name for name in files.list_names() if name.endswith(".log"))
    if change == "segment":
        files._written[segment][0:6] = b"NOTLOG"
    elif change == "snapshot":
        files._written[snapshot][-1] ^= 1
    elif change == "format":
        files._written[segment][6] = 9
    else:
        files.remove(snapshot)
    with pytest.raises(LogCorruptedError, match=r"format 9|not a seat log|checksum|missing"):
        recover_log(files)


def test_a_disk_that_refuses_breaks_the_log_and_loses_nothing_promised() -> None:
    files = MemoryFileStore(capacity_bytes=700)
    log = SeatLog(files, LogConfig(segment_bytes=10_000))
    log.open()
    promised = 0
    with pytest.raises(LogError, match="No space left"):
        for body in history() * 3:
            log.append(body)
            promised = log.commit()
    assert promised > 3
    with pytest.raises(LogError):
        log.commit()
    files.capacity_bytes = None
    found = SeatLog(files).open()
    assert found.last_sequence >= promised and found.torn_bytes > 0


@pytest.mark.parametrize("operation", ["append", "sync", "replace"])
def test_a_disk_that_turned_read_only_is_said_and_nothing_promised_is_lost(operation: str) -> None:
    """Each operation of the log is refused from some moment on."""
    for refused_from in (1, 4, 9):
        left = [refused_from]

        def before(what: str, left: list[int] = left) -> None:
            left[0] -= what.startswith(operation)
            if left[0] < 0:
                raise OSError(errno.EROFS, "Read-only file system")

        files, durable = MemoryFileStore(before), [0]
        try:
            write_all(files, durable, 2)
        except LogError as error:
            assert "Read-only file system" in str(error)
        files.before_operation = None
        found = SeatLog(files.crash(Random(refused_from)), SMALL).open()
        assert found.last_sequence >= durable[-1]
        assert rebuild_table(found.snapshot, found.records) == model(found.last_sequence)


def test_on_a_disk(tmp_path: Path) -> None:
    files = DiskFileStore(tmp_path / "seats")
    log = SeatLog(files, SMALL)
    log.open()
    for body in history():
        log.append(body)
    log.commit()
    log.write_snapshot(encode_table(model(len(history()))))
    log.append(records.encode_removed("s11"))
    log.commit()
    files.close()
    segment = next(path for path in (tmp_path / "seats").iterdir() if path.suffix == ".log")
    with open(segment, "ab") as file:
        file.write(b"torn")
    again = DiskFileStore(tmp_path / "seats")
    found = SeatLog(again).open()
    table = rebuild_table(found.snapshot, found.records)
    assert found.torn_bytes == 4 and "s11" not in table and "s11" in model(len(history()))
    compact_log(again, encode_table(table), found.last_sequence)
    assert [path.suffix for path in (tmp_path / "seats").iterdir()] == [".snap"]
    assert rebuild_table(recover_log(again).snapshot, recover_log(again).records) == table
    again.close()


@pytest.mark.parametrize(
    "body", [b"no", b"[]", b"{}", b'["what"]', b'["ask"]', b'["gone"]', b'["held", "a"]']
)
def test_records_that_say_nothing_known(body: bytes) -> None:
    with pytest.raises(RecordError):
        apply_record({}, body)
    good = [records.encode_requested(seat("a")), records.encode_granted("a", "L", 3, 9.0)]
    for at in range(3):  # and among good ones, where many are decoded at once
        with pytest.raises(RecordError, match="record"):
            rebuild_table(None, list(enumerate([*good[:at], body, *good[at:]])))


_WRITER = """
import sys
from pathlib import Path
from fernweir.seats import records
from fernweir.seats.file_store import DiskFileStore
from fernweir.seats.log import LogConfig, SeatLog
from fernweir.seats.records import SeatRecord, apply_record, encode_table, rebuild_table
log = SeatLog(DiskFileStore(Path(sys.argv[1])), LogConfig(segment_bytes=3000, records_per_snapshot=150))
found = log.open()
table = rebuild_table(found.snapshot, found.records)
while True:
    for _ in range(1 + log.last_sequence % 5):
        number = log.last_sequence + 1
        body = records.encode_requested(SeatRecord(f"s{number % 40}", number, "t", "l", "c", "p", 1.0))
        log.append(body)
        apply_record(table, body)
    print(log.commit(), flush=True)
    if log.is_snapshot_due:
        log.write_snapshot(encode_table(table))
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
        found = recover_log(DiskFileStore(tmp_path))
        table = rebuild_table(found.snapshot, found.records)
        assert found.last_sequence >= promised
        expected = {f"s{number % 40}": number for number in range(1, found.last_sequence + 1)}
        assert {name: kept.generation for name, kept in table.items()} == expected


class LogStory(RuleBasedStateMachine):
    """Appends, commits, snapshots, crashes in any order, against a plain list."""

    @initialize(seed=st.integers(0, 1000))
    def begin(self, seed: int) -> None:
        self.dice, self.files = Random(seed), MemoryFileStore()
        self.said: list[bytes] = []
        self.promised = 0
        self.count = 0
        self.open()

    def open(self) -> None:
        self.log = SeatLog(self.files, SMALL)
        found = self.log.open()
        assert found.last_sequence >= self.promised
        self.said = self.said[: found.last_sequence]
        assert rebuild_table(found.snapshot, found.records) == self.table()
        self.promised = found.last_sequence

    def table(self) -> SeatTable:
        table: SeatTable = {}
        for body in self.said:
            apply_record(table, body)
        return table

    @rule(name=st.sampled_from("abc"), kind=st.integers(0, 2))
    def append(self, name: str, kind: int) -> None:
        self.count += 1
        body = [
            records.encode_requested(seat(name, self.count)),
            records.encode_granted(name, "L", self.count, 1.0),
            records.encode_removed(name),
        ]
        self.said.append(body[kind])
        assert self.log.append(body[kind]) == len(self.said)

    @rule()
    def commit(self) -> None:
        self.promised = self.log.commit()

    @precondition(lambda self: not self.log.pending_count)
    @rule()
    def snapshot(self) -> None:
        self.log.write_snapshot(encode_table(self.table()))

    @rule()
    def crash(self) -> None:
        self.files = self.files.crash(self.dice)
        self.open()


LogStory.TestCase.settings = hypothesis_settings(max_examples=150, stateful_step_count=40)
TestLogStory = LogStory.TestCase
