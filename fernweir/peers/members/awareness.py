"""The local health multiplier of Lifeguard (Dadgar, Phillips, Currey 2018)."""

from __future__ import annotations


class Awareness:
    """A score from 0, healthy, to `max_score`; `factor` multiplies the times of probes."""

    __slots__ = ("_max_score", "score")

    def __init__(self, max_score: int) -> None:
        self._max_score = max_score
        self.score = 0

    @property
    def factor(self) -> float:
        return 1.0 + self.score

    def increase(self, amount: int) -> None:
        """Records signs of slowness: missing answers of helpers, a refuted suspicion, or a late timer."""
        self.score = min(self.score + amount, self._max_score)

    def decrease(self) -> None:
        """Records a probe that was answered in time."""
        self.score = max(self.score - 1, 0)
