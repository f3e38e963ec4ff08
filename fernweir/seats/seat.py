"""One seat in the memory of the seat manager, and the manager's configuration and metrics."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from fernweir.entitlement.policy import DecorrelatedJitter, RetryConfig
from fernweir.entitlement.queue import QueueConfig
from fernweir.seats.messages import Operation
from fernweir.seats.records import SeatRecord
from fernweir.seats.timing_wheel import Timer


class SeatState(Enum):
    """The state of a seat's lease."""

    ACQUIRING = "asking"
    """Requested; the server may already hold a seat for it."""
    ACTIVE = "held"
    RECOVERED = "recovered"
    """Read from the log of an earlier run; no session has requested it since."""
    RELEASING = "releasing"


class TimerKind(Enum):
    """What a seat's timer stands for; a seat has at most one timer."""

    DECISION_DUE = "decision due"
    RENEWAL_DUE = "renewal due"
    LEASE_EXPIRED = "lease expired"
    RETRY_DUE = "retry due"
    RECLAIM_DUE = "reclaim due"
    RELEASE_EXPIRED = "release expired"


class SeatTimer(NamedTuple):
    """The value of a timer: the seat's key in the table, and what is due."""

    table_key: str
    kind: TimerKind


@dataclass(frozen=True, slots=True)
class SeatManagerConfig:
    """Configuration of a seat manager; times are milliseconds unless their name says otherwise.

    Attributes:
        call_timeout_ms: How long one request to the server may take.
        max_ttl_ms: Upper bound of a lease's duration, also where the server's grant is not known.
        min_renewal_lead_ratio: A renewal starts when a part of the lease's time is left that is drawn
            between this and `max_renewal_lead_ratio`.
        max_renewal_lead_ratio: See `min_renewal_lead_ratio`.
        grace_ms: How long after its end a lease may still be renewed where its session plays on.
        reclaim_after_ms: After a restart, unclaimed seats are released within this time.
        tick_ms: The resolution of timers.
        seed: Seeds all random draws.
        last_generation: A number not below that of any acquisition of an earlier run.
        wall_clock_offset_s: Wall clock less monotonic clock, in seconds.
        retry: The retry policy of requests to the server.
        queue: The queue of requests to the server.
    """

    call_timeout_ms: float = 1_000.0
    max_ttl_ms: float = 60_000.0
    min_renewal_lead_ratio: float = 0.5
    max_renewal_lead_ratio: float = 0.7
    grace_ms: float = 1_500.0
    reclaim_after_ms: float = 10_000.0
    tick_ms: float = 10.0
    seed: int = 0
    last_generation: int = 0
    wall_clock_offset_s: float = 0.0
    retry: RetryConfig = field(default_factory=RetryConfig)
    queue: QueueConfig = field(default_factory=QueueConfig)


@dataclass(slots=True)
class SeatMetrics:
    """Counters of a seat manager.

    Attributes:
        requested: Sessions that requested a seat for the first time.
        granted: Leases granted.
        no_seat_free: Requests that the server rejected because no seat was free.
        denied: Requests and renewals that the server denied for good.
        unanswered: Decisions that were due before the server had responded.
        renewed: Renewals.
        revoked: Sessions that had to end.
        expired: Leases that expired without a renewal.
        released: Releases that the server confirmed.
        assumed_released: Releases that were never confirmed; the lease has expired by itself.
        retries: Retried requests.
        unknown_leases: Leases that the server reported and this front did not know.
        shortest_remaining_ms: The least time that a renewed lease had left, in milliseconds.
    """

    requested: int = 0
    granted: int = 0
    no_seat_free: int = 0
    denied: int = 0
    unanswered: int = 0
    renewed: int = 0
    revoked: int = 0
    expired: int = 0
    released: int = 0
    assumed_released: int = 0
    retries: int = 0
    unknown_leases: int = 0
    shortest_remaining_ms: float = float("inf")


@dataclass(slots=True, eq=False)
class Seat:
    """The state of one seat's lease; times are milliseconds of the monotonic clock.

    Attributes:
        record: The seat as the log stores it.
        state: The state of its lease.
        is_wanted: Whether a session plays on the seat or waits for it.
        decision_deadline_ms: When the session must have its admission decision; None if none is due.
        usable_until_ms: The front must not use the lease after this time.
        latest_expiry_ms: The server may hold the seat until this time at the latest.
        ttl_ms: The lease's duration at its last grant or renewal.
        request_id: The request that waits or is in flight, or None.
        operation: The kind of that request, or of the last one.
        is_in_flight: Whether that request has been sent.
        sent_at_ms: When the last request was sent.
        log_sequence: The log record that must be durable before an acquisition is sent.
        timer: The seat's timer, or None.
        backoff: Delays of retries; None before the first one.
        is_overdue: Whether the lease expired while the front was stopped, and is checked at the server.
        table_key: The seat's key in the table: its session ID, or a reserved name for an unknown lease.
    """

    record: SeatRecord
    state: SeatState
    is_wanted: bool = False
    decision_deadline_ms: float | None = None
    usable_until_ms: float = 0.0
    latest_expiry_ms: float = 0.0
    ttl_ms: float = 0.0
    request_id: int | None = None
    operation: Operation = Operation.ACQUIRE
    is_in_flight: bool = False
    sent_at_ms: float = 0.0
    log_sequence: int = 0
    timer: Timer[SeatTimer] | None = None
    backoff: DecorrelatedJitter | None = None
    is_overdue: bool = False
    table_key: str = ""

    def __post_init__(self) -> None:
        self.table_key = self.table_key or self.record.session_id

    @property
    def idempotency_key(self) -> str:
        """The key of an acquisition and its retries, and of the release of its lease."""
        return f"{self.record.session_id}.{self.record.generation}"

    @property
    def is_logged(self) -> bool:
        """Whether the log has a record of this seat; it has none of an unknown lease."""
        return self.table_key == self.record.session_id

    def is_usable(self, now: float) -> bool:
        """Whether its session may play on this seat's lease at `now`."""
        return self.state is SeatState.ACTIVE and now < self.usable_until_ms
