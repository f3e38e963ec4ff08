"""Compares what the entitlement server says a front holds with the book; free of I/O and clock.

The two go different ways while requests are out, so only what stood still is compared, and only what two
reports in a row say is acted upon. Acting is never final: a seat the server doesn't list is asked about by
an early renewal, whose answer decides; a lease the book doesn't know is given back by its key. A report
that contradicts itself, or is older than what the server has told us already, gives nothing back.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from fernweir.seats.seat_manager import Seat, SeatManager, SeatState


@dataclass(frozen=True, slots=True)
class ListedLease:
    """One lease of this front, as the server lists it; `key` is the idempotency key it was asked under."""

    lease_id: str
    session_id: str
    generation: int
    fence: int


@dataclass(frozen=True, slots=True)
class UsageReport:
    """`fence` is the newest the server had given out; `used` is by (tenant, lesson, class), of all fronts."""

    fence: int
    total: int
    leases: tuple[ListedLease, ...]
    used: Mapping[tuple[str, str, str], int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ReconciliationResult:
    """What a report led to. `contradiction` says why it was not believed, or nothing."""

    contradiction: str = ""
    renewed_sessions: tuple[str, ...] = ()  # sessions whose renewal was brought forward
    released_leases: tuple[str, ...] = ()  # leases given back
    unconfirmed_count: int = 0  # seen once, and acted on if the next report says so too


@dataclass(frozen=True, slots=True)
class ReconciliationConfig:
    """`most` are acted on a report, so that a large difference is worked off and does not come as a flood."""

    max_actions: int = 64
    required_reports: int = 2


class Reconciler:
    """`asked` when the server is asked for its use, `judge` when its report is here."""

    def __init__(self, book: SeatManager, rules: ReconciliationConfig | None = None) -> None:
        self.seat_manager, self.config = book, rules or ReconciliationConfig()
        self.contradiction_count = 0
        self._asked_at: float | None = None
        self._missing: Counter[tuple[str, str]] = Counter()
        self._strays: Counter[tuple[str, str]] = Counter()

    def on_report_requested(self, now: float) -> None:
        self._asked_at = now

    def on_report(self, now: float, report: UsageReport) -> ReconciliationResult:
        """Compares and acts. Only after `asked`; a report nobody asked for is a ValueError."""
        if self._asked_at is None:
            raise ValueError("a report that was not asked for")
        asked_at, self._asked_at = self._asked_at, None
        contradiction = self._contradiction(asked_at, report)
        if contradiction:
            self.contradiction_count += 1
            self._strays.clear()  # what it said before is in doubt too
            self._missing.clear()
            return ReconciliationResult(contradiction)
        missing = self._act(self._missing, self._not_listed(asked_at, report), self._recheck(now))
        strays = self._act(self._strays, self._not_known(asked_at, report), self._give_back(now))
        watched = len(self._missing) + len(self._strays)
        return ReconciliationResult(
            "", tuple(one for one, _ in missing), tuple(one for _, one in strays), watched
        )

    def _contradiction(self, asked_at: float, report: UsageReport) -> str:
        if report.total != len(report.leases):
            return f"it says {report.total} leases and lists {len(report.leases)}"
        if len({one.lease_id for one in report.leases}) != len(report.leases):
            return "it lists a lease twice"
        newest = max((one.fence for one in report.leases), default=0)
        if newest > report.fence:
            return f"a lease's fence is {newest}, its newest is {report.fence}"
        known = {one.session_id: one.lease_id for one in report.leases}
        seats = self.seat_manager.seats.values()
        ours = [
            seat
            for seat in seats
            if seat.record.lease_id and known.get(seat.record.session_id) == seat.record.lease_id
        ]
        told = max((seat.record.fence for seat in ours if _stood_still(seat, asked_at)), default=0)
        if told > report.fence:
            return f"it told us fence {told} before, and now {report.fence}"
        held = Counter((seat.record.tenant, seat.record.title, seat.record.class_name) for seat in ours)
        for place, count in held.items():
            if place in report.used and report.used[place] < count:
                where = "/".join(place)
                return f"it says {report.used[place]} used in {where} and lists {count} of ours"
        return ""

    def _not_listed(self, asked_at: float, report: UsageReport) -> list[tuple[str, str]]:
        listed = {one.lease_id for one in report.leases}
        return [
            (seat.record.session_id, seat.record.lease_id)
            for seat in self.seat_manager.seats.values()
            if _stood_still(seat, asked_at) and seat.record.lease_id not in listed
        ]

    def _not_known(self, asked_at: float, report: UsageReport) -> list[tuple[str, str]]:
        strays = []
        for one in report.leases:
            seat = self.seat_manager.seats.get(one.session_id)
            if seat is not None and (
                seat.record.generation == one.generation
                or seat.request_id is not None
                or seat.sent_at_ms >= asked_at
            ):
                continue  # ours, or on its way to be
            if self.seat_manager.is_releasing_unknown_lease(one.session_id, one.generation):
                continue
            strays.append((f"{one.session_id}.{one.generation}", one.lease_id))
        return strays

    def _act(
        self,
        seen: Counter[tuple[str, str]],
        found: list[tuple[str, str]],
        act: Callable[[tuple[str, str]], None],
    ) -> list[tuple[str, str]]:
        """Counts what was found in reports in a row; acts on what was found often enough."""
        for gone in set(seen) - set(found):
            del seen[gone]
        done: list[tuple[str, str]] = []
        for one in found:
            seen[one] += 1
            if seen[one] >= self.config.required_reports and len(done) < self.config.max_actions:
                act(one)
                del seen[one]
                done.append(one)
        return done

    def _recheck(self, now: float) -> Callable[[tuple[str, str]], None]:
        return lambda one: self.seat_manager.renew_early(now, one[0])

    def _give_back(self, now: float) -> Callable[[tuple[str, str]], None]:
        def act(one: tuple[str, str]) -> None:
            session, _, generation = one[0].rpartition(".")
            self.seat_manager.release_unknown_lease(now, session, int(generation))

        return act


def _stood_still(seat: Seat, since: float) -> bool:
    """Whether a held seat's last answer came before `since`, and nothing has been sent after it."""
    answered_at = seat.latest_expiry_ms - seat.ttl_ms
    return seat.state is SeatState.ACTIVE and seat.request_id is None and answered_at < since
