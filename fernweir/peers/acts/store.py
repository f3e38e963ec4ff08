"""All chains that a front keeps, its own and copies, bounded in memory; segments may outlive it on a disk.

The disk is the journal's `Blocks`: one log of segments, each with a number of this store, the oldest files
dropped first. When it takes nothing (it is full), the store goes on in memory, says so once, and tries again
with the next segment.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterator, Sequence

from fernweir.journal.segment import Index
from fernweir.journal.store import SegmentStore
from fernweir.peers.acts import segment as segments
from fernweir.peers.acts.block import BlockError, Sealed
from fernweir.peers.acts.rules import ActRules
from fernweir.peers.acts.segment import Decoded, Segment
from fernweir.peers.acts.shelf import Put, Shelf

_DECODED = 4


class Store:
    """`me`: whose own chains have the bound `own_bytes`, apart from what is kept for others."""

    def __init__(self, me: str, rules: ActRules, disk: SegmentStore | None = None) -> None:
        self.me, self.rules, self.disk = me, rules, disk
        self.trouble = ""  # why the disk keeps nothing just now
        self.on_trouble: Callable[[str], None] = lambda why: None
        self._shelves: dict[str, dict[int, Shelf]] = {}
        self._sequence = 0
        self._by_sequence: OrderedDict[int, tuple[Shelf, Segment]] = OrderedDict()
        self._decoded: OrderedDict[tuple[str, int, int], Decoded] = OrderedDict()

    def shelf(self, owner: str, life: int) -> Shelf | None:
        return self._shelves.get(owner, {}).get(life)

    def shelves(self) -> Iterator[Shelf]:
        for lives in list(self._shelves.values()):
            yield from list(lives.values())

    @property
    def size(self) -> int:
        return sum(shelf.size for shelf in self.shelves())

    def put(self, sealed: Sealed) -> Put:
        owner, life = sealed.block.front, sealed.block.life
        shelf = self.shelf(owner, life) or self._begin(owner, life)
        if shelf is None:
            return Put.OLD
        put = shelf.put(sealed)
        if put is Put.NEW:
            self._bound(shelf)
        return put

    def restore(self, kept: Sequence[tuple[int, int, object]]) -> None:
        """Takes up what the disk has from earlier lives, as `JournalFolder.open` tells it.

        Damage is said and passed over; indexes are made when they are asked for.
        """
        assert self.disk is not None
        for sequence, _, handle in kept:
            self._sequence = max(self._sequence, sequence)
            try:
                blocks = segments.unpack(self.disk.read_segment(handle), self.rules)
            except (OSError, BlockError) as error:
                self.on_trouble(f"segment {sequence} of the record of acts can't be read: {error}")
                continue
            made = segments.make(blocks)
            made.data, made.index, made.handle, made.sequence = None, None, handle, sequence
            block = blocks[-1].block
            shelf = self.shelf(block.front, block.life) or self._begin(block.front, block.life)
            if shelf is not None:
                shelf.take_up(made)
                shelf.final = block.number if block.final else shelf.final
                self._by_sequence[sequence] = shelf, made
                self._bound(shelf)

    def close(self) -> None:
        """What is not in a segment yet goes to the disk in one, as the process ends."""
        if self.disk is not None:
            for shelf in self.shelves():
                shelf.seal_all()

    def index(self, shelf: Shelf, one: Segment) -> Index | None:
        """Made anew if memory had no room for it. None: the segment can't be read."""
        if one.index is not None:
            return one.index
        blocks = shelf.blocks(one)
        if not blocks:
            return None
        made = segments.index(blocks)
        if shelf.size + made.size_bytes() <= self._most(shelf):
            one.index = made
            shelf.size += made.size_bytes()
        return made

    def decoded(self, shelf: Shelf, one: Segment) -> Decoded | None:
        key = shelf.owner, shelf.life, one.first
        found = self._decoded.get(key)
        if found is None:
            blocks = shelf.blocks(one)
            if not blocks:
                return None
            found = self._decoded[key] = Decoded(blocks, one.counts)
            if len(self._decoded) > _DECODED:
                self._decoded.popitem(last=False)
        else:
            self._decoded.move_to_end(key)
        return found

    # --- pieces ---

    def _begin(self, owner: str, life: int) -> Shelf | None:
        """Of each front the newest lives. None: this one is older, or there are too many fronts."""
        lives = self._shelves.get(owner)
        if lives is None:
            if len(self._shelves) >= self.rules.owners:
                return None
            lives = self._shelves[owner] = {}
        if len(lives) >= self.rules.lives:
            oldest = min(lives)
            if oldest > life:
                return None
            del lives[oldest]
        shelf: Shelf
        shelf = lives[life] = Shelf(owner, life, self.rules, self._data, lambda one: self._keep(shelf, one))
        return shelf

    def _data(self, one: Segment) -> bytes:
        if one.data is not None:
            return one.data
        if self.disk is None:
            raise OSError("the segment is not kept")
        return self.disk.read_segment(one.handle)

    def _keep(self, shelf: Shelf, one: Segment) -> None:
        """A segment was sealed: the disk gets it too. Disk trouble never stops a front."""
        if self.disk is None:
            return
        self._sequence += 1
        one.sequence = self._sequence
        assert one.data is not None
        try:
            one.handle = self.disk.append_segment(self._sequence, self._sequence, one.data)
        except OSError as error:
            if not self.trouble:
                self.trouble = error.strerror or str(error)
                self.on_trouble(self.trouble)
            return
        if self.trouble:
            self.trouble = ""
            self.on_trouble("")
        self._by_sequence[one.sequence] = shelf, one
        kept_from = self.disk.first_number()
        while self._by_sequence and next(iter(self._by_sequence)) < kept_from:
            owner, gone = self._by_sequence.popitem(last=False)[1]
            gone.handle = None
            if gone.data is None:
                owner.drop(gone)

    def _most(self, shelf: Shelf) -> int:
        return self.rules.own_bytes if shelf.owner == self.me else self.rules.peer_bytes

    def _bound(self, shelf: Shelf) -> None:
        """First the bytes of what the disk holds leave memory, then indexes, then the oldest for good."""
        self._shrink(shelf, self._most(shelf))
        copies = [one for one in self.shelves() if one.owner != self.me]
        over = sum(one.size for one in copies) - self.rules.copies_bytes
        while over > 0:
            largest = max(copies, key=lambda one: one.size)
            before = largest.size
            self._shrink(largest, max(0, before - max(over, before // 8)))
            if largest.size == before:
                return
            over -= before - largest.size

    def _shrink(self, shelf: Shelf, most: int) -> None:
        if shelf.size <= most:
            return
        for one in shelf.segments:
            if shelf.size <= most:
                return
            if one.handle is not None and one.data is not None:
                shelf.size -= len(one.data)
                one.data = None
        for one in shelf.segments:
            if shelf.size <= most:
                return
            if one.handle is not None and one.index is not None:
                shelf.size -= one.index.size_bytes()
                one.index = None
        while shelf.size > most and shelf.drop_oldest():
            pass
