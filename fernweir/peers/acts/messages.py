"""What fronts say to one another of their acts: times, blocks for copies, questions and pieces of answers."""

from __future__ import annotations

from typing import Annotated

import msgspec

from fernweir.peers.acts.versions import DIGEST_BYTES, Versions
from fernweir.peers.base import Message
from fernweir.peers.port import AuditEvent

Name = Annotated[str, msgspec.Meta(max_length=200)]
Number = Annotated[int, msgspec.Meta(ge=0, lt=1 << 53)]
Life = Annotated[int, msgspec.Meta(ge=0, lt=1 << 62)]
Digest = Annotated[bytes, msgspec.Meta(max_length=DIGEST_BYTES)]
Ms = Annotated[float, msgspec.Meta(ge=-1e16, le=1e16)]
Value = Annotated[str, msgspec.Meta(max_length=64)] | Annotated[int, msgspec.Meta(ge=0, lt=1 << 62)]
"""A version as it is asked for: a digest in hex, a name, or a number."""


class Ping(Message, frozen=True, tag="acts.ping"):
    """`sent` is the asker's clock."""

    sent: Ms


class Pong(Message, frozen=True, tag="acts.pong"):
    """`sent` as it came; `heard` and `answered` of the answering front's clock in `life`."""

    sent: Ms
    heard: Ms
    answered: Ms
    life: Life


class Keep(Message, frozen=True, tag="acts.keep"):
    """A block of the chain of `life` of `owner`, to be kept; zlib if `packed`.

    `owner` is empty for the sender's own chain; of others only chains whose owner is gone are handed on.
    """

    life: Life
    number: Number
    packed: bool
    data: Annotated[bytes, msgspec.Meta(max_length=1 << 20)]
    owner: Name = ""


class Kept(Message, frozen=True, tag="acts.kept"):
    """These blocks of a chain need not be sent again, nor any in `spans`, nor any before `first`."""

    life: Life
    numbers: Annotated[tuple[Number, ...], msgspec.Meta(max_length=64)]
    first: Number
    spans: Annotated[tuple[tuple[Number, Number], ...], msgspec.Meta(max_length=64)] = ()
    owner: Name = ""


class Select(msgspec.Struct, frozen=True, array_like=True):
    """What of a chain is wanted. Times are ms of the clock of the chain's owner, `until` included.

    With `runs` of a kind of version: each run of acts that rested on one value, not the acts. `context`: so
    many of what the front had heard before go with each row.
    """

    deeds: Annotated[tuple[AuditEvent, ...], msgspec.Meta(max_length=16)] = ()
    session: Name | None = None
    title: Name | None = None
    tenant: Name | None = None
    box: int | None = None
    outcome: Name | None = None
    kind: Annotated[str, msgspec.Meta(max_length=16)] = ""
    value: Value | None = None
    since: Ms | None = None
    until: Ms | None = None
    runs: bool = False
    context: Annotated[int, msgspec.Meta(ge=0, le=100)] = 0


class Ask(Message, frozen=True, tag="acts.ask"):
    """One piece of one shard's answer, from row `row` of block `number` on, no further than block `last`.

    `listing`: say also which copies you hold. Asked again, it is answered again: nothing is remembered.
    """

    id: Number
    owner: Name
    life: Life
    select: Select
    number: Number
    row: Number
    last: Number
    rows: Annotated[int, msgspec.Meta(ge=1, le=4_096)]
    bytes: Annotated[int, msgspec.Meta(ge=1, le=1 << 20)]
    listing: bool = False


class Row(msgspec.Struct, frozen=True, array_like=True):
    """One act; `versions` is its place in the piece's list. `looked_from`: context is whole from then on."""

    number: Number
    row: Number
    at: Ms
    deed: AuditEvent
    session: Name
    title: Name
    tenant: Name
    box: int
    outcome: Name
    versions: Annotated[int, msgspec.Meta(ge=0, le=1 << 16)]
    context: Annotated[tuple[Row, ...], msgspec.Meta(max_length=100)] = ()
    looked_from: Ms | None = None


class Run(msgspec.Struct, frozen=True, array_like=True):
    """Acts that followed one another on one value of a kind of version."""

    value: Value
    first: Ms
    last: Ms
    count: Number
    number: Number


class Cover(msgspec.Struct, frozen=True, array_like=True):
    """What the answering front holds of the chain: spans of block numbers, and what it knows of its head.

    `since` and `until`: the times of the first kept block's first act and of the last one's sealing; the
    digest is the last block's. `wall` and `doubt`: the owner's wall clock, by its own word.
    """

    spans: Annotated[tuple[tuple[Number, Number], ...], msgspec.Meta(max_length=64)]
    since: Ms
    until: Ms
    digest: Digest
    head: Number
    final: bool
    wall: Ms
    doubt: Ms


class Held(msgspec.Struct, frozen=True, array_like=True):
    """A copy that is kept; `wrong`: its holder found that the chain contradicts itself."""

    owner: Name
    life: Life
    first: Number
    last: Number
    wrong: bool = False


class Piece(Message, frozen=True, tag="acts.piece"):
    """A piece of a shard's answer: all from the place asked for up to before the place `next`.

    `more`: there is something behind it. `cover` of None: nothing is held of that chain. `samples` relate
    the owner's clock to that of the answering front in `my_life` (see `clock.Sample`).
    """

    id: Number
    owner: Name
    life: Life
    number: Number
    row: Number
    next_number: Number
    next_row: Number
    more: bool
    cover: Cover | None
    versions: Annotated[tuple[Versions, ...], msgspec.Meta(max_length=4_096)] = ()
    rows: Annotated[tuple[Row, ...], msgspec.Meta(max_length=4_096)] = ()
    runs: Annotated[tuple[Run, ...], msgspec.Meta(max_length=4_096)] = ()
    held: Annotated[tuple[Held, ...], msgspec.Meta(max_length=512)] = ()
    samples: Annotated[tuple[tuple[Ms, Ms, Ms], ...], msgspec.Meta(max_length=32)] = ()
    my_life: Life = 0


KINDS = (Ping, Pong, Keep, Kept, Ask, Piece)
