"""The limits that every attempt is checked against: attempts, the retry budget, seats and slow starts."""

from __future__ import annotations

from collections import Counter, deque
from hashlib import blake2b
from math import log

from fernweir.controller_state import Server, Session
from fernweir.interface import Idempotency, ServerState, Settings

ARRIVAL_WINDOW_MS = 10_000.0  # for counting arrivals if no retry budget sets a window
THUNDERING_HERD_FACTOR = 4.0  # expected peak of a warming server's arrivals over its equal share


def exponential_draw(key: int, server_id: int) -> float:
    """Returns a positive exponential variate of mean 1, derived by a hash: equal on all fronts."""
    digest = blake2b(b"%d %d" % (key, server_id), digest_size=8).digest()
    return -log((int.from_bytes(digest, "big") + 0.5) / 2.0**64)


class SafetyRules:
    """The limits that every attempt is checked against, again immediately before it is sent."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.seed = settings, seed
        budget = settings.retry_budget
        self.arrival_window_ms = budget.window_ms if budget else ARRIVAL_WINDOW_MS
        self.ready_servers = 1
        self.seats_in_use: Counter[tuple[int, int]] = Counter()  # by title and class index
        self.arrivals: deque[float] = deque()
        self.retries: deque[float] = deque()

    def is_eligible(self, server: Server, session: Session, now: float) -> bool:
        """Whether a session may be placed on a server."""
        return server.state is ServerState.READY and self.slow_start_admits(server, session, now)

    def may_attempt(self, session: Session, now: float) -> bool:
        """Whether a session may be attempted now: one attempt at a time, within limits, retried if safe."""
        limit, session_class = self.settings.max_attempts, session.session_class
        if session.is_in_flight or session.is_playing or (limit is not None and session.attempts >= limit):
            return False
        if session.may_have_run and session_class.idempotency is not Idempotency.IDEMPOTENT:
            return False
        if session_class.seats and self.count_seats(session) >= session_class.seats:
            return False
        return session.attempts == 0 or self.is_within_retry_budget(now)

    def is_within_retry_budget(self, now: float) -> bool:
        """Whether the retry budget, if one is set, permits another retry."""
        budget = self.settings.retry_budget
        if budget is None:
            return True
        while self.retries and self.retries[0] < now - budget.window_ms:
            self.retries.popleft()
        allowed = budget.min_retries + budget.retry_ratio * self.count_recent_arrivals(now)
        return len(self.retries) + 1 <= allowed

    def count_recent_arrivals(self, now: float) -> int:
        """Returns the number of requests that arrived at this front within the arrival window."""
        while self.arrivals and self.arrivals[0] <= now - self.arrival_window_ms:
            self.arrivals.popleft()
        return len(self.arrivals)

    def slow_start_factor(self, server: Server, now: float) -> float:
        """Returns the minimum fraction of its capacity that a warming server has reached, at most 1."""
        slow_start, age_ms = self.settings.slow_start, now - server.warming_since
        if slow_start is None or age_ms >= slow_start.window_ms:
            return 1.0
        initial = slow_start.initial_factor
        return initial + (1.0 - initial) * max(age_ms, 0.0) / slow_start.window_ms

    def slow_start_admits(self, server: Server, session: Session, now: float) -> bool:
        """Whether a warming server admits this session, decided by a pseudorandom draw seeded per front.

        The draw limits the attempts of all fronts, estimated as own arrivals times the number of fronts, to
        the server's rate, which no single front exceeds either. A server presumed dead is limited before its
        restart is listed. A front with more than its equal share of arrivals admits too few sessions.
        """
        slow_start, factor = self.settings.slow_start, self.slow_start_factor(server, now)
        if slow_start is None or (factor >= 1.0 and not server.is_presumed_dead):
            return True
        factor = slow_start.initial_factor if server.is_presumed_dead else factor
        server_rate = server.stream_slots * factor / slow_start.window_ms
        if (now - server.last_attempt_at) * server_rate < 1.0:
            return False
        fleet_rate = (
            self.settings.front_count * (self.count_recent_arrivals(now) + 1) / self.arrival_window_ms
        )
        share = min(THUNDERING_HERD_FACTOR / self.ready_servers, 1.0)
        draw = exponential_draw(session.viewer.session ^ self.seed, server.server_id)
        return draw * fleet_rate * share < server_rate

    def record_attempt(self, session: Session, server: Server, now: float) -> None:
        """Counts an attempt against the retry budget and the server's slow start."""
        if session.attempts > 0:
            self.retries.append(now)
        server.last_attempt_at = now

    def count_seats(self, session: Session) -> int:
        """Returns the seats in use for the session's title and class at this front."""
        return self.seats_in_use[session.viewer.title, session.viewer.class_index]

    def add_seats(self, session: Session, count: int) -> None:
        """Reserves (1) or releases (-1) a seat for the session's title and class."""
        self.seats_in_use[session.viewer.title, session.viewer.class_index] += count
