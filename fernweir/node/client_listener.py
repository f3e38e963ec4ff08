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
from fernweir.node.client_connection_state import ClientConnectionState, ConnectionPhase
from fernweir.node.config import Address
from fernweir.node.jsonl import NO_ID, LineError, Lines, Message, read, write
from fernweir.node.limits import ConnectionAdmission, ErrorTolerance, RecentIds
from fernweir.node.requests import Requests
from fernweir.node.servers import Servers
from fernweir.node.shared_buffer import SharedBufferProtocol

# Causes of Q.850, as far as the platform gives them a meaning of their own.
CAUSE_NORMAL, CAUSE_REJECTED, CAUSE_FAILED, CAUSE_UNKNOWN_SESSION, CAUSE_MALFORMED = 16, 34, 41, 81, 111
_CAUSE_BY_RESULT = {Result.OK: CAUSE_NORMAL}
_MAX_UNSENT_BYTES = 256 * 1024  # a reader who doesn't read is let go
_LISTEN_BACKLOG, _MAX_ACCEPTS_PER_CALL, _MAX_READS_PER_CALL = 1024, 64, 16
IDLE_SWEEP_INTERVAL_S = 0.25
_SESSION_END_TTL_MS = (
    8_000.0  # PROTOCOL: a release that no connection could carry comes within 8 s of the end
)


