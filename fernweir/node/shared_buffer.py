"""One receive buffer for all connections: what is in it is read before the loop goes on."""

from __future__ import annotations

import asyncio

_BUFFER_SIZE_BYTES = 64 * 1024
_SHARED_BUFFER = memoryview(bytearray(_BUFFER_SIZE_BYTES))


class SharedBufferProtocol(asyncio.BufferedProtocol):
    """A connection that reads into the shared buffer. `bytes_came` must take its data before it returns."""

    transport: asyncio.Transport | None = None

    def get_buffer(self, sizehint: int) -> memoryview:
        return _SHARED_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(_SHARED_BUFFER[:nbytes])

    def data_received(self, data: memoryview) -> None:
        raise NotImplementedError

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    @property
    def is_usable(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    @property
    def unsent_bytes(self) -> int:
        """Bytes written that the kernel has not taken yet."""
        return self.transport.get_write_buffer_size() if self.transport is not None else 0
