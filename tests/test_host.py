"""The host without a loop: one answer a request, one attempt out a session, whatever comes in what order."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import TypeVar
from unittest.mock import Mock, patch

import pytest
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from fernweir.controller import Controller
from fernweir.front.commands import (
    ChangeRung,
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
from fernweir.front.dispatcher import Dispatcher
from fernweir.front.reply_ledger import ReplyLedger, ReplyLedgerError
from fernweir.front.session_manager import SessionLimits, SessionManager, SessionPhase
from fernweir.interface import (
    Action,
    EndpointListKind,
    EndpointListUpdate,
    Event,
    Idempotency,
    NoticeKind,
    Result,
    ServerState,
)
from fernweir.journal.events import EventKind
from fernweir.journal.state_projection import StateProjection
from fernweir.journal.store import Journal, JournalConfig
from tests.helpers import RETRY_BUDGET, SETTINGS, SLOW_START, entry
from tests.sockets import until

ALONE = replace(SETTINGS, may_check_health=False)
SEATS = replace(ALONE, classes=(replace(SETTINGS.classes[0], seats=2), SETTINGS.classes[1]))


Said = TypeVar("Said")


class Desk:
    """A host with a clock that the test moves, and what it said."""

    def __init__(self, settings: object = ALONE, boxes: int = 2, **more: object) -> None:
        limits = SessionLimits(reply_margin_ms=40.0, unclaimed_session_ttl_ms=500.0)
        self.host = SessionManager(settings, 7, limits, **more)  # type: ignore[arg-type]
        self.now, self.tickets, self.said = 1000.0, 0, []  # type: ignore[var-annotated]
        entries = tuple(entry(number, zone=number % 4) for number in range(1, boxes + 1))
        self.host.on_endpoint_list(self.now, EndpointListUpdate(EndpointListKind.FULL, 1, entries))
        self.step(0)

    def step(self, after: float = 1.0) -> list[Command]:
        self.now += after
        said = self.host.step(self.now)
        self.said += said
        return said

    def ask(self, jti: str, **more: object) -> int:
        self.tickets += 1
        ask = SessionRequest(self.tickets, "dash", jti, "who", "lesson", 5, 0, 4, 0, 3, 4000.0)
        self.host.request_session(self.now, replace(ask, **more))  # type: ignore[arg-type]
        return self.tickets

    def done(self, setup: SetUp, result: Result = Result.OK) -> None:
        end = SetUpResult(result, 5.0, {"x0": 0.1, "x1": 0.1}, "manifest" if result is Result.OK else None)
        self.host.on_attempt_finished(self.now, setup.request.session_id, setup.attempt, end)

    def of(self, kind: type[Said]) -> list[Said]:
        return [one for one in self.said if isinstance(one, kind)]

    def answers(self) -> dict[int, ReplyKind]:
        found: dict[int, ReplyKind] = {}
        for answer in self.of(SessionReply):
            assert answer.ticket not in found, "answered twice"
            found[answer.ticket] = answer.kind
        return found


def test_a_token_that_comes_twice_has_one_set_up_and_two_answers() -> None:
    desk = Desk()
    first, second = desk.ask("a"), desk.ask("a")  # in one batch
    desk.step()
    third = desk.ask("a")  # while it is out
    desk.step()
    (setup,) = desk.of(SetUp)
    desk.done(setup)
    desk.step()
    fourth = desk.ask("a")  # while it plays
    desk.step()
    assert desk.answers() == dict.fromkeys((first, second, third, fourth), ReplyKind.PLAYS)
    assert len(desk.of(SetUp)) == 1
    assert {answer.rung for answer in desk.of(SessionReply)} == {setup.rung}
    desk.host.on_session_ended(desk.now, "a", 0, Result.OK)
    desk.ask("a")  # after it ended: a new session of the same viewer
    desk.step()
    assert len(desk.of(SetUp)) == 2


def test_a_token_for_another_title_is_a_conflict() -> None:
    desk = Desk()
    desk.ask("a")
    other = desk.ask("a", title=6)
    desk.step()
    assert desk.answers() == {other: ReplyKind.CONFLICT} and len(desk.of(SetUp)) == 1


def test_a_viewer_who_drops_and_asks_again_finds_its_set_up() -> None:
    desk = Desk()
    gone = desk.ask("a")
    desk.step()
    desk.host.withdraw_request(desk.now, gone)
    desk.step()
    desk.done(desk.of(SetUp)[0])
    desk.step()
    assert desk.answers() == {}
    again = desk.ask("a")
    desk.step(100)
    assert desk.answers() == {again: ReplyKind.PLAYS} and len(desk.of(SetUp)) == 1


def test_what_nobody_comes_back_for_is_released() -> None:
    desk = Desk()
    desk.host.withdraw_request(desk.now, desk.ask("a"))
    desk.ask("b")
    desk.step()
    setups = {setup.request.session_id: setup for setup in desk.of(SetUp)}
    assert set(setups) == {"b"}  # one who left before the batch is never set up
    desk.host.withdraw_request(desk.now, 2)
    desk.done(setups["b"])
    desk.step()
    assert desk.host.next_deadline() is not None  # the shell must wake it
    desk.step(600)
    assert [release.session_id for release in desk.of(ReleaseSession)] == [
        "b"
    ] and desk.host.session_count == 0


def test_who_leaves_while_its_answer_is_on_its_way_is_as_one_who_left_before() -> None:
    desk = Desk()
    desk.ask("a"), desk.ask("a")
    desk.step()
    desk.done(desk.of(SetUp)[0])
    desk.step()
    first, second = desk.of(SessionReply)
    desk.host.on_reply_undelivered(desk.now, first)
    desk.step(600)
    assert desk.host.session_count == 1  # the other heard
    desk.host.on_reply_undelivered(desk.now, second)
    desk.step(400)
    assert desk.host.session_count == 1  # it may come back
    desk.step(200)
    assert [release.session_id for release in desk.of(ReleaseSession)] == [
        "a"
    ] and desk.host.session_count == 0


def test_after_its_last_waiter_left_a_failed_attempt_is_not_followed_by_another() -> None:
    desk = Desk()
    ticket = desk.ask("a")
    desk.step()
    desk.host.withdraw_request(desk.now, ticket)
    desk.done(desk.of(SetUp)[0], Result.ERROR)
    desk.step()
    assert len(desk.of(SetUp)) == 1 and desk.host.session_count == 0
    assert desk.host.controller.sessions == {}


@pytest.mark.parametrize("answer_first", [True, False])
def test_deadline_and_answer_in_one_instant_give_one_answer(answer_first: bool) -> None:
    desk = Desk()
    ticket = desk.ask("a", max_wait_ms=300.0)
    desk.step()
    desk.now = 1000.0 + 300.0 - 40.0  # the very instant at which the ledger gives up
    if answer_first:
        desk.done(desk.of(SetUp)[0])
        desk.step(0)
    else:
        desk.step(0)
        desk.done(desk.of(SetUp)[0])
        desk.step(0)
    assert list(desk.answers()) == [ticket]
    desk.step(1000)
    assert list(desk.answers()) == [ticket]


def test_the_last_seats_asked_for_in_one_batch() -> None:
    desk = Desk(SEATS)
    for name in "abc":
        desk.ask(name)
    desk.step()
    assert len(desk.of(SetUp)) == 2
    assert list(desk.answers().values()) == [ReplyKind.REJECTED]


def test_a_drain_stops_a_set_up_that_has_not_left() -> None:
    desk = Desk(boxes=1)
    ticket = desk.ask("a")
    desk.step()
    (setup,) = desk.of(SetUp)
    assert desk.host.is_attempt_wanted("a", 0)
    drained = entry(setup.server, zone=1, state=ServerState.DRAINING)
    desk.host.on_endpoint_list(desk.now, EndpointListUpdate(EndpointListKind.DELTA, 2, (drained,)))
    assert not desk.host.is_attempt_wanted("a", 0)
    desk.done(setup, Result.NOT_SENT)
    desk.step()
    assert desk.answers() == {ticket: ReplyKind.REJECTED} and len(desk.of(SetUp)) == 1
    assert desk.of(ReleaseSession) == []  # nothing can run there


def test_doubtful_ends_are_released_and_proven_ones_not() -> None:
    for result, releases in [
        (Result.TIMEOUT, 1),
        (Result.RESET, 1),
        (Result.ERROR, 1),
        (Result.FULL, 0),
        (Result.CONNECT_FAILED, 0),
    ]:
        desk = Desk()
        desk.ask("a")
        desk.step()
        desk.done(desk.of(SetUp)[0], result)
        desk.step()
        assert len(desk.of(ReleaseSession)) == releases and len(desk.of(SetUp)) == 2


def test_a_viewer_of_a_silent_box_is_placed_anew() -> None:
    desk = Desk()
    desk.ask("a")
    desk.step()
    desk.done(desk.of(SetUp)[0])
    desk.step()
    desk.host.on_server_silence_changed(desk.of(SetUp)[0].server, True)
    desk.ask("a")
    desk.step()
    assert len(desk.of(SetUp)) == 2 and [one.attempt for one in desk.of(ReleaseSession)] == [0]


def test_a_lost_box_ends_its_sessions_only() -> None:
    desk = Desk(boxes=2)
    for title in range(6):
        desk.ask(f"s{title}", title=title)
    desk.step()
    for setup in desk.of(SetUp):
        desk.done(setup)
    desk.step()
    at = {setup.request.session_id: setup.server for setup in desk.of(SetUp)}
    assert set(at.values()) == {1, 2}
    assert desk.host.on_server_lost(desk.now, 1) == sum(server == 1 for server in at.values())
    assert set(desk.host.sessions_playing_at(2)) == {jti for jti, server in at.items() if server == 2}
    assert desk.host.sessions_playing_at(1) == {}


def test_a_rung_set_while_the_set_up_is_out_follows_it() -> None:
    desk = Desk()
    desk.ask("a")
    desk.step()
    (setup,) = desk.of(SetUp)
    held = desk.host.session("a")
    assert held is not None and held.phase is SessionPhase.IN_FLIGHT
    held.rung -= 1
    desk.done(setup)
    desk.step()
    assert [(one.rung, one.attempt) for one in desk.of(ChangeRung)] == [(setup.rung - 1, 0)]
    desk.host.on_server_notice(desk.now, "a", 0, NoticeKind.RUNG, 0.0)
    assert held.rung == 0


def test_a_front_that_stops_takes_nothing_and_answers_the_rest() -> None:
    desk = Desk()
    first = desk.ask("a")
    desk.step()
    desk.host.stop_accepting()
    late = desk.ask("b")
    desk.step()
    assert desk.answers() == {late: ReplyKind.REJECTED}
    desk.done(desk.of(SetUp)[0])
    desk.step()
    assert desk.answers()[first] is ReplyKind.PLAYS and len(desk.host.reply_ledger) == 0


@pytest.mark.parametrize("effect", list(Idempotency))
def test_a_front_about_to_end_answers_all_that_waits_and_lets_go_what_is_out(effect: Idempotency) -> None:
    kind = replace(ALONE.classes[0], idempotency=effect)
    desk = Desk(replace(ALONE, classes=(kind, ALONE.classes[1])), boxes=1)
    desk.host.limits = replace(desk.host.limits, unclaimed_session_ttl_ms=0.0)
    out, ran, held = desk.ask("out"), desk.ask("ran"), 0
    desk.step()
    desk.done(next(one for one in desk.of(SetUp) if one.request.session_id == "ran"), Result.ERROR)
    held = desk.ask("held")  # the module has not heard of it yet
    desk.said.clear()
    desk.host.abandon_open_requests(desk.now)
    desk.step()
    unsure = ReplyKind.REJECTED if effect is Idempotency.IDEMPOTENT else ReplyKind.FAILED
    assert desk.answers() == {out: unsure, ran: unsure, held: ReplyKind.REJECTED}
    assert {one.session_id for one in desk.of(ReleaseSession)} == {"out", "ran"} and not desk.of(SetUp)
    assert desk.host.session_count == 0 and len(desk.host.reply_ledger) == 0
    desk.said.clear()
    desk.host.abandon_open_requests(desk.now)
    assert desk.step() == []


def test_the_ledger_refuses_a_second_answer() -> None:
    ledger = ReplyLedger()
    ledger.open(1, 100.0)
    with pytest.raises(ReplyLedgerError):
        ledger.open(1, 100.0)
    ledger.close(1)
    with pytest.raises(ReplyLedgerError):
        ledger.close(1)
    assert not ledger.withdraw(1) and ledger.overdue(200.0) == [] and ledger.next_deadline() is None
    for ticket in range(1000):
        ledger.open(ticket + 2, float(ticket))
        ledger.close(ticket + 2)
    assert len(ledger._deadlines) <= 65, "answered tickets pile up"


class HostStory(RuleBasedStateMachine):
    """Anything in any order: each ticket has one answer in time, each session one attempt out."""

    @initialize(seats=st.sampled_from([0, 1, 2]), probes=st.booleans(), strict=st.booleans())
    def begin(self, seats: int, probes: bool, strict: bool) -> None:
        self.picture, self.answers = StateProjection(), Counter[str]()
        self.journal = Journal("f", JournalConfig(segment_entries=16))
        self.journal.watchers.append(self.picture.apply)
        kinds = tuple(replace(kind, seats=seats) for kind in SETTINGS.classes)
        base = replace(SETTINGS, classes=kinds, may_check_health=probes, front_count=2, drain_grace_ms=0.0)
        settings = replace(base, retry_budget=RETRY_BUDGET, slow_start=SLOW_START) if strict else base
        # The module decides the same whether or not it is asked for its reasons.
        self.silent = Controller(settings, 7)
        self.desk = Desk(settings, boxes=4, journal=self.journal, batch_observer=self.decides_alike)
        self.out: dict[str, SetUp] = {}
        self.playing: dict[str, SetUp] = {}
        self.due: dict[int, float] = {}
        self.left: set[int] = set()
        self.ended: set[int] = set()  # whose viewers ended their side
        self.probes: list[int] = []
        self.draining: set[int] = set()

    def decides_alike(self, now: float, events: list[Event], actions: list[Action]) -> None:
        assert self.silent.handle(now, events) == actions

    def run(self, after: float = 0.0) -> None:
        self.batch(0.0)  # what happened in this instant
        end = self.desk.now + after
        while (due := self.desk.host.next_deadline()) is not None and due < end:  # as the shell's timer does
            self.batch(max(due - self.desk.now, 0.0))
        self.batch(end - self.desk.now)

    def batch(self, after: float) -> None:
        for command in self.desk.step(after):
            if isinstance(command, SetUp):
                jti = command.request.session_id
                assert jti not in self.out, "two attempts out"
                if not self.desk.host.is_attempt_wanted(jti, command.attempt):
                    held = self.desk.host.session(jti)
                    assert command.server in self.draining or held is None or not held.has_waiting_viewer
                    self.desk.done(command, Result.NOT_SENT)
                    continue
                assert command.server not in self.draining
                assert (
                    command.rung >= self.desk.host.settings.classes[command.request.class_index].lowest_rung
                )
                self.out[jti] = command
            elif isinstance(command, SessionReply):
                assert command.ticket not in self.left
                assert self.desk.now <= self.due.pop(command.ticket), "late"
                self.answers[command.kind.value] += 1
            elif isinstance(command, SendHealthCheck):
                self.probes.append(command.server)
            elif isinstance(command, ReleaseSession):
                self.playing.pop(command.session_id, None)

    @rule(name=st.sampled_from("abcd"), cls=st.integers(0, 1), wait=st.sampled_from([50.0, 400.0, 4000.0]))
    def ask(self, name: str, cls: int, wait: float) -> None:
        ticket = self.desk.ask(name, class_index=cls, max_wait_ms=wait)
        self.due[ticket] = self.desk.now + wait

    @rule(number=st.integers(0, 30))
    def leave(self, number: int) -> None:
        if self.due:
            ticket = sorted(self.due)[number % len(self.due)]
            if ticket in self.desk.host.reply_ledger:  # else its answer is on the way already
                del self.due[ticket]
                self.left.add(ticket)
            self.desk.host.withdraw_request(self.desk.now, ticket)

    @rule(number=st.integers(0, 30))
    def side_ends(self, number: int) -> None:
        if self.due:
            ticket = sorted(self.due)[number % len(self.due)]
            self.ended.add(ticket)
            self.desk.host.on_client_half_closed(self.desk.now, ticket)

    @rule(number=st.integers(0, 30), result=st.sampled_from([Result.OK, *Result]))
    def attempt_ends(self, number: int, result: Result) -> None:
        if self.out:
            jti = sorted(self.out)[number % len(self.out)]
            setup = self.out.pop(jti)
            self.desk.done(setup, result)
            if result is Result.OK:
                self.playing[jti] = setup

    @rule(number=st.integers(0, 30), result=st.sampled_from([Result.OK, Result.RESET]))
    def session_ends(self, number: int, result: Result) -> None:
        if self.playing:
            jti = sorted(self.playing)[number % len(self.playing)]
            self.desk.host.on_session_ended(self.desk.now, jti, self.playing.pop(jti).attempt, result)

    @rule(ok=st.booleans())
    def probe_ends(self, ok: bool) -> None:
        if self.probes:
            result = Result.OK if ok else Result.TIMEOUT
            self.desk.host.on_health_check_finished(
                self.desk.now, self.probes.pop(), result, 1.0, {"x0": 0.2, "x1": 0.2}
            )

    @rule(server=st.integers(1, 4), state=st.sampled_from([ServerState.READY, ServerState.DRAINING]))
    def told(self, server: int, state: ServerState) -> None:
        (self.draining.add if state is ServerState.DRAINING else self.draining.discard)(server)
        update = EndpointListUpdate(EndpointListKind.DELTA, 2, (entry(server, zone=server % 4, state=state),))
        self.desk.host.on_endpoint_list(self.desk.now, update)

    @rule(server=st.integers(1, 4))
    def box_lost(self, server: int) -> None:
        self.desk.host.on_server_lost(self.desk.now, server)
        self.playing = {jti: one for jti, one in self.playing.items() if one.server != server}

    @rule(after=st.sampled_from([0.0, 1.0, 250.0]))
    def time_goes_on(self, after: float) -> None:
        self.run(after)
        self.desk.host.on_timer(self.desk.now, 1)
        self.run()
        due = self.desk.host.next_deadline()
        if due is not None and due <= self.desk.now:
            self.run()

    @invariant()
    def accounts_agree(self) -> None:
        if hasattr(self, "desk"):
            host = self.desk.host
            for (
                held
            ) in host._table.by_id.values():  # what waits or is to be placed waits for somebody who stays
                if held.phase is not SessionPhase.IN_FLIGHT:
                    assert self.ended.isdisjoint(held.tickets) and not held.half_closed_tickets
            if not (host._context.events or host._context.abandoned):
                assert set(host.controller.sessions) == {one.number for one in host._table.by_id.values()}
                out = Counter(
                    one.server for one in host._table.by_id.values() if one.phase is SessionPhase.IN_FLIGHT
                )
                servers = host.controller.servers.values()
                assert {
                    one.server_id: one.attempts_in_flight for one in servers if one.attempts_in_flight
                } == dict(out)
            assert {ticket for ticket in self.left if ticket in host.reply_ledger} == set()
            for jti, setup in self.out.items():
                held = host.session(jti)
                assert held is None or held.attempt >= setup.attempt

    @invariant()
    def the_journal_agrees(self) -> None:
        """The picture folded from the journal shows what the host holds, and how it answered."""
        if not hasattr(self, "desk"):
            return
        host, picture = self.desk.host, self.picture
        rows = {row.session: row for row in picture.sessions.values()}
        assert set(rows) == set(host._table.by_id)
        for jti, held in host._table.by_id.items():
            assert (rows[jti].phase, rows[jti].attempt) == (held.phase.value, held.attempt)
            if held.phase in (SessionPhase.IN_FLIGHT, SessionPhase.PLAYING):
                assert (rows[jti].server, rows[jti].rung) == (held.server, held.sent_rung)
        for number, box in picture.servers.items():
            assert box.playing == len(host.sessions_playing_at(number))
            assert ServerState[box.state.upper()] is host._servers.states[number]
            assert box.silent == (number in host._servers.silent)
        waiting = sum(isinstance(one, SessionReply) for one in host._context.commands)
        assert sum(picture.answers.values()) == sum(self.answers.values()) + waiting
        assert StateProjection.from_plain(picture.to_plain()) == picture

    def teardown(self) -> None:
        if not hasattr(self, "desk"):
            return
        for _ in range(60):  # everything ends: what is out ends, and time passes
            for jti in sorted(self.out):
                self.desk.done(self.out.pop(jti), Result.TIMEOUT)
            self.run(100.0)
        assert self.due == {}, "a request without an answer"
        assert len(self.desk.host.reply_ledger) == 0
        again = StateProjection()
        for one in self.journal.entries(1):
            again.apply(one)
        assert again == self.picture and +self.picture.answers == self.answers
        lives = Counter(one.session for one in self.journal.entries(1) if one.what is EventKind.ASKED)
        ends = Counter(one.session for one in self.journal.entries(1) if one.what is EventKind.ENDED)
        assert lives - ends == Counter(jti for jti in self.desk.host._table.by_id)


HostStory.TestCase.settings = hypothesis_settings(max_examples=200, stateful_step_count=40)
TestHostStory = HostStory.TestCase


def test_a_session_taken_over_plays_counts_and_its_end_is_told_once() -> None:
    desk = Desk(SEATS)
    ask = SessionRequest(0, "x", "a", "who", "lesson", 5, 0, 4, 0, 3, 4000.0, viewer_key=77)
    assert desk.host.adopt_session(desk.now, ask, 1)
    assert not desk.host.adopt_session(desk.now, ask, 2)  # told again: held already
    assert not desk.host.adopt_session(desk.now, replace(ask, session_id="b"), 99)  # no such box
    desk.step()
    for name in ("c", "d"):  # one seat of two is left
        desk.ask(name)
        desk.step()
    assert len(desk.of(SetUp)) == 1
    desk.host.on_session_ended(desk.now, "a", 0, Result.RESET)
    desk.host.on_session_ended(desk.now, "a", 0, Result.RESET)
    desk.step()
    assert [(over.request.session_id, over.is_ended_by_viewer) for over in desk.of(SessionOver)] == [
        ("a", False)
    ]
    assert desk.host.session_count == 1


def test_where_nobody_returns_an_attempt_is_released_when_its_viewer_leaves() -> None:
    desk = Desk()
    desk.host.limits = SessionLimits(reply_margin_ms=0.0, unclaimed_session_ttl_ms=0.0)
    ticket = desk.ask("a", viewer_key=77, body=b"offer")
    desk.step()
    (setup,) = desk.of(SetUp)
    assert setup.request.body == b"offer"
    desk.host.withdraw_request(desk.now, ticket)
    desk.done(setup)  # its answer comes in the same moment
    desk.step()
    assert [(one.session_id, one.attempt) for one in desk.of(ReleaseSession)] == [("a", 0)]
    assert desk.answers() == {} and desk.of(SessionOver) == [] and desk.host.session_count == 0
    assert not desk.host._table.known_viewers  # a viewer with a key of its own leaves nothing behind


def test_a_front_that_stops_waits_for_nobody_whose_viewers_all_left() -> None:
    async def story() -> bool:
        core = Dispatcher(SessionManager(ALONE, 7), log=None)
        core.server_transport = Mock()  # the set-up stays out
        core.sessions.on_endpoint_list(core.now(), EndpointListUpdate(EndpointListKind.FULL, 1, (entry(1),)))
        ask = SessionRequest(core.next_ticket(), "dash", "a", "who", "lesson", 5, 0, 4, 0, 3, 4000.0)
        core.submit(ask, lambda answer: None)
        asyncio.get_running_loop().call_soon(core.withdraw_request, ask.ticket)
        return await core.drain(10.0)

    assert asyncio.run(story())


NEVER_TWICE = 1  # the class of SETTINGS that may not simply be set up again
FRONT_WAITS = replace(
    ALONE, classes=(ALONE.classes[0], replace(ALONE.classes[1], idempotency=Idempotency.NOT_IDEMPOTENT))
)


@pytest.mark.parametrize("gated", [True, False])
def test_who_ends_its_side_before_an_attempt_is_out_is_refused_at_once(gated: bool) -> None:
    desk = Desk(checks_entitlement=gated)
    ticket = desk.ask("a")
    if gated:
        desk.step()
    desk.host.on_client_half_closed(desk.now, ticket)
    desk.host.on_client_half_closed(desk.now, ticket)  # told twice, answered once
    desk.step()
    assert desk.answers() == {ticket: ReplyKind.REJECTED} and desk.of(SetUp) == []
    desk.host.on_entitlement_decided(desk.now, "a", True)  # the verdict comes late
    desk.step()
    desk.step()
    assert desk.of(SetUp) == [] and desk.host.session_count == 0 and len(desk.host.reply_ledger) == 0
    assert [left.session_id for left in desk.of(EntitlementReleased)] == ["a"] * gated


def test_who_ends_its_side_while_an_attempt_is_out_hears_how_it_ended() -> None:
    desk = Desk()
    ticket = desk.ask("a")
    desk.step()
    desk.host.on_client_half_closed(desk.now, ticket)
    desk.step()
    assert desk.answers() == {}
    desk.done(desk.of(SetUp)[0])
    desk.step()
    assert desk.answers() == {ticket: ReplyKind.PLAYS} and desk.host.session_count == 1
    desk.host.on_client_half_closed(desk.now, ticket)  # as its answer is being written
    desk.step(2000)
    assert desk.of(ReleaseSession) == []  # it heard


@pytest.mark.parametrize(
    ("cls", "result", "said"),
    [
        (0, Result.ERROR, ReplyKind.REJECTED),
        (NEVER_TWICE, Result.ERROR, ReplyKind.FAILED),  # a refusal would say that it never ran
        (NEVER_TWICE, Result.NOT_SENT, ReplyKind.REJECTED),
        (NEVER_TWICE, Result.FULL, ReplyKind.REJECTED),
        (NEVER_TWICE, Result.CONNECT_FAILED, ReplyKind.REJECTED),
        (NEVER_TWICE, Result.TIMEOUT, ReplyKind.FAILED),
    ],
)
def test_after_its_viewer_ended_its_side_no_further_attempt_begins(
    cls: int, result: Result, said: ReplyKind
) -> None:
    desk = Desk(FRONT_WAITS)
    ticket = desk.ask("a", class_index=cls)
    desk.step()
    (setup,) = desk.of(SetUp)
    assert desk.host.is_attempt_wanted("a", 0)
    desk.host.on_client_half_closed(desk.now, ticket)
    assert not desk.host.is_attempt_wanted("a", 0)  # were it not sent yet, it would not be
    desk.done(setup, result)
    desk.step()
    desk.step()
    assert desk.answers() == {ticket: said} and desk.of(SetUp) == [setup]
    assert desk.host.session_count == 0 and desk.host.controller.sessions == {}
    assert len(desk.host.reply_ledger) == 0


def test_a_failed_attempt_and_the_end_of_a_viewers_side_in_one_batch_either_way_round() -> None:
    for fails_first in (True, False):
        desk = Desk()
        ticket = desk.ask("a")
        desk.step()
        (setup,) = desk.of(SetUp)
        if fails_first:
            desk.done(setup, Result.ERROR)
        desk.host.on_client_half_closed(desk.now, ticket)
        if not fails_first:
            desk.done(setup, Result.ERROR)
        desk.step()
        assert desk.answers() == {ticket: ReplyKind.REJECTED} and desk.of(SetUp) == [setup]
        assert desk.host.session_count == 0


@pytest.mark.parametrize("how", ["withdraw_request", "on_client_half_closed"])
@pytest.mark.parametrize("before", ["arrival", "failed attempt", "probe"])
def test_the_module_holds_nobody_whose_viewer_left_in_the_batch_that_would_place_it(
    before: str, how: str
) -> None:
    desk = Desk(replace(SETTINGS, front_count=2) if before == "probe" else ALONE)
    if before == "probe":
        desk.step(60_000)  # of no server anything is known
    ticket = desk.ask("a")
    if before == "failed attempt":
        desk.step()
        desk.done(desk.of(SetUp)[0], Result.ERROR)
    elif before == "probe":
        desk.step()
        (probe,) = desk.of(SendHealthCheck)
        desk.host.on_health_check_finished(desk.now, probe.server, Result.OK, 1.0, {"x0": 0.2, "x1": 0.2})
    getattr(desk.host, how)(desk.now, ticket)
    desk.step()
    desk.step()
    module = desk.host.controller
    assert len(desk.of(SetUp)) == (before == "failed attempt")
    assert module.sessions == {} and not any(one.attempts_in_flight for one in module.servers.values())
    assert desk.host.session_count == 0 and len(desk.host.reply_ledger) == 0


def test_a_session_goes_on_for_those_who_still_wait() -> None:
    desk = Desk()
    leaver, stayer = desk.ask("a"), desk.ask("a")
    desk.step()
    desk.host.on_client_half_closed(desk.now, leaver)
    assert desk.host.is_attempt_wanted("a", 0)
    desk.done(desk.of(SetUp)[0], Result.ERROR)
    desk.step()
    assert desk.answers() == {leaver: ReplyKind.REJECTED} and len(desk.of(SetUp)) == 2
    desk.host.on_client_half_closed(desk.now, stayer)
    again = desk.ask("a")  # who comes while it is out is waited for
    assert desk.host.is_attempt_wanted("a", 1)
    desk.done(desk.of(SetUp)[1])
    desk.step()
    assert desk.answers() == {leaver: ReplyKind.REJECTED, stayer: ReplyKind.PLAYS, again: ReplyKind.PLAYS}


def test_a_leavers_time_runs_on_and_its_connection_may_break_besides() -> None:
    desk = Desk()
    first, second = desk.ask("a", max_wait_ms=300.0), desk.ask("b")
    desk.step()
    desk.host.on_client_half_closed(desk.now, first)
    desk.host.on_client_half_closed(desk.now, second)
    desk.host.withdraw_request(desk.now, second)
    desk.step(300)
    assert desk.answers() == {first: ReplyKind.FAILED}
    for setup in desk.of(SetUp):
        desk.done(setup, Result.ERROR)
    desk.step()
    assert desk.answers() == {first: ReplyKind.FAILED} and desk.host.session_count == 0
    assert len(desk.of(SetUp)) == 2 and len(desk.host.reply_ledger) == 0


def core_story(story: Callable[[Dispatcher, Mock], Awaitable[None]], **limits: float) -> None:
    """Plays a story against a core with one box, whose ways and log are stand-ins."""

    async def run() -> None:
        host = SessionManager(
            ALONE, 7, SessionLimits(reply_margin_ms=0.0, unclaimed_session_ttl_ms=0.0, **limits)
        )
        core, doer = Dispatcher(host, log=Mock()), Mock()
        core.server_transport = doer
        host.on_endpoint_list(core.now(), EndpointListUpdate(EndpointListKind.FULL, 1, (entry(1),)))
        await story(core, doer)
        core.stop()

    asyncio.run(run())


def put(core: Dispatcher, jti: str, got: list[SessionReply], wait_ms: float = 4000.0) -> int:
    ask = SessionRequest(core.next_ticket(), "dash", jti, "who", "lesson", 5, 0, 4, 0, 3, wait_ms)
    core.submit(ask, got.append)
    return ask.ticket


def test_a_set_up_or_probe_that_could_not_be_begun_ends_as_one_that_failed() -> None:
    async def story(core: Dispatcher, doer: Mock) -> None:
        doer.set_up.side_effect = doer.check_health.side_effect = ValueError("a fault of this program")
        got: list[SessionReply] = []
        put(core, "a", got)
        await until(lambda: got)  # long before its time is over
        assert (
            got[0].kind is ReplyKind.REJECTED
            and core.sessions.session_count == 0
            and len(core.sessions.reply_ledger) == 0
        )
        module = core.sessions.controller
        assert not any(one.attempts_in_flight or one.is_checking_health for one in module.servers.values())

    core_story(story)


def test_a_fault_in_telling_one_viewer_costs_no_other_its_answer_and_leaves_no_session() -> None:
    async def story(core: Dispatcher, doer: Mock) -> None:
        got: list[SessionReply] = []
        ask = SessionRequest(core.next_ticket(), "dash", "a", "who", "lesson", 5, 0, 4, 0, 3, 4000.0)
        core.submit(ask, Mock(side_effect=ValueError("a fault of this program")))
        await until(lambda: doer.set_up.called)
        core.sessions.on_attempt_finished(core.now(), "a", 0, SetUpResult(Result.OK, 1.0, {}, "manifest"))
        core.sessions.stop_accepting()
        put(core, "b", got)
        await until(lambda: got)
        assert await core.drain(10.0) and core.sessions.session_count == 0  # nobody heard that it plays
        await until(lambda: doer.release.called)

    core_story(story)


def test_a_batch_that_fails_leaves_what_was_asked_its_time_and_its_answer() -> None:
    async def story(core: Dispatcher, doer: Mock) -> None:
        got: list[SessionReply] = []
        with patch.object(
            core.sessions.controller, "handle", side_effect=ValueError("a fault of the module")
        ):
            put(core, "a", got, 50.0)
            core.after_step(Mock(side_effect=ValueError("a fault of this program")))
            await until(lambda: core.log.error.called)
        await until(lambda: got)
        assert got[0].kind is ReplyKind.FAILED and got[0].is_timeout and core.sessions.session_count == 0

    core_story(story)


def test_what_is_asked_in_the_turn_of_the_stop_is_answered_before_it() -> None:
    async def story(core: Dispatcher, doer: Mock) -> None:
        got: list[SessionReply] = []
        assert await core.drain(10.0)
        put(core, "a", got)
        core.run_last_step()
        core.stop()
        assert [one.kind for one in got] == [ReplyKind.REJECTED] and len(core.sessions.reply_ledger) == 0

    core_story(story)
