"""Reads KNOWN-RED.txt: tests that are known to fail and left out, with the cause and the issue of each.

`known_red.py FILE` prints their ids, one a line, for `pytest --leave-out=ID`, and says on standard error
what is left out. Exit 1, with a line that names what is wrong, if there are over three, a line can't be read
(blank lines and comments are none that can), or a test doesn't exist.
"""

from __future__ import annotations

import re
import subprocess
import sys
from pathlib import Path
from typing import NamedTuple

MOST = 3
_FORM = "test-id | cause | issue"


class KnownRedError(ValueError):
    """The text says which line is wrong, and how."""


class Red(NamedTuple):
    test: str
    cause: str
    issue: int


def read(text: str) -> list[Red]:
    """The lines of the file."""
    found: list[Red] = []
    for place, line in enumerate(text.splitlines(), 1):
        # From the right: an id may hold a bar.
        parts = [part.strip() for part in line.rsplit("|", 2)]
        if len(parts) < 3 or not all(parts) or "::" not in parts[0] or not re.fullmatch(r"#?\d+", parts[2]):
            raise KnownRedError(f"line {place} is not `{_FORM}`: {line!r}")
        if place > MOST:
            raise KnownRedError(f"line {place}: {MOST} tests at most may be known to fail")
        red = Red(parts[0], parts[1], int(parts[2].lstrip("#")))
        if any(one.test == red.test for one in found):
            raise KnownRedError(f"line {place} names a test again: {red.test}")
        found.append(red)
    return found


def existing(root: Path, files: list[str]) -> set[str]:
    """Ids of all tests in these files."""
    there = [name for name in files if (root / name).is_file()]
    if not there:
        return set()
    command = [sys.executable, "-m", "pytest", "--collect-only", "-q", "-p", "no:cacheprovider", *there]
    done = subprocess.run(command, cwd=root, capture_output=True, text=True, check=False)
    return set(done.stdout.splitlines())


def main(path: Path) -> int:
    try:
        reds = read(path.read_text())
        known = existing(path.parent, sorted({one.test.partition("::")[0] for one in reds}))
        for one in reds:
            if one.test not in known:
                raise KnownRedError(f"no such test: {one.test}")
    except (KnownRedError, UnicodeDecodeError) as error:
        print(f"{path.name}: {error}", file=sys.stderr)
        return 1
    for one in reds:
        print(f"known red, left out: {one.test} (issue {one.issue}: {one.cause})", file=sys.stderr)
        print(one.test)
    return 0


if __name__ == "__main__":
    sys.exit(main(Path(sys.argv[1]).resolve()))
