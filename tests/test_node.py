"""The front node over loopback: viewers get one answer per request, servers one attempt at a time."""

from __future__ import annotations

import asyncio
import json
from dataclasses import replace
from random import Random
from typing import Any

import pytest

from fernweir.front.commands import SendHealthCheck, SessionReply
from fernweir.front.names import number_of
from fernweir.http.reset import reset
from fernweir.node.client_connection_state import ClientConnectionPhase
from fernweir.node.client_requests import ClientRequests
from fernweir.node.frames import Frame, FrameType, ParameterCode
from fernweir.node.jsonl import Message, encode_message
from tests.node_scene import (
    OFFER,
    PLAIN,
    MediaServer,
    ProtocolViolation,
    Scene,
    ViewerConnection,
    run_scenario,
)
from tests.sockets import until


async def establish_session(scene: Scene) -> tuple[ViewerConnection, Message, str]:
    """Returns a viewer, its set-up, and the server that carries its session."""
    viewer, request = await scene.viewer(), scene.setup()
    viewer.send(request)
    assert (await viewer.answer(request.id)).type == "answer"
    ((name, _),) = scene.setups()
    return viewer, request, name


async def send_open_set_up(scene: Scene) -> tuple[ViewerConnection, Message, MediaServer]:
    """Returns a viewer, its set-up, and the server that has received it but has not answered."""
    viewer, request = await scene.viewer(), scene.setup()
    for server in scene.servers.values():
        server.script = ["silent"]
    viewer.send(request)
    await until(lambda: scene.setups())
    ((name, _),) = scene.setups()
    return viewer, request, scene.servers[name]


def test_a_session_from_its_set_up_to_its_end_on_another_connection() -> None:
    async def scenario(scene: Scene) -> None:
        first, second = await scene.viewer(), await scene.viewer()
        offer = OFFER + '\u00e9\U0001f3ac \\ "\t'
        request = scene.setup(sdp=offer)
        first.write(encode_message(request)[:40])
        first.write(encode_message(request)[40:])
        answer = await first.answer(request.id)
        ((name, frame),) = scene.setups()
        assert answer.sdp == f"{name} {request.id}\r\n"
        assert (
            frame.text_parameter(ParameterCode.DESCRIPTION) == offer
            and frame.text_parameter(ParameterCode.TITLE) == "7f3a9c21e0b4d655"
        )
        assert (
            frame.text_parameter(ParameterCode.CLASS) == "film"
            and 0 < int(frame.text_parameter(ParameterCode.WAIT)) <= 500
        )
        other = scene.setup(left="4060")  # slightly more than the deadline of its class
        second.send(other)
        await second.answer(other.id)
        first.close()
        await until(lambda: scene.node.session_ends.connection_by_session.get(request.id) is None)
        server = scene.servers[name]
        server.send_frame(Frame(FrameType.RELEASE, request.id, {ParameterCode.CAUSE: bytes((16,))}))
        await until(lambda: request.id in scene.ends)  # on the connection of the other viewer
        assert scene.ends[request.id].cause == 16 and second.messages[-1].id == request.id
        second.send(Message("release", other.id, cause=16))  # the viewer ends the other session
        await until(lambda: any(one == (other.id, 16) for one in scene.servers[name].releases))
        await until(lambda: not scene.node.dispatcher.sessions.session_count)
        assert other.id not in scene.ends

    run_scenario(scenario)


def test_what_played_at_the_start_is_held_steered_and_ended() -> None:
    async def scenario(scene: Scene) -> None:
        viewer = await scene.viewer()
        extras = "home:0;copies:4;top:3;viewer:00000000b4d65521;at:s-1"
        request, strange = scene.setup(left="4294967", extras=extras), scene.setup(extras=extras[:-1] + "9")
        viewer.send(request, request, strange)
        await until(lambda: strange.id in scene.answers)  # an unknown server: the session has ended
        server = scene.servers["s-1"]
        await until(lambda: server.writers)  # the node connects to receive messages of the session
        note = {ParameterCode.NOTE: b"level", ParameterCode.LEVEL: b"3"}
        server.send_frame(Frame(FrameType.NOTE, request.id, note))
        held = scene.node.dispatcher.sessions.session(request.id)
        assert held is not None
        await until(lambda: held.rung == 3)
        scene.answers[request.id] = Message("answer", request.id)
        server.send_frame(Frame(FrameType.RELEASE, request.id, {ParameterCode.CAUSE: bytes((41,))}))
        await until(lambda: request.id in scene.ends)
        assert not scene.setups() and scene.ends[request.id].cause == 41

    run_scenario(scenario)


