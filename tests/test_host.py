"""Tests of the session manager without an event loop, and of the dispatcher with one.

Each request gets one reply, and each session has at most one attempt in flight, in any order of events.
"""

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


CommandT = TypeVar("CommandT")


class Harness:
    """A session manager with a clock that the test advances, and all its commands."""

    def __init__(self, settings: object = ALONE, server_count: int = 2, **more: object) -> None:
        limits = SessionLimits(reply_margin_ms=40.0, unclaimed_session_ttl_ms=500.0)
        self.manager = SessionManager(settings, 7, limits, **more)  # type: ignore[arg-type]
        self.now, self.tickets, self.commands = 1000.0, 0, []  # type: ignore[var-annotated]
        entries = tuple(entry(number, zone=number % 4) for number in range(1, server_count + 1))
        self.manager.on_endpoint_list(self.now, EndpointListUpdate(EndpointListKind.FULL, 1, entries))
        self.step(0)

    def step(self, after: float = 1.0) -> list[Command]:
        self.now += after
        commands = self.manager.step(self.now)
        self.commands += commands
        return commands

    def request(self, session_id: str, **more: object) -> int:
        self.tickets += 1
        request = SessionRequest(self.tickets, "dash", session_id, "who", "lesson", 5, 0, 4, 0, 3, 4000.0)
        self.manager.request_session(self.now, replace(request, **more))  # type: ignore[arg-type]
        return self.tickets

    def finish_attempt(self, set_up: SetUp, result: Result = Result.OK) -> None:
        end = SetUpResult(result, 5.0, {"x0": 0.1, "x1": 0.1}, "manifest" if result is Result.OK else None)
        self.manager.on_attempt_finished(self.now, set_up.request.session_id, set_up.attempt, end)

    def commands_of(self, kind: type[CommandT]) -> list[CommandT]:
        return [one for one in self.commands if isinstance(one, kind)]

    def replies(self) -> dict[int, ReplyKind]:
        found: dict[int, ReplyKind] = {}
        for answer in self.commands_of(SessionReply):
            assert answer.ticket not in found, "two replies to one ticket"
            found[answer.ticket] = answer.kind
        return found


def test_requests_with_one_session_id_share_one_attempt() -> None:
    harness = Harness()
    first, second = harness.request("a"), harness.request("a")  # in one batch
    harness.step()
    third = harness.request("a")  # while its attempt is in flight
    harness.step()
    (set_up,) = harness.commands_of(SetUp)
    harness.finish_attempt(set_up)
    harness.step()
    fourth = harness.request("a")  # while it plays
    harness.step()
    assert harness.replies() == dict.fromkeys((first, second, third, fourth), ReplyKind.PLAYS)
    assert len(harness.commands_of(SetUp)) == 1
    assert {answer.rung for answer in harness.commands_of(SessionReply)} == {set_up.rung}
    harness.manager.on_session_ended(harness.now, "a", 0, Result.OK)
    harness.request("a")  # after it ended: a new session of the same viewer
    harness.step()
    assert len(harness.commands_of(SetUp)) == 2


def test_a_token_for_another_title_is_a_conflict() -> None:
    harness = Harness()
    harness.request("a")
    other = harness.request("a", title=6)
    harness.step()
    assert harness.replies() == {other: ReplyKind.CONFLICT} and len(harness.commands_of(SetUp)) == 1


def test_a_viewer_who_reconnects_joins_its_attempt() -> None:
    harness = Harness()
    gone = harness.request("a")
    harness.step()
    harness.manager.withdraw_request(harness.now, gone)
    harness.step()
    harness.finish_attempt(harness.commands_of(SetUp)[0])
    harness.step()
    assert harness.replies() == {}
    again = harness.request("a")
    harness.step(100)
    assert harness.replies() == {again: ReplyKind.PLAYS} and len(harness.commands_of(SetUp)) == 1


def test_a_session_whose_viewer_does_not_return_is_released() -> None:
    harness = Harness()
    harness.manager.withdraw_request(harness.now, harness.request("a"))
    harness.request("b")
    harness.step()
    set_ups = {set_up.request.session_id: set_up for set_up in harness.commands_of(SetUp)}
    assert set(set_ups) == {"b"}  # a request that was withdrawn before the batch gets no attempt
    harness.manager.withdraw_request(harness.now, 2)
    harness.finish_attempt(set_ups["b"])
    harness.step()
    assert harness.manager.next_deadline() is not None  # the dispatcher must call it then
    harness.step(600)
    assert [release.session_id for release in harness.commands_of(ReleaseSession)] == [
        "b"
    ] and harness.manager.session_count == 0


