"""Tracks requests to the entitlement server: waiting for the log, queued, or in flight.

An acquisition waits until its log record is durable. All requests then wait in the send queue until the
circuit breaker allows them to be sent. Times are milliseconds of the monotonic clock.
"""

from __future__ import annotations

from fernweir.entitlement.policy import RetryPolicy
from fernweir.entitlement.queue import RequestKind, SendQueue
from fernweir.seats.messages import Operation, ResponseStatus, SendLeaseRequest
from fernweir.seats.seat import Seat, SeatManagerConfig

_MIN_TIMEOUT_MS = 1.0
_REQUEST_KINDS = {
    Operation.ACQUIRE: RequestKind.ACQUIRE,
    Operation.RENEW: RequestKind.RENEW,
    Operation.RELEASE: RequestKind.RELEASE,
}


class LeaseRequests:
    """Submits, sends and completes requests; a seat has at most one request at a time."""

    def __init__(self, config: SeatManagerConfig, retry_policy: RetryPolicy) -> None:
        self.send_queue = SendQueue(config.queue)
        self._config = config
        self._breaker = retry_policy.breaker
        self._seats: dict[int, Seat] = {}
        self._breaker_calls: dict[int, int] = {}
        self._waiting_for_log: list[int] = []
        self._durable_sequence = 0
        self._last_request_id = 0

    def submit(self, now: float, seat: Seat, operation: Operation) -> bool:
        """Replaces the seat's waiting request with a new one; returns False if the send queue is full."""
        self._last_request_id += 1
        request_id = self._last_request_id
        self.withdraw(seat)
        seat.request_id = request_id
        seat.operation = operation
        self._seats[request_id] = seat
        if operation is Operation.ACQUIRE and seat.log_sequence > self._durable_sequence:
            self._waiting_for_log.append(request_id)
            return True
        return self._enqueue(now, request_id, seat)

    def withdraw(self, seat: Seat) -> None:
        """Drops the seat's request if it has not been sent yet."""
        if seat.request_id is not None and not seat.is_in_flight:
            self.send_queue.remove(seat.request_id)
            self._seats.pop(seat.request_id, None)
            seat.request_id = None

    def on_log_synced(self, sequence: int) -> None:
        """Records that the log is durable up to and including this record."""
        self._durable_sequence = max(self._durable_sequence, sequence)

    def enqueue_durable(self, now: float) -> list[Seat]:
        """Queues the acquisitions whose records are durable; returns the seats that do not fit the queue."""
        still_waiting: list[int] = []
        rejected: list[Seat] = []
        for request_id in self._waiting_for_log:
            seat = self._seats.get(request_id)
            if seat is None:
                continue
            if seat.log_sequence > self._durable_sequence:
                still_waiting.append(request_id)
            elif not self._enqueue(now, request_id, seat):
                rejected.append(seat)
        self._waiting_for_log = still_waiting
        return rejected

    def drop_waiting_for_log(self) -> list[Seat]:
        """Drops the acquisitions whose records are not durable; returns their seats."""
        dropped: list[Seat] = []
        for request_id in self._waiting_for_log:
            seat = self._seats.pop(request_id, None)
            if seat is not None:
                seat.request_id = None
                dropped.append(seat)
        self._waiting_for_log.clear()
        return dropped

    def send_ready(self, now: float) -> list[SendLeaseRequest]:
        """Removes the requests that may be sent now from the send queue and returns their commands."""
        commands: list[SendLeaseRequest] = []
        while self._breaker.may_call(now) and (request_id := self.send_queue.start_next()) is not None:
            commands.append(self._send(now, request_id))
        return commands

    def complete(self, now: float, request_id: int, status: ResponseStatus) -> Seat | None:
        """Completes a request that was sent; returns its seat, or None if the seat no longer waits for it."""
        seat = self._seats.pop(request_id, None)
        if seat is None or seat.request_id != request_id:
            return None
        self._breaker.end_call(now, self._breaker_calls.pop(request_id, 0), status.is_conclusive)
        self.send_queue.on_request_done(now - seat.sent_at_ms)
        seat.request_id = None
        seat.is_in_flight = False
        return seat

    def estimated_wait_ms(self, now: float) -> float:
        """Returns how long an acquisition submitted at `now` would wait before it is sent."""
        return max(self.send_queue.estimated_wait_ms(), self._breaker.remaining_open_ms(now))

    def next_deadline(self, now: float) -> float | None:
        """Returns when the open circuit breaker allows the next call; None if no request waits for it."""
        wait_ms = self._breaker.remaining_open_ms(now)
        if len(self.send_queue) and wait_ms > 0.0:
            return now + wait_ms
        return None

    def _enqueue(self, now: float, request_id: int, seat: Seat) -> bool:
        weight = seat.record.priority_weight
        if self.send_queue.add(now, request_id, _REQUEST_KINDS[seat.operation], weight, seat.usable_until_ms):
            return True
        self._seats.pop(request_id, None)
        seat.request_id = None
        return False

    def _send(self, now: float, request_id: int) -> SendLeaseRequest:
        seat = self._seats[request_id]
        seat.is_in_flight = True
        seat.sent_at_ms = now
        self._breaker_calls[request_id] = self._breaker.begin_call(now)
        timeout_ms = self._config.call_timeout_ms
        if seat.operation is Operation.ACQUIRE:
            latest_grant_expiry_ms = now + timeout_ms + self._config.max_ttl_ms
            seat.latest_expiry_ms = max(seat.latest_expiry_ms, latest_grant_expiry_ms)
        if seat.decision_deadline_ms is not None:
            # The viewer's deadline is propagated to the request.
            timeout_ms = min(timeout_ms, max(seat.decision_deadline_ms - now, _MIN_TIMEOUT_MS))
        return SendLeaseRequest(request_id, seat.operation, seat.record, seat.idempotency_key, timeout_ms)
