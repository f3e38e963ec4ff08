"""Mistakes that somebody could make, put in on purpose: each must be found by the drawn tests of its part.

`Mutant` is a textual replacement in one file of the program. `broken(mutant)` loads the part's modules anew
with the replacement made, so that tests run against the mistake without touching the files.
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
    """`old` must stand exactly once in `file` (from the repository's root). `seeds` is how many may be tried.

    `faults` is the number of faults that must meet in one moment for the mistake to show.
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
            raise AssertionError(f"{self.name}: {text.count(self.old)} places in {self.file}, not one")
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
def broken(mutant: Mutant, *anew: str) -> Iterator[None]:
    """Inside, modules whose names begin with one of `anew` are imported afresh, one of them with the mistake.

    The test must import them inside (`importlib.import_module`), and drop them when it leaves.
    """
    kept = {name: module for name, module in sys.modules.items() if name.startswith(anew)}
    for name in kept:
        del sys.modules[name]
    finder = _Finder(mutant)
    sys.meta_path.insert(0, finder)
    importlib.invalidate_caches()
    try:
        yield
    finally:
        sys.meta_path.remove(finder)
        for name in [name for name in sys.modules if name.startswith(anew)]:
            del sys.modules[name]
        sys.modules.update(kept)
        for name, module in kept.items():  # a package has its modules as attributes, too
            parent, _, child = name.rpartition(".")
            if parent in sys.modules:
                setattr(sys.modules[parent], child, module)
