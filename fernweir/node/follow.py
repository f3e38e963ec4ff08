"""The connection to the control feed. A thin shell around `feed.Feed` and `asking.Asking`."""

from __future__ import annotations

import asyncio

from fernweir.front.dispatcher import Dispatcher
from fernweir.interface import EndpointListUpdate
from fernweir.node.asking import Asking
from fernweir.node.config import Address
from fernweir.node.feed import MOST_BYTES, Feed, FeedError
from fernweir.node.jsonl import LineError, Lines
from fernweir.node.server_transport import MediaServerTransport
from fernweir.node.shared_buffer import SharedBufferProtocol


class Follower:
    """Follows one address at a time; every connection begins with the number of the last event.

    `Asking` alone knows what is under way; here is its one timer, and the connection of its newest opening.
    """

    def __init__(
        self, core: Dispatcher, feed: Feed, servers: MediaServerTransport, there: Address, seed: int
    ) -> None:
        self.core, self.feed, self.servers, self.there = core, feed, servers, there
        self._asking = Asking(seed)
        self._conn: _Connection | None = None
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        self._open()

    def stop(self) -> None:
        self._asking.stop()
        self._leave()

    def move(self, there: Address) -> None:
        """The feed is at another address from now on."""
        self.there = there
        if self._asking.moved():
            self._open()

    def tell(self, update: EndpointListUpdate) -> None:
        self.core.sessions.on_endpoint_list(self.core.now(), update)
        self.servers.on_endpoint_list(update)
        self.core.schedule_step()

    # --- what a connection says of itself ---

    def up(self, opening: int) -> bool:
        counts = self._asking.up(opening, self.core.loop.time())
        self._set_timer()
        return counts

    def lines(self, opening: int, lines: list[bytes]) -> None:
        """FeedError if one of them can't be used."""
        if not self._asking.counts(opening):
            return
        for line in lines:
            last, fresh, left_out = self.feed.last, self.feed.fresh, self.feed.left_out
            update = self.feed.line(line)
            if self.feed.left_out != left_out:
                self.core.log.warning("feed event not all of use", n=self.feed.last)
            if self.feed.fresh != fresh:
                self._asking.heard(self.core.loop.time(), self.feed.last != last)
            if update is not None:
                self.tell(update)
        self._set_timer()

    def over(self, opening: int, why: str) -> None:
        if self._asking.over(opening, self.core.loop.time()):
            self.core.log.info("feed away", why=why, last=self.feed.last)
            self._leave()

    # --- the rest ---

    def _open(self) -> None:
        opening = self._asking.open(self.core.loop.time())
        self._leave()
        if opening is not None:
            self._conn = _Connection(self, opening)
            self._conn.open(self.there)

    def _leave(self) -> None:
        conn, self._conn = self._conn, None
        if conn is not None:
            conn.close()
        self._set_timer()

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        due = self._asking.due
        self._timer = None if due is None else self.core.loop.call_at(due, self._late)

    def _late(self) -> None:
        why = self._asking.late()
        if why is None:
            self._open()
        else:
            self.over(self._asking.opening, why)


class _Connection(SharedBufferProtocol):
    """Of one opening. It says what happens to it as it happens; whether that counts is not decided here."""

    def __init__(self, follower: Follower, opening: int) -> None:
        self._follower, self._opening = follower, opening
        self._lines = Lines(MOST_BYTES)

    def open(self, there: Address) -> None:
        self._task = self._follower.core.loop.create_task(self._connect(there))

    async def _connect(self, there: Address) -> None:
        try:
            await self._follower.core.loop.create_connection(lambda: self, *there)
        except OSError as error:
            self._follower.over(self._opening, str(error))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        assert self.transport is not None
        if self._follower.up(self._opening):
            self.transport.write(b"SUB %d\n" % self._follower.feed.last)
        else:
            self.transport.abort()

    def data_received(self, data: memoryview) -> None:
        try:
            self._follower.lines(self._opening, self._lines.feed(data))
        except (FeedError, LineError) as error:
            self._follower.over(self._opening, str(error))

    def connection_lost(self, exc: Exception | None) -> None:
        self._follower.over(self._opening, str(exc) if exc is not None else "closed")

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()
        else:
            self._task.cancel()
