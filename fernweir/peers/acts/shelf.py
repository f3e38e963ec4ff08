"""What is kept of one chain, one life of one front: newest blocks as they are, runs of them as segments.

Blocks may come in any order. Each is proved against the neighbours that are here: two blocks of one number,
or one that does not name its predecessor's digest, mean that the chain was changed. Free of I/O.
"""

from __future__ import annotations

from bisect import bisect_right, insort
from collections.abc import Callable, Iterator
from enum import Enum

from fernweir.peers.acts import segment as segments
from fernweir.peers.acts.block import BlockError, Sealed
from fernweir.peers.acts.rules import ActRules
from fernweir.peers.acts.segment import Segment
from fernweir.peers.acts.spans import Spans

_BLOCK_BYTES = 1_500  # about what a block that is held decoded takes besides its bytes


class Put(Enum):
    NEW = "new"
    KNOWN = "known"
    OLD = "old"  # dropped already, for want of room
    WRONG = "wrong"  # doesn't fit the chain that is here


class Shelf:
    """`data` reads a segment's bytes wherever they are, OSError if it can't; `sealed` is told of new ones."""

    def __init__(
        self, owner: str, life: int, rules: ActRules,
        data: Callable[[Segment], bytes], sealed: Callable[[Segment], None],
    ) -> None:  # fmt: skip
        self.owner, self.life, self.rules = owner, life, rules
        self.numbers = Spans()
        self.first_kept = 1  # what is older was dropped
        self.size = 0
        self.segments: list[Segment] = []
        self.tail: dict[int, Sealed] = {}
        self.final = 0  # the number of the last block of a front that ended in order
        self._tail_acts = 0
        self._data, self._told = data, sealed

    def digest(self, number: int) -> bytes | None:
        held = self.tail.get(number)
        if held is not None:
            return held.digest
        found = self._segment(number)
        return found.digest(number) if found is not None else None

    def put(self, sealed: Sealed) -> Put:
        number = sealed.block.number
        if number < self.first_kept:
            return Put.OLD
        if number in self.numbers:
            return Put.KNOWN if self.digest(number) == sealed.digest else Put.WRONG
        before, after = self.digest(number - 1), self._before_of(number + 1)
        if before not in (None, sealed.block.before) or after not in (None, sealed.digest):
            return Put.WRONG
        if self.final and number > self.final:
            return Put.WRONG
        if sealed.block.final:
            if self.numbers.last > number:
                return Put.WRONG
            self.final = number
        self.numbers.add(number)
        self.tail[number] = sealed
        self._tail_acts += len(sealed.block)
        self.size += len(sealed.data) + _BLOCK_BYTES
        if self._tail_acts >= self.rules.segment_acts or len(self.tail) >= self.rules.segment_blocks:
            self._seal()
        return Put.NEW

    def block(self, number: int) -> Sealed | None:
        """A block as it came, wherever it is kept; None if it isn't, or can't be read."""
        held = self.tail.get(number)
        if held is not None:
            return held
        found = self._segment(number)
        if found is None:
            return None
        blocks = self.read(found)
        return blocks[number - found.first] if blocks else None

    def read(self, one: Segment) -> list[Sealed]:
        """Its blocks. None, if the disk gives them no more or gives other ones: then they are not kept."""
        try:
            blocks = segments.unpack(self._data(one), self.rules)
        except (OSError, BlockError):
            blocks = []
        if b"".join(block.digest for block in blocks) == one.digests:
            return blocks
        if one in self.segments:
            self.segments.remove(one)
            self.size -= one.size()
            self.numbers.remove(one.first, one.last)
        return []

    def blocks(self, one: Segment) -> list[bytes]:
        """As `read`, as bytes, without proving again what never left memory."""
        if one.data is not None:
            return segments.trusted(one.data)
        return [sealed.data for sealed in self.read(one)]

    def units(self, number: int) -> Iterator[Segment | Sealed]:
        """All that is kept from a block on, in the chain's order."""
        loose = sorted(at for at in self.tail if at >= number)
        at = 0
        for one in list(self.segments):
            if one.last < number:
                continue
            while at < len(loose) and loose[at] < one.first:
                yield self.tail[loose[at]]
                at += 1
            yield one
        for left in loose[at:]:
            yield self.tail[left]

    def take_up(self, one: Segment) -> None:
        """A segment that an earlier life of this process kept."""
        if any(number in self.numbers for number in (one.first, one.last)):
            return
        insort(self.segments, one, key=lambda each: each.first)
        self.numbers.add(one.first, one.last)
        self.size += one.size()

    def seal_all(self) -> None:
        """Every loose block goes into a segment, however small."""
        for run in self._runs():
            self._make(run)

    def drop_oldest(self) -> int:
        """Lets the oldest segment go, or the oldest loose block; the bytes that this gave."""
        before = self.size
        oldest = min(self.tail, default=0)
        if self.segments and (not oldest or self.segments[0].first < oldest):
            gone = self.segments.pop(0)
            self.size -= gone.size()
            self._dropped_to(gone.last + 1)
        elif oldest:
            self._drop_loose(oldest)
            self._dropped_to(oldest + 1)
        return before - self.size

    def drop(self, one: Segment) -> None:
        """The disk's bound has dropped it."""
        if one in self.segments:
            while self.segments and self.segments[0].first <= one.first:
                self.size -= self.segments.pop(0).size()
            self._dropped_to(one.last + 1)

    # --- pieces ---

    def _dropped_to(self, number: int) -> None:
        self.first_kept = max(self.first_kept, number)
        for loose in [at for at in self.tail if at < number]:
            self._drop_loose(loose)
        self.numbers.drop_below(number)

    def _drop_loose(self, number: int) -> None:
        gone = self.tail.pop(number)
        self._tail_acts -= len(gone.block)
        self.size -= len(gone.data) + _BLOCK_BYTES

    def _before_of(self, number: int) -> bytes | None:
        """What a block that is here says of its predecessor."""
        held = self.block(number) if number in self.numbers else None
        return held.block.before if held is not None else None

    def _segment(self, number: int) -> Segment | None:
        at = bisect_right(self.segments, number, key=lambda one: one.first) - 1
        return self.segments[at] if at >= 0 and number <= self.segments[at].last else None

    def _seal(self) -> None:
        """The longest run of loose blocks becomes a segment; holes may be filled later."""
        self._make(max(self._runs(), key=len))

    def _runs(self) -> list[list[int]]:
        runs: list[list[int]] = []
        for number in sorted(self.tail):
            if runs and runs[-1][-1] == number - 1:
                runs[-1].append(number)
            else:
                runs.append([number])
        return runs

    def _make(self, run: list[int]) -> None:
        made = segments.make([self.tail[number] for number in run])
        for number in run:
            self._drop_loose(number)
        insort(self.segments, made, key=lambda one: one.first)
        self.size += made.size()
        self._told(made)
