"""Messages between fronts about stragglers."""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated

import msgspec
from msgspec import Meta

from fernweir.peers.acts.versions import Versions
from fernweir.peers.base import Message

MAX_DATA_BYTES = 900_000  # of one message, which must fit into a frame
MAX_NAMES = 64
EPOCH_BYTES = 8

Name = Annotated[str, Meta(min_length=1, max_length=64)]
Life = Annotated[int, Meta(ge=0, lt=1 << 62)]
Content = Annotated[bytes, Meta(max_length=16)]


class Kind(StrEnum):
    """What a front may be behind in. Its program and message format never make it stale."""

    BOXES = "boxes"
    SETTINGS = "settings"
    KEYS = "keys"


def content_of(versions: Versions, kind: Kind) -> bytes:
    """Returns the digest of a kind, or the epoch in 8 bytes, big endian; b"" if there is none."""
    if kind is Kind.SETTINGS:
        return versions.epoch.to_bytes(EPOCH_BYTES, "big")
    return versions.boxes if kind is Kind.BOXES else versions.keys


class CatchUpData(Message, frozen=True, array_like=True, tag="late.part"):
    """The content that the receiver lacks.

    `data` has the format of the caller; it is empty for notices of settings and keys.
    """

    life: Life  # of the receiver
    kind: Kind
    content: Content
    data: Annotated[bytes, Meta(max_length=MAX_DATA_BYTES)] = b""


class CatchUpDone(Message, frozen=True, array_like=True, tag="late.brought"):
    """Reports to the sender of `CatchUpData` which content the front has now."""

    kind: Kind
    content: Content


class VoteEntry(msgspec.Struct, frozen=True, array_like=True):
    """A vote against one front in one life, with the kinds that it is behind in."""

    name: Name
    life: Life
    kinds: Annotated[tuple[Kind, ...], Meta(min_length=1, max_length=len(Kind))]


class Votes(Message, frozen=True, array_like=True, tag="late.votes"):
    """All current votes of a keeper. The latest by (life, at) counts, in whatever order they arrive."""

    life: Life  # of the keeper
    at: Annotated[float, Meta(ge=-1e15, le=1e15)]  # ms by the keeper's clock
    against: Annotated[tuple[VoteEntry, ...], Meta(max_length=MAX_NAMES)]


class EvidenceReport(Message, frozen=True, array_like=True, tag="late.seen"):
    """Reports to keepers what a front whose actions contradict its facts acted on, at most `age_ms` ago."""

    name: Name
    life: Life
    versions: Versions
    age_ms: Annotated[float, Meta(ge=0, le=600_000.0)]


KINDS = (CatchUpData, CatchUpDone, Votes, EvidenceReport)
