"""The journal: appends entries, bounds them in memory and on disk, and finds them by field and time.

The newest entries are stored as objects; once there are enough of them, they are sealed into a segment. A
`SegmentStore` retains the sealed segments for longer than memory does. When it fails (e.g. the disk is full),
the journal continues in memory, reports the fault once, and retries with the next segment. The oldest entries
are dropped first; `first` is the number of the oldest that remains.
"""

from __future__ import annotations

import secrets
from collections import OrderedDict, deque
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from itertools import islice
from typing import Any, NamedTuple, Protocol, TypedDict, Unpack

from fernweir.journal.events import Entry, EntryError, EventKind, from_row
from fernweir.journal.segment import Index, Query, decode_segment, encode_segment, set_bits

_JOURNAL_ID_BYTES = 8
_SEGMENT_OVERHEAD_BYTES = 300  # approximate memory of a sealed segment without its data and index
_FOREVER_MS = 1 << 62
_UNLIMITED = -1


class StoredSegment(NamedTuple):
    """A sealed segment in a store: the numbers of its first and last entry, and the handle to read it."""

    first: int
    last: int
    handle: object


class SegmentStore(Protocol):
    """Stores sealed segments and the newest rows across restarts. Its methods raise OSError."""

    def append_segment(self, first: int, last: int, data: bytes) -> object:
        """Stores a sealed segment, drops the stored newest rows, and returns the segment's handle."""

    def read_segment(self, handle: object) -> bytes:
        """Returns the bytes of a segment."""

    def append_row(self, entry: Entry) -> None:
        """Stores one of the newest entries until its segment is sealed."""

    def first_number(self) -> int:
        """Returns the number of the oldest stored entry; 0 if there is none."""


@dataclass(frozen=True, slots=True)
class JournalConfig:
    """Settings of a journal.

    Attributes:
        segment_entries: Number of entries in a segment.
        max_memory_bytes: Upper limit of sealed segments and their indexes in memory.
        max_decoded_segments: Upper limit of cached decoded segments.
    """

    segment_entries: int = 512
    max_memory_bytes: int = 64 << 20
    max_decoded_segments: int = 8


class EventFields(TypedDict, total=False):
    """The optional fields of an entry; see `Entry`."""

    session: str
    title: str
    cls: str
    tenant: str
    server: int
    attempt: int
    rung: int
    why: str


@dataclass(slots=True)
class _SealedSegment:
    """A segment in memory, on disk or both. `since` and `until` bound the wall times of its entries."""

    first: int
    last: int
    since: int
    until: int
    index: Index | None
    data: bytes | None
    handle: object | None

    def size_bytes(self) -> int:
        index_bytes = self.index.size_bytes() if self.index else 0
        return index_bytes + len(self.data or b"") + _SEGMENT_OVERHEAD_BYTES


@dataclass(slots=True)
class _ScanBudget:
    """The number of segments that a query may still read.

    `stopped_at` is the entry before which the query stopped because no segment was left.
    """

    segments_left: int = _UNLIMITED
    stopped_at: int | None = None


Watcher = Callable[[Entry], None]


