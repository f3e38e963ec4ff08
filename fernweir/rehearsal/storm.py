"""A storm of leases on a virtual clock: several fronts' seat managers and logs against one desk.

Requests and answers are lost, late and repeated, fronts are killed and come back with the disk as synced,
the server slows down, goes away and forgets. Everything is drawn from one seed; the desk's own report and
an account of who plays decide. `broken` switches a part off, to see that it is caught.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from fernweir.entitlement.policy import RetryConfig
from fernweir.seats.log import LogConfig, SeatLog
from fernweir.seats.memory_file_store import MemoryFileStore
from fernweir.seats.messages import (
    AdmissionDecision,
    LeaseRenewed,
    LeaseResponse,
    Operation,
    ResponseStatus,
    RevokeSession,
    SeatRequest,
    SendLeaseRequest,
)
from fernweir.seats.records import encode_table, rebuild_table
from fernweir.seats.seat import SeatManagerConfig
from fernweir.seats.seat_manager import SeatManager
from fernweir.standin.leases import DeskAnswer, LeaseDesk

_SAID = {
    200: ResponseStatus.SUCCEEDED,
    403: ResponseStatus.DENIED,
    404: ResponseStatus.LEASE_UNKNOWN,
    409: ResponseStatus.NO_SEAT_FREE,
    410: ResponseStatus.LEASE_UNKNOWN,
    412: ResponseStatus.FENCED,
}


@dataclass(frozen=True, slots=True)
class StormPlan:
    """Times are milliseconds; `broken` is "", "ledger" or "key"."""

    seed: int = 1
    sessions: int = 100_000
    rate: float = 500.0
    fronts: int = 3
    lessons: int = 40
    seats: int = 120
    play_ms: tuple[float, float] = (3_000.0, 25_000.0)
    ttl_ms: float = 10_000.0
    lost_request: float = 0.03
    lost_answer: float = 0.03
    kill_every_ms: float = 15_000.0
    away: tuple[float, float] | None = None  # the server says nothing from, to
    slow: float = 1.0
    forget_at: float | None = None
    broken: str = ""


@dataclass(slots=True)
class StormResult:
    asked: int = 0
    granted: int = 0
    refused: int = 0
    unanswered: int = 0
    revoked: Counter[str] = field(default_factory=Counter)
    kills: int = 0
    repeats: int = 0
    renewed: int = 0
    most_over: int = 0
    most_by_session: int = 0
    most_playing_over: int = 0
    left_held: int = 0
    unanswered_wants: int = 0
    leads_ms: list[float] = field(default_factory=list)
    virtual_ms: float = 0.0

    @property
    def good(self) -> bool:
        """Seats kept, each session one, nothing left, every want answered."""
        over = (self.most_over, self.most_playing_over, self.left_held, self.unanswered_wants)
        return not any(over) and self.most_by_session <= 1


class _Front:
    """One front: a seat manager, its log, and the sessions that play there."""

    def __init__(self, storm: Storm, number: int) -> None:
        self.storm, self.name = storm, f"f{number}"
        self.number = number
        self.files = MemoryFileStore()
        self.lives = 0
        self.up = False
        self.playing: dict[str, SeatRequest] = {}
        self.owed: dict[str, SeatRequest] = {}
        self.start()

    def start(self) -> None:
        storm = self.storm
        self.lives += 1
        if storm.plan.broken == "ledger" and self.lives > 1:
            self.files = MemoryFileStore()
        self.log = SeatLog(self.files, LogConfig(segment_bytes=65_536, records_per_snapshot=2_000))
        found = self.log.open()
        table = rebuild_table(found.snapshot, found.records)
        self.table = table
        self.seat_manager = SeatManager(
            storm.now,
            self.append,
            lambda cls: False,
            config=SeatManagerConfig(
                call_timeout_ms=800.0,
                max_ttl_ms=storm.plan.ttl_ms,
                reclaim_after_ms=3_000.0,
                seed=storm.plan.seed * 100 + self.number * 10 + self.lives,
                retry=RetryConfig(initial_tokens=200.0),
                # Keys of a life that lost its log must not be those of the life before.
                last_generation=self.lives * 1_000_000,
            ),
        )
        self.seat_manager.recover_seats(storm.now, storm.now / 1000.0, table)
        self.up = True
        self.committing = False
        self.woken_at = float("inf")

    def append(self, body: bytes) -> int:
        if not self.committing:
            self.committing = True
            self.storm.later(4.0, self._commit, self.lives)
        return self.log.append(body)

    def _commit(self, life: int) -> None:
        if not self.up or life != self.lives:
            return
        self.committing = False
        number = self.log.commit()
        self.seat_manager.on_log_synced(number)
        if self.log.is_snapshot_due:
            self.log.write_snapshot(encode_table(self.seat_manager.records()))
        self.run()

    def run(self) -> None:
        storm = self.storm
        if not self.up:
            return
        for command in self.seat_manager.advance(storm.now):
            if isinstance(command, SendLeaseRequest):
                storm.send(self, command)
            elif isinstance(command, AdmissionDecision):
                self._verdict(command)
            elif isinstance(command, RevokeSession):
                storm.result.revoked[command.reason] += 1
                storm.stop(self, command.session_id)
            elif isinstance(command, LeaseRenewed):
                storm.result.renewed += 1
                if command.remaining_ms is not None:
                    storm.result.leads_ms.append(command.remaining_ms)
        due = self.seat_manager.next_deadline(storm.now)
        if due is not None and due < self.woken_at:
            self.woken_at = max(due, storm.now + 1.0)
            storm.at(self.woken_at, self._wake, self.lives, self.woken_at)

    def _wake(self, life: int, when: float) -> None:
        if life == self.lives and when == self.woken_at:
            self.woken_at = float("inf")
            self.run()

    def _verdict(self, verdict: AdmissionDecision) -> None:
        storm = self.storm
        want = self.owed.pop(verdict.session_id, None)
        if want is None:
            return
        if verdict.is_granted:
            storm.result.granted += 1
            storm.begin(self, want)
        elif verdict.is_granted is None:
            storm.result.unanswered += 1
        else:
            storm.result.refused += 1

    def kill(self) -> None:
        self.up = False
        self.storm.result.kills += 1
        self.files = self.files.crash(self.storm.dice)
        lost = [*self.playing.values(), *self.owed.values()]
        for session in list(self.playing):
            self.storm.stop(self, session)
        self.owed.clear()
        self.storm.later(1_000.0, self._back)
        for want in lost:  # most viewers come again, some to another front
            if self.storm.dice.random() < 0.8:
                self.storm.later(self.storm.dice.uniform(300.0, 2_500.0), self.storm.arrive, want)

    def _back(self) -> None:
        self.start()
        self.run()


class Storm:
    def __init__(self, plan: StormPlan) -> None:
        self.plan = plan
        self.dice = Random(f"storm {plan.seed}")
        self.now = 0.0
        self.result = StormResult()
        self.desk = LeaseDesk(ttl_ms=plan.ttl_ms, default=plan.seats)
        self._events: list[tuple[float, int, Callable[..., None], tuple[object, ...]]] = []
        self._number = 0
        self._playing: Counter[tuple[str, str, str]] = Counter()
        self._keys = 0
        self.fronts = [_Front(self, number) for number in range(plan.fronts)]

    def at(self, when: float, do: Callable[..., None], *args: object) -> None:
        self._number += 1
        heapq.heappush(self._events, (max(when, self.now), self._number, do, args))

    def later(self, after: float, do: Callable[..., None], *args: object) -> None:
        self.at(self.now + after, do, *args)

    def run(self) -> StormResult:
        plan, dice = self.plan, self.dice
        arrive = 0.0
        for number in range(plan.sessions):
            arrive += dice.expovariate(plan.rate) * 1000.0
            lesson = f"l{min(int(dice.paretovariate(0.8)), plan.lessons)}"
            worth = dice.choice((1.0, 3.0))
            want = SeatRequest(
                f"s{number}", f"t{number % 3}", lesson, "briefing" if worth > 1 else "training", "p", worth
            )
            self.at(arrive, self.arrive, want)
        end = arrive
        at = plan.kill_every_ms
        while plan.kill_every_ms and at < end:
            self.at(at, self._kill)
            at += dice.uniform(0.5, 1.5) * plan.kill_every_ms
        if plan.forget_at is not None:
            self.at(plan.forget_at, self.desk.forget)
        # All play out, and what was doubtful has had its time twice.
        settle = end + plan.play_ms[1] + 3.0 * plan.ttl_ms + 5_000.0
        while self._events and self._events[0][0] <= settle:
            self.now, _, do, args = heapq.heappop(self._events)
            do(*args)
        self._judge()
        return self.result

    def arrive(self, want: SeatRequest) -> None:
        front = self.dice.choice(self.fronts)
        if not front.up or want.session_id in front.playing or want.session_id in front.owed:
            return
        self.result.asked += 1
        front.owed[want.session_id] = want
        front.seat_manager.request_seat(self.now, want, self.now + 2_500.0)
        if self.dice.random() < 0.05:  # its set-up is repeated at once
            front.seat_manager.request_seat(self.now, want, self.now + 2_500.0)
        front.run()

    def begin(self, front: _Front, want: SeatRequest) -> None:
        front.playing[want.session_id] = want
        place = (want.tenant, want.title, want.class_name)
        self._playing[place] += 1
        over = self._playing[place] - self.plan.seats
        self.result.most_playing_over = max(self.result.most_playing_over, over)
        self.later(self.dice.uniform(*self.plan.play_ms), self._finish, front, front.lives, want.session_id)

    def stop(self, front: _Front, session: str) -> None:
        want = front.playing.pop(session, None)
        if want is not None:
            self._playing[want.tenant, want.title, want.class_name] -= 1

    def _finish(self, front: _Front, life: int, session: str) -> None:
        if front.up and front.lives == life and session in front.playing:
            self.stop(front, session)
            front.seat_manager.cancel_request(self.now, session)
            front.run()

    def _kill(self) -> None:
        front = self.dice.choice(self.fronts)
        if front.up:
            front.kill()

    # --- the network and the server ---

    def send(self, front: _Front, send: SendLeaseRequest) -> None:
        dice, plan = self.dice, self.plan
        life = front.lives
        if dice.random() < 0.005:
            self.later(
                1.0, self._answer, front, life, send.request_id, LeaseResponse(ResponseStatus.NOT_EXECUTED)
            )
            return
        over = self.now + send.timeout_ms
        self.at(over, self._answer, front, life, send.request_id, LeaseResponse(ResponseStatus.INDETERMINATE))
        if dice.random() < plan.lost_request:
            return
        slow = dice.random() < 0.02
        delay = dice.uniform(1.0, 10.0) * plan.slow * (150.0 if slow else 1.0)
        self.later(delay, self._serve, front, life, send, over)

    def _serve(self, front: _Front, life: int, send: SendLeaseRequest, over: float) -> None:
        plan = self.plan
        if plan.away is not None and plan.away[0] <= self.now < plan.away[1]:
            return
        seat = send.record
        key = f"{front.name}.{send.idempotency_key}"
        if plan.broken == "key" and send.operation is Operation.ACQUIRE:
            self._keys += 1
            key = f"{key}.{self._keys}"
        place = (seat.tenant, seat.title, seat.class_name)
        if send.operation is Operation.ACQUIRE:
            answer = self.desk.ask(
                self.now, key, front.name, seat.session_id, seat.subject, place, seat.requested_at_s
            )
        elif send.operation is Operation.RENEW:
            answer = self.desk.renew(self.now, seat.lease_id, seat.fence, seat.session_id)
        else:
            answer = self.desk.release(self.now, key)
        if self.dice.random() < plan.lost_answer:
            return
        back = self.now + self.dice.uniform(1.0, 10.0) * plan.slow
        if back < over:
            self.at(back, self._answer, front, life, send.request_id, _reply(answer))

    def _answer(self, front: _Front, life: int, number: int, reply: LeaseResponse) -> None:
        if front.up and front.lives == life:
            front.seat_manager.on_response(self.now, number, reply)
            front.run()

    def _judge(self) -> None:
        result = self.result
        self.desk.expire(self.now)
        result.virtual_ms = self.now
        result.left_held = len(self.desk.leases) + sum(len(front.seat_manager.seats) for front in self.fronts)
        result.most_over = self.desk.report.most_over
        result.most_by_session = self.desk.report.most_by_session
        result.repeats = sum(front.seat_manager.metrics.retries for front in self.fronts)
        result.unanswered_wants = sum(len(front.owed) for front in self.fronts)


def _reply(answer: DeskAnswer) -> LeaseResponse:
    return LeaseResponse(
        _SAID[answer.status], answer.lease, answer.fence, answer.ttl_ms, answer.retry_after_ms
    )
