"""State of one client connection: its phase, and which messages may not have reached the client. No I/O.

All callbacks of a connection consult this one record. The client's side and the node's side of a connection
end one after the other, and between the two the open requests are still answered. That a message was written
does not prove its delivery: the kernel may still hold a part of it, or the client may have closed its end
before it arrived, which only a later connection error reveals.

All times are monotonic and in milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

# A reset answers data that was sent to a closed socket within a round trip or two.
DELIVERY_CONFIRMATION_MS = 1_000.0


class ClientConnectionPhase(Enum):
    """How far a client connection has got. It only moves onward."""

    NEW = "new"  # accepted, its transport does not exist yet
    OPEN = "open"
    DRAINING = "ending"  # the node accepts no new requests on it, and closes once the open ones are answered
    HALF_CLOSED = "left"  # the client ended its side; open requests are still answered
    LINGERING = "parted"  # both sides have ended; the delivery of the last messages is not confirmed yet
    CLOSING = "closing"  # nothing is read or written any more, what was written is being sent
    CLOSED = "over"


_READABLE_PHASES = frozenset((ClientConnectionPhase.OPEN, ClientConnectionPhase.DRAINING))
_DRAINING_PHASES = frozenset((ClientConnectionPhase.DRAINING, ClientConnectionPhase.HALF_CLOSED))
_WRITABLE_PHASES = _READABLE_PHASES | _DRAINING_PHASES


@dataclass(slots=True)
class UnconfirmedMessage:
    """The last message of a session that was written: its successful reply, or the end of the session.

    Attributes:
        written_at_ms: When it was written, then when the kernel had accepted all of it.
        session_end: The encoded end, which may be sent again on another connection. None for a reply, which
            is of no use once its client has disconnected.
        is_flushed: Whether the kernel has accepted all of it.
    """

    written_at_ms: float
    session_end: bytes | None
    is_flushed: bool


class ClientConnectionState:
    """The state machine of one client connection.

    Attributes:
        phase: How far the connection has got.
        open_requests: Session ids of its set-ups that have no reply yet.
        sessions: Ids of the established sessions whose set-ups came on it.
    """

    def __init__(self) -> None:
        self.phase = ClientConnectionPhase.NEW
        self.open_requests: set[str] = set()
        self.sessions: set[str] = set()
        self._unconfirmed_messages: dict[str, UnconfirmedMessage] = {}

    # --- its phase ---

    @property
    def may_accept_requests(self) -> bool:
        """Whether new set-ups are accepted."""
        return self.phase is ClientConnectionPhase.OPEN

    @property
    def may_read(self) -> bool:
        """Whether its lines are read: until the node closes it a client may withdraw its requests."""
        return self.phase in _READABLE_PHASES

    @property
    def may_write(self) -> bool:
        """Whether replies are written."""
        return self.phase in _WRITABLE_PHASES

    @property
    def is_drained(self) -> bool:
        """Whether it accepts no requests and has none open, so that it should be closed now."""
        return self.phase in _DRAINING_PHASES and not self.open_requests

    def on_connection_made(self) -> bool:
        """Records that its transport exists.

        Returns:
            False if the connection was evicted before.
        """
        if self.phase is ClientConnectionPhase.NEW:
            self.phase = ClientConnectionPhase.OPEN
        return self.phase is ClientConnectionPhase.OPEN

    def stop_accepting_requests(self) -> None:
        """Starts draining: no new set-ups are accepted from now on."""
        if self.phase is ClientConnectionPhase.OPEN:
            self.phase = ClientConnectionPhase.DRAINING

    def on_client_half_closed(self) -> bool:
        """Records that the client ended its side.

        Returns:
            False if that is known already, or the node has closed the connection.
        """
        if not self.may_read:
            return False
        self.phase = ClientConnectionPhase.HALF_CLOSED
        return True

    def close(self, now: float) -> bool:
        """Ends the node's side.

        Returns:
            Whether the connection lingers until the delivery of its last messages is confirmed.
        """
        lingers = self.phase is ClientConnectionPhase.HALF_CLOSED and self.has_unconfirmed_messages(now)
        self.phase = ClientConnectionPhase.LINGERING if lingers else ClientConnectionPhase.CLOSING
        return lingers

    def on_connection_ended(self, now: float, is_broken: bool) -> dict[str, UnconfirmedMessage] | None:
        """Records the end of the connection.

        What the kernel had not accepted was certainly not delivered. A client that had ended its side before
        the connection broke had closed its socket, so it did not read the most recent messages. A client
        whose connection breaks for another reason may have read them; its sessions go on without it.

        Args:
            now: Monotonic time in milliseconds.
            is_broken: Whether the connection ended by an error.

        Returns:
            The messages that were not delivered, by session id, or None if the end was recorded before.
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

    # --- its last messages ---

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
        """Records that the kernel has accepted all that was written."""
        for message in self._unconfirmed_messages.values():
            if not message.is_flushed:
                message.written_at_ms = now
                message.is_flushed = True

    def forget_session(self, session_id: str) -> None:
        """Drops the reply of a session that has ended: whether it was delivered matters no more."""
        self._unconfirmed_messages.pop(session_id, None)

    def has_unconfirmed_messages(self, now: float) -> bool:
        """Whether a message may still turn out not to be delivered."""
        return any(
            not message.is_flushed or _is_recent(message, now)
            for message in self._unconfirmed_messages.values()
        )


def _is_recent(message: UnconfirmedMessage, now: float) -> bool:
    return now - message.written_at_ms < DELIVERY_CONFIRMATION_MS
