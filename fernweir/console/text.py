"""Text that is safe and has a known width: what titles, reasons and logs say must never steer a terminal."""

from __future__ import annotations

import time
import unicodedata
from collections.abc import Sequence

_WIDE = ("W", "F")
_SHADES = " .:-=+*#%@"


def clean(text: str) -> str:
    """Control, format and unassigned characters are shown as `<U+XXXX>`, so that they do nothing."""
    if text.isascii() and text.isprintable():
        return text
    return "".join(
        f"<U+{ord(char):04X}>" if unicodedata.category(char)[0] == "C" or char in "\u2028\u2029" else char
        for char in text
    )


def width(text: str) -> int:
    """Columns that a terminal gives it."""
    if text.isascii():
        return len(text)
    return sum(
        0 if unicodedata.combining(char) else 2 if unicodedata.east_asian_width(char) in _WIDE else 1
        for char in text
    )


def fit(text: str, columns: int, *, right: bool = False) -> str:
    """Cleaned, cut to `columns` with a `~` at the end, or filled up with spaces."""
    text = clean(text)
    if width(text) > columns:
        while text and width(text) > columns - 1:
            text = text[:-1]
        text += "~" if columns else ""
    gap = " " * max(columns - width(text), 0)
    return gap + text if right else text + gap


def bar(share: float, columns: int) -> str:
    """`[###...]`: full is 100%; what lies above it is marked at the end."""
    inner = max(columns - 2, 1)
    full = min(round(max(share, 0.0) * inner), inner)
    body = "#" * full + "." * (inner - full)
    return f"[{body[:-1] + '!' if share > 1.0 else body}]"


def sparkline(values: Sequence[float], columns: int) -> str:
    """The last values as shades, scaled to the largest of them."""
    shown = list(values)[-columns:]
    most = max(shown, default=0.0)
    shades = [_SHADES[round(value / most * (len(_SHADES) - 1))] if most else " " for value in shown]
    return " " * (columns - len(shown)) + "".join(shades)


def clock(wall_ms: int) -> str:
    return time.strftime("%H:%M:%S", time.gmtime(wall_ms / 1000.0))


def row(cells: Sequence[str], columns: Sequence[int]) -> str:
    """Cells at fixed columns; a negative one is set to the right."""
    parts = [fit(cell, abs(size), right=size < 0) for cell, size in zip(cells, columns, strict=True)]
    return " ".join(parts).rstrip()
