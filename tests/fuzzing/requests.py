"""Requests against a slow reader of RFC 9112, with what is refused on purpose; and against h11.

Where h11 is laxer than this parser, and that is so on purpose (two readers that mend differently are what
request smuggling lives on), the slow reader says what is right: bare LF, obs-fold, a length beside a coding
or twice, an expectation that isn't known, versions of other majors. The other way round: whatever this
parser takes, h11 must take alike, but for

- a second request on a connection of HTTP/1.0 that is kept alive: h11 keeps none;
- CONNECT, after which h11 reads no further requests;
- a Host that is empty or no host, a target of any kind: h11 looks at neither, nor do we;
- white space before a chunk's extension (RFC 9112, 7.1.1 lets it stand), which h11 refuses;
- a framing field among the trailers, which are dropped unread (RFC 9110, 6.5.1), and h11 reads;
- an empty line before a request (2.2: a server should pass over it), which h11 at times refuses.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import h11

from fernweir.http.parse import Data, End, Fault, HttpEvent, RequestHead, RequestParser, ResponseHead
from fernweir.rehearsal.hostile import PAYLOADS
from tests.fuzzing import Finding, Target, mutate, pieces, same

ALPHA = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
TOKEN = frozenset((ALPHA + "0123456789!#$%&'*+-.^_`|~").encode())
VISIBLE = frozenset([*range(0x21, 0x7F), *range(0x80, 0x100)])
FRAMING = ("content-length", "transfer-encoding")
LINE, HEAD, FIELDS, BODY, CHUNK_LINE = 8_192, 16_384, 100, 1_048_576, 256


class Bad(Exception):
    """What the connection ends with: a status, or with 0 that more was to come."""

    def __init__(self, status: int = 400) -> None:
        super().__init__(status)
        self.status = status


@dataclass
class Reader:
    """All that came, read from its start; `out` is what could be said so far."""

    data: bytes
    at: int = 0
    out: list[object] = field(default_factory=list)
    body: bytes = b""
    allowed: bool = False  # what h11 refuses and the standard lets stand

    def line(self, most: int, too_long: int) -> bytes:
        end = self.data.find(b"\n", self.at)
        line = self.data[self.at : end if end >= 0 else len(self.data)]
        if len(line) > most + 1:
            raise Bad(too_long)
        if end < 0:
            raise Bad(0)
        if line[-1:] != b"\r" or line.count(b"\r") > 1:
            raise Bad
        self.at = end + 1
        return line[:-1]

    def section(self, trailer: bool) -> list[bytes]:
        """Lines up to the empty one."""
        lines: list[bytes] = []
        size = 0
        while True:
            long = 400 if trailer else 431 if lines else 414
            line = self.line(min(LINE, HEAD - size), long)
            size += len(line) + 2
            if size > HEAD:
                raise Bad(431)
            if not line:
                return lines
            if len(lines) > FIELDS:
                raise Bad(431)
            lines.append(line)

    def take(self, count: int) -> None:
        here = self.data[self.at : self.at + count]
        self.body += here
        self.at += len(here)
        if len(here) < count:
            raise Bad(0)

    def chunks(self) -> None:
        while True:
            line = self.line(CHUNK_LINE, 400)
            digits = line
            if b";" in line:
                digits, more = line.split(b";", 1)
                self.allowed = self.allowed or digits[-1:] in (b" ", b"\t")
                digits = digits.rstrip(b" \t")
                if any(one not in VISIBLE and one not in b" \t" for one in more):
                    raise Bad
            if not 1 <= len(digits) <= 15 or any(one not in b"0123456789abcdefABCDEF" for one in digits):
                raise Bad
            size = int(digits, 16)
            if len(self.body) + size > BODY:
                raise Bad(413)
            if not size:
                break
            self.take(size)
            if self.line(2, 400):
                raise Bad
        trailers = fields(self.section(True))
        self.allowed = self.allowed or any(name in FRAMING for name, _ in trailers)

    def flush(self) -> None:
        if self.body:
            self.out.append(("data", self.body))
        self.body = b""


def fields(lines: list[bytes]) -> list[tuple[str, str]]:
    found = []
    for line in lines:
        if b":" not in line:
            raise Bad
        name, value = line.split(b":", 1)
        value = value.strip(b" \t")
        if not name or any(one not in TOKEN for one in name):
            raise Bad
        if any(one not in VISIBLE and one not in b" \t" for one in value):
            raise Bad
        found.append((name.decode().lower(), value.decode("latin-1")))
    return found


def sized(headers: list[tuple[str, str]]) -> tuple[bool, int | None]:
    """Whether the body is chunked, and its length if one is given."""
    codings = [value for name, value in headers if name == "transfer-encoding"]
    lengths = [value for name, value in headers if name == "content-length"]
    if codings and lengths:
        raise Bad
    if codings:
        if len(codings) > 1 or codings[0].lower() != "chunked":
            raise Bad(501)
        return True, None
    if not lengths:
        return False, None
    if len(lengths) > 1 or not 1 <= len(lengths[0]) <= 15:
        raise Bad
    if any(one not in "0123456789" for one in lengths[0]):
        raise Bad
    if int(lengths[0]) > BODY:
        raise Bad(413)
    return False, int(lengths[0])


def options(headers: list[tuple[str, str]]) -> set[str]:
    """The connection's options."""
    values = [value for name, value in headers if name == "connection"]
    return {part.strip().lower() for value in values for part in value.split(",")}


