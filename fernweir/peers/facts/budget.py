"""A token bucket that limits bytes per second, with a burst."""

from __future__ import annotations


class Budget:
    """A token bucket with `rate` in bytes per second; it starts full.

    Spending may make the level negative; later spending waits until it has recovered.
    """

    __slots__ = ("_at", "_level", "burst", "rate")

    def __init__(self, rate: float, burst: float) -> None:
        self.rate, self.burst = rate, burst
        self._level = burst
        self._at: float | None = None

    def level(self, now: float) -> float:
        """Returns the bytes that are available."""
        if self._at is not None and now > self._at:
            self._level = min(self._level + (now - self._at) * self.rate / 1_000.0, self.burst)
        self._at = now if self._at is None else max(now, self._at)
        return self._level

    def spend(self, now: float, size: float) -> None:
        """Subtracts `size` bytes, even if fewer are available."""
        self._level = self.level(now) - size

    def available_at(self, now: float, size: float) -> float:
        """Returns when `size` bytes will be available; a size above the burst waits for a full bucket."""
        missing = min(size, self.burst) - self.level(now)
        return now if missing <= 0.0 else now + missing * 1_000.0 / self.rate
