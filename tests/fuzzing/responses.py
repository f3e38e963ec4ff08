"""Responses against a slow reader of RFC 9112, with what is refused on purpose; and against h11.

What this parser takes, h11 must take alike up to the first response that ends its connection, but for

- a status below 100, for which h11 has no place;
- fields about the body of a response that has none (1xx, 204, 304, to HEAD): RFC 9112, 6.3 says that it
  ends with its head whatever they say, and h11 reads them nevertheless;
- white space before a chunk's extension and framing fields among trailers, as in `requests`.
"""

from __future__ import annotations

from random import Random

import h11

from fernweir.http.parse import HttpEvent, Limits, ResponseParser
from tests.fuzzing import Finding, Target, mutate, pieces, same
from tests.fuzzing.requests import BODY, FRAMING, Bad, Reader, fields, options, plain, read_all, sized

METHODS = ("GET", "HEAD", "POST", "GET", "GET", "GET")


def _one(reader: Reader, methods: list[str]) -> bool:
    """One response; False if the body goes to the connection's end."""
    lines = reader.section(False)
    if not lines:
        raise Bad(502)
    line = lines[0]
    good = line[:7] == b"HTTP/1." and line[7:8].isdigit() and line[8:9] == b" "
    if not good or not line[9:12].isdigit() or len(line[9:12]) != 3 or line[12:13] not in (b"", b" "):
        raise Bad(502)
    if any((one < 0x20 and one != 9) or one == 0x7F for one in line[13:]):
        raise Bad(502)
    status, minor, reason = int(line[9:12]), int(line[7:8]), line[13:].decode("latin-1")
    headers = fields(lines[1:])
    if 100 <= status < 200:
        if status == 101:
            raise Bad(502)
        reader.allowed = reader.allowed or any(name in FRAMING for name, _ in headers)
        return True
    if not methods:
        raise Bad(502)
    bare = methods.pop(0) == "HEAD" or status in (204, 304)
    chunked, length = (False, 0) if bare else sized(headers)
    to_end = not chunked and length is None
    keep = not to_end and "close" not in options(headers)
    keep = keep and (minor > 0 or "keep-alive" in options(headers))
    reader.out.append(("response", status, reason, headers, keep, to_end))
    if to_end:
        reader.body = reader.data[reader.at :]
        reader.at = len(reader.data)
        if len(reader.body) > BODY:
            raise Bad(413)
    elif chunked:
        reader.chunks()
    else:
        reader.take(length or 0)
    reader.flush()
    reader.out.append("end")
    return not to_end


def slow_read(data: bytes) -> Reader:
    methods = list(METHODS)
    return read_all(Reader(data), lambda reader: _one(reader, methods))


def h11_read(data: bytes) -> list[object]:
    """(status, body) of each response as h11's client reads them."""
    connection, found = h11.Connection(h11.CLIENT, max_incomplete_event_size=1 << 20), list[object]()
    connection.receive_data(data)
    connection.receive_data(b"")
    try:
        for method in METHODS:
            connection.send(h11.Request(method=method, target="/", headers=[("Host", "a")]))
            connection.send(h11.EndOfMessage())
            status, body = 0, b""
            while not isinstance(event := connection.next_event(), h11.EndOfMessage):
                if isinstance(event, h11.Response):
                    status = event.status_code
                elif isinstance(event, h11.Data):
                    body += bytes(event.data)
                elif not isinstance(event, h11.InformationalResponse):
                    return [*found, type(event).__name__]
            found.append((status, body))
            if connection.states[h11.SERVER] is not h11.DONE:
                return [*found, "closes"]
            connection.start_next_cycle()
    except h11.RemoteProtocolError as error:
        return [*found, f"refused: {error}"]
    return found


def check(data: bytes) -> None:
    parser, events = ResponseParser(Limits(body=BODY)), list[HttpEvent]()
    for method in METHODS:
        parser.expect(method)
    for piece in pieces(data):
        events += parser.feed(piece)
    events += parser.eof()
    ours = plain(events)
    slow = slow_read(data[1:])
    same(ours, slow.out, data)
    if slow.allowed:
        return
    whole, body, head = list[object](), b"", tuple[object, ...]()
    for event in ours:
        if event == "end":
            status, method = int(str(head[1])), METHODS[len(whole)]
            named = any(name in FRAMING for name, _ in head[3])  # type: ignore[attr-defined]
            bare = method == "HEAD" or status in (204, 304)
            if status < 100 or (bare and named):
                break
            whole.append((head[1], body))
            if not head[4]:
                break
        elif isinstance(event, tuple) and event[0] == "data":
            body = event[1]
        elif isinstance(event, tuple) and event[0] == "response":
            head, body = event, b""
    theirs = h11_read(data[1:])
    if theirs[: len(whole)] != whole:
        raise Finding(f"\n ours {whole!r}\n h11  {theirs!r}\n of {data!r}")


_WORDS = [
    b"\r\n", b"\n", b"\r", b" ", b"\t", b":", b";", b"\0", b"\xff", b"\x7f", b"0\r\n\r\n",
    b"HTTP/1.0 200 OK\r\n", b"HTTP/1.1 204 N\r\n\r\n", b"HTTP/1.1 100 Continue\r\n\r\n",
    b"HTTP/1.1 101 S\r\n\r\n", b"304", b"099", b"1000", b"HTTP/1.1 200\r\n", b"Content-Length: 2\r\n",
    b"Transfer-Encoding: chunked\r\n", b"Connection: close\r\n", b"Connection: Keep-Alive\r\n",
    b"2\r\nab\r\n", b"+2", b"HTTP/2.0",
]  # fmt: skip


def _response(dice: Random) -> bytes:
    body = dice.randbytes(dice.randrange(8))
    head = dice.choice([b"HTTP/1.1"] * 5 + [b"HTTP/1.0"])
    head += (
        dice.choice(
            [
                b" 200 OK",
                b" 404 Not Found",
                b" 204 No Content",
                b" 304 Not Modified",
                b" 200",
                b" 503 \xe9",
                b" 102 P",
            ]
        )
        + b"\r\n"
    )
    kind = dice.randrange(4)
    if kind == 0:
        return head + b"Content-Length: %d\r\n\r\n" % len(body) + body
    if kind == 1:
        return head + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n" % (
            len(body) or 1,
            body or b"a",
        )
    if kind == 2:
        return head + b"Connection: close\r\nContent-Length: 0\r\n\r\n"
    return head + b"X: y\r\nContent-Length: 0\r\n\r\n"


def draw(dice: Random) -> bytes:
    data = b"".join(_response(dice) for _ in range(dice.randrange(1, 5)))
    return bytes([dice.randrange(256)]) + mutate(dice, data, _WORDS, 4)


TARGET = Target(check, draw)
