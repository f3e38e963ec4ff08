"""The state machine of one connection to a media server. Pure: no I/O and no clock.

The connection and all its users share this state.
"""

from __future__ import annotations

from enum import IntEnum


class ConnectionPhase(IntEnum):
    """The phases of a connection, in order. A connection may skip phases."""

    CONNECTING = 0
    OPEN = 1
    DRAINING = 2  # accepts no new requests and finishes those in flight
    CLOSING = 3  # this side has closed; remaining input from the server is read
    CLOSED = 4


class ConnectionState:
    """The phase of a connection, which only moves forward.

    Each method changes the phase at most once. When two events race for the same transition, such as a
    connect timeout and an established connection, the first one makes it and the second one gets False.
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
            False if the connection was cancelled before. It must then be aborted, and nothing may be written.
        """
        if self.phase is not ConnectionPhase.CONNECTING:
            return False
        self.phase = ConnectionPhase.OPEN
        return True

    def drain(self) -> None:
        """Stops accepting new requests. Does nothing unless the connection is open."""
        if self.phase is ConnectionPhase.OPEN:
            self.phase = ConnectionPhase.DRAINING

    def begin_close(self) -> bool:
        """Records that this side is closing the connection.

        Returns:
            False if there is nothing to close: the connection is not established, or this side closed it
            before.
        """
        if not self.may_write:
            return False
        self.phase = ConnectionPhase.CLOSING
        return True

    def finish(self) -> bool:
        """Records that the connection ended.

        Returns:
            False if the end was recorded before.
        """
        was_closed = self.phase is ConnectionPhase.CLOSED
        self.phase = ConnectionPhase.CLOSED
        return not was_closed
