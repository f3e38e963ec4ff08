"""The endpoint list as the controller gets it: the list itself, with operators' drains applied to it.

The module does no I/O. A drained server is passed on as draining whenever the list calls it ready; `gone`
stays `gone`. When a drain is lifted, the controller gets the state that the list has by then.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from fernweir.interface import Endpoint, EndpointListKind, EndpointListUpdate, ServerState


class Overlay:
    """Applies drains to updates of the endpoint list. `drained` returns whether a server is drained now."""

    def __init__(self, drained: Callable[[int], bool]) -> None:
        self._drained = drained
        self._entries: dict[int, Endpoint] = {}
        self._published: dict[int, ServerState] = {}
        self._version = 0

    @property
    def listed(self) -> dict[int, ServerState]:
        """The states of servers in the list itself, without drains."""
        return {server: entry.state for server, entry in self._entries.items()}

    def apply_list_update(self, update: EndpointListUpdate) -> EndpointListUpdate:
        """Stores an update of the list and returns it with drains applied."""
        if update.kind is EndpointListKind.FAILED:
            return update
        if update.kind in (EndpointListKind.CACHED, EndpointListKind.FULL):
            self._entries, self._published = {}, {}
        self._version = update.version
        entries = []
        for entry in update.entries:
            self._entries[entry.server] = entry
            entries.append(self._with_drain(entry))
        return replace(update, entries=tuple(entries))

    def on_orders_changed(self) -> EndpointListUpdate | None:
        """Returns the update that a change of orders makes necessary, or None."""
        changed = []
        for entry in self._entries.values():
            if self._effective_state(entry) is not self._published[entry.server]:
                changed.append(self._with_drain(entry))
        return EndpointListUpdate(EndpointListKind.DELTA, self._version, tuple(changed)) if changed else None

    def _effective_state(self, entry: Endpoint) -> ServerState:
        if entry.state is ServerState.READY and self._drained(entry.server):
            return ServerState.DRAINING
        return entry.state

    def _with_drain(self, entry: Endpoint) -> Endpoint:
        state = self._published[entry.server] = self._effective_state(entry)
        return entry if state is entry.state else replace(entry, state=state)
