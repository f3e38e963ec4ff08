"""A fleet of real front processes around simulated boxes, list, viewers and network, through a day of faults.

Boxes, list, viewers and relay run in this process and write one trace; the fronts are children. Everything
that is drawn comes from the seed; the day runs in real time, so a seed gives the same faults and wishes at
the same moments, not the same microseconds.
"""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import IO

from fernweir.audit import Auditor, audit_lines
from fernweir.audit.gaps import Loss
from fernweir.rehearsal.badday import free_port
from fernweir.rehearsal.fleet.boxes import on_box
from fernweir.rehearsal.fleet.paths import Passed
from fernweir.rehearsal.fleet.plan import KEY_FILE, FleetPlan
from fernweir.rehearsal.fleet.process import FrontProcess, Life
from fernweir.rehearsal.fleet.roaming import RoamingViewers
from fernweir.rehearsal.fleet.schedule import ON_BOX, ON_PATH, Fault, Kind, draw, manner
from fernweir.rehearsal.relay import Relay, free_pair
from fernweir.rehearsal.site import RehearsalSite
from fernweir.standin.trace import Trace
from fernweir.standin.viewer import Habits, Shown, Wish

_CROWD_S = 60.0
_OWNING_S = 60.0
_ASK_AGAIN_S = 0.25


@dataclass(slots=True)
class FleetResult:
    """`problems` say in words what no rule of the auditor covers."""

    faults: list[Fault]
    auditor: Auditor
    shown: list[Shown]
    passed: Passed
    exits: list[int]
    passed_over: list[Fault]
    problems: list[str] = field(default_factory=list)

    @property
    def good(self) -> bool:
        return not self.auditor.findings and not self.problems


class FleetTrace(Trace):
    """Also knows which fronts set sessions up in channels: they have leases."""

    def __init__(self, file: IO[str] | None, clock: Callable[[], float]) -> None:
        super().__init__(file, clock)
        self.owning: set[str] = set()

    def write(self, kind: str, **fields: object) -> None:
        super().write(kind, **fields)
        if kind == "box.setup" and fields.get("channel"):
            self.owning.add(str(fields["front"]))


