"""Kill -9 of any process of a unit, again and again: it comes back by itself, and what was ordered stands.

The unit, its fronts, simulated boxes and list are processes of their own; this plays the service manager,
which starts the unit again, the operator, whose commands go on through it all, and the viewers.
"""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from fernweir.appliance.layout import Layout, load_unit
from fernweir.appliance.make import UnitOptions, create_unit
from fernweir.config.front import load_front
from fernweir.control.client import ControlClient, ControlError
from fernweir.standin.trace import Trace
from fernweir.standin.viewer import Viewers, Wish
from fernweir.tokens import Keyring, SessionClaims

_BACK_S = 60.0


@dataclass(slots=True)
class KillsResult:
    kills: Counter[str] = field(default_factory=Counter)
    back_s: list[float] = field(default_factory=list)
    commands: int = 0
    played: int = 0
    asked: int = 0
    wrong: list[str] = field(default_factory=list)


class Kills:
    def __init__(self, seed: int, count: int, folder: Path, say: Callable[[str], None]) -> None:
        self.seed, self.count, self.folder, self.say = seed, count, folder, say
        self.dice = Random(f"kills {seed}")
        self.result = KillsResult()
        self.root = folder / "u"
        self.layout = Layout(self.root)
        self.drained: set[str] = set()
        self.held: set[str] = set()
        self._given: list[tuple[str, str, str]] = []  # id, what, target
        self._unit: subprocess.Popen[bytes] | None = None
        self._over = False

    async def run(self) -> KillsResult:
        create_unit(
            self.root, UnitOptions("kills", fronts=2, port=0, simulated_servers=4, issuer="rehearsal")
        )
        ini = self.layout.unit_ini
        ini.write_text(ini.read_text().replace(
            "fronts = 2", "fronts = 2\nrestarts = 1000\nfirst-pause = 50 ms\nlongest-pause = 500 ms"
        ))  # fmt: skip
        self._start()
        self.client = ControlClient(self.layout.socket, "ann", watch=True, max_backoff_s=0.1)
        self.client.start()
        await self.client.wait_ready(_BACK_S)
        await self._all_ready()
        viewers = asyncio.ensure_future(self._viewers())
        try:
            for number in range(self.count):
                await self._one(number)
        finally:
            self._over = True
            await viewers
            self.client.close()
            assert self._unit is not None
            self._unit.terminate()
            code = await asyncio.to_thread(self._unit.wait)
            if code != 0:
                self.result.wrong.append(f"the unit stopped with {code}")
        return self.result

    def _start(self) -> None:
        with open(self.folder / "unit.log", "ab") as log:
            command = [sys.executable, "-m", "fernweir", "appliance", "run", str(self.root)]
            self._unit = subprocess.Popen(command, stdout=log, stderr=log)

    async def _one(self, number: int) -> None:
        """A kill at a drawn moment, with a command on its way; then all must be as ordered."""
        rows = await self._all_ready()
        victim = self.dice.choice(["unit", *rows, "front-1", "front-2"])
        command = asyncio.ensure_future(self._command(number))
        await asyncio.sleep(self.dice.uniform(0.0, 0.03))
        begun = time.monotonic()
        assert self._unit is not None
        pid = self._unit.pid if victim == "unit" else int(rows[victim]["pid"])
        if pid:
            os.kill(pid, signal.SIGKILL)
        self.result.kills[victim.rstrip("0123456789").rstrip("-")] += 1
        if victim == "unit":
            self._unit.wait()
            self._start()  # as Restart=always does
        after = await self._all_ready(not_pid={victim: pid})
        self.result.back_s.append(time.monotonic() - begun)
        await command
        await self._check(number, victim, after)
        if number % 10 == 9:
            self.say(f"  {number + 1} kills, last {victim}, {len(self.result.wrong)} wrong")

    async def _command(self, number: int) -> None:
        """Drains, holds and their ends, each to be done once however often the connection breaks."""
        id = f"k{number}"
        kind = self.dice.choice(["drain", "undrain", "hold", "unhold"])
        if kind in ("drain", "undrain"):
            target = str(self.dice.randint(1, 4))
            wanted = self.drained
        else:
            target, wanted = f"lesson-{self.dice.randint(1, 6)}", self.held
        fields: dict[str, Any] = {"target": target}
        while True:
            answer = await self.client.ask(kind, id=id, **fields)
            if answer["outcome"] != "confirm":
                break
            fields["mark"] = answer["mark"]
        self.result.commands += 1
        self._given.append((id, kind, target))
        if answer["outcome"] in ("done", "queued", "already"):
            (wanted.discard if kind.startswith("un") else wanted.add)(target)
        else:
            self.result.wrong.append(f"{kind} {target}: {answer}")

    async def _check(self, number: int, victim: str, rows: dict[str, Any]) -> None:
        where = f"kill {number + 1} of {victim}"
        await self._settled(where)
        orders = (await self.client.ask("events", what="order", limit=500))["rows"]
        ids = Counter(row[12].get("id") for row in orders if len(row) > 12 and row[12].get("id"))
        twice = [id for id, count in ids.items() if count > 1]
        if twice:
            self.result.wrong.append(f"{where}: done twice: {twice}")
        for name in ("front-1", "front-2"):
            number_of_front = int(name[-1])
            await self._front_stands(where, self.layout.front_socket(number_of_front), name)

    async def _settled(self, where: str) -> None:
        """The unit's own picture must come to show what was ordered."""
        end = time.monotonic() + 20.0
        drained: set[str] = set()
        holds: set[str] = set()
        while time.monotonic() < end:
            answer = await self.client.ask("overview")
            boxes = (await self.client.ask("boxes"))["rows"]
            drained = {str(row["box"]) for row in boxes if row["drained_by"]}
            holds = set(answer["holds"])
            if (drained, holds) == (self.drained, self.held):
                return
            await asyncio.sleep(0.05)
        self.result.wrong.append(
            f"{where}: drained {drained} held {holds}, ordered {self.drained} {self.held}"
        )

    async def _front_stands(self, where: str, socket: Path, name: str) -> None:
        client = ControlClient(socket, "probe", max_backoff_s=0.1)
        client.start()
        try:
            await client.wait_ready(20.0)
            end = time.monotonic() + 10.0
            while True:
                boxes = (await client.ask("boxes"))["rows"]
                drained = {str(row["box"]) for row in boxes if row["drained_by"]}
                if drained == self.drained:
                    return
                if time.monotonic() > end:
                    self.result.wrong.append(f"{where}: {name} drains {drained}, ordered {self.drained}")
                    return
                await asyncio.sleep(0.05)
        except ControlError as error:
            self.result.wrong.append(f"{where}: {name}: {error}")
        finally:
            client.close()

    async def _all_ready(self, not_pid: dict[str, int] | None = None) -> dict[str, Any]:
        """All children are ready, and the killed one is another process."""
        end = time.monotonic() + _BACK_S
        rows: dict[str, Any] = {}
        while time.monotonic() < end:
            unit = (await self.client.ask("unit"))["unit"]
            rows = {one["name"]: one for one in unit["children"]}
            pids = {"unit": unit["pid"], **{name: one["pid"] for name, one in rows.items()}}
            same = [name for name, pid in (not_pid or {}).items() if pids.get(name) == pid]
            if not same and all(one["state"] == "ready" for one in rows.values()):
                return rows
            await asyncio.sleep(0.02)
        states = {name: one["state"] for name, one in rows.items()}
        self.result.wrong.append(f"not back after {_BACK_S:.0f} s: {states}")
        return rows

    async def _viewers(self) -> None:
        """Somebody always comes, so that fronts are killed with sessions in their hands."""
        config = load_unit(self.root)
        keyring = Keyring.from_json(self.layout.keys.read_text())
        fronts = {
            f"front-{number}": load_front(self.layout.front_ini(number)).front.listen
            for number in range(1, config.unit.fronts + 1)
        }
        viewers = Viewers(fronts, Trace(None, time.monotonic), self.seed)
        tasks: list[asyncio.Task[Any]] = []
        number = 0
        while not self._over:
            number += 1
            now = int(time.time())
            claims = SessionClaims(
                iss="rehearsal", aud="fernweir-front", iat=now, exp=now + 600, sub="p", jti=f"v{number}",
                title=f"lesson-{self.dice.randint(1, 6)}", cls="training", top=4,
            )  # fmt: skip
            wish = Wish(claims.jti, keyring.sign(claims), claims.title, "training", 3.0, 4_000.0)
            tasks.append(asyncio.ensure_future(viewers.watch(wish)))
            await asyncio.sleep(0.2)
        shown = await asyncio.gather(*tasks, return_exceptions=True)
        viewers.close()
        self.result.asked = number
        self.result.played = sum(getattr(one, "played_s", 0.0) > 0.0 for one in shown)
