"""Events of membership, and the identity of a front."""

from __future__ import annotations

from dataclasses import dataclass

from fernweir.peers.base import Address, Event


@dataclass(frozen=True, slots=True)
class Me:
    """This front. `address` is what it advertises; `life` is the wall ms at which this process started."""

    name: str
    address: Address
    life: int
    formats: tuple[int, int] = (1, 1)


@dataclass(frozen=True, slots=True)
class Joined(Event):
    """A member is alive in this life: new or back after a death. For the own name: the life was corrected."""

    name: str
    life: int


@dataclass(frozen=True, slots=True)
class Suspected(Event):
    """A member does not answer probes and may be dead."""

    name: str


@dataclass(frozen=True, slots=True)
class Cleared(Event):
    """A member is no longer suspected, because it refuted the suspicion."""

    name: str


@dataclass(frozen=True, slots=True)
class Died(Event):
    """A member died in this life; another life of the name may be alive already."""

    name: str
    life: int


@dataclass(frozen=True, slots=True)
class Left(Event):
    """A member left in order."""

    name: str
    life: int


@dataclass(frozen=True, slots=True)
class Clash(Event):
    """Another living front at this address has this front's name; see `Members.displaced`."""

    name: str
    address: Address
