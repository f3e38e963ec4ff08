"""Judges what a console printed by what boxes said on their sockets; shares nothing with either.

A printed session must have run where it is shown; one that ran there all the while must be shown. Between
the two lies what the trace can't settle: `slack_ms` for news on its way. Reads the text as a person would.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any


@dataclass(frozen=True, slots=True)
class Printed:
    """Text of the views `sessions` and `boxes`, and the trace's time just before and just after."""

    begun: float
    ended: float
    sessions: Sequence[str]
    boxes: Sequence[str]
    drained: frozenset[int] = frozenset()  # by operators, as acknowledged to them


@dataclass(slots=True)
class _Run:
    session: str
    box: int
    begun: float
    ended: float = float("inf")
    rungs: list[tuple[float, int]] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Drained:
    """A drain that was acknowledged, until it was taken back."""

    box: int
    acknowledged: float
    until: float = float("inf")


class TraceBook:
    """What ran where and when, by the trace alone. Takes records as mappings, in any order."""

    def __init__(self, records: Iterable[Mapping[str, Any]], slack_ms: float = 1_000.0) -> None:
        self.slack = slack_ms
        self.runs: list[_Run] = []
        self.set_ups: list[tuple[float, int, str]] = []
        self.stops: list[tuple[float, int]] = []
        open_runs: dict[tuple[str, int, int], tuple[_Run, str]] = {}
        for record in sorted(records, key=lambda one: float(one["t"])):
            kind, at = record["kind"], float(record["t"])
            if kind == "box.setup":
                self.set_ups.append((at, record["box"], record["session"]))
            elif kind == "box.runs":
                run = _Run(record["session"], record["box"], at, rungs=[(at, record["rung"])])
                self.runs.append(run)
                open_runs[record["session"], record["box"], record["attempt"]] = (run, record["front"])
            elif kind == "box.rung":
                known = open_runs.get((record["session"], record["box"], record["attempt"]))
                if known is not None:
                    known[0].rungs.append((at, record["rung"]))
            elif kind == "box.end":
                known = open_runs.pop((record["session"], record["box"], record["attempt"]), None)
                if known is not None:
                    known[0].ended = at
            elif kind == "box.stop":
                self.stops.append((at, record["box"]))
                for key in [key for key in open_runs if key[1] == record["box"]]:
                    open_runs.pop(key)[0].ended = at
            elif kind == "front.down":
                for key in [key for key, (_, front) in open_runs.items() if front == record["front"]]:
                    open_runs.pop(key)[0].ended = at

    def check(self, printed: Printed) -> list[str]:
        """What is wrong with it, in words; nothing if all is well."""
        wrong: list[str] = []
        shown = _sessions(printed.sessions, wrong)
        playing = {name: (box, rung) for name, (phase, box, rung) in shown.items() if phase == "playing"}
        since, until = printed.begun - self.slack, printed.ended + self.slack
        for name, (box, rung) in playing.items():
            runs = [run for run in self.runs if (run.session, run.box) == (name, box)]
            if not any(run.begun <= printed.ended and run.ended >= since for run in runs):
                wrong.append(f"{name} is shown playing at box {box}, and did not run there")
                continue
            rungs = {one for run in runs for one in _rungs(run, since, printed.ended)}
            if rung not in rungs:
                wrong.append(f"{name} is shown at rung {rung}, and played {sorted(rungs)}")
        for run in self.runs:
            if run.begun <= since and run.ended >= until and playing.get(run.session, (-1,))[0] != run.box:
                wrong.append(f"{run.session} ran at box {run.box} all the while, and is not shown there")
        self._check_boxes(printed, since, until, wrong)
        return wrong

    def _check_boxes(self, printed: Printed, since: float, until: float, wrong: list[str]) -> None:
        boxes = _boxes(printed.boxes, wrong)
        least = Counter(run.box for run in self.runs if run.begun <= since and run.ended >= until)
        most = Counter(run.box for run in self.runs if run.begun <= printed.ended and run.ended >= since)
        for box, (state, plays) in boxes.items():
            if not least[box] <= plays <= most[box]:
                wrong.append(f"box {box} is shown with {plays}, had {least[box]} to {most[box]}")
            if box in printed.drained and state == "ready":
                wrong.append(f"box {box} is shown ready, and an operator's drain stands")
            if box not in printed.drained and state == "draining":
                wrong.append(f"box {box} is shown draining, and nobody drained it")
        for box in (box for box, count in least.items() if count and box not in boxes):
            wrong.append(f"box {box} is not shown, and {least[box]} sessions ran there")

    def after_drains(self, drains: Iterable[Drained], grace_ms: float) -> list[str]:
        """Set-ups that reached a box later than the grace after its drain was acknowledged."""
        wrong = []
        for drain in drains:
            for at, box, session in self.set_ups:
                if box == drain.box and drain.acknowledged + grace_ms < at < drain.until:
                    late = at - drain.acknowledged
                    wrong.append(f"set-up of {session} at box {box}, {late:.0f} ms after its drain")
        return wrong


def _rungs(run: _Run, since: float, until: float) -> set[int]:
    """Rungs that it played at some moment between."""
    rungs = {rung for at, rung in run.rungs if since <= at <= until}
    before = [rung for at, rung in run.rungs if at < since]
    return rungs | set(before[-1:])


def _sessions(lines: Sequence[str], wrong: list[str]) -> dict[str, tuple[str, int, int]]:
    """Rows of `session phase lesson class box rung since`."""
    found: dict[str, tuple[str, int, int]] = {}
    for line in lines[1:]:
        if line == "none":
            continue
        cells = line.split()
        try:
            name, phase, _, _, box, rung, _ = cells
            found[name] = (phase, int(box) if box != "-" else -1, int(rung) if rung != "-" else -1)
        except ValueError:
            wrong.append(f"a row of sessions can't be read: {line!r}")
    return found


def _boxes(lines: Sequence[str], wrong: list[str]) -> dict[int, tuple[str, int]]:
    """Rows that begin with `box state plays out`."""
    found: dict[int, tuple[str, int]] = {}
    for line in lines[1:]:
        if line == "none":
            continue
        cells = [cell for cell in line.split() if cell != "SILENT"]
        try:
            found[int(cells[0])] = (cells[1], int(cells[2]))
        except (ValueError, IndexError):
            wrong.append(f"a row of boxes can't be read: {line!r}")
    return found
