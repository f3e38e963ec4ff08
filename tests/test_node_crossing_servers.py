"""Races on a node's connections to media servers, forced in either order."""

from __future__ import annotations

import json
import select
import selectors
import socket
from dataclasses import replace
from math import inf
from typing import Any

import pytest

from fernweir.node.connection_state import ConnectionPhase, ConnectionState
from fernweir.node.frames import Frame, FrameType, ParameterCode, encode_frame
from fernweir.node.jsonl import Message
from fernweir.node.liveness import CHECK_INTERVAL_MS
from tests.node_scene import PLAIN, FarLine, FarServer, FarViewer, Stage, staged


def release_descriptor(stage: Stage, fd: int) -> None:
    stage.loop.selected.held.discard(fd)


def wait_for_answer(stage: Stage, viewer: FarViewer, id: str) -> str:
    """Runs until the viewer has its answer. Returns the description, or the cause as text."""
    stage.loop.until(lambda: viewer.poll() is not None and id in stage.answers)
    return stage.answers[id].sdp or str(stage.answers[id].cause)


def line_of(stage: Stage, id: str) -> FarLine:
    """Runs until a media server has a set-up. Returns the connection on which it arrived last."""
    stage.loop.until(lambda: stage.sent_to(id))
    return stage.far[stage.sent_to(id)[-1]].line_of(id)


def deliver_frames(stage: Stage, line: FarLine, *frames: Frame) -> None:
    """Sends frames from a media server in one write, and runs until the node has handled them."""
    fd = stage.loop.near(line.sock)
    line.write(b"".join(map(encode_frame, frames)))
    stage.loop.arrived(fd)
    stage.loop.settle()


def send_feed_event(stage: Stage, *lines: dict[str, Any]) -> None:
    """Sends one event of the feed, and runs until the node has applied it."""
    (feed,) = stage.feed.poll()
    last = stage.node.feed.last_sequence_number + 1
    members = {"index": last, "snapshot": False, "endpoints": list(lines)}
    feed.write(json.dumps({"n": last, "members": members}).encode() + b"\n")
    stage.loop.until(lambda: stage.node.feed.last_sequence_number == last)


def test_a_connection_goes_onward_only() -> None:
    state = ConnectionState()
    state.drain()  # has no effect while connecting
    assert state.is_connecting and not state.may_write and not state.begin_close()
    assert state.open() and not state.open()
    assert state.may_start_request and state.may_write
    state.drain()
    assert state.may_write and not state.may_start_request and state.begin_close() and not state.begin_close()
    assert state.finish() and not state.finish()
    state.drain()
    assert state.phase is ConnectionPhase.CLOSED
    given_up = ConnectionState()
    assert given_up.finish() and not given_up.open() and not given_up.finish()


@pytest.mark.parametrize("turns", range(5))
def test_a_connect_timeout_in_each_iteration_of_a_connect(turns: int) -> None:
    """The connection is established in time and carries its set-up, or it is cancelled and carries none."""
    with staged(servers=2) as stage:
        viewer = stage.far_viewer()
        viewer.send(request := stage.setup())
        release_descriptor(stage, stage.hold_next_connect())
        stage.loop.turn(turns)
        stage.loop.jump(stage.node.server_pool.connect_timeout_s * 1000.0)
        stage.loop.turn(2)
        line = line_of(stage, request.id)
        stage.loop.settle()
        assert len(stage.sent_to(request.id)) == 1
        line.answer(request.id)
        assert wait_for_answer(stage, viewer, request.id) == f"{line.server.name} {request.id}\r\n"
        lines = [line for far in stage.far.values() for line in far.lines]
        given_up = "connect_failed" in stage.log.getvalue()
        assert given_up is (len(lines) == 2) and given_up is (turns < 2)
        assert not [one for one in lines if one is not line and one.received]


