"""A day of drawn faults on virtual time: fronts, boxes, list, leases and viewers, all of it the real code.

Everything comes from the seed: the site, the viewers, the faults, the network's timing, the order within an
instant. The auditor judges the trace as it judges one of sockets, and what can only be seen from inside is
looked at too: open answers, tasks, connections, leases. After the faults the site must come back.
"""

from __future__ import annotations

import asyncio
import contextvars
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from pathlib import Path
from random import Random
from typing import Any

from fernweir.config.front import load_front
from fernweir.front.program import Front, start_front
from fernweir.rehearsal.days import audited, digest, fewer, play_day
from fernweir.rehearsal.faults import Fault, Kind, draw
from fernweir.rehearsal.loop import NODE, LinkFault, VirtualLoop
from fernweir.rehearsal.site import RehearsalSite, SitePlan
from fernweir.seats.memory_file_store import MemoryFileStore
from fernweir.standin.box import Behaviour
from fernweir.standin.entitlement import EntitlementServer
from fernweir.standin.leases import LeaseDesk
from fernweir.standin.site import SiteClass, SiteTimes
from fernweir.standin.trace import Trace
from fernweir.standin.viewer import Habits, Viewers

_WALL_S = 1_800_000_000.0
_WAY_MS = 700.0  # there and back over the slowest link that faults can make
_CLASSES = (
    SiteClass("briefing", scale=1.4, floor=1, seats=12, deadline_ms=3000.0, effect="once"),
    SiteClass("training", scale=1.0, deadline_ms=4000.0, when_silent="play"),
)


@dataclass(frozen=True, slots=True)
class VirtualPlan:
    """Seconds, and viewers a second; `settle` is how long the site has to come back."""

    seed: int = 1
    seconds: float = 30.0
    fronts: int = 3
    boxes: int = 12
    rate: float = 2.0
    nasty: float = 1.0
    settle: float = 8.0
    faults: tuple[Fault, ...] | None = None  # None: drawn
    favoured: tuple[tuple[Kind, Kind], ...] = ()


@dataclass(slots=True)
class VirtualResult:
    """`broken` says in words what is wrong; `digest` is of the whole trace."""

    seed: int
    faults: list[Fault]
    digest: str = ""
    broken: list[str] = field(default_factory=list)
    answers: dict[int, int] = field(default_factory=dict)
    viewers: int = 0
    steps: int = 0
    records: list[dict[str, Any]] = field(default_factory=list)

    @property
    def rules(self) -> set[str]:
        """Which rules or invariants broke, to compare a shrunken schedule with its first."""
        return {text.split(":", 1)[0] for text in self.broken}


