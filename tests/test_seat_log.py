"""Tests of the seat log: crashes at each operation, torn tails, corruption, disk errors, compaction."""

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

SMALL_LIMITS = LogConfig(segment_bytes=400, records_per_snapshot=7)


def seat_record(name: str, generation: int = 1) -> SeatRecord:
    return SeatRecord(name, generation, "t", "l", "c", "p", 1.0)


def record_history() -> list[bytes]:
    """Returns the records of the requests, grants and removals of 12 sessions."""
    history = []
    for number in range(12):
        history.append(records.encode_requested(seat_record(f"s{number}", number + 1)))
        if number % 3:
            history.append(records.encode_granted(f"s{number}", f"L{number}", number, 100.0 + number))
        if number % 2:
            history.append(records.encode_removed(f"s{number - 1}"))
    return history


def write_all(files: MemoryFileStore, durable: list[int], group: int) -> None:
    """Appends the history, commits after each `group` records and writes snapshots when due.

    Adds the sequence number that each commit returns to `durable`.
    """
    log = SeatLog(files, SMALL_LIMITS)
    recovered = log.open()
    table = rebuild_table(recovered.snapshot, recovered.records)
    for index, body in enumerate(record_history()):
        log.append(body)
        apply_record(table, body)
        if index % group == group - 1:
            durable.append(log.commit())
            if log.is_snapshot_due:
                log.write_snapshot(encode_table(table))
    durable.append(log.commit())


def expected_table(count: int) -> SeatTable:
    table: SeatTable = {}
    for body in record_history()[:count]:
        apply_record(table, body)
    return table


@pytest.mark.parametrize("group", [1, 3, 5])
def test_crash_at_each_operation_loses_no_durable_record(group: int) -> None:
    uncrashed = MemoryFileStore()
    write_all(uncrashed, [], group)
    assert uncrashed.operation_count > 20
    for stop in range(1, uncrashed.operation_count + 1):
        for seed in range(6):
            remaining, durable = [stop], [0]

            def before_operation(operation_name: str, remaining: list[int] = remaining) -> None:
                remaining[0] -= 1
                if remaining[0] < 0:
                    raise SimulatedCrash

            files = MemoryFileStore(before_operation)
            with suppress(SimulatedCrash):
                write_all(files, durable, group)
            disk = files.crash(Random(seed * 1000 + stop))
            log = SeatLog(disk, SMALL_LIMITS)
            recovered = log.open()
            assert recovered.last_sequence >= durable[-1], "a durable record was lost"
            assert rebuild_table(recovered.snapshot, recovered.records) == expected_table(
                recovered.last_sequence
            )
            # The log continues from there, and recovery after a second crash returns the same table.
            for body in record_history()[recovered.last_sequence :]:
                log.append(body)
            log.commit()
            recovered_again = recover_log(disk.crash(Random(seed)))
            assert rebuild_table(recovered_again.snapshot, recovered_again.records) == expected_table(
                len(record_history())
            )


def full_log() -> MemoryFileStore:
    files = MemoryFileStore()
    log = SeatLog(files, LogConfig(segment_bytes=400))
    log.open()
    for body in record_history():
        log.append(body)
        log.commit()
    return files


def test_recovery_rejects_corruption_names_the_file_and_changes_nothing() -> None:
    files = full_log()
    names = [name for name in files.list_names() if name.endswith(".log")]
    assert len(names) > 3
    for name in names:
        data = files.read(name)
        for position in range(0, len(data), 7):
            damaged = full_log()
            damaged._written[name][position] ^= 0x40
            content_before = dict(damaged._written)
            try:
                recovered = SeatLog(damaged).open()
            except LogCorruptedError as error:
                assert name in str(error) or "missing" in str(error)
                assert damaged._written == content_before
            else:  # only damage to the last record looks like a torn tail
                assert name == names[-1] and recovered.last_sequence >= len(record_history()) - 1


@pytest.mark.parametrize("change", ["segment", "snapshot", "format", "gap"])
def test_recovery_rejects_what_no_crash_can_cause(change: str) -> None:
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


def test_full_disk_fails_the_log_and_loses_no_durable_record() -> None:
    files = MemoryFileStore(capacity_bytes=700)
    log = SeatLog(files, LogConfig(segment_bytes=10_000))
    log.open()
    durable_sequence = 0
    with pytest.raises(LogError, match="No space left"):
        for body in record_history() * 3:
            log.append(body)
            durable_sequence = log.commit()
    assert durable_sequence > 3
    with pytest.raises(LogError):
        log.commit()
    files.capacity_bytes = None
    recovered = SeatLog(files).open()
    assert recovered.last_sequence >= durable_sequence and recovered.torn_bytes > 0


@pytest.mark.parametrize("operation", ["append", "sync", "replace"])
def test_read_only_disk_is_reported_and_loses_no_durable_record(operation: str) -> None:
    """Each kind of operation fails from the n-th call on."""
    for fails_from in (1, 4, 9):
        remaining = [fails_from]

        def before_operation(operation_name: str, remaining: list[int] = remaining) -> None:
            remaining[0] -= operation_name.startswith(operation)
            if remaining[0] < 0:
                raise OSError(errno.EROFS, "Read-only file system")

        files, durable = MemoryFileStore(before_operation), [0]
        try:
            write_all(files, durable, 2)
        except LogError as error:
            assert "Read-only file system" in str(error)
        files.before_operation = None
        recovered = SeatLog(files.crash(Random(fails_from)), SMALL_LIMITS).open()
        assert recovered.last_sequence >= durable[-1]
        assert rebuild_table(recovered.snapshot, recovered.records) == expected_table(recovered.last_sequence)


