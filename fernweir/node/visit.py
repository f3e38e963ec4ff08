"""One viewer's connection: how far it is, and which of its last words may not have been heard. No I/O.

All callbacks of a connection ask this one record. A viewer's side and the node's side end one after the
other, and between the two what is open is still answered. That a word was written says little: the kernel may
hold a part of it, or its viewer may have closed before it came, which only the break that follows tells.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

# A break tells within a journey or two whether the last words met a closed end.
DOUBT_MS = 1_000.0


class Side(Enum):
    NEW = "new"  # accepted, its transport isn't made
    OPEN = "open"
    ENDING = "ending"  # the node takes nothing new on it, and closes once what is open is answered
    LEFT = "left"  # its viewer ended its side; what is open is answered
    PARTED = "parted"  # both have ended their sides; whether the last words were heard is still to come
    CLOSING = "closing"  # nothing is read or said any more, what was written goes out
    OVER = "over"


@dataclass(slots=True)
class Word:
    """An answer that a session stands, or the end of one, as it was written."""

    at: float
    end: bytes | None  # an end may be said again elsewhere; an answer whose viewer is gone can't
    out: bool  # whether the kernel has all of it


class Visit:
    def __init__(self) -> None:
        self.side = Side.NEW
        self.requests: set[str] = set()  # set-ups without an answer
        self.sessions: set[str] = set()  # that stand, and came here
        self._words: dict[str, Word] = {}

    # --- how far it is ---

    @property
    def takes(self) -> bool:
        """Whether set-ups are taken."""
        return self.side is Side.OPEN

    @property
    def hears(self) -> bool:
        """Whether its lines are read: until the node's close a viewer may take back what it asked."""
        return self.side in (Side.OPEN, Side.ENDING)

    @property
    def says(self) -> bool:
        """Whether answers are written."""
        return self.side in (Side.OPEN, Side.ENDING, Side.LEFT)

    @property
    def spent(self) -> bool:
        """Whether it is to be closed now."""
        return self.side in (Side.ENDING, Side.LEFT) and not self.requests

    def made(self) -> bool:
        """Its transport is there. False if it was let go before."""
        if self.side is Side.NEW:
            self.side = Side.OPEN
        return self.side is Side.OPEN

    def end(self) -> None:
        """The node takes nothing new here."""
        if self.side is Side.OPEN:
            self.side = Side.ENDING

    def leave(self) -> bool:
        """Its viewer ended its side. False if that is known, or nothing is open any more."""
        if not self.hears:
            return False
        self.side = Side.LEFT
        return True

    def close(self, now: float) -> bool:
        """The node ends its side. Whether word of its last answers is worth waiting for."""
        parted = self.side is Side.LEFT and self.doubtful(now)
        self.side = Side.PARTED if parted else Side.CLOSING
        return parted

    def over(self, now: float, broke: bool) -> dict[str, Word] | None:
        """It is over: what was not heard, or None if that was told before.

        What the kernel had not taken was not heard, that is sure. A viewer that had ended its side before a
        break had closed: it had not read what came last. One whose connection breaks for another reason may
        have read it; what stands belongs to no connection.
        """
        if self.side is Side.OVER:
            return None
        denied = broke and self.side in (Side.LEFT, Side.PARTED)
        self.side = Side.OVER
        lost = {
            id: one for id, one in self._words.items() if not one.out or (denied and self._fresh(one, now))
        }
        self._words.clear()
        return lost

    # --- what was said last ---

    def said(self, id: str, now: float, end: bytes | None, out: bool) -> None:
        for old in [one for one, word in self._words.items() if word.out and not self._fresh(word, now)]:
            del self._words[old]
        self._words.pop(id, None)
        self._words[id] = Word(now, end, out)

    def flushed(self, now: float) -> None:
        """The kernel has taken all that was written."""
        for word in self._words.values():
            if not word.out:
                word.at, word.out = now, True

    def forget(self, id: str) -> None:
        """A session is over: whether its answer was heard matters no more."""
        self._words.pop(id, None)

    def doubtful(self, now: float) -> bool:
        return any(not one.out or self._fresh(one, now) for one in self._words.values())

    def _fresh(self, word: Word, now: float) -> bool:
        return now - word.at < DOUBT_MS
