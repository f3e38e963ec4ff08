"""Answers put together from what the shards said; free of I/O, clock and messages.

Every time is a span in which the moment lies, every comparison certain, possible or excluded. What is not
there is named: an answer with a gap is never shown as whole.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from math import inf

from fernweir.peers.acts.clock import Sure, When, agreed, both, exactly
from fernweir.peers.acts.messages import Row, Run, Value
from fernweir.peers.acts.plan import Question
from fernweir.peers.acts.shard import Shard
from fernweir.peers.acts.versions import Versions
from fernweir.peers.base import Event
from fernweir.peers.port import AuditEvent


class Why(StrEnum):
    """Why something of a shard is not in an answer."""

    UNREACHED = "unreached"  # neither its owner nor a copy answered
    LOST = "lost"  # blocks that nobody who answered has
    TAIL = "tail"  # a copy answered: what its owner did last may never have got there
    DROPPED = "dropped"  # too old to be kept
    BUDGET = "budget"
    DEADLINE = "deadline"
    TAMPERED = "tampered"  # the chain contradicts itself: what it says may be wrong


@dataclass(frozen=True, slots=True)
class Gap:
    """Blocks `first` to `last` of a shard (0: not known); `since`: on the asker's clock, if known."""

    owner: str
    life: int
    why: Why
    first: int = 0
    last: int = 0
    since: When | None = None


@dataclass(frozen=True, slots=True)
class Found:
    """One act. `sure`: whether it is what was asked for. `knew`: its front had heard that the box drains.

    `context` and `looked_from` are of a refusal: what the front had heard, newest first, and since when that
    is all (None: since it began).
    """

    owner: str
    life: int
    number: int
    row: int
    when: When
    deed: AuditEvent
    session: str
    title: str
    tenant: str
    box: int
    outcome: str
    versions: Versions
    sure: Sure = Sure.YES
    knew: bool = False
    context: tuple[Found, ...] = ()
    looked_from: When | None = None


@dataclass(frozen=True, slots=True)
class StillOn:
    """A front's use of a version: `at` the time asked for, or `later` than it. Spans in ms.

    `after_first`: how long it went on after the first other front left that version; `after_rest`: after the
    last act of any other on it, negative if another went on longer. An upper end may be infinite.
    """

    owner: str
    life: int
    first: When
    last: When
    at: Sure
    later: Sure
    after_first: tuple[float, float] | None
    after_rest: tuple[float, float] | None


@dataclass(frozen=True, slots=True)
class Said:
    """Who answered for a shard, of how many blocks, with how many acts or runs of acts; and its owner's wall
    clock, by its own word (ahead, ±)."""

    owner: str
    life: int
    by: tuple[str, ...]
    blocks: int
    rows: int
    wall: tuple[float, float]


@dataclass(slots=True)
class Answer:
    """`silent`: fronts that did not answer and may hold copies. `left_out`: shards that were not planned."""

    question: Question
    wall: float  # the asker's wall clock was that far ahead of its own
    rows: list[Found] = field(default_factory=list)
    stills: list[StillOn] = field(default_factory=list)
    drains: list[Found] = field(default_factory=list)
    heard: When | None = None  # when the first front heard of the drain
    gaps: list[Gap] = field(default_factory=list)
    silent: list[str] = field(default_factory=list)
    left_out: list[tuple[str, int]] = field(default_factory=list)
    shards: list[Said] = field(default_factory=list)
    took_ms: float = 0.0
    bytes: int = 0  # about what came for it

    @property
    def whole(self) -> bool:
        return not self.gaps and not self.silent


@dataclass(frozen=True, slots=True)
class Answered(Event):
    id: int
    answer: Answer


Own = Callable[[str, int, float], When]  # a front's time on one's own clock


