"""The state of one connection to a media server. Pure: no I/O and no clock.

The connection and everybody who uses it ask this one record.
"""

from __future__ import annotations

from enum import IntEnum


class ConnectionPhase(IntEnum):
    """The phases of a connection, in the order in which it goes through them. It may skip some."""

    CONNECTING = 0
    OPEN = 1
    DRAINING = 2  # accepts no new request and finishes those that it has
    CLOSING = 3  # this side has closed; what the server still sends is read
    CLOSED = 4


class ConnectionState:
    """The phase of a connection, which only moves forward.

    Each method that changes the phase does so once: where two events race for the same step, as a connect
    timeout and an established connection, the first one takes it and the second one is told so.
    """

    def __init__(self) -> None:
        self.phase = ConnectionPhase.CONNECTING

    @property
    def is_connecting(self) -> bool:
        """Whether the connection is not established yet."""
        return self.phase is ConnectionPhase.CONNECTING

    @property
    def may_write(self) -> bool:
        """Whether anything may be written."""
        return self.phase in (ConnectionPhase.OPEN, ConnectionPhase.DRAINING)

    @property
    def may_start_request(self) -> bool:
        """Whether a new request may be sent."""
        return self.phase is ConnectionPhase.OPEN

    def open(self) -> bool:
        """Records that the connection is established.

        Returns:
            False if it was cancelled before: nothing may be written then, and it has to be aborted.
        """
        if self.phase is not ConnectionPhase.CONNECTING:
            return False
        self.phase = ConnectionPhase.OPEN
        return True

    def drain(self) -> None:
        """Accepts no new requests from now on. Does nothing unless the connection is open."""
        if self.phase is ConnectionPhase.OPEN:
            self.phase = ConnectionPhase.DRAINING

    def begin_close(self) -> bool:
        """Records that this side closes.

        Returns:
            False if there is nothing to close: it isn't established, or this side closed before.
        """
        if not self.may_write:
            return False
        self.phase = ConnectionPhase.CLOSING
        return True

    def finish(self) -> bool:
        """Records that the connection ended.

        Returns:
            False if that was known already.
        """
        was_closed = self.phase is ConnectionPhase.CLOSED
        self.phase = ConnectionPhase.CLOSED
        return not was_closed
