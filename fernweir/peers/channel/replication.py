"""Replication of channels: `ChannelReplication` contains the sides of the owner and of the standby."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from random import Random

from fernweir.peers.base import Effect, Event, Message, Outbox, Send
from fernweir.peers.channel.messages import (
    Deltas,
    OwnerHeartbeat,
    PayloadPiece,
    PayloadRequest,
    ReplicaAck,
    ReplicaDropped,
    SnapshotPiece,
)
from fernweir.peers.channel.owned import OwnedChannel
from fernweir.peers.channel.payloads import Payloads
from fernweir.peers.channel.rules import ReplicaRules
from fernweir.peers.channel.standby import ChannelReplica, Standby
from fernweir.peers.port import SessionStatus

_MAX_FETCHED = 256  # payloads fetched for hand-offs that no replica refers to


@dataclass(frozen=True, slots=True)
class Outdated(Event):
    """A peer has seen a higher fence: this front no longer replicates its state of the channel."""

    channel: str
    fence: int


class ChannelReplication:
    """Replicates owned channels to their standbys, and stores replicas of the channels of others.

    A channel is either owned here or stored as a replica. Messages of peers are validated beyond their types
    and never raise. Events: `ReplicaCompleted`, `Outdated`, `NeedPayload`.
    """

    def __init__(self, me: str, rules: ReplicaRules | None = None, seed: int = 0) -> None:
        self.me, self.rules = me, rules or ReplicaRules()
        self._out = Outbox()
        self._owned: dict[str, OwnedChannel] = {}
        self._standby = Standby(self.rules, Random(f"replica {me} {seed}"), self._out)
        self._payloads = Payloads(self.rules, self._out)
        self._payload_check_at = 0.0
        self._fetched: dict[bytes, float] = {}

    # --- the owner's side ---

    def own(self, now: float, channel: str, fence: int, statuses: Iterable[SessionStatus]) -> bool:
        """Starts to replicate an owned channel. Returns False if a higher fence is known."""
        owned = self._owned.get(channel)
        if fence < max(self._standby.fence(channel), owned.fence if owned is not None else 0):
            return False
        if owned is not None and owned.fence == fence:
            owned.replace_all(now, statuses)
            return True
        self._standby.forget(channel)
        fresh = OwnedChannel(channel, fence, self.rules, self._out)
        fresh.statuses = {status.session: status for status in statuses}
        self._owned[channel] = fresh
        if owned is not None:
            fresh.set_standbys(now, owned.standby_names())
        return True

    def change(self, now: float, channel: str, status: SessionStatus) -> None:
        """Adds or updates a session of an owned channel."""
        if (owned := self._owned.get(channel)) is not None:
            owned.change(now, status)

    def end(self, now: float, channel: str, session: str) -> None:
        if (owned := self._owned.get(channel)) is not None:
            owned.end(now, session)

    def standbys(self, now: float, channel: str, names: Sequence[str]) -> None:
        """Sets the standbys of an owned channel; a former standby is asked to drop its replica."""
        if (owned := self._owned.get(channel)) is not None:
            owned.set_standbys(now, [name for name in names if name != self.me])

    def close_channel(self, now: float, channel: str) -> None:
        """Ends an owned channel for good; its replicas may be dropped."""
        if (owned := self._owned.pop(channel, None)) is not None:
            owned.announce_closed(now)

    def cede(self, now: float, channel: str, since: float | None = None) -> None:
        """Stops owning a channel. The replicas stay, and this front stores its own state as a replica.

        `since` is the last time at which it certainly owned the channel, if that was before now.
        """
        if (owned := self._owned.pop(channel, None)) is not None:
            as_of = now if since is None else min(since, now)
            self._standby.retain(now, channel, self.me, owned.fence, owned.statuses, as_of)

    def owned(self) -> list[str]:
        return list(self._owned)

    def is_complete_at(self, channel: str, name: str) -> bool:
        """Whether the standby has acknowledged the complete state of an owned channel."""
        owned = self._owned.get(channel)
        return owned is not None and owned.is_complete_at(name)

    # --- the standby's side ---

    def find_replica(self, channel: str) -> ChannelReplica | None:
        return self._standby.find_replica(channel)

    def replicated_channels(self) -> list[str]:
        """Returns the channels with a replica here."""
        return self._standby.channels()

    def fence(self, channel: str) -> int:
        """Returns the highest known fence of a channel, or 0."""
        owned = self._owned.get(channel)
        return max(self._standby.fence(channel), owned.fence if owned is not None else 0)

    # --- payloads ---

    def payload(self, now: float, digest: bytes, data: bytes | None) -> None:
        """Handles the answer to `NeedPayload`; `data` is None if the front no longer has it."""
        self._payloads.on_payload(now, digest, data)

    def payload_of(self, digest: bytes) -> bytes | None:
        return self._payloads.get(digest)

    def fetch(self, now: float, digest: bytes, owner: str) -> None:
        """Fetches a payload for a hand-off, although no replica refers to it, and caches it for a while."""
        if len(self._fetched) < _MAX_FETCHED or digest in self._fetched:
            self._fetched[digest] = now + self.rules.serve_ms
            self._payloads.request(now, digest, owner)

    # --- state machine ---

    def on_message(self, now: float, sender: str, message: Message) -> None:
        if isinstance(message, ReplicaAck):
            self._on_ack(now, sender, message)
        elif isinstance(message, OwnerHeartbeat | Deltas | SnapshotPiece | ReplicaDropped):
            self._on_owner_message(now, sender, message)
        elif isinstance(message, PayloadRequest):
            self._payloads.on_request(now, sender, message)
        elif isinstance(message, PayloadPiece):
            self._payloads.on_piece(now, sender, message)

    def tick(self, now: float) -> None:
        for owned in self._owned.values():
            owned.tick(now)
        self._standby.tick(now)
        self._payloads.tick(now)
        if now >= self._payload_check_at:
            self._payload_check_at = now + self.rules.heartbeat_ms
            self._refresh_payloads(now)

    def next_deadline(self) -> float | None:
        deadlines = [owned.next_deadline() for owned in self._owned.values()]
        deadlines += [self._standby.next_deadline(), self._payloads.next_deadline()]
        if self._standby.channels() or self._fetched or self._payloads.size():
            deadlines.append(self._payload_check_at)
        return min((due for due in deadlines if due is not None), default=None)

    def take_effects(self) -> list[Effect]:
        return self._out.take_effects()

    # --- internals ---

    def _on_ack(self, now: float, sender: str, ack: ReplicaAck) -> None:
        owned = self._owned.get(ack.channel)
        if owned is None:
            return
        if ack.fence > owned.fence:
            self._cede_outdated(now, ack.channel, ack.fence)
        else:
            owned.on_ack(now, sender, ack)

    def _on_owner_message(
        self, now: float, sender: str, message: OwnerHeartbeat | Deltas | SnapshotPiece | ReplicaDropped
    ) -> None:
        owned = self._owned.get(message.channel)
        if owned is not None:
            if message.fence <= owned.fence or isinstance(message, ReplicaDropped):
                self._out.add(Send(sender, ReplicaAck(message.channel, owned.fence, -1, -1, 0, 0)))
                return
            self._cede_outdated(now, message.channel, message.fence)
        self._standby.on_message(now, sender, message)
        # The payload of a new session is useful only if it arrives before the owner is gone.
        self._payload_check_at = min(self._payload_check_at, now + self.rules.flush_ms)

    def _cede_outdated(self, now: float, channel: str, fence: int) -> None:
        self.cede(now, channel)
        self._out.add(Outdated(channel, fence))

    def _refresh_payloads(self, now: float) -> None:
        """Requests missing payloads of the replicas, and removes those that no replica refers to."""
        self._fetched = {digest: until for digest, until in self._fetched.items() if now < until}
        named = set(self._fetched)
        for channel in self._standby.channels():
            digests, owner = self._standby.digests(channel)
            named |= digests
            for digest in digests:
                self._payloads.request(now, digest, owner)
        self._payloads.retain_only(named)
