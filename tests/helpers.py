"""A small test deployment, and a driver that sends events to the controller of one front."""

from __future__ import annotations

from dataclasses import replace

from fernweir.controller import Controller
from fernweir.interface import (
    Action,
    Arrival,
    AttemptEnded,
    AttemptSucceeded,
    Endpoint,
    EndpointListKind,
    EndpointListUpdate,
    Event,
    Idempotency,
    NoticeKind,
    Place,
    Result,
    RetryBudget,
    ServerNotice,
    ServerState,
    SessionClass,
    SessionRecovered,
    SetRung,
    Settings,
    SlowStart,
    TimerFired,
    Viewer,
)

CLASS = SessionClass(
    name="film",
    latency_objective_ms=1000.0,
    deadline_ms=4000.0,
    priority_weight=1.0,
    idempotency=Idempotency.IDEMPOTENT,
    rate_multiplier=1.0,
    lowest_rung=0,
    top_rung=3,
    seats=0,
)
SETTINGS = Settings(
    classes=(CLASS, replace(CLASS, name="course", lowest_rung=1, priority_weight=3.0)),
    front_count=1,
    front_index=0,
    batch_period_ms=10.0,
    zone_count=4,
    rack_count=2,
    rung_rates_kbyte_s=(100.0, 200.0, 400.0, 800.0),
    rung_utilities=(0.25, 0.5, 0.8, 1.0),
    streams_by_server_type=(20,),
    link_rate_per_weight_kbyte_s=2000.0,
    uplink_rate_kbyte_s=6000.0,
    switch_cost_s=0.5,
    report_delay_ms=500.0,
    report_interval_ms=2000.0,
    report_fields=("x0", "x1"),
    must_subscribe=False,
    may_check_health=True,
    max_attempts=3,
    max_retry_after_ms=1000.0,
    reply_slack_ms=40.0,
    drain_grace_ms=1000.0,
    slow_start=None,
    retry_budget=None,
)
SLOW_START = SlowStart(
    window_ms=10_000.0, initial_factor=0.5, overload_multiple=2.5, overload_window_ms=3000.0
)
RETRY_BUDGET = RetryBudget(window_ms=10_000.0, min_retries=1.0, retry_ratio=0.0)


def entry(server: int, zone: int = 0, weight: float = 1.0, **overrides: object) -> Endpoint:
    defaults = Endpoint(server, ServerState.READY, 0.0, zone, 0, weight)
    return replace(defaults, **overrides)  # type: ignore[arg-type]


class FrontDriver:
    """Drives one controller: advances its clock and sends it events."""

    def __init__(self, *entries: Endpoint, settings: Settings = SETTINGS, seed: int = 7) -> None:
        self.controller = Controller(settings, seed)
        self.now = 0.0
        self.send(EndpointListUpdate(EndpointListKind.FULL, 1, entries or (entry(1), entry(2, zone=1))))

    def send(self, *events: Event, after: float = 10.0) -> list[Action]:
        self.now += after
        return self.controller.handle(self.now, list(events))

    def request_session(self, session: int, class_index: int = 0, **overrides: object) -> list[Action]:
        return self.send(Arrival(viewer(session, class_index, **overrides)))

    def start_session(self, session: int, class_index: int = 0, **overrides: object) -> Place:
        """Requests a session and reports its set-up as successful."""
        place = placements(self.request_session(session, class_index, **overrides))[0]
        self.send(AttemptSucceeded(session, place.server, 0, 100.0))
        return place

    def end_attempt(
        self, session: int, server: int, result: Result, attempt: int = 0, is_final: bool = False
    ) -> list[Action]:
        return self.send(AttemptEnded(session, server, attempt, result, is_final, 100.0, ()))

    def notify(self, session: int, server: int, kind: NoticeKind, level: float) -> list[Action]:
        return self.send(ServerNotice(session, server, 0, kind, level))

    def recover_session(
        self, session: int, server: int, rung: int, class_index: int = 0, **overrides: object
    ) -> list[Action]:
        event = SessionRecovered(viewer(session, class_index, **overrides), server)
        return self.send(event, ServerNotice(session, server, 0, NoticeKind.RUNG, float(rung)))

    def fire_timer(self, after: float = 250.0) -> list[Action]:
        return self.send(TimerFired(1), after=after)


def viewer(session: int, class_index: int = 0, **overrides: object) -> Viewer:
    defaults = Viewer(
        session=session,
        class_index=class_index,
        key=session,
        title=5,
        first_zone=0,
        replicas=4,
        top_rung=3,
        length_ms=None,
        remaining_ms=4000.0,
        was_moved=False,
        is_returning=False,
    )
    return replace(defaults, **overrides)  # type: ignore[arg-type]


def placements(actions: list[Action]) -> list[Place]:
    return [action for action in actions if isinstance(action, Place)]


def rung_changes(actions: list[Action]) -> list[SetRung]:
    return [action for action in actions if isinstance(action, SetRung)]