@pytest.mark.parametrize("how", ["release", "reset"])
def test_a_viewer_that_leaves_during_a_connect_leaves_no_attempt(how: str) -> None:
    with staged() as stage:
        viewer = stage.far_viewer()
        viewer.send(request := stage.setup())
        fd = stage.hold_next_connect()
        viewer.send(Message("release", request.id, cause=16)) if how == "release" else viewer.reset()
        stage.loop.until(lambda: not stage.node.dispatcher.sessions.session_count)
        stage.check_settled()  # no attempt or timer waits for the connection
        release_descriptor(stage, fd)
        stage.loop.advance(2_000.0)
        assert stage.sent_to(request.id) == []


@pytest.mark.parametrize("status", ["draining", "removed"])
def test_the_connect_to_a_server_taken_off_the_list_is_not_waited_for(status: str) -> None:
    with staged(servers=2) as stage:
        viewer = stage.far_viewer()
        viewer.send(request := stage.setup())
        fd = stage.hold_next_connect()
        ((server, endpoint),) = stage.node.server_pool.endpoints.items()
        name = stage.node.feed.names[server]
        send_feed_event(stage, stage.line(name, status))
        if status == "removed":
            release_descriptor(stage, fd)  # it is cancelled, and its descriptor is reused by the next one
        assert request.id not in endpoint.attempts  # ended although the connect is still in progress
        line = line_of(stage, request.id)  # elsewhere, with the first one held
        assert line.server.name != name
        release_descriptor(stage, fd)
        stage.loop.settle()
        line.answer(request.id)
        assert wait_for_answer(stage, viewer, request.id).startswith(line.server.name)
        assert len(stage.sent_to(request.id)) == 1


@pytest.mark.parametrize("first", ["stop", "up"])
def test_a_stop_during_a_connect_leaves_no_attempt_or_connection(first: str) -> None:
    stage = Stage()
    viewer = stage.far_viewer()
    viewer.send(stage.setup())
    release_descriptor(stage, stage.hold_next_connect())
    stage.loop.turn({"stop": 2, "up": 3}[first])
    stage.node.shutdown()
    stage.loop.settle()
    line = stage.far["s-0"].accept()
    assert line is not None
    stage.loop.until(lambda: line.poll() is not None and line.over)
    assert len(line.received) == (0 if first == "stop" else 1)
    for endpoint in stage.node.server_pool.endpoints.values():
        assert not endpoint.attempts and not endpoint.connections and not endpoint.broken_attempts
    stage.finish()


@pytest.mark.parametrize("how", ["end", "reset"])
@pytest.mark.parametrize("first", ["end", "set-up"])
def test_a_set_up_that_crosses_the_end_of_its_idle_connection(how: str, first: str) -> None:
    """A write that the kernel rejected never ran and is no server error; an accepted one may have run."""
    with staged(servers=2) as stage:
        viewer = stage.far_viewer()
        id, line = stage.establish_session(viewer)
        line.release(id, 16)
        stage.loop.until(lambda: viewer.poll() is not None and id in stage.ends)
        fd = stage.loop.near(line.sock)
        stage.loop.selected.held.add(fd)
        line.close() if how == "end" else line.reset()
        stage.loop.arrived(fd)
        if first == "end":
            release_descriptor(stage, fd)
            stage.loop.settle()
        viewer.send(request := stage.setup())
        if first == "set-up":
            stage.loop.until(lambda: stage.node.dispatcher.sessions.metrics.set_ups == 2)
            release_descriptor(stage, fd)
        new = line_of(stage, request.id)
        new.answer(request.id)
        assert wait_for_answer(stage, viewer, request.id) == f"{new.server.name} {request.id}\r\n"
        assert len(stage.sent_to(request.id)) == 1
        unknown = (how, first) == ("end", "set-up")  # it may have run: an error, and retried elsewhere
        assert ("set-up failed" in stage.log.getvalue()) is unknown
        assert (new.server is line.server) is not unknown


def test_a_set_up_whose_every_connection_breaks_before_it_is_written_never_ran() -> None:
    with staged(servers=2) as stage:
        viewer = stage.far_viewer()
        viewer.send(request := stage.setup())
        breaks = 0
        while "set-up failed" not in stage.log.getvalue():
            fd = stage.hold_next_connect()
            (server,) = stage.node.server_pool.endpoints
            line = stage.far[stage.node.feed.names[server]].accept()
            assert line is not None and breaks < 9
            line.reset()
            stage.loop.arrived(fd, events=select.POLLERR)
            release_descriptor(stage, fd)
            stage.loop.turn(4)
            breaks += 1
        assert '"result": "connect_failed"' in stage.log.getvalue() and breaks == 3
        new = line_of(stage, request.id)
        new.answer(request.id)
        assert wait_for_answer(stage, viewer, request.id) == f"{new.server.name} {request.id}\r\n"
        assert len(stage.sent_to(request.id)) == 1 and new.server is not line.server


