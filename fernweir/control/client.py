"""A client of the control socket: asks, commands that survive a dropped connection, and watching."""

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

_FIRST_PAUSE_S, _LONGEST_PAUSE_S = 0.1, 2.0
_LINE = 64 << 20


class ControlError(Exception):
    """The other side refused, or can't be reached."""


class ControlClient(asyncio.BufferedProtocol):
    """Connects, and connects again when the other side went away, until `close`.

    What was asked and not answered is asked again under its id; a command is done once all the same. The
    follower's picture stays while there is no connection; `heard_at` says how old it is.
    """

    def __init__(
        self, path: Path, operator: str, *, watch: bool = False, longest_pause_s: float = _LONGEST_PAUSE_S
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
        self._watch, self._longest_pause_s = watch, longest_pause_s
        self._numbers = itertools.count(1)
        self._mark = secrets.token_hex(4)
        self._asked: dict[str, tuple[dict[str, Any], asyncio.Future[dict[str, Any]]]] = {}
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray(1 << 16)
        self._line = bytearray()
        self._closed = False
        self.journal = ""
        self.on_greeting: Callable[[], None] = lambda: None
        self._tries = 0
        self._ready = asyncio.Event()
        self._connecting: asyncio.Task[None] | None = None

    # --- for users ---

    def start(self) -> None:
        self._connecting = asyncio.ensure_future(self._connect())

    def resume_from(self, journal: str, number: int) -> None:
        """Goes on from an entry that an earlier life has seen; its picture is then not a whole one."""
        if journal:
            self.journal, self.follower.projection = journal, StateProjection(number=number)

    async def wait_ready(self, within_s: float = 5.0) -> None:
        """Waits for the first greeting. ControlError with why if there is none."""
        try:
            async with asyncio.timeout(within_s):
                await self._ready.wait()
        except TimeoutError:
            raise ControlError(f"{self.path}: {self.disconnect_reason}") from None

    def new_id(self) -> str:
        return f"{self.operator}-{self._mark}-{next(self._numbers)}"

    async def ask(self, do: str, *, id: str | None = None, **fields: Any) -> dict[str, Any]:
        """The answer, however often the connection breaks in between. ControlError if it is a refusal."""
        message = {"id": id or self.new_id(), "do": do, **fields}
        future: asyncio.Future[dict[str, Any]] = self.loop.create_future()
        self._asked[message["id"]] = (message, future)
        self._send(message)
        answer = await future
        if not answer.get("ok"):
            raise ControlError(str(answer.get("error", "refused")))
        return answer

    def abort_connection(self) -> None:
        """Breaks the connection, to try again after a pause."""
        self._tries += 1
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        self._closed = True
        if self._connecting is not None:
            self._connecting.cancel()
        if self._transport is not None:
            self._transport.close()
        for _, future in self._asked.values():
            if not future.done():
                future.set_exception(ControlError("closed"))
        self._asked.clear()

    # --- asyncio's side ---

    async def _connect(self) -> None:
        while not self._closed:
            try:
                await self.loop.create_unix_connection(lambda: self, str(self.path))
                return
            except OSError as error:
                self.disconnect_reason = error.strerror or str(error)
                self.on_change()
            pause = min(_FIRST_PAUSE_S * 2.0**self._tries, self._longest_pause_s)
            self._tries += 1
            await asyncio.sleep(pause)

    async def _connect_again(self) -> None:
        if self._tries:
            await asyncio.sleep(self._longest_pause_s)
        await self._connect()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._line.clear()
        self.connections += 1
        self._send({"hello": VERSION, "operator": self.operator})

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport, self.connected = None, False
        self.disconnect_reason = "the connection was closed"
        self.follower.on_connection_lost()
        self.on_change()
        if not self._closed:
            self._connecting = asyncio.ensure_future(self._connect_again())

    def get_buffer(self, sizehint: int) -> bytearray:
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        self._line += memoryview(self._buffer)[:nbytes]
        if len(self._line) > _LINE:
            self._line.clear()
            if self._transport is not None:
                self._transport.abort()
            return
        if b"\n" not in self._line[-nbytes:]:
            return
        *lines, rest = bytes(self._line).split(b"\n")
        self._line = bytearray(rest)
        for line in lines:
            self._take(orjson.loads(line))
        self.on_change()

    # --- lines ---

    def _take(self, message: Mapping[str, Any]) -> None:
        self.last_message_at_s = self.loop.time()
        if "hello" in message:
            self._greeted(message)
        elif "watch" in message:
            self.follower.handle_message(message)
            if self.follower.resync_reason:
                self.follower.resync_reason = ""
                self._send({"id": self.new_id(), "do": "snapshot"})
        elif message.get("id") in self._asked:
            _, future = self._asked.pop(message["id"])
            if not future.done():
                future.set_result(dict(message))
        elif message.get("error"):
            self.disconnect_reason = str(message["error"])

    def _greeted(self, message: Mapping[str, Any]) -> None:
        self.hello, self.connected, self._tries = dict(message), True, 0
        self._ready.set()
        if self._watch:
            since: dict[str, Any] = {}
            if self.follower.projection is not None and self.journal == message.get("journal"):
                since = {"since": self.follower.projection.number, "journal": self.journal}
            self.journal = str(message.get("journal", ""))
            self._send({"id": self.new_id(), "do": "watch", **since})
        for asked, _ in list(self._asked.values()):
            self._send(asked)
        self.on_greeting()

    def _send(self, message: Mapping[str, Any]) -> None:
        if self._transport is not None and (self.connected or "hello" in message):
            self._transport.write(orjson.dumps(message) + b"\n")
