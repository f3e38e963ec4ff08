"""Fronts that know one another, on sockets in one process: what becomes of sessions when one is gone."""

from __future__ import annotations

import asyncio
import secrets
from dataclasses import replace
from typing import Any

from fernweir.front.program import start_front
from fernweir.peers.acts.clock import Clocks
from fernweir.peers.acts.merge import Answer
from fernweir.peers.acts.plan import parse
from fernweir.peers.acts.rules import ActRules
from fernweir.peers.channel.directory import Found
from fernweir.peers.estimate.limits import Refused
from fernweir.peers.foresight import Allowed, Foresight, ForesightRules
from fernweir.peers.lease.rules import KeeperSet
from fernweir.peers.program import Peers
from fernweir.rehearsal.site import SitePlan
from fernweir.standin.leases import LeaseDesk
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
    copies = [
        copy
        for channel in replica.replicated_channels()
        if (copy := replica.find_replica(channel)) is not None
    ]
    standings = [each for copy in copies if copy.complete for each in copy.statuses.values()]
    return sum(replica.payload_of(each.payload) is not None for each in standings)


async def reach(scene: Scene, wish: Wish, front: int, method: str = "GET") -> None:
    """Asks as viewers do: again while it is refused for now."""
    resource = "session" if method == "DELETE" else "manifest.mpd"
    for _ in range(500):
        reply = await scene.http(method, f"/lessons/{wish.title}/{resource}", wish, front=front)
        if reply.status != 503:
            break
        await asyncio.sleep(0.02)
    assert reply.status in (200, 204), reply


def test_a_killed_front_s_sessions_go_on_and_any_front_reaches_them() -> None:
    async def story(scene: Scene) -> None:
        peers = await fleet(scene)
        wishes = [scene.wish(f"lesson-{number % 3}", play_s=60.0) for number in range(9)]
        for wish in wishes:
            assert (await scene.request_session(wish, front=0)).status == 200
        path = "/lessons/lesson-0/manifest.mpd"
        first = wishes[0]
        # At a front that does not hold it: carried to its owner, and no second set-up.
        assert (await scene.http("GET", path, first, front=1)).status == 200
        assert (await scene.http("HEAD", path, first, front=2)).status == 200
        assert len(scene.records_of("box.setup", session=first.session)) == 1
        hosts = [front.core.sessions for front in scene.fronts]
        assert [host.session_count for host in hosts] == [9, 0, 0]
        await until(lambda: all(copied(one) >= 9 for one in peers[1:]))
        scene.trace.write("front.down", front="front-0")
        scene.fronts[0].kill()
        await until(lambda: hosts[1].session_count + hosts[2].session_count == 9)
        for wish in wishes:
            at = 1 if hosts[1].session(wish.session) is None else 2
            await reach(scene, wish, at)
        assert len(scene.records_of("box.setup")) == 9 and not scene.records_of("box.end")
        # The heir steers: its viewer's end reaches the box.
        await reach(scene, first, 1, "DELETE")
        await until(lambda: bool(scene.records_of("box.end", session=first.session)))
        assert all(one["accepted"] for one in scene.records_of("box.steer"))

    play(story, PLAN, fronts=0)


def test_a_stopped_front_hands_its_sessions_on_and_none_ends() -> None:
    async def story(scene: Scene) -> None:
        peers = await fleet(scene)
        wishes = [scene.wish(f"lesson-{number % 3}", play_s=60.0) for number in range(9)]
        for wish in wishes:
            assert (await scene.request_session(wish, front=0)).status == 200
        hosts = [front.core.sessions for front in scene.fronts]
        leaving = peers[0]
        scene.trace.write("front.down", front="front-0")
        assert await scene.fronts[0].stop(10.0)
        assert leaving.peer.left and hosts[0].session_count == 0
        assert hosts[1].session_count + hosts[2].session_count == 9
        for wish in wishes:
            await reach(scene, wish, 1)
            await reach(scene, wish, 2)
        assert len(scene.records_of("box.setup")) == 9 and not scene.records_of("box.end")
        claims = scene.records_of("box.claim")
        assert claims and all(one["accepted"] for one in claims)
        await until(lambda: all("front-0" not in one.peer.members.alive() for one in peers[1:]))

    play(story, PLAN, fronts=0)


