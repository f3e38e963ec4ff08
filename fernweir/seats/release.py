"""Releases the leases of seats, and leases that the server lists but for which the front has no seat.

Times are milliseconds of the monotonic clock.
"""

from __future__ import annotations

from fernweir.seats.lease_operations import LeaseOperations
from fernweir.seats.messages import LeaseResponse, Operation
from fernweir.seats.records import SeatRecord
from fernweir.seats.seat import Seat, SeatState, TimerKind


class LeaseRelease:
    """Handles the outcomes of releases; retries a release until the lease has expired."""

    def __init__(self, operations: LeaseOperations) -> None:
        self._operations = operations
        self._config = operations.config
        self._metrics = operations.metrics

    def on_response(self, now: float, seat: Seat, response: LeaseResponse) -> None:
        """Handles the outcome of a release."""
        if response.status.is_conclusive:
            self._metrics.released += 1
            self._operations.finish_release(now, seat)
        else:
            self._operations.retry_request(now, seat, seat.latest_expiry_ms)

    def on_release_expired(self, now: float, seat: Seat) -> None:
        """Ends the retries of a release whose lease has expired at the server."""
        operations = self._operations
        if seat.is_in_flight:
            deadline_ms = now + self._config.call_timeout_ms
            operations.set_timer_or_decision(seat, deadline_ms, TimerKind.RELEASE_EXPIRED)
            return
        self._metrics.assumed_released += 1
        operations.requests.withdraw(seat)
        operations.finish_release(now, seat)

    def release_unknown_lease(self, now: float, session_id: str, generation: int) -> None:
        """Releases a lease without a seat by the idempotency key of its acquisition."""
        operations = self._operations
        table_key = unknown_lease_key(session_id, generation)
        if table_key in operations.seats:
            return
        record = SeatRecord(session_id, generation, "", "", "", "", 0.0)
        seat = Seat(record, SeatState.RELEASING, table_key=table_key)
        operations.seats[table_key] = seat
        seat.latest_expiry_ms = now + self._config.max_ttl_ms
        self._metrics.unknown_leases += 1
        operations.submit_request(now, seat, Operation.RELEASE)
        operations.set_release_expiry_timer(seat)


def unknown_lease_key(session_id: str, generation: int) -> str:
    """Returns the table key of an unknown lease, which differs from every session ID."""
    return f"\x00{session_id}.{generation}"
