"""When a unit's processes are started, given up and stopped: free of I/O, drawn from a seed.

A child is started once all that it needs has been ready once; it is ready when its shell says so. One that
ends, or isn't ready in time, is started again after a pause that grows with each failure in a row; too many
within a while, and it is given up until an operator says `retry`. A stop goes the other way round: what
others needed stops last. Times are milliseconds.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from random import Random


class State(StrEnum):
    WAITING = "waiting"  # for what it needs
    STARTING = "starting"
    READY = "ready"
    PAUSED = "paused"  # before it is started again
    GIVEN_UP = "given-up"
    STOPPING = "stopping"
    STOPPED = "stopped"


@dataclass(frozen=True, slots=True)
class Child:
    """`needs` are names of others, which come up first and go down last."""

    name: str
    needs: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class SuperviseRules:
    """Pauses double from `first_pause_ms` to `longest_pause_ms`, each drawn down to half of it.

    Ready for `steady_ms`, a child begins anew with the first pause. `restarts` within `window_ms` are
    the cap. A child is killed when it isn't ready within `ready_ms`, or not gone within `stop_ms`.
    """

    first_pause_ms: float = 250.0
    longest_pause_ms: float = 30_000.0
    steady_ms: float = 60_000.0
    restarts: int = 10
    window_ms: float = 600_000.0
    ready_ms: float = 20_000.0
    stop_ms: float = 15_000.0


@dataclass(frozen=True, slots=True)
class Start:
    name: str


@dataclass(frozen=True, slots=True)
class Terminate:
    name: str


@dataclass(frozen=True, slots=True)
class Kill:
    name: str


@dataclass(frozen=True, slots=True)
class Say:
    """For the log and the console."""

    name: str
    text: str


Command = Start | Terminate | Kill | Say


@dataclass(slots=True)
class Row:
    """What is known of one child."""

    child: Child
    state: State = State.WAITING
    since: float = 0.0
    due: float | None = None  # when something must be done about it
    failures: int = 0  # in a row
    starts: int = 0
    been_ready: bool = False
    killed: bool = False
    ended: deque[float] = field(default_factory=deque)
    last_end: str = ""


class Supervisor:
    """Tell it what happened, then carry out what `step` returns; `next_due` says when to call it again."""

    def __init__(self, children: Sequence[Child], rules: SuperviseRules | None = None, seed: int = 0) -> None:
        self.rules = rules or SuperviseRules()
        self.rows = {child.name: Row(child) for child in children}
        if len(self.rows) != len(children):
            raise ValueError("two children of one name")
        for child in children:
            unknown = set(child.needs) - set(self.rows)
            if unknown:
                raise ValueError(f"{child.name} needs {', '.join(sorted(unknown))}, which is no child")
        self._order = _in_order(children)
        self._dice = Random(f"supervise {seed}")
        self.stopping = False

    # --- what happened ---

    def ready(self, now: float, name: str) -> None:
        row = self.rows[name]
        if row.state is State.STARTING:
            row.been_ready = True
            self._enter(now, row, State.READY, None)

    def exited(self, now: float, name: str, how: str) -> list[Command]:
        """A child's process has ended, whyever."""
        row = self.rows[name]
        row.last_end = how
        if row.state is State.STOPPING or self.stopping:
            self._enter(now, row, State.STOPPED, None)
            return []
        if row.state not in (State.STARTING, State.READY):
            return []
        steady = row.state is State.READY and now - row.since >= self.rules.steady_ms
        row.failures = 1 if steady else row.failures + 1
        row.ended.append(now)
        while row.ended and row.ended[0] <= now - self.rules.window_ms:
            row.ended.popleft()
        if len(row.ended) > self.rules.restarts:
            self._enter(now, row, State.GIVEN_UP, None)
            return [Say(name, f"given up: {how}, {len(row.ended)} ends within the window")]
        pause = min(self.rules.first_pause_ms * 2.0 ** (row.failures - 1), self.rules.longest_pause_ms)
        pause *= self._dice.uniform(0.5, 1.0)
        self._enter(now, row, State.PAUSED, now + pause)
        return [Say(name, f"{how}; starts again in {pause / 1000.0:.1f} s")]

    def retry(self, now: float, name: str) -> bool:
        """An operator wants one that was given up, or that pauses, started now."""
        row = self.rows.get(name)
        if row is None or self.stopping or row.state not in (State.GIVEN_UP, State.PAUSED):
            return False
        row.ended.clear()
        row.failures = 0
        self._enter(now, row, State.PAUSED, now)
        return True

    def stop(self, now: float) -> None:
        """All children are to end, in order."""
        self.stopping = True
        for row in self.rows.values():
            if row.state in (State.WAITING, State.PAUSED, State.GIVEN_UP):
                self._enter(now, row, State.STOPPED, None)

    # --- what to do ---

    @property
    def stopped(self) -> bool:
        return self.stopping and all(row.state is State.STOPPED for row in self.rows.values())

    def step(self, now: float) -> list[Command]:
        out: list[Command] = []
        for name in self._order:
            row = self.rows[name]
            if self.stopping:
                self._step_down(now, row, out)
            elif row.state is State.WAITING:
                if all(self.rows[need].been_ready for need in row.child.needs):
                    self._start(now, row, out)
            elif row.state is State.PAUSED and row.due is not None and row.due <= now:
                self._start(now, row, out)
            elif row.state is State.STARTING and row.due is not None and row.due <= now:
                row.due = None
                out += [Say(name, f"not ready within {self.rules.ready_ms / 1000.0:.0f} s"), Kill(name)]
        return out

    def next_due(self) -> float | None:
        return min((row.due for row in self.rows.values() if row.due is not None), default=None)

    # --- pieces ---

    def _start(self, now: float, row: Row, out: list[Command]) -> None:
        row.starts += 1
        self._enter(now, row, State.STARTING, now + self.rules.ready_ms)
        out.append(Start(row.child.name))

    def _step_down(self, now: float, row: Row, out: list[Command]) -> None:
        name = row.child.name
        if row.state in (State.STARTING, State.READY):
            if all(other.state is State.STOPPED for other in self._users(name)):
                self._enter(now, row, State.STOPPING, now + self.rules.stop_ms)
                out.append(Terminate(name))
        elif row.state is State.STOPPING and row.due is not None and row.due <= now:
            row.due = None
            out += [Say(name, f"not gone within {self.rules.stop_ms / 1000.0:.0f} s"), Kill(name)]

    def _users(self, name: str) -> list[Row]:
        return [row for row in self.rows.values() if name in row.child.needs]

    def _enter(self, now: float, row: Row, state: State, due: float | None) -> None:
        row.state, row.since, row.due = state, now, due


def _in_order(children: Sequence[Child]) -> list[str]:
    """Each after all that it needs. ValueError if they need each other."""
    needs = {child.name: set(child.needs) for child in children}
    order: list[str] = []
    while needs:
        free = [name for name, left in needs.items() if not left]
        if not free:
            raise ValueError(f"{', '.join(sorted(needs))} need each other")
        for name in free:
            del needs[name]
        for left in needs.values():
            left.difference_update(free)
        order += free
    return order
