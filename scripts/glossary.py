"""Reads docs/glossary.md and finds withdrawn identifiers in the definitions of a Python module.

Used by check_names.py, which refuses them in finished packages, and by readability.py, which counts them.
"""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from pathlib import PurePosixPath
from typing import NamedTuple

_COLUMNS = 4
_IDENTIFIER_IN_BACKQUOTES = re.compile(r"`([^`]*)`")
_WITHDRAWN_SYNTAX = re.compile(r"(?P<name>[A-Za-z_]\w*)(?:@(?P<paths>[\w./]+(?:,[\w./]+)*))?")
_SEPARATOR_CELL = re.compile(r":?-+:?")


class GlossaryError(ValueError):
    """A row of the glossary cannot be read; the message names its line."""


class Withdrawn(NamedTuple):
    """An identifier that is replaced by a term.

    Attributes:
        name: The identifier without leading underscores.
        paths: Files or packages to which the withdrawal is limited; empty for the whole project.
        term: What replaces it.
    """

    name: str
    paths: tuple[PurePosixPath, ...]
    term: str


class Definition(NamedTuple):
    """A place that gives a name to something."""

    line: int
    name: str
    is_method: bool = False


def parse_glossary(text: str) -> list[Withdrawn]:
    """Reads the withdrawn identifiers from the four-column tables of the glossary.

    Args:
        text: The page in Markdown.

    Raises:
        GlossaryError: A row of a table has another number of columns, or a withdrawn identifier is malformed.
    """
    found: list[Withdrawn] = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.startswith("|"):
            continue
        cells = [cell.strip() for cell in line.strip().strip("|").split("|")]
        if len(cells) != _COLUMNS:
            raise GlossaryError(f"line {number} has {len(cells)} columns instead of {_COLUMNS}: {line!r}")
        if cells[0] == "term" or all(_SEPARATOR_CELL.fullmatch(cell) for cell in cells):
            continue
        term = cells[0].replace("`", "")
        found += [
            _parse_withdrawn(item, term, number) for item in _IDENTIFIER_IN_BACKQUOTES.findall(cells[-1])
        ]
    return found


def _parse_withdrawn(item: str, term: str, line: int) -> Withdrawn:
    match = _WITHDRAWN_SYNTAX.fullmatch(item)
    if match is None:
        raise GlossaryError(f"line {line}: `{item}` is not an identifier, with or without @path")
    paths = tuple(PurePosixPath(path) for path in (match["paths"] or "").split(",") if path)
    return Withdrawn(match["name"].lstrip("_"), paths, term)


def find_term(glossary: list[Withdrawn], name: str, path: PurePosixPath) -> str | None:
    """Returns the term that replaces an identifier, or None if the identifier is not withdrawn there.

    Args:
        glossary: The withdrawn identifiers.
        name: The identifier as defined, leading underscores included.
        path: The module that defines it, relative to the root of the project.
    """
    stem = name.lstrip("_")
    best: tuple[int, str] | None = None
    for entry in glossary:
        if entry.name != stem:
            continue
        depth = _depth_of_scope(entry, path)
        if depth is not None and (best is None or depth > best[0]):
            best = depth, entry.term
    return best[1] if best else None


def _depth_of_scope(entry: Withdrawn, path: PurePosixPath) -> int | None:
    """How many parts of the path the entry's scope names; None if the path is out of scope."""
    if not entry.paths:
        return 0
    return max((len(scope.parts) for scope in entry.paths if path.is_relative_to(scope)), default=None)


def definitions(source: str) -> Iterator[Definition]:
    """Yields every name that a module's source defines: uses of names defined elsewhere are none.

    Raises:
        SyntaxError: The source is not Python.
    """
    tree = ast.parse(source)
    methods = {
        member
        for node in ast.walk(tree)
        if isinstance(node, ast.ClassDef)
        for member in node.body
        if isinstance(member, ast.FunctionDef | ast.AsyncFunctionDef)
    }
    for node in ast.walk(tree):
        for name in _names_defined_by(node):
            line: int = getattr(node, "lineno", 1)
            yield Definition(line, name, is_method=node in methods)


def _names_defined_by(node: ast.AST) -> list[str]:
    """The names that one node of the syntax tree defines, those of its children left out."""
    match node:
        case ast.ClassDef(name=name) | ast.FunctionDef(name=name) | ast.AsyncFunctionDef(name=name):
            return [name]
        case ast.arg(arg=name) | ast.Name(id=name, ctx=ast.Store()):
            return [name]
        case ast.Attribute(value=ast.Name(id="self" | "cls"), attr=name, ctx=ast.Store()):
            return [name]
        case ast.alias(asname=str(name)) | ast.ExceptHandler(name=str(name)):
            return [name]
        case ast.MatchAs(name=str(name)) | ast.MatchStar(name=str(name)) | ast.MatchMapping(rest=str(name)):
            return [name]
    return []
