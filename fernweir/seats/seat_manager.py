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

from fernweir.entitlement.policy import DecorrelatedJitter, RetryConfig, RetryPolicy
from fernweir.entitlement.queue import QueueConfig, RequestKind, SendQueue
from fernweir.seats import records
from fernweir.seats.records import SeatRecord, SeatTable
from fernweir.seats.timing_wheel import Timer, TimingWheel


class SeatState(Enum):
    ACQUIRING = "asking"  # the server may hold a seat for it
    ACTIVE = "held"
    RECOVERED = "recovered"  # from the log of an earlier life, nobody wants it yet
    RELEASING = "releasing"


class Operation(Enum):
    ACQUIRE = "ask"
    RENEW = "renew"
    RELEASE = "release"


class ResponseStatus(Enum):
    """What became of a request."""

    SUCCEEDED = "done"  # granted, renewed or released
    NO_SEAT_FREE = "full"  # no seat free
    DENIED = "denied"  # not entitled, or no longer: for good
    LEASE_UNKNOWN = "gone"  # the server knows no such lease
    FENCED = "fenced"  # the seat has gone to the same session at another front
    NOT_EXECUTED = "never"  # provably never ran
    INDETERMINATE = "doubtful"  # no answer, or an error: it may have run


@dataclass(frozen=True, slots=True)
class SeatRequest:
    session_id: str
    tenant: str
    title: str
    class_name: str
    subject: str
    priority_weight: float


@dataclass(frozen=True, slots=True)
class LeaseResponse:
    status: ResponseStatus
    lease_id: str = ""
    fence: int = 0
    ttl_ms: float = 0.0
    retry_after_ms: float = 0.0
    token: str = ""


# --- what the shell must do ---


@dataclass(frozen=True, slots=True)
class SendLeaseRequest:
    """Send a request now; its one end goes to `replied` with the same number."""

    request_id: int
    operation: Operation
    record: SeatRecord
    idempotency_key: str
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class AdmissionDecision:
    """Whether a session that asked may play. `granted` of None: the server said nothing in time."""

    session_id: str
    is_granted: bool | None
    reason: str = ""
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class RevokeSession:
    """A session that plays must end, at a segment's end, for this reason."""

    session_id: str
    reason: str


@dataclass(frozen=True, slots=True)
class LeaseRenewed:
    """A lease is good for longer; `token` is the viewer's new one, if the server gave one."""

    session_id: str
    usable_until_ms: float
    token: str
    remaining_ms: float | None = None  # what was left of the lease, if it was of this life


SeatCommand = SendLeaseRequest | AdmissionDecision | RevokeSession | LeaseRenewed


@dataclass(frozen=True, slots=True)
class SeatManagerConfig:
    """Times in ms. `ttl_most` bounds what a server can have granted that it never told us of.

    Renewals begin when between `lead_from` and `lead_to` of a lease's time is left, drawn for each.
    """

    call_timeout_ms: float = 1_000.0
    max_ttl_ms: float = 60_000.0
    min_renewal_lead_ratio: float = 0.5
    max_renewal_lead_ratio: float = 0.7
    grace_ms: float = 1_500.0
    reclaim_after_ms: float = 10_000.0
    tick_ms: float = 10.0


@dataclass(slots=True)
class SeatMetrics:
    requested: int = 0
    granted: int = 0
    no_seat_free: int = 0
    denied: int = 0
    unanswered: int = 0
    renewed: int = 0
    revoked: int = 0
    expired: int = 0
    released: int = 0
    assumed_released: int = 0
    retries: int = 0
    unknown_leases: int = 0
    shortest_remaining_ms: float = float("inf")


@dataclass(slots=True, eq=False)
class Seat:
    record: SeatRecord
    state: SeatState
    is_wanted: bool = False
    decision_deadline_ms: float | None = None  # a verdict is owed until then
    usable_until_ms: float = 0.0
    latest_expiry_ms: float = 0.0
    ttl_ms: float = 0.0
    request_id: int | None = None  # in line, parked or out
    operation: Operation = Operation.ACQUIRE
    is_in_flight: bool = False
    sent_at_ms: float = 0.0
    log_sequence: int = 0  # the log record that must be durable first
    timer: Timer[tuple[str, str]] | None = None
    backoff: DecorrelatedJitter | None = None
    is_overdue: bool = False
    table_key: str = (
        ""  # where the book keeps it: its session, or for a stray lease a name that no session has
    )

    def __post_init__(self) -> None:
        self.table_key = self.table_key or self.record.session_id

    @property
    def idempotency_key(self) -> str:
        return f"{self.record.session_id}.{self.record.generation}"


