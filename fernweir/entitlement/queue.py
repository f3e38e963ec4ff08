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


class Turn(IntEnum):
    RENEW = 0
    ASK = 1
    RELEASE = 2


@dataclass(frozen=True, slots=True)
class QueueRules:
    """`at_once` requests are out together; waiting `age_ms` is worth as much as one of worth."""

    at_once: int = 64
    age_ms: float = 500.0
    release_every: int = 8
    waiting: int = 20_000


@dataclass(order=True, slots=True)
class _Entry:
    rank: float
    number: int
    id: int


class SendQueue:
    """Holds ids of requests; `next` names those that may go out now."""

    def __init__(self, rules: QueueRules | None = None) -> None:
        self.rules = rules or QueueRules()
        self.out = 0
        self._heaps: dict[Turn, list[_Entry]] = {turn: [] for turn in Turn}
        self._waiting: dict[int, Turn] = {}
        self._count = dict.fromkeys(Turn, 0)
        self._numbers = 0
        self._since_release = 0
        self._pace_ms = 20.0

    def __len__(self) -> int:
        return len(self._waiting)

    def waiting(self, turn: Turn) -> int:
        return self._count[turn]

    def add(self, now: float, id: int, turn: Turn, worth: float, due: float) -> bool:
        """Puts a request in line; False if the line is full. Renewals and releases always find room.

        `due` orders renewals: the one that lapses first goes first. For the others rank is the time of
        coming, less what its worth is worth in waiting: a fixed key that still ages, as all age alike.
        """
        if turn is Turn.ASK and self._count[Turn.ASK] >= self.rules.waiting:
            return False
        rank = due if turn is Turn.RENEW else now - worth * self.rules.age_ms
        self._numbers += 1
        heapq.heappush(self._heaps[turn], _Entry(rank, self._numbers, id))
        self._waiting[id] = turn
        self._count[turn] += 1
        return True

    def drop(self, id: int) -> None:
        turn = self._waiting.pop(id, None)
        if turn is not None:
            self._count[turn] -= 1

    def next(self) -> int | None:
        """The request whose turn it is, or None; `done` gives its place back."""
        if self.out >= self.rules.at_once:
            return None
        order = [Turn.RENEW, Turn.ASK, Turn.RELEASE]
        if self._since_release + 1 >= self.rules.release_every:
            order = [Turn.RELEASE, Turn.RENEW, Turn.ASK]
        for turn in order:
            heap = self._heaps[turn]
            while heap and self._waiting.get(heap[0].id) is not turn:
                heapq.heappop(heap)
            if heap:
                entry = heapq.heappop(heap)
                del self._waiting[entry.id]
                self._count[turn] -= 1
                self._since_release = 0 if turn is Turn.RELEASE else self._since_release + 1
                self.out += 1
                return entry.id
        return None

    def done(self, took_ms: float) -> None:
        self.out = max(self.out - 1, 0)
        self._pace_ms += (min(took_ms, 10_000.0) - self._pace_ms) * 0.1

    def wait_ms(self) -> float:
        """About how long a new session asked for now would wait for its turn."""
        ahead = self._count[Turn.RENEW] + self._count[Turn.ASK]
        return ahead / max(self.rules.at_once, 1) * self._pace_ms
