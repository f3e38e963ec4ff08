"""A scripted operator on a bad day: what the console prints is judged by what boxes say on their sockets.

A unit of two fronts as processes of their own, simulated boxes and list here, bursts of viewers, drains
typed in the middle of them, boxes that die, a front that is killed. `broken` makes the console print a wrong
view, to see it caught.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from fernweir.appliance.layout import Layout, load_unit, write_format
from fernweir.appliance.unit import Unit
from fernweir.audit import Auditor, audit_lines
from fernweir.audit.printed import Drained, Printed, TraceBook
from fernweir.console.client import ConsoleClient
from fernweir.console.script import ScriptRunner
from fernweir.rehearsal.badday import free_port
from fernweir.rehearsal.site import RehearsalSite, SitePlan
from fernweir.standin.trace import Trace
from fernweir.standin.viewer import Viewers

BROKEN = ("", "stale", "box", "count")
_PLAN = SitePlan(boxes=10, racks=2, fronts=2, lessons=8, copies=4, drain_grace_ms=1_000.0)


@dataclass(slots=True)
class ConsoleDayResult:
    auditor: Auditor
    steps: int = 0
    rows: int = 0
    commands: int = 0
    wrong: list[str] = field(default_factory=list)

    @property
    def good(self) -> bool:
        return not self.wrong and not self.auditor.findings


class ConsoleDay:
    def __init__(self, seed: int, folder: Path, say: Callable[[str], None], broken: str = "") -> None:
        self.seed, self.folder, self.say, self.broken = seed, folder, say, broken
        self.loop = asyncio.get_running_loop()
        self.dice = Random(f"console day {seed}")
        self.printed: list[Printed] = []
        self.drains: list[Drained] = []
        self._open: dict[int, float] = {}
        self._watched: list[asyncio.Task[Any]] = []
        self._numbers = 0
        self._commands = 0
        self._stale: list[str] = []

    async def run(self) -> ConsoleDayResult:
        site_folder = self.folder / "site"
        site_folder.mkdir(parents=True, exist_ok=True)
        with open(self.folder / "trace.jsonl", "w", encoding="utf-8") as file:
            trace = self.trace = Trace(file, self.loop.time)
            records = trace.keep()
            self.site = RehearsalSite(_PLAN, site_folder, trace, self.seed)
            await self.site.start()
            ports = {name: free_port() for name in ("front-1", "front-2")}
            self.unit = Unit(load_unit(self._make_unit(ports)))
            await self.unit.start()
            self.links = [ConsoleClient(self.unit.layout.root, name) for name in ("ann", "bob")]
            self.ann, self.bob = (ScriptRunner(link, self._said) for link in self.links)
            self._lines: list[str] = []
            for link in self.links:
                link.start()
                await link.client.wait_ready(20.0)
            self.viewers = Viewers(
                {name: ("127.0.0.1", port) for name, port in ports.items()}, trace, self.seed,
                wall_offset_s=self.site.wall_offset_s,
            )  # fmt: skip
            try:
                await self._day()
            finally:
                for task in self._watched:
                    task.cancel()
                await asyncio.gather(*self._watched, return_exceptions=True)
                for name in ports:
                    trace.write("front.down", front=name)
                for link in self.links:
                    link.close()
                await self.unit.stop()
                self.unit.close()
                self.viewers.close()
                self.site.close()
                trace.close()
        return self._judge(records)

    def _make_unit(self, ports: dict[str, int]) -> Path:
        root = self.folder / "unit"
        layout = Layout(root)
        for folder in (root, layout.state, layout.run, layout.log):
            folder.mkdir(parents=True, exist_ok=True)
        layout.unit_ini.write_text("[unit]\nname = rehearsal\nfronts = 2\nfirst-pause = 100 ms\n")
        write_format(layout)
        (root / "keys.json").write_text((self.site.folder / "keys.json").read_text())
        for ordinal, (name, port) in enumerate(ports.items()):
            control = (
                f"[control]\nsocket = run/{name}.sock\norders = state/orders.json\nled = yes\n"
                f"journal = state/journal-{name}"
            )
            text = self.site.settings(ordinal, port, control).read_text()
            (root / f"{name}.ini").write_text(text.replace(f"name = front-{ordinal}", f"name = {name}"))
        return root

    # --- the day ---

    async def _day(self) -> None:
        boxes = list(self.site.boxes)
        self.dice.shuffle(boxes)
        first, second, third, dying, leaving = boxes[:5]
        await self.ann.run("wait fronts = 2\nwait ready = 10")
        for name in ("front-1", "front-2"):
            self.trace.write("front.up", front=name)
        await self._step("a quiet start", None)
        await self._step("a crew comes", lambda: self._burst(50, 25.0))
        await self._step("a drain in the middle of a burst", lambda: self._drain_in_burst(first))
        await self._step("the same drain from two consoles", lambda: self._twice(second))
        await self._step("drain, undrain, drain in a moment", lambda: self._to_and_fro(third))
        await self._step("a box dies, and nobody tells", lambda: self._die(dying))
        await self._step("it comes back with a new start", lambda: self._back(dying))
        await self._step("the list says gone of a drained box", lambda: self._gone(second))
        await self._step("and ready, while the drain stands", lambda: self._ready(second))
        await self._step("a front is killed", self._kill_front)
        await self._step("another crew", lambda: self._burst(40, 20.0))
        await self._step("a lesson is held, a session ended", self._hold_and_end)
        await self._step("a box hangs", lambda: self._hang(leaving))
        for box in (first, second, third):
            await self._step(f"box {box} is undrained", lambda box=box: self._undrain(box))  # type: ignore[misc]
        await self._step("a last burst", lambda: self._burst(20, 5.0))
        await self._step("most have left", lambda: asyncio.sleep(8.0))

    async def _step(self, what: str, do: Callable[[], Awaitable[None]] | None) -> None:
        self.trace.write("day", what=what)
        if do is not None:
            await do()
        for pause in (0.0, 0.4):  # at once, and when news has had a moment
            await asyncio.sleep(pause)
            await self._print()
        self.say(f"  {what}: {len(self.printed[-1].sessions) - 1} sessions shown")

    async def _print(self) -> None:
        begun = self.loop.time() * 1000.0
        sessions = await self._view("sessions")
        boxes = await self._view("boxes")
        if self.broken == "stale":
            self._stale = self._stale or (sessions if len(sessions) > 10 else [])
            sessions = self._stale or sessions
        elif self.broken == "box" and len(sessions) > 10:
            cells = sessions[3].split()
            cells[4] = str(int(cells[4]) % 10 + 1) if cells[4] != "-" else "-"
            sessions[3] = " ".join(cells)
        elif self.broken == "count":
            cells = boxes[1].split()
            cells[2] = str(int(cells[2]) + 40)
            boxes[1] = " ".join(cells)
        drained = frozenset(self._open)
        ended = self.loop.time() * 1000.0
        self.printed.append(Printed(begun, ended, sessions, boxes, drained))

    async def _view(self, name: str) -> list[str]:
        """What the console prints for it, without the line that it was asked with."""
        self._lines = []
        await self.ann.run(f"show {name}")
        return self._lines[1:]

    def _said(self, line: str) -> None:
        self._lines.append(line)

    async def _type(self, runner: ScriptRunner, line: str) -> dict[str, Any]:
        """A command, confirmed if it costs something."""
        await runner.run(line)
        self._commands += 1
        if runner.results[-1]["outcome"] == "confirm":
            await runner.run("confirm")
        return runner.results[-1]

    async def _drain(self, runner: ScriptRunner, box: int) -> dict[str, Any]:
        answer = await self._type(runner, f"drain {box} rehearsal")
        while answer["outcome"] == "queued" or (answer["outcome"] == "already" and "waits" in answer["says"]):
            await asyncio.sleep(0.05)
            row = runner.console_client.refresh().projection.servers.get(box)
            if row is not None and row.drained_by:
                break
        self._open.setdefault(box, self.loop.time() * 1000.0)
        return answer

    async def _undrain(self, box: int, runner: ScriptRunner | None = None) -> None:
        begun = self._open.pop(box, None)
        if begun is not None:
            self.drains.append(Drained(box, begun, self.loop.time() * 1000.0))
        await self._type(runner or self.ann, f"undrain {box}")

    async def _burst(self, count: int, play_s: float) -> None:
        for _ in range(count):
            self._numbers += 1
            lesson = self.dice.choice(self.site.lessons)["title"]
            cls = "briefing" if self.dice.random() < 0.4 else "training"
            wish = self.site.wish(f"v{self._numbers}", str(lesson), cls, play_s=play_s)
            self._watched.append(asyncio.ensure_future(self.viewers.watch(wish)))
            await asyncio.sleep(self.dice.expovariate(80.0))

    async def _drain_in_burst(self, box: int) -> None:
        burst = asyncio.ensure_future(self._burst(40, 15.0))
        await asyncio.sleep(0.15)
        await self._drain(self.ann, box)
        await burst

    async def _twice(self, box: int) -> None:
        await asyncio.gather(self._drain(self.ann, box), self._drain(self.bob, box))

    async def _to_and_fro(self, box: int) -> None:
        await self._drain(self.ann, box)
        await self._undrain(box, self.bob)
        await self._drain(self.ann, box)

    async def _die(self, box: int) -> None:
        self.site.boxes[box].die("dies")

    async def _back(self, box: int) -> None:
        await self.site.restart(box)
        self.site.tell(box)

    async def _gone(self, box: int) -> None:
        self.site.boxes[box].die("taken away")
        self.site.tell(box, "gone")

    async def _ready(self, box: int) -> None:
        await self.site.restart(box)
        self.site.tell(box)
        await self._burst(20, 10.0)

    async def _kill_front(self) -> None:
        child = self.unit._processes["front-2"].process
        self.trace.write("front.down", front="front-2")
        child.kill()
        await self.ann.run("wait fronts = 1\nwait fronts = 2")
        self.trace.write("front.up", front="front-2")
        await asyncio.sleep(1.0)

    async def _hold_and_end(self) -> None:
        await self._type(self.bob, "hold lesson-1 rehearsal")
        rows = list(self.ann.console_client.refresh().projection.sessions.values())
        playing = [one.session for one in rows if one.phase == "playing"]
        if playing:
            await self._type(self.bob, f"end {self.dice.choice(playing)} rehearsal")
        await self._burst(10, 5.0)
        await self._type(self.ann, "unhold lesson-1")

    async def _hang(self, box: int) -> None:
        self.site.boxes[box].behaviour.hang = True
        await self._burst(10, 8.0)
        self.site.boxes[box].behaviour.hang = False

    # --- verdict ---

    def _judge(self, records: list[dict[str, Any]]) -> ConsoleDayResult:
        with open(self.folder / "trace.jsonl", encoding="utf-8") as file:
            result = ConsoleDayResult(audit_lines(file))
        book = TraceBook(records, slack_ms=1_200.0)
        for number, printed in enumerate(self.printed, 1):
            result.steps += 1
            result.rows += len(printed.sessions) + len(printed.boxes) - 2
            result.wrong += [f"print {number}: {text}" for text in book.check(printed)]
        still = [Drained(box, begun) for box, begun in self._open.items()]
        result.wrong += book.after_drains([*self.drains, *still], _PLAN.drain_grace_ms)
        result.commands = self._commands
        return result
