"""Exploring a model in full: every order of its actions, breadth first, each state once.

A model says in which states it may begin and what may happen in each; faults are actions like others, bounded
by budgets that the states carry. States are kept as digests of 128 bits, so that millions fit; two states
with one digest would be taken for one, which at a thousand million states has odds below one in 10^20.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b
from typing import Protocol, TypeVar

S = TypeVar("S")


class Model(Protocol[S]):
    """What is explored. States must not be changed once they were given out."""

    def begins(self) -> Iterable[S]:
        """The states to begin in."""

    def steps(self, state: S) -> Iterable[tuple[str, S]]:
        """All that may happen in a state: what, and the state after it."""

    def key(self, state: S) -> bytes:
        """The same bytes for the same state, and for no other that differs in what may follow."""

    def wrong(self, state: S) -> str:
        """Which invariant the state breaks; "" for none."""


@dataclass(frozen=True, slots=True)
class Explored:
    """`whole`: all states were seen, none wrong. Else `wrong` and the shortest `trace` to it, or a bound."""

    states: int
    steps: int
    depth: int
    whole: bool
    wrong: str = ""
    trace: tuple[str, ...] = ()


class _Seen:
    """Digests of states in the order found, each with its parent and the action that led to it."""

    def __init__(self) -> None:
        self._numbers: dict[bytes, int] = {}
        self._parents = array("q")
        self._labels = array("l")
        self._names: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._parents)

    def add(self, key: bytes, parent: int, label: str) -> int:
        """Its number, or -1 if it was seen before."""
        digest = blake2b(key, digest_size=16).digest()
        number = len(self._parents)
        if self._numbers.setdefault(digest, number) != number:
            return -1
        self._parents.append(parent)
        self._labels.append(self._names.setdefault(label, len(self._names)))
        return number

    def trace(self, number: int) -> tuple[str, ...]:
        names = list(self._names)
        found = []
        while number >= 0:
            found.append(names[self._labels[number]])
            number = self._parents[number]
        return tuple(reversed(found))


def explore(model: Model[S], states_most: int = 10_000_000) -> Explored:
    """Ends at the first state that breaks an invariant, when all were seen, or at `states_most`."""
    seen = _Seen()
    steps = depth = 0
    level: list[tuple[int, S]] = []

    def found(state: S, parent: int, label: str, into: list[tuple[int, S]]) -> Explored | None:
        number = seen.add(model.key(state), parent, label)
        if number < 0:
            return None
        if wrong := model.wrong(state):
            return Explored(len(seen), steps, depth, False, wrong, seen.trace(number))
        into.append((number, state))
        return None

    for state in model.begins():
        if (end := found(state, -1, "begin", level)) is not None:
            return end
    while level:
        depth += 1
        following: list[tuple[int, S]] = []
        for number, state in level:
            for label, after in model.steps(state):
                steps += 1
                if (end := found(after, number, label, following)) is not None:
                    return end
            if len(seen) >= states_most:
                return Explored(len(seen), steps, depth, False)
        level = following
    return Explored(len(seen), steps, depth - 1, True)
