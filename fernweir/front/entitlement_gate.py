"""Admits sessions that have a seat: a thin shell around the seat manager, its log and its client."""

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

_MOVED_S = 2.0


class EntitlementGate:
    """`plays_unanswered` names the classes whose sessions play when the server says nothing."""

    def __init__(
        self,
        core: Dispatcher,
        seat_manager: SeatManager,
        log: SeatLog,
        client: EntitlementClient,
        sync_s: float,
    ) -> None:
        self.core, self.seat_manager, self.log, self.client = core, seat_manager, log, client
        self._sync_s = sync_s
        self._syncing = self._kicked = self._stopped = False
        self._wake: asyncio.TimerHandle | None = None
        self._moved: set[str] = set()  # sessions that another front has taken over, lately
        self.on_lease_renewed: Callable[[float], None] | None = None  # of each renewal, for measurements

    def append(self, body: bytes) -> int:
        """Gathers a record; all that gather within `sync_s` share one sync."""
        if not self._syncing and not self._stopped:
            self._syncing = True
            self.core.loop.call_later(self._sync_s, self._commit)
        return self.log.append(body)

    def check(self, command: CheckEntitlement) -> None:
        ask, settings = command.request, self.core.sessions.settings
        kind = settings.classes[ask.class_index]
        want = SeatRequest(
            ask.session_id, ask.tenant, ask.title_name, kind.name, ask.subject, kind.priority_weight
        )
        self.seat_manager.request_seat(self.core.now(), want, command.deadline)
        self.schedule_step()

    def on_session_released(self, command: EntitlementReleased) -> None:
        """The seat of a session that is another front's now is that front's to ask for: it is given back
        only when that had its time, or a third viewer could have it in between."""
        if command.is_handed_over:
            self._moved.add(command.session_id)
            self.core.loop.call_later(_MOVED_S, self._moved_on, command.session_id)
            return
        self.seat_manager.cancel_request(self.core.now(), command.session_id)
        self.schedule_step()

    def _moved_on(self, jti: str) -> None:
        self._moved.discard(jti)
        if not self._stopped and self.core.sessions.session(jti) is None:
            self.seat_manager.cancel_request(self.core.now(), jti)
            self.schedule_step()

    def is_entitled(self, jti: str) -> bool:
        return self.seat_manager.has_valid_lease(self.core.now(), jti)

    def schedule_step(self) -> None:
        if not self._kicked and not self._stopped:
            self._kicked = True
            self.core.loop.call_soon(self._run)

    async def release_all_seats(self, within_s: float) -> int:
        """Releases every seat and waits for it; tells how many are left to lapse.

        What moved a moment ago is its heir's to ask for, and lapses if that never does.
        """
        for session in [one for one in self.seat_manager.seats if one not in self._moved]:
            self.seat_manager.cancel_request(self.core.now(), session)
        self.schedule_step()
        end = self.core.loop.time() + within_s
        while self.seat_manager.seats.keys() - self._moved and self.core.loop.time() < end:
            await asyncio.sleep(0.01)
        return len(self.seat_manager.seats.keys() - self._moved)

    def stop(self) -> None:
        """What is written down is released by the next life, or lapses."""
        self._stopped = True
        if self._wake is not None:
            self._wake.cancel()

    def _run(self) -> None:
        self._kicked = False
        if self._stopped:
            return
        now, host = self.core.now(), self.core.sessions
        for command in self.seat_manager.advance(now):
            if isinstance(command, SendLeaseRequest):
                self._send(command)
            elif isinstance(command, AdmissionDecision):
                seat = self.seat_manager.seats.get(command.session_id)
                plays = command.is_granted or (
                    command.is_granted is None and seat is not None and seat.is_wanted
                )
                host.on_entitlement_decided(
                    now, command.session_id, bool(plays), command.reason, command.retry_after_ms
                )
            elif isinstance(command, RevokeSession):
                self.core.log.info("session revoked", session=command.session_id, why=command.reason)
                host.revoke_session(now, command.session_id, command.reason)
            elif command.remaining_ms is not None and self.on_lease_renewed is not None:
                # Renewed: the viewer's next manifest carries a box token signed anew; see docs/seats.md.
                self.on_lease_renewed(command.remaining_ms)
            self.core.schedule_step()
        due = self.seat_manager.next_deadline(now)
        if self._wake is not None:
            self._wake.cancel()
        if due is not None:
            self._wake = self.core.loop.call_at(max(due, now + 1.0) / 1000.0, self.schedule_step)

    def _send(self, command: SendLeaseRequest) -> None:
        def done(reply: LeaseResponse) -> None:
            self.seat_manager.on_response(self.core.now(), command.request_id, reply)
            self.schedule_step()

        self.client.send(command, done)

    def _commit(self) -> None:
        self._syncing = False
        if self._stopped:
            return
        try:
            number = self.log.commit()
            if self.log.is_snapshot_due:
                self.log.write_snapshot(encode_table(self.seat_manager.records()))
        except LogError as error:
            if self.seat_manager.is_log_writable:
                self.core.log.error("seats can't be written down", why=str(error))
            self.seat_manager.on_log_failed()
        else:
            self.seat_manager.on_log_synced(number)
        self.schedule_step()
