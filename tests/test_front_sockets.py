"""The whole path of a request over sockets, and its failure cases. The auditor checks every scenario."""

from __future__ import annotations

import asyncio
import errno
import json
import socket
import struct
from dataclasses import replace
from unittest.mock import Mock, patch

import pytest

from fernweir.dash.mpd import read_mpd
from fernweir.front.record import replay
from fernweir.front.session_manager import SessionPhase
from fernweir.rehearsal.hostile import PAYLOADS, HostileCounts, attack, raw
from fernweir.rehearsal.site import SitePlan
from fernweir.standin.site import Cold, SiteClass, SiteTimes
from fernweir.standin.viewer import Player, Wish, fetch
from tests.scene import Scene, play
from tests.sockets import until

QUICK = SiteTimes(tell=200.0, seen_after=50.0, set_up=(2.0, 6.0), idle=10_000.0, orphan=500.0)
PLAN = SitePlan(times=QUICK)


def test_a_session_from_the_manifest_to_its_end() -> None:
    async def story(scene: Scene) -> None:
        wish = scene.wish(cls="briefing", play_s=0.5)
        shown = await scene.viewers.watch(wish)
        assert shown.breaks == 0 and shown.played_s >= 0.5
        (setup,) = scene.records_of("box.setup")
        (answer,) = scene.records_of("viewer.answer")
        assert answer["rungs"] == list(range(1, setup["rung"] + 1))
        host = scene.fronts[0].core.sessions
        await until(lambda: host.session_count == 0)  # the server reported that the session ended
        assert host.controller.sessions == {}
        assert {record["status"] for record in scene.records_of("box.segment")} == {200}

    play(story, PLAN)


def test_replies_follow_the_protocol() -> None:
    async def story(scene: Scene) -> None:
        wish = scene.wish()
        path = "/lessons/lesson-0/manifest.mpd"
        assert (await scene.http("HEAD", path, wish)).status == 404  # HEAD starts no set-up
        reply = await scene.http("GET", f"{path}?access_token={wish.token}")
        assert reply.status == 200 and reply.headers.get("content-type") == "application/dash+xml"
        assert reply.headers.get("access-control-allow-origin") == "*"
        mpd = read_mpd(reply.body)
        assert mpd.locations[0].endswith(f"{path}?access_token={wish.token}")
        assert mpd.base_urls()[0].service_location.startswith("box-")
        player = Player(mpd)
        assert (await scene.http("HEAD", path, wish)).body == b""
        preflight = await scene.http("OPTIONS", path)
        assert preflight.status == 204 and "authorization" in preflight.headers.get(
            "access-control-allow-headers"
        )
        assert (await scene.http("POST", path, wish)).headers.get("allow") == "GET, HEAD, OPTIONS"
        # The server's token authorizes this session's segments there, up to its rung, and nothing else.
        box = scene.site.boxes[int(scene.records_of("box.setup")[0]["box"])]
        assert player.origin == box.address
        assert (await fetch(scene.pool, box.address, "GET", player.segment(0), 5)).status == 200
        above = player.segment(0).replace(f"/r{player.rung}/", f"/r{player.rung + 1}/")
        refused = await fetch(scene.pool, box.address, "GET", above, 5)
        assert refused.status == 403 and "mb=" in refused.headers.get("cmsd-dynamic")
        assert (await scene.http("DELETE", "/lessons/lesson-0/session", wish)).status == 204
        assert (await scene.http("DELETE", "/lessons/lesson-0/session", wish)).status == 404
        await until(lambda: scene.records_of("box.end"))

    play(story, PLAN)


