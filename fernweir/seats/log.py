"""An append-only log of records that survives crashes: segments, snapshots, compaction, recovery.

A segment is a header and frames. A frame is its length and CRC32C (u32, little-endian each), the record's
number and its base (u64 each), and its bytes; the checksum covers all but itself and the length. Numbers
grow by one without a gap; the base is the newest number that was durable when the frame was written.
Writes gather until `commit`, which writes them at once and syncs: what it returns for is durable.

A crash can leave any part of what was not synced, in any order of pages. So a broken frame in the last
segment is a torn tail, and cut off with all behind it, unless a whole frame behind it has a base that says
it had been durable. Then, or with a gap in the numbers or a snapshot that doesn't match its checksum, it
is damage, not a crash: it is refused with the place named, and nothing is changed.
"""

from __future__ import annotations

import re
import struct
from collections.abc import Iterator
from dataclasses import dataclass

import google_crc32c

from fernweir.seats.file_store import FileStore

FORMAT = 1
_MAGIC = b"FWSEAT"
_HEADER = struct.Struct("<6sHQ")  # magic, format, number of the first record
_FRAME = struct.Struct("<IIQQ")  # length, checksum, number, base
_NUMBERS = struct.Struct("<QQ")
_SNAPSHOT = struct.Struct("<6sHQII")  # magic, format, number of the last record in it, length, checksum
_SEGMENT_NAME = re.compile(r"seats-(\d{20})\.log")
_SNAPSHOT_NAME = re.compile(r"seats-(\d{20})\.snap")
_MOST = 1 << 20


class LogError(Exception):
    """The log can't be read or written."""


class LogCorruptedError(LogError):
    """Something other than a torn tail is wrong: recovery would lose what was promised."""


def _crc(number: int, base: int, body: bytes) -> int:
    return int(google_crc32c.extend(google_crc32c.value(_NUMBERS.pack(number, base)), body))


def encode_frame(number: int, base: int, body: bytes) -> bytes:
    return _FRAME.pack(len(body), _crc(number, base, body), number, base) + body


@dataclass(frozen=True, slots=True)
class RecoveredLog:
    """What was there: a snapshot's bytes or None, the records after it, and what was cut off."""

    snapshot: bytes | None
    records: list[tuple[int, bytes]]
    last_sequence: int
    torn_bytes: int
    torn_segment: str = ""


@dataclass(frozen=True, slots=True)
class LogConfig:
    segment_bytes: int = 4_194_304
    records_per_snapshot: int = 100_000


