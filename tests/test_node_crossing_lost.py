"""Races around unreachable servers: releases that wait, and connects that stay pending."""

from __future__ import annotations

import os
import selectors
import socket
from random import Random
from typing import Any

import pytest

from fernweir.front.names import number_of
from fernweir.node.frames import Frame, FrameType, ParameterCode, encode_frame
from fernweir.node.jsonl import Message
from fernweir.node.liveness import CHECK_INTERVAL_MS
from tests.node_scene import FarLine, FarServer, FarViewer, Stage, staged
from tests.test_node_crossing_servers import release_descriptor, send_feed_event, wait_for_answer

HALF = slice(0, -5)


def half_answered(stage: Stage, viewer: FarViewer) -> tuple[str, FarLine]:
    """Returns a set-up whose connection broke in the middle of the server's answer."""
    id, line = stage.set_up(viewer)
    line.answer(id, HALF)
    line.reset()
    return id, line


@pytest.mark.parametrize("who", ["viewer", "node"])
def test_a_release_is_sent_even_if_the_connect_for_it_times_out(who: str) -> None:
    """A session would remain on a live server if a timed-out connect lost its release."""
    with staged(servers=2 if who == "node" else 1) as stage:
        viewer = stage.far_viewer()
        id, line = half_answered(stage, viewer)
        stage.hold_next_connect()  # to find out whether the server is alive
        if who == "viewer":
            viewer.send(Message("release", id, cause=16))
            stage.loop.until(lambda: not stage.node.dispatcher.sessions.session_count)
        stage.loop.advance(stage.node.server_pool.connect_timeout_s * 1000.0)  # the connect times out
        if who == "node":
            stage.loop.until(lambda: len(stage.sent_to(id)) == 2)
            new = next(one for one in stage.far.values() if one is not line.server).line_of(id)
            new.answer(id)
            wait_for_answer(stage, viewer, id)
        assert id in line.server.answered_sessions
        stage.loop.advance(1_000.0)
        stage.loop.until(lambda: id in line.server.released)


def reset_while_connecting(stage: Stage, line: FarLine) -> None:
    """The next connection to the server is established and reset before the node processes it."""
    fd = stage.hold_next_connect()
    new = line.server.accept()
    assert new is not None
    new.reset()
    stage.loop.arrived(fd)
    release_descriptor(stage, fd)


def test_a_release_deferred_for_an_unwritten_set_up_is_sent_nevertheless() -> None:
    """Both wait for a connection. That of the set-up stays pending, the other one is established first."""
    with staged() as stage:
        viewer = stage.far_viewer()
        id, line = half_answered(stage, viewer)
        reset_while_connecting(stage, line)
        (endpoint,) = stage.node.server_pool.endpoints.values()
        stage.loop.until(lambda: endpoint.release_queue.pending_releases)
        first, _ = (
            stage.hold_next_connect(),
            stage.hold_next_connect(),
        )  # for the release, and the set-up that follows it
        assert (
            not endpoint.attempts[id].is_written
            and endpoint.attempts[id].connection is endpoint.connections[1]
        )
        release_descriptor(stage, first)
        stage.loop.settle()
        viewer.send(Message("release", id, cause=16))
        stage.loop.advance(1_000.0)
        assert id in line.server.released and len(stage.sent_to(id)) == 1


def test_a_release_lost_by_a_reset_precedes_the_reassigned_set_up() -> None:
    with staged() as stage:
        viewer = stage.far_viewer()
        (withdrawn, idle), (other, busy) = stage.set_up(viewer), stage.set_up(viewer)
        id, line = half_answered(stage, viewer)
        fd = stage.hold_next_connect()
        viewer.send(Message("release", withdrawn, cause=16))
        stage.loop.until(lambda: withdrawn in line.server.released)
        (endpoint,) = stage.node.server_pool.endpoints.values()
        release_descriptor(stage, fd)
        while not endpoint.connections[-1].is_usable:
            stage.loop.turn()
        new = line.server.lines[-1]
        stage.loop.selected.held.add(fd)  # the kernel has the reset, which only a write detects
        new.reset()
        stage.loop.arrived(fd)
        stage.loop.until(lambda: len(stage.sent_to(id)) == 2)
        release_descriptor(stage, fd)
        stage.loop.settle()
        assert [one.type for one in idle.received if one.session == id] == [
            FrameType.RELEASE,
            FrameType.SETUP,
        ]
        idle.answer(id)
        wait_for_answer(stage, viewer, id)
        busy.answer(other)
        wait_for_answer(stage, viewer, other)


