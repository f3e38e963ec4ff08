"""The six rules, each a checker that takes records in the order of time and names what broke it.

They see what the ends of the sockets saw, so two kinds of allowance are needed, both named here: an event
at a front and its trace at a box lie a moment apart (`SKEW_MS`), and a front that gave a session back is
seen to have done so when its message arrives (`SETTLE_MS`).
"""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from fernweir.audit.records import (
    AnyRecord,
    BoxAnswer,
    BoxClaim,
    BoxClosed,
    BoxEnd,
    BoxRung,
    BoxSegment,
    BoxSetup,
    BoxStart,
    BoxStop,
    FrontCont,
    FrontDown,
    FrontStop,
    FrontTerm,
    FrontUp,
    ListTold,
    SeatFreed,
    SeatTaken,
    Terms,
    TermsClass,
    ViewerAnswer,
    ViewerAsk,
    ViewerCut,
    ViewerLeft,
)

SKEW_MS = 50.0
SETTLE_MS = 150.0
INHERITED_MS = 2_000.0  # by when an heir counts what it claimed among its own
_TAKEN_NOTHING = ("refused", "unsent", "unwanted")


@dataclass(frozen=True, slots=True)
class Finding:
    """One break of a rule, with the line of the record at fault."""

    rule: str
    line: int
    t: float
    text: str

    def __str__(self) -> str:
        return f"{self.rule}: line {self.line}, t={self.t:.1f}: {self.text}"


class Rule:
    """`take` is given each record once; `finish` says that no more will come."""

    name = ""
    title = ""

    def __init__(self, terms: Terms) -> None:
        self.terms = terms
        self.classes: dict[str, TermsClass] = {one.name: one for one in terms.classes}
        self.checked = 0
        self.findings: list[Finding] = []

    def take(self, line: int, record: AnyRecord) -> None:
        raise NotImplementedError

    def finish(self, t: float) -> None:
        """Ends the checks that were waiting for more."""

    def broken(self, line: int, t: float, text: str) -> None:
        self.findings.append(Finding(self.name, line, t, text))


@dataclass(slots=True)
class _Asked:
    line: int
    ask: ViewerAsk
    answers: int = 0
    left: bool = False
    life: int = 0
    excused: bool = False


