"""What of one front's shards a question will touch, by that front's summaries."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from math import ceil, exp, inf, nextafter, sqrt

import msgspec

from fernweir.peers.estimate.bounds import Bound, Planned, exactly
from fernweir.peers.estimate.question import ACTS, STANDING, Query
from fernweir.peers.estimate.rules import EstimateRules
from fernweir.peers.estimate.selectivity import Asked, match
from fernweir.peers.estimate.sketches import Span
from fernweir.peers.estimate.summary import VERSION, Known, Shard, Summary

_NONE = Bound()


class Part(msgspec.Struct, frozen=True, gc=False):
    """One planned shard, with what is found in it: for certain or by the filter's word, and what grew."""

    planned: Planned
    shards: Bound
    found: Bound
    doubt: float  # above 0: that anything is found rests on a filter
    alone: bool  # all else is satisfied by every row, so that the filter's yes, if true, means one
    grown: Bound  # of `found`, what came since the summary
    row_bytes: float


@dataclass(slots=True)
class Front:
    """All that is planned at one front."""

    parts: list[Part] = field(default_factory=list)
    tested: int = 0  # shards in the span
    age_ms: float = 0.0


class Parts:
    def __init__(self, rules: EstimateRules) -> None:
        self._rules = rules

    def front(
        self, query: Query, wanted: tuple[Asked, ...], known: Iterable[Known], now: float
    ) -> Front | None:
        """None if the front has no summary of what it still adds to, or none of late: it is unknown then."""
        mine = [one for one in known if one.summary.of == query.of]
        last: Known | None = None
        for one in mine:
            if not one.summary.sealed and (last is None or one.summary.taken >= last.summary.taken):
                last = one
        if last is None or now - last.heard > self._rules.stale_ms:
            return None
        seen = Front(age_ms=max(0.0, now - last.heard))
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
        self, query: Query, wanted: tuple[Asked, ...], known: Known, last: bool, now: float, seen: Front
    ) -> Part | None:
        """`last`: the shard to which the front adds. Another open one was sealed since, unheard."""
        summary, rules = known.summary, self._rules
        lived = _lived(wanted, summary)
        since, until = max(query.since, lived[0]), min(query.until, lived[1])
        before = summary.steps.between(since, until)
        inside = before[2] > 0
        seen.tested += inside
        growth = _NONE if summary.sealed else self._growth(query, known, now)
        if not last and growth.high > rules.most_rows - summary.rows:
            most = max(0.0, float(rules.most_rows - summary.rows))
            growth = Bound(0.0, min(growth.guess, most), most)
        grows = growth.high > 0
        like = match(known, wanted, rules) if inside or grows else None
        found = like if inside else None
        if found is None and not grows:
            return None
        row_bytes = summary.size / summary.rows if summary.rows else rules.row_bytes
        rows = size = there = _NONE
        if found is not None:
            if grows and until < query.until:  # one read goes on to what is new
                rows, size = self._reading(since, query.until, known, None)
            else:
                rows, size = self._reading(since, until, known, before)
            there = found.rows
            if before[0] < summary.rows:
                there = _clip(there, before, summary.steps.between(*lived))
            if summary.of == STANDING:  # what stood may be over
                left = self._changes(known, now)
                rows = Bound(max(0.0, rows.low - left), rows.guess, rows.high)
                size = Bound(max(0.0, size.low - left * row_bytes), size.guess, size.high)
                there = Bound(max(0.0, there.low - left), there.guess, there.high)
        grown = _NONE
        if grows:
            rows = rows + growth
            size = size + Bound(0.0, growth.guess * row_bytes, growth.high * row_bytes * rules.size_margin)
            share = 0.0 if wanted else 1.0
            if wanted and like is not None and lived[1] > summary.taken - rules.recent_ms:
                there_lived = summary.rows if lived[1] == inf else summary.steps.between(*lived)[1]
                share = like.rows.guess / max(1.0, there_lived)
            grown = Bound(0.0, growth.guess * share, growth.high)
        planned = Planned(
            summary.shard,
            summary.of,
            since if found is not None else max(query.since, summary.taken),
            query.until if grows else until,
            grows and last,
            rows,
            size,
            summary.rows if summary.sealed else -1,
        )
        shards = self._new_shards(known, growth, now) if grows and last else exactly(1.0)
        doubt = found.doubt if found is not None else 0.0
        alone = len(wanted) == 1 and before[0] == summary.rows
        return Part(planned, shards, there, doubt, alone, grown, row_bytes)

    def _older(self, query: Query, wanted: tuple[Asked, ...], last: Known) -> Part | None:
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
        return Part(planned, shards, found, 0.0, False, _NONE, older.size / older.rows)

    def _lost(self, query: Query, known: Sequence[Known], last: Known) -> Iterator[Part]:
        """Shards whose summaries should be here and are not: anything may be in them, up to a whole shard's.

        There may be none such: as many as a front publishes lie between those only counted and the last.
        """
        begin, end = last.summary.older.shards, int(last.summary.shard.name)
        if begin == end:
            return
        names = {one.summary.shard.name for one in known}
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
            yield Part(planned, exactly(1.0), _NONE, 0.0, False, Bound(0.0, 0.0, most), row_bytes)

    def _reading(self, since: float, until: float, known: Known, told: Span | None) -> tuple[Bound, Bound]:
        """Rows and bytes read in the span: whole blocks, so that both ends reach out by up to one."""
        steps, block = known.summary.steps, self._rules.block_ms
        low = told or steps.between(since, until)
        if low[0] == known.summary.rows:
            return exactly(low[0]), exactly(low[3])
        guess = steps.between(since - block / 2, until + block / 2)
        high = steps.between(since - block, until + block)
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
        age = summary.taken - summary.shard.since + max(0.0, now - known.heard)
        by_rows = (summary.rows + growth.guess) // rules.most_rows
        # One that is due by time begins with the first row after that.
        over = max(0.0, age - rules.most_span_ms)
        by_time = over // rules.most_span_ms + min(1.0, over / 1e3 * summary.mean)
        high = (
            ceil((summary.rows + growth.high) / rules.most_rows) + (age + rules.lag_ms) // rules.most_span_ms
        )
        return Bound(1.0, 1.0 + max(by_rows, by_time), max(1.0, high))


def _lived(wanted: Sequence[Asked], summary: Summary) -> tuple[float, float]:
    """The span in which rows with the version asked for lie; all of time if none is, or a rare one."""
    for one in wanted:
        if one.field == "version":
            values = summary.fields[VERSION].values
            if one.value in values:
                first, last = summary.versions[values.index(one.value)]
                return first, nextafter(last, inf)
    return -inf, inf


def _clip(found: Bound, span: Span, lived: Span) -> Bound:
    """Rows that match within a part of the time in which all that do lie, in proportion to its rows."""
    if span[0] == lived[2]:
        return found
    low = max(0.0, found.low - (lived[2] - span[0]))
    high = min(found.high, span[2])
    return Bound(low, min(max(found.guess * span[1] / max(1.0, lived[1]), low), high), high)
