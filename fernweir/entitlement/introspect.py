"""Which tokens their issuer still calls active (RFC 7662); free of I/O and clock.

One question is out for a token, however many requests wait for its answer. An answer is believed for a
while; when the server says nothing, an older "active" stands in for it for a while more, and after that
nobody knows, which is for the caller to decide on. Tokens are kept as digests only. Times are milliseconds.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from hashlib import sha256
from random import Random

from fernweir.entitlement.policy import DecorrelatedJitter, RetryConfig, RetryPolicy


class IntrospectionStatus(Enum):
    ACTIVE = "active"
    INACTIVE = "inactive"
    UNKNOWN = "unknown"  # the server said nothing in time


@dataclass(frozen=True, slots=True)
class IntrospectionResult:
    """What became of a question; `claims` come with an active token. Word.UNKNOWN: it was not answered."""

    status: IntrospectionStatus
    claims: Mapping[str, object] = field(default_factory=dict)
    expires_in_ms: float = float("inf")  # until the token itself lapses


@dataclass(frozen=True, slots=True)
class IntrospectionRequest:
    """Ask the server about a token now; its one end goes to `replied` with the same number."""

    number: int
    token: str
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class IntrospectionDecision:
    """What a waiter is told, once. `stale`: on the word of an older answer."""

    waiter: int
    status: IntrospectionStatus
    claims: Mapping[str, object]
    is_stale: bool = False


@dataclass(frozen=True, slots=True)
class IntrospectionConfig:
    """`believe_ms` and `disbelieve_ms` are how long answers hold, `stale_ms` how much longer an active one
    stands in for a silent server; `kept` answers are remembered, `at_once` questions are out together."""

    positive_cache_ttl_ms: float = 10_000.0
    negative_cache_ttl_ms: float = 2_000.0
    stale_if_error_ms: float = 60_000.0
    request_timeout_ms: float = 500.0
    max_cached: int = 50_000
    max_in_flight: int = 64


@dataclass(slots=True)
class IntrospectionMetrics:
    lookups: int = 0
    requests: int = 0
    cache_hits: int = 0
    stale_hits: int = 0
    unknown: int = 0


@dataclass(slots=True)
class _CachedResult:
    status: IntrospectionStatus
    claims: Mapping[str, object]
    fresh_until: float
    stale_until: float


@dataclass(slots=True)
class _Lookup:
    """A token somebody waits to hear of."""

    token: str
    waiters: dict[int, float]  # waiter: when it must be told
    number: int | None = None  # of the question that is out
    again_at: float = 0.0
    jitter: DecorrelatedJitter | None = None


class Introspector:
    """Call the methods, then carry out what `take` returns; ask `next_due` when to call it again."""

    def __init__(
        self, seed: int, config: IntrospectionConfig | None = None, retry: RetryConfig | None = None
    ) -> None:
        self.config = config or IntrospectionConfig()
        self.retry_policy = RetryPolicy(retry or RetryConfig(), Random(f"introspect {seed}"))
        self.metrics = IntrospectionMetrics()
        self._cache: OrderedDict[bytes, _CachedResult] = OrderedDict()
        self._lookups: dict[bytes, _Lookup] = {}
        self._send_queue: deque[bytes] = deque()
        self._in_flight: dict[int, tuple[bytes, int]] = {}  # question: token, the breaker's call
        self._digest_of_waiter: dict[int, bytes] = {}
        self._last_number = 0
        self._decisions: list[IntrospectionDecision] = []

    def __len__(self) -> int:
        return len(self._digest_of_waiter)

    def look_up(self, now: float, waiter: int, token: str, answer_by: float) -> None:
        """A waiter, by a number of its own, is told of the token by `answer_by`."""
        self.metrics.lookups += 1
        digest = sha256(token.encode("utf-8", "surrogateescape")).digest()
        known = self._cache.get(digest)
        if known is not None and now < known.fresh_until:
            self.metrics.cache_hits += 1
            self._cache.move_to_end(digest)
            self._decisions.append(IntrospectionDecision(waiter, known.status, known.claims))
            return
        if digest not in self._lookups:
            self._lookups[digest] = _Lookup(token, {})
            self._send_queue.append(digest)
            self.retry_policy.on_first_attempt(now, "")
        self._lookups[digest].waiters[waiter] = answer_by
        self._digest_of_waiter[waiter] = digest

    def withdraw(self, waiter: int) -> None:
        """A waiter left; it is told nothing more."""
        digest = self._digest_of_waiter.pop(waiter, None)
        if digest is None:
            return
        one = self._lookups[digest]
        del one.waiters[waiter]
        if not one.waiters and one.number is None:
            self._close(digest)

    def shutdown(self) -> None:
        """Everybody who waits is told now that nobody knows."""
        for digest in list(self._lookups):
            self._tell_all(digest, IntrospectionDecision(0, IntrospectionStatus.UNKNOWN, {}))

    def on_reply(self, now: float, number: int, told: IntrospectionResult) -> None:
        digest, call = self._in_flight.pop(number)
        self.retry_policy.breaker.end_call(now, call, told.status is not IntrospectionStatus.UNKNOWN)
        one = self._lookups.get(digest)
        if one is None or one.number != number:
            return
        one.number = None
        if told.status is not IntrospectionStatus.UNKNOWN:
            self._learn(now, digest, told)
            self._tell_all(digest, IntrospectionDecision(0, told.status, told.claims))
            return
        if not one.waiters:
            self._close(digest)
            return
        if one.jitter is None:
            one.jitter = self.retry_policy.new_jitter()
        # Asking again harms nothing: a question changes nothing at the server.
        at = self.retry_policy.schedule_retry(now, "", one.jitter, max(one.waiters.values()))
        if at is None:
            self._tell_unknown(now, digest)
        else:
            one.again_at = at
            self._send_queue.append(digest)

    def take_effects(self, now: float) -> list[IntrospectionRequest | IntrospectionDecision]:
        for waiter, digest in list(self._digest_of_waiter.items()):
            if self._lookups[digest].waiters[waiter] <= now:
                self._tell(now, digest, waiter)
        out: list[IntrospectionRequest | IntrospectionDecision] = []
        for _ in range(len(self._send_queue)):
            if len(self._in_flight) >= self.config.max_in_flight or not self.retry_policy.breaker.may_call(
                now
            ):
                break
            digest = self._send_queue.popleft()
            one = self._lookups.get(digest)
            if one is None or one.number is not None:
                continue
            if one.again_at > now:
                self._send_queue.append(digest)
                continue
            out.append(self._question(now, digest, one))
        judged, self._decisions = self._decisions, []
        return [*judged, *out]

    def next_deadline(self, now: float) -> float | None:
        dues = [by for one in self._lookups.values() for by in one.waiters.values()]
        waiting = [self._lookups[digest].again_at for digest in self._send_queue if digest in self._lookups]
        if waiting and len(self._in_flight) < self.config.max_in_flight:
            dues.append(max(min(waiting), now + self.retry_policy.breaker.remaining_open_ms(now)))
        return min(dues, default=None)

    # --- pieces ---

    def _question(self, now: float, digest: bytes, one: _Lookup) -> IntrospectionRequest:
        self._last_number += 1
        self.metrics.requests += 1
        one.number = self._last_number
        self._in_flight[self._last_number] = (digest, self.retry_policy.breaker.begin_call(now))
        left = max(one.waiters.values()) - now  # the longest deadline is handed on
        return IntrospectionRequest(
            self._last_number, one.token, min(self.config.request_timeout_ms, max(left, 1.0))
        )

    def _learn(self, now: float, digest: bytes, told: IntrospectionResult) -> None:
        rules = self.config
        good = told.status is IntrospectionStatus.ACTIVE
        fresh = now + min(
            rules.positive_cache_ttl_ms if good else rules.negative_cache_ttl_ms, told.expires_in_ms
        )
        stale = min(fresh + rules.stale_if_error_ms, now + told.expires_in_ms) if good else fresh
        self._cache[digest] = _CachedResult(told.status, told.claims, fresh, stale)
        self._cache.move_to_end(digest)
        if len(self._cache) > rules.max_cached:
            self._cache.popitem(last=False)

    def _tell(self, now: float, digest: bytes, waiter: int) -> None:
        """Its time is up with no answer: an older one stands in, or nobody knows."""
        self._lookups[digest].waiters.pop(waiter)
        del self._digest_of_waiter[waiter]
        known = self._cache.get(digest)
        if known is not None and known.status is IntrospectionStatus.ACTIVE and now < known.stale_until:
            self.metrics.stale_hits += 1
            self._decisions.append(
                IntrospectionDecision(waiter, IntrospectionStatus.ACTIVE, known.claims, is_stale=True)
            )
        else:
            self.metrics.unknown += 1
            self._decisions.append(IntrospectionDecision(waiter, IntrospectionStatus.UNKNOWN, {}))
        if not self._lookups[digest].waiters and self._lookups[digest].number is None:
            self._close(digest)

    def _tell_unknown(self, now: float, digest: bytes) -> None:
        for waiter in list(self._lookups[digest].waiters):
            self._tell(now, digest, waiter)

    def _tell_all(self, digest: bytes, said: IntrospectionDecision) -> None:
        for waiter in self._lookups[digest].waiters:
            del self._digest_of_waiter[waiter]
            self._decisions.append(IntrospectionDecision(waiter, said.status, said.claims))
        self._close(digest)

    def _close(self, digest: bytes) -> None:
        del self._lookups[digest]
        if digest in self._send_queue:
            self._send_queue.remove(digest)
