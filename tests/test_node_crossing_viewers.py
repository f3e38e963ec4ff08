"""Races on viewer connections, forced: disconnects, evictions, and messages that arrive too late."""

from __future__ import annotations

import os
import select
import socket
from dataclasses import replace
from random import Random

import pytest

from fernweir.interface import Idempotency
from fernweir.node.client_connection import ClientConnection
from fernweir.node.client_connection_state import (
    DELIVERY_CONFIRMATION_MS,
    ClientConnectionPhase,
    ClientConnectionState,
)
from fernweir.node.client_listener import IDLE_SWEEP_INTERVAL_S
from fernweir.node.frames import Frame, FrameType, ParameterCode
from fernweir.node.jsonl import Message, encode_message
from fernweir.node.limits import IDLE_TIMEOUT_MS, ConnectionAdmission
from tests.helpers import SETTINGS
from tests.node_scene import PLAIN, FarViewer, Stage, staged

SWEEP_MS = IDLE_SWEEP_INTERVAL_S * 1000.0
WAYS = ["orderly", "full", "reset", "release"]


def disconnect(viewer: FarViewer, how: str, *ids: str) -> None:
    """Disconnects. After `orderly` the viewer may still read, after `full` it does not."""
    if how == "orderly":
        viewer.end()
    elif how == "full":
        viewer.close()
    elif how == "reset":
        viewer.reset()
    else:
        viewer.send(*(Message("release", id, cause=16) for id in ids))


def node_descriptor(stage: Stage, viewer: FarViewer) -> int:
    return stage.loop.near(viewer.sock)


def node_connections(stage: Stage) -> list[ClientConnection]:
    """Returns the node's ends of the viewer connections."""
    return list(stage.node.client_listener.connections)


def wait_for_answer(stage: Stage, viewer: FarViewer, id: str) -> Message:
    stage.loop.until(lambda: viewer.poll() is not None and id in stage.answers)
    return stage.answers[id]


def send_and_hold_connect(stage: Stage, viewer: FarViewer, *requests: Message) -> int:
    """Sends requests, and keeps the connect that they cause pending. Returns its descriptor."""
    viewer.send(*requests)
    making = stage.hold_next_connect()
    stage.loop.settle()
    return making


def released(stage: Stage, id: str) -> bool:
    stage.poll()
    return any(id in server.released for server in stage.far.values())


# --- disconnected viewers ---


def test_a_request_read_just_before_the_end_of_stream_is_rejected_and_not_forwarded() -> None:
    with staged() as stage:
        first = stage.far_viewer()
        stage.establish_session(first)  # a free connection: a placed request is written at once
        viewer = stage.far_viewer()
        fd, request = node_descriptor(stage, viewer), stage.setup()
        stage.loop.selected.held.add(fd)
        viewer.send(request)
        viewer.end()
        stage.loop.arrived(fd, events=select.POLLRDHUP)
        stage.loop.selected.held.clear()
        answer = wait_for_answer(stage, viewer, request.id)
        assert (answer.type, answer.cause) == ("release", 34)
        stage.loop.settle()
        assert stage.sent_to(request.id) == []
        stage.loop.until(lambda: viewer.poll() is not None and viewer.over)


@pytest.mark.parametrize("size", [1, 300])  # 300 exceed one read, and the end follows the last
def test_requests_and_a_disconnect_in_one_iteration_are_not_forwarded(size: int) -> None:
    for how in WAYS:
        with staged() as stage:
            stage.establish_session(stage.far_viewer())
            viewer = stage.far_viewer()
            fd, requests = node_descriptor(stage, viewer), [stage.setup() for _ in range(size)]
            stage.loop.selected.held.add(fd)
            viewer.send(*requests)
            disconnect(viewer, how, *(request.id for request in requests))
            stage.loop.arrived(fd)
            stage.loop.selected.held.clear()
            stage.loop.settle()
            sent = [request.id for request in requests if stage.sent_to(request.id)]
            assert sent == [], how
            if how == "orderly":
                stage.loop.until(lambda v=viewer: v.poll() is not None and v.over)
                assert all(stage.answers[request.id].cause == 34 for request in requests)


