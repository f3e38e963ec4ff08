"""Sealed segments of the journal: compressed rows, with an index for queries by field.

Fields with few values (kind, server, title, tenant, class, reason, front) have one bitmap for each value: a
Python int with one bit for each entry, so that a query on several fields needs only a few AND operations,
and a query without matches decodes nothing. Sessions have many values with few entries each: a sorted array
of 32-bit hashes with their offsets. As hashes can collide, decoded entries are compared with the query. This
module performs no I/O.
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

# The attributes of an entry by the field names of queries, which are part of the control protocol.
ATTRIBUTE_OF_FIELD: Mapping[str, str] = {
    "what": "what",
    "box": "server",
    "lesson": "title",
    "tenant": "tenant",
    "cls": "cls",
    "why": "why",
    "front": "front",
}
_COMPRESSION_LEVEL = 1  # fast rather than small: segments are sealed on the event loop that serves viewers
_BITMAP_BYTES = 120  # approximate cost of one value's bitmap, with its key
_HASH_BYTES = 6  # a hash and its offset
_INDEX_BYTES = 200  # approximate cost of an empty index
_FOREVER_MS = 1 << 62


@dataclass(frozen=True, slots=True)
class Query:
    """Filters for entries; an entry matches if all of them hold.

    Attributes:
        session: The session; None for any.
        equal: Values by field, see `ATTRIBUTE_OF_FIELD`.
        since: Earliest wall time in milliseconds.
        until: Exclusive upper limit of the wall time in milliseconds.
    """

    session: str | None = None
    equal: Mapping[str, object] = field(default_factory=dict)
    since: int = 0
    until: int = _FOREVER_MS

    def matches(self, entry: Entry) -> bool:
        """Returns whether all filters hold for an entry."""
        if not self.since <= entry.at < self.until:
            return False
        if self.session is not None and entry.session != self.session:
            return False
        return all(getattr(entry, ATTRIBUTE_OF_FIELD[name]) == value for name, value in self.equal.items())


def session_hash(session: str) -> int:
    """Returns the 32-bit hash under which the index stores a session."""
    return zlib.crc32(session.encode("utf-8", "surrogateescape"))


class Index:
    """Finds the entries of a segment that may match a query; exact except for hash collisions of sessions.

    Args:
        entries: Objects with a `session` and the attributes that `attribute_of_field` names.
        attribute_of_field: The attribute of each field that has a bitmap for each of its values.
    """

    __slots__ = ("_bitmaps", "_hashes", "_offsets", "size")

    def __init__(
        self, entries: Sequence[Any], attribute_of_field: Mapping[str, str] = ATTRIBUTE_OF_FIELD
    ) -> None:
        self.size = len(entries)
        self._bitmaps: dict[tuple[str, object], int] = {}
        hashed: list[tuple[int, int]] = []
        for offset, entry in enumerate(entries):
            bit = 1 << offset
            for name, attribute in attribute_of_field.items():
                value = getattr(entry, attribute)
                if value != "" and value != -1:
                    key = (name, value)
                    self._bitmaps[key] = self._bitmaps.get(key, 0) | bit
            if entry.session:
                hashed.append((session_hash(entry.session), offset))
        hashed.sort()
        self._hashes = array("I", (session for session, _ in hashed))
        self._offsets = array("H", (offset for _, offset in hashed))

    def size_bytes(self) -> int:
        """Returns the approximate memory of the index in bytes."""
        return len(self._bitmaps) * _BITMAP_BYTES + len(self._hashes) * _HASH_BYTES + _INDEX_BYTES

    def find(self, query: Query) -> int:
        """Returns a bitmap of the offsets of entries that may match."""
        bitmap = (1 << self.size) - 1
        for key in query.equal.items():
            bitmap &= self._bitmaps.get(key, 0)
            if not bitmap:
                return 0
        if query.session is not None:
            bitmap &= self._session_bitmap(session_hash(query.session))
        return bitmap

    def _session_bitmap(self, hash_value: int) -> int:
        bitmap = 0
        position = bisect_left(self._hashes, hash_value)
        while position < len(self._hashes) and self._hashes[position] == hash_value:
            bitmap |= 1 << self._offsets[position]
            position += 1
        return bitmap


def set_bits(bitmap: int, *, newest_first: bool) -> Iterator[int]:
    """Yields the offsets of the set bits of a bitmap, in order."""
    while bitmap:
        bit = bitmap.bit_length() - 1 if newest_first else (bitmap & -bitmap).bit_length() - 1
        yield bit
        bitmap &= ~(1 << bit)


def encode_segment(entries: Sequence[Entry]) -> bytes:
    """Returns the bytes of a sealed segment with these entries."""
    return zlib.compress(orjson.dumps([to_row(entry) for entry in entries]), _COMPRESSION_LEVEL)


def decode_segment(data: bytes) -> list[Any]:
    """Returns the rows of a segment without validating them; see `from_row`.

    Raises:
        EntryError: The bytes are not a segment.
    """
    try:
        rows = orjson.loads(zlib.decompress(data))
    except (zlib.error, ValueError) as error:
        raise EntryError(f"the segment cannot be decoded: {error}") from None
    if not isinstance(rows, list):
        raise EntryError("the segment must be a list of rows")
    return rows
