"""Hours of churn on a virtual clock: the host, its journal and a console's picture, without sockets.

Viewers come and go, boxes die and come back with a new start, operators drain and undrain, a watcher drops
and goes on. Memory and disk are looked at all the while, and at the end the console must show what the host
holds.
"""

from __future__ import annotations

import heapq
import resource
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

import orjson

from fernweir.console.state import History
from fernweir.control.channel import snapshot_lines
from fernweir.control.follow import Follower
from fernweir.control.orders import Order, Orders
from fernweir.control.overlay import Overlay
from fernweir.front.commands import (
    ReleaseSession,
    SendHealthCheck,
    SessionReply,
    SessionRequest,
    SetUp,
    SetUpResult,
    StartTimer,
)
from fernweir.front.session_manager import SessionManager, SessionPhase
from fernweir.interface import (
    Endpoint,
    EndpointListKind,
    EndpointListUpdate,
    NoticeKind,
    Result,
    ServerState,
    Settings,
)
from fernweir.journal.disk import JournalFolder
from fernweir.journal.events import Entry, EventKind, to_row
from fernweir.journal.state_projection import StateProjection
from fernweir.journal.store import Journal, JournalConfig

_MINUTE = 60_000.0


@dataclass(frozen=True, slots=True)
class HoursPlan:
    """`rate` is new sessions a second; bytes are the bounds that are to hold."""

    seed: int = 1
    hours: float = 8.0
    rate: float = 2.0
    boxes: int = 24
    play_ms: tuple[float, float] = (60_000.0, 600_000.0)
    memory_bytes: int = 8 << 20
    disk_bytes: int = 32 << 20


@dataclass(slots=True)
class HoursResult:
    sessions: int = 0
    entries: int = 0
    most_held: int = 0
    most_journal: int = 0
    most_disk: int = 0
    python_mb: list[float] = field(default_factory=list)  # of each hour
    resident_mb: float = 0.0
    reconnects: int = 0
    first_kept: int = 0
    wrong: list[str] = field(default_factory=list)


