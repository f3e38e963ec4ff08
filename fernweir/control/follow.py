"""A watcher's side of the control channel, without I/O: a picture that is true as of a stated entry, or none.

Entries must follow the snapshot one by one. Whatever doesn't fit is never folded: `broken` asks the shell
for a new snapshot.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from fernweir.journal.events import Entry, EntryError, from_row
from fernweir.journal.state_projection import SessionRow, StateProjection


class Follower:
    """Feed it each line that has `watch`. `picture` is None until a snapshot is whole."""

    def __init__(self) -> None:
        self.projection: StateProjection | None = None
        self.gauges: dict[str, Any] = {}
        self.missed_count = 0  # times that entries were lost and a snapshot stood in
        self.resync_reason = ""
        self.on_entry: Callable[[Entry], None] = lambda entry: None
        self.on_snapshot: Callable[[StateProjection], None] = lambda projection: None
        self._parts: list[Mapping[str, Any]] = []
        self._of = 0

    def on_connection_lost(self) -> None:
        """The connection is gone: what is shown stays, what comes next begins with a snapshot."""
        self._parts = []

    def handle_message(self, message: Mapping[str, Any]) -> bool:
        """True if the picture changed."""
        kind = message.get("watch")
        if kind == "gauges":
            self.gauges = dict(message["gauges"])
            return True
        if kind == "missed":
            self.missed_count += 1
            return False
        try:
            return self._snapshot(message) if kind == "snapshot" else self._entries(message)
        except (KeyError, TypeError, ValueError) as error:
            self.resync_reason = f"a line that can't be read: {error!r}"
            return False

    def _snapshot(self, message: Mapping[str, Any]) -> bool:
        part = int(message["part"])
        if part == 0:
            self._parts, self._of = [], int(message["of"])
        elif part != len(self._parts):
            self.resync_reason = f"part {part} of a snapshot, {len(self._parts)} expected"
            return False
        self._parts.append(message)
        if len(self._parts) <= self._of:
            return False
        projection = StateProjection.from_plain(self._parts[0]["picture"])
        for later in self._parts[1:]:
            for plain in later["sessions"]:
                row = SessionRow.from_plain(plain)
                projection.sessions[f"{row.front}/{row.session}"] = row
        self._parts = []
        self.projection, self.resync_reason = projection, ""
        self.on_snapshot(projection)
        return True

    def _entries(self, message: Mapping[str, Any]) -> bool:
        if self.projection is None or self._parts:
            return False  # before the first snapshot is whole
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
