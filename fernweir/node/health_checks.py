"""Sends health checks to media servers and reports their results."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from fernweir.front.commands import SendHealthCheck
from fernweir.front.dispatcher import Dispatcher
from fernweir.interface import Result
from fernweir.node.attempts import MAX_CONNECTS
from fernweir.node.frames import Frame, FrameType, ParameterCode, encode_frame
from fernweir.node.server_connection import ServerConnection
from fernweir.node.server_endpoint import ServerEndpoint
from fernweir.node.server_pool import ServerPool


@dataclass(slots=True, eq=False)
class HealthCheck:
    """A health check in flight.

    Attributes:
        sent_at: When the command was received: monotonic, in milliseconds.
        timer: Fires when the timeout of the check has passed.
        request: The encoded request.
        connection: The connection that carries the check, or will once it is established.
        connect_count: How many connections the check was assigned to.
    """

    sent_at: float
    timer: asyncio.TimerHandle
    request: bytes
    connection: ServerConnection | None = None
    connect_count: int = 0


class HealthChecker:
    """Sends health checks and reports the one result of each to the session manager."""

    def __init__(self, dispatcher: Dispatcher, pool: ServerPool) -> None:
        self._dispatcher = dispatcher
        self._pool = pool
        self._check_count = 0

    # --- commands ---

    def start(self, command: SendHealthCheck) -> None:
        """Starts a health check. If its server can't be reached, it fails in the next loop iteration."""
        endpoint = self._pool.get_or_create_endpoint(command.server)
        loop = self._dispatcher.loop
        if endpoint is None or endpoint.is_displaced:
            loop.call_soon(self._report, command.server, Result.CONNECT_FAILED, 0.0, {})
            return
        check_id = self._next_id()
        timer = loop.call_later(self._pool.connect_timeout_s, self.finish, endpoint, check_id, Result.TIMEOUT)
        request = encode_frame(_ping(check_id))
        check = HealthCheck(self._dispatcher.now(), timer, request)
        endpoint.health_checks[check_id] = check
        self._assign(endpoint, check)

    def ping(self, connection: ServerConnection) -> None:
        """Sends a health check that is not reported, as its reply only shows that the process runs."""
        connection.send(_ping(self._next_id()))

    def fail_all(self, endpoint: ServerEndpoint) -> None:
        """Ends all health checks of a server as failed, since their replies may be from another server."""
        for check_id in list(endpoint.health_checks):
            self.finish(endpoint, check_id, Result.CONNECT_FAILED)

    def cancel_all(self, endpoint: ServerEndpoint) -> None:
        """Ends all health checks of a server without a result."""
        for check in endpoint.health_checks.values():
            check.timer.cancel()
        endpoint.health_checks.clear()

    def finish(
        self,
        endpoint: ServerEndpoint,
        check_id: str,
        result: Result,
        report: dict[str, float] | None = None,
    ) -> None:
        """Ends a health check, unless it has ended already.

        Args:
            endpoint: The server that is checked.
            check_id: The identifier of the check.
            result: The result of the check.
            report: The load report that came with the reply.
        """
        check = endpoint.health_checks.pop(check_id, None)
        if check is None:
            return
        check.timer.cancel()
        if check.connection is not None and result is Result.TIMEOUT:
            check.connection.state.drain()
            check.connection.close_if_drained()
        self._report(endpoint.server, result, self._dispatcher.now() - check.sent_at, report or {})

    # --- events ---

    def on_connected(self, connection: ServerConnection) -> None:
        """Writes the health checks that waited for this connection."""
        for check in connection.endpoint.health_checks.values():
            if check.connection is connection:
                connection.write(check.request)

    def on_connect_failed(self, connection: ServerConnection) -> None:
        """Ends the health checks that waited for this connection."""
        endpoint = connection.endpoint
        for check_id, check in list(endpoint.health_checks.items()):
            if check.connection is connection:
                self.finish(endpoint, check_id, Result.CONNECT_FAILED)

    def on_connection_lost(self, connection: ServerConnection) -> None:
        """Reassigns the health checks of a connection that ended, which alone proves no server fault."""
        endpoint = connection.endpoint
        for check_id, check in list(endpoint.health_checks.items()):
            if check.connection is not connection:
                continue
            if self._may_retry(endpoint, check):
                self._assign(endpoint, check)
            else:
                self.finish(endpoint, check_id, Result.ERROR)

    def _may_retry(self, endpoint: ServerEndpoint, check: HealthCheck) -> bool:
        if self._pool.is_stopped or endpoint.is_displaced:
            return False
        return check.connect_count < MAX_CONNECTS

    def _assign(self, endpoint: ServerEndpoint, check: HealthCheck) -> None:
        check.connect_count += 1
        connection = self._pool.select_or_connect(endpoint)
        check.connection = connection
        if connection.is_usable:
            connection.write(check.request)

    def _next_id(self) -> str:
        self._check_count += 1
        return f"{self._check_count:016x}"

    def _report(self, server: int, result: Result, duration_ms: float, report: dict[str, float]) -> None:
        now = self._dispatcher.now()
        self._dispatcher.sessions.on_health_check_finished(now, server, result, duration_ms, report)
        self._dispatcher.schedule_step()


def _ping(check_id: str) -> Frame:
    return Frame(FrameType.PING, check_id, {ParameterCode.CAUSE: b"\0"})
