"""Commands of a unit: init, run, doctor, backup, restore."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import click

from fernweir.appliance.backup import back_up, check
from fernweir.appliance.backup import restore as put_back
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
    """Make and run a unit: one folder, one process that runs a site's fronts."""


@appliance.command("init")
@click.argument("root", type=_ROOT)
@click.option("--name", help="The unit's name; asked for if left out.")
@click.option("--fronts", default=1, show_default=True, type=click.IntRange(1, 32))
@click.option("--host", default="127.0.0.1", show_default=True, help="Address to listen on.")
@click.option("--port", default=8100, show_default=True, type=click.IntRange(0, 65_000),
              help="First port; those after it are used too. 0: free ones.")  # fmt: skip
@click.option("--list", "list_url", help="Where the list of boxes is, http://host:port/path.")
@click.option("--trial-boxes", default=0, type=click.IntRange(0, 64), help="Simulated boxes to try with.")
@click.option("--issuer", default="entitlement", show_default=True, help="Who issues session tokens.")
@click.option("--operator", "operators", multiple=True, help="May act at the console; repeat. None: all.")
def init(
    root: Path, name: str | None, fronts: int, host: str, port: int, list_url: str | None, trial_boxes: int,
    issuer: str, operators: tuple[str, ...],
) -> None:  # fmt: skip
    """Make a unit in ROOT: settings, keys, state, a service file."""
    if name is None:
        name = click.prompt("Name of the unit", default=root.absolute().name)
    if not trial_boxes and list_url is None:
        list_url = click.prompt("Where the list of boxes is (empty: try with 4 simulated boxes)", default="")
        trial_boxes = 0 if list_url else 4
    wish = UnitOptions(name, fronts, host, port, trial_boxes, list_url or "", issuer, operators)
    try:
        made = create_unit(root, wish)
    except UnitError as error:
        _fail(error)
    for file in made:
        click.echo(f"  {file}")
    click.echo(f"Made. Run it:      fernweir appliance run {root}")
    click.echo(f"Then look at it:   fernweir console {root}")


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
    """Look the unit in ROOT over and name what is wrong. Exit code 1 if something is."""
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
    """Write a backup of the unit in ROOT to FILE, also while it runs. It holds the keys: guard it."""
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
    """Put the backup in FILE in the place of ROOT, which must not run."""
    try:
        if only_check:
            manifest, files = check(file)
            click.echo(f"{len(files)} files, format {manifest['format']}, all as their checksums say")
            return
        for done in put_back(root, file):
            click.echo(done)
    except UnitError as error:
        _fail(error)
