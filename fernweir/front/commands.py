"""What passes between the host and the shells around it: types only."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from fernweir.interface import Result


@dataclass(frozen=True, slots=True)
class Ask:
    """A request that was taken. `wait_ms` is how long its viewer waits from now on.

    `via` names the protocol, whose carrier knows what a set-up looks like on the way to a box. `body` is
    what that protocol hands on to the box unread. A protocol that tells viewers apart by a key of theirs
    gives it as `key`, and whether they come again; otherwise the host knows them by `jti`.
    """

    ticket: int
    via: str
    jti: str
    who: str
    title_name: str
    title: int
    first_cell: int
    copies: int
    cls: int
    top_rung: int
    wait_ms: float
    tenant: str = ""
    key: int = 0
    returning: bool = False
    body: object = None


@dataclass(frozen=True, slots=True)
class SetUpResult:
    """How an attempt ended. `payload` is what the protocol made of the box's answer; None unless OK."""

    result: Result
    took_ms: float
    report: dict[str, float]
    payload: object = None
    why: str = ""


# --- commands: what the shells must do ---


@dataclass(frozen=True, slots=True)
class SetUp:
    """Send the attempt; its end goes to `Host.set_up_done`, exactly once."""

    session: Ask
    attempt: int
    server: int
    rung: int
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class ChangeRung:
    jti: str
    attempt: int
    server: int
    rung: int


@dataclass(frozen=True, slots=True)
class Release:
    """Tell a box that one attempt's session, playing or doubtful, is wanted no more.

    `after_segment`: what plays may end its segment first, and its player is told why.
    """

    jti: str
    attempt: int
    server: int
    why: str
    after_segment: bool = False


@dataclass(frozen=True, slots=True)
class SendProbe:
    server: int


@dataclass(frozen=True, slots=True)
class Arm:
    """Call `Host.timer_fired` with the token after that time."""

    token: int
    after_ms: float


@dataclass(frozen=True, slots=True)
class Follow:
    active: bool


@dataclass(frozen=True, slots=True)
class Say:
    """A line of the module's or the host's for the log."""

    text: str
    session: str | None = None
    box: int | None = None


class Kind(Enum):
    """What an answer says."""

    PLAYS = "plays"
    REFUSED = "refused"
    FAILED = "failed"
    CONFLICT = "conflict"


@dataclass(frozen=True, slots=True)
class Answer:
    """The one answer of a ticket. `server`, `rung`, `attempt` and `payload` hold for PLAYS only."""

    ticket: int
    kind: Kind
    why: str = ""
    retry_after_ms: float = 0.0
    timed_out: bool = False
    session: Ask | None = None
    server: int = -1
    attempt: int = 0
    rung: int = 0
    payload: object = None


@dataclass(frozen=True, slots=True)
class Admit:
    """Ask whether the session may play at all; the verdict goes to `Host.admitted` by `answer_by`."""

    session: Ask
    answer_by: float


@dataclass(frozen=True, slots=True)
class Left:
    """A session that was asked to be admitted is over, however it ended; or `moved`, and another front's."""

    jti: str
    moved: bool = False


@dataclass(frozen=True, slots=True)
class Over:
    """A session that played is over. `by_viewer`: its viewer ended it and need not be told."""

    session: Ask
    result: Result
    why: str
    moved: bool = False
    by_viewer: bool = False


Command = SetUp | ChangeRung | Release | SendProbe | Arm | Follow | Say | Answer | Admit | Left | Over
