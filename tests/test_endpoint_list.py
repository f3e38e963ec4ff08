"""The endpoint list, the notice stream, the rung synchronization, and the classification of replies."""

from __future__ import annotations

import json
from random import Random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fernweir.front.endpoint_list import EndpointList, ListError, ListGapError, read_document
from fernweir.front.response_classification import classify_reply, load_report
from fernweir.front.rungsync import RungSync, Send
from fernweir.front.server_notices import NoticeError, NoticeStreamState, SessionEnded, SessionNotice
from fernweir.http.client import Outcome, Reply
from fernweir.http.headers import Headers
from fernweir.http.problem import problem
from fernweir.http.sse import ServerEvent
from fernweir.interface import EndpointListKind, NoticeKind, Result, ServerState
from tests.helpers import SETTINGS
from tests.step_counter import count_steps
from tests.test_fleet_size import MAX_GROWTH, MOST_SERVERS, USUAL_SERVERS


def entry(server: int, **fields: Any) -> dict[str, Any]:
    return {"box": server, "host": "127.0.0.1", "port": 1, "state": "ready", "boot": "a", "cell": 0, **fields}


def document(version: int, *entries: dict[str, Any], epoch: str = "e", **fields: Any) -> Any:
    return read_document(json.dumps({"epoch": epoch, "version": version, "boxes": entries, **fields}))


def test_full_lists_and_deltas() -> None:
    endpoint_list = EndpointList(SETTINGS)
    title = {"title": "t", "cell": 1, "copies": 2}
    first = endpoint_list.apply_full(10_000.0, document(3, entry(1), entry(2, age_s=2.0), lessons=[title]))
    assert first is not None and first.kind is EndpointListKind.FULL and endpoint_list.last_id == "e:3"
    assert [endpoint.started_at for endpoint in first.entries] == [0.0, 8_000.0]
    assert endpoint_list.titles["t"].first_zone == 1 and endpoint_list.address(2) == ("127.0.0.1", 1)
    delta = endpoint_list.apply_delta(12_000.0, document(4, entry(2, state="draining", age_s=4.1), base=3))
    assert delta is not None and delta.kind is EndpointListKind.DELTA
    assert delta.entries[0].state is ServerState.DRAINING
    assert delta.entries[0].started_at == 8_000.0  # the start of an incarnation is computed once
    restarted = endpoint_list.apply_delta(20_000.0, document(5, entry(2, boot="b", age_s=0.5), base=4))
    assert restarted is not None and restarted.entries[0].started_at == 19_500.0
    assert endpoint_list.apply_delta(0.0, document(5, entry(2), base=4)) is None  # the same delta again
    for gap in (document(9, base=8), document(6, base=5, epoch="f"), document(6), document(7, base=4)):
        with pytest.raises(ListGapError):
            endpoint_list.apply_delta(0.0, gap)
    assert endpoint_list.apply_full(0.0, document(4, entry(1))) is None  # an older version
    assert endpoint_list.apply_full(0.0, document(5, entry(1))) is None
    empty = endpoint_list.apply_full(0.0, document(1, epoch="f"))  # a new epoch may have any version
    assert empty is not None and endpoint_list.servers == {} and endpoint_list.address(1) is None


# Guards against an encoding of the complete list after each change, which stopped a front for its time.
def test_a_change_of_the_cached_list_costs_the_same_in_a_fleet_of_any_size() -> None:
    def steps(servers: int) -> int:
        held = EndpointList(SETTINGS)
        held.apply_full(0.0, document(1, *(entry(number) for number in range(servers))))
        held.to_cache()
        change = document(2, entry(servers - 1, state="draining"), base=1)
        with count_steps() as counter:
            assert held.apply_delta(0.0, change) is not None
            held.to_cache()
        return counter.steps

    assert steps(MOST_SERVERS) <= MAX_GROWTH * steps(USUAL_SERVERS)


