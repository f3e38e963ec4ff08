"""What holders and keepers say to one another; each message carries any number of channels up to ITEMS.

`life` is always the asking holder's, so that of two fronts with one name each knows which answers are its.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from fernweir.peers.base import Message

ITEMS = 24  # a renewal of so many fits a datagram

Channel = Annotated[str, Meta(min_length=1, max_length=160)]
Name = Annotated[str, Meta(max_length=64)]
Number = Annotated[int, Meta(ge=0, le=2**63 - 1)]
Span = Annotated[float, Meta(ge=0, le=86_400_000.0)]
Sets = Annotated[tuple[Number, ...], Meta(min_length=1, max_length=2)]


class Item(msgspec.Struct, frozen=True, array_like=True):
    """A channel with its ballot and fence; which of the two counts depends on the message."""

    channel: Channel
    ballot: Number = 0
    fence: Number = 0


class No(msgspec.Struct, frozen=True, array_like=True):
    """Why a keeper does not: `by` holds it or is waited for, for `left_ms` more by the keeper's clock.

    `ballot` repeats the asked one, `seen` is the highest ballot the keeper promised, `fence` the holder's.
    """

    channel: Channel
    why: Annotated[str, Meta(max_length=16)]
    ballot: Number = 0
    by: Name = ""
    fence: Number = 0
    left_ms: Span = 0.0
    seen: Number = 0


Items = Annotated[tuple[Item, ...], Meta(max_length=ITEMS)]
Noes = Annotated[tuple[No, ...], Meta(max_length=ITEMS)]


class Prepare(Message, frozen=True, array_like=True, tag="lp"):
    """Holder: promise me these ballots, and say the highest fence you know. `sets`: versions in force."""

    life: Number
    sets: Sets
    items: Items


class Promised(Message, frozen=True, array_like=True, tag="lP"):
    """Keeper: `fence` of each item is what a new one must be above."""

    life: Number
    items: Items


class Propose(Message, frozen=True, array_like=True, tag="lo"):
    """Holder: grant me these under these fences for `span_ms`."""

    life: Number
    sets: Sets
    span_ms: Span
    items: Items


class Granted(Message, frozen=True, array_like=True, tag="lG"):
    life: Number
    items: Items


class Renew(Message, frozen=True, array_like=True, tag="lr"):
    """Holder: I hold these under these fences; grant them for `span_ms` more. `turn` numbers the question."""

    life: Number
    sets: Sets
    span_ms: Span
    turn: Number
    items: Items


class Extended(Message, frozen=True, array_like=True, tag="lE"):
    """Keeper: all that was asked in this turn, but for these."""

    life: Number
    turn: Number
    noes: Noes = ()


class Refused(Message, frozen=True, array_like=True, tag="lN"):
    """Keeper: no promise or no grant for these."""

    life: Number
    noes: Noes


class Release(Message, frozen=True, array_like=True, tag="lx"):
    """Holder: these are not mine any more. Each waits `reserve_ms` for the front `to`, if one is named.

    An item with a ballot is of an attempt that failed: its fence was never believed in, and is undone.
    """

    life: Number
    turn: Number
    items: Items
    to: Name = ""
    reserve_ms: Span = 0.0


class Released(Message, frozen=True, array_like=True, tag="lX"):
    life: Number
    turn: Number


class Recall(Message, frozen=True, array_like=True, tag="lq"):
    """Keeper to keeper: what is the highest fence you know, and which sets are in force for you?"""


class Recalled(Message, frozen=True, array_like=True, tag="lQ"):
    """`sets`: without all of these versions in a question this keeper promises and grants nothing."""

    floor: Number
    sets: Annotated[tuple[Number, ...], Meta(min_length=1, max_length=4)]


KINDS = (
    Prepare,
    Promised,
    Propose,
    Granted,
    Renew,
    Extended,
    Refused,
    Release,
    Released,
    Recall,
    Recalled,
)
