"""One connection between two fronts, from either side: frames in and out around a `Conversation`.

The side that was called says nothing before it has heard a good hello, so that a stranger costs one hash.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import TYPE_CHECKING

from fernweir.peers.base import Address
from fernweir.peers.wire import frames
from fernweir.peers.wire.conversation import HELLO_MOST, Conversation
from fernweir.peers.wire.frames import FrameError, Frames
from fernweir.peers.wire.seal import SealError

if TYPE_CHECKING:
    from fernweir.peers.link.tcp import Connections

_HIGH_WATER = 65_536


class Connection(asyncio.BufferedProtocol):
    """`called` is whom this side called, by name or address, None if it was called itself."""

    def __init__(self, owner: Connections, called: str | Address | None, address: Address | None) -> None:
        self.owner, self.called, self.address = owner, called, address
        me = owner.me
        self.talk = Conversation(me.keys, me.name, owner.life, me.nonce(16), me.formats)
        self.closed = self.paused = False
        self.joined = False  # proven, and by whom it should be
        self.since = self.used = self.still_since = owner.now()
        self.out = memoryview(b"")  # what is left of the frame that is being written
        self._frames = Frames(HELLO_MOST)
        self._transport: asyncio.Transport | None = None

    @property
    def usable(self) -> bool:
        return self.joined and not self.closed

    @property
    def writable(self) -> bool:
        return self.joined and not self.closed and not self.paused

    # --- asyncio ---

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=_HIGH_WATER)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            with contextlib.suppress(OSError, AttributeError):  # a cut is known in seconds, not in minutes
                limit = int(self.owner.rules.stalled_ms)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit)
        self.owner.made(self)
        if self.called is not None:
            self._write(frames.frame(self.talk.hello()))

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.owner.buffer

    def buffer_updated(self, nbytes: int) -> None:
        self.owner.counts.bytes_in += nbytes
        self.used = self.owner.now()
        self._frames.feed(self.owner.buffer[:nbytes])
        try:
            while not self.closed and (data := self._frames.next()) is not None:
                self._take(data)
        except FrameError:
            self.owner.garbled(self)
            self.abort()
        except SealError as error:
            self.owner.unsealed(self, error.kind)
            self.abort()

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        self.owner.lost(self)

    def pause_writing(self) -> None:
        self.paused, self.still_since = True, self.owner.now()

    def resume_writing(self) -> None:
        self.paused = False
        self.owner.ready(self)

    # --- frames ---

    def _take(self, data: bytes) -> None:
        if not self.talk.greeted:
            self.talk.take_hello(data)
            hello = frames.frame(self.talk.hello()) if self.called is None else b""
            self._write(hello + frames.frame(self.talk.seal(b"")))
            return
        proven = self.talk.proven
        body = self.talk.open(data)
        self.owner.counts.frames_in += 1
        if not proven:  # who only said a recorded hello may not have a long frame kept for it
            self._frames.most = frames.MOST
            self.owner.proved(self)
        if body and not self.closed:
            self.owner.heard(self, body)

    def start(self, body: bytes) -> None:
        """The next frame; `advance` writes it."""
        self.out = memoryview(frames.frame(self.talk.seal(body)))

    def advance(self, size: int) -> None:
        """Writes that much of the frame that has begun."""
        self._write(self.out[:size])
        self.out = self.out[size:]
        self.used = self.owner.now()
        if not self.out:
            self.owner.counts.frames_out += 1

    def _write(self, data: bytes | memoryview) -> None:
        if self._transport is not None and not self.closed:
            self.owner.counts.bytes_out += len(data)
            self._transport.write(data)

    def close(self) -> None:
        """Orderly: what is written still goes out."""
        self.closed, self.still_since = True, self.owner.now()
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        self.closed = True
        if self._transport is not None:
            self._transport.abort()