class SeatLog:
    """Appends records and recovers them. One writer a folder."""

    def __init__(self, files: FileStore, rules: LogConfig | None = None) -> None:
        self._files = files
        self._rules = rules or LogConfig()
        self._pending: list[bytes] = []
        self._segment = ""
        self._segment_size = 0
        self.last_sequence = 0  # number of the newest record, durable or not
        self.durable_sequence = 0
        self.records_since_snapshot = 0
        self.failure: LogError | None = None

    def open(self) -> RecoveredLog:
        """Recovers what is there, cuts a torn tail off, and readies for appending."""
        found = recover_log(self._files)
        if found.torn_segment:
            self._files.truncate(found.torn_segment, _whole_size(self._files.read(found.torn_segment)))
        self.last_sequence = self.durable_sequence = found.last_sequence
        self.records_since_snapshot = len(found.records)
        segments = _segments(self._files)
        if segments and _whole_size(self._files.read(segments[-1][1])) == 0:
            self._files.remove(segments.pop()[1])  # a crash between making a segment and its header
        if segments:
            self._segment = segments[-1][1]
            self._segment_size = len(self._files.read(self._segment))
        return found

    def append(self, body: bytes) -> int:
        """Gathers a record; its number. Durable once `durable` has reached it."""
        if len(body) > _MOST:
            raise LogError(f"record of {len(body)} bytes")
        self.last_sequence += 1
        self._pending.append(encode_frame(self.last_sequence, self.durable_sequence, body))
        return self.last_sequence

    @property
    def pending_count(self) -> int:
        return len(self._pending)

    def commit(self) -> int:
        """Writes and syncs all that was gathered, and gives the newest durable number.

        LogError when the disk refuses. The log is `broken` then: what a failed write left is unknown, so
        nothing more is appended until it is opened anew.
        """
        if self.failure is not None:
            raise self.failure
        if not self._pending:
            return self.durable_sequence
        try:
            if not self._segment or self._segment_size >= self._rules.segment_bytes:
                self._begin_segment(self.last_sequence - len(self._pending) + 1)
            data = b"".join(self._pending)
            self._files.append(self._segment, data)
            self._files.sync(self._segment)
        except OSError as error:
            self.failure = LogError(f"{self._segment}: {error.strerror or error}")
            raise self.failure from error
        self._segment_size += len(data)
        self.records_since_snapshot += len(self._pending)
        self._pending = []
        self.durable_sequence = self.last_sequence
        return self.durable_sequence

    @property
    def is_snapshot_due(self) -> bool:
        return self.records_since_snapshot >= self._rules.records_per_snapshot

    def write_snapshot(self, state: bytes) -> None:
        """Keeps the state as of the newest record, which must be durable, and drops what it covers."""
        if self._pending:
            raise LogError("records wait to be committed")
        head = _SNAPSHOT.pack(
            _MAGIC, FORMAT, self.last_sequence, len(state), _crc(self.last_sequence, 0, state)
        )
        try:
            self._files.replace(f"seats-{self.last_sequence:020d}.snap", head + state)
            self._segment = ""  # the next record begins a segment of its own
            self.records_since_snapshot = 0
            _drop_covered(self._files, self.last_sequence)
        except OSError as error:
            self.failure = LogError(f"snapshot: {error.strerror or error}")
            raise self.failure from error

    def _begin_segment(self, first: int) -> None:
        name = f"seats-{first:020d}.log"
        self._files.append(name, _HEADER.pack(_MAGIC, FORMAT, first))
        # On its own: a header that is bad with records behind it is then damage, never a crash.
        self._files.sync(name)
        self._segment, self._segment_size = name, _HEADER.size


def recover_log(files: FileStore) -> RecoveredLog:
    """Reads everything without changing anything. DamageError names what is wrong and where."""
    snapshot, covered = _newest_snapshot(files)
    records: list[tuple[int, bytes]] = []
    last, torn, torn_in = covered, 0, ""
    segments = _segments(files)
    for index, (first, name) in enumerate(segments):
        data = files.read(name)
        if first > last + 1:
            raise LogCorruptedError(f"{name}: records {last + 1} to {first - 1} are missing before it")
        final = index == len(segments) - 1
        if len(data) < _HEADER.size or (len(data) == _HEADER.size and not data.startswith(_MAGIC)):
            if not final:
                raise LogCorruptedError(f"{name}: no header, though segments follow")
            torn, torn_in = len(data), name
            break
        magic, version, begins = _HEADER.unpack_from(data)
        if magic != _MAGIC or begins != first:
            raise LogCorruptedError(f"{name}: not a seat log")
        if version != FORMAT:
            raise LogCorruptedError(f"{name}: format {version}, this program reads {FORMAT}")
        expected, whole = first, _HEADER.size
        for number, body, end in _frames(data):
            if number != expected:
                raise LogCorruptedError(f"{name}: record {expected} expected at byte {whole}, found {number}")
            if number > last:
                records.append((number, body))
                last = number
            expected, whole = number + 1, end
        if whole < len(data):
            if not final or _was_durable(data, whole + 1, expected):
                raise LogCorruptedError(
                    f"{name}: record {expected} damaged at byte {whole}, with good ones behind it"
                )
            torn, torn_in = len(data) - whole, name
    return RecoveredLog(snapshot, records, last, torn, torn_in)


