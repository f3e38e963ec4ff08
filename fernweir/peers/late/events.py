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
class CatchUp(Event):
    """This front is to give a late one what it lacks: answer by `Stragglers.supply`."""

    name: str
    kind: Kind
    content: bytes


@dataclass(frozen=True, slots=True)
class CaughtUp(Event):
    """A late front says that it took what this one gave it. Its facts and acts show whether that is so."""

    name: str
    kind: Kind
    content: bytes


@dataclass(frozen=True, slots=True)
class Apply(Event):
    """This front is behind, and here is what it lacks. What of it is taken shows in its own versions.

    `data` must be checked against `content` before it is used. For settings and keys it is empty: read the
    files again. What was told here later by the front's own source is not to be undone.
    """

    kind: Kind
    content: bytes
    data: bytes
    by: str


@dataclass(frozen=True, slots=True)
class ShutOut(Event):
    """From now on: no leases, no facts but `late.plea`, no part in the choice of heirs."""

    name: str
    reason: str


@dataclass(frozen=True, slots=True)
class Readmitted(Event):
    """No longer shut out."""

    name: str


@dataclass(frozen=True, slots=True)
class UpdateSuspect(Event):
    """Not the fronts but the news may be wrong: nobody is shut out for it. An empty `why`: no longer."""

    kind: Kind
    reason: str


@dataclass(frozen=True, slots=True)
class BlockSessions(Event):
    """This front takes no new session, refusing with that wait; an empty `why` ends it."""

    reason: str
    wait_ms: float


@dataclass(frozen=True, slots=True)
class RequestReadmission(Event):
    """What the fact `late.plea` is to be from now on; empty: it is dropped."""

    data: bytes
