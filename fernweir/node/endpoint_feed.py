"""Decodes the control feed: numbered events into updates of the endpoint list. No I/O.

An event is applied once and in order. Events that were applied before are skipped. After a gap, where the
feed's last sequence number shows that an event is missing, or where a line cannot be read, the node has to
subscribe again from its last sequence number.

An event that arrives twice with the same bytes, or that the configuration holds, was not damaged on its way.
What can be read of it is applied and the rest is left out: otherwise no later event would ever be applied,
and no node would start.
"""

from __future__ import annotations

import json
import math
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, TypeGuard

from fernweir.front.names import number_of
from fernweir.interface import Endpoint, EndpointListKind, EndpointListUpdate, ServerState
from fernweir.node.config import Address, ConfigError, parse_address

MAX_EVENT_BYTES = 256 * 1024  # the first event holds the whole list
_VERSION_MASK = 0xFFFFFFFF
_STATES_BY_STATUS = {
    "up": ServerState.READY,
    "draining": ServerState.DRAINING,
    "removed": ServerState.REMOVED,
}


class FeedError(ValueError):
    """The feed sent something that cannot be used: subscribe again from the last sequence number."""


@dataclass(frozen=True, slots=True)
class _ListedEndpoint:
    """One endpoint of an event, with what only the node needs of it."""

    endpoint: Endpoint
    name: str
    address: Address
    status_since_ms: float


