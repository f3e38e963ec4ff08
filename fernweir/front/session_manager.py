"""The host owns one `Controller`, the sessions and the ledger of answers; it has no I/O and no clock.

Shells tell it what happened (methods that take `now`, milliseconds of a clock that only moves forward) and
call `step`, which hands all that has happened since to the module in one batch and returns commands. The
host adds no placement of its own. What it settles is what the module doesn't see: that requests with the
same token share one session, that an answer is given once and in time, and that what may run at a box
without being wanted is released there.

A session, by its token's id, is in one of four phases: GATED (where entitlement is asked first; the module
has not heard of it), ASKED (the module holds it, nothing is out), OUT (one attempt is out) and PLAYING. It
leaves the table when the module is told that it ended.
"""

from __future__ import annotations

import heapq
import re
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, Protocol

from fernweir.controller import Controller
from fernweir.front.commands import (
    ChangeRung,
    CheckEntitlement,
    Command,
    EntitlementReleased,
    LogLine,
    ReleaseSession,
    ReplyKind,
    SendHealthCheck,
    SessionOver,
    SessionReply,
    SessionRequest,
    SetUp,
    SetUpResult,
    StartTimer,
    WatchEndpointList,
)
from fernweir.front.reply_ledger import ReplyLedger
from fernweir.interface import (
    RESULT_LABELS,
    SERVER_STATE_LABELS,
    Action,
    Arrival,
    AttemptEnded,
    AttemptSucceeded,
    CheckHealth,
    ClientGone,
    EndpointListKind,
    EndpointListUpdate,
    Event,
    Fail,
    HealthCheckEnded,
    Idempotency,
    Log,
    Move,
    NoticeKind,
    Place,
    Reject,
    Result,
    ServerNotice,
    ServerState,
    SessionRecovered,
    SetRung,
    SetTimer,
    Settings,
    Subscribe,
    TimerFired,
    Viewer,
)
from fernweir.journal.events import What

if TYPE_CHECKING:  # observers, which a front may do without
    from fernweir.control.overlay import Overlay
    from fernweir.front.explain import ExplainingController
    from fernweir.journal.store import Journal

_NEVER_RAN = (Result.FULL, Result.CONNECT_FAILED, Result.NOT_SENT)
_ANSWERED = {
    ReplyKind.PLAYS: What.PLAYS,
    ReplyKind.REJECTED: What.REFUSED,
    ReplyKind.FAILED: What.FAILED,
    ReplyKind.CONFLICT: What.CONFLICT,
}
_NAMED_BOX = re.compile(r"server (\d+)")
_NOTES = {"x0": NoticeKind.LINK, "x1": NoticeKind.UPLINK}


class SessionPhase(Enum):
    AWAITING_ENTITLEMENT = "gated"
    PENDING = "asked"
    IN_FLIGHT = "out"
    PLAYING = "playing"


@dataclass(frozen=True, slots=True)
class SessionLimits:
    """Times in milliseconds. `margin` is kept of each viewer's wait for the answer's way back.

    `linger` is how long what was set up for a viewer who left is kept for its return; with 0 nobody
    returns to a session, and an attempt that nobody waits for is released at once.
    """

    reply_margin_ms: float = 40.0
    unclaimed_session_ttl_ms: float = 2_000.0
    max_remembered_viewers: int = 65_536
    blocked_retry_after_ms: float = 5_000.0  # when to come again for what an operator holds back
    entitlement_wait_ratio: float = (
        0.5  # of a viewer's wait, for the verdict: a set-up must fit into the rest
    )


@dataclass(slots=True, eq=False)
class SessionRecord:
    """One session, from the first request with its token until the module is told of its end."""

    request: SessionRequest
    number: int
    key: int
    phase: SessionPhase = SessionPhase.PENDING
    tickets: list[int] = field(default_factory=list)
    half_closed_tickets: set[int] = field(
        default_factory=set
    )  # of these, whose viewers ended their side; only while OUT
    may_have_run: bool = False  # an attempt of it ended so that it may stand at a box unseen
    attempts: int = 0
    server: int = -1
    rung: int = 0
    sent_rung: int = 0
    payload: object = None
    last_result: Result | None = None
    reply_deadline: float = 0.0
    was_moved: bool = False
    informed_viewers: int = 0  # viewers who heard that it plays
    is_answerable: bool = True

    @property
    def attempt(self) -> int:
        return self.attempts - 1

    @property
    def has_waiting_viewer(self) -> bool:
        """Whether somebody waits who has not ended its side: only for such an attempt may begin."""
        return any(ticket not in self.half_closed_tickets for ticket in self.tickets)


