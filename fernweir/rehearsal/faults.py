"""Faults as a language: what, where, from when, for how long, how strongly; schedules as files to read.

A schedule is a line a fault: `at 3.20 for 2.00 box-silent 4 strength 0.50`. Times are seconds of the day,
`on` is a box, a front or nothing. The generator draws overlapping ones; `nasty` is how many and how strong.
"""

from __future__ import annotations

import re
from collections.abc import Collection, Iterable, Iterator, Sequence
from dataclasses import dataclass
from enum import StrEnum
from random import Random


class Kind(StrEnum):
    BOX_SLOW = "box-slow"  # set-ups take longer, by strength
    BOX_SILENT = "box-silent"  # silence in the middle of a manifest
    BOX_HANGS = "box-hangs"  # answers nothing
    BOX_ERRORS = "box-errors"  # set-ups fail at once, a share of them
    BOX_LOSES = "box-loses"  # the work is done and its answer lost, a share of them
    BOX_DIES = "box-dies"  # and comes back cold, the list is told of it late
    DRAIN = "drain"  # the list says so, then ready again
    ROLL = "roll"  # drained, replaced by a cold one
    UPLINK = "uplink"  # a rack's uplink shrinks to a share
    LATE_REPORTS = "late-reports"
    LIST_AWAY = "list-away"
    LIST_BACK = "list-back"  # the list goes back to an older version, in a new epoch
    NET_SLOW = "net-slow"  # latency everywhere
    BOX_FAR = "box-far"  # latency to one box
    BOX_REFUSES = "box-refuses"  # connections to one box are refused, sessions play on
    FRONT_STALLS = "front-stalls"  # the process stands still
    FRONT_DIES = "front-dies"  # kill -9, and back with its disk as synced
    SEATS_SLOW = "seats-slow"
    SEATS_LOSE = "seats-lose"
    SEATS_AWAY = "seats-away"
    CROWD = "crowd"  # a crew asks within half a second


ON_BOX = (Kind.BOX_SLOW, Kind.BOX_SILENT, Kind.BOX_HANGS, Kind.BOX_ERRORS, Kind.BOX_LOSES, Kind.BOX_DIES,
          Kind.DRAIN, Kind.ROLL, Kind.BOX_FAR, Kind.BOX_REFUSES)  # fmt: skip
ON_FRONT = (Kind.FRONT_STALLS, Kind.FRONT_DIES)


class ScheduleError(ValueError):
    """A schedule can't be read; the text names the line."""


@dataclass(frozen=True, slots=True)
class Fault:
    at: float
    span: float
    kind: Kind
    on: int = 0
    strength: float = 0.5

    def __str__(self) -> str:
        where = f" {self.on}" if self.kind in (*ON_BOX, *ON_FRONT, Kind.UPLINK) else ""
        return f"at {self.at:.3f} for {self.span:.3f} {self.kind}{where} strength {self.strength:.2f}"


_LINE = re.compile(
    r"at (?P<at>\d+(?:\.\d+)?) for (?P<span>\d+(?:\.\d+)?) (?P<kind>[a-z-]+)(?: (?P<on>\d+))?"
    r"(?: strength (?P<strength>\d(?:\.\d+)?))?"
)


def matched(
    lines: Iterable[str], pattern: re.Pattern[str], kinds: Collection[str]
) -> Iterator[tuple[int, re.Match[str]]]:
    """The lines of a schedule with their numbers. Empty ones and `#` comments are passed over.

    ScheduleError names the first that is not of the pattern or of none of the kinds.
    """
    for number, line in enumerate(lines, 1):
        text = line.partition("#")[0].strip()
        if not text:
            continue
        match = pattern.fullmatch(text)
        if match is None or match["kind"] not in kinds:
            raise ScheduleError(f"line {number}: not a fault: {text!r}")
        yield number, match


def read_schedule(lines: Iterable[str]) -> list[Fault]:
    """ScheduleError names the first line that is none."""
    faults = []
    for _, match in matched(lines, _LINE, set(Kind)):
        faults.append(
            Fault(
                float(match["at"]), float(match["span"]), Kind(match["kind"]), int(match["on"] or 0),
                float(match["strength"] or 0.5),
            )
        )  # fmt: skip
    return faults


def draw(
    dice: Random, *, seconds: float, boxes: int, fronts: int, racks: int, nasty: float = 1.0,
    favoured: Sequence[tuple[Kind, Kind]] = (),
) -> list[Fault]:  # fmt: skip
    """A day's faults. Half of them come in pairs, at one moment: trouble is seldom alone.

    `favoured` are pairs that were seen too seldom so far: one of them leads, if there are any.
    """
    count = max(1, round(dice.uniform(2.0, 7.0) * nasty))
    faults: list[Fault] = []
    if favoured:
        at = dice.uniform(0.05, 0.6) * seconds
        faults += [
            _one(dice, kind, at, seconds, boxes, fronts, racks, nasty) for kind in dice.choice(favoured)
        ]
    while len(faults) < count:
        at = dice.uniform(0.02, 0.65) * seconds
        faults.append(_one(dice, dice.choice(list(Kind)), at, seconds, boxes, fronts, racks, nasty))
        if dice.random() < 0.5:
            faults.append(_one(dice, dice.choice(list(Kind)), at, seconds, boxes, fronts, racks, nasty))
    return sorted(faults, key=lambda one: (one.at, one.kind, one.on))


def _one(
    dice: Random, kind: Kind, at: float, seconds: float, boxes: int, fronts: int, racks: int, nasty: float
) -> Fault:
    most = boxes if kind in ON_BOX else fronts if kind in ON_FRONT else racks
    on = dice.randint(1, most) if kind in (*ON_BOX, *ON_FRONT, Kind.UPLINK) else 0
    span = min(dice.uniform(0.3, 0.3 * seconds), 0.75 * seconds - at)
    return Fault(
        round(at, 3), round(max(span, 0.2), 3), kind, on, round(min(dice.uniform(0.2, nasty), 1.0), 2)
    )
