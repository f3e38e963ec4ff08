"""One connection to a media server: the callbacks of its transport, and what was written on it.

What a connection means for attempts, health checks and sessions is up to its `ConnectionEvents`.
"""

from __future__ import annotations

import asyncio
import math
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from fernweir.front.dispatcher import Dispatcher
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
_REUSE_RATIO = 0.8  # part of the idle timeout after which the server may have closed a connection
_CLOSE_RATIO = 0.5  # part of the idle timeout after which an unused connection is closed


class ConnectionEvents(Protocol):
    """Receives what happens on the connections to media servers."""

    def on_connected(self, connection: ServerConnection) -> None:
        """Called when a connection is established."""

    def on_connect_failed(self, connection: ServerConnection, error: OSError) -> None:
        """Called when a connection was not established: nothing was written on it."""

    def on_reset_while_connecting(self, connection: ServerConnection) -> None:
        """Called when a connection was established and reset before the event loop noticed."""

    def on_message(self, connection: ServerConnection, frame: Frame) -> None:
        """Called for each message.

        Raises:
            FrameError: The message lacks what it needs, so the connection can't be trusted.
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
        connect_s: How long it may take until it is established, in seconds.
        idle_ms: After which time without use its server may close it, in milliseconds.
    """

    connect_s: float
    idle_ms: float


@dataclass(frozen=True, slots=True)
class SentRelease:
    """A release that was written, and when: monotonic, in milliseconds."""

    sent_at: float
    frame: Frame


class ServerConnection(SharedBufferProtocol):
    """One connection to a media server. Only its `state` knows its phase.

    Times are monotonic, in milliseconds.

    Attributes:
        endpoint: The server.
        state: The phase of the connection.
        attempts: The attempts that it carries, or that wait for it, by session.
        failed_attempts: Sessions whose attempts failed here lately.
        has_received_eof: Whether the server closed in order, so that all it wrote was read.
        connect_started_at: When the connect started.
        connected_at: When it was established.
        last_used_at: When something was last written, or an attempt ended.
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
        """Starts to connect and returns the task, to which the caller has to hold a reference."""
        self._connect_task = self._dispatcher.loop.create_task(self._connect())
        return self._connect_task

    async def _connect(self) -> None:
        try:
            await self._dispatcher.loop.create_connection(lambda: self, *self.endpoint.address)
        except ConnectionResetError:
            # Established and reset before the event loop noticed, as can happen to any: the server listens.
            if self.finish():
                self._events.on_reset_while_connecting(self)
        except OSError as error:
            if self.finish():
                self._events.on_connect_failed(self, error)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the transport, or aborts it if the connect was cancelled before."""
        super().connection_made(transport)
        if not self.state.open():
            assert self.transport is not None
            self.transport.abort()
            return
        self._timer.cancel()
        self.connected_at = self.last_used_at = self._dispatcher.now()
        self._events.on_connected(self)

    def _on_connect_timeout(self) -> None:
        if self.cancel_connect():
            self._events.on_connect_failed(self, TimeoutError("no connection in time"))

    def cancel_connect(self) -> bool:
        """Ends the connection while it is being made; returns False if it is established or has ended."""
        if not self.state.is_connecting:
            return False
        self._connect_task.cancel()
        return self.finish()

    def finish(self) -> bool:
        """Records the end of the connection, whatever shows it; returns True the first time."""
        if not self.state.finish():
            return False
        self._timer.cancel()
        self.endpoint.connections.remove(self)
        return True

    # --- receiving ---

    def data_received(self, data: memoryview) -> None:
        """Handles all complete messages, and aborts the connection at the first that can't be read."""
        self.endpoint.liveness.on_data_received(self._dispatcher.now())
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
            self._close_reason = f"spoilt: {error}"
            self.state.drain()
            self.abort()

    # --- use ---

    @property
    def is_usable(self) -> bool:
        """Whether anything may be written."""
        return self.state.may_write and super().is_usable

    def may_start_request(self, now: float) -> bool:
        """Whether a new request may be sent: after a long idle time the server may have closed."""
        is_fresh = now - self.last_used_at < _REUSE_RATIO * self._idle_timeout_ms
        return self.state.may_start_request and self.is_usable and is_fresh

    def is_unused(self) -> bool:
        """Whether nothing needs it. Of a server with sessions the last connection is needed to receive on."""
        if not self.state.may_write or self.attempts:
            return False
        if any(check.connection is self for check in self.endpoint.health_checks.values()):
            return False
        return not (self.endpoint.placed_sessions and self.endpoint.is_only_usable(self))

    def may_close(self, now: float) -> bool:
        """Whether it is unused, and has been so for long enough or takes nothing new."""
        is_expired = now - self.last_used_at > _CLOSE_RATIO * self._idle_timeout_ms
        return self.is_unused() and (is_expired or not self.state.may_start_request)

    def write(self, data: bytes) -> bool:
        """Writes bytes.

        Returns:
            Whether they left, or will unless the connection breaks. If not, their last byte never will.
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
        """Writes a message, and remembers it for a while if it is a release."""
        if frame.type is FrameType.RELEASE:
            self._sent_releases.append(SentRelease(self._dispatcher.now(), frame))
        self.write(encode_frame(frame))

    def unconfirmed_releases(self, now: float) -> list[Frame]:
        """Returns the releases that the end of the connection may have lost.

        One that arrives twice does no harm; one that is lost leaves a session at its server. If the server
        never answered this side's close, nothing shows what it read before that, so the time is counted from
        the close.
        """
        until = min(now, self._close_started_at)
        return [sent.frame for sent in self._sent_releases if until - sent.sent_at < _UNCONFIRMED_MS]

    # --- the end ---

    def close_if_drained(self) -> None:
        """Closes if it is draining and its last attempt has ended."""
        if self.state.phase is ConnectionPhase.DRAINING and not self.attempts:
            self.close()

    def close(self) -> None:
        """Closes this side. What the server has under way, as the end of a session, is still read."""
        if not self.is_usable:
            return
        assert self.transport is not None
        self.state.begin_close()
        self._close_started_at = self._dispatcher.now()
        try:
            self.transport.write_eof()
        except OSError:  # broken already, though the event loop has not noticed yet
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
        """Records the server's orderly end; the transport closes itself."""
        self.has_received_eof = True
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Reports the end of the connection, unless it is known."""
        is_closing = self.state.phase is ConnectionPhase.CLOSING
        if is_closing and self.has_received_eof:
            self._sent_releases.clear()  # both sides closed in order, so all of them arrived
        # A server that answers this side's close with a reset has closed, too: it sends what follows on
        # another connection, and what it sent before has arrived.
        is_answered = self.has_received_eof or (is_closing and exc is not None)
        if self.finish():
            reason = self._close_reason if exc is None else f"connection reset: {exc}"
            self._events.on_connection_lost(self, reason, may_have_lost_messages=not is_answered)
