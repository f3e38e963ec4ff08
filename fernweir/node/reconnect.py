"""When a node asks its control feed: one opening or one pause at a time, decided here alone. No I/O.

Each opening has a number, and only the newest counts. What a connection says of itself, in whatever order
and however late, is measured by that number, so an opening is over exactly once. `now` comes in, in seconds.
"""

from __future__ import annotations

from enum import Enum, auto
from random import Random

CONNECT_TIMEOUT_S = 1.0
IDLE_TIMEOUT_S = 1.8  # the feed says its last number each second (PROTOCOL, The control feed)
STABLE_AFTER_S = 1.0  # a connection that is still of use after this long was no failure
INITIAL_BACKOFF_S, MAX_BACKOFF_S = 0.05, 0.8  # each drawn from half of it to half as much again


class ReconnectPhase(Enum):
    IDLE = auto()  # before the start, and after the stop
    CONNECTING = auto()
    CONNECTED = auto()
    BACKING_OFF = auto()


class ReconnectPolicy:
    """What is being done to hear the feed. `due` is when `late` has to be asked, if nothing comes before."""

    def __init__(self, seed: int) -> None:
        self.phase, self.connection_number = ReconnectPhase.IDLE, 0
        self.deadline: float | None = None
        self._rng = Random(seed)
        self._failed_connects = 0  # openings in a row that were of no use
        self._connected_at = 0.0
        self._is_stopped = False

    def begin_connection(self, now: float) -> int | None:
        """The number of a new opening, which takes the place of any other. None after the stop."""
        if self._is_stopped:
            return None
        self.connection_number += 1
        self.phase, self.deadline = ReconnectPhase.CONNECTING, now + CONNECT_TIMEOUT_S
        return self.connection_number

    def on_connected(self, connection_number: int, now: float) -> bool:
        """The connection is made. False: its opening was left, so it must ask nothing and close."""
        if connection_number != self.connection_number or self.phase is not ReconnectPhase.CONNECTING:
            return False
        self.phase, self.deadline, self._connected_at = ReconnectPhase.CONNECTED, now + IDLE_TIMEOUT_S, now
        return True

    def is_current(self, connection_number: int) -> bool:
        """Whether what is said on the connection of this opening is heard."""
        return connection_number == self.connection_number and self.phase is ReconnectPhase.CONNECTED

    def on_data_received(self, now: float, applied_event: bool) -> None:
        """The feed is alive; `told` if an event was taken from it.

        The last number alone comes from a feed whose next event is of no use, too: it doesn't shorten the
        pause before the connection has stood for a while.
        """
        self.deadline = now + IDLE_TIMEOUT_S
        if applied_event or now - self._connected_at >= STABLE_AFTER_S:
            self._failed_connects = 0

    def on_connection_ended(self, connection_number: int, now: float) -> bool:
        """An opening came to its end, for whatever reason. False: it was over, or left, before."""
        if connection_number != self.connection_number or self.phase not in (
            ReconnectPhase.CONNECTING,
            ReconnectPhase.CONNECTED,
        ):
            return False
        backoff_s = min(INITIAL_BACKOFF_S * 2.0**self._failed_connects, MAX_BACKOFF_S) * (
            0.5 + self._rng.random()
        )
        self._failed_connects = min(self._failed_connects + 1, 16)  # far beyond the longest pause
        self.phase, self.deadline = ReconnectPhase.BACKING_OFF, now + backoff_s
        return True

    def timeout_reason(self) -> str | None:
        """Why the opening whose time is up is no good; None if it is a pause that is over: time to ask."""
        return {ReconnectPhase.CONNECTING: "no connection in time", ReconnectPhase.CONNECTED: "silent"}.get(
            self.phase
        )

    def on_address_changed(self) -> bool:
        """The feed is elsewhere. False if it isn't to be asked now: before the start, after the stop."""
        self._failed_connects = 0
        return self.phase is not ReconnectPhase.IDLE

    def stop(self) -> None:
        self.phase, self.deadline, self._is_stopped = ReconnectPhase.IDLE, None, True
