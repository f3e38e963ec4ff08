"""Writes the golden bytes of everything that fronts say to one another or keep of it.

Run once, at the last commit before the names in the code change:

    python -m bench.golden_peers

The files in tests/golden/peers are what `tests/test_golden_peers.py` compares later code with. Written anew
by changed code they would prove nothing, so files that are there are left alone, but with `--add` types and
formats without a sample are given one.
"""

from __future__ import annotations

import argparse
from collections.abc import Mapping, Sequence
from typing import Any

from tests import golden_peers as golden
from tests.golden_peers_formats import format_samples


def contents() -> dict[str, Sequence[Any] | Mapping[str, Any]]:
    """All files by name, made by the code as it is."""
    found: dict[str, Sequence[Any] | Mapping[str, Any]] = {
        part: samples() for part, samples in golden.files().items()
    }
    found[golden.LAYOUTS] = {name: golden.layout(kind) for name, kind in golden.TYPES.items()}
    found[golden.ENUM_VALUES] = {name: golden.enum_values(kind) for name, kind in golden.ENUMS.items()}
    found[golden.FORMATS] = format_samples()
    return found


def joined(stored: Any, made: Sequence[Any] | Mapping[str, Any]) -> Sequence[Any] | Mapping[str, Any]:
    """What is stored, unchanged, and of what is made that which has no entry yet."""
    if isinstance(made, Mapping):
        return {**made, **stored}
    known = {sample["type"] for sample in stored}
    return [*stored, *(sample for sample in made if sample["type"] not in known)]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--add", action="store_true", help="add samples of new types to the files")
    add = parser.parse_args().add
    golden.FOLDER.mkdir(parents=True, exist_ok=True)
    total = 0
    for part, made in contents().items():
        there = (golden.FOLDER / f"{part}.json").exists()
        if there and not add:
            print(f"{part}: is there, left alone")
            continue
        content = joined(golden.load(part), made) if there else made
        size = golden.save(part, content)
        total += size
        print(f"{part}: {len(content)} entries, {size} bytes")
    print(f"{total} bytes written")


if __name__ == "__main__":
    main()
