"""Serves the control socket: commands are decided by `Orders`, stored, applied and then answered."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Protocol

from fernweir.control import answers
from fernweir.control.channel import Reply
from fernweir.control.messages import (
    ChangeOrders,
    ExplainSession,
    ListServers,
    ListSessions,
    QueryFleet,
    ReplaceOrders,
    Request,
    RetryProcess,
    SearchEvents,
    SimpleRequest,
)
from fernweir.control.orders import Command, CommandKind, Orders, OrdersError, Outcome, Result, SiteSnapshot
from fernweir.control.statefile import StateFileError, read_state, write_state
from fernweir.journal.events import EventKind
from fernweir.journal.state_projection import StateProjection
from fernweir.journal.store import Journal

KIND = "fernweir orders"


class FrontControl(Protocol):
    """What an order service can do and see at its front, or at all fronts of its unit."""

    def now(self) -> float:
        """Returns the loop's time in milliseconds."""

    def wall_time_ms(self) -> int:
        """Returns the wall time in milliseconds."""

    def request_site(self, on_done: Callable[[SiteSnapshot], None]) -> None:
        """Calls `on_done` with a snapshot of the site, now or later."""

    def apply_orders(self, orders: Orders, on_done: Callable[[list[str]], None]) -> None:
        """Applies changed orders everywhere; calls `on_done` with the fronts that didn't confirm them."""

    def end_session(self, id: str, session: str, why: str) -> None:
        """Ends a session for the reason `why`; `id` is that of the command."""

    def limits(self) -> Mapping[str, Any]:
        """Returns the limits in force."""

    def gauges(self) -> dict[str, Any]:
        """Returns the present loads of servers and what is served."""

    def unit(self) -> Mapping[str, Any]:
        """Returns the processes of the unit; empty without one."""

    def retry_process(self, name: str) -> bool:
        """Starts a process of the unit now; returns False if there is nothing to start."""

    def call_at(self, deadline_ms: float, callback: Callable[[], None]) -> None:
        """Calls `callback` at `deadline_ms` of the loop's time."""


class FleetQueries(Protocol):
    """Answers queries over the audit logs of all fronts."""

    def ask(self, question: Mapping[str, Any], on_done: Callable[[dict[str, Any]], None]) -> None:
        """Calls `on_done` once, now or later, with the answer or an error."""


@dataclass(frozen=True, slots=True)
class OrderServiceSettings:
    """Settings of an order service.

    `operators` may give commands; if it is empty, everyone who can open the socket may. With `led`, the
    orders come from a unit.
    """

    operators: Sequence[str] = ()
    led: bool = False


def load_orders(path: Path) -> Orders:
    """Returns the orders of a state file, or none if there is no file.

    Raises StateFileError or OSError if the file is damaged or can't be read.
    """
    state = read_state(path, KIND)
    if state is None:
        return Orders()
    try:
        return Orders.from_plain(state)
    except OrdersError as error:
        raise StateFileError(f"{path}: {error}") from None


