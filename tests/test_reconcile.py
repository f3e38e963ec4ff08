"""The server's report of leases against the seats: acted upon slowly, never on a contradiction."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import Any

import pytest

from fernweir.seats.messages import Operation, ResponseStatus, SendLeaseRequest
from fernweir.seats.reconciliation import ListedLease, Reconciler, ReconciliationConfig, UsageReport
from fernweir.seats.seat import SeatState
from fernweir.standin.leases import LeaseDesk
from tests.scene import Scene, play
from tests.sockets import until
from tests.test_gate import PLAN
from tests.test_seats import Desk


def desk(count: int = 3) -> tuple[Desk, Reconciler]:
    mine = Desk(ttl=60_000.0)
    for number in range(count):
        mine.want(f"s{number}")
    mine.grant_all()
    return mine, Reconciler(mine.manager)


def honest(mine: Desk) -> UsageReport:
    seats = [seat.record for seat in mine.manager.seats.values() if seat.record.lease_id]
    listed = tuple(ListedLease(one.lease_id, one.session_id, one.generation, one.fence) for one in seats)
    return UsageReport(mine.fence, len(listed), listed, {("t", "l", "c"): len(listed)})


def told(mine: Desk, reconciler: Reconciler, report: UsageReport, times: int = 1) -> list[SendLeaseRequest]:
    """The requests that reports lead to."""
    sends: list[SendLeaseRequest] = []
    for _ in range(times):
        mine.step(100.0)
        reconciler.on_report_requested(mine.now)
        reconciler.on_report(mine.now, report)
        sends += [one for one in mine.step() if isinstance(one, SendLeaseRequest)]
    return sends


def test_a_true_report_changes_nothing() -> None:
    mine, reconciler = desk()
    assert told(mine, reconciler, honest(mine), 5) == [] and reconciler.contradiction_count == 0


def test_a_seat_the_server_does_not_list_twice_is_renewed_early_and_its_answer_decides() -> None:
    mine, reconciler = desk()
    report = honest(mine)
    report = replace(report, total=2, leases=report.leases[1:], used={})
    assert told(mine, reconciler, report) == []
    sends = told(mine, reconciler, report)
    assert [(send.operation, send.record.session_id) for send in sends] == [(Operation.RENEW, "s0")]
    assert told(mine, reconciler, report) == []  # its answer is awaited
    mine.reply(sends[0], ResponseStatus.LEASE_UNKNOWN)
    assert mine.sent().operation is Operation.ACQUIRE and mine.manager.seats["s0"].is_wanted


def test_a_lease_nobody_knows_is_given_back_by_its_key_and_only_once() -> None:
    mine, reconciler = desk()
    report = honest(mine)
    stray = (*report.leases, ListedLease("Lx", "lost", 77, 1), ListedLease("Ly", "s1", 1_000, 2))
    report = replace(report, total=5, leases=stray, used={})
    sends = told(mine, reconciler, report, 2)
    assert sorted((send.operation, send.idempotency_key) for send in sends) == [
        (Operation.RELEASE, "lost.77"), (Operation.RELEASE, "s1.1000")
    ]  # fmt: skip
    assert told(mine, reconciler, report, 3) == []
    log = len(mine.log)
    for send in sends:
        mine.reply(send, ResponseStatus.SUCCEEDED)
    mine.step()
    assert (
        set(mine.manager.seats) == {"s0", "s1", "s2"} and mine.manager.seats["s1"].state is SeatState.ACTIVE
    )
    assert len(mine.log) == log and set(mine.manager.records()) == {"s0", "s1", "s2"}


def test_a_stray_that_nobody_takes_back_is_forgotten_when_it_must_have_lapsed() -> None:
    mine, reconciler = desk(0)
    report = UsageReport(9, 1, (ListedLease("Lx", "lost", 77, 1),))
    sends = told(mine, reconciler, report, 2)
    begun = mine.now
    while mine.manager.seats:
        for send in sends:
            mine.reply(send, ResponseStatus.INDETERMINATE)
        due = mine.manager.next_deadline(mine.now)
        assert due is not None
        sends = [one for one in mine.step(max(due - mine.now, 1.0)) if isinstance(one, SendLeaseRequest)]
    assert mine.now <= begun + 61_500.0


@pytest.mark.parametrize(
    "change",
    [
        {"total": 9},
        {"fence": 1},
        {"used": {("t", "l", "c"): 1}},
        {"leases": "twice"},
    ],
)
def test_a_report_that_contradicts_itself_or_is_old_moves_nothing(change: dict[str, Any]) -> None:
    mine, reconciler = desk()
    report = honest(mine)
    stray = ListedLease("Lx", "lost", 77, 1)
    if change.get("leases") == "twice":
        change = {"leases": (*report.leases[1:], stray, stray), "total": 4}
    else:
        change = {"leases": (*report.leases[1:], stray), **change}
    found = replace(report, **change)
    assert told(mine, reconciler, found, 4) == [] and reconciler.contradiction_count == 4
    # And what it said before is forgotten: the next good report counts as the first.
    good = replace(report, total=4, leases=(*report.leases, stray))
    assert told(mine, reconciler, good) == [] and len(told(mine, reconciler, good)) == 1


def test_what_moves_while_the_report_is_written_is_not_compared() -> None:
    mine, reconciler = desk(1)
    empty = UsageReport(100, 0, ())
    for _ in range(4):  # its renewal comes between question and report, each time
        reconciler.on_report_requested(mine.now)
        mine.manager.renew_early(mine.now, "s0")
        mine.reply(mine.sent(), ResponseStatus.SUCCEEDED)
        assert reconciler.on_report(mine.now, empty).unconfirmed_count == 0
    late = replace(honest(mine), fence=mine.fence)
    reconciler.on_report_requested(mine.now)
    mine.manager.renew_early(mine.now, "s0")
    mine.reply(mine.sent(), ResponseStatus.SUCCEEDED)
    assert (
        reconciler.on_report(mine.now, late).contradiction == ""
    )  # older than us, but not than its question


def test_a_large_difference_is_worked_off_in_portions() -> None:
    mine, _ = desk(10)
    reconciler = Reconciler(mine.manager, ReconciliationConfig(max_actions=3))
    empty = UsageReport(1_000, 0, ())
    counts = [len(told(mine, reconciler, empty)) for _ in range(6)]
    assert counts == [0, 3, 3, 3, 1, 0]


def test_over_sockets_a_leaked_lease_comes_back_and_a_lost_one_is_asked_for() -> None:
    mine = LeaseDesk(ttl_ms=60_000.0, default=10)

    async def story(scene: Scene) -> None:
        assert scene.entitlement is not None
        front = scene.fronts[0]
        scene.entitlement.page = 1  # many pages
        wishes = [scene.wish() for _ in range(3)]
        await asyncio.gather(*map(scene.request_session, wishes))
        loop = asyncio.get_running_loop()
        place = ("", "lesson-0", "training")
        mine.ask(loop.time() * 1000.0, "front-0.lost.7", "front-0", "lost", "p", place)
        mine.ask(loop.time() * 1000.0, "front-9.other.7", "front-9", "other", "p", place)
        gone = next(id for id, lease in mine.leases.items() if lease.session == wishes[0].session)
        mine._drop(gone)
        sessions = [lease.session for lease in mine.leases.values()]
        assert "lost" in sessions and wishes[0].session not in sessions
        await until(
            lambda: (
                sorted(lease.session for lease in mine.leases.values())
                == sorted(["other", *(wish.session for wish in wishes)])
            )
        )
        assert front.core.sessions.session_count == 3

    play(story, PLAN, desk=mine)


def test_over_sockets_contradictory_counts_cost_no_session() -> None:
    mine = LeaseDesk(ttl_ms=60_000.0, default=10)

    def doctor(page: dict[str, Any]) -> None:
        page["leases"] = page["leases"][:1]

    async def story(scene: Scene) -> None:
        assert scene.entitlement is not None
        use = scene.fronts[0].use
        assert use is not None
        scene.entitlement.doctor = doctor
        await asyncio.gather(*(scene.request_session(scene.wish()) for _ in range(4)))
        judged = use.judged
        await until(lambda: use.judged > judged + 3)
        assert use.last.contradiction and "lists 1" in use.last.contradiction
        assert len(mine.leases) == 4 and scene.fronts[0].core.sessions.session_count == 4
        scene.entitlement.doctor = lambda page: page.update(fence="many")
        assert (await scene.request_session(scene.wish())).status == 200

    play(story, PLAN, desk=mine)
