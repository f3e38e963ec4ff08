"""Runs a question over the shards that were planned and no others, within a budget, by copies where it must.

Pure: it says what is to be read where, is told what came of it, and gives up what doesn't answer in time.
What peers answer is filtered again here; a second answer to the same read changes nothing.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import msgspec

from fernweir.peers.base import Effect, Event, Outbox
from fernweir.peers.estimate.bounds import Estimate, Planned
from fernweir.peers.estimate.feedback import Actual
from fernweir.peers.estimate.question import Row, matcher


@dataclass(frozen=True, slots=True)
class Spend:
    """Rows and bytes that may be read."""

    rows: float
    bytes: float


@dataclass(frozen=True, slots=True)
class RunRules:
    at_once: int = 16  # reads that are out at a time
    answer_ms: float = 2_000.0
    whole_ms: float = 15_000.0
    most_parts: int = 32  # in which one planned shard is read, as its answers are cut short
    margin: float = 1.25  # a read is given so many times its upper bound, if the budget has it


@dataclass(frozen=True, slots=True)
class Read(Event):
    """Read this at a front, its own or its copy of the planned shard's; touch no more than `most`."""

    number: int
    whom: str
    planned: Planned
    most: Spend


@dataclass(frozen=True, slots=True)
class Caught(Event):
    """A sealed shard, read whole at its own front, has other rows than its summary stated."""

    front: str


@dataclass(frozen=True, slots=True)
class Answered:
    """What a read gave: rows that are asked for, and what was touched for them.

    `holding`: shards with such a row. `answer`: bytes of the rows. `upto`: it was cut short by what it might
    touch, before the first row of that time; None if it was read to its end.
    """

    rows: tuple[Row, ...]
    shards: int
    touched: int
    bytes: int
    holding: int
    answer: int
    upto: float | None = None


@dataclass(frozen=True, slots=True)
class Result:
    """`unreached`: fronts of which something planned was not read; `by_copy`: read at others, maybe without
    their last moments. `stopped`: "budget", "time" or empty."""

    rows: tuple[tuple[str, Row], ...]
    actual: Actual
    unreached: tuple[str, ...]
    by_copy: tuple[str, ...]
    stopped: str


@dataclass(slots=True)
class _Out:
    planned: Planned
    whom: str
    most: Spend
    due: float
    tried: frozenset[str]
    parts: int  # read of it before


