"""What the parts of a session manager share: its settings, its time, and what a batch collects."""

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
        abandoned: Numbers of the sessions that nobody has waited for since the last batch, in order.
        commands: Commands since the last batch, for the shells.
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
        """Notes that nobody waits for a session any more, so that the controller forgets it first."""
        self.abandoned[record.number] = None

    def take_events(self) -> list[Event]:
        """Returns the events of a batch in order, those of abandoned sessions before all others.

        Earlier events of the batch (the session's arrival, the end of an attempt or of a health check) would
        make the controller place a session that is no longer stored here, and keep it for ever.
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
