"""When the news is suspect rather than the fronts: many late at once, or news that only few have."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from fernweir.peers.base import Outbox
from fernweir.peers.late.events import UpdateSuspect
from fernweir.peers.late.lag_detection import Judged
from fernweir.peers.late.messages import Kind
from fernweir.peers.late.rules import LateRules


class Suspects:
    """`why`: for which kinds nobody is shut out now, and the reason; `wait`: for which nobody else is.

    News that few have makes nobody late, so it is said after `few_ms` and stops nothing.
    """

    def __init__(self, rules: LateRules, out: Outbox) -> None:
        self._rules, self._out = rules, out
        self.why: dict[Kind, str] = {}
        self.wait: frozenset[Kind] = frozenset()
        self._until: dict[Kind, float] = {}
        self._few_at: dict[Kind, float] = {}
        self._said: dict[Kind, str] = {}

    def look(
        self, now: float, late: Mapping[Kind, int], behind: Mapping[Kind, int], most: int, fronts: int,
        judged: Mapping[Kind, Judged], settings: Sequence[tuple[bytes, bytes]],
    ) -> None:  # fmt: skip
        """How many are `late`, or `behind` and may soon be, by kind; `settings`: each's epoch and digest."""
        self.wait = frozenset(kind for kind in Kind if behind[kind] > most)
        for kind in Kind:
            if late[kind] > most:
                self._until[kind] = now + self._rules.suspect_ms
                self.why.setdefault(kind, f"{late[kind]} of {fronts} fronts are late")
            elif kind in self.why and kind in self.wait:
                self._until[kind] = now + self._rules.suspect_ms
            elif kind in self.why and now >= self._until[kind]:
                del self.why[kind], self._until[kind]
            few = judged[kind].few
            if kind is Kind.SETTINGS and not few:
                contents = {digest for epoch, digest in settings if epoch == judged[kind].target}
                few = f"{len(contents)} contents under one epoch" if len(contents) > 1 else ""
            if few:
                self._few_at.setdefault(kind, now)
            else:
                self._few_at.pop(kind, None)
            long = few and now >= self._few_at[kind] + self._rules.few_ms
            self._say(kind, self.why.get(kind) or (few if long else ""))

    def busy(self) -> bool:
        return bool(self.why or self._few_at or self._said)

    def _say(self, kind: Kind, why: str) -> None:
        """A reason that stands is not said again in other words."""
        if bool(why) != (kind in self._said):
            self._out.add(UpdateSuspect(kind, why))
        if why:
            self._said.setdefault(kind, why)
        else:
            self._said.pop(kind, None)
