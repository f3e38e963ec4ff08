"""Breaking a connection so that the other end knows: a TCP reset instead of an orderly end."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

_NO_LINGER = struct.pack("ii", 1, 0)


def reset(transport: asyncio.Transport) -> None:
    """Aborts with RST. An orderly FIN would look like a half-close, after which an answer is still due."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):  # already gone
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
    transport.abort()
