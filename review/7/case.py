"""Case 7: a media server vanishes, and its replacement, with a new name, comes up at its address."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
from scene import OVER, CaseNotRunError, Scene, Viewer, play

SERVERS = 6  # up to 19% vanish; here one of six
SESSIONS = 3
REPLACED_AFTER_S = 1.0
LISTED_AFTER_S = 3.0  # the site's list comes 1.1 to 4.3 s late
END_BOUND_S = 8.0  # PROTOCOL: if no release could be sent, it must come within 8 s of the end
SLACK_S = 0.05  # PROTOCOL: each time limit grows by 50 ms
OBSERVED_S = 40.0


async def case(scene: Scene) -> list[str]:
    """Plays sessions on a server that vanishes; the replacement takes over its address."""
    await scene.start_servers(SERVERS)
    await scene.start_node()
    viewers: dict[str, Viewer] = {}
    for count in range(SESSIONS):
        session, viewer = scene.new_session(), await scene.viewer(f"viewer {count + 1}")
        viewers[session] = viewer
        viewer.set_up(session, "briefing")
        if not await scene.until(lambda v=viewer, s=session: v.first(s, "answer"), 3.5):
            raise CaseNotRunError(f"{session} got no answer")
    old = next(one for one in scene.servers if one.standing)
    if set(old.standing) != set(viewers):
        raise CaseNotRunError("the sessions are not on one server")
    await asyncio.sleep(3.0)
    ended_at = scene.record.now()
    if scene.has_trouble:
        old.vanish()
        await asyncio.sleep(REPLACED_AFTER_S)
        new = scene.server("s-7", old.group)
        await new.listen(old.port)
        await asyncio.sleep(LISTED_AFTER_S - REPLACED_AFTER_S)
        scene.feed.add(old.listed("removed"), new.listed())
    else:
        for session in viewers:
            old.release(session, OVER)
    await scene.until(
        lambda: all(viewer.first(session, "release", "move") for session, viewer in viewers.items()),
        OBSERVED_S,
    )
    return judge(scene, viewers, ended_at)


def judge(scene: Scene, viewers: dict[str, Viewer], ended_at: float) -> list[str]:
    """Returns the sessions whose viewers were not told of the end in time."""
    violations = []
    for session, viewer in viewers.items():
        told = viewer.first(session, "release", "move")
        late_s = (scene.record.now() if told is None else told[0]) - ended_at
        if late_s > END_BOUND_S + SLACK_S:
            when = f"not told within {late_s:.1f} s" if told is None else f"told after {late_s:.1f} s"
            violations.append(f"{session} ended with its server at {ended_at:.1f} s; its viewer was {when}")
    return violations


if __name__ == "__main__":
    sys.exit(play(case, Path(__file__).resolve().parent))
