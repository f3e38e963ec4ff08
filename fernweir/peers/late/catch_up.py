"""Chooses the peer that updates a stale front, and decides what a stale front accepts. Pure functions."""

from __future__ import annotations

from collections.abc import Sequence
from collections.abc import Set as AbstractSet

from fernweir.peers.base import rendezvous
from fernweir.peers.late.content_track import View
from fernweir.peers.late.lag_detection import Judged
from fernweir.peers.late.messages import Kind
from fernweir.peers.late.rules import LateRules


def attempt_number(stale_for_ms: float, rules: LateRules) -> int:
    """Returns the number of the current attempt, from 0: first quick attempts, then slow ones without end."""
    if stale_for_ms < rules.catch_up_ms:
        return max(int(stale_for_ms / rules.attempt_ms), 0)
    return rules.attempts + int((stale_for_ms - rules.catch_up_ms) / rules.retry_ms)


def choose_helper(
    name: str, kind: Kind, number: int, target: bytes, views: Sequence[View], voices: AbstractSet[str]
) -> str | None:
    """Returns the front that makes an attempt, another one for each attempt, or None.

    All fronts that know the same holders of the content choose the same one.
    """
    holders = [view.name for view in views if view.name in voices and view.name != name]
    holders = [view.name for view in views if view.name in holders and _contains(kind, view.content, target)]
    ranked = rendezvous(f"bring up {name} {kind}", holders)
    return ranked[number % len(ranked)] if ranked else None


def accepts(me: str, kind: Kind, content: bytes, judged: Judged, views: Sequence[View]) -> bool:
    """Whether a front accepts the content that a peer offers.

    It does so only if it is behind by its own observation, and two other fronts have that content, or the
    only other one.
    """
    if me not in judged.left and me not in judged.split:
        return False
    others = [view for view in views if view.name != me]
    holders = sum(_contains(kind, view.content, content) for view in others)
    mine = next((view.content for view in views if view.name == me), b"")
    return mine != content and holders >= min(2, len(others)) > 0


def _contains(kind: Kind, held: bytes, content: bytes) -> bool:
    return held >= content if kind is Kind.SETTINGS else held == content and bool(content)
