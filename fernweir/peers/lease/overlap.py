"""Replacement of one set of keepers by another, without a time in which each could grant alone.

While both sets are in force a holder needs a majority of each. A keeper that was configured with the newer
set refuses requests that name the older set alone. Once a majority of the older set does so, and the longest
lease has passed since, no lease granted by the older set alone can be valid. Only then may the newer set be
in force alone.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

from fernweir.peers.lease.rules import KeeperSet, checked_sets


class Overlap:
    """A keeper's view of the sets that a request must name. `wait_ms` is the time of the longest lease."""

    def __init__(self, me: str, now: float, sets: Iterable[KeeperSet], wait_ms: float) -> None:
        found = checked_sets(sets)
        self._me = me
        self._wait_ms = wait_ms
        self.newest = found[-1]
        self.previous: KeeperSet | None = None
        self._newer_version = 0
        self._migrated: set[str] = set()
        self._settles_at: float | None = None
        if len(found) == 2:
            self._begin(now, found[0])

    def required_versions(self) -> tuple[int, ...]:
        """Returns the versions that a request must name."""
        previous = () if self.previous is None else (self.previous.version,)
        newer = () if self._newer_version <= self.newest.version else (self._newer_version,)
        return (*previous, self.newest.version, *newer)

    def accepts(self, named: Collection[int]) -> bool:
        return all(version in named for version in self.required_versions())

    def change(self, now: float, sets: Iterable[KeeperSet]) -> bool:
        """Sets the sets in force. Returns False if they are older or the last change is not complete."""
        found = checked_sets(sets)
        if found[-1].version < self.newest.version:
            return False
        if found[-1].version == self.newest.version:
            return True
        if self.previous is not None:
            return False
        previous = found[0] if len(found) == 2 else self.newest
        self.newest = found[-1]
        self._begin(now, previous)
        return True

    def _begin(self, now: float, previous: KeeperSet) -> None:
        self.previous = previous
        self._migrated = set()
        self._settles_at = None
        self._count(now, self._me)

    def on_required_versions(self, now: float, keeper: str, required_versions: Collection[int]) -> None:
        """Another keeper refuses requests that do not name all of these versions."""
        if max(required_versions) >= self.newest.version:
            self._count(now, keeper)

    def _count(self, now: float, keeper: str) -> None:
        if self.previous is None or keeper not in self.previous.names:
            return
        self._migrated.add(keeper)
        if self._settles_at is None and len(self._migrated) >= self.previous.majority:
            self._settles_at = now + self._wait_ms

    def observe_newer(self, required_versions: Collection[int]) -> None:
        """Records, during the silence after a start, a newer set than the one in the settings."""
        self._newer_version = max(self._newer_version, max(required_versions))

    def tick(self, now: float) -> None:
        if self._settles_at is not None and now >= self._settles_at:
            self.previous = None
            self._settles_at = None

    def pending_keepers(self) -> tuple[str, ...]:
        """Returns the keepers of the previous set that have not confirmed the newer set."""
        if self.previous is None or self._settles_at is not None:
            return ()
        return tuple(name for name in self.previous.names if name not in self._migrated)

    def next_deadline(self) -> float | None:
        return self._settles_at
