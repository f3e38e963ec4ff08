"""What a holder tells its front."""

from __future__ import annotations

from dataclasses import dataclass

from fernweir.peers.base import Event


@dataclass(frozen=True, slots=True)
class Lease:
    """A channel under a fence, to be used until `until`, ms of the holder's own clock."""

    channel: str
    fence: int
    until: float


@dataclass(frozen=True, slots=True)
class Got(Event):
    """The channel is this front's, under a fence above all that were granted.

    Comes again for a channel that is held if a higher fence was asked for: the lower one is over then.
    """

    lease: Lease


@dataclass(frozen=True, slots=True)
class Renewed(Event):
    """The same lease, for longer."""

    lease: Lease


@dataclass(frozen=True, slots=True)
class Lost(Event):
    """The channel is no longer this front's, and is not asked for again until `want` is called.

    `why`: "lapsed" if too few keepers answered, "released", "handed", or a keeper's reason: "taken",
    "shut out", "fence", "sets".
    """

    channel: str
    fence: int
    why: str


@dataclass(frozen=True, slots=True)
class Taken(Event):
    """A channel that this front wants is held by another, or waits for one; it goes on asking."""

    channel: str
    by: str
    fence: int
