"""Defines the encoding of the seat log: segments of frames, and snapshots.

A segment is a header followed by frames. A frame is its length and CRC32C (u32, little-endian each), the
record's sequence number and its base (u64 each), and the record; the checksum covers all but itself and the
length. Sequence numbers increase by one without gaps; the base is the newest number that was durable when
the frame was written. A snapshot is a header with the sequence number of its last record, and the state.
"""

from __future__ import annotations

import re
import struct
from collections.abc import Iterator
from typing import NamedTuple

import google_crc32c

from fernweir.seats.file_store import FileStore

FORMAT_VERSION = 1
MAX_RECORD_BYTES = 1 << 20
_MAGIC = b"FWSEAT"
_HEADER = struct.Struct("<6sHQ")  # magic, version, sequence number of the first record
_FRAME = struct.Struct("<IIQQ")  # length, checksum, sequence number, base
_CHECKED_FROM = 8  # offset in a frame: the checksum covers sequence number, base and record
_NUMBERS = struct.Struct("<QQ")
_SNAPSHOT = struct.Struct("<6sHQII")  # magic, version, last sequence number, length, checksum
_SEGMENT_NAME = re.compile(r"seats-(\d{20})\.log")
_SNAPSHOT_NAME = re.compile(r"seats-(\d{20})\.snap")

SEGMENT_HEADER_BYTES = _HEADER.size


class LogError(Exception):
    """Raised when the log cannot be read or written."""


class LogCorruptedError(LogError):
    """Raised when the log has damage that no crash can cause: recovery would lose durable records."""


class NumberedFile(NamedTuple):
    """A segment with the number of its first record, or a snapshot with the number of its last record."""

    sequence: int
    name: str


def segment_name(first_sequence: int) -> str:
    """Returns the file name of the segment that begins with this record."""
    return f"seats-{first_sequence:020d}.log"


def snapshot_name(last_sequence: int) -> str:
    """Returns the file name of the snapshot that ends with this record."""
    return f"seats-{last_sequence:020d}.snap"


def list_segments(files: FileStore) -> list[NumberedFile]:
    """Returns the segments ordered by their sequence numbers."""
    return _list_matching(files, _SEGMENT_NAME)


def list_snapshots(files: FileStore) -> list[NumberedFile]:
    """Returns the snapshots ordered by their sequence numbers."""
    return _list_matching(files, _SNAPSHOT_NAME)


def encode_segment_header(first_sequence: int) -> bytes:
    """Encodes the header of the segment that begins with this record."""
    return _HEADER.pack(_MAGIC, FORMAT_VERSION, first_sequence)


def has_segment_header(data: bytes) -> bool:
    """Whether a segment's header was written: a crash can leave it incomplete, or without its content."""
    if len(data) == _HEADER.size:
        return data.startswith(_MAGIC)
    return len(data) > _HEADER.size


def check_segment_header(segment: NumberedFile, data: bytes) -> None:
    """Checks that a segment's header has the expected magic, version and sequence number.

    Raises:
        LogCorruptedError: The header does not match.
    """
    magic, version, first_sequence = _HEADER.unpack_from(data)
    if magic != _MAGIC or first_sequence != segment.sequence:
        raise LogCorruptedError(f"{segment.name}: not a seat log")
    _check_version(segment.name, version)


def encode_frame(sequence: int, base: int, record: bytes) -> bytes:
    """Encodes a record; `base` is the newest durable sequence number."""
    return _FRAME.pack(len(record), _checksum(sequence, base, record), sequence, base) + record


def iterate_frames(data: bytes) -> Iterator[tuple[int, bytes, int]]:
    """Yields the valid frames of a segment up to the first invalid one.

    Yields:
        The sequence number, the record, and the position after the frame.
    """
    # Yields plain tuples and does not call `_is_frame_at`: recovery spends half of its time in this loop.
    start, size, header_size = _HEADER.size, len(data), _FRAME.size
    unpack, checksum_of = _FRAME.unpack_from, google_crc32c.value
    while start + header_size <= size:
        length, checksum, sequence, _ = unpack(data, start)
        end = start + header_size + length
        if length > MAX_RECORD_BYTES or end > size:
            return
        if checksum_of(data[start + _CHECKED_FROM : end]) != checksum:
            return
        yield sequence, data[start + header_size : end], end
        start = end


def has_frame_based_on(data: bytes, start: int, sequence: int) -> bool:
    """Whether a valid frame at or after `start` proves that record `sequence` was durable before it."""
    for position in range(start, len(data) - _FRAME.size + 1):
        # Checks the base first: computing a checksum at every byte of a long tail would take minutes.
        base = _FRAME.unpack_from(data, position)[3]
        if base >= sequence and _is_frame_at(data, position):
            return True
    return False


def valid_size(data: bytes) -> int:
    """Returns the size in bytes of a segment's header and valid frames; 0 without a valid header."""
    if len(data) < _HEADER.size or not data.startswith(_MAGIC):
        return 0
    size = _HEADER.size
    for _, _, end in iterate_frames(data):
        size = end
    return size


def encode_snapshot(last_sequence: int, state: bytes) -> bytes:
    """Encodes a snapshot of the state after record `last_sequence`."""
    checksum = _checksum(last_sequence, 0, state)
    return _SNAPSHOT.pack(_MAGIC, FORMAT_VERSION, last_sequence, len(state), checksum) + state


def decode_snapshot(snapshot: NumberedFile, data: bytes) -> bytes:
    """Returns the state in a snapshot.

    Raises:
        LogCorruptedError: The snapshot is damaged or has another version.
    """
    if len(data) < _SNAPSHOT.size:
        raise LogCorruptedError(
            f"{snapshot.name}: shorter than its header, but snapshots are written atomically"
        )
    magic, version, last_sequence, length, checksum = _SNAPSHOT.unpack_from(data)
    state = data[_SNAPSHOT.size :]
    if magic != _MAGIC or last_sequence != snapshot.sequence:
        raise LogCorruptedError(f"{snapshot.name}: not a snapshot of record {snapshot.sequence}")
    _check_version(snapshot.name, version)
    if length != len(state) or _checksum(last_sequence, 0, state) != checksum:
        raise LogCorruptedError(f"{snapshot.name}: checksum does not match")
    return state


def _list_matching(files: FileStore, pattern: re.Pattern[str]) -> list[NumberedFile]:
    matches = (pattern.fullmatch(name) for name in files.list_names())
    return sorted(NumberedFile(int(match[1]), match[0]) for match in matches if match)


def _check_version(name: str, version: int) -> None:
    if version != FORMAT_VERSION:
        raise LogCorruptedError(f"{name}: format {version}, this program reads {FORMAT_VERSION}")


def _checksum(sequence: int, base: int, record: bytes) -> int:
    return int(google_crc32c.extend(google_crc32c.value(_NUMBERS.pack(sequence, base)), record))


def _is_frame_at(data: bytes, start: int) -> bool:
    if start + _FRAME.size > len(data):
        return False
    length, checksum, _, _ = _FRAME.unpack_from(data, start)
    end = start + _FRAME.size + length
    if length > MAX_RECORD_BYTES or end > len(data):
        return False
    return bool(google_crc32c.value(data[start + _CHECKED_FROM : end]) == checksum)
