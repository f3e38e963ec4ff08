"""The binary messages between a front node and media servers: a strict, bounded codec without I/O.

    message   = length:2 type:1 session:8 parameters      length counts what follows it; big-endian
    parameter = code:1 length:2 value

`FrameReader` takes bytes in any pieces and returns complete frames. Only `FrameError` leaves this module. An
unknown parameter is kept and ignored. After an unknown type, a length that does not fit, or text that cannot
be decoded, the stream cannot be trusted any more.
"""

from __future__ import annotations

import math
import struct
from dataclasses import dataclass, field
from enum import IntEnum

MAX_FRAME_BYTES = 16 * 1024
_LENGTH_BYTES = 2
_HEADER = struct.Struct(">HBQ")
_PARAMETER_HEADER = struct.Struct(">BH")
_MAX_REPORT_VALUES = 16


class FrameType(IntEnum):
    """Types of messages, by the names that the platform's protocol gives them."""

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


class ParameterCode(IntEnum):
    """Parameters of messages, by the names that the platform's protocol gives them."""

    CLASS = 3
    WAIT = 6
    TITLE = 15
    NOTE = 24
    REPORT = 30
    RUNG = 36
    LEVEL = 39
    CAUSE = 45
    DESCRIPTION = 48


_TYPES_BY_NUMBER = {int(frame_type): frame_type for frame_type in FrameType}


class FrameError(ValueError):
    """Bytes that are no message."""


@dataclass(frozen=True, slots=True)
class Frame:
    """One message.

    Attributes:
        type: What the message says.
        session: Id of its session, as 16 hex digits.
        parameters: Values by code; codes that are not in `ParameterCode` may be among them.
    """

    type: FrameType
    session: str
    parameters: dict[int, bytes] = field(default_factory=dict)

    @property
    def cause(self) -> int | None:
        """The cause, from 0 to 255; None if there is none.

        Raises:
            FrameError: It is not one byte.
        """
        value = self.parameters.get(ParameterCode.CAUSE)
        if value is None:
            return None
        if len(value) != 1:
            raise FrameError("a cause that is not one byte")
        return value[0]

    def text_parameter(self, code: ParameterCode) -> str:
        """Returns a parameter as text; empty if it is absent.

        Raises:
            FrameError: It is not UTF-8.
        """
        try:
            return self.parameters.get(code, b"").decode()
        except UnicodeDecodeError:
            raise FrameError(f"parameter {code} is no text") from None

    def number_parameter(self, code: ParameterCode) -> float:
        """Returns a parameter as a finite number.

        Raises:
            FrameError: It is absent or no finite number.
        """
        return _parse_number(self.text_parameter(code))

    def load_report(self) -> dict[str, float]:
        """Returns the load report, as in `x0:0.12;x1:0.4`, by name; empty if there is none.

        Raises:
            FrameError: It cannot be read, or has too many values.
        """
        parts = [part for part in self.text_parameter(ParameterCode.REPORT).split(";") if part]
        if len(parts) > _MAX_REPORT_VALUES:
            raise FrameError("a report of too many values")
        report: dict[str, float] = {}
        for part in parts:
            name, colon, value = part.partition(":")
            if not colon:
                raise FrameError("a report without figures")
            report[name] = _parse_number(value)
        return report


class FrameReader:
    """Splits a stream into frames. An incomplete frame is kept, up to the limit.

    Attributes:
        complete_frames: The frames that the last call of `feed` completed, also if it raised.
    """

    def __init__(self) -> None:
        self._pending = bytearray()
        self.complete_frames: list[Frame] = []

    def feed(self, data: bytes | memoryview) -> list[Frame]:
        """Takes bytes of the stream.

        Returns:
            The complete frames.

        Raises:
            FrameError: Something cannot be read. The frames before it are in `complete_frames`; the reader
                must not be used again.
        """
        self._pending += data
        self.complete_frames = []
        offset, pending = 0, self._pending
        while len(pending) - offset >= _LENGTH_BYTES:
            length = int.from_bytes(pending[offset : offset + _LENGTH_BYTES], "big")
            _check_length(length)
            if len(pending) - offset > _LENGTH_BYTES:
                _check_type(pending[offset + _LENGTH_BYTES])
            if len(pending) - offset < _LENGTH_BYTES + length:
                break
            end = offset + _LENGTH_BYTES + length
            self.complete_frames.append(_decode_frame(bytes(pending[offset:end])))
            offset = end
        del pending[:offset]
        return self.complete_frames


def encode_frame(frame: Frame) -> bytes:
    """Encodes a message.

    Raises:
        FrameError: It would be longer than `MAX_FRAME_BYTES`.
    """
    parameters = b"".join(
        _PARAMETER_HEADER.pack(code, len(value)) + value for code, value in frame.parameters.items()
    )
    size_bytes = _HEADER.size + len(parameters)
    if size_bytes > MAX_FRAME_BYTES:
        raise FrameError("a message of over 16 KiB")
    return _HEADER.pack(size_bytes - _LENGTH_BYTES, frame.type, int(frame.session, 16)) + parameters


def _check_length(length: int) -> None:
    if not _HEADER.size - _LENGTH_BYTES <= length <= MAX_FRAME_BYTES - _LENGTH_BYTES:
        raise FrameError(f"a length of {length}")


def _check_type(number: int) -> None:
    if number not in _TYPES_BY_NUMBER:
        raise FrameError(f"unknown type {number}")


def _decode_frame(data: bytes) -> Frame:
    _, type_number, session = _HEADER.unpack_from(data)
    offset = _HEADER.size
    parameters: dict[int, bytes] = {}
    while offset < len(data):
        if offset + _PARAMETER_HEADER.size > len(data):
            raise FrameError("a parameter cut short")
        code, length = _PARAMETER_HEADER.unpack_from(data, offset)
        offset += _PARAMETER_HEADER.size
        if offset + length > len(data):
            raise FrameError("a parameter longer than its message")
        if code in parameters:
            raise FrameError("a parameter that comes twice")
        parameters[code] = data[offset : offset + length]
        offset += length
    return Frame(_TYPES_BY_NUMBER[type_number], f"{session:016x}", parameters)


def _parse_number(text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not math.isfinite(value):
        raise FrameError("a figure that is no number")
    return value