def test_seats_move_with_sessions_and_are_never_doubled() -> None:
    async def story(scene: Scene) -> None:
        peers = await fleet(scene)
        wishes = [scene.wish("lesson-0", "briefing", play_s=60.0) for _ in range(4)]
        for wish in wishes:
            assert (await scene.request_session(wish, front=0)).status == 200
        assert scene.desk is not None and len(scene.desk.held_by("front-0")) == 4  # every seat there is
        await until(lambda: all(copied(one) >= 4 for one in peers[1:]))
        scene.trace.write("front.down", front="front-0")
        assert await scene.fronts[0].stop(10.0)
        hosts = [front.core.sessions for front in scene.fronts[1:]]
        await until(lambda: sum(len(scene.desk.held_by(name)) for name in ("front-1", "front-2")) == 4)
        assert sum(host.session_count for host in hosts) == 4 and not scene.records_of("box.end")
        report = scene.desk.report
        assert report.most_over == 0 and report.most_by_session == 1
        # Four seats changed hands: fenced by the heirs, or, on a slow machine, run out just before.
        assert report.granted == 8 and report.fenced + report.expired == 4
        # The seats are full: nobody else gets in at the heirs, and each seat is free once its session ends.
        assert (await scene.request_session(scene.wish("lesson-0", "briefing"), front=1)).status == 503
        for wish in wishes:
            await reach(scene, wish, 2, "DELETE")
        await until(lambda: not scene.desk.leases)

    play(story, PLAN, fronts=0, desk=LeaseDesk(ttl_ms=2_000.0, default=4))


def test_a_front_whose_clock_was_set_back_lives_on_above_its_earlier_life() -> None:
    async def story(scene: Scene) -> None:
        peers = await fleet(scene)
        life, address = peers[2].peer.me.life, peers[2].peer.me.address
        scene.trace.write("front.down", front="front-2")
        scene.fronts[2].kill()
        await peers[2].stop()
        scene.site.wall_offset_s -= 3_600.0
        seed = ":".join(map(str, peers[0].peer.me.address))
        scene.extra = scene.extra.replace("listen = 127.0.0.1:0", f"listen = 127.0.0.1:{address[1]}")
        scene.extra = scene.extra[: scene.extra.index("seeds")] + f"seeds = {seed}\n"
        config = scene.site.config(2, extra=scene.extra)
        front = await start_front(config, wall_offset_s=scene.site.wall_offset_s)
        scene.fronts[2] = front
        again = front.peers
        assert again is not None and again.peer.me.life < life
        await until(lambda: len(again.peer.owning.owned()) >= 2)
        assert again.peer.me.life > life
        await until(lambda: all(one.peer.members.life("front-2") > life for one in peers[:2]))

    play(story, PLAN, fronts=0)


def test_operators_ask_what_a_front_did_that_was_killed() -> None:
    async def story(scene: Scene) -> None:
        peers = await fleet(scene)
        wish = scene.wish(play_s=60.0)
        assert (await scene.request_session(wish, front=0)).status == 200
        life = peers[0].peer.me.life
        await until(lambda: any(one.peer.recording.store.shelf("front-0", life) for one in peers[1:]))
        await until(lambda: "front-0" in peers[1].peer.foresight.catalogue.owners())
        scene.trace.write("front.down", front="front-0")
        scene.fronts[0].kill()
        await until(lambda: all("front-0" not in one.peer.members.alive() for one in peers[1:]))
        told: list[dict[str, Any]] = []
        peers[1].questions.ask({"question": "acts", "deed": "setup", "session": wish.session}, told.append)
        peers[2].questions.ask({"question": "nonsense"}, told.append)
        await until(lambda: len(told) == 2)
        assert told[0]["ok"] is False and told[0]["error"]
        answer = told[1]
        (row,) = answer["rows"]
        assert (row["front"], row["box"]) == ("front-0", scene.records_of("box.setup")[0]["box"])
        # A copy answered for the dead: what it did last may be missing, and that is said.
        assert answer["whole"] is False and {gap["front"] for gap in answer["gaps"]} == {"front-0"}
        # What it would touch was told before it was put; one over its budget is not put at all.
        low, guess, high = answer["estimate"]["rows"]
        assert low <= guess <= high and high >= 1 and answer["estimate"]["failed"] == []
        peers[1].peer.foresight.pressed(scene.fronts[1].core.now(), 1.0)  # viewers come first
        told.clear()
        peers[1].questions.ask({"question": "acts"}, told.append)
        assert told[0]["ok"] is False and "viewers come first" in told[0]["error"]
        assert told[0]["estimate"]["rows"][2] >= 1 and told[0]["wait_ms"] > 0
        # A front that goes on under a later life answers what was asked in this one, with what has come.
        told.clear()
        peers[2].questions.ask({"question": "acts"}, told.append)
        assert not told
        peers[2].peer.end(scene.fronts[2].core.now())
        assert len(told) == 1 and told[0]["whole"] is False
        assert {gap["front"]: gap["why"] for gap in told[0]["gaps"]}["front-1"] == "unreached"

    play(story, PLAN, fronts=0)


