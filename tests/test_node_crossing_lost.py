"""Crossings around servers that can't be reached: releases that wait, connections that never come up."""

from __future__ import annotations

import pytest

from fernweir.node.frames import Type
from fernweir.node.jsonl import Message
from tests.node_scene import FarLine, FarViewer, Stage, staged
from tests.test_node_crossing_servers import answered, let_go, tell

HALF = slice(0, -5)


def half_answered(stage: Stage, viewer: FarViewer) -> tuple[str, FarLine]:
    """A set-up whose server answered it, and whose connection broke within the answer."""
    id, line = stage.set_up(viewer)
    line.answer(id, HALF)
    line.reset()
    return id, line


@pytest.mark.parametrize("who", ["viewer", "node"])
def test_a_release_goes_out_though_the_connection_made_for_it_never_comes_up(who: str) -> None:
    """What one late connection leaves unsaid stands at a server that lives."""
    with staged(servers=2 if who == "node" else 1) as stage:
        viewer = stage.far_viewer()
        id, line = half_answered(stage, viewer)
        stage.connecting()  # to hear whether its server lives
        if who == "viewer":
            viewer.send(Message("release", id, cause=16))
            stage.loop.until(lambda: not stage.node.core.host.sessions)
        stage.loop.advance(stage.node.servers.connect_s * 1000.0)  # it is late
        if who == "node":
            stage.loop.until(lambda: len(stage.sent_to(id)) == 2)
            new = next(one for one in stage.far.values() if one is not line.server).line_of(id)
            new.answer(id)
            answered(stage, viewer, id)
        assert id in line.server.stood
        stage.loop.advance(1_000.0)
        stage.loop.until(lambda: id in line.server.released)


def reset_while_new(stage: Stage, line: FarLine) -> None:
    """The next connection to that server comes up and breaks before the node sees it: somebody listens."""
    fd = stage.connecting()
    new = line.server.accept()
    assert new is not None
    new.reset()
    stage.loop.arrived(fd)
    let_go(stage, fd)


def test_a_release_held_back_for_a_set_up_that_never_left_goes_out_all_the_same() -> None:
    """Both wait for a connection; the set-up's never comes up, the other one has come up before."""
    with staged() as stage:
        viewer = stage.far_viewer()
        id, line = half_answered(stage, viewer)
        reset_while_new(stage, line)
        (link,) = stage.node.servers.links.values()
        stage.loop.until(lambda: link.letters)
        first, _ = stage.connecting(), stage.connecting()  # for the release, and the set-up that follows it
        assert not link.attempts[id].written and link.attempts[id].conn is link.conns[1]
        let_go(stage, first)
        stage.loop.settle()
        viewer.send(Message("release", id, cause=16))
        stage.loop.advance(1_000.0)
        assert id in line.server.released and len(stage.sent_to(id)) == 1


def test_a_release_that_met_a_reset_goes_before_the_set_up_that_is_carried_on_elsewhere() -> None:
    with staged() as stage:
        viewer = stage.far_viewer()
        (tired, idle), (other, busy) = stage.set_up(viewer), stage.set_up(viewer)
        id, line = half_answered(stage, viewer)
        fd = stage.connecting()
        viewer.send(Message("release", tired, cause=16))
        stage.loop.until(lambda: tired in line.server.released)
        (link,) = stage.node.servers.links.values()
        let_go(stage, fd)
        while not link.conns[-1].usable:
            stage.loop.turn()
        new = line.server.lines[-1]
        stage.loop.selected.held.add(fd)  # the break is in the kernel, and seen by who writes
        new.reset()
        stage.loop.arrived(fd)
        stage.loop.until(lambda: len(stage.sent_to(id)) == 2)
        let_go(stage, fd)
        stage.loop.settle()
        assert [one.type for one in idle.heard if one.session == id] == [Type.RELEASE, Type.SETUP]
        idle.answer(id)
        answered(stage, viewer, id)
        busy.answer(other)
        answered(stage, viewer, other)


