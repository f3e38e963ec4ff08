"""Anti-entropy: comparison of member tables, and contact to members and seeds that seem lost.

Gossip may miss a front, so two tables are compared by checksums, and only parts that differ are sent. Dead
members and seeds that are not members are contacted in turn, one at a time, so that the halves of a
partitioned fleet find one another.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from random import Random

from fernweir.peers.base import Address
from fernweir.peers.members.messages import MAX_ROWS, Record, Rows, Sync
from fernweir.peers.members.table import MemberTable, part_of
from fernweir.peers.members.view import MembershipView


class RateLimit:
    """A token bucket that bounds the tables sent per second, whatever the number of requests."""

    __slots__ = ("_at", "_left", "_rate")

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._left = rate
        self._at = 0.0

    def spend(self, now: float) -> bool:
        self._left = min(self._rate, self._left + max(now - self._at, 0.0) / 1000.0 * self._rate)
        self._at = now
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True


def table_rows(table: MemberTable, parts: Sequence[int]) -> list[Rows]:
    """Returns messages with all records of some parts, which also request newer records of the receiver."""
    by_part: dict[int, list[Record]] = {part: [] for part in parts}
    for record in table.records_in_parts(parts):
        by_part[part_of(record.name)].append(record)
    messages: list[Rows] = []
    rows: list[Record] = []
    group: list[int] = []
    for part, records in by_part.items():
        if group and len(rows) + len(records) > MAX_ROWS:
            messages += _split(rows, tuple(group))
            rows, group = [], []
        rows += records
        group.append(part)
    return messages + _split(rows, tuple(group))


def _split(rows: list[Record], parts: tuple[int, ...]) -> list[Rows]:
    """Splits the rows of a group of parts; only a single part that is too large needs several messages."""
    chunks = [rows[at : at + MAX_ROWS] for at in range(0, len(rows), MAX_ROWS)] or [[]]
    messages = [Rows(tuple(chunk)) for chunk in chunks[:-1]]
    return [*messages, Rows(tuple(chunks[-1]), parts, wants_newer=True)]


def newer_rows(table: MemberTable, message: Rows) -> list[Rows]:
    """Returns the records of the requested parts that are newer than those in the message."""
    keys = {record.name: record.key for record in message.rows}
    newer = [r for r in table.records_in_parts(message.parts) if r.name not in keys or keys[r.name] < r.key]
    return [Rows(tuple(newer[at : at + MAX_ROWS])) for at in range(0, len(newer), MAX_ROWS)]


class LostAddresses:
    """Addresses to contact, in shuffled rounds: seeds that are not members and members declared dead."""

    __slots__ = ("_rng", "_round", "seeds")

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._round: list[Address] = []
        self.seeds: list[Address] = []

    def next_addresses(self, table: MemberTable, own: Address, count: int) -> list[Address]:
        """Returns up to `count` addresses that no living member has."""
        living_addresses = {table.rows[name].record.address for name in table.living} | {own}
        selected: list[Address] = []
        for again in (False, True):
            if again:
                lost = dict.fromkeys([*self.seeds, *(record.address for record in table.dead_records())])
                self._round = [
                    address for address in lost if address not in living_addresses and address not in selected
                ]
                self._rng.shuffle(self._round)
            while self._round and len(selected) < count:
                address = self._round.pop()
                if address not in living_addresses:
                    selected.append(address)
        return selected


class AntiEntropy:
    """`dropped` counts `Sync` messages whose sender is not the member in their record."""

    def __init__(self, view: MembershipView) -> None:
        self._view = view
        self._lost = LostAddresses(view.rng)
        self._rate_limit = RateLimit(view.rules.tables_per_s)
        self._sync_at = self._contact_at = math.inf
        self._no_gossip_until = -math.inf
        self.dropped = 0

    def start(self, seeds: Sequence[Address]) -> None:
        view = self._view
        self._lost.seeds = [address for address in seeds if address != view.own.address]
        self._sync_at = view.now + view.rng.random() * view.rules.sync_interval_ms
        self._contact_at = view.now

    def on_stall(self) -> None:
        """Schedules a comparison at once, because this process was suspended and missed updates."""
        self._sync_at = self._view.now

    def stop(self) -> None:
        self._sync_at = self._contact_at = math.inf

    def next_deadline(self) -> float:
        return min(self._sync_at, self._contact_at)

    def tick(self) -> None:
        self._contact_lost()
        self._sync_tables()

    def _sync_tables(self) -> None:
        view = self._view
        if view.now < self._sync_at:
            return
        self._sync_at = view.now + view.rules.sync_interval_ms * view.rng.uniform(0.8, 1.2)
        for record in view.table.sample(view.rng, 1):
            view.send(record.address, Sync(view.own, tuple(view.table.checksums)))

    def _contact_lost(self) -> None:
        """Contacts seeds and dead members: a few often while alone, otherwise one at a lower rate."""
        view = self._view
        if view.now < self._contact_at:
            return
        alone = not view.table.living
        self._contact_at = view.now + (
            view.rules.join_interval_ms if alone else view.rules.rejoin_interval_ms
        )
        checksums = () if alone else tuple(view.table.checksums)
        for address in self._lost.next_addresses(view.table, view.own.address, 3 if alone else 1):
            view.send(address, Sync(view.own, checksums))

    def on_sync(self, sender: str, sync: Sync) -> None:
        view = self._view
        if sync.sender_record.name != sender:
            self.dropped += 1
            return
        view.apply([sync.sender_record])
        parts = view.table.differing_parts(sync.checksums)
        if parts and self._rate_limit.spend(view.now):
            for message in table_rows(view.table, parts):
                view.send(sync.sender_record.address, message, reliable=True)

    def on_rows(self, sender: str, message: Rows) -> None:
        """Applies received rows; those of the complete table after a join are not gossiped."""
        view = self._view
        if not view.table.living:
            self._no_gossip_until = view.now + view.rules.join_interval_ms
        view.apply(message.rows, spread=view.now >= self._no_gossip_until)
        asker = view.table.rows.get(sender)
        if message.wants_newer and asker is not None:
            for answer in newer_rows(view.table, message):
                view.send(asker.address, answer, reliable=True)