class VirtualDay:
    def __init__(self, plan: VirtualPlan, loop: VirtualLoop, folder: Path) -> None:
        self.plan, self.loop, self.folder = plan, loop, folder
        self.dice = Random(f"virtual day {plan.seed}")
        drawn = draw(
            Random(f"faults {plan.seed}"), seconds=plan.seconds, boxes=plan.boxes, fronts=plan.fronts,
            racks=2, nasty=plan.nasty, favoured=plan.favoured,
        )  # fmt: skip
        self.faults = drawn if plan.faults is None else list(plan.faults)
        self.result = VirtualResult(plan.seed, self.faults)
        self.fronts: dict[int, Front] = {}
        self.disks = {number: MemoryFileStore() for number in range(1, plan.fronts + 1)}
        self.lives = dict.fromkeys(self.disks, 0)
        self.ports: dict[int, int] = {}
        self._tasks: list[asyncio.Task[Any]] = []
        self._stalls: list[tuple[str, float, float]] = []
        self._list_away = 0
        self._crowds = 0
        self._rising: set[int] = set()

    async def run(self) -> VirtualResult:
        plan = self.plan
        # What a callback raises would only be logged: here it is a finding.
        self.loop.set_exception_handler(self._crashed)
        offset = _WALL_S - self.loop.time()
        trace = self.trace = Trace(None, self.loop.time)
        records = trace.keep()
        times = SiteTimes(tell=1_000.0, seen_after=200.0, orphan=2_000.0)
        site_plan = SitePlan(
            boxes=plan.boxes,
            racks=2,
            fronts=plan.fronts,
            lessons=8,
            classes=_CLASSES,
            times=times,
            way_ms=_WAY_MS,
        )
        self.site = RehearsalSite(site_plan, self.folder, trace, plan.seed, wall_offset_s=offset)
        await self.site.start()
        # What the list has sent counts as told: a killed process's kernel still delivers it.
        self.loop.network.orderly.add(self.site.list.address)
        self.desk = LeaseDesk(ttl_ms=6_000.0, default=26)
        self.seats = EntitlementServer(
            self.desk, self.site.keyring, trace, wall_offset_s=offset, seed=plan.seed
        )
        await self.seats.start()
        for number in range(1, plan.fronts + 1):
            await self._start_front(number)
        for front in self.fronts.values():
            await front.list_follower.list_received.wait()
        origins = {f"front-{number}": ("127.0.0.1", port) for number, port in self.ports.items()}
        habits = Habits(doubled=0.1, dropped=0.06, asks_while_playing=0.1)
        self.viewers = Viewers(origins, trace, plan.seed, habits, offset)
        self.begun = self.loop.time()
        for fault in self.faults:
            self._spawn(self._play(fault))
        watched = await self._crowd()
        await self._until(plan.seconds)
        await self._come_back()
        for one in await asyncio.gather(*watched, *self._tasks, return_exceptions=True):
            if isinstance(one, BaseException):
                self.result.broken.append(f"crash: {one!r}")
        await self._stop()
        self._judge(records)
        return self.result

    def _crashed(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        error = context.get("exception")
        if error is not None and not isinstance(error, asyncio.CancelledError):
            self.result.broken.append(f"crash: {context.get('message')}: {error!r}")

    # --- pieces of the site ---

    async def _start_front(self, number: int) -> None:
        """Starts a front as a node of its own, with its disk as it was synced."""
        self.lives[number] += 1
        node = f"front-{number}/{self.lives[number]}"
        extra = (
            f"[entitlement]\nurl = {self.seats.url}\nledger = unused\ncall-time = 500 ms\n"
            "longest-lease = 10 s\nreclaim = 2 s\nuse-every = 5 s"
        )
        path = self.site.settings(number - 1, self.ports.get(number, 0), extra)
        text = path.read_text().replace(f"name = front-{number - 1}", f"name = front-{number}")
        text = text.replace(f"cache = boxes-{number - 1}.json\n", "")
        path.write_text(text)
        context = contextvars.copy_context()
        context.run(NODE.set, node)
        config = load_front(path)
        starting = self.loop.create_task(
            start_front(config, wall_offset_s=self.site.wall_offset_s, files=self.disks[number]),
            context=context,
        )
        front = self.fronts[number] = await starting
        self.ports[number] = front.address[1]
        self.loop.network.spared.add(front.address)
        self.trace.write("front.up", front=f"front-{number}")

    async def _crowd(self) -> list[asyncio.Task[Any]]:
        plan, dice = self.plan, self.dice
        watched: list[asyncio.Task[Any]] = []
        number, at = 0, 0.0
        while True:
            at += dice.expovariate(plan.rate)
            if at > plan.seconds * 0.75:
                return watched
            await self._until(at)
            number += 1
            watched.append(self._viewer(f"v{number}"))

    def _viewer(self, name: str, lesson: str = "", cls: str = "") -> asyncio.Task[Any]:
        dice = self.dice
        self.result.viewers += 1
        lesson = lesson or str(dice.choice(self.site.lessons)["title"])
        cls = cls or ("briefing" if dice.random() < 0.35 else "training")
        wish = self.site.wish(name, lesson, cls, play_s=dice.uniform(2.0, 8.0), top=dice.choice((2, 4, 4)))
        return asyncio.ensure_future(self.viewers.watch(wish))

    def _spawn(self, work: Any) -> None:
        self._tasks.append(asyncio.ensure_future(work))

    async def _until(self, at: float) -> None:
        await asyncio.sleep(max(self.begun + at - self.loop.time(), 0.0))

    # --- faults ---

    async def _play(self, fault: Fault) -> None:
        await self._until(fault.at)
        self.trace.write("day", what=str(fault))
        box = self.site.boxes.get(fault.on)
        kind, strength = fault.kind, fault.strength
        if kind in _BEHAVIOURS and box is not None:
            self._behave(fault.on, _BEHAVIOURS[kind](strength))
            await asyncio.sleep(fault.span)
            self._behave(fault.on, None)
        elif kind is Kind.BOX_DIES and box is not None:
            box.die("fault")
            await asyncio.sleep(fault.span * strength)
            await self._rise(fault.on)
            await asyncio.sleep(fault.span * (1.0 - strength))
            self.site.tell(fault.on)
        elif kind is Kind.DRAIN:
            self.site.tell(fault.on, "draining")
            await asyncio.sleep(fault.span)
            self.site.tell(fault.on)
        elif kind is Kind.ROLL and box is not None:
            self.site.tell(fault.on, "draining")
            await asyncio.sleep(fault.span / 3.0)
            box.die("deploy")
            self.site.tell(fault.on, "gone")
            await asyncio.sleep(fault.span / 3.0)
            await self._rise(fault.on)
            self.site.tell(fault.on)
        elif kind is Kind.CROWD:
            lesson = str(self.dice.choice(self.site.lessons)["title"])
            for number in range(round(10 + 30 * strength)):
                self._crowds += 1  # two crews may come in one instant
                self._tasks.append(self._viewer(f"c{self._crowds}-{number}", lesson, "briefing"))
                await asyncio.sleep(0.5 / 40)
        elif kind is Kind.FRONT_STALLS:
            await self._stall(fault)
        elif kind is Kind.FRONT_DIES:
            await self._kill(fault)
        else:
            await self._elsewhere(fault)

    def _behave(self, number: int, behaviour: Behaviour | None) -> None:
        self.site.boxes[number].behaviour = behaviour or Behaviour()

    async def _rise(self, number: int) -> None:
        if not self.site.boxes[number].up and number not in self._rising:
            self._rising.add(number)
            await self.site.restart(number)
            self._rising.discard(number)

    async def _stall(self, fault: Fault) -> None:
        node = f"front-{fault.on}/{self.lives[fault.on]}"
        if node in self.loop._dead or node in self.loop._frozen:
            return
        begun = self.loop.time()
        self.loop.freeze(node)
        await asyncio.sleep(min(fault.span, 3.0))
        self.loop.thaw(node)
        # What a process that stands still had taken it can't answer in time: that is not judged.
        self._stalls.append((f"front-{fault.on}", begun * 1000.0, self.loop.time() * 1000.0))

    async def _kill(self, fault: Fault) -> None:
        number = fault.on
        node = f"front-{number}/{self.lives[number]}"
        if node in self.loop._dead:
            return
        self.trace.write("front.down", front=f"front-{number}")
        self.loop.kill(node)
        self.disks[number] = self.disks[number].crash(self.dice)
        await asyncio.sleep(min(fault.span, 3.0))
        await self._start_front(number)

    async def _elsewhere(self, fault: Fault) -> None:
        network, strength = self.loop.network, fault.strength
        kind = fault.kind
        if kind is Kind.UPLINK:
            rack = self.site.site.racks[fault.on - 1]
            factor = max(1.0 - strength, 0.2)
            rack.uplink_kb *= factor
            await asyncio.sleep(fault.span)
            rack.uplink_kb /= factor
        elif kind is Kind.LATE_REPORTS:
            self.site.site.report_late_ms = 4_000.0 * strength
            await asyncio.sleep(fault.span)
            self.site.site.report_late_ms = 0.0
        elif kind is Kind.LIST_AWAY:
            await asyncio.sleep(0.02)  # what it counts as told has left its process by then
            self._list_away += 1
            self.site.list.stop()
            await asyncio.sleep(fault.span)
            self._list_away -= 1
            if not self._list_away:
                await self.site.list.start()
        elif kind is Kind.LIST_BACK:
            await asyncio.sleep(0.02)
            self.site.list.epoch += "b"
            if not self._list_away:
                self.site.list.stop()
                await self.site.list.start()
        elif kind is Kind.NET_SLOW:
            network.everywhere.extra_s += 0.08 * strength
            await asyncio.sleep(fault.span)
            network.everywhere.extra_s -= 0.08 * strength
        elif kind in (Kind.BOX_FAR, Kind.BOX_REFUSES):
            address = self.site.boxes[fault.on].address
            network.faults[address] = LinkFault(
                extra_s=0.15 * strength if kind is Kind.BOX_FAR else 0.0, refuse=kind is Kind.BOX_REFUSES
            )
            await asyncio.sleep(fault.span)
            network.faults.pop(address, None)
        elif kind is Kind.SEATS_SLOW:
            self.seats.slow_ms += 700.0 * strength
            await asyncio.sleep(fault.span)
            self.seats.slow_ms -= 700.0 * strength
        elif kind is Kind.SEATS_LOSE:
            self.seats.lost_share = 0.6 * strength
            await asyncio.sleep(fault.span)
            self.seats.lost_share = 0.0
        elif kind is Kind.SEATS_AWAY:
            self.seats.silent = True
            await asyncio.sleep(fault.span)
            self.seats.silent = False

    # --- the end ---

    async def _come_back(self) -> None:
        """All faults are over: within `settle` every front must serve every lesson that fits."""
        for number in self.site.boxes:
            await self._rise(number)
            self._behave(number, None)
            self.site.tell(number)
        await asyncio.sleep(self.plan.settle)
        for number in self.ports:
            for lesson in self.site.lessons[:3]:
                wish = self.site.wish(f"last-{number}-{lesson['title']}", str(lesson["title"]), play_s=0.5)
                reply = await self.viewers.ask(f"front-{number}", wish)
                if reply.status not in (200, 503):
                    self.result.broken.append(
                        f"liveness: front-{number} {lesson['title']}: {reply.outcome.value} {reply.status}"
                    )
                elif reply.status == 503 and b"no seat" not in reply.body:
                    self.result.broken.append(f"liveness: front-{number}: {reply.body[:80]!r}")

    async def _stop(self) -> None:
        for number, front in sorted(self.fronts.items()):
            open_answers = len(front.core.sessions.reply_ledger)
            whole = await front.stop(5.0)
            self.trace.write("front.down", front=f"front-{number}")
            if not whole or open_answers:
                self.result.broken.append(f"ledger: front-{number} left {open_answers} answers open")
        await asyncio.sleep(0.5)
        now = self.loop.time() * 1000.0
        self.desk.expire(now)
        fresh = [one for one in self.desk.leases.values() if one.until > now]
        if self.desk.report.most_over > 0 or self.desk.report.most_by_session > 1:
            self.result.broken.append(f"seats: {self.desk.report}")
        if fresh and not any(one.kind in _LEAKS_EXPECTED for one in self.faults):
            self.result.broken.append(f"seats: {len(fresh)} held after all fronts stopped")
        self.viewers.close()
        self.seats.stop()
        self.site.close()

    def _judge(self, records: list[dict[str, Any]]) -> None:
        result = self.result
        result.digest, result.records, result.steps = digest(records), records, self.loop.steps
        auditor = audited(records)
        result.answers = dict(sorted(auditor.statuses.items()))
        for finding in auditor.findings:
            if not (finding.rule == "1" and self._stood_still(records, finding.line)):
                result.broken.append(f"rule {finding.rule}: {finding}")

    def _stood_still(self, records: list[dict[str, Any]], line: int) -> bool:
        """Whether the front of a late answer stood still between its question and it."""
        answer = records[line - 1]
        ask = next(one for one in records if one["kind"] == "viewer.ask" and one["req"] == answer.get("req"))
        return any(
            front == ask["front"] and begun <= answer["t"] and ended >= ask["t"]
            for front, begun, ended in self._stalls
        )


_BEHAVIOURS: dict[Kind, Callable[[float], Behaviour]] = {
    Kind.BOX_SILENT: lambda strength: Behaviour(silent_mid=True),
    Kind.BOX_HANGS: lambda strength: Behaviour(hang=True),
    Kind.BOX_ERRORS: lambda strength: Behaviour(fail_share=strength),
    Kind.BOX_LOSES: lambda strength: Behaviour(lost_share=strength * 0.6),
    Kind.BOX_SLOW: lambda strength: Behaviour(slow=1.0 + 20.0 * strength),
}
_LEAKS_EXPECTED = (Kind.FRONT_DIES, Kind.SEATS_AWAY, Kind.SEATS_LOSE, Kind.SEATS_SLOW, Kind.FRONT_STALLS,
                   Kind.NET_SLOW)  # fmt: skip


def play(plan: VirtualPlan) -> VirtualResult:
    """One seed, from nothing to its verdict."""
    return play_day(plan.seed, lambda loop, folder: VirtualDay(plan, loop, folder)).result


def shrink(plan: VirtualPlan, result: VirtualResult, say: Callable[[str], None]) -> VirtualPlan:
    """The smallest schedule found that still breaks one of the same rules: fewer faults, fewer viewers."""

    def still(candidate: VirtualPlan) -> bool:
        return bool(play(candidate).rules & result.rules)

    faults = fewer(result.faults, lambda some: still(replace(plan, faults=some)), say)
    best = replace(plan, faults=faults)
    for rate in (0.25, 0.5, 1.0):
        candidate = replace(best, rate=best.rate * rate)
        if rate < 1.0 and still(candidate):
            say(f"  a share of {rate} of the viewers still does it")
            return candidate
    return best
