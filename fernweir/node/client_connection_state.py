"""One viewer's connection: how far it is, and which of its last words may not have been heard. No I/O.

All callbacks of a connection ask this one record. A viewer's side and the node's side end one after the
other, and between the two what is open is still answered. That a word was written says little: the kernel may
hold a part of it, or its viewer may have closed before it came, which only the break that follows tells.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

# A break tells within a journey or two whether the last words met a closed end.
DELIVERY_CONFIRMATION_MS = 1_000.0


class ConnectionPhase(Enum):
    NEW = "new"  # accepted, its transport isn't made
    OPEN = "open"
    DRAINING = "ending"  # the node takes nothing new on it, and closes once what is open is answered
    HALF_CLOSED = "left"  # its viewer ended its side; what is open is answered
    LINGERING = "parted"  # both have ended their sides; whether the last words were heard is still to come
    CLOSING = "closing"  # nothing is read or said any more, what was written goes out
    CLOSED = "over"


@dataclass(slots=True)
class UnconfirmedMessage:
    """An answer that a session stands, or the end of one, as it was written."""

    written_at_ms: float
    session_end: bytes | None  # an end may be said again elsewhere; an answer whose viewer is gone can't
    is_flushed: bool  # whether the kernel has all of it


class ClientConnectionState:
    def __init__(self) -> None:
        self.phase = ConnectionPhase.NEW
        self.open_requests: set[str] = set()  # set-ups without an answer
        self.sessions: set[str] = set()  # that stand, and came here
        self._unconfirmed_messages: dict[str, UnconfirmedMessage] = {}

    # --- how far it is ---

    @property
    def may_accept_requests(self) -> bool:
        """Whether set-ups are taken."""
        return self.phase is ConnectionPhase.OPEN

    @property
    def may_read(self) -> bool:
        """Whether its lines are read: until the node's close a viewer may take back what it asked."""
        return self.phase in (ConnectionPhase.OPEN, ConnectionPhase.DRAINING)

    @property
    def may_write(self) -> bool:
        """Whether answers are written."""
        return self.phase in (ConnectionPhase.OPEN, ConnectionPhase.DRAINING, ConnectionPhase.HALF_CLOSED)

    @property
    def is_drained(self) -> bool:
        """Whether it is to be closed now."""
        return (
            self.phase in (ConnectionPhase.DRAINING, ConnectionPhase.HALF_CLOSED) and not self.open_requests
        )

    def on_connection_made(self) -> bool:
        """Its transport is there. False if it was let go before."""
        if self.phase is ConnectionPhase.NEW:
            self.phase = ConnectionPhase.OPEN
        return self.phase is ConnectionPhase.OPEN

    def stop_accepting_requests(self) -> None:
        """The node takes nothing new here."""
        if self.phase is ConnectionPhase.OPEN:
            self.phase = ConnectionPhase.DRAINING

    def on_client_half_closed(self) -> bool:
        """Its viewer ended its side. False if that is known, or nothing is open any more."""
        if not self.may_read:
            return False
        self.phase = ConnectionPhase.HALF_CLOSED
        return True

    def close(self, now: float) -> bool:
        """The node ends its side. Whether word of its last answers is worth waiting for."""
        parted = self.phase is ConnectionPhase.HALF_CLOSED and self.has_unconfirmed_messages(now)
        self.phase = ConnectionPhase.LINGERING if parted else ConnectionPhase.CLOSING
        return parted

    def on_connection_ended(self, now: float, broke: bool) -> dict[str, UnconfirmedMessage] | None:
        """It is over: what was not heard, or None if that was told before.

        What the kernel had not taken was not heard, that is sure. A viewer that had ended its side before a
        break had closed: it had not read what came last. One whose connection breaks for another reason may
        have read it; what stands belongs to no connection.
        """
        if self.phase is ConnectionPhase.CLOSED:
            return None
        denied = broke and self.phase in (ConnectionPhase.HALF_CLOSED, ConnectionPhase.LINGERING)
        self.phase = ConnectionPhase.CLOSED
        lost = {
            id: one
            for id, one in self._unconfirmed_messages.items()
            if not one.is_flushed or (denied and self._is_recent(one, now))
        }
        self._unconfirmed_messages.clear()
        return lost

    # --- what was said last ---

    def on_message_written(self, id: str, now: float, end: bytes | None, out: bool) -> None:
        for old in [
            one
            for one, word in self._unconfirmed_messages.items()
            if word.is_flushed and not self._is_recent(word, now)
        ]:
            del self._unconfirmed_messages[old]
        self._unconfirmed_messages.pop(id, None)
        self._unconfirmed_messages[id] = UnconfirmedMessage(now, end, out)

    def on_write_buffer_flushed(self, now: float) -> None:
        """The kernel has taken all that was written."""
        for word in self._unconfirmed_messages.values():
            if not word.is_flushed:
                word.written_at_ms, word.is_flushed = now, True

    def forget_session(self, id: str) -> None:
        """A session is over: whether its answer was heard matters no more."""
        self._unconfirmed_messages.pop(id, None)

    def has_unconfirmed_messages(self, now: float) -> bool:
        return any(
            not one.is_flushed or self._is_recent(one, now) for one in self._unconfirmed_messages.values()
        )

    def _is_recent(self, word: UnconfirmedMessage, now: float) -> bool:
        return now - word.written_at_ms < DELIVERY_CONFIRMATION_MS