class OneAnswer(Rule):
    """Rule 1. An ask that reached a running front gets exactly one answer before its wait is over.

    A front that stands still owes no answer in time, one that was told to stop owes those asked before.
    """

    name, title = "1", "every request answered once, in time"

    def __init__(self, terms: Terms) -> None:
        super().__init__(terms)
        self._asked: dict[int, _Asked] = {}
        self._lives: dict[str, int] = defaultdict(int)
        self._down: dict[str, float] = {}
        self._stopping: set[str] = set()
        self._still: dict[str, list[float]] = defaultdict(list)  # when each pause began and ended, in turns
        self.by_status: dict[int, int] = defaultdict(int)

    def take(self, line: int, record: AnyRecord) -> None:
        if isinstance(record, FrontUp):
            self._down.pop(record.front, None)
            if record.front in self._stopping:
                self._stopping.discard(record.front)
            else:
                self._lives[record.front] += 1
        elif isinstance(record, FrontDown):
            if not record.planned:
                self._stopping.discard(record.front)
                self._down[record.front] = record.t
                self._lives[record.front] += 1
            if len(self._still[record.front]) % 2:
                self._still[record.front].append(record.t)
        elif isinstance(record, FrontTerm):
            self._stopping.add(record.front)
            for asked in self._asked.values():  # one that was still on its way
                if asked.ask.front == record.front and record.t - asked.ask.t < SKEW_MS:
                    asked.excused = True
        elif isinstance(record, FrontStop | FrontCont):
            self._still[record.front].append(record.t)
        elif isinstance(record, ViewerAsk):
            self._asked[record.req] = _Asked(
                line, record, life=self._lives[record.front], excused=record.front in self._stopping
            )
        elif isinstance(record, ViewerAnswer):
            self._answer(line, record)
        elif isinstance(record, ViewerLeft):
            if record.req in self._asked:
                self._asked[record.req].left = True
        elif isinstance(record, ViewerCut):
            self._cut(line, record)

    def _answer(self, line: int, record: ViewerAnswer) -> None:
        asked = self._asked.get(record.req)
        if asked is None:
            self.broken(line, record.t, f"answer to request {record.req}, which nobody sent")
            return
        asked.answers += 1
        self.checked += 1
        self.by_status[record.status] += 1
        took = record.t - asked.ask.t
        if asked.answers > 1:
            self.broken(line, record.t, f"request {record.req} is answered {asked.answers} times")
        if took > asked.ask.wait_ms and not self._stood_still(asked, record.t):
            self.broken(
                line,
                record.t,
                f"request {record.req} answered after {took:.0f} of {asked.ask.wait_ms:.0f} ms",
            )
        if record.status not in (200, 502, 503, 504) and not 400 <= record.status < 500:
            self.broken(line, record.t, f"request {record.req} answered by {record.status}: no known kind")

    def _cut(self, line: int, record: ViewerCut) -> None:
        asked = self._asked.get(record.req)
        if asked is None or record.outcome in _TAKEN_NOTHING:
            self._asked.pop(record.req, None)
            return
        if self._excused(asked) or self._stood_still(asked, record.t):
            self._asked.pop(record.req, None)
        elif asked.answers == 0:
            asked.answers = -1
            self.broken(line, record.t, f"request {record.req} ended without an answer ({record.outcome})")

    def _excused(self, asked: _Asked) -> bool:
        down = asked.ask.front in self._down or self._lives[asked.ask.front] != asked.life
        return asked.excused or down

    def _stood_still(self, asked: _Asked, until: float) -> bool:
        """Whether its front stood still at any time between the ask and `until`."""
        still = self._still[asked.ask.front]
        pauses = zip(still[::2], [*still[1::2], until], strict=False)
        return any(begun <= until and ended >= asked.ask.t for begun, ended in pauses)

    def finish(self, t: float) -> None:
        for req, asked in self._asked.items():
            due = asked.ask.t + asked.ask.wait_ms
            excused = asked.left or self._excused(asked) or self._stood_still(asked, due)
            if asked.answers == 0 and not excused and due < t:
                self.broken(asked.line, asked.ask.t, f"request {req} never got an answer")


class OneAttempt(Rule):
    """Rule 2. No two attempts of a session are out at once; what is paid at set-up is not paid twice."""

    name, title = "2", "no set-up twice, one attempt out a session"

    def __init__(self, terms: Terms) -> None:
        super().__init__(terms)
        self._out: dict[str, dict[int, BoxSetup]] = defaultdict(dict)
        self._ended: dict[int, float] = {}
        self._by_id: dict[int, BoxSetup] = {}
        self._pending: deque[tuple[float, int, BoxSetup, BoxSetup]] = deque()
        self._doubtful: dict[str, int] = {}

    def take(self, line: int, record: AnyRecord) -> None:
        self._settle(record.t)
        if isinstance(record, BoxSetup):
            self._setup(line, record)
        elif isinstance(record, BoxAnswer | BoxClosed):
            setup = self._by_id.get(record.id)
            if setup is not None:
                self._end(setup, record.t)
                refused = isinstance(record, BoxAnswer) and record.status == 503
                if refused:
                    self._doubtful.pop(setup.session, None)
        elif isinstance(record, BoxStop):
            for out in list(self._out.values()):
                for setup in list(out.values()):
                    if setup.box == record.box:
                        self._end(setup, record.t)

    def _setup(self, line: int, record: BoxSetup) -> None:
        self.checked += 1
        for other in self._out[record.session].values():
            # The end of the other may be seen a moment late, as it crosses another connection.
            self._pending.append((record.t + SKEW_MS + self.terms.way_ms, line, record, other))
        kind = self.classes.get(record.cls)
        if kind is not None and kind.effect != "repeatable":
            if record.attempt > 0 and record.session in self._doubtful:
                text = f"session {record.session} set up again after an attempt that may have run"
                self.broken(line, record.t, text)
            self._doubtful[record.session] = record.id
        self._out[record.session][record.id] = record
        self._by_id[record.id] = record

    def _end(self, setup: BoxSetup, t: float) -> None:
        self._ended.setdefault(setup.id, t)
        self._out[setup.session].pop(setup.id, None)
        if not self._out[setup.session]:
            del self._out[setup.session]

    def _settle(self, t: float) -> None:
        while self._pending and self._pending[0][0] < t:
            until, line, record, other = self._pending.popleft()
            if self._ended.get(other.id, until + 1.0) > until:
                text = f"session {record.session} has attempts out at boxes {other.box} and {record.box}"
                self.broken(line, record.t, text)

    def finish(self, t: float) -> None:
        self._settle(t + SKEW_MS + self.terms.way_ms + 1.0)


