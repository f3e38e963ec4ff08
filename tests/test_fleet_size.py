"""A front's work for one event or request does not grow with the number of listed servers."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from fernweir.controller import Controller
from fernweir.controller_state import Server
from fernweir.interface import (
    Arrival,
    AttemptSucceeded,
    Endpoint,
    EndpointListKind,
    EndpointListUpdate,
    Place,
    ServerState,
    Settings,
)
from fernweir.load_estimator import LinkEstimator, TypicalLoad
from fernweir.server_table import ServerTable
from fernweir.uplink_capacity import UplinkDivision, UplinkEstimator
from tests.helpers import SETTINGS, entry, viewer
from tests.step_counter import count_steps

USUAL_SERVERS, MOST_SERVERS = 200, 3_200
RACK_SIZE = 10
# What issue 45 asks for at sixteen times the servers.
MAX_GROWTH = 1.5
MAX_FULL_LIST_GROWTH = 20.0


def fleet_settings(servers: int, fields: tuple[str, ...] = ("x0", "x1")) -> Settings:
    racks = servers // RACK_SIZE
    return replace(SETTINGS, rack_count=racks, zone_count=racks, report_fields=fields)


def fleet(servers: int) -> tuple[Endpoint, ...]:
    return tuple(entry(number, zone=number // RACK_SIZE) for number in range(servers))


def full(entries: tuple[Endpoint, ...]) -> EndpointListUpdate:
    return EndpointListUpdate(EndpointListKind.FULL, 1, entries)


def delta(*entries: Endpoint) -> EndpointListUpdate:
    return EndpointListUpdate(EndpointListKind.DELTA, 2, entries)


def controller_of(servers: int, fields: tuple[str, ...] = ("x0", "x1")) -> Controller:
    controller = Controller(fleet_settings(servers, fields), seed=7)
    controller.handle(0.0, [full(fleet(servers))])
    return controller


def steps_of_replacement(servers: int) -> int:
    """Returns the steps for a server that drains and is removed, and for its successor."""
    controller, replaced = controller_of(servers), fleet(servers)[-1]
    changes = [
        replace(replaced, state=ServerState.DRAINING),
        replace(replaced, state=ServerState.REMOVED),
        replace(replaced, server=servers, started_at=30.0),
    ]
    with count_steps() as counter:
        for number, change in enumerate(changes):
            controller.handle(10.0 * (number + 1), [delta(change)])
    return counter.steps


# Guards against the loop over all servers for each rack that left a node without answers during a deploy.
def test_a_replaced_server_costs_the_same_in_a_fleet_of_any_size() -> None:
    assert steps_of_replacement(MOST_SERVERS) <= MAX_GROWTH * steps_of_replacement(USUAL_SERVERS)


# Guards against a visit of all servers at each change while many removed ones are not forgotten yet.
def test_a_change_does_not_visit_the_servers_that_were_removed_before() -> None:
    def steps(servers: int) -> int:
        controller, entries = controller_of(servers), fleet(servers)
        for removed in entries[: servers // 2]:
            controller.handle(1.0, [delta(replace(removed, state=ServerState.REMOVED))])
        changed = replace(entries[-1], state=ServerState.DRAINING)
        with count_steps() as counter:
            controller.handle(30_000.0, [delta(changed)])
        return counter.steps

    assert steps(MOST_SERVERS) <= MAX_GROWTH * steps(USUAL_SERVERS)


@pytest.mark.parametrize("fields", [("x0", "x1"), ("x0",)])
def test_a_set_up_costs_the_same_in_a_fleet_of_any_size(fields: tuple[str, ...]) -> None:
    def steps(servers: int) -> int:
        controller = controller_of(servers, fields)
        with count_steps() as counter:
            for session in range(20):
                for action in controller.handle(
                    10.0 * session, [Arrival(viewer(session, first_zone=session, replicas=2))]
                ):
                    if isinstance(action, Place):
                        success = AttemptSucceeded(session, action.server, attempt=0, duration_ms=1.0)
                        controller.handle(10.0 * session, [success])
        assert sum(one.is_playing for one in controller.sessions.values()) == 20
        return counter.steps

    assert steps(MOST_SERVERS) <= MAX_GROWTH * steps(USUAL_SERVERS)


@pytest.mark.parametrize("is_first", [True, False])
def test_a_full_list_costs_as_much_as_it_is_long(is_first: bool) -> None:
    def steps(servers: int) -> int:
        controller, update = Controller(fleet_settings(servers), seed=7), full(fleet(servers))
        if not is_first:
            controller.handle(0.0, [update])
        with count_steps() as counter:
            controller.handle(10.0, [update])
        return counter.steps

    assert steps(MOST_SERVERS) <= MAX_FULL_LIST_GROWTH * steps(USUAL_SERVERS)


# --- the tables hold what a visit of all servers would find ---


class Fleet:
    """A table of servers under drawn changes, and the answers that a visit of all servers gives."""

    ZONES, RACKS, TOTAL_KBYTE_S = 6, 4, 1_000.0

    def __init__(self) -> None:
        self.division = UplinkDivision(self.RACKS, self.TOTAL_KBYTE_S)
        self.table = ServerTable(self.ZONES, self.division)
        self.typical = TypicalLoad()
        self.uplinks = [
            UplinkEstimator(self.division, rack, self.typical, 1_000.0, is_reported=False)
            for rack in range(self.RACKS)
        ]

    def change(self, number: int, state: ServerState, zone: int, weight: float, now: float) -> None:
        server = self.table.by_id.get(number)
        if server is None:
            rack = zone % self.RACKS
            link = LinkEstimator(weight, self.typical, 1_000.0)
            server = Server(number, link, self.uplinks[rack], 10, rack)
            self.table.add(server)
        self.table.set_state(server, state, zone, now)
        self.division.divide()

    def listed(self) -> list[Server]:
        return [one for one in self.table.by_id.values() if one.state is not ServerState.REMOVED]

    def check(self, first_zone: int, replicas: int) -> None:
        listed = self.listed()
        holders = [one for one in listed if (one.zone - first_zone) % self.ZONES < replicas]
        found = self.table.holders(first_zone, replicas)
        assert sorted(one.server_id for one in found) == sorted(one.server_id for one in holders)
        assert self.table.ready_count == sum(one.state is ServerState.READY for one in listed)
        if not listed:
            return
        total = sum(one.link.capacity_kbyte_s for one in listed)
        for rack, uplink in enumerate(self.uplinks):
            links = [one.link for one in listed if one.rack == rack]
            share = sum(link.capacity_kbyte_s for link in links) / total
            assert uplink.capacity_kbyte_s == pytest.approx(max(share * self.TOTAL_KBYTE_S, 1.0), rel=1e-9)
            assert set(uplink.member_links) == set(links)


@pytest.mark.parametrize("seed", range(8))
def test_the_tables_agree_with_a_visit_of_all_servers(seed: int) -> None:
    rng, world = random.Random(seed), Fleet()
    for step in range(400):
        number, now = rng.randrange(24), float(step)
        state = rng.choice([*ServerState, ServerState.READY])
        world.change(number, state, rng.randrange(world.ZONES), rng.choice([0.1, 1.0, 3.7, 1e15]), now)
        if rng.random() < 0.02:
            world.table.remove_unlisted(set(rng.sample(range(24), 6)), now)
            world.division.divide()
        for server in world.table.removed_before(now - 20.0):
            assert server.state is ServerState.REMOVED and server.removed_at < now - 20.0
            world.table.forget(server)
        removed = [one for one in world.table.by_id.values() if one.state is ServerState.REMOVED]
        assert all(one.removed_at >= now - 20.0 for one in removed)
        world.check(rng.randrange(2 * world.ZONES), rng.randrange(world.ZONES + 2))


def test_the_last_division_stays_while_no_server_is_listed() -> None:
    world = Fleet()
    world.change(1, ServerState.READY, 0, 3.0, 0.0)
    world.change(2, ServerState.READY, 1, 1.0, 0.0)
    world.change(2, ServerState.REMOVED, 1, 1.0, 1.0)
    world.change(1, ServerState.REMOVED, 0, 3.0, 2.0)
    assert (
        world.uplinks[0].capacity_kbyte_s == world.TOTAL_KBYTE_S and len(world.uplinks[0].member_links) == 1
    )
    world.change(2, ServerState.READY, 1, 1.0, 3.0)
    assert world.uplinks[0].capacity_kbyte_s == 1.0 and not world.uplinks[0].member_links
    assert world.uplinks[1].capacity_kbyte_s == world.TOTAL_KBYTE_S


def test_a_link_of_infinite_capacity_does_not_break_the_division() -> None:
    world = Fleet()
    world.change(1, ServerState.READY, 0, float("inf"), 0.0)
    world.change(2, ServerState.READY, 1, 1.0, 0.0)
    assert world.uplinks[0].capacity_kbyte_s == pytest.approx(world.TOTAL_KBYTE_S)
    assert world.uplinks[1].capacity_kbyte_s == 1.0
