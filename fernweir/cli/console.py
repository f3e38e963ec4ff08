"""Commands that connect to a unit or a front: the console, its scripts, and single queries."""

from __future__ import annotations

import asyncio
import getpass
import json
import re
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import click

from fernweir.console import views
from fernweir.console.client import ConsoleClient
from fernweir.console.script import ScriptError, ScriptRunner
from fernweir.console.views import VIEWS, RowFilter
from fernweir.control.client import ControlError
from fernweir.journal.events import from_row

_WHERE = click.Path(path_type=Path, exists=True)
_FILE = click.Path(path_type=Path, dir_okay=False, exists=True, allow_dash=True)


def _operator() -> str:
    name = re.sub(r"[^A-Za-z0-9._@-]", "-", getpass.getuser())
    return name if name[:1].isalnum() else "operator"


_as_operator = click.option(
    "--operator", default=_operator, help="Your name in the journal; default: the login name."
)


def _with_connection(where: Path, operator: str, action: Callable[[ConsoleClient], Awaitable[None]]) -> None:
    """Runs `action` with a connection; exits with 1 if a command was refused, 2 without a connection."""

    async def run() -> None:
        connection = ConsoleClient(where, operator)
        connection.start()
        try:
            await connection.client.wait_ready()
            await action(connection)
        finally:
            connection.close()

    try:
        asyncio.run(run())
    except ScriptError as error:
        click.echo(f"fernweir: {error}", err=True)
        sys.exit(1)
    except ControlError as error:
        click.echo(f"fernweir: {error}", err=True)
        sys.exit(2)


@click.command("console")
@click.argument("where", type=_WHERE)
@click.option(
    "--script", type=_FILE, help="Run the lines of this file without a screen; - for standard input."
)
@click.option("--columns", default=80, show_default=True, type=click.IntRange(40, 400))
@_as_operator
def console(where: Path, script: Path | None, columns: int, operator: str) -> None:
    """The console of WHERE: a unit's folder, or a front's control socket."""
    if script is None:
        if not sys.stdout.isatty():
            click.echo(
                "fernweir: standard output is not a terminal; use --script, or `fernweir ask`", err=True
            )
            sys.exit(2)
        from fernweir.console.app import run_console

        run_console(where, operator)
        return
    text = sys.stdin.read() if str(script) == "-" else script.read_text(encoding="utf-8")

    async def run(connection: ConsoleClient) -> None:
        await ScriptRunner(connection, click.echo, columns).run(text)

    _with_connection(where, operator, run)


@click.group("ask")
def ask() -> None:
    """Send a single query or command to a unit or a front."""


def _add_view_command(name: str) -> None:
    """Adds the subcommand of `ask` that prints the view `name`."""

    @ask.command(name, help=f"Print the view `{name}`; with --json as data.")
    @click.argument("where", type=_WHERE)
    @click.option("--json", "as_json", is_flag=True)
    @click.option("--search", default="")
    @click.option("--sort", default="")
    @click.option("--columns", default=80, type=click.IntRange(40, 400))
    @_as_operator
    def command(where: Path, as_json: bool, search: str, sort: str, columns: int, operator: str) -> None:
        async def run(connection: ConsoleClient) -> None:
            projection = await connection.wait_synced()
            if as_json:
                click.echo(json.dumps(await _data(connection, name), indent=1))
                return
            view = VIEWS[name](projection, RowFilter(search, sort), columns)
            click.echo("\n".join([*view.head, *view.rows]))

        _with_connection(where, operator, run)


async def _data(connection: ConsoleClient, name: str) -> Any:
    if name == "overview":
        reply = await connection.client.ask("overview")
        reply.pop("id")
        return {**reply, "gauges": (await connection.client.ask("gauges"))["gauges"]}
    if name in ("sessions", "boxes"):
        rows: list[Any] = []
        after: dict[str, Any] = {}
        while True:
            page = await connection.client.ask(name, limit=500, **after)
            rows += page["rows"]
            if "next" not in page:
                return rows
            after = {"after": page["next"]}
    if name == "refusals":
        return (await connection.client.ask("overview"))["refusals"]
    return (await connection.client.ask("events", limit=500))["rows"]


for _name in VIEWS:
    _add_view_command(_name)


@ask.command("why")
@click.argument("where", type=_WHERE)
@click.argument("session")
@click.option("--json", "as_json", is_flag=True)
@_as_operator
def why_command(where: Path, session: str, as_json: bool, operator: str) -> None:
    """Print all journal entries of a session."""

    async def run(connection: ConsoleClient) -> None:
        rows = (await connection.client.ask("why", session=session))["rows"]
        if as_json:
            click.echo(json.dumps(rows))
        else:
            click.echo("\n".join(views.why([from_row(row) for row in rows], 100).rows))

    _with_connection(where, operator, run)


@ask.command("unit")
@click.argument("where", type=_WHERE)
@_as_operator
def unit_command(where: Path, operator: str) -> None:
    """Print the processes of a unit."""

    async def run(connection: ConsoleClient) -> None:
        unit = (await connection.client.ask("unit"))["unit"]
        for child in unit.get("children", []):
            end = f"  last: {child['last_end']}" if child["last_end"] else ""
            click.echo(
                f"{child['name']:<10} {child['state']:<9} started {child['starts']}x  pid {child['pid']}{end}"
            )

    _with_connection(where, operator, run)


@ask.command("do", context_settings={"ignore_unknown_options": False})
@click.argument("where", type=_WHERE)
@click.argument("words", nargs=-1, required=True)
@click.option("--yes", is_flag=True, help="Confirm the command whatever its impact.")
@_as_operator
def do_command(where: Path, words: tuple[str, ...], yes: bool, operator: str) -> None:
    """Run a command, written as in a console script: `do ROOT drain 3 "fan is loud"`."""

    async def run(connection: ConsoleClient) -> None:
        runner = ScriptRunner(connection, click.echo, how_to_confirm="use --yes to run it anyway")
        line = " ".join(f'"{word}"' if " " in word else word for word in words)
        await runner.run(line)
        if yes and runner.results and runner.results[-1]["outcome"] == "confirm":
            await runner.run("confirm")
        if runner.results and runner.results[-1]["outcome"] in ("confirm", "refused"):
            raise ScriptError("the command was not carried out")

    _with_connection(where, operator, run)
