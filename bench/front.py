"""What the front can do on one core: set-ups a second, time added, CPU and memory a session.

The front runs in a process of its own, pinned to one processor where the system allows it. Simulated boxes
and the load live in this process and its children. A bare BufferedProtocol responder is measured by the
same load in the same run, so that figures can be read as ratios.

    python -m bench.front [--boxes 16,60,200] [--seconds 5] [--profile FILE]
"""

from __future__ import annotations

import asyncio
import multiprocessing
import os
import resource
import signal
import sys
import tempfile
import time
from dataclasses import replace
from pathlib import Path

import click
from hdrh.histogram import HdrHistogram

from fernweir.front.logs import set_up_logs
from fernweir.front.program import serve
from fernweir.http.client import Outcome, Pool, Reply
from fernweir.http.server import Exchange, Server
from fernweir.rehearsal.badday import free_port
from fernweir.rehearsal.site import RehearsalSite, SitePlan
from fernweir.standin.box import Box, BoxSpec
from fernweir.standin.site import Rack, Site, SiteTimes
from fernweir.standin.trace import Trace
from fernweir.tokens import Keyring

Figures = dict[str, float]


def pin(processor: int) -> None:
    if hasattr(os, "sched_setaffinity") and processor < (os.cpu_count() or 1):
        os.sched_setaffinity(0, {processor})


def run_front(settings: str, profile: str) -> None:
    """The child: one front until SIGTERM."""
    from fernweir.config import load_front

    pin(1)
    set_up_logs("json", os.environ.get("BENCH_LOG", "error"))
    if profile:
        import cProfile

        profiler = cProfile.Profile()
        profiler.enable()
        asyncio.run(serve(load_front(Path(settings))))
        profiler.disable()
        profiler.dump_stats(profile)
    else:
        asyncio.run(serve(load_front(Path(settings))))


def run_boxes(
    keys: str, numbers: list[int], plan: SitePlan, offset: float, processor: int, pipe: object
) -> None:
    """A child with some of the simulated boxes."""
    pin(processor)

    async def run() -> None:
        loop = asyncio.get_running_loop()
        site = Site(
            plan.ladder_kb, {one.name: one for one in plan.classes}, Keyring.from_json(keys),
            [Rack(1e9) for _ in range(plan.racks)], times=plan.times, wall_offset_s=offset,
        )  # fmt: skip
        ports = {}
        for number in numbers:
            spec = BoxSpec(number, (number - 1) % plan.racks, 1e9, 1_000_000, cell=number - 1)
            box = Box(spec, site, Trace(None, loop.time), 1)
            await box.start()
            ports[number] = box.address
        pipe.send(ports)  # type: ignore[attr-defined]
        await asyncio.Event().wait()

    asyncio.run(run())


def run_bare(port: int, body: int) -> None:
    """The child that answers everything at once with as many bytes as a manifest has."""
    pin(1)

    async def run() -> None:
        answer = b"x" * body

        def handle(exchange: Exchange) -> None:
            exchange.respond(200, [("content-type", "application/dash+xml")], answer)

        server = Server(handle)
        await server.listen("127.0.0.1", port)
        await asyncio.Event().wait()

    asyncio.run(run())


class Bare(asyncio.BufferedProtocol):
    """The least that answers: no parser at all."""

    ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 1500\r\n\r\n" + b"x" * 1500

    def __init__(self) -> None:
        self.buffer = bytearray(65_536)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def get_buffer(self, sizehint: int) -> bytearray:
        return self.buffer

    def buffer_updated(self, nbytes: int) -> None:
        for _ in range(self.buffer[:nbytes].count(b"\r\n\r\n")):
            self.transport.write(self.ANSWER)


def run_barest(port: int) -> None:
    pin(1)

    async def run() -> None:
        await asyncio.get_running_loop().create_server(Bare, "127.0.0.1", port)
        await asyncio.Event().wait()

    asyncio.run(run())


