"""What fronts say to one another about who is behind."""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated

import msgspec
from msgspec import Meta

from fernweir.peers.acts.versions import Versions
from fernweir.peers.base import Message

DATA_MOST = 900_000  # bytes of a part, so that it fits one frame
NAMES_MOST = 64
EPOCH_BYTES = 8

Name = Annotated[str, Meta(min_length=1, max_length=64)]
Life = Annotated[int, Meta(ge=0, lt=1 << 62)]
Content = Annotated[bytes, Meta(max_length=16)]


class Kind(StrEnum):
    """What a front may be behind in. The program and the format of messages make nobody late."""

    BOXES = "boxes"
    SETTINGS = "settings"
    KEYS = "keys"


def content_of(versions: Versions, kind: Kind) -> bytes:
    """What tells one state from another: a digest, or the epoch in 8 bytes, big endian; b"" for none yet."""
    if kind is Kind.SETTINGS:
        return versions.epoch.to_bytes(EPOCH_BYTES, "big")
    return versions.boxes if kind is Kind.BOXES else versions.keys


class CatchUpData(Message, frozen=True, array_like=True, tag="late.part"):
    """What the receiver lacks. `data` is the joiner's own format; empty for notices of settings and keys."""

    life: Life  # of the receiver
    kind: Kind
    content: Content
    data: Annotated[bytes, Meta(max_length=DATA_MOST)] = b""


class CatchUpDone(Message, frozen=True, array_like=True, tag="late.brought"):
    """To who sent a part: this is what the front has now."""

    kind: Kind
    content: Content


class VoteEntry(msgspec.Struct, frozen=True, array_like=True):
    """One front, in one life, and what it is behind in."""

    name: Name
    life: Life
    kinds: Annotated[tuple[Kind, ...], Meta(min_length=1, max_length=len(Kind))]


class Votes(Message, frozen=True, array_like=True, tag="late.votes"):
    """All whom a keeper votes against now. The latest by (life, at) counts, whatever comes later."""

    life: Life  # of the keeper
    at: Annotated[float, Meta(ge=-1e15, le=1e15)]  # ms of the keeper's own clock
    against: Annotated[tuple[VoteEntry, ...], Meta(max_length=NAMES_MOST)]


class EvidenceReport(Message, frozen=True, array_like=True, tag="late.seen"):
    """To keepers: a front whose acts contradict its word acted on this, at most `age_ms` ago."""

    name: Name
    life: Life
    versions: Versions
    age_ms: Annotated[float, Meta(ge=0, le=600_000.0)]


KINDS = (CatchUpData, CatchUpDone, Votes, EvidenceReport)
