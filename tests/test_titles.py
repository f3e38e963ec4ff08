"""Errors caused by requests themselves, which must not eject servers."""

from __future__ import annotations

from dataclasses import replace

from fernweir.interface import EndpointListKind, EndpointListUpdate, Reject, Result, ServerState
from tests.helpers import SETTINGS, FrontDriver, entry, placements

NO_HEALTH_CHECKS = replace(SETTINGS, may_check_health=False)


def test_a_title_that_no_server_has_ejects_no_server() -> None:
    front = FrontDriver(entry(1), entry(2, zone=1), entry(3, zone=2), settings=NO_HEALTH_CHECKS)
    front.start_session(1, title=5)
    first = placements(front.request_session(2, title=404))[0]
    second = placements(front.end_attempt(2, first.server, Result.ERROR))[0]
    assert second.server != first.server
    final_actions = front.end_attempt(2, second.server, Result.ERROR, attempt=1)
    assert not placements(final_actions), "a third server was attempted"
    assert [type(action) for action in final_actions] == [Reject]
    assert all(server.consecutive_failures == 0 for server in front.controller.servers.values())


def test_an_error_for_a_title_that_played_counts_against_its_server() -> None:
    front = FrontDriver(entry(1), entry(2, zone=1), settings=NO_HEALTH_CHECKS)
    front.start_session(1, title=5)
    first = placements(front.request_session(2, title=5))[0]
    front.end_attempt(2, first.server, Result.ERROR)
    assert front.controller.servers[first.server].consecutive_failures == 1


def test_a_request_that_fails_on_two_servers_reinstates_both() -> None:
    front = FrontDriver(entry(1), entry(2, zone=1), entry(3, zone=2), settings=NO_HEALTH_CHECKS)
    front.start_session(1, title=5)
    first = placements(front.request_session(2, title=5))[0]
    second = placements(front.end_attempt(2, first.server, Result.ERROR))[0]
    assert front.controller.servers[first.server].consecutive_failures == 1
    final_actions = front.end_attempt(2, second.server, Result.ERROR, attempt=1)
    assert [type(action) for action in final_actions] == [Reject]
    assert all(server.consecutive_failures == 0 for server in front.controller.servers.values())
    assert placements(front.request_session(3, title=5))[0].server == first.server


def test_the_number_of_stored_titles_is_bounded() -> None:
    front = FrontDriver(
        settings=replace(
            NO_HEALTH_CHECKS,
            streams_by_server_type=(10_000,),
            rung_rates_kbyte_s=(0.001, 0.002, 0.003, 0.004),
        )
    )
    for title in range(5000):
        front.start_session(title + 1, title=title)
        front.end_attempt(
            title + 1, front.controller.sessions[title + 1].server.server_id, Result.OK, is_final=True
        )  # type: ignore[union-attr]
    assert len(front.controller.played_titles) == 4096 and 4999 in front.controller.played_titles


def test_long_removed_servers_are_forgotten_unless_they_have_sessions() -> None:
    front = FrontDriver(entry(1), entry(2, zone=1), settings=NO_HEALTH_CHECKS)
    placement = front.start_session(1, title=5)
    for number in range(3, 300):
        added, removed = entry(number, zone=number % 4), entry(number - 1, state=ServerState.REMOVED)
        front.send(EndpointListUpdate(EndpointListKind.DELTA, number, (added, removed)), after=5_000.0)
    front.send(
        EndpointListUpdate(EndpointListKind.DELTA, 300, (entry(1, state=ServerState.REMOVED),)),
        after=90_000.0,
    )
    front.send(EndpointListUpdate(EndpointListKind.DELTA, 301, ()), after=90_000.0)
    assert len(front.controller.servers) < 4 and placement.server in front.controller.servers
    assert placement.server in (1, 2) and not set(front.controller.watched_servers) - set(
        front.controller.servers
    )