def test_an_undelivered_reply_counts_as_a_viewer_who_left_before_it() -> None:
    harness = Harness()
    harness.request("a"), harness.request("a")
    harness.step()
    harness.finish_attempt(harness.commands_of(SetUp)[0])
    harness.step()
    first, second = harness.commands_of(SessionReply)
    harness.manager.on_reply_undelivered(harness.now, first)
    harness.step(600)
    assert harness.manager.session_count == 1  # the other reply was delivered
    harness.manager.on_reply_undelivered(harness.now, second)
    harness.step(400)
    assert harness.manager.session_count == 1  # its viewer may return
    harness.step(200)
    assert [release.session_id for release in harness.commands_of(ReleaseSession)] == [
        "a"
    ] and harness.manager.session_count == 0


def test_no_further_attempt_after_the_last_waiting_viewer_left() -> None:
    harness = Harness()
    ticket = harness.request("a")
    harness.step()
    harness.manager.withdraw_request(harness.now, ticket)
    harness.finish_attempt(harness.commands_of(SetUp)[0], Result.ERROR)
    harness.step()
    assert len(harness.commands_of(SetUp)) == 1 and harness.manager.session_count == 0
    assert harness.manager.controller.sessions == {}


@pytest.mark.parametrize("answer_first", [True, False])
def test_deadline_and_result_at_the_same_time_give_one_reply(answer_first: bool) -> None:
    harness = Harness()
    ticket = harness.request("a", max_wait_ms=300.0)
    harness.step()
    harness.now = 1000.0 + 300.0 - 40.0  # the reply deadline
    if answer_first:
        harness.finish_attempt(harness.commands_of(SetUp)[0])
        harness.step(0)
    else:
        harness.step(0)
        harness.finish_attempt(harness.commands_of(SetUp)[0])
        harness.step(0)
    assert list(harness.replies()) == [ticket]
    harness.step(1000)
    assert list(harness.replies()) == [ticket]


def test_more_requests_than_seats_in_one_batch() -> None:
    harness = Harness(SEATS)
    for name in "abc":
        harness.request(name)
    harness.step()
    assert len(harness.commands_of(SetUp)) == 2
    assert list(harness.replies().values()) == [ReplyKind.REJECTED]


def test_a_draining_server_gets_no_attempt_that_was_not_sent_yet() -> None:
    harness = Harness(server_count=1)
    ticket = harness.request("a")
    harness.step()
    (set_up,) = harness.commands_of(SetUp)
    assert harness.manager.is_attempt_wanted("a", 0)
    drained = entry(set_up.server, zone=1, state=ServerState.DRAINING)
    harness.manager.on_endpoint_list(harness.now, EndpointListUpdate(EndpointListKind.DELTA, 2, (drained,)))
    assert not harness.manager.is_attempt_wanted("a", 0)
    harness.finish_attempt(set_up, Result.NOT_SENT)
    harness.step()
    assert harness.replies() == {ticket: ReplyKind.REJECTED} and len(harness.commands_of(SetUp)) == 1
    assert harness.commands_of(ReleaseSession) == []  # nothing can run there


def test_failed_attempts_are_released_unless_they_never_ran() -> None:
    for result, releases in [
        (Result.TIMEOUT, 1),
        (Result.RESET, 1),
        (Result.ERROR, 1),
        (Result.FULL, 0),
        (Result.CONNECT_FAILED, 0),
    ]:
        harness = Harness()
        harness.request("a")
        harness.step()
        harness.finish_attempt(harness.commands_of(SetUp)[0], result)
        harness.step()
        assert len(harness.commands_of(ReleaseSession)) == releases and len(harness.commands_of(SetUp)) == 2


def test_a_viewer_of_a_silent_server_is_placed_again() -> None:
    harness = Harness()
    harness.request("a")
    harness.step()
    harness.finish_attempt(harness.commands_of(SetUp)[0])
    harness.step()
    harness.manager.on_server_silence_changed(harness.commands_of(SetUp)[0].server, True)
    harness.request("a")
    harness.step()
    assert len(harness.commands_of(SetUp)) == 2 and [
        one.attempt for one in harness.commands_of(ReleaseSession)
    ] == [0]


