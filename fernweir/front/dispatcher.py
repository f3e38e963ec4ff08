"""The shell around the host that all protocols share: batches, timers, tickets, commands to their doers."""

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


class InvalidServerReplyError(ValueError):
    """A box's answer to a set-up has the right status, but is none."""


@dataclass(frozen=True, slots=True)
class ServerRequest:
    """What a set-up looks like to a box."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


class SetUpCodec(Protocol):
    """What a protocol adds to the way to a box."""

    def request(self, command: SetUp) -> ServerRequest:
        """The set-up request for a box, its token included."""

    def accept(self, command: SetUp, reply: Reply) -> object:
        """What viewers will be answered from. BadAnswerError if the reply is no good."""

    def pack(self, payload: object) -> tuple[bytes, bytes]:
        """What viewers are answered from, as bytes, with their digest; empty if there is nothing."""

    def unpack(self, cls: int, top_rung: int, data: bytes) -> object:
        """What another front packed, for a viewer of that class. BadAnswerError if it is no good."""


class ServerTransport(Protocol):
    """Who carries out commands towards boxes."""

    def set_up(self, command: SetUp) -> None: ...
    def change_rung(self, command: ChangeRung) -> None: ...
    def release(self, command: ReleaseSession) -> None: ...
    def check_health(self, command: SendHealthCheck) -> None: ...


class EntitlementCheck(Protocol):
    """Who decides whether a session may play at all."""

    def check(self, command: CheckEntitlement) -> None: ...
    def on_session_released(self, command: EntitlementReleased) -> None: ...
    def is_entitled(self, jti: str) -> bool:
        """Whether a session's entitlement is good now, whatever its first token says."""


class ChannelOwnership(Protocol):
    """Under which channel and fence this front steers a session, where sessions can change their owner."""

    def fence(self, jti: str) -> tuple[str, int] | None:
        """None where a session ends with its front, or is another's by now."""


class SessionLocator(Protocol):
    """Who knows whether a session that this front does not hold is held at another."""

    def ask(self, ask: SessionRequest, then: Callable[[SessionReply | None], None]) -> None:
        """`then` is called exactly once, within the request's time: with the answer of the front that holds
        the session, or a refusal where nobody can tell, or None if it may begin here."""

    def tell(self, jti: str, what: str, then: Callable[[bool | None], None]) -> None:
        """`what` is `look` or `end`; `then` is told exactly once whether such a session plays elsewhere, or
        None where nobody can say just now."""


