"""Keeps the journal's segments in a folder: block files of frames, and the newest rows as JSON lines.

A frame is length, CRC32C, first and last number, and a segment's bytes. A frame that is cut off or damaged
ends what is read of its file: the journal is a record for people, and a hole in it is said, not fatal. The
checksum is of the segment's bytes: where numbers don't follow on, those of its rows are taken.
"""

from __future__ import annotations

import os
import re
import secrets
import struct
from collections import deque
from dataclasses import dataclass
from pathlib import Path

import google_crc32c
import orjson

from fernweir.front.atomic_file import write_file
from fernweir.journal.events import Entry, EntryError, from_row, to_row
from fernweir.journal.segment import decode_segment

_FRAME = struct.Struct("<IIQQ")
_MAGIC = b"FWJRNL1\n"
_ID = re.compile(r"[0-9a-f]{16}")
_NAME = re.compile(r"journal-(\d{12})\.blocks")


@dataclass(frozen=True, slots=True)
class _Handle:
    file: int
    at: int
    size: int
    crc: int


@dataclass(slots=True)
class _File:
    number: int
    first: int
    size: int


class JournalFolder:
    """At most `most_bytes` in files of `file_bytes`; the oldest file is deleted first."""

    def __init__(self, folder: Path, *, max_bytes: int = 256 << 20, file_bytes: int = 16 << 20) -> None:
        self.folder, self._most, self._file_bytes = folder, max_bytes, file_bytes
        self.problems: list[str] = []  # what was found wrong when it was opened
        self._files: deque[_File] = deque()
        self._out: int | None = None
        self._tail: int | None = None
        self._next = 1

    @property
    def stored_bytes(self) -> int:
        return sum(file.size for file in self._files)

    def open(self) -> tuple[str, list[tuple[int, int, object]], list[Entry]]:
        """What is there: the journal's id, sealed segments by first and last number, the rows after them."""
        self.folder.mkdir(parents=True, exist_ok=True)
        id = self._read_id()
        sealed: list[tuple[int, int, object]] = []
        names = sorted((int(match[1]), name) for name in os.listdir(self.folder)
                       if (match := _NAME.fullmatch(name)))  # fmt: skip
        for number, name in names:
            found, size = self._scan(number, self.folder / name)
            if not found:
                (self.folder / name).unlink()
                continue
            if sealed and found[0][0] != sealed[-1][1] + 1:
                self.problems.append(f"{name}: entries {sealed[-1][1] + 1} to {found[0][0] - 1} are missing")
            self._files.append(_File(number, found[0][0], size))
            sealed += found
            self._next = number + 1
        tail = self._read_tail(sealed[-1][1] if sealed else 0)
        self._write_tail(tail)
        return id, sealed, tail

    def append_segment(self, first: int, last: int, data: bytes) -> object:
        file = self._files[-1] if self._files else None
        if self._out is None or file is None or file.size >= self._file_bytes:
            file = self._begin(first)
        assert self._out is not None
        crc = int(google_crc32c.value(data))
        frame = _FRAME.pack(len(data), crc, first, last) + data
        at = file.size
        try:
            _write(self._out, frame)
        except OSError:
            # Whatever part was written must not stand between good frames, nor a hole in its place.
            os.ftruncate(self._out, at)
            os.lseek(self._out, at, os.SEEK_SET)
            raise
        file.size += len(frame)
        self._bound()
        self._write_tail([])
        return _Handle(file.number, at + _FRAME.size, len(data), crc)

    def read_segment(self, handle: object) -> bytes:
        assert isinstance(handle, _Handle)
        with open(self._path(handle.file), "rb") as file:
            file.seek(handle.at)
            data = file.read(handle.size)
        if len(data) != handle.size or int(google_crc32c.value(data)) != handle.crc:
            raise OSError(f"{self._path(handle.file).name}: damaged at byte {handle.at}")
        return data

    def append_row(self, entry: Entry) -> None:
        if self._tail is None:
            self._write_tail([])
        assert self._tail is not None
        _write(self._tail, orjson.dumps(to_row(entry)) + b"\n")

    def first_number(self) -> int:
        return self._files[0].first if self._files else 0

    def close(self) -> None:
        for handle in (self._out, self._tail):
            if handle is not None:
                os.close(handle)
        self._out = self._tail = None

    # --- pieces ---

    def _read_id(self) -> str:
        path = self.folder / "id"
        try:
            id = path.read_text(encoding="ascii").strip()
        except (FileNotFoundError, UnicodeDecodeError):
            id = ""
        if not _ID.fullmatch(id):
            id = secrets.token_hex(8)
            write_file(path, id.encode())
        return id

    def _path(self, number: int) -> Path:
        return self.folder / f"journal-{number:012d}.blocks"

    def _begin(self, first: int) -> _File:
        if self._out is not None:
            os.close(self._out)
            self._out = None
        path = self._path(self._next)
        out = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            _write(out, _MAGIC)
        except OSError:
            os.close(out)
            path.unlink(missing_ok=True)
            raise
        self._out = out
        self._files.append(_File(self._next, first, len(_MAGIC)))
        self._next += 1
        return self._files[-1]

    def _bound(self) -> None:
        while len(self._files) > 1 and self.stored_bytes > self._most:
            self._path(self._files.popleft().number).unlink(missing_ok=True)

    def _scan(self, number: int, path: Path) -> tuple[list[tuple[int, int, object]], int]:
        data = path.read_bytes()
        if not data.startswith(_MAGIC):
            if data and not _MAGIC.startswith(data):
                self.problems.append(f"{path.name}: not a journal")
            return [], 0
        found: list[tuple[int, int, _Handle]] = []
        at = len(_MAGIC)
        while at + _FRAME.size <= len(data):
            size, crc, first, last = _FRAME.unpack_from(data, at)
            body = data[at + _FRAME.size : at + _FRAME.size + size]
            if not size or len(body) < size or int(google_crc32c.value(body)) != crc:
                break  # no bytes are no segment: zeros that a lost write left would be frames of none
            found.append((first, last, _Handle(number, at + _FRAME.size, size, crc)))
            at += _FRAME.size + size
        if at < len(data):
            self.problems.append(f"{path.name}: damaged at byte {at}, {len(data) - at} bytes passed over")
        return self._renumbered(path.name, data, found), len(data)

    def _renumbered(
        self, name: str, data: bytes, found: list[tuple[int, int, _Handle]]
    ) -> list[tuple[int, int, object]]:
        """Frames with their rows' numbers, where their own can't be told to be right by their neighbours'."""
        doubtful = {0, len(found) - 1}
        for at in range(1, len(found)):
            if found[at][0] != found[at - 1][1] + 1:
                doubtful |= {at - 1, at}
        frames: list[tuple[int, int, object]] = []
        for at, (first, last, handle) in enumerate(found):
            if at in doubtful:
                numbers = _numbers(data[handle.at : handle.at + handle.size]) or (first, last)
                if numbers != (first, last):
                    self.problems.append(f"{name}: damaged numbers at byte {handle.at - _FRAME.size}")
                    first, last = numbers
            frames.append((first, last, handle))
        return frames

    def _read_tail(self, sealed_to: int) -> list[Entry]:
        try:
            lines = (self.folder / "newest.rows").read_bytes().split(b"\n")
        except FileNotFoundError:
            return []
        entries: list[Entry] = []
        for line in lines[:-1]:  # what has no line end was cut off by a kill
            try:
                entry = from_row(orjson.loads(line))
            except (ValueError, EntryError):
                self.problems.append("newest.rows: a row can't be read, those behind it are passed over")
                break
            if entry.number > sealed_to:
                entries.append(entry)
        return entries

    def _write_tail(self, entries: list[Entry]) -> None:
        """Begins the file of newest rows anew."""
        if self._tail is not None:
            os.close(self._tail)
            self._tail = None
        path = self.folder / "newest.rows"
        beside = path.with_suffix(".new")
        out = os.open(beside, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            _write(out, b"".join(orjson.dumps(to_row(entry)) + b"\n" for entry in entries))
            os.replace(beside, path)
        except OSError:
            os.close(out)
            raise
        self._tail = out


def _numbers(segment: bytes) -> tuple[int, int] | None:
    """The first and the last number in it; None if it has no rows that can be read."""
    try:
        rows = decode_segment(segment)
        return from_row(rows[0]).number, from_row(rows[-1]).number
    except (EntryError, IndexError):
        return None


def _write(out: int, data: bytes) -> None:
    """All of it, or OSError: a full disk may take a part first."""
    view = memoryview(data)
    while view:
        view = view[os.write(out, view) :]
