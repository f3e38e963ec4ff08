"""A token bucket: so many bytes a second, and a burst."""

from __future__ import annotations


class Budget:
    """`rate` in bytes a second; starts full. What is spent may go below nothing, and is paid back in time."""

    __slots__ = ("_at", "_level", "burst", "rate")

    def __init__(self, rate: float, burst: float) -> None:
        self.rate, self.burst = rate, burst
        self._level = burst
        self._at: float | None = None

    def level(self, now: float) -> float:
        if self._at is not None and now > self._at:
            self._level = min(self._level + (now - self._at) * self.rate / 1_000.0, self.burst)
        self._at = now if self._at is None else max(now, self._at)
        return self._level

    def spend(self, now: float, size: float) -> None:
        self._level = self.level(now) - size

    def when(self, now: float, size: float) -> float:
        """The time at which so much will be there; a size over the burst waits for the burst."""
        missing = min(size, self.burst) - self.level(now)
        return now if missing <= 0.0 else now + missing * 1_000.0 / self.rate
