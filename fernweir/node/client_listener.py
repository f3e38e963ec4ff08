"""The listener for clients: accepts and admits connections, evicts others if need be, and ends idle ones."""

from __future__ import annotations

import asyncio
import socket

from fernweir.front.dispatcher import Dispatcher
from fernweir.node.client_connection import ClientConnection
from fernweir.node.client_requests import ClientRequests
from fernweir.node.config import Address
from fernweir.node.limits import ConnectionAdmission
from fernweir.node.session_end_delivery import SessionEndDelivery

IDLE_SWEEP_INTERVAL_S = 0.25

_LISTEN_BACKLOG = 1024
_MAX_ACCEPTS_PER_CALL = 64


class ClientListener:
    """Owns the listening socket and all client connections.

    Attributes:
        admission: Decides which connections may stay open.
        connections: The connections whose transport exists, including closing ones.
        activity_count: The number of reads and accepted connections so far.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        requests: ClientRequests,
        session_ends: SessionEndDelivery,
        admission: ConnectionAdmission[ClientConnection],
    ) -> None:
        self._dispatcher = dispatcher
        self._requests = requests
        self._session_ends = session_ends
        self.admission = admission
        self.connections: set[ClientConnection] = set()
        self.activity_count = 0
        self._listening_socket: socket.socket | None = None
        self._attach_tasks: set[asyncio.Task[None]] = set()

    def listen(self, address: Address) -> None:
        """Starts to accept connections.

        Raises:
            OSError: The address is not available.
        """
        # Accepted sockets inherit the explicit protocol number, without which asyncio sets no TCP_NODELAY.
        listening_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening_socket.setblocking(False)
        try:
            listening_socket.bind(address)
            listening_socket.listen(_LISTEN_BACKLOG)
        except OSError:
            listening_socket.close()
            raise
        self._listening_socket = listening_socket
        self._dispatcher.loop.add_reader(listening_socket.fileno(), self.accept_connections)
        self._dispatcher.loop.call_later(IDLE_SWEEP_INTERVAL_S, self._sweep_idle_connections)

    @property
    def address(self) -> Address:
        """The address of the listening socket, with the port that the kernel chose."""
        assert self._listening_socket is not None
        host, port = self._listening_socket.getsockname()
        return host, port

    @property
    def has_pending_connections(self) -> bool:
        """Whether an accepted connection has no transport yet and cannot be read."""
        return bool(self._attach_tasks)

    @property
    def has_unsent_data(self) -> bool:
        """Whether the kernel has not yet accepted some written bytes."""
        return any(connection.unsent_bytes for connection in self.connections)

    def shutdown(self) -> None:
        """Stops listening and closes all connections. Messages still unsent count as undelivered."""
        if self._listening_socket is not None:
            self._dispatcher.loop.remove_reader(self._listening_socket.fileno())
            self._listening_socket.close()
            self._listening_socket = None
        for connection in list(self.connections):
            connection.close()
            if connection.unsent_bytes:
                self.on_client_disconnected(connection, "stopped", is_broken=False)

    # --- accepting ---

    def accept_connections(self) -> None:
        """Accepts connections from the backlog, up to `_MAX_ACCEPTS_PER_CALL`.

        The node calls `accept` itself instead of using an asyncio server, so that a new connection is counted
        before a second descriptor is in use.
        """
        assert self._listening_socket is not None
        for _ in range(_MAX_ACCEPTS_PER_CALL):
            try:
                accepted_socket, _ = self._listening_socket.accept()
            except OSError:
                return
            self.activity_count += 1
            self._admit_connection(accepted_socket)

    def _admit_connection(self, accepted_socket: socket.socket) -> None:
        connection = ClientConnection(self, self._requests, self._dispatcher, self.admission, accepted_socket)
        self._read_before_eviction()
        evicted = self.admission.admit(connection, self._dispatcher.now())
        if evicted is connection:
            accepted_socket.close()
            return
        if evicted is not None:
            evicted.evict()
        task = self._dispatcher.loop.create_task(self._attach_transport(connection, accepted_socket))
        self._attach_tasks.add(task)
        task.add_done_callback(self._attach_tasks.discard)

    def _read_before_eviction(self) -> None:
        """Reads the connection that would be evicted next, so that no unread request is lost with it."""
        for _ in range(len(self.admission)):
            candidate = self.admission.eviction_candidate() if self.admission.is_full else None
            if candidate is None:
                return
            candidate.read_available()
            if self.admission.eviction_candidate() is candidate:
                return

    async def _attach_transport(self, connection: ClientConnection, accepted_socket: socket.socket) -> None:
        try:
            await self._dispatcher.loop.connect_accepted_socket(lambda: connection, accepted_socket)
        except OSError as error:
            self.on_client_disconnected(connection, str(error), is_broken=True)
            accepted_socket.close()

    # --- events of connections ---

    def on_connection_made(self, connection: ClientConnection) -> None:
        """Registers an admitted connection whose transport exists."""
        self.connections.add(connection)
        self.admission.on_connection_made(connection, self._dispatcher.now())
        if self._listening_socket is None:
            connection.close()

    def on_data_received(self) -> None:
        """Counts a read on a connection."""
        self.activity_count += 1

    def on_connection_lost(self, connection: ClientConnection, reason: str, is_broken: bool) -> None:
        """Removes a connection whose transport is closed."""
        self.connections.discard(connection)
        self.on_client_disconnected(connection, reason, is_broken)

    def on_client_disconnected(self, connection: ClientConnection, reason: str, is_broken: bool) -> None:
        """Cleans up after a connection that can no longer be used; only the first call has an effect.

        The open requests of the connection are withdrawn. Sessions whose replies were delivered continue.

        Args:
            connection: The connection.
            reason: Why it ended, for the log.
            is_broken: Whether it ended with an error.
        """
        now = self._dispatcher.now()
        undelivered = connection.state.on_connection_ended(now, is_broken)
        if undelivered is None:
            return
        self._requests.withdraw_requests(connection, reason)
        self._session_ends.remove_connection(connection)
        self.admission.remove(connection)
        self._session_ends.on_messages_undelivered(undelivered, now, reason)

    # --- idle connections ---

    def _sweep_idle_connections(self) -> None:
        if self._listening_socket is None and not self.connections:
            return
        now = self._dispatcher.now()
        for connection in self.admission.timed_out_connections(now):
            connection.read_available()  # a delayed event loop may not have read what arrived in time
        for connection in self.admission.timed_out_connections(now):
            connection.on_idle_timeout()
        for connection in self.admission.closing_connections():
            connection.check_last_delivery()
        self._session_ends.discard_expired(now)
        self._dispatcher.loop.call_later(IDLE_SWEEP_INTERVAL_S, self._sweep_idle_connections)
