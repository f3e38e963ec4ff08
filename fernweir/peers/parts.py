"""Tracks which parts of a peer may have effects, and caches their deadlines.

Most messages concern one part. The deadlines and effects of the others are not read again, because they did
not change. Every call that may change a part must therefore go through `touch`; only reads may bypass it. An
unnecessary touch costs one check, but a change without a touch delays the timers and effects of the part.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import TypeVar

from fernweir.peers.base import Effect, Part

_P = TypeVar("_P", bound=Part)


class Parts:
    """The parts in the order in which they run.

    `touched_with` has for a part the other parts that it calls itself.
    """

    def __init__(self, parts: Sequence[Part], touched_with: Mapping[Part, Sequence[Part]]) -> None:
        self._all = tuple(parts)
        self._touched_with = {part: (part, *touched_with.get(part, ())) for part in parts}
        self._deadlines: dict[Part, float] = {}
        self._timer_changed = set(parts)  # their deadlines may have changed
        self._may_have_effects = set(parts)
        self._first_deadline: float | None = None

    def touch(self, part: _P) -> _P:
        """Returns the part for a call that may change it."""
        touched_with = self._touched_with[part]
        self._timer_changed.update(touched_with)
        self._may_have_effects.update(touched_with)
        return part

    @property
    def has_effects(self) -> bool:
        """Whether any part may have effects."""
        return bool(self._may_have_effects)

    def may_have_effects(self, part: Part) -> bool:
        """Whether the part may have effects."""
        return part in self._may_have_effects

    def tick(self, now: float) -> None:
        """Calls `tick` of each part whose deadline has passed."""
        for part in self._all:
            due = self._update_deadline(part) if part in self._timer_changed else self._deadlines.get(part)
            if due is not None and due <= now:
                self.touch(part).tick(now)

    def next_deadline(self) -> float | None:
        """Returns the earliest deadline of all parts."""
        if self._timer_changed:
            for part in tuple(self._timer_changed):
                self._update_deadline(part)
            self._first_deadline = min(self._deadlines.values(), default=None)
        return self._first_deadline

    def take_effects(self) -> list[Effect]:
        """Returns all effects of the parts, in the order of the parts, and removes them."""
        if not self._may_have_effects:
            return []
        pending, self._may_have_effects = self._may_have_effects, set()
        return [effect for part in self._all if part in pending for effect in part.take_effects()]

    def _update_deadline(self, part: Part) -> float | None:
        self._timer_changed.discard(part)
        due = part.next_deadline()
        if due is None:
            self._deadlines.pop(part, None)
        else:
            self._deadlines[part] = due
        return due
