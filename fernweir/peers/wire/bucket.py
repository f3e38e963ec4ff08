"""A byte rate limit, implemented as a token bucket (Turner 1986)."""

from __future__ import annotations


class TokenBucket:
    """`rate` is bytes per second, `burst` the bytes that may be sent at once. `now` is in ms."""

    __slots__ = ("_tokens", "_updated_at_ms", "burst", "rate")

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate, self.burst = rate, burst
        self._tokens, self._updated_at_ms = burst, now

    def try_consume(self, now: float, size: int, reserve_bytes: float = 0.0) -> bool:
        """Consumes `size` bytes if they are available and `reserve_bytes` are left afterwards."""
        self._refill(now)
        if self._tokens - size < reserve_bytes:
            return False
        self._tokens -= size
        return True

    def wait_ms(self, now: float, size: int, reserve_bytes: float = 0.0) -> float:
        """Returns the time until `try_consume` would succeed."""
        self._refill(now)
        return max(0.0, (size + reserve_bytes - self._tokens) / self.rate * 1000.0)

    def _refill(self, now: float) -> None:
        self._tokens = min(
            self.burst, self._tokens + max(0.0, now - self._updated_at_ms) * self.rate / 1000.0
        )
        self._updated_at_ms = max(self._updated_at_ms, now)
