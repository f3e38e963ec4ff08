"""Crossings of a node's connections, forced: both orders are made ready before its loop turns."""

from __future__ import annotations

from io import StringIO

from fernweir.node.frames import FrameType
from tests.node_scene import staged


def test_a_stage_plays_a_session_from_its_set_up_to_its_end() -> None:
    with staged() as stage:
        viewer = stage.far_viewer()
        id, line = stage.establish_session(viewer)
        assert stage.answers[id].type == "answer"
        line.release(id, 16)
        stage.loop.until(lambda: viewer.poll() is not None and id in stage.ends)


def test_an_open_set_up_at_a_lost_server_is_released_before_the_next_attempt() -> None:
    """It may only be cut off, and run what it was sent: two would be out at once."""
    with staged(2) as stage:
        loop, viewer = stage.loop, stage.far_viewer()
        first, home = stage.establish_session(viewer)
        loop.advance(2_400)  # short of the silence that a server is given
        for _ in range(2):  # each look's connection is not seen to come up
            stage.hold_next_connect(step_ms=10.0)
        id, out = stage.set_up(viewer)
        assert out.server is home.server and not stage.ends
        while "server lost" not in stage.log.getvalue():
            loop.jump(10.0)
            loop.turn()
        loop.until(lambda: len(stage.sent_to(id)) == 2)
        out.poll()
        assert [one.type for one in out.received if one.session == id] == [FrameType.SETUP, FrameType.RELEASE]
        stage.far[stage.sent_to(id)[0]].line_of(id).answer(id)
        loop.until(lambda: viewer.poll() is not None and id in stage.answers and first in stage.ends)
        home.ended.add(first)  # its machine is gone, and what played there


def test_a_client_that_half_closes_during_a_connect_is_rejected_at_once() -> None:
    """The clock stands: neither the connection's coming up nor a look every so often is waited for."""
    with staged() as stage:
        loop, viewer, message = stage.loop, stage.far_viewer(), stage.setup()
        viewer.send(message)
        fd = stage.hold_next_connect()
        viewer.end()
        loop.until(lambda: viewer.poll() is not None and message.id in stage.answers)
        assert (stage.answers[message.id].type, stage.answers[message.id].cause) == ("release", 34)
        loop.selected.held.discard(fd)
        loop.settle()
        assert stage.sent_to(message.id) == []


class NoLog(StringIO):
    """Whoever read the log is gone."""

    def write(self, text: str) -> int:
        raise BrokenPipeError("nobody reads")


def test_a_log_that_can_not_be_written_costs_no_answer() -> None:
    with staged(2) as stage:
        stage.node.log._stream = NoLog()
        viewer = stage.far_viewer()
        id, line = stage.set_up(viewer)
        line.release(id, 41)  # a failed attempt is written down
        line.ended.discard(id)
        stage.loop.until(lambda: len(stage.sent_to(id)) == 2)
        (again,) = {stage.far[name].line_of(id) for name in stage.sent_to(id)} - {line}
        again.answer(id)
        stage.loop.until(lambda: viewer.poll() is not None and id in stage.answers)
        assert stage.answers[id].type == "answer"
        stage.node.reload()  # of a configuration that can't be read
        stage.node.terminate()
        stage.loop.advance(stage.node.graceful_shutdown.drain_timeout_ms)
        assert stage.node.drained.is_set()
