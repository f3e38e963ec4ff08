"""Writes the golden samples of everything outside the peers' protocol that crosses a wire or a disk.

The samples are written once, by the code before its identifiers are renamed; later code must read them to
the same values, write them again to the same bytes, and decide alike. Running this again with later code
proves nothing: it is kept to show how the samples came about. All seeds, keys and clocks are fixed.

    python -m bench.golden_state
"""

from __future__ import annotations

import gzip
import json
import struct
import tempfile
from functools import partial
from pathlib import Path
from typing import Any
from unittest import mock

import click

from bench.golden_state_samples import Sample, all_parts
from bench.golden_state_wire import WireStream
from fernweir.rehearsal import virtual
from fernweir.rehearsal.site import SitePlan
from fernweir.rehearsal.virtual import VirtualPlan, play
from tests.golden_decisions import (
    FOLDER,
    VIRTUAL_DAYS,
    answer_wire_stream,
    deterministic_secrets,
    digest,
    play_virtual_day,
    replay_front_day,
)
from tests.golden_formats import rewritten, value_of
from tests.golden_names import all_names

FRONT_DAY = VirtualPlan(seed=9, seconds=16.0, fronts=1, boxes=5, rate=5.0, settle=3.0, nasty=1.5)
FIRST_LINES = 40


def write_text(name: str, document: Any) -> None:
    """Stores a document as JSON, one indented item a line."""
    (FOLDER / name).write_text(json.dumps(document, indent=1, ensure_ascii=True) + "\n", encoding="ascii")


def write_compressed(name: str, data: bytes) -> None:
    """Stores bytes compressed, without a time stamp."""
    (FOLDER / name).write_bytes(gzip.compress(data, 9, mtime=0))


def wire_decisions() -> dict[str, Any]:
    """The stored stream of the simulator's wire, and what is kept of the answers."""
    stream = WireStream(3).play(400)
    write_compressed("wire_stream.gz", stream)
    answers = answer_wire_stream(stream)
    return {
        "stream_digest": digest(stream),
        "answers_digest": digest(answers),
        "answers_bytes": len(answers),
        "first_answers": first_frames(answers),
    }


def first_frames(answers: bytes) -> list[str]:
    """The first answer frames, in hex."""
    frames, at = [], 0
    while at < len(answers) and len(frames) < FIRST_LINES:
        (length,) = struct.unpack_from("<I", answers, at)
        frames.append(answers[at : at + 4 + length].hex())
        at += 4 + length
    return frames


def front_day() -> dict[str, Any]:
    """The stored record of one front's virtual day, and its actions."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "front.record"
        plan = partial(SitePlan, front_extra=f"record = {path}")
        with mock.patch.object(virtual, "SitePlan", plan), deterministic_secrets("front day"):
            result = play(FRONT_DAY)
        record = path.read_bytes()
    if result.broken:
        raise RuntimeError(f"the day broke a rule: {result.broken}")
    write_compressed("front_day.record.gz", record)
    actions = replay_front_day(record.decode().splitlines())
    write_compressed("front_day.actions.gz", "".join(f"{line}\n" for line in actions).encode())
    return {
        "record_digest": digest(record),
        "batches": len(actions),
        "actions_digest": digest("".join(f"{line}\n" for line in actions).encode()),
        "first_actions": [line for line in actions if line][:FIRST_LINES],
    }


def virtual_days() -> dict[str, Any]:
    """What is kept of each virtual day."""
    days = {}
    for name, plan in VIRTUAL_DAYS.items():
        result, wires = play_virtual_day(plan)
        days[name] = {
            "wires_and_actions": wires,
            "trace": result.digest,
            "answers": {str(status): count for status, count in result.answers.items()},
            "steps": result.steps,
        }
    return days


def stored_sample(sample: Sample) -> dict[str, Any]:
    """A sample as it is stored: name, format, bytes in hex, and the plain value."""
    value = sample.value if sample.data is None else value_of(sample.format, sample.data)
    data = sample.data if sample.data is not None else rewritten(sample.format, b"", value)
    assert data is not None
    return {"name": sample.name, "format": sample.format, "bytes": data.hex(), "value": value}


@click.command()
def main() -> None:
    """Write all samples into tests/golden/state."""
    FOLDER.mkdir(parents=True, exist_ok=True)
    decisions = {"wire": wire_decisions(), "front_day": front_day(), "virtual_days": virtual_days()}
    write_text("decisions.json", decisions)
    for part, samples in all_parts().items():
        write_text(f"{part}.json", [stored_sample(one) for one in samples])
    write_text("names.json", all_names())


if __name__ == "__main__":
    main()
