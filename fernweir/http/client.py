"""An HTTP/1.1 client on asyncio's BufferedProtocol that reports whether a request may have been executed.

It is certain that a request was not executed only if none of its bytes was handed to a connection. Each call
ends with exactly one `Outcome`; `UNSENT` and `REFUSED` are reported only if no byte of it was written. A
connection carries one call at a time. The client never retries: that is a decision of its callers.
"""

from __future__ import annotations

import asyncio
import re
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum

from fernweir.http.headers import Headers
from fernweir.http.parse import Data, End, Fault, Limits, ResponseHead, ResponseParser
from fernweir.http.reset import reset

Origin = tuple[str, int]
OwnerId = int | None
"""The server that a connection was made for, or None where the address alone identifies it."""

_REQUEST_LINE_BREAKERS = re.compile(r"[\x00-\x20\x7f]")


class Outcome(Enum):
    """How a call ended. The first four prove that the peer never received it."""

    REFUSED = "refused"  # the peer's system refused the connection: the port is closed
    UNREACHED = "unreached"  # no connection was established, because of this side or the path
    UNSENT = "unsent"  # the connection was lost, or the timeout expired, before a byte was written
    UNWANTED = "unwanted"  # the caller no longer wanted it when it could be sent
    ANSWERED = "answered"
    RESET = "reset"  # bytes were sent, and the connection was lost before a byte was received
    CUT = "cut"  # the connection was lost or closed inside the response
    SILENT = "silent"  # the timeout expired before a byte was received
    STALLED = "stalled"  # the timeout expired inside the response
    GARBLED = "garbled"  # the response is not valid HTTP
    CANCELLED = "cancelled"  # the caller cancelled it after bytes were sent

    @property
    def never_ran(self) -> bool:
        return self in (Outcome.REFUSED, Outcome.UNREACHED, Outcome.UNSENT, Outcome.UNWANTED)


@dataclass(frozen=True, slots=True)
class Reply:
    """The result of a call. `status` is 0 and `headers` are empty unless the response head was read."""

    outcome: Outcome
    status: int = 0
    headers: Headers = field(default_factory=Headers)
    body: bytes = b""
    detail: str = ""


def encode_request(
    method: str, target: str, host: str, headers: Iterable[tuple[str, str]] = (), body: bytes = b""
) -> bytes:
    """Encodes a request with its body. Raises ValueError for a line break or space that would split it."""
    if _REQUEST_LINE_BREAKERS.search(target) or _REQUEST_LINE_BREAKERS.search(method):
        raise ValueError("space or control character in the request line")
    lines = [f"{method} {target} HTTP/1.1\r\nhost: {host}\r\n"]
    for name, value in headers:
        if "\r" in value or "\n" in value:
            raise ValueError(f"line break in {name}")
        lines.append(f"{name}: {value}\r\n")
    if body or method in ("POST", "PUT", "PATCH"):
        lines.append(f"content-length: {len(body)}\r\n")
    lines.append("\r\n")
    return "".join(lines).encode("latin-1") + body


@dataclass(frozen=True, slots=True)
class _ConnectionKey:
    """What the connections of a group have in common.

    Attributes:
        origin: The address that they were made to.
        owner: The server that they were made for, or None where the address alone identifies it.
    """

    origin: Origin
    owner: OwnerId


class Call:
    """One request. `on_done` is called exactly once; for a stream `on_head` and `on_data` are called too."""

    __slots__ = ("_connection", "_timer", "data", "done", "key", "method", "on_data", "on_done", "on_head",
                 "pool", "wanted")  # fmt: skip

    def __init__(
        self,
        pool: Pool,
        key: _ConnectionKey,
        method: str,
        data: bytes,
        on_done: Callable[[Reply], None],
        wanted: Callable[[], bool] | None,
        on_head: Callable[[ResponseHead], None] | None,
        on_data: Callable[[bytes], None] | None,
    ) -> None:
        self.pool, self.key, self.method, self.data = pool, key, method, data
        self.on_done, self.wanted, self.on_head, self.on_data = on_done, wanted, on_head, on_data
        self.done = False
        self._connection: ClientConnection | None = None
        self._timer: asyncio.TimerHandle | None = None

    def cancel(self) -> None:
        """Cancels the call: `CANCELLED`, or `UNWANTED` if no byte was written yet."""
        self._expire(Outcome.UNWANTED, Outcome.CANCELLED, Outcome.CANCELLED)

    def _timed_out(self) -> None:
        self._expire(Outcome.UNSENT, Outcome.SILENT, Outcome.STALLED)

    def _expire(self, unsent: Outcome, silent: Outcome, stalled: Outcome) -> None:
        if self.done:
            return
        connection = self._connection
        if connection is None:
            self.pool._remove_queued(self)
            self._finish(Reply(unsent))
            return
        head = connection.head
        reply = Reply(
            stalled if connection.has_received else silent,
            head.status if head else 0,
            head.headers if head else Headers(),
        )
        connection.call = None
        connection.abort()
        self._finish(reply)

    def _finish(self, reply: Reply) -> None:
        if self.done:
            return
        self.done = True
        self._connection = None
        if self._timer is not None:
            self._timer.cancel()
        self.on_done(reply)


