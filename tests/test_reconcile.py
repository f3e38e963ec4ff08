"""Tests of reconciliation: the seats of a front against the server's report of leases.

A difference is acted upon only when it is reported twice, and a contradictory report never.
"""

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


def make_harness(count: int = 3) -> tuple[Desk, Reconciler]:
    harness = Desk(ttl=60_000.0)
    for number in range(count):
        harness.want(f"s{number}")
    harness.grant_all()
    return harness, Reconciler(harness.manager)


def true_report(harness: Desk) -> UsageReport:
    seats = [seat.record for seat in harness.manager.seats.values() if seat.record.lease_id]
    listed = tuple(ListedLease(one.lease_id, one.session_id, one.generation, one.fence) for one in seats)
    return UsageReport(harness.fence, len(listed), listed, {("t", "l", "c"): len(listed)})


def apply_reports(
    harness: Desk, reconciler: Reconciler, report: UsageReport, times: int = 1
) -> list[SendLeaseRequest]:
    """Returns the lease requests that follow from reports."""
    sends: list[SendLeaseRequest] = []
    for _ in range(times):
        harness.step(100.0)
        reconciler.on_report_requested(harness.now)
        reconciler.on_report(harness.now, report)
        sends += [one for one in harness.step() if isinstance(one, SendLeaseRequest)]
    return sends


def test_a_true_report_changes_nothing() -> None:
    harness, reconciler = make_harness()
    assert (
        apply_reports(harness, reconciler, true_report(harness), 5) == []
        and reconciler.contradiction_count == 0
    )


def test_a_seat_missing_from_two_reports_is_renewed_early_and_the_response_decides() -> None:
    harness, reconciler = make_harness()
    report = true_report(harness)
    report = replace(report, total=2, leases=report.leases[1:], used={})
    assert apply_reports(harness, reconciler, report) == []
    sends = apply_reports(harness, reconciler, report)
    assert [(send.operation, send.record.session_id) for send in sends] == [(Operation.RENEW, "s0")]
    assert apply_reports(harness, reconciler, report) == []  # its response is awaited
    harness.reply(sends[0], ResponseStatus.LEASE_UNKNOWN)
    assert harness.sent().operation is Operation.ACQUIRE and harness.manager.seats["s0"].is_wanted


def test_an_unknown_lease_is_released_by_its_key_and_only_once() -> None:
    harness, reconciler = make_harness()
    report = true_report(harness)
    stray = (*report.leases, ListedLease("Lx", "lost", 77, 1), ListedLease("Ly", "s1", 1_000, 2))
    report = replace(report, total=5, leases=stray, used={})
    sends = apply_reports(harness, reconciler, report, 2)
    assert sorted((send.operation, send.idempotency_key) for send in sends) == [
        (Operation.RELEASE, "lost.77"), (Operation.RELEASE, "s1.1000")
    ]  # fmt: skip
    assert apply_reports(harness, reconciler, report, 3) == []
    log = len(harness.log)
    for send in sends:
        harness.reply(send, ResponseStatus.SUCCEEDED)
    harness.step()
    assert (
        set(harness.manager.seats) == {"s0", "s1", "s2"}
        and harness.manager.seats["s1"].state is SeatState.ACTIVE
    )
    assert len(harness.log) == log and set(harness.manager.records()) == {"s0", "s1", "s2"}


def test_an_unknown_lease_that_cannot_be_released_is_dropped_after_its_expiry() -> None:
    harness, reconciler = make_harness(0)
    report = UsageReport(9, 1, (ListedLease("Lx", "lost", 77, 1),))
    sends = apply_reports(harness, reconciler, report, 2)
    started_at = harness.now
    while harness.manager.seats:
        for send in sends:
            harness.reply(send, ResponseStatus.INDETERMINATE)
        deadline = harness.manager.next_deadline(harness.now)
        assert deadline is not None
        sends = [
            one for one in harness.step(max(deadline - harness.now, 1.0)) if isinstance(one, SendLeaseRequest)
        ]
    assert harness.now <= started_at + 61_500.0


