"""A front node on loopback; scripted media servers, a feed and viewers count what they are told."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import replace
from io import StringIO
from typing import Any

from fernweir.front.names import number_of
from fernweir.interface import Settings
from fernweir.node.config import Address, NodeConfig
from fernweir.node.frames import Code, Frame, Frames, Type, encode
from fernweir.node.jsonl import Message, read, write
from fernweir.node.logs import NodeLog
from fernweir.node.program import Node
from tests.helpers import SETTINGS
from tests.sockets import until

OFFER = "9d41c07a\r\nc=IN IP4 10.4.7.9\r\nm=audio 31000 RTP/AVP 0\r\n"
PLAIN = replace(SETTINGS, may_probe=False)


class Told(AssertionError):
    """A viewer was told something that it may not be told."""


class MediaServer:
    """Answers by its script: a list of moves for set-ups to come, then `answer` for ever."""

    def __init__(self, name: str) -> None:
        self.name, self.script = name, list[str]()
        self.setups: list[Frame] = []
        self.releases: list[tuple[str, int | None]] = []
        self.rungs: list[tuple[str, str]] = []
        self.pings = self.pings_to_break = 0
        self.out: dict[str, asyncio.StreamWriter] = {}  # set-ups without an end
        self.stands: set[str] = set()  # what it answered, heard whole or not, until it is released
        self.unheard: list[Frame] = []  # said on the next connection that opens, and said when one closes
        self.parting: list[Frame] = []
        self.writers: list[asyncio.StreamWriter] = []
        self._server: asyncio.Server | None = None

    async def listen(self, port: int = 0) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)

    @property
    def address(self) -> Address:
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()
        return host, port

    def die(self) -> None:
        """Like a process that ends: nothing listens, connections are reset."""
        assert self._server is not None
        self._server.close()
        for writer in self.writers:
            writer.transport.abort()
        self.writers.clear()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        frames = Frames()
        for frame in self.unheard:
            self.say(frame, writer)
        try:
            while data := await reader.read(65536):
                for frame in frames.feed(data):
                    if not writer.transport.is_closing():  # what lay unread in one that broke is lost
                        self._take(frame, writer)
            for frame in self.parting:
                self.say(frame, writer)
        except ConnectionError:
            pass
        finally:
            for id in [id for id, there in self.out.items() if there is writer]:
                del self.out[id]  # a closed connection gives up the set-ups open on it
            if writer in self.writers:
                self.writers.remove(writer)
            writer.close()

    def _take(self, frame: Frame, writer: asyncio.StreamWriter) -> None:
        if frame.type is Type.SETUP:
            self.setups.append(frame)
            assert frame.session not in self.out, "two attempts out at one server"
            self.out[frame.session] = writer
            self.play(self.script.pop(0) if self.script else "answer", frame.session, writer)
        elif frame.type is Type.RELEASE:
            self.releases.append((frame.session, frame.cause))
            self.out.pop(frame.session, None)
            self.stands.discard(frame.session)
        elif frame.type is Type.RATE:
            self.rungs.append((frame.session, frame.text(Code.RUNG)))
        elif frame.type is Type.PING:
            self.pings += 1
            if self.pings <= self.pings_to_break:
                writer.transport.abort()
                return
            self.say(Frame(Type.PONG, frame.session, {Code.CAUSE: b"\1"}), writer)

    def play(self, move: str, id: str, writer: asyncio.StreamWriter) -> None:
        answer = Frame(Type.ANSWER, id, {Code.DESCRIPTION: f"{self.name} {id}\r\n".encode()})
        if move in ("answer", "twice", "empty", "noise", "binary", "half"):
            self.stands.add(id)
        if move == "answer":
            self.say(answer, writer)
        elif move == "twice":
            unknown = replace(answer, session="f" * 16)
            writer.write(encode(unknown) + encode(answer) + encode(answer))
        elif move == "empty":
            self.say(Frame(Type.ANSWER, id), writer)
        elif move == "noise":
            writer.write(b"\0\2\xff\xff")
        elif move == "binary":
            self.say(Frame(Type.ANSWER, id, {Code.DESCRIPTION: b"\xff\xfe"}), writer)
        elif move == "reset":
            writer.transport.abort()
        elif move == "half":
            writer.write(encode(answer)[:-5])
        elif move.isdigit():
            self.say(Frame(Type.RELEASE, id, {Code.CAUSE: bytes((int(move),))}), writer)
        else:
            assert move == "silent", move
            return
        self.out.pop(id, None)

    def finish(self, id: str) -> None:
        """Answers a set-up that was met with silence."""
        self.play("answer", id, self.out[id])

    def say(self, frame: Frame, writer: asyncio.StreamWriter | None = None) -> None:
        (writer or self.writers[-1]).write(encode(frame))


class FeedServer:
    """Events by number; remembers from where it was asked."""

    def __init__(self) -> None:
        self.asked: list[int] = []
        self.writers: list[asyncio.StreamWriter] = []
        self.events: list[dict[str, Any]] = []
        self._server: asyncio.Server | None = None

    async def listen(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)

    @property
    def address(self) -> Address:
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()
        return host, port

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            word, _, last = (await reader.readline()).partition(b" ")
            assert word == b"SUB"
            self.asked.append(int(last))
            self.writers.append(writer)
            for event in self.events:
                if event["n"] > int(last):
                    self.tell(event, writer)
            await reader.read()
        except ConnectionError:
            pass
        finally:
            if writer in self.writers:
                self.writers.remove(writer)
            writer.close()

    def add(self, members: dict[str, Any]) -> None:
        self.events.append({"n": len(self.events) + 2, "members": members})
        for writer in self.writers:
            self.tell(self.events[-1], writer)

    def tell(self, event: object, writer: asyncio.StreamWriter | None = None) -> None:
        (writer or self.writers[-1]).write(json.dumps(event).encode() + b"\n")


class ViewerConnection:
    """One connection. A second answer to one id, or word of an id that never stood, is an error at once."""

    def __init__(self, scene: Scene) -> None:
        self.scene, self.raw, self.closed = scene, list[Message](), False
        self.wrong: list[str] = []

    async def open(self) -> ViewerConnection:
        self._reader, self._writer = await asyncio.open_connection(*self.scene.node.viewers.address)
        self._task = asyncio.create_task(self._read())
        return self

    async def _read(self) -> None:
        try:
            while line := await self._reader.readline():
                message = read(line.rstrip(b"\n"))
                self.raw.append(message)
                self.scene.told(message)
        except ConnectionError:
            pass
        self.closed = True

    def send(self, *messages: Message) -> None:
        self._writer.write(b"".join(map(write, messages)))

    def write(self, data: bytes) -> None:
        self._writer.write(data)

    def close(self) -> None:
        self._writer.close()

    async def answer(self, id: str) -> Message:
        await until(lambda: id in self.scene.answers)
        return self.scene.answers[id]


class Scene:
    def __init__(self, settings: Settings, sockets: int) -> None:
        self.settings, self.sockets = settings, sockets
        self.servers: dict[str, MediaServer] = {}
        self.feed = FeedServer()
        self.log = StringIO()
        self.answers: dict[str, Message] = {}
        self.ends: dict[str, Message] = {}
        self.faults: list[str] = []
        self._ids = 0

    async def start(self, count: int, seed: int = 7) -> None:
        await self.feed.listen()
        for place in range(count):
            server = MediaServer(f"s-{place}")
            await server.listen()
            self.servers[server.name] = server
        self.node = Node(self.config(seed), NodeLog("n", self.log), {})
        self.node.start()
        await until(lambda: self.node.viewers.ready)

    def config(self, seed: int = 7) -> NodeConfig:
        lines = [self.line(name) for name in self.servers]
        first = {"n": 1, "members": {"index": 1, "snapshot": True, "endpoints": lines}}
        listen = ("127.0.0.1", 0)
        return NodeConfig(
            "n",
            listen,
            seed,
            self.sockets,
            self.feed.address,
            1,
            (first,),
            self.settings,
            ("box",),
            250,
            15_000,
        )

    def line(self, name: str, status: str = "up", since_ms: float = 0) -> dict[str, Any]:
        host, port = self.servers[name].address
        cell = list(self.servers).index(name) % self.settings.cells
        return {
            "name": name, "address": f"{host}:{port}", "zone": "z", "type": "box", "group": cell,
            "status": status, "weight": 1, "since_ms": since_ms,
        }  # fmt: skip

    async def viewer(self) -> ViewerConnection:
        return await ViewerConnection(self).open()

    def told(self, message: Message) -> None:
        if message.type == "answer" or (message.type == "release" and message.id not in self.answers):
            if message.id in self.answers:
                self.faults.append(f"{message.id} was answered twice")
            self.answers[message.id] = message
        elif message.type == "release":
            if self.answers[message.id].type != "answer" or message.id in self.ends:
                self.faults.append(f"{message.id} was ended though it does not stand")
            self.ends[message.id] = message

    def setup(self, id: str = "", sdp: str | None = OFFER, **fields: object) -> Message:
        self._ids += 1
        known: dict[str, Any] = {
            "class": "film", "left": "4000", "key": "7f3a9c21e0b4d655",
            "extras": "home:0;copies:4;top:0;viewer:00000000b4d65521",
        }  # fmt: skip
        return Message("setup", id or f"{self._ids:016x}", {**known, **fields}, sdp=sdp)

    def setups(self) -> list[tuple[str, Frame]]:
        return [(name, frame) for name, server in self.servers.items() for frame in server.setups]

    def brain_server(self, name: str) -> Any:
        return self.node.core.host.controller.servers[number_of(name)]

    def stop(self) -> None:
        self.node.stop()
        for server in self.servers.values():
            server.die()


def play(
    story: Callable[[Scene], Awaitable[None]],
    servers: int = 3,
    settings: Settings = PLAIN,
    sockets: int = 256,
) -> None:
    """Plays a story, and holds at its end that no viewer was told what it may not be told."""

    async def whole() -> None:
        scene = Scene(settings, sockets)
        await scene.start(servers)
        try:
            await story(scene)
        finally:
            scene.stop()
        if scene.faults:
            raise Told("; ".join(scene.faults))

    asyncio.run(whole())
