"""Straggler detection under faults: single cases, random runs against an oracle, and mutants."""

from __future__ import annotations

import importlib
from random import Random
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bench.late_day import KINDS, Simulation, load
from bench.late_faults import random_run
from bench.late_model import Model
from fernweir.peers.late.content_track import View
from fernweir.rehearsal.explore import explore
from tests.peers_mutants import Mutant, broken
from tests.peers_mutants.late import FAULTS_OF, MUTANTS

KIT = load()


def states(simulation: Simulation, name: str) -> set[str]:
    """Returns the states of a front at all others that run."""
    return {
        str(front.machine.state(name))
        for front in simulation.fronts.values()
        if front.name != name and simulation.is_running(front)
    }


def fleet(n: int = 5, k: int = 3, seed: int = 1) -> Simulation:
    """Returns a simulation in which all fronts are connected and have received a first update of the list."""
    simulation = Simulation(seed, KIT, n, k)
    simulation.run(5_000.0)
    simulation.release_update("boxes")
    simulation.run(10_000.0)
    assert not simulation.violations, simulation.violations
    return simulation


def events_of(simulation: Simulation, kind: str) -> list[str]:
    return [f"{name} {event}" for _, name, event in simulation.log if type(event).__name__ == kind]


def test_a_front_that_misses_an_update_is_updated_by_a_peer() -> None:
    simulation = fleet()
    simulation.fronts["f4"].misses_updates = True
    simulation.release_update("boxes")
    simulation.run(60_000.0)
    assert not simulation.violations, simulation.violations
    assert simulation.fronts["f4"].holds["boxes"] == simulation.newest["boxes"]
    assert states(simulation, "f4") == {"current"} and not simulation.shut_out_count
    assert events_of(simulation, "CaughtUp")


def test_a_front_that_cannot_be_updated_is_shut_out_and_readmitted() -> None:
    simulation = fleet()
    late = simulation.fronts["f4"]
    late.misses_updates = late.ignores_catch_up = True
    simulation.release_update("boxes")
    simulation.run(70_000.0)
    assert states(simulation, "f4") == {"shut out"} and late.block_reason == "shut out" and late.request
    simulation.refresh("f4")
    simulation.run(10_000.0)
    assert states(simulation, "f4") == {"coming back"}
    simulation.run(60_000.0)
    assert states(simulation, "f4") == {"current"} and late.block_reason == "" and late.request == b""
    assert not simulation.violations, simulation.violations
    assert all(len(events_of(simulation, kind)) == 5 for kind in ("ShutOut", "Readmitted"))


def test_a_drain_at_one_front_only_makes_no_front_stale() -> None:
    simulation = fleet()
    before = simulation.newest["boxes"]
    simulation.release_update("boxes", ["f3"], urgent=True)
    simulation.run(110_000.0)
    assert (
        not simulation.violations and not simulation.shut_out_count and not events_of(simulation, "CatchUp")
    )
    # The drain is not undone, and all fronts report the update as suspect.
    assert simulation.fronts["f3"].holds["boxes"] == before + 1
    assert all(front.suspects.keys() == {"boxes"} for front in simulation.fronts.values())
    for name in sorted(simulation.fronts):
        simulation.deliver_update(name, "boxes", before + 1, urgent=True)
    simulation.run(30_000.0)
    assert not any(front.suspects for front in simulation.fronts.values())


def test_urgent_updates_make_a_front_stale_sooner() -> None:
    spans = []
    for urgent in (False, True):
        simulation = fleet()
        simulation.fronts["f4"].misses_updates = simulation.fronts["f4"].ignores_catch_up = True
        simulation.release_update("boxes", urgent=urgent)
        began = simulation.now
        while not simulation.shut_out_count and simulation.now < began + 120_000.0:
            simulation.step()
        spans.append(simulation.now - began)
    assert spans[0] - spans[1] == pytest.approx(KIT.rules.LateRules().stale_ms - 6_000.0, abs=3_000.0)


