"""Messages between members. The bounds in the type of a field are checked when it is decoded.

`Ping`, `Ack` and `Gossip` carry updates (`Record`). `Sync` compares two tables by checksums, and `Rows`
answers with the parts that differ. A front that joins sends a `Sync` without checksums, so that all parts
differ.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated

import msgspec

from fernweir.peers.base import Address, Message

MAX_LIFE = 2**48 - 1
MAX_INCARNATION = 2**31 - 1
PARTS = 32  # the parts of a table that are compared by checksum
MAX_ROWS = 512  # per message

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
Host = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]
Life = Annotated[int, msgspec.Meta(ge=0, le=MAX_LIFE)]
Incarnation = Annotated[int, msgspec.Meta(ge=0, le=MAX_INCARNATION)]
Format = Annotated[int, msgspec.Meta(ge=1, le=65_535)]
Seq = Annotated[int, msgspec.Meta(ge=0, lt=2**62)]
Sum = Annotated[int, msgspec.Meta(ge=0, lt=2**32)]
Part = Annotated[int, msgspec.Meta(ge=0, lt=PARTS)]


class State(IntEnum):
    """The state of a member. Of two records with one life and incarnation the higher state is valid."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Record(msgspec.Struct, frozen=True, array_like=True):
    """The status of a member. `accuser` suspects it; it reads the message formats from `low` to `high`."""

    name: Name
    state: State
    life: Life
    incarnation: Incarnation
    host: Host
    port: Port
    low: Format = 1
    high: Format = 1
    accuser: Annotated[str, msgspec.Meta(max_length=64)] = ""

    def __post_init__(self) -> None:
        if self.low > self.high:
            raise ValueError(f"lowest format {self.low} is above the highest, {self.high}")

    @property
    def key(self) -> tuple[int, int, int]:
        """Of two records of a name the one with the higher key is valid, whatever order they arrive in."""
        return (self.life, self.incarnation, self.state)

    @property
    def address(self) -> Address:
        return (self.host, self.port)

    @property
    def living(self) -> bool:
        return self.state <= State.SUSPECT


Updates = Annotated[tuple[Record, ...], msgspec.Meta(max_length=256)]


class Ping(Message, frozen=True, tag="m.ping"):
    """Asks whether `to` is alive at this address. The answer goes to the address in `sender_record`."""

    seq: Seq
    to: Name
    sender_record: Record
    updates: Updates = ()


class PingRequest(Message, frozen=True, tag="m.ask"):
    """Asks a helper to probe a member; answered by `Ack` with this `seq`, or `Nack` if it does not answer."""

    seq: Seq
    name: Name
    host: Host
    port: Port


class Ack(Message, frozen=True, tag="m.ack"):
    """The answer to a probe; `life` is that of the probed member, also when a helper forwards it."""

    seq: Seq
    life: Life
    updates: Updates = ()


class Nack(Message, frozen=True, tag="m.nack"):
    """The answer of a helper that got no answer from the probed member."""

    seq: Seq


class Gossip(Message, frozen=True, tag="m.gossip"):
    """Updates without a probe."""

    updates: Updates


class Sync(Message, frozen=True, tag="m.sync"):
    """Checksums of the parts of the sender's table; none if it has just joined and needs all parts."""

    sender_record: Record
    checksums: Annotated[tuple[Sum, ...], msgspec.Meta(max_length=PARTS)] = ()


class Rows(Message, frozen=True, tag="m.rows"):
    """Records of some parts of a table. `wants_newer`: the receiver returns newer records of these parts."""

    rows: Annotated[tuple[Record, ...], msgspec.Meta(max_length=MAX_ROWS)]
    parts: Annotated[tuple[Part, ...], msgspec.Meta(max_length=PARTS)] = ()
    wants_newer: bool = False


KINDS = (Ping, PingRequest, Ack, Nack, Gossip, Sync, Rows)
