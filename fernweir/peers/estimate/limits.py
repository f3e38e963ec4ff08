"""What questions may cost: one account that all share, from which the serving of viewers comes first."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from fernweir.peers.estimate.bounds import Estimate
from fernweir.peers.estimate.feedback import Actual
from fernweir.peers.estimate.question import Query, problem
from fernweir.peers.estimate.runner import Spend


@dataclass(frozen=True, slots=True)
class LimitRules:
    """The account refills by the second and holds `span_ms` worth of that; one question may take a share."""

    rows_s: float = 50_000.0
    bytes_s: float = 5_000_000.0
    span_ms: float = 10_000.0
    share: float = 0.5
    most_running: int = 8
    forgotten_ms: float = 60_000.0  # what was reserved for a question counts as spent then


@dataclass(frozen=True, slots=True)
class Granted:
    """It may run now, and touch so much: its upper bounds, which are set aside until `settle`."""

    ticket: int
    most: Spend


@dataclass(frozen=True, slots=True)
class Refused:
    """`narrower`: a form whose size would be let through; `wait_ms`: when the account may bear this one.

    A `wait_ms` of None: never, it is too large as it is.
    """

    why: str
    estimate: Estimate | None
    narrower: Query | None = None
    wait_ms: float | None = None


@dataclass(frozen=True, slots=True)
class _Reserved:
    most: Spend
    at: float


Narrow = Callable[[Query, Callable[[Estimate], bool]], Query | None]


class Limits:
    """A bucket of rows and one of bytes. Reserved by upper bound, settled by what was touched.

    `pressure` is how hard serving viewers presses on the front, 0 for not at all and 1 for fully: it takes
    its share of the refill, of what may be held and of what one question may take, down to nothing.
    """

    def __init__(self, rules: LimitRules, now: float) -> None:
        self._rules = rules
        self._pressure = 0.0
        self._at = now
        self._left = Spend(self._most(rules.rows_s), self._most(rules.bytes_s))
        self._reserved: dict[int, _Reserved] = {}
        self._ticket = 0

    def pressed(self, now: float, pressure: float) -> None:
        self._refill(now)
        self._pressure = min(1.0, max(0.0, pressure))
        self._refill(now)

    def ask(self, now: float, estimate: Estimate, narrow: Narrow) -> Granted | Refused:
        """A question with its estimate. `narrow` finds the narrower form that satisfies a test."""
        self._refill(now)
        query, rules = estimate.query, self._rules
        why = problem(query)
        if why:
            return Refused(why, None)
        if self._pressure >= 1.0:
            return Refused("viewers come first", estimate, wait_ms=rules.span_ms)
        if not self._fits(estimate):
            return Refused("over its budget", estimate, narrow(query, self._fits))
        if len(self._reserved) >= rules.most_running:
            return Refused("too many run", estimate, wait_ms=rules.span_ms / 10)
        most = Spend(max(1.0, estimate.rows.high), max(1.0, estimate.bytes.high))
        if most.rows > self._left.rows or most.bytes > self._left.bytes:
            return Refused("others run", estimate, wait_ms=self._wait(most))
        self._left = Spend(self._left.rows - most.rows, self._left.bytes - most.bytes)
        self._ticket += 1
        self._reserved[self._ticket] = _Reserved(most, now)
        return Granted(self._ticket, most)

    def settle(self, now: float, ticket: int, actual: Actual) -> None:
        """A question has ended: what it left over comes back, what it overdrew is taken."""
        self._refill(now)
        reserved = self._reserved.pop(ticket, None)
        if reserved is None:
            return
        self._hold(
            self._left.rows + reserved.most.rows - actual.rows,
            self._left.bytes + reserved.most.bytes - actual.bytes,
        )

    def left(self, now: float) -> Spend:
        self._refill(now)
        return self._left

    def _fits(self, estimate: Estimate) -> bool:
        """Whether a full account lets it through."""
        rows = self._most(self._rules.rows_s) * self._rules.share
        size = self._most(self._rules.bytes_s) * self._rules.share
        return estimate.rows.high <= rows and estimate.bytes.high <= size

    def _most(self, a_second: float) -> float:
        return a_second * self._rules.span_ms / 1e3 * (1.0 - self._pressure)

    def _wait(self, most: Spend) -> float:
        free = 1.0 - self._pressure
        rows = (most.rows - self._left.rows) / (self._rules.rows_s * free)
        size = (most.bytes - self._left.bytes) / (self._rules.bytes_s * free)
        return max(rows, size) * 1e3

    def _refill(self, now: float) -> None:
        passed, self._at = max(0.0, now - self._at), max(now, self._at)
        free = (1.0 - self._pressure) * passed / 1e3
        rows, size = self._left.rows, self._left.bytes
        for ticket in [t for t, r in self._reserved.items() if now - r.at >= self._rules.forgotten_ms]:
            del self._reserved[ticket]  # taken as spent: what it touched is not known
        self._hold(rows + self._rules.rows_s * free, size + self._rules.bytes_s * free)

    def _hold(self, rows: float, size: float) -> None:
        """What is left, so that with what is set aside it is never more than the account holds."""
        out_rows = sum(one.most.rows for one in self._reserved.values())
        out_size = sum(one.most.bytes for one in self._reserved.values())
        self._left = Spend(
            min(self._most(self._rules.rows_s) - out_rows, rows),
            min(self._most(self._rules.bytes_s) - out_size, size),
        )
