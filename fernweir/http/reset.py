"""Aborts a connection with a TCP reset instead of an orderly close, so that the peer sees an error."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

_NO_LINGER = struct.pack("ii", 1, 0)


def reset(transport: asyncio.Transport) -> None:
    """Aborts with RST. A FIN would look like a half-close, after which a response is still expected."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):  # the socket is already closed
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
    transport.abort()
