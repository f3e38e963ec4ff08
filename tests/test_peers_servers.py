"""Two owners of one channel at a simulated server, and a session that is handed over between fronts."""

from __future__ import annotations

from fernweir.front.peering import Peering
from fernweir.front.server_client import ServerClient
from fernweir.interface import Result
from fernweir.peers.port import ClaimResult, SessionStatus
from fernweir.rehearsal.site import SitePlan
from fernweir.standin.fences import Fences
from fernweir.standin.site import SiteTimes
from tests.scene import Scene, play
from tests.sockets import until

PLAN = SitePlan(
    times=SiteTimes(
        tell=200.0, seen_after=50.0, set_up=(2.0, 6.0), idle=10_000.0, orphan=300.0, overlap=400.0
    )
)


def test_a_lower_fence_is_accepted_for_the_overlap_alone() -> None:
    fences = Fences(overlap_s=1.0)
    assert fences.claim(0.0, "c", "a", 5) and fences.accepts(0.0, "c", "a", 5)
    assert not fences.claim(0.0, "c", "b", 5)  # a fence has one owner
    assert fences.claim(10.0, "c", "b", 6)
    assert fences.accepts(11.0, "c", "a", 5) and not fences.accepts(11.001, "c", "a", 5)
    assert not fences.claim(10.0, "c", "a", 5)
    assert fences.claim(10.5, "c", "c", 7)
    # Fence 5 was superseded by 6 at 10 s; the later fence 7 does not extend its overlap.
    assert not fences.accepts(11.2, "c", "a", 5) and fences.accepts(11.2, "c", "b", 6)
    for number in range(8, 30):  # more fences than are remembered: a forgotten one is rejected
        assert fences.accepts(11.3, "c", "d", number)
    assert not fences.accepts(11.3, "c", "b", 6)
    assert fences.owner("c") == "d" and fences.highest("c") == 29
    failover = Fences(overlap_s=1.0)
    assert failover.claim(0.0, "c", "a", 5) and failover.claim(1.0, "c", "b", 6, overlap_s=0.0)
    assert not failover.accepts(1.1, "c", "a", 5)  # an owner without a lease gets no overlap
    assert failover.claim(2.0, "c", "c", 7, overlap_s=9.0)
    assert not failover.accepts(3.1, "c", "b", 6)  # the server's own bound is the maximum
    bounded = Fences(1.0, most=2)
    for name in "xyz":
        assert bounded.claim(0.0, name, "a", 1)
    assert bounded.highest("x") == 0 and bounded.highest("z") == 1


class _Owner:
    """The same channel and fence for every session."""

    def __init__(self, channel: str, fence: int) -> None:
        self.channel_fence: tuple[str, int] | None = (channel, fence)

    def fence(self, session_id: str) -> tuple[str, int] | None:
        return self.channel_fence


class _RecordingListener:
    """Records the events of a front."""

    def __init__(self) -> None:
        self.standings: dict[str, SessionStatus] = {}
        self.ends: list[str] = []
        self.acts: list[object] = []
        self.lists: list[object] = []

    def on_session_status(self, now: float, standing: SessionStatus) -> None:
        self.standings[standing.session] = standing

    def on_session_ended(self, now: float, session: str) -> None:
        self.ends.append(session)

    def on_audit_record(self, act: object) -> None:
        self.acts.append(act)

    def on_endpoint_list(self, now: float, rows: object, told_at: float) -> None:
        self.lists.append(rows)

    def on_endpoint_list_changed(self, now: float, rows: object, removed: object, told_at: float) -> None:
        self.lists.append(rows)


