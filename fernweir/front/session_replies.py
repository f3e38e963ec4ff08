"""Sends the replies of a session manager: exactly one per open request, and none after its deadline."""

from __future__ import annotations

from fernweir.front.commands import ReplyKind, SessionReply, SessionRequest
from fernweir.front.reply_ledger import ReplyLedger
from fernweir.front.session_context import SessionContext
from fernweir.front.session_journal import SessionJournal
from fernweir.front.session_record import SessionPhase, SessionRecord
from fernweir.front.session_table import SessionTable
from fernweir.interface import Fail, Idempotency, Reject, Result


class SessionReplies:
    """Owns the ledger of replies, and sends the replies to requests.

    Attributes:
        ledger: The open requests.
    """

    def __init__(self, context: SessionContext, table: SessionTable, journal: SessionJournal) -> None:
        self.ledger = ReplyLedger()
        self._context = context
        self._table = table
        self._journal = journal

    def open(self, now: float, request: SessionRequest) -> None:
        """Opens the ticket of a request, with a deadline before its viewer stops waiting."""
        wait_ms = max(request.max_wait_ms - self._context.limits.reply_margin_ms, 0.0)
        self.ledger.open(request.ticket, now + wait_ms)

    def send(
        self, reply: SessionReply, request: SessionRequest | None, details: dict[str, object] | None = None
    ) -> None:
        """Sends a reply and closes its ticket.

        Args:
            reply: The reply.
            request: The first request of the session, if there is a session; it is journaled.
            details: Further values for the journal.

        Raises:
            ReplyLedgerError: The ticket is not open.
        """
        context = self._context
        self.ledger.close(reply.ticket)
        context.commands.append(reply)
        if request is None:
            return
        if context.observer is not None and reply.kind is not ReplyKind.PLAYS:
            context.observer.on_request_rejected(context.now, request, reply.reason)
        self._journal.record_reply(reply, request, details)

    def send_playing(self, record: SessionRecord, ticket: int) -> None:
        """Replies that a session plays."""
        context = self._context
        record.informed_viewers += 1
        if record.informed_viewers > 1 and context.observer is not None:
            context.observer.on_session_updated(context.now, record)
        context.metrics.plays += 1
        reply = SessionReply(
            ticket,
            ReplyKind.PLAYS,
            request=record.request,
            server=record.server,
            attempt=record.attempt,
            rung=record.rung,
            payload=record.payload,
        )
        self.send(reply, record.request)

    def reject_request(self, request: SessionRequest, reason: str, retry_after_ms: float) -> None:
        """Rejects a request that has no session."""
        self._context.metrics.rejected += 1
        self.send(SessionReply(request.ticket, ReplyKind.REJECTED, reason, retry_after_ms), request)

    def reject_while_closing(self, request: SessionRequest) -> None:
        """Rejects a request because the front is stopping; these rejections are not counted."""
        self.send(SessionReply(request.ticket, ReplyKind.REJECTED, "front is stopping", 0.0), request)

    def reject_conflict(self, request: SessionRequest) -> None:
        """Rejects a request whose session id belongs to another session."""
        self._context.metrics.conflicts += 1
        reason = "session id is in use for another title or class"
        self.send(SessionReply(request.ticket, ReplyKind.CONFLICT, reason), request)

    def reject_waiting_viewers(self, record: SessionRecord, reason: str, retry_after_ms: float) -> None:
        """Rejects all requests that wait for a session."""
        for ticket in self._table.take_tickets(record):
            self._context.metrics.rejected += 1
            reply = SessionReply(ticket, ReplyKind.REJECTED, reason, retry_after_ms, request=record.request)
            self.send(reply, record.request)

    def answer_half_closed(self, record: SessionRecord, reason: str = "its viewer left") -> None:
        """Answers half-closed clients: rejected if they may safely retry, failed otherwise."""
        may_have_run = record.may_have_run or record.phase is SessionPhase.IN_FLIGHT
        idempotency = self._context.settings.classes[record.request.class_index].idempotency
        is_retry_harmful = may_have_run and idempotency is not Idempotency.IDEMPOTENT
        for ticket in [ticket for ticket in record.tickets if ticket in record.half_closed_tickets]:
            record.tickets.remove(ticket)
            del self._table.by_ticket[ticket]
            if is_retry_harmful:
                self._send_failed(record, ticket, reason)
            else:
                self._context.metrics.rejected += 1
                reply = SessionReply(ticket, ReplyKind.REJECTED, reason, request=record.request)
                self.send(reply, record.request)
        record.half_closed_tickets.clear()

    def answer_decision(self, record: SessionRecord, decision: Reject | Fail) -> None:
        """Answers all requests that wait for a session that the controller rejects or fails."""
        tickets = self._table.take_tickets(record)
        details = self._journal.take_rejection_details(record)
        for ticket in tickets:
            if isinstance(decision, Fail):
                self._send_failed(record, ticket, "set-up failed", details)
                continue
            self._context.metrics.rejected += 1
            is_first = record.last_result is None
            reason = "no box has room" if is_first else "set-up failed and may not be tried again"
            reply = SessionReply(
                ticket, ReplyKind.REJECTED, reason, decision.retry_after_ms, request=record.request
            )
            self.send(reply, record.request, details)

    def fail_overdue(self, ticket: int, record: SessionRecord | None) -> None:
        """Replies to a request whose deadline has passed."""
        self._context.metrics.failed += 1
        reply = SessionReply(ticket, ReplyKind.FAILED, "no answer in time", is_timeout=True)
        self.send(reply, record.request if record is not None else None)

    def _send_failed(
        self,
        record: SessionRecord,
        ticket: int,
        reason: str,
        details: dict[str, object] | None = None,
    ) -> None:
        self._context.metrics.failed += 1
        is_timeout = record.last_result is Result.TIMEOUT
        reply = SessionReply(ticket, ReplyKind.FAILED, reason, is_timeout=is_timeout, request=record.request)
        self.send(reply, record.request, details)
