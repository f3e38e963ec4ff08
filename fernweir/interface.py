"""The input and output types of the controller: settings, events and actions.

Settings describe the deployment, events what happened at a front, and actions what it must do. Times are
milliseconds of the front's clock, rates are in kB per second, loads are ratios of demand to capacity, and
rungs count from 0, the lowest. Sessions, servers, titles and timers are identified by numbers.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum


class Idempotency(Enum):
    """Whether a set-up that may already have run may be repeated.

    Attributes:
        IDEMPOTENT: It may be repeated on any server.
        WITH_KEY: It may be repeated only on servers that share its idempotency keys.
        NOT_IDEMPOTENT: It must not be repeated.
    """

    IDEMPOTENT = "repeatable"
    WITH_KEY = "by_key"
    NOT_IDEMPOTENT = "once"


class ServerState(IntEnum):
    """The state of a server on the endpoint list; only ready servers get new sessions."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


class EndpointListKind(IntEnum):
    """The kind of an update of the endpoint list.

    Attributes:
        FAILED: The list could not be read; the update has no entries.
        CACHED: The complete list, read from a cache.
        FULL: The complete list.
        DELTA: Only the entries that changed.
    """

    FAILED = 0
    CACHED = 1
    FULL = 2
    DELTA = 3


class Result(IntEnum):
    """The result of an attempt or a health check.

    Attributes:
        ERROR: The server replied with an error.
        OK: It succeeded.
        FULL: The server rejected it for lack of capacity.
        TIMEOUT: No reply arrived in time.
        CONNECT_FAILED: No connection could be established, so nothing was sent.
        RESET: The connection broke while the attempt was in flight or the session played.
        CANCELLED: The front cancelled it.
        NOT_SENT: It became unnecessary before it was sent.
    """

    ERROR = 0
    OK = 1
    FULL = 2
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    CANCELLED = 6
    NOT_SENT = 7


# Labels of results and states in logs, journals and records. They are stored, so they must not change when a
# member is renamed.
RESULT_LABELS = {
    Result.ERROR: "error",
    Result.OK: "ok",
    Result.FULL: "full",
    Result.TIMEOUT: "timeout",
    Result.CONNECT_FAILED: "connect_failed",
    Result.RESET: "reset",
    Result.CANCELLED: "cancelled",
    Result.NOT_SENT: "moot",
}
SERVER_STATE_LABELS = {
    ServerState.REMOVED: "gone",
    ServerState.READY: "ready",
    ServerState.DRAINING: "draining",
}


class NoticeKind(IntEnum):
    """The subject of a server notice, which defines the meaning of its level.

    Attributes:
        DELIVERED: The smoothed ratio of the rate delivered to the server's sessions to their demand, 0 to 1.
        RUNG: The current rung of a session.
        LINK: The load of the server's link.
        UPLINK: The load of the rack's uplink.
    """

    DELIVERED = 1
    RUNG = 2
    LINK = 3
    UPLINK = 4


@dataclass(frozen=True, slots=True)
class SessionClass:
    """A class of sessions.

    Attributes:
        name: Its name in logs and settings.
        latency_objective_ms: The time within which a request should get its reply.
        deadline_ms: The time after which a reply is useless to the client.
        priority_weight: The weight of its sessions when load is shed.
        idempotency: Whether a set-up that may have run may be repeated.
        rate_multiplier: The ratio of its rate at a rung to the rung's rate.
        lowest_rung: The lowest rung that its sessions may have.
        top_rung: The highest rung that its sessions may have.
        seats: The maximum number of sessions per title at a front; 0 means no limit.
    """

    name: str
    latency_objective_ms: float
    deadline_ms: float
    priority_weight: float
    idempotency: Idempotency
    rate_multiplier: float
    lowest_rung: int
    top_rung: int
    seats: int


