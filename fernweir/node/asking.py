"""When a node asks its control feed: one opening or one pause at a time, decided here alone. No I/O.

Each opening has a number, and only the newest counts. What a connection says of itself, in whatever order
and however late, is measured by that number, so an opening is over exactly once. `now` comes in, in seconds.
"""

from __future__ import annotations

from enum import Enum, auto
from random import Random

CONNECT_S = 1.0
SILENCE_S = 1.8  # the feed says its last number each second (PROTOCOL, The control feed)
STEADY_S = 1.0  # a connection that is still of use after this long was no failure
PAUSE_S, LONGEST_PAUSE_S = 0.05, 0.8  # each drawn from half of it to half as much again


class At(Enum):
    NOTHING = auto()  # before the start, and after the stop
    CONNECTING = auto()
    UP = auto()
    PAUSE = auto()


class Asking:
    """What is being done to hear the feed. `due` is when `late` has to be asked, if nothing comes before."""

    def __init__(self, seed: int) -> None:
        self.at, self.opening = At.NOTHING, 0
        self.due: float | None = None
        self._dice = Random(seed)
        self._tries = 0  # openings in a row that were of no use
        self._up_since = 0.0
        self._stopped = False

    def open(self, now: float) -> int | None:
        """The number of a new opening, which takes the place of any other. None after the stop."""
        if self._stopped:
            return None
        self.opening += 1
        self.at, self.due = At.CONNECTING, now + CONNECT_S
        return self.opening

    def up(self, opening: int, now: float) -> bool:
        """The connection is made. False: its opening was left, so it must ask nothing and close."""
        if opening != self.opening or self.at is not At.CONNECTING:
            return False
        self.at, self.due, self._up_since = At.UP, now + SILENCE_S, now
        return True

    def counts(self, opening: int) -> bool:
        """Whether what is said on the connection of this opening is heard."""
        return opening == self.opening and self.at is At.UP

    def heard(self, now: float, told: bool) -> None:
        """The feed is alive; `told` if an event was taken from it.

        The last number alone comes from a feed whose next event is of no use, too: it doesn't shorten the
        pause before the connection has stood for a while.
        """
        self.due = now + SILENCE_S
        if told or now - self._up_since >= STEADY_S:
            self._tries = 0

    def over(self, opening: int, now: float) -> bool:
        """An opening came to its end, for whatever reason. False: it was over, or left, before."""
        if opening != self.opening or self.at not in (At.CONNECTING, At.UP):
            return False
        pause = min(PAUSE_S * 2.0**self._tries, LONGEST_PAUSE_S) * (0.5 + self._dice.random())
        self._tries = min(self._tries + 1, 16)  # far beyond the longest pause
        self.at, self.due = At.PAUSE, now + pause
        return True

    def late(self) -> str | None:
        """Why the opening whose time is up is no good; None if it is a pause that is over: time to ask."""
        return {At.CONNECTING: "no connection in time", At.UP: "silent"}.get(self.at)

    def moved(self) -> bool:
        """The feed is elsewhere. False if it isn't to be asked now: before the start, after the stop."""
        self._tries = 0
        return self.at is not At.NOTHING

    def stop(self) -> None:
        self.at, self.due, self._stopped = At.NOTHING, None, True
