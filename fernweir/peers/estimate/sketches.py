"""Small stand-ins for the values of a shard: a membership filter, frequent values, rows over time, a sample.

A shard holds some thousand rows, so while it is built plain dictionaries are exact and smaller than sketches
that promise to be small for any stream; what is published is cut from them when it is asked for. Only
membership wants a sketch: `rbloom` (Bloom 1970), whose import costs 1 ms and under 1 MB, where
`datasketches` brings numpy, 0.1 s and 19 MB, more than a front may spend on all its peers.

Keys are hashed with a seed that is part of the format, so every front reads a filter alike.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Mapping, Sequence
from functools import lru_cache
from hashlib import blake2b
from itertools import accumulate
from math import exp, log
from operator import index

import msgspec
from rbloom import Bloom

_SEED = b"fernweir shard 1"
_HEAD = 8  # bytes before the bits: the number of hashes
MOST_HASHES = 24


def key(field: str, value: str) -> int:
    """A field's value as the number that filters hold, the same in every process."""
    text = f"{field}\0{value}".encode("utf-8", "surrogatepass")
    return int.from_bytes(blake2b(text, digest_size=16, key=_SEED).digest(), "little", signed=True)


@lru_cache(8192)
def value_key(field: str, value: str) -> int:
    """`key` for values that come again in every summary; sessions don't."""
    return key(field, value)


class Filter:
    """Which values a shard may hold. What it denies is not there; what it admits may be a false positive."""

    __slots__ = ("_bloom", "false_share")

    def __init__(self, bloom: Bloom, false_share: float) -> None:
        self._bloom = bloom
        self.false_share = false_share  # of keys that are not there, how many it admits

    def __contains__(self, key: int) -> bool:
        return key in self._bloom


def pack_filter(keys: Sequence[int], share: float, most_bytes: int) -> bytes:
    """A filter with that share of false positives, or as near as the bytes allow; empty for no keys."""
    if not keys:
        return b""
    bits = (most_bytes - _HEAD - 1) * 8
    share = max(share, exp(-bits * log(2) ** 2 / len(keys)))
    bloom = Bloom(len(keys), min(0.9, share), index)
    bloom.update(keys)
    return bloom.save_bytes()


def read_filter(data: bytes) -> Filter | None:
    """The filter in a peer's bytes. Raises ValueError for what no filter of ours looks like.

    The library trusts its input: short bytes end in a panic, and a large number of hashes in a long loop.
    """
    if not data:
        return None
    hashes = int.from_bytes(data[:_HEAD], "little")
    if len(data) <= _HEAD or not 1 <= hashes <= MOST_HASHES:
        raise ValueError("not a filter")
    bits = (len(data) - _HEAD) * 8
    filled = int.from_bytes(data[_HEAD:], "little").bit_count()
    return Filter(Bloom.load_bytes(data, index), (filled / bits) ** hashes)


class Frequent(msgspec.Struct, frozen=True, array_like=True):
    """One field's values in a shard: the frequent ones counted; of the rest rows, values, the most of one."""

    values: tuple[str, ...]
    counts: tuple[int, ...]
    rest_rows: int = 0
    rest_values: int = 0
    rest_most: int = 0  # rows of the most frequent of the rest


def cut(counts: Mapping[str, int], most: int) -> Frequent:
    """The most frequent values exactly, ties by name so that it comes out alike everywhere."""
    ranked = sorted(counts.items(), key=lambda pair: (-pair[1], pair[0]))
    top, rest = ranked[:most], ranked[most:]
    return Frequent(
        tuple(value for value, _ in top),
        tuple(count for _, count in top),
        sum(count for _, count in rest),
        len(rest),
        rest[0][1] if rest else 0,
    )


Span = tuple[float, float, float, float, float, float]  # rows low, guess, high; bytes low, guess, high


class Steps(msgspec.Struct, frozen=True, array_like=True):
    """How rows and bytes came in over time: equally many rows a bin, so that bursts get fine bins.

    `rows` and `sizes` are summed up: what lies before each edge, 0 at the first and all at the last. A row at
    an edge belongs to the bin that begins there, the last bin has both its edges.
    """

    edges: tuple[float, ...]
    rows: tuple[int, ...]
    sizes: tuple[int, ...]

    def between(self, since: float, until: float) -> Span:
        """Rows and bytes with since <= at < until: low, guess, high of each, in that order."""
        edges, rows, sizes = self.edges, self.rows, self.sizes
        if not edges or since >= until or since > edges[-1] or until <= edges[0]:
            return 0.0, 0.0, 0.0, 0.0, 0.0, 0.0
        if since <= edges[0] and until > edges[-1]:
            return rows[-1], rows[-1], rows[-1], sizes[-1], sizes[-1], sizes[-1]
        last = len(edges) - 1
        begin = bisect_left(edges, since)
        end = last if until > edges[-1] else min(last - 1, bisect_right(edges, until) - 1)
        first_touched = min(last - 1, max(0, bisect_right(edges, since) - 1))
        last_touched = min(last, bisect_left(edges, until))
        # What lies before either end, in proportion within the bins in which they fall.
        left, left_size = self._before(since, first_touched)
        right, right_size = self._before(until, max(0, last_touched - 1))
        inside = end > begin
        return (
            rows[end] - rows[begin] if inside else 0.0,
            right - left,
            rows[last_touched] - rows[first_touched],
            sizes[end] - sizes[begin] if inside else 0.0,
            right_size - left_size,
            sizes[last_touched] - sizes[first_touched],
        )

    def _before(self, at: float, place: int) -> tuple[float, float]:
        """Rows and bytes before a time that falls in that bin, or beyond the ends."""
        edges, rows, sizes = self.edges, self.rows, self.sizes
        left, right = edges[place], edges[place + 1]
        if at <= left:
            return rows[place], sizes[place]
        if at >= right:
            return rows[place + 1], sizes[place + 1]
        share = (at - left) / (right - left)
        return (
            rows[place] + (rows[place + 1] - rows[place]) * share,
            sizes[place] + (sizes[place + 1] - sizes[place]) * share,
        )


def steps(rows: Sequence[tuple[float, int]], bins: int) -> Steps:
    """Bins for rows of (time, bytes), in the order of time."""
    if not rows:
        return Steps((), (), ())
    count = min(bins, len(rows))
    # Rows of one instant stay in one bin: an edge between them would belong to neither.
    starts = set()
    for number in range(count):
        place = number * len(rows) // count
        while place and rows[place - 1][0] == rows[place][0]:
            place -= 1
        starts.add(place)
    places = [*sorted(starts), len(rows)]
    sums = [0, *accumulate(size for _, size in rows)]
    return Steps(
        (*(rows[place][0] for place in places[:-1]), rows[-1][0]),
        tuple(places),
        tuple(sums[place] for place in places),
    )
