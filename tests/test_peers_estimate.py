"""Estimates: drawn days against plain dictionaries, the aims on a fixed load, hard cases, mistakes put in."""

from __future__ import annotations

import pytest

from tests import peers_estimate_day as days


@pytest.mark.parametrize("day", ["questions_day", "limits_day", "waves_day", "orders_day", "feedback_day"])
def test_drawn_days(day: str) -> None:
    count = {"questions_day": 10, "limits_day": 6, "feedback_day": 2}.get(day, 60)
    assert [(seed, wrong) for seed in range(count) if (wrong := getattr(days, day)(seed))] == []
