"""Decides from the traffic on its connections whether a media server still lives. Pure: no I/O and no clock.

Servers send load reports to the fronts of their sessions at intervals (the setting `Tell`). After a longer
silence the monitor asks for a new connection, which costs a server nothing. If that is refused, the server's
process is gone; if several connects time out while nothing arrives on any other connection, its machine is.
A connection that broke proves nothing and is replaced.

The proof is there in time whatever the settings say of reports and connect timeouts: the end of a session
that no server could announce has to be announced within 8 s (PROTOCOL, The rules on sockets).
"""

from __future__ import annotations

from enum import Enum

from fernweir.interface import Result, Settings

CHECK_INTERVAL_MS = 250.0
"""How often `LivenessMonitor.check` is called."""

_FAILED_CHECKS_TO_UNREACHABLE = 2  # a single packet can be lost
_DEFAULT_REPORT_INTERVAL_MS = 3_000.0  # where the settings name no load reports
_DETECTION_TIME_MS = 7_500.0  # since the last bytes; the node needs the rest of the 8 s to announce the end
_MAX_CHECK_TIMEOUT_MS = 1_000.0  # for the connect of a check, however long an attempt waits for its own


def result_of_broken_attempt(is_alive: bool) -> Result:
    """Returns the result of a set-up whose connection broke, or became unreadable, after it was written.

    For the controller a reset means that the process is gone and the server warms up when it returns. A
    server that accepts a new connection lives: it may have carried out the set-up and failed to say so, which
    is an error.

    Args:
        is_alive: Whether the server accepted a new connection since.
    """
    return Result.ERROR if is_alive else Result.RESET


class LivenessStatus(Enum):
    """What a check found."""

    HEALTHY = "well"
    CHECK = "look"  # open a new connection
    UNREACHABLE = "lost"  # no connection is established any more
    TERMINATED = "ended"  # the server's process ended


class LivenessMonitor:
    """Watches one media server. All times are monotonic, in milliseconds.

    Attributes:
        check_timeout_ms: How long the connect of a check may take.
        reason: Why the server was last found unreachable or terminated, for the log.
    """

    def __init__(self, settings: Settings, connect_timeout_ms: float, now: float) -> None:
        report_interval_ms = _DEFAULT_REPORT_INTERVAL_MS
        if settings.report_interval_ms > 0.0:
            report_interval_ms = settings.report_interval_ms + settings.report_delay_ms
        self.check_timeout_ms = min(connect_timeout_ms, _MAX_CHECK_TIMEOUT_MS)
        # One check more than is needed: the first may wait for a connect that started just before.
        check_count = _FAILED_CHECKS_TO_UNREACHABLE + 1
        checks_ms = check_count * (self.check_timeout_ms + CHECK_INTERVAL_MS)
        self._silence_timeout_ms = min(
            report_interval_ms + settings.batch_period_ms, _DETECTION_TIME_MS - checks_ms
        )
        self._last_received_at = self._last_failure_at = now
        self._failed_checks = 0
        self._is_terminated = False  # proven by a refused connection, whatever arrived before
        self._has_lost_connection = False  # one broke, and none was established since
        self._last_check_at = -CHECK_INTERVAL_MS
        self.reason = ""

    def on_data_received(self, now: float) -> None:
        """Records that the server lives: bytes arrived, or a connection was established."""
        self._last_received_at = now
        self._failed_checks = 0
        self._is_terminated = False

    def on_connected(self, now: float) -> None:
        """Records an established connection, on which the server repeats what a broken one may have lost."""
        self.on_data_received(now)
        self._has_lost_connection = False

    def on_connection_broken(self) -> None:
        """Records that messages may have been lost, which the server repeats on its next connection only."""
        self._has_lost_connection = True

    def on_connection_refused(self) -> None:
        """Records the proof that the server's process ended."""
        self._is_terminated = True
        self.reason = "connection refused"

    def on_connect_timeout(self, connect_started_at: float, now: float) -> None:
        """Records a connection that was not established in time.

        Of several connects at the same time only one counts as a failed check, and one that started before
        the last bytes arrived does not count: the same few lost packets may have caused them all.
        """
        self.reason = "no connection comes up"
        self._last_check_at = -CHECK_INTERVAL_MS
        if connect_started_at >= max(self._last_received_at, self._last_failure_at):
            self._failed_checks += 1
            self._last_failure_at = now

    def check(
        self, now: float, has_sessions: bool, is_connected: bool, is_connecting: bool
    ) -> LivenessStatus:
        """Returns what the server's state is, and asks for a new connection where that is needed.

        `UNREACHABLE` and `TERMINATED` are returned once for each proof. A check whose connection was
        established and broke is not repeated before the next interval: a server that breaks each connection
        would otherwise take all of the node's time.

        Args:
            now: Monotonic time in milliseconds.
            has_sessions: Whether the server carries sessions, or releases wait for it. The silence of one
                without either means nothing.
            is_connected: Whether a connection is established.
            is_connecting: Whether a connect is under way that started within `check_timeout_ms`.
        """
        if not has_sessions:
            self.on_connected(now)
            return LivenessStatus.HEALTHY
        is_receiving = is_connected and now - self._last_received_at < self._silence_timeout_ms
        if self._is_terminated:
            return self._report_once(LivenessStatus.TERMINATED)
        if self._failed_checks >= _FAILED_CHECKS_TO_UNREACHABLE and not is_receiving:
            return self._report_once(LivenessStatus.UNREACHABLE)
        if is_connecting or (is_receiving and not self._has_lost_connection):
            return LivenessStatus.HEALTHY
        if now - self._last_check_at < CHECK_INTERVAL_MS:
            return LivenessStatus.HEALTHY
        self._last_check_at = now
        return LivenessStatus.CHECK

    def _report_once(self, status: LivenessStatus) -> LivenessStatus:
        self._failed_checks = 0
        self._is_terminated = False
        return status
