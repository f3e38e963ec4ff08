"""One connection through the relay: two ends and the flow of bytes each way, bounded and in order."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from fernweir.http.reset import reset
from fernweir.rehearsal.fleet.paths import PathFaults

_PIECE = 65_536
_HELD_BYTES = 262_144  # of one direction of one connection; more is left to the sender's kernel


class Link:
    """What the opener (`near`) sends to `far`, and what comes back."""

    def __init__(
        self, key: tuple[str, str], there: PathFaults, back: PathFaults, near: End,
        forget: Callable[[Link], None],
    ) -> None:  # fmt: skip
        self.key = key
        self.near, self.far = near, End()
        self.near.link = self.far.link = self
        self.there = _Flow(self, there, self.near, self.far)
        self.back = _Flow(self, back, self.far, self.near)
        self.news = asyncio.Event()
        self.task: asyncio.Task[None] | None = None
        self._forget = forget

    @property
    def cut(self) -> bool:
        return self.there.path.manner.cut or self.back.path.manner.cut

    def of(self, end: End) -> _Flow:
        """The direction that begins at an end."""
        return self.there if end is self.near else self.back

    def toward(self, end: End) -> _Flow:
        return self.back if end is self.near else self.there

    def pump(self) -> None:
        self.news.set()
        self.there.pump()
        self.back.pump()

    def over(self) -> None:
        """Both directions came to their end."""
        self._forget(self)
        for end in (self.near, self.far):
            if end.up:
                end.transport.close()

    def broken(self) -> None:
        """Both ends are reset."""
        self._forget(self)
        if self.task is not None and not self.task.done():
            self.task.cancel()
        for flow in (self.there, self.back):
            flow.stop()
        for end in (self.near, self.far):
            if end.up:
                reset(end.transport)


class _Flow:
    """Bytes from one end to the other; an empty piece is the end, `failed` a reset behind all pieces."""

    def __init__(self, link: Link, path: PathFaults, begin: End, end: End) -> None:
        self.path, self._link, self._begin, self._end = path, link, begin, end
        self._pieces: deque[tuple[float, bytes]] = deque()
        self._held = 0
        self._last = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._loop = asyncio.get_running_loop()
        self.over = False
        self.blocked = False
        self._failed = False

    def feed(self, data: bytes) -> None:
        self._last = self.path.piece(self._loop.time() * 1000.0, len(data), self._last)
        self._pieces.append((self._last, data))
        self._held += len(data)
        if self._held >= _HELD_BYTES:
            self._begin.transport.pause_reading()
        self.pump()

    def fail(self) -> None:
        """The end where this direction begins was reset; the other hears of it when the path lets it."""
        self._failed = True
        self.pump()

    def pump(self) -> None:
        """Sends on what is due, unless the path is cut or the end doesn't read."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self.path.manner.cut:
            return
        if self._failed:  # as a reset does, it overtakes what was not delivered
            self._link.broken()
            return
        while self._pieces and self._end.up and not self.blocked:
            due, data = self._pieces[0]
            if due > self._loop.time() * 1000.0 + 0.05:
                self._timer = self._loop.call_at(due / 1000.0, self.pump)
                return
            self._pieces.popleft()
            self._held -= len(data)
            if self._end.transport.is_closing():
                continue
            if data:
                self._end.transport.write(data)
            else:
                self.over = True
                self._finish()
            if self._held < _HELD_BYTES // 2 and self._begin.up:
                self._begin.transport.resume_reading()

    def _finish(self) -> None:
        if self._link.of(self._end).over:
            self._link.over()
        elif self._end.transport.can_write_eof():
            self._end.transport.write_eof()

    def stop(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._pieces.clear()


class End(asyncio.BufferedProtocol):
    """One end of a connection through the relay. `on_made` is given for the end that is accepted."""

    def __init__(self, on_made: Callable[[End], None] | None = None) -> None:
        self._on_made = on_made
        self._buffer = bytearray(_PIECE)
        self.link: Link | None = None
        self.up = False
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.up = True
        if self._on_made is not None:
            self._on_made(self)
        elif self.link is not None:
            self.link.pump()

    def get_buffer(self, sizehint: int) -> bytearray:
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        if self.link is not None:
            self.link.of(self).feed(bytes(memoryview(self._buffer)[:nbytes]))

    def eof_received(self) -> bool:
        if self.link is not None:
            self.link.of(self).feed(b"")
        return True  # the other direction may go on

    def pause_writing(self) -> None:
        if self.link is not None:
            self.link.toward(self).blocked = True

    def resume_writing(self) -> None:
        if self.link is not None:
            flow = self.link.toward(self)
            flow.blocked = False
            flow.pump()

    def connection_lost(self, error: Exception | None) -> None:
        self.up = False
        if self.link is not None and error is not None:
            self.link.of(self).fail()
