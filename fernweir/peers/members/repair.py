"""Repair of tables: which parts to tell of another's table, and whom to call that seems lost.

Gossip may miss a front; two tables are compared by sums and only parts that differ are told. Dead members and
seeds out of sight are called in turn, one at a time, so that halves of a fleet that was cut find one another.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from random import Random

from fernweir.peers.base import Address
from fernweir.peers.members.messages import ROWS_MOST, Record, Rows, Sync
from fernweir.peers.members.table import Roster, part_of
from fernweir.peers.members.view import Voice


class Allowance:
    """How many tables may be told: refilled by time, so that a flood of questions costs a bounded answer."""

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


def told(roster: Roster, parts: Sequence[int]) -> list[Rows]:
    """All that is known of some parts, and what the reader knows better is wanted back."""
    by_part: dict[int, list[Record]] = {part: [] for part in parts}
    for record in roster.parts(parts):
        by_part[part_of(record.name)].append(record)
    messages: list[Rows] = []
    rows: list[Record] = []
    held: list[int] = []
    for part, records in by_part.items():
        if held and len(rows) + len(records) > ROWS_MOST:
            messages += _cut(rows, tuple(held))
            rows, held = [], []
        rows += records
        held.append(part)
    return messages + _cut(rows, tuple(held))


def _cut(rows: list[Record], parts: tuple[int, ...]) -> list[Rows]:
    """Rows of one group of parts; only a part that alone has too many takes more than one message."""
    chunks = [rows[at : at + ROWS_MOST] for at in range(0, len(rows), ROWS_MOST)] or [[]]
    messages = [Rows(tuple(chunk)) for chunk in chunks[:-1]]
    return [*messages, Rows(tuple(chunks[-1]), parts, ask=True)]


def better(roster: Roster, message: Rows) -> list[Rows]:
    """What is known here of the asked parts and is newer than what was told."""
    keys = {record.name: record.key for record in message.rows}
    newer = [r for r in roster.parts(message.parts) if r.name not in keys or keys[r.name] < r.key]
    return [Rows(tuple(newer[at : at + ROWS_MOST])) for at in range(0, len(newer), ROWS_MOST)]


class Lost:
    """Addresses to call: seeds out of sight and members declared dead, each once a round, shuffled."""

    __slots__ = ("_dice", "_round", "seeds")

    def __init__(self, dice: Random) -> None:
        self._dice = dice
        self._round: list[Address] = []
        self.seeds: list[Address] = []

    def next(self, roster: Roster, own: Address, count: int) -> list[Address]:
        """Up to `count` that no living member has."""
        seen = {roster.rows[name].record.address for name in roster.living} | {own}
        called: list[Address] = []
        for again in (False, True):
            if again:
                lost = dict.fromkeys([*self.seeds, *(record.address for record in roster.dead())])
                self._round = [address for address in lost if address not in seen and address not in called]
                self._dice.shuffle(self._round)
            while self._round and len(called) < count:
                address = self._round.pop()
                if address not in seen:
                    called.append(address)
        return called


class Repair:
    """`dropped` counts comparisons whose sender is not whom they speak for."""

    def __init__(self, voice: Voice) -> None:
        self._voice = voice
        self._lost = Lost(voice.dice)
        self._allowance = Allowance(voice.rules.tables_a_second)
        self._sync_at = self._call_at = math.inf
        self._quiet_until = -math.inf
        self.dropped = 0

    def begin(self, seeds: Sequence[Address]) -> None:
        voice = self._voice
        self._lost.seeds = [address for address in seeds if address != voice.own.address]
        self._sync_at = voice.now + voice.dice.random() * voice.rules.sync_every
        self._call_at = voice.now

    def stood(self) -> None:
        """What happened meanwhile is in the tables of others."""
        self._sync_at = self._voice.now

    def end(self) -> None:
        self._sync_at = self._call_at = math.inf

    def due(self) -> float:
        return min(self._sync_at, self._call_at)

    def step(self) -> None:
        self._call()
        self._compare()

    def _compare(self) -> None:
        voice = self._voice
        if voice.now < self._sync_at:
            return
        self._sync_at = voice.now + voice.rules.sync_every * voice.dice.uniform(0.8, 1.2)
        for record in voice.roster.draw(voice.dice, 1):
            voice.send(record.address, Sync(voice.own, tuple(voice.roster.sums)))

    def _call(self) -> None:
        """Seeds and dead members: a few often while alone, one now and then in company."""
        voice = self._voice
        if voice.now < self._call_at:
            return
        alone = not voice.roster.living
        self._call_at = voice.now + (voice.rules.join_every if alone else voice.rules.rejoin_every)
        sums = () if alone else tuple(voice.roster.sums)
        for address in self._lost.next(voice.roster, voice.own.address, 3 if alone else 1):
            voice.send(address, Sync(voice.own, sums))

    def heard_sync(self, sender: str, sync: Sync) -> None:
        voice = self._voice
        if sync.me.name != sender:
            self.dropped += 1
            return
        voice.hear([sync.me])
        parts = voice.roster.differing(sync.sums)
        if parts and self._allowance.spend(voice.now):
            for message in told(voice.roster, parts):
                voice.send(sync.me.address, message, reliable=True)

    def heard_rows(self, sender: str, message: Rows) -> None:
        """A whole table that answers a join is not passed on: the others have it."""
        voice = self._voice
        if not voice.roster.living:
            self._quiet_until = voice.now + voice.rules.join_every
        voice.hear(message.rows, spread=voice.now >= self._quiet_until)
        asker = voice.roster.rows.get(sender)
        if message.ask and asker is not None:
            for answer in better(voice.roster, message):
                voice.send(asker.address, answer, reliable=True)
