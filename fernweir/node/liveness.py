"""Decides from the traffic on its connections whether a media server is alive. Pure: no I/O and no clock.

Servers send load reports to the fronts of their sessions at regular intervals (the setting `Tell`). After a
longer silence the monitor requests a new connection, which costs a server nothing. If that is refused, the
server's process has ended. If several connects time out while nothing arrives on any other connection, its
machine is unreachable. A broken connection proves nothing and is replaced.

Detection is fast enough for any settings of report intervals and connect timeouts: if a server cannot
announce the end of a session, the node has to announce it within 8 s (PROTOCOL, The rules on sockets).
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from fernweir.interface import Result, Settings

CHECK_INTERVAL_MS = 250.0
"""How often `LivenessMonitor.check` is called."""

FAILED_CHECKS_TO_UNREACHABLE = 2
"""How many checks in a row have to fail; a single one may fail because of one lost packet."""

_DEFAULT_REPORT_INTERVAL_MS = 3_000.0  # used if the settings have no report interval
_DETECTION_TIME_MS = 7_500.0  # after the last bytes; the rest of the 8 s is needed to announce the end
_MAX_CHECK_TIMEOUT_MS = 1_000.0  # limits the connect of a check, but not that of an attempt


def result_of_broken_attempt(is_alive: bool) -> Result:
    """Returns the result of a set-up whose connection broke, or sent invalid data, after it was written.

    The controller takes a reset as the end of the server's process, after which the server has to warm up
    when it returns. A server that accepts a new connection is alive. It may have carried out the set-up
    without delivering the answer, which is reported as an error.

    Args:
        is_alive: Whether the server has accepted a new connection since.
    """
    return Result.ERROR if is_alive else Result.RESET


class LivenessStatus(Enum):
    """The outcome of a liveness check."""

    HEALTHY = "well"
    CHECK = "look"  # open a new connection
    UNREACHABLE = "lost"  # connections can no longer be established
    TERMINATED = "ended"  # the server's process ended


@dataclass(frozen=True, slots=True)
class LivenessTimeouts:
    """When silence is significant, and how long checks take, in milliseconds.

    Attributes:
        silence_ms: How long a server with sessions may send nothing before it is checked.
        check_ms: How long one check may take.
        has_reports: Whether servers send reports by themselves, so that silence says something.
    """

    silence_ms: float
    check_ms: float
    has_reports: bool

    @classmethod
    def from_settings(cls, settings: Settings, connect_timeout_ms: float) -> LivenessTimeouts:
        """Returns the timeouts of a deployment."""
        has_reports = settings.report_interval_ms > 0.0
        report_interval_ms = _DEFAULT_REPORT_INTERVAL_MS
        if has_reports:
            report_interval_ms = settings.report_interval_ms + settings.report_delay_ms
        check_ms = min(connect_timeout_ms, _MAX_CHECK_TIMEOUT_MS)
        # One check more than required, since the first may wait for a connect that started just before.
        check_count = FAILED_CHECKS_TO_UNREACHABLE + 1
        checks_ms = check_count * (check_ms + CHECK_INTERVAL_MS)
        silence_ms = min(report_interval_ms + settings.batch_period_ms, _DETECTION_TIME_MS - checks_ms)
        return cls(silence_ms, check_ms, has_reports)

    @property
    def detection_ms(self) -> float:
        """How long after the last data a server is known to be lost."""
        return self.silence_ms + FAILED_CHECKS_TO_UNREACHABLE * (self.check_ms + CHECK_INTERVAL_MS)


class LivenessMonitor:
    """Watches one media server at the address that the list gives it. Times are monotonic, in milliseconds.

    Attributes:
        timeouts: The timeouts of the deployment.
        has_lost_connection: Whether a connection broke and none was established since.
        reason: Why the server was last found unreachable or terminated, for the log.
    """

    def __init__(self, timeouts: LivenessTimeouts, now: float) -> None:
        self.timeouts = timeouts
        self._last_received_at = self._last_failure_at = now
        self._failed_checks = 0
        self._is_terminated = False  # proven by a refused connection, regardless of earlier data
        self.has_lost_connection = False
        self._last_check_at = -CHECK_INTERVAL_MS
        self.reason = ""

    def on_data_received(self, now: float) -> None:
        """Records a sign of life: bytes arrived, or a connection was established."""
        self._last_received_at = now
        self._failed_checks = 0
        self._is_terminated = False

    def on_connected(self, now: float) -> None:
        """Records an established connection, on which the server repeats messages that may be lost."""
        self.on_data_received(now)
        self.has_lost_connection = False

    def on_connection_broken(self) -> None:
        """Records that messages may be lost, which the server repeats only on its next connection."""
        self.has_lost_connection = True

    def on_connection_refused(self) -> None:
        """Records that a connection was refused, which proves that the server's process has ended."""
        self._is_terminated = True
        self.reason = "connection refused"

    def on_connect_timeout(self, connect_started_at: float, now: float) -> None:
        """Records a connection that was not established in time.

        Of several concurrent connects only one counts as a failed check, because the same few lost packets
        may have caused all of them to fail. A connect that started before the last bytes arrived does not
        count.
        """
        self.reason = "no connection established in time"
        self._last_check_at = -CHECK_INTERVAL_MS
        if connect_started_at >= max(self._last_received_at, self._last_failure_at):
            self._failed_checks += 1
            self._last_failure_at = now

    def check(
        self, now: float, has_sessions: bool, is_connected: bool, is_connecting: bool
    ) -> LivenessStatus:
        """Returns the status of the server, which is `CHECK` if a new connection is needed.

        `UNREACHABLE` and `TERMINATED` are returned once for each proof. A check whose connection was
        established and then broke is not repeated before the next interval. Otherwise a server that breaks
        every connection could use up the node's time.

        Args:
            now: Monotonic time in milliseconds.
            has_sessions: Whether the server carries sessions, or releases wait for it. If neither is the
                case, its silence is not significant.
            is_connected: Whether a connection is established.
            is_connecting: Whether a connect is in progress that started within the timeout of a check.
        """
        if not has_sessions:
            self.on_connected(now)
            return LivenessStatus.HEALTHY
        is_receiving = is_connected and now - self._last_received_at < self.timeouts.silence_ms
        if self._is_terminated:
            return self._report_once(LivenessStatus.TERMINATED)
        if self._failed_checks >= FAILED_CHECKS_TO_UNREACHABLE and not is_receiving:
            return self._report_once(LivenessStatus.UNREACHABLE)
        if is_connecting or (is_receiving and not self.has_lost_connection):
            return LivenessStatus.HEALTHY
        if now - self._last_check_at < CHECK_INTERVAL_MS:
            return LivenessStatus.HEALTHY
        self._last_check_at = now
        return LivenessStatus.CHECK

    def _report_once(self, status: LivenessStatus) -> LivenessStatus:
        self._failed_checks = 0
        self._is_terminated = False
        return status
