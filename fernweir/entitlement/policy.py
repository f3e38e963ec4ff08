"""Retry budgets, backoff with jitter and a circuit breaker; free of I/O and clock, deterministic by seed.

Token buckets for each tenant and for the server limit retries to a ratio of first attempts plus a low
constant rate, so that clients do not overload a failing server. Jitter spreads the retries of many clients.
The circuit breaker stops calls to a failing server and detects its recovery by single trial calls. A request
that acquires a seat is never hedged. Times are milliseconds of any monotonic clock.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from enum import Enum
from random import Random

_JITTER_GROWTH = 3.0  # upper limit of the next backoff, as a multiple of the last one
_OPEN_GROWTH = 2.0  # factor by which each failed trial call lengthens the open time
_BUCKET_CAPACITY = 4.0  # as a multiple of the initial tokens
_MS_PER_S = 1000.0


class DecorrelatedJitter:
    """Backoff with decorrelated jitter (Brooker, AWS Architecture Blog, 2015).

    Each backoff is drawn between `base_ms` and three times the last one, and limited to `max_ms`.
    """

    def __init__(self, rng: Random, base_ms: float, max_ms: float) -> None:
        self._rng = rng
        self._base_ms = base_ms
        self._max_ms = max_ms
        self._last_ms = base_ms

    def next_backoff_ms(self) -> float:
        """Draws the next backoff in milliseconds."""
        drawn_ms = self._rng.uniform(self._base_ms, self._last_ms * _JITTER_GROWTH)
        self._last_ms = min(self._max_ms, drawn_ms)
        return self._last_ms


class BreakerState(Enum):
    """The states of a circuit breaker."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half-open"


