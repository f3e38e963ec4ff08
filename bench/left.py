"""Clients that leave while their request waits, forced on real sockets: none is to be sent on later.

    python -m bench.left [--each 4] [--seed 1]

Each case is a front node of its own, whose loop is turned by hand (`tests/node_scene.py`), with stand-in
media servers, which alone count what was sent on. Ways of leaving times places where the request waits; the
rest is drawn, as which of two things is seen first. A row a place: how many were sent on after their client
had left, for each way, then what became of all of them. Exit 1 if one was sent on, or a ledger is wrong.
"""

from __future__ import annotations

import argparse
import json
import sys
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random

from fernweir.interface import Settings
from fernweir.node.frames import Frame, FrameType, ParameterCode
from fernweir.node.jsonl import NO_SESSION_ID, Message, encode_message
from tests.helpers import SETTINGS
from tests.node_scene import PLAIN, FarViewer, Stage, staged

WAYS = ("release", "reset", "close", "half-close", "unread", "cut", "time")
STILL_OPEN = ("release", "half-close", "time")  # of these ways: its side hears what becomes of it
WAIT_MS, LATE_MS = 1_500.0, 400.0
SMALL = replace(PLAIN, uplink_rate_kbyte_s=700.0)  # a few sessions fill a server


class Case:
    """One client that leaves, and what it had asked."""

    def __init__(self, stage: Stage, way: str, draw: Random) -> None:
        self.stage, self.loop, self.way, self.draw = stage, stage.loop, way, draw
        self.ids: list[str] = []
        self.before: dict[str, int] = {}  # how often each had been sent on as its client left
        self.viewer = stage.far_viewer()
        self.fd = self.loop.near(self.viewer.sock)
        if way == "unread":  # so that its close is a reset
            self.viewer.send(Message("ping", f"{1:016x}", cause=0))
            self.loop.settle()
            self.loop.arrived(self.viewer.sock.fileno())

    def wishes(self, count: int) -> list[Message]:
        found = []
        for _ in range(count):
            key, kind = f"{self.draw.randrange(99):016x}", self.draw.choice(("film", "course"))
            extras = f"home:0;copies:4;top:1;viewer:{self.draw.randrange(1, 99):016x}"
            left = f"{WAIT_MS:.0f}" if self.way == "time" else "4000"
            found.append(self.stage.setup(key=key, left=left, extras=extras, **{"class": kind}))
        return found

    def ask(self, count: int = 1) -> list[str]:
        wishes = self.wishes(count)
        self.ids += [wish.id for wish in wishes]
        self.viewer.send(*wishes)
        return [wish.id for wish in wishes]

    def asked(self, count: int = 1) -> list[str]:
        """As above, and the node has read it."""
        ids = self.ask(count)
        self.loop.until(lambda: all(id in self.stage.node.client_requests.open_requests for id in ids))
        return ids

    def warm(self) -> None:
        """A connection to a server is free, so that what is placed is written at once."""
        self.stage.establish_session(self.stage.far_viewer())

    def hold(self, *fds: int) -> None:
        self.loop.selected.held.update(fds)

    def leave(self) -> None:
        """Its end is with the kernel, and not seen by the loop unless that turns."""
        viewer, way = self.viewer, self.way
        self.before = {id: len(self.stage.sent_to(id)) for id in self.ids}
        asked = self.ids
        # What it was told before may have been read, and is no case.
        self.ids = [id for id in self.ids if id not in self.stage.node.session_ends.connection_by_session]
        if way == "release":
            viewer.send(*(Message("release", id, cause=16) for id in asked))
        elif way == "reset":
            viewer.reset()
        elif way == "half-close":
            viewer.end()
        elif way == "time":
            self.loop.jump(WAIT_MS + 1.0)
            return
        else:
            if way == "cut":
                viewer.write(encode_message(self.stage.setup())[:40])
            viewer.close()
        self.loop.arrived(self.fd)

    def seen(self, *others: int, made: int = -1) -> None:
        """All is seen in one turn, in a drawn order; `made` is a connection that has come up."""
        fds = [self.fd, *others, made]
        self.loop.arrived(*others)
        self.loop.selected.first = self.draw.sample(fds, len(fds))
        self.loop.selected.held.clear()
        self.loop.settle()

    @property
    def gone(self) -> bool:
        """Whether nobody is there to hear anything."""
        return self.way not in STILL_OPEN


