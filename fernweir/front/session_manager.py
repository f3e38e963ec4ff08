"""The state machine of a front's sessions, without I/O and without a clock.

The I/O layer reports events by methods that take `now`, in milliseconds of a monotonic clock, and calls
`step`, which passes all events since the last call to the controller in one batch and returns commands for
the I/O layer. The manager makes no placement decisions. It ensures what the controller does not handle:
requests with the same session id share one session, each request gets one reply before its deadline, and a
session that may run at a server but is not wanted is released there.

A session is in one of four phases (`SessionPhase`). It leaves the table when the controller is notified that
it ended.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from fernweir.controller import Controller
from fernweir.front.commands import Command, SessionReply, SessionRequest, SetUpResult
from fernweir.front.server_states import ServerStates
from fernweir.front.session_actions import ControllerActions
from fernweir.front.session_attempts import SessionAttempts
from fernweir.front.session_context import SessionContext
from fernweir.front.session_endings import SessionEndings
from fernweir.front.session_entitlements import SessionEntitlements
from fernweir.front.session_handover import AdoptedSession, SessionHandover
from fernweir.front.session_interfaces import BatchObserver, SessionLimits, SessionMetrics, SessionObserver
from fernweir.front.session_journal import SessionJournal
from fernweir.front.session_record import SessionPhase, SessionRecord
from fernweir.front.session_replies import SessionReplies
from fernweir.front.session_requests import SessionRequests
from fernweir.front.session_table import SessionTable
from fernweir.interface import (
    RESULT_LABELS,
    EndpointListUpdate,
    HealthCheckEnded,
    NoticeKind,
    Result,
    ServerNotice,
    ServerState,
    Settings,
    TimerFired,
)
from fernweir.journal.events import EventKind

if TYPE_CHECKING:  # not loaded at run time: a front may have no journal and no operators' orders
    from fernweir.control.overlay import Overlay
    from fernweir.front.explain import ExplainingController
    from fernweir.journal.store import Journal

__all__ = [
    "BatchObserver",
    "SessionLimits",
    "SessionManager",
    "SessionMetrics",
    "SessionObserver",
    "SessionPhase",
    "SessionRecord",
]

_ENDED_BY_VIEWER = "ended by its viewer"


class SessionManager:
    """The sessions of a front; the module docstring says how the I/O layer uses it.

    Its parts share a `SessionContext`; each piece of state is owned by one part.

    Args:
        settings: The deployment.
        seed: Seed of the controller's random draws.
        limits: Limits of the manager.
        batch_observer: Is called with every batch, for recording.
        checks_entitlement: Whether sessions begin only after an entitlement check.
        journal: Where events are written, with the controller's reasons.
        rejection_reason: Returns why a new session may not begin; an empty text if it may.
        overlay: Operators' orders on servers.

    Attributes:
        settings: The deployment.
        controller: Decides where sessions are placed and what they play.
        journal: Where events are written.
        metrics: Counters since the start.
        reply_ledger: The open requests.
    """

    def __init__(  # noqa: PLR0913 - each is an optional part of a front
        self,
        settings: Settings,
        seed: int,
        limits: SessionLimits | None = None,
        batch_observer: BatchObserver | None = None,
        *,
        checks_entitlement: bool = False,
        journal: Journal | None = None,
        rejection_reason: Callable[[SessionRequest], str] | None = None,
        overlay: Overlay | None = None,
    ) -> None:
        explaining = None if journal is None else _make_explaining_controller(settings, seed)
        self.settings = settings
        self.journal = journal
        self.controller = explaining or Controller(settings, seed)
        self._batch_observer = batch_observer
        context = self._context = SessionContext(
            settings, limits or SessionLimits(), checks_entitlement=checks_entitlement
        )
        table = self._table = SessionTable()
        recorder = self._journal = SessionJournal(context, journal, explaining)
        servers = self._servers = ServerStates(context, recorder, overlay)
        replies = SessionReplies(context, table, recorder)
        endings = self._endings = SessionEndings(context, table, recorder)
        attempts = self._attempts = SessionAttempts(context, table, recorder, replies, endings)
        self._requests = SessionRequests(
            context, table, recorder, servers, replies, endings, attempts, rejection_reason
        )
        self._handover = SessionHandover(context, table, servers, endings, attempts)
        self._entitlements = SessionEntitlements(context, table, replies, endings, attempts)
        self._actions = ControllerActions(context, table, recorder, replies, endings, attempts)
        self.metrics = context.metrics
        self.reply_ledger = replies.ledger

    # --- attributes of the parts ---

    @property
    def limits(self) -> SessionLimits:
        """Limits of the manager."""
        return self._context.limits

    @limits.setter
    def limits(self, limits: SessionLimits) -> None:
        self._context.limits = limits

    @property
    def observer(self) -> SessionObserver | None:
        """Is notified of what happens to sessions."""
        return self._context.observer

    @observer.setter
    def observer(self, observer: SessionObserver | None) -> None:
        self._context.observer = observer

    @property
    def is_closing(self) -> bool:
        """Whether the front is stopping and begins no session."""
        return self._requests.is_closing

    @property
    def new_sessions_blocked(self) -> tuple[str, float] | None:
        """Why no new session may begin and the Retry-After in milliseconds; None if they may."""
        return self._requests.new_sessions_blocked

    @new_sessions_blocked.setter
    def new_sessions_blocked(self, blocked: tuple[str, float] | None) -> None:
        self._requests.new_sessions_blocked = blocked

    # --- requests ---

    def request_session(self, now: float, request: SessionRequest) -> None:
        """Handles a request; if its session id is stored, it joins that session without another attempt."""
        self._context.now = now
        self._requests.on_request(now, request)

    def withdraw_request(self, now: float, ticket: int) -> None:
        """Handles a client's disconnection. An attempt in flight continues, because the viewer may return."""
        self._context.now = now
        self._requests.withdraw(ticket)

    def on_client_half_closed(self, now: float, ticket: int) -> None:
        """Handles a client that closed its sending side but may still read: no attempt begins for it.

        Before an attempt the request is answered at once. An attempt in flight continues, and the request is
        answered if the session plays. An attempt whose first byte has not been sent is wanted only if other
        viewers wait (`is_attempt_wanted`).
        """
        self._requests.on_client_half_closed(now, ticket)

    def on_reply_undelivered(self, now: float, reply: SessionReply) -> None:
        """Handles a reply that was not written because the viewer left: it counts as having left before."""
        self._requests.on_reply_undelivered(now, reply)

    def stop_accepting(self) -> None:
        """Rejects new sessions from now on; requests that were accepted before are still answered."""
        self._requests.is_closing = True

    def abandon_open_requests(self, now: float) -> None:
        """Answers all waiting requests and releases attempts in flight, because the front is ending.

        A request is rejected if its client may safely retry it, and failed otherwise.
        """
        self._context.now = now
        self._requests.abandon_all()

    # --- sessions ---

    def adopt_session(  # noqa: PLR0913 - the state of a session at another front
        self,
        now: float,
        request: SessionRequest,
        server: int,
        *,
        attempt: int = 0,
        rung: int | None = None,
        payload: object = None,
        informed_viewers: int = 1,
        is_answerable: bool = True,
    ) -> bool:
        """Stores a session that plays at a server, placed by another front or before the start of this one.

        The arguments are those of `AdoptedSession`.

        Returns:
            False if the session is known here, or its server is not listed.
        """
        adopted = AdoptedSession(request, server, attempt, rung, payload, informed_viewers, is_answerable)
        return self._handover.adopt(now, adopted)

    def hand_over_session(self, now: float, session_id: str) -> bool:
        """Removes a session that belongs to another front now; server and viewer are not notified of an end.

        Returns:
            False if it does not play here.
        """
        return self._handover.hand_over(now, session_id)

    def on_entitlement_decided(
        self, now: float, session_id: str, plays: bool, reason: str = "", retry_after_ms: float = 0.0
    ) -> None:
        """Handles the end of a session's entitlement check; `plays` says whether the session may play."""
        self._entitlements.on_decided(now, session_id, plays, reason, retry_after_ms)

    def revoke_session(self, now: float, session_id: str, reason: str) -> None:
        """Ends a session that may no longer play; an attempt in flight continues without a waiting viewer."""
        self._entitlements.revoke(now, session_id, reason)

    def release_session(self, now: float, session_id: str) -> bool:
        """Ends a session for its viewer; False if none plays here."""
        record = self._table.find_playing(session_id)
        if record is None:
            return False
        self._context.now = now
        self._endings.release_at_server(record, _ENDED_BY_VIEWER)
        self._endings.end_session(record, Result.OK, _ENDED_BY_VIEWER, is_ended_by_viewer=True)
        return True

    # --- servers ---

    def is_attempt_wanted(self, session_id: str, attempt: int) -> bool:
        """Whether the first byte of an attempt may be sent; called immediately before it is sent.

        It may not if the server is draining or gone, or if only clients that closed their sending side wait.
        A viewer who disconnects and returns joins an attempt that was sent before.
        """
        record = self._table.find_attempt(session_id, attempt, SessionPhase.IN_FLIGHT)
        if record is None:
            return False
        return record.has_waiting_viewer and self._servers.states.get(record.server) is ServerState.READY

    def on_attempt_finished(self, now: float, session_id: str, attempt: int, outcome: SetUpResult) -> None:
        """Handles the end of an attempt, which is reported once; ignored if the session is not stored."""
        record = self._table.find_attempt(session_id, attempt, SessionPhase.IN_FLIGHT)
        if record is None:
            return
        self._context.now = now
        if outcome.result is Result.OK:
            self._attempts.on_attempt_succeeded(now, record, outcome)
        else:
            self._attempts.on_attempt_failed(record, outcome)

    def on_session_ended(self, now: float, session_id: str, attempt: int, result: Result) -> None:
        """Handles the end of a session that played, as its server reported it."""
        record = self._table.find_attempt(session_id, attempt, SessionPhase.PLAYING)
        if record is None:
            return
        self._context.now = now
        reason = "over" if result is Result.OK else f"over: {RESULT_LABELS[result]}"
        self._endings.end_session(record, result, reason)

    def on_server_lost(self, now: float, server: int) -> int:
        """Ends the sessions of a server that is lost, and returns how many there were."""
        self._context.now = now
        lost = self._table.playing_at(server)
        self._journal.record_server(EventKind.LOST, server, details={"sessions": len(lost)})
        for record in lost:
            self._endings.end_session(record, Result.RESET, "its box was lost")
        return len(lost)

    def on_server_silence_changed(self, server: int, is_silent: bool) -> None:
        """Handles that a server with sessions stopped sending, though its process may run, or sends again."""
        self._servers.set_silent(server, is_silent)

    def on_server_notice(
        self, now: float, session_id: str, attempt: int, kind: NoticeKind, level: float
    ) -> None:
        """Handles a server's notice about a session; it is ignored unless that attempt plays."""
        record = self._table.find_attempt(session_id, attempt, SessionPhase.PLAYING)
        if record is None:
            return
        self._context.events.append(ServerNotice(record.number, record.server, attempt, kind, level))
        if kind is NoticeKind.RUNG and 0 <= level < len(self.settings.rung_rates_kbyte_s):
            self._attempts.on_rung_reported(now, record, int(level))

    def on_health_check_finished(
        self, now: float, server: int, result: Result, duration_ms: float, report: dict[str, float]
    ) -> None:
        """Handles the end of a health check, with the server's load report if it sent one."""
        values = self._attempts.select_report(report)
        self._context.events.append(HealthCheckEnded(server, result, duration_ms, values))

    def on_endpoint_list(self, now: float, update: EndpointListUpdate) -> None:
        """Handles a change of the endpoint list."""
        self._context.now = now
        self._servers.update(update)

    def on_operator_orders_changed(self, now: float) -> None:
        """Handles operators' orders that change the endpoint list as the controller sees it."""
        self._context.now = now
        self._servers.on_operator_orders_changed()

    # --- queries ---

    @property
    def session_count(self) -> int:
        """Number of sessions in any phase."""
        return len(self._table.by_id)

    @property
    def endpoint_states(self) -> dict[int, ServerState]:
        """The server states of the endpoint list, without operators' orders."""
        return self._servers.listed

    def session(self, session_id: str) -> SessionRecord | None:
        """Returns the record of a session, in any phase."""
        return self._table.by_id.get(session_id)

    def records(self) -> dict[str, SessionRecord]:
        """Returns all records by their session ids; callers must not change it."""
        return self._table.by_id

    def sessions_playing_at(self, server: int) -> dict[str, int]:
        """Returns the ids of the sessions that play at a server, with the attempts that set them up."""
        return {record.request.session_id: record.attempt for record in self._table.playing_at(server)}

    def count_sessions_by_limit(self, title: str, tenant: str) -> dict[str, int]:
        """Returns the numbers of sessions of a title and of a tenant, by the names of operators' limits."""
        requests = [record.request for record in self._table.by_id.values()]
        return {
            f"lesson:{title}": sum(request.title_name == title for request in requests),
            f"tenant:{tenant}": sum(request.tenant == tenant for request in requests),
        }

    # --- time ---

    def on_timer(self, now: float, token: int) -> None:
        """Handles a timer that a `StartTimer` command started."""
        self._context.events.append(TimerFired(token))

    def next_deadline(self) -> float | None:
        """Returns when `step` must be called at the latest, in milliseconds; None if nothing is due."""
        reply_deadline = self.reply_ledger.next_deadline()
        unclaimed_deadline = self._endings.next_unclaimed_deadline()
        if reply_deadline is None or unclaimed_deadline is None:
            return unclaimed_deadline if reply_deadline is None else reply_deadline
        return min(reply_deadline, unclaimed_deadline)

    def step(self, now: float) -> list[Command]:
        """Passes the events since the last call to the controller, and returns the commands in order."""
        context = self._context
        context.now = now
        self._requests.fail_overdue(now)
        self._endings.end_unclaimed_sessions(now)
        events = context.take_events()
        if events:
            context.metrics.batches += 1
            actions = self.controller.handle(now, events)
            if self._batch_observer is not None:
                self._batch_observer(now, events, actions)
            self._actions.apply(actions)
        return context.take_commands()


def _make_explaining_controller(settings: Settings, seed: int) -> ExplainingController:
    """Creates a controller that records reasons; its module is loaded only for a front with a journal."""
    from fernweir.front.explain import ExplainingController

    return ExplainingController(settings, seed)
