"""A seeded stream of the simulator's wire, spoken with two controllers, and one frame of every event code."""

from __future__ import annotations

import heapq
import itertools
import struct
from random import Random

from fernweir.adapter import ControllerPool
from fernweir.wire import HEADER, Decoder

WIRE_SETTINGS = """Categories.count=2
Categories.0.Name=film
Categories.0.Aim=900
Categories.0.Deadline=3000
Categories.0.Gain=1
Categories.0.Idempotency=repeatable
Categories.1.Name=course
Categories.1.Aim=600
Categories.1.Deadline=2500
Categories.1.Gain=3
Categories.1.Idempotency=once
Extra.RatesKb=100,200,400,800
Extra.LevelWorth=0.25,0.5,0.8,1
Extra.KindSlots=20,30
Extra.WeightKb=2000
Extra.UplinkKb=5000
Extra.SwitchCostS=0.5
Extra.SeenAfter=500
Extra.Tell=2000
Extra.Cells=6
Extra.Groups=2
Extra.ClassScale=1,1.4
Extra.LowestRung=0,1
Extra.ClassTop=3,2
Extra.Seats=0,40
Feedback.Names=x0,x1
Feedback.Via=header
Instances=2
Ordinal={ordinal}
Period=10
Discovery=subscribe
Limits.MayProbe=true
Limits.AttemptsCap=3
Limits.RetryAfter=true
Limits.MaxRetryAfter=1500
Obligations.AnswerSlack=40
Obligations.DrainGrace=1000
Obligations.WarmUp=8000
Obligations.ColdFrom=0.5
Obligations.FallMultiple=2.5
Obligations.Fall=3000
Obligations.BudgetSpan=10000
Obligations.FreeResends=5
Obligations.ExtraShare=0.1
"""
_SELECT, _CONFIGURE, _LIST, _ARRIVAL, _STARTED, _ENDED, _ABANDONED = 269, 256, 257, 258, 259, 260, 261
_FIRED, _PROBED, _MESSAGE, _KILLED, _TAKEN_OVER, _NOTE, _PAGE = 262, 263, 264, 265, 266, 267, 268
_PLACE, _REFUSE, _FAIL, _TIMER, _PROBE, _LOG, _SUBSCRIBE, _RUNG, _MOVE = (
    320,
    321,
    322,
    324,
    325,
    328,
    330,
    332,
    333,
)
_ACTION_SIZES = {_PLACE: 18, _REFUSE: 14, _FAIL: 6, _TIMER: 14, _PROBE: 6, _SUBSCRIBE: 3, _RUNG: 7, _MOVE: 6}


