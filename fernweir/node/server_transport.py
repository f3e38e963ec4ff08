"""The node's transport to media servers: executes the dispatcher's commands and handles connection events.

It delegates to the parts that own the state: the pool, the attempts, the health checks and the placed
sessions.
"""

from __future__ import annotations

from collections.abc import Callable

from fernweir.front.commands import ChangeRung, ReleaseSession, SendHealthCheck, SessionRequest, SetUp
from fernweir.front.dispatcher import Dispatcher
from fernweir.front.names import number_of
from fernweir.interface import (
    Endpoint,
    EndpointListKind,
    EndpointListUpdate,
    Result,
    ServerState,
    Settings,
)
from fernweir.node.attempts import AttemptManager
from fernweir.node.displaced_servers import DisplacedServerObserver
from fernweir.node.endpoint_feed import EndpointFeed
from fernweir.node.frames import Frame
from fernweir.node.health_checks import HealthChecker
from fernweir.node.placed_sessions import PlacedSessionManager
from fernweir.node.server_connection import ServerConnection
from fernweir.node.server_endpoint import ServerEndpoint
from fernweir.node.server_messages import ServerMessageHandler
from fernweir.node.server_pool import ServerPool
from fernweir.node.server_upkeep import ServerUpkeep


class MediaServerTransport:
    """Implements the dispatcher's `ServerTransport` and the pool's `ConnectionEvents`.

    Attributes:
        read_client_input: Reads all input that the client of a session has sent so far. `ClientRequests` sets
            it.
    """

    def __init__(
        self, dispatcher: Dispatcher, feed: EndpointFeed, settings: Settings, pool: ServerPool
    ) -> None:
        self.read_client_input: Callable[[str], None] = lambda session_id: None
        self._dispatcher = dispatcher
        self._feed = feed
        self._pool = pool
        self._attempts = AttemptManager(
            dispatcher, settings, pool, lambda session_id: self.read_client_input(session_id)
        )
        self._health_checks = HealthChecker(dispatcher, pool)
        self._sessions = PlacedSessionManager(dispatcher, pool)
        self._messages = ServerMessageHandler(
            dispatcher, pool, self._attempts, self._health_checks, self._sessions
        )
        self._displaced_servers = DisplacedServerObserver(
            dispatcher,
            pool,
            self._sessions,
            self._health_checks,
            may_check_health=settings.may_check_health,
        )
        self._upkeep = ServerUpkeep(dispatcher, pool, self._attempts, self._sessions, self._displaced_servers)
        self._started_at: dict[int, float] = {}  # when the process of each server started
        pool.events = self
        dispatcher.server_transport = self
        self._upkeep.start()

    # --- commands of the dispatcher ---

    def set_up(self, command: SetUp) -> None:
        """Starts an attempt."""
        endpoint = self._pool.get_or_create_endpoint(command.server)
        if endpoint is None:
            self._attempts.reject_unlisted(command)
        else:
            self._attempts.start(endpoint, command)

    def change_rung(self, command: ChangeRung) -> None:
        """Sends the new rung of a session."""
        self._sessions.change_rung(command)

    def release(self, command: ReleaseSession) -> None:
        """Ends the attempt of a session, and releases the session if the server may carry it."""
        endpoint = self._pool.endpoints.get(command.server)
        if endpoint is not None:
            self._attempts.cancel(endpoint, command.session_id)
            self._sessions.release(endpoint, command.session_id)

    def check_health(self, command: SendHealthCheck) -> None:
        """Starts a health check."""
        self._health_checks.start(command)

    # --- calls of other parts ---

    def adopt_session(self, request: SessionRequest, server_name: str) -> bool:
        """Adds a session that a server already carries. Returns False if it was not accepted."""
        server = number_of(server_name)
        sessions = self._dispatcher.sessions
        address = self._feed.addresses.get(server)
        if address is None or self._feed.address_registry.is_reassigned(server, address):
            return False  # it can't be reached, so that its end would never be known
        if not sessions.adopt_session(self._dispatcher.now(), request, server):
            return False
        endpoint = self._pool.get_or_create_endpoint(server)
        assert endpoint is not None
        self._sessions.adopt(endpoint, request.session_id)
        self._dispatcher.schedule_step()
        return True

    def drop_unwanted_attempts(self) -> None:
        """Ends the attempts that still wait for a connection but are no longer wanted."""
        self._attempts.finish_all_unwanted()

    @property
    def has_unsent_messages(self) -> bool:
        """Whether a message to a server, such as a release, has not been sent yet."""
        return self._pool.has_unsent_messages

    def shutdown(self) -> None:
        """Ends all attempts, health checks and connections at once, without reporting results."""
        self._pool.is_stopped = True
        for endpoint in self._pool.endpoints.values():
            self._attempts.cancel_all(endpoint)
            self._health_checks.cancel_all(endpoint)
            for connection in list(endpoint.connections):
                connection.abort()

    # --- the endpoint list ---

    def on_endpoint_list(self, update: EndpointListUpdate) -> None:
        """Applies a change of the endpoint list. Servers that it does not concern are not visited."""
        for entry in update.entries:
            self._apply_entry(entry)
        for endpoint in self._endpoints_concerned_by(update):
            self._apply_address(endpoint)
            self._attempts.finish_unwanted(endpoint)
        if update.kind is not EndpointListKind.DELTA:
            self._drop_unlisted_servers()
        self._dispatcher.schedule_step()

    def _endpoints_concerned_by(self, update: EndpointListUpdate) -> list[ServerEndpoint]:
        """Returns the servers that an update names, and others at the addresses of those.

        A complete list concerns all, as it may lack some.
        """
        endpoints = self._pool.endpoints
        if update.kind is not EndpointListKind.DELTA:
            return list(endpoints.values())
        named = [endpoints[entry.server] for entry in update.entries if entry.server in endpoints]
        concerned = {endpoint.server: endpoint for endpoint in named}
        for address in self._feed.concerned_addresses:
            concerned |= {endpoint.server: endpoint for endpoint in self._pool.endpoints_at(address)}
        return list(concerned.values())

    def _drop_unlisted_servers(self) -> None:
        """Drops the details of the servers that a complete list lacks and that are not in use."""
        listed = self._dispatcher.sessions.endpoint_states
        for server in [server for server in self._feed.names if server not in listed]:
            self._started_at.pop(server, None)
            if server not in self._pool.endpoints:
                self._feed.remove_server(server)

    def _apply_entry(self, entry: Endpoint) -> None:
        """Records when a server's process started, as a new process carries no earlier sessions."""
        endpoint = self._pool.endpoints.get(entry.server)
        last_started_at = self._started_at.get(entry.server, 0.0)
        if entry.state is ServerState.REMOVED:
            self._started_at.pop(entry.server, None)
            if endpoint is None:
                self._feed.remove_server(entry.server)
        elif entry.started_at:
            self._started_at[entry.server] = entry.started_at
        if endpoint is not None and entry.started_at > last_started_at:
            self._on_process_started(endpoint, entry.started_at)

    def _on_process_started(self, endpoint: ServerEndpoint, started_at: float) -> None:
        for connection in endpoint.connections:
            if connection.connected_at < started_at:
                connection.state.drain()
        for session_id, session in list(endpoint.placed_sessions.items()):
            if session.placed_at < started_at:
                self._sessions.end(endpoint, session_id, Result.RESET)

    def _apply_address(self, endpoint: ServerEndpoint) -> None:
        """Stops sending requests to an address that a server no longer has, as another may listen there."""
        address = self._feed.addresses.get(endpoint.server, endpoint.address)
        is_moved = address != endpoint.address
        if is_moved:
            self._pool.change_address(endpoint, address)
        self._pool.update_displacement(endpoint)
        if not is_moved and not endpoint.is_displaced:
            return
        for connection in list(endpoint.connections):
            if connection.cancel_connect():
                self._reassign(connection, "address changed or removed")
            elif not endpoint.is_displaced:
                connection.state.drain()
        if endpoint.is_displaced:
            self._attempts.on_liveness_known(endpoint, is_alive=False)
            self._health_checks.fail_all(endpoint)
            endpoint.release_queue.clear()
        elif endpoint.broken_attempts or endpoint.release_queue.pending_releases:
            self._pool.connect_unless_connecting(endpoint)
        self._upkeep.check(endpoint)

    # --- events of connections ---

    def on_connected(self, connection: ServerConnection) -> None:
        """Sends the messages and requests that waited for a connection."""
        endpoint = connection.endpoint
        endpoint.is_refusing = False
        self._log_liveness_check(connection, "accepted")
        endpoint.liveness.on_connected(self._dispatcher.now())
        self._attempts.on_liveness_known(endpoint, is_alive=True)
        endpoint.release_queue.resume_deferred()
        self._sessions.send_pending(connection)
        self._health_checks.on_connected(connection)
        self._attempts.on_connected(connection)

    def on_connect_failed(self, connection: ServerConnection, error: OSError) -> None:
        """Ends the requests that waited for a connection that was not established."""
        endpoint = connection.endpoint
        is_refused = isinstance(error, ConnectionRefusedError)
        reason = "connection refused" if is_refused else str(error.strerror or error)
        self._log_liveness_check(connection, reason)
        if isinstance(error, TimeoutError):
            endpoint.liveness.on_connect_timeout(connection.connect_started_at, self._dispatcher.now())
        elif is_refused:
            self._on_connection_refused(endpoint)
        self._attempts.on_liveness_known(endpoint, is_alive=False)
        self._attempts.on_connect_failed(connection, reason)
        self._health_checks.on_connect_failed(connection)

    def _on_connection_refused(self, endpoint: ServerEndpoint) -> None:
        """Records that a server accepts no connections. Its process may play on, if some are open."""
        if endpoint.has_open_carrier and self._displaced_servers.can_judge(endpoint):
            endpoint.is_refusing = True
            endpoint.drain_connections()
            self._displaced_servers.on_connection_refused(endpoint)
            return
        endpoint.liveness.on_connection_refused()
        if not endpoint.is_displaced:
            self._sessions.on_process_ended(endpoint)

    def on_reset_while_connecting(self, connection: ServerConnection) -> None:
        """Records that the server is alive, and reassigns the requests that waited for the connection."""
        endpoint = connection.endpoint
        endpoint.is_refusing = False
        endpoint.liveness.on_data_received(self._dispatcher.now())
        self._attempts.on_liveness_known(endpoint, is_alive=True)
        self.on_connection_lost(connection, "connection reset while connecting", may_have_lost_messages=True)

    def on_message(self, connection: ServerConnection, frame: Frame) -> None:
        """Handles one message of a server.

        Raises:
            FrameError: The message lacks a required parameter.
        """
        self._messages.handle(connection, frame)

    def on_connection_lost(
        self, connection: ServerConnection, reason: str, *, may_have_lost_messages: bool
    ) -> None:
        """Assigns the unwritten requests of a connection that ended to other connections.

        The result of an attempt that was written depends on whether the server is alive, which a new
        connection shows at once.
        """
        endpoint = connection.endpoint
        self._sessions.on_connection_lost(connection)
        self._reassign(connection, reason)
        if self._pool.is_stopped:
            return
        if endpoint.placed_sessions and may_have_lost_messages:
            endpoint.liveness.on_connection_broken()
        if endpoint.is_displaced:
            # A new connection would prove nothing, since another server may listen at the address now.
            self._attempts.on_liveness_known(endpoint, is_alive=False)
        elif endpoint.broken_attempts:
            self._pool.connect_unless_connecting(endpoint)
        self._upkeep.check(endpoint)

    def _log_liveness_check(self, connection: ServerConnection, outcome: str) -> None:
        """Logs a connect that nothing but the sessions at its server needed."""
        endpoint = connection.endpoint
        if not endpoint.placed_sessions or connection.attempts:
            return
        self._dispatcher.log.info(
            "liveness check",
            server=self._pool.server_name(endpoint.server),
            outcome=outcome,
            listed=not self._pool.is_removed(endpoint),
            reassigned=self._pool.is_reassigned(endpoint),
            held=len(endpoint.placed_sessions),
            silent_ms=[round(silence) for silence in self._silences_ms(endpoint)],
        )

    def _silences_ms(self, endpoint: ServerEndpoint) -> list[float]:
        """Returns for how long nothing has arrived on each open connection to a server, oldest first."""
        now = self._dispatcher.now()
        return [now - one.liveness.last_received_at for one in endpoint.connections if one.is_usable]

    def _reassign(self, connection: ServerConnection, reason: str) -> None:
        self._attempts.on_connection_lost(connection, reason)
        self._health_checks.on_connection_lost(connection)