def test_a_front_with_false_facts_is_treated_by_its_actions() -> None:
    simulation = fleet()
    liar = simulation.fronts["f4"]
    liar.misses_updates = liar.ignores_catch_up = liar.claims_newest = True
    simulation.release_update("boxes")
    simulation.run(2_000.0)
    simulation.publish(liar)  # its facts have the new list, but it acts on the old one
    simulation.run(100_000.0)
    # Keepers have the evidence; the others know that it is shut out, and have only its facts.
    assert {str(simulation.fronts[name].machine.state("f4")) for name in simulation.keepers} == {"shut out"}
    assert all("f4" in front.out for front in simulation.fronts.values())
    liar.claims_newest = False
    simulation.refresh("f4")
    simulation.run(120_000.0)
    assert states(simulation, "f4") == {"current"} and not simulation.violations, simulation.violations


def test_many_stale_fronts_make_the_update_suspect() -> None:
    simulation = fleet(6)
    names = ["f1", "f3", "f5"]
    for name in names:
        simulation.fronts[name].misses_updates = simulation.fronts[name].ignores_catch_up = True
    simulation.release_update("boxes")
    simulation.run(120_000.0)
    assert not simulation.violations and not simulation.shut_out_count
    assert all("3 of 6" in front.suspects["boxes"] for front in simulation.fronts.values())
    for name in names:
        simulation.refresh(name)
    simulation.run(40_000.0)
    assert not any(front.suspects for front in simulation.fronts.values())
    assert not simulation.violations and not simulation.shut_out_count


def test_all_fronts_shut_out_the_same_front_if_not_all_may_be() -> None:
    simulation = fleet(6)
    for name in ("f4", "f5"):
        simulation.fronts[name].misses_updates = simulation.fronts[name].ignores_catch_up = True
    simulation.release_update("boxes")
    simulation.run(150_000.0)
    assert not simulation.violations, simulation.violations
    # Two of six may be shut out; three keepers with a majority of two have one place each.
    assert {frozenset(front.out) for front in simulation.fronts.values()} in (
        {frozenset({"f4"})},
        {frozenset({"f5"})},
    )
    assert len(events_of(simulation, "ShutOut")) == 6


@pytest.mark.parametrize("lesser", [3, 4])
def test_halves_under_different_versions_that_are_joined(lesser: int) -> None:
    simulation = fleet(8)
    names = sorted(simulation.fronts)[:lesser]
    for name in names:
        simulation.fronts[name].partition = 1
    simulation.on_disturbance()
    simulation.run(10_000.0)
    simulation.release_update("boxes", names)
    simulation.release_update("settings", sorted(set(simulation.fronts) - set(names)))
    simulation.release_update("boxes", sorted(set(simulation.fronts) - set(names)))
    simulation.run(60_000.0)
    for front in simulation.fronts.values():
        front.partition = 0
    simulation.on_disturbance()
    simulation.run(90_000.0)
    assert not simulation.violations and not simulation.shut_out_count
    for kind in KINDS:
        assert len({front.holds[kind] for front in simulation.fronts.values()}) == 1, kind
    assert {front.holds["settings"] for front in simulation.fronts.values()} == {2}
    if lesser == 3:
        assert {front.holds["boxes"] for front in simulation.fronts.values()} == {simulation.newest["boxes"]}
    assert all(set(front.machine.states().values()) == {"current"} for front in simulation.fronts.values())


def test_settings_that_only_a_minority_can_read() -> None:
    simulation = fleet(6)
    simulation.release_update("settings", ["f1", "f2"])
    simulation.run(100_000.0)
    assert (
        not simulation.violations and not simulation.shut_out_count and not events_of(simulation, "CatchUp")
    )
    assert all(front.suspects.keys() == {"settings"} for front in simulation.fronts.values())
    # Now half of them have it: it is in force, and peers update the others.
    simulation.deliver_update("f3", "settings", simulation.newest["settings"])
    simulation.run(60_000.0)
    assert {front.holds["settings"] for front in simulation.fronts.values()} == {2}
    assert not any(front.suspects for front in simulation.fronts.values()) and not simulation.shut_out_count


