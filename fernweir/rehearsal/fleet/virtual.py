"""A fleet's day on virtual time: the program's own fronts, peers and all, under faults drawn from a seed.

The same faults as for real processes (`schedule`), the same boxes, list and viewers, judged by the same rules
of the same trace. Everything comes from the seed: which nonce a link begins with, how each datagram fares,
and the order of what falls due in one instant. Wall clocks differ from front to front, by up to an hour.
"""

from __future__ import annotations

import asyncio
import contextvars
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from pathlib import Path
from random import Random
from typing import Any

from fernweir.audit.gaps import Cost, Loss
from fernweir.config.front import load_front
from fernweir.front.program import Front, start_front
from fernweir.rehearsal.datagrams import WayFault
from fernweir.rehearsal.days import audited, digest, fewer, play_day
from fernweir.rehearsal.fleet.boxes import on_box
from fernweir.rehearsal.fleet.inside import LAST, WatchedViewers, begun_twice, ghosts, unsettled
from fernweir.rehearsal.fleet.paths import Manner
from fernweir.rehearsal.fleet.plan import KEY_FILE, FleetPlan
from fernweir.rehearsal.fleet.schedule import ON_BOX, ON_FRONT, ON_PATH, Fault, Kind, draw, manner
from fernweir.rehearsal.loop import NODE, VirtualLoop
from fernweir.rehearsal.site import RehearsalSite
from fernweir.standin.trace import Trace
from fernweir.standin.viewer import Habits

_WALL_S = 1_800_000_000.0
_WALL_APART_S = 3_600.0
_PORT = 7_400
_STOP_S = 10.0
_OWNING_S = 30.0
_SETTLED_S = 12.0
_LOOK_S = 0.5


@dataclass(slots=True)
class VirtualFleetResult:
    """`broken` says in words what is wrong; `digest` is of the trace; `costs` by how fronts were lost."""

    seed: int
    faults: list[Fault]
    digest: str = ""
    broken: list[str] = field(default_factory=list)
    answers: dict[int, int] = field(default_factory=dict)
    costs: dict[Loss, Cost] = field(default_factory=dict)
    broke_off: Counter[str] = field(default_factory=Counter)  # sessions, by their box's reason
    steps: int = 0
    records: list[dict[str, Any]] = field(default_factory=list)

    @property
    def rules(self) -> set[str]:
        return {text.split(":", 1)[0] for text in self.broken}


