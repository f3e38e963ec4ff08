"""An HTTP/1.1 server on asyncio's BufferedProtocol: a thin shell around `RequestParser`.

Requests of a connection may be pipelined; their answers leave in order whatever order they are given in.
The handler is called once a request is whole, and answers now or later through its `Exchange`. All
connections of a server share one receive buffer, as bytes are parsed before the loop reads again, and one
sweep over all connections stands in for timers, so that an idle connection costs little.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from http import HTTPStatus

from fernweir.http.headers import Headers
from fernweir.http.parse import Data, End, Fault, HttpEvent, Limits, RequestHead, RequestParser
from fernweir.http.reset import reset

_PHRASES = {status.value: status.phrase for status in HTTPStatus}
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """What one peer may cost. Times are seconds."""

    parse: Limits = field(default_factory=lambda: Limits(body=65_536))
    connections: int = 20_000
    pipeline: int = 32
    head_s: float = 10.0
    body_s: float = 10.0
    idle_s: float = 75.0
    stalled_s: float = 10.0
    stream_backlog: int = 1_048_576


def encode_head(status: int, headers: Iterable[tuple[str, str]]) -> bytes:
    """A response head. CR or LF in a value is a ValueError: it would split the response."""
    lines = [f"HTTP/1.1 {status} {_PHRASES.get(status, 'Status')}\r\n"]
    for name, value in headers:
        if "\r" in value or "\n" in value:
            raise ValueError(f"line break in {name}")
        lines.append(f"{name}: {value}\r\n")
    lines.append("\r\n")
    return "".join(lines).encode("latin-1")


class Exchange:
    """One request and its answer. `on_gone` is called if the peer is lost before the answer is given and
    taken whole by the kernel.

    `on_left` is called before that if the peer ends its side: it may still read. A request may be handed over
    when that has happened; it is `left` from its start, and not called for.
    """

    __slots__ = (
        "_body",
        "_chunks",
        "_connection",
        "_done",
        "_last",
        "_started",
        "body",
        "head",
        "on_gone",
        "on_left",
    )

    def __init__(self, connection: ServerConnection, head: RequestHead) -> None:
        self.head = head
        self.body = b""
        self.on_gone: Callable[[], None] | None = None
        self.on_left: Callable[[], None] | None = None
        self._connection = connection
        self._body: list[bytes] = []
        self._chunks: list[bytes] = []
        self._started = self._done = self._last = False

    @property
    def method(self) -> str:
        return self.head.method

    @property
    def headers(self) -> Headers:
        return self.head.headers

    @property
    def connection_id(self) -> int:
        return self._connection.number

    @property
    def answered(self) -> bool:
        return self._started

    @property
    def gone(self) -> bool:
        return self._connection.lost

    @property
    def left(self) -> bool:
        """Whether the peer has ended its side; an answer is still due."""
        return self._connection.half_closed

    def respond(self, status: int, headers: Iterable[tuple[str, str]] = (), body: bytes = b"") -> None:
        """The whole answer at once. A second answer to one request is a RuntimeError."""
        fields = list(headers)
        if status != 204 and status >= 200:
            fields.append(("content-length", str(len(body))))
        self._start(status, fields)
        if self.head.method != "HEAD" and status not in (204, 304):
            self._send(body)
        self.end()

    def stream(self, status: int, headers: Iterable[tuple[str, str]] = ()) -> None:
        """Starts an answer of unknown length: chunked, or to the end of an HTTP/1.0 connection."""
        fields = list(headers)
        fields.append(("transfer-encoding", "chunked") if self.head.minor else ("connection", "close"))
        self._start(status, fields)

    def write(self, data: bytes) -> bool:
        """Sends a part of a stream. False, and the connection is dropped, if the peer doesn't read."""
        if not data or self._done or self.gone:
            return not self.gone
        if self.head.minor:
            data = b"%x\r\n%s\r\n" % (len(data), data)
        self._send(data)
        return self._connection.check_backlog()

    def end(self) -> None:
        """The answer is complete."""
        if self._done:
            return
        self._done = True
        self._connection.flush()

    def finish_stream(self) -> None:
        if self._started and not self._done and self.head.minor:
            self._send(b"0\r\n\r\n")
        self.end()

    def drop(self) -> None:
        """Breaks the connection without an answer."""
        self._connection.abort()

    def cut(self) -> None:
        """Closes the connection in order, but in the middle of what was promised."""
        self._done = True
        self._connection.cut_after(self)

    def send_raw(self, data: bytes) -> None:
        """Bytes past all checks, for stand-ins that misbehave."""
        self._started = True
        self._send(data)

    def _start(self, status: int, fields: list[tuple[str, str]]) -> None:
        if self._started:
            raise RuntimeError("a request is answered once")
        self._started = True
        closes = any(name == "connection" and value == "close" for name, value in fields)
        if not self.head.keep_alive and not closes:
            fields.append(("connection", "close"))
        self._last = closes or not self.head.keep_alive
        self._send(encode_head(status, fields))

    def _send(self, data: bytes) -> None:
        self._chunks.append(data)
        self._connection.flush()


