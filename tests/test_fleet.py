"""Two fronts that share three servers, during restarts and drains of servers and stalls of a front."""

from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from fernweir.interface import (
    Action,
    Arrival,
    AttemptEnded,
    AttemptSucceeded,
    CheckHealth,
    EndpointListKind,
    EndpointListUpdate,
    Event,
    Fail,
    HealthCheckEnded,
    Place,
    Reject,
    Result,
    ServerState,
    TimerFired,
)
from tests.helpers import SETTINGS, SLOW_START, FrontDriver, entry, viewer

STEP = st.tuples(
    st.integers(0, 9), st.integers(0, 11), st.sampled_from([0, 2, 3, 4, 5]), st.floats(0.0, 900.0)
)


class Fleet:
    """Simulates the servers and checks the safety rules on the combined actions of both fronts."""

    def __init__(self) -> None:
        front_settings = replace(SETTINGS, slow_start=SLOW_START, front_count=2)
        servers = [entry(1), entry(2, zone=1), entry(3, zone=2)]
        self.fronts = [FrontDriver(*servers, settings=front_settings, seed=number) for number in range(2)]
        self.now, self.sessions = 0.0, 0
        self.state = dict.fromkeys((1, 2, 3), ServerState.READY)
        self.started_at = dict.fromkeys((1, 2, 3), 0.0)
        self.attempt_times: dict[int, list[float]] = {1: [], 2: [], 3: []}
        self.reply_deadlines: list[dict[int, float]] = [{}, {}]
        self.in_flight: list[dict[int, Place]] = [{}, {}]
        self.attempt_numbers: dict[int, int] = {}
        self.health_checks: list[list[int]] = [[], []]

    def handle_events(self, front: int, *events: Event) -> None:
        self.fronts[front].now = self.now
        for action in self.fronts[front].controller.handle(self.now, list(events)):
            self.check(front, action)

    def check(self, front: int, action: Action) -> None:
        reply_deadlines, in_flight = self.reply_deadlines[front], self.in_flight[front]
        if isinstance(action, Place):
            assert action.session in reply_deadlines and action.session not in in_flight
            assert (
                self.now < reply_deadlines[action.session]
                and action.timeout_ms <= reply_deadlines[action.session] - self.now
            )
            assert self.state[action.server] is ServerState.READY
            in_flight[action.session] = action
            self.attempt_numbers[action.session] = self.attempt_numbers.get(action.session, -1) + 1
            self.attempt_times[action.server].append(self.now)
            self.check_attempt_rate(action.server)
        elif isinstance(action, Reject | Fail):
            assert action.session in reply_deadlines and action.session not in in_flight
            del reply_deadlines[action.session]
        elif isinstance(action, CheckHealth):
            self.health_checks[front].append(action.server)

    def check_attempt_rate(self, server: int) -> None:
        age = self.now - self.started_at[server]
        if self.started_at[server] and age < SLOW_START.window_ms:
            slow_start_factor = (
                SLOW_START.initial_factor + (1.0 - SLOW_START.initial_factor) * age / SLOW_START.window_ms
            )
            allowed = (
                SETTINGS.streams_by_server_type[0]
                * slow_start_factor
                / SLOW_START.window_ms
                * SLOW_START.overload_window_ms
                * SLOW_START.overload_multiple
            )
            window = max(self.started_at[server], self.now - SLOW_START.overload_window_ms)
            assert sum(at >= window for at in self.attempt_times[server]) <= allowed + 1.0

    def end_attempt(self, front: int, session: int, result: Result) -> None:
        placement = self.in_flight[front].pop(session)
        self.handle_events(
            front,
            AttemptEnded(session, placement.server, self.attempt_numbers[session], result, False, 50.0, ()),
        )

    def step(self, step_kind: int, choice: int, result: int, wait: float) -> None:
        self.now += wait
        front, server = choice % 2, choice % 3 + 1
        in_flight = sorted(self.in_flight[front])
        if step_kind <= 3:
            self.sessions += 1
            self.reply_deadlines[front][self.sessions] = self.now + 4000.0
            self.handle_events(front, Arrival(viewer(self.sessions, title=choice, top_rung=0)))
        elif step_kind == 4 and in_flight:
            placement = self.in_flight[front].pop(in_flight[0])
            del self.reply_deadlines[front][in_flight[0]]
            self.handle_events(
                front,
                AttemptSucceeded(in_flight[0], placement.server, self.attempt_numbers[in_flight[0]], 50.0),
            )
        elif step_kind == 5 and in_flight:
            self.end_attempt(front, in_flight[0], Result(result))
        elif step_kind == 6:
            self.handle_events(front, TimerFired(1))
        elif step_kind == 7:
            self.now += 2500.0
            timeouts = [
                AttemptEnded(
                    session,
                    self.in_flight[front][session].server,
                    self.attempt_numbers[session],
                    Result.TIMEOUT,
                    False,
                    500.0,
                    (),
                )
                for session in in_flight
            ]
            self.in_flight[front].clear()
            self.handle_events(front, *timeouts, TimerFired(1))
        elif step_kind == 8:
            self.restart(server)
        elif step_kind == 9:
            self.state[server] = ServerState.DRAINING
            self.update_endpoint_list(server)
        while self.health_checks[front]:
            health_check_result = (
                Result.OK if self.state[self.health_checks[front][0]] is ServerState.READY else Result.TIMEOUT
            )
            self.handle_events(
                front, HealthCheckEnded(self.health_checks[front].pop(0), health_check_result, 5.0, ())
            )

    def restart(self, server: int) -> None:
        self.state[server], self.started_at[server] = ServerState.READY, self.now
        for front in range(2):
            for session in [
                session for session, placement in self.in_flight[front].items() if placement.server == server
            ]:
                self.in_flight[front].pop(session)
                self.reply_deadlines[front].pop(session)
                self.handle_events(
                    front,
                    AttemptEnded(
                        session, server, self.attempt_numbers[session], Result.RESET, True, 50.0, ()
                    ),
                )
        self.update_endpoint_list(server)

    def update_endpoint_list(self, server: int) -> None:
        state, started_at = self.state[server], self.started_at[server]
        endpoint = entry(server, zone=server - 1, state=state, started_at=started_at)
        for front in range(2):
            self.handle_events(front, EndpointListUpdate(EndpointListKind.DELTA, 2, (endpoint,)))


@settings(derandomize=True, deadline=None, max_examples=120)
@given(st.lists(STEP, max_size=80))
def test_the_safety_rules_hold_for_two_fronts_together(steps: list[tuple[int, int, int, float]]) -> None:
    fleet = Fleet()
    for step in steps:
        fleet.step(*step)
    for front in range(2):
        assert set(fleet.reply_deadlines[front]) == set(fleet.in_flight[front])


def test_a_restarted_server_is_used_again() -> None:
    fleet = Fleet()
    for server in (2, 3):
        fleet.step(9, server - 1, 0, 1.0)
    fleet.restart(1)
    for number in range(160):
        fleet.step(0, number, 0, 100.0)
        for front in range(2):
            fleet.step(4, front, 0, 1.0)
    assert len(fleet.attempt_times[1]) > 10
