"""What stands round a node in `bench.restarts`: media servers, a control feed, viewers, and the ledger.

Every callback says what has just happened (`Ledger.happened`), so that a story can send a signal at that very
moment. What a stand-in does with what comes is drawn when it comes.
"""

from __future__ import annotations

import asyncio
import json
import socket
import struct
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from fernweir.node.client_connection import CAUSE_MALFORMED
from fernweir.node.config import Address
from fernweir.node.frames import Frame, FrameReader, FrameType, ParameterCode, encode_frame
from fernweir.node.jsonl import NO_SESSION_ID, LineReader, Message, decode_message, encode_message

SENT_ON_S = 0.35  # STANDING: no set-up is sent on later than 0.3 s after its viewer left, and 50 ms
CROSSED_S = 0.05  # so close together that either may have come first
HALF_S = 2.0  # who takes longer over a line is no usual client
LATE_S = 0.55  # an answer later than this after its time is a loss


@dataclass(eq=False)
class Wish:
    """A set-up, from the moment in which its last byte was written to a connection."""

    message: Message
    viewer: Viewer
    at: float  # when its last byte was written
    plays_at: str = ""  # told with `at`: no answer is owed
    left: str = ""  # how its viewer took it back
    left_at: float = 0.0
    answers: list[Message] = field(default_factory=list)
    answered_at: float = 0.0
    ends: list[Message] = field(default_factory=list)
    end_heard_on: Viewer | None = None
    over_at: float = 0.0  # when its media server ended it


class Ledger:
    """One life of a node: what it was asked, what was heard of it, and every fault."""

    def __init__(self, happened: Callable[[str], None], timed: bool = True) -> None:
        self.happened = happened
        self.timed = timed  # whether lateness counts: not where the machine is not this story's own
        self.wishes: dict[str, Wish] = {}
        self.faults: list[str] = []
        self.counts: Counter[str] = Counter()
        self.made: dict[str, set[str]] = {}  # descriptions that media servers made, by session
        self.pongs = 0
        self.stopped: list[tuple[float, float]] = []  # when the process stood still
        self.trace: list[str] = []

    def fault(self, text: str) -> None:
        self.faults.append(text)
        self.note(f"FAULT {text}")

    def note(self, text: str) -> None:
        self.trace.append(f"{time.time():.4f} {text}")

    def stood_still(self, since: float, until: float) -> bool:
        return any(begin < until and since < end + 0.2 for begin, end in self.stopped)

    def told(self, viewer: Viewer, message: Message) -> None:
        wish = self.wishes.get(message.id)
        self.note(f"told {viewer.name}: {message.type} {message.id} {message.cause}")
        if message.type == "pong":
            self.pongs += 1
        elif message.id == NO_SESSION_ID and message.cause == CAUSE_MALFORMED and viewer.halves:
            viewer.overdue = True  # it took too long over a line: what it completes now, it may not be owed
        elif wish is None:
            self.fault(f"word of an unknown session: {message}")
        elif message.type == "answer":
            if wish.plays_at or wish.answers:
                self.fault(f"{message.id} was answered twice, or owed none")
            if message.sdp not in self.made.get(message.id, ()):
                self.fault(f"{message.id} was answered with what no media server made")
            wish.answers.append(message)
            wish.answered_at = time.time()
        elif message.type in ("release", "move"):
            if (wish.answers and wish.answers[0].type == "answer") or wish.plays_at:
                if wish.end_heard_on is not None and not wish.end_heard_on.gone:
                    self.fault(f"{message.id} was ended twice")  # again is for who may not have heard it
                wish.ends.append(message)
                wish.end_heard_on = viewer
            elif wish.answers or message.type == "move":
                self.fault(f"{message.id}: {message.type} after its refusal")
            else:
                wish.answers.append(message)
                wish.answered_at = time.time()
        else:
            self.fault(f"not for a viewer: {message.type}")
        self.happened("told")

    # --- at the end of a life ---

    def owed(self) -> None:
        """Whoever asked and did not leave has one answer, in time."""
        for id, wish in self.wishes.items():
            if wish.plays_at:
                continue
            stayed = wish.left in ("", "half-close") and not wish.viewer.overdue
            if stayed and not wish.answers:
                self.fault(f"{id} has no answer (asked on {wish.viewer.name}, {wish.left or 'stayed'})")
            if wish.answers:
                kind = "play" if wish.answers[0].type == "answer" else f"cause {wish.answers[0].cause}"
                self.counts[kind] += 1
                time_s = float(wish.message.fields["left"]) / 1000.0
                late = wish.answered_at - wish.at - time_s
                if self.timed and late > LATE_S and not self.stood_still(wish.at, wish.answered_at):
                    self.fault(f"{id} was answered {late:.2f} s after its time")

    def held(self, box: Box) -> None:
        """What stands at a media server is held by a viewer who was told so."""
        for id in box.stands:
            wish = self.wishes.get(id)
            if wish is None:
                self.fault(f"{id} stands at {box.name} from nowhere")
                continue
            heard = bool(wish.plays_at) or (wish.answers and wish.answers[0].type == "answer")
            if heard and wish.left != "release" and not wish.ends:
                continue
            # docs/races.md: a plain reset after an answer that was out. Who closes with its answer unread
            # resets, too, and a connection is closed in the next turn of this loop only.
            if wish.left in ("reset", "close") and box.stands[id] <= wish.left_at + CROSSED_S:
                self.counts["doubt"] += 1
                continue
            told = [one.type for one in (*wish.answers, *wish.ends)]
            self.fault(f"{id} stands at {box.name} for nobody ({wish.left or 'stayed'}, told {told})")


