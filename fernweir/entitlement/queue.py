"""The order in which requests go out to an entitlement server that takes only so many at once.

Renewals go before new sessions: a viewer who watches must not lose the seat because a crew asks at one
instant. New ones go by worth, then by age; what waits gains rank with time, so that nothing starves.
Releases have every eighth turn at the least, as they free seats for others. Free of I/O and clock; times
are milliseconds.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from enum import IntEnum


class RequestKind(IntEnum):
    RENEW = 0
    ACQUIRE = 1
    RELEASE = 2


@dataclass(frozen=True, slots=True)
class QueueConfig:
    """`at_once` requests are out together; waiting `age_ms` is worth as much as one of worth."""

    max_in_flight: int = 64
    aging_ms: float = 500.0
    release_every: int = 8
    max_waiting: int = 20_000


@dataclass(order=True, slots=True)
class _Entry:
    rank: float
    number: int
    id: int


class SendQueue:
    """Holds ids of requests; `next` names those that may go out now."""

    def __init__(self, config: QueueConfig | None = None) -> None:
        self.config = config or QueueConfig()
        self.in_flight = 0
        self._heaps: dict[RequestKind, list[_Entry]] = {turn: [] for turn in RequestKind}
        self._waiting: dict[int, RequestKind] = {}
        self._count = dict.fromkeys(RequestKind, 0)
        self._numbers = 0
        self._since_release = 0
        self._pace_ms = 20.0

    def __len__(self) -> int:
        return len(self._waiting)

    def waiting_count(self, turn: RequestKind) -> int:
        return self._count[turn]

    def add(self, now: float, request_id: int, kind: RequestKind, weight: float, deadline: float) -> bool:
        """Puts a request in line; False if the line is full. Renewals and releases always find room.

        `due` orders renewals: the one that lapses first goes first. For the others rank is the time of
        coming, less what its worth is worth in waiting: a fixed key that still ages, as all age alike.
        """
        if kind is RequestKind.ACQUIRE and self._count[RequestKind.ACQUIRE] >= self.config.max_waiting:
            return False
        rank = deadline if kind is RequestKind.RENEW else now - weight * self.config.aging_ms
        self._numbers += 1
        heapq.heappush(self._heaps[kind], _Entry(rank, self._numbers, request_id))
        self._waiting[request_id] = kind
        self._count[kind] += 1
        return True

    def remove(self, request_id: int) -> None:
        turn = self._waiting.pop(request_id, None)
        if turn is not None:
            self._count[turn] -= 1

    def start_next(self) -> int | None:
        """The request whose turn it is, or None; `done` gives its place back."""
        if self.in_flight >= self.config.max_in_flight:
            return None
        order = [RequestKind.RENEW, RequestKind.ACQUIRE, RequestKind.RELEASE]
        if self._since_release + 1 >= self.config.release_every:
            order = [RequestKind.RELEASE, RequestKind.RENEW, RequestKind.ACQUIRE]
        for turn in order:
            heap = self._heaps[turn]
            while heap and self._waiting.get(heap[0].id) is not turn:
                heapq.heappop(heap)
            if heap:
                entry = heapq.heappop(heap)
                del self._waiting[entry.id]
                self._count[turn] -= 1
                self._since_release = 0 if turn is RequestKind.RELEASE else self._since_release + 1
                self.in_flight += 1
                return entry.id
        return None

    def on_request_done(self, took_ms: float) -> None:
        self.in_flight = max(self.in_flight - 1, 0)
        self._pace_ms += (min(took_ms, 10_000.0) - self._pace_ms) * 0.1

    def estimated_wait_ms(self) -> float:
        """About how long a new session asked for now would wait for its turn."""
        ahead = self._count[RequestKind.RENEW] + self._count[RequestKind.ACQUIRE]
        return ahead / max(self.config.max_in_flight, 1) * self._pace_ms