class ClientConnection(asyncio.BufferedProtocol):
    """One connection of a pool, carrying one call at a time."""

    def __init__(self, pool: Pool, key: _ConnectionKey) -> None:
        self.pool, self.key = pool, key
        self.call: Call | None = None
        self.head: ResponseHead | None = None
        self.has_received = self.closed = False
        self.idle_since = 0.0
        self._parser = ResponseParser(pool.limits)
        self._transport: asyncio.Transport | None = None
        self._body: list[bytes] = []

    @property
    def usable(self) -> bool:
        return self._transport is not None and not self.closed and not self._transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.pool.buffer

    def start(self, call: Call) -> None:
        """Writes the request. From now on the peer may have executed it."""
        assert self._transport is not None
        self.call, call._connection = call, self
        self.head, self.has_received, self._body = None, False, []
        self._parser.expect(call.method)
        self._parser.unlimited_body = call.on_data is not None
        self._transport.write(call.data)

    def buffer_updated(self, nbytes: int) -> None:
        call = self.call
        if call is None:  # a response without a request: the connection is in an unknown state
            self.abort()
            return
        self.has_received = True
        for event in self._parser.feed(self.pool.buffer[:nbytes]):
            if isinstance(event, ResponseHead):
                self.head = event
                if call.on_head is not None:
                    call.on_head(event)
            elif isinstance(event, Data):
                if call.on_data is not None:
                    call.on_data(event.body)
                else:
                    self._body.append(event.body)
            elif isinstance(event, End):
                self._complete()
                return
            elif isinstance(event, Fault):
                self._fail(Outcome.GARBLED, event.reason)
                self.abort()
                return
            if call.done:
                return

    def _complete(self) -> None:
        call, head = self.call, self.head
        self.call = None
        if call is None or head is None:
            return
        call._finish(Reply(Outcome.ANSWERED, head.status, head.headers, b"".join(self._body)))
        if head.keep_alive and self._parser.idle and self.usable:
            self.pool._release(self)
        else:
            self.abort()

    def eof_received(self) -> bool:
        for event in self._parser.eof():
            if isinstance(event, End):
                self._complete()
            elif isinstance(event, Fault):
                self._fail(Outcome.CUT if self.has_received else Outcome.RESET, event.reason)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        self._fail(Outcome.CUT if self.has_received else Outcome.RESET, str(exc or "closed"))
        self.pool._on_connection_lost(self)

    def _fail(self, outcome: Outcome, detail: str) -> None:
        call, self.call = self.call, None
        if call is not None:
            head = self.head
            call._finish(
                Reply(outcome, head.status if head else 0, head.headers if head else Headers(), b"", detail)
            )

    def abort(self) -> None:
        self.closed = True
        if self._transport is not None:
            reset(self._transport)
        self.pool._on_connection_lost(self)


class _OriginConnections:
    """The connections and queued calls of one origin and owner."""

    __slots__ = ("connecting", "idle", "open", "queue")

    def __init__(self) -> None:
        self.idle: list[ClientConnection] = []
        self.open: dict[ClientConnection, None] = {}  # a dict keeps the order
        self.connecting = 0
        self.queue: deque[Call] = deque()

    @property
    def is_unused(self) -> bool:
        return not (self.open or self.connecting or self.queue)


