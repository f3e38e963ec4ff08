"""Where one connection of this node's own making stands: the one record of it, asked by all. No I/O."""

from __future__ import annotations

from enum import IntEnum


class ConnectionPhase(IntEnum):
    CONNECTING = 0
    OPEN = 1
    DRAINING = 2  # serves what is on it, takes nothing new
    CLOSING = 3  # this side has ended: what the other has under way is still read
    CLOSED = 4


class ConnectionState:
    """Goes onward only, so that each step is taken once, whoever comes first."""

    def __init__(self) -> None:
        self.phase = ConnectionPhase.CONNECTING

    @property
    def is_connecting(self) -> bool:
        return self.phase is ConnectionPhase.CONNECTING

    @property
    def may_write(self) -> bool:
        """Whether anything may be written."""
        return self.phase in (ConnectionPhase.OPEN, ConnectionPhase.DRAINING)

    @property
    def may_start_request(self) -> bool:
        """Whether something new may begin on it."""
        return self.phase is ConnectionPhase.OPEN

    def open(self) -> bool:
        """False if it was given up before: then it is let go, and nothing is written."""
        if self.phase is not ConnectionPhase.CONNECTING:
            return False
        self.phase = ConnectionPhase.OPEN
        return True

    def drain(self) -> None:
        if self.phase is ConnectionPhase.OPEN:
            self.phase = ConnectionPhase.DRAINING

    def begin_close(self) -> bool:
        if not self.may_write:
            return False
        self.phase = ConnectionPhase.CLOSING
        return True

    def finish(self) -> bool:
        """False if its end was known already."""
        known, self.phase = self.phase is ConnectionPhase.CLOSED, ConnectionPhase.CLOSED
        return not known
