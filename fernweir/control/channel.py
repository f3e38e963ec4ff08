"""The control socket: JSON lines both ways on a Unix socket, and watchers that can't slow anybody.

A watcher gets a snapshot and then entries by number. What it doesn't read piles up to a bound here; past it,
all of that is dropped, and once it reads again it is told that it missed some and gets a new snapshot.
"""

from __future__ import annotations

import asyncio
import os
import socket
import struct
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any, Protocol

import orjson
from pydantic import ValidationError

from fernweir.control.messages import (
    LINE_BYTES,
    VERSION,
    Hello,
    Request,
    RequestEnvelope,
    SimpleRequest,
    WatchEntries,
)
from fernweir.journal.events import Entry, to_row
from fernweir.journal.state_projection import StateProjection
from fernweir.journal.store import Journal

Reply = Callable[[dict[str, Any]], None]
_PART = 500  # sessions in one line of a snapshot
_FLUSH_S = 0.05
_MOST_PENDING = 5_000
_MOST_BUFFERED = 256 * 1024
_CREDENTIALS = struct.Struct("3i")


class ControlService(Protocol):
    """Who answers. `handle` calls `reply` exactly once, now or later."""

    name: str
    projection: StateProjection
    journal: Journal

    def may_act(self, operator: str, uid: int) -> bool: ...
    def handle(self, operator: str, may_act: bool, ask: Request, reply: Reply) -> None: ...
    def gauges(self) -> dict[str, Any]: ...


class SocketTakenError(OSError):
    """Another process answers on the socket."""


class ControlServer:
    """Listens on `path`; `mode` are its permissions, who can open it may read."""

    def __init__(self, desk: ControlService, path: Path, *, mode: int = 0o600, gauges_s: float = 1.0) -> None:
        self.desk, self.path, self.mode = desk, path, mode
        self.loop = asyncio.get_running_loop()
        self.clients: set[_Client] = set()
        self._gauges_s = gauges_s
        self._server: asyncio.Server | None = None
        self._inode = 0
        self._timer: asyncio.TimerHandle | None = None
        self._gauge_timer: asyncio.TimerHandle | None = None

    async def listen(self) -> None:
        """SocketTakenError if another process listens there; one that nobody answers on is replaced."""
        if self.path.exists():
            probe = socket.socket(socket.AF_UNIX)
            try:
                probe.connect(str(self.path))
            except OSError:
                self.path.unlink()
            else:
                raise SocketTakenError(f"{self.path}: somebody listens there already")
            finally:
                probe.close()
        self.path.parent.mkdir(parents=True, exist_ok=True)
        before = os.umask(0o777 & ~self.mode)
        try:
            self._server = await self.loop.create_unix_server(lambda: _Client(self), str(self.path))
        finally:
            os.umask(before)
        os.chmod(self.path, self.mode)
        self._inode = os.stat(self.path).st_ino
        self._gauge()

    def close(self) -> None:
        for timer in (self._timer, self._gauge_timer):
            if timer is not None:
                timer.cancel()
        if self._server is not None:
            # The name goes first, and only if it is still ours: a successor may have taken it already.
            try:
                if os.stat(self.path).st_ino == self._inode:
                    self.path.unlink()
            except FileNotFoundError:
                pass
            self._server.close()
            self._server = None
        for client in list(self.clients):
            client.close()

    def on_journal_entry(self, entry: Entry) -> None:
        """Fits `Journal.watchers`, behind the desk's picture."""
        watching = [client for client in self.clients if client.watching]
        if not watching:
            return
        row = orjson.dumps(to_row(entry))  # once, however many watch
        for client in watching:
            client.pend(row)
        if self._timer is None:
            self._timer = self.loop.call_later(_FLUSH_S, self._flush)

    def reset_watchers(self) -> None:
        """What watchers were told no longer follows from their snapshot: each gets a new one."""
        for client in self.clients:
            client.missed = client.watching
            client.pending.clear()
        if self._timer is None:
            self._timer = self.loop.call_later(_FLUSH_S, self._flush)

    def _flush(self) -> None:
        self._timer = None
        for client in list(self.clients):
            client.flush()

    def _gauge(self) -> None:
        watchers = [client for client in self.clients if client.watching and client.has_room]
        if watchers:
            line = _line({"watch": "gauges", "gauges": self.desk.gauges()})
            for client in watchers:
                client.write(line)
        self._gauge_timer = self.loop.call_later(self._gauges_s, self._gauge)


def snapshot_lines(projection: StateProjection) -> list[bytes]:
    """A snapshot in parts: all but the sessions first. All are encoded at once, so that they fit together."""
    rows = [projection.sessions[key] for key in sorted(projection.sessions)]
    parts = [rows[at : at + _PART] for at in range(0, len(rows), _PART)]
    rest = replace(projection, sessions={}).to_plain()
    lines = [_line({"watch": "snapshot", "part": 0, "of": len(parts), "picture": rest})]
    for number, part in enumerate(parts, 1):
        sessions = [row.to_plain() for row in part]
        lines.append(_line({"watch": "snapshot", "part": number, "of": len(parts), "sessions": sessions}))
    return lines


