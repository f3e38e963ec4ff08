"""Estimates the cost of a query of the audit logs before it runs, and admits or rejects it.

The audit records of a front are summarized, and the summaries are exchanged as facts. Each front records its
rows with the times of its own clock, so the time range of a query is converted to each clock and widened by
the uncertainty of the two clocks. An admitted query reserves the upper bounds of its estimate. A query over
the budget is rejected with its estimate and a narrower query that would be admitted.
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
_ACT_BYTES = 76  # size of a record in a block (docs/measurements.md)
_STANDING_BYTES = 120


@dataclass(frozen=True, slots=True)
class QueryPlannerRules:
    """The settings of `QueryPlanner`."""

    shards: ShardRules = field(default_factory=ShardRules)
    estimate: EstimateRules = field(default_factory=EstimateRules)
    catalogue: CatalogueRules = field(default_factory=CatalogueRules)
    feedback: FeedbackRules = field(default_factory=FeedbackRules)
    limits: LimitRules = field(default_factory=LimitRules)
    usual_timer_delay_ms: float = 5.0  # normal delay without load
    max_timer_delay_ms: float = 100.0  # at this delay over the usual one, no query is admitted
    pressure_half_life_ms: float = 1_000.0


@dataclass(frozen=True, slots=True)
class Admitted:
    """An admitted query with its budget.

    `planned` has the time range to read of each front and incarnation; if it is None, everything is read.
    """

    ticket: int
    estimate: Estimate
    budget: Budget
    planned: Mapping[tuple[str, int], tuple[float, float]] | None
    known: frozenset[tuple[str, int]]  # fronts and incarnations with summaries; only these may be left out


class QueryPlanner:
    """Estimates and admits queries. `now` is in ms."""

    def __init__(self, me: str, life: int, rules: QueryPlannerRules, now: float, clocks: Clocks) -> None:
        self.me, self.rules = me, rules
        self.catalogue = Catalogue(rules.catalogue)
        self.feedback = Feedback(rules.feedback)
        self._clocks = clocks
        self._estimator = Estimator(rules.estimate, self.feedback)
        self._limits = Limits(rules.limits, now)
        self._summarizer = Summarizer(me, life, rules.shards, now)
        self._publish_at = now  # at once, so that others can estimate this front
        self._published: dict[str, bytes] = {}
        self._timer_pressure, self._timer_pressure_at = 0.0, now
        self._lives: Mapping[str, int] = {me: life}

    # --- this front ---

    def add_audit_record(self, act: AuditRecord, versions: Versions) -> None:
        """Adds a record of the audit log of this front to its summaries."""
        row = Row(
            act.at, str(act.deed), act.session, act.title, act.box, act.tenant, versions.boxes.hex(),
            act.outcome,
        )  # fmt: skip
        self._summarizer.add(act.at, row, _ACT_BYTES)

    def on_session_status(self, now: float, standing: SessionStatus) -> None:
        """Adds a playing session of this front to its summaries."""
        self._summarizer.stands(now, standing, _STANDING_BYTES)

    def on_session_ended(self, now: float, session: str) -> None:
        """Removes an ended session of this front from its summaries."""
        self._summarizer.over(now, session)

    def publish(self, now: float) -> tuple[dict[str, bytes], list[str]]:
        """Returns the summaries that changed, and the keys of those to drop, if it is time to publish."""
        if now < self._publish_at:
            return {}, []
        summaries = {PREFIX + one.shard.name: encode(one) for one in self._summarizer.summaries(now)}
        changed = {key: data for key, data in summaries.items() if self._published.get(key) != data}
        gone = [key for key in self._published if key not in summaries]
        self._published = summaries
        size = sum(map(len, changed.values()))
        self._publish_at = now + publish_after(len(self._lives), size, self.rules.shards)
        for key, data in summaries.items():  # those of this front are available at once
            self.catalogue.told(now, self.me, self._lives[self.me], key, data)
        return changed, gone

    # --- other fronts ---

    def update_fronts(self, lives: Mapping[str, int]) -> None:
        """Sets the live fronts with their incarnations."""
        self._lives = {**lives, self.me: self._lives[self.me]}

    def on_summary(self, now: float, owner: str, life: int, key: str, data: bytes) -> None:
        """Stores a summary of a peer."""
        self.catalogue.told(now, owner, life, key, data)

    def on_summary_dropped(self, owner: str, key: str) -> None:
        """Removes a summary that a peer dropped."""
        self.catalogue.dropped(owner, key)

    def on_front_gone(self, owner: str) -> None:
        """Removes the summaries of a peer that is gone."""
        self.catalogue.gone(owner)

    def set_pressure(self, now: float, pressure: float) -> None:
        """Sets the load by viewers, 0 to 1, which has priority over queries."""
        self._limits.pressed(now, pressure)

    def on_timer_delay(self, now: float, late_ms: float) -> None:
        """Derives the pressure on this front from the delay of a timer, so that queries yield to viewers.

        The pressure is the maximum of the delays, which decays by half each `pressure_half_life_ms`, so that
        a single late timer has a short effect.
        """
        rules = self.rules
        self._timer_pressure *= 0.5 ** (max(now - self._timer_pressure_at, 0.0) / rules.pressure_half_life_ms)
        self._timer_pressure_at = now
        self._timer_pressure = max(
            self._timer_pressure, max(late_ms - rules.usual_timer_delay_ms, 0.0) / rules.max_timer_delay_ms
        )
        self._limits.pressed(now, min(self._timer_pressure, 1.0))

    # --- queries ---

    def admit(
        self, now: float, question: Question, wall_offset_ms: float, deadline_ms: float
    ) -> Admitted | Refused:
        """Admits a query, or rejects it with a narrower one.

        The times of the question are wall times; `wall_offset_ms` is the offset of the wall clock from `now`.
        """
        query = query_of(question, wall_offset_ms)
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
        return Admitted(granted.ticket, estimate, budget, self._planned_reads(question, estimate), known)

    def estimate(self, now: float, query: Query) -> Estimate:
        """Returns the sum of the estimates for all fronts, each on its own clock."""
        parts = []
        for front in query.fronts or tuple({**dict.fromkeys(self.catalogue.owners()), **self._lives}):
            since, until = self._local_span(front, query.since, query.until)
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

    def settle(self, now: float, admitted: Admitted, answer: Answer) -> list[str]:
        """Records the actual cost. Returns the quantities that exceeded their upper bounds."""
        estimate, rows = admitted.estimate, sum(said.rows for said in answer.shards)
        actual = Actual(
            fronts=len({said.owner for said in answer.shards}),
            shards=round(estimate.shards.guess),  # the audit log is read by incarnation, not by shard
            rows=rows,
            bytes=rows * _ACT_BYTES,
            holding=round(estimate.holding.guess),
            found=len(answer.rows),
            answer=round(estimate.answer.guess),
            whole=answer.whole,
        )
        self._limits.settle(now, admitted.ticket, actual)
        return self.feedback.record(estimate, actual)

    def _local_span(self, front: str, since: float, until: float) -> tuple[float, float]:
        life = self._lives.get(front, 0)
        low = since if isinf(since) else self._clocks.theirs(front, life, When(since, since)).earliest
        high = until if isinf(until) else self._clocks.theirs(front, life, When(until, until)).latest
        return low, high

    def _planned_reads(
        self, question: Question, estimate: Estimate
    ) -> dict[tuple[str, int], tuple[float, float]] | None:
        if isinstance(question, Still):
            return None  # compares fronts, so all have to be queried
        spans: dict[tuple[str, int], tuple[float, float]] = {}
        for one in estimate.plan:
            key = (one.shard.front, one.shard.life)
            low, high = spans.get(key, (inf, -inf))
            spans[key] = (min(low, one.since), max(high, inf if one.tail else one.until))
        for front in estimate.missing:  # without summaries, everything is read
            spans[front, self._lives.get(front, 0)] = (-inf, inf)
        return spans


def query_of(question: Question, wall_offset_ms: float) -> Query:
    """Returns the query that selects the rows of a question, with times on the clock of this front."""
    if isinstance(question, Refusal):
        return Query(session=question.session)  # includes the records before the rejection
    since = question.since - wall_offset_ms if question.since is not None else -inf
    until = question.until - wall_offset_ms if question.until is not None else inf
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
    """Returns an estimate as JSON data: [low, guess, high] of each quantity, and the data's age in ms."""
    plain: dict[str, Any] = {
        name: [round(value.low, 1), round(value.guess, 1), round(value.high, 1)]
        for name in ("fronts", "shards", "rows", "bytes", "found")
        for value in (getattr(estimate, name),)
    }
    return {
        **plain, "age_ms": round(min(estimate.age_ms, 1e12), 1), "missing": list(estimate.missing),
        "doubtful": estimate.doubtful,
    }  # fmt: skip


def refused_to_plain(refused: Refused, wall_offset_ms: float) -> dict[str, Any]:
    """Returns a rejection as JSON data."""
    plain: dict[str, Any] = {"ok": False, "error": f"not put: {refused.why}"}
    if refused.estimate is not None:
        plain["estimate"] = to_plain(refused.estimate)
    if refused.wait_ms is not None:
        plain["wait_ms"] = round(refused.wait_ms)
    if refused.narrower is not None:
        plain["narrower"] = _question(refused.narrower, wall_offset_ms)
    return plain


def _question(query: Query, wall_offset_ms: float) -> dict[str, Any]:
    """Returns a narrower query as a question. A question has at most one front: the first of the query."""
    plain: dict[str, Any] = {"question": "acts"}
    for name in ("deed", "session", "title", "box", "tenant", "outcome"):
        if getattr(query, name) is not None:
            plain[name] = getattr(query, name)
    if query.version is not None:
        plain.update(kind="boxes", value=query.version)
    if query.fronts:
        plain["front"] = query.fronts[0]
    if not isinf(query.since):
        plain["since"] = query.since + wall_offset_ms
    if not isinf(query.until):
        plain["until"] = query.until + wall_offset_ms
    return plain
