"""How one set of keepers replaces another without a moment in which both grant alone.

While both are in force a holder needs majorities of both. A keeper that was told of the newer set refuses
what names the older alone. Once a majority of the older set does so, and the longest lease has passed since,
nothing that rests on the older set alone can be believed: then, not before, the newer may stand alone.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

from fernweir.peers.lease.rules import KeeperSet, ordered


class Overlap:
    """A keeper's view of which sets a question must rest on. `wait_ms`: until the longest lease is over."""

    def __init__(self, me: str, now: float, sets: Iterable[KeeperSet], wait_ms: float) -> None:
        found = ordered(sets)
        self._me = me
        self._wait_ms = wait_ms
        self.newest = found[-1]
        self.before: KeeperSet | None = None
        self._behind = 0
        self._moved: set[str] = set()
        self._settles_at: float | None = None
        if len(found) == 2:
            self._begin(now, found[0])

    def needs(self) -> tuple[int, ...]:
        """The versions that a question must name."""
        before = () if self.before is None else (self.before.version,)
        behind = () if self._behind <= self.newest.version else (self._behind,)
        return (*before, self.newest.version, *behind)

    def accepts(self, named: Collection[int]) -> bool:
        return all(version in named for version in self.needs())

    def change(self, now: float, sets: Iterable[KeeperSet]) -> bool:
        """These sets are in force. False if they are not taken: older, or the last change isn't over."""
        found = ordered(sets)
        if found[-1].version < self.newest.version:
            return False
        if found[-1].version == self.newest.version:
            return True
        if self.before is not None:
            return False
        before = found[0] if len(found) == 2 else self.newest
        self.newest = found[-1]
        self._begin(now, before)
        return True

    def _begin(self, now: float, before: KeeperSet) -> None:
        self.before = before
        self._moved = set()
        self._settles_at = None
        self._count(now, self._me)

    def told(self, now: float, keeper: str, needs: Collection[int]) -> None:
        """Another keeper refuses what doesn't name all of these."""
        if max(needs) >= self.newest.version:
            self._count(now, keeper)

    def _count(self, now: float, keeper: str) -> None:
        if self.before is None or keeper not in self.before.names:
            return
        self._moved.add(keeper)
        if self._settles_at is None and len(self._moved) >= self.before.majority:
            self._settles_at = now + self._wait_ms

    def learn(self, needs: Collection[int]) -> None:
        """In the silence after a start: others know of a newer set than the settings told."""
        self._behind = max(self._behind, max(needs))

    def tick(self, now: float) -> None:
        if self._settles_at is not None and now >= self._settles_at:
            self.before = None
            self._settles_at = None

    def asks(self) -> tuple[str, ...]:
        """Keepers of the older set of which it isn't known that they moved."""
        if self.before is None or self._settles_at is not None:
            return ()
        return tuple(name for name in self.before.names if name not in self._moved)

    def next_deadline(self) -> float | None:
        return self._settles_at
