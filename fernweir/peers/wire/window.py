"""Replay protection by a sliding window of counters, as in RFC 4303 (Kent 2005) and RFC 6479."""

from __future__ import annotations


class ReplayWindow:
    """The last `size` counters up to the highest seen. Each is accepted once, none before the window."""

    __slots__ = ("_mask", "highest", "seen", "size")

    def __init__(self, size: int = 1_024) -> None:
        self.size, self.highest, self.seen = size, 0, 0
        self._mask = (1 << size) - 1

    def accept(self, counter: int) -> bool:
        """Returns whether a counter is new and not before the window. Counters start at 1."""
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
