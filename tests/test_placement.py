"""Ranking of servers, placement and load estimation."""

from dataclasses import replace

import pytest

from fernweir.interface import (
    AttemptEnded,
    CheckHealth,
    EndpointListKind,
    EndpointListUpdate,
    HealthCheckEnded,
    NoticeKind,
    Place,
    Reject,
    Result,
    ServerState,
    SetRung,
    TimerFired,
)
from fernweir.load_estimator import LinkEstimator, TypicalLoad
from tests.helpers import SETTINGS, SLOW_START, FrontDriver, entry, placements


def first_choice(title: int, seed: int = 7, weight: float = 1.0) -> int:
    front = FrontDriver(entry(1, weight=weight), entry(2, zone=1), seed=seed)
    return placements(front.request_session(1, title=title))[0].server


def test_the_first_candidate_gets_the_highest_usable_rung() -> None:
    front = FrontDriver()
    assert front.request_session(1)[-2:] == [SetRung(1, 3), Place(1, 1, 500.0)]
    assert front.request_session(2, top_rung=1)[-2] == SetRung(2, 1)


def test_each_title_has_its_own_first_choice_equal_on_all_fronts() -> None:
    first_choices = [first_choice(title) for title in range(200)]
    assert 80 <= first_choices.count(1) <= 120
    assert first_choices == [first_choice(title, seed=8) for title in range(200)]


def test_a_server_of_three_times_the_weight_is_first_for_three_times_the_titles() -> None:
    assert 135 <= [first_choice(title, weight=3.0) for title in range(200)].count(1) <= 165


def test_only_servers_with_the_title_are_attempted() -> None:
    for title in range(10):
        front = FrontDriver(entry(1), entry(2, zone=1), entry(3, zone=2))
        assert placements(front.request_session(1, title=title, first_zone=1, replicas=1))[0].server == 2
        assert placements(front.request_session(2, title=title, first_zone=3, replicas=2))[0].server == 1


def test_the_next_candidate_is_chosen_if_the_first_is_over_the_target() -> None:
    front = FrontDriver()
    front.start_session(1)
    front.notify(1, 1, NoticeKind.LINK, 0.7)
    assert placements(front.request_session(2))[0].server == 2


def test_a_full_uplink_excludes_its_rack_from_new_sessions() -> None:
    front = FrontDriver(entry(1), entry(2, zone=2), entry(3, zone=1))
    front.start_session(1)
    front.recover_session(9, 3, 0)
    front.notify(1, 1, NoticeKind.UPLINK, 0.79)
    front.notify(9, 3, NoticeKind.UPLINK, 0.2)
    assert placements(front.request_session(2))[0].server == 3


def test_the_most_headroom_wins_at_a_lower_rung_if_no_candidate_fits_the_top_rung() -> None:
    front = FrontDriver()
    front.start_session(1)
    front.recover_session(2, 2, 0)
    front.notify(1, 1, NoticeKind.LINK, 0.75)
    front.notify(2, 2, NoticeKind.LINK, 0.55)
    actions = front.request_session(3)
    assert placements(actions)[0].server == 2
    assert SetRung(3, 1) in actions


def test_above_the_target_a_small_rack_is_not_preferred_by_all_fronts() -> None:
    """Issue 11: the smallest uplink had the least negative headroom in kB, so all fronts chose its rack."""
    settings = replace(SETTINGS, zone_count=6)
    counts = {1: 0, 2: 0, 3: 0, 4: 0}
    for title in range(100):
        front = FrontDriver(entry(1), entry(2, zone=1), entry(3, zone=3), entry(4, zone=5), settings=settings)
        front.recover_session(1, 1, 0)
        front.recover_session(2, 2, 0)
        front.notify(1, 1, NoticeKind.UPLINK, 0.9)
        front.notify(2, 2, NoticeKind.UPLINK, 0.9)
        counts[placements(front.request_session(3, title=title, replicas=6))[0].server] += 1
    assert counts[1] <= 40


def test_a_rejection_has_a_retry_after_delay() -> None:
    front = FrontDriver(entry(1))
    front.start_session(1, top_rung=0)
    front.notify(1, 1, NoticeKind.LINK, 0.98)
    assert front.request_session(2)[-1] == Reject(2, 1000.0)


def test_sessions_at_high_rungs_switch_down_to_admit_another() -> None:
    front = FrontDriver(entry(1))
    front.start_session(1)
    front.notify(1, 1, NoticeKind.LINK, 0.98)
    actions = front.request_session(2)
    assert placements(actions)[0].server == 1
    assert actions[-1] == SetRung(1, 2)


