"""Datagrams on asyncio's DatagramProtocol: a byte budget for sending, a flood gate for receiving.

asyncio reads one datagram per loop iteration, and the iteration costs ten times as much as the read. During a
flood a bounded number of further datagrams is read at once, so that dropping them is cheap and leaves the CPU
to viewers.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from fernweir.peers.base import Address
from fernweir.peers.link.rules import Drop, LinkCounts, LinkRules
from fernweir.peers.wire.bucket import TokenBucket
from fernweir.peers.wire.gate import Gate
from fernweir.peers.wire.seal import Opened, Refusal, RefusalKind, Seal

_MAX_DRAINED_DATAGRAMS = 64


class Datagrams(asyncio.DatagramProtocol):
    """`on_opened` is called with each authenticated datagram, `on_stale` with (sender, incarnation, newest
    incarnation, address) of an authenticated one from a superseded incarnation."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        seal: Seal,
        bucket: TokenBucket,
        rules: LinkRules,
        counts: LinkCounts,
        on_opened: Callable[[Opened], None],
        on_stale: Callable[[str, int, int, Address | None], None],
    ) -> None:
        self.seal, self.gate = seal, Gate(rules.gate)
        self._loop, self._bucket, self._counts = loop, bucket, counts
        self._on_opened, self._on_stale = on_opened, on_stale
        self._transport: asyncio.DatagramTransport | None = None
        self._paused = False
        self._extra_socket: socket.socket | None = None
        self._receive_bytes = max(4_096, 2 * rules.max_datagram_bytes)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport  # type: ignore[assignment]  # the class depends on the event loop
        sock = transport.get_extra_info("socket")
        if sock is not None:
            self._extra_socket = sock.dup()
            self._extra_socket.setblocking(False)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        now = self._loop.time() * 1000.0
        self._handle_datagram(now, data, addr)
        if self._extra_socket is not None and self.gate.is_flooded(now):
            self._drain_socket(now, self._extra_socket)

    def _drain_socket(self, now: float, extra_socket: socket.socket) -> None:
        for _ in range(_MAX_DRAINED_DATAGRAMS):
            try:
                data, addr = extra_socket.recvfrom(self._receive_bytes)
            except OSError:  # nothing more to read
                return
            self._handle_datagram(now, data, addr)

    def _handle_datagram(self, now: float, data: bytes, addr: Address) -> None:
        self._counts.datagrams_in += 1
        self._counts.bytes_in += len(data)
        if not self.gate.admits(now, addr):
            self._counts.drop(Drop.FLOOD)
            return
        found = self.seal.try_open(data)
        if isinstance(found, Refusal):
            self.gate.on_refused(now, addr)
            self._counts.drop(Drop.SEALED)
            if found.kind is RefusalKind.OLD_INCARNATION:
                self._on_stale(found.sender, found.incarnation, found.newest_incarnation, addr)
            return
        self.gate.on_authenticated(addr)
        self._on_opened(found)

    def send(self, body: bytes, message_format: int, address: Address) -> None:
        if self._transport is None or self._transport.is_closing():
            self._counts.drop(Drop.FORGOTTEN)
        elif self._paused:
            self._counts.drop(Drop.SOCKET)
        elif not self._bucket.try_consume(self._loop.time() * 1000.0, len(body) + self.seal.overhead_bytes):
            self._counts.drop(Drop.BUDGET)
        else:
            data = self.seal.seal(body, message_format)
            self._counts.datagrams_out += 1
            self._counts.bytes_out += len(data)
            self._transport.sendto(data, address)

    def error_received(self, exc: Exception) -> None:
        """The destination port is closed, or the kernel could not send: treated as datagram loss."""
        self._counts.socket_errors += 1

    def pause_writing(self) -> None:
        self._paused = True

    def resume_writing(self) -> None:
        self._paused = False

    def connection_lost(self, exc: Exception | None) -> None:
        if self._extra_socket is not None:
            self._extra_socket.close()
            self._extra_socket = None

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()
