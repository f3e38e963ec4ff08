"""What a question will touch, told before it is put, and held to: estimates joined to the record of acts.

A front's own acts go into its summaries, which are facts; those of others come as facts. Each front's rows
are stamped on its own clock, so that a question's span is taken to that clock for each, as wide as what is
known of the two clocks makes it. What a question may touch is set aside by its upper bounds; one over the
budget is refused with its estimate and the narrower form that would be let through.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from math import inf, isinf
from typing import Any

from msgspec.structs import replace

from fernweir.peers.acts.clock import Clocks, When
from fernweir.peers.acts.merge import Answer
from fernweir.peers.acts.plan import Acts, AfterDrain, Budget, Question, Refusal, Still
from fernweir.peers.acts.versions import Versions
from fernweir.peers.estimate.bounds import Bound, Estimate
from fernweir.peers.estimate.catalogue import Catalogue, CatalogueRules
from fernweir.peers.estimate.estimator import Estimator
from fernweir.peers.estimate.feedback import QUANTITIES, Actual, Feedback, FeedbackRules
from fernweir.peers.estimate.limits import Granted, LimitRules, Limits, Refused
from fernweir.peers.estimate.narrow import narrower
from fernweir.peers.estimate.question import Query, Row
from fernweir.peers.estimate.rules import EstimateRules, ShardRules, publish_after
from fernweir.peers.estimate.shards import Summarizer
from fernweir.peers.estimate.summary import encode
from fernweir.peers.port import AuditRecord, SessionStatus

PREFIX = "shard."
_ACT_BYTES = 76  # of an act in a block, as measured (docs/measurements.md)
_STANDING_BYTES = 120


@dataclass(frozen=True, slots=True)
class ForesightRules:
    shards: ShardRules = field(default_factory=ShardRules)
    estimate: EstimateRules = field(default_factory=EstimateRules)
    catalogue: CatalogueRules = field(default_factory=CatalogueRules)
    feedback: FeedbackRules = field(default_factory=FeedbackRules)
    limits: LimitRules = field(default_factory=LimitRules)
    usual_ms: float = 5.0  # that a timer may be late on a front with time to spare
    full_ms: float = 100.0  # and by which nothing is left for questions
    calm_ms: float = 1_000.0


@dataclass(frozen=True, slots=True)
class Allowed:
    """It may be put: with this budget, to these shards alone (None: to all)."""

    ticket: int
    estimate: Estimate
    budget: Budget
    planned: Mapping[tuple[str, int], tuple[float, float]] | None
    known: frozenset[tuple[str, int]]  # of which anything was known: only of these is any left out


class Foresight:
    """`now` is ms. `publish` gives the facts that are to be said, and those that are to go."""

    def __init__(self, me: str, life: int, rules: ForesightRules, now: float, clocks: Clocks) -> None:
        self.me, self.rules = me, rules
        self.catalogue = Catalogue(rules.catalogue)
        self.feedback = Feedback(rules.feedback)
        self._clocks = clocks
        self._estimator = Estimator(rules.estimate, self.feedback)
        self._limits = Limits(rules.limits, now)
        self._own = Summarizer(me, life, rules.shards, now)
        self._publish_at = now  # at once: who is known at all is estimated, though it does more since
        self._said: dict[str, bytes] = {}
        self._felt, self._felt_at = 0.0, now
        self._lives: Mapping[str, int] = {me: life}

    # --- what happens here ---

    def acted(self, act: AuditRecord, versions: Versions) -> None:
        row = Row(
            act.at, str(act.deed), act.session, act.title, act.box, act.tenant, versions.boxes.hex(),
            act.outcome,
        )  # fmt: skip
        self._own.add(act.at, row, _ACT_BYTES)

    def stands(self, now: float, standing: SessionStatus) -> None:
        self._own.stands(now, standing, _STANDING_BYTES)

    def over(self, now: float, session: str) -> None:
        self._own.over(now, session)

    def publish(self, now: float) -> tuple[dict[str, bytes], list[str]]:
        """Facts that changed, and keys of those that are no more, if it is time to say them."""
        if now < self._publish_at:
            return {}, []
        summaries = {PREFIX + one.shard.name: encode(one) for one in self._own.summaries(now)}
        changed = {key: data for key, data in summaries.items() if self._said.get(key) != data}
        gone = [key for key in self._said if key not in summaries]
        self._said = summaries
        size = sum(map(len, changed.values()))
        self._publish_at = now + publish_after(len(self._lives), size, self.rules.shards)
        for key, data in summaries.items():  # its own are known at once
            self.catalogue.told(now, self.me, self._lives[self.me], key, data)
        return changed, gone

    # --- what is known of others ---

    def fleet(self, lives: Mapping[str, int]) -> None:
        self._lives = {**lives, self.me: self._lives[self.me]}

    def told(self, now: float, owner: str, life: int, key: str, data: bytes) -> None:
        self.catalogue.told(now, owner, life, key, data)

    def dropped(self, owner: str, key: str) -> None:
        self.catalogue.dropped(owner, key)

    def gone(self, owner: str) -> None:
        self.catalogue.gone(owner)

    def pressed(self, now: float, pressure: float) -> None:
        """How hard serving viewers presses, 0 to 1: it goes before any question."""
        self._limits.pressed(now, pressure)

    def felt(self, now: float, late_ms: float) -> None:
        """A timer came this late: the front has more to do than it can, and questions give way.

        The worst counts, and half as much `calm_ms` later, so that one late timer is soon forgotten.
        """
        rules = self.rules
        self._felt *= 0.5 ** (max(now - self._felt_at, 0.0) / rules.calm_ms)
        self._felt_at = now
        self._felt = max(self._felt, max(late_ms - rules.usual_ms, 0.0) / rules.full_ms)
        self._limits.pressed(now, min(self._felt, 1.0))

    # --- questions ---

    def allow(self, now: float, question: Question, wall: float, deadline_ms: float) -> Allowed | Refused:
        """`wall`: how far this front's wall clock, in which the question has its times, is ahead."""
        query = query_of(question, wall)
        estimate = self.estimate(now, query)

        def narrow(wide: Query, fits: Callable[[Estimate], bool]) -> Query | None:
            found = narrower(
                wide, lambda one: self.estimate(now, one), fits, self.catalogue, tuple(self._lives)
            )
            return found[0] if found else None

        granted = self._limits.ask(now, estimate, narrow)
        if not isinstance(granted, Granted):
            return granted
        budget = Budget(round(granted.most.rows), round(granted.most.bytes) + 65_536, deadline_ms)
        known = frozenset(
            (one.summary.shard.front, one.summary.shard.life)
            for summaries in self.catalogue.believed().values()
            for one in summaries
        )
        return Allowed(granted.ticket, estimate, budget, self._planned(question, estimate), known)

    def estimate(self, now: float, query: Query) -> Estimate:
        """For every front by its own clock, and all of it together."""
        parts = []
        for front in query.fronts or tuple({**dict.fromkeys(self.catalogue.owners()), **self._lives}):
            since, until = self._span(front, query.since, query.until)
            asked = replace(query, fronts=(front,), since=since, until=until)
            parts.append(self._estimator.estimate(asked, self.catalogue, (front,), now))
        sums = {name: sum((getattr(one, name) for one in parts), Bound()) for name in QUANTITIES}
        return Estimate(
            query, **sums,
            age_ms=max((one.age_ms for one in parts), default=0.0),
            missing=tuple(name for one in parts for name in one.missing),
            plan=tuple(planned for one in parts for planned in one.plan),
            doubtful=any(one.doubtful for one in parts),
        )  # fmt: skip

    def settle(self, now: float, allowed: Allowed, answer: Answer) -> list[str]:
        """What it touched; the quantities whose upper bounds did not hold."""
        estimate, rows = allowed.estimate, sum(said.rows for said in answer.shards)
        actual = Actual(
            fronts=len({said.owner for said in answer.shards}),
            shards=round(estimate.shards.guess),  # the record is asked by life of a front, not by shard
            rows=rows,
            bytes=rows * _ACT_BYTES,
            holding=round(estimate.holding.guess),
            found=len(answer.rows),
            answer=round(estimate.answer.guess),
            whole=answer.whole,
        )
        self._limits.settle(now, allowed.ticket, actual)
        return self.feedback.record(estimate, actual)

    # --- pieces ---

    def _span(self, front: str, since: float, until: float) -> tuple[float, float]:
        life = self._lives.get(front, 0)
        low = since if isinf(since) else self._clocks.theirs(front, life, When(since, since)).earliest
        high = until if isinf(until) else self._clocks.theirs(front, life, When(until, until)).latest
        return low, high

    def _planned(
        self, question: Question, estimate: Estimate
    ) -> dict[tuple[str, int], tuple[float, float]] | None:
        if isinstance(question, Still):
            return None  # how long after others: every front has to be asked
        hulls: dict[tuple[str, int], tuple[float, float]] = {}
        for one in estimate.plan:
            key = (one.shard.front, one.shard.life)
            low, high = hulls.get(key, (inf, -inf))
            hulls[key] = (min(low, one.since), max(high, inf if one.tail else one.until))
        for front in estimate.missing:  # nothing is known of it: all of it
            hulls[front, self._lives.get(front, 0)] = (-inf, inf)
        return hulls


