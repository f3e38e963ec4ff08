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

from fernweir.journal.events import Entry, EntryError, EventKind, from_row
from fernweir.journal.segment import Index, Query, set_bits, encode_segment, decode_segment


class SegmentStore(Protocol):
    """Where sealed segments and the newest rows outlive the process. Methods raise OSError."""

    def append_segment(self, first: int, last: int, data: bytes) -> object:
        """Keeps a sealed segment and drops the newest rows, which it holds; a handle for `read`."""

    def read_segment(self, handle: object) -> bytes: ...

    def append_row(self, entry: Entry) -> None:
        """Keeps one newest row until its segment is sealed."""

    def first_number(self) -> int:
        """The oldest entry that is kept still; 0 if none is."""


@dataclass(frozen=True, slots=True)
class JournalConfig:
    """`memory_bytes` bounds what sealed segments and their indexes take; `run` entries make a segment."""

    segment_entries: int = 512
    max_memory_bytes: int = 64 << 20
    max_decoded_segments: int = 8


@dataclass(slots=True)
class _SealedSegment:
    first: int
    last: int
    since: int
    until: int
    index: Index | None
    data: bytes | None
    handle: object | None

    def bytes(self) -> int:
        return (self.index.size_bytes() if self.index else 0) + len(self.data or b"") + 300


@dataclass(slots=True)
class _ScanBudget:
    """How many segments a question may still read, and where it stopped for want of them."""

    segments_left: int = -1
    stopped_at: int | None = None


Watcher = Callable[[Entry], None]


