"""Detects updates that are suspect: many fronts are stale at once, or only few fronts have the update."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from fernweir.peers.base import Outbox
from fernweir.peers.late.events import UpdateSuspect
from fernweir.peers.late.lag_detection import Judged
from fernweir.peers.late.messages import Kind
from fernweir.peers.late.rules import LateRules


class Suspects:
    """The suspect kinds.

    `reasons`: those for which nobody is shut out now, and why; `paused`: those for which no vote begins.

    An update that only few fronts have makes no front stale, so it is reported after `minority_ms` and
    pauses nothing.
    """

    def __init__(self, rules: LateRules, out: Outbox) -> None:
        self._rules, self._out = rules, out
        self.reasons: dict[Kind, str] = {}
        self.paused: frozenset[Kind] = frozenset()
        self._until: dict[Kind, float] = {}
        self._minority_at: dict[Kind, float] = {}
        self._reported: dict[Kind, str] = {}

    def update(
        self, now: float, stale: Mapping[Kind, int], behind: Mapping[Kind, int], most: int, fronts: int,
        judged: Mapping[Kind, Judged], settings: Sequence[tuple[bytes, bytes]],
    ) -> None:  # fmt: skip
        """Updates the kinds that are suspect.

        `stale` and `behind` are the numbers of fronts that are stale, and that are or may soon be;
        `settings` has the epoch and digest of each front.
        """
        self.paused = frozenset(kind for kind in Kind if behind[kind] > most)
        for kind in Kind:
            if stale[kind] > most:
                self._until[kind] = now + self._rules.suspect_ms
                self.reasons.setdefault(kind, f"{stale[kind]} of {fronts} fronts are late")
            elif kind in self.reasons and kind in self.paused:
                self._until[kind] = now + self._rules.suspect_ms
            elif kind in self.reasons and now >= self._until[kind]:
                del self.reasons[kind], self._until[kind]
            minority = judged[kind].minority
            if kind is Kind.SETTINGS and not minority:
                contents = {digest for epoch, digest in settings if epoch == judged[kind].target}
                minority = f"{len(contents)} contents under one epoch" if len(contents) > 1 else ""
            if minority:
                self._minority_at.setdefault(kind, now)
            else:
                self._minority_at.pop(kind, None)
            long = minority and now >= self._minority_at[kind] + self._rules.minority_ms
            self._report(kind, self.reasons.get(kind) or (minority if long else ""))

    def is_busy(self) -> bool:
        """Whether anything is or may become suspect."""
        return bool(self.reasons or self._minority_at or self._reported)

    def _report(self, kind: Kind, reason: str) -> None:
        """Reports when a reason begins or ends; a change of its text is not reported."""
        if bool(reason) != (kind in self._reported):
            self._out.add(UpdateSuspect(kind, reason))
        if reason:
            self._reported.setdefault(kind, reason)
        else:
            self._reported.pop(kind, None)
