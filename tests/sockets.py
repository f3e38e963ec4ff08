"""Tests on sockets: waiting by what was seen, never by a fixed time; a loop stepped turn by turn."""

from __future__ import annotations

import asyncio
import os
import select
import selectors
import socket
import struct
import time
from collections.abc import Callable
from typing import Any

# A loopback host of this process's own: on a shared one, what another process still comes back to after a
# listener of its was closed would reach whoever the kernel gave that port next.
_HIGH, _LOW = divmod(os.getpid() % 62_500, 250)
HOST = f"127.78.{_HIGH + 1}.{_LOW + 1}"


async def until(condition: Callable[[], object], most_s: float = 20.0) -> None:
    """Lets the loop run until the condition holds; fails only after a time far beyond any real wait."""
    end = asyncio.get_running_loop().time() + most_s
    while not condition():
        assert asyncio.get_running_loop().time() < end, "the condition never came"
        await asyncio.sleep(0.002)


class Selected(selectors.DefaultSelector):
    """Hands out readiness as a test says: what is held is not seen, what is first comes first."""

    def __init__(self) -> None:
        super().__init__()
        self.held: set[int] = set()
        self.first: list[int] = []

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        key = super().unregister(fileobj)
        self.held.discard(key.fd)  # the number may be another's next
        return key

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        found = [one for one in super().select(timeout) if one[0].fd not in self.held]
        place = {fd: at for at, fd in enumerate(self.first)}
        return sorted(found, key=lambda one: place.get(one[0].fd, len(place)))


class SteppedLoop(asyncio.SelectorEventLoop):
    """A loop whose turns and whose clock are a test's: real sockets, and nothing happens by itself."""

    def __init__(self) -> None:
        self.clock = 1_000.0
        self.selected = Selected()
        super().__init__(self.selected)
        self._clock_resolution = 1e-9  # the base's would run what is due within it ahead of its time
        self.faults: list[str] = []
        self.set_exception_handler(lambda _, context: self.faults.append(repr(context)))

    def time(self) -> float:
        return self.clock

    def turn(self, times: int = 1) -> None:
        """So many turns: what is ready is seen, what was due before it is run."""
        for _ in range(times):
            self.call_soon(self.stop)
            self.run_forever()

    def settle(self) -> None:
        """Turns until nothing is ready and nothing is left to run."""
        quiet = 0
        while quiet < 3:
            self.turn()
            quiet = 0 if self._ready or self.selected.select(0.0) else quiet + 1

    def until(self, condition: Callable[[], object], most_s: float = 20.0) -> None:
        """Turns, the clock standing, until the condition holds: the kernel may need a moment."""
        end = time.monotonic() + most_s
        while not condition():
            assert time.monotonic() < end, "the condition never came"
            self.turn()

    def due(self) -> list[asyncio.TimerHandle]:
        """Timers that will run, soonest first."""
        left: list[asyncio.TimerHandle] = self._scheduled
        return sorted((one for one in left if not one.cancelled()), key=lambda one: one.when())

    def advance(self, ms: float) -> None:
        """The clock goes on from timer to timer, each seen through before the next is due."""
        goal = self.clock + ms / 1000.0
        self.settle()
        while (due := self.due()) and due[0].when() <= goal:
            self.clock = max(self.clock, due[0].when())
            self.settle()
        self.clock = goal
        self.settle()

    def jump(self, ms: float) -> None:
        """The clock goes on with nothing run in between, as after a stop of the process: all comes late."""
        self.clock += ms / 1000.0

    def near(self, peer: socket.socket) -> int:
        """The descriptor of the loop's end of a connection, known by the addresses of both ends."""
        ends = peer.getsockname(), peer.getpeername()
        for fd in self.selected.get_map():
            try:
                with socket.socket(fileno=os.dup(fd)) as own:
                    if (own.getpeername(), own.getsockname()) == ends:
                        return fd
            except OSError:
                continue
        raise AssertionError("no such connection")

    def arrived(self, *fds: int, events: int = select.POLLIN) -> None:
        """Waits until the kernel shows these descriptors ready, without a turn of the loop."""
        for fd in fds:
            poll = select.poll()
            poll.register(fd, events)
            assert poll.poll(20_000), "never ready"


class Far:
    """The far end of a connection, steered by hand."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.over = sock, False
        sock.setblocking(False)

    def write(self, data: bytes) -> None:
        self.sock.sendall(data)

    def take(self) -> bytes:
        """All that has come so far; `over` once the other end closed or broke."""
        found = bytearray()
        while not self.over:
            try:
                data = self.sock.recv(65536)
            except BlockingIOError:
                break
            except OSError:
                data = b""
            self.over = not data
            found += data
        return bytes(found)

    def end(self) -> None:
        """Ends this side only: a half-close, or the first part of an orderly one."""
        self.sock.shutdown(socket.SHUT_WR)

    def reset(self) -> None:
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.close()

    def close(self) -> None:
        self.over = True
        self.sock.close()
