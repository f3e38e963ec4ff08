"""Decides when a node that was asked to stop exits. No I/O, no clock.

According to the platform's protocol (planned restarts), requests arrive for at most 0.6 s after SIGTERM, and
SIGKILL follows no sooner than the longest deadline (limited to 3 s) plus 0.7 s. Established sessions continue
until just before that. A request that was accepted but is unanswered when the process exits by itself counts
as lost; one that is unanswered at SIGKILL does not, if it arrived in time. Therefore no request is left open
deliberately, and while a reply is unsent the node does not exit by itself but waits for SIGKILL.

All times are monotonic and in milliseconds.
"""

from __future__ import annotations

from fernweir.interface import Settings

_MAX_DEADLINE_MS = 3_000.0
_LATE_ARRIVAL_MS = 650.0
# A reply is at most half a second late; a client that has not read it by then no longer needs it.
_FINAL_CHECK_TIMEOUT_MS = 500.0


class GracefulShutdown:
    """The steps of one shutdown: it is requested once, sessions drain, then a final check follows.

    Attributes:
        drain_timeout_ms: How long sessions continue after the request.
    """

    def __init__(self, settings: Settings) -> None:
        longest_ms = max(session_class.deadline_ms for session_class in settings.classes)
        self.drain_timeout_ms = min(longest_ms, _MAX_DEADLINE_MS) + _LATE_ARRIVAL_MS
        self._is_draining = False
        self._final_check_at_ms = 0.0

    def start_draining(self) -> bool:
        """Starts the shutdown.

        Returns:
            False if it was started before.
        """
        is_first = not self._is_draining
        self._is_draining = True
        return is_first

    def start_final_check(self, now: float) -> None:
        """Records that the final check starts. All requests that were open have been abandoned."""
        self._final_check_at_ms = now

    def may_exit(self, now: float, has_new_input: bool, has_unsent_output: bool) -> bool:
        """Whether the process may exit.

        Args:
            now: Monotonic time in milliseconds.
            has_new_input: Whether this round of the check read something or accepted a connection.
            has_unsent_output: Whether a request has no reply, or the kernel has not accepted all output.
        """
        is_settled = not (has_new_input or has_unsent_output)
        return is_settled or now - self._final_check_at_ms >= _FINAL_CHECK_TIMEOUT_MS
