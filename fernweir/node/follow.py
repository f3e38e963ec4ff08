"""The connection to the control feed. A thin shell around `feed.Feed`."""

from __future__ import annotations

import asyncio
from random import Random

from fernweir.front.core import Core
from fernweir.interface import ListUpdate
from fernweir.node.buffer import Shell
from fernweir.node.config import Address
from fernweir.node.feed import MOST_BYTES, Feed, FeedError
from fernweir.node.jsonl import LineError, Lines
from fernweir.node.servers import Servers

_CONNECT_S = 1.0
_SILENCE_S = 1.8  # the feed says its last number each second (PROTOCOL, The control feed)
_PAUSE_S, _LONGEST_PAUSE_S = 0.05, 0.8


class Follower:
    """Follows one address at a time; every connection begins with the number of the last event."""

    def __init__(self, core: Core, feed: Feed, servers: Servers, there: Address, seed: int) -> None:
        self.core, self.feed, self.servers, self.there = core, feed, servers, there
        self._dice = Random(seed)
        self._conn: _Connection | None = None
        self._task: asyncio.Task[None] | None = None
        self._again: asyncio.TimerHandle | None = None
        self._tries = 0
        self._stopped = False

    def start(self) -> None:
        self._open()

    def stop(self) -> None:
        self._stopped = True
        self._drop()

    def move(self, there: Address) -> None:
        """The feed is at another address from now on."""
        self.there, self._tries = there, 0
        self._drop()
        self._open()

    def tell(self, update: ListUpdate) -> None:
        self.core.host.box_list(self.core.now(), update)
        self.servers.listed(update)
        self.core.kick()

    def line(self, line: bytes) -> None:
        update = self.feed.line(line)
        self._tries = 0
        if update is not None:
            self.tell(update)

    def ended(self, conn: _Connection, why: str) -> None:
        if conn is not self._conn or self._stopped:
            return
        self._conn = None
        self._later(why)

    def _later(self, why: str) -> None:
        pause = min(_PAUSE_S * 2.0**self._tries, _LONGEST_PAUSE_S) * (0.5 + self._dice.random())
        self._tries += 1
        self.core.log.info("feed away", why=why, last=self.feed.last)
        self._again = self.core.loop.call_later(pause, self._open)

    def _open(self) -> None:
        if not self._stopped:
            self._task = self.core.loop.create_task(self._connect())

    async def _connect(self) -> None:
        conn = _Connection(self)
        try:
            async with asyncio.timeout(_CONNECT_S):
                await self.core.loop.create_connection(lambda: conn, *self.there)
        except (OSError, TimeoutError) as error:
            self._later(str(error) or "no connection in time")
            return
        self._conn = conn

    def _drop(self) -> None:
        if self._again is not None:
            self._again.cancel()
        if self._task is not None:
            self._task.cancel()
        conn, self._conn = self._conn, None
        if conn is not None:
            conn.end("left")


class _Connection(Shell):
    def __init__(self, follower: Follower) -> None:
        self._follower = follower
        self._lines = Lines(MOST_BYTES)
        self._silence: asyncio.TimerHandle | None = None
        self._why = "closed"

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        assert self.transport is not None
        self.transport.write(b"SUB %d\n" % self._follower.feed.last)
        self._hear()

    def bytes_came(self, data: memoryview) -> None:
        try:
            lines = self._lines.feed(data)
            for line in lines:
                if not self.usable:
                    return
                self._follower.line(line)
        except (FeedError, LineError) as error:
            self.end(str(error))
            return
        if lines:
            self._hear()

    def _hear(self) -> None:
        if self._silence is not None:
            self._silence.cancel()
        self._silence = self._follower.core.loop.call_later(_SILENCE_S, self.end, "silent")

    def end(self, why: str) -> None:
        self._why = why
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        if self._silence is not None:
            self._silence.cancel()
        self._follower.ended(self, str(exc) if exc is not None else self._why)
