"""Datagrams in memory, and what is wrong with the ways between nodes, each direction by itself.

A datagram is lost, doubled, late or overtaken as the faults of its way say; with none it arrives once, after
the network's latency. A socket's buffer fills while its process stands still, and what finds it full is
dropped. A killed process's sockets vanish without a word, and what it had sent still arrives.

All draws are of dice of their own: a day without datagrams and without faults of ways is what it was before.
"""

from __future__ import annotations

import asyncio
import contextvars
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from fernweir.rehearsal.loop import Network

Address = tuple[str, int]
Where = str | Address  # a node, with or without its life; an address; ANY
ANY = "*"
_RECEIVE_BUFFER = 212_992  # as Linux has it
_OVERHEAD = 512  # of a datagram in it
_MOST_SENT = 65_507


@dataclass(slots=True)
class WayFault:
    """What is wrong with one direction between two ends. Seconds and shares.

    On connections a cut holds what is sent until it is over, as TCP sends it again; nobody is told of it.
    What is lost there comes later, after `again_s`. Nothing of a connection is doubled or overtaken.
    """

    cut: bool = False
    loss: float = 0.0
    doubled: float = 0.0
    extra_s: float = 0.0
    jitter_s: float = 0.0  # drawn for each: they overtake one another
    late: float = 0.0  # share that comes as much as `late_s` later
    late_s: float = 2.0
    again_s: float = 0.2


class Ways:
    """Faults by directed pair of ends. All that fit a way apply to it together."""

    def __init__(self) -> None:
        self._faults: dict[tuple[Where, Where], WayFault] = {}

    def __bool__(self) -> bool:
        return bool(self._faults)

    def set(self, source: Where, to: Where, fault: WayFault) -> None:
        self._faults[source, to] = fault

    def clear(self, source: Where, to: Where) -> None:
        self._faults.pop((source, to), None)

    def clear_all(self) -> None:
        self._faults.clear()

    def between(self, source: Sequence[Where], to: Sequence[Where]) -> list[WayFault]:
        """`source` and `to` are the names of the two ends, as `names` gives them."""
        if not self._faults:
            return []
        pairs = ((one, other) for one in (*source, ANY) for other in (*to, ANY))
        return [fault for pair in pairs if (fault := self._faults.get(pair)) is not None]

    def cut(self, source: Sequence[Where], to: Sequence[Where]) -> bool:
        return any(fault.cut for fault in self.between(source, to))


def names(node: str, address: Address | None = None) -> tuple[Where, ...]:
    """All by which faults may name an end: the node, the node without its life, the address."""
    plain = node.partition("/")[0]
    found: tuple[Where, ...] = (node,) if plain == node else (node, plain)
    return found if address is None else (*found, address)


class Datagrams:
    """The datagram sockets of a network, by address."""

    def __init__(self, network: Network, seed: int) -> None:
        self.network = network
        self.dice = Random(f"datagrams {seed}")
        self.bound: dict[Address, MemoryDatagrams] = {}
        self.sent = self.bytes_sent = self.lost = self.overflowed = 0

    def open(
        self, factory: Any, local: Address | None, remote: Address | None, node: str
    ) -> tuple[MemoryDatagrams, Any]:
        host, port = (local or ("127.0.0.1", 0))[:2]
        address = (host, port or next(self.network._ports))
        if address in self.bound:
            raise OSError(98, "Address already in use")
        protocol = factory()
        transport = MemoryDatagrams(self, protocol, address, remote, node)
        self.bound[address] = transport
        protocol.connection_made(transport)
        return transport, protocol

    def carry(self, source: MemoryDatagrams, data: bytes, to: Address) -> None:
        """Takes a datagram from its sender; it arrives never, once or twice."""
        self.sent += 1
        self.bytes_sent += len(data)
        other = self.bound.get(to)
        there = names(other.node, to) if other is not None else (to,)
        faults = self.network.ways.between(names(source.node, source.address), there)
        copies = 1
        for fault in faults:
            if fault.cut or self.dice.random() < fault.loss:
                self.lost += 1
                return
            copies += self.dice.random() < fault.doubled
        loop = self.network.loop
        for _ in range(copies):
            delay = self.dice.uniform(*self.network.rules.latency_s)
            for fault in faults:
                delay += fault.extra_s + self.dice.random() * fault.jitter_s
                if self.dice.random() < fault.late:
                    delay += fault.late_s * self.dice.uniform(0.5, 1.0)
            loop.call_at(
                loop.time() + delay, self._arrive, source, data, to, context=contextvars.Context()
            )  # fmt: skip

    def forget(self, node: str) -> None:
        for address in [address for address, one in self.bound.items() if one.node == node]:
            self.bound.pop(address)._vanish()

    def _arrive(self, source: MemoryDatagrams, data: bytes, to: Address) -> None:
        there = self.bound.get(to)
        if there is not None:
            there._takes(data, source.address)
        elif source.remote == to and not self.network.ways.cut((to,), names(source.node, source.address)):
            source._refused()


