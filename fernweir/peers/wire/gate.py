"""Limits the cost of a datagram flood.

Above a rate of bad datagrams, those from unknown sources are dropped without checking their seals. A source
is known if authenticated datagrams came from it recently. This is only a guess, as a source address can be
forged, so it decides only whose seals are still checked, and each known source has its own limit.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class GateRules:
    max_refused_per_s: int = 2_000  # bad datagrams over all sources, before unknown sources are dropped
    max_refused_per_source_s: int = 200  # from one known source, before it counts as unknown
    max_known_sources: int = 4_096


class Gate:
    """Decides which datagrams are authenticated. `now` is in ms."""

    __slots__ = ("_known", "_refused_count", "_second", "rules")

    def __init__(self, rules: GateRules | None = None) -> None:
        self.rules = rules or GateRules()
        self._second, self._refused_count = 0, 0
        self._known: dict[
            Hashable, tuple[int, int]
        ] = {}  # last second with a bad datagram, their number in it; last authenticated source last

    def admits(self, now: float, source: Hashable) -> bool:
        """Returns whether the seal of a datagram should be checked."""
        return not self.is_flooded(now) or source in self._known

    def is_flooded(self, now: float) -> bool:
        """Returns whether the limit of bad datagrams in this second is reached."""
        self._advance_second(now)
        return self._refused_count >= self.rules.max_refused_per_s

    def on_authenticated(self, source: Hashable) -> None:
        """Records an authenticated datagram from a source."""
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
