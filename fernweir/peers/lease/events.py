"""Events that a holder reports to its front."""

from __future__ import annotations

from dataclasses import dataclass

from fernweir.peers.base import Event


@dataclass(frozen=True, slots=True)
class Lease:
    """The lease of a channel under a fence, valid until `until` in ms of the holder's own clock."""

    channel: str
    fence: int
    until: float


@dataclass(frozen=True, slots=True)
class LeaseAcquired(Event):
    """The front owns the channel, under a fence above all fences granted before.

    Reported again for a held channel if a higher fence was requested; the lower fence is then invalid.
    """

    lease: Lease


@dataclass(frozen=True, slots=True)
class LeaseRenewed(Event):
    """The same lease was extended."""

    lease: Lease


@dataclass(frozen=True, slots=True)
class LeaseLost(Event):
    """The front no longer owns the channel and does not request it again until `want` is called.

    `why` is "lapsed" if too few keepers answered, "released", "handed", or the reason of a keeper: "taken",
    "shut out", "fence" or "sets".
    """

    channel: str
    fence: int
    why: str


@dataclass(frozen=True, slots=True)
class LeaseUnavailable(Event):
    """A wanted channel is leased to or reserved for another front; the holder keeps requesting it."""

    channel: str
    by: str
    fence: int
