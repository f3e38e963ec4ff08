"""Commands for a single front: serve, check-config, audit, replay, new-keys."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

import click

from fernweir.audit import TraceError, audit_lines, render_table
from fernweir.config import ConfigError, load_front
from fernweir.front.logs import set_up_logs
from fernweir.front.program import read_keyring, serve
from fernweir.front.record import RecordError, replay
from fernweir.tokens.key_generation import generate_key_set

_FILE = click.Path(path_type=Path, dir_okay=False)


@click.command("serve")
@click.argument("settings", type=_FILE)
@click.option("--until-eof", is_flag=True, hidden=True, help="Stop when standard input ends.")
def serve_command(settings: Path, until_eof: bool) -> None:
    """Run a front with SETTINGS until SIGTERM.

    Exit code 0: all accepted requests were answered. 1: some were not. 2: the settings are invalid.
    """
    try:
        config = load_front(settings)
        set_up_logs(config.log.format, config.log.level)
        code = asyncio.run(serve(config, until_eof=until_eof))
    except ConfigError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    except OSError as error:
        click.echo(f"fernweir: {error}", err=True)
        sys.exit(2)
    sys.exit(code)


@click.command("check-config")
@click.argument("settings", type=_FILE)
def check_config(settings: Path) -> None:
    """Check SETTINGS and the keys that they refer to, and list every mistake."""
    try:
        config = load_front(settings)
        keyring = read_keyring(config)
    except ConfigError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    classes = ", ".join(config.class_names)
    click.echo(
        f"{settings}: good; front {config.front.name}, classes {classes}, keys {', '.join(keyring.key_ids)}"
    )


@click.command("audit")
@click.argument("trace", type=_FILE)
def audit_command(trace: Path) -> None:
    """Check the six rules against a TRACE. Exit code 1 if one is violated, 2 if the trace can't be read."""
    try:
        with open(trace, encoding="utf-8") as file:
            auditor = audit_lines(file)
    except (OSError, TraceError) as error:
        click.echo(f"{trace}: {error}", err=True)
        sys.exit(2)
    click.echo(render_table(auditor))
    sys.exit(1 if auditor.findings else 0)


@click.command("replay")
@click.argument("record", type=_FILE)
def replay_command(record: Path) -> None:
    """Replay a front's RECORD on a new instance. Exit code 1 if its decisions differ."""
    try:
        with open(record, encoding="utf-8") as file:
            count, difference = replay(file)
    except (OSError, RecordError) as error:
        click.echo(f"{record}: {error}", err=True)
        sys.exit(2)
    click.echo(difference or f"{count} batches, all decisions are the same")
    sys.exit(1 if difference else 0)


@click.command("new-keys")
@click.argument("file", type=_FILE)
@click.option("--kid", "kids", multiple=True, default=("k1",), show_default=True, help="Id of a key; repeat.")
def new_keys(file: Path, kids: tuple[str, ...]) -> None:
    """Write a JWK Set of new secrets to FILE, readable by its owner only."""
    try:
        descriptor = os.open(file, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
    except FileExistsError:
        click.echo(f"{file}: already exists", err=True)
        sys.exit(2)
    with open(descriptor, "w", encoding="utf-8") as out:
        out.write(generate_key_set(*kids) + "\n")
