"""Text that is safe for a terminal and has a known width.

Titles, reasons and logs come from others and must not send control sequences to the terminal.
"""

from __future__ import annotations

import time
import unicodedata
from collections.abc import Sequence

_WIDE_CLASSES = ("W", "F")
_SHADES = " .:-=+*#%@"


def clean(text: str) -> str:
    """Replaces control, format and unassigned characters by `<U+XXXX>`, so that they have no effect."""
    if text.isascii() and text.isprintable():
        return text
    return "".join(
        f"<U+{ord(char):04X}>" if unicodedata.category(char)[0] == "C" or char in "\u2028\u2029" else char
        for char in text
    )


def width(text: str) -> int:
    """Returns the number of columns that a terminal uses for the text."""
    if text.isascii():
        return len(text)
    return sum(
        0 if unicodedata.combining(char) else 2 if unicodedata.east_asian_width(char) in _WIDE_CLASSES else 1
        for char in text
    )


def fit(text: str, columns: int, *, right: bool = False) -> str:
    """Cleans the text and cuts it to `columns`, with a `~` at the end, or pads it with spaces."""
    text = clean(text)
    if width(text) > columns:
        while text and width(text) > columns - 1:
            text = text[:-1]
        text += "~" if columns else ""
    gap = " " * max(columns - width(text), 0)
    return gap + text if right else text + gap


def bar(ratio: float, columns: int) -> str:
    """Returns a bar `[###...]` for a ratio. A full bar is 100%; a ratio above that has a `!` at the end."""
    inner_width = max(columns - 2, 1)
    filled = min(round(max(ratio, 0.0) * inner_width), inner_width)
    body = "#" * filled + "." * (inner_width - filled)
    return f"[{body[:-1] + '!' if ratio > 1.0 else body}]"


def sparkline(values: Sequence[float], columns: int) -> str:
    """Returns the last values as shades, scaled to the largest of them."""
    recent = list(values)[-columns:]
    highest = max(recent, default=0.0)
    shades = [_SHADES[round(value / highest * (len(_SHADES) - 1))] if highest else " " for value in recent]
    return " " * (columns - len(recent)) + "".join(shades)


def clock(wall_ms: int) -> str:
    """Returns the UTC time of day of a wall time."""
    return time.strftime("%H:%M:%S", time.gmtime(wall_ms / 1000.0))


def row(cells: Sequence[str], columns: Sequence[int]) -> str:
    """Returns a table row of cells with fixed widths; a negative width aligns to the right."""
    parts = [fit(cell, abs(size), right=size < 0) for cell, size in zip(cells, columns, strict=True)]
    return " ".join(parts).rstrip()
