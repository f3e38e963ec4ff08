"""Stand-ins for one front node: media servers, a control feed and viewers, on loopback and the real clock.

The node is a separate process, started with the command of the deploy file. The stand-ins follow PROTOCOL.md;
where the page is silent they behave like a sound server, feed or viewer. A case is a coroutine that gets a
`Scene` and returns the violations that it saw.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import TextIO

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
NODE_PORTS = range(21_000, 31_000)
RULE_BROKEN, RULE_HELD, NOT_RUN = 1, 0, 2
LONGEST_S = 110.0

SETUP, ANSWER, RELEASE, NOTE, PING, PONG, RATE = 1, 9, 12, 44, 52, 53, 60
CLASS, WAIT, TITLE, NOTE_KIND, REPORT, RUNG, FIGURE, CAUSE, DESCRIPTION = 3, 6, 15, 24, 30, 36, 39, 45, 48
OVER, FULL, RESET, ERROR = 16, 34, 41, 47
_TYPE_NAMES = {
    SETUP: "setup", ANSWER: "answer", RELEASE: "release", 6: "progress", 16: "released", NOTE: "note",
    51: "move", PING: "ping", PONG: "pong", RATE: "rate",
}  # fmt: skip
TITLE_KEY = "7f3a9c21e0b4d655"
OFFER = "9d41c07a5be2f318\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"


def small_settings() -> dict[str, object]:
    """Returns settings of the size and kind that the pages show for a small deployment."""

    def category(name: str, deadline_ms: float, gain: float) -> dict[str, object]:
        return {
            "Aim": 800.0, "Deadline": deadline_ms, "Gain": gain, "Group": "all", "Idempotency": "repeatable",
            "LateValue": 0.0, "Name": name, "RepeatWindow": 5000.0, "Stream": True,
        }  # fmt: skip

    return {
        "Categories": [category("briefing", 3000.0, 3.0), category("training", 4000.0, 1.0)],
        "Discovery": "automatic",
        "Extra": {
            "Cells": 4, "ClassScale": [1.4, 1.0], "ClassTop": [4, 2], "Groups": 2,
            "KindSlots": [49, 33], "LevelWorth": [0.22, 0.44, 0.64, 0.82, 1.0], "LowestRung": [1, 0],
            "RatesKb": [286.0, 484.0, 820.0, 1388.0, 2350.0], "Seats": [5, 0], "SeenAfter": 696.143,
            "SwitchCostS": 0.4, "Tell": 2500.0, "UplinkKb": 55665.0, "WeightKb": 4585.0,
        },
        "Family": "streams",
        "Feedback": {"Names": ["x0", "x1"], "Via": "inline"},
        "Instances": 2,
        "Limits": {
            "AttemptsCap": 3, "Cancel": True, "ConnIdle": 15000.0, "ConnectTimeout": 250.0,
            "MaxRetryAfter": 1000.0, "MayProbe": True, "RetryAfter": True,
        },
        "MachineTypes": ["three-core", "two-core"],
        "Obligations": {
            "AnswerSlack": 40.0, "BudgetSpan": 10000.0, "ColdFrom": 0.4, "DrainGrace": 1000.0,
            "ExtraShare": 0.1, "Fall": 3000.0, "FallMultiple": 2.5, "FreeResends": 5.0, "WarmUp": 12000.0,
        },
        "Ordinal": 0, "Period": 10.0, "Zones": ["lagos-dc1"],
    }  # fmt: skip


def frozen_fronts_settings() -> dict[str, object]:
    """Returns settings like those of `malsafn-main`, the deployment whose fronts stand still at times."""
    settings = small_settings()
    categories, extra, limits = settings["Categories"], settings["Extra"], settings["Limits"]
    obligations = settings["Obligations"]
    assert isinstance(categories, list)
    assert isinstance(extra, dict)
    assert isinstance(limits, dict)
    assert isinstance(obligations, dict)
    research, interview = categories
    research.update(Name="research", Aim=1500.0, Deadline=5000.0, Gain=2.0)
    interview.update(Name="interview", Aim=1000.0, Deadline=4000.0, Gain=1.0)
    extra.update(
        ClassTop=[3, 2], LevelWorth=[0.23, 0.5, 0.8, 1.0], RatesKb=[214.0, 396.0, 670.0, 2010.0], Seats=[0, 0]
    )  # fmt: skip
    limits.update(AttemptsCap=5)
    obligations.update(DrainGrace=250.0, FallMultiple=4.0, Fall=1500.0)
    for key in ("BudgetSpan", "ExtraShare", "FreeResends"):
        del obligations[key]
    return settings


class Record:
    """The file `record.txt`: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, file: TextIO) -> None:
        self._file = file
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Returns the seconds since the start."""
        return time.monotonic() - self._started_at

    def write(self, who: str, text: str) -> None:
        """Writes one line."""
        self._file.write(f"{self.now():8.3f} {who:10} {text}\n")
        self._file.flush()


# --- media servers ---


@dataclass(frozen=True)
class Frame:
    """One binary message."""

    type: int
    session: str
    parameters: dict[int, bytes] = field(default_factory=dict)

    @property
    def cause(self) -> int | None:
        """The cause, or None."""
        value = self.parameters.get(CAUSE)
        return value[0] if value else None

    def __str__(self) -> str:
        """Returns the message as the record shows it."""
        name = _TYPE_NAMES.get(self.type, str(self.type))
        parts = [f"{name} {self.session}"]
        if self.cause is not None:
            parts.append(f"cause {self.cause}")
        if RUNG in self.parameters:
            parts.append(f"rung {self.parameters[RUNG].decode()}")
        if NOTE_KIND in self.parameters:
            parts.append(f"{self.parameters[NOTE_KIND].decode()} {self.parameters[FIGURE].decode()}")
        if DESCRIPTION in self.parameters:
            parts.append(f"description of {len(self.parameters[DESCRIPTION])} bytes")
        return " ".join(parts)


def encode(frame: Frame) -> bytes:
    """Encodes a message."""
    body = b"".join(struct.pack(">BH", code, len(value)) + value for code, value in frame.parameters.items())
    return struct.pack(">HBQ", 9 + len(body), frame.type, int(frame.session, 16)) + body


def decode(body: bytes) -> Frame:
    """Decodes a message without its length."""
    kind, session = struct.unpack_from(">BQ", body)
    parameters, at = {}, 9
    while at < len(body):
        code, size = struct.unpack_from(">BH", body, at)
        parameters[code] = body[at + 3 : at + 3 + size]
        at += 3 + size
    return Frame(kind, f"{session:016x}", parameters)


class MediaServer:
    """A sound media server.

    Attributes:
        name: Its name on the list.
        standing: The sessions that it plays, with the connection of the set-up (None once that ended).
        setups: The times and messages of the set-ups that arrived.
        refuses: Whether it turns set-ups away as full or draining.
        stands_still: Whether it answers no set-up; its connections stay open and are accepted.
        idle_s: The time after which it closes an idle connection.
    """

    def __init__(self, record: Record, name: str, group: int = 0) -> None:
        self.name, self.group, self.port = name, group, 0
        self.standing: dict[str, asyncio.StreamWriter | None] = {}
        self.setups: list[tuple[float, Frame]] = []
        self.writers: list[asyncio.StreamWriter] = []
        self.refuses = False
        self.stands_still = False
        self.reports_every_s = 2.5
        self.idle_s = 15.0
        self._record = record
        self._listener: asyncio.Server | None = None
        self._reporting: asyncio.Task[None] | None = None
        self._used_at: dict[asyncio.StreamWriter, float] = {}
        self._ends: list[Frame] = []  # to be sent on the next connection that opens

    async def listen(self, port: int = 0) -> None:
        """Starts to accept connections."""
        self._listener = await asyncio.start_server(self._serve, HOST, port)
        self.port = self._listener.sockets[0].getsockname()[1]
        if self._reporting is None:
            self._reporting = asyncio.create_task(self._report())

    def stop_listening(self) -> None:
        """Closes the listening socket: new connections are refused, open ones go on."""
        assert self._listener is not None
        self._listener.close()
        self._record.write(self.name, "accepts no new connection from now on; the open ones go on")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        number = len(self.writers) - 1
        self._record.write(self.name, f"connection {number} accepted")
        self._used_at[writer] = time.monotonic()
        ends, self._ends = self._ends, []
        for frame in ends:
            self.send(frame, writer)
        try:
            while True:
                size = struct.unpack(">H", await reader.readexactly(2))[0]
                body = await reader.readexactly(size)
                self._used_at[writer] = time.monotonic()
                await self._handle(decode(body), writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            self._record.write(self.name, f"connection {number} has ended")
        finally:
            for session, carrier in self.standing.items():
                if carrier is writer:
                    self.standing[session] = None
            writer.close()

    async def _handle(self, frame: Frame, writer: asyncio.StreamWriter) -> None:
        self._record.write(self.name, f"got  {frame}")
        if frame.type == PING:
            self.send(Frame(PONG, frame.session, {CAUSE: b"\1", REPORT: b"x0:0.2;x1:0.2"}), writer)
        elif frame.type == RELEASE:
            self.standing.pop(frame.session, None)
        elif frame.type == SETUP:
            self.setups.append((self._record.now(), frame))
            await asyncio.sleep(0.05)
            if self.stands_still:
                self._record.write(self.name, "stands still")
            elif self.refuses:
                self.send(Frame(RELEASE, frame.session, {CAUSE: bytes((FULL,))}), writer)
            else:
                self.answer(frame, writer)

    def answer(self, frame: Frame, writer: asyncio.StreamWriter) -> None:
        """Answers a set-up: the session stands."""
        self.standing[frame.session] = writer
        description = self.description(frame.session).encode()
        self.send(Frame(ANSWER, frame.session, {REPORT: b"x0:0.2;x1:0.2", DESCRIPTION: description}), writer)

    def description(self, session: str) -> str:
        """Returns the description of the answer for a session."""
        return f"{self.name} {session}\r\n"

    def send(self, frame: Frame, writer: asyncio.StreamWriter) -> None:
        """Sends a message on a connection."""
        self._record.write(self.name, f"sent {frame}")
        self._used_at[writer] = time.monotonic()
        writer.write(encode(frame))

    def carrier(self, session: str) -> asyncio.StreamWriter | None:
        """Returns the connection for what concerns a session: that of its set-up, else any open one."""
        own = self.standing.get(session)
        open_ones = [writer for writer in self.writers if not writer.is_closing()]
        return own if own in open_ones else (open_ones[-1] if open_ones else None)

    def release(self, session: str, cause: int) -> None:
        """Ends a session that stands. The release is also sent on the next connection that opens."""
        writer = self.carrier(session)
        del self.standing[session]
        frame = Frame(RELEASE, session, {CAUSE: bytes((cause,))})
        self._ends.append(frame)
        if writer is not None:
            self.send(frame, writer)
        else:
            self._record.write(self.name, f"has no connection for {frame}")

    async def _report(self) -> None:
        """Tells now and then how full the link is, on one of the sessions, and closes idle connections."""
        while True:
            await asyncio.sleep(self.reports_every_s)
            for writer in self.writers:
                if not writer.is_closing() and time.monotonic() - self._used_at[writer] > self.idle_s:
                    writer.close()
            for session in list(self.standing)[:1]:
                writer = self.carrier(session)
                if writer is not None:
                    self.send(Frame(NOTE, session, {NOTE_KIND: b"port", FIGURE: b"0.2"}), writer)
                    self.send(Frame(NOTE, session, {NOTE_KIND: b"spine", FIGURE: b"0.2"}), writer)

    def vanish(self) -> None:
        """Goes silent: it reads nothing and sends nothing from now on; its open connections stay open."""
        self._record.write(self.name, "has vanished: its open connections stay open and silent")
        if self._reporting is not None:
            self._reporting.cancel()
        assert self._listener is not None
        self._listener.close()
        for writer in self.writers:
            with suppress(RuntimeError):
                writer.transport.pause_reading()  # type: ignore[attr-defined]
        self.standing.clear()

    def listed(self, status: str = "up") -> dict[str, object]:
        """Returns its line of the list."""
        return {
            "name": self.name, "address": f"{HOST}:{self.port}", "zone": "lagos-dc1", "type": "three-core",
            "group": self.group, "status": status, "weight": 4, "since_ms": 0,
        }  # fmt: skip


# --- the control feed ---


class Feed:
    """The control feed: numbered events, and the last number once a second.

    Attributes:
        delay_s: How long the feed takes to send an event, after SUB or after the event came into the feed.
            The last number comes each second all the same.
        told_at: When each event came into the feed, in seconds of the record.
        number_lines: How many lines with the last number alone were sent.
    """

    def __init__(self, record: Record) -> None:
        self.address = ""
        self.delay_s = 0.0
        self.events: list[dict[str, object]] = []
        self.told_at: dict[int, float] = {}
        self.number_lines = 0
        self._record = record

    async def listen(self) -> None:
        """Starts to accept subscribers."""
        listener = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{listener.sockets[0].getsockname()[1]}"

    def add(self, *endpoints: dict[str, object], snapshot: bool = False) -> None:
        """Adds an event to the feed."""
        number = len(self.events) + 1
        members = {"index": number, "snapshot": snapshot, "endpoints": list(endpoints)}
        self.events.append({"n": number, "members": members})
        self.told_at[number] = self._record.now()
        changes = ", ".join(f"{one['name']} {one['status']} at {one['address']}" for one in endpoints)
        self._record.write("feed", f"event {number}: {changes}")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, ValueError, asyncio.CancelledError):
            sent = int((await reader.readline()).split()[1])
            self._record.write("feed", f"SUB {sent}")
            ended = asyncio.create_task(_read_to_end(reader))
            subscribed_at = self._record.now()
            next_number_at = subscribed_at + 1.0
            done: set[asyncio.Task[None]] = set()
            while not done:
                while sent < len(self.events) and self._is_due(sent + 1, subscribed_at):
                    writer.write(json.dumps(self.events[sent]).encode() + b"\n")
                    sent += 1
                    self._record.write("feed", f"sent event {sent}")
                if self._record.now() >= next_number_at:
                    writer.write(b"%d\n" % len(self.events))
                    if sent < len(self.events):
                        self._record.write("feed", f"sent the last number, {len(self.events)}")
                    self.number_lines += 1
                    next_number_at += 1.0
                done, _ = await asyncio.wait([ended], timeout=0.05)
            self._record.write("feed", "the subscriber has closed its connection")
        writer.close()

    def _is_due(self, number: int, subscribed_at: float) -> bool:
        return self._record.now() >= max(subscribed_at, self.told_at[number]) + self.delay_s


async def _read_to_end(reader: asyncio.StreamReader) -> None:
    with suppress(OSError):
        await reader.read()


# --- viewers ---


class Viewer:
    """One connection of viewers to the node.

    Attributes:
        messages: What arrived, with the times.
        is_over: Whether the node has closed the connection.
    """

    def __init__(self, record: Record, name: str) -> None:
        self.name = name
        self.messages: list[tuple[float, dict[str, object]]] = []
        self.unreadable: list[int] = []
        self.is_over = False
        self._record = record
        self._reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self, address: str) -> None:
        """Connects to the node."""
        host, port = address.split(":")
        self._reader, self.writer = await asyncio.open_connection(host, int(port), limit=1 << 20)
        self._reading = asyncio.create_task(self._read())

    async def _read(self) -> None:
        assert self._reader is not None
        with suppress(OSError):
            while line := await self._reader.readline():
                if len(line) > 16 * 1024:  # PROTOCOL: a message holds at most 16 KiB
                    self._record.write(self.name, f"got  a line of {len(line)} bytes, which can't be read")
                    self.unreadable.append(len(line))
                    continue
                message = json.loads(line)
                self._record.write(self.name, f"got  {_shown(message)}")
                self.messages.append((self._record.now(), message))
        self.is_over = True
        self._record.write(self.name, "the connection is closed")

    def send(self, message: dict[str, object]) -> None:
        """Sends one message."""
        assert self.writer is not None
        self._record.write(self.name, f"sent {_shown(message)}")
        self.writer.write(json.dumps(message).encode() + b"\n")

    def set_up(self, session: str, kind: str = "training", extras: str = "", **fields: str) -> None:
        """Sends a set-up."""
        known = {"class": kind, "left": "3000", "key": TITLE_KEY, "extras": extras or placement(session)}
        self.send({"type": "setup", "id": session, "fields": known | fields, "sdp": OFFER})

    def first(self, session: str, *types: str) -> tuple[float, dict[str, object]] | None:
        """Returns the first message of one of these types for a session, with its time."""
        for at, message in self.messages:
            if message["id"] == session and message["type"] in types:
                return at, message
        return None

    def close(self) -> None:
        """Closes the connection in order."""
        assert self.writer is not None
        self._record.write(self.name, "closes its connection")
        self.writer.close()


def placement(session: str, home: int = 0, copies: int = 4, top: int = 3) -> str:
    """Returns the field `extras` of a set-up."""
    return f"home:{home};copies:{copies};top:{top};viewer:{int(session, 16) ^ 0xB4D65521:016x}"


def _shown(message: dict[str, object]) -> str:
    text = json.dumps(message)
    return text if len(text) < 300 else f"{text[:300]}..."


# --- the node and the case ---


class Scene:
    """A node with its surroundings.

    Attributes:
        record: The record of the case.
        feed: The control feed.
        has_trouble: Whether the disruption of the case takes place.
    """

    def __init__(self, record: Record, folder: Path) -> None:
        self.record, self._folder = record, folder
        self.feed = Feed(record)
        self.servers: list[MediaServer] = []
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.settings = small_settings()
        self.address = ""
        self.node: asyncio.subprocess.Process | None = None
        self._log: asyncio.Task[None] | None = None
        self._session_count = 0

    def server(self, name: str, group: int = 0) -> MediaServer:
        """Returns a new media server, which does not listen yet."""
        server = MediaServer(self.record, name, group)
        self.servers.append(server)
        return server

    async def start_servers(self, count: int) -> None:
        """Starts media servers in four groups, and puts the list of them into the feed."""
        for index in range(count):
            await self.server(f"s-{index + 1}", index % 4).listen()
        self.feed.add(*(server.listed() for server in self.servers), snapshot=True)

    def new_session(self) -> str:
        """Returns a new session id."""
        self._session_count += 1
        return f"9b1f03aa5c7e{self._session_count:04x}"

    async def viewer(self, name: str) -> Viewer:
        """Returns a new connection of viewers."""
        viewer = Viewer(self.record, name)
        await viewer.connect(self.address)
        return viewer

    async def start_node(self) -> None:
        """Starts the node with the command of the deploy file, and waits until it passes a test."""
        self.address = f"{HOST}:{_free_port()}"
        body = {
            "name": "n3", "listen": self.address, "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "feed": self.feed.address,
            "known": {"n": len(self.feed.events), "events": list(self.feed.events)},
            "settings": self.settings,
        }  # fmt: skip
        file = self._folder / "config.json"
        file.write_text(json.dumps(body))
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        variables = {"ROUTER_NAME": "n3", "ROUTER_LISTEN": self.address, "ROUTER_CONFIG": str(file)}
        self.node = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command, cwd=ROOT, stderr=asyncio.subprocess.PIPE,
            env=os.environ | variables | {"TMPDIR": str(self._folder)},
        )  # fmt: skip
        self.record.write("node", f"started: {command}")
        self._log = asyncio.create_task(self._copy_log())
        async with asyncio.timeout(15.0):
            passed = False
            while not passed:
                passed = await self._passes_test()

    async def _copy_log(self) -> None:
        assert self.node is not None
        assert self.node.stderr is not None
        while line := await self.node.stderr.readline():
            self.record.write("node log", line.decode(errors="replace").strip())

    async def _passes_test(self) -> bool:
        try:
            tester = await self.viewer("tester")
        except OSError:
            await asyncio.sleep(0.1)
            return False
        tester.send({"type": "ping", "id": "00000000000000aa", "fields": {}, "cause": 0})
        await asyncio.sleep(0.1)
        passed = any(message.get("cause") == 1 for _, message in tester.messages)
        tester.close()
        return passed

    async def until(self, condition: Callable[[], object], seconds: float) -> bool:
        """Waits until a condition holds; False if it does not within that time."""
        deadline = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > deadline:
                return False
            await asyncio.sleep(0.01)
        return True

    def is_node_up(self) -> bool:
        """Whether the node's process runs."""
        return self.node is not None and self.node.returncode is None

    async def stop(self) -> None:
        """Ends the node."""
        if self.node is not None and self.node.returncode is None:
            self.node.send_signal(signal.SIGCONT)
            self.node.kill()
            await self.node.wait()
        if self._log is not None:
            await self._log