def _line(document: dict[str, Any]) -> bytes:
    return orjson.dumps(document, option=orjson.OPT_NON_STR_KEYS) + b"\n"


class _Client(asyncio.BufferedProtocol):
    """One connection."""

    def __init__(self, channel: ControlServer) -> None:
        self.channel = channel
        self.watching = self.missed = False
        self.pending: list[bytes] = []
        self._paused = False
        self._buffer = bytearray(LINE_BYTES)
        self._used = 0
        self._transport: asyncio.Transport | None = None
        self._operator: str | None = None
        self._may_act = False
        self._uid = -1

    # --- asyncio's side ---

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=_MOST_BUFFERED)
        sock = transport.get_extra_info("socket")
        data = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, _CREDENTIALS.size)
        self._uid = _CREDENTIALS.unpack(data)[1]
        self.channel.clients.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.channel.clients.discard(self)
        self._transport = None

    def get_buffer(self, sizehint: int) -> memoryview:
        return memoryview(self._buffer)[self._used :]

    def buffer_updated(self, nbytes: int) -> None:
        self._used += nbytes
        begin = 0
        while (end := self._buffer.find(b"\n", begin, self._used)) >= 0:
            self._take(bytes(self._buffer[begin:end]))
            begin = end + 1
            if self._transport is None:
                return
        self._buffer[: self._used - begin] = self._buffer[begin : self._used]
        self._used -= begin
        if self._used == LINE_BYTES:
            self._refuse("", f"a line of over {LINE_BYTES} bytes")

    def pause_writing(self) -> None:
        self._paused = True

    def resume_writing(self) -> None:
        self._paused = False
        self.flush()

    # --- lines ---

    def _take(self, line: bytes) -> None:
        if self._operator is None:
            self._greet(line)
            return
        try:
            ask = RequestEnvelope.model_validate({"ask": orjson.loads(line)}).ask
        except (ValidationError, ValueError) as error:
            self._bad(line, error)
            return
        if isinstance(ask, WatchEntries) or (
            isinstance(ask, SimpleRequest) and ask.do in ("unwatch", "snapshot")
        ):
            self._watch(ask)
            return
        id = ask.id
        self.channel.desk.handle(
            self._operator, self._may_act, ask, lambda said: self.write(_line({"id": id, "ok": True, **said}))
        )

    def _greet(self, line: bytes) -> None:
        try:
            hello = Hello.model_validate_json(line)
        except ValidationError:
            self._refuse("", f'the first line must be {{"hello": {VERSION}, "operator": NAME}}')
            return
        desk = self.channel.desk
        self._operator, self._may_act = hello.operator, desk.may_act(hello.operator, self._uid)
        may = "act" if self._may_act else "read"
        hello_back = {"hello": VERSION, "name": desk.name, "may": may, "number": desk.projection.number}
        self.write(_line({**hello_back, "journal": desk.journal.id, "pid": os.getpid()}))

    def _bad(self, line: bytes, error: ValueError) -> None:
        id = ""
        try:
            said = orjson.loads(line)
            id = str(said.get("id", "")) if isinstance(said, dict) else ""
        except ValueError:
            pass
        text = "not JSON"
        if isinstance(error, ValidationError):
            first = error.errors()[0]
            where = ".".join(str(part) for part in first["loc"][1:]) or "request"
            text = f"{where}: {first['msg']}"
        self.write(_line({"id": id, "ok": False, "error": text}))

    def _refuse(self, id: str, text: str) -> None:
        self.write(_line({"id": id, "ok": False, "error": text}))
        self.close()

    def _watch(self, ask: SimpleRequest | WatchEntries) -> None:
        self.write(_line({"id": ask.id, "ok": True}))
        if ask.do == "unwatch":
            self.watching = False
            self.pending.clear()
            return
        journal = self.channel.desk.journal
        if isinstance(ask, WatchEntries):
            self.watching = True
            known = ask.journal == journal.id and journal.first <= ask.since + 1 <= journal.last + 1
            if known and journal.last - ask.since <= _MOST_PENDING:
                self.pending = [orjson.dumps(to_row(one)) for one in journal.entries(ask.since + 1)]
                self.flush()
                return
        self._snapshot()

    # --- watching ---

    @property
    def has_room(self) -> bool:
        # The transport's own word, not a size: only so does the end of it wake this watcher (resume_writing).
        return self._transport is not None and not self._paused

    def pend(self, row: bytes) -> None:
        if self.missed:
            return
        self.pending.append(row)
        if len(self.pending) > _MOST_PENDING:
            self.missed = True
            self.pending.clear()

    def flush(self) -> None:
        if not self.has_room:
            return
        if self.missed:
            self.missed = False
            self.write(_line({"watch": "missed"}))
            self._snapshot()
        elif self.pending:
            rows = b",".join(self.pending)
            self.pending.clear()
            self.write(b'{"watch":"entries","rows":[' + rows + b"]}\n")

    def _snapshot(self) -> None:
        self.pending.clear()  # the picture has them
        for line in snapshot_lines(self.channel.desk.projection):
            self.write(line)

    def write(self, line: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(line)

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()
