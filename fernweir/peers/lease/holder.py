"""A holder: gets leases of channels from a majority of keepers, keeps them, and stops believing by itself.

A lease counts from when it was first asked for, by the holder's clock, for less than any keeper's span can
last. Each call begins by dropping what has lapsed, so that a process that stood still knows at its first.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from random import Random

from fernweir.peers.base import Effect, Message, Outbox, Send
from fernweir.peers.lease.events import Got, Lease, Lost, Renewed, Taken
from fernweir.peers.lease.messages import (
    Extended,
    Granted,
    Item,
    Prepare,
    Promised,
    Propose,
    Refused,
    Release,
    Released,
    Renew,
)
from fernweir.peers.lease.rules import (
    FENCE_MOST,
    FLOOR_MOST,
    KeeperSet,
    LeaseRules,
    everyone,
    ordered,
    versions,
)
from fernweir.peers.lease.turns import Parting, Renewal, cut
from fernweir.peers.lease.wants import Attempt, Want, pause_after


class Holder:
    """`life` must differ from that of every earlier process of this name.

    A message to its own name must come back to the front's keeper, and the answer to `heard`, as any other.
    """

    def __init__(self, me: str, life: int, rules: LeaseRules, seed: int, sets: Iterable[KeeperSet]) -> None:
        self._me = me
        self._life = life
        self._rules = rules
        self._sets = ordered(sets)
        self._dice = Random(f"lease {me} {life} {seed}")
        self._wants: dict[str, Want] = {}
        self._leases: dict[str, Lease] = {}
        self._doubts: dict[str, str] = {}  # why a keeper last refused to extend a lease
        self._renewals: dict[int, Renewal] = {}
        self._partings: dict[int, Parting] = {}
        self._turn = 0
        self._minted = 0  # never the same fence twice: a late release of the first would end the second
        self._renew_at = 0.0
        self._asks: dict[tuple[str, type[Prepare] | type[Propose]], list[Item]] = {}
        self._out = Outbox()

    # --- what the front asks ---

    def want(self, now: float, channel: str, floor: int = 0) -> None:
        """Asks for the channel until `Got`, under a fence above `floor`, the highest that is known.

        To be called again with what a box answered if it knows a higher one, also while the lease is held.
        """
        self._lapse(now)
        floor = min(floor, FLOOR_MOST)
        held = self._leases.get(channel)
        if held is not None and held.fence > floor:
            return
        want = self._wants.get(channel)
        if want is not None:
            want.floor = max(want.floor, floor)
        elif len(self._wants) + len(self._leases) < self._rules.channels_most:
            self._wants[channel] = Want(floor, now)
        else:
            raise OverflowError(f"more than {self._rules.channels_most} channels at one holder")

    def release(self, now: float, channel: str) -> None:
        """The channel is not wanted any more; if it is held, it is not from now on, and free for others."""
        self._part(now, channel, "")

    def hand(self, now: float, channel: str, to: str) -> None:
        """As `release`, and the keepers keep the channel for the front `to`, for `reserve_ms`."""
        self._part(now, channel, to)

    def holds(self, now: float, channel: str) -> Lease | None:
        """The lease, if it is believed at this moment by the own clock."""
        lease = self._leases.get(channel)
        return lease if lease is not None and now < lease.until else None

    def held(self, now: float) -> list[Lease]:
        return [lease for lease in self._leases.values() if now < lease.until]

    def change(self, now: float, sets: Iterable[KeeperSet]) -> bool:
        """The keepers in force are these from now on. What is held stays, renewed by them. False if old."""
        self._lapse(now)
        found = ordered(sets)
        if found == self._sets or versions(found) < versions(self._sets):
            return False
        for channel, want in self._wants.items():
            if want.attempt is not None:
                self._give_up(now, channel, want, want.attempt)
                want.due = now
        self._sets = found
        self._renewals.clear()
        self._renew_at = now
        self._flush(now)
        return True

    # --- the part ---

    def heard(self, now: float, sender: str, message: Message) -> None:
        self._lapse(now)
        if sender not in everyone(self._sets) or getattr(message, "life", self._life) != self._life:
            return
        match message:
            case Promised():
                self._promised(now, sender, message)
            case Granted():
                self._granted(now, sender, message)
            case Refused():
                self._refused(now, sender, message)
            case Extended():
                self._extended(now, sender, message)
            case Released():
                self._released(sender, message)
            case _:
                pass
        self._flush(now)

    def tick(self, now: float) -> None:
        self._lapse(now)
        for channel, want in list(self._wants.items()):
            if want.attempt is None:
                if now >= want.due:
                    want.begin(now, self._rules)
                    self._ask(channel, want.attempt, everyone(self._sets))
            elif want.attempt.failed(now, self._sets):
                self._give_up(now, channel, want, want.attempt)
            elif now >= want.attempt.again_at:
                want.attempt.again_at = now + self._rules.again_ms
                self._ask(channel, want.attempt, everyone(self._sets))
        if self._leases and now >= self._renew_at:
            self._renew(now)
        self._repeat(now)
        self._flush(now)

    def next_due(self) -> float | None:
        return min(self._dues(), default=None)

    def _dues(self) -> Iterator[float]:
        for want in self._wants.values():
            if want.attempt is None:
                yield want.due
            else:
                yield min(want.attempt.ends_at, want.attempt.again_at)
        if self._leases:
            yield self._renew_at
            yield min(lease.until for lease in self._leases.values())
        turns: list[Renewal | Parting] = [*self._renewals.values(), *self._partings.values()]
        yield from (turn.again_at for turn in turns if turn.unheard)

    def take(self) -> list[Effect]:
        return self._out.take()

    # --- getting ---

    def _ask(self, channel: str, attempt: Attempt | None, keepers: Iterable[str]) -> None:
        """What each keeper is still to be asked in this attempt: its promise, or its grant."""
        if attempt is None:
            return
        for keeper in keepers:
            if keeper not in attempt.told:
                self._asks.setdefault((keeper, Prepare), []).append(Item(channel, attempt.ballot))
            elif keeper not in attempt.granted and attempt.may_ask(keeper):
                item = Item(channel, attempt.ballot, attempt.fence)
                self._asks.setdefault((keeper, Propose), []).append(item)

    def _flush(self, now: float) -> None:
        """One message for all that a keeper is asked in this call."""
        asks, self._asks = self._asks, {}
        sets = versions(self._sets)
        for (keeper, kind), items in asks.items():
            for some in cut(items):
                if kind is Prepare:
                    self._out.add(Send(keeper, Prepare(self._life, sets, some)))
                else:
                    self._out.add(Send(keeper, Propose(self._life, sets, self._rules.lease_ms, some)))

    def _running(self, item_channel: str, ballot: int) -> tuple[Want, Attempt] | None:
        want = self._wants.get(item_channel)
        if want is None or want.attempt is None or want.attempt.ballot != ballot:
            return None
        return want, want.attempt

    def _promised(self, now: float, sender: str, message: Promised) -> None:
        for item in message.items:
            running = self._running(item.channel, item.ballot)
            if running is None:
                continue
            want, attempt = running
            if (
                now >= attempt.ends_at
                or item.fence > FENCE_MOST
                or (attempt.fence and sender in attempt.told)
            ):
                continue
            attempt.told[sender] = max(item.fence, attempt.told.get(sender, 0))
            attempt.noes.pop(sender, None)
            if attempt.mint(now, self._sets, max(want.floor, self._minted)):
                self._minted = attempt.fence
                self._ask(item.channel, attempt, list(attempt.told))
            elif attempt.fence:
                self._ask(item.channel, attempt, [sender])

    def _granted(self, now: float, sender: str, message: Granted) -> None:
        for item in message.items:
            running = self._running(item.channel, item.ballot)
            if running is None or item.fence != running[1].fence:
                continue
            want, attempt = running
            attempt.granted.add(sender)
            if attempt.won(self._sets):
                lease = Lease(item.channel, attempt.fence, attempt.asked_at + self._rules.own_ms)
                if now >= lease.until or lease.fence <= want.floor:
                    self._give_up(now, item.channel, want, attempt)
                    continue
                del self._wants[item.channel]
                if not self._leases or attempt.asked_at + self._rules.renew_ms < self._renew_at:
                    self._renew_at = attempt.asked_at + self._rules.renew_ms
                self._leases[item.channel] = lease
                self._doubts.pop(item.channel, None)
                self._out.add(Got(lease))

    def _refused(self, now: float, sender: str, message: Refused) -> None:
        for no in message.noes:
            running = self._running(no.channel, no.ballot)
            if running is None:
                continue
            want, attempt = running
            attempt.noes[sender] = no
            want.leap(no.seen)
            if no.why in ("taken", "waits") and want.taken != (no.by, no.fence):
                want.taken = (no.by, no.fence)
                self._out.add(Taken(no.channel, no.by, no.fence))
            if attempt.failed(now, self._sets):
                self._give_up(now, no.channel, want, attempt)

    def _give_up(self, now: float, channel: str, want: Want, attempt: Attempt) -> None:
        """What some keepers granted is undone, unless an older lease rests on the same locks."""
        if attempt.fence and channel not in self._leases:
            self._say(now, Item(channel, attempt.ballot, attempt.fence), "", self._rules.attempt_ms)
        want.tries += 1
        want.rest(now, pause_after(attempt.noes, self._sets, self._rules, want.tries, self._dice))

    # --- keeping ---

    def _renew(self, now: float) -> None:
        self._renew_at = now + self._rules.renew_ms
        for turn in self._renewals.values():
            turn.unheard.clear()  # a newer question asks for more
        for some in cut([Item(lease.channel, 0, lease.fence) for lease in self._leases.values()]):
            self._turn += 1
            fences = {item.channel: item.fence for item in some}
            again_at = now + self._rules.again_ms
            self._renewals[self._turn] = Renewal(now, again_at, fences, everyone(self._sets))
            self._question(self._turn)

    def _question(self, turn: int) -> None:
        renewal = self._renewals[turn]
        items = renewal.items()
        for keeper in renewal.unheard:
            renew = Renew(self._life, versions(self._sets), self._rules.lease_ms, turn, items)
            self._out.add(Send(keeper, renew))

    def _extended(self, now: float, sender: str, message: Extended) -> None:
        renewal = self._renewals.get(message.turn)
        if renewal is None:
            return
        for no in message.noes:
            if no.channel in renewal.fences:
                self._doubts[no.channel] = no.why
        for channel in renewal.heard(sender, message.noes):
            lease = self._leases.get(channel)
            if lease is None or lease.fence != renewal.fences[channel]:
                continue
            until = renewal.asked_at + self._rules.own_ms
            if renewal.enough(channel, self._sets) and until > lease.until:
                self._leases[channel] = lease = Lease(channel, lease.fence, until)
                self._doubts.pop(channel, None)
                self._out.add(Renewed(lease))

    def _lapse(self, now: float) -> None:
        """First in every call: what is over by the own clock is lost, whatever comes in now."""
        for lease in [lease for lease in self._leases.values() if now >= lease.until]:
            del self._leases[lease.channel]
            why = self._doubts.pop(lease.channel, "lapsed")
            self._out.add(Lost(lease.channel, lease.fence, why))

    # --- parting, and saying again ---

    def _part(self, now: float, channel: str, to: str) -> None:
        self._lapse(now)
        want = self._wants.pop(channel, None)
        lease = self._leases.pop(channel, None)
        self._doubts.pop(channel, None)
        fences = [lease.fence] if lease is not None else []
        if want is not None and want.attempt is not None and want.attempt.fence:
            fences.append(want.attempt.fence)
        if fences:
            self._say(now, Item(channel, 0, max(fences)), to, self._rules.lease_ms)
        if lease is not None:
            self._out.add(Lost(channel, lease.fence, "handed" if to else "released"))

    def _say(self, now: float, item: Item, to: str, for_ms: float) -> None:
        self._turn += 1
        again_at = now + self._rules.again_ms
        parting = Parting((item,), to, now + for_ms, again_at, everyone(self._sets))
        self._partings[self._turn] = parting
        self._farewell(self._turn, parting)

    def _farewell(self, turn: int, parting: Parting) -> None:
        reserve_ms = self._rules.reserve_ms if parting.to else 0.0
        for keeper in parting.unheard:
            self._out.add(Send(keeper, Release(self._life, turn, parting.items, parting.to, reserve_ms)))

    def _released(self, sender: str, message: Released) -> None:
        parting = self._partings.get(message.turn)
        if parting is not None and sender in parting.unheard:
            parting.unheard.remove(sender)

    def _repeat(self, now: float) -> None:
        for turn, renewal in list(self._renewals.items()):
            if now >= renewal.asked_at + self._rules.own_ms:
                del self._renewals[turn]
            elif renewal.unheard and now >= renewal.again_at:
                renewal.again_at = now + self._rules.again_ms
                self._question(turn)
        for turn, parting in list(self._partings.items()):
            if now >= parting.ends_at or not parting.unheard:
                del self._partings[turn]
            elif now >= parting.again_at:
                parting.again_at = now + self._rules.again_ms
                self._farewell(turn, parting)
