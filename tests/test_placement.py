"""Order, placement and the account of loads."""

from dataclasses import replace

import pytest

from fernweir.controller import LoadEstimator, TypicalLoad
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
from tests.helpers import SETTINGS, SLOW_START, Front, entry, placed


def first_for(title: int, seed: int = 7, weight: float = 1.0) -> int:
    front = Front(entry(1, weight=weight), entry(2, zone=1), seed=seed)
    return placed(front.ask(1, title=title))[0].server


def test_the_first_holder_plays_the_highest_usable_rung() -> None:
    front = Front()
    assert front.ask(1)[-2:] == [SetRung(1, 3), Place(1, 1, 500.0)]
    assert front.ask(2, top_rung=1)[-2] == SetRung(2, 1)


def test_each_title_has_its_own_first_holder_alike_at_all_fronts() -> None:
    firsts = [first_for(title) for title in range(200)]
    assert 80 <= firsts.count(1) <= 120
    assert firsts == [first_for(title, seed=8) for title in range(200)]


def test_a_holder_of_three_times_the_weight_comes_first_for_three_times_the_titles() -> None:
    assert 135 <= [first_for(title, weight=3.0) for title in range(200)].count(1) <= 165


def test_only_holders_of_the_title_are_asked() -> None:
    for title in range(10):
        front = Front(entry(1), entry(2, zone=1), entry(3, zone=2))
        assert placed(front.ask(1, title=title, first_zone=1, replicas=1))[0].server == 2
        assert placed(front.ask(2, title=title, first_zone=3, replicas=2))[0].server == 1


def test_next_holder_when_the_first_is_over_the_mark() -> None:
    front = Front()
    front.start(1)
    front.note(1, 1, NoticeKind.LINK, 0.7)
    assert placed(front.ask(2))[0].server == 2


def test_a_full_uplink_keeps_new_sessions_off_its_whole_rack() -> None:
    front = Front(entry(1), entry(2, zone=2), entry(3, zone=1))
    front.start(1)
    front.take_over(9, 3, 0)
    front.note(1, 1, NoticeKind.UPLINK, 0.79)
    front.note(9, 3, NoticeKind.UPLINK, 0.2)
    assert placed(front.ask(2))[0].server == 3


def test_roomiest_holder_at_what_fits_when_none_is_free() -> None:
    front = Front()
    front.start(1)
    front.take_over(2, 2, 0)
    front.note(1, 1, NoticeKind.LINK, 0.75)
    front.note(2, 2, NoticeKind.LINK, 0.55)
    actions = front.ask(3)
    assert placed(actions)[0].server == 2
    assert SetRung(3, 1) in actions


def test_past_the_mark_a_small_rack_is_not_the_roomiest_at_all_fronts() -> None:
    """Issue 11: room in kB is least negative on the smallest uplink, so every front chose that rack."""
    settings = replace(SETTINGS, zone_count=6)
    counts = {1: 0, 2: 0, 3: 0, 4: 0}
    for title in range(100):
        front = Front(entry(1), entry(2, zone=1), entry(3, zone=3), entry(4, zone=5), settings=settings)
        front.take_over(1, 1, 0)
        front.take_over(2, 2, 0)
        front.note(1, 1, NoticeKind.UPLINK, 0.9)
        front.note(2, 2, NoticeKind.UPLINK, 0.9)
        counts[placed(front.ask(3, title=title, replicas=6))[0].server] += 1
    assert counts[1] <= 40


def test_refusal_says_when_to_come_back() -> None:
    front = Front(entry(1))
    front.start(1, top_rung=0)
    front.note(1, 1, NoticeKind.LINK, 0.98)
    assert front.ask(2)[-1] == Reject(2, 1000.0)


def test_room_is_made_rather_than_refusing_while_others_watch_at_high_rungs() -> None:
    front = Front(entry(1))
    front.start(1)
    front.note(1, 1, NoticeKind.LINK, 0.98)
    actions = front.ask(2)
    assert placed(actions)[0].server == 1
    assert actions[-1] == SetRung(1, 2)


