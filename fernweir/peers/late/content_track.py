"""What one front holds of one kind: by its word, and by its acts where they prove its word wrong.

All times are the observer's own, ms: when something was heard, or is proved to have been done at the latest.
"""

from __future__ import annotations

from dataclasses import dataclass, field

LEFT_MOST = 16
WITNESSES_MOST = 8
_LONG_AGO = float("-inf")


@dataclass(slots=True)
class Mark:
    """What one witness saw the front act on, since and until when; `proves` that the word is wrong."""

    content: bytes
    first: float
    last: float
    proves: bool = False


@dataclass(frozen=True, slots=True)
class View:
    """What a front is taken to hold, and since when.

    `moved`: it was seen to come to it, and `since` is when. `left`: contents that it held before.
    """

    name: str
    content: bytes
    since: float
    moved: bool
    left: tuple[bytes, ...]


@dataclass(slots=True)
class Track:
    word: bytes
    since: float
    moved: bool = False
    left: list[tuple[bytes, float]] = field(default_factory=list)
    marks: dict[str, Mark] = field(default_factory=dict)

    def said(self, now: float, content: bytes) -> bool:
        """The front says that this is what it holds. Whether that is new."""
        if content == self.word:
            return False
        self.left = [*self.left, (self.word, now)][-LEFT_MOST:]
        self.word, self.since, self.moved = content, now, True
        return True

    def acted(self, now: float, witness: str, content: bytes, at: float, lag_ms: float) -> bool:
        """An act that rested on this content, not before `at`. Whether it proves the word wrong.

        A word may be heard before the last acts under the former one, and after the first under the new one:
        only what lies further apart than `lag_ms` proves something. What it never said here it may have
        gone past unheard, so that then only fresh acts do.
        """
        mark = self.marks.get(witness)
        if mark is not None and mark.content != content and (not mark.proves or at > mark.last + lag_ms):
            # Other acts for so long: it does not go on with what was proved.
            mark = None
            del self.marks[witness]
        if content == self.word:
            return False
        left_at = next((when for held, when in reversed(self.left) if held == content), None)
        proves = left_at is not None and at > left_at + lag_ms
        if mark is None or (proves and mark.content != content):
            self._room(witness)
            mark = self.marks[witness] = Mark(content, at, at, proves)
        if mark.content != content:
            return False
        mark.last = max(mark.last, at)
        mark.proves = mark.proves or proves or (left_at is None and now - lag_ms <= at > mark.first + lag_ms)
        return mark.proves

    def believed(self, now: float, me: str, keep_ms: float) -> bytes:
        """What it is taken to hold: by acts seen here, or by two witnesses at least; else by its word."""
        proofs = {who: mark for who, mark in self.marks.items() if mark.proves and mark.last >= now - keep_ms}
        if me in proofs:
            return proofs[me].content
        seen: dict[bytes, int] = {}
        for mark in proofs.values():
            seen[mark.content] = seen.get(mark.content, 0) + 1
        best = max(seen, key=lambda content: (seen[content], content), default=b"")
        return best if seen.get(best, 0) >= 2 else self.word

    def view(self, now: float, name: str, me: str, keep_ms: float) -> View:
        content = self.believed(now, me, keep_ms)
        left = tuple(held for held, _ in self.left if held != content)
        if content == self.word:
            return View(name, content, self.since, self.moved, left)
        return View(name, content, _LONG_AGO, False, left)

    @property
    def disproved(self) -> bool:
        """Whether acts contradict its word, whatever witnesses that takes."""
        return any(mark.proves for mark in self.marks.values())

    def forget(self, now: float, keep_ms: float) -> None:
        """Marks that prove nothing any more go."""
        self.marks = {who: mark for who, mark in self.marks.items() if mark.last >= now - keep_ms}

    def _room(self, witness: str) -> None:
        if witness not in self.marks and len(self.marks) >= WITNESSES_MOST:
            del self.marks[min(self.marks, key=lambda who: (self.marks[who].last, who))]