@pytest.mark.parametrize("cause", [34, 47])
@pytest.mark.parametrize("word", ["release", "answer"])
@pytest.mark.parametrize("second", ["out", "stands"])
def test_a_late_message_of_an_attempt_is_not_attributed_to_the_next_attempt(
    cause: int, word: str, second: str
) -> None:
    """Both attempts have the same id; only their connections differ."""
    with staged() as stage:
        viewer = stage.far_viewer()
        id, line = stage.set_up(viewer)
        line.release(id, cause)
        stage.loop.until(lambda: len(stage.sent_to(id)) == 2)
        new = next((one for one in stage.far["s-0"].lines if one is not line), line)
        line.ended.clear()  # it ended the first attempt; the id now belongs to the second one
        late_frame = Frame(FrameType.RELEASE, id, {ParameterCode.CAUSE: bytes((cause,))})
        if word == "answer":
            late_frame = Frame(FrameType.ANSWER, id, {ParameterCode.DESCRIPTION: b"late\r\n"})
        if second == "out":
            deliver_frames(stage, line, late_frame)
            assert id in stage.node.client_requests.open_requests and len(stage.sent_to(id)) == 2
        new.answer(id)
        assert wait_for_answer(stage, viewer, id) == f"s-0 {id}\r\n"
        if second == "stands":
            deliver_frames(stage, line, late_frame)
        assert stage.node.dispatcher.sessions.session_count == 1
        new.release(id, 16)  # a message on its own connection is accepted
        stage.loop.until(lambda: viewer.poll() is not None and id in stage.ends)


def test_a_release_is_sent_on_the_connection_of_the_following_set_up() -> None:
    with staged() as stage:
        viewer = stage.far_viewer()
        other, busy = stage.set_up(viewer)  # an older connection with an open set-up
        id, line = stage.set_up(viewer)
        line.reset()  # the server may have set up the session
        stage.loop.until(lambda: len(stage.far["s-0"].setups()) == 3)
        new = stage.far["s-0"].line_of(id)
        assert [one.type for one in new.received] == [FrameType.RELEASE, FrameType.SETUP]
        new.answer(id)
        wait_for_answer(stage, viewer, id)
        busy.answer(other)
        wait_for_answer(stage, viewer, other)


@pytest.mark.parametrize("how", ["order", "reset"])
def test_the_last_idle_connection_of_a_server_with_sessions_stays_open(how: str) -> None:
    """However the server answers the close of the other one, no replacement is opened."""
    with staged(settings=replace(PLAIN, report_interval_ms=60_000.0)) as stage:
        stage.node.server_pool.idle_timeout_ms = 8_000.0  # idle before the silence timeout
        viewer = stage.far_viewer()
        (first, one), (second, other) = stage.set_up(viewer), stage.set_up(viewer)
        one.answer(first)
        other.answer(second)
        for id in (first, second):
            wait_for_answer(stage, viewer, id)
        stage.loop.jump(stage.node.server_pool.idle_timeout_ms * 0.6)
        stage.loop.settle()
        (endpoint,) = stage.node.server_pool.endpoints.values()
        assert [connection.is_usable for connection in endpoint.connections].count(True) == 1
        stage.loop.until(lambda: [line.poll() for line in (one, other)] and one.over != other.over)
        (one if one.over else other).close() if how == "order" else (one if one.over else other).reset()
        stage.loop.until(lambda: len(endpoint.connections) == 1)
        stage.loop.settle()
        assert stage.far["s-0"].accept() is None


