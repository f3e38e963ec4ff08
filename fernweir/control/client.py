"""A client of the control socket: requests, commands that survive a lost connection, and watching."""

from __future__ import annotations

import asyncio
import itertools
import secrets
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

import orjson

from fernweir.control.follow import Follower
from fernweir.control.messages import VERSION
from fernweir.journal.state_projection import StateProjection

_FIRST_BACKOFF_S, _MAX_BACKOFF_S = 0.1, 2.0
_MAX_LINE_BYTES = 64 << 20


class ControlError(Exception):
    """Raised when the server answers with an error or can't be reached."""


class ControlClient(asyncio.BufferedProtocol):
    """Connects, and reconnects when the connection is lost, until `close`.

    Requests without a response are sent again under their ids after a reconnect; a command is still carried
    out only once. The follower's projection stays while there is no connection; `last_message_at_s` says how
    old it is.
    """

    def __init__(
        self, path: Path, operator: str, *, watch: bool = False, max_backoff_s: float = _MAX_BACKOFF_S
    ) -> None:
        self.path, self.operator = path, operator
        self.loop = asyncio.get_running_loop()
        self.follower = Follower()
        self.hello: dict[str, Any] = {}
        self.connected = False
        self.disconnect_reason = "not connected yet"
        self.last_message_at_s = 0.0
        self.connections = 0
        self.on_change: Callable[[], None] = lambda: None
        self._is_watcher, self._max_backoff_s = watch, max_backoff_s
        self._id_numbers = itertools.count(1)
        self._id_prefix = secrets.token_hex(4)
        self._pending: dict[str, tuple[dict[str, Any], asyncio.Future[dict[str, Any]]]] = {}
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray(1 << 16)
        self._received = bytearray()
        self._closed = False
        self.journal = ""
        self.on_greeting: Callable[[], None] = lambda: None
        self._failed_attempts = 0
        self._greeted_event = asyncio.Event()
        self._connect_task: asyncio.Task[None] | None = None

    # --- requests and lifecycle ---

    def start(self) -> None:
        self._connect_task = asyncio.ensure_future(self._connect())

    def resume_from(self, journal: str, number: int) -> None:
        """Continues after an entry that an earlier process has seen; the projection is then incomplete."""
        if journal:
            self.journal, self.follower.projection = journal, StateProjection(number=number)

    async def wait_ready(self, timeout_s: float = 5.0) -> None:
        """Waits for the first greeting. Raises ControlError with the reason if there is none in time."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._greeted_event.wait()
        except TimeoutError:
            raise ControlError(f"{self.path}: {self.disconnect_reason}") from None

    def new_id(self) -> str:
        return f"{self.operator}-{self._id_prefix}-{next(self._id_numbers)}"

    async def ask(self, do: str, *, id: str | None = None, **fields: Any) -> dict[str, Any]:
        """Sends a request and returns its response, across reconnects. Raises ControlError for an error."""
        message = {"id": id or self.new_id(), "do": do, **fields}
        future: asyncio.Future[dict[str, Any]] = self.loop.create_future()
        self._pending[message["id"]] = (message, future)
        self._send(message)
        answer = await future
        if not answer.get("ok"):
            raise ControlError(str(answer.get("error", "refused")))
        return answer

    def abort_connection(self) -> None:
        """Aborts the connection; the client reconnects after a backoff."""
        self._failed_attempts += 1
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        self._closed = True
        if self._connect_task is not None:
            self._connect_task.cancel()
        if self._transport is not None:
            self._transport.close()
        for _, future in self._pending.values():
            if not future.done():
                future.set_exception(ControlError("closed"))
        self._pending.clear()

    # --- asyncio protocol ---

    async def _connect(self) -> None:
        while not self._closed:
            try:
                await self.loop.create_unix_connection(lambda: self, str(self.path))
                return
            except OSError as error:
                self.disconnect_reason = error.strerror or str(error)
                self.on_change()
            backoff_s = min(_FIRST_BACKOFF_S * 2.0**self._failed_attempts, self._max_backoff_s)
            self._failed_attempts += 1
            await asyncio.sleep(backoff_s)

    async def _reconnect(self) -> None:
        if self._failed_attempts:
            await asyncio.sleep(self._max_backoff_s)
        await self._connect()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._received.clear()
        self.connections += 1
        self._send({"hello": VERSION, "operator": self.operator})

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport, self.connected = None, False
        self.disconnect_reason = "the connection was closed"
        self.follower.on_connection_lost()
        self.on_change()
        if not self._closed:
            self._connect_task = asyncio.ensure_future(self._reconnect())

    def get_buffer(self, sizehint: int) -> bytearray:
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        self._received += memoryview(self._buffer)[:nbytes]
        if len(self._received) > _MAX_LINE_BYTES:
            self._received.clear()
            if self._transport is not None:
                self._transport.abort()
            return
        if b"\n" not in self._received[-nbytes:]:
            return
        *lines, rest = bytes(self._received).split(b"\n")
        self._received = bytearray(rest)
        for line in lines:
            self._on_message(orjson.loads(line))
        self.on_change()

    # --- messages ---

    def _on_message(self, message: Mapping[str, Any]) -> None:
        self.last_message_at_s = self.loop.time()
        if "hello" in message:
            self._on_greeting_message(message)
        elif "watch" in message:
            self.follower.handle_message(message)
            if self.follower.resync_reason:
                self.follower.resync_reason = ""
                self._send({"id": self.new_id(), "do": "snapshot"})
        elif message.get("id") in self._pending:
            _, future = self._pending.pop(message["id"])
            if not future.done():
                future.set_result(dict(message))
        elif message.get("error"):
            self.disconnect_reason = str(message["error"])

    def _on_greeting_message(self, message: Mapping[str, Any]) -> None:
        self.hello, self.connected, self._failed_attempts = dict(message), True, 0
        self._greeted_event.set()
        if self._is_watcher:
            since: dict[str, Any] = {}
            if self.follower.projection is not None and self.journal == message.get("journal"):
                since = {"since": self.follower.projection.number, "journal": self.journal}
            self.journal = str(message.get("journal", ""))
            self._send({"id": self.new_id(), "do": "watch", **since})
        for request, _ in list(self._pending.values()):
            self._send(request)
        self.on_greeting()

    def _send(self, message: Mapping[str, Any]) -> None:
        if self._transport is not None and (self.connected or "hello" in message):
            self._transport.write(orjson.dumps(message) + b"\n")
