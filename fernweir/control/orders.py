"""What operators have ordered, and the rules by which an order is taken: free of I/O and clock.

An order stands until it is undone: a drain outlives restarts, of the box too, and wins over whatever the
list says of that box but `gone`. Every command has an id, and one that comes again is answered as it was
the first time. What would cost viewers their lesson, or the site its room, is answered with that cost and
done when the command is repeated with the cost's mark; several drains are paced. Times are milliseconds
of the loop's clock, but for `at`, which is wall time.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace
from enum import StrEnum
from hashlib import blake2b
from typing import Any

FORMAT = 2
_OFFERED = 100


class Do(StrEnum):
    """Commands that change something."""

    DRAIN = "drain"
    UNDRAIN = "undrain"
    HOLD = "hold"
    UNHOLD = "unhold"
    CAP = "cap"
    UNCAP = "uncap"
    END = "end"
    UNDO = "undo"


class Outcome(StrEnum):
    DONE = "done"
    ALREADY = "already"  # it stood so before
    QUEUED = "queued"  # a drain that waits for its turn
    CONFIRM = "confirm"  # costs something: repeat with the mark
    REFUSED = "refused"


class OrdersError(ValueError):
    """A state file can't be taken up; the text says why."""


@dataclass(frozen=True, slots=True)
class Command:
    """`target` is a box, a lesson, a session, or `lesson:NAME` or `tenant:NAME` for caps."""

    id: str
    by: str
    do: Do
    target: str = ""
    reason: str = ""
    most: int = 0
    mark: str = ""


@dataclass(frozen=True, slots=True)
class Order:
    """One order that stands."""

    by: str
    at: int
    reason: str = ""
    most: int = 0


@dataclass(frozen=True, slots=True)
class Result:
    """The answer to a command. `cost` and `mark` come with CONFIRM; `says` is for people."""

    outcome: Outcome
    says: str
    cost: Mapping[str, Any] = field(default_factory=dict)
    mark: str = ""

    def to_plain(self) -> dict[str, Any]:
        plain: dict[str, Any] = {"outcome": str(self.outcome), "says": self.says}
        if self.mark:
            plain |= {"cost": dict(self.cost), "mark": self.mark}
        return plain


@dataclass(frozen=True, slots=True)
class SiteSnapshot:
    """What the rules look at, as of now. Rates are kB/s; `carried_kb` is what a box was last told to be
    asked for, by all fronts; `own_kb` what this front's sessions ask of it."""

    ready: frozenset[int]  # boxes that the list calls ready
    known: frozenset[int]
    holders: Mapping[str, Sequence[int]]  # of each lesson
    playing: Mapping[int, int]
    carried_kb: Mapping[int, float]
    capacity_kb: Mapping[int, float]
    sessions: frozenset[str]
    own_kb: Mapping[int, float] = field(default_factory=dict)
    blind: bool = False  # nobody could tell

    def to_plain(self) -> dict[str, Any]:
        return {
            "ready": sorted(self.ready),
            "known": sorted(self.known),
            "holders": {lesson: list(boxes) for lesson, boxes in self.holders.items()},
            "playing": {str(box): count for box, count in self.playing.items()},
            "carried_kb": {str(box): round(kb, 1) for box, kb in self.carried_kb.items()},
            "capacity_kb": {str(box): round(kb, 1) for box, kb in self.capacity_kb.items()},
            "own_kb": {str(box): round(kb, 1) for box, kb in self.own_kb.items()},
            "sessions": sorted(self.sessions),
        }

    @classmethod
    def merge(cls, plains: Sequence[Mapping[str, Any]], known: frozenset[int]) -> SiteSnapshot:
        """What several fronts see, as one: each hears of all sessions' loads, but holds only its own."""
        if not plains:
            return cls(known, known, {}, {}, {}, {}, frozenset(), blind=True)

        def most(name: str) -> dict[int, float]:
            values: dict[int, float] = {}
            for plain in plains:
                for box, value in plain[name].items():
                    values[int(box)] = max(values.get(int(box), 0.0), float(value))
            return values

        def summed(name: str) -> dict[int, float]:
            values: dict[int, float] = {}
            for plain in plains:
                for box, value in plain[name].items():
                    values[int(box)] = values.get(int(box), 0.0) + float(value)
            return values

        return cls(
            ready=frozenset(box for plain in plains for box in plain["ready"]),
            known=frozenset(box for plain in plains for box in plain["known"]),
            holders={lesson: boxes for plain in plains for lesson, boxes in plain["holders"].items()},
            playing={box: int(count) for box, count in summed("playing").items()},
            own_kb=summed("own_kb"),
            carried_kb=most("carried_kb"),
            capacity_kb=most("capacity_kb"),
            sessions=frozenset(one for plain in plains for one in plain["sessions"]),
        )


