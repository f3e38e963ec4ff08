"""One journal of several fronts: each front's entries once, in its order, under the unit's numbers.

Free of I/O. Of each front it is known how far its journal has been taken, also after a kill, as every entry
here carries the number it had there. Where a front's entries can't be had one by one, what it holds now is
written down as a new beginning of that front, so that views stay true though a piece of history is missing.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from fernweir.journal.events import Entry, EventKind
from fernweir.journal.state_projection import StateProjection
from fernweir.journal.store import Journal

_OWN = (EventKind.ORDER,)  # the unit's own orders are the ones that count


@dataclass(slots=True)
class Taken:
    journal: str = ""
    number: int = 0


class Merger:
    """`taken` says of each front where to go on from."""

    def __init__(self, journal: Journal) -> None:
        self.journal = journal
        self.taken: dict[str, Taken] = {}

    def recover(self) -> None:
        """Finds out from the unit's own journal how far each front's has been taken."""
        for entry in self.journal.entries(self.journal.first):
            if entry.front and "n" in entry.more:
                self.taken[entry.front] = Taken(str(entry.more.get("j", "")), int(entry.more["n"]))

    def since(self, front: str) -> Taken:
        return self.taken.get(front, Taken())

    def entry(self, front: str, journal: str, entry: Entry) -> None:
        """Takes over one entry, unless it has been."""
        taken = self.taken.setdefault(front, Taken())
        if taken.journal == journal and entry.number <= taken.number:
            return
        taken.journal, taken.number = journal, entry.number
        if entry.what in _OWN:
            return
        fields = {
            name: getattr(entry, name)
            for name in ("session", "title", "cls", "tenant", "server", "attempt", "rung", "why")
        }
        self._add(front, entry.at, entry.what, {**entry.more, "n": entry.number, "j": journal}, **fields)

    def snapshot(self, front: str, journal: str, picture: StateProjection) -> None:
        """Begins the front anew with what it holds now."""
        self.taken[front] = Taken(journal, picture.number)
        mark = {"n": picture.number, "j": journal}
        at = picture.at
        self._add(front, at, EventKind.FRONT, {"seen": True, **mark}, why="up")
        for box in picture.servers.values():
            if box.listed != "unlisted":
                self._add(
                    front,
                    at,
                    EventKind.SERVER,
                    {"start": box.start, **mark},
                    server=box.server,
                    why=box.listed,
                )
            if box.silent:
                self._add(front, at, EventKind.SILENT, mark, server=box.server)
        for row in picture.sessions.values():
            fields: dict[str, Any] = {
                "session": row.session, "title": row.title, "cls": row.cls, "tenant": row.tenant
            }  # fmt: skip
            self._add(front, at, EventKind.REQUESTED, mark, **fields)
            if row.phase != "asked":
                fields |= {"server": row.server, "attempt": row.attempt, "rung": row.rung}
                self._add(front, at, EventKind.SETUP, mark, why=row.why, **fields)
                if row.phase == "playing":
                    self._add(front, at, EventKind.STARTED, mark, **fields)

    def gone(self, front: str, at: int) -> None:
        """The front's process has ended, and its sessions with it."""
        taken = self.since(front)
        self._add(front, at, EventKind.FRONT, {"n": taken.number, "j": taken.journal}, why="down")

    def _add(self, front: str, at: int, what: EventKind, more: dict[str, Any], **fields: Any) -> None:
        self.journal.add(at - self.journal.wall_offset_ms, what, front=front, more=more, **fields)
