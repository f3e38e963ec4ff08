"""Determines which fronts are behind, from the contents that all fronts seem to have. Pure functions.

Contents have no numbers that are comparable between fronts, so observed changes show what is newer: a front
is behind another that changed to its content later, as this observer saw it, or that has left the content
with which the front began its life. A front that alone has just received an update is ahead, not behind.
Settings have the operator's epoch. Two contents between which no change was observed, as after a partition,
are a split: the one that more fronts have is valid, of equals the one with the higher digest, so that all
fronts choose the same.
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
    """The result for one kind.

    `target`: the content of the fleet. `left`: the fronts that almost all others have passed. `split`:
    those with another content after a split. `minority`: why the update itself is unusual, or "".
    """

    target: bytes
    left: frozenset[str]
    split: frozenset[str]
    minority: str = ""


def detect_lag(kind: Kind, views: Sequence[View], voices: AbstractSet[str], rules: LateRules) -> Judged:
    """Returns which of all `views` are behind; only those of `voices` determine the content of the fleet."""
    counted = [view for view in views if view.name in voices]
    if kind is Kind.SETTINGS:
        return _by_epoch(views, counted, rules)
    return _by_moves(views, counted, voices, rules)


def _by_epoch(views: Sequence[View], counted: Sequence[View], rules: LateRules) -> Judged:
    epochs = sorted((view.content for view in counted), reverse=True)
    if not epochs:
        return Judged(b"", frozenset(), frozenset())
    # The highest epoch that enough fronts have, or a higher one.
    target = epochs[max(_min_count(rules.epoch_ratio, len(epochs)), 1) - 1]
    left = frozenset(view.name for view in views if view.content < target)
    ahead = sum(epoch > target for epoch in epochs)
    minority = f"a higher epoch at {ahead} of {len(epochs)} fronts" if ahead else ""
    return Judged(target, left, frozenset(), minority)


def _by_moves(
    views: Sequence[View], counted: Sequence[View], voices: AbstractSet[str], rules: LateRules
) -> Judged:
    counts = Counter(view.content for view in counted if view.content)
    target = max(counts, key=lambda content: (counts[content], content), default=b"")
    if all(view.content == target for view in views):
        return Judged(target, frozenset(), frozenset())
    groups: dict[bytes, _Group] = {}
    for view in counted:
        groups.setdefault(view.content, _Group()).add(view)
    for group in groups.values():
        group.moves.sort()
    ahead = _ahead(target, counted)
    left, split = set(), set()
    for view in views:
        others = len(counted) - (view.name in voices)
        passed = sum(_passed(view, content, group) for content, group in groups.items())
        if others and passed >= _min_count(rules.passed_ratio, others):
            left.add(view.name)
        elif view.content != target and view.content not in ahead and target:
            # A front that changed to another content after most of them changed to this is ahead, too.
            split.update([view.name] if 2 * _behind(view, groups[target]) < counts[target] else [])
    rest = len(counted) - counts.get(target, 0)
    minority = ""
    if rest and not left and not split:
        minority = f"told to {rest} of {len(counted)} fronts only"
    return Judged(target, frozenset(left), frozenset(split), minority)


class _Group:
    """The fronts with one content. `moves`: when each observed change to it happened."""

    __slots__ = ("members", "moves")

    def __init__(self) -> None:
        self.members: list[View] = []
        self.moves: list[float] = []

    def add(self, view: View) -> None:
        self.members.append(view)
        if view.moved:
            self.moves.append(view.since)


def _passed(view: View, content: bytes, group: _Group) -> int:
    """Returns how many fronts of a group are ahead of this one."""
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
    """Returns how many fronts of a group are behind this one."""
    if not view.moved:
        return 0
    return sum(other.since < view.since for other in group.members)


def _ahead(target: bytes, counted: Sequence[View]) -> set[bytes]:
    """Returns contents to which fronts were seen to change from the target, and none the other way."""
    ahead = {view.content for view in counted if view.moved and target in view.left}
    return ahead.difference(*(view.left for view in counted if view.content == target))


def _min_count(share: float, of: int) -> int:
    """Returns the lowest whole number that is this share of `of`, despite rounding errors."""
    return -int(-(share * of - 1e-9) // 1)
