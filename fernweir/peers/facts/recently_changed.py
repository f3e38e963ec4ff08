"""The owners whose facts changed recently at this front, which it announces in several rounds.

Recent updates are announced before anything is compared (Demers et al. 1987). The number of announcements of
an owner grows with the logarithm of the fleet; a repair finds what is still unknown after that.
"""

from __future__ import annotations

from math import ceil, log2


class RecentlyChanged:
    """Counts how often each changed owner is still to be announced."""

    __slots__ = ("_left",)

    def __init__(self) -> None:
        self._left: dict[str, int] = {}

    def __bool__(self) -> bool:
        return bool(self._left)

    def on_changed(self, owner: str, peer_count: int) -> None:
        """Starts the announcements of an owner again."""
        self._left[owner] = ceil(log2(peer_count + 2)) + 1

    def forget(self, owner: str) -> None:
        """Ends the announcements of an owner."""
        self._left.pop(owner, None)

    def on_announced(self, owner: str) -> None:
        """Reduces the announcements by one, as a peer announced the same state that is known here."""
        if owner in self._left:
            self._decrement(owner)

    def next_owners(self, limit: int) -> list[str]:
        """Returns the owners that were announced least, and counts them as announced."""
        owners = sorted(self._left, key=lambda owner: (-self._left[owner], owner))[:limit]
        for owner in owners:
            self._decrement(owner)
        return owners

    def _decrement(self, owner: str) -> None:
        self._left[owner] -= 1
        if self._left[owner] <= 0:
            del self._left[owner]
