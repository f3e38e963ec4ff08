"""Handles the messages of clients, which are set-ups, releases and pings, and sends the replies.

A set-up is parsed, checked against the existing sessions and submitted to the session manager. The reply is
sent on the connection on which the set-up arrived.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil

from fernweir.front.commands import ReplyKind, SessionOver, SessionReply, SessionRequest
from fernweir.front.dispatcher import Dispatcher
from fernweir.node.client_connection import CAUSE_FAILED, CAUSE_REJECTED, ClientConnection
from fernweir.node.jsonl import FieldValue, LineError, Message
from fernweir.node.limits import ConnectionAdmission, RecentIds
from fernweir.node.server_transport import MediaServerTransport
from fernweir.node.session_end_delivery import SessionEndDelivery
from fernweir.node.set_up_parser import SetUpParser

_PONG_READY = 1
_PONG_NOT_READY = 0
_MESSAGES_WITHOUT_EFFECT = frozenset(("released", "progress"))


@dataclass(frozen=True, slots=True)
class OpenRequest:
    """A set-up that has no reply yet.

    Attributes:
        ticket: The number of the request in the session manager.
        connection: The connection on which the set-up arrived.
    """

    ticket: int
    connection: ClientConnection


class ClientRequests:
    """Handles the messages of clients and sends the replies.

    Attributes:
        is_ready: Whether the node has started, so that its pongs may report that it accepts sessions.
        recent_ids: Ids of sessions that were answered or ended recently. Further messages for them are not
            errors.
        open_requests: The set-ups that have no reply yet, by session id.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        parser: SetUpParser,
        server_transport: MediaServerTransport,
        admission: ConnectionAdmission[ClientConnection],
        session_ends: SessionEndDelivery,
    ) -> None:
        self._dispatcher = dispatcher
        self._parser = parser
        self._server_transport = server_transport
        self._admission = admission
        self._session_ends = session_ends
        self.is_ready = False
        self.recent_ids = RecentIds()
        self.open_requests: dict[str, OpenRequest] = {}
        dispatcher.on_session_over = self.on_session_ended
        server_transport.read_client_input = self.read_client_input

    def handle_message(self, connection: ClientConnection, message: Message) -> None:
        """Handles one message of a connection.

        Raises:
            LineError: The message is not meant for a front node, or is not valid in the current state.
        """
        if message.type == "ping":
            self._send_pong(connection, message.id)
        elif message.type == "setup":
            self._set_up_session(connection, message)
        elif message.type == "release":
            self._release_session(connection, message.id)
        elif message.type not in _MESSAGES_WITHOUT_EFFECT:
            raise LineError(f"{message.type} is not for a front node", message.id)

    def _send_pong(self, connection: ClientConnection, ping_id: str) -> None:
        is_accepting = self.is_ready and not self._dispatcher.sessions.is_closing
        cause = _PONG_READY if is_accepting else _PONG_NOT_READY
        connection.send_message(Message("pong", ping_id, cause=cause))

    # --- set-ups ---

    def _set_up_session(self, connection: ClientConnection, message: Message) -> None:
        session_id = message.id
        self._reject_duplicate_set_up(connection, session_id)
        ticket = self._dispatcher.next_ticket()
        request, server_name = self._parser.parse(message, ticket)
        if server_name:
            self._take_over_session(connection, request, server_name)
            return
        is_known = self._dispatcher.sessions.session(session_id) is not None
        if is_known or session_id in self.recent_ids:
            raise LineError(f"session id {session_id} is already in use")
        if not connection.state.may_accept_requests:
            self._send_reply(session_id, connection, SessionReply(ticket, ReplyKind.REJECTED))
            return
        self.open_requests[session_id] = OpenRequest(ticket, connection)
        connection.state.open_requests.add(session_id)
        self._admission.on_request_opened(connection)
        self._dispatcher.submit(request, lambda reply: self._on_reply(session_id, reply))

    def _reject_duplicate_set_up(self, connection: ClientConnection, session_id: str) -> None:
        open_request = self.open_requests.get(session_id)
        if open_request is not None and open_request.connection is connection:
            # The client could not match a reply to one of the two descriptions, so both set-ups end without
            # a session.
            self._withdraw_request(session_id)
            self.recent_ids.add(session_id)
            raise LineError("a set-up with this id is already open", session_id)

    def _take_over_session(
        self, connection: ClientConnection, request: SessionRequest, server_name: str
    ) -> None:
        """Adopts a session that a server already plays, or notifies the client that it has ended."""
        session_id = request.session_id
        if self._server_transport.adopt_session(request, server_name):
            self._session_ends.on_session_established(session_id, connection)
        elif self._dispatcher.sessions.session(session_id) is None:
            # The id is recent, so a release from the client in the meantime is not an error and does not
            # cause a second end message.
            self.recent_ids.add(session_id)
            connection.send_message(Message("release", session_id, cause=CAUSE_FAILED))

    def _on_reply(self, session_id: str, reply: SessionReply) -> None:
        connection = self.open_requests.pop(session_id).connection
        connection.state.open_requests.discard(session_id)
        self._admission.on_request_finished(connection, self._dispatcher.now())
        self._send_reply(session_id, connection, reply)
        connection.close_if_drained()

    def _send_reply(self, session_id: str, connection: ClientConnection, reply: SessionReply) -> None:
        if reply.kind is ReplyKind.PLAYS:
            assert isinstance(reply.payload, str)
            connection.send_session_reply(Message("answer", session_id, sdp=reply.payload))
            self._session_ends.on_session_established(session_id, connection)
            return
        self.recent_ids.add(session_id)
        if reply.kind is ReplyKind.REJECTED:
            retry_after_ms = ceil(reply.retry_after_ms)
            fields: dict[str, FieldValue] = {"wait": str(retry_after_ms)} if retry_after_ms > 0 else {}
            connection.send_message(Message("release", session_id, fields, CAUSE_REJECTED))
        else:
            connection.send_message(Message("release", session_id, cause=CAUSE_FAILED))

    # --- releases ---

    def _release_session(self, connection: ClientConnection, session_id: str) -> None:
        if session_id in self.open_requests:
            self._withdraw_request(session_id)
            self.recent_ids.add(session_id)
        elif self._dispatcher.sessions.release_session(self._dispatcher.now(), session_id):
            self._dispatcher.schedule_step()
        elif session_id not in self.recent_ids and not self._is_end_pending(session_id):
            # The set-up may still be unread on another connection. The error below is then its reply.
            self.recent_ids.add(session_id)
            raise LineError("no such session", session_id)

    def _is_end_pending(self, session_id: str) -> bool:
        """Whether the session has ended but its end has not been sent yet."""
        return session_id in self._session_ends.connection_by_session

    def _withdraw_request(self, session_id: str) -> None:
        """Withdraws an open set-up that its client no longer wants."""
        open_request = self.open_requests.pop(session_id)
        connection = open_request.connection
        connection.state.open_requests.discard(session_id)
        self._admission.on_request_finished(connection, self._dispatcher.now())
        self._dispatcher.withdraw_request(open_request.ticket)
        if connection.state.is_drained:  # closes after the remaining input has been handled
            self._dispatcher.loop.call_soon(connection.close_if_drained)

    # --- events of other parts ---

    def on_session_ended(self, session_over: SessionOver) -> None:
        """Notifies the client that an established session has ended."""
        self.recent_ids.add(session_over.request.session_id)
        self._session_ends.on_session_ended(session_over)

    def read_client_input(self, session_id: str) -> None:
        """Reads all input that the client of an open set-up has sent so far.

        Called just before the set-up is sent to a server, because its client may have disconnected since the
        event loop last polled the socket.
        """
        open_request = self.open_requests.get(session_id)
        if open_request is not None:
            open_request.connection.read_while_requests_open()

    def on_client_half_closed(self, connection: ClientConnection) -> None:
        """Handles a client that has shut down its sending side but may still read.

        Its open requests are answered, but no new attempt is started for them.
        """
        for session_id in connection.state.open_requests:
            self._dispatcher.on_client_half_closed(self.open_requests[session_id].ticket)
        # A set-up that waits for a connection to its server must not be sent once that is established.
        self._server_transport.drop_unwanted_attempts()

    def withdraw_requests(self, connection: ClientConnection, reason: str) -> None:
        """Withdraws all open set-ups of a connection that ended.

        Their ids are not added to `recent_ids`, because a viewer may send them again on a new connection.
        """
        session_ids = list(connection.state.open_requests)
        if session_ids:
            self._dispatcher.log.info(
                "connection ended with requests open", requests=len(session_ids), why=reason
            )
        for session_id in session_ids:
            self._withdraw_request(session_id)
