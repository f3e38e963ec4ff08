"""Decides when a node connects to its control feed: one connection or one backoff at a time. No I/O.

Each connection has a number, and only the newest one is current. Events of older connections are recognised
by their number, in whatever order and however late they arrive, so each connection ends exactly once. All
times are monotonic and in seconds.
"""

from __future__ import annotations

from enum import Enum, auto
from random import Random

CONNECT_TIMEOUT_S = 1.0
# The feed sends its last sequence number once a second (PROTOCOL, The control feed).
IDLE_TIMEOUT_S = 1.8
# A connection that lasted longer than this does not count as failed, whatever it delivered.
STABLE_AFTER_S = 1.0
# Each backoff is multiplied by a random factor from 0.5 to 1.5.
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.8
_MAX_BACKOFF_EXPONENT = 16  # far beyond the longest backoff; limits the exponentiation


class ReconnectPhase(Enum):
    """The phases of the connection to the feed."""

    IDLE = auto()  # before the first connection, and after `stop`
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
        phase: The current phase.
        connection_number: The number of the newest connection; 0 before the first one.
        deadline: When to call `timeout_reason`, if no event is reported before. None if there is no timer.
    """

    def __init__(self, seed: int) -> None:
        self.phase = ReconnectPhase.IDLE
        self.connection_number = 0
        self.deadline: float | None = None
        self._rng = Random(seed)
        self._failed_connects = 0  # consecutive connections that delivered nothing of use
        self._connected_at = 0.0
        self._is_stopped = False

    def begin_connection(self, now: float) -> int | None:
        """Replaces the current connection or backoff with a new connection.

        Returns:
            The number of the connection to open, or None after `stop`.
        """
        if self._is_stopped:
            return None
        self.connection_number += 1
        self.phase = ReconnectPhase.CONNECTING
        self.deadline = now + CONNECT_TIMEOUT_S
        return self.connection_number

    def on_connected(self, connection_number: int, now: float) -> bool:
        """Records that a connection was established.

        Returns:
            Whether it is the current connection. If not, it must not subscribe and has to be closed.
        """
        if connection_number != self.connection_number or self.phase is not ReconnectPhase.CONNECTING:
            return False
        self.phase = ReconnectPhase.CONNECTED
        self.deadline = now + IDLE_TIMEOUT_S
        self._connected_at = now
        return True

    def is_current(self, connection_number: int) -> bool:
        """Returns whether data received on this connection may be used."""
        return connection_number == self.connection_number and self.phase is ReconnectPhase.CONNECTED

    def on_data_received(self, now: float, applied_event: bool) -> None:
        """Records that the feed is alive and restarts its idle timeout.

        Args:
            now: Monotonic time in seconds.
            applied_event: Whether an event was applied. A feed whose next event cannot be used still sends
                sequence numbers, so they alone do not reset the backoff of a connection that is not stable.
        """
        self.deadline = now + IDLE_TIMEOUT_S
        is_stable = now - self._connected_at >= STABLE_AFTER_S
        if applied_event or is_stable:
            self._failed_connects = 0

    def on_connection_ended(self, connection_number: int, now: float) -> bool:
        """Records that a connection failed or ended for any reason, and starts the backoff.

        Returns:
            Whether it was the current connection. False if it had ended or had been replaced before.
        """
        is_open = self.phase in (ReconnectPhase.CONNECTING, ReconnectPhase.CONNECTED)
        if connection_number != self.connection_number or not is_open:
            return False
        if self.phase is ReconnectPhase.CONNECTED and now - self._connected_at >= STABLE_AFTER_S:
            # The feed can be reached. A node receives no drain events during a backoff, and a long backoff
            # may exceed the grace period of a drain. So a feed that is silent between events must not
            # increase the backoff.
            self._failed_connects = 0
        backoff_s = min(INITIAL_BACKOFF_S * 2.0**self._failed_connects, MAX_BACKOFF_S)
        random_factor = 0.5 + self._rng.random()
        self._failed_connects = min(self._failed_connects + 1, _MAX_BACKOFF_EXPONENT)
        self.phase = ReconnectPhase.BACKING_OFF
        self.deadline = now + backoff_s * random_factor
        return True

    def timeout_reason(self) -> str | None:
        """Returns why the connection timed out at its deadline, or None if a backoff is over."""
        return _TIMEOUT_REASONS.get(self.phase)

    def on_address_changed(self) -> bool:
        """Records that the feed has another address, and resets the backoff.

        Returns:
            Whether to connect there now. False before the first connection and after `stop`.
        """
        self._failed_connects = 0
        return self.phase is not ReconnectPhase.IDLE

    def stop(self) -> None:
        """Ends the current connection or backoff; no other one is started after this."""
        self.phase = ReconnectPhase.IDLE
        self.deadline = None
        self._is_stopped = True
