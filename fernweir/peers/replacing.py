"""Which keepers are in force, and how others come in their place while leases are held.

The newest set that any front has in its settings is spread as a fact. From when a front hears of it, the set
before and the new one are both in force for it, a majority of each; keepers of the new set say when they
know all that the old one may have granted, and once a majority of them has, the new one stands alone.
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


class Replacing:
    """`now` is ms; `look` is called every now and then."""

    def __init__(self, me: str, facts: Facts, holder: Holder, keeper: Keeper, first: KeeperSet) -> None:
        self.me = me
        self.sets: tuple[KeeperSet, ...] = (first,)
        self._facts, self._holder, self._keeper = facts, holder, keeper
        self._taken = True  # by this front's own keeper
        self._settled: dict[str, int] = {}

    @property
    def names(self) -> tuple[str, ...]:
        """Keepers of the newest set."""
        return self.sets[-1].names

    def start(self, now: float) -> None:
        self._say(now)

    def told(self, now: float, owner: str, key: str, value: bytes) -> bool:
        """A peer's fact; whether a newer set came by it. What can't be one is passed over."""
        try:
            if key == SETTLED:
                if len(self._settled) < 64 or owner in self._settled:
                    self._settled[owner] = msgspec.msgpack.decode(value, type=int)
                return False
            told = msgspec.msgpack.decode(value, type=_Set)
            found = KeeperSet(told.version, told.names)
        except (msgspec.DecodeError, ValueError):
            return False
        if found.version <= self.sets[-1].version:
            return False
        self.sets, self._taken = (self.sets[-1], found), False
        self._say(now)
        self.look(now)
        return True

    def look(self, now: float) -> None:
        self._holder.change_keepers(now, self.sets)
        self._taken = self._taken or self._keeper.change_keepers(now, self.sets)
        newest = self.sets[-1]
        if len(self.sets) < 2 or not self._taken:
            return
        said = self._settled.get(self.me) == newest.version
        if self.me in newest.names and not said and self._keeper.has_settled(now):
            self._settled[self.me] = newest.version
            self._facts.put(now, SETTLED, msgspec.msgpack.encode(newest.version))
        ready = sum(self._settled.get(name) == newest.version for name in newest.names)
        if ready >= newest.majority:
            self.sets, self._taken = (newest,), False
            self.look(now)

    def _say(self, now: float) -> None:
        newest = self.sets[-1]
        self._facts.put(now, KEEPERS, msgspec.msgpack.encode(_Set(newest.version, newest.names)))
