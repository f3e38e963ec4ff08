"""How many rows of one shard a conjunction of equalities asks for, by its summary alone."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from functools import lru_cache

import msgspec

from fernweir.peers.estimate.bounds import Bound
from fernweir.peers.estimate.rules import EstimateRules
from fernweir.peers.estimate.sketches import Frequent, key
from fernweir.peers.estimate.summary import COUNTED, REST, Known

_PLACES = {field: place for place, field in enumerate(COUNTED)}


@dataclass(frozen=True, slots=True)
class Asked:
    """One equality; its hash is taken once for all shards."""

    field: str
    value: str
    hashed: int


def asked(equalities: Sequence[tuple[str, str]]) -> tuple[Asked, ...]:
    return tuple(Asked(field, value, key(field, value)) for field, value in equalities)


class Match(msgspec.Struct, frozen=True, gc=False):
    """Rows of a whole shard that match. `doubt`: the share of shards without any that a filter lets by."""

    rows: Bound
    doubt: float


def match(known: Known, equalities: Sequence[Asked], rules: EstimateRules) -> Match | None:
    """None if the shard holds no such row for certain.

    Upper: the least of the marginals; lower: the Fréchet inequality. The guess multiplies selectivities, the
    most selective first and each further one with half the exponent of the last, since what is asked
    together tends to occur together; sampled rows then outweigh it as far as they go.
    """
    summary, rows = known.summary, known.summary.rows
    if not equalities:
        return Match(Bound(rows, rows, rows), 0.0)
    if not rows:
        return None
    marginals: list[Bound] = []
    doubt = 0.0
    for one in equalities:
        counted = _count(known, one)
        if counted is None:
            return None
        marginals.append(counted)
        if not counted.low and known.filter is not None:
            doubt = max(doubt, known.filter.false_share)
    if len(marginals) == 1:
        return Match(marginals[0], doubt)
    high = min([bound.high for bound in marginals])
    low = max(0.0, sum([bound.low for bound in marginals]) - (len(marginals) - 1) * rows)
    guess, exponent = float(rows), 1.0
    for likely in sorted([bound.guess for bound in marginals]):
        guess *= (likely / rows) ** exponent
        exponent /= 2
    guess = _sampled(summary.sample, summary.fields, equalities, guess / rows, rules) * rows
    return Match(Bound(low, min(max(guess, low), high), high), doubt)


def _count(known: Known, one: Asked) -> Bound | None:
    """Rows with one value: exact if it is frequent, else between none and the most that a rare one has."""
    summary = known.summary
    if one.field == "session":
        if known.filter is None or one.hashed not in known.filter:
            return None
        return Bound(0.0, summary.rows / max(1, summary.sessions), summary.session_most)
    frequent = summary.fields[_PLACES[one.field]]
    if one.value in frequent.values:
        count = frequent.counts[frequent.values.index(one.value)]
        return Bound(count, count, count)
    if not frequent.rest_rows or known.filter is None or one.hashed not in known.filter:
        return None
    return Bound(0.0, frequent.rest_rows / max(1, frequent.rest_values), frequent.rest_most)


@lru_cache(256)
def _only(code: int) -> bytes:
    """A table that turns one code into 1 and all others into 0."""
    return bytes(one == code for one in range(256))


def _sampled(
    sample: Sequence[bytes],
    fields: Sequence[Frequent],
    equalities: Sequence[Asked],
    share: float,
    rules: EstimateRules,
) -> float:
    """The share of rows that match, by the sample, with `share` believed as some rows of it."""
    wanted: list[tuple[bytes, int]] = []
    weight = 1.0
    for one in equalities:
        if one.field == "session":
            return share  # no sample is fine enough for that
        place = _PLACES[one.field]
        values = fields[place].values
        if one.value in values:
            wanted.append((sample[place], values.index(one.value)))
        else:  # rare ones are not told apart in the sample
            wanted.append((sample[place], REST))
            weight /= max(1, fields[place].rest_values)
    count = len(sample[0])
    both = -1  # one bit for each sampled row that has all values looked at so far
    for codes, code in wanted:
        both &= int.from_bytes(codes.translate(_only(code)), "little")
    hits = both.bit_count()
    return (hits * weight + rules.sample_weight * share) / (count + rules.sample_weight)
