"""What a flood of datagrams may cost: past so many bad ones a second, strangers are dropped unlooked at.

Who is no stranger is known by where good datagrams came from lately. That is a guess, as a source can be
forged: it only says whose seals are still looked at, and each such source has its own number a second.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class GateRules:
    max_refused_per_s: int = 2_000  # a second over all, before strangers are dropped
    max_refused_per_source_s: int = 200  # a second from one known source, before it is a stranger
    max_known_sources: int = 4_096


class Gate:
    """`now` is ms."""

    __slots__ = ("_known", "_refused_count", "_second", "rules")

    def __init__(self, rules: GateRules | None = None) -> None:
        self.rules = rules or GateRules()
        self._second, self._refused_count = 0, 0
        self._known: dict[Hashable, tuple[int, int]] = {}  # second and bad ones in it; last heard last

    def admits(self, now: float, source: Hashable) -> bool:
        """Whether a datagram's seal is worth looking at."""
        return not self.is_flooded(now) or source in self._known

    def is_flooded(self, now: float) -> bool:
        """Whether as many bad ones came in this second as are looked at."""
        self._advance_second(now)
        return self._refused_count >= self.rules.max_refused_per_s

    def on_authenticated(self, source: Hashable) -> None:
        """A datagram from there was authenticated."""
        self._known[source] = self._known.pop(source, (0, 0))
        if len(self._known) > self.rules.max_known_sources:
            del self._known[next(iter(self._known))]

    def on_refused(self, now: float, source: Hashable) -> None:
        self._advance_second(now)
        self._refused_count += 1
        if source in self._known:
            second, refused = self._known[source]
            refused = refused + 1 if second == self._second else 1
            self._known[source] = (self._second, refused)
            if refused > self.rules.max_refused_per_source_s:
                del self._known[source]

    def _advance_second(self, now: float) -> None:
        second = int(now // 1000.0)
        if second != self._second:
            self._second, self._refused_count = second, 0
