"""What passes between fronts about facts and transfers. What a decoder can check of a value is said here."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

from fernweir.peers.base import Message
from fernweir.peers.facts.rules import KEY_MOST, LIMIT, VALUE_MOST

Name = Annotated[str, Meta(min_length=1, max_length=255)]
Key = Annotated[str, Meta(pattern=r"^[A-Za-z0-9._:/-]+\Z", max_length=KEY_MOST)]
Value = Annotated[bytes, Meta(max_length=VALUE_MOST)]
Number = Annotated[int, Meta(ge=0, le=LIMIT)]
Version = Annotated[int, Meta(ge=1, le=LIMIT)]
Code = Annotated[int, Meta(ge=0, le=2**63 - 1)]
Buckets = Annotated[int, Meta(ge=1, le=256)]
Blob = Annotated[str, Meta(min_length=1, max_length=255)]
Digest = Annotated[bytes, Meta(min_length=32, max_length=32)]


class Entry(Struct, frozen=True, array_like=True):
    """What somebody knows of an owner: all up to version `seen`, and drops forgotten up to `floor`."""

    owner: Name
    life: Number = 0
    seen: Number = 0
    floor: Number = 0


class Record(Struct, frozen=True, array_like=True):
    """A fact, or with no value the drop of one. `age` in ms when it was sent."""

    key: Key
    version: Version
    age: Number
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
    """Opens a round: owners that changed lately, and in a repair a code of all that is known.

    `owners`: of how many, so that buckets are cut for the one of the two that knows more.
    """

    entries: Entries
    total: Code | None = None
    owners: Number = 0


class BucketChecksums(Message, frozen=True, array_like=True, tag="f.b"):
    """The codes differ: here they are by bucket of owners, 4 bytes each. `wants` as in `Want`."""

    codes: Annotated[bytes, Meta(min_length=4, max_length=1_024)]
    wants: Entries


class BucketEntries(Message, frozen=True, array_like=True, tag="f.l"):
    """All that is known of the owners in some of `count` buckets: who is not named there is not known."""

    count: Buckets
    buckets: Annotated[tuple[Annotated[int, Meta(ge=0, le=255)], ...], Meta(max_length=256)]
    entries: Entries


class Want(Message, frozen=True, array_like=True, tag="f.w"):
    """Send what is newer than this."""

    entries: Entries


class Delta(Message, frozen=True, array_like=True, tag="f.d"):
    """`more`: there was more than could be sent now."""

    parts: Annotated[tuple[Part, ...], Meta(max_length=1_024)]
    more: bool = False


class PushedRecord(Struct, frozen=True, array_like=True):
    owner: Name
    life: Number
    record: Record


class Push(Message, frozen=True, array_like=True, tag="f.n"):
    """Urgent facts, pushed on by whoever hears them for the first time."""

    items: Annotated[tuple[PushedRecord, ...], Meta(max_length=256)]


class Offer(Message, frozen=True, array_like=True, tag="x.o"):
    """A blob, named by its BLAKE2b digest in all that follows."""

    name: Blob
    digest: Digest
    size: Number


class Ready(Message, frozen=True, array_like=True, tag="x.r"):
    """Everything before `offset` is here; bytes before `until` may be sent."""

    name: Blob
    digest: Digest
    offset: Number
    until: Number


class Chunk(Message, frozen=True, array_like=True, tag="x.c"):
    name: Blob
    digest: Digest
    offset: Number
    data: Annotated[bytes, Meta(min_length=1, max_length=262_144)]


class Done(Message, frozen=True, array_like=True, tag="x.d"):
    name: Blob
    digest: Digest


class Refused(Message, frozen=True, array_like=True, tag="x.f"):
    """`later`: it may be offered again in a while."""

    name: Blob
    digest: Digest
    why: Annotated[str, Meta(max_length=255)]
    later: bool


class Cancel(Message, frozen=True, array_like=True, tag="x.x"):
    name: Blob
    digest: Digest


FACT_KINDS = (Compare, BucketChecksums, BucketEntries, Want, Delta, Push)
TRANSFER_KINDS = (Offer, Ready, Chunk, Done, Refused, Cancel)
KINDS = (*FACT_KINDS, *TRANSFER_KINDS)
