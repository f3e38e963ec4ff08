"""Messages between fronts about facts and transfers, with the limits that a decoder can check."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

from fernweir.peers.base import Message
from fernweir.peers.facts.rules import MAX_KEY_LENGTH, MAX_NUMBER, MAX_VALUE_BYTES

Name = Annotated[str, Meta(min_length=1, max_length=255)]
Key = Annotated[str, Meta(pattern=r"^[A-Za-z0-9._:/-]+\Z", max_length=MAX_KEY_LENGTH)]
Value = Annotated[bytes, Meta(max_length=MAX_VALUE_BYTES)]
Number = Annotated[int, Meta(ge=0, le=MAX_NUMBER)]
Version = Annotated[int, Meta(ge=1, le=MAX_NUMBER)]
Checksum = Annotated[int, Meta(ge=0, le=2**63 - 1)]
BucketCount = Annotated[int, Meta(ge=1, le=256)]
BlobName = Annotated[str, Meta(min_length=1, max_length=255)]
Digest = Annotated[bytes, Meta(min_length=32, max_length=32)]


class Entry(Struct, frozen=True, array_like=True):
    """How much a front has of an owner: all versions up to `seen`, and no tombstones up to `floor`."""

    owner: Name
    life: Number = 0
    seen: Number = 0
    floor: Number = 0


class Record(Struct, frozen=True, array_like=True):
    """A fact, or without a value the drop of one. `age_ms` is its age when it was sent."""

    key: Key
    version: Version
    age_ms: Number
    value: Value | None


class Part(Struct, frozen=True, array_like=True):
    """All records of an owner after version `since`, in order, up to the version of the last one."""

    owner: Name
    life: Number
    since: Number
    floor: Number
    records: Annotated[tuple[Record, ...], Meta(min_length=1, max_length=1_024)]


Entries = Annotated[tuple[Entry, ...], Meta(max_length=1_024)]


class Compare(Message, frozen=True, array_like=True, tag="f.c"):
    """Opens a round with the owners that changed recently, and in a repair a checksum of everything known.

    `owner_count` is the number of owners that the sender has; the number of buckets is chosen for the larger
    of the two fronts' counts.
    """

    entries: Entries
    checksum: Checksum | None = None
    owner_count: Number = 0


class BucketChecksums(Message, frozen=True, array_like=True, tag="f.b"):
    """Answers a total checksum that differs, with the checksums of buckets of owners, 4 bytes each.

    `wants` has the meaning that it has in `Want`.
    """

    checksums: Annotated[bytes, Meta(min_length=4, max_length=1_024)]
    wants: Entries


class BucketEntries(Message, frozen=True, array_like=True, tag="f.l"):
    """All entries of the owners in some of `bucket_count` buckets; the sender has no other owners in them."""

    bucket_count: BucketCount
    buckets: Annotated[tuple[Annotated[int, Meta(ge=0, le=255)], ...], Meta(max_length=256)]
    entries: Entries


class Want(Message, frozen=True, array_like=True, tag="f.w"):
    """Requests what is newer than these entries."""

    entries: Entries


class Delta(Message, frozen=True, array_like=True, tag="f.d"):
    """Records that the receiver lacks. `has_more`: not all of them could be sent now."""

    parts: Annotated[tuple[Part, ...], Meta(max_length=1_024)]
    has_more: bool = False


class PushedRecord(Struct, frozen=True, array_like=True):
    """One urgent record of an owner."""

    owner: Name
    life: Number
    record: Record


class Push(Message, frozen=True, array_like=True, tag="f.n"):
    """Urgent facts, which each front pushes on when it receives them for the first time."""

    items: Annotated[tuple[PushedRecord, ...], Meta(max_length=256)]


class Offer(Message, frozen=True, array_like=True, tag="x.o"):
    """Offers a blob, which all later messages identify by its BLAKE2b digest."""

    name: BlobName
    digest: Digest
    size: Number


class Ready(Message, frozen=True, array_like=True, tag="x.r"):
    """The receiver has everything before `offset`; bytes before `limit` may be sent."""

    name: BlobName
    digest: Digest
    offset: Number
    limit: Number


class Chunk(Message, frozen=True, array_like=True, tag="x.c"):
    """Bytes of a blob, beginning at `offset`."""

    name: BlobName
    digest: Digest
    offset: Number
    data: Annotated[bytes, Meta(min_length=1, max_length=262_144)]


class Done(Message, frozen=True, array_like=True, tag="x.d"):
    """The receiver has the complete blob."""

    name: BlobName
    digest: Digest


class Refused(Message, frozen=True, array_like=True, tag="x.f"):
    """The receiver refuses the blob. `may_retry`: it may be offered again later."""

    name: BlobName
    digest: Digest
    reason: Annotated[str, Meta(max_length=255)]
    may_retry: bool


class Cancel(Message, frozen=True, array_like=True, tag="x.x"):
    """The sender withdraws its offer."""

    name: BlobName
    digest: Digest


FACT_KINDS = (Compare, BucketChecksums, BucketEntries, Want, Delta, Push)
TRANSFER_KINDS = (Offer, Ready, Chunk, Done, Refused, Cancel)
KINDS = (*FACT_KINDS, *TRANSFER_KINDS)
