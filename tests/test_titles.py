"""Requests that are at fault themselves: their errors are not laid at the servers' door."""

from __future__ import annotations

from dataclasses import replace

from fernweir.interface import EndpointListKind, EndpointListUpdate, Reject, Result, ServerState
from tests.helpers import SETTINGS, Front, entry, placed

ALONE = replace(SETTINGS, may_check_health=False)


def test_a_title_that_nobody_has_makes_no_server_a_suspect() -> None:
    front = Front(entry(1), entry(2, zone=1), entry(3, zone=2), settings=ALONE)
    front.start(1, title=5)
    first = placed(front.ask(2, title=404))[0]
    second = placed(front.end(2, first.server, Result.ERROR))[0]
    assert second.server != first.server
    after = front.end(2, second.server, Result.ERROR, attempt=1)
    assert not placed(after), "a third server was asked"
    assert [type(one) for one in after] == [Reject]
    assert all(server.consecutive_failures == 0 for server in front.brain.servers.values())


def test_an_error_on_a_title_that_played_still_counts_against_its_server() -> None:
    front = Front(entry(1), entry(2, zone=1), settings=ALONE)
    front.start(1, title=5)
    first = placed(front.ask(2, title=5))[0]
    front.end(2, first.server, Result.ERROR)
    assert front.brain.servers[first.server].consecutive_failures == 1


def test_a_request_that_two_servers_fail_alike_clears_both() -> None:
    front = Front(entry(1), entry(2, zone=1), entry(3, zone=2), settings=ALONE)
    front.start(1, title=5)
    first = placed(front.ask(2, title=5))[0]
    second = placed(front.end(2, first.server, Result.ERROR))[0]
    assert front.brain.servers[first.server].consecutive_failures == 1
    after = front.end(2, second.server, Result.ERROR, attempt=1)
    assert [type(one) for one in after] == [Reject]
    assert all(server.consecutive_failures == 0 for server in front.brain.servers.values())
    assert placed(front.ask(3, title=5))[0].server == first.server


def test_the_titles_remembered_are_bounded() -> None:
    front = Front(
        settings=replace(
            ALONE, streams_by_server_type=(10_000,), rung_rates_kbyte_s=(0.001, 0.002, 0.003, 0.004)
        )
    )
    for title in range(5000):
        front.start(title + 1, title=title)
        front.end(title + 1, front.brain.sessions[title + 1].server.server_id, Result.OK, closed=True)  # type: ignore[union-attr]
    assert len(front.brain.played_titles) == 4096 and 4999 in front.brain.played_titles


def test_servers_long_gone_are_forgotten_but_not_those_with_sessions() -> None:
    front = Front(entry(1), entry(2, zone=1), settings=ALONE)
    place = front.start(1, title=5)
    for number in range(3, 300):
        came, went = entry(number, zone=number % 4), entry(number - 1, state=ServerState.REMOVED)
        front.send(EndpointListUpdate(EndpointListKind.DELTA, number, (came, went)), after=5_000.0)
    front.send(
        EndpointListUpdate(EndpointListKind.DELTA, 300, (entry(1, state=ServerState.REMOVED),)),
        after=90_000.0,
    )
    front.send(EndpointListUpdate(EndpointListKind.DELTA, 301, ()), after=90_000.0)
    assert len(front.brain.servers) < 4 and place.server in front.brain.servers
    assert place.server in (1, 2) and not set(front.brain.watched_servers) - set(front.brain.servers)
