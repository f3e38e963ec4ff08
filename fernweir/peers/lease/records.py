"""A keeper's records of channels: bounded, and removed only when nothing can depend on them any more."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

Asker = tuple[str, int]  # name and life: a restarted front has no claim to the leases of its earlier process


@dataclass(slots=True)
class Record:
    """One channel at one keeper; times in ms of the keeper's clock.

    `promised_floor` is the fence that was sent with the promise; this asker must propose a higher one.
    `fence` is the highest that this keeper granted or adopted for the channel, 0 if there was none since the
    start, `previous_fence` the one before it, and `released_by` the holder that released it. A refused
    request changes nothing, and does not extend the time for which a record is kept.
    """

    ballot: int = 0
    asker: Asker | None = None
    promised_at: float = 0.0
    promised_floor: int = 0
    owner: Asker | None = None
    fence: int = 0
    previous_fence: int = 0
    until: float = 0.0
    released_by: Asker | None = None
    successor: str = ""
    reserved_until: float = 0.0
    touched_at: float = 0.0

    def is_live(self, now: float) -> bool:
        return self.owner is not None and now < self.until


class Records:
    """Records by channel. `floor` is at least the fence of each removed record and never decreases."""

    def __init__(self, floor: int, keep_ms: float, max_records: int) -> None:
        self.floor = floor
        self.by_channel: dict[str, Record] = {}
        self._keep_ms = keep_ms
        self._max_records = max_records

    def get(self, channel: str) -> Record | None:
        return self.by_channel.get(channel)

    def get_or_create(self, now: float, channel: str) -> Record | None:
        """Returns the channel's record, which is created if there is none, or None if the table is full."""
        record = self.by_channel.get(channel)
        if record is None:
            if len(self.by_channel) >= self._max_records:
                return None
            record = self.by_channel[channel] = Record(touched_at=now)
        return record

    def known_fence(self, channel: str) -> int:
        record = self.by_channel.get(channel)
        return max(self.floor, record.fence if record else 0)

    def highest_fence(self) -> int:
        return max(self.floor, max((record.fence for record in self.by_channel.values()), default=0))

    def raise_floor(self, fence: int) -> None:
        self.floor = max(self.floor, fence)

    def sweep(self, now: float) -> None:
        """Removes records whose lease or unused promise is older than any lease may last."""
        for channel in [
            channel for channel, record in self.by_channel.items() if self._is_expired(now, record)
        ]:
            self.raise_floor(self.by_channel.pop(channel).fence)

    def _is_expired(self, now: float, record: Record) -> bool:
        return max(record.until, record.touched_at, record.reserved_until) + self._keep_ms <= now

    def live_records(self, now: float) -> Iterator[tuple[str, Record]]:
        """Yields the channels that are granted now, with their records."""
        return ((channel, record) for channel, record in self.by_channel.items() if record.is_live(now))
