"""A front's own shards: rows are added as they come, shards are sealed, summaries are cut to be published."""

from __future__ import annotations

from array import array
from collections import Counter, deque
from itertools import pairwise

import msgspec

from fernweir.peers.estimate.question import ACTS, STANDING, Row, clean
from fernweir.peers.estimate.rules import ShardRules
from fernweir.peers.estimate.sketches import cut, key, pack_filter, steps, value_key
from fernweir.peers.estimate.summary import COUNTED, FORMAT, REST, VERSION, Older, Shard, Summary
from fernweir.peers.port import SessionStatus

_MIX = 0x9E3779B97F4A7C15  # an odd number near 2**64 by the golden ratio (Knuth's multiplicative hashing)
_ALL = (1 << 64) - 1


class Rates:
    """Rows a second, by buckets: of late, on average over all that is kept, and the highest."""

    __slots__ = ("_buckets", "_rules", "_since")

    def __init__(self, now: float, rules: ShardRules) -> None:
        self._rules = rules
        self._since = now
        self._buckets: deque[list[float]] = deque(maxlen=rules.buckets)  # [start, rows]

    def add(self, now: float) -> None:
        start = now - now % self._rules.bucket_ms
        if self._buckets and self._buckets[-1][0] >= start:
            self._buckets[-1][1] += 1
        else:
            self._buckets.append([start, 1.0])

    def told(self, now: float) -> tuple[float, float, float]:
        """Rate, mean and peak. The rate is over the shortest span that has rows enough to say something."""
        bucket = self._rules.bucket_ms
        age = max(bucket, now - self._since)
        kept = min(age, bucket * self._rules.buckets)
        mean = sum(count for start, count in self._buckets if start + bucket > now - kept) / kept
        span = min(age, 4 * self._rules.rate_ms, max(self._rules.rate_ms, 20.0 / mean if mean else 0.0))
        # Whole buckets, so the span reaches back to the start of the one in which it begins.
        first = (now - span) // bucket * bucket
        rows = sum(count for start, count in self._buckets if start >= first)
        rate = rows / max(bucket, now - max(first, self._since))
        peak = max((count for _, count in self._buckets), default=0.0) / bucket
        return rate * 1e3, mean * 1e3, max(rate, peak) * 1e3


class Builder:
    """One shard as it fills: exact counts, bounded by whoever seals it. Rows may also leave it.

    What a summary needs is kept as rows come and go, so that cutting one costs little more than a look at
    each row's time: it is cut every few seconds, while viewers wait. Of a row there remain 12 bytes and its
    session's hash; the sampled ones are kept.
    """

    __slots__ = (
        "_counts", "_dead", "_first", "_least", "_rules", "_sample", "_sessions", "_sizes", "_times",
        "_versions", "name", "of", "since", "size",
    )  # fmt: skip

    def __init__(self, of: str, name: str, since: float, rules: ShardRules) -> None:
        self.of = of
        self.name = name
        self.since = since
        self.size = 0
        self._rules = rules
        self._first = 0  # the number of the first row below
        self._times = array("d")
        self._sizes = array("l")  # -1 for a row that has left
        self._dead = 0
        self._counts: tuple[Counter[str], ...] = tuple(Counter() for _ in COUNTED)
        self._versions: dict[str, list[float]] = {}  # times of the first row and of the last
        self._sessions: dict[int, int] = {}  # by the key, rows
        self._sample: dict[int, tuple[int, tuple[str, ...]]] = {}  # rows whose numbers hash below `_least`
        self._least = _ALL

    def __len__(self) -> int:
        return len(self._times) - self._dead

    def add(self, row: Row, size: int) -> int:
        """The number by which the row may be removed."""
        number = self._first + len(self._times)
        session = key("session", clean(row.session))
        self._sessions[session] = self._sessions.get(session, 0) + 1
        values = _values(row)
        for counter, value in zip(self._counts, values, strict=True):
            counter[value] += 1
        seen = self._versions.setdefault(values[VERSION], [row.at, row.at])
        seen[0], seen[1] = min(seen[0], row.at), max(seen[1], row.at)
        self._times.append(row.at)
        self._sizes.append(size)
        self.size += size
        # Rows of one session must not all be sampled or none, so the row's number is hashed with it.
        hashed = ((session ^ (number * _MIX)) * _MIX & _ALL) >> 3
        if hashed < self._least:
            self._sample[number] = (hashed, values)
            if len(self._sample) > 4 * self._rules.sample:
                self._least //= 2
                self._sample = {n: one for n, one in self._sample.items() if one[0] < self._least}
        return number

    def remove(self, number: int, row: Row) -> None:
        """Takes out what was added as that row."""
        place = number - self._first
        self.size -= self._sizes[place]
        self._sizes[place] = -1
        self._dead += 1
        session = key("session", clean(row.session))
        self._sessions[session] -= 1
        if not self._sessions[session]:
            del self._sessions[session]
        values = _values(row)
        for counter, value in zip(self._counts, values, strict=True):
            counter[value] -= 1
            if not counter[value]:
                del counter[value]
        if not self._counts[VERSION][values[VERSION]]:
            del self._versions[values[VERSION]]
        self._sample.pop(number, None)

    @property
    def wasted(self) -> bool:
        """More has left than is here: it is worth building anew."""
        return self._dead > len(self) + self._rules.sample

    def summary(self, now: float, front: str, life: int, sealed: bool) -> Summary:
        rules = self._rules
        times = [pair for pair in zip(self._times, self._sizes, strict=True) if pair[1] >= 0]
        if any(later < earlier for earlier, later in pairwise(self._times)):
            times.sort()
        fields = tuple(cut(counter, rules.frequent) for counter in self._counts)
        keys = list(self._sessions)
        for field, counter, frequent in zip(COUNTED, self._counts, fields, strict=True):
            if frequent.rest_values:
                top = set(frequent.values)
                keys += [value_key(field, value) for value in counter if value not in top]
        places = [{value: place for place, value in enumerate(frequent.values)} for frequent in fields]
        sampled = [values for _, values in sorted(self._sample.values())[: rules.sample]]
        since = min(self.since, times[0][0]) if times else self.since
        until = max(since, times[-1][0]) if times else since
        return Summary(
            format=FORMAT,
            of=self.of,
            shard=Shard(front, life, self.name, since, until),
            sealed=sealed,
            taken=now,
            rows=len(times),
            size=self.size,
            sessions=len(self._sessions),
            session_most=max(self._sessions.values(), default=0),
            fields=fields,
            filter=pack_filter(keys, rules.false_share, rules.filter_bytes),
            steps=steps(times, rules.bins),
            sample=tuple(
                bytes(place.get(values[number], REST) for values in sampled)
                for number, place in enumerate(places)
            ),
            versions=tuple(
                (max(since, first), min(until, last))
                for first, last in (self._versions[value] for value in fields[VERSION].values)
            ),
        )