class Journal:
    """The journal of one front or unit.

    Attributes:
        front: Name of the front that is recorded in entries by default.
        config: Settings of the journal.
        segment_store: The store of the segments; None for a journal that exists only in memory.
        wall_offset_ms: Wall time minus the time of the event loop's clock, in milliseconds.
        id: Identifies the journal; entry numbers are meaningful only within it.
        last: Number of the newest entry.
        fault: The reason why the segment store currently fails; empty if it works.
        on_fault: Called with the reason when the store fails or an entry cannot be read, and with an empty
            text when the store works again.
        watchers: Called with each entry that is appended.
    """

    def __init__(
        self,
        front: str = "",
        config: JournalConfig | None = None,
        segment_store: SegmentStore | None = None,
        *,
        wall_offset_ms: float = 0.0,
    ) -> None:
        self.front = front
        self.config = config or JournalConfig()
        self.segment_store = segment_store
        self.wall_offset_ms = wall_offset_ms
        self.id = secrets.token_hex(_JOURNAL_ID_BYTES)
        self.last = 0
        self.fault = ""
        self.on_fault: Callable[[str], None] = lambda why: None
        self.watchers: list[Watcher] = []
        self._newest: list[Entry] = []
        self._sealed: deque[_SealedSegment] = deque()
        self._sealed_bytes = 0
        self._rows: OrderedDict[int, list[Any]] = OrderedDict()  # decoded segments by their first entry

    @property
    def first(self) -> int:
        """The number of the oldest entry that has not been dropped."""
        if self._sealed:
            return self._sealed[0].first
        return self._newest[0].number if self._newest else self.last + 1

    @property
    def memory_bytes(self) -> int:
        """The approximate memory of the sealed segments and their indexes in bytes."""
        return self._sealed_bytes

    def __len__(self) -> int:
        return self.last - self.first + 1

    def add(
        self,
        now: float,
        what: EventKind,
        *,
        front: str | None = None,
        more: Mapping[str, Any] | None = None,
        **fields: Unpack[EventFields],
    ) -> Entry:
        """Appends an event and returns its entry.

        Args:
            now: Time of the event loop's clock in milliseconds.
            what: The kind of the event.
            front: Name of the front; by default the `front` of the journal.
            more: Further details.
            fields: The other fields of the entry.
        """
        values: dict[str, Any] = dict(fields)
        for name, value in fields.items():
            # A token may contain a lone surrogate, which could not be encoded when the entry is stored.
            if type(value) is str and not value.isascii():
                values[name] = value.encode("utf-8", "backslashreplace").decode()
        self.last += 1
        wall_ms = int(now + self.wall_offset_ms)
        entry_front = self.front if front is None else front
        entry = Entry(self.last, wall_ms, what, entry_front, more=more or {}, **values)
        self._append(entry)
        return entry

    def restore(self, journal_id: str, sealed: Sequence[StoredSegment], newest: Sequence[Entry]) -> None:
        """Continues the journal that an earlier process stored; its segments are read only when needed.

        Args:
            journal_id: The id of the journal.
            sealed: Its sealed segments.
            newest: The entries after them.
        """
        self.id = journal_id
        for first, last, handle in sealed:
            segment = _SealedSegment(first, last, 0, _FOREVER_MS, None, None, handle)
            self._sealed.append(segment)
            self._sealed_bytes += segment.size_bytes()
            self.last = last
        for entry in newest:
            is_first = not (self.last or self._newest)
            if entry.number == self.last + 1 or is_first:
                self.last = entry.number
                self._newest.append(entry)

    def entries(self, start: int, stop: int | None = None) -> Iterator[Entry]:
        """Yields the entries with numbers from `start` up to but not including `stop`, oldest first."""
        for sealed in list(self._sealed):
            if sealed.last >= start and (stop is None or sealed.first < stop):
                for entry in self._entries(sealed):
                    if entry.number >= start and (stop is None or entry.number < stop):
                        yield entry
        for entry in list(self._newest):
            if entry.number >= start and (stop is None or entry.number < stop):
                yield entry

    def find(self, query: Query, limit: int = 100, before: int | None = None) -> list[Entry]:
        """Returns the newest `limit` entries that match, newest first, with numbers less than `before`."""
        return list(islice(self._newest_first(query, before, _ScanBudget()), limit))

    def search(
        self, query: Query, limit: int = 100, before: int | None = None, max_segments: int = 16
    ) -> tuple[list[Entry], int | None]:
        """Finds entries as `find` does, but reads a limited number of segments.

        Reading a segment blocks the caller's event loop for most of a millisecond, so the limit
        prevents a query with matches spread over a day from delaying viewers.

        Args:
            query: The filters.
            limit: Upper limit of entries.
            before: Number that the entries must be less than; None for no limit.
            max_segments: Upper limit of segments to read.

        Returns:
            The entries, newest first, and the `before` to continue with; None if there are no more.
        """
        budget = _ScanBudget(max_segments)
        found = list(islice(self._newest_first(query, before, budget), limit))
        if len(found) == limit:
            return found, found[-1].number
        return found, budget.stopped_at

    def _newest_first(self, query: Query, before: int | None, budget: _ScanBudget) -> Iterator[Entry]:
        end = self.last + 1 if before is None else before
        for newest in reversed(self._newest):
            if newest.number < end and query.matches(newest):
                yield newest
        for sealed in reversed(self._sealed):
            if sealed.first >= end or sealed.until <= query.since or sealed.since >= query.until:
                continue
            bitmap = self._index(sealed).find(query)
            if not bitmap:
                continue
            if budget.segments_left == 0:
                budget.stopped_at = sealed.last + 1
                return
            budget.segments_left -= 1
            for entry in self._candidates(sealed, bitmap):
                if entry.number < end and query.matches(entry):
                    yield entry

    def _candidates(self, sealed: _SealedSegment, bitmap: int) -> Iterator[Entry]:
        """Yields the entries of a segment at the offsets of a bitmap, newest first."""
        rows = self._decode(sealed)
        for offset in set_bits(bitmap, newest_first=True):
            # Converts only the candidate rows: a segment has hundreds of others.
            entry = self._entry_of_row(rows[offset]) if offset < len(rows) else None
            if entry is not None:
                yield entry

    def _append(self, entry: Entry) -> None:
        self._newest.append(entry)
        if self.segment_store is not None and not self.fault:
            self._call_store(lambda store: store.append_row(entry))
        for watcher in self.watchers:
            watcher(entry)
        if len(self._newest) >= self.config.segment_entries:
            self._seal()

    def _seal(self) -> None:
        entries, self._newest = self._newest, []
        data = encode_segment(entries)
        first, last = entries[0].number, entries[-1].number
        handle = None
        if self.segment_store is not None:
            handle = self._call_store(lambda store: store.append_segment(first, last, data))
        since, until = _time_range(entries)
        sealed = _SealedSegment(first, last, since, until, Index(entries), data, handle)
        self._sealed.append(sealed)
        self._sealed_bytes += sealed.size_bytes()
        self._enforce_limits()

    def _call_store(self, operation: Callable[[SegmentStore], object]) -> object | None:
        """Calls the store and reports when it starts or stops failing; failures are not raised."""
        assert self.segment_store is not None
        try:
            result = operation(self.segment_store)
        except OSError as error:
            if not self.fault:
                self.fault = error.strerror or str(error)
                self.on_fault(self.fault)
            return None
        if self.fault:
            self.fault = ""
            self.on_fault("")
        return result

    def _enforce_limits(self) -> None:
        """Frees memory: first the data and then the indexes of stored segments, then complete segments."""
        stored_from = self.segment_store.first_number() if self.segment_store is not None else 0
        while self._sealed and self._sealed[0].handle is not None and self._sealed[0].first < stored_from:
            self._drop_oldest()  # the store has deleted it
        for sealed in self._sealed:
            if self._sealed_bytes <= self.config.max_memory_bytes:
                return
            if sealed.data is not None and sealed.handle is not None:
                self._sealed_bytes -= len(sealed.data)
                sealed.data = None
        for sealed in self._sealed:
            if self._sealed_bytes <= self.config.max_memory_bytes:
                return
            if sealed.index is not None and sealed.handle is not None:
                self._sealed_bytes -= sealed.index.size_bytes()
                sealed.index = None
        while self._sealed_bytes > self.config.max_memory_bytes and len(self._sealed) > 1:
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        sealed = self._sealed.popleft()
        self._sealed_bytes -= sealed.size_bytes()
        self._rows.pop(sealed.first, None)

    def _index(self, sealed: _SealedSegment) -> Index:
        """Returns the index of a segment; a freed index is rebuilt, and cached if memory allows it."""
        if sealed.index is not None:
            return sealed.index
        entries = self._entries(sealed)
        index = Index(entries)
        if entries:
            sealed.since, sealed.until = _time_range(entries)
        if self._sealed_bytes + index.size_bytes() <= self.config.max_memory_bytes:
            sealed.index = index
            self._sealed_bytes += index.size_bytes()
        return index

    def _entries(self, sealed: _SealedSegment) -> list[Entry]:
        entries = (self._entry_of_row(row) for row in self._decode(sealed))
        return [entry for entry in entries if entry is not None]

    def _entry_of_row(self, row: object) -> Entry | None:
        try:
            return from_row(row)
        except EntryError as error:
            self.on_fault(f"an entry cannot be read: {error}")
            return None

    def _decode(self, sealed: _SealedSegment) -> list[Any]:
        """Returns the rows of a segment from the cache, memory or the store; none if reading fails."""
        cached = self._rows.get(sealed.first)
        if cached is not None:
            self._rows.move_to_end(sealed.first)
            return cached
        try:
            data = sealed.data
            if data is None:
                assert self.segment_store is not None
                data = self.segment_store.read_segment(sealed.handle)
            rows = decode_segment(data)
        except (OSError, EntryError) as error:
            self.on_fault(f"entries {sealed.first} to {sealed.last} cannot be read: {error}")
            rows = []
        self._rows[sealed.first] = rows
        if len(self._rows) > self.config.max_decoded_segments:
            self._rows.popitem(last=False)
        return rows


def _time_range(entries: Sequence[Entry]) -> tuple[int, int]:
    """Returns the half-open range of the entries' wall times: the earliest, and the latest plus 1 ms."""
    times = [entry.at for entry in entries]
    return min(times), max(times) + 1