def wait_until_lost(stage: Stage) -> None:
    """Keeps the connects of two checks pending while open connections are silent, until the loss."""
    stage.loop.advance(2_400.0)  # less than the silence timeout of a server
    for _ in range(2):
        stage.hold_next_connect(step_ms=10.0)
    while "server lost" not in stage.log.getvalue():
        stage.loop.jump(10.0)
        stage.loop.turn()


def test_sessions_of_a_lost_server_are_released_once_it_returns() -> None:
    """The server may only have been unreachable, while its sessions were reported as ended."""
    with staged() as stage:
        viewer = stage.far_viewer()
        id, line = stage.establish_session(viewer)
        wait_until_lost(stage)
        stage.loop.until(lambda: viewer.poll() is not None and id in stage.ends)
        stage.loop.advance(1_000.0)
        assert (
            len(line.server.lines) == 1 and id in line.server.active_sessions()
        )  # no connection is opened for it
        request, new = stage.set_up(viewer)
        assert id in {one.session for one in new.received if one.type is FrameType.RELEASE}
        new.answer(request)
        wait_for_answer(stage, viewer, request)


def test_no_request_is_sent_on_old_connections_of_a_lost_server() -> None:
    """The machine may have been replaced, which an old connection would reveal only by a timeout."""
    with staged() as stage:
        viewer = stage.far_viewer()
        id, line = stage.establish_session(viewer)
        wait_until_lost(stage)
        stage.loop.until(lambda: viewer.poll() is not None and id in stage.ends)
        line.ended.add(id)
        stage.loop.advance(1_000.0)
        request, new = stage.set_up(viewer)
        assert new is not line
        new.answer(request)
        wait_for_answer(stage, viewer, request)


def test_no_request_is_sent_on_connections_from_before_a_server_restart() -> None:
    with staged() as stage:
        viewer = stage.far_viewer()
        id, line = stage.establish_session(viewer)
        line.ended.add(id)
        stage.loop.advance(100.0)
        started = stage.loop.clock * 1000.0 + stage.node.feed._offset_ms
        send_feed_event(stage, stage.line("s-0", since_ms=started))
        stage.loop.until(lambda: viewer.poll() is not None and id in stage.ends)
        stage.loop.advance(1_000.0)
        request, new = stage.set_up(viewer)
        assert new is not line
        new.answer(request)
        wait_for_answer(stage, viewer, request)
        other, again = stage.set_up(viewer)
        assert again is new
        again.answer(other)
        wait_for_answer(stage, viewer, other)


def test_concurrent_connect_timeouts_count_as_one_failed_check() -> None:
    with staged() as stage:
        viewer = stage.far_viewer()
        id, line = stage.establish_session(viewer)
        first, _ = stage.set_up(viewer)  # on that connection
        requests = [stage.setup() for _ in range(2)]
        viewer.send(*requests)
        for _ in requests:
            stage.hold_next_connect()
        stage.loop.advance(1_000.0)
        assert "server lost" not in stage.log.getvalue() and id not in stage.ends
        line.answer(first)
        wait_for_answer(stage, viewer, first)


def test_a_release_on_a_connection_never_closed_by_the_server_is_sent_again() -> None:
    """A partition may hold it back, and closing this side while an answer arrives late discards it."""
    with staged(servers=2) as stage:
        viewer = stage.far_viewer()
        id, line = stage.set_up(viewer)
        (endpoint,) = stage.node.server_pool.endpoints.values()
        stage.loop.advance(endpoint.attempts[id].command.timeout_ms)
        stage.loop.until(lambda: len(stage.sent_to(id)) == 2)
        new = next(one for one in stage.far.values() if one is not line.server).line_of(id)
        new.answer(id)
        wait_for_answer(stage, viewer, id)
        assert not endpoint.attempts and FrameType.RELEASE in [one.type for one in line.received]
        stage.loop.advance(2_000.0)  # the server does not answer the close
        line.server.poll()
        assert [[one.type for one in other.received] for other in line.server.lines if other is not line] == [
            [FrameType.RELEASE]
        ]


