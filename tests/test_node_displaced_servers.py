"""Servers whose address leads to another server: removed ones, and ones with a successor at their address."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from fernweir.interface import Settings
from fernweir.node.frames import Frame, FrameType, ParameterCode
from fernweir.node.jsonl import Message
from tests.helpers import SETTINGS
from tests.node_scene import PLAIN, FarLine, FarServer, FarViewer, Stage, staged
from tests.test_node_crossing_servers import (
    deliver_frames,
    release_descriptor,
    send_feed_event,
    wait_for_answer,
)

END_NOTICE_MS = 8_000.0  # PROTOCOL: an end that no release could tell must be announced within this time
STEP_MS = 125.0
REPORT_MS = 2_000.0
NO_REPORTS = replace(SETTINGS, report_interval_ms=0.0)
EVIDENCE = pytest.mark.parametrize(
    "settings", [PLAIN, SETTINGS, NO_REPORTS], ids=["reports", "both", "health checks"]
)


class Address:
    """One address of the scene: the processes that listened there, the last of which accepts connections."""

    def __init__(self, stage: Stage, first: str = "s-0") -> None:
        self.stage = stage
        self.line = stage.line(first)
        self.processes = [stage.far[first]]

    def replace_process(self, name: str) -> FarServer:
        """A process with another name takes the address. The earlier one only keeps its open connections."""
        self.processes[-1].listener.close()
        host, _, port = str(self.line["address"]).partition(":")
        new = FarServer(name, (host, int(port)))
        self.processes.append(new)
        self.stage.far[name] = self.stage.servers[name] = new
        return new

    def entry(self, name: str, status: str = "up") -> dict[str, Any]:
        return self.line | {"name": name, "status": status}


def play(stage: Stage, ms: float, *alive: FarServer, reports_on: FarLine | None = None) -> None:
    """Lets time pass, in which some processes reply to health checks, and one sends reports if it may."""
    passed = 0.0
    while passed < ms:
        stage.loop.advance(STEP_MS)
        passed += STEP_MS
        for feed in stage.feed.poll():
            feed.write(b"%d\n" % stage.node.feed.last_sequence_number)
        for process in alive:
            reply_to_health_checks(stage, process)
        if reports_on is not None and passed % REPORT_MS == 0.0:
            send_report(stage, reports_on, min(reports_on.answered - reports_on.ended))
    stage.loop.settle()
    stage.poll()


def reply_to_health_checks(stage: Stage, process: FarServer) -> None:
    process.poll()
    for line in process.lines:
        reply_to_health_checks_on(stage, line)


def reply_to_health_checks_on(stage: Stage, line: FarLine) -> None:
    """Replies to the health checks on one connection only, as if the others were cut."""
    line.poll()
    pings = [frame for frame in line.received if frame.type is FrameType.PING]
    line.received = [frame for frame in line.received if frame.type is not FrameType.PING]
    replies = [Frame(FrameType.PONG, ping.session, {ParameterCode.CAUSE: b"\1"}) for ping in pings]
    if replies and not line.over:
        deliver_frames(stage, line, *replies)


def send_report(stage: Stage, line: FarLine, session: str) -> None:
    """Delivers a report on one of the sessions, as a server sends it at intervals."""
    parameters = {ParameterCode.NOTE: b"port", ParameterCode.LEVEL: b"0.2"}
    deliver_frames(stage, line, Frame(FrameType.NOTE, session, parameters))


def may_report(settings: Settings, line: FarLine) -> FarLine | None:
    return line if settings.report_interval_ms else None


def tell(stage: Stage, address: Address, order: str, old: str, new: str) -> None:
    """Tells of a removal and its successor, in one event or in two."""
    removed, added = address.entry(old, "removed"), address.entry(new)
    if order == "together":
        send_feed_event(stage, removed, added)
    elif order == "removal first":
        send_feed_event(stage, removed)
        play(stage, 500.0)
        send_feed_event(stage, added)
    else:
        send_feed_event(stage, added)
        play(stage, 500.0)
        send_feed_event(stage, removed)


ORDERS = pytest.mark.parametrize("order", ["together", "removal first", "successor first"])


def ended(stage: Stage, viewer: FarViewer, id: str) -> bool:
    stage.loop.settle()
    viewer.poll()
    return id in stage.ends


def vanish(line: FarLine) -> None:
    """The machine vanishes: its connections stay open and silent, and its sessions have ended."""
    line.ended |= line.answered


def check_end_is_told(stage: Stage, viewer: FarViewer, id: str, line: FarLine) -> None:
    """The server ends a session in order, which its viewer has to be told."""
    line.release(id, 16)
    stage.loop.until(lambda: ended(stage, viewer, id))
    assert stage.ends[id].cause == 16


@EVIDENCE
@ORDERS
@pytest.mark.parametrize("told_ms", [500.0, 4_000.0])
def test_a_session_of_a_vanished_server_ends_though_its_successor_accepts(
    order: str, told_ms: float, settings: Settings
) -> None:
    """review/7: connections that the successor accepted kept the sessions of the vanished server for good."""
    with staged(settings=settings) as stage:
        viewer, address = stage.far_viewer(), Address(stage)
        id, line = stage.establish_session(viewer)
        vanish(line)
        began = stage.loop.clock
        successor = address.replace_process("s-new")
        play(stage, told_ms, successor)
        tell(stage, address, order, "s-0", "s-new")
        play(stage, END_NOTICE_MS - (stage.loop.clock - began) * 1000.0, successor)
        assert ended(stage, viewer, id)
        assert stage.ends[id].cause == 41


@EVIDENCE
@pytest.mark.parametrize("told", ["removed", "draining, then a successor", "a successor", "both"])
def test_a_displaced_server_that_still_plays_keeps_its_sessions(told: str, settings: Settings) -> None:
    """A process may play on after another one has taken its address. Its connections show that it does."""
    with staged(settings=settings) as stage:
        viewer, address = stage.far_viewer(), Address(stage)
        id, line = stage.establish_session(viewer)
        old = line.server
        others: list[FarServer] = []
        if told != "removed":
            others.append(address.replace_process("s-new"))
        if told.startswith("draining"):
            send_feed_event(stage, address.entry("s-0", "draining"))
        if told in ("removed", "both"):
            send_feed_event(stage, address.entry("s-0", "removed"))
        if told != "removed":
            send_feed_event(stage, address.entry("s-new"))
        play(stage, 30_000.0, old, *others, reports_on=may_report(settings, line))
        assert not ended(stage, viewer, id)
        check_end_is_told(stage, viewer, id, line)


@EVIDENCE
@ORDERS
def test_an_address_used_a_third_time_ends_the_sessions_of_both_earlier_servers(
    order: str, settings: Settings
) -> None:
    with staged(settings=settings) as stage:
        viewer, address = stage.far_viewer(), Address(stage)
        ids = []
        for name, successor in (("s-0", "s-1"), ("s-1", "s-2")):
            id, line = stage.establish_session(viewer)
            assert line.server.name == name
            ids.append(id)
            vanish(line)
            new = address.replace_process(successor)
            play(stage, 1_000.0, new)
            tell(stage, address, order, name, successor)
        last, line = stage.establish_session(viewer)
        assert line.server.name == "s-2"
        play(stage, 6_000.0, line.server, reports_on=may_report(settings, line))
        assert [ended(stage, viewer, id) for id in (*ids, last)] == [True, True, False]


@EVIDENCE
def test_a_session_set_up_at_the_successor_before_it_was_told_stays(settings: Settings) -> None:
    """The set-up was meant for the vanished server, whose sessions end; its connection shows who took it."""
    with staged(settings=settings) as stage:
        viewer, address = stage.far_viewer(), Address(stage)
        id, line = stage.establish_session(viewer)
        busy, other = stage.set_up(viewer)  # takes the only connection, so that the next one is a new one
        other.answer(busy)
        wait_for_answer(stage, viewer, busy)
        open_set_up, _ = stage.set_up(viewer)
        vanish(line)
        successor = address.replace_process("s-new")
        play(stage, STEP_MS)
        request = stage.setup()
        viewer.send(request)
        stage.loop.until(lambda: request.id in successor.setups())
        new_line = successor.line_of(request.id)
        new_line.answer(request.id)
        wait_for_answer(stage, viewer, request.id)
        tell(stage, address, "together", "s-0", "s-new")
        play(stage, 7_000.0, successor, reports_on=may_report(settings, new_line))
        assert [ended(stage, viewer, one) for one in (id, busy, request.id)] == [True, True, False]
        assert open_set_up in stage.answers
        new_line.release(request.id, 16)
        stage.loop.until(lambda: ended(stage, viewer, request.id))


def test_the_end_of_such_a_session_counts_on_any_connection_of_its_process() -> None:
    """Its connection is gone, so the successor sends the end on one that was made under its own name."""
    with staged() as stage:
        viewer, address = stage.far_viewer(), Address(stage)
        successor = address.replace_process("s-new")  # the list still has the address under the old name
        id, line = stage.establish_session(viewer, top="0")
        assert line.server is successor
        send_feed_event(stage, address.entry("s-0", "removed"), address.entry("s-new"))
        other, new_line = stage.establish_session(viewer)
        assert new_line is not line
        line.close()
        play(stage, 1_000.0)
        assert not ended(stage, viewer, id)
        new_line.release(id, 16)
        line.ended.add(id)
        stage.loop.until(lambda: ended(stage, viewer, id))
        assert stage.ends[id].cause == 16
        assert not ended(stage, viewer, other)


def test_reports_on_one_connection_keep_the_sessions_on_the_others_if_nothing_may_be_asked() -> None:
    with staged() as stage:
        viewer, address = stage.far_viewer(), Address(stage)
        (first, one), (second, other) = stage.set_up(viewer), stage.set_up(viewer)
        assert one is not other
        one.answer(first)
        other.answer(second)
        for id in (first, second):
            wait_for_answer(stage, viewer, id)
        send_report(stage, one, first)
        address.replace_process("s-new")
        tell(stage, address, "together", "s-0", "s-new")
        play(stage, 20_000.0, reports_on=one)
        assert not ended(stage, viewer, first)
        assert not ended(stage, viewer, second)
        vanish(one)
        vanish(other)
        play(stage, END_NOTICE_MS)
        assert ended(stage, viewer, first)
        assert ended(stage, viewer, second)


@EVIDENCE
def test_a_message_on_another_connection_keeps_the_sessions_of_a_connection_that_fell_silent(
    settings: Settings,
) -> None:
    """After a partition the connection of the set-ups may stay open and silent while a newer one works."""
    with staged(settings=settings) as stage:
        viewer, address = stage.far_viewer(), Address(stage)
        (first, line), (second, _) = stage.establish_session(viewer), stage.establish_session(viewer)
        other = stage.far["s-0"].line_of(second)
        assert other is line
        stage.loop.until(lambda: play(stage, STEP_MS) is None and len(stage.far["s-0"].lines) > 1)
        newer = stage.far["s-0"].lines[-1]  # made as the first one was silent
        send_report(stage, newer, first)
        send_feed_event(stage, address.entry("s-0", "removed"))
        for step in range(160):
            play(stage, STEP_MS)
            reply_to_health_checks_on(stage, newer)
            if settings.report_interval_ms and step % 16 == 0:
                send_report(stage, newer, first)
        assert not ended(stage, viewer, first)
        assert not ended(stage, viewer, second)
        vanish(line)
        play(stage, END_NOTICE_MS)
        assert ended(stage, viewer, first)
        assert ended(stage, viewer, second)


@pytest.mark.parametrize("before", ["idle", "connecting", "nothing"])
def test_no_set_up_goes_to_the_successor_of_the_server_it_is_meant_for(before: str) -> None:
    """The list still has the old server, so the controller still chooses it; its address leads elsewhere."""
    with staged() as stage:
        viewer, address = stage.far_viewer(), Address(stage)
        if before == "idle":
            id, line = stage.establish_session(viewer)
            line.release(id, 16)
            stage.loop.until(lambda: ended(stage, viewer, id))
        if before == "connecting":
            viewer.send(request := stage.setup())
            fd = stage.hold_next_connect()
        successor = address.replace_process("s-new")
        # The successor holds other titles, so that only the old server may get the set-up.
        elsewhere = address.entry("s-new", "draining")
        send_feed_event(stage, elsewhere)
        if before == "connecting":
            release_descriptor(stage, fd)
        else:
            viewer.send(request := stage.setup())
        stage.loop.advance(5_000.0)
        viewer.poll()
        assert stage.answers[request.id].type == "release"
        assert successor.setups() == []
        assert [one for one in stage.far["s-0"].setups() if one == request.id] == []


def test_a_health_check_of_a_server_is_not_answered_by_its_successor() -> None:
    settings = replace(SETTINGS, front_count=2)
    with staged(settings=settings) as stage:
        viewer, address = stage.far_viewer(), Address(stage)
        successor = address.replace_process("s-new")
        viewer.send(request := stage.setup())
        stage.loop.until(lambda: any(line.received for line in successor.lines) or successor.poll())
        send_feed_event(stage, address.entry("s-new", "draining"))
        endpoint = next(iter(stage.node.server_pool.endpoints.values()))
        assert not endpoint.health_checks
        reply_to_health_checks(stage, successor)
        stage.loop.advance(5_000.0)
        viewer.poll()
        assert stage.answers[request.id].type == "release"
        assert successor.setups() == []


def refuse(stage: Stage, viewer: FarViewer, server: FarServer) -> None:
    """The server stops listening, and a set-up that needs a new connection meets that."""
    server.listener.close()
    busy, waiting = stage.setup(), stage.setup()
    viewer.send(busy, waiting)  # the first one takes the open connection
    stage.loop.until(lambda: viewer.poll() is not None and waiting.id in stage.answers)
    assert stage.answers[waiting.id].type == "release"
    server.line_of(busy.id).release(busy.id, 34)
    stage.loop.until(lambda: viewer.poll() is not None and busy.id in stage.answers)


@EVIDENCE
@pytest.mark.parametrize("status", ["up", "draining", "removed"])
def test_a_server_that_refuses_connections_and_plays_on_keeps_its_sessions(
    status: str, settings: Settings
) -> None:
    """One refused connection ended all sessions, though the connections to their process were in use."""
    with staged(settings=settings) as stage:
        viewer, address = stage.far_viewer(), Address(stage)
        id, line = stage.establish_session(viewer)
        refuse(stage, viewer, line.server)
        if status != "up":
            send_feed_event(stage, address.entry("s-0", status))
        play(stage, 30_000.0, line.server, reports_on=may_report(settings, line))
        assert not ended(stage, viewer, id)
        check_end_is_told(stage, viewer, id, line)


@EVIDENCE
@pytest.mark.parametrize("connection", ["silent", "reset", "closed"])
def test_a_server_that_refuses_connections_and_has_ended_loses_its_sessions(
    connection: str, settings: Settings
) -> None:
    with staged(settings=settings) as stage:
        viewer = stage.far_viewer()
        id, line = stage.establish_session(viewer)
        refuse(stage, viewer, line.server)
        vanish(line)
        if connection == "reset":
            line.reset()
        elif connection == "closed":
            line.close()
        play(stage, END_NOTICE_MS if connection == "silent" else 1_000.0)
        assert ended(stage, viewer, id)
        assert stage.ends[id].cause == 41


def adopted(stage: Stage, viewer: FarViewer, server: str) -> Message:
    """Announces a session that plays at a server already."""
    plays = stage.setup(extras=f"home:0;copies:4;top:0;viewer:00000000b4d65521;at:{server}")
    viewer.send(plays)
    stage.loop.settle()
    return plays


def is_playing(stage: Stage, id: str) -> bool:
    return stage.node.dispatcher.sessions.session(id) is not None


def test_a_session_announced_at_a_server_with_a_successor_at_its_address_is_ended_at_once() -> None:
    """Nothing leads to that server, so its end could never be noticed."""
    with staged() as stage:
        viewer, address = stage.far_viewer(), Address(stage)
        successor = address.replace_process("s-new")
        send_feed_event(stage, address.entry("s-new"))
        plays = adopted(stage, viewer, "s-0")
        assert not is_playing(stage, plays.id)
        stage.loop.until(lambda: viewer.poll() is not None and plays.id in stage.answers)
        assert stage.answers[plays.id].type == "release"
        assert successor.accept() is None


@pytest.mark.parametrize("plays_on", [True, False])
def test_sessions_announced_at_a_server_depend_on_messages_about_them_once_it_is_removed(
    plays_on: bool,
) -> None:
    """No connection is known to lead to their process. One message shows which does, for all of them."""
    with staged() as stage:
        viewer, address = stage.far_viewer(), Address(stage)
        first, second = adopted(stage, viewer, "s-0"), adopted(stage, viewer, "s-0")
        play(stage, 500.0)  # the node connects, so that the server can send the ends of its sessions
        (line,) = stage.far["s-0"].lines
        if not plays_on:
            address.replace_process("s-new")
        send_feed_event(stage, address.entry("s-0", "removed"))
        for _ in range(10):
            play(stage, REPORT_MS)
            if plays_on:
                send_report(stage, line, first.id)
        stage.loop.settle()
        assert is_playing(stage, first.id) is plays_on
        assert is_playing(stage, second.id) is plays_on
        for id in (first.id, second.id):
            viewer.send(Message("release", id, cause=16))
        stage.loop.until(lambda: not stage.node.dispatcher.sessions.session_count)


@pytest.mark.parametrize("successor_is_told", [True, False])
def test_a_removed_server_that_closed_its_idle_connection_is_connected_to_only_at_its_own_address(
    successor_is_told: bool,
) -> None:
    """It closes connections in order while sessions play, and needs a new one to send their ends."""
    with staged() as stage:
        viewer, address = stage.far_viewer(), Address(stage)
        id, line = stage.establish_session(viewer)
        send_feed_event(stage, address.entry("s-0", "removed"))
        if successor_is_told:
            successor = address.replace_process("s-new")
            send_feed_event(stage, address.entry("s-new"))
        line.close()
        stage.loop.settle()
        if successor_is_told:
            assert ended(stage, viewer, id)
            assert successor.accept() is None
            line.ended.add(id)
            return
        stage.loop.until(lambda: stage.far["s-0"].accept() is not None)
        new_line = stage.far["s-0"].lines[-1]
        new_line.release(id, 16)
        stage.loop.until(lambda: ended(stage, viewer, id))
        assert stage.ends[id].cause == 16


@pytest.mark.parametrize("is_connected", [True, False])
def test_the_release_of_a_session_goes_to_the_process_that_carries_it(is_connected: bool) -> None:
    """It left a session standing if it went to the successor only."""
    with staged() as stage:
        viewer, address = stage.far_viewer(), Address(stage)
        (first, one), (id, other) = stage.set_up(viewer), stage.set_up(viewer)
        one.answer(first)
        other.answer(id)
        for session in (first, id):
            wait_for_answer(stage, viewer, session)
        address.replace_process("s-new")
        tell(stage, address, "together", "s-0", "s-new")
        new, new_line = stage.establish_session(viewer)
        if not is_connected:
            other.close()
            stage.loop.settle()
        viewer.send(Message("release", id, cause=16))
        stage.loop.until(lambda: id in stage.far["s-0"].released)
        in_doubt = not is_connected
        assert (id in {frame.session for frame in new_line.poll() + new_line.received}) <= in_doubt
        assert not ended(stage, viewer, first)
        assert not ended(stage, viewer, new)


def test_a_server_listed_again_at_its_address_gets_set_ups_again() -> None:
    with staged() as stage:
        viewer, address = stage.far_viewer(), Address(stage)
        send_feed_event(stage, address.entry("s-new", "draining"))
        viewer.send(request := stage.setup())
        play(stage, 5_000.0)
        viewer.poll()
        assert stage.answers[request.id].type == "release"
        send_feed_event(stage, address.entry("s-new", "removed"))
        play(stage, 5_000.0)
        _, line = stage.establish_session(viewer)
        assert line.server.name == "s-0"


@pytest.mark.parametrize("how", ["removed", "moved"])
def test_a_server_whose_address_is_its_own_again_is_checked_and_used_as_before(how: str) -> None:
    """Its health checks failed for good, as the end of the other listing was not applied to it."""
    with staged(settings=SETTINGS) as stage:
        viewer, address = stage.far_viewer(), Address(stage)
        id, line = stage.establish_session(viewer)
        (endpoint,) = stage.node.server_pool.endpoints.values()
        send_feed_event(stage, address.entry("s-new", "draining"))
        assert endpoint.is_displaced
        elsewhere = {"address": "127.0.0.1:9"} if how == "moved" else {"status": "removed"}
        send_feed_event(stage, address.entry("s-new", "draining") | elsewhere)
        assert not endpoint.is_displaced
        play(stage, 3_000.0, line.server, reports_on=line)
        assert not ended(stage, viewer, id)
        _, new_line = stage.establish_session(viewer)
        assert new_line.server is line.server
        check_end_is_told(stage, viewer, id, line)
