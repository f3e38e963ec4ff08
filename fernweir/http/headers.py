"""A header section: ordered and case-insensitive; repeated names are retained (RFC 9110, section 5)."""

from __future__ import annotations

from collections.abc import Iterable, Iterator


class Headers:
    """Field lines in the order received; names are lower case."""

    __slots__ = ("_lines",)

    def __init__(self, lines: Iterable[tuple[str, str]] = ()) -> None:
        self._lines = [(name.lower(), value) for name, value in lines]

    def get(self, name: str, default: str = "") -> str:
        """Returns the first value of a field, or `default`."""
        for key, value in self._lines:
            if key == name:
                return value
        return default

    def all(self, name: str) -> list[str]:
        return [value for key, value in self._lines if key == name]

    def tokens(self, name: str) -> list[str]:
        """Returns the members of a comma-separated field over all lines, in lower case (RFC 9110, 5.6.1)."""
        parts = (part.strip().lower() for value in self.all(name) for part in value.split(","))
        return [part for part in parts if part]

    def __contains__(self, name: object) -> bool:
        return any(key == name for key, _ in self._lines)

    def __iter__(self) -> Iterator[tuple[str, str]]:
        return iter(self._lines)

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Headers) and self._lines == other._lines

    def __repr__(self) -> str:
        return f"Headers({self._lines!r})"
