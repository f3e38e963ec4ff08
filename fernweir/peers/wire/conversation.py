"""A connection's handshake and the seals of its frames, so that a recorded connection can't be played again.

Each side says hello: `magic 2, format 1 (the highest), lowest format 1, length of the name 1, name, life 8,
nonce 16, tag 16`. A frame after that is `counter 8, body, tag 16`; its tag covers the sender's nonce, the
receiver's nonce, counter and body, and counters go up by one from 1. A hello may be a recorded one; the
first frame that opens proves that the other side is there now, so both send an empty one right after
the hello.
"""

from __future__ import annotations

import struct
from collections.abc import Sequence

from fernweir.peers.wire.codec import common
from fernweir.peers.wire.keys import TAG, Sealer
from fernweir.peers.wire.seal import NAME_MOST, Kind, Refused, SealError

MAGIC = b"\xfe\x48"
NONCE = 16
_INCARNATION = struct.Struct(">Q")
_MIN_HELLO_BYTES = 5 + 1 + _INCARNATION.size + NONCE + TAG
HELLO_MOST = _MIN_HELLO_BYTES - 1 + NAME_MOST
OVER = 8 + TAG  # bytes that sealing adds to a frame


class Conversation:
    """One connection, from one side. `nonce` must never have been used before."""

    def __init__(
        self,
        keys: Sequence[bytes],
        name: str,
        incarnation: int,
        nonce: bytes,
        formats: tuple[int, int] = (1, 1),
    ) -> None:
        if len(nonce) != NONCE:
            raise ValueError(f"a nonce of {len(nonce)} bytes, not {NONCE}")
        self.name, self.incarnation, self.formats = name, incarnation, formats
        self.peer, self.peer_incarnation, self.format = "", 0, 0
        self.proven = False
        self._nonce, self._peer_nonce = nonce, b""
        self._hellos = Sealer(keys, b"fernweir hello")
        self._frames = Sealer(keys, b"fernweir frame")
        self._key = 0  # with which the other side seals
        self._sent = self._received = 0

    def hello(self) -> bytes:
        name = self.name.encode()
        head = MAGIC + bytes((self.formats[1], self.formats[0], len(name))) + name
        data = head + _INCARNATION.pack(self.incarnation) + self._nonce
        return data + self._hellos.tag(data)

    @property
    def has_peer_hello(self) -> bool:
        return bool(self._peer_nonce)

    def accept_hello(self, data: bytes) -> None:
        """The other side's hello. SealError if it is none, of the own name, or of no format spoken here."""
        if len(data) < _MIN_HELLO_BYTES:
            raise SealError(Refused(Kind.SHORT))
        if not data.startswith(MAGIC):
            raise SealError(Refused(Kind.MAGIC))
        length = data[4]
        if not 1 <= length <= NAME_MOST or len(data) != _MIN_HELLO_BYTES - 1 + length:
            raise SealError(Refused(Kind.NAME))
        view = memoryview(data)
        key_index = self._hellos.opens(view[:-TAG], view[-TAG:])
        if key_index is None:
            raise SealError(Refused(Kind.TAG))
        try:
            peer = data[5 : 5 + length].decode()
        except UnicodeDecodeError:
            raise SealError(Refused(Kind.NAME)) from None
        if peer == self.name:
            raise SealError(Refused(Kind.OWN))
        message_format = common(self.formats, (data[3], data[2]))
        if message_format is None:
            raise SealError(Refused(Kind.FORMAT))
        self.peer, self.format, self._key = peer, message_format, key_index
        (self.peer_incarnation,) = _INCARNATION.unpack_from(data, 5 + length)
        self._peer_nonce = data[-TAG - NONCE : -TAG]

    def seal(self, body: bytes) -> bytes:
        """A frame's content, after the hellos."""
        if not self._peer_nonce:
            raise RuntimeError("sealed before the other side's hello")
        self._sent += 1
        data = self._sent.to_bytes(8, "big") + body
        return data + self._frames.tag(b"".join((self._nonce, self._peer_nonce, data)))

    def open(self, data: bytes) -> bytes:
        """The body of a frame. SealError for any that is not the next of this conversation."""
        if len(data) < OVER:
            raise SealError(Refused(Kind.SHORT))
        covered = b"".join((self._peer_nonce, self._nonce, data[:-TAG]))
        if not self._frames.opens_with(self._key, covered, data[-TAG:]):
            raise SealError(Refused(Kind.TAG))
        if int.from_bytes(data[:8], "big") != self._received + 1:
            raise SealError(Refused(Kind.COUNTER))
        self._received += 1
        self.proven = True
        return data[8:-TAG]
