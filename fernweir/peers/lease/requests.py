"""Requests that carry many channels at once and are identified by a number: renewals and releases."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from fernweir.peers.lease.messages import MAX_ITEMS, Item, Refusal
from fernweir.peers.lease.rules import KeeperSet, has_majority


@dataclass(slots=True)
class Renewal:
    """One request to all keepers. `asked_at` is when it was first sent; a repetition does not change it."""

    asked_at: float
    resend_at: float
    fences: dict[str, int]
    unanswered: list[str]
    extended_by: dict[str, set[str]] = field(default_factory=dict)

    def items(self) -> tuple[Item, ...]:
        return tuple(Item(channel, 0, fence) for channel, fence in self.fences.items())

    def on_extended(self, keeper: str, refusals: Iterable[Refusal]) -> list[str]:
        """Returns the channels that this keeper extended; none if it answered before or was not asked."""
        if keeper not in self.unanswered:
            return []
        self.unanswered.remove(keeper)
        refused = {refusal.channel for refusal in refusals}
        extended = [channel for channel in self.fences if channel not in refused]
        for channel in extended:
            self.extended_by.setdefault(channel, set()).add(keeper)
        return extended

    def is_confirmed(self, channel: str, sets: Sequence[KeeperSet]) -> bool:
        return has_majority(sets, self.extended_by.get(channel, ()))


@dataclass(slots=True)
class PendingRelease:
    """A release, sent until all keepers have confirmed it or the leases have expired."""

    items: tuple[Item, ...]
    to: str
    ends_at: float
    resend_at: float
    unanswered: list[str]


def batches(items: Sequence[Item]) -> list[tuple[Item, ...]]:
    """Splits items into batches of the size that a message may carry."""
    return [tuple(items[start : start + MAX_ITEMS]) for start in range(0, len(items), MAX_ITEMS)]
