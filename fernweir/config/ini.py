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

_MAX_SHOWN_VALUE = 60  # characters of a wrong value that a problem shows


class Section(BaseModel):
    """One section. A key is written as its field, or with hyphens in place of the underscores."""

    model_config = ConfigDict(
        extra="forbid",
        frozen=True,
        alias_generator=lambda name: name.replace("_", "-"),
        populate_by_name=True,
    )


@dataclass(frozen=True, slots=True)
class Problem:
    """One problem of a file; `line` is 0 if no line of the file causes it."""

    section: str
    key: str
    line: int
    text: str

    def __str__(self) -> str:
        location = f"line {self.line}: " if self.line else ""
        name = f"[{self.section}]" + (f" {self.key}" if self.key else "")
        return f"{location}{name}: {self.text}"


class ConfigError(Exception):
    """Settings cannot be used; `problems` has all reasons, in the order of their lines."""

    def __init__(self, path: str, problems: Iterable[Problem]) -> None:
        self.path = path
        self.problems = sorted(problems, key=lambda problem: (problem.line, problem.section, problem.key))
        super().__init__("\n".join(f"{path}: {problem}" for problem in self.problems))


class IniFile:
    """A parsed INI text with the line of each section and key.

    Args:
        text: The text.
        path: The name of the file in errors.

    Raises:
        ConfigError: The text cannot be parsed, or has a section or key twice.
    """

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
        """Returns the line of a key, else that of its section, else 0."""
        return self.lines.get((section, key)) or self.lines.get((section, ""), 0)


class _Parser(configparser.ConfigParser):
    """Records the lines of sections and keys while it parses; a second parser might disagree with it."""

    def __init__(self) -> None:
        # No file can have a section of this name, whose keys would apply to all others.
        super().__init__(interpolation=None, strict=True, default_section="\n")
        self.lines: dict[tuple[str, str], int] = {}
        self._line_number = 0

    def numbered(self, text: str) -> Iterator[str]:
        """Yields the lines of a text and records after each whether it began a section."""
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
        """Records the line of a key that is parsed, and returns the key unchanged."""
        if self._line_number:
            self.lines.setdefault((self.sections()[-1], optionstr), self._line_number)
        return optionstr


SectionT = TypeVar("SectionT", bound=Section)


class SectionReader:
    """Reads the sections of a file one by one and collects all problems.

    Attributes:
        file: The file.
        problems: The problems found so far.
    """

    def __init__(self, file: IniFile) -> None:
        self.file = file
        self.problems: list[Problem] = []
        self._read_names: set[str] = set()
        self._known_names: list[str] = []

    def read_section(self, name: str, schema: type[SectionT], *, required: bool = True) -> SectionT | None:
        """Reads a section.

        Args:
            name: Its name.
            schema: Its keys.
            required: Whether it must be there if one of its keys must.

        Returns:
            The section; None if it has problems, or is missing and required.
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
        """Reads all sections `prefix.NAME`; returns those without problems by NAME, in the file's order."""
        self._known_names.append(f"{prefix}.NAME")
        sections = {}
        for name in self.file.sections:
            if name.startswith(f"{prefix}."):
                section = self.read_section(name, schema)
                if section is not None:
                    sections[name.removeprefix(f"{prefix}.")] = section
        return sections

    def add_problem(self, section: str, key: str, text: str) -> None:
        """Adds a problem of a key, or of a section if the key is empty."""
        self.problems.append(Problem(section, key, self.file.line(section, key), text))

    def raise_problems(self) -> None:
        """Ends the reading.

        Raises:
            ConfigError: There are problems, or sections that nobody read.
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
        ConfigError: It cannot be read or parsed.
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
    """Returns the template with the known name that is most like a wrong one; empty if none is."""
    close = difflib.get_close_matches(name, known_names, 1)
    return template.format(close[0]) if close else ""