# --- where it waits ---


def module(case: Case) -> None:
    """Held for word of servers of which nothing is known, which comes with its end."""
    ids = case.asked()
    far = case.stage.far["s-0"]
    pings: list[Frame] = []

    def tested() -> bool:
        far.poll()
        pings[:] = [one for line in far.lines for one in line.received if one.type is FrameType.PING]
        return bool(pings)

    case.loop.until(tested)
    assert case.stage.sent_to(ids[0]) == []
    line = far.lines[-1]
    there = case.loop.near(line.sock)
    case.hold(case.fd, there)
    case.leave()
    line.send_frame(
        Frame(
            FrameType.PONG,
            pings[0].session,
            {ParameterCode.CAUSE: b"\1", ParameterCode.REPORT: b"x0:0.1;x1:0.1"},
        )
    )
    case.seen(there)


def place(case: Case) -> None:
    """No server has room: its set-up, its end, and the end of another's session are found in one turn."""
    other, standing = case.stage.far_viewer(), []
    while True:
        wish = case.stage.setup(key=f"{len(standing):016x}")
        other.send(wish)
        case.loop.settle()
        other.poll()
        if wish.id in case.stage.answers:
            break
        line = case.stage.far["s-0"].line_of(wish.id)
        line.answer(wish.id)
        standing.append((wish.id, line))
        case.loop.settle()
    id, line = case.draw.choice(standing)
    there = case.loop.near(line.sock)
    case.hold(case.fd, there)
    case.ask()
    case.leave()
    line.release(id, 16)
    if case.draw.random() < 0.5:
        case.loop.jump(LATE_MS)
    case.seen(there)


def unlisted(case: Case) -> None:
    """No server is listed: its set-up, its end, and word of a server are found in one turn."""
    feed = case.stage.feed.poll()[0]
    there = case.loop.near(feed.sock)

    def tell(n: int, status: str) -> None:
        members = {"index": n, "snapshot": False, "endpoints": [case.stage.line("s-0", status)]}
        feed.write(json.dumps({"n": n, "members": members}).encode() + b"\n")

    tell(2, "removed")
    case.loop.settle()
    case.hold(case.fd, there)
    case.ask()
    case.leave()
    tell(3, "up")
    case.seen(there)


def connection(case: Case) -> None:
    """The connection to its server comes up in the turn in which its end is seen."""
    case.asked(case.draw.randrange(1, 4))
    there = case.stage.hold_next_connect()
    case.loop.settle()
    case.hold(case.fd)
    case.leave()
    if case.draw.random() < 0.5:
        case.loop.jump(100.0)
    case.seen(made=there)


def attempts(case: Case) -> None:
    """Its first attempt ends in the turn in which its end is seen: a further one would follow."""
    (id,) = case.asked()
    case.loop.until(lambda: case.stage.sent_to(id))
    line = case.stage.far[case.stage.sent_to(id)[0]].line_of(id)
    there = case.loop.near(line.sock)
    case.hold(case.fd, there)
    case.leave()
    end = case.draw.choice((34, 102, 47, 0))
    if end:
        line.release(id, end)
    else:
        line.reset()
    case.seen(there)


def read(case: Case) -> None:
    """Its end lies in the socket behind its set-up."""
    if case.draw.random() < 0.7:
        case.warm()
    case.hold(case.fd)
    case.ask(case.draw.randrange(1, 4))
    case.leave()
    case.seen()


