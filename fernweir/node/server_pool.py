"""The pool of media servers and of the connections to them, from which connections are selected for use.

If the descriptor quota allows it, each set-up has a connection of its own. A connection that breaks or
receives invalid data then affects no other set-up. A server may send messages on any of its connections.
"""

from __future__ import annotations

import asyncio

from fernweir.front.dispatcher import Dispatcher
from fernweir.interface import ServerState
from fernweir.node.config import Address, NodeConfig
from fernweir.node.connection_state import ConnectionPhase
from fernweir.node.endpoint_feed import EndpointFeed
from fernweir.node.limits import DescriptorQuota
from fernweir.node.liveness import LivenessMonitor, LivenessTimeouts
from fernweir.node.server_connection import ConnectionEvents, ConnectionTimeouts, ServerConnection
from fernweir.node.server_endpoint import ServerEndpoint


class ServerPool:
    """Creates endpoints and connections, selects connections and enforces the node's limits.

    Attributes:
        events: Receives the events of the connections. Must be set before the first one is opened.
        endpoints: The servers that this node has any state for, by number.
        descriptor_quota: Limits the number of connections.
        connect_timeout_s: How long a connect may take, in seconds.
        idle_timeout_ms: The idle time after which servers close connections, in milliseconds.
        is_stopped: Whether the node has stopped and sends nothing more.
    """

    events: ConnectionEvents

    def __init__(
        self, dispatcher: Dispatcher, feed: EndpointFeed, config: NodeConfig, quota: DescriptorQuota
    ) -> None:
        self.endpoints: dict[int, ServerEndpoint] = {}
        self.descriptor_quota = quota
        self.connect_timeout_s = config.connect_timeout_ms / 1000.0
        self.idle_timeout_ms = config.idle_timeout_ms
        self.is_stopped = False
        self._dispatcher = dispatcher
        self._feed = feed
        self._settings = config.settings
        self._endpoints_by_address: dict[Address, dict[int, ServerEndpoint]] = {}
        self._connect_tasks: set[asyncio.Task[None]] = set()

    # --- endpoints ---

    def get_or_create_endpoint(self, server: int) -> ServerEndpoint | None:
        """Returns the endpoint of a server, or None if the server is not listed."""
        endpoint = self.endpoints.get(server)
        address = self._feed.addresses.get(server)
        if endpoint is None and address is not None:
            endpoint = ServerEndpoint(server, address, self.new_liveness_monitor())
            self.endpoints[server] = endpoint
            self._endpoints_by_address.setdefault(address, {})[server] = endpoint
            self.update_displacement(endpoint)
        return endpoint

    @property
    def liveness_timeouts(self) -> LivenessTimeouts:
        """When the silence of a server is significant."""
        return LivenessTimeouts.from_settings(self._settings, self.connect_timeout_s * 1000.0)

    def new_liveness_monitor(self) -> LivenessMonitor:
        """Returns a monitor for a server without any observations yet."""
        return LivenessMonitor(self.liveness_timeouts, self._dispatcher.now())

    def endpoints_at(self, address: Address) -> list[ServerEndpoint]:
        """Returns the servers with state here whose address is, or was at last, the given one."""
        return list(self._endpoints_by_address.get(address, {}).values())

    def connections_at_address(self, endpoint: ServerEndpoint) -> list[ServerConnection]:
        """Returns the usable connections to the address of a server, under whichever name they were made."""
        return [
            connection
            for other in self.endpoints_at(endpoint.address)
            for connection in other.connections
            if connection.is_usable
        ]

    def change_address(self, endpoint: ServerEndpoint, address: Address) -> None:
        """Records the new address of a server."""
        self._forget_address(endpoint)
        endpoint.address = address
        self._endpoints_by_address.setdefault(address, {})[endpoint.server] = endpoint

    def _forget_address(self, endpoint: ServerEndpoint) -> None:
        there = self._endpoints_by_address[endpoint.address]
        del there[endpoint.server]
        if not there:
            del self._endpoints_by_address[endpoint.address]

    def is_removed(self, endpoint: ServerEndpoint) -> bool:
        """Whether the server is no longer listed."""
        states = self._dispatcher.sessions.endpoint_states
        return states.get(endpoint.server, ServerState.REMOVED) is ServerState.REMOVED

    def is_reassigned(self, endpoint: ServerEndpoint) -> bool:
        """Whether another server is listed at the address of the server now."""
        return self._feed.address_registry.is_reassigned(endpoint.server, endpoint.address)

    def update_displacement(self, endpoint: ServerEndpoint) -> None:
        """Applies the endpoint list to `ServerEndpoint.is_displaced`."""
        endpoint.is_displaced = self.is_removed(endpoint) or self.is_reassigned(endpoint)

    @property
    def has_unsent_messages(self) -> bool:
        """Whether a message to a server, such as a release, has not been sent yet."""
        return any(
            endpoint.release_queue.pending_releases
            or any(connection.unsent_bytes for connection in endpoint.connections)
            for endpoint in self.endpoints.values()
        )

    def server_name(self, server: int) -> str | None:
        """Returns the name of a server for the log, or None if the server is not listed."""
        return self._feed.names.get(server)

    # --- connections ---

    def connect(self, endpoint: ServerEndpoint, timeout_s: float | None = None) -> ServerConnection:
        """Starts a new connection.

        Args:
            endpoint: The server.
            timeout_s: How long the connect may take, in seconds; `connect_timeout_s` by default.
        """
        connect_s = self.connect_timeout_s if timeout_s is None else timeout_s
        timeouts = ConnectionTimeouts(connect_s, self.idle_timeout_ms)
        connection = ServerConnection(self._dispatcher, self.events, endpoint, timeouts)
        endpoint.connections.append(connection)
        task = connection.start_connect()
        self._connect_tasks.add(task)
        task.add_done_callback(self._connect_tasks.discard)
        return connection

    def connect_unless_connecting(self, endpoint: ServerEndpoint) -> None:
        """Starts a new connection unless one is already being established."""
        if not endpoint.is_connecting:
            self.connect(endpoint)

    def select_or_connect(self, endpoint: ServerEndpoint, session_id: str = "") -> ServerConnection:
        """Returns a free connection for a new request, or starts a new one."""
        return self.select_free(endpoint, session_id) or self.connect(endpoint)

    def select_free(self, endpoint: ServerEndpoint, session_id: str = "") -> ServerConnection | None:
        """Returns a connection without requests or, at the connection limit, the one with the fewest.

        Connections that carried a failed attempt of the same session are excluded, since late messages of
        that attempt could be attributed to the new one. A connection on which a release of the session may be
        in flight is preferred, since only there the server is certain to read the release before the new
        set-up.
        """
        now = self._dispatcher.now()
        usable = [
            connection
            for connection in endpoint.connections
            if connection.may_start_request(now) and session_id not in connection.failed_attempts
        ]
        for connection in usable:
            if any(frame.session == session_id for frame in connection.unconfirmed_releases(now)):
                return connection
        for connection in reversed(usable):  # the newest one, so that the others can become idle
            if not connection.attempts:
                return connection
        limit = self.descriptor_quota.connections_per_server(len(self.endpoints))
        if usable and len(endpoint.connections) >= limit:
            return min(usable, key=lambda connection: len(connection.attempts))
        return None

    def select_any(self, endpoint: ServerEndpoint, session_id: str = "") -> ServerConnection | None:
        """Returns a connection for a message that has no reply, or None if there is none."""
        free = self.select_free(endpoint, session_id)
        if free is not None:
            return free
        for connection in endpoint.connections:
            if connection.is_usable and connection.state.may_start_request:
                return connection
        return None

    def close_surplus(self) -> None:
        """Closes unused connections, those unused longest first, until the node is within its limit."""
        connections = [
            connection
            for endpoint in self.endpoints.values()
            for connection in endpoint.connections
            if connection.state.phase is not ConnectionPhase.CLOSING
        ]
        surplus = len(connections) - self.descriptor_quota.max_server_connections
        for connection in sorted(connections, key=lambda connection: connection.last_used_at):
            if surplus <= 0:
                return
            if connection.is_unused():
                connection.close()
                surplus -= 1

    def close_idle(self, endpoint: ServerEndpoint, now: float) -> None:
        """Closes the connections of a server that have been unused for too long at `now` (milliseconds)."""
        for connection in list(endpoint.connections):
            if connection.may_close(now):
                connection.close()

    def remove_if_idle(self, endpoint: ServerEndpoint) -> None:
        """Closes the connections of a removed, idle server, and drops its state after the last has ended."""
        if not (self.is_removed(endpoint) and endpoint.is_idle):
            return
        for connection in list(endpoint.connections):
            connection.close()
        if not endpoint.connections:
            del self.endpoints[endpoint.server]
            self._forget_address(endpoint)
            self._feed.remove_server(endpoint.server)
