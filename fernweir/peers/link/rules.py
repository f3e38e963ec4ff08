"""Limits of the links, reasons for dropped messages, counters, and the identity of this front."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum

from fernweir.peers.wire.gate import GateRules


@dataclass(frozen=True, slots=True)
class LinkRules:
    """Times in ms, sizes in bytes. `rate` is bytes per second over all peers, `burst` the bytes sent at once.

    `numeric_addresses_only` rejects addresses with host names: resolving one would block the event loop.
    """

    max_datagram_bytes: int = 1_400
    rate: float = 1_000_000.0
    burst: float = 500_000.0
    max_queue_bytes: int = 4_194_304  # per peer
    max_total_queue_bytes: int = 33_554_432  # over all peers
    max_queued_peers: int = 1_024  # peers with a send queue
    connections: int = 512
    half_open: int = 64  # accepted and not proven yet
    connect_timeout_ms: float = 2_000.0
    hello_timeout_ms: float = 5_000.0
    idle_timeout_ms: float = 60_000.0
    stall_timeout_ms: float = 10_000.0  # how long a peer may leave written bytes unread
    retry_backoff_ms: float = 100.0
    max_retry_backoff_ms: float = 5_000.0
    give_up_ms: float = 30_000.0
    sweep_interval_ms: float = 500.0
    write_chunk_bytes: int = 16_384  # the part of a frame that is written at once
    numeric_addresses_only: bool = True
    gate: GateRules = field(default_factory=GateRules)


class Drop(StrEnum):
    """Why an outgoing or incoming message was dropped."""

    ADDRESS = "address"  # the peer's address is unknown or invalid
    BUDGET = "budget"  # the byte rate for datagrams is exhausted
    SOCKET = "socket"  # the kernel accepts no more datagrams
    QUEUE = "queue"  # a send queue is full
    LONG = "long"  # larger than a frame
    LOST = "lost"  # was being written when the connection was lost
    GAVE_UP = "gave up"  # no connection could be established in time
    FORGOTTEN = "forgotten"  # the peer was removed, or the links were stopped
    FLOOD = "flood"  # received datagrams that were not authenticated because of a flood
    SEALED = "sealed"  # received, and failed authentication or replay protection
    MALFORMED = "malformed"  # received, and not a valid body of messages
    FORMAT = "format"  # there is no message format that both sides support
    OLD_INCARNATION = "old life"  # received from an earlier incarnation of a peer


@dataclass(slots=True)
class LinkCounts:
    datagrams_in: int = 0
    datagrams_out: int = 0
    frames_in: int = 0
    frames_out: int = 0
    bytes_in: int = 0
    bytes_out: int = 0
    dialled: int = 0
    failed_dials: int = 0  # rejected by the peer, or timed out
    accepted: int = 0
    proven: int = 0
    evicted: int = 0  # half-open connections that were closed to admit others
    handshake_timeouts: int = 0  # handshakes that took too long
    stalled: int = 0
    identity_mismatches: int = 0  # the peer has another name than the one that was dialled
    socket_errors: int = 0  # reported by the kernel for datagrams
    dropped: dict[Drop, int] = field(default_factory=lambda: dict.fromkeys(Drop, 0))

    def drop(self, reason: Drop, count: int = 1) -> None:
        self.dropped[reason] += count


@dataclass(frozen=True, slots=True)
class Identity:
    """The identity of this front. The first key seals, any key opens; `formats` is (lowest, highest).

    `nonce(size)` returns bytes that were never used before. Only a virtual clock may derive them from a seed.
    """

    name: str
    incarnation: int
    keys: Sequence[bytes]
    nonce: Callable[[int], bytes]
    formats: tuple[int, int] = (1, 1)
