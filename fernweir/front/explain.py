"""A controller that also records the reason of each decision, for the journal.

The decisions are those of `Controller`; nothing here changes them. Before an attempt is sent, the reason
names the holders that rank before the chosen server in the shared order, each with what excluded it, by the
same checks that the controller made. The texts are stored in journals.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from fernweir.controller import Controller
from fernweir.controller_state import Server, Session
from fernweir.interface import SERVER_STATE_LABELS, ServerState

_MAX_REASONS = 65_536


@dataclass(frozen=True, slots=True)
class Reason:
    """Why the controller made a decision.

    Attributes:
        text: The reason.
        passed_over: The servers that rank before the chosen one, each with what excluded it.
        link: The load of the chosen server's link, as a share of its capacity.
        uplink: The load of its rack's uplink, as a share of its capacity.
    """

    text: str
    passed_over: tuple[tuple[int, str], ...] = ()
    link: float = 0.0
    uplink: float = 0.0


class ExplainingController(Controller):
    """A controller that stores the reason of its last decision on each session until it is read.

    Attributes:
        reasons: The reasons by session number; the oldest is dropped when there are too many.
    """

    def __init__(self, settings: object, seed: int) -> None:
        super().__init__(settings, seed)  # type: ignore[arg-type]
        self.reasons: dict[int, Reason] = {}

    def take_reason(self, session: int) -> Reason:
        """Removes and returns the reason of the last decision on a session; an empty one if there is none."""
        return self.reasons.pop(session, _NO_REASON)

    def _send_attempt(self, session: Session, server: Server, rung: int) -> None:
        self._remember(session, self._placement_reason(session, server, rung))
        super()._send_attempt(session, server, rung)

    def _reject_or_fail(self, session: Session) -> None:
        self._remember(session, self._rejection_reason(session))
        super()._reject_or_fail(session)

    def _remember(self, session: Session, reason: Reason) -> None:
        self.reasons[session.viewer.session] = reason
        if len(self.reasons) > _MAX_REASONS:
            del self.reasons[next(iter(self.reasons))]

    def _placement_reason(self, session: Session, server: Server, rung: int) -> Reason:
        holders = self._ranked_candidates(session)
        passed_over = []
        for holder in holders:
            if holder is server:
                break
            passed_over.append((holder.server_id, self._exclusion(session, holder)))
        fits = self._fits(server, session, session.top_rung)
        rank = "first" if not passed_over else f"{len(passed_over) + 1}th in order, first"
        text = f"{rank} under the mark" if fits else "roomiest, none under the mark"
        if session.attempts:
            text += f", attempt {session.attempts + 1}"
        if rung < session.top_rung:
            text += f", at rung {rung} of {session.top_rung}"
        return Reason(text, tuple(passed_over), *_loads(server, self.now))

    def _rejection_reason(self, session: Session) -> Reason:
        session_class, holders = session.session_class, self._ranked_candidates(session)
        if session.may_have_run and session_class.idempotency.value != "repeatable":
            return Reason("its set-up may have run, and must not run twice")
        if session_class.seats and self.safety_rules.count_seats(session) >= session_class.seats:
            return Reason(f"all {session_class.seats} seats of class {session_class.name} are taken here")
        if session.reply_deadline <= self.now:
            return Reason("its time is over")
        max_attempts = self.settings.max_attempts
        if max_attempts is not None and session.attempts >= max_attempts:
            return Reason(f"{session.attempts} attempts were made, no more are allowed")
        if session.attempts and not self.safety_rules.is_within_retry_budget(self.now):
            return Reason("the budget of further attempts is used up")
        if not holders:
            return Reason("no listed box holds the lesson")
        passed_over = tuple((holder.server_id, self._exclusion(session, holder)) for holder in holders)
        counts = Counter(exclusion for _, exclusion in passed_over)
        summary = ", ".join(f"{count} {exclusion}" for exclusion, count in sorted(counts.items()))
        return Reason(f"none of {len(holders)} holders: {summary}", passed_over)

    def _exclusion(self, session: Session, server: Server) -> str:
        """Returns what excluded a server, in the order of the controller's own checks."""
        now = self.now
        if server.state is not ServerState.READY:
            return SERVER_STATE_LABELS[server.state]
        if server.ejected_until > now or (
            server.consecutive_failures and (server.is_checking_health or server.attempts_in_flight)
        ):
            return "suspect"
        if len(server.sessions) >= server.stream_slots:
            return "out of streams"
        if server.server_id in session.attempted_servers:
            return "tried before"
        if self._is_full(server):
            return "full"
        if self.safety_rules.slow_start_factor(server, now) < 1.0 or server.is_presumed_dead:
            return "cold"
        return "over the mark"


def _loads(server: Server, now: float) -> tuple[float, float]:
    return round(server.link.load(now), 3), round(server.uplink.load(now), 3)


_NO_REASON = Reason("")