async def load(
    origin: tuple[str, int], targets: list[str], rate: float | None, seconds: float, workers: int = 64
) -> tuple[Figures, HdrHistogram]:
    """Asks until the time is over: as fast as answers come, or at a fixed rate (open loop).

    At a fixed rate an answer's time counts from when its request was due, not from when it was sent.
    """
    loop = asyncio.get_running_loop()
    pool = Pool(per_origin=workers)
    times = HdrHistogram(1, 60_000_000, 3)
    counts = {"plays": 0, "other": 0, "broken": 0}
    left = list(reversed(targets))
    begun = loop.time()
    over = loop.create_future()
    out = 0

    def send(due: float) -> None:
        nonlocal out
        if not left or loop.time() - begun > seconds:
            finish()
            return
        out += 1

        def done(reply: Reply) -> None:
            nonlocal out
            out -= 1
            kind = "plays" if reply.status == 200 else "other"
            counts["broken" if reply.outcome is not Outcome.ANSWERED else kind] += 1
            times.record_value(max(int((loop.time() - due) * 1e6), 1))
            if rate is None:
                send(loop.time())
            else:
                finish()

        pool.request(origin, "GET", left.pop(), done, timeout_s=10.0)

    def finish() -> None:
        if out == 0 and not over.done() and (not left or loop.time() - begun > seconds):
            over.set_result(None)

    if rate is None:
        for _ in range(workers):
            send(loop.time())
    else:
        count = min(int(rate * seconds), len(left))
        for index in range(count):
            due = begun + index / rate
            loop.call_at(due, send, due)
        loop.call_at(begun + count / rate + 0.01, finish)
    await over
    took = loop.time() - begun
    pool.close()
    return {**{name: float(count) for name, count in counts.items()}, "seconds": took}, times


