"""Fuzzing for as long as asked: the targets of `tests/fuzzing`, each against its oracle.

    python -m bench.fuzz requests --minutes 5 --seed 1
    python -m bench.fuzz requests --minutes 5 --seed 1 --guided

Without `--guided` inputs are drawn from seeds, the same in every run. With it atheris (see
`requirements-fuzz.txt`) mutates them towards code not reached before; it starts from drawn ones. A finding is
shrunk and printed as a file for `tests/fuzz_kept`, which CI plays for ever.
"""

from __future__ import annotations

import json
import sys
import tempfile
import time
import traceback
from pathlib import Path

import click

from tests.fuzzing import ALL, Target, drawn, load, shrink

_FIRST = 200  # inputs to start a guided run from


def _report(name: str, target: Target, data: bytes, error: Exception) -> None:
    def fails(less: bytes) -> bool:
        try:
            target.check(less)
        except Exception as other:
            return type(other) is type(error)
        return False

    small = shrink(fails, data)
    traceback.print_exception(error)
    print(json.dumps({"target": name, "cause": str(error)[:300], "hex": small.hex()}, indent=1))


def _drawn(name: str, seconds: float, seed: int) -> None:
    target, end, at = load(name), time.monotonic() + seconds, seed * 1_000_000
    while time.monotonic() < end:
        data = drawn(name, target, at)
        try:
            target.check(data)
        except Exception as error:
            _report(name, target, data, error)
            raise SystemExit(1) from None
        at += 1
    print(f"{name}: {at - seed * 1_000_000} inputs from seed {seed}, nothing found")


def _guided(name: str, seconds: float, seed: int) -> None:
    import atheris

    with atheris.instrument_imports(include=["fernweir"]):
        target = load(name)

    def one(data: bytes) -> None:
        try:
            target.check(data)
        except Exception as error:
            _report(name, target, data, error)
            raise

    with tempfile.TemporaryDirectory() as folder:
        for at in range(_FIRST):
            (Path(folder) / f"{at:04d}").write_bytes(drawn(name, target, seed * 1_000_000 + at))
        how = [
            f"-max_total_time={int(seconds)}",
            f"-seed={seed}",
            "-max_len=4096",
            f"-artifact_prefix={folder}/",
        ]
        atheris.Setup([sys.argv[0], folder, *how], one)
        atheris.Fuzz()


@click.command()
@click.argument("target", type=click.Choice(ALL))
@click.option("--minutes", default=1.0, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--guided", is_flag=True, help="by coverage")
def main(target: str, minutes: float, seed: int, guided: bool) -> None:
    """Run until the time is over, or something is found."""
    (_guided if guided else _drawn)(target, minutes * 60.0, seed)


if __name__ == "__main__":
    main()
