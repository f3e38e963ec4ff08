"""Crossings around servers that can't be reached: connections that never come up, what waits for them."""

from __future__ import annotations

from tests.node_scene import staged
from tests.test_node_crossing_servers import answered


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
