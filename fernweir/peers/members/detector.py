"""Membership: who is alive, at which address, in which life. A state machine without I/O or clock.

The protocol is SWIM (Das, Gupta, Motivala 2002) with the extensions of Lifeguard (Dadgar, Phillips, Currey
2018). Members are probed in turn, and helpers probe on behalf of others. Suspicions are gossiped, refuted by
the suspect, and time out earlier as others confirm them. A slow front lengthens its own timeouts, and a
suspect is informed before all others. `prober` detects failures, `view` stores and gossips the known state,
and `repair` compares tables to find what gossip missed.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from random import Random

from fernweir.peers.base import Address, Effect, Message
from fernweir.peers.members.events import Me
from fernweir.peers.members.messages import Ack, Gossip, Nack, Ping, PingRequest, Rows, Sync
from fernweir.peers.members.prober import Prober
from fernweir.peers.members.repair import AntiEntropy
from fernweir.peers.members.rules import MemberRules
from fernweir.peers.members.table import Member
from fernweir.peers.members.view import MembershipView


class Members:
    """A `base.Part` that combines the parts of the protocol. Its messages go to addresses, never to names.

    `displaced` is true while another living front has this name and a higher life. Other fronts ignore this
    one then, and it must not act.
    """

    def __init__(self, me: Me, rules: MemberRules, seed: int) -> None:
        self._rules = rules
        self._view = MembershipView(me, rules, Random(seed))
        self._prober = Prober(self._view)
        self._anti_entropy = AntiEntropy(self._view)
        self._is_member = False
        self._stalled_at = -math.inf
        self._deadline: float | None = None

    # --- queries ---

    @property
    def displaced(self) -> bool:
        return self._view.identity.displaced

    @property
    def doubt(self) -> int:
        """The local health score; 0 while this front is healthy."""
        return self._view.awareness.score

    @property
    def dropped(self) -> int:
        """The number of messages dropped because the sender is not the member that they describe."""
        return self._prober.dropped + self._anti_entropy.dropped

    @property
    def refused(self) -> int:
        """The number of updates on unknown names that were dropped because the table was full."""
        return self._view.updates.refused

    def alive(self) -> list[str]:
        """Returns the sorted names of living members, including suspects and this front."""
        return sorted([*self._view.table.living, self._view.own.name])

    def address(self, name: str) -> Address | None:
        """Returns the address that a member advertises, dead or alive; None if the name is unknown."""
        member = self._view.table.rows.get(name)
        return member.address if member is not None else None

    def name_at(self, address: Address) -> str | None:
        """Returns the living member that advertises an address, of several the one that started last."""
        rows = self._view.table.rows
        at_address = [rows[name] for name in self._view.table.living if rows[name].address == address]
        return max(at_address, key=lambda member: member.life).name if at_address else None

    def life(self, name: str) -> int:
        """Returns the highest known life of a name, or 0."""
        known = self._view.table.record_of(name)
        return known.life if known is not None else 0

    def table(self) -> Mapping[str, Member]:
        """Returns at most `max_members` by name: living ones, this front, and dead ones for `forget_ms`."""
        return self._view.table.rows

    # --- joining and leaving ---

    def join(self, now: float, seeds: Sequence[Address]) -> None:
        """Makes this front a member; seeds are contacted until another front is known."""
        view = self._view
        view.now, self._is_member = now, True
        view.publish(view.own)
        self._prober.start(view.rng.random() * self._rules.period_ms)
        self._anti_entropy.start(seeds)
        self._schedule()

    def leave(self, now: float) -> None:
        """Gossips the departure, to some members at once and to others with each tick; stops all else."""
        if not self._is_member:
            return
        self._view.now = now
        self._view.identity.leave()
        self._prober.stop()
        self._anti_entropy.stop()
        self._view.spread(2 * self._rules.fanout)
        self._schedule()

    def on_stall(self, now: float, late_ms: float) -> None:
        """This process was suspended, so answers that are missing are no evidence against other members."""
        if self._is_member and late_ms > self._rules.late_after_ms and self._stalled_at < now - late_ms:
            self._view.now = now
            self._on_stall_detected(late_ms)
            self._schedule()

    def _on_stall_detected(self, late_ms: float) -> None:
        view = self._view
        self._stalled_at = view.now
        if view.own.living:
            view.awareness.increase(math.ceil(late_ms / self._rules.period_ms))
            view.suspicions.restart(view.now)
            view.identity.on_stall(view.now)
            self._prober.start(self._rules.period_ms)
            self._anti_entropy.on_stall()

    def _advance_clock(self, now: float) -> None:
        self._view.now = now
        if self._deadline is not None and now - self._deadline > self._rules.late_after_ms:
            self._on_stall_detected(now - self._deadline)

    # --- the state machine ---

    def on_message(self, now: float, sender: str, message: Message) -> None:
        if not self._is_member or not self._view.own.living:
            return
        self._advance_clock(now)
        if isinstance(message, Ping):
            self._prober.on_ping(sender, message)
        elif isinstance(message, Ack):
            self._prober.on_ack(sender, message)
        elif isinstance(message, PingRequest):
            self._prober.on_ping_request(sender, message)
        elif isinstance(message, Nack):
            self._prober.on_nack(sender, message)
        elif isinstance(message, Gossip):
            self._view.apply(message.updates)
        elif isinstance(message, Sync):
            self._anti_entropy.on_sync(sender, message)
        elif isinstance(message, Rows):
            self._anti_entropy.on_rows(sender, message)
        self._schedule()

    def tick(self, now: float) -> None:
        if not self._is_member:
            return
        self._advance_clock(now)
        if self._view.own.living:
            self._anti_entropy.tick()
            self._prober.tick()
        if self._view.next_gossip_at() <= now:
            self._view.spread(self._rules.fanout)
        self._schedule()

    def next_deadline(self) -> float | None:
        return self._deadline

    def take_effects(self) -> list[Effect]:
        return self._view.out.take_effects()

    def _schedule(self) -> None:
        deadline = self._view.next_gossip_at()
        if self._view.own.living:
            deadline = min(deadline, self._prober.next_deadline(), self._anti_entropy.next_deadline())
        self._deadline = max(deadline, self._view.now) if deadline < math.inf else None
