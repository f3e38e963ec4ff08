"""A front node on loopback, with scripted media servers, a feed and viewers that record all messages."""

from __future__ import annotations

import asyncio
import json
import select
import selectors
import socket
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from dataclasses import replace
from io import StringIO
from typing import Any

from fernweir.front.names import number_of
from fernweir.interface import Settings
from fernweir.node.config import Address, NodeConfig
from fernweir.node.frames import Frame, FrameReader, FrameType, ParameterCode, encode_frame
from fernweir.node.jsonl import NO_SESSION_ID, Message, decode_message, encode_message
from fernweir.node.logs import NodeLog
from fernweir.node.program import Node
from tests.helpers import SETTINGS
from tests.sockets import HOST, Far, SteppedLoop, until

OFFER = "9d41c07a\r\nc=IN IP4 10.4.7.9\r\nm=audio 31000 RTP/AVP 0\r\n"
PLAIN = replace(SETTINGS, may_check_health=False)


class ProtocolViolation(AssertionError):
    """A viewer received a message that the protocol does not allow."""


class MediaServer:
    """A media server. `script` lists its actions for the next set-ups; after that it answers all of them."""

    def __init__(self, name: str) -> None:
        self.name, self.script = name, list[str]()
        self.setups: list[Frame] = []
        self.releases: list[tuple[str, int | None]] = []
        self.rungs: list[tuple[str, str]] = []
        self.pings = self.pings_to_break = 0
        self.open_set_ups: dict[str, asyncio.StreamWriter] = {}  # set-ups without a result
        self.refusals: list[tuple[Frame, asyncio.StreamWriter]] = []  # rejections sent, and the connections
        self.active_sessions: set[str] = set()  # answered, completely received or not, and not released
        self.frames_on_connect: list[Frame] = []  # sent on each new connection
        self.frames_on_eof: list[Frame] = []  # sent when the node closes a connection
        self.writers: list[asyncio.StreamWriter] = []
        self._server: asyncio.Server | None = None

    async def listen(self, port: int = 0) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, port)

    @property
    def address(self) -> Address:
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()
        return host, port

    def die(self) -> None:
        """Simulates the end of the process: nothing listens, and all connections are reset."""
        assert self._server is not None
        self._server.close()
        for writer in self.writers:
            writer.transport.abort()
        self.writers.clear()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        frames = FrameReader()
        for frame in self.frames_on_connect:
            self.send_frame(frame, writer)
        try:
            while data := await reader.read(65536):
                for frame in frames.feed(data):
                    if not writer.transport.is_closing():  # unread data of a broken connection is lost
                        self._take(frame, writer)
            for frame in self.frames_on_eof:
                self.send_frame(frame, writer)
        except ConnectionError:
            pass
        finally:
            for id in [id for id, there in self.open_set_ups.items() if there is writer]:
                del self.open_set_ups[id]  # a closed connection ends the set-ups that are open on it
            if writer in self.writers:
                self.writers.remove(writer)
            writer.close()

    def _take(self, frame: Frame, writer: asyncio.StreamWriter) -> None:
        if frame.type is FrameType.SETUP:
            self.setups.append(frame)
            assert frame.session not in self.open_set_ups, "two attempts in flight at one server"
            self.open_set_ups[frame.session] = writer
            self.perform(self.script.pop(0) if self.script else "answer", frame.session, writer)
        elif frame.type is FrameType.RELEASE:
            self.releases.append((frame.session, frame.cause))
            self.open_set_ups.pop(frame.session, None)
            self.active_sessions.discard(frame.session)
        elif frame.type is FrameType.RATE:
            self.rungs.append((frame.session, frame.text_parameter(ParameterCode.RUNG)))
        elif frame.type is FrameType.PING:
            self.pings += 1
            if self.pings <= self.pings_to_break:
                writer.transport.abort()
                return
            self.send_frame(Frame(FrameType.PONG, frame.session, {ParameterCode.CAUSE: b"\1"}), writer)

    def perform(self, move: str, id: str, writer: asyncio.StreamWriter) -> None:
        answer = Frame(FrameType.ANSWER, id, {ParameterCode.DESCRIPTION: f"{self.name} {id}\r\n".encode()})
        if move in ("answer", "twice", "empty", "noise", "binary", "half"):
            self.active_sessions.add(id)
        if move == "answer":
            self.send_frame(answer, writer)
        elif move == "twice":
            unknown = replace(answer, session="f" * 16)
            writer.write(encode_frame(unknown) + encode_frame(answer) + encode_frame(answer))
        elif move == "empty":
            self.send_frame(Frame(FrameType.ANSWER, id), writer)
        elif move == "noise":
            writer.write(b"\0\2\xff\xff")
        elif move == "binary":
            self.send_frame(Frame(FrameType.ANSWER, id, {ParameterCode.DESCRIPTION: b"\xff\xfe"}), writer)
        elif move == "reset":
            writer.transport.abort()
        elif move == "half":
            writer.write(encode_frame(answer)[:-5])
        elif move.isdigit():
            self.refusals.append(
                (Frame(FrameType.RELEASE, id, {ParameterCode.CAUSE: bytes((int(move),))}), writer)
            )
            self.send_frame(*self.refusals[-1])
        else:
            assert move == "silent", move
            return
        self.open_set_ups.pop(id, None)

    def finish(self, id: str) -> None:
        """Answers a set-up that was left open."""
        self.perform("answer", id, self.open_set_ups[id])

    def send_frame(self, frame: Frame, writer: asyncio.StreamWriter | None = None) -> None:
        (writer or self.writers[-1]).write(encode_frame(frame))