class ClientListener:
    """Takes what viewers send, and tells them answers and ends."""

    def __init__(
        self,
        core: Dispatcher,
        requests: Requests,
        servers: Servers,
        door: ConnectionAdmission[ClientConnection],
    ) -> None:
        self.dispatcher, self.parser, self.servers, self.admission = core, requests, servers, door
        self.is_ready = False
        self.recent_ids = RecentIds()
        self.open_requests: dict[str, tuple[int, ClientConnection]] = {}  # set-ups without an answer, by id
        # Sessions that stand, by the connection they came on while that is there, until their end is told.
        self.connection_by_session: dict[str, ClientConnection | None] = {}
        self.serving_connections: dict[
            ClientConnection, None
        ] = {}  # connections that served sessions, newest last
        self._undelivered_ends: deque[tuple[float, str, bytes]] = deque()
        self._listening_socket: socket.socket | None = None
        self._attach_tasks: set[asyncio.Task[None]] = set()
        self.connections: set[ClientConnection] = set()  # whose transport is there, closing ones too
        self.activity_count = 0  # reads and connections so far
        core.on_session_over = self.on_session_ended
        servers.hear_viewer = self.read_client_input

    # --- connections ---

    def listen(self, there: Address) -> None:
        """OSError if the address can't be had."""
        # With its number, which accepted sockets inherit: by it asyncio knows where to set TCP_NODELAY.
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        try:
            sock.bind(there)
            sock.listen(_LISTEN_BACKLOG)
        except OSError:
            sock.close()
            raise
        self._listening_socket = sock
        self.dispatcher.loop.add_reader(sock.fileno(), self.accept_connections)
        self.dispatcher.loop.call_later(IDLE_SWEEP_INTERVAL_S, self._sweep_idle_connections)

    @property
    def address(self) -> Address:
        assert self._listening_socket is not None
        host, port = self._listening_socket.getsockname()
        return host, port

    @property
    def has_pending_connections(self) -> bool:
        """Whether a connection was accepted that isn't read from yet."""
        return bool(self._attach_tasks)

    @property
    def has_unsent_replies(self) -> bool:
        """Whether an answer is missing, or not with the kernel yet."""
        return bool(self.open_requests) or any(one.unsent_bytes for one in self.connections)

    def shutdown(self) -> None:
        """Takes nothing more; connections close. What is not out by now is not heard any more."""
        if self._listening_socket is not None:
            self.dispatcher.loop.remove_reader(self._listening_socket.fileno())
            self._listening_socket.close()
            self._listening_socket = None
        for connection in list(self.connections):
            connection.close()
            if connection.unsent_bytes:
                self.on_client_disconnected(connection, "stopped", broke=False)

    def accept_connections(self) -> None:
        # Own accepting, so that a newcomer is counted before it costs a second descriptor.
        assert self._listening_socket is not None
        for _ in range(_MAX_ACCEPTS_PER_CALL):
            try:
                sock, _ = self._listening_socket.accept()
            except OSError:
                return
            self.activity_count += 1
            newcomer = ClientConnection(self, sock)
            self._read_before_eviction()
            victim = self.admission.admit(newcomer, self.dispatcher.now())
            if victim is newcomer:
                sock.close()
                continue
            if victim is not None:
                victim.evict()
            task = self.dispatcher.loop.create_task(self._attach_transport(newcomer, sock))
            self._attach_tasks.add(task)
            task.add_done_callback(self._attach_tasks.discard)

    def _read_before_eviction(self) -> None:
        """Who would go for a newcomer is heard before: with a request of its unread, it would be lost."""
        for _ in range(len(self.admission)):
            first = self.admission.eviction_candidate() if self.admission.is_full else None
            if first is None:
                return
            first.read_available()
            if self.admission.eviction_candidate() is first:
                return

    async def _attach_transport(self, newcomer: ClientConnection, sock: socket.socket) -> None:
        try:
            await self.dispatcher.loop.connect_accepted_socket(lambda: newcomer, sock)
        except OSError as error:
            self.on_client_disconnected(newcomer, str(error), broke=True)
            sock.close()

    def on_connection_made(self, connection: ClientConnection) -> None:
        self.connections.add(connection)
        self.admission.on_connection_made(connection, self.dispatcher.now())
        if self._listening_socket is None:
            connection.close()

    def _sweep_idle_connections(self) -> None:
        if self._listening_socket is None and not self.connections:
            return
        now = self.dispatcher.now()
        for connection in self.admission.timed_out_connections(now):
            connection.read_available()  # a late loop may have left unread what it said in time
        for connection in self.admission.timed_out_connections(now):
            connection.on_idle_timeout()
        for connection in self.admission.closing_connections():
            connection.check_last_delivery()
        while self._undelivered_ends and self._undelivered_ends[0][0] <= now:
            self._undelivered_ends.popleft()
        self.dispatcher.loop.call_later(IDLE_SWEEP_INTERVAL_S, self._sweep_idle_connections)

    # --- messages ---

    def handle_message(self, connection: ClientConnection, message: Message) -> None:
        if message.type == "ping":
            passed = self.is_ready and not self.dispatcher.sessions.is_closing
            connection.send_message(Message("pong", message.id, cause=1 if passed else 0))
        elif message.type == "setup":
            self._set_up_session(connection, message)
        elif message.type == "release":
            self._release_session(connection, message)
        elif message.type not in ("released", "progress"):
            raise LineError(f"{message.type} is not for a front node", message.id)

    def _set_up_session(self, connection: ClientConnection, message: Message) -> None:
        id, core = message.id, self.dispatcher
        if id in self.open_requests and self.open_requests[id][1] is connection:
            # Whose description would its answer be for? Neither: the open one ends here.
            self._withdraw_request(id)
            self.recent_ids.add(id)
            raise LineError("an id that is open", id)
        ticket = core.next_ticket()
        ask, at = self.parser.read(message, ticket)
        if at:
            if self.servers.take_over(ask, at):
                self._on_session_established(id, connection)
            elif core.sessions.session(id) is None:
                self.recent_ids.add(id)  # its viewer may end it meanwhile: one end is enough
                connection.send_message(Message("release", id, cause=CAUSE_FAILED))
            return
        if core.sessions.session(id) is not None or id in self.recent_ids:
            raise LineError("an id that is in use")
        if not connection.state.may_accept_requests:
            self._send_reply(id, connection, SessionReply(ticket, ReplyKind.REJECTED))
            return
        self.open_requests[id] = (ticket, connection)
        connection.state.open_requests.add(id)
        self.admission.on_request_opened(connection)
        core.submit(ask, lambda answer: self._on_reply(id, answer))

    def _release_session(self, connection: ClientConnection, message: Message) -> None:
        id, core = message.id, self.dispatcher
        if id in self.open_requests:
            self._withdraw_request(id)
            self.recent_ids.add(id)
        elif core.sessions.release_session(core.now(), id):
            core.schedule_step()
        elif (
            id not in self.recent_ids and id not in self.connection_by_session
        ):  # there: its end is about to be told
            self.recent_ids.add(id)  # its set-up may lie unread on another connection: this was its answer
            raise LineError("no such session", id)

    def _withdraw_request(self, id: str) -> None:
        """The viewer of an open set-up wants it no more."""
        ticket, connection = self.open_requests.pop(id)
        connection.state.open_requests.discard(id)
        self.admission.on_request_finished(connection, self.dispatcher.now())
        self.dispatcher.withdraw_request(ticket)
        if connection.state.is_drained:  # after the rest of what is being read
            self.dispatcher.loop.call_soon(connection.close_if_drained)

    def _on_reply(self, id: str, answer: SessionReply) -> None:
        _, connection = self.open_requests.pop(id)
        connection.state.open_requests.discard(id)
        self.admission.on_request_finished(connection, self.dispatcher.now())
        self._send_reply(id, connection, answer)
        connection.close_if_drained()

    def _send_reply(self, id: str, connection: ClientConnection, answer: SessionReply) -> None:
        if answer.kind is ReplyKind.PLAYS:
            assert isinstance(answer.payload, str)
            connection.send_session_message(id, write(Message("answer", id, sdp=answer.payload)))
            self._on_session_established(id, connection)
            return
        self.recent_ids.add(id)
        if answer.kind is ReplyKind.REJECTED:
            wait = ceil(answer.retry_after_ms)
            fields: dict[str, str | int | float] = {"wait": str(wait)} if wait > 0 else {}
            connection.send_message(Message("release", id, fields, CAUSE_REJECTED))
        else:
            connection.send_message(Message("release", id, cause=CAUSE_FAILED))

    # --- sessions that stand ---

    def _on_session_established(self, id: str, connection: ClientConnection) -> None:
        self.connection_by_session[id] = connection
        connection.state.sessions.add(id)
        connection.error_tolerance.record_success()
        if not connection.may_carry_session_ends:
            return
        self.serving_connections.pop(connection, None)
        self.serving_connections[connection] = None
        untold, self._undelivered_ends = self._undelivered_ends, deque()
        for _, id_over, end in untold:
            self._send_session_end(id_over, end)

    def on_session_ended(self, over: SessionOver) -> None:
        """What stood is over: its viewer hears on its connection, else on any that served viewers."""
        id = over.request.session_id
        self.recent_ids.add(id)
        connection = self.connection_by_session.pop(id, None)
        if connection is not None:
            connection.state.sessions.discard(id)
            connection.state.forget_session(id)
        if over.is_ended_by_viewer:
            return
        message = (
            Message("move", id)
            if over.is_moved
            else Message("release", id, cause=_CAUSE_BY_RESULT.get(over.result, CAUSE_FAILED))
        )
        self._send_session_end(id, write(message), connection)

    def _send_session_end(self, id: str, end: bytes, first: ClientConnection | None = None) -> None:
        for connection in (*([first] if first is not None else ()), *reversed(self.serving_connections)):
            if connection.may_carry_session_ends and connection.send_session_message(id, end, again=True):
                return
        self._undelivered_ends.append((self.dispatcher.now() + _SESSION_END_TTL_MS, id, end))

    def read_client_input(self, id: str) -> None:
        """Before a set-up is sent on: its viewer may have left since the loop last looked."""
        if id in self.open_requests:
            self.open_requests[id][1].read_while_requests_open()

    def on_client_half_closed(self, connection: ClientConnection) -> None:
        """A viewer ended its side, though it may still read: what it asked is answered, nothing begins."""
        for id in connection.state.open_requests:
            self.dispatcher.on_client_half_closed(self.open_requests[id][0])
        self.servers.drop_unwanted()  # what waits for its connection is not sent on when that comes up

    def on_connection_lost(self, connection: ClientConnection, why: str, broke: bool) -> None:
        self.connections.discard(connection)
        self.on_client_disconnected(connection, why, broke)

    def on_client_disconnected(self, connection: ClientConnection, why: str, broke: bool) -> None:
        """A connection is over: what is open on it can't be answered, what stands and was heard stays."""
        now, visit = self.dispatcher.now(), connection.state
        unheard = visit.on_connection_ended(now, broke)
        if unheard is None:
            return
        dropped = list(visit.open_requests)
        if dropped:
            self.dispatcher.log.info("connection ended with requests open", requests=len(dropped), why=why)
        for id in dropped:  # not remembered: a viewer may send it again on a new connection
            self._withdraw_request(id)
        for id in visit.sessions:
            self.connection_by_session[id] = None
        self.serving_connections.pop(connection, None)
        self.admission.remove(connection)
        for id, word in unheard.items():
            if word.session_end is not None:
                self._send_session_end(id, word.session_end)
                continue
            # Nobody knows that it stands. That it is over is told all the same, wherever its viewer may hear.
            self.dispatcher.log.info("answer not heard", session=id, why=why)
            self.dispatcher.sessions.revoke_session(now, id, "its viewer left")
            self.dispatcher.schedule_step()


