"""Estimates against what happened: how far off they were, and how much upper bounds must be widened."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from fernweir.peers.estimate.bounds import Bound, Estimate

QUANTITIES = ("fronts", "shards", "rows", "bytes", "holding", "found", "answer")


@dataclass(frozen=True, slots=True)
class Actual:
    """What a question touched. `whole`: nothing was left out, by budget or for want of a front."""

    fronts: int
    shards: int
    rows: int
    bytes: int
    holding: int
    found: int
    answer: int
    whole: bool = True


@dataclass(frozen=True, slots=True)
class FeedbackRules:
    window: int = 400
    bad_share: float = 0.01  # of upper bounds that may fail before that is said
    step: float = 1.25  # at a failure the widening grows by that at least
    most: float = 16.0
    decay: float = 0.98  # at each bound that holds


def q_error(guess: float, actual: float) -> float:
    """max(guess / actual, actual / guess), both at least 1 (Moerkotte, Neumann, Steidl 2009)."""
    guess, actual = max(1.0, guess), max(1.0, actual)
    return max(guess / actual, actual / guess)


class _Record:
    """One quantity's recent past."""

    __slots__ = ("errors", "factor", "failed")

    def __init__(self, window: int) -> None:
        self.factor = 1.0
        self.errors: deque[float] = deque(maxlen=window)
        self.failed: deque[bool] = deque(maxlen=window)


class Feedback:
    """Widening by quantity: multiplied when an upper bound fails, decaying to 1 as bounds hold."""

    def __init__(self, rules: FeedbackRules) -> None:
        self._rules = rules
        self._records = {quantity: _Record(rules.window) for quantity in QUANTITIES}

    def record(self, estimate: Estimate, actual: Actual) -> list[str]:
        """Names of the quantities whose upper bound failed. A part that was left out proves nothing good."""
        failed = []
        for quantity, record in self._records.items():
            bound: Bound = getattr(estimate, quantity)
            value = float(getattr(actual, quantity))
            if value > bound.high:
                failed.append(quantity)
                grown = record.factor * max(self._rules.step, value / max(1.0, bound.high))
                record.factor = min(self._rules.most, grown)
            elif not actual.whole:
                continue
            else:
                record.factor = max(1.0, record.factor * self._rules.decay)
            record.failed.append(value > bound.high)
            record.errors.append(q_error(bound.guess, value))
        return failed

    def widen(self, quantity: str, bound: Bound) -> Bound:
        return Bound(bound.low, bound.guess, bound.high * self._records[quantity].factor)

    def failing(self) -> list[str]:
        """Quantities whose upper bounds failed more often of late than they may; one failure is none yet."""
        return [
            quantity
            for quantity, record in self._records.items()
            if sum(record.failed) > max(1.0, self._rules.bad_share * len(record.failed))
        ]

    def errors(self, quantity: str) -> list[float]:
        """Recent q-errors, ascending."""
        return sorted(self._records[quantity].errors)
