"""The control feed as this node has been told it: numbered events into updates for the module. No I/O.

An event is applied once and in order. Doubles are passed over; after a gap, or where the feed's last number
shows that something is missing, or where a line can't be read, the node has to ask again from its last.
An event that comes the same again, or that the configuration holds, was not spoilt on its way: what can be
read of it is taken, the rest is left out, since no later event would ever be heard, and no node would start.
"""

from __future__ import annotations

import json
import math
from collections.abc import Iterator
from typing import Any

from fernweir.front.names import number_of
from fernweir.interface import Endpoint, EndpointListKind, EndpointListUpdate, ServerState, Settings
from fernweir.node.config import Address, ConfigError, address

MOST_BYTES = 256 * 1024  # of one event; the first holds the whole list
_STATES = {"up": ServerState.READY, "draining": ServerState.DRAINING, "removed": ServerState.REMOVED}


class FeedError(ValueError):
    """What the feed said can't be used: ask again from the last number."""


class Feed:
    """`offset_ms` is Unix time less the node's own clock."""

    def __init__(self, settings: Settings, kinds: tuple[str, ...], offset_ms: float) -> None:
        self._settings, self._kinds, self._offset = settings, kinds, offset_ms
        self.last = 0
        self.fresh = 0  # lines so far that were the next event, or said that the last one held is the last
        self.left_out = 0  # events so far of which something was left out
        self._refused = b""  # the last event that could not be read
        self.addresses: dict[int, Address] = {}
        self.names: dict[int, str] = {}
        self.since: dict[int, float] = {}  # Unix ms, as told

    def start(self, known: tuple[object, ...], last: int) -> Iterator[EndpointListUpdate]:
        """The events of the configuration, whose first holds the whole list.

        As on the feed each is told before the next is read: what is heard of a server's end forgets it, and
        a later event may bring it back.
        """
        for event in known:
            if not self.last and isinstance(event, dict) and isinstance(event.get("n"), int):
                self.last = max(event["n"] - 1, 0)  # what is known may begin anywhere
            if not self._next(event):
                continue
            try:
                update = self._event(event, EndpointListKind.CACHED)
            except FeedError:  # it would be the same from the feed, and nodes that run have left it out
                update = self._rest_of(event, EndpointListKind.CACHED)
            if update is not None:
                yield update
        self.last = max(self.last, last)

    def line(self, line: bytes) -> EndpointListUpdate | None:
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
        if not self._next(body):
            return None
        try:
            return self._event(body, EndpointListKind.FULL)
        except FeedError:
            if line != self._refused:
                self._refused = line
                raise
        return self._rest_of(body, EndpointListKind.FULL)

    def forget(self, server: int) -> None:
        """A gone server with nothing left here."""
        self.addresses.pop(server, None)
        self.names.pop(server, None)
        self.since.pop(server, None)

    def _next(self, body: object) -> bool:
        """Whether it is the event after the last. FeedError if it isn't, and is not one of before."""
        n = body.get("n") if isinstance(body, dict) else None
        if not isinstance(n, int) or isinstance(n, bool):
            raise FeedError("an event without a number")
        if n > self.last + 1:
            raise FeedError(f"event {n} comes after {self.last}")
        return n > self.last

    def _rest_of(self, body: Any, whole: EndpointListKind) -> EndpointListUpdate | None:
        """What can be read of an event that was not spoilt on its way."""
        self.left_out += 1
        return self._event(body, whole, partly=True)

    def _event(self, body: Any, whole: EndpointListKind, partly: bool = False) -> EndpointListUpdate | None:
        update = self._members(body.get("members"), whole, partly)
        self.last = body["n"]
        self.fresh += 1
        return update

    def _members(self, members: object, whole: EndpointListKind, partly: bool) -> EndpointListUpdate | None:
        if not isinstance(members, dict):
            return None  # an event of another kind
        lines, version = members.get("endpoints"), members.get("index")
        if not isinstance(lines, list) or not isinstance(version, int):
            if partly:
                return None
            raise FeedError("an event without endpoints")
        read = []
        for line in lines:  # all of them, before anything is changed
            try:
                read.append(self._endpoint(line))
            except FeedError:
                if not partly:
                    raise
        # Of a list that isn't all there, what it doesn't name stays as it is.
        full = members.get("snapshot") is True and (len(read) == len(lines) or not self.names)
        for entry, name, there, since in read:
            self.names[entry.server], self.addresses[entry.server] = name, there
            self.since[entry.server] = since
        kind = whole if full else EndpointListKind.DELTA
        return EndpointListUpdate(kind, version & 0xFFFFFFFF, tuple(entry for entry, *_ in read))

    def _endpoint(self, line: Any) -> tuple[Endpoint, str, Address, float]:
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
        return Endpoint(number, state, started, cell, kind, weight), name, there, since