@pytest.mark.parametrize("how", WAYS)
@pytest.mark.parametrize("first", ["viewer", "server"])
def test_the_request_of_a_viewer_that_leaves_during_a_connect_is_not_forwarded(how: str, first: str) -> None:
    with staged() as stage:
        viewer = stage.far_viewer()
        fd, request = node_descriptor(stage, viewer), stage.setup()
        server_fd = send_and_hold_connect(stage, viewer, request)
        stage.loop.selected.held.add(fd)
        disconnect(viewer, how, request.id)
        stage.loop.arrived(fd)
        if first == "viewer":
            stage.loop.selected.held.discard(fd)
            stage.loop.settle()
            assert stage.sent_to(request.id) == []
        stage.loop.selected.first = [fd, server_fd] if first == "viewer" else [server_fd, fd]
        stage.loop.selected.held.clear()  # for `server`: established in the same iteration, and seen first
        stage.loop.advance(300)
        assert stage.sent_to(request.id) == []
        if how == "orderly":
            assert wait_for_answer(stage, viewer, request.id).cause == 34


@pytest.mark.parametrize("how", WAYS)
@pytest.mark.parametrize("where", ["before its batch", "as its connection is up"])
def test_the_request_of_a_viewer_that_leaves_during_a_loop_stall_is_not_forwarded(
    how: str, where: str
) -> None:
    """Callbacks that run late in the same iteration forward nothing for a disconnected viewer."""
    with staged() as stage:
        if where == "before its batch":
            stage.establish_session(
                stage.far_viewer()
            )  # a connection is free: it would be written in that turn
        viewer, request = stage.far_viewer(), stage.setup()
        fd = node_descriptor(stage, viewer)
        if where == "before its batch":
            viewer.send(request)
            stage.loop.arrived(fd)
            while request.id not in stage.node.client_requests.open_requests:
                stage.loop.turn()
        else:
            server_fd = send_and_hold_connect(stage, viewer, request)
            stage.loop.selected.held.discard(server_fd)
            stage.loop.turn(2)  # established, which is reported at the start of the next iteration
        disconnect(viewer, how, request.id)
        stage.loop.arrived(fd)
        stage.loop.jump(400)
        stage.loop.settle()
        assert stage.sent_to(request.id) == []
        if how == "orderly":
            assert wait_for_answer(stage, viewer, request.id).cause == 34


def test_a_request_that_expires_during_a_loop_stall_is_not_forwarded() -> None:
    """The connection to the server is established, which is reported before timers run."""
    with staged() as stage:
        viewer, request = stage.far_viewer(), stage.setup(left="1000")
        server_fd = send_and_hold_connect(stage, viewer, request)
        stage.loop.selected.held.discard(server_fd)
        stage.loop.turn(2)
        stage.loop.jump(1_001)
        assert wait_for_answer(stage, viewer, request.id).cause == 41  # not in time
        assert stage.sent_to(request.id) == []


def test_a_client_that_withdraws_its_request_before_an_invalid_line_is_closed() -> None:
    """All in one read with an open request, so that nothing is left for the transport to read."""
    with staged() as stage:
        viewer, request = stage.far_viewer(), stage.setup()
        send_and_hold_connect(stage, viewer, request)
        viewer.write(encode_message(Message("release", request.id, cause=16)) + b"nothing\n")
        stage.loop.until(lambda: viewer.poll() is not None and viewer.over)
        assert [one.cause for one in viewer.messages] == [111] and len(
            stage.node.client_listener.admission
        ) == 0


@pytest.mark.parametrize("how", WAYS)
@pytest.mark.parametrize("first", ["viewer", "server"])
@pytest.mark.parametrize("effect", [Idempotency.IDEMPOTENT, Idempotency.NOT_IDEMPOTENT])
def test_a_viewer_that_leaves_as_its_attempt_fails_gets_no_other_attempt(
    how: str, first: str, effect: Idempotency
) -> None:
    settings = replace(PLAIN, classes=tuple(replace(one, idempotency=effect) for one in PLAIN.classes))
    with staged(3, settings) as stage:
        viewer = stage.far_viewer()
        id, line = stage.set_up(viewer)
        fd, server_fd = node_descriptor(stage, viewer), stage.loop.near(line.sock)
        stage.loop.selected.held |= {fd, server_fd}
        disconnect(viewer, how, id)
        line.release(id, 34)  # full: it never ran, so it would be retried elsewhere at once
        stage.loop.arrived(fd, server_fd)
        stage.loop.selected.first = [fd, server_fd] if first == "viewer" else [server_fd, fd]
        stage.loop.selected.held.clear()
        stage.loop.advance(500)
        assert len(stage.sent_to(id)) == 1
        if how == "orderly":
            assert wait_for_answer(stage, viewer, id).cause == 34
        else:
            assert id not in stage.answers


