"""What goes into the controller and what comes out of it: types only, no decisions.

Settings describe the deployment, events say what a front has seen, actions say what it should do.
Times are milliseconds, rates are kB a second, a rung counts from 0 (the lowest).
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum


class Idempotency(Enum):
    """What setting a session up a second time does."""

    IDEMPOTENT = "repeatable"
    WITH_KEY = "by_key"
    NOT_IDEMPOTENT = "once"


class ServerState(IntEnum):
    REMOVED = 0
    READY = 1
    DRAINING = 2


class EndpointListKind(IntEnum):
    FAILED = 0
    CACHED = 1
    FULL = 2
    DELTA = 3


class Result(IntEnum):
    """How an attempt or a probe ended."""

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
    DELIVERED = 1
    RUNG = 2
    LINK = 3
    UPLINK = 4


@dataclass(frozen=True, slots=True)
class SessionClass:
    """One class of session; `seats` of 0 is no cap."""

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
    """Attempts beyond a session's first that a front may make in any span."""

    window_ms: float
    min_retries: float
    retry_ratio: float


@dataclass(frozen=True, slots=True)
class SlowStart:
    """How fast a server that has just started may be sent set-ups, by all fronts together."""

    window_ms: float
    initial_factor: float
    overload_multiple: float
    overload_window_ms: float


@dataclass(frozen=True, slots=True)
class Settings:
    """The deployment as told at start. A value of None: that rule or source is not in force."""

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
    """One line of the server list; `started_at` of 0 is long ago."""

    server: int
    state: ServerState
    started_at: float
    zone: int
    server_type: int
    weight: float


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    kind: EndpointListKind
    version: int
    entries: tuple[Endpoint, ...]


@dataclass(frozen=True, slots=True)
class Viewer:
    """Who wants which title, and what can be played; `length_ms` is a rough hint or None."""

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
    """A viewer wants a session; one final answer is owed within `left_ms`."""

    viewer: Viewer


@dataclass(frozen=True, slots=True)
class SessionRecovered:
    """A session that already played on `server` when this front started."""

    viewer: Viewer
    server: int


@dataclass(frozen=True, slots=True)
class AttemptSucceeded:
    session: int
    server: int
    attempt: int
    duration_ms: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """One attempt is over; `closed` means that no answer is owed any more."""

    session: int
    server: int
    attempt: int
    result: Result
    is_final: bool
    duration_ms: float
    report: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class ClientGone:
    session: int


@dataclass(frozen=True, slots=True)
class ServerNotice:
    """News from a server on one of its sessions; what `level` is depends on `kind`."""

    session: int
    server: int
    attempt: int
    kind: NoticeKind
    level: float


@dataclass(frozen=True, slots=True)
class TimerFired:
    token: int


@dataclass(frozen=True, slots=True)
class HealthCheckEnded:
    server: int
    result: Result
    duration_ms: float
    report: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class FrontMessage:
    """A message from another front; the controller has no use for any so far."""

    sender: int
    body: bytes


Event = (
    EndpointListUpdate
    | Arrival
    | SessionRecovered
    | AttemptSucceeded
    | AttemptEnded
    | ClientGone
    | ServerNotice
    | TimerFired
    | HealthCheckEnded
    | FrontMessage
)


@dataclass(frozen=True, slots=True)
class Place:
    session: int
    server: int
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class SetRung:
    session: int
    rung: int


@dataclass(frozen=True, slots=True)
class Move:
    session: int


@dataclass(frozen=True, slots=True)
class Reject:
    session: int
    retry_after_ms: float


@dataclass(frozen=True, slots=True)
class Fail:
    session: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    token: int
    after_ms: float


@dataclass(frozen=True, slots=True)
class CheckHealth:
    server: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    active: bool


@dataclass(frozen=True, slots=True)
class Log:
    text: str


Action = Place | SetRung | Move | Reject | Fail | SetTimer | CheckHealth | Subscribe | Log
