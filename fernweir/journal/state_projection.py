"""What a front does now, folded from its journal and from nothing else.

A view is a snapshot of a picture and the entries after it, folded by this same code wherever it is shown.
`to_plain` of two pictures is equal when they show the same.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import asdict, dataclass, field
from typing import Any

from fernweir.journal.events import ANSWERS, Entry, EventKind

_REASONS = 200
_ORDERS = 50


@dataclass(slots=True)
class SessionRow:
    """One session that is not over. `phase` is asked, out or playing."""

    session: str
    front: str
    lesson: str
    cls: str
    tenant: str
    phase: str
    since: int
    box: int = -1
    attempt: int = -1
    rung: int = -1
    why: str = ""


@dataclass(slots=True)
class ServerRow:
    """One box: as listed, as ordered, and what is there. `start` names one life of it."""

    box: int
    listed: str = "unlisted"
    drained_by: str = ""
    start: str = ""
    silent: bool = False
    playing: int = 0
    out: int = 0

    @property
    def state(self) -> str:
        return "draining" if self.drained_by and self.listed == "ready" else self.listed


@dataclass(slots=True)
class StateProjection:
    """Everything that is shown. `number` is the entry that was folded last."""

    number: int = 0
    at: int = 0
    sessions: dict[str, SessionRow] = field(default_factory=dict)
    servers: dict[int, ServerRow] = field(default_factory=dict)
    answers: Counter[str] = field(default_factory=Counter)
    by_class: Counter[str] = field(default_factory=Counter)  # "class answer"
    refusals: Counter[str] = field(default_factory=Counter)
    fronts: dict[str, int] = field(default_factory=dict)  # up since
    holds: dict[str, str] = field(default_factory=dict)  # lesson: by whom
    caps: dict[str, int] = field(default_factory=dict)
    orders: list[str] = field(default_factory=list)  # the newest last

    def apply(self, entry: Entry) -> None:
        """Applies one entry. One that was folded before is passed over."""
        if entry.number <= self.number:
            return
        self.number, self.at = entry.number, max(self.at, entry.at)
        _FOLDS[entry.what](self, entry)

    def _key(self, entry: Entry) -> str:
        return f"{entry.front}/{entry.session}"

    def _front(self, entry: Entry) -> None:
        for key in [key for key, row in self.sessions.items() if row.front == entry.front]:
            self._leave_box(self.sessions.pop(key))
        if entry.why == "up":
            if not set(self.fronts) - {entry.front}:
                # Nobody else has followed the list meanwhile: it is told anew.
                self.servers = {row.box: ServerRow(row.box, drained_by=row.drained_by)
                              for row in self.servers.values() if row.drained_by}  # fmt: skip
            self.fronts[entry.front] = entry.at
        else:
            self.fronts.pop(entry.front, None)

    def _asked(self, entry: Entry) -> None:
        self._drop(entry)
        self.sessions[self._key(entry)] = SessionRow(
            entry.session, entry.front, entry.lesson, entry.cls, entry.tenant, "asked", entry.at
        )

    def _setup(self, entry: Entry) -> None:
        row = self.sessions.get(self._key(entry))
        if row is not None:
            self._leave_box(row)
            row.phase, row.box, row.attempt = "out", entry.box, entry.attempt
            row.rung, row.why = entry.rung, entry.why
            self._box(entry.box).out += 1

    def _failed_try(self, entry: Entry) -> None:
        row = self.sessions.get(self._key(entry))
        if row is not None:
            self._leave_box(row)
            row.phase, row.box, row.why = "asked", -1, entry.why

    def _started(self, entry: Entry) -> None:
        row = self.sessions.get(self._key(entry))
        if row is not None:
            self._leave_box(row)
            row.phase, row.box, row.attempt = "playing", entry.box, entry.attempt
            row.rung = entry.rung
            self._box(entry.box).playing += 1

    def _rung(self, entry: Entry) -> None:
        row = self.sessions.get(self._key(entry))
        if row is not None:
            row.rung = entry.rung

    def _answer(self, entry: Entry) -> None:
        self.answers[entry.what] += 1
        self.by_class[f"{entry.cls} {entry.what}"] += 1
        if entry.what is not EventKind.PLAYS:
            reason = entry.why
            if reason not in self.refusals and len(self.refusals) >= _REASONS:
                reason = "other"
            self.refusals[reason] += 1

    def _ended(self, entry: Entry) -> None:
        self._drop(entry)

    def _listed(self, entry: Entry) -> None:
        if entry.why == "unlisted":
            row = self.servers.get(entry.box)
            if row is not None:
                row.listed = "unlisted"
                if not (row.playing or row.out or row.drained_by):
                    del self.servers[entry.box]
            return
        row = self._box(entry.box)
        row.listed = entry.why
        row.start = str(entry.more.get("start", row.start))
        row.silent = row.silent and entry.why != "gone"

    def _lost(self, entry: Entry) -> None:
        self._box(entry.box).silent = False

    def _silence(self, entry: Entry) -> None:
        self._box(entry.box).silent = entry.what is EventKind.SILENT

    def _order(self, entry: Entry) -> None:
        """`more` has the order as it stands now: drains, holds and caps as a whole."""
        more = entry.more
        self.orders.append(f"{entry.at} {more.get('by', '')}: {entry.why}")
        del self.orders[:-_ORDERS]
        if "drains" in more:
            drains: Mapping[str, Any] = more["drains"]
            for row in self.servers.values():
                row.drained_by = ""
            for box, by in drains.items():
                self._box(int(box)).drained_by = str(by)
            for number in [one.box for one in self.servers.values() if _empty(one)]:
                del self.servers[number]
        if "holds" in more:
            self.holds = {str(lesson): str(by) for lesson, by in more["holds"].items()}
        if "caps" in more:
            self.caps = {str(what): int(most) for what, most in more["caps"].items()}

    # --- pieces ---

    def _box(self, number: int) -> ServerRow:
        row = self.servers.get(number)
        if row is None:
            row = self.servers[number] = ServerRow(number)
        return row

    def _drop(self, entry: Entry) -> None:
        row = self.sessions.pop(self._key(entry), None)
        if row is not None:
            self._leave_box(row)

    def _leave_box(self, row: SessionRow) -> None:
        if row.box < 0 or row.phase == "asked":
            return
        box = self._box(row.box)
        if row.phase == "playing":
            box.playing -= 1
        else:
            box.out -= 1
        if _empty(box):
            del self.servers[row.box]

    # --- for the wire ---

    def to_plain(self) -> dict[str, Any]:
        return {
            "number": self.number,
            "at": self.at,
            "sessions": [asdict(row) for _, row in sorted(self.sessions.items())],
            "boxes": [asdict(row) for _, row in sorted(self.servers.items())],
            "answers": dict(sorted(self.answers.items())),
            "by_class": dict(sorted(self.by_class.items())),
            "refusals": dict(sorted(self.refusals.items())),
            "fronts": dict(sorted(self.fronts.items())),
            "holds": dict(sorted(self.holds.items())),
            "caps": dict(sorted(self.caps.items())),
            "orders": list(self.orders),
        }

    @classmethod
    def from_plain(cls, plain: Mapping[str, Any]) -> StateProjection:
        """Of what `to_plain` gave; KeyError or TypeError for anything else."""
        sessions = [SessionRow(**row) for row in plain["sessions"]]
        boxes = [ServerRow(**row) for row in plain["boxes"]]
        return cls(
            plain["number"],
            plain["at"],
            {f"{row.front}/{row.session}": row for row in sessions},
            {row.box: row for row in boxes},
            Counter(plain["answers"]),
            Counter(plain["by_class"]),
            Counter(plain["refusals"]),
            dict(plain["fronts"]),
            dict(plain["holds"]),
            dict(plain["caps"]),
            list(plain["orders"]),
        )


def _empty(row: ServerRow) -> bool:
    return row.listed == "unlisted" and not (row.playing or row.out or row.drained_by)


_FOLDS = {
    EventKind.FRONT: StateProjection._front,
    EventKind.ASKED: StateProjection._asked,
    EventKind.SETUP: StateProjection._setup,
    EventKind.FAILED_TRY: StateProjection._failed_try,
    EventKind.STARTED: StateProjection._started,
    EventKind.RUNG: StateProjection._rung,
    EventKind.MOVED: lambda picture, entry: None,  # its end follows
    EventKind.ENDED: StateProjection._ended,
    EventKind.BOX: StateProjection._listed,
    EventKind.LOST: StateProjection._lost,
    EventKind.SILENT: StateProjection._silence,
    EventKind.HEARD: StateProjection._silence,
    EventKind.ORDER: StateProjection._order,
    **dict.fromkeys(ANSWERS, StateProjection._answer),
}