class DrainsKept(Rule):
    """Rule 3. Nothing new to a box past the grace after its front was told that it drains or is gone."""

    name, title = "3", "nothing new to a draining or gone box"

    def __init__(self, terms: Terms) -> None:
        super().__init__(terms)
        self._since: dict[tuple[str, int], tuple[float, str]] = {}
        self._still: dict[str, float] = {}

    def take(self, line: int, record: AnyRecord) -> None:
        if isinstance(record, ListTold):
            key = (record.front, record.box)
            if record.state == "ready":
                self._since.pop(key, None)
            else:
                self._since.setdefault(key, (record.t, record.state))
        elif isinstance(record, FrontUp):
            self._still.pop(record.front, None)
            for key in [key for key in self._since if key[0] == record.front]:
                del self._since[key]
        elif isinstance(record, FrontStop):
            self._still[record.front] = record.t
        elif isinstance(record, FrontCont):
            self._wake(record)
        elif isinstance(record, BoxSetup) and self.terms.drain_grace_ms is not None:
            self.checked += 1
            since, state = self._since.get((record.front, record.box), (record.t, ""))
            if record.t - since > self.terms.drain_grace_ms:
                late = record.t - since
                text = f"{record.front} set up at box {record.box}, told {state} {late:.0f} ms before"
                self.broken(line, record.t, text)

    def _wake(self, record: FrontCont) -> None:
        """While it stood still no grace ran out, and it heard nothing."""
        begun = self._still.pop(record.front, record.t)
        for key, (since, state) in self._since.items():
            if key[0] == record.front:
                self._since[key] = (record.t - max(begun - since, 0.0), state)


@dataclass(slots=True)
class _ColdLife:
    started: float
    streams: int
    sent: deque[float] = field(default_factory=deque)


class ColdKept(Rule):
    """Rule 4. What all fronts together send a cold box stays within its budget in every window."""

    name, title = "4", "no cold box pushed over"

    def __init__(self, terms: Terms) -> None:
        super().__init__(terms)
        self._lives: dict[int, _ColdLife] = {}

    def take(self, line: int, record: AnyRecord) -> None:
        cold = self.terms.cold
        if cold is None:
            return
        if isinstance(record, BoxStart):
            self._lives.pop(record.box, None)
            if record.cold:
                self._lives[record.box] = _ColdLife(record.t, record.streams)
        elif isinstance(record, BoxStop):
            if record.why == "toppled":
                self.broken(line, record.t, f"box {record.box} was pushed over")
            self._lives.pop(record.box, None)
        elif isinstance(record, BoxSetup) and record.box in self._lives:
            life = self._lives[record.box]
            age = record.t - life.started
            if age >= cold.warm_up_ms:
                del self._lives[record.box]
                return
            self.checked += 1
            life.sent.append(record.t)
            while life.sent[0] < record.t - cold.window_ms:
                life.sent.popleft()
            share = cold.cold_from + (1.0 - cold.cold_from) * age / cold.warm_up_ms
            most = cold.multiple * share * life.streams / cold.warm_up_ms * cold.window_ms
            if len(life.sent) > most + 1.0:
                got = f"got {len(life.sent)} set-ups in {cold.window_ms:.0f} ms"
                text = f"cold box {record.box} {got}, {most:.1f} allowed"
                self.broken(line, record.t, text)


