"""Types that all parts of the peers share: messages, effects, the state machine protocol, rendezvous hashing.

A part is a pure state machine without I/O or clock. Its random numbers come from a seed, and its caller
passes `now`, the milliseconds of a monotonic clock. The real event loop, the virtual loop and the tests use
it in the same way.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b
from typing import Protocol

import msgspec

Address = tuple[str, int]


class Message(msgspec.Struct, frozen=True, array_like=True):
    """A message between fronts. Each kind is a subclass with a unique `tag`.

    Fields are checked when they are decoded. New fields go last and have defaults, so that older and newer
    formats can read each other's messages.
    """


@dataclass(frozen=True, slots=True)
class Send:
    """One message to one peer, by name, or by address while its name is unknown.

    A `reliable` message goes over the connection of the two peers, in order, limited only by the size of a
    frame. Other messages go in datagrams, which may be lost, duplicated, delayed or reordered.
    """

    to: str | Address
    message: Message
    reliable: bool = False


class Event:
    """What a part reports to its caller; each part has its own subclasses."""

    __slots__ = ()


Effect = Send | Event


class Part(Protocol):
    """A state machine of a peer."""

    def on_message(self, now: float, sender: str, message: Message) -> None:
        """Handles a message of one of this part's kinds from an authenticated peer."""

    def tick(self, now: float) -> None:
        """Handles timers at `next_deadline`. A call that is early or late must be harmless."""

    def next_deadline(self) -> float | None:
        """Returns the latest time for the next `tick`, or None."""

    def take_effects(self) -> list[Effect]:
        """Returns all effects since the last call, in order, and removes them."""


class Outbox:
    """The effects of a part that its caller has not taken yet."""

    __slots__ = ("_effects",)

    def __init__(self) -> None:
        self._effects: list[Effect] = []

    def add(self, effect: Effect) -> None:
        self._effects.append(effect)

    def take_effects(self) -> list[Effect]:
        effects, self._effects = self._effects, []
        return effects


def rendezvous(key: str, names: Iterable[str]) -> list[str]:
    """Returns names by their weight for a key, highest first, with the same result at every front.

    This is highest random weight hashing (Thaler, Ravishankar 1998): a name that is added or removed moves no
    key between the others.
    """
    return sorted(names, key=lambda name: (_weight(key, name), name), reverse=True)


def _weight(key: str, name: str) -> bytes:
    return blake2b(f"{len(key)}:{key}{name}".encode("utf-8", "surrogatepass"), digest_size=8).digest()
