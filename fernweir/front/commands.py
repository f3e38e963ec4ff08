"""The requests, replies and commands between the session manager and the I/O layer around it; types only.

Times are in milliseconds; a `deadline` is a time of the session manager's clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from fernweir.interface import Result


@dataclass(frozen=True, slots=True)
class SessionRequest:
    """A request for a session that a front has accepted.

    Attributes:
        ticket: Number of the request; its reply has the same.
        protocol: Name of the protocol, whose codec encodes the set-up request to a server.
        session_id: The session's id, from its token or connection. Requests with the same id share a session.
        subject: The subject that the token was issued to.
        title_name: The title's name, as users see it.
        title: The title's number.
        first_zone: The zone of the title's first replica.
        replicas: How many replicas the title has.
        class_index: The session's class, as an index of the settings' classes.
        top_rung: The highest rung that the viewer can play.
        max_wait_ms: How long the viewer waits from now on.
        tenant: The viewer's tenant; empty where there are no tenants.
        viewer_key: The viewer's key if the protocol has one; with 0 the session id identifies the viewer.
        is_returning: Whether the viewer returns, if the protocol identifies viewers by `viewer_key`.
        body: What the protocol passes to the server without reading it.
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
    """How an attempt ended.

    Attributes:
        result: How it ended.
        duration_ms: How long the attempt took.
        report: The server's load report by the names of its values; empty if it sent none.
        payload: What the protocol derived from the server's response; None unless the result is OK.
        reason: What went wrong, for logs and journals.
    """

    result: Result
    duration_ms: float
    report: dict[str, float]
    payload: object = None
    reason: str = ""


# --- commands for the I/O layer ---


@dataclass(frozen=True, slots=True)
class SetUp:
    """Send an attempt to a server; its end goes to `SessionManager.on_attempt_finished`, exactly once."""

    request: SessionRequest
    attempt: int
    server: int
    rung: int
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class ChangeRung:
    """Send a server the rung that a session must play."""

    session_id: str
    attempt: int
    server: int
    rung: int


@dataclass(frozen=True, slots=True)
class ReleaseSession:
    """Release the session of one attempt at a server, whether it plays or may have begun.

    With `may_finish_segment` a session that plays may end its segment first, and its player gets the reason.
    """

    session_id: str
    attempt: int
    server: int
    reason: str
    may_finish_segment: bool = False


@dataclass(frozen=True, slots=True)
class SendHealthCheck:
    """Check a server's health; the result goes to `SessionManager.on_health_check_finished`."""

    server: int


@dataclass(frozen=True, slots=True)
class StartTimer:
    """Call `SessionManager.on_timer` with the token after the delay."""

    token: int
    delay_ms: float


@dataclass(frozen=True, slots=True)
class WatchEndpointList:
    """Watch the endpoint list, or stop watching it."""

    is_active: bool


@dataclass(frozen=True, slots=True)
class LogLine:
    """Write a line to the log."""

    text: str
    session_id: str | None = None
    server: int | None = None


class ReplyKind(Enum):
    """The kind of a reply. The values are stored and must not change."""

    PLAYS = "plays"
    REJECTED = "refused"
    FAILED = "failed"
    CONFLICT = "conflict"


@dataclass(frozen=True, slots=True)
class SessionReply:
    """Send the one reply to a request.

    Attributes:
        ticket: The request.
        kind: The kind of the reply.
        reason: Why the session does not play.
        retry_after_ms: After how long the viewer may retry; 0 if that was not decided.
        is_timeout: Whether the request failed because of a timeout.
        request: The first request of the session, if there is a session.
        server: Where the session plays; this and the following attributes are set for PLAYS only.
        attempt: The attempt that set the session up.
        rung: The rung that the session plays.
        payload: What the viewer's reply is made from.
    """

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
    """Check whether a session may play; the decision goes to `SessionManager.on_entitlement_decided`."""

    request: SessionRequest
    deadline: float


@dataclass(frozen=True, slots=True)
class EntitlementReleased:
    """A session that was checked has ended, whether it played or not, or was handed over to another front."""

    session_id: str
    is_handed_over: bool = False


@dataclass(frozen=True, slots=True)
class SessionOver:
    """A session that played has ended. If its viewer ended it, the viewer need not be notified."""

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
