"""Each front's facts, known to all its peers: spread, repaired, within so many bytes a second.

Ordinary facts go round by the rounds of `exchange`, urgent ones are pushed at once by `news`. All answers
are cut to what the budget has, and go on from there the next time.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from random import Random
from types import MappingProxyType

from fernweir.peers.base import Effect, Message, Outbox
from fernweir.peers.facts.budget import Budget
from fernweir.peers.facts.exchange import Exchange
from fernweir.peers.facts.local_state import Own
from fernweir.peers.facts.messages import BucketChecksums, BucketEntries, Compare, Delta, Entry, Push, Want
from fernweir.peers.facts.owner_state import Fact
from fernweir.peers.facts.push import Pushed
from fernweir.peers.facts.rules import FactRules
from fernweir.peers.facts.table import Changed, Dropped, Gone, Table

__all__ = ["Changed", "Dropped", "Fact", "Facts", "Gone"]


class Facts:
    """`life` orders the lives of an owner; a front that hears of a later one of its own goes beyond it."""

    def __init__(self, me: str, life: int, rules: FactRules, seed: int) -> None:
        self.me, self.rules = me, rules
        self._dice = Random(f"facts {me} {seed}")
        self._out = Outbox()
        self._own = Own(me, life, rules)
        self._table = Table(self._own, rules, self._out)
        budget = Budget(rules.bytes_per_s, rules.burst_bytes)
        self._exchange = Exchange(self._table, rules, budget, self._dice, self._out)
        self._pushed = Pushed(self._table, rules, budget, self._dice, self._out)
        self._round_at: float | None = None

    # --- what its front publishes ---

    @property
    def life(self) -> int:
        return self._own.held.life

    def put(self, now: float, key: str, value: bytes, urgent: bool = False) -> None:
        """FactError if the key, the value, or all together is more than the rules let one owner publish."""
        self._own.put(now, key, value)
        self._exchange.changed(self.me)
        if urgent:
            self._pushed.add(now, self.me, key)

    def drop(self, now: float, key: str) -> None:
        if self._own.drop(now, key):
            self._exchange.changed(self.me)

    # --- what is known ---

    def get(self, owner: str, key: str) -> Fact | None:
        held = self._table.get(owner)
        return None if held is None else held.facts.get(key)

    def of(self, owner: str) -> Mapping[str, Fact]:
        held = self._table.get(owner)
        return MappingProxyType({} if held is None else held.facts)

    def life_of(self, owner: str) -> int | None:
        """In which life what is held of an owner was said."""
        held = self._table.get(owner)
        return None if held is None else held.life

    def owners(self) -> list[str]:
        """All of whom a fact is held, in order of their names."""
        return self._table.owners()

    # --- who the peers are ---

    def set_peers(self, now: float, names: Iterable[str]) -> None:
        """With whom to gossip, and whose facts to take; what is held of others goes after `keep_ms`."""
        new = self._table.set_peers(now, names)
        if new:
            self._exchange.repair_at = now
            self._exchange.changed(self.me)
        if self._round_at is None and self._table.names:
            self._round_at = now + self._dice.random() * self.rules.round_interval_ms

    def restrict_owners(self, owners: Mapping[str, frozenset[str]]) -> None:
        """Of these owners nothing new is taken but the keys named; what was passed over comes again later."""
        self._table.restrict_owners(owners)

    # --- a part of a peer ---

    def on_message(self, now: float, sender: str, message: Message) -> None:
        if sender == self.me or not self._table.is_peer(sender):
            return
        match message:
            case Compare():
                self._exchange.compared(now, sender, message)
            case BucketChecksums():
                self._exchange.differs(now, sender, message)
            case BucketEntries():
                self._exchange.listed(now, sender, message)
            case Want():
                self._exchange.serve(now, sender, message.entries)
            case Delta():
                self._delta(now, message)
            case Push():
                self._news(now, message)

    def tick(self, now: float) -> None:
        for owner in self._table.forget_gone(now):
            self._exchange.forget(owner)
        if self._own.refute(now):
            self._exchange.changed(self.me)
        self._pushed.tick(now)
        if self._round_at is not None and now >= self._round_at:
            self._round_at = now + self.rules.round_interval_ms * self._dice.uniform(0.9, 1.1)
            self._exchange.round(now)

    def next_deadline(self) -> float | None:
        due = (
            self._own.next_deadline(),
            self._table.next_deadline(),
            self._pushed.next_deadline(),
            self._round_at,
        )
        return min((one for one in due if one is not None), default=None)

    def take_effects(self) -> list[Effect]:
        return self._out.take_effects()

    # --- what is new ---

    def _delta(self, now: float, message: Delta) -> None:
        for part in message.parts:
            if part.owner == self.me:
                self._own.claim(Entry(self.me, part.life, part.records[-1].version, part.floor))
            elif self._table.delta(now, part):
                self._exchange.changed(part.owner)
        if message.more:
            self._exchange.repair_at = now

    def _news(self, now: float, message: Push) -> None:
        for item in message.items:
            if item.owner == self.me:
                self._own.claim(Entry(self.me, item.life, item.record.version))
            elif self._table.news(now, item.owner, item.life, item.record):
                self._exchange.changed(item.owner)
                self._pushed.add(now, item.owner, item.record.key)
