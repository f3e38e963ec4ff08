"""Random runs of a simulated fleet with stragglers, and the faults in them."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from bench.late_day import KINDS, Kit, Simulation


def random_run(
    seed: int, kit: Kit, span: float = 240_000.0, most: int = 4, faults: Sequence[str] = (), n: int = 0
) -> Simulation:
    """Returns a simulation after a run with random faults and updates.

    With `faults` each of these happens once, in a fleet of `n` fronts.
    """
    rng = Random(f"day {seed}")
    n = n or rng.choice((3, 5, 6, 9))
    rules = kit.rules.LateRules(clean_ms=50_000.0) if "successive_stragglers" in faults else None
    drawn = Simulation(seed, kit, n, 5 if n >= 9 else 3, rng.choice((0.0, 0.1, 0.25)), rules)
    every = rng.choice((4_000.0, 15_000.0, 50_000.0))

    def more() -> None:
        kind = rng.choices(KINDS, (8, 1, 1))[0]
        drawn.release_update(kind, urgent=rng.random() < 0.5)
        drawn.after(rng.expovariate(1.0 / every), more)

    drawn.after(8_000.0, more)
    named = [globals()[name] for name in faults]
    for fault in named or rng.choices(FAULTS, k=rng.randint(1, most)):
        drawn.after(rng.uniform(8_000.0, span * 0.6), lambda fault=fault: fault(drawn, rng))
    drawn.run(span)
    return drawn


def _pick(simulation: Simulation, rng: Random, many: int = 1) -> list[str]:
    return rng.sample(sorted(simulation.fronts), many)


def missed_updates(simulation: Simulation, rng: Random) -> None:
    (name,) = _pick(simulation, rng)
    simulation.fronts[name].misses_updates, simulation.fronts[name].ignores_catch_up = (
        True,
        rng.random() < 0.6,
    )
    simulation.after(rng.uniform(500.0, 120_000.0), lambda: simulation.refresh(name))


def many_missed_updates(simulation: Simulation, rng: Random) -> None:
    names = _pick(simulation, rng, rng.randint(2, len(simulation.fronts) - 1))
    span = rng.uniform(20_000.0, 100_000.0)
    for name in names:
        simulation.fronts[name].misses_updates = simulation.fronts[name].ignores_catch_up = True
        simulation.after(span, lambda name=name: simulation.refresh(name))


def false_facts(simulation: Simulation, rng: Random) -> None:
    (name,) = _pick(simulation, rng)
    front = simulation.fronts[name]
    front.misses_updates = front.ignores_catch_up = front.claims_newest = True
    simulation.publish(front)

    def reform() -> None:
        simulation.fronts[name].claims_newest = False
        simulation.refresh(name)
        simulation.publish(simulation.fronts[name])

    simulation.after(rng.uniform(95_000.0, 130_000.0), reform)


def suspension(simulation: Simulation, rng: Random) -> None:
    simulation.stop(_pick(simulation, rng)[0], rng.uniform(500.0, 40_000.0))


def restart(simulation: Simulation, rng: Random) -> None:
    """Kills a front, which returns with an older list."""
    (name,) = _pick(simulation, rng)
    front = simulation.fronts[name]
    if not front.up:
        return
    holds = {kind: max(1, number - rng.choice((0, 0, 1, 3))) for kind, number in front.holds.items()}
    simulation.kill(name)

    def back() -> None:
        simulation.start(name, holds)
        if not simulation.fronts[name].misses_updates:
            simulation.after(rng.uniform(100.0, 3_000.0), lambda: simulation.refresh(name))

    simulation.after(rng.uniform(100.0, 10_000.0), back)


def partition(simulation: Simulation, rng: Random) -> None:
    """Partitions the fleet into halves with different updates, and joins it again."""
    names = _pick(simulation, rng, len(simulation.fronts) // 2)
    for name in names:
        simulation.fronts[name].partition = 1
    simulation.on_disturbance()
    simulation.release_update("boxes", names)
    simulation.release_update("boxes", [name for name in simulation.fronts if name not in names])

    def join() -> None:
        for front in simulation.fronts.values():
            front.partition = 0
        simulation.on_disturbance()

    simulation.after(rng.uniform(5_000.0, 40_000.0), join)


def minority_update(simulation: Simulation, rng: Random) -> None:
    """Delivers a drain, or an epoch, to one front only."""
    (name,) = _pick(simulation, rng)
    kind = rng.choice(("boxes", "settings"))
    simulation.release_update(kind, [name], urgent=True)
    number = simulation.newest[kind]
    for other in sorted(simulation.fronts):
        simulation.after(50_000.0, lambda other=other: simulation.deliver_update(other, kind, number))


def blocked_link(simulation: Simulation, rng: Random) -> None:
    """Blocks facts and messages from one front to a keeper."""
    keeper = rng.choice(simulation.keepers)
    name = rng.choice([name for name in sorted(simulation.fronts) if name != keeper])
    simulation.blocked.add((name, keeper))

    def heal() -> None:
        simulation.blocked.discard((name, keeper))
        simulation.on_disturbance()

    simulation.after(rng.uniform(60_000.0, 110_000.0), heal)


def false_evidence(simulation: Simulation, rng: Random) -> None:
    """Makes a front report that another one acts on the first list of all."""
    name, of = _pick(simulation, rng, 2)
    simulation.fronts[name].falsifies_evidence_of = of


def successive_stragglers(simulation: Simulation, rng: Random) -> None:
    """Makes one front fall behind when another, which was shut out, has caught up."""
    one, other = _pick(simulation, rng, 2)
    simulation.fronts[one].misses_updates = simulation.fronts[one].ignores_catch_up = True
    simulation.release_update("boxes")

    def change() -> None:
        simulation.refresh(one)
        simulation.fronts[other].misses_updates = simulation.fronts[other].ignores_catch_up = True
        simulation.release_update("boxes")

    simulation.after(62_000.0, change)
    simulation.after(190_000.0, lambda: simulation.refresh(other))


def suspended_keepers(simulation: Simulation, rng: Random) -> None:
    """Suspends two keepers while a front has missed an update, before it has caught up."""
    name, *keepers = rng.sample(sorted(simulation.keepers), 3)
    simulation.fronts[name].misses_updates = simulation.fronts[name].ignores_catch_up = True
    simulation.release_update("boxes")

    def sleep() -> None:
        for keeper in keepers:
            simulation.stop(keeper, 60_000.0)

    slept = rng.uniform(3_000.0, 30_000.0)
    simulation.after(slept, sleep)
    simulation.after(slept + 1_000.0, lambda: simulation.refresh(name))


def restarted_straggler(simulation: Simulation, rng: Random) -> None:
    """Kills a front that is shut out, and starts it with the content that it had."""
    (name,) = _pick(simulation, rng)
    simulation.fronts[name].misses_updates = simulation.fronts[name].ignores_catch_up = True
    simulation.release_update("boxes")

    def again() -> None:
        if simulation.fronts[name].up:
            holds = dict(simulation.fronts[name].holds)
            simulation.kill(name)
            simulation.start(name, holds)

    simulation.after(70_000.0, again)


def killed_keepers(simulation: Simulation, rng: Random) -> None:
    """Kills the keepers that voted to shut a front out."""
    name = sorted(simulation.fronts)[-1]
    simulation.fronts[name].misses_updates = simulation.fronts[name].ignores_catch_up = True
    simulation.release_update("boxes")

    def die() -> None:
        for keeper in simulation.keepers[:2]:
            simulation.kill(keeper)
        simulation.refresh(name)

    simulation.after(60_000.0, die)


FAULTS = (
    missed_updates,
    missed_updates,
    many_missed_updates,
    false_facts,
    suspension,
    restart,
    partition,
    minority_update,
    blocked_link,
    false_evidence,
    successive_stragglers,
    suspended_keepers,
)
