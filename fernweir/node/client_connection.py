"""One client connection: reads lines from its socket, writes messages, and reports both to its owner.

`ClientConnectionState` decides what may be read, accepted and written; this module carries it out. Clients
are viewers and the platform's distributor.
"""

from __future__ import annotations

import asyncio
import os
import socket
from typing import Protocol

from fernweir.front.dispatcher import Dispatcher
from fernweir.node.client_connection_state import ClientConnectionPhase, ClientConnectionState
from fernweir.node.jsonl import NO_SESSION_ID, LineError, LineReader, Message, decode_message, encode_message
from fernweir.node.limits import ConnectionAdmission, ErrorTolerance
from fernweir.node.shared_buffer import SharedBufferProtocol

# Causes of a release, of Q.850 as far as the platform gives them a meaning of their own.
CAUSE_NORMAL = 16
CAUSE_REJECTED = 34
CAUSE_FAILED = 41
CAUSE_UNKNOWN_SESSION = 81
CAUSE_MALFORMED = 111

_MAX_UNSENT_BYTES = 256 * 1024  # a client that does not read its replies is disconnected
_MAX_READS_PER_CALL = 16


class ConnectionOwner(Protocol):
    """The part that a connection reports its lifetime to."""

    def on_connection_made(self, connection: ClientConnection) -> None:
        """The connection can be read and written from now on."""

    def on_data_received(self) -> None:
        """A connection received bytes."""

    def on_client_disconnected(self, connection: ClientConnection, reason: str, is_broken: bool) -> None:
        """The connection is of no more use. May be reported several times."""

    def on_connection_lost(self, connection: ClientConnection, reason: str, is_broken: bool) -> None:
        """The transport of the connection is closed, which is reported once."""


class MessageHandler(Protocol):
    """The part that answers the messages of a connection."""

    def handle_message(self, connection: ClientConnection, message: Message) -> None:
        """Handles one message. Raises LineError if the message is invalid."""

    def on_client_half_closed(self, connection: ClientConnection) -> None:
        """The client ended its side, though it may still read."""


