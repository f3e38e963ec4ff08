"""Where questions are asked: estimated, let through or refused, run, settled, and learned from.

Joins the machines of this package into one, which is still pure: summaries, who is there and answers to
reads come in, reads and results go out.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

from fernweir.peers.base import Effect, Event, Outbox
from fernweir.peers.estimate.bounds import Estimate
from fernweir.peers.estimate.catalogue import Catalogue, CatalogueRules
from fernweir.peers.estimate.estimator import Estimator
from fernweir.peers.estimate.feedback import Feedback, FeedbackRules
from fernweir.peers.estimate.limits import LimitRules, Limits, Refused
from fernweir.peers.estimate.narrow import narrower
from fernweir.peers.estimate.question import Query, problem
from fernweir.peers.estimate.rules import EstimateRules
from fernweir.peers.estimate.runner import Answered, Caught, Read, Result, Run, RunRules


@dataclass(frozen=True, slots=True)
class DeskRules:
    catalogue: CatalogueRules = field(default_factory=CatalogueRules)
    estimate: EstimateRules = field(default_factory=EstimateRules)
    feedback: FeedbackRules = field(default_factory=FeedbackRules)
    limits: LimitRules = field(default_factory=LimitRules)
    run: RunRules = field(default_factory=RunRules)


@dataclass(frozen=True, slots=True)
class ReadFor(Event):
    """A read for a question; what comes of it goes to `answered` or `failed` with both numbers."""

    ticket: int
    query: Query
    read: Read


@dataclass(frozen=True, slots=True)
class Done(Event):
    """A question has ended. `failed`: of what it touched more than its upper bound."""

    ticket: int
    estimate: Estimate
    result: Result
    failed: tuple[str, ...]


@dataclass(slots=True)
class _Running:
    estimate: Estimate
    run: Run


class Desk:
    def __init__(self, rules: DeskRules, now: float) -> None:
        self._rules = rules
        self.catalogue = Catalogue(rules.catalogue)
        self.feedback = Feedback(rules.feedback)
        self._estimator = Estimator(rules.estimate, self.feedback)
        self._limits = Limits(rules.limits, now)
        self._fronts: tuple[str, ...] = ()
        self._copies: Mapping[str, Sequence[str]] = {}
        self._running: dict[int, _Running] = {}
        self._held = False
        self._effects = Outbox()

    # --- what is so ---

    def fleet(self, fronts: Sequence[str], copies: Mapping[str, Sequence[str]]) -> None:
        """All fronts that questions go to, and of each who keeps copies of its shards."""
        self._fronts, self._copies = tuple(fronts), copies

    def pressed(self, now: float, pressure: float) -> None:
        """How hard serving viewers presses, 0 to 1; at 1 nothing new is read."""
        self._limits.pressed(now, pressure)
        self._held = pressure >= 1.0
        for running in self._running.values():
            running.run.hold(now, self._held)
        self._collect(now)

    def gone(self, now: float, front: str) -> None:
        """A front is dead: its summaries are worth nothing, its copies are."""
        for running in self._running.values():
            running.run.gone(now, front)
        self._collect(now)

    # --- questions ---

    def estimate(self, now: float, query: Query) -> Estimate:
        """Raises ValueError for what is no question."""
        why = problem(query)
        if why:
            raise ValueError(why)
        return self._estimator.estimate(query, self.catalogue, self._fronts, now)

    def ask(self, now: float, query: Query) -> int | Refused:
        """The ticket under which the question runs from now on, or why it does not."""
        try:
            estimate = self.estimate(now, query)
        except ValueError as error:
            return Refused(str(error), None)

        def narrow(wide: Query, fits: Callable[[Estimate], bool]) -> Query | None:
            found = narrower(wide, lambda one: self.estimate(now, one), fits, self.catalogue, self._fronts)
            return found[0] if found else None

        said = self._limits.ask(now, estimate, narrow)
        if isinstance(said, Refused):
            return said
        run = Run(estimate, self._copies, said.most, self._rules.run, now)
        self._running[said.ticket] = _Running(estimate, run)
        self._collect(now)
        return said.ticket

    def answered(self, now: float, ticket: int, number: int, answer: Answered) -> None:
        if ticket in self._running:
            self._running[ticket].run.answered(now, number, answer)
            self._collect(now)

    def failed(self, now: float, ticket: int, number: int) -> None:
        if ticket in self._running:
            self._running[ticket].run.failed(now, number)
            self._collect(now)

    def tick(self, now: float) -> None:
        for running in self._running.values():
            running.run.tick(now)
        self._collect(now)

    def next_deadline(self) -> float | None:
        dues = [due for one in self._running.values() if (due := one.run.next_deadline()) is not None]
        return min(dues, default=None)

    def take_effects(self) -> list[Effect]:
        return self._effects.take_effects()

    def _collect(self, now: float) -> None:
        """Passes on what runs want, and ends those that are through."""
        for ticket, running in list(self._running.items()):
            for effect in running.run.take_effects():
                if isinstance(effect, Read):
                    self._effects.add(ReadFor(ticket, running.estimate.query, effect))
                elif isinstance(effect, Caught):
                    self.catalogue.caught(effect.front)
                    self._effects.add(effect)
            if running.run.done:
                del self._running[ticket]
                result = running.run.result()
                self._limits.settle(now, ticket, result.actual)
                failed = self.feedback.record(running.estimate, result.actual)
                self._effects.add(Done(ticket, running.estimate, result, tuple(failed)))
