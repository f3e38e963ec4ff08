"""Owners that changed lately here: named in rounds until the news has had time to go round.

A list of recent updates that is told before anything is compared (Demers et al. 1987). How often an owner is
named grows with the logarithm of the fleet; what stays unknown after that is found by repair.
"""

from __future__ import annotations

from math import ceil, log2


class Hot:
    __slots__ = ("_left",)

    def __init__(self) -> None:
        self._left: dict[str, int] = {}

    def __bool__(self) -> bool:
        return bool(self._left)

    def changed(self, owner: str, peers: int) -> None:
        self._left[owner] = ceil(log2(peers + 2)) + 1

    def forget(self, owner: str) -> None:
        self._left.pop(owner, None)

    def heard(self, owner: str) -> None:
        """Somebody else named what is known here: it has gone that far, and is named once less."""
        if owner in self._left:
            self._count(owner)

    def name(self, most: int) -> list[str]:
        """Those that were named least, and counts that they are named."""
        found = sorted(self._left, key=lambda owner: (-self._left[owner], owner))[:most]
        for owner in found:
            self._count(owner)
        return found

    def _count(self, owner: str) -> None:
        self._left[owner] -= 1
        if self._left[owner] <= 0:
            del self._left[owner]
