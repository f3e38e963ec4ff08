"""The state machine of one client connection: its phase and its unconfirmed messages. No I/O.

All callbacks of a connection use this state. The client and the node close their sides of a connection
independently. After the client has half-closed, its open requests are still answered. A successful write
does not prove delivery: the kernel may still buffer a part of the message, or the client may have closed its
socket before the message arrived, which only a later connection error reveals.

All times are monotonic and in milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

# Data that is sent to a closed socket is answered by a reset within one or two round trips.
DELIVERY_CONFIRMATION_MS = 1_000.0


class ClientConnectionPhase(Enum):
    """The phases of a client connection, which only moves forward through them."""

    NEW = "new"  # accepted; the transport does not exist yet
    OPEN = "open"
    DRAINING = "ending"  # accepts no new requests and closes once the open ones are answered
    HALF_CLOSED = "left"  # the client shut down its side; open requests are still answered
    LINGERING = "parted"  # both sides are shut down; the last messages are not confirmed yet
    CLOSING = "closing"  # nothing more is read or written; written bytes are still being sent
    CLOSED = "over"


_READABLE_PHASES = frozenset((ClientConnectionPhase.OPEN, ClientConnectionPhase.DRAINING))
_DRAINING_PHASES = frozenset((ClientConnectionPhase.DRAINING, ClientConnectionPhase.HALF_CLOSED))
_WRITABLE_PHASES = _READABLE_PHASES | _DRAINING_PHASES


@dataclass(slots=True)
class UnconfirmedMessage:
    """The last message that was written for a session: its successful reply, or the end of the session.

    Attributes:
        written_at_ms: When the message was written, or, once it is flushed, when the kernel had accepted it.
        session_end: The encoded end of the session, which may be sent again on another connection. None for a
            reply, which is useless once its client has disconnected.
        is_flushed: Whether the kernel has accepted the complete message.
    """

    written_at_ms: float
    session_end: bytes | None
    is_flushed: bool


class ClientConnectionState:
    """The state machine of one client connection.

    Attributes:
        phase: The phase of the connection.
        open_requests: Session ids of the set-ups on this connection that have no reply yet.
        sessions: Ids of the established sessions that were set up on this connection.
    """

    def __init__(self) -> None:
        self.phase = ClientConnectionPhase.NEW
        self.open_requests: set[str] = set()
        self.sessions: set[str] = set()
        self._unconfirmed_messages: dict[str, UnconfirmedMessage] = {}

    # --- phase ---

    @property
    def may_accept_requests(self) -> bool:
        """Whether new set-ups are accepted."""
        return self.phase is ClientConnectionPhase.OPEN

    @property
    def may_read(self) -> bool:
        """Whether input is read: a client may withdraw its requests until the node closes."""
        return self.phase in _READABLE_PHASES

    @property
    def may_write(self) -> bool:
        """Whether replies are written."""
        return self.phase in _WRITABLE_PHASES

    @property
    def is_drained(self) -> bool:
        """Whether it accepts no requests and has none open, and should therefore be closed."""
        return self.phase in _DRAINING_PHASES and not self.open_requests

    def on_connection_made(self) -> bool:
        """Records that the transport exists.

        Returns:
            False if the connection was evicted before that.
        """
        if self.phase is ClientConnectionPhase.NEW:
            self.phase = ClientConnectionPhase.OPEN
        return self.phase is ClientConnectionPhase.OPEN

    def stop_accepting_requests(self) -> None:
        """Starts draining: no new set-ups are accepted any more."""
        if self.phase is ClientConnectionPhase.OPEN:
            self.phase = ClientConnectionPhase.DRAINING

    def on_client_half_closed(self) -> bool:
        """Records that the client has shut down its sending side.

        Returns:
            False if this was recorded before, or if the node has closed the connection.
        """
        if not self.may_read:
            return False
        self.phase = ClientConnectionPhase.HALF_CLOSED
        return True

    def close(self, now: float) -> bool:
        """Closes the node's side.

        Returns:
            Whether the connection lingers until the delivery of its last messages is confirmed.
        """
        lingers = self.phase is ClientConnectionPhase.HALF_CLOSED and self.has_unconfirmed_messages(now)
        self.phase = ClientConnectionPhase.LINGERING if lingers else ClientConnectionPhase.CLOSING
        return lingers

    def on_connection_ended(self, now: float, is_broken: bool) -> dict[str, UnconfirmedMessage] | None:
        """Records the end of the connection.

        Messages that the kernel had not accepted were certainly not delivered. A client that half-closed
        before the connection broke had closed its socket, so it did not read the most recent messages. A
        client whose connection breaks for another reason may have read them, and its sessions continue.

        Args:
            now: Monotonic time in milliseconds.
            is_broken: Whether the connection ended with an error.

        Returns:
            The undelivered messages by session id, or None if the end was recorded before.
        """
        if self.phase is ClientConnectionPhase.CLOSED:
            return None
        had_client_closed = self.phase in (ClientConnectionPhase.HALF_CLOSED, ClientConnectionPhase.LINGERING)
        is_recent_lost = is_broken and had_client_closed
        self.phase = ClientConnectionPhase.CLOSED
        undelivered = {
            session_id: message
            for session_id, message in self._unconfirmed_messages.items()
            if not message.is_flushed or (is_recent_lost and _is_recent(message, now))
        }
        self._unconfirmed_messages.clear()
        return undelivered

    # --- last messages ---

    def on_message_written(
        self, session_id: str, now: float, session_end: bytes | None, is_flushed: bool
    ) -> None:
        """Records the last message of a session.

        Args:
            session_id: The session.
            now: Monotonic time in milliseconds.
            session_end: The encoded end of the session, or None if the message is its reply.
            is_flushed: Whether the kernel has accepted all of it.
        """
        confirmed = [
            other
            for other, message in self._unconfirmed_messages.items()
            if message.is_flushed and not _is_recent(message, now)
        ]
        for other in confirmed:
            del self._unconfirmed_messages[other]
        self._unconfirmed_messages.pop(session_id, None)
        self._unconfirmed_messages[session_id] = UnconfirmedMessage(now, session_end, is_flushed)

    def on_write_buffer_flushed(self, now: float) -> None:
        """Records that the kernel has accepted all written bytes."""
        for message in self._unconfirmed_messages.values():
            if not message.is_flushed:
                message.written_at_ms = now
                message.is_flushed = True

    def discard_session(self, session_id: str) -> None:
        """Drops the reply of a session that has ended, since its delivery no longer matters."""
        self._unconfirmed_messages.pop(session_id, None)

    def has_unconfirmed_messages(self, now: float) -> bool:
        """Whether any message may still turn out to be undelivered."""
        return any(
            not message.is_flushed or _is_recent(message, now)
            for message in self._unconfirmed_messages.values()
        )


def _is_recent(message: UnconfirmedMessage, now: float) -> bool:
    return now - message.written_at_ms < DELIVERY_CONFIRMATION_MS
