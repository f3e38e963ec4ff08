"""Requests for sessions, from their arrival until they are answered or their clients have disconnected."""

from __future__ import annotations

from collections.abc import Callable

from fernweir.front.commands import CheckEntitlement, SessionReply, SessionRequest
from fernweir.front.server_states import ServerStates
from fernweir.front.session_attempts import SessionAttempts
from fernweir.front.session_context import SessionContext
from fernweir.front.session_endings import SessionEndings
from fernweir.front.session_journal import SessionJournal
from fernweir.front.session_record import SessionPhase, SessionRecord
from fernweir.front.session_replies import SessionReplies
from fernweir.front.session_table import SessionTable
from fernweir.interface import Result
from fernweir.journal.events import EventKind

_VIEWER_LEFT = "its viewer left"
_STOPPING = "front is stopping"

RejectionReason = Callable[[SessionRequest], str]
"""Returns why a new session may not begin; an empty text if it may."""


class SessionRequests:
    """Admits requests, handles clients that leave, and owns the state that blocks new sessions.

    Attributes:
        is_closing: Whether the front is stopping and begins no session.
        new_sessions_blocked: Why no new session may begin and the Retry-After in milliseconds; None if they
            may.
    """

    def __init__(  # noqa: PLR0913 - the parts of one session manager, wired once
        self,
        context: SessionContext,
        table: SessionTable,
        journal: SessionJournal,
        servers: ServerStates,
        replies: SessionReplies,
        endings: SessionEndings,
        attempts: SessionAttempts,
        rejection_reason: RejectionReason | None,
    ) -> None:
        self.is_closing = False
        self.new_sessions_blocked: tuple[str, float] | None = None
        self._context = context
        self._table = table
        self._journal = journal
        self._servers = servers
        self._replies = replies
        self._endings = endings
        self._attempts = attempts
        self._rejection_reason = rejection_reason

    def on_request(self, now: float, request: SessionRequest) -> None:
        """Opens the ticket of a request, and answers it or assigns it to a session."""
        self._replies.open(now, request)
        record = self._table.by_id.get(request.session_id)
        if record is None:
            self._admit(now, request)
        elif _is_conflict(record.request, request):
            self._replies.reject_conflict(request)
        elif record.phase is not SessionPhase.PLAYING:
            self._context.metrics.joined += 1
            self._table.add_ticket(record, request.ticket)
        elif record.server in self._servers.silent or not record.is_answerable:
            self._replace_session(now, record, request)
        else:
            self._context.metrics.joined += 1
            self._replies.send_playing(record, request.ticket)

    def withdraw(self, ticket: int) -> None:
        """Handles that the client of a request disconnected."""
        record = self._table.by_ticket.pop(ticket, None)
        if self._replies.ledger.withdraw(ticket) and record is not None:
            record.tickets.remove(ticket)
            self._endings.on_viewer_left(record, _VIEWER_LEFT)

    def on_client_half_closed(self, now: float, ticket: int) -> None:
        """Handles that the client of a request closed its sending side; see `SessionManager`."""
        record = self._table.by_ticket.get(ticket)
        if record is None:
            return
        self._context.now = now
        record.half_closed_tickets.add(ticket)
        if record.phase is not SessionPhase.IN_FLIGHT:
            self._replies.answer_half_closed(record)
            self._endings.on_viewer_left(record, _VIEWER_LEFT)

    def on_reply_undelivered(self, now: float, reply: SessionReply) -> None:
        """Handles that a reply that a session plays could not be written."""
        if reply.request is None:
            return
        record = self._table.find_attempt(reply.request.session_id, reply.attempt, SessionPhase.PLAYING)
        if record is None:
            return
        self._context.now = now
        record.informed_viewers -= 1
        if record.informed_viewers:
            return
        if self._context.limits.unclaimed_session_ttl_ms > 0.0:
            self._endings.expect_viewer_return(now, record)
        else:
            self._endings.release_at_server(record, _VIEWER_LEFT)
            self._endings.close_session(record, Result.CANCELLED, _VIEWER_LEFT)

    def abandon_all(self) -> None:
        """Answers all waiting requests, and releases attempts in flight if viewers do not return to them."""
        for record in [record for record in self._table.by_id.values() if record.tickets]:
            record.half_closed_tickets.update(record.tickets)
            self._replies.answer_half_closed(record, _STOPPING)
            self._endings.on_viewer_left(record, _STOPPING)

    def fail_overdue(self, now: float) -> None:
        """Answers the requests whose deadlines have passed."""
        for ticket in self._replies.ledger.overdue(now):
            record = self._table.by_ticket.pop(ticket, None)
            self._replies.fail_overdue(ticket, record)
            if record is not None:
                record.tickets.remove(ticket)
                self._endings.on_viewer_left(record, "no answer in time")

    def _admit(self, now: float, request: SessionRequest) -> None:
        if self.is_closing:
            self._replies.reject_while_closing(request)
            return
        reason, retry_after_ms = self._block_reason(request)
        if reason:
            self._replies.reject_request(request, reason, retry_after_ms)
        else:
            self._begin_session(now, request)

    def _block_reason(self, request: SessionRequest) -> tuple[str, float]:
        """Returns why a new session may not begin, empty if it may, and the Retry-After in milliseconds."""
        if self.new_sessions_blocked is not None:
            return self.new_sessions_blocked
        reason = self._rejection_reason(request) if self._rejection_reason is not None else ""
        return reason, self._context.limits.blocked_retry_after_ms

    def _begin_session(self, now: float, request: SessionRequest) -> None:
        record = self._table.create(now, request)
        self._table.add_ticket(record, request.ticket)
        self._journal.record_session(EventKind.REQUESTED, record)
        if self._context.checks_entitlement:
            record.phase = SessionPhase.AWAITING_ENTITLEMENT
            deadline = now + request.max_wait_ms * self._context.limits.entitlement_wait_ratio
            self._context.commands.append(CheckEntitlement(request, deadline))
        else:
            self._attempts.submit_to_controller(now, record)

    def _replace_session(self, now: float, record: SessionRecord, request: SessionRequest) -> None:
        """Ends a session that cannot be joined, and begins another with the same id.

        Either its viewer sent another request while the server is silent, which means that the session does
        not play there, whatever the server last reported; or the payload for its replies is lost.
        """
        reason = "its box fell silent" if record.is_answerable else "what it was answered from is lost"
        self._endings.release_at_server(record, reason)
        self._endings.end_session(record, Result.RESET, reason)
        self._begin_session(now, request)


def _is_conflict(known: SessionRequest, request: SessionRequest) -> bool:
    """Whether a request has the id of a session for another title, class or protocol."""
    return (
        known.title != request.title
        or known.class_index != request.class_index
        or known.protocol != request.protocol
    )
