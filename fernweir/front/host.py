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

from fernweir.brain import Controller
from fernweir.front.commands import (
    Admit,
    Answer,
    Arm,
    Ask,
    ChangeRung,
    Command,
    Follow,
    Kind,
    Left,
    Over,
    Release,
    Say,
    SendProbe,
    SetUp,
    SetUpResult,
)
from fernweir.front.ledger import Ledger
from fernweir.interface import (
    RESULT_WORDS,
    STATE_WORDS,
    Abandoned,
    Action,
    Arrival,
    Effect,
    Ended,
    Event,
    Fail,
    ListKind,
    ListUpdate,
    Log,
    Move,
    Note,
    NoteKind,
    Place,
    Probe,
    Probed,
    Refuse,
    Result,
    ServerState,
    SetRung,
    Settings,
    Started,
    Subscribe,
    TakenOver,
    Timer,
    TimerFired,
    Viewer,
)
from fernweir.journal.events import What

if TYPE_CHECKING:  # observers, which a front may do without
    from fernweir.control.overlay import Overlay
    from fernweir.front.explain import ExplainingController
    from fernweir.journal.store import Journal

_NEVER_RAN = (Result.FULL, Result.CONNECT_FAILED, Result.MOOT)
_ANSWERED = {
    Kind.PLAYS: What.PLAYS,
    Kind.REFUSED: What.REFUSED,
    Kind.FAILED: What.FAILED,
    Kind.CONFLICT: What.CONFLICT,
}
_NAMED_BOX = re.compile(r"server (\d+)")
_NOTES = {"x0": NoteKind.LINK, "x1": NoteKind.UPLINK}


class Phase(Enum):
    GATED = "gated"
    ASKED = "asked"
    OUT = "out"
    PLAYING = "playing"


@dataclass(frozen=True, slots=True)
class HostLimits:
    """Times in milliseconds. `margin` is kept of each viewer's wait for the answer's way back.

    `linger` is how long what was set up for a viewer who left is kept for its return; with 0 nobody
    returns to a session, and an attempt that nobody waits for is released at once.
    """

    margin_ms: float = 40.0
    linger_ms: float = 2_000.0
    remembered: int = 65_536
    held_retry_ms: float = 5_000.0  # when to come again for what an operator holds back
    admit_share: float = 0.5  # of a viewer's wait, for the verdict: a set-up must fit into the rest


@dataclass(slots=True, eq=False)
class Held:
    """One session, from the first request with its token until the module is told of its end."""

    ask: Ask
    number: int
    key: int
    phase: Phase = Phase.ASKED
    tickets: list[int] = field(default_factory=list)
    leaving: set[int] = field(default_factory=set)  # of these, whose viewers ended their side; only while OUT
    may_have_run: bool = False  # an attempt of it ended so that it may stand at a box unseen
    attempts: int = 0
    server: int = -1
    rung: int = 0
    sent_rung: int = 0
    payload: object = None
    last: Result | None = None
    answer_by: float = 0.0
    moved: bool = False
    told: int = 0  # viewers who heard that it plays
    answerable: bool = True

    @property
    def attempt(self) -> int:
        return self.attempts - 1

    @property
    def waited_for(self) -> bool:
        """Whether somebody waits who has not ended its side: only for such an attempt may begin."""
        return any(ticket not in self.leaving for ticket in self.tickets)


@dataclass(slots=True)
class HostCounts:
    plays: int = 0
    refused: int = 0
    failed: int = 0
    joined: int = 0
    conflicts: int = 0
    set_ups: int = 0
    released: int = 0
    batches: int = 0


Watcher = Callable[[float, list[Event], list[Action]], None]


class Observer(Protocol):
    """Who is told of what happens to sessions, in order; a front that stands alone has none."""

    def placed(self, now: float, held: Held) -> None:
        """An attempt leaves for a box."""

    def stands(self, now: float, held: Held) -> None:
        """It plays; or its rung, or how often its viewers were told, has changed."""

    def moved(self, now: float, held: Held) -> None: ...

    def turned_away(self, now: float, ask: Ask, why: str) -> None:
        """A request was answered otherwise than that its session plays."""

    def over(self, now: float, held: Held, why: str) -> None:
        """It is held no more, whether it had played or not."""

    def listed(self, now: float, update: ListUpdate) -> None: ...


