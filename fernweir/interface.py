"""What goes into the controller and what comes out of it: types only, no decisions.

Settings describe the deployment, events say what a front has seen, actions say what it should do.
Times are milliseconds, rates are kB a second, a rung counts from 0 (the lowest).
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum


class Effect(Enum):
    """What setting a session up a second time does."""

    REPEATABLE = "repeatable"
    BY_KEY = "by_key"
    ONCE = "once"


class ServerState(IntEnum):
    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(IntEnum):
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
    MOOT = 7


# The words for results and states in logs, journals and records. They are stored: a renamed member keeps its
# word.
RESULT_WORDS = {
    Result.ERROR: "error",
    Result.OK: "ok",
    Result.FULL: "full",
    Result.TIMEOUT: "timeout",
    Result.CONNECT_FAILED: "connect_failed",
    Result.RESET: "reset",
    Result.CANCELLED: "cancelled",
    Result.MOOT: "moot",
}
STATE_WORDS = {ServerState.GONE: "gone", ServerState.READY: "ready", ServerState.DRAINING: "draining"}


class NoteKind(IntEnum):
    DELIVERED = 1
    RUNG = 2
    LINK = 3
    UPLINK = 4


@dataclass(frozen=True, slots=True)
class SessionClass:
    """One class of session; `seats` of 0 is no cap."""

    name: str
    aim_ms: float
    deadline_ms: float
    gain: float
    effect: Effect
    scale: float
    lowest_rung: int
    top_rung: int
    seats: int


@dataclass(frozen=True, slots=True)
class Budget:
    """Attempts beyond a session's first that a front may make in any span."""

    span_ms: float
    free: float
    share: float


@dataclass(frozen=True, slots=True)
class ColdRule:
    """How fast a server that has just started may be sent set-ups, by all fronts together."""

    warm_up_ms: float
    cold_from: float
    fall_multiple: float
    fall_ms: float


@dataclass(frozen=True, slots=True)
class Settings:
    """The deployment as told at start. A value of None: that rule or source is not in force."""

    classes: tuple[SessionClass, ...]
    fronts: int
    ordinal: int
    period_ms: float
    cells: int
    racks: int
    rates_kb: tuple[float, ...]
    worths: tuple[float, ...]
    kind_streams: tuple[int, ...]
    weight_kb: float
    uplink_kb: float | None
    switch_cost_s: float
    seen_after_ms: float
    tell_ms: float
    report_fields: tuple[str, ...]
    must_subscribe: bool
    may_probe: bool
    attempts_cap: int | None
    retry_after_max_ms: float | None
    answer_slack_ms: float
    drain_grace_ms: float | None
    cold: ColdRule | None
    budget: Budget | None


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """One line of the server list; `started_at` of 0 is long ago."""

    server: int
    state: ServerState
    started_at: float
    cell: int
    kind: int
    weight: float


@dataclass(frozen=True, slots=True)
class ListUpdate:
    kind: ListKind
    version: int
    entries: tuple[ServerEntry, ...]


@dataclass(frozen=True, slots=True)
class Viewer:
    """Who wants which title, and what can be played; `length_ms` is a rough hint or None."""

    session: int
    cls: int
    key: int
    title: int
    first_cell: int
    copies: int
    top_rung: int
    length_ms: float | None
    left_ms: float
    moved: bool
    returning: bool


@dataclass(frozen=True, slots=True)
class Arrival:
    """A viewer wants a session; one final answer is owed within `left_ms`."""

    viewer: Viewer


@dataclass(frozen=True, slots=True)
class TakenOver:
    """A session that already played on `server` when this front started."""

    viewer: Viewer
    server: int


@dataclass(frozen=True, slots=True)
class Started:
    session: int
    server: int
    attempt: int
    took_ms: float


@dataclass(frozen=True, slots=True)
class Ended:
    """One attempt is over; `closed` means that no answer is owed any more."""

    session: int
    server: int
    attempt: int
    result: Result
    closed: bool
    took_ms: float
    report: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class Abandoned:
    session: int


@dataclass(frozen=True, slots=True)
class Note:
    """News from a server on one of its sessions; what `level` is depends on `kind`."""

    session: int
    server: int
    attempt: int
    kind: NoteKind
    level: float


@dataclass(frozen=True, slots=True)
class TimerFired:
    token: int


@dataclass(frozen=True, slots=True)
class Probed:
    server: int
    result: Result
    took_ms: float
    report: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class Message:
    """A message from another front; the controller has no use for any so far."""

    sender: int
    body: bytes


Event = ListUpdate | Arrival | TakenOver | Started | Ended | Abandoned | Note | TimerFired | Probed | Message


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
class Refuse:
    session: int
    retry_after_ms: float


@dataclass(frozen=True, slots=True)
class Fail:
    session: int


@dataclass(frozen=True, slots=True)
class Timer:
    token: int
    after_ms: float


@dataclass(frozen=True, slots=True)
class Probe:
    server: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    active: bool


@dataclass(frozen=True, slots=True)
class Log:
    text: str


Action = Place | SetRung | Move | Refuse | Fail | Timer | Probe | Subscribe | Log