class WireStream:
    """A small simulated site that speaks the simulator's wire with two controllers and keeps what it said.

    What controllers ask for comes true or fails by seeded chance, so that the stream holds every event.
    """

    def __init__(self, seed: int) -> None:
        self._random = Random(seed)
        self._host, self._decoder = ControllerPool(), Decoder()
        self._due: list[tuple[float, int, int, bytes]] = []
        self._sequence, self._batches = itertools.count(), itertools.count(1)
        self._attempts: dict[tuple[int, int], int] = {}
        self._now = 1000.0
        self.stream = b""

    def play(self, arrivals: int) -> bytes:
        """The whole stream, from the start of both controllers to the end of the last event."""
        for front in (1, 2):
            self._configure(front)
        self._list(ListKinds.CACHED, self._page(0, range(1, 5)), 0, 1)
        self._list(ListKinds.FULL, self._page(0, range(1, 13)), 0, 2)
        at = self._now
        for session in range(1, arrivals + 1):
            at += self._random.expovariate(1 / 25.0)
            self._arrive(at, 1 + session % 2, session)
        self._change_list(at)
        self._run()
        return self.stream

    def _configure(self, front: int) -> None:
        text = WIRE_SETTINGS.format(ordinal=front - 1).encode()
        self._plan(self._now, front, struct.pack("<HQI", _CONFIGURE, 40 + front, len(text)) + text)

    def _page(self, number: int, servers: range, states: dict[int, int] | None = None) -> bytes:
        lines = b"".join(
            struct.pack("<BdBHBfI", (states or {}).get(server, 1), 0.0 if server < 10 else 900.0, 0,
                        (server - 1) % 6, server % 2, 1.0 + server % 3, server)
            for server in servers
        )  # fmt: skip
        return struct.pack("<HBI", _PAGE, number, len(servers)) + lines

    def _list(self, kind: int, page: bytes, number: int, version: int, at: float | None = None) -> None:
        for front in (1, 2):
            self._plan(
                self._now if at is None else at,
                front,
                page + struct.pack("<HBIB", _LIST, kind, version, number),
            )

    def _change_list(self, end: float) -> None:
        span = end - self._now
        self._list(ListKinds.DELTA, self._page(1, range(3, 5), {3: 2, 4: 0}), 1, 3, self._now + span * 0.3)
        self._list(ListKinds.FAILED, b"", 0, 0, self._now + span * 0.5)
        self._list(ListKinds.FULL, self._page(2, range(1, 13), {5: 2}), 2, 4, self._now + span * 0.7)
        self._plan(self._now + span * 0.6, 1, struct.pack("<HHH", _MESSAGE, 2, 5) + b"hello")
        self._plan(self._now + span * 0.85, 2, struct.pack("<H", _KILLED))
        text = WIRE_SETTINGS.format(ordinal=1).encode()
        again = struct.pack("<HQI", _CONFIGURE, 77, len(text)) + text
        self._plan(self._now + span * 0.85, 2, again)
        page = self._page(2, range(1, 13), {5: 2}) + struct.pack("<HBIB", _LIST, ListKinds.FULL, 5, 2)
        self._plan(self._now + span * 0.861, 2, page)
        for session in (9001, 9002):
            taken = struct.pack(
                "<HIBIQQddfffHI", _TAKEN_OVER, session, session % 2, 0, session, 5, 2000.0, 60000.0, 0.0, 4.0,
                2.0, 1, 1 + session % 6,
            )  # fmt: skip
            self._plan(self._now + span * 0.862, 2, taken)
            self._plan(
                self._now + span * 0.863, 2,
                struct.pack("<HIIBBf", _NOTE, session, 1 + session % 6, NoteKinds.RUNG, 0, 1.0),
            )  # fmt: skip

    def _arrive(self, at: float, front: int, session: int) -> None:
        chance = self._random
        flags = 1 | (8 if chance.random() < 0.1 else 0) | (16 if chance.random() < 0.1 else 0)
        knock = struct.pack(
            "<HIHfdQdQBIff", _ARRIVAL, session, flags, float(chance.randrange(1, 4)),
            chance.uniform(5e3, 9e4), session, 2500.0, chance.randrange(8), chance.randrange(2), 0,
            float(chance.randrange(6)), 3.0,
        )  # fmt: skip
        self._plan(at, front, knock)
        if chance.random() < 0.04:
            self._plan(at + 300.0, front, struct.pack("<HI", _ABANDONED, session))

    def _plan(self, at: float, front: int, record: bytes) -> None:
        heapq.heappush(self._due, (at, next(self._sequence), front, record))

    def _run(self) -> None:
        end = max(at for at, *_ in self._due) + 4000.0
        while self._due and self._due[0][0] < end:
            self._now = max(self._now + 10.0, self._due[0][0])
            records = []
            while self._due and self._due[0][0] <= self._now:
                _, _, front, record = heapq.heappop(self._due)
                records.append((front, record))
            self._exchange(records)

    def _exchange(self, records: list[tuple[int, bytes]]) -> None:
        """Sends one frame and acts on its answer."""
        number, body, count = next(self._batches), b"", 0
        for front, record in records:
            body += struct.pack("<HI", _SELECT, front) + record
            count += 2 + (record[:2] == struct.pack("<H", _PAGE))
        self.stream += HEADER.pack(count, 12 + len(body), self._now, number) + body
        answer = self._host.handle_batch(self._decoder.decode(count, self._now, number, body))
        at, front = 8, 0
        while at < len(answer):
            (code,) = struct.unpack_from("<H", answer, at)
            if code == 334:
                (front,) = struct.unpack_from("<I", answer, at + 2)
                at += 6
            elif code in (_LOG, 329):
                (size,) = struct.unpack_from("<H", answer, at + 2)
                if code == 329:
                    raise RuntimeError(answer[at + 4 : at + 4 + size].decode())
                at += 4 + size
            else:
                self._act(front, code, answer[at + 2 : at + _ACTION_SIZES[code]])
                at += _ACTION_SIZES[code]

    def _act(self, front: int, code: int, body: bytes) -> None:
        """Lets an action come true, or fail."""
        chance = self._random
        if code == _TIMER:
            token, after = struct.unpack("<Id", body)
            self._plan(self._now + max(after, 1.0), front, struct.pack("<HI", _FIRED, token))
        elif code == _PROBE:
            (server,) = struct.unpack("<I", body)
            result = chance.choice((1, 1, 3, 4))
            probed = struct.pack("<HdBIB2f", _PROBED, 12.0, result, server, 2, 0.2, 0.3)
            self._plan(self._now + 12.0, front, probed)
        elif code == _PLACE:
            self._attempt(front, *struct.unpack("<IId", body))
        elif code == _MOVE:
            (session,) = struct.unpack("<I", body)
            self._arrive(self._now + 50.0, front, session + 100_000)

    def _attempt(self, front: int, session: int, server: int, timeout: float) -> None:
        chance, key = self._random, (front, session)
        attempt = self._attempts.get(key, -1) + 1
        self._attempts[key] = attempt
        trouble = 0.5 if server == 7 else 0.12
        if chance.random() < trouble:
            result = chance.choice((0, 2, 3, 4, 5, 6, 7))
            took = timeout if result == 3 else chance.uniform(2.0, timeout)
            self._end(self._now + took, front, session, server, attempt, result, took)
            return
        took = chance.uniform(20.0, timeout * 0.8)
        at = self._now + took
        self._plan(at, front, struct.pack("<HIIdB", _STARTED, session, server, took, attempt))
        for kind, level in ((NoteKinds.LINK, 0.9), (NoteKinds.UPLINK, 0.8), (NoteKinds.DELIVERED, 400.0)):
            note = struct.pack("<HIIBBf", _NOTE, session, server, kind, attempt, chance.uniform(0.1, level))
            self._plan(at + chance.uniform(100.0, 2500.0), front, note)
        length = chance.uniform(1500.0, 20_000.0)
        result = chance.choice((1, 1, 1, 1, 1, 5))
        self._end(at + length, front, session, server, attempt, result, length)

    def _end(
        self, at: float, front: int, session: int, server: int, attempt: int, result: int, took: float
    ) -> None:
        load = (self._random.uniform(0.1, 1.0), self._random.uniform(0.1, 1.0))
        ended = struct.pack("<HIIBBBdB2f", _ENDED, session, server, result, 0, attempt, took, 2, *load)
        self._plan(at, front, ended)


