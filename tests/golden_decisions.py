"""Replays recorded input to the decision code and returns its actions in a form without Python class names.

An action is written as the hex bytes that `fernweir.wire.encode_action` returns for it. Renaming a class or
field does not change them; a different decision does.
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
    """Returns the content of a compressed golden file."""
    return gzip.decompress((FOLDER / name).read_bytes())


def digest(data: bytes) -> str:
    """Returns the digest that stands for a long output in the golden files."""
    return hashlib.sha256(data).hexdigest()


def answer_wire_stream(stream: bytes) -> bytes:
    """Returns all replies of the simulator adapter to a stream of frames."""
    sink = io.BytesIO()
    serve(io.BytesIO(stream), sink)
    return sink.getvalue()


def action_line(actions: Iterable[Action]) -> str:
    """Returns the actions of one batch as one line."""
    return " ".join(encode_action(action).hex() for action in actions)


def replay_front_day(lines: Iterable[str]) -> list[str]:
    """Returns the actions of a new controller for each batch of a front's record, one line per batch."""
    settings, seed, batches = read_record(lines)
    controller = Controller(settings, seed)
    return [action_line(controller.handle(now, events)) for now, events, _ in batches]


@contextmanager
def deterministic_secrets(seed: str) -> Iterator[None]:
    """Replaces the operating system's random source of keys and nonces by a seeded generator."""
    generator = random.Random(seed)

    def token_bytes(count: int | None = None) -> bytes:
        return generator.randbytes(32 if count is None else count)

    def token_hex(count: int | None = None) -> str:
        return token_bytes(count).hex()

    with (
        mock.patch.object(secrets, "token_bytes", token_bytes),
        mock.patch.object(secrets, "token_hex", token_hex),
        mock.patch.object(os, "urandom", token_bytes),
    ):
        yield


def play_virtual_day(plan: VirtualPlan) -> tuple[VirtualResult, str]:
    """Runs a virtual day; returns its result and a digest of all network bytes and actions, in order."""
    outputs = hashlib.sha256()
    write, handle = MemoryTransport.write, Controller.handle

    def recorded_write(transport: MemoryTransport, data: bytes) -> None:
        outputs.update(b"wire %d " % len(data) + bytes(data))
        write(transport, data)

    def recorded_handle(controller: Controller, now: float, events: list[Event]) -> list[Action]:
        actions = handle(controller, now, events)
        outputs.update(f"actions {action_line(actions)} ".encode())
        return actions

    with (
        deterministic_secrets(f"virtual day {plan.seed}"),
        mock.patch.object(MemoryTransport, "write", recorded_write),
        mock.patch.object(Controller, "handle", recorded_handle),
    ):
        result = play(plan)
    return result, outputs.hexdigest()
