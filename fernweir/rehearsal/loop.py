"""An asyncio event loop on virtual time, with a network in memory: the program's own code, run unchanged.

Time passes only when nothing is left to do. What falls due in one instant is done in an order drawn from the
seed. Callbacks belong to a node, a simulated process: one that stands still does nothing until it goes on,
one that is killed does nothing ever again, and its peers see resets. Threads, executors, real sockets and
signals raise at once: what used them would not be the same twice.

TCP as far as it matters here: connections that are refused or hang, latency, pieces split and joined, order
kept within a direction, buffers that fill and pause their writer, half-close, and resets that overtake what
the receiver had not read. Datagrams, and what is wrong with one direction of a way, are in `datagrams`.
"""

from __future__ import annotations

import asyncio
import contextvars
import heapq
import itertools
from asyncio import events
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf, nextafter
from random import Random
from typing import Any

from fernweir.rehearsal.datagrams import Datagrams, Ways, names

NODE: contextvars.ContextVar[str] = contextvars.ContextVar("node", default="world")
_SOCKET_BUFFER = 262_144
_HIGH_WATER = 65_536
_MOST_READ = 65_536
_START_S = 1_000.0
_AGAIN_S = 0.2  # what a cut held is tried again
_MOST_AT_ONCE = 200_000  # callbacks in one instant


class DeadlockError(RuntimeError):
    """Nothing is scheduled, and somebody waits: time would stand still for ever."""


class LivelockError(RuntimeError):
    """Callbacks call each other without end, and time never goes on."""


class NotVirtualError(RuntimeError):
    """The code under test used what a virtual loop can't have."""


def _run_if_alive(handle: Any, base: Any) -> None:
    if handle._loop.may_run(handle, handle._context):
        base._run()


class _Handle(asyncio.Handle):
    """Runs unless its node stands still, or is dead."""

    __slots__ = ()

    def _run(self) -> None:
        _run_if_alive(self, super())


class _TimerHandle(asyncio.TimerHandle):
    """Of two due in one instant, the seed says which comes first."""

    __slots__ = ("tie",)

    def __init__(self, when: float, callback: Any, args: Any, loop: Any, context: Any) -> None:
        super().__init__(when, callback, args, loop, context)
        self.tie: float = loop.dice.random()

    def __lt__(self, other: Any) -> bool:
        return (self._when, self.tie) < (other._when, other.tie)  # type: ignore[attr-defined]

    def _run(self) -> None:
        _run_if_alive(self, super())


class _Selector:
    """What the base loop waits by: here time goes on to the next thing that is due."""

    def __init__(self, loop: VirtualLoop) -> None:
        self._loop = loop

    def select(self, timeout: float | None) -> list[Any]:
        if timeout is None:
            raise DeadlockError("nothing is due, and somebody waits")
        if timeout > 0.0:
            self._loop.advance()
        return []

    def close(self) -> None:
        pass


