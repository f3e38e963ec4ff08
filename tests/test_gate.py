"""Tests of sessions that need a seat of an entitlement server, over sockets.

The results are judged by the server's own report of its leases.
"""

from __future__ import annotations

import asyncio
from dataclasses import replace
from pathlib import Path

import pytest

from fernweir.config.ini import ConfigError
from fernweir.entitlement.client import parse_reply
from fernweir.front.program import start_front
from fernweir.http.client import Outcome, Reply
from fernweir.http.headers import Headers
from fernweir.rehearsal.site import SitePlan
from fernweir.seats.messages import Operation, ResponseStatus
from fernweir.standin.leases import LeaseDesk
from fernweir.standin.site import SiteClass, SiteTimes
from fernweir.standin.viewer import Wish
from fernweir.tokens import Keyring
from fernweir.tokens.key_generation import generate_key_set
from tests.scene import Scene, play
from tests.sockets import until

QUICK = SiteTimes(tell=200.0, seen_after=50.0, set_up=(2.0, 6.0), idle=10_000.0, orphan=300.0)
CLASSES = (
    SiteClass("briefing", 1.4, 1, deadline_ms=2000.0),
    SiteClass("training", deadline_ms=2000.0, when_silent="play"),
)
PLAN = SitePlan(times=QUICK, classes=CLASSES)


def make_lease_server(seats: int = 10) -> LeaseDesk:
    return LeaseDesk(ttl_ms=2_000.0, default=seats)


def test_seats_are_granted_renewed_and_released() -> None:
    lease_server = make_lease_server(seats=2)

    async def story(scene: Scene) -> None:
        wishes = [scene.wish(cls="briefing") for _ in range(3)]
        # Each token twice at once: a session has one seat, however many requests it sends.
        replies = await asyncio.gather(*(scene.request_session(wish) for wish in [*wishes, *wishes]))
        assert sorted(reply.status for reply in replies) == [200] * 4 + [503] * 2
        refused = next(reply for reply in replies if reply.status == 503)
        assert b"no seat is free" in refused.body and int(refused.headers.get("retry-after")) >= 1
        fences = {lease.fence for lease in lease_server.leases.values()}
        await until(lambda: lease_server.fence >= max(fences) + 2)  # renewed while the sessions play
        for wish in wishes:
            await scene.http("DELETE", "/lessons/lesson-0/session", wish)
        await until(lambda: not lease_server.leases)
        assert (await scene.request_session(wishes[2])).status == 200

    play(story, PLAN, desk=lease_server)
    assert (lease_server.report.most_over, lease_server.report.most_by_session, lease_server.report.most) == (
        0,
        1,
        2,
    )


def test_without_a_response_the_class_decides_in_time() -> None:
    lease_server = make_lease_server()

    async def story(scene: Scene) -> None:
        assert scene.entitlement is not None
        scene.entitlement.silent = True
        strict, lenient = await asyncio.gather(
            scene.request_session(scene.wish(cls="briefing")),
            scene.request_session(scene.wish(cls="training")),
        )
        assert (strict.status, lenient.status) == (503, 200) and b"did not answer" in strict.body
        scene.entitlement.silent = False
        await until(
            lambda: len(lease_server.leases) == 1
        )  # requests go on until the session that plays has its seat

    auditor = play(story, PLAN, desk=lease_server)
    assert not auditor.findings


def test_lost_responses_never_take_two_seats() -> None:
    lease_server = make_lease_server()

    async def story(scene: Scene) -> None:
        assert scene.entitlement is not None
        scene.entitlement.lost_share = 0.4
        wishes = [scene.wish(play_s=0.4) for _ in range(10)]
        await asyncio.gather(*(scene.viewers.watch(wish) for wish in wishes))
        scene.entitlement.lost_share = 0.0
        await until(lambda: not lease_server.leases and not scene.fronts[0].gate.seat_manager.seats)  # type: ignore[union-attr]

    play(story, PLAN, desk=lease_server)
    assert lease_server.report.most_by_session == 1 and lease_server.report.repeated_keys > 0


