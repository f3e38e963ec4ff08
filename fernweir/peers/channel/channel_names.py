"""Names of channels, the assignment of sessions to them, and the validation of statuses from peers."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b

from fernweir.peers.port import SessionStatus

MAX_PARTS = 4_096
MAX_NAME_LENGTH = 512  # characters of any name in a status, or of a channel's name
MAX_NUMBER = 2**53
FENCE_LIMIT = 2**63  # fences contain incarnations and are larger than any other number


@dataclass(frozen=True, slots=True)
class ChannelName:
    """A parsed channel name: the front and incarnation where its sessions began, and the partition."""

    front: str
    incarnation: int
    part: int


def channel_of(front: str, incarnation: int, session: str, parts: int) -> str:
    """Returns the channel of a session that began at this front, with the same result at every front."""
    digest = blake2b(session.encode("utf-8", "surrogatepass"), digest_size=8).digest()
    return f"{front}:{incarnation}/{int.from_bytes(digest, 'big') % parts}"


def parse(channel: str) -> ChannelName | None:
    """Parses the name of a channel; returns None if it is invalid."""
    if len(channel) > MAX_NAME_LENGTH:
        return None
    front, colon, rest = channel.rpartition(":")
    incarnation, slash, part = rest.partition("/")
    if not (front and colon and slash and _number(incarnation) and _number(part)):
        return None
    return ChannelName(front, int(incarnation), int(part)) if int(part) < MAX_PARTS else None


def payload_digest(data: bytes) -> bytes:
    """Returns the digest of a payload, as in `SessionStatus.payload`."""
    return blake2b(data, digest_size=16).digest()


def is_plausible(status: SessionStatus) -> bool:
    """Whether the values of a status from a peer are within the bounds of any front."""
    names = (status.session, status.via, status.who, status.title, status.cls, status.tenant)
    numbers = (
        status.top_rung, status.key, status.box, status.attempt, status.rung, status.answers,
        status.spent,
    )  # fmt: skip
    return (
        bool(status.session)
        and all(len(name) <= MAX_NAME_LENGTH for name in names)
        and len(status.payload) <= 64
        and all(0 <= number < MAX_NUMBER for number in numbers)
    )


def _number(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= 16
