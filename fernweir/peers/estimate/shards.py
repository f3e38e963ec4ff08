"""A front's own shards: rows are added as they come, shards are sealed, summaries are cut to be published."""

from __future__ import annotations

from collections import Counter, deque

import msgspec

from fernweir.peers.estimate.question import ACTS, MOST_TEXT, STANDING, Row, value_of
from fernweir.peers.estimate.rules import ShardRules
from fernweir.peers.estimate.sketches import cut, key, pack_filter, sample_places, steps
from fernweir.peers.estimate.summary import COUNTED, FORMAT, REST, Older, Shard, Summary
from fernweir.peers.port import Standing


class Rates:
    """Rows a second, by buckets: over the last minute, and the highest in all that is kept."""

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

    def told(self, now: float) -> tuple[float, float]:
        """Rate and peak. A front that has just begun is measured over what there is, one bucket at least."""
        span = max(self._rules.bucket_ms, min(60_000.0, now - self._since))
        rows = sum(count for start, count in self._buckets if start + self._rules.bucket_ms > now - span)
        peak = max((count for _, count in self._buckets), default=0.0) / self._rules.bucket_ms
        rate = rows / span
        return rate * 1e3, max(rate, peak) * 1e3


class Builder:
    """One shard as it fills: exact counts, bounded by the rows after which it is sealed."""

    __slots__ = ("_counts", "_keys", "_rows", "name", "of", "since", "size")

    def __init__(self, of: str, name: str, since: float) -> None:
        self.of = of
        self.name = name
        self.since = since
        self.size = 0
        self._rows: list[tuple[float, int, int, tuple[str, ...]]] = []  # at, bytes, sampling key, COUNTED
        self._counts: dict[str, Counter[str]] = {field: Counter() for field in (*COUNTED, "session")}
        self._keys: dict[str, int] = {}  # of sessions

    def __len__(self) -> int:
        return len(self._rows)

    def add(self, row: Row, size: int) -> None:
        session = row.session[:MOST_TEXT]
        hashed = self._keys.get(session)
        if hashed is None:
            hashed = self._keys[session] = key("session", session)
        values = tuple(value_of(row, field)[:MOST_TEXT] for field in COUNTED)
        for field, value in zip(COUNTED, values, strict=True):
            self._counts[field][value] += 1
        self._counts["session"][session] += 1
        # A session's rows must not all be sampled or none: its key is mixed with their number.
        number = len(self._rows)
        self._rows.append((row.at, size, (hashed ^ (number * 0x9E3779B97F4A7C15)) % (1 << 61), values))
        self.size += size

    def summary(self, now: float, front: str, life: int, sealed: bool, rules: ShardRules) -> Summary:
        rows = sorted(self._rows, key=lambda entry: entry[0])
        times = [(at, size) for at, size, _, _ in rows]
        fields = tuple(cut(self._counts[field], rules.frequent) for field in COUNTED)
        keys = list(self._keys.values())
        for field, frequent in zip(COUNTED, fields, strict=True):
            if frequent.rest_values:
                top = set(frequent.values)
                keys += [key(field, value) for value in self._counts[field] if value not in top]
        places = [{value: place for place, value in enumerate(frequent.values)} for frequent in fields]
        sampled = [rows[place][3] for place in sample_places((row[2] for row in rows), rules.sample)]
        since = min(self.since, times[0][0]) if times else self.since
        until = max(since, times[-1][0]) if times else since
        return Summary(
            format=FORMAT,
            of=self.of,
            shard=Shard(front, life, self.name, since, until),
            sealed=sealed,
            taken=now,
            rows=len(rows),
            size=self.size,
            sessions=len(self._keys),
            session_most=max(self._counts["session"].values(), default=0),
            fields=fields,
            filter=pack_filter(keys, rules.false_share, rules.filter_bytes),
            steps=steps(times, rules.bins),
            sample=tuple(
                bytes(place.get(values[number], REST) for values in sampled)
                for number, place in enumerate(places)
            ),
        )


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
        self._open = Builder(ACTS, "0", now)
        self._standing: dict[str, tuple[Row, int]] = {}
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
            self._sealed.append(self._open.summary(now, self._front, self._life, True, self._rules))
            self._number += 1
            if len(self._sealed) > self._rules.kept:
                self._forget(self._sealed.popleft())
        self._open = Builder(ACTS, str(self._number), now)

    def _forget(self, summary: Summary) -> None:
        older, shard = self._older, summary.shard
        self._older = Older(
            older.shards + 1,
            older.rows + summary.rows,
            older.size + summary.size,
            min(older.since, shard.since) if older.shards else shard.since,
            max(older.until, shard.until) if older.shards else shard.until,
        )

    def stands(self, now: float, standing: Standing, size: int) -> None:
        known = self._standing.get(standing.session)
        row = Row(now, STANDING, standing.session, standing.title, standing.box, standing.tenant)
        if known is not None and msgspec.structs.replace(row, at=known[0].at) == known[0]:
            return
        # Stamped anew when what can be asked for changes: whatever a summary doesn't tell is later than it.
        self._standing[standing.session] = (row, size)
        self._turnover.add(now)

    def over(self, now: float, session: str) -> None:
        if self._standing.pop(session, None) is not None:
            self._turnover.add(now)

    def summaries(self, now: float) -> list[Summary]:
        """All that is to be published: sealed shards, the open one, and what stands."""
        opened = self._open.summary(now, self._front, self._life, False, self._rules)
        rate, peak = self._rates.told(now)
        builder = Builder(STANDING, STANDING, now)
        for row, size in self._standing.values():
            builder.add(row, size)
        standing = builder.summary(now, self._front, self._life, False, self._rules)
        change, most = self._turnover.told(now)
        return [
            *self._sealed,
            msgspec.structs.replace(opened, rate=rate, peak=peak, older=self._older),
            msgspec.structs.replace(standing, rate=change, peak=most),
        ]
