"""The list of boxes as the module is told it: what the list says, with operators' drains laid over it.

Free of I/O. A drained box is told as draining whenever the list calls it ready; `gone` stays `gone`. When a
drain is lifted, the module is told what the list says by then.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from fernweir.interface import Endpoint, EndpointListKind, EndpointListUpdate, ServerState


class Overlay:
    """`drained` says of a box whether an order drains it now."""

    def __init__(self, drained: Callable[[int], bool]) -> None:
        self._drained = drained
        self._entries: dict[int, Endpoint] = {}
        self._told: dict[int, ServerState] = {}
        self._version = 0

    @property
    def listed(self) -> dict[int, ServerState]:
        """What the list itself says."""
        return {box: entry.state for box, entry in self._entries.items()}

    def apply_list_update(self, update: EndpointListUpdate) -> EndpointListUpdate:
        """The update as the module is to hear it."""
        if update.kind is EndpointListKind.FAILED:
            return update
        if update.kind in (EndpointListKind.CACHED, EndpointListKind.FULL):
            self._entries, self._told = {}, {}
        self._version = update.version
        entries = []
        for entry in update.entries:
            self._entries[entry.server] = entry
            entries.append(self._laid_over(entry))
        return replace(update, entries=tuple(entries))

    def on_orders_changed(self) -> EndpointListUpdate | None:
        """What the module must hear after a change of orders, or None."""
        changed = []
        for entry in self._entries.values():
            if self._state(entry) is not self._told[entry.server]:
                changed.append(self._laid_over(entry))
        return EndpointListUpdate(EndpointListKind.DELTA, self._version, tuple(changed)) if changed else None

    def _state(self, entry: Endpoint) -> ServerState:
        if entry.state is ServerState.READY and self._drained(entry.server):
            return ServerState.DRAINING
        return entry.state

    def _laid_over(self, entry: Endpoint) -> Endpoint:
        state = self._told[entry.server] = self._state(entry)
        return entry if state is entry.state else replace(entry, state=state)