@dataclass(frozen=True, slots=True)
class RetryBudget:
    """Limits the retries in any window to `min_retries` plus `retry_ratio` times the arrivals.

    Attributes:
        window_ms: The length of the window.
        min_retries: The retries allowed without any arrivals.
        retry_ratio: The additional retries allowed per arrival.
    """

    window_ms: float
    min_retries: float
    retry_ratio: float


@dataclass(frozen=True, slots=True)
class SlowStart:
    """Limits the rate at which all fronts together send attempts to a recently started server.

    The rate is the server's stream slots per `window_ms` times a factor rising from `initial_factor` to 1.

    Attributes:
        window_ms: The time from the start of a server until it has its full capacity.
        initial_factor: The minimum fraction of its capacity that it has at its start.
        overload_multiple: The multiple of the above rate at which a warming server collapses.
        overload_window_ms: The time over which attempts are counted for `overload_multiple`.
    """

    window_ms: float
    initial_factor: float
    overload_multiple: float
    overload_window_ms: float


@dataclass(frozen=True, slots=True)
class Settings:
    """The configuration of a front; None means that a limit or data source is absent.

    Attributes:
        classes: The session classes, indexed by `Viewer.class_index`.
        front_count: The number of fronts in the deployment.
        front_index: The index of this front among them.
        batch_period_ms: The shortest time between two calls of the controller.
        zone_count: The number of zones that servers and titles are distributed over.
        rack_count: The number of racks, each with one uplink; a server's rack is its zone modulo this number.
        rung_rates_kbyte_s: The rate of each rung.
        rung_utilities: The utility of a second at each rung to a viewer, at most 1.
        streams_by_server_type: The maximum number of concurrent sessions on a server of each type.
        link_rate_per_weight_kbyte_s: The capacity of a server's link per unit of weight.
        uplink_rate_kbyte_s: The mean capacity of an uplink.
        switch_cost_s: The cost of a rung change to a viewer, in seconds at utility 1.
        report_delay_ms: The delay with which server notices arrive.
        report_interval_ms: The time between two notices of a link's load; 0 if there are none.
        report_fields: The names of a report's values: `x0` or `cpu` is the link's load, `x1` the uplink's.
        must_subscribe: Whether the endpoint list is sent only after a subscription.
        may_check_health: Whether health checks are allowed.
        max_attempts: The maximum number of attempts per request.
        max_retry_after_ms: The longest Retry-After delay of a rejection that clients respect.
        reply_slack_ms: The time after a deadline during which a reply is still valid.
        drain_grace_ms: How long a server that is listed as draining or removed may still be sent attempts.
        slow_start: The limits on servers that have just started.
        retry_budget: The limit on retries.
    """

    classes: tuple[SessionClass, ...]
    front_count: int
    front_index: int
    batch_period_ms: float
    zone_count: int
    rack_count: int
    rung_rates_kbyte_s: tuple[float, ...]
    rung_utilities: tuple[float, ...]
    streams_by_server_type: tuple[int, ...]
    link_rate_per_weight_kbyte_s: float
    uplink_rate_kbyte_s: float | None
    switch_cost_s: float
    report_delay_ms: float
    report_interval_ms: float
    report_fields: tuple[str, ...]
    must_subscribe: bool
    may_check_health: bool
    max_attempts: int | None
    max_retry_after_ms: float | None
    reply_slack_ms: float
    drain_grace_ms: float | None
    slow_start: SlowStart | None
    retry_budget: RetryBudget | None


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A server on the endpoint list.

    Attributes:
        server: The server's number.
        state: The server's state.
        started_at: When its process started, in milliseconds; 0 if unknown or long ago.
        zone: Its zone, which determines the titles that it has.
        server_type: The index of its type in `Settings.streams_by_server_type`.
        weight: The relative capacity of its link.
    """

    server: int
    state: ServerState
    started_at: float
    zone: int
    server_type: int
    weight: float


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """The endpoint list was read, or reading it failed."""

    kind: EndpointListKind
    version: int
    entries: tuple[Endpoint, ...]


@dataclass(frozen=True, slots=True)
class Viewer:
    """A viewer's request for a title, with the limits of its device and its time.

    Attributes:
        session: The requested session.
        class_index: The index of its class in `Settings.classes`.
        key: The viewer's key, the same in each of its requests.
        title: The requested title.
        first_zone: The first zone with servers that have the title.
        replicas: The number of consecutive zones, from the first, that have the title.
        top_rung: The highest rung that the viewer's device can play.
        length_ms: A rough estimate of the viewing time, or None.
        remaining_ms: The time left for the reply.
        was_moved: Whether this front ended the viewer's previous session to migrate it.
        is_returning: Whether the viewer has made a request before.
    """

    session: int
    class_index: int
    key: int
    title: int
    first_zone: int
    replicas: int
    top_rung: int
    length_ms: float | None
    remaining_ms: float
    was_moved: bool
    is_returning: bool


@dataclass(frozen=True, slots=True)
class Arrival:
    """A viewer requested a session; it gets exactly one final reply within `Viewer.remaining_ms`."""

    viewer: Viewer


@dataclass(frozen=True, slots=True)
class SessionRecovered:
    """A session was already playing on `server` when this front started."""

    viewer: Viewer
    server: int


@dataclass(frozen=True, slots=True)
class AttemptSucceeded:
    """A server accepted the session, which is now playing."""

    session: int
    server: int
    attempt: int
    duration_ms: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt, or the session that it set up, has ended.

    Attributes:
        session: The session.
        server: The server.
        attempt: The number of the attempt within the session, from 0.
        result: The result of the attempt.
        is_final: Whether no reply to the client is outstanding.
        duration_ms: The duration of the attempt.
        report: The server's load report, by `Settings.report_fields`; empty if it sent none.
    """

    session: int
    server: int
    attempt: int
    result: Result
    is_final: bool
    duration_ms: float
    report: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client disconnected before it got its reply."""

    session: int


@dataclass(frozen=True, slots=True)
class ServerNotice:
    """A server sent a notice about one of its sessions; the kind defines the meaning of the level."""

    session: int
    server: int
    attempt: int
    kind: NoticeKind
    level: float


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that the controller set has expired."""

    token: int


