"""Who is behind in what, from what all fronts are taken to hold. Pure functions, no bookkeeping.

Contents have no numbers that count between fronts, so what is newer is seen from who moved: a front is behind
another that came to what it holds later, as this observer saw it, or that has left what the front began
its life with. A front that alone has just been told something is ahead, not behind. Settings have the
operator's epoch. Two contents that nobody was seen to move between, as after a cut, are a split: the one that
more hold stands, of two the higher digest, so that all fronts choose alike.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter
from collections.abc import Sequence
from collections.abc import Set as AbstractSet
from dataclasses import dataclass

from fernweir.peers.late.content_track import View
from fernweir.peers.late.messages import Kind
from fernweir.peers.late.rules import LateRules


@dataclass(frozen=True, slots=True)
class Judged:
    """`target`: what the fleet holds. `left`: those that almost all left behind; `split`: those that stand
    on something else. `few`: why the news itself is odd, or ""."""

    target: bytes
    left: frozenset[str]
    split: frozenset[str]
    few: str = ""


def detect_lag(kind: Kind, views: Sequence[View], voices: AbstractSet[str], rules: LateRules) -> Judged:
    """Of all `views`; only what `voices` hold counts for what the fleet holds."""
    heard = [view for view in views if view.name in voices]
    if kind is Kind.SETTINGS:
        return _by_epoch(views, heard, rules)
    return _by_moves(views, heard, voices, rules)


def _by_epoch(views: Sequence[View], heard: Sequence[View], rules: LateRules) -> Judged:
    epochs = sorted((view.content for view in heard), reverse=True)
    if not epochs:
        return Judged(b"", frozenset(), frozenset())
    # The highest that enough hold: so many hold it or a higher one.
    target = epochs[max(_least(rules.epoch_share, len(epochs)), 1) - 1]
    left = frozenset(view.name for view in views if view.content < target)
    ahead = sum(epoch > target for epoch in epochs)
    few = f"a higher epoch at {ahead} of {len(epochs)} fronts" if ahead else ""
    return Judged(target, left, frozenset(), few)


def _by_moves(
    views: Sequence[View], heard: Sequence[View], voices: AbstractSet[str], rules: LateRules
) -> Judged:
    counts = Counter(view.content for view in heard if view.content)
    target = max(counts, key=lambda content: (counts[content], content), default=b"")
    if all(view.content == target for view in views):
        return Judged(target, frozenset(), frozenset())
    groups: dict[bytes, _Group] = {}
    for view in heard:
        groups.setdefault(view.content, _Group()).add(view)
    for group in groups.values():
        group.moves.sort()
    ahead = _ahead(target, heard)
    left, split = set(), set()
    for view in views:
        others = len(heard) - (view.name in voices)
        passed = sum(_passed(view, content, group) for content, group in groups.items())
        if others and passed >= _least(rules.left_share, others):
            left.add(view.name)
        elif view.content != target and view.content not in ahead and target:
            # Who came to something else later than most of them came to this is ahead, too.
            split.update([view.name] if 2 * _behind(view, groups[target]) < counts[target] else [])
    rest = len(heard) - counts.get(target, 0)
    few = ""
    if rest and not left and not split:
        few = f"told to {rest} of {len(heard)} fronts only"
    return Judged(target, frozenset(left), frozenset(split), few)


class _Group:
    """Those that hold one content; `moves`: when each that was seen to come to it did."""

    __slots__ = ("members", "moves")

    def __init__(self) -> None:
        self.members: list[View] = []
        self.moves: list[float] = []

    def add(self, view: View) -> None:
        self.members.append(view)
        if view.moved:
            self.moves.append(view.since)


def _passed(view: View, content: bytes, group: _Group) -> int:
    """How many of a group are further than this front."""
    if content == view.content or not content:
        return 0
    if not view.content:
        return len(group.members)
    later = len(group.moves) - bisect_right(group.moves, view.since)
    if view.moved:
        return later
    return later + sum(
        view.content in other.left and not (other.moved and other.since > view.since)
        for other in group.members
    )


def _behind(view: View, group: _Group) -> int:
    """How many of a group this front is further than."""
    if not view.moved:
        return 0
    return sum(other.since < view.since for other in group.members)


def _ahead(target: bytes, heard: Sequence[View]) -> set[bytes]:
    """Contents to which somebody was seen to move on from what most hold, and nobody the other way."""
    ahead = {view.content for view in heard if view.moved and target in view.left}
    return ahead.difference(*(view.left for view in heard if view.content == target))


def _least(share: float, of: int) -> int:
    """The least whole number that is this share of so many, whatever is lost in the last digits."""
    return -int(-(share * of - 1e-9) // 1)