class VirtualLoop(asyncio.BaseEventLoop):
    """`network` has the sockets; `freeze`, `thaw` and `kill` act on nodes."""

    def __init__(self, seed: int) -> None:
        super().__init__()
        self.dice = Random(f"loop {seed}")
        self.network = Network(self, seed)
        self.steps = self._at_once = 0
        self._now = _START_S
        self._selector = _Selector(self)
        self._clock_resolution = 1e-9
        self._frozen: dict[str, list[asyncio.Handle]] = {}
        self._dead: set[str] = set()

    # --- time ---

    def time(self) -> float:
        return self._now

    def advance(self) -> None:
        scheduled: list[Any] = self._scheduled  # type: ignore[attr-defined]
        if scheduled[0]._when > self._now:
            self._now, self._at_once = scheduled[0]._when, 0

    # --- nodes ---

    def may_run(self, handle: asyncio.Handle, context: contextvars.Context) -> bool:
        self.steps += 1
        self._at_once += 1
        if self._at_once > _MOST_AT_ONCE:
            self._at_once = 0
            raise LivelockError(f"{_MOST_AT_ONCE} callbacks in one instant, the last {handle!r}")
        if not (self._frozen or self._dead):
            return True
        node = context.get(NODE, "world")
        if node in self._dead:
            return False
        parked = self._frozen.get(node)
        if parked is None:
            return True
        parked.append(handle)
        return False

    def freeze(self, node: str) -> None:
        """The process stands still: its sockets fill, its timers come late."""
        self._frozen.setdefault(node, [])

    def thaw(self, node: str) -> None:
        for handle in self._frozen.pop(node, []):
            self._ready.append(handle)  # type: ignore[attr-defined]

    def kill(self, node: str) -> None:
        """Kill -9: nothing of it runs any more, and its connections are reset by the kernel."""
        self._dead.add(node)
        self._frozen.pop(node, None)
        self.network.forget(node)

    # --- asyncio ---

    def call_at(  # type: ignore[override]
        self, when: float, callback: Callable[..., object], *args: Any, context: Any = None
    ) -> asyncio.TimerHandle:
        self._check_closed()  # type: ignore[attr-defined]
        handle = _TimerHandle(when, callback, args, self, context)
        heapq.heappush(self._scheduled, handle)  # type: ignore[attr-defined]
        handle._scheduled = True  # type: ignore[attr-defined]
        return handle

    def call_later(  # type: ignore[override]
        self, delay: float, callback: Callable[..., object], *args: Any, context: Any = None
    ) -> asyncio.TimerHandle:
        return self.call_at(self._now + delay, callback, *args, context=context)

    def call_soon(  # type: ignore[override]
        self, callback: Callable[..., object], *args: Any, context: Any = None
    ) -> asyncio.Handle:
        self._check_closed()  # type: ignore[attr-defined]
        handle = _Handle(callback, args, self, context)
        self._ready.append(handle)  # type: ignore[attr-defined]
        return handle

    async def create_connection(self, protocol_factory: Any, host: Any = None, port: Any = None,
                                **options: Any) -> Any:  # fmt: skip
        return await self.network.connect(protocol_factory, (host, port))

    async def create_server(self, protocol_factory: Any, host: Any = None, port: Any = None,
                            **options: Any) -> Any:  # fmt: skip
        return self.network.listen(protocol_factory, host, port)

    async def create_datagram_endpoint(
        self, protocol_factory: Any, local_addr: Any = None, remote_addr: Any = None, **options: Any
    ) -> Any:
        return self.network.datagrams.open(protocol_factory, local_addr, remote_addr, NODE.get())

    def _process_events(self, event_list: Any) -> None:
        pass

    def _write_to_self(self) -> None:
        raise NotVirtualError("a thread called into the loop")

    def run_in_executor(self, executor: Any, func: Any, *args: Any) -> Any:  # type: ignore[override]
        raise NotVirtualError("an executor was used")

    async def getaddrinfo(self, *args: Any, **options: Any) -> Any:
        raise NotVirtualError("a name was looked up")

    def add_reader(self, fd: Any, callback: Any, *args: Any) -> None:  # type: ignore[override]
        raise NotVirtualError("a real file descriptor was waited for")

    def add_signal_handler(self, sig: int, callback: Any, *args: Any) -> None:  # type: ignore[override]
        raise NotVirtualError("a signal was waited for")


def run(seed: int, main: Callable[[VirtualLoop], Any]) -> Any:
    """Runs the coroutine that `main` makes on a fresh loop, to its end."""
    loop = VirtualLoop(seed)
    events.set_event_loop(loop)
    try:
        return loop.run_until_complete(main(loop))
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop._dead.clear()
        loop._frozen.clear()
        loop.run_until_complete(asyncio.sleep(0))
        events.set_event_loop(None)
        loop.close()


# --- the network ---


class _Socket:
    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address

    def getsockname(self) -> tuple[str, int]:
        return self._address


class MemoryServer:
    """What `create_server` gives."""

    def __init__(self, network: Network, address: tuple[str, int], factory: Any) -> None:
        self.network, self.address, self.factory = network, address, factory
        self.node = NODE.get()
        self.context = contextvars.copy_context()
        self.sockets = [_Socket(address)]

    def close(self) -> None:
        if self.network.listening.get(self.address) is self:
            del self.network.listening[self.address]


