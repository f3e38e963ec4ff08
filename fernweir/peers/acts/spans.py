"""A set of whole numbers kept as spans, for the numbers of blocks that somebody has."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterator


class Spans:
    """Spans are disjoint, in order, both ends included."""

    __slots__ = ("_firsts", "_lasts")

    def __init__(self) -> None:
        self._firsts: list[int] = []
        self._lasts: list[int] = []

    def __bool__(self) -> bool:
        return bool(self._firsts)

    def __len__(self) -> int:
        """How many spans."""
        return len(self._firsts)

    def __iter__(self) -> Iterator[tuple[int, int]]:
        return zip(self._firsts, self._lasts, strict=True)

    def __contains__(self, number: int) -> bool:
        at = bisect_right(self._firsts, number) - 1
        return at >= 0 and number <= self._lasts[at]

    @property
    def first(self) -> int:
        return self._firsts[0] if self._firsts else 0

    @property
    def last(self) -> int:
        return self._lasts[-1] if self._lasts else 0

    def add(self, first: int, last: int | None = None) -> None:
        last = first if last is None else last
        low = bisect_right(self._lasts, first - 2)  # the first span that touches or follows
        high = bisect_right(self._firsts, last + 1)  # behind the last that touches
        if low < high:
            first, last = min(first, self._firsts[low]), max(last, self._lasts[high - 1])
        self._firsts[low:high], self._lasts[low:high] = [first], [last]

    def remove(self, first: int, last: int) -> None:
        kept = [(low, min(high, first - 1)) for low, high in self if low < first]
        kept += [(max(low, last + 1), high) for low, high in self if high > last]
        self._firsts, self._lasts = [low for low, _ in kept], [high for _, high in kept]

    def drop_below(self, number: int) -> None:
        at = bisect_right(self._lasts, number - 1)
        del self._firsts[:at], self._lasts[:at]
        if self._firsts:
            self._firsts[0] = max(self._firsts[0], number)

    def missing(self, first: int, last: int) -> Iterator[tuple[int, int]]:
        """What is not in the set from `first` to `last`."""
        for low, high in self:
            if high < first:
                continue
            if low > last:
                break
            if low > first:
                yield first, low - 1
            first = high + 1
        if first <= last:
            yield first, last
