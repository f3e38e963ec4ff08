"""Drawn loads for estimates: fronts whose acts are as skewed, bursty and correlated as real ones.

Lessons by Zipf's law, each mostly of one tenant and at the boxes of one rack; rates that jump; sessions of
several acts; versions that change while a few fronts lag behind. Rows lie in shards of blocks of 250 ms, as
they would be kept, so that what a question touches can be counted. Deterministic for a seed.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from itertools import accumulate
from random import Random

import msgspec

from fernweir.peers.estimate.catalogue import PREFIX, Catalogue
from fernweir.peers.estimate.question import ACTS, Query, Row, matcher
from fernweir.peers.estimate.rules import ShardRules
from fernweir.peers.estimate.runner import Answered, Read
from fernweir.peers.estimate.shards import Summarizer
from fernweir.peers.estimate.summary import encode

BLOCK_MS = 250.0
_ENCODE = msgspec.msgpack.Encoder().encode
_ROWS = msgspec.msgpack.Decoder(list[Row]).decode


@dataclass(frozen=True, slots=True)
class LoadPlan:
    fronts: int = 20
    rows: int = 50_000  # of all fronts
    span_ms: float = 1_200_000.0
    lessons: int = 300
    tenants: int = 40
    racks: int = 8
    boxes: int = 64
    hot: float = 0.1  # of all sessions, those of one lesson
    stale_ms: float = 60_000.0  # summaries are up to so old


class Places:
    """Which lesson, tenant and box a new session gets."""

    def __init__(self, plan: LoadPlan, dice: Random) -> None:
        self._plan, self._dice = plan, dice
        self._weights = list(accumulate(1.0 / (rank + 1) ** 1.1 for rank in range(plan.lessons)))
        self._tenant = [min(int(dice.expovariate(0.15)), plan.tenants - 1) for _ in range(plan.lessons)]
        self._rack = [dice.randrange(plan.racks) for _ in range(plan.lessons)]

    def draw(self) -> tuple[str, str, int]:
        plan, dice = self._plan, self._dice
        lesson = 0
        if dice.random() >= plan.hot:
            lesson = bisect_right(self._weights, dice.random() * self._weights[-1])
        tenant = self._tenant[lesson] if dice.random() < 0.9 else dice.randrange(plan.tenants)
        rack = self._rack[lesson] if dice.random() < 0.8 else dice.randrange(plan.racks)
        box = rack * (plan.boxes // plan.racks) + dice.randrange(plan.boxes // plan.racks)
        return f"lesson-{lesson}", f"tenant-{tenant}", box


def drawn_rows(plan: LoadPlan, seed: int) -> dict[str, list[Row]]:
    """Rows by front, in the order of time."""
    dice = Random(f"load/{seed}")
    places = Places(plan, dice)
    weights = [dice.uniform(0.5, 2.0) for _ in range(plan.fronts)]
    rows: dict[str, list[Row]] = {}
    for number, weight in enumerate(weights):
        count = max(1, int(plan.rows * weight / sum(weights)))
        rows[f"front-{number}"] = _front(plan, dice, places, f"f{number}", count)
    return rows


def _front(plan: LoadPlan, dice: Random, places: Places, prefix: str, count: int) -> list[Row]:
    times: list[float] = []
    phases, at = [], 0.0
    while at < plan.span_ms:
        length = dice.uniform(20_000.0, 90_000.0)
        phases.append((at, min(length, plan.span_ms - at), dice.choice((0.5, 1.0, 1.0, 1.0, 1.3, 3.0))))
        at += length
    whole = sum(length * strength for _, length, strength in phases)
    for start, length, strength in phases:
        share = count * length * strength / whole
        times += [start + dice.random() * length for _ in range(round(share))]
    late = dice.uniform(5_000.0, 40_000.0) if dice.random() < 0.1 else dice.uniform(50.0, 800.0)
    recent: list[tuple[str, str, str, int]] = []
    rows = []
    for number, moment in enumerate(sorted(times)):
        version = f"list-{int(max(0.0, moment - late) // 120_000)}"
        if recent and dice.random() < 0.45:
            place = dice.randrange(len(recent))
            session, lesson, tenant, box = recent[place]
            deed = dice.choice(("move", "handoff", "setup", "setup", "lease"))
            if deed == "move":
                box = box // 8 * 8 + dice.randrange(8)
                recent[place] = (session, lesson, tenant, box)
        else:
            lesson, tenant, box = places.draw()
            session, deed = f"{prefix}-{number}-{dice.getrandbits(48):012x}", "setup"
            recent.append((session, lesson, tenant, box))
            if len(recent) > 200:
                recent.pop(dice.randrange(100))
        outcome = "plays"
        if deed == "setup" and dice.random() < (0.25 if box < 8 else 0.03):
            deed, outcome = "refused", dice.choice(("no box has room", "no box has room", "cold", "ration"))
        row_box = -1 if deed == "refused" else box
        rows.append(Row(moment, deed, session, lesson, row_box, tenant, version, outcome))
    return rows


@dataclass(slots=True)
class Kept:
    """One shard as it is kept: blocks of (first row's time, last row's, rows, their bytes, packed)."""

    name: str
    blocks: list[tuple[float, float, int, int, bytes]] = field(default_factory=list)


class Store:
    """All shards of all fronts, and what reading them gives and costs."""

    def __init__(self) -> None:
        self.shards: dict[str, list[Kept]] = {}

    def add(self, front: str, placed: Iterable[tuple[str, Row]]) -> None:
        """Rows in the order of time, each with its shard."""
        kept = self.shards.setdefault(front, [])
        block: list[Row] = []
        name = ""
        for shard, row in placed:
            if block and (shard != name or row.at // BLOCK_MS != block[0].at // BLOCK_MS):
                self._close(kept, name, block)
                block = []
            name = shard
            block.append(row)
        if block:
            self._close(kept, name, block)

    def _close(self, kept: list[Kept], name: str, block: list[Row]) -> None:
        if not kept or kept[-1].name != name:
            kept.append(Kept(name))
        size = sum(len(_ENCODE(row)) for row in block)
        kept[-1].blocks.append((block[0].at, block[-1].at, len(block), size, _ENCODE(block)))

    def read(self, query: Query, read: Read) -> Answered:
        """What the front of the plan, or a copy of its shards, answers."""
        planned, matches = read.planned, matcher(query)
        rows: list[Row] = []
        shards = touched = size = holding = answer = 0
        for kept in self._planned(read):
            shards += 1
            found = False
            for first, last, count, weight, packed in kept.blocks:
                if last < planned.since or first >= planned.until:
                    continue
                if touched + count > read.most.rows or size + weight > read.most.bytes:
                    if not rows and not touched:
                        return Answered((), shards, 0, 0, 0, 0, first)
                    return Answered(tuple(rows), shards, touched, size, holding + found, answer, first)
                touched += count
                size += weight
                for row in _ROWS(packed):
                    if planned.since <= row.at < planned.until and matches(row):
                        rows.append(row)
                        found = True
            holding += found
        answer = sum(len(_ENCODE(row)) for row in rows)
        return Answered(tuple(rows), shards, touched, size, holding, answer)

    def _planned(self, read: Read) -> list[Kept]:
        planned = read.planned
        kept = self.shards.get(planned.shard.front, [])
        if planned.shard.name:
            begin = next((n for n, one in enumerate(kept) if one.name == planned.shard.name), len(kept))
            chosen = kept[begin : begin + 1]
            if planned.tail:
                chosen += [one for one in kept[begin + 1 :] if one.blocks[0][0] < planned.until]
            return chosen
        return [
            one for one in kept if one.blocks[0][0] < planned.until and one.blocks[-1][1] >= planned.since
        ]


@dataclass(slots=True)
class Scene:
    """A load as it is when questions are asked: at `now` of our own clock, `end` of the rows' scale."""

    rows: Mapping[str, Sequence[Row]]
    store: Store
    catalogue: Catalogue
    now: float
    end: float
    summary_bytes: int

    @property
    def fronts(self) -> list[str]:
        return sorted(self.rows)


