"""Pages name files and identifiers that exist."""

from __future__ import annotations

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
# CHANGELOG tells of old names, and results and measurements quote the commands of their time.
PAGES = sorted(
    page.relative_to(ROOT).as_posix()
    for page in (ROOT / "README.md", *(ROOT / "docs").glob("*.md"))
    if page.name not in ("measurements.md", "results.md")
)
_QUOTED = re.compile(r"`([^`\n]+)`")
_FILE = re.compile(r"(?:fernweir|docs|scripts|tests|bench|deploy)/[\w./-]+\.(?:py|md|ini|toml|svg)")
_IDENTIFIER = re.compile(r"[A-Z]\w*(?:\.\w+)?")


def quoted(page: str) -> set[str]:
    """The texts in backquotes of a page, without those of its code blocks."""
    text = re.sub(r"```.*?```", "", (ROOT / page).read_text(), flags=re.S)
    return set(_QUOTED.findall(text))


def defined_names() -> set[str]:
    """Classes, and methods as `Class.method`, of the package."""
    found: set[str] = set()
    for file in (ROOT / "fernweir").rglob("*.py"):
        for node in ast.walk(ast.parse(file.read_text())):
            if isinstance(node, ast.ClassDef):
                found.add(node.name)
                methods = (
                    item for item in node.body if isinstance(item, ast.FunctionDef | ast.AsyncFunctionDef)
                )
                found |= {f"{node.name}.{item.name}" for item in methods}
    return found


@pytest.mark.parametrize("page", PAGES)
def test_a_page_names_files_that_exist(page: str) -> None:
    named = {file for text in quoted(page) for file in _FILE.findall(text) if "NAME" not in file}
    assert [file for file in sorted(named) if not (ROOT / file).exists()] == []


def test_the_architecture_page_names_identifiers_that_exist() -> None:
    named = {text for text in quoted("docs/architecture.md") if _IDENTIFIER.fullmatch(text)}
    assert len(named) > 40
    known = defined_names() | {"SIGHUP", "SIGTERM"}
    assert sorted(named - known) == []


def test_an_unknown_file_and_identifier_are_found() -> None:
    assert _FILE.findall("fernweir/brain.py") == ["fernweir/brain.py"]
    assert not (ROOT / "fernweir/brain.py").exists()
    assert "SessionManager.request_session" in defined_names()
    assert "SessionManager.ask" not in defined_names()
