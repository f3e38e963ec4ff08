"""Where one connection of this node's own making stands: the one record of it, asked by all. No I/O."""

from __future__ import annotations

from enum import IntEnum


class At(IntEnum):
    CONNECTING = 0
    UP = 1
    RETIRED = 2  # serves what is on it, takes nothing new
    CLOSING = 3  # this side has ended: what the other has under way is still read
    OVER = 4


class Course:
    """Goes onward only, so that each step is taken once, whoever comes first."""

    def __init__(self) -> None:
        self.at = At.CONNECTING

    @property
    def connecting(self) -> bool:
        return self.at is At.CONNECTING

    @property
    def carries(self) -> bool:
        """Whether anything may be written."""
        return self.at in (At.UP, At.RETIRED)

    @property
    def takes(self) -> bool:
        """Whether something new may begin on it."""
        return self.at is At.UP

    def came_up(self) -> bool:
        """False if it was given up before: then it is let go, and nothing is written."""
        if self.at is not At.CONNECTING:
            return False
        self.at = At.UP
        return True

    def retire(self) -> None:
        if self.at is At.UP:
            self.at = At.RETIRED

    def close(self) -> bool:
        if not self.carries:
            return False
        self.at = At.CLOSING
        return True

    def end(self) -> bool:
        """False if its end was known already."""
        known, self.at = self.at is At.OVER, At.OVER
        return not known
