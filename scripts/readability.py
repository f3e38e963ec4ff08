"""Prints counts of readability for each package, for the tables of before and after.

`readability.py [ROOT]` counts, in fernweir (its peers by subpackage), bench, scripts and tests: functions
over 40 lines and over 4 parameters, public items without docstring (test files left out, as ruff does), files
over 400 lines, `fmt: skip` comments, and definitions that use a withdrawn identifier of docs/glossary.md, in
finished packages or not.
"""

from __future__ import annotations

import ast
import io
import sys
import tokenize
from collections.abc import Iterator
from dataclasses import astuple, dataclass, fields
from pathlib import Path, PurePosixPath

from glossary import Withdrawn, definitions, find_term, parse_glossary

MAX_FUNCTION_LINES = 40
MAX_FILE_LINES = 400
MAX_PARAMETERS = 4
FOLDERS = ("fernweir", "bench", "scripts", "tests")

Function = ast.FunctionDef | ast.AsyncFunctionDef


@dataclass
class Counts:
    """What is counted in one package; the names of the fields head the columns."""

    files: int = 0
    lines: int = 0
    long_functions: int = 0
    many_parameters: int = 0
    undocumented: int = 0
    long_files: int = 0
    fmt_skips: int = 0
    withdrawn_names: int = 0

    def add(self, other: Counts) -> None:
        """Adds the counts of another file or package."""
        for field in fields(self):
            setattr(self, field.name, getattr(self, field.name) + getattr(other, field.name))


def count_file(glossary: list[Withdrawn], path: PurePosixPath, source: str) -> Counts:
    """Counts one module.

    Args:
        glossary: The withdrawn identifiers.
        path: The module, relative to the root of the project.
        source: Its text.
    """
    tree = ast.parse(source)
    functions = [node for node in ast.walk(tree) if isinstance(node, Function)]
    line_count = len(source.splitlines())
    names = [definition.name for definition in definitions(source)] + [path.stem]
    return Counts(
        files=1,
        lines=line_count,
        long_functions=sum(_line_count(function) > MAX_FUNCTION_LINES for function in functions),
        many_parameters=sum(_parameter_count(function) > MAX_PARAMETERS for function in functions),
        undocumented=0 if path.name.startswith("test_") else _count_undocumented(tree),
        long_files=int(line_count > MAX_FILE_LINES),
        fmt_skips=_count_fmt_skips(source),
        withdrawn_names=sum(find_term(glossary, name, path) is not None for name in names),
    )


def _line_count(function: Function) -> int:
    """The lines of a function from its `def` on, docstring included, decorators left out."""
    return (function.end_lineno or function.lineno) - function.lineno + 1


def _parameter_count(function: Function) -> int:
    """The parameters that a caller passes: neither `self` nor `cls`."""
    arguments = function.args
    positional = arguments.posonlyargs + arguments.args
    implicit = bool(positional) and positional[0].arg in {"self", "cls"}
    variadic = (arguments.vararg is not None) + (arguments.kwarg is not None)
    return len(positional) - implicit + len(arguments.kwonlyargs) + variadic


def _count_undocumented(tree: ast.Module) -> int:
    return sum(ast.get_docstring(item) is None for item in _public_items(tree))


def _public_items(tree: ast.Module) -> Iterator[ast.Module | ast.ClassDef | Function]:
    """The module, and its classes, functions and methods whose names don't begin with an underscore."""
    yield tree
    owners: list[ast.Module | ast.ClassDef] = [tree]
    while owners:
        for node in owners.pop().body:
            if not isinstance(node, ast.ClassDef | Function) or node.name.startswith("_"):
                continue
            yield node
            if isinstance(node, ast.ClassDef):
                owners.append(node)


def _count_fmt_skips(source: str) -> int:
    """Comments only: a text may speak of `fmt: skip`."""
    tokens = tokenize.generate_tokens(io.StringIO(source).readline)
    return sum(token.type == tokenize.COMMENT and "fmt: skip" in token.string for token in tokens)


def package_of(path: PurePosixPath) -> str:
    """The package under which a module is counted."""
    depth = 3 if path.parts[:2] == ("fernweir", "peers") else 2
    folder = path.parent.parts[:depth]
    return str(path) if folder == ("fernweir",) else "/".join(folder)


def count_project(root: Path) -> dict[str, Counts]:
    """Counts every package of the project at `root`."""
    glossary = parse_glossary((root / "docs/glossary.md").read_text())
    packages: dict[str, Counts] = {}
    for folder in FOLDERS:
        for path in sorted((root / folder).rglob("*.py")):
            relative = PurePosixPath(path.relative_to(root).as_posix())
            counts = count_file(glossary, relative, path.read_text())
            packages.setdefault(package_of(relative), Counts()).add(counts)
    return packages


def format_table(packages: dict[str, Counts]) -> str:
    """Formats the counts as a Markdown table; its last row is the total."""
    total = Counts()
    for counts in packages.values():
        total.add(counts)
    columns = [field.name.replace("_", " ") for field in fields(Counts)]
    rows = [["package", *columns], ["---", *["---:"] * len(columns)]]
    for name, counts in [*packages.items(), ("total", total)]:
        rows.append([name, *map(str, astuple(counts))])
    return "\n".join(f"| {' | '.join(row)} |" for row in rows)


if __name__ == "__main__":
    print(
        format_table(count_project(Path(sys.argv[1]) if len(sys.argv) > 1 else Path(__file__).parent.parent))
    )