class ClientConnection(SharedBufferProtocol):
    """One connection of a viewer, or of the platform's distributor.

    Attributes:
        state: How far the connection has got.
        error_tolerance: How many more invalid messages it may send.
        has_received_data: Whether any bytes came.
    """

    def __init__(
        self,
        owner: ConnectionOwner,
        message_handler: MessageHandler,
        dispatcher: Dispatcher,
        admission: ConnectionAdmission[ClientConnection],
        accepted_socket: socket.socket,
    ) -> None:
        self._owner = owner
        self._message_handler = message_handler
        self._dispatcher = dispatcher
        self._admission = admission
        self._socket = accepted_socket
        self._lines = LineReader()
        self.error_tolerance = ErrorTolerance()
        self.state = ClientConnectionState()
        self.has_received_data = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begins to serve the connection, unless it was evicted meanwhile."""
        super().connection_made(transport)
        assert self.transport is not None
        # So that `resume_writing` is called when all that was written is with the kernel.
        self.transport.set_write_buffer_limits(high=0)
        if self.state.on_connection_made():
            self._owner.on_connection_made(self)
        else:
            self.transport.abort()

    # --- reading ---

    def get_buffer(self, sizehint: int) -> memoryview:
        """Reads ahead of the transport, then returns the shared buffer.

        Called as data or an end arrived. A transport reports a reset one turn of the loop later, after the
        node's next batch, which might forward a request whose client has disconnected.
        """
        self.read_while_requests_open()
        return super().get_buffer(sizehint)

    def buffer_updated(self, nbytes: int) -> None:
        """Handles the bytes, then looks for the client's end behind them.

        The loop would find that end only in its next turn, which is too late.
        """
        super().buffer_updated(nbytes)
        self.read_while_requests_open()

    def read_available(self) -> None:
        """Reads what has arrived by now, whether or not the loop has noticed it."""
        if self.state.may_read and self.is_usable:
            self._read_once()
            self.read_while_requests_open()

    def read_while_requests_open(self) -> None:
        """Reads until nothing is left, as long as a request is open."""
        for _ in range(_MAX_READS_PER_CALL):
            is_readable = self.state.open_requests and self.state.may_read and self.is_usable
            if not (is_readable and self._read_once()):
                break
        self.close_if_drained()

    def _read_once(self) -> bool:
        """Returns whether there were bytes to read."""
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
        """Handles each complete line, and rejects bytes that cannot become one."""
        now = self._dispatcher.now()
        self._owner.on_data_received()
        self.has_received_data = True
        line_error: LineError | None = None
        try:
            lines = self._lines.feed(data)
        except LineError as error:
            lines, line_error = self._lines.complete_lines, error
        for line in lines:
            if not (self.state.may_read and self.is_usable):
                return
            self._handle_line(line, now)
        if not self.state.may_accept_requests:
            return
        if line_error is not None:
            self.reject_message(line_error)
            self._stop_accepting_requests()
            return
        if lines:  # a partial line that is left now began after them
            self._admission.set_partial_line(self, now, False)
        self._admission.set_partial_line(self, now, self._lines.has_partial_line)

    def _handle_line(self, line: bytes, now: float) -> None:
        try:
            self._message_handler.handle_message(self, decode_message(line))
            self._admission.on_message_received(self, now)
            self.error_tolerance.record_success()
        except LineError as error:
            self._on_invalid_message(error)

    def _on_invalid_message(self, error: LineError) -> None:
        names_session = error.session_id != NO_SESSION_ID
        if not self.state.may_accept_requests:
            if names_session:
                self.reject_message(error)
            return
        self.reject_message(error)
        open_requests = len(self.state.open_requests)
        is_stream_unusable = not names_session and not open_requests
        if is_stream_unusable or self.error_tolerance.record_error(open_requests):
            self._stop_accepting_requests()

    def eof_received(self) -> bool:
        """The client ended its side. Returns True: the node closes its own side later."""
        if self.state.on_client_half_closed():
            self._message_handler.on_client_half_closed(self)
            self.check_last_delivery()
            self.close_if_drained()
        return True

    # --- writing ---

    @property
    def may_carry_session_ends(self) -> bool:
        """Whether the end of any session may be sent here."""
        return self.state.may_read and self.is_usable

    def reject_message(self, error: LineError) -> None:
        """Sends a release that says that a message is invalid."""
        self._dispatcher.log.info("request refused", why=str(error), id=error.session_id)
        cause = CAUSE_MALFORMED if error.session_id == NO_SESSION_ID else CAUSE_UNKNOWN_SESSION
        self.send_message(Message("release", error.session_id, cause=cause))

    def send_message(self, message: Message) -> None:
        """Sends a message whose delivery need not be confirmed."""
        self.write(encode_message(message))

    def send_session_reply(self, message: Message) -> None:
        """Sends the reply that a session is established, and keeps track of its delivery."""
        is_written = self.write(encode_message(message))
        is_flushed = is_written and not self.unsent_bytes
        self.state.on_message_written(message.id, self._dispatcher.now(), None, is_flushed)

    def send_session_end(self, session_id: str, session_end: bytes) -> bool:
        """Sends the encoded end of a session, and keeps track of its delivery.

        Returns:
            False if it cannot be sent here.
        """
        is_written = self.write(session_end)
        if is_written:
            is_flushed = not self.unsent_bytes
            self.state.on_message_written(session_id, self._dispatcher.now(), session_end, is_flushed)
        return is_written

    def write(self, data: bytes) -> bool:
        """Writes bytes.

        Returns:
            False if they cannot be sent: the connection broke, or its client does not read.
        """
        if not (self.state.may_write and self.is_usable):
            return False
        assert self.transport is not None
        self.transport.write(data)
        if self.unsent_bytes > _MAX_UNSENT_BYTES:
            self.transport.abort()
        return self.is_usable

    def resume_writing(self) -> None:
        """The kernel has accepted all that was written."""
        self.state.on_write_buffer_flushed(self._dispatcher.now())

    # --- closing ---

    def drain(self) -> None:
        """Accepts no new requests; closes once the open ones are answered and all bytes are sent."""
        self._stop_accepting_requests()
        self.close_if_drained()

    def _stop_accepting_requests(self) -> None:
        self.state.stop_accepting_requests()
        self._admission.set_partial_line(self, 0.0, False)

    def on_idle_timeout(self) -> None:
        """The time to send a complete message, or to read the last replies, has passed."""
        if not self.state.may_write:
            self.abort()
            return
        if self.has_received_data:  # a silent client gets no message: its request may be on its way
            self.reject_message(LineError("nothing whole in time"))
        self.drain()

    def evict(self) -> None:
        """Gives up the connection, as its descriptor is needed for another."""
        if self.state.phase is ClientConnectionPhase.NEW:
            self._owner.on_client_disconnected(self, "let go", is_broken=False)
            return
        self.drain()
        self.check_last_delivery()
        if self.unsent_bytes or self.state.phase is ClientConnectionPhase.LINGERING:
            self.abort()

    def close_if_drained(self) -> None:
        """Closes if the connection accepts no requests and has none open."""
        if self.state.is_drained:
            self.close()

    def close(self) -> None:
        """Writes nothing more. If the client has ended its side, lingers until the delivery is confirmed."""
        if self.transport is None or not self.state.may_write:
            return
        now = self._dispatcher.now()
        self._admission.on_connection_closing(self, now)
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
        """Ends the connection if it broke, or if it lingers and all deliveries are confirmed.

        A transport that has received the client's end reports no error that follows.
        """
        if not self.is_usable:
            return
        error_number = self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error_number:
            self._on_socket_error(os.strerror(error_number))
            return
        is_lingering = self.state.phase is ClientConnectionPhase.LINGERING
        if is_lingering and not self.state.has_unconfirmed_messages(self._dispatcher.now()):
            self.abort()

    def _on_socket_error(self, reason: str) -> None:
        self._owner.on_client_disconnected(self, reason, is_broken=True)
        self.abort()

    def abort(self) -> None:
        """Closes at once, which loses what is unsent."""
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """The transport is closed."""
        reason = str(exc) if exc is not None else "closed"
        self._owner.on_connection_lost(self, reason, is_broken=exc is not None)