class FeedServer:
    """A control feed that sends numbered events, and records the subscriptions."""

    def __init__(self) -> None:
        self.subscriptions: list[int] = []
        self.writers: list[asyncio.StreamWriter] = []
        self.events: list[dict[str, Any]] = []
        self._server: asyncio.Server | None = None

    async def listen(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, 0)

    @property
    def address(self) -> Address:
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()
        return host, port

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            word, _, last = (await reader.readline()).partition(b" ")
            assert word == b"SUB"
            self.subscriptions.append(int(last))
            self.writers.append(writer)
            for event in self.events:
                if event["n"] > int(last):
                    self.send_event(event, writer)
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
            self.send_event(self.events[-1], writer)

    def send_event(self, event: object, writer: asyncio.StreamWriter | None = None) -> None:
        (writer or self.writers[-1]).write(json.dumps(event).encode() + b"\n")


class ViewerConnection:
    """A viewer connection. A second answer to an id, or the end of a session never set up, is a fault."""

    def __init__(self, scene: Scene) -> None:
        self.scene, self.messages, self.closed = scene, list[Message](), False
        self.wrong: list[str] = []

    async def open(self) -> ViewerConnection:
        self._reader, self._writer = await asyncio.open_connection(*self.scene.node.client_listener.address)
        self._task = asyncio.create_task(self._read())
        return self

    async def _read(self) -> None:
        try:
            while line := await self._reader.readline():
                message = decode_message(line.rstrip(b"\n"))
                self.messages.append(message)
                self.scene.on_message(message)
        except ConnectionError:
            pass
        self.closed = True

    def send(self, *messages: Message) -> None:
        self._writer.write(b"".join(map(encode_message, messages)))

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
        await until(lambda: self.node.client_requests.is_ready)

    def config(self, seed: int = 7) -> NodeConfig:
        lines = [self.line(name) for name in self.servers]
        first = {"n": 1, "members": {"index": 1, "snapshot": True, "endpoints": lines}}
        listen = (HOST, 0)
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
        cell = list(self.servers).index(name) % self.settings.zone_count
        return {
            "name": name, "address": f"{host}:{port}", "zone": "z", "type": "box", "group": cell,
            "status": status, "weight": 1, "since_ms": since_ms,
        }  # fmt: skip

    async def viewer(self) -> ViewerConnection:
        return await ViewerConnection(self).open()

    def on_message(self, message: Message) -> None:
        if message.type == "answer" or (message.type == "release" and message.id not in self.answers):
            if message.id in self.answers:
                self.faults.append(f"{message.id} was answered twice")
            self.answers[message.id] = message
        elif message.type == "release":
            if self.answers[message.id].type != "answer" or message.id in self.ends:
                self.faults.append(f"{message.id} was ended although it is not established")
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

    def controller_server(self, name: str) -> Any:
        return self.node.dispatcher.sessions.controller.servers[number_of(name)]

    def stop(self) -> None:
        self.node.shutdown()
        for server in self.servers.values():
            server.die()


