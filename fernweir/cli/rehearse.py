"""`fernweir rehearse`: fault scenarios on simulated servers, with checked results."""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
from pathlib import Path
from typing import NoReturn

import click

from fernweir.audit import render_table
from fernweir.config import ConfigError, load_front
from fernweir.front.logs import set_up_logs
from fernweir.rehearsal.badday import BadDay, DayPlan, DayResult, render_day
from fernweir.rehearsal.consoleday import BROKEN, ConsoleDay, ConsoleDayResult
from fernweir.rehearsal.faults import ScheduleError, read_schedule
from fernweir.rehearsal.hours import Hours, HoursPlan
from fernweir.rehearsal.kills import Kills, KillsResult
from fernweir.rehearsal.storm import Storm, StormPlan
from fernweir.rehearsal.sweep import keep as keep_schedules
from fernweir.rehearsal.sweep import render as render_sweep
from fernweir.rehearsal.sweep import sweep as sweep_seeds
from fernweir.rehearsal.virtual import VirtualPlan
from fernweir.rehearsal.virtual import play as play_virtual
from fernweir.rehearsal.virtual import shrink as shrink_day

_FILE = click.Path(path_type=Path, dir_okay=False)


def _report_and_exit(wrong: list[str], success_text: str) -> NoReturn:
    """Prints the first failures, or `success_text` if there are none, and exits the program."""
    for text in wrong[:10]:
        click.echo(f"  {text}")
    click.echo("BROKEN" if wrong else success_text)
    sys.exit(1 if wrong else 0)


@click.group()
def rehearse() -> None:
    """Run a fault scenario on simulated servers and check the result."""


@rehearse.command("storm")
@click.option("--seed", default=1, show_default=True, help="Seed of losses, kills and viewers.")
@click.option("--sessions", default=100_000, show_default=True, help="First requests; some are repeated.")
@click.option("--seats", default=120, show_default=True, help="Seats of each title, tenant and class.")
@click.option("--slow", default=1.0, show_default=True, help="Factor by which the server answers slower.")
@click.option("--away", default=0.0, show_default=True, help="Seconds without an answer, from 10 s on.")
@click.option(
    "--without",
    type=click.Choice(["", "ledger", "key"]),
    default="",
    help="Disable this, to see the check fail.",
)
def storm(seed: int, sessions: int, seats: int, slow: float, away: float, without: str) -> None:
    """A burst of lease requests on a virtual clock, with losses, repeats and kills.

    Exit code 1 if a seat was assigned twice or leaked.
    """
    outage = (10_000.0, 10_000.0 + away * 1000.0) if away else None
    plan = StormPlan(seed=seed, sessions=sessions, seats=seats, slow=slow, away=outage, broken=without)
    result = Storm(plan).run()
    leads = sorted(result.leads_ms) or [0.0]
    click.echo(
        f"{result.asked} asked, {result.granted} granted, {result.refused} refused, "
        f"{result.unanswered} unanswered, {result.renewed} renewed, {result.repeats} repeats, "
        f"{result.kills} kills, {result.virtual_ms / 1000.0:.0f} s of virtual time"
    )
    click.echo(f"ended by the server or without an answer: {dict(result.revoked) or 'none'}")
    percentiles = (("least", 0.0), ("1 in 1000", 0.001), ("1 in 100", 0.01), ("median", 0.5))
    cells = ", ".join(f"{name} {leads[int(len(leads) * share)]:.0f}" for name, share in percentiles)
    click.echo(f"remaining time of a lease of {plan.ttl_ms:.0f} ms when renewed, ms: {cells}")
    click.echo(
        f"over the seats: {result.most_over} held, {result.most_playing_over} playing; "
        f"most by one session {result.most_by_session}; left held {result.left_held}; "
        f"requests without a decision {result.unanswered_wants}"
    )
    click.echo("seats kept" if result.good else "BROKEN")
    sys.exit(0 if result.good else 1)


