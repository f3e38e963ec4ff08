"""An HTTP/1.1 server on asyncio's BufferedProtocol, a thin layer around `RequestParser`.

Requests of a connection may be pipelined; their responses are sent in request order, whatever order they are
given in. The handler is called once a request is complete, and responds now or later through its `Exchange`.
All connections of a server share one receive buffer, as bytes are parsed before the loop reads again. One
sweep over all connections replaces timers, so that an idle connection costs little.
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
    """Limits of the server. Times are in seconds."""

    parse: Limits = field(default_factory=lambda: Limits(body=65_536))
    connections: int = 20_000
    pipeline: int = 32
    head_s: float = 10.0
    body_s: float = 10.0
    idle_s: float = 75.0
    stalled_s: float = 10.0
    stream_backlog: int = 1_048_576


def encode_head(status: int, headers: Iterable[tuple[str, str]]) -> bytes:
    """Encodes a response head. Raises ValueError for CR or LF in a value, which would split the response."""
    lines = [f"HTTP/1.1 {status} {_PHRASES.get(status, 'Status')}\r\n"]
    for name, value in headers:
        if "\r" in value or "\n" in value:
            raise ValueError(f"line break in {name}")
        lines.append(f"{name}: {value}\r\n")
    lines.append("\r\n")
    return "".join(lines).encode("latin-1")


class Exchange:
    """One request and its response.

    `on_connection_lost` is called if the connection is lost before the kernel accepted the complete response.
    `on_half_closed` is called earlier, if the peer closes its sending side: it may still read. A request may
    be passed to the handler after that; then `half_closed` is set from the start, without a callback.
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
        "on_connection_lost",
        "on_half_closed",
    )

    def __init__(self, connection: ServerConnection, head: RequestHead) -> None:
        self.head = head
        self.body = b""
        self.on_connection_lost: Callable[[], None] | None = None
        self.on_half_closed: Callable[[], None] | None = None
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
    def connection_lost(self) -> bool:
        return self._connection.lost

    @property
    def half_closed(self) -> bool:
        """Returns whether the peer has closed its sending side; a response is still expected."""
        return self._connection.half_closed

    def respond(self, status: int, headers: Iterable[tuple[str, str]] = (), body: bytes = b"") -> None:
        """Sends a complete response. Raises RuntimeError for a second response to one request."""
        fields = list(headers)
        if status != 204 and status >= 200:
            fields.append(("content-length", str(len(body))))
        self._start(status, fields)
        if self.head.method != "HEAD" and status not in (204, 304):
            self._send(body)
        self.end()

    def stream(self, status: int, headers: Iterable[tuple[str, str]] = ()) -> None:
        """Starts a response of unknown length: chunked, or until an HTTP/1.0 connection closes."""
        fields = list(headers)
        fields.append(("transfer-encoding", "chunked") if self.head.minor else ("connection", "close"))
        self._start(status, fields)

    def write(self, data: bytes) -> bool:
        """Sends a part of a stream. Returns False and aborts the connection if the peer doesn't read."""
        if not data or self._done or self.connection_lost:
            return not self.connection_lost
        if self.head.minor:
            data = b"%x\r\n%s\r\n" % (len(data), data)
        self._send(data)
        return self._connection.check_backlog()

    def end(self) -> None:
        """Completes the response."""
        if self._done:
            return
        self._done = True
        self._connection.flush()

    def finish_stream(self) -> None:
        if self._started and not self._done and self.head.minor:
            self._send(b"0\r\n\r\n")
        self.end()

    def drop(self) -> None:
        """Aborts the connection without a response."""
        self._connection.abort()

    def cut(self) -> None:
        """Closes the connection in order, but before the response is complete."""
        self._done = True
        self._connection.close_after(self)

    def send_raw(self, data: bytes) -> None:
        """Sends bytes without any checks, for test servers that misbehave."""
        self._started = True
        self._send(data)

    def _start(self, status: int, fields: list[tuple[str, str]]) -> None:
        if self._started:
            raise RuntimeError("a request can be answered only once")
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
    """One connection. The `Server` that created it owns the receive buffer and the sweep."""

    def __init__(self, server: Server, number: int) -> None:
        self.server = server
        self.number = number
        self.lost = False
        self._parser = RequestParser(server.limits.parse)
        self._transport: asyncio.Transport | None = None
        self._queue: deque[Exchange] = deque()
        self._unflushed: list[Exchange] = []  # answered, but the kernel may not have accepted every byte yet
        self._aborted = False  # not closed in order: unsent bytes are lost
        self._reading: Exchange | None = None
        self._fault: Fault | None = None
        self._events: deque[HttpEvent] = deque()
        self._closing = self.half_closed = self._processing = False
        self._read_paused = self._flushing = False
        self._phase_started_s = server.loop.time()
        self._stalled_since_s: float | None = None

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
            self._phase_started_s = self.server.loop.time()
        self._events.extend(events)
        self._process_events()

    def eof_received(self) -> bool:
        """Handles a half-close, which is also all that is seen of a client that disconnected.

        Nothing more is read. Pending requests are still answered, as a client may close its sending side and
        read on (RFC 9112, 9.6). The handler is notified and decides how. Requests that are dispatched later
        have `half_closed` set.
        """
        queued = list(self._queue)
        self._events.extend(self._parser.eof())
        self.half_closed = True
        for exchange in queued:
            if exchange.on_half_closed is not None and not exchange._done:
                exchange.on_half_closed()
        self._process_events()
        return bool(self._queue)

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost = self._closing = True
        self._events.clear()
        self.server.connections.pop(self, None)
        waiting, self._queue = list(self._queue), deque()
        if exc is None and not self._aborted:
            self._unflushed = []
        lost, self._unflushed = self._unflushed + waiting, []
        for exchange in lost:
            if exchange.on_connection_lost is not None:
                exchange.on_connection_lost()
        self._reading = None

    def pause_writing(self) -> None:
        self._stalled_since_s = self.server.loop.time()
        self._update_reading()

    def resume_writing(self) -> None:
        self._stalled_since_s = None
        self._update_reading()

    # --- reading ---

    def _process_events(self) -> None:
        """Handles parsed events up to the pipeline limit; the others wait."""
        if self._processing:
            return
        self._processing = True
        while self._events and not self._closing and len(self._queue) < self.server.limits.pipeline:
            self._handle_event(self._events.popleft())
        self._processing = False
        if self.half_closed and not self._events and not self._closing:
            self._closing = True
            self.flush()
        self._update_reading()

    def _handle_event(self, event: HttpEvent) -> None:
        if isinstance(event, RequestHead):
            self._reading = Exchange(self, event)
            self._phase_started_s = self.server.loop.time()
            if event.expects_continue and not self._queue and self._transport is not None:
                self._transport.write(_CONTINUE)
        elif isinstance(event, Data):
            if self._reading is not None:
                self._reading._body.append(event.body)
        elif isinstance(event, End):
            exchange, self._reading = self._reading, None
            self._phase_started_s = self.server.loop.time()
            if exchange is None or self.lost:
                return
            exchange.body = b"".join(exchange._body)
            self._queue.append(exchange)
            if not exchange.head.keep_alive:
                self._closing = True
            self.server.requests += 1
            self._dispatch(exchange)
        elif isinstance(event, Fault):
            self._reject(event)

    def _dispatch(self, exchange: Exchange) -> None:
        try:
            self.server.handler(exchange)
        except Exception as error:
            # A bug in the handler must not leave the request or its connection open forever.
            self.server.loop.call_exception_handler({"message": "handler failed", "exception": error})
            if not exchange.answered:
                exchange.respond(500, [("connection", "close")])

    def _reject(self, fault: Fault) -> None:
        """Responds to an invalid request after all earlier ones are answered, and closes."""
        self.server.faults += 1
        self._closing, self._fault = True, fault
        self.flush()

    def _update_reading(self) -> None:
        """Applies back-pressure: stops reading while responses pile up or the peer doesn't read them."""
        if self._transport is None or self.lost or self._transport.is_closing():
            return
        backlogged = bool(self._events) or self._stalled_since_s is not None
        if backlogged != self._read_paused:
            self._read_paused = backlogged
            if backlogged:
                self._transport.pause_reading()
            else:
                self._transport.resume_reading()

    # --- writing ---

    def flush(self) -> None:
        """Writes the responses that are ready, in request order, and closes if no more can follow."""
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
            self._unflushed.append(self._queue.popleft())
            self._phase_started_s = self.server.loop.time()
            if first._last:
                self._closing = True
                self._discard_pipelined()
        if not self._queue and self._fault is not None:
            fault, self._fault = self._fault, None
            body = fault.reason.encode("latin-1", "replace")
            fields = [("content-type", "text/plain"), ("connection", "close")]
            ready.append(encode_head(fault.status, [*fields, ("content-length", str(len(body)))]) + body)
        if ready:
            was_closing = transport.is_closing()
            transport.write(ready[0] if len(ready) == 1 else b"".join(ready))
            self._aborted = (
                self._aborted or transport.is_closing() != was_closing
            )  # the kernel rejected the write
        if not self._aborted and not transport.get_write_buffer_size():
            self._unflushed.clear()
        self._flushing = False
        if self._closing and not self._queue:
            transport.close()
        elif self._events or self._read_paused:
            self._process_events()

    def _discard_pipelined(self) -> None:
        """Discards requests pipelined behind an announced close, which get no response (RFC 9112, 9.6)."""
        discarded, self._queue = list(self._queue), deque()
        for exchange in discarded:
            exchange._done = True
            if exchange.on_connection_lost is not None:
                exchange.on_connection_lost()

    def close_after(self, exchange: Exchange) -> None:
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
        self._aborted = True
        if self._transport is not None:
            reset(self._transport)

    def close_when_done(self) -> None:
        """Accepts no further request; accepted requests are still answered."""
        self._closing = True
        self.flush()

    def check_timeouts(self, now: float) -> None:
        """Called by the sweep: ends slow senders, slow readers and idle connections."""
        limits = self.server.limits
        if self._stalled_since_s is not None and now - self._stalled_since_s > limits.stalled_s:
            self.abort()
        elif self._closing or self._queue or self._events:
            return
        elif self._reading is not None:
            if now - self._phase_started_s > limits.body_s:
                self._reading = None
                self._reject(Fault(408, "body too slow"))
        elif not self._parser.idle:
            if now - self._phase_started_s > limits.head_s:
                self._reject(Fault(408, "head too slow"))
        elif now - self._phase_started_s > limits.idle_s and self._transport is not None:
            self._transport.close()


