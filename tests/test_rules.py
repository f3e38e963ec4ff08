"""The six safety rules, one by one and on random histories."""

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
from tests.helpers import CLASS, RETRY_BUDGET, SETTINGS, SLOW_START, FrontDriver, entry, placements, viewer


def final_replies(actions: list[Action]) -> list[Action]:
    return [action for action in actions if isinstance(action, Reject | Fail)]


def test_a_failed_attempt_is_retried_on_another_server_before_the_final_reply() -> None:
    front = FrontDriver()
    front.request_session(1)
    assert placements(front.end_attempt(1, 1, Result.TIMEOUT))[0].server == 2
    final_actions = front.end_attempt(1, 2, Result.TIMEOUT, attempt=1)
    assert placements(final_actions) == [] and final_replies(final_actions) == [Reject(1, 1000.0)]


def test_no_reply_and_no_attempt_after_the_request_has_ended() -> None:
    front = FrontDriver()
    front.request_session(1)
    actions = front.send(AttemptEnded(1, 1, 0, Result.TIMEOUT, True, 100.0, ()))
    assert placements(actions) == [] and final_replies(actions) == []


def test_an_attempt_that_may_have_run_is_not_repeated_if_not_idempotent() -> None:
    not_idempotent = replace(SETTINGS, classes=(replace(CLASS, idempotency=Idempotency.NOT_IDEMPOTENT),))
    front = FrontDriver(settings=not_idempotent)
    front.request_session(1)
    assert final_replies(front.end_attempt(1, 1, Result.TIMEOUT)) == [Fail(1)]
    front.send(HealthCheckEnded(1, Result.OK, 5.0, ()))
    placement = placements(front.request_session(2))[0]
    assert len(placements(front.end_attempt(2, placement.server, Result.CONNECT_FAILED))) == 1


def test_only_one_attempt_is_in_flight_at_a_time() -> None:
    front = FrontDriver()
    front.request_session(1)
    assert placements(front.fire_timer()) == []


@pytest.mark.parametrize("state", [ServerState.DRAINING, ServerState.REMOVED])
def test_no_attempt_is_sent_to_a_draining_or_removed_server(state: ServerState) -> None:
    front = FrontDriver()
    front.send(EndpointListUpdate(EndpointListKind.DELTA, 2, (entry(1, state=state),)))
    assert placements(front.request_session(1))[0].server == 2


def test_a_server_missing_from_a_complete_list_is_removed() -> None:
    front = FrontDriver()
    front.send(EndpointListUpdate(EndpointListKind.FULL, 2, (entry(2, zone=1),)))
    assert placements(front.request_session(1))[0].server == 2


@pytest.mark.parametrize("fronts", [2, 50])
def test_all_fronts_together_keep_within_a_warming_servers_rate_and_use_it(fronts: int) -> None:
    settings = replace(SETTINGS, slow_start=SLOW_START, front_count=fronts, may_check_health=False)
    warming_server, attempt_count = entry(1, started_at=1.0), 0
    drivers = [FrontDriver(warming_server, settings=settings, seed=number << 40) for number in range(fronts)]
    for session in range(40):
        now = 400.0 + 75.0 * session
        actions = drivers[session % fronts].controller.handle(now, [Arrival(viewer(session, top_rung=0))])
        attempt_count += len(placements(actions))
    rate_per_ms = SETTINGS.streams_by_server_type[0] * SLOW_START.initial_factor / SLOW_START.window_ms
    assert 0 < attempt_count <= SLOW_START.overload_multiple * rate_per_ms * SLOW_START.overload_window_ms


def test_a_timeout_causes_a_health_check_whose_success_ends_the_first_ejection() -> None:
    front = FrontDriver(entry(1))
    front.request_session(1)
    assert CheckHealth(1) in front.end_attempt(1, 1, Result.TIMEOUT)
    assert placements(front.request_session(2)) == []
    front.send(HealthCheckEnded(1, Result.OK, 5.0, ()))
    assert len(placements(front.request_session(3))) == 1
    front.end_attempt(3, 1, Result.TIMEOUT)
    assert placements(front.request_session(4)) == []


def test_seats_are_limited_per_title_and_class() -> None:
    front = FrontDriver(settings=replace(SETTINGS, classes=(replace(CLASS, seats=1),)))
    front.start_session(1, top_rung=0)
    assert final_replies(front.request_session(2, top_rung=0)) == [Reject(2, 1000.0)]
    assert len(placements(front.request_session(3, top_rung=0, title=6))) == 1


def test_retries_stay_within_the_budget() -> None:
    front = FrontDriver(settings=replace(SETTINGS, retry_budget=RETRY_BUDGET))
    front.request_session(1)
    assert len(placements(front.end_attempt(1, 1, Result.ERROR))) == 1
    front.request_session(2)
    assert placements(front.end_attempt(2, 2, Result.ERROR)) == []


def test_a_request_without_candidates_is_rejected_immediately() -> None:
    front = FrontDriver(entry(1, state=ServerState.DRAINING))
    assert final_replies(front.request_session(1)) == [Reject(1, 1000.0)]


def test_a_failed_subscription_is_retried_after_a_delay() -> None:
    front = FrontDriver(settings=replace(SETTINGS, must_subscribe=True))
    failed = front.send(EndpointListUpdate(EndpointListKind.FAILED, 0, ()))
    assert Subscribe(True) not in failed
    assert Subscribe(True) in front.fire_timer(1500.0)
    assert Subscribe(True) not in front.fire_timer()


