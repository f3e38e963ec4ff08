"""Fronts that know one another, on sockets in one process: what becomes of sessions when one is gone."""

from __future__ import annotations

import asyncio
import secrets
from dataclasses import replace
from typing import Any

import pytest

from fernweir.front.program import start_front
from fernweir.peers.acts.clock import Clocks
from fernweir.peers.acts.merge import Answer
from fernweir.peers.acts.plan import parse
from fernweir.peers.acts.rules import ActRules
from fernweir.peers.channel.directory import Found
from fernweir.peers.estimate.limits import Refused
from fernweir.peers.lease.rules import KeeperSet
from fernweir.peers.program import Peers
from fernweir.peers.query_planning import Admitted, QueryPlanner, QueryPlannerRules
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
    await until(lambda: all(len(one.peer.channels.owned_channels()) >= 2 for one in peers))
    return peers


def replicated_sessions(one: Peers) -> int:
    """Returns the number of sessions in complete replicas of this front whose payload it has, too."""
    replica = one.peer.channels.replica
    copies = [
        copy
        for channel in replica.replicated_channels()
        if (copy := replica.find_replica(channel)) is not None
    ]
    standings = [each for copy in copies if copy.complete for each in copy.statuses.values()]
    return sum(replica.payload_of(each.payload) is not None for each in standings)


def has_replica(one: Peers, front: str, life: int, block: int) -> bool:
    """Whether a front has the blocks of a peer's audit log up to this one."""
    shelf = one.peer.audit.store.shelf(front, life)
    return shelf is not None and bool(shelf.numbers) and shelf.numbers.last >= block


async def request_until_accepted(scene: Scene, wish: Wish, front: int, method: str = "GET") -> None:
    """Sends a request, and retries it while the reply is 503, as viewers do."""
    resource = "session" if method == "DELETE" else "manifest.mpd"
    for _ in range(500):
        reply = await scene.http(method, f"/lessons/{wish.title}/{resource}", wish, front=front)
        if reply.status != 503:
            break
        await asyncio.sleep(0.02)
    assert reply.status in (200, 204), reply


def test_sessions_of_a_killed_front_continue_and_any_front_reaches_them() -> None:
    async def scenario(scene: Scene) -> None:
        peers = await fleet(scene)
        wishes = [scene.wish(f"lesson-{number % 3}", play_s=60.0) for number in range(9)]
        for wish in wishes:
            assert (await scene.request_session(wish, front=0)).status == 200
        path = "/lessons/lesson-0/manifest.mpd"
        first = wishes[0]
        # A front that does not own the session forwards the request to the owner, without a second set-up.
        assert (await scene.http("GET", path, first, front=1)).status == 200
        assert (await scene.http("HEAD", path, first, front=2)).status == 200
        assert len(scene.records_of("box.setup", session=first.session)) == 1
        hosts = [front.core.sessions for front in scene.fronts]
        assert [host.session_count for host in hosts] == [9, 0, 0]
        await until(lambda: all(replicated_sessions(one) >= 9 for one in peers[1:]))
        scene.trace.write("front.down", front="front-0")
        scene.fronts[0].kill()
        await until(lambda: hosts[1].session_count + hosts[2].session_count == 9)
        for wish in wishes:
            at = 1 if hosts[1].session(wish.session) is None else 2
            await request_until_accepted(scene, wish, at)
        assert len(scene.records_of("box.setup")) == 9 and not scene.records_of("box.end")
        # The successor controls the session: the end by its viewer reaches the server.
        await request_until_accepted(scene, first, 1, "DELETE")
        await until(lambda: bool(scene.records_of("box.end", session=first.session)))
        assert all(one["accepted"] for one in scene.records_of("box.steer"))

    play(scenario, PLAN, fronts=0)


