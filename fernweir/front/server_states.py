"""The server states of a session manager: listed states, operators' orders, and servers that are silent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fernweir.front.session_context import SessionContext
from fernweir.front.session_journal import SessionJournal
from fernweir.interface import EndpointListKind, EndpointListUpdate, ServerState
from fernweir.journal.events import EventKind

if TYPE_CHECKING:  # not loaded at run time: a front may have no operators' orders
    from fernweir.control.overlay import Overlay


class ServerStates:
    """Owns the states of servers as the controller receives them, after operators' orders.

    Attributes:
        states: The state of each server; a server that was removed is absent.
        silent: Servers that have sent nothing for a while, though their processes may run.
    """

    def __init__(self, context: SessionContext, journal: SessionJournal, overlay: Overlay | None) -> None:
        self.states: dict[int, ServerState] = {}
        self.silent: set[int] = set()
        self._context = context
        self._journal = journal
        self._overlay = overlay

    @property
    def listed(self) -> dict[int, ServerState]:
        """The server states of the endpoint list, without operators' orders."""
        return self.states if self._overlay is None else self._overlay.listed

    def is_removed(self, server: int) -> bool:
        """Whether a server is not, or no longer, on the endpoint list."""
        return self.states.get(server, ServerState.REMOVED) is ServerState.REMOVED

    def update(self, update: EndpointListUpdate) -> None:
        """Applies a change of the endpoint list."""
        context = self._context
        self._journal.record_endpoint_list(update)
        if context.observer is not None:
            context.observer.on_endpoint_list(context.now, update)
        self._apply(update if self._overlay is None else self._overlay.apply_list_update(update))

    def on_operator_orders_changed(self) -> None:
        """Applies operators' orders that change the endpoint list as the controller sees it."""
        update = self._overlay.on_orders_changed() if self._overlay is not None else None
        if update is not None:
            self._apply(update)

    def set_silent(self, server: int, is_silent: bool) -> None:
        """Records whether a server has stopped sending."""
        if is_silent == (server in self.silent):
            return
        if is_silent:
            self.silent.add(server)
        else:
            self.silent.discard(server)
        self._journal.record_server(EventKind.SILENT if is_silent else EventKind.RESUMED, server)

    def _apply(self, update: EndpointListUpdate) -> None:
        self._context.events.append(update)
        if update.kind in (EndpointListKind.CACHED, EndpointListKind.FULL):
            self.states = {}
        for entry in update.entries:
            if entry.state is ServerState.REMOVED:
                self.states.pop(entry.server, None)
            else:
                self.states[entry.server] = entry.state
