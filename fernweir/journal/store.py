"""The journal itself: entries appended, bounded in memory and on disk, asked by field and time.

The newest entries are held as they are; each full run of them is sealed into a segment. `Blocks` keeps the
sealed ones for longer than memory does; when it can't (the disk is full), the journal goes on in memory,
says so once, and tries again with the next segment. Entries leave oldest first, and `first` says how far.
"""

from __future__ import annotations

import secrets
from collections import OrderedDict, deque
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from itertools import islice
from typing import Any, Protocol

from fernweir.journal.events import Entry, EntryError, What, from_row
from fernweir.journal.segment import Index, Question, offsets, pack, unpack


class Blocks(Protocol):
    """Where sealed segments and the newest rows outlive the process. Methods raise OSError."""

    def keep(self, first: int, last: int, data: bytes) -> object:
        """Keeps a sealed segment and drops the newest rows, which it holds; a handle for `read`."""

    def read(self, handle: object) -> bytes: ...

    def tail(self, entry: Entry) -> None:
        """Keeps one newest row until its segment is sealed."""

    def first(self) -> int:
        """The oldest entry that is kept still; 0 if none is."""


@dataclass(frozen=True, slots=True)
class JournalRules:
    """`memory_bytes` bounds what sealed segments and their indexes take; `run` entries make a segment."""

    run: int = 512
    memory_bytes: int = 64 << 20
    decoded: int = 8


@dataclass(slots=True)
class _Sealed:
    first: int
    last: int
    since: int
    until: int
    index: Index | None
    data: bytes | None
    handle: object | None

    def bytes(self) -> int:
        return (self.index.bytes() if self.index else 0) + len(self.data or b"") + 300


@dataclass(slots=True)
class _Effort:
    """How many segments a question may still read, and where it stopped for want of them."""

    left: int = -1
    stopped_at: int | None = None


Watcher = Callable[[Entry], None]


