"""What a question will touch, by the summaries alone; and with it the plan by which it is run."""

from __future__ import annotations

from collections.abc import Collection, Sequence
from math import exp

from fernweir.peers.estimate.bounds import Bound, Estimate, Planned
from fernweir.peers.estimate.catalogue import Catalogue
from fernweir.peers.estimate.feedback import QUANTITIES, Feedback
from fernweir.peers.estimate.parts import Front, Parts
from fernweir.peers.estimate.question import Query, equalities
from fernweir.peers.estimate.rules import EstimateRules
from fernweir.peers.estimate.selectivity import Asked, asked
from fernweir.peers.estimate.summary import Shard

_NONE = Bound()
_Sum = tuple[float, float, float]  # low, guess, high
Sums = tuple[_Sum, _Sum, _Sum, _Sum, _Sum, _Sum, _Sum]  # by `QUANTITIES`


class Estimator:
    def __init__(self, rules: EstimateRules, feedback: Feedback) -> None:
        self._rules = rules
        self._parts = Parts(rules)
        self._feedback = feedback

    def estimate(self, query: Query, summaries: Catalogue, fronts: Sequence[str], now: float) -> Estimate:
        """`fronts`: all that the fleet is believed to have, so that one without summaries is seen missing."""
        chosen = query.fronts or tuple(fronts)
        wanted = asked(equalities(query))
        looked: dict[str, Front] = {}
        missing = []
        for front in dict.fromkeys(chosen):
            seen = self._parts.front(query, wanted, summaries.of(front), now)
            if seen is None:
                missing.append(front)
            else:
                looked[front] = seen
        truth = _true_share(looked.values())
        sums = [self._sum(seen, truth) for seen in looked.values()]
        total = [Bound(*(sum(part) for part in zip(*one, strict=True))) for one in zip(*sums, strict=True)]
        unknown = [_NONE] * len(QUANTITIES)
        total = total or unknown
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

    def _sum(self, seen: Front, truth: float) -> Sums:
        """What one front adds. `truth`: the share of filters' yeses that are true."""
        margin = self._rules.size_margin
        shards_low = shards_guess = shards_high = rows_low = rows_guess = rows_high = 0.0
        size_low = size_guess = size_high = holding_low = holding_guess = holding_high = 0.0
        found_low = found_guess = found_high = answer_low = answer_guess = answer_high = 0.0
        for part in seen.parts:
            there, shards, rows, size = part.found, part.shards, part.planned.rows, part.planned.size
            shards_low += shards.low
            shards_guess += shards.guess
            shards_high += shards.high
            rows_low += rows.low
            rows_guess += rows.guess
            rows_high += rows.high
            size_low += size.low
            size_guess += size.guess
            size_high += size.high
            # A filter's word is never taken for certain.
            low = 0.0 if part.doubt else there.low
            guess = there.guess * (truth if part.doubt else 1.0) + part.grown.guess
            high = there.high + part.grown.high
            holding_low += low >= 1.0
            holding_guess += truth if part.doubt and part.alone else 1.0 - exp(-guess)
            holding_high += shards.high
            found_low += low
            found_guess += guess
            found_high += high
            answer_low += low * part.row_bytes / margin
            answer_guess += guess * part.row_bytes
            answer_high += high * part.row_bytes * margin
        asked_at = float(bool(seen.parts))
        return (
            (asked_at, asked_at, asked_at),
            (shards_low, shards_guess, shards_high),
            (rows_low, rows_guess, rows_high),
            (size_low, size_guess, size_high),
            (holding_low, holding_guess, holding_high),
            (found_low, found_guess, found_high),
            (answer_low, answer_guess, answer_high),
        )

    def _unknown(
        self,
        query: Query,
        wanted: tuple[Asked, ...],
        summaries: Catalogue,
        sums: Sequence[Sums],
        now: float,
    ) -> list[Bound]:
        """One front of which nothing is known: like the others on average, at worst a multiple."""
        like = list(sums)
        if not like:
            for front in summaries.owners()[: self._rules.likened]:
                seen = self._parts.front(query, wanted, summaries.of(front), now)
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
            mean = sum(one[place][1] for one in like) / len(like) if like else least
            most = max((one[place][2] for one in like), default=least) * rules.unknown_factor
            result.append(Bound(0.0, mean, max(most, least)))
        result[0] = Bound(0.0, 1.0, 1.0)
        return result


def _whole(query: Query, front: str, unknown: Sequence[Bound]) -> Planned:
    """All that a front of which nothing is known has in the span: no shard is named."""
    shard = Shard(front, 0, "", query.since, query.until)
    return Planned(shard, query.of, query.since, query.until, True, unknown[2], unknown[3])


def _true_share(fronts: Collection[Front]) -> float:
    """Of the shards that filters let by, the share that really has such rows, by the filters' own error."""
    doubts = [part.doubt for seen in fronts for part in seen.parts if part.doubt]
    if not doubts:
        return 1.0
    error = sum(doubts) / len(doubts)
    denied = max(0, sum(seen.tested for seen in fronts) - len(doubts))
    false = error * denied / max(0.01, 1.0 - error)
    return max(0.05, 1.0 - false / len(doubts))
