"""Incremental HTTP/1.1 parsers (RFC 9112) without I/O or clock.

`feed` accepts bytes in any chunks and returns events; `eof` reports the end of the input. A line is validated
only when it is complete, so that chunking can't change the result. Input that a lenient parser would repair
is rejected, as request smuggling exploits two parsers that repair differently: bare CR or LF, obs-fold, white
space before the colon, `Content-Length` together with `Transfer-Encoding`, repeated lengths. A `Fault` is the
last event of a connection.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from fernweir.http.headers import Headers

_TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
_FIELD = re.compile(rb"(" + _TOKEN + rb"):[ \t]*((?:[\x21-\x7e\x80-\xff](?:[\t \x21-\x7e\x80-\xff]*"
                    rb"[\x21-\x7e\x80-\xff])?)?)[ \t]*")  # fmt: skip
_REQUEST_LINE = re.compile(rb"(" + _TOKEN + rb") ([\x21-\x7e]+) HTTP/(\d)\.(\d)")
_STATUS_LINE = re.compile(rb"HTTP/1\.(\d) (\d{3})(?: ([\t \x21-\x7e\x80-\xff]*))?")
_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,15})(?:[ \t]*;[\t \x21-\x7e\x80-\xff]*)?")
_LENGTH = re.compile(r"\d{1,15}")


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of a parser, in bytes and counts."""

    line: int = 8_192
    head: int = 16_384
    fields: int = 100
    body: int = 1_048_576
    chunk_line: int = 256


@dataclass(frozen=True, slots=True)
class RequestHead:
    method: str
    target: str
    minor: int
    headers: Headers
    keep_alive: bool
    has_body: bool
    expects_continue: bool


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """A final response; `until_close` bodies end with the connection (RFC 9112, 6.3)."""

    status: int
    reason: str
    headers: Headers
    keep_alive: bool
    until_close: bool


@dataclass(frozen=True, slots=True)
class Data:
    body: bytes


@dataclass(frozen=True, slots=True)
class End:
    """The message is complete."""


@dataclass(frozen=True, slots=True)
class Fault:
    """A fatal error of the connection; `status` is what a server responds before it closes."""

    status: int
    reason: str


HttpEvent = RequestHead | ResponseHead | Data | End | Fault

_HEAD, _FIXED, _CHUNK_HEAD, _CHUNK_DATA, _CHUNK_END, _TRAILER, _TO_EOF, _FAILED = range(8)


class _FaultError(Exception):
    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.fault = Fault(status, reason)


