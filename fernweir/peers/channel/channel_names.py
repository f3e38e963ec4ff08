"""How a front's sessions are cut into channels, and what of a standing is believed from a peer."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b

from fernweir.peers.port import SessionStatus

PARTS_MOST = 4_096
NAME_MOST = 512  # characters of any name in a standing or of a channel's
NUMBER_MOST = 2**53
FENCE_MOST = 2**63  # leases mint fences from lives: they are larger than any other number


@dataclass(frozen=True, slots=True)
class Cut:
    """A channel's name taken apart: the front and life whose sessions it holds, and which part of them."""

    front: str
    life: int
    part: int


def channel_of(front: str, life: int, session: str, parts: int) -> str:
    """The channel of a session that began at this front in this life, alike wherever it is asked."""
    digest = blake2b(session.encode("utf-8", "surrogatepass"), digest_size=8).digest()
    return f"{front}:{life}/{int.from_bytes(digest, 'big') % parts}"


def parse(channel: str) -> Cut | None:
    """None if that is no channel's name."""
    if len(channel) > NAME_MOST:
        return None
    front, colon, rest = channel.rpartition(":")
    life, slash, part = rest.partition("/")
    if not (front and colon and slash and _number(life) and _number(part)):
        return None
    return Cut(front, int(life), int(part)) if int(part) < PARTS_MOST else None


def payload_digest(data: bytes) -> bytes:
    """What `SessionStatus.payload` is of the bytes that viewers are answered from."""
    return blake2b(data, digest_size=16).digest()


def believable(standing: SessionStatus) -> bool:
    """Whether a peer's standing is within what any front could have; checked beyond its types."""
    names = (standing.session, standing.via, standing.who, standing.title, standing.cls, standing.tenant)
    numbers = (
        standing.top_rung, standing.key, standing.box, standing.attempt, standing.rung, standing.answers,
        standing.spent,
    )  # fmt: skip
    return (
        bool(standing.session)
        and all(len(name) <= NAME_MOST for name in names)
        and len(standing.payload) <= 64
        and all(0 <= number < NUMBER_MOST for number in numbers)
    )


def _number(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= 16
