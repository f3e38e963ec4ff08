"""Tokens asked about at their issuer (RFC 7662): decisions in any order of events, then over sockets."""

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


class Story(RuleBasedStateMachine):
    """Each waiter is told once and in time; one question a token is out; words are never made up."""

    @initialize()
    def begin(self) -> None:
        self.now = 0.0
        self.judge = Introspector(1, RULES)
        self.owed: dict[int, tuple[str, float]] = {}
        self.out: dict[int, IntrospectionRequest] = {}
        self.said: dict[str, list[tuple[float, IntrospectionStatus]]] = {}
        self.cached: list[str] = []  # tokens that a cache of this size must still hold, least recent first
        self.waiters = 0

    def run(self) -> None:
        for one in self.judge.take_effects(self.now):
            if isinstance(one, IntrospectionRequest):
                assert one.token not in {other.token for other in self.out.values()}, "asked twice at once"
                self.out[one.number] = one
                continue
            token, by = self.owed.pop(one.waiter)
            heard = [
                (at, word) for at, word in self.said.get(token, []) if word is not IntrospectionStatus.UNKNOWN
            ]
            if one.status is IntrospectionStatus.UNKNOWN:
                assert (
                    token not in self.cached
                    or heard[-1][1] is IntrospectionStatus.INACTIVE
                    or self.now - heard[-1][0] >= 1_000.0
                )
            else:
                assert heard and heard[-1][1] is one.status, "nobody said so"
                hold = (
                    100.0
                    if one.status is IntrospectionStatus.INACTIVE
                    else 6_000.0
                    if one.is_stale
                    else 1_000.0
                )
                assert self.now - heard[-1][0] < hold, "too old to be believed"
            assert self.now <= by + 1.0

    def last_conclusive(self, token: str) -> tuple[float, IntrospectionStatus]:
        """When the server last decided on a token, and how."""
        return [one for one in self.said[token] if one[1] is not IntrospectionStatus.UNKNOWN][-1]

    def use(self, token: str) -> None:
        """A token becomes the most recently used of the cache, whose least recent one may go."""
        self.cached = [*(one for one in self.cached if one != token), token][-RULES.max_cached :]

    @rule(token=st.sampled_from("abcde"), wait=st.sampled_from([50.0, 400.0, 2_000.0]))
    def ask(self, token: str, wait: float) -> None:
        self.waiters += 1
        self.owed[self.waiters] = (token, self.now + wait)
        if token in self.cached:
            at, word = self.last_conclusive(token)
            ttl = 1_000.0 if word is IntrospectionStatus.ACTIVE else 100.0
            if self.now < at + ttl:
                self.use(token)
        self.judge.look_up(self.now, self.waiters, token, self.now + wait)
        self.run()

    @rule(number=st.integers(0, 5))
    def leave(self, number: int) -> None:
        if number < len(self.owed):
            waiter = list(self.owed)[number]
            del self.owed[waiter]
            self.judge.withdraw(waiter)

    @rule(number=st.integers(0, 1), word=st.sampled_from([*IntrospectionStatus, IntrospectionStatus.ACTIVE]))
    def answer(self, number: int, word: IntrospectionStatus) -> None:
        if number < len(self.out):
            question = self.out.pop(list(self.out)[number])
            self.said.setdefault(question.token, []).append((self.now, word))
            if word is not IntrospectionStatus.UNKNOWN:
                self.use(question.token)
            self.judge.on_reply(self.now, question.number, IntrospectionResult(word))
            self.run()

    @rule(after=st.sampled_from([1.0, 60.0, 900.0, 5_500.0]))
    def time(self, after: float) -> None:
        end = self.now + after
        while (due := self.judge.next_deadline(self.now)) is not None and due <= end:
            self.now = max(due, self.now + 0.5)
            if self.now > end:
                break
            self.run()
        self.now = max(end, self.now)
        self.run()

    @invariant()
    def bounded(self) -> None:
        if hasattr(self, "judge"):
            assert len(self.out) <= 2 and len(self.judge._cache) <= 3
            assert set(self.judge._digest_of_waiter) == set(self.owed), "somebody is forgotten"

    def teardown(self) -> None:
        if hasattr(self, "judge"):
            self.judge.shutdown()
            self.run_out()

    def run_out(self) -> None:
        told = [
            one.waiter for one in self.judge.take_effects(self.now) if isinstance(one, IntrospectionDecision)
        ]
        assert sorted(told) == sorted(self.owed) and len(self.judge) == 0


Story.TestCase.settings = hypothesis_settings(max_examples=60, stateful_step_count=30)
TestStory = Story.TestCase