class MemoryDatagrams(asyncio.DatagramTransport):
    """One datagram socket. With a remote address it sends there, and hears nobody else."""

    def __init__(
        self, sockets: Datagrams, protocol: Any, address: Address, remote: Address | None, node: str
    ) -> None:
        super().__init__()
        self._sockets, self._protocol = sockets, protocol
        self.address, self.remote, self.node = address, remote, node
        self._loop = sockets.network.loop
        self._context = contextvars.copy_context()
        self._inbox: deque[tuple[bytes, Address]] = deque()
        self._size = 0
        self._closed = self._reading_scheduled = False

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return {"sockname": self.address, "peername": self.remote}.get(name, default)

    def get_protocol(self) -> Any:
        return self._protocol

    def set_protocol(self, protocol: Any) -> None:
        self._protocol = protocol

    def is_closing(self) -> bool:
        return self._closed

    def get_write_buffer_size(self) -> int:
        return 0

    def sendto(self, data: Any, addr: Any = None) -> None:
        if self._closed or not data:
            return
        if self.remote is not None and addr not in (None, self.remote):
            raise ValueError(f"Invalid address: must be None or {self.remote}")
        to = self.remote if addr is None else addr
        if to is None:
            raise ValueError("no address to send to")
        if len(data) > _MOST_SENT:
            self._protocol.error_received(OSError(90, "Message too long"))
            return
        self._sockets.carry(self, bytes(data), (to[0], to[1]))

    def close(self) -> None:
        if not self._closed:
            self._vanish()
            self._sockets.bound.pop(self.address, None)
            self._loop.call_soon(self._protocol.connection_lost, None, context=self._context)

    def abort(self) -> None:
        self.close()

    def _vanish(self) -> None:
        self._closed = True
        self._inbox.clear()

    def _takes(self, data: bytes, source: Address) -> None:
        if self.remote not in (None, source):
            return
        if self._size + len(data) + _OVERHEAD > _RECEIVE_BUFFER:
            self._sockets.overflowed += 1
            return
        self._inbox.append((data, source))
        self._size += len(data) + _OVERHEAD
        self._read_soon()

    def _read_soon(self) -> None:
        if not self._reading_scheduled:
            self._reading_scheduled = True
            self._loop.call_soon(self._read, context=self._context)

    def _read(self) -> None:
        """One datagram a turn of the loop, as asyncio reads them."""
        self._reading_scheduled = False
        if self._closed or not self._inbox:
            return
        data, source = self._inbox.popleft()
        self._size -= len(data) + _OVERHEAD
        if self._inbox:
            self._read_soon()
        self._protocol.datagram_received(data, source)

    def _refused(self) -> None:
        if not self._closed:
            error = ConnectionRefusedError(111, "Connection refused")
            self._loop.call_soon(self._protocol.error_received, error, context=self._context)
