"""The module, saying why: its choices are its own, the words are found beside them, before they change it.

Nothing here decides. For each set-up the holders that stand before the chosen one in the shared order are
named with what kept them out, by the same questions that the module asked.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from fernweir.controller import Controller, Server, Session
from fernweir.interface import SERVER_STATE_LABELS, ServerState

_KEPT = 65_536


@dataclass(frozen=True, slots=True)
class Reason:
    """`why` in words; `passed` are the boxes before it in order, each with what kept it out."""

    why: str
    passed: tuple[tuple[int, str], ...] = ()
    link: float = 0.0
    uplink: float = 0.0


class ExplainingController(Controller):
    """A controller that remembers the reason of its last decision on each session until it is taken."""

    def __init__(self, settings: object, seed: int) -> None:
        super().__init__(settings, seed)  # type: ignore[arg-type]
        self.reasons: dict[int, Reason] = {}

    def take_reason(self, session: int) -> Reason:
        return self.reasons.pop(session, _NONE)

    def _send_attempt(self, session: Session, server: Server, rung: int) -> None:
        self._remember(session, self._why_here(session, server, rung))
        super()._send_attempt(session, server, rung)

    def _reject_or_fail(self, session: Session) -> None:
        self._remember(session, self._why_nowhere(session))
        super()._reject_or_fail(session)

    def _remember(self, session: Session, reason: Reason) -> None:
        self.reasons[session.viewer.session] = reason
        if len(self.reasons) > _KEPT:
            del self.reasons[next(iter(self.reasons))]

    def _why_here(self, session: Session, server: Server, rung: int) -> Reason:
        holders = self._ranked_candidates(session)
        passed = []
        for holder in holders:
            if holder is server:
                break
            passed.append((holder.server_id, self._kept_out(session, holder)))
        first = self._fits(server, session, session.top_rung)
        place = "first" if not passed else f"{len(passed) + 1}th in order, first"
        why = f"{place} under the mark" if first else "roomiest, none under the mark"
        if session.attempts:
            why += f", attempt {session.attempts + 1}"
        if rung < session.top_rung:
            why += f", at rung {rung} of {session.top_rung}"
        return Reason(why, tuple(passed), *_loads(server, self.now))

    def _why_nowhere(self, session: Session) -> Reason:
        kind, holders = session.session_class, self._ranked_candidates(session)
        if session.may_have_run and kind.idempotency.value != "repeatable":
            return Reason("its set-up may have run, and must not run twice")
        if kind.seats and self.safety_rules.count_seats(session) >= kind.seats:
            return Reason(f"all {kind.seats} seats of class {kind.name} are taken here")
        if session.reply_deadline <= self.now:
            return Reason("its time is over")
        cap = self.settings.max_attempts
        if cap is not None and session.attempts >= cap:
            return Reason(f"{session.attempts} attempts were made, no more are allowed")
        if session.attempts and not self.safety_rules.is_within_retry_budget(self.now):
            return Reason("the budget of further attempts is used up")
        if not holders:
            return Reason("no listed box holds the lesson")
        passed = tuple((one.server_id, self._kept_out(session, one)) for one in holders)
        counts = Counter(why for _, why in passed)
        words = ", ".join(f"{count} {why}" for why, count in sorted(counts.items()))
        return Reason(f"none of {len(holders)} holders: {words}", passed)

    def _kept_out(self, session: Session, server: Server) -> str:
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


_NONE = Reason("")