class _Parser:
    """The common part of request and response parsers: lines, field sections and bodies."""

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.unlimited_body = False  # the body of a stream has no total limit
        self._buffer = bytearray()
        self._position = 0
        self._scanned = 0
        self._state = _HEAD
        self._lines: list[bytes] = []
        self._head_bytes = 0
        self._remaining_bytes = 0
        self._body_bytes = 0
        self._events: list[HttpEvent] = []

    @property
    def idle(self) -> bool:
        """Returns whether the parser is between messages and has received nothing of the next one."""
        return self._state == _HEAD and not self._lines and self._position >= len(self._buffer)

    @property
    def has_failed(self) -> bool:
        return self._state == _FAILED

    def feed(self, data: bytes | bytearray | memoryview) -> list[HttpEvent]:
        if self._state == _FAILED:
            return []
        self._buffer += data
        self._events = []
        try:
            while self._step():
                pass
        except _FaultError as error:
            self._state = _FAILED
            self._events.append(error.fault)
        if self._position:
            del self._buffer[: self._position]
            self._scanned -= self._position
            self._position = 0
        return self._events

    def eof(self) -> list[HttpEvent]:
        """Reports the end of the input."""
        if self._state == _FAILED:
            return []
        is_complete, self._state = self.idle, _FAILED
        return [] if is_complete else [Fault(400, "connection ended inside a message")]

    def _step(self) -> bool:
        state = self._state
        if state == _HEAD:
            return self._section(trailer=False)
        if state in (_FIXED, _CHUNK_DATA):
            return self._read_body()
        if state == _CHUNK_HEAD:
            return self._chunk_head()
        if state == _CHUNK_END:
            if (line := self._line(2)) is None:
                return False
            if line:
                raise _FaultError(400, "chunk longer than its size")
            self._state = _CHUNK_HEAD
            return True
        if state == _TRAILER:
            return self._section(trailer=True)
        if state == _TO_EOF and self._position < len(self._buffer):
            self._emit(len(self._buffer) - self._position)
        return False

    def _line(self, max_bytes: int) -> bytes | None:
        """Returns the next line without its CRLF, or None if it isn't complete."""
        end = self._buffer.find(b"\n", max(self._position, self._scanned))
        if end < 0:
            self._scanned = len(self._buffer)
            if len(self._buffer) - self._position > max_bytes + 1:
                raise _FaultError(*self._too_long())
            return None
        line = bytes(self._buffer[self._position : end])
        if len(line) > max_bytes + 1:
            raise _FaultError(*self._too_long())
        self._position = self._scanned = end + 1
        if not line.endswith(b"\r"):
            raise _FaultError(400, "bare LF")
        if b"\r" in line[:-1]:
            raise _FaultError(400, "bare CR")
        return line[:-1]

    def _too_long(self) -> tuple[int, str]:
        if self._state != _HEAD:
            return 400, "chunk line too long"
        return (431, "field line too long") if self._lines else (414, "start line too long")

    def _section(self, *, trailer: bool) -> bool:
        """Parses a header or trailer line. Trailers are validated and dropped (RFC 9110, 6.5.1)."""
        max_bytes = self.limits.head
        line = self._line(min(self.limits.line, max_bytes - self._head_bytes))
        if line is None:
            return False
        self._head_bytes += len(line) + 2
        if self._head_bytes > max_bytes:
            raise _FaultError(431, "header section too large")
        if line:
            if len(self._lines) > self.limits.fields:
                raise _FaultError(431, "too many fields")
            self._lines.append(line)
            return True
        lines, self._lines, self._head_bytes = self._lines, [], 0
        if trailer:
            self._fields(lines)
            self._finish()
        elif lines:
            self._head(lines)
        else:
            self._blank_line()
        return True

    def _blank_line(self) -> None:
        """Handles an empty line before the start line: RFC 9112, 2.2 lets servers ignore it."""

    def _head(self, lines: list[bytes]) -> None:
        raise NotImplementedError

    def _fields(self, lines: list[bytes]) -> Headers:
        parsed = []
        for line in lines:
            match = _FIELD.fullmatch(line)
            if match is None:
                folded = line[:1] in b" \t"
                raise _FaultError(400, "obs-fold" if folded else "malformed field line")
            parsed.append((match[1].decode("ascii"), match[2].decode("latin-1")))
        return Headers(parsed)

    def _chunked(self, headers: Headers) -> bool:
        """Returns whether the body is chunked. Any other or ambiguous coding is a fault (RFC 9112, 6.1)."""
        if "transfer-encoding" not in headers:
            return False
        if "content-length" in headers:
            raise _FaultError(400, "both Content-Length and Transfer-Encoding")
        values = headers.all("transfer-encoding")
        if len(values) != 1 or values[0].lower() != "chunked":
            raise _FaultError(501, "transfer coding other than chunked")
        return True

    def _length(self, headers: Headers) -> int | None:
        values = headers.all("content-length")
        if not values:
            return None
        if len(values) > 1 or not _LENGTH.fullmatch(values[0]):
            raise _FaultError(400, "bad or repeated Content-Length")
        length = int(values[0])
        if length > self.limits.body:
            raise _FaultError(413, "body too large")
        return length

    def _read_body(self) -> bool:
        available = min(len(self._buffer) - self._position, self._remaining_bytes)
        if available:
            self._emit(available)
            self._remaining_bytes -= available
        if self._remaining_bytes:
            return False
        if self._state == _CHUNK_DATA:
            self._state = _CHUNK_END
        else:
            self._finish()
        return True

    def _chunk_head(self) -> bool:
        line = self._line(self.limits.chunk_line)
        if line is None:
            return False
        match = _CHUNK_LINE.fullmatch(line)
        if match is None:
            raise _FaultError(400, "malformed chunk size")
        self._remaining_bytes = int(match[1], 16)
        self._state = _CHUNK_DATA if self._remaining_bytes else _TRAILER
        if self._body_bytes + self._remaining_bytes > self.limits.body and not self.unlimited_body:
            raise _FaultError(413, "body too large")
        return True

    def _emit(self, count: int) -> None:
        self._body_bytes += count
        if self._body_bytes > self.limits.body and not self.unlimited_body:
            raise _FaultError(413, "body too large")
        self._events.append(Data(bytes(self._buffer[self._position : self._position + count])))
        self._position += count
        self._scanned = max(self._scanned, self._position)

    def _finish(self) -> None:
        self._events.append(End())
        self._state = _HEAD
        self._body_bytes = 0

    def _body(self, chunked: bool, length: int) -> None:
        self._body_bytes = 0
        if chunked:
            self._state = _CHUNK_HEAD
        elif length:
            self._state, self._remaining_bytes = _FIXED, length
        else:
            self._finish()


