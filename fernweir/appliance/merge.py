"""Merges the journals of several fronts into the journal of the unit.

Each entry of a front is added once, in the front's order, under a number of the unit's journal. The module
does no I/O. Every merged entry carries the number that it has in the front's journal, so that the position in
each front's journal is recovered even after the unit was killed. If a front's entries are not available one
by one, the merger adds the front's present state as a new start of that front: projections then stay correct,
though a part of the history is missing.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from fernweir.journal.events import Entry, EventKind
from fernweir.journal.state_projection import StateProjection
from fernweir.journal.store import Journal

_SKIPPED_KINDS = (EventKind.ORDER,)  # only the orders in the unit's own journal count


@dataclass(slots=True)
class JournalPosition:
    """The last merged entry of a front: the id of its journal, and the entry's number there."""

    journal: str = ""
    number: int = 0


class JournalMerger:
    """Adds the entries of fronts to `journal`; `positions` maps each front to its last merged entry."""

    def __init__(self, journal: Journal) -> None:
        self.journal = journal
        self.positions: dict[str, JournalPosition] = {}

    def recover(self) -> None:
        """Rebuilds the position in each front's journal from the unit's journal."""
        for entry in self.journal.entries(self.journal.first):
            if entry.front and "n" in entry.more:
                self.positions[entry.front] = JournalPosition(
                    str(entry.more.get("j", "")), int(entry.more["n"])
                )

    def position_of(self, front: str) -> JournalPosition:
        """Returns the last merged entry of a front; number 0 if there is none."""
        return self.positions.get(front, JournalPosition())

    def add_entry(self, front: str, journal: str, entry: Entry) -> None:
        """Adds an entry of a front's journal, unless it was added before."""
        position = self.positions.setdefault(front, JournalPosition())
        if position.journal == journal and entry.number <= position.number:
            return
        position.journal, position.number = journal, entry.number
        if entry.what in _SKIPPED_KINDS:
            return
        fields = {
            name: getattr(entry, name)
            for name in ("session", "title", "cls", "tenant", "server", "attempt", "rung", "why")
        }
        self._add(front, entry.at, entry.what, {**entry.more, "n": entry.number, "j": journal}, **fields)

    def add_snapshot(self, front: str, journal: str, projection: StateProjection) -> None:
        """Adds the present state of a front as a new start of that front."""
        self.positions[front] = JournalPosition(journal, projection.number)
        origin = {"n": projection.number, "j": journal}
        at = projection.at
        self._add(front, at, EventKind.FRONT, {"seen": True, **origin}, why="up")
        for server_row in projection.servers.values():
            if server_row.listed != "unlisted":
                self._add(
                    front,
                    at,
                    EventKind.SERVER,
                    {"start": server_row.start, **origin},
                    server=server_row.server,
                    why=server_row.listed,
                )
            if server_row.silent:
                self._add(front, at, EventKind.SILENT, origin, server=server_row.server)
        for row in projection.sessions.values():
            fields: dict[str, Any] = {
                "session": row.session, "title": row.title, "cls": row.cls, "tenant": row.tenant
            }  # fmt: skip
            self._add(front, at, EventKind.REQUESTED, origin, **fields)
            if row.phase != "asked":
                fields |= {
                    "server": row.server,
                    "attempt": row.attempt,
                    "rung": row.rung,
                }
                self._add(front, at, EventKind.SETUP, origin, why=row.why, **fields)
                if row.phase == "playing":
                    self._add(front, at, EventKind.STARTED, origin, **fields)

    def mark_front_down(self, front: str, at: int) -> None:
        """Records that the front's process has exited, which ends its sessions."""
        position = self.position_of(front)
        self._add(front, at, EventKind.FRONT, {"n": position.number, "j": position.journal}, why="down")

    def _add(self, front: str, at: int, what: EventKind, more: dict[str, Any], **fields: Any) -> None:
        self.journal.add(at - self.journal.wall_offset_ms, what, front=front, more=more, **fields)
