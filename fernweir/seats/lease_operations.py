"""Holds the seats of a front and the operations that acquisition, renewal and release share.

Times are milliseconds of the monotonic clock; only the log contains wall-clock times.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from fernweir.entitlement.policy import RetryPolicy
from fernweir.seats import messages, records
from fernweir.seats.lease_requests import LeaseRequests
from fernweir.seats.messages import (
    AdmissionDecision,
    LeaseResponse,
    Operation,
    RevokeSession,
    SeatCommand,
)
from fernweir.seats.records import SeatTable
from fernweir.seats.seat import Seat, SeatManagerConfig, SeatMetrics, SeatState, SeatTimer, TimerKind
from fernweir.seats.timing_wheel import TimingWheel


class LeaseOperations:
    """Owns all seats with their timers, requests and log records, and the commands to return.

    Attributes:
        config: The configuration.
        metrics: Counters.
        seats: The seats by their key in the table.
        commands: Commands that `SeatManager.advance` has not returned yet.
        is_log_writable: Whether new seats can be logged.
    """

    def __init__(
        self,
        now: float,
        append_record: Callable[[bytes], int],
        admits_unanswered: Callable[[str], bool],
        config: SeatManagerConfig,
    ) -> None:
        self.config = config
        self.metrics = SeatMetrics()
        self.seats: dict[str, Seat] = {}
        self.commands: list[SeatCommand] = []
        self.retry_policy = RetryPolicy(config.retry, Random(f"retry {config.seed}"))
        self.requests = LeaseRequests(config, self.retry_policy)
        self.timers: TimingWheel[SeatTimer] = TimingWheel(now, config.tick_ms)
        self.is_log_writable = True
        self.append_record = append_record
        self.admits_unanswered = admits_unanswered
        self._rng = Random(f"book {config.seed}")
        self._generation = config.last_generation

    # Seats

    def recover(self, now: float, wall_s: float, table: SeatTable) -> None:
        """Adds the seats that an earlier run logged; see `SeatManager.recover_seats`."""
        max_ttl_ms = self.config.max_ttl_ms
        for record in table.values():
            seat = Seat(record, SeatState.RECOVERED)
            remaining_ms = (record.expires_at_s - wall_s) * 1000.0 if record.lease_id else max_ttl_ms
            if record.lease_id and remaining_ms <= 0.0:
                # Either expired or the wall clock was set forward: assume that the server still holds it.
                remaining_ms = max_ttl_ms
            seat.latest_expiry_ms = now + min(max(remaining_ms, 0.0), max_ttl_ms)
            self.seats[record.session_id] = seat
            self._generation = max(self._generation, record.generation)
            delay_ms = self.config.reclaim_after_ms * self._rng.uniform(0.5, 1.0)
            self.set_timer(seat, now + delay_ms, TimerKind.RECLAIM_DUE)

    def next_generation(self) -> int:
        """Returns the number of a new acquisition, which makes its idempotency key unique."""
        self._generation += 1
        return self._generation

    def wall_time_s(self, at_ms: float) -> float:
        """Converts a time of the monotonic clock to wall time in seconds."""
        return self.config.wall_clock_offset_s + at_ms / 1000.0

    def forget(self, seat: Seat) -> None:
        """Removes a seat from the table and from the log."""
        self.cancel_timer(seat)
        if self.seats.get(seat.table_key) is seat:
            del self.seats[seat.table_key]
            if self.is_log_writable and seat.is_logged:
                self.append_record(records.encode_removed(seat.record.session_id))

    # Leases

    def extend_lease(self, now: float, seat: Seat, response: LeaseResponse) -> None:
        """Applies a grant or renewal.

        The front uses the lease for its duration from when the request was sent, and counts the seat as
        occupied for its duration from now: the server's own expiry lies in between.
        """
        seat.record = seat.record.with_lease(response.lease_id, response.fence)
        seat.ttl_ms = min(response.ttl_ms, self.config.max_ttl_ms)
        seat.usable_until_ms = seat.sent_at_ms + seat.ttl_ms
        seat.latest_expiry_ms = now + seat.ttl_ms

    def plan_renewal(self, now: float, seat: Seat) -> None:
        """Sets the timer of the lease's next renewal to a random point in its duration."""
        config = self.config
        ratio = self._rng.uniform(config.min_renewal_lead_ratio, config.max_renewal_lead_ratio)
        renew_at_ms = seat.usable_until_ms - seat.ttl_ms * ratio
        self.set_timer(seat, max(renew_at_ms, now), TimerKind.RENEWAL_DUE)

    def start_renewal(self, now: float, seat: Seat) -> None:
        """Submits a renewal of an active lease."""
        self.retry_policy.on_first_attempt(now, seat.record.tenant)
        self.submit_request(now, seat, Operation.RENEW)
        self.set_timer(seat, seat.usable_until_ms, TimerKind.LEASE_EXPIRED)

    def reacquire(self, now: float, seat: Seat) -> None:
        """Acquires the seat again, under a new idempotency key."""
        seat.record = seat.record.with_generation(self.next_generation(), self.wall_time_s(now))
        seat.log_sequence = self.append_record(records.encode_requested(seat.record))
        seat.state = SeatState.ACQUIRING
        self.submit_request(now, seat, Operation.ACQUIRE)

    def release(self, now: float, seat: Seat) -> None:
        """Releases a seat, or does nothing while a request is in flight: its completion releases the seat."""
        if seat.is_in_flight:
            return
        self.requests.withdraw(seat)
        was_never_sent = not seat.sent_at_ms
        if seat.state is SeatState.ACQUIRING and seat.latest_expiry_ms <= now and was_never_sent:
            self.forget(seat)
            return
        seat.state = SeatState.RELEASING
        seat.backoff = None
        seat.latest_expiry_ms = max(seat.latest_expiry_ms, now)
        self.submit_request(now, seat, Operation.RELEASE)
        self.set_release_expiry_timer(seat)

    def finish_release(self, now: float, seat: Seat) -> None:
        """Forgets a seat that the server no longer holds, or reacquires it if it is wanted again."""
        if seat.decision_deadline_ms is not None and now >= seat.decision_deadline_ms:
            self.decide_unanswered(seat)
            seat.is_wanted = self.admits_unanswered(seat.record.class_name)
        if seat.is_wanted:
            self.reacquire(now, seat)
            self.set_decision_timer(seat)
        else:
            self.forget(seat)

    # Requests

    def submit_request(self, now: float, seat: Seat, operation: Operation) -> None:
        """Submits a request; an acquisition that does not fit the queue is rejected and forgotten."""
        if not self.requests.submit(now, seat, operation):
            self.reject_as_busy(seat)

    def reject_as_busy(self, seat: Seat) -> None:
        """Rejects a seat whose acquisition does not fit the send queue."""
        self.decide(seat, False, messages.SERVER_BUSY, self.requests.send_queue.estimated_wait_ms())
        self.forget(seat)

    def retry_request(self, now: float, seat: Seat, deadline_ms: float) -> None:
        """Schedules a retry of the seat's last request if the retry budget and the deadline allow one."""
        if seat.backoff is None:
            seat.backoff = self.retry_policy.new_jitter()
        retry_at_ms = self.retry_policy.schedule_retry(now, seat.record.tenant, seat.backoff, deadline_ms)
        if retry_at_ms is None:
            self._wait_without_budget(now, seat)
            return
        self.metrics.retries += 1
        if seat.operation is not Operation.RELEASE:
            self.set_timer(seat, retry_at_ms, TimerKind.RETRY_DUE)
        elif retry_at_ms < seat.latest_expiry_ms:
            self.set_timer_or_decision(seat, retry_at_ms, TimerKind.RETRY_DUE)
        else:
            self.set_timer_or_decision(seat, seat.latest_expiry_ms, TimerKind.RELEASE_EXPIRED)

    def _wait_without_budget(self, now: float, seat: Seat) -> None:
        """Sets the timer at which a request without retry budget is considered again."""
        if seat.operation is Operation.RELEASE:
            self.set_timer_or_decision(seat, seat.latest_expiry_ms, TimerKind.RELEASE_EXPIRED)
        elif seat.state is SeatState.ACTIVE:
            # Try again before it expires: first attempts of other sessions may have added budget by then.
            remaining_ms = seat.usable_until_ms - now
            if remaining_ms < self.config.call_timeout_ms / 4.0:
                self.set_timer(seat, seat.usable_until_ms, TimerKind.LEASE_EXPIRED)
            else:
                self.set_timer(seat, now + remaining_ms / 2.0, TimerKind.RENEWAL_DUE)
        elif seat.decision_deadline_ms is not None:
            self.set_timer(seat, seat.decision_deadline_ms, TimerKind.DECISION_DUE)
        else:
            self.set_timer(seat, now + self.config.call_timeout_ms, TimerKind.RETRY_DUE)

    # Decisions

    def decide(
        self, seat: Seat, is_granted: bool | None, reason: str = "", retry_after_ms: float = 0.0
    ) -> None:
        """Issues the session's admission decision if one is due."""
        if seat.decision_deadline_ms is not None:
            seat.decision_deadline_ms = None
            decision = AdmissionDecision(seat.record.session_id, is_granted, reason, retry_after_ms)
            self.commands.append(decision)

    def decide_unanswered(self, seat: Seat) -> None:
        """Issues the decision that the server has not responded in time, if one is due."""
        self.metrics.unanswered += 1
        self.decide(seat, None, messages.SERVER_SILENT)

    def revoke(self, seat: Seat, reason: str) -> None:
        """Issues the command to end the playing session of a seat."""
        self.metrics.revoked += 1
        seat.is_wanted = False
        self.commands.append(RevokeSession(seat.record.session_id, reason))

    def reject_or_revoke(self, seat: Seat, reason: str, retry_after_ms: float = 0.0) -> None:
        """Rejects or revokes the session of a seat that the server denied finally, and forgets the seat."""
        if seat.decision_deadline_ms is not None:
            self.decide(seat, False, reason, retry_after_ms)
        elif seat.is_wanted:
            self.revoke(seat, reason)
        self.forget(seat)

    # Timers

    def set_timer(self, seat: Seat, deadline_ms: float, kind: TimerKind) -> None:
        """Replaces the seat's timer."""
        self.cancel_timer(seat)
        seat.timer = self.timers.schedule(deadline_ms, SeatTimer(seat.table_key, kind))

    def set_timer_or_decision(self, seat: Seat, deadline_ms: float, kind: TimerKind) -> None:
        """Replaces the seat's timer, or sets the decision timer instead if that is due earlier."""
        decision_deadline_ms = seat.decision_deadline_ms
        if decision_deadline_ms is not None and decision_deadline_ms <= deadline_ms:
            self.set_timer(seat, decision_deadline_ms, TimerKind.DECISION_DUE)
        else:
            self.set_timer(seat, deadline_ms, kind)

    def set_decision_timer(self, seat: Seat) -> None:
        """Replaces the seat's timer with that of its admission decision, if one is due."""
        if seat.decision_deadline_ms is not None:
            self.set_timer(seat, seat.decision_deadline_ms, TimerKind.DECISION_DUE)

    def set_release_expiry_timer(self, seat: Seat) -> None:
        """Sets the timer for when the lease of a seat in release has expired at the server."""
        deadline_ms = seat.latest_expiry_ms + self.config.tick_ms
        self.set_timer(seat, deadline_ms, TimerKind.RELEASE_EXPIRED)

    def cancel_timer(self, seat: Seat) -> None:
        """Cancels the seat's timer, if it has one."""
        if seat.timer is not None:
            self.timers.cancel(seat.timer)
            seat.timer = None