FAILS = ["noise", "empty", "binary", "reset", "47", "34", "102", "half"]


@pytest.mark.parametrize("move", [*FAILS, "41"])
def test_a_set_up_that_fails_is_tried_elsewhere_and_answered_once(move: str) -> None:
    async def scenario(scene: Scene) -> None:
        viewer = await scene.viewer()
        known = scene.setup()
        viewer.send(known)  # the title is known to be playing from now on
        await viewer.answer(known.id)
        ((head, _),) = scene.setups()
        scene.servers[head].script = [move]
        request = scene.setup()
        viewer.send(request)
        assert (await viewer.answer(request.id)).type == "answer"
        there = [name for name, frame in scene.setups() if frame.session == request.id]
        assert len(there) == 2 and there[0] != there[1]
        assert (await viewer.answer(known.id)).type == "answer" and known.id not in scene.ends
        await until(
            lambda: request.id not in scene.servers[head].active_sessions
        )  # an answer may have been damaged
        # The process was alive throughout, so the controller must not presume that it restarted cold.
        assert scene.controller_server(head).is_presumed_dead is (move == "41")

    run_scenario(scenario)


def test_a_reset_while_connecting_does_not_mark_the_server_as_failed() -> None:
    async def scenario(scene: Scene) -> None:
        viewer, request = await scene.viewer(), scene.setup()
        loop, resets = scene.node.dispatcher.loop, [2]
        connect = loop.create_connection

        async def reset_first(*args: Any, **more: Any) -> Any:
            if resets[0]:
                resets[0] -= 1
                raise ConnectionResetError(104, "Connect call failed")
            return await connect(*args, **more)

        loop.create_connection = reset_first  # type: ignore[method-assign]
        viewer.send(request)
        assert (await viewer.answer(request.id)).type == "answer" and not resets[0]
        assert not any(scene.controller_server(name).is_presumed_dead for name in scene.servers)

    run_scenario(scenario)


@pytest.mark.parametrize(("broken", "lives"), [(2, True), (9, False)])
def test_a_health_check_whose_connection_breaks_is_sent_again(broken: int, lives: bool) -> None:
    async def scenario(scene: Scene) -> None:
        server, known = scene.servers["s-1"], scene.controller_server("s-1")
        server.pings_to_break = broken
        known.is_checking_health = True
        scene.node.server_transport.check_health(SendHealthCheck(number_of("s-1")))
        await until(lambda: not known.is_checking_health)
        assert server.pings == 3 and bool(known.consecutive_failures) is not lives

    run_scenario(scenario)


def test_duplicate_and_unknown_answers_are_ignored() -> None:
    async def scenario(scene: Scene) -> None:
        viewer = await scene.viewer()
        for server in scene.servers.values():
            server.script = ["twice"] * 4
        requests = [scene.setup() for _ in range(4)]
        viewer.send(*requests)
        for request in requests:
            assert (await viewer.answer(request.id)).type == "answer"
        assert len(scene.setups()) == 4 and scene.node.dispatcher.sessions.session_count == 4

    run_scenario(scenario)


def test_a_server_whose_process_ends_ends_its_sessions_and_one_that_reconnects_does_not() -> None:
    async def scenario(scene: Scene) -> None:
        _viewer, request, name = await establish_session(scene)
        server = scene.servers[name]
        for writer in server.writers:
            writer.transport.abort()
        server.writers.clear()
        await until(lambda: server.writers)  # the node reconnects to receive messages
        assert scene.node.dispatcher.sessions.session_count == 1
        server.die()
        await until(lambda: request.id in scene.ends)
        assert (
            scene.controller_server(name).is_presumed_dead
            and not scene.node.dispatcher.sessions.session_count
        )

    run_scenario(scenario)


