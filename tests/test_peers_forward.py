"""Requests carried to another front: one answer each, whatever becomes of the messages between the two."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from random import Random

import pytest

from fernweir.peers.base import Send
from fernweir.peers.forward.forwarder import Answered, Forwarder, ForwardRules, Wanted
from fernweir.peers.forward.messages import Carried, Carry

RULES = ForwardRules(spare=30.0, most=8, least_wait=20.0)


def carry(number: int, wait_ms: float = 1_000.0) -> Carry:
    return Carry(number, "ask", f"s{number}", "dash", "w", "lesson-0", "training", 4, "", wait_ms)


def test_an_answer_once_though_doubled_late_or_from_somebody_else() -> None:
    asker, owner = Forwarder(RULES), Forwarder(RULES)
    request = carry(asker.number())
    assert asker.ask(0.0, "b", request)
    (send,) = asker.take_effects()
    assert send == Send("b", request, reliable=True)
    for _ in range(3):
        owner.on_message(1.0, "a", request)
    assert owner.take_effects() == [Wanted("a", request)]  # carried out once
    owner.answer(2.0, "a", 1, Carried(1, "plays"))
    owner.answer(2.0, "a", 1, Carried(1, "refused"))  # a second end is none
    owner.on_message(3.0, "a", request)  # said again, as the first may have been lost
    assert owner.take_effects() == [Send("a", Carried(1, "plays"), reliable=True)] * 2
    asker.on_message(4.0, "c", Carried(1, "refused"))  # was not asked
    assert asker.take_effects() == []
    asker.on_message(5.0, "b", Carried(1, "plays"))
    asker.on_message(6.0, "b", Carried(1, "plays"))
    assert asker.take_effects() == [Answered(1, Carried(1, "plays"))]
    asker.tick(10_000.0)
    assert asker.take_effects() == [] and asker.next_deadline() is None and len(asker) == 0


def test_no_answer_in_time_a_dead_owner_and_too_many() -> None:
    asker = Forwarder(RULES)
    assert asker.ask(0.0, "b", carry(1, 500.0)) and asker.ask(0.0, "c", carry(2, 400.0))
    assert not asker.ask(0.0, "c", carry(3, 49.0))  # no time is left for a way there and back
    assert asker.next_deadline() == 370.0
    asker.take_effects()
    asker.tick(369.9)
    assert asker.take_effects() == []
    asker.tick(370.0)
    assert asker.take_effects() == [Answered(2, None)]
    asker.gone(380.0, "b")
    assert asker.take_effects() == [Answered(1, None)]
    asker.on_message(390.0, "b", Carried(1, "plays"))
    assert asker.take_effects() == [] and asker.next_deadline() is None
    for number in range(10, 18):
        assert asker.ask(400.0, "b", carry(number))
    assert not asker.ask(400.0, "b", carry(18)) and asker.turned_down == 2
    owner = Forwarder(RULES)
    for number in range(100):  # a peer that asks without end costs a bounded table
        owner.on_message(0.0, "a", carry(number))
    assert len(owner._in) == RULES.most
    owner.gone(1.0, "a")
    assert not owner._in


@dataclass
class _World:
    """Two desks, a network that loses, doubles and delays, and what a slow model expects of it."""

    dice: Random
    desks: dict[str, Forwarder] = field(default_factory=dict)
    wire: list[tuple[float, str, str, object]] = field(default_factory=list)
    ends: Counter[tuple[str, int]] = field(default_factory=Counter)
    done: Counter[tuple[str, str, int]] = field(default_factory=Counter)
    open: dict[tuple[str, int], float] = field(default_factory=dict)

    def drain(self, now: float) -> None:
        for name, desk in self.desks.items():
            for effect in desk.take_effects():
                if isinstance(effect, Send):
                    for _ in range(self.dice.choice((0, 1, 1, 1, 2))):
                        at = now + self.dice.choice((1.0, 5.0, 300.0, 2_000.0))
                        self.wire.append((at, name, str(effect.to), effect.message))
                elif isinstance(effect, Wanted):
                    self.done[name, effect.sender, effect.request.number] += 1
                    if self.dice.random() < 0.8:  # else the front never gets to it
                        answer = Carried(effect.request.number, "plays")
                        desk.answer(now, effect.sender, effect.request.number, answer)
                else:
                    assert isinstance(effect, Answered)
                    key = (name, effect.number)
                    self.ends[key] += 1
                    assert now <= self.open.pop(key) + 1.0  # in time, as the loop wakes


@pytest.mark.parametrize("seed", range(20))
def test_drawn_requests_end_once_and_in_time(seed: int) -> None:
    dice = Random(seed)
    world = _World(dice)
    world.desks = {name: Forwarder(ForwardRules(most=64)) for name in "ab"}
    asked: set[tuple[str, int]] = set()
    now = 0.0
    while now < 6_000.0:
        now += 1.0
        if now < 3_000.0 and dice.random() < 0.05:
            name = dice.choice("ab")
            desk, other = world.desks[name], "b" if name == "a" else "a"
            request = carry(desk.number(), dice.uniform(60.0, 900.0))
            if desk.ask(now, other, request):
                asked.add((name, request.number))
                world.open[name, request.number] = now + request.wait_ms - desk.rules.spare
        for one in [one for one in world.wire if one[0] <= now]:
            world.wire.remove(one)
            _, sender, to, message = one
            world.desks[to].on_message(now, sender, message)  # type: ignore[arg-type]
        for desk in world.desks.values():
            due = desk.next_deadline()
            if due is not None and due <= now:
                desk.tick(now)
        world.drain(now)
    assert set(world.ends) == asked and set(world.ends.values()) == {1}
    assert not world.done or max(world.done.values()) == 1  # nothing is carried out twice
    assert not world.open and all(len(desk) == 0 for desk in world.desks.values())