@pytest.mark.parametrize(
    "change",
    [
        {"total": 9},
        {"fence": 1},
        {"used": {("t", "l", "c"): 1}},
        {"leases": "twice"},
    ],
)
def test_a_contradictory_or_old_report_changes_nothing(change: dict[str, Any]) -> None:
    harness, reconciler = make_harness()
    report = true_report(harness)
    stray = ListedLease("Lx", "lost", 77, 1)
    if change.get("leases") == "twice":
        change = {"leases": (*report.leases[1:], stray, stray), "total": 4}
    else:
        change = {"leases": (*report.leases[1:], stray), **change}
    changed = replace(report, **change)
    assert apply_reports(harness, reconciler, changed, 4) == [] and reconciler.contradiction_count == 4
    # Earlier differences are discarded: the next consistent report counts as the first.
    good = replace(report, total=4, leases=(*report.leases, stray))
    assert (
        apply_reports(harness, reconciler, good) == [] and len(apply_reports(harness, reconciler, good)) == 1
    )


def test_a_lease_that_changes_while_the_report_is_written_is_not_compared() -> None:
    harness, reconciler = make_harness(1)
    empty = UsageReport(100, 0, ())
    for _ in range(4):  # each time it is renewed between the request and the report
        reconciler.on_report_requested(harness.now)
        harness.manager.renew_early(harness.now, "s0")
        harness.reply(harness.sent(), ResponseStatus.SUCCEEDED)
        assert reconciler.on_report(harness.now, empty).unconfirmed_count == 0
    older = replace(true_report(harness), fence=harness.fence)
    reconciler.on_report_requested(harness.now)
    harness.manager.renew_early(harness.now, "s0")
    harness.reply(harness.sent(), ResponseStatus.SUCCEEDED)
    assert (
        reconciler.on_report(harness.now, older).contradiction == ""
    )  # older than our last response, but not than the request for it


def test_a_large_difference_is_handled_in_portions() -> None:
    harness, _ = make_harness(10)
    reconciler = Reconciler(harness.manager, ReconciliationConfig(max_actions=3))
    empty = UsageReport(1_000, 0, ())
    counts = [len(apply_reports(harness, reconciler, empty)) for _ in range(6)]
    assert counts == [0, 3, 3, 3, 1, 0]


def test_over_sockets_a_leaked_lease_is_released_and_a_lost_one_is_requested() -> None:
    lease_server = LeaseDesk(ttl_ms=60_000.0, default=10)

    async def story(scene: Scene) -> None:
        assert scene.entitlement is not None
        front = scene.fronts[0]
        scene.entitlement.page = 1  # many pages
        wishes = [scene.wish() for _ in range(3)]
        await asyncio.gather(*map(scene.request_session, wishes))
        loop = asyncio.get_running_loop()
        place = ("", "lesson-0", "training")
        lease_server.ask(loop.time() * 1000.0, "front-0.lost.7", "front-0", "lost", "p", place)
        lease_server.ask(loop.time() * 1000.0, "front-9.other.7", "front-9", "other", "p", place)
        lost_lease = next(
            id for id, lease in lease_server.leases.items() if lease.session == wishes[0].session
        )
        lease_server._drop(lost_lease)
        sessions = [lease.session for lease in lease_server.leases.values()]
        assert "lost" in sessions and wishes[0].session not in sessions
        await until(
            lambda: (
                sorted(lease.session for lease in lease_server.leases.values())
                == sorted(["other", *(wish.session for wish in wishes)])
            )
        )
        assert front.core.sessions.session_count == 3

    play(story, PLAN, desk=lease_server)


def test_over_sockets_contradictory_counts_end_no_session() -> None:
    lease_server = LeaseDesk(ttl_ms=60_000.0, default=10)

    def truncate(page: dict[str, Any]) -> None:
        page["leases"] = page["leases"][:1]

    async def story(scene: Scene) -> None:
        assert scene.entitlement is not None
        reconciliation = scene.fronts[0].use_check
        assert reconciliation is not None
        scene.entitlement.doctor = truncate
        await asyncio.gather(*(scene.request_session(scene.wish()) for _ in range(4)))
        report_count = reconciliation.report_count
        await until(lambda: reconciliation.report_count > report_count + 3)
        assert (
            reconciliation.last_result.contradiction and "lists 1" in reconciliation.last_result.contradiction
        )
        assert len(lease_server.leases) == 4 and scene.fronts[0].core.sessions.session_count == 4
        scene.entitlement.doctor = lambda page: page.update(fence="many")
        assert (await scene.request_session(scene.wish())).status == 200

    play(story, PLAN, desk=lease_server)
