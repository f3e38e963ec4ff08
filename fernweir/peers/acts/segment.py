"""A run of blocks of one chain, compressed together, with the journal's index over their acts.

Blocks are small, as one is sealed every quarter of a second: an index and a compressor want some hundred
acts. The blocks' own bytes come back out unchanged, so that they can be sent and proved again.
"""

from __future__ import annotations

import zlib
from array import array
from bisect import bisect_right
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import accumulate, pairwise

import msgspec

from fernweir.journal.segment import Index
from fernweir.peers.acts.block import (
    Block,
    BlockError,
    Record,
    Sealed,
    block_of,
    read,
    record,
    records,
    ticks_of,
)
from fernweir.peers.acts.rules import ActRules
from fernweir.peers.acts.versions import DIGEST_BYTES, Versions

FIELDS = ("deed", "title", "tenant", "box", "outcome", "versions")
_ATTRIBUTE_OF_FIELD = {name: name for name in FIELDS}  # for the journal's index
_LEVEL = 1  # made on the loop that answers viewers: speed before size
_MOST_BYTES = 64 << 20
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(tuple[str, int, list[bytes]])


@dataclass(slots=True)
class Segment:
    """Blocks `first` to `last` without a hole, with as many acts each as `counts` has.

    `data` or `index` of None: not in memory just now. `since`, `until`: of its acts, tenths of a ms of the
    owner's clock. `handle` is the disk's.
    """

    first: int
    last: int
    since: int
    until: int
    acts: int
    versions: tuple[Versions, ...]
    digests: bytes
    counts: array[int]
    data: bytes | None
    index: Index | None
    handle: object | None = None
    sequence: int = 0

    def size(self) -> int:
        index = self.index.size_bytes() if self.index else 0
        return (
            index
            + len(self.data or b"")
            + len(self.digests)
            + 2 * len(self.counts)
            + 200 * len(self.versions)
            + 400
        )

    def digest(self, number: int) -> bytes:
        at = (number - self.first) * DIGEST_BYTES
        return self.digests[at : at + DIGEST_BYTES]


class Decoded:
    """A segment's blocks as bytes: each is read, and its rows made, only where they are wanted."""

    __slots__ = ("_blocks", "_data", "_starts")

    def __init__(self, data: Sequence[bytes], counts: Sequence[int]) -> None:
        self._data = data
        self._starts = list(accumulate(counts, initial=0))
        self._blocks: dict[int, tuple[Block, list[int]]] = {}

    def record(self, offset: int) -> Record:
        at = bisect_right(self._starts, offset) - 1
        known = self._blocks.get(at)
        if known is None:
            block = block_of(self._data[at])
            known = self._blocks[at] = block, ticks_of(block)
        row = offset - self._starts[at]
        return record(known[0], row, known[1][row])


def make(blocks: Sequence[Sealed]) -> Segment:
    """Of blocks that follow one another, at least one."""
    rows = [one for sealed in blocks for one in records(sealed.block)]
    front, life = blocks[0].block.front, blocks[0].block.life
    versions = tuple(dict.fromkeys(one for sealed in blocks for one in sealed.block.versions))
    data = zlib.compress(_encoder.encode((front, life, [sealed.data for sealed in blocks])), _LEVEL)
    return Segment(
        blocks[0].block.number, blocks[-1].block.number, blocks[0].block.since, blocks[-1].block.until,
        len(rows), versions, b"".join(sealed.digest for sealed in blocks),
        array("H", (len(sealed.block) for sealed in blocks)), data, Index(rows, _ATTRIBUTE_OF_FIELD),
    )  # fmt: skip


def index(blocks: Sequence[bytes]) -> Index:
    return Index([one for data in blocks for one in records(block_of(data))], _ATTRIBUTE_OF_FIELD)


def trusted(data: bytes) -> list[bytes]:
    """The blocks of a segment that was made here and never left memory: nothing has to be proved again."""
    return _open(data)[2]


def _open(data: bytes) -> tuple[str, int, list[bytes]]:
    try:
        return _decoder.decode(zlib.decompressobj().decompress(data, _MOST_BYTES))
    except (zlib.error, msgspec.MsgspecError) as error:
        raise BlockError(f"segment: {error}") from None


def unpack(data: bytes, rules: ActRules) -> list[Sealed]:
    """The blocks of a segment from a disk. BlockError if they are none, or don't follow one another."""
    front, life, kept = _open(data)
    blocks = [read(one, 4 * rules.block_bytes, rules.block_acts) for one in kept]
    if not blocks:
        raise BlockError("a segment without blocks")
    for before, after in pairwise(blocks):
        if after.block.number != before.block.number + 1 or after.block.before != before.digest:
            raise BlockError(f"block {after.block.number} doesn't follow")
    if any((one.block.front, one.block.life) != (front, life) for one in blocks):
        raise BlockError("blocks of several chains")
    return blocks