class RequestParser(_Parser):
    """Parses the requests of one connection, one after another."""

    def __init__(self, limits: Limits | None = None) -> None:
        super().__init__(limits or Limits())

    def _head(self, lines: list[bytes]) -> None:
        match = _REQUEST_LINE.fullmatch(lines[0])
        if match is None:
            raise _FaultError(400, "malformed request line")
        if match[3] != b"1":
            raise _FaultError(505, "HTTP version not supported")
        method, target, minor = match[1].decode(), match[2].decode(), int(match[4])
        headers = self._fields(lines[1:])
        hosts = headers.all("host")
        if len(hosts) > 1 or (minor and not hosts):
            raise _FaultError(400, "missing or repeated Host")
        chunked = self._chunked(headers)
        if chunked and not minor:
            raise _FaultError(400, "Transfer-Encoding in HTTP/1.0")
        length = self._length(headers) or 0
        options = headers.tokens("connection")
        keep_alive = "close" not in options and (minor > 0 or "keep-alive" in options)
        expects = headers.get("expect").lower()
        if expects and expects != "100-continue":
            raise _FaultError(417, "unknown expectation")
        body = chunked or length > 0
        self._events.append(
            RequestHead(method, target, minor, headers, keep_alive, body, bool(expects and body))
        )
        self._body(chunked, length)


class ResponseParser(_Parser):
    """Parses the responses of one connection. `expect` registers the request methods in order."""

    def __init__(self, limits: Limits | None = None) -> None:
        super().__init__(limits or Limits(body=16_777_216))
        self._methods: list[str] = []

    def expect(self, method: str) -> None:
        self._methods.append(method)

    def eof(self) -> list[HttpEvent]:
        if self._state == _TO_EOF:
            self._state = _FAILED
            return [End()]
        return super().eof()

    def _blank_line(self) -> None:
        raise _FaultError(502, "blank line in place of a status line")

    def _head(self, lines: list[bytes]) -> None:
        match = _STATUS_LINE.fullmatch(lines[0])
        if match is None:
            raise _FaultError(502, "malformed status line")
        status, minor = int(match[2]), int(match[1])
        headers = self._fields(lines[1:])
        if 100 <= status < 200:
            if status == 101:
                raise _FaultError(502, "unasked upgrade")
            return  # interim: the final response follows (RFC 9110, 15.2)
        if not self._methods:
            raise _FaultError(502, "response without a request")
        method = self._methods.pop(0)
        bodiless = method == "HEAD" or status in (204, 304)
        chunked = not bodiless and self._chunked(headers)
        length = None if bodiless else self._length(headers)
        until_close = not bodiless and not chunked and length is None
        options = headers.tokens("connection")
        keep_alive = not until_close and "close" not in options and (minor > 0 or "keep-alive" in options)
        reason = (match[3] or b"").decode("latin-1")
        self._events.append(ResponseHead(status, reason, headers, keep_alive, until_close))
        if until_close:
            self._body_bytes, self._state = 0, _TO_EOF
        else:
            self._body(chunked, 0 if bodiless else (length or 0))
