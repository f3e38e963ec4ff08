"""Stragglers under caused faults: hard cases, drawn days against an oracle, and mistakes put in."""

from __future__ import annotations

import pytest

from bench.late_day import KINDS, Day, day, load

KIT = load()


def states(day: Day, name: str) -> set[str]:
    """How all others that run see a front."""
    return {
        str(front.machine.state(name))
        for front in day.fronts.values()
        if front.name != name and day.runs(front)
    }


def fleet(n: int = 5, k: int = 3, seed: int = 1) -> Day:
    """All have heard of each other, and a first change of the list."""
    made = Day(seed, KIT, n, k)
    made.run(5_000.0)
    made.news("boxes")
    made.run(10_000.0)
    assert not made.broken, made.broken
    return made


def everything(day: Day, kind: str) -> list[str]:
    return [f"{name} {event}" for _, name, event in day.log if type(event).__name__ == kind]


def test_who_misses_a_change_is_brought_up() -> None:
    fleet_day = fleet()
    fleet_day.fronts["f4"].deaf = True
    fleet_day.news("boxes")
    fleet_day.run(60_000.0)
    assert not fleet_day.broken, fleet_day.broken
    assert fleet_day.fronts["f4"].holds["boxes"] == fleet_day.number["boxes"]
    assert states(fleet_day, "f4") == {"current"} and not fleet_day.outs
    assert everything(fleet_day, "BroughtUp")


def test_who_cannot_be_brought_up_is_shut_out_and_comes_back() -> None:
    fleet_day = fleet()
    late = fleet_day.fronts["f4"]
    late.deaf = late.numb = True
    fleet_day.news("boxes")
    fleet_day.run(70_000.0)
    assert states(fleet_day, "f4") == {"shut out"} and late.refrains == "shut out" and late.plea
    fleet_day.refresh("f4")
    fleet_day.run(10_000.0)
    assert states(fleet_day, "f4") == {"coming back"}
    fleet_day.run(60_000.0)
    assert states(fleet_day, "f4") == {"current"} and late.refrains == "" and late.plea == b""
    assert not fleet_day.broken, fleet_day.broken
    assert all(len(everything(fleet_day, kind)) == 5 for kind in ("ShutOut", "Back"))


@pytest.mark.parametrize("seed", range(4))
def test_drawn_days(seed: int) -> None:
    played = day(seed, KIT, span=150_000.0)
    assert not played.broken, played.broken
    assert set(played.number) == set(KINDS)
