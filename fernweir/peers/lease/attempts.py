"""A channel that a holder wants, and its attempt: a ballot promised, then a fence granted by a majority."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from random import Random

from fernweir.peers.lease.messages import No
from fernweir.peers.lease.rules import KeeperSet, LeaseRules, decided, everyone, hopeless

_BALLOT_MOST = 2**62


@dataclass(slots=True)
class Attempt:
    """One ballot; ms of the holder's clock. `fence` is 0 until a majority promised at `asked_at`."""

    ballot: int
    ends_at: float
    again_at: float
    told: dict[str, int] = field(default_factory=dict)
    fence: int = 0
    asked_at: float = 0.0
    granted: set[str] = field(default_factory=set)
    noes: dict[str, No] = field(default_factory=dict)

    def mint(self, now: float, sets: Sequence[KeeperSet], floor: int) -> bool:
        """With a majority's promises: the fence is above all that any of them knows, and the floor."""
        if self.fence or not decided(sets, self.told):
            return False
        self.fence = max(floor, *self.told.values()) + 1
        self.asked_at = now
        return True

    def may_ask(self, keeper: str) -> bool:
        """Whether this keeper promised and would grant the fence that was chosen."""
        return self.fence > self.told.get(keeper, self.fence)

    def won(self, sets: Sequence[KeeperSet]) -> bool:
        return bool(self.fence) and decided(sets, self.granted)

    def failed(self, now: float, sets: Sequence[KeeperSet]) -> bool:
        return now >= self.ends_at or hopeless(sets, self.noes.keys() - self.granted)


@dataclass(slots=True)
class Want:
    """A channel asked for until it is got or given up. `taken`: who has it, as last told."""

    floor: int
    due: float
    ballot: int = 0
    tries: int = 0
    attempt: Attempt | None = None
    taken: tuple[str, int] = ("", 0)

    def begin(self, now: float, rules: LeaseRules) -> Attempt:
        self.ballot += 1
        self.attempt = Attempt(self.ballot, now + rules.attempt_ms, now + rules.again_ms)
        return self.attempt

    def leap(self, seen: int) -> None:
        """Above a ballot that a keeper promised to another."""
        self.ballot = max(self.ballot, min(seen, _BALLOT_MOST))

    def rest(self, now: float, pause: float) -> None:
        self.attempt = None
        self.due = now + pause


def pause_after(
    noes: Mapping[str, No], sets: Sequence[KeeperSet], rules: LeaseRules, tries: int, dice: Random
) -> float:
    """How long to wait, in ms, after an attempt that failed `tries` times in a row.

    If it is held or waits for another: until so many locks have lapsed, by the slowest of clocks, that a
    majority is free, but not above the longest pause, since it may be released. Else a drawn pause that
    grows, so that two who want the same don't go on disturbing one another.
    """
    locked = {name: no.left_ms for name, no in noes.items() if no.why in ("taken", "waits")}
    if locked:
        free = set(everyone(sets)) - locked.keys()
        for name, left in sorted(locked.items(), key=lambda each: each[1]):
            free.add(name)
            if decided(sets, free):
                wait = min(left * (1 + rules.drift) / (1 - rules.drift), rules.pause_most_ms)
                return wait + dice.uniform(1.0, rules.pause_ms / 4)
    most = min(rules.pause_ms * 2 ** min(tries, 16), rules.pause_most_ms)
    return dice.uniform(rules.pause_ms / 2, most)
