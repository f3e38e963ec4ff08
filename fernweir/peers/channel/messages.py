"""Messages between fronts about channels. Ages and durations are in ms; the receivers check all bounds."""

from __future__ import annotations

import msgspec

from fernweir.peers.base import Message
from fernweir.peers.port import SessionStatus

# --- replication from an owner to its standbys ---


class Freshness(msgspec.Struct, frozen=True, array_like=True):
    """The freshness of replicated state: it was complete `age_ms` before the message was sent.

    `echo` is the token of the last `ReplicaAck` that the owner received from this standby, and `held_ms` the
    time since then. The standby uses them to bound, on its own clock, the transit time of the message.
    """

    age_ms: float = 0.0
    echo: int = 0
    held_ms: float = 0.0


class OwnerHeartbeat(Message, tag="channel.hail", frozen=True):
    """Announces that the sender owns the channel, at `seq`. A standby answers with `ReplicaAck`."""

    channel: str
    fence: int
    seq: int
    as_of: Freshness


Placement = tuple[
    int, int, int, int, int
]  # server, attempt, rung, answers, spent: the fields that change during a session


class Deltas(Message, tag="channel.deltas", frozen=True):
    """The changes that bring a replica from `seq - 1` to `seq`: new or changed statuses, and ended sessions.

    `moved` sessions are those of which only the placement changed, as with most load reports. The replica
    has the rest of their status already.
    """

    channel: str
    fence: int
    seq: int
    changed: list[SessionStatus]
    ended: list[str]
    as_of: Freshness
    moved: list[tuple[str, Placement]] = msgspec.field(default_factory=list)


class SnapshotPiece(Message, tag="channel.piece", frozen=True):
    """One of the `count` pieces of the snapshot at `seq`. `number` counts from 0."""

    channel: str
    fence: int
    seq: int
    number: int
    count: int
    statuses: list[SessionStatus]
    as_of: Freshness


class ReplicaAck(Message, tag="channel.have", frozen=True):
    """Acknowledges what a standby has under this fence: all changes up to `seq` (-1 for none), and the first
    `pieces` pieces of the snapshot at `piece_seq`.

    A non-empty `refused` is the reason why the standby does not replicate this channel.
    """

    channel: str
    fence: int
    seq: int
    piece_seq: int
    pieces: int
    token: int
    refused: str = ""


class ReplicaDropped(Message, tag="channel.dropped", frozen=True):
    """The channel has ended, or the receiver is no longer its standby: the replica may be deleted."""

    channel: str
    fence: int


class PayloadRequest(Message, tag="channel.payload_wanted", frozen=True):
    """Requests the bytes of a payload from `offset`."""

    digest: bytes
    offset: int


class PayloadPiece(Message, tag="channel.payload_piece", frozen=True):
    """A piece of a payload. `size` is the size of the complete payload in bytes."""

    digest: bytes
    size: int
    offset: int
    data: bytes


# --- hand-off; messages carry the id of their offer and may be duplicated or delayed ---


class Offer(Message, tag="channel.offer", frozen=True):
    """Offers a channel of `count` sessions, which the sender owns under `fence`."""

    channel: str
    offer: int
    fence: int
    count: int


class Accept(Message, tag="channel.accept", frozen=True):
    channel: str
    offer: int


class Decline(Message, tag="channel.decline", frozen=True):
    channel: str
    offer: int
    why: str


class HandoffPart(Message, tag="channel.moved", frozen=True):
    """One of the `count` parts of the statuses of a channel. `number` counts from 0."""

    channel: str
    offer: int
    number: int
    count: int
    statuses: list[SessionStatus]


class HandoffUpdate(Message, tag="channel.late", frozen=True):
    """A change since the parts were created: the new status of a session, or None if it has ended."""

    channel: str
    offer: int
    number: int
    session: str
    status: SessionStatus | None = None


class HandoffAck(Message, tag="channel.got", frozen=True):
    """Acknowledges the number of consecutive parts and updates that the target has, from the first."""

    channel: str
    offer: int
    parts: int
    updates: int


class HandoffCommit(Message, tag="channel.yours", frozen=True):
    """The source has released its lease. For `overlap_ms` it only finishes the attempts in flight.

    The target becomes active when it has all parts, the first `updates` updates, and the lease above `fence`.
    `in_flight` lists the sessions with an attempt in flight.
    """

    channel: str
    offer: int
    fence: int
    updates: int
    overlap_ms: float
    in_flight: list[str]


class TargetActive(Message, tag="channel.acting", frozen=True):
    """The target has the lease under `fence`, has claimed the channel at the servers, and steers it."""

    channel: str
    offer: int
    fence: int


class Cancel(Message, tag="channel.cancel", frozen=True):
    """The offer has ended, or the sender does not know it."""

    channel: str
    offer: int
    why: str


# --- lookup of sessions ---


class Registered(Message, tag="channel.registered", frozen=True):
    """Registers sessions of the sender, each with the fence of its channel, and the sender's incarnation."""

    incarnation: int
    sessions: list[tuple[str, int]]


class Unregistered(Message, tag="channel.unregistered", frozen=True):
    incarnation: int
    sessions: list[str]


class LocateSession(Message, tag="channel.where", frozen=True):
    number: int
    session: str


class SessionLocation(Message, tag="channel.there", frozen=True):
    """Answers `LocateSession` with the owner, empty if unknown, its incarnation, and the channel's fence."""

    number: int
    session: str
    owner: str = ""
    incarnation: int = 0
    fence: int = 0


KINDS = (
    OwnerHeartbeat, Deltas, SnapshotPiece, ReplicaAck, ReplicaDropped, PayloadRequest, PayloadPiece,
    Offer, Accept, Decline, HandoffPart, HandoffUpdate, HandoffAck, HandoffCommit, TargetActive, Cancel,
    Registered, Unregistered, LocateSession, SessionLocation,
)  # fmt: skip
