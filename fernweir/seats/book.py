"""The book of seats: each session's lease from the first ask to its last release; free of I/O and clock.

It counts a seat once by session, however often its set-up, its ask or its renewal is repeated. All that
may take a seat carries an idempotency key that stays the same in every repeat, and is written down before
its first byte leaves. Two times bound a lease, both of the monotonic clock: the front uses it no longer
than `use_until`, counted from when its request was sent; the server may hold it as long as `held_until`,
counted from when an answer came, or the last request was given up. Between the two it is counted, not used.

Shells call the methods with `now` in milliseconds, carry out what `take` returns, and tell `durable` how
far the log is synced. Times in wall clock cross the log only.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from random import Random

from fernweir.entitlement.policy import DecorrelatedJitter, RetryPolicy, RetryRules
from fernweir.entitlement.queue import QueueRules, SendQueue, Turn
from fernweir.seats import records
from fernweir.seats.records import Kept, Table
from fernweir.seats.wheel import Timer, Wheel


class State(Enum):
    ASKING = "asking"  # the server may hold a seat for it
    HELD = "held"
    RECOVERED = "recovered"  # from the log of an earlier life, nobody wants it yet
    RELEASING = "releasing"


class Op(Enum):
    ASK = "ask"
    RENEW = "renew"
    RELEASE = "release"


class Said(Enum):
    """What became of a request."""

    DONE = "done"  # granted, renewed or released
    FULL = "full"  # no seat free
    DENIED = "denied"  # not entitled, or no longer: for good
    GONE = "gone"  # the server knows no such lease
    FENCED = "fenced"  # the seat has gone to the same session at another front
    NEVER = "never"  # provably never ran
    DOUBTFUL = "doubtful"  # no answer, or an error: it may have run


@dataclass(frozen=True, slots=True)
class Want:
    session: str
    tenant: str
    lesson: str
    cls: str
    person: str
    worth: float


@dataclass(frozen=True, slots=True)
class Reply:
    said: Said
    lease: str = ""
    fence: int = 0
    ttl_ms: float = 0.0
    retry_after_ms: float = 0.0
    token: str = ""


# --- what the shell must do ---


@dataclass(frozen=True, slots=True)
class Send:
    """Send a request now; its one end goes to `replied` with the same number."""

    number: int
    op: Op
    seat: Kept
    key: str
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class Verdict:
    """Whether a session that asked may play. `granted` of None: the server said nothing in time."""

    session: str
    granted: bool | None
    why: str = ""
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Revoke:
    """A session that plays must end, at a segment's end, for this reason."""

    session: str
    why: str


@dataclass(frozen=True, slots=True)
class Renewed:
    """A lease is good for longer; `token` is the viewer's new one, if the server gave one."""

    session: str
    use_until: float
    token: str
    lead_ms: float | None = None  # what was left of the lease, if it was of this life


Command = Send | Verdict | Revoke | Renewed


@dataclass(frozen=True, slots=True)
class BookRules:
    """Times in ms. `ttl_most` bounds what a server can have granted that it never told us of.

    Renewals begin when between `lead_from` and `lead_to` of a lease's time is left, drawn for each.
    """

    call_ms: float = 1_000.0
    ttl_most_ms: float = 60_000.0
    lead_from: float = 0.5
    lead_to: float = 0.7
    grace_ms: float = 1_500.0
    reclaim_ms: float = 10_000.0
    tick_ms: float = 10.0


@dataclass(slots=True)
class BookCounts:
    asks: int = 0
    granted: int = 0
    full: int = 0
    denied: int = 0
    unanswered: int = 0
    renewed: int = 0
    revoked: int = 0
    lapsed: int = 0
    released: int = 0
    forgotten: int = 0
    repeats: int = 0
    strays: int = 0
    shortest_lead_ms: float = float("inf")


