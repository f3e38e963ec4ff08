"""Renews the leases of seats and handles their expiry.

Times are milliseconds of the monotonic clock.
"""

from __future__ import annotations

from fernweir.seats import messages
from fernweir.seats.lease_operations import LeaseOperations
from fernweir.seats.messages import LeaseRenewed, LeaseResponse, Operation, ResponseStatus
from fernweir.seats.seat import Seat, SeatState, TimerKind


class LeaseRenewal:
    """Renews leases and ends the sessions of those that expire."""

    def __init__(self, operations: LeaseOperations) -> None:
        self._operations = operations
        self._config = operations.config
        self._metrics = operations.metrics

    def on_renewal_due(self, now: float, seat: Seat) -> None:
        """Starts a renewal, unless the lease has expired or the seat has a pending request."""
        if seat.state is not SeatState.ACTIVE:
            return
        if now >= seat.usable_until_ms:
            self._expire(now, seat)
        elif seat.request_id is None:
            self._operations.start_renewal(now, seat)
        else:
            self._operations.set_timer(seat, seat.usable_until_ms, TimerKind.LEASE_EXPIRED)

    def on_lease_expired(self, now: float, seat: Seat) -> None:
        """Ends the use of an active lease that was not renewed in time."""
        if seat.state is SeatState.ACTIVE and now >= seat.usable_until_ms:
            self._expire(now, seat)

    def renew_early(self, now: float, seat: Seat) -> None:
        """Renews now a lease that may no longer exist; the response shows whether it does."""
        if seat.is_usable(now) and seat.request_id is None:
            self._operations.start_renewal(now, seat)

    def on_response(self, now: float, seat: Seat, response: LeaseResponse) -> None:
        """Handles the outcome of a renewal."""
        status = response.status
        if status is ResponseStatus.SUCCEEDED and response.fence > seat.record.fence:
            self._on_renewed(now, seat, response)
        elif status is ResponseStatus.DENIED:
            self._metrics.denied += 1
            self._operations.reject_or_revoke(seat, messages.ENTITLEMENT_ENDED)
        elif status is ResponseStatus.FENCED and seat.state is SeatState.ACTIVE:
            self._metrics.denied += 1
            self._operations.reject_or_revoke(seat, messages.MOVED_ELSEWHERE)
        elif status.is_conclusive:
            self._on_lease_unknown(now, seat)
        else:
            self._on_unanswered(now, seat, status)

    def _on_renewed(self, now: float, seat: Seat, response: LeaseResponse) -> None:
        operations = self._operations
        self._metrics.renewed += 1
        remaining_ms = None
        if seat.state is not SeatState.RECOVERED:
            remaining_ms = seat.usable_until_ms - now
            self._metrics.shortest_remaining_ms = min(self._metrics.shortest_remaining_ms, remaining_ms)
        seat.is_overdue = False
        seat.backoff = None
        seat.state = SeatState.ACTIVE
        operations.extend_lease(now, seat, response)
        operations.decide(seat, True)
        if not seat.is_wanted:
            operations.release(now, seat)
            return
        session_id = seat.record.session_id
        renewed = LeaseRenewed(session_id, seat.usable_until_ms, response.token, remaining_ms)
        operations.commands.append(renewed)
        operations.plan_renewal(now, seat)

    def _on_lease_unknown(self, now: float, seat: Seat) -> None:
        """Handles that the server does not know the lease, or responded with a fence that is not newer."""
        if seat.is_wanted:
            self._operations.reacquire(now, seat)
        else:
            self._operations.forget(seat)

    def _on_unanswered(self, now: float, seat: Seat, status: ResponseStatus) -> None:
        if status is ResponseStatus.INDETERMINATE:
            # The duration of a lease that was granted before a restart is unknown.
            ttl_ms = seat.ttl_ms or self._config.max_ttl_ms
            seat.latest_expiry_ms = max(seat.latest_expiry_ms, now + ttl_ms)
        if not seat.is_wanted:
            self._operations.release(now, seat)
            return
        deadline_ms = seat.usable_until_ms
        if seat.is_overdue or self._operations.admits_unanswered(seat.record.class_name):
            deadline_ms = max(now + self._config.grace_ms, deadline_ms)
        self._operations.retry_request(now, seat, seat.decision_deadline_ms or deadline_ms)

    def _expire(self, now: float, seat: Seat) -> None:
        """Ends a session whose lease expired without a response, unless its class may continue.

        If the front process was suspended until at least `grace_ms` after the expiry, it first tries one
        renewal. Otherwise the session ends now, because the server may grant the seat to another one.
        """
        operations = self._operations
        if not seat.is_wanted:
            # The session ended while a renewal was in flight; the response to it releases the seat.
            operations.release(now, seat)
            return
        was_suspended = not seat.is_overdue and now >= seat.usable_until_ms + self._config.grace_ms
        if was_suspended:
            seat.is_overdue = True
            if seat.request_id is None:
                operations.submit_request(now, seat, Operation.RENEW)
            operations.set_timer(seat, now + self._config.grace_ms, TimerKind.LEASE_EXPIRED)
        elif operations.admits_unanswered(seat.record.class_name):
            operations.set_timer(seat, now + self._config.grace_ms, TimerKind.LEASE_EXPIRED)
            if seat.request_id is None:
                operations.submit_request(now, seat, Operation.RENEW)
        else:
            self._end_session(now, seat)

    def _end_session(self, now: float, seat: Seat) -> None:
        operations = self._operations
        self._metrics.expired += 1
        if seat.decision_deadline_ms is not None:
            # The session was revoked earlier and has requested its seat again.
            operations.decide_unanswered(seat)
            seat.is_wanted = False
        else:
            operations.revoke(seat, messages.NOT_RENEWED)
        operations.release(now, seat)
