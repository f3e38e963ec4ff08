"""One connection between two fronts, from either side: reads and writes the frames of a `Conversation`.

The accepting side sends nothing until it has received a valid hello, so an unknown peer costs only one hash.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import TYPE_CHECKING

from fernweir.peers.base import Address
from fernweir.peers.wire import frames
from fernweir.peers.wire.conversation import MAX_HELLO_BYTES, Conversation
from fernweir.peers.wire.frames import FrameError, FrameReader
from fernweir.peers.wire.seal import SealError

if TYPE_CHECKING:
    from fernweir.peers.link.tcp import Connections

_WRITE_HIGH_WATER_BYTES = 65_536


class Connection(asyncio.BufferedProtocol):
    """`dialled_target` is the peer that this side dialled, by name or address; None if it accepted."""

    def __init__(
        self, owner: Connections, dialled_target: str | Address | None, address: Address | None
    ) -> None:
        self.owner, self.dialled_target, self.address = owner, dialled_target, address
        identity = owner.identity
        self.conversation = Conversation(
            identity.keys, identity.name, owner.incarnation, identity.nonce(16), identity.formats
        )
        self.closed = self.paused = False
        self.established = False  # the handshake proved the expected peer
        self.opened_at_ms = self.last_used_ms = self.stalled_since_ms = owner.now()
        self.unsent = memoryview(b"")  # the rest of the frame that is being written
        self._frames = FrameReader(MAX_HELLO_BYTES)
        self._transport: asyncio.Transport | None = None

    @property
    def is_usable(self) -> bool:
        return self.established and not self.closed

    @property
    def is_writable(self) -> bool:
        return self.established and not self.closed and not self.paused

    # --- asyncio ---

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=_WRITE_HIGH_WATER_BYTES)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            with contextlib.suppress(
                OSError, AttributeError
            ):  # detects a partition in seconds, not in minutes
                limit = int(self.owner.rules.stall_timeout_ms)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit)
        self.owner.on_connection_made(self)
        if self.dialled_target is not None:
            self._write(frames.frame(self.conversation.hello()))

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.owner.buffer

    def buffer_updated(self, nbytes: int) -> None:
        self.owner.counts.bytes_in += nbytes
        self.last_used_ms = self.owner.now()
        self._frames.feed(self.owner.buffer[:nbytes])
        try:
            while not self.closed and (data := self._frames.next()) is not None:
                self._handle_frame(data)
        except FrameError:
            self.owner.on_malformed_frame(self)
            self.abort()
        except SealError as error:
            self.owner.on_seal_error(self, error.kind)
            self.abort()

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        self.owner.on_connection_lost(self)

    def pause_writing(self) -> None:
        self.paused, self.stalled_since_ms = True, self.owner.now()

    def resume_writing(self) -> None:
        self.paused = False
        self.owner.on_writable(self)

    # --- frames ---

    def _handle_frame(self, data: bytes) -> None:
        if not self.conversation.has_peer_hello:
            self.conversation.accept_hello(data)
            hello = frames.frame(self.conversation.hello()) if self.dialled_target is None else b""
            self._write(hello + frames.frame(self.conversation.seal(b"")))
            return
        proven = self.conversation.proven
        body = self.conversation.open(data)
        self.owner.counts.frames_in += 1
        if not proven:  # a peer that only replayed a recorded hello must not get a long frame buffered
            self._frames.max_bytes = frames.MAX_FRAME_BYTES
            self.owner.on_peer_proven(self)
        if body and not self.closed:
            self.owner.on_body_received(self, body)

    def start(self, body: bytes) -> None:
        """Begins the next frame; `advance` writes it."""
        self.unsent = memoryview(frames.frame(self.conversation.seal(body)))

    def advance(self, size: int) -> None:
        """Writes the next `size` bytes of the frame that was begun."""
        self._write(self.unsent[:size])
        self.unsent = self.unsent[size:]
        self.last_used_ms = self.owner.now()
        if not self.unsent:
            self.owner.counts.frames_out += 1

    def _write(self, data: bytes | memoryview) -> None:
        if self._transport is not None and not self.closed:
            self.owner.counts.bytes_out += len(data)
            self._transport.write(data)

    def close(self) -> None:
        """Closes in order: bytes that were written are still sent."""
        self.closed, self.stalled_since_ms = True, self.owner.now()
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        self.closed = True
        if self._transport is not None:
            self._transport.abort()
