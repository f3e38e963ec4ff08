"""The current state of a front, as a projection of its journal.

A watcher gets a snapshot of a projection and the entries after it, and applies them with the same code. Two
projections whose `to_plain` is equal represent the same state.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, ClassVar

from fernweir.journal.events import ANSWERS, Entry, EventKind

# The attributes of rows by their names in snapshots and replies, in the order in which both list them.
SESSION_ATTRIBUTES: Mapping[str, str] = {
    "session": "session",
    "front": "front",
    "lesson": "title",
    "cls": "cls",
    "tenant": "tenant",
    "phase": "phase",
    "since": "since",
    "box": "server",
    "attempt": "attempt",
    "rung": "rung",
    "why": "why",
}
SERVER_ATTRIBUTES: Mapping[str, str] = {
    "box": "server",
    "listed": "listed",
    "drained_by": "drained_by",
    "start": "start",
    "silent": "silent",
    "playing": "playing",
    "out": "out",
}
_MAX_REASONS = 200
_OTHER_REASON = "other"
_MAX_ORDERS = 50


@dataclass(slots=True)
class SessionRow:
    """A session that has not ended.

    Attributes:
        session: Its id.
        front: Name of its front.
        title: Name of its title.
        cls: Name of its class.
        tenant: Its tenant.
        phase: "asked", "out" (an attempt is in flight) or "playing".
        since: Wall time of its first request in milliseconds.
        server: Number of its server; -1 if it has none.
        attempt: Number of its last attempt; -1 if there was none.
        rung: Its rung; -1 if it has none.
        why: Reason for the last attempt or for its failure.
    """

    session: str
    front: str
    title: str
    cls: str
    tenant: str
    phase: str
    since: int
    server: int = -1
    attempt: int = -1
    rung: int = -1
    why: str = ""

    def to_plain(self) -> dict[str, Any]:
        """Returns the row's values by their stored names."""
        return plain_row(self, SESSION_ATTRIBUTES)

    @classmethod
    def from_plain(cls, plain: Mapping[str, Any]) -> SessionRow:
        """Returns the row that `to_plain` stored.

        Raises:
            KeyError: It has a field of another name.
            TypeError: A field is missing.
        """
        return cls(**{SESSION_ATTRIBUTES[name]: value for name, value in plain.items()})


@dataclass(slots=True)
class ServerRow:
    """A server: its state according to the endpoint list and to orders, and the counts of its sessions.

    Attributes:
        server: Its number.
        listed: Its state in the endpoint list.
        drained_by: The operator who ordered it to drain; empty if none did.
        start: Identifies one incarnation of the server.
        silent: Whether it has sessions but sends nothing.
        playing: Number of sessions that play on it.
        out: Number of attempts in flight to it.
    """

    server: int
    listed: str = "unlisted"
    drained_by: str = ""
    start: str = ""
    silent: bool = False
    playing: int = 0
    out: int = 0

    def to_plain(self) -> dict[str, Any]:
        """Returns the row's values by their stored names."""
        return plain_row(self, SERVER_ATTRIBUTES)

    @classmethod
    def from_plain(cls, plain: Mapping[str, Any]) -> ServerRow:
        """Returns the row that `to_plain` stored.

        Raises:
            KeyError: It has a field of another name.
            TypeError: A field is missing.
        """
        return cls(**{SERVER_ATTRIBUTES[name]: value for name, value in plain.items()})

    @property
    def state(self) -> str:
        """Its state in the endpoint list, or "draining" if it is ready and an operator ordered a drain."""
        return "draining" if self.drained_by and self.listed == "ready" else self.listed

    @property
    def is_empty(self) -> bool:
        """Whether the server has no state for which a row is needed."""
        return self.listed == "unlisted" and not (self.playing or self.out or self.drained_by)


