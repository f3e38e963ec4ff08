"""Every target against its oracle from fixed seeds; what was found before; mistakes put in on purpose.

`python -m bench.fuzz TARGET` goes on for as long as asked, by coverage too.
"""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from tests.fuzzing import ALL, Tape, drawn, found, load, shrink
from tests.peers_mutants import Mutant, broken
from tests.peers_mutants.fuzz import BY_TARGET

KEPT = sorted((Path(__file__).parent / "fuzz_kept").glob("*.json"))
SEEDS = {"bodies": 500, "ledger": 500, "journal": 60, "peer": 65, "seats": 200}


@pytest.mark.parametrize("name", ALL)
def test_program_and_oracle_agree(name: str) -> None:
    target = load(name)
    for seed in range(SEEDS.get(name, 1_000)):
        error = found(name, target, seed)
        if error is not None:
            raise AssertionError(f"{name} {seed}: {drawn(name, target, seed).hex()}") from error


@pytest.mark.parametrize("file", KEPT, ids=lambda file: file.stem)
def test_what_was_found_once(file: Path) -> None:
    kept = json.loads(file.read_text(encoding="utf-8"))
    load(kept["target"]).check(bytes.fromhex(kept["hex"]))


CASES = [(name, one) for name, mutants in BY_TARGET.items() for one in mutants]


@pytest.mark.parametrize(("name", "mutant"), CASES, ids=[f"{name}: {one.name}" for name, one in CASES])
def test_each_mistake_is_found(name: str, mutant: Mutant) -> None:
    with broken(mutant, ".".join(mutant.module.split(".")[:2]), "tests.fuzzing."):
        target = load(name)
        assert any(found(name, target, seed) for seed in range(mutant.seeds)), "nobody noticed"


def test_what_fails_is_made_short_and_still_fails() -> None:
    def fails(data: bytes) -> bool:
        tape = Tape(data)
        return sum(tape.below(10) == 7 for _ in range(len(data))) > 2

    assert shrink(fails, bytes(range(100))) in (b"\x07\x11\x1b", bytes([77, 87, 97]), bytes([7, 17, 27]))
    assert len(shrink(fails, bytes(range(200)))) == 3