def test_a_full_result_excludes_the_server_during_the_backoff() -> None:
    front = FrontDriver()
    front.request_session(1, top_rung=0)
    assert placements(front.end_attempt(1, 1, Result.FULL))[0].server == 2
    assert placements(front.request_session(2, top_rung=0))[0].server == 2
    front.now += 5000.0
    assert placements(front.request_session(3, top_rung=0))[0].server == 1


def test_a_stale_report_decays_into_the_typical_load() -> None:
    lightly_loaded, heavily_loaded = FrontDriver(entry(1)), FrontDriver(entry(1))
    for front, level in ((lightly_loaded, 0.2), (heavily_loaded, 0.8)):
        front.recover_session(1, 1, 2)
        for _ in range(20):
            front.now += 1000.0
            front.notify(1, 1, NoticeKind.LINK, level)
        front.now += 60_000.0
    assert SetRung(2, 3) in lightly_loaded.request_session(2)
    assert SetRung(2, 3) not in heavily_loaded.request_session(2)


def test_a_stale_report_decays_into_the_load_scaled_from_own_sessions() -> None:
    front = FrontDriver(entry(1), entry(2, zone=1))
    front.recover_session(1, 1, 2)
    front.recover_session(2, 2, 2)
    for _ in range(20):
        front.notify(1, 1, NoticeKind.LINK, 0.9)
        front.notify(2, 2, NoticeKind.LINK, 0.3)
    front.now += 60_000.0
    loads = [server.link.load(front.now) for server in front.controller.servers.values()]
    assert loads == pytest.approx([0.9, 0.3])


def test_a_server_without_reports_is_assumed_to_have_the_typical_load() -> None:
    front = FrontDriver(entry(1), entry(2, zone=1))
    front.recover_session(1, 1, 2)
    for level in 20 * [0.75]:
        front.notify(1, 1, NoticeKind.LINK, level)
    action = front.request_session(2)
    assert SetRung(2, 0) in action
    assert placements(action)[0].server == 2


def test_the_first_uplink_report_sets_the_typical_uplink_load() -> None:
    """i33c865: the typical load rose slowly from 0, so a flash crowd at the start saw only empty racks."""
    front = FrontDriver(entry(1), entry(2, zone=1))
    front.recover_session(1, 1, 0)
    front.notify(1, 1, NoticeKind.UPLINK, 0.9)
    assert front.controller.servers[2].uplink.load(front.now) > 0.8
    assert SetRung(2, 3) not in front.request_session(2)


def test_the_report_at_the_end_of_a_played_session_is_ignored_as_outdated() -> None:
    front = FrontDriver()
    front.start_session(1, top_rung=0)
    front.notify(1, 1, NoticeKind.LINK, 0.2)
    front.now += 5000.0
    front.send(AttemptEnded(1, 1, 0, Result.OK, True, 9000.0, (1.2, 1.2)))
    assert placements(front.request_session(2))[0].server == 1


def test_invalid_loads_in_notices_are_ignored() -> None:
    front = FrontDriver()
    front.start_session(1, top_rung=0)
    front.notify(1, 1, NoticeKind.LINK, 0.2)
    front.notify(1, 1, NoticeKind.LINK, float("nan"))
    front.notify(1, 1, NoticeKind.UPLINK, -1.0)
    assert placements(front.request_session(2))[0].server == 1


def test_a_session_is_placed_even_if_all_candidates_were_full() -> None:
    front = FrontDriver()
    front.request_session(1, top_rung=0)
    front.end_attempt(1, 1, Result.FULL)
    front.end_attempt(1, 2, Result.FULL, attempt=1)
    assert len(placements(front.request_session(2, top_rung=0))) == 1


def test_a_newer_report_with_headroom_ends_the_full_backoff() -> None:
    front = FrontDriver()
    front.start_session(1, top_rung=0)
    front.notify(1, 1, NoticeKind.DELIVERED, 0.9)
    assert placements(front.request_session(2, top_rung=0))[0].server == 2
    front.now += 2000.0
    front.notify(1, 1, NoticeKind.LINK, 0.3)
    assert placements(front.request_session(3, top_rung=0))[0].server == 1


