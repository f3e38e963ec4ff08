"""Runs one case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run."""

from __future__ import annotations

import asyncio
import os
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from harness.record import Record

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
MAX_SECONDS = 110.0


class NotRunnableError(Exception):
    """Raised when a condition of the case does not hold, so that the rule cannot be judged."""


def run_case(folder: Path, scenario: Callable[[Record, bool], Awaitable[list[str]]]) -> None:
    """Runs a scenario and exits.

    Args:
        folder: The folder of the case, where the record is written.
        scenario: Gets the record and whether to apply the disruption. Returns the violations of the rule.
    """
    record = Record(folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write("case", f"disruption: {'yes' if has_trouble else 'no'}")

    async def limited() -> list[str]:
        async with asyncio.timeout(MAX_SECONDS):
            return await scenario(record, has_trouble)

    try:
        violations = asyncio.run(limited())
    except Exception:  # noqa: BLE001 - whatever happened, the rule was not judged
        record.write("case", "could not run: " + traceback.format_exc().strip().replace("\n", " | "))
        code = COULD_NOT_RUN
    else:
        for violation in violations:
            record.write("case", f"BROKEN: {violation}")
        code = BROKEN if violations else HELD
    record.write("case", f"exit code {code}")
    record.close()
    sys.exit(code)
