"""The listener towards viewers and the platform's distributor. A thin shell."""

from __future__ import annotations

import asyncio
import os
import socket
from collections import deque
from math import ceil

from fernweir.front.commands import ReplyKind, SessionOver, SessionReply
from fernweir.front.dispatcher import Dispatcher
from fernweir.interface import Result
from fernweir.node.buffer import Shell
from fernweir.node.config import Address
from fernweir.node.jsonl import NO_SESSION_ID, LineError, LineReader, Message, decode_message, encode_message
from fernweir.node.limits import Door, Patience, Remembered
from fernweir.node.requests import SetUpParser
from fernweir.node.servers import Servers
from fernweir.node.visit import Side, Visit

# Causes of Q.850, as far as the platform gives them a meaning of their own.
NORMAL, REFUSED, BROKEN, UNKNOWN_ID, UNREADABLE = 16, 34, 41, 81, 111
_ENDS = {Result.OK: NORMAL}
_WRITE_MOST = 256 * 1024  # a reader who doesn't read is let go
_BACKLOG, _ACCEPTS, _READS = 1024, 64, 16
_SWEEP_S = 0.25
_TELL_WITHIN_MS = 8_000.0  # PROTOCOL: a release that no connection could carry comes within 8 s of the end


class Viewers:
    """Takes what viewers send, and tells them answers and ends."""

    def __init__(
        self, core: Dispatcher, requests: SetUpParser, servers: Servers, door: Door[Connection]
    ) -> None:
        self.core, self.requests, self.servers, self.door = core, requests, servers, door
        self.ready = False
        self.remembered = Remembered()
        self.open: dict[str, tuple[int, Connection]] = {}  # set-ups without an answer, by id
        # Sessions that stand, by the connection they came on while that is there, until their end is told.
        self.home: dict[str, Connection | None] = {}
        self.spoken: dict[Connection, None] = {}  # connections that served sessions, newest last
        self._untold: deque[tuple[float, str, bytes]] = deque()
        self._listening: socket.socket | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._made: set[Connection] = set()  # whose transport is there, closing ones too
        self.came = 0  # reads and connections so far
        core.on_session_over = self.over
        servers.hear_viewer = self.hear

    # --- connections ---

    def listen(self, there: Address) -> None:
        """OSError if the address can't be had."""
        # With its number, which accepted sockets inherit: by it asyncio knows where to set TCP_NODELAY.
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
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
        """Takes nothing more; connections close. What is not out by now is not heard any more."""
        if self._listening is not None:
            self.core.loop.remove_reader(self._listening.fileno())
            self._listening.close()
            self._listening = None
        for connection in list(self._made):
            connection.close()
            if connection.unsent:
                self.gone(connection, "stopped", broke=False)

    def _accept(self) -> None:
        # Own accepting, so that a newcomer is counted before it costs a second descriptor.
        assert self._listening is not None
        for _ in range(_ACCEPTS):
            try:
                sock, _ = self._listening.accept()
            except OSError:
                return
            self.came += 1
            newcomer = Connection(self, sock)
            self._hear_first()
            victim = self.door.arrive(newcomer, self.core.now())
            if victim is newcomer:
                sock.close()
                continue
            if victim is not None:
                victim.let_go()
            task = self.core.loop.create_task(self._attach(newcomer, sock))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _hear_first(self) -> None:
        """Who would go for a newcomer is heard before: with a request of its unread, it would be lost."""
        for _ in range(len(self.door)):
            first = self.door.first() if self.door.full else None
            if first is None:
                return
            first.hear()
            if self.door.first() is first:
                return

    async def _attach(self, newcomer: Connection, sock: socket.socket) -> None:
        try:
            await self.core.loop.connect_accepted_socket(lambda: newcomer, sock)
        except OSError as error:
            self.gone(newcomer, str(error), broke=True)
            sock.close()

    def made(self, connection: Connection) -> None:
        self._made.add(connection)
        self.door.made(connection, self.core.now())
        if self._listening is None:
            connection.close()

    def _sweep(self) -> None:
        if self._listening is None and not self._made:
            return
        now = self.core.now()
        for connection in self.door.overdue(now):
            connection.hear()  # a late loop may have left unread what it said in time
        for connection in self.door.overdue(now):
            connection.overdue()
        for connection in self.door.parting():
            connection.look()
        while self._untold and self._untold[0][0] <= now:
            self._untold.popleft()
        self.core.loop.call_later(_SWEEP_S, self._sweep)

    # --- messages ---

    def take(self, connection: Connection, message: Message) -> None:
        if message.type == "ping":
            passed = self.ready and not self.core.sessions.is_closing
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
        ticket = core.next_ticket()
        ask, at = self.requests.parse(message, ticket)
        if at:
            if self.servers.take_over(ask, at):
                self._stands(id, connection)
            elif core.sessions.session(id) is None:
                self.remembered.add(id)  # its viewer may end it meanwhile: one end is enough
                connection.send(Message("release", id, cause=BROKEN))
            return
        if core.sessions.session(id) is not None or id in self.remembered:
            raise LineError("an id that is in use")
        if not connection.visit.takes:
            self._say(id, connection, SessionReply(ticket, ReplyKind.REJECTED))
            return
        self.open[id] = (ticket, connection)
        connection.visit.requests.add(id)
        self.door.opened(connection)
        core.submit(ask, lambda answer: self._answer(id, answer))

    def _release(self, connection: Connection, message: Message) -> None:
        id, core = message.id, self.core
        if id in self.open:
            self._drop(id)
            self.remembered.add(id)
        elif core.sessions.release_session(core.now(), id):
            core.schedule_step()
        elif id not in self.remembered and id not in self.home:  # there: its end is about to be told
            self.remembered.add(id)  # its set-up may lie unread on another connection: this was its answer
            raise LineError("no such session", id)

    def _drop(self, id: str) -> None:
        """The viewer of an open set-up wants it no more."""
        ticket, connection = self.open.pop(id)
        connection.visit.requests.discard(id)
        self.door.closed(connection, self.core.now())
        self.core.withdraw_request(ticket)
        if connection.visit.spent:  # after the rest of what is being read
            self.core.loop.call_soon(connection.close_if_spent)

    def _answer(self, id: str, answer: SessionReply) -> None:
        _, connection = self.open.pop(id)
        connection.visit.requests.discard(id)
        self.door.closed(connection, self.core.now())
        self._say(id, connection, answer)
        connection.close_if_spent()

    def _say(self, id: str, connection: Connection, answer: SessionReply) -> None:
        if answer.kind is ReplyKind.PLAYS:
            assert isinstance(answer.payload, str)
            connection.tell(id, encode_message(Message("answer", id, sdp=answer.payload)))
            self._stands(id, connection)
            return
        self.remembered.add(id)
        if answer.kind is ReplyKind.REJECTED:
            wait = ceil(answer.retry_after_ms)
            fields: dict[str, str | int | float] = {"wait": str(wait)} if wait > 0 else {}
            connection.send(Message("release", id, fields, REFUSED))
        else:
            connection.send(Message("release", id, cause=BROKEN))

    # --- sessions that stand ---

    def _stands(self, id: str, connection: Connection) -> None:
        self.home[id] = connection
        connection.visit.sessions.add(id)
        connection.patience.well()
        if not connection.carries:
            return
        self.spoken.pop(connection, None)
        self.spoken[connection] = None
        untold, self._untold = self._untold, deque()
        for _, id_over, end in untold:
            self._tell(id_over, end)

    def over(self, over: SessionOver) -> None:
        """What stood is over: its viewer hears on its connection, else on any that served viewers."""
        id = over.request.session_id
        self.remembered.add(id)
        connection = self.home.pop(id, None)
        if connection is not None:
            connection.visit.sessions.discard(id)
            connection.visit.forget(id)
        if over.is_ended_by_viewer:
            return
        message = (
            Message("move", id)
            if over.is_moved
            else Message("release", id, cause=_ENDS.get(over.result, BROKEN))
        )
        self._tell(id, encode_message(message), connection)

    def _tell(self, id: str, end: bytes, first: Connection | None = None) -> None:
        for connection in (*([first] if first is not None else ()), *reversed(self.spoken)):
            if connection.carries and connection.tell(id, end, again=True):
                return
        self._untold.append((self.core.now() + _TELL_WITHIN_MS, id, end))

    def hear(self, id: str) -> None:
        """Before a set-up is sent on: its viewer may have left since the loop last looked."""
        if id in self.open:
            self.open[id][1].read_on()

    def left(self, connection: Connection) -> None:
        """A viewer ended its side, though it may still read: what it asked is answered, nothing begins."""
        for id in connection.visit.requests:
            self.core.on_client_half_closed(self.open[id][0])
        self.servers.drop_unwanted()  # what waits for its connection is not sent on when that comes up

    def lost(self, connection: Connection, why: str, broke: bool) -> None:
        self._made.discard(connection)
        self.gone(connection, why, broke)

    def gone(self, connection: Connection, why: str, broke: bool) -> None:
        """A connection is over: what is open on it can't be answered, what stands and was heard stays."""
        now, visit = self.core.now(), connection.visit
        unheard = visit.over(now, broke)
        if unheard is None:
            return
        dropped = list(visit.requests)
        if dropped:
            self.core.log.info("connection ended with requests open", requests=len(dropped), why=why)
        for id in dropped:  # not remembered: a viewer may send it again on a new connection
            self._drop(id)
        for id in visit.sessions:
            self.home[id] = None
        self.spoken.pop(connection, None)
        self.door.leave(connection)
        for id, word in unheard.items():
            if word.end is not None:
                self._tell(id, word.end)
                continue
            # Nobody knows that it stands. That it is over is told all the same, wherever its viewer may hear.
            self.core.log.info("answer not heard", session=id, why=why)
            self.core.sessions.revoke_session(now, id, "its viewer left")
            self.core.schedule_step()


