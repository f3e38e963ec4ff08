"""Follows the control feed: owns the connection to it and the reconnect timer.

This module only performs the I/O. `reconnect.ReconnectPolicy` decides when to connect, and
`endpoint_feed.EndpointFeed` decodes the events.
"""

from __future__ import annotations

import asyncio

from fernweir.front.dispatcher import Dispatcher
from fernweir.interface import EndpointListUpdate
from fernweir.node.config import Address
from fernweir.node.endpoint_feed import MAX_EVENT_BYTES, EndpointFeed, FeedError
from fernweir.node.jsonl import LineError, LineReader
from fernweir.node.reconnect import ReconnectPolicy
from fernweir.node.server_transport import MediaServerTransport
from fernweir.node.shared_buffer import SharedBufferProtocol


class EndpointWatcher:
    """Follows the feed at one address at a time and applies its updates.

    Every connection subscribes from the last sequence number that was applied. The policy determines which
    connection is the current one; the watcher owns the timer and the newest connection.

    Args:
        dispatcher: Receives the updates of the endpoint list.
        feed: Decodes the lines of the feed.
        server_transport: Adapts its connections to media servers to the endpoint list.
        address: The address of the feed.
        seed: Seeds the random backoff.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        feed: EndpointFeed,
        server_transport: MediaServerTransport,
        address: Address,
        seed: int,
    ) -> None:
        self.address = address
        self._dispatcher = dispatcher
        self._feed = feed
        self._server_transport = server_transport
        self._reconnect_policy = ReconnectPolicy(seed)
        self._connection: _FeedConnection | None = None
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Connects to the feed for the first time."""
        self._connect()

    def stop(self) -> None:
        """Closes the connection for good: no other one is opened after this."""
        self._reconnect_policy.stop()
        self._abort_connection()

    def change_address(self, address: Address) -> None:
        """Switches to the feed at another address."""
        self.address = address
        if self._reconnect_policy.on_address_changed():
            self._connect()

    def apply_update(self, update: EndpointListUpdate) -> None:
        """Applies an update of the endpoint list to the session manager, then to the server transport."""
        self._dispatcher.sessions.on_endpoint_list(self._dispatcher.now(), update)
        self._server_transport.on_endpoint_list(update)
        self._dispatcher.schedule_step()

    # --- events of connections ---

    def on_connected(self, connection_number: int) -> int | None:
        """Handles an established connection.

        Returns:
            The sequence number to subscribe from. None if another connection has replaced this one, which
            then has to close without subscribing.
        """
        is_current = self._reconnect_policy.on_connected(connection_number, self._now_s())
        self._restart_timer()
        return self._feed.last_sequence_number if is_current else None

    def on_lines_received(self, connection_number: int, lines: list[bytes]) -> None:
        """Applies lines of the feed.

        Raises:
            FeedError: A line cannot be used. The lines before it have been applied.
        """
        if not self._reconnect_policy.is_current(connection_number):
            return
        for line in lines:
            self._apply_line(line)
        self._restart_timer()

    def on_connection_ended(self, connection_number: int, reason: str) -> None:
        """Handles a connection that failed, ended, or delivered input that cannot be used."""
        if self._reconnect_policy.on_connection_ended(connection_number, self._now_s()):
            self._dispatcher.log.info(
                "feed connection ended", why=reason, last=self._feed.last_sequence_number
            )
            self._abort_connection()

    # --- steps ---

    def _apply_line(self, line: bytes) -> None:
        feed = self._feed
        last_sequence_number = feed.last_sequence_number
        in_sequence_lines = feed.in_sequence_lines
        partially_applied_events = feed.partially_applied_events
        update = feed.apply_line(line)
        if feed.partially_applied_events != partially_applied_events:
            self._dispatcher.log.warning("feed event partially applied", n=feed.last_sequence_number)
        if feed.in_sequence_lines != in_sequence_lines:
            applied_event = feed.last_sequence_number != last_sequence_number
            self._reconnect_policy.on_data_received(self._now_s(), applied_event)
        if update is not None:
            self.apply_update(update)

    def _connect(self) -> None:
        connection_number = self._reconnect_policy.begin_connection(self._now_s())
        self._abort_connection()
        if connection_number is not None:
            self._connection = _FeedConnection(self, connection_number)
            self._connection.start_connecting(self._dispatcher.loop, self.address)

    def _abort_connection(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.abort()
        self._restart_timer()

    def _restart_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        deadline = self._reconnect_policy.deadline
        self._timer = None if deadline is None else self._dispatcher.loop.call_at(deadline, self._on_deadline)

    def _on_deadline(self) -> None:
        reason = self._reconnect_policy.timeout_reason()
        if reason is None:
            self._connect()
        else:
            self.on_connection_ended(self._reconnect_policy.connection_number, reason)

    def _now_s(self) -> float:
        return self._dispatcher.loop.time()


class _FeedConnection(SharedBufferProtocol):
    """One connection to the feed. It reports all its events; the watcher ignores those of old connections."""

    def __init__(self, watcher: EndpointWatcher, number: int) -> None:
        self._watcher = watcher
        self._number = number
        self._line_reader = LineReader(MAX_EVENT_BYTES)

    def start_connecting(self, loop: asyncio.AbstractEventLoop, address: Address) -> None:
        self._task = loop.create_task(self._connect(loop, address))

    async def _connect(self, loop: asyncio.AbstractEventLoop, address: Address) -> None:
        try:
            await loop.create_connection(lambda: self, *address)
        except OSError as error:
            self._watcher.on_connection_ended(self._number, str(error))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        assert self.transport is not None
        sequence_number = self._watcher.on_connected(self._number)
        if sequence_number is not None:
            self.transport.write(b"SUB %d\n" % sequence_number)
        else:
            self.transport.abort()

    def data_received(self, data: memoryview) -> None:
        try:
            self._watcher.on_lines_received(self._number, self._line_reader.feed(data))
        except (FeedError, LineError) as error:
            self._watcher.on_connection_ended(self._number, str(error))

    def connection_lost(self, exc: Exception | None) -> None:
        self._watcher.on_connection_ended(self._number, str(exc) if exc is not None else "closed")

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()
        else:
            self._task.cancel()
