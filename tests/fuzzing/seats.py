"""The book of seats against the entitlement server that it asks, and the log that it writes.

- Each want has one verdict, in its time; of one seat never two requests are out.
- No ask leaves before its record is durable, and the log folds to what the book has.
- What the book lets play, the server holds; what the server holds, the book counts.
- After a kill, from any log that reaches as far as it was durable, all this holds again; but renewals are not
  written down, and a lease that was renewed before may be counted to its first end only.
- When nobody wants anything any more, nothing is left anywhere.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from fernweir.seats.book import Book, BookRules, Op, Renewed, Reply, Revoke, Said, Send, State, Verdict, Want
from fernweir.seats.records import Table, fold, fold_all
from tests.fuzzing import Finding, Tape, Target, same

TTL_MS = 10_000.0
TICK_MS = 10.0
SESSIONS = "abcde"
STRAY = 1_000_000  # generations of leases that the book knows nothing of


def _slot(send: Send) -> tuple[str, int]:
    return send.seat.session, send.seat.generation if send.seat.generation >= STRAY else 0


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

    def answer(self, now: float, send: Send) -> Reply:
        session, held = send.seat.session, self.held(now)
        lease = held.get(session)
        if send.op is Op.RELEASE:
            if lease is not None and lease.key == send.key:
                del held[session]
            return Reply(Said.DONE)
        if send.op is Op.RENEW:
            if lease is None or lease.name != send.seat.lease:
                return Reply(Said.GONE)
            self.fence += 1
            lease.fence = self.fence
        elif lease is None or lease.key != send.key:
            if lease is None and len(held) >= self.seats:
                return Reply(Said.FULL, retry_after_ms=500.0)
            self.fence += 1
            lease = held[session] = Lease(send.key, f"L{self.fence}", self.fence, now)
        assert lease is not None
        lease.until = now + TTL_MS
        return Reply(Said.DONE, lease.name, lease.fence, TTL_MS)


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
        rules = BookRules(ttl_most_ms=TTL_MS, call_ms=1_000.0, tick_ms=TICK_MS)
        self.book = Book(self.now, 1, self.append, lambda cls: self.plays, rules=rules)
        self.out: dict[int, tuple[Send, float]] = {}
        self.owed: dict[str, float] = {}
        self.playing: set[str] = set()

    def append(self, body: bytes) -> int:
        self.log.append(body)
        return len(self.log)

    def table(self, upto: int) -> Table:
        table: Table = {}
        for body in self.log[:upto]:
            fold(table, body)
        return table

    def sync(self) -> None:
        self.durable = len(self.log)

    def run(self) -> None:
        self.book.durable(self.now, self.durable)
        for one in self.book.take(self.now):
            if isinstance(one, Send):
                session = one.seat.session
                if any(_slot(other) == _slot(one) for other, _ in self.out.values()):
                    raise Finding(f"two requests of {session}")
                if one.op is Op.ASK:
                    kept = self.table(self.durable).get(session)
                    same(kept and kept.generation, one.seat.generation, "an ask that is not written down")
                self.out[one.number] = (one, self.now + one.timeout_ms)
            elif isinstance(one, Verdict):
                if one.session not in self.owed:
                    raise Finding(f"a verdict nobody waits for: {one}")
                if self.now > self.owed.pop(one.session) + 2 * TICK_MS:
                    raise Finding(f"late: {one}")
                if one.granted is not False and (one.granted or self.plays):
                    self.playing.add(one.session)
            elif isinstance(one, Revoke):
                if one.session not in self.playing:
                    raise Finding(f"revoked, and did not play: {one}")
                self.playing.discard(one.session)
            elif isinstance(one, Renewed):
                same(one.use_until > self.now, True, one)

    def pass_(self, ms: float) -> None:
        """Time goes on by what is due; requests end in their time."""
        end = self.now + ms
        while True:
            self.run()
            for number in [number for number, (_, by) in self.out.items() if by <= self.now]:
                del self.out[number]
                self.book.replied(self.now, number, Reply(Said.DOUBTFUL))
            self.run()
            dues = [by for _, by in self.out.values()]
            if (due := self.book.next_due(self.now)) is not None:
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
                self.book.want(self.now, Want(session, "t", "l", "c", "p", 1.0), by)
        elif what <= 5:
            self.run()
            self.owed.pop(session, None)
            self.playing.discard(session)
            self.book.unwant(self.now, session)
        elif what <= 9 and self.out:
            self.answer(sorted(self.out)[tape.below(len(self.out))])
        elif what == 10:
            self.book.renew_now(self.now, session)
        elif what == 11 and tape.below(3) == 0:
            self.kill()
        elif what == 12 and tape.below(2):
            self.book.give_back(self.now, session, STRAY + tape.below(3))
        if tape.below(4):
            self.sync()
        self.pass_(tape.one((0.0, 1.0, 200.0, 1_000.0, 4_000.0, 6_000.0, 11_000.0)))

    def answer(self, number: int) -> None:
        """It was carried out, or not; and the answer comes, or not."""
        send, _ = self.out.pop(number)
        how = self.tape.below(8)
        if how == 0:
            reply = Reply(Said.NEVER)
        elif how == 1:
            reply = Reply(Said.DOUBTFUL)
        else:
            reply = self.server.answer(self.now, send)
            if how == 2:
                reply = Reply(Said.DOUBTFUL)
        if how == 3:  # the answer was a while on its way
            self.out[-number] = (send, self.now + 1e9)  # nothing else of this seat leaves meanwhile
            self.pass_(self.tape.one((50.0, 400.0)))
            del self.out[-number]
        self.book.replied(self.now, number, reply)

    def kill(self) -> None:
        """The log keeps what was durable, and perhaps more; what was out may have been carried out."""
        for send, _ in self.out.values():
            if self.tape.below(2):
                self.server.answer(self.now, send)
        del self.log[self.durable + self.tape.below(len(self.log) - self.durable + 1) :]
        self.durable = len(self.log)
        records = list(enumerate(self.log, 1))
        table = fold_all(None, records)
        same(table, self.table(len(self.log)), "folded at once, and one by one")
        for session, lease in self.server.held(self.now).items():
            if session in table and table[session].lease and lease.until > table[session].until * 1_000.0:
                self.unsure.add(lease.key)
        self.now += 1.0 + self.tape.below(2) * 3_000.0
        self.begin()
        self.book.recover(self.now, self.now / 1_000.0, table)

    def agree(self) -> None:
        now = self.now
        held = self.server.held(now)
        for session in held:
            if session not in self.book.seats and held[session].key not in self.unsure:
                raise Finding(f"{session} is held, and not counted")
        for session, by in self.owed.items():
            if now > by + 2 * TICK_MS:
                raise Finding(f"{session} had its verdict due at {by}: {self.book.seats.get(session)}")
        table = self.table(len(self.log))
        mine = {one: (kept.generation, kept.lease) for one, kept in self.book.table().items()}
        same(mine, {one: (kept.generation, kept.lease) for one, kept in table.items()}, "the log")
        for session, lease in held.items():
            seat = self.book.seats.get(session)
            if seat is None or seat.state is not State.HELD or seat.kept.lease != lease.name:
                continue
            if not seat.use_until <= lease.until <= seat.held_until:
                raise Finding(f"{lease} is used until {seat.use_until}, counted until {seat.held_until}")
        for session in sorted(self.playing):
            seat = self.book.seats.get(session)
            if self.book.covers(now, session) and session not in held:
                raise Finding(f"{session} is used, and not held: {seat}")

    def finish(self) -> None:
        for session in SESSIONS:
            self.run()
            self.owed.pop(session, None)
            self.playing.discard(session)
            self.book.unwant(self.now, session)
        for _ in range(120):
            self.sync()
            for number in sorted(self.out):
                if number in self.out:
                    send, _ = self.out.pop(number)
                    self.book.replied(self.now, number, self.server.answer(self.now, send))
            self.pass_(900.0)
        same((self.book.seats, self.table(len(self.log)), self.server.held(self.now)), ({}, {}, {}), "left")
        same((len(self.book.queue), self.book._wheel.next_due(), self.owed), (0, None, {}), "left")


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
