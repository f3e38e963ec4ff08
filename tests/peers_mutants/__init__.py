"""Mutants: deliberate mistakes, each of which the randomized tests of its part must find.

`Mutant` is a textual replacement in one file of the program. `broken(mutant)` imports the part's modules
again with the replacement, so that tests run against the mistake without a change to the files.
"""

from __future__ import annotations

import importlib
import importlib.abc
import importlib.machinery
import sys
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from types import ModuleType
from typing import Any

_ROOT = Path(__file__).resolve().parents[2]


@dataclass(frozen=True, slots=True)
class Mutant:
    """A replacement of `old`, which must occur exactly once in `file`, a path from the repository's root.

    `seeds` is the number of seeds that a test may try. `faults` is the number of faults that must coincide
    for the mistake to show.
    """

    name: str
    file: str
    old: str
    new: str
    seeds: int
    faults: int = 1

    @property
    def module(self) -> str:
        return self.file.removesuffix(".py").replace("/", ".")

    def source(self) -> str:
        text = (_ROOT / self.file).read_text(encoding="utf-8")
        if text.count(self.old) != 1:
            raise AssertionError(
                f"{self.name}: {self.file} has the replaced text {text.count(self.old)} times, not once"
            )
        return text.replace(self.old, self.new)


class _Loader(importlib.abc.SourceLoader):
    def __init__(self, mutant: Mutant) -> None:
        self._mutant = mutant

    def get_filename(self, fullname: str) -> str:
        return self._mutant.file

    def get_data(self, path: Any) -> bytes:
        return self._mutant.source().encode()


class _Finder(importlib.abc.MetaPathFinder):
    def __init__(self, mutant: Mutant) -> None:
        self._mutant = mutant

    def find_spec(
        self, fullname: str, path: Sequence[str] | None, target: ModuleType | None = None
    ) -> importlib.machinery.ModuleSpec | None:
        if fullname != self._mutant.module:
            return None
        return importlib.machinery.ModuleSpec(fullname, _Loader(self._mutant), origin=self._mutant.file)


@contextmanager
def broken(mutant: Mutant, *prefixes: str) -> Iterator[None]:
    """Imports the modules whose names begin with one of `prefixes` again, one of them with the mistake.

    The test must import them inside the context (`importlib.import_module`), and drop them when it leaves.
    """
    saved = {name: module for name, module in sys.modules.items() if name.startswith(prefixes)}
    for name in saved:
        del sys.modules[name]
    finder = _Finder(mutant)
    sys.meta_path.insert(0, finder)
    importlib.invalidate_caches()
    try:
        yield
    finally:
        sys.meta_path.remove(finder)
        for name in [name for name in sys.modules if name.startswith(prefixes)]:
            del sys.modules[name]
        sys.modules.update(saved)
        for name, module in saved.items():  # a package has its modules as attributes, too
            parent, _, child = name.rpartition(".")
            if parent in sys.modules:
                setattr(sys.modules[parent], child, module)