def when_of(shard: Shard, at: float, own: Own) -> When:
    """A time of the shard's clock: by one's own exchanges with its owner, and through those of holders."""
    spans = [own(shard.owner, shard.life, at)]
    for holder, (life, relation) in shard.through.items():
        there = relation.own(at)
        if there.earliest > -inf:
            low, high = own(holder, life, there.earliest), own(holder, life, there.latest)
            spans.append(When(low.earliest, high.latest))
    return agreed(spans)


def found(shard: Shard, row: Row, versions: Sequence[Versions], own: Own) -> Found:
    context = tuple(found(shard, one, versions, own) for one in row.context)
    looked = when_of(shard, row.looked_from, own) if row.looked_from is not None else None
    return Found(
        shard.owner, shard.life, row.number, row.row, when_of(shard, row.at, own), row.deed, row.session,
        row.title, row.tenant, row.box, row.outcome, versions[row.versions], context=context,
        looked_from=looked,
    )  # fmt: skip


def within(when: When, since: float | None, until: float | None) -> Sure:
    sure = exactly(since).not_after(when) if since is not None else Sure.YES
    return both(sure, when.not_after(exactly(until))) if until is not None else sure


def earliest(moments: Sequence[When]) -> When | None:
    """When the first of them was."""
    if not moments:
        return None
    return When(min(one.earliest for one in moments), min(one.latest for one in moments))


def runs_of(shard: Shard) -> list[Run]:
    """In order; runs on one value that pieces had cut are one again."""
    joined: list[Run] = []
    for run in sorted(shard.runs, key=lambda one: one.number):
        if joined and joined[-1].value == run.value:
            before = joined[-1]
            joined[-1] = Run(run.value, before.first, run.last, before.count + run.count, before.number)
        else:
            joined.append(run)
    return joined


@dataclass(slots=True)
class _Use:
    shard: Shard
    spans: list[tuple[When, When]]
    left: When | None  # its first act on something else afterwards


def stills(
    shards: Sequence[Shard], value: Value, at: float, own: Own, partial: set[tuple[str, int]]
) -> list[StillOn]:
    """Of each shard that ever acted on a value; `partial`: shards of which something is missing."""
    uses: list[_Use] = []
    for shard in shards:
        runs = runs_of(shard)
        mine = [index for index, run in enumerate(runs) if run.value == value]
        if mine:
            spans = [(when_of(shard, runs[at].first, own), when_of(shard, runs[at].last, own)) for at in mine]
            after = runs[mine[-1] + 1 :]
            uses.append(_Use(shard, spans, when_of(shard, after[0].first, own) if after else None))
    return [_still(use, [one for one in uses if one is not use], at, partial) for use in uses]


def _still(use: _Use, others: Sequence[_Use], at: float, partial: set[tuple[str, int]]) -> StillOn:
    shard, moment = use.shard, exactly(at)
    holes = (shard.owner, shard.life) in partial
    last = use.spans[-1][1]
    here = [both(first.not_after(moment), moment.not_after(end)) for first, end in use.spans]
    sure = Sure.YES if Sure.YES in here else Sure.MAYBE if Sure.MAYBE in here else Sure.NO
    later = moment.not_after(last)
    if holes:  # what is missing may be on another version, or on this one for longer
        sure = Sure.MAYBE
        later = Sure.MAYBE if later is Sure.NO else later
    lefts = earliest([one.left for one in others if one.left is not None])
    rest = [one.spans[-1][1] for one in others]
    after_first = after_rest = None
    if lefts is not None:
        high = inf if partial else max(0.0, last.latest - lefts.earliest)
        after_first = max(0.0, last.earliest - lefts.latest), high
    if rest:
        high = inf if holes else last.latest - max(one.earliest for one in rest)
        low = (
            -inf if partial - {(shard.owner, shard.life)} else last.earliest - max(one.latest for one in rest)
        )
        after_rest = low, high
    return StillOn(shard.owner, shard.life, use.spans[0][0], last, sure, later, after_first, after_rest)