def test_a_lost_server_ends_only_its_sessions() -> None:
    harness = Harness(server_count=2)
    for title in range(6):
        harness.request(f"s{title}", title=title)
    harness.step()
    for set_up in harness.commands_of(SetUp):
        harness.finish_attempt(set_up)
    harness.step()
    at = {set_up.request.session_id: set_up.server for set_up in harness.commands_of(SetUp)}
    assert set(at.values()) == {1, 2}
    assert harness.manager.on_server_lost(harness.now, 1) == sum(server == 1 for server in at.values())
    assert set(harness.manager.sessions_playing_at(2)) == {
        session_id for session_id, server in at.items() if server == 2
    }
    assert harness.manager.sessions_playing_at(1) == {}


def test_a_rung_set_during_an_attempt_is_sent_after_it() -> None:
    harness = Harness()
    harness.request("a")
    harness.step()
    (set_up,) = harness.commands_of(SetUp)
    record = harness.manager.session("a")
    assert record is not None and record.phase is SessionPhase.IN_FLIGHT
    record.rung -= 1
    harness.finish_attempt(set_up)
    harness.step()
    assert [(one.rung, one.attempt) for one in harness.commands_of(ChangeRung)] == [(set_up.rung - 1, 0)]
    harness.manager.on_server_notice(harness.now, "a", 0, NoticeKind.RUNG, 0.0)
    assert record.rung == 0


def test_a_closing_front_rejects_new_requests_and_answers_open_ones() -> None:
    harness = Harness()
    first = harness.request("a")
    harness.step()
    harness.manager.stop_accepting()
    late = harness.request("b")
    harness.step()
    assert harness.replies() == {late: ReplyKind.REJECTED}
    harness.finish_attempt(harness.commands_of(SetUp)[0])
    harness.step()
    assert harness.replies()[first] is ReplyKind.PLAYS and len(harness.manager.reply_ledger) == 0


@pytest.mark.parametrize("idempotency", list(Idempotency))
def test_a_front_about_to_end_answers_open_requests_and_releases_attempts(idempotency: Idempotency) -> None:
    kind = replace(ALONE.classes[0], idempotency=idempotency)
    harness = Harness(replace(ALONE, classes=(kind, ALONE.classes[1])), server_count=1)
    harness.manager.limits = replace(harness.manager.limits, unclaimed_session_ttl_ms=0.0)
    out, ran, unsubmitted = harness.request("out"), harness.request("ran"), 0
    harness.step()
    harness.finish_attempt(
        next(one for one in harness.commands_of(SetUp) if one.request.session_id == "ran"), Result.ERROR
    )
    unsubmitted = harness.request("held")  # not yet submitted to the controller
    harness.commands.clear()
    harness.manager.abandon_open_requests(harness.now)
    harness.step()
    expected = ReplyKind.REJECTED if idempotency is Idempotency.IDEMPOTENT else ReplyKind.FAILED
    assert harness.replies() == {out: expected, ran: expected, unsubmitted: ReplyKind.REJECTED}
    assert {one.session_id for one in harness.commands_of(ReleaseSession)} == {
        "out",
        "ran",
    } and not harness.commands_of(SetUp)
    assert harness.manager.session_count == 0 and len(harness.manager.reply_ledger) == 0
    harness.commands.clear()
    harness.manager.abandon_open_requests(harness.now)
    assert harness.step() == []


def test_the_ledger_rejects_a_second_reply() -> None:
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
    assert len(ledger._deadlines) <= 65, "closed tickets accumulate"