def scene(
    rows: Mapping[str, Sequence[Row]], catalogue: Catalogue, rules: ShardRules, stale_ms: float, seed: int
) -> Scene:
    """Every front publishes once, at a moment up to `stale_ms` before the end, and goes on."""
    dice = Random(f"scene/{seed}")
    end = max(rows[front][-1].at for front in rows if rows[front]) + 1.0
    store = Store()
    total, own = 0, 7_000_000.0  # our own clock isn't the scale of the rows
    for front in sorted(rows):
        summarizer = Summarizer(front, 1, rules, 0.0)
        cut = end - dice.uniform(0.0, stale_ms)
        placed: list[tuple[str, Row]] = []
        told = False
        for row in rows[front]:
            if not told and row.at >= cut:
                total += _publish(summarizer, catalogue, front, cut, own - (end - cut))
                told = True
            placed.append((summarizer.add(row.at, row, len(_ENCODE(row))), row))
        if not told:
            total += _publish(summarizer, catalogue, front, cut, own - (end - cut))
        store.add(front, placed)
    return Scene(rows, store, catalogue, own, end, total)


def _publish(summarizer: Summarizer, catalogue: Catalogue, front: str, at: float, heard: float) -> int:
    total = 0
    for summary in summarizer.summaries(at):
        data = encode(summary)
        total += len(data)
        if not catalogue.told(heard, front, 1, PREFIX + summary.shard.name, data):
            raise AssertionError(f"a summary of {front} was not believed")
    return total


_TEMPLATES: tuple[tuple[str, ...], ...] = (
    (), ("title",), ("title",), ("tenant",), ("box",), ("version",), ("session",), ("session",),
    ("deed", "outcome"), ("title", "tenant"), ("box", "title"), ("box", "deed"), ("tenant", "box"),
    ("version", "deed"), ("title", "outcome"), ("title", "box", "deed"), ("deed",), ("session", "deed"),
)  # fmt: skip


def drawn_query(scene: Scene, dice: Random) -> Query:
    """A question as people ask: about something that occurred, or nearly, over a span of any length."""
    front = dice.choice([front for front in scene.fronts if scene.rows[front]])
    anchor = scene.rows[front][dice.randrange(len(scene.rows[front]))]
    values = {name: getattr(anchor, name) for name in dice.choice(_TEMPLATES)}
    if "session" in values and dice.random() < 0.2:
        values["session"] += "x"  # nobody's
    fronts: tuple[str, ...] = ()
    if dice.random() < 0.25:
        fronts = tuple(dice.sample(scene.fronts, dice.randint(1, max(1, len(scene.fronts) // 3))))
    since, until = float("-inf"), float("inf")
    length = scene.end * 10 ** dice.uniform(-2.3, 0.0)
    kind = dice.random()
    if kind < 0.35:
        since = max(0.0, anchor.at - length * dice.random())
        until = since + length
    elif kind < 0.6:
        since = scene.end - length
        if dice.random() < 0.3:
            until = scene.end + 10_000.0
    return Query(ACTS, fronts, since, until, **values)