def cpu_of(pid: int) -> tuple[float, float]:
    """CPU seconds used and resident MB of a process."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    with open(f"/proc/{pid}/statm", encoding="ascii") as file:
        pages = int(file.read().split()[1])
    ticks = os.sysconf("SC_CLK_TCK")
    return (int(fields[11]) + int(fields[12])) / ticks, pages * resource.getpagesize() / 1e6


async def measure(boxes: int, seconds: float, profile: str) -> Figures:
    """One fleet size: the fastest that it goes, then 33 a second, then memory of what is held."""
    plan = SitePlan(
        boxes=boxes, racks=max(boxes // 10, 2), fronts=1, lessons=max(boxes // 2, 6), copies=4,
        link_kb=4e7, streams=1_000_000, cold=None,
        times=SiteTimes(tell=2000.0, set_up=(0.0, 0.0), idle=600_000.0, orphan=60_000.0),
    )  # fmt: skip
    plan = replace(plan, classes=tuple(replace(one, seats=0) for one in plan.classes))
    context = multiprocessing.get_context("spawn")
    with tempfile.TemporaryDirectory() as folder:
        loop = asyncio.get_running_loop()
        site = RehearsalSite(plan, Path(folder), Trace(None, loop.time), 1)
        keys = (Path(folder) / "keys.json").read_text()
        offset = time.time() - loop.time()
        children = []
        for index in range(3):
            numbers = [number for number in site.boxes if number % 3 == index]
            mine, theirs = context.Pipe()
            child = context.Process(target=run_boxes, args=(keys, numbers, plan, offset, 3 + index, theirs))
            child.start()
            children.append(child)
            while not mine.poll():
                await asyncio.sleep(0.02)
            for number, address in mine.recv().items():
                site.boxes[number].address = address
        await site.list.start()
        site.list.put(*(site.line(number) for number in site.boxes))
        port = free_port()
        front = context.Process(target=run_front, args=(str(site.settings(0, port)), profile))
        front.start()
        children.append(front)
        try:
            return await drive(site, ("127.0.0.1", port), front.pid or 0, seconds)
        finally:
            os.kill(front.pid or 0, signal.SIGTERM)
            front.join(20)
            for child in children:
                child.kill()
            site.list.stop()


def targets_for(site: RehearsalSite, count: int, name: str) -> list[str]:
    found = []
    for number in range(count):
        title = str(site.lessons[number % len(site.lessons)]["title"])
        wish = site.wish(f"{name}-{number}", title, "briefing" if number % 3 == 0 else "training")
        found.append(f"/lessons/{title}/manifest.mpd?access_token={wish.token}")
    return found


async def drive(site: RehearsalSite, origin: tuple[str, int], pid: int, seconds: float) -> Figures:
    for _ in range(200):
        try:
            await load(origin, targets_for(site, 1, f"warm{_}"), None, 1.0, 1)
            figures, _times = await load(origin, targets_for(site, 8, f"warmer{_}"), None, 1.0, 1)
            if figures["plays"] == 8:
                break
        except OSError:
            pass
        await asyncio.sleep(0.1)
    # As many held as 33 a second leave that play 38 s each; then the answers' times beside them.
    _, memory = cpu_of(pid)
    filled, _times = await load(origin, targets_for(site, 1250, "fill"), None, 60.0)
    _, held = cpu_of(pid)
    slow, slow_times = await load(origin, targets_for(site, int(33 * seconds), "slow"), 33.0, seconds)
    before, _ = cpu_of(pid)
    fast, times = await load(origin, targets_for(site, int(seconds * 2500), "fast"), None, seconds)
    after, _ = cpu_of(pid)
    answers = fast["plays"] + fast["other"]
    return {
        "answers/s": answers / fast["seconds"],
        "plays/s": fast["plays"] / fast["seconds"],
        "broken": fast["broken"] + slow["broken"] + filled["broken"],
        "CPU us/set-up": (after - before) / answers * 1e6,
        "full p50 ms": times.get_value_at_percentile(50) / 1000,
        "full p99 ms": times.get_value_at_percentile(99) / 1000,
        "33/s p50 ms": slow_times.get_value_at_percentile(50) / 1000,
        "33/s p99 ms": slow_times.get_value_at_percentile(99) / 1000,
        "MB/1000 held": (held - memory) / max(filled["plays"], 1.0) * 1000.0,
    }


async def measure_bare(target: object, *args: object, seconds: float) -> Figures:
    context = multiprocessing.get_context("spawn")
    port = free_port()
    child = context.Process(target=target, args=(port, *args))  # type: ignore[arg-type]
    child.start()
    try:
        for _ in range(200):
            figures, _times = await load(("127.0.0.1", port), ["/"] * 2, None, 1.0, 1)
            if figures["plays"]:
                break
            await asyncio.sleep(0.05)
        before, _ = cpu_of(child.pid or 0)
        fast, times = await load(("127.0.0.1", port), ["/lessons/x/manifest.mpd"] * 200_000, None, seconds)
        after, _ = cpu_of(child.pid or 0)
        slow, slow_times = await load(("127.0.0.1", port), ["/"] * 1000, 33.0, seconds)
    finally:
        child.kill()
    return {
        "answers/s": fast["plays"] / fast["seconds"],
        "broken": fast["broken"] + slow["broken"],
        "CPU us/set-up": (after - before) / fast["plays"] * 1e6,
        "full p50 ms": times.get_value_at_percentile(50) / 1000,
        "full p99 ms": times.get_value_at_percentile(99) / 1000,
        "33/s p50 ms": slow_times.get_value_at_percentile(50) / 1000,
        "33/s p99 ms": slow_times.get_value_at_percentile(99) / 1000,
    }


@click.command()
@click.option("--boxes", default="16,60,200", show_default=True)
@click.option("--seconds", default=5.0, show_default=True)
@click.option("--profile", default="", help="Write cProfile's figures of the front here (last size).")
def main(boxes: str, seconds: float, profile: str) -> None:
    """Measure the front against bare responders in the same run."""
    pin(0)
    sizes = [int(part) for part in boxes.split(",")]
    rows: dict[str, Figures] = {
        "bare BufferedProtocol": asyncio.run(measure_bare(run_barest, seconds=seconds)),
        "our server, fixed answer": asyncio.run(measure_bare(run_bare, 1500, seconds=seconds)),
    }
    for size in sizes:
        rows[f"front, {size} boxes"] = asyncio.run(measure(size, seconds, profile))
    names = list(rows[f"front, {sizes[0]} boxes"])
    print(
        f"python {sys.version.split()[0]}, {os.cpu_count()} processors, {seconds:.0f} s each, simulated boxes"
    )
    print(f"{'':<26}" + "".join(f"{name:>15}" for name in names))
    for label, figures in rows.items():
        print(f"{label:<26}" + "".join(f"{figures.get(name, float('nan')):>15.1f}" for name in names))


if __name__ == "__main__":
    main()