def _one(reader: Reader) -> bool:
    lines = reader.section(False)
    if not lines:
        reader.allowed = True
        return True
    parts = lines[0].split(b" ")
    if len(parts) != 3 or not parts[0] or any(one not in TOKEN for one in parts[0]):
        raise Bad
    if not parts[1] or any(not 0x21 <= one <= 0x7E for one in parts[1]):
        raise Bad
    version = parts[2]
    digits = b"0123456789"
    good = version[:5] == b"HTTP/" and len(version) == 8 and version[6:7] == b"."
    if not good or version[5] not in digits or version[7] not in digits:
        raise Bad
    if version[5:6] != b"1":
        raise Bad(505)
    minor = int(version[7:])
    headers = fields(lines[1:])
    hosts = [value for name, value in headers if name == "host"]
    if len(hosts) > 1 or (minor and not hosts):
        raise Bad
    chunked, length = sized(headers)
    if chunked and not minor:
        raise Bad
    keep = "close" not in options(headers) and (minor > 0 or "keep-alive" in options(headers))
    expect = next((value.lower() for name, value in headers if name == "expect"), "")
    if expect not in ("", "100-continue"):
        raise Bad(417)
    has_body = chunked or bool(length)
    reader.out.append(
        ("request", parts[0].decode(), parts[1].decode(), minor, headers, keep, has_body,
         expect != "" and has_body)
    )  # fmt: skip
    if chunked:
        reader.chunks()
    else:
        reader.take(length or 0)
    reader.flush()
    reader.out.append("end")
    return True


def read_all(reader: Reader, one: Callable[[Reader], bool]) -> Reader:
    """Reads message by message, to the end, the first fault or until `one` says that no more follow."""
    try:
        while reader.at < len(reader.data) and one(reader):
            pass
    except Bad as bad:
        reader.flush()
        reader.out.append(("fault", bad.status or 400))
    return reader


def slow_read(data: bytes) -> Reader:
    return read_all(Reader(data), _one)


def plain(events: list[HttpEvent]) -> list[object]:
    """Events as the slow readers say them, parts of a body joined."""
    out: list[object] = []
    body = b""
    for event in events:
        if isinstance(event, Data):
            body += event.body
            continue
        if body:
            out.append(("data", body))
            body = b""
        if isinstance(event, RequestHead):
            out.append(
                ("request", event.method, event.target, event.minor, list(event.headers), event.keep_alive,
                 event.has_body, event.expects_continue)
            )  # fmt: skip
        elif isinstance(event, ResponseHead):
            out.append(
                ("response", event.status, event.reason, list(event.headers), event.keep_alive,
                 event.until_close)
            )  # fmt: skip
        elif isinstance(event, End):
            out.append("end")
        elif isinstance(event, Fault):
            out.append(("fault", event.status))
    return [*out, ("data", body)] if body else out


def h11_read(data: bytes) -> list[object]:
    """Requests as h11 reads them: (method, target, headers, body), ending with why it went no further."""
    connection, found = h11.Connection(h11.SERVER, max_incomplete_event_size=1 << 20), list[object]()
    connection.receive_data(data)
    connection.receive_data(b"")
    head, body = None, b""
    try:
        while True:
            event = connection.next_event()
            if isinstance(event, h11.Request):
                head, body = event, b""
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                assert head is not None
                headers = [(name.decode(), value.decode("latin-1")) for name, value in head.headers]
                found.append((head.method.decode(), head.target.decode(), headers, body))
                connection.send(h11.Response(status_code=200, headers=[("content-length", "0")]))
                connection.send(h11.EndOfMessage())
                if connection.our_state is h11.MUST_CLOSE or connection.states[h11.CLIENT] is not h11.DONE:
                    return [*found, "closes"]
                connection.start_next_cycle()
            else:
                return [*found, type(event).__name__]
    except h11.RemoteProtocolError as error:
        return [*found, f"refused: {error}"]


