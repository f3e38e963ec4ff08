"""Builds a small site: keys, simulated boxes, a list server, lessons, and the settings of its fronts."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from fernweir.config.front import FrontConfig, load_front
from fernweir.standin.box import Box, BoxSpec
from fernweir.standin.listserver import Line, ListServer
from fernweir.standin.site import Cold, Rack, Site, SiteClass, SiteTimes
from fernweir.standin.trace import Trace
from fernweir.standin.viewer import Wish
from fernweir.tokens import Keyring, SessionClaims
from fernweir.tokens.key_generation import generate_key_set

ISSUER = "rehearsal"


@dataclass(frozen=True, slots=True)
class SitePlan:
    """How large a site is and what its rules are. Times are milliseconds, rates kB a second."""

    boxes: int = 4
    racks: int = 2
    fronts: int = 2
    lessons: int = 6
    copies: int = 3
    streams: int = 30
    link_kb: float = 12_000.0
    uplink_kb: float | None = None
    ladder_kb: tuple[float, ...] = (150.0, 300.0, 500.0, 800.0, 1_200.0)
    worths: tuple[float, ...] = (0.25, 0.5, 0.7, 0.9, 1.0)
    classes: tuple[SiteClass, ...] = (
        SiteClass("briefing", scale=1.4, floor=1, seats=12, deadline_ms=3000.0),
        SiteClass("training", scale=1.0, floor=0, seats=0, deadline_ms=4000.0),
    )
    gains: tuple[float, ...] = (3.0, 1.0)
    top_rungs: tuple[int, ...] = (4, 3)
    aim_ms: float = 800.0
    drain_grace_ms: float = 1000.0
    attempts: int = 3
    budget: tuple[float, float, float] = (10_000.0, 5.0, 0.1)
    cold: Cold | None = field(default_factory=lambda: Cold(8_000.0, 0.5, 2.5, 3_000.0))
    times: SiteTimes = field(default_factory=SiteTimes)
    way_ms: float = 0.0
    front_extra: str = ""
    token_lines: str = ""


class RehearsalSite:
    """The stand-ins of a plan, in this process. Fronts are started by the caller from `settings`."""

    def __init__(
        self, plan: SitePlan, folder: Path, trace: Trace, seed: int, *, wall_offset_s: float | None = None
    ) -> None:
        self.plan, self.folder, self.trace, self.seed = plan, folder, trace, seed
        self.loop = asyncio.get_running_loop()
        self.wall_offset_s = time.time() - self.loop.time() if wall_offset_s is None else wall_offset_s
        folder.mkdir(parents=True, exist_ok=True)
        (folder / "keys.json").write_text(generate_key_set("k1", "k2"))
        self.keyring = Keyring.from_json((folder / "keys.json").read_text(), sign_with="k1")
        uplink = plan.uplink_kb or plan.link_kb * plan.boxes / plan.racks * 0.7
        self.site = Site(
            plan.ladder_kb,
            {one.name: one for one in plan.classes},
            self.keyring,
            [Rack(uplink) for _ in range(plan.racks)],
            cold=plan.cold,
            times=plan.times,
            wall_offset_s=self.wall_offset_s,
        )
        self.uplink_kb = uplink
        self.list = ListServer(self.keyring, trace, wall_offset_s=self.wall_offset_s)
        specs = [
            BoxSpec(number + 1, number % plan.racks, plan.link_kb, plan.streams, cell=number)
            for number in range(plan.boxes)
        ]
        self.boxes = {spec.number: Box(spec, self.site, trace, seed) for spec in specs}
        self._born: dict[int, float | None] = {}
        dice = Random(f"lessons {seed}")
        self.lessons = [
            {
                "title": f"lesson-{number}",
                "cell": dice.randrange(plan.boxes),
                "copies": min(plan.copies, plan.boxes),
            }
            for number in range(plan.lessons)
        ]
        self.list.lessons = list(self.lessons)

    async def start(self) -> None:
        self.write_terms()
        for box in self.boxes.values():
            await box.start()
            self._born[box.spec.number] = None
        await self.list.start()
        self.list.put(*(self.line(number) for number in self.boxes))

    def close(self) -> None:
        self.list.stop()
        for box in self.boxes.values():
            box.die("end of the day")

    def write_terms(self) -> None:
        """The first record of a trace: the figures of the rules."""
        plan = self.plan
        cold = plan.cold
        self.trace.write(
            "terms",
            rungs=len(plan.ladder_kb),
            way_ms=plan.way_ms,
            overlap_ms=plan.times.overlap,
            drain_grace_ms=plan.drain_grace_ms,
            classes=[
                {"name": one.name, "floor": one.floor, "seats": one.seats, "effect": one.effect}
                for one in plan.classes
            ],
            budget=None
            if not plan.budget
            else {"span_ms": plan.budget[0], "free": plan.budget[1], "share": plan.budget[2]},
            cold=None
            if cold is None
            else {
                "warm_up_ms": cold.warm_up_ms,
                "cold_from": cold.cold_from,
                "multiple": cold.multiple,
                "window_ms": cold.window_ms,
            },
        )

    # --- the list ---

    def line(self, number: int, state: str = "ready") -> Line:
        box = self.boxes[number]
        host, port = box.address
        return Line(
            number, host, port, state, box.boot, self._born.get(number), box.spec.cell, box.spec.kind, 1.0
        )

    def tell(self, number: int, state: str = "ready") -> None:
        """The list says this of a box from now on."""
        self.list.put(self.line(number, state))

    async def restart(self, number: int, *, cold: bool = True) -> None:
        """A box comes back, cold; the list is not told by this."""
        await self.boxes[number].start(cold=cold)
        self._born[number] = self.loop.time()

    # --- fronts and viewers ---

    def settings(self, ordinal: int, port: int = 0, extra: str = "") -> Path:
        """Writes the INI of one front and gives its path."""
        plan = self.plan
        cold = plan.cold
        lines = [
            "[front]", f"name = front-{ordinal}", f"listen = 127.0.0.1:{port}", f"ordinal = {ordinal}",
            f"fronts = {plan.fronts}", f"seed = {self.seed * 1000 + ordinal}", plan.front_extra, extra,
            "[list]", f"url = {self.list.url}", f"cache = boxes-{ordinal}.json",
            "[tokens]", "keys = keys.json", "sign-with = k1", f"issuer = {ISSUER}", plan.token_lines,
            "[fleet]", f"cells = {plan.boxes}", f"racks = {plan.racks}", f"streams = {plan.streams}",
            f"link = {plan.link_kb} kB/s", f"uplink = {self.uplink_kb} kB/s",
            "[ladder]", "rates = " + ", ".join(f"{rate} kB/s" for rate in plan.ladder_kb),
            "worths = " + ", ".join(str(worth) for worth in plan.worths), "switch-cost = 500 ms",
            "[reports]", "fields = x0, x1", f"tell = {plan.times.tell} ms",
            f"seen-after = {plan.times.seen_after} ms",
            "[rules]", f"attempts = {plan.attempts}", "retry-after-max = 1 s",
            f"drain-grace = {plan.drain_grace_ms} ms",
        ]  # fmt: skip
        if plan.budget:
            lines += [
                f"budget-span = {plan.budget[0]} ms",
                f"budget-free = {plan.budget[1]}",
                f"budget-share = {plan.budget[2]}",
            ]
        if cold is not None:
            lines += [
                f"cold-warm-up = {cold.warm_up_ms} ms",
                f"cold-from = {cold.cold_from}",
                f"cold-multiple = {cold.multiple}",
                f"cold-span = {cold.window_ms} ms",
            ]
        for one, gain, top in zip(plan.classes, plan.gains, plan.top_rungs, strict=True):
            lines += [
                f"[class.{one.name}]", f"aim = {plan.aim_ms} ms", f"deadline = {one.deadline_ms} ms",
                f"gain = {gain}", f"scale = {one.scale}", f"lowest-rung = {one.floor}",
                f"top-rung = {top}", f"seats = {one.seats}", f"effect = {one.effect}",
                f"when-silent = {one.when_silent}",
            ]  # fmt: skip
        path = self.folder / f"front-{ordinal}.ini"
        path.write_text("\n".join(lines) + "\n")
        return path

    def config(self, ordinal: int, port: int = 0, extra: str = "") -> FrontConfig:
        return load_front(self.settings(ordinal, port, extra))

    def claims(
        self, session: str, title: str, cls: str, *, top: int = 4, life_s: float = 3600.0
    ) -> SessionClaims:
        now = int(self.loop.time() + self.wall_offset_s)
        return SessionClaims(
            iss=ISSUER, aud="fernweir-front", iat=now, exp=int(now + life_s), sub=f"person-{session}",
            jti=session, title=title, cls=cls, top=top,
        )  # fmt: skip

    def wish(
        self, session: str, title: str, cls: str = "training", *, play_s: float = 5.0, top: int = 4,
        wait_s: int = 0, in_query: bool = False, life_s: float = 3600.0,
    ) -> Wish:  # fmt: skip
        token = self.keyring.sign(self.claims(session, title, cls, top=top, life_s=life_s))
        deadline = self.site.classes[cls].deadline_ms
        return Wish(session, token, title, cls, play_s, deadline, wait_s, in_query)
