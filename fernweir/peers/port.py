"""The interface through which peers observe and control a front; `front/peering.py` implements it."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Protocol

import msgspec

from fernweir.peers.forward.messages import Carried, Carry


class SessionStatus(msgspec.Struct, frozen=True, array_like=True):
    """The state of a playing session that another front needs to take it over.

    `cls` and `title` are names, `box` is the server's number in the endpoint list. `attempt` counts from 0
    over all owners, `rung` counts from 0. `payload` is the digest of the payload from which its viewers are
    answered, `answers` is how often they were sent the answer that it plays, and `spent` is the number of
    retries that it took from the retry budget.
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
class FrontLimits:
    """Settings that peers need: kB/s of each rung in its most expensive class, and the retry budget."""

    rung_kbps: tuple[float, ...]
    budget_span_ms: float = 10_000.0
    budget_free: float = 0.0
    budget_share: float = 0.0


class AuditEvent(StrEnum):
    """The kinds of decisions of a front that the audit log records."""

    SETUP = "setup"
    MOVE = "move"
    REFUSED = "refused"
    DRAIN = "drain"  # learned that a server drains
    LEASE = "lease"  # used a lease
    HANDOFF = "handoff"
    SHUTOUT = "shutout"


@dataclass(frozen=True, slots=True)
class AuditRecord:
    """One decision of a front. `at` is in ms of the loop's clock; `box` is the server, or -1 for none."""

    at: float
    deed: AuditEvent
    session: str = ""
    title: str = ""
    tenant: str = ""
    box: int = -1
    outcome: str = ""


class Listener(Protocol):
    """Receives the changes at a front in the order in which they happen."""

    def on_session_status(self, now: float, standing: SessionStatus) -> None:
        """A session started to play, changed its rung, or was answered again."""

    def on_session_ended(self, now: float, session: str) -> None:
        """A session that played has ended at its server."""

    def on_session_failed(self, now: float, session: str) -> None:
        """A session with a possible attempt in flight was given up before it played."""

    def on_audit_record(self, record: AuditRecord) -> None:
        """The front made a decision that belongs in the audit log."""

    def on_endpoint_list(self, now: float, rows: Sequence[tuple[int, Any]], told_at: float) -> None:
        """The endpoint list has new content: the number of each server with its attributes as plain values.

        Titles have numbers of their own, below 0. `told_at` is wall ms.
        """

    def on_endpoint_list_changed(
        self, now: float, rows: Sequence[tuple[int, Any]], removed: Sequence[int], told_at: float
    ) -> None:
        """Rows of the endpoint list are new or changed; those with the numbers `removed` are gone."""


class Port(Protocol):
    """The operations of a front that its peers may use."""

    def set_listener(self, listener: Listener) -> None: ...

    def session_statuses(self) -> list[SessionStatus]:
        """Returns the status of each session that plays at this front."""

    def session_count(self) -> int:
        """Returns the number of sessions of this front."""

    def sessions_in_flight(self) -> list[str]:
        """Returns the ids of sessions with an attempt in flight."""

    def has_session(self, session: str) -> bool:
        """Whether the session belongs to this front, in any phase."""

    def server_numbers(self) -> list[int]:
        """Returns the numbers of all servers in the endpoint list."""

    def limits(self) -> FrontLimits: ...

    def racks(self) -> list[tuple[str, frozenset[int], float]]:
        """Returns the name of each rack, its listed servers, and the capacity of its uplink in kB/s."""

    def payload(self, digest: bytes) -> bytes | None:
        """Returns the payload with this digest, from which a successor answers the viewers of a session."""

    def endpoint_list_document(self) -> bytes:
        """Returns the endpoint list for a peer that lacks it; empty if peers must not use it."""

    def adopt_endpoint_list(self, now: float, data: bytes, digest: bytes) -> bool:
        """Applies the endpoint list of a peer if it has this digest and continues the current list."""

    def adopt_session(self, now: float, standing: SessionStatus, payload: bytes | None) -> bool:
        """Adopts a session. Returns False if the front has it already or its server or title is unknown."""

    def on_session_missing(self, now: float, session: str, attempt: int) -> None:
        """A session adopted with this attempt no longer runs at its server."""

    def relinquish_session(self, now: float, session: str) -> bool:
        """Hands a session to another front without a message to its server or viewers."""

    def release_attempt(
        self, now: float, box: int, session: str, attempt: int, why: str, under: tuple[str, int]
    ) -> None:
        """Releases, under a channel and fence, what runs at a server and is no session of this front."""

    def block_new_sessions(self, why: str, wait_ms: float) -> None:
        """Rejects new sessions with this reason and wait; an empty reason ends the block."""

    def execute_forwarded(self, request: Carry, then: Callable[[float, Carried], None]) -> None:
        """Executes a forwarded request for a session of this front; `then` is called once."""

    def claim_channel(
        self, box: int, channel: str, fence: int, overlap_ms: float,
        then: Callable[[float, ClaimResult], None], adopt: Sequence[tuple[str, int]] = (),
    ) -> None:  # fmt: skip
        """Claims a channel for this front at a server; `then` is called once, later.

        The server accepts a lower fence for `overlap_ms` more, or for its own limit if that is less. `adopt`
        has the sessions that this front set up there outside any channel and that join this channel.
        """


@dataclass(frozen=True, slots=True)
class ClaimResult:
    """The answer of a server to a claim: its highest known fence, and its sessions (id, attempt, rung)."""

    box: int
    reached: bool
    accepted: bool = False
    fence: int = 0
    sessions: tuple[tuple[str, int, int], ...] = ()
