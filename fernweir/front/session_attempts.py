"""The attempts and rungs of sessions, from the controller's decision to the server's response."""

from __future__ import annotations

from fernweir.controller import NEVER_RAN_RESULTS
from fernweir.front.commands import ChangeRung, SetUp, SetUpResult
from fernweir.front.session_context import SessionContext
from fernweir.front.session_endings import SessionEndings
from fernweir.front.session_journal import SessionJournal
from fernweir.front.session_record import SessionPhase, SessionRecord
from fernweir.front.session_replies import SessionReplies
from fernweir.front.session_table import SessionTable
from fernweir.interface import (
    RESULT_LABELS,
    Arrival,
    AttemptEnded,
    AttemptSucceeded,
    NoticeKind,
    Place,
    ServerNotice,
    Viewer,
)
from fernweir.journal.events import EventKind

_LINK_FIELD = "x0"
_REPORT_NOTICES = {_LINK_FIELD: NoticeKind.LINK, "x1": NoticeKind.UPLINK}


class SessionAttempts:
    """Submits sessions to the controller, sends attempts and rungs, and handles how attempts end."""

    def __init__(
        self,
        context: SessionContext,
        table: SessionTable,
        journal: SessionJournal,
        replies: SessionReplies,
        endings: SessionEndings,
    ) -> None:
        self._context = context
        self._table = table
        self._journal = journal
        self._replies = replies
        self._endings = endings

    def submit_to_controller(self, now: float, record: SessionRecord) -> None:
        """Submits a session to the controller for placement."""
        record.phase = SessionPhase.PENDING
        self._context.events.append(Arrival(self.describe_viewer(now, record)))

    def describe_viewer(self, now: float, record: SessionRecord) -> Viewer:
        """Returns the description of a session's viewer for the controller.

        The reply margin is subtracted twice: once because the reply ledger's deadline is earlier by one
        margin, and once for the delivery of the reply.
        """
        request = record.request
        margin_ms = 2.0 * self._context.limits.reply_margin_ms
        return Viewer(
            session=record.number,
            class_index=request.class_index,
            key=record.key,
            title=request.title,
            first_zone=request.first_zone,
            replicas=request.replicas,
            top_rung=request.top_rung,
            length_ms=None,
            remaining_ms=max(record.reply_deadline - now - margin_ms, 0.0),
            was_moved=record.was_moved,
            is_returning=request.is_returning if request.viewer_key else record.key != record.number,
        )

    def start_attempt(self, record: SessionRecord, action: Place) -> None:
        """Sends an attempt to the server that the controller has chosen."""
        context = self._context
        record.attempts += 1
        record.phase = SessionPhase.IN_FLIGHT
        record.server = action.server
        record.sent_rung = record.rung
        self._table.attach_to_server(record)
        context.metrics.set_ups += 1
        self._journal.record_attempt_started(record)
        if context.observer is not None:
            context.observer.on_attempt_started(context.now, record)
        context.commands.append(
            SetUp(record.request, record.attempt, action.server, record.rung, action.timeout_ms)
        )

    def on_attempt_succeeded(self, now: float, record: SessionRecord, outcome: SetUpResult) -> None:
        """Handles that a server accepted the session: waiting viewers are answered."""
        context = self._context
        record.phase = SessionPhase.PLAYING
        record.payload = outcome.payload
        record.last_result = None
        self._journal.record_attempt_succeeded(record, outcome)
        context.events.append(
            AttemptSucceeded(record.number, record.server, record.attempt, outcome.duration_ms)
        )
        self._report_loads(record, outcome.report)
        if record.rung != record.sent_rung:
            self.send_rung(record)
        tickets = self._table.take_tickets(record)
        record.half_closed_tickets.clear()
        for ticket in tickets:
            self._replies.send_playing(record, ticket)
        if not tickets:
            self._endings.expect_viewer_return(now, record)
        if context.observer is not None:
            context.observer.on_session_updated(now, record)

    def on_attempt_failed(self, record: SessionRecord, outcome: SetUpResult) -> None:
        """Releases the session at the server if the attempt may have run, and informs the controller."""
        context, attempt = self._context, record.attempt
        if outcome.result not in NEVER_RAN_RESULTS:
            record.may_have_run = True
            self._endings.release_at_server(record, f"set-up ended as {RESULT_LABELS[outcome.result]}")
        record.last_result = outcome.result
        record.phase = SessionPhase.PENDING
        self._journal.record_attempt_failed(record, outcome)
        self._table.detach_from_server(record)
        report = self.select_report(outcome.report)
        self._replies.answer_half_closed(record)
        is_final = not record.tickets
        if is_final:  # no viewer waits: the controller must not place the session again
            context.abandon(record)
            self._endings.remove_session(record, "nobody waited any more")
        context.events.append(
            AttemptEnded(
                record.number,
                record.server,
                attempt,
                outcome.result,
                is_final,
                outcome.duration_ms,
                report,
            )
        )

    def select_report(self, report: dict[str, float]) -> tuple[float, ...]:
        """Returns the values of a load report that the settings name, or nothing if one is missing."""
        names = self._context.settings.report_fields
        values = tuple(report[name] for name in names if name in report)
        return values if len(values) == len(names) else ()

    def set_rung(self, record: SessionRecord, rung: int) -> None:
        """Stores the rung that the controller wants, and sends it to the server of a session that plays."""
        record.rung = rung
        if record.phase is SessionPhase.PLAYING:
            self.send_rung(record)

    def send_rung(self, record: SessionRecord) -> None:
        """Sends the rung that the controller wants to the session's server."""
        context = self._context
        record.sent_rung = record.rung
        self._journal.record_session(EventKind.RUNG, record, rung=record.rung, reason="this front")
        if context.observer is not None:
            context.observer.on_session_updated(context.now, record)
        context.commands.append(
            ChangeRung(record.request.session_id, record.attempt, record.server, record.rung)
        )

    def on_rung_reported(self, now: float, record: SessionRecord, rung: int) -> None:
        """Handles that the server changed the rung of a session that plays."""
        context = self._context
        has_changed = record.rung != rung
        if has_changed:
            context.now = now
            self._journal.record_session(EventKind.RUNG, record, rung=rung, reason="its box")
        record.rung = record.sent_rung = rung
        if has_changed and context.observer is not None:
            context.observer.on_session_updated(now, record)

    def _report_loads(self, record: SessionRecord, report: dict[str, float]) -> None:
        """Passes the loads in a response to the controller, that of the link even if no setting names it."""
        context = self._context
        for name, kind in _REPORT_NOTICES.items():
            if name in report and (name == _LINK_FIELD or name in context.settings.report_fields):
                context.events.append(
                    ServerNotice(record.number, record.server, record.attempt, kind, report[name])
                )
