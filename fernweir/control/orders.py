"""The standing orders of operators and the rules that decide on commands, without I/O or a clock.

An order stays in force until it is undone. A drain survives restarts of the front and of the server, and it
overrides every state that the endpoint list gives that server except `gone`. Every command has an id; a
command that is sent again gets its first answer again. A command that would leave a title without a server,
or the site without enough capacity, is answered with this cost, and is carried out when it is repeated with
the digest of the cost. Several drains are paced. Times are milliseconds of the loop's clock, except
`Order.at`, which is wall time.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace
from enum import StrEnum
from hashlib import blake2b
from typing import Any

FORMAT = 2
_MAX_OFFERED_COSTS = 100


class CommandKind(StrEnum):
    """The kinds of commands that change orders or sessions."""

    DRAIN = "drain"
    UNDRAIN = "undrain"
    HOLD = "hold"
    UNHOLD = "unhold"
    CAP = "cap"
    UNCAP = "uncap"
    END = "end"
    UNDO = "undo"


class Outcome(StrEnum):
    """What became of a command."""

    DONE = "done"
    ALREADY = "already"  # the order is in force already
    QUEUED = "queued"  # a drain that waits until pacing lets it start
    CONFIRM = "confirm"  # has a cost: repeat the command with its digest
    REFUSED = "refused"


class OrdersError(ValueError):
    """Raised when stored or received orders can't be read; the message says why."""


@dataclass(frozen=True, slots=True)
class Command:
    """A command of an operator.

    `target` is a server, a title, a session, the id of a command to undo, or, for a limit, `lesson:NAME` or
    `tenant:NAME`.
    """

    id: str
    by: str
    do: CommandKind
    target: str = ""
    reason: str = ""
    limit: int = 0
    cost_digest: str = ""


@dataclass(frozen=True, slots=True)
class Order:
    """One order that is in force, or a drain that waits. `at` is the wall time in ms; `limit` is for caps."""

    by: str
    at: int
    reason: str = ""
    limit: int = 0


@dataclass(frozen=True, slots=True)
class Result:
    """The answer to a command. Only CONFIRM has `cost` and `cost_digest`; `message` is for operators."""

    outcome: Outcome
    message: str
    cost: Mapping[str, Any] = field(default_factory=dict)
    cost_digest: str = ""

    def to_plain(self) -> dict[str, Any]:
        plain: dict[str, Any] = {"outcome": str(self.outcome), "says": self.message}
        if self.cost_digest:
            plain |= {"cost": dict(self.cost), "mark": self.cost_digest}
        return plain


@dataclass(frozen=True, slots=True)
class SiteSnapshot:
    """The state of the site that the rules decide on.

    Rates are kB/s. `carried_kb` is the load of each server by its last load report, which covers all fronts;
    `own_kb` is the load of this front's own sessions.
    """

    ready: frozenset[int]  # servers that the endpoint list calls ready
    known: frozenset[int]
    holders: Mapping[str, Sequence[int]]  # the servers that hold each title
    playing: Mapping[int, int]
    carried_kb: Mapping[int, float]
    capacity_kb: Mapping[int, float]
    sessions: frozenset[str]
    own_kb: Mapping[int, float] = field(default_factory=dict)
    no_front_answered: bool = False  # the cost of a drain can't be computed

    def to_plain(self) -> dict[str, Any]:
        return {
            "ready": sorted(self.ready),
            "known": sorted(self.known),
            "holders": {title: list(servers) for title, servers in self.holders.items()},
            "playing": {str(server): count for server, count in self.playing.items()},
            "carried_kb": {str(server): round(kb, 1) for server, kb in self.carried_kb.items()},
            "capacity_kb": {str(server): round(kb, 1) for server, kb in self.capacity_kb.items()},
            "own_kb": {str(server): round(kb, 1) for server, kb in self.own_kb.items()},
            "sessions": sorted(self.sessions),
        }

    @classmethod
    def merge(cls, plains: Sequence[Mapping[str, Any]], known: frozenset[int]) -> SiteSnapshot:
        """Merges the snapshots of several fronts.

        Load reports cover the sessions of all fronts, so the highest counts; a front's own sessions are added
        up.
        """
        if not plains:
            return cls(known, known, {}, {}, {}, {}, frozenset(), no_front_answered=True)

        def highest(name: str) -> dict[int, float]:
            values: dict[int, float] = {}
            for plain in plains:
                for server, value in plain[name].items():
                    values[int(server)] = max(values.get(int(server), 0.0), float(value))
            return values

        def summed(name: str) -> dict[int, float]:
            values: dict[int, float] = {}
            for plain in plains:
                for server, value in plain[name].items():
                    values[int(server)] = values.get(int(server), 0.0) + float(value)
            return values

        return cls(
            ready=frozenset(server for plain in plains for server in plain["ready"]),
            known=frozenset(server for plain in plains for server in plain["known"]),
            holders={title: servers for plain in plains for title, servers in plain["holders"].items()},
            playing={server: int(count) for server, count in summed("playing").items()},
            own_kb=summed("own_kb"),
            carried_kb=highest("carried_kb"),
            capacity_kb=highest("capacity_kb"),
            sessions=frozenset(one for plain in plains for one in plain["sessions"]),
        )


