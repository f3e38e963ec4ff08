"""The journal against a list, over lives that end in kills: files cut off, bits turned, the disk full.

What was written and not damaged is there again, as it was written and in its order; what is damaged is left
out and said; nothing raises; numbers go on above all that are found.
"""

from __future__ import annotations

import errno
import tempfile
from pathlib import Path
from random import Random
from unittest import mock

from fernweir.journal import disk
from fernweir.journal.disk import JournalFolder
from fernweir.journal.events import Entry, EventKind
from fernweir.journal.segment import Query
from fernweir.journal.store import Journal, JournalConfig
from tests.fuzzing import Finding, Tape, Target, same

RULES = JournalConfig(segment_entries=8, max_memory_bytes=12_000, max_decoded_segments=2)
_WHATS = (EventKind.REQUESTED, EventKind.PLAYS, EventKind.REFUSED, EventKind.SERVER)


class Disk:
    """What a write does: all of it, or a part until it is full."""

    def __init__(self) -> None:
        self.room: int | None = None
        self.write = disk._write_all

    def __call__(self, out: int, data: bytes) -> None:
        if self.room is not None and self.room < len(data):
            self.write(out, bytes(data[: self.room]))
            self.room = 0
            raise OSError(errno.ENOSPC, "No space left on device")
        if self.room is not None:
            self.room -= len(data)
        self.write(out, data)


class Life:
    def __init__(self, where: Path, tape: Tape, full: Disk) -> None:
        self.where, self.tape, self.disk = where, tape, full
        self.versions: dict[int, list[Entry]] = {}
        self.expected: list[Entry] = []  # exactly what this life has
        self.whole = True  # all of it is on disk, undamaged
        self.turned = False  # a bit in the newest rows, which have no checksum until they are sealed
        self.spoilt = False  # or full, at some time
        self.kept: set[int] = set()  # what is in segments that the disk took, when it was last killed
        self.now, self.dice = 0.0, Random(1)
        self.open()

    def open(self) -> None:
        self.folder = JournalFolder(self.where, file_bytes=600)
        self.journal = Journal("f", RULES, self.folder)
        self.said: list[str] = []
        self.journal.on_fault = self.said.append
        try:
            self.journal.restore(*self.folder.open())
        except OSError:
            if self.disk.room is None:
                raise
            self.disk.room = None  # the program ends here; it is started again where there is room
            self.folder.close()
            self.open()
            return
        found = list(self.journal.entries(0))
        for one in found:
            if self.turned:
                self.versions.setdefault(one.number, []).append(one)
            elif one not in self.versions.get(one.number, ()):
                raise Finding(f"never written: {one}")
        numbers = [one.number for one in found]
        if numbers != sorted(set(numbers)):
            raise Finding(f"out of order: {numbers}")
        if self.whole:
            same(numbers, [one.number for one in self.expected], "all of it was written")
            same(self.folder.problems if not self.spoilt else [], [], "nothing is damaged")
        if not self.kept <= set(numbers):
            raise Finding(f"kept, and lost: {sorted(self.kept - set(numbers))}")
        if numbers and self.journal.last < numbers[-1]:
            raise Finding(f"last is {self.journal.last}, found is {numbers[-1]}")
        self.expected, self.whole, self.turned = found, True, False

    def kill(self) -> None:
        sealed = [one for one in self.journal._sealed if one.handle is not None]
        there = {one.number for one in self.expected}
        self.kept = {number for number in there if any(one.first <= number <= one.last for one in sealed)}
        self.folder.close()

    def add(self) -> None:
        dice = self.dice
        self.now += dice.randrange(1, 6)
        entry = self.journal.add(
            self.now, dice.choice(_WHATS), session=f"s{dice.randrange(4)}", server=dice.randrange(3),
            why=dice.choice(("", "full", "\ud800", "é" * 40)),
        )  # fmt: skip
        self.versions.setdefault(entry.number, []).append(entry)
        self.expected.append(entry)
        if self.journal.fault:
            self.whole = False

    def look(self) -> None:
        found = list(self.journal.entries(0))
        if self.spoilt:  # what the disk did not take may have left memory
            self.expected = [one for one in self.expected if one.number >= self.journal.first]
        same(found, self.expected, self.said)
        low = self.tape.below(len(self.expected) + 1)
        part = [one for one in self.expected if low <= one.number < low + 9]
        same(list(self.journal.entries(low, low + 9)), part, low)
        times = (0, 1 << 62)
        if self.expected and self.tape.below(2):
            at = self.tape.one(self.expected).at
            times = (at, at + 1 + self.tape.below(9))
        question = Query(
            self.tape.one((None, "s1")), {} if self.tape.below(2) else {"box": 1}, *times
        )  # fmt: skip
        wanted = [one for one in reversed(self.expected) if question.matches(one)]
        same(self.journal.find(question, 1_000), wanted, question)

    def damage(self) -> None:
        """A kill, and what it, the disk or somebody made of a file."""
        self.kill()
        self.whole, self.spoilt, self.kept = False, True, set()
        files = sorted(self.where.iterdir())
        file = files[self.tape.below(len(files))]
        data = bytearray(file.read_bytes())
        what = self.tape.below(4)
        at = self.tape.below(65_536) % (len(data) + 1)
        if what == 0:
            del data[at:]
        elif what == 1 and at < len(data):
            data[at] ^= 1 << self.tape.below(8)
            self.turned = file.name == "newest.rows"
        elif what == 2:
            data += bytes(self.tape.byte() for _ in range(5))
        else:
            file.unlink()
        if what < 3:
            file.write_bytes(data)


def check(data: bytes) -> None:
    tape, full = Tape(data), Disk()
    with tempfile.TemporaryDirectory() as folder, mock.patch.object(disk, "_write_all", full):
        life = Life(Path(folder), tape, full)
        while tape.more:
            what = tape.below(16)
            if what <= 6:
                for _ in range(1 + tape.below(24)):
                    life.add()
            elif what <= 9:
                life.look()
            elif what == 10:
                life.kill()
                life.open()
            elif what <= 13:
                for _ in range(tape.below(3)):  # little room at a time, and none between
                    full.room = tape.below(256)
                    for _ in range(tape.below(12)):
                        life.add()
                full.room = tape.below(256) if tape.below(4) == 0 else None
                life.spoilt = True  # what was not written is missing, and said so ever after
            elif full.room is None:
                life.damage()
                life.open()
        life.look()
        life.kill()


def draw(dice: Random) -> bytes:
    return dice.randbytes(dice.randrange(10, 80))


TARGET = Target(check, draw)
