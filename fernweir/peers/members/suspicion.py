"""Suspicions and how long they last: the shorter, the more fronts confirm them by probes of their own.

Suspicion before death is SWIM's (Das, Gupta, Motivala 2002); the timeout that falls with the logarithm of
the independent confirmations is Lifeguard's (Dadgar, Phillips, Currey 2018).
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from fernweir.peers.members.rules import MemberRules


def bounds(rules: MemberRules, fleet: int) -> tuple[float, float]:
    """The shortest and longest time, ms, that a suspicion lasts among this many fronts."""
    least = rules.suspicion_least * rules.period * max(2.0, math.log10(max(fleet, 1)))
    return least, least * rules.suspicion_most


def lasts(least: float, most: float, confirmed: int, expected: int) -> float:
    """`confirmed` counts accusers beyond the first; with as many as `expected` it lasts `least`."""
    if expected < 1:
        return least
    part = math.log(confirmed + 1) / math.log(expected + 1)
    return max(least, most - (most - least) * part)


@dataclass(slots=True)
class Suspicion:
    """Of one incarnation of a member. `looked`: the last probe before it is declared dead has begun."""

    since: float
    least: float
    most: float
    expected: int
    accusers: set[str] = field(default_factory=set)
    looked: bool = False

    @property
    def until(self) -> float:
        confirmed = max(len(self.accusers) - 1, 0)
        return self.since + lasts(self.least, self.most, confirmed, self.expected)


class Suspicions:
    """All that run at a front, by name; bounded by the table."""

    __slots__ = ("_all", "_due", "_rules")

    def __init__(self, rules: MemberRules) -> None:
        self._rules = rules
        self._all: dict[str, Suspicion] = {}
        self._due: float | None = math.inf  # None: to be counted anew

    def begin(self, now: float, name: str, by: str, fleet: int) -> None:
        """A suspicion of a new incarnation; an older one of that name ends."""
        least, most = bounds(self._rules, fleet)
        expected = min(self._rules.confirmations, fleet - 2)
        self._all[name] = Suspicion(now, least, most, expected, {by})
        self._due = None

    def confirm(self, name: str, by: str) -> bool:
        """False if this accuser is known, or enough are."""
        suspicion = self._all.get(name)
        if suspicion is None or by in suspicion.accusers or len(suspicion.accusers) > suspicion.expected:
            return False
        suspicion.accusers.add(by)
        self._due = None
        return True

    def ripe(self, now: float, name: str) -> bool:
        """Whether it has run for half of its shortest time: another's word that it ended is believed then."""
        suspicion = self._all.get(name)
        return suspicion is not None and now - suspicion.since >= suspicion.least / 2

    def end(self, name: str) -> None:
        if self._all.pop(name, None) is not None:
            self._due = None

    def again(self, now: float, name: str | None = None) -> None:
        """Counted anew from now with the first accuser's weight: the suspect answered, or we stood still."""
        for each in [name] if name is not None else list(self._all):
            if (suspicion := self._all.get(each)) is not None:
                suspicion.since, suspicion.looked = now, False
                suspicion.accusers = set(sorted(suspicion.accusers)[:1])
        self._due = None

    def due(self, look: float) -> float:
        """When one is to be looked at: `look` ms before its end for the last probe, then at its end."""
        if self._due is None:
            self._due = min(
                (s.until - (0.0 if s.looked else look) for s in self._all.values()), default=math.inf
            )
        return self._due

    def to_look(self, now: float, look: float) -> list[str]:
        """Those whose last probe is to begin; each is named once."""
        names = [name for name, s in self._all.items() if not s.looked and s.until - look <= now]
        for name in names:
            suspicion = self._all[name]
            suspicion.looked = True
            suspicion.least = max(suspicion.least, now + look - suspicion.since)
        if names:
            self._due = None
        return names

    def over(self, now: float) -> list[str]:
        """Those that lasted to their end."""
        return [name for name, s in self._all.items() if s.looked and s.until <= now]
