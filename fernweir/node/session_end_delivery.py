"""Delivers the ends of sessions to clients, even after the connection of the set-up has ended."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass

from fernweir.front.commands import SessionOver
from fernweir.front.dispatcher import Dispatcher
from fernweir.interface import Result
from fernweir.node.client_connection import CAUSE_FAILED, CAUSE_NORMAL, ClientConnection
from fernweir.node.client_connection_state import UnconfirmedMessage
from fernweir.node.jsonl import Message, encode_message

# PROTOCOL: a release that no connection could carry is sent within 8 s of the end of the session.
_SESSION_END_TTL_MS = 8_000.0

_CAUSE_BY_RESULT = {Result.OK: CAUSE_NORMAL}


@dataclass(frozen=True, slots=True)
class _UndeliveredEnd:
    """The end of a session that could not be sent on any connection.

    Attributes:
        expires_at_ms: Monotonic time after which the client is no longer notified.
        session_id: The session.
        encoded: The encoded message.
    """

    expires_at_ms: float
    session_id: str
    encoded: bytes


class SessionEndDelivery:
    """Notifies clients that their sessions ended.

    Attributes:
        connection_by_session: The connection of the set-up of each established session, or None if that
            connection has ended.
        serving_connections: The connections on which sessions were established, the most recent last.
    """

    def __init__(self, dispatcher: Dispatcher) -> None:
        self._dispatcher = dispatcher
        self.connection_by_session: dict[str, ClientConnection | None] = {}
        self.serving_connections: dict[ClientConnection, None] = {}
        self._undelivered_ends: deque[_UndeliveredEnd] = deque()

    def on_session_established(self, session_id: str, connection: ClientConnection) -> None:
        """Assigns a session to its connection, on which undelivered session ends are then sent, too."""
        self.connection_by_session[session_id] = connection
        connection.state.sessions.add(session_id)
        connection.error_tolerance.record_success()
        if not connection.may_carry_session_ends:
            return
        self.serving_connections.pop(connection, None)
        self.serving_connections[connection] = None
        undelivered_ends, self._undelivered_ends = self._undelivered_ends, deque()
        for undelivered in undelivered_ends:
            self._send_session_end(undelivered.session_id, undelivered.encoded)

    def on_session_ended(self, session_over: SessionOver) -> None:
        """Sends the end of a session on its connection, else on any serving connection."""
        session_id = session_over.request.session_id
        connection = self.connection_by_session.pop(session_id, None)
        if connection is not None:
            connection.state.sessions.discard(session_id)
            connection.state.discard_session(session_id)
        if session_over.is_ended_by_viewer:
            return
        if session_over.is_moved:
            message = Message("move", session_id)
        else:
            cause = _CAUSE_BY_RESULT.get(session_over.result, CAUSE_FAILED)
            message = Message("release", session_id, cause=cause)
        self._send_session_end(session_id, encode_message(message), connection)

    def remove_connection(self, connection: ClientConnection) -> None:
        """Removes a connection that has ended. Its sessions continue."""
        for session_id in connection.state.sessions:
            self.connection_by_session[session_id] = None
        self.serving_connections.pop(connection, None)

    def on_messages_undelivered(
        self, undelivered: Mapping[str, UnconfirmedMessage], now: float, reason: str
    ) -> None:
        """Sends the ends again on another connection, and ends the sessions whose replies were lost.

        Args:
            undelivered: The messages that a connection did not deliver, by session id.
            now: Monotonic time in milliseconds.
            reason: Why the connection ended.
        """
        for session_id, message in undelivered.items():
            if message.session_end is not None:
                self._send_session_end(session_id, message.session_end)
                continue
            # The client has not learned of the session. The end is sent nevertheless, on any connection where
            # the viewer may read it.
            self._dispatcher.log.info("reply not delivered", session=session_id, why=reason)
            self._dispatcher.sessions.revoke_session(now, session_id, "its viewer left")
            self._dispatcher.schedule_step()

    def discard_expired(self, now: float) -> None:
        """Drops the undelivered ends that have expired."""
        while self._undelivered_ends and self._undelivered_ends[0].expires_at_ms <= now:
            self._undelivered_ends.popleft()

    def _send_session_end(
        self, session_id: str, encoded: bytes, preferred: ClientConnection | None = None
    ) -> None:
        first_choice = [preferred] if preferred is not None else []
        for connection in (*first_choice, *reversed(self.serving_connections)):
            if connection.may_carry_session_ends and connection.send_session_end(session_id, encoded):
                return
        expires_at_ms = self._dispatcher.now() + _SESSION_END_TTL_MS
        self._undelivered_ends.append(_UndeliveredEnd(expires_at_ms, session_id, encoded))