def query_of(question: Question, wall: float) -> Query:
    """The rows that a question reads, with times on the asking front's own clock."""
    if isinstance(question, Refusal):
        return Query(session=question.session)  # what it had heard before goes with it
    since = question.since - wall if question.since is not None else -inf
    until = question.until - wall if question.until is not None else inf
    if isinstance(question, AfterDrain):
        return Query(box=question.box, since=since, until=until)
    version = question.value if question.kind == "boxes" and isinstance(question.value, str) else None
    if isinstance(question, Acts):
        return Query(
            fronts=(question.front,) if question.front is not None else (), since=since, until=until,
            deed=str(question.deed) if question.deed is not None else None, session=question.session,
            title=question.title, box=question.box, tenant=question.tenant, version=version,
            outcome=question.outcome,
        )  # fmt: skip
    return Query(version=version, since=since, until=until)


def to_plain(estimate: Estimate) -> dict[str, Any]:
    """An estimate as JSON has it: [low, guess, high] of each, and the age of what it rests on in ms."""
    plain: dict[str, Any] = {
        name: [round(value.low, 1), round(value.guess, 1), round(value.high, 1)]
        for name in ("fronts", "shards", "rows", "bytes", "found")
        for value in (getattr(estimate, name),)
    }
    return {
        **plain, "age_ms": round(min(estimate.age_ms, 1e12), 1), "missing": list(estimate.missing),
        "doubtful": estimate.doubtful,
    }  # fmt: skip


def refused_to_plain(refused: Refused, wall: float) -> dict[str, Any]:
    plain: dict[str, Any] = {"ok": False, "error": f"not put: {refused.why}"}
    if refused.estimate is not None:
        plain["estimate"] = to_plain(refused.estimate)
    if refused.wait_ms is not None:
        plain["wait_ms"] = round(refused.wait_ms)
    if refused.narrower is not None:
        plain["narrower"] = _question(refused.narrower, wall)
    return plain


def _question(query: Query, wall: float) -> dict[str, Any]:
    """A narrower form, as the question that it is; of several fronts one has to be chosen."""
    plain: dict[str, Any] = {"question": "acts"}
    for name in ("deed", "session", "title", "box", "tenant", "outcome"):
        if getattr(query, name) is not None:
            plain[name] = getattr(query, name)
    if query.version is not None:
        plain.update(kind="boxes", value=query.version)
    if query.fronts:
        plain["front"] = query.fronts[0]
    if not isinf(query.since):
        plain["since"] = query.since + wall
    if not isinf(query.until):
        plain["until"] = query.until + wall
    return plain