class EndpointFeed:
    """The endpoint list as the feed has announced it so far.

    Args:
        server_types: The names of the server types, in the order of their numbers.
        offset_ms: Unix time less the node's own clock, in ms.

    Attributes:
        last_sequence_number: Number of the last event that was applied.
        in_sequence_lines: Counts the lines that were the next event, or confirmed that the last one applied
            is the feed's last.
        partially_applied_events: Counts the events of which something was left out.
        addresses: Address of each server, by its number.
        names: Name of each server, by its number.
        status_since_ms: Unix time in ms since when each server has its status, as the feed gives it.
    """

    def __init__(self, server_types: tuple[str, ...], offset_ms: float) -> None:
        self._server_types = server_types
        self._offset_ms = offset_ms
        self._last_rejected_line = b""  # an event that could not be read
        self.last_sequence_number = 0
        self.in_sequence_lines = 0
        self.partially_applied_events = 0
        self.addresses: dict[int, Address] = {}
        self.names: dict[int, str] = {}
        self.status_since_ms: dict[int, float] = {}

    def apply_known_events(
        self, events: tuple[object, ...], last_sequence_number: int
    ) -> Iterator[EndpointListUpdate]:
        """Applies the events of the configuration, the first of which holds the whole list.

        As on the feed, each update has to be used before the next event is read: the end of a server forgets
        it, and a later event may bring it back.

        Args:
            events: The events in order. Their numbers may begin anywhere.
            last_sequence_number: The number from which to subscribe, if no event has a higher one.

        Yields:
            The update of each event that changes the list.

        Raises:
            FeedError: An event has no number, or does not follow the one before it.
        """
        for event in events:
            if not self.last_sequence_number:
                self.last_sequence_number = _number_before(event)
            if not self._is_next_event(event):
                continue
            try:
                update = self._apply_event(event, EndpointListKind.CACHED)
            except FeedError:  # the feed would bring the same, and running nodes have left it out
                update = self._apply_readable_part(event, EndpointListKind.CACHED)
            if update is not None:
                yield update
        self.last_sequence_number = max(self.last_sequence_number, last_sequence_number)

    def apply_line(self, line: bytes) -> EndpointListUpdate | None:
        """Applies one line of the feed.

        Returns:
            The update of the list; None if the line changes nothing.

        Raises:
            FeedError: The node has to subscribe again.
        """
        try:
            body = json.loads(line)
        except (ValueError, RecursionError):
            raise FeedError("a line that is not JSON") from None
        if isinstance(body, int) and not isinstance(body, bool):
            self._check_last_number(body)
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
        """Forgets a server that was removed from the list and that the node no longer uses."""
        self.addresses.pop(server, None)
        self.names.pop(server, None)
        self.status_since_ms.pop(server, None)

    def _check_last_number(self, feed_last: int) -> None:
        if feed_last > self.last_sequence_number:
            raise FeedError(
                f"events up to {feed_last} are missing, {self.last_sequence_number} is the last held"
            )
        self.in_sequence_lines += feed_last == self.last_sequence_number

    def _is_next_event(self, body: object) -> TypeGuard[dict[str, Any]]:
        """Whether the event follows the last one; False if it was applied before.

        Raises:
            FeedError: It has no number, or events before it are missing.
        """
        sequence_number = body.get("n") if isinstance(body, dict) else None
        if not isinstance(sequence_number, int) or isinstance(sequence_number, bool):
            raise FeedError("an event without a number")
        if sequence_number > self.last_sequence_number + 1:
            raise FeedError(f"event {sequence_number} comes after {self.last_sequence_number}")
        return sequence_number > self.last_sequence_number

    def _apply_readable_part(
        self, body: dict[str, Any], snapshot_kind: EndpointListKind
    ) -> EndpointListUpdate | None:
        """Applies what can be read of an event that was not damaged on its way."""
        self.partially_applied_events += 1
        return self._apply_event(body, snapshot_kind, is_partial_allowed=True)

    def _apply_event(
        self, body: dict[str, Any], snapshot_kind: EndpointListKind, is_partial_allowed: bool = False
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
        listed = self._parse_endpoints(lines, is_partial_allowed)
        # Endpoints that an incomplete list does not name stay as they are, so it is no snapshot.
        is_complete = len(listed) == len(lines)
        is_snapshot = members.get("snapshot") is True and (is_complete or not self.names)
        for one in listed:
            server = one.endpoint.server
            self.names[server] = one.name
            self.addresses[server] = one.address
            self.status_since_ms[server] = one.status_since_ms
        kind = snapshot_kind if is_snapshot else EndpointListKind.DELTA
        return EndpointListUpdate(kind, version & _VERSION_MASK, tuple(one.endpoint for one in listed))

    def _parse_endpoints(self, lines: list[object], is_partial_allowed: bool) -> list[_ListedEndpoint]:
        """Parses all endpoints of an event before any of them changes the list."""
        listed = []
        for line in lines:
            try:
                listed.append(self._parse_endpoint(line))
            except FeedError:
                if not is_partial_allowed:
                    raise
        return listed

    def _parse_endpoint(self, line: object) -> _ListedEndpoint:
        if not isinstance(line, dict):
            raise FeedError("an endpoint that can't be read")
        try:
            name = line["name"]
            state = _STATES_BY_STATUS[line["status"]]
            zone = int(line["group"])
            weight = float(line["weight"])
            status_since_ms = float(line["since_ms"] or 0)
            server_type = self._server_types.index(line["type"])
            address = parse_address(line["address"], "address")
            server = number_of(name)
        except (AttributeError, KeyError, TypeError, ValueError, OverflowError, ConfigError):
            raise FeedError("an endpoint that can't be read") from None
        if not (math.isfinite(weight) and math.isfinite(status_since_ms)):
            raise FeedError("an endpoint that can't be read")
        started_at = max(status_since_ms - self._offset_ms, 0.0) if status_since_ms > 0.0 else 0.0
        endpoint = Endpoint(server, state, started_at, zone, server_type, weight)
        return _ListedEndpoint(endpoint, name, address, status_since_ms)


def _number_before(event: object) -> int:
    """The sequence number before the first known event; 0 if the event has no number."""
    if not isinstance(event, dict) or not isinstance(event.get("n"), int):
        return 0
    return max(int(event["n"]) - 1, 0)