@dataclass(slots=True)
class LinkFault:
    """What is wrong with connections to one address, or all. Seconds and shares."""

    extra_s: float = 0.0  # of latency
    hang: bool = False  # new connections hang
    refuse: bool = False


@dataclass(slots=True)
class NetworkRules:
    latency_s: tuple[float, float] = (0.0002, 0.002)
    split_share: float = 0.1  # of pieces that arrive in two
    overtaken_share: float = 0.3  # of resets that take unread bytes along


class Network:
    """Listeners by address and the connections between nodes."""

    def __init__(self, loop: VirtualLoop, seed: int) -> None:
        self.loop, self.rules = loop, NetworkRules()
        self.dice = Random(f"network {seed}")
        self.listening: dict[tuple[str, int], MemoryServer] = {}
        self.faults: dict[tuple[str, int], LinkFault] = {}
        self.everywhere = LinkFault()
        self.spared: set[tuple[str, int]] = set()
        self.orderly: set[tuple[str, int]] = set()  # whose resets overtake nothing
        self.ends: dict[int, MemoryTransport] = {}
        self.ways = Ways()
        self.datagrams = Datagrams(self, seed)
        self._ports = itertools.count(20_001)
        self._numbers = itertools.count(1)

    def latency(self, address: tuple[str, int]) -> float:
        fault = self.faults.get(address)
        # What a viewer's own way adds a front can't know, and its margin is set for: it stays as it is.
        everywhere = 0.0 if address in self.spared else self.everywhere.extra_s
        extra = everywhere + (fault.extra_s if fault is not None else 0.0)
        return self.dice.uniform(*self.rules.latency_s) + extra * self.dice.uniform(0.7, 1.3)

    def listen(self, factory: Any, host: str, port: int) -> MemoryServer:
        address = (host, port or next(self._ports))
        if address in self.listening:
            raise OSError(98, "Address already in use")
        server = self.listening[address] = MemoryServer(self, address, factory)
        return server

    async def connect(self, factory: Any, address: tuple[str, int]) -> tuple[Any, Any]:
        fault = self.faults.get(address, self.everywhere)
        await asyncio.sleep(self.latency(address))
        while fault.hang:  # until it is over, or the caller's patience is
            await asyncio.sleep(0.05)
        while self._cut_off(address):
            await asyncio.sleep(0.05)
        server = self.listening.get(address)
        if server is None or fault.refuse or server.node in self.loop._dead:
            raise ConnectionRefusedError(111, "Connection refused")
        here, there = factory(), server.factory()
        mine = MemoryTransport(self, here, address, NODE.get(), contextvars.copy_context())
        other = MemoryTransport(self, there, address, server.node, server.context.copy())
        mine.peer, other.peer = other, mine
        other.names = names(server.node, address)
        self.loop.call_soon(there.connection_made, other, context=other.context)
        here.connection_made(mine)
        await asyncio.sleep(self.latency(address))
        return mine, here

    def _cut_off(self, address: tuple[str, int]) -> bool:
        if not self.ways:
            return False
        server = self.listening.get(address)
        here, there = names(NODE.get()), (address,) if server is None else names(server.node, address)
        return self.ways.cut(here, there) or self.ways.cut(there, here)

    def forget(self, node: str) -> None:
        """A killed process: the kernel closes its sockets and resets its connections."""
        self.datagrams.forget(node)
        for address in [address for address, server in self.listening.items() if server.node == node]:
            del self.listening[address]
        for end in [end for end in self.ends.values() if end.node == node]:
            end.abort()


@dataclass(slots=True)
class _Inbox:
    """What has come to an endpoint and is not read yet."""

    pieces: deque[bytes] = field(default_factory=deque)
    size: int = 0
    eof: bool = False