@pytest.mark.parametrize("names", [["f4"], ["f0", "f1"]])
def test_suspended_fronts_shut_nobody_out_for_the_time_of_the_suspension(names: list[str]) -> None:
    simulation = fleet()
    simulation.fronts["f3"].misses_updates = simulation.fronts["f3"].ignores_catch_up = True
    simulation.release_update("boxes")
    simulation.run(3_000.0)  # the others observe that f3 is behind
    for name in names:
        simulation.stop(name, 60_000.0)
    simulation.run(1_000.0)
    simulation.refresh("f3")
    simulation.run(140_000.0)
    assert not simulation.violations and not simulation.shut_out_count
    assert all(set(front.machine.states().values()) == {"current"} for front in simulation.fronts.values())


def test_a_restarted_front_that_was_shut_out_starts_as_current() -> None:
    simulation = fleet()
    simulation.fronts["f4"].misses_updates = simulation.fronts["f4"].ignores_catch_up = True
    old = dict(simulation.fronts["f4"].holds)
    simulation.release_update("boxes")
    simulation.run(80_000.0)
    assert states(simulation, "f4") == {"shut out"}
    simulation.kill("f4")
    simulation.start("f4", old)
    simulation.run(3_000.0)
    assert states(simulation, "f4") == {"current"}
    # It started with the same old list from its cache, and ignores data from peers.
    simulation.run(110_000.0)
    assert states(simulation, "f4") == {"shut out"} and not simulation.violations, simulation.violations


def test_a_rolling_release_with_two_formats_makes_no_front_stale() -> None:
    simulation = fleet(10, 5)
    for number, name in enumerate(sorted(simulation.fronts)):
        holds = dict(simulation.fronts[name].holds)
        simulation.kill(name)
        if number % 2:
            simulation.release_update("boxes")
        simulation.run(3_000.0)
        started = simulation.start(name, holds)
        started.format = 2
        simulation.publish(started)
        simulation.after(1_500.0, lambda name=name: simulation.refresh(name))
        simulation.run(9_000.0)
    simulation.run(30_000.0)
    assert not simulation.violations and not events_of(simulation, "CatchUp") + events_of(
        simulation, "UpdateSuspect"
    )
    assert not simulation.shut_out_count


def test_an_isolated_front_accepts_no_new_sessions() -> None:
    simulation = fleet()
    lonely = simulation.fronts["f4"]
    lonely.partition = 1
    simulation.on_disturbance()
    simulation.run(20_000.0)
    lonely.machine.set_holds_leases(simulation.local_ms(lonely), False)
    simulation.run(50_000.0)
    assert lonely.block_reason == "cut off"
    lonely.partition = 0
    simulation.run(5_000.0)
    lonely.machine.set_holds_leases(simulation.local_ms(lonely), True)
    simulation.run(2_000.0)
    assert lonely.block_reason == "" and not simulation.violations


@pytest.mark.parametrize("seed", range(2))
def test_random_runs(seed: int) -> None:
    run = random_run(seed, KIT, span=150_000.0)
    assert not run.violations, run.violations
    assert set(run.newest) == set(KINDS)


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.name)
def test_mutants_are_found(mutant: Mutant) -> None:
    assert first_seed(mutant) is not None


def first_seed(mutant: Mutant) -> int | None:
    """Returns the first seed whose random run has a violation, or None."""
    with broken(mutant, "fernweir.peers.late", "bench.late_day", "bench.late_faults"):
        faults = importlib.import_module("bench.late_faults")
        kit = importlib.import_module("bench.late_day").load()
        for seed in range(mutant.seeds):
            if faults.random_run(
                seed, kit, 200_000.0, faults=FAULTS_OF[mutant.name], n=6 if seed % 2 else 5
            ).violations:
                return seed
    return None


def test_three_fronts_explored_in_full() -> None:
    """One update of the list and no other fault; `python -m bench.peers_late check` explores more."""
    result = explore(Model(KIT, 1, 0))
    assert result.whole, (result.wrong, result.trace)
    assert result.states > 500


