"""Runs a unit: its child processes, the merged journal of its fronts, and the orders of its operators.

This module does the I/O; the decisions are in `supervise`, `merge` and the order service.
"""

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
from fernweir.appliance.merge import JournalMerger
from fernweir.appliance.supervise import (
    ChildSpec,
    LogMessage,
    Start,
    State,
    Supervisor,
    SupervisorSettings,
    Terminate,
)
from fernweir.control.channel import ControlServer
from fernweir.control.client import ControlClient, ControlError
from fernweir.control.desk import OrderService, OrderServiceSettings, load_orders
from fernweir.control.orders import Orders, SiteSnapshot
from fernweir.control.statefile import StateFileError
from fernweir.journal.disk import JournalFolder
from fernweir.journal.store import Journal, JournalConfig

_CONTROL_TIMEOUT_S = 2.0
_READINESS_POLL_S = 0.05
_LOG_ROTATION_INTERVAL_S = 5.0


class _Process:
    """A running child process."""

    def __init__(self, unit: Unit, name: str, command: list[str]) -> None:
        self.unit, self.name = unit, name
        log = open_log(unit.layout.log / f"{name}.log")
        try:
            # Nothing is written to the pipe. It closes when this process exits, and the child then stops.
            self.process = subprocess.Popen(
                command, stdin=subprocess.PIPE, stdout=log, stderr=log, close_fds=True
            )
        finally:
            os.close(log)
        self._handle = os.pidfd_open(self.process.pid)
        unit.loop.add_reader(self._handle, self._on_exit)

    def _on_exit(self) -> None:
        code = self.process.wait()
        self.release()
        reason = f"killed by signal {-code}" if code < 0 else f"ended with {code}"
        self.unit.on_child_exited(self.name, reason)

    def release(self) -> None:
        """Closes the handles of a process that has exited."""
        self.unit.loop.remove_reader(self._handle)
        os.close(self._handle)
        if self.process.stdin is not None:
            self.process.stdin.close()