class Server:
    """Listens on one address and passes complete requests to `handler`."""

    def __init__(self, handler: Handler, limits: ServerLimits | None = None) -> None:
        self.handler = handler
        self.limits = limits or ServerLimits()
        self.loop = asyncio.get_running_loop()
        self.buffer = memoryview(bytearray(65_536))
        # A dict keeps insertion order; the order of a set would depend on memory addresses.
        self.connections: dict[ServerConnection, None] = {}
        self.requests = self.faults = 0
        self.address: tuple[str, int] = ("", 0)
        self._connection_count = 0
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.TimerHandle | None = None

    async def listen(self, host: str, port: int) -> None:
        """Starts to listen. Raises OSError if the address can't be bound."""
        self._server = await self.loop.create_server(self._protocol, host, port, backlog=1024)
        self.address = self._server.sockets[0].getsockname()[:2]
        if self._sweeper is None:
            self._sweep()

    def _protocol(self) -> ServerConnection:
        self._connection_count += 1
        return ServerConnection(self, self._connection_count)

    def _sweep(self) -> None:
        now = self.loop.time()
        for connection in list(self.connections):
            connection.check_timeouts(now)
        limits = self.limits
        interval_s = max(min(limits.head_s, limits.body_s, limits.idle_s, limits.stalled_s) / 4, 0.05)
        self._sweeper = self.loop.call_later(interval_s, self._sweep)

    def stop_listening(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None

    def close_when_done(self) -> None:
        for connection in list(self.connections):
            connection.close_when_done()

    def abort(self) -> None:
        """Stops at once: no further response is sent."""
        self.stop_listening()
        if self._sweeper is not None:
            self._sweeper.cancel()
            self._sweeper = None
        for connection in list(self.connections):
            connection.abort()
