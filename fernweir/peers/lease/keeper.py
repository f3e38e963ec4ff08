"""A keeper: grants each channel to one holder at a time, and remembers it in memory only.

For the longest lease after its start it neither promises nor grants: whatever it granted in an earlier life
has lapsed by then. In that silence it asks the other keepers for the highest fence they know.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator

from fernweir.peers.base import Effect, Message, Outbox, Send
from fernweir.peers.lease import decide
from fernweir.peers.lease.messages import (
    Extended,
    Granted,
    Item,
    No,
    Prepare,
    Promised,
    Propose,
    Recall,
    Recalled,
    Refused,
    Release,
    Released,
    Renew,
)
from fernweir.peers.lease.overlap import Overlap
from fernweir.peers.lease.records import Asker, Record, Records
from fernweir.peers.lease.rules import FENCE_MOST, FLOOR_MOST, KeeperSet, LeaseRules, everyone, stamp


class Keeper:
    """`life` is the wall ms of this start: fences of this life begin above `stamp(life)`.

    A message to its own name must come back to `on_message` as any other.
    """

    def __init__(self, me: str, life: int, rules: LeaseRules, now: float, sets: Iterable[KeeperSet]) -> None:
        self._me = me
        self._rules = rules
        self._records = Records(stamp(life), rules.silence_ms, rules.records_most)
        self._sets = tuple(sets)
        self._overlap = Overlap(me, now, self._sets, rules.silence_ms)
        self._silent_until = now + rules.silence_ms
        self._recall_ms = rules.longest_ms / 5
        self._recall_at = now
        self._sweep_at = now + rules.silence_ms
        self._unheard = {name for name in everyone(self._sets) if name != me}
        self._shut_out: frozenset[str] = frozenset()
        self._out = Outbox()

    # --- what the front tells ---

    def know(self, fence: int) -> None:
        """No fence up to this one is granted any more: known from boxes, copies, or a corrected life."""
        self._records.know(min(fence, FLOOR_MOST))

    def shut_out(self, names: Iterable[str]) -> None:
        """From now on these fronts, and no others, are granted nothing and renewed nothing."""
        self._shut_out = frozenset(names)

    def change(self, now: float, sets: Iterable[KeeperSet]) -> bool:
        """The sets in force are these. False if they are not taken now; to be told again later."""
        self.tick(now)
        found = tuple(sets)
        if not self._overlap.change(now, found):
            return False
        self._sets = found
        self._recall_at = now
        self.tick(now)
        return True

    def settled(self, now: float) -> bool:
        """Whether the newest set may stand alone, as far as this keeper is concerned."""
        self.tick(now)
        return self._overlap.before is None

    def silent(self, now: float) -> bool:
        return now < self._silent_until

    def granted(self, now: float) -> Iterator[tuple[str, str, int, float]]:
        """Channel, holder, fence and time left of all that is granted now."""
        for channel, record in self._records.live(now):
            if record.owner is not None:
                yield channel, record.owner[0], record.fence, record.until - now

    # --- the part ---

    def on_message(self, now: float, sender: str, message: Message) -> None:
        self.tick(now)
        match message:
            case Recall():
                self._out.add(Send(sender, Recalled(self._records.highest(), self._overlap.needs())))
            case Recalled():
                self._recalled(now, sender, message)
            case _ if self.silent(now):
                pass
            case Prepare():
                self._prepared(now, sender, message)
            case Propose():
                self._proposed(now, sender, message)
            case Renew():
                self._renewed(now, sender, message)
            case Release():
                self._released(now, sender, message)
            case _:
                pass

    def tick(self, now: float) -> None:
        self._overlap.tick(now)
        if now >= self._sweep_at:
            self._records.sweep(now)
            self._sweep_at = now + self._rules.longest_ms
        if now >= self._recall_at:
            self._recall_at = now + self._recall_ms
            for name in self._ask(now):
                self._out.add(Send(name, Recall()))

    def next_deadline(self) -> float | None:
        due = [self._sweep_at]
        if self._overlap.asks() or self._unheard:
            due.append(self._recall_at)
        settles_at = self._overlap.next_deadline()
        if settles_at is not None:
            due.append(settles_at)
        return min(due)

    def take_effects(self) -> list[Effect]:
        return self._out.take_effects()

    # --- between keepers ---

    def _ask(self, now: float) -> list[str]:
        if not self.silent(now):
            self._unheard.clear()
        return sorted(self._unheard.union(self._overlap.asks()) - {self._me})

    def _recalled(self, now: float, sender: str, message: Recalled) -> None:
        if sender not in everyone(self._sets) and sender not in self._overlap.asks():
            return
        self.know(message.floor)  # also what an older set granted alone, before the newer stands alone
        if self.silent(now):
            self._overlap.learn(message.sets)
            self._unheard.discard(sender)
        self._overlap.told(now, sender, message.sets)

    # --- questions of holders ---

    def _refusal(self, sender: str, sets: tuple[int, ...], span_ms: float = 0.0) -> str:
        """Why nothing of a message is done, whatever its channels; "" for no reason."""
        if sender in self._shut_out:
            return "shut out"
        if not self._overlap.accepts(sets):
            return "sets"
        return "span" if span_ms > self._rules.longest_ms else ""

    def _judge(
        self, now: float, items: tuple[Item, ...], whole: str, rule: Callable[[Record, Item], str]
    ) -> tuple[list[tuple[Item, Record]], tuple[No, ...]]:
        """The items that the rule lets pass, with their records, and a refusal for each other."""
        passed = []
        noes = []
        for item in items:
            record = None if whole else self._records.open(now, item.channel)
            if record is None:
                noes.append(No(item.channel, whole or "full", item.ballot))
            elif why := "fence" if item.fence > FENCE_MOST else rule(record, item):
                noes.append(decide.no(record, now, item, why))
            else:
                passed.append((item, record))
        return passed, tuple(noes)

    def _prepared(self, now: float, sender: str, message: Prepare) -> None:
        asker: Asker = (sender, message.life)
        passed, noes = self._judge(
            now,
            message.items,
            self._refusal(sender, message.sets),
            lambda record, item: decide.may_promise(record, now, asker, item.ballot, self._rules.promise_ms),
        )
        promised = []
        for item, record in passed:
            record.ballot, record.asker, record.promised_at, record.touched = item.ballot, asker, now, now
            record.told = self._records.known(item.channel)
            promised.append(Item(item.channel, item.ballot, record.told))
        if promised:
            self._out.add(Send(sender, Promised(message.life, tuple(promised))))
        if noes:
            self._out.add(Send(sender, Refused(message.life, noes)))

    def _proposed(self, now: float, sender: str, message: Propose) -> None:
        asker: Asker = (sender, message.life)
        passed, noes = self._judge(
            now,
            message.items,
            self._refusal(sender, message.sets, message.span_ms),
            lambda record, item: decide.may_grant(record, now, asker, item),
        )
        for item, record in passed:
            _lock(record, asker, item.fence, now, message.span_ms)
        if passed:
            self._out.add(Send(sender, Granted(message.life, tuple(item for item, _ in passed))))
        if noes:
            self._out.add(Send(sender, Refused(message.life, noes)))

    def _renewed(self, now: float, sender: str, message: Renew) -> None:
        asker: Asker = (sender, message.life)
        passed, noes = self._judge(
            now,
            message.items,
            self._refusal(sender, message.sets, message.span_ms),
            lambda record, item: decide.may_extend(record, now, asker, item.fence),
        )
        for item, record in passed:
            _lock(record, asker, item.fence, now, message.span_ms)
        self._out.add(Send(sender, Extended(message.life, message.turn, noes)))

    def _released(self, now: float, sender: str, message: Release) -> None:
        """A fence that was held is remembered, even if it was not granted here; a failed attempt's is not."""
        asker: Asker = (sender, message.life)
        for item in message.items:
            record = self._records.open(now, item.channel)
            if record is None or not decide.may_end(record, now, asker, item):
                continue
            record.owner, record.until, record.touched = None, now, now
            if item.ballot:
                record.fence = record.below
                continue
            record.fence, record.ended = item.fence, asker
            if message.to:
                record.heir = message.to
                record.heir_until = now + min(message.reserve_ms, self._rules.longest_ms)
        self._out.add(Send(sender, Released(message.life, message.turn)))


def _lock(record: Record, asker: Asker, fence: int, now: float, span_ms: float) -> None:
    if fence != record.fence:
        record.below = record.fence
    record.owner, record.fence = asker, fence
    record.until, record.touched = now + span_ms, now
    record.ended = None
    record.heir, record.heir_until = "", 0.0
