"""The desk of a simulated entitlement server: leases, seats, idempotency keys, fences. No I/O.

It counts what it holds at every change, by lesson and by session, and that report is what tests judge. It
is naive on purpose: two keys from one front are two seats, so that a front which forgets its keys shows.
The same session at another front takes its seat along, if it asked for it later than the holder did: the
fence grows, and the old holder is fenced.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

Place = tuple[str, str, str]  # tenant, lesson, class


@dataclass(slots=True)
class DeskLease:
    id: str
    key: str
    front: str
    session: str
    person: str
    place: Place
    fence: int
    until: float
    asked_at: float = 0.0


@dataclass(frozen=True, slots=True)
class DeskAnswer:
    """As over HTTP: 200 done, 403 not entitled, 404 unknown, 409 full, 410 taken back, 412 fenced."""

    status: int
    lease: str = ""
    fence: int = 0
    ttl_ms: float = 0.0
    retry_after_ms: float = 0.0


@dataclass(slots=True)
class UseReport:
    """What the desk saw: the most held of any place over its seats, of any session, and of all."""

    granted: int = 0
    most_over: int = 0
    most_by_session: int = 0
    most: int = 0
    repeated_keys: int = 0
    fenced: int = 0
    expired: int = 0


@dataclass(slots=True)
class LeaseDesk:
    """`seats` by place, `default` for others. Times are milliseconds."""

    ttl_ms: float = 30_000.0
    default: int = 10
    seats: dict[Place, int] = field(default_factory=dict)
    denied: set[str] = field(default_factory=set)
    report: UseReport = field(default_factory=UseReport)
    boot: int = 1
    fence: int = 0
    leases: dict[str, DeskLease] = field(default_factory=dict)
    watch: Callable[[str, DeskLease, int, int], None] | None = None
    _by_key: dict[str, str] = field(default_factory=dict)
    _taken_back: dict[str, float] = field(default_factory=dict)
    _used: Counter[Place] = field(default_factory=Counter)
    _by_session: dict[str, set[str]] = field(default_factory=dict)
    _number: int = 0

    def ask(
        self, now: float, key: str, front: str, session: str, person: str, place: Place, asked_at: float = 0.0
    ) -> DeskAnswer:
        self.expire(now)
        if key in self._taken_back:
            return DeskAnswer(410)
        if person in self.denied:
            return DeskAnswer(403)
        if key in self._by_key:
            self.report.repeated_keys += 1
            return self._granted(now, self.leases[self._by_key[key]])
        for id in list(self._by_session.get(session, ())):
            if self.leases[id].front != front:
                if asked_at < self.leases[id].asked_at:
                    return DeskAnswer(412)  # an ask from before that was long on its way
                self.report.fenced += 1
                self._drop(id)
        limit = self.seats.get(place, self.default)
        if self._used[place] >= limit:
            return DeskAnswer(409, retry_after_ms=min(self.ttl_ms / 10.0, 2_000.0))
        self._number += 1
        lease = DeskLease(
            f"L{self.boot}-{self._number}", key, front, session, person, place, 0, 0.0, asked_at
        )
        self.leases[lease.id], self._by_key[key] = lease, lease.id
        self._used[place] += 1
        held = self._by_session.setdefault(session, set())
        held.add(lease.id)
        self.report.granted += 1
        self.report.most_over = max(self.report.most_over, self._used[place] - limit)
        self.report.most_by_session = max(self.report.most_by_session, len(held))
        self.report.most = max(self.report.most, len(self.leases))
        self._tell("taken", lease)
        return self._granted(now, lease)

    def renew(self, now: float, id: str, fence: int, session: str) -> DeskAnswer:
        self.expire(now)
        lease = self.leases.get(id)
        if lease is None:
            others = self._by_session.get(session)
            return DeskAnswer(412 if others else 404)
        if lease.person in self.denied:
            self._drop(id)
            return DeskAnswer(403)
        if fence < lease.fence - 1_000_000:
            return DeskAnswer(412)
        return self._granted(now, lease)

    def release(self, now: float, key: str) -> DeskAnswer:
        """Takes back whatever a key was, or will be, granted: it may overtake its ask."""
        self.expire(now)
        self._taken_back[key] = now
        id = self._by_key.get(key)
        if id is None:
            return DeskAnswer(404)
        self._drop(id)
        return DeskAnswer(200)

    def held_by(self, front: str) -> list[DeskLease]:
        return sorted((one for one in self.leases.values() if one.front == front), key=lambda one: one.id)

    def used(self, place: Place) -> int:
        return self._used[place]

    def expire(self, now: float) -> None:
        while self.leases:
            first = next(iter(self.leases.values()))  # renewed leases move to the end
            if first.until > now:
                break
            self.report.expired += 1
            self._drop(first.id)

    def forget(self) -> None:
        """Restarts with nothing, and an older fence."""
        for id in list(self.leases):
            self._drop(id)
        self._taken_back.clear()
        self.boot, self.fence = self.boot + 1, 0

    def _granted(self, now: float, lease: DeskLease) -> DeskAnswer:
        self.fence += 1
        lease.fence, lease.until = self.fence, now + self.ttl_ms
        self.leases[lease.id] = self.leases.pop(lease.id)
        return DeskAnswer(200, lease.id, lease.fence, self.ttl_ms)

    def _drop(self, id: str) -> None:
        lease = self.leases.pop(id)
        del self._by_key[lease.key]
        self._used[lease.place] -= 1
        held = self._by_session[lease.session]
        held.discard(id)
        if not held:
            del self._by_session[lease.session]
        self._tell("freed", lease)

    def _tell(self, what: str, lease: DeskLease) -> None:
        if self.watch is not None:
            self.watch(what, lease, self._used[lease.place], self.seats.get(lease.place, self.default))