def test_a_half_close_withdraws_only_the_viewers_own_requests_without_attempts() -> None:
    """One connection has an open attempt and one whose connect is pending; other viewers have others."""
    with staged() as stage:
        viewer, other = stage.far_viewer(), stage.far_viewer()
        open_id, line = stage.set_up(viewer)
        others, their_line = stage.set_up(other)
        waiting = stage.setup()
        send_and_hold_connect(stage, viewer, waiting)
        viewer.end()
        stage.loop.settle()
        stage.loop.selected.held.clear()
        stage.loop.advance(300)
        assert stage.sent_to(waiting.id) == [] and wait_for_answer(stage, viewer, waiting.id).cause == 34
        assert not viewer.over  # the open attempt is still answered here
        their_line.answer(others)
        line.answer(open_id)
        assert (
            wait_for_answer(stage, viewer, open_id).type
            == wait_for_answer(stage, other, others).type
            == "answer"
        )
        stage.loop.until(lambda: viewer.poll() is not None and viewer.over)
        assert stage.node.dispatcher.sessions.session_count == 2


@pytest.mark.parametrize("how", WAYS)
@pytest.mark.parametrize("first", ["viewer", "server"])
def test_a_client_that_leaves_while_the_controller_holds_its_request_is_not_placed(
    how: str, first: str
) -> None:
    """The request waits for a health check, whose reply arrives in the iteration of the disconnect."""
    with staged(settings=replace(SETTINGS, front_count=2)) as stage:
        stage.loop.advance(60_000)
        viewer = stage.far_viewer()
        viewer.send(request := stage.setup())
        pings: list[Frame] = []

        def asked() -> bool:
            stage.poll()
            lines = stage.far["s-0"].lines
            pings[:] = [one for line in lines for one in line.received if one.type is FrameType.PING]
            return bool(pings)

        stage.loop.until(asked)
        assert (
            stage.node.dispatcher.sessions.session(request.id) is not None and stage.sent_to(request.id) == []
        )
        (line,) = stage.far["s-0"].lines
        fd, server_fd = node_descriptor(stage, viewer), stage.loop.near(line.sock)
        stage.loop.selected.held |= {fd, server_fd}
        disconnect(viewer, how, request.id)
        line.send_frame(
            Frame(
                FrameType.PONG,
                pings[0].session,
                {ParameterCode.CAUSE: b"\1", ParameterCode.REPORT: b"x0:0.1;x1:0.1"},
            )
        )
        stage.loop.arrived(fd, server_fd)
        stage.loop.selected.first = [fd, server_fd] if first == "viewer" else [server_fd, fd]
        stage.loop.selected.held.clear()
        stage.loop.advance(500)
        assert stage.sent_to(request.id) == []
        if how == "orderly":
            assert wait_for_answer(stage, viewer, request.id).cause == 34


@pytest.mark.parametrize("seen", ["before the answer", "after the answer", "a sweep after the answer"])
def test_an_answer_that_a_closed_viewer_never_read_ends_the_session(seen: str) -> None:
    """The write succeeds, and the reset that disproves the delivery arrives afterwards."""
    with staged() as stage:
        viewer, other = stage.far_viewer(), stage.far_viewer()
        stage.establish_session(other)
        id, line = stage.set_up(viewer)
        fd = node_descriptor(stage, viewer)
        if seen != "before the answer":
            stage.loop.selected.held.add(fd)
        viewer.close()
        stage.loop.settle()
        line.answer(id)
        stage.loop.until(
            lambda: (
                id in stage.node.session_ends.connection_by_session
                or stage.node.dispatcher.sessions.session(id) is None
            )
        )
        stage.loop.settle()
        if seen == "a sweep after the answer":
            stage.loop.advance(2 * SWEEP_MS)
        stage.loop.selected.held.clear()
        stage.loop.until(lambda: released(stage, id))
        assert stage.node.dispatcher.sessions.session_count == 1 and len(stage.sent_to(id)) == 1


def test_an_answer_partially_written_to_a_broken_connection_ends_the_session() -> None:
    with staged() as stage:
        viewer = stage.far_viewer()
        (node_connection,) = node_connections(stage)
        id, line = stage.set_up(viewer)
        # Fill the kernel's buffers, so that the answer stays in the node.
        while not node_connection.unsent_bytes:
            node_connection.write(encode_message(Message("pong", "0" * 16, cause=1)) * 100)
        line.answer(id)
        stage.loop.until(
            lambda: stage.node.dispatcher.sessions.sessions_playing_at(
                stage.node.dispatcher.sessions.session(id).server
            )
        )  # type: ignore[union-attr]
        assert node_connection.unsent_bytes
        viewer.reset()
        stage.loop.until(lambda: released(stage, id))
        assert stage.node.dispatcher.sessions.session_count == 0


