"""One chain on its way to its holders: who they are, and what each is sent next.

The holders are chosen by rendezvous hashing of the chain's name among the fronts that are alive, so that
every front knows without being told who has it. A front that is gone can't send: whoever has its chain hands
it on.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from math import inf

from fernweir.peers.acts.block import Sealed
from fernweir.peers.acts.line import Line
from fernweir.peers.acts.rules import ActRules
from fernweir.peers.acts.shelf import Shelf
from fernweir.peers.base import rendezvous

_FORMER = 8  # holders of before whose word is remembered, as they may be chosen again


class Sending:
    """`probe`: others may have sent the same before."""

    def __init__(self, owner: str, life: int, rules: ActRules, *, probe: bool) -> None:
        self.owner, self.life, self.rules, self.probe = owner, life, rules, probe
        self.lines: dict[str, Line] = {}
        self._former: dict[tuple[str, int], Line] = {}

    def choose(self, me: str, names: Mapping[str, int]) -> None:
        """`names`: who is alive, in which life. A holder with a new life has nothing any more."""
        able = [name for name in names if name != self.owner]
        chosen = rendezvous(f"{self.owner}:{self.life}", able)[: self.rules.holders]
        for name, line in self.lines.items():
            self._former[name, line.life] = line
        before, self.lines = self.lines, {}
        for name in chosen:
            if name == me:
                continue
            life = names[name]
            line = self._former.get((name, life)) or Line(name, life, self.rules, probe=self.probe)
            self._former.pop((name, life), None)
            if before.get(name) is not line:
                line.expire(inf)
            self.lines[name] = line
        while len(self._former) > _FORMER:
            del self._former[next(iter(self._former))]

    def flow(self, now: float, shelf: Shelf) -> Iterator[tuple[Line, Sealed]]:
        """What holders lack, oldest first, as far as windows go; the caller sends it before the next."""
        for line in self.lines.values():
            line.expire(now)
            if line.has_room(live=False):
                yield from ((line, sealed) for sealed in self._next(line, shelf))

    def _next(self, line: Line, shelf: Shelf) -> Iterator[Sealed]:
        for low, high in list(shelf.numbers):
            for number in line.lacking(low, high):
                if not line.has_room(live=False):
                    return
                sealed = shelf.block(number)
                if sealed is not None:
                    yield sealed

    def next_deadline(self) -> float | None:
        return min(
            (due for line in self.lines.values() if (due := line.next_deadline()) is not None), default=None
        )
