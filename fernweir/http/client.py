"""An HTTP/1.1 client on asyncio's BufferedProtocol that knows what became of a request's bytes.

Whether a request provably never ran rests on one fact: were its bytes ever handed to a connection? So a
call ends in exactly one `Outcome`, and `UNSENT` or `REFUSED` are said only while no byte of it was written.
A connection carries one call at a time. There are no retries in here: those are decisions.
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
_SPLITS = re.compile(r"[\x00-\x20\x7f]")


class Outcome(Enum):
    """How a call ended. The first four prove that the peer never saw it."""

    REFUSED = "refused"  # the peer's system said that nobody listens there
    UNREACHED = "unreached"  # no connection came about, which may be this side's doing, or the way's
    UNSENT = "unsent"  # the connection broke, or time ran out, before a byte was written
    UNWANTED = "unwanted"  # the caller no longer wanted it when its turn came
    ANSWERED = "answered"
    RESET = "reset"  # bytes went out, and the connection broke before a byte came back
    CUT = "cut"  # the connection broke, or ended, inside the answer
    SILENT = "silent"  # time ran out with no byte back
    STALLED = "stalled"  # time ran out inside the answer
    GARBLED = "garbled"  # the answer isn't HTTP
    CANCELLED = "cancelled"  # the caller called it off after bytes went out

    @property
    def never_ran(self) -> bool:
        return self in (Outcome.REFUSED, Outcome.UNREACHED, Outcome.UNSENT, Outcome.UNWANTED)


@dataclass(frozen=True, slots=True)
class Reply:
    """The end of a call; `status` is 0 and `headers` are empty unless the answer's head was read."""

    outcome: Outcome
    status: int = 0
    headers: Headers = field(default_factory=Headers)
    body: bytes = b""
    detail: str = ""


def encode_request(
    method: str, target: str, host: str, headers: Iterable[tuple[str, str]] = (), body: bytes = b""
) -> bytes:
    """A request with its body. A line break or space that would split it is a ValueError."""
    if _SPLITS.search(target) or _SPLITS.search(method):
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


