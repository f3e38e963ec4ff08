"""An append-only log of records that survives crashes: segments, snapshots, compaction, recovery.

Appended records are buffered until `commit`, which writes them in one batch and syncs them; they are durable
when it returns. `log_format` defines the encoding.

A crash can leave any subset of the pages that were not synced. An invalid frame in the last segment is
therefore a torn tail, which is truncated, unless a valid frame after it has a base that proves that the
invalid one had been durable. That is corruption, which no crash can cause, and so is a gap in the sequence
numbers or a snapshot that does not match its checksum: recovery then fails, names the file and the position,
and changes nothing.
"""

from __future__ import annotations

from dataclasses import dataclass

from fernweir.seats import log_format
from fernweir.seats.file_store import FileStore
from fernweir.seats.log_format import LogCorruptedError, LogError, NumberedFile

__all__ = [
    "LogConfig",
    "LogCorruptedError",
    "LogError",
    "RecoveredLog",
    "SeatLog",
    "compact_log",
    "recover_log",
]


@dataclass(frozen=True, slots=True)
class RecoveredLog:
    """The contents of a recovered log.

    Attributes:
        snapshot: The state in the newest snapshot, or None.
        records: The records after it, with their sequence numbers.
        last_sequence: The sequence number of the newest record.
        torn_bytes: The size of the torn tail.
        torn_segment: The name of the segment with the torn tail, or an empty string.
    """

    snapshot: bytes | None
    records: list[tuple[int, bytes]]
    last_sequence: int
    torn_bytes: int
    torn_segment: str = ""


@dataclass(frozen=True, slots=True)
class LogConfig:
    """Size limits of a log.

    Attributes:
        segment_bytes: A segment of this size or more is followed by a new one.
        records_per_snapshot: The number of records after which a snapshot is due.
    """

    segment_bytes: int = 4_194_304
    records_per_snapshot: int = 100_000


class SeatLog:
    """Appends records and recovers them; a directory must have only one writer.

    Attributes:
        last_sequence: The sequence number of the newest record, durable or not.
        durable_sequence: The sequence number of the newest durable record.
        records_since_snapshot: The number of durable records after the newest snapshot.
        failure: The error after which nothing more can be written, or None.
    """

    def __init__(self, files: FileStore, config: LogConfig | None = None) -> None:
        self._files = files
        self._config = config or LogConfig()
        self._pending: list[bytes] = []
        self._segment = ""
        self._segment_bytes = 0
        self.last_sequence = 0
        self.durable_sequence = 0
        self.records_since_snapshot = 0
        self.failure: LogError | None = None

    def open(self) -> RecoveredLog:
        """Recovers the records, truncates a torn tail, and prepares for appending.

        Raises:
            LogCorruptedError: The log is damaged.
            OSError: A file cannot be read or truncated.
        """
        recovered = recover_log(self._files)
        torn_segment = recovered.torn_segment
        if torn_segment:
            self._files.truncate(torn_segment, log_format.valid_size(self._files.read(torn_segment)))
        self.last_sequence = self.durable_sequence = recovered.last_sequence
        self.records_since_snapshot = len(recovered.records)
        segments = log_format.list_segments(self._files)
        if segments and log_format.valid_size(self._files.read(segments[-1].name)) == 0:
            # The process crashed after it created the segment and before it wrote the header.
            self._files.remove(segments.pop().name)
        if segments:
            self._segment = segments[-1].name
            self._segment_bytes = len(self._files.read(self._segment))
        return recovered

    def append(self, record: bytes) -> int:
        """Buffers a record and returns its sequence number; `commit` makes it durable.

        Raises:
            LogError: The record is too long.
        """
        if len(record) > log_format.MAX_RECORD_BYTES:
            raise LogError(f"record of {len(record)} bytes exceeds the maximum size")
        self.last_sequence += 1
        self._pending.append(log_format.encode_frame(self.last_sequence, self.durable_sequence, record))
        return self.last_sequence

    @property
    def pending_count(self) -> int:
        """The number of records that wait for `commit`."""
        return len(self._pending)

    def commit(self) -> int:
        """Writes and syncs the buffered records; returns the newest durable sequence number.

        Raises:
            LogError: A write failed, now or earlier. The content of the file after a failed write is
                unknown, so nothing more is written until the log is opened again.
        """
        if self.failure is not None:
            raise self.failure
        if not self._pending:
            return self.durable_sequence
        try:
            if not self._segment or self._segment_bytes >= self._config.segment_bytes:
                self._begin_segment(self.last_sequence - len(self._pending) + 1)
            data = b"".join(self._pending)
            self._files.append(self._segment, data)
            self._files.sync(self._segment)
        except OSError as error:
            self.failure = LogError(f"{self._segment}: {error.strerror or error}")
            raise self.failure from error
        self._segment_bytes += len(data)
        self.records_since_snapshot += len(self._pending)
        self._pending = []
        self.durable_sequence = self.last_sequence
        return self.durable_sequence

    @property
    def is_snapshot_due(self) -> bool:
        """Whether enough records have been written since the newest snapshot."""
        return self.records_since_snapshot >= self._config.records_per_snapshot

    def write_snapshot(self, state: bytes) -> None:
        """Stores the state after the newest record and removes the files that the snapshot replaces.

        Raises:
            LogError: A write failed, or records wait for `commit`.
        """
        if self._pending:
            raise LogError("snapshot: buffered records are not committed")
        data = log_format.encode_snapshot(self.last_sequence, state)
        try:
            self._files.replace(log_format.snapshot_name(self.last_sequence), data)
            self._segment = ""  # the next commit begins a new segment
            self.records_since_snapshot = 0
            _remove_covered(self._files, self.last_sequence)
        except OSError as error:
            self.failure = LogError(f"snapshot: {error.strerror or error}")
            raise self.failure from error

    def _begin_segment(self, first_sequence: int) -> None:
        name = log_format.segment_name(first_sequence)
        header = log_format.encode_segment_header(first_sequence)
        self._files.append(name, header)
        # Synced before any record, so that an invalid header followed by records proves corruption.
        self._files.sync(name)
        self._segment = name
        self._segment_bytes = len(header)


