"""Frames on a connection: a length of 4 bytes, big endian, then that many bytes. Any split will do."""

from __future__ import annotations

MOST = 1_048_576
_HEAD = 4


class FrameError(Exception):
    """A length that no frame has: what follows can't be made sense of."""


def frame(body: bytes) -> bytes:
    """ValueError if it is empty or too long for a frame."""
    if not 1 <= len(body) <= MOST:
        raise ValueError(f"a frame of {len(body)} bytes, not 1 to {MOST}")
    return len(body).to_bytes(_HEAD, "big") + body


class Frames:
    """Cuts a stream into frames. `most` may be raised once a peer is known."""

    __slots__ = ("_kept", "most")

    def __init__(self, most: int = MOST) -> None:
        self.most = most
        self._kept = bytearray()

    def feed(self, data: bytes | memoryview) -> None:
        """Takes what came; `next` gives the frames that are whole."""
        self._kept += data

    def next(self) -> bytes | None:
        """The next whole frame, None if more must come first. FrameError for a length outside 1 to `most`."""
        kept = self._kept
        if len(kept) < _HEAD:
            return None
        size = int.from_bytes(kept[:_HEAD], "big")
        if not 1 <= size <= self.most:
            raise FrameError(f"a frame of {size} bytes, not 1 to {self.most}")
        if len(kept) < _HEAD + size:
            return None
        body = bytes(memoryview(kept)[_HEAD : _HEAD + size])
        del kept[: _HEAD + size]
        return body

    @property
    def held(self) -> int:
        """Bytes of a frame that has begun."""
        return len(self._kept)