def _free_port() -> int:
    """Returns a port below those that the kernel gives to clients, so that it stays free until it is used."""
    start = os.getpid() % len(NODE_PORTS)
    for offset in range(len(NODE_PORTS)):
        port = NODE_PORTS[(start + offset) % len(NODE_PORTS)]
        with socket.socket() as probe, suppress(OSError):
            probe.bind((HOST, port))
            return port
    raise OSError("no free port")


class CaseNotRunError(Exception):
    """Raised when the case could not be played, so that it says nothing about the rule."""


Case = Callable[[Scene], Awaitable[list[str]]]


async def _play(case: Case, record: Record) -> int:
    with tempfile.TemporaryDirectory() as folder:
        scene = Scene(record, Path(folder))
        record.write("case", "with the disruption" if scene.has_trouble else "without the disruption")
        try:
            await scene.feed.listen()
            async with asyncio.timeout(LONGEST_S):
                violations = await case(scene)
            if not scene.is_node_up():
                violations = [*violations, "the node's process has ended"]
        finally:
            await scene.stop()
    for violation in violations:
        record.write("VIOLATION", violation)
        print(violation)
    record.write("case", "the rule was broken" if violations else "the rule held")
    return RULE_BROKEN if violations else RULE_HELD


def play(case: Case, folder: Path) -> int:
    """Plays a case, writes `record.txt` and returns the exit code."""
    with (folder / "record.txt").open("w") as file:
        record = Record(file)
        try:
            return asyncio.run(_play(case, record))
        except Exception:  # noqa: BLE001 - whatever prevents the case is no verdict
            record.write("case", "could not run: " + traceback.format_exc())
            traceback.print_exc(file=sys.stderr)
            return NOT_RUN