class CircuitBreaker:
    """Opens when most of the recent calls failed, and then admits one trial call at a time.

    Args:
        window: How many recent calls are considered. The breaker opens after half as many at the earliest.
        failure_ratio: The ratio of failed calls at which the breaker opens.
        open_ms: How long it first stays open. The time doubles with each trial call that fails.
        max_open_ms: Upper limit of the time that it stays open.
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
        self._failure_ratio = failure_ratio
        self._window = max(window, 1)
        self._first_open_ms = open_ms
        self._max_open_ms = max_open_ms
        self._outcomes: deque[bool] = deque(maxlen=window)
        self._open_ms = open_ms
        self._open_until_ms = 0.0
        self._trial_call: int | None = None
        self._last_call = 0

    def may_call(self, now: float) -> bool:
        """Whether a call may start; an open breaker becomes half-open when its open time has passed."""
        if self.state is BreakerState.OPEN and now >= self._open_until_ms:
            self.state = BreakerState.HALF_OPEN
            self._trial_call = None
        if self.state is BreakerState.HALF_OPEN:
            return self._trial_call is None
        return self.state is BreakerState.CLOSED

    def begin_call(self, now: float) -> int:
        """Records that a call starts, after `may_call` allowed it, and returns its number for `end_call`."""
        self._last_call += 1
        if self.state is BreakerState.HALF_OPEN:
            self._trial_call = self._last_call
        return self._last_call

    def end_call(self, now: float, call: int, is_success: bool) -> None:
        """Records the outcome of a call.

        Args:
            now: Time in milliseconds.
            call: The number that `begin_call` returned.
            is_success: Whether the server answered it.
        """
        if self.state is BreakerState.HALF_OPEN:
            # A call that began before the breaker opened does not show the server's current state.
            if call == self._trial_call:
                self._on_trial_ended(now, is_success)
        elif self.state is BreakerState.CLOSED:
            self._outcomes.append(is_success)
            total, failed = len(self._outcomes), self._outcomes.count(False)
            if total * 2 >= self._window and failed >= self._failure_ratio * total:
                self._open(now, self._first_open_ms)

    def remaining_open_ms(self, now: float) -> float:
        """Returns how long the breaker stays open, in milliseconds; 0 if it is not open."""
        return max(self._open_until_ms - now, 0.0) if self.state is BreakerState.OPEN else 0.0

    def _on_trial_ended(self, now: float, is_success: bool) -> None:
        self._trial_call = None
        if is_success:
            self.state = BreakerState.CLOSED
            self._open_ms = self._first_open_ms
            self._outcomes.clear()
        else:
            self._open(now, min(self._open_ms * _OPEN_GROWTH, self._max_open_ms))

    def _open(self, now: float, duration_ms: float) -> None:
        self.state = BreakerState.OPEN
        self._open_ms = duration_ms
        self._open_until_ms = now + duration_ms
        self._outcomes.clear()


@dataclass(frozen=True, slots=True)
class RetryConfig:
    """Settings of retries. Each retry consumes one token of its tenant's bucket and one of the server's.

    Attributes:
        retry_ratio: Tokens that each first attempt adds to both buckets.
        initial_tokens: Tokens in a new bucket; its capacity is four times this number.
        tokens_per_s: Refill rate of the server's bucket, so that a front with little traffic also detects
            that its server has recovered.
        tenant_tokens_per_s: Refill rate of a tenant's bucket.
        base_backoff_ms: Shortest backoff.
        max_backoff_ms: Longest backoff.
        max_tenants: Upper limit of tenants with a bucket; the least recently used one is evicted.
    """

    retry_ratio: float = 0.2
    initial_tokens: float = 10.0
    tokens_per_s: float = 2.0
    tenant_tokens_per_s: float = 0.5
    base_backoff_ms: float = 50.0
    max_backoff_ms: float = 2_000.0
    max_tenants: int = 10_000


class TokenBucket:
    """A token bucket that is refilled at a constant rate and by deposits.

    A clock that goes backwards adds no tokens, and the time that it repeats is not counted twice.

    Args:
        now: Time in milliseconds.
        tokens_per_s: The refill rate.
        initial_tokens: The tokens in the new bucket.
        capacity: Upper limit of tokens.
    """

    __slots__ = ("_capacity", "_tokens", "_tokens_per_ms", "_updated_at")

    def __init__(self, now: float, tokens_per_s: float, initial_tokens: float, capacity: float) -> None:
        self._tokens_per_ms = tokens_per_s / _MS_PER_S
        self._tokens = initial_tokens
        self._capacity = capacity
        self._updated_at = now

    def available(self, now: float) -> float:
        """Returns the tokens in the bucket, including fractions of a token."""
        if now > self._updated_at:
            earned = (now - self._updated_at) * self._tokens_per_ms
            self._tokens = min(self._tokens + earned, self._capacity)
            self._updated_at = now
        return self._tokens

    def deposit(self, now: float, tokens: float) -> None:
        """Adds tokens up to the capacity."""
        self._tokens = min(self.available(now) + tokens, self._capacity)

    def try_consume(self, now: float) -> bool:
        """Consumes one token; returns False if the bucket has less than one."""
        if self.available(now) < 1.0:
            return False
        self._tokens -= 1.0
        return True


@dataclass(slots=True)
class RetryPolicy:
    """Decides whether and when a failed request is retried.

    Attributes:
        config: Settings of budgets and backoff.
        rng: Source of the jitter.
        breaker: The circuit breaker of the server.
        denied_retries: The number of retries that were denied.
    """

    config: RetryConfig
    rng: Random
    breaker: CircuitBreaker = field(default_factory=CircuitBreaker)
    denied_retries: int = 0
    _server_bucket: TokenBucket | None = None
    _tenant_buckets: OrderedDict[str, TokenBucket] = field(default_factory=OrderedDict)

    def on_first_attempt(self, now: float, tenant: str) -> None:
        """Credits the retry budgets for the first attempt of a request."""
        for bucket in self._buckets(now, tenant):
            bucket.deposit(now, self.config.retry_ratio)

    def schedule_retry(
        self, now: float, tenant: str, jitter: DecorrelatedJitter, deadline: float
    ) -> float | None:
        """Returns when to retry a failed request, and consumes the tokens for the retry.

        Args:
            now: Time in milliseconds.
            tenant: The tenant whose budget is charged.
            jitter: The backoff of the request.
            deadline: Time from which a response is of no use.

        Returns:
            The time in milliseconds; None if a budget is exhausted or the deadline would pass before it.
        """
        retry_at_ms = now + max(jitter.next_backoff_ms(), self.breaker.remaining_open_ms(now))
        buckets = self._buckets(now, tenant)
        # Both are checked before either is charged: a tenant without tokens must not consume the server's.
        if retry_at_ms >= deadline or any(bucket.available(now) < 1.0 for bucket in buckets):
            self.denied_retries += 1
            return None
        for bucket in buckets:
            bucket.try_consume(now)
        return retry_at_ms

    def new_jitter(self) -> DecorrelatedJitter:
        """Returns the backoff generator of a new request."""
        return DecorrelatedJitter(self.rng, self.config.base_backoff_ms, self.config.max_backoff_ms)

    def _buckets(self, now: float, tenant: str) -> tuple[TokenBucket, TokenBucket]:
        if self._server_bucket is None:
            self._server_bucket = self._new_bucket(now, self.config.tokens_per_s)
        bucket = self._tenant_buckets.get(tenant)
        if bucket is None:
            bucket = self._new_bucket(now, self.config.tenant_tokens_per_s)
            self._tenant_buckets[tenant] = bucket
            if len(self._tenant_buckets) > self.config.max_tenants:
                self._tenant_buckets.popitem(last=False)
        else:
            self._tenant_buckets.move_to_end(tenant)
        return self._server_bucket, bucket

    def _new_bucket(self, now: float, tokens_per_s: float) -> TokenBucket:
        initial = self.config.initial_tokens
        return TokenBucket(now, tokens_per_s, initial, initial * _BUCKET_CAPACITY)
