"""The chain of a front's own acts, sealed into blocks.

A block is sealed `block_ms` after its first act at the latest, earlier when it is full or when the wall
clock's relation changes, so that one relation holds for a whole block.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

from fernweir.peers.acts.block import TICK_MS, Sealed, seal
from fernweir.peers.acts.rules import ActRules
from fernweir.peers.acts.versions import Versions
from fernweir.peers.port import AuditRecord


@dataclass(frozen=True, slots=True)
class Head:
    """The newest block of a chain; `at` is when this was so, ms of its owner's clock."""

    number: int
    digest: bytes
    at: float
    first: int = 1
    final: bool = False


class Chain:
    """Add acts in the order in which they leave the front; `take` gives the blocks sealed since."""

    def __init__(self, front: str, life: int, rules: ActRules) -> None:
        self.front, self.life, self.rules = front, life, rules
        self.number = 0
        self.digest = b""
        self.final = False
        self._wall, self._doubt = 0.0, 1e16  # nothing is known of the wall clock until it is told
        self._open: list[tuple[AuditRecord, Versions]] = []
        self._known: set[Versions] = set()
        self._text = 0
        self._last: Versions | None = None
        self._sealed: list[Sealed] = []

    def wall(self, now: float, offset_ms: float, doubt_ms: float) -> None:
        """The wall clock is `offset_ms` ahead of the front's own, by its own word give or take `doubt_ms`.

        What lies within the doubt is no change: two readings of two clocks differ a little each time, and a
        block for each would be many. So blocks say twice the doubt.
        """
        if abs(offset_ms - self._wall) > doubt_ms or 2 * doubt_ms != self._doubt:
            if self._open:
                self.seal(now)
            self._wall, self._doubt = offset_ms, 2 * doubt_ms

    def add(self, act: AuditRecord, versions: Versions) -> None:
        if self.final:
            return
        if versions is not self._last:
            self._last = versions
            self._known.add(versions)
        self._open.append((act, versions))
        self._text += len(act.session) + len(act.title) + len(act.tenant) + len(act.outcome) + 20
        if (
            len(self._open) >= self.rules.block_acts
            or self._text * 2 >= self.rules.block_bytes
            or len(self._known) >= 250
        ):
            self.seal(act.at)

    def seal(self, now: float, final: bool = False) -> None:
        """Closes the open block; with `final` the chain, for a front that ends in order."""
        if self.final or not (self._open or final):
            return
        self.number += 1
        sealed = seal(
            self.front, self.life, self.number, self.digest, self._open, now, self._wall, self._doubt, final
        )
        self.digest, self.final = sealed.digest, final
        self._open, self._known, self._text, self._last = [], set(), 0, None
        self._sealed.append(sealed)

    def tick(self, now: float) -> None:
        if now >= self._full_at():
            self.seal(now)

    def next_deadline(self) -> float | None:
        if self._sealed:  # sealed as it was full, or as the wall clock jumped
            return self._sealed[0].block.until * TICK_MS
        return self._full_at() if self._open else None

    def _full_at(self) -> float:
        return self._open[0][0].at + self.rules.block_ms if self._open else inf

    def take(self) -> list[Sealed]:
        sealed, self._sealed = self._sealed, []
        return sealed
