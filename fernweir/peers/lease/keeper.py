"""The keeper: the acceptor of the lease protocol, which grants each channel to one holder at a time.

A keeper has no disk. For the duration of the longest lease after its start it neither promises nor grants, so
that everything that it granted before the restart has expired by then. During this silence it asks the other
keepers for the highest fence they know.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator

from fernweir.peers.base import Effect, Message, Outbox, Send
from fernweir.peers.lease import decide
from fernweir.peers.lease.messages import (
    Extended,
    Granted,
    Item,
    Prepare,
    Promised,
    Propose,
    Recall,
    Recalled,
    Refusal,
    Refused,
    Release,
    Released,
    Renew,
)
from fernweir.peers.lease.overlap import Overlap
from fernweir.peers.lease.records import Asker, Record, Records
from fernweir.peers.lease.rules import MAX_FENCE, MAX_FLOOR, KeeperSet, LeaseRules, all_keepers, first_fence


class Keeper:
    """Decides on promises, grants, renewals and releases of channels.

    `life` is the wall-clock time of this start in ms; fences of this process are above `first_fence(life)`.
    A message addressed to the keeper's own name must be passed to `on_message` like any other.
    """

    def __init__(self, me: str, life: int, rules: LeaseRules, now: float, sets: Iterable[KeeperSet]) -> None:
        self._me = me
        self._rules = rules
        self._records = Records(first_fence(life), rules.silence_ms, rules.max_records)
        self._sets = tuple(sets)
        self._overlap = Overlap(me, now, self._sets, rules.silence_ms)
        self._silent_until = now + rules.silence_ms
        self._recall_ms = rules.longest_ms / 5
        self._recall_at = now
        self._sweep_at = now + rules.silence_ms
        self._unanswered = {name for name in all_keepers(self._sets) if name != me}
        self._shut_out: frozenset[str] = frozenset()
        self._out = Outbox()

    # --- calls of the front ---

    def raise_floor(self, fence: int) -> None:
        """From now on, grants only fences above this one (from servers, replicas or a corrected life)."""
        self._records.raise_floor(min(fence, MAX_FLOOR))

    def shut_out(self, names: Iterable[str]) -> None:
        """Replaces the set of fronts that are granted and renewed nothing."""
        self._shut_out = frozenset(names)

    def change_keepers(self, now: float, sets: Iterable[KeeperSet]) -> bool:
        """Replaces the keeper sets in force. Returns False if the caller has to try again later."""
        self.tick(now)
        found = tuple(sets)
        if not self._overlap.change(now, found):
            return False
        self._sets = found
        self._recall_at = now
        self.tick(now)
        return True

    def has_settled(self, now: float) -> bool:
        """Whether, by the state of this keeper, the newest set may be in force alone."""
        self.tick(now)
        return self._overlap.previous is None

    def is_silent(self, now: float) -> bool:
        return now < self._silent_until

    def granted_leases(self, now: float) -> Iterator[tuple[str, str, int, float]]:
        """Yields channel, holder, fence and remaining ms of each lease that is granted now."""
        for channel, record in self._records.live_records(now):
            if record.owner is not None:
                yield channel, record.owner[0], record.fence, record.until - now

    # --- the state machine ---

    def on_message(self, now: float, sender: str, message: Message) -> None:
        self.tick(now)
        match message:
            case Recall():
                self._out.add(
                    Send(sender, Recalled(self._records.highest_fence(), self._overlap.required_versions()))
                )
            case Recalled():
                self._on_recalled(now, sender, message)
            case _ if self.is_silent(now):
                pass
            case Prepare():
                self._on_prepare(now, sender, message)
            case Propose():
                self._on_propose(now, sender, message)
            case Renew():
                self._on_renew(now, sender, message)
            case Release():
                self._on_release(now, sender, message)
            case _:
                pass

    def tick(self, now: float) -> None:
        self._overlap.tick(now)
        if now >= self._sweep_at:
            self._records.sweep(now)
            self._sweep_at = now + self._rules.longest_ms
        if now >= self._recall_at:
            self._recall_at = now + self._recall_ms
            for name in self._keepers_to_ask(now):
                self._out.add(Send(name, Recall()))

    def next_deadline(self) -> float | None:
        due = [self._sweep_at]
        if self._overlap.pending_keepers() or self._unanswered:
            due.append(self._recall_at)
        settles_at = self._overlap.next_deadline()
        if settles_at is not None:
            due.append(settles_at)
        return min(due)

    def take_effects(self) -> list[Effect]:
        return self._out.take_effects()

    # --- between keepers ---

    def _keepers_to_ask(self, now: float) -> list[str]:
        if not self.is_silent(now):
            self._unanswered.clear()
        return sorted(self._unanswered.union(self._overlap.pending_keepers()) - {self._me})

    def _on_recalled(self, now: float, sender: str, message: Recalled) -> None:
        if sender not in all_keepers(self._sets) and sender not in self._overlap.pending_keepers():
            return
        # The floor includes grants of the previous set, so raise it before the newer set is in force alone.
        self.raise_floor(message.floor)
        if self.is_silent(now):
            self._overlap.observe_newer(message.sets)
            self._unanswered.discard(sender)
        self._overlap.on_required_versions(now, sender, message.sets)

    # --- requests of holders ---

    def _message_refusal(self, sender: str, sets: tuple[int, ...], span_ms: float = 0.0) -> str:
        """Returns why a message is refused as a whole, or an empty string."""
        if sender in self._shut_out:
            return "shut out"
        if not self._overlap.accepts(sets):
            return "sets"
        return "span" if span_ms > self._rules.longest_ms else ""

    def _check_items(
        self, now: float, items: tuple[Item, ...], message_refusal: str, rule: Callable[[Record, Item], str]
    ) -> tuple[list[tuple[Item, Record]], tuple[Refusal, ...]]:
        """Returns the items that the rule accepts, with their records, and a refusal for each other item."""
        accepted = []
        refusals = []
        for item in items:
            record = None if message_refusal else self._records.get_or_create(now, item.channel)
            if record is None:
                refusals.append(Refusal(item.channel, message_refusal or "full", item.ballot))
            elif why := "fence" if item.fence > MAX_FENCE else rule(record, item):
                refusals.append(decide.refusal(record, now, item, why))
            else:
                accepted.append((item, record))
        return accepted, tuple(refusals)

    def _on_prepare(self, now: float, sender: str, message: Prepare) -> None:
        asker: Asker = (sender, message.life)
        accepted, refusals = self._check_items(
            now,
            message.items,
            self._message_refusal(sender, message.sets),
            lambda record, item: decide.may_promise(record, now, asker, item.ballot, self._rules.promise_ms),
        )
        promised = []
        for item, record in accepted:
            record.ballot, record.asker, record.promised_at, record.touched_at = item.ballot, asker, now, now
            record.promised_floor = self._records.known_fence(item.channel)
            promised.append(Item(item.channel, item.ballot, record.promised_floor))
        if promised:
            self._out.add(Send(sender, Promised(message.life, tuple(promised))))
        if refusals:
            self._out.add(Send(sender, Refused(message.life, refusals)))

    def _on_propose(self, now: float, sender: str, message: Propose) -> None:
        asker: Asker = (sender, message.life)
        accepted, refusals = self._check_items(
            now,
            message.items,
            self._message_refusal(sender, message.sets, message.span_ms),
            lambda record, item: decide.may_grant(record, now, asker, item),
        )
        for item, record in accepted:
            _record_grant(record, asker, item.fence, now, message.span_ms)
        if accepted:
            self._out.add(Send(sender, Granted(message.life, tuple(item for item, _ in accepted))))
        if refusals:
            self._out.add(Send(sender, Refused(message.life, refusals)))

    def _on_renew(self, now: float, sender: str, message: Renew) -> None:
        asker: Asker = (sender, message.life)
        accepted, refusals = self._check_items(
            now,
            message.items,
            self._message_refusal(sender, message.sets, message.span_ms),
            lambda record, item: decide.may_extend(record, now, asker, item.fence),
        )
        for item, record in accepted:
            _record_grant(record, asker, item.fence, now, message.span_ms)
        self._out.add(Send(sender, Extended(message.life, message.request_id, refusals)))

    def _on_release(self, now: float, sender: str, message: Release) -> None:
        """Ends leases and keeps their fences, even if only others granted them; undoes failed attempts."""
        asker: Asker = (sender, message.life)
        for item in message.items:
            record = self._records.get_or_create(now, item.channel)
            if record is None or not decide.may_end(record, now, asker, item):
                continue
            record.owner, record.until, record.touched_at = None, now, now
            if item.ballot:
                record.fence = record.previous_fence
                continue
            record.fence, record.released_by = item.fence, asker
            if message.to:
                record.successor = message.to
                record.reserved_until = now + min(message.reserve_ms, self._rules.longest_ms)
        self._out.add(Send(sender, Released(message.life, message.request_id)))


def _record_grant(record: Record, asker: Asker, fence: int, now: float, span_ms: float) -> None:
    if fence != record.fence:
        record.previous_fence = record.fence
    record.owner, record.fence = asker, fence
    record.until, record.touched_at = now + span_ms, now
    record.released_by = None
    record.successor, record.reserved_until = "", 0.0