@rehearse.command("bad-day")
@click.option("--seed", default=1, show_default=True, help="What faults and viewers are drawn from.")
@click.option("--seconds", default=40.0, show_default=True, help="Duration in real time.")
@click.option("--boxes", default=16, show_default=True, type=click.IntRange(12), help="Simulated servers.")
@click.option("--rate", default=6.0, show_default=True, help="Viewers per second, besides the shift changes.")
@click.option(
    "--keep", type=click.Path(path_type=Path, file_okay=False), help="Store trace, logs and records here."
)
@click.option("--quiet", is_flag=True, help="Print the verdict only.")
def bad_day(seed: int, seconds: float, boxes: int, rate: float, keep: Path | None, quiet: bool) -> None:
    """Two fronts, servers in two racks, a few hundred viewers, and all kinds of faults.

    Exit code 1 if a rule was violated.
    """
    set_up_logs("json", "error")
    print_line = (lambda text: None) if quiet else click.echo

    async def play(folder: Path) -> DayResult:
        return await BadDay(
            DayPlan(seed=seed, seconds=seconds, boxes=boxes, rate=rate), folder, print_line
        ).run()

    if keep is not None:
        result = asyncio.run(play(keep))
    else:
        with tempfile.TemporaryDirectory(prefix="fernweir-") as folder:
            result = asyncio.run(play(Path(folder)))
    click.echo(render_day(result))
    sys.exit(0 if result.good else 1)


@rehearse.command("kills")
@click.option("--seed", default=1, show_default=True, help="Seed of the killed processes and the times.")
@click.option("--count", default=50, show_default=True, help="Processes to kill.")
@click.option("--keep", type=click.Path(path_type=Path, file_okay=False), help="Store the unit here.")
def kills(seed: int, count: int, keep: Path | None) -> None:
    """Kill a unit's processes with SIGKILL at random times, under load from viewers and operator commands.

    Exit code 1 if the unit didn't recover, an order was lost, or a command was executed twice.
    """

    async def play(folder: Path) -> KillsResult:
        folder.mkdir(parents=True, exist_ok=True)
        return await Kills(seed, count, folder, click.echo).run()

    with tempfile.TemporaryDirectory(prefix="fw-") as folder:
        result = asyncio.run(play(keep or Path(folder)))
    recovery_s = sorted(result.back_s)
    click.echo(f"kills {dict(result.kills)}; {result.commands} commands; "
               f"{result.played} of {result.asked} viewers played")  # fmt: skip
    click.echo(f"recovery in s: median {recovery_s[len(recovery_s) // 2]:.1f}, longest {recovery_s[-1]:.1f}")
    _report_and_exit(
        result.wrong, "the unit recovered each time, no order was lost, no command was executed twice"
    )


@rehearse.command("hours")
@click.argument("settings", type=_FILE)
@click.option("--seed", default=1, show_default=True)
@click.option("--hours", "length", default=8.0, show_default=True, help="Simulated hours.")
@click.option("--rate", default=2.0, show_default=True, help="New sessions per second.")
def hours(settings: Path, seed: int, length: float, rate: float) -> None:
    """Hours of session churn on a virtual clock, at a front with SETTINGS, its journal and a console.

    Exit code 1 if a bound was exceeded, or the console's state at the end differs from the front's.
    """
    try:
        config = load_front(settings)
    except ConfigError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    with tempfile.TemporaryDirectory(prefix="fernweir-") as folder:
        plan = HoursPlan(seed=seed, hours=length, rate=rate)
        result = Hours(plan, config.settings, Path(folder), click.echo).run()
    click.echo(
        f"{result.sessions} sessions, {result.most_held} at once, {result.entries} entries, oldest kept "
        f"{result.first_kept}, {result.reconnects} reconnects"
    )
    memory = f"{result.most_journal / 1e6:.1f} MB of memory (bound {plan.memory_bytes / 1e6:.1f})"
    click.echo(
        f"journal: at most {memory}, "
        f"{result.most_disk / 1e6:.1f} MB of disk (bound {plan.disk_bytes / 1e6:.1f}); "
        f"all of Python by hour, MB: {', '.join(f'{one:.0f}' for one in result.python_mb)}"
    )
    _report_and_exit(result.wrong, "all bounds held, and the console shows the state of the front")


@rehearse.command("seed")
@click.argument("seed", type=int)
@click.option("--seconds", default=30.0, show_default=True, help="Virtual seconds.")
@click.option("--schedule", type=click.Path(path_type=Path, dir_okay=False, exists=True),
              help="Inject the faults of this file instead of random ones.")  # fmt: skip
