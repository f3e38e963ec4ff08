"""The failure detector: schedules probes, handles their results, and declares suspects dead.

Each period one member of a shuffled round is probed, with indirect probes (SWIM; Das, Gupta, Motivala 2002).
For each suspicion a few random fronts probe the suspect out of turn, so that confirmations arrive soon in a
fleet of any size. Before a suspect is declared dead it is probed a last time.
"""

from __future__ import annotations

import math

import msgspec

from fernweir.peers.members.messages import Ack, Nack, Ping, PingRequest, Record, State
from fernweir.peers.members.probes import MAX_ATTEMPTS, Probe, Probes
from fernweir.peers.members.view import MembershipView


class Prober:
    """`dropped` counts pings whose sender is not the member in their record."""

    def __init__(self, view: MembershipView) -> None:
        self._view = view
        self._probes = Probes(view.rules, view.rng)
        self._round: list[str] = []
        self._probe_at = math.inf
        self.dropped = 0
        view.on_suspicion = self._probe_as_witness

    def start(self, after: float) -> None:
        """Schedules the first probe, also after a suspension of the process; discards probes in flight."""
        self._probes.clear()
        self._probe_at = self._view.now + after

    def stop(self) -> None:
        self._probes.clear()
        self._probe_at = math.inf

    def next_deadline(self) -> float:
        view = self._view
        suspicions = view.suspicions.next_deadline(self._last_probe_ms)
        return min(self._probe_at, self._probes.next_deadline(), suspicions, view.identity.next_deadline())

    def tick(self) -> None:
        self._probe()
        self._step_probes()
        self._check_suspicions()
        self._probe_rival()

    @property
    def _last_probe_ms(self) -> float:
        return MAX_ATTEMPTS * self._view.rules.timeout_ms * self._view.awareness.factor

    def _probe(self) -> None:
        """Probes one member each period, in a round that includes new members; reshuffles it at its end."""
        view = self._view
        if view.now < self._probe_at:
            return
        view.table.sweep(view.now, view.rules.forget_ms, view.rules.tombstone_ms)
        self._probe_at = view.now + view.rules.period_ms * view.awareness.factor
        if len(self._round) > 2 * view.rules.max_members:  # names join and leave faster than they are probed
            self._round.clear()
        for name in view.table.new_names:
            self._round.insert(view.rng.randint(0, len(self._round)), name)
        view.table.new_names.clear()
        for again in (False, True):
            if again:
                self._round = list(view.table.living)
                view.rng.shuffle(self._round)
            while self._round:
                member = view.table.rows.get(self._round.pop())
                if member is not None and member.record.living:
                    self._probes.begin(view.now, member.record, view.awareness.factor)
                    return

    def _probe_as_witness(self, record: Record) -> None:
        """Probes a new suspect at once, with a probability that selects a few of the fronts of the fleet."""
        view = self._view
        living = len(view.table.living)
        if record.accuser == view.own.name or view.rng.random() * living >= view.rules.witnesses:
            return
        if not self._probes.is_probing(record.name):
            self._probes.begin(view.now, record, view.awareness.factor)

    def _step_probes(self) -> None:
        view = self._view
        for seq, probe in self._probes.due_probes(view.now):
            if probe.attempts == MAX_ATTEMPTS:
                self._on_probe_failed(probe)
                continue
            known = view.table.record_of(probe.record.name) or probe.record
            first_update = known if known.state is not State.ALIVE else None
            ping = Ping(seq, probe.record.name, view.own, view.next_updates(known.name, first_update))
            view.send(probe.record.address, ping)
            if probe.attempts and not probe.is_last:
                self._ask_helpers(seq, probe)
            probe.count_attempt()
        for relay in self._probes.due_nacks(view.now):
            view.send(relay.to, Nack(relay.seq))

    def _ask_helpers(self, seq: int, probe: Probe) -> None:
        """Selects helpers that were not asked in an earlier attempt, if there are any."""
        view = self._view
        drawn = view.table.sample(view.rng, 2 * view.rules.helpers, exclude=probe.record.name)
        fresh = [record for record in drawn if record.name not in probe.helpers]
        host, port = probe.record.address
        for record in (fresh or drawn)[: view.rules.helpers]:
            if record.name not in probe.helpers:
                probe.helpers.append(record.name)
            view.send(record.address, PingRequest(seq, probe.record.name, host, port))

    def _on_probe_failed(self, probe: Probe) -> None:
        view = self._view
        if probe.is_last:
            return
        view.awareness.increase(probe.silent_helpers if probe.helpers else 1)
        known = view.table.record_of(probe.record.name)
        if known is None or not known.living or known.life != probe.record.life:
            return
        if known.incarnation == probe.record.incarnation:
            view.apply([_with_state(known, State.SUSPECT, view.own.name)])

    def _check_suspicions(self) -> None:
        """Starts the last probes of suspicions that end soon; declares the members of ended ones dead."""
        view = self._view
        probe_ms = self._last_probe_ms
        for name in view.suspicions.start_last_probes(view.now, probe_ms):
            self._probes.begin(view.now, view.table.rows[name].record, view.awareness.factor, is_last=True)
        for name in view.suspicions.expired(view.now):
            record = view.table.rows[name].record
            view.apply([_with_state(record, State.DEAD, view.own.name)])

    def _probe_rival(self) -> None:
        view = self._view
        seq = self._probes.next_seq() if view.identity.next_deadline() <= view.now else 0
        address = view.identity.address_to_probe(view.now, seq, alone=not view.table.living)
        if address is not None:
            own = view.own
            view.send(address, Ping(seq, own.name, own, ()))

    def on_ping(self, sender: str, ping: Ping) -> None:
        view = self._view
        if ping.sender_record.name != sender:
            self.dropped += 1
            return
        view.apply([ping.sender_record])
        view.apply(ping.updates)
        if sender == view.own.name:
            view.identity.on_ping_from_namesake(ping.sender_record)
        if ping.to == view.own.name:
            updates = view.next_updates(sender, view.correction_for(ping.sender_record))
            view.send(ping.sender_record.address, Ack(ping.seq, view.own.life, updates))

    def on_ack(self, sender: str, ack: Ack) -> None:
        view = self._view
        view.apply(ack.updates)
        if (relay := self._probes.on_relay_answer(ack.seq, sender)) is not None:
            view.send(relay.to, Ack(relay.seq, ack.life, view.next_updates("")))
        elif (probe := self._probes.on_answer(ack.seq, sender, ack.life)) is not None:
            view.awareness.decrease()
            view.suspicions.restart(view.now, probe.record.name)
        elif sender == view.own.name:
            view.identity.on_rival_answered(view.now, ack.seq, ack.life)

    def on_ping_request(self, sender: str, request: PingRequest) -> None:
        view = self._view
        asker = view.table.rows.get(sender)
        if asker is None:
            return
        address = (request.host, request.port)
        seq = self._probes.relay(view.now, request.name, asker.address, request.seq)
        if seq is not None:
            known = view.table.record_of(request.name)
            first_update = known if known is not None and known.state is not State.ALIVE else None
            updates = view.next_updates(request.name, first_update)
            view.send(address, Ping(seq, request.name, view.own, updates))

    def on_nack(self, sender: str, nack: Nack) -> None:
        self._probes.on_nack(nack.seq, sender)


def _with_state(record: Record, state: State, accuser: str) -> Record:
    return msgspec.structs.replace(record, state=state, accuser=accuser)
