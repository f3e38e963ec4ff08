"""One client connection: reads lines from its socket, writes messages, and reports both to its owner.

`ClientConnectionState` decides what may be read, accepted and written; this module performs the I/O. The
clients are viewers and the platform's distributor.
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

# The cause codes of a release: those of Q.850 that the platform's protocol defines for releases.
CAUSE_NORMAL = 16
CAUSE_REJECTED = 34
CAUSE_FAILED = 41
CAUSE_UNKNOWN_SESSION = 81
CAUSE_MALFORMED = 111

_MAX_UNSENT_BYTES = 256 * 1024  # a client that does not read its replies is disconnected
_MAX_READS_PER_CALL = 16


class ConnectionOwner(Protocol):
    """Receives the lifecycle events of a connection."""

    def on_connection_made(self, connection: ClientConnection) -> None:
        """Called when the connection is ready to be read and written."""

    def on_data_received(self) -> None:
        """Called when a connection has received bytes."""

    def on_client_disconnected(self, connection: ClientConnection, reason: str, is_broken: bool) -> None:
        """Called when the connection can no longer be used; possibly several times."""

    def on_connection_lost(self, connection: ClientConnection, reason: str, is_broken: bool) -> None:
        """Called once, when the transport of the connection is closed."""


class MessageHandler(Protocol):
    """Handles the messages that arrive on a connection."""

    def handle_message(self, connection: ClientConnection, message: Message) -> None:
        """Handles one message. Raises LineError if the message is invalid."""

    def on_client_half_closed(self, connection: ClientConnection) -> None:
        """Called when the client has shut down its sending side; it may still read."""


class ClientConnection(SharedBufferProtocol):
    """One connection of a viewer, or of the platform's distributor.

    Attributes:
        state: The state machine of the connection.
        error_tolerance: Counts invalid messages and decides when there were too many.
        has_received_data: Whether any bytes have arrived.
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
        """Starts serving the connection, unless it was evicted in the meantime."""
        super().connection_made(transport)
        assert self.transport is not None
        # With a limit of 0, `resume_writing` is called when the kernel has accepted all written bytes.
        self.transport.set_write_buffer_limits(high=0)
        if self.state.on_connection_made():
            self._owner.on_connection_made(self)
        else:
            self.transport.abort()

    # --- reading ---

    def get_buffer(self, sizehint: int) -> memoryview:
        """Reads what is available before the transport does, then returns the shared buffer.

        The event loop calls this when data or an end of stream has arrived. The transport reports a reset one
        iteration of the event loop later. That is after the dispatcher's next step, which could forward a
        request whose client has already disconnected.
        """
        self.read_while_requests_open()
        return super().get_buffer(sizehint)

    def buffer_updated(self, nbytes: int) -> None:
        """Handles the bytes, then checks whether the client's end of stream follows them.

        The event loop would detect it only in its next iteration, which is too late.
        """
        super().buffer_updated(nbytes)
        self.read_while_requests_open()

    def read_available(self) -> None:
        """Reads what has arrived so far, even if the event loop has not polled the socket yet."""
        if self.state.may_read and self.is_usable:
            self._read_once()
            self.read_while_requests_open()

    def read_while_requests_open(self) -> None:
        """Reads until no data is left, as long as the connection has open requests."""
        for _ in range(_MAX_READS_PER_CALL):
            is_readable = self.state.open_requests and self.state.may_read and self.is_usable
            if not (is_readable and self._read_once()):
                break
        self.close_if_drained()

    def _read_once(self) -> bool:
        """Reads from the socket once. Returns whether there were any bytes."""
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
        """Handles each complete line, and rejects bytes that cannot become a valid line."""
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
        if lines:  # any remaining partial line began after these lines
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
        """Records that the client has half-closed. Returns True, as the node closes its own side later."""
        if self.state.on_client_half_closed():
            self._message_handler.on_client_half_closed(self)
            self.check_last_delivery()
            self.close_if_drained()
        return True

    # --- writing ---

    @property
    def may_carry_session_ends(self) -> bool:
        """Whether session ends, including those of other connections, may be sent on this one."""
        return self.state.may_read and self.is_usable

    def reject_message(self, error: LineError) -> None:
        """Sends a release that rejects an invalid message."""
        self._dispatcher.log.info("request rejected", why=str(error), id=error.session_id)
        cause = CAUSE_MALFORMED if error.session_id == NO_SESSION_ID else CAUSE_UNKNOWN_SESSION
        self.send_message(Message("release", error.session_id, cause=cause))

    def send_message(self, message: Message) -> None:
        """Sends a message whose delivery is not tracked."""
        self.write(encode_message(message))

    def send_session_reply(self, message: Message) -> None:
        """Sends the reply that a session is established, and tracks its delivery."""
        is_written = self.write(encode_message(message))
        is_flushed = is_written and not self.unsent_bytes
        self.state.on_message_written(message.id, self._dispatcher.now(), None, is_flushed)

    def send_session_end(self, session_id: str, session_end: bytes) -> bool:
        """Sends the encoded end of a session, and tracks its delivery.

        Returns:
            False if the connection cannot send it.
        """
        is_written = self.write(session_end)
        if is_written:
            is_flushed = not self.unsent_bytes
            self.state.on_message_written(session_id, self._dispatcher.now(), session_end, is_flushed)
        return is_written

    def write(self, data: bytes) -> bool:
        """Writes bytes to the transport.

        Returns:
            False if they cannot be sent because the connection broke or its client does not read.
        """
        if not (self.state.may_write and self.is_usable):
            return False
        assert self.transport is not None
        self.transport.write(data)
        if self.unsent_bytes > _MAX_UNSENT_BYTES:
            self.transport.abort()
        return self.is_usable

    def resume_writing(self) -> None:
        """Records that the kernel has accepted all written bytes."""
        self.state.on_write_buffer_flushed(self._dispatcher.now())

    # --- closing ---

    def drain(self) -> None:
        """Stops accepting requests, and closes once the open ones are answered and all bytes are sent."""
        self._stop_accepting_requests()
        self.close_if_drained()

    def _stop_accepting_requests(self) -> None:
        self.state.stop_accepting_requests()
        self._admission.set_partial_line(self, 0.0, False)

    def on_idle_timeout(self) -> None:
        """Handles the timeout for sending a complete message, or for reading the last replies."""
        if not self.state.may_write:
            self.abort()
            return
        if self.has_received_data:  # a silent client gets no message, as its request may be in flight
            self.reject_message(LineError("no complete message in time"))
        self.drain()

    def evict(self) -> None:
        """Ends the connection because its descriptor is needed for another one."""
        if self.state.phase is ClientConnectionPhase.NEW:
            self._owner.on_client_disconnected(self, "evicted", is_broken=False)
            return
        self.drain()
        self.check_last_delivery()
        if self.unsent_bytes or self.state.phase is ClientConnectionPhase.LINGERING:
            self.abort()

    def close_if_drained(self) -> None:
        """Closes the connection if it accepts no requests and has none open."""
        if self.state.is_drained:
            self.close()

    def close(self) -> None:
        """Closes in order. If the client has half-closed, lingers until all deliveries are confirmed."""
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

        This reads the socket's pending error, since a transport that has received the client's end of stream
        does not report errors that occur later.
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
        """Closes at once; unsent bytes are lost."""
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Reports that the transport is closed."""
        reason = str(exc) if exc is not None else "closed"
        self._owner.on_connection_lost(self, reason, is_broken=exc is not None)
