"""Stores a journal's segments in a folder: block files of frames, and the newest rows as JSON lines.

A frame is the length and CRC32C of a segment, the numbers of its first and last entry, and the segment.
Reading a file ends at the first truncated or damaged frame: the journal is a record for operators, so a gap
is reported and is not fatal. The checksum covers only the segment and not the numbers: where the numbers of
adjacent frames are not consecutive, the numbers of the rows are used.
"""

from __future__ import annotations

import os
import re
import secrets
import struct
from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path

import google_crc32c
import orjson

from fernweir.front.atomic_file import write_file
from fernweir.journal.events import Entry, EntryError, from_row, to_row
from fernweir.journal.segment import decode_segment
from fernweir.journal.store import StoredSegment

_FRAME_HEADER = struct.Struct("<IIQQ")  # length, CRC32C, first number, last number
_MAGIC = b"FWJRNL1\n"
_JOURNAL_ID = re.compile(r"[0-9a-f]{16}")
_JOURNAL_ID_BYTES = 8
_BLOCK_FILE_NAME = re.compile(r"journal-(\d{12})\.blocks")
_ROW_FILE_NAME = "newest.rows"
_FILE_MODE = 0o600


@dataclass(frozen=True, slots=True)
class _SegmentLocation:
    """The location of a segment: number of its file, offset and size in bytes, and CRC32C."""

    file_number: int
    offset: int
    size: int
    crc: int


@dataclass(slots=True)
class _BlockFile:
    number: int
    first_entry: int
    size: int


@dataclass(frozen=True, slots=True)
class _Frame:
    first: int
    last: int
    location: _SegmentLocation


