"""Probes in flight, and those passed on for others: when each is tried again, and whose answers count.

A probe is a ping, then three more at `timeout`, each with some helpers asked to ping as well; it ends with
its period. At 20% loss about one probe in 8,000 of a living member fails. Indirect probes are SWIM's (Das,
Gupta, Motivala 2002), the helpers' "nack" is Lifeguard's (Dadgar, Phillips, Currey 2018).
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from random import Random

from fernweir.peers.base import Address
from fernweir.peers.members.messages import Record
from fernweir.peers.members.rules import MemberRules

TRIES = 4
IN_FLIGHT = 256
RELAYS = 256


@dataclass(slots=True)
class Probe:
    """Of one life of a member. `look`: the last one before it is declared dead, without helpers."""

    record: Record
    began: float
    timeout: float
    until: float
    look: bool
    tries: int = 0
    next_at: float = 0.0
    asked: list[str] = field(default_factory=list)
    nacks: set[str] = field(default_factory=set)

    def tried(self) -> None:
        self.tries += 1
        self.next_at = self.began + self.tries * self.timeout if self.tries < TRIES else self.until

    @property
    def silent_helpers(self) -> int:
        """Helpers who neither passed on an answer nor said that there was none."""
        return len(self.asked) - len(self.nacks)


@dataclass(slots=True)
class Relay:
    """A probe on behalf of another front: to whom its answer goes, under which number of theirs."""

    name: str
    to: Address
    seq: int
    nack_at: float
    until: float
    nacked: bool = False


class Probes:
    __slots__ = ("_flying", "_relays", "_rules", "_seq")

    def __init__(self, rules: MemberRules, dice: Random) -> None:
        self._rules = rules
        self._seq = dice.getrandbits(40)  # so that answers to an earlier process are none to this one
        self._flying: dict[int, Probe] = {}
        self._relays: dict[int, Relay] = {}

    def number(self) -> int:
        self._seq += 1
        return self._seq

    def begin(self, now: float, record: Record, factor: float, look: bool = False) -> None:
        """A new probe, due at once; none if too many are in flight."""
        if len(self._flying) >= IN_FLIGHT:
            return
        timeout = self._rules.timeout * factor
        lasts = TRIES * timeout if look else max(self._rules.period * factor, TRIES * timeout)
        self._flying[self.number()] = Probe(record, now, timeout, now + lasts, look, next_at=now)

    def ripe(self, now: float) -> list[tuple[int, Probe]]:
        """Probes to try again; those past their last try have failed and are dropped here."""
        ripe = [(seq, probe) for seq, probe in self._flying.items() if probe.next_at <= now]
        for seq, probe in ripe:
            if probe.tries == TRIES:
                del self._flying[seq]
        return ripe

    def answered(self, seq: int, sender: str, life: int) -> Probe | None:
        """The probe that an answer with this number ends: from the probed itself or a helper asked."""
        probe = self._flying.get(seq)
        if probe is None or life < probe.record.life or sender not in (probe.record.name, *probe.asked):
            return None
        return self._flying.pop(seq)

    def nack(self, seq: int, sender: str) -> None:
        probe = self._flying.get(seq)
        if probe is not None and sender in probe.asked:
            probe.nacks.add(sender)

    def flying(self, name: str) -> bool:
        return any(probe.record.name == name for probe in self._flying.values())

    def relay(self, now: float, name: str, to: Address, seq: int) -> int | None:
        """The own number of a probe passed on; None if there are too many."""
        if len(self._relays) >= RELAYS:
            return None
        own = self.number()
        nack_at = now + 0.8 * self._rules.timeout
        self._relays[own] = Relay(name, to, seq, nack_at, now + 2 * self._rules.period)
        return own

    def relayed(self, seq: int, sender: str) -> Relay | None:
        relay = self._relays.get(seq)
        if relay is None or relay.name != sender:
            return None
        return self._relays.pop(seq)

    def nacks(self, now: float) -> list[Relay]:
        """Relays whose asker is to be told now that there was no answer; those long over are dropped."""
        told = []
        for seq, relay in list(self._relays.items()):
            if relay.until <= now:
                del self._relays[seq]
            elif not relay.nacked and relay.nack_at <= now:
                relay.nacked = True
                told.append(relay)
        return told

    def due(self) -> float:
        times = [probe.next_at for probe in self._flying.values()]
        times += [relay.until if relay.nacked else relay.nack_at for relay in self._relays.values()]
        return min(times, default=math.inf)

    def clear(self) -> None:
        """Nothing in flight counts any more: this process stood still."""
        self._flying.clear()
        self._relays.clear()