def test_a_removed_server_without_reports_causes_no_health_check() -> None:
    settings = replace(SETTINGS, front_count=50)
    front = FrontDriver(*(entry(server, zone=server - 1) for server in (1, 2, 3)), settings=settings)
    front.recover_session(9, 2, 0)
    front.send(EndpointListUpdate(EndpointListKind.DELTA, 2, (entry(3, zone=2, state=ServerState.REMOVED),)))
    actions = front.request_session(1)
    assert placements(actions)[0].server == 1 and CheckHealth(1) not in actions


def test_with_several_fronts_an_unknown_server_is_health_checked_before_placement() -> None:
    front = FrontDriver(settings=replace(SETTINGS, front_count=50))
    actions = front.request_session(1)
    assert CheckHealth(1) in actions and placements(actions) == []
    answer = front.send(HealthCheckEnded(1, Result.OK, 5.0, (0.9, 0.5)))
    assert placements(answer)[0].server == 2


def test_no_health_check_if_time_is_short_or_the_server_is_known() -> None:
    front = FrontDriver(settings=replace(SETTINGS, front_count=50))
    assert len(placements(front.request_session(1, remaining_ms=500.0))) == 1
    front = FrontDriver(settings=replace(SETTINGS, front_count=50))
    front.recover_session(1, 1, 0)
    assert placements(front.request_session(2))[0].server == 1


def test_new_sessions_start_at_the_rungs_of_own_sessions_elsewhere() -> None:
    front = FrontDriver(entry(1), entry(2, zone=1))
    for session in range(1, 4):
        front.recover_session(session, 2, 0)
    assert SetRung(9, 3) not in front.request_session(9, first_zone=0, replicas=1)


def test_a_warming_server_without_headroom_does_not_prevent_placement_elsewhere() -> None:
    settings = replace(SETTINGS, slow_start=SLOW_START, may_check_health=False)
    front = FrontDriver(entry(1, weight=9.0), entry(2, zone=1), settings=settings)
    front.recover_session(9, 1, 0)
    front.recover_session(8, 2, 0)
    front.notify(9, 1, NoticeKind.LINK, 0.6)  # under the target, but over the capacity of a warming server
    front.notify(8, 2, NoticeKind.LINK, 0.7)
    front.controller.servers[1].warming_since = front.now
    assert placements(front.request_session(1))[0].server == 2


def test_a_just_started_server_is_assumed_empty_instead_of_typically_loaded() -> None:
    settings = replace(SETTINGS, slow_start=SLOW_START, may_check_health=False, front_count=2)
    front = FrontDriver(entry(1), settings=settings)
    front.recover_session(9, 1, 0)
    front.notify(9, 1, NoticeKind.LINK, 0.9)
    front.now += 60_000.0
    front.send(EndpointListUpdate(EndpointListKind.DELTA, 2, (entry(2, started_at=front.now),)))
    link = front.controller.servers[2].link
    assert link.load(front.now) == 0.0 < front.controller.typical_link_load.mean
    front.recover_session(7, 2, 1)
    assert link.load(front.now) == pytest.approx(2 * 200.0 / 2000.0)
    assert link.load(front.now + SLOW_START.window_ms) == front.controller.typical_link_load.mean


def test_a_notice_of_an_older_session_refutes_a_presumed_restart() -> None:
    front = FrontDriver(settings=replace(SETTINGS, slow_start=SLOW_START))
    placement = front.start_session(1)
    front.send(AttemptEnded(99, placement.server, 0, Result.CONNECT_FAILED, True, 10.0, ()))
    server = front.controller.servers[placement.server]
    front.notify(1, placement.server, NoticeKind.LINK, 0.5)  # may have been sent before the failure
    assert server.is_presumed_dead
    front.now += 2_000.0
    front.send(TimerFired(1))
    front.notify(1, placement.server, NoticeKind.LINK, 0.5)
    assert (
        not server.is_presumed_dead
        and front.controller.safety_rules.slow_start_factor(server, front.now) == 1.0
    )


def test_own_rate_changes_are_discarded_after_twice_the_decay_time() -> None:
    """An uplink may be reported once a day: changes since its report must not accumulate without limit."""
    estimator = LinkEstimator(1_000.0, TypicalLoad(), decay_ms=2_000.0)
    estimator.observe(0.4, observed_at=0.0)
    for step in range(1, 5_001):
        estimator.add_own_rate(step * 100.0, 1.0 if step % 2 else -1.0)
    assert len(estimator._own_changes) == 40  # within twice the decay time
    estimator.observe(0.3, observed_at=498_000.0)
    estimator.add_own_rate(500_000.0, 100.0)
    assert estimator.load(500_000.0) == pytest.approx(0.4)