class Pool:
    """Connections by origin and owner. Times are in seconds.

    An address may lead to another server later, while the connections that were made before still lead to the
    earlier one. Calls that are meant for a named server give it as their owner, and share no connection with
    calls to another server at the same address. `per_origin` bounds the connections of each origin and owner,
    including streams.
    """

    def __init__(
        self,
        *,
        per_origin: int = 64,
        connect_s: float = 1.0,
        idle_s: float = 30.0,
        limits: Limits | None = None,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.limits = limits or Limits(body=1_048_576)
        self.buffer = memoryview(bytearray(65_536))
        self.per_origin, self.connect_s, self.idle_s = per_origin, connect_s, idle_s
        self.closed = False
        self._connections: dict[_ConnectionKey, _OriginConnections] = {}
        self._owners: dict[Origin, list[OwnerId]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def request(
        self,
        origin: Origin,
        method: str,
        target: str,
        on_done: Callable[[Reply], None],
        *,
        headers: Iterable[tuple[str, str]] = (),
        body: bytes = b"",
        timeout_s: float | None = None,
        wanted: Callable[[], bool] | None = None,
        on_head: Callable[[ResponseHead], None] | None = None,
        on_data: Callable[[bytes], None] | None = None,
        owner: OwnerId = None,
        may_connect: bool = True,
    ) -> Call:
        """Sends a request unless `wanted`, called immediately before the first byte, returns False.

        If `may_connect` is False, the call ends as `UNREACHED` unless a connection is idle.
        """
        key = _ConnectionKey(origin, owner)
        data = encode_request(method, target, f"{origin[0]}:{origin[1]}", headers, body)
        call = Call(self, key, method, data, on_done, wanted, on_head, on_data)
        if timeout_s is not None:
            call._timer = self.loop.call_later(max(timeout_s, 0.0), call._timed_out)
        connections = self._connections_of(key)
        if not may_connect and not self._has_idle(connections):
            self.loop.call_soon(call._finish, Reply(Outcome.UNREACHED, detail="no connection is open"))
            self._discard_if_unused(key)
            return call
        connections.queue.append(call)
        self._process_queue(key, connections)
        return call

    def _connections_of(self, key: _ConnectionKey) -> _OriginConnections:
        """Returns the group of a key; closes what other servers at its address have left idle too long."""
        connections = self._connections.get(key)
        if connections is None:
            connections = _OriginConnections()
            self._register(key, connections)
        for owner in list(self._owners[key.origin]):
            if owner != key.owner:
                self._close_expired(self._connections[_ConnectionKey(key.origin, owner)])
        return connections

    def _register(self, key: _ConnectionKey, connections: _OriginConnections) -> None:
        if key not in self._connections:
            self._connections[key] = connections
            self._owners.setdefault(key.origin, []).append(key.owner)

    def _close_expired(self, connections: _OriginConnections) -> None:
        now = self.loop.time()
        for connection in list(connections.idle):
            if now - connection.idle_since >= self.idle_s:
                connection.abort()

    def _has_idle(self, connections: _OriginConnections) -> bool:
        now = self.loop.time()
        return any(one.usable and now - one.idle_since < self.idle_s for one in connections.idle)

    def _process_queue(self, key: _ConnectionKey, connections: _OriginConnections) -> None:
        while connections.queue:
            connection = self._pop_idle(connections)
            if connection is None:
                break
            call = connections.queue.popleft()
            if call.done:
                connections.idle.append(connection)
            elif call.wanted is not None and not call.wanted():
                connections.idle.append(connection)
                call._finish(Reply(Outcome.UNWANTED))
            else:
                connection.start(call)
        headroom = self.per_origin - len(connections.open) - connections.connecting
        for _ in range(min(len(connections.queue) - connections.connecting, headroom)):
            connections.connecting += 1
            task = self.loop.create_task(self._connect(key, connections))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _pop_idle(self, connections: _OriginConnections) -> ClientConnection | None:
        now = self.loop.time()
        while connections.idle:
            connection = connections.idle.pop()
            if connection.usable and now - connection.idle_since < self.idle_s:
                return connection
            connection.abort()
        return None

    async def _connect(self, key: _ConnectionKey, connections: _OriginConnections) -> None:
        created: list[ClientConnection] = []

        def protocol() -> ClientConnection:
            created.append(ClientConnection(self, key))
            return created[0]

        outcome, detail = Outcome.UNREACHED, ""
        try:
            async with asyncio.timeout(self.connect_s):
                await self.loop.create_connection(protocol, *key.origin)
        except TimeoutError:
            detail = "connect timed out"
        except ConnectionRefusedError as error:
            outcome, detail = Outcome.REFUSED, str(error)
        except (OSError, UnicodeError) as error:  # UnicodeError: an invalid host name
            detail = str(error)
        finally:
            connections.connecting -= 1
            self._discard_if_unused(key)
        if detail or self.closed:
            if created and created[0].usable:
                created[0].abort()
            # Each queued call has an attempt: if one fails, the oldest call fails and the others keep theirs.
            if len(connections.queue) > connections.connecting:
                connections.queue.popleft()._finish(Reply(outcome, detail=detail or "closed"))
            self._discard_if_unused(key)
            return
        self._register(key, connections)
        connections.open[created[0]] = None
        created[0].idle_since = self.loop.time()
        connections.idle.append(created[0])
        self._process_queue(key, connections)

    def _release(self, connection: ClientConnection) -> None:
        connection.idle_since = self.loop.time()
        connections = self._connections[connection.key]
        connections.idle.append(connection)
        if connections.queue:
            self._process_queue(connection.key, connections)

    def _on_connection_lost(self, connection: ClientConnection) -> None:
        connections = self._connections.get(connection.key)
        if connections is None:
            return
        if connection in connections.idle:
            connections.idle.remove(connection)
        if connection in connections.open:
            del connections.open[connection]
            if connections.queue and not self.closed:
                self._process_queue(connection.key, connections)
            self._discard_if_unused(connection.key)

    def _remove_queued(self, call: Call) -> None:
        connections = self._connections.get(call.key)
        if connections is not None and call in connections.queue:
            connections.queue.remove(call)
            self._discard_if_unused(call.key)

    def _discard_if_unused(self, key: _ConnectionKey) -> None:
        connections = self._connections.get(key)
        if connections is not None and connections.is_unused:
            del self._connections[key]
            owners = self._owners[key.origin]
            owners.remove(key.owner)
            if not owners:
                del self._owners[key.origin]

    def close(self) -> None:
        """Aborts all connections. Calls in flight end with the outcome of a lost connection."""
        self.closed = True
        for task in list(self._tasks):
            task.cancel()
        for connections in list(self._connections.values()):
            for call in list(connections.queue):
                call._finish(Reply(Outcome.UNWANTED, detail="closed"))
            connections.queue.clear()
            for connection in list(connections.open):
                connection.abort()
