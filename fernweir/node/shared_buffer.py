"""A receive buffer that all connections share. Its content is valid only during a callback."""

from __future__ import annotations

import asyncio

_BUFFER_SIZE_BYTES = 64 * 1024
_SHARED_BUFFER = memoryview(bytearray(_BUFFER_SIZE_BYTES))


class SharedBufferProtocol(asyncio.BufferedProtocol):
    """A protocol that reads into the shared buffer. `data_received` must not keep its data."""

    transport: asyncio.Transport | None = None

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the shared buffer, into which the event loop reads next."""
        return _SHARED_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Passes the bytes that were read to `data_received`."""
        self.data_received(_SHARED_BUFFER[:nbytes])

    def data_received(self, data: memoryview) -> None:
        """Handles received bytes, which are overwritten after this method returns."""
        raise NotImplementedError

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    @property
    def is_usable(self) -> bool:
        """Whether the transport exists and is not closing."""
        return self.transport is not None and not self.transport.is_closing()

    @property
    def unsent_bytes(self) -> int:
        """The number of written bytes that the kernel has not accepted yet."""
        return self.transport.get_write_buffer_size() if self.transport is not None else 0
