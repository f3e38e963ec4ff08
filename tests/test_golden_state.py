"""What was written and decided before identifiers were renamed: it must be read, written and decided alike.

The samples in `tests/golden/state` were written by `bench/golden_state.py`. A renamed class, attribute or
enum member passes; a changed tag, stored name, order or stored value fails.
"""

from __future__ import annotations

import json
import struct
from typing import Any

import pytest

from fernweir.front.record import replay
from tests.golden_decisions import (
    FOLDER,
    VIRTUAL_DAYS,
    answer_wire_stream,
    digest,
    play_virtual_day,
    read_compressed,
    replay_front_day,
)


def stored(name: str) -> Any:
    """A stored JSON document."""
    return json.loads((FOLDER / name).read_text(encoding="ascii"))


DECISIONS = stored("decisions.json")


# --- the same decisions ---


def test_the_stored_wire_stream_gets_the_same_answers_to_the_byte() -> None:
    kept = DECISIONS["wire"]
    stream = read_compressed("wire_stream.gz")
    assert digest(stream) == kept["stream_digest"]
    answers = answer_wire_stream(stream)
    frames, at = [], 0
    while len(frames) < len(kept["first_answers"]):
        (length,) = struct.unpack_from("<I", answers, at)
        frames.append(answers[at : at + 4 + length].hex())
        at += 4 + length
    assert frames == kept["first_answers"]
    assert (len(answers), digest(answers)) == (kept["answers_bytes"], kept["answers_digest"])


def test_the_recorded_front_day_is_decided_alike_to_the_byte() -> None:
    kept = DECISIONS["front_day"]
    record = read_compressed("front_day.record.gz")
    assert digest(record) == kept["record_digest"]
    actions = replay_front_day(record.decode().splitlines())
    assert actions == read_compressed("front_day.actions.gz").decode().splitlines()
    assert [line for line in actions if line][: len(kept["first_actions"])] == kept["first_actions"]
    assert digest("".join(f"{line}\n" for line in actions).encode()) == kept["actions_digest"]


def test_fernweir_replay_still_reads_and_confirms_the_recorded_front_day() -> None:
    lines = read_compressed("front_day.record.gz").decode().splitlines()
    assert replay(lines) == (DECISIONS["front_day"]["batches"], None)


def test_another_decision_in_the_record_is_found() -> None:
    lines = read_compressed("front_day.record.gz").decode().splitlines()
    place = next(number for number, line in enumerate(lines) if '"is":"Place"' in line)
    body = json.loads(lines[place])
    body["actions"][-1]["server"] = 99
    lines[place] = json.dumps(body)
    assert replay(lines)[1] is not None


@pytest.mark.parametrize("name", VIRTUAL_DAYS)
def test_a_virtual_day_passes_the_same_bytes_and_decides_alike(name: str) -> None:
    kept = DECISIONS["virtual_days"][name]
    result, wires = play_virtual_day(VIRTUAL_DAYS[name])
    assert not result.broken
    assert {str(status): count for status, count in result.answers.items()} == kept["answers"]
    assert (result.steps, result.digest, wires) == (kept["steps"], kept["trace"], kept["wires_and_actions"])