class SessionManagerMachine(RuleBasedStateMachine):
    """Events in any order: each ticket gets one reply in time, each session has one attempt in flight."""

    @initialize(seats=st.sampled_from([0, 1, 2]), probes=st.booleans(), strict=st.booleans())
    def begin(self, seats: int, probes: bool, strict: bool) -> None:
        self.projection, self.replies = StateProjection(), Counter[str]()
        self.journal = Journal("f", JournalConfig(segment_entries=16))
        self.journal.watchers.append(self.projection.apply)
        kinds = tuple(replace(kind, seats=seats) for kind in SETTINGS.classes)
        base = replace(SETTINGS, classes=kinds, may_check_health=probes, front_count=2, drain_grace_ms=0.0)
        settings = replace(base, retry_budget=RETRY_BUDGET, slow_start=SLOW_START) if strict else base
        # The controller makes the same decisions whether or not it records its reasons.
        self.plain_controller = Controller(settings, 7)
        self.harness = Harness(
            settings, server_count=4, journal=self.journal, batch_observer=self.compare_decisions
        )
        self.in_flight: dict[str, SetUp] = {}
        self.playing: dict[str, SetUp] = {}
        self.deadlines: dict[int, float] = {}
        self.withdrawn: set[int] = set()
        self.half_closed: set[int] = set()  # tickets of clients that closed their sending side
        self.health_checks: list[int] = []
        self.draining: set[int] = set()

    def compare_decisions(self, now: float, events: list[Event], actions: list[Action]) -> None:
        assert self.plain_controller.handle(now, events) == actions

    def run(self, after: float = 0.0) -> None:
        self.batch(0.0)  # the events of this moment
        end = self.harness.now + after
        while (
            deadline := self.harness.manager.next_deadline()
        ) is not None and deadline < end:  # as the dispatcher's timer does
            self.batch(max(deadline - self.harness.now, 0.0))
        self.batch(end - self.harness.now)

    def batch(self, after: float) -> None:
        for command in self.harness.step(after):
            if isinstance(command, SetUp):
                session_id = command.request.session_id
                assert session_id not in self.in_flight, "two attempts in flight"
                if not self.harness.manager.is_attempt_wanted(session_id, command.attempt):
                    record = self.harness.manager.session(session_id)
                    assert command.server in self.draining or record is None or not record.has_waiting_viewer
                    self.harness.finish_attempt(command, Result.NOT_SENT)
                    continue
                assert command.server not in self.draining
                assert (
                    command.rung
                    >= self.harness.manager.settings.classes[command.request.class_index].lowest_rung
                )
                self.in_flight[session_id] = command
            elif isinstance(command, SessionReply):
                assert command.ticket not in self.withdrawn
                assert self.harness.now <= self.deadlines.pop(command.ticket), "the reply is late"
                self.replies[command.kind.value] += 1
            elif isinstance(command, SendHealthCheck):
                self.health_checks.append(command.server)
            elif isinstance(command, ReleaseSession):
                self.playing.pop(command.session_id, None)

    @rule(name=st.sampled_from("abcd"), cls=st.integers(0, 1), wait=st.sampled_from([50.0, 400.0, 4000.0]))
    def request_arrives(self, name: str, cls: int, wait: float) -> None:
        ticket = self.harness.request(name, class_index=cls, max_wait_ms=wait)
        self.deadlines[ticket] = self.harness.now + wait

    @rule(number=st.integers(0, 30))
    def client_disconnects(self, number: int) -> None:
        if self.deadlines:
            ticket = sorted(self.deadlines)[number % len(self.deadlines)]
            if ticket in self.harness.manager.reply_ledger:  # otherwise its reply was sent already
                del self.deadlines[ticket]
                self.withdrawn.add(ticket)
            self.harness.manager.withdraw_request(self.harness.now, ticket)

    @rule(number=st.integers(0, 30))
    def client_half_closes(self, number: int) -> None:
        if self.deadlines:
            ticket = sorted(self.deadlines)[number % len(self.deadlines)]
            self.half_closed.add(ticket)
            self.harness.manager.on_client_half_closed(self.harness.now, ticket)

    @rule(number=st.integers(0, 30), result=st.sampled_from([Result.OK, *Result]))
    def attempt_ends(self, number: int, result: Result) -> None:
        if self.in_flight:
            session_id = sorted(self.in_flight)[number % len(self.in_flight)]
            set_up = self.in_flight.pop(session_id)
            self.harness.finish_attempt(set_up, result)
            if result is Result.OK:
                self.playing[session_id] = set_up

    @rule(number=st.integers(0, 30), result=st.sampled_from([Result.OK, Result.RESET]))
    def session_ends(self, number: int, result: Result) -> None:
        if self.playing:
            session_id = sorted(self.playing)[number % len(self.playing)]
            self.harness.manager.on_session_ended(
                self.harness.now, session_id, self.playing.pop(session_id).attempt, result
            )

    @rule(ok=st.booleans())
    def health_check_ends(self, ok: bool) -> None:
        if self.health_checks:
            result = Result.OK if ok else Result.TIMEOUT
            self.harness.manager.on_health_check_finished(
                self.harness.now, self.health_checks.pop(), result, 1.0, {"x0": 0.2, "x1": 0.2}
            )

    @rule(server=st.integers(1, 4), state=st.sampled_from([ServerState.READY, ServerState.DRAINING]))
    def endpoint_list_changes(self, server: int, state: ServerState) -> None:
        (self.draining.add if state is ServerState.DRAINING else self.draining.discard)(server)
        update = EndpointListUpdate(EndpointListKind.DELTA, 2, (entry(server, zone=server % 4, state=state),))
        self.harness.manager.on_endpoint_list(self.harness.now, update)

    @rule(server=st.integers(1, 4))
    def server_lost(self, server: int) -> None:
        self.harness.manager.on_server_lost(self.harness.now, server)
        self.playing = {session_id: one for session_id, one in self.playing.items() if one.server != server}

    @rule(after=st.sampled_from([0.0, 1.0, 250.0]))
    def time_advances(self, after: float) -> None:
        self.run(after)
        self.harness.manager.on_timer(self.harness.now, 1)
        self.run()
        deadline = self.harness.manager.next_deadline()
        if deadline is not None and deadline <= self.harness.now:
            self.run()

    @invariant()
    def state_is_consistent(self) -> None:
        if hasattr(self, "harness"):
            manager = self.harness.manager
            for record in (
                manager._table.by_id.values()
            ):  # a session without an attempt has a client that can still send
                if record.phase is not SessionPhase.IN_FLIGHT:
                    assert self.half_closed.isdisjoint(record.tickets) and not record.half_closed_tickets
            if not (manager._context.events or manager._context.abandoned):
                assert set(manager.controller.sessions) == {
                    one.number for one in manager._table.by_id.values()
                }
                out = Counter(
                    one.server for one in manager._table.by_id.values() if one.phase is SessionPhase.IN_FLIGHT
                )
                servers = manager.controller.servers.values()
                assert {
                    one.server_id: one.attempts_in_flight for one in servers if one.attempts_in_flight
                } == dict(out)
            assert {ticket for ticket in self.withdrawn if ticket in manager.reply_ledger} == set()
            for session_id, set_up in self.in_flight.items():
                record = manager.session(session_id)
                assert record is None or record.attempt >= set_up.attempt

    @invariant()
    def journal_matches_state(self) -> None:
        """The projection of the journal matches the manager's sessions and replies."""
        if not hasattr(self, "harness"):
            return
        manager, projection = self.harness.manager, self.projection
        rows = {row.session: row for row in projection.sessions.values()}
        assert set(rows) == set(manager._table.by_id)
        for session_id, record in manager._table.by_id.items():
            assert (rows[session_id].phase, rows[session_id].attempt) == (record.phase.value, record.attempt)
            if record.phase in (SessionPhase.IN_FLIGHT, SessionPhase.PLAYING):
                assert (rows[session_id].server, rows[session_id].rung) == (record.server, record.sent_rung)
        for number, box in projection.servers.items():
            assert box.playing == len(manager.sessions_playing_at(number))
            assert ServerState[box.state.upper()] is manager._servers.states[number]
            assert box.silent == (number in manager._servers.silent)
        waiting = sum(isinstance(one, SessionReply) for one in manager._context.commands)
        assert sum(projection.answers.values()) == sum(self.replies.values()) + waiting
        assert StateProjection.from_plain(projection.to_plain()) == projection

    def teardown(self) -> None:
        if not hasattr(self, "harness"):
            return
        for _ in range(60):  # all attempts end, and time passes
            for session_id in sorted(self.in_flight):
                self.harness.finish_attempt(self.in_flight.pop(session_id), Result.TIMEOUT)
            self.run(100.0)
        assert self.deadlines == {}, "a request without a reply"
        assert len(self.harness.manager.reply_ledger) == 0
        again = StateProjection()
        for one in self.journal.entries(1):
            again.apply(one)
        assert again == self.projection and +self.projection.answers == self.replies
        begun = Counter(one.session for one in self.journal.entries(1) if one.what is EventKind.REQUESTED)
        ended = Counter(one.session for one in self.journal.entries(1) if one.what is EventKind.ENDED)
        assert begun - ended == Counter(session_id for session_id in self.harness.manager._table.by_id)


