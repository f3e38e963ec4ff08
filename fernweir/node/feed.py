"""The control feed as this node has been told it: numbered events into updates for the module. No I/O.

An event is applied once and in order. Doubles are passed over; after a gap, or where the feed's last number
shows that something is missing, or where a line can't be read, the node has to ask again from its last.
"""

from __future__ import annotations

import json
import math
from typing import Any

from fernweir.front.names import number_of
from fernweir.interface import ListKind, ListUpdate, ServerEntry, ServerState, Settings
from fernweir.node.config import Address, ConfigError, address

MOST_BYTES = 256 * 1024  # of one event; the first holds the whole list
_STATES = {"up": ServerState.READY, "draining": ServerState.DRAINING, "removed": ServerState.GONE}


class FeedError(ValueError):
    """What the feed said can't be used: ask again from the last number."""


class Feed:
    """`offset_ms` is Unix time less the node's own clock."""

    def __init__(self, settings: Settings, kinds: tuple[str, ...], offset_ms: float) -> None:
        self._settings, self._kinds, self._offset = settings, kinds, offset_ms
        self.last = 0
        self.fresh = 0  # lines so far that were the next event, or said that the last one held is the last
        self.addresses: dict[int, Address] = {}
        self.names: dict[int, str] = {}
        self.since: dict[int, float] = {}  # Unix ms, as told

    def start(self, known: tuple[object, ...], last: int) -> list[ListUpdate]:
        """The events of the configuration, whose first holds the whole list."""
        updates = [update for event in known if (update := self._event(event, ListKind.CACHED)) is not None]
        self.last = max(self.last, last)
        return updates

    def line(self, line: bytes) -> ListUpdate | None:
        """One line of the feed. FeedError if the node has to ask again."""
        try:
            body = json.loads(line)
        except (ValueError, RecursionError):
            raise FeedError("a line that is not JSON") from None
        if isinstance(body, int) and not isinstance(body, bool):
            if body > self.last:
                raise FeedError(f"events up to {body} are missing, {self.last} is the last held")
            self.fresh += body == self.last
            return None
        return self._event(body, ListKind.FULL)

    def forget(self, server: int) -> None:
        """A gone server with nothing left here."""
        self.addresses.pop(server, None)
        self.names.pop(server, None)
        self.since.pop(server, None)

    def _event(self, body: object, whole: ListKind) -> ListUpdate | None:
        n = body.get("n") if isinstance(body, dict) else None
        if not isinstance(n, int) or isinstance(n, bool):
            raise FeedError("an event without a number")
        if n <= self.last:
            return None
        if n > self.last + 1 and self.last:
            raise FeedError(f"event {n} comes after {self.last}")
        assert isinstance(body, dict)
        update = self._members(body.get("members"), whole)
        self.last = n
        self.fresh += 1
        return update

    def _members(self, members: object, whole: ListKind) -> ListUpdate | None:
        if not isinstance(members, dict):
            return None  # an event of another kind
        lines, version = members.get("endpoints"), members.get("index")
        if not isinstance(lines, list) or not isinstance(version, int):
            raise FeedError("an event without endpoints")
        read = [self._endpoint(line) for line in lines]  # all of them, before anything is changed
        for entry, name, there, since in read:
            self.names[entry.server], self.addresses[entry.server] = name, there
            self.since[entry.server] = since
        kind = whole if members.get("snapshot") is True else ListKind.DELTA
        return ListUpdate(kind, version & 0xFFFFFFFF, tuple(entry for entry, *_ in read))

    def _endpoint(self, line: Any) -> tuple[ServerEntry, str, Address, float]:
        try:
            name, state = line["name"], _STATES[line["status"]]
            cell, weight, since = int(line["group"]), float(line["weight"]), float(line["since_ms"] or 0)
            kind = self._kinds.index(line["type"])
            there = address(line["address"], "address")
            number = number_of(name)
        except (AttributeError, KeyError, TypeError, ValueError, OverflowError, ConfigError):
            raise FeedError("an endpoint that can't be read") from None
        if not (math.isfinite(weight) and math.isfinite(since)):
            raise FeedError("an endpoint that can't be read")
        started = max(since - self._offset, 0.0) if since > 0.0 else 0.0
        return ServerEntry(number, state, started, cell, kind, weight), name, there, since
