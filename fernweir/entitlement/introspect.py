"""Token introspection (RFC 7662) with a cache, as a state machine without I/O or clock.

At most one request per token is in flight, however many waiters share its result. A response is cached for a
time to live. If the server does not answer, an expired "active" response may be used for a limited time, as
with stale-if-error (RFC 5861); otherwise the status is unknown and the caller decides. The cache holds
only digests of tokens. Times are milliseconds of any monotonic clock.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from hashlib import sha256
from random import Random

from fernweir.entitlement.policy import DecorrelatedJitter, RetryConfig, RetryPolicy

_NO_TENANT = ""  # all tokens share one retry budget
_MIN_TIMEOUT_MS = 1.0


class IntrospectionStatus(Enum):
    """The status of a token."""

    ACTIVE = "active"
    INACTIVE = "inactive"
    UNKNOWN = "unknown"  # the server did not answer in time


@dataclass(frozen=True, slots=True)
class IntrospectionResult:
    """The outcome of one request.

    Attributes:
        status: UNKNOWN if the request was not answered.
        claims: The claims of an active token.
        expires_in_ms: Time until the token itself expires.
    """

    status: IntrospectionStatus
    claims: Mapping[str, object] = field(default_factory=dict)
    expires_in_ms: float = float("inf")


@dataclass(frozen=True, slots=True)
class IntrospectionRequest:
    """Effect: send an introspection request now and pass its outcome to `on_reply` with the same number."""

    number: int
    token: str
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class IntrospectionDecision:
    """Effect: the single result for one waiter; `is_stale` if it is an expired cache entry."""

    waiter: int
    status: IntrospectionStatus
    claims: Mapping[str, object]
    is_stale: bool = False


@dataclass(frozen=True, slots=True)
class IntrospectionConfig:
    """Settings of an introspector.

    Attributes:
        positive_cache_ttl_ms: Time to live of a cached active response.
        negative_cache_ttl_ms: Time to live of a cached inactive response.
        stale_if_error_ms: How long an expired active response may be used while the server does not answer.
        request_timeout_ms: Timeout of one request.
        max_cached: Upper limit of cached responses; the least recently used one is evicted.
        max_in_flight: Upper limit of requests in flight.
    """

    positive_cache_ttl_ms: float = 10_000.0
    negative_cache_ttl_ms: float = 2_000.0
    stale_if_error_ms: float = 60_000.0
    request_timeout_ms: float = 500.0
    max_cached: int = 50_000
    max_in_flight: int = 64


@dataclass(slots=True)
class IntrospectionMetrics:
    """Counters: lookups, requests sent, results from the cache, stale results, and unknown results."""

    lookups: int = 0
    requests: int = 0
    cache_hits: int = 0
    stale_hits: int = 0
    unknown: int = 0


@dataclass(slots=True)
class _CachedResult:
    status: IntrospectionStatus
    claims: Mapping[str, object]
    fresh_until_ms: float
    stale_until_ms: float


@dataclass(slots=True)
class _Lookup:
    """A token with at least one waiter or a request in flight."""

    token: str
    deadlines: dict[int, float]  # by waiter
    request_number: int | None = None  # of the request in flight
    retry_at_ms: float = 0.0
    jitter: DecorrelatedJitter | None = None


class Introspector:
    """Decides for waiters whether their tokens are active.

    After each call of another method, and at `next_deadline`, the shell calls `take_effects` and carries out
    the effects that it returns.

    Args:
        seed: Seed of the backoff's jitter.
        config: Settings of the cache and the requests.
        retry: Settings of the retry budget.
    """

    def __init__(
        self, seed: int, config: IntrospectionConfig | None = None, retry: RetryConfig | None = None
    ) -> None:
        self.config = config or IntrospectionConfig()
        self.retry_policy = RetryPolicy(retry or RetryConfig(), Random(f"introspect {seed}"))
        self.metrics = IntrospectionMetrics()
        self._cache: OrderedDict[bytes, _CachedResult] = OrderedDict()
        self._lookups: dict[bytes, _Lookup] = {}
        self._send_queue: deque[bytes] = deque()
        self._in_flight: dict[
            int, tuple[bytes, int]
        ] = {}  # by request number: digest, call number of the circuit breaker
        self._digest_of_waiter: dict[int, bytes] = {}
        self._last_number = 0
        self._decisions: list[IntrospectionDecision] = []

    def __len__(self) -> int:
        return len(self._digest_of_waiter)

    def look_up(self, now: float, waiter: int, token: str, deadline: float) -> None:
        """Starts a lookup of a token.

        Args:
            now: Time in milliseconds.
            waiter: A number chosen by the caller, unique among the waiters.
            token: The token.
            deadline: Latest time at which the waiter gets a result, in milliseconds.
        """
        self.metrics.lookups += 1
        digest = sha256(token.encode("utf-8", "surrogateescape")).digest()
        cached = self._cache.get(digest)
        if cached is not None and now < cached.fresh_until_ms:
            self.metrics.cache_hits += 1
            self._cache.move_to_end(digest)
            self._decisions.append(IntrospectionDecision(waiter, cached.status, cached.claims))
            return
        if digest not in self._lookups:
            self._lookups[digest] = _Lookup(token, {})
            self._send_queue.append(digest)
            self.retry_policy.on_first_attempt(now, _NO_TENANT)
        self._lookups[digest].deadlines[waiter] = deadline
        self._digest_of_waiter[waiter] = digest

    def withdraw(self, waiter: int) -> None:
        """Removes a waiter, which then gets no result."""
        digest = self._digest_of_waiter.pop(waiter, None)
        if digest is None:
            return
        lookup = self._lookups[digest]
        del lookup.deadlines[waiter]
        if not lookup.deadlines and lookup.request_number is None:
            self._remove_lookup(digest)

    def shutdown(self) -> None:
        """Completes all lookups with an unknown status."""
        for digest in list(self._lookups):
            self._answer_all(digest, IntrospectionResult(IntrospectionStatus.UNKNOWN))

    def on_reply(self, now: float, number: int, result: IntrospectionResult) -> None:
        """Records the outcome of a request.

        Args:
            now: Time in milliseconds.
            number: The number of the request.
            result: Its outcome.
        """
        is_answered = result.status is not IntrospectionStatus.UNKNOWN
        digest, call = self._in_flight.pop(number)
        self.retry_policy.breaker.end_call(now, call, is_answered)
        lookup = self._lookups.get(digest)
        if lookup is None or lookup.request_number != number:
            return
        lookup.request_number = None
        if is_answered:
            self._store_result(now, digest, result)
            self._answer_all(digest, result)
        elif lookup.deadlines:
            self._retry(now, digest, lookup)
        else:
            self._remove_lookup(digest)

    def take_effects(self, now: float) -> list[IntrospectionRequest | IntrospectionDecision]:
        """Returns the decisions and then the requests that are due, each of them once."""
        for waiter, digest in list(self._digest_of_waiter.items()):
            if self._lookups[digest].deadlines[waiter] <= now:
                self._on_waiter_timeout(now, digest, waiter)
        requests = self._start_requests(now)
        decisions, self._decisions = self._decisions, []
        return [*decisions, *requests]

    def next_deadline(self, now: float) -> float | None:
        """Returns when `take_effects` must be called next, in milliseconds; None without waiters."""
        deadlines = [deadline for lookup in self._lookups.values() for deadline in lookup.deadlines.values()]
        send_times = [
            self._lookups[digest].retry_at_ms for digest in self._send_queue if digest in self._lookups
        ]
        if send_times and len(self._in_flight) < self.config.max_in_flight:
            may_call_at_ms = now + self.retry_policy.breaker.remaining_open_ms(now)
            deadlines.append(max(min(send_times), may_call_at_ms))
        return min(deadlines, default=None)

    def _may_start_request(self, now: float) -> bool:
        if len(self._in_flight) >= self.config.max_in_flight:
            return False
        return self.retry_policy.breaker.may_call(now)

    def _start_requests(self, now: float) -> list[IntrospectionRequest]:
        requests: list[IntrospectionRequest] = []
        for _ in range(len(self._send_queue)):
            if not self._may_start_request(now):
                break
            digest = self._send_queue.popleft()
            lookup = self._lookups.get(digest)
            if lookup is None or lookup.request_number is not None:
                continue
            if lookup.retry_at_ms > now:
                self._send_queue.append(digest)
                continue
            requests.append(self._start_request(now, digest, lookup))
        return requests

    def _start_request(self, now: float, digest: bytes, lookup: _Lookup) -> IntrospectionRequest:
        self._last_number += 1
        self.metrics.requests += 1
        lookup.request_number = self._last_number
        self._in_flight[self._last_number] = (digest, self.retry_policy.breaker.begin_call(now))
        remaining_ms = max(lookup.deadlines.values()) - now  # the latest deadline among the waiters
        timeout_ms = min(self.config.request_timeout_ms, max(remaining_ms, _MIN_TIMEOUT_MS))
        return IntrospectionRequest(self._last_number, lookup.token, timeout_ms)

    def _retry(self, now: float, digest: bytes, lookup: _Lookup) -> None:
        """Queues a failed request again. Introspection is idempotent, so it can be retried safely."""
        if lookup.jitter is None:
            lookup.jitter = self.retry_policy.new_jitter()
        latest_deadline = max(lookup.deadlines.values())
        retry_at_ms = self.retry_policy.schedule_retry(now, _NO_TENANT, lookup.jitter, latest_deadline)
        if retry_at_ms is None:
            for waiter in list(lookup.deadlines):
                self._on_waiter_timeout(now, digest, waiter)
        else:
            lookup.retry_at_ms = retry_at_ms
            self._send_queue.append(digest)

    def _store_result(self, now: float, digest: bytes, result: IntrospectionResult) -> None:
        is_active = result.status is IntrospectionStatus.ACTIVE
        ttl_ms = self.config.positive_cache_ttl_ms if is_active else self.config.negative_cache_ttl_ms
        fresh_until_ms = now + min(ttl_ms, result.expires_in_ms)
        stale_until_ms = fresh_until_ms
        if is_active:
            stale_until_ms = min(fresh_until_ms + self.config.stale_if_error_ms, now + result.expires_in_ms)
        self._cache[digest] = _CachedResult(result.status, result.claims, fresh_until_ms, stale_until_ms)
        self._cache.move_to_end(digest)
        if len(self._cache) > self.config.max_cached:
            self._cache.popitem(last=False)

    def _on_waiter_timeout(self, now: float, digest: bytes, waiter: int) -> None:
        """Completes one waiter's lookup without a response: a stale cached one if allowed, else unknown."""
        lookup = self._lookups[digest]
        lookup.deadlines.pop(waiter)
        del self._digest_of_waiter[waiter]
        cached = self._cache.get(digest)
        if cached is not None and cached.status is IntrospectionStatus.ACTIVE and now < cached.stale_until_ms:
            self.metrics.stale_hits += 1
            decision = IntrospectionDecision(waiter, cached.status, cached.claims, is_stale=True)
        else:
            self.metrics.unknown += 1
            decision = IntrospectionDecision(waiter, IntrospectionStatus.UNKNOWN, {})
        self._decisions.append(decision)
        if not lookup.deadlines and lookup.request_number is None:
            self._remove_lookup(digest)

    def _answer_all(self, digest: bytes, result: IntrospectionResult) -> None:
        for waiter in self._lookups[digest].deadlines:
            del self._digest_of_waiter[waiter]
            self._decisions.append(IntrospectionDecision(waiter, result.status, result.claims))
        self._remove_lookup(digest)

    def _remove_lookup(self, digest: bytes) -> None:
        del self._lookups[digest]
        if digest in self._send_queue:
            self._send_queue.remove(digest)
