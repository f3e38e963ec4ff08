"""Adopts sessions that play from other fronts, and hands such sessions over to them."""

from __future__ import annotations

from dataclasses import dataclass

from fernweir.front.commands import CheckEntitlement, SessionRequest
from fernweir.front.server_states import ServerStates
from fernweir.front.session_attempts import SessionAttempts
from fernweir.front.session_context import SessionContext
from fernweir.front.session_endings import SessionEndings
from fernweir.front.session_record import SessionPhase, SessionRecord
from fernweir.front.session_table import SessionTable
from fernweir.interface import NoticeKind, Result, ServerNotice, SessionRecovered


@dataclass(frozen=True, slots=True)
class AdoptedSession:
    """A session that plays at a server, placed by another front or before the start of this one.

    Attributes:
        request: The request that began it.
        server: Where it plays.
        attempt: The index of the attempt that set it up.
        rung: The rung that it plays, if that is known.
        payload: What its viewers' replies are made from.
        informed_viewers: How many viewers were sent the reply that it plays.
        is_answerable: Whether `payload` is available. Without it the session continues to play, and is
            replaced if its viewer sends another request.
    """

    request: SessionRequest
    server: int
    attempt: int
    rung: int | None
    payload: object
    informed_viewers: int
    is_answerable: bool


class SessionHandover:
    """Adopts sessions from other fronts and hands sessions over to them."""

    def __init__(
        self,
        context: SessionContext,
        table: SessionTable,
        servers: ServerStates,
        endings: SessionEndings,
        attempts: SessionAttempts,
    ) -> None:
        self._context = context
        self._table = table
        self._servers = servers
        self._endings = endings
        self._attempts = attempts

    def adopt(self, now: float, adopted: AdoptedSession) -> bool:
        """Stores a session that plays already; False if its id is stored here or its server is not listed."""
        request = adopted.request
        if request.session_id in self._table.by_id or self._servers.is_removed(adopted.server):
            return False
        record = self._create_record(now, adopted)
        context = self._context
        context.events.append(SessionRecovered(self._attempts.describe_viewer(now, record), adopted.server))
        if adopted.rung is not None:
            self._adopt_rung(record, adopted.rung)
        if not adopted.informed_viewers:
            self._endings.expect_viewer_return(now, record)
        if (
            context.checks_entitlement
        ):  # its seat must be requested by this front; it plays until that is denied
            deadline = now + context.settings.classes[request.class_index].deadline_ms
            context.commands.append(CheckEntitlement(request, deadline))
        return True

    def hand_over(self, now: float, session_id: str) -> bool:
        """Removes a session that plays without notifying its server or viewer; False if none plays."""
        record = self._table.find_playing(session_id)
        if record is None:
            return False
        self._context.now = now
        self._endings.close_session(record, Result.CANCELLED, "another front's now", is_handed_over=True)
        return True

    def _create_record(self, now: float, adopted: AdoptedSession) -> SessionRecord:
        record = self._table.create(now, adopted.request)
        record.phase = SessionPhase.PLAYING
        record.server = adopted.server
        record.attempts = adopted.attempt + 1
        record.informed_viewers = adopted.informed_viewers
        record.payload = adopted.payload
        record.is_answerable = adopted.is_answerable
        self._table.attach_to_server(record)
        return record

    def _adopt_rung(self, record: SessionRecord, rung: int) -> None:
        record.rung = record.sent_rung = rung
        notice = ServerNotice(record.number, record.server, record.attempt, NoticeKind.RUNG, float(rung))
        self._context.events.append(notice)