class Hours:
    def __init__(self, plan: HoursPlan, settings: Settings, folder: Path, say: Callable[[str], None]) -> None:
        self.plan, self.say = plan, say
        self.dice = Random(f"hours {plan.seed}")
        self.now = 1_000.0
        self.result = HoursResult()
        self.folder = JournalFolder(folder, max_bytes=plan.disk_bytes, file_bytes=plan.disk_bytes // 8)
        self.journal = Journal("front-1", JournalConfig(max_memory_bytes=plan.memory_bytes), self.folder)
        self.journal.restore(*self.folder.open())
        self.here = StateProjection()  # the front's own
        self.orders = Orders()
        self.host = SessionManager(
            settings, plan.seed, journal=self.journal, overlay=Overlay(self.orders.drained)
        )
        self.console = Follower()
        self.history = History()
        self.console.on_entry = self.history.add
        self._connected = True
        self._pending: list[Entry] = []
        self.journal.watchers += [self.here.apply, self._watch]
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._number = 0
        self._alive: dict[int, float] = {}
        self._tickets = 0

    def run(self) -> HoursResult:
        plan, dice = self.plan, self.dice
        end = self.now + plan.hours * 60.0 * _MINUTE
        self.journal.add(self.now, EventKind.FRONT, why="up")
        self._snapshot()
        for box in range(1, plan.boxes + 1):
            self._alive[box] = 0.0
        self._list(EndpointListKind.FULL, list(self._alive))
        self._at(self.now, self._arrive)
        for box in self._alive:
            self._at(self.now + dice.expovariate(1.0 / (45.0 * _MINUTE)), self._fall, box)
        self._at(self.now + 7.0 * _MINUTE, self._order)
        self._at(self.now + 11.0 * _MINUTE, self._drop)
        self._at(self.now + _MINUTE, self._look)
        tracemalloc.start()
        try:
            self._play(end)
            self._finish()
        finally:
            tracemalloc.stop()  # or all that this process does from now on takes several times as long
        return self.result

    def _play(self, end: float) -> None:
        while self._events and self._events[0][0] < end:
            at, _, do, args = heapq.heappop(self._events)
            due = self.host.next_deadline()
            while due is not None and due < at:
                self.now = max(self.now, due)
                self._step()
                again = self.host.next_deadline()
                due = again if again != due else None
            self.now = max(self.now, at)
            do(*args)
            self._step()

    # --- the world ---

    def _at(self, when: float, do: Callable[..., None], *args: Any) -> None:
        self._number += 1
        heapq.heappush(self._events, (when, self._number, do, args))

    def _arrive(self) -> None:
        self._tickets += 1
        self.result.sessions += 1
        title = min(int(self.dice.paretovariate(0.7)), 40)
        copies = min(6, self.plan.boxes)
        cell = (title * 5) % self.host.settings.zone_count
        cls = self.dice.randrange(len(self.host.settings.classes))
        self.host.request_session(self.now, SessionRequest(
            self._tickets, "none", f"s{self._tickets}", "p", f"lesson-{title}", title, cell, copies, cls, 4,
            3_000.0, f"tenant-{title % 7}",
        ))  # fmt: skip
        self._at(self.now + self.dice.expovariate(self.plan.rate) * 1_000.0, self._arrive)

    def _fall(self, box: int) -> None:
        """A box dies; the list learns of it, and of its new life, later."""
        self._alive.pop(box, None)
        self.host.on_server_lost(self.now, box)
        self._at(self.now + 2_000.0, self._tell, box)
        self._at(self.now + self.dice.uniform(20_000.0, 120_000.0), self._rise, box)

    def _rise(self, box: int) -> None:
        self._alive[box] = self.now
        self._tell(box)
        self._at(self.now + self.dice.expovariate(1.0 / (45.0 * _MINUTE)), self._fall, box)

    def _tell(self, box: int) -> None:
        self._list(EndpointListKind.DELTA, [box])

    def _list(self, kind: EndpointListKind, boxes: list[int]) -> None:
        entries = tuple(
            Endpoint(
                box,
                ServerState.READY if box in self._alive else ServerState.REMOVED,
                self._alive.get(box, 0.0),
                (box - 1) % self.host.settings.zone_count,
                0,
                1.0,
            )
            for box in boxes
        )
        self.host.on_endpoint_list(self.now, EndpointListUpdate(kind, 1, entries))

    def _order(self) -> None:
        box = str(self.dice.randint(1, self.plan.boxes))
        if box in self.orders.drains:
            del self.orders.drains[box]
        elif len(self.orders.drains) < 3:
            self.orders.drains[box] = Order("ann", int(self.now))
        self.host.on_operator_orders_changed(self.now)
        more = {"by": "ann", **self.orders.tables()}
        self.journal.add(self.now, EventKind.ORDER, why=f"box {box}", more=more)
        self._at(self.now + 7.0 * _MINUTE, self._order)

    def _step(self) -> None:
        for command in self.host.step(self.now):
            if isinstance(command, SetUp):
                self._at(self.now + self.dice.uniform(5.0, 60.0), self._set_up, command)
            elif isinstance(command, SendHealthCheck):
                self._at(self.now + 5.0, self._probe, command.server)
            elif isinstance(command, StartTimer):
                self._at(self.now + command.delay_ms, self.host.on_timer, self.now + command.delay_ms,
                         command.token)  # fmt: skip
            elif isinstance(command, SessionReply | ReleaseSession):
                pass  # viewers here leave by their own clock, and boxes do as they are told
        self.result.most_held = max(self.result.most_held, self.host.session_count)

    def _set_up(self, command: SetUp) -> None:
        jti, box = command.request.session_id, command.server
        alive = box in self._alive
        fails = self.dice.random() < 0.01
        result = Result.CONNECT_FAILED if not alive else Result.FULL if fails else Result.OK
        report = {"x0": self._load(box), "x1": 0.3}
        self.host.on_attempt_finished(
            self.now, jti, command.attempt, SetUpResult(result, 20.0, report, "manifest")
        )
        if result is Result.OK:
            at = self.now + self.dice.uniform(*self.plan.play_ms)
            self._at(at, self.host.on_session_ended, at, jti, command.attempt, Result.OK)
            self._at(self.now + 10_000.0, self._news, jti, command.attempt, box)

    def _news(self, jti: str, attempt: int, box: int) -> None:
        held = self.host.session(jti)
        if held is not None and held.phase is SessionPhase.PLAYING:
            self.host.on_server_notice(self.now, jti, attempt, NoticeKind.LINK, self._load(box))
            self._at(self.now + 60_000.0, self._news, jti, attempt, box)

    def _load(self, box: int) -> float:
        return min(len(self.host.sessions_playing_at(box)) / 60.0, 1.5)

    def _probe(self, box: int) -> None:
        result = Result.OK if box in self._alive else Result.CONNECT_FAILED
        self.host.on_health_check_finished(self.now, box, result, 2.0, {"x0": self._load(box), "x1": 0.3})

    # --- the console ---

    def _watch(self, entry: Entry) -> None:
        if self._connected:
            self._pending.append(entry)
            if len(self._pending) >= 100:
                self._flush()

    def _flush(self) -> None:
        """Over the wire's own form, so that what is folded is what would have come through."""
        rows, self._pending = [to_row(entry) for entry in self._pending], []
        if rows:
            self.console.handle_message(orjson.loads(orjson.dumps({"watch": "entries", "rows": rows})))

    def _snapshot(self) -> None:
        self._pending = []
        for line in snapshot_lines(self.here):
            self.console.handle_message(orjson.loads(line))

    def _drop(self) -> None:
        """The console's connection breaks for a while; it goes on from its last entry if it can."""
        self._flush()
        self._connected = False
        self._at(self.now + self.dice.choice([500.0, 20_000.0, 10.0 * _MINUTE]), self._reconnect)

    def _reconnect(self) -> None:
        self.result.reconnects += 1
        self._connected = True
        picture = self.console.projection
        assert picture is not None
        missing = self.journal.last - picture.number
        if self.journal.first <= picture.number + 1 and missing <= 5_000:
            self._pending = list(self.journal.entries(picture.number + 1))
            self._flush()
        else:
            self._snapshot()
        self._at(self.now + self.dice.uniform(3.0, 20.0) * _MINUTE, self._drop)

    # --- looking ---

    def _look(self) -> None:
        result, plan = self.result, self.plan
        result.most_journal = max(result.most_journal, self.journal.memory_bytes)
        result.most_disk = max(result.most_disk, self.folder.stored_bytes)
        if self.journal.memory_bytes > plan.memory_bytes:
            result.wrong.append(f"journal takes {self.journal.memory_bytes} bytes of memory")
        if self.folder.stored_bytes > plan.disk_bytes * 9 // 8:
            result.wrong.append(f"journal takes {self.folder.stored_bytes} bytes of disk")
        minute = round(self.now / _MINUTE)
        if minute % 60 == 0:
            result.python_mb.append(tracemalloc.get_traced_memory()[0] / 1e6)
            self.say(f"  {minute // 60} h: {self.host.session_count} sessions, {self.journal.last} entries, "
                     f"{result.python_mb[-1]:.1f} MB")  # fmt: skip
        self._at(self.now + _MINUTE, self._look)

    def _finish(self) -> None:
        result = self.result
        if not self._connected:
            self._reconnect()
        self._flush()
        picture = self.console.projection
        assert picture is not None
        held = {jti: (one.phase.value, one.server if one.phase is not SessionPhase.PENDING else -1)
                for jti, one in self.host.records().items()}  # fmt: skip
        shown = {row.session: (row.phase, row.server) for row in picture.sessions.values()}
        if held != shown:
            result.wrong.append(f"{len(held.items() ^ shown.items())} sessions are shown otherwise than held")
        for box, row in picture.servers.items():
            if row.playing != len(self.host.sessions_playing_at(box)):
                result.wrong.append(
                    f"box {box}: {row.playing} shown, {len(self.host.sessions_playing_at(box))} held"
                )
            if (row.state == "draining") != (str(box) in self.orders.drains and box in self._alive):
                result.wrong.append(f"box {box} is shown {row.state}")
        if picture.to_plain() != self.here.to_plain():
            result.wrong.append("the console's picture is not the front's")
        if self.console.resync_reason:
            result.wrong.append(self.console.resync_reason)
        result.entries, result.first_kept = self.journal.last, self.journal.first
        result.resident_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0
        self.folder.close()
