"""Whether a media server that holds sessions still lives, from what passes on its connections. No I/O.

Servers tell sessions' fronts how full they are every so often (the settings' `Tell`), so a longer silence
is looked into by a new connection, which costs a server nothing. A refused one proves that the process is
gone; ones that never come up, with nothing heard on any other, that the machine is. A connection that broke
proves nothing: it is replaced.

Whatever the settings say of notes and of connecting, that proof is there in time: an end that no server could
tell has to be told within 8 s of it (PROTOCOL, The rules on sockets).
"""

from __future__ import annotations

from enum import Enum

from fernweir.interface import Result, Settings

_FAILED_LOOKS = 2  # a single packet can be lost
_QUIET_ABSENT_MS = 3_000.0  # where the settings name no notes
_PROOF_WITHIN_MS = 7_500.0  # of the last word: the rest of the 8 s is the node's own, to tell the end
_LOOK_MS = 1_000.0  # what a look waits at most for its connection, however long a set-up's is waited for
EVERY_MS = 250.0  # how often `look` is asked


def broke(lives: bool) -> Result:
    """How a set-up ended whose connection broke, or brought what can't be read, after it was written.

    To the module a reset says that the process is gone and what comes back is cold. A server that takes a
    new connection lives: it may have run the set-up and failed to say so, which is an error.
    """
    return Result.ERROR if lives else Result.RESET


class Verdict(Enum):
    WELL = "well"
    LOOK = "look"  # open a new connection
    LOST = "lost"  # nothing gets through
    ENDED = "ended"  # its process is over


class Watch:
    """One server."""

    def __init__(self, settings: Settings, connect_ms: float, now: float) -> None:
        told = (
            settings.report_interval_ms + settings.report_delay_ms
            if settings.report_interval_ms > 0.0
            else _QUIET_ABSENT_MS
        )
        self.look_ms = min(connect_ms, _LOOK_MS)
        # One more than it takes: the first may wait for a connection that was begun just before.
        looks_ms = (_FAILED_LOOKS + 1) * (self.look_ms + EVERY_MS)
        self._quiet_ms = min(told + settings.batch_period_ms, _PROOF_WITHIN_MS - looks_ms)
        self._heard_at = self._failed_at = now
        self._failed = 0
        self._ended = False  # its process is: that needs no silence as proof
        self._missed = False  # a connection broke, and none has come up since
        self._looked_at = -EVERY_MS
        self.why = ""  # what the last look found

    def heard(self, now: float) -> None:
        """Bytes came, or a connection came up."""
        self._heard_at, self._failed, self._ended = now, 0, False

    def came_up(self, now: float) -> None:
        """A connection did: what was on its way on one that broke is said there."""
        self.heard(now)
        self._missed = False

    def missed(self) -> None:
        """A connection broke: what was on its way on it comes on the next that opens, and only there."""
        self._missed = True

    def refused(self) -> None:
        self._ended, self.why = True, "connection refused"

    def unreachable(self, begun: float, now: float) -> None:
        """A connection never came up. Of those that were on their way at once, or that something was heard
        beside, the same few packets may be to blame: they are no further look."""
        self.why, self._looked_at = "no connection comes up", -EVERY_MS
        if begun >= max(self._heard_at, self._failed_at):
            self._failed, self._failed_at = self._failed + 1, now

    def look(self, now: float, holds: bool, connected: bool, connecting: bool) -> Verdict:
        """What is to be done now. A look whose connection comes up and breaks is not made again at once: a
        server that breaks each would take all of the node's time."""
        if not holds:  # silence towards those without sessions there says nothing
            self.came_up(now)
            return Verdict.WELL
        speaks = connected and now - self._heard_at < self._quiet_ms
        if self._ended:
            verdict = Verdict.ENDED
        elif self._failed >= _FAILED_LOOKS and not speaks:
            verdict = Verdict.LOST
        elif connecting or (speaks and not self._missed) or now - self._looked_at < EVERY_MS:
            return Verdict.WELL
        else:
            self._looked_at = now
            return Verdict.LOOK
        self._failed, self._ended = 0, False  # told once
        return verdict
