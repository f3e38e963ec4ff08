"""When a node connects to its control feed: at most one connection or one backoff at a time. No I/O.

Each connection has a number, and only the newest one counts. Reports of older connections, in whatever order
and however late they arrive, are recognised by their number, so a connection ends exactly once. All times are
monotonic and in seconds.
"""

from __future__ import annotations

from enum import Enum, auto
from random import Random

CONNECT_TIMEOUT_S = 1.0
# The feed sends its last sequence number once a second (PROTOCOL, The control feed).
IDLE_TIMEOUT_S = 1.8
# A connection that lasted longer than this is no failure, whatever it brought.
STABLE_AFTER_S = 1.0
# Each backoff is multiplied by a random factor from 0.5 to 1.5.
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.8
_MAX_BACKOFF_EXPONENT = 16  # far beyond the longest backoff; keeps the power small


class ReconnectPhase(Enum):
    """What is under way."""

    IDLE = auto()  # before the first connection, and after the stop
    CONNECTING = auto()
    CONNECTED = auto()
    BACKING_OFF = auto()


_TIMEOUT_REASONS = {
    ReconnectPhase.CONNECTING: "no connection in time",
    ReconnectPhase.CONNECTED: "silent",
}


class ReconnectPolicy:
    """Decides when to connect, when a connection has timed out, and how long to back off.

    Args:
        seed: Seeds the random factor of the backoff.

    Attributes:
        phase: What is under way.
        connection_number: Number of the newest connection; 0 before the first.
        deadline: When to ask for `timeout_reason`, if nothing is reported before. None if there is no timer.
    """

    def __init__(self, seed: int) -> None:
        self.phase = ReconnectPhase.IDLE
        self.connection_number = 0
        self.deadline: float | None = None
        self._rng = Random(seed)
        self._failed_connects = 0  # connections in a row that brought nothing
        self._connected_at = 0.0
        self._is_stopped = False

    def begin_connection(self, now: float) -> int | None:
        """Replaces whatever is under way by a new connection.

        Returns:
            The number of the connection to open; None after the stop.
        """
        if self._is_stopped:
            return None
        self.connection_number += 1
        self.phase = ReconnectPhase.CONNECTING
        self.deadline = now + CONNECT_TIMEOUT_S
        return self.connection_number

    def on_connected(self, connection_number: int, now: float) -> bool:
        """A connection was made.

        Returns:
            Whether it is still wanted. If not, it must not subscribe and has to be closed.
        """
        if connection_number != self.connection_number or self.phase is not ReconnectPhase.CONNECTING:
            return False
        self.phase = ReconnectPhase.CONNECTED
        self.deadline = now + IDLE_TIMEOUT_S
        self._connected_at = now
        return True

    def is_current(self, connection_number: int) -> bool:
        """Whether data of this connection may be used."""
        return connection_number == self.connection_number and self.phase is ReconnectPhase.CONNECTED

    def on_data_received(self, now: float, applied_event: bool) -> None:
        """Records that the feed is alive and restarts its idle timeout.

        Args:
            now: Monotonic time in seconds.
            applied_event: Whether an event was applied. A sequence number alone also arrives from a feed
                whose next event cannot be used, so it does not reset the backoff of a young connection.
        """
        self.deadline = now + IDLE_TIMEOUT_S
        is_stable = now - self._connected_at >= STABLE_AFTER_S
        if applied_event or is_stable:
            self._failed_connects = 0

    def on_connection_ended(self, connection_number: int, now: float) -> bool:
        """A connection failed or ended, for whatever reason; starts the backoff.

        Returns:
            Whether it was the current one. False if it had ended or had been replaced before.
        """
        is_open = self.phase in (ReconnectPhase.CONNECTING, ReconnectPhase.CONNECTED)
        if connection_number != self.connection_number or not is_open:
            return False
        if self.phase is ReconnectPhase.CONNECTED and now - self._connected_at >= STABLE_AFTER_S:
            # The feed can be reached. While a node backs off it learns of no drain, and a grown backoff may
            # be longer than the grace after one: a feed that is silent between events must not make it grow.
            self._failed_connects = 0
        backoff_s = min(INITIAL_BACKOFF_S * 2.0**self._failed_connects, MAX_BACKOFF_S)
        random_factor = 0.5 + self._rng.random()
        self._failed_connects = min(self._failed_connects + 1, _MAX_BACKOFF_EXPONENT)
        self.phase = ReconnectPhase.BACKING_OFF
        self.deadline = now + backoff_s * random_factor
        return True

    def timeout_reason(self) -> str | None:
        """Why the connection whose deadline has passed failed; None if a backoff is over: time to connect."""
        return _TIMEOUT_REASONS.get(self.phase)

    def on_address_changed(self) -> bool:
        """The feed is at another address.

        Returns:
            Whether to connect there now. False before the first connection and after the stop.
        """
        self._failed_connects = 0
        return self.phase is not ReconnectPhase.IDLE

    def stop(self) -> None:
        """Ends whatever is under way; nothing is begun after this."""
        self.phase = ReconnectPhase.IDLE
        self.deadline = None
        self._is_stopped = True
