"""Decides when the child processes of a unit are started, restarted, given up and stopped.

A pure state machine without I/O; its random numbers come from a seed. A child is started when all its
dependencies have been ready at least once; the caller reports when it is ready. A child that exits, or isn't
ready in time, is restarted after an exponential backoff. After too many exits within the restart window it is
given up until an operator requests a retry. Children stop in reverse order: a dependency stops after all
children that depend on it. Times are in milliseconds.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from random import Random


class State(StrEnum):
    """The state of a child."""

    WAITING = "waiting"  # for its dependencies
    STARTING = "starting"
    READY = "ready"
    PAUSED = "paused"  # in backoff before a restart
    GIVEN_UP = "given-up"
    STOPPING = "stopping"
    STOPPED = "stopped"


@dataclass(frozen=True, slots=True)
class ChildSpec:
    """A child process; `depends_on` names children that start before it and stop after it."""

    name: str
    depends_on: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class SupervisorSettings:
    """Backoff, restart limit and timeouts of a supervisor.

    The backoff doubles from `initial_backoff_ms` to `max_backoff_ms`; jitter reduces it by up to half. An
    exit after `stable_ms` of readiness starts again with the initial backoff. A child that exits more than
    `max_restarts` times within `restart_window_ms` is given up. A child is killed if it is not ready within
    `ready_timeout_ms`, or has not exited within `stop_timeout_ms` of a termination request.
    """

    initial_backoff_ms: float = 250.0
    max_backoff_ms: float = 30_000.0
    stable_ms: float = 60_000.0
    max_restarts: int = 10
    restart_window_ms: float = 600_000.0
    ready_timeout_ms: float = 20_000.0
    stop_timeout_ms: float = 15_000.0


@dataclass(frozen=True, slots=True)
class Start:
    """Start the child's process."""

    name: str


@dataclass(frozen=True, slots=True)
class Terminate:
    """Send SIGTERM to the child's process."""

    name: str


@dataclass(frozen=True, slots=True)
class Kill:
    """Send SIGKILL to the child's process."""

    name: str


@dataclass(frozen=True, slots=True)
class LogMessage:
    """A message about a child, for the log."""

    name: str
    text: str


Command = Start | Terminate | Kill | LogMessage


@dataclass(slots=True)
class ChildStatus:
    """State and restart history of one child."""

    spec: ChildSpec
    state: State = State.WAITING
    state_since: float = 0.0
    deadline: float | None = None  # when `step` has to act on the child again
    consecutive_failures: int = 0
    starts: int = 0
    was_ready: bool = False
    killed: bool = False
    exit_times: deque[float] = field(default_factory=deque)
    last_end: str = ""


