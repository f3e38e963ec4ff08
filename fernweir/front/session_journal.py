"""Writes the events of a session manager to the journal; does nothing if the front has no journal."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fernweir.front.commands import ReplyKind, SessionReply, SessionRequest
from fernweir.front.session_context import SessionContext
from fernweir.front.session_record import SessionPhase, SessionRecord
from fernweir.interface import (
    RESULT_LABELS,
    SERVER_STATE_LABELS,
    EndpointListKind,
    EndpointListUpdate,
    ServerState,
)
from fernweir.journal.events import EventKind

if TYPE_CHECKING:  # not loaded at run time: a front may have no journal
    from fernweir.front.commands import SetUpResult
    from fernweir.front.explain import ExplainingController
    from fernweir.journal.store import Journal

_REPLY_EVENTS = {
    ReplyKind.PLAYS: EventKind.PLAYS,
    ReplyKind.REJECTED: EventKind.REFUSED,
    ReplyKind.FAILED: EventKind.FAILED,
    ReplyKind.CONFLICT: EventKind.CONFLICT,
}
_PHASES_AT_SERVER = (SessionPhase.IN_FLIGHT, SessionPhase.PLAYING)


class SessionJournal:
    """Writes the events of sessions and servers, with the controller's reasons for its decisions."""

    def __init__(
        self, context: SessionContext, journal: Journal | None, explaining: ExplainingController | None
    ) -> None:
        self.journal = journal
        self._context = context
        self._explaining = explaining
        self._last_listed: dict[int, tuple[ServerState, float]] = {}

    def record_session(
        self,
        kind: EventKind,
        record: SessionRecord,
        *,
        rung: int = -1,
        reason: str = "",
        details: dict[str, object] | None = None,
    ) -> None:
        """Writes an event of a session, with its server and attempt if it has them."""
        if self.journal is None:
            return
        request = record.request
        is_at_server = record.phase in _PHASES_AT_SERVER or kind is EventKind.ATTEMPT_FAILED
        self.journal.add(
            self._context.now,
            kind,
            session=request.session_id,
            title=request.title_name,
            cls=self._context.settings.classes[request.class_index].name,
            tenant=request.tenant,
            server=record.server if is_at_server else -1,
            attempt=record.attempt if is_at_server else -1,
            rung=rung,
            why=reason,
            more=details,
        )

    def record_server(
        self, kind: EventKind, server: int, *, reason: str = "", details: dict[str, object] | None = None
    ) -> None:
        """Writes an event of a server."""
        if self.journal is not None:
            self.journal.add(self._context.now, kind, server=server, why=reason, more=details)

    def record_reply(
        self, reply: SessionReply, request: SessionRequest, details: dict[str, object] | None
    ) -> None:
        """Writes the reply to a request."""
        if self.journal is None:
            return
        self.journal.add(
            self._context.now,
            _REPLY_EVENTS[reply.kind],
            session=request.session_id,
            title=request.title_name,
            cls=self._context.settings.classes[request.class_index].name,
            tenant=request.tenant,
            server=reply.server,
            why=reply.reason,
            more=details,
        )

    def record_attempt_started(self, record: SessionRecord) -> None:
        """Writes that an attempt is sent, and why the controller chose its server."""
        if self._explaining is None:
            return
        reason = self._explaining.take_reason(record.number)
        details: dict[str, object] = {
            "passed": [list(server) for server in reason.passed_over],
            "link": reason.link,
            "uplink": reason.uplink,
        }
        self.record_session(EventKind.SETUP, record, rung=record.rung, reason=reason.text, details=details)

    def record_attempt_succeeded(self, record: SessionRecord, outcome: SetUpResult) -> None:
        """Writes that a server has accepted a session."""
        if self.journal is not None:
            details: dict[str, object] = {"took_ms": round(outcome.duration_ms, 1)}
            self.record_session(EventKind.STARTED, record, rung=record.sent_rung, details=details)

    def record_attempt_failed(self, record: SessionRecord, outcome: SetUpResult) -> None:
        """Writes that an attempt ended without success."""
        if self.journal is not None:
            reason = RESULT_LABELS[outcome.result] + (f": {outcome.reason}" if outcome.reason else "")
            details: dict[str, object] = {"took_ms": round(outcome.duration_ms, 1)}
            self.record_session(EventKind.ATTEMPT_FAILED, record, reason=reason, details=details)

    def take_rejection_details(self, record: SessionRecord) -> dict[str, object]:
        """Returns the controller's reason for a rejection as journal details; empty without a journal."""
        if self._explaining is None:
            return {}
        reason = self._explaining.take_reason(record.number)
        return {"detail": reason.text, "passed": [list(server) for server in reason.passed_over]}

    def record_endpoint_list(self, update: EndpointListUpdate) -> None:
        """Writes the servers whose state or start time changed, and those missing from a full list."""
        if self.journal is None:
            return
        if update.kind in (EndpointListKind.CACHED, EndpointListKind.FULL):
            self._record_unlisted(update)
        for entry in update.entries:
            state = (entry.state, entry.started_at)
            if self._last_listed.get(entry.server) != state:
                self._last_listed[entry.server] = state
                start = f"{entry.started_at:.0f}" if entry.started_at else ""
                reason = SERVER_STATE_LABELS[entry.state]
                self.record_server(EventKind.SERVER, entry.server, reason=reason, details={"start": start})

    def _record_unlisted(self, update: EndpointListUpdate) -> None:
        listed = {entry.server for entry in update.entries}
        for server in [server for server in self._last_listed if server not in listed]:
            del self._last_listed[server]
            self.record_server(EventKind.SERVER, server, reason="unlisted")
