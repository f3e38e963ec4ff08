"""The sessions that media servers carry: the messages that are sent about them, and their ends."""

from __future__ import annotations

from fernweir.front.commands import ChangeRung
from fernweir.front.dispatcher import Dispatcher
from fernweir.front.session_manager import SessionPhase
from fernweir.interface import Result
from fernweir.node.frames import Frame, FrameType, ParameterCode
from fernweir.node.release_queue import release_frame
from fernweir.node.server_connection import ServerConnection
from fernweir.node.server_endpoint import PlacedSession, ServerEndpoint
from fernweir.node.server_pool import ServerPool


class PlacedSessionManager:
    """Sends messages about placed sessions, and reports the ends of sessions to the session manager."""

    def __init__(self, dispatcher: Dispatcher, pool: ServerPool) -> None:
        self._dispatcher = dispatcher
        self._pool = pool

    def adopt(self, endpoint: ServerEndpoint, session_id: str) -> None:
        """Adds a session that its server already carries."""
        if not endpoint.placed_sessions:
            # Observations of a server from when it had no sessions do not apply once it carries some.
            endpoint.liveness = self._pool.new_liveness_monitor()
        endpoint.placed_sessions[session_id] = PlacedSession(None, self._dispatcher.now())

    def change_rung(self, command: ChangeRung) -> None:
        """Sends the new rung of a session."""
        endpoint = self._pool.endpoints.get(command.server)
        if endpoint is not None:
            frame = Frame(FrameType.RATE, command.session_id, {ParameterCode.RUNG: b"%d" % command.rung})
            self._send_or_queue(endpoint, frame)

    def release(self, endpoint: ServerEndpoint, session_id: str) -> None:
        """Releases a session that its server may carry."""
        if session_id not in endpoint.placed_sessions:
            return  # never written to this server, or ended by it
        self.send_release(endpoint, session_id)
        session = endpoint.placed_sessions.pop(session_id, None)
        if session is not None and session.connection is not None:
            session.connection.close_if_drained()

    def send_release(self, endpoint: ServerEndpoint, session_id: str) -> None:
        """Sends a release of a session to its server."""
        self._send_or_queue(endpoint, release_frame(session_id))

    def send_pending(self, connection: ServerConnection) -> None:
        """Sends the messages that were queued without a connection.

        Messages for a session with an attempt in flight stay queued until just before its set-up is written.
        """
        endpoint = connection.endpoint
        for frame in endpoint.release_queue.pop_except(endpoint.attempts):
            connection.send(frame)

    def end(self, endpoint: ServerEndpoint, session_id: str, result: Result) -> None:
        """Ends a session that its server no longer carries, according to a message or to proof."""
        record = self._dispatcher.sessions.session(session_id)
        endpoint.placed_sessions.pop(session_id, None)
        if record is None or record.server != endpoint.server or record.phase is not SessionPhase.PLAYING:
            return
        now = self._dispatcher.now()
        self._dispatcher.sessions.on_session_ended(now, session_id, record.attempt, result)
        self._dispatcher.schedule_step()

    def on_connection_lost(self, connection: ServerConnection) -> None:
        """Queues the releases that may have been lost with the connection.

        They are sent again before any set-up that is assigned to another connection, except for sessions that
        have been set up again since.
        """
        endpoint = connection.endpoint
        for session in endpoint.placed_sessions.values():
            if session.connection is connection:
                session.connection = None
        releases = connection.unconfirmed_releases(self._dispatcher.now())
        endpoint.release_queue.add(
            release for release in releases if release.session not in endpoint.placed_sessions
        )

    def on_process_ended(self, endpoint: ServerEndpoint) -> None:
        """Drops the state of a server whose process ended, where nothing needs to be released."""
        endpoint.release_queue.clear()
        endpoint.drain_connections()
        for attempt in endpoint.broken_attempts:
            endpoint.placed_sessions.pop(attempt.session_id, None)

    def on_server_lost(self, endpoint: ServerEndpoint, is_process_ended: bool) -> None:
        """Removes the sessions of a lost server.

        If the server is only unreachable, its sessions are released when it returns; no connection is opened
        just for that. Sessions with an attempt in flight are kept: the server may still read the set-up, so
        the session manager releases them.
        """
        attempts, placed = endpoint.attempts, endpoint.placed_sessions
        endpoint.placed_sessions = {
            session_id: session for session_id, session in placed.items() if session_id in attempts
        }
        if not is_process_ended:
            endpoint.release_queue.defer(session_id for session_id in placed if session_id not in attempts)
        endpoint.release_queue.clear_pending()
        endpoint.drain_connections()

    def _send_or_queue(self, endpoint: ServerEndpoint, frame: Frame) -> None:
        """Sends on the connection of the set-up, else on any other, else queues for the next one."""
        session = endpoint.placed_sessions.get(frame.session)
        if session is not None and session.is_connected:
            assert session.connection is not None
            session.connection.send(frame)
        elif endpoint.is_displaced or (endpoint.is_refusing and endpoint.has_open_carrier):
            self._send_to_process(endpoint, session, frame)
        else:
            self._send_on_any_connection(endpoint, frame)

    def _send_on_any_connection(self, endpoint: ServerEndpoint, frame: Frame) -> None:
        connection = self._pool.select_any(endpoint, frame.session)
        if connection is not None:
            connection.send(frame)
        else:
            endpoint.release_queue.add([frame])
            self._pool.connect_unless_connecting(endpoint)

    def _send_to_process(self, endpoint: ServerEndpoint, session: PlacedSession | None, frame: Frame) -> None:
        """Sends to the process that carries a session of a displaced server.

        If no connection to it is known, the message goes to each process that may be the one. Others ignore
        a session that they do not know.
        """
        if session is not None and session.carrier is not None and session.carrier.is_usable:
            session.carrier.send(frame)
            return
        for connection in self._pool.connections_at_address(endpoint):
            connection.send(frame)