def run_scenario(
    scenario: Callable[[Scene], Awaitable[None]],
    servers: int = 3,
    settings: Settings = PLAIN,
    sockets: int = 256,
) -> None:
    """Runs a scenario, then checks that no viewer received a message that it must not receive."""

    async def run() -> None:
        scene = Scene(settings, sockets)
        await scene.start(servers)
        try:
            await scenario(scene)
        finally:
            scene.stop()
        if scene.faults:
            raise ProtocolViolation("; ".join(scene.faults))

    asyncio.run(run())


class FarServer:
    """A media server that a test controls step by step: it accepts, reads and answers only when called."""

    def __init__(self, name: str, address: Address = (HOST, 0)) -> None:
        self.name = name
        self.lines: list[FarLine] = []  # connections accepted so far
        self.listener = socket.create_server(address)
        self.listener.setblocking(False)

    @property
    def address(self) -> Address:
        host, port = self.listener.getsockname()
        return host, port

    def accept(self) -> FarLine | None:
        """Accepts the next connection of the backlog, if there is one."""
        try:
            sock, _ = self.listener.accept()
        except OSError:  # the backlog is empty, or the listener is closed
            return None
        # The clock of a test goes on while Nagle's algorithm would hold back a message.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.lines.append(FarLine(self, sock))
        return self.lines[-1]

    def poll(self) -> None:
        """Accepts all pending connections and reads all pending messages."""
        while self.accept() is not None:
            pass
        for line in self.lines:
            line.poll()

    def setups(self) -> list[str]:
        """Returns the ids of all complete set-ups, in order on each connection."""
        self.poll()
        return [one.session for line in self.lines for one in line.received if one.type is FrameType.SETUP]

    def line_of(self, id: str) -> FarLine:
        """Returns the newest connection on which a set-up arrived."""
        self.poll()
        there = [line for line in self.lines if id in line.setups]
        return there[-1]

    def active_sessions(self) -> set[str]:
        """Returns the sessions that were answered, even in part, and not released or ended since."""
        self.poll()
        return {id for id in self.answered_sessions if id not in self.released}

    @property
    def answered_sessions(self) -> set[str]:
        return {id for line in self.lines for id in line.answered}

    @property
    def released(self) -> set[str]:
        self.poll()
        said = {one.session for line in self.lines for one in line.received if one.type is FrameType.RELEASE}
        return said | {id for line in self.lines for id in line.ended}

    def kill(self) -> None:
        """Simulates the end of the process: connections are reset, and all sessions have ended."""
        self.listener.close()
        for line in self.lines:
            line.ended |= line.answered
            line.reset()

    def close(self) -> None:
        self.listener.close()
        for line in self.lines:
            line.close()


