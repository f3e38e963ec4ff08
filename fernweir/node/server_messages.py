"""Handles the messages that media servers send."""

from __future__ import annotations

from fernweir.front.dispatcher import Dispatcher
from fernweir.interface import NoticeKind, Result
from fernweir.node.attempts import Attempt, AttemptManager
from fernweir.node.frames import Frame, FrameError, FrameType, ParameterCode
from fernweir.node.health_checks import HealthChecker
from fernweir.node.liveness import result_of_broken_attempt
from fernweir.node.placed_sessions import PlacedSessionManager
from fernweir.node.server_connection import ServerConnection
from fernweir.node.server_endpoint import ServerEndpoint
from fernweir.node.server_pool import ServerPool

_CAUSE_HEALTHY = 1  # in the reply to a health check

# The result of an attempt, by the cause in the release that is sent instead of an answer. Other causes are an
# error: the server is alive, and the release may belong to an earlier attempt.
_RESULTS_BEFORE_ANSWER = {34: Result.FULL, 41: Result.RESET, 47: Result.ERROR, 102: Result.NOT_SENT}

# The result of a session, by the cause in the release that ends it. Other causes are a reset.
_RESULTS_AFTER_ANSWER = {16: Result.OK, 31: Result.CANCELLED}

_NOTICE_KINDS = {
    "got": NoticeKind.DELIVERED,
    "level": NoticeKind.RUNG,
    "port": NoticeKind.LINK,
    "spine": NoticeKind.UPLINK,
}


class ServerMessageHandler:
    """Dispatches each message to the attempt, health check or session that it concerns."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        pool: ServerPool,
        attempts: AttemptManager,
        health_checks: HealthChecker,
        sessions: PlacedSessionManager,
    ) -> None:
        self._dispatcher = dispatcher
        self._pool = pool
        self._attempts = attempts
        self._health_checks = health_checks
        self._sessions = sessions

    def handle(self, connection: ServerConnection, frame: Frame) -> None:
        """Handles one message.

        Duplicates, answers without an attempt in flight, and confirmations of releases are ignored.

        Raises:
            FrameError: The message lacks a required parameter.
        """
        if frame.type is FrameType.PONG:
            result = Result.OK if frame.cause == _CAUSE_HEALTHY else Result.ERROR
            self._health_checks.finish(connection.endpoint, frame.session, result, frame.load_report())
            return
        endpoint = self._find_endpoint(connection, frame.session)
        endpoint.on_session_message(frame.session, connection, self._dispatcher.now())
        if frame.type is FrameType.ANSWER:
            self._on_answer(connection, frame)
        elif frame.type is FrameType.RELEASE:
            self._on_release(connection, endpoint, frame)
        elif frame.type is FrameType.NOTE:
            self._on_notice(endpoint, frame)

    def _find_endpoint(self, connection: ServerConnection, session_id: str) -> ServerEndpoint:
        """Returns the server at which a session was placed that a process sends a message about.

        A session may have been set up at this address when another server was listed there.
        """
        endpoint = connection.endpoint
        if session_id not in endpoint.placed_sessions and session_id not in endpoint.attempts:
            for other in self._pool.endpoints_at(connection.address):
                if session_id in other.placed_sessions:
                    return other
        return endpoint

    def _on_answer(self, connection: ServerConnection, frame: Frame) -> None:
        attempt = self._find_attempt(connection, frame.session)
        if attempt is None:
            return
        if ParameterCode.DESCRIPTION not in frame.parameters:
            raise FrameError("answer has no description")
        report = frame.load_report()
        description = frame.text_parameter(ParameterCode.DESCRIPTION)
        self._attempts.succeed(attempt, description, report)

    def _on_release(self, connection: ServerConnection, endpoint: ServerEndpoint, frame: Frame) -> None:
        cause = frame.cause
        report = frame.load_report()
        attempt = self._find_attempt(connection, frame.session)
        if attempt is not None:
            self._on_attempt_rejected(attempt, cause, report)
        else:
            self._on_session_released(connection, endpoint, frame.session, cause)

    def _on_attempt_rejected(self, attempt: Attempt, cause: int | None, report: dict[str, float]) -> None:
        result = None if cause is None else _RESULTS_BEFORE_ANSWER.get(cause)
        if result is None:
            result = result_of_broken_attempt(is_alive=True)
        else:
            attempt.endpoint.placed_sessions.pop(attempt.session_id, None)
        self._attempts.fail(attempt, result, f"cause {cause}", report)

    def _on_session_released(
        self, connection: ServerConnection, endpoint: ServerEndpoint, session_id: str, cause: int | None
    ) -> None:
        session = endpoint.placed_sessions.get(session_id)
        if session is None or session_id in endpoint.attempts:
            return  # a duplicate, or the end of an earlier attempt
        is_own_connection = session.connection is connection
        may_be_earlier_attempt = session_id in connection.failed_attempts and session.is_connected
        if not is_own_connection and may_be_earlier_attempt:
            return
        if not is_own_connection and session_id in endpoint.failed_attempts:
            # The message may end either attempt, so the other one is released, too.
            self._sessions.send_release(endpoint, session_id)
        result = Result.RESET if cause is None else _RESULTS_AFTER_ANSWER.get(cause, Result.RESET)
        self._sessions.end(endpoint, session_id, result)

    def _on_notice(self, endpoint: ServerEndpoint, frame: Frame) -> None:
        kind = _NOTICE_KINDS.get(frame.text_parameter(ParameterCode.NOTE))
        level = frame.number_parameter(ParameterCode.LEVEL)
        record = self._dispatcher.sessions.session(frame.session)
        if kind is None or record is None or record.server != endpoint.server:
            return
        now = self._dispatcher.now()
        self._dispatcher.sessions.on_server_notice(now, frame.session, record.attempt, kind, level)
        self._dispatcher.schedule_step()

    def _find_attempt(self, connection: ServerConnection, session_id: str) -> Attempt | None:
        """Returns the attempt that a message concerns, if one is in flight.

        A server replies on the connection of the set-up as long as it exists, and all attempts of a session
        at one server have the same identifier. So a message on a connection that carried an earlier attempt
        may be a late message of that attempt.
        """
        attempt = connection.endpoint.attempts.get(session_id)
        if attempt is None or not attempt.is_written:
            return None
        if attempt.connection is connection:
            return attempt
        if attempt.connection is None and session_id not in connection.failed_attempts:
            return attempt
        return None