def test_invalid_requests_are_rejected_with_the_reason() -> None:
    async def story(scene: Scene) -> None:
        wish, path = scene.wish(), "/lessons/lesson-0/manifest.mpd"
        for target, status, kind in [
            (path, 401, "token:no-token"),
            (f"{path}?access_token=a.b.c", 401, "token:malformed"),
            (f"/lessons/lesson-1/manifest.mpd?access_token={wish.token}", 401, "token:other-title"),
            (f"/lessons/none/manifest.mpd?access_token={scene.wish('none').token}", 404, "no-lesson"),
            ("/other", 404, "not-found"),
            ("/lessons/%2e%2e/manifest.mpd", 400, "bad-target"),
        ]:
            reply = await scene.http("GET", target)
            assert (reply.status, json.loads(reply.body)["type"]) == (status, f"urn:fernweir:problem:{kind}")
            assert ("www-authenticate" in reply.headers) == (status == 401)
        assert scene.fronts[0].core.sessions.reply_ledger.metrics.opened == 0

    play(story, PLAN)


def test_one_token_used_concurrently_while_playing_and_after_the_end() -> None:
    async def story(scene: Scene) -> None:
        wish = scene.wish()
        replies = await asyncio.gather(*(scene.request_session(wish) for _ in range(4)))
        assert [reply.status for reply in replies] == [200] * 4
        assert (await scene.request_session(wish)).status == 200
        assert len(scene.records_of("box.setup")) == 1
        await scene.http("DELETE", "/lessons/lesson-0/session", wish)
        assert (await scene.request_session(wish)).status == 200
        assert len(scene.records_of("box.setup")) == 2
        await until(lambda: len(scene.records_of("box.end")) == 1)  # the first session was released

    play(story, PLAN)


def test_a_viewer_that_reconnects_gets_the_set_up_in_flight() -> None:
    async def story(scene: Scene) -> None:
        for box in scene.site.boxes:
            scene.set_behaviour(box, late_ms=100.0)
        wish = scene.wish()
        first = asyncio.ensure_future(scene.request_session(wish))
        await until(lambda: scene.records_of("box.setup"))
        first.cancel()
        assert (await scene.request_session(wish)).status == 200
        assert len(scene.records_of("box.setup")) == 1

    play(story, PLAN)


class SocketViewer:
    """A viewer on its own socket that half-closes or resets the connection on request."""

    def __init__(self, scene: Scene, wish: Wish) -> None:
        self.scene, self.session = scene, wish.session
        head = "GET /lessons/lesson-0/manifest.mpd HTTP/1.1\r\nhost: a\r\nauthorization: Bearer "
        self.request = f"{head}{wish.token}\r\n\r\n".encode()
        self.connections = scene.fronts[0].server.connections
        self._others = set(self.connections)
        self.sock = socket.create_connection(scene.fronts[0].address)

    def send_request(self) -> None:
        self.sock.sendall(self.request)

    async def half_close(self) -> None:
        """Half-closes the connection and waits until the front has noticed."""
        self.sock.shutdown(socket.SHUT_WR)
        await until(lambda: any(one.half_closed for one in set(self.connections) - self._others))

    def reset(self) -> None:
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()

    async def read(self) -> bytes:
        """Returns everything that is received until the connection ends."""
        self.sock.setblocking(False)
        received = b""
        while data := await self.scene.loop.sock_recv(self.sock, 65_536):
            received += data
        self.sock.close()
        return received


def test_a_half_closed_viewer_is_answered_by_the_attempt_in_flight() -> None:
    async def story(scene: Scene) -> None:
        for box in scene.site.boxes:
            scene.set_behaviour(box, late_ms=100.0)
        viewer = SocketViewer(scene, scene.wish())
        viewer.send_request()
        await until(lambda: scene.records_of("box.setup"))
        await viewer.half_close()
        assert (await viewer.read()).startswith(b"HTTP/1.1 200 ")
        assert len(scene.records_of("box.setup")) == 1

    play(story, PLAN)


def test_a_half_closed_viewer_gets_no_attempt_after_a_failed_one() -> None:
    async def story(scene: Scene) -> None:
        bad = await scene.first_choice()
        scene.set_behaviour(
            bad, late_ms=600.0
        )  # an attempt times out after half the latency objective, 400 ms
        viewer = SocketViewer(scene, scene.wish())
        viewer.send_request()
        await until(lambda: scene.records_of("box.setup", session=viewer.session))
        await viewer.half_close()
        assert (await viewer.read()).startswith(b"HTTP/1.1 503 ")
        host = scene.fronts[0].core.sessions
        await until(lambda: host.session_count == 0 and host.controller.sessions == {})
        assert len(scene.records_of("box.setup", session=viewer.session)) == 1 and len(host.reply_ledger) == 0

    play(story, PLAN)


