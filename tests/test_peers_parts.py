"""What is done to a part of the peers is done through `Parts.at`, else it would act late, or say nothing."""

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


class Watched(Parts):
    """Asks all parts each time, and tells where one that was not touched is another than it was."""

    looks = 0
    forgotten: ClassVar[list[str]] = []

    def next_deadline(self) -> float | None:
        first = super().next_deadline()
        Watched.looks += 1
        for part in self._all:
            if part.next_deadline() != self._dues.get(part):
                Watched.forgotten.append(f"{type(part).__name__} is due at another time")
        return first

    def take_effects(self) -> list[Effect]:
        untouched = [part for part in self._all if not self.gives(part)]
        effects = super().take_effects()
        for part in untouched:
            if part.take_effects() or _within(part):
                Watched.forgotten.append(f"{type(part).__name__} had effects")
        return effects


def _within(part: Part) -> list[Effect]:
    if isinstance(part, ChannelManager):
        return part.replica.take_effects() + part.handoff.take_effects()
    return part.stragglers.take_effects() if isinstance(part, StragglerControl) else []


def found(plan: FleetPlan) -> list[str]:
    Watched.looks, Watched.forgotten = 0, []
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(peer, "Parts", Watched)
        assert play(plan).broken == []
    assert Watched.looks > 1_000
    return Watched.forgotten


@pytest.mark.parametrize("seed", range(1, 5))
def test_no_part_changes_untouched(seed: int) -> None:
    assert found(replace(DAY, seed=seed)) == []


def test_no_part_changes_untouched_where_a_front_is_killed_and_messages_are_lost() -> None:
    assert found(replace(DAY, seed=9, rate=12.0, faults=(LOSS, KILL))) == []


@pytest.mark.parametrize("deaf", ["channelmanager", "auditrecorder", "facts", "directory"])
def test_a_touch_that_is_forgotten_is_found(deaf: str, monkeypatch: pytest.MonkeyPatch) -> None:
    real = Parts.at

    def at(self: Parts, part: Part) -> Part:
        if type(part).__name__.lower() != deaf:
            return real(self, part)
        self._giving.add(part)  # taken from, and never asked again when it is due
        return part

    monkeypatch.setattr(Watched, "at", at)
    Watched.looks, Watched.forgotten = 0, []
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(peer, "Parts", Watched)
        play(replace(DAY, seed=1, seconds=2.0))
    assert Watched.forgotten