def test_recovery_and_compaction_on_a_disk(tmp_path: Path) -> None:
    files = DiskFileStore(tmp_path / "seats")
    log = SeatLog(files, SMALL_LIMITS)
    log.open()
    for body in record_history():
        log.append(body)
    log.commit()
    log.write_snapshot(encode_table(expected_table(len(record_history()))))
    log.append(records.encode_removed("s11"))
    log.commit()
    files.close()
    segment = next(path for path in (tmp_path / "seats").iterdir() if path.suffix == ".log")
    with open(segment, "ab") as file:
        file.write(b"torn")
    reopened = DiskFileStore(tmp_path / "seats")
    recovered = SeatLog(reopened).open()
    table = rebuild_table(recovered.snapshot, recovered.records)
    assert recovered.torn_bytes == 4 and "s11" not in table and "s11" in expected_table(len(record_history()))
    compact_log(reopened, encode_table(table), recovered.last_sequence)
    assert [path.suffix for path in (tmp_path / "seats").iterdir()] == [".snap"]
    assert rebuild_table(recover_log(reopened).snapshot, recover_log(reopened).records) == table
    reopened.close()


@pytest.mark.parametrize(
    "body", [b"no", b"[]", b"{}", b'["what"]', b'["ask"]', b'["gone"]', b'["held", "a"]']
)
def test_invalid_records_are_rejected(body: bytes) -> None:
    with pytest.raises(RecordError):
        apply_record({}, body)
    valid = [records.encode_requested(seat_record("a")), records.encode_granted("a", "L", 3, 9.0)]
    for position in range(3):  # also between valid records, which are decoded in one batch
        with pytest.raises(RecordError, match="record"):
            rebuild_table(None, list(enumerate([*valid[:position], body, *valid[position:]])))


_WRITER = """
import sys
from pathlib import Path
from fernweir.seats import records
from fernweir.seats.file_store import DiskFileStore
from fernweir.seats.log import LogConfig, SeatLog
from fernweir.seats.records import SeatRecord, apply_record, encode_table, rebuild_table
log = SeatLog(DiskFileStore(Path(sys.argv[1])), LogConfig(segment_bytes=3000, records_per_snapshot=150))
recovered = log.open()
table = rebuild_table(recovered.snapshot, recovered.records)
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


def test_process_killed_while_writing_loses_no_durable_record(tmp_path: Path) -> None:
    """Ten writers in turn append to one directory; each is killed with SIGKILL at an arbitrary point."""
    durable_sequence = 0
    for run in range(10):
        writer = subprocess.Popen(
            [sys.executable, "-c", _WRITER, str(tmp_path)], stdout=subprocess.PIPE, text=True
        )
        assert writer.stdout is not None
        for _ in range(5 + run * 7):
            durable_sequence = int(writer.stdout.readline())
        writer.kill()
        remaining_output = writer.stdout.read().split()
        durable_sequence = int(remaining_output[-1]) if remaining_output else durable_sequence
        writer.wait()
        recovered = recover_log(DiskFileStore(tmp_path))
        table = rebuild_table(recovered.snapshot, recovered.records)
        assert recovered.last_sequence >= durable_sequence
        expected = {f"s{number % 40}": number for number in range(1, recovered.last_sequence + 1)}
        assert {name: record.generation for name, record in table.items()} == expected


class SeatLogMachine(RuleBasedStateMachine):
    """Compares the log with a list under appends, commits, snapshots and crashes in any order."""

    @initialize(seed=st.integers(0, 1000))
    def create(self, seed: int) -> None:
        self.rng, self.files = Random(seed), MemoryFileStore()
        self.appended: list[bytes] = []
        self.durable_sequence = 0
        self.count = 0
        self.open()

    def open(self) -> None:
        self.log = SeatLog(self.files, SMALL_LIMITS)
        recovered = self.log.open()
        assert recovered.last_sequence >= self.durable_sequence
        self.appended = self.appended[: recovered.last_sequence]
        assert rebuild_table(recovered.snapshot, recovered.records) == self.table()
        self.durable_sequence = recovered.last_sequence

    def table(self) -> SeatTable:
        table: SeatTable = {}
        for body in self.appended:
            apply_record(table, body)
        return table

    @rule(name=st.sampled_from("abc"), kind=st.integers(0, 2))
    def append(self, name: str, kind: int) -> None:
        self.count += 1
        body = [
            records.encode_requested(seat_record(name, self.count)),
            records.encode_granted(name, "L", self.count, 1.0),
            records.encode_removed(name),
        ]
        self.appended.append(body[kind])
        assert self.log.append(body[kind]) == len(self.appended)

    @rule()
    def commit(self) -> None:
        self.durable_sequence = self.log.commit()

    @precondition(lambda self: not self.log.pending_count)
    @rule()
    def snapshot(self) -> None:
        self.log.write_snapshot(encode_table(self.table()))

    @rule()
    def crash(self) -> None:
        self.files = self.files.crash(self.rng)
        self.open()


SeatLogMachine.TestCase.settings = hypothesis_settings(max_examples=150, stateful_step_count=40)
TestSeatLog = SeatLogMachine.TestCase