def test_a_stopped_front_hands_off_its_sessions_and_none_ends() -> None:
    async def scenario(scene: Scene) -> None:
        peers = await fleet(scene)
        wishes = [scene.wish(f"lesson-{number % 3}", play_s=60.0) for number in range(9)]
        for wish in wishes:
            assert (await scene.request_session(wish, front=0)).status == 200
        hosts = [front.core.sessions for front in scene.fronts]
        leaving = peers[0]
        scene.trace.write("front.down", front="front-0")
        assert await scene.fronts[0].stop(10.0)
        assert leaving.peer.is_drained and hosts[0].session_count == 0
        assert hosts[1].session_count + hosts[2].session_count == 9
        for wish in wishes:
            await request_until_accepted(scene, wish, 1)
            await request_until_accepted(scene, wish, 2)
        assert len(scene.records_of("box.setup")) == 9 and not scene.records_of("box.end")
        claims = scene.records_of("box.claim")
        assert claims and all(one["accepted"] for one in claims)
        await until(lambda: all("front-0" not in one.peer.members.alive() for one in peers[1:]))

    play(scenario, PLAN, fronts=0)


def test_seats_move_with_sessions_and_are_never_doubled() -> None:
    async def scenario(scene: Scene) -> None:
        peers = await fleet(scene)
        wishes = [scene.wish("lesson-0", "briefing", play_s=60.0) for _ in range(4)]
        for wish in wishes:
            assert (await scene.request_session(wish, front=0)).status == 200
        assert scene.desk is not None and len(scene.desk.held_by("front-0")) == 4  # all seats
        await until(lambda: all(replicated_sessions(one) >= 4 for one in peers[1:]))
        scene.trace.write("front.down", front="front-0")
        assert await scene.fronts[0].stop(10.0)
        hosts = [front.core.sessions for front in scene.fronts[1:]]
        await until(lambda: sum(len(scene.desk.held_by(name)) for name in ("front-1", "front-2")) == 4)
        assert sum(host.session_count for host in hosts) == 4 and not scene.records_of("box.end")
        report = scene.desk.report
        assert report.most_over == 0 and report.most_by_session == 1
        # Four seats changed owners: fenced by the successors, or expired just before on a slow machine.
        assert report.granted == 8 and report.fenced + report.expired == 4
        # No seat is left, so the successors reject another session. A seat is free once its session ends.
        assert (await scene.request_session(scene.wish("lesson-0", "briefing"), front=1)).status == 503
        for wish in wishes:
            await request_until_accepted(scene, wish, 2, "DELETE")
        await until(lambda: not scene.desk.leases)

    play(scenario, PLAN, fronts=0, desk=LeaseDesk(ttl_ms=2_000.0, default=4))


def test_a_front_whose_clock_was_set_back_restarts_under_a_higher_incarnation() -> None:
    async def scenario(scene: Scene) -> None:
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
        await until(lambda: len(again.peer.channels.owned_channels()) >= 2)
        assert again.peer.me.life > life
        await until(lambda: all(one.peer.members.life("front-2") > life for one in peers[:2]))

    play(scenario, PLAN, fronts=0)


@pytest.mark.parametrize("is_block_sealed_before", [False, True])
def test_operators_query_the_audit_log_of_a_killed_front(is_block_sealed_before: bool) -> None:
    async def scenario(scene: Scene) -> None:
        peers = await fleet(scene)
        wish = scene.wish(play_s=60.0)
        if is_block_sealed_before:
            await until(lambda: has_replica(peers[1], "front-0", peers[0].peer.me.life, block=1))
        assert (await scene.request_session(wish, front=0)).status == 200
        life, chain = peers[0].peer.me.life, peers[0].peer.audit.chain
        # A block sealed before the set-up may be replicated first: the one with the set-up has to follow.
        set_up_block = chain.number + bool(chain._open)
        await until(lambda: any(has_replica(one, "front-0", life, set_up_block) for one in peers[1:]))
        await until(lambda: "front-0" in peers[1].peer.query_planner.catalogue.owners())
        scene.trace.write("front.down", front="front-0")
        scene.fronts[0].kill()
        await until(lambda: all("front-0" not in one.peer.members.alive() for one in peers[1:]))
        replies: list[dict[str, Any]] = []
        peers[1].questions.ask({"question": "acts", "deed": "setup", "session": wish.session}, replies.append)
        peers[2].questions.ask({"question": "nonsense"}, replies.append)
        await until(lambda: len(replies) == 2)
        assert replies[0]["ok"] is False and replies[0]["error"]
        answer = replies[1]
        (row,) = answer["rows"]
        assert (row["front"], row["box"]) == ("front-0", scene.records_of("box.setup")[0]["box"])
        # A replica replied for the dead front. Its last records may be missing, and the reply reports that.
        assert answer["whole"] is False and {gap["front"] for gap in answer["gaps"]} == {"front-0"}
        # The reply has the estimate of the query. A query over the budget is rejected.
        low, guess, high = answer["estimate"]["rows"]
        assert low <= guess <= high and high >= 1 and answer["estimate"]["failed"] == []
        peers[1].peer.query_planner.set_pressure(scene.fronts[1].core.now(), 1.0)  # viewers come first
        replies.clear()
        peers[1].questions.ask({"question": "acts"}, replies.append)
        assert replies[0]["ok"] is False and "viewers come first" in replies[0]["error"]
        assert replies[0]["estimate"]["rows"][2] >= 1 and replies[0]["wait_ms"] > 0
        # A front that restarts under a new incarnation ends its queries with the results that have arrived.
        replies.clear()
        peers[2].questions.ask({"question": "acts"}, replies.append)
        assert not replies
        peers[2].peer.close(scene.fronts[2].core.now())
        assert len(replies) == 1 and replies[0]["whole"] is False
        assert {gap["front"]: gap["why"] for gap in replies[0]["gaps"]}["front-1"] == "unreached"

    play(scenario, PLAN, fronts=0)


