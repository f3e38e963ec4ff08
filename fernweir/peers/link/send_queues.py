"""Queues of message bodies that wait for a connection to a peer, bounded per peer and in total. Pure.

A queue exists while a body waits in it. Failed connection attempts are repeated with exponential backoff.
Each backoff is drawn between half of the current maximum and all of it, as many fronts may lose one peer at
the same moment.
"""

from __future__ import annotations

from collections import deque
from random import Random

from fernweir.peers.base import Address
from fernweir.peers.link.rules import LinkRules

PeerTarget = str | Address


class SendQueue:
    """Bodies for one peer. `connecting` is set from the connection attempt until it is proven or fails.

    Times are in ms.
    """

    __slots__ = ("_failing_since_ms", "_failures", "bodies", "connecting", "size_bytes", "target")

    def __init__(self, target: PeerTarget) -> None:
        self.target = target
        self.bodies: deque[bytes] = deque()
        self.size_bytes = self._failures = 0
        self._failing_since_ms = 0.0
        self.connecting = False

    def on_connect_failed(self, now: float, rules: LinkRules, rng: Random) -> float | None:
        """Returns the backoff before the next attempt, None if attempts have failed for too long."""
        self.connecting = False
        if self._failures == 0:
            self._failing_since_ms = now
        self._failures += 1
        if now - self._failing_since_ms > rules.give_up_ms:
            return None
        max_backoff_ms = min(
            rules.max_retry_backoff_ms, rules.retry_backoff_ms * 2.0 ** min(self._failures - 1, 16)
        )
        return rng.uniform(max_backoff_ms / 2, max_backoff_ms)

    def on_connected(self) -> None:
        self.connecting, self._failures = False, 0


class SendQueues:
    """All send queues, by the peer that they lead to."""

    __slots__ = ("_by_target", "_rules", "waiting_bytes")

    def __init__(self, rules: LinkRules) -> None:
        self._rules = rules
        self._by_target: dict[PeerTarget, SendQueue] = {}
        self.waiting_bytes = 0

    def get(self, target: PeerTarget) -> SendQueue | None:
        return self._by_target.get(target)

    def all(self) -> list[SendQueue]:
        return list(self._by_target.values())

    def has(self, send_queue: SendQueue) -> bool:
        return self._by_target.get(send_queue.target) is send_queue

    def put(self, target: PeerTarget, body: bytes) -> SendQueue | None:
        """Queues a body. Returns its queue, None if a bound would be exceeded."""
        rules, send_queue = self._rules, self._by_target.get(target)
        if self.waiting_bytes + len(body) > rules.max_total_queue_bytes:
            return None
        if send_queue is None:
            if len(self._by_target) >= rules.max_queued_peers or len(body) > rules.max_queue_bytes:
                return None
            send_queue = self._by_target[target] = SendQueue(target)
        elif send_queue.size_bytes + len(body) > rules.max_queue_bytes:
            return None
        send_queue.bodies.append(body)
        send_queue.size_bytes += len(body)
        self.waiting_bytes += len(body)
        return send_queue

    def next(self, send_queue: SendQueue) -> bytes:
        """Removes and returns the oldest body of a queue that is not empty."""
        body = send_queue.bodies.popleft()
        send_queue.size_bytes -= len(body)
        self.waiting_bytes -= len(body)
        return body

    def remove(self, send_queue: SendQueue) -> int:
        """Removes and empties a queue. Returns how many bodies were still waiting in it."""
        if self.has(send_queue):
            del self._by_target[send_queue.target]
            self.waiting_bytes -= send_queue.size_bytes
        remaining = len(send_queue.bodies)
        send_queue.bodies.clear()
        send_queue.size_bytes = 0
        return remaining
