"""What the operators' desk can see and do at a front. A thin shell between desk, host and list."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import Any

from fernweir.control.orders import Orders, SiteSnapshot
from fernweir.front.boxlist import BoxList
from fernweir.front.dispatcher import Dispatcher
from fernweir.front.session_manager import SessionPhase
from fernweir.interface import ServerState


class Steering:
    """See `control.desk.FrontControl`."""

    def __init__(self, core: Dispatcher, boxes: BoxList, wall_offset_s: float) -> None:
        self._core, self._boxes = core, boxes
        self._wall_offset_ms = wall_offset_s * 1000.0
        self._timers: set[asyncio.TimerHandle] = set()

    def stop(self) -> None:
        for timer in self._timers:
            timer.cancel()

    def now(self) -> float:
        return self._core.now()

    def wall_time_ms(self) -> int:
        return int(self._core.now() + self._wall_offset_ms)

    def request_site(self, then: Callable[[SiteSnapshot], None]) -> None:
        then(self._site())

    def retry_process(self, name: str) -> bool:
        return False

    def unit(self) -> Mapping[str, Any]:
        return {}

    def _site(self) -> SiteSnapshot:
        """Of the list as it stands; loads are what the module takes them for."""
        host, controller, now = self._core.sessions, self._core.sessions.controller, self.now()
        listed = host.endpoint_states
        lines, cells = self._boxes.boxes, host.settings.zone_count
        servers = controller.servers
        return SiteSnapshot(
            ready=frozenset(box for box, state in listed.items() if state is ServerState.READY),
            known=frozenset(box for box, state in listed.items() if state is not ServerState.REMOVED),
            holders={
                title: [
                    box
                    for box, line in lines.items()
                    if (line.cell - lesson.first_cell) % cells < lesson.copies
                ]
                for title, lesson in self._boxes.lessons.items()
            },
            playing={box: len(host.sessions_playing_at(box)) for box in listed},
            carried_kb={
                box: servers[box].link.load(now) * servers[box].link.capacity_kbyte_s
                for box, state in listed.items()
                # What is only guessed, as the module must, is not what an operator is to decide on.
                if box in servers
                and state is not ServerState.REMOVED
                and servers[box].link.has_recent_report(now)
            },
            own_kb={box: servers[box].link.own_kbyte_s for box in listed if box in servers},
            capacity_kb={box: servers[box].link.capacity_kbyte_s for box in listed if box in servers},
            sessions=frozenset(host.records()),
        )

    def apply_orders(self, orders: Orders, then: Callable[[list[str]], None]) -> None:
        self._core.sessions.on_operator_orders_changed(self.now())
        self._core.after_step(lambda: then([]))

    def end_session(self, id: str, session: str, why: str) -> None:
        self._core.sessions.revoke_session(self.now(), session, why)
        self._core.schedule_step()

    def limits(self) -> Mapping[str, Any]:
        settings = self._core.sessions.settings
        return {
            "classes": {
                kind.name: {
                    "seats": kind.seats,
                    "deadline_ms": kind.deadline_ms,
                    "lowest_rung": kind.lowest_rung,
                    "top_rung": kind.top_rung,
                }
                for kind in settings.classes
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
        """Loads by box and what is served, as the module takes them now.

        A box's are link, uplink, its rack, and whether each of the two was told lately or is a guess.
        """
        host, now = self._core.sessions, self.now()
        settings = host.settings
        loads = {
            str(box): [
                round(one.link.load(now), 3),
                round(one.uplink.load(now), 3),
                one.rack,
                int(one.link.has_recent_report(now)),
                int(one.uplink.has_recent_report(now)),
            ]
            for box, one in sorted(host.controller.servers.items())
            if one.state is not ServerState.REMOVED
        }
        worth = most = 0.0
        for held in host.records().values():
            if held.phase is SessionPhase.PLAYING:
                kind = settings.classes[held.request.class_index]
                worth += kind.priority_weight * settings.rung_utilities[held.rung]
                most += (
                    kind.priority_weight * settings.rung_utilities[min(held.request.top_rung, kind.top_rung)]
                )
        return {
            "boxes": loads,
            "worth": round(worth, 2),
            "worth_most": round(most, 2),
            "waiting": len(host.reply_ledger),
        }

    def call_at(self, due: float, do: Callable[[], None]) -> None:
        def fire() -> None:
            self._timers.discard(handle)
            do()

        handle = self._core.loop.call_at(max(due, self.now()) / 1000.0, fire)
        self._timers.add(handle)
