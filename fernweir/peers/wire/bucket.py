"""A budget of bytes a second, as a token bucket (Turner 1986)."""

from __future__ import annotations


class Bucket:
    """`rate` is bytes a second, `burst` the bytes that may go at once. `now` is ms."""

    __slots__ = ("_at", "_tokens", "burst", "rate")

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate, self.burst = rate, burst
        self._tokens, self._at = burst, now

    def take(self, now: float, size: int, keep: float = 0.0) -> bool:
        """Takes `size` bytes if as many are there and `keep` are left after it."""
        self._fill(now)
        if self._tokens - size < keep:
            return False
        self._tokens -= size
        return True

    def wait_ms(self, now: float, size: int, keep: float = 0.0) -> float:
        """How long until `take` would say yes."""
        self._fill(now)
        return max(0.0, (size + keep - self._tokens) / self.rate * 1000.0)

    def _fill(self, now: float) -> None:
        self._tokens = min(self.burst, self._tokens + max(0.0, now - self._at) * self.rate / 1000.0)
        self._at = max(self._at, now)