@dataclass(frozen=True, slots=True)
class HealthCheckEnded:
    """A health check has ended; the report is as in `AttemptEnded`."""

    server: int
    result: Result
    duration_ms: float
    report: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class FrontMessage:
    """Another front sent a message; the controller ignores it."""

    sender: int
    body: bytes


Event = (
    EndpointListUpdate
    | Arrival
    | SessionRecovered
    | AttemptSucceeded
    | AttemptEnded
    | ClientDisconnected
    | ServerNotice
    | TimerFired
    | HealthCheckEnded
    | FrontMessage
)


@dataclass(frozen=True, slots=True)
class Place:
    """Send an attempt to set up a session to a server."""

    session: int
    server: int
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class SetRung:
    """Set the rung of a session, or of the attempt that is about to be sent."""

    session: int
    rung: int


@dataclass(frozen=True, slots=True)
class Migrate:
    """End a playing session to migrate it: its viewer reconnects and is placed again."""

    session: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Reject a request that may safely be repeated; a `retry_after_ms` of 0 omits Retry-After."""

    session: int
    retry_after_ms: float


@dataclass(frozen=True, slots=True)
class Fail:
    """Reply that a request failed; an attempt of it may have run and must not be repeated."""

    session: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Report `TimerFired` with this token after a delay."""

    token: int
    after_ms: float


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Send a health check to a server."""

    server: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Start or stop the subscription to the endpoint list."""

    active: bool


@dataclass(frozen=True, slots=True)
class Log:
    """Write a line to the log."""

    text: str


Action = Place | SetRung | Migrate | Reject | Fail | SetTimer | CheckHealth | Subscribe | Log