def test_a_viewer_that_half_closed_and_read_its_answer_keeps_its_session() -> None:
    with staged() as stage:
        viewer, other = stage.far_viewer(), stage.far_viewer()
        stage.establish_session(other)
        id, line = stage.set_up(viewer)
        viewer.end()
        stage.loop.settle()
        line.answer(id)
        assert wait_for_answer(stage, viewer, id).type == "answer"
        stage.loop.until(
            lambda: viewer.poll() is not None and viewer.over
        )  # the node closes at once after the last reply
        stage.loop.advance(DELIVERY_CONFIRMATION_MS + 2 * SWEEP_MS)
        viewer.close()
        assert len(node_connections(stage)) == 1 and stage.node.dispatcher.sessions.session_count == 2
        line.release(id, 16)  # the end is sent on another connection
        stage.loop.until(lambda: other.poll() is not None and id in stage.ends)


def test_a_session_whose_answer_was_read_before_a_reset_stays() -> None:
    with staged() as stage:
        viewer, other = stage.far_viewer(), stage.far_viewer()
        stage.establish_session(other)
        id, line = stage.establish_session(viewer)
        viewer.reset()
        stage.loop.advance(DELIVERY_CONFIRMATION_MS)
        assert stage.node.dispatcher.sessions.session_count == 2 and not released(stage, id)
        line.release(id, 16)
        stage.loop.until(lambda: other.poll() is not None and id in stage.ends)


@pytest.mark.parametrize("up", [True, False])
def test_a_half_close_after_sigterm_leaves_only_open_attempts_to_answer(up: bool) -> None:
    with staged() as stage:
        viewer = stage.far_viewer()
        if up:
            id, line = stage.set_up(viewer)
        else:
            request = stage.setup()
            id = request.id
            send_and_hold_connect(stage, viewer, request)
        stage.node.dispatcher.sessions.stop_accepting()
        viewer.end()
        stage.loop.settle()
        stage.loop.selected.held.clear()
        if up:
            line.answer(id)
            assert wait_for_answer(stage, viewer, id).type == "answer"
        else:
            stage.loop.advance(300)
            assert stage.sent_to(id) == [] and wait_for_answer(stage, viewer, id).cause == 34


def test_a_lingering_connection_is_evicted_first_and_one_with_open_requests_never() -> None:
    with staged(sockets=4) as stage:  # two viewers
        one, two = stage.far_viewer(), stage.far_viewer()
        id, line = stage.set_up(one)
        second_id, line_two = stage.set_up(two)
        one.end()
        stage.loop.settle()
        rejected = FarViewer(stage)
        stage.viewers.append(rejected)
        stage.loop.until(lambda: rejected.poll() is not None and rejected.over)
        line.answer(id)
        assert wait_for_answer(stage, one, id).type == "answer"
        stage.loop.settle()
        sides = {side.state.phase for side in node_connections(stage)}
        assert (
            sides == {ClientConnectionPhase.OPEN, ClientConnectionPhase.LINGERING}
            and len(stage.node.client_listener.admission) == 2
        )
        third = FarViewer(stage)
        stage.viewers.append(third)
        stage.loop.until(
            lambda: (
                len(node_connections(stage)) == 2
                and ClientConnectionPhase.LINGERING not in {o.state.phase for o in node_connections(stage)}
            )
        )
        line_two.answer(second_id)
        assert (
            wait_for_answer(stage, two, second_id).type == "answer"
            and stage.node.dispatcher.sessions.session_count == 2
        )


@pytest.mark.parametrize("seed", range(8))
def test_no_request_of_a_random_disconnected_viewer_is_forwarded(seed: int) -> None:
    """25 forced disconnects each, in all ways and at all moments; set-ups are counted at the servers."""
    rng = Random(seed)
    cases = 0
    for _ in range(25):
        how, moment = rng.choice(WAYS), rng.choice(["read", "coming up", "failing", "in a crowd"])
        with staged(3) as stage:
            if moment != "coming up" and rng.random() < 0.5:
                stage.establish_session(stage.far_viewer())  # a connection is free
            viewer = stage.far_viewer()
            fd = node_descriptor(stage, viewer)
            crowd = rng.randrange(1, 6) if moment == "in a crowd" else 1
            requests = [stage.setup(key=f"{rng.randrange(99):016x}") for _ in range(crowd)]
            ids = [request.id for request in requests]
            before = 0
            if moment == "failing":
                stage.loop.selected.held.discard(fd)
                viewer.send(*requests)
                stage.loop.until(lambda s=stage, i=ids: s.sent_to(i[0]))
                before = 1
                line = stage.far[stage.sent_to(ids[0])[0]].line_of(ids[0])
                line.release(ids[0], rng.choice([34, 102]))
                server_fd = stage.loop.near(line.sock)
                stage.loop.selected.held |= {fd, server_fd}
                disconnect(viewer, how, *ids)
                stage.loop.arrived(fd, server_fd)
                stage.loop.selected.first = rng.sample([fd, server_fd], 2)
            elif moment == "coming up":
                server_fd = send_and_hold_connect(stage, viewer, *requests)
                stage.loop.selected.held.add(fd)
                disconnect(viewer, how, *ids)
                stage.loop.arrived(fd)
                stage.loop.selected.first = [fd, server_fd]
            else:
                stage.loop.selected.held.add(fd)
                viewer.send(*requests)
                disconnect(viewer, how, *ids)
                stage.loop.arrived(fd)
            stage.loop.selected.held.clear()
            stage.loop.settle()
            stage.loop.advance(5_000)
            assert sum(len(stage.sent_to(id)) for id in ids) == before, (how, moment)
            cases += 1
    assert cases == 25


