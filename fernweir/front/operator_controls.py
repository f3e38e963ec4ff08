"""What the order service can see and do at a front: it reads and changes sessions, servers and the list."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import Any

from fernweir.control.orders import Orders, SiteSnapshot
from fernweir.front.dispatcher import Dispatcher
from fernweir.front.endpoint_list import EndpointList
from fernweir.front.session_manager import SessionPhase
from fernweir.interface import ServerState


class OperatorControls:
    """Implements `control.desk.FrontControl` for one front."""

    def __init__(self, dispatcher: Dispatcher, endpoint_list: EndpointList, wall_offset_s: float) -> None:
        self._dispatcher, self._endpoint_list = dispatcher, endpoint_list
        self._wall_offset_ms = wall_offset_s * 1000.0
        self._timers: set[asyncio.TimerHandle] = set()

    def stop(self) -> None:
        """Cancels the timers that `call_at` started."""
        for timer in self._timers:
            timer.cancel()

    def now(self) -> float:
        """Returns the time of the dispatcher's clock in milliseconds."""
        return self._dispatcher.now()

    def wall_time_ms(self) -> int:
        """Returns the wall time in milliseconds."""
        return int(self._dispatcher.now() + self._wall_offset_ms)

    def request_site(self, then: Callable[[SiteSnapshot], None]) -> None:
        """Calls `then` at once with the state of the site."""
        then(self._site())

    def retry_process(self, name: str) -> bool:
        """Returns False: a front has no failed processes that could be started again."""
        return False

    def unit(self) -> Mapping[str, Any]:
        """Returns nothing: a front is not an appliance unit."""
        return {}

    def _site(self) -> SiteSnapshot:
        """Returns the current state of the listed servers; loads are the controller's estimates."""
        sessions, controller, now = (
            self._dispatcher.sessions,
            self._dispatcher.sessions.controller,
            self.now(),
        )
        listed = sessions.endpoint_states
        entries, zone_count = self._endpoint_list.servers, sessions.settings.zone_count
        servers = controller.servers
        return SiteSnapshot(
            ready=frozenset(server for server, state in listed.items() if state is ServerState.READY),
            known=frozenset(server for server, state in listed.items() if state is not ServerState.REMOVED),
            holders={
                name: [
                    server
                    for server, entry in entries.items()
                    if (entry.cell - title.first_zone) % zone_count < title.replicas
                ]
                for name, title in self._endpoint_list.titles.items()
            },
            playing={server: len(sessions.sessions_playing_at(server)) for server in listed},
            carried_kb={
                server: servers[server].link.load(now) * servers[server].link.capacity_kbyte_s
                for server, state in listed.items()
                # A load without a recent report is only an estimate, on which operators must not decide.
                if server in servers
                and state is not ServerState.REMOVED
                and servers[server].link.has_recent_report(now)
            },
            own_kb={server: servers[server].link.own_kbyte_s for server in listed if server in servers},
            capacity_kb={
                server: servers[server].link.capacity_kbyte_s for server in listed if server in servers
            },
            sessions=frozenset(sessions.records()),
        )

    def apply_orders(self, orders: Orders, then: Callable[[list[str]], None]) -> None:
        """Applies changed orders, and calls `then` when the controller has handled them."""
        self._dispatcher.sessions.on_operator_orders_changed(self.now())
        self._dispatcher.after_step(lambda: then([]))

    def end_session(self, id: str, session: str, why: str) -> None:
        """Ends a session by an operator's order."""
        self._dispatcher.sessions.revoke_session(self.now(), session, why)
        self._dispatcher.schedule_step()

    def limits(self) -> Mapping[str, Any]:
        """Returns the limits of the settings, under the names that operators see."""
        settings = self._dispatcher.sessions.settings
        return {
            "classes": {
                session_class.name: {
                    "seats": session_class.seats,
                    "deadline_ms": session_class.deadline_ms,
                    "lowest_rung": session_class.lowest_rung,
                    "top_rung": session_class.top_rung,
                }
                for session_class in settings.classes
            },
            "attempts": settings.max_attempts,
            "drain_grace_ms": settings.drain_grace_ms,
            "retry_after_max_ms": settings.max_retry_after_ms,
            "budget": None
            if settings.retry_budget is None
            else [
                settings.retry_budget.window_ms,
                settings.retry_budget.min_retries,
                settings.retry_budget.retry_ratio,
            ],
            "fronts": settings.front_count,
        }

    def gauges(self) -> dict[str, Any]:
        """Returns the loads of servers and the utility of the sessions that play, as the controller has them.

        The values of a server are the loads of its link and uplink, its rack, and for each of the two loads 1
        if it was reported recently and 0 if it is an estimate.
        """
        sessions, now = self._dispatcher.sessions, self.now()
        settings = sessions.settings
        loads = {
            str(server_id): [
                round(server.link.load(now), 3),
                round(server.uplink.load(now), 3),
                server.rack,
                int(server.link.has_recent_report(now)),
                int(server.uplink.has_recent_report(now)),
            ]
            for server_id, server in sorted(sessions.controller.servers.items())
            if server.state is not ServerState.REMOVED
        }
        utility = max_utility = 0.0
        for record in sessions.records().values():
            if record.phase is SessionPhase.PLAYING:
                session_class = settings.classes[record.request.class_index]
                utility += session_class.priority_weight * settings.rung_utilities[record.rung]
                max_utility += (
                    session_class.priority_weight
                    * settings.rung_utilities[min(record.request.top_rung, session_class.top_rung)]
                )
        return {
            "boxes": loads,
            "worth": round(utility, 2),
            "worth_most": round(max_utility, 2),
            "waiting": len(sessions.reply_ledger),
        }

    def call_at(self, due: float, do: Callable[[], None]) -> None:
        """Calls back at a time of the dispatcher's clock in milliseconds, or at once if it has passed."""

        def on_timer() -> None:
            self._timers.discard(handle)
            do()

        handle = self._dispatcher.loop.call_at(max(due, self.now()) / 1000.0, on_timer)
        self._timers.add(handle)
