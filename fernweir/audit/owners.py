"""Who owns a channel, judged by what boxes accepted: three rules beside the six.

A channel's owner is whoever a box lets claim it, steer its sessions or set one up in it, under a fence.
Fences are those of the traces; nothing is known here of how fronts agree on them. Times are ms.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from fernweir.audit.records import (
    AnyRecord,
    BoxClaim,
    BoxSetup,
    BoxStart,
    BoxSteer,
    BoxStop,
    FleetBack,
    FleetShutOut,
    Terms,
)
from fernweir.audit.rules import SKEW_MS, Rule


@dataclass(frozen=True, slots=True)
class Accepted:
    """One act of a front that a box let pass."""

    t: float
    box: int
    channel: str
    front: str
    fence: int


def accepted(record: AnyRecord) -> Accepted | None:
    """What a record says was accepted in a channel, if it says so."""
    if isinstance(record, BoxClaim) and record.accepted:
        return Accepted(record.t, record.box, record.channel, record.front, record.fence)
    if isinstance(record, BoxSteer) and record.accepted:
        return Accepted(record.t, record.box, record.channel, record.by, record.fence)
    if isinstance(record, BoxSetup) and record.channel:
        return Accepted(record.t, record.box, record.channel, record.front, record.fence)
    return None


class OneOwner(Rule):
    """Rule 7. A channel has one owner; an old one may act beside its follower for the overlap's bound."""

    name, title = "7", "one owner a channel, two within the bound"

    def __init__(self, terms: Terms) -> None:
        super().__init__(terms)
        self._slack = SKEW_MS + terms.way_ms
        self._first: dict[str, dict[int, Accepted]] = defaultdict(dict)
        self._last: dict[str, dict[str, float]] = defaultdict(dict)
        self.longest_overlap_ms = 0.0
        self.changes = 0

    def take(self, line: int, record: AnyRecord) -> None:
        act = accepted(record)
        if act is None:
            return
        self.checked += 1
        fences = self._first[act.channel]
        first = fences.setdefault(act.fence, act)
        if first is act and any(other.front != act.front for other in fences.values()):
            self.changes += 1
        if first.front != act.front:
            text = f"{act.front} and {first.front} both act in {act.channel} under fence {act.fence}"
            self.broken(line, act.t, text)
        followers = [
            other for fence, other in fences.items() if fence > act.fence and other.front != act.front
        ]
        self._last[act.channel][act.front] = act.t
        if not followers:
            return
        since = min(followers, key=lambda other: other.t)
        over = act.t - since.t
        self.longest_overlap_ms = max(self.longest_overlap_ms, over)
        if over > self.terms.overlap_ms + self._slack:
            text = f"box {act.box} took an act of {act.front} (fence {act.fence}) in {act.channel}, "
            text += f"{over:.0f} ms after {since.front} (fence {since.fence}) became its owner"
            self.broken(line, act.t, text)
        newest = fences[max(fences)]
        beside = [
            front
            for front, at in self._last[act.channel].items()
            if front not in (act.front, newest.front) and at > newest.t + self._slack
        ]
        if beside and act.t > newest.t + self._slack:
            text = f"{act.channel} has a third owner: {act.front} beside {beside[0]} and {newest.front}"
            self.broken(line, act.t, text)


@dataclass(slots=True)
class _AtBox:
    """What one life of a box accepted of a channel: the highest fence, when each came, and whose it is."""

    highest: int = -1
    front: str = ""
    since: dict[int, float] = field(default_factory=dict)


class FencesGrow(Rule):
    """Rule 8. Over all boxes a new fence is higher than those before, and each box keeps to the highest."""

    name, title = "8", "fences grow, and boxes keep to them"

    def __init__(self, terms: Terms) -> None:
        super().__init__(terms)
        self._slack = terms.overlap_ms + SKEW_MS + terms.way_ms
        self._seen: dict[str, dict[int, float]] = defaultdict(dict)
        self._boxes: dict[int, dict[str, _AtBox]] = defaultdict(lambda: defaultdict(_AtBox))

    def take(self, line: int, record: AnyRecord) -> None:
        if isinstance(record, BoxStart | BoxStop):
            self._boxes.pop(record.box, None)
            return
        if isinstance(record, BoxClaim):
            self._answer(line, record)
        act = accepted(record)
        if act is not None:
            self.checked += 1
            self._order(line, act)
            self._at_box(line, act)

    def _order(self, line: int, act: Accepted) -> None:
        seen = self._seen[act.channel]
        if act.fence in seen:
            return
        higher = [(at, fence) for fence, at in seen.items() if fence > act.fence]
        seen[act.fence] = act.t
        if higher and act.t - min(higher)[0] > self._slack:
            text = f"fence {act.fence} of {act.channel} is new {act.t - min(higher)[0]:.0f} ms after "
            self.broken(line, act.t, text + f"fence {min(higher)[1]}")

    def _at_box(self, line: int, act: Accepted) -> None:
        known = self._boxes[act.box][act.channel]
        overtaken = [at for fence, at in known.since.items() if fence > act.fence]
        if overtaken and act.t - min(overtaken) > self._slack:
            text = f"box {act.box} took fence {act.fence} of {act.channel}, overtaken "
            self.broken(line, act.t, text + f"{act.t - min(overtaken):.0f} ms before")
        known.since.setdefault(act.fence, act.t)
        if act.fence > known.highest:
            known.highest, known.front = act.fence, act.front

    def _answer(self, line: int, claim: BoxClaim) -> None:
        """A claim is refused for a higher fence, or for another's equal one, and for nothing else."""
        known = self._boxes[claim.box][claim.channel]
        where = f"box {claim.box} at a claim of {claim.channel} under fence {claim.fence}"
        most = max(known.highest, claim.fence if claim.accepted else known.highest)
        if claim.highest < most:
            self.broken(line, claim.t, f"{where}: says {claim.highest}, accepted {most} before")
        if claim.accepted and claim.fence < known.highest:
            self.broken(line, claim.t, f"{where}: accepted, though it took {known.highest} before")
        own = claim.fence == known.highest and claim.front == known.front
        if not claim.accepted and (claim.fence > claim.highest or own):
            self.broken(line, claim.t, f"{where}: refused, though {claim.highest} is its highest")


class ShutOutKept(Rule):
    """Rule 9. From its bound on, boxes take nothing of a front that is shut out."""

    name, title = "9", "nothing of a shut-out front past its bound"

    def __init__(self, terms: Terms) -> None:
        super().__init__(terms)
        self._until: dict[str, tuple[float, float]] = {}

    def take(self, line: int, record: AnyRecord) -> None:
        if isinstance(record, FleetShutOut):
            self._until.setdefault(record.front, (record.t, record.t + record.bound_ms))
        elif isinstance(record, FleetBack):
            self._until.pop(record.front, None)
        act = accepted(record)
        if act is None or act.front not in self._until:
            return
        self.checked += 1
        since, until = self._until[act.front]
        if act.t > until + SKEW_MS + self.terms.way_ms:
            text = f"box {act.box} took an act of {act.front} in {act.channel}, shut out "
            self.broken(line, act.t, text + f"{act.t - since:.0f} ms before")


OWNER_RULES: tuple[type[Rule], ...] = (OneOwner, FencesGrow, ShutOutKept)