# --- evictions and timeouts ---


def test_a_connection_evicted_before_its_transport_exists_is_not_served() -> None:
    with staged(sockets=2) as stage:  # one viewer
        admission = stage.node.client_listener.admission
        first, second = FarViewer(stage), FarViewer(stage)
        stage.viewers += [first, second]
        listening = stage.node.client_listener._listening_socket
        assert listening is not None
        stage.loop.arrived(listening.fileno())
        first.send(request := stage.setup())
        # Both are in the backlog: the second one is admitted in place of the first.
        stage.node.client_listener.accept_connections()
        assert len(admission) == 1 and not node_connections(stage)
        stage.loop.until(lambda: first.poll() is not None and first.over)
        assert stage.sent_to(request.id) == [] and len(admission) == 1 and len(node_connections(stage)) == 1
        assert stage.answers == {}
        stage.establish_session(second)


@pytest.mark.parametrize("spoke", [False, True])
@pytest.mark.parametrize("first", ["newcomer", "viewer"])
def test_a_connection_with_an_unread_request_is_not_evicted(spoke: bool, first: str) -> None:
    """Both are seen in one iteration, as after a process stall; a silent connection is evicted instead."""
    with staged(sockets=4) as stage:  # two viewers
        viewer, silent = stage.far_viewer(), stage.far_viewer()
        if spoke:
            for one in (viewer, silent):
                one.send(Message("ping", "0" * 15 + "1", cause=0))
                stage.loop.settle()
        fd, request, listening = (
            node_descriptor(stage, viewer),
            stage.setup(),
            stage.node.client_listener._listening_socket,
        )
        assert listening is not None
        stage.loop.selected.held |= {fd, listening.fileno()}
        viewer.send(request)
        newcomer = FarViewer(stage)
        stage.viewers.append(newcomer)
        stage.loop.arrived(fd, listening.fileno())
        order = [listening.fileno(), fd]
        stage.loop.selected.first = order if first == "newcomer" else order[::-1]
        stage.loop.selected.held.clear()
        stage.loop.until(lambda: silent.poll() is not None and silent.over)
        stage.loop.until(lambda: stage.sent_to(request.id))
        stage.far[stage.sent_to(request.id)[0]].line_of(request.id).answer(request.id)
        assert wait_for_answer(stage, viewer, request.id).type == "answer"
        stage.establish_session(newcomer)


def test_a_line_completed_in_time_is_read_before_a_delayed_loop_applies_the_timeout() -> None:
    with staged() as stage:
        viewer, request = stage.far_viewer(), stage.setup()
        fd, data = node_descriptor(stage, viewer), encode_message(request)
        viewer.write(data[:40])
        stage.loop.settle()
        stage.loop.selected.held.add(fd)  # the loop does not poll before its sweep is due
        viewer.write(data[40:])
        stage.loop.arrived(fd)
        stage.loop.jump(2 * IDLE_TIMEOUT_MS)
        stage.loop.until(lambda: stage.sent_to(request.id))
        stage.loop.selected.held.clear()
        stage.far["s-0"].line_of(request.id).answer(request.id)
        assert wait_for_answer(stage, viewer, request.id).type == "answer"