def test_an_order_is_estimated_from_the_loads_of_all_fronts() -> None:
    async def scenario(scene: Scene) -> None:
        peers = await fleet(scene)
        wishes = [scene.wish(f"lesson-{number % 3}", play_s=60.0) for number in range(12)]
        for number, wish in enumerate(wishes):
            assert (await scene.request_session(wish, front=number % 3)).status == 200
        asker = peers[0]
        loads = asker.peer.order_estimator._loads
        await until(lambda: sum(load.sessions for load, _ in loads.values()) == 12)
        replies: list[dict[str, Any]] = []
        for order in (
            {"order": "drain-rack", "rack": "0", "limit": {"ration": 1e9, "uplink": 1e9}},
            {"order": "drain-rack", "rack": "1", "limit": {"sessions": 1e9, "uplink": 1e-9}},
            {"order": "restart-front", "front": "front-1"},
            {"order": "raise-epoch", "least": 1},
            {"order": "drain-rack", "rack": ""},
        ):
            asker.questions.ask(order, replies.append)
        standing = [front.core.sessions.records().values() for front in scene.fronts]
        there = [sum(held.server % 2 == 1 for held in each) for each in standing]  # cell 0, 2: boxes 1, 3
        low, _, high = replies[0]["sessions"]
        assert low <= sum(there) <= high and replies[0]["missing"] == []
        assert replies[0]["first_wave"] and replies[1]["first_wave"] == []
        low, _, high = replies[2]["sessions"]
        assert low <= len(standing[1]) <= high
        assert replies[3]["fronts"][0] <= 3 <= replies[3]["fronts"][2]
        assert replies[4]["ok"] is False and "rack" in replies[4]["error"]

    play(scenario, PLAN, fronts=0)


def test_a_session_that_was_not_set_up_leaves_no_entries() -> None:
    async def scenario(scene: Scene) -> None:
        peers = await fleet(scene)
        for box in scene.site.boxes:
            scene.set_behaviour(box, fail_share=1.0)
        wish = scene.wish(play_s=60.0)
        assert (await scene.request_session(wish, front=0)).status == 503
        assert scene.records_of("box.setup")  # attempted, in a channel of this front
        peer = peers[0].peer
        assert not peer.channels.is_in_channel(wish.session)
        peer.directory.find(scene.fronts[0].core.now(), wish.session)
        replies = [effect for effect in peer.directory.take_effects() if isinstance(effect, Found)]
        assert not any(found.owner == "front-0" for found in replies)

    play(scenario, PLAN, fronts=0)


