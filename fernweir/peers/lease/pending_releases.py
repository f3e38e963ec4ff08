"""Releases on their way: said again until every keeper heard them, or what they end has lapsed anyway."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from fernweir.peers.base import Outbox, Send
from fernweir.peers.lease.messages import Item, Release, Released
from fernweir.peers.lease.requests import Parting, cut
from fernweir.peers.lease.rules import KeeperSet, LeaseRules, everyone


class Partings:
    """Bounded by time: each lives for one lease at most."""

    def __init__(self, life: int, rules: LeaseRules, out: Outbox) -> None:
        self._life = life
        self._rules = rules
        self._out = out
        self._turn = 0
        self._out_now: dict[int, Parting] = {}

    def say(
        self, now: float, sets: Sequence[KeeperSet], items: Sequence[Item], to: str, for_ms: float
    ) -> None:
        for some in cut(items):
            self._turn += 1
            again_at = now + self._rules.again_ms
            parting = Parting(some, to, now + for_ms, again_at, everyone(sets))
            self._out_now[self._turn] = parting
            self._send(self._turn, parting)

    def released(self, keeper: str, message: Released) -> None:
        parting = self._out_now.get(message.turn)
        if parting is not None and keeper in parting.unheard:
            parting.unheard.remove(keeper)

    def tick(self, now: float) -> None:
        for turn, parting in list(self._out_now.items()):
            if now >= parting.ends_at or not parting.unheard:
                del self._out_now[turn]
            elif now >= parting.again_at:
                parting.again_at = now + self._rules.again_ms
                self._send(turn, parting)

    def dues(self) -> Iterator[float]:
        return (parting.again_at for parting in self._out_now.values() if parting.unheard)

    def _send(self, turn: int, parting: Parting) -> None:
        reserve_ms = self._rules.reserve_ms if parting.to else 0.0
        for keeper in parting.unheard:
            release = Release(self._life, turn, parting.items, parting.to, reserve_ms)
            self._out.add(Send(keeper, release))
