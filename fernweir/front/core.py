"""The shell around the host that all protocols share: batches, timers, tickets, commands to their doers."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol

from fernweir.front.commands import (
    Admit,
    Answer,
    Arm,
    Ask,
    ChangeRung,
    Command,
    Follow,
    Kind,
    Left,
    Over,
    Release,
    Say,
    SendProbe,
    SetUp,
    SetUpResult,
)
from fernweir.front.host import Host
from fernweir.interface import Result

if TYPE_CHECKING:
    from fernweir.http.client import Reply

Log = Any  # structlog's bound logger, whose methods depend on its configuration


class BadAnswerError(ValueError):
    """A box's answer to a set-up has the right status, but is none."""


@dataclass(frozen=True, slots=True)
class BoxRequest:
    """What a set-up looks like to a box."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


class Carrier(Protocol):
    """What a protocol adds to the way to a box."""

    def request(self, command: SetUp) -> BoxRequest:
        """The set-up request for a box, its token included."""

    def accept(self, command: SetUp, reply: Reply) -> object:
        """What viewers will be answered from. BadAnswerError if the reply is no good."""

    def pack(self, payload: object) -> tuple[bytes, bytes]:
        """What viewers are answered from, as bytes, with their digest; empty if there is nothing."""

    def unpack(self, cls: int, top_rung: int, data: bytes) -> object:
        """What another front packed, for a viewer of that class. BadAnswerError if it is no good."""


class Doer(Protocol):
    """Who carries out commands towards boxes."""

    def set_up(self, command: SetUp) -> None: ...
    def change_rung(self, command: ChangeRung) -> None: ...
    def release(self, command: Release) -> None: ...
    def probe(self, command: SendProbe) -> None: ...


class Keeper(Protocol):
    """Who decides whether a session may play at all."""

    def admit(self, command: Admit) -> None: ...
    def left(self, command: Left) -> None: ...
    def covers(self, jti: str) -> bool:
        """Whether a session's entitlement is good now, whatever its first token says."""


class Owner(Protocol):
    """Under which channel and fence this front steers a session, where sessions can change their owner."""

    def fence(self, jti: str) -> tuple[str, int] | None:
        """None where a session ends with its front, or is another's by now."""


class Finder(Protocol):
    """Who knows whether a session that this front does not hold is held at another."""

    def ask(self, ask: Ask, then: Callable[[Answer | None], None]) -> None:
        """`then` is called exactly once, within the request's time: with the answer of the front that holds
        the session, or a refusal where nobody can tell, or None if it may begin here."""

    def tell(self, jti: str, what: str, then: Callable[[bool | None], None]) -> None:
        """`what` is `look` or `end`; `then` is told exactly once whether such a session plays elsewhere, or
        None where nobody can say just now."""


