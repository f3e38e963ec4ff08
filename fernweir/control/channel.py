"""The server of the control socket: JSON lines in both directions on a Unix socket.

A watcher gets a snapshot and then the journal entries by number. A slow watcher delays nobody: its unsent
entries are queued up to a bound; beyond it they are all dropped, and when the watcher reads again, it gets a
message that entries are missing and a new snapshot.
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
_SESSIONS_PER_PART = 500  # sessions in one line of a snapshot
_FLUSH_INTERVAL_S = 0.05
_MAX_PENDING_ENTRIES = 5_000
_MAX_BUFFERED_BYTES = 256 * 1024
_PEER_CREDENTIALS = struct.Struct("3i")


class ControlService(Protocol):
    """Answers the requests. `handle` calls `reply` exactly once, now or later."""

    name: str
    projection: StateProjection
    journal: Journal

    def may_act(self, operator: str, uid: int) -> bool: ...
    def handle(self, operator: str, may_act: bool, request: Request, reply: Reply) -> None: ...
    def gauges(self) -> dict[str, Any]: ...


class SocketTakenError(OSError):
    """Raised when another process accepts connections on the socket."""


class ControlServer:
    """Listens on `path` with the permissions `mode`; every client that can open the socket may read."""

    def __init__(
        self, service: ControlService, path: Path, *, mode: int = 0o600, gauges_s: float = 1.0
    ) -> None:
        self.service, self.path, self.mode = service, path, mode
        self.loop = asyncio.get_running_loop()
        self.clients: set[_ClientConnection] = set()
        self._gauges_interval_s = gauges_s
        self._server: asyncio.Server | None = None
        self._inode = 0
        self._flush_timer: asyncio.TimerHandle | None = None
        self._gauge_timer: asyncio.TimerHandle | None = None

    async def listen(self) -> None:
        """Starts to listen; replaces a socket file that no process accepts connections on.

        Raises SocketTakenError if another process accepts connections on it.
        """
        if self.path.exists():
            probe_socket = socket.socket(socket.AF_UNIX)
            try:
                probe_socket.connect(str(self.path))
            except OSError:
                self.path.unlink()
            else:
                raise SocketTakenError(f"{self.path}: another process listens on this socket already")
            finally:
                probe_socket.close()
        self.path.parent.mkdir(parents=True, exist_ok=True)
        previous_umask = os.umask(0o777 & ~self.mode)
        try:
            self._server = await self.loop.create_unix_server(lambda: _ClientConnection(self), str(self.path))
        finally:
            os.umask(previous_umask)
        os.chmod(self.path, self.mode)
        self._inode = os.stat(self.path).st_ino
        self._send_gauges()

    def close(self) -> None:
        """Stops listening, removes the socket file and closes all connections."""
        for timer in (self._flush_timer, self._gauge_timer):
            if timer is not None:
                timer.cancel()
        if self._server is not None:
            # Removes the file first, and only if it is still this server's: a successor may have replaced it.
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
        """Queues an entry for all watchers. Must follow the service's projection in `Journal.watchers`."""
        watching = [client for client in self.clients if client.watching]
        if not watching:
            return
        row = orjson.dumps(to_row(entry))  # encoded once for all watchers
        for client in watching:
            client.enqueue(row)
        if self._flush_timer is None:
            self._flush_timer = self.loop.call_later(_FLUSH_INTERVAL_S, self._flush)

    def reset_watchers(self) -> None:
        """Sends each watcher a new snapshot, because new entries do not continue its last one."""
        for client in self.clients:
            client.has_missed_entries = client.watching
            client.pending.clear()
        if self._flush_timer is None:
            self._flush_timer = self.loop.call_later(_FLUSH_INTERVAL_S, self._flush)

    def _flush(self) -> None:
        self._flush_timer = None
        for client in list(self.clients):
            client.flush()

    def _send_gauges(self) -> None:
        watchers = [client for client in self.clients if client.watching and client.is_writable]
        if watchers:
            line = _encode_line({"watch": "gauges", "gauges": self.service.gauges()})
            for client in watchers:
                client.write(line)
        self._gauge_timer = self.loop.call_later(self._gauges_interval_s, self._send_gauges)


def snapshot_lines(projection: StateProjection) -> list[bytes]:
    """Encodes a snapshot in parts: first all but the sessions, then the sessions.

    All parts are encoded at once, so that they are consistent.
    """
    rows = [projection.sessions[key] for key in sorted(projection.sessions)]
    parts = [rows[at : at + _SESSIONS_PER_PART] for at in range(0, len(rows), _SESSIONS_PER_PART)]
    head = replace(projection, sessions={}).to_plain()
    lines = [_encode_line({"watch": "snapshot", "part": 0, "of": len(parts), "picture": head})]
    for number, part in enumerate(parts, 1):
        sessions = [row.to_plain() for row in part]
        lines.append(
            _encode_line({"watch": "snapshot", "part": number, "of": len(parts), "sessions": sessions})
        )
    return lines


def _encode_line(document: dict[str, Any]) -> bytes:
    return orjson.dumps(document, option=orjson.OPT_NON_STR_KEYS) + b"\n"


