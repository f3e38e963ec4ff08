"""The JSON lines between clients and a front node: a strict, bounded codec without I/O.

`LineReader` takes bytes in any pieces and returns complete lines; `decode_message` turns a line into a
`Message`. Only `LineError` leaves this module.
"""

from __future__ import annotations

import json
import math
import re
from dataclasses import dataclass, field

MAX_LINE_BYTES = 16 * 1024  # with the line feed
MESSAGE_TYPES = frozenset(("setup", "progress", "answer", "release", "released", "ping", "pong", "move"))
NO_SESSION_ID = "0" * 16  # stands in an answer to a line whose session could not be read
_SESSION_ID = re.compile(r"[0-9a-f]{16}")
_MAX_INTEGER_DIGITS = 20
_MAX_FIELDS = 32
_MAX_CAUSE = 255

FieldValue = str | int | float


class LineError(ValueError):
    """A line that is no message.

    Attributes:
        session_id: The session that the line names; `NO_SESSION_ID` if that much could not be read.
    """

    def __init__(self, reason: str, session_id: str = NO_SESSION_ID) -> None:
        super().__init__(reason)
        self.session_id = session_id


@dataclass(frozen=True, slots=True)
class Message:
    """One message. The attributes have the names of the line's keys.

    Attributes:
        type: One of `MESSAGE_TYPES`.
        id: The session, as 16 lower-case hex digits.
        fields: What the type of the message needs.
        cause: A cause of Q.850 from 0 to 255, where there is one.
        sdp: The session description, where there is one.
    """

    type: str
    id: str
    fields: dict[str, FieldValue] = field(default_factory=dict)
    cause: int | None = None
    sdp: str | None = None


class LineReader:
    """Splits a stream into lines. A line without its line feed is kept, up to the limit.

    Args:
        max_line_bytes: The longest line that is accepted, with its line feed.

    Attributes:
        complete_lines: The lines that the last call of `feed` completed, also if it raised.
    """

    def __init__(self, max_line_bytes: int = MAX_LINE_BYTES) -> None:
        self._max_line_bytes = max_line_bytes
        self._pending = bytearray()
        self.complete_lines: list[bytes] = []

    @property
    def has_partial_line(self) -> bool:
        """Whether a line has begun that has not ended."""
        return bool(self._pending)

    def feed(self, data: bytes | memoryview) -> list[bytes]:
        """Takes bytes of the stream.

        Returns:
            The complete lines, without their line feeds.

        Raises:
            LineError: A line is too long. The lines before it are in `complete_lines`, so that what is read
                does not depend on how the stream was split.
        """
        self._pending += data
        self.complete_lines = []
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

    def _check_length(self, size_bytes: int) -> None:
        if size_bytes > self._max_line_bytes:
            self._pending.clear()
            raise LineError(f"a line of over {self._max_line_bytes} bytes")


def decode_message(line: bytes) -> Message:
    """Decodes one line.

    Raises:
        LineError: It is no message; the text says why.
    """
    body = _decode_object(line)
    session_id = body.get("id")
    if not isinstance(session_id, str) or not _SESSION_ID.fullmatch(session_id):
        raise LineError("no id of 16 hex digits")
    message_type = body.get("type")
    if not isinstance(message_type, str) or message_type not in MESSAGE_TYPES:
        raise LineError("no known type", session_id)
    return Message(
        message_type,
        session_id,
        _check_fields(body.get("fields", {}), session_id),
        _check_cause(body.get("cause"), session_id),
        _check_description(body.get("sdp"), session_id),
    )


def encode_message(message: Message) -> bytes:
    """Encodes a message as one line, with its line feed."""
    body: dict[str, object] = {"type": message.type, "id": message.id, "fields": message.fields}
    if message.cause is not None:
        body["cause"] = message.cause
    if message.sdp is not None:
        body["sdp"] = message.sdp
    return json.dumps(body, ensure_ascii=False, separators=(",", ":"), allow_nan=False).encode() + b"\n"


def _decode_object(line: bytes) -> dict[str, object]:
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
    return body


def _check_fields(fields: object, session_id: str) -> dict[str, FieldValue]:
    if not isinstance(fields, dict) or len(fields) > _MAX_FIELDS:
        raise LineError("fields are no object, or too many", session_id)
    if not all(map(_is_encodable, fields)) or not all(map(_is_field_value, fields.values())):
        raise LineError("fields are no object of strings and numbers", session_id)
    return fields


def _check_cause(cause: object, session_id: str) -> int | None:
    if cause is None:
        return None
    if isinstance(cause, bool) or not isinstance(cause, int) or not 0 <= cause <= _MAX_CAUSE:
        raise LineError("cause is no number under 256", session_id)
    return cause


def _check_description(sdp: object, session_id: str) -> str | None:
    if sdp is None:
        return None
    if not isinstance(sdp, str) or not _is_encodable(sdp):
        raise LineError("description is no text", session_id)
    return sdp


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
    """Whether UTF-8 has bytes for the text: JSON can escape lone surrogates, which have none."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True