def test_sessions_of_an_unreachable_machine_end_and_viewers_are_notified() -> None:
    async def scenario(scene: Scene) -> None:
        viewer, request, name = await establish_session(scene)
        silent, loop = scene.servers[name], scene.node.dispatcher.loop
        silent.script = ["34"]
        viewer.send(other := scene.setup())
        assert (await viewer.answer(other.id)).type == "answer"  # at another server
        connect = loop.create_connection

        async def cut_off(
            made: Any, *there: Any
        ) -> Any:  # existing connections stay, new connects stay pending
            return await (asyncio.Event().wait() if there == silent.address else connect(made, *there))

        loop.create_connection = cut_off  # type: ignore[method-assign,assignment]
        await until(lambda: request.id in scene.ends)
        assert scene.ends[request.id].cause == 41 and scene.controller_server(name).is_presumed_dead
        assert other.id not in scene.ends and scene.node.dispatcher.sessions.session_count == 1
        viewer.send(third := scene.setup())
        assert (await viewer.answer(third.id)).type == "answer"
        assert len(silent.setups) == 2

    run_scenario(scenario, settings=replace(PLAIN, report_interval_ms=200.0, report_delay_ms=100.0))


@pytest.mark.parametrize("late_s", [0.6, 5.0])  # past the attempt timeout; past the viewer deadline
def test_an_answer_and_its_timeout_in_one_iteration_give_one_answer(late_s: float) -> None:
    async def scenario(scene: Scene) -> None:
        viewer, request, server = await send_open_set_up(scene)
        loop = scene.node.dispatcher.loop
        time = loop.time
        server.finish(request.id)  # unread in the node's socket while all timers expire
        loop.time = lambda: time() + late_s  # type: ignore[method-assign]
        assert (await viewer.answer(request.id)).type == "answer"
        assert len(scene.setups()) == 1 and not server.releases
        assert (
            scene.node.dispatcher.sessions.session_count == 1 and not scene.node.client_requests.open_requests
        )

    run_scenario(scenario)


@pytest.mark.parametrize("first", ["viewer", "server"])
def test_a_release_that_crosses_the_answer_leaves_no_session_at_the_server(first: str) -> None:
    async def scenario(scene: Scene) -> None:
        viewer, request, server = await send_open_set_up(scene)
        actions = [
            lambda: viewer.send(Message("release", request.id, cause=16)),
            lambda: server.finish(request.id),
        ]
        for action in actions if first == "viewer" else reversed(actions):
            action()
        await until(lambda: (request.id, 16) in server.releases)
        assert not scene.node.dispatcher.sessions.session_count and request.id not in scene.ends
        assert len(scene.setups()) == 1 and not scene.node.client_requests.open_requests

    run_scenario(scenario)


@pytest.mark.parametrize("first", ["viewer", "server"])
def test_releases_by_both_sides_in_one_iteration_are_no_error_of_the_viewer(first: str) -> None:
    async def scenario(scene: Scene) -> None:
        viewer, request, name = await establish_session(scene)
        server = scene.servers[name]
        end = Frame(FrameType.RELEASE, request.id, {ParameterCode.CAUSE: bytes((16,))})
        actions = [
            lambda: viewer.send(Message("release", request.id, cause=16)),
            lambda: server.send_frame(end),
        ]
        for action in actions if first == "viewer" else reversed(actions):
            action()
        await until(lambda: not scene.node.dispatcher.sessions.session_count)
        viewer.send(Message("ping", "0" * 15 + "1", cause=0))
        await until(lambda: any(one.type == "pong" for one in viewer.messages))
        assert all(one.cause == 16 for one in viewer.messages if one.type == "release")

    run_scenario(scenario)


def test_an_answer_and_a_release_after_the_attempt_timeout_are_ignored() -> None:
    async def scenario(scene: Scene) -> None:
        viewer, request, server = await send_open_set_up(scene)
        answer = Frame(FrameType.ANSWER, request.id, {ParameterCode.DESCRIPTION: b"late\r\n"})
        server.frames_on_eof = [
            answer,
            Frame(FrameType.RELEASE, request.id, {ParameterCode.CAUSE: bytes((16,))}),
        ]
        await until(lambda: len(scene.setups()) == 2)  # elsewhere
        second = next(one for one in scene.servers.values() if one.open_set_ups)
        await until(lambda: not server.writers)  # the late messages were written before the connection ended
        second.finish(request.id)
        assert (await viewer.answer(request.id)).sdp == f"{second.name} {request.id}\r\n"
        await until(lambda: not scene.node.server_pool.endpoints[number_of(server.name)].connections)
        assert scene.node.dispatcher.sessions.session_count == 1 and request.id not in scene.ends

    run_scenario(scenario)


