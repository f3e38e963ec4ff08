"""Observes the sessions of servers that a new connection may not reach.

The address of a server may lead to another one if the server was removed from the endpoint list, or if the
list has given its address to another server since. A connection that is accepted there then says nothing
about the server. Nor does a refused one, as its process may play on without a listener. Therefore each
session is judged by the connection to the process that carries it. A session for which none is known is kept
while messages about it arrive.
"""

from __future__ import annotations

from collections.abc import Iterable

from fernweir.front.dispatcher import Dispatcher
from fernweir.interface import Result
from fernweir.node.health_checks import HealthChecker
from fernweir.node.liveness import LivenessStatus, LivenessTimeouts
from fernweir.node.placed_sessions import PlacedSessionManager
from fernweir.node.release_queue import release_frame
from fernweir.node.server_connection import ServerConnection
from fernweir.node.server_endpoint import PlacedSession, ServerEndpoint
from fernweir.node.server_pool import ServerPool


class DisplacedServerObserver:
    """Ends the sessions of such servers whose processes no longer run."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        pool: ServerPool,
        sessions: PlacedSessionManager,
        health_checks: HealthChecker,
        *,
        may_check_health: bool,
    ) -> None:
        self._dispatcher = dispatcher
        self._pool = pool
        self._sessions = sessions
        self._health_checks = health_checks
        self._may_check_health = may_check_health

    def can_judge(self, endpoint: ServerEndpoint) -> bool:
        """Whether anything but a connect can show that the server runs, or no connect can reach it."""
        has_evidence = self._may_check_health or self._timeouts.has_reports
        return has_evidence or self._pool.is_reassigned(endpoint)

    def check(self, endpoint: ServerEndpoint) -> None:
        """Checks the processes that carry the sessions of a displaced server."""
        sessions_by_carrier: dict[ServerConnection, list[str]] = {}
        unreachable: list[str] = []
        for session_id, session in endpoint.placed_sessions.items():
            if session_id in endpoint.attempts:
                continue  # its own timeout ends it
            carrier = _open_carrier(endpoint, session)
            if carrier is None:
                unreachable.append(session_id)
            else:
                sessions_by_carrier.setdefault(carrier, []).append(session_id)
        for carrier, session_ids in sessions_by_carrier.items():
            self._check_carrier(endpoint, carrier, session_ids)
        if unreachable:
            self._check_without_carrier(endpoint, unreachable)

    def on_connection_refused(self, endpoint: ServerEndpoint) -> None:
        """Asks the processes that carry sessions of a server whether they run, if that is possible."""
        for session in endpoint.placed_sessions.values():
            if self._may_check_health and session.carrier is not None:
                session.carrier.liveness.suspect()

    @property
    def _timeouts(self) -> LivenessTimeouts:
        return self._pool.liveness_timeouts

    def _check_carrier(
        self, endpoint: ServerEndpoint, carrier: ServerConnection, session_ids: list[str]
    ) -> None:
        evidence_at = self._last_evidence_at(endpoint, carrier)
        status = carrier.liveness.check(self._dispatcher.now(), evidence_at, self._timeouts)
        if status is LivenessStatus.CHECK and self._may_check_health:
            self._health_checks.ping(carrier)
        elif status is LivenessStatus.UNREACHABLE:
            self._end_sessions(endpoint, session_ids, "nothing received on the connection to its process")
            carrier.state.drain()
            carrier.close_if_drained()

    def _last_evidence_at(self, endpoint: ServerEndpoint, carrier: ServerConnection) -> float:
        """Returns when the process behind a connection was last known to run.

        If it cannot be asked, it counts that the process sends reports on one of its connections only.
        """
        if self._may_check_health:
            return carrier.liveness.last_received_at
        return max(
            other.liveness.last_received_at
            for other in [carrier, *self._pool.connections_at_address(endpoint)]
            if other.leads_to_same_process_as(carrier)
        )

    def _check_without_carrier(self, endpoint: ServerEndpoint, session_ids: list[str]) -> None:
        sessions = [endpoint.placed_sessions[session_id] for session_id in session_ids]
        silence_ms = self._dispatcher.now() - max(session.last_evidence_at for session in sessions)
        is_reassigned = self._pool.is_reassigned(endpoint)
        is_silence_significant = self._timeouts.has_reports or is_reassigned
        is_connected = bool(self._pool.connections_at_address(endpoint))
        if is_silence_significant and silence_ms >= self._timeouts.detection_ms:
            self._end_sessions(endpoint, session_ids, "no message about its sessions received")
        elif not is_connected and (is_reassigned or endpoint.liveness.has_lost_connection):
            self._end_sessions(endpoint, session_ids, "removed from the list, all connections ended")
        elif not is_connected and endpoint.is_refusing:
            self._end_sessions(endpoint, session_ids, "connection refused")
        elif not is_connected:
            self._reconnect(endpoint, session_ids)

    def _reconnect(self, endpoint: ServerEndpoint, session_ids: list[str]) -> None:
        """Makes a connection on which a removed server whose connections it closed can send messages."""
        monitor = endpoint.liveness
        status = monitor.check(
            self._dispatcher.now(),
            has_sessions=True,
            is_connected=False,
            is_connecting=endpoint.is_connecting,
        )
        if status is LivenessStatus.CHECK:
            self._pool.connect(endpoint, monitor.timeouts.check_ms / 1000.0)
        elif status is not LivenessStatus.HEALTHY:
            self._end_sessions(endpoint, session_ids, monitor.reason)

    def _end_sessions(self, endpoint: ServerEndpoint, session_ids: Iterable[str], reason: str) -> None:
        """Ends sessions, and releases them on their connection in case their process still reads it."""
        session_ids = list(session_ids)
        name = self._pool.server_name(endpoint.server)
        self._dispatcher.log.warning("server lost", server=name, held=len(session_ids), why=reason)
        for session_id in session_ids:
            carrier = endpoint.placed_sessions[session_id].carrier
            if carrier is not None and carrier.is_usable:
                carrier.send(release_frame(session_id))
            self._sessions.end(endpoint, session_id, Result.RESET)


def _open_carrier(endpoint: ServerEndpoint, session: PlacedSession) -> ServerConnection | None:
    """Returns an open connection to the process that carries a session, or None if none is known."""
    carrier = session.carrier
    if carrier is None or carrier.is_usable:
        return carrier
    candidates = [
        other for other in endpoint.connections if other.is_usable and other.leads_to_same_process_as(carrier)
    ]
    if not candidates:
        return None
    session.heard_at = session.last_evidence_at
    session.carrier = candidates[-1]
    return session.carrier
