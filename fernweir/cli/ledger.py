"""Offline commands for a seat log. The front that owns the log must not run."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from functools import wraps
from pathlib import Path

import click

from fernweir.seats.file_store import DiskFileStore
from fernweir.seats.log import LogError, RecoveredLog, compact_log, recover_log
from fernweir.seats.records import RecordError, SeatRecord, SeatTable, encode_table, rebuild_table

_FOLDER = click.Path(path_type=Path, file_okay=False, exists=True)


def _read(folder: Path) -> tuple[DiskFileStore, RecoveredLog, SeatTable]:
    files = DiskFileStore(folder)
    log = recover_log(files)
    return files, log, rebuild_table(log.snapshot, log.records)


def _seat_document(record: SeatRecord) -> dict[str, object]:
    """Returns a seat as `dump` prints it; the keys and their order are a fixed format."""
    return {
        "session": record.session_id,
        "generation": record.generation,
        "tenant": record.tenant,
        "lesson": record.title,
        "cls": record.class_name,
        "person": record.subject,
        "worth": record.priority_weight,
        "lease": record.lease_id,
        "fence": record.fence,
        "until": record.expires_at_s,
        "asked_at": record.requested_at_s,
    }


def _with_error_report(command: Callable[[Path], None]) -> Callable[[Path], None]:
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
    """Inspect or compact the seat log of a front that does not run."""


@ledger.command("verify")
@click.argument("folder", type=_FOLDER)
@_with_error_report
def verify(folder: Path) -> None:
    """Check every record. Exit code 2 if one is damaged; a torn tail is normal after a crash."""
    _, log, table = _read(folder)
    occupied = sum(bool(seat.lease_id) for seat in table.values())
    click.echo(f"{len(log.records)} records after the snapshot, newest {log.last_sequence}")
    click.echo(f"{len(table)} seats, {occupied} held")
    if log.torn_segment:
        click.echo(f"{log.torn_segment}: a torn tail of {log.torn_bytes} bytes, cut off at the next start")


@ledger.command("dump")
@click.argument("folder", type=_FOLDER)
@_with_error_report
def dump(folder: Path) -> None:
    """Print each seat as a line of JSON."""
    for seat in _read(folder)[2].values():
        click.echo(json.dumps(_seat_document(seat)))


@ledger.command("compact")
@click.argument("folder", type=_FOLDER)
@_with_error_report
def compact_command(folder: Path) -> None:
    """Replace all records with one snapshot of the seats that result from them."""
    files, log, table = _read(folder)
    compact_log(files, encode_table(table), log.last_sequence)
    click.echo(f"{len(log.records)} records became one snapshot of {len(table)} seats")