@pytest.mark.parametrize("how", ["half-closes", "resets"])
def test_a_set_up_that_waits_for_a_connection_is_not_sent_after_its_viewer_left(how: str) -> None:
    async def story(scene: Scene) -> None:
        box = await scene.first_choice()
        for other in scene.site.boxes:
            scene.set_behaviour(other, late_ms=250.0)
        first = asyncio.ensure_future(scene.request_session(scene.wish(top=1)))
        await until(lambda: len(scene.records_of("box.setup", box=box)) == 2)  # it uses the only connection
        viewer, host = SocketViewer(scene, scene.wish(top=1)), scene.fronts[0].core.sessions
        viewer.send_request()
        await until(
            lambda: (
                viewer.session in host.records()
                and host.records()[viewer.session].phase is SessionPhase.IN_FLIGHT
            )
        )
        if how == "resets":
            viewer.reset()
            await until(lambda: not host.records()[viewer.session].tickets)
        else:
            await viewer.half_close()
            assert (await viewer.read()).startswith(b"HTTP/1.1 503 ")
        assert (await first).status == 200
        await until(lambda: viewer.session not in host.records())
        assert scene.records_of("box.setup", session=viewer.session) == []

    play(story, PLAN, extra="[boxes]\nconnections = 1\nconnect-time = 2 s")


@pytest.mark.parametrize("plays", [True, False])
def test_a_half_close_together_with_the_request_gets_one_reply(plays: bool) -> None:
    """A playing session is still confirmed; a new one gets at most one attempt and its outcome."""

    async def story(scene: Scene) -> None:
        wish = scene.wish()
        if plays:
            assert (await scene.request_session(wish)).status == 200
        viewer = SocketViewer(scene, wish)
        viewer.send_request()
        # The front's loop finds the request and the half-close in the same iteration.
        viewer.sock.shutdown(socket.SHUT_WR)
        received = await viewer.read()
        assert received.count(b"HTTP/1.1 ") == 1 and received.startswith(
            b"HTTP/1.1 200" if plays else b"HTTP/1.1 "
        )
        assert len(scene.records_of("box.setup", session=wish.session)) <= 1
        assert len(scene.fronts[0].core.sessions.reply_ledger) == 0

    play(story, PLAN)


def test_a_front_that_is_out_of_descriptors_takes_no_box_for_dead() -> None:
    async def story(scene: Scene) -> None:
        assert (await scene.request_session(scene.wish(play_s=5.0))).status == 200
        host, client = scene.fronts[0].core.sessions, scene.fronts[0].server_client
        box = int(scene.records_of("box.setup")[0]["box"])
        await until(lambda: client._streams[box].state.hello_received)
        with patch.object(scene.loop, "create_connection", side_effect=OSError(errno.EMFILE, "too many")):
            for watcher in list(scene.site.boxes[box]._watchers.values()):
                watcher.exchange.drop()
            await until(lambda: client._streams[box]._reconnects > 1)
            assert len(host.sessions_playing_at(box)) == 1
        await until(lambda: client._streams[box]._reconnects == 0)
        assert len(host.sessions_playing_at(box)) == 1

    play(story, PLAN)


def test_the_notice_stream_of_a_server_that_was_unlisted_is_reopened() -> None:
    async def story(scene: Scene) -> None:
        client, box = scene.fronts[0].server_client, next(iter(scene.site.boxes))
        with patch.object(client.endpoint_list, "address", return_value=None):
            client.open_notice_stream(box)
        assert box not in client._streams
        client.open_notice_stream(box)
        await until(lambda: client._streams[box].state.hello_received)

    play(story, PLAN)