class TermsKept(Rule):
    """Rule 5. No rung under a class's floor, and no more sessions of a title at a front than its seats.

    What a front inherits counts among its own: it may be more than its seats, and then it may add nothing.
    """

    name, title = "5", "floors and seats kept"

    def __init__(self, terms: Terms) -> None:
        super().__init__(terms)
        self._held: dict[tuple[str, str, str], dict[tuple[str, int, int], int]] = defaultdict(dict)
        self._keys: dict[int, tuple[tuple[str, str, str], tuple[str, int, int]]] = {}
        self._asked: dict[int, str] = {}
        self._pending: deque[tuple[float, int, float, tuple[str, str, str], str]] = deque()
        self._leases: dict[str, set[str]] = defaultdict(set)
        self._in_channels: dict[tuple[str, int, int], BoxSetup] = {}
        self._claimed: deque[tuple[float, str, BoxSetup]] = deque()
        self._heirs: set[tuple[str, str, str]] = set()
        self.most_held: dict[str, int] = defaultdict(int)

    def take(self, line: int, record: AnyRecord) -> None:
        self._settle(record.t)
        while self._claimed and self._claimed[0][0] < record.t:
            self._inherit(*self._claimed.popleft()[1:])
        if isinstance(record, BoxSetup):
            self._floor(line, record.t, record.cls, record.rung, f"set-up of {record.session}")
            self._hold(line, record)
        elif isinstance(record, BoxClaim):
            if record.accepted:
                self._claim(record)
        elif isinstance(record, BoxRung):
            self._floor(line, record.t, record.cls, record.rung, f"rung of {record.session}")
        elif isinstance(record, BoxSegment):
            if record.status == 200:
                self._floor(line, record.t, record.cls, record.rung, f"segment of {record.session}")
        elif isinstance(record, ViewerAsk):
            self._asked[record.req] = record.cls
        elif isinstance(record, ViewerAnswer):
            if record.status == 200 and record.req in self._asked:
                lowest = min(record.rungs, default=-1)
                self._floor(
                    line, record.t, self._asked[record.req], lowest, f"manifest for request {record.req}"
                )
        elif isinstance(record, BoxAnswer):
            if record.status != 200 or not record.whole:
                self._give_back(record.id)
        elif isinstance(record, BoxClosed):
            self._give_back(record.id)
        elif isinstance(record, BoxEnd):
            self._drop(lambda key: key == (record.session, record.attempt, record.box))
            self._in_channels.pop((record.session, record.attempt, record.box), None)
        elif isinstance(record, BoxStop):
            self._drop(lambda key: key[2] == record.box)
            for one in [one for one in self._in_channels if one[2] == record.box]:
                del self._in_channels[one]
        elif isinstance(record, SeatTaken):
            self._leased(line, record)
        elif isinstance(record, SeatFreed):
            self._leases[record.session].discard(record.lease)
        elif isinstance(record, FrontUp | FrontDown):
            for key in [key for key in self._held if key[0] == record.front]:
                del self._held[key]

    def _leased(self, line: int, record: SeatTaken) -> None:
        """By the entitlement server's own report: within the seats, and one seat a session."""
        self.checked += 1
        held = self._leases[record.session]
        held.add(record.lease)
        if record.used > record.limit:
            self.broken(line, record.t, f"{record.used} of {record.limit} seats of {record.place} are leased")
        if len(held) > 1:
            self.broken(line, record.t, f"session {record.session} holds leases {sorted(held)}")

    def _floor(self, line: int, t: float, cls: str, rung: int, what: str) -> None:
        self.checked += 1
        kind = self.classes.get(cls)
        if kind is not None and rung < kind.floor:
            self.broken(line, t, f"{what}: rung {rung} is under the floor {kind.floor} of {cls}")

    def _hold(self, line: int, record: BoxSetup) -> None:
        kind = self.classes.get(record.cls)
        if kind is None or not kind.seats:
            return
        key, one = (record.front, record.title, record.cls), (record.session, record.attempt, record.box)
        held = self._held[key]
        for _, front, setup in list(self._claimed):
            if (front, setup.session) == (record.front, record.session):
                self._inherit(front, setup)
        # One session has one seat: set up anew, it was given up where it was, though a box that says
        # nothing can't have heard of it.
        moved = [old for old in held if old[0] == record.session]
        for old in moved:
            del held[old]
        held[one] = record.id
        self._keys[record.id] = (key, one)
        if record.channel:
            self._in_channels[one] = record
        self.most_held[record.cls] = max(self.most_held[record.cls], len(held))
        if len(held) > kind.seats and not (moved and key in self._heirs):
            text = f"{record.front} holds {len(held)} of {kind.seats} seats of {record.title}"
            self._pending.append((record.t + SETTLE_MS + self.terms.way_ms, line, record.t, key, text))

    def _claim(self, record: BoxClaim) -> None:
        """The old owner may have let go at once; the heir counts what it claimed a while later."""
        place = (record.box, record.channel)
        self._claimed = deque(one for one in self._claimed if (one[2].box, one[2].channel) != place)
        for one, setup in self._in_channels.items():
            if (setup.box, setup.channel) != place:
                continue
            for key, held in self._held.items():
                if key[0] != record.front and held.pop(one, None) is not None:
                    self._freed(key)
            self._claimed.append((record.t + INHERITED_MS, record.front, setup))

    def _inherit(self, front: str, setup: BoxSetup) -> None:
        one = (setup.session, setup.attempt, setup.box)
        key = (front, setup.title, setup.cls)
        held_anew = any(old[0] == setup.session for old in self._held[key])
        if one in self._in_channels and not held_anew:
            self._heirs.add(key)
            self._held[key][one] = setup.id
            self._keys[setup.id] = (key, one)

    def _give_back(self, number: int) -> None:
        if number in self._keys:
            key, one = self._keys.pop(number)
            self._in_channels.pop(one, None)
            if self._held[key].get(one) == number:
                del self._held[key][one]
                self._freed(key)

    def _drop(self, match: Callable[[tuple[str, int, int]], bool]) -> None:
        for key, held in self._held.items():
            for one in [one for one in held if match(one)]:
                del held[one]
                self._freed(key)

    def _freed(self, key: tuple[str, str, str]) -> None:
        # The front knew of this end before the box said so: one doubtful hold is explained by it.
        for index, pending in enumerate(self._pending):
            if pending[3] == key:
                del self._pending[index]
                return

    def _settle(self, t: float) -> None:
        while self._pending and self._pending[0][0] < t:
            _, line, at, _, text = self._pending.popleft()
            self.broken(line, at, text)

    def finish(self, t: float) -> None:
        self._settle(t + SETTLE_MS + self.terms.way_ms + 1.0)