class Call:
    """One request. `on_done` is called exactly once; a stream also gets `on_head` and `on_data`."""

    __slots__ = ("_connection", "_timer", "data", "done", "method", "on_data", "on_done", "on_head", "origin",
                 "pool", "wanted")  # fmt: skip

    def __init__(
        self,
        pool: Pool,
        origin: Origin,
        method: str,
        data: bytes,
        on_done: Callable[[Reply], None],
        wanted: Callable[[], bool] | None,
        on_head: Callable[[ResponseHead], None] | None,
        on_data: Callable[[bytes], None] | None,
    ) -> None:
        self.pool, self.origin, self.method, self.data = pool, origin, method, data
        self.on_done, self.wanted, self.on_head, self.on_data = on_done, wanted, on_head, on_data
        self.done = False
        self._connection: ClientConnection | None = None
        self._timer: asyncio.TimerHandle | None = None

    def cancel(self) -> None:
        """Calls it off: `CANCELLED`, or `UNWANTED` if no byte was written yet."""
        self._expire(Outcome.UNWANTED, Outcome.CANCELLED, Outcome.CANCELLED)

    def _timed_out(self) -> None:
        self._expire(Outcome.UNSENT, Outcome.SILENT, Outcome.STALLED)

    def _expire(self, unsent: Outcome, silent: Outcome, stalled: Outcome) -> None:
        if self.done:
            return
        connection = self._connection
        if connection is None:
            self.pool._forget(self)
            self._finish(Reply(unsent))
            return
        head = connection.head
        reply = Reply(
            stalled if connection.heard else silent,
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

    def __init__(self, pool: Pool, origin: Origin) -> None:
        self.pool, self.origin = pool, origin
        self.call: Call | None = None
        self.head: ResponseHead | None = None
        self.heard = self.closed = False
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
        """Writes the call: from here on it may have run."""
        assert self._transport is not None
        self.call, call._connection = call, self
        self.head, self.heard, self._body = None, False, []
        self._parser.expect(call.method)
        self._parser.endless = call.on_data is not None
        self._transport.write(call.data)

    def buffer_updated(self, nbytes: int) -> None:
        call = self.call
        if call is None:  # an answer nobody asked for: this connection can't be trusted
            self.abort()
            return
        self.heard = True
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
            self.pool._give_back(self)
        else:
            self.abort()

    def eof_received(self) -> bool:
        for event in self._parser.eof():
            if isinstance(event, End):
                self._complete()
            elif isinstance(event, Fault):
                self._fail(Outcome.CUT if self.heard else Outcome.RESET, event.reason)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        self._fail(Outcome.CUT if self.heard else Outcome.RESET, str(exc or "closed"))
        self.pool._lost(self)

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
        self.pool._lost(self)


class _Lane:
    """The connections to one origin."""

    __slots__ = ("connecting", "idle", "open", "queue")

    def __init__(self) -> None:
        self.idle: list[ClientConnection] = []
        self.open: dict[ClientConnection, None] = {}  # for its order
        self.connecting = 0
        self.queue: deque[Call] = deque()


class Pool:
    """Connections by origin. Times are seconds; `per_origin` bounds connections, streams included."""

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
        self._lanes: dict[Origin, _Lane] = {}
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
    ) -> Call:
        """Sends a request. `wanted` is asked at the last moment before its first byte is written."""
        data = encode_request(method, target, f"{origin[0]}:{origin[1]}", headers, body)
        call = Call(self, origin, method, data, on_done, wanted, on_head, on_data)
        if timeout_s is not None:
            call._timer = self.loop.call_later(max(timeout_s, 0.0), call._timed_out)
        lane = self._lanes.setdefault(origin, _Lane())
        lane.queue.append(call)
        self._serve(origin, lane)
        return call

    def _serve(self, origin: Origin, lane: _Lane) -> None:
        while lane.queue:
            connection = self._idle(lane)
            if connection is None:
                break
            call = lane.queue.popleft()
            if call.done:
                lane.idle.append(connection)
            elif call.wanted is not None and not call.wanted():
                lane.idle.append(connection)
                call._finish(Reply(Outcome.UNWANTED))
            else:
                connection.start(call)
        room = self.per_origin - len(lane.open) - lane.connecting
        for _ in range(min(len(lane.queue) - lane.connecting, room)):
            lane.connecting += 1
            task = self.loop.create_task(self._connect(origin, lane))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _idle(self, lane: _Lane) -> ClientConnection | None:
        now = self.loop.time()
        while lane.idle:
            connection = lane.idle.pop()
            if connection.usable and now - connection.idle_since < self.idle_s:
                return connection
            connection.abort()
        return None

    async def _connect(self, origin: Origin, lane: _Lane) -> None:
        made: list[ClientConnection] = []

        def protocol() -> ClientConnection:
            made.append(ClientConnection(self, origin))
            return made[0]

        outcome, detail = Outcome.UNREACHED, ""
        try:
            async with asyncio.timeout(self.connect_s):
                await self.loop.create_connection(protocol, *origin)
        except TimeoutError:
            detail = "connect timed out"
        except ConnectionRefusedError as error:
            outcome, detail = Outcome.REFUSED, str(error)
        except (OSError, UnicodeError) as error:  # the latter: a name that can be none
            detail = str(error)
        finally:
            lane.connecting -= 1
        if detail or self.closed:
            if made and made[0].usable:
                made[0].abort()
            # This attempt stood for one queued call: the oldest is told, the others have their own.
            if len(lane.queue) > lane.connecting:
                lane.queue.popleft()._finish(Reply(outcome, detail=detail or "closed"))
            return
        lane.open[made[0]] = None
        made[0].idle_since = self.loop.time()
        lane.idle.append(made[0])
        self._serve(origin, lane)

    def _give_back(self, connection: ClientConnection) -> None:
        connection.idle_since = self.loop.time()
        lane = self._lanes[connection.origin]
        lane.idle.append(connection)
        if lane.queue:
            self._serve(connection.origin, lane)

    def _lost(self, connection: ClientConnection) -> None:
        lane = self._lanes.get(connection.origin)
        if lane is None:
            return
        if connection in lane.open:
            del lane.open[connection]
            if lane.queue and not self.closed:
                self._serve(connection.origin, lane)
        if connection in lane.idle:
            lane.idle.remove(connection)

    def _forget(self, call: Call) -> None:
        lane = self._lanes.get(call.origin)
        if lane is not None and call in lane.queue:
            lane.queue.remove(call)

    def close(self) -> None:
        """Breaks all connections; calls under way end as such."""
        self.closed = True
        for task in list(self._tasks):
            task.cancel()
        for lane in list(self._lanes.values()):
            for call in list(lane.queue):
                call._finish(Reply(Outcome.UNWANTED, detail="closed"))
            lane.queue.clear()
            for connection in list(lane.open):
                connection.abort()
