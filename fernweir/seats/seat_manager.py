"""The state machine of seats: each session's lease from the first request to its release.

A seat is counted once for each session, however often its set-up, its acquisition or its renewal is retried.
Every request that may take a seat carries an idempotency key that is the same in every retry, and is logged
durably before its first byte is sent. Two times bound a lease: the front uses it until `usable_until_ms`,
counted from when its request was sent; the server may hold it until `latest_expiry_ms`, counted from when a
response came, or the last request was given up. In between the seat is counted and not used.

The machine has no I/O and no clock. Its shell passes `now` in milliseconds of the monotonic clock, carries
out the commands that `advance` returns, and reports how far the log is synced.
"""

from __future__ import annotations

from collections.abc import Callable

from fernweir.seats.acquisition import LeaseAcquisition
from fernweir.seats.lease_operations import LeaseOperations
from fernweir.seats.messages import LeaseResponse, Operation, SeatCommand, SeatRequest
from fernweir.seats.records import SeatTable
from fernweir.seats.release import LeaseRelease, unknown_lease_key
from fernweir.seats.renewal import LeaseRenewal
from fernweir.seats.seat import Seat, SeatManagerConfig, SeatState, TimerKind


class SeatManager:
    """Manages the seats of one front.

    Attributes:
        config: The configuration.
        metrics: Counters.
        seats: The seats by session ID, and those of unknown leases by reserved names.
        send_queue: The requests that wait to be sent.
        timers: The timers of all seats.
    """

    def __init__(
        self,
        now: float,
        append_record: Callable[[bytes], int],
        admits_unanswered: Callable[[str], bool],
        config: SeatManagerConfig | None = None,
    ) -> None:
        """Creates a manager without seats.

        Args:
            now: Monotonic time in milliseconds.
            append_record: Appends a record to the log and returns its sequence number.
            admits_unanswered: Whether sessions of a class play when the server does not respond.
            config: The configuration; the defaults if None.
        """
        config = config or SeatManagerConfig()
        self._operations = LeaseOperations(now, append_record, admits_unanswered, config)
        self._acquisition = LeaseAcquisition(self._operations)
        self._renewal = LeaseRenewal(self._operations)
        self._release = LeaseRelease(self._operations)
        self.config = config
        self.metrics = self._operations.metrics
        self.seats = self._operations.seats
        self.send_queue = self._operations.requests.send_queue
        self.timers = self._operations.timers
        self._response_handlers: dict[Operation, Callable[[float, Seat, LeaseResponse], None]] = {
            Operation.ACQUIRE: self._acquisition.on_response,
            Operation.RENEW: self._renewal.on_response,
            Operation.RELEASE: self._release.on_response,
        }
        self._timer_handlers = self._handlers_by_timer()

    @property
    def is_log_writable(self) -> bool:
        """Whether new seats can be logged."""
        return self._operations.is_log_writable

    # Events

    def recover_seats(self, now: float, wall_s: float, table: SeatTable) -> None:
        """Adds the seats of an earlier run, which are released unless their sessions request them again.

        The wall clock may have been set in between: it is trusted only within the duration of a lease.

        Args:
            now: Monotonic time in milliseconds.
            wall_s: Wall time in seconds.
            table: The seats of the log.
        """
        self._operations.recover(now, wall_s, table)

    def request_seat(self, now: float, request: SeatRequest, decision_deadline_ms: float) -> None:
        """Requests a seat for a session; its decision is returned by the deadline."""
        seat = self.seats.get(request.session_id)
        if seat is None:
            self._acquisition.admit_session(now, request, decision_deadline_ms)
        else:
            self._acquisition.readmit_session(now, seat, decision_deadline_ms)

    def cancel_request(self, now: float, session_id: str) -> None:
        """Gives up a session's seat: the session ended, or its viewer left before the decision."""
        seat = self.seats.get(session_id)
        if seat is None or not seat.is_wanted:
            return
        seat.is_wanted = False
        seat.decision_deadline_ms = None
        is_unsent = seat.state is SeatState.ACQUIRING and not seat.is_in_flight
        if seat.state is SeatState.ACTIVE or is_unsent:
            self._operations.release(now, seat)

    def on_response(self, now: float, request_id: int, response: LeaseResponse) -> None:
        """Handles the one outcome of a request that was sent."""
        seat = self._operations.requests.complete(now, request_id, response.status)
        if seat is not None:
            self._response_handlers[seat.operation](now, seat, response)

    def on_log_synced(self, sequence: int) -> None:
        """All records up to and including this one are durable: acquisitions that wait for them may go."""
        self._operations.requests.on_log_synced(sequence)

    def on_log_failed(self) -> None:
        """The log cannot be written: nothing new is acquired, existing leases are renewed."""
        self._acquisition.on_log_failed()

    def renew_early(self, now: float, session_id: str) -> None:
        """Renews a session's lease now; the server's response decides whether it still exists."""
        seat = self.seats.get(session_id)
        if seat is not None:
            self._renewal.renew_early(now, seat)

    def release_unknown_lease(self, now: float, session_id: str, generation: int) -> None:
        """Releases a lease that this front does not know, by the key that it was acquired under."""
        self._release.release_unknown_lease(now, session_id, generation)

    def advance(self, now: float) -> list[SeatCommand]:
        """Handles the timers that are due and returns the commands to carry out now."""
        operations = self._operations
        for table_key, kind in self.timers.advance(now):
            seat = self.seats.get(table_key)
            if seat is not None:
                seat.timer = None
                self._timer_handlers[kind](now, seat)
        for seat in operations.requests.enqueue_durable(now):
            operations.reject_as_busy(seat)
        operations.commands += operations.requests.send_ready(now)
        commands = operations.commands
        operations.commands = []
        return commands

    # Queries

    def next_deadline(self, now: float) -> float | None:
        """When `advance` must be called at the latest if nothing else happens, or None."""
        timer_deadline_ms = self.timers.next_deadline()
        send_deadline_ms = self._operations.requests.next_deadline(now)
        if send_deadline_ms is None:
            return timer_deadline_ms
        return min(timer_deadline_ms or send_deadline_ms, send_deadline_ms)

    def count_seats(self, title: str, class_name: str) -> int:
        """The number of seats of a title and class that the server may hold for this front."""
        place = (title, class_name)
        return sum((seat.record.title, seat.record.class_name) == place for seat in self.seats.values())

    def records(self) -> SeatTable:
        """The seats to be stored in a snapshot of the log."""
        return {seat.record.session_id: seat.record for seat in self.seats.values() if seat.is_logged}

    def has_valid_lease(self, now: float, session_id: str) -> bool:
        """Whether a session's lease is valid at `now`, whether or not its first token has expired."""
        seat = self.seats.get(session_id)
        return seat is not None and seat.is_wanted and seat.is_usable(now)

    def is_releasing_unknown_lease(self, session_id: str, generation: int) -> bool:
        """Whether this unknown lease is being released already."""
        return unknown_lease_key(session_id, generation) in self.seats

    def _handlers_by_timer(self) -> dict[TimerKind, Callable[[float, Seat], None]]:
        return {
            TimerKind.DECISION_DUE: self._acquisition.on_decision_due,
            TimerKind.RENEWAL_DUE: self._renewal.on_renewal_due,
            TimerKind.LEASE_EXPIRED: self._renewal.on_lease_expired,
            TimerKind.RETRY_DUE: self._on_retry_due,
            TimerKind.RECLAIM_DUE: self._operations.release,
            TimerKind.RELEASE_EXPIRED: self._release.on_release_expired,
        }

    def _on_retry_due(self, now: float, seat: Seat) -> None:
        operations = self._operations
        if seat.request_id is not None:
            return
        operations.submit_request(now, seat, seat.operation)
        if seat.operation is Operation.RELEASE:
            deadline_ms = seat.latest_expiry_ms + self.config.tick_ms
            operations.set_timer_or_decision(seat, deadline_ms, TimerKind.RELEASE_EXPIRED)
        elif seat.state is SeatState.ACTIVE:
            deadline_ms = max(seat.usable_until_ms, now)
            operations.set_timer_or_decision(seat, deadline_ms, TimerKind.LEASE_EXPIRED)
        else:
            operations.set_decision_timer(seat)
