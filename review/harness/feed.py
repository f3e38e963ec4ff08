"""The control feed: numbered events, and each second the last number."""

from __future__ import annotations

import asyncio
import json
from contextlib import suppress
from typing import Any

from harness.node import Address, free_address
from harness.record import Record

NUMBER_INTERVAL_S = 1.0


class Feed:
    """The control feed.

    Args:
        record: The record of the run.

    Attributes:
        events: All events so far.
        subscriptions: The time and the number of each `SUB`.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.address: Address = free_address()
        self.events: list[dict[str, Any]] = []
        self.subscriptions: list[tuple[float, int]] = []
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    def make_event(self, endpoints: list[dict[str, object]]) -> dict[str, Any]:
        """Appends an event without telling it; the first one is the whole list."""
        number = len(self.events) + 1
        members = {"index": number, "snapshot": number == 1, "endpoints": endpoints}
        event = {"n": number, "members": members}
        self.events.append(event)
        return event

    async def tell(self, endpoints: list[dict[str, object]]) -> float:
        """Appends an event and sends it on all connections. Returns the time."""
        event = self.make_event(endpoints)
        shown = ", ".join(f"{one['name']} {one['status']}" for one in endpoints[:4])
        more = f" and {len(endpoints) - 4} more" if len(endpoints) > 4 else ""
        self.record.write("feed", f"event {event['n']} is in the feed: {shown}{more}")
        async with self._changed:
            self._changed.notify_all()
        return self.record.now()

    async def start(self) -> None:
        """Listens at its address."""
        self._server = await asyncio.start_server(self._serve, *self.address)

    async def stop(self) -> None:
        """Closes all connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.close()

    async def before_first_line(self) -> None:
        """What happens between a `SUB` and the first line; cases override it."""

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with suppress(OSError, ValueError, IndexError):
            line = await reader.readline()
            last = int(line.split()[1])
            self.subscriptions.append((self.record.now(), last))
            self.record.write("feed", f"<- node  SUB {last}")
            sender = asyncio.create_task(self._send(writer, last))
            await reader.read()  # until the node closes
            sender.cancel()
            self.record.write("feed", "connection closed by the node")
        writer.close()
        self._writers.discard(writer)

    async def _send(self, writer: asyncio.StreamWriter, last: int) -> None:
        await self.before_first_line()
        number_due_at = self.record.now()
        with suppress(OSError):
            while True:
                for event in self.events[last:]:
                    writer.write(json.dumps(event, separators=(",", ":")).encode() + b"\n")
                    self.record.write("feed", f"-> node  event {event['n']}")
                last = len(self.events)
                if self.record.now() >= number_due_at:
                    writer.write(b"%d\n" % last)
                    number_due_at += NUMBER_INTERVAL_S
                await writer.drain()
                await self._wait_for_event_after(last, number_due_at - self.record.now())

    async def _wait_for_event_after(self, last: int, seconds: float) -> None:
        """Waits for a newer event, but at most until the next line with the last number is due."""
        with suppress(TimeoutError):
            async with asyncio.timeout(max(seconds, 0.0)), self._changed:
                await self._changed.wait_for(lambda: len(self.events) > last)
