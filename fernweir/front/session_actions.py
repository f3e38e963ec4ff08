"""Translates the actions of the controller into commands and changes of sessions."""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Any

from fernweir.front.commands import LogLine, SendHealthCheck, StartTimer, WatchEndpointList
from fernweir.front.session_attempts import SessionAttempts
from fernweir.front.session_context import SessionContext
from fernweir.front.session_endings import SessionEndings
from fernweir.front.session_journal import SessionJournal
from fernweir.front.session_replies import SessionReplies
from fernweir.front.session_table import SessionTable
from fernweir.interface import (
    Action,
    CheckHealth,
    Fail,
    Log,
    Migrate,
    Place,
    Reject,
    Result,
    SetRung,
    SetTimer,
    Subscribe,
)
from fernweir.journal.events import EventKind

_SERVER_IN_LOG = re.compile(r"server (\d+)")


class ControllerActions:
    """Carries out the actions of the controller; those for sessions that have ended are ignored."""

    def __init__(  # noqa: PLR0913 - the parts of one session manager, wired once
        self,
        context: SessionContext,
        table: SessionTable,
        journal: SessionJournal,
        replies: SessionReplies,
        endings: SessionEndings,
        attempts: SessionAttempts,
    ) -> None:
        self._context = context
        self._table = table
        self._journal = journal
        self._replies = replies
        self._endings = endings
        self._attempts = attempts
        # A table by type, because actions are on the hot path and a chain of isinstance calls is slower.
        self._handlers: dict[type[Action], Callable[[Any], None]] = {
            Place: self._place,
            SetRung: self._set_rung,
            Migrate: self._migrate,
            Reject: self._reject,
            Fail: self._reject,
            SetTimer: self._start_timer,
            CheckHealth: self._check_health,
            Subscribe: self._watch_endpoint_list,
            Log: self._log,
        }

    def apply(self, actions: list[Action]) -> None:
        """Carries out the actions of a batch in order."""
        for action in actions:
            self._handlers[type(action)](action)

    def _place(self, action: Place) -> None:
        record = self._table.by_number.get(action.session)
        if record is not None:
            self._attempts.start_attempt(record, action)

    def _set_rung(self, action: SetRung) -> None:
        record = self._table.by_number.get(action.session)
        if record is not None:
            self._attempts.set_rung(record, action.rung)

    def _migrate(self, action: Migrate) -> None:
        record = self._table.by_number.get(action.session)
        if record is None:
            return
        context = self._context
        self._journal.record_session(EventKind.MOVED, record)
        if context.observer is not None:
            context.observer.on_session_moved(context.now, record)
        self._endings.release_at_server(record, "moved")
        self._endings.end_session(record, Result.CANCELLED, "moved", is_moved=True)

    def _reject(self, action: Reject | Fail) -> None:
        record = self._table.by_number.get(action.session)
        if record is not None:
            self._replies.answer_decision(record, action)
            self._endings.remove_session(record, "refused" if isinstance(action, Reject) else "failed")

    def _start_timer(self, action: SetTimer) -> None:
        self._context.commands.append(StartTimer(action.token, action.after_ms))

    def _check_health(self, action: CheckHealth) -> None:
        self._context.commands.append(SendHealthCheck(action.server))

    def _watch_endpoint_list(self, action: Subscribe) -> None:
        self._context.commands.append(WatchEndpointList(action.active))

    def _log(self, action: Log) -> None:
        found = _SERVER_IN_LOG.search(action.text)
        self._context.commands.append(LogLine(action.text, server=int(found[1]) if found else None))
