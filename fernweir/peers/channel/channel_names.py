"""How a front's sessions are cut into channels, and what of a standing is believed from a peer."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b

from fernweir.peers.port import SessionStatus

MAX_PARTS = 4_096
MAX_NAME_LENGTH = 512  # characters of any name in a standing or of a channel's
MAX_NUMBER = 2**53
FENCE_LIMIT = 2**63  # leases mint fences from lives: they are larger than any other number


@dataclass(frozen=True, slots=True)
class ChannelName:
    """A channel's name taken apart: the front and life whose sessions it holds, and which part of them."""

    front: str
    incarnation: int
    part: int


def channel_of(front: str, incarnation: int, session: str, parts: int) -> str:
    """The channel of a session that began at this front in this life, alike wherever it is asked."""
    digest = blake2b(session.encode("utf-8", "surrogatepass"), digest_size=8).digest()
    return f"{front}:{incarnation}/{int.from_bytes(digest, 'big') % parts}"


def parse(channel: str) -> ChannelName | None:
    """None if that is no channel's name."""
    if len(channel) > MAX_NAME_LENGTH:
        return None
    front, colon, rest = channel.rpartition(":")
    incarnation, slash, part = rest.partition("/")
    if not (front and colon and slash and _number(incarnation) and _number(part)):
        return None
    return ChannelName(front, int(incarnation), int(part)) if int(part) < MAX_PARTS else None


def payload_digest(data: bytes) -> bytes:
    """What `SessionStatus.payload` is of the bytes that viewers are answered from."""
    return blake2b(data, digest_size=16).digest()


def is_plausible(status: SessionStatus) -> bool:
    """Whether a peer's standing is within what any front could have; checked beyond its types."""
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
