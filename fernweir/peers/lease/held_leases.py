"""Held leases: one request renews all of them, and each expires by the holder's own clock alone."""

from __future__ import annotations

from collections.abc import Iterator

from fernweir.peers.base import Outbox, Send
from fernweir.peers.lease.events import Lease, LeaseAcquired, LeaseLost, LeaseRenewed
from fernweir.peers.lease.messages import Extended, Item, Renew
from fernweir.peers.lease.requests import Renewal, batches
from fernweir.peers.lease.rules import KeeperSet, LeaseRules, all_keepers, versions


class HeldLeases:
    """The valid leases of a holder and its renewals in flight."""

    def __init__(self, life: int, rules: LeaseRules, out: Outbox) -> None:
        self._life = life
        self._rules = rules
        self._out = out
        self._refusal_reasons: dict[str, str] = {}  # by channel, of the last keeper that refused an extension
        self._renewals: dict[int, Renewal] = {}
        self._last_request_id = 0
        self._renew_at = 0.0
        self.sets: tuple[KeeperSet, ...] = ()
        self.leases: dict[str, Lease] = {}

    def add(self, lease: Lease) -> None:
        renew_at = lease.until - self._rules.validity_ms + self._rules.renew_ms
        self._renew_at = min(self._renew_at, renew_at) if self.leases else renew_at
        self.leases[lease.channel] = lease
        self._refusal_reasons.pop(lease.channel, None)
        self._out.add(LeaseAcquired(lease))

    def remove(self, channel: str, why: str) -> Lease | None:
        lease = self.leases.pop(channel, None)
        refusal_reason = self._refusal_reasons.pop(channel, "")
        if lease is not None:
            self._out.add(LeaseLost(channel, lease.fence, why or refusal_reason or "lapsed"))
        return lease

    def change_keepers(self, now: float, sets: tuple[KeeperSet, ...]) -> None:
        """Keeps the leases, and discards renewals that were requested from the previous keepers alone."""
        self.sets = sets
        self._renewals.clear()
        self._renew_at = now

    def expire(self, now: float) -> None:
        """Drops expired leases. Called first in every call, so that a late answer cannot extend one."""
        for channel in [lease.channel for lease in self.leases.values() if now >= lease.until]:
            self.remove(channel, "")

    def tick(self, now: float) -> None:
        if self.leases and now >= self._renew_at:
            self._renew(now)
        for request_id, renewal in list(self._renewals.items()):
            if now >= renewal.asked_at + self._rules.validity_ms:
                del self._renewals[request_id]
            elif renewal.unanswered and now >= renewal.resend_at:
                renewal.resend_at = now + self._rules.resend_ms
                self._send_renewal(request_id, renewal)

    def deadlines(self) -> Iterator[float]:
        if self.leases:
            yield self._renew_at
            yield min(lease.until for lease in self.leases.values())
        yield from (renewal.resend_at for renewal in self._renewals.values() if renewal.unanswered)

    def on_extended(self, now: float, keeper: str, message: Extended) -> None:
        renewal = self._renewals.get(message.request_id)
        if renewal is None:
            return
        for refusal in message.refusals:
            if refusal.channel in renewal.fences:
                self._refusal_reasons[refusal.channel] = refusal.why
        until = renewal.asked_at + self._rules.validity_ms
        for channel in renewal.on_extended(keeper, message.refusals):
            lease = self.leases.get(channel)
            if lease is None or lease.fence != renewal.fences[channel]:
                continue
            if renewal.is_confirmed(channel, self.sets) and until > lease.until:
                self.leases[channel] = lease = Lease(channel, lease.fence, until)
                self._refusal_reasons.pop(channel, None)
                self._out.add(LeaseRenewed(lease))

    def _renew(self, now: float) -> None:
        self._renew_at = now + self._rules.renew_ms
        for renewal in self._renewals.values():
            renewal.unanswered.clear()  # answers to an older request extend by less
        for batch in batches([Item(lease.channel, 0, lease.fence) for lease in self.leases.values()]):
            self._last_request_id += 1
            fences = {item.channel: item.fence for item in batch}
            renewal = Renewal(now, now + self._rules.resend_ms, fences, all_keepers(self.sets))
            self._renewals[self._last_request_id] = renewal
            self._send_renewal(self._last_request_id, renewal)

    def _send_renewal(self, request_id: int, renewal: Renewal) -> None:
        request = Renew(self._life, versions(self.sets), self._rules.lease_ms, request_id, renewal.items())
        for keeper in renewal.unanswered:
            self._out.add(Send(keeper, request))