def test_keepers_are_replaced_while_leases_are_held() -> None:
    async def scenario(scene: Scene) -> None:
        peers = await fleet(scene, 4)
        wish = scene.wish(play_s=60.0)
        assert (await scene.request_session(wish, front=0)).status == 200
        held = {one.peer.me.name: set(one.peer.channels.owned_channels()) for one in peers[:3]}
        scene.trace.write("front.down", front="front-3")
        assert await scene.fronts[3].stop(10.0)
        keepers = "keepers = front-0, front-1, front-2"
        scene.extra = scene.extra.replace(keepers, "keepers = front-1, front-2, front-3\nkeepers-version = 2")
        front = await start_front(scene.site.config(3, extra=scene.extra))
        scene.fronts[3] = front
        assert front.peers is not None
        fronts = [*peers[:3], front.peers]
        new = KeeperSet(2, ("front-1", "front-2", "front-3"))
        await until(lambda: all(one.peer.keeper_sets.sets == (new,) for one in fronts), 60.0)
        # No front lost a lease, and two keepers of the new set grant leases without the previous set.
        assert all(held[one.peer.me.name] <= set(one.peer.channels.owned_channels()) for one in peers[:3])
        await until(lambda: len(fronts[3].peer.channels.owned_channels()) >= 2)
        scene.trace.write("front.down", front="front-0")
        scene.fronts[0].kill()
        hosts = [one.core.sessions for one in scene.fronts[1:]]
        await until(lambda: any(host.session(wish.session) is not None for host in hosts))
        assert len(scene.records_of("box.setup")) == 1 and not scene.records_of("box.end")

    play(scenario, replace(PLAN, fronts=4), fronts=0)


def test_a_stored_audit_log_survives_a_restart_and_a_disk_error_stops_no_front() -> None:
    async def scenario(scene: Scene) -> None:
        peers = await fleet(scene)
        scene.extra += "record = acts-{}\n"
        again: list[Peers] = []
        for turn in range(3):  # without a disk, with an empty one, with the stored audit log
            scene.trace.write("front.down", front="front-2")
            assert await scene.fronts[2].stop(10.0)
            extra = scene.extra.replace("acts-{}", "acts")
            front = scene.fronts[2] = await start_front(scene.site.config(2, extra=extra))
            assert front.peers is not None
            again.append(front.peers)
            await until(lambda: "front-2" in peers[0].peer.members.alive())
            await until(lambda: len(again[-1].peer.channels.owned_channels()) >= 2)
            if turn == 0:
                scene.trace.write("front.up", front="front-2")
                wish = scene.wish(play_s=60.0)
                assert (
                    await scene.http("GET", "/lessons/lesson-0/manifest.mpd", wish, front=2)
                ).status == 200
        lives = [one.peer.me.life for one in again]
        shelf = again[2]._store.shelf("front-2", lives[0])
        assert shelf is not None and shelf.final  # complete up to the orderly end
        replies: list[dict[str, Any]] = []
        again[2].questions.ask({"question": "acts", "session": wish.session, "deed": "setup"}, replies.append)
        await until(lambda: bool(replies))
        assert [row["life"] for row in replies[0]["rows"]] == [lives[0]] and replies[0]["whole"]
        (scene.site.folder / "no-folder").write_text("a file in its place")
        scene.trace.write("front.down", front="front-1")
        assert await scene.fronts[1].stop(10.0)
        extra = scene.extra.replace("acts-{}", "no-folder")
        front = scene.fronts[1] = await start_front(scene.site.config(1, extra=extra))
        assert front.peers is not None
        await until(lambda: "front-1" in peers[0].peer.members.alive())

    play(scenario, PLAN, fronts=0)


def test_queries_are_rejected_when_timers_are_late() -> None:
    rules = QueryPlannerRules()
    clocks = Clocks("a", 1, ActRules(), 0)
    planner = QueryPlanner("a", 1, rules, 0.0, clocks)
    question = parse({"question": "acts"})
    planner.on_timer_delay(0.0, rules.usual_timer_delay_ms)  # a normal timer delay
    first = planner.admit(0.0, question, 0.0, 1_000.0)
    assert isinstance(first, Admitted)
    planner.settle(0.0, first, Answer(question, 0.0))
    planner.on_timer_delay(10.0, rules.max_timer_delay_ms + rules.usual_timer_delay_ms)
    refused = planner.admit(10.0, question, 0.0, 1_000.0)
    assert isinstance(refused, Refused) and refused.why == "viewers come first"
    later = 10.0
    for _ in range(8):  # the pressure decays, and the budget refills with time
        later += rules.pressure_half_life_ms
        planner.on_timer_delay(later, 0.0)
    assert isinstance(planner.admit(later, question, 0.0, 1_000.0), Admitted)
