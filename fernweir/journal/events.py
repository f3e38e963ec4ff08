"""What the journal says: one entry for each step of a session's life, of a box, of an operator.

Entries are facts of what was carried out, in the order it was carried out; nothing in them is a guess made
later. On the wire and on disk an entry is a JSON array, see `to_row`.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any


class EventKind(StrEnum):
    FRONT = "front"  # a front began (`why` "up") or ended ("down"): its sessions of before are over
    ASKED = "asked"  # a session began: the first request with its token was taken
    SETUP = "setup"  # an attempt left for `box`, `why` it
    FAILED_TRY = "failed-try"  # the attempt ended without playing
    STARTED = "started"  # it plays at `box`
    RUNG = "rung"  # it changed to `rung`; `why` says who did it
    MOVED = "moved"  # taken from `box`, to be asked for again
    PLAYS = "plays"  # one request was answered so
    REFUSED = "refused"
    FAILED = "failed"
    CONFLICT = "conflict"
    ENDED = "ended"  # the session is over, at `box` if it played, and `why`
    BOX = "box"  # a box is listed as `why` says, or as an operator's order makes it
    LOST = "lost"  # nobody listens at a box, its sessions are over
    SILENT = "silent"  # a box that holds sessions says nothing
    HEARD = "heard"  # and speaks again
    ORDER = "order"  # an operator's command was carried out


ANSWERS = (EventKind.PLAYS, EventKind.REFUSED, EventKind.FAILED, EventKind.CONFLICT)


@dataclass(slots=True)
class Entry:
    """`number` grows by one within a journal; `at` is wall time in ms. Fields that don't apply are empty.

    A value, never changed; not frozen, as making frozen ones would be a third of what an entry costs.
    """

    number: int
    at: int
    what: EventKind
    front: str = ""
    session: str = ""
    lesson: str = ""
    cls: str = ""
    tenant: str = ""
    box: int = -1
    attempt: int = -1
    rung: int = -1
    why: str = ""
    more: Mapping[str, Any] = field(default_factory=dict)


def to_row(entry: Entry) -> list[Any]:
    row: list[Any] = [
        entry.number, entry.at, str(entry.what), entry.front, entry.session, entry.lesson, entry.cls,
        entry.tenant, entry.box, entry.attempt, entry.rung, entry.why,
    ]  # fmt: skip
    if entry.more:
        row.append(dict(entry.more))
    return row


_LEAST, _MOST = 12, 13


class EntryError(ValueError):
    """A row is no entry."""


def from_row(row: Any) -> Entry:
    """The entry that `to_row` wrote. EntryError if it can't be one."""
    if not isinstance(row, list) or not _LEAST <= len(row) <= _MOST:
        raise EntryError("not an entry")
    number, at, what, front, session, lesson, cls, tenant, box, attempt, rung, why, *rest = row
    texts = (front, session, lesson, cls, tenant, why)
    numbers = (number, at, box, attempt, rung)
    if not all(type(one) is str for one in texts) or not all(type(one) is int for one in numbers):
        raise EntryError("an entry's field is of the wrong type")
    more = rest[0] if rest else {}
    if not isinstance(more, dict):
        raise EntryError("an entry's rest is no object")
    try:
        kind = EventKind(what)
    except ValueError:
        raise EntryError(f"unknown kind {what!r}") from None
    return Entry(number, at, kind, front, session, lesson, cls, tenant, box, attempt, rung, why, more)
