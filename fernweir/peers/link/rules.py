"""What links may cost, and what became of what they were given."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum

from fernweir.peers.wire.gate import GateRules


@dataclass(frozen=True, slots=True)
class LinkRules:
    """Times in ms, sizes in bytes. `rate` is bytes a second over all peers, `burst` what may go at once.

    `numeric` refuses addresses with names in them: looking one up would stop the loop.
    """

    datagram: int = 1_400
    rate: float = 1_000_000.0
    burst: float = 500_000.0
    queue: int = 4_194_304  # waiting for one peer
    queues: int = 33_554_432  # waiting for all
    peers: int = 1_024  # that anything waits for
    connections: int = 512
    half_open: int = 64  # accepted, and not proven yet
    connect_ms: float = 2_000.0
    hello_ms: float = 5_000.0
    idle_ms: float = 60_000.0
    stalled_ms: float = 10_000.0  # that a peer may leave what is written to it unread
    retry_ms: float = 100.0
    retry_most_ms: float = 5_000.0
    give_up_ms: float = 30_000.0
    sweep_ms: float = 500.0
    piece: int = 16_384  # of a frame, written at once
    numeric: bool = True
    gate: GateRules = field(default_factory=GateRules)


class Drop(StrEnum):
    """Why something that was to be sent, or came, is gone."""

    ADDRESS = "address"  # the peer's address is not known, or no address
    BUDGET = "budget"  # of bytes a second, for datagrams
    SOCKET = "socket"  # the kernel takes no more datagrams
    QUEUE = "queue"  # too much waits already
    LONG = "long"  # longer than a frame
    LOST = "lost"  # was being written when the connection broke
    GAVE_UP = "gave up"  # no connection came about in time
    FORGOTTEN = "forgotten"  # the peer is gone, or the links were stopped
    FLOOD = "flood"  # datagrams that came and were not looked at
    SEALED = "sealed"  # came, and was not opened
    MALFORMED = "malformed"  # came, and was no body of messages
    FORMAT = "format"  # no format that both sides speak
    OLD_LIFE = "old life"  # came from an earlier life of a peer


@dataclass(slots=True)
class LinkCounts:
    datagrams_in: int = 0
    datagrams_out: int = 0
    frames_in: int = 0
    frames_out: int = 0
    bytes_in: int = 0
    bytes_out: int = 0
    dialled: int = 0
    refused: int = 0  # by the other side, or in time
    accepted: int = 0
    proven: int = 0
    crowded: int = 0  # half-open ones that made room for others
    late: int = 0  # handshakes that took too long
    stalled: int = 0
    strangers: int = 0  # another name than the one that was called
    errors: int = 0  # told by the kernel for datagrams
    dropped: dict[Drop, int] = field(default_factory=lambda: dict.fromkeys(Drop, 0))

    def drop(self, why: Drop, count: int = 1) -> None:
        self.dropped[why] += count


@dataclass(frozen=True, slots=True)
class Identity:
    """Who this front is to others. `keys`: the first seals, any opens; `formats` is (lowest, highest).

    `nonce` gives that many bytes that were never used before; only virtual time may have it from a seed.
    """

    name: str
    life: int
    keys: Sequence[bytes]
    nonce: Callable[[int], bytes]
    formats: tuple[int, int] = (1, 1)