class Core:
    """Owns the host's clock: `loop.time()` in milliseconds. Events of one loop turn go in one batch."""

    def __init__(self, host: Host, *, batch_ms: float = 0.0, log: Log) -> None:
        self.loop = asyncio.get_running_loop()
        self.host = host
        self.log = log
        self.carriers: dict[str, Carrier] = {}
        self.doer: Doer | None = None
        self.keeper: Keeper | None = None
        self.owner: Owner | None = None
        self.finder: Finder | None = None
        self.on_over: Callable[[Over], None] | None = None
        self._batch_s = batch_ms / 1000.0
        self._numbers = itertools.count(1)
        self._answers: dict[int, Callable[[Answer], None]] = {}
        self._kicked = self._stopped = False
        self._wake: asyncio.TimerHandle | None = None
        self._wake_at = 0.0
        self._timers: set[asyncio.TimerHandle] = set()
        self._idle: asyncio.Event = asyncio.Event()
        self._after: list[Callable[[], None]] = []

    def now(self) -> float:
        return self.loop.time() * 1000.0

    def ticket(self) -> int:
        return next(self._numbers)

    def ask(self, ask: Ask, on_answer: Callable[[Answer], None]) -> None:
        """Takes a request; `on_answer` is called exactly once unless `withdraw` comes first."""
        self._answers[ask.ticket] = on_answer
        self.host.ask(self.now(), ask)
        self.kick()

    def withdraw(self, ticket: int) -> None:
        if self._answers.pop(ticket, None) is not None:
            self.host.withdraw(self.now(), ticket)
            self.kick()
            if not self._answers:
                self._idle.set()

    def leave(self, ticket: int) -> None:
        """The viewer of a request ended its side, though it may still read: it gets its answer, in time."""
        if ticket in self._answers:
            self.host.leave(self.now(), ticket)
            self.kick()

    def unheard(self, answer: Answer) -> None:
        """What was answered could not be written: its viewer left."""
        if answer.kind is Kind.PLAYS:
            self.host.unheard(self.now(), answer)
            self.kick()

    def kick(self) -> None:
        """Something happened: a batch is due, once."""
        if self._kicked or self._stopped:
            return
        self._kicked = True
        if self._batch_s > 0.0:
            self.loop.call_later(self._batch_s, self._step)
        else:
            self.loop.call_soon(self._step)

    async def drained(self, within_s: float) -> bool:
        """Takes nothing new, and waits until all that was taken is answered; False if time ran out."""
        self.host.close()
        self.kick()
        try:
            async with asyncio.timeout(within_s):
                while self._answers:
                    self._idle.clear()
                    await self._idle.wait()
        except TimeoutError:
            return False
        return True

    def last_step(self) -> None:
        """Before an orderly `stop`: what was asked since the last batch is answered."""
        self.host.close()
        self._step()

    def stop(self) -> None:
        """At once; what waits for a batch gets no answer."""
        self._stopped = True
        for timer in [*self._timers, *([self._wake] if self._wake else [])]:
            timer.cancel()
        self._timers.clear()

    def _step(self) -> None:
        self._kicked = False
        if self._stopped:
            return
        commands: list[Command] = []
        try:
            commands = self.host.step(self.now())
        except Exception as error:  # what was in the batch is answered when its time is over
            self.log.error("batch failed", why=repr(error))
        for command in commands:
            try:
                self._do(command)
            except Exception as error:  # a fault in carrying one out must not cost others their answers
                self.log.error("command failed", command=type(command).__name__, why=repr(error))
                self._undone(command, repr(error))
        after, self._after = self._after, []
        for do in after:
            try:
                do()
            except Exception as error:
                self.log.error("what follows a batch failed", why=repr(error))
        self._set_wake()

    def after_step(self, do: Callable[[], None]) -> None:
        """Calls `do` once the module has been told of all that has happened so far."""
        self._after.append(do)
        self.kick()

    def _set_wake(self) -> None:
        due = self.host.next_due()
        if self._wake is not None and (due is None or due != self._wake_at):
            self._wake.cancel()
            self._wake = None
        if due is not None and self._wake is None:
            self._wake_at = due
            # A microsecond late: the way to seconds and back may round to just before what is due, and
            # waking for nothing, again and again, would last until the clock has moved.
            self._wake = self.loop.call_at(due / 1000.0 + 1e-6, self._woken)

    def _woken(self) -> None:
        self._wake = None
        self.kick()

    def _do(self, command: Command) -> None:
        doer = self.doer
        if isinstance(command, Answer):
            on_answer = self._answers.pop(command.ticket, None)
            if not self._answers:
                self._idle.set()
            if on_answer is not None:
                on_answer(command)
            else:  # withdrawn in the same turn, after the host had answered
                self.unheard(command)
        elif isinstance(command, Arm):
            self._arm(command)
        elif isinstance(command, Over):
            if self.on_over is not None:
                self.on_over(command)
        elif isinstance(command, Admit | Left):
            if self.keeper is None:
                raise RuntimeError("nobody admits")
            elif isinstance(command, Admit):
                self.keeper.admit(command)
            else:
                self.keeper.left(command)
        elif isinstance(command, Say):
            self.log.info(command.text, **_named(session=command.session, box=command.box))
        elif doer is None:
            if not isinstance(command, Follow):
                raise RuntimeError("no way to boxes")
        elif isinstance(command, SetUp):
            doer.set_up(command)
        elif isinstance(command, ChangeRung):
            doer.change_rung(command)
        elif isinstance(command, Release):
            doer.release(command)
        elif isinstance(command, SendProbe):
            doer.probe(command)

    def _undone(self, command: Command, why: str) -> None:
        """The end of what could not be carried out: the host waits for one. It may have run."""
        now = self.now()
        if isinstance(command, SetUp):
            end = SetUpResult(Result.ERROR, 0.0, {}, why=why)
            self.host.set_up_done(now, command.session.jti, command.attempt, end)
        elif isinstance(command, SendProbe):
            self.host.probe_done(now, command.server, Result.ERROR, 0.0, {})
        elif isinstance(command, Admit):
            self.host.admitted(now, command.session.jti, plays=False, why="nobody could be asked")
        elif isinstance(command, Answer):
            self.unheard(command)
        else:
            return
        self.kick()

    def _arm(self, command: Arm) -> None:
        def fire() -> None:
            self._timers.discard(handle)
            self.host.timer_fired(self.now(), command.token)
            self.kick()

        handle = self.loop.call_later(command.after_ms / 1000.0, fire)
        self._timers.add(handle)


def _named(**fields: object) -> dict[str, object]:
    return {name: value for name, value in fields.items() if value is not None}
