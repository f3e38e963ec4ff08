"""Acquires leases: admits sessions, handles the server's responses, and decides without overdue ones.

Times are milliseconds of the monotonic clock.
"""

from __future__ import annotations

from fernweir.seats import messages, records
from fernweir.seats.lease_operations import LeaseOperations
from fernweir.seats.messages import (
    AdmissionDecision,
    LeaseRenewed,
    LeaseResponse,
    Operation,
    ResponseStatus,
    SeatRequest,
)
from fernweir.seats.records import SeatRecord
from fernweir.seats.seat import Seat, SeatState

_LOG_RETRY_AFTER_MS = 1_000.0


class LeaseAcquisition:
    """Admits sessions and handles the server's responses to acquisitions."""

    def __init__(self, operations: LeaseOperations) -> None:
        self._operations = operations
        self._config = operations.config
        self._metrics = operations.metrics

    def admit_session(self, now: float, request: SeatRequest, decision_deadline_ms: float) -> None:
        """Starts an acquisition for a session without a seat.

        The session is rejected if the log cannot be written, or if the request would be sent too late for
        the decision and the session's class is not admitted without a response.
        """
        operations = self._operations
        self._metrics.requested += 1
        if not operations.is_log_writable:
            self._reject(request, messages.LOG_UNWRITABLE, _LOG_RETRY_AFTER_MS)
            return
        wait_ms = operations.requests.estimated_wait_ms(now)
        is_too_late = now + wait_ms >= decision_deadline_ms
        if is_too_late and not operations.admits_unanswered(request.class_name):
            self._reject(request, messages.SERVER_BUSY, wait_ms)
            return
        record = SeatRecord(
            request.session_id,
            operations.next_generation(),
            request.tenant,
            request.title,
            request.class_name,
            request.subject,
            request.priority_weight,
            requested_at_s=operations.wall_time_s(now),
        )
        seat = Seat(record, SeatState.ACQUIRING, is_wanted=True, decision_deadline_ms=decision_deadline_ms)
        operations.seats[request.session_id] = seat
        seat.log_sequence = operations.append_record(records.encode_requested(record))
        operations.retry_policy.on_first_attempt(now, request.tenant)
        operations.submit_request(now, seat, Operation.ACQUIRE)
        operations.set_decision_timer(seat)

    def readmit_session(self, now: float, seat: Seat, decision_deadline_ms: float) -> None:
        """Handles another request for a seat that exists: after a retry, a restart or a release."""
        operations = self._operations
        seat.is_wanted = True
        if seat.is_usable(now):
            operations.commands.append(AdmissionDecision(seat.record.session_id, True))
            return
        seat.decision_deadline_ms = max(decision_deadline_ms, seat.decision_deadline_ms or 0.0)
        if seat.state is SeatState.RECOVERED and not seat.is_in_flight:
            operations.cancel_timer(seat)
            # Reuses the old lease or key: the server's response decides whether this front still holds it.
            operation = Operation.RENEW if seat.record.lease_id else Operation.ACQUIRE
            operations.submit_request(now, seat, operation)
        elif seat.state is SeatState.RELEASING:
            self._readmit_during_release(now, seat)
        operations.set_decision_timer(seat)

    def on_response(self, now: float, seat: Seat, response: LeaseResponse) -> None:
        """Handles the outcome of an acquisition."""
        operations = self._operations
        if response.status is ResponseStatus.SUCCEEDED:
            self._grant(now, seat, response)
            if not seat.is_wanted:
                operations.release(now, seat)
        elif response.status.is_conclusive:
            self._on_refused(seat, response)
        else:
            self._on_unanswered(now, seat, response.status)

    def on_decision_due(self, now: float, seat: Seat) -> None:
        """Decides by the session's class if the server has not responded in time."""
        operations = self._operations
        if seat.decision_deadline_ms is None:
            if not seat.is_wanted and seat.request_id is None:
                # The session ended while it waited. This timer replaced the retry timer, so that the release
                # starts here.
                operations.release(now, seat)
            return
        is_admitted = operations.admits_unanswered(seat.record.class_name)
        operations.decide_unanswered(seat)
        if not is_admitted:
            seat.is_wanted = False
            operations.release(now, seat)
        elif seat.request_id is None:
            operations.submit_request(now, seat, seat.operation)

    def on_log_failed(self) -> None:
        """Rejects the sessions whose acquisitions cannot be logged."""
        operations = self._operations
        operations.is_log_writable = False
        for seat in operations.requests.drop_waiting_for_log():
            operations.decide(seat, False, messages.LOG_UNWRITABLE, _LOG_RETRY_AFTER_MS)
            operations.seats.pop(seat.record.session_id, None)
            operations.cancel_timer(seat)

    def _reject(self, request: SeatRequest, reason: str, retry_after_ms: float) -> None:
        decision = AdmissionDecision(request.session_id, False, reason, retry_after_ms)
        self._operations.commands.append(decision)

    def _readmit_during_release(self, now: float, seat: Seat) -> None:
        operations = self._operations
        if not seat.is_in_flight and now < seat.usable_until_ms:
            # The release has not been sent, so the lease is still valid.
            operations.requests.withdraw(seat)
            seat.state = SeatState.ACTIVE
            seat.decision_deadline_ms = None
            operations.plan_renewal(now, seat)
            operations.commands.append(AdmissionDecision(seat.record.session_id, True))
        elif seat.request_id is None:
            # The seat can be acquired again only after its release has completed: retry the release now.
            operations.submit_request(now, seat, Operation.RELEASE)

    def _grant(self, now: float, seat: Seat, response: LeaseResponse) -> None:
        operations = self._operations
        self._metrics.granted += 1
        seat.state = SeatState.ACTIVE
        seat.is_overdue = False
        seat.backoff = None
        operations.extend_lease(now, seat, response)
        session_id = seat.record.session_id
        expires_at_s = operations.wall_time_s(seat.latest_expiry_ms)
        operations.append_record(
            records.encode_granted(session_id, response.lease_id, response.fence, expires_at_s)
        )
        operations.decide(seat, True)
        if response.token and seat.is_wanted:
            operations.commands.append(LeaseRenewed(session_id, seat.usable_until_ms, response.token))
        operations.plan_renewal(now, seat)

    def _on_refused(self, seat: Seat, response: LeaseResponse) -> None:
        if response.status is ResponseStatus.NO_SEAT_FREE:
            self._metrics.no_seat_free += 1
            reason = messages.NO_SEAT_FREE
        else:
            self._metrics.denied += 1
            is_fenced = response.status is ResponseStatus.FENCED
            reason = messages.MOVED_ELSEWHERE if is_fenced else messages.NOT_ENTITLED
        self._operations.reject_or_revoke(seat, reason, response.retry_after_ms)

    def _on_unanswered(self, now: float, seat: Seat, status: ResponseStatus) -> None:
        operations = self._operations
        if status is ResponseStatus.INDETERMINATE:
            seat.latest_expiry_ms = now + self._config.max_ttl_ms
        if seat.is_wanted:
            deadline_ms = seat.decision_deadline_ms
            if deadline_ms is None:
                deadline_ms = now + self._config.max_ttl_ms
            operations.retry_request(now, seat, deadline_ms)
        elif status is ResponseStatus.NOT_EXECUTED and seat.latest_expiry_ms <= now:
            operations.forget(seat)
        else:
            operations.release(now, seat)
