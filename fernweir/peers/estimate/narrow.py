"""The cheapest narrower form of a question that is over its budget."""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from itertools import count
from math import isinf

import msgspec

from fernweir.peers.estimate.bounds import Estimate
from fernweir.peers.estimate.catalogue import Catalogue
from fernweir.peers.estimate.question import Query
from fernweir.peers.estimate.summary import COUNTED

MOST_TRIED = 48
LEAST_SPAN_MS = 100.0


def narrower(
    query: Query,
    estimate: Callable[[Query], Estimate],
    fits: Callable[[Estimate], bool],
    summaries: Catalogue,
    fronts: Sequence[str],
) -> tuple[Query, Estimate] | None:
    """A question within this one whose estimate fits, and that keeps most rows of those tried; None if none.

    Each step halves the span of time (the later half, then the earlier), halves the fronts (keeping the
    cheaper ones, known before unknown), or adds one equality by a frequent value. Best first: of what was
    reached, the form with the most rows found is narrowed next, so the first that fits gives up least. Tries
    are bounded; towards their end only the steepest step is taken.
    """
    number = count()
    first = estimate(query)
    heap: list[tuple[float, int, Query, Estimate]] = [(-first.found.guess, next(number), query, first)]
    seen = {query}
    tried = 0
    while heap and tried < MOST_TRIED:
        _, _, wide, known = heapq.heappop(heap)
        if wide != query and fits(known):
            return wide, known
        for candidate in _steps(wide, known, summaries, fronts):
            if candidate in seen or tried >= MOST_TRIED:
                continue
            seen.add(candidate)
            tried += 1
            told = estimate(candidate)
            heapq.heappush(heap, (-told.found.guess, next(number), candidate, told))
    fitting = [(place, wide, known) for place, _, wide, known in heap if fits(known) and wide != query]
    if fitting:
        _, wide, known = min(fitting, key=lambda one: one[0])
        return wide, known
    return _steepest(query, estimate, fits, summaries, fronts)


def _steepest(
    query: Query,
    estimate: Callable[[Query], Estimate],
    fits: Callable[[Estimate], bool],
    summaries: Catalogue,
    fronts: Sequence[str],
) -> tuple[Query, Estimate] | None:
    """Halves fronts and time in turn until it fits."""
    known = estimate(query)
    for _ in range(MOST_TRIED):
        steps = [*_halved_fronts(query, known, fronts), *_halved_time(query, known, summaries)]
        if not steps:
            return None
        told = [(estimate(step), step) for step in steps]
        known, query = min(told, key=lambda one: one[0].bytes.high)
        if fits(known):
            return query, known
    return None


def _steps(query: Query, known: Estimate, summaries: Catalogue, fronts: Sequence[str]) -> Iterator[Query]:
    yield from _halved_time(query, known, summaries)
    yield from _halved_fronts(query, known, fronts)
    yield from _one_more(query, known, summaries)


def _halved_time(query: Query, known: Estimate, summaries: Catalogue) -> Iterator[Query]:
    """An open end of the span is taken from what the planned shards hold."""
    since, until = query.since, query.until
    if isinf(since):
        since = min((one.shard.since for one in known.plan if not isinf(one.shard.since)), default=since)
    if isinf(until):
        planned = {one.shard.front for one in known.plan}
        taken = [one.summary.taken for front in sorted(planned) for one in summaries.of(front)]
        until = max(taken, default=until)
    if isinf(since) or isinf(until) or until - since < 2 * LEAST_SPAN_MS:
        return
    middle = (since + until) / 2
    yield msgspec.structs.replace(query, since=middle)
    yield msgspec.structs.replace(query, since=since, until=middle)


def _halved_fronts(query: Query, known: Estimate, fronts: Sequence[str]) -> Iterator[Query]:
    cost: Counter[str] = Counter()
    for planned in known.plan:
        cost[planned.shard.front] += int(planned.size.high) + 1
    chosen = [front for front in (query.fronts or fronts) if front in cost]
    if len(chosen) < 2:
        return
    known_first = sorted(chosen, key=lambda front: (front in known.missing, cost[front], front))
    yield msgspec.structs.replace(query, fronts=tuple(known_first[: (len(chosen) + 1) // 2]))


def _one_more(query: Query, known: Estimate, summaries: Catalogue) -> Iterator[Query]:
    """For each field not asked for yet, its most frequent value over the planned fronts."""
    fronts = {planned.shard.front for planned in known.plan}
    totals: dict[str, Counter[str]] = {field: Counter() for field in COUNTED}
    for front in sorted(fronts):
        for one in summaries.of(front):
            if one.summary.of != query.of:
                continue
            for field, frequent in zip(COUNTED, one.summary.fields, strict=True):
                if getattr(query, field) is None:
                    totals[field].update(dict(zip(frequent.values, frequent.counts, strict=True)))
    for field, total in totals.items():
        if len(total) < 2:
            continue
        value = max(total.items(), key=lambda pair: (pair[1], pair[0]))[0]
        yield msgspec.structs.replace(query, **{field: int(value) if field == "box" else value})