def test_many_servers_of_a_node_with_few_descriptors_keep_to_their_part_of_them() -> None:
    """The longest unused connections close; viewers, the feed and servers with sessions keep theirs."""
    with staged(servers=6, sockets=18) as stage:
        viewer, servers = stage.far_viewer(), stage.node.server_pool
        servers.idle_timeout_ms = inf
        most = 0
        for title in range(8):
            requests = [stage.setup(key=f"{title:016x}") for _ in range(3)]
            viewer.send(*requests)  # a separate connection for each
            for id in [one.id for one in requests]:
                line = line_of(stage, id)
                line.answer(id)
                wait_for_answer(stage, viewer, id)
                if title:  # the first ones continue
                    line.release(id, 16)
            most = max(most, sum(len(one.connections) for one in servers.endpoints.values()))
            stage.loop.until(lambda: stage.node.dispatcher.sessions.session_count == 3)
        assert most > servers.descriptor_quota.max_server_connections == 8
        stage.loop.advance(2.5 * CHECK_INTERVAL_MS)
        for far in stage.far.values():
            for line in far.lines:
                if line.poll() is not None and line.over:
                    line.close()
        stage.loop.settle()
        endpoints = servers.endpoints.values()
        assert (
            sum(one.is_usable for endpoint in endpoints for one in endpoint.connections)
            <= servers.descriptor_quota.max_server_connections
        )
        assert all(
            any(one.is_usable for one in endpoint.connections)
            for endpoint in endpoints
            if endpoint.placed_sessions
        )


@pytest.mark.parametrize("asked", [False, True])
@pytest.mark.parametrize("connect_ms", [30.0, 2_000.0, 30_000.0])
@pytest.mark.parametrize("tell_ms", [0.0, 250.0, 13_000.0])
def test_a_session_end_at_a_silent_server_is_announced_in_time_for_any_settings(
    tell_ms: float, connect_ms: float, asked: bool
) -> None:
    """The machine vanished without notice, so the end of its sessions has to be announced within 8 s.

    The connect of a set-up, which may take as long as the settings allow, must not delay that.
    """
    with staged(settings=replace(PLAIN, report_interval_ms=tell_ms)) as stage:
        stage.node.server_pool.connect_timeout_s = connect_ms / 1000.0
        loop, viewer = stage.loop, stage.far_viewer()
        id, line = stage.establish_session(viewer)
        line.ended.add(id)
        last = loop.clock
        while stage.node.dispatcher.sessions.session(id) is not None:
            kept = loop.selected.get_map().values()
            loop.selected.held.update(one.fd for one in kept if one.events & selectors.EVENT_WRITE)
            loop.jump(25.0)
            loop.turn()
            assert loop.clock < last + 8.0
            if asked and loop.clock > last + 3.5:
                asked = False
                viewer.send(stage.setup(), stage.setup())  # the second one finds no free connection
                loop.until(lambda: len(stage.node.client_requests.open_requests) == 2)
        loop.until(lambda: viewer.poll() is not None and id in stage.ends)
        assert stage.ends[id].cause == 41
        loop.advance(4_000.0)  # the requests have their answers


@pytest.mark.parametrize("before", ["connecting", "idle"])
def test_a_server_at_a_new_address_gets_set_ups_there_only(before: str) -> None:
    with staged() as stage:
        viewer, old, new = stage.far_viewer(), stage.far["s-0"], FarServer("s-0")
        if before == "connecting":
            viewer.send(request := stage.setup())
            fd = stage.hold_next_connect()
        else:
            id, line = stage.establish_session(viewer)
            line.release(id, 16)
            stage.loop.until(lambda: viewer.poll() is not None and id in stage.ends)
        stage.far["s-0"] = stage.servers["s-0"] = new
        send_feed_event(stage, stage.line("s-0"))
        if before == "connecting":
            release_descriptor(stage, fd)
        else:
            viewer.send(request := stage.setup())
        line_of(stage, request.id).answer(request.id)
        wait_for_answer(stage, viewer, request.id)
        assert request.id in new.setups() and request.id not in old.setups()
        old.close()


