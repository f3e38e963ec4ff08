"""The state shared by the parts of a session manager: settings, time, and a batch's events and commands."""

from __future__ import annotations

from fernweir.front.commands import Command
from fernweir.front.session_interfaces import SessionLimits, SessionMetrics, SessionObserver
from fernweir.front.session_record import SessionRecord
from fernweir.interface import Arrival, ClientDisconnected, Event, Settings


class SessionContext:
    """Owns the time, the counters, and the events and commands since the last batch.

    Attributes:
        settings: The deployment.
        limits: Limits of the session manager.
        metrics: Counters of the session manager.
        checks_entitlement: Whether sessions begin only after an entitlement check.
        observer: Is notified of what happens to sessions.
        now: The time of the last event that may be journaled, in milliseconds.
        events: Events since the last batch, for the controller.
        abandoned: Numbers of the sessions that lost their last viewer since the last batch, in order.
        commands: Commands since the last batch, for the I/O layer.
    """

    __slots__ = (
        "abandoned",
        "checks_entitlement",
        "commands",
        "events",
        "limits",
        "metrics",
        "now",
        "observer",
        "settings",
    )

    def __init__(self, settings: Settings, limits: SessionLimits, *, checks_entitlement: bool) -> None:
        self.settings = settings
        self.limits = limits
        self.checks_entitlement = checks_entitlement
        self.metrics = SessionMetrics()
        self.observer: SessionObserver | None = None
        self.now = 0.0
        self.events: list[Event] = []
        self.abandoned: dict[int, None] = {}
        self.commands: list[Command] = []

    def abandon(self, record: SessionRecord) -> None:
        """Records that no viewer waits for a session; the controller removes it before other events."""
        self.abandoned[record.number] = None

    def take_events(self) -> list[Event]:
        """Returns the events of a batch in order, those of abandoned sessions before all others.

        Earlier events of the batch (the session's arrival, the end of an attempt or of a health check) would
        make the controller place a session that is no longer stored here, and never remove it.
        """
        events, self.events = self.events, []
        abandoned, self.abandoned = self.abandoned, {}
        if not abandoned:
            return events
        remaining = [
            event
            for event in events
            if not (isinstance(event, Arrival) and event.viewer.session in abandoned)
        ]
        return [*map(ClientDisconnected, abandoned), *remaining]

    def take_commands(self) -> list[Command]:
        """Returns the commands since the last call, in order."""
        commands, self.commands = self.commands, []
        return commands