@pytest.mark.parametrize("how", ["parting", "reset"])
def test_a_session_end_that_crosses_the_close_is_received(how: str) -> None:
    async def scenario(scene: Scene) -> None:
        viewer = await scene.viewer()
        established, late = scene.setup(), scene.setup()
        viewer.send(established)
        await viewer.answer(established.id)
        ((name, _),) = scene.setups()
        server = scene.servers[name]
        end = Frame(FrameType.RELEASE, established.id, {ParameterCode.CAUSE: bytes((16,))})
        server.script = ["silent"]
        viewer.send(late)  # on the same connection, which is closed by the timeout
        await until(lambda: late.id in server.open_set_ups)
        if how == "parting":
            server.frames_on_eof = [end]
        else:
            server.open_set_ups.clear()
            server.frames_on_connect = [end]
            server.writers[0].transport.abort()
        await until(lambda: established.id in scene.ends)
        assert (await viewer.answer(late.id)).type == "answer"

    run_scenario(scenario)


def test_a_withdrawn_request_gets_no_answer_and_its_attempt_is_released() -> None:
    async def scenario(scene: Scene) -> None:
        viewer = await scene.viewer()
        for server in scene.servers.values():
            server.script = ["silent"] * 200
        requests = [scene.setup() for _ in range(40)]
        viewer.send(*requests)
        await until(lambda: scene.setups())
        viewer.send(*(Message("release", request.id, cause=16) for request in requests))  # in one read
        await until(lambda: not scene.node.dispatcher.sessions.session_count)
        await until(lambda: not any(server.open_set_ups for server in scene.servers.values()))
        assert not scene.answers and not scene.node.client_requests.open_requests

    run_scenario(scenario)


@pytest.mark.parametrize("end", ["answer", "34", "47"])
def test_a_half_closed_viewer_is_answered_by_the_open_attempt_and_no_other_starts(end: str) -> None:
    async def scenario(scene: Scene) -> None:
        viewer, request, server = await send_open_set_up(scene)
        viewer._writer.write_eof()
        (node_connection,) = scene.node.client_listener.connections
        await until(lambda: node_connection.state.phase is ClientConnectionPhase.HALF_CLOSED)
        server.perform(end, request.id, server.open_set_ups[request.id])
        assert (await viewer.answer(request.id)).type == ("answer" if end == "answer" else "release")
        await until(lambda: viewer.closed)  # the node closes at once after the last reply
        assert scene.node.dispatcher.sessions.session_count == (end == "answer") and len(scene.setups()) == 1
        assert end == "answer" or viewer.messages[0].cause == 34

    run_scenario(scenario)


def test_a_broken_viewer_connection_withdraws_its_open_set_ups() -> None:
    async def scenario(scene: Scene) -> None:
        viewer, _wish, _server = await send_open_set_up(scene)
        reset(viewer._writer.transport)  # type: ignore[arg-type]
        await until(lambda: not scene.node.dispatcher.sessions.session_count)
        assert len(scene.setups()) == 1
        await until(lambda: not any(server.open_set_ups for server in scene.servers.values()))

    run_scenario(scenario)


BAD = [
    b"nothing\n",
    b"[1]\n",
    b"[" * 9000 + b"\n",
    b'{"type":"setup","id":"00000000000000aa","fields":{"left":1e999}}\n',
    b'{"type":"setup","id":"00000000000000aa","fields":{"left":NaN}}\n',
    b'{"type":"setup","id":"00000000000000aa","fields":{},"fields":{}}\n',
    b'{"type":"setup","id":"00000000000000aa","sdp":"\\ud800","fields":{}}\n',
    b'{"type":"setup","id":"\xff\xfe"}\n',
    b'{"type":"setup","fields":{}}\n',
    b'{"type":"setup","id":"12","fields":{}}\n',
    b'{"type":"answer","id":"00000000000000aa","fields":{}}\n',
    b'{"type":"release","id":"00000000000000aa","fields":{},"cause":16}\n',
    b'{"type":"setup","id":' + b"9" * 5000 + b"}\n",
    b"x" * 20_000,
]
FIELDS = [
    {"class": "gold"},
    {"class": 7},
    {"key": "7f3a"},
    {"left": "-5"},
    {"left": "nan"},
    {"left": "1e12"},
    {"left": "8001"},
    {"left": "soon"},
    {"extras": "home:0;copies:4;top:99"},
    {"extras": "home:-1;copies:4;top:3"},
    {"extras": "home:0;copies:0;top:3"},
    {"extras": "home:0;home:1;copies:4;top:3"},
    {"extras": "copies"},
]


