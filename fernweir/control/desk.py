"""Commands carried out at a front: decided by `Orders`, written down, told to the module, then answered."""

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
    """What a desk can do at its front, and what it can see there."""

    def now(self) -> float:
        """Milliseconds of the loop's clock."""

    def wall_time_ms(self) -> int:
        """Wall time in ms."""

    def request_site(self, then: Callable[[SiteSnapshot], None]) -> None:
        """Calls `then` with what can be seen, now or soon."""

    def apply_orders(self, orders: Orders, then: Callable[[list[str]], None]) -> None:
        """Tells all modules what changed, and calls `then` once they know, with those that don't answer."""

    def end_session(self, id: str, session: str, why: str) -> None: ...

    def limits(self) -> Mapping[str, Any]: ...

    def gauges(self) -> dict[str, Any]: ...

    def unit(self) -> Mapping[str, Any]: ...

    def retry_process(self, name: str) -> bool: ...

    def call_at(self, due: float, do: Callable[[], None]) -> None: ...


class FleetQueries(Protocol):
    """Who answers for all fronts together."""

    def ask(self, question: Mapping[str, Any], then: Callable[[dict[str, Any]], None]) -> None:
        """Calls `then` once, now or later, with the answer, or an error."""


@dataclass(frozen=True, slots=True)
class OrderServiceSettings:
    """`operators` may act; none named: all who can open the socket. `led`: a unit gives the orders."""

    operators: Sequence[str] = ()
    led: bool = False


def load_orders(path: Path) -> Orders:
    """The orders that a file holds, or none. StateFileError or OSError if it can't be believed."""
    state = read_state(path, KIND)
    if state is None:
        return Orders()
    try:
        return Orders.from_plain(state)
    except OrdersError as error:
        raise StateFileError(f"{path}: {error}") from None


