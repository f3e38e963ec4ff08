"""The queue of updates to gossip, newest first; each is sent as often as a multiple of log of the fleet.

The dissemination is piggybacked and bounded as in SWIM (Das, Gupta, Motivala 2002). Only the newest update of
a member is sent. For a suspicion the update of each accuser is sent, because they are counted separately.
"""

from __future__ import annotations

import msgspec

from fernweir.peers.members.messages import Record, State

Slot = tuple[str, str]  # name, and accuser if it is a suspicion


class GossipQueue:
    """Pending updates, by the number of times they were sent."""

    __slots__ = ("_encoder", "_levels", "_slots")

    def __init__(self) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._levels: list[dict[Slot, tuple[Record, int]]] = [{}]  # by the number of times it was sent
        self._slots: dict[str, dict[str, int]] = {}  # name -> accuser -> level

    def __len__(self) -> int:
        return sum(len(level) for level in self._levels)

    def __bool__(self) -> bool:
        return bool(self._slots)

    def add(self, record: Record) -> None:
        """Adds an update and drops older updates of the same member."""
        accuser = record.accuser if record.state is State.SUSPECT else ""
        slots = self._slots.get(record.name, {})
        for other_accuser, level in list(slots.items()):
            if (
                other_accuser == accuser
                or self._levels[level][record.name, other_accuser][0].key < record.key
            ):
                self._drop((record.name, other_accuser), level)
        self._put((record.name, accuser), 0, (record, len(self._encoder.encode(record))))

    def select(
        self, space_bytes: int, repeats: int, to: str = "", first: Record | None = None
    ) -> tuple[Record, ...]:
        """Returns the updates for one message to `to`, of at most `space_bytes`.

        `first`, if given, comes before all others and does not count as sent. A member is not sent its own
        updates.
        """
        selected: list[Record] = []
        if first is not None:
            selected.append(first)
            space_bytes -= len(self._encoder.encode(first))
        for level in range(
            len(self._levels) - 1, repeats - 1, -1
        ):  # sent often enough, since the fleet has shrunk
            for slot in list(self._levels[level]):
                self._drop(slot, level)
        sent: list[tuple[Slot, int]] = []
        for level in range(min(repeats, len(self._levels))):
            for slot, (record, size) in reversed(self._levels[level].items()):
                if slot[0] == to and record.state is State.ALIVE:
                    continue
                if size > space_bytes:
                    break
                space_bytes -= size
                sent.append((slot, level))
                if record != first:
                    selected.append(record)
            else:
                continue
            break
        for slot, level in sent:
            entry = self._drop(slot, level)
            if level + 1 < repeats:
                self._put(slot, level + 1, entry)
        return tuple(selected)

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