class Run:
    """One question on its way. `copies`: by front, who keeps copies of its shards, in the order to ask."""

    def __init__(
        self,
        estimate: Estimate,
        copies: Mapping[str, Sequence[str]],
        most: Spend,
        rules: RunRules,
        now: float,
    ) -> None:
        self._estimate = estimate
        self._matches = matcher(estimate.query)
        self._copies = copies
        self._left = most
        self._rules = rules
        self._end = now + rules.whole_ms
        self._waiting: deque[tuple[Planned, frozenset[str], int]] = deque(
            (planned, frozenset(), 0) for planned in estimate.plan
        )
        self._outs: dict[int, _Out] = {}
        self._number = 0
        self._gone: set[str] = set()
        self._rows: list[tuple[str, Row]] = []
        self._fronts: set[str] = set()
        self._by_copy: dict[str, None] = {}
        self._unreached: dict[str, None] = {}
        self._shards = self._touched = self._bytes = self._holding = self._answer = 0
        self._stopped = ""
        self._held = False
        self._effects = Outbox()
        self._go_on(now)

    # --- what happens ---

    def answered(self, now: float, number: int, answer: Answered) -> None:
        out = self._outs.pop(number, None)
        if out is None:
            return
        self._left = Spend(self._left.rows + out.most.rows, self._left.bytes + out.most.bytes)
        # No answer costs less than nothing, or has more rows than were touched.
        touched, size = max(answer.touched, len(answer.rows)), max(0, answer.bytes)
        self._left = Spend(self._left.rows - touched, self._left.bytes - size)
        front = out.planned.shard.front
        self._fronts.add(front)
        if out.whom != front:
            self._by_copy[front] = None
        self._rows += [(front, row) for row in answer.rows if self._matches(row)]
        self._shards += max(0, answer.shards)
        self._touched += touched
        self._bytes += size
        self._holding += max(0, answer.holding)
        self._answer += max(0, answer.answer)
        if answer.upto is not None:
            self._rest(out, answer.upto)
        elif self._differs(out, answer):
            self._effects.add(Caught(front))
        self._go_on(now)

    def failed(self, now: float, number: int) -> None:
        """A read that will not be answered: the next who has a copy is asked."""
        out = self._outs.pop(number, None)
        if out is not None:
            self._elsewhere(out)
            self._go_on(now)

    def gone(self, now: float, front: str) -> None:
        """A front is dead: nothing more is asked of it, and what it was asked is asked elsewhere."""
        self._gone.add(front)
        for number in [number for number, out in self._outs.items() if out.whom == front]:
            self.failed(now, number)

    def hold(self, now: float, held: bool) -> None:
        """Viewers press: nothing new is read until it ends. What is out goes on."""
        self._held = held
        self._go_on(now)

    def tick(self, now: float) -> None:
        if now >= self._end and not self.done:
            self._stop("time")
        for number in [number for number, out in self._outs.items() if now >= out.due]:
            self.failed(now, number)

    def next_deadline(self) -> float | None:
        return None if self.done else min((self._end, *(out.due for out in self._outs.values())))

    def take_effects(self) -> list[Effect]:
        return self._effects.take_effects()

    @property
    def done(self) -> bool:
        return not self._outs and not self._waiting

    def result(self) -> Result:
        return Result(
            tuple(self._rows),
            Actual(
                len(self._fronts),
                self._shards,
                self._touched,
                self._bytes,
                self._holding,
                len(self._rows),
                self._answer,
                whole=self.done and not self._unreached,
            ),
            tuple(self._unreached),
            tuple(self._by_copy),
            self._stopped,
        )

    # --- how it goes on ---

    def _go_on(self, now: float) -> None:
        while self._waiting and len(self._outs) < self._rules.at_once and not self._held:
            if self._left.rows < 1 or self._left.bytes < 1:
                if self._outs:  # what these leave over may do for the rest
                    return
                self._stop("budget")
                return
            planned, tried, parts = self._waiting.popleft()
            front = planned.shard.front
            holders = [front, *self._copies.get(front, ())]
            whom = next((name for name in holders if name not in tried and name not in self._gone), None)
            if whom is None:
                self._unreached[front] = None
                continue
            most = Spend(
                min(self._left.rows, max(1.0, planned.rows.high * self._rules.margin)),
                min(self._left.bytes, max(1.0, planned.size.high * self._rules.margin)),
            )
            self._left = Spend(self._left.rows - most.rows, self._left.bytes - most.bytes)
            self._number += 1
            due = now + self._rules.answer_ms
            self._outs[self._number] = _Out(planned, whom, most, due, tried | {whom}, parts)
            self._effects.add(Read(self._number, whom, planned, most))

    def _rest(self, out: _Out, upto: float) -> None:
        """A read that was cut short goes on from there; one that came no further never will."""
        if not out.planned.since < upto < out.planned.until or out.parts >= self._rules.most_parts:
            self._unreached[out.planned.shard.front] = None
            return
        self._waiting.append(
            (msgspec.structs.replace(out.planned, since=upto), out.tried - {out.whom}, out.parts + 1)
        )

    def _elsewhere(self, out: _Out) -> None:
        self._left = Spend(self._left.rows + out.most.rows, self._left.bytes + out.most.bytes)
        self._waiting.appendleft((out.planned, out.tried, out.parts))

    def _differs(self, out: _Out, answer: Answered) -> bool:
        planned = out.planned
        read_whole = planned.since <= planned.shard.since and planned.shard.until < planned.until
        own = out.whom == planned.shard.front
        return planned.stated >= 0 and read_whole and own and answer.touched != planned.stated

    def _stop(self, why: str) -> None:
        self._stopped = why
        for planned in [out.planned for out in self._outs.values()] + [one for one, _, _ in self._waiting]:
            self._unreached[planned.shard.front] = None
        self._outs.clear()
        self._waiting.clear()
