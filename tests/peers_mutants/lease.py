"""Mistakes in leases."""

from __future__ import annotations

from tests.peers_mutants import Mutant

MUTANTS: list[Mutant] = []
