"""The JSON lines between viewers and a front node: a codec without I/O, strict and bounded.

`Lines` takes bytes in any pieces and gives whole lines; `read` turns one into a message or says what is
wrong with it. Only `LineError` leaves this module.
"""

from __future__ import annotations

import json
import math
import re
from dataclasses import dataclass, field

MAX_LINE_BYTES = 16 * 1024
MESSAGE_TYPES = frozenset(("setup", "progress", "answer", "release", "released", "ping", "pong", "move"))
NO_SESSION_ID = "0" * 16
_SESSION_ID = re.compile(r"[0-9a-f]{16}")
_MAX_INTEGER_DIGITS = 20
_MAX_FIELDS = 32

FieldValue = str | int | float


class LineError(ValueError):
    """A line that is no message. `id` is the session it names, where that much could be read."""

    def __init__(self, reason: str, session_id: str = NO_SESSION_ID) -> None:
        super().__init__(reason)
        self.session_id = session_id


@dataclass(frozen=True, slots=True)
class Message:
    type: str
    id: str
    fields: dict[str, FieldValue] = field(default_factory=dict)
    cause: int | None = None
    sdp: str | None = None


class LineReader:
    """Cuts a stream into lines. What has no line feed yet is kept, up to the bound."""

    def __init__(self, max_line_bytes: int = MAX_LINE_BYTES) -> None:
        self._max_line_bytes = max_line_bytes
        self._pending = bytearray()

    @property
    def has_partial_line(self) -> bool:
        """Whether a line has begun that has not ended."""
        return bool(self._pending)

    def feed(self, data: bytes | memoryview) -> list[bytes]:
        """Whole lines without their ends. LineError once a line is longer than the bound.

        What was whole before it in the same bytes is in `.read`: the split must not decide what is heard.
        """
        self._pending += data
        self.complete_lines: list[bytes] = []
        if b"\n" not in self._pending:
            self._check_length(len(self._pending))
            return []
        *lines, rest = bytes(self._pending).split(b"\n")
        for line in lines:
            self._check_length(len(line) + 1)
            self.complete_lines.append(line)
        self._pending = bytearray(rest)
        self._check_length(len(rest))
        return self.complete_lines

    def _check_length(self, size: int) -> None:
        if size > self._max_line_bytes:
            self._pending.clear()
            raise LineError(f"a line of over {self._max_line_bytes} bytes")


def decode_message(line: bytes) -> Message:
    """One message. LineError says what is wrong."""
    try:
        body = json.loads(
            line.decode(),
            object_pairs_hook=_object_without_duplicate_keys,
            parse_constant=_reject_constant,
            parse_int=_bounded_integer,
        )
    except LineError:
        raise
    except (ValueError, RecursionError):
        raise LineError("not a JSON object") from None
    if not isinstance(body, dict):
        raise LineError("not a JSON object")
    session_id = body.get("id")
    if not isinstance(session_id, str) or not _SESSION_ID.fullmatch(session_id):
        raise LineError("no id of 16 hex digits")
    kind, fields, cause, sdp = body.get("type"), body.get("fields", {}), body.get("cause"), body.get("sdp")
    if not isinstance(kind, str) or kind not in MESSAGE_TYPES:
        raise LineError("no known type", session_id)
    if not isinstance(fields, dict) or len(fields) > _MAX_FIELDS:
        raise LineError("fields are no object, or too many", session_id)
    if not all(map(_is_encodable, fields)) or not all(map(_is_field_value, fields.values())):
        raise LineError("fields are no object of strings and numbers", session_id)
    if cause is not None and (isinstance(cause, bool) or not isinstance(cause, int) or not 0 <= cause < 256):
        raise LineError("cause is no number under 256", session_id)
    if sdp is not None and (not isinstance(sdp, str) or not _is_encodable(sdp)):
        raise LineError("description is no text", session_id)
    return Message(kind, session_id, fields, cause, sdp)


def encode_message(message: Message) -> bytes:
    body: dict[str, object] = {"type": message.type, "id": message.id, "fields": message.fields}
    if message.cause is not None:
        body["cause"] = message.cause
    if message.sdp is not None:
        body["sdp"] = message.sdp
    return json.dumps(body, ensure_ascii=False, separators=(",", ":"), allow_nan=False).encode() + b"\n"


def _object_without_duplicate_keys(pairs: list[tuple[str, object]]) -> dict[str, object]:
    found = dict(pairs)
    if len(found) != len(pairs):
        raise LineError("a key comes twice")
    return found


def _reject_constant(text: str) -> object:
    raise LineError(f"{text} is no number")


def _bounded_integer(text: str) -> int:
    if len(text) > _MAX_INTEGER_DIGITS:
        raise LineError("a number of too many digits")
    return int(text)


def _is_field_value(value: object) -> bool:
    if isinstance(value, str):
        return _is_encodable(value)
    return isinstance(value, int | float) and not isinstance(value, bool) and math.isfinite(value)


def _is_encodable(text: str) -> bool:
    """Lone surrogates can be said in JSON, but no bytes stand for them."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True
