"""When a request is made again, and when none is made at all; free of I/O and clock, drawn from a seed.

Token buckets by tenant and by server bound repeats to a share of first tries and a slow trickle besides,
so that a server in trouble is not buried by its clients; jitter keeps them apart; a breaker stops asking a
server that fails, and lets single trials find out when it is back. Nothing that takes a seat is ever
hedged: there is no second copy of a request that is out. Times are milliseconds.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from enum import Enum
from random import Random


class DecorrelatedJitter:
    """Pauses between `base` and three times the last one, `most` at most (Brooker, AWS, 2015)."""

    def __init__(self, rng: Random, base_ms: float, max_ms: float) -> None:
        self._dice, self._base, self._most = rng, base_ms, max_ms
        self._last = base_ms

    def next_backoff_ms(self) -> float:
        self._last = min(self._most, self._dice.uniform(self._base, self._last * 3.0))
        return self._last


class BreakerState(Enum):
    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half-open"


class CircuitBreaker:
    """Opens when most of the last calls failed; then lets one trial through at a time.

    `window` calls are looked at, at least half of them; `share` of them failed opens it for `open_ms`,
    twice as long after each trial that fails, up to `open_most_ms`.
    """

    def __init__(
        self,
        *,
        window: int = 20,
        failure_ratio: float = 0.6,
        open_ms: float = 1_000.0,
        max_open_ms: float = 15_000.0,
    ) -> None:
        self.state = BreakerState.CLOSED
        self._share, self._first_ms, self._most_ms = failure_ratio, open_ms, max_open_ms
        self._ends: deque[bool] = deque(maxlen=window)
        self._open_ms, self._until = open_ms, 0.0
        self._trial: int | None = None
        self._trials = 0

    def may_call(self, now: float) -> bool:
        if self.state is BreakerState.OPEN and now >= self._until:
            self.state, self._trial = BreakerState.HALF_OPEN, None
        return self.state is BreakerState.CLOSED or (
            self.state is BreakerState.HALF_OPEN and self._trial is None
        )

    def begin_call(self, now: float) -> int:
        """A call goes out; the number is for `end`. Only after `may_call` said yes."""
        self._trials += 1
        if self.state is BreakerState.HALF_OPEN:
            self._trial = self._trials
        return self._trials

    def end_call(self, now: float, call: int, good: bool) -> None:
        if self.state is BreakerState.HALF_OPEN:
            if call != self._trial:
                return  # an answer to a call from before it opened says nothing of now
            self._trial = None
            if good:
                self.state, self._open_ms = BreakerState.CLOSED, self._first_ms
                self._ends.clear()
            else:
                self._open(now, min(self._open_ms * 2.0, self._most_ms))
        elif self.state is BreakerState.CLOSED:
            self._ends.append(good)
            size, bad = len(self._ends), sum(not one for one in self._ends)
            if size * 2 >= (self._ends.maxlen or 1) and bad >= self._share * size:
                self._open(now, self._first_ms)

    def remaining_open_ms(self, now: float) -> float:
        return max(self._until - now, 0.0) if self.state is BreakerState.OPEN else 0.0

    def _open(self, now: float, pause: float) -> None:
        self.state, self._open_ms, self._until = BreakerState.OPEN, pause, now + pause
        self._ends.clear()


@dataclass(frozen=True, slots=True)
class RetryConfig:
    """Repeats take tokens, one each, of their tenant's bucket and of the server's.

    A bucket begins with `free` tokens and holds four times as many; each first try adds `share` of one,
    each second `per_s` (the server's) or `tenant_per_s`, so that a quiet front can still find out that its
    server is back. Pauses are ms; `tenants` are kept at the most, the longest unused is dropped first.
    """

    retry_ratio: float = 0.2
    initial_tokens: float = 10.0
    tokens_per_s: float = 2.0
    tenant_tokens_per_s: float = 0.5
    base_backoff_ms: float = 50.0
    max_backoff_ms: float = 2_000.0
    max_tenants: int = 10_000


class TokenBucket:
    """Tokens that time adds at `per_s` and that may be earned besides; never more than `most`.

    Time that goes backwards adds nothing, and what it passes again is not counted twice.
    """

    __slots__ = ("_at", "_level", "_most", "_per_ms")

    def __init__(self, now: float, per_s: float, level: float, most: float) -> None:
        self._per_ms, self._level, self._most, self._at = per_s / 1000.0, level, most, now

    def available(self, now: float) -> float:
        if now > self._at:
            self._level = min(self._level + (now - self._at) * self._per_ms, self._most)
            self._at = now
        return self._level

    def deposit(self, now: float, tokens: float) -> None:
        self._level = min(self.available(now) + tokens, self._most)

    def try_take(self, now: float) -> bool:
        """Takes one token, if there is a whole one."""
        if self.available(now) < 1.0:
            return False
        self._level -= 1.0
        return True


@dataclass(slots=True)
class RetryPolicy:
    """Decides on each failure whether, and when, the same request is made again."""

    config: RetryConfig
    rng: Random
    breaker: CircuitBreaker = field(default_factory=CircuitBreaker)
    denied_retries: int = 0
    _server: TokenBucket | None = None
    _tenants: OrderedDict[str, TokenBucket] = field(default_factory=OrderedDict)

    def on_first_attempt(self, now: float, tenant: str) -> None:
        """A request is made for the first time."""
        for bucket in self._buckets(now, tenant):
            bucket.deposit(now, self.config.retry_ratio)

    def schedule_retry(
        self, now: float, tenant: str, jitter: DecorrelatedJitter, until: float
    ) -> float | None:
        """When to repeat, or None: out of budget, or nothing could come of it before `until`."""
        at = now + max(jitter.next_backoff_ms(), self.breaker.remaining_open_ms(now))
        buckets = self._buckets(now, tenant)
        # Both are looked at first: a tenant out of tokens must not use up the server's.
        if at >= until or any(bucket.available(now) < 1.0 for bucket in buckets):
            self.denied_retries += 1
            return None
        for bucket in buckets:
            bucket.try_take(now)
        return at

    def new_jitter(self) -> DecorrelatedJitter:
        return DecorrelatedJitter(self.rng, self.config.base_backoff_ms, self.config.max_backoff_ms)

    def _buckets(self, now: float, tenant: str) -> tuple[TokenBucket, TokenBucket]:
        rules = self.config
        if self._server is None:
            self._server = TokenBucket(
                now, rules.tokens_per_s, rules.initial_tokens, rules.initial_tokens * 4.0
            )
        bucket = self._tenants.get(tenant)
        if bucket is None:
            bucket = TokenBucket(
                now, rules.tenant_tokens_per_s, rules.initial_tokens, rules.initial_tokens * 4.0
            )
            self._tenants[tenant] = bucket
            if len(self._tenants) > rules.max_tenants:
                self._tenants.popitem(last=False)
        else:
            self._tenants.move_to_end(tenant)
        return self._server, bucket