def test_an_order_is_weighed_on_what_all_fronts_say_before_it_is_given() -> None:
    async def story(scene: Scene) -> None:
        peers = await fleet(scene)
        wishes = [scene.wish(f"lesson-{number % 3}", play_s=60.0) for number in range(12)]
        for number, wish in enumerate(wishes):
            assert (await scene.request_session(wish, front=number % 3)).status == 200
        asker = peers[0]
        loads = asker.peer.weighing._loads
        await until(lambda: sum(load.sessions for load, _ in loads.values()) == 12)
        told: list[dict[str, Any]] = []
        for order in (
            {"order": "drain-rack", "rack": "0", "limit": {"ration": 1e9, "uplink": 1e9}},
            {"order": "drain-rack", "rack": "1", "limit": {"sessions": 1e9, "uplink": 1e-9}},
            {"order": "restart-front", "front": "front-1"},
            {"order": "raise-epoch", "least": 1},
            {"order": "drain-rack", "rack": ""},
        ):
            asker.questions.ask(order, told.append)
        standing = [front.core.sessions.records().values() for front in scene.fronts]
        there = [sum(held.server % 2 == 1 for held in each) for each in standing]  # cell 0, 2: boxes 1, 3
        low, _, high = told[0]["sessions"]
        assert low <= sum(there) <= high and told[0]["missing"] == []
        assert told[0]["first_wave"] and told[1]["first_wave"] == []
        low, _, high = told[2]["sessions"]
        assert low <= len(standing[1]) <= high
        assert told[3]["fronts"][0] <= 3 <= told[3]["fronts"][2]
        assert told[4]["ok"] is False and "rack" in told[4]["error"]

    play(story, PLAN, fronts=0)


def test_of_a_session_that_could_not_begin_nothing_is_kept() -> None:
    async def story(scene: Scene) -> None:
        peers = await fleet(scene)
        for box in scene.site.boxes:
            scene.set_behaviour(box, fail_share=1.0)
        wish = scene.wish(play_s=60.0)
        assert (await scene.request_session(wish, front=0)).status == 503
        assert scene.records_of("box.setup")  # it was tried, in a channel of this front's
        peer = peers[0].peer
        assert not peer.owning.in_channel(wish.session)
        peer.directory.find(scene.fronts[0].core.now(), wish.session)
        told = [effect for effect in peer.directory.take_effects() if isinstance(effect, Found)]
        assert not any(found.owner == "front-0" for found in told)

    play(story, PLAN, fronts=0)