@dataclass(slots=True, eq=False)
class Seat:
    kept: Kept
    state: State
    wanted: bool = False
    answer_by: float | None = None  # a verdict is owed until then
    use_until: float = 0.0
    held_until: float = 0.0
    ttl_ms: float = 0.0
    request: int | None = None  # in line, parked or out
    op: Op = Op.ASK
    out: bool = False
    sent_at: float = 0.0
    after: int = 0  # the log record that must be durable first
    timer: Timer[tuple[str, str]] | None = None
    jitter: DecorrelatedJitter | None = None
    overdue: bool = False
    slot: str = ""  # where the book keeps it: its session, or for a stray lease a name that no session has

    def __post_init__(self) -> None:
        self.slot = self.slot or self.kept.session

    @property
    def key(self) -> str:
        return f"{self.kept.session}.{self.kept.generation}"


class Book:
    """`append` writes a record to the log and gives its number; `plays_unanswered` says of each class
    whether its sessions play when the server says nothing."""

    def __init__(
        self,
        now: float,
        seed: int,
        append: Callable[[bytes], int],
        plays_unanswered: Callable[[str], bool],
        *,
        rules: BookRules | None = None,
        retry: RetryRules | None = None,
        queue: QueueRules | None = None,
        generation: int = 0,
    ) -> None:
        self.rules = rules or BookRules()
        self.counts = BookCounts()
        self.seats: dict[str, Seat] = {}
        self.queue = SendQueue(queue)
        self.policy = RetryPolicy(retry or RetryRules(), Random(f"retry {seed}"))
        self.writable = True
        self.wall_offset_s = 0.0  # wall clock less monotonic clock
        self._dice = Random(f"book {seed}")
        self._append, self._plays = append, plays_unanswered
        self._wheel: Wheel[tuple[str, str]] = Wheel(now, self.rules.tick_ms)
        self._by_request: dict[int, Seat] = {}
        self._trials: dict[int, int] = {}
        self._parked: list[int] = []
        self._durable = 0
        self._numbers = 0
        self._generation = generation
        self._out: list[Command] = []

    # --- what the shell tells ---

    def recover(self, now: float, wall_s: float, table: Table) -> None:
        """Seats of an earlier life: each may be held until its time, at most for one whole lease.

        The wall clock may have stepped in between: it is believed only within what a lease can last.
        """
        for kept in table.values():
            seat = Seat(kept, State.RECOVERED)
            left = (kept.until - wall_s) * 1000.0 if kept.lease else self.rules.ttl_most_ms
            seat.held_until = now + min(max(left, 0.0), self.rules.ttl_most_ms)
            if kept.lease and left <= 0.0:  # or the clock was put forward: only the server knows
                seat.held_until = now + self.rules.ttl_most_ms
            self.seats[kept.session] = seat
            self._generation = max(self._generation, kept.generation)
            self._set(seat, now + self.rules.reclaim_ms * self._dice.uniform(0.5, 1.0), "reclaim")

    def want(self, now: float, want: Want, answer_by: float) -> None:
        """A session asks to play; its verdict comes by `answer_by`."""
        seat = self.seats.get(want.session)
        if seat is None:
            self._ask_first(now, want, answer_by)
            return
        seat.wanted = True
        if seat.state is State.HELD and now < seat.use_until:
            self._out.append(Verdict(want.session, True))
            return
        seat.answer_by = max(answer_by, seat.answer_by or 0.0)
        if seat.state is State.RECOVERED and not seat.out:
            self._cancel_timer(seat)
            # Under its old key, or its lease: the server says whether it is still ours.
            self._request(now, seat, Op.RENEW if seat.kept.lease else Op.ASK)
        elif seat.state is State.RELEASING and not seat.out and now < seat.use_until:
            self._drop_request(seat)
            seat.state, seat.answer_by = State.HELD, None
            self._plan_renewal(now, seat)
            self._out.append(Verdict(want.session, True))
        elif seat.state is State.RELEASING and seat.request is None:
            self._request(now, seat, Op.RELEASE)  # its end is waited for, not its next try
        self._set_verdict_timer(seat)

    def unwant(self, now: float, session: str) -> None:
        """The session ended, or its viewer left before the verdict."""
        seat = self.seats.get(session)
        if seat is None or not seat.wanted:
            return
        seat.wanted, seat.answer_by = False, None
        if seat.state is State.HELD or (seat.state is State.ASKING and not seat.out):
            self._release(now, seat)

    def replied(self, now: float, number: int, reply: Reply) -> None:
        """The one end of a request that was sent."""
        seat = self._by_request.pop(number, None)
        if seat is None or seat.request != number:
            return
        good = reply.said not in (Said.DOUBTFUL, Said.NEVER)
        self.policy.breaker.end(now, self._trials.pop(number, 0), good)
        self.queue.done(now - seat.sent_at)
        seat.request, seat.out = None, False
        if seat.op is Op.ASK:
            self._asked(now, seat, reply)
        elif seat.op is Op.RENEW:
            self._renewed(now, seat, reply)
        else:
            self._released(now, seat, reply)

    def durable(self, now: float, number: int) -> None:
        """All records up to this number are synced: what waited for them may leave."""
        self._durable = max(self._durable, number)

    def unwritable(self, now: float) -> None:
        """The log can't be written: nothing new is asked for, what is held goes on."""
        self.writable = False
        for number in list(self._parked):
            seat = self._by_request.pop(number, None)
            if seat is not None:
                seat.request = None
                self._verdict(seat, False, "seats can't be written down", 1_000.0)
                self.seats.pop(seat.kept.session, None)
                self._cancel_timer(seat)
        self._parked.clear()

    def take(self, now: float) -> list[Command]:
        """Fires what is due and returns what must be done now."""
        for slot, what in self._wheel.advance(now):
            seat = self.seats.get(slot)
            if seat is not None:
                self._fire(now, seat, what)
        self._unpark(now)
        while self.policy.breaker.may_call(now) and (number := self.queue.next()) is not None:
            self._send(now, number)
        out, self._out = self._out, []
        return out

    def next_due(self, now: float) -> float | None:
        due = self._wheel.next_due()
        if len(self.queue) and (wait := self.policy.breaker.wait_ms(now)) > 0.0:
            due = min(due or now + wait, now + wait)
        return due

    # --- what the shell asks ---

    def held(self, lesson: str, cls: str) -> int:
        """Seats that the server may count for us now."""
        return sum(1 for seat in self.seats.values() if (seat.kept.lesson, seat.kept.cls) == (lesson, cls))

    def table(self) -> Table:
        """What a snapshot of the log keeps."""
        return {
            seat.kept.session: seat.kept for slot, seat in self.seats.items() if slot == seat.kept.session
        }

    def covers(self, now: float, session: str) -> bool:
        """Whether a session's lease is good now, whatever its first token says."""
        seat = self.seats.get(session)
        return seat is not None and seat.wanted and seat.state is State.HELD and now < seat.use_until

    def gives_back(self, session: str, generation: int) -> bool:
        return _stray(session, generation) in self.seats

    # --- what a report of the server leads to, see `reconcile` ---

    def renew_now(self, now: float, session: str) -> None:
        """Brings a held seat's renewal forward: whether it stands, its answer decides."""
        seat = self.seats.get(session)
        if seat is not None and seat.state is State.HELD and seat.request is None and now < seat.use_until:
            self._fire_renewal(now, seat)

    def give_back(self, now: float, session: str, generation: int) -> None:
        """Releases a lease that the book knows nothing of, by the key it was asked under."""
        slot = _stray(session, generation)
        if slot in self.seats:
            return
        kept = Kept(session, generation, "", "", "", "", 0.0)
        seat = self.seats[slot] = Seat(kept, State.RELEASING, slot=slot)
        seat.held_until = now + self.rules.ttl_most_ms
        self.counts.strays += 1
        self._request(now, seat, Op.RELEASE)
        self._set(seat, seat.held_until + self.rules.tick_ms, "forget")

    # --- asking ---

    def _ask_first(self, now: float, want: Want, answer_by: float) -> None:
        self.counts.asks += 1
        wait = max(self.queue.wait_ms(), self.policy.breaker.wait_ms(now))
        if not self.writable:
            self._out.append(Verdict(want.session, False, "seats can't be written down", 1_000.0))
            return
        if now + wait >= answer_by and not self._plays(want.cls):
            self._out.append(Verdict(want.session, False, "entitlement is busy", wait))
            return
        self._generation += 1
        kept = Kept(
            want.session, self._generation, want.tenant, want.lesson, want.cls, want.person, want.worth,
            asked_at=self.wall_offset_s + now / 1000.0,
        )  # fmt: skip
        seat = self.seats[want.session] = Seat(kept, State.ASKING, wanted=True, answer_by=answer_by)
        seat.after = self._append(records.asked(kept))
        self.policy.first(now, want.tenant)
        self._request(now, seat, Op.ASK)
        self._set_verdict_timer(seat)

    def _asked(self, now: float, seat: Seat, reply: Reply) -> None:
        if reply.said is Said.DONE:
            self._grant(now, seat, reply)
            if not seat.wanted:
                self._release(now, seat)
            return
        if reply.said in (Said.FULL, Said.DENIED, Said.GONE, Said.FENCED):
            full = reply.said is Said.FULL
            self.counts.full += full
            self.counts.denied += not full
            why = "no seat is free" if full else "not entitled to this lesson"
            if reply.said is Said.FENCED:
                why = "the session goes on elsewhere"
            if seat.answer_by is not None:
                self._verdict(seat, False, why, reply.retry_after_ms)
            elif seat.wanted:
                self._revoke(seat, why)
            self._forget(seat)
            return
        if reply.said is Said.DOUBTFUL:
            seat.held_until = now + self.rules.ttl_most_ms
        if not seat.wanted:
            if reply.said is Said.NEVER and seat.held_until <= now:
                self._forget(seat)
            else:
                self._release(now, seat)
            return
        until = seat.answer_by if seat.answer_by is not None else now + self.rules.ttl_most_ms
        self._again(now, seat, until)

    def _grant(self, now: float, seat: Seat, reply: Reply) -> None:
        self.counts.granted += 1
        seat.state, seat.overdue, seat.jitter = State.HELD, False, None
        self._extend(now, seat, reply)
        self._append(records.held(seat.kept.session, reply.lease, reply.fence, self._wall_until(seat)))
        if seat.answer_by is not None:
            self._verdict(seat, True)
        if reply.token and seat.wanted:
            self._out.append(Renewed(seat.kept.session, seat.use_until, reply.token))
        self._plan_renewal(now, seat)

    def _extend(self, now: float, seat: Seat, reply: Reply) -> None:
        kept = seat.kept
        seat.kept = Kept(
            kept.session, kept.generation, kept.tenant, kept.lesson, kept.cls, kept.person, kept.worth,
            reply.lease or kept.lease, reply.fence, kept.until, kept.asked_at,
        )  # fmt: skip
        seat.ttl_ms = min(reply.ttl_ms, self.rules.ttl_most_ms)
        seat.use_until = seat.sent_at + seat.ttl_ms
        seat.held_until = now + seat.ttl_ms

    # --- renewing ---

    def _plan_renewal(self, now: float, seat: Seat) -> None:
        left = seat.ttl_ms * self._dice.uniform(self.rules.lead_from, self.rules.lead_to)
        self._set(seat, max(seat.use_until - left, now), "renew")

    def _renewed(self, now: float, seat: Seat, reply: Reply) -> None:
        fresh = reply.said is Said.DONE and reply.fence > seat.kept.fence
        if fresh:
            self.counts.renewed += 1
            lead = None
            if seat.state is not State.RECOVERED:
                lead = seat.use_until - now
                self.counts.shortest_lead_ms = min(self.counts.shortest_lead_ms, lead)
            seat.overdue, seat.jitter = False, None
            seat.state = State.HELD
            self._extend(now, seat, reply)
            if seat.answer_by is not None:
                self._verdict(seat, True)
            if not seat.wanted:
                self._release(now, seat)
                return
            self._out.append(Renewed(seat.kept.session, seat.use_until, reply.token, lead))
            self._plan_renewal(now, seat)
        elif reply.said is Said.DENIED:
            self._ended_for_good(seat, "entitlement has ended")
        elif reply.said is Said.FENCED and seat.state is State.HELD:
            self._ended_for_good(seat, "the session goes on elsewhere")
        elif reply.said in (Said.GONE, Said.DONE, Said.FULL, Said.FENCED):
            # It forgot us, or speaks of an older time: the seat is asked for anew, under a new key.
            if seat.wanted:
                self._ask_anew(now, seat)
            else:
                self._forget(seat)
        else:
            if reply.said is Said.DOUBTFUL:
                # Of an earlier life's lease it is not known how long a renewal makes it.
                seat.held_until = max(seat.held_until, now + (seat.ttl_ms or self.rules.ttl_most_ms))
            if not seat.wanted:
                self._release(now, seat)
                return
            plays_on = seat.overdue or self._plays(seat.kept.cls)
            last = now + self.rules.grace_ms if plays_on else seat.use_until
            self._again(now, seat, seat.answer_by or max(last, seat.use_until))

    def _ask_anew(self, now: float, seat: Seat) -> None:
        self._generation += 1
        kept = seat.kept
        seat.kept = Kept(
            kept.session, self._generation, kept.tenant, kept.lesson, kept.cls, kept.person, kept.worth,
            asked_at=self.wall_offset_s + now / 1000.0,
        )  # fmt: skip
        seat.after = self._append(records.asked(seat.kept))
        seat.state = State.ASKING
        self._request(now, seat, Op.ASK)

    def _lapse(self, now: float, seat: Seat) -> None:
        """Its time is over unanswered. A front that stood still until long after asks first.

        Only that: the seat of any other may be another's from this moment on.
        """
        if not seat.wanted:  # it left while a renewal was out, whose end releases it
            if not seat.out:
                self._release(now, seat)
            return
        if not seat.overdue and now >= seat.use_until + self.rules.grace_ms:
            seat.overdue = True
            if seat.request is None:
                self._request(now, seat, Op.RENEW)
            self._set(seat, now + self.rules.grace_ms, "lapse")
            return
        if self._plays(seat.kept.cls):
            self._set(seat, now + self.rules.grace_ms, "lapse")
            if seat.request is None:
                self._request(now, seat, Op.RENEW)
            return
        self.counts.lapsed += 1
        if seat.answer_by is not None:  # it was revoked before, and somebody asks for it again
            self.counts.unanswered += 1
            self._verdict(seat, None, "entitlement did not answer")
            seat.wanted = False
        else:
            self._revoke(seat, "entitlement could not be renewed")
        if not seat.out:
            self._release(now, seat)

    # --- releasing ---

    def _release(self, now: float, seat: Seat) -> None:
        if seat.out:
            return  # its end comes first: two requests of one seat are never out together
        self._drop_request(seat)
        if seat.state is State.ASKING and seat.held_until <= now and not seat.sent_at:
            self._forget(seat)  # the ask never left
            return
        seat.state, seat.jitter = State.RELEASING, None
        seat.held_until = max(seat.held_until, now)
        self._request(now, seat, Op.RELEASE)
        self._set(seat, seat.held_until + self.rules.tick_ms, "forget")

    def _released(self, now: float, seat: Seat, reply: Reply) -> None:
        if reply.said not in (Said.DOUBTFUL, Said.NEVER):
            self.counts.released += 1
            self._over(now, seat)
            return
        self._again(now, seat, seat.held_until)

    def _over(self, now: float, seat: Seat) -> None:
        """The server holds it no more: gone, or asked for anew if somebody came to want it meanwhile."""
        if seat.answer_by is not None and now >= seat.answer_by:
            self.counts.unanswered += 1
            self._verdict(seat, None, "entitlement did not answer")
            seat.wanted = self._plays(seat.kept.cls)
        if seat.wanted:
            self._ask_anew(now, seat)
            self._set_verdict_timer(seat)
        else:
            self._forget(seat)

    # --- pieces ---

    def _again(self, now: float, seat: Seat, until: float) -> None:
        """The same request once more, within the budget; what it can't have now is tried at the timers."""
        if seat.jitter is None:
            seat.jitter = self.policy.jitter()
        at = self.policy.again(now, seat.kept.tenant, seat.jitter, until)
        if at is not None:
            self.counts.repeats += 1
            if seat.op is Op.RELEASE:
                what = "again" if at < seat.held_until else "forget"
                self._set_or_verdict(seat, min(at, seat.held_until), what)
            else:
                self._set(seat, at, "again")
        elif seat.op is Op.RELEASE:
            self._set_or_verdict(seat, seat.held_until, "forget")
        elif seat.state is State.HELD:
            # Out of budget: once more before it lapses, when others' first tries have earned some.
            later = now + (seat.use_until - now) / 2.0
            near = seat.use_until - now < self.rules.call_ms / 4.0
            self._set(seat, seat.use_until if near else later, "lapse" if near else "renew")
        elif seat.answer_by is not None:
            self._set(seat, seat.answer_by, "verdict")
        else:
            self._set(seat, now + self.rules.call_ms, "again")

    def _fire(self, now: float, seat: Seat, what: str) -> None:
        seat.timer = None
        if what == "forget":
            if seat.out:
                self._set_or_verdict(seat, now + self.rules.call_ms, "forget")
            else:
                self.counts.forgotten += 1
                self._drop_request(seat)
                self._over(now, seat)
        elif what == "verdict":
            self._no_answer(now, seat)
        elif what == "lapse":
            if seat.state is State.HELD and now >= seat.use_until:
                self._lapse(now, seat)
        elif what == "reclaim":
            self._release(now, seat)
        elif what == "renew" and seat.state is State.HELD:
            if now >= seat.use_until:
                self._lapse(now, seat)
                return
            if seat.request is None:
                self._fire_renewal(now, seat)
            else:
                self._set(seat, seat.use_until, "lapse")
        elif what == "again" and seat.request is None:
            self._request(now, seat, seat.op)
            if seat.op is Op.RELEASE:
                self._set_or_verdict(seat, seat.held_until + self.rules.tick_ms, "forget")
            elif seat.state is State.HELD:
                self._set_or_verdict(seat, max(seat.use_until, now), "lapse")
            else:
                self._set_verdict_timer(seat)

    def _fire_renewal(self, now: float, seat: Seat) -> None:
        self.policy.first(now, seat.kept.tenant)
        self._request(now, seat, Op.RENEW)
        self._set(seat, seat.use_until, "lapse")

    def _no_answer(self, now: float, seat: Seat) -> None:
        """The verdict is due and the server has said nothing: the class says what then."""
        if seat.answer_by is None:
            if not seat.wanted and seat.request is None:
                self._release(now, seat)  # who waited has left, and this timer took the place of the next try
            return
        self.counts.unanswered += 1
        plays = self._plays(seat.kept.cls)
        self._verdict(seat, None, "entitlement did not answer")
        if not plays:
            seat.wanted = False
            self._release(now, seat)
        elif seat.request is None:
            self._request(now, seat, seat.op)

    def _ended_for_good(self, seat: Seat, why: str) -> None:
        self.counts.denied += 1
        if seat.answer_by is not None:
            self._verdict(seat, False, why)
        elif seat.wanted:
            self._revoke(seat, why)
        self._forget(seat)

    def _verdict(self, seat: Seat, granted: bool | None, why: str = "", retry_after_ms: float = 0.0) -> None:
        if seat.answer_by is not None:
            seat.answer_by = None
            self._out.append(Verdict(seat.kept.session, granted, why, retry_after_ms))

    def _revoke(self, seat: Seat, why: str) -> None:
        self.counts.revoked += 1
        seat.wanted = False
        self._out.append(Revoke(seat.kept.session, why))

    def _request(self, now: float, seat: Seat, op: Op) -> None:
        self._numbers += 1
        self._drop_request(seat)
        seat.request, seat.op = self._numbers, op
        self._by_request[self._numbers] = seat
        if op is Op.ASK and seat.after > self._durable:
            self._parked.append(self._numbers)
        else:
            self._enqueue(now, self._numbers, seat)

    def _enqueue(self, now: float, number: int, seat: Seat) -> None:
        turn = {Op.ASK: Turn.ASK, Op.RENEW: Turn.RENEW, Op.RELEASE: Turn.RELEASE}[seat.op]
        if not self.queue.add(now, number, turn, seat.kept.worth, seat.use_until):
            self._by_request.pop(number, None)
            seat.request = None
            self._verdict(seat, False, "entitlement is busy", self.queue.wait_ms())
            self._forget(seat)

    def _unpark(self, now: float) -> None:
        still = []
        for number in self._parked:
            seat = self._by_request.get(number)
            if seat is None:
                continue
            if seat.after <= self._durable:
                self._enqueue(now, number, seat)
            else:
                still.append(number)
        self._parked = still

    def _send(self, now: float, number: int) -> None:
        seat = self._by_request[number]
        seat.out, seat.sent_at = True, now
        self._trials[number] = self.policy.breaker.begin(now)
        if seat.op is Op.ASK:
            seat.held_until = max(seat.held_until, now + self.rules.call_ms + self.rules.ttl_most_ms)
        timeout = self.rules.call_ms
        if seat.answer_by is not None:  # the viewer's deadline is handed on
            timeout = min(timeout, max(seat.answer_by - now, 1.0))
        self._out.append(Send(number, seat.op, seat.kept, seat.key, timeout))

    def _drop_request(self, seat: Seat) -> None:
        if seat.request is not None and not seat.out:
            self.queue.drop(seat.request)
            self._by_request.pop(seat.request, None)
            seat.request = None

    def _forget(self, seat: Seat) -> None:
        self._cancel_timer(seat)
        if self.seats.get(seat.slot) is seat:
            del self.seats[seat.slot]
            if self.writable and seat.slot == seat.kept.session:  # a stray is not in the log
                self._append(records.gone(seat.kept.session))

    def _set(self, seat: Seat, due: float, what: str) -> None:
        self._cancel_timer(seat)
        seat.timer = self._wheel.set(due, (seat.slot, what))

    def _set_or_verdict(self, seat: Seat, due: float, what: str) -> None:
        """As `_set`, but a verdict that is due before goes first; what is to be done is planned anew then."""
        if seat.answer_by is not None and seat.answer_by <= due:
            due, what = seat.answer_by, "verdict"
        self._set(seat, due, what)

    def _set_verdict_timer(self, seat: Seat) -> None:
        if seat.answer_by is not None:
            self._set(seat, seat.answer_by, "verdict")

    def _cancel_timer(self, seat: Seat) -> None:
        if seat.timer is not None:
            self._wheel.cancel(seat.timer)
            seat.timer = None

    def _wall_until(self, seat: Seat) -> float:
        return self.wall_offset_s + seat.held_until / 1000.0


def _stray(session: str, generation: int) -> str:
    return f"\x00{session}.{generation}"
