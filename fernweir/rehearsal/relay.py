"""The network between fronts: a relay that all their datagrams and connections pass, and that can be broken.

Front N listens at its real address and advertises the relay's address for it. What it sends leaves from its
real IP address, so that the relay knows both ends of every path, and each direction can fail alone.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from random import Random

from fernweir.http.reset import reset
from fernweir.rehearsal.fleet.link import End, Link
from fernweir.rehearsal.fleet.paths import PathFaults

Address = tuple[str, int]

_HELD_DATAGRAMS = 4_096  # on their way, on one path
_CONNECTIONS = 1_024
_TRIES = 32


@dataclass(slots=True, eq=False)
class _Stop:
    """One front, as the relay knows it."""

    name: str
    real: Address
    advertised: Address
    datagrams: asyncio.DatagramTransport
    server: asyncio.Server


class Relay:
    """`add` each front, then change `path(source, target).manner` and call `changed`."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.strangers = 0  # datagrams and connections from an address that belongs to no front
        self.dropped = 0  # for want of room
        self._loop = asyncio.get_running_loop()
        self._stops: dict[str, _Stop] = {}
        self._by_host: dict[str, str] = {}
        self._paths: dict[tuple[str, str], PathFaults] = {}
        self._on_way: dict[tuple[str, str], int] = {}
        self._links: set[Link] = set()
        self._closed = False

    async def add(self, name: str, real: Address, host: str) -> Address:
        """Listens for a front at a free port of `host`; the address is what the front advertises."""
        advertised, datagrams, server = await self._listen(name, host)
        self._stops[name] = _Stop(name, real, advertised, datagrams, server)
        self._by_host[real[0]] = name
        return advertised

    def path(self, source: str, target: str) -> PathFaults:
        """The directed path; its dice are its own, so that paths don't disturb each other."""
        key = (source, target)
        if key not in self._paths:
            self._paths[key] = PathFaults(Random(f"path {self.seed} {source} {target}"))
        return self._paths[key]

    def paths(self, sources: Iterable[str], targets: Iterable[str]) -> Iterator[PathFaults]:
        """All directed paths from one of the first to one of the second."""
        ends = list(targets)
        return (self.path(source, target) for source in sources for target in ends if source != target)

    def changed(self) -> None:
        """A path's manner was changed: what was held back by a cut may go on."""
        for link in list(self._links):
            link.pump()

    def reset(self, source: str, target: str) -> int:
        """Breaks the connections that `source` opened to `target`, so that both ends know."""
        found = [link for link in self._links if link.key == (source, target)]
        for link in found:
            link.broken()
        return len(found)

    def close(self) -> None:
        self._closed = True
        for link in list(self._links):
            link.broken()
        for stop in self._stops.values():
            stop.datagrams.close()
            stop.server.close()

    # --- datagrams ---

    def datagram(self, target: str, data: bytes, sender: Address) -> None:
        source = self._by_host.get(sender[0])
        if source is None:
            self.strangers += 1
            return
        now = self._loop.time() * 1000.0
        for due in self.path(source, target).datagram(now, len(data)):
            key = (source, target)
            if self._on_way.get(key, 0) >= _HELD_DATAGRAMS:
                self.dropped += 1
                continue
            self._on_way[key] = self._on_way.get(key, 0) + 1
            self._loop.call_at(due / 1000.0, self._send, key, data)

    def _send(self, key: tuple[str, str], data: bytes) -> None:
        self._on_way[key] -= 1
        if not self._closed:
            # It comes from where its sender can be answered: the sender's own place at the relay.
            self._stops[key[0]].datagrams.sendto(data, self._stops[key[1]].real)

    # --- connections ---

    def accepted(self, near: End, target: str) -> None:
        """Somebody connected to what `target` advertises."""
        sender = near.transport.get_extra_info("peername")
        source = self._by_host.get(sender[0]) if sender else None
        if source is None or self._closed or len(self._links) >= _CONNECTIONS:
            self.strangers += source is None
            self.dropped += source is not None
            reset(near.transport)
            return
        there, back = self.path(source, target), self.path(target, source)
        link = Link((source, target), there, back, near, self._links.discard)
        self._links.add(link)
        link.task = self._loop.create_task(self._connect(link))

    async def _connect(self, link: Link) -> None:
        here, there = (self._stops[name] for name in link.key)
        try:
            # A connection needs both directions to come about; until then its opener hears nothing.
            while link.cut:
                await link.news.wait()
                link.news.clear()
            await self._loop.create_connection(
                lambda: link.far, *there.real, local_addr=(here.advertised[0], 0)
            )
        except OSError:
            link.broken()

    async def _listen(
        self, name: str, host: str
    ) -> tuple[Address, asyncio.DatagramTransport, asyncio.Server]:
        """The same free port for datagrams and for connections."""
        for _ in range(_TRIES):
            datagrams, _protocol = await self._loop.create_datagram_endpoint(
                lambda: _Datagrams(self, name), (host, 0)
            )
            address: Address = datagrams.get_extra_info("sockname")
            try:
                server = await self._loop.create_server(
                    lambda: End(lambda end: self.accepted(end, name)), *address
                )
            except OSError:
                datagrams.close()
                continue
            return address, datagrams, server
        raise OSError(f"no port of {host} is free for datagrams and connections")


def free_pair(host: str) -> Address:
    """An address whose port is free now for datagrams and for connections."""
    for _ in range(_TRIES):
        with socket.socket(type=socket.SOCK_DGRAM) as datagrams, socket.socket() as stream:
            datagrams.bind((host, 0))
            address: Address = datagrams.getsockname()
            with contextlib.suppress(OSError):
                stream.bind(address)
                return address
    raise OSError(f"no port of {host} is free for datagrams and connections")


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, relay: Relay, target: str) -> None:
        self._relay, self._target = relay, target

    def datagram_received(self, data: bytes, addr: Address) -> None:
        self._relay.datagram(self._target, data, addr)
