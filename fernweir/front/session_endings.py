"""Ends sessions: releases them at their servers, reports their end, and removes them from the table."""

from __future__ import annotations

import heapq

from fernweir.front.commands import EntitlementReleased, ReleaseSession, SessionOver
from fernweir.front.session_context import SessionContext
from fernweir.front.session_journal import SessionJournal
from fernweir.front.session_record import SessionPhase, SessionRecord
from fernweir.front.session_table import SessionTable
from fernweir.interface import AttemptEnded, Result
from fernweir.journal.events import EventKind


class SessionEndings:
    """Ends sessions, and owns the deadlines by which viewers must return to sessions without viewers."""

    def __init__(self, context: SessionContext, table: SessionTable, journal: SessionJournal) -> None:
        self._context = context
        self._table = table
        self._journal = journal
        self._unclaimed_deadlines: list[tuple[float, str, int]] = []

    def release_at_server(
        self, record: SessionRecord, reason: str, *, may_finish_segment: bool = False
    ) -> None:
        """Sends a server the release of a session that is no longer wanted there."""
        self._context.metrics.released += 1
        command = ReleaseSession(
            record.request.session_id, record.attempt, record.server, reason, may_finish_segment
        )
        self._context.commands.append(command)

    def end_session(
        self,
        record: SessionRecord,
        result: Result,
        reason: str,
        *,
        is_moved: bool = False,
        is_ended_by_viewer: bool = False,
    ) -> None:
        """Ends a session that played, and reports that it is over."""
        self._context.commands.append(
            SessionOver(record.request, result, reason, is_moved, is_ended_by_viewer)
        )
        self.close_session(record, result, reason, is_moved=is_moved)

    def close_session(
        self,
        record: SessionRecord,
        result: Result,
        reason: str,
        *,
        is_moved: bool = False,
        is_handed_over: bool = False,
    ) -> None:
        """Ends a session at a server for the controller, and removes its record."""
        self._context.events.append(
            AttemptEnded(record.number, record.server, record.attempt, result, True, 0.0, ())
        )
        self._table.detach_from_server(record)
        self.remove_session(record, reason, is_moved=is_moved, is_handed_over=is_handed_over)

    def remove_session(
        self, record: SessionRecord, reason: str, *, is_moved: bool = False, is_handed_over: bool = False
    ) -> None:
        """Removes the record of a session that ended, and releases its entitlement."""
        context = self._context
        self._journal.record_session(EventKind.ENDED, record, reason=reason)
        if context.observer is not None:
            context.observer.on_session_closed(context.now, record, reason)
        self._table.remove(record)
        if context.checks_entitlement:
            context.commands.append(EntitlementReleased(record.request.session_id, is_handed_over))
        self._table.remember_viewer(
            record, is_moved=is_moved, max_viewers=context.limits.max_remembered_viewers
        )

    def on_viewer_left(self, record: SessionRecord, reason: str) -> None:
        """Handles that a request no longer waits for its session.

        If no request is left, a session that is not at a server is removed. An attempt in flight continues,
        except where viewers do not return to their sessions: there it is released.
        """
        if record.tickets:
            return
        context = self._context
        if record.phase is SessionPhase.AWAITING_ENTITLEMENT:
            self.remove_session(record, reason)
        elif record.phase is SessionPhase.PENDING:
            context.abandon(record)
            self.remove_session(record, reason)
        elif record.phase is SessionPhase.IN_FLIGHT and context.limits.unclaimed_session_ttl_ms <= 0.0:
            context.abandon(record)
            self.release_at_server(record, reason)
            self.close_session(record, Result.CANCELLED, reason)

    def expect_viewer_return(self, now: float, record: SessionRecord) -> None:
        """Starts the time within which a viewer must return to a session that plays without viewers."""
        deadline = now + self._context.limits.unclaimed_session_ttl_ms
        heapq.heappush(self._unclaimed_deadlines, (deadline, record.request.session_id, record.number))

    def next_unclaimed_deadline(self) -> float | None:
        """Returns when the next unclaimed session may have to end, in milliseconds."""
        return self._unclaimed_deadlines[0][0] if self._unclaimed_deadlines else None

    def end_unclaimed_sessions(self, now: float) -> None:
        """Ends the sessions whose viewers have not returned in time."""
        while self._unclaimed_deadlines and self._unclaimed_deadlines[0][0] <= now:
            _, session_id, number = heapq.heappop(self._unclaimed_deadlines)
            record = self._table.by_id.get(session_id)
            if record is not None and record.number == number and not record.informed_viewers:
                self.release_at_server(record, "its viewer did not come back")
                self.end_session(record, Result.CANCELLED, "its viewer did not come back")
