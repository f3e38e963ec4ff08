"""One connection to a media server: the callbacks of its transport, and the releases written on it.

The effects on attempts, health checks and sessions are handled by the connection's `ConnectionEvents`.
"""

from __future__ import annotations

import asyncio
import math
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from fernweir.front.dispatcher import Dispatcher
from fernweir.node.connection_liveness import ConnectionLiveness
from fernweir.node.connection_state import ConnectionPhase, ConnectionState
from fernweir.node.frames import Frame, FrameError, FrameReader, FrameType, encode_frame
from fernweir.node.limits import RecentIds
from fernweir.node.server_endpoint import MAX_FAILED_ATTEMPTS, ServerEndpoint
from fernweir.node.shared_buffer import SharedBufferProtocol

if TYPE_CHECKING:
    from fernweir.node.attempts import Attempt

_CLOSE_TIMEOUT_S = 1.0  # how long an orderly close waits for the server
_MAX_UNSENT_BYTES = 256 * 1024
_MAX_SENT_RELEASES = 64
_UNCONFIRMED_MS = 1_000.0  # a break of the connection may have lost what was written within this time
_LIST_DELAY_MS = 10_000.0  # how late the endpoint list may tell of a change, also after a break of the feed
_REUSE_RATIO = 0.8  # of the idle timeout, at which the server may close; limits the idle time before reuse
_CLOSE_RATIO = 0.5  # fraction of the idle timeout after which an unused connection is closed


class ConnectionEvents(Protocol):
    """Receives the events of connections to media servers."""

    def on_connected(self, connection: ServerConnection) -> None:
        """Called when a connection is established."""

    def on_connect_failed(self, connection: ServerConnection, error: OSError) -> None:
        """Called when a connection was not established, so that nothing was written on it."""

    def on_reset_while_connecting(self, connection: ServerConnection) -> None:
        """Called when a connection was established but reset before the event loop processed it."""

    def on_message(self, connection: ServerConnection, frame: Frame) -> None:
        """Called for each message.

        Raises:
            FrameError: The message lacks a required parameter, so the connection can't be trusted.
        """

    def on_connection_lost(
        self, connection: ServerConnection, reason: str, *, may_have_lost_messages: bool
    ) -> None:
        """Called when an established connection ended.

        Args:
            connection: The connection.
            reason: Why it ended, for the log.
            may_have_lost_messages: Whether its server may have sent messages that did not arrive.
        """


@dataclass(frozen=True, slots=True)
class ConnectionTimeouts:
    """The timeouts of a connection.

    Attributes:
        connect_s: How long it may take to establish the connection, in seconds.
        idle_ms: The idle time after which the server may close the connection, in milliseconds.
    """

    connect_s: float
    idle_ms: float


@dataclass(frozen=True, slots=True)
class SentRelease:
    """A release that was written, and when it was: monotonic, in milliseconds."""

    sent_at: float
    frame: Frame


