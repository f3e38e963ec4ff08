"""Commands for a unit: init, run, doctor, backup, restore."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import click

from fernweir.appliance.backup import back_up, check
from fernweir.appliance.backup import restore as restore_backup
from fernweir.appliance.doctor import Grade, diagnose_unit
from fernweir.appliance.layout import UnitError, load_unit
from fernweir.appliance.make import UnitOptions, create_unit
from fernweir.appliance.unit import run_unit
from fernweir.config.ini import ConfigError
from fernweir.front.logs import set_up_logs

_ROOT = click.Path(path_type=Path, file_okay=False)
_FILE = click.Path(path_type=Path, dir_okay=False)


def _fail(error: Exception) -> None:
    click.echo(f"fernweir: {error}", err=True)
    sys.exit(2)


@click.group()
def appliance() -> None:
    """Create and run a unit: a folder, and a process that runs the fronts of a site."""


@appliance.command("init")
@click.argument("root", type=_ROOT)
@click.option("--name", help="The unit's name; prompted for if omitted.")
@click.option("--fronts", default=1, show_default=True, type=click.IntRange(1, 32))
@click.option("--host", default="127.0.0.1", show_default=True, help="Address to listen on.")
@click.option("--port", default=8100, show_default=True, type=click.IntRange(0, 65_000),
              help="First port; the following ones are used too. 0: any free ports.")  # fmt: skip
@click.option("--list", "list_url", help="URL of the server list, http://host:port/path.")
@click.option(
    "--trial-boxes", default=0, type=click.IntRange(0, 64), help="Number of simulated servers for a trial."
)
@click.option("--issuer", default="entitlement", show_default=True, help="Issuer of the session tokens.")
@click.option(
    "--operator", "operators", multiple=True, help="Name that may give commands; repeat. Default: everyone."
)
def init(
    root: Path, name: str | None, fronts: int, host: str, port: int, list_url: str | None, trial_boxes: int,
    issuer: str, operators: tuple[str, ...],
) -> None:  # fmt: skip
    """Create a unit in ROOT: settings, keys, state and a service file."""
    if name is None:
        name = click.prompt("Name of the unit", default=root.absolute().name)
    if not trial_boxes and list_url is None:
        list_url = click.prompt("URL of the server list (empty: 4 simulated servers)", default="")
        trial_boxes = 0 if list_url else 4
    options = UnitOptions(name, fronts, host, port, trial_boxes, list_url or "", issuer, operators)
    try:
        files = create_unit(root, options)
    except UnitError as error:
        _fail(error)
    for file in files:
        click.echo(f"  {file}")
    click.echo(f"Created. Run it:   fernweir appliance run {root}")
    click.echo(f"Then watch it:     fernweir console {root}")


@appliance.command("run")
@click.argument("root", type=_ROOT)
@click.option("--format", "form", type=click.Choice(["json", "text"]), default="json", show_default=True)
def run(root: Path, form: str) -> None:
    """Run the unit in ROOT until SIGTERM. Exit code 2 if it can't start."""
    set_up_logs(form, "info")
    try:
        sys.exit(asyncio.run(run_unit(load_unit(root.absolute()))))
    except (UnitError, ConfigError, OSError) as error:
        _fail(error)


@appliance.command("doctor")
@click.argument("root", type=_ROOT)
def doctor(root: Path) -> None:
    """Check the unit in ROOT and report problems. Exit code 1 if there are any."""
    findings = diagnose_unit(root)
    for finding in findings:
        click.echo(f"{finding.grade:<5} {finding.subject:<12} {finding.message}")
        if finding.remedy:
            click.echo(f"{'':<18} -> {finding.remedy}")
    sys.exit(1 if any(finding.grade is Grade.BAD for finding in findings) else 0)


@appliance.command("backup")
@click.argument("root", type=_ROOT)
@click.argument("file", type=_FILE)
def backup(root: Path, file: Path) -> None:
    """Write a backup of the unit in ROOT to FILE, also while it runs. It contains the keys: protect it."""
    try:
        manifest = back_up(root, file)
    except UnitError as error:
        _fail(error)
    size = sum(one["size"] for one in manifest["files"].values())
    click.echo(f"{len(manifest['files'])} files, {size} bytes, format {manifest['format']}")


@appliance.command("restore")
@click.argument("root", type=_ROOT)
@click.argument("file", type=_FILE)
@click.option("--check", "only_check", is_flag=True, help="Only check FILE.")
def restore(root: Path, file: Path, only_check: bool) -> None:
    """Replace the unit in ROOT, which must not run, with the backup in FILE."""
    try:
        if only_check:
            manifest, files = check(file)
            click.echo(f"{len(files)} files, format {manifest['format']}, all checksums match")
            return
        for step in restore_backup(root, file):
            click.echo(step)
    except UnitError as error:
        _fail(error)