def test_keepers_are_replaced_while_leases_are_held() -> None:
    async def story(scene: Scene) -> None:
        peers = await fleet(scene, 4)
        wish = scene.wish(play_s=60.0)
        assert (await scene.request_session(wish, front=0)).status == 200
        held = {one.peer.me.name: set(one.peer.owning.owned()) for one in peers[:3]}
        scene.trace.write("front.down", front="front-3")
        assert await scene.fronts[3].stop(10.0)
        keepers = "keepers = front-0, front-1, front-2"
        scene.extra = scene.extra.replace(keepers, "keepers = front-1, front-2, front-3\nkeepers-version = 2")
        front = await start_front(scene.site.config(3, extra=scene.extra))
        scene.fronts[3] = front
        assert front.peers is not None
        fronts = [*peers[:3], front.peers]
        new = KeeperSet(2, ("front-1", "front-2", "front-3"))
        await until(lambda: all(one.peer.replacing.sets == (new,) for one in fronts), 60.0)
        # Nobody lost a lease by it, and the new ones grant alone: two of them, without the old.
        assert all(held[one.peer.me.name] <= set(one.peer.owning.owned()) for one in peers[:3])
        await until(lambda: len(fronts[3].peer.owning.owned()) >= 2)
        scene.trace.write("front.down", front="front-0")
        scene.fronts[0].kill()
        hosts = [one.core.sessions for one in scene.fronts[1:]]
        await until(lambda: any(host.session(wish.session) is not None for host in hosts))
        assert len(scene.records_of("box.setup")) == 1 and not scene.records_of("box.end")

    play(story, replace(PLAN, fronts=4), fronts=0)


def test_a_record_kept_on_disk_is_there_in_the_next_life_and_a_bad_disk_stops_nobody() -> None:
    async def story(scene: Scene) -> None:
        peers = await fleet(scene)
        scene.extra += "record = acts-{}\n"
        again: list[Peers] = []
        for turn in range(3):  # first without a disk, then with one, then with what that kept
            scene.trace.write("front.down", front="front-2")
            assert await scene.fronts[2].stop(10.0)
            extra = scene.extra.replace("acts-{}", "acts")
            front = scene.fronts[2] = await start_front(scene.site.config(2, extra=extra))
            assert front.peers is not None
            again.append(front.peers)
            await until(lambda: "front-2" in peers[0].peer.members.alive())
            await until(lambda: len(again[-1].peer.owning.owned()) >= 2)
            if turn == 0:
                scene.trace.write("front.up", front="front-2")
                wish = scene.wish(play_s=60.0)
                assert (
                    await scene.http("GET", "/lessons/lesson-0/manifest.mpd", wish, front=2)
                ).status == 200
        lives = [one.peer.me.life for one in again]
        shelf = again[2]._store.shelf("front-2", lives[0])
        assert shelf is not None and shelf.final  # all of it, to the orderly end
        told: list[dict[str, Any]] = []
        again[2].questions.ask({"question": "acts", "session": wish.session, "deed": "setup"}, told.append)
        await until(lambda: bool(told))
        assert [row["life"] for row in told[0]["rows"]] == [lives[0]] and told[0]["whole"]
        (scene.site.folder / "no-folder").write_text("a file in its place")
        scene.trace.write("front.down", front="front-1")
        assert await scene.fronts[1].stop(10.0)
        extra = scene.extra.replace("acts-{}", "no-folder")
        front = scene.fronts[1] = await start_front(scene.site.config(1, extra=extra))
        assert front.peers is not None
        await until(lambda: "front-1" in peers[0].peer.members.alive())

    play(story, PLAN, fronts=0)


def test_questions_give_way_as_timers_come_late() -> None:
    rules = ForesightRules()
    clocks = Clocks("a", 1, ActRules(), 0)
    foresight = Foresight("a", 1, rules, 0.0, clocks)
    question = parse({"question": "acts"})
    foresight.felt(0.0, rules.usual_ms)  # as late as timers are
    first = foresight.allow(0.0, question, 0.0, 1_000.0)
    assert isinstance(first, Allowed)
    foresight.settle(0.0, first, Answer(question, 0.0))
    foresight.felt(10.0, rules.full_ms + rules.usual_ms)
    refused = foresight.allow(10.0, question, 0.0, 1_000.0)
    assert isinstance(refused, Refused) and refused.why == "viewers come first"
    later = 10.0
    for _ in range(8):  # one late timer is soon forgotten, and what may be touched comes back with time
        later += rules.calm_ms
        foresight.felt(later, 0.0)
    assert isinstance(foresight.allow(later, question, 0.0, 1_000.0), Allowed)
