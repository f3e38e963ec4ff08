"""Commands that look at a unit or a front: the console, its scripts, and single questions."""

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


_as_operator = click.option("--operator", default=_operator, help="Your name in the journal; the login's.")


def _with_link(where: Path, operator: str, do: Callable[[ConsoleClient], Awaitable[None]]) -> None:
    """Exit code 1 if something was refused, 2 if nobody answers."""

    async def run() -> None:
        link = ConsoleClient(where, operator)
        link.start()
        try:
            await link.client.wait_ready()
            await do(link)
        finally:
            link.close()

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
@click.option("--script", type=_FILE, help="Run this file's lines without a screen; - for standard input.")
@click.option("--columns", default=80, show_default=True, type=click.IntRange(40, 400))
@_as_operator
def console(where: Path, script: Path | None, columns: int, operator: str) -> None:
    """The console of WHERE: a unit's folder, or a front's control socket."""
    if script is None:
        if not sys.stdout.isatty():
            click.echo("fernweir: no terminal here; use --script, or `fernweir ask`", err=True)
            sys.exit(2)
        from fernweir.console.app import run_console

        run_console(where, operator)
        return
    text = sys.stdin.read() if str(script) == "-" else script.read_text(encoding="utf-8")

    async def run(link: ConsoleClient) -> None:
        await ScriptRunner(link, click.echo, columns).run(text)

    _with_link(where, operator, run)


@click.group("ask")
def ask() -> None:
    """A single question to, or command for, a unit or a front."""


def _question(name: str) -> None:
    @ask.command(name, help=f"The view `{name}`; --json: as data.")
    @click.argument("where", type=_WHERE)
    @click.option("--json", "as_json", is_flag=True)
    @click.option("--search", default="")
    @click.option("--sort", default="")
    @click.option("--columns", default=80, type=click.IntRange(40, 400))
    @_as_operator
    def command(where: Path, as_json: bool, search: str, sort: str, columns: int, operator: str) -> None:
        async def run(link: ConsoleClient) -> None:
            shown = await link.wait_synced()
            if as_json:
                click.echo(json.dumps(await _data(link, name), indent=1))
                return
            view = VIEWS[name](shown, RowFilter(search, sort), columns)
            click.echo("\n".join([*view.head, *view.rows]))

        _with_link(where, operator, run)


async def _data(link: ConsoleClient, name: str) -> Any:
    if name == "overview":
        answer = await link.client.ask("overview")
        answer.pop("id")
        return {**answer, "gauges": (await link.client.ask("gauges"))["gauges"]}
    if name in ("sessions", "boxes"):
        rows: list[Any] = []
        after: dict[str, Any] = {}
        while True:
            page = await link.client.ask(name, limit=500, **after)
            rows += page["rows"]
            if "next" not in page:
                return rows
            after = {"after": page["next"]}
    if name == "refusals":
        return (await link.client.ask("overview"))["refusals"]
    return (await link.client.ask("events", limit=500))["rows"]


for _name in VIEWS:
    _question(_name)


@ask.command("why")
@click.argument("where", type=_WHERE)
@click.argument("session")
@click.option("--json", "as_json", is_flag=True)
@_as_operator
def why_command(where: Path, session: str, as_json: bool, operator: str) -> None:
    """All that the journal has on one session."""

    async def run(link: ConsoleClient) -> None:
        rows = (await link.client.ask("why", session=session))["rows"]
        if as_json:
            click.echo(json.dumps(rows))
        else:
            click.echo("\n".join(views.why([from_row(row) for row in rows], 100).rows))

    _with_link(where, operator, run)


@ask.command("unit")
@click.argument("where", type=_WHERE)
@_as_operator
def unit_command(where: Path, operator: str) -> None:
    """The processes of a unit."""

    async def run(link: ConsoleClient) -> None:
        unit = (await link.client.ask("unit"))["unit"]
        for one in unit.get("children", []):
            end = f"  last: {one['last_end']}" if one["last_end"] else ""
            click.echo(f"{one['name']:<10} {one['state']:<9} started {one['starts']}x  pid {one['pid']}{end}")

    _with_link(where, operator, run)


@ask.command("do", context_settings={"ignore_unknown_options": False})
@click.argument("where", type=_WHERE)
@click.argument("words", nargs=-1, required=True)
@click.option("--yes", is_flag=True, help="Do it whatever it costs.")
@_as_operator
def do_command(where: Path, words: tuple[str, ...], yes: bool, operator: str) -> None:
    """Carry out a command, as a line of a console script: `do ROOT drain 3 "fan is loud"`."""

    async def run(link: ConsoleClient) -> None:
        runner = ScriptRunner(link, click.echo, how_to_confirm="say --yes to do it all the same")
        line = " ".join(f'"{word}"' if " " in word else word for word in words)
        await runner.run(line)
        if yes and runner.results and runner.results[-1]["outcome"] == "confirm":
            await runner.run("confirm")
        if runner.results and runner.results[-1]["outcome"] in ("confirm", "refused"):
            raise ScriptError("not done")

    _with_link(where, operator, run)