class JournalFolder:
    """A folder with a journal's segments and newest rows.

    Attributes:
        folder: The folder.
        problems: Descriptions of the damaged and missing data that was found when the folder was opened.

    Args:
        folder: The folder; `open` creates it if it does not exist.
        max_bytes: Upper limit of all block files; the oldest file is deleted first.
        file_bytes: Size from which a new block file is started.
    """

    def __init__(self, folder: Path, *, max_bytes: int = 256 << 20, file_bytes: int = 16 << 20) -> None:
        self.folder = folder
        self.problems: list[str] = []
        self._max_bytes = max_bytes
        self._file_bytes = file_bytes
        self._files: deque[_BlockFile] = deque()
        self._block_descriptor: int | None = None
        self._row_descriptor: int | None = None
        self._next_file_number = 1

    @property
    def stored_bytes(self) -> int:
        """The size of all block files."""
        return sum(file.size for file in self._files)

    def open(self) -> tuple[str, list[StoredSegment], list[Entry]]:
        """Reads the folder and prepares it for writing.

        Returns:
            The id of the journal, its sealed segments, and the entries after them.

        Raises:
            OSError: The folder cannot be read or written.
        """
        self.folder.mkdir(parents=True, exist_ok=True)
        journal_id = self._read_or_create_id()
        segments: list[StoredSegment] = []
        for number, name in self._block_files():
            frames, size = self._scan_file(number, self.folder / name)
            if not frames:
                (self.folder / name).unlink()
                continue
            first = frames[0].first
            if segments and first != segments[-1].last + 1:
                self.problems.append(f"{name}: entries {segments[-1].last + 1} to {first - 1} are missing")
            self._files.append(_BlockFile(number, first, size))
            segments += [StoredSegment(frame.first, frame.last, frame.location) for frame in frames]
            self._next_file_number = number + 1
        newest = self._read_rows(segments[-1].last if segments else 0)
        self._replace_rows(newest)
        return journal_id, segments, newest

    def append_segment(self, first: int, last: int, data: bytes) -> object:
        """Appends a sealed segment and removes the stored newest rows, all of which the segment contains.

        Args:
            first: Number of its first entry.
            last: Number of its last entry.
            data: Its bytes.

        Returns:
            A handle for `read_segment`.

        Raises:
            OSError: The segment could not be written.
        """
        file = self._files[-1] if self._files else None
        if self._block_descriptor is None or file is None or file.size >= self._file_bytes:
            file = self._start_file(first)
        assert self._block_descriptor is not None
        crc = _crc32c(data)
        frame = _FRAME_HEADER.pack(len(data), crc, first, last) + data
        offset = file.size
        try:
            _write_all(self._block_descriptor, frame)
        except OSError:
            # A partly written frame must neither remain between complete frames nor leave a gap there.
            os.ftruncate(self._block_descriptor, offset)
            os.lseek(self._block_descriptor, offset, os.SEEK_SET)
            raise
        file.size += len(frame)
        self._delete_oldest_files()
        self._replace_rows([])
        return _SegmentLocation(file.number, offset + _FRAME_HEADER.size, len(data), crc)

    def read_segment(self, handle: object) -> bytes:
        """Returns the bytes of a segment.

        Raises:
            OSError: The segment cannot be read, or its bytes are damaged.
        """
        assert isinstance(handle, _SegmentLocation)
        path = self._path(handle.file_number)
        with open(path, "rb") as file:
            file.seek(handle.offset)
            data = file.read(handle.size)
        if len(data) != handle.size or _crc32c(data) != handle.crc:
            raise OSError(f"{path.name}: damaged at byte {handle.offset}")
        return data

    def append_row(self, entry: Entry) -> None:
        """Stores one entry until its segment is sealed.

        Raises:
            OSError: The entry could not be written.
        """
        if self._row_descriptor is None:
            self._replace_rows([])
        assert self._row_descriptor is not None
        _write_all(self._row_descriptor, _row_line(entry))

    def first_number(self) -> int:
        """Returns the number of the oldest stored entry; 0 if there is no segment."""
        return self._files[0].first_entry if self._files else 0

    def close(self) -> None:
        """Closes the open files."""
        for descriptor in (self._block_descriptor, self._row_descriptor):
            if descriptor is not None:
                os.close(descriptor)
        self._block_descriptor = None
        self._row_descriptor = None

    def _read_or_create_id(self) -> str:
        path = self.folder / "id"
        try:
            journal_id = path.read_text(encoding="ascii").strip()
        except (FileNotFoundError, UnicodeDecodeError):
            journal_id = ""
        if not _JOURNAL_ID.fullmatch(journal_id):
            journal_id = secrets.token_hex(_JOURNAL_ID_BYTES)
            write_file(path, journal_id.encode())
        return journal_id

    def _path(self, file_number: int) -> Path:
        return self.folder / f"journal-{file_number:012d}.blocks"

    def _block_files(self) -> list[tuple[int, str]]:
        """Returns the numbers and names of the block files, oldest first."""
        matches = (_BLOCK_FILE_NAME.fullmatch(name) for name in os.listdir(self.folder))
        return sorted((int(match[1]), match[0]) for match in matches if match)

    def _start_file(self, first_entry: int) -> _BlockFile:
        if self._block_descriptor is not None:
            os.close(self._block_descriptor)
            self._block_descriptor = None
        path = self._path(self._next_file_number)
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, _FILE_MODE)
        try:
            _write_all(descriptor, _MAGIC)
        except OSError:
            os.close(descriptor)
            path.unlink(missing_ok=True)
            raise
        self._block_descriptor = descriptor
        file = _BlockFile(self._next_file_number, first_entry, len(_MAGIC))
        self._files.append(file)
        self._next_file_number += 1
        return file

    def _delete_oldest_files(self) -> None:
        while len(self._files) > 1 and self.stored_bytes > self._max_bytes:
            self._path(self._files.popleft().number).unlink(missing_ok=True)

    def _scan_file(self, number: int, path: Path) -> tuple[list[_Frame], int]:
        """Returns the intact frames of a block file, and its size in bytes."""
        data = path.read_bytes()
        if not data.startswith(_MAGIC):
            if data and not _MAGIC.startswith(data):
                self.problems.append(f"{path.name}: not a journal file")
            return [], 0
        frames: list[_Frame] = []
        offset = len(_MAGIC)
        while offset + _FRAME_HEADER.size <= len(data):
            size, crc, first, last = _FRAME_HEADER.unpack_from(data, offset)
            start = offset + _FRAME_HEADER.size
            segment = data[start : start + size]
            # Size 0 is treated as damage: zero bytes left by a lost write would otherwise be read as
            # frames of empty segments.
            if not size or len(segment) < size or _crc32c(segment) != crc:
                break
            frames.append(_Frame(first, last, _SegmentLocation(number, start, size, crc)))
            offset = start + size
        if offset < len(data):
            skipped = len(data) - offset
            self.problems.append(f"{path.name}: damaged at byte {offset}, {skipped} bytes skipped")
        return self._correct_numbers(path.name, data, frames), len(data)

    def _correct_numbers(self, name: str, data: bytes, frames: list[_Frame]) -> list[_Frame]:
        """Returns the frames; where adjacent numbers are not consecutive, with the numbers from the rows."""
        corrected: list[_Frame] = []
        unconfirmed = _unconfirmed_frames(frames)
        for index, frame in enumerate(frames):
            if index in unconfirmed:
                location = frame.location
                segment = data[location.offset : location.offset + location.size]
                numbers = _numbers_of_rows(segment) or (frame.first, frame.last)
                if numbers != (frame.first, frame.last):
                    frame_offset = location.offset - _FRAME_HEADER.size
                    self.problems.append(f"{name}: damaged entry numbers at byte {frame_offset}")
                    frame = _Frame(*numbers, location)
            corrected.append(frame)
        return corrected

    def _read_rows(self, sealed_to: int) -> list[Entry]:
        """Returns the stored rows that no segment contains: those with numbers above `sealed_to`."""
        try:
            lines = (self.folder / _ROW_FILE_NAME).read_bytes().split(b"\n")
        except FileNotFoundError:
            return []
        entries: list[Entry] = []
        for line in lines[:-1]:  # a last line without a line feed was truncated when the process was killed
            try:
                entry = from_row(orjson.loads(line))
            except (ValueError, EntryError):
                self.problems.append(
                    "newest.rows: a row cannot be read; it and the rows after it are skipped"
                )
                break
            if entry.number > sealed_to:
                entries.append(entry)
        return entries

    def _replace_rows(self, entries: Iterable[Entry]) -> None:
        """Replaces the file of the newest rows with one that contains these entries."""
        if self._row_descriptor is not None:
            os.close(self._row_descriptor)
            self._row_descriptor = None
        path = self.folder / _ROW_FILE_NAME
        new_path = path.with_suffix(".new")
        descriptor = os.open(new_path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, _FILE_MODE)
        try:
            _write_all(descriptor, b"".join(_row_line(entry) for entry in entries))
            os.replace(new_path, path)
        except OSError:
            os.close(descriptor)
            raise
        self._row_descriptor = descriptor


def _crc32c(data: bytes) -> int:
    return int(google_crc32c.value(data))


def _row_line(entry: Entry) -> bytes:
    return orjson.dumps(to_row(entry)) + b"\n"


def _unconfirmed_frames(frames: Sequence[_Frame]) -> set[int]:
    """Returns the indexes of the first and last frame, and of adjacent frames that are not consecutive."""
    unconfirmed = {0, len(frames) - 1}
    for index in range(1, len(frames)):
        if frames[index].first != frames[index - 1].last + 1:
            unconfirmed |= {index - 1, index}
    return unconfirmed


def _numbers_of_rows(segment: bytes) -> tuple[int, int] | None:
    """Returns the numbers of a segment's first and last row; None if they cannot be read."""
    try:
        rows = decode_segment(segment)
        return from_row(rows[0]).number, from_row(rows[-1]).number
    except (EntryError, IndexError):
        return None


def _write_all(descriptor: int, data: bytes) -> None:
    """Writes all the data in a loop, because a single write may store only part of it, e.g. on a full disk.

    Raises:
        OSError: The data could not be written; part of it may have been.
    """
    remaining = memoryview(data)
    while remaining:
        remaining = remaining[os.write(descriptor, remaining) :]
