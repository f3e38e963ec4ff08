"""What a question will touch, by the summaries alone; and with it the plan by which it is run."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from math import ceil, exp, inf, nextafter, sqrt

import msgspec

from fernweir.peers.estimate.bounds import Bound, Estimate, Planned, exactly
from fernweir.peers.estimate.catalogue import Catalogue
from fernweir.peers.estimate.feedback import QUANTITIES, Feedback
from fernweir.peers.estimate.question import ACTS, STANDING, Query, equalities
from fernweir.peers.estimate.rules import EstimateRules
from fernweir.peers.estimate.selectivity import Asked, Match, asked, match
from fernweir.peers.estimate.summary import Known, Shard

_NONE = Bound()


class _Part(msgspec.Struct, frozen=True):
    """One planned shard, with what is found in it: for certain or by the filter's word, and what grew."""

    planned: Planned
    shards: Bound
    found: Bound
    doubt: float  # above 0: that anything is found rests on a filter
    alone: bool  # all else is satisfied by every row, so that the filter's yes, if true, means one
    grown: Bound  # of `found`, what came since the summary
    row_bytes: float


@dataclass(slots=True)
class _Front:
    parts: list[_Part] = field(default_factory=list)
    tested: int = 0  # shards in the span
    age_ms: float = 0.0


