"""Frames on a connection: a length of 4 bytes, big endian, then that many bytes."""

from __future__ import annotations

MAX_FRAME_BYTES = 1_048_576
_LENGTH_BYTES = 4


class FrameError(Exception):
    """Raised for an invalid frame length. The rest of the stream can't be parsed."""


def frame(body: bytes) -> bytes:
    """Encodes one frame. Raises ValueError if the body is empty or too long."""
    if not 1 <= len(body) <= MAX_FRAME_BYTES:
        raise ValueError(f"frame of {len(body)} bytes, not 1 to {MAX_FRAME_BYTES}")
    return len(body).to_bytes(_LENGTH_BYTES, "big") + body


class FrameReader:
    """Splits a stream into frames, whatever its chunks. `max_bytes` may be raised once a peer is proven."""

    __slots__ = ("_buffer", "max_bytes")

    def __init__(self, max_bytes: int = MAX_FRAME_BYTES) -> None:
        self.max_bytes = max_bytes
        self._buffer = bytearray()

    def feed(self, data: bytes | memoryview) -> None:
        """Adds received bytes; `next` returns the complete frames."""
        self._buffer += data

    def next(self) -> bytes | None:
        """Returns the next complete frame, None if more bytes are needed.

        Raises FrameError for a length outside 1 to `max_bytes`.
        """
        buffer = self._buffer
        if len(buffer) < _LENGTH_BYTES:
            return None
        size = int.from_bytes(buffer[:_LENGTH_BYTES], "big")
        if not 1 <= size <= self.max_bytes:
            raise FrameError(f"frame of {size} bytes, not 1 to {self.max_bytes}")
        if len(buffer) < _LENGTH_BYTES + size:
            return None
        body = bytes(memoryview(buffer)[_LENGTH_BYTES : _LENGTH_BYTES + size])
        del buffer[: _LENGTH_BYTES + size]
        return body

    @property
    def buffered_bytes(self) -> int:
        """Returns the number of buffered bytes of an incomplete frame."""
        return len(self._buffer)