@click.option("--trace", "story", is_flag=True, help="Print all events.")
@click.option("--shrink", "smaller", is_flag=True, help="Minimize a failing run and print its schedule.")
def seed_command(seed: int, seconds: float, schedule: Path | None, story: bool, smaller: bool) -> None:
    """A run with faults in virtual time, which is determined by SEED.

    Exit code 1 if a rule or an invariant was violated.
    """
    faults = None
    if schedule is not None:
        try:
            faults = tuple(read_schedule(schedule.read_text(encoding="utf-8").splitlines()))
        except ScheduleError as error:
            click.echo(f"{schedule}: {error}", err=True)
            sys.exit(2)
    plan = VirtualPlan(seed=seed, seconds=seconds, faults=faults)
    result = play_virtual(plan)
    for fault in result.faults:
        click.echo(str(fault))
    if story:
        for record in result.records:
            fields = " ".join(f"{k}={v}" for k, v in record.items() if k not in ("t", "kind"))
            click.echo(
                f"{(record['t'] - result.records[0]['t']) / 1000.0:9.4f} {record['kind']:<14} {fields}"
            )
    click.echo(f"{result.viewers} viewers, answers {result.answers}, trace {result.digest}")
    for text in result.broken[:10]:
        click.echo(f"  {text}")
    if smaller and result.broken:
        click.echo("shrinking")
        smallest = shrink_day(plan, result, click.echo)
        click.echo(f"# seed {seed}, {smallest.rate:g} viewers a second, {smallest.seconds:g} s")
        for fault in smallest.faults or ():
            click.echo(str(fault))
    click.echo("BROKEN" if result.broken else "every rule held")
    sys.exit(1 if result.broken else 0)


@rehearse.command("sweep")
@click.option("--seeds", default=200, show_default=True)
@click.option("--first", default=1, show_default=True)
@click.option("--jobs", default=os.cpu_count() or 1, show_default=True)
@click.option("--seconds", default=30.0, show_default=True, help="Virtual seconds of each run.")
@click.option("--nasty", default=1.0, show_default=True, help="Factor of the number and strength of faults.")
@click.option("--keep", "kept", type=click.Path(path_type=Path, file_okay=False),
              help="Write the schedules of failing seeds here.")  # fmt: skip
def sweep_command(seeds: int, first: int, jobs: int, seconds: float, nasty: float, kept: Path | None) -> None:
    """Run many seeds in parallel. Exit code 1 if one violated a rule or an invariant."""
    plan = VirtualPlan(seconds=seconds, nasty=nasty)
    result = sweep_seeds(plan, first, seeds, jobs, click.echo)
    if kept is not None:
        keep_schedules(result, plan, kept)
    click.echo(render_sweep(result))
    sys.exit(1 if result.failed else 0)


@rehearse.command("console-day")
@click.option("--seed", default=1, show_default=True, help="What faults and viewers are drawn from.")
@click.option(
    "--broken", type=click.Choice(BROKEN), default="", help="Print a wrong view, to see the check fail."
)
@click.option("--keep", type=click.Path(path_type=Path, file_okay=False), help="Store trace and logs here.")
def console_day(seed: int, broken: str, keep: Path | None) -> None:
    """A scripted operator during faults; the state of the servers verifies what the console prints.

    Exit code 1 if a print was wrong, a rule was violated, or a drained server got a session.
    """
    set_up_logs("json", "error")

    async def play(folder: Path) -> ConsoleDayResult:
        return await ConsoleDay(seed, folder, click.echo, broken).run()

    with tempfile.TemporaryDirectory(prefix="fernweir-") as folder:
        result = asyncio.run(play(keep or Path(folder)))
    click.echo(render_table(result.auditor))
    click.echo(
        f"{result.steps} prints, {result.rows} rows, {result.commands} commands, {len(result.wrong)} wrong"
    )
    for text in result.wrong[:10]:
        click.echo(f"  {text}")
    click.echo("every print was correct" if result.good else "BROKEN")
    sys.exit(0 if result.good else 1)
