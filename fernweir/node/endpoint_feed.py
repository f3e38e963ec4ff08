"""Decodes the control feed: turns numbered events into updates of the endpoint list. No I/O.

Each event is applied once and in order; events that were applied before are skipped. After a gap, or when the
feed's last sequence number shows that an event is missing, or when a line cannot be parsed, the node has to
subscribe again from its last sequence number.

An event that arrives twice with the same bytes, or that is in the configuration, was not damaged in transit.
Its valid part is applied and the rest is skipped. Otherwise no later event could ever be applied, and no node
could start.
"""

from __future__ import annotations

import json
import math
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, TypeGuard

from fernweir.front.address_registry import AddressRegistry
from fernweir.front.names import number_of
from fernweir.interface import Endpoint, EndpointListKind, EndpointListUpdate, ServerState
from fernweir.node.config import Address, ConfigError, parse_address

MAX_LISTED_SERVERS = 3_200
MAX_ENDPOINT_BYTES = 512
MAX_EVENT_BYTES = MAX_LISTED_SERVERS * MAX_ENDPOINT_BYTES  # an event may hold the complete list
_VERSION_MASK = 0xFFFFFFFF
_STATES_BY_STATUS = {
    "up": ServerState.READY,
    "draining": ServerState.DRAINING,
    "removed": ServerState.REMOVED,
}


class FeedError(ValueError):
    """Raised for input that cannot be used. The node has to subscribe again from its last sequence number."""


@dataclass(frozen=True, slots=True)
class _ListedEndpoint:
    """One endpoint of an event, with the details that only the node needs."""

    endpoint: Endpoint
    name: str
    address: Address
    status_since_ms: float


