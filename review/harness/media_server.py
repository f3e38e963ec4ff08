"""A media server that behaves as the protocol page says. Cases override single steps."""

from __future__ import annotations

import asyncio
import struct
from contextlib import suppress

from harness.node import Address, free_address
from harness.record import Record

SETUP, ANSWER, RELEASE, RELEASED, NOTE, PING, PONG, RATE = 1, 9, 12, 16, 44, 52, 53, 60
NAMES = {
    SETUP: "setup",
    ANSWER: "answer",
    RELEASE: "release",
    RELEASED: "released",
    NOTE: "note",
    PING: "ping",
    PONG: "pong",
    RATE: "rate",
}
CLASS, WAIT, TITLE, NOTE_NAME, REPORT, RUNG, LEVEL, CAUSE, DESCRIPTION = 3, 6, 15, 24, 30, 36, 39, 45, 48
_HEADER = struct.Struct(">HBQ")
_PARAMETER = struct.Struct(">BH")
NOTE_INTERVAL_S = 2.5


def encode(kind: int, session: str, parameters: dict[int, bytes]) -> bytes:
    """Returns a binary message."""
    body = b"".join(_PARAMETER.pack(code, len(value)) + value for code, value in parameters.items())
    return _HEADER.pack(9 + len(body), kind, int(session, 16)) + body


class Connection:
    """One connection from a front node.

    Attributes:
        is_open: Whether messages can be sent on it.
    """

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self.writer = writer
        self.is_open = True

    def send(self, data: bytes) -> None:
        """Writes bytes, unless the connection has ended."""
        if self.is_open and not self.writer.is_closing():
            self.writer.write(data)


