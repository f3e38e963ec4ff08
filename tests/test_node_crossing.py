"""Races between the connections of a node, with both event orders forced before the loop polls."""

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
    """The server may only be unreachable and still run the set-up, so two attempts would be in flight."""
    with staged(2) as stage:
        loop, viewer = stage.loop, stage.far_viewer()
        first, home = stage.establish_session(viewer)
        loop.advance(2_400)  # less than the silence timeout of a server
        for _ in range(2):  # the connects of both checks stay pending
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
        home.ended.add(first)  # the machine is gone, along with its sessions


def test_a_client_that_half_closes_during_a_connect_is_rejected_at_once() -> None:
    """The clock does not advance, so neither the connect nor a periodic check is waited for."""
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
    """A log stream whose reader has disconnected."""

    def write(self, text: str) -> int:
        raise BrokenPipeError("nobody reads")


def test_a_log_that_can_not_be_written_costs_no_answer() -> None:
    with staged(2) as stage:
        stage.node.log._stream = NoLog()
        viewer = stage.far_viewer()
        id, line = stage.set_up(viewer)
        line.release(id, 41)  # a failed attempt is logged
        line.ended.discard(id)
        stage.loop.until(lambda: len(stage.sent_to(id)) == 2)
        (again,) = {stage.far[name].line_of(id) for name in stage.sent_to(id)} - {line}
        again.answer(id)
        stage.loop.until(lambda: viewer.poll() is not None and id in stage.answers)
        assert stage.answers[id].type == "answer"
        stage.node.reload()  # with a configuration that cannot be read
        stage.node.terminate()
        stage.loop.advance(stage.node.graceful_shutdown.drain_timeout_ms)
        assert stage.node.drained.is_set()