def _values(row: Row) -> tuple[str, ...]:
    """A row's values by `COUNTED`, as summaries hold them."""
    texts = (row.deed, row.title, str(row.box), row.tenant, row.version, row.outcome)
    return tuple(clean(text) for text in texts)


class Summarizer:
    """All shards of one front in one life; times are ms on the scale in which its rows are stamped.

    Rows of acts go by `add`; what stands by `stands` and `over`, from which a shard of its own is cut anew
    each time, as sessions also leave it.
    """

    def __init__(self, front: str, life: int, rules: ShardRules, now: float) -> None:
        self._front, self._life, self._rules = front, life, rules
        self._sealed: deque[Summary] = deque()
        self._older = Older()
        self._number = 0
        self._open = Builder(ACTS, "0", now, rules)
        self._standing = Builder(STANDING, STANDING, now, rules)
        self._stands: dict[str, tuple[int, Row, int]] = {}  # by session: its number there, bytes
        self._rates = Rates(now, rules)
        self._turnover = Rates(now, rules)

    def add(self, now: float, row: Row, size: int) -> str:
        """A row of an act, with its bytes in the record. The name of the shard in which it lies."""
        if len(self._open) >= self._rules.most_rows or now - self._open.since >= self._rules.most_span_ms:
            self.seal(now)
        self._open.add(row, size)
        self._rates.add(now)
        return self._open.name

    def seal(self, now: float) -> None:
        """Ends the open shard; an empty one only moves its start."""
        if len(self._open):
            self._sealed.append(self._open.summary(now, self._front, self._life, True))
            self._number += 1
            if len(self._sealed) > self._rules.kept:
                self._forget(self._sealed.popleft())
        self._open = Builder(ACTS, str(self._number), now, self._rules)

    def _forget(self, summary: Summary) -> None:
        older, shard = self._older, summary.shard
        self._older = Older(
            older.shards + 1,
            older.rows + summary.rows,
            older.size + summary.size,
            min(older.since, shard.since) if older.shards else shard.since,
            max(older.until, shard.until) if older.shards else shard.until,
        )

    def stands(self, now: float, standing: SessionStatus, size: int) -> None:
        known = self._stands.get(standing.session)
        row = Row(now, STANDING, standing.session, standing.title, standing.box, standing.tenant)
        if known is not None:
            if msgspec.structs.replace(row, at=known[1].at) == known[1]:
                return
            # Stamped anew when what can be asked for changes: what a summary doesn't tell is later than it.
            self._standing.remove(known[0], known[1])
            del self._stands[standing.session]
        self._stands[standing.session] = (self._standing.add(row, size), row, size)
        self._turnover.add(now)

    def over(self, now: float, session: str) -> None:
        known = self._stands.pop(session, None)
        if known is None:
            return
        self._standing.remove(known[0], known[1])
        self._turnover.add(now)
        if self._standing.wasted:
            self._standing = Builder(STANDING, STANDING, self._standing.since, self._rules)
            for name, (_, row, size) in self._stands.items():
                self._stands[name] = (self._standing.add(row, size), row, size)

    def standing(self) -> list[Row]:
        """What stands, as questions see it: what the front answers such a question from."""
        return [row for _, row, _ in self._stands.values()]

    def summaries(self, now: float) -> list[Summary]:
        """All that is to be published: sealed shards, the open one, and what stands."""
        opened = self._open.summary(now, self._front, self._life, False)
        rate, mean, peak = self._rates.told(now)
        standing = self._standing.summary(now, self._front, self._life, False)
        change, usual, most = self._turnover.told(now)
        return [
            *self._sealed,
            msgspec.structs.replace(opened, rate=rate, mean=mean, peak=peak, older=self._older),
            msgspec.structs.replace(standing, rate=change, mean=usual, peak=most),
        ]
