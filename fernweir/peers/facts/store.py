"""The facts of each front, which are spread to all its peers and repaired, within a limited rate of bytes.

Ordinary facts spread in the rounds of `exchange`; urgent ones are pushed at once by `push`. All answers are
truncated to the budget, and continue from there the next time.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from random import Random
from types import MappingProxyType

from fernweir.peers.base import Effect, Message, Outbox
from fernweir.peers.facts.budget import Budget
from fernweir.peers.facts.exchange import Exchange
from fernweir.peers.facts.local_state import LocalState
from fernweir.peers.facts.messages import BucketChecksums, BucketEntries, Compare, Delta, Entry, Push, Want
from fernweir.peers.facts.owner_state import Fact
from fernweir.peers.facts.push import PushQueue
from fernweir.peers.facts.rules import FactRules
from fernweir.peers.facts.table import Changed, Dropped, Gone, OwnerTable

__all__ = ["Changed", "Dropped", "Fact", "Facts", "Gone"]


class Facts:
    """The facts of this front and its peers.

    `life` orders the processes with one name; a front that learns of a later life under its own name
    continues in a life after that. Events: `Changed`, `Dropped`, `Gone`.
    """

    def __init__(self, me: str, life: int, rules: FactRules, seed: int) -> None:
        self.me, self.rules = me, rules
        self._rng = Random(f"facts {me} {seed}")
        self._out = Outbox()
        self._local = LocalState(me, life, rules)
        self._table = OwnerTable(self._local, rules, self._out)
        budget = Budget(rules.bytes_per_s, rules.burst_bytes)
        self._exchange = Exchange(self._table, rules, budget, self._rng, self._out)
        self._push_queue = PushQueue(self._table, rules, budget, self._rng, self._out)
        self._round_at: float | None = None

    # --- facts of this front ---

    @property
    def life(self) -> int:
        """The life under which this front publishes."""
        return self._local.state.life

    def put(self, now: float, key: str, value: bytes, urgent: bool = False) -> None:
        """Publishes a fact.

        Raises:
            FactError: The key, the value, or all facts together exceed the limits of one owner.
        """
        self._local.put(now, key, value)
        self._exchange.on_changed(self.me)
        if urgent:
            self._push_queue.add(now, self.me, key)

    def drop(self, now: float, key: str) -> None:
        """Drops a fact, if there is one."""
        if self._local.drop(now, key):
            self._exchange.on_changed(self.me)

    # --- facts of all owners ---

    def get(self, owner: str, key: str) -> Fact | None:
        """Returns a fact of an owner, or None."""
        state = self._table.get(owner)
        return None if state is None else state.facts.get(key)

    def facts_of(self, owner: str) -> Mapping[str, Fact]:
        """Returns a view of all facts of an owner, by key."""
        state = self._table.get(owner)
        return MappingProxyType({} if state is None else state.facts)

    def life_of(self, owner: str) -> int | None:
        """Returns the life in which an owner published its facts, or None if the owner is not known."""
        state = self._table.get(owner)
        return None if state is None else state.life

    def owners(self) -> list[str]:
        """Returns the owners that have facts, sorted."""
        return self._table.owners()

    # --- peers ---

    def set_peers(self, now: float, names: Iterable[str]) -> None:
        """Sets the peers, whose facts are accepted; facts of other owners are removed after `keep_ms`."""
        new = self._table.set_peers(now, names)
        if new:
            self._exchange.repair_at = now
            self._exchange.on_changed(self.me)
        if self._round_at is None and self._table.peer_names:
            self._round_at = now + self._rng.random() * self.rules.round_interval_ms

    def restrict_owners(self, owners: Mapping[str, frozenset[str]]) -> None:
        """Accepts only these keys from these owners.

        Records that are skipped are requested again when the restriction ends.
        """
        self._table.restrict_owners(owners)

    # --- base.Part ---

    def on_message(self, now: float, sender: str, message: Message) -> None:
        """Handles a message of one of `FACT_KINDS`; messages from fronts that are not peers are ignored."""
        if sender == self.me or not self._table.is_peer(sender):
            return
        match message:
            case Compare():
                self._exchange.on_compare(now, sender, message)
            case BucketChecksums():
                self._exchange.on_bucket_checksums(now, sender, message)
            case BucketEntries():
                self._exchange.on_bucket_entries(now, sender, message)
            case Want():
                self._exchange.send_missing(now, sender, message.entries)
            case Delta():
                self._on_delta(now, message)
            case Push():
                self._on_push(now, message)

    def tick(self, now: float) -> None:
        """Runs the timers that are due."""
        for owner in self._table.remove_departed(now):
            self._exchange.forget(owner)
        if self._local.refute(now):
            self._exchange.on_changed(self.me)
        self._push_queue.tick(now)
        if self._round_at is not None and now >= self._round_at:
            self._round_at = now + self.rules.round_interval_ms * self._rng.uniform(0.9, 1.1)
            self._exchange.start_round(now)

    def next_deadline(self) -> float | None:
        """Returns the latest time for the next `tick`, or None."""
        due = (
            self._local.next_deadline(),
            self._table.next_deadline(),
            self._push_queue.next_deadline(),
            self._round_at,
        )
        return min((at for at in due if at is not None), default=None)

    def take_effects(self) -> list[Effect]:
        """Returns all effects since the last call and removes them."""
        return self._out.take_effects()

    # --- new records ---

    def _on_delta(self, now: float, message: Delta) -> None:
        for part in message.parts:
            if part.owner == self.me:
                self._local.on_claim(Entry(self.me, part.life, part.records[-1].version, part.floor))
            elif self._table.apply_delta(now, part):
                self._exchange.on_changed(part.owner)
        if message.has_more:
            self._exchange.repair_at = now

    def _on_push(self, now: float, message: Push) -> None:
        for item in message.items:
            if item.owner == self.me:
                self._local.on_claim(Entry(self.me, item.life, item.record.version))
            elif self._table.apply_pushed(now, item.owner, item.life, item.record):
                self._exchange.on_changed(item.owner)
                self._push_queue.add(now, item.owner, item.record.key)