STEPS = st.lists(
    st.tuples(st.integers(0, 8), st.integers(0, 60), st.integers(0, 7), st.floats(0, 2), st.integers(1, 900)),
    max_size=120,
)


@settings(derandomize=True, deadline=None, max_examples=150)
@given(STEPS)
def test_the_safety_rules_hold_for_any_history(steps: list[tuple[int, int, int, float, int]]) -> None:
    classes = (replace(CLASS, seats=4), replace(CLASS, name="course", lowest_rung=1))
    front_settings = replace(
        SETTINGS, classes=classes, retry_budget=RETRY_BUDGET, slow_start=SLOW_START, front_count=2
    )
    front = FrontDriver(entry(1), entry(2, zone=1), entry(3, zone=2), settings=front_settings)
    in_flight: dict[int, Place] = {}
    attempts: dict[int, int] = {}
    pending: dict[int, int] = {}
    playing: dict[int, int] = {}
    seats: dict[int, tuple[int, int]] = {}
    unavailable: set[int] = set()
    retry_times: list[float] = []
    health_checks: list[int] = []

    def check(actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Place):
                session_id = action.session
                assert session_id in pending and session_id not in in_flight and session_id not in playing
                assert action.server not in unavailable
                attempts[session_id] = attempts.get(session_id, -1) + 1
                in_flight[session_id] = action
                if attempts[session_id] > 0:
                    retry_times.append(front.now)
                    assert (
                        sum(at > front.now - RETRY_BUDGET.window_ms for at in retry_times)
                        <= RETRY_BUDGET.min_retries
                    )
                seats[session_id] = (pending[session_id], 5)
                if pending[session_id] == 0:
                    assert sum(seat == seats[session_id] for seat in seats.values()) <= 4
            elif isinstance(action, CheckHealth):
                assert action.server not in health_checks
                health_checks.append(action.server)
            elif isinstance(action, Reject | Fail):
                assert action.session in pending and action.session not in in_flight
                del pending[action.session]
            elif isinstance(action, SetRung):
                class_index = pending.get(action.session, playing.get(action.session))
                assert class_index is not None and classes[class_index].lowest_rung <= action.rung <= 3

    next_session = 0
    for step_kind, choice, result, level, wait in steps:
        front.now += wait
        event: Event = TimerFired(1)
        session_id = sorted(in_flight)[choice % len(in_flight)] if in_flight else None
        playing_id = sorted(playing)[choice % len(playing)] if playing else None
        server = choice % 3 + 1
        if step_kind in (0, 1):
            next_session += 1
            pending[next_session] = choice % 2
            event = Arrival(viewer(next_session, choice % 2))
        elif step_kind == 2 and session_id is not None:
            placement = in_flight.pop(session_id)
            playing[session_id] = pending.pop(session_id)
            event = AttemptSucceeded(session_id, placement.server, attempts[session_id], 50.0)
        elif step_kind == 3 and session_id is not None and result != Result.OK:
            placement = in_flight.pop(session_id)
            seats.pop(session_id)
            event = AttemptEnded(
                session_id,
                placement.server,
                attempts[session_id],
                Result(result),
                False,
                50.0,
                (level, level),
            )
        elif step_kind == 4 and playing_id is not None:
            del playing[playing_id]
            seats.pop(playing_id)
            event = AttemptEnded(playing_id, server, attempts[playing_id], Result.OK, True, 50.0, (level,))
        elif step_kind == 5:
            event = ServerNotice(playing_id or 0, server, 0, NoticeKind(result % 4 + 1), level)
            if event.kind is NoticeKind.RUNG:
                event = ServerNotice(playing_id or 0, server, 0, NoticeKind.LINK, level)
        elif step_kind == 6:
            state = ServerState(result % 3)
            (unavailable.discard if state is ServerState.READY else unavailable.add)(server)
            event = EndpointListUpdate(
                EndpointListKind.DELTA, 9, (entry(server, zone=server - 1, state=state),)
            )
        elif step_kind == 7 and health_checks:
            event = HealthCheckEnded(health_checks.pop(0), Result(result), 5.0, (level, level))
        elif step_kind == 8:
            event = ClientDisconnected(10_000 + choice)
        check(front.send(event))
    while health_checks:
        check(front.send(HealthCheckEnded(health_checks.pop(0), Result.TIMEOUT, 250.0, ())))
    assert set(pending) == set(in_flight)


def test_timeouts_during_a_stall_of_the_front_eject_no_server() -> None:
    front = FrontDriver()
    front.fire_timer()
    front.request_session(1)
    front.now += 2000.0
    actions = front.send(AttemptEnded(1, 1, 0, Result.TIMEOUT, False, 500.0, ()), TimerFired(1))
    assert placements(actions)[0].server == 2 and CheckHealth(1) not in actions
    assert front.controller.servers[1].consecutive_failures == 0


def test_a_notice_read_after_a_stall_is_dated_before_the_stall() -> None:
    front = FrontDriver()
    front.recover_session(1, 1, 0)
    front.fire_timer()
    front.notify(1, 1, NoticeKind.LINK, 0.1)
    front.now += 2000.0
    front.send(ServerNotice(1, 1, 0, NoticeKind.LINK, 0.9), TimerFired(1))
    assert front.controller.servers[1].link.reported_at <= front.now - 2000.0
