"""The events of the journal: one entry for each step of a session, a server or an operator's order.

Entries record actions in the order in which they were carried out; they contain nothing that was inferred
later. On the wire and on disk an entry is a JSON array, see `to_row`.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any


class EventKind(StrEnum):
    """The kind of an event; the value is stored."""

    FRONT = "front"  # a front started (`why` is "up") or stopped ("down"); its earlier sessions have ended
    REQUESTED = "asked"  # a session began: the first request with its token was accepted
    SETUP = "setup"  # an attempt was sent to a server; `why` is the reason for choosing it
    ATTEMPT_FAILED = "failed-try"  # the attempt ended without playing
    STARTED = "started"  # the session plays at a server
    RUNG = "rung"  # the session changed to `rung`; `why` says who requested it
    MOVED = "moved"  # the session was taken from its server and will be requested again
    PLAYS = "plays"  # a request was answered: the session plays
    REFUSED = "refused"  # a request was answered: rejected
    FAILED = "failed"  # a request was answered: failed
    CONFLICT = "conflict"  # a request was answered: it contradicts another request of its session
    ENDED = "ended"  # the session ended for the reason `why`; `server` is set if it played
    SERVER = "box"  # a server's state became `why`, in the endpoint list or by an operator's order
    LOST = "lost"  # a server refuses connections, and its sessions have ended
    SILENT = "silent"  # a server with sessions sends nothing
    RESUMED = "heard"  # a silent server sends again
    ORDER = "order"  # an operator's order was carried out


ANSWERS = (EventKind.PLAYS, EventKind.REFUSED, EventKind.FAILED, EventKind.CONFLICT)


@dataclass(slots=True)
class Entry:
    """One event. Fields that do not apply are empty, or -1 if they are numbers.

    Entries are never changed. The class is not frozen, because creating frozen instances would take a third
    of the time that is needed to add an entry.

    Attributes:
        number: Sequence number; grows by one within a journal.
        at: Wall time in milliseconds.
        what: The kind.
        front: Name of the front.
        session: Id of the session.
        title: Name of its title.
        cls: Name of its class.
        tenant: Its tenant.
        server: Number of the server.
        attempt: Number of the attempt within the session.
        rung: The rung.
        why: The reason.
        more: Further details, by name.
    """

    number: int
    at: int
    what: EventKind
    front: str = ""
    session: str = ""
    title: str = ""
    cls: str = ""
    tenant: str = ""
    server: int = -1
    attempt: int = -1
    rung: int = -1
    why: str = ""
    more: Mapping[str, Any] = field(default_factory=dict)


def to_row(entry: Entry) -> list[Any]:
    """Returns the stored form of an entry: its fields in order, `more` only if there are details."""
    row: list[Any] = [
        entry.number,
        entry.at,
        str(entry.what),
        entry.front,
        entry.session,
        entry.title,
        entry.cls,
        entry.tenant,
        entry.server,
        entry.attempt,
        entry.rung,
        entry.why,
    ]
    if entry.more:
        row.append(dict(entry.more))
    return row


_MIN_FIELDS = 12  # all but `more`
_MAX_FIELDS = 13


class EntryError(ValueError):
    """Raised when a row or a segment is not valid; the message gives the reason."""


def from_row(row: object) -> Entry:
    """Returns the entry of a row that `to_row` made.

    Raises:
        EntryError: The row is not an entry.
    """
    if not isinstance(row, list) or not _MIN_FIELDS <= len(row) <= _MAX_FIELDS:
        raise EntryError("the row is not a list with the fields of an entry")
    number, at, what, front, session, title, cls, tenant, server, attempt, rung, why, *rest = row
    texts = (front, session, title, cls, tenant, why)
    numbers = (number, at, server, attempt, rung)
    if not all(type(text) is str for text in texts) or not all(type(value) is int for value in numbers):
        raise EntryError("a field of the row has the wrong type")
    more = rest[0] if rest else {}
    if not isinstance(more, dict):
        raise EntryError("the last field of the row must be an object with details")
    try:
        kind = EventKind(what)
    except ValueError:
        raise EntryError(f"unknown event kind {what!r}") from None
    return Entry(number, at, kind, front, session, title, cls, tenant, server, attempt, rung, why, more)
