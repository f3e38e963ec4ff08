"""Events of straggler detection, and the states of a front."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from fernweir.peers.base import Event
from fernweir.peers.late.messages import Kind


class State(StrEnum):
    """The state of a front."""

    CURRENT = "current"
    STALE = "late"
    CATCHING_UP = "being brought up"
    SHUT_OUT = "shut out"
    RETURNING = "coming back"  # up to date again, but still treated as shut out


@dataclass(frozen=True, slots=True)
class CatchUp(Event):
    """This front must send a stale one the content that it lacks, with `Stragglers.supply`."""

    name: str
    kind: Kind
    content: bytes


@dataclass(frozen=True, slots=True)
class CaughtUp(Event):
    """A stale front reports that it applied what this one sent.

    Its facts and actions show whether that is so.
    """

    name: str
    kind: Kind
    content: bytes


@dataclass(frozen=True, slots=True)
class Apply(Event):
    """This front is behind and has received the content that it lacks.

    `data` must be checked against `content` before it is used. For settings and keys it is empty, and the
    files must be read again. Whatever is applied shows in this front's own versions. Later updates of the
    front's own source must not be undone.
    """

    kind: Kind
    content: bytes
    data: bytes
    by: str


@dataclass(frozen=True, slots=True)
class ShutOut(Event):
    """A front is shut out: it gets no leases, is no successor, and only its fact `late.plea` is accepted."""

    name: str
    reason: str


@dataclass(frozen=True, slots=True)
class Readmitted(Event):
    """A front is no longer shut out."""

    name: str


@dataclass(frozen=True, slots=True)
class UpdateSuspect(Event):
    """An update may be wrong, rather than the fronts without it: no front is shut out for it.

    An empty `reason` ends this.
    """

    kind: Kind
    reason: str


@dataclass(frozen=True, slots=True)
class BlockSessions(Event):
    """This front must accept no new session, with this wait for viewers; an empty `reason` ends it."""

    reason: str
    wait_ms: float


@dataclass(frozen=True, slots=True)
class RequestReadmission(Event):
    """The new value of this front's fact `late.plea`; if it is empty the fact is dropped."""

    data: bytes
