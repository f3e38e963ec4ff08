"""Chooses the records of an answer that cannot contain all, and splits the answer into messages.

The Scuttlebutt paper compares two orders for a message that is too small: everything that is missing of a few
owners (depth), or a little of every owner (breadth). With both, the records of each owner are a prefix. Depth
is used here, as it completes more owners sooner in a front that joins. The order of the owners is random each
time, so that none with many or few changes delays the others. Sizes are estimates, slightly above what the
codec produces.
"""

from __future__ import annotations

from dataclasses import dataclass

from fernweir.peers.facts.messages import Delta, Entry, Part, PushedRecord, Record

DATAGRAM_OVERHEAD_BYTES = 80  # network headers, name, life, counter, seal
_PART_BYTES, _RECORD_BYTES, _ENTRY_BYTES, _MESSAGE_BYTES = 32, 20, 26, 10


@dataclass(frozen=True, slots=True)
class Missing:
    """The records of an owner that a peer lacks."""

    owner: str
    life: int
    since: int
    floor: int
    records: list[Record]


@dataclass(frozen=True, slots=True)
class Packed:
    """The messages of an answer, whether they must go over the reliable connection, and their size."""

    deltas: list[Delta]
    reliable: bool
    size: int


def record_size(record: Record) -> int:
    """Returns the estimated size of a record in bytes."""
    return _RECORD_BYTES + len(record.key) + (len(record.value) if record.value is not None else 0)


def entries_size(entries: tuple[Entry, ...]) -> int:
    """Returns the estimated size of a datagram with these entries in bytes."""
    return (
        DATAGRAM_OVERHEAD_BYTES + _MESSAGE_BYTES + sum(_ENTRY_BYTES + len(entry.owner) for entry in entries)
    )


def pushed_record_size(pushed: PushedRecord) -> int:
    """Returns the estimated size of a pushed record in bytes."""
    return _ENTRY_BYTES + len(pushed.owner) + record_size(pushed.record)


def count_fitting(missing: list[Missing], capacity: float) -> list[int]:
    """Returns how many records of each owner, from its first one on, fit into `capacity` bytes."""
    counts = []
    for lacking in missing:
        capacity -= _PART_BYTES + len(lacking.owner)
        count = 0
        for record in lacking.records:
            if record_size(record) > capacity:
                break  # a later record would leave a gap
            capacity -= record_size(record)
            count += 1
        if not count:
            capacity += _PART_BYTES + len(lacking.owner)
        counts.append(count)
    return counts


def pack(
    missing: list[Missing], truncated: bool, capacity: float, max_datagram_bytes: int, max_datagrams: int
) -> Packed:
    """Returns deltas with as many of the missing records as fit into `capacity` bytes.

    They are several datagrams, each valid by itself, if those are few enough and no part is too long for one.
    Otherwise it is one message for the reliable connection.

    Args:
        missing: The records, by owner.
        truncated: Whether more records are missing than those in `missing`.
        capacity: The size limit of the answer.
        max_datagram_bytes: The size limit of a datagram.
        max_datagrams: The largest number of datagrams.
    """
    counts = count_fitting(missing, capacity - DATAGRAM_OVERHEAD_BYTES - _MESSAGE_BYTES)
    parts = [
        Part(lacking.owner, lacking.life, lacking.since, lacking.floor, tuple(lacking.records[:count]))
        for lacking, count in zip(missing, counts, strict=True)
        if count
    ]
    has_more = truncated or any(
        count < len(lacking.records) for lacking, count in zip(missing, counts, strict=True)
    )
    bins: list[list[Part]] = [[]]
    remaining, total, reliable = max_datagram_bytes, 0, False
    for part in parts:
        size = part_size(part)
        total += size
        reliable = reliable or size > max_datagram_bytes
        if size > remaining and bins[-1]:
            bins.append([])
            remaining = max_datagram_bytes
        bins[-1].append(part)
        remaining -= size
    if not parts:
        return Packed([], False, 0)
    if reliable or len(bins) > max_datagrams:
        bins, reliable = [parts], True
    size = total + len(bins) * (DATAGRAM_OVERHEAD_BYTES + _MESSAGE_BYTES)
    last = len(bins) - 1
    return Packed(
        [Delta(tuple(content), has_more and index == last) for index, content in enumerate(bins)],
        reliable,
        size,
    )


def part_size(part: Part) -> int:
    """Returns the estimated size of a part in bytes."""
    return _PART_BYTES + len(part.owner) + sum(record_size(record) for record in part.records)