SessionManagerMachine.TestCase.settings = hypothesis_settings(max_examples=200, stateful_step_count=40)
TestSessionManagerMachine = SessionManagerMachine.TestCase


def test_an_adopted_session_takes_a_seat_and_its_end_is_reported_once() -> None:
    harness = Harness(SEATS)
    request = SessionRequest(0, "x", "a", "who", "lesson", 5, 0, 4, 0, 3, 4000.0, viewer_key=77)
    assert harness.manager.adopt_session(harness.now, request, 1)
    assert not harness.manager.adopt_session(harness.now, request, 2)  # told again: record already
    assert not harness.manager.adopt_session(
        harness.now, replace(request, session_id="b"), 99
    )  # no such server
    harness.step()
    for name in ("c", "d"):  # one seat of two is left
        harness.request(name)
        harness.step()
    assert len(harness.commands_of(SetUp)) == 1
    harness.manager.on_session_ended(harness.now, "a", 0, Result.RESET)
    harness.manager.on_session_ended(harness.now, "a", 0, Result.RESET)
    harness.step()
    assert [
        (over.request.session_id, over.is_ended_by_viewer) for over in harness.commands_of(SessionOver)
    ] == [("a", False)]
    assert harness.manager.session_count == 1


def test_without_a_return_time_an_attempt_is_released_when_its_viewer_leaves() -> None:
    harness = Harness()
    harness.manager.limits = SessionLimits(reply_margin_ms=0.0, unclaimed_session_ttl_ms=0.0)
    ticket = harness.request("a", viewer_key=77, body=b"offer")
    harness.step()
    (set_up,) = harness.commands_of(SetUp)
    assert set_up.request.body == b"offer"
    harness.manager.withdraw_request(harness.now, ticket)
    harness.finish_attempt(set_up)  # the attempt ends in the same batch
    harness.step()
    assert [(one.session_id, one.attempt) for one in harness.commands_of(ReleaseSession)] == [("a", 0)]
    assert (
        harness.replies() == {}
        and harness.commands_of(SessionOver) == []
        and harness.manager.session_count == 0
    )
    assert not harness.manager._table.known_viewers  # a viewer with its own key is not stored


