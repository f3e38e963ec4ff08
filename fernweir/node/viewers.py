"""The listener towards viewers and the platform's distributor. A thin shell."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from math import ceil

from fernweir.front.commands import Answer, Kind, Over
from fernweir.front.core import Core
from fernweir.interface import Result
from fernweir.node.buffer import Shell
from fernweir.node.config import Address
from fernweir.node.jsonl import NO_ID, LineError, Lines, Message, read, write
from fernweir.node.limits import Door, Patience, Remembered
from fernweir.node.requests import Requests
from fernweir.node.servers import Servers

# Causes of Q.850, as far as the platform gives them a meaning of their own.
NORMAL, REFUSED, BROKEN, UNKNOWN_ID, UNREADABLE = 16, 34, 41, 81, 111
_ENDS = {Result.OK: NORMAL}
_WRITE_MOST = 256 * 1024  # a reader who doesn't read is let go
_BACKLOG, _ACCEPTS = 1024, 64
_SWEEP_S = 0.25
_TELL_WITHIN_MS = 8_000.0  # PROTOCOL: a release that no connection could carry comes within 8 s of the end


class Viewers:
    """Takes what viewers send, and tells them answers and ends."""

    def __init__(self, core: Core, requests: Requests, servers: Servers, door: Door[Connection]) -> None:
        self.core, self.requests, self.servers, self.door = core, requests, servers, door
        self.ready = False
        self.remembered = Remembered()
        self.open: dict[str, tuple[int, Connection]] = {}  # set-ups without an answer, by id
        self.home: dict[str, Connection] = {}  # sessions that stand, by the connection they came on
        self.spoken: dict[Connection, None] = {}  # connections that served sessions, newest last
        self._untold: deque[tuple[float, bytes]] = deque()
        self._listening: socket.socket | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._made: set[Connection] = set()  # whose transport is there, closing ones too
        self.came = 0  # reads and connections so far
        core.on_over = self.over

    # --- connections ---

    def listen(self, there: Address) -> None:
        """OSError if the address can't be had."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        try:
            sock.bind(there)
            sock.listen(_BACKLOG)
        except OSError:
            sock.close()
            raise
        self._listening = sock
        self.core.loop.add_reader(sock.fileno(), self._accept)
        self.core.loop.call_later(_SWEEP_S, self._sweep)

    @property
    def address(self) -> Address:
        assert self._listening is not None
        host, port = self._listening.getsockname()
        return host, port

    @property
    def arriving(self) -> bool:
        """Whether a connection was accepted that isn't read from yet."""
        return bool(self._tasks)

    @property
    def owed(self) -> bool:
        """Whether an answer is missing, or not with the kernel yet."""
        return bool(self.open) or any(one.unsent for one in self._made)

    def stop(self) -> None:
        """Takes nothing more; connections close once what was written on them is out."""
        if self._listening is not None:
            self.core.loop.remove_reader(self._listening.fileno())
            self._listening.close()
            self._listening = None
        for connection in list(self._made):
            connection.close()

    def made(self, connection: Connection) -> None:
        self._made.add(connection)
        if self._listening is None:
            connection.close()

    def _accept(self) -> None:
        # Own accepting, so that a newcomer is counted before it costs a second descriptor.
        assert self._listening is not None
        for _ in range(_ACCEPTS):
            try:
                sock, _ = self._listening.accept()
            except OSError:
                return
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.came += 1
            newcomer = Connection(self)
            victim = self.door.arrive(newcomer, self.core.now())
            if victim is newcomer:
                sock.close()
                continue
            if victim is not None:
                victim.end()
            task = self.core.loop.create_task(self._attach(newcomer, sock))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _attach(self, newcomer: Connection, sock: socket.socket) -> None:
        try:
            await self.core.loop.connect_accepted_socket(lambda: newcomer, sock)
        except OSError:
            self.door.leave(newcomer)
            sock.close()

    def _sweep(self) -> None:
        if self._listening is None:
            return
        now = self.core.now()
        for connection in self.door.overdue(now):
            if connection.began:  # to one that said nothing, nothing is said: a request may be on its way
                connection.refuse(LineError("nothing whole in time"))
            connection.end()
        while self._untold and self._untold[0][0] <= now:
            self._untold.popleft()
        self.core.loop.call_later(_SWEEP_S, self._sweep)

    # --- messages ---

    def take(self, connection: Connection, message: Message) -> None:
        if message.type == "ping":
            passed = self.ready and not self.core.host.closing
            connection.send(Message("pong", message.id, cause=1 if passed else 0))
        elif message.type == "setup":
            self._set_up(connection, message)
        elif message.type == "release":
            self._release(connection, message)
        elif message.type not in ("released", "progress"):
            raise LineError(f"{message.type} is not for a front node", message.id)

    def _set_up(self, connection: Connection, message: Message) -> None:
        id, core = message.id, self.core
        if id in self.open and self.open[id][1] is connection:
            # Whose description would its answer be for? Neither: the open one ends here.
            self._drop(id)
            self.remembered.add(id)
            raise LineError("an id that is open", id)
        ticket = core.ticket()
        ask, at = self.requests.read(message, ticket)
        if at:
            if self.servers.take_over(ask, at):
                self._stands(id, connection)
            elif core.host.session(id) is None:
                connection.send(Message("release", id, cause=BROKEN))
            return
        if core.host.session(id) is not None or id in self.remembered:
            raise LineError("an id that is in use")
        self.open[id] = (ticket, connection)
        connection.requests.add(id)
        self.door.opened(connection)
        core.ask(ask, lambda answer: self._answer(id, answer))

    def _release(self, connection: Connection, message: Message) -> None:
        id, core = message.id, self.core
        if id in self.open:
            self._drop(id)
            self.remembered.add(id)
        elif core.host.release(core.now(), id):
            core.kick()
        elif id not in self.remembered and id not in self.home:  # there: its end is about to be told
            raise LineError("no such session", id)

    def _drop(self, id: str) -> None:
        """The viewer of an open set-up wants it no more."""
        ticket, connection = self.open.pop(id)
        connection.requests.discard(id)
        self.door.closed(connection, self.core.now())
        self.core.withdraw(ticket)
        connection.end_if_left()

    def _answer(self, id: str, answer: Answer) -> None:
        _, connection = self.open.pop(id)
        connection.requests.discard(id)
        self.door.closed(connection, self.core.now())
        self._say(id, connection, answer)
        connection.end_if_left()

    def _say(self, id: str, connection: Connection, answer: Answer) -> None:
        if answer.kind is Kind.PLAYS:
            assert isinstance(answer.payload, str)
            connection.send(Message("answer", id, sdp=answer.payload))
            self._stands(id, connection)
            return
        self.remembered.add(id)
        if answer.kind is Kind.REFUSED:
            wait = ceil(answer.retry_after_ms)
            fields: dict[str, str | int | float] = {"wait": str(wait)} if wait > 0 else {}
            connection.send(Message("release", id, fields, REFUSED))
        else:
            connection.send(Message("release", id, cause=BROKEN))

    # --- sessions that stand ---

    def _stands(self, id: str, connection: Connection) -> None:
        self.home[id] = connection
        connection.sessions.add(id)
        connection.patience.well()
        self.spoken.pop(connection, None)
        self.spoken[connection] = None
        while self._untold:
            connection.write(self._untold.popleft()[1])

    def over(self, over: Over) -> None:
        """What stood is over: its viewer hears on its connection, else on any that served viewers."""
        id = over.session.jti
        self.remembered.add(id)
        connection = self.home.pop(id, None)
        if connection is not None:
            connection.sessions.discard(id)
        if over.by_viewer:
            return
        message = (
            Message("move", id)
            if over.moved
            else Message("release", id, cause=_ENDS.get(over.result, BROKEN))
        )
        if connection is None or not connection.usable:
            connection = next((one for one in reversed(self.spoken) if one.usable), None)
        if connection is not None:
            connection.send(message)
        else:
            self._untold.append((self.core.now() + _TELL_WITHIN_MS, write(message)))

    def lost(self, connection: Connection, why: str) -> None:
        self._made.discard(connection)
        self.gone(connection, why)

    def gone(self, connection: Connection, why: str) -> None:
        """A connection is over: what is open on it can't be answered, what stands stays."""
        dropped = list(connection.requests)
        if dropped:
            self.core.log.info("connection ended with requests open", requests=len(dropped), why=why)
        for id in dropped:  # not remembered: a viewer may send it again on a new connection
            self._drop(id)
        for id in connection.sessions:
            self.home.pop(id, None)
        self.spoken.pop(connection, None)
        self.door.leave(connection)


