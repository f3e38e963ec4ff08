"""Stragglers under caused faults: hard cases, drawn days against an oracle, and mistakes put in."""

from __future__ import annotations

import importlib

import pytest

from bench.late_day import KINDS, Day, load
from bench.late_faults import day
from bench.late_model import Model
from tests.peers_mutants import Mutant, broken
from tests.peers_mutants.late import DAYS, MUTANTS

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


def test_a_drain_told_to_one_front_only_makes_nobody_late() -> None:
    fleet_day = fleet()
    before = fleet_day.number["boxes"]
    fleet_day.news("boxes", ["f3"], urgent=True)
    fleet_day.run(110_000.0)
    assert not fleet_day.broken and not fleet_day.outs and not everything(fleet_day, "BringUp")
    # The drain is not undone, and all say that the news is odd.
    assert fleet_day.fronts["f3"].holds["boxes"] == before + 1
    assert all(front.suspects.keys() == {"boxes"} for front in fleet_day.fronts.values())
    for name in sorted(fleet_day.fronts):
        fleet_day.tell(name, "boxes", before + 1, urgent=True)
    fleet_day.run(30_000.0)
    assert not any(front.suspects for front in fleet_day.fronts.values())


def test_urgent_news_counts_sooner() -> None:
    spans = []
    for urgent in (False, True):
        fleet_day = fleet()
        fleet_day.fronts["f4"].deaf = fleet_day.fronts["f4"].numb = True
        fleet_day.news("boxes", urgent=urgent)
        began = fleet_day.now
        while not fleet_day.outs and fleet_day.now < began + 120_000.0:
            fleet_day.step()
        spans.append(fleet_day.now - began)
    assert spans[0] - spans[1] == pytest.approx(KIT.rules.LateRules().late_ms - 6_000.0, abs=3_000.0)


def test_a_liar_is_treated_by_its_acts() -> None:
    fleet_day = fleet()
    liar = fleet_day.fronts["f4"]
    liar.deaf = liar.numb = liar.liar = True
    fleet_day.news("boxes")
    fleet_day.run(2_000.0)
    fleet_day.say(liar)  # it says that it has the new list, and goes on by the old one
    fleet_day.run(100_000.0)
    # Keepers know why; others know that it is out, and see only its word.
    assert {str(fleet_day.fronts[name].machine.state("f4")) for name in fleet_day.keepers} == {"shut out"}
    assert all("f4" in front.out for front in fleet_day.fronts.values())
    liar.liar = False
    fleet_day.refresh("f4")
    fleet_day.run(120_000.0)
    assert states(fleet_day, "f4") == {"current"} and not fleet_day.broken, fleet_day.broken


def test_many_late_at_once_make_the_news_suspect() -> None:
    fleet_day = fleet(6)
    names = ["f1", "f3", "f5"]
    for name in names:
        fleet_day.fronts[name].deaf = fleet_day.fronts[name].numb = True
    fleet_day.news("boxes")
    fleet_day.run(120_000.0)
    assert not fleet_day.broken and not fleet_day.outs
    assert all("3 of 6" in front.suspects["boxes"] for front in fleet_day.fronts.values())
    for name in names:
        fleet_day.refresh(name)
    fleet_day.run(40_000.0)
    assert not any(front.suspects for front in fleet_day.fronts.values())
    assert not fleet_day.broken and not fleet_day.outs


def test_where_not_all_may_be_out_it_is_the_same_front_at_all() -> None:
    fleet_day = fleet(6)
    for name in ("f4", "f5"):
        fleet_day.fronts[name].deaf = fleet_day.fronts[name].numb = True
    fleet_day.news("boxes")
    fleet_day.run(150_000.0)
    assert not fleet_day.broken, fleet_day.broken
    # Two of six may be out; three keepers that are two for a majority have one place each.
    assert {frozenset(front.out) for front in fleet_day.fronts.values()} in (
        {frozenset({"f4"})},
        {frozenset({"f5"})},
    )
    assert len(everything(fleet_day, "ShutOut")) == 6


@pytest.mark.parametrize("lesser", [3, 4])
def test_halves_under_different_versions_that_are_joined(lesser: int) -> None:
    fleet_day = fleet(8)
    names = sorted(fleet_day.fronts)[:lesser]
    for name in names:
        fleet_day.fronts[name].side = 1
    fleet_day.disturbed()
    fleet_day.run(10_000.0)
    fleet_day.news("boxes", names)
    fleet_day.news("settings", sorted(set(fleet_day.fronts) - set(names)))
    fleet_day.news("boxes", sorted(set(fleet_day.fronts) - set(names)))
    fleet_day.run(60_000.0)
    for front in fleet_day.fronts.values():
        front.side = 0
    fleet_day.disturbed()
    fleet_day.run(90_000.0)
    assert not fleet_day.broken and not fleet_day.outs
    for kind in KINDS:
        assert len({front.holds[kind] for front in fleet_day.fronts.values()}) == 1, kind
    assert {front.holds["settings"] for front in fleet_day.fronts.values()} == {2}
    if lesser == 3:
        assert {front.holds["boxes"] for front in fleet_day.fronts.values()} == {fleet_day.number["boxes"]}
    assert all(set(front.machine.states().values()) == {"current"} for front in fleet_day.fronts.values())


