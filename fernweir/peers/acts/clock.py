"""How the clocks of two fronts relate, and times that carry how uncertain they are.

An exchange proves that when the other's clock showed a time, one's own stood between two (Cristian 1989; the
on-wire part of NTP, Mills 1991). With the drift of two clocks bounded, each exchange says something of any
other moment, the less the farther off; what all say together is their intersection (Marzullo 1984). Samples
that contradict one another mean that a clock broke its promise: then nothing narrower than all of them holds.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from math import inf, isfinite
from random import Random
from typing import NamedTuple

from fernweir.peers.acts.block import TICK_MS
from fernweir.peers.acts.messages import Ping, Pong
from fernweir.peers.acts.rules import ActRules
from fernweir.peers.base import Effect, Message, Outbox, Send

_NEAR = 2  # samples on each side that are asked for a moment
_FIRST_MS = 200.0  # the first exchanges with a peer follow one another at this pace
_FIRST = 3
_LIVES = 4


class Sure(Enum):
    """Whether something holds, as far as clocks can tell."""

    YES = "yes"
    MAYBE = "maybe"
    NO = "no"


@dataclass(frozen=True, slots=True)
class When:
    """A moment that lies somewhere from `earliest` to `latest`, ms of one's own clock."""

    earliest: float
    latest: float

    def not_after(self, other: When) -> Sure:
        if self.latest <= other.earliest:
            return Sure.YES
        return Sure.MAYBE if self.earliest <= other.latest else Sure.NO

    def shifted(self, ms: float) -> When:
        return When(self.earliest + ms, self.latest + ms)


UNKNOWN = When(-inf, inf)


def exactly(at: float) -> When:
    return When(at, at)


def both(one: Sure, other: Sure) -> Sure:
    if Sure.NO in (one, other):
        return Sure.NO
    return Sure.MAYBE if Sure.MAYBE in (one, other) else Sure.YES


class Sample(NamedTuple):
    """When the other's clock showed `theirs`, one's own stood between `low` and `high`."""

    theirs: float
    low: float
    high: float


def sample(sent: float, their_heard: float, their_answered: float, got: float, drift: float) -> Sample | None:
    """Of one round trip; None if its times can't be of one, whatever the clocks."""
    held = their_answered - their_heard
    if held < 0 or not all(map(isfinite, (sent, their_heard, their_answered, got))):
        return None
    low = sent + held * (1 - drift)
    return Sample(their_answered, low, got) if low <= got else None


class Relation:
    """Samples with one life of one front, in the order of its clock; the older ones get sparser."""

    __slots__ = ("_drift", "_most", "samples")

    def __init__(self, drift: float, most: int, samples: Iterable[Sample] = ()) -> None:
        self._drift, self._most = drift, most
        self.samples: list[Sample] = sorted(samples)

    def add(self, one: Sample) -> None:
        insort(self.samples, one)
        if len(self.samples) > self._most:
            half = len(self.samples) // 2
            self.samples = self.samples[:half:2] + self.samples[half:]

    def own(self, theirs: float) -> When:
        """Their time on one's own clock."""
        at = bisect_left(self.samples, (theirs, -inf, -inf))
        spans = []
        for one in self.samples[max(0, at - _NEAR) : at + _NEAR]:
            away = theirs - one.theirs
            slack = abs(away) * self._drift + TICK_MS
            spans.append(When(one.low + away - slack, one.high + away + slack))
        return agreed(spans)

    def theirs(self, own: When) -> When:
        """One's own time on their clock."""
        spans = []
        for one in self.samples:
            away = max(abs(own.earliest - one.high), abs(own.latest - one.low))
            slack = away * self._drift / (1 - self._drift) + TICK_MS
            low, high = own.earliest - one.high - slack, own.latest - one.low + slack
            spans.append(When(one.theirs + low, one.theirs + high))
        return agreed(spans)

    def some(self, most: int) -> list[Sample]:
        """Few of the samples, spread over all."""
        if len(self.samples) <= most:
            return list(self.samples)
        step = (len(self.samples) - 1) / (most - 1)
        return [self.samples[round(index * step)] for index in range(most)]


