"""A block of acts: bytes that never change, named by their digest, each naming its predecessor's.

Acts lie in columns: texts and versions stand once a block, everything else is a small number an act. Times
are tenths of a ms of the owner's own clock; `wall` is what its wall clock was ahead of that, by its own word.
Free of I/O.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from hashlib import blake2b
from itertools import accumulate
from typing import Annotated

import msgspec

from fernweir.peers.acts.versions import DIGEST_BYTES, Versions
from fernweir.peers.port import AuditEvent, AuditRecord

TICK_MS = 0.1
_WORD = 200
_DEEDS = (
    AuditEvent.SETUP,
    AuditEvent.MOVE,
    AuditEvent.REFUSED,
    AuditEvent.DRAIN,
    AuditEvent.LEASE,
    AuditEvent.HANDOFF,
    AuditEvent.SHUTOUT,
)
"""In the order of their numbers in a block: new ones go last."""
_CODES = {deed: code for code, deed in enumerate(_DEEDS)}
_Time = Annotated[int, msgspec.Meta(ge=-(1 << 56), le=1 << 56)]
_Small = Annotated[int, msgspec.Meta(ge=0, le=1 << 31)]


class BlockError(ValueError):
    """Bytes that are no block."""


class Block(msgspec.Struct, frozen=True, array_like=True):
    """As it is encoded. `final` is set in the last block of a front that ended in order."""

    front: Annotated[str, msgspec.Meta(min_length=1, max_length=_WORD)]
    life: Annotated[int, msgspec.Meta(ge=0, lt=1 << 62)]
    number: Annotated[int, msgspec.Meta(ge=1, lt=1 << 53)]
    before: Annotated[bytes, msgspec.Meta(max_length=DIGEST_BYTES)]
    since: _Time
    until: _Time
    sealed: _Time
    wall: Annotated[float, msgspec.Meta(ge=-1e16, le=1e16)]
    doubt: Annotated[float, msgspec.Meta(ge=0, le=1e16)]
    versions: Annotated[list[Versions], msgspec.Meta(max_length=256)]
    words: Annotated[list[Annotated[str, msgspec.Meta(max_length=_WORD)]], msgspec.Meta(max_length=4_096)]
    gaps: list[_Small]
    deeds: bytes
    bases: bytes
    sessions: list[_Small]
    titles: list[_Small]
    tenants: list[_Small]
    boxes: list[Annotated[int, msgspec.Meta(ge=-1, le=1 << 31)]]
    outcomes: list[_Small]
    final: bool = False

    def __len__(self) -> int:
        return len(self.deeds)


@dataclass(frozen=True, slots=True)
class Sealed:
    """A block with its bytes and their digest."""

    block: Block
    data: bytes
    digest: bytes


@dataclass(slots=True)
class Record:
    """One act as it is read back: `row` in block `number`, `at` ms of the owner's own clock."""

    number: int
    row: int
    at: float
    deed: AuditEvent
    session: str
    title: str
    tenant: str
    box: int
    outcome: str
    versions: Versions


def seal(
    front: str,
    life: int,
    number: int,
    before: bytes,
    acts: Sequence[tuple[AuditRecord, Versions]],
    now: float,
    wall: float,
    doubt: float,
    final: bool = False,
) -> Sealed:
    """The next block of a chain; `acts` in the order of their times, none only in a final block."""
    words: dict[str, int] = {"": 0}
    bases: dict[Versions, int] = {}
    gaps: list[int] = []
    sessions: list[int] = []
    titles: list[int] = []
    tenants: list[int] = []
    boxes: list[int] = []
    outcomes: list[int] = []
    deeds, based = bytearray(), bytearray()
    since = tick = _ticks(acts[0][0].at) if acts else _ticks(now)
    known, base = None, 0
    for act, versions in acts:
        if versions is not known:
            known, base = versions, bases.setdefault(versions, len(bases))
        at = max(tick, _ticks(act.at))
        gaps.append(at - tick)
        tick = at
        deeds.append(_CODES[act.deed])
        based.append(base)
        sessions.append(words.setdefault(act.session, len(words)))
        titles.append(words.setdefault(act.title, len(words)))
        tenants.append(words.setdefault(act.tenant, len(words)))
        boxes.append(act.box)
        outcomes.append(words.setdefault(act.outcome, len(words)))
    block = Block(
        front, life, number, before, since, tick, max(tick, _ticks(now)), wall, doubt, list(bases),
        [_clean(word) for word in words], gaps, bytes(deeds), bytes(based),
        sessions, titles, tenants, boxes, outcomes, final,
    )  # fmt: skip
    data = msgspec.msgpack.encode(block)
    return Sealed(block, data, digest_of(data))


def read(data: bytes, most_bytes: int, most_acts: int) -> Sealed:
    """Bytes from a peer or a disk as a block. BlockError if they are none, or more than is allowed."""
    if len(data) > most_bytes:
        raise BlockError(f"{len(data)} bytes are more than a block has")
    try:
        block = _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise BlockError(str(error)) from None
    count, words = len(block.deeds), len(block.words)
    named = (block.sessions, block.titles, block.tenants, block.outcomes)
    if count > most_acts or (not count and not block.final):
        raise BlockError(f"{count} acts in a block")
    if any(len(column) != count for column in (block.gaps, block.bases, block.boxes, *named)):
        raise BlockError("columns of several lengths")
    if count:
        if max(block.deeds) >= len(_DEEDS) or max(block.bases) >= len(block.versions):
            raise BlockError("a deed or versions that are not there")
        if any(max(column) >= words for column in named):
            raise BlockError("a word that is not there")
    if block.since + sum(block.gaps) != block.until or block.sealed < block.until:
        raise BlockError("times that don't fit")
    if len(block.before) != (DIGEST_BYTES if block.number > 1 else 0):
        raise BlockError("no predecessor's digest")
    return Sealed(block, data, digest_of(data))


def block_of(data: bytes) -> Block:
    """Of bytes that `seal` or `read` gave."""
    return _decoder.decode(data)


def digest_of(data: bytes) -> bytes:
    return blake2b(data, digest_size=DIGEST_BYTES, person=b"fw block").digest()


def ticks_of(block: Block) -> list[int]:
    """When each act was, in tenths of a ms."""
    return list(accumulate(block.gaps, initial=block.since))[1:]


def record(block: Block, row: int, tick: int) -> Record:
    words = block.words
    return Record(
        block.number, row, tick * TICK_MS, _DEEDS[block.deeds[row]], words[block.sessions[row]],
        words[block.titles[row]], words[block.tenants[row]], block.boxes[row], words[block.outcomes[row]],
        block.versions[block.bases[row]],
    )  # fmt: skip


def records(block: Block) -> list[Record]:
    return [record(block, row, tick) for row, tick in enumerate(ticks_of(block))]


_decoder = msgspec.msgpack.Decoder(Block)


def _ticks(ms: float) -> int:
    return round(ms / TICK_MS)


def _clean(word: str) -> str:
    """A lone surrogate can come in a token; it must not stop the record. Over-long texts are cut."""
    if not word.isascii():
        word = word.encode("utf-8", "backslashreplace").decode()
    return word[:_WORD]
