"""Messages of the seat manager: what it is asked, what the server answered, and what its shell must do.

All times are milliseconds of the monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from fernweir.seats.records import SeatRecord

LOG_UNWRITABLE = "seats can't be written down"
SERVER_BUSY = "entitlement is busy"
SERVER_SILENT = "entitlement did not answer"
NO_SEAT_FREE = "no seat is free"
NOT_ENTITLED = "not entitled to this lesson"
ENTITLEMENT_ENDED = "entitlement has ended"
MOVED_ELSEWHERE = "the session goes on elsewhere"
NOT_RENEWED = "entitlement could not be renewed"


class Operation(Enum):
    """The kind of a request to the entitlement server."""

    ACQUIRE = "ask"
    RENEW = "renew"
    RELEASE = "release"


class ResponseStatus(Enum):
    """The outcome of a request to the entitlement server."""

    SUCCEEDED = "done"
    NO_SEAT_FREE = "full"
    DENIED = "denied"
    """Not entitled, or no longer entitled; the answer is final."""
    LEASE_UNKNOWN = "gone"
    """The server does not know the lease."""
    FENCED = "fenced"
    """The seat has passed to the same session at another front."""
    NOT_EXECUTED = "never"
    """The request provably never ran."""
    INDETERMINATE = "doubtful"
    """No response, or an error: the request may have run."""

    @property
    def is_conclusive(self) -> bool:
        """Whether the server processed the request and said with what result."""
        return self not in (ResponseStatus.INDETERMINATE, ResponseStatus.NOT_EXECUTED)


@dataclass(frozen=True, slots=True)
class SeatRequest:
    """A session's request for a seat.

    Attributes:
        session_id: The session.
        tenant: The tenant whose seats are counted.
        title: The title that is watched.
        class_name: The session's class.
        subject: The viewer, as the token names it.
        priority_weight: The weight of the session in the send queue.
    """

    session_id: str
    tenant: str
    title: str
    class_name: str
    subject: str
    priority_weight: float


@dataclass(frozen=True, slots=True)
class LeaseResponse:
    """The one outcome of a request that was sent.

    Attributes:
        status: What became of the request.
        lease_id: The server's name of the lease.
        fence: The fencing number of the lease; it grows with each grant and renewal.
        ttl_ms: How long the lease lasts from now.
        retry_after_ms: How long the server asks to wait, or 0.
        token: A new token for the viewer, or an empty string.
    """

    status: ResponseStatus
    lease_id: str = ""
    fence: int = 0
    ttl_ms: float = 0.0
    retry_after_ms: float = 0.0
    token: str = ""


@dataclass(frozen=True, slots=True)
class SendLeaseRequest:
    """Command to send a request now; its outcome goes to `SeatManager.on_response` with the same ID."""

    request_id: int
    operation: Operation
    record: SeatRecord
    idempotency_key: str
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class AdmissionDecision:
    """Whether a session that requested a seat may play.

    Attributes:
        session_id: The session.
        is_granted: None if the server did not respond in time; the session's class decides then.
        reason: Why it was not granted.
        retry_after_ms: When a rejected viewer should try again, or 0.
    """

    session_id: str
    is_granted: bool | None
    reason: str = ""
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class RevokeSession:
    """Command to end a playing session at the end of its segment."""

    session_id: str
    reason: str


@dataclass(frozen=True, slots=True)
class LeaseRenewed:
    """A lease was extended.

    Attributes:
        session_id: The session.
        usable_until_ms: When the front must stop to use the lease, unless it is renewed again.
        token: The viewer's new token, or an empty string.
        remaining_ms: What was left of the lease; None if it was granted before a restart.
    """

    session_id: str
    usable_until_ms: float
    token: str
    remaining_ms: float | None = None


SeatCommand = SendLeaseRequest | AdmissionDecision | RevokeSession | LeaseRenewed