class Line(asyncio.Protocol):
    """One connection, at this end of it."""

    transport: asyncio.Transport
    made = over = False

    @property
    def usable(self) -> bool:
        return self.made and not self.over and not self.transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport, self.made = transport, True

    def connection_lost(self, exc: Exception | None) -> None:
        self.over = True

    def reset(self) -> None:
        if self.usable:
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.transport.abort()

    def end(self) -> None:
        if self.usable:
            self.transport.close()


class Box:
    """A media server. What it does with a set-up is drawn; what it holds back waits for `act`."""

    WAYS = (
        *("answer",) * 8,
        *("hold",) * 6,
        *("half",) * 3,
        *("reset", "reset", "end", "noise", "late reset"),
        *("34", "34", "34", "47", "41", "102", "31"),
    )

    BREAKS = ("reset", "end", "late reset", "noise")

    def __init__(self, name: str, ledger: Ledger, dice: Random) -> None:
        self.name, self.ledger, self.dice = name, ledger, dice
        self.lines: list[BoxLine] = []
        self.stands: dict[str, float] = {}  # since when, until it is released or ended
        self.out: dict[str, BoxLine] = {}
        self.halves: dict[str, tuple[BoxLine, bytes]] = {}
        self.waiting: list[socket.socket] = []  # accepted by the kernel alone
        self.up = False
        self.lazy = False  # accepts late
        self.left = False  # its front node is gone: what is read now is given up by its end
        self.count = 0
        self.born = 0  # times that it has listened so far
        self.address: Address = ("", 0)

    def listen(self, host: str) -> None:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind(self.address if self.address[1] else (host, 0))
        sock.listen(128)
        self.address, self.up, self._sock = sock.getsockname(), True, sock
        self.born += 1
        asyncio.get_running_loop().add_reader(sock.fileno(), self._accept)

    def _accept(self) -> None:
        try:
            sock, _ = self._sock.accept()
        except OSError:
            return
        if self.lazy:
            self.waiting.append(sock)
        else:
            self._serve(sock)
        self.ledger.happened("accepted")

    def _serve(self, sock: socket.socket, late: bool = False) -> None:
        loop = asyncio.get_running_loop()
        self.count += 1
        line = BoxLine(self, self.count, late)
        self.lines.append(line)
        line.task = loop.create_task(loop.connect_accepted_socket(lambda: line, sock))

    def attend(self) -> None:
        self.lazy = False
        waiting, self.waiting = self.waiting, []
        for sock in waiting:
            self._serve(sock, late=True)

    def die(self) -> None:
        """Like a process that ends: nothing listens, connections are reset, nothing stands any more."""
        self.ledger.note(f"{self.name} dies")
        if self.up:
            asyncio.get_running_loop().remove_reader(self._sock.fileno())
            self._sock.close()
            self.up = False
        for sock in self.waiting:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            sock.close()
        self.waiting.clear()
        for line in list(self.lines):
            line.reset()
        for id in self.stands:
            wish = self.ledger.wishes.get(id)
            if wish is not None and not wish.over_at:
                wish.over_at = time.time()
        self.stands.clear()
        self.out.clear()
        self.halves.clear()

    def take(self, line: BoxLine, frame: Frame) -> None:
        id = frame.session
        self.ledger.note(f"{self.name} hears {frame.type.name} {id} on {line.number}")
        if frame.type is FrameType.SETUP:
            self._set_up(line, frame)
        elif frame.type is FrameType.RELEASE:
            self.stands.pop(id, None)
            self.out.pop(id, None)
            self.halves.pop(id, None)
            self.ledger.happened("released")
        elif frame.type is FrameType.PING:
            line.write(encode_frame(Frame(FrameType.PONG, id, {ParameterCode.CAUSE: b"\1"})))

    def _set_up(self, line: BoxLine, frame: Frame) -> None:
        id, ledger, now = frame.session, self.ledger, time.time()
        wish = ledger.wishes.get(id)
        ledger.counts["set-ups"] += 1
        if wish is None or wish.plays_at:
            ledger.fault(f"a set-up that no viewer sent: {id}")
            return
        if frame.text_parameter(ParameterCode.DESCRIPTION) != wish.message.sdp:
            ledger.fault(f"{id} was sent on with another description")
        on_time = ledger.timed and not (line.late or ledger.stood_still(wish.left_at, now))
        if wish.left and now > wish.left_at + SENT_ON_S and on_time:
            ledger.fault(f"{id} was sent on {now - wish.left_at:.2f} s after its viewer left ({wish.left})")
        if id in self.out and self.out[id].usable and not line.late:
            ledger.fault(f"{id}: two attempts out at {self.name}")
        self.out[id] = line
        way = "hold" if self.left else self.dice.choice(self.WAYS)
        # One that reads late breaks nothing in between: what it has not read may be a release of long ago.
        self._play("hold" if line.late and way in self.BREAKS else way, id, line)
        ledger.happened("set up")

    def _play(self, way: str, id: str, line: BoxLine) -> None:
        self.ledger.note(f"{self.name} plays {way} {id} on {line.number}")
        if way == "answer":
            self.answer(id)
        elif way == "half" and line.held is None:
            data = self._made(id)
            cut = self.dice.randrange(1, len(data))
            line.write(data[:cut])
            line.held = bytearray()
            self.halves[id] = line, data[cut:]
            self.ledger.happened("half answered")
        elif way == "noise":
            self._made(id)  # it ran, and what is said of it is spoilt
            line.write(b"\0\2\xff\xff")
            self.out.pop(id, None)
        elif way in ("reset", "end"):
            getattr(line, way)()
            self.ledger.happened("broken")
        elif way == "late reset":
            self._made(id)  # it ran; its answer is lost
            line.reset()
            self.ledger.happened("broken")
        elif way.isdigit():
            self.out.pop(id, None)
            line.write(encode_frame(Frame(FrameType.RELEASE, id, {ParameterCode.CAUSE: bytes((int(way),))})))
            self.ledger.happened("refused")

    def _made(self, id: str) -> bytes:
        self.ledger.note(f"{self.name} made {id}")
        text = f"{self.name} {id} {self.dice.random()}\r\n"
        self.ledger.made.setdefault(id, set()).add(text)
        self.stands[id] = time.time()
        return encode_frame(Frame(FrameType.ANSWER, id, {ParameterCode.DESCRIPTION: text.encode()}))

    def answer(self, id: str) -> None:
        line = self.out.pop(id)
        line.write(self._made(id))
        self.ledger.happened("answered")

    def act(self) -> None:
        """One thing that it does by itself."""
        dice = self.dice
        if self.halves and dice.random() < 0.5:
            id, (line, rest) = next(iter(self.halves.items()))
            del self.halves[id]
            self.out.pop(id, None)
            if dice.random() < 0.7:
                held, line.held = line.held, None
                line.write(rest + (held or b""))
                self.ledger.happened("answered")
            else:
                line.reset()
                self.ledger.happened("broken")
        elif self.out and dice.random() < 0.8:
            id = dice.choice(sorted(set(self.out) - set(self.halves)) or [""])
            if id:
                way = dice.choice(("answer", "answer", "answer", "34", "47", "reset", "half"))
                self._play(way, id, self.out[id])
        elif self.stands and dice.random() < 0.4:
            self.over(dice.choice(sorted(self.stands)))

    def over(self, id: str) -> None:
        """A session that stands has come to its end."""
        there = [line for line in self.lines if line.usable]
        wish = self.ledger.wishes[id]
        heard = bool(wish.plays_at) or (wish.answers and wish.answers[0].type == "answer")
        if there and heard and id not in self.halves and id not in self.out:
            del self.stands[id]
            wish.over_at = time.time()
            there[-1].write(encode_frame(Frame(FrameType.RELEASE, id, {ParameterCode.CAUSE: b"\x10"})))
            self.ledger.note(f"{self.name} ended {id}")
            self.ledger.happened("over")


