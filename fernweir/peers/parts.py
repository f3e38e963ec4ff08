"""The parts of one front's peers, with what is known of each: when it is due, if it may give effects.

Most messages are for one part. The others are neither asked again when they are due nor for effects: they
are where they were. So whatever is done to a part is done through `at`, and reading is all that may be done
without it. One that was touched for nothing costs a look; one that was changed untouched comes late.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import TypeVar

from fernweir.peers.base import Effect, Part

_P = TypeVar("_P", bound=Part)


class Parts:
    """`moves` names the parts that a part itself acts on, beside those in `parts` order."""

    def __init__(self, parts: Sequence[Part], moves: Mapping[Part, Sequence[Part]]) -> None:
        self._all = tuple(parts)
        self._moves = {part: (part, *moves.get(part, ())) for part in parts}
        self._dues: dict[Part, float] = {}
        self._moved = set(parts)  # when they are due may have changed
        self._giving = set(parts)  # they may have effects
        self._first: float | None = None

    def at(self, part: _P) -> _P:
        """That part, to do something to it."""
        moves = self._moves[part]
        self._moved.update(moves)
        self._giving.update(moves)
        return part

    @property
    def giving(self) -> bool:
        return bool(self._giving)

    def gives(self, part: Part) -> bool:
        return part in self._giving

    def tick(self, now: float) -> None:
        """Ticks each part that is due."""
        for part in self._all:
            due = self._due(part) if part in self._moved else self._dues.get(part)
            if due is not None and due <= now:
                self.at(part).tick(now)

    def next_deadline(self) -> float | None:
        if self._moved:
            for part in tuple(self._moved):
                self._due(part)
            self._first = min(self._dues.values(), default=None)
        return self._first

    def take_effects(self) -> list[Effect]:
        """All effects of the parts, in their order."""
        if not self._giving:
            return []
        giving, self._giving = self._giving, set()
        return [effect for part in self._all if part in giving for effect in part.take_effects()]

    def _due(self, part: Part) -> float | None:
        self._moved.discard(part)
        due = part.next_deadline()
        if due is None:
            self._dues.pop(part, None)
        else:
            self._dues[part] = due
        return due
