"""What a console knows: a picture, how old it is, and the short history behind it. Free of I/O."""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field
from typing import Any

from fernweir.journal.events import ANSWERS, Entry, EventKind
from fernweir.journal.state_projection import StateProjection

_BUCKETS = 60
_LOG = 2_000


@dataclass(slots=True)
class History:
    """Answers by kind in spans of `span_ms` wall time, and the newest entries."""

    span_ms: int = 5_000
    buckets: deque[tuple[int, Counter[str]]] = field(default_factory=lambda: deque(maxlen=_BUCKETS))
    entries: deque[Entry] = field(default_factory=lambda: deque(maxlen=_LOG))

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
        """Older entries, asked for: they stand before what has come since."""
        first = self.entries[0].number if self.entries else 1 << 62
        newer, self.entries = list(self.entries), deque(maxlen=_LOG)
        self.buckets = deque(maxlen=_BUCKETS)
        for entry in [*(one for one in entries if one.number < first), *newer]:
            self.add(entry)

    def series(self, what: EventKind, until: int, count: int) -> list[float]:
        """Counts of the last `count` spans up to the wall time `until`."""
        last = until // self.span_ms
        known = {number: counts[what] for number, counts in self.buckets}
        return [float(known.get(number, 0)) for number in range(last - count + 1, last + 1)]


@dataclass(slots=True)
class ConsoleState:
    """All that views are made of. `age_s` is how long ago the other side was last heard."""

    projection: StateProjection = field(default_factory=StateProjection)
    gauges: dict[str, Any] = field(default_factory=dict)
    history: History = field(default_factory=History)
    name: str = ""
    may_act: bool = False
    connected: bool = False
    disconnect_reason: str = ""
    age_s: float = 0.0
    missed_count: int = 0
    journal_trouble: str = ""

    def freshness(self) -> str:
        """In words how far the picture can be believed."""
        if self.connected and self.age_s < 5.0:
            return "live"
        if self.connected:
            return f"{self.age_s:.0f} s old, nothing is heard"
        return f"{self.age_s:.0f} s old, not connected: {self.disconnect_reason}"