class Supervisor:
    """Supervises the children of one unit.

    The caller reports events, then carries out the commands that `step` returns. `next_deadline` returns when
    `step` has to be called again.
    """

    def __init__(
        self, specs: Sequence[ChildSpec], settings: SupervisorSettings | None = None, seed: int = 0
    ) -> None:
        self.settings = settings or SupervisorSettings()
        self.children = {spec.name: ChildStatus(spec) for spec in specs}
        if len(self.children) != len(specs):
            raise ValueError("two children have the same name")
        for spec in specs:
            unknown_names = set(spec.depends_on) - set(self.children)
            if unknown_names:
                raise ValueError(
                    f"child {spec.name} depends on {', '.join(sorted(unknown_names))}, which is not a child"
                )
        self._order = _dependency_order(specs)
        self._rng = Random(f"supervise {seed}")
        self.stopping = False

    # --- events ---

    def on_ready(self, now: float, name: str) -> None:
        """Handles that a child has become ready."""
        status = self.children[name]
        if status.state is State.STARTING:
            status.was_ready = True
            self._transition(now, status, State.READY, None)

    def on_exit(self, now: float, name: str, reason: str) -> list[Command]:
        """Handles the exit of a child's process, whatever the reason."""
        status = self.children[name]
        status.last_end = reason
        if status.state is State.STOPPING or self.stopping:
            self._transition(now, status, State.STOPPED, None)
            return []
        if status.state not in (State.STARTING, State.READY):
            return []
        was_stable = status.state is State.READY and now - status.state_since >= self.settings.stable_ms
        status.consecutive_failures = 1 if was_stable else status.consecutive_failures + 1
        status.exit_times.append(now)
        while status.exit_times and status.exit_times[0] <= now - self.settings.restart_window_ms:
            status.exit_times.popleft()
        if len(status.exit_times) > self.settings.max_restarts:
            self._transition(now, status, State.GIVEN_UP, None)
            return [
                LogMessage(
                    name, f"given up: {reason}, {len(status.exit_times)} exits within the restart window"
                )
            ]
        backoff_ms = min(
            self.settings.initial_backoff_ms * 2.0 ** (status.consecutive_failures - 1),
            self.settings.max_backoff_ms,
        )
        backoff_ms *= self._rng.uniform(0.5, 1.0)
        self._transition(now, status, State.PAUSED, now + backoff_ms)
        return [LogMessage(name, f"{reason}; restarts in {backoff_ms / 1000.0:.1f} s")]

    def retry(self, now: float, name: str) -> bool:
        """Starts a child that was given up, or is in backoff, at once; returns False for any other child."""
        status = self.children.get(name)
        if status is None or self.stopping or status.state not in (State.GIVEN_UP, State.PAUSED):
            return False
        status.exit_times.clear()
        status.consecutive_failures = 0
        self._transition(now, status, State.PAUSED, now)
        return True

    def stop(self, now: float) -> None:
        """Begins to stop all children in reverse order of their dependencies."""
        self.stopping = True
        for status in self.children.values():
            if status.state in (State.WAITING, State.PAUSED, State.GIVEN_UP):
                self._transition(now, status, State.STOPPED, None)

    # --- commands ---

    @property
    def stopped(self) -> bool:
        """Whether all children have stopped after `stop`."""
        return self.stopping and all(status.state is State.STOPPED for status in self.children.values())

    def step(self, now: float) -> list[Command]:
        """Returns the commands that are due now."""
        commands: list[Command] = []
        for name in self._order:
            status = self.children[name]
            if self.stopping:
                self._stop_child(now, status, commands)
            elif status.state is State.WAITING:
                if all(self.children[dependency].was_ready for dependency in status.spec.depends_on):
                    self._start_child(now, status, commands)
            elif status.state is State.PAUSED and status.deadline is not None and status.deadline <= now:
                self._start_child(now, status, commands)
            elif status.state is State.STARTING and status.deadline is not None and status.deadline <= now:
                status.deadline = None
                commands += [
                    LogMessage(name, f"not ready within {self.settings.ready_timeout_ms / 1000.0:.0f} s"),
                    Kill(name),
                ]
        return commands

    def next_deadline(self) -> float | None:
        """Returns when `step` has to be called again, or None if only an event can cause a command."""
        return min(
            (status.deadline for status in self.children.values() if status.deadline is not None),
            default=None,
        )

    # --- helpers ---

    def _start_child(self, now: float, status: ChildStatus, commands: list[Command]) -> None:
        status.starts += 1
        self._transition(now, status, State.STARTING, now + self.settings.ready_timeout_ms)
        commands.append(Start(status.spec.name))

    def _stop_child(self, now: float, status: ChildStatus, commands: list[Command]) -> None:
        name = status.spec.name
        if status.state in (State.STARTING, State.READY):
            if all(other.state is State.STOPPED for other in self._dependents(name)):
                self._transition(now, status, State.STOPPING, now + self.settings.stop_timeout_ms)
                commands.append(Terminate(name))
        elif status.state is State.STOPPING and status.deadline is not None and status.deadline <= now:
            status.deadline = None
            commands += [
                LogMessage(name, f"did not exit within {self.settings.stop_timeout_ms / 1000.0:.0f} s"),
                Kill(name),
            ]

    def _dependents(self, name: str) -> list[ChildStatus]:
        return [status for status in self.children.values() if name in status.spec.depends_on]

    def _transition(self, now: float, status: ChildStatus, state: State, deadline: float | None) -> None:
        status.state, status.state_since, status.deadline = state, now, deadline


def _dependency_order(specs: Sequence[ChildSpec]) -> list[str]:
    """Returns the names, each after all its dependencies. Raises ValueError if a cycle exists."""
    depends_on = {spec.name: set(spec.depends_on) for spec in specs}
    order: list[str] = []
    while depends_on:
        startable = [name for name, remaining in depends_on.items() if not remaining]
        if not startable:
            raise ValueError(f"{', '.join(sorted(depends_on))} depend on each other")
        for name in startable:
            del depends_on[name]
        for remaining in depends_on.values():
            remaining.difference_update(startable)
        order += startable
    return order
