"""Handshake of a connection and seals of its frames. A recorded connection can't be replayed.

Each side sends a hello: `magic 2, format 1 (the highest), lowest format 1, length of the name 1, name,
incarnation 8, nonce 16, tag 16`. A frame after that is `counter 8, body, tag 16`; its tag covers the sender's
nonce, the receiver's nonce, counter and body, and counters increase by one from 1. A hello may be a recorded
one. The first frame that opens proves that the peer is present, so both sides send an empty frame right after
the hello.
"""

from __future__ import annotations

import struct
from collections.abc import Sequence

from fernweir.peers.wire.codec import highest_common_format
from fernweir.peers.wire.keys import TAG_BYTES, Sealer
from fernweir.peers.wire.seal import MAX_NAME_BYTES, Refusal, RefusalKind, SealError

MAGIC = b"\xfe\x48"
NONCE_BYTES = 16
_INCARNATION = struct.Struct(">Q")
_MIN_HELLO_BYTES = 5 + 1 + _INCARNATION.size + NONCE_BYTES + TAG_BYTES
MAX_HELLO_BYTES = _MIN_HELLO_BYTES - 1 + MAX_NAME_BYTES
SEAL_OVERHEAD_BYTES = 8 + TAG_BYTES  # bytes that sealing adds to a frame


class Conversation:
    """One side of a connection. `nonce` must never have been used before."""

    def __init__(
        self,
        keys: Sequence[bytes],
        name: str,
        incarnation: int,
        nonce: bytes,
        formats: tuple[int, int] = (1, 1),
    ) -> None:
        if len(nonce) != NONCE_BYTES:
            raise ValueError(f"the nonce has {len(nonce)} bytes, not {NONCE_BYTES}")
        self.name, self.incarnation, self.formats = name, incarnation, formats
        self.peer, self.peer_incarnation, self.format = "", 0, 0
        self.proven = False
        self._nonce, self._peer_nonce = nonce, b""
        self._hello_sealer = Sealer(keys, b"fernweir hello")
        self._frame_sealer = Sealer(keys, b"fernweir frame")
        self._peer_key_index = 0  # of the key with which the peer seals
        self._last_sent_counter = self._last_received_counter = 0

    def hello(self) -> bytes:
        name = self.name.encode()
        head = MAGIC + bytes((self.formats[1], self.formats[0], len(name))) + name
        data = head + _INCARNATION.pack(self.incarnation) + self._nonce
        return data + self._hello_sealer.tag(data)

    @property
    def has_peer_hello(self) -> bool:
        return bool(self._peer_nonce)

    def accept_hello(self, data: bytes) -> None:
        """Validates and stores the peer's hello.

        Raises SealError if it is invalid, has this front's own name, or shares no supported format.
        """
        if len(data) < _MIN_HELLO_BYTES:
            raise SealError(Refusal(RefusalKind.SHORT))
        if not data.startswith(MAGIC):
            raise SealError(Refusal(RefusalKind.MAGIC))
        length = data[4]
        if not 1 <= length <= MAX_NAME_BYTES or len(data) != _MIN_HELLO_BYTES - 1 + length:
            raise SealError(Refusal(RefusalKind.NAME))
        view = memoryview(data)
        key_index = self._hello_sealer.find_key(view[:-TAG_BYTES], view[-TAG_BYTES:])
        if key_index is None:
            raise SealError(Refusal(RefusalKind.TAG))
        try:
            peer = data[5 : 5 + length].decode()
        except UnicodeDecodeError:
            raise SealError(Refusal(RefusalKind.NAME)) from None
        if peer == self.name:
            raise SealError(Refusal(RefusalKind.OWN))
        message_format = highest_common_format(self.formats, (data[3], data[2]))
        if message_format is None:
            raise SealError(Refusal(RefusalKind.FORMAT))
        self.peer, self.format, self._peer_key_index = peer, message_format, key_index
        (self.peer_incarnation,) = _INCARNATION.unpack_from(data, 5 + length)
        self._peer_nonce = data[-TAG_BYTES - NONCE_BYTES : -TAG_BYTES]

    def seal(self, body: bytes) -> bytes:
        """Seals the body of a frame. Requires the peer's hello."""
        if not self._peer_nonce:
            raise RuntimeError("can't seal a frame before the peer's hello was accepted")
        self._last_sent_counter += 1
        data = self._last_sent_counter.to_bytes(8, "big") + body
        return data + self._frame_sealer.tag(b"".join((self._nonce, self._peer_nonce, data)))

    def open(self, data: bytes) -> bytes:
        """Returns the body of a frame. Raises SealError if it is not the next one of this conversation."""
        if len(data) < SEAL_OVERHEAD_BYTES:
            raise SealError(Refusal(RefusalKind.SHORT))
        covered = b"".join((self._peer_nonce, self._nonce, data[:-TAG_BYTES]))
        if not self._frame_sealer.verify(self._peer_key_index, covered, data[-TAG_BYTES:]):
            raise SealError(Refusal(RefusalKind.TAG))
        if int.from_bytes(data[:8], "big") != self._last_received_counter + 1:
            raise SealError(Refusal(RefusalKind.COUNTER))
        self._last_received_counter += 1
        self.proven = True
        return data[8:-TAG_BYTES]
