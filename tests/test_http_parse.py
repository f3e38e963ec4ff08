"""The parsers: any chunking gives the same result, malformed input is rejected, h11 agrees on valid input."""

from __future__ import annotations

import json
from itertools import pairwise
from random import Random

import h11
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fernweir.http.parse import (
    Data,
    End,
    Fault,
    HttpEvent,
    Limits,
    RequestHead,
    RequestParser,
    ResponseHead,
    ResponseParser,
)
from fernweir.http.sse import EventReader, ServerEvent, encode_event
from fernweir.http.target import TargetError, split_target
from fernweir.rehearsal.hostile import PAYLOADS

SMALL = Limits(line=200, head=400, fields=8, body=300)


def merged(events: list[HttpEvent]) -> list[HttpEvent]:
    """Joins body parts, as they depend on the chunking."""
    out: list[HttpEvent] = []
    for event in events:
        if isinstance(event, Data) and out and isinstance(out[-1], Data):
            out[-1] = Data(out[-1].body + event.body)
        else:
            out.append(event)
    return out


def parse(data: bytes, cuts: list[int], parser: RequestParser | ResponseParser) -> list[HttpEvent]:
    events: list[HttpEvent] = []
    edges = [0, *sorted(cut % (len(data) + 1) for cut in cuts), len(data)]
    for start, end in pairwise(edges):
        events += parser.feed(data[start:end])
    return merged(events + parser.eof())


TOKEN = st.text("abcXYZ019-_!", min_size=1, max_size=12)
VALUE = st.text("abc ;=,/\t~\x80\xff", max_size=20).map(lambda text: text.strip(" \t"))
BODY = st.binary(max_size=80)


@st.composite
def requests(draw: st.DrawFn) -> bytes:
    """A well-formed request: sized, chunked or without a body."""
    lines = [f"{draw(st.sampled_from(['GET', 'POST', 'PATCH']))} /{draw(TOKEN)} HTTP/1.1", "Host: a"]
    lines += [f"X-{draw(TOKEN)}: {draw(VALUE)}" for _ in range(draw(st.integers(0, 4)))]
    body = draw(BODY)
    kind = draw(st.sampled_from(["none", "sized", "chunked"]))
    if kind == "sized":
        lines.append(f"Content-Length: {len(body)}")
    elif kind == "chunked":
        lines.append("Transfer-Encoding: chunked")
        at = draw(st.integers(0, len(body)))
        parts = [part for part in (body[:at], body[at:]) if part]
        chunks = b"".join(b"%x;e=1\r\n%s\r\n" % (len(part), part) for part in parts)
        body = chunks + b"0\r\nX-Trailer: t\r\n\r\n"
    else:
        body = b""
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


@given(st.lists(requests(), min_size=1, max_size=3), st.lists(st.integers(0, 2000), max_size=12))
def test_any_split_of_requests_gives_the_same(messages: list[bytes], cuts: list[int]) -> None:
    data = b"".join(messages)
    whole = parse(data, [], RequestParser())
    assert not any(isinstance(event, Fault) for event in whole)
    assert sum(isinstance(event, End) for event in whole) == len(messages)
    assert parse(data, cuts, RequestParser()) == whole
    assert parse(data, list(range(len(data))), RequestParser()) == whole


@given(st.binary(max_size=120), st.lists(st.integers(0, 200), max_size=6))
def test_any_split_of_invalid_input_gives_the_same(rubbish: bytes, cuts: list[int]) -> None:
    for data in (rubbish, b"GET / HTTP/1.1\r\nHost: a\r\n" + rubbish):
        assert parse(data, cuts, RequestParser(SMALL)) == parse(data, [], RequestParser(SMALL))
        reply = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + data
        parsers = ResponseParser(SMALL), ResponseParser(SMALL)
        for parser in parsers:
            parser.expect("GET")
        assert parse(reply, cuts, parsers[0]) == parse(reply, [], parsers[1])


def h11_requests(data: bytes) -> list[tuple[bytes, bytes]] | None:
    """Returns method and body of each request as parsed by h11, or None if h11 rejects them."""
    connection, found, body = h11.Connection(h11.SERVER), [], b""
    connection.receive_data(data)
    try:
        while True:
            event = connection.next_event()
            if isinstance(event, h11.Request):
                method, body = event.method, b""
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                found.append((method, body))
                connection.send(h11.Response(status_code=200, headers=[("content-length", "0")]))
                connection.send(h11.EndOfMessage())
                connection.start_next_cycle()
            else:
                return found
    except h11.RemoteProtocolError:
        return None


@given(st.lists(requests(), min_size=1, max_size=3))
def test_h11_reads_the_same_requests(messages: list[bytes]) -> None:
    ours, body, method = [], b"", b""
    for event in parse(b"".join(messages), [], RequestParser()):
        if isinstance(event, RequestHead):
            method, body = event.method.encode(), b""
        elif isinstance(event, Data):
            body = event.body
        else:
            ours.append((method, body))
    assert ours == h11_requests(b"".join(messages))


# Input that h11 repairs and this parser rejects: request smuggling exploits parsers that repair differently.
STRICTER = {
    "length and coding", "bare LF", "obs-fold", "a thousand fields", "dots", "hidden dots", "hidden slash",
    "bad escape", "hidden NUL", "no token", "not a token", "token of a megabyte", "unsigned token",
    "chunk size of 17 digits", "two tokens", "unknown expectation", "body of a gigabyte", "HTTP/3",
}  # fmt: skip


