"""The six rules, one by one, and then on random histories."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fernweir.interface import (
    Action,
    Arrival,
    AttemptEnded,
    AttemptSucceeded,
    CheckHealth,
    ClientDisconnected,
    EndpointListKind,
    EndpointListUpdate,
    Event,
    Fail,
    HealthCheckEnded,
    Idempotency,
    NoticeKind,
    Place,
    Reject,
    Result,
    ServerNotice,
    ServerState,
    SetRung,
    Subscribe,
    TimerFired,
)
from tests.helpers import CLASS, RETRY_BUDGET, SETTINGS, SLOW_START, Front, entry, placed, viewer


def answers(actions: list[Action]) -> list[Action]:
    return [action for action in actions if isinstance(action, Reject | Fail)]


def test_a_failed_attempt_is_followed_by_another_elsewhere_then_by_an_answer() -> None:
    front = Front()
    front.ask(1)
    assert placed(front.end(1, 1, Result.TIMEOUT))[0].server == 2
    last = front.end(1, 2, Result.TIMEOUT, attempt=1)
    assert placed(last) == [] and answers(last) == [Reject(1, 1000.0)]


def test_no_answer_and_no_attempt_after_the_request_is_over() -> None:
    front = Front()
    front.ask(1)
    late = front.send(AttemptEnded(1, 1, 0, Result.TIMEOUT, True, 100.0, ()))
    assert placed(late) == [] and answers(late) == []


def test_an_attempt_that_may_have_run_is_not_repeated_where_once_is_told() -> None:
    once = replace(SETTINGS, classes=(replace(CLASS, idempotency=Idempotency.NOT_IDEMPOTENT),))
    front = Front(settings=once)
    front.ask(1)
    assert answers(front.end(1, 1, Result.TIMEOUT)) == [Fail(1)]
    front.send(HealthCheckEnded(1, Result.OK, 5.0, ()))
    place = placed(front.ask(2))[0]
    assert len(placed(front.end(2, place.server, Result.CONNECT_FAILED))) == 1


def test_only_one_attempt_is_out_at_once() -> None:
    front = Front()
    front.ask(1)
    assert placed(front.tick()) == []


@pytest.mark.parametrize("state", [ServerState.DRAINING, ServerState.REMOVED])
def test_nothing_new_goes_to_a_server_that_drains_or_is_gone(state: ServerState) -> None:
    front = Front()
    front.send(EndpointListUpdate(EndpointListKind.DELTA, 2, (entry(1, state=state),)))
    assert placed(front.ask(1))[0].server == 2


def test_a_server_missing_from_a_whole_list_is_gone() -> None:
    front = Front()
    front.send(EndpointListUpdate(EndpointListKind.FULL, 2, (entry(2, zone=1),)))
    assert placed(front.ask(1))[0].server == 2


@pytest.mark.parametrize("fronts", [2, 50])
def test_all_fronts_together_keep_to_a_cold_servers_pace_and_use_it(fronts: int) -> None:
    settings = replace(SETTINGS, slow_start=SLOW_START, front_count=fronts, may_check_health=False)
    cold, sent = entry(1, started_at=1.0), 0
    several = [Front(cold, settings=settings, seed=number << 40) for number in range(fronts)]
    for session in range(40):
        now = 400.0 + 75.0 * session
        actions = several[session % fronts].brain.handle(now, [Arrival(viewer(session, top_rung=0))])
        sent += len(placed(actions))
    pace = SETTINGS.streams_by_server_type[0] * SLOW_START.initial_factor / SLOW_START.window_ms
    assert 0 < sent <= SLOW_START.overload_multiple * pace * SLOW_START.overload_window_ms


def test_a_time_out_is_probed_at_once_and_an_answer_ends_the_first_suspicion() -> None:
    front = Front(entry(1))
    front.ask(1)
    assert CheckHealth(1) in front.end(1, 1, Result.TIMEOUT)
    assert placed(front.ask(2)) == []
    front.send(HealthCheckEnded(1, Result.OK, 5.0, ()))
    assert len(placed(front.ask(3))) == 1
    front.end(3, 1, Result.TIMEOUT)
    assert placed(front.ask(4)) == []


def test_seats_hold_for_one_title_and_class() -> None:
    front = Front(settings=replace(SETTINGS, classes=(replace(CLASS, seats=1),)))
    front.start(1, top_rung=0)
    assert answers(front.ask(2, top_rung=0)) == [Reject(2, 1000.0)]
    assert len(placed(front.ask(3, top_rung=0, title=6))) == 1


def test_further_attempts_stay_within_the_budget() -> None:
    front = Front(settings=replace(SETTINGS, retry_budget=RETRY_BUDGET))
    front.ask(1)
    assert len(placed(front.end(1, 1, Result.ERROR))) == 1
    front.ask(2)
    assert placed(front.end(2, 2, Result.ERROR)) == []


def test_refuses_at_once_and_does_not_hold_a_request() -> None:
    front = Front(entry(1, state=ServerState.DRAINING))
    assert answers(front.ask(1)) == [Reject(1, 1000.0)]


def test_a_failed_call_to_the_list_is_made_again_a_while_later() -> None:
    front = Front(settings=replace(SETTINGS, must_subscribe=True))
    failed = front.send(EndpointListUpdate(EndpointListKind.FAILED, 0, ()))
    assert Subscribe(True) not in failed
    assert Subscribe(True) in front.tick(1500.0)
    assert Subscribe(True) not in front.tick()


STEPS = st.lists(
    st.tuples(st.integers(0, 8), st.integers(0, 60), st.integers(0, 7), st.floats(0, 2), st.integers(1, 900)),
    max_size=120,
)


@settings(derandomize=True, deadline=None, max_examples=150)
@given(STEPS)
def test_the_rules_hold_on_any_history(steps: list[tuple[int, int, int, float, int]]) -> None:
    classes = (replace(CLASS, seats=4), replace(CLASS, name="course", lowest_rung=1))
    told = replace(SETTINGS, classes=classes, retry_budget=RETRY_BUDGET, slow_start=SLOW_START, front_count=2)
    front = Front(entry(1), entry(2, zone=1), entry(3, zone=2), settings=told)
    out: dict[int, Place] = {}
    shots: dict[int, int] = {}
    owed: dict[int, int] = {}
    playing: dict[int, int] = {}
    held: dict[int, tuple[int, int]] = {}
    gone: set[int] = set()
    extra: list[float] = []
    probed: list[int] = []

    def check(actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Place):
                rid = action.session
                assert rid in owed and rid not in out and rid not in playing
                assert action.server not in gone
                shots[rid] = shots.get(rid, -1) + 1
                out[rid] = action
                if shots[rid] > 0:
                    extra.append(front.now)
                    assert (
                        sum(at > front.now - RETRY_BUDGET.window_ms for at in extra)
                        <= RETRY_BUDGET.min_retries
                    )
                held[rid] = (owed[rid], 5)
                if owed[rid] == 0:
                    assert sum(seat == held[rid] for seat in held.values()) <= 4
            elif isinstance(action, CheckHealth):
                assert action.server not in probed
                probed.append(action.server)
            elif isinstance(action, Reject | Fail):
                assert action.session in owed and action.session not in out
                del owed[action.session]
            elif isinstance(action, SetRung):
                cls = owed.get(action.session, playing.get(action.session))
                assert cls is not None and classes[cls].lowest_rung <= action.rung <= 3

    next_session = 0
    for what, pick, result, level, wait in steps:
        front.now += wait
        event: Event = TimerFired(1)
        rid = sorted(out)[pick % len(out)] if out else None
        live = sorted(playing)[pick % len(playing)] if playing else None
        server = pick % 3 + 1
        if what in (0, 1):
            next_session += 1
            owed[next_session] = pick % 2
            event = Arrival(viewer(next_session, pick % 2))
        elif what == 2 and rid is not None:
            place = out.pop(rid)
            playing[rid] = owed.pop(rid)
            event = AttemptSucceeded(rid, place.server, shots[rid], 50.0)
        elif what == 3 and rid is not None and result != Result.OK:
            place = out.pop(rid)
            held.pop(rid)
            event = AttemptEnded(rid, place.server, shots[rid], Result(result), False, 50.0, (level, level))
        elif what == 4 and live is not None:
            del playing[live]
            held.pop(live)
            event = AttemptEnded(live, server, shots[live], Result.OK, True, 50.0, (level,))
        elif what == 5:
            event = ServerNotice(live or 0, server, 0, NoticeKind(result % 4 + 1), level)
            if event.kind is NoticeKind.RUNG:
                event = ServerNotice(live or 0, server, 0, NoticeKind.LINK, level)
        elif what == 6:
            state = ServerState(result % 3)
            (gone.discard if state is ServerState.READY else gone.add)(server)
            event = EndpointListUpdate(
                EndpointListKind.DELTA, 9, (entry(server, zone=server - 1, state=state),)
            )
        elif what == 7 and probed:
            event = HealthCheckEnded(probed.pop(0), Result(result), 5.0, (level, level))
        elif what == 8:
            event = ClientDisconnected(10_000 + pick)
        check(front.send(event))
    while probed:
        check(front.send(HealthCheckEnded(probed.pop(0), Result.TIMEOUT, 250.0, ())))
    assert set(owed) == set(out)


def test_a_front_that_stood_still_blames_no_server_for_what_it_then_finds() -> None:
    front = Front()
    front.tick()
    front.ask(1)
    front.now += 2000.0
    found = front.send(AttemptEnded(1, 1, 0, Result.TIMEOUT, False, 500.0, ()), TimerFired(1))
    assert placed(found)[0].server == 2 and CheckHealth(1) not in found
    assert front.brain.servers[1].consecutive_failures == 0


def test_a_note_found_after_a_standstill_does_not_pass_for_new() -> None:
    front = Front()
    front.take_over(1, 1, 0)
    front.tick()
    front.note(1, 1, NoticeKind.LINK, 0.1)
    front.now += 2000.0
    front.send(ServerNotice(1, 1, 0, NoticeKind.LINK, 0.9), TimerFired(1))
    assert front.brain.servers[1].link.reported_at <= front.now - 2000.0