class Host:
    """See the module's page. `watch` is shown every batch, for recording."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        limits: HostLimits | None = None,
        watch: Watcher | None = None,
        *,
        gated: bool = False,
        journal: Journal | None = None,
        turned_away: Callable[[Ask], str] | None = None,
        overlay: Overlay | None = None,
    ) -> None:
        self.settings = settings
        self.limits = limits or HostLimits()
        self.journal = journal
        self._overlay = overlay
        self._turned_away = turned_away  # says why a new session may not begin, or nothing
        self._explaining: ExplainingController | None = None
        if journal is not None:  # only who keeps a journal pays for the reasons in it
            from fernweir.front.explain import ExplainingController

            self._explaining = ExplainingController(settings, seed)
        self.controller = self._explaining or Controller(settings, seed)
        self.ledger = Ledger()
        self.counts = HostCounts()
        self.closing = False
        self.observer: Observer | None = None
        self.held_back: tuple[str, float] | None = None  # why no new session may begin, and for how long, ms
        self._watch = watch
        self._gated = gated
        self._held: dict[str, Held] = {}
        self._by_number: dict[int, Held] = {}
        self._at_server: dict[int, dict[str, Held]] = {}
        self._by_ticket: dict[int, Held] = {}
        self._states: dict[int, ServerState] = {}
        self._doubtful: set[int] = set()
        self._listed: dict[int, tuple[ServerState, float]] = {}
        self._now = 0.0
        self._events: list[Event] = []
        self._abandoned: dict[int, None] = {}  # since the last batch
        self._out: list[Command] = []
        self._next_number = 1
        self._lingering: list[tuple[float, str, int]] = []
        self._past: OrderedDict[str | int, tuple[int, bool]] = OrderedDict()

    # --- what the shells tell ---

    def ask(self, now: float, ask: Ask) -> None:
        """A request was taken. A token that is known joins its session: there is no second set-up."""
        self._now = now
        self.ledger.open(ask.ticket, now + max(ask.wait_ms - self.limits.margin_ms, 0.0))
        held = self._held.get(ask.jti)
        if held is None:
            if self.closing:
                self._answer(Answer(ask.ticket, Kind.REFUSED, "front is stopping", 0.0), ask)
                return
            why, wait_ms = self._held_off(ask)
            if why:
                self.counts.refused += 1
                self._answer(Answer(ask.ticket, Kind.REFUSED, why, wait_ms), ask)
                return
            self._begin(now, ask)
            return
        if (held.ask.title, held.ask.cls, held.ask.via) != (ask.title, ask.cls, ask.via):
            self.counts.conflicts += 1
            why = "session id is in use for another title or class"
            self._answer(Answer(ask.ticket, Kind.CONFLICT, why), ask)
            return
        if held.phase is Phase.PLAYING and (held.server in self._doubtful or not held.answerable):
            # It comes again while its box says nothing: it does not play there, whatever the account says.
            why = "its box fell silent" if held.answerable else "what it was answered from is lost"
            self._release(held, why)
            self._end(held, Result.RESET, why)
            self._begin(now, ask)
            return
        self.counts.joined += 1
        if held.phase is Phase.PLAYING:
            self._plays(held, ask.ticket)
        else:
            held.tickets.append(ask.ticket)
            self._by_ticket[ask.ticket] = held

    def take_over(
        self, now: float, ask: Ask, server: int, *, attempt: int = 0, rung: int | None = None,
        payload: object = None, told: int = 1, answerable: bool = True,
    ) -> bool:  # fmt: skip
        """A session that plays there, placed by another front or before this one's start.

        `attempt` is the one that set it up, `rung` what it plays where that is known, `payload` what its
        viewers are answered from; where that was lost, it is not `answerable`: it plays on, and begins anew
        if its viewer asks again. False if it is held, or its box is gone.
        """
        if ask.jti in self._held or self._states.get(server, ServerState.GONE) is ServerState.GONE:
            return False
        held = self._hold(now, ask)
        held.phase, held.server, held.attempts, held.told = Phase.PLAYING, server, attempt + 1, told
        held.payload, held.answerable = payload, answerable
        self._at_server.setdefault(server, {})[ask.jti] = held
        self._events.append(TakenOver(self._viewer(now, held), server))
        if rung is not None:
            held.rung = held.sent_rung = rung
            self._events.append(Note(held.number, server, attempt, NoteKind.RUNG, float(rung)))
        if not told:
            self._linger(now, held)
        if self._gated:  # its seat is to move here; it plays on until that is refused
            self._out.append(Admit(ask, now + self.settings.classes[ask.cls].deadline_ms))
        return True

    def let_go(self, now: float, jti: str) -> bool:
        """A session that plays is another front's from now on: neither box nor viewer is told of an end.

        False if it does not play here.
        """
        held = self._held.get(jti)
        if held is None or held.phase is not Phase.PLAYING:
            return False
        self._now = now
        self._close(held, Result.CANCELLED, "another front's now", let_go=True)
        return True

    def withdraw(self, now: float, ticket: int) -> None:
        """The viewer of a request is gone. The attempt that is out may still be wanted when it returns."""
        self._now = now
        held = self._by_ticket.pop(ticket, None)
        if self.ledger.leave(ticket) and held is not None:
            held.tickets.remove(ticket)
            self._unwanted(held, "its viewer left")

    def leave(self, now: float, ticket: int) -> None:
        """The viewer of a request ended its side, though it may still read: no attempt begins for it.

        What the module or the gate still holds is answered at once. An attempt that is out may end, and is
        answered if it plays; one whose first byte has not left is `still_wanted` only if others wait.
        """
        held = self._by_ticket.get(ticket)
        if held is None:
            return
        self._now = now
        held.leaving.add(ticket)
        if held.phase is not Phase.OUT:
            self._send_off(held)
            self._unwanted(held, "its viewer left")

    def unheard(self, now: float, answer: Answer) -> None:
        """A viewer left while word that its session plays was on its way: as if it had left before."""
        held = self._held.get(answer.session.jti) if answer.session is not None else None
        if held is None or held.phase is not Phase.PLAYING or held.attempt != answer.attempt:
            return
        self._now = now
        held.told -= 1
        if held.told:
            return
        if self.limits.linger_ms > 0.0:
            self._linger(now, held)
        else:
            self._release(held, "its viewer left")
            self._close(held, Result.CANCELLED, "its viewer left")

    def set_up_done(self, now: float, jti: str, attempt: int, end: SetUpResult) -> None:
        """The one end of an attempt. One that comes for a session no longer held is released."""
        held = self._held.get(jti)
        if held is None or held.phase is not Phase.OUT or held.attempt != attempt:
            return
        self._now = now
        if end.result is Result.OK:
            self._start(now, held, end)
            return
        if end.result not in _NEVER_RAN:
            held.may_have_run = True
            self._release(held, f"set-up ended as {RESULT_WORDS[end.result]}")
        held.last = end.result
        held.phase = Phase.ASKED
        why = RESULT_WORDS[end.result] + (f": {end.why}" if end.why else "")
        self._write_down(What.FAILED_TRY, held, why=why, more={"took_ms": round(end.took_ms, 1)})
        self._leave_server(held)
        report = tuple(end.report[name] for name in self.settings.report_fields if name in end.report)
        if len(report) < len(self.settings.report_fields):
            report = ()
        self._send_off(held)
        if not held.tickets:  # nobody waits: the module must not place it again
            self._abandoned[held.number] = None
            self._forget(held, "nobody waited any more")
        self._events.append(
            Ended(held.number, held.server, attempt, end.result, not held.tickets, end.took_ms, report)
        )

    def admitted(self, now: float, jti: str, plays: bool, why: str = "", retry_after_ms: float = 0.0) -> None:
        """The verdict on a session that was to be admitted."""
        held = self._held.get(jti)
        if held is not None and held.phase is Phase.PLAYING and not plays:  # taken over without a seat
            self.revoke(now, jti, why)
            return
        if held is None or held.phase is not Phase.GATED:
            return
        self._now = now
        if plays:
            self._arrive(now, held)
            return
        self._turn_away(held, why, retry_after_ms)
        self._forget(held, why)

    def revoke(self, now: float, jti: str, why: str) -> None:
        """A session may no longer play: it ends at its box, for this reason."""
        held = self._held.get(jti)
        if held is None:
            return
        self._now = now
        if held.phase is Phase.PLAYING:
            self._release(held, why, after_segment=True)
            self._end(held, Result.CANCELLED, why)
        elif held.phase is not Phase.OUT:  # what is out is seen through; nobody waits for it any more
            self._turn_away(held, why, 0.0)
            self._unwanted(held, why)
        else:
            self._turn_away(held, why, 0.0)

    def still_wanted(self, jti: str, attempt: int) -> bool:
        """Asked at the last moment before an attempt's first byte leaves: drains and ends stop it there.

        So does it if nobody waits any more but those who ended their side. Who drops and comes again finds
        what had left already.
        """
        held = self._held.get(jti)
        if held is None or held.phase is not Phase.OUT or held.attempt != attempt:
            return False
        return held.waited_for and self._states.get(held.server) is ServerState.READY

    def session_over(self, now: float, jti: str, attempt: int, result: Result) -> None:
        """A session that played has ended at its box, or with it."""
        held = self._held.get(jti)
        if held is None or held.phase is not Phase.PLAYING or held.attempt != attempt:
            return
        self._now = now
        self._end(held, result, "over" if result is Result.OK else f"over: {RESULT_WORDS[result]}")

    def release(self, now: float, jti: str) -> bool:
        """The viewer ends its session here. False if there is none that plays."""
        held = self._held.get(jti)
        if held is None or held.phase is not Phase.PLAYING:
            return False
        self._now = now
        self._release(held, "ended by its viewer")
        self._end(held, Result.OK, "ended by its viewer", by_viewer=True)
        return True

    def box_lost(self, now: float, server: int) -> int:
        """A box took its sessions with it; tells how many."""
        self._now = now
        lost = [held for held in self._at_server.get(server, {}).values() if held.phase is Phase.PLAYING]
        self._write_down(What.LOST, box=server, more={"sessions": len(lost)})
        for held in lost:
            self._end(held, Result.RESET, "its box was lost")
        return len(lost)

    def box_doubtful(self, server: int, doubtful: bool) -> None:
        """Whether a box that holds sessions has stopped saying anything, though its process may run."""
        if doubtful == (server in self._doubtful):
            return
        if doubtful:
            self._doubtful.add(server)
        else:
            self._doubtful.discard(server)
        self._write_down(What.SILENT if doubtful else What.HEARD, box=server)

    def note(self, now: float, jti: str, attempt: int, kind: NoteKind, level: float) -> None:
        """News from a box on a session; of others it says nothing that the module could place."""
        held = self._held.get(jti)
        if held is not None and held.phase is Phase.PLAYING and held.attempt == attempt:
            self._events.append(Note(held.number, held.server, attempt, kind, level))
            if kind is NoteKind.RUNG and 0 <= level < len(self.settings.rates_kb):
                changed = held.rung != int(level)
                if changed:
                    self._now = now
                    self._write_down(What.RUNG, held, rung=int(level), why="its box")
                held.rung = held.sent_rung = int(level)
                if changed and self.observer is not None:
                    self.observer.stands(now, held)

    def probe_done(
        self, now: float, server: int, result: Result, took_ms: float, report: dict[str, float]
    ) -> None:
        values = tuple(report[name] for name in self.settings.report_fields if name in report)
        self._events.append(
            Probed(server, result, took_ms, values if len(values) == len(self.settings.report_fields) else ())
        )

    def box_list(self, now: float, update: ListUpdate) -> None:
        self._now = now
        if self.journal is not None:
            self._write_down_list(update)
        if self.observer is not None:
            self.observer.listed(now, update)
        self._hear_list(update if self._overlay is None else self._overlay.list_says(update))

    def orders_changed(self, now: float) -> None:
        """An operator's orders changed what the module is told of the list."""
        self._now = now
        update = self._overlay.orders_changed() if self._overlay is not None else None
        if update is not None:
            self._hear_list(update)

    def _hear_list(self, update: ListUpdate) -> None:
        self._events.append(update)
        if update.kind in (ListKind.CACHED, ListKind.FULL):
            self._states = {}
        for entry in update.entries:
            if entry.state is ServerState.GONE:
                self._states.pop(entry.server, None)
            else:
                self._states[entry.server] = entry.state

    def timer_fired(self, now: float, token: int) -> None:
        self._events.append(TimerFired(token))

    def close(self) -> None:
        """Nothing new is taken from now on; what was taken is still answered."""
        self.closing = True

    def give_up(self, now: float) -> None:
        """The front is about to end: whatever waits is answered now, and what is out is let go at its box.

        Refused where asking again does no harm, else failed.
        """
        self._now = now
        why = "front is stopping"
        for held in [one for one in self._held.values() if one.tickets]:
            held.leaving.update(held.tickets)
            self._send_off(held, why)
            self._unwanted(held, why)

    # --- what the shells ask ---

    @property
    def sessions(self) -> int:
        return len(self._held)

    def playing_at(self, server: int) -> dict[str, int]:
        """Sessions that play at a box, with the attempt that set each up."""
        there = self._at_server.get(server, {})
        return {jti: held.attempt for jti, held in there.items() if held.phase is Phase.PLAYING}

    def session(self, jti: str) -> Held | None:
        return self._held.get(jti)

    def held(self) -> dict[str, Held]:
        """All sessions by their token's id; not to be changed."""
        return self._held

    @property
    def listed(self) -> dict[int, ServerState]:
        """What the list says of each box, whatever operators have ordered."""
        return self._states if self._overlay is None else self._overlay.listed

    def count_by(self, lesson: str, tenant: str) -> dict[str, int]:
        """Sessions held now of a lesson and of a tenant, as limits name them."""
        asks = [held.ask for held in self._held.values()]
        return {
            f"lesson:{lesson}": sum(ask.title_name == lesson for ask in asks),
            f"tenant:{tenant}": sum(ask.tenant == tenant for ask in asks),
        }

    def next_due(self) -> float | None:
        """When `step` must be called at the latest, though nothing happens before."""
        due = self.ledger.next_due()
        if self._lingering and (due is None or self._lingering[0][0] < due):
            return self._lingering[0][0]
        return due

    # --- one batch ---

    def step(self, now: float) -> list[Command]:
        """Hands what happened to the module, and returns what is to be done, in order."""
        self._now = now
        self._expire(now)
        events = self._batch()
        if events:
            self.counts.batches += 1
            actions = self.controller.handle(now, events)
            if self._watch is not None:
                self._watch(now, events, actions)
            for action in actions:
                self._carry_out(action)
        out, self._out = self._out, []
        return out

    def _batch(self) -> list[Event]:
        """What happened, in order, but for sessions that nobody waits for any more: that is told first.

        What came before it in this batch (its arrival, the end of an attempt, a probe's) would make the
        module place a session that is known here no longer, and it would hold it for ever.
        """
        events, self._events = self._events, []
        gone, self._abandoned = self._abandoned, {}
        if not gone:
            return events
        heard = [one for one in events if not (isinstance(one, Arrival) and one.viewer.session in gone)]
        return [*map(Abandoned, gone), *heard]

    def _expire(self, now: float) -> None:
        for ticket in self.ledger.overdue(now):
            held = self._by_ticket.pop(ticket, None)
            self.counts.failed += 1
            ask = held.ask if held is not None else None
            self._answer(Answer(ticket, Kind.FAILED, "no answer in time", timed_out=True), ask)
            if held is not None:
                held.tickets.remove(ticket)
                self._unwanted(held, "no answer in time")
        while self._lingering and self._lingering[0][0] <= now:
            _, jti, number = heapq.heappop(self._lingering)
            held = self._held.get(jti)
            if held is not None and held.number == number and not held.told:
                self._release(held, "its viewer did not come back")
                self._end(held, Result.CANCELLED, "its viewer did not come back")

    def _carry_out(self, action: Action) -> None:
        if isinstance(action, Timer):
            self._out.append(Arm(action.token, action.after_ms))
        elif isinstance(action, Probe):
            self._out.append(SendProbe(action.server))
        elif isinstance(action, Subscribe):
            self._out.append(Follow(action.active))
        elif isinstance(action, Log):
            named = _NAMED_BOX.search(action.text)
            self._out.append(Say(action.text, box=int(named[1]) if named else None))
        else:
            held = self._by_number.get(action.session)
            if held is not None:
                self._on_session(held, action)

    def _on_session(self, held: Held, action: Place | SetRung | Move | Refuse | Fail) -> None:
        if isinstance(action, SetRung):
            held.rung = action.rung
            if held.phase is Phase.PLAYING:
                self._send_rung(held)
        elif isinstance(action, Place):
            held.attempts += 1
            held.phase, held.server, held.sent_rung = Phase.OUT, action.server, held.rung
            self._at_server.setdefault(action.server, {})[held.ask.jti] = held
            self.counts.set_ups += 1
            if self.journal is not None:
                self._write_down_choice(held)
            if self.observer is not None:
                self.observer.placed(self._now, held)
            self._out.append(SetUp(held.ask, held.attempt, action.server, held.rung, action.timeout_ms))
        elif isinstance(action, Move):
            self._write_down(What.MOVED, held)
            if self.observer is not None:
                self.observer.moved(self._now, held)
            self._release(held, "moved")
            self._end(held, Result.CANCELLED, "moved", moved=True)
        else:
            self._give_up(held, action)

    def _give_up(self, held: Held, action: Refuse | Fail) -> None:
        tickets, held.tickets = held.tickets, []
        detail: dict[str, object] = {}
        if self._explaining is not None:
            reason = self._explaining.take_reason(held.number)
            detail = {"detail": reason.why, "passed": [list(one) for one in reason.passed]}
        for ticket in tickets:
            del self._by_ticket[ticket]
            if isinstance(action, Refuse):
                self.counts.refused += 1
                why = "no box has room" if held.last is None else "set-up failed and may not be tried again"
                answer = Answer(ticket, Kind.REFUSED, why, action.retry_after_ms, session=held.ask)
            else:
                self.counts.failed += 1
                late = held.last is Result.TIMEOUT
                answer = Answer(ticket, Kind.FAILED, "set-up failed", timed_out=late, session=held.ask)
            self._answer(answer, held.ask, detail)
        self._forget(held, "refused" if isinstance(action, Refuse) else "failed")

    # --- pieces ---

    def _held_off(self, ask: Ask) -> tuple[str, float]:
        """Why a new session may not begin, and when to come again, ms; an empty reason if it may."""
        if self.held_back is not None:
            return self.held_back
        why = self._turned_away(ask) if self._turned_away is not None else ""
        return why, self.limits.held_retry_ms

    def _hold(self, now: float, ask: Ask) -> Held:
        key, moved = self._past.pop(ask.key or ask.jti, (0, False))
        held = Held(ask, self._next_number, ask.key or key or self._next_number)
        self._next_number = self._next_number % 0xFFFFFFFF + 1
        self._held[ask.jti] = self._by_number[held.number] = held
        held.answer_by, held.moved = now + ask.wait_ms, moved
        return held

    def _begin(self, now: float, ask: Ask) -> None:
        held = self._hold(now, ask)
        held.tickets.append(ask.ticket)
        self._by_ticket[ask.ticket] = held
        self._write_down(What.ASKED, held)
        if self._gated:
            held.phase = Phase.GATED
            self._out.append(Admit(ask, now + ask.wait_ms * self.limits.admit_share))
        else:
            self._arrive(now, held)

    def _arrive(self, now: float, held: Held) -> None:
        held.phase = Phase.ASKED
        self._events.append(Arrival(self._viewer(now, held)))

    def _viewer(self, now: float, held: Held) -> Viewer:
        ask = held.ask
        return Viewer(
            session=held.number,
            cls=ask.cls,
            key=held.key,
            title=ask.title,
            first_cell=ask.first_cell,
            copies=ask.copies,
            top_rung=ask.top_rung,
            length_ms=None,
            left_ms=max(held.answer_by - now - 2.0 * self.limits.margin_ms, 0.0),
            moved=held.moved,
            returning=ask.returning if ask.key else held.key != held.number,
        )

    def _start(self, now: float, held: Held, end: SetUpResult) -> None:
        held.phase, held.payload, held.last = Phase.PLAYING, end.payload, None
        self._write_down(What.STARTED, held, rung=held.sent_rung, more={"took_ms": round(end.took_ms, 1)})
        self._events.append(Started(held.number, held.server, held.attempt, end.took_ms))
        for name, kind in _NOTES.items():
            if name in end.report and (name == "x0" or name in self.settings.report_fields):
                self._events.append(Note(held.number, held.server, held.attempt, kind, end.report[name]))
        if held.rung != held.sent_rung:
            self._send_rung(held)
        tickets, held.tickets = held.tickets, []
        held.leaving.clear()
        for ticket in tickets:
            del self._by_ticket[ticket]
            self._plays(held, ticket)
        if not tickets:
            self._linger(now, held)
        if self.observer is not None:
            self.observer.stands(now, held)

    def _linger(self, now: float, held: Held) -> None:
        heapq.heappush(self._lingering, (now + self.limits.linger_ms, held.ask.jti, held.number))

    def _plays(self, held: Held, ticket: int) -> None:
        held.told += 1
        if held.told > 1 and self.observer is not None:
            self.observer.stands(self._now, held)
        self.counts.plays += 1
        self._answer(
            Answer(
                ticket,
                Kind.PLAYS,
                session=held.ask,
                server=held.server,
                attempt=held.attempt,
                rung=held.rung,
                payload=held.payload,
            ),
            held.ask,
        )

    def _turn_away(self, held: Held, why: str, retry_after_ms: float) -> None:
        tickets, held.tickets = held.tickets, []
        for ticket in tickets:
            del self._by_ticket[ticket]
            self.counts.refused += 1
            self._answer(Answer(ticket, Kind.REFUSED, why, retry_after_ms, session=held.ask), held.ask)

    def _send_off(self, held: Held, why: str = "its viewer left") -> None:
        """Answers those who ended their side. A refusal says that asking again does no harm."""
        ran = held.may_have_run or held.phase is Phase.OUT
        once = ran and self.settings.classes[held.ask.cls].effect is not Effect.REPEATABLE
        for ticket in [one for one in held.tickets if one in held.leaving]:
            held.tickets.remove(ticket)
            del self._by_ticket[ticket]
            if once:
                self.counts.failed += 1
                late = held.last is Result.TIMEOUT
                answer = Answer(ticket, Kind.FAILED, why, timed_out=late, session=held.ask)
            else:
                self.counts.refused += 1
                answer = Answer(ticket, Kind.REFUSED, why, session=held.ask)
            self._answer(answer, held.ask)
        held.leaving.clear()

    def _answer(self, answer: Answer, ask: Ask | None, detail: dict[str, object] | None = None) -> None:
        self.ledger.answer(answer.ticket)
        self._out.append(answer)
        if self.observer is not None and ask is not None and answer.kind is not Kind.PLAYS:
            self.observer.turned_away(self._now, ask, answer.why)
        if self.journal is not None and ask is not None:
            self.journal.add(
                self._now, _ANSWERED[answer.kind], session=ask.jti, lesson=ask.title_name,
                cls=self.settings.classes[ask.cls].name, tenant=ask.tenant, box=answer.server,
                why=answer.why, more=detail,
            )  # fmt: skip

    def _unwanted(self, held: Held, why: str) -> None:
        """After its last waiter left: what the module only holds is dropped, what is out is seen through."""
        if held.phase is Phase.GATED and not held.tickets:
            self._forget(held, why)
        elif held.phase is Phase.ASKED and not held.tickets:
            self._abandoned[held.number] = None
            self._forget(held, why)
        elif held.phase is Phase.OUT and not held.tickets and self.limits.linger_ms <= 0.0:
            self._abandoned[held.number] = None
            self._release(held, why)
            self._close(held, Result.CANCELLED, why)

    def _send_rung(self, held: Held) -> None:
        held.sent_rung = held.rung
        self._write_down(What.RUNG, held, rung=held.rung, why="this front")
        if self.observer is not None:
            self.observer.stands(self._now, held)
        self._out.append(ChangeRung(held.ask.jti, held.attempt, held.server, held.rung))

    def _release(self, held: Held, why: str, after_segment: bool = False) -> None:
        self.counts.released += 1
        self._out.append(Release(held.ask.jti, held.attempt, held.server, why, after_segment))

    def _end(
        self, held: Held, result: Result, why: str, moved: bool = False, by_viewer: bool = False
    ) -> None:
        self._out.append(Over(held.ask, result, why, moved, by_viewer))
        self._close(held, result, why, moved)

    def _close(self, held: Held, result: Result, why: str, moved: bool = False, let_go: bool = False) -> None:
        self._events.append(Ended(held.number, held.server, held.attempt, result, True, 0.0, ()))
        self._leave_server(held)
        self._forget(held, why, moved, let_go)

    def _leave_server(self, held: Held) -> None:
        there = self._at_server.get(held.server)
        if there is not None:
            there.pop(held.ask.jti, None)
            if not there:
                del self._at_server[held.server]

    def _forget(self, held: Held, why: str, moved: bool = False, let_go: bool = False) -> None:
        self._write_down(What.ENDED, held, why=why)
        if self.observer is not None:
            self.observer.over(self._now, held, why)
        self._held.pop(held.ask.jti, None)
        self._by_number.pop(held.number, None)
        if self._gated:
            self._out.append(Left(held.ask.jti, let_go))
        # A viewer who comes again is known to the module by its key; one that brings it, only if moved.
        if held.ask.key and not moved:
            return
        self._past[held.ask.key or held.ask.jti] = (held.key, moved)
        if len(self._past) > self.limits.remembered:
            self._past.popitem(last=False)

    # --- the journal ---

    def _write_down(
        self, what: What, held: Held | None = None, *, box: int | None = None, rung: int = -1, why: str = "",
        more: dict[str, object] | None = None,
    ) -> None:  # fmt: skip
        if self.journal is None:
            return
        if held is None:
            self.journal.add(self._now, what, box=-1 if box is None else box, why=why, more=more)
            return
        ask, there = held.ask, held.phase in (Phase.OUT, Phase.PLAYING) or what is What.FAILED_TRY
        self.journal.add(
            self._now, what, session=ask.jti, lesson=ask.title_name, cls=self.settings.classes[ask.cls].name,
            tenant=ask.tenant, box=held.server if there else -1, attempt=held.attempt if there else -1,
            rung=rung, why=why, more=more,
        )  # fmt: skip

    def _write_down_choice(self, held: Held) -> None:
        assert self._explaining is not None
        reason = self._explaining.take_reason(held.number)
        more = {
            "passed": [list(one) for one in reason.passed],
            "link": reason.link,
            "uplink": reason.uplink,
        }
        self._write_down(What.SETUP, held, rung=held.rung, why=reason.why, more=more)

    def _write_down_list(self, update: ListUpdate) -> None:
        """Boxes whose state or life changed, and those that a whole list no longer names."""
        if update.kind in (ListKind.CACHED, ListKind.FULL):
            named = {entry.server for entry in update.entries}
            for server in [server for server in self._listed if server not in named]:
                del self._listed[server]
                self._write_down(What.BOX, box=server, why="unlisted")
        for entry in update.entries:
            now = (entry.state, entry.started_at)
            if self._listed.get(entry.server) != now:
                self._listed[entry.server] = now
                start = f"{entry.started_at:.0f}" if entry.started_at else ""
                why = STATE_WORDS[entry.state]
                self._write_down(What.BOX, box=entry.server, why=why, more={"start": start})
