"""The content of one kind that a front has: by its facts, or by its actions if these prove the facts wrong.

All times are by the observer's clock, in ms: when something was received, or the latest time at which it can
have been done.
"""

from __future__ import annotations

from dataclasses import dataclass, field

_MAX_LEFT = 16
_MAX_WITNESSES = 8
_LONG_AGO = float("-inf")


@dataclass(slots=True)
class Evidence:
    """The content that one witness saw the front act on, first and last.

    `proves`: the front's facts are wrong.
    """

    content: bytes
    first: float
    last: float
    proves: bool = False


@dataclass(frozen=True, slots=True)
class View:
    """The content that a front is considered to have, and since when.

    `moved`: its change to this content was observed, at `since`. `left`: contents that it had before.
    """

    name: str
    content: bytes
    since: float
    moved: bool
    left: tuple[bytes, ...]


@dataclass(slots=True)
class Track:
    """The observations of one front and kind. `published` is the content according to the front's facts."""

    published: bytes
    since: float
    moved: bool = False
    left: list[tuple[bytes, float]] = field(default_factory=list)
    evidence: dict[str, Evidence] = field(default_factory=dict)

    def on_content(self, now: float, content: bytes) -> bool:
        """Handles the content in the front's facts; returns whether it is new."""
        if content == self.published:
            return False
        self.left = [*self.left, (self.published, now)][-_MAX_LEFT:]
        self.published, self.since, self.moved = content, now, True
        return True

    def on_evidence(self, now: float, witness: str, content: bytes, at: float, lag_ms: float) -> bool:
        """Handles an action with this content, not before `at`; returns whether it disproves the facts.

        A fact may arrive before the last actions under the earlier content, and after the first under the
        new one: only what is further apart than `lag_ms` is a proof. The fact of a content that was never
        received may have been lost, so that only recent actions prove something then.
        """
        evidence = self.evidence.get(witness)
        if (
            evidence is not None
            and evidence.content != content
            and (not evidence.proves or at > evidence.last + lag_ms)
        ):
            # Other actions for that long: the front no longer acts on the proved content.
            evidence = None
            del self.evidence[witness]
        if content == self.published:
            return False
        left_at = next((when for held, when in reversed(self.left) if held == content), None)
        proves = left_at is not None and at > left_at + lag_ms
        if evidence is None or (proves and evidence.content != content):
            self._make_room(witness)
            evidence = self.evidence[witness] = Evidence(content, at, at, proves)
        if evidence.content != content:
            return False
        evidence.last = max(evidence.last, at)
        evidence.proves = (
            evidence.proves or proves or (left_at is None and now - lag_ms <= at > evidence.first + lag_ms)
        )
        return evidence.proves

    def effective_content(self, now: float, me: str, keep_ms: float) -> bytes:
        """Returns the content by actions that this front or at least two witnesses saw; else by the facts."""
        proofs = {
            who: evidence
            for who, evidence in self.evidence.items()
            if evidence.proves and evidence.last >= now - keep_ms
        }
        if me in proofs:
            return proofs[me].content
        seen: dict[bytes, int] = {}
        for evidence in proofs.values():
            seen[evidence.content] = seen.get(evidence.content, 0) + 1
        best = max(seen, key=lambda content: (seen[content], content), default=b"")
        return best if seen.get(best, 0) >= 2 else self.published

    def view(self, now: float, name: str, me: str, keep_ms: float) -> View:
        """Returns the content that the front is considered to have."""
        content = self.effective_content(now, me, keep_ms)
        left = tuple(held for held, _ in self.left if held != content)
        if content == self.published:
            return View(name, content, self.since, self.moved, left)
        return View(name, content, _LONG_AGO, False, left)

    @property
    def is_disproved(self) -> bool:
        """Whether actions contradict the facts, for any number of witnesses."""
        return any(evidence.proves for evidence in self.evidence.values())

    def remove_expired(self, now: float, keep_ms: float) -> None:
        """Removes evidence that proves nothing any more."""
        self.evidence = {
            who: evidence for who, evidence in self.evidence.items() if evidence.last >= now - keep_ms
        }

    def _make_room(self, witness: str) -> None:
        if witness not in self.evidence and len(self.evidence) >= _MAX_WITNESSES:
            del self.evidence[min(self.evidence, key=lambda who: (self.evidence[who].last, who))]