def test_the_cached_document_has_the_servers_and_titles_of_the_last_changes() -> None:
    rng, held, version = Random(3), EndpointList(SETTINGS), 0
    for step in range(60):
        version += 1
        is_full = not step or rng.random() < 0.1
        numbers = rng.sample(range(30), rng.randrange(1, 9))
        lessons = [{"title": f"t{rng.randrange(5)}", "cell": rng.randrange(4), "copies": 1}]
        fields: dict[str, Any] = {"lessons": lessons if is_full or rng.random() < 0.3 else []}
        change = document(version, *(entry(one, cell=rng.randrange(4)) for one in numbers), **fields)
        if is_full:
            held.apply_full(0.0, change)
        else:
            held.apply_delta(0.0, change.model_copy(update={"base": version - 1}))
        if rng.random() < 0.5:
            continue
        cached = EndpointList(SETTINGS)
        cached.apply_full(0.0, read_document(held.to_cache()), cached=True)
        assert list(cached.servers) == list(held.servers)
        without_age = [one.model_copy(update={"age_s": None}) for one in held.servers.values()]
        assert list(cached.servers.values()) == without_age
        assert (cached.titles, cached.version) == (held.titles, held.version)


def test_a_cached_list_is_applied_and_then_replaced() -> None:
    endpoint_list, restored = EndpointList(SETTINGS), EndpointList(SETTINGS)
    endpoint_list.apply_full(
        9_000.0, document(3, entry(1, age_s=1.0), lessons=[{"title": "t", "cell": 0, "copies": 1}])
    )
    cached = restored.apply_full(5.0, read_document(endpoint_list.to_cache()), cached=True)
    assert (
        cached is not None
        and cached.kind is EndpointListKind.CACHED
        and restored.titles == endpoint_list.titles
    )
    assert cached.entries[0].started_at == 0.0
    assert restored.apply_full(6.0, document(4, entry(1))) is not None


@pytest.mark.parametrize(
    ("text", "word"),
    [
        ("no", "JSON"),
        ('{"version": 1}', "epoch"),
        ('{"epoch": "e", "version": -1}', "version"),
        (json.dumps({"epoch": "e", "version": 1, "boxes": [entry(1, port=0)]}), "port"),
        (json.dumps({"epoch": "e", "version": 1, "boxes": [entry(1, state="odd")]}), "state"),
        (
            json.dumps({"epoch": "e", "version": 1, "lessons": [{"title": "../x", "cell": 0, "copies": 1}]}),
            "title",
        ),
    ],
)
def test_invalid_documents_are_rejected(text: str, word: str) -> None:
    with pytest.raises(ListError, match=word):
        read_document(text)


def test_inconsistent_lists_leave_the_current_list() -> None:
    endpoint_list = EndpointList(SETTINGS)
    endpoint_list.apply_full(0.0, document(1, entry(1)))
    for inconsistent in (document(2, entry(1), entry(1)), document(2, entry(1, cell=99))):
        with pytest.raises(ListError):
            endpoint_list.apply_full(0.0, inconsistent)
    assert list(endpoint_list.servers) == [1] and endpoint_list.version == 1


def test_server_notices_and_the_hello_of_a_new_stream() -> None:
    state = NoticeStreamState()
    state.on_stream_opened({"a": 0, "b": 1, "c": 0})
    hello = {"boot": "x", "sessions": [["a", 0], ["b", 0]]}
    lost = state.handle(ServerEvent(json.dumps(hello), "hello"))
    assert lost == [
        SessionEnded("b", 1, Result.RESET, "unknown to its box"),
        SessionEnded("c", 0, Result.RESET, "unknown to its box"),
    ]
    notice = {"session": "a", "attempt": 0, "level": 0.5}
    assert state.handle(ServerEvent(json.dumps(notice), "uplink")) == [
        SessionNotice("a", 0, NoticeKind.UPLINK, 0.5)
    ]
    ended = {"session": "a", "attempt": 0, "reason": "finished"}
    assert state.handle(ServerEvent(json.dumps(ended), "ended")) == [
        SessionEnded("a", 0, Result.OK, "finished")
    ]
    assert state.handle(ServerEvent("{}", "something-newer")) == []
    prefix = '{"session": "a", "attempt": 0'
    for malformed in (
        "no",
        "[]",
        "{}",
        prefix + "}",
        *(f'{prefix}, "level": {level}}}' for level in ("true", "-1", "NaN")),
    ):
        with pytest.raises(NoticeError):
            state.handle(ServerEvent(malformed, "link"))


