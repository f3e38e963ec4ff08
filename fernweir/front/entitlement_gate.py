"""Admits sessions that have a seat: connects the seat manager with its log, its client and the dispatcher."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from fernweir.entitlement.client import EntitlementClient
from fernweir.front.commands import CheckEntitlement, EntitlementReleased
from fernweir.front.dispatcher import Dispatcher
from fernweir.seats.log import LogError, SeatLog
from fernweir.seats.messages import (
    AdmissionDecision,
    LeaseResponse,
    RevokeSession,
    SeatRequest,
    SendLeaseRequest,
)
from fernweir.seats.records import encode_table
from fernweir.seats.seat_manager import SeatManager

_HANDOVER_GRACE_S = 2.0
"""For how long the seat of a session that was handed over is left for the other front to request."""


class EntitlementGate:
    """Requests, renews and releases the seats of sessions, and applies the decisions to the sessions.

    Attributes:
        dispatcher: The dispatcher.
        seat_manager: Decides which lease requests are sent and which sessions are admitted.
        log: The durable log of seats.
        client: Sends lease requests to the entitlement server.
        on_lease_renewed: Is called with the remaining time of each renewed lease in milliseconds; for
            measurements.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        seat_manager: SeatManager,
        log: SeatLog,
        client: EntitlementClient,
        sync_s: float,
    ) -> None:
        self.dispatcher, self.seat_manager, self.log, self.client = dispatcher, seat_manager, log, client
        self._sync_s = sync_s
        self._is_sync_scheduled = self._is_step_scheduled = self._is_stopped = False
        self._wake_up: asyncio.TimerHandle | None = None
        self._handed_over: set[str] = set()  # sessions that were recently handed over to another front
        self.on_lease_renewed: Callable[[float], None] | None = None

    def append(self, body: bytes) -> int:
        """Appends a record to the log; records within `sync_s` share one sync."""
        if not self._is_sync_scheduled and not self._is_stopped:
            self._is_sync_scheduled = True
            self.dispatcher.loop.call_later(self._sync_s, self._commit)
        return self.log.append(body)

    def check(self, command: CheckEntitlement) -> None:
        """Requests the seat of a session; see `EntitlementCheck`."""
        request, settings = command.request, self.dispatcher.sessions.settings
        session_class = settings.classes[request.class_index]
        seat_request = SeatRequest(
            request.session_id,
            request.tenant,
            request.title_name,
            session_class.name,
            request.subject,
            session_class.priority_weight,
        )
        self.seat_manager.request_seat(self.dispatcher.now(), seat_request, command.deadline)
        self.schedule_step()

    def on_session_released(self, command: EntitlementReleased) -> None:
        """Releases the seat of a session that has ended here.

        The front that a session was handed over to requests its seat. Until that front has had time to do so
        the seat is not released here, because another viewer could get it in between.
        """
        if command.is_handed_over:
            self._handed_over.add(command.session_id)
            self.dispatcher.loop.call_later(
                _HANDOVER_GRACE_S, self._on_handover_grace_timeout, command.session_id
            )
            return
        self.seat_manager.cancel_request(self.dispatcher.now(), command.session_id)
        self.schedule_step()

    def _on_handover_grace_timeout(self, session_id: str) -> None:
        self._handed_over.discard(session_id)
        if not self._is_stopped and self.dispatcher.sessions.session(session_id) is None:
            self.seat_manager.cancel_request(self.dispatcher.now(), session_id)
            self.schedule_step()

    def is_entitled(self, session_id: str) -> bool:
        """Whether the session has a lease that is valid now."""
        return self.seat_manager.has_valid_lease(self.dispatcher.now(), session_id)

    def schedule_step(self) -> None:
        """Schedules a step of the seat manager, once, because something happened."""
        if not self._is_step_scheduled and not self._is_stopped:
            self._is_step_scheduled = True
            self.dispatcher.loop.call_soon(self._step)

    async def release_all_seats(self, within_s: float) -> int:
        """Releases all seats and waits until they are released; returns how many remain, which will expire.

        The seats of sessions that were recently handed over are left to the other front. They expire if it
        never requests them.
        """
        for session_id in [one for one in self.seat_manager.seats if one not in self._handed_over]:
            self.seat_manager.cancel_request(self.dispatcher.now(), session_id)
        self.schedule_step()
        end = self.dispatcher.loop.time() + within_s
        while self.seat_manager.seats.keys() - self._handed_over and self.dispatcher.loop.time() < end:
            await asyncio.sleep(0.01)
        return len(self.seat_manager.seats.keys() - self._handed_over)

    def stop(self) -> None:
        """Stops at once; the front's next incarnation releases the seats in the log, or they expire."""
        self._is_stopped = True
        if self._wake_up is not None:
            self._wake_up.cancel()

    def _step(self) -> None:
        self._is_step_scheduled = False
        if self._is_stopped:
            return
        now, sessions = self.dispatcher.now(), self.dispatcher.sessions
        for command in self.seat_manager.advance(now):
            if isinstance(command, SendLeaseRequest):
                self._send(command)
            elif isinstance(command, AdmissionDecision):
                seat = self.seat_manager.seats.get(command.session_id)
                plays = command.is_granted or (
                    command.is_granted is None and seat is not None and seat.is_wanted
                )
                sessions.on_entitlement_decided(
                    now, command.session_id, bool(plays), command.reason, command.retry_after_ms
                )
            elif isinstance(command, RevokeSession):
                self.dispatcher.log.info("session revoked", session=command.session_id, why=command.reason)
                sessions.revoke_session(now, command.session_id, command.reason)
            elif command.remaining_ms is not None and self.on_lease_renewed is not None:
                # Renewed: the viewer's next manifest contains a newly signed server token; see docs/seats.md.
                self.on_lease_renewed(command.remaining_ms)
            self.dispatcher.schedule_step()
        deadline = self.seat_manager.next_deadline(now)
        if self._wake_up is not None:
            self._wake_up.cancel()
        if deadline is not None:
            self._wake_up = self.dispatcher.loop.call_at(
                max(deadline, now + 1.0) / 1000.0, self.schedule_step
            )

    def _send(self, command: SendLeaseRequest) -> None:
        def on_response(response: LeaseResponse) -> None:
            self.seat_manager.on_response(self.dispatcher.now(), command.request_id, response)
            self.schedule_step()

        self.client.send(command, on_response)

    def _commit(self) -> None:
        self._is_sync_scheduled = False
        if self._is_stopped:
            return
        try:
            sequence = self.log.commit()
            if self.log.is_snapshot_due:
                self.log.write_snapshot(encode_table(self.seat_manager.records()))
        except LogError as error:
            if self.seat_manager.is_log_writable:
                self.dispatcher.log.error("seats can't be written down", why=str(error))
            self.seat_manager.on_log_failed()
        else:
            self.seat_manager.on_log_synced(sequence)
        self.schedule_step()
