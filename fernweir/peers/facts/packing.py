"""Which records go into an answer that can't hold all, and how an answer is cut into messages.

Scuttlebutt's paper weighs two orders for a message that is too small: all that is missing of a few owners
(depth), or a little of every owner (breadth). Both keep each owner's records a prefix. Depth is taken, as in
a joining front it makes more owners whole sooner; the owners are in an order drawn anew each time, so that
none with many changes, or few, keeps the others waiting. Sizes are reckoned, a little above what the codec
makes.
"""

from __future__ import annotations

from dataclasses import dataclass

from fernweir.peers.facts.messages import Delta, Entry, Part, PushedRecord, Record

DATAGRAM_COST = 80  # headers of the network, name, life, counter, seal
_PART, _RECORD, _ENTRY, _MESSAGE = 32, 20, 26, 10


@dataclass(frozen=True, slots=True)
class Missing:
    """What somebody lacks of an owner."""

    owner: str
    life: int
    since: int
    floor: int
    records: list[Record]


@dataclass(frozen=True, slots=True)
class Answer:
    deltas: list[Delta]
    whole: bool
    size: int


def record_size(record: Record) -> int:
    return _RECORD + len(record.key) + (len(record.value) if record.value is not None else 0)


def entries_size(entries: tuple[Entry, ...]) -> int:
    return DATAGRAM_COST + _MESSAGE + sum(_ENTRY + len(entry.owner) for entry in entries)


def item_size(item: PushedRecord) -> int:
    return _ENTRY + len(item.owner) + record_size(item.record)


def share(missing: list[Missing], room: float) -> list[int]:
    """How many records of each go into `room` bytes, from the first of each on."""
    counts = []
    for one in missing:
        room -= _PART + len(one.owner)
        count = 0
        for record in one.records:
            if record_size(record) > room:
                break  # what comes after it would leave a gap
            room -= record_size(record)
            count += 1
        if not count:
            room += _PART + len(one.owner)
        counts.append(count)
    return counts


def pack(missing: list[Missing], cut: bool, room: float, datagram: int, datagrams: int) -> Answer:
    """Several datagrams, each good by itself, if they are few and nothing is too long for one.

    `cut`: there is more than what is given.
    """
    counts = share(missing, room - DATAGRAM_COST - _MESSAGE)
    parts = [
        Part(one.owner, one.life, one.since, one.floor, tuple(one.records[:count]))
        for one, count in zip(missing, counts, strict=True)
        if count
    ]
    more = cut or any(count < len(one.records) for one, count in zip(missing, counts, strict=True))
    bins: list[list[Part]] = [[]]
    left, total, whole = datagram, 0, False
    for part in parts:
        size = part_size(part)
        total += size
        whole = whole or size > datagram
        if size > left and bins[-1]:
            bins.append([])
            left = datagram
        bins[-1].append(part)
        left -= size
    if not parts:
        return Answer([], False, 0)
    if whole or len(bins) > datagrams:
        bins, whole = [parts], True
    size = total + len(bins) * (DATAGRAM_COST + _MESSAGE)
    last = len(bins) - 1
    return Answer([Delta(tuple(one), more and index == last) for index, one in enumerate(bins)], whole, size)


def part_size(part: Part) -> int:
    return _PART + len(part.owner) + sum(record_size(record) for record in part.records)