def test_a_connection_whose_transport_cannot_be_created_leaves_no_state(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    with staged() as stage:

        async def fails(*_: object) -> None:
            raise OSError("no transport")

        with monkeypatch.context() as patch:
            patch.setattr(stage.loop, "connect_accepted_socket", fails)
            viewer = FarViewer(stage)
            stage.viewers.append(viewer)
            stage.loop.until(lambda: viewer.poll() is not None and viewer.over)
        assert len(stage.node.client_listener.admission) == 0 and not node_connections(stage)
        stage.establish_session(stage.far_viewer())


@pytest.mark.parametrize("how", ["half", "endless", "mistakes"])
def test_a_connection_that_the_node_ends_first_answers_its_open_requests(how: str) -> None:
    slow = tuple(replace(one, latency_objective_ms=20_000.0, deadline_ms=60_000.0) for one in PLAIN.classes)
    with staged(settings=replace(PLAIN, classes=slow)) as stage:
        viewer = stage.far_viewer()
        id, line = stage.set_up(viewer, left="60000")
        late = stage.setup()
        if how == "half":
            viewer.write(b'{"type":"setup"')
            stage.loop.advance(IDLE_TIMEOUT_MS + 2 * SWEEP_MS)
            viewer.write(b"\n")
        elif how == "endless":
            viewer.write(b"x" * 20_000 + b"\n")
        else:
            viewer.write(b"nothing\n" * 64 + encode_message(late))
        stage.loop.settle()
        viewer.poll()
        assert not viewer.over and id in stage.node.client_requests.open_requests
        viewer.send(late) if how != "mistakes" else None
        assert wait_for_answer(stage, viewer, late.id).cause == 34  # no new request is accepted here
        if stage.sent_to(id) == [line.server.name]:
            line.answer(id)
        assert wait_for_answer(stage, viewer, id).type == "answer"
        stage.loop.until(lambda: viewer.poll() is not None and viewer.over)
        assert stage.sent_to(late.id) == [] and stage.node.dispatcher.sessions.session_count == 1
        assert len(stage.node.client_listener.admission) == 0


@pytest.mark.parametrize("how", WAYS)
def test_a_disconnect_on_a_draining_connection_is_handled(how: str) -> None:
    with staged() as stage:
        viewer = stage.far_viewer()
        request = stage.setup()
        send_and_hold_connect(stage, viewer, request)
        viewer.write(b"x" * 20_000 + b"\n")
        stage.loop.settle()
        disconnect(viewer, how, request.id)
        stage.loop.settle()
        stage.loop.selected.held.clear()
        stage.loop.advance(300)
        assert stage.sent_to(request.id) == []
        if how in ("orderly", "release"):
            stage.loop.until(lambda: viewer.poll() is not None and viewer.over)


def test_the_timeout_of_a_line_starts_with_its_first_byte() -> None:
    """Each read ends in the middle of the next line, as in a continuous stream, which is not idle."""
    with staged() as stage:
        viewer, data = stage.far_viewer(), encode_message(Message("ping", f"{1:016x}", cause=0))
        viewer.write(data[:10])
        for _ in range(4):
            stage.loop.advance(0.4 * IDLE_TIMEOUT_MS)
            viewer.write(data[10:] + data[:10])
        stage.loop.settle()
        assert [one.type for one in viewer.poll()] == ["pong"] * 4 and not viewer.over
        stage.loop.advance(IDLE_TIMEOUT_MS + 2 * SWEEP_MS)  # but the last one never ends
        stage.loop.until(lambda: viewer.poll() is not None and viewer.over)


def test_a_closing_connection_that_is_not_read_counts_until_it_times_out() -> None:
    with staged(sockets=4) as stage:
        viewer = stage.far_viewer()
        (one,) = node_connections(stage)
        while not one.unsent_bytes:
            one.write(encode_message(Message("pong", "0" * 16, cause=1)) * 100)
        one.drain()
        stage.loop.settle()
        assert (
            len(stage.node.client_listener.admission) == 1
            and one.state.phase is ClientConnectionPhase.CLOSING
        )
        stage.loop.advance(IDLE_TIMEOUT_MS + 2 * SWEEP_MS)
        assert len(stage.node.client_listener.admission) == 0 and not node_connections(stage)
        viewer.close()


# --- messages about sessions ---


def test_accepted_connections_set_tcp_nodelay() -> None:
    with staged() as stage:
        fd = node_descriptor(stage, stage.far_viewer())
        with socket.socket(fileno=os.dup(fd)) as own:
            assert own.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)


@pytest.mark.parametrize("first", ["viewer", "server"])
def test_a_release_of_an_open_set_up_and_its_answer_in_one_iteration_leave_no_session(first: str) -> None:
    with staged() as stage:
        viewer = stage.far_viewer()
        id, line = stage.set_up(viewer)
        fd, server_fd = node_descriptor(stage, viewer), stage.loop.near(line.sock)
        stage.loop.selected.held |= {fd, server_fd}
        viewer.send(Message("release", id, cause=16))
        line.answer(id)
        stage.loop.arrived(fd, server_fd)
        stage.loop.selected.first = [fd, server_fd] if first == "viewer" else [server_fd, fd]
        stage.loop.selected.held.clear()
        stage.loop.until(lambda: released(stage, id))
        stage.loop.settle()
        viewer.poll()
        assert id not in stage.answers and stage.node.dispatcher.sessions.session_count == 0


