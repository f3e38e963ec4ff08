"""The media servers that the controller knows, indexed by zone and by the time of their removal.

A change of the endpoint list visits only the servers that it names, and a set-up only the holders of its
title, however many servers there are.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection, Iterator

from fernweir.controller_state import Server
from fernweir.interface import ServerState
from fernweir.uplink_capacity import UplinkDivision


class ServerTable:
    """The known servers.

    A server that was removed from the endpoint list stays in the table until `forget`, because sessions may
    still play there. Listed servers are those that were not removed.

    Args:
        zone_count: The number of zones.
        uplinks: The division of uplink capacity, which depends on the listed servers.

    Attributes:
        by_id: All servers; callers must not change it.
        ready_count: The number of listed servers that accept sessions.
    """

    def __init__(self, zone_count: int, uplinks: UplinkDivision) -> None:
        self.by_id: dict[int, Server] = {}
        self.ready_count = 0
        self._zone_count = zone_count
        self._uplinks = uplinks
        self._listed_by_zone: defaultdict[int, dict[int, Server]] = defaultdict(dict)
        self._removed: dict[int, Server] = {}  # in the order of their removal

    def add(self, server: Server) -> None:
        """Adds a server. It is not listed until `set_state`."""
        server.state = ServerState.REMOVED
        self.by_id[server.server_id] = server

    def set_state(self, server: Server, state: ServerState, zone: int, now: float) -> None:
        """Applies the state and the zone that the endpoint list has for a server."""
        was_listed = server.state is not ServerState.REMOVED
        is_listed = state is not ServerState.REMOVED
        self.ready_count += (state is ServerState.READY) - (server.state is ServerState.READY)
        server.state = state
        if was_listed:
            self._unindex_zone(server)
        server.zone = zone
        if is_listed:
            self._listed_by_zone[zone % self._zone_count][server.server_id] = server
        if is_listed and not was_listed:
            self._on_listed(server)
        elif was_listed and not is_listed:
            self._uplinks.remove(server.rack, server.server_id, server.link)
        if not is_listed and server.server_id not in self._removed:
            server.removed_at = now
            self._removed[server.server_id] = server

    def remove_unlisted(self, listed: Collection[int], now: float) -> None:
        """Removes all listed servers but these, as a complete endpoint list does."""
        for server in list(self.by_id.values()):
            if server.server_id not in listed and server.state is not ServerState.REMOVED:
                self.set_state(server, ServerState.REMOVED, server.zone, now)

    def removed_before(self, time_ms: float) -> list[Server]:
        """Returns the servers that were removed before a time, oldest first."""
        return list(self._iterate_removed_before(time_ms))

    def forget(self, server: Server) -> None:
        """Drops a removed server."""
        del self._removed[server.server_id]
        del self.by_id[server.server_id]

    def holders(self, first_zone: int, replicas: int) -> list[Server]:
        """Returns the listed servers of as many consecutive zones as a title has replicas."""
        return [
            server
            for offset in range(min(replicas, self._zone_count))
            for server in self._listed_in_zone(first_zone + offset).values()
        ]

    def _listed_in_zone(self, zone: int) -> dict[int, Server]:
        return self._listed_by_zone.get(zone % self._zone_count, {})

    def _on_listed(self, server: Server) -> None:
        self._uplinks.add(server.rack, server.server_id, server.link)
        self._removed.pop(server.server_id, None)
        server.removed_at = float("inf")

    def _unindex_zone(self, server: Server) -> None:
        zone = server.zone % self._zone_count
        del self._listed_by_zone[zone][server.server_id]
        if not self._listed_by_zone[zone]:
            del self._listed_by_zone[zone]

    def _iterate_removed_before(self, time_ms: float) -> Iterator[Server]:
        for server in self._removed.values():
            if server.removed_at >= time_ms:
                return
            yield server
