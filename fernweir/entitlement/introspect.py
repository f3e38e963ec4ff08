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

from fernweir.entitlement.policy import DecorrelatedJitter, RetryPolicy, RetryRules


class Word(Enum):
    ACTIVE = "active"
    INACTIVE = "inactive"
    UNKNOWN = "unknown"  # the server said nothing in time


@dataclass(frozen=True, slots=True)
class Told:
    """What became of a question; `claims` come with an active token. Word.UNKNOWN: it was not answered."""

    word: Word
    claims: Mapping[str, object] = field(default_factory=dict)
    good_for_ms: float = float("inf")  # until the token itself lapses


@dataclass(frozen=True, slots=True)
class Question:
    """Ask the server about a token now; its one end goes to `replied` with the same number."""

    number: int
    token: str
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class Judged:
    """What a waiter is told, once. `stale`: on the word of an older answer."""

    waiter: int
    word: Word
    claims: Mapping[str, object]
    stale: bool = False


@dataclass(frozen=True, slots=True)
class IntrospectRules:
    """`believe_ms` and `disbelieve_ms` are how long answers hold, `stale_ms` how much longer an active one
    stands in for a silent server; `kept` answers are remembered, `at_once` questions are out together."""

    believe_ms: float = 10_000.0
    disbelieve_ms: float = 2_000.0
    stale_ms: float = 60_000.0
    call_ms: float = 500.0
    kept: int = 50_000
    at_once: int = 64


@dataclass(slots=True)
class IntrospectCounts:
    asked: int = 0
    questions: int = 0
    remembered: int = 0
    stale: int = 0
    unknown: int = 0


@dataclass(slots=True)
class _Known:
    word: Word
    claims: Mapping[str, object]
    fresh_until: float
    stale_until: float


@dataclass(slots=True)
class _Open:
    """A token somebody waits to hear of."""

    token: str
    waiters: dict[int, float]  # waiter: when it must be told
    number: int | None = None  # of the question that is out
    again_at: float = 0.0
    jitter: DecorrelatedJitter | None = None