class Connection(Shell):
    """One connection from viewers, or from the distributor."""

    def __init__(self, viewers: Viewers) -> None:
        self._viewers = viewers
        self._lines = Lines()
        self.patience = Patience()
        self._left = False
        self.began = False
        self.requests: set[str] = set()  # set-ups without an answer
        self.sessions: set[str] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._viewers.made(self)

    def bytes_came(self, data: memoryview) -> None:
        viewers, now = self._viewers, self._viewers.core.now()
        viewers.came += 1
        self.began = True
        spoilt: LineError | None = None
        try:
            lines = self._lines.feed(data)
        except LineError as error:
            lines, spoilt = self._lines.read, error
        for line in lines:
            if not self.usable:
                return
            try:
                message = read(line)
                viewers.take(self, message)
                viewers.door.spoke(self, now)
                self.patience.well()
            except LineError as error:
                self.refuse(error)
                nothing_to_lose = error.id == NO_ID and not self.requests
                if nothing_to_lose or self.patience.wrong(len(self.requests)):
                    self.end()
                    return
        if spoilt is not None:
            self.refuse(spoilt)
            self.end()
            return
        viewers.door.half(self, now, self._lines.half)

    def refuse(self, error: LineError) -> None:
        """Says once that something can't be taken."""
        self._viewers.core.log.info("request refused", why=str(error), id=error.id)
        cause = UNREADABLE if error.id == NO_ID else UNKNOWN_ID
        self.send(Message("release", error.id, cause=cause))

    def send(self, message: Message) -> None:
        self.write(write(message))

    def write(self, data: bytes) -> None:
        if not self.usable:
            return
        assert self.transport is not None
        self.transport.write(data)
        if self.transport.get_write_buffer_size() > _WRITE_MOST:
            self.transport.abort()

    def end(self) -> None:
        """Closes after what was written is out."""
        self._viewers.gone(self, "closed here")
        self.close()

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()

    def eof_received(self) -> bool:
        """A viewer that ends its side may still read: what it asked is answered first."""
        self._left = True
        return bool(self.requests)

    def end_if_left(self) -> None:
        if self._left and not self.requests and self.transport is not None:
            self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self._viewers.lost(self, str(exc) if exc is not None else "closed there")
