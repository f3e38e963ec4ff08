"""Straggler detection: random runs against the oracle, the explored model, and the cost of evaluations.

python -m bench.peers_late days [--seeds 100] [--first 0]
python -m bench.peers_late check [--news 1] [--faults 1] [--kinds "lose late double stop restart lie"]
python -m bench.peers_late cost [--fronts 50]

Everything is simulated except the processor time of `cost`.
"""

from __future__ import annotations

import time

import click
import msgspec

from bench.late_day import Simulation, load
from bench.late_faults import random_run
from bench.late_model import KINDS, Model
from fernweir.rehearsal.explore import explore


@click.group()
def main() -> None: ...


@main.command()
@click.option("--seeds", default=100)
@click.option("--first", default=0)
def days(seeds: int, first: int) -> None:
    """Random runs of 240 s; exits with 1 if the oracle finds a violation."""
    kit, outs, sent, bad = load(), 0, 0, 0
    for seed in range(first, first + seeds):
        played = random_run(seed, kit)
        outs, sent, bad = outs + played.shut_out_count, sent + played.sent, bad + bool(played.violations)
        if played.violations:
            click.echo(f"seed {seed}: {played.violations[0]}")
    click.echo(
        f"{seeds} days, {outs} shut-outs as seen by a front, {sent} messages, {bad} days with a finding"
    )
    raise SystemExit(bool(bad))


@main.command()
@click.option("--news", default=1)
@click.option("--faults", default=1)
@click.option("--kinds", default=KINDS)
@click.option("--most", default=10_000_000)
def check(news: int, faults: int, kinds: str, most: int) -> None:
    """Every state of three fronts, with this many updates of the list and this many faults."""
    started = time.perf_counter()
    model = Model(load(), news, faults, kinds)
    result = explore(model, most)
    spent = time.perf_counter() - started
    click.echo(
        f"{result.states} states, {result.steps} steps, {result.depth} turns deep, "
        f"{model.locals} states of a front, {'all' if result.whole else 'not all'} in {spent:.0f} s"
    )
    if result.wrong:
        click.echo(f"BROKEN: {result.wrong} after {'; '.join(result.trace)}")
    raise SystemExit(bool(result.wrong))


@main.command()
@click.option("--fronts", default=50)
@click.option("--span", default=60)
def cost(fronts: int, span: int) -> None:
    """Processor time of one front's machine among others whose list changes each second."""
    kit = load()
    names = [f"f{number}" for number in range(fronts)]
    machine = kit.stragglers.Stragglers("f0", 1, kit.rules.LateRules(), 0.0, names[:3])
    machine.set_fleet(0.0, dict.fromkeys(names, 1))
    simulation = Simulation(1, kit, 1, 1)
    used, looks, size = 0.0, 0, 0
    for turn in range(span * 10):
        now = turn * 100.0
        front = simulation.fronts["f0"]
        front.holds["boxes"] = 1 + turn // 10
        versions = simulation.versions(front)
        size = len(msgspec.msgpack.encode(versions))
        # A tenth of the fronts publishes its content in each turn.
        started = time.process_time()
        for name in names[turn % 10 :: 10]:
            machine.on_versions(now, name, versions)
        due = machine.next_deadline()
        if due is not None and due <= now:
            machine.tick(now)
            looks += 1
        machine.take_effects()
        used += time.process_time() - started
    click.echo(
        f"{fronts} fronts: {used / span * 100.0:.2f}% of a core while the list changes each second "
        f"({looks / span:.1f} looks a second, {used / max(looks, 1) * 1e3:.2f} ms each); "
        f"a fact is {size} bytes"
    )


if __name__ == "__main__":
    main()
