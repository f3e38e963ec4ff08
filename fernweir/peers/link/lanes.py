"""What waits for peers until a connection takes it: bounded for each and over all. Pure.

A lane lives while something waits in it. Its calls that fail are repeated after pauses that double, each
drawn between half of it and all, as many fronts may lose one peer in the same moment.
"""

from __future__ import annotations

from collections import deque
from random import Random

from fernweir.peers.base import Address
from fernweir.peers.link.rules import LinkRules

Called = str | Address


class Lane:
    """`calling` from when a connection is asked for until it is proven or fails. Times in ms."""

    __slots__ = ("_failed_since", "_failures", "calling", "queue", "size", "whom")

    def __init__(self, whom: Called) -> None:
        self.whom = whom
        self.queue: deque[bytes] = deque()
        self.size = self._failures = 0
        self._failed_since = 0.0
        self.calling = False

    def failed(self, now: float, rules: LinkRules, dice: Random) -> float | None:
        """The pause before the next call, None if it has failed for too long."""
        self.calling = False
        if self._failures == 0:
            self._failed_since = now
        self._failures += 1
        if now - self._failed_since > rules.give_up_ms:
            return None
        most = min(rules.retry_most_ms, rules.retry_ms * 2.0 ** min(self._failures - 1, 16))
        return dice.uniform(most / 2, most)

    def reached(self) -> None:
        self.calling, self._failures = False, 0


class Lanes:
    """All lanes, by whom they lead to."""

    __slots__ = ("_lanes", "_rules", "waiting")

    def __init__(self, rules: LinkRules) -> None:
        self._rules = rules
        self._lanes: dict[Called, Lane] = {}
        self.waiting = 0  # bytes

    def get(self, whom: Called) -> Lane | None:
        return self._lanes.get(whom)

    def all(self) -> list[Lane]:
        return list(self._lanes.values())

    def has(self, lane: Lane) -> bool:
        return self._lanes.get(lane.whom) is lane

    def put(self, whom: Called, body: bytes) -> Lane | None:
        """The lane in which it waits now, None if too much waits already."""
        rules, lane = self._rules, self._lanes.get(whom)
        if self.waiting + len(body) > rules.queues:
            return None
        if lane is None:
            if len(self._lanes) >= rules.peers or len(body) > rules.queue:
                return None
            lane = self._lanes[whom] = Lane(whom)
        elif lane.size + len(body) > rules.queue:
            return None
        lane.queue.append(body)
        lane.size += len(body)
        self.waiting += len(body)
        return lane

    def next(self, lane: Lane) -> bytes:
        """What waited longest in a lane where something waits."""
        body = lane.queue.popleft()
        lane.size -= len(body)
        self.waiting -= len(body)
        return body

    def end(self, lane: Lane) -> int:
        """How many still waited in it. None of them does any longer."""
        if self.has(lane):
            del self._lanes[lane.whom]
            self.waiting -= lane.size
        left = len(lane.queue)
        lane.queue.clear()
        lane.size = 0
        return left