class Fleet:
    """`run` plays the whole day; whatever happens, no child is left when it returns."""

    def __init__(self, plan: FleetPlan, folder: Path, say: Callable[[str], None]) -> None:
        self.plan, self.folder, self.say = plan, folder, say
        self.dice = Random(f"fleet {plan.seed}")
        drawn = draw(
            Random(f"fleet faults {plan.seed}"), seconds=plan.seconds, fronts=plan.fronts, boxes=plan.boxes,
            kinds=plan.kinds, nasty=plan.nasty,
        )  # fmt: skip
        self.faults = drawn if plan.faults is None else list(plan.faults)
        self.fronts: dict[int, FrontProcess] = {}
        self.problems: list[str] = []
        self._loop = asyncio.get_running_loop()
        self._active: list[Fault] = []
        self._passed_over: list[Fault] = []

    async def run(self) -> FleetResult:
        self.folder.mkdir(parents=True, exist_ok=True)
        for left in (*self.folder.glob("boxes-*.json"), *self.folder.glob("node-*.log")):
            left.unlink()  # an earlier day's list would be taken for this one's
        with open(self.folder / "trace.jsonl", "w", encoding="utf-8") as file:
            self.trace = FleetTrace(file, self._loop.time)
            self.relay = Relay(self.plan.seed)
            self.site = RehearsalSite(self.plan.site(), self.folder, self.trace, self.plan.seed)
            self.site.site.segment_s = self.plan.segment_s
            try:
                await self.site.start()
                await self.start_fronts()
                shown = await self._day()
                await self._stop_fronts()
            finally:
                await asyncio.gather(*(front.end() for front in self.fronts.values()))
                self.relay.close()
                self.site.close()
                self.trace.close()
        return self._judge(shown)

    # --- fronts ---

    async def start_fronts(self) -> None:
        """Writes the settings of all fronts and starts them side by side."""
        plan, advertise = self.plan, {}
        (self.folder / KEY_FILE).write_text(secrets.token_hex(32) + "\n")
        listen = {number: free_pair(f"127.0.1.{number}") for number in range(1, plan.fronts + 1)}
        for number, address in listen.items():
            advertise[number] = await self.relay.add(f"front-{number}", address, f"127.0.2.{number}")
        self._weather()
        for number in listen:
            extra = (
                "" if plan.peers is None else plan.peers.lines(number, plan.fronts, listen[number], advertise)
            )
            port = free_port()
            path = self.site.settings(number - 1, port, extra)
            text = path.read_text().replace(f"name = front-{number - 1}", f"name = front-{number}")
            own = self.folder / f"node-{number}.ini"
            own.write_text(text)
            path.unlink()
            self.fronts[number] = FrontProcess(number, own, ("127.0.0.1", port), self.trace)
        await asyncio.gather(*(front.start() for front in self.fronts.values()))

    async def _stop_fronts(self) -> None:
        """One after the other, so that each but the last has somebody to hand over to."""
        for front in self.fronts.values():
            front.wake()
            await front.terminate()

    def shut_out(self, front: str, bound_ms: float) -> None:
        """For whoever sees that the fleet shut a front out: the auditor judges it from here on."""
        self.trace.write("fleet.shutout", front=front, bound_ms=bound_ms)

    def back(self, front: str) -> None:
        self.trace.write("fleet.back", front=front)

    # --- the day ---

    async def _day(self) -> list[Shown | BaseException]:
        plan = self.plan
        names = {front.name: front.origin for front in self.fronts.values()}
        habits = Habits(asks_while_playing=plan.asks_while_playing, tries=6)
        viewers = RoamingViewers(names, self.trace, plan.seed, habits, self.site.wall_offset_s)
        if plan.peers is not None:
            await self._until_all_own(viewers)
        self.begun = self._loop.time()
        tasks = [asyncio.ensure_future(self._play(fault)) for fault in self.faults]
        watched: list[asyncio.Task[Shown]] = []
        try:
            at = 0.0
            while (at := at + self.dice.expovariate(plan.rate)) < plan.seconds:
                await self._until(at)
                watched.append(asyncio.ensure_future(viewers.watch(self._wish(len(watched)))))
            async with asyncio.timeout(_CROWD_S + 10.0 * plan.play_s[1]):
                shown = await asyncio.gather(*watched, return_exceptions=True)
                for outcome in await asyncio.gather(*tasks, return_exceptions=True):
                    if isinstance(outcome, BaseException):
                        self.problems.append(f"the rig failed: {outcome!r}")
            await asyncio.sleep(plan.settle_s)
        finally:
            for task in [*tasks, *watched]:
                task.cancel()
            viewers.close()
        return shown

    async def _until_all_own(self, viewers: RoamingViewers) -> None:
        """Keepers that just started keep silent for a lease: until then sessions belong to no channel."""
        async with asyncio.timeout(_OWNING_S):
            number = 0
            while missing := [
                front.name for front in self.fronts.values() if front.name not in self.trace.owning
            ]:
                for name in missing:
                    number += 1
                    wish = self.site.wish(f"first-{number}", str(self.site.lessons[0]["title"]), play_s=0.0)
                    reply = await viewers.ask(name, wish)
                    if reply.status == 200:
                        await viewers.leave(wish, reply)
                await asyncio.sleep(_ASK_AGAIN_S)

    def _wish(self, number: int) -> Wish:
        lesson = self.dice.choice(self.site.lessons)
        return self.site.wish(
            f"s{self.plan.seed}-{number}", str(lesson["title"]),
            "briefing" if self.dice.random() < 0.35 else "training",
            play_s=self.dice.uniform(*self.plan.play_s), top=self.dice.choice((2, 4, 4)),
        )  # fmt: skip

    async def _until(self, at: float) -> None:
        await asyncio.sleep(max(self.begun + at - self._loop.time(), 0.0))

    # --- faults ---

    async def _play(self, fault: Fault) -> None:
        await self._until(fault.at)
        self.trace.write("day", what=f"begins: {fault}")
        self.say(f"  {fault}")
        if fault.kind in ON_PATH:
            await self._on_paths(fault)
        elif fault.kind in ON_BOX:
            await on_box(self.site, fault, self.plan.boxes)
        elif not await self._on_front(self.fronts[fault.on], fault):
            self._passed_over.append(fault)
        self.trace.write("day", what=f"over: {fault}")

    async def _on_front(self, front: FrontProcess, fault: Fault) -> bool:
        if fault.kind is Kind.STOP:
            done = front.halt()
            await asyncio.sleep(fault.span if done else 0.0)
            front.wake()
            return done
        done = await (front.kill() if fault.kind is Kind.KILL else front.terminate())
        if done:
            await asyncio.sleep(fault.span)
            await front.start()
        return done

    async def _on_paths(self, fault: Fault) -> None:
        if fault.kind is Kind.RESET:
            for source in self.fronts:
                for target in self.fronts:
                    if fault.covers(source, target):
                        self.relay.reset(f"front-{source}", f"front-{target}")
            return
        self._active.append(fault)
        self._weather()
        await asyncio.sleep(fault.span)
        self._active.remove(fault)
        self._weather()

    def _weather(self) -> None:
        """Each path behaves as all faults on it together say."""
        numbers = range(1, self.plan.fronts + 1)
        for source in numbers:
            for target in numbers:
                path = self.relay.path(f"front-{source}", f"front-{target}")
                path.manner = manner(self.plan.paths, self._active, source, target)
        self.relay.changed()

    # --- verdict ---

    def _judge(self, shown: list[Shown | BaseException]) -> FleetResult:
        with open(self.folder / "trace.jsonl", encoding="utf-8") as file:
            auditor = audit_lines(file)
        problems = self.problems
        problems += [f"viewer failed: {one!r}" for one in shown if isinstance(one, BaseException)]
        exits = []
        for front in self.fronts.values():
            exits += front.exits
            problems += [
                f"{front.name} ended by itself with {code}: {front.last_words()}" for code in front.unasked
            ]
            problems += [
                f"{front.name}, told to stop, ended with {code}" for code in front.exits if code != 0
            ]
            if front.life is not Life.DOWN:
                problems.append(f"{front.name} is left {front.life.value}")
        ended = auditor.gaps.costs[Loss.PLANNED].ended
        if self.plan.peers is not None and ended:
            problems.append(f"{ended} sessions ended with fronts that were told to stop")
        passed = Passed()
        for path in self.relay.paths(*[[front.name for front in self.fronts.values()]] * 2):
            for name in Passed.__slots__:
                setattr(passed, name, getattr(passed, name) + getattr(path.passed, name))
        good = [one for one in shown if isinstance(one, Shown)]
        return FleetResult(self.faults, auditor, good, passed, exits, self._passed_over, problems)
