"""Forwarded requests end exactly once, even if messages are lost, duplicated or delayed."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from random import Random

import pytest

from fernweir.peers.base import Send
from fernweir.peers.forward.forwarder import Forwarder, ForwardRules, RequestEnded, RequestReceived
from fernweir.peers.forward.messages import Carried, Carry

RULES = ForwardRules(reply_margin_ms=30.0, max_requests=8, min_wait_ms=20.0)


def carry(number: int, wait_ms: float = 1_000.0) -> Carry:
    return Carry(number, "ask", f"s{number}", "dash", "w", "lesson-0", "training", 4, "", wait_ms)


def test_a_request_ends_once_despite_duplicate_late_and_foreign_replies() -> None:
    asker, owner = Forwarder(RULES), Forwarder(RULES)
    request = carry(asker.next_number())
    assert asker.send_request(0.0, "b", request)
    (send,) = asker.take_effects()
    assert send == Send("b", request, reliable=True)
    for _ in range(3):
        owner.on_message(1.0, "a", request)
    assert owner.take_effects() == [RequestReceived("a", request)]  # executed once
    owner.send_reply(2.0, "a", 1, Carried(1, "plays"))
    owner.send_reply(2.0, "a", 1, Carried(1, "refused"))  # a second reply is ignored
    owner.on_message(3.0, "a", request)  # the reply is repeated, since it may have been lost
    assert owner.take_effects() == [Send("a", Carried(1, "plays"), reliable=True)] * 2
    asker.on_message(4.0, "c", Carried(1, "refused"))  # not the front that the request was sent to
    assert asker.take_effects() == []
    asker.on_message(5.0, "b", Carried(1, "plays"))
    asker.on_message(6.0, "b", Carried(1, "plays"))
    assert asker.take_effects() == [RequestEnded(1, Carried(1, "plays"))]
    asker.tick(10_000.0)
    assert asker.take_effects() == [] and asker.next_deadline() is None and len(asker) == 0


def test_timeout_dead_owner_and_bounded_tables() -> None:
    asker = Forwarder(RULES)
    assert asker.send_request(0.0, "b", carry(1, 500.0)) and asker.send_request(0.0, "c", carry(2, 400.0))
    assert not asker.send_request(0.0, "c", carry(3, 49.0))  # less than the minimum wait and the margin
    assert asker.next_deadline() == 370.0
    asker.take_effects()
    asker.tick(369.9)
    assert asker.take_effects() == []
    asker.tick(370.0)
    assert asker.take_effects() == [RequestEnded(2, None)]
    asker.on_front_gone(380.0, "b")
    assert asker.take_effects() == [RequestEnded(1, None)]
    asker.on_message(390.0, "b", Carried(1, "plays"))
    assert asker.take_effects() == [] and asker.next_deadline() is None
    for number in range(10, 18):
        assert asker.send_request(400.0, "b", carry(number))
    assert not asker.send_request(400.0, "b", carry(18)) and asker.rejected_count == 2
    owner = Forwarder(RULES)
    for number in range(100):  # the table of received requests is bounded
        owner.on_message(0.0, "a", carry(number))
    assert len(owner._received) == RULES.max_requests
    owner.on_front_gone(1.0, "a")
    assert not owner._received


@dataclass
class _World:
    """Two forwarders, a network that loses, duplicates and delays messages, and the expected results."""

    rng: Random
    forwarders: dict[str, Forwarder] = field(default_factory=dict)
    in_transit: list[tuple[float, str, str, object]] = field(default_factory=list)
    ends: Counter[tuple[str, int]] = field(default_factory=Counter)
    done: Counter[tuple[str, str, int]] = field(default_factory=Counter)
    open: dict[tuple[str, int], float] = field(default_factory=dict)

    def drain(self, now: float) -> None:
        for name, forwarder in self.forwarders.items():
            for effect in forwarder.take_effects():
                if isinstance(effect, Send):
                    for _ in range(self.rng.choice((0, 1, 1, 1, 2))):
                        at = now + self.rng.choice((1.0, 5.0, 300.0, 2_000.0))
                        self.in_transit.append((at, name, str(effect.to), effect.message))
                elif isinstance(effect, RequestReceived):
                    self.done[name, effect.sender, effect.request.number] += 1
                    if self.rng.random() < 0.8:  # else the front never executes it
                        answer = Carried(effect.request.number, "plays")
                        forwarder.send_reply(now, effect.sender, effect.request.number, answer)
                else:
                    assert isinstance(effect, RequestEnded)
                    key = (name, effect.number)
                    self.ends[key] += 1
                    assert now <= self.open.pop(key) + 1.0  # at the deadline, by the granularity of the loop


@pytest.mark.parametrize("seed", range(20))
def test_random_requests_end_once_and_in_time(seed: int) -> None:
    rng = Random(seed)
    world = _World(rng)
    world.forwarders = {name: Forwarder(ForwardRules(max_requests=64)) for name in "ab"}
    asked: set[tuple[str, int]] = set()
    now = 0.0
    while now < 6_000.0:
        now += 1.0
        if now < 3_000.0 and rng.random() < 0.05:
            name = rng.choice("ab")
            forwarder, other = world.forwarders[name], "b" if name == "a" else "a"
            request = carry(forwarder.next_number(), rng.uniform(60.0, 900.0))
            if forwarder.send_request(now, other, request):
                asked.add((name, request.number))
                world.open[name, request.number] = now + request.wait_ms - forwarder.rules.reply_margin_ms
        for one in [one for one in world.in_transit if one[0] <= now]:
            world.in_transit.remove(one)
            _, sender, to, message = one
            world.forwarders[to].on_message(now, sender, message)  # type: ignore[arg-type]
        for forwarder in world.forwarders.values():
            due = forwarder.next_deadline()
            if due is not None and due <= now:
                forwarder.tick(now)
        world.drain(now)
    assert set(world.ends) == asked and set(world.ends.values()) == {1}
    assert not world.done or max(world.done.values()) == 1  # no request is executed twice
    assert not world.open and all(len(forwarder) == 0 for forwarder in world.forwarders.values())
