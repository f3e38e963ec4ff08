"""A standby's side: copies of channels that others own, whole or on their way, and how old each is.

A copy's age never compares two clocks. The owner says how old what it tells was when it left, and names the
last token that it heard from here with how long ago that was; the rest of the span since that token was
sent, by the own clock, bounds the message's time on its way.
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

_TOKENS = 16  # sent last, whose times are kept for each channel
_SPAN_MOST = 1e9


@dataclass(frozen=True, slots=True)
class ReplicaCompleted(Event):
    """A copy is whole for the first time under this fence."""

    channel: str
    fence: int


@dataclass(slots=True)
class ChannelReplica:
    """What is known of a channel that another owns, or owned. `fence` is that of its content.

    `whole`: nothing that the owner sent under the highest fence heard of is missing from the beginning on.
    """

    channel: str
    owner: str
    fence: int
    statuses: Mapping[str, SessionStatus]
    complete: bool
    as_of: float | None = None  # own clock; None if nothing was proved of its age

    def age_ms(self, now: float) -> float:
        """An upper bound: complete as of so long ago at the least. Infinite where nothing is proved."""
        return float("inf") if self.as_of is None else max(now - self.as_of, 0.0)


@dataclass(slots=True)
class _Kept:
    """One channel at a standby. `fence` is the highest heard of; `seq` and `pieces` are under it."""

    channel: str
    owner: str
    fence: int
    heard_at: float
    copy: ChannelReplica | None = None
    shown: dict[str, SessionStatus] | None = None  # the copy's standings as they are handed out
    statuses: dict[str, SessionStatus] = field(default_factory=dict)
    size: int = 0
    seq: int = -1
    piece_seq: int = -1
    piece_count: int = 0
    pieces: list[list[SessionStatus]] = field(default_factory=list)
    pieces_size: int = 0
    pieces_as_of: float | None = None
    over: bool = False
    tokens: dict[int, float] = field(default_factory=dict)


class Standby:
    """All copies kept here; bounded in number, sessions and bytes."""

    def __init__(self, rules: ReplicaRules, rng: Random, out: Outbox) -> None:
        self.rules, self._rng, self._out = rules, rng, out
        self._kept: dict[str, _Kept] = {}

    def find_replica(self, channel: str) -> ChannelReplica | None:
        """As it is now: what comes later does not change it."""
        kept = self._kept.get(channel)
        if kept is None or kept.copy is None:
            return None
        if kept.shown is None:
            kept.shown = dict(kept.copy.statuses)
        return replace(kept.copy, statuses=kept.shown)

    def channels(self) -> list[str]:
        """Of which there is a copy."""
        return [channel for channel, kept in self._kept.items() if kept.copy is not None]

    def digests(self, channel: str) -> tuple[set[bytes], str]:
        """Of the payloads that a copy names, and whose copy it is."""
        kept = self._kept[channel]
        return {one.payload for one in kept.statuses.values() if one.payload}, kept.owner

    def fence(self, channel: str) -> int:
        """The highest fence heard of, 0 for none."""
        kept = self._kept.get(channel)
        return kept.fence if kept is not None else 0

    def size(self) -> int:
        return sum(kept.size + kept.pieces_size for kept in self._kept.values())

    def forget(self, channel: str) -> None:
        """This front owns the channel now: its copy is of the past."""
        self._kept.pop(channel, None)

    def keep(
        self,
        now: float,
        channel: str,
        owner: str,
        fence: int,
        statuses: Mapping[str, SessionStatus],
        as_of: float,
    ) -> None:
        """A copy of what this front owned, until a later owner's is whole."""
        if not self._room():
            return
        kept = _Kept(channel, owner, fence, now, statuses=dict(statuses))
        kept.size = sum(map(size_of, kept.statuses.values()))
        kept.copy = ChannelReplica(channel, owner, fence, kept.statuses, True, as_of)
        self._kept[channel] = kept

    def on_message(
        self, now: float, sender: str, message: OwnerHeartbeat | Deltas | SnapshotPiece | ReplicaDropped
    ) -> None:
        kept = self._admit(now, sender, message)
        if kept is None:
            return
        kept.heard_at = now
        if isinstance(message, ReplicaDropped):
            self._over(kept)
        elif isinstance(message, OwnerHeartbeat):
            if message.seq == kept.seq >= 0:
                self._fresh(kept, self._as_of(now, kept, message.as_of))
            self._have(now, kept)
        elif isinstance(message, Deltas):
            self._deltas(now, kept, message)
        else:
            self._piece(now, kept, message)

    def tick(self, now: float) -> None:
        for channel, kept in list(self._kept.items()):
            if now >= kept.heard_at + self.rules.keep_ms:
                del self._kept[channel]

    def next_deadline(self) -> float | None:
        return min((kept.heard_at + self.rules.keep_ms for kept in self._kept.values()), default=None)

    # --- whom to believe ---

    def _admit(
        self, now: float, sender: str, message: OwnerHeartbeat | Deltas | SnapshotPiece | ReplicaDropped
    ) -> _Kept | None:
        """The channel's place, if the sender may write to it. A lower fence than one heard of is refused."""
        if not 1 <= message.fence < FENCE_LIMIT:
            return None
        kept = self._kept.get(message.channel)
        if kept is None:
            if parse(message.channel) is None or isinstance(message, ReplicaDropped):
                return None
            if not self._room():
                self._refuse(sender, message, "copies")
                return None
            kept = _Kept(message.channel, sender, message.fence, now)
            self._kept[message.channel] = kept
        if message.fence < kept.fence:
            self._have(now, kept, sender)
            return None
        if message.fence > kept.fence:  # what is known stays until the new owner's state is whole
            kept.owner, kept.fence, kept.over = sender, message.fence, False
            kept.seq = -1
            self._restart(kept, -1, 0)
            if kept.copy is not None:
                kept.copy.complete = False
        return kept if sender == kept.owner and not kept.over else None

    def _room(self) -> bool:
        if len(self._kept) < self.rules.copies_most:
            return True
        past = next((channel for channel, kept in self._kept.items() if kept.over), None)
        if past is not None:
            del self._kept[past]
        return past is not None

    def _over(self, kept: _Kept) -> None:
        """Only the fence stays, so that what comes late begins nothing anew."""
        kept.over, kept.copy, kept.statuses, kept.size, kept.seq = True, None, {}, 0, -1
        self._restart(kept, -1, 0)

    # --- content ---

    def _deltas(self, now: float, kept: _Kept, message: Deltas) -> None:
        moved = [
            with_placement(known, placement)
            for session, placement in message.moved
            if (known := kept.statuses.get(session)) is not None
        ]
        changed = [*message.changed, *moved]
        sound = len(moved) == len(message.moved) and all(map(is_plausible, changed))
        if message.seq == kept.seq + 1 and kept.seq >= 0 and sound:
            for status in changed:
                self._put(kept, status)
            for session in message.ended:
                self._remove(kept, session)
            kept.seq = message.seq
            if self._too_large(kept):
                self._over_bound(kept)
                return
            self._fresh(kept, self._as_of(now, kept, message.as_of))
        self._have(now, kept)

    def _piece(self, now: float, kept: _Kept, message: SnapshotPiece) -> None:
        if message.seq <= kept.seq or not 1 <= message.count <= self.rules.sessions_most:
            self._have(now, kept)
            return
        if message.seq != kept.piece_seq or message.count != kept.piece_count:
            if message.number != 0:  # of one whose beginning was never here
                self._have(now, kept)
                return
            self._restart(kept, message.seq, message.count)
        if message.number == len(kept.pieces) and all(map(is_plausible, message.statuses)):
            kept.pieces.append(message.statuses)
            kept.pieces_size += sum(map(size_of, message.statuses))
            kept.pieces_as_of = self._as_of(now, kept, message.as_of)
            if self._too_large(kept):
                self._over_bound(kept)
                return
            if len(kept.pieces) == message.count:
                self._whole(kept)
        self._have(now, kept)

    def _whole(self, kept: _Kept) -> None:
        kept.statuses = {status.session: status for piece in kept.pieces for status in piece}
        kept.size = sum(map(size_of, kept.statuses.values()))
        kept.seq, kept.shown = kept.piece_seq, None
        known = kept.copy is not None and kept.copy.complete and kept.copy.fence == kept.fence
        kept.copy = ChannelReplica(
            kept.channel, kept.owner, kept.fence, kept.statuses, True, kept.pieces_as_of
        )
        self._restart(kept, kept.piece_seq, 0)
        if not known:
            self._out.add(ReplicaCompleted(kept.channel, kept.fence))

    def _put(self, kept: _Kept, status: SessionStatus) -> None:
        self._remove(kept, status.session)
        kept.shown = None
        kept.statuses[status.session] = status
        kept.size += size_of(status)

    def _remove(self, kept: _Kept, session: str) -> None:
        kept.shown = None
        old = kept.statuses.pop(session, None)
        if old is not None:
            kept.size -= size_of(old)

    def _restart(self, kept: _Kept, seq: int, count: int) -> None:
        kept.piece_seq, kept.piece_count, kept.pieces, kept.pieces_size = seq, count, [], 0

    def _too_large(self, kept: _Kept) -> bool:
        sessions = max(len(kept.statuses), sum(map(len, kept.pieces)))
        return sessions > self.rules.sessions_most or self.size() > self.rules.bytes_most

    def _over_bound(self, kept: _Kept) -> None:
        """Half a copy would be believed whole: it goes, and the owner is told why."""
        kept.copy, kept.statuses, kept.size, kept.seq = None, {}, 0, -1
        self._restart(kept, -1, 0)
        self._out.add(Send(kept.owner, ReplicaAck(kept.channel, kept.fence, -1, -1, 0, 0, "too large")))

    # --- ages and answers ---

    def _as_of(self, now: float, kept: _Kept, told: Freshness) -> float | None:
        sent = kept.tokens.get(told.echo)
        if sent is None or not (0.0 <= told.age_ms < _SPAN_MOST and 0.0 <= told.held_ms < _SPAN_MOST):
            return None
        on_its_way = max(now - sent - told.held_ms * (1.0 - 2.0 * self.rules.drift), 0.0)
        return now - on_its_way - told.age_ms

    def _fresh(self, kept: _Kept, as_of: float | None) -> None:
        if kept.copy is not None and as_of is not None:
            kept.copy.as_of = as_of if kept.copy.as_of is None else max(as_of, kept.copy.as_of)

    def _have(self, now: float, kept: _Kept, to: str = "") -> None:
        token = self._rng.getrandbits(48) + 1
        if not to:
            kept.tokens[token] = now
            if len(kept.tokens) > _TOKENS:
                del kept.tokens[next(iter(kept.tokens))]
        have = ReplicaAck(kept.channel, kept.fence, kept.seq, kept.piece_seq, len(kept.pieces), token)
        self._out.add(Send(to or kept.owner, have))

    def _refuse(
        self, sender: str, message: OwnerHeartbeat | Deltas | SnapshotPiece | ReplicaDropped, why: str
    ) -> None:
        self._out.add(Send(sender, ReplicaAck(message.channel, message.fence, -1, -1, 0, 0, why)))