class EndpointFeed:
    """Decodes the feed and holds the details of the servers that it has announced so far.

    Args:
        server_types: The names of the server types, in the order of their numbers.
        offset_ms: Unix time minus the node's monotonic clock, in ms.

    Attributes:
        last_sequence_number: The number of the last event that was applied.
        in_sequence_lines: Counts the lines that were the next event, or that confirmed that the last applied
            event is the feed's last one.
        partially_applied_events: Counts the events of which a part was skipped.
        addresses: The address of each server, by server number.
        names: The name of each server, by server number.
        status_since_ms: The Unix time in ms since which each server has had its status, according to the
            feed.
        address_registry: Which listed server each address leads to.
        concerned_addresses: The addresses that the servers of the last event have, or had before it.
    """

    def __init__(self, server_types: tuple[str, ...], offset_ms: float) -> None:
        self._server_types = server_types
        self._offset_ms = offset_ms
        self._last_rejected_line = b""  # the last event that could not be parsed
        self.last_sequence_number = 0
        self.in_sequence_lines = 0
        self.partially_applied_events = 0
        self.addresses: dict[int, Address] = {}
        self.names: dict[int, str] = {}
        self.status_since_ms: dict[int, float] = {}
        self.address_registry = AddressRegistry()
        self.concerned_addresses: set[Address] = set()

    def apply_known_events(
        self, events: tuple[object, ...], last_sequence_number: int
    ) -> Iterator[EndpointListUpdate]:
        """Applies the events of the configuration, the first of which holds the complete list.

        As with the feed, the caller has to apply each update before it requests the next one, because the
        removal of a server drops its details here, and a later event may add the server again.

        Args:
            events: The events in order. Their numbers may start anywhere.
            last_sequence_number: The number from which to subscribe, unless an event has a higher one.

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
            except FeedError:  # the feed would send the same event, and running nodes have skipped this part
                update = self._apply_readable_part(event, EndpointListKind.CACHED)
            if update is not None:
                yield update
        self.last_sequence_number = max(self.last_sequence_number, last_sequence_number)

    def apply_line(self, line: bytes) -> EndpointListUpdate | None:
        """Applies one line of the feed.

        Returns:
            The update of the list, or None if the line does not change the list.

        Raises:
            FeedError: The node has to subscribe again.
        """
        try:
            body = json.loads(line)
        except (ValueError, RecursionError):
            raise FeedError("a line is not JSON") from None
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

    def remove_server(self, server: int) -> None:
        """Drops the details of a server that was removed from the list and is no longer in use."""
        self.addresses.pop(server, None)
        self.names.pop(server, None)
        self.status_since_ms.pop(server, None)

    def _check_last_number(self, feed_last: int) -> None:
        if feed_last > self.last_sequence_number:
            raise FeedError(
                f"events up to {feed_last} are missing, the last applied one is {self.last_sequence_number}"
            )
        self.in_sequence_lines += feed_last == self.last_sequence_number

    def _is_next_event(self, body: object) -> TypeGuard[dict[str, Any]]:
        """Returns whether the event is the next one; False if it was applied before.

        Raises:
            FeedError: The event has no number, or events before it are missing.
        """
        sequence_number = body.get("n") if isinstance(body, dict) else None
        if not isinstance(sequence_number, int) or isinstance(sequence_number, bool):
            raise FeedError("an event has no number")
        if sequence_number > self.last_sequence_number + 1:
            raise FeedError(f"event {sequence_number} was received after {self.last_sequence_number}")
        return sequence_number > self.last_sequence_number

    def _apply_readable_part(
        self, body: dict[str, Any], snapshot_kind: EndpointListKind
    ) -> EndpointListUpdate | None:
        """Applies the valid part of an event that was not damaged in transit."""
        self.partially_applied_events += 1
        return self._apply_event(body, snapshot_kind, is_partial_allowed=True)

    def _apply_event(
        self, body: dict[str, Any], snapshot_kind: EndpointListKind, is_partial_allowed: bool = False
    ) -> EndpointListUpdate | None:
        update = self._apply_members(body, snapshot_kind, is_partial_allowed)
        self.last_sequence_number = body["n"]
        self.in_sequence_lines += 1
        return update

    def _apply_members(
        self, body: dict[str, Any], snapshot_kind: EndpointListKind, is_partial_allowed: bool
    ) -> EndpointListUpdate | None:
        members = body.get("members")
        if not isinstance(members, dict):
            return None  # an event that does not concern the endpoint list
        lines, version = members.get("endpoints"), members.get("index")
        if not isinstance(lines, list) or not isinstance(version, int):
            if is_partial_allowed:
                return None
            raise FeedError("an event has no list of endpoints or no index")
        listed = self._parse_endpoints(lines, is_partial_allowed)
        # An incomplete list is not applied as a snapshot, so that endpoints missing from it are kept.
        is_complete = len(listed) == len(lines)
        is_snapshot = members.get("snapshot") is True and (is_complete or not self.names)
        self.concerned_addresses = {one.address for one in listed}
        for one in listed:
            self._register_address(one, body["n"])
            server = one.endpoint.server
            self.concerned_addresses.add(self.addresses.get(server, one.address))
            self.names[server] = one.name
            self.addresses[server] = one.address
            self.status_since_ms[server] = one.status_since_ms
        if is_snapshot:
            self.address_registry.retain({one.endpoint.server for one in listed})
        kind = snapshot_kind if is_snapshot else EndpointListKind.DELTA
        return EndpointListUpdate(kind, version & _VERSION_MASK, tuple(one.endpoint for one in listed))

    def _register_address(self, listed: _ListedEndpoint, event: int) -> None:
        server = listed.endpoint.server
        if listed.endpoint.state is ServerState.REMOVED:
            self.address_registry.remove(server)
            return
        is_new_process = listed.status_since_ms > self.status_since_ms.get(server, 0.0)
        self.address_registry.announce(server, listed.address, event, is_new_process=is_new_process)

    def _parse_endpoints(self, lines: list[object], is_partial_allowed: bool) -> list[_ListedEndpoint]:
        """Parses all endpoints of an event, before any of them is applied to the list."""
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
            raise FeedError("an endpoint is not a JSON object")
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
            raise FeedError("an endpoint has a missing or invalid field") from None
        if not (math.isfinite(weight) and math.isfinite(status_since_ms)):
            raise FeedError("an endpoint has a number that is not finite")
        started_at = max(status_since_ms - self._offset_ms, 0.0) if status_since_ms > 0.0 else 0.0
        endpoint = Endpoint(server, state, started_at, zone, server_type, weight)
        return _ListedEndpoint(endpoint, name, address, status_since_ms)


def _number_before(event: object) -> int:
    """Returns the sequence number before the first known event, or 0 if the event has no number."""
    if not isinstance(event, dict) or not isinstance(event.get("n"), int):
        return 0
    return max(int(event["n"]) - 1, 0)
