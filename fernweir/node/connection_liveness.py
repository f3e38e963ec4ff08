"""Decides from the traffic on one connection whether the process at its other end runs. No clock, no I/O.

An address may lead to another server later, but a connection always leads to the process that accepted it.
So where the address of a server no longer identifies it, its connections are observed one by one.
"""

from __future__ import annotations

from fernweir.node.liveness import FAILED_CHECKS_TO_UNREACHABLE, LivenessStatus, LivenessTimeouts


class ConnectionLiveness:
    """Watches the other end of one connection. All times are monotonic, in milliseconds.

    Attributes:
        last_received_at: When data last arrived, or else when the connection was established.
    """

    def __init__(self, now: float) -> None:
        self.last_received_at = now
        self._sent_checks = 0
        self._last_check_at = now
        self._is_suspect = False

    def on_data_received(self, now: float) -> None:
        """Records a sign of life: the connection was established, or data or its end arrived on it."""
        self.last_received_at = now
        self._sent_checks = 0
        self._is_suspect = False

    def suspect(self) -> None:
        """Makes the next check due at once, as something else suggests that the process has ended."""
        self._is_suspect = True

    def check(self, now: float, evidence_at: float, timeouts: LivenessTimeouts) -> LivenessStatus:
        """Returns the status of the process, which is `CHECK` if a health check has to be sent to it.

        Args:
            now: The current time.
            evidence_at: When the process was last known to run; at least `last_received_at`.
            timeouts: The timeouts of the deployment.
        """
        if now - evidence_at < timeouts.silence_ms and not self._is_suspect:
            self._sent_checks = 0
            return LivenessStatus.HEALTHY
        if self._sent_checks and now - self._last_check_at < timeouts.check_ms:
            return LivenessStatus.HEALTHY
        if self._sent_checks >= FAILED_CHECKS_TO_UNREACHABLE:
            return LivenessStatus.UNREACHABLE
        self._sent_checks += 1
        self._last_check_at = now
        return LivenessStatus.CHECK
