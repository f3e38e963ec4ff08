"""What is done to a fleet, as lines to read: processes killed, halted, stopped; paths between them broken.

A line a fault: `at 3.200 for 2.000 cut 1,2>3 strength 0.50`. Times are seconds of the day; fronts are numbers
from 1, `*` is all of them, `A>B` what A sends to B. `strength` is a share, or how bad: see `manner`.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from enum import StrEnum
from random import Random

from fernweir.rehearsal.faults import ScheduleError, matched
from fernweir.rehearsal.fleet.paths import Manner


class Kind(StrEnum):
    KILL = "kill"  # SIGKILL; back after the span, with its name and nothing else
    STOP = "stop"  # SIGSTOP, and SIGCONT after the span
    TERM = "term"  # SIGTERM; the span is how long it stays away after its end
    DRAIN = "drain"  # the list says so of a box, then ready again
    BOX_DIES = "box-dies"  # and is back, cold, after the span
    CUT = "cut"
    LOSS = "loss"  # that share of datagrams
    LATE = "late"  # by up to 2 s
    DOUBLED = "doubled"
    OVERTAKEN = "overtaken"
    SLOW = "slow"  # a link of 2 to 200 kB/s
    RESET = "reset"  # connections are broken, once


ON_FRONT = (Kind.KILL, Kind.STOP, Kind.TERM)
ON_BOX = (Kind.DRAIN, Kind.BOX_DIES)
ON_PATH = tuple(kind for kind in Kind if kind not in (*ON_FRONT, *ON_BOX))


@dataclass(frozen=True, slots=True)
class Fault:
    """`on` is the front or box; `sources` and `targets` are ends of paths, empty for all fronts."""

    at: float
    span: float
    kind: Kind
    on: int = 0
    sources: tuple[int, ...] = ()
    targets: tuple[int, ...] = ()
    strength: float = 0.5

    def __str__(self) -> str:
        where = f"{_ends(self.sources)}>{_ends(self.targets)}" if self.kind in ON_PATH else str(self.on)
        return f"at {self.at:.3f} for {self.span:.3f} {self.kind} {where} strength {self.strength:.2f}"

    def covers(self, source: int, target: int) -> bool:
        """Whether a path's fault is on this directed path."""
        return (not self.sources or source in self.sources) and (not self.targets or target in self.targets)


def _ends(numbers: tuple[int, ...]) -> str:
    return ",".join(map(str, numbers)) or "*"


_LIST = r"\*|\d+(?:,\d+)*"
_LINE = re.compile(
    r"at (?P<at>\d+(?:\.\d+)?) for (?P<span>\d+(?:\.\d+)?) (?P<kind>[a-z-]+) "
    rf"(?:(?P<sources>{_LIST})>(?P<targets>{_LIST})|(?P<on>\d+))(?: strength (?P<strength>[01](?:\.\d+)?))?"
)


def read_schedule(lines: Iterable[str]) -> list[Fault]:
    """ScheduleError names the first line that is none."""
    faults = []
    for number, match in matched(lines, _LINE, set(Kind)):
        kind = Kind(match["kind"])
        if (kind in ON_PATH) != (match["on"] is None):
            raise ScheduleError(f"line {number}: {kind} is not on that: {match[0]!r}")
        faults.append(
            Fault(
                float(match["at"]), float(match["span"]), kind, int(match["on"] or 0),
                _numbers(match["sources"]), _numbers(match["targets"]), float(match["strength"] or 0.5),
            )
        )  # fmt: skip
    return faults


def _numbers(text: str | None) -> tuple[int, ...]:
    return tuple(map(int, text.split(","))) if text and text != "*" else ()


def manner(base: Manner, faults: Iterable[Fault], source: int, target: int) -> Manner:
    """How a path behaves under all faults that are on it now; of two of a kind the worse counts."""
    now = replace(base)
    for fault in faults:
        if fault.kind not in ON_PATH or not fault.covers(source, target):
            continue
        how = fault.strength
        if fault.kind is Kind.CUT:
            now.cut = True
        elif fault.kind is Kind.LOSS:
            now.loss = max(now.loss, how)
        elif fault.kind is Kind.LATE:
            now.delay_ms, now.jitter_ms = max(now.delay_ms, 1_000.0 * how), max(now.jitter_ms, 1_000.0 * how)
        elif fault.kind is Kind.DOUBLED:
            now.doubled = max(now.doubled, how)
        elif fault.kind is Kind.OVERTAKEN:
            now.overtaken = max(now.overtaken, how)
        elif fault.kind is Kind.SLOW:
            rate = 2_000.0 + 198_000.0 * (1.0 - how)
            now.rate = min(now.rate or rate, rate)
    return now


def draw(
    dice: Random, *, seconds: float, fronts: int, boxes: int, kinds: Sequence[Kind] = tuple(Kind),
    nasty: float = 1.0,
) -> list[Fault]:  # fmt: skip
    """A day's faults in its middle. Never are more fronts down or halted at once than leave a majority."""
    faults: list[Fault] = []
    count = max(2, round(dice.uniform(3.0, 7.0) * nasty))
    while len(faults) < count:
        at = dice.uniform(0.2, 0.65) * seconds
        faults += _one(dice, dice.choice(list(kinds)), at, seconds, fronts, boxes)
        if dice.random() < 0.5:  # trouble is seldom alone
            faults += _one(dice, dice.choice(list(kinds)), at, seconds, fronts, boxes)
    kept: list[Fault] = []
    for fault in sorted(faults, key=lambda one: (one.at, one.kind, one.on)):
        if fault.kind in ON_FRONT:
            # A front that is back needs a while until it is a full member again.
            busy = {one.on for one in kept if one.kind in ON_FRONT and one.at + one.span + 4.0 > fault.at}
            if fault.on in busy or len(busy) >= (fronts - 1) // 2:
                continue
        kept.append(fault)
    return kept


def _one(dice: Random, kind: Kind, at: float, seconds: float, fronts: int, boxes: int) -> list[Fault]:
    span = round(max(min(dice.uniform(0.5, 0.3 * seconds), 0.8 * seconds - at), 0.5), 3)
    fault = Fault(round(at, 3), span, kind, strength=round(dice.uniform(0.1, 0.9), 2))
    if kind in ON_FRONT:
        return [replace(fault, on=dice.randint(1, fronts))]
    if kind in ON_BOX:
        return [replace(fault, on=dice.randint(1, boxes))]
    one = dice.randint(1, fronts)
    others = tuple(number for number in range(1, fronts + 1) if number != one)
    some = tuple(sorted(dice.sample(others, dice.randint(1, len(others))))) if others else ()
    shape = dice.random()
    if shape < 0.3:  # one direction of one path, or of several
        return [replace(fault, sources=(one,), targets=some)]
    if shape < 0.5:
        return [replace(fault, sources=some, targets=(one,))]
    if shape < 0.8 or kind is Kind.CUT:  # both directions: one front is set apart
        return [
            replace(fault, sources=(one,), targets=others),
            replace(fault, sources=others, targets=(one,)),
        ]
    return [fault]
