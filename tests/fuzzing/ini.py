"""INI texts against a slow reader: sections, keys, values, and the line where each of them stands.

As the standard library's format has it: lines end with a line feed; a line that begins with `#` or `;` (after
white space) is a comment; a line indented deeper than its key goes on with that key's value; a key ends at
the first `=` or `:`. What can't be read, or comes twice, is a `ConfigError` and nothing else.
"""

from __future__ import annotations

from random import Random

from fernweir.config.ini import ConfigError, IniFile
from tests.fuzzing import Target, mutate, same

Sections = dict[str, dict[str, str]]
Places = dict[tuple[str, str], int]


def slow_read(text: str) -> tuple[Sections, Places] | None:
    """Sections, and where they and their keys stand; None if the text is none."""
    values: dict[str, dict[str, list[str]]] = {}
    places: Places = {}
    section: str | None = None
    key, depth, wrong = "", 0, False
    lines = text.split("\n")
    if lines[-1] == "":
        lines.pop()
    for number, line in enumerate(lines, 1):
        bare = line.strip()
        if bare[:1] in ("#", ";") or not bare:
            # An empty line may stand inside a value; a comment inside one says nothing.
            if not bare and section is not None and key:
                values[section][key].append("")
            continue
        indent = len(line) - len(line.lstrip())
        if section is not None and key and indent > depth:
            values[section][key].append(bare)
            continue
        depth = indent
        if bare[0] == "[" and "]" in bare[2:]:
            section, key = bare[1 : bare.rindex("]")], ""
            if section in values:
                return None
            values[section] = {}
            places[section, ""] = number
            continue
        if section is None:
            return None
        ends = [at for at in (bare.find("="), bare.find(":")) if at >= 0]
        key = bare[: min(ends)].strip() if ends else ""
        if not key:
            wrong = True
            continue
        if key in values[section]:
            return None
        values[section][key] = [bare[min(ends) + 1 :].strip()]
        places[section, key] = number
    if wrong:
        return None
    return {
        name: {key: "\n".join(parts).rstrip() for key, parts in keys.items()} for name, keys in values.items()
    }, places


def check(data: bytes) -> None:
    text = data.decode("utf-8", "replace")
    slow = slow_read(text)
    try:
        file = IniFile(text)
    except ConfigError as error:
        same(None, slow and slow[0], text)
        same(bool(error.problems), True, text)
        return
    same(file.sections, slow and slow[0], text)
    assert slow is not None
    found = {(name, key): file.line(name, key) for name, keys in file.sections.items() for key in ("", *keys)}
    same(found, slow[1], text)


_WORDS = [
    b"\n", b"\n\n", b" ", b"\t", b"=", b":", b"[", b"]", b"#", b";", b"[a]\n", b"[a.b]\n", b"  [c]\n",
    b"k = v\n", b" l = w\n", b"\r\n", b"\r", b"\x0c", b"\xe2\x80\xa8", b"\x1c", b"\xc2\xa0", b"%(k)s",
    b"DEFAULT", b"\0", b"[a]b]\n", b"[] = 1\n", b"[x = 1\n", b"\xc2\x85", b"[\0]\n",
]  # fmt: skip


def draw(dice: Random) -> bytes:
    lines = []
    for one in range(dice.randrange(1, 5)):
        lines.append(dice.choice(["[s%d]", " [s%d]", "[s%d] ; note", "[s%d.x]"]) % one)
        for two in range(dice.randrange(4)):
            lines.append(
                dice.choice(["k%d = v", "k%d: v # w", "  k%d=", "# k%d = v", "k%d = a\n  b = c\n  [d]"]) % two
            )
            if dice.random() < 0.2:
                lines.append(dice.choice(["", "  more", "; c", "    = deep"]))
    text = "\n".join(lines).encode() + dice.choice([b"", b"\n"])
    return mutate(dice, text, _WORDS, 2)


TARGET = Target(check, draw)