class FarLine(Far):
    """One connection of a media server."""

    def __init__(self, server: FarServer, sock: socket.socket) -> None:
        super().__init__(sock)
        self.server, self.received = server, list[Frame]()
        self.answered, self.ended = set[str](), set[str]()
        self._frames = FrameReader()

    def poll(self) -> list[Frame]:
        """Returns the frames that arrived since the last call, and adds them to `received`."""
        came = list(self._frames.feed(self.take()))
        self.received += came
        return came

    @property
    def setups(self) -> set[str]:
        return {one.session for one in self.received if one.type is FrameType.SETUP}

    def send_frame(self, frame: Frame) -> None:
        self.write(encode_frame(frame))

    def answer(self, id: str, part: slice = slice(None)) -> bytes:
        """Writes the answer to a set-up, or a part of it, after which the session counts as answered."""
        data = encode_frame(
            Frame(FrameType.ANSWER, id, {ParameterCode.DESCRIPTION: f"{self.server.name} {id}\r\n".encode()})
        )
        self.answered.add(id)
        self.write(data[part])
        return data

    def release(self, id: str, cause: int) -> None:
        self.ended.add(id)
        self.send_frame(Frame(FrameType.RELEASE, id, {ParameterCode.CAUSE: bytes((cause,))}))


class FarFeed:
    """A control feed that a test controls step by step."""

    def __init__(self) -> None:
        self.lines: list[Far] = []
        self.subscriptions: list[bytes] = []  # the bytes that each accepted connection has sent, `SUB N`
        self.listener = socket.create_server((HOST, 0))
        self.listener.setblocking(False)

    @property
    def address(self) -> Address:
        host, port = self.listener.getsockname()
        return host, port

    def poll(self) -> list[Far]:
        """Accepts and reads all that is pending. Returns the connections accepted so far."""
        try:
            while True:
                sock, _ = self.listener.accept()
                self.lines.append(Far(sock))
                self.subscriptions.append(b"")
        except BlockingIOError:
            pass
        for at, line in enumerate(self.lines):
            self.subscriptions[at] += line.take()
        return self.lines

    def close(self) -> None:
        self.listener.close()
        for line in self.lines:
            line.close()


class FarViewer(Far):
    """A viewer connection that a test controls. Messages it must not receive are faults of its scene."""

    def __init__(self, stage: Stage) -> None:
        sock = socket.create_connection(stage.node.client_listener.address)
        super().__init__(sock)
        self.stage, self.messages = stage, list[Message]()
        self._rest = b""

    def send(self, *messages: Message) -> None:
        self.write(b"".join(map(encode_message, messages)))

    def poll(self) -> list[Message]:
        """Returns the messages that arrived since the last call, and adds them to `messages`."""
        *lines, self._rest = (self._rest + self.take()).split(b"\n")
        came = [decode_message(line) for line in lines]
        for message in came:
            self.messages.append(message)
            if message.id != NO_SESSION_ID:
                self.stage.on_message(message)
        return came