def lost(stage: Stage) -> None:
    """Two looks' connections never come up, the clock going on; the open ones are silent."""
    stage.loop.advance(2_400.0)  # short of the silence that a server is given
    for _ in range(2):
        stage.connecting(step_ms=10.0)
    while "server lost" not in stage.log.getvalue():
        stage.loop.jump(10.0)
        stage.loop.turn()


def test_what_stands_at_a_server_taken_for_lost_is_released_there_once_it_is_back() -> None:
    """It may have been cut off only, and its sessions were told over."""
    with staged() as stage:
        viewer = stage.far_viewer()
        id, line = stage.stands(viewer)
        lost(stage)
        stage.loop.until(lambda: viewer.look() is not None and id in stage.ends)
        stage.loop.advance(1_000.0)
        assert len(line.server.lines) == 1 and id in line.server.standing()  # nothing is made for it
        wish, new = stage.set_up(viewer)
        assert id in {one.session for one in new.heard if one.type is Type.RELEASE}
        new.answer(wish)
        answered(stage, viewer, wish)


def test_nothing_new_goes_on_the_connections_of_a_server_taken_for_lost() -> None:
    """Its machine may be another by now; a connection of before tells that by a set-up's time-out."""
    with staged() as stage:
        viewer = stage.far_viewer()
        id, line = stage.stands(viewer)
        lost(stage)
        stage.loop.until(lambda: viewer.look() is not None and id in stage.ends)
        line.ended.add(id)
        stage.loop.advance(1_000.0)
        wish, new = stage.set_up(viewer)
        assert new is not line
        new.answer(wish)
        answered(stage, viewer, wish)


def test_nothing_new_goes_on_connections_from_before_a_servers_start() -> None:
    with staged() as stage:
        viewer = stage.far_viewer()
        id, line = stage.stands(viewer)
        line.ended.add(id)
        stage.loop.advance(100.0)
        started = stage.loop.clock * 1000.0 + stage.node.feed._offset
        tell(stage, stage.line("s-0", since_ms=started))
        stage.loop.until(lambda: viewer.look() is not None and id in stage.ends)
        stage.loop.advance(1_000.0)
        wish, new = stage.set_up(viewer)
        assert new is not line
        new.answer(wish)
        answered(stage, viewer, wish)
        other, again = stage.set_up(viewer)
        assert again is new
        again.answer(other)
        answered(stage, viewer, other)


def test_connections_that_are_late_at_once_are_one_failed_look() -> None:
    with staged() as stage:
        viewer = stage.far_viewer()
        id, line = stage.stands(viewer)
        first, _ = stage.set_up(viewer)  # on that connection
        wishes = [stage.setup() for _ in range(2)]
        viewer.send(*wishes)
        for _ in wishes:
            stage.connecting()
        stage.loop.advance(1_000.0)
        assert "server lost" not in stage.log.getvalue() and id not in stage.ends
        line.answer(first)
        answered(stage, viewer, first)


def test_a_release_on_a_connection_whose_other_end_never_ends_is_said_again() -> None:
    """A cut may hold it, and the end of this side beside an answer that comes late drops it."""
    with staged(servers=2) as stage:
        viewer = stage.far_viewer()
        id, line = stage.set_up(viewer)
        (link,) = stage.node.servers.links.values()
        stage.loop.advance(link.attempts[id].command.timeout_ms)
        stage.loop.until(lambda: len(stage.sent_to(id)) == 2)
        new = next(one for one in stage.far.values() if one is not line.server).line_of(id)
        new.answer(id)
        answered(stage, viewer, id)
        assert not link.attempts and Type.RELEASE in [one.type for one in line.heard]
        stage.loop.advance(2_000.0)  # this side's end is not answered
        line.server.look()
        assert [[one.type for one in other.heard] for other in line.server.lines if other is not line] == [
            [Type.RELEASE]
        ]
