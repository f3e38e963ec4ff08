"""Runs a unit: children as processes, fronts' journals as one, operators' orders to all. A thin shell."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Mapping
from typing import Any

import structlog

from fernweir.appliance.layout import Lock, UnitConfig, UnitError, migrate
from fernweir.appliance.logs import open_log, rotate
from fernweir.appliance.merge import Merger
from fernweir.appliance.supervise import Child, Say, Start, State, SuperviseRules, Supervisor, Terminate
from fernweir.control.channel import ControlServer
from fernweir.control.client import ControlClient, ControlError
from fernweir.control.desk import OrderService, OrderServiceSettings, load_orders
from fernweir.control.orders import Orders, SiteSnapshot
from fernweir.control.statefile import StateFileError
from fernweir.journal.disk import JournalFolder
from fernweir.journal.store import Journal, JournalConfig

_ASK_S = 2.0
_POLL_S = 0.05
_ROTATE_S = 5.0


class _Process:
    """One child that runs."""

    def __init__(self, unit: Unit, name: str, command: list[str]) -> None:
        self.unit, self.name = unit, name
        log = open_log(unit.layout.log / f"{name}.log")
        try:
            # The pipe is never written to: it ends with this process, and the child with it.
            self.process = subprocess.Popen(
                command, stdin=subprocess.PIPE, stdout=log, stderr=log, close_fds=True
            )
        finally:
            os.close(log)
        self._handle = os.pidfd_open(self.process.pid)
        unit.loop.add_reader(self._handle, self._ended)

    def _ended(self) -> None:
        code = self.process.wait()
        self.forget()
        how = f"killed by signal {-code}" if code < 0 else f"ended with {code}"
        self.unit.exited(self.name, how)

    def forget(self) -> None:
        self.unit.loop.remove_reader(self._handle)
        os.close(self._handle)
        if self.process.stdin is not None:
            self.process.stdin.close()


class Unit:
    """`start`, then wait for `over`. UnitError if it can't start."""

    def __init__(self, config: UnitConfig) -> None:
        self.config, self.layout = config, config.layout
        self.loop = asyncio.get_running_loop()
        self.log: Any = structlog.get_logger().bind(unit=config.unit.name)
        self.over = asyncio.Event()
        self.offset_ms = time.time() * 1000.0 - self.loop.time() * 1000.0
        self._lock = Lock(self.layout)
        self._processes: dict[str, _Process] = {}
        self._commands = _commands(config)
        unit = config.unit
        rules = SuperviseRules(
            first_pause_ms=unit.first_pause,
            longest_pause_ms=unit.longest_pause,
            restarts=unit.restarts,
            window_ms=unit.restarts_within,
        )
        boxes = tuple(name for name in self._commands if name.startswith("box-"))
        needs = {"list": boxes, **{name: ("list",) for name in self._commands if name.startswith("front-")}}
        if config.trial is None:
            needs = {}
        children = [Child(name, needs.get(name, ())) for name in self._commands]
        self.supervisor = Supervisor(children, rules, seed=os.getpid())
        self.clients: dict[str, ControlClient] = {}
        self._timers: set[asyncio.TimerHandle] = set()
        self._wake: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[Any]] = set()

    async def start(self) -> None:
        self._lock.take()
        try:
            for done in migrate(self.layout):
                self.log.info(done)
            orders = load_orders(self.layout.orders)
            self.folder = JournalFolder(self.layout.journal, max_bytes=int(self.config.unit.journal_disk))
            self.journal = Journal("", JournalConfig(), self.folder, wall_offset_ms=self.offset_ms)
            self.journal.on_fault = self._trouble
            self.journal.restore(*self.folder.open())
        except (StateFileError, OSError) as error:
            self._lock.give_back()
            raise UnitError(str(error)) from None
        for note in self.folder.problems:
            self.log.warning("journal is not whole", why=note)
        self.merger = Merger(self.journal)
        self.merger.recover()
        rules = OrderServiceSettings(tuple(self.config.unit.operators))
        self.desk = OrderService(self.config.unit.name, self.journal, orders, self, rules, self.layout.orders)
        for entry in self.journal.entries(self.journal.first):
            self.desk.projection.apply(entry)
        for front in list(self.desk.projection.fronts):
            self.merger.gone(front, self.wall_time_ms())  # none of them runs yet
        self.channel = ControlServer(self.desk, self.layout.socket, mode=self.config.unit.mode)
        self.journal.watchers.append(self.channel.on_journal_entry)
        for number in range(1, self.config.unit.fronts + 1):
            self._follow(number)
        self.desk.start_orders()
        await self.channel.listen()
        self._run()
        self._rotate()

    async def stop(self) -> None:
        """All children end, in order; then the unit does."""
        self.supervisor.stop(self._now())
        self._run()
        await self.over.wait()

    def close(self) -> None:
        for timer in [*self._timers, *([self._wake] if self._wake else [])]:
            timer.cancel()
        for task in self._tasks:
            task.cancel()
        for client in self.clients.values():
            client.close()
        for process in list(self._processes.values()):
            process.process.kill()
            process.process.wait()
            process.forget()
        self._processes.clear()
        self.channel.close()
        self.folder.close()
        self._lock.give_back()

    # --- children ---

    def exited(self, name: str, how: str) -> None:
        self._processes.pop(name, None)
        if name in self.clients and name in self.desk.projection.fronts:
            self.merger.gone(name, self.wall_time_ms())
        for command in self.supervisor.exited(self._now(), name, how):
            if isinstance(command, Say):
                self.log.warning(command.text, child=command.name)
        self._run()

    def _run(self) -> None:
        for command in self.supervisor.step(self._now()):
            if isinstance(command, Start):
                self._start(command.name)
            elif isinstance(command, Say):
                self.log.warning(command.text, child=command.name)
            elif (process := self._processes.get(command.name)) is not None:
                process.process.send_signal(
                    signal.SIGTERM if isinstance(command, Terminate) else signal.SIGKILL
                )
        if self.supervisor.stopped:
            self.over.set()
            return
        if self._wake is not None:
            self._wake.cancel()
            self._wake = None
        due = self.supervisor.next_due()
        if due is not None:
            self._wake = self.loop.call_at(due / 1000.0, self._run)

    def _start(self, name: str) -> None:
        self.log.info("child starts", child=name)
        try:
            self._processes[name] = _Process(self, name, self._commands[name][0])
        except OSError as error:
            how = f"can't be started: {error.strerror}"
            self.loop.call_soon(self.exited, name, how)
            return
        self._poll(name, self._processes[name])

    def _poll(self, name: str, process: _Process) -> None:
        """Asks until the child is ready or is no longer this one."""
        if self._processes.get(name) is not process:
            return
        client = self.clients.get(name)
        if client is not None:
            if client.connected and client.hello.get("pid") == process.process.pid:
                self._is_ready(name)
                return
        else:
            address = self._commands[name][1]

            def connected(task: asyncio.Task[Any]) -> None:
                self._tasks.discard(task)
                if not task.cancelled() and task.exception() is None:
                    task.result()[0].abort()
                    if self._processes.get(name) is process:
                        self._is_ready(name)

            if address is not None:
                task = asyncio.ensure_future(self.loop.create_connection(asyncio.Protocol, *address))
                self._tasks.add(task)
                task.add_done_callback(connected)
        if self.supervisor.rows[name].state is State.STARTING:
            self._later(_POLL_S, lambda: self._poll(name, process))

    def _is_ready(self, name: str) -> None:
        if self.supervisor.rows[name].state is State.STARTING:
            self.log.info("child is ready", child=name)
            self.supervisor.ready(self._now(), name)
            self._run()

    def _rotate(self) -> None:
        for name in [*self._commands, "unit"]:
            try:
                rotate(self.layout.log / f"{name}.log", int(self.config.unit.log_size), self.config.unit.logs)
            except OSError as error:
                self.log.warning("log not rotated", child=name, why=error.strerror)
        self._later(_ROTATE_S, self._rotate)

    # --- fronts ---

    def _follow(self, number: int) -> None:
        name = f"front-{number}"
        client = ControlClient(self.layout.front_socket(number), "unit", watch=True, max_backoff_s=0.2)
        taken = self.merger.since(name)
        client.resume_from(taken.journal, taken.number)
        client.follower.on_entry = lambda entry: self.merger.entry(name, client.journal, entry)
        client.follower.on_snapshot = lambda picture: self.merger.snapshot(name, client.journal, picture)
        client.on_greeting = lambda: self._greeted(name)
        self.clients[name] = client
        client.start()

    def _greeted(self, name: str) -> None:
        """A front that came up, or back, is told what stands before anything else.

        One that outlived an earlier life of the unit is on its way out: what it says is not followed.
        """
        client = self.clients[name]
        if client.hello.get("pid") != self._pid(name):
            client.abort_connection()
            return
        task = asyncio.ensure_future(self._push(name, self.desk.orders))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _push(self, name: str, orders: Orders) -> bool:
        plain = orders.to_plain() | {"answered": [], "undo": {}}
        number, fronts = int(name.removeprefix("front-")) - 1, self.config.unit.fronts
        for row in plain["caps"].values():  # each front counts its own: a limit is shared out
            row[3] = row[3] // fronts + (number < row[3] % fronts)
        try:
            async with asyncio.timeout(_ASK_S):
                answer = await self.clients[name].ask("orders", orders=plain)
        except (TimeoutError, ControlError) as error:
            self.log.warning("orders not taken", front=name, why=str(error) or "no answer")
            return False
        return bool(answer["version"] >= orders.version)

    # --- control.desk.FrontControl ---

    def now(self) -> float:
        return self._now()

    def wall_time_ms(self) -> int:
        return int(self._now() + self.offset_ms)

    def request_site(self, then: Callable[[SiteSnapshot], None]) -> None:
        async def gather() -> None:
            answers = await asyncio.gather(*(self._ask(name, "site") for name in self._alive()))
            plains = [answer["site"] for answer in answers if answer is not None]
            then(SiteSnapshot.merge(plains, frozenset(self.desk.projection.servers)))

        self._spawn(gather())

    def apply_orders(self, orders: Orders, then: Callable[[list[str]], None]) -> None:
        async def push() -> None:
            names = self._alive()
            taken = await asyncio.gather(*(self._push(name, orders) for name in names))
            then([name for name, good in zip(names, taken, strict=True) if not good])

        self._spawn(push())

    def end_session(self, id: str, session: str, why: str) -> None:
        for row in list(self.desk.projection.sessions.values()):
            if row.session == session and row.front in self.clients:
                ask = self._ask(row.front, "end", id=f"{id}.{row.front}", target=session, reason=why)
                self._spawn(ask)

    def limits(self) -> Mapping[str, Any]:
        return {"operators": list(self.config.unit.operators), "fronts": self.config.unit.fronts}

    def gauges(self) -> dict[str, Any]:
        """Of all fronts: each box's highest report, all that is served."""
        boxes: dict[str, list[float]] = {}
        worth = most = waiting = 0.0
        for client in self.clients.values():
            gauges = client.follower.gauges if client.connected else {}
            for box, loads in gauges.get("boxes", {}).items():
                boxes[box] = _surer(boxes[box], loads) if box in boxes else list(loads)
            worth += gauges.get("worth", 0.0)
            most += gauges.get("worth_most", 0.0)
            waiting += gauges.get("waiting", 0)
        return {
            "boxes": boxes,
            "worth": round(worth, 2),
            "worth_most": round(most, 2),
            "waiting": int(waiting),
        }

    def unit(self) -> Mapping[str, Any]:
        rows = self.supervisor.rows.values()
        return {
            "name": self.config.unit.name,
            "pid": os.getpid(),
            "children": [
                {
                    "name": row.child.name,
                    "state": str(row.state),
                    "starts": row.starts,
                    "last_end": row.last_end,
                    "pid": self._pid(row.child.name),
                }
                for row in rows
            ],
        }

    def retry_process(self, name: str) -> bool:
        done = self.supervisor.retry(self._now(), name)
        self._run()
        return done

    def call_at(self, due: float, do: Callable[[], None]) -> None:
        self._later(max(due - self._now(), 0.0) / 1000.0, do)

    # --- pieces ---

    def _alive(self) -> list[str]:
        """Fronts whose process runs: one that was just started must be told too."""
        return [name for name in self.clients if name in self._processes]

    async def _ask(self, name: str, do: str, **fields: Any) -> dict[str, Any] | None:
        try:
            async with asyncio.timeout(_ASK_S):
                return await self.clients[name].ask(do, **fields)
        except (TimeoutError, ControlError) as error:
            self.log.warning("front does not answer", front=name, do=do, why=str(error) or "in time")
            return None

    def _pid(self, name: str) -> int:
        process = self._processes.get(name)
        return process.process.pid if process is not None else 0

    def _now(self) -> float:
        return self.loop.time() * 1000.0

    def _later(self, after_s: float, do: Callable[[], None]) -> None:
        def fire() -> None:
            self._timers.discard(handle)
            do()

        handle = self.loop.call_later(after_s, fire)
        self._timers.add(handle)

    def _spawn(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _trouble(self, why: str) -> None:
        if why:
            self.log.error("journal is not kept", why=why)
        else:
            self.log.info("journal is kept again")


def _commands(config: UnitConfig) -> dict[str, tuple[list[str], tuple[str, int] | None]]:
    """Each child's command line, and where it listens; a front is asked over its socket instead."""
    program = [sys.executable, "-m", "fernweir"]
    layout, trial = config.layout, config.trial
    commands: dict[str, tuple[list[str], tuple[str, int] | None]] = {}
    if trial is not None:
        host = trial.list[0]
        for number in range(1, trial.boxes + 1):
            port = trial.first_port + number - 1
            commands[f"box-{number}"] = (
                [*program, "standin", "box", "--number", str(number), "--listen", f"{host}:{port}",
                 "--keys", str(layout.keys), "--streams", str(trial.streams), "--until-eof",
                 "--trace", str(layout.log / f"box-{number}.trace")],
                (host, port),
            )  # fmt: skip
        commands["list"] = (
            [*program, "standin", "list", str(layout.trial_list), "--listen", f"{host}:{trial.list[1]}",
             "--keys", str(layout.keys), "--until-eof"],
            trial.list,
        )  # fmt: skip
    for number in range(1, config.unit.fronts + 1):
        command = [*program, "serve", str(layout.front_ini(number)), "--until-eof"]
        commands[f"front-{number}"] = (command, None)
    return commands


def _surer(one: list[float], other: list[float]) -> list[float]:
    """Of two fronts' loads of a box, each the one that was told lately; of two such the higher."""
    link = max((one[3], one[0]), (other[3], other[0]))
    uplink = max((one[4], one[1]), (other[4], other[1]))
    return [link[1], uplink[1], one[2], link[0], uplink[0]]


async def run_unit(config: UnitConfig) -> int:
    """Runs until SIGTERM or SIGINT; UnitError if it can't start."""
    unit = Unit(config)
    await unit.start()
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    unit.log.info("unit runs", fronts=config.unit.fronts)
    await stopping.wait()
    unit.log.info("unit stops")
    await unit.stop()
    unit.close()
    unit.log.info("unit stopped")
    return 0
