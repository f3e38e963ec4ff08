"""Reconciles the leases that the entitlement server lists for a front with its seats; free of I/O and clock.

The two differ while requests are in flight, so only leases that did not change are compared, and only
differences in two consecutive reports lead to an action. No action is final: a seat that the server does not
list is renewed early, and the response to that decides; a lease without a seat is released by its key. A
report that contradicts itself, or that is older than an earlier response of the server, has no effect.
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
        lease_id: The server's ID of the lease.
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
    """The server's report of the leases of this front.

    Attributes:
        fence: The newest fencing number that the server has issued.
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
    """The effects of a report.

    Attributes:
        contradiction: Why the report was rejected, or an empty string.
        renewed_sessions: Sessions whose leases the server did not list, which are renewed early.
        released_leases: IDs of listed leases without a seat, which are released.
        unconfirmed_count: Differences that lead to an action only if later reports confirm them.
    """

    contradiction: str = ""
    renewed_sessions: tuple[str, ...] = ()
    released_leases: tuple[str, ...] = ()
    unconfirmed_count: int = 0


@dataclass(frozen=True, slots=True)
class ReconciliationConfig:
    """When differences lead to an action.

    Attributes:
        max_actions: Limit of actions of each kind per report, so that many differences cause no burst.
        required_reports: The number of consecutive reports that must show a difference.
    """

    max_actions: int = 64
    required_reports: int = 2


class _MissingLease(NamedTuple):
    """An active seat whose lease the server does not list."""

    session_id: str
    lease_id: str


class _UnknownLease(NamedTuple):
    """A listed lease for which the front has no seat."""

    session_id: str
    generation: int
    lease_id: str


_Difference = TypeVar("_Difference", bound=Hashable)


class Reconciler:
    """Compares the server's reports with the seats of a seat manager and resolves differences."""

    def __init__(self, seat_manager: SeatManager, config: ReconciliationConfig | None = None) -> None:
        self.seat_manager = seat_manager
        self.config = config or ReconciliationConfig()
        self.contradiction_count = 0
        self._requested_at_ms: float | None = None
        self._missing: Counter[_MissingLease] = Counter()
        self._unknown: Counter[_UnknownLease] = Counter()

    def on_report_requested(self, now: float) -> None:
        """Records that the server is asked for a report now; `now` is in milliseconds."""
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
            raise ValueError("received a usage report that was not requested")
        requested_at_ms = self._requested_at_ms
        self._requested_at_ms = None
        contradiction = _contradiction_in(report) or self._contradiction_to_seats(requested_at_ms, report)
        if contradiction:
            self.contradiction_count += 1
            # The differences found by earlier reports are not reliable either.
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
        """Returns how the report contradicts earlier responses of the server, or an empty string."""
        lease_ids = {lease.session_id: lease.lease_id for lease in report.leases}
        own_seats = [seat for seat in self.seat_manager.seats.values() if _is_listed(seat, lease_ids)]
        unchanged_fences = (seat.record.fence for seat in own_seats if _is_unchanged(seat, requested_at_ms))
        known_fence = max(unchanged_fences, default=0)
        if known_fence > report.fence:
            return f"an earlier response had fence {known_fence}, the report has {report.fence}"
        own_counts = Counter(
            (seat.record.tenant, seat.record.title, seat.record.class_name) for seat in own_seats
        )
        for place, count in own_counts.items():
            if place in report.used and report.used[place] < count:
                where = "/".join(place)
                return f"the report states {report.used[place]} used in {where} and lists {count}"
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
        """Counts the consecutive reports that show each difference; returns those to resolve now."""
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
    """Returns how a report contradicts itself, or an empty string."""
    if report.total != len(report.leases):
        return f"the report states {report.total} leases and lists {len(report.leases)}"
    if len({lease.lease_id for lease in report.leases}) != len(report.leases):
        return "the report lists a lease twice"
    newest_fence = max((lease.fence for lease in report.leases), default=0)
    if newest_fence > report.fence:
        return f"a lease has fence {newest_fence}, the report states {report.fence} as the newest"
    return ""


def _is_listed(seat: Seat, lease_ids: Mapping[str, str]) -> bool:
    """Whether a report lists a seat's lease; `lease_ids` are by session ID."""
    return bool(seat.record.lease_id) and lease_ids.get(seat.record.session_id) == seat.record.lease_id


def _is_unchanged(seat: Seat, since_ms: float) -> bool:
    """Whether an active seat's last response came before `since_ms` and no request has followed."""
    responded_at_ms = seat.latest_expiry_ms - seat.ttl_ms
    return seat.state is SeatState.ACTIVE and seat.request_id is None and responded_at_ms < since_ms


def _may_own(seat: Seat, lease: ListedLease, requested_at_ms: float) -> bool:
    """Whether a listed lease belongs to the seat, or may have become its lease after the request."""
    is_same_acquisition = seat.record.generation == lease.generation
    return is_same_acquisition or seat.request_id is not None or seat.sent_at_ms >= requested_at_ms