@pytest.mark.parametrize("name", PAYLOADS)
def test_what_h11_refuses_is_refused(name: str) -> None:
    refused = any(isinstance(event, Fault) for event in parse(PAYLOADS[name], [], RequestParser()))
    if name not in STRICTER:
        assert refused
        assert h11_requests(PAYLOADS[name]) is None or name.startswith(("head of", "target of"))


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 1, 1\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: a\r\nContent-Length: +1\r\n\r\n", 400),
        (b"GET / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", 501),
        (b"GET  / HTTP/1.1\r\nHost: a\r\n\r\n", 400),
        (b"GET / HTTP/2.0\r\nHost: a\r\n\r\n", 505),
        (b"GET /" + b"a" * 300, 414),
        (b"GET / HTTP/1.1\r\n" + b"X: y\r\n" * 9 + b"\r\n", 431),
        (b"GET / HTTP/1.1\r\nX: " + b"y" * 300, 431),
        (b"PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 301\r\n\r\n", 413),
        (b"PUT / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n12d\r\n", 413),
        (b"PUT / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n", 400),
        (b"PUT / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0x2\r\nab\r\n", 400),
        (b"PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nab", 400),
    ],
)
def test_faults_have_their_status(data: bytes, status: int) -> None:
    last = parse(data, [], RequestParser(SMALL))[-1]
    assert isinstance(last, Fault) and last.status == status


def test_a_fault_does_not_take_back_what_came_before() -> None:
    good = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
    events = parse(good + good + b"G\0T\r\n", [], RequestParser())
    assert [type(event) for event in events] == [RequestHead, End, RequestHead, End, Fault]


@pytest.mark.parametrize(
    ("method", "head", "body", "keep"),
    [
        ("GET", b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", b"ab", True),
        ("HEAD", b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", b"", True),
        ("GET", b"HTTP/1.1 204 No Content\r\n\r\n", b"", True),
        ("GET", b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200\r\nContent-Length: 0\r\n\r\n", b"", True),
        ("GET", b"HTTP/1.0 200 OK\r\n\r\n", b"to the end", False),
        ("GET", b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\n", b"a", False),
    ],
)
def test_bodies_of_responses(method: str, head: bytes, body: bytes, keep: bool) -> None:
    parser = ResponseParser()
    parser.expect(method)
    events = parse(head + body, [], parser)
    first, last = events[0], events[-1]
    assert isinstance(first, ResponseHead) and first.keep_alive == keep
    assert isinstance(last, End)
    assert b"".join(event.body for event in events if isinstance(event, Data)) == body


def test_mutated_requests_never_raise() -> None:
    """Runs for a few seconds in CI; `python -m bench.fuzz` runs longer and covers more parsers."""
    rng = Random(7)
    seeds = [data[:2000] for data in PAYLOADS.values()]
    for _ in range(4000):
        data = bytearray(rng.choice(seeds))
        for _ in range(rng.randrange(1, 6)):
            at = rng.randrange(len(data) + 1)
            data[at : at + rng.randrange(3)] = bytes(rng.choices(b"\r\n\0 :;0aA\xff,", k=rng.randrange(4)))
        cuts = [rng.randrange(len(data) + 1) for _ in range(3)]
        assert parse(bytes(data), cuts, RequestParser(SMALL)) == parse(bytes(data), [], RequestParser(SMALL))


# --- server-sent events ---

LINE = st.text(st.characters(codec="utf-8", exclude_characters="\r\n\0"), max_size=20)


@given(st.lists(st.tuples(st.lists(LINE, min_size=1, max_size=3), LINE, LINE), max_size=4), st.data())
@settings(max_examples=60)
def test_server_sent_events_come_as_sent(sent: list[tuple[list[str], str, str]], data: st.DataObject) -> None:
    stream = b"".join(encode_event("\n".join(lines), event, ident) for lines, event, ident in sent)
    cuts = sorted(data.draw(st.lists(st.integers(0, len(stream)), max_size=5)))
    reader, got = EventReader(), []
    edges = [0, *cuts, len(stream)]
    for start, end in pairwise(edges):
        got += reader.feed(stream[start:end])
    assert got == [ServerEvent("\n".join(lines), event or "message", ident) for lines, event, ident in sent]


def test_server_sent_events_as_the_standard_says() -> None:
    reader = EventReader()
    text = "\ufeff: hello\r\ndata:a\rdata: b\nid: 7\nretry: 250\nunknown: x\ndata\n\n"
    text += "event: e\n\nid: \0\ndata: c\n\n"
    assert reader.feed(text.encode()) == [
        ServerEvent("a\nb\n", "message", "7"),
        ServerEvent("c", "message", "7"),
    ]
    assert reader.retry_ms == 250
    with pytest.raises(ValueError, match="too large"):
        EventReader(limit=10).feed(b"data: " + b"x" * 30)
    with pytest.raises(ValueError, match="single lines"):
        encode_event("x", "a\nb")


@pytest.mark.parametrize(
    "target", ["/a/../b", "/a/%2e%2e/b", "/a//b", "/a%2fb", "/a%00", "/%zz", "/a\\b", "*", "http://h/a",
               "/%ff", "/a?x=1&x=2", "/a#b", "/a/."],
)  # fmt: skip
def test_targets_that_are_refused(target: str) -> None:
    with pytest.raises(TargetError):
        split_target(target)


def test_targets_that_are_accepted() -> None:
    assert split_target("/lessons/caf%C3%A9/x?a=%20b&c=") == (["lessons", "café", "x"], {"a": " b", "c": ""})
    assert json.dumps(split_target("/a")) == '[["a"], {}]'
