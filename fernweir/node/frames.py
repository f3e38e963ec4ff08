"""The binary messages between a front node and media servers: a codec without I/O, strict and bounded.

    message   = length:2 type:1 session:8 parameters      length counts what follows it; big-endian
    parameter = code:1 length:2 value

`Frames` takes bytes in any pieces and gives whole frames. Only `FrameError` leaves this module. A
parameter that isn't known is passed over; a type that isn't, a length that doesn't fit or text that can't
be read mean that the stream can't be trusted any more.
"""

from __future__ import annotations

import math
import struct
from dataclasses import dataclass, field
from enum import IntEnum

MAX_FRAME_BYTES = 16 * 1024
_HEADER = struct.Struct(">HBQ")
_PARAMETER_HEADER = struct.Struct(">BH")
_MAX_REPORT_VALUES = 16


class Type(IntEnum):
    SETUP = 1
    PROGRESS = 6
    ANSWER = 9
    RELEASE = 12
    RELEASED = 16
    NOTE = 44
    MOVE = 51
    PING = 52
    PONG = 53
    RATE = 60


class Code(IntEnum):
    CLASS = 3
    WAIT = 6
    TITLE = 15
    NOTE = 24
    REPORT = 30
    RUNG = 36
    LEVEL = 39
    CAUSE = 45
    DESCRIPTION = 48


_TYPES_BY_NUMBER = {int(one): one for one in Type}


class FrameError(ValueError):
    """Bytes that are no message."""


@dataclass(frozen=True, slots=True)
class Frame:
    """`session` is the id as 16 hex digits."""

    type: Type
    session: str
    parameters: dict[int, bytes] = field(default_factory=dict)

    @property
    def cause(self) -> int | None:
        value = self.parameters.get(Code.CAUSE)
        if value is None:
            return None
        if len(value) != 1:
            raise FrameError("a cause that is not one byte")
        return value[0]

    def text(self, code: Code) -> str:
        try:
            return self.parameters.get(code, b"").decode()
        except UnicodeDecodeError:
            raise FrameError(f"parameter {code} is no text") from None

    def number(self, code: Code) -> float:
        return _parse_number(self.text(code))

    def load_report(self) -> dict[str, float]:
        """The load report, as in `x0:0.12;x1:0.4`; empty where there is none."""
        text, found = self.text(Code.REPORT), {}
        parts = [part for part in text.split(";") if part]
        if len(parts) > _MAX_REPORT_VALUES:
            raise FrameError("a report of too many values")
        for part in parts:
            name, colon, value = part.partition(":")
            if not colon:
                raise FrameError("a report without figures")
            found[name] = _parse_number(value)
        return found


class FrameReader:
    """Cuts a stream into frames. What isn't whole is kept, up to the bound."""

    def __init__(self) -> None:
        self._pending = bytearray()

    def feed(self, data: bytes | memoryview) -> list[Frame]:
        """FrameError once anything can't be read; what came before it in the same bytes is in `.read`."""
        self._pending += data
        self.complete_frames: list[Frame] = []
        at, rest = 0, self._pending
        while len(rest) - at >= 2:
            length = rest[at] << 8 | rest[at + 1]
            if not _HEADER.size - 2 <= length <= MAX_FRAME_BYTES - 2:
                raise FrameError(f"a length of {length}")
            if len(rest) - at >= 3 and rest[at + 2] not in _TYPES_BY_NUMBER:
                raise FrameError(f"unknown type {rest[at + 2]}")
            if len(rest) - at < 2 + length:
                break
            self.complete_frames.append(_decode_frame(bytes(rest[at : at + 2 + length])))
            at += 2 + length
        del rest[:at]
        return self.complete_frames


def _decode_frame(data: bytes) -> Frame:
    _, kind, session = _HEADER.unpack_from(data)
    at, found = _HEADER.size, {}
    while at < len(data):
        if at + _PARAMETER_HEADER.size > len(data):
            raise FrameError("a parameter cut short")
        code, length = _PARAMETER_HEADER.unpack_from(data, at)
        at += _PARAMETER_HEADER.size
        if at + length > len(data):
            raise FrameError("a parameter longer than its message")
        if code in found:
            raise FrameError("a parameter that comes twice")
        found[code] = data[at : at + length]
        at += length
    return Frame(_TYPES_BY_NUMBER[kind], f"{session:016x}", found)


def encode_frame(frame: Frame) -> bytes:
    body = b"".join(
        _PARAMETER_HEADER.pack(code, len(value)) + value for code, value in frame.parameters.items()
    )
    if _HEADER.size + len(body) > MAX_FRAME_BYTES:
        raise FrameError("a message of over 16 KiB")
    return _HEADER.pack(_HEADER.size - 2 + len(body), frame.type, int(frame.session, 16)) + body


def _parse_number(text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not math.isfinite(value):
        raise FrameError("a figure that is no number")
    return value
