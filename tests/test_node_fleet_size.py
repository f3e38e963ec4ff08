"""A node's work for one event of the feed does not grow with the servers that it knows."""

from __future__ import annotations

import json
from typing import Any

from fernweir.front.names import number_of
from fernweir.node.endpoint_feed import MAX_EVENT_BYTES, EndpointFeed
from fernweir.node.jsonl import LineReader
from tests.node_scene import Scene, run_scenario
from tests.step_counter import count_steps
from tests.test_fleet_size import MAX_GROWTH, MOST_SERVERS, USUAL_SERVERS

RACK_SIZE = 10


def line(number: int, status: str = "up", generation: int = 1) -> dict[str, Any]:
    return {
        "name": f"s-{generation:02x}{number:06x}",
        "address": f"127.90.{number // 200}.{number % 200 + 1}:5080",
        "zone": "z",
        "type": "box",
        "group": number // RACK_SIZE,
        "status": status,
        "weight": 1,
        "since_ms": 0,
    }


def event(number: int, lines: list[dict[str, Any]], *, is_snapshot: bool = False) -> bytes:
    members = {"index": number, "snapshot": is_snapshot, "endpoints": lines}
    return json.dumps({"n": number, "members": members}, separators=(",", ":")).encode()


def apply(scene: Scene, line: bytes) -> None:
    """Applies an event, and lets the controller handle it."""
    scene.node.endpoint_watcher._apply_line(line)
    scene.node.dispatcher._step()


def steps_of_change(servers: int) -> int:
    """Returns the steps for a server that drains, at a node that has state for all of them."""
    steps = 0

    async def scenario(scene: Scene) -> None:
        nonlocal steps
        apply(scene, event(2, [line(number) for number in range(servers)], is_snapshot=True))
        for number in scene.node.feed.names:
            assert scene.node.server_pool.get_or_create_endpoint(number) is not None
        change = event(3, [line(servers - 1, "draining")])
        with count_steps() as counter:
            apply(scene, change)
        steps = counter.steps

    run_scenario(scenario, servers=1)
    return steps


# Guards against a visit of each server that the node has a connection to, at each event of the feed.
def test_a_node_visits_only_the_servers_that_an_event_names() -> None:
    assert steps_of_change(USUAL_SERVERS) <= MAX_GROWTH * steps_of_change(10)


def test_a_node_decodes_a_change_alike_in_a_fleet_of_any_size() -> None:
    assert steps_of_change(MOST_SERVERS) <= MAX_GROWTH * steps_of_change(USUAL_SERVERS)


# Guards against the details of servers that are kept for good, although a complete list lacks them.
def test_servers_that_a_complete_list_lacks_are_dropped() -> None:
    async def scenario(scene: Scene) -> None:
        for generation in range(1, 5):
            lines = [line(number, generation=generation) for number in range(20)]
            apply(scene, event(generation + 1, lines, is_snapshot=True))
        assert len(scene.node.feed.names) == len(scene.node.feed.addresses) == 20

    run_scenario(scenario, servers=1)


# Guards against a list of the largest fleet that is refused for its length, so that no server is ever known.
def test_the_complete_list_of_the_largest_fleet_is_read_in_one_event() -> None:
    lines = [line(number) | {"zone": "z" * 100} for number in range(MOST_SERVERS)]
    data = event(1, lines, is_snapshot=True) + b"\n"
    reader, feed = LineReader(MAX_EVENT_BYTES), EndpointFeed(("box",), 0.0)
    segments = [data[start : start + 1_400] for start in range(0, len(data), 1_400)]
    (complete_line,) = [one for segment in segments for one in reader.feed(segment)]
    update = feed.apply_line(complete_line)
    assert update is not None and len(update.entries) == len(feed.names) == MOST_SERVERS


def test_a_node_that_starts_with_many_known_events_has_the_last_state() -> None:
    known = [event(1, [line(number) for number in range(USUAL_SERVERS)], is_snapshot=True)]
    for number in range(USUAL_SERVERS):
        known.append(event(len(known) + 1, [line(number, "draining")]))
        known.append(event(len(known) + 1, [line(number, "removed")]))
        known.append(event(len(known) + 1, [line(number, generation=2)]))

    async def scenario(scene: Scene) -> None:
        events = [json.loads(one) for one in known]
        feed = EndpointFeed(("box",), 0.0)
        for update in feed.apply_known_events(tuple(events), len(events)):
            scene.node.dispatcher.sessions.on_endpoint_list(scene.node.dispatcher.now(), update)
        scene.node.dispatcher._step()
        controller = scene.node.dispatcher.sessions.controller
        assert controller.server_table.ready_count == USUAL_SERVERS
        assert number_of(line(0, generation=2)["name"]) in controller.servers

    run_scenario(scenario, servers=1)