def check(data: bytes) -> None:
    parser, events = RequestParser(), list[HttpEvent]()
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
            headers = [
                (name, "chunked" if name == "transfer-encoding" else value)
                for name, value in head[4]  # type: ignore[attr-defined]
            ]  # h11 says a coding in lower case
            whole.append((head[1], head[2], headers, body))
            if not head[5] or not head[3] or head[1] == "CONNECT":
                break
        elif isinstance(event, tuple) and event[0] == "data":
            body = event[1]
        elif isinstance(event, tuple) and event[0] == "request":
            head, body = event, b""
    theirs = h11_read(data[1:])
    if theirs[: len(whole)] != whole:
        raise Finding(f"\n ours {whole!r}\n h11  {theirs!r}\n of {data!r}")


_WORDS = [
    b"\r\n", b"\n", b"\r", b" ", b"\t", b":", b";", b",", b"\0", b"\xff", b"\r\n ", b"0\r\n\r\n",
    b"5\r\nabcde\r\n", b"Content-Length: 3\r\n", b"Content-Length: 3, 3\r\n",
    b"Transfer-Encoding: chunked\r\n", b"Host: a\r\n", b"Transfer-Encoding: Chunked\r\n",
    b"Transfer-Encoding: gzip, chunked\r\n", b"Connection: close\r\n", b"Connection: keep-alive, x\r\n",
    b"Expect: 100-continue\r\n", b"HTTP/1.0", b"HTTP/1.1", b"HTTP/1.9", b"HTTP/2.0",
    b"GET / HTTP/1.1\r\nHost: a\r\n\r\n", b"+1", b"0x1", b"1" * 16, b"1048577", b"X: \r\n", b"X : y\r\n",
    b"HEAD", b"Expect:\r\n", b"Host:\r\n", b"Upgrade: x\r\n", b"CONNECT",
]  # fmt: skip


_ODD = [
    b"Content-Length: 3", b"Transfer-Encoding: chunked", b"Host: a", b"Expect: 100-continue", b"X: a\rb",
    b"X : y", b" folded", b"Connection: close", b"Connection: a, Keep-Alive", b"Expect: x",
    b"Transfer-Encoding: gzip",
]  # fmt: skip


def _request(dice: Random) -> bytes:
    kind, body = dice.randrange(3), dice.randbytes(dice.randrange(12))
    lines = [
        dice.choice([b"GET", b"POST", b"X-1"]) + b" /a?b " + dice.choice([b"HTTP/1.1"] * 4 + [b"HTTP/1.0"])
    ]
    lines += [b"Host: a"] * (dice.random() < 0.95)
    lines += [b"X-%d: y %d" % (one, one) for one in range(dice.randrange(4))]
    if dice.random() < 0.15:
        lines.append(dice.choice(_ODD))
    if kind == 1:
        lines.append(b"Content-Length: %d" % len(body))
    elif kind == 2:
        lines.append(b"Transfer-Encoding: chunked")
        half = len(body) // 2
        parts = [part for part in (body[:half], body[half:]) if part]
        body = b"".join(
            b"%x%s\r\n%s\r\n" % (len(part), dice.choice([b"", b";e=1", b" ;e"]), part) for part in parts
        )
        body += b"0\r\n" + dice.choice([b"", b"X-T: t\r\n"]) + b"\r\n"
    else:
        body = b""
    return b"\r\n".join([*lines, b"", body])


_HOSTILE = [data[:4_000] for data in PAYLOADS.values()]


def draw(dice: Random) -> bytes:
    data = b"".join(_request(dice) for _ in range(dice.randrange(1, 4)))
    if dice.random() < 0.2:
        data = dice.choice(_HOSTILE) + data
    if dice.random() < 0.1:
        data = data.replace(b"X-0", b"".join(b"A:\r\n" for _ in range(dice.randrange(95, 105))) + b"X-0")
    return bytes([dice.randrange(256)]) + mutate(dice, data, _WORDS, 4)


TARGET = Target(check, draw)
