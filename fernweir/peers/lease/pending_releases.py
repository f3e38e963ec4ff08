"""Pending releases: sent until every keeper has confirmed them or the released leases have expired."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from fernweir.peers.base import Outbox, Send
from fernweir.peers.lease.messages import Item, Release, Released
from fernweir.peers.lease.requests import PendingRelease, batches
from fernweir.peers.lease.rules import KeeperSet, LeaseRules, all_keepers


class PendingReleases:
    """The releases of a holder in flight; bounded, as each lasts for one lease at most."""

    def __init__(self, life: int, rules: LeaseRules, out: Outbox) -> None:
        self._life = life
        self._rules = rules
        self._out = out
        self._last_request_id = 0
        self._in_flight: dict[int, PendingRelease] = {}

    def add(
        self, now: float, sets: Sequence[KeeperSet], items: Sequence[Item], to: str, for_ms: float
    ) -> None:
        for batch in batches(items):
            self._last_request_id += 1
            resend_at = now + self._rules.resend_ms
            pending = PendingRelease(batch, to, now + for_ms, resend_at, all_keepers(sets))
            self._in_flight[self._last_request_id] = pending
            self._send(self._last_request_id, pending)

    def on_released(self, keeper: str, message: Released) -> None:
        pending = self._in_flight.get(message.request_id)
        if pending is not None and keeper in pending.unanswered:
            pending.unanswered.remove(keeper)

    def tick(self, now: float) -> None:
        for request_id, pending in list(self._in_flight.items()):
            if now >= pending.ends_at or not pending.unanswered:
                del self._in_flight[request_id]
            elif now >= pending.resend_at:
                pending.resend_at = now + self._rules.resend_ms
                self._send(request_id, pending)

    def deadlines(self) -> Iterator[float]:
        return (pending.resend_at for pending in self._in_flight.values() if pending.unanswered)

    def _send(self, request_id: int, pending: PendingRelease) -> None:
        reserve_ms = self._rules.reserve_ms if pending.to else 0.0
        for keeper in pending.unanswered:
            release = Release(self._life, request_id, pending.items, pending.to, reserve_ms)
            self._out.add(Send(keeper, release))