def beside(case: Case) -> None:
    """On its connection: one that stands, one that is out, some whose connections are not up."""
    stage, viewer = case.stage, case.viewer
    if not case.gone and case.way != "time":
        stands, line = stage.set_up(viewer)
        line.answer(stands)
        case.loop.until(lambda: viewer.poll() is not None and stands in stage.answers)
    (out,) = case.asked()
    case.loop.until(lambda: stage.sent_to(out))
    case.asked(case.draw.randrange(2, 6))
    case.stage.hold_next_connect()
    others = stage.far_viewer()
    theirs = stage.setup()
    others.send(theirs)
    case.loop.settle()
    case.hold(case.fd)
    case.leave()
    case.seen()
    case.loop.until(lambda: stage.sent_to(theirs.id))  # goes on whoever left


def answer(case: Case) -> None:
    """Its answer comes in the turn in which its end is seen, or some before or behind; read or not."""
    (id,) = case.asked()
    if case.draw.random() < 0.3:  # more than the kernel takes, so that the answer stays in the node
        (near,) = (
            one for one in case.stage.node.client_listener.connections if one._socket.fileno() == case.fd
        )
        while not near.unsent_bytes:
            near.write(encode_message(Message("pong", NO_SESSION_ID, cause=1)) * 100)
    case.loop.until(lambda: case.stage.sent_to(id))
    line = case.stage.far[case.stage.sent_to(id)[0]].line_of(id)
    there = case.loop.near(line.sock)
    order = case.draw.randrange(3)
    case.hold(case.fd, there)
    if order == 1:
        line.answer(id)
        case.loop.arrived(there)
        case.loop.selected.held.discard(there)
        case.loop.turn(case.draw.randrange(1, 4))
    case.leave()
    if order == 2:
        case.loop.selected.held.discard(case.fd)
        case.loop.turn(case.draw.randrange(1, 4))
    if order != 1:
        line.answer(id)
    case.seen(*([there] if order != 1 else []))


def stopping(case: Case) -> None:
    """After SIGTERM, its connection not up."""
    case.asked(case.draw.randrange(1, 3))
    there = case.stage.hold_next_connect()
    first = case.draw.random() < 0.5
    if first:
        case.stage.node.terminate()
    case.loop.settle()
    case.hold(case.fd)
    case.leave()
    if not first:
        case.stage.node.terminate()
    case.seen(made=there)


def descriptor(case: Case) -> None:
    """All places for viewers are taken, and a newcomer comes in the turn of its end."""
    stage = case.stage
    case.warm()  # the second of two places
    listening = stage.node.client_listener._listening_socket
    assert listening is not None
    known = case.way == "time" or case.draw.random() < 0.5
    if known:
        case.asked()
        case.loop.settle()
    case.hold(case.fd, listening.fileno())
    if not known:
        case.ask()
    case.leave()
    newcomer = FarViewer(stage)
    stage.viewers.append(newcomer)
    case.seen(listening.fileno())


def burst(case: Case) -> None:
    """Behind a pipelined burst that is longer than one read."""
    case.warm()
    case.hold(case.fd)
    case.ask(case.draw.randrange(250, 400))
    case.leave()
    case.seen()


def late(case: Case) -> None:
    """The loop stands still for 400 ms: behind its look, or before it."""
    case.warm()
    case.hold(case.fd)
    case.ask()
    if case.way == "time" or case.draw.random() < 0.6:
        case.loop.arrived(case.fd)
        case.loop.selected.held.clear()
        while not set(case.ids) <= set(case.stage.node.client_requests.open_requests):
            case.loop.turn()
    case.leave()
    case.loop.jump(LATE_MS)
    case.seen()


def behind(case: Case) -> None:
    """Its connection is up, and the loop stands still before it is told so; any of the turns until then."""
    case.asked()
    there = case.stage.hold_next_connect()
    case.loop.settle()
    case.loop.selected.held.discard(there)
    case.loop.turn(case.draw.randrange(1, 4))
    case.leave()
    case.loop.jump(100.0)
    case.seen()


@dataclass(frozen=True)
class Place:
    name: str
    play: Callable[[Case], None]
    servers: int = 1
    settings: Settings = PLAIN
    sockets: int = 256
    begun_ms: float = 0.0  # ago
    unread: bool = False  # as it leaves: the time of what nobody has read can't be known