class Stage(Scene):
    """A scene without tasks of its own: the test controls every loop iteration, every byte and the clock.

    A test can make two events ready before the event loop polls, in either order (`Selected.first`), and can
    hold back readiness (`Selected.held`). All sockets are real.
    """

    def __init__(self, servers: int = 1, settings: Settings = PLAIN, sockets: int = 256) -> None:
        super().__init__(settings, sockets)
        self.loop = SteppedLoop()
        self.feed: Any = FarFeed()
        self.far: dict[str, FarServer] = {f"s-{at}": FarServer(f"s-{at}") for at in range(servers)}
        self.servers: dict[str, Any] = dict(self.far)
        self.viewers: list[FarViewer] = []

        async def begin() -> None:
            self.node = Node(self.config(), NodeLog("n", self.log), {})
            self.node.start()

        self.loop.run_until_complete(begin())
        self.loop.until(lambda: self.node.client_requests.is_ready and self.feed.poll())

    def far_viewer(self) -> FarViewer:
        """Returns a viewer whose connection the node has accepted."""
        viewer = FarViewer(self)
        self.viewers.append(viewer)
        before = len(self.node.client_listener.admission)
        self.loop.until(lambda: len(self.node.client_listener.admission) > before)
        self.loop.settle()
        return viewer

    def poll(self) -> None:
        self.feed.poll()
        for server in self.far.values():
            server.poll()
        for viewer in self.viewers:
            viewer.poll()

    def sent_to(self, id: str) -> list[str]:
        """Returns the names of the servers that received a set-up, once for each time."""
        return [name for name, server in self.far.items() for one in server.setups() if one == id]

    def set_up(self, viewer: FarViewer, **fields: object) -> tuple[str, FarLine]:
        """Sends a set-up and waits until a media server has it. Returns its id and its connection there."""
        message = self.setup(**fields)
        viewer.send(message)
        self.loop.until(lambda: self.sent_to(message.id))
        return message.id, self.far[self.sent_to(message.id)[-1]].line_of(message.id)

    def establish_session(self, viewer: FarViewer, **fields: object) -> tuple[str, FarLine]:
        """Sets up a session and waits until the viewer has its answer."""
        id, line = self.set_up(viewer, **fields)
        line.answer(id)
        self.loop.until(lambda: viewer.poll() is not None and id in self.answers)
        return id, line

    def hold_next_connect(self, step_ms: float = 0.0) -> int:
        """Runs the loop until the node connects to a server, holds that connect, and returns its descriptor.

        The clock advances by `step_ms` before each iteration.
        """
        making: list[int] = []

        def begun() -> bool:
            kept = self.loop.selected.get_map().values()
            making[:] = [one.fd for one in kept if one.events & selectors.EVENT_WRITE]
            making[:] = [fd for fd in making if fd not in self.loop.selected.held]
            self.loop.jump(0.0 if making else step_ms)
            return bool(making)

        self.loop.until(begun)
        self.loop.selected.held.add(making[0])
        self.loop.arrived(making[0], events=select.POLLOUT)
        return making[0]

    def check_settled(self) -> None:
        """Checks that no reply, session, attempt, health check or fault is left over."""
        self.loop.settle()
        self.poll()
        core, servers = self.node.dispatcher, self.node.server_pool
        assert self.faults == [] and self.loop.faults == [], (self.faults, self.loop.faults)
        assert (
            len(core.sessions.reply_ledger) == 0
            and not core._reply_callbacks
            and not self.node.client_requests.open_requests
        )
        for name, server in self.far.items():
            held = set(core.sessions.sessions_playing_at(number_of(name)))
            assert server.active_sessions() <= held, (
                f"{name} carries {server.active_sessions() - held}, which the node does not"
            )
        for endpoint in servers.endpoints.values():
            assert not endpoint.attempts and not endpoint.health_checks and not endpoint.broken_attempts, (
                endpoint
            )
        viewers, door = self.node.client_listener, self.node.client_listener.admission
        session_ends = self.node.session_ends
        tables = (
            door._silent,
            door._idle,
            door._open_requests,
            door._closing,
            door._partial_lines,
            session_ends.serving_connections,
        )
        assert all(viewers.connections.issuperset(table) for table in tables), tables
        assert not door._open_requests and not any(one.state.open_requests for one in viewers.connections)
        assert (
            set(session_ends.connection_by_session) <= set(core.sessions.records())
            and not core.sessions._table.by_ticket
        )
        taking, there = (
            (one.state.may_accept_requests for one in viewers.connections),
            (not one.over for one in self.viewers),
        )
        assert sum(taking) <= sum(there), "connections of viewers that have disconnected"

    def finish(self) -> None:
        """Stops the node, and checks that no descriptor, timer or task is left over."""
        self.node.shutdown()
        for end in (*self.viewers, self.feed, *self.far.values()):
            end.close()
        self.loop.advance(2_000)
        left = [key.fd for key in self.loop.selected.get_map().values() if key.fd != self._self_pipe()]
        assert left == [], f"descriptors {left}"
        assert self.loop.due() == [], self.loop.due()
        assert asyncio.all_tasks(self.loop) == set()
        assert self.loop.faults == [], self.loop.faults
        self.loop.close()

    def _self_pipe(self) -> int:
        return int(self.loop._ssock.fileno())


@contextmanager
def staged(servers: int = 1, settings: Settings = PLAIN, sockets: int = 256) -> Iterator[Stage]:
    """Yields a stage; then checks that it is settled, stops its node and checks for leftovers."""
    stage = Stage(servers, settings, sockets)
    yield stage
    stage.check_settled()
    stage.finish()
