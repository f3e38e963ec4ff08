"""The JSON lines between viewers and a front node: a codec without I/O, strict and bounded.

`Lines` takes bytes in any pieces and gives whole lines; `read` turns one into a message or says what is
wrong with it. Only `LineError` leaves this module.
"""

from __future__ import annotations

import json
import math
import re
from dataclasses import dataclass, field

MOST_BYTES = 16 * 1024
TYPES = frozenset(("setup", "progress", "answer", "release", "released", "ping", "pong", "move"))
NO_ID = "0" * 16
_ID = re.compile(r"[0-9a-f]{16}")
_MOST_DIGITS = 20
_MOST_FIELDS = 32

Value = str | int | float


class LineError(ValueError):
    """A line that is no message. `id` is the session it names, where that much could be read."""

    def __init__(self, why: str, id: str = NO_ID) -> None:
        super().__init__(why)
        self.id = id


@dataclass(frozen=True, slots=True)
class Message:
    type: str
    id: str
    fields: dict[str, Value] = field(default_factory=dict)
    cause: int | None = None
    sdp: str | None = None


class Lines:
    """Cuts a stream into lines. What has no line feed yet is kept, up to the bound."""

    def __init__(self, most: int = MOST_BYTES) -> None:
        self._most = most
        self._rest = bytearray()

    @property
    def half(self) -> bool:
        """Whether a line has begun that has not ended."""
        return bool(self._rest)

    def feed(self, data: bytes | memoryview) -> list[bytes]:
        """Whole lines without their ends. LineError once a line is longer than the bound.

        What was whole before it in the same bytes is in `.read`: the split must not decide what is heard.
        """
        self._rest += data
        self.read: list[bytes] = []
        if b"\n" not in self._rest:
            self._bound(len(self._rest))
            return []
        *lines, rest = bytes(self._rest).split(b"\n")
        for line in lines:
            self._bound(len(line) + 1)
            self.read.append(line)
        self._rest = bytearray(rest)
        self._bound(len(rest))
        return self.read

    def _bound(self, size: int) -> None:
        if size > self._most:
            self._rest.clear()
            raise LineError(f"a line of over {self._most} bytes")


def read(line: bytes) -> Message:
    """One message. LineError says what is wrong."""
    try:
        body = json.loads(
            line.decode(), object_pairs_hook=_object, parse_constant=_no_constant, parse_int=_integer
        )
    except LineError:
        raise
    except (ValueError, RecursionError):
        raise LineError("not a JSON object") from None
    if not isinstance(body, dict):
        raise LineError("not a JSON object")
    id = body.get("id")
    if not isinstance(id, str) or not _ID.fullmatch(id):
        raise LineError("no id of 16 hex digits")
    kind, fields, cause, sdp = body.get("type"), body.get("fields", {}), body.get("cause"), body.get("sdp")
    if not isinstance(kind, str) or kind not in TYPES:
        raise LineError("no known type", id)
    if not isinstance(fields, dict) or len(fields) > _MOST_FIELDS:
        raise LineError("fields are no object, or too many", id)
    if not all(map(_encodable, fields)) or not all(map(_is_value, fields.values())):
        raise LineError("fields are no object of strings and numbers", id)
    if cause is not None and (isinstance(cause, bool) or not isinstance(cause, int) or not 0 <= cause < 256):
        raise LineError("cause is no number under 256", id)
    if sdp is not None and (not isinstance(sdp, str) or not _encodable(sdp)):
        raise LineError("description is no text", id)
    return Message(kind, id, fields, cause, sdp)


def write(message: Message) -> bytes:
    body: dict[str, object] = {"type": message.type, "id": message.id, "fields": message.fields}
    if message.cause is not None:
        body["cause"] = message.cause
    if message.sdp is not None:
        body["sdp"] = message.sdp
    return json.dumps(body, ensure_ascii=False, separators=(",", ":"), allow_nan=False).encode() + b"\n"


def _object(pairs: list[tuple[str, object]]) -> dict[str, object]:
    found = dict(pairs)
    if len(found) != len(pairs):
        raise LineError("a key comes twice")
    return found


def _no_constant(text: str) -> object:
    raise LineError(f"{text} is no number")


def _integer(text: str) -> int:
    if len(text) > _MOST_DIGITS:
        raise LineError("a number of too many digits")
    return int(text)


def _is_value(value: object) -> bool:
    if isinstance(value, str):
        return _encodable(value)
    return isinstance(value, int | float) and not isinstance(value, bool) and math.isfinite(value)


def _encodable(text: str) -> bool:
    """Lone surrogates can be said in JSON, but no bytes stand for them."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True
