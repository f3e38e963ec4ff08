"""Changes to a part of a peer must go through `Parts.touch`; else its timers and effects are missed."""

from __future__ import annotations

from dataclasses import replace
from typing import ClassVar

import pytest

from fernweir.peers import peer
from fernweir.peers.base import Effect, Part
from fernweir.peers.channel_manager import ChannelManager
from fernweir.peers.parts import Parts
from fernweir.peers.straggler_control import StragglerControl
from fernweir.rehearsal.fleet.plan import FleetPlan
from fernweir.rehearsal.fleet.schedule import Fault, Kind
from fernweir.rehearsal.fleet.virtual import play

DAY = FleetPlan(seconds=6.0, rate=6.0, play_s=(1.0, 4.0), settle_s=2.0)
KILL, LOSS = Fault(2.0, 3.0, Kind.KILL, on=1), Fault(1.0, 2.0, Kind.LOSS, strength=0.3)


class CheckedParts(Parts):
    """Checks all parts at each call, and records those that changed without a touch."""

    check_count = 0
    missed_changes: ClassVar[list[str]] = []

    def next_deadline(self) -> float | None:
        first = super().next_deadline()
        CheckedParts.check_count += 1
        for part in self._all:
            if part.next_deadline() != self._deadlines.get(part):
                CheckedParts.missed_changes.append(f"{type(part).__name__} is due at another time")
        return first

    def take_effects(self) -> list[Effect]:
        untouched = [part for part in self._all if not self.may_have_effects(part)]
        effects = super().take_effects()
        for part in untouched:
            if part.take_effects() or _effects_inside(part):
                CheckedParts.missed_changes.append(f"{type(part).__name__} had effects")
        return effects


def _effects_inside(part: Part) -> list[Effect]:
    if isinstance(part, ChannelManager):
        return part.replica.take_effects() + part.handoff.take_effects()
    return part.stragglers.take_effects() if isinstance(part, StragglerControl) else []


def missed_changes(plan: FleetPlan) -> list[str]:
    CheckedParts.check_count, CheckedParts.missed_changes = 0, []
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(peer, "Parts", CheckedParts)
        assert play(plan).broken == []
    assert CheckedParts.check_count > 1_000
    return CheckedParts.missed_changes


@pytest.mark.parametrize("seed", range(1, 5))
def test_no_part_changes_untouched(seed: int) -> None:
    assert missed_changes(replace(DAY, seed=seed)) == []


def test_no_part_changes_untouched_where_a_front_is_killed_and_messages_are_lost() -> None:
    assert missed_changes(replace(DAY, seed=9, rate=12.0, faults=(LOSS, KILL))) == []


@pytest.mark.parametrize("untouched", ["channelmanager", "auditrecorder", "facts", "directory"])
def test_a_missing_touch_is_detected(untouched: str, monkeypatch: pytest.MonkeyPatch) -> None:
    real = Parts.touch

    def touch(self: Parts, part: Part) -> Part:
        if type(part).__name__.lower() != untouched:
            return real(self, part)
        self._may_have_effects.add(part)  # its effects are taken, its deadline is not updated
        return part

    monkeypatch.setattr(CheckedParts, "touch", touch)
    CheckedParts.check_count, CheckedParts.missed_changes = 0, []
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(peer, "Parts", CheckedParts)
        play(replace(DAY, seed=1, seconds=2.0))
    assert CheckedParts.missed_changes