def test_a_connection_to_a_successor_does_not_keep_a_session_of_a_removed_server() -> None:
    with staged() as stage:
        viewer = stage.far_viewer()
        id, line = stage.establish_session(viewer)
        line.ended.add(id)  # the process ends
        line.reset()
        fd = stage.hold_next_connect()  # to receive its messages; the new listener accepts it
        send_feed_event(stage, stage.line("s-0", "removed"), stage.line("s-0") | {"name": "s-new"})
        release_descriptor(stage, fd)
        stage.loop.until(lambda: viewer.poll() is not None and id in stage.ends)
        assert stage.ends[id].cause == 41
        assert not [one for one in stage.far["s-0"].lines if one is not line and one.received]


def received_types(line: FarLine) -> list[FrameType]:
    return [one.type for one in line.received]


def wait_for_second_attempt(stage: Stage, id: str, line: FarLine) -> FarLine:
    """Runs until a set-up is in flight a second time. Returns the connection of that attempt."""
    stage.loop.until(lambda: len(stage.sent_to(id)) == 2)
    (new,) = [one for far in stage.far.values() for one in far.lines if one is not line and id in one.setups]
    return new


def poll_together(stage: Stage, *fds: int) -> None:
    """Waits until all descriptors are ready, then polls them in this order in one iteration."""
    stage.loop.arrived(*fds)
    stage.loop.selected.first = list(fds)
    stage.loop.selected.held.difference_update(fds)
    stage.loop.turn()


@pytest.mark.parametrize("first", ["answer", "time"])
def test_a_duplicated_answer_and_its_timeout_give_one_result(first: str) -> None:
    with staged(servers=2) as stage:
        viewer = stage.far_viewer()
        id, line = stage.set_up(viewer)
        fd = stage.loop.near(line.sock)
        stage.loop.selected.held.add(fd)
        line.answer(id)
        line.answer(id)
        stage.loop.arrived(fd)
        (endpoint,) = stage.node.server_pool.endpoints.values()
        timer = endpoint.attempts[id].timer
        assert timer is not None
        stage.loop.clock = timer.when()
        if first == "time":
            stage.loop.turn()
            assert id not in endpoint.attempts
        poll_together(stage, fd)
        if first == "time":
            wait_for_second_attempt(stage, id, line).answer(id)
        wait_for_answer(stage, viewer, id)
        stage.loop.settle()
        assert stage.node.dispatcher.sessions.session_count == 1 and len(stage.sent_to(id)) == (
            1 if first == "answer" else 2
        )


@pytest.mark.parametrize("cause", [16, 31, 34, 41, 47, 99, 102])
@pytest.mark.parametrize("first", ["answer", "release"])
def test_an_answer_and_a_release_in_one_read_leave_no_session(first: str, cause: int) -> None:
    with staged(servers=2) as stage:
        viewer = stage.far_viewer()
        id, line = stage.set_up(viewer)
        frames = [
            Frame(FrameType.ANSWER, id, {ParameterCode.DESCRIPTION: b"one\r\n"}),
            Frame(FrameType.RELEASE, id, {ParameterCode.CAUSE: bytes((cause,))}),
        ]
        deliver_frames(stage, line, *(frames if first == "answer" else frames[::-1]))
        if first == "answer":  # the session was established and has ended
            assert wait_for_answer(stage, viewer, id) == "one\r\n"
            stage.loop.until(lambda: viewer.poll() is not None and id in stage.ends)
            assert stage.ends[id].cause == (16 if cause == 16 else 41)
            return
        new = wait_for_second_attempt(
            stage, id, line
        )  # the attempt ended, and the message behind it is ignored
        new.answer(id)
        assert wait_for_answer(stage, viewer, id) == f"{new.server.name} {id}\r\n"
        if cause in (16, 31, 99):  # these causes do not end a set-up, so it is released
            stage.loop.until(lambda: line.poll() is not None and FrameType.RELEASE in received_types(line))


