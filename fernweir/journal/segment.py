"""A sealed piece of the journal: compressed rows with an index made for asking by field.

Fields of few values (kind, box, lesson, tenant, class, reason, front) have one bitmap a value, a Python int
with a bit an entry, so that a question on several fields is a few ANDs and finds nothing without decoding.
Sessions have many values with few entries each: a sorted array of 32-bit hashes with their offsets. A hash
can be another session's; what is decoded is compared. Free of I/O.
"""

from __future__ import annotations

import zlib
from array import array
from bisect import bisect_left
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

import orjson

from fernweir.journal.events import Entry, EntryError, to_row

FIELDS = ("what", "box", "lesson", "tenant", "cls", "why", "front")
_LEVEL = 1  # a segment is sealed on the loop that answers viewers: speed before size
_BITMAP_BYTES = 120  # about what one value's bitmap costs, key included


@dataclass(frozen=True, slots=True)
class Query:
    """All that is given must hold. Times are wall ms, `since` included and `until` not."""

    session: str | None = None
    equal: Mapping[str, object] = field(default_factory=dict)
    since: int = 0
    until: int = 1 << 62

    def matches(self, entry: Entry) -> bool:
        if not self.since <= entry.at < self.until:
            return False
        if self.session is not None and entry.session != self.session:
            return False
        return all(getattr(entry, name) == value for name, value in self.equal.items())


def session_hash(session: str) -> int:
    return zlib.crc32(session.encode("utf-8", "surrogateescape"))


class Index:
    """Answers which offsets of a run of entries may hold; exact but for sessions.

    An entry is anything with a `session` and the `fields` that are asked for.
    """

    __slots__ = ("_bits", "_hashes", "_offsets", "size")

    def __init__(self, entries: Sequence[Any], fields: Sequence[str] = FIELDS) -> None:
        self.size = len(entries)
        self._bits: dict[tuple[str, object], int] = {}
        named: list[tuple[int, int]] = []
        for offset, entry in enumerate(entries):
            bit = 1 << offset
            for name in fields:
                value = getattr(entry, name)
                if value != "" and value != -1:
                    key = (name, value)
                    self._bits[key] = self._bits.get(key, 0) | bit
            if entry.session:
                named.append((session_hash(entry.session), offset))
        named.sort()
        self._hashes = array("I", (hashed for hashed, _ in named))
        self._offsets = array("H", (offset for _, offset in named))

    def size_bytes(self) -> int:
        return len(self._bits) * _BITMAP_BYTES + len(self._hashes) * 6 + 200

    def find(self, query: Query) -> int:
        """A bitmap of the offsets that may hold."""
        found = (1 << self.size) - 1
        for key in query.equal.items():
            found &= self._bits.get(key, 0)
            if not found:
                return 0
        if query.session is not None:
            wanted = session_hash(query.session)
            mine, at = 0, bisect_left(self._hashes, wanted)
            while at < len(self._hashes) and self._hashes[at] == wanted:
                mine |= 1 << self._offsets[at]
                at += 1
            found &= mine
        return found


def set_bits(bitmap: int, *, newest_first: bool) -> Iterator[int]:
    """The set bits of a bitmap, in order."""
    while bitmap:
        bit = bitmap.bit_length() - 1 if newest_first else (bitmap & -bitmap).bit_length() - 1
        yield bit
        bitmap &= ~(1 << bit)


def encode_segment(entries: Sequence[Entry]) -> bytes:
    return zlib.compress(orjson.dumps([to_row(entry) for entry in entries]), _LEVEL)


def decode_segment(data: bytes) -> list[Any]:
    """The rows of a segment, each still to be read. EntryError if the bytes are none."""
    try:
        rows = orjson.loads(zlib.decompress(data))
    except (zlib.error, ValueError) as error:
        raise EntryError(f"segment: {error}") from None
    if not isinstance(rows, list):
        raise EntryError("segment: no list")
    return rows
