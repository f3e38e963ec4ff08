"""How much of a lease is left when its renewal comes, over sockets, by how the server answers.

python -m bench.leads [--sessions 200] [--phase NAME]
"""

from __future__ import annotations

import asyncio
import tempfile
from dataclasses import dataclass, replace
from pathlib import Path

import click
from hdrh.histogram import HdrHistogram

from fernweir.front.program import start_front
from fernweir.rehearsal.site import RehearsalSite, SitePlan
from fernweir.standin.entitlement import EntitlementServer
from fernweir.standin.leases import LeaseDesk
from fernweir.standin.site import SiteClass
from fernweir.standin.trace import Trace
from fernweir.standin.viewer import Viewers


@dataclass(frozen=True, slots=True)
class Phase:
    """Milliseconds; `away` is from and to in seconds after all play."""

    slow_ms: float
    ttl_ms: float
    play_s: float
    away: tuple[float, float] | None = None


PHASES = {
    "1x": Phase(20.0, 20_000.0, 50.0),
    "3x": Phase(60.0, 20_000.0, 50.0),
    "10x": Phase(200.0, 20_000.0, 50.0),
    "away 30 s": Phase(20.0, 90_000.0, 100.0, (20.0, 50.0)),
}
PLAN = SitePlan(
    boxes=8,
    streams=100,
    link_kb=40_000.0,
    classes=(SiteClass("briefing", deadline_ms=3000.0), SiteClass("training", deadline_ms=4000.0)),
)


async def run(phase: Phase, sessions: int, folder: Path) -> tuple[HdrHistogram, list[str], int, int]:
    loop = asyncio.get_running_loop()
    trace = Trace(None, loop.time)
    site = RehearsalSite(replace(PLAN, fronts=1), folder, trace, 1)
    await site.start()
    desk = LeaseDesk(ttl_ms=phase.ttl_ms, default=sessions)
    server = EntitlementServer(desk, site.keyring, trace, wall_offset_s=site.wall_offset_s)
    server.slow_ms = phase.slow_ms
    await server.start()
    extra = f"[entitlement]\nurl = {server.url}\nledger = seats\nlongest-lease = {phase.ttl_ms} ms"
    front = await start_front(site.config(0, extra=extra))
    assert front.gate is not None
    leads = HdrHistogram(1, 600_000, 3)
    front.gate.on_lease_renewed = lambda lead: leads.record_value(max(int(lead), 1))
    await front.list_follower.list_received.wait()
    await asyncio.sleep(1.0)
    viewers = Viewers({"front-0": front.address}, trace, 1, wall_offset_s=site.wall_offset_s)

    async def one(number: int) -> str:
        await asyncio.sleep(number * 0.02)
        wish = site.wish(f"v{number}", f"lesson-{number % PLAN.lessons}", play_s=phase.play_s)
        shown = await viewers.watch(wish)
        if shown.breaks:
            return "broken"
        return shown.ended or ("whole" if shown.played_s >= phase.play_s else "short")

    if phase.away is not None:
        loop.call_later(phase.away[0], setattr, server, "silent", True)
        loop.call_later(phase.away[1], setattr, server, "silent", False)
    ends = await asyncio.gather(*(one(number) for number in range(sessions)))
    counts = front.gate.seat_manager.metrics
    front.kill()
    server.stop()
    viewers.close()
    site.close()
    return leads, list(ends), counts.renewed, counts.retries


@click.command()
@click.option("--sessions", default=200, show_default=True)
@click.option("--phase", "only", type=click.Choice(list(PHASES)), help="One phase only.")
def main(sessions: int, only: str | None) -> None:
    """One line a phase: what was left of a lease at its renewal, as a share of its time."""
    for name, phase in PHASES.items():
        if only not in (None, name):
            continue
        with tempfile.TemporaryDirectory() as folder:
            leads, ends, renewed, repeats = asyncio.run(run(phase, sessions, Path(folder)))
        shares = [
            f"{label} {100.0 * value / phase.ttl_ms:.1f}%"
            for label, value in [
                ("least", leads.get_min_value()),
                ("p1", leads.get_value_at_percentile(1)),
                ("p10", leads.get_value_at_percentile(10)),
                ("p50", leads.get_value_at_percentile(50)),
                ("most", leads.get_max_value()),
            ]
        ]
        sorts = ", ".join(f"{ends.count(sort)} {sort}" for sort in sorted(set(ends)))
        print(f"{name:>10}: {renewed} renewals, {repeats} repeats; left: {', '.join(shares)}; {sorts}")


if __name__ == "__main__":
    main()
