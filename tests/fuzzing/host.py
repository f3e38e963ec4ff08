"""The host against accounts kept by hand, under any order of what shells, boxes, viewers and peers can do.

- Each ticket has one answer, in its time, and none after its viewer left.
- What an observer is told folds to what is held; each life of a session is over once.
- A session that was let go is not held, and nothing is said to its box or its viewers any more.
- What runs at a box plays here, or was released, or is another's: nothing is forgotten there.
- `take_over` and `let_go` say yes exactly where they may.

Where nobody returns to a session (a linger of 0), a token comes once only, as the node's ids do.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from random import Random

from fernweir.front.commands import (
    CheckEntitlement,
    Command,
    EntitlementReleased,
    ReleaseSession,
    ReplyKind,
    SendHealthCheck,
    SessionOver,
    SessionReply,
    SessionRequest,
    SetUp,
    SetUpResult,
)
from fernweir.front.session_manager import SessionLimits, SessionManager, SessionPhase, SessionRecord
from fernweir.interface import EndpointListKind, EndpointListUpdate, NoticeKind, Result, ServerState
from tests.fuzzing import Finding, Tape, Target, same
from tests.helpers import SETTINGS, entry

Run = tuple[str, int, int]  # token, attempt, box
_DOUBT = (Result.TIMEOUT, Result.ERROR, Result.RESET, Result.CANCELLED)
_LINGER_MS = 500.0


@dataclass(slots=True)
class Seen:
    """A session as an observer knows it."""

    phase: SessionPhase
    attempt: int
    server: int
    told: int = 0


class Fold:
    """An observer: `held` is what follows from what it was told."""

    def __init__(self) -> None:
        self.held: dict[str, Seen] = {}
        self.ended: list[str] = []
        self.turned: int = 0

    def on_attempt_started(self, now: float, held: SessionRecord) -> None:
        self.held[held.request.session_id] = Seen(SessionPhase.IN_FLIGHT, held.attempt, held.server)

    def on_session_updated(self, now: float, held: SessionRecord) -> None:
        self.held[held.request.session_id] = Seen(
            SessionPhase.PLAYING, held.attempt, held.server, held.informed_viewers
        )

    def on_session_moved(self, now: float, held: SessionRecord) -> None:
        same(held.request.session_id in self.held, True, "moved, and not held")

    def on_request_rejected(self, now: float, ask: SessionRequest, why: str) -> None:
        self.turned += 1

    def on_session_closed(self, now: float, held: SessionRecord, why: str) -> None:
        self.held.pop(held.request.session_id, None)
        self.ended.append(held.request.session_id)

    def on_endpoint_list(self, now: float, update: EndpointListUpdate) -> None:
        pass


class Story:
    def __init__(self, tape: Tape) -> None:
        self.tape, self.now, self.tickets, self.tokens = tape, 1_000.0, 0, 0
        self.gated, self.returns = tape.below(2) > 0, tape.below(2) > 0
        settings = replace(SETTINGS, may_check_health=tape.below(2) > 0)
        limits = SessionLimits(unclaimed_session_ttl_ms=_LINGER_MS if self.returns else 0.0)
        self.host = SessionManager(settings, 7, limits, checks_entitlement=self.gated)
        self.fold = Fold()
        self.host.observer = self.fold
        self.states = dict.fromkeys((1, 2, 3), ServerState.READY)
        self.tell(tuple(self.states))
        self.due: dict[int, float] = {}
        self.refused_or_failed = 0
        self.out: dict[str, SetUp] = {}
        self.runs: set[Run] = set()
        self.cut: set[Run] = set()  # released before their end came
        self.gone: set[Run] = set()  # ended in this turn: what is said of them crosses that
        self.given: list[SessionRequest] = []  # let go in this turn
        self.asked: list[CheckEntitlement] = []
        self.admitted: set[str] = set()  # who still owes a `Left`
        self.lives = 0
        self.plays: list[SessionReply] = []  # said in this turn
        self.probes: list[int] = []
        self.step()

    def tell(self, boxes: tuple[int, ...]) -> None:
        entries = tuple(entry(box, zone=box, state=self.states[box]) for box in boxes)
        self.host.on_endpoint_list(self.now, EndpointListUpdate(EndpointListKind.DELTA, 2, entries))

    # --- commands ---

    def step(self) -> None:
        self.plays = []
        for command in self.host.step(self.now):
            self.do(command)
        self.gone.clear()
        self.given.clear()

    def do(self, command: Command) -> None:
        if isinstance(command, SessionReply):
            due = self.due.pop(command.ticket, None)
            if due is None or self.now > due:
                raise Finding(f"{command} comes twice, late, or to nobody")
            self.refused_or_failed += command.kind is not ReplyKind.PLAYS
            if command.kind is ReplyKind.PLAYS:
                self.plays.append(command)
        elif isinstance(command, SetUp):
            jti = command.request.session_id
            if jti in self.out or self.host.records()[jti].phase is not SessionPhase.IN_FLIGHT:
                raise Finding(f"two attempts of {jti}")
            if self.host.is_attempt_wanted(jti, command.attempt):
                self.out[jti] = command
            else:
                end = SetUpResult(Result.NOT_SENT, 1.0, {})
                self.host.on_attempt_finished(self.now, jti, command.attempt, end)
        elif isinstance(command, ReleaseSession):
            run = (command.session_id, command.attempt, command.server)
            out = self.out.get(command.session_id)
            if run in self.runs:
                self.runs.discard(run)
            elif out is not None and (out.attempt, out.server) == run[1:]:
                self.cut.add(run)
            elif run not in self.gone:
                raise Finding(f"{run} is released, and does not run")
        elif isinstance(command, SessionOver):
            if any(command.request is ask for ask in self.given):
                raise Finding(f"{command} was let go")
        elif isinstance(command, CheckEntitlement):
            if command.request.session_id in self.admitted:
                raise Finding(f"{command.request.session_id} is admitted twice")
            self.admitted.add(command.request.session_id)
            self.asked.append(command)
        elif isinstance(command, EntitlementReleased):
            if command.session_id not in self.admitted:
                raise Finding(f"{command.session_id} left, and was not there")
            self.admitted.discard(command.session_id)
        elif isinstance(command, SendHealthCheck):
            self.probes.append(command.server)

    def pass_(self, ms: float) -> None:
        self.step()
        end = self.now + ms
        while (due := self.host.next_deadline()) is not None and due < end:
            self.now = max(due, self.now)
            self.step()
        self.now = end
        self.step()

    # --- events ---

    def play(self) -> None:
        tape, host, now = self.tape, self.host, self.now
        what, jti = tape.below(20), self.token()
        held = host.session(jti)
        playing = held is not None and held.phase is SessionPhase.PLAYING
        if what <= 3:
            self.ask(jti if self.returns else self.fresh())
        elif what == 4 and self.due:
            ticket = tape.one(sorted(self.due))
            if ticket in host.reply_ledger:
                del self.due[ticket]
            host.withdraw_request(now, ticket)
        elif what <= 8 and self.out:
            self.end(self.out.pop(tape.one(sorted(self.out))))
        elif what == 9 and playing:
            assert held is not None
            self.ended((jti, held.attempt, held.server))
            host.on_session_ended(now, jti, held.attempt, tape.one((Result.OK, Result.RESET)))
        elif what == 10:
            same(host.release_session(now, jti), playing, jti)
        elif what == 11:
            self.let_go(jti, held, playing)
        elif what == 12:
            self.take_over(jti if self.returns else self.fresh())
        elif what == 13:
            box = 1 + tape.below(3)
            self.states[box] = tape.one((ServerState.READY, ServerState.DRAINING, ServerState.REMOVED))
            self.tell((box,))
        elif what == 14:
            box = 1 + tape.below(3)
            if tape.below(2):
                seen = self.fold.held.values()
                lost = sum((one.phase, one.server) == (SessionPhase.PLAYING, box) for one in seen)
                self.gone |= {one for one in self.runs if one[2] == box}
                self.runs = {one for one in self.runs if one[2] != box}
                same(host.on_server_lost(now, box), lost, "sessions that a box takes with it")
            else:
                host.on_server_silence_changed(box, tape.below(2) > 0)
        elif what == 15 and self.asked:
            verdict = self.asked.pop(tape.below(len(self.asked)))
            host.on_entitlement_decided(now, verdict.request.session_id, tape.below(3) > 0, "no seat", 100.0)
        elif what == 16:
            if tape.below(2):
                host.revoke_session(now, jti, "lapsed")
            elif held is not None:
                host.on_server_notice(now, jti, tape.below(3), NoticeKind.RUNG, float(tape.below(5)))
        elif what == 17 and self.plays:
            host.on_reply_undelivered(now, self.plays.pop())
        elif what == 18 and self.probes:
            result = Result.OK if tape.below(2) else Result.TIMEOUT
            host.on_health_check_finished(now, self.probes.pop(), result, 1.0, {"x0": 0.2, "x1": 0.2})
        else:
            host.on_timer(now, 1)
        if tape.below(2):
            self.pass_(tape.one((0.0, 1.0, 30.0, 250.0, 600.0, 4_000.0)))

    def ended(self, run: Run) -> None:
        self.runs.discard(run)
        self.gone.add(run)

    def token(self) -> str:
        if self.returns or not self.host.records():
            return self.tape.one("abcd")
        return self.tape.one(sorted(self.host.records()))

    def fresh(self) -> str:
        self.tokens += 1
        return f"n{self.tokens}"

    def request(self, jti: str, wait_ms: float) -> SessionRequest:
        cls = self.tape.below(2)
        return SessionRequest(self.tickets, "dash", jti, "who", "lesson", 5, 0, 4, cls, 3, wait_ms)

    def ask(self, jti: str) -> None:
        wait = self.tape.one((4_000.0, 400.0, 50.0, 4_000.0))
        self.tickets += 1
        self.due[self.tickets] = self.now + wait
        self.host.request_session(self.now, self.request(jti, wait))

    def end(self, setup: SetUp) -> None:
        jti, result = setup.request.session_id, self.tape.one((Result.OK, Result.OK, *Result))
        run = (jti, setup.attempt, setup.server)
        if run in self.cut:
            self.cut.discard(run)
        elif result is Result.OK or result in _DOUBT:
            self.runs.add(run)
        else:
            self.gone.add(run)
        payload = "manifest" if result is Result.OK else None
        self.host.on_attempt_finished(
            self.now, jti, setup.attempt, SetUpResult(result, 5.0, {"x0": 0.1, "x1": 0.1}, payload)
        )

    def let_go(self, jti: str, held: SessionRecord | None, playing: bool) -> None:
        run = (jti, held.attempt, held.server) if held is not None else ("", 0, 0)
        same(self.host.hand_over_session(self.now, jti), playing, jti)
        if held is not None and playing:
            self.given.append(held.request)
            self.runs.discard(run)  # whatever is said of it from now on is a fault
            same(self.host.session(jti), None, "let go, and held")

    def take_over(self, jti: str) -> None:
        box, attempt = 1 + self.tape.below(4), self.tape.below(3)
        run = (jti, attempt, box)
        free = (
            self.host.session(jti) is None
            and self.states.get(box, ServerState.REMOVED) is not ServerState.REMOVED
        )
        if free and (run in self.runs or run in self.gone or jti in self.out):
            return  # no peer has what this front has not let go of yet
        told, answerable = self.tape.below(2), self.tape.below(4) > 0
        ask = replace(self.request(jti, 0.0), ticket=0)
        rung = self.tape.one((None, 1))
        taken = self.host.adopt_session(
            self.now, ask, box, attempt=attempt, rung=rung, informed_viewers=told, is_answerable=answerable
        )
        same(taken, free, (jti, box))
        if taken:
            self.runs.add(run)
            self.fold.held[jti] = Seen(SessionPhase.PLAYING, attempt, box, told)

    # --- what must hold ---

    def agree(self) -> None:
        held = self.host.records()
        for jti, one in held.items():
            if one.phase in (SessionPhase.IN_FLIGHT, SessionPhase.PLAYING):
                seen = self.fold.held.get(jti)
                ours = (one.phase, one.attempt, one.server)
                same(ours, seen and (seen.phase, seen.attempt, seen.server), jti)
                if one.phase is SessionPhase.PLAYING and (jti, one.attempt, one.server) not in self.runs:
                    raise Finding(f"{jti} plays, and runs nowhere")
        same(sorted(set(self.fold.held) - set(held)), [], "over, and not told")

    def quiet(self) -> None:
        """Nothing of this turn is left to be done: boxes run what is held, and nothing else."""
        held = self.host.records()
        for jti, attempt, server in self.runs:
            one = held.get(jti)
            if one is None or (one.phase, one.attempt, one.server) != (SessionPhase.PLAYING, attempt, server):
                raise Finding(f"{jti} runs at {server}, attempt {attempt}: {one}")
        if self.gated and not set(held) <= self.admitted:
            raise Finding(f"held without a seat asked for: {set(held) - self.admitted}")
        same(self.fold.turned, self.refused_or_failed, "requests turned away")

    def finish(self) -> None:
        for _ in range(12):
            while self.out:
                self.end(self.out.pop(min(self.out)))
            self.pass_(1_000.0)
            self.quiet()
        same(self.due, {}, "requests without an answer")
        same((len(self.host.reply_ledger), self.host._table.by_ticket), (0, {}), "tickets left")
        for jti in list(self.host.records()):
            self.host.revoke_session(self.now, jti, "the end")
        self.pass_(5_000.0)
        for _ in range(3):
            while self.out:
                self.end(self.out.pop(min(self.out)))
            for jti in list(self.host.records()):
                self.host.revoke_session(self.now, jti, "the end")
            self.pass_(5_000.0)
        self.agree()
        same((self.runs, self.admitted, self.host._table.by_server), (set(), set(), {}), "left behind")


def check(data: bytes) -> None:
    tape = Tape(data)
    story = Story(tape)
    while tape.more:
        story.play()
        story.agree()
    story.step()
    story.quiet()
    story.finish()


def draw(dice: Random) -> bytes:
    return dice.randbytes(dice.randrange(20, 600))


TARGET = Target(check, draw)