def test_a_killed_front_recovers_its_seats_and_leaks_none() -> None:
    lease_server = make_lease_server()

    async def story(scene: Scene) -> None:
        wishes = [scene.wish() for _ in range(4)]
        await asyncio.gather(*map(scene.request_session, wishes))
        assert len(lease_server.leases) == 4
        scene.trace.write("front.down", front="front-0")
        scene.fronts.pop().kill()
        await scene.start_front(0)
        gate = scene.fronts[0].gate
        assert gate is not None and len(gate.seat_manager.seats) == 4
        assert (await scene.request_session(wishes[0])).status == 200  # the viewer returns to its seat
        await until(lambda: len(lease_server.leases) == 1)  # those whose viewers did not return are released
        await scene.http("DELETE", "/lessons/lesson-0/session", wishes[0])
        await until(lambda: not lease_server.leases)

    play(story, PLAN, desk=lease_server)
    assert lease_server.report.most_by_session == 1 and lease_server.report.granted == 4


def test_an_entitlement_that_ends_during_a_session_ends_the_session() -> None:
    lease_server = make_lease_server()

    async def story(scene: Scene) -> None:
        wish = scene.wish(play_s=10.0)
        watching = asyncio.ensure_future(scene.viewers.watch(wish))
        await until(lambda: scene.records_of("box.segment"))
        lease_server.denied.add(f"person-{wish.session}")
        shown = await watching
        assert shown.ended == "entitlement has ended" and 0.0 < shown.played_s < 10.0
        statuses = [record["status"] for record in scene.records_of("box.segment")]
        assert set(statuses[:-1]) == {200} and statuses[-1] == 410  # no segment was interrupted
        assert scene.records_of("box.end", session=wish.session, why="revoked")
        refused = await scene.request_session(wish)
        assert refused.status == 503 and b"not entitled" in refused.body

    play(story, PLAN, desk=lease_server)


def test_seats_are_requested_again_from_a_server_that_lost_its_state() -> None:
    lease_server = make_lease_server()

    async def story(scene: Scene) -> None:
        wish = scene.wish()
        assert (await scene.request_session(wish)).status == 200
        lease_server.forget()
        await until(lambda: len(lease_server.leases) == 1)
        assert scene.fronts[0].core.sessions.session_count == 1 and not scene.records_of("box.end")

    play(story, PLAN, desk=lease_server)


def test_a_damaged_seat_log_is_a_configuration_error() -> None:
    async def story(scene: Scene) -> None:
        assert scene.entitlement is not None
        extra = f"[entitlement]\nurl = {scene.entitlement.url}\nledger = bad"
        folder = scene.site.folder / "bad"
        folder.mkdir()
        (folder / "seats-00000000000000000001.log").write_bytes(b"not a log at all, and long enough")
        with pytest.raises(ConfigError, match=r"ledger: .*not a seat log"):
            await start_front(scene.site.config(1, extra=extra))

    play(story, PLAN, desk=make_lease_server())


def test_with_a_renewed_lease_a_player_outlasts_its_tokens() -> None:
    """Session and server tokens expire after two and four seconds; the player sees no break in six."""
    lease_server = make_lease_server()

    async def story(scene: Scene) -> None:
        scene.site.keyring.skew_s = 0.0
        wish = scene.wish(play_s=6.0, life_s=2.0)
        shown = await scene.viewers.watch(wish)
        assert shown.breaks == 0 and shown.played_s >= 6.0 and shown.answers >= 2
        assert {record["status"] for record in scene.records_of("box.segment")} == {200}
        assert len(scene.records_of("box.setup")) == 1
        stranger = scene.wish(life_s=-1.0)
        assert (await scene.request_session(stranger)).status == 401  # no lease replaces its token
        manager = scene.fronts[0].core.sessions
        await until(lambda: manager.session_count == 0)
        assert (await scene.request_session(wish)).status == 401  # nor that of a session that is over

    play(story, replace(PLAN, token_lines="skew = 0 ms\nbox-life = 4 s"), desk=lease_server)
    assert lease_server.report.granted == 1


