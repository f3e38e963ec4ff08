"""A shard's summary: what it says, its bytes, and what bytes of a peer must satisfy to be believed."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf, isfinite
from sys import intern

import msgspec

from fernweir.peers.estimate.question import FIELDS, KINDS, MOST_TEXT, STANDING
from fernweir.peers.estimate.sketches import Filter, Frequent, Steps, read_filter

FORMAT = 1
MOST_BYTES = 16_384
MOST_ROWS = 1 << 20
MOST_ROW_BYTES = 65_536
MOST_OLDER = 1 << 40  # rows
MOST_LIST = 256
REST = 255  # in a sample: none of the frequent values
MOST_RATE = 100_000.0  # rows a second that any front may claim

COUNTED = tuple(field for field in FIELDS if field != "session")  # those with frequent values
VERSION = COUNTED.index("version")


class Shard(msgspec.Struct, frozen=True, array_like=True):
    """A part of what a front recorded in one life. `until`: no row in it is later.

    Shards of acts are named by their numbers from 0 on without a gap, so that a lost summary shows; what
    stands is one shard, which has its kind's name.
    """

    front: str
    life: int
    name: str
    since: float
    until: float


class Older(msgspec.Struct, frozen=True, array_like=True):
    """Shards of a front whose summaries it no longer publishes: only how much they are, and their span."""

    shards: int = 0
    rows: int = 0
    size: int = 0
    since: float = 0.0
    until: float = 0.0


class Summary(msgspec.Struct, frozen=True, array_like=True):
    """What a shard holds, small enough for a fact.

    `taken`: when it was cut, on the same scale as the rows' times. `sealed`: no row comes any more, and what
    it counts is exact. `fields` and `sample` go by `COUNTED`; a sample has one byte a row, the place among
    the frequent values, `REST` for none. Rates are rows a second, of late, on average, and the highest; they
    and `older` are told by open shards.
    """

    format: int
    of: str
    shard: Shard
    sealed: bool
    taken: float
    rows: int
    size: int
    sessions: int  # distinct
    session_most: int  # rows of the session with the most
    fields: tuple[Frequent, ...]
    filter: bytes
    steps: Steps
    sample: tuple[bytes, ...]
    versions: tuple[tuple[float, float], ...]  # first and last row of each frequent version: they come and go
    rate: float = 0.0
    mean: float = 0.0
    peak: float = 0.0
    older: Older = Older()


@dataclass(frozen=True, slots=True)
class Known:
    """A peer's summary, read, with the time at which it was heard (ms, own clock)."""

    summary: Summary
    filter: Filter | None
    heard: float


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Summary)


def encode(summary: Summary) -> bytes:
    return _ENCODER.encode(summary)


def read(owner: str, life: int, data: bytes, heard: float) -> Known:
    """A summary as it came from its owner. Raises ValueError, msgspec's included, if it can't be one."""
    if len(data) > MOST_BYTES:
        raise ValueError("too long")
    summary = _DECODER.decode(data)
    if summary.format != FORMAT:
        raise ValueError("another format")
    shard = summary.shard
    if shard.front != owner or shard.life != life or not shard.name:
        raise ValueError("another's shard")
    if summary.of not in KINDS:
        raise ValueError("no such kind")
    if shard.name != (STANDING if summary.of == STANDING else _number(shard.name)):
        raise ValueError("name")
    if not (isfinite(summary.taken) and -inf < shard.since <= shard.until < inf):
        raise ValueError("times")
    if not all(0 <= rate <= MOST_RATE for rate in (summary.rate, summary.mean, summary.peak)):
        raise ValueError("rates")
    if not (0 <= summary.rows <= MOST_ROWS and 0 <= summary.size <= summary.rows * MOST_ROW_BYTES):
        raise ValueError("counts")
    if not (0 <= summary.session_most <= summary.rows and 0 <= summary.sessions <= summary.rows):
        raise ValueError("sessions")
    if len(summary.fields) != len(COUNTED) or len(summary.sample) != len(COUNTED):
        raise ValueError("fields")
    for frequent, sampled in zip(summary.fields, summary.sample, strict=True):
        _check_frequent(frequent, summary.rows)
        if len(sampled) != len(summary.sample[0]) or len(sampled) > min(MOST_LIST, summary.rows):
            raise ValueError("sample")
    _check_steps(summary)
    if len(summary.versions) != len(summary.fields[VERSION].values):
        raise ValueError("versions")
    if not all(shard.since <= first <= last <= shard.until for first, last in summary.versions):
        raise ValueError("versions")
    older = summary.older
    if not (-inf < older.since <= older.until < inf and 0 <= older.shards <= older.rows <= MOST_OLDER):
        raise ValueError("older shards")
    if not 0 <= older.size <= older.rows * MOST_ROW_BYTES:
        raise ValueError("older shards")
    # Values recur in all summaries of a fleet, and the filter has its bytes: neither is kept twice.
    fields = tuple(
        msgspec.structs.replace(frequent, values=tuple(intern(value) for value in frequent.values))
        for frequent in summary.fields
    )
    told = msgspec.structs.replace(summary, fields=fields, filter=b"")
    return Known(told, read_filter(summary.filter), heard)


def _number(name: str) -> str:
    return str(int(name)) if name.isascii() and name.isdigit() and len(name) <= 12 else ""


def _check_frequent(frequent: Frequent, rows: int) -> None:
    if len(frequent.values) != len(frequent.counts) or len(frequent.values) > MOST_LIST:
        raise ValueError("frequent values")
    if any(len(value) > MOST_TEXT for value in frequent.values) or min(frequent.counts, default=1) < 1:
        raise ValueError("frequent values")
    if min(frequent.rest_rows, frequent.rest_values, frequent.rest_most) < 0:
        raise ValueError("rest")
    if frequent.rest_values > frequent.rest_rows or frequent.rest_most > frequent.rest_rows:
        raise ValueError("rest")
    if sum(frequent.counts) + frequent.rest_rows != rows:
        raise ValueError("frequent values do not add up")


def _check_steps(summary: Summary) -> None:
    edges, rows, sizes = summary.steps.edges, summary.steps.rows, summary.steps.sizes
    if not len(edges) == len(rows) == len(sizes) <= MOST_LIST or len(edges) == 1:
        raise ValueError("bins")
    if any(not isfinite(edge) for edge in edges):
        raise ValueError("edges")
    if any(list(one) != sorted(one) for one in (edges, rows, sizes)):
        raise ValueError("bins run back")
    ends = (rows[0], sizes[0], rows[-1], sizes[-1]) if edges else (0, 0, 0, 0)
    if ends != (0, 0, summary.rows, summary.size):
        raise ValueError("bins do not add up")
    if edges and not (summary.shard.since <= edges[0] and edges[-1] <= summary.shard.until):
        raise ValueError("rows outside of the shard")