@pytest.mark.parametrize("first", ["set-up", "release"])
def test_a_set_up_and_its_release_on_two_connections_leave_no_session(first: str) -> None:
    with staged() as stage:
        stage.establish_session(stage.far_viewer())
        viewer, other = stage.far_viewer(), stage.far_viewer()
        fd, fd_other, request = node_descriptor(stage, viewer), node_descriptor(stage, other), stage.setup()
        stage.loop.selected.held |= {fd, fd_other}
        viewer.send(request)
        other.send(Message("release", request.id, cause=16))
        stage.loop.arrived(fd, fd_other)
        stage.loop.selected.first = [fd, fd_other] if first == "set-up" else [fd_other, fd]
        stage.loop.selected.held.clear()
        stage.loop.settle()
        assert stage.sent_to(request.id) == []
        causes = [one.cause for one in (*viewer.poll(), *other.poll()) if one.id == request.id]
        assert causes == ([] if first == "set-up" else [81])  # at most once


def test_an_id_requested_again_after_its_connection_broke_is_set_up_again() -> None:
    with staged() as stage:
        viewer, again = stage.far_viewer(), stage.far_viewer()
        id, _ = stage.set_up(viewer)
        fd, fd_again = node_descriptor(stage, viewer), node_descriptor(stage, again)
        stage.loop.selected.held |= {fd, fd_again}
        viewer.reset()
        again.send(stage.setup(id))
        stage.loop.arrived(fd, fd_again)
        stage.loop.selected.first = [fd, fd_again]
        stage.loop.selected.held.clear()
        stage.loop.until(lambda: len(stage.sent_to(id)) == 2)
        line = stage.far["s-0"].line_of(id)
        line.answer(id)
        stage.loop.until(lambda: again.poll() is not None and id in stage.answers)
        assert stage.node.dispatcher.sessions.session_count == 1
        stage.far["s-0"].lines[0].ended.discard(id)


def test_a_session_end_is_sent_on_a_readable_connection() -> None:
    """It is not sent on a half-closed connection, nor on one that the kernel reports as broken."""
    with staged() as stage:
        home, other = stage.far_viewer(), stage.far_viewer()
        stage.establish_session(other)
        id, line = stage.establish_session(home)
        waiting, line_waits = stage.set_up(home)
        home.end()
        stage.loop.settle()
        line.release(id, 16)
        stage.loop.until(lambda: other.poll() is not None and id in stage.ends)
        line_waits.answer(waiting)
        assert wait_for_answer(stage, home, waiting).type == "answer"


@pytest.mark.parametrize("first", ["viewer", "server"])
@pytest.mark.parametrize("home", [True, False])
def test_a_session_ended_by_both_sides_in_one_iteration_is_announced_once(first: str, home: bool) -> None:
    """This holds whether or not the connection of the set-up is still open."""
    with staged() as stage:
        viewer, other = stage.far_viewer(), stage.far_viewer()
        stage.establish_session(other)
        id, line = stage.establish_session(viewer)
        if not home:
            viewer.reset()
            stage.loop.settle()
        fd, server_fd = node_descriptor(stage, other), stage.loop.near(line.sock)
        stage.loop.selected.held |= {fd, server_fd}
        other.send(Message("release", id, cause=16))
        line.release(id, 16)
        stage.loop.arrived(fd, server_fd)
        stage.loop.selected.first = [fd, server_fd] if first == "viewer" else [server_fd, fd]
        stage.loop.selected.held.clear()
        stage.loop.settle()
        assert "no such session" not in stage.log.getvalue()
        assert (
            id not in stage.node.session_ends.connection_by_session
            and stage.node.dispatcher.sessions.session_count == 1
        )


def test_an_undeliverable_session_end_waits_for_the_next_serving_connection() -> None:
    with staged() as stage:
        viewer = stage.far_viewer()
        id, line = stage.establish_session(viewer)
        viewer.close()
        stage.loop.settle()
        line.release(id, 16)
        stage.loop.settle()
        assert len(stage.node.session_ends._undelivered_ends) == 1
        later = stage.far_viewer()
        stage.establish_session(later)
        stage.loop.until(lambda: later.poll() is not None and id in stage.ends)
        assert not stage.node.session_ends._undelivered_ends


