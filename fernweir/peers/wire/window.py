"""Which counters of a sender were seen: a sliding window, as in RFC 4303 (Kent 2005) and RFC 6479."""

from __future__ import annotations


class Window:
    """The last `size` counters up to the highest seen: each is taken once, none from before them."""

    __slots__ = ("_mask", "highest", "seen", "size")

    def __init__(self, size: int = 1_024) -> None:
        self.size, self.highest, self.seen = size, 0, 0
        self._mask = (1 << size) - 1

    def accept(self, counter: int) -> bool:
        """True the first time a counter comes, if it is not before the window. Counters start at 1."""
        ahead = counter - self.highest
        if ahead > 0:
            self.seen = ((self.seen << ahead) | 1) & self._mask if ahead < self.size else 1
            self.highest = counter
            return True
        if -ahead >= self.size or counter < 1:
            return False
        bit = 1 << -ahead
        if self.seen & bit:
            return False
        self.seen |= bit
        return True
