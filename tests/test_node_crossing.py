"""Crossings of a node's connections, forced: both orders are made ready before its loop turns."""

from __future__ import annotations

from tests.node_scene import staged


def test_a_stage_plays_a_session_from_its_set_up_to_its_end() -> None:
    with staged() as stage:
        viewer = stage.far_viewer()
        id, line = stage.stands(viewer)
        assert stage.answers[id].type == "answer"
        line.release(id, 16)
        stage.loop.until(lambda: viewer.look() is not None and id in stage.ends)