def agreed(spans: Sequence[When]) -> When:
    """What all say together; all that any says where they contradict one another."""
    if not spans:
        return UNKNOWN
    low, high = max(one.earliest for one in spans), min(one.latest for one in spans)
    if low <= high:
        return When(low, high)
    return When(min(one.earliest for one in spans), max(one.latest for one in spans))


@dataclass(slots=True)
class _Peer:
    life: int
    due: float
    exchanges: int = 0
    sent: float | None = None


class Clocks:
    """Exchanges times with peers, a few at once, and keeps what it learnt of each life of each."""

    def __init__(self, me: str, life: int, rules: ActRules, seed: int) -> None:
        self.me, self.life, self.rules = me, life, rules
        self.refused = 0
        self._dice = Random(seed)
        self._peers: dict[str, _Peer] = {}
        self._relations: dict[str, dict[int, Relation]] = {}
        self._next = -inf
        self._out = Outbox()

    def peers(self, now: float, lives: Mapping[str, int]) -> None:
        """With whom to exchange; what was learnt of others is kept, as their record may be asked for."""
        for name in [name for name in self._peers if name not in lives]:
            del self._peers[name]
        for name, life in lives.items():
            known = self._peers.get(name)
            if name != self.me and (known is None or known.life != life):
                self._peers[name] = _Peer(life, now + self._dice.random() * _FIRST_MS)

    def relation(self, name: str, life: int) -> Relation | None:
        return self._relations.get(name, {}).get(life)

    def own(self, name: str, life: int, at: float) -> When:
        """A time of a front's clock on one's own."""
        if (name, life) == (self.me, self.life):
            return When(at - TICK_MS, at + TICK_MS)
        known = self.relation(name, life)
        return known.own(at) if known is not None else UNKNOWN

    def theirs(self, name: str, life: int, own: When) -> When:
        if (name, life) == (self.me, self.life):
            return When(own.earliest - TICK_MS, own.latest + TICK_MS)
        known = self.relation(name, life)
        return known.theirs(own) if known is not None else UNKNOWN

    def on_message(self, now: float, sender: str, message: Message) -> None:
        if isinstance(message, Ping):
            if isfinite(message.sent):
                self._out.add(Send(sender, Pong(message.sent, now, now, self.life)))
        elif isinstance(message, Pong):
            self._answered(now, sender, message)

    def _answered(self, now: float, sender: str, pong: Pong) -> None:
        peer = self._peers.get(sender)
        if peer is None or peer.sent is None or pong.sent != peer.sent or pong.life != peer.life:
            self.refused += 1
            return
        peer.sent = None
        learnt = sample(pong.sent, pong.heard, pong.answered, now, self.rules.drift)
        if learnt is None:
            self.refused += 1
            return
        peer.exchanges += 1
        lives = self._relations.setdefault(sender, {})
        if pong.life not in lives:
            lives[pong.life] = Relation(self.rules.drift, self.rules.samples)
            if len(lives) > _LIVES:
                del lives[min(lives)]
            self._bound()
        lives[pong.life].add(learnt)

    def _bound(self) -> None:
        """Fronts long gone make room."""
        gone = [name for name in self._relations if name not in self._peers]
        for name in gone[: max(0, len(self._relations) - self.rules.owners)]:
            del self._relations[name]

    def tick(self, now: float) -> None:
        if now < self._next:
            return
        due = min(self._peers.items(), key=lambda one: (one[1].due, one[0]), default=None)
        if due is None or due[1].due > now:
            return
        name, peer = due
        peer.sent = now
        wait = _FIRST_MS if peer.exchanges < _FIRST else self.rules.exchange_ms
        peer.due = now + wait * (0.9 + 0.2 * self._dice.random())
        self._next = now + self.rules.exchange_least_ms
        self._out.add(Send(name, Ping(now)))

    def next_deadline(self) -> float | None:
        due = min((peer.due for peer in self._peers.values()), default=None)
        return max(due, self._next) if due is not None else None

    def take_effects(self) -> list[Effect]:
        return self._out.take_effects()
