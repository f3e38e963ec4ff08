"""What the journal costs a session, how long questions take against a plain scan, what watchers cost a front.

python -m bench.journal [--most 1000000] [--seconds 20]
"""

from __future__ import annotations

import asyncio
import tempfile
import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from random import Random

import click

from fernweir.control.client import ControlClient
from fernweir.front.program import start_front
from fernweir.http.client import Pool
from fernweir.journal.disk import JournalFolder
from fernweir.journal.events import Entry, EventKind
from fernweir.journal.segment import Query
from fernweir.journal.store import Journal, JournalConfig
from fernweir.rehearsal.site import RehearsalSite, SitePlan
from fernweir.standin.trace import Trace
from fernweir.standin.viewer import Viewers, fetch

_QUESTIONS = {
    "one session's life": Query(session="s4711"),
    "refusals of a lesson": Query(equal={"what": EventKind.REFUSED, "lesson": "lesson-17"}),
    "a box, rare reason": Query(equal={"box": 7, "why": "reset: broken"}),
    "a reason nobody gave": Query(equal={"why": "never"}),
}


def fill(journal: Journal, count: int) -> list[Entry]:
    """Sessions of six entries, some refused, few with a rare reason."""
    dice, plain = Random(1), []
    number = 0
    while len(plain) < count:
        number += 1
        named = {"session": f"s{number}", "title": f"lesson-{number % 40}", "cls": "c", "tenant": "t"}
        at = number * 30.0
        plain.append(journal.add(at, EventKind.REQUESTED, **named))
        if dice.random() < 0.1:
            plain.append(journal.add(at, EventKind.REFUSED, why="no box has room", **named))
        else:
            place = {"server": dice.randrange(130), "attempt": 0, "rung": 3}
            more = {"passed": [[1, "over the mark"]], "link": 0.5, "uplink": 0.4}
            plain.append(journal.add(at, EventKind.SETUP, why="2th in order, first under the mark", more=more,
                                     **place, **named))  # fmt: skip
            if dice.random() < 0.0005:
                plain.append(journal.add(at, EventKind.ATTEMPT_FAILED, why="reset: broken", **place, **named))
            plain.append(journal.add(at, EventKind.STARTED, more={"took_ms": 20.1}, **place, **named))
            plain.append(journal.add(at, EventKind.PLAYS, server=place["server"], **named))
        plain.append(journal.add(at, EventKind.ENDED, why="over", **named))
    return plain


def timed(do: Callable[[], object], times: int = 5) -> float:
    """The least of some runs, in ms."""
    best = float("inf")
    for _ in range(times):
        begun = time.perf_counter()
        do()
        best = min(best, time.perf_counter() - begun)
    return best * 1000.0


def questions(count: int) -> None:
    journal = Journal("f", JournalConfig(max_memory_bytes=1 << 40))
    plain = fill(journal, count)
    print(f"\n{count} entries, {journal.memory_bytes / len(plain):.0f} bytes each in memory")
    print(f"{'question':<24} {'journal ms':>11} {'plain scan ms':>14} {'ratio':>7} {'found':>6}")
    for name, question in _QUESTIONS.items():
        found = journal.find(question, 100)

        def scan(question: Query = question) -> list[Entry]:
            hits: list[Entry] = []
            for entry in reversed(plain):
                if question.matches(entry):
                    hits.append(entry)
                    if len(hits) == 100:
                        break
            return hits

        assert scan() == found
        journal._rows.clear()
        ours = timed(lambda question=question: journal._rows.clear() or journal.find(question, 100))  # type: ignore[misc]
        other = timed(scan, 2)
        print(f"{name:<24} {ours:>11.3f} {other:>14.3f} {other / ours:>7.1f} {len(found):>6}")


def cost(disk: bool) -> float:
    """Microseconds of CPU for an entry."""
    with tempfile.TemporaryDirectory() as folder:
        blocks = JournalFolder(Path(folder)) if disk else None
        journal = Journal("f", JournalConfig(), blocks)
        if blocks is not None:
            journal.restore(*blocks.open())
        begun = time.process_time()
        fill(journal, 100_000)
        return (time.process_time() - begun) / 100_000 * 1e6


async def front_cpu(
    watchers: int, seconds: float, rate: float, folder: Path, control: bool
) -> tuple[float, float]:
    """CPU of the whole process a session, in ms, and the p99 of answers. Simulated boxes run in it too."""
    loop = asyncio.get_running_loop()
    trace = Trace(None, loop.time)
    site = RehearsalSite(
        replace(SitePlan(), boxes=20, fronts=1, streams=100, link_kb=60_000.0), folder, trace, 1
    )
    await site.start()
    extra = "[control]\nsocket = f.sock\njournal = journal\norders = orders.json" if control else ""
    front = await start_front(site.config(0, extra=extra))
    await front.list_follower.list_received.wait()
    clients = [ControlClient(folder / "f.sock", f"w{n}", watch=True) for n in range(watchers)]
    for client in clients:
        client.start()
        await client.wait_ready()
    viewers = Viewers({"front-0": front.address}, trace, 1, wall_offset_s=site.wall_offset_s)
    dice, times, pool = Random(1), [], Pool()
    await asyncio.sleep(0.5)
    begun, cpu = loop.time(), time.process_time()
    tasks = []

    async def one(number: int) -> None:
        wish = site.wish(f"s{number}", f"lesson-{number % 6}")
        at = loop.time()
        reply = await viewers.ask("front-0", wish)
        times.append(loop.time() - at)
        assert reply.status == 200, reply
        await asyncio.sleep(2.0)
        headers = [("authorization", f"Bearer {wish.token}")]
        await fetch(pool, front.address, "DELETE", f"/lessons/{wish.title}/session", 5.0, headers)

    number = 0
    while loop.time() < begun + seconds:
        number += 1
        tasks.append(asyncio.ensure_future(one(number)))
        await asyncio.sleep(dice.expovariate(rate))
    await asyncio.gather(*tasks)
    spent = time.process_time() - cpu
    for client in clients:
        client.close()
    front.kill()
    viewers.close()
    pool.close()
    site.close()
    times.sort()
    return spent / number * 1000.0, times[int(len(times) * 0.99)] * 1000.0


@click.command()
@click.option("--most", default=1_000_000, show_default=True, help="Entries at the most.")
@click.option("--seconds", default=20.0, show_default=True, help="Of each run with a front.")
@click.option("--rate", default=33.0, show_default=True, help="New sessions a second.")
def main(most: int, seconds: float, rate: float) -> None:
    """Print all tables."""
    print(f"an entry costs {cost(False):.1f} us of CPU in memory, {cost(True):.1f} us with the disk")
    for count in [n for n in (10_000, 100_000, 1_000_000, 10_000_000) if n <= most]:
        questions(count)
    print(f"\na front at {rate:.0f} new sessions a second, its 20 simulated boxes and viewers in one process")
    print(f"{'':<24} {'CPU ms a session':>17} {'p99 ms':>8}")
    for watchers, control in ((0, False), (0, True), (1, True), (20, True)):
        with tempfile.TemporaryDirectory(prefix="fw-") as folder:
            spent, p99 = asyncio.run(front_cpu(watchers, seconds, rate, Path(folder), control))
        name = f"{watchers} watchers" if control else "no journal, no socket"
        print(f"{name:<24} {spent:>17.2f} {p99:>8.1f}")


if __name__ == "__main__":
    main()
