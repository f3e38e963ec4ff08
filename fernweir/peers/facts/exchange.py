"""Rounds of gossip: what is told to whom, what is asked, and what is answered within the budget.

A round goes to a few random peers and names the owners that changed lately; who knows more of one answers
with what is newer, who knows less asks for it. A repair compares codes of all that is known, then of buckets,
and lists the owners of what differs.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from random import Random

from fernweir.peers.base import Outbox, Send
from fernweir.peers.facts import buckets, packing
from fernweir.peers.facts.budget import Budget
from fernweir.peers.facts.messages import BucketChecksums, BucketEntries, Compare, Entry, Want
from fernweir.peers.facts.owner_state import code_of
from fernweir.peers.facts.recently_changed import Hot
from fernweir.peers.facts.rules import FactRules
from fernweir.peers.facts.table import Table

_LISTED_MOST = 8  # times `listed`: a bucket beyond that was cut wrongly


class Exchange:
    def __init__(self, table: Table, rules: FactRules, budget: Budget, dice: Random, out: Outbox) -> None:
        self.table, self.rules = table, rules
        self.hot = Hot()
        self.repair_at = 0.0  # soon, when there is more to get
        self._budget, self._dice, self._out = budget, dice, out
        self._asked: dict[str, tuple[Entry, float]] = {}

    def changed(self, owner: str) -> None:
        self.hot.changed(owner, len(self.table.names))

    def forget(self, owner: str) -> None:
        self.hot.forget(owner)
        self._asked.pop(owner, None)

    def round(self, now: float) -> None:
        names, rules, repair = self.table.names, self.rules, now >= self.repair_at
        if not names or not (repair or self.hot or self._asked):
            return
        named = self.hot.name(rules.max_announced)
        named += [owner for owner in self._unanswered(now) if owner not in named][: rules.max_announced]
        entries = tuple(held.entry() for owner in named if (held := self.table.get(owner)))
        for index, peer in enumerate(
            self._dice.sample(names, min(rules.fanout if entries else 1, len(names)))
        ):
            if not self._pay(now, packing.entries_size(entries)):
                return
            total = buckets.total_checksum(self.table.live()) if repair and index == 0 else None
            self._out.add(Send(peer, Compare(entries, total, len(names) + 1)))
        if repair:
            self.repair_at = now + rules.repair_interval_ms * self._dice.uniform(0.9, 1.1)

    def _unanswered(self, now: float) -> list[str]:
        """Owners of whom more was asked and not got: whoever hears how little is known tells it."""
        until = now - self.rules.request_lifetime_ms
        self._asked = {
            owner: asked
            for owner, asked in self._asked.items()
            if asked[1] > until and self.table.lacks(asked[0]) is not None
        }
        return [owner for owner, asked in self._asked.items() if asked[1] <= now]

    # --- answers ---

    def compared(self, now: float, sender: str, message: Compare) -> None:
        live = self.table.live()
        differs = message.total is not None and self._explained(message.entries) != message.total
        for entry in message.entries:
            held = self.table.get(entry.owner)
            if held is not None and held.entry() == entry:
                self.hot.heard(entry.owner)
        wants = self._wants(now, message.entries)
        self.serve(now, sender, message.entries)
        if differs:
            owners = max(len(live), min(message.owners, self.rules.max_owners))
            codes = buckets.bucket_checksums(live, buckets.count_for(owners))
            if self._pay(now, packing.entries_size(wants) + len(codes), answer=True):
                self._out.add(Send(sender, BucketChecksums(codes, wants)))
        else:
            self._want(now, sender, wants)

    def differs(self, now: float, sender: str, message: BucketChecksums) -> None:
        self.serve(now, sender, message.wants)
        count = buckets.count_of(message.codes)
        if count is None:
            return
        live = self.table.live()
        differing = buckets.differing(buckets.bucket_checksums(live, count), message.codes)
        self._dice.shuffle(differing)
        by_bucket: dict[int, list[Entry]] = {bucket: [] for bucket in differing}
        for held in live:
            if (bucket := buckets.bucket_of(held.owner, count)) in by_bucket:
                by_bucket[bucket].append(held.entry())
        chosen: list[int] = []
        entries: list[Entry] = []
        for bucket in differing:
            if len(by_bucket[bucket]) > _LISTED_MOST * self.rules.max_listed:
                continue
            if chosen and len(entries) + len(by_bucket[bucket]) > self.rules.max_listed:
                self.repair_at = now  # the rest in the next round
                break
            chosen.append(bucket)
            entries += by_bucket[bucket]
        size = packing.entries_size(tuple(entries)) + 2 * len(chosen)
        if chosen and self._pay(now, size, answer=True):
            self._out.add(Send(sender, BucketEntries(count, tuple(chosen), tuple(entries)), size > 60_000))

    def listed(self, now: float, sender: str, message: BucketEntries) -> None:
        named, chosen = {entry.owner for entry in message.entries}, set(message.buckets)
        unknown = [
            Entry(held.owner)
            for held in self.table.live()
            if held.owner not in named and buckets.bucket_of(held.owner, message.count) in chosen
        ]
        wants = self._wants(now, message.entries)
        self.serve(now, sender, (*message.entries, *unknown))
        self._want(now, sender, wants)

    def serve(self, now: float, to: str, entries: Sequence[Entry]) -> None:
        """Sends what is newer than what somebody knows, as far as the budget goes."""
        rules = self.rules
        room = min(
            self._budget.level(now) - rules.burst_bytes * rules.reserve_ratio, float(rules.max_reliable_bytes)
        )
        missing: dict[str, packing.Missing] = {}
        size, cut = 0, False
        for entry in self._dice.sample(entries, len(entries)):
            held = self.table.get(entry.owner)
            since = held.since(entry) if held is not None else None
            if held is None or since is None:
                continue
            if size > room:
                cut = True
                break
            if records := held.records(now, since):
                missing[held.owner] = packing.Missing(held.owner, held.life, since, held.floor, records)
                size += sum(map(packing.record_size, records))
        if not missing:
            return
        answer = packing.pack(
            list(missing.values()), cut, room, rules.max_datagram_bytes, rules.max_datagrams
        )
        self._budget.spend(now, answer.size)
        for delta in answer.deltas:
            self._out.add(Send(to, delta, answer.whole))

    # --- pieces ---

    def _explained(self, entries: Iterable[Entry]) -> int:
        """The code of all here, if of the owners named as much were known as is said."""
        total = buckets.total_checksum(self.table.live())
        for owner, entry in {entry.owner: entry for entry in entries}.items():
            if self.table.is_peer(owner):
                held = self.table.get(owner)
                total ^= code_of(entry) ^ (held.code() if held is not None else 0)
        return total

    def _wants(self, now: float, entries: Iterable[Entry]) -> tuple[Entry, ...]:
        """What to ask for, of what others know more of; not of two at once."""
        wants = []
        for entry in entries:
            if entry.owner == self.table.me:
                self.table.own.claim(entry)
                continue
            lacks = self.table.lacks(entry)
            asked = self._asked.get(entry.owner)
            if lacks is None or (asked is not None and asked[0] == entry and now < asked[1]):
                continue
            self._asked[entry.owner] = (entry, now + self.rules.request_interval_ms)
            wants.append(lacks)
        return tuple(wants)

    def _want(self, now: float, to: str, wants: tuple[Entry, ...]) -> None:
        if wants and self._pay(now, packing.entries_size(wants), answer=True):
            self._out.add(Send(to, Want(wants)))

    def _pay(self, now: float, size: float, answer: bool = False) -> bool:
        """Answers leave a share of the burst for this front's own rounds."""
        floor = self.rules.burst_bytes * self.rules.reserve_ratio if answer else 0.0
        if self._budget.level(now) - size < floor:
            return False
        self._budget.spend(now, size)
        return True
