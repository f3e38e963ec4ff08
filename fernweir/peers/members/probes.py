"""Probes in flight, and probes on behalf of others: the times of attempts, and the accepted answers.

A probe is a ping and three more at intervals of `timeout_ms`, each with requests to some helpers to ping as
well; it ends with its period. At 20% loss about one probe in 8,000 of a living member fails. Indirect probes
are from SWIM (Das, Gupta, Motivala 2002), the "nack" of helpers is from Lifeguard (Dadgar, Phillips, Currey
2018).
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from random import Random

from fernweir.peers.base import Address
from fernweir.peers.members.messages import Record
from fernweir.peers.members.rules import MemberRules

MAX_ATTEMPTS = 4
MAX_PROBES = 256
MAX_RELAYS = 256


@dataclass(slots=True)
class Probe:
    """A probe of one life of a member. `is_last`: the one before it is declared dead, without helpers."""

    record: Record
    started_at: float
    timeout: float
    until: float
    is_last: bool
    attempts: int = 0
    next_at: float = 0.0
    helpers: list[str] = field(default_factory=list)
    nacks: set[str] = field(default_factory=set)

    def count_attempt(self) -> None:
        self.attempts += 1
        self.next_at = (
            self.started_at + self.attempts * self.timeout if self.attempts < MAX_ATTEMPTS else self.until
        )

    @property
    def silent_helpers(self) -> int:
        """The number of helpers that sent neither an answer nor a `Nack`."""
        return len(self.helpers) - len(self.nacks)


@dataclass(slots=True)
class Relay:
    """A probe on behalf of another front, to which the answer goes with its number `seq`."""

    name: str
    to: Address
    seq: int
    nack_at: float
    until: float
    nacked: bool = False


class Probes:
    """The probes of a front in flight, by number."""

    __slots__ = ("_in_flight", "_relays", "_rules", "_seq")

    def __init__(self, rules: MemberRules, rng: Random) -> None:
        self._rules = rules
        self._seq = rng.getrandbits(40)  # random, so that answers to an earlier process do not match
        self._in_flight: dict[int, Probe] = {}
        self._relays: dict[int, Relay] = {}

    def next_seq(self) -> int:
        self._seq += 1
        return self._seq

    def begin(self, now: float, record: Record, factor: float, is_last: bool = False) -> None:
        """Adds a probe that is due at once, unless too many are in flight."""
        if len(self._in_flight) >= MAX_PROBES:
            return
        timeout = self._rules.timeout_ms * factor
        duration_ms = (
            MAX_ATTEMPTS * timeout if is_last else max(self._rules.period_ms * factor, MAX_ATTEMPTS * timeout)
        )
        self._in_flight[self.next_seq()] = Probe(
            record, now, timeout, now + duration_ms, is_last, next_at=now
        )

    def due_probes(self, now: float) -> list[tuple[int, Probe]]:
        """Returns the probes that are due for an attempt or have failed; removes the failed ones."""
        due_probes = [(seq, probe) for seq, probe in self._in_flight.items() if probe.next_at <= now]
        for seq, probe in due_probes:
            if probe.attempts == MAX_ATTEMPTS:
                del self._in_flight[seq]
        return due_probes

    def on_answer(self, seq: int, sender: str, life: int) -> Probe | None:
        """Ends and returns the probe with this number if the member or one of its helpers answered it."""
        probe = self._in_flight.get(seq)
        if probe is None or life < probe.record.life or sender not in (probe.record.name, *probe.helpers):
            return None
        return self._in_flight.pop(seq)

    def on_nack(self, seq: int, sender: str) -> None:
        probe = self._in_flight.get(seq)
        if probe is not None and sender in probe.helpers:
            probe.nacks.add(sender)

    def is_probing(self, name: str) -> bool:
        return any(probe.record.name == name for probe in self._in_flight.values())

    def relay(self, now: float, name: str, to: Address, seq: int) -> int | None:
        """Adds a probe on behalf of another front. Returns its number, or None if there are too many."""
        if len(self._relays) >= MAX_RELAYS:
            return None
        own = self.next_seq()
        nack_at = now + 0.8 * self._rules.timeout_ms
        self._relays[own] = Relay(name, to, seq, nack_at, now + 2 * self._rules.period_ms)
        return own

    def on_relay_answer(self, seq: int, sender: str) -> Relay | None:
        relay = self._relays.get(seq)
        if relay is None or relay.name != sender:
            return None
        return self._relays.pop(seq)

    def due_nacks(self, now: float) -> list[Relay]:
        """Returns the relays for which a `Nack` is due; removes those that have ended."""
        due_relays = []
        for seq, relay in list(self._relays.items()):
            if relay.until <= now:
                del self._relays[seq]
            elif not relay.nacked and relay.nack_at <= now:
                relay.nacked = True
                due_relays.append(relay)
        return due_relays

    def next_deadline(self) -> float:
        times = [probe.next_at for probe in self._in_flight.values()]
        times += [relay.until if relay.nacked else relay.nack_at for relay in self._relays.values()]
        return min(times, default=math.inf)

    def clear(self) -> None:
        """Discards everything in flight, because this process was suspended."""
        self._in_flight.clear()
        self._relays.clear()