class OrderService:
    """See `channel.Desk`; of a front or of a unit. `file` keeps the orders; a led front keeps none."""

    def __init__(
        self,
        name: str,
        journal: Journal,
        orders: Orders,
        hands: FrontControl,
        rules: OrderServiceSettings,
        file: Path | None,
    ) -> None:
        self.name, self.journal, self.orders, self.rules = name, journal, orders, rules
        self.projection = StateProjection()
        journal.watchers.append(self.projection.apply)
        self.fleet: FleetQueries | None = None  # a front without peers has none
        self._hands, self._file = hands, file

    def may_act(self, operator: str, uid: int) -> bool:
        return not self.rules.operators or operator in self.rules.operators

    def gauges(self) -> dict[str, Any]:
        return self._hands.gauges()

    def handle(self, operator: str, may_act: bool, ask: Request, reply: Reply) -> None:
        if isinstance(ask, ChangeOrders):
            self._change(operator, may_act, ask, reply)
        elif isinstance(ask, RetryProcess):
            if not may_act:
                reply({"ok": False, "error": f"operator {operator} may look, not act"})
            else:
                done = self._hands.retry_process(ask.target)
                reply({"outcome": "done" if done else "refused"})
        elif isinstance(ask, ReplaceOrders):
            self._be_led(may_act, ask, reply)
        elif isinstance(ask, QueryFleet):
            if self.fleet is None:
                reply(
                    {"ok": False, "error": "peers are off here: only this front's own journal can be asked"}
                )
            else:
                self.fleet.ask(ask.question, reply)
        elif isinstance(ask, SimpleRequest) and ask.do == "site":
            self._hands.request_site(lambda site: reply({"site": site.to_plain()}))
        else:
            reply(self._question(ask))

    def _question(self, ask: Request) -> dict[str, Any]:
        if isinstance(ask, ListSessions):
            return answers.list_sessions(self.projection, ask)
        if isinstance(ask, ListServers):
            return answers.list_servers(self.projection, ask, self.gauges())
        if isinstance(ask, ExplainSession):
            return answers.session_entries(self.journal, ask)
        if isinstance(ask, SearchEvents):
            return answers.search_events(self.journal, ask)
        if ask.do == "limits":
            return {"limits": dict(self._hands.limits())}
        if ask.do == "gauges":
            return {"gauges": self.gauges()}
        if ask.do == "unit":
            return {"unit": dict(self._hands.unit())}
        return answers.overview(self.projection, self.journal)

    # --- commands ---

    def _change(self, operator: str, may_act: bool, ask: ChangeOrders, reply: Reply) -> None:
        if not may_act:
            reply({"ok": False, "error": f"operator {operator} may look, not act"})
            return
        if self.rules.led and ask.do != "end":
            reply({"ok": False, "error": "this front takes its orders from its unit: ask there"})
            return
        command = Command(ask.id, operator, CommandKind(ask.do), ask.target, ask.reason, ask.most, ask.mark)
        self._hands.request_site(lambda site: self._decide(command, site, reply))

    def _decide(self, command: Command, site: SiteSnapshot, reply: Reply) -> None:
        before = self.orders.to_plain()
        again = command.id in self.orders.answered
        result = self.orders.handle_command(self._hands.now(), self._hands.wall_time_ms(), command, site)

        def done(missing: list[str]) -> None:
            late = {"missing": missing} if missing else {}
            reply({**result.to_plain(), **late})

        if again:
            self._hands.apply_orders(self.orders, done)  # its first coming may not have got so far
        elif result.outcome is Outcome.CONFIRM:
            reply(result.to_plain())
        else:
            if command.do is CommandKind.END and result.outcome is Outcome.DONE:
                # Before it is written down: an end that is done again after a kill harms nothing.
                self._hands.end_session(command.id, command.target, command.reason or "ended by the operator")
            if self._keep(before, reply):
                self._carry_out(command, result, done)

    def _keep(self, before: dict[str, Any], reply: Reply) -> bool:
        """An order counts when it is on disk: else it is as if it had not been given."""
        if self._file is None:
            return True
        try:
            write_state(self._file, KIND, self.orders.to_plain())
        except OSError as error:
            self.orders.restore(before)
            reply({"ok": False, "error": f"not done, as it can't be written down: {error.strerror or error}"})
            return False
        return True

    def _carry_out(self, command: Command, result: Result, then: Callable[[list[str]], None]) -> None:
        more = {"by": command.by, "id": command.id, "outcome": str(result.outcome), **self.orders.tables()}
        text = f"{command.do} {command.target}: {result.says}"
        self.journal.add(self._hands.now(), EventKind.ORDER, why=text, session=_session(command), more=more)
        self._apply(then)

    def _apply(self, then: Callable[[list[str]], None]) -> None:
        self._hands.apply_orders(self.orders, then)
        self._plan()

    def _plan(self) -> None:
        due = self.orders.next_deadline(self._hands.now())
        if due is not None:
            self._hands.call_at(due, self._begin_waiting)

    def _begin_waiting(self) -> None:
        """Drains whose turn has come take effect."""
        now = self._hands.now()
        before = self.orders.to_plain()
        begun = self.orders.start_due_drains(now)
        if begun and self._keep(before, lambda said: None):
            boxes = ", ".join(str(box) for box in begun)
            self.journal.add(
                now, EventKind.ORDER, why=f"drain begins: box {boxes}", more=self.orders.tables()
            )
            self._apply(lambda missing: None)
        elif self.orders.waiting:
            self._hands.call_at(now + self.orders.rules.pace_ms, self._begin_waiting)

    def start(self) -> None:
        """A front begins. Orders of an earlier life stand: the journal says so, what waits is planned."""
        self.journal.add(self._hands.now(), EventKind.FRONT, why="up")
        self.start_orders()

    def start_orders(self) -> None:
        if self.orders.version:
            more = self.orders.tables()
            self.journal.add(self._hands.now(), EventKind.ORDER, why="orders stand from before", more=more)
        self._plan()

    # --- led by a unit ---

    def _be_led(self, may_act: bool, ask: ReplaceOrders, reply: Reply) -> None:
        if not (self.rules.led and may_act):
            reply({"ok": False, "error": "this front is not led by a unit"})
            return
        try:
            orders = Orders.from_plain(ask.orders)
        except OrdersError as error:
            reply({"ok": False, "error": str(error)})
            return
        version = orders.version
        if version >= self.orders.version:
            changed = version > self.orders.version
            self.orders.restore(ask.orders)
            if changed:
                more = {"by": "unit", **self.orders.tables()}
                self.journal.add(self._hands.now(), EventKind.ORDER, why=f"orders {version}", more=more)
        version = self.orders.version
        self._hands.apply_orders(self.orders, lambda missing: reply({"version": version}))


def _session(command: Command) -> str:
    return command.target if command.do is CommandKind.END else ""
