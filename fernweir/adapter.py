"""Hosts one controller for each front and speaks the wire on standard input and output."""

from __future__ import annotations

import sys
from typing import BinaryIO

from fernweir.controller import Controller
from fernweir.interface import Event
from fernweir.wire import (
    HEADER,
    Batch,
    Configure,
    Decoder,
    FrontTerminated,
    WireError,
    encode_action,
    encode_fault,
    encode_reply,
)

_HEADER_AFTER_LENGTH = HEADER.size - 8


class ControllerPool:
    """The controllers of one process; they share nothing."""

    def __init__(self) -> None:
        self._fronts: dict[int, Controller] = {}

    def handle_batch(self, batch: Batch) -> bytes:
        todo: dict[int, list[Event]] = {}
        for front, item in batch.items:
            if isinstance(item, Configure):
                self._fronts[front] = Controller(item.settings, item.seed)
                todo[front] = []
            elif isinstance(item, FrontTerminated):
                self._fronts.pop(front, None)
                todo.pop(front, None)
            elif front in self._fronts:
                todo.setdefault(front, []).append(item)
            else:
                raise WireError(f"batch {batch.number}: an event for instance {front}, which has not started")
        parts = []
        for front, events in todo.items():
            try:
                actions = self._fronts[front].handle(batch.now_ms, events)
                parts.append((front, b"".join(encode_action(action) for action in actions)))
            except Exception as error:  # the wire wants every failure of the decision code named
                parts.append((front, encode_fault(f"{type(error).__name__}: {error}")))
        return encode_reply(batch.number, iter(parts))


def _read(source: BinaryIO, size: int, what: str) -> bytes:
    data = source.read(size)
    if len(data) < size:
        raise WireError(f"{what}: input ended after {len(data)} of {size} bytes")
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answers batches until the input ends between two frames."""
    host, decoder = ControllerPool(), Decoder()
    while first := source.read(1):
        header = first + _read(source, HEADER.size - 1, "frame header")
        records, length, now_ms, number = HEADER.unpack(header)
        if length < _HEADER_AFTER_LENGTH:
            raise WireError(f"batch {number}: a length of {length} is too short for a header")
        body = _read(source, length - _HEADER_AFTER_LENGTH, f"batch {number}")
        sink.write(host.handle_batch(decoder.decode(records, now_ms, number, body)))
        sink.flush()


def main() -> int:
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"fernweir: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
