"""Gossip rounds: what is sent to which peer, what is requested, and what is answered within the budget.

A round goes to a few random peers and announces the owners that changed recently. A peer that knows more of
an owner answers with the newer records; one that knows less requests them. A repair compares checksums of
everything that is known, then of buckets, and lists the owners in the buckets that differ.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from random import Random

from fernweir.peers.base import Outbox, Send
from fernweir.peers.facts import buckets, packing
from fernweir.peers.facts.budget import Budget
from fernweir.peers.facts.messages import BucketChecksums, BucketEntries, Compare, Entry, Want
from fernweir.peers.facts.owner_state import checksum_of
from fernweir.peers.facts.recently_changed import RecentlyChanged
from fernweir.peers.facts.rules import FactRules
from fernweir.peers.facts.table import OwnerTable

_MAX_LISTED_FACTOR = (
    8  # a bucket with more than this times `max_listed` owners comes from a wrong bucket count
)


class Exchange:
    """Sends and answers the messages of gossip rounds and repairs."""

    def __init__(self, table: OwnerTable, rules: FactRules, budget: Budget, rng: Random, out: Outbox) -> None:
        self.table, self.rules = table, rules
        self.recently_changed = RecentlyChanged()
        self.repair_at = 0.0  # set to the present when a peer has more to send
        self._budget, self._rng, self._out = budget, rng, out
        self._requested: dict[str, tuple[Entry, float]] = {}

    def on_changed(self, owner: str) -> None:
        """Announces an owner in the next rounds."""
        self.recently_changed.on_changed(owner, len(self.table.peer_names))

    def forget(self, owner: str) -> None:
        """Ends announcements of and requests for an owner."""
        self.recently_changed.forget(owner)
        self._requested.pop(owner, None)

    def start_round(self, now: float) -> None:
        """Sends the messages of a round, and begins a repair if one is due."""
        names, rules, repair = self.table.peer_names, self.rules, now >= self.repair_at
        if not names or not (repair or self.recently_changed or self._requested):
            return
        announced = self.recently_changed.next_owners(rules.max_announced)
        announced += [owner for owner in self._unanswered_requests(now) if owner not in announced][
            : rules.max_announced
        ]
        entries = tuple(state.entry() for owner in announced if (state := self.table.get(owner)))
        for index, peer in enumerate(
            self._rng.sample(names, min(rules.fanout if entries else 1, len(names)))
        ):
            if not self._try_spend(now, packing.entries_size(entries)):
                return
            checksum = buckets.total_checksum(self.table.compared_states()) if repair and index == 0 else None
            self._out.add(Send(peer, Compare(entries, checksum, len(names) + 1)))
        if repair:
            self.repair_at = now + rules.repair_interval_ms * self._rng.uniform(0.9, 1.1)

    def _unanswered_requests(self, now: float) -> list[str]:
        """Returns owners whose requested records did not arrive.

        A peer that receives the entry of such an owner sees how little is known here, and sends the rest.
        """
        oldest_request = now - self.rules.request_lifetime_ms
        self._requested = {
            owner: request
            for owner, request in self._requested.items()
            if request[1] > oldest_request and self.table.entry_if_behind(request[0]) is not None
        }
        return [owner for owner, request in self._requested.items() if request[1] <= now]

    # --- answers ---

    def on_compare(self, now: float, sender: str, message: Compare) -> None:
        """Answers a round of a peer."""
        states = self.table.compared_states()
        differs = (
            message.checksum is not None and self._expected_checksum(message.entries) != message.checksum
        )
        for entry in message.entries:
            state = self.table.get(entry.owner)
            if state is not None and state.entry() == entry:
                self.recently_changed.on_announced(entry.owner)
        wants = self._new_requests(now, message.entries)
        self.send_missing(now, sender, message.entries)
        if differs:
            owner_count = max(len(states), min(message.owner_count, self.rules.max_owners))
            checksums = buckets.bucket_checksums(states, buckets.bucket_count_for(owner_count))
            if self._try_spend(now, packing.entries_size(wants) + len(checksums), answer=True):
                self._out.add(Send(sender, BucketChecksums(checksums, wants)))
        else:
            self._send_want(now, sender, wants)

    def on_bucket_checksums(self, now: float, sender: str, message: BucketChecksums) -> None:
        """Answers with the entries of as many differing buckets as one message may list."""
        self.send_missing(now, sender, message.wants)
        bucket_count = buckets.bucket_count_of(message.checksums)
        if bucket_count is None:
            return
        states = self.table.compared_states()
        differing = buckets.differing_buckets(
            buckets.bucket_checksums(states, bucket_count), message.checksums
        )
        self._rng.shuffle(differing)
        by_bucket: dict[int, list[Entry]] = {bucket: [] for bucket in differing}
        for state in states:
            if (bucket := buckets.bucket_of(state.owner, bucket_count)) in by_bucket:
                by_bucket[bucket].append(state.entry())
        chosen: list[int] = []
        entries: list[Entry] = []
        for bucket in differing:
            if len(by_bucket[bucket]) > _MAX_LISTED_FACTOR * self.rules.max_listed:
                continue
            if chosen and len(entries) + len(by_bucket[bucket]) > self.rules.max_listed:
                self.repair_at = now  # the next round compares the remaining buckets
                break
            chosen.append(bucket)
            entries += by_bucket[bucket]
        size = packing.entries_size(tuple(entries)) + 2 * len(chosen)
        if chosen and self._try_spend(now, size, answer=True):
            self._out.add(
                Send(sender, BucketEntries(bucket_count, tuple(chosen), tuple(entries)), size > 60_000)
            )

    def on_bucket_entries(self, now: float, sender: str, message: BucketEntries) -> None:
        """Sends what the peer lacks in the listed buckets, and requests what is missing here."""
        listed, chosen = {entry.owner for entry in message.entries}, set(message.buckets)
        unknown = [
            Entry(state.owner)
            for state in self.table.compared_states()
            if state.owner not in listed and buckets.bucket_of(state.owner, message.bucket_count) in chosen
        ]
        wants = self._new_requests(now, message.entries)
        self.send_missing(now, sender, (*message.entries, *unknown))
        self._send_want(now, sender, wants)

    def send_missing(self, now: float, to: str, entries: Sequence[Entry]) -> None:
        """Sends the records that a peer with these entries lacks, as far as the budget allows."""
        rules = self.rules
        capacity = min(
            self._budget.level(now) - rules.burst_bytes * rules.reserve_ratio, float(rules.max_reliable_bytes)
        )
        missing: dict[str, packing.Missing] = {}
        size, truncated = 0, False
        for entry in self._rng.sample(entries, len(entries)):
            state = self.table.get(entry.owner)
            since = state.first_missing(entry) if state is not None else None
            if state is None or since is None:
                continue
            if size > capacity:
                truncated = True
                break
            if records := state.records(now, since):
                missing[state.owner] = packing.Missing(state.owner, state.life, since, state.floor, records)
                size += sum(map(packing.record_size, records))
        if not missing:
            return
        answer = packing.pack(
            list(missing.values()), truncated, capacity, rules.max_datagram_bytes, rules.max_datagrams
        )
        self._budget.spend(now, answer.size)
        for delta in answer.deltas:
            self._out.add(Send(to, delta, answer.reliable))

    # --- internals ---

    def _expected_checksum(self, entries: Iterable[Entry]) -> int:
        """Returns the checksum of everything known here, as if the announced entries were known, too."""
        checksum = buckets.total_checksum(self.table.compared_states())
        for owner, entry in {entry.owner: entry for entry in entries}.items():
            if self.table.is_peer(owner):
                state = self.table.get(owner)
                checksum ^= checksum_of(entry) ^ (state.checksum() if state is not None else 0)
        return checksum

    def _new_requests(self, now: float, entries: Iterable[Entry]) -> tuple[Entry, ...]:
        """Returns what to request of owners of which a peer knows more, unless it was requested recently."""
        wants = []
        for entry in entries:
            if entry.owner == self.table.me:
                self.table.local.on_claim(entry)
                continue
            known = self.table.entry_if_behind(entry)
            request = self._requested.get(entry.owner)
            if known is None or (request is not None and request[0] == entry and now < request[1]):
                continue
            self._requested[entry.owner] = (entry, now + self.rules.request_interval_ms)
            wants.append(known)
        return tuple(wants)

    def _send_want(self, now: float, to: str, wants: tuple[Entry, ...]) -> None:
        if wants and self._try_spend(now, packing.entries_size(wants), answer=True):
            self._out.add(Send(to, Want(wants)))

    def _try_spend(self, now: float, size: float, answer: bool = False) -> bool:
        """Spends the bytes if the budget has them; answers leave a part of the burst for own rounds."""
        floor = self.rules.burst_bytes * self.rules.reserve_ratio if answer else 0.0
        if self._budget.level(now) - size < floor:
            return False
        self._budget.spend(now, size)
        return True
