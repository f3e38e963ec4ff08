"""The same verdict every time: Hypothesis draws the same examples in every run. `--fuzz` draws new ones."""

from __future__ import annotations

import pytest
from hypothesis import settings

settings.register_profile("same", derandomize=True, deadline=None, database=None)
settings.register_profile("fuzz", deadline=None, database=None, max_examples=2000)


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption("--leave-out", action="append", default=[], help="leaves out the test of just this id")
    parser.addoption("--fuzz", action="store_true", help="draw new examples, and more of them")


def pytest_configure(config: pytest.Config) -> None:
    settings.load_profile("fuzz" if config.getoption("--fuzz") else "same")


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    # Not pytest's --deselect, which leaves out whatever begins like an id.
    ids = set(config.getoption("--leave-out"))
    left_out = [one for one in items if one.nodeid in ids]
    if left_out:
        items[:] = [one for one in items if one.nodeid not in ids]
        config.hook.pytest_deselected(items=left_out)
