"""Heads of others' chains, as they are spread: a chain that was shortened or changed contradicts them."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Annotated

import msgspec

from fernweir.peers.acts.chain import Head
from fernweir.peers.acts.rules import ActRules
from fernweir.peers.acts.versions import DIGEST_BYTES
from fernweir.peers.base import Event


@dataclass(frozen=True, slots=True)
class Tampered(Event):
    """Two different blocks of that number, or one that doesn't follow from its predecessor."""

    owner: str
    life: int
    number: int


@dataclass(frozen=True, slots=True)
class Shortened(Event):
    """The owner says that its chain ends before block `first`, but it had blocks up to `last`."""

    owner: str
    life: int
    first: int
    last: int


@dataclass(frozen=True, slots=True)
class Missing(Event):
    """Blocks that should have come here long ago."""

    owner: str
    life: int
    first: int
    last: int


class _Head(msgspec.Struct, frozen=True, array_like=True):
    number: Annotated[int, msgspec.Meta(ge=0, lt=1 << 53)]
    digest: Annotated[bytes, msgspec.Meta(min_length=0, max_length=DIGEST_BYTES)]
    at: float
    first: Annotated[int, msgspec.Meta(ge=0, lt=1 << 53)]
    final: bool


_decoder = msgspec.msgpack.Decoder(_Head)


def to_bytes(head: Head) -> bytes:
    return msgspec.msgpack.encode(_Head(head.number, head.digest, head.at, head.first, head.final))


def from_bytes(data: bytes) -> Head | None:
    """None if it is no head."""
    if len(data) > 200:
        return None
    try:
        read = _decoder.decode(data)
    except msgspec.MsgspecError:
        return None
    if read.at != read.at or len(read.digest) != (DIGEST_BYTES if read.number else 0):
        return None
    return Head(read.number, read.digest, read.at, read.first, read.final)


class Heads:
    """Of each life of each front its newest head, and some older ones to compare with."""

    def __init__(self, rules: ActRules) -> None:
        self.rules = rules
        self._heads: OrderedDict[str, dict[int, OrderedDict[int, Head]]] = OrderedDict()
        self._newest: dict[tuple[str, int], Head] = {}

    def newest(self, owner: str, life: int) -> Head | None:
        return self._newest.get((owner, life))

    def chains(self) -> Iterator[tuple[str, int]]:
        return iter(list(self._newest))

    def same(self, owner: str, life: int, number: int, digest: bytes) -> bool:
        """False if a head says otherwise of that block."""
        heads = self._heads.get(owner, {}).get(life)
        known = heads.get(number) if heads is not None else None
        return known is None or known.digest == digest

    def heard(self, owner: str, life: int, head: Head) -> list[Event]:
        """A head that its owner spread. Heads may come in any order; `at` says which is newer."""
        if not self.same(owner, life, head.number, head.digest):
            return [Tampered(owner, life, head.number)]
        newest = self.newest(owner, life)
        if newest is not None and head.number < newest.number and head.at > newest.at:
            return [Shortened(owner, life, head.number + 1, newest.number)]
        if newest is not None and newest.final and head.number > newest.number:
            return [Tampered(owner, life, head.number)]
        self._keep(owner, life, head, newest)
        return []

    def _keep(self, owner: str, life: int, head: Head, newest: Head | None) -> None:
        lives = self._heads.get(owner)
        if lives is None:
            lives = self._heads[owner] = {}
            if len(self._heads) > self.rules.owners:
                gone, dropped = self._heads.popitem(last=False)
                for one in dropped:
                    self._newest.pop((gone, one), None)
        heads = lives.setdefault(life, OrderedDict())
        heads[head.number] = head
        if newest is None or head.at >= newest.at:
            self._newest[owner, life] = head
        if len(heads) > self.rules.heads:
            # Every other of the older ones: far ones stay, sparser.
            for number in list(heads)[: self.rules.heads // 2 : 2]:
                del heads[number]
        if len(lives) > self.rules.lives:
            oldest = min(lives)
            del lives[oldest]
            self._newest.pop((owner, oldest), None)