@pytest.mark.parametrize("first", ["viewer", "server"])
def test_releases_by_viewer_and_server_in_one_iteration_end_the_session_once(first: str) -> None:
    with staged() as stage:
        viewer = stage.far_viewer()
        id, line = stage.establish_session(viewer)
        fds = [stage.loop.near(viewer.sock), stage.loop.near(line.sock)]
        stage.loop.selected.held.update(fds)
        viewer.send(Message("release", id, cause=16))
        line.release(id, 16)
        poll_together(stage, *(fds if first == "viewer" else fds[::-1]))
        stage.loop.settle()
        assert not stage.node.dispatcher.sessions.session_count and FrameType.RELEASE not in received_types(
            line
        )
        viewer.send(Message("ping", "0" * 16, cause=0))
        stage.loop.until(lambda: viewer.poll() is not None and viewer.messages[-1].type == "pong")
        assert not [one for one in viewer.messages if one.type == "release" and one.cause != 16]


@pytest.mark.parametrize("meets", ["set-up", "answer"])
def test_a_server_killed_in_the_iteration_of_a_set_up_or_an_answer(meets: str) -> None:
    """An answered session was established and has ended; an unanswered set-up is retried elsewhere."""
    with staged(servers=2) as stage:
        viewer = stage.far_viewer()
        id, line = stage.set_up(viewer)
        fd = stage.loop.near(line.sock)
        stage.loop.selected.held.add(fd)
        if meets == "answer":
            line.answer(id)
            stage.loop.arrived(fd)
        line.server.kill()
        stage.loop.arrived(fd, events=select.POLLHUP)
        poll_together(stage, fd)
        if meets == "answer":  # the kernel decides whether it is still read after the reset
            stage.loop.until(lambda: viewer.poll() or len(stage.sent_to(id)) == 2)
        if id not in stage.answers:
            new = wait_for_second_attempt(stage, id, line)
            new.answer(id)
            assert wait_for_answer(stage, viewer, id) == f"{new.server.name} {id}\r\n"
            return
        stage.loop.advance(250.0)  # a refused connection is proof, evaluated at the next upkeep
        stage.loop.until(lambda: viewer.poll() is not None and id in stage.ends)
        assert stage.ends[id].cause == 41 and len(stage.sent_to(id)) == 1


def test_a_late_release_after_the_session_connection_broke_leaves_no_session() -> None:
    """It is ambiguous which attempt the message belongs to, so the session ends on both sides."""
    with staged() as stage:
        viewer = stage.far_viewer()
        id, line = stage.set_up(viewer)
        line.release(id, 34)
        stage.loop.until(lambda: len(stage.sent_to(id)) == 2)
        (new,) = [one for one in stage.far["s-0"].lines if one is not line]
        line.ended.clear()
        new.answer(id)
        wait_for_answer(stage, viewer, id)
        fd = stage.loop.near(new.sock)
        new.reset()
        stage.loop.arrived(fd)
        stage.loop.settle()
        deliver_frames(stage, line, Frame(FrameType.RELEASE, id, {ParameterCode.CAUSE: bytes((34,))}))
        stage.loop.until(lambda: viewer.poll() is not None and id in stage.ends)
        stage.loop.until(lambda: not stage.far["s-0"].active_sessions())


@pytest.mark.parametrize("first", ["the refusal", "the session"])
def test_an_earlier_connection_refusal_does_not_end_sessions_adopted_later(first: str) -> None:
    """A new process listens there, and a session that the platform assigns to it belongs to it."""
    with staged() as stage:
        viewer, server = stage.far_viewer(), stage.far["s-0"]
        there = server.address
        server.kill()
        viewer.send(stage.setup())
        stage.loop.until(lambda: "connection refused" in stage.log.getvalue())
        plays = stage.setup(extras="home:0;copies:4;top:0;viewer:00000000b4d65521;at:s-0")
        if first == "the session":
            viewer.send(plays)
            stage.loop.until(lambda: stage.node.dispatcher.sessions.session(plays.id))
        stage.loop.advance(0.0 if first == "the refusal" else 300.0)
        server.listener = socket.create_server(there)
        server.listener.setblocking(False)
        if first == "the refusal":
            viewer.send(plays)
            stage.loop.until(lambda: stage.node.dispatcher.sessions.session(plays.id))
        stage.loop.advance(600.0)
        is_lost = first == "the session"  # a refused connection while the session is placed there is proof
        assert ("server lost" in stage.log.getvalue()) is is_lost
        assert (stage.node.dispatcher.sessions.session(plays.id) is None) is is_lost