def test_a_session_is_released_if_its_half_closed_viewer_resets_the_connection() -> None:
    async def story(scene: Scene) -> None:
        for box in scene.site.boxes:
            scene.set_behaviour(box, late_ms=100.0)
        viewer, host = SocketViewer(scene, scene.wish()), scene.fronts[0].core.sessions
        viewer.send_request()
        await until(lambda: scene.records_of("box.setup"))
        await viewer.half_close()
        viewer.reset()
        await until(lambda: scene.records_of("box.end", session=viewer.session, why="released"))
        assert host.session_count == 0  # after the time in which the viewer could return

    play(story, PLAN, extra="linger = 200 ms")


@pytest.mark.parametrize(
    "how", ["silent_mid", "cut_mid", "not_xml", "other_rungs", "short_length", "hang", "full", "fail", "lost"]
)
def test_a_failed_attempt_is_retried_at_another_server_in_time(how: str) -> None:
    async def story(scene: Scene) -> None:
        bad = await scene.first_choice()
        shares = {"fail": {"fail_share": 1.0}, "lost": {"lost_share": 1.0}}
        scene.set_behaviour(bad, **shares.get(how, {how: True}))
        wish = scene.wish()
        reply = await scene.request_session(wish)
        assert reply.status == 200
        boxes = [record["box"] for record in scene.records_of("box.setup", session=wish.session)]
        if how != "hang":  # a hung server reads nothing
            assert boxes[0] == bad and len(boxes) == 2
        assert boxes[-1] != bad
        if how not in ("hang", "full", "fail"):  # the set-up ran there, so it is released
            await until(lambda: scene.records_of("box.end", session=wish.session, box=bad, why="released"))

    play(story, PLAN)


def test_a_reply_after_the_timeout_leaves_no_session() -> None:
    async def story(scene: Scene) -> None:
        bad = await scene.first_choice()
        scene.set_behaviour(
            bad, late_ms=600.0
        )  # an attempt times out after half the latency objective, 400 ms
        wish = scene.wish()
        assert (await scene.request_session(wish)).status == 200
        await until(lambda: scene.loop.time() * 1000 > scene.records_of("box.setup", box=bad)[-1]["t"] + 700)
        assert not scene.records_of("box.runs", session=wish.session, box=bad)
        assert (wish.session, 0) not in scene.site.boxes[bad].sessions

    play(story, PLAN)


def test_a_drain_stops_set_ups_that_wait_for_a_connection() -> None:
    async def story(scene: Scene) -> None:
        box = await scene.first_choice()
        scene.set_behaviour(box, late_ms=250.0)
        wishes = [scene.wish(top=1) for _ in range(4)]
        answers = [asyncio.ensure_future(scene.request_session(wish)) for wish in wishes]
        # The set-up of first_choice, and one of these.
        await until(lambda: len(scene.records_of("box.setup", box=box)) == 2)
        scene.site.tell(box, "draining")
        replies = await asyncio.gather(*answers)
        assert [reply.status for reply in replies] == [200] * 4
        assert len(scene.records_of("box.setup", box=box)) == 2

    play(story, replace(PLAN, drain_grace_ms=20.0), extra="[boxes]\nconnections = 1\nconnect-time = 2 s")


def test_a_crashed_server_loses_its_sessions_and_restarts_cold() -> None:
    async def story(scene: Scene) -> None:
        box = await scene.first_choice()
        watching = asyncio.ensure_future(scene.viewers.watch(scene.wish(play_s=1.5)))
        await until(lambda: len(scene.records_of("box.segment")) > 0)
        scene.site.boxes[box].die()
        host = scene.fronts[0].core.sessions
        await until(lambda: not host.sessions_playing_at(box))
        scene.site.tell(box, "gone")
        await scene.site.restart(box)
        scene.site.tell(box)
        shown = await watching
        assert shown.breaks == 1 and shown.played_s > 0
        started = [
            server.warming_since for server in host.controller.servers.values() if server.server_id == box
        ]
        assert started[0] > 0

    play(story, PLAN)


