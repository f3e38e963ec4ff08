"""Fuzzing with an oracle: drawn bytes go to the program and to a slow, obvious reader or model of its page.

Each module here but this one and `shapes` is a target: `TARGET.check(data)` raises `Finding`, or whatever the
program raised, if the two don't say the same; `TARGET.draw(dice)` gives bytes that reach far. A target about
state reads its events off the bytes (`Tape`), so that all targets are mutated, guided and shrunk alike.
"""

from __future__ import annotations

import importlib
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from itertools import pairwise
from random import Random
from typing import TypeVar

T = TypeVar("T")
CODECS = ("lines", "frames", "feed", "requests", "responses", "events", "ini", "bodies", "parsers")


ALL = (*CODECS, "ledger", "boxlist", "journal", "host", "seats", "peer")


class Finding(AssertionError):
    """Program and oracle don't agree."""


@dataclass(frozen=True, slots=True)
class Target:
    """`first` are inputs that the first seeds stand for, before any is drawn."""

    check: Callable[[bytes], None]
    draw: Callable[[Random], bytes]
    first: Sequence[bytes] = ()


def load(name: str) -> Target:
    """The target of that name, of the modules as they are loaded now."""
    target: Target = importlib.import_module(f"tests.fuzzing.{name}").TARGET
    return target


def drawn(name: str, target: Target, seed: int) -> bytes:
    if seed < len(target.first):
        return target.first[seed]
    return target.draw(Random(f"{name} {seed}"))


def found(name: str, target: Target, seed: int) -> Exception | None:
    """What comes of one seed; None if program and oracle agree."""
    try:
        target.check(drawn(name, target, seed))
    except Exception as error:
        return error
    return None


def same(ours: object, slow: object, data: object) -> None:
    if ours != slow:
        raise Finding(f"\n ours {ours!r:.2000}\n slow {slow!r:.2000}\n of {data!r:.2000}")


def mutate(dice: Random, data: bytes, words: Sequence[bytes], most: int = 6) -> bytes:
    """Up to `most` places changed: a part doubled, dropped or moved, a word put in, a bit turned."""
    out = bytearray(data)
    for _ in range(dice.randrange(most + 1)):
        at, kind = dice.randrange(len(out) + 1), dice.randrange(6)
        start = dice.randrange(len(out) + 1)
        end = min(start + dice.randrange(1, 40), len(out))
        if kind == 0:
            out[at:at] = out[start:end]
        elif kind == 1:
            del out[start : min(start + dice.randrange(1, 5), len(out))]
        elif kind == 2 and at < len(out):
            out[at] ^= 1 << dice.randrange(8)
        elif kind == 3:
            out[at:at] = dice.randbytes(dice.randrange(1, 4))
        else:
            out[at : at + dice.randrange(3)] = dice.choice(words)
    return bytes(out)


def pieces(data: bytes) -> list[bytes]:
    """The first byte says how the others are split: whole, byte by byte, or at drawn places."""
    how, rest = data[0] if data else 0, data[1:]
    if how == 0:
        return [rest]
    if how == 1:
        return [rest[at : at + 1] for at in range(len(rest))]
    dice = Random(how)
    cuts = sorted({0, len(rest), *(dice.randrange(len(rest) + 1) for _ in range(how % 9 + 1))})
    return [rest[a:b] for a, b in pairwise(cuts)]


class Tape:
    """Bytes as choices; when they are used up, each choice is the first."""

    def __init__(self, data: bytes) -> None:
        self._data, self._at = data, 0

    @property
    def more(self) -> bool:
        return self._at < len(self._data)

    def byte(self) -> int:
        self._at += 1
        return self._data[self._at - 1] if self._at <= len(self._data) else 0

    def below(self, count: int) -> int:
        """A number from 0 up to `count`, at most 65 536."""
        return (self.byte() if count <= 256 else self.byte() << 8 | self.byte()) % count

    def one(self, of: Sequence[T]) -> T:
        return of[self.below(len(of))]

    def rest(self) -> bytes:
        return self._data[self._at :]


def shrink(fails: Callable[[bytes], bool], data: bytes) -> bytes:
    """A shorter input that still fails: parts are dropped, then bytes made 0 (after ddmin, Zeller 1999)."""
    size = len(data) // 2
    while size:
        at, shorter = 0, False
        while at < len(data):
            less = data[:at] + data[at + size :]
            if fails(less):
                data, shorter = less, True
            else:
                at += size
        if not shorter or size > len(data):
            size //= 2
    for at in range(len(data)):
        if data[at] and fails(flat := data[:at] + b"\0" + data[at + 1 :]):
            data = flat
    return data
