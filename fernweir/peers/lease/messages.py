"""Messages between holders and keepers; each carries up to MAX_ITEMS channels.

`life` is always that of the requesting holder, so that two fronts with one name can tell their answers apart.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from fernweir.peers.base import Message

MAX_ITEMS = 24  # a renewal of this many channels fits a datagram

Channel = Annotated[str, Meta(min_length=1, max_length=160)]
Name = Annotated[str, Meta(max_length=64)]
Number = Annotated[int, Meta(ge=0, le=2**63 - 1)]
Span = Annotated[float, Meta(ge=0, le=86_400_000.0)]
Sets = Annotated[tuple[Number, ...], Meta(min_length=1, max_length=2)]


class Item(msgspec.Struct, frozen=True, array_like=True):
    """A channel with its ballot and fence; the kind of the message decides which of the two is used."""

    channel: Channel
    ballot: Number = 0
    fence: Number = 0


class Refusal(msgspec.Struct, frozen=True, array_like=True):
    """Why a keeper refuses a channel.

    `by` holds the channel or has it reserved, for `remaining_ms` more by the keeper's clock. `ballot` repeats
    the requested ballot, `promised_ballot` is the highest that the keeper promised, `fence` is the holder's.
    """

    channel: Channel
    why: Annotated[str, Meta(max_length=16)]
    ballot: Number = 0
    by: Name = ""
    fence: Number = 0
    remaining_ms: Span = 0.0
    promised_ballot: Number = 0


Items = Annotated[tuple[Item, ...], Meta(max_length=MAX_ITEMS)]
Refusals = Annotated[tuple[Refusal, ...], Meta(max_length=MAX_ITEMS)]


class Prepare(Message, frozen=True, array_like=True, tag="lp"):
    """A holder requests promises of ballots. `sets` has the versions of the keeper sets in force."""

    life: Number
    sets: Sets
    items: Items


class Promised(Message, frozen=True, array_like=True, tag="lP"):
    """A keeper promises the ballots; a proposed fence must be above `fence` of its item."""

    life: Number
    items: Items


class Propose(Message, frozen=True, array_like=True, tag="lo"):
    """A holder requests leases under these fences for `span_ms`."""

    life: Number
    sets: Sets
    span_ms: Span
    items: Items


class Granted(Message, frozen=True, array_like=True, tag="lG"):
    """A keeper grants the proposed items."""

    life: Number
    items: Items


class Renew(Message, frozen=True, array_like=True, tag="lr"):
    """A holder requests `span_ms` more for held leases. `request_id` identifies the request."""

    life: Number
    sets: Sets
    span_ms: Span
    request_id: Number
    items: Items


class Extended(Message, frozen=True, array_like=True, tag="lE"):
    """A keeper extends all leases of the request except those in `refusals`."""

    life: Number
    request_id: Number
    refusals: Refusals = ()


class Refused(Message, frozen=True, array_like=True, tag="lN"):
    """A keeper refuses promises or grants."""

    life: Number
    refusals: Refusals


class Release(Message, frozen=True, array_like=True, tag="lx"):
    """A holder gives up channels; each is reserved for the front `to` for `reserve_ms`, if one is named.

    An item with a ballot is of a failed attempt: its fence was never in use, and the grant is undone.
    """

    life: Number
    request_id: Number
    items: Items
    to: Name = ""
    reserve_ms: Span = 0.0


class Released(Message, frozen=True, array_like=True, tag="lX"):
    """A keeper confirms a release."""

    life: Number
    request_id: Number


class Recall(Message, frozen=True, array_like=True, tag="lq"):
    """A keeper requests another keeper's highest known fence and the versions of its keeper sets."""


class Recalled(Message, frozen=True, array_like=True, tag="lQ"):
    """The answer to `Recall`; this keeper refuses every request that does not name all versions in `sets`."""

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
