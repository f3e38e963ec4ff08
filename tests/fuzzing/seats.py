"""The seat manager against an entitlement server and the log that it writes.

- Each want has one verdict, in its time; of one seat never two requests are out.
- No acquisition is sent before its record is durable, and the log adds up to the manager's seats.
- What the manager lets play, the server holds; what the server holds, the manager counts.
- After a kill, from any log that reaches as far as it was durable, all this holds again; but renewals are not
  written down, and a lease that was renewed before may be counted to its first end only.
- When nobody wants anything any more, nothing is left anywhere.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

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
from fernweir.seats.records import SeatTable, apply_record, rebuild_table
from fernweir.seats.seat import SeatManagerConfig, SeatState
from fernweir.seats.seat_manager import SeatManager
from tests.fuzzing import Finding, Tape, Target, same

TTL_MS = 10_000.0
TICK_MS = 10.0
SESSIONS = "abcde"
STRAY = 1_000_000  # generations of leases that the manager does not know


def _slot(send: SendLeaseRequest) -> tuple[str, int]:
    return send.record.session_id, send.record.generation if send.record.generation >= STRAY else 0


@dataclass(slots=True)
class Lease:
    key: str
    name: str
    fence: int
    until: float


class Server:
    """Seats by session; a key that comes again means the same lease."""

    def __init__(self, seats: int) -> None:
        self.seats, self.fence = seats, 0
        self.leases: dict[str, Lease] = {}

    def held(self, now: float) -> dict[str, Lease]:
        self.leases = {one: lease for one, lease in self.leases.items() if lease.until > now}
        return self.leases

    def answer(self, now: float, send: SendLeaseRequest) -> LeaseResponse:
        session, held = send.record.session_id, self.held(now)
        lease = held.get(session)
        if send.operation is Operation.RELEASE:
            if lease is not None and lease.key == send.idempotency_key:
                del held[session]
            return LeaseResponse(ResponseStatus.SUCCEEDED)
        if send.operation is Operation.RENEW:
            if lease is None or lease.name != send.record.lease_id:
                return LeaseResponse(ResponseStatus.LEASE_UNKNOWN)
            self.fence += 1
            lease.fence = self.fence
        elif lease is None or lease.key != send.idempotency_key:
            if lease is None and len(held) >= self.seats:
                return LeaseResponse(ResponseStatus.NO_SEAT_FREE, retry_after_ms=500.0)
            self.fence += 1
            lease = held[session] = Lease(send.idempotency_key, f"L{self.fence}", self.fence, now)
        assert lease is not None
        lease.until = now + TTL_MS
        return LeaseResponse(ResponseStatus.SUCCEEDED, lease.name, lease.fence, TTL_MS)


class Story:
    def __init__(self, tape: Tape) -> None:
        self.tape, self.now = tape, 1_000.0
        self.plays = tape.below(2) > 0
        self.server = Server(1 + tape.below(6))
        self.log: list[bytes] = []
        self.unsure: set[str] = set()  # keys of leases that were renewed, which no log says, before a kill
        self.durable = 0
        self.begin()

    def begin(self) -> None:
        rules = SeatManagerConfig(seed=1, max_ttl_ms=TTL_MS, call_timeout_ms=1_000.0, tick_ms=TICK_MS)
        self.manager = SeatManager(self.now, self.append, lambda cls: self.plays, rules)
        self.out: dict[int, tuple[SendLeaseRequest, float]] = {}
        self.owed: dict[str, float] = {}
        self.playing: set[str] = set()

    def append(self, body: bytes) -> int:
        self.log.append(body)
        return len(self.log)

    def table(self, upto: int) -> SeatTable:
        table: SeatTable = {}
        for body in self.log[:upto]:
            apply_record(table, body)
        return table

    def sync(self) -> None:
        self.durable = len(self.log)

    def run(self) -> None:
        self.manager.on_log_synced(self.durable)
        for one in self.manager.advance(self.now):
            if isinstance(one, SendLeaseRequest):
                session = one.record.session_id
                if any(_slot(other) == _slot(one) for other, _ in self.out.values()):
                    raise Finding(f"two requests of {session}")
                if one.operation is Operation.ACQUIRE:
                    kept = self.table(self.durable).get(session)
                    same(kept and kept.generation, one.record.generation, "an ask that is not written down")
                self.out[one.request_id] = (one, self.now + one.timeout_ms)
            elif isinstance(one, AdmissionDecision):
                if one.session_id not in self.owed:
                    raise Finding(f"a verdict nobody waits for: {one}")
                if self.now > self.owed.pop(one.session_id) + 2 * TICK_MS:
                    raise Finding(f"late: {one}")
                if one.is_granted is not False and (one.is_granted or self.plays):
                    self.playing.add(one.session_id)
            elif isinstance(one, RevokeSession):
                if one.session_id not in self.playing:
                    raise Finding(f"revoked, and did not play: {one}")
                self.playing.discard(one.session_id)
            elif isinstance(one, LeaseRenewed):
                same(one.usable_until_ms > self.now, True, one)

    def pass_(self, ms: float) -> None:
        """Time goes on by what is due; requests end in their time."""
        end = self.now + ms
        while True:
            self.run()
            for number in [number for number, (_, by) in self.out.items() if by <= self.now]:
                del self.out[number]
                self.manager.on_response(self.now, number, LeaseResponse(ResponseStatus.INDETERMINATE))
            self.run()
            dues = [by for _, by in self.out.values()]
            if (due := self.manager.next_deadline(self.now)) is not None:
                dues.append(due)
            if self.now >= end:
                break
            self.now = min([end, *(max(due, self.now + 1.0) for due in dues)])

    # --- events ---

    def play(self) -> None:
        tape = self.tape
        what, session = tape.below(16), tape.one(SESSIONS)
        if what <= 3:
            if session not in self.owed and session not in self.playing:
                by = self.now + tape.one((2_000.0, 50.0, 700.0))
                self.owed[session] = by
                self.manager.request_seat(self.now, SeatRequest(session, "t", "l", "c", "p", 1.0), by)
        elif what <= 5:
            self.run()
            self.owed.pop(session, None)
            self.playing.discard(session)
            self.manager.cancel_request(self.now, session)
        elif what <= 9 and self.out:
            self.answer(sorted(self.out)[tape.below(len(self.out))])
        elif what == 10:
            self.manager.renew_early(self.now, session)
        elif what == 11 and tape.below(3) == 0:
            self.kill()
        elif what == 12 and tape.below(2):
            self.manager.release_unknown_lease(self.now, session, STRAY + tape.below(3))
        if tape.below(4):
            self.sync()
        self.pass_(tape.one((0.0, 1.0, 200.0, 1_000.0, 4_000.0, 6_000.0, 11_000.0)))

    def answer(self, number: int) -> None:
        """It was carried out, or not; and the answer comes, or not."""
        send, _ = self.out.pop(number)
        how = self.tape.below(8)
        if how == 0:
            reply = LeaseResponse(ResponseStatus.NOT_EXECUTED)
        elif how == 1:
            reply = LeaseResponse(ResponseStatus.INDETERMINATE)
        else:
            reply = self.server.answer(self.now, send)
            if how == 2:
                reply = LeaseResponse(ResponseStatus.INDETERMINATE)
        if how == 3:  # the answer was a while on its way
            self.out[-number] = (send, self.now + 1e9)  # nothing else of this seat leaves meanwhile
            self.pass_(self.tape.one((50.0, 400.0)))
            del self.out[-number]
        self.manager.on_response(self.now, number, reply)

    def kill(self) -> None:
        """The log keeps what was durable, and perhaps more; what was out may have been carried out."""
        for send, _ in self.out.values():
            if self.tape.below(2):
                self.server.answer(self.now, send)
        del self.log[self.durable + self.tape.below(len(self.log) - self.durable + 1) :]
        self.durable = len(self.log)
        records = list(enumerate(self.log, 1))
        table = rebuild_table(None, records)
        same(table, self.table(len(self.log)), "folded at once, and one by one")
        for session, lease in self.server.held(self.now).items():
            if (
                session in table
                and table[session].lease_id
                and lease.until > table[session].expires_at_s * 1_000.0
            ):
                self.unsure.add(lease.key)
        self.now += 1.0 + self.tape.below(2) * 3_000.0
        self.begin()
        self.manager.recover_seats(self.now, self.now / 1_000.0, table)

    def agree(self) -> None:
        now = self.now
        held = self.server.held(now)
        for session in held:
            if session not in self.manager.seats and held[session].key not in self.unsure:
                raise Finding(f"{session} is held, and not counted")
        for session, by in self.owed.items():
            if now > by + 2 * TICK_MS:
                raise Finding(f"{session} had its verdict due at {by}: {self.manager.seats.get(session)}")
        table = self.table(len(self.log))
        mine = {one: (kept.generation, kept.lease_id) for one, kept in self.manager.records().items()}
        same(mine, {one: (kept.generation, kept.lease_id) for one, kept in table.items()}, "the log")
        for session, lease in held.items():
            seat = self.manager.seats.get(session)
            if seat is None or seat.state is not SeatState.ACTIVE or seat.record.lease_id != lease.name:
                continue
            if not seat.usable_until_ms <= lease.until <= seat.latest_expiry_ms:
                raise Finding(
                    f"{lease} is used until {seat.usable_until_ms}, counted until {seat.latest_expiry_ms}"
                )
        for session in sorted(self.playing):
            seat = self.manager.seats.get(session)
            if self.manager.has_valid_lease(now, session) and session not in held:
                raise Finding(f"{session} is used, and not held: {seat}")

    def finish(self) -> None:
        for session in SESSIONS:
            self.run()
            self.owed.pop(session, None)
            self.playing.discard(session)
            self.manager.cancel_request(self.now, session)
        for _ in range(120):
            self.sync()
            for number in sorted(self.out):
                if number in self.out:
                    send, _ = self.out.pop(number)
                    self.manager.on_response(self.now, number, self.server.answer(self.now, send))
            self.pass_(900.0)
        same(
            (self.manager.seats, self.table(len(self.log)), self.server.held(self.now)), ({}, {}, {}), "left"
        )
        same(
            (len(self.manager.send_queue), self.manager.timers.next_deadline(), self.owed),
            (0, None, {}),
            "left",
        )


def check(data: bytes) -> None:
    tape = Tape(data)
    story = Story(tape)
    while tape.more:
        story.play()
        story.agree()
    story.finish()


def draw(dice: Random) -> bytes:
    return dice.randbytes(dice.randrange(20, 200))


TARGET = Target(check, draw)
