"""What members say to one another. All bounds that a field can state are checked as it is decoded.

`Ping`, `Ack`, `Gossip` carry news (`Record`); `Sync` compares two tables by sums, and `Rows` answers with
the parts that differ. A front that joins sends a `Sync` without sums, for which all parts differ.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated

import msgspec

from fernweir.peers.base import Address, Message

LIFE_MOST = 2**48 - 1
INCARNATION_MOST = 2**31 - 1
PARTS = 32  # a table is compared in this many parts
ROWS_MOST = 512  # in one message

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
Host = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]
Life = Annotated[int, msgspec.Meta(ge=0, le=LIFE_MOST)]
Incarnation = Annotated[int, msgspec.Meta(ge=0, le=INCARNATION_MOST)]
Format = Annotated[int, msgspec.Meta(ge=1, le=65_535)]
Seq = Annotated[int, msgspec.Meta(ge=0, lt=2**62)]
Sum = Annotated[int, msgspec.Meta(ge=0, lt=2**32)]
Part = Annotated[int, msgspec.Meta(ge=0, lt=PARTS)]


class State(IntEnum):
    """Of two statements of one life and incarnation the one with the higher state holds."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Record(msgspec.Struct, frozen=True, array_like=True):
    """What is said of a member. `by` is who suspects it; `low` to `high` are the message formats it reads."""

    name: Name
    state: State
    life: Life
    incarnation: Incarnation
    host: Host
    port: Port
    low: Format = 1
    high: Format = 1
    by: Annotated[str, msgspec.Meta(max_length=64)] = ""

    def __post_init__(self) -> None:
        if self.low > self.high:
            raise ValueError("formats end before they begin")

    @property
    def key(self) -> tuple[int, int, int]:
        """Of two records of a name the one with the higher key holds, whatever order they came in."""
        return (self.life, self.incarnation, self.state)

    @property
    def address(self) -> Address:
        return (self.host, self.port)

    @property
    def living(self) -> bool:
        return self.state <= State.SUSPECT


News = Annotated[tuple[Record, ...], msgspec.Meta(max_length=256)]


class Ping(Message, frozen=True, tag="m.ping"):
    """Is `to` alive at this address? Answered to the address in `me`, the record of who asks."""

    seq: Seq
    to: Name
    me: Record
    news: News = ()


class PingRequest(Message, frozen=True, tag="m.ask"):
    """Probe this member for me; answered by `Ack` with this `seq`, or `Nack` if it does not answer soon."""

    seq: Seq
    name: Name
    host: Host
    port: Port


class Ack(Message, frozen=True, tag="m.ack"):
    """The answer to a probe; `life` is that of who was probed, also when a helper passes it on."""

    seq: Seq
    life: Life
    news: News = ()


class Nack(Message, frozen=True, tag="m.nack"):
    """A helper works, but heard nothing of who was to be probed."""

    seq: Seq


class Gossip(Message, frozen=True, tag="m.gossip"):
    news: News


class Sync(Message, frozen=True, tag="m.sync"):
    """Sums over the parts of the sender's table; none if it has just come and wants all."""

    me: Record
    sums: Annotated[tuple[Sum, ...], msgspec.Meta(max_length=PARTS)] = ()


class Rows(Message, frozen=True, tag="m.rows"):
    """Records of some parts of a table. `ask`: what the reader knows better of these parts is wanted back."""

    rows: Annotated[tuple[Record, ...], msgspec.Meta(max_length=ROWS_MOST)]
    parts: Annotated[tuple[Part, ...], msgspec.Meta(max_length=PARTS)] = ()
    ask: bool = False


KINDS = (Ping, PingRequest, Ack, Nack, Gossip, Sync, Rows)