def test_a_refusal_as_full_marks_the_server_for_a_while() -> None:
    front = Front()
    front.ask(1, top_rung=0)
    assert placed(front.end(1, 1, Result.FULL))[0].server == 2
    assert placed(front.ask(2, top_rung=0))[0].server == 2
    front.now += 5000.0
    assert placed(front.ask(3, top_rung=0))[0].server == 1


def test_a_late_report_fades_into_what_is_usual() -> None:
    few, many = Front(entry(1)), Front(entry(1))
    for front, level in ((few, 0.2), (many, 0.8)):
        front.take_over(1, 1, 2)
        for _ in range(20):
            front.now += 1000.0
            front.note(1, 1, NoticeKind.LINK, level)
        front.now += 60_000.0
    assert SetRung(2, 3) in few.ask(2)
    assert SetRung(2, 3) not in many.ask(2)


def test_a_late_report_fades_into_what_was_learnt_beside_own_sessions() -> None:
    front = Front(entry(1), entry(2, zone=1))
    front.take_over(1, 1, 2)
    front.take_over(2, 2, 2)
    for _ in range(20):
        front.note(1, 1, NoticeKind.LINK, 0.9)
        front.note(2, 2, NoticeKind.LINK, 0.3)
    front.now += 60_000.0
    loads = [server.link.load(front.now) for server in front.brain.servers.values()]
    assert loads == pytest.approx([0.9, 0.3])


def test_a_server_nothing_is_known_of_is_taken_to_carry_what_others_carry() -> None:
    front = Front(entry(1), entry(2, zone=1))
    front.take_over(1, 1, 2)
    for level in 20 * [0.75]:
        front.note(1, 1, NoticeKind.LINK, level)
    action = front.ask(2)
    assert SetRung(2, 0) in action
    assert placed(action)[0].server == 2


def test_the_first_report_of_an_uplink_tells_what_uplinks_carry() -> None:
    """i33c865: the usual grew from 0, so a crowd at the start met racks that all looked empty."""
    front = Front(entry(1), entry(2, zone=1))
    front.take_over(1, 1, 0)
    front.note(1, 1, NoticeKind.UPLINK, 0.9)
    assert front.brain.servers[2].uplink.load(front.now) > 0.8
    assert SetRung(2, 3) not in front.ask(2)


def test_a_report_that_ends_a_played_session_is_as_old_as_its_start() -> None:
    front = Front()
    front.start(1, top_rung=0)
    front.note(1, 1, NoticeKind.LINK, 0.2)
    front.now += 5000.0
    front.send(AttemptEnded(1, 1, 0, Result.OK, True, 9000.0, (1.2, 1.2)))
    assert placed(front.ask(2))[0].server == 1


def test_not_a_number_in_a_report_is_no_report() -> None:
    front = Front()
    front.start(1, top_rung=0)
    front.note(1, 1, NoticeKind.LINK, 0.2)
    front.note(1, 1, NoticeKind.LINK, float("nan"))
    front.note(1, 1, NoticeKind.UPLINK, -1.0)
    assert placed(front.ask(2))[0].server == 1


def test_viewers_are_not_shut_out_where_every_holder_is_marked_full() -> None:
    front = Front()
    front.ask(1, top_rung=0)
    front.end(1, 1, Result.FULL)
    front.end(1, 2, Result.FULL, attempt=1)
    assert len(placed(front.ask(2, top_rung=0))) == 1


def test_a_newer_report_with_room_ends_a_full_mark() -> None:
    front = Front()
    front.start(1, top_rung=0)
    front.note(1, 1, NoticeKind.DELIVERED, 0.9)
    assert placed(front.ask(2, top_rung=0))[0].server == 2
    front.now += 2000.0
    front.note(1, 1, NoticeKind.LINK, 0.3)
    assert placed(front.ask(3, top_rung=0))[0].server == 1


def test_a_server_that_is_gone_is_no_holder_whose_silence_asks_for_a_probe() -> None:
    settings = replace(SETTINGS, front_count=50)
    front = Front(*(entry(server, zone=server - 1) for server in (1, 2, 3)), settings=settings)
    front.take_over(9, 2, 0)
    front.send(EndpointListUpdate(EndpointListKind.DELTA, 2, (entry(3, zone=2, state=ServerState.REMOVED),)))
    actions = front.ask(1)
    assert placed(actions)[0].server == 1 and CheckHealth(1) not in actions


