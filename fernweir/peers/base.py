"""What all parts of the peers share: messages, effects, the shape of a state machine, rendezvous order.

A part is a pure state machine: it has no I/O and no clock, draws from a seed only, and is told `now`,
milliseconds of a clock that only moves forward. Its shell, the virtual loop and the tests drive it alike.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b
from typing import Protocol

import msgspec

Address = tuple[str, int]


class Message(msgspec.Struct, frozen=True, array_like=True):
    """What passes between fronts. Each kind is a subclass with a `tag` that no other kind has.

    Fields are checked as they are decoded. New fields go last and have defaults, so that an older format
    reads a newer one's messages and the other way round.
    """


@dataclass(frozen=True, slots=True)
class Send:
    """One message to one peer, by name, or by address while its name is not known.

    `reliable` goes over the connection between the two (in order, no size limit but the frame's), anything
    else in a datagram, which may be lost, doubled, late, or overtaken.
    """

    to: str | Address
    message: Message
    reliable: bool = False


class Event:
    """What a part tells whoever drives it; each part has its own subclasses."""

    __slots__ = ()


Effect = Send | Event


class Part(Protocol):
    """One state machine of a peer."""

    def on_message(self, now: float, sender: str, message: Message) -> None:
        """A message of one of this part's kinds, from a peer whose word is authenticated."""

    def tick(self, now: float) -> None:
        """Time has come to `next_deadline`; being early or late must do no harm."""

    def next_deadline(self) -> float | None:
        """When `tick` is wanted at the latest; None for never."""

    def take_effects(self) -> list[Effect]:
        """All effects since the last take, in order."""


class Outbox:
    """Effects on their way out; parts keep one."""

    __slots__ = ("_effects",)

    def __init__(self) -> None:
        self._effects: list[Effect] = []

    def add(self, effect: Effect) -> None:
        self._effects.append(effect)

    def take_effects(self) -> list[Effect]:
        effects, self._effects = self._effects, []
        return effects


def rendezvous(key: str, names: Iterable[str]) -> list[str]:
    """Names by their weight for a key, highest first, alike at every front.

    Highest random weight (Thaler, Ravishankar 1998): a name that comes or goes moves no key between others.
    """
    return sorted(names, key=lambda name: (_weight(key, name), name), reverse=True)


def _weight(key: str, name: str) -> bytes:
    return blake2b(f"{len(key)}:{key}{name}".encode("utf-8", "surrogatepass"), digest_size=8).digest()
