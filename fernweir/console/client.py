"""Connects a control client to the state that the console shows."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

from fernweir.appliance.layout import Layout
from fernweir.console.state import ConsoleState
from fernweir.control.client import ControlClient, ControlError
from fernweir.journal.events import EntryError, from_row

_HISTORY_ENTRIES = 200


def socket_path(path: Path) -> Path:
    """Returns the control socket of a unit's folder; any other path is a socket itself."""
    return Layout(path.absolute()).socket if path.is_dir() else path


class ConsoleClient:
    """Keeps `state` up to date. `start` needs a running event loop."""

    def __init__(self, path: Path, operator: str) -> None:
        self.state = ConsoleState(name=path.name)
        self.client = ControlClient(socket_path(path), operator, watch=True)
        self.client.follower.on_entry = self.state.history.add
        self.client.on_greeting = self._on_greeting
        self._created_at_s = self.client.loop.time()
        self._backfill_task: asyncio.Task[None] | None = None

    def start(self) -> None:
        self.client.start()

    def close(self) -> None:
        if self._backfill_task is not None:
            self._backfill_task.cancel()
        self.client.close()

    def refresh(self) -> ConsoleState:
        """Copies the present state of the control client to `state` and returns it."""
        client, state = self.client, self.state
        if client.follower.projection is not None:
            state.projection = client.follower.projection
        state.gauges = client.follower.gauges
        state.connected, state.disconnect_reason = client.connected, client.disconnect_reason
        state.age_s = client.loop.time() - (client.last_message_at_s or self._created_at_s)
        state.missed_count = client.follower.missed_count
        if client.hello:
            state.name = str(client.hello.get("name") or state.name)
            state.may_act = client.hello.get("may") == "act"
        return state

    async def wait_synced(self) -> ConsoleState:
        """Waits until the projection has all entries that the server had when this was called."""
        if self._backfill_task is not None:
            await self._backfill_task
        number = (await self.client.ask("overview"))["number"]
        if not self.client.follower.gauges:  # gauges are sent once a second and may not have come yet
            self.client.follower.gauges = (await self.client.ask("gauges"))["gauges"]
        while self.client.follower.projection is None or self.client.follower.projection.number < number:
            await asyncio.sleep(0.005)
        return self.refresh()

    def _on_greeting(self) -> None:
        if not self.state.history.entries:
            self._backfill_task = asyncio.ensure_future(self._load_history())

    async def _load_history(self) -> None:
        """Loads entries from before the console connected into the history."""
        try:
            rows: list[Any] = (await self.client.ask("events", limit=_HISTORY_ENTRIES))["rows"]
            self.state.history.backfill([from_row(row) for row in reversed(rows)])
            journal_fault = (await self.client.ask("overview"))["journal"]["trouble"]
            self.state.journal_fault = str(journal_fault)
        except (ControlError, EntryError):
            pass
