"""Two fronts that share three servers, through restarts, drains and standstills of a front."""

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
from tests.helpers import SETTINGS, SLOW_START, Front, entry, viewer

STEP = st.tuples(
    st.integers(0, 9), st.integers(0, 11), st.sampled_from([0, 2, 3, 4, 5]), st.floats(0.0, 900.0)
)


class Fleet:
    """What is true of the servers, and the rules checked on what both fronts do together."""

    def __init__(self) -> None:
        told = replace(SETTINGS, slow_start=SLOW_START, front_count=2)
        servers = [entry(1), entry(2, zone=1), entry(3, zone=2)]
        self.fronts = [Front(*servers, settings=told, seed=number) for number in range(2)]
        self.now, self.sessions = 0.0, 0
        self.state = dict.fromkeys((1, 2, 3), ServerState.READY)
        self.started = dict.fromkeys((1, 2, 3), 0.0)
        self.sent: dict[int, list[float]] = {1: [], 2: [], 3: []}
        self.owed: list[dict[int, float]] = [{}, {}]
        self.out: list[dict[int, Place]] = [{}, {}]
        self.shots: dict[int, int] = {}
        self.probes: list[list[int]] = [[], []]

    def play(self, front: int, *events: Event) -> None:
        self.fronts[front].now = self.now
        for action in self.fronts[front].brain.handle(self.now, list(events)):
            self.check(front, action)

    def check(self, front: int, action: Action) -> None:
        owed, out = self.owed[front], self.out[front]
        if isinstance(action, Place):
            assert action.session in owed and action.session not in out
            assert self.now < owed[action.session] and action.timeout_ms <= owed[action.session] - self.now
            assert self.state[action.server] is ServerState.READY
            out[action.session] = action
            self.shots[action.session] = self.shots.get(action.session, -1) + 1
            self.sent[action.server].append(self.now)
            self.keep_to_the_pace(action.server)
        elif isinstance(action, Reject | Fail):
            assert action.session in owed and action.session not in out
            del owed[action.session]
        elif isinstance(action, CheckHealth):
            self.probes[front].append(action.server)

    def keep_to_the_pace(self, server: int) -> None:
        age = self.now - self.started[server]
        if self.started[server] and age < SLOW_START.window_ms:
            warmth = (
                SLOW_START.initial_factor + (1.0 - SLOW_START.initial_factor) * age / SLOW_START.window_ms
            )
            bears = (
                SETTINGS.streams_by_server_type[0]
                * warmth
                / SLOW_START.window_ms
                * SLOW_START.overload_window_ms
                * SLOW_START.overload_multiple
            )
            window = max(self.started[server], self.now - SLOW_START.overload_window_ms)
            assert sum(at >= window for at in self.sent[server]) <= bears + 1.0

    def end(self, front: int, session: int, result: Result) -> None:
        place = self.out[front].pop(session)
        self.play(front, AttemptEnded(session, place.server, self.shots[session], result, False, 50.0, ()))

    def step(self, what: int, pick: int, result: int, wait: float) -> None:
        self.now += wait
        front, server = pick % 2, pick % 3 + 1
        out = sorted(self.out[front])
        if what <= 3:
            self.sessions += 1
            self.owed[front][self.sessions] = self.now + 4000.0
            self.play(front, Arrival(viewer(self.sessions, title=pick, top_rung=0)))
        elif what == 4 and out:
            place = self.out[front].pop(out[0])
            del self.owed[front][out[0]]
            self.play(front, AttemptSucceeded(out[0], place.server, self.shots[out[0]], 50.0))
        elif what == 5 and out:
            self.end(front, out[0], Result(result))
        elif what == 6:
            self.play(front, TimerFired(1))
        elif what == 7:
            self.now += 2500.0
            late = [
                AttemptEnded(
                    one, self.out[front][one].server, self.shots[one], Result.TIMEOUT, False, 500.0, ()
                )
                for one in out
            ]
            self.out[front].clear()
            self.play(front, *late, TimerFired(1))
        elif what == 8:
            self.restart(server)
        elif what == 9:
            self.state[server] = ServerState.DRAINING
            self.tell(server)
        while self.probes[front]:
            answer = Result.OK if self.state[self.probes[front][0]] is ServerState.READY else Result.TIMEOUT
            self.play(front, HealthCheckEnded(self.probes[front].pop(0), answer, 5.0, ()))

    def restart(self, server: int) -> None:
        self.state[server], self.started[server] = ServerState.READY, self.now
        for front in range(2):
            for session in [one for one, place in self.out[front].items() if place.server == server]:
                self.out[front].pop(session)
                self.owed[front].pop(session)
                self.play(
                    front, AttemptEnded(session, server, self.shots[session], Result.RESET, True, 50.0, ())
                )
        self.tell(server)

    def tell(self, server: int) -> None:
        state, started = self.state[server], self.started[server]
        news = entry(server, zone=server - 1, state=state, started_at=started)
        for front in range(2):
            self.play(front, EndpointListUpdate(EndpointListKind.DELTA, 2, (news,)))


@settings(derandomize=True, deadline=None, max_examples=120)
@given(st.lists(STEP, max_size=80))
def test_the_rules_hold_on_what_two_fronts_do_together(steps: list[tuple[int, int, int, float]]) -> None:
    fleet = Fleet()
    for step in steps:
        fleet.step(*step)
    for front in range(2):
        assert set(fleet.owed[front]) == set(fleet.out[front])


def test_a_server_back_from_a_restart_is_used_again() -> None:
    fleet = Fleet()
    for server in (2, 3):
        fleet.step(9, server - 1, 0, 1.0)
    fleet.restart(1)
    for number in range(160):
        fleet.step(0, number, 0, 100.0)
        for front in range(2):
            fleet.step(4, front, 0, 1.0)
    assert len(fleet.sent[1]) > 10