def test_settings_that_only_a_minority_can_read() -> None:
    fleet_day = fleet(6)
    fleet_day.news("settings", ["f1", "f2"])
    fleet_day.run(100_000.0)
    assert not fleet_day.broken and not fleet_day.outs and not everything(fleet_day, "BringUp")
    assert all(front.suspects.keys() == {"settings"} for front in fleet_day.fronts.values())
    # Now half of them have it: it is in force, and the others are told by their peers.
    fleet_day.tell("f3", "settings", fleet_day.number["settings"])
    fleet_day.run(60_000.0)
    assert {front.holds["settings"] for front in fleet_day.fronts.values()} == {2}
    assert not any(front.suspects for front in fleet_day.fronts.values()) and not fleet_day.outs


@pytest.mark.parametrize("names", [["f4"], ["f0", "f1"]])
def test_stopped_and_woken_fronts_shut_nobody_out_for_what_they_slept_through(names: list[str]) -> None:
    fleet_day = fleet()
    fleet_day.fronts["f3"].deaf = fleet_day.fronts["f3"].numb = True
    fleet_day.news("boxes")
    fleet_day.run(3_000.0)  # f3 is behind, and they know it
    for name in names:
        fleet_day.stop(name, 60_000.0)
    fleet_day.run(1_000.0)
    fleet_day.refresh("f3")
    fleet_day.run(140_000.0)
    assert not fleet_day.broken and not fleet_day.outs
    assert all(set(front.machine.states().values()) == {"current"} for front in fleet_day.fronts.values())


def test_a_new_life_of_a_front_that_was_out_is_judged_anew() -> None:
    fleet_day = fleet()
    fleet_day.fronts["f4"].deaf = fleet_day.fronts["f4"].numb = True
    old = dict(fleet_day.fronts["f4"].holds)
    fleet_day.news("boxes")
    fleet_day.run(80_000.0)
    assert states(fleet_day, "f4") == {"shut out"}
    fleet_day.kill("f4")
    fleet_day.start("f4", old)
    fleet_day.run(3_000.0)
    assert states(fleet_day, "f4") == {"current"}
    # It came with the same old list, from its cache, and nobody can give it another.
    fleet_day.run(110_000.0)
    assert states(fleet_day, "f4") == {"shut out"} and not fleet_day.broken, fleet_day.broken


def test_a_rolling_release_with_two_formats_makes_nobody_late() -> None:
    fleet_day = fleet(10, 5)
    for number, name in enumerate(sorted(fleet_day.fronts)):
        holds = dict(fleet_day.fronts[name].holds)
        fleet_day.kill(name)
        if number % 2:
            fleet_day.news("boxes")
        fleet_day.run(3_000.0)
        started = fleet_day.start(name, holds)
        started.format = 2
        fleet_day.say(started)
        fleet_day.after(1_500.0, lambda name=name: fleet_day.refresh(name))
        fleet_day.run(9_000.0)
    fleet_day.run(30_000.0)
    assert not fleet_day.broken and not everything(fleet_day, "BringUp") + everything(
        fleet_day, "NewsSuspect"
    )
    assert not fleet_day.outs


def test_a_front_cut_off_from_all_refrains() -> None:
    fleet_day = fleet()
    lonely = fleet_day.fronts["f4"]
    lonely.side = 1
    fleet_day.disturbed()
    fleet_day.run(20_000.0)
    lonely.machine.leases(fleet_day.time(lonely), False)
    fleet_day.run(50_000.0)
    assert lonely.refrains == "cut off"
    lonely.side = 0
    fleet_day.run(5_000.0)
    lonely.machine.leases(fleet_day.time(lonely), True)
    fleet_day.run(2_000.0)
    assert lonely.refrains == "" and not fleet_day.broken


@pytest.mark.parametrize("seed", range(3))
def test_drawn_days(seed: int) -> None:
    played = day(seed, KIT, span=150_000.0)
    assert not played.broken, played.broken
    assert set(played.number) == set(KINDS)


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.name)
def test_mistakes_are_found(mutant: Mutant) -> None:
    assert found(mutant) is not None


def found(mutant: Mutant) -> int | None:
    """The seed of the drawn day in which the oracle objects, or the day breaks down."""
    with broken(mutant, "fernweir.peers.late", "bench.late_day", "bench.late_faults"):
        faults = importlib.import_module("bench.late_faults")
        kit = importlib.import_module("bench.late_day").load()
        for seed in range(mutant.seeds):
            if faults.day(seed, kit, 200_000.0, faults=DAYS[mutant.name], n=6 if seed % 2 else 5).broken:
                return seed
    return None


def test_three_fronts_explored_in_full() -> None:
    """One change of the list told to any, and no other fault; `python -m bench.peers_late check` goes on."""
    result = Model(KIT, 1, 0).explore()
    assert result.whole and not result.broken, (result.broken, result.trail)
    assert result.states > 500


def test_the_model_finds_a_mistake() -> None:
    mutant = next(each for each in MUTANTS if each.name.startswith("no hysteresis"))
    with broken(mutant, "fernweir.peers.late", "bench.late_day", "bench.late_model"):
        model = importlib.import_module("bench.late_model")
        assert model.Model(importlib.import_module("bench.late_day").load(), 1, 0).explore(1_500).broken
