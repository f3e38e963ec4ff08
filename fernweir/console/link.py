"""Between a control client and what a console shows. A thin shell."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

from fernweir.appliance.layout import Layout
from fernweir.console.live import ConsoleState
from fernweir.control.client import ControlClient, ControlError
from fernweir.journal.events import EntryError, from_row

_BACKFILL = 200


def socket_of(where: Path) -> Path:
    """A unit's folder stands for its socket."""
    return Layout(where.absolute()).socket if where.is_dir() else where


class ConsoleClient:
    """Keeps `shown` up to date; `start` it within a loop."""

    def __init__(self, where: Path, operator: str) -> None:
        self.shown = ConsoleState(name=where.name)
        self.client = ControlClient(socket_of(where), operator, watch=True)
        self.client.follower.on_entry = self.shown.history.add
        self.client.on_greeting = self._greeted
        self._since = self.client.loop.time()
        self._filling: asyncio.Task[None] | None = None

    def start(self) -> None:
        self.client.start()

    def close(self) -> None:
        if self._filling is not None:
            self._filling.cancel()
        self.client.close()

    def refresh(self) -> ConsoleState:
        """What is to be shown now."""
        client, shown = self.client, self.shown
        if client.follower.projection is not None:
            shown.projection = client.follower.projection
        shown.gauges = client.follower.gauges
        shown.connected, shown.disconnect_reason = client.connected, client.disconnect_reason
        shown.age_s = client.loop.time() - (client.last_message_at_s or self._since)
        shown.missed_count = client.follower.missed_count
        if client.hello:
            shown.name = str(client.hello.get("name") or shown.name)
            shown.may_act = client.hello.get("may") == "act"
        return shown

    async def wait_synced(self) -> ConsoleState:
        """Waits until the picture has all that the other side had when this was called."""
        if self._filling is not None:
            await self._filling
        number = (await self.client.ask("overview"))["number"]
        if not self.client.follower.gauges:  # they come by the second, and this may be the first
            self.client.follower.gauges = (await self.client.ask("gauges"))["gauges"]
        while self.client.follower.projection is None or self.client.follower.projection.number < number:
            await asyncio.sleep(0.005)
        return self.refresh()

    def _greeted(self) -> None:
        if not self.shown.history.entries:
            self._filling = asyncio.ensure_future(self._fill())

    async def _fill(self) -> None:
        """The log's first lines, from before the console came."""
        try:
            rows: list[Any] = (await self.client.ask("events", limit=_BACKFILL))["rows"]
            self.shown.history.backfill([from_row(row) for row in reversed(rows)])
            trouble = (await self.client.ask("overview"))["journal"]["trouble"]
            self.shown.journal_trouble = str(trouble)
        except (ControlError, EntryError):
            pass