class _ClientConnection(asyncio.BufferedProtocol):
    """The connection of one client."""

    def __init__(self, control_server: ControlServer) -> None:
        self.control_server = control_server
        self.watching = self.has_missed_entries = False
        self.pending: list[bytes] = []
        self._paused = False
        self._buffer = bytearray(LINE_BYTES)
        self._used = 0
        self._transport: asyncio.Transport | None = None
        self._operator: str | None = None
        self._may_act = False
        self._uid = -1

    # --- asyncio protocol ---

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=_MAX_BUFFERED_BYTES)
        client_socket = transport.get_extra_info("socket")
        data = client_socket.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, _PEER_CREDENTIALS.size)
        self._uid = _PEER_CREDENTIALS.unpack(data)[1]
        self.control_server.clients.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.control_server.clients.discard(self)
        self._transport = None

    def get_buffer(self, sizehint: int) -> memoryview:
        return memoryview(self._buffer)[self._used :]

    def buffer_updated(self, nbytes: int) -> None:
        self._used += nbytes
        begin = 0
        while (end := self._buffer.find(b"\n", begin, self._used)) >= 0:
            self._on_line(bytes(self._buffer[begin:end]))
            begin = end + 1
            if self._transport is None:
                return
        self._buffer[: self._used - begin] = self._buffer[begin : self._used]
        self._used -= begin
        if self._used == LINE_BYTES:
            self._reply_and_close("", f"a line of over {LINE_BYTES} bytes")

    def pause_writing(self) -> None:
        self._paused = True

    def resume_writing(self) -> None:
        self._paused = False
        self.flush()

    # --- requests ---

    def _on_line(self, line: bytes) -> None:
        if self._operator is None:
            self._on_greeting(line)
            return
        try:
            request = RequestEnvelope.model_validate({"ask": orjson.loads(line)}).ask
        except (ValidationError, ValueError) as error:
            self._reply_invalid(line, error)
            return
        if isinstance(request, WatchEntries) or (
            isinstance(request, SimpleRequest) and request.do in ("unwatch", "snapshot")
        ):
            self._start_or_stop_watching(request)
            return
        id = request.id
        self.control_server.service.handle(
            self._operator,
            self._may_act,
            request,
            lambda response: self.write(_encode_line({"id": id, "ok": True, **response})),
        )

    def _on_greeting(self, line: bytes) -> None:
        try:
            hello = Hello.model_validate_json(line)
        except ValidationError:
            self._reply_and_close("", f'the first line must be {{"hello": {VERSION}, "operator": NAME}}')
            return
        service = self.control_server.service
        self._operator, self._may_act = hello.operator, service.may_act(hello.operator, self._uid)
        permission = "act" if self._may_act else "read"
        hello_back = {
            "hello": VERSION,
            "name": service.name,
            "may": permission,
            "number": service.projection.number,
        }
        self.write(_encode_line({**hello_back, "journal": service.journal.id, "pid": os.getpid()}))

    def _reply_invalid(self, line: bytes, error: ValueError) -> None:
        id = ""
        try:
            message = orjson.loads(line)
            id = str(message.get("id", "")) if isinstance(message, dict) else ""
        except ValueError:
            pass
        text = "not JSON"
        if isinstance(error, ValidationError):
            first = error.errors()[0]
            where = ".".join(str(part) for part in first["loc"][1:]) or "request"
            text = f"{where}: {first['msg']}"
        self.write(_encode_line({"id": id, "ok": False, "error": text}))

    def _reply_and_close(self, id: str, text: str) -> None:
        self.write(_encode_line({"id": id, "ok": False, "error": text}))
        self.close()

    def _start_or_stop_watching(self, request: SimpleRequest | WatchEntries) -> None:
        self.write(_encode_line({"id": request.id, "ok": True}))
        if request.do == "unwatch":
            self.watching = False
            self.pending.clear()
            return
        journal = self.control_server.service.journal
        if isinstance(request, WatchEntries):
            self.watching = True
            known = request.journal == journal.id and journal.first <= request.since + 1 <= journal.last + 1
            if known and journal.last - request.since <= _MAX_PENDING_ENTRIES:
                self.pending = [orjson.dumps(to_row(one)) for one in journal.entries(request.since + 1)]
                self.flush()
                return
        self._send_snapshot()

    # --- watching ---

    @property
    def is_writable(self) -> bool:
        # Checks whether writing is paused, not the buffer size: resume_writing flushes after a pause.
        return self._transport is not None and not self._paused

    def enqueue(self, row: bytes) -> None:
        if self.has_missed_entries:
            return
        self.pending.append(row)
        if len(self.pending) > _MAX_PENDING_ENTRIES:
            self.has_missed_entries = True
            self.pending.clear()

    def flush(self) -> None:
        if not self.is_writable:
            return
        if self.has_missed_entries:
            self.has_missed_entries = False
            self.write(_encode_line({"watch": "missed"}))
            self._send_snapshot()
        elif self.pending:
            rows = b",".join(self.pending)
            self.pending.clear()
            self.write(b'{"watch":"entries","rows":[' + rows + b"]}\n")

    def _send_snapshot(self) -> None:
        self.pending.clear()  # the snapshot includes these entries
        for line in snapshot_lines(self.control_server.service.projection):
            self.write(line)

    def write(self, line: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(line)

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()