class SeatManager:
    """`append` writes a record to the log and gives its number; `plays_unanswered` says of each class
    whether its sessions play when the server says nothing."""

    def __init__(
        self,
        now: float,
        seed: int,
        append: Callable[[bytes], int],
        plays_unanswered: Callable[[str], bool],
        *,
        config: SeatManagerConfig | None = None,
        retry_config: RetryConfig | None = None,
        queue_config: QueueConfig | None = None,
        generation: int = 0,
    ) -> None:
        self.config = config or SeatManagerConfig()
        self.metrics = SeatMetrics()
        self.seats: dict[str, Seat] = {}
        self.send_queue = SendQueue(queue_config)
        self.retry_policy = RetryPolicy(retry_config or RetryConfig(), Random(f"retry {seed}"))
        self.is_log_writable = True
        self.wall_clock_offset_s = 0.0  # wall clock less monotonic clock
        self._dice = Random(f"book {seed}")
        self._append, self._plays = append, plays_unanswered
        self._wheel: TimingWheel[tuple[str, str]] = TimingWheel(now, self.config.tick_ms)
        self._by_request: dict[int, Seat] = {}
        self._trials: dict[int, int] = {}
        self._parked: list[int] = []
        self._durable = 0
        self._numbers = 0
        self._generation = generation
        self._out: list[SeatCommand] = []

    # --- what the shell tells ---

    def recover_seats(self, now: float, wall_s: float, table: SeatTable) -> None:
        """Seats of an earlier life: each may be held until its time, at most for one whole lease.

        The wall clock may have stepped in between: it is believed only within what a lease can last.
        """
        for kept in table.values():
            seat = Seat(kept, SeatState.RECOVERED)
            left = (kept.expires_at_s - wall_s) * 1000.0 if kept.lease_id else self.config.max_ttl_ms
            seat.latest_expiry_ms = now + min(max(left, 0.0), self.config.max_ttl_ms)
            if kept.lease_id and left <= 0.0:  # or the clock was put forward: only the server knows
                seat.latest_expiry_ms = now + self.config.max_ttl_ms
            self.seats[kept.session_id] = seat
            self._generation = max(self._generation, kept.generation)
            self._set(seat, now + self.config.reclaim_after_ms * self._dice.uniform(0.5, 1.0), "reclaim")

    def request_seat(self, now: float, want: SeatRequest, answer_by: float) -> None:
        """A session asks to play; its verdict comes by `answer_by`."""
        seat = self.seats.get(want.session_id)
        if seat is None:
            self._ask_first(now, want, answer_by)
            return
        seat.is_wanted = True
        if seat.state is SeatState.ACTIVE and now < seat.usable_until_ms:
            self._out.append(AdmissionDecision(want.session_id, True))
            return
        seat.decision_deadline_ms = max(answer_by, seat.decision_deadline_ms or 0.0)
        if seat.state is SeatState.RECOVERED and not seat.is_in_flight:
            self._cancel_timer(seat)
            # Under its old key, or its lease: the server says whether it is still ours.
            self._request(now, seat, Operation.RENEW if seat.record.lease_id else Operation.ACQUIRE)
        elif seat.state is SeatState.RELEASING and not seat.is_in_flight and now < seat.usable_until_ms:
            self._drop_request(seat)
            seat.state, seat.decision_deadline_ms = SeatState.ACTIVE, None
            self._plan_renewal(now, seat)
            self._out.append(AdmissionDecision(want.session_id, True))
        elif seat.state is SeatState.RELEASING and seat.request_id is None:
            self._request(now, seat, Operation.RELEASE)  # its end is waited for, not its next try
        self._set_verdict_timer(seat)

    def cancel_request(self, now: float, session: str) -> None:
        """The session ended, or its viewer left before the verdict."""
        seat = self.seats.get(session)
        if seat is None or not seat.is_wanted:
            return
        seat.is_wanted, seat.decision_deadline_ms = False, None
        if seat.state is SeatState.ACTIVE or (seat.state is SeatState.ACQUIRING and not seat.is_in_flight):
            self._release(now, seat)

    def on_response(self, now: float, number: int, reply: LeaseResponse) -> None:
        """The one end of a request that was sent."""
        seat = self._by_request.pop(number, None)
        if seat is None or seat.request_id != number:
            return
        good = reply.status not in (ResponseStatus.INDETERMINATE, ResponseStatus.NOT_EXECUTED)
        self.retry_policy.breaker.end_call(now, self._trials.pop(number, 0), good)
        self.send_queue.on_request_done(now - seat.sent_at_ms)
        seat.request_id, seat.is_in_flight = None, False
        if seat.operation is Operation.ACQUIRE:
            self._asked(now, seat, reply)
        elif seat.operation is Operation.RENEW:
            self._renewed(now, seat, reply)
        else:
            self._released(now, seat, reply)

    def on_log_synced(self, now: float, number: int) -> None:
        """All records up to this number are synced: what waited for them may leave."""
        self._durable = max(self._durable, number)

    def on_log_failed(self, now: float) -> None:
        """The log can't be written: nothing new is asked for, what is held goes on."""
        self.is_log_writable = False
        for number in list(self._parked):
            seat = self._by_request.pop(number, None)
            if seat is not None:
                seat.request_id = None
                self._verdict(seat, False, "seats can't be written down", 1_000.0)
                self.seats.pop(seat.record.session_id, None)
                self._cancel_timer(seat)
        self._parked.clear()

    def advance(self, now: float) -> list[SeatCommand]:
        """Fires what is due and returns what must be done now."""
        for slot, what in self._wheel.advance(now):
            seat = self.seats.get(slot)
            if seat is not None:
                self._fire(now, seat, what)
        self._unpark(now)
        while (
            self.retry_policy.breaker.may_call(now) and (number := self.send_queue.start_next()) is not None
        ):
            self._send(now, number)
        out, self._out = self._out, []
        return out

    def next_deadline(self, now: float) -> float | None:
        due = self._wheel.next_deadline()
        if len(self.send_queue) and (wait := self.retry_policy.breaker.remaining_open_ms(now)) > 0.0:
            due = min(due or now + wait, now + wait)
        return due

    # --- what the shell asks ---

    def count_seats(self, lesson: str, cls: str) -> int:
        """Seats that the server may count for us now."""
        return sum(
            1 for seat in self.seats.values() if (seat.record.title, seat.record.class_name) == (lesson, cls)
        )

    def records(self) -> SeatTable:
        """What a snapshot of the log keeps."""
        return {
            seat.record.session_id: seat.record
            for slot, seat in self.seats.items()
            if slot == seat.record.session_id
        }

    def has_valid_lease(self, now: float, session: str) -> bool:
        """Whether a session's lease is good now, whatever its first token says."""
        seat = self.seats.get(session)
        return (
            seat is not None
            and seat.is_wanted
            and seat.state is SeatState.ACTIVE
            and now < seat.usable_until_ms
        )

    def is_releasing_unknown_lease(self, session: str, generation: int) -> bool:
        return _stray(session, generation) in self.seats

    # --- what a report of the server leads to, see `reconcile` ---

    def renew_early(self, now: float, session: str) -> None:
        """Brings a held seat's renewal forward: whether it stands, its answer decides."""
        seat = self.seats.get(session)
        if (
            seat is not None
            and seat.state is SeatState.ACTIVE
            and seat.request_id is None
            and now < seat.usable_until_ms
        ):
            self._fire_renewal(now, seat)

    def release_unknown_lease(self, now: float, session: str, generation: int) -> None:
        """Releases a lease that the book knows nothing of, by the key it was asked under."""
        slot = _stray(session, generation)
        if slot in self.seats:
            return
        kept = SeatRecord(session, generation, "", "", "", "", 0.0)
        seat = self.seats[slot] = Seat(kept, SeatState.RELEASING, table_key=slot)
        seat.latest_expiry_ms = now + self.config.max_ttl_ms
        self.metrics.unknown_leases += 1
        self._request(now, seat, Operation.RELEASE)
        self._set(seat, seat.latest_expiry_ms + self.config.tick_ms, "forget")

    # --- asking ---

    def _ask_first(self, now: float, want: SeatRequest, answer_by: float) -> None:
        self.metrics.requested += 1
        wait = max(self.send_queue.estimated_wait_ms(), self.retry_policy.breaker.remaining_open_ms(now))
        if not self.is_log_writable:
            self._out.append(
                AdmissionDecision(want.session_id, False, "seats can't be written down", 1_000.0)
            )
            return
        if now + wait >= answer_by and not self._plays(want.class_name):
            self._out.append(AdmissionDecision(want.session_id, False, "entitlement is busy", wait))
            return
        self._generation += 1
        kept = SeatRecord(
            want.session_id,
            self._generation,
            want.tenant,
            want.title,
            want.class_name,
            want.subject,
            want.priority_weight,
            requested_at_s=self.wall_clock_offset_s + now / 1000.0,
        )
        seat = self.seats[want.session_id] = Seat(
            kept, SeatState.ACQUIRING, is_wanted=True, decision_deadline_ms=answer_by
        )
        seat.log_sequence = self._append(records.encode_requested(kept))
        self.retry_policy.on_first_attempt(now, want.tenant)
        self._request(now, seat, Operation.ACQUIRE)
        self._set_verdict_timer(seat)

    def _asked(self, now: float, seat: Seat, reply: LeaseResponse) -> None:
        if reply.status is ResponseStatus.SUCCEEDED:
            self._grant(now, seat, reply)
            if not seat.is_wanted:
                self._release(now, seat)
            return
        if reply.status in (
            ResponseStatus.NO_SEAT_FREE,
            ResponseStatus.DENIED,
            ResponseStatus.LEASE_UNKNOWN,
            ResponseStatus.FENCED,
        ):
            full = reply.status is ResponseStatus.NO_SEAT_FREE
            self.metrics.no_seat_free += full
            self.metrics.denied += not full
            why = "no seat is free" if full else "not entitled to this lesson"
            if reply.status is ResponseStatus.FENCED:
                why = "the session goes on elsewhere"
            if seat.decision_deadline_ms is not None:
                self._verdict(seat, False, why, reply.retry_after_ms)
            elif seat.is_wanted:
                self._revoke(seat, why)
            self._forget(seat)
            return
        if reply.status is ResponseStatus.INDETERMINATE:
            seat.latest_expiry_ms = now + self.config.max_ttl_ms
        if not seat.is_wanted:
            if reply.status is ResponseStatus.NOT_EXECUTED and seat.latest_expiry_ms <= now:
                self._forget(seat)
            else:
                self._release(now, seat)
            return
        until = (
            seat.decision_deadline_ms
            if seat.decision_deadline_ms is not None
            else now + self.config.max_ttl_ms
        )
        self._again(now, seat, until)

    def _grant(self, now: float, seat: Seat, reply: LeaseResponse) -> None:
        self.metrics.granted += 1
        seat.state, seat.is_overdue, seat.backoff = SeatState.ACTIVE, False, None
        self._extend(now, seat, reply)
        self._append(
            records.encode_granted(
                seat.record.session_id, reply.lease_id, reply.fence, self._wall_until(seat)
            )
        )
        if seat.decision_deadline_ms is not None:
            self._verdict(seat, True)
        if reply.token and seat.is_wanted:
            self._out.append(LeaseRenewed(seat.record.session_id, seat.usable_until_ms, reply.token))
        self._plan_renewal(now, seat)

    def _extend(self, now: float, seat: Seat, reply: LeaseResponse) -> None:
        kept = seat.record
        seat.record = SeatRecord(
            kept.session_id,
            kept.generation,
            kept.tenant,
            kept.title,
            kept.class_name,
            kept.subject,
            kept.priority_weight,
            reply.lease_id or kept.lease_id,
            reply.fence,
            kept.expires_at_s,
            kept.requested_at_s,
        )
        seat.ttl_ms = min(reply.ttl_ms, self.config.max_ttl_ms)
        seat.usable_until_ms = seat.sent_at_ms + seat.ttl_ms
        seat.latest_expiry_ms = now + seat.ttl_ms

    # --- renewing ---

    def _plan_renewal(self, now: float, seat: Seat) -> None:
        left = seat.ttl_ms * self._dice.uniform(
            self.config.min_renewal_lead_ratio, self.config.max_renewal_lead_ratio
        )
        self._set(seat, max(seat.usable_until_ms - left, now), "renew")

    def _renewed(self, now: float, seat: Seat, reply: LeaseResponse) -> None:
        fresh = reply.status is ResponseStatus.SUCCEEDED and reply.fence > seat.record.fence
        if fresh:
            self.metrics.renewed += 1
            lead = None
            if seat.state is not SeatState.RECOVERED:
                lead = seat.usable_until_ms - now
                self.metrics.shortest_remaining_ms = min(self.metrics.shortest_remaining_ms, lead)
            seat.is_overdue, seat.backoff = False, None
            seat.state = SeatState.ACTIVE
            self._extend(now, seat, reply)
            if seat.decision_deadline_ms is not None:
                self._verdict(seat, True)
            if not seat.is_wanted:
                self._release(now, seat)
                return
            self._out.append(LeaseRenewed(seat.record.session_id, seat.usable_until_ms, reply.token, lead))
            self._plan_renewal(now, seat)
        elif reply.status is ResponseStatus.DENIED:
            self._ended_for_good(seat, "entitlement has ended")
        elif reply.status is ResponseStatus.FENCED and seat.state is SeatState.ACTIVE:
            self._ended_for_good(seat, "the session goes on elsewhere")
        elif reply.status in (
            ResponseStatus.LEASE_UNKNOWN,
            ResponseStatus.SUCCEEDED,
            ResponseStatus.NO_SEAT_FREE,
            ResponseStatus.FENCED,
        ):
            # It forgot us, or speaks of an older time: the seat is asked for anew, under a new key.
            if seat.is_wanted:
                self._ask_anew(now, seat)
            else:
                self._forget(seat)
        else:
            if reply.status is ResponseStatus.INDETERMINATE:
                # Of an earlier life's lease it is not known how long a renewal makes it.
                seat.latest_expiry_ms = max(
                    seat.latest_expiry_ms, now + (seat.ttl_ms or self.config.max_ttl_ms)
                )
            if not seat.is_wanted:
                self._release(now, seat)
                return
            plays_on = seat.is_overdue or self._plays(seat.record.class_name)
            last = now + self.config.grace_ms if plays_on else seat.usable_until_ms
            self._again(now, seat, seat.decision_deadline_ms or max(last, seat.usable_until_ms))

    def _ask_anew(self, now: float, seat: Seat) -> None:
        self._generation += 1
        kept = seat.record
        seat.record = SeatRecord(
            kept.session_id,
            self._generation,
            kept.tenant,
            kept.title,
            kept.class_name,
            kept.subject,
            kept.priority_weight,
            requested_at_s=self.wall_clock_offset_s + now / 1000.0,
        )
        seat.log_sequence = self._append(records.encode_requested(seat.record))
        seat.state = SeatState.ACQUIRING
        self._request(now, seat, Operation.ACQUIRE)

    def _lapse(self, now: float, seat: Seat) -> None:
        """Its time is over unanswered. A front that stood still until long after asks first.

        Only that: the seat of any other may be another's from this moment on.
        """
        if not seat.is_wanted:  # it left while a renewal was out, whose end releases it
            if not seat.is_in_flight:
                self._release(now, seat)
            return
        if not seat.is_overdue and now >= seat.usable_until_ms + self.config.grace_ms:
            seat.is_overdue = True
            if seat.request_id is None:
                self._request(now, seat, Operation.RENEW)
            self._set(seat, now + self.config.grace_ms, "lapse")
            return
        if self._plays(seat.record.class_name):
            self._set(seat, now + self.config.grace_ms, "lapse")
            if seat.request_id is None:
                self._request(now, seat, Operation.RENEW)
            return
        self.metrics.expired += 1
        if seat.decision_deadline_ms is not None:  # it was revoked before, and somebody asks for it again
            self.metrics.unanswered += 1
            self._verdict(seat, None, "entitlement did not answer")
            seat.is_wanted = False
        else:
            self._revoke(seat, "entitlement could not be renewed")
        if not seat.is_in_flight:
            self._release(now, seat)

    # --- releasing ---

    def _release(self, now: float, seat: Seat) -> None:
        if seat.is_in_flight:
            return  # its end comes first: two requests of one seat are never out together
        self._drop_request(seat)
        if seat.state is SeatState.ACQUIRING and seat.latest_expiry_ms <= now and not seat.sent_at_ms:
            self._forget(seat)  # the ask never left
            return
        seat.state, seat.backoff = SeatState.RELEASING, None
        seat.latest_expiry_ms = max(seat.latest_expiry_ms, now)
        self._request(now, seat, Operation.RELEASE)
        self._set(seat, seat.latest_expiry_ms + self.config.tick_ms, "forget")

    def _released(self, now: float, seat: Seat, reply: LeaseResponse) -> None:
        if reply.status not in (ResponseStatus.INDETERMINATE, ResponseStatus.NOT_EXECUTED):
            self.metrics.released += 1
            self._over(now, seat)
            return
        self._again(now, seat, seat.latest_expiry_ms)

    def _over(self, now: float, seat: Seat) -> None:
        """The server holds it no more: gone, or asked for anew if somebody came to want it meanwhile."""
        if seat.decision_deadline_ms is not None and now >= seat.decision_deadline_ms:
            self.metrics.unanswered += 1
            self._verdict(seat, None, "entitlement did not answer")
            seat.is_wanted = self._plays(seat.record.class_name)
        if seat.is_wanted:
            self._ask_anew(now, seat)
            self._set_verdict_timer(seat)
        else:
            self._forget(seat)

    # --- pieces ---

    def _again(self, now: float, seat: Seat, until: float) -> None:
        """The same request once more, within the budget; what it can't have now is tried at the timers."""
        if seat.backoff is None:
            seat.backoff = self.retry_policy.new_jitter()
        at = self.retry_policy.schedule_retry(now, seat.record.tenant, seat.backoff, until)
        if at is not None:
            self.metrics.retries += 1
            if seat.operation is Operation.RELEASE:
                what = "again" if at < seat.latest_expiry_ms else "forget"
                self._set_or_verdict(seat, min(at, seat.latest_expiry_ms), what)
            else:
                self._set(seat, at, "again")
        elif seat.operation is Operation.RELEASE:
            self._set_or_verdict(seat, seat.latest_expiry_ms, "forget")
        elif seat.state is SeatState.ACTIVE:
            # Out of budget: once more before it lapses, when others' first tries have earned some.
            later = now + (seat.usable_until_ms - now) / 2.0
            near = seat.usable_until_ms - now < self.config.call_timeout_ms / 4.0
            self._set(seat, seat.usable_until_ms if near else later, "lapse" if near else "renew")
        elif seat.decision_deadline_ms is not None:
            self._set(seat, seat.decision_deadline_ms, "verdict")
        else:
            self._set(seat, now + self.config.call_timeout_ms, "again")

    def _fire(self, now: float, seat: Seat, what: str) -> None:
        seat.timer = None
        if what == "forget":
            if seat.is_in_flight:
                self._set_or_verdict(seat, now + self.config.call_timeout_ms, "forget")
            else:
                self.metrics.assumed_released += 1
                self._drop_request(seat)
                self._over(now, seat)
        elif what == "verdict":
            self._no_answer(now, seat)
        elif what == "lapse":
            if seat.state is SeatState.ACTIVE and now >= seat.usable_until_ms:
                self._lapse(now, seat)
        elif what == "reclaim":
            self._release(now, seat)
        elif what == "renew" and seat.state is SeatState.ACTIVE:
            if now >= seat.usable_until_ms:
                self._lapse(now, seat)
                return
            if seat.request_id is None:
                self._fire_renewal(now, seat)
            else:
                self._set(seat, seat.usable_until_ms, "lapse")
        elif what == "again" and seat.request_id is None:
            self._request(now, seat, seat.operation)
            if seat.operation is Operation.RELEASE:
                self._set_or_verdict(seat, seat.latest_expiry_ms + self.config.tick_ms, "forget")
            elif seat.state is SeatState.ACTIVE:
                self._set_or_verdict(seat, max(seat.usable_until_ms, now), "lapse")
            else:
                self._set_verdict_timer(seat)

    def _fire_renewal(self, now: float, seat: Seat) -> None:
        self.retry_policy.on_first_attempt(now, seat.record.tenant)
        self._request(now, seat, Operation.RENEW)
        self._set(seat, seat.usable_until_ms, "lapse")

    def _no_answer(self, now: float, seat: Seat) -> None:
        """The verdict is due and the server has said nothing: the class says what then."""
        if seat.decision_deadline_ms is None:
            if not seat.is_wanted and seat.request_id is None:
                self._release(now, seat)  # who waited has left, and this timer took the place of the next try
            return
        self.metrics.unanswered += 1
        plays = self._plays(seat.record.class_name)
        self._verdict(seat, None, "entitlement did not answer")
        if not plays:
            seat.is_wanted = False
            self._release(now, seat)
        elif seat.request_id is None:
            self._request(now, seat, seat.operation)

    def _ended_for_good(self, seat: Seat, why: str) -> None:
        self.metrics.denied += 1
        if seat.decision_deadline_ms is not None:
            self._verdict(seat, False, why)
        elif seat.is_wanted:
            self._revoke(seat, why)
        self._forget(seat)

    def _verdict(self, seat: Seat, granted: bool | None, why: str = "", retry_after_ms: float = 0.0) -> None:
        if seat.decision_deadline_ms is not None:
            seat.decision_deadline_ms = None
            self._out.append(AdmissionDecision(seat.record.session_id, granted, why, retry_after_ms))

    def _revoke(self, seat: Seat, why: str) -> None:
        self.metrics.revoked += 1
        seat.is_wanted = False
        self._out.append(RevokeSession(seat.record.session_id, why))

    def _request(self, now: float, seat: Seat, op: Operation) -> None:
        self._numbers += 1
        self._drop_request(seat)
        seat.request_id, seat.operation = self._numbers, op
        self._by_request[self._numbers] = seat
        if op is Operation.ACQUIRE and seat.log_sequence > self._durable:
            self._parked.append(self._numbers)
        else:
            self._enqueue(now, self._numbers, seat)

    def _enqueue(self, now: float, number: int, seat: Seat) -> None:
        turn = {
            Operation.ACQUIRE: RequestKind.ACQUIRE,
            Operation.RENEW: RequestKind.RENEW,
            Operation.RELEASE: RequestKind.RELEASE,
        }[seat.operation]
        if not self.send_queue.add(now, number, turn, seat.record.priority_weight, seat.usable_until_ms):
            self._by_request.pop(number, None)
            seat.request_id = None
            self._verdict(seat, False, "entitlement is busy", self.send_queue.estimated_wait_ms())
            self._forget(seat)

    def _unpark(self, now: float) -> None:
        still = []
        for number in self._parked:
            seat = self._by_request.get(number)
            if seat is None:
                continue
            if seat.log_sequence <= self._durable:
                self._enqueue(now, number, seat)
            else:
                still.append(number)
        self._parked = still

    def _send(self, now: float, number: int) -> None:
        seat = self._by_request[number]
        seat.is_in_flight, seat.sent_at_ms = True, now
        self._trials[number] = self.retry_policy.breaker.begin_call(now)
        if seat.operation is Operation.ACQUIRE:
            seat.latest_expiry_ms = max(
                seat.latest_expiry_ms, now + self.config.call_timeout_ms + self.config.max_ttl_ms
            )
        timeout = self.config.call_timeout_ms
        if seat.decision_deadline_ms is not None:  # the viewer's deadline is handed on
            timeout = min(timeout, max(seat.decision_deadline_ms - now, 1.0))
        self._out.append(SendLeaseRequest(number, seat.operation, seat.record, seat.idempotency_key, timeout))

    def _drop_request(self, seat: Seat) -> None:
        if seat.request_id is not None and not seat.is_in_flight:
            self.send_queue.remove(seat.request_id)
            self._by_request.pop(seat.request_id, None)
            seat.request_id = None

    def _forget(self, seat: Seat) -> None:
        self._cancel_timer(seat)
        if self.seats.get(seat.table_key) is seat:
            del self.seats[seat.table_key]
            if self.is_log_writable and seat.table_key == seat.record.session_id:  # a stray is not in the log
                self._append(records.encode_removed(seat.record.session_id))

    def _set(self, seat: Seat, due: float, what: str) -> None:
        self._cancel_timer(seat)
        seat.timer = self._wheel.schedule(due, (seat.table_key, what))

    def _set_or_verdict(self, seat: Seat, due: float, what: str) -> None:
        """As `_set`, but a verdict that is due before goes first; what is to be done is planned anew then."""
        if seat.decision_deadline_ms is not None and seat.decision_deadline_ms <= due:
            due, what = seat.decision_deadline_ms, "verdict"
        self._set(seat, due, what)

    def _set_verdict_timer(self, seat: Seat) -> None:
        if seat.decision_deadline_ms is not None:
            self._set(seat, seat.decision_deadline_ms, "verdict")

    def _cancel_timer(self, seat: Seat) -> None:
        if seat.timer is not None:
            self._wheel.cancel(seat.timer)
            seat.timer = None

    def _wall_until(self, seat: Seat) -> float:
        return self.wall_clock_offset_s + seat.latest_expiry_ms / 1000.0


def _stray(session: str, generation: int) -> str:
    return f"\x00{session}.{generation}"
