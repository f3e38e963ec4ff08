"""Membership: who is alive, at which address, in which life. Free of I/O and clock.

SWIM (Das, Gupta, Motivala 2002): each period one member is probed, in a shuffled round; helpers probe it too
if it does not answer; who answers nobody is suspected, and declared dead unless it refutes. With Lifeguard's
refinements (Dadgar, Phillips, Currey 2018): suspicions shorten as others confirm them, a slow front doubts
itself, and a suspect is told first of all. A few fronts probe a suspect out of turn, so that confirmations
come soon in a fleet of any size, and before a death is declared the suspect is asked a last time.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from random import Random

from fernweir.peers.base import Address, Effect, Message, Outbox, Send
from fernweir.peers.members.awareness import Awareness
from fernweir.peers.members.events import Me
from fernweir.peers.members.gossip import Queue
from fernweir.peers.members.identity import Identity
from fernweir.peers.members.messages import Ack, Gossip, Nack, Ping, PingRequest, Record, Rows, State, Sync
from fernweir.peers.members.news import News
from fernweir.peers.members.probes import TRIES, Probe, Probes
from fernweir.peers.members.repair import Allowance, Lost, better, told
from fernweir.peers.members.rules import MemberRules
from fernweir.peers.members.suspicion import Suspicions
from fernweir.peers.members.table import Member, Roster

_FARE = 160  # bytes of a message beside its news, at most about


class Members:
    """A `base.Part`. All its messages go to addresses that members advertise, never to names.

    `dropped` counts messages whose sender is not whom they speak for; `displaced` is true while another
    living front has this name and the higher life: others do not see this one then, and it must not act.
    """

    def __init__(self, me: Me, rules: MemberRules, seed: int) -> None:
        self._rules = rules
        self._dice = Random(seed)
        self._out = Outbox()
        self._roster = Roster(me.name, rules.most)
        self._queue = Queue()
        self._suspicions = Suspicions(rules)
        self._awareness = Awareness(rules.doubt_most)
        self._probes = Probes(rules, self._dice)
        self._news = News(me.name, self._roster, self._suspicions, self._queue, self._out.add)
        self._identity = Identity(me, rules, self._publish, self._out.add)
        self._lost = Lost(self._dice)
        self._allowance = Allowance(rules.tables_a_second)
        self._round: list[str] = []
        self._told_round: list[str] = []
        self._now = 0.0
        self._in = False
        self._probe_at = self._sync_at = self._call_at = math.inf
        self._gossiped = 0.0
        self._doubted = -math.inf
        self._quiet_until = -math.inf
        self._due: float | None = None
        self.dropped = 0

    # --- what others ask ---

    @property
    def displaced(self) -> bool:
        return self._identity.displaced

    @property
    def doubt(self) -> int:
        """0 while this front trusts its own sight."""
        return self._awareness.score

    @property
    def refused(self) -> int:
        """Statements on unknown names for which the table had no room."""
        return self._news.refused

    def alive(self) -> list[str]:
        """Names believed alive, suspects and the own one included, sorted."""
        return sorted([*self._roster.living, self._identity.record.name])

    def address(self, name: str) -> Address | None:
        """What the member advertises, dead or alive; None if it is not known."""
        member = self._roster.rows.get(name)
        return member.address if member is not None else None

    def life(self, name: str) -> int:
        """The highest life known of that name; 0 if none is."""
        known = self._roster.known(name)
        return known.life if known is not None else 0

    def table(self) -> Mapping[str, Member]:
        """All members with oneself, and the dead for `forget`; at most `most`."""
        return self._roster.rows

    # --- coming and going ---

    def join(self, now: float, seeds: Sequence[Address]) -> None:
        """From now on this front is a member; seeds are called until another front is known."""
        self._now, self._gossiped, self._in = now, now, True
        self._lost.seeds = [address for address in seeds if address != self._identity.record.address]
        self._publish(self._identity.record)
        self._probe_at = now + self._dice.random() * self._rules.period
        self._sync_at = now + self._dice.random() * self._rules.sync_every
        self._call_at = now
        self._plan()

    def leave(self, now: float) -> None:
        """Says goodbye to some at once and to the rest as long as it is ticked; all else ends."""
        if not self._in:
            return
        self._now = now
        self._identity.leave()
        self._probes.clear()
        self._probe_at = self._sync_at = self._call_at = math.inf
        self._spread(2 * self._rules.fanout)
        self._plan()

    def stood(self, now: float, late_ms: float) -> None:
        """This process stood still: nothing that happened, or did not, says anything of others."""
        if self._in and late_ms > self._rules.late_after and self._doubted < now - late_ms:
            self._now = now
            self._doubt(late_ms)
            self._plan()

    def _doubt(self, late: float) -> None:
        now = self._now
        self._doubted = now
        self._awareness.worse(math.ceil(late / self._rules.period))
        self._probes.clear()
        self._suspicions.again(now)
        self._identity.stood(now)
        if self._identity.record.living:
            self._probe_at = now + self._rules.period
            self._sync_at = now

    def _awake(self, now: float) -> None:
        self._now = now
        if self._due is not None and now - self._due > self._rules.late_after:
            self._doubt(now - self._due)

    # --- a part's four ---

    def heard(self, now: float, sender: str, message: Message) -> None:
        if not self._in or not self._identity.record.living:
            return
        self._awake(now)
        if isinstance(message, Ping):
            self._heard_ping(sender, message)
        elif isinstance(message, Ack):
            self._heard_ack(sender, message)
        elif isinstance(message, PingRequest):
            self._heard_request(sender, message)
        elif isinstance(message, Nack):
            self._probes.nack(message.seq, sender)
        elif isinstance(message, Gossip):
            self._hear(message.news)
        elif isinstance(message, Sync):
            self._heard_sync(sender, message)
        elif isinstance(message, Rows):
            self._heard_rows(sender, message)
        self._plan()

    def tick(self, now: float) -> None:
        if not self._in:
            return
        self._awake(now)
        if self._identity.record.living:
            self._call()
            self._probe()
            self._step_probes()
            self._judge()
            self._compare()
            self._ask_rival()
        if self._gossip_due() <= now:
            self._spread(self._rules.fanout)
        self._plan()

    def next_due(self) -> float | None:
        return self._due

    def take(self) -> list[Effect]:
        return self._out.take()

    def _plan(self) -> None:
        due = min(self._probe_at, self._sync_at, self._call_at, self._gossip_due())
        if self._identity.record.living:
            due = min(due, self._probes.due(), self._suspicions.due(self._look_ms), self._identity.due())
        self._due = max(due, self._now) if due < math.inf else None

    # --- news ---

    def _publish(self, record: Record) -> None:
        """The own record is new."""
        if self._in:
            self._roster.put(self._now, record)
            self._queue.add(record)

    def _hear(self, news: Sequence[Record], spread: bool = True) -> None:
        for record in news:
            if record.name != self._identity.record.name:
                if self._news.hear(self._now, record, spread):
                    self._witness(record)
                continue
            refuted = self._identity.refuted
            self._identity.hear(self._now, record)
            if self._identity.refuted > refuted:
                self._awareness.worse(1)

    def _witness(self, record: Record) -> None:
        """Of those who hear of a suspicion a few probe at once, whatever the size of the fleet."""
        living = len(self._roster.living)
        if record.by == self._identity.record.name or self._dice.random() * living >= self._rules.witnesses:
            return
        if not self._probes.flying(record.name):
            self._probes.begin(self._now, record, self._awareness.factor)

    def _about(self, record: Record) -> Record | None:
        """What the one that sent its record must hear first: that it is not seen as it sees itself."""
        known = self._roster.known(record.name)
        if known is None or (known.state is State.ALIVE and known.life == record.life):
            return None if known is None or known.address == record.address else known
        return known

    def _repeats(self) -> int:
        return max(1, math.ceil(self._rules.repeats * (math.log2(len(self._roster.living) + 1) + 2.0)))

    def _take_news(self, to: str, first: Record | None = None) -> tuple[Record, ...]:
        return self._queue.take(self._rules.datagram_bytes - _FARE, self._repeats(), to, first)

    def _gossip_due(self) -> float:
        if not self._queue or not self._roster.living:
            return math.inf
        return self._gossiped + self._rules.gossip_every

    def _spread(self, count: int) -> None:
        """To the next ones of a shuffled round: in a small fleet nobody is left out by bad luck."""
        self._gossiped = self._now
        for _ in range(min(count, len(self._roster.living))):
            member = self._next_to_tell()
            if news := self._take_news(member.name):
                self._send(member.address, Gossip(news))

    def _next_to_tell(self) -> Member:
        """There must be living others."""
        while True:
            if not self._told_round:
                self._told_round = list(self._roster.living)
                self._dice.shuffle(self._told_round)
            member = self._roster.rows.get(self._told_round.pop())
            if member is not None and member.record.living:
                return member

    def _send(self, to: Address, message: Message, whole: bool = False) -> None:
        self._out.add(Send(to, message, whole))

    # --- probes ---

    @property
    def _look_ms(self) -> float:
        return TRIES * self._rules.timeout * self._awareness.factor

    def _probe(self) -> None:
        """One member each period, in a round shuffled anew when it is through; who is new comes into it."""
        if self._now < self._probe_at:
            return
        self._roster.sweep(self._now, self._rules.forget, self._rules.tombstone)
        self._probe_at = self._now + self._rules.period * self._awareness.factor
        for name in self._roster.fresh:
            self._round.insert(self._dice.randint(0, len(self._round)), name)
        self._roster.fresh.clear()
        for again in (False, True):
            if again:
                self._round = list(self._roster.living)
                self._dice.shuffle(self._round)
            while self._round:
                member = self._roster.rows.get(self._round.pop())
                if member is not None and member.record.living:
                    self._probes.begin(self._now, member.record, self._awareness.factor)
                    return

    def _step_probes(self) -> None:
        for seq, probe in self._probes.ripe(self._now):
            if probe.tries == TRIES:
                self._unanswered(probe)
                continue
            known = self._roster.known(probe.record.name) or probe.record
            first = known if known.state is not State.ALIVE else None
            ping = Ping(seq, probe.record.name, self._identity.record, self._take_news(known.name, first))
            self._send(probe.record.address, ping)
            if probe.tries and not probe.look:
                self._ask_helpers(seq, probe)
            probe.tried()
        for relay in self._probes.nacks(self._now):
            self._send(relay.to, Nack(relay.seq))

    def _ask_helpers(self, seq: int, probe: Probe) -> None:
        """Others than those asked at an earlier try, as far as there are."""
        drawn = self._roster.draw(self._dice, 2 * self._rules.helpers, but=probe.record.name)
        fresh = [record for record in drawn if record.name not in probe.asked]
        host, port = probe.record.address
        for record in (fresh or drawn)[: self._rules.helpers]:
            if record.name not in probe.asked:
                probe.asked.append(record.name)
            self._send(record.address, PingRequest(seq, probe.record.name, host, port))

    def _unanswered(self, probe: Probe) -> None:
        if probe.look:
            return
        self._awareness.worse(probe.silent_helpers if probe.asked else 1)
        known = self._roster.known(probe.record.name)
        if known is None or not known.living or known.life != probe.record.life:
            return
        if known.incarnation == probe.record.incarnation:
            by = self._identity.record.name
            self._hear([_restated(known, State.SUSPECT, by)])

    def _judge(self) -> None:
        """Suspicions near their end get a last probe; those at their end are deaths."""
        look = self._look_ms
        for name in self._suspicions.to_look(self._now, look):
            self._probes.begin(self._now, self._roster.rows[name].record, self._awareness.factor, look=True)
        for name in self._suspicions.over(self._now):
            record = self._roster.rows[name].record
            self._hear([_restated(record, State.DEAD, self._identity.record.name)])

    # --- messages ---

    def _heard_ping(self, sender: str, ping: Ping) -> None:
        if ping.me.name != sender:
            self.dropped += 1
            return
        self._hear([ping.me])
        self._hear(ping.news)
        if sender == self._identity.record.name:
            self._identity.asked_by(ping.me)
        if ping.to == self._identity.record.name:
            news = self._take_news(sender, self._about(ping.me))
            self._send(ping.me.address, Ack(ping.seq, self._identity.record.life, news))

    def _heard_ack(self, sender: str, ack: Ack) -> None:
        self._hear(ack.news)
        if (relay := self._probes.relayed(ack.seq, sender)) is not None:
            self._send(relay.to, Ack(relay.seq, ack.life, self._take_news("")))
        elif (probe := self._probes.answered(ack.seq, sender, ack.life)) is not None:
            self._awareness.better()
            self._suspicions.again(self._now, probe.record.name)
        elif sender == self._identity.record.name:
            self._identity.answered(self._now, ack.seq, ack.life)

    def _heard_request(self, sender: str, request: PingRequest) -> None:
        asker = self._roster.rows.get(sender)
        if asker is None:
            return
        address = (request.host, request.port)
        seq = self._probes.relay(self._now, request.name, asker.address, request.seq)
        if seq is not None:
            known = self._roster.known(request.name)
            first = known if known is not None and known.state is not State.ALIVE else None
            news = self._take_news(request.name, first)
            self._send(address, Ping(seq, request.name, self._identity.record, news))

    def _ask_rival(self) -> None:
        number = self._probes.number() if self._identity.due() <= self._now else 0
        address = self._identity.ask(self._now, number, alone=not self._roster.living)
        if address is not None:
            own = self._identity.record
            self._send(address, Ping(number, own.name, own, ()))

    # --- repair ---

    def _compare(self) -> None:
        if self._now < self._sync_at:
            return
        self._sync_at = self._now + self._rules.sync_every * self._dice.uniform(0.8, 1.2)
        for record in self._roster.draw(self._dice, 1):
            self._send(record.address, Sync(self._identity.record, tuple(self._roster.sums)))

    def _call(self) -> None:
        """Seeds and dead members: a few often while alone, one now and then in company."""
        if self._now < self._call_at:
            return
        alone = not self._roster.living
        self._call_at = self._now + (self._rules.join_every if alone else self._rules.rejoin_every)
        sums = () if alone else tuple(self._roster.sums)
        for address in self._lost.next(self._roster, self._identity.record.address, 3 if alone else 1):
            self._send(address, Sync(self._identity.record, sums))

    def _heard_sync(self, sender: str, sync: Sync) -> None:
        if sync.me.name != sender:
            self.dropped += 1
            return
        self._hear([sync.me])
        parts = self._roster.differing(sync.sums)
        if parts and self._allowance.spend(self._now):
            for message in told(self._roster, parts):
                self._send(sync.me.address, message, whole=True)

    def _heard_rows(self, sender: str, message: Rows) -> None:
        """A whole table that answers a join is not passed on: the others have it."""
        if not self._roster.living:
            self._quiet_until = self._now + self._rules.join_every
        self._hear(message.rows, spread=self._now >= self._quiet_until)
        asker = self._roster.rows.get(sender)
        if message.ask and asker is not None:
            for answer in better(self._roster, message):
                self._send(asker.address, answer, whole=True)


def _restated(record: Record, state: State, by: str) -> Record:
    return Record(
        record.name,
        state,
        record.life,
        record.incarnation,
        record.host,
        record.port,
        record.low,
        record.high,
        by,
    )
