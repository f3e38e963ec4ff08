"""Commands that run one simulated counterpart of a front: a server, the list server, or viewers."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import time
from pathlib import Path
from random import Random
from typing import Any

import click

from fernweir.front.program import stop_at_eof
from fernweir.standin.box import Behaviour, Box, BoxSpec
from fernweir.standin.listserver import Line, ListServer
from fernweir.standin.site import Rack, Site, SiteClass
from fernweir.standin.trace import Trace
from fernweir.standin.viewer import Viewers, Wish
from fernweir.tokens import Keyring, KeyringError, SessionClaims

_FILE = click.Path(path_type=Path, dir_okay=False, exists=True)


class _Address(click.ParamType[tuple[str, int]]):
    name = "host:port"

    def convert(
        self, value: Any, param: click.Parameter | None, ctx: click.Context | None
    ) -> tuple[str, int]:
        host, _, port = str(value).rpartition(":")
        if not host or not port.isdigit():
            self.fail(f"{value!r} is not host:port", param, ctx)
        return host, int(port)


def _keyring(path: Path) -> Keyring:
    try:
        return Keyring.from_json(path.read_text())
    except (OSError, KeyringError) as error:
        raise click.ClickException(f"{path}: {error}") from None


async def _wait_for_stop(until_eof: bool = False) -> None:
    stopping = asyncio.Event()
    if until_eof:
        stop_at_eof(stopping)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    await stopping.wait()


@click.group()
def standin() -> None:
    """Run one simulated server, list server or set of viewers. The trace goes to standard output."""


@standin.command("box")
@click.option("--number", default=1, show_default=True, help="The server's number in the list.")
@click.option("--listen", type=_Address(), default="127.0.0.1:0", show_default=True)
@click.option("--keys", type=_FILE, required=True, help="JWK Set that the fronts sign with.")
@click.option("--ladder", default="150,300,500,800,1200", show_default=True, help="Rates in kB/s.")
@click.option("--class", "classes", multiple=True, default=("briefing:1.4", "training:1.0"),
              show_default=True, help="NAME:SCALE, with the factor of the rates; repeat.")  # fmt: skip
@click.option("--link", default=12_000.0, show_default=True, help="Capacity of the link, kB/s.")
@click.option("--streams", default=30, show_default=True)
@click.option("--until-eof", is_flag=True, hidden=True)
@click.option(
    "--trace", type=click.Path(path_type=Path, dir_okay=False), help="Append the trace to this file."
)
@click.option(
    "--script", type=_FILE, help='JSON lines: {"at": SECONDS, "behaviour": {...}} or "do": "die"/"restart".'
)
def box_command(
    number: int, listen: tuple[str, int], keys: Path, ladder: str, classes: tuple[str, ...], link: float,
    streams: int, until_eof: bool, trace: Path | None, script: Path | None,
) -> None:  # fmt: skip
    """Run a simulated server."""
    try:
        rates = tuple(float(part) for part in ladder.split(","))
        site_classes = {
            name: SiteClass(name, float(scale)) for name, scale in (text.rsplit(":", 1) for text in classes)
        }
        steps = (
            [json.loads(line) for line in script.read_text().splitlines() if line.strip()] if script else []
        )
    except ValueError as error:
        raise click.ClickException(str(error)) from None

    async def run() -> None:
        loop = asyncio.get_running_loop()
        wall_offset_s = time.time() - loop.time()
        site = Site(rates, site_classes, _keyring(keys), [Rack(link)], wall_offset_s=wall_offset_s)
        out = sys.stdout if trace is None else open(trace, "a", encoding="utf-8", buffering=1)  # noqa: SIM115
        box = Box(BoxSpec(number, 0, link, streams), site, Trace(out, loop.time), number)
        box.address = listen
        await box.start()
        click.echo(f"box {number} listens on {box.address[0]}:{box.address[1]}", err=True)
        playing = asyncio.ensure_future(_play_script(box, steps))
        await _wait_for_stop(until_eof)
        playing.cancel()
        box.die("stopped")

    asyncio.run(run())


async def _play_script(box: Box, steps: list[dict[str, Any]]) -> None:
    started_at = asyncio.get_running_loop().time()
    for step in steps:
        await asyncio.sleep(max(started_at + float(step["at"]) - asyncio.get_running_loop().time(), 0.0))
        if "behaviour" in step:
            box.behaviour = Behaviour(**step["behaviour"])
        if step.get("do") == "die":
            box.die("script")
        elif step.get("do") == "restart":
            await box.start(cold=True)


@standin.command("list")
@click.argument("file", type=_FILE)
@click.option("--listen", type=_Address(), default="127.0.0.1:0", show_default=True)
@click.option("--keys", type=_FILE, required=True, help="JWK Set that the fronts sign with.")
@click.option("--until-eof", is_flag=True, hidden=True)
def list_command(file: Path, listen: tuple[str, int], keys: Path, until_eof: bool) -> None:
    """Run the list server; FILE is a list document (see docs/protocols.md), reloaded on SIGHUP."""

    def load() -> tuple[list[Line], list[dict[str, object]]]:
        document = json.loads(file.read_text())
        now = asyncio.get_running_loop().time()
        lines = [
            Line(
                row["box"], row["host"], row["port"], row.get("state", "ready"), row.get("boot", ""),
                now - row["age_s"] if "age_s" in row else None, row["cell"], row.get("kind", 0),
                row.get("weight", 1.0),
            )
            for row in document["boxes"]
        ]  # fmt: skip
        return lines, document.get("lessons", [])

    async def run() -> None:
        loop = asyncio.get_running_loop()
        trace = Trace(sys.stdout, loop.time)
        server = ListServer(_keyring(keys), trace, wall_offset_s=time.time() - loop.time())
        server.epoch = str(int(time.time()))
        server.address = listen

        def reload() -> None:
            try:
                lines, server.lessons = load()
            except (OSError, ValueError, KeyError, TypeError) as error:
                click.echo(f"{file}: not loaded: {error!r}", err=True)
                return
            server.replace(lines)

        reload()
        await server.start()
        click.echo(f"list of {len(server.lines)} boxes on {server.url}", err=True)
        loop.add_signal_handler(signal.SIGHUP, reload)
        await _wait_for_stop(until_eof)
        server.stop()

    asyncio.run(run())


@standin.command("viewer")
@click.option(
    "--front", "fronts", type=_Address(), multiple=True, required=True, help="Address of a front; repeat."
)
@click.option("--keys", type=_FILE, required=True, help="JWK Set of the token issuer.")
@click.option("--issuer", default="rehearsal", show_default=True)
@click.option("--title", required=True)
@click.option("--class", "cls", default="training", show_default=True)
@click.option("--top", default=4, show_default=True, help="Highest rung that the viewers can play.")
@click.option("--count", default=1, show_default=True)
@click.option("--rate", default=2.0, show_default=True, help="Viewers per second.")
@click.option("--play", default=5.0, show_default=True, help="Seconds that each viewer watches.")
@click.option(
    "--deadline", default=4000.0, show_default=True, help="Milliseconds that each viewer waits for an answer."
)
@click.option("--seed", default=1, show_default=True)
def viewer_command(
    fronts: tuple[tuple[str, int], ...], keys: Path, issuer: str, title: str, cls: str, top: int, count: int,
    rate: float, play: float, deadline: float, seed: int,
) -> None:  # fmt: skip
    """Run simulated viewers. Exit code 1 if one of them played nothing."""
    keyring = _keyring(keys)

    async def run() -> int:
        loop = asyncio.get_running_loop()
        rng = Random(seed)
        viewers = Viewers(
            {f"front-{index}": front for index, front in enumerate(fronts)},
            Trace(sys.stdout, loop.time),
            seed,
        )
        tasks = []
        for number in range(count):
            now = int(time.time())
            claims = SessionClaims(
                iss=issuer, aud="fernweir-front", iat=now, exp=now + 3600, sub=f"viewer-{number}",
                jti=f"v{seed}-{now}-{number}", title=title, cls=cls, top=top,
            )  # fmt: skip
            request = Wish(claims.jti, keyring.sign(claims), title, cls, play, deadline)
            tasks.append(asyncio.ensure_future(viewers.watch(request)))
            await asyncio.sleep(rng.expovariate(rate))
        results = await asyncio.gather(*tasks)
        viewers.close()
        click.echo(f"{sum(result.played_s > 0 for result in results)} of {count} played", err=True)
        return 0 if all(result.played_s > 0 for result in results) else 1

    sys.exit(asyncio.run(run()))