class MemoryTransport(asyncio.Transport):
    """One end of a connection."""

    def __init__(
        self,
        network: Network,
        protocol: Any,
        address: tuple[str, int],
        node: str,
        context: contextvars.Context,
    ) -> None:
        super().__init__()
        self.network, self.loop, self.address, self.node = network, network.loop, address, node
        self.context = context
        self.names = names(node)
        self.peer: MemoryTransport | None = None
        self.number = next(network._numbers)
        network.ends[self.number] = self
        self._protocol = protocol
        self._inbox = _Inbox()
        self._out: deque[bytes] = deque()
        self._out_size = 0
        self._high, self._low = _HIGH_WATER, _HIGH_WATER // 4
        self._last_arrival = 0.0
        self._in_flight = 0
        self._held: deque[tuple[Callable[..., None], tuple[Any, ...]]] = deque()  # by a cut
        self._unconfirmed = 0  # came here, and a cut keeps its sender from knowing
        self._trying_again = False
        self._reading_paused = self._writing_paused = False
        self._closing = self._lost = self._eof_sent = self._reading_scheduled = False

    # --- asyncio.Transport ---

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return self.address if name in ("peername", "sockname") else default

    def get_protocol(self) -> Any:
        return self._protocol

    def set_protocol(self, protocol: Any) -> None:
        self._protocol = protocol

    def is_closing(self) -> bool:
        return self._closing or self._lost

    def is_reading(self) -> bool:
        return not self._reading_paused

    def pause_reading(self) -> None:
        self._reading_paused = True

    def resume_reading(self) -> None:
        self._reading_paused = False
        self._read_soon()

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        self._high = _HIGH_WATER if high is None else high
        self._low = self._high // 4 if low is None else low

    def get_write_buffer_size(self) -> int:
        return self._out_size

    def write(self, data: Any) -> None:
        if self._lost or self._closing or self._eof_sent or not data:
            return
        self._out.append(bytes(data))
        self._out_size += len(data)
        self._pump()
        if self._out_size > self._high and not self._writing_paused:
            self._writing_paused = True
            self._protocol.pause_writing()

    def can_write_eof(self) -> bool:
        return True

    def write_eof(self) -> None:
        self._eof_sent = True
        self._pump()

    def close(self) -> None:
        if not self._closing:
            self._closing = True
            self._pump()

    def abort(self) -> None:
        """A reset: what the peer has not read may be lost to it, though it had arrived."""
        if self._lost:
            return
        self._lose(None)
        self._held.clear()
        peer = self.peer
        if peer is None or peer._lost or self._cut():
            return
        rules, dice = self.network.rules, self.network.dice
        if self.address not in self.network.orderly and dice.random() < rules.overtaken_share:
            peer._last_arrival = 0.0
            at = self.loop.time() + self.network.latency(self.address)
        else:
            at = max(
                self.loop.time() + self.network.latency(self.address), nextafter(self._last_arrival, inf)
            )
        self.loop.call_at(at, peer._reset, context=contextvars.Context())

    # --- the way there ---

    def _pump(self) -> None:
        """Hands what is written to the network, as far as the peer's buffer goes."""
        peer = self.peer
        if peer is None or self._lost:
            return
        dice, rules = self.network.dice, self.network.rules
        while self._out and peer._inbox.size + self._in_flight < _SOCKET_BUFFER:
            data = self._out.popleft()
            self._out_size -= len(data)
            pieces = [data]
            if len(data) > 1 and dice.random() < rules.split_share:
                at = dice.randrange(1, len(data))
                pieces = [data[:at], data[at:]]
            for piece in pieces:
                self._in_flight += len(piece)
                self._arrives(peer._takes, piece)
        if self._writing_paused and self._out_size <= self._low:
            self._writing_paused = False
            self.loop.call_soon(self._resume_writer, context=self.context)
        if not self._out and (self._eof_sent or self._closing) and peer is not None:
            if not self._inbox_told_end:
                self._inbox_told_end = True
                self._arrives(peer._ends)
            if self._closing:
                self._lose(None)

    _inbox_told_end = False

    def _arrives(self, do: Callable[..., None], *args: Any) -> None:
        """In order: nothing overtakes what was sent before it, and a cut holds it."""
        if self._held or self._cut():
            self._held.append((do, args))
            self._try_again_later()
            return
        # Strictly later: of two things in one instant the seed would choose.
        at = max(
            self.loop.time() + self.network.latency(self.address) + self._extra_s(),
            nextafter(self._last_arrival, inf),
        )
        self._last_arrival = at
        # Not in a node's context: the wire goes on though a process stands still.
        self.loop.call_at(at, do, *args, context=contextvars.Context())

    def _cut(self) -> bool:
        peer = self.peer
        return peer is not None and bool(self.network.ways) and self.network.ways.cut(self.names, peer.names)

    def _extra_s(self) -> float:
        """What is wrong with the way there makes it slow: what is lost is sent again."""
        extra = 0.0
        if self.network.ways and self.peer is not None:
            dice = self.network.datagrams.dice
            for fault in self.network.ways.between(self.names, self.peer.names):
                extra += fault.extra_s + dice.random() * fault.jitter_s
                if dice.random() < fault.late:
                    extra += fault.late_s * dice.uniform(0.5, 1.0)
                if dice.random() < fault.loss:
                    extra += fault.again_s
        return extra

    def _try_again_later(self) -> None:
        if not self._trying_again:
            self._trying_again = True
            self.loop.call_later(_AGAIN_S, self._try_again, context=contextvars.Context())

    def _try_again(self) -> None:
        """The kernel's own doing: it goes on while the process stands still, or has closed its end."""
        self._trying_again = False
        if not (self._held or self._unconfirmed):
            return
        if self._cut():
            self._try_again_later()
            return
        if self.peer is not None and self._unconfirmed:
            self.peer._in_flight -= self._unconfirmed
            self._unconfirmed = 0
            self.peer._pump()
        held, self._held = self._held, deque()
        for do, args in held:
            self._arrives(do, *args)

    def _resume_writer(self) -> None:
        if not self._lost:
            self._protocol.resume_writing()

    # --- the way here ---

    def _takes(self, piece: bytes) -> None:
        if self.peer is not None:
            if self._cut():
                self._unconfirmed += len(piece)
                self._try_again_later()
            else:
                self.peer._in_flight -= len(piece)
        if self._lost:
            if self.peer is not None and not self.peer._lost and not self._cut():
                self.peer._reset()  # nobody is here any more: the kernel answers with a reset
            return
        self._inbox.pieces.append(piece)
        self._inbox.size += len(piece)
        self._read_soon()

    def _ends(self) -> None:
        self._inbox.eof = True
        self._read_soon()

    def _read_soon(self) -> None:
        if not self._reading_scheduled and not self._lost:
            self._reading_scheduled = True
            self.loop.call_soon(self._read, context=self.context)

    def _read(self) -> None:
        """Hands over what is there, some of it joined, until the reader pauses."""
        self._reading_scheduled = False
        inbox = self._inbox
        while inbox.pieces and not self._reading_paused and not self._lost and not self._closing:
            data = inbox.pieces.popleft()
            while inbox.pieces and len(data) < _MOST_READ and self.network.dice.random() < 0.5:
                data += inbox.pieces.popleft()
            inbox.size -= len(data)
            self._hand_over(data)
        if self.peer is not None and not self.peer._lost:
            self.peer._pump()
        if inbox.eof and not inbox.pieces and not self._reading_paused and not self.is_closing():
            inbox.eof = False
            if not self._protocol.eof_received():
                self.close()

    def _hand_over(self, data: bytes) -> None:
        if not isinstance(self._protocol, asyncio.BufferedProtocol):
            self._protocol.data_received(data)
            return
        view = memoryview(data)
        while view and not self._lost:
            buffer = memoryview(self._protocol.get_buffer(-1))
            size = min(len(buffer), len(view))
            buffer[:size] = view[:size]
            self._protocol.buffer_updated(size)
            view = view[size:]

    def _reset(self) -> None:
        if not self._lost:
            self._lose(ConnectionResetError(104, "Connection reset by peer"))

    def _lose(self, error: Exception | None) -> None:
        self._lost = self._closing = True
        self._out.clear()
        self._out_size = 0
        self.network.ends.pop(self.number, None)
        self.loop.call_soon(self._protocol.connection_lost, error, context=self.context)