def test_a_drain_ends_when_all_viewers_have_left() -> None:
    async def story() -> bool:
        dispatcher = Dispatcher(SessionManager(ALONE, 7), log=None)
        dispatcher.server_transport = Mock()  # the attempt stays in flight
        dispatcher.sessions.on_endpoint_list(
            dispatcher.now(), EndpointListUpdate(EndpointListKind.FULL, 1, (entry(1),))
        )
        request = SessionRequest(
            dispatcher.next_ticket(), "dash", "a", "who", "lesson", 5, 0, 4, 0, 3, 4000.0
        )
        dispatcher.submit(request, lambda answer: None)
        asyncio.get_running_loop().call_soon(dispatcher.withdraw_request, request.ticket)
        return await dispatcher.drain(10.0)

    assert asyncio.run(story())


NOT_IDEMPOTENT_CLASS = 1  # index in SETTINGS.classes; an attempt that may have run must not be repeated
NOT_IDEMPOTENT_SETTINGS = replace(
    ALONE, classes=(ALONE.classes[0], replace(ALONE.classes[1], idempotency=Idempotency.NOT_IDEMPOTENT))
)


@pytest.mark.parametrize("gated", [True, False])
def test_who_ends_its_side_before_an_attempt_is_out_is_refused_at_once(gated: bool) -> None:
    harness = Harness(checks_entitlement=gated)
    ticket = harness.request("a")
    if gated:
        harness.step()
    harness.manager.on_client_half_closed(harness.now, ticket)
    harness.manager.on_client_half_closed(harness.now, ticket)  # reported twice, answered once
    harness.step()
    assert harness.replies() == {ticket: ReplyKind.REJECTED} and harness.commands_of(SetUp) == []
    harness.manager.on_entitlement_decided(harness.now, "a", True)  # the decision arrives late
    harness.step()
    harness.step()
    assert (
        harness.commands_of(SetUp) == []
        and harness.manager.session_count == 0
        and len(harness.manager.reply_ledger) == 0
    )
    assert [left.session_id for left in harness.commands_of(EntitlementReleased)] == ["a"] * gated


def test_a_half_closed_client_gets_the_result_of_an_attempt_in_flight() -> None:
    harness = Harness()
    ticket = harness.request("a")
    harness.step()
    harness.manager.on_client_half_closed(harness.now, ticket)
    harness.step()
    assert harness.replies() == {}
    harness.finish_attempt(harness.commands_of(SetUp)[0])
    harness.step()
    assert harness.replies() == {ticket: ReplyKind.PLAYS} and harness.manager.session_count == 1
    harness.manager.on_client_half_closed(harness.now, ticket)  # while its reply is being written
    harness.step(2000)
    assert harness.commands_of(ReleaseSession) == []  # the reply was delivered


