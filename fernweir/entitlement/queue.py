"""Orders requests to an entitlement server that serves a limited number at once.

Renewals go before new sessions, so that current viewers keep their seats when many new sessions arrive at
once. New sessions are ordered by priority weight and age; the priority of a request increases while it
waits, so none starves. At least every eighth request is a release if any waits, because releases free seats.
Free of I/O and clock; times are milliseconds of any monotonic clock.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from enum import IntEnum

_MAX_SAMPLE_MS = 10_000.0
_INITIAL_DURATION_MS = 20.0
_DURATION_SMOOTHING = 0.1  # weight of the newest sample in the moving average


class RequestKind(IntEnum):
    """The kinds of requests, most urgent first."""

    RENEW = 0
    ACQUIRE = 1
    RELEASE = 2


_USUAL_ORDER = (RequestKind.RENEW, RequestKind.ACQUIRE, RequestKind.RELEASE)
_RELEASE_FIRST_ORDER = (RequestKind.RELEASE, RequestKind.RENEW, RequestKind.ACQUIRE)


@dataclass(frozen=True, slots=True)
class QueueConfig:
    """Settings of a queue.

    Attributes:
        max_in_flight: Upper limit of requests in flight.
        aging_ms: Waiting time that is equivalent to one unit of priority weight.
        release_every: At least one of this many requests is a release, if any waits.
        max_waiting: Upper limit of new sessions in the queue.
    """

    max_in_flight: int = 64
    aging_ms: float = 500.0
    release_every: int = 8
    max_waiting: int = 20_000


@dataclass(order=True, slots=True)
class _QueuedRequest:
    rank: float
    sequence: int
    request_id: int


class SendQueue:
    """Orders the IDs of requests; `start_next` returns the one that may be sent now."""

    def __init__(self, config: QueueConfig | None = None) -> None:
        self.config = config or QueueConfig()
        self.in_flight = 0
        self._heaps: dict[RequestKind, list[_QueuedRequest]] = {kind: [] for kind in RequestKind}
        self._kind_of_waiting: dict[int, RequestKind] = {}
        self._waiting_counts = dict.fromkeys(RequestKind, 0)
        self._last_sequence = 0
        self._since_release = 0
        self._mean_duration_ms = _INITIAL_DURATION_MS

    def __len__(self) -> int:
        return len(self._kind_of_waiting)

    def waiting_count(self, kind: RequestKind) -> int:
        """Returns how many requests of that kind wait."""
        return self._waiting_counts[kind]

    def add(self, now: float, request_id: int, kind: RequestKind, weight: float, deadline: float) -> bool:
        """Queues a request.

        Args:
            now: Time in milliseconds.
            request_id: The ID of the request.
            kind: The kind of the request.
            weight: The priority weight of its session. The rank of a new session is its arrival time minus
                the waiting time that is equivalent to the weight. The rank needs no updates as requests age,
                because all age at the same rate.
            deadline: When its lease expires, in milliseconds. Renewals are ordered by it.

        Returns:
            False if too many new sessions wait. Renewals and releases are always accepted.
        """
        if kind is RequestKind.ACQUIRE and self._waiting_counts[kind] >= self.config.max_waiting:
            return False
        rank = deadline if kind is RequestKind.RENEW else now - weight * self.config.aging_ms
        self._last_sequence += 1
        heapq.heappush(self._heaps[kind], _QueuedRequest(rank, self._last_sequence, request_id))
        self._kind_of_waiting[request_id] = kind
        self._waiting_counts[kind] += 1
        return True

    def remove(self, request_id: int) -> None:
        """Removes a request if it is still in the queue."""
        kind = self._kind_of_waiting.pop(request_id, None)
        if kind is not None:
            self._waiting_counts[kind] -= 1

    def start_next(self) -> int | None:
        """Returns the ID of the request to send now and counts it as in flight until `on_request_done`.

        Returns:
            None if nothing waits or the limit of requests in flight is reached.
        """
        if self.in_flight >= self.config.max_in_flight:
            return None
        is_release_due = self._since_release + 1 >= self.config.release_every
        for kind in _RELEASE_FIRST_ORDER if is_release_due else _USUAL_ORDER:
            request_id = self._pop(kind)
            if request_id is not None:
                self._since_release = 0 if kind is RequestKind.RELEASE else self._since_release + 1
                self.in_flight += 1
                return request_id
        return None

    def on_request_done(self, duration_ms: float) -> None:
        """Records that a request in flight completed after `duration_ms`."""
        self.in_flight = max(self.in_flight - 1, 0)
        sample_ms = min(duration_ms, _MAX_SAMPLE_MS)
        self._mean_duration_ms += (sample_ms - self._mean_duration_ms) * _DURATION_SMOOTHING

    def estimated_wait_ms(self) -> float:
        """Returns the estimated wait of a new session that arrives now, in milliseconds."""
        ahead = self._waiting_counts[RequestKind.RENEW] + self._waiting_counts[RequestKind.ACQUIRE]
        return ahead / max(self.config.max_in_flight, 1) * self._mean_duration_ms

    def _pop(self, kind: RequestKind) -> int | None:
        """Removes and returns the first waiting request of a kind; skips entries of removed requests."""
        heap = self._heaps[kind]
        while heap and self._kind_of_waiting.get(heap[0].request_id) is not kind:
            heapq.heappop(heap)
        if not heap:
            return None
        request_id = heapq.heappop(heap).request_id
        del self._kind_of_waiting[request_id]
        self._waiting_counts[kind] -= 1
        return request_id
