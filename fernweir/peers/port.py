"""The narrow interface by which peers see and steer a front. Types only; `front/peering.py` implements it."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Protocol

import msgspec

from fernweir.peers.forward.messages import Carried, Carry


class SessionStatus(msgspec.Struct, frozen=True, array_like=True):
    """A session that stands, as whoever inherits it must know it.

    `cls` and `title` are names, `box` the list's number; `attempt` counts from 0 over all owners, `rung` from
    0. `payload` is the digest of what its viewers are answered from. `answers`: how often its viewers were
    told that it plays. `spent`: further attempts it took out of the ration.
    """

    session: str
    via: str
    who: str
    title: str
    cls: str
    top_rung: int
    tenant: str
    key: int
    box: int
    attempt: int
    rung: int
    payload: bytes = b""
    answers: int = 0
    spent: int = 0


@dataclass(frozen=True, slots=True)
class Terms:
    """Of the settings: kB/s of each rung in its dearest class, and the ration of further attempts."""

    rung_kbps: tuple[float, ...]
    budget_span_ms: float = 10_000.0
    budget_free: float = 0.0
    budget_share: float = 0.0


class AuditEvent(StrEnum):
    """Kinds of decisions that leave a front."""

    SETUP = "setup"
    MOVE = "move"
    REFUSED = "refused"
    DRAIN = "drain"  # heard that a box drains
    LEASE = "lease"  # used a lease
    HANDOFF = "handoff"
    SHUTOUT = "shutout"


@dataclass(frozen=True, slots=True)
class AuditRecord:
    """One decision that left the front; `at` in ms of the loop's clock, `box` -1 for none."""

    at: float
    deed: AuditEvent
    session: str = ""
    title: str = ""
    tenant: str = ""
    box: int = -1
    outcome: str = ""


class Listener(Protocol):
    """Who is told, in the order in which it happens, of what changes at a front."""

    def on_session_status(self, now: float, standing: SessionStatus) -> None:
        """A session plays, or one that plays changed its rung or was answered again."""

    def on_session_ended(self, now: float, session: str) -> None:
        """A session that stood is over at its box."""

    def on_session_failed(self, now: float, session: str) -> None:
        """A session of which an attempt may have been out is held no more, and did not come to stand."""

    def on_audit_record(self, act: AuditRecord) -> None: ...

    def on_endpoint_list(self, now: float, rows: Sequence[tuple[int, Any]], told_at: float) -> None:
        """The list of boxes now has this content: each box's number, and what is said of it, as plain values.

        Lessons stand under numbers of their own, below 0. `told_at` is wall ms.
        """


class Port(Protocol):
    """A front, as its peers' parts may use it."""

    def set_listener(self, listener: Listener) -> None: ...

    def session_statuses(self) -> list[SessionStatus]:
        """All that plays here."""

    def session_count(self) -> int:
        """Sessions held."""

    def sessions_in_flight(self) -> list[str]:
        """Sessions of which an attempt is out."""

    def has_session(self, session: str) -> bool:
        """Whether it is held here, in whatever phase."""

    def server_numbers(self) -> list[int]:
        """All boxes that the list names now."""

    def limits(self) -> Terms: ...

    def racks(self) -> list[tuple[str, frozenset[int], float]]:
        """Each rack's name, its boxes on the list, and what its uplink can carry, kB/s."""

    def payload(self, digest: bytes) -> bytes | None:
        """What viewers of a session are answered from, to be given to an heir."""

    def endpoint_list_document(self) -> bytes:
        """The list of boxes as it is held, for a peer that lacks it; empty if no peer may take it."""

    def adopt_endpoint_list(self, now: float, data: bytes, digest: bytes) -> bool:
        """Takes a peer's list if its content has this digest and it goes on from what is held."""

    def adopt_session(self, now: float, standing: SessionStatus, payload: bytes | None) -> bool:
        """The session is this front's from now on. False if it is held, or its box or lesson is not known."""

    def on_session_missing(self, now: float, session: str, attempt: int) -> None:
        """What was taken over here, under that attempt, does not run at its box any more."""

    def relinquish_session(self, now: float, session: str) -> bool:
        """The session is another's from now on: nothing is said to its box or its viewers."""

    def release(
        self, now: float, box: int, session: str, attempt: int, why: str, under: tuple[str, int]
    ) -> None:
        """Takes back what runs at a box and is no session of this front's, by its channel and fence."""

    def block_new_sessions(self, why: str, wait_ms: float) -> None:
        """No new session is taken, each refused with that reason and wait; an empty reason ends it."""

    def execute_forwarded(self, request: Carry, then: Callable[[float, Carried], None]) -> None:
        """A request that came to another front, for a session that is held here; `then` is called once."""

    def claim(
        self, box: int, channel: str, fence: int, overlap_ms: float,
        then: Callable[[float, ClaimResult], None], adopt: Sequence[tuple[str, int]] = (),
    ) -> None:  # fmt: skip
        """Tells a box that this front owns a channel; `then` is called once, later.

        The box accepts a lower fence for `overlap_ms` more, or for as long as it does anyway if that is less.
        `adopt`: sessions that this front set up there in no channel, and which are in this one from now on.
        """


@dataclass(frozen=True, slots=True)
class ClaimResult:
    """What a box said to a claim: the highest fence it knows, and its sessions (id, attempt, rung)."""

    box: int
    reached: bool
    accepted: bool = False
    fence: int = 0
    sessions: tuple[tuple[str, int, int], ...] = ()
