"""The failure detector: whom to probe when, what an answer or its want means, and when a suspect is dead.

One member each period in a shuffled round, with indirect probes (SWIM; Das, Gupta, Motivala 2002). A few
fronts drawn anew for each suspicion probe the suspect out of turn, so that confirmations come soon in a
fleet of any size, and before a death is declared the suspect is asked a last time.
"""

from __future__ import annotations

import math

import msgspec

from fernweir.peers.members.messages import Ack, Nack, Ping, PingRequest, Record, State
from fernweir.peers.members.probes import TRIES, Probe, Probes
from fernweir.peers.members.view import Voice


class Prober:
    """`dropped` counts pings whose sender is not whom they speak for."""

    def __init__(self, voice: Voice) -> None:
        self._voice = voice
        self._probes = Probes(voice.rules, voice.dice)
        self._round: list[str] = []
        self._probe_at = math.inf
        self.dropped = 0
        voice.suspect = self._witness

    def begin(self, after: float) -> None:
        """The first probe, or the first after a standstill; what was in flight counts no more."""
        self._probes.clear()
        self._probe_at = self._voice.now + after

    def end(self) -> None:
        self._probes.clear()
        self._probe_at = math.inf

    def due(self) -> float:
        voice = self._voice
        suspicions = voice.suspicions.due(self._look_ms)
        return min(self._probe_at, self._probes.due(), suspicions, voice.identity.due())

    def step(self) -> None:
        self._probe()
        self._step_probes()
        self._judge()
        self._ask_rival()

    @property
    def _look_ms(self) -> float:
        return TRIES * self._voice.rules.timeout * self._voice.awareness.factor

    def _probe(self) -> None:
        """One member each period, in a round shuffled anew when it is through; who is new comes into it."""
        voice = self._voice
        if voice.now < self._probe_at:
            return
        voice.roster.sweep(voice.now, voice.rules.forget, voice.rules.tombstone)
        self._probe_at = voice.now + voice.rules.period * voice.awareness.factor
        if len(self._round) > 2 * voice.rules.most:  # names that come and go faster than probes
            self._round.clear()
        for name in voice.roster.fresh:
            self._round.insert(voice.dice.randint(0, len(self._round)), name)
        voice.roster.fresh.clear()
        for again in (False, True):
            if again:
                self._round = list(voice.roster.living)
                voice.dice.shuffle(self._round)
            while self._round:
                member = voice.roster.rows.get(self._round.pop())
                if member is not None and member.record.living:
                    self._probes.begin(voice.now, member.record, voice.awareness.factor)
                    return

    def _witness(self, record: Record) -> None:
        """Of those who hear of a suspicion a few probe at once, whatever the size of the fleet."""
        voice = self._voice
        living = len(voice.roster.living)
        if record.by == voice.own.name or voice.dice.random() * living >= voice.rules.witnesses:
            return
        if not self._probes.flying(record.name):
            self._probes.begin(voice.now, record, voice.awareness.factor)

    def _step_probes(self) -> None:
        voice = self._voice
        for seq, probe in self._probes.ripe(voice.now):
            if probe.tries == TRIES:
                self._unanswered(probe)
                continue
            known = voice.roster.known(probe.record.name) or probe.record
            first = known if known.state is not State.ALIVE else None
            ping = Ping(seq, probe.record.name, voice.own, voice.take_news(known.name, first))
            voice.send(probe.record.address, ping)
            if probe.tries and not probe.look:
                self._ask_helpers(seq, probe)
            probe.tried()
        for relay in self._probes.nacks(voice.now):
            voice.send(relay.to, Nack(relay.seq))

    def _ask_helpers(self, seq: int, probe: Probe) -> None:
        """Others than those asked at an earlier try, as far as there are."""
        voice = self._voice
        drawn = voice.roster.draw(voice.dice, 2 * voice.rules.helpers, but=probe.record.name)
        fresh = [record for record in drawn if record.name not in probe.asked]
        host, port = probe.record.address
        for record in (fresh or drawn)[: voice.rules.helpers]:
            if record.name not in probe.asked:
                probe.asked.append(record.name)
            voice.send(record.address, PingRequest(seq, probe.record.name, host, port))

    def _unanswered(self, probe: Probe) -> None:
        voice = self._voice
        if probe.look:
            return
        voice.awareness.worse(probe.silent_helpers if probe.asked else 1)
        known = voice.roster.known(probe.record.name)
        if known is None or not known.living or known.life != probe.record.life:
            return
        if known.incarnation == probe.record.incarnation:
            voice.hear([_restated(known, State.SUSPECT, voice.own.name)])

    def _judge(self) -> None:
        """Suspicions near their end get a last probe; those at their end are deaths."""
        voice = self._voice
        look = self._look_ms
        for name in voice.suspicions.to_look(voice.now, look):
            self._probes.begin(voice.now, voice.roster.rows[name].record, voice.awareness.factor, look=True)
        for name in voice.suspicions.over(voice.now):
            record = voice.roster.rows[name].record
            voice.hear([_restated(record, State.DEAD, voice.own.name)])

    def _ask_rival(self) -> None:
        voice = self._voice
        number = self._probes.number() if voice.identity.due() <= voice.now else 0
        address = voice.identity.ask(voice.now, number, alone=not voice.roster.living)
        if address is not None:
            own = voice.own
            voice.send(address, Ping(number, own.name, own, ()))

    def heard_ping(self, sender: str, ping: Ping) -> None:
        voice = self._voice
        if ping.me.name != sender:
            self.dropped += 1
            return
        voice.hear([ping.me])
        voice.hear(ping.news)
        if sender == voice.own.name:
            voice.identity.asked_by(ping.me)
        if ping.to == voice.own.name:
            news = voice.take_news(sender, voice.about(ping.me))
            voice.send(ping.me.address, Ack(ping.seq, voice.own.life, news))

    def heard_ack(self, sender: str, ack: Ack) -> None:
        voice = self._voice
        voice.hear(ack.news)
        if (relay := self._probes.relayed(ack.seq, sender)) is not None:
            voice.send(relay.to, Ack(relay.seq, ack.life, voice.take_news("")))
        elif (probe := self._probes.answered(ack.seq, sender, ack.life)) is not None:
            voice.awareness.better()
            voice.suspicions.again(voice.now, probe.record.name)
        elif sender == voice.own.name:
            voice.identity.answered(voice.now, ack.seq, ack.life)

    def heard_request(self, sender: str, request: PingRequest) -> None:
        voice = self._voice
        asker = voice.roster.rows.get(sender)
        if asker is None:
            return
        address = (request.host, request.port)
        seq = self._probes.relay(voice.now, request.name, asker.address, request.seq)
        if seq is not None:
            known = voice.roster.known(request.name)
            first = known if known is not None and known.state is not State.ALIVE else None
            news = voice.take_news(request.name, first)
            voice.send(address, Ping(seq, request.name, voice.own, news))

    def heard_nack(self, sender: str, nack: Nack) -> None:
        self._probes.nack(nack.seq, sender)


def _restated(record: Record, state: State, by: str) -> Record:
    return msgspec.structs.replace(record, state=state, by=by)