PLACES = (
    Place("the module holds it", module, settings=replace(SETTINGS, front_count=2), begun_ms=60_000.0),
    Place("no room, then room", place, settings=SMALL, unread=True),
    Place("no server listed, then one", unlisted, unread=True),
    Place("connection coming up", connection),
    Place("connection up, loop late", behind),
    Place("between two attempts", attempts, servers=3),
    Place("in the read of its set-up", read, unread=True),
    Place("beside others", beside, servers=2),
    Place("its answer on its way", answer),
    Place("after SIGTERM", stopping),
    Place("a newcomer wants its place", descriptor, sockets=4),
    Place("behind a long burst", burst, unread=True),
    Place("loop late by 400 ms", late),
)


# --- what became of it ---


@dataclass(frozen=True)
class Outcome:
    requests: int = 0
    late: int = 0  # sent on after their client had left
    answered: int = 0
    released: int = 0  # at a server, by the node
    standing: int = 0  # at a server, with nobody who heard of it
    fault: str = ""


def see_out(case: Case) -> None:
    """Servers answer whatever is out, time passes, and the client ends all it has."""
    for _ in range(4):
        case.loop.settle()
        for server in case.stage.far.values():
            server.poll()
            for line in server.lines:
                for id in line.setups - server.released - server.answered_sessions:
                    if not line.over:
                        line.answer(id)
    case.loop.settle()
    if not case.gone:
        case.viewer.poll()
    case.loop.advance(6_000)
    case.stage.poll()
    case.viewer.close()
    case.loop.advance(2_000)


def outcome(case: Case) -> Outcome:
    stage = case.stage
    heard = {id for id in case.ids if id in stage.answers}
    plays = {id for id in heard if stage.answers[id].type == "answer"}
    owed = set(case.ids) - heard if case.way in ("half-close", "time") else set()
    standing = {id for server in stage.far.values() for id in server.active_sessions()} & set(case.ids)
    lines = [line for server in stage.far.values() for line in server.lines]
    released = {one.session for line in lines for one in line.received if one.type is FrameType.RELEASE}
    return Outcome(
        len(case.ids),
        sum(max(len(stage.sent_to(id)) - case.before[id], 0) for id in case.ids),
        len(heard),
        len(released & set(case.ids)),
        len(standing - plays),
        f"{len(owed)} without an answer" if owed else "",
    )


def one(place: Place, way: str, seed: str) -> Outcome:
    found = Outcome()
    try:
        with staged(place.servers, place.settings, place.sockets) as stage:
            stage.loop.advance(place.begun_ms)
            case = Case(stage, way, Random(seed))
            place.play(case)
            see_out(case)
            found = outcome(case)
    except AssertionError as error:
        return replace(found, fault=f"{found.fault} {error!r}"[:200])
    return found


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--each", type=int, default=4, help="cases of each way at each place")
    parser.add_argument("--seed", type=int, default=1)
    given = parser.parse_args()
    begun, faults, totals = time.monotonic(), list[str](), Counter[str]()
    print(f"| where it waits | {' | '.join(WAYS)} | requests | answered | released | left standing |")
    print("| --- |" + " --- |" * (len(WAYS) + 4))
    for place in PLACES:
        cells, sums = [], Counter[str]()
        for way in WAYS:
            if way == "time" and place.unread:
                cells.append("")
                continue
            late = 0
            for at in range(given.each):
                seed = f"{given.seed} {place.name} {way} {at}"
                got = one(place, way, seed)
                late += got.late
                sums.update(requests=got.requests, answered=got.answered, released=got.released)
                sums.update(standing=got.standing, late=got.late, cases=1)
                if got.fault or got.late or got.standing:
                    faults.append(f"{seed}: {got}")
            cells.append(f"{late} of {given.each}")
        totals.update(sums)
        ends = [str(sums[name]) for name in ("requests", "answered", "released", "standing")]
        print(f"| {' | '.join((place.name, *cells, *ends))} |", flush=True)
    print(
        f"\n{totals['cases']} cases, {totals['requests']} requests: {totals['late']} sent on later, "
        f"{totals['standing']} left standing, {time.monotonic() - begun:.0f} s"
    )
    for fault in faults:
        print(fault, file=sys.stderr)
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
