"""Starts the parts of a run in order, and ends them in reverse order."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from contextlib import AsyncExitStack
from typing import Any

from harness.feed import Feed
from harness.log_collector import LogCollector
from harness.media_server import MediaServer
from harness.node import FrontNode
from harness.record import Record
from harness.viewer import ViewerConnection


class Platform:
    """The control feed, the media servers, one front node and its viewers.

    Args:
        record: The record of the run.
        settings: The settings object of the node's configuration.
        servers: The media servers.
        feed: The control feed; a sound one by default.
        collector: What reads the node's log. By default the record gets the lines.
    """

    def __init__(
        self,
        record: Record,
        settings: dict[str, Any],
        servers: Sequence[MediaServer],
        feed: Feed | None = None,
        collector: LogCollector | None = None,
    ) -> None:
        self.servers = servers
        self.feed = feed or Feed(record)
        self._settings = settings
        self._collector = collector
        self._record = record
        self._node: FrontNode | None = None
        self._stack = AsyncExitStack()

    @property
    def node(self) -> FrontNode:
        """The front node, once it was started."""
        assert self._node is not None
        return self._node

    async def start(self, other_entries: Sequence[dict[str, object]] = ()) -> None:
        """Starts all parts. The first event lists the media servers and the other entries."""
        for part in (*self.servers, self.feed):
            await part.start()
            self._stack.push_async_callback(part.stop)
        self.feed.make_event([*(server.entry() for server in self.servers), *other_entries])
        standard_error = asyncio.subprocess.PIPE
        if self._collector is not None:
            await self._collector.start()
            self._stack.push_async_callback(self._collector.stop)
            standard_error = self._collector.write_end
        self._node = FrontNode(self._record, self._settings, standard_error)
        self.node.configure(self.feed.address, self.feed.events)
        self._stack.push_async_callback(self.node.stop)
        await self.node.start()

    async def connect_viewer(self, name: str) -> ViewerConnection:
        """Returns a new connection from a viewer."""
        connection = ViewerConnection(self._record, name)
        await connection.open(self.node.address)
        return connection

    async def stop(self) -> None:
        """Ends all parts."""
        await self._stack.aclose()
