"""The set-ups in flight to media servers: their connections, timeouts and results.

An attempt that has not been written yet can be assigned to another connection, since the server cannot have
received it. An attempt that was written on a connection that broke waits until a new connection shows whether
the server is alive.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from math import ceil

from fernweir.front.commands import SetUp, SetUpResult
from fernweir.front.dispatcher import Dispatcher
from fernweir.interface import RESULT_LABELS, Result, Settings
from fernweir.node.frames import Frame, FrameType, ParameterCode, encode_frame
from fernweir.node.liveness import result_of_broken_attempt
from fernweir.node.server_connection import ServerConnection
from fernweir.node.server_endpoint import PlacedSession, ServerEndpoint
from fernweir.node.server_pool import ServerPool

MAX_CONNECTS = 3
"""How many connections an unwritten attempt is assigned to before it fails because all of them broke."""


@dataclass(slots=True, eq=False)
class Attempt:
    """A set-up in flight, or one that waits for its connection.

    Attributes:
        endpoint: The server.
        command: What to set up there.
        sent_at: When the command was received: monotonic, in milliseconds.
        timer: Fires when the timeout of the attempt has passed.
        connection: The connection that carries the attempt, or will once it is established. None after that
            connection has ended.
        is_written: Whether the server may have received the set-up.
        break_reason: Why the connection ended after the set-up was written; empty in all other cases. Set
            until it is known whether the server is alive.
        connect_count: How many connections the attempt was assigned to.
    """

    endpoint: ServerEndpoint
    command: SetUp
    sent_at: float
    timer: asyncio.TimerHandle | None = None
    connection: ServerConnection | None = None
    is_written: bool = False
    break_reason: str = ""
    connect_count: int = 0

    @property
    def session_id(self) -> str:
        """The identifier of the session that is set up."""
        return self.command.request.session_id


class AttemptManager:
    """Carries out set-ups and reports the one result of each to the session manager."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        settings: Settings,
        pool: ServerPool,
        read_client_input: Callable[[str], None],
    ) -> None:
        """Creates a manager without attempts.

        Args:
            dispatcher: Receives the results.
            settings: Defines the session classes.
            pool: Provides the connections.
            read_client_input: Reads all input that the client of a session has sent so far.
        """
        self._dispatcher = dispatcher
        self._pool = pool
        self._read_client_input = read_client_input
        self._class_names = [session_class.name.encode() for session_class in settings.classes]

    # --- commands ---

    def start(self, endpoint: ServerEndpoint, command: SetUp) -> None:
        """Starts an attempt."""
        attempt = Attempt(endpoint, command, self._dispatcher.now())
        endpoint.attempts[attempt.session_id] = attempt
        timeout_s = max(command.timeout_ms, 0.0) / 1000.0
        attempt.timer = self._dispatcher.loop.call_later(timeout_s, self._on_timeout, attempt)
        self._assign(attempt)

    def reject_unlisted(self, command: SetUp) -> None:
        """Reports, after this turn of the event loop, that a server is not on the endpoint list."""
        result = SetUpResult(Result.NOT_SENT, 0.0, {}, reason="not listed")
        self._dispatcher.loop.call_soon(self._report, command, result)

    def cancel(self, endpoint: ServerEndpoint, session_id: str) -> None:
        """Ends a session's attempt, if there is one, without a result."""
        attempt = endpoint.attempts.pop(session_id, None)
        if attempt is not None:
            self._detach(attempt, has_failed=True)

    def cancel_all(self, endpoint: ServerEndpoint) -> None:
        """Ends all attempts at a server without a result."""
        for attempt in endpoint.attempts.values():
            self._detach(attempt, has_failed=True)
        endpoint.attempts.clear()

    def finish_all_unwanted(self) -> None:
        """Ends the attempts that still wait for a connection but are no longer wanted."""
        for endpoint in list(self._pool.endpoints.values()):
            self.finish_unwanted(endpoint)

    def finish_unwanted(self, endpoint: ServerEndpoint) -> None:
        """Ends the attempts at a server that still wait for a connection but are no longer wanted."""
        for attempt in list(endpoint.attempts.values()):
            if not attempt.is_written:
                self._check_wanted(attempt)

    # --- sending ---

    def _assign(self, attempt: Attempt) -> None:
        if not self._check_before_write(attempt):
            return
        if self._pool.is_reassigned(attempt.endpoint):
            self.fail(attempt, Result.CONNECT_FAILED, "another server is listed at its address")
            return
        attempt.connect_count += 1
        connection = self._pool.select_or_connect(attempt.endpoint, attempt.session_id)
        attempt.connection = connection
        connection.attempts[attempt.session_id] = attempt
        if connection.is_usable:
            self._write(attempt, connection)

    def _check_before_write(self, attempt: Attempt) -> bool:
        """Ends an attempt whose client disconnected or whose timeout passed before the loop ran the callback.

        Returns:
            Whether the attempt may be written.
        """
        self._read_client_input(attempt.session_id)
        if self._dispatcher.now() - attempt.sent_at > attempt.command.timeout_ms:
            self._on_timeout(attempt)  # the timer is due, but the event loop has not run it yet
            return False
        return self._check_wanted(attempt)

    def _check_wanted(self, attempt: Attempt) -> bool:
        """Ends an attempt that is no longer wanted. Returns whether it is still wanted."""
        if self._dispatcher.sessions.is_attempt_wanted(attempt.session_id, attempt.command.attempt):
            return True
        self.fail(attempt, Result.NOT_SENT, "no longer wanted")
        return False

    def _write(self, attempt: Attempt, connection: ServerConnection) -> None:
        endpoint = attempt.endpoint
        session_id = attempt.session_id
        now = self._dispatcher.now()
        set_up = self._set_up_frame(attempt, now)
        unconfirmed_releases = endpoint.releases_on_broken_connections(now)
        releases = endpoint.release_queue.pop_for_session(session_id)
        releases += [release for release in unconfirmed_releases if release.session == session_id]
        for release in releases:
            connection.send(release)
        # If the write fails, the server never receives the complete set-up. The attempt is then assigned to a
        # new connection when the end of this one is reported.
        attempt.is_written = connection.write(encode_frame(set_up))
        if attempt.is_written:
            endpoint.placed_sessions[session_id] = PlacedSession(connection, now)

    def _set_up_frame(self, attempt: Attempt, now: float) -> Frame:
        command = attempt.command
        request = command.request
        assert isinstance(request.body, bytes)
        remaining_ms = command.timeout_ms - (now - attempt.sent_at)
        parameters: dict[int, bytes] = {
            ParameterCode.CLASS: self._class_names[request.class_index],
            ParameterCode.WAIT: b"%d" % max(ceil(remaining_ms), 1),
            ParameterCode.TITLE: request.title_name.encode(),
            ParameterCode.RUNG: b"%d" % command.rung,
            ParameterCode.DESCRIPTION: request.body,
        }
        return Frame(FrameType.SETUP, request.session_id, parameters)

    # --- events ---

    def on_connected(self, connection: ServerConnection) -> None:
        """Writes the attempts that waited for this connection."""
        for attempt in list(connection.attempts.values()):
            if self._check_before_write(attempt):
                self._write(attempt, connection)

    def on_connect_failed(self, connection: ServerConnection, reason: str) -> None:
        """Ends the attempts that waited for this connection."""
        for attempt in list(connection.attempts.values()):
            self.fail(attempt, Result.CONNECT_FAILED, reason)

    def on_connection_lost(self, connection: ServerConnection, reason: str) -> None:
        """Assigns the unwritten attempts of a connection that ended to other connections."""
        attempts = list(connection.attempts.values())
        connection.attempts = {}
        for attempt in attempts:
            attempt.connection = None
            if attempt.is_written:
                attempt.break_reason = reason
            elif attempt.connect_count >= MAX_CONNECTS:
                self.fail(attempt, Result.CONNECT_FAILED, reason)
            else:
                self._assign(attempt)

    def on_liveness_known(self, endpoint: ServerEndpoint, is_alive: bool) -> None:
        """Ends the attempts whose connection broke after they were written.

        A server that is alive may have carried out the set-up and sent a reply that was lost, so the session
        manager releases the session there.
        """
        for attempt in endpoint.broken_attempts:
            self.fail(attempt, result_of_broken_attempt(is_alive), attempt.break_reason)

    def on_server_lost(self, endpoint: ServerEndpoint) -> None:
        """Ends all attempts at a server that was lost."""
        for attempt in list(endpoint.attempts.values()):
            result = Result.RESET if attempt.is_written else Result.CONNECT_FAILED
            self.fail(attempt, result, "server lost")

    def _on_timeout(self, attempt: Attempt) -> None:
        if attempt.connection is not None and attempt.is_written:
            attempt.connection.state.drain()  # no new requests on it: the server is slow or stuck
        self.fail(attempt, Result.TIMEOUT if attempt.is_written else Result.CONNECT_FAILED)

    # --- results ---

    def fail(
        self,
        attempt: Attempt,
        result: Result,
        reason: str = "",
        report: dict[str, float] | None = None,
    ) -> None:
        """Ends an attempt as failed, unless it has ended already.

        Args:
            attempt: The attempt.
            result: Any result except OK.
            reason: Why it failed, for the log.
            report: The load report that came with the result.
        """
        if self._remove(attempt, has_failed=True):
            if attempt.is_written:
                attempt.endpoint.failed_attempts.add(attempt.session_id)
            duration_ms = self._dispatcher.now() - attempt.sent_at
            self._report(attempt.command, SetUpResult(result, duration_ms, report or {}, reason=reason))

    def succeed(self, attempt: Attempt, description: str, report: dict[str, float]) -> None:
        """Ends an attempt with the server's answer, unless it has ended already.

        Args:
            attempt: The attempt.
            description: The session description in the answer.
            report: The load report that came with the answer.
        """
        if self._remove(attempt, has_failed=False):
            duration_ms = self._dispatcher.now() - attempt.sent_at
            self._report(attempt.command, SetUpResult(Result.OK, duration_ms, report, description))

    def _remove(self, attempt: Attempt, *, has_failed: bool) -> bool:
        attempts = attempt.endpoint.attempts
        if attempts.get(attempt.session_id) is not attempt:
            return False
        del attempts[attempt.session_id]
        self._detach(attempt, has_failed=has_failed)
        return True

    def _detach(self, attempt: Attempt, *, has_failed: bool) -> None:
        """Stops the timer of an attempt and removes the attempt from its connection."""
        if attempt.timer is not None:
            attempt.timer.cancel()
        connection = attempt.connection
        if connection is None:
            return
        connection.attempts.pop(attempt.session_id, None)
        connection.last_used_at = self._dispatcher.now()
        if attempt.is_written and has_failed:
            connection.failed_attempts.add(attempt.session_id)

    def _report(self, command: SetUp, result: SetUpResult) -> None:
        session_id = command.request.session_id
        if result.result is not Result.OK:
            self._dispatcher.log.info(
                "set-up failed",
                session=session_id,
                server=self._pool.server_name(command.server),
                attempt=command.attempt,
                result=RESULT_LABELS[result.result],
                why=result.reason,
            )
        now = self._dispatcher.now()
        self._dispatcher.sessions.on_attempt_finished(now, session_id, command.attempt, result)
        self._dispatcher.schedule_step()