def test_an_ambiguous_release_on_a_new_connection_ends_and_releases_the_session() -> None:
    """It is ambiguous which attempt has ended, though the session's connection is open."""
    with staged() as stage:
        viewer = stage.far_viewer()
        id, line = half_answered(stage, viewer)
        stage.loop.until(lambda: len(stage.sent_to(id)) == 2)
        (_, again) = line.server.lines
        again.answer(id)
        wait_for_answer(stage, viewer, id)
        (first, _), (second, new) = stage.set_up(viewer), stage.set_up(viewer)
        assert new is not again
        new.send_frame(Frame(FrameType.RELEASE, id, {ParameterCode.CAUSE: bytes((16,))}))
        stage.loop.until(lambda: viewer.poll() is not None and id in stage.ends)
        stage.loop.settle()
        again.poll()
        assert [one.type for one in again.received if one.session == id][-1] is FrameType.RELEASE
        again.answer(first)
        new.answer(second)
        for one in (first, second):
            wait_for_answer(stage, viewer, one)


@pytest.mark.parametrize("speaks", [True, False])
def test_checks_of_a_server_that_breaks_each_connection_are_paced(speaks: bool) -> None:
    """Each such check ends within one or two iterations, so without a delay they would use up the node."""
    with staged() as stage:
        viewer = stage.far_viewer()
        (id, line), (other, there) = stage.set_up(viewer), stage.set_up(viewer)
        line.answer(id)
        there.answer(other)
        for one in (id, other):
            wait_for_answer(stage, viewer, one)
        if not speaks:
            viewer.send(Message("release", other, cause=16))
            stage.loop.until(lambda: other in there.server.released)
            there.reset()
            stage.loop.settle()
        before = len(line.server.lines)
        line.reset()

        def breaks(turns: int) -> int:
            for _ in range(turns):
                while (new := line.server.accept()) is not None:
                    new.reset()
                stage.loop.turn()
            return len(line.server.lines) - before

        assert breaks(200) == 1
        stage.loop.jump(CHECK_INTERVAL_MS)
        assert breaks(200) == 2
        stage.loop.jump(CHECK_INTERVAL_MS)
        stage.loop.until(lambda: line.server.accept() is not None)  # this connection stays open
        assert {id} <= set(stage.node.dispatcher.sessions.records())


class RandomServer:
    """A media server with random behaviour, and its sessions in the order of the messages it read."""

    def __init__(self, far: FarServer, rng: Random) -> None:
        self.far, self.rng, self.is_partitioned = far, rng, False
        self.open_set_ups: dict[str, FarLine] = {}
        self.active_sessions: set[str] = set()
        self.ends: list[Frame] = []  # also sent on each new connection
        self.answer_remainders: list[tuple[FarLine, bytes]] = []  # the second parts of answers

    def poll(self, calm: bool) -> None:
        """Reads and acts, unless it is partitioned: then everything waits, in both directions."""
        if self.is_partitioned:
            return
        while (line := self.far.accept()) is not None:
            for end in self.ends:
                self.write(line, encode_frame(end))
        for line, rest in self.answer_remainders:
            self.write(line, rest)
        self.answer_remainders.clear()
        for line in self.far.lines:
            for frame in line.poll():
                if frame.type is FrameType.SETUP:
                    assert frame.session not in self.open_set_ups, "two attempts in flight at one server"
                    self.open_set_ups[frame.session] = line
                elif frame.type is FrameType.RELEASE:
                    self.open_set_ups.pop(frame.session, None)
                    self.active_sessions.discard(frame.session)
            if line.over:
                self.give_up(line)
        for id, line in list(self.open_set_ups.items()):
            if id in self.open_set_ups and (calm or self.rng.random() < 0.4):
                self.act(id, line, "answer" if calm else self.rng.choice(ACTS))
        if not calm and self.active_sessions and self.rng.random() < 0.05:
            self.end(self.rng.choice(sorted(self.active_sessions)))

    def act(self, id: str, line: FarLine, choice: str) -> None:
        data = encode_frame(Frame(FrameType.ANSWER, id, {ParameterCode.DESCRIPTION: b"one\r\n"}))
        if choice == "silent":
            return
        del self.open_set_ups[id]
        if choice in ("34", "47"):
            self.write(
                line, encode_frame(Frame(FrameType.RELEASE, id, {ParameterCode.CAUSE: bytes((int(choice),))}))
            )
        elif choice == "gone":
            line.reset()
            self.give_up(line)
        else:
            cut = self.rng.randrange(1, len(data)) if choice in ("pieces", "broken", "half") else len(data)
            if not self.write(line, data[:cut]):
                return
            self.active_sessions.add(id)
            if choice == "pieces":
                self.answer_remainders.append((line, data[cut:]))
            elif choice != "answer":  # a reset or an end follows, seen in one iteration
                line.reset() if choice in ("broken", "reset") else line.end()
                self.give_up(line)

    def end(self, id: str) -> None:
        self.active_sessions.remove(id)
        self.ends.append(Frame(FrameType.RELEASE, id, {ParameterCode.CAUSE: bytes((16,))}))
        for line in [one for one in self.far.lines if not one.over][-1:]:
            self.write(line, encode_frame(self.ends[-1]))

    def write(self, line: FarLine, data: bytes) -> bool:
        """Returns whether the data was written. A connection closed by the node ends its open set-ups."""
        try:
            if not line.over:
                line.write(data)
        except OSError:
            line.close()
            self.give_up(line)
        return not line.over

    def give_up(self, line: FarLine) -> None:
        """Ends the set-ups that are open on a closed connection."""
        for id in [id for id, there in self.open_set_ups.items() if there is line]:
            del self.open_set_ups[id]


