"""Tests of the settings: all problems of a file are reported together, with section, key and line."""

from __future__ import annotations

from pathlib import Path

import pytest

from fernweir.config.front import load_front, parse_front
from fernweir.config.ini import ConfigError, IniFile
from fernweir.interface import Idempotency

EXAMPLE = Path(__file__).parent.parent / "docs" / "example-front.ini"


def problems(text: str) -> list[str]:
    with pytest.raises(ConfigError) as caught:
        parse_front(IniFile(text), Path())
    return [str(problem) for problem in caught.value.problems]


def test_the_example_is_valid() -> None:
    config = load_front(EXAMPLE)
    briefing = config.settings.classes[config.class_names["briefing"]]
    assert (briefing.latency_objective_ms, briefing.lowest_rung, briefing.idempotency) == (
        800.0,
        1,
        Idempotency.IDEMPOTENT,
    )
    assert config.settings.retry_budget is not None and config.settings.retry_budget.retry_ratio == 0.1
    assert config.settings.slow_start is not None and config.settings.slow_start.window_ms == 8000.0


def test_all_problems_are_reported_with_their_lines() -> None:
    text = EXAMPLE.read_text()
    lines = text.splitlines()
    changes = {
        "listen": "listen = nowhere",
        "ordinal": "ordinal = 9",
        "worths": "worths = 0.3, 0.2",
        "aim": "aim = 800",
        "drain-grace": "drain-grace = 1 kB/s",
        "attempts": "attempts = many",
        "silence": "silense = 3 s",
    }
    numbers = {}
    for index, line in enumerate(lines):
        key = line.partition("=")[0].strip()
        if key in changes and key not in numbers:
            lines[index], numbers[key] = changes[key], index + 1
    lines += ["[flet]", "x = 1"]
    found = "\n".join(problems("\n".join(lines)))
    for key, number in numbers.items():
        changed_key = changes[key].partition("=")[0].strip()
        if key not in ("ordinal",):
            assert f"line {number}: " in found and changed_key in found, (key, found)
    assert "meant silence?" in found and "[flet]: unknown section; meant [fleet]?" in found
    assert found.count("\n") >= len(changes) - 1


@pytest.mark.parametrize(
    ("text", "word"),
    [
        ("x = 1", "before the first section"),
        ("[front]\nname = a\nname = b", "given twice"),
        ("[front]\n[front]", "given twice"),
        ("[front]\nwhat", "can't be read"),
        ("", "at least one class"),
    ],
)
def test_invalid_files_are_rejected(text: str, word: str) -> None:
    assert word in "\n".join(problems(text))


@pytest.mark.parametrize(
    ("old", "new", "word"),
    [
        ("lowest-rung = 1", "lowest-rung = 5", "above the highest rung"),
        ("url = http://127.0.0.1:8200/boxes", "url = https://x/", "not an address"),
        ("fields = x0, x1", "fields = x0, x9", "unknown field x9"),
        ("racks = 2", "racks = 20", "more racks"),
        ("ordinal = 0", "ordinal = 2", "counts from 0"),
        ("budget-share = 10%", "budget-share = 110%", "less than or equal to 1"),
        ("probes = yes", "probes = maybe", "write yes or no"),
    ],
)
def test_invalid_values_are_rejected(old: str, new: str, word: str) -> None:
    text = EXAMPLE.read_text()
    assert old in text
    assert word in "\n".join(problems(text.replace(old, new, 1)))
