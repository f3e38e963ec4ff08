"""The view of the members at this front, shared by prober and anti-entropy: applies and gossips updates."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from random import Random

from fernweir.peers.base import Address, Message, Outbox, Send
from fernweir.peers.members.awareness import Awareness
from fernweir.peers.members.events import Me
from fernweir.peers.members.gossip import GossipQueue
from fernweir.peers.members.identity import Identity
from fernweir.peers.members.messages import Gossip, Record, State
from fernweir.peers.members.rules import MemberRules
from fernweir.peers.members.suspicion import Suspicions
from fernweir.peers.members.table import Member, MemberTable
from fernweir.peers.members.updates import StatusUpdates

_MESSAGE_OVERHEAD_BYTES = 160  # approximate upper bound of a message without its updates


class MembershipView:
    """The caller sets `now`. `on_suspicion` is called for each suspicion that starts."""

    def __init__(self, me: Me, rules: MemberRules, rng: Random) -> None:
        self.now = 0.0
        self.rules = rules
        self.rng = rng
        self.out = Outbox()
        self.table = MemberTable(me.name, rules.max_members)
        self.queue = GossipQueue()
        self.suspicions = Suspicions(rules)
        self.awareness = Awareness(rules.max_health_score)
        self.updates = StatusUpdates(me.name, self.table, self.suspicions, self.queue, self.out.add)
        self.identity = Identity(me, rules, self.publish, self.out.add)
        self.on_suspicion: Callable[[Record], None] = lambda record: None
        self._round: list[str] = []
        self._gossiped_at = -math.inf

    @property
    def own(self) -> Record:
        return self.identity.record

    def publish(self, record: Record) -> None:
        """Stores and gossips a new own record."""
        self.table.put(self.now, record)
        self.queue.add(record)

    def apply(self, updates: Sequence[Record], spread: bool = True) -> None:
        for record in updates:
            if record.name != self.own.name:
                if self.updates.on_record(self.now, record, spread):
                    self.on_suspicion(record)
                continue
            refuted = self.identity.refuted
            self.identity.on_record(self.now, record)
            if self.identity.refuted > refuted:
                self.awareness.increase(1)

    def correction_for(self, record: Record) -> Record | None:
        """Returns what to send first to the sender of `record` if it is known in another state, or None."""
        known = self.table.record_of(record.name)
        if known is None or (known.state is State.ALIVE and known.life == record.life):
            return None if known is None or known.address == record.address else known
        return known

    def _repeats(self) -> int:
        return max(1, math.ceil(self.rules.repeats * (math.log2(len(self.table.living) + 1) + 2.0)))

    def next_updates(self, to: str, first: Record | None = None) -> tuple[Record, ...]:
        return self.queue.select(
            self.rules.datagram_bytes - _MESSAGE_OVERHEAD_BYTES, self._repeats(), to, first
        )

    def next_gossip_at(self) -> float:
        if not self.queue or not self.table.living:
            return math.inf
        return self._gossiped_at + self.rules.gossip_interval_ms

    def spread(self, count: int) -> None:
        """Gossips to the next members of a shuffled round, so that a small fleet is covered evenly."""
        self._gossiped_at = self.now
        for _ in range(min(count, len(self.table.living))):
            member = self._next_gossip_target()
            if updates := self.next_updates(member.name):
                self.send(member.address, Gossip(updates))

    def _next_gossip_target(self) -> Member:
        """Returns the next member of the round; there must be living others."""
        while True:
            if not self._round:
                self._round = list(self.table.living)
                self.rng.shuffle(self._round)
            member = self.table.rows.get(self._round.pop())
            if member is not None and member.record.living:
                return member

    def send(self, to: Address, message: Message, reliable: bool = False) -> None:
        self.out.add(Send(to, message, reliable))