Handler = Callable[[Exchange], None]


class ServerConnection(asyncio.BufferedProtocol):
    """One connection. The `Server` that made it owns the receive buffer and the sweep."""

    def __init__(self, server: Server, number: int) -> None:
        self.server = server
        self.number = number
        self.lost = False
        self._parser = RequestParser(server.limits.parse)
        self._transport: asyncio.Transport | None = None
        self._queue: deque[Exchange] = deque()
        self._going: list[Exchange] = []  # their answers are given, and may not be out yet
        self._broken = False  # not closed in order: what was not out is lost
        self._reading: Exchange | None = None
        self._fault: Fault | None = None
        self._events: deque[HttpEvent] = deque()
        self._closing = self.half_closed = self._working = False
        self._read_paused = self._flushing = False
        self._since = server.loop.time()
        self._stalled_since: float | None = None

    # --- asyncio ---

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.server.connections[self] = None
        if len(self.server.connections) > self.server.limits.connections:
            self.abort()

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.server.buffer

    def buffer_updated(self, nbytes: int) -> None:
        if self._closing:
            return
        was_idle = self._parser.idle
        events = self._parser.feed(self.server.buffer[:nbytes])
        if was_idle:
            self._since = self.server.loop.time()
        self._events.extend(events)
        self._work()

    def eof_received(self) -> bool:
        """A half-close, or all that is seen of a client that left: nothing more is read.

        What was asked is still answered, as a client may end its side and read on (RFC 9112, 9.6); how is
        the handler's to say, who is told. Those that are handed over behind it find that it was so.
        """
        asked = list(self._queue)
        self._events.extend(self._parser.eof())
        self.half_closed = True
        for exchange in asked:
            if exchange.on_left is not None and not exchange._done:
                exchange.on_left()
        self._work()
        return bool(self._queue)

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost = self._closing = True
        self._events.clear()
        self.server.connections.pop(self, None)
        waiting, self._queue = list(self._queue), deque()
        if exc is None and not self._broken:
            self._going = []
        lost, self._going = self._going + waiting, []
        for exchange in lost:
            if exchange.on_gone is not None:
                exchange.on_gone()
        self._reading = None

    def pause_writing(self) -> None:
        self._stalled_since = self.server.loop.time()
        self._pace()

    def resume_writing(self) -> None:
        self._stalled_since = None
        self._pace()

    # --- reading ---

    def _work(self) -> None:
        """Takes what was parsed, no further than the pipeline's limit: the rest waits its turn."""
        if self._working:
            return
        self._working = True
        while self._events and not self._closing and len(self._queue) < self.server.limits.pipeline:
            self._take(self._events.popleft())
        self._working = False
        if self.half_closed and not self._events and not self._closing:
            self._closing = True
            self.flush()
        self._pace()

    def _take(self, event: HttpEvent) -> None:
        if isinstance(event, RequestHead):
            self._reading = Exchange(self, event)
            self._since = self.server.loop.time()
            if event.expects_continue and not self._queue and self._transport is not None:
                self._transport.write(_CONTINUE)
        elif isinstance(event, Data):
            if self._reading is not None:
                self._reading._body.append(event.body)
        elif isinstance(event, End):
            exchange, self._reading = self._reading, None
            self._since = self.server.loop.time()
            if exchange is None or self.lost:
                return
            exchange.body = b"".join(exchange._body)
            self._queue.append(exchange)
            if not exchange.head.keep_alive:
                self._closing = True
            self.server.requests += 1
            self._hand_over(exchange)
        elif isinstance(event, Fault):
            self._refuse(event)

    def _hand_over(self, exchange: Exchange) -> None:
        try:
            self.server.handler(exchange)
        except Exception as error:
            # A bug met by one request must not leave it, or its connection, without an end.
            self.server.loop.call_exception_handler({"message": "handler failed", "exception": error})
            if not exchange.answered:
                exchange.respond(500, [("connection", "close")])

    def _refuse(self, fault: Fault) -> None:
        """Answers what can't be read once all before it is answered, and closes."""
        self.server.faults += 1
        self._closing, self._fault = True, fault
        self.flush()

    def _pace(self) -> None:
        """Back-pressure: no more is read while answers pile up or the peer doesn't take them."""
        if self._transport is None or self.lost or self._transport.is_closing():
            return
        full = bool(self._events) or self._stalled_since is not None
        if full != self._read_paused:
            self._read_paused = full
            if full:
                self._transport.pause_reading()
            else:
                self._transport.resume_reading()

    # --- writing ---

    def flush(self) -> None:
        """Writes what is ready, in the order asked, and closes when nothing more can come."""
        transport = self._transport
        if transport is None or self.lost or self._flushing:
            return
        self._flushing = True
        ready: list[bytes] = []
        while self._queue:
            first = self._queue[0]
            if first._chunks:
                ready += first._chunks
                first._chunks = []
            if not first._done:
                break
            self._going.append(self._queue.popleft())
            self._since = self.server.loop.time()
            if first._last:
                self._closing = True
                self._give_up_rest()
        if not self._queue and self._fault is not None:
            fault, self._fault = self._fault, None
            body = fault.reason.encode("latin-1", "replace")
            fields = [("content-type", "text/plain"), ("connection", "close")]
            ready.append(encode_head(fault.status, [*fields, ("content-length", str(len(body)))]) + body)
        if ready:
            was_closing = transport.is_closing()
            transport.write(ready[0] if len(ready) == 1 else b"".join(ready))
            self._broken = self._broken or transport.is_closing() != was_closing  # the kernel refused it
        if not self._broken and not transport.get_write_buffer_size():
            self._going.clear()
        self._flushing = False
        if self._closing and not self._queue:
            transport.close()
        elif self._events or self._read_paused:
            self._work()

    def _give_up_rest(self) -> None:
        """What was pipelined behind an announced close is not answered (RFC 9112, 9.6)."""
        rest, self._queue = list(self._queue), deque()
        for exchange in rest:
            exchange._done = True
            if exchange.on_gone is not None:
                exchange.on_gone()

    def cut_after(self, exchange: Exchange) -> None:
        self.flush()
        if self._transport is not None:
            self._transport.close()

    def check_backlog(self) -> bool:
        transport = self._transport
        if transport is None or self.lost:
            return False
        if transport.get_write_buffer_size() > self.server.limits.stream_backlog:
            self.abort()
            return False
        return True

    def abort(self) -> None:
        self._broken = True
        if self._transport is not None:
            reset(self._transport)

    def close_when_done(self) -> None:
        """No further request is taken; what was taken is answered."""
        self._closing = True
        self.flush()

    def overdue(self, now: float) -> None:
        """Called by the sweep: ends slow senders, slow readers and idle connections."""
        limits = self.server.limits
        if self._stalled_since is not None and now - self._stalled_since > limits.stalled_s:
            self.abort()
        elif self._closing or self._queue or self._events:
            return
        elif self._reading is not None:
            if now - self._since > limits.body_s:
                self._reading = None
                self._refuse(Fault(408, "body too slow"))
        elif not self._parser.idle:
            if now - self._since > limits.head_s:
                self._refuse(Fault(408, "head too slow"))
        elif now - self._since > limits.idle_s and self._transport is not None:
            self._transport.close()


