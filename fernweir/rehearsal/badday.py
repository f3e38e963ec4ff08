"""The bad day: fronts as processes of their own, simulated boxes, viewers and list around them, and faults.

Everything that is drawn comes from the seed; the day itself runs in real time on real sockets, so two runs
of a seed see the same faults and wishes at the same moments, not the same microseconds.
"""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import IO

from fernweir.audit import Auditor, audit_lines, render_table
from fernweir.front.record import replay
from fernweir.http.client import Origin
from fernweir.rehearsal.hostile import PAYLOADS, HostileCounts, attack
from fernweir.rehearsal.site import RehearsalSite, SitePlan
from fernweir.standin.box import Behaviour
from fernweir.standin.entitlement import EntitlementServer
from fernweir.standin.leases import LeaseDesk, UseReport
from fernweir.standin.site import SiteClass
from fernweir.standin.trace import Trace
from fernweir.standin.viewer import Habits, Shown, Viewers

_CLASSES = (
    SiteClass("briefing", scale=1.4, floor=1, seats=12, deadline_ms=3000.0),
    SiteClass("training", scale=1.0, deadline_ms=4000.0, when_silent="play"),
)


@dataclass(frozen=True, slots=True)
class DayPlan:
    """How large the day is; seconds."""

    seed: int = 1
    boxes: int = 16
    seconds: float = 40.0
    rate: float = 6.0
    crew: int = 60


@dataclass(slots=True)
class DayResult:
    auditor: Auditor
    shown: list[Shown]
    hostile: HostileCounts
    replayed: dict[str, tuple[int, str | None]]
    exits: dict[str, int | None]
    problems: list[str] = field(default_factory=list)
    leases: UseReport | None = None

    @property
    def good(self) -> bool:
        return not self.auditor.findings and not self.hostile.wrong and not self.problems


