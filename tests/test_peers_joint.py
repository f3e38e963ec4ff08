"""Mistakes in the joint of the parts, each found by a drawn day or two of a whole fleet."""

from __future__ import annotations

import pytest

from tests.peers_mutants import Mutant
from tests.peers_mutants.joint import MUTANTS, find

QUICK = [mutant for mutant in MUTANTS if mutant.seeds <= 2]


@pytest.mark.parametrize("mutant", QUICK, ids=lambda mutant: mutant.name)
def test_drawn_days_find_the_mistake(mutant: Mutant) -> None:
    assert find(mutant)[0]
