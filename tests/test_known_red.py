"""Tests that are known to fail: three at most, each by its whole id, and only these are left out."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
RED = "tests/test_it.py::test_of[a | b]"


@pytest.fixture
def root(tmp_path: Path) -> Path:
    """A project of its own with the real script of the tests, its tools replaced where they take long."""
    for name in ("scripts/test", "scripts/known_red.py", "tests/conftest.py"):
        (tmp_path / name).parent.mkdir(exist_ok=True)
        shutil.copy(ROOT / name, tmp_path / name)
    (tmp_path / "requirements-dev.txt").write_text("")
    (tmp_path / "tests/test_it.py").write_text(
        "import pytest\n"
        "@pytest.mark.parametrize('what', ['a | b', 'c'])\n"
        "def test_of(what): assert what == 'c'\n"
        "def test_x(): assert False\n"
        "def test_xy(): pass\n"
    )
    tools = tmp_path / ".venv-ci/bin"
    tools.mkdir(parents=True)
    for name in ("ruff", "mypy"):
        (tools / name).write_text("#!/bin/sh\n")
    (tools / "python").write_text(f'#!/bin/sh\n[ "$2" = pip ] || exec {sys.executable} "$@"\n')
    for tool in tools.iterdir():
        tool.chmod(0o755)
    return tmp_path


def run(root: Path, known: str | None) -> tuple[int, str]:
    if known is not None:
        (root / "KNOWN-RED.txt").write_text(known)
    done = subprocess.run(
        [root / "scripts/test", "-p", "no:cacheprovider"], capture_output=True, text=True, check=False
    )
    return done.returncode, done.stdout + done.stderr


def test_only_the_tests_named_are_left_out_and_they_are_printed(root: Path) -> None:
    code, said = run(root, f"{RED} | play 7 | lost | 29\ntests/test_it.py::test_x | play 8 | late | #30\n")
    assert code == 0 and "2 passed" in said
    assert f"known red, left out: {RED} (issue 29: lost; shown by play 7)" in said
    assert "known red, left out: tests/test_it.py::test_x (issue 30: late; shown by play 8)" in said


def test_without_the_file_every_test_counts(root: Path) -> None:
    code, said = run(root, None)
    assert code == 1 and "2 failed, 2 passed" in said and "known red" not in said


@pytest.mark.parametrize(
    ("known", "why"),
    [
        ("".join(f"tests/test_it.py::t{at} | c | a | 1\n" for at in range(4)), "line 4: 3 tests"),
        ("tests/test_it.py::test_x | a cause\n", "line 1 is not"),
        ("tests/test_it.py::test_x | a cause | 29\n", "line 1 is not"),
        (f"{RED} | play 7 | | 29\n", "line 1 is not"),
        (f"{RED} | | lost | 29\n", "line 1 is not"),
        (f"{RED} | play 7 | lost | soon\n", "line 1 is not"),
        ("tests/test_it.py | play 7 | lost | 29\n", "line 1 is not"),
        (f"{RED} | play 7 | lost | 29\n\n", "line 2 is not"),
        (f"# why\n{RED} | play 7 | lost | 29\n", "line 1 is not"),
        (f"{RED} | c | a | 1\n{RED} | c | b | 2\n", "line 2 names a test again"),
        ("tests/test_it.py::test_of | c | lost | 29\n", "no such test: tests/test_it.py::test_of"),
        ("tests/test_not.py::test_x | c | lost | 29\n", "no such test: tests/test_not.py::test_x"),
    ],
)  # fmt: skip
def test_a_file_that_is_wrong_fails_before_any_test_is_run(root: Path, known: str, why: str) -> None:
    code, said = run(root, known)
    assert code == 1 and f"KNOWN-RED.txt: {why}" in said and "passed" not in said