class ClientConnection(SharedBufferProtocol):
    """One connection from viewers, or from the distributor. How far it is, `visit` knows."""

    def __init__(self, viewers: ClientListener, sock: socket.socket) -> None:
        self._listener, self._socket = viewers, sock
        self._lines = Lines()
        self.error_tolerance = ErrorTolerance()
        self.state = ClientConnectionState()
        self.has_received_data = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        assert self.transport is not None
        self.transport.set_write_buffer_limits(high=0)  # so that `resume_writing` says that all is out
        if self.state.on_connection_made():
            self._listener.on_connection_made(self)
        else:
            self.transport.abort()

    # --- what comes ---

    def get_buffer(self, sizehint: int) -> memoryview:
        """Asked for as something came: the end of one that waits is seen now, not as its transport tells it.

        A transport tells of a reset a turn later, after the node's next batch, which might send it on.
        """
        self.read_while_requests_open()
        return super().get_buffer(sizehint)

    def buffer_updated(self, nbytes: int) -> None:
        """Behind what was asked its viewer's end may lie, which the loop's next look finds too late."""
        super().buffer_updated(nbytes)
        self.read_while_requests_open()

    def read_available(self) -> None:
        """Reads what has come by now, whatever of it the loop has seen."""
        if self.state.may_read and self.is_usable:
            self._read_once()
            self.read_while_requests_open()

    def read_while_requests_open(self) -> None:
        """Reads to the end of what is there while something is open."""
        for _ in range(_MAX_READS_PER_CALL):
            if not (
                self.state.open_requests and self.state.may_read and self.is_usable and self._read_once()
            ):
                break
        self.close_if_drained()

    def _read_once(self) -> bool:
        """Whether there was something to read."""
        try:
            nbytes = self._socket.recv_into(super().get_buffer(-1))
        except BlockingIOError:
            return False
        except OSError as error:
            self._on_socket_error(str(error))
            return False
        if nbytes:
            super().buffer_updated(nbytes)
        else:
            self.eof_received()
        return nbytes > 0

    def data_received(self, data: memoryview) -> None:
        viewers, now = self._listener, self._listener.dispatcher.now()
        viewers.activity_count += 1
        self.has_received_data = True
        spoilt: LineError | None = None
        try:
            lines = self._lines.feed(data)
        except LineError as error:
            lines, spoilt = self._lines.read, error
        for line in lines:
            if not (self.state.may_read and self.is_usable):
                return
            self._handle_line(line, now)
        if self.state.may_accept_requests:
            if spoilt is None:
                if lines:  # what is half by now began after them
                    viewers.admission.set_partial_line(self, now, False)
                viewers.admission.set_partial_line(self, now, self._lines.half)
            else:
                self.reject_request(spoilt)
                self._stop_accepting_requests()

    def _handle_line(self, line: bytes, now: float) -> None:
        try:
            self._listener.handle_message(self, read(line))
            self._listener.admission.on_message_received(self, now)
            self.error_tolerance.record_success()
        except LineError as error:
            if not self.state.may_accept_requests:
                if error.id != NO_ID:
                    self.reject_request(error)
                return
            self.reject_request(error)
            open_requests = len(self.state.open_requests)
            if (error.id == NO_ID and not open_requests) or self.error_tolerance.record_error(open_requests):
                self._stop_accepting_requests()

    def eof_received(self) -> bool:
        if self.state.on_client_half_closed():
            self._listener.on_client_half_closed(self)
            self.check_last_delivery()
            self.close_if_drained()
        return True  # it closes by itself

    # --- what is said ---

    @property
    def may_carry_session_ends(self) -> bool:
        """Whether the end of any session may be told here."""
        return self.state.may_read and self.is_usable

    def reject_request(self, error: LineError) -> None:
        """Says once that something can't be taken."""
        self._listener.dispatcher.log.info("request refused", why=str(error), id=error.id)
        cause = CAUSE_MALFORMED if error.id == NO_ID else CAUSE_UNKNOWN_SESSION
        self.send_message(Message("release", error.id, cause=cause))

    def send_message(self, message: Message) -> None:
        self.write(write(message))

    def send_session_message(self, id: str, data: bytes, again: bool = False) -> bool:
        """Says something of a session, which is to be known if it wasn't heard. False if it can't be said."""
        said = self.write(data)
        if said or not again:
            out = said and not self.unsent_bytes
            self.state.on_message_written(id, self._listener.dispatcher.now(), data if again else None, out)
        return said

    def write(self, data: bytes) -> bool:
        """False if the connection has no way for it: it broke, or its reader doesn't read."""
        if not (self.state.may_write and self.is_usable):
            return False
        assert self.transport is not None
        self.transport.write(data)
        if self.unsent_bytes > _MAX_UNSENT_BYTES:
            self.transport.abort()
        return self.is_usable

    def resume_writing(self) -> None:
        self.state.on_write_buffer_flushed(self._listener.dispatcher.now())

    # --- its end ---

    def drain(self) -> None:
        """Takes nothing new; closes once what is open is answered, and what was written is out."""
        self._stop_accepting_requests()
        self.close_if_drained()

    def _stop_accepting_requests(self) -> None:
        self.state.stop_accepting_requests()
        self._listener.admission.set_partial_line(self, 0.0, False)

    def on_idle_timeout(self) -> None:
        """It has had its time to say something whole, or to read what it was told last."""
        if not self.state.may_write:
            self.abort()
            return
        if self.has_received_data:  # to one that said nothing, nothing is said: a request may be on its way
            self.reject_request(LineError("nothing whole in time"))
        self.drain()

    def evict(self) -> None:
        """Its descriptor is wanted for another."""
        if self.state.phase is ConnectionPhase.NEW:
            self._listener.on_client_disconnected(self, "let go", broke=False)
            return
        self.drain()
        self.check_last_delivery()
        if self.unsent_bytes or self.state.phase is ConnectionPhase.LINGERING:
            self.abort()

    def close_if_drained(self) -> None:
        if self.state.is_drained:
            self.close()

    def close(self) -> None:
        """Nothing more is said. After a viewer's own end, word of its last answers is waited for."""
        if self.transport is None or not self.state.may_write:
            return
        now = self._listener.dispatcher.now()
        self._listener.admission.on_connection_closing(self, now)
        if not self.state.close(now):
            self.transport.close()
            return
        try:
            if self.is_usable and not self.unsent_bytes:
                self.transport.write_eof()
        except OSError as error:
            self._on_socket_error(str(error))
        self.check_last_delivery()

    def check_last_delivery(self) -> None:
        """Whether what was said last met a closed end; a reader would not be told after the other's end."""
        if not self.is_usable:
            return
        error = self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            self._on_socket_error(os.strerror(error))
        elif self.state.phase is ConnectionPhase.LINGERING and not self.state.has_unconfirmed_messages(
            self._listener.dispatcher.now()
        ):
            self.abort()

    def _on_socket_error(self, why: str) -> None:
        self._listener.on_client_disconnected(self, why, broke=True)
        self.abort()

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self._listener.on_connection_lost(self, str(exc) if exc is not None else "closed", exc is not None)