class FrontProcess:
    """One front as a child process, killed and started again at the same address."""

    def __init__(self, ordinal: int, settings: Path, origin: Origin, trace: Trace, log: IO[bytes]) -> None:
        self.name = f"front-{ordinal}"
        self.settings, self.origin, self.trace, self.log = settings, origin, trace, log
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Starts it and waits until it listens."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "fernweir", "serve", str(self.settings), stderr=self.log, stdout=self.log
        )
        for _ in range(400):
            if self.process.returncode is not None:
                raise RuntimeError(f"{self.name} ended at once: see its log")
            try:
                transport, _ = await asyncio.get_running_loop().create_connection(
                    asyncio.Protocol, *self.origin
                )
            except OSError:
                await asyncio.sleep(0.025)
                continue
            transport.abort()
            self.trace.write("front.up", front=self.name)
            return
        raise RuntimeError(f"{self.name} does not listen")

    async def kill(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.trace.write("front.down", front=self.name)
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()

    async def terminate(self) -> int | None:
        """SIGTERM; the exit code says whether all that was taken was answered."""
        if self.process is None or self.process.returncode is not None:
            return None
        self.process.send_signal(signal.SIGTERM)
        return await self.process.wait()


def free_port() -> int:
    """A port that the kernel has free now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class BadDay:
    def __init__(self, plan: DayPlan, folder: Path, say: Callable[[str], None]) -> None:
        self.plan, self.folder, self.say = plan, folder, say
        self.dice = Random(f"bad day {plan.seed}")
        self.loop = asyncio.get_running_loop()
        self.hostile = HostileCounts()
        self._tasks: list[asyncio.Task[object]] = []

    async def run(self) -> DayResult:
        plan = self.plan
        self.folder.mkdir(parents=True, exist_ok=True)
        with open(self.folder / "trace.jsonl", "w", encoding="utf-8") as file:
            self.trace = Trace(file, self.loop.time)
            self.site = RehearsalSite(
                SitePlan(boxes=plan.boxes, racks=2, fronts=2, lessons=12, classes=_CLASSES),
                self.folder,
                self.trace,
                plan.seed,
            )
            await self.site.start()
            self.desk = LeaseDesk(ttl_ms=6_000.0, default=26)
            self.entitlement = EntitlementServer(
                self.desk,
                self.site.keyring,
                self.trace,
                wall_offset_s=self.site.wall_offset_s,
                seed=plan.seed,
            )
            await self.entitlement.start()
            fronts = self._fronts()
            await asyncio.gather(*(front.start() for front in fronts))
            viewers = Viewers(
                {front.name: front.origin for front in fronts},
                self.trace,
                plan.seed,
                Habits(doubled=0.1, dropped=0.06, asks_while_playing=0.1),
                self.site.wall_offset_s,
            )
            self.begun = self.loop.time()
            self._script(fronts)
            watched = await self._crowd(viewers)
            shown = await asyncio.gather(*watched, return_exceptions=True)
            await asyncio.gather(*self._tasks, return_exceptions=True)
            exits = {front.name: await front.terminate() for front in fronts}
            self.desk.expire(self.loop.time() * 1000.0)
            left = len(self.desk.leases)
            viewers.close()
            self.entitlement.stop()
            self.site.close()
            self.trace.close()
        result = self._judge(shown, exits)
        result.leases = self.desk.report
        if left:
            result.problems.append(f"{left} seats are held after all fronts stopped")
        return result

    def _fronts(self) -> list[FrontProcess]:
        found = []
        for ordinal in range(2):
            port = free_port()
            extra = (
                f"record = front-{ordinal}.record\n[entitlement]\nurl = {self.entitlement.url}\n"
                f"ledger = seats-{ordinal}\ncall-time = 500 ms\nlongest-lease = 10 s\nreclaim = 2 s"
            )
            path = self.site.settings(ordinal, port, extra)
            log = open(self.folder / f"front-{ordinal}.log", "ab")  # noqa: SIM115 - held by the child
            found.append(FrontProcess(ordinal, path, ("127.0.0.1", port), self.trace, log))
        return found

    # --- viewers ---

    async def _crowd(self, viewers: Viewers) -> list[asyncio.Task[Shown]]:
        """Viewers by chance all day, and two shift changes when a crew comes within two seconds."""
        plan, dice = self.plan, self.dice
        arrivals: list[tuple[float, str, str]] = []
        at = 0.0
        while at < plan.seconds - 4.0:
            at += dice.expovariate(plan.rate)
            arrivals.append((at, self._lesson(), "briefing" if dice.random() < 0.35 else "training"))
        for change in (plan.seconds * 0.06, plan.seconds * 0.72):
            lessons = [self._lesson() for _ in range(3)]
            arrivals += [
                (change + dice.uniform(0.0, 2.0), dice.choice(lessons), "briefing") for _ in range(plan.crew)
            ]
        arrivals.sort()
        self.say(f"{len(arrivals)} viewers over {plan.seconds:.0f} s from seed {plan.seed}")
        watched = []
        for number, (at, lesson, cls) in enumerate(arrivals):
            await self._until(at)
            wish = self.site.wish(
                f"s{plan.seed}-{number}", lesson, cls, play_s=dice.uniform(4.0, 14.0),
                top=dice.choice((2, 4, 4, 4)), in_query=dice.random() < 0.3,
                wait_s=dice.choice((0, 0, 0, 2)),
            )  # fmt: skip
            watched.append(asyncio.ensure_future(viewers.watch(wish)))
            if number % 40 == 0:
                self.say(f"  {at:4.0f} s: {number} viewers so far")
        return watched

    def _lesson(self) -> str:
        weights = [1.0 / (rank + 1) ** 0.8 for rank in range(len(self.site.lessons))]
        return str(self.dice.choices([one["title"] for one in self.site.lessons], weights)[0])

    async def _until(self, at: float) -> None:
        await asyncio.sleep(max(self.begun + at - self.loop.time(), 0.0))

    # --- faults ---

    def _script(self, fronts: list[FrontProcess]) -> None:
        length, dice = self.plan.seconds, self.dice
        numbers = list(self.site.boxes)
        dice.shuffle(numbers)
        rolling, silent, failing, dying = numbers[:4], numbers[4], numbers[5], numbers[6]
        losing = numbers[7 : 7 + max(len(numbers) // 2 - 1, 1)]

        def at(share: float, what: str, do: Callable[[], Awaitable[None]]) -> None:
            self._tasks.append(asyncio.ensure_future(self._later(share * length, what, do)))

        for index, number in enumerate(rolling):
            at(0.15 + 0.05 * index, f"box {number} is drained and replaced", lambda n=number: self._roll(n))  # type: ignore[misc]
        at(
            0.22,
            f"box {silent} falls silent mid-manifest",
            lambda: self._behave(silent, 0.15, silent_mid=True),
        )
        at(0.30, f"box {failing} fails most set-ups", lambda: self._behave(failing, 0.2, fail_share=0.8))
        at(0.38, f"answers of boxes {losing} are lost", lambda: self._lose(losing))
        at(0.45, "the uplink of rack 0 shrinks to two fifths", self._shrink)
        at(0.50, "reports come 2 s late", self._late_reports)
        at(0.60, "front-1 is killed and started again", lambda: self._kill_front(fronts[1]))
        at(0.70, f"box {dying} hangs, dies, comes back cold", lambda: self._hang_and_die(dying))
        at(0.25, "entitlement answers 300 ms late", self._late_entitlement)
        at(0.48, "three of ten answers of entitlement are lost", self._lossy_entitlement)
        at(0.65, "entitlement says nothing", self._silent_entitlement)
        at(0.85, "the list server is away", self._list_away)
        for share in (0.1, 0.35, 0.55, 0.8):
            at(share, "hostile clients", lambda: self._attack(fronts))

    async def _later(self, at: float, what: str, do: Callable[[], Awaitable[None]]) -> None:
        await self._until(at)
        self.trace.write("day", what=what)
        self.say(f"  {at:4.0f} s: {what}")
        await do()

    async def _behave(self, number: int, share: float, **how: object) -> None:
        self.site.boxes[number].behaviour = Behaviour(**how)  # type: ignore[arg-type]
        await asyncio.sleep(share * self.plan.seconds)
        self.site.boxes[number].behaviour = Behaviour()

    async def _roll(self, number: int) -> None:
        self.site.tell(number, "draining")
        await asyncio.sleep(2.0)
        self.site.boxes[number].die("deploy")
        await asyncio.sleep(0.3)
        self.site.tell(number, "gone")
        await asyncio.sleep(1.0)
        await self.site.restart(number)
        await asyncio.sleep(self.dice.uniform(0.2, 0.8))
        self.site.tell(number)

    async def _lose(self, numbers: list[int]) -> None:
        for number in numbers:
            self.site.boxes[number].behaviour.lost_share = 0.2
        await asyncio.sleep(0.2 * self.plan.seconds)
        for number in numbers:
            self.site.boxes[number].behaviour.lost_share = 0.0

    async def _shrink(self) -> None:
        rack = self.site.site.racks[0]
        rack.uplink_kb *= 0.4
        await asyncio.sleep(0.2 * self.plan.seconds)
        rack.uplink_kb /= 0.4

    async def _late_reports(self) -> None:
        self.site.site.report_late_ms = 2000.0
        await asyncio.sleep(0.2 * self.plan.seconds)
        self.site.site.report_late_ms = 0.0

    async def _kill_front(self, front: FrontProcess) -> None:
        await front.kill()
        os.replace(self.folder / f"{front.name}.record", self.folder / f"{front.name}.killed.record")
        await asyncio.sleep(2.0)
        await front.start()

    async def _hang_and_die(self, number: int) -> None:
        self.site.boxes[number].behaviour = Behaviour(hang=True)
        await asyncio.sleep(4.0)
        self.site.boxes[number].die()
        self.site.boxes[number].behaviour = Behaviour()
        await asyncio.sleep(1.5)
        await self.site.restart(number)
        self.site.tell(number)

    async def _list_away(self) -> None:
        self.site.list.stop()
        await asyncio.sleep(2.0)
        await self.site.list.start()

    async def _late_entitlement(self) -> None:
        self.entitlement.slow_ms = 300.0
        await asyncio.sleep(0.1 * self.plan.seconds)
        self.entitlement.slow_ms = 0.0

    async def _lossy_entitlement(self) -> None:
        self.entitlement.lost_share = 0.3
        await asyncio.sleep(0.12 * self.plan.seconds)
        self.entitlement.lost_share = 0.0

    async def _silent_entitlement(self) -> None:
        self.entitlement.silent = True
        await asyncio.sleep(0.08 * self.plan.seconds)
        self.entitlement.silent = False

    async def _attack(self, fronts: list[FrontProcess]) -> None:
        await asyncio.gather(
            *(attack(front.origin, name, self.hostile) for front in fronts for name in PAYLOADS)
        )

    # --- verdict ---

    def _judge(self, shown: Sequence[object], exits: dict[str, int | None]) -> DayResult:
        with open(self.folder / "trace.jsonl", encoding="utf-8") as file:
            auditor = audit_lines(file)
        replayed = {}
        problems = [f"viewer failed: {one!r}" for one in shown if isinstance(one, BaseException)]
        for path in sorted(self.folder.glob("*.record")):
            lines = path.read_text(encoding="utf-8").splitlines(keepends=True)
            if lines and not lines[-1].endswith("\n"):
                lines.pop()  # a killed front's last line may be torn
            replayed[path.name] = replay(lines)
            if replayed[path.name][1] is not None:
                problems.append(f"{path.name}: {replayed[path.name][1]}")
        problems += [f"{name} ended with {code}" for name, code in exits.items() if code != 0]
        good = [one for one in shown if isinstance(one, Shown)]
        return DayResult(auditor, good, self.hostile, replayed, exits, problems)


def render_day(result: DayResult) -> str:
    """The day's verdict for people."""
    counts = dict(sorted(result.auditor.statuses.items()))
    hostile = result.hostile
    out = [
        render_table(result.auditor),
        "",
        f"viewers {len(result.shown)}, answers by status {counts}, "
        f"breaks {sum(one.breaks for one in result.shown)}, "
        f"played {sum(one.played_s for one in result.shown):.0f} s",
        f"hostile requests {hostile.sent}: {hostile.refused} refused, {hostile.closed} closed, "
        f"{len(hostile.wrong)} wrong",
        *hostile.wrong[:5],
        f"leases by the entitlement server's report: {result.leases}",
        "decisions replayed to fresh modules: "
        + ", ".join(
            f"{name} {count} batches {'equal' if diff is None else 'DIFFER'}"
            for name, (count, diff) in result.replayed.items()
        ),
        *result.problems[:5],
        "every rule held" if result.good else "BROKEN",
    ]
    return "\n".join(out)
