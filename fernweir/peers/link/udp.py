"""Datagrams on asyncio's DatagramProtocol: a budget for what goes out, a gate for what comes in.

asyncio reads one datagram a turn of its loop, and the turn costs ten times what the reading does. In a flood
a bounded number more is read at once, so that it is dropped for little and viewers keep the processor.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from fernweir.peers.base import Address
from fernweir.peers.link.rules import Drop, LinkCounts, LinkRules
from fernweir.peers.wire.bucket import Bucket
from fernweir.peers.wire.gate import Gate
from fernweir.peers.wire.seal import Kind, Opened, Refused, Seal

_AT_ONCE = 64


class Datagrams(asyncio.DatagramProtocol):
    """`opened` gets what came and is authenticated, `stale` an authenticated (sender, life, newest life,
    address)."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        seal: Seal,
        bucket: Bucket,
        rules: LinkRules,
        counts: LinkCounts,
        opened: Callable[[Opened], None],
        stale: Callable[[str, int, int, Address | None], None],
    ) -> None:
        self.seal, self.gate = seal, Gate(rules.gate)
        self._loop, self._bucket, self._counts = loop, bucket, counts
        self._opened, self._stale = opened, stale
        self._transport: asyncio.DatagramTransport | None = None
        self._paused = False
        self._more: socket.socket | None = None
        self._longest = max(4_096, 2 * rules.datagram)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport  # type: ignore[assignment]  # a loop's own, of any class
        sock = transport.get_extra_info("socket")
        if sock is not None:
            self._more = sock.dup()
            self._more.setblocking(False)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        now = self._loop.time() * 1000.0
        self._take(now, data, addr)
        if self._more is not None and self.gate.flooded(now):
            self._drain(now, self._more)

    def _drain(self, now: float, more: socket.socket) -> None:
        for _ in range(_AT_ONCE):
            try:
                data, addr = more.recvfrom(self._longest)
            except OSError:  # no more is there
                return
            self._take(now, data, addr)

    def _take(self, now: float, data: bytes, addr: Address) -> None:
        self._counts.datagrams_in += 1
        self._counts.bytes_in += len(data)
        if not self.gate.admits(now, addr):
            self._counts.drop(Drop.FLOOD)
            return
        found = self.seal.look(data)
        if isinstance(found, Refused):
            self.gate.failed(now, addr)
            self._counts.drop(Drop.SEALED)
            if found.kind is Kind.OLD_LIFE:
                self._stale(found.sender, found.life, found.newest, addr)
            return
        self.gate.passed(addr)
        self._opened(found)

    def send(self, body: bytes, form: int, address: Address) -> None:
        if self._transport is None or self._transport.is_closing():
            self._counts.drop(Drop.FORGOTTEN)
        elif self._paused:
            self._counts.drop(Drop.SOCKET)
        elif not self._bucket.take(self._loop.time() * 1000.0, len(body) + self.seal.over):
            self._counts.drop(Drop.BUDGET)
        else:
            data = self.seal.seal(body, form)
            self._counts.datagrams_out += 1
            self._counts.bytes_out += len(data)
            self._transport.sendto(data, address)

    def error_received(self, exc: Exception) -> None:
        """The kernel heard that nobody listens there, or could not send: as if it were lost."""
        self._counts.errors += 1

    def pause_writing(self) -> None:
        self._paused = True

    def resume_writing(self) -> None:
        self._paused = False

    def connection_lost(self, exc: Exception | None) -> None:
        if self._more is not None:
            self._more.close()
            self._more = None

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()
