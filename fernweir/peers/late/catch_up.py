"""Who brings a late front up, and what a late front takes of it. Pure functions."""

from __future__ import annotations

from collections.abc import Sequence
from collections.abc import Set as AbstractSet

from fernweir.peers.base import rendezvous
from fernweir.peers.late.content_track import View
from fernweir.peers.late.lag_detection import Judged
from fernweir.peers.late.messages import Kind
from fernweir.peers.late.rules import LateRules


def attempt(late_ms: float, rules: LateRules) -> int:
    """The number of the attempt that is under way, from 0: quick ones first, then a slow one for ever."""
    if late_ms < rules.bring_ms:
        return max(int(late_ms / rules.try_ms), 0)
    return rules.tries + int((late_ms - rules.bring_ms) / rules.again_ms)


def bringer(
    name: str, kind: Kind, number: int, target: bytes, views: Sequence[View], voices: AbstractSet[str]
) -> str | None:
    """Whose turn it is, alike at all who see the same holders; another one at each attempt."""
    holders = [view.name for view in views if view.name in voices and view.name != name]
    holders = [view.name for view in views if view.name in holders and _has(kind, view.content, target)]
    ranked = rendezvous(f"bring up {name} {kind}", holders)
    return ranked[number % len(ranked)] if ranked else None


def takes(me: str, kind: Kind, content: bytes, judged: Judged, views: Sequence[View]) -> bool:
    """Whether a front that is given this content takes it: only if it is behind by what it knows itself,
    and two of the others hold that, or the only one there is."""
    if me not in judged.left and me not in judged.split:
        return False
    others = [view for view in views if view.name != me]
    holders = sum(_has(kind, view.content, content) for view in others)
    mine = next((view.content for view in views if view.name == me), b"")
    return mine != content and holders >= min(2, len(others)) > 0


def _has(kind: Kind, held: bytes, content: bytes) -> bool:
    return held >= content if kind is Kind.SETTINGS else held == content and bool(content)