@dataclass(frozen=True, slots=True)
class OrderRules:
    """Limits on drains and on the memory of past commands.

    At most `burst` drains start within `burst` times `pace_ms`. `target_utilization` is the share of a
    server's link that may be planned for. The answers of the last `remembered` commands are stored.
    """

    pace_ms: float = 2_000.0
    burst: int = 2
    target_utilization: float = 0.8
    remembered: int = 1_000


@dataclass(frozen=True, slots=True)
class _Undo:
    """How to undo a command: the order under the key before it and after it."""

    table: str
    key: str
    before: Order | None
    after: Order | None


class Orders:
    """The orders in force, the drains that wait, and the answers to past commands.

    `version` grows with each change. The tables are drains by server, holds by title, and caps by
    `lesson:NAME` or `tenant:NAME`.
    """

    def __init__(self, rules: OrderRules | None = None) -> None:
        self.rules = rules or OrderRules()
        self.version = 0
        self.drains: dict[str, Order] = {}
        self.holds: dict[str, Order] = {}
        self.caps: dict[str, Order] = {}
        self.waiting: OrderedDict[str, Order] = OrderedDict()
        self.answered: OrderedDict[str, dict[str, Any]] = OrderedDict()
        self._undo: dict[str, _Undo] = {}
        self._offered_costs: OrderedDict[str, Mapping[str, Any]] = OrderedDict()
        self._recent_starts_ms: list[float] = []  # when the last drains took effect

    # --- commands ---

    def handle_command(
        self, now_ms: float, wall_time_ms: int, command: Command, site: SiteSnapshot
    ) -> Result:
        """Decides on a command and changes the orders. A repeated command changes nothing."""
        known = self.answered.get(command.id)
        if known is not None:
            self.answered.move_to_end(command.id)
            return Result(Outcome(known["outcome"]), str(known["says"]))
        result = self._decide(now_ms, wall_time_ms, command, site)
        if result.outcome is not Outcome.CONFIRM:  # nothing was done, and the same id may be sent again
            self._remember_answer(command.id, result)
        return result

    def start_due_drains(self, now_ms: float) -> list[int]:
        """Starts the waiting drains that pacing allows now; returns their servers."""
        started = []
        while self.waiting and self._may_start_drain(now_ms):
            server, order = self.waiting.popitem(last=False)
            self.drains[server] = order
            self._recent_starts_ms.append(now_ms)
            self.version += 1
            started.append(int(server))
        return started

    def next_deadline(self, now_ms: float) -> float | None:
        """Returns when the next waiting drain may start, or None if none waits."""
        if not self.waiting:
            return None
        recent = [at for at in self._recent_starts_ms if at > now_ms - self.rules.pace_ms * self.rules.burst]
        return (
            now_ms if len(recent) < self.rules.burst else min(recent) + self.rules.pace_ms * self.rules.burst
        )

    # --- queries of the front ---

    def drained(self, server: int) -> bool:
        """Whether a drain of the server is in force."""
        return str(server) in self.drains

    def rejection_reason(self, title: str, tenant: str, playing: Mapping[str, int]) -> str:
        """Returns why a new session must be rejected, or "".

        `playing` counts the sessions by `lesson:NAME` and by `tenant:NAME`.
        """
        hold = self.holds.get(title)
        if hold is not None:
            return "lesson is held" + (f": {hold.reason}" if hold.reason else "")
        for key in (f"lesson:{title}", f"tenant:{tenant}"):
            cap = self.caps.get(key)
            if cap is not None and playing.get(key, 0) >= cap.limit:
                return f"limit of {cap.limit} sessions for {key.replace(':', ' ')}"
        return ""

    # --- state files ---

    def to_plain(self) -> dict[str, Any]:
        """Returns the orders in the format of the state file."""

        def table(orders: Mapping[str, Order]) -> dict[str, Any]:
            return {key: _encode_order(one) for key, one in orders.items()}

        return {
            "format": FORMAT,
            "version": self.version,
            "drains": table(self.drains),
            "holds": table(self.holds),
            "caps": table(self.caps),
            "waiting": table(self.waiting),
            "answered": [[id, answer] for id, answer in self.answered.items()],
            "undo": {
                id: [one.table, one.key, _encode_order(one.before), _encode_order(one.after)]
                for id, one in self._undo.items()
            },
        }

    @classmethod
    def from_plain(cls, plain: Any, rules: OrderRules | None = None) -> Orders:
        """Reads what `to_plain` wrote, in this format or the one before. Raises OrdersError if it can't."""
        if not isinstance(plain, dict):
            raise OrdersError("not a file of orders")
        version = plain.get("format")
        if version == 1:
            plain = _upgrade_from_format_1(plain)
        elif version != FORMAT:
            raise OrdersError(f"format {version}, this program reads 1 and {FORMAT}")
        orders = cls(rules)
        try:
            orders.version = int(plain["version"])
            for name in ("drains", "holds", "caps", "waiting"):
                table: dict[str, Order] = getattr(orders, name)
                for key, row in plain[name].items():
                    order = _decode_order(row)
                    if order is None:
                        raise ValueError(f"{name} {key} is empty")
                    table[str(key)] = order
            for server in (*orders.drains, *orders.waiting):
                int(server)
            for key, answer in plain["answered"]:
                Outcome(answer["outcome"])
                orders.answered[str(key)] = {"outcome": answer["outcome"], "says": str(answer["says"])}
            for id, (name, key, before, after) in plain["undo"].items():
                if name not in ("drains", "holds", "caps"):
                    raise ValueError(f"undo of {name}")
                orders._undo[str(id)] = _Undo(name, str(key), _decode_order(before), _decode_order(after))
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise OrdersError(f"orders can't be read: {error!r}") from None
        return orders

    def restore(self, plain: Any) -> None:
        """Replaces all orders by those of `plain`, in place.

        Raises OrdersError, with nothing changed, if `plain` can't be read.
        """
        other = Orders.from_plain(plain, self.rules)
        self.version, self.drains, self.holds, self.caps = (
            other.version, other.drains, other.holds, other.caps
        )  # fmt: skip
        self.waiting, self.answered, self._undo = other.waiting, other.answered, other._undo

    def tables(self) -> dict[str, Any]:
        """Returns the orders in force, as the journal's entries and projection have them."""
        return {
            "drains": {server: one.by for server, one in self.drains.items()},
            "holds": {title: one.by for title, one in self.holds.items()},
            "caps": {key: one.limit for key, one in self.caps.items()},
        }

    # --- decisions ---

    def _decide(self, now_ms: float, wall_time_ms: int, command: Command, site: SiteSnapshot) -> Result:
        order = Order(command.by, wall_time_ms, command.reason, command.limit)
        if command.do is CommandKind.DRAIN:
            return self._drain(now_ms, command, order, site)
        if command.do is CommandKind.UNDRAIN:
            return self._undrain(command)
        if command.do is CommandKind.END:
            if command.target not in site.sessions:
                return Result(Outcome.REFUSED, f"no session {command.target} is here")
            return Result(Outcome.DONE, f"session {command.target} ends after its segment")
        if command.do is CommandKind.UNDO:
            return self._undo_command(command)
        table, key, add = {
            CommandKind.HOLD: ("holds", command.target, True),
            CommandKind.UNHOLD: ("holds", command.target, False),
            CommandKind.CAP: ("caps", command.target, True),
            CommandKind.UNCAP: ("caps", command.target, False),
        }[command.do]
        if table == "caps" and not key.startswith(("lesson:", "tenant:")):
            return Result(Outcome.REFUSED, "a limit is for lesson:NAME or tenant:NAME")
        if table == "caps" and add and command.limit < 0:
            return Result(Outcome.REFUSED, "a limit is 0 or more")
        if table == "holds" and add and command.target not in site.holders:
            return Result(Outcome.REFUSED, f"no lesson {command.target} is listed")
        return self._set_order(command, table, key, order if add else None)

    def _drain(self, now_ms: float, command: Command, order: Order, site: SiteSnapshot) -> Result:
        server = command.target
        if not server.isdecimal() or (int(server) not in site.known and server not in self.drains):
            return Result(Outcome.REFUSED, f"no box {server} is listed")
        server = str(int(server))
        existing = self.drains.get(server) or self.waiting.get(server)
        if existing is not None:
            wait = ", waits for its turn" if server in self.waiting else ""
            return Result(Outcome.ALREADY, f"box {server} is drained by {existing.by} already{wait}")
        cost = self._drain_cost(int(server), site)
        if cost:
            cost_digest = blake2b(repr(sorted(cost.items())).encode(), digest_size=4).hexdigest()
            if not self._is_cost_covered(command.cost_digest, cost):
                self._offered_costs[cost_digest] = cost
                while len(self._offered_costs) > _MAX_OFFERED_COSTS:
                    self._offered_costs.popitem(last=False)
                return Result(Outcome.CONFIRM, _describe_cost(int(server), cost), cost, cost_digest)
        self._undo[command.id] = _Undo("drains", server, None, order)
        if self.waiting or not self._may_start_drain(now_ms):
            self.waiting[server] = order
            self.version += 1
            turn = len(self.waiting)
            return Result(Outcome.QUEUED, f"box {server} drains in turn, {turn} of {turn} that wait")
        self._recent_starts_ms.append(now_ms)
        self.drains[server] = order
        self.version += 1
        return Result(
            Outcome.DONE, f"box {server} drains: {site.playing.get(int(server), 0)} sessions play on"
        )

    def _drain_cost(self, server: int, site: SiteSnapshot) -> dict[str, Any]:
        """Returns the cost of a drain together with all that are in force or wait; empty if there is none."""
        drained = {int(one) for one in (*self.drains, *self.waiting)} | {server}
        if server not in site.ready:
            return {}
        if site.no_front_answered:
            return {"blind": 1}
        remaining = site.ready - drained
        before = remaining | {server}
        uncovered = sorted(
            title
            for title, holders in site.holders.items()
            if not any(one in remaining for one in holders) and any(one in before for one in holders)
        )
        servers = {*site.carried_kb, *site.own_kb}
        carried = sum(max(site.carried_kb.get(one, 0.0), site.own_kb.get(one, 0.0)) for one in servers)
        capacity = sum(site.capacity_kb.get(one, 0.0) for one in remaining) * self.rules.target_utilization
        cost: dict[str, Any] = {}
        if uncovered:
            cost["lessons"] = uncovered
        if carried > capacity:
            cost["short_kb"] = round(carried - capacity, -2)
        return cost

    def _is_cost_covered(self, cost_digest: str, cost: Mapping[str, Any]) -> bool:
        """Whether the cost that the operator confirmed covers the present one."""
        agreed = self._offered_costs.get(cost_digest)
        if agreed is None:
            return False
        new_titles = set(cost.get("lessons", ())) - set(agreed.get("lessons", ()))
        if cost.get("blind", 0) > agreed.get("blind", 0):
            return False
        return not new_titles and cost.get("short_kb", 0.0) <= agreed.get("short_kb", 0.0) * 1.1

    def _undrain(self, command: Command) -> Result:
        server = str(int(command.target)) if command.target.isdecimal() else command.target
        if server in self.waiting:
            order = self.waiting.pop(server)
            self.version += 1
            self._undo[command.id] = _Undo("drains", server, order, None)
            return Result(Outcome.DONE, f"box {server} no longer waits to be drained")
        if server not in self.drains:
            return Result(Outcome.ALREADY, f"box {server} is not drained by an operator")
        return self._set_order(command, "drains", server, None)

    def _set_order(self, command: Command, table: str, key: str, order: Order | None) -> Result:
        orders: dict[str, Order] = getattr(self, table)
        before = orders.get(key)
        description = {"drains": "drain of box", "holds": "hold on lesson", "caps": "limit for"}[table]
        if order is None and before is None:
            return Result(Outcome.ALREADY, f"there is no {description} {key}")
        if order is not None and before is not None and (before.reason, before.limit) == (
            order.reason, order.limit
        ):  # fmt: skip
            return Result(Outcome.ALREADY, f"{description} {key} stands already, by {before.by}")
        if order is None:
            del orders[key]
        else:
            orders[key] = order
        self.version += 1
        self._undo[command.id] = _Undo(table, key, before, order)
        return Result(
            Outcome.DONE, f"{description} {key} " + ("stands" if order is not None else "is lifted")
        )

    def _undo_command(self, command: Command) -> Result:
        """Undoes a command, unless the order that it left has been changed since."""
        undo = self._undo.get(command.target)
        if undo is None:
            return Result(Outcome.REFUSED, f"command {command.target} is not known, or changed nothing")
        table: dict[str, Order] = getattr(self, undo.table)
        is_waiting = (
            undo.table == "drains" and undo.after is not None and self.waiting.get(undo.key) == undo.after
        )
        if not is_waiting and table.get(undo.key) != undo.after:
            return Result(Outcome.REFUSED, f"{undo.key} has been changed since")
        del self._undo[command.target]
        if is_waiting:
            del self.waiting[undo.key]
        elif undo.before is None:
            table.pop(undo.key, None)
        else:
            table[undo.key] = replace(undo.before)
        self.version += 1
        return Result(Outcome.DONE, f"command {command.target} is undone")

    def _may_start_drain(self, now_ms: float) -> bool:
        window_ms = self.rules.pace_ms * self.rules.burst
        self._recent_starts_ms = [at for at in self._recent_starts_ms if at > now_ms - window_ms]
        return len(self._recent_starts_ms) < self.rules.burst

    def _remember_answer(self, id: str, result: Result) -> None:
        self.answered[id] = {"outcome": str(result.outcome), "says": result.message}
        while len(self.answered) > self.rules.remembered:
            oldest, _ = self.answered.popitem(last=False)
            self._undo.pop(oldest, None)