class ListKinds:
    """The wire's numbers for kinds of lists."""

    FAILED, CACHED, FULL, DELTA = range(4)


class NoteKinds:
    """The wire's numbers for kinds of notes."""

    DELIVERED, RUNG, LINK, UPLINK = range(1, 5)


def event_records() -> dict[str, list[bytes]]:
    """Records of every event code, by a name; each list is the content of one frame."""
    select = struct.pack("<HI", _SELECT, 3)
    text = WIRE_SETTINGS.format(ordinal=1).encode()
    lines = [struct.pack("<BdBHBfI", state, 900.5, 0, 3, 1, 2.5, 10 + state) for state in range(3)]
    page = struct.pack("<HBI", _PAGE, 5, len(lines)) + b"".join(lines)
    knock = struct.Struct("<HIHfdQdQBIff")
    taken = struct.Struct("<HIBIQQddfffHI")
    records = {
        "configure": [struct.pack("<HQI", _CONFIGURE, 41, len(text)) + text],
        "arrival": [knock.pack(_ARRIVAL, 1, 25, 2.0, 5000.5, 2**63 + 1, 2500.0, 2**63 + 5, 1, 0, 3.0, 4.0)],
        "bare arrival": [knock.pack(_ARRIVAL, 1, 0, 0.0, 0.0, 0, 0.0, 0, 0, 0, 0.0, 0.0)],
        "started": [struct.pack("<HIIdB", _STARTED, 1, 11, 120.5, 2)],
        "abandoned": [struct.pack("<HI", _ABANDONED, 1)],
        "timer fired": [struct.pack("<HI", _FIRED, 9)],
        "message": [struct.pack("<HHH", _MESSAGE, 3, 2) + b"\x00\xff"],
        "killed": [struct.pack("<H", _KILLED)],
        "taken over": [taken.pack(_TAKEN_OVER, 1, 1, 0, 7, 8, 2500.0, 5000.5, 3.0, 4.0, 2.0, 25, 11)],
    }
    for kind in range(4):
        records[f"list {kind}"] = [page, struct.pack("<HBIB", _LIST, kind, 8, 5)]
    for result in range(8):
        records[f"ended {result}"] = [
            struct.pack("<HIIBBBdB2f", _ENDED, 1, 11, result, result % 2, 2, 130.5, 2, 0.25, 0.5)
        ]
        records[f"probed {result}"] = [struct.pack("<HdBIB", _PROBED, 12.5, result, 11, 0)]
    for kind in range(1, 5):
        records[f"note {kind}"] = [struct.pack("<HIIBBf", _NOTE, 1, 11, kind, 2, 0.5)]
    return {name: [select, *content] for name, content in records.items()}
