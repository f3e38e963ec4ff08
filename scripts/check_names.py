"""Refuses withdrawn names in finished packages.

`check_names.py [ROOT]` reads the finished packages from `[tool.fernweir.names]` of ROOT's pyproject.toml and
the withdrawn identifiers from its docs/glossary.md. It prints `file:line: word -> term` for each definition
that uses one, and exits with status 1 if there are any, or if a finished package does not exist.
"""

from __future__ import annotations

import sys
import tomllib
from collections.abc import Iterator
from pathlib import Path, PurePosixPath

from glossary import Definition, GlossaryError, Withdrawn, definitions, find_term, parse_glossary

VAGUE_METHOD_NAMES = {
    "said": "on_ and the event, or a property",
    "heard": "on_ and the event",
    "told": "on_ and the event",
    "take": "handle, or a verb with its object",
    "hear": "on_ and the event, or observe",
    "tell": "a verb with its object",
}


class ConfigurationError(ValueError):
    """The list of finished packages cannot be used."""


def check_source(glossary: list[Withdrawn], path: PurePosixPath, source: str) -> list[str]:
    """Returns a line for each definition of a module that uses a withdrawn name.

    Args:
        glossary: The withdrawn identifiers.
        path: The module, relative to the root of the project.
        source: Its text.
    """
    problems = _check_path(glossary, path)
    for definition in definitions(source):
        term = _replacement(glossary, definition, path)
        if term is not None:
            problems.append(f"{path}:{definition.line}: {definition.name} -> {term}")
    return problems


def _check_path(glossary: list[Withdrawn], path: PurePosixPath) -> list[str]:
    names = [*path.parts[:-1], path.stem]
    terms = [(name, find_term(glossary, name, path)) for name in names]
    return [f"{path}:1: {name} -> {term}" for name, term in terms if term is not None]


def _replacement(glossary: list[Withdrawn], definition: Definition, path: PurePosixPath) -> str | None:
    if definition.is_method and definition.name in VAGUE_METHOD_NAMES:
        return VAGUE_METHOD_NAMES[definition.name]
    return find_term(glossary, definition.name, path)


def finished_modules(root: Path) -> Iterator[Path]:
    """Yields the modules of the finished packages.

    Raises:
        ConfigurationError: The list is missing or names a path that does not exist.
    """
    settings = tomllib.loads((root / "pyproject.toml").read_text())
    try:
        finished = settings["tool"]["fernweir"]["names"]["finished"]
    except KeyError as error:
        raise ConfigurationError(f"pyproject.toml has no [tool.fernweir.names] finished: {error}") from error
    for name in finished:
        path = root / name
        if path.is_dir():
            yield from sorted(path.rglob("*.py"))
        elif path.is_file():
            yield path
        else:
            raise ConfigurationError(f"pyproject.toml names a finished package that does not exist: {name}")


def main(root: Path) -> int:
    """Checks the project at `root`, prints what is wrong and returns the exit status."""
    problems: list[str] = []
    try:
        glossary = parse_glossary((root / "docs/glossary.md").read_text())
        for path in finished_modules(root):
            relative = PurePosixPath(path.relative_to(root).as_posix())
            problems += check_source(glossary, relative, path.read_text())
    except (ConfigurationError, GlossaryError) as error:
        print(error, file=sys.stderr)
        return 1
    for problem in problems:
        print(problem)
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main(Path(sys.argv[1]) if len(sys.argv) > 1 else Path(__file__).resolve().parent.parent))
