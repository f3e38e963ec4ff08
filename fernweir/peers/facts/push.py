"""Urgent facts on their way: each front that hears one for the first time pushes it on a few times.

Rumour mongering (Demers et al. 1987), push, ended by a counter. What it misses the rounds and repairs find.
"""

from __future__ import annotations

from random import Random

from fernweir.peers.base import Outbox, Send
from fernweir.peers.facts.budget import Budget
from fernweir.peers.facts.messages import Push, PushedRecord, Record
from fernweir.peers.facts.owner_state import age_of
from fernweir.peers.facts.packing import DATAGRAM_COST, item_size
from fernweir.peers.facts.rules import FactRules
from fernweir.peers.facts.table import Table

_MOST = 1_024


class Pushed:
    """What is pushed on, by owner and key, the newest of each; and how often yet."""

    def __init__(self, table: Table, rules: FactRules, budget: Budget, dice: Random, out: Outbox) -> None:
        self.table, self.rules = table, rules
        self._all, self._dice, self._out = budget, dice, out
        self._urgent = Budget(rules.bytes_per_s * rules.urgent_ratio, rules.burst_bytes * rules.urgent_ratio)
        self._left: dict[tuple[str, str], int] = {}
        self._due = 0.0

    def add(self, now: float, owner: str, key: str) -> None:
        if (owner, key) in self._left or len(self._left) < _MOST:
            self._left[owner, key] = self.rules.push_rounds
            self._due = min(self._due, now)

    def next_deadline(self) -> float | None:
        return self._due if self._left and self.table.names else None

    def tick(self, now: float) -> None:
        if not self._left or now < self._due or not self.table.names:
            return
        self._due = now + self.rules.push_interval_ms
        names = self.table.names
        peers = self._dice.sample(names, min(self.rules.push_fanout, len(names)))
        room = min(self._urgent.level(now), self._all.level(now)) / len(peers)
        items, size, whole = batch(self._waiting(now), self.rules.max_datagram_bytes, room)
        if not items:
            return
        for item in items:
            self._sent((item.owner, item.record.key))
        self._urgent.spend(now, size * len(peers))
        self._all.spend(now, size * len(peers))
        for peer in peers:
            self._out.add(Send(peer, Push(tuple(items)), whole))

    def _waiting(self, now: float) -> list[PushedRecord]:
        """Those that were pushed least often come first; what is gone meanwhile is dropped."""
        items = []
        for owner, key in sorted(self._left, key=lambda one: (-self._left[one], one)):
            held = self.table.get(owner)
            fact = None if held is None else held.facts.get(key)
            if held is None or fact is None:
                del self._left[owner, key]
            else:
                record = Record(key, fact.version, age_of(now, fact.at), fact.value)
                items.append(PushedRecord(owner, held.life, record))
        return items

    def _sent(self, one: tuple[str, str]) -> None:
        self._left[one] -= 1
        if self._left[one] <= 0:
            del self._left[one]


def batch(items: list[PushedRecord], datagram: int, room: float) -> tuple[list[PushedRecord], int, bool]:
    """The first items that fit into a datagram and the room; one that fits no datagram goes alone, whole.

    Returns the items, their size and whether they go whole.
    """
    if not items:
        return [], 0, False
    first = item_size(items[0]) + DATAGRAM_COST
    if first > datagram:
        return (items[:1], first, True) if first <= room else ([], 0, False)
    taken: list[PushedRecord] = []
    size = DATAGRAM_COST
    for item in items:
        grown = size + item_size(item)
        if grown > min(datagram, room):
            break
        taken.append(item)
        size = grown
    return taken, size if taken else 0, False