class Connection(Shell):
    """One connection from viewers, or from the distributor. How far it is, `visit` knows."""

    def __init__(self, viewers: Viewers, sock: socket.socket) -> None:
        self._viewers, self._sock = viewers, sock
        self._lines = LineReader()
        self.patience = Patience()
        self.visit = Visit()
        self.began = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        assert self.transport is not None
        self.transport.set_write_buffer_limits(high=0)  # so that `resume_writing` says that all is out
        if self.visit.made():
            self._viewers.made(self)
        else:
            self.transport.abort()

    # --- what comes ---

    def get_buffer(self, sizehint: int) -> memoryview:
        """Asked for as something came: the end of one that waits is seen now, not as its transport tells it.

        A transport tells of a reset a turn later, after the node's next batch, which might send it on.
        """
        self.read_on()
        return super().get_buffer(sizehint)

    def buffer_updated(self, nbytes: int) -> None:
        """Behind what was asked its viewer's end may lie, which the loop's next look finds too late."""
        super().buffer_updated(nbytes)
        self.read_on()

    def hear(self) -> None:
        """Reads what has come by now, whatever of it the loop has seen."""
        if self.visit.hears and self.usable:
            self._read_more()
            self.read_on()

    def read_on(self) -> None:
        """Reads to the end of what is there while something is open."""
        for _ in range(_READS):
            if not (self.visit.requests and self.visit.hears and self.usable and self._read_more()):
                break
        self.close_if_spent()

    def _read_more(self) -> bool:
        """Whether there was something to read."""
        try:
            nbytes = self._sock.recv_into(super().get_buffer(-1))
        except BlockingIOError:
            return False
        except OSError as error:
            self._broke(str(error))
            return False
        if nbytes:
            super().buffer_updated(nbytes)
        else:
            self.eof_received()
        return nbytes > 0

    def bytes_came(self, data: memoryview) -> None:
        viewers, now = self._viewers, self._viewers.core.now()
        viewers.came += 1
        self.began = True
        spoilt: LineError | None = None
        try:
            lines = self._lines.feed(data)
        except LineError as error:
            lines, spoilt = self._lines.complete_lines, error
        for line in lines:
            if not (self.visit.hears and self.usable):
                return
            self._line(line, now)
        if self.visit.takes:
            if spoilt is None:
                if lines:  # what is half by now began after them
                    viewers.door.half(self, now, False)
                viewers.door.half(self, now, self._lines.has_partial_line)
            else:
                self.refuse(spoilt)
                self._take_no_more()

    def _line(self, line: bytes, now: float) -> None:
        try:
            self._viewers.take(self, decode_message(line))
            self._viewers.door.spoke(self, now)
            self.patience.well()
        except LineError as error:
            if not self.visit.takes:
                if error.session_id != NO_SESSION_ID:
                    self.refuse(error)
                return
            self.refuse(error)
            open_requests = len(self.visit.requests)
            if (error.session_id == NO_SESSION_ID and not open_requests) or self.patience.wrong(
                open_requests
            ):
                self._take_no_more()

    def eof_received(self) -> bool:
        if self.visit.leave():
            self._viewers.left(self)
            self.look()
            self.close_if_spent()
        return True  # it closes by itself

    # --- what is said ---

    @property
    def carries(self) -> bool:
        """Whether the end of any session may be told here."""
        return self.visit.hears and self.usable

    def refuse(self, error: LineError) -> None:
        """Says once that something can't be taken."""
        self._viewers.core.log.info("request refused", why=str(error), id=error.session_id)
        cause = UNREADABLE if error.session_id == NO_SESSION_ID else UNKNOWN_ID
        self.send(Message("release", error.session_id, cause=cause))

    def send(self, message: Message) -> None:
        self.write(encode_message(message))

    def tell(self, id: str, data: bytes, again: bool = False) -> bool:
        """Says something of a session, which is to be known if it wasn't heard. False if it can't be said."""
        said = self.write(data)
        if said or not again:
            out = said and not self.unsent
            self.visit.said(id, self._viewers.core.now(), data if again else None, out)
        return said

    def write(self, data: bytes) -> bool:
        """False if the connection has no way for it: it broke, or its reader doesn't read."""
        if not (self.visit.says and self.usable):
            return False
        assert self.transport is not None
        self.transport.write(data)
        if self.unsent > _WRITE_MOST:
            self.transport.abort()
        return self.usable

    def resume_writing(self) -> None:
        self.visit.flushed(self._viewers.core.now())

    # --- its end ---

    def end(self) -> None:
        """Takes nothing new; closes once what is open is answered, and what was written is out."""
        self._take_no_more()
        self.close_if_spent()

    def _take_no_more(self) -> None:
        self.visit.end()
        self._viewers.door.half(self, 0.0, False)

    def overdue(self) -> None:
        """It has had its time to say something whole, or to read what it was told last."""
        if not self.visit.says:
            self._drop()
            return
        if self.began:  # to one that said nothing, nothing is said: a request may be on its way
            self.refuse(LineError("nothing whole in time"))
        self.end()

    def let_go(self) -> None:
        """Its descriptor is wanted for another."""
        if self.visit.side is Side.NEW:
            self._viewers.gone(self, "let go", broke=False)
            return
        self.end()
        self.look()
        if self.unsent or self.visit.side is Side.PARTED:
            self._drop()

    def close_if_spent(self) -> None:
        if self.visit.spent:
            self.close()

    def close(self) -> None:
        """Nothing more is said. After a viewer's own end, word of its last answers is waited for."""
        if self.transport is None or not self.visit.says:
            return
        now = self._viewers.core.now()
        self._viewers.door.part(self, now)
        if not self.visit.close(now):
            self.transport.close()
            return
        try:
            if self.usable and not self.unsent:
                self.transport.write_eof()
        except OSError as error:
            self._broke(str(error))
        self.look()

    def look(self) -> None:
        """Whether what was said last met a closed end; a reader would not be told after the other's end."""
        if not self.usable:
            return
        error = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            self._broke(os.strerror(error))
        elif self.visit.side is Side.PARTED and not self.visit.doubtful(self._viewers.core.now()):
            self._drop()

    def _broke(self, why: str) -> None:
        self._viewers.gone(self, why, broke=True)
        self._drop()

    def _drop(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self._viewers.lost(self, str(exc) if exc is not None else "closed", exc is not None)