def recover_log(files: FileStore) -> RecoveredLog:
    """Reads the complete log without changing any file.

    Raises:
        LogCorruptedError: The log is damaged; the message names the file and the position.
        OSError: A file cannot be read.
    """
    snapshots = log_format.list_snapshots(files)
    snapshot = None
    recovery = _Recovery(0)
    if snapshots:
        newest = snapshots[-1]
        snapshot = log_format.decode_snapshot(newest, files.read(newest.name))
        recovery = _Recovery(newest.sequence)
    segments = log_format.list_segments(files)
    for segment in segments:
        recovery.read_segment(segment, files.read(segment.name), is_last=segment is segments[-1])
    return RecoveredLog(
        snapshot, recovery.records, recovery.last_sequence, recovery.torn_bytes, recovery.torn_segment
    )


def compact_log(files: FileStore, state: bytes, last_sequence: int) -> None:
    """Replaces all records up to `last_sequence` with one snapshot of the state; the log must not be open.

    Raises:
        OSError: A file cannot be written or removed.
    """
    data = log_format.encode_snapshot(last_sequence, state)
    files.replace(log_format.snapshot_name(last_sequence), data)
    _remove_covered(files, last_sequence)


class _Recovery:
    """The state of a recovery: the records that were read so far, and the torn tail."""

    def __init__(self, covered_sequence: int) -> None:
        self.records: list[tuple[int, bytes]] = []
        self.last_sequence = covered_sequence
        self.torn_bytes = 0
        self.torn_segment = ""

    def read_segment(self, segment: NumberedFile, data: bytes, *, is_last: bool) -> None:
        """Reads the records of the next segment."""
        missing_from, name = self.last_sequence + 1, segment.name
        if segment.sequence > missing_from:
            raise LogCorruptedError(
                f"{name}: records {missing_from} to {segment.sequence - 1} are missing before it"
            )
        if not log_format.has_segment_header(data):
            if not is_last:
                raise LogCorruptedError(f"{name}: no header, but other segments follow")
            self.torn_bytes, self.torn_segment = len(data), name
            return
        log_format.check_segment_header(segment, data)
        expected, valid_bytes = self._read_frames(segment, data)
        if valid_bytes == len(data):
            return
        if not is_last or log_format.has_frame_based_on(data, valid_bytes + 1, expected):
            raise LogCorruptedError(
                f"{name}: record {expected} is damaged at byte {valid_bytes}, but valid records follow"
            )
        self.torn_bytes, self.torn_segment = len(data) - valid_bytes, name

    def _read_frames(self, segment: NumberedFile, data: bytes) -> tuple[int, int]:
        """Reads the valid frames; returns the sequence number and the position of what follows them."""
        expected, position = segment.sequence, log_format.SEGMENT_HEADER_BYTES
        for sequence, record, end in log_format.iterate_frames(data):
            if sequence != expected:
                raise LogCorruptedError(
                    f"{segment.name}: record {expected} expected at byte {position}, found {sequence}"
                )
            if sequence > self.last_sequence:
                self.records.append((sequence, record))
                self.last_sequence = sequence
            expected, position = sequence + 1, end
        return expected, position


def _remove_covered(files: FileStore, last_sequence: int) -> None:
    """Removes older snapshots, and every segment whose records a snapshot of `last_sequence` contains."""
    for snapshot in log_format.list_snapshots(files):
        if snapshot.sequence < last_sequence:
            files.remove(snapshot.name)
    segments = log_format.list_segments(files)
    for index, segment in enumerate(segments):
        has_successor = index + 1 < len(segments)
        last_in_segment = segments[index + 1].sequence - 1 if has_successor else last_sequence
        if last_in_segment <= last_sequence:
            files.remove(segment.name)
