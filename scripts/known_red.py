"""Reads KNOWN-RED.txt: the tests that fail because of a known fault that is not fixed yet.

Each line has the id of a test, the command that shows the failure with its seed, what was seen, and the
issue. `known_red.py FILE` prints the ids, one a line, for `pytest --leave-out=ID`, and writes the entries to
standard error. It exits with 1 and an explanation if there are more than `MAX_ENTRIES`, if a line cannot be
parsed (blank lines and comments are not allowed), or if a test does not exist.
"""

from __future__ import annotations

import re
import subprocess
import sys
from pathlib import Path
from typing import NamedTuple

MAX_ENTRIES = 3
_SEPARATOR = "|"
_FORM = "test-id | command with seed | what was seen | issue"
_FIELD_COUNT = 4


class KnownRedError(ValueError):
    """Raised for a file that cannot be used. The message names the line and the mistake."""


class KnownRed(NamedTuple):
    """A test that is known to fail.

    Attributes:
        test: The complete id that pytest prints.
        command: The command that shows the failure, with its seed.
        seen: What was seen.
        issue: The number of the open issue.
    """

    test: str
    command: str
    seen: str
    issue: int


def parse_entries(text: str) -> list[KnownRed]:
    """Returns the entries of the file.

    Raises:
        KnownRedError: A line cannot be parsed, a test is named twice, or there are too many entries.
    """
    entries: list[KnownRed] = []
    for number, line in enumerate(text.splitlines(), 1):
        entry = _parse_entry(number, line)
        if number > MAX_ENTRIES:
            raise KnownRedError(f"line {number}: {MAX_ENTRIES} tests at most may be known to fail")
        if any(other.test == entry.test for other in entries):
            raise KnownRedError(f"line {number} names a test again: {entry.test}")
        entries.append(entry)
    return entries


def _parse_entry(number: int, line: str) -> KnownRed:
    # Split from the right, since the id of a test may contain the separator.
    fields = [field.strip() for field in line.rsplit(_SEPARATOR, _FIELD_COUNT - 1)]
    is_valid = len(fields) == _FIELD_COUNT and all(fields) and "::" in fields[0]
    if not is_valid or not re.fullmatch(r"#?\d+", fields[-1]):
        raise KnownRedError(f"line {number} is not `{_FORM}`: {line!r}")
    test, command, seen, issue = fields
    return KnownRed(test, command, seen, int(issue.lstrip("#")))


def collect_tests(root: Path, files: list[str]) -> set[str]:
    """Returns the ids of all tests in those files that exist."""
    existing = [name for name in files if (root / name).is_file()]
    if not existing:
        return set()
    command = [sys.executable, "-m", "pytest", "--collect-only", "-q", "-p", "no:cacheprovider", *existing]
    done = subprocess.run(command, cwd=root, capture_output=True, text=True, check=False)
    return set(done.stdout.splitlines())


def read_entries(path: Path) -> list[KnownRed]:
    """Returns the entries of a file whose tests all exist.

    Raises:
        KnownRedError: The file cannot be used.
    """
    try:
        entries = parse_entries(path.read_text())
    except UnicodeDecodeError as error:
        raise KnownRedError(str(error)) from None
    tests = collect_tests(path.parent, sorted({entry.test.partition("::")[0] for entry in entries}))
    for entry in entries:
        if entry.test not in tests:
            raise KnownRedError(f"no such test: {entry.test}")
    return entries


def main(path: Path) -> int:
    """Prints the entries of a file. Returns the exit code."""
    try:
        entries = read_entries(path)
    except KnownRedError as error:
        print(f"{path.name}: {error}", file=sys.stderr)
        return 1
    for entry in entries:
        details = f"issue {entry.issue}: {entry.seen}; shown by {entry.command}"
        print(f"known red, left out: {entry.test} ({details})", file=sys.stderr)
        print(entry.test)
    return 0


if __name__ == "__main__":
    sys.exit(main(Path(sys.argv[1]).resolve()))
