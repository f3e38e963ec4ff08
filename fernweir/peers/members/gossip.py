"""News on its way: each piece is passed on a number of times that grows with log of the fleet, newest first.

Piggybacked, bounded dissemination as in SWIM (Das, Gupta, Motivala 2002). Of one member only the newest
statement is passed on; of a suspicion the statement of each accuser, as they count apart.
"""

from __future__ import annotations

import msgspec

from fernweir.peers.members.messages import Record, State

Slot = tuple[str, str]  # name, and accuser if it is a suspicion


class Queue:
    __slots__ = ("_encoder", "_levels", "_slots")

    def __init__(self) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._levels: list[dict[Slot, tuple[Record, int]]] = [{}]  # by how often it was passed on
        self._slots: dict[str, dict[str, int]] = {}  # name -> accuser -> level

    def __len__(self) -> int:
        return sum(len(level) for level in self._levels)

    def __bool__(self) -> bool:
        return bool(self._slots)

    def add(self, record: Record) -> None:
        """Older news of the same member is dropped."""
        by = record.by if record.state is State.SUSPECT else ""
        slots = self._slots.get(record.name, {})
        for other, level in list(slots.items()):
            if other == by or self._levels[level][record.name, other][0].key < record.key:
                self._drop((record.name, other), level)
        self._put((record.name, by), 0, (record, len(self._encoder.encode(record))))

    def take(self, room: int, repeats: int, to: str = "", first: Record | None = None) -> tuple[Record, ...]:
        """News of at most `room` bytes; `first`, if given, comes before all and is not counted.

        What a member said itself is not told to it.
        """
        taken: list[Record] = []
        if first is not None:
            taken.append(first)
            room -= len(self._encoder.encode(first))
        for level in range(len(self._levels) - 1, repeats - 1, -1):  # the fleet has shrunk
            for slot in list(self._levels[level]):
                self._drop(slot, level)
        moved: list[tuple[Slot, int]] = []
        for level in range(min(repeats, len(self._levels))):
            for slot, (record, size) in reversed(self._levels[level].items()):
                if slot[0] == to and record.state is State.ALIVE:
                    continue
                if size > room:
                    break
                room -= size
                moved.append((slot, level))
                if record != first:
                    taken.append(record)
            else:
                continue
            break
        for slot, level in moved:
            entry = self._drop(slot, level)
            if level + 1 < repeats:
                self._put(slot, level + 1, entry)
        return tuple(taken)

    def _put(self, slot: Slot, level: int, entry: tuple[Record, int]) -> None:
        while len(self._levels) <= level:
            self._levels.append({})
        self._levels[level][slot] = entry
        self._slots.setdefault(slot[0], {})[slot[1]] = level

    def _drop(self, slot: Slot, level: int) -> tuple[Record, int]:
        slots = self._slots[slot[0]]
        del slots[slot[1]]
        if not slots:
            del self._slots[slot[0]]
        return self._levels[level].pop(slot)
