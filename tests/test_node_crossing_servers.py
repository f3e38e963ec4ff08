"""Crossings on a node's connections to media servers, forced: whatever meets, in either order."""

from __future__ import annotations

import pytest

from fernweir.node.course import At, Course
from tests.node_scene import FarLine, FarViewer, Stage, staged


def let_go(stage: Stage, fd: int) -> None:
    stage.loop.selected.held.discard(fd)


def answered(stage: Stage, viewer: FarViewer, id: str) -> str:
    """Turns until the viewer has its answer: what it says."""
    stage.loop.until(lambda: viewer.look() is not None and id in stage.answers)
    return stage.answers[id].sdp or str(stage.answers[id].cause)


def line_of(stage: Stage, id: str) -> FarLine:
    """Turns until a set-up is at a media server: the connection that it came on last."""
    stage.loop.until(lambda: stage.sent_to(id))
    return stage.far[stage.sent_to(id)[-1]].line_of(id)


def test_a_connection_goes_onward_only() -> None:
    course = Course()
    course.retire()  # one that is being made is not blamed
    assert course.connecting and not course.carries and not course.close()
    assert course.came_up() and not course.came_up() and not course.give_up()
    assert course.takes and course.carries
    course.retire()
    assert course.carries and not course.takes and course.close() and not course.close()
    assert course.end() and not course.end()
    course.retire()
    assert course.at is At.OVER
    given_up = Course()
    assert given_up.give_up() and not given_up.give_up() and not given_up.came_up() and not given_up.end()


@pytest.mark.parametrize("turns", range(5))
def test_the_connect_time_ends_in_each_turn_of_a_connection_that_comes_up(turns: int) -> None:
    """It is up before its time ends, and carries its set-up; or it is given up, and carries nothing."""
    with staged(servers=2) as stage:
        viewer = stage.far_viewer()
        viewer.send(wish := stage.setup())
        let_go(stage, stage.connecting())
        stage.loop.turn(turns)
        stage.loop.jump(stage.node.servers.connect_s * 1000.0)
        stage.loop.turn(2)
        line = line_of(stage, wish.id)
        stage.loop.settle()
        assert len(stage.sent_to(wish.id)) == 1
        line.answer(wish.id)
        assert answered(stage, viewer, wish.id) == f"{line.server.name} {wish.id}\r\n"
        lines = [line for far in stage.far.values() for line in far.lines]
        given_up = "connect_failed" in stage.log.getvalue()
        assert given_up is (len(lines) == 2) and given_up is (turns < 2)
        assert not [one for one in lines if one is not line and one.heard]
