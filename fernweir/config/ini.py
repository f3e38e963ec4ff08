"""Reads INI files into schemas and reports all problems of a file at once, each with its line."""

from __future__ import annotations

import configparser
import difflib
import io
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar

from pydantic import BaseModel, ConfigDict, ValidationError
from pydantic_core import ErrorDetails

_MAX_SHOWN_VALUE = 60  # characters of an invalid value that are shown in a problem


class Section(BaseModel):
    """Base class of section schemas. Keys have the names of the fields, with hyphens or underscores."""

    model_config = ConfigDict(
        extra="forbid",
        frozen=True,
        alias_generator=lambda name: name.replace("_", "-"),
        populate_by_name=True,
    )


@dataclass(frozen=True, slots=True)
class Problem:
    """A problem of a file; `line` is 0 if the problem does not belong to a line."""

    section: str
    key: str
    line: int
    text: str

    def __str__(self) -> str:
        location = f"line {self.line}: " if self.line else ""
        name = f"[{self.section}]" + (f" {self.key}" if self.key else "")
        return f"{location}{name}: {self.text}"


class ConfigError(Exception):
    """Raised when settings are not valid; `problems` contains all problems, ordered by line."""

    def __init__(self, path: str, problems: Iterable[Problem]) -> None:
        self.path = path
        self.problems = sorted(problems, key=lambda problem: (problem.line, problem.section, problem.key))
        super().__init__("\n".join(f"{path}: {problem}" for problem in self.problems))


class IniFile:
    """A parsed INI text, with the line number of each section and key.

    Args:
        text: The text.
        path: The name of the file in error messages.

    Raises:
        ConfigError: The text cannot be parsed, or contains a section or key twice.
    """

    def __init__(self, text: str, path: str = "settings") -> None:
        self.path = path
        parser = _Parser()
        try:
            parser.read_file(parser.numbered_lines(text), path)
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
            problems = [Problem("", "", line, f"can't be read: {source}") for line, source in error.errors]
            raise ConfigError(path, problems) from None
        self.sections: dict[str, dict[str, str]] = {
            name: dict(parser.items(name)) for name in parser.sections()
        }
        self.lines = parser.lines

    def line(self, section: str, key: str = "") -> int:
        """Returns the line number of a key, otherwise that of its section, otherwise 0."""
        return self.lines.get((section, key)) or self.lines.get((section, ""), 0)


class _Parser(configparser.ConfigParser):
    """A parser that records the lines of sections and keys.

    The lines are recorded during parsing because a second parser might interpret the text differently.
    """

    def __init__(self) -> None:
        # configparser copies the keys of its default section into all others. No file can contain a section
        # named "\n", so there is no default section.
        super().__init__(interpolation=None, strict=True, default_section="\n")
        self.lines: dict[tuple[str, str], int] = {}
        self._line_number = 0

    def numbered_lines(self, text: str) -> Iterator[str]:
        """Yields the lines of a text, and records the line number of each section that begins."""
        section_count = 0
        for number, line in enumerate(io.StringIO(text), 1):
            self._line_number = number
            yield line
            names = self.sections()
            if len(names) > section_count:
                section_count = len(names)
                self.lines[names[-1], ""] = number
        self._line_number = 0

    def optionxform(self, optionstr: str) -> str:
        """Records the line of the key that is being parsed, and returns the key unchanged."""
        if self._line_number:
            self.lines.setdefault((self.sections()[-1], optionstr), self._line_number)
        return optionstr


SectionT = TypeVar("SectionT", bound=Section)


class SectionReader:
    """Reads the sections of a file one by one and collects their problems.

    Attributes:
        file: The parsed file.
        problems: The problems that have been found so far.
    """

    def __init__(self, file: IniFile) -> None:
        self.file = file
        self.problems: list[Problem] = []
        self._read_names: set[str] = set()
        self._known_names: list[str] = []

    def read_section(self, name: str, schema: type[SectionT], *, required: bool = True) -> SectionT | None:
        """Reads a section.

        Args:
            name: The name of the section.
            schema: The schema of the section.
            required: Whether the section must be present if one of its keys is required.

        Returns:
            The section; None if it has problems, or if it is required and missing.
        """
        self._known_names.append(name)
        values = self.file.sections.get(name)
        if values is None and required and _has_required_keys(schema):
            self.problems.append(Problem(name, "", 0, "section is missing"))
            return None
        self._read_names.add(name)
        try:
            return schema.model_validate(values or {})
        except ValidationError as error:
            keys = [str(field.alias or key) for key, field in schema.model_fields.items()]
            for details in error.errors():
                self._add_validation_error(name, details, keys)
            return None

    def read_sections(self, prefix: str, schema: type[SectionT]) -> dict[str, SectionT]:
        """Reads all sections `prefix.NAME`; returns the valid ones by NAME, in the file's order."""
        self._known_names.append(f"{prefix}.NAME")
        sections = {}
        for name in self.file.sections:
            if name.startswith(f"{prefix}."):
                section = self.read_section(name, schema)
                if section is not None:
                    sections[name.removeprefix(f"{prefix}.")] = section
        return sections

    def add_problem(self, section: str, key: str, text: str) -> None:
        """Adds a problem of a key, or of the section if the key is empty."""
        self.problems.append(Problem(section, key, self.file.line(section, key), text))

    def raise_problems(self) -> None:
        """Raises the collected problems; called after all sections have been read.

        Raises:
            ConfigError: There are problems, or sections that were not read.
        """
        for name in self.file.sections:
            if name not in self._read_names:
                hint = _hint(name, self._known_names, "; meant [{}]?")
                self.add_problem(name, "", f"unknown section{hint}")
        if self.problems:
            raise ConfigError(self.file.path, self.problems)

    def _add_validation_error(self, section: str, details: ErrorDetails, keys: list[str]) -> None:
        key = str(details["loc"][0]) if details["loc"] else ""
        if details["type"] == "extra_forbidden":
            text = "unknown key" + _hint(key, keys, "; meant {}?")
        elif details["type"] == "missing":
            text = "is missing"
        else:
            message = details["msg"].removeprefix("Value error, ")
            text = message[0].lower() + message[1:]
            value = details.get("input")
            if isinstance(value, str):
                text += f" (is {value[:_MAX_SHOWN_VALUE]!r})"
        self.add_problem(section, key, text)


def read_file(path: Path) -> IniFile:
    """Reads an INI file.

    Raises:
        ConfigError: The file cannot be read or parsed.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise ConfigError(str(path), [Problem("", "", 0, f"can't be read: {error.strerror}")]) from None
    except UnicodeDecodeError as error:
        raise ConfigError(str(path), [Problem("", "", 0, f"is not UTF-8 at byte {error.start}")]) from None
    return IniFile(text, str(path))


def _has_required_keys(schema: type[Section]) -> bool:
    return any(field.is_required() for field in schema.model_fields.values())


def _hint(name: str, known_names: list[str], template: str) -> str:
    """Returns the template filled with the known name most similar to `name`; empty if none is similar."""
    close = difflib.get_close_matches(name, known_names, 1)
    return template.format(close[0]) if close else ""