class ServerConnection(SharedBufferProtocol):
    """One connection to a media server. Its phase is held in `state`.

    Times are monotonic, in milliseconds.

    Attributes:
        endpoint: The server.
        state: The phase of the connection.
        attempts: The attempts that the connection carries, or that wait for it, by session.
        failed_attempts: Sessions whose attempts failed on this connection recently.
        has_received_eof: Whether the server closed in order, so that all data it sent was read.
        connect_started_at: When the connect started.
        connected_at: When it was established.
        last_used_at: When data was last written, or an attempt last ended.
        address: The address that it was made to.
        liveness: Observes whether the process at the other end runs.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        events: ConnectionEvents,
        endpoint: ServerEndpoint,
        timeouts: ConnectionTimeouts,
    ) -> None:
        self.endpoint = endpoint
        self.state = ConnectionState()
        self.attempts: dict[str, Attempt] = {}
        self.failed_attempts = RecentIds(MAX_FAILED_ATTEMPTS)
        self.has_received_eof = False
        self.connect_started_at = self.connected_at = self.last_used_at = dispatcher.now()
        self.address = endpoint.address
        self.liveness = ConnectionLiveness(self.connect_started_at)
        self._dispatcher = dispatcher
        self._events = events
        self._idle_timeout_ms = timeouts.idle_ms
        self._timer = dispatcher.loop.call_later(timeouts.connect_s, self._on_connect_timeout)
        self._frames = FrameReader()
        self._sent_releases: deque[SentRelease] = deque(maxlen=_MAX_SENT_RELEASES)
        self._close_reason = "connection closed"
        self._close_started_at = math.inf

    # --- connecting ---

    def start_connect(self) -> asyncio.Task[None]:
        """Starts to connect. Returns the task, of which the caller has to keep a reference."""
        self._connect_task = self._dispatcher.loop.create_task(self._connect())
        return self._connect_task

    async def _connect(self) -> None:
        try:
            await self._dispatcher.loop.create_connection(lambda: self, *self.address)
        except ConnectionResetError:
            # The connection was established and then reset before the event loop processed it. This can
            # happen to any connection; the server does listen.
            if self.finish():
                self._events.on_reset_while_connecting(self)
        except OSError as error:
            if self.finish():
                self._events.on_connect_failed(self, error)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport, or aborts it if the connect was cancelled before."""
        super().connection_made(transport)
        if not self.state.open():
            assert self.transport is not None
            self.transport.abort()
            return
        self._timer.cancel()
        self.connected_at = self.last_used_at = self._dispatcher.now()
        self.liveness.on_data_received(self.connected_at)
        self._events.on_connected(self)

    def _on_connect_timeout(self) -> None:
        if self.cancel_connect():
            self._events.on_connect_failed(self, TimeoutError("no connection in time"))

    def cancel_connect(self) -> bool:
        """Cancels the connect. Returns False if the connection is already established or has ended."""
        if not self.state.is_connecting:
            return False
        self._connect_task.cancel()
        return self.finish()

    def finish(self) -> bool:
        """Records the end of the connection, for any cause. Returns True only the first time."""
        if not self.state.finish():
            return False
        self._timer.cancel()
        self.endpoint.connections.remove(self)
        return True

    # --- receiving ---

    def data_received(self, data: memoryview) -> None:
        """Handles all complete messages, and aborts the connection at the first invalid one."""
        now = self._dispatcher.now()
        self.liveness.on_data_received(now)
        self.endpoint.liveness.on_data_received(now)
        error: FrameError | None = None
        try:
            frames = self._frames.feed(data)
        except FrameError as feed_error:
            frames, error = self._frames.complete_frames, feed_error
        try:
            for frame in frames:
                self._events.on_message(self, frame)
        except FrameError as message_error:
            error = message_error
        if error is not None:
            self._close_reason = f"invalid data: {error}"
            self.state.drain()
            self.abort()

    # --- use ---

    @property
    def is_usable(self) -> bool:
        """Whether anything may be written."""
        return self.state.may_write and super().is_usable

    def may_start_request(self, now: float) -> bool:
        """Whether a new request may be sent; not after a long idle time, as the server may have closed."""
        is_fresh = now - self.last_used_at < _REUSE_RATIO * self._idle_timeout_ms
        return self.state.may_start_request and self.is_usable and is_fresh

    def leads_to_same_process_as(self, other: ServerConnection) -> bool:
        """Whether the newer of two connections was accepted while the process behind the older one ran."""
        older, newer = sorted((self, other), key=lambda connection: connection.connected_at)
        return self.address == other.address and newer.connected_at <= older.liveness.last_received_at

    def may_replace(self, other: ServerConnection, now: float) -> bool:
        """Whether it surely leads to the same process as another one, which may be closed then.

        If one was made shortly after the other, the list may still tell that another server accepted it.
        """
        connected_at = (self.connected_at, other.connected_at)
        is_list_current = self.connected_at == other.connected_at or now - max(connected_at) > _LIST_DELAY_MS
        return is_list_current and self.leads_to_same_process_as(other)

    def is_unused(self) -> bool:
        """Whether nothing needs it. A server with sessions keeps a connection to send messages on."""
        if not self.state.may_write or self.attempts or self.endpoint.depends_on(self):
            return False
        if any(check.connection is self for check in self.endpoint.health_checks.values()):
            return False
        return not self.endpoint.is_last_for_sessions(self, self._dispatcher.now())

    def may_close(self, now: float) -> bool:
        """Whether it is unused, and either has been so for long enough or accepts no new requests."""
        is_expired = now - self.last_used_at > _CLOSE_RATIO * self._idle_timeout_ms
        return (is_expired or not self.state.may_start_request) and self.is_unused()

    def write(self, data: bytes) -> bool:
        """Writes bytes.

        Returns:
            Whether they were sent, or will be unless the connection breaks. If False, the last byte of the
            data is never sent.
        """
        if not self.is_usable:
            return False
        assert self.transport is not None
        self.last_used_at = self._dispatcher.now()
        self.transport.write(data)
        if self.transport.get_write_buffer_size() > _MAX_UNSENT_BYTES:
            self.abort()
        return self.is_usable

    def send(self, frame: Frame) -> None:
        """Writes a message. A release is also recorded as unconfirmed for a while."""
        if frame.type is FrameType.RELEASE:
            self._sent_releases.append(SentRelease(self._dispatcher.now(), frame))
        self.write(encode_frame(frame))

    def unconfirmed_releases(self, now: float) -> list[Frame]:
        """Returns the releases that may be lost when the connection ends.

        A duplicate release is harmless, but a lost one leaves a session on its server. If the server never
        answered the close of this side, it is unknown what it read before the close, so the time window ends
        at the close instead of now.
        """
        until = min(now, self._close_started_at)
        return [sent.frame for sent in self._sent_releases if until - sent.sent_at < _UNCONFIRMED_MS]

    # --- closing ---

    def close_if_drained(self) -> None:
        """Closes the connection if it is draining, its last attempt has ended and no session needs it."""
        if self.state.phase is ConnectionPhase.DRAINING and self.is_unused():
            self.close()

    def close(self) -> None:
        """Closes this side. Messages that the server has in flight, such as session ends, are still read."""
        if not self.is_usable:
            return
        assert self.transport is not None
        self.state.begin_close()
        self._close_started_at = self._dispatcher.now()
        try:
            self.transport.write_eof()
        except OSError:  # already broken, though the event loop has not processed it yet
            self.transport.abort()
            return
        self._timer = self._dispatcher.loop.call_later(_CLOSE_TIMEOUT_S, self.abort)

    def abort(self) -> None:
        """Ends the connection at once."""
        if self.transport is not None:
            self.transport.abort()
        else:
            self.cancel_connect()

    def eof_received(self) -> bool:
        """Records the server's orderly close; the transport then closes itself."""
        self.has_received_eof = True
        self.liveness.on_data_received(self._dispatcher.now())
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Reports the end of the connection, unless it was reported before."""
        is_closing = self.state.phase is ConnectionPhase.CLOSING
        if is_closing and self.has_received_eof:
            self._sent_releases.clear()  # both sides closed in order, so all of them arrived
        # A server that answers this side's close with a reset has closed, too. It sends later messages on
        # another connection, and its earlier messages have arrived.
        is_answered = self.has_received_eof or (is_closing and exc is not None)
        if self.finish():
            reason = self._close_reason if exc is None else f"connection reset: {exc}"
            self._events.on_connection_lost(self, reason, may_have_lost_messages=not is_answered)