class Dispatcher:
    """Owns the host's clock: `loop.time()` in milliseconds. Events of one loop turn go in one batch."""

    def __init__(self, host: SessionManager, *, batch_ms: float = 0.0, log: Log) -> None:
        self.loop = asyncio.get_running_loop()
        self.sessions = host
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
        self._is_step_scheduled = self._is_stopped = False
        self._wake_up: asyncio.TimerHandle | None = None
        self._wake_up_at = 0.0
        self._timers: set[asyncio.TimerHandle] = set()
        self._idle: asyncio.Event = asyncio.Event()
        self._after_step: list[Callable[[], None]] = []

    def now(self) -> float:
        return self.loop.time() * 1000.0

    def next_ticket(self) -> int:
        return next(self._next_ticket_number)

    def submit(self, ask: SessionRequest, on_answer: Callable[[SessionReply], None]) -> None:
        """Takes a request; `on_answer` is called exactly once unless `withdraw` comes first."""
        self._reply_callbacks[ask.ticket] = on_answer
        self.sessions.request_session(self.now(), ask)
        self.schedule_step()

    def withdraw_request(self, ticket: int) -> None:
        if self._reply_callbacks.pop(ticket, None) is not None:
            self.sessions.withdraw_request(self.now(), ticket)
            self.schedule_step()
            if not self._reply_callbacks:
                self._idle.set()

    def on_client_half_closed(self, ticket: int) -> None:
        """The viewer of a request ended its side, though it may still read: it gets its answer, in time."""
        if ticket in self._reply_callbacks:
            self.sessions.on_client_half_closed(self.now(), ticket)
            self.schedule_step()

    def on_reply_undelivered(self, answer: SessionReply) -> None:
        """What was answered could not be written: its viewer left."""
        if answer.kind is ReplyKind.PLAYS:
            self.sessions.on_reply_undelivered(self.now(), answer)
            self.schedule_step()

    def schedule_step(self) -> None:
        """Something happened: a batch is due, once."""
        if self._is_step_scheduled or self._is_stopped:
            return
        self._is_step_scheduled = True
        if self._batch_s > 0.0:
            self.loop.call_later(self._batch_s, self._step)
        else:
            self.loop.call_soon(self._step)

    async def drain(self, within_s: float) -> bool:
        """Takes nothing new, and waits until all that was taken is answered; False if time ran out."""
        self.sessions.stop_accepting()
        self.schedule_step()
        try:
            async with asyncio.timeout(within_s):
                while self._reply_callbacks:
                    self._idle.clear()
                    await self._idle.wait()
        except TimeoutError:
            return False
        return True

    def run_last_step(self) -> None:
        """Before an orderly `stop`: what was asked since the last batch is answered."""
        self.sessions.stop_accepting()
        self._step()

    def stop(self) -> None:
        """At once; what waits for a batch gets no answer."""
        self._is_stopped = True
        for timer in [*self._timers, *([self._wake_up] if self._wake_up else [])]:
            timer.cancel()
        self._timers.clear()

    def _step(self) -> None:
        self._is_step_scheduled = False
        if self._is_stopped:
            return
        commands: list[Command] = []
        try:
            commands = self.sessions.step(self.now())
        except Exception as error:  # what was in the batch is answered when its time is over
            self.log.error("batch failed", why=repr(error))
        for command in commands:
            try:
                self._execute(command)
            except Exception as error:  # a fault in carrying one out must not cost others their answers
                self.log.error("command failed", command=type(command).__name__, why=repr(error))
                self._on_command_failed(command, repr(error))
        after, self._after_step = self._after_step, []
        for do in after:
            try:
                do()
            except Exception as error:
                self.log.error("what follows a batch failed", why=repr(error))
        self._schedule_wake_up()

    def after_step(self, do: Callable[[], None]) -> None:
        """Calls `do` once the module has been told of all that has happened so far."""
        self._after_step.append(do)
        self.schedule_step()

    def _schedule_wake_up(self) -> None:
        due = self.sessions.next_deadline()
        if self._wake_up is not None and (due is None or due != self._wake_up_at):
            self._wake_up.cancel()
            self._wake_up = None
        if due is not None and self._wake_up is None:
            self._wake_up_at = due
            # A microsecond late: the way to seconds and back may round to just before what is due, and
            # waking for nothing, again and again, would last until the clock has moved.
            self._wake_up = self.loop.call_at(due / 1000.0 + 1e-6, self._on_wake_up)

    def _on_wake_up(self) -> None:
        self._wake_up = None
        self.schedule_step()

    def _execute(self, command: Command) -> None:
        doer = self.server_transport
        if isinstance(command, SessionReply):
            on_answer = self._reply_callbacks.pop(command.ticket, None)
            if not self._reply_callbacks:
                self._idle.set()
            if on_answer is not None:
                on_answer(command)
            else:  # withdrawn in the same turn, after the host had answered
                self.on_reply_undelivered(command)
        elif isinstance(command, StartTimer):
            self._start_timer(command)
        elif isinstance(command, SessionOver):
            if self.on_session_over is not None:
                self.on_session_over(command)
        elif isinstance(command, CheckEntitlement | EntitlementReleased):
            if self.entitlement_check is None:
                raise RuntimeError("nobody admits")
            elif isinstance(command, CheckEntitlement):
                self.entitlement_check.check(command)
            else:
                self.entitlement_check.on_session_released(command)
        elif isinstance(command, LogLine):
            self.log.info(command.text, **_named(session=command.session_id, box=command.server))
        elif doer is None:
            if not isinstance(command, WatchEndpointList):
                raise RuntimeError("no way to boxes")
        elif isinstance(command, SetUp):
            doer.set_up(command)
        elif isinstance(command, ChangeRung):
            doer.change_rung(command)
        elif isinstance(command, ReleaseSession):
            doer.release(command)
        elif isinstance(command, SendHealthCheck):
            doer.check_health(command)

    def _on_command_failed(self, command: Command, why: str) -> None:
        """The end of what could not be carried out: the host waits for one. It may have run."""
        now = self.now()
        if isinstance(command, SetUp):
            end = SetUpResult(Result.ERROR, 0.0, {}, reason=why)
            self.sessions.on_attempt_finished(now, command.request.session_id, command.attempt, end)
        elif isinstance(command, SendHealthCheck):
            self.sessions.on_health_check_finished(now, command.server, Result.ERROR, 0.0, {})
        elif isinstance(command, CheckEntitlement):
            self.sessions.on_entitlement_decided(
                now, command.request.session_id, plays=False, reason="nobody could be asked"
            )
        elif isinstance(command, SessionReply):
            self.on_reply_undelivered(command)
        else:
            return
        self.schedule_step()

    def _start_timer(self, command: StartTimer) -> None:
        def fire() -> None:
            self._timers.discard(handle)
            self.sessions.on_timer(self.now(), command.token)
            self.schedule_step()

        handle = self.loop.call_later(command.delay_ms / 1000.0, fire)
        self._timers.add(handle)


def _named(**fields: object) -> dict[str, object]:
    return {name: value for name, value in fields.items() if value is not None}