class Journal:
    """Appends with `add`; `watch` is told of each entry as it is appended."""

    def __init__(
        self,
        front: str = "",
        rules: JournalRules | None = None,
        blocks: Blocks | None = None,
        *,
        wall_offset_ms: float = 0.0,
    ) -> None:
        self.front, self.rules, self.blocks = front, rules or JournalRules(), blocks
        self.wall_offset_ms = wall_offset_ms
        self.id = secrets.token_hex(8)  # numbers mean nothing but within one journal
        self.last = 0
        self.trouble = ""  # why the disk keeps nothing just now
        self.on_trouble: Callable[[str], None] = lambda why: None
        self.watchers: list[Watcher] = []
        self._newest: list[Entry] = []
        self._sealed: deque[_Sealed] = deque()
        self._bytes = 0
        self._rows: OrderedDict[int, list[Any]] = OrderedDict()

    @property
    def first(self) -> int:
        """The oldest entry that can still be asked for."""
        if self._sealed:
            return self._sealed[0].first
        return self._newest[0].number if self._newest else self.last + 1

    @property
    def bytes(self) -> int:
        """What sealed segments take in memory, by the journal's own count."""
        return self._bytes

    def __len__(self) -> int:
        return self.last - self.first + 1

    def add(
        self, now: float, what: What, *, front: str | None = None, more: Mapping[str, Any] | None = None,
        **fields: Any,
    ) -> Entry:  # fmt: skip
        """Appends what happened at `now`, ms of the loop's clock."""
        self.last += 1
        for name, value in fields.items():
            # A lone surrogate can come in a token; it must not stop the journal when it is written out.
            if type(value) is str and not value.isascii():
                fields[name] = value.encode("utf-8", "backslashreplace").decode()
        entry = Entry(
            self.last, int(now + self.wall_offset_ms), what, self.front if front is None else front,
            more=more or {}, **fields,
        )  # fmt: skip
        self._append(entry)
        return entry

    def restore(self, id: str, sealed: list[tuple[int, int, object]], tail: list[Entry]) -> None:
        """Takes up what an earlier life kept; its segments are read when they are asked for."""
        self.id = id
        for first, last, handle in sealed:
            self._sealed.append(_Sealed(first, last, 0, 1 << 62, None, None, handle))
            self._bytes += self._sealed[-1].bytes()
            self.last = last
        for entry in tail:
            if entry.number == self.last + 1 or not (self.last or self._newest):
                self.last = entry.number
                self._newest.append(entry)

    def entries(self, start: int, stop: int | None = None) -> Iterator[Entry]:
        """Entries by number from `start` on, oldest first."""
        for sealed in list(self._sealed):
            if sealed.last >= start and (stop is None or sealed.first < stop):
                yield from (one for one in self._entries(sealed) if one.number >= start and
                            (stop is None or one.number < stop))  # fmt: skip
        for one in list(self._newest):
            if one.number >= start and (stop is None or one.number < stop):
                yield one

    def find(self, question: Question, limit: int = 100, before: int | None = None) -> list[Entry]:
        """The newest `limit` entries that hold, newest first, with numbers under `before`."""
        return list(islice(self._newest_first(question, before, _Effort()), limit))

    def search(
        self, question: Question, limit: int = 100, before: int | None = None, runs: int = 16
    ) -> tuple[list[Entry], int | None]:
        """As `find`, but reads at most `runs` segments; and where to go on from, or None at the end.

        Each segment read costs the caller's loop most of a millisecond: a question about what is spread
        over a day must not keep a viewer waiting.
        """
        effort = _Effort(runs)
        found = list(islice(self._newest_first(question, before, effort), limit))
        if len(found) == limit:
            return found, found[-1].number
        return found, effort.stopped_at

    def _newest_first(self, question: Question, before: int | None, effort: _Effort) -> Iterator[Entry]:
        top = self.last + 1 if before is None else before
        for newest in reversed(self._newest):
            if newest.number < top and question.holds(newest):
                yield newest
        for sealed in reversed(self._sealed):
            if sealed.first >= top or sealed.until <= question.since or sealed.since >= question.until:
                continue
            bitmap = self._index(sealed).find(question)
            if not bitmap:
                continue
            if effort.left == 0:
                effort.stopped_at = sealed.last + 1
                return
            effort.left -= 1
            rows = self._decode(sealed)
            for offset in offsets(bitmap, newest_first=True):
                # Only what the bitmap points at is read: a segment has hundreds of others.
                entry = self._read(rows[offset]) if offset < len(rows) else None
                if entry is not None and entry.number < top and question.holds(entry):
                    yield entry

    # --- pieces ---

    def _append(self, entry: Entry) -> None:
        self._newest.append(entry)
        if self.blocks is not None and not self.trouble:
            self._on_disk(lambda blocks: blocks.tail(entry))
        for watcher in self.watchers:
            watcher(entry)
        if len(self._newest) >= self.rules.run:
            self._seal()

    def _seal(self) -> None:
        entries, self._newest = self._newest, []
        data = pack(entries)
        handle = None
        if self.blocks is not None:
            first, last = entries[0].number, entries[-1].number
            handle = self._on_disk(lambda blocks: blocks.keep(first, last, data))
        times = [entry.at for entry in entries]
        sealed = _Sealed(
            entries[0].number, entries[-1].number, min(times), max(times) + 1, Index(entries), data, handle
        )
        self._sealed.append(sealed)
        self._bytes += sealed.bytes()
        self._bound()

    def _on_disk(self, do: Callable[[Blocks], object]) -> object | None:
        """Disk trouble never stops a front: it is said once, and tried again a segment later."""
        assert self.blocks is not None
        try:
            result = do(self.blocks)
        except OSError as error:
            if not self.trouble:
                self.trouble = error.strerror or str(error)
                self.on_trouble(self.trouble)
            return None
        if self.trouble:
            self.trouble = ""
            self.on_trouble("")
        return result

    def _bound(self) -> None:
        """First the bytes of what the disk holds leave memory, then whole segments."""
        kept_from = self.blocks.first() if self.blocks is not None else 0
        while self._sealed and self._sealed[0].handle is not None and self._sealed[0].first < kept_from:
            self._drop()  # the disk's own bound has dropped it
        for sealed in self._sealed:
            if self._bytes <= self.rules.memory_bytes:
                return
            if sealed.data is not None and sealed.handle is not None:
                self._bytes -= len(sealed.data)
                sealed.data = None
        for sealed in self._sealed:
            if self._bytes <= self.rules.memory_bytes:
                return
            if sealed.index is not None and sealed.handle is not None:
                self._bytes -= sealed.index.bytes()
                sealed.index = None
        while self._bytes > self.rules.memory_bytes and len(self._sealed) > 1:
            self._drop()

    def _drop(self) -> None:
        sealed = self._sealed.popleft()
        self._bytes -= sealed.bytes()
        self._rows.pop(sealed.first, None)

    def _index(self, sealed: _Sealed) -> Index:
        if sealed.index is not None:
            return sealed.index
        entries = self._entries(sealed)
        index = Index(entries)
        if entries:
            sealed.since = min(one.at for one in entries)
            sealed.until = max(one.at for one in entries) + 1
        if self._bytes + index.bytes() <= self.rules.memory_bytes:
            sealed.index = index
            self._bytes += index.bytes()
        return index

    def _entries(self, sealed: _Sealed) -> list[Entry]:
        found = (self._read(row) for row in self._decode(sealed))
        return [entry for entry in found if entry is not None]

    def _read(self, row: Any) -> Entry | None:
        try:
            return from_row(row)
        except EntryError as error:
            self.on_trouble(f"an entry can't be read: {error}")
            return None

    def _decode(self, sealed: _Sealed) -> list[Any]:
        found = self._rows.get(sealed.first)
        if found is not None:
            self._rows.move_to_end(sealed.first)
            return found
        try:
            data = sealed.data
            if data is None:
                assert self.blocks is not None
                data = self.blocks.read(sealed.handle)
            rows = unpack(data)
        except (OSError, EntryError) as error:
            self.on_trouble(f"entries {sealed.first} to {sealed.last} can't be read: {error}")
            rows = []
        self._rows[sealed.first] = rows
        if len(self._rows) > self.rules.decoded:
            self._rows.popitem(last=False)
        return rows
