"""The binary protocol between a front node and media servers: a strict, bounded codec without I/O.

    message   = length:2 type:1 session:8 parameters      length counts what follows it; big-endian
    parameter = code:1 length:2 value

`FrameReader` accepts the stream in chunks of any size and returns complete frames. `FrameError` is the only
exception that this module raises. Unknown parameters are kept but ignored. After an unknown type, an invalid
length, or text that cannot be decoded, the stream can no longer be trusted.
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
    """Message types, named as in the platform's protocol."""

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
    """Message parameters, named as in the platform's protocol."""

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
    """Raised for bytes that are not a valid message."""


@dataclass(frozen=True, slots=True)
class Frame:
    """One message.

    Attributes:
        type: The type of the message.
        session: The id of its session, as 16 hex digits.
        parameters: Values by code, including codes that are not in `ParameterCode`.
    """

    type: FrameType
    session: str
    parameters: dict[int, bytes] = field(default_factory=dict)

    @property
    def cause(self) -> int | None:
        """The cause, from 0 to 255, or None if it is absent.

        Raises:
            FrameError: The cause is not exactly one byte.
        """
        value = self.parameters.get(ParameterCode.CAUSE)
        if value is None:
            return None
        if len(value) != 1:
            raise FrameError(f"cause has {len(value)} bytes instead of 1")
        return value[0]

    def text_parameter(self, code: ParameterCode) -> str:
        """Returns a parameter as text, which is empty if the parameter is absent.

        Raises:
            FrameError: The parameter is not valid UTF-8.
        """
        try:
            return self.parameters.get(code, b"").decode()
        except UnicodeDecodeError:
            raise FrameError(f"parameter {code} is not valid UTF-8") from None

    def number_parameter(self, code: ParameterCode) -> float:
        """Returns a parameter as a finite number.

        Raises:
            FrameError: The parameter is absent or not a finite number.
        """
        return _parse_number(self.text_parameter(code))

    def load_report(self) -> dict[str, float]:
        """Returns the values of the load report, such as `x0:0.12;x1:0.4`, by name; empty if it is absent.

        Raises:
            FrameError: The load report is not valid, or has too many values.
        """
        parts = [part for part in self.text_parameter(ParameterCode.REPORT).split(";") if part]
        if len(parts) > _MAX_REPORT_VALUES:
            raise FrameError(f"load report has {len(parts)} values, at most {_MAX_REPORT_VALUES} are allowed")
        report: dict[str, float] = {}
        for part in parts:
            name, colon, value = part.partition(":")
            if not colon:
                raise FrameError("load report has an entry without a value")
            report[name] = _parse_number(value)
        return report


class FrameReader:
    """Splits a stream into frames. An incomplete frame is buffered, up to `MAX_FRAME_BYTES`.

    Attributes:
        complete_frames: The frames that the last call of `feed` completed, even if it raised.
    """

    def __init__(self) -> None:
        self._pending = bytearray()
        self.complete_frames: list[Frame] = []

    def feed(self, data: bytes | memoryview) -> list[Frame]:
        """Processes the next bytes of the stream.

        Returns:
            The frames that are complete.

        Raises:
            FrameError: A frame is not valid. The frames before it are in `complete_frames`; the reader must
                not be used again.
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
        FrameError: The encoded message would be longer than `MAX_FRAME_BYTES`.
    """
    parameters = b"".join(
        _PARAMETER_HEADER.pack(code, len(value)) + value for code, value in frame.parameters.items()
    )
    size_bytes = _HEADER.size + len(parameters)
    if size_bytes > MAX_FRAME_BYTES:
        raise FrameError(f"message of {size_bytes} bytes exceeds the limit of 16 KiB")
    return _HEADER.pack(size_bytes - _LENGTH_BYTES, frame.type, int(frame.session, 16)) + parameters


def _check_length(length: int) -> None:
    if not _HEADER.size - _LENGTH_BYTES <= length <= MAX_FRAME_BYTES - _LENGTH_BYTES:
        raise FrameError(f"invalid message length {length}")


def _check_type(number: int) -> None:
    if number not in _TYPES_BY_NUMBER:
        raise FrameError(f"unknown message type {number}")


def _decode_frame(data: bytes) -> Frame:
    _, type_number, session = _HEADER.unpack_from(data)
    offset = _HEADER.size
    parameters: dict[int, bytes] = {}
    while offset < len(data):
        if offset + _PARAMETER_HEADER.size > len(data):
            raise FrameError("a parameter header is truncated")
        code, length = _PARAMETER_HEADER.unpack_from(data, offset)
        offset += _PARAMETER_HEADER.size
        if offset + length > len(data):
            raise FrameError(f"parameter {code} exceeds its message")
        if code in parameters:
            raise FrameError(f"parameter {code} occurs twice")
        parameters[code] = data[offset : offset + length]
        offset += length
    return Frame(_TYPES_BY_NUMBER[type_number], f"{session:016x}", parameters)


def _parse_number(text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not math.isfinite(value):
        raise FrameError("a value is not a finite number")
    return value