ACTS = (
    ["answer"] * 6
    + ["silent"] * 4
    + ["pieces", "pieces", "broken", "half", "reset", "end", "34", "47", "gone"]
)


class FaultInjector:
    """Partitions and heals the servers of a stage, and delays some connects or keeps them pending."""

    def __init__(self, stage: Stage, rng: Random) -> None:
        self.stage, self.rng, self.is_calm = stage, rng, False
        self.servers = {far.address: RandomServer(far, rng) for far in stage.far.values()}
        self.held_until: dict[tuple[int, Any], float] = {}  # until when each connect is held

    def hold(self) -> None:
        loop = self.stage.loop
        loop.selected.held.clear()
        for key in list(loop.selected.get_map().values()):
            try:
                with socket.socket(fileno=os.dup(key.fd)) as own:
                    server, name = self.servers.get(own.getpeername()), (key.fd, own.getsockname())
            except OSError:
                continue
            if server is None:
                continue
            if key.events & selectors.EVENT_WRITE and name not in self.held_until:
                late = 0.0 if self.is_calm or self.rng.random() < 0.75 else self.rng.choice([0.1, 0.24, 9.0])
                self.held_until[name] = loop.clock + late
            if server.is_partitioned or self.held_until.get(name, 0.0) > loop.clock:
                loop.selected.held.add(key.fd)

    def step(self, ms: float) -> None:
        self.stage.loop.jump(ms)
        for _ in range(4):
            self.hold()
            self.stage.loop.turn()
        for server in self.servers.values():
            server.poll(self.is_calm)


@pytest.mark.parametrize("seed", range(16))
def test_no_orphaned_session_remains_after_partitions_and_slow_connects(
    seed: int,
) -> None:
    rng = Random(seed)
    with staged(servers=1 + seed % 3) as stage:
        injector, viewer = FaultInjector(stage, rng), stage.far_viewer()
        asked, given_up, host = list[str](), set[str](), stage.node.dispatcher.sessions
        for _ in range(300):
            choice, server = rng.random(), rng.choice(list(injector.servers.values()))
            if choice < 0.3:
                viewer.send(request := stage.setup(key=f"{rng.randrange(9):016x}"))
                asked.append(request.id)
            elif choice < 0.36 and (open_ := [id for id in asked if id not in stage.answers]):
                given_up.add(withdrawn := rng.choice(open_))
                viewer.send(Message("release", withdrawn, cause=16))
            elif choice < 0.4:
                server.is_partitioned = not server.is_partitioned
            elif (
                choice < 0.43
                and not server.is_partitioned
                and (there := [one for one in server.far.lines if not one.over])
            ):
                (line := rng.choice(there)).reset()
                server.give_up(line)
            injector.step(rng.choice([1.0, 10.0, 60.0]))
            viewer.poll()
        injector.is_calm = True
        for server in injector.servers.values():
            server.is_partitioned = False
        endpoints, names = (
            stage.node.server_pool.endpoints,
            {number_of(far.name): far.address for far in stage.far.values()},
        )

        def settled() -> bool:
            injector.step(20.0)
            viewer.poll()
            if any(id not in stage.answers and id not in given_up for id in asked):
                return False
            for number, there in names.items():
                server, held = injector.servers[there], set(host.sessions_playing_at(number))
                deferred = (
                    {one.session for one in endpoints[number].release_queue.deferred_releases}
                    if number in endpoints
                    else set()
                )
                if server.open_set_ups or not held <= server.active_sessions <= held | deferred:
                    return False
            return True

        stage.loop.until(settled)
        viewer.close()