def compact_log(files: FileStore, state: bytes, last: int) -> None:
    """Replaces everything up to record `last` by one snapshot of the state; offline."""
    head = _SNAPSHOT.pack(_MAGIC, FORMAT, last, len(state), _crc(last, 0, state))
    files.replace(f"seats-{last:020d}.snap", head + state)
    _drop_covered(files, last)


def _frames(data: bytes) -> Iterator[tuple[int, bytes, int]]:
    """Whole frames from the start of a segment: number, body, end.

    `_frame_at` in a loop, written out: recovery spends half its time here.
    """
    at, size, head = _HEADER.size, len(data), _FRAME.size
    unpack, checksum = _FRAME.unpack_from, google_crc32c.value
    while at + head <= size:
        length, crc, number, _ = unpack(data, at)
        end = at + head + length
        if length > _MOST or end > size or checksum(data[at + 8 : end]) != crc:
            return
        yield number, data[at + head : end], end
        at = end


def _frame_at(data: bytes, at: int) -> tuple[int, bytes, int] | None:
    if at + _FRAME.size > len(data):
        return None
    length, crc, number, _ = _FRAME.unpack_from(data, at)
    end = at + _FRAME.size + length
    if length > _MOST or end > len(data):
        return None
    # The checksum covers what follows it but the length: number, base and body, as they lie there.
    good = google_crc32c.value(data[at + 8 : end]) == crc
    return (number, data[at + _FRAME.size : end], end) if good else None


def _was_durable(data: bytes, at: int, number: int) -> bool:
    """Whether a whole frame further on says that record `number` had been synced before it was written."""
    for start in range(at, len(data) - _FRAME.size + 1):
        # The base is looked at first: checksums at every byte of a long tail would take minutes.
        if _FRAME.unpack_from(data, start)[3] >= number and _frame_at(data, start) is not None:
            return True
    return False


def _whole_size(data: bytes) -> int:
    if len(data) < _HEADER.size or not data.startswith(_MAGIC):
        return 0
    size = _HEADER.size
    for _, _, end in _frames(data):
        size = end
    return size


def _segments(files: FileStore) -> list[tuple[int, str]]:
    return sorted(
        (int(match[1]), name) for name in files.list_names() if (match := _SEGMENT_NAME.fullmatch(name))
    )


def _snapshots(files: FileStore) -> list[tuple[int, str]]:
    return sorted(
        (int(match[1]), name) for name in files.list_names() if (match := _SNAPSHOT_NAME.fullmatch(name))
    )


def _newest_snapshot(files: FileStore) -> tuple[bytes | None, int]:
    found = _snapshots(files)
    if not found:
        return None, 0
    last, name = found[-1]
    data = files.read(name)
    if len(data) < _SNAPSHOT.size:
        raise LogCorruptedError(f"{name}: cut off, though snapshots are written whole")
    magic, version, number, length, crc = _SNAPSHOT.unpack_from(data)
    state = data[_SNAPSHOT.size :]
    if magic != _MAGIC or number != last:
        raise LogCorruptedError(f"{name}: not a snapshot of record {last}")
    if version != FORMAT:
        raise LogCorruptedError(f"{name}: format {version}, this program reads {FORMAT}")
    if length != len(state) or _crc(number, 0, state) != crc:
        raise LogCorruptedError(f"{name}: checksum does not match")
    return state, last


def _drop_covered(files: FileStore, last: int) -> None:
    """Removes older snapshots and every segment whose records a snapshot of `last` holds."""
    for number, name in _snapshots(files):
        if number < last:
            files.remove(name)
    segments = _segments(files)
    for index, (_, name) in enumerate(segments):
        ends = segments[index + 1][0] - 1 if index + 1 < len(segments) else last
        if ends <= last:
            files.remove(name)
