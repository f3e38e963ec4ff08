"""The I/O layer around the session manager that all protocols share: batches, timers, tickets and commands.

The dispatcher owns the session manager's clock: `loop.time()` in milliseconds. Events of one iteration
of the event loop go to the controller in one batch.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol

from fernweir.front.commands import (
    ChangeRung,
    CheckEntitlement,
    Command,
    EntitlementReleased,
    LogLine,
    ReleaseSession,
    ReplyKind,
    SendHealthCheck,
    SessionOver,
    SessionReply,
    SessionRequest,
    SetUp,
    SetUpResult,
    StartTimer,
    WatchEndpointList,
)
from fernweir.front.session_manager import SessionManager
from fernweir.interface import Result

if TYPE_CHECKING:
    from fernweir.http.client import Reply

Log = Any  # structlog's bound logger, whose methods depend on its configuration

# The conversion of a deadline to seconds and back may round it down. Without this delay the loop would wake
# up repeatedly with nothing due until the clock has advanced.
_WAKE_UP_DELAY_S = 1e-6


class InvalidServerReplyError(ValueError):
    """Raised when a server's response to a set-up has a valid status, but its content cannot be used."""


@dataclass(frozen=True, slots=True)
class ServerRequest:
    """The HTTP request to a server for a set-up."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


class SetUpCodec(Protocol):
    """Encodes set-up requests to servers and decodes their responses for one protocol."""

    def request(self, command: SetUp) -> ServerRequest:
        """Returns the request for a set-up, with its token."""

    def accept(self, command: SetUp, reply: Reply) -> object:
        """Returns the payload from which viewers' replies are made.

        Raises:
            InvalidServerReplyError: The response cannot be used.
        """

    def pack(self, payload: object) -> tuple[bytes, bytes]:
        """Returns a payload as bytes, and their digest; both are empty if there is no payload."""

    def unpack(self, class_index: int, top_rung: int, data: bytes) -> object:
        """Returns the payload that another front packed, for a viewer of that class.

        Raises:
            InvalidServerReplyError: The bytes cannot be used.
        """


class ServerTransport(Protocol):
    """Sends requests to servers."""

    def set_up(self, command: SetUp) -> None:
        """Begins an attempt, and reports its end to the session manager exactly once."""

    def change_rung(self, command: ChangeRung) -> None:
        """Sends a server the rung that a session must play."""

    def release(self, command: ReleaseSession) -> None:
        """Sends a server the release of a session that is no longer wanted."""

    def check_health(self, command: SendHealthCheck) -> None:
        """Begins a health check, and reports its end to the session manager exactly once."""


class EntitlementCheck(Protocol):
    """Decides whether a session may play."""

    def check(self, command: CheckEntitlement) -> None:
        """Begins a check, and reports the decision to the session manager by the deadline."""

    def on_session_released(self, command: EntitlementReleased) -> None:
        """Handles the end of a session that was checked."""

    def is_entitled(self, session_id: str) -> bool:
        """Whether a session is entitled now, even if its first token has expired."""


class ChannelOwnership(Protocol):
    """Maps sessions to the channels and fences under which this front controls them."""

    def fence(self, session_id: str) -> tuple[str, int] | None:
        """Returns channel and fence; None if a session ends with its front, or belongs to another front."""


class SessionLocator(Protocol):
    """Finds sessions that other fronts have and this front does not."""

    def request_reply(self, request: SessionRequest, on_reply: Callable[[SessionReply | None], None]) -> None:
        """Asks the other fronts for the reply to a request.

        Args:
            request: The request.
            on_reply: Called exactly once before the request's deadline: with the reply of the front that has
                the session, a rejection if that cannot be determined, or None if the session may begin here.
        """

    def query_session(
        self, session_id: str, operation: str, on_result: Callable[[bool | None], None]
    ) -> None:
        """Looks for a session at the other fronts, or ends it there.

        Args:
            session_id: The session.
            operation: `look` or `end`.
            on_result: Called exactly once with whether such a session plays elsewhere; None if that cannot be
                determined now.
        """


class Dispatcher:
    """Passes events to the session manager in batches, and executes its commands.

    Attributes:
        loop: The event loop.
        sessions: The session manager.
        log: Where faults and the controller's lines are logged.
        set_up_codecs: The codecs by the names of their protocols.
        server_transport: Sends requests to servers.
        entitlement_check: Decides whether sessions may play, if that is checked.
        channel_ownership: Maps sessions to channels and fences, if sessions can change fronts.
        session_locator: Finds sessions at other fronts, if there are any.
        on_session_over: Is called when a session that played has ended.
    """

    def __init__(self, sessions: SessionManager, *, batch_ms: float = 0.0, log: Log) -> None:
        """Creates a dispatcher in a running event loop.

        Args:
            sessions: The session manager.
            batch_ms: How long events are collected for a batch; with 0, for one iteration of the event loop.
            log: Where faults and the controller's lines are logged.
        """
        self.loop = asyncio.get_running_loop()
        self.sessions = sessions
        self.log = log
        self.set_up_codecs: dict[str, SetUpCodec] = {}
        self.server_transport: ServerTransport | None = None
        self.entitlement_check: EntitlementCheck | None = None
        self.channel_ownership: ChannelOwnership | None = None
        self.session_locator: SessionLocator | None = None
        self.on_session_over: Callable[[SessionOver], None] | None = None
        self._batch_s = batch_ms / 1000.0
        self._next_ticket_number = itertools.count(1)
        self._reply_callbacks: dict[int, Callable[[SessionReply], None]] = {}
        self._is_step_scheduled = False
        self._is_stopped = False
        self._wake_up: asyncio.TimerHandle | None = None
        self._wake_up_at = 0.0
        self._timers: set[asyncio.TimerHandle] = set()
        self._all_requests_answered: asyncio.Event = asyncio.Event()
        self._after_step: list[Callable[[], None]] = []
        self._handlers = self._make_handlers()

    def _make_handlers(self) -> dict[type[Command], Callable[[Any], None]]:
        """Returns the handlers by command type; a chain of isinstance calls is slower on the hot path."""
        return {
            SessionReply: self._deliver_reply,
            SetUp: self._set_up,
            ChangeRung: self._change_rung,
            ReleaseSession: self._release,
            SendHealthCheck: self._check_health,
            SessionOver: self._report_session_over,
            CheckEntitlement: self._check_entitlement,
            EntitlementReleased: self._release_entitlement,
            StartTimer: self._start_timer,
            LogLine: self._log_line,
            WatchEndpointList: self._watch_endpoint_list,
        }

    def now(self) -> float:
        """Returns the time of the session manager's clock in milliseconds."""
        return self.loop.time() * 1000.0

    # --- requests ---

    def next_ticket(self) -> int:
        """Returns a number for a new request."""
        return next(self._next_ticket_number)

    def submit(self, request: SessionRequest, on_reply: Callable[[SessionReply], None]) -> None:
        """Accepts a request; `on_reply` is called exactly once unless the request is withdrawn before."""
        self._reply_callbacks[request.ticket] = on_reply
        self.sessions.request_session(self.now(), request)
        self.schedule_step()

    def withdraw_request(self, ticket: int) -> None:
        """Handles that the client of a request disconnected: its callback is not called any more."""
        if self._reply_callbacks.pop(ticket, None) is not None:
            self.sessions.withdraw_request(self.now(), ticket)
            self.schedule_step()
            if not self._reply_callbacks:
                self._all_requests_answered.set()

    def on_client_half_closed(self, ticket: int) -> None:
        """Handles that a client closed its sending side; it may still read, and gets its reply."""
        if ticket in self._reply_callbacks:
            self.sessions.on_client_half_closed(self.now(), ticket)
            self.schedule_step()

    def on_reply_undelivered(self, reply: SessionReply) -> None:
        """Handles a reply that could not be written because its client disconnected."""
        if reply.kind is ReplyKind.PLAYS:
            self.sessions.on_reply_undelivered(self.now(), reply)
            self.schedule_step()

    # --- end ---

    async def drain(self, timeout_s: float) -> bool:
        """Rejects new sessions and waits until all requests are answered; returns False on a timeout."""
        self.sessions.stop_accepting()
        self.schedule_step()
        try:
            async with asyncio.timeout(timeout_s):
                while self._reply_callbacks:
                    self._all_requests_answered.clear()
                    await self._all_requests_answered.wait()
        except TimeoutError:
            return False
        return True

    def run_last_step(self) -> None:
        """Answers the requests since the last batch; called before an orderly `stop`."""
        self.sessions.stop_accepting()
        self._step()

    def stop(self) -> None:
        """Stops at once; requests that wait for a batch get no reply."""
        self._is_stopped = True
        for timer in [*self._timers, *([self._wake_up] if self._wake_up else [])]:
            timer.cancel()
        self._timers.clear()

    # --- batches ---

    def schedule_step(self) -> None:
        """Schedules a batch, unless one is scheduled already."""
        if self._is_step_scheduled or self._is_stopped:
            return
        self._is_step_scheduled = True
        if self._batch_s > 0.0:
            self.loop.call_later(self._batch_s, self._step)
        else:
            self.loop.call_soon(self._step)

    def after_step(self, callback: Callable[[], None]) -> None:
        """Calls back once the controller has handled all events so far."""
        self._after_step.append(callback)
        self.schedule_step()

    def _step(self) -> None:
        self._is_step_scheduled = False
        if self._is_stopped:
            return
        for command in self._run_batch():
            try:
                self._execute(command)
            except Exception as error:  # noqa: BLE001 - a failed command must not prevent other replies
                self._log_fault("command failed", error, command=type(command).__name__)
                self._on_command_failed(command, repr(error))
        callbacks, self._after_step = self._after_step, []
        for callback in callbacks:
            try:
                callback()
            except Exception as error:  # noqa: BLE001 - a failed callback must not stop the others
                self._log_fault("callback after a batch failed", error)
        self._schedule_wake_up()

    def _run_batch(self) -> list[Command]:
        try:
            return self.sessions.step(self.now())
        except Exception as error:  # noqa: BLE001 - requests of the batch are answered at their deadlines
            self._log_fault("batch failed", error)
            return []

    def _log_fault(self, event: str, error: Exception, **fields: str) -> None:
        self.log.error(event, **fields, why=repr(error))

    def _schedule_wake_up(self) -> None:
        deadline = self.sessions.next_deadline()
        if self._wake_up is not None and (deadline is None or deadline != self._wake_up_at):
            self._wake_up.cancel()
            self._wake_up = None
        if deadline is not None and self._wake_up is None:
            self._wake_up_at = deadline
            self._wake_up = self.loop.call_at(deadline / 1000.0 + _WAKE_UP_DELAY_S, self._on_wake_up)

    def _on_wake_up(self) -> None:
        self._wake_up = None
        self.schedule_step()

    # --- commands ---

    def _execute(self, command: Command) -> None:
        self._handlers[type(command)](command)

    def _deliver_reply(self, reply: SessionReply) -> None:
        on_reply = self._reply_callbacks.pop(reply.ticket, None)
        if not self._reply_callbacks:
            self._all_requests_answered.set()
        if on_reply is not None:
            on_reply(reply)
        else:  # withdrawn in the same iteration of the loop, after the session manager had replied
            self.on_reply_undelivered(reply)

    def _transport(self) -> ServerTransport:
        if self.server_transport is None:
            raise RuntimeError("dispatcher has no server transport")
        return self.server_transport

    def _set_up(self, command: SetUp) -> None:
        self._transport().set_up(command)

    def _change_rung(self, command: ChangeRung) -> None:
        self._transport().change_rung(command)

    def _release(self, command: ReleaseSession) -> None:
        self._transport().release(command)

    def _check_health(self, command: SendHealthCheck) -> None:
        self._transport().check_health(command)

    def _report_session_over(self, command: SessionOver) -> None:
        if self.on_session_over is not None:
            self.on_session_over(command)

    def _entitlements(self) -> EntitlementCheck:
        if self.entitlement_check is None:
            raise RuntimeError("dispatcher has no entitlement check")
        return self.entitlement_check

    def _check_entitlement(self, command: CheckEntitlement) -> None:
        self._entitlements().check(command)

    def _release_entitlement(self, command: EntitlementReleased) -> None:
        self._entitlements().on_session_released(command)

    def _start_timer(self, command: StartTimer) -> None:
        def on_fired() -> None:
            self._timers.discard(handle)
            self.sessions.on_timer(self.now(), command.token)
            self.schedule_step()

        handle = self.loop.call_later(command.delay_ms / 1000.0, on_fired)
        self._timers.add(handle)

    def _log_line(self, command: LogLine) -> None:
        fields = {"session": command.session_id, "box": command.server}
        self.log.info(command.text, **{name: value for name, value in fields.items() if value is not None})

    def _watch_endpoint_list(self, command: WatchEndpointList) -> None:
        """Does nothing: the endpoint list is watched for as long as the front runs."""

    def _on_command_failed(self, command: Command, reason: str) -> None:
        """Reports a failed command whose result the session manager awaits; an attempt may have run."""
        now = self.now()
        if isinstance(command, SetUp):
            outcome = SetUpResult(Result.ERROR, 0.0, {}, reason=reason)
            session_id = command.request.session_id
            self.sessions.on_attempt_finished(now, session_id, command.attempt, outcome)
        elif isinstance(command, SendHealthCheck):
            self.sessions.on_health_check_finished(now, command.server, Result.ERROR, 0.0, {})
        elif isinstance(command, CheckEntitlement):
            session_id = command.request.session_id
            self.sessions.on_entitlement_decided(now, session_id, plays=False, reason="nobody could be asked")
        elif isinstance(command, SessionReply):
            self.on_reply_undelivered(command)
        else:
            return
        self.schedule_step()