@pytest.mark.parametrize(
    ("cls", "result", "expected"),
    [
        (0, Result.ERROR, ReplyKind.REJECTED),
        (NOT_IDEMPOTENT_CLASS, Result.ERROR, ReplyKind.FAILED),  # a rejection would mean that it never ran
        (NOT_IDEMPOTENT_CLASS, Result.NOT_SENT, ReplyKind.REJECTED),
        (NOT_IDEMPOTENT_CLASS, Result.FULL, ReplyKind.REJECTED),
        (NOT_IDEMPOTENT_CLASS, Result.CONNECT_FAILED, ReplyKind.REJECTED),
        (NOT_IDEMPOTENT_CLASS, Result.TIMEOUT, ReplyKind.FAILED),
    ],
)
def test_after_its_viewer_ended_its_side_no_further_attempt_begins(
    cls: int, result: Result, expected: ReplyKind
) -> None:
    harness = Harness(NOT_IDEMPOTENT_SETTINGS)
    ticket = harness.request("a", class_index=cls)
    harness.step()
    (set_up,) = harness.commands_of(SetUp)
    assert harness.manager.is_attempt_wanted("a", 0)
    harness.manager.on_client_half_closed(harness.now, ticket)
    assert not harness.manager.is_attempt_wanted("a", 0)  # if it has not been sent yet, it must not be
    harness.finish_attempt(set_up, result)
    harness.step()
    harness.step()
    assert harness.replies() == {ticket: expected} and harness.commands_of(SetUp) == [set_up]
    assert harness.manager.session_count == 0 and harness.manager.controller.sessions == {}
    assert len(harness.manager.reply_ledger) == 0


def test_a_failed_attempt_and_the_end_of_a_viewers_side_in_one_batch_either_way_round() -> None:
    for fails_first in (True, False):
        harness = Harness()
        ticket = harness.request("a")
        harness.step()
        (set_up,) = harness.commands_of(SetUp)
        if fails_first:
            harness.finish_attempt(set_up, Result.ERROR)
        harness.manager.on_client_half_closed(harness.now, ticket)
        if not fails_first:
            harness.finish_attempt(set_up, Result.ERROR)
        harness.step()
        assert harness.replies() == {ticket: ReplyKind.REJECTED} and harness.commands_of(SetUp) == [set_up]
        assert harness.manager.session_count == 0


@pytest.mark.parametrize("how", ["withdraw_request", "on_client_half_closed"])
@pytest.mark.parametrize("before", ["arrival", "failed attempt", "probe"])
def test_the_module_holds_nobody_whose_viewer_left_in_the_batch_that_would_place_it(
    before: str, how: str
) -> None:
    harness = Harness(replace(SETTINGS, front_count=2) if before == "probe" else ALONE)
    if before == "probe":
        harness.step(60_000)  # no server has a recent report
    ticket = harness.request("a")
    if before == "failed attempt":
        harness.step()
        harness.finish_attempt(harness.commands_of(SetUp)[0], Result.ERROR)
    elif before == "probe":
        harness.step()
        (probe,) = harness.commands_of(SendHealthCheck)
        harness.manager.on_health_check_finished(
            harness.now, probe.server, Result.OK, 1.0, {"x0": 0.2, "x1": 0.2}
        )
    getattr(harness.manager, how)(harness.now, ticket)
    harness.step()
    harness.step()
    controller = harness.manager.controller
    assert len(harness.commands_of(SetUp)) == (before == "failed attempt")
    assert controller.sessions == {} and not any(
        one.attempts_in_flight for one in controller.servers.values()
    )
    assert harness.manager.session_count == 0 and len(harness.manager.reply_ledger) == 0


def test_a_session_goes_on_for_those_who_still_wait() -> None:
    harness = Harness()
    leaver, stayer = harness.request("a"), harness.request("a")
    harness.step()
    harness.manager.on_client_half_closed(harness.now, leaver)
    assert harness.manager.is_attempt_wanted("a", 0)
    harness.finish_attempt(harness.commands_of(SetUp)[0], Result.ERROR)
    harness.step()
    assert harness.replies() == {leaver: ReplyKind.REJECTED} and len(harness.commands_of(SetUp)) == 2
    harness.manager.on_client_half_closed(harness.now, stayer)
    again = harness.request("a")  # a request during the attempt waits for it
    assert harness.manager.is_attempt_wanted("a", 1)
    harness.finish_attempt(harness.commands_of(SetUp)[1])
    harness.step()
    assert harness.replies() == {leaver: ReplyKind.REJECTED, stayer: ReplyKind.PLAYS, again: ReplyKind.PLAYS}


def test_a_half_closed_request_keeps_its_deadline_and_may_be_withdrawn() -> None:
    harness = Harness()
    first, second = harness.request("a", max_wait_ms=300.0), harness.request("b")
    harness.step()
    harness.manager.on_client_half_closed(harness.now, first)
    harness.manager.on_client_half_closed(harness.now, second)
    harness.manager.withdraw_request(harness.now, second)
    harness.step(300)
    assert harness.replies() == {first: ReplyKind.FAILED}
    for set_up in harness.commands_of(SetUp):
        harness.finish_attempt(set_up, Result.ERROR)
    harness.step()
    assert harness.replies() == {first: ReplyKind.FAILED} and harness.manager.session_count == 0
    assert len(harness.commands_of(SetUp)) == 2 and len(harness.manager.reply_ledger) == 0


