"""The JSON lines protocol between clients and a front node: a strict, bounded codec without I/O.

`LineReader` accepts the stream in chunks of any size and returns complete lines; `decode_message` decodes a
line into a `Message`. `LineError` is the only exception that this module raises.
"""

from __future__ import annotations

import json
import math
import re
from dataclasses import dataclass, field

MAX_LINE_BYTES = 16 * 1024  # including the line feed
MESSAGE_TYPES = frozenset(("setup", "progress", "answer", "release", "released", "ping", "pong", "move"))
NO_SESSION_ID = "0" * 16  # the id in the reply to a line whose session id could not be read
_SESSION_ID = re.compile(r"[0-9a-f]{16}")
_MAX_INTEGER_DIGITS = 20
_MAX_FIELDS = 32
_MAX_CAUSE = 255

FieldValue = str | int | float


class LineError(ValueError):
    """Raised for a line that is not a valid message.

    Attributes:
        session_id: The session that the line names, or `NO_SESSION_ID` if that could not be read.
    """

    def __init__(self, reason: str, session_id: str = NO_SESSION_ID) -> None:
        super().__init__(reason)
        self.session_id = session_id


@dataclass(frozen=True, slots=True)
class Message:
    """One message. The attributes are named like the keys of the line.

    Attributes:
        type: One of `MESSAGE_TYPES`.
        id: The session id, as 16 lower-case hex digits.
        fields: The fields that depend on the type of the message.
        cause: A cause of Q.850 from 0 to 255, if the message has one.
        sdp: The session description, if the message has one.
    """

    type: str
    id: str
    fields: dict[str, FieldValue] = field(default_factory=dict)
    cause: int | None = None
    sdp: str | None = None


class LineReader:
    """Splits a stream into lines. An incomplete line is buffered, up to the limit.

    Args:
        max_line_bytes: The length of the longest accepted line, including its line feed.

    Attributes:
        complete_lines: The lines that the last call of `feed` completed, even if it raised.
    """

    def __init__(self, max_line_bytes: int = MAX_LINE_BYTES) -> None:
        self._max_line_bytes = max_line_bytes
        self._pending = bytearray()
        self.complete_lines: list[bytes] = []

    @property
    def has_partial_line(self) -> bool:
        """Whether an incomplete line is buffered."""
        return bool(self._pending)

    def feed(self, data: bytes | memoryview) -> list[bytes]:
        """Processes the next bytes of the stream.

        Returns:
            The complete lines, without their line feeds.

        Raises:
            LineError: A line is too long. The lines before it are in `complete_lines`, so that the result
                does not depend on how the stream was split into chunks.
        """
        chunk = bytes(data)
        self._pending += chunk
        self.complete_lines = []
        if b"\n" not in chunk:  # and none is pending
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
            raise LineError(f"a line is longer than {self._max_line_bytes} bytes")


def decode_message(line: bytes) -> Message:
    """Decodes one line.

    Raises:
        LineError: The line is not a valid message; the text says why.
    """
    body = _decode_object(line)
    session_id = body.get("id")
    if not isinstance(session_id, str) or not _SESSION_ID.fullmatch(session_id):
        raise LineError("id is not 16 hex digits")
    message_type = body.get("type")
    if not isinstance(message_type, str) or message_type not in MESSAGE_TYPES:
        raise LineError("type is missing or unknown", session_id)
    return Message(
        message_type,
        session_id,
        _check_fields(body.get("fields", {}), session_id),
        _check_cause(body.get("cause"), session_id),
        _check_description(body.get("sdp"), session_id),
    )


def encode_message(message: Message) -> bytes:
    """Encodes a message as one line, including its line feed."""
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
        raise LineError(f"fields is not an object of at most {_MAX_FIELDS} entries", session_id)
    if not all(map(_is_encodable, fields)) or not all(map(_is_field_value, fields.values())):
        raise LineError("fields is not an object of strings and finite numbers", session_id)
    return fields


def _check_cause(cause: object, session_id: str) -> int | None:
    if cause is None:
        return None
    if isinstance(cause, bool) or not isinstance(cause, int) or not 0 <= cause <= _MAX_CAUSE:
        raise LineError(f"cause is not an integer from 0 to {_MAX_CAUSE}", session_id)
    return cause


def _check_description(sdp: object, session_id: str) -> str | None:
    if sdp is None:
        return None
    if not isinstance(sdp, str) or not _is_encodable(sdp):
        raise LineError("sdp is not valid text", session_id)
    return sdp


def _object_without_duplicate_keys(pairs: list[tuple[str, object]]) -> dict[str, object]:
    found = dict(pairs)
    if len(found) != len(pairs):
        raise LineError("a key occurs twice")
    return found


def _reject_constant(text: str) -> object:
    raise LineError(f"{text} is not a valid number")


def _bounded_integer(text: str) -> int:
    if len(text) > _MAX_INTEGER_DIGITS:
        raise LineError(f"an integer has more than {_MAX_INTEGER_DIGITS} digits")
    return int(text)


def _is_field_value(value: object) -> bool:
    if isinstance(value, str):
        return _is_encodable(value)
    return isinstance(value, int | float) and not isinstance(value, bool) and math.isfinite(value)


def _is_encodable(text: str) -> bool:
    """Whether the text can be encoded as UTF-8, unlike lone surrogates, which JSON can escape."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True