def test_keys_rotate_over_http_while_their_tokens_are_in_use() -> None:
    async def story(scene: Scene) -> None:
        server = scene.entitlement
        assert server is not None
        old, new = generate_key_set("issuer-1"), generate_key_set("issuer-2")
        server.key_set = old
        lines = f"key-set = {server.url}/jwks\nkey-set-every = 50 ms\nretired-for = 1 s"
        scene.site.plan = replace(scene.site.plan, token_lines=lines)
        scene.fronts.pop().kill()
        front = await scene.start_front(0)

        def wish_by(keys: str) -> Wish:
            wish = scene.wish()
            claims = scene.site.claims(wish.session, wish.title, wish.cls)
            return replace(wish, token=Keyring.from_json(keys).sign(claims))

        async def status(wish: Wish) -> int:
            return (await scene.request_session(wish)).status

        early = wish_by(old)
        keyring = front.keyring
        await until(lambda: "issuer-1" in keyring.key_ids)
        assert (await status(early), await status(wish_by(new))) == (200, 401)
        server.key_set = new
        await until(lambda: "issuer-2" in keyring.key_ids)
        # The old key is retired, but tokens signed with it are in use: they stay valid for a while only.
        assert (await status(early), await status(wish_by(new))) == (200, 200)
        server.key_set = "no key set"  # an invalid key set removes no key
        await until(lambda: server.key_set_asked > 4)
        assert await status(wish_by(new)) == 200
        server.key_set = new.replace("issuer-2", "issuer-2")
        await until(lambda: "issuer-1" not in keyring.key_ids)
        assert (await status(early), await status(wish_by(new))) == (401, 200)

    play(story, PLAN, desk=make_lease_server(seats=50))


LEASE = b'{"lease": "a", "fence": 3, "expires_in_ms": 10.0}'


@pytest.mark.parametrize(
    ("operation", "reply", "status"),
    [
        (Operation.ACQUIRE, Reply(Outcome.ANSWERED, 200, body=LEASE), ResponseStatus.SUCCEEDED),
        (Operation.ACQUIRE, Reply(Outcome.ANSWERED, 201, body=LEASE), ResponseStatus.SUCCEEDED),
        (Operation.RELEASE, Reply(Outcome.ANSWERED, 204), ResponseStatus.SUCCEEDED),
        (Operation.ACQUIRE, Reply(Outcome.ANSWERED, 200, body=b"[]"), ResponseStatus.INDETERMINATE),
        (
            Operation.ACQUIRE,
            Reply(Outcome.ANSWERED, 200, body=LEASE.replace(b"3", b"-3")),
            ResponseStatus.INDETERMINATE,
        ),
        (
            Operation.ACQUIRE,
            Reply(Outcome.ANSWERED, 200, body=LEASE.replace(b"10.0", b"0")),
            ResponseStatus.INDETERMINATE,
        ),
        (
            Operation.ACQUIRE,
            Reply(Outcome.ANSWERED, 409, Headers([("retry-after", "2")])),
            ResponseStatus.NO_SEAT_FREE,
        ),
        (
            Operation.ACQUIRE,
            Reply(Outcome.ANSWERED, 409, Headers([("retry-after", "soon")])),
            ResponseStatus.NO_SEAT_FREE,
        ),
        (Operation.RENEW, Reply(Outcome.ANSWERED, 412), ResponseStatus.FENCED),
        (Operation.RENEW, Reply(Outcome.ANSWERED, 404), ResponseStatus.LEASE_UNKNOWN),
        (Operation.RENEW, Reply(Outcome.ANSWERED, 403), ResponseStatus.DENIED),
        (Operation.RENEW, Reply(Outcome.ANSWERED, 500), ResponseStatus.INDETERMINATE),
        (Operation.ACQUIRE, Reply(Outcome.REFUSED), ResponseStatus.NOT_EXECUTED),
        (Operation.ACQUIRE, Reply(Outcome.UNSENT), ResponseStatus.NOT_EXECUTED),
        (Operation.ACQUIRE, Reply(Outcome.RESET), ResponseStatus.INDETERMINATE),
        (Operation.ACQUIRE, Reply(Outcome.SILENT), ResponseStatus.INDETERMINATE),
        (Operation.ACQUIRE, Reply(Outcome.CUT, 200), ResponseStatus.INDETERMINATE),
    ],
)
def test_parse_reply(operation: Operation, reply: Reply, status: ResponseStatus) -> None:
    assert parse_reply(operation, reply).status is status


def test_no_entitlement_gate_without_its_section() -> None:
    async def story(scene: Scene) -> None:
        assert scene.fronts[0].gate is None
        assert (await scene.request_session(scene.wish())).status == 200
        assert not (Path(scene.site.folder) / "seats-0").exists()

    play(story, replace(PLAN, boxes=3))
