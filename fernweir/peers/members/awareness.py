"""A front that doubts itself when it is slow (local health multiplier; Dadgar, Phillips, Currey 2018)."""

from __future__ import annotations


class Awareness:
    """A score from 0, sound, to `most`; the times of probes are stretched by `factor`."""

    __slots__ = ("_most", "score")

    def __init__(self, most: int) -> None:
        self._most = most
        self.score = 0

    @property
    def factor(self) -> float:
        return 1.0 + self.score

    def worse(self, by: int) -> None:
        """Signs of own slowness: answers of helpers that did not come, a suspicion refuted, a late timer."""
        self.score = min(self.score + by, self._most)

    def better(self) -> None:
        """A probe was answered in time."""
        self.score = max(self.score - 1, 0)