@dataclass(slots=True)
class SessionMetrics:
    plays: int = 0
    rejected: int = 0
    failed: int = 0
    joined: int = 0
    conflicts: int = 0
    set_ups: int = 0
    released: int = 0
    batches: int = 0


BatchObserver = Callable[[float, list[Event], list[Action]], None]


class SessionObserver(Protocol):
    """Who is told of what happens to sessions, in order; a front that stands alone has none."""

    def on_attempt_started(self, now: float, held: SessionRecord) -> None:
        """An attempt leaves for a box."""

    def on_session_updated(self, now: float, held: SessionRecord) -> None:
        """It plays; or its rung, or how often its viewers were told, has changed."""

    def on_session_moved(self, now: float, held: SessionRecord) -> None: ...

    def on_request_rejected(self, now: float, ask: SessionRequest, why: str) -> None:
        """A request was answered otherwise than that its session plays."""

    def on_session_closed(self, now: float, held: SessionRecord, why: str) -> None:
        """It is held no more, whether it had played or not."""

    def on_endpoint_list(self, now: float, update: EndpointListUpdate) -> None: ...


class SessionManager:
    """See the module's page. `watch` is shown every batch, for recording."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        limits: SessionLimits | None = None,
        watch: BatchObserver | None = None,
        *,
        gated: bool = False,
        journal: Journal | None = None,
        turned_away: Callable[[SessionRequest], str] | None = None,
        overlay: Overlay | None = None,
    ) -> None:
        self.settings = settings
        self.limits = limits or SessionLimits()
        self.journal = journal
        self._overlay = overlay
        self._rejection_reason = turned_away  # says why a new session may not begin, or nothing
        self._explaining: ExplainingController | None = None
        if journal is not None:  # only who keeps a journal pays for the reasons in it
            from fernweir.front.explain import ExplainingController

            self._explaining = ExplainingController(settings, seed)
        self.controller = self._explaining or Controller(settings, seed)
        self.reply_ledger = ReplyLedger()
        self.metrics = SessionMetrics()
        self.is_closing = False
        self.observer: SessionObserver | None = None
        self.new_sessions_blocked: tuple[str, float] | None = (
            None  # why no new session may begin, and for how long, ms
        )
        self._batch_observer = watch
        self._checks_entitlement = gated
        self._records: dict[str, SessionRecord] = {}
        self._by_number: dict[int, SessionRecord] = {}
        self._at_server: dict[int, dict[str, SessionRecord]] = {}
        self._by_ticket: dict[int, SessionRecord] = {}
        self._server_states: dict[int, ServerState] = {}
        self._silent_servers: set[int] = set()
        self._last_listed: dict[int, tuple[ServerState, float]] = {}
        self._now = 0.0
        self._events: list[Event] = []
        self._abandoned: dict[int, None] = {}  # since the last batch
        self._commands: list[Command] = []
        self._next_number = 1
        self._unclaimed_deadlines: list[tuple[float, str, int]] = []
        self._known_viewers: OrderedDict[str | int, tuple[int, bool]] = OrderedDict()

    # --- what the shells tell ---

    def request_session(self, now: float, ask: SessionRequest) -> None:
        """A request was taken. A token that is known joins its session: there is no second set-up."""
        self._now = now
        self.reply_ledger.open(ask.ticket, now + max(ask.max_wait_ms - self.limits.reply_margin_ms, 0.0))
        held = self._records.get(ask.session_id)
        if held is None:
            if self.is_closing:
                self._send_reply(SessionReply(ask.ticket, ReplyKind.REJECTED, "front is stopping", 0.0), ask)
                return
            why, wait_ms = self._block_reason(ask)
            if why:
                self.metrics.rejected += 1
                self._send_reply(SessionReply(ask.ticket, ReplyKind.REJECTED, why, wait_ms), ask)
                return
            self._begin_session(now, ask)
            return
        if (held.request.title, held.request.class_index, held.request.protocol) != (
            ask.title,
            ask.class_index,
            ask.protocol,
        ):
            self.metrics.conflicts += 1
            why = "session id is in use for another title or class"
            self._send_reply(SessionReply(ask.ticket, ReplyKind.CONFLICT, why), ask)
            return
        if held.phase is SessionPhase.PLAYING and (
            held.server in self._silent_servers or not held.is_answerable
        ):
            # It comes again while its box says nothing: it does not play there, whatever the account says.
            why = "its box fell silent" if held.is_answerable else "what it was answered from is lost"
            self._release_at_server(held, why)
            self._end_session(held, Result.RESET, why)
            self._begin_session(now, ask)
            return
        self.metrics.joined += 1
        if held.phase is SessionPhase.PLAYING:
            self._reply_plays(held, ask.ticket)
        else:
            held.tickets.append(ask.ticket)
            self._by_ticket[ask.ticket] = held

    def adopt_session(
        self, now: float, ask: SessionRequest, server: int, *, attempt: int = 0, rung: int | None = None,
        payload: object = None, told: int = 1, answerable: bool = True,
    ) -> bool:  # fmt: skip
        """A session that plays there, placed by another front or before this one's start.

        `attempt` is the one that set it up, `rung` what it plays where that is known, `payload` what its
        viewers are answered from; where that was lost, it is not `answerable`: it plays on, and begins anew
        if its viewer asks again. False if it is held, or its box is gone.
        """
        if (
            ask.session_id in self._records
            or self._server_states.get(server, ServerState.REMOVED) is ServerState.REMOVED
        ):
            return False
        held = self._create_record(now, ask)
        held.phase, held.server, held.attempts, held.informed_viewers = (
            SessionPhase.PLAYING,
            server,
            attempt + 1,
            told,
        )
        held.payload, held.is_answerable = payload, answerable
        self._at_server.setdefault(server, {})[ask.session_id] = held
        self._events.append(SessionRecovered(self._viewer(now, held), server))
        if rung is not None:
            held.rung = held.sent_rung = rung
            self._events.append(ServerNotice(held.number, server, attempt, NoticeKind.RUNG, float(rung)))
        if not told:
            self._expect_viewer_return(now, held)
        if self._checks_entitlement:  # its seat is to move here; it plays on until that is refused
            self._commands.append(
                CheckEntitlement(ask, now + self.settings.classes[ask.class_index].deadline_ms)
            )
        return True

    def hand_over_session(self, now: float, jti: str) -> bool:
        """A session that plays is another front's from now on: neither box nor viewer is told of an end.

        False if it does not play here.
        """
        held = self._records.get(jti)
        if held is None or held.phase is not SessionPhase.PLAYING:
            return False
        self._now = now
        self._close_session(held, Result.CANCELLED, "another front's now", let_go=True)
        return True

    def withdraw_request(self, now: float, ticket: int) -> None:
        """The viewer of a request is gone. The attempt that is out may still be wanted when it returns."""
        self._now = now
        held = self._by_ticket.pop(ticket, None)
        if self.reply_ledger.withdraw(ticket) and held is not None:
            held.tickets.remove(ticket)
            self._on_no_viewer_waiting(held, "its viewer left")

    def on_client_half_closed(self, now: float, ticket: int) -> None:
        """The viewer of a request ended its side, though it may still read: no attempt begins for it.

        What the module or the gate still holds is answered at once. An attempt that is out may end, and is
        answered if it plays; one whose first byte has not left is `still_wanted` only if others wait.
        """
        held = self._by_ticket.get(ticket)
        if held is None:
            return
        self._now = now
        held.half_closed_tickets.add(ticket)
        if held.phase is not SessionPhase.IN_FLIGHT:
            self._answer_half_closed(held)
            self._on_no_viewer_waiting(held, "its viewer left")

    def on_reply_undelivered(self, now: float, answer: SessionReply) -> None:
        """A viewer left while word that its session plays was on its way: as if it had left before."""
        held = self._records.get(answer.request.session_id) if answer.request is not None else None
        if held is None or held.phase is not SessionPhase.PLAYING or held.attempt != answer.attempt:
            return
        self._now = now
        held.informed_viewers -= 1
        if held.informed_viewers:
            return
        if self.limits.unclaimed_session_ttl_ms > 0.0:
            self._expect_viewer_return(now, held)
        else:
            self._release_at_server(held, "its viewer left")
            self._close_session(held, Result.CANCELLED, "its viewer left")

    def on_attempt_finished(self, now: float, jti: str, attempt: int, end: SetUpResult) -> None:
        """The one end of an attempt. One that comes for a session no longer held is released."""
        held = self._records.get(jti)
        if held is None or held.phase is not SessionPhase.IN_FLIGHT or held.attempt != attempt:
            return
        self._now = now
        if end.result is Result.OK:
            self._on_attempt_succeeded(now, held, end)
            return
        if end.result not in _NEVER_RAN:
            held.may_have_run = True
            self._release_at_server(held, f"set-up ended as {RESULT_LABELS[end.result]}")
        held.last_result = end.result
        held.phase = SessionPhase.PENDING
        why = RESULT_LABELS[end.result] + (f": {end.reason}" if end.reason else "")
        self._journal_event(What.FAILED_TRY, held, why=why, more={"took_ms": round(end.duration_ms, 1)})
        self._detach_from_server(held)
        report = tuple(end.report[name] for name in self.settings.report_fields if name in end.report)
        if len(report) < len(self.settings.report_fields):
            report = ()
        self._answer_half_closed(held)
        if not held.tickets:  # nobody waits: the module must not place it again
            self._abandoned[held.number] = None
            self._remove_record(held, "nobody waited any more")
        self._events.append(
            AttemptEnded(
                held.number, held.server, attempt, end.result, not held.tickets, end.duration_ms, report
            )
        )

    def on_entitlement_decided(
        self, now: float, jti: str, plays: bool, why: str = "", retry_after_ms: float = 0.0
    ) -> None:
        """The verdict on a session that was to be admitted."""
        held = self._records.get(jti)
        if held is not None and held.phase is SessionPhase.PLAYING and not plays:  # taken over without a seat
            self.revoke_session(now, jti, why)
            return
        if held is None or held.phase is not SessionPhase.AWAITING_ENTITLEMENT:
            return
        self._now = now
        if plays:
            self._submit_to_controller(now, held)
            return
        self._reject_waiting_viewers(held, why, retry_after_ms)
        self._remove_record(held, why)

    def revoke_session(self, now: float, jti: str, why: str) -> None:
        """A session may no longer play: it ends at its box, for this reason."""
        held = self._records.get(jti)
        if held is None:
            return
        self._now = now
        if held.phase is SessionPhase.PLAYING:
            self._release_at_server(held, why, after_segment=True)
            self._end_session(held, Result.CANCELLED, why)
        elif (
            held.phase is not SessionPhase.IN_FLIGHT
        ):  # what is out is seen through; nobody waits for it any more
            self._reject_waiting_viewers(held, why, 0.0)
            self._on_no_viewer_waiting(held, why)
        else:
            self._reject_waiting_viewers(held, why, 0.0)

    def is_attempt_wanted(self, jti: str, attempt: int) -> bool:
        """Asked at the last moment before an attempt's first byte leaves: drains and ends stop it there.

        So does it if nobody waits any more but those who ended their side. Who drops and comes again finds
        what had left already.
        """
        held = self._records.get(jti)
        if held is None or held.phase is not SessionPhase.IN_FLIGHT or held.attempt != attempt:
            return False
        return held.has_waiting_viewer and self._server_states.get(held.server) is ServerState.READY

    def on_session_ended(self, now: float, jti: str, attempt: int, result: Result) -> None:
        """A session that played has ended at its box, or with it."""
        held = self._records.get(jti)
        if held is None or held.phase is not SessionPhase.PLAYING or held.attempt != attempt:
            return
        self._now = now
        self._end_session(held, result, "over" if result is Result.OK else f"over: {RESULT_LABELS[result]}")

    def release_session(self, now: float, jti: str) -> bool:
        """The viewer ends its session here. False if there is none that plays."""
        held = self._records.get(jti)
        if held is None or held.phase is not SessionPhase.PLAYING:
            return False
        self._now = now
        self._release_at_server(held, "ended by its viewer")
        self._end_session(held, Result.OK, "ended by its viewer", by_viewer=True)
        return True

    def on_server_lost(self, now: float, server: int) -> int:
        """A box took its sessions with it; tells how many."""
        self._now = now
        lost = [
            held for held in self._at_server.get(server, {}).values() if held.phase is SessionPhase.PLAYING
        ]
        self._journal_event(What.LOST, box=server, more={"sessions": len(lost)})
        for held in lost:
            self._end_session(held, Result.RESET, "its box was lost")
        return len(lost)

    def on_server_silence_changed(self, server: int, doubtful: bool) -> None:
        """Whether a box that holds sessions has stopped saying anything, though its process may run."""
        if doubtful == (server in self._silent_servers):
            return
        if doubtful:
            self._silent_servers.add(server)
        else:
            self._silent_servers.discard(server)
        self._journal_event(What.SILENT if doubtful else What.HEARD, box=server)

    def on_server_notice(self, now: float, jti: str, attempt: int, kind: NoticeKind, level: float) -> None:
        """News from a box on a session; of others it says nothing that the module could place."""
        held = self._records.get(jti)
        if held is not None and held.phase is SessionPhase.PLAYING and held.attempt == attempt:
            self._events.append(ServerNotice(held.number, held.server, attempt, kind, level))
            if kind is NoticeKind.RUNG and 0 <= level < len(self.settings.rung_rates_kbyte_s):
                changed = held.rung != int(level)
                if changed:
                    self._now = now
                    self._journal_event(What.RUNG, held, rung=int(level), why="its box")
                held.rung = held.sent_rung = int(level)
                if changed and self.observer is not None:
                    self.observer.on_session_updated(now, held)

    def on_health_check_finished(
        self, now: float, server: int, result: Result, took_ms: float, report: dict[str, float]
    ) -> None:
        values = tuple(report[name] for name in self.settings.report_fields if name in report)
        self._events.append(
            HealthCheckEnded(
                server, result, took_ms, values if len(values) == len(self.settings.report_fields) else ()
            )
        )

    def on_endpoint_list(self, now: float, update: EndpointListUpdate) -> None:
        self._now = now
        if self.journal is not None:
            self._journal_endpoint_list(update)
        if self.observer is not None:
            self.observer.on_endpoint_list(now, update)
        self._apply_endpoint_list(update if self._overlay is None else self._overlay.list_says(update))

    def on_operator_orders_changed(self, now: float) -> None:
        """An operator's orders changed what the module is told of the list."""
        self._now = now
        update = self._overlay.orders_changed() if self._overlay is not None else None
        if update is not None:
            self._apply_endpoint_list(update)

    def _apply_endpoint_list(self, update: EndpointListUpdate) -> None:
        self._events.append(update)
        if update.kind in (EndpointListKind.CACHED, EndpointListKind.FULL):
            self._server_states = {}
        for entry in update.entries:
            if entry.state is ServerState.REMOVED:
                self._server_states.pop(entry.server, None)
            else:
                self._server_states[entry.server] = entry.state

    def on_timer(self, now: float, token: int) -> None:
        self._events.append(TimerFired(token))

    def stop_accepting(self) -> None:
        """Nothing new is taken from now on; what was taken is still answered."""
        self.is_closing = True

    def abandon_open_requests(self, now: float) -> None:
        """The front is about to end: whatever waits is answered now, and what is out is let go at its box.

        Refused where asking again does no harm, else failed.
        """
        self._now = now
        why = "front is stopping"
        for held in [one for one in self._records.values() if one.tickets]:
            held.half_closed_tickets.update(held.tickets)
            self._answer_half_closed(held, why)
            self._on_no_viewer_waiting(held, why)

    # --- what the shells ask ---

    @property
    def session_count(self) -> int:
        return len(self._records)

    def sessions_playing_at(self, server: int) -> dict[str, int]:
        """Sessions that play at a box, with the attempt that set each up."""
        there = self._at_server.get(server, {})
        return {jti: held.attempt for jti, held in there.items() if held.phase is SessionPhase.PLAYING}

    def session(self, jti: str) -> SessionRecord | None:
        return self._records.get(jti)

    def records(self) -> dict[str, SessionRecord]:
        """All sessions by their token's id; not to be changed."""
        return self._records

    @property
    def endpoint_states(self) -> dict[int, ServerState]:
        """What the list says of each box, whatever operators have ordered."""
        return self._server_states if self._overlay is None else self._overlay.listed

    def count_sessions_by_phase(self, lesson: str, tenant: str) -> dict[str, int]:
        """Sessions held now of a lesson and of a tenant, as limits name them."""
        asks = [held.request for held in self._records.values()]
        return {
            f"lesson:{lesson}": sum(ask.title_name == lesson for ask in asks),
            f"tenant:{tenant}": sum(ask.tenant == tenant for ask in asks),
        }

    def next_deadline(self) -> float | None:
        """When `step` must be called at the latest, though nothing happens before."""
        due = self.reply_ledger.next_deadline()
        if self._unclaimed_deadlines and (due is None or self._unclaimed_deadlines[0][0] < due):
            return self._unclaimed_deadlines[0][0]
        return due

    # --- one batch ---

    def step(self, now: float) -> list[Command]:
        """Hands what happened to the module, and returns what is to be done, in order."""
        self._now = now
        self._expire_deadlines(now)
        events = self._take_events()
        if events:
            self.metrics.batches += 1
            actions = self.controller.handle(now, events)
            if self._batch_observer is not None:
                self._batch_observer(now, events, actions)
            for action in actions:
                self._apply_action(action)
        out, self._commands = self._commands, []
        return out

    def _take_events(self) -> list[Event]:
        """What happened, in order, but for sessions that nobody waits for any more: that is told first.

        What came before it in this batch (its arrival, the end of an attempt, a probe's) would make the
        module place a session that is known here no longer, and it would hold it for ever.
        """
        events, self._events = self._events, []
        gone, self._abandoned = self._abandoned, {}
        if not gone:
            return events
        heard = [one for one in events if not (isinstance(one, Arrival) and one.viewer.session in gone)]
        return [*map(ClientGone, gone), *heard]

    def _expire_deadlines(self, now: float) -> None:
        for ticket in self.reply_ledger.overdue(now):
            held = self._by_ticket.pop(ticket, None)
            self.metrics.failed += 1
            ask = held.request if held is not None else None
            self._send_reply(
                SessionReply(ticket, ReplyKind.FAILED, "no answer in time", is_timeout=True), ask
            )
            if held is not None:
                held.tickets.remove(ticket)
                self._on_no_viewer_waiting(held, "no answer in time")
        while self._unclaimed_deadlines and self._unclaimed_deadlines[0][0] <= now:
            _, jti, number = heapq.heappop(self._unclaimed_deadlines)
            held = self._records.get(jti)
            if held is not None and held.number == number and not held.informed_viewers:
                self._release_at_server(held, "its viewer did not come back")
                self._end_session(held, Result.CANCELLED, "its viewer did not come back")

    def _apply_action(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            self._commands.append(StartTimer(action.token, action.after_ms))
        elif isinstance(action, CheckHealth):
            self._commands.append(SendHealthCheck(action.server))
        elif isinstance(action, Subscribe):
            self._commands.append(WatchEndpointList(action.active))
        elif isinstance(action, Log):
            named = _NAMED_BOX.search(action.text)
            self._commands.append(LogLine(action.text, server=int(named[1]) if named else None))
        else:
            held = self._by_number.get(action.session)
            if held is not None:
                self._apply_session_action(held, action)

    def _apply_session_action(
        self, held: SessionRecord, action: Place | SetRung | Move | Reject | Fail
    ) -> None:
        if isinstance(action, SetRung):
            held.rung = action.rung
            if held.phase is SessionPhase.PLAYING:
                self._send_rung(held)
        elif isinstance(action, Place):
            held.attempts += 1
            held.phase, held.server, held.sent_rung = SessionPhase.IN_FLIGHT, action.server, held.rung
            self._at_server.setdefault(action.server, {})[held.request.session_id] = held
            self.metrics.set_ups += 1
            if self.journal is not None:
                self._journal_placement(held)
            if self.observer is not None:
                self.observer.on_attempt_started(self._now, held)
            self._commands.append(
                SetUp(held.request, held.attempt, action.server, held.rung, action.timeout_ms)
            )
        elif isinstance(action, Move):
            self._journal_event(What.MOVED, held)
            if self.observer is not None:
                self.observer.on_session_moved(self._now, held)
            self._release_at_server(held, "moved")
            self._end_session(held, Result.CANCELLED, "moved", moved=True)
        else:
            self._finish_rejected(held, action)

    def _finish_rejected(self, held: SessionRecord, action: Reject | Fail) -> None:
        tickets, held.tickets = held.tickets, []
        detail: dict[str, object] = {}
        if self._explaining is not None:
            reason = self._explaining.take_reason(held.number)
            detail = {"detail": reason.why, "passed": [list(one) for one in reason.passed]}
        for ticket in tickets:
            del self._by_ticket[ticket]
            if isinstance(action, Reject):
                self.metrics.rejected += 1
                why = (
                    "no box has room"
                    if held.last_result is None
                    else "set-up failed and may not be tried again"
                )
                answer = SessionReply(
                    ticket, ReplyKind.REJECTED, why, action.retry_after_ms, request=held.request
                )
            else:
                self.metrics.failed += 1
                late = held.last_result is Result.TIMEOUT
                answer = SessionReply(
                    ticket, ReplyKind.FAILED, "set-up failed", is_timeout=late, request=held.request
                )
            self._send_reply(answer, held.request, detail)
        self._remove_record(held, "refused" if isinstance(action, Reject) else "failed")

    # --- pieces ---

    def _block_reason(self, ask: SessionRequest) -> tuple[str, float]:
        """Why a new session may not begin, and when to come again, ms; an empty reason if it may."""
        if self.new_sessions_blocked is not None:
            return self.new_sessions_blocked
        why = self._rejection_reason(ask) if self._rejection_reason is not None else ""
        return why, self.limits.blocked_retry_after_ms

    def _create_record(self, now: float, ask: SessionRequest) -> SessionRecord:
        key, moved = self._known_viewers.pop(ask.viewer_key or ask.session_id, (0, False))
        held = SessionRecord(ask, self._next_number, ask.viewer_key or key or self._next_number)
        self._next_number = self._next_number % 0xFFFFFFFF + 1
        self._records[ask.session_id] = self._by_number[held.number] = held
        held.reply_deadline, held.was_moved = now + ask.max_wait_ms, moved
        return held

    def _begin_session(self, now: float, ask: SessionRequest) -> None:
        held = self._create_record(now, ask)
        held.tickets.append(ask.ticket)
        self._by_ticket[ask.ticket] = held
        self._journal_event(What.ASKED, held)
        if self._checks_entitlement:
            held.phase = SessionPhase.AWAITING_ENTITLEMENT
            self._commands.append(
                CheckEntitlement(ask, now + ask.max_wait_ms * self.limits.entitlement_wait_ratio)
            )
        else:
            self._submit_to_controller(now, held)

    def _submit_to_controller(self, now: float, held: SessionRecord) -> None:
        held.phase = SessionPhase.PENDING
        self._events.append(Arrival(self._viewer(now, held)))

    def _viewer(self, now: float, held: SessionRecord) -> Viewer:
        ask = held.request
        return Viewer(
            session=held.number,
            class_index=ask.class_index,
            key=held.key,
            title=ask.title,
            first_zone=ask.first_zone,
            replicas=ask.replicas,
            top_rung=ask.top_rung,
            length_ms=None,
            remaining_ms=max(held.reply_deadline - now - 2.0 * self.limits.reply_margin_ms, 0.0),
            was_moved=held.was_moved,
            is_returning=ask.is_returning if ask.viewer_key else held.key != held.number,
        )

    def _on_attempt_succeeded(self, now: float, held: SessionRecord, end: SetUpResult) -> None:
        held.phase, held.payload, held.last_result = SessionPhase.PLAYING, end.payload, None
        self._journal_event(
            What.STARTED, held, rung=held.sent_rung, more={"took_ms": round(end.duration_ms, 1)}
        )
        self._events.append(AttemptSucceeded(held.number, held.server, held.attempt, end.duration_ms))
        for name, kind in _NOTES.items():
            if name in end.report and (name == "x0" or name in self.settings.report_fields):
                self._events.append(
                    ServerNotice(held.number, held.server, held.attempt, kind, end.report[name])
                )
        if held.rung != held.sent_rung:
            self._send_rung(held)
        tickets, held.tickets = held.tickets, []
        held.half_closed_tickets.clear()
        for ticket in tickets:
            del self._by_ticket[ticket]
            self._reply_plays(held, ticket)
        if not tickets:
            self._expect_viewer_return(now, held)
        if self.observer is not None:
            self.observer.on_session_updated(now, held)

    def _expect_viewer_return(self, now: float, held: SessionRecord) -> None:
        heapq.heappush(
            self._unclaimed_deadlines,
            (now + self.limits.unclaimed_session_ttl_ms, held.request.session_id, held.number),
        )

    def _reply_plays(self, held: SessionRecord, ticket: int) -> None:
        held.informed_viewers += 1
        if held.informed_viewers > 1 and self.observer is not None:
            self.observer.on_session_updated(self._now, held)
        self.metrics.plays += 1
        self._send_reply(
            SessionReply(
                ticket,
                ReplyKind.PLAYS,
                request=held.request,
                server=held.server,
                attempt=held.attempt,
                rung=held.rung,
                payload=held.payload,
            ),
            held.request,
        )

    def _reject_waiting_viewers(self, held: SessionRecord, why: str, retry_after_ms: float) -> None:
        tickets, held.tickets = held.tickets, []
        for ticket in tickets:
            del self._by_ticket[ticket]
            self.metrics.rejected += 1
            self._send_reply(
                SessionReply(ticket, ReplyKind.REJECTED, why, retry_after_ms, request=held.request),
                held.request,
            )

    def _answer_half_closed(self, held: SessionRecord, why: str = "its viewer left") -> None:
        """Answers those who ended their side. A refusal says that asking again does no harm."""
        ran = held.may_have_run or held.phase is SessionPhase.IN_FLIGHT
        once = (
            ran and self.settings.classes[held.request.class_index].idempotency is not Idempotency.IDEMPOTENT
        )
        for ticket in [one for one in held.tickets if one in held.half_closed_tickets]:
            held.tickets.remove(ticket)
            del self._by_ticket[ticket]
            if once:
                self.metrics.failed += 1
                late = held.last_result is Result.TIMEOUT
                answer = SessionReply(ticket, ReplyKind.FAILED, why, is_timeout=late, request=held.request)
            else:
                self.metrics.rejected += 1
                answer = SessionReply(ticket, ReplyKind.REJECTED, why, request=held.request)
            self._send_reply(answer, held.request)
        held.half_closed_tickets.clear()

    def _send_reply(
        self, answer: SessionReply, ask: SessionRequest | None, detail: dict[str, object] | None = None
    ) -> None:
        self.reply_ledger.close(answer.ticket)
        self._commands.append(answer)
        if self.observer is not None and ask is not None and answer.kind is not ReplyKind.PLAYS:
            self.observer.on_request_rejected(self._now, ask, answer.reason)
        if self.journal is not None and ask is not None:
            self.journal.add(
                self._now, _ANSWERED[answer.kind], session=ask.session_id, lesson=ask.title_name,
                cls=self.settings.classes[ask.class_index].name, tenant=ask.tenant, box=answer.server,
                why=answer.reason, more=detail,
            )  # fmt: skip

    def _on_no_viewer_waiting(self, held: SessionRecord, why: str) -> None:
        """After its last waiter left: what the module only holds is dropped, what is out is seen through."""
        if held.phase is SessionPhase.AWAITING_ENTITLEMENT and not held.tickets:
            self._remove_record(held, why)
        elif held.phase is SessionPhase.PENDING and not held.tickets:
            self._abandoned[held.number] = None
            self._remove_record(held, why)
        elif (
            held.phase is SessionPhase.IN_FLIGHT
            and not held.tickets
            and self.limits.unclaimed_session_ttl_ms <= 0.0
        ):
            self._abandoned[held.number] = None
            self._release_at_server(held, why)
            self._close_session(held, Result.CANCELLED, why)

    def _send_rung(self, held: SessionRecord) -> None:
        held.sent_rung = held.rung
        self._journal_event(What.RUNG, held, rung=held.rung, why="this front")
        if self.observer is not None:
            self.observer.on_session_updated(self._now, held)
        self._commands.append(ChangeRung(held.request.session_id, held.attempt, held.server, held.rung))

    def _release_at_server(self, held: SessionRecord, why: str, after_segment: bool = False) -> None:
        self.metrics.released += 1
        self._commands.append(
            ReleaseSession(held.request.session_id, held.attempt, held.server, why, after_segment)
        )

    def _end_session(
        self, held: SessionRecord, result: Result, why: str, moved: bool = False, by_viewer: bool = False
    ) -> None:
        self._commands.append(SessionOver(held.request, result, why, moved, by_viewer))
        self._close_session(held, result, why, moved)

    def _close_session(
        self, held: SessionRecord, result: Result, why: str, moved: bool = False, let_go: bool = False
    ) -> None:
        self._events.append(AttemptEnded(held.number, held.server, held.attempt, result, True, 0.0, ()))
        self._detach_from_server(held)
        self._remove_record(held, why, moved, let_go)

    def _detach_from_server(self, held: SessionRecord) -> None:
        there = self._at_server.get(held.server)
        if there is not None:
            there.pop(held.request.session_id, None)
            if not there:
                del self._at_server[held.server]

    def _remove_record(
        self, held: SessionRecord, why: str, moved: bool = False, let_go: bool = False
    ) -> None:
        self._journal_event(What.ENDED, held, why=why)
        if self.observer is not None:
            self.observer.on_session_closed(self._now, held, why)
        self._records.pop(held.request.session_id, None)
        self._by_number.pop(held.number, None)
        if self._checks_entitlement:
            self._commands.append(EntitlementReleased(held.request.session_id, let_go))
        # A viewer who comes again is known to the module by its key; one that brings it, only if moved.
        if held.request.viewer_key and not moved:
            return
        self._known_viewers[held.request.viewer_key or held.request.session_id] = (held.key, moved)
        if len(self._known_viewers) > self.limits.max_remembered_viewers:
            self._known_viewers.popitem(last=False)

    # --- the journal ---

    def _journal_event(
        self,
        what: What,
        held: SessionRecord | None = None,
        *,
        box: int | None = None,
        rung: int = -1,
        why: str = "",
        more: dict[str, object] | None = None,
    ) -> None:
        if self.journal is None:
            return
        if held is None:
            self.journal.add(self._now, what, box=-1 if box is None else box, why=why, more=more)
            return
        ask, there = (
            held.request,
            held.phase in (SessionPhase.IN_FLIGHT, SessionPhase.PLAYING) or what is What.FAILED_TRY,
        )
        self.journal.add(
            self._now,
            what,
            session=ask.session_id,
            lesson=ask.title_name,
            cls=self.settings.classes[ask.class_index].name,
            tenant=ask.tenant,
            box=held.server if there else -1,
            attempt=held.attempt if there else -1,
            rung=rung,
            why=why,
            more=more,
        )

    def _journal_placement(self, held: SessionRecord) -> None:
        assert self._explaining is not None
        reason = self._explaining.take_reason(held.number)
        more = {
            "passed": [list(one) for one in reason.passed],
            "link": reason.link,
            "uplink": reason.uplink,
        }
        self._journal_event(What.SETUP, held, rung=held.rung, why=reason.why, more=more)

    def _journal_endpoint_list(self, update: EndpointListUpdate) -> None:
        """Boxes whose state or life changed, and those that a whole list no longer names."""
        if update.kind in (EndpointListKind.CACHED, EndpointListKind.FULL):
            named = {entry.server for entry in update.entries}
            for server in [server for server in self._last_listed if server not in named]:
                del self._last_listed[server]
                self._journal_event(What.BOX, box=server, why="unlisted")
        for entry in update.entries:
            now = (entry.state, entry.started_at)
            if self._last_listed.get(entry.server) != now:
                self._last_listed[entry.server] = now
                start = f"{entry.started_at:.0f}" if entry.started_at else ""
                why = SERVER_STATE_LABELS[entry.state]
                self._journal_event(What.BOX, box=entry.server, why=why, more={"start": start})
