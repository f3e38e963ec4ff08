"""Each import contract of pyproject.toml fails when a module breaks it, seen on a copy of the package."""

from __future__ import annotations

import shutil
import subprocess
import sys
import tomllib
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
LINT_IMPORTS = Path(sys.executable).parent / "lint-imports"


@pytest.fixture(scope="module")
def project(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """A copy of the package and of its contracts."""
    root = tmp_path_factory.mktemp("project")
    shutil.copytree(ROOT / "fernweir", root / "fernweir", ignore=shutil.ignore_patterns("__pycache__"))
    shutil.copy(ROOT / "pyproject.toml", root)
    return root


@contextmanager
def added_line(path: Path, line: str) -> Iterator[None]:
    """Adds a line to the end of a file for the time of the block."""
    text = path.read_text()
    path.write_text(f"{text}\n{line}\n")
    try:
        yield
    finally:
        path.write_text(text)


def lint_imports(root: Path) -> tuple[int, str]:
    """Runs all contracts; returns the exit status and what was printed."""
    done = subprocess.run(
        [str(LINT_IMPORTS), "--no-logo"], cwd=root, capture_output=True, text=True, check=False
    )
    return done.returncode, done.stdout + done.stderr


def contracts(root: Path) -> dict[str, dict[str, object]]:
    """The contracts of a project by their ids."""
    settings = tomllib.loads((root / "pyproject.toml").read_text())
    return {contract["id"]: contract for contract in settings["tool"]["importlinter"]["contracts"]}


def test_the_package_keeps_all_contracts(project: Path) -> None:
    status, output = lint_imports(project)
    assert status == 0, output
    assert f"{len(contracts(project))} kept, 0 broken" in output


@pytest.mark.parametrize(
    ("contract", "module", "line"),
    [
        ("pure", "fernweir/interface.py", "import time"),
        ("pure", "fernweir/peers/wire/__init__.py", "from asyncio import sleep"),
        ("pure", "fernweir/peers/lease/__init__.py", "def now(): import socket"),
        ("pure", "fernweir/interface.py", "import fernweir.node.program"),
        ("peers-not-front", "fernweir/peers/lease/__init__.py", "import fernweir.front"),
        ("peers-not-front", "fernweir/interface.py", "import fernweir.front"),
        ("node-imports", "fernweir/node/__init__.py", "import fernweir.control"),
        ("node-imports", "fernweir/node/__init__.py", "import fernweir.front.program"),
        ("node-imports", "fernweir/node/__init__.py", "import fernweir.peers"),
        ("layers", "fernweir/appliance/__init__.py", "import fernweir.cli"),
        ("layers", "fernweir/node/__init__.py", "import fernweir.appliance"),
        ("layers", "fernweir/front/__init__.py", "import fernweir.node"),
        ("layers", "fernweir/interface.py", "import fernweir.front"),
    ],
)
def test_a_contract_fails_on_a_wrong_import(project: Path, contract: str, module: str, line: str) -> None:
    with added_line(project / module, line):
        status, output = lint_imports(project)
    assert status == 1
    assert f"{contracts(project)[contract]['name']} BROKEN" in output


def test_an_exception_that_is_no_longer_needed_fails(project: Path) -> None:
    settings = project / "pyproject.toml"
    text = settings.read_text()
    unneeded = "fernweir.peers -> fernweir.cli"
    try:
        settings.write_text(text.replace("ignore_imports = [", f'ignore_imports = [\n    "{unneeded}",', 1))
        status, output = lint_imports(project)
    finally:
        settings.write_text(text)
    assert status == 1
    assert f"No matches for ignored import {unneeded}" in output


def test_the_nodes_contract_names_every_other_package() -> None:
    here = {
        f"fernweir.{path.stem}"
        for path in (ROOT / "fernweir").iterdir()
        if path.suffix == ".py" or (path / "__init__.py").exists()
    }
    allowed = {"fernweir.__init__", "fernweir.controller", "fernweir.interface", "fernweir.node"}
    assert contracts(ROOT)["node-imports"]["forbidden_modules"] == sorted(here - allowed)