class OrderService:
    """The `channel.ControlService` of a front or of a unit.

    `file` stores the orders; it is None for a front that gets its orders from a unit.
    """

    def __init__(
        self,
        name: str,
        journal: Journal,
        orders: Orders,
        front: FrontControl,
        settings: OrderServiceSettings,
        file: Path | None,
    ) -> None:
        self.name, self.journal, self.orders, self.settings = name, journal, orders, settings
        self.projection = StateProjection()
        journal.watchers.append(self.projection.apply)
        self.fleet: FleetQueries | None = None  # a front without peers has none
        self._front, self._file = front, file

    def may_act(self, operator: str, uid: int) -> bool:
        """Whether an operator may give commands."""
        return not self.settings.operators or operator in self.settings.operators

    def gauges(self) -> dict[str, Any]:
        """Returns the present loads of servers and what is served."""
        return self._front.gauges()

    def handle(self, operator: str, may_act: bool, request: Request, reply: Reply) -> None:
        """Answers a request; calls `reply` exactly once, now or later."""
        if isinstance(request, ChangeOrders):
            self._handle_change(operator, may_act, request, reply)
        elif isinstance(request, RetryProcess):
            if not may_act:
                reply({"ok": False, "error": f"operator {operator} may look, not act"})
            else:
                was_started = self._front.retry_process(request.target)
                reply({"outcome": "done" if was_started else "refused"})
        elif isinstance(request, ReplaceOrders):
            self._replace_orders(may_act, request, reply)
        elif isinstance(request, QueryFleet):
            if self.fleet is None:
                reply(
                    {"ok": False, "error": "peers are off here: only this front's own journal can be asked"}
                )
            else:
                self.fleet.ask(request.question, reply)
        elif isinstance(request, SimpleRequest) and request.do == "site":
            self._front.request_site(lambda site: reply({"site": site.to_plain()}))
        else:
            reply(self._answer_query(request))

    def _answer_query(self, request: Request) -> dict[str, Any]:
        if isinstance(request, ListSessions):
            return answers.list_sessions(self.projection, request)
        if isinstance(request, ListServers):
            return answers.list_servers(self.projection, request, self.gauges())
        if isinstance(request, ExplainSession):
            return answers.session_entries(self.journal, request)
        if isinstance(request, SearchEvents):
            return answers.search_events(self.journal, request)
        if request.do == "limits":
            return {"limits": dict(self._front.limits())}
        if request.do == "gauges":
            return {"gauges": self.gauges()}
        if request.do == "unit":
            return {"unit": dict(self._front.unit())}
        return answers.overview(self.projection, self.journal)

    # --- commands ---

    def _handle_change(self, operator: str, may_act: bool, request: ChangeOrders, reply: Reply) -> None:
        if not may_act:
            reply({"ok": False, "error": f"operator {operator} may look, not act"})
            return
        if self.settings.led and request.do != "end":
            reply({"ok": False, "error": "this front takes its orders from its unit: ask there"})
            return
        command = Command(
            request.id,
            operator,
            CommandKind(request.do),
            request.target,
            request.reason,
            request.most,
            request.mark,
        )
        self._front.request_site(lambda site: self._decide(command, site, reply))

    def _decide(self, command: Command, site: SiteSnapshot, reply: Reply) -> None:
        before = self.orders.to_plain()
        is_repeated = command.id in self.orders.answered
        result = self.orders.handle_command(self._front.now(), self._front.wall_time_ms(), command, site)

        def on_applied(missing: list[str]) -> None:
            missing_fronts = {"missing": missing} if missing else {}
            reply({**result.to_plain(), **missing_fronts})

        if is_repeated:
            # The first attempt may have ended before the orders were applied.
            self._front.apply_orders(self.orders, on_applied)
        elif result.outcome is Outcome.CONFIRM:
            reply(result.to_plain())
        else:
            if command.do is CommandKind.END and result.outcome is Outcome.DONE:
                # Comes before the order is stored: to end a session again after a crash is harmless.
                self._front.end_session(command.id, command.target, command.reason or "ended by the operator")
            if self._store_orders(before, reply):
                self._apply_command(command, result, on_applied)

    def _store_orders(self, before: dict[str, Any], reply: Reply) -> bool:
        """Stores the orders; if that fails, restores `before`, replies with an error and returns False."""
        if self._file is None:
            return True
        try:
            write_state(self._file, KIND, self.orders.to_plain())
        except OSError as error:
            self.orders.restore(before)
            reply({"ok": False, "error": f"not done, as it can't be written down: {error.strerror or error}"})
            return False
        return True

    def _apply_command(self, command: Command, result: Result, on_done: Callable[[list[str]], None]) -> None:
        details = {"by": command.by, "id": command.id, "outcome": str(result.outcome), **self.orders.tables()}
        reason = f"{command.do} {command.target}: {result.message}"
        self.journal.add(
            self._front.now(), EventKind.ORDER, why=reason, session=_session_of(command), more=details
        )
        self._apply_orders(on_done)

    def _apply_orders(self, on_done: Callable[[list[str]], None]) -> None:
        self._front.apply_orders(self.orders, on_done)
        self._schedule_next_drain()

    def _schedule_next_drain(self) -> None:
        deadline_ms = self.orders.next_deadline(self._front.now())
        if deadline_ms is not None:
            self._front.call_at(deadline_ms, self._start_due_drains)

    def _start_due_drains(self) -> None:
        """Starts the waiting drains that pacing allows now; tries again later if they can't be stored."""
        now = self._front.now()
        before = self.orders.to_plain()
        started = self.orders.start_due_drains(now)
        if started and self._store_orders(before, lambda response: None):
            servers = ", ".join(str(server) for server in started)
            self.journal.add(
                now, EventKind.ORDER, why=f"drain begins: box {servers}", more=self.orders.tables()
            )
            self._apply_orders(lambda missing: None)
        elif self.orders.waiting:
            self._front.call_at(now + self.orders.rules.pace_ms, self._start_due_drains)

    def start(self) -> None:
        """Starts the service of a front: records the start and takes up the stored orders."""
        self.journal.add(self._front.now(), EventKind.FRONT, why="up")
        self.start_orders()

    def start_orders(self) -> None:
        """Records the orders that were stored before, and schedules the drains that wait."""
        if self.orders.version:
            details = self.orders.tables()
            self.journal.add(self._front.now(), EventKind.ORDER, why="orders stand from before", more=details)
        self._schedule_next_drain()

    # --- orders of a unit ---

    def _replace_orders(self, may_act: bool, request: ReplaceOrders, reply: Reply) -> None:
        if not (self.settings.led and may_act):
            reply({"ok": False, "error": "this front is not led by a unit"})
            return
        try:
            orders = Orders.from_plain(request.orders)
        except OrdersError as error:
            reply({"ok": False, "error": str(error)})
            return
        version = orders.version
        if version >= self.orders.version:
            changed = version > self.orders.version
            self.orders.restore(request.orders)
            if changed:
                details = {"by": "unit", **self.orders.tables()}
                self.journal.add(self._front.now(), EventKind.ORDER, why=f"orders {version}", more=details)
        version = self.orders.version
        self._front.apply_orders(self.orders, lambda missing: reply({"version": version}))


def _session_of(command: Command) -> str:
    return command.target if command.do is CommandKind.END else ""
