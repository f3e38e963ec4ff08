"""Compares the leases that the entitlement server lists for a front with its seats; free of I/O and clock.

The two differ while requests are in flight, so only leases that did not change are compared, and only what
two reports in a row say is acted upon. No action is final: a seat that the server does not list is renewed
early, and that response decides; a lease that the front does not know is released by its key. A report that
contradicts itself, or is older than what the server has told before, has no effect.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Hashable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple, TypeVar

from fernweir.seats.seat import Seat, SeatState
from fernweir.seats.seat_manager import SeatManager


@dataclass(frozen=True, slots=True)
class ListedLease:
    """One lease of this front, as the server lists it.

    Attributes:
        lease_id: The server's name of the lease.
        session_id: The session.
        generation: The number of the acquisition, from its idempotency key.
        fence: The fencing number of the lease.
    """

    lease_id: str
    session_id: str
    generation: int
    fence: int


@dataclass(frozen=True, slots=True)
class UsageReport:
    """What the server says of the leases of this front.

    Attributes:
        fence: The newest fencing number that the server has given out.
        total: The number of leases of this front.
        leases: These leases.
        used: The used seats of all fronts, by tenant, title and class.
    """

    fence: int
    total: int
    leases: tuple[ListedLease, ...]
    used: Mapping[tuple[str, str, str], int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ReconciliationResult:
    """What a report led to.

    Attributes:
        contradiction: Why the report was rejected, or an empty string.
        renewed_sessions: Sessions whose leases the server did not list, and which are renewed early.
        released_leases: IDs of leases that the front did not know, and which are released.
        unconfirmed_count: Differences that are acted upon if the next report shows them too.
    """

    contradiction: str = ""
    renewed_sessions: tuple[str, ...] = ()
    released_leases: tuple[str, ...] = ()
    unconfirmed_count: int = 0


@dataclass(frozen=True, slots=True)
class ReconciliationConfig:
    """When differences are acted upon.

    Attributes:
        max_actions: Actions of each kind for one report, so that a large difference does not cause a burst.
        required_reports: Reports in a row that must show a difference.
    """

    max_actions: int = 64
    required_reports: int = 2


class _MissingLease(NamedTuple):
    """An active seat whose lease the server does not list."""

    session_id: str
    lease_id: str


class _UnknownLease(NamedTuple):
    """A listed lease that the front does not know."""

    session_id: str
    generation: int
    lease_id: str


_Difference = TypeVar("_Difference", bound=Hashable)


class Reconciler:
    """Applies the server's reports to a seat manager."""

    def __init__(self, seat_manager: SeatManager, config: ReconciliationConfig | None = None) -> None:
        self.seat_manager = seat_manager
        self.config = config or ReconciliationConfig()
        self.contradiction_count = 0
        self._requested_at_ms: float | None = None
        self._missing: Counter[_MissingLease] = Counter()
        self._unknown: Counter[_UnknownLease] = Counter()

    def on_report_requested(self, now: float) -> None:
        """Records when the server is asked for its report; `now` is in milliseconds."""
        self._requested_at_ms = now

    def on_report(self, now: float, report: UsageReport) -> ReconciliationResult:
        """Compares a report and acts on confirmed differences.

        Args:
            now: Monotonic time in milliseconds.
            report: The server's report.

        Raises:
            ValueError: No report was requested.
        """
        if self._requested_at_ms is None:
            raise ValueError("a report that was not asked for")
        requested_at_ms = self._requested_at_ms
        self._requested_at_ms = None
        contradiction = _contradiction_in(report) or self._contradiction_to_seats(requested_at_ms, report)
        if contradiction:
            self.contradiction_count += 1
            # What earlier reports said is in doubt too.
            self._unknown.clear()
            self._missing.clear()
            return ReconciliationResult(contradiction)
        missing = self._confirm(self._missing, self._find_missing(requested_at_ms, report))
        for seat in missing:
            self.seat_manager.renew_early(now, seat.session_id)
        unknown = self._confirm(self._unknown, self._find_unknown(requested_at_ms, report))
        for lease in unknown:
            self.seat_manager.release_unknown_lease(now, lease.session_id, lease.generation)
        return ReconciliationResult(
            renewed_sessions=tuple(seat.session_id for seat in missing),
            released_leases=tuple(lease.lease_id for lease in unknown),
            unconfirmed_count=len(self._missing) + len(self._unknown),
        )

    def _contradiction_to_seats(self, requested_at_ms: float, report: UsageReport) -> str:
        """Says how the report contradicts what the server told before, or returns an empty string."""
        lease_ids = {lease.session_id: lease.lease_id for lease in report.leases}
        own_seats = [seat for seat in self.seat_manager.seats.values() if _is_listed(seat, lease_ids)]
        unchanged_fences = (seat.record.fence for seat in own_seats if _is_unchanged(seat, requested_at_ms))
        known_fence = max(unchanged_fences, default=0)
        if known_fence > report.fence:
            return f"it told us fence {known_fence} before, and now {report.fence}"
        own_counts = Counter(
            (seat.record.tenant, seat.record.title, seat.record.class_name) for seat in own_seats
        )
        for place, count in own_counts.items():
            if place in report.used and report.used[place] < count:
                where = "/".join(place)
                return f"it says {report.used[place]} used in {where} and lists {count} of ours"
        return ""

    def _find_missing(self, requested_at_ms: float, report: UsageReport) -> list[_MissingLease]:
        listed_ids = {lease.lease_id for lease in report.leases}
        return [
            _MissingLease(seat.record.session_id, seat.record.lease_id)
            for seat in self.seat_manager.seats.values()
            if _is_unchanged(seat, requested_at_ms) and seat.record.lease_id not in listed_ids
        ]

    def _find_unknown(self, requested_at_ms: float, report: UsageReport) -> list[_UnknownLease]:
        unknown: list[_UnknownLease] = []
        for lease in report.leases:
            seat = self.seat_manager.seats.get(lease.session_id)
            if seat is not None and _may_own(seat, lease, requested_at_ms):
                continue
            if self.seat_manager.is_releasing_unknown_lease(lease.session_id, lease.generation):
                continue
            unknown.append(_UnknownLease(lease.session_id, lease.generation, lease.lease_id))
        return unknown

    def _confirm(self, sightings: Counter[_Difference], found: list[_Difference]) -> list[_Difference]:
        """Counts the reports in a row that show a difference; returns those to act upon now."""
        for resolved in set(sightings) - set(found):
            del sightings[resolved]
        confirmed: list[_Difference] = []
        for difference in found:
            sightings[difference] += 1
            is_confirmed = sightings[difference] >= self.config.required_reports
            if is_confirmed and len(confirmed) < self.config.max_actions:
                del sightings[difference]
                confirmed.append(difference)
        return confirmed


