"""Reads an INI file into a schema and names everything that is wrong with it, in one go."""

from __future__ import annotations

import configparser
import difflib
import io
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

from pydantic import BaseModel, ConfigDict, ValidationError


class Section(BaseModel):
    """One section; keys are written with dashes, fields with underscores."""

    model_config = ConfigDict(
        extra="forbid",
        frozen=True,
        alias_generator=lambda name: name.replace("_", "-"),
        populate_by_name=True,
    )


@dataclass(frozen=True, slots=True)
class Problem:
    """One mistake. `line` is 0 where the file has none to point at."""

    section: str
    key: str
    line: int
    text: str

    def __str__(self) -> str:
        place = f"line {self.line}: " if self.line else ""
        name = f"[{self.section}]" + (f" {self.key}" if self.key else "")
        return f"{place}{name}: {self.text}"


class ConfigError(Exception):
    """The settings can't be used; `problems` has all of it."""

    def __init__(self, path: str, problems: Iterable[Problem]) -> None:
        self.path = path
        self.problems = sorted(problems, key=lambda one: (one.line, one.section, one.key))
        super().__init__("\n".join(f"{path}: {problem}" for problem in self.problems))


class IniFile:
    """An INI text with the line of each section and key. ConfigError if it can't be parsed at all."""

    def __init__(self, text: str, path: str = "settings") -> None:
        self.path = path
        parser = _Parser()
        try:
            parser.read_file(parser.numbered(text), path)
        except configparser.DuplicateOptionError as error:
            problem = Problem(error.section, error.option, error.lineno or 0, "given twice")
            raise ConfigError(path, [problem]) from None
        except configparser.DuplicateSectionError as error:
            raise ConfigError(path, [Problem(error.section, "", error.lineno or 0, "given twice")]) from None
        except configparser.MissingSectionHeaderError as error:
            raise ConfigError(
                path, [Problem("", "", error.lineno, "a line before the first section")]
            ) from None
        except configparser.ParsingError as error:
            lines = [Problem("", "", line, f"can't be read: {source}") for line, source in error.errors]
            raise ConfigError(path, lines) from None
        self.sections: dict[str, dict[str, str]] = {
            name: dict(parser.items(name)) for name in parser.sections()
        }
        self.lines = parser.lines

    def line(self, section: str, key: str = "") -> int:
        return self.lines.get((section, key)) or self.lines.get((section, ""), 0)


class _Parser(configparser.ConfigParser):
    """Notes where sections and keys stand as it reads them: a second reader might see it otherwise."""

    def __init__(self) -> None:
        # A section of that name, whose keys would hold in all others, can't be written.
        super().__init__(interpolation=None, strict=True, default_section="\n")
        self.lines: dict[tuple[str, str], int] = {}
        self._at = 0

    def numbered(self, text: str) -> Iterator[str]:
        """The lines; what was made of each is looked at before the next."""
        known = 0
        for number, line in enumerate(io.StringIO(text), 1):
            self._at = number
            yield line
            names = self.sections()
            if len(names) > known:
                known = len(names)
                self.lines[names[-1], ""] = number
        self._at = 0

    def optionxform(self, optionstr: str) -> str:
        """Called with each key as it is read; keys are taken as they are written."""
        if self._at:
            self.lines.setdefault((self.sections()[-1], optionstr), self._at)
        return optionstr


S = TypeVar("S", bound=Section)


class Reader:
    """Takes sections out of a file one by one and collects what is wrong on the way."""

    def __init__(self, file: IniFile) -> None:
        self.file = file
        self.problems: list[Problem] = []
        self._taken: set[str] = set()
        self._known: list[str] = []

    def take(self, name: str, schema: type[S], *, required: bool = True) -> S | None:
        """The section, or None if it is wrong, or missing though required."""
        self._known.append(name)
        values = self.file.sections.get(name)
        if values is None and required:
            needed = [field for field in schema.model_fields.values() if field.is_required()]
            if needed:
                self.problems.append(Problem(name, "", 0, "section is missing"))
                return None
        self._taken.add(name)
        try:
            return schema.model_validate(values or {})
        except ValidationError as error:
            keys = [str(field.alias or key) for key, field in schema.model_fields.items()]
            for one in error.errors():
                self._add(name, one, keys)
            return None

    def take_all(self, prefix: str, schema: type[S]) -> dict[str, S]:
        """All sections `prefix.NAME`, in the file's order."""
        self._known.append(f"{prefix}.NAME")
        found = {}
        for name in self.file.sections:
            if name.startswith(f"{prefix}."):
                section = self.take(name, schema)
                if section is not None:
                    found[name.removeprefix(f"{prefix}.")] = section
        return found

    def wrong(self, section: str, key: str, text: str) -> None:
        self.problems.append(Problem(section, key, self.file.line(section, key), text))

    def finish(self) -> None:
        """Raises ConfigError if anything was wrong, or a section is of no use."""
        for name in self.file.sections:
            if name not in self._taken:
                close = difflib.get_close_matches(name, self._known, 1)
                hint = f"; meant [{close[0]}]?" if close else ""
                self.problems.append(Problem(name, "", self.file.line(name), f"unknown section{hint}"))
        if self.problems:
            raise ConfigError(self.file.path, self.problems)

    def _add(self, section: str, error: Any, keys: list[str]) -> None:
        key = str(error["loc"][0]) if error["loc"] else ""
        if error["type"] == "extra_forbidden":
            close = difflib.get_close_matches(key, keys, 1)
            text = "unknown key" + (f"; meant {close[0]}?" if close else "")
        elif error["type"] == "missing":
            text = "is missing"
        else:
            text = str(error["msg"]).removeprefix("Value error, ")
            text = text[0].lower() + text[1:]
            if isinstance(error.get("input"), str):
                text += f" (is {error['input'][:60]!r})"
        line = self.file.line(section, key)
        self.problems.append(Problem(section, key, line, text))


def read_file(path: Path) -> IniFile:
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise ConfigError(str(path), [Problem("", "", 0, f"can't be read: {error.strerror}")]) from None
    except UnicodeDecodeError as error:
        raise ConfigError(str(path), [Problem("", "", 0, f"is not UTF-8 at byte {error.start}")]) from None
    return IniFile(text, str(path))
