"""The state machine of seats: each session's lease from the first request to its release.

A session occupies one seat, however often its set-up, acquisition or renewal is retried. Every request that
may acquire a seat has an idempotency key that is the same in every retry, and is logged durably before its
first byte is sent. Two times limit a lease: the front uses it until `usable_until_ms`, counted from when the
request is sent; the server may hold it until `latest_expiry_ms`, counted from when a response arrives or the
last request is abandoned. Between these times the seat counts as occupied but is not used.

The state machine does no I/O and reads no clock. Its shell passes `now` in milliseconds of the monotonic
clock, carries out the commands that `advance` returns, and reports how far the log is synced.
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
        seats: The seats by session ID; seats of unknown leases have reserved keys.
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
            admits_unanswered: Whether a class of sessions is admitted if the server does not respond.
            config: The configuration; None selects the defaults.
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
        """Adds the seats that an earlier run logged; those that no session requests again are released.

        The wall clock may have been set since: its value is used only within the duration of a lease.

        Args:
            now: Monotonic time in milliseconds.
            wall_s: Wall time in seconds.
            table: The seats that the log contains.
        """
        self._operations.recover(now, wall_s, table)

    def request_seat(self, now: float, request: SeatRequest, decision_deadline_ms: float) -> None:
        """Requests a seat for a session; `advance` returns the decision by the deadline."""
        seat = self.seats.get(request.session_id)
        if seat is None:
            self._acquisition.admit_session(now, request, decision_deadline_ms)
        else:
            self._acquisition.readmit_session(now, seat, decision_deadline_ms)

    def cancel_request(self, now: float, session_id: str) -> None:
        """Releases the seat of a session that ended, or whose viewer left before the decision."""
        seat = self.seats.get(session_id)
        if seat is None or not seat.is_wanted:
            return
        seat.is_wanted = False
        seat.decision_deadline_ms = None
        is_unsent = seat.state is SeatState.ACQUIRING and not seat.is_in_flight
        if seat.state is SeatState.ACTIVE or is_unsent:
            self._operations.release(now, seat)

    def on_response(self, now: float, request_id: int, response: LeaseResponse) -> None:
        """Handles the outcome of a request that was sent; called once for each request."""
        seat = self._operations.requests.complete(now, request_id, response.status)
        if seat is not None:
            self._response_handlers[seat.operation](now, seat, response)

    def on_log_synced(self, sequence: int) -> None:
        """Records that the log is durable up to this record; acquisitions waiting for it may be sent."""
        self._operations.requests.on_log_synced(sequence)

    def on_log_failed(self) -> None:
        """Stops new acquisitions because the log cannot be written; existing leases are still renewed."""
        self._acquisition.on_log_failed()

    def renew_early(self, now: float, session_id: str) -> None:
        """Renews a session's lease now; the server's response shows whether it still exists."""
        seat = self.seats.get(session_id)
        if seat is not None:
            self._renewal.renew_early(now, seat)

    def release_unknown_lease(self, now: float, session_id: str, generation: int) -> None:
        """Releases a lease without a seat by the idempotency key of its acquisition."""
        self._release.release_unknown_lease(now, session_id, generation)

    def advance(self, now: float) -> list[SeatCommand]:
        """Handles due timers and returns the commands to carry out now."""
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
        """Returns the time of the next required call of `advance` if no other event occurs, or None."""
        timer_deadline_ms = self.timers.next_deadline()
        send_deadline_ms = self._operations.requests.next_deadline(now)
        if send_deadline_ms is None:
            return timer_deadline_ms
        return min(timer_deadline_ms or send_deadline_ms, send_deadline_ms)

    def count_seats(self, title: str, class_name: str) -> int:
        """Returns the number of seats of a title and class that the server may hold for this front."""
        place = (title, class_name)
        return sum((seat.record.title, seat.record.class_name) == place for seat in self.seats.values())

    def records(self) -> SeatTable:
        """Returns the seats to be stored in a snapshot of the log."""
        return {seat.record.session_id: seat.record for seat in self.seats.values() if seat.is_logged}

    def has_valid_lease(self, now: float, session_id: str) -> bool:
        """Whether a session's lease is valid at `now`, even if the session's first token has expired."""
        seat = self.seats.get(session_id)
        return seat is not None and seat.is_wanted and seat.is_usable(now)

    def is_releasing_unknown_lease(self, session_id: str, generation: int) -> bool:
        """Whether this unknown lease is already being released."""
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