class VirtualFleet:
    def __init__(self, plan: FleetPlan, loop: VirtualLoop, folder: Path) -> None:
        self.plan, self.loop, self.folder = plan, loop, folder
        self.dice = Random(f"virtual fleet {plan.seed}")
        drawn = draw(
            Random(f"fleet faults {plan.seed}"), seconds=plan.seconds, fronts=plan.fronts, boxes=plan.boxes,
            kinds=plan.kinds, nasty=plan.nasty,
        )  # fmt: skip
        self.result = VirtualFleetResult(plan.seed, drawn if plan.faults is None else list(plan.faults))
        self.fronts: dict[int, Front] = {}
        self.lives = dict.fromkeys(range(1, plan.fronts + 1), 0)
        self.ports: dict[int, int] = {}
        self._active: list[Fault] = []
        self._stood: list[tuple[str, float, float]] = []

    async def run(self) -> VirtualFleetResult:
        plan = self.plan
        self.loop.set_exception_handler(self._crashed)
        trace = self.trace = Trace(None, self.loop.time)
        records = trace.keep()
        offset = _WALL_S - self.loop.time()
        self.site = RehearsalSite(plan.site(), self.folder, trace, plan.seed, wall_offset_s=offset)
        self.site.site.segment_s = plan.segment_s
        (self.folder / KEY_FILE).write_text(f"{Random(plan.seed).getrandbits(256):064x}\n")
        await self.site.start()
        self.loop.network.orderly.add(self.site.list.address)
        for number in self.lives:
            await self._start(number)
        for front in self.fronts.values():
            await front.list_follower.list_received.wait()
        await self._until_all_own()
        origins = {f"front-{number}": ("127.0.0.1", port) for number, port in self.ports.items()}
        habits = Habits(doubled=0.1, dropped=0.05, asks_while_playing=plan.asks_while_playing)
        self.viewers = WatchedViewers(origins, trace, plan.seed, habits, offset)
        self._named = self.viewers.watch_answers({box.address: one for one, box in self.site.boxes.items()})
        self.begun = self.loop.time()
        faults = [asyncio.ensure_future(self._play(fault)) for fault in self.result.faults]
        faults.append(asyncio.ensure_future(self.besides()))
        crowd = await self._crowd()
        self._crashes(await asyncio.gather(*faults, return_exceptions=True))
        lease_s = 0.0 if plan.peers is None else plan.peers.lease / 1000.0
        await self._until_settled(4.0 + 2.0 * lease_s)  # with sessions that lived through it
        self._crashes(await asyncio.gather(*crowd, return_exceptions=True))
        await asyncio.sleep(plan.settle_s)
        await self._come_back()
        await self._until_settled()
        await self._stop()
        self._judge(records)
        return self.result

    def _crashes(self, ends: list[Any]) -> None:
        self.result.broken += [f"crash: {one!r}" for one in ends if isinstance(one, BaseException)]

    def _crashed(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        error = context.get("exception")
        if error is not None and not isinstance(error, asyncio.CancelledError):
            self.result.broken.append(f"crash: {context.get('message')}: {error!r}")

    async def besides(self) -> None:
        """What else is done to the fleet, from when its first viewers come."""

    def listens(self, number: int) -> tuple[str, int]:
        """Where a front hears its peers."""
        return f"127.0.1.{number}", _PORT

    def lines(self, number: int) -> str:
        """Further sections and settings of a front."""
        return ""

    # --- fronts ---

    async def _start(self, number: int) -> None:
        plan, name = self.plan, f"front-{number}"
        self.lives[number] += 1
        node = f"{name}/{self.lives[number]}"
        addresses = {other: (f"127.0.1.{other}", _PORT) for other in self.lives}
        addresses[number] = self.listens(number)
        extra = (
            "" if plan.peers is None else plan.peers.lines(number, plan.fronts, addresses[number], addresses)
        )
        path = self.site.settings(number - 1, self.ports.get(number, 0), f"{extra}\n{self.lines(number)}")
        text = path.read_text().replace(f"name = front-{number - 1}\n", f"name = {name}\n")
        path.write_text(text.replace(f"cache = boxes-{number - 1}.json\n", ""))
        apart = Random(f"wall {plan.seed} {number} {self.lives[number]}").uniform(-1.0, 1.0) * _WALL_APART_S
        context = contextvars.copy_context()
        context.run(NODE.set, node)
        config = load_front(path)
        nonces = Random(f"nonce {plan.seed} {node}")
        starting = self.loop.create_task(
            start_front(
                config,
                wall_offset_s=self.site.wall_offset_s,
                nonce=nonces.randbytes,
                peer_clock_offset_s=apart,
            ),
            context=context,
        )
        front = self.fronts[number] = await starting
        self.ports[number] = front.address[1]
        self.loop.network.spared.add(front.address)
        self.trace.write("front.up", front=name)

    def _node(self, number: int) -> str:
        return f"front-{number}/{self.lives[number]}"

    async def _until_all_own(self) -> None:
        if self.plan.peers is None:
            return
        end = self.loop.time() + _OWNING_S
        while self.loop.time() < end:
            peers = [front.peers for front in self.fronts.values() if front.peers is not None]
            if all(len(one.peer.channels.owned_channels()) >= self.plan.peers.parts for one in peers):
                return
            await asyncio.sleep(0.1)
        self.result.broken.append("liveness: not all fronts own their channels")

    async def _until_settled(self, within_s: float = _SETTLED_S) -> None:
        """Nothing is done to it any more: within a while no table may hold what is over, or is another's."""
        if self.plan.peers is None:
            return
        fronts = {f"front-{number}": front for number, front in sorted(self.fronts.items())}
        boxes, parts, wrong = list(self.site.boxes.values()), self.plan.peers.parts, [""]
        end = self.loop.time() + within_s
        while wrong and self.loop.time() < end:
            await asyncio.sleep(_LOOK_S)
            wrong = unsettled(fronts, boxes, parts)
        self.result.broken += [f"inside: {text}" for text in wrong]

    # --- viewers ---

    async def _crowd(self) -> list[asyncio.Task[Any]]:
        plan, dice = self.plan, self.dice
        watched: list[asyncio.Task[Any]] = []
        at = 0.0
        while (at := at + dice.expovariate(plan.rate)) < plan.seconds:
            await self.until(at)
            lesson = str(dice.choice(self.site.lessons)["title"])
            cls = "briefing" if dice.random() < 0.35 else "training"
            wish = self.site.wish(
                f"s{plan.seed}-{len(watched)}", lesson, cls, play_s=dice.uniform(*plan.play_s),
                top=dice.choice((2, 4, 4)),
            )  # fmt: skip
            watched.append(asyncio.ensure_future(self.viewers.watch(wish)))
        return watched

    async def until(self, at: float) -> None:
        await asyncio.sleep(max(self.begun + at - self.loop.time(), 0.0))

    # --- faults ---

    async def _play(self, fault: Fault) -> None:
        await self.until(fault.at)
        self.trace.write("day", what=f"begins: {fault}")
        if fault.kind in ON_PATH:
            await self._on_paths(fault)
        elif fault.kind in ON_BOX:
            await on_box(self.site, fault, self.plan.boxes)
        else:
            await self._on_front(fault)
        self.trace.write("day", what=f"over: {fault}")

    async def _on_front(self, fault: Fault) -> None:
        number, name, node = fault.on, f"front-{fault.on}", self._node(fault.on)
        if node in self.loop._dead or node in self.loop._frozen:
            return
        if fault.kind is Kind.STOP:
            begun = self.loop.time()
            self.trace.write("front.stop", front=name)
            self.loop.freeze(node)
            await asyncio.sleep(fault.span)
            if node in self.loop._dead:
                return
            self.trace.write("front.cont", front=name)
            self.loop.thaw(node)
            self._stood.append((name, begun * 1000.0, self.loop.time() * 1000.0))
            return
        if fault.kind is Kind.TERM:
            self.trace.write("front.term", front=name)
            await self._end(number)
        else:
            self.trace.write("front.down", front=name)
        self.loop.kill(node)
        await asyncio.sleep(fault.span)
        await self._start(number)

    async def _end(self, number: int) -> None:
        """Told to stop, as by SIGTERM."""
        context = contextvars.copy_context()
        context.run(NODE.set, self._node(number))
        front = self.fronts[number]
        whole = await self.loop.create_task(front.stop(_STOP_S), context=context)
        self.trace.write("front.down", front=f"front-{number}")
        if not whole:
            self.result.broken.append(f"ledger: front-{number} left answers open")

    async def _on_paths(self, fault: Fault) -> None:
        if fault.kind is Kind.RESET:
            return  # connections are cut by the other kinds; a reset of all at once is the relay's
        self._active.append(fault)
        self._weather()
        await asyncio.sleep(fault.span)
        self._active.remove(fault)
        self._weather()

    def _weather(self) -> None:
        ways = self.loop.network.ways
        ways.clear_all()
        for source in self.lives:
            for target in self.lives:
                how = manner(Manner(), self._active, source, target)
                if source != target and how != Manner():
                    ways.set(f"front-{source}", f"front-{target}", _way(how))

    # --- the end ---

    async def _come_back(self) -> None:
        for number in sorted(self.ports):
            wish = self.site.wish(f"{LAST}{number}", str(self.site.lessons[0]["title"]), play_s=0.5)
            reply = await self.viewers.ask(f"front-{number}", wish)
            if reply.status != 200:
                why = f"{reply.outcome.value} {reply.status} {reply.body[:80]!r}"
                self.result.broken.append(f"liveness: front-{number}: {why}")

    async def _stop(self) -> None:
        for number in sorted(self.fronts):
            self.trace.write("front.term", front=f"front-{number}")
            await self._end(number)
        # What stood in no channel ends with its front: long enough to see that.
        await asyncio.sleep(self.plan.site().times.orphan / 1000.0 + 1.0)
        self.viewers.close()
        self.site.close()

    def _judge(self, records: list[dict[str, Any]]) -> None:
        result = self.result
        result.digest, result.records, result.steps = digest(records), records, self.loop.steps
        auditor = audited(records)
        result.answers, result.costs = dict(sorted(auditor.statuses.items())), dict(auditor.gaps.costs)
        for finding in auditor.findings:
            if not (finding.rule == "1" and self._stood_still(records, finding.line)):
                result.broken.append(f"rule {finding.rule}: {finding}")
        result.broke_off = Counter(auditor.gaps.broke_off)
        result.broken += [f"ghost: {text}" for text in ghosts(self._named, records, self._stood)]
        lost = {fault.on for fault in result.faults if fault.kind in ON_FRONT}
        few = self.plan.peers is not None and len(lost) <= self.plan.peers.standbys
        if few and all(fault.kind in ON_FRONT for fault in result.faults):
            result.broken += [f"anew: {text}" for text in begun_twice(records)]
        planned = auditor.gaps.costs[Loss.PLANNED].ended - auditor.gaps.costs[Loss.PLANNED].unowned
        if self.plan.peers is not None and planned:
            result.broken.append(f"planned: {planned} sessions ended with fronts that were told to stop")

    def _stood_still(self, records: list[dict[str, Any]], line: int) -> bool:
        """Whether the front of a late answer stood still between its question and it."""
        answer = records[line - 1]
        asks = (one for one in records if one["kind"] == "viewer.ask")
        ask = next(one for one in asks if one["req"] == answer.get("req"))
        return any(
            front == ask["front"] and begun <= answer["t"] and ended >= ask["t"]
            for front, begun, ended in self._stood
        )


def _way(how: Manner) -> WayFault:
    """What the relay does to a path, as the virtual network knows it."""
    return WayFault(
        cut=how.cut, loss=how.loss, doubled=how.doubled, extra_s=how.delay_ms / 1000.0,
        jitter_s=max(how.jitter_ms / 1000.0, 0.02 if how.overtaken else 0.0),
    )  # fmt: skip


def play(plan: FleetPlan, kind: type[VirtualFleet] = VirtualFleet) -> VirtualFleetResult:
    """One seed, from nothing to its verdict. `kind` may do more to its fleet than a schedule can say."""
    return play_day(plan.seed, lambda loop, folder: kind(plan, loop, folder)).result


def shrink(plan: FleetPlan, result: VirtualFleetResult, say: Callable[[str], None]) -> FleetPlan:
    """The smallest schedule found that still breaks one of the same rules."""

    def still(faults: tuple[Fault, ...]) -> bool:
        return bool(play(replace(plan, faults=faults)).rules & result.rules)

    return replace(plan, faults=fewer(result.faults, still, say))