def test_invalid_requests_are_rejected_or_closed_without_affecting_others() -> None:
    async def scenario(scene: Scene) -> None:
        good_viewer, request, server = await send_open_set_up(scene)
        for data in BAD:
            bad = await scene.viewer()
            bad.write(data)
            await until(lambda bad=bad: bad.messages or bad.closed)
            assert all(message.type == "release" for message in bad.messages)
            scene.answers.clear()
        for fields in FIELDS:
            bad, wrong = await scene.viewer(), scene.setup(**fields)
            bad.send(wrong)
            await until(lambda bad=bad: bad.messages or bad.closed)
            assert [(message.type, message.id) for message in bad.messages] == [("release", wrong.id)]
        server.finish(request.id)
        assert (await good_viewer.answer(request.id)).type == "answer"

    run_scenario(scenario, settings=PLAIN)


def test_a_reused_id_of_an_open_request_gets_one_unambiguous_answer() -> None:
    async def scenario(scene: Scene) -> None:
        viewer, second_viewer = await scene.viewer(), await scene.viewer()
        for server in scene.servers.values():
            server.script = ["silent"] * 2
        reused, doubled = scene.setup(), scene.setup()
        viewer.send(reused)
        await until(lambda: scene.setups())
        second_viewer.send(scene.setup(reused.id, sdp="other"))
        await until(lambda: second_viewer.closed)
        assert reused.id in scene.node.client_requests.open_requests and reused.id not in scene.answers
        third_viewer = await scene.viewer()
        third_viewer.send(doubled, scene.setup(doubled.id, sdp="other"))
        assert (await third_viewer.answer(doubled.id)).type == "release"
        await until(
            lambda: doubled.id not in [id for server in scene.servers.values() for id in server.open_set_ups]
        )
        ((server, writer),) = [(s, w) for s in scene.servers.values() for w in s.open_set_ups.values()]
        server.perform("answer", reused.id, writer)
        assert (await viewer.answer(reused.id)).type == "answer"

    run_scenario(scenario)


def test_a_connection_survives_occasional_errors() -> None:
    async def scenario(scene: Scene) -> None:
        viewer, request, server = await send_open_set_up(scene)
        for _ in range(5):  # with an open request none of them ends the connection
            viewer.send(wrong := scene.setup(left="0"))
            assert (await viewer.answer(wrong.id)).type == "release"
        server.finish(request.id)
        assert (await viewer.answer(request.id)).type == "answer" and not viewer.closed
        for number in range(3):  # nor do occasional ones
            viewer.send(wrong := scene.setup(left="0"))
            assert (await viewer.answer(wrong.id)).type == "release"
            viewer.send(good := scene.setup())
            assert (await viewer.answer(good.id)).type == "answer", number
        viewer.send(*(scene.setup(left="0") for _ in range(3)))
        await until(lambda: viewer.closed)

    run_scenario(scenario)


def test_silent_connections_are_evicted_for_active_ones() -> None:
    async def scenario(scene: Scene) -> None:
        silent_viewers = [await scene.viewer() for _ in range(60)]
        good_viewer = await scene.viewer()
        request = scene.setup()
        good_viewer.send(request)
        assert (await good_viewer.answer(request.id)).type == "answer"
        more = [await scene.viewer() for _ in range(60)]
        await until(lambda: sum(one.closed for one in silent_viewers) >= 29)
        other = scene.setup()
        good_viewer.send(other)
        assert (await good_viewer.answer(other.id)).type == "answer"
        assert len(scene.node.client_listener.admission) <= 32 and not good_viewer.closed
        for one in silent_viewers + more:
            one.close()

    run_scenario(scenario, sockets=64)


