"""The types that go into the controller and come out of it: settings, events and actions.

Settings describe the deployment, events say what a front has seen, actions say what it should do. Times are
milliseconds of the front's clock, rates are kB a second, loads are ratios of demand to capacity, and rungs
count from 0, the lowest. Sessions, servers, titles and timers are identified by numbers.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum


class Idempotency(Enum):
    """Whether a set-up that may have run already may be attempted again.

    Attributes:
        IDEMPOTENT: It may be repeated.
        WITH_KEY: It may be repeated only at servers that share its idempotency keys.
        NOT_IDEMPOTENT: It must not be repeated.
    """

    IDEMPOTENT = "repeatable"
    WITH_KEY = "by_key"
    NOT_IDEMPOTENT = "once"


class ServerState(IntEnum):
    """The state of a server on the endpoint list; only a ready one gets new sessions."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


class EndpointListKind(IntEnum):
    """What an update of the endpoint list is.

    Attributes:
        FAILED: The list could not be read; there are no entries.
        CACHED: The complete list, from a cache.
        FULL: The complete list.
        DELTA: The entries that changed.
    """

    FAILED = 0
    CACHED = 1
    FULL = 2
    DELTA = 3


class Result(IntEnum):
    """How an attempt or a health check ended.

    Attributes:
        ERROR: The server replied with an error.
        OK: It succeeded.
        FULL: The server refused for lack of capacity.
        TIMEOUT: There was no reply in time.
        CONNECT_FAILED: No connection came up, so that nothing was sent.
        RESET: The connection broke while the attempt was in flight or the session played.
        CANCELLED: The front gave it up.
        NOT_SENT: It had become pointless before it was sent.
    """

    ERROR = 0
    OK = 1
    FULL = 2
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    CANCELLED = 6
    NOT_SENT = 7


# The words for results and states in logs, journals and records. They are stored: a renamed member keeps its
# word.
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
    """What a server's notice tells, and the meaning of its level.

    Attributes:
        DELIVERED: The part of their rates that the server's sessions get, smoothed, from 0 to 1.
        RUNG: The rung that a session has now.
        LINK: The load of the server's link.
        UPLINK: The load of the rack's uplink.
    """

    DELIVERED = 1
    RUNG = 2
    LINK = 3
    UPLINK = 4


@dataclass(frozen=True, slots=True)
class SessionClass:
    """One class of session.

    Attributes:
        name: Its name in logs and settings.
        latency_objective_ms: The time in which a request should be answered.
        deadline_ms: The time after which an answer is of no use.
        priority_weight: How much a session counts when load is shed.
        idempotency: Whether a set-up that may have run may be attempted again.
        rate_multiplier: Its rate at a rung over the rung's rate.
        lowest_rung: The lowest rung that its sessions may have.
        top_rung: The highest.
        seats: The most sessions of one title at a front; 0 means no limit.
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
    """Limit on retries: in any window at most `min_retries` plus `retry_ratio` times the arrivals.

    Attributes:
        window_ms: The length of the window.
        min_retries: Retries that are allowed without arrivals.
        retry_ratio: Further retries for each arrival.
    """

    window_ms: float
    min_retries: float
    retry_ratio: float


@dataclass(frozen=True, slots=True)
class SlowStart:
    """How fast all fronts together may send attempts to a server that has just started.

    A server takes its stream slots over `window_ms`, times a factor that rises from `initial_factor` to 1.

    Attributes:
        window_ms: The time from its start until a server has its full capacity.
        initial_factor: The part of its capacity that it has at its start, at least.
        overload_multiple: The multiple of the rate above at which a warming server collapses.
        overload_window_ms: The time over which attempts are counted for that.
    """

    window_ms: float
    initial_factor: float
    overload_multiple: float
    overload_window_ms: float


@dataclass(frozen=True, slots=True)
class Settings:
    """The deployment as a front is configured with it; None means that a rule or source is not in force.

    Attributes:
        classes: Classes of session, by `Viewer.class_index`.
        front_count: Fronts in the deployment.
        front_index: This front's number among them.
        batch_period_ms: The shortest time between two calls of the controller.
        zone_count: Zones that servers and titles are spread over.
        rack_count: Racks, each with one uplink; a server's is its zone modulo this number.
        rung_rates_kbyte_s: The rate of each rung.
        rung_utilities: What a second at each rung is worth to a viewer, at most 1.
        streams_by_server_type: How many sessions a server of each type carries at once.
        link_rate_per_weight_kbyte_s: The rate of a server's link for a weight of 1.
        uplink_rate_kbyte_s: The mean rate of an uplink.
        switch_cost_s: What a change of rung costs a viewer, in seconds at utility 1.
        report_delay_ms: How late a server's notices arrive.
        report_interval_ms: The time between two notices of a link's load; 0 if there are none.
        report_fields: The names of the values in a report: `x0` or `cpu` the link's load, `x1` the uplink's.
        must_subscribe: Whether the endpoint list is sent only after a subscription.
        may_check_health: Whether health checks are allowed.
        max_attempts: The most attempts for one request.
        max_retry_after_ms: The longest delay that clients respect when a rejection asks for it.
        reply_slack_ms: The time after a deadline in which a reply is still valid.
        drain_grace_ms: How long attempts may go to a server after the list shows it draining or removed.
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
    """One server on the endpoint list.

    Attributes:
        server: Its number.
        state: Its state.
        started_at: When its process started, in milliseconds; 0 if it is unknown or long ago.
        zone: Its zone; titles are found on servers by zone.
        server_type: The index of its type in `Settings.streams_by_server_type`.
        weight: The size of its link.
    """

    server: int
    state: ServerState
    started_at: float
    zone: int
    server_type: int
    weight: float


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """The endpoint list was read, or could not be."""

    kind: EndpointListKind
    version: int
    entries: tuple[Endpoint, ...]


