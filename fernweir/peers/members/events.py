"""What membership tells whoever drives it, and who a front is."""

from __future__ import annotations

from dataclasses import dataclass

from fernweir.peers.base import Address, Event


@dataclass(frozen=True, slots=True)
class Me:
    """`address` is what others are told to use; `life` the wall ms at which this process started."""

    name: str
    address: Address
    life: int
    formats: tuple[int, int] = (1, 1)


@dataclass(frozen=True, slots=True)
class Joined(Event):
    """Alive in this life: new, back after a death, or, with the own name, the own life was corrected."""

    name: str
    life: int


@dataclass(frozen=True, slots=True)
class Suspected(Event):
    name: str


@dataclass(frozen=True, slots=True)
class Cleared(Event):
    """No longer suspected: it said itself that it lives."""

    name: str


@dataclass(frozen=True, slots=True)
class Died(Event):
    """This life is over; another life of the name may be alive already."""

    name: str
    life: int


@dataclass(frozen=True, slots=True)
class Left(Event):
    name: str
    life: int


@dataclass(frozen=True, slots=True)
class Clash(Event):
    """Another living front at this address has the own name; see `Members.displaced`."""

    name: str
    address: Address