class Estimator:
    def __init__(self, rules: EstimateRules, feedback: Feedback) -> None:
        self._rules = rules
        self._feedback = feedback

    def estimate(self, query: Query, summaries: Catalogue, fronts: Sequence[str], now: float) -> Estimate:
        """`fronts`: all that the fleet is believed to have, so that one without summaries is seen missing."""
        chosen = query.fronts or tuple(fronts)
        wanted = asked(equalities(query))
        looked: dict[str, _Front] = {}
        missing = []
        for front in dict.fromkeys(chosen):
            seen = self._front(query, wanted, summaries.of(front), now)
            if seen is None:
                missing.append(front)
            else:
                looked[front] = seen
        truth = _true_share(looked.values())
        sums = {front: self._sum(seen, truth) for front, seen in looked.items()}
        total = unknown = [_NONE] * len(QUANTITIES)
        for counted in sums.values():
            total = [one + other for one, other in zip(total, counted, strict=True)]
        if missing:
            unknown = self._unknown(query, wanted, summaries, sums, now)
            total = [one + other.times(len(missing)) for one, other in zip(total, unknown, strict=True)]
        widened = dict(zip(QUANTITIES, total, strict=True))
        for quantity, bound in widened.items():
            widened[quantity] = self._feedback.widen(quantity, bound)
        plan = [part.planned for seen in looked.values() for part in seen.parts]
        plan += [_whole(query, front, unknown) for front in missing]
        return Estimate(
            query,
            fronts=widened["fronts"],
            shards=widened["shards"],
            rows=widened["rows"],
            bytes=widened["bytes"],
            holding=widened["holding"],
            found=widened["found"],
            answer=widened["answer"],
            age_ms=max((seen.age_ms for seen in looked.values()), default=0.0),
            missing=tuple(missing),
            plan=tuple(plan),
            doubtful=bool(self._feedback.failing()),
        )

    def _front(
        self, query: Query, wanted: tuple[Asked, ...], known: Iterable[Known], now: float
    ) -> _Front | None:
        """None if the front has no summary of what it still adds to, or none of late: it is unknown then."""
        mine = [one for one in known if one.summary.of == query.of]
        last = max(
            (one for one in mine if not one.summary.sealed),
            key=lambda one: (one.summary.taken, one.heard),
            default=None,
        )
        if last is None or now - last.heard > self._rules.stale_ms:
            return None
        seen = _Front(age_ms=max(0.0, now - last.heard))
        for one in mine:
            part = self._part(query, wanted, one, one is last, now, seen)
            if part is not None:
                seen.parts.append(part)
        older = self._older(query, wanted, last)
        if older is not None:
            seen.parts.append(older)
        if query.of == ACTS:
            seen.parts += self._lost(query, mine, last)
        return seen

    def _part(
        self, query: Query, wanted: tuple[Asked, ...], known: Known, last: bool, now: float, seen: _Front
    ) -> _Part | None:
        """`last`: the shard to which the front adds. Another open one was sealed since, unheard."""
        summary, rules = known.summary, self._rules
        shard = summary.shard
        before = summary.steps.between(query.since, query.until)
        inside = before[2] > 0
        seen.tested += inside
        growth = _NONE if summary.sealed else self._growth(query, known, now)
        grows = growth.high > 0
        like = match(known, wanted, rules) if inside or grows else None
        found = like if inside else None
        if found is None and not grows:
            return None
        row_bytes = summary.size / summary.rows if summary.rows else rules.row_bytes
        rows = size = there = _NONE
        if found is not None:
            rows, size = self._reading(query, known, before)
            there = _clip(found, Bound(*before[:3]), summary.rows)
            if summary.of == STANDING:  # what stood may be over
                left = self._changes(known, now)
                rows = Bound(max(0.0, rows.low - left), rows.guess, rows.high)
                size = Bound(max(0.0, size.low - left * row_bytes), size.guess, size.high)
                there = Bound(max(0.0, there.low - left), there.guess, there.high)
        grown = _NONE
        if grows:
            rows = rows + growth
            size = size + Bound(0.0, growth.guess * row_bytes, growth.high * row_bytes * rules.size_margin)
            share = like.rows.guess / summary.rows if like is not None and summary.rows else 0.0
            if not wanted:
                share = 1.0
            grown = Bound(0.0, growth.guess * share, growth.high)
        planned = Planned(
            shard,
            summary.of,
            query.since if found is not None else max(query.since, summary.taken),
            query.until,
            grows and last,
            rows,
            size,
            summary.rows if summary.sealed else -1,
        )
        shards = self._new_shards(known, growth, now) if grows and last else exactly(1.0)
        doubt = found.doubt if found is not None else 0.0
        alone = len(wanted) == 1 and before[0] == summary.rows
        return _Part(planned, shards, there, doubt, alone, grown, row_bytes)

    def _older(self, query: Query, wanted: tuple[Asked, ...], last: Known) -> _Part | None:
        """Shards that are only counted: read by their time, in proportion to it, as far as can be told."""
        older = last.summary.older
        if not older.shards or query.until <= older.since or query.since > older.until:
            return None
        span = older.until - older.since
        inside = min(query.until, older.until) - max(query.since, older.since)
        share = max(0.0, inside) / span if span > 0 else 1.0
        whole = query.since <= older.since and query.until > older.until
        low = 1.0 if whole else 0.0
        rows = Bound(older.rows * low, older.rows * share, older.rows)
        size = Bound(older.size * low, older.size * share, older.size)
        shards = Bound(older.shards * low, max(1.0, older.shards * share), older.shards)
        found = rows
        if wanted:
            like = match(last, wanted, self._rules)
            part = like.rows.guess / max(1, last.summary.rows) if like is not None else 0.0
            found = Bound(0.0, rows.guess * part, rows.high)
        planned = Planned(
            Shard(last.summary.shard.front, last.summary.shard.life, "", older.since, older.until),
            query.of,
            max(query.since, older.since),
            min(query.until, nextafter(older.until, inf)),
            False,
            rows,
            size,
        )
        return _Part(planned, shards, found, 0.0, False, _NONE, older.size / older.rows)

    def _lost(self, query: Query, known: Sequence[Known], last: Known) -> Iterator[_Part]:
        """Shards whose summaries should be here and are not: anything may be in them, up to a whole shard's.

        There may be none such: as many as a front publishes lie between those only counted and the last.
        """
        names = {one.summary.shard.name for one in known}
        begin, end = last.summary.older.shards, int(last.summary.shard.name)
        for number in range(max(begin, end - self._rules.most_lost), end):
            if str(number) in names:
                continue
            shard = last.summary.shard
            most = float(self._rules.most_rows)
            row_bytes = last.summary.size / last.summary.rows if last.summary.rows else self._rules.row_bytes
            rows = Bound(0.0, most / 2, most)
            size = Bound(0.0, most / 2 * row_bytes, most * row_bytes * self._rules.size_margin)
            planned = Planned(
                Shard(shard.front, shard.life, str(number), -inf, shard.since),
                query.of,
                query.since,
                query.until,
                False,
                rows,
                size,
            )
            yield _Part(planned, exactly(1.0), _NONE, 0.0, False, Bound(0.0, 0.0, most), row_bytes)

    def _reading(
        self, query: Query, known: Known, low: tuple[float, float, float, float, float, float]
    ) -> tuple[Bound, Bound]:
        """Rows and bytes read in the span: whole blocks, so that both ends reach out by up to one."""
        steps, block = known.summary.steps, self._rules.block_ms
        if low[0] == low[2]:
            return exactly(low[0]), exactly(low[3])
        guess = steps.between(query.since - block / 2, query.until + block / 2)
        high = steps.between(query.since - block, query.until + block)
        return Bound(low[0], guess[1], high[2]), Bound(low[3], guess[4], high[5])

    def _growth(self, query: Query, known: Known, now: float) -> Bound:
        """Rows since the summary was cut that lie in the span, by the front's rate, which settles to its
        mean, and at most by its peak.

        How much time has passed is counted by our own clock, from when the summary was heard.
        """
        summary = known.summary
        passed = max(0.0, now - known.heard)
        begin = max(query.since, summary.taken)
        longest = min(query.until, summary.taken + passed + self._rules.lag_ms) - begin
        if longest <= 0:
            return _NONE
        start = begin - summary.taken
        end = max(start, min(query.until - summary.taken, passed))
        settle = self._rules.settle_ms
        away = settle * (exp(-start / settle) - exp(-end / settle))
        likely = (end - start) / 1e3 * summary.mean + away / 1e3 * (summary.rate - summary.mean)
        high = longest / 1e3 * summary.peak * self._rules.peak_margin
        return Bound(0.0, max(0.0, likely), high + 3 * sqrt(high) + self._rules.peak_rows)

    def _changes(self, known: Known, now: float) -> float:
        passed = max(0.0, now - known.heard) + self._rules.lag_ms
        high = passed / 1e3 * known.summary.peak * self._rules.peak_margin
        return high + 3 * sqrt(high) + self._rules.peak_rows

    def _new_shards(self, known: Known, growth: Bound, now: float) -> Bound:
        """The open shard and those begun after it: shards are sealed by rows and by time."""
        summary, rules = known.summary, self._rules
        if summary.of == STANDING:
            return exactly(1.0)
        passed = max(0.0, now - known.heard)
        open_ms = summary.taken - summary.shard.since
        by_rows = (summary.rows + growth.guess) // rules.most_rows
        by_time = (open_ms + passed) // rules.most_span_ms
        high = ceil((summary.rows + growth.high) / rules.most_rows) + by_time + 1
        return Bound(1.0, 1.0 + max(by_rows, by_time), max(1.0, high))

    def _sum(self, seen: _Front, truth: float) -> list[Bound]:
        """What one front adds, by `QUANTITIES`. `truth`: the share of filters' yeses that are true."""
        margin = self._rules.size_margin
        sums = [[0.0, 0.0, 0.0] for _ in QUANTITIES]
        sums[0] = [float(bool(seen.parts))] * 3
        _, shards, rows, size, holding, found, answer = sums
        for part in seen.parts:
            there, grown, planned = part.found, part.grown, part.planned
            for total, bound in ((shards, part.shards), (rows, planned.rows), (size, planned.size)):
                total[0] += bound.low
                total[1] += bound.guess
                total[2] += bound.high
            # A filter's word is never taken for certain.
            low = 0.0 if part.doubt else there.low
            guess = there.guess * (truth if part.doubt else 1.0) + grown.guess
            high = there.high + grown.high
            holding[0] += low >= 1.0
            holding[1] += truth if part.doubt and part.alone else 1.0 - exp(-guess)
            holding[2] += part.shards.high
            for total, factor in ((found, (1.0, 1.0, 1.0)), (answer, (1 / margin, 1.0, margin))):
                row = 1.0 if total is found else part.row_bytes
                total[0] += low * row * factor[0]
                total[1] += guess * row * factor[1]
                total[2] += high * row * factor[2]
        return [Bound(*total) for total in sums]

    def _unknown(
        self,
        query: Query,
        wanted: tuple[Asked, ...],
        summaries: Catalogue,
        sums: dict[str, list[Bound]],
        now: float,
    ) -> list[Bound]:
        """One front of which nothing is known: like the others on average, at worst a multiple."""
        like = list(sums.values())
        if not like:
            for front in summaries.owners()[: self._rules.likened]:
                seen = self._front(query, wanted, summaries.of(front), now)
                if seen is not None:
                    like.append(self._sum(seen, 1.0))
        rules = self._rules
        floor = (
            1.0,
            1.0,
            rules.unknown_rows,
            rules.unknown_bytes,
            1.0,
            rules.unknown_rows,
            rules.unknown_bytes,
        )
        result = []
        for place, least in enumerate(floor):
            mean = sum(one[place].guess for one in like) / len(like) if like else least
            most = max((one[place].high for one in like), default=least) * rules.unknown_factor
            result.append(Bound(0.0, mean, max(most, least)))
        result[0] = Bound(0.0, 1.0, 1.0)
        return result


def _whole(query: Query, front: str, unknown: Sequence[Bound]) -> Planned:
    """All that a front of which nothing is known has in the span: no shard is named."""
    shard = Shard(front, 0, "", query.since, query.until)
    return Planned(shard, query.of, query.since, query.until, True, unknown[2], unknown[3])


def _clip(found: Match, span: Bound, rows: int) -> Bound:
    """Rows that match, within a part of the shard's time: in proportion, and no more than lie in it."""
    share = span.guess / rows if rows else 0.0
    low = max(0.0, found.rows.low - (rows - span.low))
    high = min(found.rows.high, span.high)
    return Bound(low, min(max(found.rows.guess * share, low), high), high)


def _true_share(fronts: Collection[_Front]) -> float:
    """Of the shards that filters let by, the share that really has such rows, by the filters' own error."""
    doubts = [part.doubt for seen in fronts for part in seen.parts if part.doubt]
    if not doubts:
        return 1.0
    error = sum(doubts) / len(doubts)
    denied = max(0, sum(seen.tested for seen in fronts) - len(doubts))
    false = error * denied / max(0.01, 1.0 - error)
    return max(0.05, 1.0 - false / len(doubts))
