"""The content of the endpoint list in encoded form, with the digest that all fronts have for this content.

The digest covers the complete list. To compute it after a change, only the rows that changed are encoded
again; the encoded rows are kept in the order of their numbers.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable
from hashlib import blake2b
from typing import Any

import msgspec

from fernweir.peers.acts.versions import DIGEST_BYTES, LIST_PERSON

_FIXED_ARRAY, _MAX_FIXED_ARRAY = 0x90, 15  # the forms of an array's length in MessagePack
_ARRAY_16, _MAX_ARRAY_16 = b"\xdc", 0xFFFF
_ARRAY_32 = b"\xdd"


class ListContent:
    """The rows of the endpoint list by number; numbers below 0 are no servers."""

    def __init__(self) -> None:
        self._numbers: list[int] = []  # sorted
        self._encoded_rows: list[bytes] = []  # in the order of the numbers

    def replace(self, rows: Iterable[tuple[int, Any]]) -> bool:
        """Sets the complete content. Returns whether rows are gone.

        Raises:
            ValueError: A number occurs twice: which of the two rows holds would depend on their order.
        """
        listed = sorted(rows, key=_number)
        numbers = [number for number, _ in listed]
        current = set(numbers)
        if len(current) != len(numbers):
            raise ValueError("a box is listed twice")
        has_removals = not current.issuperset(self._numbers)
        self._numbers, self._encoded_rows = numbers, [_encode(row) for row in listed]
        return has_removals

    def update(self, rows: Iterable[tuple[int, Any]], removed: Iterable[int]) -> bool:
        """Sets some rows and removes others. Returns whether rows are gone."""
        has_removals = False
        for number in removed:
            place = self._find(number)
            if place is not None:
                del self._numbers[place], self._encoded_rows[place]
                has_removals = True
        for row in rows:
            self._set_row(row)
        return has_removals

    def digest(self) -> bytes:
        """Returns the digest, which equals `versions.boxes_digest` of the same rows."""
        data = _array_header(len(self._numbers)) + b"".join(self._encoded_rows)
        return blake2b(data, digest_size=DIGEST_BYTES, person=LIST_PERSON).digest()

    def _set_row(self, row: tuple[int, Any]) -> None:
        number, encoded_row = row[0], _encode(row)
        place = bisect_left(self._numbers, number)
        if place < len(self._numbers) and self._numbers[place] == number:
            self._encoded_rows[place] = encoded_row
        else:
            self._numbers.insert(place, number)
            self._encoded_rows.insert(place, encoded_row)

    def _find(self, number: int) -> int | None:
        place = bisect_left(self._numbers, number)
        return place if place < len(self._numbers) and self._numbers[place] == number else None


def _number(row: tuple[int, Any]) -> int:
    return row[0]


def _encode(row: tuple[int, Any]) -> bytes:
    return msgspec.msgpack.encode(row, order="deterministic")


def _array_header(length: int) -> bytes:
    if length <= _MAX_FIXED_ARRAY:
        return bytes((_FIXED_ARRAY | length,))
    if length <= _MAX_ARRAY_16:
        return _ARRAY_16 + length.to_bytes(2, "big")
    return _ARRAY_32 + length.to_bytes(4, "big")
