"""A quantity that isn't known exactly, and what an estimate says."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from fernweir.peers.estimate.question import Query
from fernweir.peers.estimate.summary import Shard


class Bound(msgspec.Struct, frozen=True, gc=False):
    """Between `low` and `high`, `guess` being likeliest. A struct, as estimating makes thousands of them."""

    low: float = 0.0
    guess: float = 0.0
    high: float = 0.0

    def __add__(self, other: Bound) -> Bound:
        return Bound(self.low + other.low, self.guess + other.guess, self.high + other.high)

    def times(self, factor: float) -> Bound:
        return Bound(self.low * factor, self.guess * factor, self.high * factor)

    def holds(self, actual: float) -> bool:
        return self.low <= actual <= self.high


def exactly(value: float) -> Bound:
    return Bound(value, value, value)


class Planned(msgspec.Struct, frozen=True, gc=False):
    """One shard to be read, from `since` until `until`; all times on its front's scale.

    A shard without a name stands for all that its front has in the span. `tail`: rows came or may have come
    since the summary was cut, in shards begun after this one too, which belong to it. `rows`, `size`: what
    reading it will touch. `stated`: the rows that a sealed shard says it has in all, -1 if it is still open.
    """

    shard: Shard
    of: str
    since: float
    until: float
    tail: bool
    rows: Bound
    size: Bound
    stated: int = -1


@dataclass(frozen=True, slots=True)
class Estimate:
    """What a question will touch: fronts asked, shards opened, rows and bytes read in them.

    Of the shards opened `holding` have a row that is asked for, `found` rows in all, which are `answer`
    bytes. `age_ms` is that of the oldest summary it rests on. `missing`: fronts asked of which nothing is
    known; all upper bounds are widened for them, by guess, and the plan reads them whole.
    """

    query: Query
    fronts: Bound
    shards: Bound
    rows: Bound
    bytes: Bound
    holding: Bound
    found: Bound
    answer: Bound
    age_ms: float
    missing: tuple[str, ...] = ()
    plan: tuple[Planned, ...] = ()
    doubtful: bool = False  # upper bounds failed of late, and are widened