def _contradiction_in(report: UsageReport) -> str:
    """Says how a report contradicts itself, or returns an empty string."""
    if report.total != len(report.leases):
        return f"it says {report.total} leases and lists {len(report.leases)}"
    if len({lease.lease_id for lease in report.leases}) != len(report.leases):
        return "it lists a lease twice"
    newest_fence = max((lease.fence for lease in report.leases), default=0)
    if newest_fence > report.fence:
        return f"a lease's fence is {newest_fence}, its newest is {report.fence}"
    return ""


def _is_listed(seat: Seat, lease_ids: Mapping[str, str]) -> bool:
    """Whether a report lists a seat's lease; `lease_ids` are by session ID."""
    return bool(seat.record.lease_id) and lease_ids.get(seat.record.session_id) == seat.record.lease_id


def _is_unchanged(seat: Seat, since_ms: float) -> bool:
    """Whether an active seat's last response came before `since_ms`, and nothing was requested after it."""
    responded_at_ms = seat.latest_expiry_ms - seat.ttl_ms
    return seat.state is SeatState.ACTIVE and seat.request_id is None and responded_at_ms < since_ms


def _may_own(seat: Seat, lease: ListedLease, requested_at_ms: float) -> bool:
    """Whether a listed lease is the seat's, or became it while the report was made."""
    is_same_acquisition = seat.record.generation == lease.generation
    return is_same_acquisition or seat.request_id is not None or seat.sent_at_ms >= requested_at_ms