def test_cold_servers_are_not_overloaded_by_two_fronts() -> None:
    cold = Cold(warm_up_ms=6000.0, cold_from=0.5, multiple=2.5, window_ms=3000.0)
    plan = replace(PLAN, boxes=3, racks=1, copies=3, cold=cold, streams=30, lessons=1, link_kb=60_000.0)

    async def story(scene: Scene) -> None:
        for number in scene.site.boxes:  # all servers at once, so that no other is available
            scene.site.boxes[number].die()
            scene.site.tell(number, "gone")
        for number in scene.site.boxes:
            await scene.site.restart(number)
            scene.site.tell(number)
        burst = [scene.request_session(scene.wish(play_s=1.0, top=1), front=n % 2) for n in range(80)]
        replies = await asyncio.gather(*burst)
        assert {reply.status for reply in replies} <= {200, 503}
        assert not any(box.toppled for box in scene.site.boxes.values())

    auditor = play(story, plan, fronts=2)
    assert auditor.rules[3].checked > 0


def test_concurrent_requests_for_the_last_seats_of_a_title() -> None:
    classes = (SiteClass("briefing", 1.4, 1, seats=2, deadline_ms=3000.0), SiteClass("training"))

    async def story(scene: Scene) -> None:
        wishes = [scene.wish(cls="briefing") for _ in range(3)]
        statuses = sorted(
            [reply.status for reply in await asyncio.gather(*map(scene.request_session, wishes))]
        )
        assert statuses == [200, 200, 503]
        refused = [one for one in scene.records_of("viewer.answer") if one["status"] == 503]
        assert (
            refused[0]["t"] - scene.records_of("viewer.ask")[0]["t"] < 1000
        )  # immediately, not after a timeout
        await scene.http("DELETE", "/lessons/lesson-0/session", wishes[0])
        again = [*wishes[1:], scene.wish(cls="briefing")]
        assert sorted([reply.status for reply in await asyncio.gather(*map(scene.request_session, again))])[
            :2
        ] == [
            200,
            200,
        ]

    play(story, replace(PLAN, classes=classes))


def test_a_list_of_two_hundred_servers_then_an_empty_and_an_older_one() -> None:
    async def story(scene: Scene) -> None:
        front = scene.fronts[0]
        assert len(front.core.sessions._servers.states) == 200
        playing = scene.wish()
        assert (await scene.request_session(playing)).status == 200
        lines = list(scene.site.list.lines.values())
        version = scene.site.list.version
        scene.site.list.replace([])
        await until(lambda: not front.core.sessions._servers.states)
        late = scene.wish()
        assert (await scene.request_session(late)).status == 503
        assert front.core.sessions.session_count == 1  # a playing session continues
        scene.site.list.lines = {line.box: line for line in lines}
        scene.site.list.rewind(version)  # the full list again, but with an older version
        assert (await scene.request_session(scene.wish())).status == 503
        scene.site.list.version += 5
        scene.site.list.tell_whole()
        await until(lambda: len(front.core.sessions._servers.states) == 200)
        assert (await scene.request_session(scene.wish())).status == 200

    play(story, replace(PLAN, boxes=200, racks=10, lessons=20))


def test_a_front_starts_with_the_cached_list_while_the_list_server_is_down() -> None:
    async def story(scene: Scene) -> None:
        front = scene.fronts.pop()
        scene.trace.write("front.down", front="front-0")
        await front.stop(5.0)
        scene.site.list.stop()
        again = await scene.start_front(0)
        assert (await scene.request_session(scene.wish())).status == 200
        await scene.site.list.start()
        box = next(iter(scene.site.boxes))
        await until(lambda: len(scene.site.list._streams) == 1)
        scene.site.tell(box, "draining")
        await until(lambda: again.core.sessions._servers.states[box].name == "DRAINING")

    play(story, PLAN)


def test_malicious_input_is_rejected_without_effect_on_others() -> None:
    async def story(scene: Scene) -> None:
        counts = HostileCounts()
        origin = scene.fronts[0].address
        asks = [scene.request_session(scene.wish()) for _ in range(10)]
        replies, *_ = await asyncio.gather(
            asyncio.gather(*asks), *(attack(origin, name, counts, 5.0) for name in PAYLOADS)
        )
        assert counts.wrong == [] and counts.sent == len(PAYLOADS)
        assert {reply.status for reply in replies} == {200}
        # The request head is incomplete.
        received, closed = await raw(origin, b"GET / HTTP/1.1\r\nHost: a", 10.0)
        assert closed and received.startswith(b"HTTP/1.1 408")

    play(story, PLAN, extra="[http]\nhead-time = 100 ms")