def test_one_of_several_fronts_probes_a_server_it_knows_nothing_of_and_places_by_the_answer() -> None:
    front = Front(settings=replace(SETTINGS, front_count=50))
    actions = front.ask(1)
    assert CheckHealth(1) in actions and placed(actions) == []
    answer = front.send(HealthCheckEnded(1, Result.OK, 5.0, (0.9, 0.5)))
    assert placed(answer)[0].server == 2


def test_no_probe_where_there_is_no_time_or_the_server_is_known() -> None:
    front = Front(settings=replace(SETTINGS, front_count=50))
    assert len(placed(front.ask(1, remaining_ms=500.0))) == 1
    front = Front(settings=replace(SETTINGS, front_count=50))
    front.take_over(1, 1, 0)
    assert placed(front.ask(2))[0].server == 1


def test_newcomers_start_at_what_own_sessions_elsewhere_are_held_to() -> None:
    front = Front(entry(1), entry(2, zone=1))
    for session in range(1, 4):
        front.take_over(session, 2, 0)
    assert SetRung(9, 3) not in front.ask(9, first_zone=0, replicas=1)


def test_a_cold_server_without_room_does_not_refuse_for_the_others() -> None:
    settings = replace(SETTINGS, slow_start=SLOW_START, may_check_health=False)
    front = Front(entry(1, weight=9.0), entry(2, zone=1), settings=settings)
    front.take_over(9, 1, 0)
    front.take_over(8, 2, 0)
    front.note(9, 1, NoticeKind.LINK, 0.6)  # under the mark, yet over what it bears while it is cold
    front.note(8, 2, NoticeKind.LINK, 0.7)
    front.brain.servers[1].warming_since = front.now
    assert placed(front.ask(1))[0].server == 2


def test_a_server_that_has_just_started_is_taken_for_empty_not_for_usual() -> None:
    settings = replace(SETTINGS, slow_start=SLOW_START, may_check_health=False, front_count=2)
    front = Front(entry(1), settings=settings)
    front.take_over(9, 1, 0)
    front.note(9, 1, NoticeKind.LINK, 0.9)
    front.now += 60_000.0
    front.send(EndpointListUpdate(EndpointListKind.DELTA, 2, (entry(2, started_at=front.now),)))
    link = front.brain.servers[2].link
    assert link.load(front.now) == 0.0 < front.brain.typical_link_load.mean
    front.take_over(7, 2, 1)
    assert link.load(front.now) == pytest.approx(2 * 200.0 / 2000.0)
    assert link.load(front.now + SLOW_START.window_ms) == front.brain.typical_link_load.mean


def test_news_of_a_session_from_before_ends_the_doubt_whether_its_server_restarted() -> None:
    front = Front(settings=replace(SETTINGS, slow_start=SLOW_START))
    place = front.start(1)
    front.send(AttemptEnded(99, place.server, 0, Result.CONNECT_FAILED, True, 10.0, ()))
    server = front.brain.servers[place.server]
    front.note(1, place.server, NoticeKind.LINK, 0.5)  # may have been on its way before
    assert server.is_presumed_dead
    front.now += 2_000.0
    front.send(TimerFired(1))
    front.note(1, place.server, NoticeKind.LINK, 0.5)
    assert (
        not server.is_presumed_dead and front.brain.safety_rules.slow_start_factor(server, front.now) == 1.0
    )


def test_what_a_line_has_taken_since_a_report_is_kept_no_longer_than_that_report_tells() -> None:
    """An uplink may be told of once a day: what is put there since must not be summed up for ever."""
    line = LoadEstimator(1_000.0, TypicalLoad(), decay_ms=2_000.0)
    line.observe(0.4, observed_at=0.0)
    for step in range(1, 5_001):
        line.add_own_rate(step * 100.0, 1.0 if step % 2 else -1.0)
    assert len(line._own_changes) == 40  # of twice the fading
    line.observe(0.3, observed_at=498_000.0)
    line.add_own_rate(500_000.0, 100.0)
    assert line.load(500_000.0) == pytest.approx(0.4)
