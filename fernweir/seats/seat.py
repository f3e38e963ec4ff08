"""The in-memory state of one seat, and the configuration and metrics of the seat manager."""

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
    """Requested; the server may already have granted it."""
    ACTIVE = "held"
    RECOVERED = "recovered"
    """Read from the log of an earlier run; no session has requested it since the restart."""
    RELEASING = "releasing"


class TimerKind(Enum):
    """What is due when a seat's timer fires; a seat has at most one timer."""

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
        max_ttl_ms: Upper limit of a lease's duration, which also applies if the granted one is unknown.
        min_renewal_lead_ratio: Lower limit of the ratio of a lease's duration that remains when its renewal
            starts; the ratio is drawn between this and `max_renewal_lead_ratio`.
        max_renewal_lead_ratio: Upper limit of that ratio.
        grace_ms: How long after its expiry a lease may still be renewed if its session continues.
        reclaim_after_ms: After a restart, unclaimed seats are released within this time.
        tick_ms: The resolution of timers.
        seed: Seed of the random number generators.
        last_generation: A number that no acquisition of an earlier run exceeds.
        wall_clock_offset_s: Wall clock minus monotonic clock, in seconds.
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
        denied: Requests and renewals that the server denied finally.
        unanswered: Decisions that were due before the server responded.
        renewed: Renewals.
        revoked: Playing sessions that were ended.
        expired: Leases that expired without a renewal.
        released: Releases that the server confirmed.
        assumed_released: Releases that the server never confirmed before the lease expired.
        retries: Retried requests.
        unknown_leases: Leases that the server listed and for which the front had no seat.
        shortest_remaining_ms: The shortest remaining time of any lease at its renewal, in milliseconds.
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
        is_wanted: Whether a session uses the seat or waits for it.
        decision_deadline_ms: Deadline of the session's admission decision; None if none is due.
        usable_until_ms: The time from which the front must not use the lease.
        latest_expiry_ms: The latest time at which the lease can expire at the server.
        ttl_ms: The lease's duration at its last grant or renewal.
        request_id: The ID of the request that waits or is in flight, or None.
        operation: The kind of that request, or of the last one.
        is_in_flight: Whether that request has been sent.
        sent_at_ms: When the last request was sent.
        log_sequence: Sequence number of the log record that must be durable before an acquisition is sent.
        timer: The seat's timer, or None.
        backoff: Generator of retry delays; None before the first retry.
        is_overdue: Whether the lease expired while the front was suspended and a renewal is being tried.
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
        """The key of an acquisition and its retries, and of the release of that lease."""
        return f"{self.record.session_id}.{self.record.generation}"

    @property
    def is_logged(self) -> bool:
        """Whether the log has a record of this seat; unknown leases have none."""
        return self.table_key == self.record.session_id

    def is_usable(self, now: float) -> bool:
        """Whether the session may use the lease at `now`."""
        return self.state is SeatState.ACTIVE and now < self.usable_until_ms
