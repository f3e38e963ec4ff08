"""The watcher's side of the control protocol, without I/O: a state projection that follows a journal.

Entries must follow the snapshot without gaps. An entry that doesn't is never applied; `resync_reason` then
says why the caller has to request a new snapshot.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from fernweir.journal.events import Entry, EntryError, from_row
from fernweir.journal.state_projection import SessionRow, StateProjection


class Follower:
    """Processes the messages that have `watch`. `projection` is None until a snapshot is complete."""

    def __init__(self) -> None:
        self.projection: StateProjection | None = None
        self.gauges: dict[str, Any] = {}
        self.missed_count = 0  # how often the server dropped entries and sent a snapshot instead
        self.resync_reason = ""
        self.on_entry: Callable[[Entry], None] = lambda entry: None
        self.on_snapshot: Callable[[StateProjection], None] = lambda projection: None
        self._snapshot_parts: list[Mapping[str, Any]] = []
        self._part_count = 0

    def on_connection_lost(self) -> None:
        """Discards an incomplete snapshot; the projection stays."""
        self._snapshot_parts = []

    def handle_message(self, message: Mapping[str, Any]) -> bool:
        """Processes a message; returns True if the projection or the gauges changed."""
        kind = message.get("watch")
        if kind == "gauges":
            self.gauges = dict(message["gauges"])
            return True
        if kind == "missed":
            self.missed_count += 1
            return False
        try:
            return self._add_snapshot_part(message) if kind == "snapshot" else self._apply_entries(message)
        except (KeyError, TypeError, ValueError) as error:
            self.resync_reason = f"a line that can't be read: {error!r}"
            return False

    def _add_snapshot_part(self, message: Mapping[str, Any]) -> bool:
        part = int(message["part"])
        if part == 0:
            self._snapshot_parts, self._part_count = [], int(message["of"])
        elif part != len(self._snapshot_parts):
            self.resync_reason = f"part {part} of a snapshot, {len(self._snapshot_parts)} expected"
            return False
        self._snapshot_parts.append(message)
        if len(self._snapshot_parts) <= self._part_count:
            return False
        projection = StateProjection.from_plain(self._snapshot_parts[0]["picture"])
        for message_part in self._snapshot_parts[1:]:
            for plain in message_part["sessions"]:
                row = SessionRow.from_plain(plain)
                projection.sessions[f"{row.front}/{row.session}"] = row
        self._snapshot_parts = []
        self.projection, self.resync_reason = projection, ""
        self.on_snapshot(projection)
        return True

    def _apply_entries(self, message: Mapping[str, Any]) -> bool:
        if self.projection is None or self._snapshot_parts:
            return False  # before the first snapshot is complete
        for row in message["rows"]:
            try:
                entry = from_row(row)
            except EntryError as error:
                self.resync_reason = str(error)
                return False
            if entry.number <= self.projection.number:
                continue
            if entry.number != self.projection.number + 1:
                self.resync_reason = f"entry {entry.number} after {self.projection.number}"
                return False
            self.projection.apply(entry)
            self.on_entry(entry)
        return True