def test_a_session_continues_at_another_front_that_claimed_its_channel() -> None:
    async def story(scene: Scene) -> None:
        ports, listeners = [], []
        for number, front in enumerate(scene.fronts):
            client = front.core.server_transport
            assert isinstance(client, ServerClient)
            classes = {
                session_class.name: index
                for index, session_class in enumerate(front.core.sessions.settings.classes)
            }
            port = Peering(front.core, client.endpoint_list, client, classes, lambda: 0.0)
            front.core.channel_ownership = _Owner("front-0:1/0", 5 + number)
            listeners.append(_RecordingListener())
            port.set_listener(listeners[-1])
            ports.append(port)
        assert ports[0].list_rows() == ports[1].list_rows() != []
        wish = scene.wish(play_s=30.0)
        path = "/lessons/lesson-0/manifest.mpd"
        reply = await scene.http("GET", path, wish)
        assert reply.status == 200
        standing = listeners[0].standings[wish.session]
        payload = ports[0].payload(standing.payload)
        assert payload is not None and standing.answers == 1 and standing.attempt == 0
        assert [str(act.deed) for act in listeners[0].acts] == ["setup"]  # type: ignore[attr-defined]

        claims: list[ClaimResult] = []
        ports[1].claim_channel(
            standing.box, "front-0:1/0", 6, 400.0, lambda now, claimed: claims.append(claimed)
        )
        await until(lambda: bool(claims))
        assert claims[0].accepted and claims[0].sessions == ((wish.session, 0, standing.rung),)
        now = scene.fronts[1].core.now()
        assert ports[1].adopt_session(now, standing, payload)
        assert not ports[1].adopt_session(now, standing, payload)  # the session is here already
        assert ports[0].relinquish_session(now, wish.session) and listeners[0].ends == []
        assert not ports[0].relinquish_session(now, wish.session)
        # The successor replies to the viewer without a second set-up, and ends the session at its server.
        again = await scene.http("GET", path, wish, front=1)
        assert again.status == 200 and len(scene.records_of("box.setup")) == 1
        claims.clear()
        # The previous owner resumes without having noticed the takeover.
        ports[0].claim_channel(
            standing.box, "front-0:1/0", 5, 400.0, lambda now, claimed: claims.append(claimed)
        )
        await until(lambda: bool(claims))
        assert not claims[0].accepted and claims[0].fence == 6 and claims[0].sessions == ()
        # The successor's notice stream did not report the session as lost.
        assert scene.fronts[1].core.sessions.session_count == 1
        assert (await scene.http("DELETE", "/lessons/lesson-0/session", wish, front=1)).status == 204
        await until(lambda: scene.records_of("box.end"))
        (end,) = scene.records_of("box.end")
        assert end["front"] == "front-1" and end["why"] == "released"
        assert listeners[1].ends == [wish.session]
        assert all(front.core.sessions.session_count == 0 for front in scene.fronts)

    play(story, PLAN, fronts=2)


def test_a_session_outlives_its_front_and_control_after_the_overlap_is_rejected() -> None:
    async def story(scene: Scene) -> None:
        front = scene.fronts[0]
        client = front.core.server_transport
        assert isinstance(client, ServerClient)
        owner = front.core.channel_ownership = _Owner("front-0:1/0", 5)
        wish = scene.wish(play_s=30.0)
        assert (await scene.http("GET", "/lessons/lesson-0/manifest.mpd", wish)).status == 200
        (setup,) = scene.records_of("box.setup")
        box = scene.site.boxes[int(setup["box"])]
        claims: list[object] = []
        successor = scene.fronts[1].core.server_transport
        assert isinstance(successor, ServerClient)
        successor.claim_channel(box.spec.number, "front-0:1/0", 9, 400.0, claims.append)
        await until(lambda: bool(claims))
        began = box._loop.time()
        await until(lambda: box._loop.time() - began > 0.45)
        host = front.core.sessions
        # The overlap is over, so the server rejects the release.
        assert host.release_session(front.core.now(), wish.session)
        front.core.schedule_step()
        await until(lambda: [one for one in scene.records_of("box.steer") if not one["accepted"]])
        assert (wish.session, 0) in box.sessions
        owner.channel_fence = None  # control without a fence is rejected too
        host.on_session_ended(front.core.now(), wish.session, 0, Result.OK)
        client.release_unowned_session(box.spec.number, wish.session, 0, "another's", ("front-0:1/0", 5))
        front.kill()
        began = box._loop.time()
        # Longer than `orphan`: a successor may still claim the session.
        await until(lambda: box._loop.time() - began > 0.8)
        assert (wish.session, 0) in box.sessions

    play(story, PLAN, fronts=2)
