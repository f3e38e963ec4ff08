"""What fronts say to one another about channels. Ages and spans are ms; bounds are checked by the readers."""

from __future__ import annotations

import msgspec

from fernweir.peers.base import Message
from fernweir.peers.port import SessionStatus

# --- an owner's state, at its standbys ---


class Freshness(msgspec.Struct, frozen=True, array_like=True):
    """How fresh what is told is: complete as of `age_ms` before it was sent.

    `echo` is the token of the last `Have` that the owner heard from this standby, heard `held_ms` before:
    by it the standby bounds, on its own clock, how long the message can have been on its way.
    """

    age_ms: float = 0.0
    echo: int = 0
    held_ms: float = 0.0


class OwnerHeartbeat(Message, tag="channel.hail", frozen=True):
    """The owner's word that it owns the channel and has come to `seq`; a standby answers with `Have`."""

    channel: str
    fence: int
    seq: int
    as_of: Freshness


Placement = tuple[int, int, int, int, int]  # box, attempt, rung, answers, spent: what changes while it stands


class Deltas(Message, tag="channel.deltas", frozen=True):
    """What brings a copy from `seq - 1` to `seq`: standings that are new or changed, sessions that ended.

    Of `moved` sessions only the placing changed, as with most notes; the rest of the standing is known.
    """

    channel: str
    fence: int
    seq: int
    changed: list[SessionStatus]
    ended: list[str]
    as_of: Freshness
    moved: list[tuple[str, Placement]] = msgspec.field(default_factory=list)


class SnapshotPiece(Message, tag="channel.piece", frozen=True):
    """One of `count` pieces of all that stood at `seq`; numbers count from 0."""

    channel: str
    fence: int
    seq: int
    number: int
    count: int
    statuses: list[SessionStatus]
    as_of: Freshness


class ReplicaAck(Message, tag="channel.have", frozen=True):
    """What a standby has under this fence: all up to `seq` (-1: nothing), and of the snapshot at `piece_seq`
    its first `pieces`. With `refused` it takes no more of this channel, and says why."""

    channel: str
    fence: int
    seq: int
    piece_seq: int
    pieces: int
    token: int
    refused: str = ""


class ReplicaDropped(Message, tag="channel.dropped", frozen=True):
    """The channel is over, or the receiver is no standby of it any more: its copy may go."""

    channel: str
    fence: int


class PayloadRequest(Message, tag="channel.payload_wanted", frozen=True):
    """Asks for a payload's bytes from `offset` on."""

    digest: bytes
    offset: int


class PayloadPiece(Message, tag="channel.payload_piece", frozen=True):
    """`size` is the whole payload's."""

    digest: bytes
    size: int
    offset: int
    data: bytes


# --- hand-off; all about one offer carry its id, and may come twice or late ---


class Offer(Message, tag="channel.offer", frozen=True):
    """An owner would hand on a channel of `count` sessions, which it holds under `fence`."""

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
    """One of `count` parts of what stands in the channel; numbers count from 0."""

    channel: str
    offer: int
    number: int
    count: int
    statuses: list[SessionStatus]


class HandoffUpdate(Message, tag="channel.late", frozen=True):
    """What changed after the parts were cut: a session's new standing, or without one that it is over."""

    channel: str
    offer: int
    number: int
    session: str
    status: SessionStatus | None = None


class HandoffAck(Message, tag="channel.got", frozen=True):
    """How many parts and how many late changes the heir has, from the first on."""

    channel: str
    offer: int
    parts: int
    updates: int


class HandoffCommit(Message, tag="channel.yours", frozen=True):
    """The old owner has let go of its lease: from now on it only finishes what is out, for `overlap_ms`.

    The heir acts when it has all parts, the first `lates` changes, and the lease above `fence`. `out` are
    the sessions that an attempt is out for.
    """

    channel: str
    offer: int
    fence: int
    updates: int
    overlap_ms: float
    in_flight: list[str]


class TargetActive(Message, tag="channel.acting", frozen=True):
    """The heir has the lease under `fence`, has claimed at the boxes, and steers."""

    channel: str
    offer: int
    fence: int


class Cancel(Message, tag="channel.cancel", frozen=True):
    """That offer is no more, or is not known here."""

    channel: str
    offer: int
    why: str


# --- where a session is ---


class Registered(Message, tag="channel.registered", frozen=True):
    """Sessions that the sender has, each with its channel's fence; `life` is the sender's."""

    incarnation: int
    sessions: list[tuple[str, int]]


class Unregistered(Message, tag="channel.unregistered", frozen=True):
    incarnation: int
    sessions: list[str]


class LocateSession(Message, tag="channel.where", frozen=True):
    number: int
    session: str


class SessionLocation(Message, tag="channel.there", frozen=True):
    """Answers `Where`: the owner's name, empty if not known, with its life and its channel's fence."""

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