class Server:
    """Listens on one address and hands whole requests to `handler`."""

    def __init__(self, handler: Handler, limits: ServerLimits | None = None) -> None:
        self.handler = handler
        self.limits = limits or ServerLimits()
        self.loop = asyncio.get_running_loop()
        self.buffer = memoryview(bytearray(65_536))
        # A dict for its order, which a set of objects would take from their addresses in memory.
        self.connections: dict[ServerConnection, None] = {}
        self.requests = self.faults = 0
        self.address: tuple[str, int] = ("", 0)
        self._made = 0
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.TimerHandle | None = None

    async def listen(self, host: str, port: int) -> None:
        """OSError when the address can't be had."""
        self._server = await self.loop.create_server(self._protocol, host, port, backlog=1024)
        self.address = self._server.sockets[0].getsockname()[:2]
        if self._sweeper is None:
            self._sweep()

    def _protocol(self) -> ServerConnection:
        self._made += 1
        return ServerConnection(self, self._made)

    def _sweep(self) -> None:
        now = self.loop.time()
        for connection in list(self.connections):
            connection.overdue(now)
        limits = self.limits
        every = max(min(limits.head_s, limits.body_s, limits.idle_s, limits.stalled_s) / 4, 0.05)
        self._sweeper = self.loop.call_later(every, self._sweep)

    def stop_listening(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None

    def close_when_done(self) -> None:
        for connection in list(self.connections):
            connection.close_when_done()

    def abort(self) -> None:
        """Stops at once: nothing more is answered."""
        self.stop_listening()
        if self._sweeper is not None:
            self._sweeper.cancel()
            self._sweeper = None
        for connection in list(self.connections):
            connection.abort()
