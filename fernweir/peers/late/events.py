"""What the stragglers' machine tells whoever drives it, and the states of a front."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from fernweir.peers.base import Event
from fernweir.peers.late.messages import Kind


class State(StrEnum):
    CURRENT = "current"
    LATE = "late"
    BRINGING = "being brought up"
    OUT = "shut out"
    COMING = "coming back"  # up to date again, and still treated as shut out


@dataclass(frozen=True, slots=True)
class BringUp(Event):
    """This front is to give a late one what it lacks: answer by `Stragglers.supply`."""

    name: str
    what: Kind
    content: bytes


@dataclass(frozen=True, slots=True)
class BroughtUp(Event):
    """A late front says that it took what this one gave it. Its facts and acts show whether that is so."""

    name: str
    what: Kind
    content: bytes


@dataclass(frozen=True, slots=True)
class Apply(Event):
    """This front is behind, and here is what it lacks. What of it is taken shows in its own versions.

    `data` must be checked against `content` before it is used. For settings and keys it is empty: read the
    files again. What was told here later by the front's own source is not to be undone.
    """

    what: Kind
    content: bytes
    data: bytes
    by: str


@dataclass(frozen=True, slots=True)
class ShutOut(Event):
    """From now on: no leases, no facts but `late.plea`, no part in the choice of heirs."""

    name: str
    why: str


@dataclass(frozen=True, slots=True)
class Back(Event):
    """No longer shut out."""

    name: str


@dataclass(frozen=True, slots=True)
class NewsSuspect(Event):
    """Not the fronts but the news may be wrong: nobody is shut out for it. An empty `why`: no longer."""

    what: Kind
    why: str


@dataclass(frozen=True, slots=True)
class Refrain(Event):
    """This front takes no new session, refusing with that wait; an empty `why` ends it."""

    why: str
    wait_ms: float


@dataclass(frozen=True, slots=True)
class Plead(Event):
    """What the fact `late.plea` is to be from now on; empty: it is dropped."""

    data: bytes
