"""Waiting for conditions in tests on sockets: by what was seen, never by a fixed time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


async def until(condition: Callable[[], object], most_s: float = 20.0) -> None:
    """Lets the loop run until the condition holds; fails only after a time far beyond any real wait."""
    end = asyncio.get_running_loop().time() + most_s
    while not condition():
        assert asyncio.get_running_loop().time() < end, "the condition never came"
        await asyncio.sleep(0.002)