def _encode_order(order: Order | None) -> list[Any] | None:
    return None if order is None else [order.by, order.at, order.reason, order.limit]


def _decode_order(row: Any) -> Order | None:
    if row is None:
        return None
    by, at, reason, limit = row
    return Order(str(by), int(at), str(reason), int(limit))


def _describe_cost(server: int, cost: Mapping[str, Any]) -> str:
    parts = []
    if "blind" in cost:
        parts.append("no front answers, so what it costs is not known")
    titles = cost.get("lessons", [])
    if titles:
        named = ", ".join(titles[:5]) + (", ..." if len(titles) > 5 else "")
        parts.append(f"{len(titles)} lessons are left without a holder: {named}")
    if "short_kb" in cost:
        parts.append(f"the other boxes are short of {cost['short_kb']:.0f} kB/s for what plays now")
    return f"draining box {server}: " + "; ".join(parts)


def _upgrade_from_format_1(plain: Mapping[str, Any]) -> dict[str, Any]:
    """Converts format 1: drains and holds only, each with an operator and a time, and no answers."""
    try:
        return {
            "version": plain.get("version", 0),
            "drains": {key: [by, at, "", 0] for key, (by, at) in plain["drains"].items()},
            "holds": {key: [by, at, "", 0] for key, (by, at) in plain["holds"].items()},
            "caps": {},
            "waiting": {},
            "answered": [],
            "undo": {},
        }
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise OrdersError(f"orders of format 1 can't be read: {error!r}") from None