class BudgetKept(Rule):
    """Rule 6. A front's attempts beyond each session's first stay within the budget in every window."""

    name, title = "6", "further attempts within the budget"

    def __init__(self, terms: Terms) -> None:
        super().__init__(terms)
        self._asked: dict[str, deque[float]] = defaultdict(deque)
        self._extra: dict[str, deque[float]] = defaultdict(deque)

    def take(self, line: int, record: AnyRecord) -> None:
        budget = self.terms.budget
        if budget is None:
            return
        if isinstance(record, FrontUp):
            self._asked.pop(record.front, None)
            self._extra.pop(record.front, None)
        elif isinstance(record, ViewerAsk):
            self._asked[record.front].append(record.t)
        elif isinstance(record, BoxSetup) and record.attempt > 0:
            self.checked += 1
            asked, extra = self._asked[record.front], self._extra[record.front]
            extra.append(record.t)
            while extra[0] <= record.t - budget.span_ms + SKEW_MS:
                extra.popleft()
            while asked and asked[0] < record.t - budget.span_ms - SKEW_MS:
                asked.popleft()
            most = budget.free + budget.share * len(asked)
            if len(extra) > most:
                text = f"{record.front} made {len(extra)} further attempts in the window, {most:.1f} allowed"
                self.broken(line, record.t, text)


RULES: tuple[type[Rule], ...] = (OneAnswer, OneAttempt, DrainsKept, ColdKept, TermsKept, BudgetKept)
