"""Periodic maintenance of media servers: checks their liveness and closes unused connections."""

from __future__ import annotations

from fernweir.front.dispatcher import Dispatcher
from fernweir.node.attempts import AttemptManager
from fernweir.node.displaced_servers import DisplacedServerObserver
from fernweir.node.liveness import CHECK_INTERVAL_MS, LivenessStatus
from fernweir.node.placed_sessions import PlacedSessionManager
from fernweir.node.server_endpoint import ServerEndpoint
from fernweir.node.server_pool import ServerPool

_INTERVAL_S = CHECK_INTERVAL_MS / 1000.0


class ServerUpkeep:
    """Maintains all servers at regular intervals, and a single server after events that concern it."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        pool: ServerPool,
        attempts: AttemptManager,
        sessions: PlacedSessionManager,
        displaced_servers: DisplacedServerObserver,
    ) -> None:
        self._dispatcher = dispatcher
        self._displaced_servers = displaced_servers
        self._pool = pool
        self._attempts = attempts
        self._sessions = sessions

    def start(self) -> None:
        """Starts the periodic maintenance, which ends when the pool is stopped."""
        self._dispatcher.loop.call_later(_INTERVAL_S, self._run)

    def _run(self) -> None:
        if self._pool.is_stopped:
            return
        self._dispatcher.loop.call_later(_INTERVAL_S, self._run)
        now = self._dispatcher.now()
        self._attempts.finish_all_unwanted()
        self._pool.close_surplus()
        for endpoint in list(self._pool.endpoints.values()):
            self._pool.close_idle(endpoint, now)
            self.check(endpoint)
            self._pool.remove_if_idle(endpoint)

    def check(self, endpoint: ServerEndpoint) -> None:
        """Sends the messages that wait for a server, and checks whether the server is alive."""
        connection = self._pool.select_any(endpoint)
        if endpoint.release_queue.pending_releases and connection is not None:
            self._sessions.send_pending(connection)
        elif endpoint.is_displaced:
            endpoint.release_queue.clear_pending()  # another server may listen at its address now
        if endpoint.is_cut_off and self._displaced_servers.can_judge(endpoint):
            self._displaced_servers.check(endpoint)
        else:
            self._check_liveness(endpoint, is_connected=connection is not None)

    def _check_liveness(self, endpoint: ServerEndpoint, is_connected: bool) -> None:
        now = self._dispatcher.now()
        monitor = endpoint.liveness
        has_sessions = bool(endpoint.placed_sessions or endpoint.release_queue.pending_releases)
        status = monitor.check(now, has_sessions, is_connected, self._is_check_connecting(endpoint, now))
        reason = monitor.reason
        if has_sessions and not is_connected and self._pool.is_removed(endpoint):
            status, reason = LivenessStatus.TERMINATED, "removed from the list, all connections ended"
        if status is LivenessStatus.CHECK:
            self._pool.connect(endpoint, monitor.timeouts.check_ms / 1000.0)
        elif status is not LivenessStatus.HEALTHY:
            self._on_server_lost(endpoint, now, status, reason)

    def _is_check_connecting(self, endpoint: ServerEndpoint, now: float) -> bool:
        """Whether a connect is in progress that can replace a check.

        A connect that an attempt waits for may take far longer than a check, so only a recent one counts.
        """
        return any(
            connection.state.is_connecting
            for connection in endpoint.connections
            if now - connection.connect_started_at <= endpoint.liveness.timeouts.check_ms
        )

    def _on_server_lost(
        self, endpoint: ServerEndpoint, now: float, status: LivenessStatus, reason: str
    ) -> None:
        name = self._pool.server_name(endpoint.server)
        session_count = len(endpoint.placed_sessions)
        self._dispatcher.log.warning("server lost", server=name, held=session_count, why=reason)
        self._sessions.on_server_lost(endpoint, is_process_ended=status is LivenessStatus.TERMINATED)
        self._attempts.on_server_lost(endpoint)
        self._dispatcher.sessions.on_server_lost(now, endpoint.server)
        self._dispatcher.schedule_step()