@dataclass(slots=True)
class StateProjection:
    """The state that results from applying the entries of a journal.

    Attributes:
        number: Number of the last entry that was applied.
        at: Latest wall time of the entries in milliseconds.
        sessions: Sessions that have not ended, by front and id.
        servers: Servers by number.
        answers: Counts of answers by kind.
        by_class: Counts of answers by class and kind, separated by a space.
        refusals: Counts of rejections and failures by reason.
        fronts: Wall time in milliseconds at which each running front started.
        holds: The operator who placed a hold on a title, by title.
        caps: Upper limits of sessions, by the target that they limit.
        orders: The latest orders as text, newest last.
    """

    number: int = 0
    at: int = 0
    sessions: dict[str, SessionRow] = field(default_factory=dict)
    servers: dict[int, ServerRow] = field(default_factory=dict)
    answers: Counter[str] = field(default_factory=Counter)
    by_class: Counter[str] = field(default_factory=Counter)
    refusals: Counter[str] = field(default_factory=Counter)
    fronts: dict[str, int] = field(default_factory=dict)
    holds: dict[str, str] = field(default_factory=dict)
    caps: dict[str, int] = field(default_factory=dict)
    orders: list[str] = field(default_factory=list)

    def apply(self, entry: Entry) -> None:
        """Applies an entry; ignores one whose number is not greater than that of the last applied entry."""
        if entry.number <= self.number:
            return
        self.number = entry.number
        self.at = max(self.at, entry.at)
        self._HANDLERS[entry.what](self, entry)

    def to_plain(self) -> dict[str, Any]:
        """Returns the stored form, for JSON."""
        return {
            "number": self.number,
            "at": self.at,
            "sessions": [row.to_plain() for _, row in sorted(self.sessions.items())],
            "boxes": [row.to_plain() for _, row in sorted(self.servers.items())],
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
        """Returns the projection that `to_plain` stored.

        Raises:
            KeyError: A field is missing, or a row has a field of another name.
            TypeError: A field has another type, or a row lacks one.
        """
        sessions = [SessionRow.from_plain(row) for row in plain["sessions"]]
        servers = [ServerRow.from_plain(row) for row in plain["boxes"]]
        return cls(
            number=plain["number"],
            at=plain["at"],
            sessions={f"{row.front}/{row.session}": row for row in sessions},
            servers={row.server: row for row in servers},
            answers=Counter(plain["answers"]),
            by_class=Counter(plain["by_class"]),
            refusals=Counter(plain["refusals"]),
            fronts=dict(plain["fronts"]),
            holds=dict(plain["holds"]),
            caps=dict(plain["caps"]),
            orders=list(plain["orders"]),
        )

    def _on_front(self, entry: Entry) -> None:
        own_keys = [key for key, row in self.sessions.items() if row.front == entry.front]
        for key in own_keys:
            self._release_server(self.sessions.pop(key))
        if entry.why != "up":
            self.fronts.pop(entry.front, None)
            return
        has_other_fronts = bool(set(self.fronts) - {entry.front})
        if not has_other_fronts:
            # No front followed the endpoint list in the meantime; all its servers will be reported again.
            self.servers = {
                row.server: ServerRow(row.server, drained_by=row.drained_by)
                for row in self.servers.values()
                if row.drained_by
            }
        self.fronts[entry.front] = entry.at

    def _on_requested(self, entry: Entry) -> None:
        self._remove_session(entry)
        self.sessions[_session_key(entry)] = SessionRow(
            entry.session, entry.front, entry.title, entry.cls, entry.tenant, "asked", entry.at
        )

    def _on_attempt_sent(self, entry: Entry) -> None:
        row = self.sessions.get(_session_key(entry))
        if row is None:
            return
        self._release_server(row)
        row.phase = "out"
        row.server = entry.server
        row.attempt = entry.attempt
        row.rung = entry.rung
        row.why = entry.why
        self._server(entry.server).out += 1

    def _on_attempt_failed(self, entry: Entry) -> None:
        row = self.sessions.get(_session_key(entry))
        if row is None:
            return
        self._release_server(row)
        row.phase = "asked"
        row.server = -1
        row.why = entry.why

    def _on_started(self, entry: Entry) -> None:
        row = self.sessions.get(_session_key(entry))
        if row is None:
            return
        self._release_server(row)
        row.phase = "playing"
        row.server = entry.server
        row.attempt = entry.attempt
        row.rung = entry.rung
        self._server(entry.server).playing += 1

    def _on_rung_changed(self, entry: Entry) -> None:
        row = self.sessions.get(_session_key(entry))
        if row is not None:
            row.rung = entry.rung

    def _on_moved(self, entry: Entry) -> None:
        """Changes nothing: the end of the attempt is recorded as a separate entry."""

    def _on_answered(self, entry: Entry) -> None:
        self.answers[entry.what] += 1
        self.by_class[f"{entry.cls} {entry.what}"] += 1
        if entry.what is EventKind.PLAYS:
            return
        reason = entry.why
        if reason not in self.refusals and len(self.refusals) >= _MAX_REASONS:
            reason = _OTHER_REASON
        self.refusals[reason] += 1

    def _on_ended(self, entry: Entry) -> None:
        self._remove_session(entry)

    def _on_server_listed(self, entry: Entry) -> None:
        if entry.why == "unlisted":
            self._on_server_unlisted(entry.server)
            return
        row = self._server(entry.server)
        row.listed = entry.why
        row.start = str(entry.more.get("start", row.start))
        row.silent = row.silent and entry.why != "gone"

    def _on_server_unlisted(self, number: int) -> None:
        row = self.servers.get(number)
        if row is not None:
            row.listed = "unlisted"
            self._remove_if_empty(row)

    def _on_server_lost(self, entry: Entry) -> None:
        self._server(entry.server).silent = False

    def _on_silence_changed(self, entry: Entry) -> None:
        self._server(entry.server).silent = entry.what is EventKind.SILENT

    def _on_order(self, entry: Entry) -> None:
        """Records an order; `more` contains all drains, holds and caps that are in effect after it."""
        more = entry.more
        self.orders.append(f"{entry.at} {more.get('by', '')}: {entry.why}")
        del self.orders[:-_MAX_ORDERS]
        if "drains" in more:
            self._replace_drains(more["drains"])
        if "holds" in more:
            self.holds = {str(title): str(operator) for title, operator in more["holds"].items()}
        if "caps" in more:
            self.caps = {str(target): int(limit) for target, limit in more["caps"].items()}

    def _replace_drains(self, operators: Mapping[str, Any]) -> None:
        """Replaces the set of draining servers; `operators` maps each to the operator who ordered it."""
        for row in self.servers.values():
            row.drained_by = ""
        for number, operator in operators.items():
            self._server(int(number)).drained_by = str(operator)
        for row in list(self.servers.values()):
            self._remove_if_empty(row)

    def _server(self, number: int) -> ServerRow:
        row = self.servers.get(number)
        if row is None:
            row = self.servers[number] = ServerRow(number)
        return row

    def _remove_session(self, entry: Entry) -> None:
        row = self.sessions.pop(_session_key(entry), None)
        if row is not None:
            self._release_server(row)

    def _release_server(self, row: SessionRow) -> None:
        """Subtracts a session or its attempt in flight from the counts of its server."""
        if row.server < 0 or row.phase == "asked":
            return
        server = self._server(row.server)
        if row.phase == "playing":
            server.playing -= 1
        else:
            server.out -= 1
        self._remove_if_empty(server)

    def _remove_if_empty(self, row: ServerRow) -> None:
        if row.is_empty:
            del self.servers[row.server]

    _HANDLERS: ClassVar[dict[EventKind, Callable[[StateProjection, Entry], None]]] = {
        EventKind.FRONT: _on_front,
        EventKind.REQUESTED: _on_requested,
        EventKind.SETUP: _on_attempt_sent,
        EventKind.ATTEMPT_FAILED: _on_attempt_failed,
        EventKind.STARTED: _on_started,
        EventKind.RUNG: _on_rung_changed,
        EventKind.MOVED: _on_moved,
        EventKind.ENDED: _on_ended,
        EventKind.SERVER: _on_server_listed,
        EventKind.LOST: _on_server_lost,
        EventKind.SILENT: _on_silence_changed,
        EventKind.RESUMED: _on_silence_changed,
        EventKind.ORDER: _on_order,
        **dict.fromkeys(ANSWERS, _on_answered),
    }


def plain_row(row: SessionRow | ServerRow, attributes: Mapping[str, str]) -> dict[str, Any]:
    """Returns the values of a row by their stored names."""
    return {name: getattr(row, attribute) for name, attribute in attributes.items()}


def _session_key(entry: Entry) -> str:
    return f"{entry.front}/{entry.session}"
