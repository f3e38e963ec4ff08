"""A front with peers against one without, both real, beside the same fleet, in the same run.

All peers are real front processes that stand idle. Both measured fronts see the same boxes; in each round
either is pinned in turn to one processor and driven, with the other pinned elsewhere.
"""

from __future__ import annotations

import asyncio
import multiprocessing
import os
import secrets
import statistics
import tempfile
import time
from contextlib import suppress
from dataclasses import replace
from pathlib import Path

from bench.front import cpu_of, load, pin, run_boxes, targets_for
from fernweir.rehearsal.badday import free_port
from fernweir.rehearsal.fleet.plan import KEY_FILE, PeerPlan
from fernweir.rehearsal.fleet.process import FrontProcess
from fernweir.rehearsal.relay import free_pair
from fernweir.rehearsal.site import RehearsalSite, SitePlan
from fernweir.standin.site import SiteTimes
from fernweir.standin.trace import Trace

Rows = dict[str, list[dict[str, float]]]
_ROUNDS = 4
_MEASURED, _ELSEWHERE = 1, 7
_AT_ONCE = 8  # processes started side by side


def run_cost(peers: int, seconds: float) -> Rows:
    """Figures by front and round; `seconds` is for all rounds together."""
    return asyncio.run(_measure(peers, max(seconds / _ROUNDS / 4.0, 1.0)))


async def _measure(peers: int, span: float) -> Rows:
    plan = SitePlan(
        boxes=16, racks=2, fronts=peers + 2, lessons=8, copies=4, link_kb=4e7, streams=1_000_000, cold=None,
        times=SiteTimes(set_up=(0.0, 0.0), idle=600_000.0, orphan=600_000.0, heirless=600_000.0),
    )  # fmt: skip
    plan = replace(plan, classes=tuple(replace(one, seats=0) for one in plan.classes))
    loop = asyncio.get_running_loop()
    children: list[multiprocessing.process.BaseProcess] = []
    fronts: list[FrontProcess] = []
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        site = RehearsalSite(plan, folder, Trace(None, loop.time), 1)
        try:
            await _boxes(site, folder, children)
            fronts = _fronts(site, folder, peers)
            for begin in range(0, len(fronts), _AT_ONCE):
                await asyncio.gather(*(front.start() for front in fronts[begin : begin + _AT_ONCE]))
            _place(fronts)
            await asyncio.sleep(max(3.0, peers * 0.1))  # until all know all
            alone, peered = fronts[:2]
            rows: Rows = {"without peers": [], f"with {peers} peers": []}
            for number in range(_ROUNDS):
                turns = [(alone, rows["without peers"]), (peered, rows[f"with {peers} peers"])]
                for front, found in turns if number % 2 else reversed(turns):
                    other = peered if front is alone else alone
                    os.sched_setaffinity(front.pid, {_MEASURED % (os.cpu_count() or 1)})
                    os.sched_setaffinity(other.pid, {_ELSEWHERE % (os.cpu_count() or 1)})
                    found.append(await _round(site, front, f"{front.name}-{number}", span))
            return rows
        finally:
            await asyncio.gather(*(front.end() for front in fronts))
            for child in children:
                child.kill()
            site.list.stop()


def _place(fronts: list[FrontProcess]) -> None:
    """The driver has a processor of its own, and so has the front that is driven; the idle ones share."""
    pin(0)
    count = os.cpu_count() or 1
    others = set(range(count)) - {0, _MEASURED % count, _ELSEWHERE % count} or {0}
    for front in fronts[2:]:
        os.sched_setaffinity(front.pid, others)


async def _boxes(
    site: RehearsalSite, folder: Path, children: list[multiprocessing.process.BaseProcess]
) -> None:
    """The boxes in three processes, and their list."""
    context = multiprocessing.get_context("spawn")
    keys = (folder / "keys.json").read_text()
    offset = time.time() - asyncio.get_running_loop().time()
    for index in range(3):
        numbers = [number for number in site.boxes if number % 3 == index]
        mine, theirs = context.Pipe()
        child = context.Process(target=run_boxes, args=(keys, numbers, site.plan, offset, 3 + index, theirs))
        child.start()
        children.append(child)
        while not mine.poll():
            await asyncio.sleep(0.02)
        for number, address in mine.recv().items():
            site.boxes[number].address = address
    await site.list.start()
    site.list.put(*(site.line(number) for number in site.boxes))


def _fronts(site: RehearsalSite, folder: Path, peers: int) -> list[FrontProcess]:
    """The first has no peers; all others are a fleet without a relay between them."""
    (folder / KEY_FILE).write_text(secrets.token_hex(32) + "\n")
    listen = {number: free_pair(f"127.0.1.{number}") for number in range(1, peers + 2)}
    found = []
    for number in range(peers + 2):
        lines = PeerPlan().lines(number, peers + 1, listen[number], listen) if number else ""
        port = free_port()
        path = site.settings(number, port, lines)
        found.append(FrontProcess(number, path, ("127.0.0.1", port), site.trace))
    return found


def _cpu(pid: int) -> tuple[float, float]:
    """CPU seconds by the scheduler's own count, finer than ticks, and resident MB."""
    with open(f"/proc/{pid}/schedstat", encoding="ascii") as file:
        return int(file.read().split()[0]) / 1e9, cpu_of(pid)[1]


async def _round(site: RehearsalSite, front: FrontProcess, name: str, span: float) -> dict[str, float]:
    origin = front.origin
    await load(origin, targets_for(site, 16, f"warm-{name}"), None, 2.0, 4)
    begun, _ = _cpu(front.pid)
    await asyncio.sleep(span)
    idle, memory = _cpu(front.pid)
    slow, slow_times = await load(
        origin, targets_for(site, int(33 * span * 2), f"slow-{name}"), 33.0, span * 2
    )
    at_33, _ = _cpu(front.pid)
    fast, fast_times = await load(origin, targets_for(site, int(2_500 * span), f"fast-{name}"), None, span)
    full, held = _cpu(front.pid)
    answers = fast["plays"] + fast["other"]
    return {
        "idle ms/s": (idle - begun) / span * 1e3,
        "33/s us/set-up": (at_33 - idle) / max(slow["plays"] + slow["other"], 1.0) * 1e6,
        "33/s p99 ms": slow_times.get_value_at_percentile(99) / 1000,
        "full us/set-up": (full - at_33) / max(answers, 1.0) * 1e6,
        "full p99 ms": fast_times.get_value_at_percentile(99) / 1000,
        "answers/s": answers / fast["seconds"],
        "broken": slow["broken"] + fast["broken"],
        "MB": memory,
        "MB held": held,
    }


def render_cost(rows: Rows) -> str:
    """The median of each figure over the rounds, and the second row against the first."""
    names = list(next(iter(rows.values()))[0])
    out = [f"{'':<18}" + "".join(f"{name:>16}" for name in names)]
    medians = {}
    for label, rounds in rows.items():
        medians[label] = {name: statistics.median(one[name] for one in rounds) for name in names}
        out.append(f"{label:<18}" + "".join(f"{medians[label][name]:>16.2f}" for name in names))
    first, second = medians.values()
    changes = []
    for name in names:
        text = f"{second[name] - first[name]:+.2f}"
        with suppress(ZeroDivisionError):
            if "us/" in name:
                text = f"{(second[name] / first[name] - 1.0) * 100.0:+.1f}%"
        changes.append(f"{text:>16}")
    out.append(f"{'difference':<18}" + "".join(changes))
    return "\n".join(out)
