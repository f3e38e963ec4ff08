"""Suspicions and their timeouts, which are shorter the more fronts confirm them by their own probes.

Suspicion before death is from SWIM (Das, Gupta, Motivala 2002). The timeout that decreases with the logarithm
of the independent confirmations is from Lifeguard (Dadgar, Phillips, Currey 2018).
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from fernweir.peers.members.rules import MemberRules


def timeout_bounds_ms(rules: MemberRules, fleet: int) -> tuple[float, float]:
    """Returns the shortest and longest timeout of a suspicion in a fleet of this many fronts."""
    min_ms = rules.suspicion_min_periods * rules.period_ms * max(2.0, math.log10(max(fleet, 1)))
    return min_ms, min_ms * rules.suspicion_max_ratio


def timeout_ms(min_ms: float, max_ms: float, confirmed: int, expected: int) -> float:
    """Returns the timeout with `confirmed` accusers beyond the first; `min_ms` with `expected` of them."""
    if expected < 1:
        return min_ms
    share = math.log(confirmed + 1) / math.log(expected + 1)
    return max(min_ms, max_ms - (max_ms - min_ms) * share)


@dataclass(slots=True)
class Suspicion:
    """The suspicion of one incarnation of a member."""

    since: float
    min_ms: float
    max_ms: float
    expected: int
    accusers: set[str] = field(default_factory=set)
    is_last_probe_started: bool = False

    @property
    def until(self) -> float:
        confirmed = max(len(self.accusers) - 1, 0)
        return self.since + timeout_ms(self.min_ms, self.max_ms, confirmed, self.expected)


class Suspicions:
    """The suspicions of a front by name, bounded by the size of the table."""

    __slots__ = ("_by_name", "_deadline", "_rules")

    def __init__(self, rules: MemberRules) -> None:
        self._rules = rules
        self._by_name: dict[str, Suspicion] = {}
        self._deadline: float | None = math.inf  # None: to be computed again

    def add(self, now: float, name: str, accuser: str, fleet: int) -> None:
        """Adds a suspicion of a new incarnation, which replaces an older one of that name."""
        min_ms, max_ms = timeout_bounds_ms(self._rules, fleet)
        expected = min(self._rules.confirmations, fleet - 2)
        self._by_name[name] = Suspicion(now, min_ms, max_ms, expected, {accuser})
        self._deadline = None

    def confirm(self, name: str, accuser: str) -> bool:
        """Adds an accuser. Returns False if it is known or there are enough accusers."""
        suspicion = self._by_name.get(name)
        if suspicion is None or accuser in suspicion.accusers or len(suspicion.accusers) > suspicion.expected:
            return False
        suspicion.accusers.add(accuser)
        self._deadline = None
        return True

    def has_run_half(self, now: float, name: str) -> bool:
        """Whether half of the shortest timeout has passed, so that a death declared by others is accepted."""
        suspicion = self._by_name.get(name)
        return suspicion is not None and now - suspicion.since >= suspicion.min_ms / 2

    def remove(self, name: str) -> None:
        if self._by_name.pop(name, None) is not None:
            self._deadline = None

    def restart(self, now: float, name: str | None = None) -> None:
        """Restarts suspicions with one accuser: the suspect answered, or this process was suspended."""
        for each in [name] if name is not None else list(self._by_name):
            if (suspicion := self._by_name.get(each)) is not None:
                suspicion.since, suspicion.is_last_probe_started = now, False
                suspicion.accusers = set(sorted(suspicion.accusers)[:1])
        self._deadline = None

    def next_deadline(self, probe_ms: float) -> float:
        """Returns when a suspicion needs its last probe, `probe_ms` before its end, or ends."""
        if self._deadline is None:
            self._deadline = min(
                (s.until - (0.0 if s.is_last_probe_started else probe_ms) for s in self._by_name.values()),
                default=math.inf,
            )
        return self._deadline

    def start_last_probes(self, now: float, probe_ms: float) -> list[str]:
        """Returns the names whose last probe has to start now, each once."""
        names = [
            name
            for name, s in self._by_name.items()
            if not s.is_last_probe_started and s.until - probe_ms <= now
        ]
        for name in names:
            suspicion = self._by_name[name]
            suspicion.is_last_probe_started = True
            suspicion.min_ms = max(suspicion.min_ms, now + probe_ms - suspicion.since)
        if names:
            self._deadline = None
        return names

    def expired(self, now: float) -> list[str]:
        """Returns the names whose suspicion timed out after the last probe."""
        return [name for name, s in self._by_name.items() if s.is_last_probe_started and s.until <= now]