def test_a_session_end_lost_on_a_broken_connection_is_sent_on_another() -> None:
    with staged() as stage:
        home, other = stage.far_viewer(), stage.far_viewer()
        id, line = stage.establish_session(home)
        stage.establish_session(other)
        (one,) = (one for one in node_connections(stage) if id in one.state.sessions)
        while not one.unsent_bytes:
            one.write(encode_message(Message("pong", "0" * 16, cause=1)) * 100)
        line.release(id, 16)
        stage.loop.until(lambda: stage.node.dispatcher.sessions.session(id) is None)
        stage.loop.settle()
        assert id not in stage.ends
        home.reset()
        stage.loop.until(lambda: other.poll() is not None and id in stage.ends)


def test_a_session_at_an_unknown_server_and_an_early_ping_are_answered() -> None:
    with staged() as stage:
        viewer = stage.far_viewer()
        stage.node.client_requests.is_ready = False
        lost = stage.setup(extras="home:0;copies:4;top:0;viewer:00000000b4d65521;at:s-none", left="0")
        viewer.send(lost, Message("ping", "0" * 15 + "1", cause=0))
        stage.loop.until(lambda: viewer.poll() is not None and len(viewer.messages) == 2)
        assert [(one.type, one.cause) for one in viewer.messages] == [("release", 41), ("pong", 0)]
        assert stage.node.dispatcher.sessions.session_count == 0 and stage.sent_to(lost.id) == []
        viewer.send(Message("release", lost.id, cause=16))  # crosses the end of the session
        stage.loop.settle()
        assert len(viewer.poll()) == 0 and viewer.messages[-1].type == "pong"


@pytest.mark.parametrize("turns", range(5))
def test_a_client_whose_request_arrived_before_a_process_stall_is_not_timed_out(turns: int) -> None:
    """The connection is accepted but not read yet while its idle timeout passes."""
    with staged() as stage:
        viewer, request = FarViewer(stage), stage.setup()
        stage.viewers.append(viewer)
        viewer.send(request)
        stage.loop.until(lambda: len(stage.node.client_listener.admission))
        stage.loop.turn(turns)
        stage.loop.jump(IDLE_TIMEOUT_MS + 1.0)
        stage.loop.until(lambda: viewer.poll() or viewer.over or stage.sent_to(request.id))
        assert not viewer.over
        if request.id not in stage.answers:
            stage.far["s-0"].line_of(request.id).answer(request.id)
        stage.loop.until(lambda: viewer.poll() is not None and request.id in stage.answers)


# --- state machines ---


def test_only_recent_messages_to_a_closed_client_are_undelivered() -> None:
    def said(*, left: bool) -> ClientConnectionState:
        state = ClientConnectionState()
        assert state.on_connection_made()
        state.on_message_written("old", 0.0, None, True)
        state.on_message_written("new", DELIVERY_CONFIRMATION_MS, None, True)
        state.on_message_written("end", DELIVERY_CONFIRMATION_MS, b"over", False)
        if left:
            assert state.on_client_half_closed() and not state.on_client_half_closed()
        return state

    assert set(said(left=True).on_connection_ended(DELIVERY_CONFIRMATION_MS, True) or ()) == {"new", "end"}
    assert set(said(left=False).on_connection_ended(DELIVERY_CONFIRMATION_MS, True) or ()) == {
        "end"
    }  # may have been received
    state = said(left=True)
    state.on_write_buffer_flushed(DELIVERY_CONFIRMATION_MS)
    assert state.has_unconfirmed_messages(DELIVERY_CONFIRMATION_MS) and not state.has_unconfirmed_messages(
        2 * DELIVERY_CONFIRMATION_MS
    )
    assert (
        state.on_connection_ended(DELIVERY_CONFIRMATION_MS, False) == {}
        and state.on_connection_ended(DELIVERY_CONFIRMATION_MS, True) is None
    )
    gone = ClientConnectionState()
    assert gone.on_connection_ended(0.0, False) == {} and not gone.on_connection_made()


def test_admission_counts_closing_connections_and_evicts_them_first() -> None:
    admission: ConnectionAdmission[str] = ConnectionAdmission(2)
    admission.admit("a", 0.0)
    admission.on_message_received("a", 0.0)
    admission.on_connection_closing("a", 1.0)
    admission.admit("b", 1.0)
    assert len(admission) == 2 and admission.closing_connections() == ["a"]
    assert admission.timed_out_connections(IDLE_TIMEOUT_MS + 1.0) == ["b", "a"]
    assert admission.admit("c", 2.0) == "a" and len(admission) == 2
    admission.on_connection_closing("a", 2.0)  # evicted before, so no longer registered
    assert len(admission) == 2 and not admission.closing_connections()
