"""Serves the simulator's protocol on standard input and output, with one controller per front."""

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

# The length field of a header covers the rest of the header and the body.
_LENGTH_FIELD_END_BYTES = 8
_HEADER_REST_BYTES = HEADER.size - _LENGTH_FIELD_END_BYTES
_EXIT_OK = 0
_EXIT_WIRE_ERROR = 2


class ControllerPool:
    """The controllers of one process, by front; they share no state."""

    def __init__(self) -> None:
        self._controllers: dict[int, Controller] = {}

    def handle_batch(self, batch: Batch) -> bytes:
        """Passes each front its events and returns the reply frame with the resulting actions.

        An exception in a controller is reported in the reply as a fault of its front.

        Raises:
            WireError: An event refers to a front that has not started.
        """
        pending_events: dict[int, list[Event]] = {}
        for front, event in batch.items:
            if isinstance(event, Configure):
                self._controllers[front] = Controller(event.settings, event.seed)
                pending_events[front] = []
            elif isinstance(event, FrontTerminated):
                self._controllers.pop(front, None)
                pending_events.pop(front, None)
            elif front in self._controllers:
                pending_events.setdefault(front, []).append(event)
            else:
                raise WireError(f"batch {batch.number}: an event for front {front}, which has not started")
        parts = [(front, self._run(front, batch.now_ms, events)) for front, events in pending_events.items()]
        return encode_reply(batch.number, iter(parts))

    def _run(self, front: int, now_ms: float, events: list[Event]) -> bytes:
        try:
            actions = self._controllers[front].handle(now_ms, events)
            return b"".join(encode_action(action) for action in actions)
        except Exception as error:  # noqa: BLE001 - the protocol reports every failure of the decision code
            return encode_fault(f"{type(error).__name__}: {error}")


def _read_exactly(source: BinaryIO, size: int, description: str) -> bytes:
    data = source.read(size)
    if len(data) < size:
        raise WireError(f"{description}: input ended after {len(data)} of {size} bytes")
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Replies to frames until the input ends at a frame boundary.

    Raises:
        WireError: The input violates the wire format or ends within a frame.
    """
    pool, decoder = ControllerPool(), Decoder()
    while first_byte := source.read(1):
        header = first_byte + _read_exactly(source, HEADER.size - 1, "frame header")
        record_count, length, now_ms, number = HEADER.unpack(header)
        if length < _HEADER_REST_BYTES:
            raise WireError(f"batch {number}: a length of {length} is too short for a header")
        body = _read_exactly(source, length - _HEADER_REST_BYTES, f"batch {number}")
        sink.write(pool.handle_batch(decoder.decode(record_count, now_ms, number, body)))
        sink.flush()


def main() -> int:
    """Serves standard input and output and returns the exit status."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"fernweir: {error}", file=sys.stderr)
        return _EXIT_WIRE_ERROR
    return _EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
