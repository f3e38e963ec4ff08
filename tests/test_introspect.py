"""Tests of token introspection (RFC 7662): the state machine in any order of events, then over sockets."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from random import Random
from typing import Any

import pytest
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from fernweir.entitlement.introspect import (
    IntrospectionConfig,
    IntrospectionDecision,
    IntrospectionRequest,
    IntrospectionResult,
    IntrospectionStatus,
    Introspector,
)
from fernweir.front.introspection import read_introspection
from fernweir.http.client import Outcome, Reply
from fernweir.rehearsal.site import SitePlan
from fernweir.standin.leases import LeaseDesk
from tests.scene import Scene, play
from tests.sockets import until
from tests.test_gate import PLAN

RULES = IntrospectionConfig(
    positive_cache_ttl_ms=1_000.0,
    negative_cache_ttl_ms=100.0,
    stale_if_error_ms=5_000.0,
    request_timeout_ms=200.0,
    max_cached=3,
    max_in_flight=2,
)


class IntrospectorMachine(RuleBasedStateMachine):
    """Each waiter is notified once and in time of what the server said; one request per token is open."""

    @initialize()
    def begin(self) -> None:
        self.now = 0.0
        self.introspector = Introspector(1, RULES)
        self.waiting: dict[int, tuple[str, float]] = {}
        self.in_flight: dict[int, IntrospectionRequest] = {}
        self.replies: dict[str, list[tuple[float, IntrospectionStatus]]] = {}
        self.cached: list[str] = []  # tokens that a cache of this size must still hold, least recent first
        self.waiters = 0

    def run(self) -> None:
        for effect in self.introspector.take_effects(self.now):
            if isinstance(effect, IntrospectionRequest):
                tokens_in_flight = {request.token for request in self.in_flight.values()}
                assert effect.token not in tokens_in_flight, "two requests for one token in flight"
                self.in_flight[effect.number] = effect
                continue
            token, deadline = self.waiting.pop(effect.waiter)
            conclusive = [
                (at, status)
                for at, status in self.replies.get(token, [])
                if status is not IntrospectionStatus.UNKNOWN
            ]
            if effect.status is IntrospectionStatus.UNKNOWN:
                assert (
                    token not in self.cached
                    or conclusive[-1][1] is IntrospectionStatus.INACTIVE
                    or self.now - conclusive[-1][0] >= 1_000.0
                )
            else:
                assert conclusive and conclusive[-1][1] is effect.status, "the server did not say so"
                max_age_ms = (
                    100.0
                    if effect.status is IntrospectionStatus.INACTIVE
                    else 6_000.0
                    if effect.is_stale
                    else 1_000.0
                )
                assert self.now - conclusive[-1][0] < max_age_ms, "the result is too old"
            assert self.now <= deadline + 1.0

    def last_conclusive(self, token: str) -> tuple[float, IntrospectionStatus]:
        """When the server last decided on a token, and how."""
        return [reply for reply in self.replies[token] if reply[1] is not IntrospectionStatus.UNKNOWN][-1]

    def use(self, token: str) -> None:
        """A token becomes the most recently used of the cache, whose least recent one may go."""
        self.cached = [*(other for other in self.cached if other != token), token][-RULES.max_cached :]

    @rule(token=st.sampled_from("abcde"), wait=st.sampled_from([50.0, 400.0, 2_000.0]))
    def ask(self, token: str, wait: float) -> None:
        self.waiters += 1
        self.waiting[self.waiters] = (token, self.now + wait)
        if token in self.cached:
            at, status = self.last_conclusive(token)
            ttl = 1_000.0 if status is IntrospectionStatus.ACTIVE else 100.0
            if self.now < at + ttl:
                self.use(token)
        self.introspector.look_up(self.now, self.waiters, token, self.now + wait)
        self.run()

    @rule(number=st.integers(0, 5))
    def leave(self, number: int) -> None:
        if number < len(self.waiting):
            waiter = list(self.waiting)[number]
            del self.waiting[waiter]
            self.introspector.withdraw(waiter)

    @rule(
        number=st.integers(0, 1), status=st.sampled_from([*IntrospectionStatus, IntrospectionStatus.ACTIVE])
    )
    def answer(self, number: int, status: IntrospectionStatus) -> None:
        if number < len(self.in_flight):
            request = self.in_flight.pop(list(self.in_flight)[number])
            self.replies.setdefault(request.token, []).append((self.now, status))
            if status is not IntrospectionStatus.UNKNOWN:
                self.use(request.token)
            self.introspector.on_reply(self.now, request.number, IntrospectionResult(status))
            self.run()

    @rule(after=st.sampled_from([1.0, 60.0, 900.0, 5_500.0]))
    def time(self, after: float) -> None:
        end = self.now + after
        while (due := self.introspector.next_deadline(self.now)) is not None and due <= end:
            self.now = max(due, self.now + 0.5)
            if self.now > end:
                break
            self.run()
        self.now = max(end, self.now)
        self.run()

    @invariant()
    def bounded(self) -> None:
        if hasattr(self, "introspector"):
            assert len(self.in_flight) <= 2 and len(self.introspector._cache) <= 3
            assert set(self.introspector._digest_of_waiter) == set(self.waiting), "a waiter is lost"

    def teardown(self) -> None:
        if hasattr(self, "introspector"):
            self.introspector.shutdown()
            self.run_out()

    def run_out(self) -> None:
        notified = [
            effect.waiter
            for effect in self.introspector.take_effects(self.now)
            if isinstance(effect, IntrospectionDecision)
        ]
        assert sorted(notified) == sorted(self.waiting) and len(self.introspector) == 0


IntrospectorMachine.TestCase.settings = hypothesis_settings(max_examples=60, stateful_step_count=30)
TestIntrospectorMachine = IntrospectorMachine.TestCase


def test_a_server_that_fails_gets_few_requests() -> None:
    introspector, rng, now, request_count = Introspector(1, RULES), Random(1), 0.0, 0
    for waiter in range(2_000):
        now += 5.0
        introspector.look_up(now, waiter, f"token {waiter}", now + rng.uniform(100.0, 500.0))
        for effect in introspector.take_effects(now):
            if isinstance(effect, IntrospectionRequest):
                request_count += 1
                introspector.on_reply(now, effect.number, IntrospectionResult(IntrospectionStatus.UNKNOWN))
    assert request_count < 60 and introspector.metrics.unknown + len(introspector) == 2_000


@pytest.mark.parametrize(
    ("body", "status"),
    [
        (b'{"active": true, "sub": "a"}', IntrospectionStatus.ACTIVE),
        (b'{"active": true, "exp": 50}', IntrospectionStatus.INACTIVE),
        (b'{"active": false}', IntrospectionStatus.INACTIVE),
        (b'{"active": "true"}', IntrospectionStatus.UNKNOWN),
        (b'{"active": 1}', IntrospectionStatus.UNKNOWN),
        (b'{"sub": "a"}', IntrospectionStatus.UNKNOWN),
        (b"[true]", IntrospectionStatus.UNKNOWN),
        (b"\xff", IntrospectionStatus.UNKNOWN),
    ],
)
def test_read_introspection(body: bytes, status: IntrospectionStatus) -> None:
    assert read_introspection(Reply(Outcome.ANSWERED, 200, body=body), 100.0).status is status
    assert (
        read_introspection(Reply(Outcome.ANSWERED, 503, body=body), 100.0).status
        is IntrospectionStatus.UNKNOWN
    )
    assert read_introspection(Reply(Outcome.CUT, 200, body=body), 100.0).status is IntrospectionStatus.UNKNOWN


def scene_with(story: Any, **settings: str) -> None:
    """Runs a story with a front that introspects all tokens."""

    async def run(scene: Scene) -> None:
        assert scene.entitlement is not None
        scene.fronts.pop().kill()
        lines = {"tokens": "all", "believe": "0 s", "disbelieve": "0 s", "stale": "0 s", **settings}
        text = "\n".join(f"{key.replace('_', '-')} = {value}" for key, value in lines.items())
        scene.extra = f"[introspection]\nurl = {scene.entitlement.url}/introspect\n{text}"
        await scene.start_front(0)
        await story(scene)

    play(run, replace(PLAN), desk=LeaseDesk(ttl_ms=2_000.0))


def test_a_revoked_token_is_rejected_at_the_next_request() -> None:
    async def story(scene: Scene) -> None:
        assert scene.entitlement is not None
        wish = scene.wish()
        assert (await scene.request_session(wish)).status == 200
        scene.entitlement.inactive.add(f"person-{wish.session}")
        refused = await scene.request_session(wish)
        assert refused.status == 401 and b"not-active" in refused.body
        assert "invalid_token" in refused.headers.get("www-authenticate")
        ended = await scene.http("DELETE", "/lessons/lesson-0/session", wish)
        assert ended.status == 401  # a revoked token cannot end a session either

    scene_with(story)


def test_opaque_tokens_have_the_claims_of_the_introspection_response() -> None:
    async def story(scene: Scene) -> None:
        server = scene.entitlement
        assert server is not None
        claims = scene.site.claims("opaque-1", "lesson-0", "training").model_dump(exclude_none=True)
        server.opaque = {
            "good": claims,
            "other-issuer": {**claims, "iss": "somebody"},
            "other-audience": {**claims, "aud": "another-service"},
            "no-class": {**claims, "cls": "unheard-of"},
            "no-claims": {"scope": "watch"},
        }
        base = scene.wish()
        statuses = {}
        for token in [*server.opaque, "made-up"]:
            statuses[token] = (
                await scene.request_session(replace(base, session="opaque-1", token=token))
            ).status
        assert statuses == {**dict.fromkeys(statuses, 401), "good": 200}
        assert (
            await scene.request_session(replace(base, token="a.b.c"))
        ).status == 401  # has the form of a signed token

    scene_with(story, tokens="opaque")


def test_without_a_response_the_class_or_a_stale_result_decides() -> None:
    async def story(scene: Scene) -> None:
        assert scene.entitlement is not None
        known = scene.wish(cls="briefing")
        assert (await scene.request_session(known)).status == 200
        await asyncio.sleep(0)
        scene.entitlement.silent = True
        strict, lenient, seen = await asyncio.gather(
            scene.request_session(scene.wish(cls="briefing")),
            scene.request_session(scene.wish(cls="training")),
            scene.request_session(known),
        )
        assert (strict.status, lenient.status, seen.status) == (503, 200, 200)
        assert b"issuer did not answer" in strict.body and strict.headers.get("retry-after") == "1"

    scene_with(story, call_time="100 ms", stale="60 s")


def test_a_front_that_stops_answers_requests_whose_token_is_being_introspected() -> None:
    async def story(scene: Scene) -> None:
        assert scene.entitlement is not None
        scene.entitlement.silent = True
        front = scene.fronts[0]
        waiting = asyncio.ensure_future(scene.request_session(scene.wish(cls="briefing")))
        await until(lambda: front.introspection is not None and len(front.introspection) == 1)
        stopping = asyncio.ensure_future(front.stop(5.0))
        assert (await waiting).status == 503
        assert await stopping

    scene_with(story, call_time="30 s")


def test_concurrent_requests_with_one_token_share_an_introspection_request() -> None:
    async def story(scene: Scene) -> None:
        assert scene.entitlement is not None
        wish = scene.wish()
        replies = await asyncio.gather(*(scene.request_session(wish) for _ in range(8)))
        assert {reply.status for reply in replies} == {200}
        assert scene.entitlement.introspected <= 2
        stranger = await scene.http("GET", "/lessons/lesson-0/manifest.mpd")
        assert stranger.status == 401 and scene.entitlement.introspected <= 2  # no token, no request

    scene_with(story, believe="60 s")


def test_without_a_section_no_token_is_introspected() -> None:
    async def story(scene: Scene) -> None:
        assert scene.fronts[0].introspection is None
        assert (await scene.request_session(replace(scene.wish(), token="opaque"))).status == 401

    play(story, replace(SitePlan(), boxes=3))
