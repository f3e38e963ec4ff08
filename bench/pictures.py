"""Draws the console's screens into docs/console, from a small site that is busy.

python -m bench.pictures [FOLDER]
"""

from __future__ import annotations

import asyncio
import tempfile
from dataclasses import replace
from pathlib import Path

import click

from fernweir.console.app import ConsoleApp
from fernweir.front.program import start_front
from fernweir.rehearsal.site import RehearsalSite, SitePlan
from fernweir.standin.trace import Trace
from fernweir.standin.viewer import Viewers


async def draw(folder: Path, out: Path) -> None:
    loop = asyncio.get_running_loop()
    trace = Trace(None, loop.time)
    site = RehearsalSite(replace(SitePlan(), boxes=6, fronts=1), folder, trace, 1)
    await site.start()
    extra = "[control]\nsocket = front.sock\norders = orders.json"
    front = await start_front(site.config(0, extra=extra))
    await front.list_follower.list_received.wait()
    await asyncio.sleep(0.5)
    viewers = Viewers({"front-0": front.address}, trace, 1, wall_offset_s=site.wall_offset_s)
    app = ConsoleApp(folder / "front.sock", "ann")
    async with app.run_test(size=(80, 24)) as pilot:
        for wave in range(3):
            wishes = [
                site.wish(f"s{wave}-{n:02d}", f"lesson-{n % 6}", "briefing" if n % 3 else "training")
                for n in range(30)
            ]
            await asyncio.gather(*(viewers.ask("front-0", wish) for wish in wishes))
            await asyncio.sleep(4.0)
        await pilot.press("3", "down", "d", *"fan is loud", "enter")
        await asyncio.sleep(0.5)
        for key, name in zip("12345", ("overview", "sessions", "boxes", "refusals", "log"), strict=True):
            await pilot.press(key)
            await pilot.pause()
            app.draw()
            await pilot.pause()
            (out / f"{name}.svg").write_text(app.export_screenshot(title=f"fernweir console: {name}"))
        await pilot.press("2", "w")
        await asyncio.sleep(0.3)
        await pilot.pause()
        (out / "why.svg").write_text(app.export_screenshot(title="fernweir console: why"))
    front.kill()
    viewers.close()
    site.close()


@click.command()
@click.argument("out", type=click.Path(path_type=Path, file_okay=False), default="docs/console")
def main(out: Path) -> None:
    """Write one SVG for each screen to OUT."""
    out.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory(prefix="fw-") as folder:
        asyncio.run(draw(Path(folder), out))
    for path in sorted(out.glob("*.svg")):
        click.echo(f"{path} {path.stat().st_size}")


if __name__ == "__main__":
    main()