class Introspector:
    """Call the methods, then carry out what `take` returns; ask `next_due` when to call it again."""

    def __init__(
        self, seed: int, rules: IntrospectRules | None = None, retry: RetryRules | None = None
    ) -> None:
        self.rules = rules or IntrospectRules()
        self.policy = RetryPolicy(retry or RetryRules(), Random(f"introspect {seed}"))
        self.counts = IntrospectCounts()
        self._known: OrderedDict[bytes, _Known] = OrderedDict()
        self._open: dict[bytes, _Open] = {}
        self._line: deque[bytes] = deque()
        self._out: dict[int, tuple[bytes, int]] = {}  # question: token, the breaker's call
        self._of_waiter: dict[int, bytes] = {}
        self._numbers = 0
        self._judged: list[Judged] = []

    def __len__(self) -> int:
        return len(self._of_waiter)

    def ask(self, now: float, waiter: int, token: str, answer_by: float) -> None:
        """A waiter, by a number of its own, is told of the token by `answer_by`."""
        self.counts.asked += 1
        digest = sha256(token.encode("utf-8", "surrogateescape")).digest()
        known = self._known.get(digest)
        if known is not None and now < known.fresh_until:
            self.counts.remembered += 1
            self._known.move_to_end(digest)
            self._judged.append(Judged(waiter, known.word, known.claims))
            return
        if digest not in self._open:
            self._open[digest] = _Open(token, {})
            self._line.append(digest)
            self.policy.first(now, "")
        self._open[digest].waiters[waiter] = answer_by
        self._of_waiter[waiter] = digest

    def withdraw(self, waiter: int) -> None:
        """A waiter left; it is told nothing more."""
        digest = self._of_waiter.pop(waiter, None)
        if digest is None:
            return
        one = self._open[digest]
        del one.waiters[waiter]
        if not one.waiters and one.number is None:
            self._close(digest)

    def give_up(self) -> None:
        """Everybody who waits is told now that nobody knows."""
        for digest in list(self._open):
            self._tell_all(digest, Judged(0, Word.UNKNOWN, {}))

    def replied(self, now: float, number: int, told: Told) -> None:
        digest, call = self._out.pop(number)
        self.policy.breaker.end(now, call, told.word is not Word.UNKNOWN)
        one = self._open.get(digest)
        if one is None or one.number != number:
            return
        one.number = None
        if told.word is not Word.UNKNOWN:
            self._learn(now, digest, told)
            self._tell_all(digest, Judged(0, told.word, told.claims))
            return
        if not one.waiters:
            self._close(digest)
            return
        if one.jitter is None:
            one.jitter = self.policy.jitter()
        # Asking again harms nothing: a question changes nothing at the server.
        at = self.policy.again(now, "", one.jitter, max(one.waiters.values()))
        if at is None:
            self._tell_unknown(now, digest)
        else:
            one.again_at = at
            self._line.append(digest)

    def take(self, now: float) -> list[Question | Judged]:
        for waiter, digest in list(self._of_waiter.items()):
            if self._open[digest].waiters[waiter] <= now:
                self._tell(now, digest, waiter)
        out: list[Question | Judged] = []
        for _ in range(len(self._line)):
            if len(self._out) >= self.rules.at_once or not self.policy.breaker.may_call(now):
                break
            digest = self._line.popleft()
            one = self._open.get(digest)
            if one is None or one.number is not None:
                continue
            if one.again_at > now:
                self._line.append(digest)
                continue
            out.append(self._question(now, digest, one))
        judged, self._judged = self._judged, []
        return [*judged, *out]

    def next_due(self, now: float) -> float | None:
        dues = [by for one in self._open.values() for by in one.waiters.values()]
        waiting = [self._open[digest].again_at for digest in self._line if digest in self._open]
        if waiting and len(self._out) < self.rules.at_once:
            dues.append(max(min(waiting), now + self.policy.breaker.wait_ms(now)))
        return min(dues, default=None)

    # --- pieces ---

    def _question(self, now: float, digest: bytes, one: _Open) -> Question:
        self._numbers += 1
        self.counts.questions += 1
        one.number = self._numbers
        self._out[self._numbers] = (digest, self.policy.breaker.begin(now))
        left = max(one.waiters.values()) - now  # the longest deadline is handed on
        return Question(self._numbers, one.token, min(self.rules.call_ms, max(left, 1.0)))

    def _learn(self, now: float, digest: bytes, told: Told) -> None:
        rules = self.rules
        good = told.word is Word.ACTIVE
        fresh = now + min(rules.believe_ms if good else rules.disbelieve_ms, told.good_for_ms)
        stale = min(fresh + rules.stale_ms, now + told.good_for_ms) if good else fresh
        self._known[digest] = _Known(told.word, told.claims, fresh, stale)
        self._known.move_to_end(digest)
        if len(self._known) > rules.kept:
            self._known.popitem(last=False)

    def _tell(self, now: float, digest: bytes, waiter: int) -> None:
        """Its time is up with no answer: an older one stands in, or nobody knows."""
        self._open[digest].waiters.pop(waiter)
        del self._of_waiter[waiter]
        known = self._known.get(digest)
        if known is not None and known.word is Word.ACTIVE and now < known.stale_until:
            self.counts.stale += 1
            self._judged.append(Judged(waiter, Word.ACTIVE, known.claims, stale=True))
        else:
            self.counts.unknown += 1
            self._judged.append(Judged(waiter, Word.UNKNOWN, {}))
        if not self._open[digest].waiters and self._open[digest].number is None:
            self._close(digest)

    def _tell_unknown(self, now: float, digest: bytes) -> None:
        for waiter in list(self._open[digest].waiters):
            self._tell(now, digest, waiter)

    def _tell_all(self, digest: bytes, said: Judged) -> None:
        for waiter in self._open[digest].waiters:
            del self._of_waiter[waiter]
            self._judged.append(Judged(waiter, said.word, said.claims))
        self._close(digest)

    def _close(self, digest: bytes) -> None:
        del self._open[digest]
        if digest in self._line:
            self._line.remove(digest)