def test_a_front_that_shuts_down_answers_all_accepted_requests() -> None:
    async def story(scene: Scene) -> None:
        for box in scene.site.boxes:
            scene.set_behaviour(box, late_ms=150.0)
        front = scene.fronts[0]
        answers = [asyncio.ensure_future(scene.request_session(scene.wish())) for _ in range(5)]
        await until(lambda: len(scene.records_of("box.setup")) == 5)
        assert await front.stop(10.0)
        assert [reply.status for reply in await asyncio.gather(*answers)] == [200] * 5
        assert (await scene.request_session(scene.wish())).outcome.never_ran

    play(story, PLAN)


def test_a_front_told_to_stop_answers_who_waits_for_other_fronts() -> None:
    async def story(scene: Scene) -> None:
        front = scene.fronts[0]
        front.core.session_locator = Mock()  # never replies
        viewer = SocketViewer(scene, scene.wish())
        viewer.send_request()
        await until(lambda: front.core.session_locator.request_reply.called)
        read = asyncio.ensure_future(viewer.read())
        await front.stop(10.0)
        assert (await read).startswith(b"HTTP/1.1 503 ")
        front.core.session_locator.request_reply.call_args.args[1](None)  # the reply comes too late

    play(story, PLAN)


def test_sessions_are_stepped_down_when_a_link_loses_capacity() -> None:
    async def story(scene: Scene) -> None:
        box = await scene.first_choice()
        wishes = [scene.wish(cls="briefing", play_s=4.0) for _ in range(3)]
        watching = [asyncio.ensure_future(scene.viewers.watch(wish)) for wish in wishes]
        await until(lambda: len(scene.records_of("box.runs", box=box)) >= 3)
        scene.site.boxes[box].link_kb = 2_500.0
        await until(lambda: scene.records_of("box.rung", box=box))
        lowered = scene.records_of("box.rung", box=box)[0]
        assert lowered["rung"] < scene.records_of("box.setup", session=lowered["session"])[0]["rung"]
        await asyncio.gather(*watching)

    play(story, PLAN)


def test_a_recording_is_replayed_by_a_new_controller() -> None:
    async def story(scene: Scene) -> None:
        bad = await scene.first_choice()
        scene.set_behaviour(bad, fail_share=0.5)
        await asyncio.gather(*(scene.viewers.watch(scene.wish(play_s=0.3)) for _ in range(12)))
        front = scene.fronts[0]
        assert front.record is not None
        front.record.flush()
        path = scene.site.folder / "front.record"
        lines = path.read_text().splitlines(keepends=True)
        count, difference = replay(lines)
        assert difference is None and count > 20
        doctored = [line.replace('"is":"Place","session":2,', '"is":"Place","session":3,') for line in lines]
        assert replay(doctored)[1] is not None

    play(story, PLAN, extra="record = front.record")


def test_a_viewer_of_a_silent_server_is_placed_again_with_its_only_seat() -> None:
    """The silent server does not receive the release of its session; the session still uses one seat."""
    classes = (SiteClass("briefing", 1.4, 1, seats=1, deadline_ms=3000.0), SiteClass("training"))

    async def story(scene: Scene) -> None:
        wish = scene.wish(cls="briefing")
        assert (await scene.request_session(wish)).status == 200
        silent = int(scene.records_of("box.setup")[0]["box"])
        scene.set_behaviour(silent, hang=True)
        host = scene.fronts[0].core.sessions
        await until(lambda: silent in host._servers.silent)
        assert (await scene.request_session(wish)).status == 200
        assert int(scene.records_of("box.setup")[-1]["box"]) != silent
        assert (await scene.request_session(scene.wish(cls="briefing"))).status == 503
        at = scene.loop.time()
        await until(lambda: scene.loop.time() > at + 0.2)  # longer than the auditor tolerates

    play(story, replace(PLAN, classes=classes))
