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
from fernweir.node.config import Address, ConfigError, parse_address

MAX_EVENT_BYTES = 256 * 1024  # of one event; the first holds the whole list
_STATES_BY_STATUS = {
    "up": ServerState.READY,
    "draining": ServerState.DRAINING,
    "removed": ServerState.REMOVED,
}


class FeedError(ValueError):
    """What the feed said can't be used: ask again from the last number."""


class EndpointFeed:
    """`offset_ms` is Unix time less the node's own clock."""

    def __init__(self, settings: Settings, server_types: tuple[str, ...], offset_ms: float) -> None:
        self._settings, self._server_types, self._offset_ms = settings, server_types, offset_ms
        self.last_sequence_number = 0
        self.in_sequence_lines = (
            0  # lines so far that were the next event, or said that the last one held is the last
        )
        self.partially_applied_events = 0  # events so far of which something was left out
        self._last_rejected_line = b""  # the last event that could not be read
        self.addresses: dict[int, Address] = {}
        self.names: dict[int, str] = {}
        self.status_since_ms: dict[int, float] = {}  # Unix ms, as told

    def apply_known_events(
        self, events: tuple[object, ...], last_sequence_number: int
    ) -> Iterator[EndpointListUpdate]:
        """The events of the configuration, whose first holds the whole list.

        As on the feed each is told before the next is read: what is heard of a server's end forgets it, and
        a later event may bring it back.
        """
        for event in events:
            if not self.last_sequence_number and isinstance(event, dict) and isinstance(event.get("n"), int):
                self.last_sequence_number = max(event["n"] - 1, 0)  # what is known may begin anywhere
            if not self._is_next_event(event):
                continue
            try:
                update = self._apply_event(event, EndpointListKind.CACHED)
            except FeedError:  # it would be the same from the feed, and nodes that run have left it out
                update = self._apply_readable_part(event, EndpointListKind.CACHED)
            if update is not None:
                yield update
        self.last_sequence_number = max(self.last_sequence_number, last_sequence_number)

    def apply_line(self, line: bytes) -> EndpointListUpdate | None:
        """One line of the feed. FeedError if the node has to ask again."""
        try:
            body = json.loads(line)
        except (ValueError, RecursionError):
            raise FeedError("a line that is not JSON") from None
        if isinstance(body, int) and not isinstance(body, bool):
            if body > self.last_sequence_number:
                raise FeedError(
                    f"events up to {body} are missing, {self.last_sequence_number} is the last held"
                )
            self.in_sequence_lines += body == self.last_sequence_number
            return None
        if not self._is_next_event(body):
            return None
        try:
            return self._apply_event(body, EndpointListKind.FULL)
        except FeedError:
            if line != self._last_rejected_line:
                self._last_rejected_line = line
                raise
        return self._apply_readable_part(body, EndpointListKind.FULL)

    def forget_server(self, server: int) -> None:
        """A gone server with nothing left here."""
        self.addresses.pop(server, None)
        self.names.pop(server, None)
        self.status_since_ms.pop(server, None)

    def _is_next_event(self, body: object) -> bool:
        """Whether it is the event after the last. FeedError if it isn't, and is not one of before."""
        n = body.get("n") if isinstance(body, dict) else None
        if not isinstance(n, int) or isinstance(n, bool):
            raise FeedError("an event without a number")
        if n > self.last_sequence_number + 1:
            raise FeedError(f"event {n} comes after {self.last_sequence_number}")
        return n > self.last_sequence_number

    def _apply_readable_part(self, body: Any, snapshot_kind: EndpointListKind) -> EndpointListUpdate | None:
        """What can be read of an event that was not spoilt on its way."""
        self.partially_applied_events += 1
        return self._apply_event(body, snapshot_kind, is_partial_allowed=True)

    def _apply_event(
        self, body: Any, snapshot_kind: EndpointListKind, is_partial_allowed: bool = False
    ) -> EndpointListUpdate | None:
        update = self._apply_members(body.get("members"), snapshot_kind, is_partial_allowed)
        self.last_sequence_number = body["n"]
        self.in_sequence_lines += 1
        return update

    def _apply_members(
        self, members: object, snapshot_kind: EndpointListKind, is_partial_allowed: bool
    ) -> EndpointListUpdate | None:
        if not isinstance(members, dict):
            return None  # an event of another kind
        lines, version = members.get("endpoints"), members.get("index")
        if not isinstance(lines, list) or not isinstance(version, int):
            if is_partial_allowed:
                return None
            raise FeedError("an event without endpoints")
        read = []
        for line in lines:  # all of them, before anything is changed
            try:
                read.append(self._parse_endpoint(line))
            except FeedError:
                if not is_partial_allowed:
                    raise
        # Of a list that isn't all there, what it doesn't name stays as it is.
        full = members.get("snapshot") is True and (len(read) == len(lines) or not self.names)
        for entry, name, there, since in read:
            self.names[entry.server], self.addresses[entry.server] = name, there
            self.status_since_ms[entry.server] = since
        kind = snapshot_kind if full else EndpointListKind.DELTA
        return EndpointListUpdate(kind, version & 0xFFFFFFFF, tuple(entry for entry, *_ in read))

    def _parse_endpoint(self, line: Any) -> tuple[Endpoint, str, Address, float]:
        try:
            name, state = line["name"], _STATES_BY_STATUS[line["status"]]
            cell, weight, since = int(line["group"]), float(line["weight"]), float(line["since_ms"] or 0)
            kind = self._server_types.index(line["type"])
            there = parse_address(line["address"], "address")
            number = number_of(name)
        except (AttributeError, KeyError, TypeError, ValueError, OverflowError, ConfigError):
            raise FeedError("an endpoint that can't be read") from None
        if not (math.isfinite(weight) and math.isfinite(since)):
            raise FeedError("an endpoint that can't be read")
        started = max(since - self._offset_ms, 0.0) if since > 0.0 else 0.0
        return Endpoint(number, state, started, cell, kind, weight), name, there, since