class BoxLine(Line):
    task: asyncio.Task[Any]

    def __init__(self, box: Box, number: int, late: bool) -> None:
        self.box, self.number, self.late, self._frames = box, number, late, FrameReader()
        self._born = box.born
        self.held: bytearray | None = None  # what waits behind the half of an answer

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        if self._born != self.box.born or not self.box.up:
            self.reset()

    def write(self, data: bytes) -> None:
        if self.held is not None:
            self.held += data
        elif self.usable:
            self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        try:
            frames = self._frames.feed(data)
        except ValueError as error:
            self.box.ledger.fault(f"{self.box.name} can't read: {error}")
            return
        for frame in frames:
            if self.usable:  # what lay unread in one that broke is lost
                self.box.take(self, frame)

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        box = self.box
        box.ledger.note(f"{box.name} over {self.number} {exc}")
        if self in box.lines:
            box.lines.remove(self)
        for id in [id for id, there in box.out.items() if there is self]:
            del box.out[id]
        for id in [id for id, (there, _) in box.halves.items() if there is self]:
            del box.halves[id]  # what stands by it stays, until it is released


class FeedStand:
    """The control feed at one address."""

    def __init__(self, ledger: Ledger, events: list[dict[str, Any]], dice: Random) -> None:
        self.ledger, self.events, self.dice = ledger, events, dice
        self.lines: list[FeedLine] = []
        self.asked: list[int] = []
        self._server: asyncio.Server | None = None

    async def listen(self, host: str) -> None:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: FeedLine(self), host, 0)

    @property
    def address(self) -> Address:
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()
        return host, port

    def say(self, event: dict[str, Any], line: FeedLine) -> None:
        line.write(json.dumps(event).encode() + b"\n")

    def tell(self) -> None:
        """The newest event, to all who listen, now and then not as it should be."""
        for line in self.lines:
            data = json.dumps(self.events[-1]).encode() + b"\n"
            way = self.dice.choice(("", "", "", "twice", "half", "pieces"))
            if way == "half":
                line.write(data[: self.dice.randrange(len(data))])
                self.dice.choice((line.reset, line.end))()
            elif way == "pieces":
                for at in range(len(data)):
                    line.write(data[at : at + 1])
            else:
                line.write(data * (2 if way == "twice" else 1))

    def close(self) -> None:
        """Takes no new connection; those it has stay."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def break_off(self) -> None:
        for line in list(self.lines):
            line.reset()


class FeedLine(Line):
    def __init__(self, feed: FeedStand) -> None:
        self.feed, self._lines, self._asked = feed, LineReader(), False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._number = asyncio.get_running_loop().call_later(1.0, self._say_number)

    def _say_number(self) -> None:
        if self._asked:
            self.write(b"%d\n" % self.feed.events[-1]["n"])
        self._number = asyncio.get_running_loop().call_later(1.0, self._say_number)

    def data_received(self, data: bytes) -> None:
        for line in self._lines.feed(data):
            word, _, last = line.partition(b" ")
            if word != b"SUB" or self._asked:
                self.feed.ledger.fault(f"the feed was asked with {line!r}")
                continue
            self._asked = True
            self.feed.lines.append(self)
            self.feed.asked.append(int(last))
            for event in self.feed.events:
                if event["n"] > int(last):
                    self.feed.say(event, self)
            self.feed.ledger.happened("feed asked")

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self._number.cancel()
        if self in self.feed.lines:
            self.feed.lines.remove(self)

    def write(self, data: bytes) -> None:
        if self.usable:
            self.transport.write(data)


class Viewer(Line):
    """A viewer's connection. What is written counts from the moment in which the kernel has its last byte."""

    def __init__(self, ledger: Ledger, name: str) -> None:
        self.ledger, self.name, self._lines = ledger, name, LineReader()
        self.half: tuple[Wish, bytes] | None = None  # the rest of a line
        self.half_at = 0.0
        self.halves = 0
        self.overdue = False
        self.gone = ""

    async def connect(self, there: Address) -> bool:
        """False if nobody listens there."""
        try:
            await asyncio.get_running_loop().create_connection(lambda: self, *there)
        except OSError:
            return False
        self.ledger.happened("connected")
        return True

    @property
    def open(self) -> bool:
        return self.usable and not self.gone

    def data_received(self, data: bytes) -> None:
        try:
            for line in self._lines.feed(data):
                self.ledger.told(self, decode_message(line))
        except ValueError as error:
            self.ledger.fault(f"a viewer can't read: {error}")

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self.ledger.note(f"{self.name} over {exc}")

    def write(self, data: bytes) -> None:
        self.transport.write(data)
        if self.transport.get_write_buffer_size():
            self.ledger.fault("the rig's own: a write was not taken at once")

    def wish(self, *wishes: Wish) -> None:
        now = time.time()
        for wish in wishes:
            wish.at = now
            self.ledger.wishes[wish.message.id] = wish
            self.ledger.note(f"{self.name} asks {wish.message.id} {wish.plays_at}")
        self.write(b"".join(encode_message(one.message) for one in wishes))

    def wish_half(self, wish: Wish, dice: Random) -> None:
        data = encode_message(wish.message)
        cut = dice.randrange(1, len(data) - 1)
        self.write(data[:cut])
        self.half = wish, data[cut:]
        self.halves, self.half_at = self.halves + 1, time.time()
        self.ledger.happened("half a line")

    def wish_rest(self) -> None:
        assert self.half is not None
        (wish, rest), self.half = self.half, None
        wish.at = time.time()
        self.overdue = self.overdue or wish.at > self.half_at + HALF_S
        self.ledger.wishes[wish.message.id] = wish
        self.ledger.note(f"{self.name} asks {wish.message.id} with the rest of a line")
        self.write(rest)

    def release(self, wish: Wish) -> None:
        self._leaves(wish, "release")
        self.write(encode_message(Message("release", wish.message.id, cause=16)))

    def leave(self, how: str) -> None:
        """`close`, `reset` or `half-close`: whatever is open here is wanted no more."""
        self.gone = how
        for wish in self.ledger.wishes.values():
            if wish.viewer is self and not wish.left and not wish.answers and not wish.plays_at:
                self._leaves(wish, how)
        if how == "reset":
            self.reset()
        elif how == "close":
            self.transport.close()
        else:
            self.transport.write_eof()

    def _leaves(self, wish: Wish, how: str) -> None:
        wish.left, wish.left_at = how, time.time()
        self.ledger.note(f"{self.name} {how} {wish.message.id}")
