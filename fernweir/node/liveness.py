"""Whether a media server that holds sessions still lives, from what passes on its connections. No I/O.

Servers tell sessions' fronts how full they are every so often (the settings' `Tell`), so a longer silence
is looked into by a new connection, which costs a server nothing. A refused one proves that the process is
gone; ones that never come up, with nothing heard on any other, that the machine is. A connection that broke
proves nothing: it is replaced.

Whatever the settings say of notes and of connecting, that proof is there in time: an end that no server could
tell has to be told within 8 s of it (PROTOCOL, The rules on sockets).
"""

from __future__ import annotations

from enum import Enum

from fernweir.interface import Result, Settings

_FAILED_CHECKS = 2  # a single packet can be lost
_DEFAULT_SILENCE_MS = 3_000.0  # where the settings name no notes
_DETECTION_TIME_MS = 7_500.0  # of the last word: the rest of the 8 s is the node's own, to tell the end
_MAX_CHECK_TIMEOUT_MS = (
    1_000.0  # what a look waits at most for its connection, however long a set-up's is waited for
)
CHECK_INTERVAL_MS = 250.0  # how often `look` is asked


def result_of_broken_attempt(is_alive: bool) -> Result:
    """How a set-up ended whose connection broke, or brought what can't be read, after it was written.

    To the module a reset says that the process is gone and what comes back is cold. A server that takes a
    new connection lives: it may have run the set-up and failed to say so, which is an error.
    """
    return Result.ERROR if is_alive else Result.RESET


class LivenessStatus(Enum):
    HEALTHY = "well"
    CHECK = "look"  # open a new connection
    UNREACHABLE = "lost"  # nothing gets through
    TERMINATED = "ended"  # its process is over


class LivenessMonitor:
    """One server."""

    def __init__(self, settings: Settings, connect_ms: float, now: float) -> None:
        report_interval_ms = (
            settings.report_interval_ms + settings.report_delay_ms
            if settings.report_interval_ms > 0.0
            else _DEFAULT_SILENCE_MS
        )
        self.check_timeout_ms = min(connect_ms, _MAX_CHECK_TIMEOUT_MS)
        # One more than it takes: the first may wait for a connection that was begun just before.
        checks_ms = (_FAILED_CHECKS + 1) * (self.check_timeout_ms + CHECK_INTERVAL_MS)
        self._silence_timeout_ms = min(
            report_interval_ms + settings.batch_period_ms, _DETECTION_TIME_MS - checks_ms
        )
        self._last_received_at = self._last_failure_at = now
        self._failed_checks = 0
        self._is_terminated = False  # its process is: that needs no silence as proof
        self._has_lost_connection = False  # a connection broke, and none has come up since
        self._last_check_at = -CHECK_INTERVAL_MS
        self.reason = ""  # what the last look found

    def on_data_received(self, now: float) -> None:
        """Bytes came, or a connection came up."""
        self._last_received_at, self._failed_checks, self._is_terminated = now, 0, False

    def on_connected(self, now: float) -> None:
        """A connection did: what was on its way on one that broke is said there."""
        self.on_data_received(now)
        self._has_lost_connection = False

    def on_connection_broken(self) -> None:
        """A connection broke: what was on its way on it comes on the next that opens, and only there."""
        self._has_lost_connection = True

    def on_connection_refused(self) -> None:
        self._is_terminated, self.reason = True, "connection refused"

    def on_connect_timeout(self, connect_started_at: float, now: float) -> None:
        """A connection never came up. Of those that were on their way at once, or that something was heard
        beside, the same few packets may be to blame: they are no further look."""
        self.reason, self._last_check_at = "no connection comes up", -CHECK_INTERVAL_MS
        if connect_started_at >= max(self._last_received_at, self._last_failure_at):
            self._failed_checks, self._last_failure_at = self._failed_checks + 1, now

    def check(
        self, now: float, has_sessions: bool, is_connected: bool, is_connecting: bool
    ) -> LivenessStatus:
        """What is to be done now. A look whose connection comes up and breaks is not made again at once: a
        server that breaks each would take all of the node's time."""
        if not has_sessions:  # silence towards those without sessions there says nothing
            self.on_connected(now)
            return LivenessStatus.HEALTHY
        is_speaking = is_connected and now - self._last_received_at < self._silence_timeout_ms
        if self._is_terminated:
            status = LivenessStatus.TERMINATED
        elif self._failed_checks >= _FAILED_CHECKS and not is_speaking:
            status = LivenessStatus.UNREACHABLE
        elif (
            is_connecting
            or (is_speaking and not self._has_lost_connection)
            or now - self._last_check_at < CHECK_INTERVAL_MS
        ):
            return LivenessStatus.HEALTHY
        else:
            self._last_check_at = now
            return LivenessStatus.CHECK
        self._failed_checks, self._is_terminated = 0, False  # told once
        return status