def run_story_with_dispatcher(story: Callable[[Dispatcher, Mock], Awaitable[None]], **limits: float) -> None:
    """Runs a story with a dispatcher and one server; the transport and the log are mocks."""

    async def run() -> None:
        manager = SessionManager(
            ALONE, 7, SessionLimits(reply_margin_ms=0.0, unclaimed_session_ttl_ms=0.0, **limits)
        )
        dispatcher, transport = Dispatcher(manager, log=Mock()), Mock()
        dispatcher.server_transport = transport
        manager.on_endpoint_list(dispatcher.now(), EndpointListUpdate(EndpointListKind.FULL, 1, (entry(1),)))
        await story(dispatcher, transport)
        dispatcher.stop()

    asyncio.run(run())


def submit(
    dispatcher: Dispatcher, session_id: str, replies: list[SessionReply], wait_ms: float = 4000.0
) -> int:
    request = SessionRequest(
        dispatcher.next_ticket(), "dash", session_id, "who", "lesson", 5, 0, 4, 0, 3, wait_ms
    )
    dispatcher.submit(request, replies.append)
    return request.ticket


def test_a_set_up_or_probe_that_could_not_be_begun_ends_as_one_that_failed() -> None:
    async def story(dispatcher: Dispatcher, transport: Mock) -> None:
        transport.set_up.side_effect = transport.check_health.side_effect = ValueError(
            "a fault of this program"
        )
        replies: list[SessionReply] = []
        submit(dispatcher, "a", replies)
        await until(lambda: replies)  # long before its deadline
        assert (
            replies[0].kind is ReplyKind.REJECTED
            and dispatcher.sessions.session_count == 0
            and len(dispatcher.sessions.reply_ledger) == 0
        )
        controller = dispatcher.sessions.controller
        assert not any(
            one.attempts_in_flight or one.is_checking_health for one in controller.servers.values()
        )

    run_story_with_dispatcher(story)


def test_a_fault_in_telling_one_viewer_costs_no_other_its_answer_and_leaves_no_session() -> None:
    async def story(dispatcher: Dispatcher, transport: Mock) -> None:
        replies: list[SessionReply] = []
        request = SessionRequest(
            dispatcher.next_ticket(), "dash", "a", "who", "lesson", 5, 0, 4, 0, 3, 4000.0
        )
        dispatcher.submit(request, Mock(side_effect=ValueError("a fault of this program")))
        await until(lambda: transport.set_up.called)
        dispatcher.sessions.on_attempt_finished(
            dispatcher.now(), "a", 0, SetUpResult(Result.OK, 1.0, {}, "manifest")
        )
        dispatcher.sessions.stop_accepting()
        submit(dispatcher, "b", replies)
        await until(lambda: replies)
        assert (
            await dispatcher.drain(10.0) and dispatcher.sessions.session_count == 0
        )  # the reply that it plays was not delivered
        await until(lambda: transport.release.called)

    run_story_with_dispatcher(story)


def test_a_batch_that_fails_leaves_what_was_asked_its_time_and_its_answer() -> None:
    async def story(dispatcher: Dispatcher, transport: Mock) -> None:
        replies: list[SessionReply] = []
        with patch.object(
            dispatcher.sessions.controller, "handle", side_effect=ValueError("a fault of the module")
        ):
            submit(dispatcher, "a", replies, 50.0)
            dispatcher.after_step(Mock(side_effect=ValueError("a fault of this program")))
            await until(lambda: dispatcher.log.error.called)
        await until(lambda: replies)
        assert (
            replies[0].kind is ReplyKind.FAILED
            and replies[0].is_timeout
            and dispatcher.sessions.session_count == 0
        )

    run_story_with_dispatcher(story)


def test_what_is_asked_in_the_turn_of_the_stop_is_answered_before_it() -> None:
    async def story(dispatcher: Dispatcher, transport: Mock) -> None:
        replies: list[SessionReply] = []
        assert await dispatcher.drain(10.0)
        submit(dispatcher, "a", replies)
        dispatcher.run_last_step()
        dispatcher.stop()
        assert [one.kind for one in replies] == [ReplyKind.REJECTED] and len(
            dispatcher.sessions.reply_ledger
        ) == 0

    run_story_with_dispatcher(story)