class Journal:
    """Appends with `add`; `watch` is told of each entry as it is appended."""

    def __init__(
        self,
        front: str = "",
        config: JournalConfig | None = None,
        segment_store: SegmentStore | None = None,
        *,
        wall_offset_ms: float = 0.0,
    ) -> None:
        self.front, self.config, self.segment_store = front, config or JournalConfig(), segment_store
        self.wall_offset_ms = wall_offset_ms
        self.id = secrets.token_hex(8)  # numbers mean nothing but within one journal
        self.last = 0
        self.fault = ""  # why the disk keeps nothing just now
        self.on_fault: Callable[[str], None] = lambda why: None
        self.watchers: list[Watcher] = []
        self._newest: list[Entry] = []
        self._sealed: deque[_SealedSegment] = deque()
        self._bytes = 0
        self._rows: OrderedDict[int, list[Any]] = OrderedDict()

    @property
    def first(self) -> int:
        """The oldest entry that can still be asked for."""
        if self._sealed:
            return self._sealed[0].first
        return self._newest[0].number if self._newest else self.last + 1

    @property
    def memory_bytes(self) -> int:
        """What sealed segments take in memory, by the journal's own count."""
        return self._bytes

    def __len__(self) -> int:
        return self.last - self.first + 1

    def add(
        self, now: float, what: EventKind, *, front: str | None = None, more: Mapping[str, Any] | None = None,
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
            self._sealed.append(_SealedSegment(first, last, 0, 1 << 62, None, None, handle))
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

    def find(self, question: Query, limit: int = 100, before: int | None = None) -> list[Entry]:
        """The newest `limit` entries that hold, newest first, with numbers under `before`."""
        return list(islice(self._newest_first(question, before, _ScanBudget()), limit))

    def search(
        self, question: Query, limit: int = 100, before: int | None = None, max_segments: int = 16
    ) -> tuple[list[Entry], int | None]:
        """As `find`, but reads at most `runs` segments; and where to go on from, or None at the end.

        Each segment read costs the caller's loop most of a millisecond: a question about what is spread
        over a day must not keep a viewer waiting.
        """
        effort = _ScanBudget(max_segments)
        found = list(islice(self._newest_first(question, before, effort), limit))
        if len(found) == limit:
            return found, found[-1].number
        return found, effort.stopped_at

    def _newest_first(self, question: Query, before: int | None, effort: _ScanBudget) -> Iterator[Entry]:
        top = self.last + 1 if before is None else before
        for newest in reversed(self._newest):
            if newest.number < top and question.matches(newest):
                yield newest
        for sealed in reversed(self._sealed):
            if sealed.first >= top or sealed.until <= question.since or sealed.since >= question.until:
                continue
            bitmap = self._index(sealed).find(question)
            if not bitmap:
                continue
            if effort.segments_left == 0:
                effort.stopped_at = sealed.last + 1
                return
            effort.segments_left -= 1
            rows = self._decode(sealed)
            for offset in set_bits(bitmap, newest_first=True):
                # Only what the bitmap points at is read: a segment has hundreds of others.
                entry = self._read(rows[offset]) if offset < len(rows) else None
                if entry is not None and entry.number < top and question.matches(entry):
                    yield entry

    # --- pieces ---

    def _append(self, entry: Entry) -> None:
        self._newest.append(entry)
        if self.segment_store is not None and not self.fault:
            self._on_disk(lambda blocks: blocks.append_row(entry))
        for watcher in self.watchers:
            watcher(entry)
        if len(self._newest) >= self.config.segment_entries:
            self._seal()

    def _seal(self) -> None:
        entries, self._newest = self._newest, []
        data = encode_segment(entries)
        handle = None
        if self.segment_store is not None:
            first, last = entries[0].number, entries[-1].number
            handle = self._on_disk(lambda blocks: blocks.append_segment(first, last, data))
        times = [entry.at for entry in entries]
        sealed = _SealedSegment(
            entries[0].number, entries[-1].number, min(times), max(times) + 1, Index(entries), data, handle
        )
        self._sealed.append(sealed)
        self._bytes += sealed.bytes()
        self._bound()

    def _on_disk(self, do: Callable[[SegmentStore], object]) -> object | None:
        """Disk trouble never stops a front: it is said once, and tried again a segment later."""
        assert self.segment_store is not None
        try:
            result = do(self.segment_store)
        except OSError as error:
            if not self.fault:
                self.fault = error.strerror or str(error)
                self.on_fault(self.fault)
            return None
        if self.fault:
            self.fault = ""
            self.on_fault("")
        return result

    def _bound(self) -> None:
        """First the bytes of what the disk holds leave memory, then whole segments."""
        kept_from = self.segment_store.first_number() if self.segment_store is not None else 0
        while self._sealed and self._sealed[0].handle is not None and self._sealed[0].first < kept_from:
            self._drop()  # the disk's own bound has dropped it
        for sealed in self._sealed:
            if self._bytes <= self.config.max_memory_bytes:
                return
            if sealed.data is not None and sealed.handle is not None:
                self._bytes -= len(sealed.data)
                sealed.data = None
        for sealed in self._sealed:
            if self._bytes <= self.config.max_memory_bytes:
                return
            if sealed.index is not None and sealed.handle is not None:
                self._bytes -= sealed.index.size_bytes()
                sealed.index = None
        while self._bytes > self.config.max_memory_bytes and len(self._sealed) > 1:
            self._drop()

    def _drop(self) -> None:
        sealed = self._sealed.popleft()
        self._bytes -= sealed.bytes()
        self._rows.pop(sealed.first, None)

    def _index(self, sealed: _SealedSegment) -> Index:
        if sealed.index is not None:
            return sealed.index
        entries = self._entries(sealed)
        index = Index(entries)
        if entries:
            sealed.since = min(one.at for one in entries)
            sealed.until = max(one.at for one in entries) + 1
        if self._bytes + index.size_bytes() <= self.config.max_memory_bytes:
            sealed.index = index
            self._bytes += index.size_bytes()
        return index

    def _entries(self, sealed: _SealedSegment) -> list[Entry]:
        found = (self._read(row) for row in self._decode(sealed))
        return [entry for entry in found if entry is not None]

    def _read(self, row: Any) -> Entry | None:
        try:
            return from_row(row)
        except EntryError as error:
            self.on_fault(f"an entry can't be read: {error}")
            return None

    def _decode(self, sealed: _SealedSegment) -> list[Any]:
        found = self._rows.get(sealed.first)
        if found is not None:
            self._rows.move_to_end(sealed.first)
            return found
        try:
            data = sealed.data
            if data is None:
                assert self.segment_store is not None
                data = self.segment_store.read_segment(sealed.handle)
            rows = decode_segment(data)
        except (OSError, EntryError) as error:
            self.on_fault(f"entries {sealed.first} to {sealed.last} can't be read: {error}")
            rows = []
        self._rows[sealed.first] = rows
        if len(self._rows) > self.config.max_decoded_segments:
            self._rows.popitem(last=False)
        return rows
