"""Pushes urgent facts: each front that receives one for the first time pushes it on a few times.

This is rumour mongering (Demers et al. 1987) with push and a counter that ends it. Rounds and repairs reach
the fronts that it misses.
"""

from __future__ import annotations

from random import Random

from fernweir.peers.base import Outbox, Send
from fernweir.peers.facts.budget import Budget
from fernweir.peers.facts.messages import Push, PushedRecord, Record
from fernweir.peers.facts.owner_state import age_of
from fernweir.peers.facts.packing import DATAGRAM_OVERHEAD_BYTES, pushed_record_size
from fernweir.peers.facts.rules import FactRules
from fernweir.peers.facts.table import OwnerTable

_MAX_QUEUED = 1_024


class PushQueue:
    """The facts to push, by owner and key, with their remaining pushes. Always the newest fact is sent."""

    def __init__(self, table: OwnerTable, rules: FactRules, budget: Budget, rng: Random, out: Outbox) -> None:
        self.table, self.rules = table, rules
        self._budget, self._rng, self._out = budget, rng, out
        self._urgent_budget = Budget(
            rules.bytes_per_s * rules.urgent_ratio, rules.burst_bytes * rules.urgent_ratio
        )
        self._remaining: dict[tuple[str, str], int] = {}
        self._due = 0.0

    def add(self, now: float, owner: str, key: str) -> None:
        """Starts the pushes of a fact, unless the queue is full."""
        if (owner, key) in self._remaining or len(self._remaining) < _MAX_QUEUED:
            self._remaining[owner, key] = self.rules.push_rounds
            self._due = min(self._due, now)

    def next_deadline(self) -> float | None:
        """Returns when the next push is due, or None."""
        return self._due if self._remaining and self.table.peer_names else None

    def tick(self, now: float) -> None:
        """Pushes as many facts as fit into a message and the budget to a few random peers, if it is due."""
        if not self._remaining or now < self._due or not self.table.peer_names:
            return
        self._due = now + self.rules.push_interval_ms
        names = self.table.peer_names
        peers = self._rng.sample(names, min(self.rules.push_fanout, len(names)))
        capacity = min(self._urgent_budget.level(now), self._budget.level(now)) / len(peers)
        items, size, reliable = next_batch(self._queued(now), self.rules.max_datagram_bytes, capacity)
        if not items:
            return
        for item in items:
            self._decrement((item.owner, item.record.key))
        self._urgent_budget.spend(now, size * len(peers))
        self._budget.spend(now, size * len(peers))
        for peer in peers:
            self._out.add(Send(peer, Push(tuple(items)), reliable))

    def _queued(self, now: float) -> list[PushedRecord]:
        """Returns the queued facts, least pushed first, and removes those that no longer exist."""
        items = []
        for owner, key in sorted(self._remaining, key=lambda queued: (-self._remaining[queued], queued)):
            state = self.table.get(owner)
            fact = None if state is None else state.facts.get(key)
            if state is None or fact is None:
                del self._remaining[owner, key]
            else:
                record = Record(key, fact.version, age_of(now, fact.at), fact.value)
                items.append(PushedRecord(owner, state.life, record))
        return items

    def _decrement(self, queued: tuple[str, str]) -> None:
        self._remaining[queued] -= 1
        if self._remaining[queued] <= 0:
            del self._remaining[queued]


def next_batch(
    items: list[PushedRecord], max_datagram_bytes: int, capacity: float
) -> tuple[list[PushedRecord], int, bool]:
    """Returns the first items that fit into a datagram and the capacity.

    An item that fits into no datagram is sent alone, over the reliable connection.

    Returns:
        The items, their size in bytes, and whether they must go over the reliable connection.
    """
    if not items:
        return [], 0, False
    first = pushed_record_size(items[0]) + DATAGRAM_OVERHEAD_BYTES
    if first > max_datagram_bytes:
        return (items[:1], first, True) if first <= capacity else ([], 0, False)
    batch: list[PushedRecord] = []
    size = DATAGRAM_OVERHEAD_BYTES
    for item in items:
        grown = size + pushed_record_size(item)
        if grown > min(max_datagram_bytes, capacity):
            break
        batch.append(item)
        size = grown
    return batch, size if batch else 0, False
