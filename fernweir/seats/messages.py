"""Messages of the seat manager: requests of sessions, responses of the server, commands to the shell.

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
    """The viewer is not entitled, or no longer entitled; the response is final."""
    LEASE_UNKNOWN = "gone"
    """The server does not know the lease."""
    FENCED = "fenced"
    """The seat has passed to the same session at another front."""
    NOT_EXECUTED = "never"
    """The request was certainly not executed."""
    INDETERMINATE = "doubtful"
    """No response, or an error: the request may have been executed."""

    @property
    def is_conclusive(self) -> bool:
        """Whether the server processed the request and returned its result."""
        return self not in (ResponseStatus.INDETERMINATE, ResponseStatus.NOT_EXECUTED)


@dataclass(frozen=True, slots=True)
class SeatRequest:
    """A session's request for a seat.

    Attributes:
        session_id: The session.
        tenant: The tenant whose seats are counted.
        title: The title to be played.
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
        status: The outcome.
        lease_id: The server's ID of the lease.
        fence: The fencing number of the lease, which increases with each grant and renewal.
        ttl_ms: The lease's remaining duration at the time of the response.
        retry_after_ms: The delay that the server requires before the next request, or 0.
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
        is_granted: None if the server did not respond in time; the session's class then decides.
        reason: Why the seat was not granted.
        retry_after_ms: The delay after which a rejected viewer should retry, or 0.
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
    """Reports that a lease was extended.

    Attributes:
        session_id: The session.
        usable_until_ms: When the front must stop using the lease, unless it is renewed again.
        token: The viewer's new token, or an empty string.
        remaining_ms: The remaining time of the lease before the renewal; None if it was granted before a
            restart.
    """

    session_id: str
    usable_until_ms: float
    token: str
    remaining_ms: float | None = None


SeatCommand = SendLeaseRequest | AdmissionDecision | RevokeSession | LeaseRenewed
