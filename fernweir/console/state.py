"""The state that a console shows: a projection, its age, and a short history. Does no I/O."""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field
from typing import Any

from fernweir.journal.events import ANSWERS, Entry, EventKind
from fernweir.journal.state_projection import StateProjection

_MAX_BUCKETS = 60
_MAX_ENTRIES = 2_000


@dataclass(slots=True)
class History:
    """The newest entries, and counts of answers by kind in spans of `span_ms` wall time."""

    span_ms: int = 5_000
    buckets: deque[tuple[int, Counter[str]]] = field(default_factory=lambda: deque(maxlen=_MAX_BUCKETS))
    entries: deque[Entry] = field(default_factory=lambda: deque(maxlen=_MAX_ENTRIES))

    def add(self, entry: Entry) -> None:
        if self.entries and entry.number <= self.entries[-1].number:
            return
        self.entries.append(entry)
        if entry.what not in ANSWERS:
            return
        bucket = entry.at // self.span_ms
        if not self.buckets or bucket > self.buckets[-1][0]:
            self.buckets.append((bucket, Counter()))
        self.buckets[-1][1][entry.what] += 1

    def backfill(self, entries: list[Entry]) -> None:
        """Inserts older entries before those that have arrived since."""
        first_number = self.entries[0].number if self.entries else 1 << 62
        newer, self.entries = list(self.entries), deque(maxlen=_MAX_ENTRIES)
        self.buckets = deque(maxlen=_MAX_BUCKETS)
        for entry in [*(entry for entry in entries if entry.number < first_number), *newer]:
            self.add(entry)

    def series(self, what: EventKind, until: int, count: int) -> list[float]:
        """Returns the counts of the last `count` spans up to the wall time `until`."""
        last = until // self.span_ms
        count_of_bucket = {number: counts[what] for number, counts in self.buckets}
        return [float(count_of_bucket.get(number, 0)) for number in range(last - count + 1, last + 1)]


@dataclass(slots=True)
class ConsoleState:
    """The input of all views. `age_s` is the time since the last message of the server."""

    projection: StateProjection = field(default_factory=StateProjection)
    gauges: dict[str, Any] = field(default_factory=dict)
    history: History = field(default_factory=History)
    name: str = ""
    may_act: bool = False
    connected: bool = False
    disconnect_reason: str = ""
    age_s: float = 0.0
    missed_count: int = 0
    journal_fault: str = ""

    def freshness(self) -> str:
        """Returns in words whether the projection is current, or how old it is and why."""
        if self.connected and self.age_s < 5.0:
            return "live"
        if self.connected:
            return f"{self.age_s:.0f} s old, nothing is heard"
        return f"{self.age_s:.0f} s old, not connected: {self.disconnect_reason}"
