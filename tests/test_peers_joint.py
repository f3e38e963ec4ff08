"""Mutants of the code that connects the parts are detected by one or two simulated fleets each."""

from __future__ import annotations

import pytest

from tests.peers_mutants import Mutant
from tests.peers_mutants.joint import MUTANTS, find

QUICK = [mutant for mutant in MUTANTS if mutant.seeds <= 2]


@pytest.mark.parametrize("mutant", QUICK, ids=lambda mutant: mutant.name)
def test_simulated_fleets_detect_the_mutant(mutant: Mutant) -> None:
    assert find(mutant)[0]
