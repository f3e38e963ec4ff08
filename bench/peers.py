"""Fronts that fail together, as processes: a day of faults from a seed, judged from the boxes' traces.

    python -m bench.peers --fronts 5 --seconds 30 --seed 1 --kill --cut --keep DIR
    python -m bench.peers --cost --peers 50

Exit code 1 if a rule is broken, a process ends by itself, or a planned restart ends a session.
"""

from __future__ import annotations

import asyncio
import sys
import tempfile
import time
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import replace
from pathlib import Path
from typing import Any

import click

from bench.peers_cost import render_cost, run_cost
from fernweir.rehearsal.faults import ScheduleError
from fernweir.rehearsal.fleet.plan import FleetPlan, PeerPlan
from fernweir.rehearsal.fleet.report import render_fleet
from fernweir.rehearsal.fleet.rig import Fleet, FleetResult
from fernweir.rehearsal.fleet.schedule import Kind, read_schedule

_PATH = click.Path(path_type=Path)


def for_each_kind(command: Callable[..., None]) -> Callable[..., None]:
    for kind in reversed(Kind):
        command = click.option(f"--{kind}", f"kind_{kind.name}", is_flag=True, help=f"Draw {kind} faults.")(
            command
        )
    return command


def play(plan: FleetPlan, folder: Path) -> FleetResult:
    async def day() -> FleetResult:
        return await Fleet(plan, folder, click.echo).run()

    return asyncio.run(day())


@click.command()
@click.option("--fronts", default=5, show_default=True, type=click.IntRange(1, 30))
@click.option("--boxes", default=6, show_default=True, type=click.IntRange(1, 60))
@click.option("--seconds", default=30.0, show_default=True, help="How long viewers come.")
@click.option("--rate", default=6.0, show_default=True, help="Viewers a second.")
@click.option("--play", "play_s", default=8.0, show_default=True, help="Seconds that a viewer plays at most.")
@click.option("--segment", default=1.0, show_default=True, help="Seconds of a segment, up to 5.")
@click.option("--seed", default=1, show_default=True)
@click.option("--days", default=1, show_default=True, help="So many seeds, from --seed on.")
@click.option("--nasty", default=1.0, show_default=True, help="How many faults are drawn.")
@click.option("--lease", default=3_000.0, show_default=True, help="ms")
@click.option("--overlap", default=1_000.0, show_default=True, help="ms")
@click.option("--alone", is_flag=True, help="Fronts that don't know one another.")
@click.option("--schedule", type=_PATH, help="Faults from a file, none drawn.")
@click.option("--keep", type=_PATH, help="Keep traces, settings and logs here.")
@click.option("--cost", is_flag=True, help="Measure a front with peers against one without instead.")
@click.option("--peers", default=50, show_default=True, help="With --cost: how many.")
@for_each_kind
def main(
    fronts: int, boxes: int, seconds: float, rate: float, play_s: float, segment: float, seed: int, days: int,
    nasty: float, lease: float, overlap: float, alone: bool, schedule: Path | None, keep: Path | None,
    cost: bool, peers: int, **kinds: Any,
) -> None:  # fmt: skip
    """Play days of a fleet and judge them, or measure what peers cost. Without a kind all are drawn."""
    if cost:
        click.echo(render_cost(run_cost(peers, seconds)))
        return
    wanted = tuple(kind for kind in Kind if kinds[f"kind_{kind.name}"]) or tuple(Kind)
    plan = FleetPlan(
        fronts=fronts, boxes=boxes, seconds=seconds, rate=rate, play_s=(play_s / 2.0, play_s), kinds=wanted,
        segment_s=segment, nasty=nasty, peers=None if alone else PeerPlan(lease=lease, overlap=overlap),
    )  # fmt: skip
    if schedule is not None:
        try:
            plan = replace(plan, faults=tuple(read_schedule(schedule.read_text().splitlines())))
        except ScheduleError as error:
            raise click.ClickException(f"{schedule}: {error}") from None
    broken = []
    for number in range(seed, seed + days):
        with ExitStack() as stack:
            folder = (
                keep / f"seed-{number}" if keep else Path(stack.enter_context(tempfile.TemporaryDirectory()))
            )
            begun = time.monotonic()
            click.echo(f"seed {number}: {fronts} fronts, {boxes} boxes, {seconds:.0f} s")
            result = play(replace(plan, seed=number), folder)
        click.echo(render_fleet(result))
        click.echo(f"took {time.monotonic() - begun:.1f} s\n")
        broken += [] if result.good else [number]
    if days > 1:
        click.echo(f"{days} days, broken: {broken or 'none'}")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
