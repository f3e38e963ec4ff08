"""Questions that carry many channels at once and are told apart by a number: renewals and releases."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from fernweir.peers.lease.messages import ITEMS, Item, No
from fernweir.peers.lease.rules import KeeperSet, decided


@dataclass(slots=True)
class Renewal:
    """One question to all keepers. `asked_at`: when it was first sent; a repeat doesn't change that."""

    asked_at: float
    again_at: float
    fences: dict[str, int]
    unheard: list[str]
    yes: dict[str, set[str]] = field(default_factory=dict)

    def items(self) -> tuple[Item, ...]:
        return tuple(Item(channel, 0, fence) for channel, fence in self.fences.items())

    def heard(self, keeper: str, noes: Iterable[No]) -> list[str]:
        """Channels that this keeper extended; none if it answered before, or was not asked."""
        if keeper not in self.unheard:
            return []
        self.unheard.remove(keeper)
        refused = {no.channel for no in noes}
        extended = [channel for channel in self.fences if channel not in refused]
        for channel in extended:
            self.yes.setdefault(channel, set()).add(keeper)
        return extended

    def enough(self, channel: str, sets: Sequence[KeeperSet]) -> bool:
        return decided(sets, self.yes.get(channel, ()))


@dataclass(slots=True)
class Parting:
    """A release, said again until all keepers heard it or the leases have lapsed anyway."""

    items: tuple[Item, ...]
    to: str
    ends_at: float
    again_at: float
    unheard: list[str]


def cut(items: Sequence[Item]) -> list[tuple[Item, ...]]:
    """As many at once as a message may carry."""
    return [tuple(items[at : at + ITEMS]) for at in range(0, len(items), ITEMS)]
