"""A test deployment in one process: a test runs a scenario on it, and the auditor then checks its trace."""

from __future__ import annotations

import asyncio
import json
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from fernweir.audit import Auditor, audit_lines
from fernweir.front.program import Front, start_front
from fernweir.http.client import Pool, Reply
from fernweir.rehearsal.site import RehearsalSite, SitePlan
from fernweir.standin.box import Behaviour
from fernweir.standin.entitlement import EntitlementServer
from fernweir.standin.leases import LeaseDesk
from fernweir.standin.trace import Trace
from fernweir.standin.viewer import Viewers, Wish, fetch
from tests.sockets import until

Record = dict[str, Any]


class Scene:
    """The site, its fronts and viewers, and the trace, which a scenario works on."""

    def __init__(self, plan: SitePlan, folder: Path, extra: str) -> None:
        self.loop = asyncio.get_running_loop()
        self.trace = Trace(None, self.loop.time)
        self.records: list[Record] = self.trace.keep()
        self.site = RehearsalSite(plan, folder, self.trace, 1)
        self.extra = extra
        self.desk: LeaseDesk | None = None
        self.entitlement: EntitlementServer | None = None
        self.fronts: list[Front] = []
        self.pool = Pool()
        self.viewers = Viewers({}, self.trace, 1, wall_offset_s=self.site.wall_offset_s)
        self._wish_count = 0

    async def start(self, fronts: int) -> None:
        await self.site.start()
        if self.desk is not None:
            server = EntitlementServer(
                self.desk, self.site.keyring, self.trace, wall_offset_s=self.site.wall_offset_s
            )
            await server.start()
            self.entitlement = server
        for ordinal in range(fronts):
            await self.start_front(ordinal)

    async def start_front(self, ordinal: int) -> Front:
        extra = self.extra
        if self.entitlement is not None:
            extra += f"\n[entitlement]\nurl = {self.entitlement.url}\nledger = seats-{ordinal}\n"
            extra += "call-time = 200 ms\nlongest-lease = 3 s\nreclaim = 400 ms\nuse-every = 100 ms"
        front = await start_front(self.site.config(ordinal, extra=extra))
        name = f"front-{ordinal}"
        self.trace.write("front.up", front=name)
        self.viewers.fronts[name] = front.address
        self.fronts.append(front)
        await front.list_follower.list_received.wait()
        await until(lambda: len(front.core.sessions._servers.states) >= len(self.site.boxes))
        return front

    def close(self) -> None:
        for ordinal, front in enumerate(self.fronts):
            self.trace.write("front.down", front=f"front-{ordinal}")
            front.kill()
        if self.entitlement is not None:
            self.entitlement.stop()
        self.viewers.close()
        self.pool.close()
        self.site.close()

    def wish(self, title: str = "lesson-0", cls: str = "training", **options: Any) -> Wish:
        self._wish_count += 1
        return self.site.wish(f"w{self._wish_count}", title, cls, **options)

    async def request_session(self, wish: Wish, front: int = 0) -> Reply:
        return await self.viewers.ask(f"front-{front}", wish)

    async def http(
        self, method: str, target: str, wish: Wish | None = None, front: int = 0, **fields: str
    ) -> Reply:
        headers = [("authorization", f"Bearer {wish.token}")] if wish is not None else []
        headers += [(name.replace("_", "-"), value) for name, value in fields.items()]
        return await fetch(self.pool, self.fronts[front].address, method, target, 10.0, headers)

    def records_of(self, kind: str, **fields: object) -> list[Record]:
        """Returns the trace records of a kind with the given fields."""
        return [
            record
            for record in self.records
            if record["kind"] == kind and all(record.get(name) == value for name, value in fields.items())
        ]

    def holders(self, title: str = "lesson-0") -> list[int]:
        """Returns the numbers of the servers that have a title."""
        server_count = len(self.site.boxes)
        entry = next(one for one in self.site.lessons if one["title"] == title)
        first_zone, replicas = int(str(entry["cell"])), int(str(entry["copies"]))
        return [(first_zone + offset) % server_count + 1 for offset in range(replicas)]

    async def first_choice(self, title: str = "lesson-0") -> int:
        """Returns the server that fronts attempt first for a title, found by setting up a session."""
        wish = self.wish(title)
        assert (await self.request_session(wish)).status == 200
        server = int(self.records_of("box.setup", session=wish.session)[0]["box"])
        await self.http("DELETE", f"/lessons/{title}/session", wish)
        await until(lambda: self.records_of("box.end", session=wish.session))
        return server

    def set_behaviour(self, number: int, **options: Any) -> None:
        self.site.boxes[number].behaviour = Behaviour(**options)


def play(
    story: Callable[[Scene], Awaitable[None]],
    plan: SitePlan | None = None,
    *,
    fronts: int = 1,
    extra: str = "",
    broken: tuple[str, ...] = (),
    desk: LeaseDesk | None = None,
) -> Auditor:
    """Runs a scenario; exactly the safety rules named in `broken` must be violated, by default none."""

    async def run_scenario(folder: Path) -> list[Record]:
        scene = Scene(plan or SitePlan(), folder, extra)
        scene.desk = desk
        try:
            await scene.start(fronts)
            await story(scene)
        finally:
            scene.close()
        return scene.records

    with tempfile.TemporaryDirectory() as folder:
        records = asyncio.run(run_scenario(Path(folder)))
    auditor = audit_lines(json.dumps(record) for record in records)
    assert {finding.rule for finding in auditor.findings} == set(broken), auditor.findings[:5]
    return auditor
