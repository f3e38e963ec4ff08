"""Applies the results of entitlement checks: a session goes to the controller, is rejected, or is ended."""

from __future__ import annotations

from fernweir.front.session_attempts import SessionAttempts
from fernweir.front.session_context import SessionContext
from fernweir.front.session_endings import SessionEndings
from fernweir.front.session_record import SessionPhase
from fernweir.front.session_replies import SessionReplies
from fernweir.front.session_table import SessionTable
from fernweir.interface import Result


class SessionEntitlements:
    """Applies decisions on entitlements to sessions."""

    def __init__(
        self,
        context: SessionContext,
        table: SessionTable,
        replies: SessionReplies,
        endings: SessionEndings,
        attempts: SessionAttempts,
    ) -> None:
        self._context = context
        self._table = table
        self._replies = replies
        self._endings = endings
        self._attempts = attempts

    def on_decided(
        self, now: float, session_id: str, plays: bool, reason: str, retry_after_ms: float
    ) -> None:
        """Handles the end of a session's check; `plays` says whether the session may play."""
        record = self._table.by_id.get(session_id)
        if record is None:
            return
        if record.phase is SessionPhase.PLAYING and not plays:  # it was adopted, and its seat was denied
            self.revoke(now, session_id, reason)
            return
        if record.phase is not SessionPhase.AWAITING_ENTITLEMENT:
            return
        self._context.now = now
        if plays:
            self._attempts.submit_to_controller(now, record)
        else:
            self._replies.reject_waiting_viewers(record, reason, retry_after_ms)
            self._endings.remove_session(record, reason)

    def revoke(self, now: float, session_id: str, reason: str) -> None:
        """Ends a session that may no longer play, or rejects its requests if it does not play yet.

        An attempt in flight continues.
        """
        record = self._table.by_id.get(session_id)
        if record is None:
            return
        self._context.now = now
        if record.phase is SessionPhase.PLAYING:
            self._endings.release_at_server(record, reason, may_finish_segment=True)
            self._endings.end_session(record, Result.CANCELLED, reason)
            return
        self._replies.reject_waiting_viewers(record, reason, 0.0)
        if record.phase is not SessionPhase.IN_FLIGHT:
            self._endings.on_viewer_left(record, reason)
