"""Stragglers: drawn days against the oracle, the model explored, and what looking costs.

python -m bench.peers_late days [--seeds 100] [--first 0]
python -m bench.peers_late check [--news 1] [--faults 1] [--kinds "lose late double stop restart lie"]
python -m bench.peers_late cost [--fronts 50]

All is simulated but the processor's time of `cost`.
"""

from __future__ import annotations

import time

import click
import msgspec

from bench.late_day import Day, load
from bench.late_faults import day
from bench.late_model import KINDS, Model
from fernweir.rehearsal.explore import explore


@click.group()
def main() -> None: ...


@main.command()
@click.option("--seeds", default=100)
@click.option("--first", default=0)
def days(seeds: int, first: int) -> None:
    """Drawn days of 240 s; ends with 1 if the oracle objects to one."""
    kit, outs, sent, bad = load(), 0, 0, 0
    for seed in range(first, first + seeds):
        played = day(seed, kit)
        outs, sent, bad = outs + played.outs, sent + played.sent, bad + bool(played.broken)
        if played.broken:
            click.echo(f"seed {seed}: {played.broken[0]}")
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
    """Every state of three fronts, with so many changes of the list and so many faults."""
    began = time.perf_counter()
    model = Model(load(), news, faults, kinds)
    result = explore(model, most)
    spent = time.perf_counter() - began
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
    """One front's machine among others whose list changes each second: time of the processor, and memory."""
    kit = load()
    names = [f"f{number}" for number in range(fronts)]
    machine = kit.stragglers.Stragglers("f0", 1, kit.rules.LateRules(), 0.0, names[:3])
    machine.set_fleet(0.0, dict.fromkeys(names, 1))
    said = Day(1, kit, 1, 1)
    used, looks, size = 0.0, 0, 0
    for turn in range(span * 10):
        now = turn * 100.0
        front = said.fronts["f0"]
        front.holds["boxes"] = 1 + turn // 10
        versions = said.versions(front)
        size = len(msgspec.msgpack.encode(versions))
        # A tenth of the fronts says at each turn what it holds now.
        began = time.process_time()
        for name in names[turn % 10 :: 10]:
            machine.on_versions(now, name, versions)
        due = machine.next_deadline()
        if due is not None and due <= now:
            machine.tick(now)
            looks += 1
        machine.take_effects()
        used += time.process_time() - began
    click.echo(
        f"{fronts} fronts: {used / span * 100.0:.2f}% of a core while the list changes each second "
        f"({looks / span:.1f} looks a second, {used / max(looks, 1) * 1e3:.2f} ms each); "
        f"a fact is {size} bytes"
    )


if __name__ == "__main__":
    main()