def test_the_model_finds_a_mutant() -> None:
    mutant = next(each for each in MUTANTS if each.name.startswith("no hysteresis"))
    with broken(mutant, "fernweir.peers.late", "bench.late_day", "bench.late_model"):
        model = importlib.import_module("bench.late_model")
        kit = importlib.import_module("bench.late_day").load()
        assert "back at" in explore(model.Model(kit, 1, 0)).wrong


# --- lag detection against a slow model ---


def judge_slowly(views: list[View], voices: set[str]) -> tuple[set[str], set[str]]:
    """Returns the fronts that are passed and split for a list, pair by pair."""
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
def test_lag_detection_agrees_with_a_slow_model(drawn: list[Any]) -> None:
    views, voices = [], set()
    for number, (held, since, moved, left, voice) in enumerate(drawn):
        view = View(f"f{number}", held, float(since), moved, tuple(each for each in left if each != held))
        views.append(view)
        if voice:
            voices.add(view.name)
    judged = KIT.lag_detection.detect_lag(KIT.messages.Kind.BOXES, views, voices, KIT.rules.LateRules())
    assert (set(judged.left), set(judged.split)) == judge_slowly(views, voices)


@settings(derandomize=True, deadline=None, max_examples=100)
@given(
    st.integers(1, 9),
    st.integers(0, 6),
    st.data(),
)
def test_votes_within_their_places_never_shut_out_too_many_fronts(keepers: int, most: int, data: Any) -> None:
    places = KIT.rules.places(keepers, most)
    names = st.integers(0, most + 2)
    votes = [data.draw(st.sets(names, max_size=places)) for _ in range(keepers)]
    out = [n for n in range(most + 3) if sum(n in vote for vote in votes) >= keepers // 2 + 1]
    assert len(out) <= most
    # With one more place each, the votes would suffice: the limit is not lower than necessary.
    assert keepers * (places + 1) >= (most + 1) * (keepers // 2 + 1)


# --- faulty peers ---


def test_no_message_of_a_faulty_peer_grows_a_table_or_shuts_a_front_out() -> None:
    rng = Random(5)
    messages, kinds = KIT.messages, list(KIT.messages.Kind)
    machine = KIT.stragglers.Stragglers("f0", 7, KIT.rules.LateRules(), 0.0, ("f0", "f1", "f2"))
    names = [f"f{number}" for number in range(5)]
    machine.set_fleet(0.0, dict.fromkeys(names, 7))
    said = Simulation(1, KIT, 1, 1)
    now = 0.0
    for _ in range(3_000):
        now += rng.choice((0.0, 10.0, 400.0))
        sender = rng.choice([*names[1:], "stranger"])
        name, digest = rng.choice([*names, "nobody"]), rng.randbytes(2)
        versions = msgspec.structs.replace(
            said.versions(said.fronts["f0"]), boxes=digest, epoch=rng.randrange(3)
        )
        against = (messages.VoteEntry(name, 7, (rng.choice(kinds),)),)
        # f1 is the only faulty keeper.
        machine.on_message(now, sender, rng.choice((
            messages.Votes(rng.randrange(9), float(rng.randrange(99)), against if sender != "f2" else ()),
            messages.EvidenceReport(name, 7, versions, float(rng.randrange(600_000))),
            messages.CatchUpData(7, rng.choice(kinds), digest, b"x" * 9),
            messages.CatchUpDone(rng.choice(kinds), digest),
        )))  # fmt: skip
        if rng.random() < 0.2:
            machine.on_versions(now, rng.choice(["f3", "nobody"]), versions)
        machine.on_evidence(now, rng.choice(names), versions, rng.choice((-1.0, 0.0, 1e9, 5_000.0)))
        due = machine.next_deadline()
        if due is not None and due <= now:
            machine.tick(now)
        for effect in machine.take_effects():
            assert not isinstance(effect, KIT.events.ShutOut | KIT.events.Apply), effect
    assert set(machine.states()) == set(names) and not machine.shut_out()
    assert len(machine._tally._votes) <= 3
    for peer in machine._table:
        for track in peer.tracks.values():
            assert len(track.left) <= 16 and len(track.evidence) <= 8
    machine.set_fleet(now, {"f0": 7})
    machine.tick(now + 1_000.0)
    assert set(machine.states()) == {"f0"}
