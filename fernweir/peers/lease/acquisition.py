"""Acquisition of leases: a majority promises a ballot, then a majority grants one fence."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from random import Random

from fernweir.peers.base import Outbox, Send
from fernweir.peers.lease.attempts import Attempt, Want, backoff_after
from fernweir.peers.lease.events import Lease, LeaseUnavailable
from fernweir.peers.lease.messages import Granted, Item, Prepare, Promised, Propose, Refused
from fernweir.peers.lease.requests import batches
from fernweir.peers.lease.rules import MAX_FENCE, KeeperSet, LeaseRules, all_keepers, versions


class Acquisition:
    """The wanted channels and their attempts.

    `acquired` has the leases that were granted, and `unused_grants` what some keepers may have granted to an
    attempt that failed; the holder empties both.
    """

    def __init__(self, life: int, rules: LeaseRules, rng: Random, out: Outbox) -> None:
        self._life = life
        self._rules = rules
        self._rng = rng
        self._out = out
        self._last_fence = 0  # a fence proposed twice could be ended by the delayed undo of its first use
        self._requests: dict[tuple[str, type[Prepare] | type[Propose]], list[Item]] = {}
        self.sets: tuple[KeeperSet, ...] = ()
        self.wants: dict[str, Want] = {}
        self.acquired: list[Lease] = []
        self.unused_grants: list[Item] = []

    def add(self, now: float, channel: str, floor: int) -> None:
        want = self.wants.get(channel)
        if want is None:
            self.wants[channel] = Want(floor, now)
        else:
            want.floor = max(want.floor, floor)

    def cancel(self, channel: str) -> int:
        """Stops requesting the channel. Returns the fence that keepers may be granting right now, or 0."""
        want = self.wants.pop(channel, None)
        return want.attempt.fence if want is not None and want.attempt is not None else 0

    def change_keepers(self, now: float, sets: tuple[KeeperSet, ...]) -> None:
        """Restarts all attempts, because grants of the previous keepers do not count for them."""
        for channel, want in self.wants.items():
            if want.attempt is not None:
                self._abandon_attempt(now, channel, want, want.attempt)
                want.next_at = now
        self.sets = sets

    def tick(self, now: float) -> None:
        for channel, want in self.wants.items():
            attempt = want.attempt
            if attempt is None:
                if now >= want.next_at:
                    self._ask(channel, want.begin_attempt(now, self._rules), all_keepers(self.sets))
            elif attempt.has_failed(now, self.sets):
                self._abandon_attempt(now, channel, want, attempt)
            elif now >= attempt.resend_at:
                attempt.resend_at = now + self._rules.resend_ms
                self._ask(channel, attempt, all_keepers(self.sets))

    def deadlines(self) -> Iterator[float]:
        for want in self.wants.values():
            attempt = want.attempt
            yield want.next_at if attempt is None else min(attempt.ends_at, attempt.resend_at)

    # --- answers of keepers ---

    def on_promised(self, now: float, keeper: str, message: Promised) -> None:
        for item in message.items:
            found = self._running(item.channel, item.ballot)
            if found is None:
                continue
            want, attempt = found
            if (
                now >= attempt.ends_at
                or item.fence > MAX_FENCE
                or (attempt.fence and keeper in attempt.promises)
            ):
                continue
            attempt.promises[keeper] = max(item.fence, attempt.promises.get(keeper, 0))
            attempt.refusals.pop(keeper, None)
            if attempt.choose_fence(now, self.sets, max(want.floor, self._last_fence)):
                self._last_fence = attempt.fence
                self._ask(item.channel, attempt, list(attempt.promises))
            elif attempt.fence:
                self._ask(item.channel, attempt, [keeper])

    def on_granted(self, now: float, keeper: str, message: Granted) -> None:
        for item in message.items:
            found = self._running(item.channel, item.ballot)
            if found is None or item.fence != found[1].fence:
                continue
            want, attempt = found
            attempt.granted.add(keeper)
            if not attempt.has_won(self.sets):
                continue
            lease = Lease(item.channel, attempt.fence, attempt.asked_at + self._rules.validity_ms)
            if now < lease.until and lease.fence > want.floor:
                del self.wants[item.channel]
                self.acquired.append(lease)
            else:
                self._abandon_attempt(now, item.channel, want, attempt)

    def on_refused(self, now: float, keeper: str, message: Refused) -> None:
        for refusal in message.refusals:
            found = self._running(refusal.channel, refusal.ballot)
            if found is None:
                continue
            want, attempt = found
            attempt.refusals[keeper] = refusal
            want.raise_ballot(refusal.promised_ballot)
            if refusal.why in ("taken", "waits") and want.blocked_by != (refusal.by, refusal.fence):
                want.blocked_by = (refusal.by, refusal.fence)
                self._out.add(LeaseUnavailable(refusal.channel, refusal.by, refusal.fence))
            if attempt.has_failed(now, self.sets):
                self._abandon_attempt(now, refusal.channel, want, attempt)

    def _running(self, channel: str, ballot: int) -> tuple[Want, Attempt] | None:
        """Returns the attempt that an answer belongs to, or None if the answer is to an older ballot."""
        want = self.wants.get(channel)
        if want is None or want.attempt is None or want.attempt.ballot != ballot:
            return None
        return want, want.attempt

    def _abandon_attempt(self, now: float, channel: str, want: Want, attempt: Attempt) -> None:
        if attempt.fence:
            self.unused_grants.append(Item(channel, attempt.ballot, attempt.fence))
        want.failed_attempts += 1
        want.back_off(
            now, backoff_after(attempt.refusals, self.sets, self._rules, want.failed_attempts, self._rng)
        )

    # --- requests to keepers ---

    def _ask(self, channel: str, attempt: Attempt, keepers: Iterable[str]) -> None:
        """Queues for each keeper the next request of this attempt: for its promise or for its grant."""
        for keeper in keepers:
            if keeper not in attempt.promises:
                self._requests.setdefault((keeper, Prepare), []).append(Item(channel, attempt.ballot))
            elif keeper not in attempt.granted and attempt.may_propose_to(keeper):
                item = Item(channel, attempt.ballot, attempt.fence)
                self._requests.setdefault((keeper, Propose), []).append(item)

    def flush(self) -> None:
        """Sends the queued requests, as few messages to each keeper as the size of a message allows."""
        requests, self._requests = self._requests, {}
        sets = versions(self.sets)
        for (keeper, kind), items in requests.items():
            for batch in batches(items):
                if kind is Prepare:
                    self._out.add(Send(keeper, Prepare(self._life, sets, batch)))
                else:
                    self._out.add(Send(keeper, Propose(self._life, sets, self._rules.lease_ms, batch)))
