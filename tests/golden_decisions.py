"""Plays recorded input to the decision code and gives what it decided in a form that names no Python class.

An action is written as the bytes that `fernweir.wire.encode_action` gives for it, in hex: a renamed class or
field doesn't change them, another decision does.
"""

from __future__ import annotations

import gzip
import hashlib
import io
import os
import random
import secrets
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from pathlib import Path
from unittest import mock

from fernweir.adapter import serve
from fernweir.controller import Controller
from fernweir.front.record import read_record
from fernweir.interface import Action, Event
from fernweir.rehearsal.loop import MemoryTransport
from fernweir.rehearsal.virtual import VirtualPlan, VirtualResult, play
from fernweir.wire import encode_action

FOLDER = Path(__file__).parent / "golden" / "state"
VIRTUAL_DAYS = {
    "two-fronts": VirtualPlan(seed=11, seconds=8.0, fronts=2, boxes=6, rate=2.0, settle=4.0),
    "three-fronts": VirtualPlan(seed=12, seconds=6.0, fronts=3, boxes=8, rate=2.0, nasty=1.5, settle=4.0),
}


def read_compressed(name: str) -> bytes:
    """The content of a stored file that is kept compressed."""
    return gzip.decompress((FOLDER / name).read_bytes())


def digest(data: bytes) -> str:
    """The digest under which long outputs are stored."""
    return hashlib.sha256(data).hexdigest()


def answer_wire_stream(stream: bytes) -> bytes:
    """Everything that the simulator adapter answers to a stream of frames."""
    sink = io.BytesIO()
    serve(io.BytesIO(stream), sink)
    return sink.getvalue()


def action_line(actions: Iterable[Action]) -> str:
    """The actions of one batch as one line."""
    return " ".join(encode_action(action).hex() for action in actions)


def replay_front_day(lines: Iterable[str]) -> list[str]:
    """The actions of a fresh controller for each batch of a front's record, one line a batch."""
    settings, seed, batches = read_record(lines)
    controller = Controller(settings, seed)
    return [action_line(controller.handle(now, events)) for now, events, _ in batches]


@contextmanager
def deterministic_secrets(seed: str) -> Iterator[None]:
    """Replaces the operating system's random source, from which keys and nonces come, by a seeded one."""
    source = random.Random(seed)

    def token_bytes(count: int | None = None) -> bytes:
        return source.randbytes(32 if count is None else count)

    def token_hex(count: int | None = None) -> str:
        return token_bytes(count).hex()

    with (
        mock.patch.object(secrets, "token_bytes", token_bytes),
        mock.patch.object(secrets, "token_hex", token_hex),
        mock.patch.object(os, "urandom", token_bytes),
    ):
        yield


def play_virtual_day(plan: VirtualPlan) -> tuple[VirtualResult, str]:
    """A day on virtual time, with a digest over all bytes on its wires and all actions, in their order."""
    seen = hashlib.sha256()
    write, handle = MemoryTransport.write, Controller.handle

    def recorded_write(transport: MemoryTransport, data: bytes) -> None:
        seen.update(b"wire %d " % len(data) + bytes(data))
        write(transport, data)

    def recorded_handle(controller: Controller, now: float, events: list[Event]) -> list[Action]:
        actions = handle(controller, now, events)
        seen.update(f"actions {action_line(actions)} ".encode())
        return actions

    with (
        deterministic_secrets(f"virtual day {plan.seed}"),
        mock.patch.object(MemoryTransport, "write", recorded_write),
        mock.patch.object(Controller, "handle", recorded_handle),
    ):
        result = play(plan)
    return result, seen.hexdigest()