@dataclass(frozen=True, slots=True)
class Viewer:
    """Who wants to watch which title, and what can be played.

    Attributes:
        session: The session that is requested.
        class_index: Its class.
        key: The viewer's key, the same when it comes again.
        title: The title.
        first_zone: The first zone with servers that have the title.
        replicas: How many zones in a row, from there on, have it.
        top_rung: The highest rung that the viewer's device can play.
        length_ms: A rough hint of how long it will watch, or None.
        remaining_ms: The time left to reply.
        was_moved: Whether this front has ended its session by a move.
        is_returning: Whether the viewer comes again.
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
    """A viewer requests a session; it gets one final reply within `Viewer.remaining_ms`."""

    viewer: Viewer


@dataclass(frozen=True, slots=True)
class SessionRecovered:
    """A session that already played on `server` when this front started."""

    viewer: Viewer
    server: int


@dataclass(frozen=True, slots=True)
class AttemptSucceeded:
    """A server accepted the session, which plays from now on."""

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
        result: How it ended.
        is_final: Whether no reply is due any more.
        duration_ms: How long it took.
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
    """The client disconnected before its reply."""

    session: int


@dataclass(frozen=True, slots=True)
class ServerNotice:
    """A server's notice about one of its sessions; the kind tells what the level means."""

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
    """A message from another front; the controller ignores it."""

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
    """Send an attempt to a server."""

    session: int
    server: int
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class SetRung:
    """Set the rung of a session, also of one that is about to be attempted."""

    session: int
    rung: int


@dataclass(frozen=True, slots=True)
class Migrate:
    """End a playing session by a move: its viewer comes back and is placed again."""

    session: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Reject a request of which no attempt can have run; 0 asks for no Retry-After."""

    session: int
    retry_after_ms: float


@dataclass(frozen=True, slots=True)
class Fail:
    """Reply that a request failed: an attempt may have run."""

    session: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Report `TimerFired` with this token after a time."""

    token: int
    after_ms: float


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Send a health check to a server."""

    server: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Start or end the subscription to the endpoint list."""

    active: bool


@dataclass(frozen=True, slots=True)
class Log:
    """Write a line to the log."""

    text: str


Action = Place | SetRung | Migrate | Reject | Fail | SetTimer | CheckHealth | Subscribe | Log
