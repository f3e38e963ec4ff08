"""How a holder keeps what it got: one question renews all, and each lapses by the own clock alone."""

from __future__ import annotations

from collections.abc import Iterator

from fernweir.peers.base import Outbox, Send
from fernweir.peers.lease.events import Got, Lease, Lost, Renewed
from fernweir.peers.lease.messages import Extended, Item, Renew
from fernweir.peers.lease.requests import Renewal, cut
from fernweir.peers.lease.rules import KeeperSet, LeaseRules, everyone, versions


class Keeping:
    """Leases believed in, and renewals that are out. `doubts`: why a keeper last refused to extend one."""

    def __init__(self, life: int, rules: LeaseRules, out: Outbox) -> None:
        self._life = life
        self._rules = rules
        self._out = out
        self._doubts: dict[str, str] = {}
        self._renewals: dict[int, Renewal] = {}
        self._turn = 0
        self._renew_at = 0.0
        self.sets: tuple[KeeperSet, ...] = ()
        self.leases: dict[str, Lease] = {}

    def add(self, lease: Lease) -> None:
        renew_at = lease.until - self._rules.own_ms + self._rules.renew_ms
        self._renew_at = min(self._renew_at, renew_at) if self.leases else renew_at
        self.leases[lease.channel] = lease
        self._doubts.pop(lease.channel, None)
        self._out.add(Got(lease))

    def end(self, channel: str, why: str) -> Lease | None:
        lease = self.leases.pop(channel, None)
        doubt = self._doubts.pop(channel, "")
        if lease is not None:
            self._out.add(Lost(channel, lease.fence, why or doubt or "lapsed"))
        return lease

    def change(self, now: float, sets: tuple[KeeperSet, ...]) -> None:
        """What is held stays held; what was asked of the older keepers alone doesn't count."""
        self.sets = sets
        self._renewals.clear()
        self._renew_at = now

    def lapse(self, now: float) -> None:
        """First in every call: what is over by the own clock is lost, whatever comes in now."""
        for channel in [lease.channel for lease in self.leases.values() if now >= lease.until]:
            self.end(channel, "")

    def tick(self, now: float) -> None:
        if self.leases and now >= self._renew_at:
            self._renew(now)
        for turn, renewal in list(self._renewals.items()):
            if now >= renewal.asked_at + self._rules.own_ms:
                del self._renewals[turn]
            elif renewal.unheard and now >= renewal.again_at:
                renewal.again_at = now + self._rules.again_ms
                self._question(turn, renewal)

    def dues(self) -> Iterator[float]:
        if self.leases:
            yield self._renew_at
            yield min(lease.until for lease in self.leases.values())
        yield from (renewal.again_at for renewal in self._renewals.values() if renewal.unheard)

    def extended(self, now: float, keeper: str, message: Extended) -> None:
        renewal = self._renewals.get(message.turn)
        if renewal is None:
            return
        for no in message.noes:
            if no.channel in renewal.fences:
                self._doubts[no.channel] = no.why
        until = renewal.asked_at + self._rules.own_ms
        for channel in renewal.heard(keeper, message.noes):
            lease = self.leases.get(channel)
            if lease is None or lease.fence != renewal.fences[channel]:
                continue
            if renewal.enough(channel, self.sets) and until > lease.until:
                self.leases[channel] = lease = Lease(channel, lease.fence, until)
                self._doubts.pop(channel, None)
                self._out.add(Renewed(lease))

    def _renew(self, now: float) -> None:
        self._renew_at = now + self._rules.renew_ms
        for renewal in self._renewals.values():
            renewal.unheard.clear()  # answers to an older question extend less
        for some in cut([Item(lease.channel, 0, lease.fence) for lease in self.leases.values()]):
            self._turn += 1
            fences = {item.channel: item.fence for item in some}
            renewal = Renewal(now, now + self._rules.again_ms, fences, everyone(self.sets))
            self._renewals[self._turn] = renewal
            self._question(self._turn, renewal)

    def _question(self, turn: int, renewal: Renewal) -> None:
        ask = Renew(self._life, versions(self.sets), self._rules.lease_ms, turn, renewal.items())
        for keeper in renewal.unheard:
            self._out.add(Send(keeper, ask))