@dataclass(frozen=True, slots=True)
class OrderRules:
    """Drains take effect `pace_ms` apart after `burst` at once; `mark` is the share of a link that is used.

    `remembered` command ids are kept with their answers.
    """

    pace_ms: float = 2_000.0
    burst: int = 2
    mark: float = 0.8
    remembered: int = 1_000


@dataclass(frozen=True, slots=True)
class _Undo:
    """How to take a command back: what stood under the key before, and what stands since."""

    table: str
    key: str
    before: Order | None
    after: Order | None


class Orders:
    """`take` decides on a command; `due` lets waiting drains take effect. `version` grows with each change.

    The tables are drains by box, holds by lesson, caps by `lesson:NAME` or `tenant:NAME`.
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
        self._offered: OrderedDict[str, Mapping[str, Any]] = OrderedDict()
        self._began: list[float] = []  # when the last drains took effect

    # --- commands ---

    def handle_command(self, now: float, wall: int, command: Command, site: SiteSnapshot) -> Result:
        """Decides, and changes what stands. For an id that was answered nothing is done again."""
        known = self.answered.get(command.id)
        if known is not None:
            self.answered.move_to_end(command.id)
            return Result(Outcome(known["outcome"]), str(known["says"]))
        result = self._decide(now, wall, command, site)
        if result.outcome is not Outcome.CONFIRM:  # which did nothing, and is to be repeated
            self._remember(command.id, result)
        return result

    def start_due_drains(self, now: float) -> list[int]:
        """Boxes whose drain takes effect now."""
        begun = []
        while self.waiting and self._may_begin(now):
            box, order = self.waiting.popitem(last=False)
            self.drains[box] = order
            self._began.append(now)
            self.version += 1
            begun.append(int(box))
        return begun

    def next_deadline(self, now: float) -> float | None:
        if not self.waiting:
            return None
        live = [at for at in self._began if at > now - self.rules.pace_ms * self.rules.burst]
        return now if len(live) < self.rules.burst else min(live) + self.rules.pace_ms * self.rules.burst

    # --- what the front asks ---

    def drained(self, box: int) -> bool:
        return str(box) in self.drains

    def rejection_reason(self, lesson: str, tenant: str, playing: Mapping[str, int]) -> str:
        """Why a new session may not begin, or nothing. `playing` counts by `lesson:NAME`, `tenant:NAME`."""
        hold = self.holds.get(lesson)
        if hold is not None:
            return "lesson is held" + (f": {hold.reason}" if hold.reason else "")
        for key in (f"lesson:{lesson}", f"tenant:{tenant}"):
            cap = self.caps.get(key)
            if cap is not None and playing.get(key, 0) >= cap.most:
                return f"limit of {cap.most} sessions for {key.replace(':', ' ')}"
        return ""

    # --- state files ---

    def to_plain(self) -> dict[str, Any]:
        def table(orders: Mapping[str, Order]) -> dict[str, Any]:
            return {key: _order_row(one) for key, one in orders.items()}

        return {
            "format": FORMAT,
            "version": self.version,
            "drains": table(self.drains),
            "holds": table(self.holds),
            "caps": table(self.caps),
            "waiting": table(self.waiting),
            "answered": [[id, answer] for id, answer in self.answered.items()],
            "undo": {
                id: [one.table, one.key, _order_row(one.before), _order_row(one.after)]
                for id, one in self._undo.items()
            },
        }

    @classmethod
    def from_plain(cls, plain: Any, rules: OrderRules | None = None) -> Orders:
        """Of a state file, of this format or the one before. OrdersError if it is none."""
        if not isinstance(plain, dict):
            raise OrdersError("not a file of orders")
        version = plain.get("format")
        if version == 1:
            plain = _from_first_format(plain)
        elif version != FORMAT:
            raise OrdersError(f"format {version}, this program reads 1 and {FORMAT}")
        orders = cls(rules)
        try:
            orders.version = int(plain["version"])
            for name in ("drains", "holds", "caps", "waiting"):
                table: dict[str, Order] = getattr(orders, name)
                for key, row in plain[name].items():
                    order = _order_of(row)
                    if order is None:
                        raise ValueError(f"{name} {key} is empty")
                    table[str(key)] = order
            for box in (*orders.drains, *orders.waiting):
                int(box)
            for key, answer in plain["answered"]:
                Outcome(answer["outcome"])
                orders.answered[str(key)] = {"outcome": answer["outcome"], "says": str(answer["says"])}
            for id, (name, key, before, after) in plain["undo"].items():
                if name not in ("drains", "holds", "caps"):
                    raise ValueError(f"undo of {name}")
                orders._undo[str(id)] = _Undo(name, str(key), _order_of(before), _order_of(after))
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise OrdersError(f"orders can't be read: {error!r}") from None
        return orders

    def restore(self, plain: Any) -> None:
        """Becomes what `plain` says, in place. OrdersError if that can't be read, with nothing changed."""
        other = Orders.from_plain(plain, self.rules)
        self.version, self.drains, self.holds, self.caps = (
            other.version, other.drains, other.holds, other.caps
        )  # fmt: skip
        self.waiting, self.answered, self._undo = other.waiting, other.answered, other._undo

    def tables(self) -> dict[str, Any]:
        """What the journal's views show."""
        return {
            "drains": {box: one.by for box, one in self.drains.items()},
            "holds": {lesson: one.by for lesson, one in self.holds.items()},
            "caps": {key: one.most for key, one in self.caps.items()},
        }

    # --- decisions ---

    def _decide(self, now: float, wall: int, command: Command, site: SiteSnapshot) -> Result:
        order = Order(command.by, wall, command.reason, command.most)
        if command.do is Do.DRAIN:
            return self._drain(now, command, order, site)
        if command.do is Do.UNDRAIN:
            return self._undrain(command)
        if command.do is Do.END:
            if command.target not in site.sessions:
                return Result(Outcome.REFUSED, f"no session {command.target} is here")
            return Result(Outcome.DONE, f"session {command.target} ends after its segment")
        if command.do is Do.UNDO:
            return self._take_back(command)
        table, key, add = {
            Do.HOLD: ("holds", command.target, True),
            Do.UNHOLD: ("holds", command.target, False),
            Do.CAP: ("caps", command.target, True),
            Do.UNCAP: ("caps", command.target, False),
        }[command.do]
        if table == "caps" and not key.startswith(("lesson:", "tenant:")):
            return Result(Outcome.REFUSED, "a limit is for lesson:NAME or tenant:NAME")
        if table == "caps" and add and command.most < 0:
            return Result(Outcome.REFUSED, "a limit is 0 or more")
        if table == "holds" and add and command.target not in site.holders:
            return Result(Outcome.REFUSED, f"no lesson {command.target} is listed")
        return self._put(command, table, key, order if add else None)

    def _drain(self, now: float, command: Command, order: Order, site: SiteSnapshot) -> Result:
        box = command.target
        if not box.isdecimal() or (int(box) not in site.known and box not in self.drains):
            return Result(Outcome.REFUSED, f"no box {box} is listed")
        box = str(int(box))
        standing = self.drains.get(box) or self.waiting.get(box)
        if standing is not None:
            wait = ", waits for its turn" if box in self.waiting else ""
            return Result(Outcome.ALREADY, f"box {box} is drained by {standing.by} already{wait}")
        cost = self._cost(int(box), site)
        if cost:
            mark = blake2b(repr(sorted(cost.items())).encode(), digest_size=4).hexdigest()
            if not self._agreed(command.mark, cost):
                self._offered[mark] = cost
                while len(self._offered) > _OFFERED:
                    self._offered.popitem(last=False)
                return Result(Outcome.CONFIRM, _cost_in_words(int(box), cost), cost, mark)
        self._undo[command.id] = _Undo("drains", box, None, order)
        if self.waiting or not self._may_begin(now):
            self.waiting[box] = order
            self.version += 1
            turn = len(self.waiting)
            return Result(Outcome.QUEUED, f"box {box} drains in turn, {turn} of {turn} that wait")
        self._began.append(now)
        self.drains[box] = order
        self.version += 1
        return Result(Outcome.DONE, f"box {box} drains: {site.playing.get(int(box), 0)} sessions play on")

    def _cost(self, box: int, site: SiteSnapshot) -> dict[str, Any]:
        """What a drain would cost with all others that stand or wait; empty if viewers lose nothing."""
        gone = {int(one) for one in (*self.drains, *self.waiting)} | {box}
        if box not in site.ready:
            return {}
        if site.blind:
            return {"blind": 1}
        left = site.ready - gone
        before = left | {box}
        bare = sorted(
            lesson
            for lesson, holders in site.holders.items()
            if not any(one in left for one in holders) and any(one in before for one in holders)
        )
        boxes = {*site.carried_kb, *site.own_kb}
        carried = sum(max(site.carried_kb.get(one, 0.0), site.own_kb.get(one, 0.0)) for one in boxes)
        room = sum(site.capacity_kb.get(one, 0.0) for one in left) * self.rules.mark
        cost: dict[str, Any] = {}
        if bare:
            cost["lessons"] = bare
        if carried > room:
            cost["short_kb"] = round(carried - room, -2)
        return cost

    def _agreed(self, mark: str, cost: Mapping[str, Any]) -> bool:
        """Whether the cost that was agreed to covers what it has become since."""
        agreed = self._offered.get(mark)
        if agreed is None:
            return False
        more_lessons = set(cost.get("lessons", ())) - set(agreed.get("lessons", ()))
        if cost.get("blind", 0) > agreed.get("blind", 0):
            return False
        return not more_lessons and cost.get("short_kb", 0.0) <= agreed.get("short_kb", 0.0) * 1.1

    def _undrain(self, command: Command) -> Result:
        box = str(int(command.target)) if command.target.isdecimal() else command.target
        if box in self.waiting:
            order = self.waiting.pop(box)
            self.version += 1
            self._undo[command.id] = _Undo("drains", box, order, None)
            return Result(Outcome.DONE, f"box {box} no longer waits to be drained")
        if box not in self.drains:
            return Result(Outcome.ALREADY, f"box {box} is not drained by an operator")
        return self._put(command, "drains", box, None)

    def _put(self, command: Command, table: str, key: str, order: Order | None) -> Result:
        orders: dict[str, Order] = getattr(self, table)
        before = orders.get(key)
        word = {"drains": "drain of box", "holds": "hold on lesson", "caps": "limit for"}[table]
        if order is None and before is None:
            return Result(Outcome.ALREADY, f"there is no {word} {key}")
        if order is not None and before is not None and (before.reason, before.most) == (
            order.reason, order.most
        ):  # fmt: skip
            return Result(Outcome.ALREADY, f"{word} {key} stands already, by {before.by}")
        if order is None:
            del orders[key]
        else:
            orders[key] = order
        self.version += 1
        self._undo[command.id] = _Undo(table, key, before, order)
        return Result(Outcome.DONE, f"{word} {key} " + ("stands" if order is not None else "is lifted"))

    def _take_back(self, command: Command) -> Result:
        """Undo is safe: it does nothing if what the command left has been changed since."""
        undo = self._undo.get(command.target)
        if undo is None:
            return Result(Outcome.REFUSED, f"command {command.target} is not known, or changed nothing")
        table: dict[str, Order] = getattr(self, undo.table)
        waits = undo.table == "drains" and undo.after is not None and self.waiting.get(undo.key) == undo.after
        if not waits and table.get(undo.key) != undo.after:
            return Result(Outcome.REFUSED, f"{undo.key} has been changed since")
        del self._undo[command.target]
        if waits:
            del self.waiting[undo.key]
        elif undo.before is None:
            table.pop(undo.key, None)
        else:
            table[undo.key] = replace(undo.before)
        self.version += 1
        return Result(Outcome.DONE, f"command {command.target} is undone")

    def _may_begin(self, now: float) -> bool:
        span = self.rules.pace_ms * self.rules.burst
        self._began = [at for at in self._began if at > now - span]
        return len(self._began) < self.rules.burst

    def _remember(self, id: str, result: Result) -> None:
        self.answered[id] = {"outcome": str(result.outcome), "says": result.says}
        while len(self.answered) > self.rules.remembered:
            gone, _ = self.answered.popitem(last=False)
            self._undo.pop(gone, None)


def _order_row(order: Order | None) -> list[Any] | None:
    return None if order is None else [order.by, order.at, order.reason, order.most]


def _order_of(row: Any) -> Order | None:
    if row is None:
        return None
    by, at, reason, most = row
    return Order(str(by), int(at), str(reason), int(most))


def _cost_in_words(box: int, cost: Mapping[str, Any]) -> str:
    parts = []
    if "blind" in cost:
        parts.append("no front answers, so what it costs is not known")
    lessons = cost.get("lessons", [])
    if lessons:
        named = ", ".join(lessons[:5]) + (", ..." if len(lessons) > 5 else "")
        parts.append(f"{len(lessons)} lessons are left without a holder: {named}")
    if "short_kb" in cost:
        parts.append(f"the other boxes are short of {cost['short_kb']:.0f} kB/s for what plays now")
    return f"draining box {box}: " + "; ".join(parts)


def _from_first_format(plain: Mapping[str, Any]) -> dict[str, Any]:
    """The first format had drains and holds only, each a name and a time, and no answers."""
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
