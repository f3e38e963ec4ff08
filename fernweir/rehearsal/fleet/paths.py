"""What one directed path between two fronts does to what passes: decisions only, no sockets, no clock.

Times are ms, rates bytes a second, shares chances from 0 to 1. A path knows nothing of what it carries.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

_QUEUE_MS = 1_000.0
_RESENT_MS = 200.0


@dataclass(slots=True)
class Manner:
    """How a path behaves now; it may be changed at any time, and holds for what comes after.

    `overtaken` is the share of datagrams held back for up to `held_ms`, so that later ones pass them. `rate`
    of 0 is no limit. `cut` drops datagrams and holds a connection's bytes back until it ends.
    """

    loss: float = 0.0
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    doubled: float = 0.0
    overtaken: float = 0.0
    held_ms: float = 80.0
    rate: float = 0.0
    cut: bool = False


@dataclass(slots=True)
class Passed:
    """What a path did, in datagrams and in bytes of connections."""

    datagrams: int = 0
    carried: int = 0
    lost: int = 0
    doubled: int = 0
    overtaken: int = 0
    bytes: int = 0


@dataclass(slots=True)
class PathFaults:
    """Decides when each datagram and each piece of a connection goes on."""

    dice: Random
    manner: Manner = field(default_factory=Manner)
    passed: Passed = field(default_factory=Passed)
    _busy_until: float = 0.0

    def datagram(self, now: float, size: int) -> tuple[float, ...]:
        """The times at which copies of a datagram go on; none if it is lost."""
        manner, passed = self.manner, self.passed
        passed.datagrams += 1
        if manner.cut or self.dice.random() < manner.loss:
            passed.lost += 1
            return ()
        sent = self._sent(now, size)
        if sent - now > _QUEUE_MS:  # the slow link's queue is full
            passed.lost += 1
            return ()
        self._busy_until = sent
        due = sent + self._way()
        if self.dice.random() < manner.overtaken:
            passed.overtaken += 1
            due += self.dice.uniform(0.0, manner.held_ms)
        passed.carried += 1
        if self.dice.random() < manner.doubled:
            passed.doubled += 1
            return due, due + self.dice.uniform(0.0, manner.jitter_ms + manner.held_ms)
        return (due,)

    def piece(self, now: float, size: int, after: float) -> float:
        """When a piece of a connection goes on: in order, so not before `after`, the piece before it.

        A lost one is sent again by the kernel of its sender: it comes late, never not at all.
        """
        sent = self._busy_until = self._sent(now, size)
        due = sent + self._way()
        while self.dice.random() < min(self.manner.loss, 0.9):
            due += _RESENT_MS
        self.passed.bytes += size
        return max(due, after)

    def _sent(self, now: float, size: int) -> float:
        """When its last byte is on the link, which carries one thing after the other."""
        if not self.manner.rate:
            return now
        return max(now, self._busy_until) + size * 1_000.0 / self.manner.rate

    def _way(self) -> float:
        return self.manner.delay_ms + self.dice.uniform(0.0, self.manner.jitter_ms)