def test_a_drain_is_obeyed_and_a_broken_feed_is_resubscribed_from_the_last_event() -> None:
    async def scenario(scene: Scene) -> None:
        await until(lambda: scene.feed.subscriptions == [1])
        viewer, request, name = await establish_session(scene)
        members = {"index": 2, "snapshot": False, "endpoints": [scene.line(name, "draining")]}
        half = json.dumps({"n": 2, "members": members}).encode()
        scene.feed.events.append({"n": 2, "members": members})
        scene.feed.writers[-1].write(half[:50])
        scene.feed.writers[-1].close()
        await until(lambda: scene.node.feed.last_sequence_number == 2)
        assert scene.feed.subscriptions == [1, 1]
        scene.feed.send_event(scene.feed.events[0])  # sent twice
        scene.feed.send_event(2)
        scene.feed.send_event(9)  # an event is missing
        await until(lambda: len(scene.feed.subscriptions) == 3)
        assert scene.feed.subscriptions[-1] == 2
        for _ in range(5):
            request = scene.setup()
            viewer.send(request)
            assert (await viewer.answer(request.id)).type == "answer"
        assert len(scene.servers[name].setups) == 1

    run_scenario(scenario)


def test_a_new_feed_address_is_used_and_an_unreadable_file_is_not() -> None:
    async def scenario(scene: Scene) -> None:
        await until(lambda: scene.feed.subscriptions == [1])
        scene.node._environment = {"ROUTER_CONFIG": "/nowhere/config.json"}
        scene.node.reload()
        assert (
            scene.node.endpoint_watcher.address == scene.feed.address and "not used" in scene.log.getvalue()
        )
        other = type(scene.feed)()
        await other.listen()
        scene.node.endpoint_watcher.change_address(other.address)
        scene.node.endpoint_watcher.change_address(other.address)  # twice in a row
        await until(lambda: other.writers)
        members = {"index": 2, "snapshot": False, "endpoints": [scene.line("s-0", "removed")]}
        other.add(members)
        await until(lambda: scene.node.feed.last_sequence_number >= 2)
        assert other.subscriptions[-1] == 1

    run_scenario(scenario)


def test_after_sigterm_new_requests_are_rejected_and_open_ones_answered() -> None:
    async def scenario(scene: Scene) -> None:
        viewer, request, server = await send_open_set_up(scene)
        scene.node.terminate()
        late = scene.setup()
        other = await scene.viewer()  # new connections are still accepted
        other.send(Message("ping", "0" * 15 + "1", cause=0), late)
        assert (await other.answer(late.id)).cause == 34
        assert other.messages[0].type == "pong" and other.messages[0].cause == 0
        server.finish(request.id)
        assert (await viewer.answer(request.id)).type == "answer"

    run_scenario(scenario)


def test_a_server_at_the_address_of_a_removed_one_inherits_no_sessions() -> None:
    async def scenario(scene: Scene) -> None:
        _viewer, request, name = await establish_session(scene)
        old = scene.servers[name]
        successor = scene.line(name) | {"name": "s-new"}
        scene.feed.add({"index": 2, "snapshot": False, "endpoints": [scene.line(name, "removed"), successor]})
        await until(lambda: scene.node.feed.last_sequence_number == 2)
        for writer in old.writers:
            writer.transport.abort()
        await until(lambda: request.id in scene.ends)
        await until(lambda: number_of(name) not in scene.node.server_pool.endpoints)
        unused = next(one for one in scene.servers if number_of(one) not in scene.node.server_pool.endpoints)
        scene.feed.add({"index": 3, "snapshot": False, "endpoints": [scene.line(unused, "removed")]})
        await until(lambda: scene.node.feed.last_sequence_number == 3)
        for one in (name, unused):
            number = number_of(one)
            assert (
                number not in scene.node.feed.names
                and number not in scene.node.dispatcher.sessions.endpoint_states
            )

    run_scenario(scenario)


def test_two_nodes_with_other_seeds_and_histories_place_a_title_alike() -> None:
    heads: list[list[str]] = []

    async def scenario(scene: Scene) -> None:
        if heads:  # the second node has another seed, and its servers were listed in another order
            scene.node.shutdown()
            names = dict(reversed(scene.servers.items()))
            cells = {name: scene.line(name) for name in scene.servers}
            scene.servers = names
            scene.line = lambda name, *_: cells[name]  # type: ignore[method-assign,assignment]
            scene.node = type(scene.node)(scene.config(seed=99), scene.node.log, {})
            scene.node.start()
            await until(lambda: scene.node.client_requests.is_ready)
        viewer, found = await scene.viewer(), []
        for title in range(12):
            request = scene.setup(key=f"{title:016x}")
            viewer.send(request)
            await viewer.answer(request.id)
            (name,) = [name for name, frame in scene.setups() if frame.session == request.id]
            found.append(name)
        heads.append(found)

    run_scenario(scenario, servers=4)
    run_scenario(scenario, servers=4)
    assert heads[0] == heads[1] and len(set(heads[0])) > 1


