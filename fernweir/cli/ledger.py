"""Offline commands on a seat log; the front that owns it must not run."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from dataclasses import asdict
from functools import wraps
from pathlib import Path

import click

from fernweir.seats.files import DiskFiles
from fernweir.seats.log import LogError, Recovered, compact, recover
from fernweir.seats.records import RecordError, Table, encode_table, fold_all

_FOLDER = click.Path(path_type=Path, file_okay=False, exists=True)


def _read(folder: Path) -> tuple[DiskFiles, Recovered, Table]:
    files = DiskFiles(folder)
    found = recover(files)
    return files, found, fold_all(found.snapshot, found.records)


def _reporting(command: Callable[[Path], None]) -> Callable[[Path], None]:
    @wraps(command)
    def run(folder: Path) -> None:
        try:
            command(folder)
        except (LogError, RecordError, OSError) as error:
            click.echo(f"{folder}: {error}", err=True)
            sys.exit(2)

    return run


@click.group()
def ledger() -> None:
    """Look into the seat log of a front that does not run."""


@ledger.command("verify")
@click.argument("folder", type=_FOLDER)
@_reporting
def verify(folder: Path) -> None:
    """Check every record. Exit code 2 if something is damaged; a torn tail is normal after a crash."""
    _, found, table = _read(folder)
    held = sum(bool(seat.lease) for seat in table.values())
    click.echo(f"{len(found.records)} records after the snapshot, newest {found.last}")
    click.echo(f"{len(table)} seats, {held} held")
    if found.torn_in:
        click.echo(f"{found.torn_in}: a torn tail of {found.torn_bytes} bytes, cut off at the next start")


@ledger.command("dump")
@click.argument("folder", type=_FOLDER)
@_reporting
def dump(folder: Path) -> None:
    """Print each seat as a line of JSON."""
    for seat in _read(folder)[2].values():
        click.echo(json.dumps(asdict(seat)))


@ledger.command("compact")
@click.argument("folder", type=_FOLDER)
@_reporting
def compact_command(folder: Path) -> None:
    """Replace all records by one snapshot of what they come to."""
    files, found, table = _read(folder)
    compact(files, encode_table(table), found.last)
    click.echo(f"{len(found.records)} records became one snapshot of {len(table)} seats")
