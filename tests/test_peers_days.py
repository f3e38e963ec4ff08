"""Days of fleets on virtual time: fixed seeds, days that once failed, and the same day twice."""

from __future__ import annotations

import os
import subprocess
import sys
from dataclasses import replace
from pathlib import Path

import pytest

from fernweir.audit.gaps import Loss
from fernweir.rehearsal.fleet.plan import FleetPlan
from fernweir.rehearsal.fleet.schedule import Fault, Kind, read_schedule
from fernweir.rehearsal.fleet.virtual import play, shrink

SMALL = FleetPlan(seconds=8.0, rate=5.0, play_s=(2.0, 5.0), settle_s=2.0)
KEPT = sorted((Path(__file__).parent / "schedules" / "fleets").glob("*.txt"))


@pytest.mark.parametrize("seed", range(1, 9))
def test_drawn_days_break_no_rule(seed: int) -> None:
    result = play(replace(SMALL, seed=seed))
    assert result.broken == []
    assert result.answers[200] > 20


@pytest.mark.parametrize("path", KEPT, ids=lambda path: path.stem)
def test_days_that_once_failed(path: Path) -> None:
    text = path.read_text()
    seed, fronts, boxes, rate, seconds = text.split("\n", 1)[0].removeprefix("#").split()
    plan = FleetPlan(
        seed=int(seed), fronts=int(fronts), boxes=int(boxes), rate=float(rate), seconds=float(seconds),
        faults=tuple(read_schedule(text.splitlines())),
    )  # fmt: skip
    assert play(plan).broken == []


def test_a_killed_front_s_sessions_are_steered_again_within_its_lease_and_a_second() -> None:
    kill = Fault(3.0, 5.0, Kind.KILL, on=2)
    plan = replace(SMALL, seed=3, rate=12.0, play_s=(6.0, 9.0), faults=(kill,))
    result = play(plan)
    cost = result.costs[Loss.KILLED]
    assert result.broken == [] and cost.ended == 0 and len(cost.gaps) >= 4
    assert plan.peers is not None and cost.gap(0.99) <= plan.peers.lease + 1_000.0


def test_a_day_is_the_same_in_another_process() -> None:
    plan = replace(SMALL, seed=5, seconds=4.0)
    here = play(plan).digest
    code = (
        "from dataclasses import replace; from tests.test_peers_days import SMALL, play;"
        "print(play(replace(SMALL, seed=5, seconds=4.0)).digest)"
    )
    environment = {**os.environ, "PYTHONHASHSEED": "4711"}
    there = subprocess.run(
        [sys.executable, "-c", code], env=environment, capture_output=True, text=True, check=True,
        cwd=Path(__file__).parents[1],
    )  # fmt: skip
    assert there.stdout.strip() == here


def test_a_failing_day_is_cut_down_to_what_fails() -> None:
    """A box that never accepts a claim leaves a dead front's sessions without an heir."""
    faults = (Fault(1.0, 1.0, Kind.LOSS, strength=0.3), Fault(3.0, 2.0, Kind.KILL, on=1))
    plan = replace(SMALL, seed=2, rate=10.0, play_s=(5.0, 8.0), faults=faults)
    result = play(plan)
    assert result.broken == []
    result.broken.append("rule 0: put in by the test")
    said: list[str] = []
    assert shrink(plan, result, said.append).faults == faults  # no smaller day breaks that rule
    assert said == []