def test_a_server_that_fails_is_asked_by_few() -> None:
    judge, dice, now, questions = Introspector(1, RULES), Random(1), 0.0, 0
    for waiter in range(2_000):
        now += 5.0
        judge.look_up(now, waiter, f"token {waiter}", now + dice.uniform(100.0, 500.0))
        for one in judge.take_effects(now):
            if isinstance(one, IntrospectionRequest):
                questions += 1
                judge.on_reply(now, one.number, IntrospectionResult(IntrospectionStatus.UNKNOWN))
    assert questions < 60 and judge.metrics.unknown + len(judge) == 2_000


@pytest.mark.parametrize(
    ("body", "word"),
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
def test_what_an_answer_says(body: bytes, word: IntrospectionStatus) -> None:
    assert read_introspection(Reply(Outcome.ANSWERED, 200, body=body), 100.0).status is word
    assert (
        read_introspection(Reply(Outcome.ANSWERED, 503, body=body), 100.0).status
        is IntrospectionStatus.UNKNOWN
    )
    assert read_introspection(Reply(Outcome.CUT, 200, body=body), 100.0).status is IntrospectionStatus.UNKNOWN


def scene_with(story: Any, **settings: str) -> None:
    """A front that asks about all its tokens."""

    async def run(scene: Scene) -> None:
        assert scene.entitlement is not None
        scene.fronts.pop().kill()
        lines = {"tokens": "all", "believe": "0 s", "disbelieve": "0 s", "stale": "0 s", **settings}
        text = "\n".join(f"{key.replace('_', '-')} = {value}" for key, value in lines.items())
        scene.extra = f"[introspection]\nurl = {scene.entitlement.url}/introspect\n{text}"
        await scene.start_front(0)
        await story(scene)

    play(run, replace(PLAN), desk=LeaseDesk(ttl_ms=2_000.0))


def test_a_token_taken_back_is_refused_at_the_next_request() -> None:
    async def story(scene: Scene) -> None:
        assert scene.entitlement is not None
        wish = scene.wish()
        assert (await scene.request_session(wish)).status == 200
        scene.entitlement.inactive.add(f"person-{wish.session}")
        refused = await scene.request_session(wish)
        assert refused.status == 401 and b"not-active" in refused.body
        assert "invalid_token" in refused.headers.get("www-authenticate")
        ended = await scene.http("DELETE", "/lessons/lesson-0/session", wish)
        assert ended.status == 401  # what was taken back ends nobody's session either

    scene_with(story)


def test_opaque_tokens_stand_for_the_claims_their_issuer_tells() -> None:
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
        answers = {}
        for token in [*server.opaque, "made-up"]:
            answers[token] = (
                await scene.request_session(replace(base, session="opaque-1", token=token))
            ).status
        assert answers == {**dict.fromkeys(answers, 401), "good": 200}
        assert (
            await scene.request_session(replace(base, token="a.b.c"))
        ).status == 401  # looks signed, and isn't

    scene_with(story, tokens="opaque")


def test_an_issuer_that_says_nothing_is_answered_for_by_the_class_or_by_its_older_word() -> None:
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


def test_a_front_that_stops_answers_those_whose_token_is_being_asked_about() -> None:
    async def story(scene: Scene) -> None:
        assert scene.entitlement is not None
        scene.entitlement.silent = True
        front = scene.fronts[0]
        waiting = asyncio.ensure_future(scene.request_session(scene.wish(cls="briefing")))
        await until(lambda: front.desk is not None and len(front.desk) == 1)
        stopping = asyncio.ensure_future(front.stop(5.0))
        assert (await waiting).status == 503
        assert await stopping

    scene_with(story, call_time="30 s")


def test_one_question_for_many_who_ask_at_once() -> None:
    async def story(scene: Scene) -> None:
        assert scene.entitlement is not None
        wish = scene.wish()
        replies = await asyncio.gather(*(scene.request_session(wish) for _ in range(8)))
        assert {reply.status for reply in replies} == {200}
        assert scene.entitlement.introspected <= 2
        stranger = await scene.http("GET", "/lessons/lesson-0/manifest.mpd")
        assert stranger.status == 401 and scene.entitlement.introspected <= 2  # no token, no question

    scene_with(story, believe="60 s")


def test_without_a_section_nobody_is_asked() -> None:
    async def story(scene: Scene) -> None:
        assert scene.fronts[0].desk is None
        assert (await scene.request_session(replace(scene.wish(), token="opaque"))).status == 401

    play(story, replace(SitePlan(), boxes=3))
