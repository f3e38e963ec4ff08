"""Stragglers under caused faults: hard cases, drawn days against an oracle, and mistakes put in."""

from __future__ import annotations

import importlib
from random import Random
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bench.late_day import KINDS, Day, load
from bench.late_faults import day
from bench.late_model import Model
from fernweir.peers.late.content_track import View
from fernweir.rehearsal.explore import explore
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
    assert everything(fleet_day, "CaughtUp")


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
    assert all(len(everything(fleet_day, kind)) == 5 for kind in ("ShutOut", "Readmitted"))


def test_a_drain_told_to_one_front_only_makes_nobody_late() -> None:
    fleet_day = fleet()
    before = fleet_day.number["boxes"]
    fleet_day.news("boxes", ["f3"], urgent=True)
    fleet_day.run(110_000.0)
    assert not fleet_day.broken and not fleet_day.outs and not everything(fleet_day, "CatchUp")
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
    assert not fleet_day.broken and not fleet_day.outs and not everything(fleet_day, "CatchUp")
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
    assert not fleet_day.broken and not everything(fleet_day, "CatchUp") + everything(
        fleet_day, "UpdateSuspect"
    )
    assert not fleet_day.outs


def test_a_front_cut_off_from_all_refrains() -> None:
    fleet_day = fleet()
    lonely = fleet_day.fronts["f4"]
    lonely.side = 1
    fleet_day.disturbed()
    fleet_day.run(20_000.0)
    lonely.machine.set_holds_leases(fleet_day.time(lonely), False)
    fleet_day.run(50_000.0)
    assert lonely.refrains == "cut off"
    lonely.side = 0
    fleet_day.run(5_000.0)
    lonely.machine.set_holds_leases(fleet_day.time(lonely), True)
    fleet_day.run(2_000.0)
    assert lonely.refrains == "" and not fleet_day.broken


@pytest.mark.parametrize("seed", range(2))
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
    result = explore(Model(KIT, 1, 0))
    assert result.whole, (result.wrong, result.trace)
    assert result.states > 500


def test_the_model_finds_a_mistake() -> None:
    mutant = next(each for each in MUTANTS if each.name.startswith("no hysteresis"))
    with broken(mutant, "fernweir.peers.late", "bench.late_day", "bench.late_model"):
        model = importlib.import_module("bench.late_model")
        kit = importlib.import_module("bench.late_day").load()
        assert "back at" in explore(model.Model(kit, 1, 0)).wrong


# --- deciding who is behind, against a slow model ---


def slowly(views: list[View], voices: set[str]) -> tuple[set[str], set[str]]:
    """Left and split of a list, one pair of fronts after the other, from the page."""
    heard = [view for view in views if view.name in voices]
    held = [view.content for view in heard if view.content]
    target = max(held, key=lambda content: (held.count(content), content), default=b"")
    ahead = {view.content for view in heard if view.moved and target in view.left}
    ahead -= {content for view in heard if view.content == target for content in view.left}
    left, split = set(), set()
    for view in views:
        others = [other for other in heard if other.name != view.name]
        further = 0
        for other in others:
            if other.content and other.content != view.content:
                later = other.moved and other.since > view.since
                began_with = not view.moved and view.content in other.left
                further += later or began_with or not view.content
        holders = [other for other in heard if other.content == target]
        passed = [other for other in holders if view.moved and other.since < view.since]
        if others and further >= 0.75 * len(others):
            left.add(view.name)
        elif target and view.content not in (target, *ahead) and 2 * len(passed) < len(holders):
            split.add(view.name)
    return left, split


contents = st.sampled_from([b"", b"a", b"b", b"c"])
drawn_views = st.lists(
    st.tuples(contents, st.integers(0, 5), st.booleans(), st.lists(contents, max_size=3), st.booleans()),
    min_size=1,
    max_size=8,
)


@settings(derandomize=True, deadline=None, max_examples=250)
@given(drawn_views)
def test_who_is_behind_is_as_a_slow_model_says(drawn: list[Any]) -> None:
    views, voices = [], set()
    for number, (held, since, moved, left, voice) in enumerate(drawn):
        view = View(f"f{number}", held, float(since), moved, tuple(each for each in left if each != held))
        views.append(view)
        if voice:
            voices.add(view.name)
    judged = KIT.lag_detection.detect_lag(KIT.messages.Kind.BOXES, views, voices, KIT.rules.LateRules())
    assert (set(judged.left), set(judged.split)) == slowly(views, voices)


@settings(derandomize=True, deadline=None, max_examples=100)
@given(
    st.integers(1, 9),
    st.integers(0, 6),
    st.data(),
)
def test_no_votes_within_their_places_shut_out_more_than_may_be(keepers: int, most: int, data: Any) -> None:
    places = KIT.rules.places(keepers, most)
    names = st.integers(0, most + 2)
    votes = [data.draw(st.sets(names, max_size=places)) for _ in range(keepers)]
    out = [n for n in range(most + 3) if sum(n in vote for vote in votes) >= keepers // 2 + 1]
    assert len(out) <= most
    # With a place more each, as many votes could do it: the bound is no less than it has to be.
    assert keepers * (places + 1) >= (most + 1) * (keepers // 2 + 1)


# --- peers that are hostile, or broken ---


def test_nothing_that_peers_send_grows_a_table_or_shuts_anybody_out() -> None:
    dice = Random(5)
    messages, kinds = KIT.messages, list(KIT.messages.Kind)
    machine = KIT.stragglers.Stragglers("f0", 7, KIT.rules.LateRules(), 0.0, ("f0", "f1", "f2"))
    names = [f"f{number}" for number in range(5)]
    machine.set_fleet(0.0, dict.fromkeys(names, 7))
    said = Day(1, KIT, 1, 1)
    now = 0.0
    for _ in range(3_000):
        now += dice.choice((0.0, 10.0, 400.0))
        sender = dice.choice([*names[1:], "stranger"])
        name, digest = dice.choice([*names, "nobody"]), dice.randbytes(2)
        versions = msgspec.structs.replace(
            said.versions(said.fronts["f0"]), boxes=digest, epoch=dice.randrange(3)
        )
        against = (messages.VoteEntry(name, 7, (dice.choice(kinds),)),)
        # Of the keepers f1 alone is broken.
        machine.on_message(now, sender, dice.choice((
            messages.Votes(dice.randrange(9), float(dice.randrange(99)), against if sender != "f2" else ()),
            messages.EvidenceReport(name, 7, versions, float(dice.randrange(600_000))),
            messages.CatchUpData(7, dice.choice(kinds), digest, b"x" * 9),
            messages.CatchUpDone(dice.choice(kinds), digest),
        )))  # fmt: skip
        if dice.random() < 0.2:
            machine.on_versions(now, dice.choice(["f3", "nobody"]), versions)
        machine.on_evidence(now, dice.choice(names), versions, dice.choice((-1.0, 0.0, 1e9, 5_000.0)))
        due = machine.next_deadline()
        if due is not None and due <= now:
            machine.tick(now)
        for effect in machine.take_effects():
            assert not isinstance(effect, KIT.events.ShutOut | KIT.events.Apply), effect
    assert set(machine.states()) == set(names) and not machine.shut_out()
    assert len(machine._tally._heard) <= 3
    for peer in machine._table:
        for track in peer.tracks.values():
            assert len(track.left) <= 16 and len(track.marks) <= 8
    machine.set_fleet(now, {"f0": 7})
    machine.tick(now + 1_000.0)
    assert set(machine.states()) == {"f0"}
