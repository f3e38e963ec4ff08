"""The side of a standby: replicas of channels that others own, complete or in transfer, and their ages.

The age of a replica never compares two clocks. The owner sends the age of the state at the time of sending,
the last token that it received from this standby, and the time since then. The rest of the time since that
token was sent, by the local clock, bounds the transit time of the message.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from random import Random

from fernweir.peers.base import Event, Outbox, Send
from fernweir.peers.channel.channel_names import FENCE_LIMIT, is_plausible, parse
from fernweir.peers.channel.messages import (
    Deltas,
    Freshness,
    OwnerHeartbeat,
    ReplicaAck,
    ReplicaDropped,
    SnapshotPiece,
)
from fernweir.peers.channel.owned import size_of, with_placement
from fernweir.peers.channel.rules import ReplicaRules
from fernweir.peers.port import SessionStatus

_MAX_TOKENS = 16  # last tokens whose times are stored, per channel
_MAX_SPAN_MS = 1e9


@dataclass(frozen=True, slots=True)
class ReplicaCompleted(Event):
    """A replica is complete for the first time under this fence."""

    channel: str
    fence: int


@dataclass(slots=True)
class ChannelReplica:
    """The replica of a channel that another front owns or owned. `fence` is the fence of its content.

    `complete`: nothing is missing of what the owner sent under the highest known fence.
    """

    channel: str
    owner: str
    fence: int
    statuses: Mapping[str, SessionStatus]
    complete: bool
    as_of: float | None = None  # local clock; None if the age has no known bound

    def age_ms(self, now: float) -> float:
        """Returns an upper bound for the age of the replica; infinite if there is none."""
        return float("inf") if self.as_of is None else max(now - self.as_of, 0.0)


@dataclass(slots=True)
class _ReplicatedChannel:
    """A channel at a standby. `fence` is the highest known one; `seq` and `pieces` belong to it."""

    channel: str
    owner: str
    fence: int
    last_message_at: float
    replica: ChannelReplica | None = None
    exported: dict[str, SessionStatus] | None = None  # the statuses that callers receive
    statuses: dict[str, SessionStatus] = field(default_factory=dict)
    size: int = 0
    seq: int = -1
    piece_seq: int = -1
    piece_count: int = 0
    pieces: list[list[SessionStatus]] = field(default_factory=list)
    pieces_size: int = 0
    pieces_as_of: float | None = None
    closed: bool = False
    tokens: dict[int, float] = field(default_factory=dict)


class Standby:
    """All replicas of this front; bounded in number, sessions and bytes."""

    def __init__(self, rules: ReplicaRules, rng: Random, out: Outbox) -> None:
        self.rules, self._rng, self._out = rules, rng, out
        self._entries: dict[str, _ReplicatedChannel] = {}

    def find_replica(self, channel: str) -> ChannelReplica | None:
        """Returns the current replica; later messages do not change the returned object."""
        entry = self._entries.get(channel)
        if entry is None or entry.replica is None:
            return None
        if entry.exported is None:
            entry.exported = dict(entry.replica.statuses)
        return replace(entry.replica, statuses=entry.exported)

    def channels(self) -> list[str]:
        """Returns the channels with a replica."""
        return [channel for channel, entry in self._entries.items() if entry.replica is not None]

    def digests(self, channel: str) -> tuple[set[bytes], str]:
        """Returns the digests of the payloads of a replica, and its owner."""
        entry = self._entries[channel]
        return {status.payload for status in entry.statuses.values() if status.payload}, entry.owner

    def fence(self, channel: str) -> int:
        """Returns the highest known fence, or 0."""
        entry = self._entries.get(channel)
        return entry.fence if entry is not None else 0

    def size(self) -> int:
        return sum(entry.size + entry.pieces_size for entry in self._entries.values())

    def forget(self, channel: str) -> None:
        """Deletes a replica whose channel this front owns now."""
        self._entries.pop(channel, None)

    def retain(
        self,
        now: float,
        channel: str,
        owner: str,
        fence: int,
        statuses: Mapping[str, SessionStatus],
        as_of: float,
    ) -> None:
        """Stores the state of a formerly owned channel until the replica of a later owner is complete."""
        if not self._has_capacity():
            return
        entry = _ReplicatedChannel(channel, owner, fence, now, statuses=dict(statuses))
        entry.size = sum(map(size_of, entry.statuses.values()))
        entry.replica = ChannelReplica(channel, owner, fence, entry.statuses, True, as_of)
        self._entries[channel] = entry

    def on_message(
        self, now: float, sender: str, message: OwnerHeartbeat | Deltas | SnapshotPiece | ReplicaDropped
    ) -> None:
        entry = self._admit(now, sender, message)
        if entry is None:
            return
        entry.last_message_at = now
        if isinstance(message, ReplicaDropped):
            self._close(entry)
        elif isinstance(message, OwnerHeartbeat):
            if message.seq == entry.seq >= 0:
                self._update_freshness(entry, self._as_of(now, entry, message.as_of))
            self._send_ack(now, entry)
        elif isinstance(message, Deltas):
            self._apply_deltas(now, entry, message)
        else:
            self._add_piece(now, entry, message)

    def tick(self, now: float) -> None:
        for channel, entry in list(self._entries.items()):
            if now >= entry.last_message_at + self.rules.keep_ms:
                del self._entries[channel]

    def next_deadline(self) -> float | None:
        return min(
            (entry.last_message_at + self.rules.keep_ms for entry in self._entries.values()), default=None
        )

    # --- validation of senders ---

    def _admit(
        self, now: float, sender: str, message: OwnerHeartbeat | Deltas | SnapshotPiece | ReplicaDropped
    ) -> _ReplicatedChannel | None:
        """Returns the channel if the sender may write to it. Fences below the highest known are refused."""
        if not 1 <= message.fence < FENCE_LIMIT:
            return None
        entry = self._entries.get(message.channel)
        if entry is None:
            if parse(message.channel) is None or isinstance(message, ReplicaDropped):
                return None
            if not self._has_capacity():
                self._refuse(sender, message, "copies")
                return None
            entry = _ReplicatedChannel(message.channel, sender, message.fence, now)
            self._entries[message.channel] = entry
        if message.fence < entry.fence:
            self._send_ack(now, entry, sender)
            return None
        if message.fence > entry.fence:  # the old state stays until that of the new owner is complete
            entry.owner, entry.fence, entry.closed = sender, message.fence, False
            entry.seq = -1
            self._restart(entry, -1, 0)
            if entry.replica is not None:
                entry.replica.complete = False
        return entry if sender == entry.owner and not entry.closed else None

    def _has_capacity(self) -> bool:
        if len(self._entries) < self.rules.max_replicas:
            return True
        closed_channel = next((channel for channel, entry in self._entries.items() if entry.closed), None)
        if closed_channel is not None:
            del self._entries[closed_channel]
        return closed_channel is not None

    def _close(self, entry: _ReplicatedChannel) -> None:
        """Deletes all but the fence, so that a delayed message cannot start the replica anew."""
        entry.closed, entry.replica, entry.statuses, entry.size, entry.seq = True, None, {}, 0, -1
        self._restart(entry, -1, 0)

    # --- content ---

    def _apply_deltas(self, now: float, entry: _ReplicatedChannel, message: Deltas) -> None:
        moved = [
            with_placement(known, placement)
            for session, placement in message.moved
            if (known := entry.statuses.get(session)) is not None
        ]
        changed = [*message.changed, *moved]
        is_valid = len(moved) == len(message.moved) and all(map(is_plausible, changed))
        if message.seq == entry.seq + 1 and entry.seq >= 0 and is_valid:
            for status in changed:
                self._put(entry, status)
            for session in message.ended:
                self._remove(entry, session)
            entry.seq = message.seq
            if self._too_large(entry):
                self._reject_too_large(entry)
                return
            self._update_freshness(entry, self._as_of(now, entry, message.as_of))
        self._send_ack(now, entry)

    def _add_piece(self, now: float, entry: _ReplicatedChannel, message: SnapshotPiece) -> None:
        if message.seq <= entry.seq or not 1 <= message.count <= self.rules.max_sessions:
            self._send_ack(now, entry)
            return
        if message.seq != entry.piece_seq or message.count != entry.piece_count:
            if message.number != 0:  # the first piece of this snapshot is missing
                self._send_ack(now, entry)
                return
            self._restart(entry, message.seq, message.count)
        if message.number == len(entry.pieces) and all(map(is_plausible, message.statuses)):
            entry.pieces.append(message.statuses)
            entry.pieces_size += sum(map(size_of, message.statuses))
            entry.pieces_as_of = self._as_of(now, entry, message.as_of)
            if self._too_large(entry):
                self._reject_too_large(entry)
                return
            if len(entry.pieces) == message.count:
                self._complete_snapshot(entry)
        self._send_ack(now, entry)

    def _complete_snapshot(self, entry: _ReplicatedChannel) -> None:
        entry.statuses = {status.session: status for piece in entry.pieces for status in piece}
        entry.size = sum(map(size_of, entry.statuses.values()))
        entry.seq, entry.exported = entry.piece_seq, None
        known = entry.replica is not None and entry.replica.complete and entry.replica.fence == entry.fence
        entry.replica = ChannelReplica(
            entry.channel, entry.owner, entry.fence, entry.statuses, True, entry.pieces_as_of
        )
        self._restart(entry, entry.piece_seq, 0)
        if not known:
            self._out.add(ReplicaCompleted(entry.channel, entry.fence))

    def _put(self, entry: _ReplicatedChannel, status: SessionStatus) -> None:
        self._remove(entry, status.session)
        entry.exported = None
        entry.statuses[status.session] = status
        entry.size += size_of(status)

    def _remove(self, entry: _ReplicatedChannel, session: str) -> None:
        entry.exported = None
        old = entry.statuses.pop(session, None)
        if old is not None:
            entry.size -= size_of(old)

    def _restart(self, entry: _ReplicatedChannel, seq: int, count: int) -> None:
        entry.piece_seq, entry.piece_count, entry.pieces, entry.pieces_size = seq, count, [], 0

    def _too_large(self, entry: _ReplicatedChannel) -> bool:
        sessions = max(len(entry.statuses), sum(map(len, entry.pieces)))
        return sessions > self.rules.max_sessions or self.size() > self.rules.max_bytes

    def _reject_too_large(self, entry: _ReplicatedChannel) -> None:
        """Drops the replica, because a partial one would pass for complete, and reports the reason."""
        entry.replica, entry.statuses, entry.size, entry.seq = None, {}, 0, -1
        self._restart(entry, -1, 0)
        self._out.add(Send(entry.owner, ReplicaAck(entry.channel, entry.fence, -1, -1, 0, 0, "too large")))

    # --- ages and answers ---

    def _as_of(self, now: float, entry: _ReplicatedChannel, freshness: Freshness) -> float | None:
        sent_at = entry.tokens.get(freshness.echo)
        if sent_at is None or not (
            0.0 <= freshness.age_ms < _MAX_SPAN_MS and 0.0 <= freshness.held_ms < _MAX_SPAN_MS
        ):
            return None
        transit_ms = max(now - sent_at - freshness.held_ms * (1.0 - 2.0 * self.rules.drift), 0.0)
        return now - transit_ms - freshness.age_ms

    def _update_freshness(self, entry: _ReplicatedChannel, as_of: float | None) -> None:
        if entry.replica is not None and as_of is not None:
            entry.replica.as_of = as_of if entry.replica.as_of is None else max(as_of, entry.replica.as_of)

    def _send_ack(self, now: float, entry: _ReplicatedChannel, to: str = "") -> None:
        token = self._rng.getrandbits(48) + 1
        if not to:
            entry.tokens[token] = now
            if len(entry.tokens) > _MAX_TOKENS:
                del entry.tokens[next(iter(entry.tokens))]
        ack = ReplicaAck(entry.channel, entry.fence, entry.seq, entry.piece_seq, len(entry.pieces), token)
        self._out.add(Send(to or entry.owner, ack))

    def _refuse(
        self, sender: str, message: OwnerHeartbeat | Deltas | SnapshotPiece | ReplicaDropped, why: str
    ) -> None:
        self._out.add(Send(sender, ReplicaAck(message.channel, message.fence, -1, -1, 0, 0, why)))
