"""Tests of the reconciliation of seats with the server's report of leases."""

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
from tests.test_seats import SeatManagerHarness


def create_harness(count: int = 3) -> tuple[SeatManagerHarness, Reconciler]:
    harness = SeatManagerHarness(ttl_ms=60_000.0)
    for number in range(count):
        harness.request_seat(f"s{number}")
    harness.grant_all()
    return harness, Reconciler(harness.manager)


def accurate_report(harness: SeatManagerHarness) -> UsageReport:
    seats = [seat.record for seat in harness.manager.seats.values() if seat.record.lease_id]
    listed = tuple(ListedLease(seat.lease_id, seat.session_id, seat.generation, seat.fence) for seat in seats)
    return UsageReport(harness.fence, len(listed), listed, {("t", "l", "c"): len(listed)})


def process_reports(
    harness: SeatManagerHarness, reconciler: Reconciler, report: UsageReport, count: int = 1
) -> list[SendLeaseRequest]:
    """Returns the requests that `count` reports cause."""
    sends: list[SendLeaseRequest] = []
    for _ in range(count):
        harness.step(100.0)
        reconciler.on_report_requested(harness.now)
        reconciler.on_report(harness.now, report)
        sends += [command for command in harness.step() if isinstance(command, SendLeaseRequest)]
    return sends


def test_accurate_report_changes_nothing() -> None:
    harness, reconciler = create_harness()
    assert (
        process_reports(harness, reconciler, accurate_report(harness), 5) == []
        and reconciler.contradiction_count == 0
    )


def test_seat_missing_from_two_reports_is_renewed_early() -> None:
    harness, reconciler = create_harness()
    report = accurate_report(harness)
    report = replace(report, total=2, leases=report.leases[1:], used={})
    assert process_reports(harness, reconciler, report) == []
    sends = process_reports(harness, reconciler, report)
    assert [(send.operation, send.record.session_id) for send in sends] == [(Operation.RENEW, "s0")]
    assert process_reports(harness, reconciler, report) == []  # its response is pending
    harness.respond(sends[0], ResponseStatus.LEASE_UNKNOWN)
    assert harness.expect_request().operation is Operation.ACQUIRE and harness.manager.seats["s0"].is_wanted


def test_unknown_lease_is_released_once_by_its_key() -> None:
    harness, reconciler = create_harness()
    report = accurate_report(harness)
    listed = (*report.leases, ListedLease("Lx", "lost", 77, 1), ListedLease("Ly", "s1", 1_000, 2))
    report = replace(report, total=5, leases=listed, used={})
    sends = process_reports(harness, reconciler, report, 2)
    assert sorted((send.operation, send.idempotency_key) for send in sends) == [
        (Operation.RELEASE, "lost.77"), (Operation.RELEASE, "s1.1000")
    ]  # fmt: skip
    assert process_reports(harness, reconciler, report, 3) == []
    logged_count = len(harness.log)
    for send in sends:
        harness.respond(send, ResponseStatus.SUCCEEDED)
    harness.step()
    assert (
        set(harness.manager.seats) == {"s0", "s1", "s2"}
        and harness.manager.seats["s1"].state is SeatState.ACTIVE
    )
    assert len(harness.log) == logged_count and set(harness.manager.records()) == {"s0", "s1", "s2"}


def test_unknown_lease_is_forgotten_after_its_latest_expiry() -> None:
    harness, reconciler = create_harness(0)
    report = UsageReport(9, 1, (ListedLease("Lx", "lost", 77, 1),))
    sends = process_reports(harness, reconciler, report, 2)
    started_at_ms = harness.now
    while harness.manager.seats:
        for send in sends:
            harness.respond(send, ResponseStatus.INDETERMINATE)
        deadline = harness.manager.next_deadline(harness.now)
        assert deadline is not None
        sends = [
            command
            for command in harness.step(max(deadline - harness.now, 1.0))
            if isinstance(command, SendLeaseRequest)
        ]
    assert harness.now <= started_at_ms + 61_500.0