class Unit:
    """A running unit: call `start`, then `stop` and `close`; `start` raises UnitError if it fails."""

    def __init__(self, config: UnitConfig) -> None:
        self.config, self.layout = config, config.layout
        self.loop = asyncio.get_running_loop()
        self.log: Any = structlog.get_logger().bind(unit=config.unit.name)
        self.all_stopped = asyncio.Event()
        self.wall_offset_ms = time.time() * 1000.0 - self.loop.time() * 1000.0
        self._lock = Lock(self.layout)
        self._processes: dict[str, _Process] = {}
        self._commands = _child_commands(config)
        unit = config.unit
        settings = SupervisorSettings(
            initial_backoff_ms=unit.first_pause,
            max_backoff_ms=unit.longest_pause,
            max_restarts=unit.restarts,
            restart_window_ms=unit.restarts_within,
        )
        servers = tuple(name for name in self._commands if name.startswith("box-"))
        dependencies = {
            "list": servers,
            **{name: ("list",) for name in self._commands if name.startswith("front-")},
        }
        if config.trial is None:
            dependencies = {}
        children = [ChildSpec(name, dependencies.get(name, ())) for name in self._commands]
        self.supervisor = Supervisor(children, settings, seed=os.getpid())
        self.clients: dict[str, ControlClient] = {}
        self._timers: set[asyncio.TimerHandle] = set()
        self._step_timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[Any]] = set()

    async def start(self) -> None:
        """Acquires the lock, recovers the state, opens the control socket and starts the children."""
        self._lock.acquire()
        try:
            for step in migrate(self.layout):
                self.log.info(step)
            orders = load_orders(self.layout.orders)
            self.folder = JournalFolder(self.layout.journal, max_bytes=int(self.config.unit.journal_disk))
            self.journal = Journal("", JournalConfig(), self.folder, wall_offset_ms=self.wall_offset_ms)
            self.journal.on_fault = self._on_journal_fault
            self.journal.restore(*self.folder.open())
        except (StateFileError, OSError) as error:
            self._lock.release()
            raise UnitError(str(error)) from None
        for problem in self.folder.problems:
            self.log.warning("journal is incomplete", why=problem)
        self.merger = JournalMerger(self.journal)
        self.merger.recover()
        settings = OrderServiceSettings(tuple(self.config.unit.operators))
        self.order_service = OrderService(
            self.config.unit.name, self.journal, orders, self, settings, self.layout.orders
        )
        for entry in self.journal.entries(self.journal.first):
            self.order_service.projection.apply(entry)
        for front in list(self.order_service.projection.fronts):
            self.merger.mark_front_down(front, self.wall_time_ms())  # no front is running yet
        self.channel = ControlServer(self.order_service, self.layout.socket, mode=self.config.unit.mode)
        self.journal.watchers.append(self.channel.on_journal_entry)
        for number in range(1, self.config.unit.fronts + 1):
            self._follow_front(number)
        self.order_service.start_orders()
        await self.channel.listen()
        self._execute_commands()
        self._rotate_logs()

    async def stop(self) -> None:
        """Stops all children in order and waits until they have exited."""
        self.supervisor.stop(self._now())
        self._execute_commands()
        await self.all_stopped.wait()

    def close(self) -> None:
        """Kills remaining children and releases all resources."""
        for timer in [*self._timers, *([self._step_timer] if self._step_timer else [])]:
            timer.cancel()
        for task in self._tasks:
            task.cancel()
        for client in self.clients.values():
            client.close()
        for process in list(self._processes.values()):
            process.process.kill()
            process.process.wait()
            process.release()
        self._processes.clear()
        self.channel.close()
        self.folder.close()
        self._lock.release()

    # --- children ---

    def on_child_exited(self, name: str, reason: str) -> None:
        """Handles the exit of a child's process."""
        self._processes.pop(name, None)
        if name in self.clients and name in self.order_service.projection.fronts:
            self.merger.mark_front_down(name, self.wall_time_ms())
        for command in self.supervisor.on_exit(self._now(), name, reason):
            if isinstance(command, LogMessage):
                self.log.warning(command.text, child=command.name)
        self._execute_commands()

    def _execute_commands(self) -> None:
        for command in self.supervisor.step(self._now()):
            if isinstance(command, Start):
                self._start_child(command.name)
            elif isinstance(command, LogMessage):
                self.log.warning(command.text, child=command.name)
            elif (process := self._processes.get(command.name)) is not None:
                process.process.send_signal(
                    signal.SIGTERM if isinstance(command, Terminate) else signal.SIGKILL
                )
        if self.supervisor.stopped:
            self.all_stopped.set()
            return
        if self._step_timer is not None:
            self._step_timer.cancel()
            self._step_timer = None
        due = self.supervisor.next_deadline()
        if due is not None:
            self._step_timer = self.loop.call_at(due / 1000.0, self._execute_commands)

    def _start_child(self, name: str) -> None:
        self.log.info("child starts", child=name)
        try:
            self._processes[name] = _Process(self, name, self._commands[name][0])
        except OSError as error:
            reason = f"can't be started: {error.strerror}"
            self.loop.call_soon(self.on_child_exited, name, reason)
            return
        self._poll_readiness(name, self._processes[name])

    def _poll_readiness(self, name: str, process: _Process) -> None:
        """Polls the child until it is ready or `process` has been replaced."""
        if self._processes.get(name) is not process:
            return
        client = self.clients.get(name)
        if client is not None:
            if client.connected and client.hello.get("pid") == process.process.pid:
                self._on_child_ready(name)
                return
        else:
            address = self._commands[name][1]

            def connected(task: asyncio.Task[Any]) -> None:
                self._tasks.discard(task)
                if not task.cancelled() and task.exception() is None:
                    task.result()[0].abort()
                    if self._processes.get(name) is process:
                        self._on_child_ready(name)

            if address is not None:
                task = asyncio.ensure_future(self.loop.create_connection(asyncio.Protocol, *address))
                self._tasks.add(task)
                task.add_done_callback(connected)
        if self.supervisor.children[name].state is State.STARTING:
            self._call_later(_READINESS_POLL_S, lambda: self._poll_readiness(name, process))

    def _on_child_ready(self, name: str) -> None:
        if self.supervisor.children[name].state is State.STARTING:
            self.log.info("child is ready", child=name)
            self.supervisor.on_ready(self._now(), name)
            self._execute_commands()

    def _rotate_logs(self) -> None:
        for name in [*self._commands, "unit"]:
            try:
                rotate(self.layout.log / f"{name}.log", int(self.config.unit.log_size), self.config.unit.logs)
            except OSError as error:
                self.log.warning("log not rotated", child=name, why=error.strerror)
        self._call_later(_LOG_ROTATION_INTERVAL_S, self._rotate_logs)

    # --- fronts ---

    def _follow_front(self, number: int) -> None:
        name = f"front-{number}"
        client = ControlClient(self.layout.front_socket(number), "unit", watch=True, max_backoff_s=0.2)
        position = self.merger.position_of(name)
        client.resume_from(position.journal, position.number)
        client.follower.on_entry = lambda entry: self.merger.add_entry(name, client.journal, entry)
        client.follower.on_snapshot = lambda projection: self.merger.add_snapshot(
            name, client.journal, projection
        )
        client.on_greeting = lambda: self._on_front_greeting(name)
        self.clients[name] = client
        client.start()

    def _on_front_greeting(self, name: str) -> None:
        """Sends the orders in force to a front that has just connected, before any other command.

        A front that was started by an earlier process of the unit is about to exit; it is not followed.
        """
        client = self.clients[name]
        if client.hello.get("pid") != self._pid(name):
            client.abort_connection()
            return
        task = asyncio.ensure_future(self._push_orders(name, self.order_service.orders))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _push_orders(self, name: str, orders: Orders) -> bool:
        shared_orders = orders.to_plain() | {"answered": [], "undo": {}}
        number, fronts = int(name.removeprefix("front-")) - 1, self.config.unit.fronts
        # Each front counts its own sessions, so each gets a share of the limit.
        for row in shared_orders["caps"].values():
            row[3] = row[3] // fronts + (number < row[3] % fronts)
        try:
            async with asyncio.timeout(_CONTROL_TIMEOUT_S):
                reply = await self.clients[name].ask("orders", orders=shared_orders)
        except (TimeoutError, ControlError) as error:
            self.log.warning("orders not confirmed", front=name, why=str(error) or "no answer")
            return False
        return bool(reply["version"] >= orders.version)

    # --- control.desk.FrontControl ---

    def now(self) -> float:
        return self._now()

    def wall_time_ms(self) -> int:
        return int(self._now() + self.wall_offset_ms)

    def request_site(self, on_done: Callable[[SiteSnapshot], None]) -> None:
        async def gather() -> None:
            replies = await asyncio.gather(
                *(self._ask_front(name, "site") for name in self._running_fronts())
            )
            snapshots = [reply["site"] for reply in replies if reply is not None]
            on_done(SiteSnapshot.merge(snapshots, frozenset(self.order_service.projection.servers)))

        self._spawn(gather())

    def apply_orders(self, orders: Orders, on_done: Callable[[list[str]], None]) -> None:
        async def push() -> None:
            names = self._running_fronts()
            confirmed = await asyncio.gather(*(self._push_orders(name, orders) for name in names))
            on_done([name for name, is_confirmed in zip(names, confirmed, strict=True) if not is_confirmed])

        self._spawn(push())

    def end_session(self, id: str, session: str, why: str) -> None:
        for row in list(self.order_service.projection.sessions.values()):
            if row.session == session and row.front in self.clients:
                ask = self._ask_front(row.front, "end", id=f"{id}.{row.front}", target=session, reason=why)
                self._spawn(ask)

    def limits(self) -> Mapping[str, Any]:
        return {"operators": list(self.config.unit.operators), "fronts": self.config.unit.fronts}

    def gauges(self) -> dict[str, Any]:
        """Returns the gauges of all fronts: the loads of each server, and totals of the sessions."""
        servers: dict[str, list[float]] = {}
        total_weight = max_weight = waiting = 0.0
        for client in self.clients.values():
            gauges = client.follower.gauges if client.connected else {}
            for server, loads in gauges.get("boxes", {}).items():
                servers[server] = _merge_loads(servers[server], loads) if server in servers else list(loads)
            total_weight += gauges.get("worth", 0.0)
            max_weight += gauges.get("worth_most", 0.0)
            waiting += gauges.get("waiting", 0)
        return {
            "boxes": servers,
            "worth": round(total_weight, 2),
            "worth_most": round(max_weight, 2),
            "waiting": int(waiting),
        }

    def unit(self) -> Mapping[str, Any]:
        rows = self.supervisor.children.values()
        return {
            "name": self.config.unit.name,
            "pid": os.getpid(),
            "children": [
                {
                    "name": row.spec.name,
                    "state": str(row.state),
                    "starts": row.starts,
                    "last_end": row.last_end,
                    "pid": self._pid(row.spec.name),
                }
                for row in rows
            ],
        }

    def retry_process(self, name: str) -> bool:
        is_started = self.supervisor.retry(self._now(), name)
        self._execute_commands()
        return is_started

    def call_at(self, deadline_ms: float, callback: Callable[[], None]) -> None:
        self._call_later(max(deadline_ms - self._now(), 0.0) / 1000.0, callback)

    # --- helpers ---

    def _running_fronts(self) -> list[str]:
        """Returns the fronts whose process runs, ready or not: one that has just started needs orders too."""
        return [name for name in self.clients if name in self._processes]

    async def _ask_front(self, name: str, command_name: str, **fields: Any) -> dict[str, Any] | None:
        try:
            async with asyncio.timeout(_CONTROL_TIMEOUT_S):
                return await self.clients[name].ask(command_name, **fields)
        except (TimeoutError, ControlError) as error:
            self.log.warning(
                "front does not answer", front=name, do=command_name, why=str(error) or "no answer in time"
            )
            return None

    def _pid(self, name: str) -> int:
        process = self._processes.get(name)
        return process.process.pid if process is not None else 0

    def _now(self) -> float:
        return self.loop.time() * 1000.0

    def _call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        def fire() -> None:
            self._timers.discard(handle)
            callback()

        handle = self.loop.call_later(delay_s, fire)
        self._timers.add(handle)

    def _spawn(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _on_journal_fault(self, why: str) -> None:
        if why:
            self.log.error("journal cannot be written", why=why)
        else:
            self.log.info("journal is written again")


def _child_commands(config: UnitConfig) -> dict[str, tuple[list[str], tuple[str, int] | None]]:
    """Returns each child's command line and address; a front has none, as it is polled over its socket."""
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


def _merge_loads(first: list[float], second: list[float]) -> list[float]:
    """Combines the loads of a server that two fronts report.

    For the link and the uplink, the load of the front with the more recent report counts; of two equally
    recent ones the higher.
    """
    link = max((first[3], first[0]), (second[3], second[0]))
    uplink = max((first[4], first[1]), (second[4], second[1]))
    return [link[1], uplink[1], first[2], link[0], uplink[0]]


async def run_unit(config: UnitConfig) -> int:
    """Runs a unit until SIGTERM or SIGINT. Raises UnitError if it can't start."""
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
