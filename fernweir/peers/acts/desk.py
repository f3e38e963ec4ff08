"""What an operator asks of the fleet's acts, as JSON has it: for the control socket's `ask-fleet`."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from math import isinf
from typing import Any

from fernweir.peers.acts import plan
from fernweir.peers.acts.clock import When
from fernweir.peers.acts.merge import Answer, Found, Gap, StillOn
from fernweir.peers.acts.versions import Versions

Then = Callable[[dict[str, Any]], None]
_ROWS = 500
_UNKNOWN_MS = 1e15


class FleetQuestions:
    """Fits `control.desk.FleetQueries`. `put` asks; the answer, or why there is none, is told once."""

    def __init__(self, put: Callable[[plan.Question, Then], None]) -> None:
        self._put = put

    def ask(self, question: Mapping[str, Any], then: Then) -> None:
        try:
            parsed = plan.parse(question)
        except plan.QuestionError as error:
            then({"ok": False, "error": str(error)})
            return
        self._put(parsed, then)


def to_plain(answer: Answer) -> dict[str, Any]:
    """All times are [earliest, latest] in wall ms of the front that was asked; null where there is no bound.

    `whole` is true only if nothing is missing that any front ever did and that was asked for.
    """
    wall = answer.wall
    rows = [_found(one, wall) for one in answer.rows[:_ROWS]]
    plain: dict[str, Any] = {
        "whole": answer.whole and len(rows) == len(answer.rows),
        "rows": rows,
        "rows_not_shown": len(answer.rows) - len(rows),
        "gaps": [_gap(one, wall) for one in answer.gaps],
        "silent": sorted(answer.silent),
        "left_out": [list(one) for one in sorted(answer.left_out)],
        "answered_by": [
            {"front": one.owner, "life": one.life, "by": list(one.by), "blocks": one.blocks,
             "says_of_its_wall_clock": {"ahead_ms": one.wall[0], "give_or_take_ms": _bound(one.wall[1])}}
            for one in answer.shards
        ],
        "took_ms": round(answer.took_ms, 1),
    }  # fmt: skip
    if isinstance(answer.question, plan.Still):
        plain["fronts"] = [_still(one, wall) for one in answer.stills]
    if isinstance(answer.question, plan.AfterDrain):
        plain["first_heard"] = _span(answer.heard, wall) if answer.heard is not None else None
        plain["heard"] = [_found(one, wall) for one in answer.drains[:_ROWS]]
    return plain


def _found(one: Found, wall: float) -> dict[str, Any]:
    plain: dict[str, Any] = {
        "front": one.owner, "life": one.life, "when": _span(one.when, wall), "deed": str(one.deed),
        "session": one.session, "title": one.title, "tenant": one.tenant, "box": one.box,
        "outcome": one.outcome, "sure": one.sure is one.sure.YES, "versions": _versions(one.versions),
    }  # fmt: skip
    if one.knew:
        plain["knew"] = True
    if one.context or one.looked_from is not None:
        plain["had_heard"] = [_found(heard, wall) for heard in one.context]
        plain["had_heard_since"] = _span(one.looked_from, wall) if one.looked_from is not None else None
    return plain


def _still(one: StillOn, wall: float) -> dict[str, Any]:
    return {
        "front": one.owner, "life": one.life,
        "first": _span(one.first, wall), "last": _span(one.last, wall),
        "at": str(one.at.value), "later": str(one.later.value),
        "after_first_ms": [_bound(ms) for ms in one.after_first] if one.after_first is not None else None,
        "after_rest_ms": [_bound(ms) for ms in one.after_rest] if one.after_rest is not None else None,
    }  # fmt: skip


def _gap(one: Gap, wall: float) -> dict[str, Any]:
    blocks = [one.first or None, one.last or None]
    since = _span(one.since, wall) if one.since is not None else None
    return {"front": one.owner, "life": one.life, "why": str(one.why), "blocks": blocks, "since": since}


def _versions(one: Versions) -> dict[str, Any]:
    return {
        "program": one.program, "settings": one.settings.hex(), "epoch": one.epoch,
        "boxes": one.boxes.hex(), "boxes_told_at": one.boxes_told_at, "keys": one.keys.hex(),
        "format": one.format,
    }  # fmt: skip


def _span(when: When, wall: float) -> list[float | None]:
    return [_bound(when.earliest + wall), _bound(when.latest + wall)]


def _bound(ms: float) -> float | None:
    return None if isinf(ms) or abs(ms) > _UNKNOWN_MS else round(ms, 1)
