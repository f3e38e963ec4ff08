"""Seat log, recovery and timing wheel, each against the plain way in the same run.

python -m bench.seats [--most 1000000]
"""

from __future__ import annotations

import asyncio
import heapq
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from random import Random

import click

from fernweir.seats import records
from fernweir.seats.file_store import DiskFileStore
from fernweir.seats.log import LogConfig, SeatLog, recover_log
from fernweir.seats.records import SeatRecord, rebuild_table
from fernweir.seats.timing_wheel import TimingWheel


def timed(do: Callable[[], object]) -> float:
    begun = time.perf_counter()
    do()
    return time.perf_counter() - begun


def wheel_run(count: int) -> None:
    """Sets, moves each once as a renewal does, and fires all."""
    dice, wheel = Random(1), TimingWheel[int](0.0, 10.0)
    timers = [wheel.schedule(dice.uniform(0, 30_000.0), number) for number in range(count)]
    for number, timer in enumerate(timers):
        wheel.cancel(timer)
        wheel.schedule(dice.uniform(30_000.0, 60_000.0), number)
    fired = 0
    for step in range(601):
        fired += len(wheel.advance(step * 100.0))
    assert fired == count


def heap_run(count: int) -> None:
    dice, heap = Random(1), []
    entries = []
    for number in range(count):
        entry = [dice.uniform(0, 30_000.0), number, True]
        entries.append(entry)
        heapq.heappush(heap, entry)
    for number, entry in enumerate(entries):
        entry[2] = False
        heapq.heappush(heap, [dice.uniform(30_000.0, 60_000.0), count + number, True])
    fired = 0
    for step in range(601):
        while heap and heap[0][0] <= step * 100.0:
            fired += bool(heapq.heappop(heap)[2])
    assert fired == count


def loop_run(count: int) -> None:
    """`call_later` of the loop: setting and moving only, as firing takes real time there."""

    async def run() -> None:
        dice, loop = Random(1), asyncio.get_running_loop()
        handles = [loop.call_later(dice.uniform(100, 130), print) for _ in range(count)]
        for handle in handles:
            handle.cancel()
            loop.call_later(dice.uniform(130, 160), print)
        await asyncio.sleep(0)

    asyncio.run(run())


def wheel_set_only(count: int) -> None:
    dice, wheel = Random(1), TimingWheel[int](0.0, 10.0)
    timers = [wheel.schedule(dice.uniform(0, 30_000.0), number) for number in range(count)]
    for number, timer in enumerate(timers):
        wheel.cancel(timer)
        wheel.schedule(dice.uniform(30_000.0, 60_000.0), number)


def appends(folder: Path, count: int, group: int) -> float:
    """Leases a second: two records each, `group` of them to a sync."""
    log = SeatLog(DiskFileStore(folder), LogConfig())
    log.open()
    begun = time.perf_counter()
    for number in range(count):
        log.append(records.encode_requested(SeatRecord(f"s{number}", number, "t", "l", "c", "p", 1.0)))
        log.append(records.encode_granted(f"s{number}", f"L{number}", number, 1.0))
        if number % group == group - 1:
            log.commit()
    log.commit()
    return count / (time.perf_counter() - begun)


@click.command()
@click.option("--most", default=1_000_000, show_default=True, help="Timers and records at the most.")
def main(most: int) -> None:
    """Print all tables."""
    print("timers: seconds to set, move and fire all; the last pair without firing")
    print(f"{'count':>10} {'wheel':>8} {'heapq':>8} {'wheel/heapq':>12} {'wheel set':>10} {'call_later':>10}")
    for count in [n for n in (1_000, 100_000, 1_000_000) if n <= most]:
        ours, plain = timed(lambda n=count: wheel_run(n)), timed(lambda n=count: heap_run(n))  # type: ignore[misc]
        only, loop = timed(lambda n=count: wheel_set_only(n)), timed(lambda n=count: loop_run(n))  # type: ignore[misc]
        print(f"{count:>10} {ours:>8.3f} {plain:>8.3f} {ours / plain:>12.2f} {only:>10.3f} {loop:>10.3f}")
    print("\nleases a second with fsync, by leases a sync")
    for group in (1, 8, 64, 512):
        with tempfile.TemporaryDirectory() as folder:
            print(f"{group:>10} {appends(Path(folder), max(group * 40, 400), group):>10.0f}")
    print("\nrecovery: seconds to read, check and fold")
    for count in [n for n in (1_000, 10_000, 100_000, 1_000_000) if n <= most]:
        with tempfile.TemporaryDirectory() as folder:
            appends(Path(folder), count // 2, 4_096)
            files = DiskFileStore(Path(folder))
            begun = time.perf_counter()
            found = recover_log(files)
            table = rebuild_table(found.snapshot, found.records)
            print(f"{count:>10} {time.perf_counter() - begun:>10.3f}   {len(table)} seats")


if __name__ == "__main__":
    main()