def test_the_scene_sees_a_second_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    once = ClientRequests._on_reply

    def twice(self: ClientRequests, id: str, answer: SessionReply) -> None:
        connection = self.open_requests[id].connection
        once(self, id, answer)
        connection.send_message(Message("answer", id, sdp="again"))

    monkeypatch.setattr(ClientRequests, "_on_reply", twice)

    async def scenario(scene: Scene) -> None:
        viewer, request = await scene.viewer(), scene.setup()
        viewer.send(request)
        await until(lambda: len(viewer.messages) == 2)

    with pytest.raises(ProtocolViolation):
        run_scenario(scenario)


@pytest.mark.parametrize("seed", range(16))
def test_after_random_faults_each_request_has_one_answer_and_nothing_is_left_over(seed: int) -> None:
    """Random events in one iteration: the sessions of the node and of the servers stay identical."""
    rng = Random(seed)
    moves = ["answer"] * 4 + ["silent", "twice", *FAILS]

    async def scenario(scene: Scene) -> None:
        viewers = [await scene.viewer() for _ in range(3)]
        unanswered: dict[str, ViewerConnection] = {}  # requests that have no answer yet
        given_up: set[str] = set()
        servers = list(scene.servers.values())

        async def step() -> None:
            server, choice = rng.choice(servers), rng.randrange(12)
            open_ids, established = sorted(server.open_set_ups), sorted(server.active_sessions)
            if choice < 5:
                server.script.append(rng.choice(moves))
                viewer, request = rng.choice(viewers), scene.setup(key=f"{rng.randrange(9):016x}")
                unanswered[request.id] = viewer
                viewer.send(request)
            elif choice == 5 and unanswered:
                given_up.add(withdrawn := rng.choice(sorted(unanswered)))
                unanswered.pop(withdrawn).send(Message("release", withdrawn, cause=16))
            elif choice == 6 and open_ids:
                server.finish(rng.choice(open_ids))
            elif choice == 7 and established:
                ended_id = rng.choice(established)
                server.active_sessions.remove(ended_id)
                end = Frame(FrameType.RELEASE, ended_id, {ParameterCode.CAUSE: bytes((16,))})
                server.frames_on_connect.append(end)
                for writer in server.writers[-1:]:
                    server.send_frame(end, writer)
            elif choice == 8 and server.writers:
                rng.choice(server.writers).transport.abort()
            elif choice == 9 and (crossing := [id for id in open_ids if id in unanswered]):
                given_up.add(crossed := rng.choice(crossing))
                server.finish(crossed)
                unanswered.pop(crossed).send(Message("release", crossed, cause=16))
            elif choice == 10 and rng.random() < 0.3:
                disconnected = viewers.pop(rng.randrange(3))
                reset(disconnected._writer.transport)  # type: ignore[arg-type]
                for id in [id for id, viewer in unanswered.items() if viewer is disconnected]:
                    del unanswered[id]
                viewers.append(await scene.viewer())
            elif (
                choice == 11 and server.refusals
            ):  # a late duplicate, when the session may be tried here again
                again, writer = server.refusals[-1]
                if not writer.transport.is_closing():
                    server.send_frame(again, writer)
            for _ in range(rng.randrange(3)):
                await asyncio.sleep(0)

        for _ in range(240):
            await step()
        for server in servers:
            server.script.clear()
        await until(
            lambda: unanswered.keys() <= scene.answers.keys() and not scene.node.client_requests.open_requests
        )
        held = scene.node.dispatcher.sessions.records
        await until(lambda: {*held()} == {id for server in servers for id in server.active_sessions})
        await until(lambda: not given_up & held().keys())
        assert not any(server.open_set_ups for server in servers)

    run_scenario(scenario, servers=1 + seed % 3)  # few servers, so that attempts may repeat


def test_a_client_that_does_not_read_is_disconnected() -> None:
    async def scenario(scene: Scene) -> None:
        _, writer = await asyncio.open_connection(*scene.node.client_listener.address)
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        ping = encode_message(Message("ping", "0" * 15 + "1", cause=0)) * 2000
        try:
            for _ in range(400):
                writer.write(ping)
                await writer.drain()
        except ConnectionError:
            pass
        await until(lambda: not len(scene.node.client_listener.admission))
        writer.close()

    run_scenario(scenario)