@given(st.lists(st.tuples(st.sampled_from(["want", "done", "lost", "time"]), st.integers(0, 3)), max_size=40))
def test_the_last_rung_that_was_set_is_the_last_delivered(steps: list[tuple[str, int]]) -> None:
    sync, now, in_flight, delivered, desired = RungSync(max_sends=100), 0.0, [], None, None

    def start(message: Send | None) -> None:
        if message is not None:
            assert not in_flight, "two messages in flight for one session"
            in_flight.append(message)

    for step, rung in [*steps, *[("time", 0), ("done", 0)] * 60]:
        if step == "want":
            desired = rung
            start(sync.set_rung("a", 0, 1, rung))
        elif step == "time":
            now += 1e6
            for message in sync.pop_due(now):
                start(message)
        elif in_flight:
            sent = in_flight.pop()
            if step == "done":
                delivered = sent.rung
            start(sync.on_send_finished(now, sent, step == "done"))
    assert delivered == desired and len(sync) == 0


def test_a_rung_that_is_never_delivered_is_abandoned() -> None:
    sync, now, sends = RungSync(max_sends=3, backoff_ms=10.0), 0.0, 1
    sent = sync.set_rung("a", 0, 1, 2)
    assert sent is not None
    while sync.on_send_finished(now, sent, False) is None and sync.next_deadline() is not None:
        now = sync.next_deadline() or 0.0
        assert sync.pop_due(now - 1.0) == []
        retries = sync.pop_due(now)
        if not retries:
            break
        sent, sends = retries[0], sends + 1
    assert sends == 3 and len(sync) == 0


PROBLEM = Headers([("content-type", "application/problem+json")])


@pytest.mark.parametrize(
    ("reply", "result"),
    [
        (Reply(Outcome.ANSWERED, 200), Result.OK),
        (Reply(Outcome.ANSWERED, 204), Result.OK),
        (
            Reply(Outcome.ANSWERED, 503, PROBLEM, problem(503, "x", kind="urn:fernweir:problem:full")),
            Result.FULL,
        ),
        (
            Reply(Outcome.ANSWERED, 503, PROBLEM, problem(503, "x", kind="urn:fernweir:problem:draining")),
            Result.FULL,
        ),
        # Any other 503 may have run: only the server's own statement proves that nothing did.
        (Reply(Outcome.ANSWERED, 503, PROBLEM, problem(503, "x")), Result.ERROR),
        (Reply(Outcome.ANSWERED, 503, PROBLEM, b"["), Result.ERROR),
        (Reply(Outcome.ANSWERED, 503), Result.ERROR),
        (
            Reply(Outcome.ANSWERED, 500, PROBLEM, problem(500, "x", kind="urn:fernweir:problem:full")),
            Result.ERROR,
        ),
        (Reply(Outcome.REFUSED), Result.CONNECT_FAILED),
        (Reply(Outcome.UNSENT), Result.CONNECT_FAILED),
        (Reply(Outcome.UNWANTED), Result.NOT_SENT),
        (Reply(Outcome.RESET), Result.RESET),
        (Reply(Outcome.CUT, 200), Result.RESET),
        (Reply(Outcome.SILENT), Result.TIMEOUT),
        (Reply(Outcome.STALLED, 200), Result.TIMEOUT),
        (Reply(Outcome.GARBLED), Result.ERROR),
        (Reply(Outcome.CANCELLED), Result.CANCELLED),
    ],
)
def test_classification_of_replies(reply: Reply, result: Result) -> None:
    assert classify_reply(reply)[0] is result
    assert reply.outcome.never_ran == (result in (Result.CONNECT_FAILED, Result.NOT_SENT))


@pytest.mark.parametrize(
    ("header", "report"),
    [
        ("TEXT named_metrics.x0=0.5,named_metrics.x1=1.25", {"x0": 0.5, "x1": 1.25}),
        ("TEXT cpu_utilization=0.3, x0=1e-1", {"cpu_utilization": 0.3, "x0": 0.1}),
        ('JSON {"named_metrics": {"x0": 0.5, "x1": "no"}}', {"x0": 0.5}),
        ("TEXT x0=nan,x1=-1,x2=inf,=3,x4", {}),
        ("JSON [", {}),
        ("JSON []", {}),
        ("BIN abc", {}),
        ("", {}),
    ],
)
def test_load_reports(header: str, report: dict[str, float]) -> None:
    assert load_report(Reply(Outcome.ANSWERED, 200, Headers([("endpoint-load-metrics", header)]))) == report
