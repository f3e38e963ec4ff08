"""What passes between the host and the shells around it: types only."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from fernweir.interface import Result


@dataclass(frozen=True, slots=True)
class SessionRequest:
    """A request that was taken. `wait_ms` is how long its viewer waits from now on.

    `via` names the protocol, whose carrier knows what a set-up looks like on the way to a box. `body` is
    what that protocol hands on to the box unread. A protocol that tells viewers apart by a key of theirs
    gives it as `key`, and whether they come again; otherwise the host knows them by `jti`.
    """

    ticket: int
    protocol: str
    session_id: str
    subject: str
    title_name: str
    title: int
    first_zone: int
    replicas: int
    class_index: int
    top_rung: int
    max_wait_ms: float
    tenant: str = ""
    viewer_key: int = 0
    is_returning: bool = False
    body: object = None


@dataclass(frozen=True, slots=True)
class SetUpResult:
    """How an attempt ended. `payload` is what the protocol made of the box's answer; None unless OK."""

    result: Result
    duration_ms: float
    report: dict[str, float]
    payload: object = None
    reason: str = ""


# --- commands: what the shells must do ---


@dataclass(frozen=True, slots=True)
class SetUp:
    """Send the attempt; its end goes to `Host.set_up_done`, exactly once."""

    request: SessionRequest
    attempt: int
    server: int
    rung: int
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class ChangeRung:
    session_id: str
    attempt: int
    server: int
    rung: int


@dataclass(frozen=True, slots=True)
class ReleaseSession:
    """Tell a box that one attempt's session, playing or doubtful, is wanted no more.

    `after_segment`: what plays may end its segment first, and its player is told why.
    """

    session_id: str
    attempt: int
    server: int
    reason: str
    may_finish_segment: bool = False


@dataclass(frozen=True, slots=True)
class SendHealthCheck:
    server: int


@dataclass(frozen=True, slots=True)
class StartTimer:
    """Call `Host.timer_fired` with the token after that time."""

    token: int
    delay_ms: float


@dataclass(frozen=True, slots=True)
class WatchEndpointList:
    is_active: bool


@dataclass(frozen=True, slots=True)
class LogLine:
    """A line of the module's or the host's for the log."""

    text: str
    session_id: str | None = None
    server: int | None = None


class ReplyKind(Enum):
    """What an answer says."""

    PLAYS = "plays"
    REJECTED = "refused"
    FAILED = "failed"
    CONFLICT = "conflict"


@dataclass(frozen=True, slots=True)
class SessionReply:
    """The one answer of a ticket. `server`, `rung`, `attempt` and `payload` hold for PLAYS only."""

    ticket: int
    kind: ReplyKind
    reason: str = ""
    retry_after_ms: float = 0.0
    is_timeout: bool = False
    request: SessionRequest | None = None
    server: int = -1
    attempt: int = 0
    rung: int = 0
    payload: object = None


@dataclass(frozen=True, slots=True)
class CheckEntitlement:
    """Ask whether the session may play at all; the verdict goes to `Host.admitted` by `answer_by`."""

    request: SessionRequest
    deadline: float


@dataclass(frozen=True, slots=True)
class EntitlementReleased:
    """A session that was asked to be admitted is over, however it ended; or `moved`, and another front's."""

    session_id: str
    is_handed_over: bool = False


@dataclass(frozen=True, slots=True)
class SessionOver:
    """A session that played is over. `by_viewer`: its viewer ended it and need not be told."""

    request: SessionRequest
    result: Result
    reason: str
    is_moved: bool = False
    is_ended_by_viewer: bool = False


Command = (
    SetUp
    | ChangeRung
    | ReleaseSession
    | SendHealthCheck
    | StartTimer
    | WatchEndpointList
    | LogLine
    | SessionReply
    | CheckEntitlement
    | EntitlementReleased
    | SessionOver
)