class MediaServer:
    """One media server, which answers every set-up and plays it until it is released.

    Args:
        record: The record of the run.
        name: Its name on the list.
        group: Its cell.

    Attributes:
        set_ups: The time and the session of each set-up that arrived completely.
        sessions: The standing sessions, with the connections of their set-ups.
    """

    def __init__(self, record: Record, name: str, group: int = 0) -> None:
        self.record = record
        self.name = name
        self.group = group
        self.address: Address = free_address()
        self.set_ups: list[tuple[float, str]] = []
        self.rungs: dict[str, int] = {}
        self.sessions: dict[str, Connection] = {}
        self.releases: list[tuple[float, str]] = []
        self.connections: list[Connection] = []
        self._unsent_releases: dict[str, bytes] = {}
        self._server: asyncio.Server | None = None
        self._notes: asyncio.Task[None] | None = None

    def entry(self, status: str = "up", since_ms: int = 0) -> dict[str, object]:
        """Returns the server's line of an event."""
        return {
            "name": self.name, "address": f"{self.address[0]}:{self.address[1]}", "zone": "lagos-dc1",
            "type": "three-core", "group": self.group, "status": status, "weight": 4, "since_ms": since_ms,
        }  # fmt: skip

    async def start(self) -> None:
        """Listens at its address."""
        self._server = await asyncio.start_server(self._serve, *self.address)
        self._notes = asyncio.create_task(self._send_notes())

    async def stop(self) -> None:
        """Closes all connections."""
        if self._notes is not None:
            self._notes.cancel()
        if self._server is not None:
            self._server.close()
        for connection in self.connections:
            connection.writer.close()

    # --- what cases override ---

    async def on_set_up(self, connection: Connection, session: str, parameters: dict[int, bytes]) -> None:
        """Answers a set-up: the session stands from then on."""
        await asyncio.sleep(0.02)
        if session in self.rungs:  # not given up in the meantime
            self.accept(connection, session)

    def accept(self, connection: Connection, session: str) -> None:
        """Sends an answer."""
        self.sessions[session] = connection
        text = f"{session}\r\nc=IN IP4 {self.address[0]}\r\nm=audio 31000 RTP/AVP 0\r\n"
        self.send(connection, ANSWER, session, {DESCRIPTION: text.encode(), REPORT: b"x0:0.1;x1:0.1"})

    def refuse(self, connection: Connection, session: str, cause: int) -> None:
        """Sends a release in place of an answer."""
        self.rungs.pop(session, None)
        self.send(connection, RELEASE, session, {CAUSE: bytes((cause,)), REPORT: b"x0:0.1;x1:0.1"})

    # --- sending ---

    def send(self, connection: Connection, kind: int, session: str, parameters: dict[int, bytes]) -> None:
        """Writes a message and records it."""
        cause = parameters.get(CAUSE)
        shown = "" if cause is None else f" cause {cause[0]}"
        self.record.write(self.name, f"-> node  {NAMES[kind]} {session}{shown}")
        connection.send(encode(kind, session, parameters))

    def end_session(self, session: str, cause: int = 16) -> None:
        """Ends a standing session: on its connection, else on any open one, and on the next that opens."""
        home = self.sessions.pop(session)
        self.rungs.pop(session, None)
        usable = [one for one in (home, *self.connections) if one.is_open and not one.writer.is_closing()]
        parameters = {CAUSE: bytes((cause,))}
        if usable:
            self.send(usable[0], RELEASE, session, parameters)
        self._unsent_releases[session] = encode(RELEASE, session, parameters)

    async def _send_notes(self) -> None:
        while True:
            await asyncio.sleep(NOTE_INTERVAL_S)
            usable = [one for one in self.connections if one.is_open and not one.writer.is_closing()]
            if self.sessions and usable:
                session = next(iter(self.sessions))
                home = self.sessions[session]
                for name in (b"port", b"spine"):
                    note = encode(NOTE, session, {NOTE_NAME: name, LEVEL: b"0.1"})
                    (home if home in usable else usable[0]).send(note)

    # --- receiving ---

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = Connection(writer)
        self.connections.append(connection)
        self.record.write(self.name, "connection accepted")
        for data in self._unsent_releases.values():
            connection.send(data)
        self._unsent_releases.clear()
        tasks: set[asyncio.Task[None]] = set()
        with suppress(asyncio.IncompleteReadError, OSError):
            while True:
                length = int.from_bytes(await reader.readexactly(2), "big")
                self._handle(connection, await reader.readexactly(length), tasks)
        connection.is_open = False
        self.connections.remove(connection)
        self.record.write(self.name, "connection ended")
        for task in tasks:  # a closed connection gives up the set-ups open on it
            task.cancel()
        writer.close()

    def _handle(self, connection: Connection, body: bytes, tasks: set[asyncio.Task[None]]) -> None:
        kind, session = body[0], f"{int.from_bytes(body[1:9], 'big'):016x}"
        parameters, offset = {}, 9
        while offset < len(body):
            code, length = _PARAMETER.unpack_from(body, offset)
            offset += _PARAMETER.size
            parameters[code] = body[offset : offset + length]
            offset += length
        if kind == PING:
            connection.send(encode(PONG, session, {CAUSE: b"\1", REPORT: b"x0:0.1;x1:0.1"}))
            return
        details = {CLASS: "class", TITLE: "title", RUNG: "rung", WAIT: "wait"}
        shown = "".join(f" {details[c]} {v.decode()}" for c, v in parameters.items() if c in details)
        if CAUSE in parameters:
            shown += f" cause {parameters[CAUSE][0]}"
        self.record.write(self.name, f"<- node  {NAMES.get(kind, kind)} {session}{shown}")
        if kind == SETUP:
            self.set_ups.append((self.record.now(), session))
            self.rungs[session] = int(parameters.get(RUNG, b"0"))
            task = asyncio.create_task(self.on_set_up(connection, session, parameters))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        elif kind == RELEASE:
            self.releases.append((self.record.now(), session))
            self.rungs.pop(session, None)
            self.sessions.pop(session, None)
