"""What a keeper remembers of channels: bounded, and forgotten only when nothing can rest on it any more."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

Asker = tuple[str, int]  # name and life: a front that came back inherits nothing by its name


@dataclass(slots=True)
class Record:
    """One channel at one keeper; times in ms of the keeper's clock.

    `told` is the fence that was said with the promise: what this asker may propose must be above it.
    `fence` is the highest this keeper granted or adopted for the channel, 0 for none in this life, `below`
    the one before it, `ended` who released it. What is refused touches nothing and keeps no record alive.
    """

    ballot: int = 0
    asker: Asker | None = None
    promised_at: float = 0.0
    told: int = 0
    owner: Asker | None = None
    fence: int = 0
    below: int = 0
    until: float = 0.0
    ended: Asker | None = None
    heir: str = ""
    heir_until: float = 0.0
    touched: float = 0.0

    def live(self, now: float) -> bool:
        return self.owner is not None and now < self.until


class Records:
    """Records by channel. `floor` is at least every fence that was forgotten, and never falls."""

    def __init__(self, floor: int, keep_ms: float, most: int) -> None:
        self.floor = floor
        self.by_channel: dict[str, Record] = {}
        self._keep_ms = keep_ms
        self._most = most

    def get(self, channel: str) -> Record | None:
        return self.by_channel.get(channel)

    def open(self, now: float, channel: str) -> Record | None:
        """The channel's record, begun if there is none; None if the table is full."""
        record = self.by_channel.get(channel)
        if record is None:
            if len(self.by_channel) >= self._most:
                return None
            record = self.by_channel[channel] = Record(touched=now)
        return record

    def known(self, channel: str) -> int:
        record = self.by_channel.get(channel)
        return max(self.floor, record.fence if record else 0)

    def highest(self) -> int:
        return max(self.floor, max((record.fence for record in self.by_channel.values()), default=0))

    def know(self, fence: int) -> None:
        self.floor = max(self.floor, fence)

    def sweep(self, now: float) -> None:
        """Forgets what lapsed, or was promised in vain, longer ago than any lease may last."""
        for channel in [channel for channel, record in self.by_channel.items() if self._over(now, record)]:
            self.know(self.by_channel.pop(channel).fence)

    def _over(self, now: float, record: Record) -> bool:
        return max(record.until, record.touched, record.heir_until) + self._keep_ms <= now

    def live(self, now: float) -> Iterator[tuple[str, Record]]:
        """Channels that are granted at this moment."""
        return ((channel, record) for channel, record in self.by_channel.items() if record.live(now))
