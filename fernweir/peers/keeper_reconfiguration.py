"""Replaces the set of keepers while leases are held.

The newest set in the settings of any front is published as a fact. A front that receives it uses the previous
and the new set together, and needs a majority of each. Each keeper of the new set publishes when it has every
lease that the previous set may have granted. When a majority of them has, the new set is used alone.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from fernweir.peers.facts.store import Facts
from fernweir.peers.lease.holder import Holder
from fernweir.peers.lease.keeper import Keeper
from fernweir.peers.lease.rules import KeeperSet

KEEPERS, SETTLED = "keepers", "keepers.settled"
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]


class _Set(msgspec.Struct, frozen=True, array_like=True):
    version: Annotated[int, msgspec.Meta(ge=1, lt=1 << 53)]
    names: Annotated[tuple[Name, ...], msgspec.Meta(min_length=1, max_length=15)]


class KeeperReconfiguration:
    """Tracks the sets of keepers in use. `now` is in ms; `update` has to be called periodically."""

    def __init__(self, me: str, facts: Facts, holder: Holder, keeper: Keeper, first: KeeperSet) -> None:
        self.me = me
        self.sets: tuple[KeeperSet, ...] = (first,)
        self._facts, self._holder, self._keeper = facts, holder, keeper
        self._is_applied = True  # to the keeper of this front
        self._settled: dict[str, int] = {}

    @property
    def names(self) -> tuple[str, ...]:
        """The keepers of the newest set."""
        return self.sets[-1].names

    def start(self, now: float) -> None:
        """Publishes the set from the settings."""
        self._publish(now)

    def on_fact(self, now: float, owner: str, key: str, value: bytes) -> bool:
        """Handles a fact of a peer, and returns whether it has a newer set. A malformed fact is discarded."""
        try:
            if key == SETTLED:
                if len(self._settled) < 64 or owner in self._settled:
                    self._settled[owner] = msgspec.msgpack.decode(value, type=int)
                return False
            decoded = msgspec.msgpack.decode(value, type=_Set)
            received = KeeperSet(decoded.version, decoded.names)
        except (msgspec.DecodeError, ValueError):
            return False
        if received.version <= self.sets[-1].version:
            return False
        self.sets, self._is_applied = (self.sets[-1], received), False
        self._publish(now)
        self.update(now)
        return True

    def update(self, now: float) -> None:
        """Applies the sets in use, and ends the transition once the new set has settled."""
        self._holder.change_keepers(now, self.sets)
        self._is_applied = self._is_applied or self._keeper.change_keepers(now, self.sets)
        newest = self.sets[-1]
        if len(self.sets) < 2 or not self._is_applied:
            return
        is_published = self._settled.get(self.me) == newest.version
        if self.me in newest.names and not is_published and self._keeper.has_settled(now):
            self._settled[self.me] = newest.version
            self._facts.put(now, SETTLED, msgspec.msgpack.encode(newest.version))
        settled_count = sum(self._settled.get(name) == newest.version for name in newest.names)
        if settled_count >= newest.majority:
            self.sets, self._is_applied = (newest,), False
            self.update(now)

    def _publish(self, now: float) -> None:
        newest = self.sets[-1]
        self._facts.put(now, KEEPERS, msgspec.msgpack.encode(_Set(newest.version, newest.names)))
