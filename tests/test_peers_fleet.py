"""Fronts that know one another, on sockets in one process: what becomes of sessions when one is gone."""

from __future__ import annotations

import asyncio
import secrets
from dataclasses import replace

from fernweir.peers.program import Peers
from fernweir.rehearsal.site import SitePlan
from fernweir.standin.site import SiteTimes
from fernweir.standin.viewer import Wish
from tests.scene import Scene, play
from tests.sockets import until

TIMES = SiteTimes(tell=200.0, seen_after=50.0, set_up=(2.0, 6.0), idle=20_000.0, orphan=300.0, overlap=400.0)
PLAN = replace(SitePlan(), times=TIMES, fronts=3)


async def fleet(scene: Scene, count: int = 3) -> list[Peers]:
    """Starts fronts with peers, and waits until each holds its channels."""
    (scene.site.folder / "fleet.key").write_text(secrets.token_hex(32))
    seeds: list[str] = []
    for ordinal in range(count):
        scene.extra = (
            "[peers]\nlisten = 127.0.0.1:0\nkey = fleet.key\nlease = 1500 ms\noverlap = 400 ms\nparts = 2\n"
            "keepers = front-0, front-1, front-2\n" + (f"seeds = {seeds[0]}\n" if seeds else "")
        )
        front = await scene.start_front(ordinal)
        assert front.peers is not None
        host, port = front.peers.peer.me.address
        seeds.append(f"{host}:{port}")
    peers = [front.peers for front in scene.fronts if front.peers is not None]
    await until(lambda: all(len(one.peer.members.alive()) == count for one in peers))
    await until(lambda: all(len(one.peer.owning.owned()) >= 2 for one in peers))
    return peers


def copied(one: Peers) -> int:
    """Sessions of others that this front has whole copies of, with what their viewers are answered from."""
    replica = one.peer.owning.replica
    copies = [copy for channel in replica.copies() if (copy := replica.copy(channel)) is not None]
    standings = [each for copy in copies if copy.whole for each in copy.standings.values()]
    return sum(replica.payload_of(each.payload) is not None for each in standings)


async def reach(scene: Scene, wish: Wish, front: int) -> None:
    """Asks as viewers do: again while it is refused for now."""
    for _ in range(200):
        reply = await scene.http("GET", f"/lessons/{wish.title}/manifest.mpd", wish, front=front)
        if reply.status != 503:
            break
        await asyncio.sleep(0.02)
    assert reply.status == 200


def test_a_killed_front_s_sessions_go_on_and_any_front_reaches_them() -> None:
    async def story(scene: Scene) -> None:
        peers = await fleet(scene)
        wishes = [scene.wish(f"lesson-{number % 3}", play_s=60.0) for number in range(9)]
        for wish in wishes:
            assert (await scene.ask(wish, front=0)).status == 200
        path = "/lessons/lesson-0/manifest.mpd"
        first = wishes[0]
        # At a front that does not hold it: carried to its owner, and no second set-up.
        assert (await scene.http("GET", path, first, front=1)).status == 200
        assert (await scene.http("HEAD", path, first, front=2)).status == 200
        assert len(scene.of("box.setup", session=first.session)) == 1
        hosts = [front.core.host for front in scene.fronts]
        assert [host.sessions for host in hosts] == [9, 0, 0]
        await until(lambda: all(copied(one) >= 9 for one in peers[1:]))
        scene.trace.write("front.down", front="front-0")
        scene.fronts[0].kill()
        await until(lambda: hosts[1].sessions + hosts[2].sessions == 9)
        for wish in wishes:
            at = 1 if hosts[1].session(wish.session) is None else 2
            await reach(scene, wish, at)
        assert len(scene.of("box.setup")) == 9 and not scene.of("box.end")
        # The heir steers: its viewer's end reaches the box.
        assert (await scene.http("DELETE", "/lessons/lesson-0/session", first, front=1)).status == 204
        await until(lambda: bool(scene.of("box.end", session=first.session)))
        assert all(one["accepted"] for one in scene.of("box.steer"))

    play(story, PLAN, fronts=0)


def test_a_stopped_front_hands_its_sessions_on_and_none_ends() -> None:
    async def story(scene: Scene) -> None:
        peers = await fleet(scene)
        wishes = [scene.wish(f"lesson-{number % 3}", play_s=60.0) for number in range(9)]
        for wish in wishes:
            assert (await scene.ask(wish, front=0)).status == 200
        hosts = [front.core.host for front in scene.fronts]
        leaving = peers[0]
        scene.trace.write("front.down", front="front-0")
        assert await scene.fronts[0].stop(10.0)
        assert leaving.peer.left and hosts[0].sessions == 0
        assert hosts[1].sessions + hosts[2].sessions == 9
        for wish in wishes:
            await reach(scene, wish, 1)
            await reach(scene, wish, 2)
        assert len(scene.of("box.setup")) == 9 and not scene.of("box.end")
        claims = scene.of("box.claim")
        assert claims and all(one["accepted"] for one in claims)
        await until(lambda: all("front-0" not in one.peer.members.alive() for one in peers[1:]))

    play(story, PLAN, fronts=0)
