"""What a front knows and what it says of it: news heard and passed on. Shared by probes and repair."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from random import Random

from fernweir.peers.base import Address, Message, Outbox, Send
from fernweir.peers.members.awareness import Awareness
from fernweir.peers.members.events import Me
from fernweir.peers.members.gossip import Queue
from fernweir.peers.members.identity import Identity
from fernweir.peers.members.messages import Gossip, Record, State
from fernweir.peers.members.rules import MemberRules
from fernweir.peers.members.suspicion import Suspicions
from fernweir.peers.members.table import Member, Roster
from fernweir.peers.members.updates import News

_FARE = 160  # bytes of a message beside its news, at most about


class Voice:
    """`now` is set by whoever drives it; `suspect` is called for each suspicion that begins."""

    def __init__(self, me: Me, rules: MemberRules, dice: Random) -> None:
        self.now = 0.0
        self.rules = rules
        self.dice = dice
        self.out = Outbox()
        self.roster = Roster(me.name, rules.most)
        self.queue = Queue()
        self.suspicions = Suspicions(rules)
        self.awareness = Awareness(rules.doubt_most)
        self.news = News(me.name, self.roster, self.suspicions, self.queue, self.out.add)
        self.identity = Identity(me, rules, self.publish, self.out.add)
        self.suspect: Callable[[Record], None] = lambda record: None
        self._round: list[str] = []
        self._gossiped = -math.inf

    @property
    def own(self) -> Record:
        return self.identity.record

    def publish(self, record: Record) -> None:
        """The own record is new."""
        self.roster.put(self.now, record)
        self.queue.add(record)

    def hear(self, news: Sequence[Record], spread: bool = True) -> None:
        for record in news:
            if record.name != self.own.name:
                if self.news.hear(self.now, record, spread):
                    self.suspect(record)
                continue
            refuted = self.identity.refuted
            self.identity.hear(self.now, record)
            if self.identity.refuted > refuted:
                self.awareness.worse(1)

    def about(self, record: Record) -> Record | None:
        """What the one that sent its record must hear first: that it is not seen as it sees itself."""
        known = self.roster.known(record.name)
        if known is None or (known.state is State.ALIVE and known.life == record.life):
            return None if known is None or known.address == record.address else known
        return known

    def _repeats(self) -> int:
        return max(1, math.ceil(self.rules.repeats * (math.log2(len(self.roster.living) + 1) + 2.0)))

    def take_news(self, to: str, first: Record | None = None) -> tuple[Record, ...]:
        return self.queue.take(self.rules.datagram_bytes - _FARE, self._repeats(), to, first)

    def gossip_due(self) -> float:
        if not self.queue or not self.roster.living:
            return math.inf
        return self._gossiped + self.rules.gossip_every

    def spread(self, count: int) -> None:
        """To the next ones of a shuffled round: in a small fleet nobody is left out by bad luck."""
        self._gossiped = self.now
        for _ in range(min(count, len(self.roster.living))):
            member = self._next_to_tell()
            if news := self.take_news(member.name):
                self.send(member.address, Gossip(news))

    def _next_to_tell(self) -> Member:
        """There must be living others."""
        while True:
            if not self._round:
                self._round = list(self.roster.living)
                self.dice.shuffle(self._round)
            member = self.roster.rows.get(self._round.pop())
            if member is not None and member.record.living:
                return member

    def send(self, to: Address, message: Message, reliable: bool = False) -> None:
        self.out.add(Send(to, message, reliable))