@pytest.mark.parametrize(
    "change",
    [
        {"total": 9},
        {"fence": 1},
        {"used": {("t", "l", "c"): 1}},
        {"leases": "twice"},
    ],
)
def test_contradictory_or_outdated_report_has_no_effect(change: dict[str, Any]) -> None:
    harness, reconciler = create_harness()
    report = accurate_report(harness)
    unknown = ListedLease("Lx", "lost", 77, 1)
    if change.get("leases") == "twice":
        change = {"leases": (*report.leases[1:], unknown, unknown), "total": 4}
    else:
        change = {"leases": (*report.leases[1:], unknown), **change}
    contradictory = replace(report, **change)
    assert (
        process_reports(harness, reconciler, contradictory, 4) == [] and reconciler.contradiction_count == 4
    )
    # The differences of earlier reports are discarded: the next accurate report counts as the first.
    accurate = replace(report, total=4, leases=(*report.leases, unknown))
    assert (
        process_reports(harness, reconciler, accurate) == []
        and len(process_reports(harness, reconciler, accurate)) == 1
    )


def test_lease_renewed_during_the_report_is_not_compared() -> None:
    harness, reconciler = create_harness(1)
    empty = UsageReport(100, 0, ())
    for _ in range(4):  # each time, a renewal happens between the request and the report
        reconciler.on_report_requested(harness.now)
        harness.manager.renew_early(harness.now, "s0")
        harness.respond(harness.expect_request(), ResponseStatus.SUCCEEDED)
        assert reconciler.on_report(harness.now, empty).unconfirmed_count == 0
    outdated = replace(accurate_report(harness), fence=harness.fence)
    reconciler.on_report_requested(harness.now)
    harness.manager.renew_early(harness.now, "s0")
    harness.respond(harness.expect_request(), ResponseStatus.SUCCEEDED)
    assert (
        reconciler.on_report(harness.now, outdated).contradiction == ""
    )  # older than the seat's last response, but not than the request


def test_many_differences_are_resolved_in_batches() -> None:
    harness, _ = create_harness(10)
    reconciler = Reconciler(harness.manager, ReconciliationConfig(max_actions=3))
    empty = UsageReport(1_000, 0, ())
    counts = [len(process_reports(harness, reconciler, empty)) for _ in range(6)]
    assert counts == [0, 3, 3, 3, 1, 0]


def test_over_sockets_leaked_lease_is_released_and_lost_lease_reacquired() -> None:
    server = LeaseDesk(ttl_ms=60_000.0, default=10)

    async def scenario(scene: Scene) -> None:
        assert scene.entitlement is not None
        front = scene.fronts[0]
        scene.entitlement.page = 1  # many pages
        wishes = [scene.wish() for _ in range(3)]
        await asyncio.gather(*map(scene.request_session, wishes))
        loop = asyncio.get_running_loop()
        place = ("", "lesson-0", "training")
        server.ask(loop.time() * 1000.0, "front-0.lost.7", "front-0", "lost", "p", place)
        server.ask(loop.time() * 1000.0, "front-9.other.7", "front-9", "other", "p", place)
        lost_lease_id = next(
            lease_id for lease_id, lease in server.leases.items() if lease.session == wishes[0].session
        )
        server._drop(lost_lease_id)
        sessions = [lease.session for lease in server.leases.values()]
        assert "lost" in sessions and wishes[0].session not in sessions
        await until(
            lambda: (
                sorted(lease.session for lease in server.leases.values())
                == sorted(["other", *(wish.session for wish in wishes)])
            )
        )
        assert front.core.sessions.session_count == 3

    play(scenario, PLAN, desk=server)


def test_over_sockets_contradictory_counts_end_no_session() -> None:
    server = LeaseDesk(ttl_ms=60_000.0, default=10)

    def truncate_leases(page: dict[str, Any]) -> None:
        page["leases"] = page["leases"][:1]

    async def scenario(scene: Scene) -> None:
        assert scene.entitlement is not None
        reconciliation = scene.fronts[0].use_check
        assert reconciliation is not None
        scene.entitlement.doctor = truncate_leases
        await asyncio.gather(*(scene.request_session(scene.wish()) for _ in range(4)))
        judged_before = reconciliation.report_count
        await until(lambda: reconciliation.report_count > judged_before + 3)
        assert (
            reconciliation.last_result.contradiction and "lists 1" in reconciliation.last_result.contradiction
        )
        assert len(server.leases) == 4 and scene.fronts[0].core.sessions.session_count == 4
        scene.entitlement.doctor = lambda page: page.update(fence="many")
        assert (await scene.request_session(scene.wish())).status == 200

    play(scenario, PLAN, desk=server)
