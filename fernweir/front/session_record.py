"""One session as the session manager stores it."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from fernweir.front.commands import SessionRequest
from fernweir.interface import Result


class SessionPhase(Enum):
    """The phase of a session. The values are stored in journals and must not change."""

    AWAITING_ENTITLEMENT = "gated"
    """The entitlement check is open; the session has not been submitted to the controller."""

    PENDING = "asked"
    """The controller has the session; no attempt is open."""

    IN_FLIGHT = "out"
    """One attempt is open at a server."""

    PLAYING = "playing"
    """A server has accepted the session."""


@dataclass(slots=True, eq=False)
class SessionRecord:
    """A session from the first request with its id until the controller is notified of its end.

    Attributes:
        request: The first request, or the one that another front's session was adopted with.
        number: The session's number for the controller, unique while the session is stored.
        key: The viewer's key for the controller, the same when a viewer returns.
        phase: The phase of the session.
        tickets: Open requests that wait for the session, in the order in which they came.
        half_closed_tickets: Those of `tickets` whose clients closed their sending side. Only while an
            attempt is in flight.
        may_have_run: Whether an earlier attempt ended in a way that may have left it running at a server.
        attempts: Number of attempts so far.
        server: The server of the last attempt, -1 before the first.
        rung: The rung that the controller wants.
        sent_rung: The rung that the server was last sent, or has reported.
        payload: What the protocol derived from the server's response; viewers' replies are made from it.
        last_result: How the last attempt ended, None while there is none or it succeeded.
        reply_deadline: When the first viewer stops waiting, in milliseconds of the manager's clock.
        was_moved: Whether the viewer returns after a migration to another server.
        informed_viewers: How many viewers were sent the reply that the session plays.
        is_answerable: Whether `payload` is available for the replies to further viewers.
    """

    request: SessionRequest
    number: int
    key: int
    phase: SessionPhase = SessionPhase.PENDING
    tickets: list[int] = field(default_factory=list)
    half_closed_tickets: set[int] = field(default_factory=set)
    may_have_run: bool = False
    attempts: int = 0
    server: int = -1
    rung: int = 0
    sent_rung: int = 0
    payload: object = None
    last_result: Result | None = None
    reply_deadline: float = 0.0
    was_moved: bool = False
    informed_viewers: int = 0
    is_answerable: bool = True

    @property
    def attempt(self) -> int:
        """The index of the last attempt, counted from 0."""
        return self.attempts - 1

    @property
    def has_waiting_viewer(self) -> bool:
        """Whether a viewer waits that has not closed its sending side; only then may an attempt begin."""
        return any(ticket not in self.half_closed_tickets for ticket in self.tickets)
