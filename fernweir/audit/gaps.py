"""What the loss of a front costs its sessions: for how long nobody owned them, and which ended by it.

Not a rule but figures, from boxes' traces and from what was done to fronts. A session is without an owner
from when its front is lost, or stands still, until a box accepts a claim or an act of another front for it.
Times are ms.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from enum import StrEnum

from fernweir.audit.owners import Accepted, accepted
from fernweir.audit.records import (
    AnyRecord,
    BoxEnd,
    BoxRuns,
    BoxSegment,
    BoxSetup,
    BoxSteer,
    BoxStop,
    FrontCont,
    FrontDown,
    FrontStop,
    FrontTerm,
)

_Key = tuple[str, int, int]  # session, attempt, box


class Loss(StrEnum):
    """How a front was lost to its sessions."""

    KILLED = "killed"
    STOPPED = "stopped"  # it stands still, and may wake
    PLANNED = "planned"  # told to stop, it hands over first


@dataclass(slots=True)
class Cost:
    """Of all sessions that stood at fronts lost in one way."""

    sessions: int = 0
    gaps: list[float] = field(default_factory=list)
    ended: int = 0  # for want of an owner
    unowned: int = 0  # of those: set up in no channel, as while there was no lease
    given_up: int = 0  # released by the heir, with no other attempt of theirs running
    own_end: int = 0  # their viewer left, or their box died, before an heir came
    woke: int = 0  # their front went on before an heir came
    left: int = 0  # without an owner when the trace ended

    def gap(self, share: float) -> float:
        """The gap that this share of the inherited sessions stayed within; 0 if there are none."""
        ordered = sorted(self.gaps)
        return ordered[min(int(share * len(ordered)), len(ordered) - 1)] if ordered else 0.0


@dataclass(slots=True)
class _Standing:
    channel: str
    owner: str
    fence: int
    lost_at: float | None = None  # None while it isn't; of a planned stop the moment of its end
    loss: Loss | None = None
    inherited: Loss | None = None


class Gaps:
    """Takes records in the order of time, as rules do."""

    def __init__(self) -> None:
        self.costs: dict[Loss, Cost] = {loss: Cost() for loss in Loss}
        self.anew = 0  # set up by one front while it ran under another
        self.broke_off: Counter[str] = Counter()  # by why they ended, of those whose viewer went on asking
        self._standing: dict[_Key, _Standing] = {}
        self._by_place: dict[tuple[int, str], set[_Key]] = defaultdict(set)
        self._ended: dict[_Key, str] = {}

    def take(self, record: AnyRecord) -> None:
        if isinstance(record, BoxSetup):
            self._set_up(record)
        act = accepted(record)
        if act is not None:
            self._act(record, act)
        if isinstance(record, BoxRuns):
            self._runs(record)
        elif isinstance(record, BoxEnd):
            self._end((record.session, record.attempt, record.box), record.why)
        elif isinstance(record, BoxSegment):
            why = self._ended.pop((record.session, record.attempt, record.box), "")
            self.broke_off.update([why] if why and record.status == 404 else [])
        elif isinstance(record, BoxStop):
            for key in [key for key in self._standing if key[2] == record.box]:
                self._end(key, "died")
        elif isinstance(record, FrontDown):
            self._down(record)
        elif isinstance(record, FrontTerm):
            self._lose(record.front, Loss.PLANNED, None)
        elif isinstance(record, FrontStop):
            self._lose(record.front, Loss.STOPPED, record.t)
        elif isinstance(record, FrontCont):
            for one in self._standing.values():
                if one.owner == record.front and one.loss is Loss.STOPPED:
                    self.costs[Loss.STOPPED].woke += 1
                    one.loss = one.lost_at = None

    def finish(self) -> None:
        for one in self._standing.values():
            if one.loss is not None:
                self.costs[one.loss].left += 1

    def _set_up(self, record: BoxSetup) -> None:
        owners = {one.owner for key, one in self._standing.items() if key[0] == record.session}
        self.anew += bool(owners) and record.front not in owners

    def _runs(self, record: BoxRuns) -> None:
        key = (record.session, record.attempt, record.box)
        if key in self._standing:  # set up once more where it runs, perhaps by another front
            self._by_place[record.box, self._standing[key].channel].discard(key)
        self._standing[key] = _Standing(record.channel, record.front, record.fence)
        if record.channel:
            self._by_place[record.box, record.channel].add(key)

    def _act(self, record: AnyRecord, act: Accepted) -> None:
        """A claim is for all of the channel at that box, anything else for the session it names.

        What an old owner still does in the overlap does not make it the owner again.
        """
        keys: set[_Key] = self._by_place.get((act.box, act.channel), set())
        if isinstance(record, BoxSteer):
            keys = keys & {(record.session, record.attempt, act.box)}
        elif isinstance(record, BoxSetup):
            return
        for key in keys:
            one = self._standing[key]
            if act.fence < one.fence:
                continue
            one.fence = act.fence
            if one.owner == act.front:
                continue
            if one.loss is not None:
                gap = 0.0 if one.lost_at is None else act.t - one.lost_at
                self.costs[one.loss].gaps.append(gap)
            one.owner, one.inherited = act.front, one.loss
            one.loss = one.lost_at = None

    def _lose(self, front: str, loss: Loss, at: float | None) -> None:
        for one in self._standing.values():
            if one.owner == front and one.loss is None:
                one.loss, one.lost_at = loss, at
                self.costs[loss].sessions += 1

    def _down(self, record: FrontDown) -> None:
        self._lose(record.front, Loss.PLANNED if record.planned else Loss.KILLED, record.t)
        for one in self._standing.values():
            if one.owner == record.front and one.loss is not None and one.lost_at is None:
                one.lost_at = record.t

    def _end(self, key: _Key, why: str) -> None:
        one = self._standing.pop(key, None)
        if one is None:
            return
        self._by_place[key[2], one.channel].discard(key)
        self._ended[key] = why
        moved = any(other[0] == key[0] for other in self._standing)
        if one.loss is not None:
            cost = self.costs[one.loss]
            for_want = why in ("front is gone", "released") and not moved
            cost.ended += for_want
            cost.unowned += for_want and not one.channel
            cost.own_end += not for_want
        elif one.inherited is not None and why == "released" and not moved:
            self.costs[one.inherited].given_up += 1
