"""How a holder gets what it wants: ballots promised by a majority, then one fence granted by a majority."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from random import Random

from fernweir.peers.base import Outbox, Send
from fernweir.peers.lease.attempts import Attempt, Want, pause_after
from fernweir.peers.lease.events import Lease, Taken
from fernweir.peers.lease.messages import Granted, Item, Prepare, Promised, Propose, Refused
from fernweir.peers.lease.requests import cut
from fernweir.peers.lease.rules import FENCE_MOST, KeeperSet, LeaseRules, everyone, versions


class Getting:
    """Wants and their attempts. What was won stands in `won`, what some keepers may have granted in vain in
    `undo`, until the holder takes them."""

    def __init__(self, life: int, rules: LeaseRules, dice: Random, out: Outbox) -> None:
        self._life = life
        self._rules = rules
        self._dice = dice
        self._out = out
        self._minted = 0  # never the same fence twice: a late undoing of the first would end the second
        self._asks: dict[tuple[str, type[Prepare] | type[Propose]], list[Item]] = {}
        self.sets: tuple[KeeperSet, ...] = ()
        self.wants: dict[str, Want] = {}
        self.won: list[Lease] = []
        self.undo: list[Item] = []

    def want(self, now: float, channel: str, floor: int) -> None:
        want = self.wants.get(channel)
        if want is None:
            self.wants[channel] = Want(floor, now)
        else:
            want.floor = max(want.floor, floor)

    def drop(self, channel: str) -> int:
        """The channel is not wanted any more. The fence that keepers may just be granting, or 0."""
        want = self.wants.pop(channel, None)
        return want.attempt.fence if want is not None and want.attempt is not None else 0

    def change(self, now: float, sets: tuple[KeeperSet, ...]) -> None:
        """Attempts are begun anew: what the older keepers granted in them doesn't count."""
        for channel, want in self.wants.items():
            if want.attempt is not None:
                self._give_up(now, channel, want, want.attempt)
                want.due = now
        self.sets = sets

    def tick(self, now: float) -> None:
        for channel, want in self.wants.items():
            attempt = want.attempt
            if attempt is None:
                if now >= want.due:
                    self._ask(channel, want.begin(now, self._rules), everyone(self.sets))
            elif attempt.failed(now, self.sets):
                self._give_up(now, channel, want, attempt)
            elif now >= attempt.again_at:
                attempt.again_at = now + self._rules.again_ms
                self._ask(channel, attempt, everyone(self.sets))

    def dues(self) -> Iterator[float]:
        for want in self.wants.values():
            attempt = want.attempt
            yield want.due if attempt is None else min(attempt.ends_at, attempt.again_at)

    # --- what keepers answer ---

    def promised(self, now: float, keeper: str, message: Promised) -> None:
        for item in message.items:
            found = self._running(item.channel, item.ballot)
            if found is None:
                continue
            want, attempt = found
            if (
                now >= attempt.ends_at
                or item.fence > FENCE_MOST
                or (attempt.fence and keeper in attempt.told)
            ):
                continue
            attempt.told[keeper] = max(item.fence, attempt.told.get(keeper, 0))
            attempt.noes.pop(keeper, None)
            if attempt.mint(now, self.sets, max(want.floor, self._minted)):
                self._minted = attempt.fence
                self._ask(item.channel, attempt, list(attempt.told))
            elif attempt.fence:
                self._ask(item.channel, attempt, [keeper])

    def granted(self, now: float, keeper: str, message: Granted) -> None:
        for item in message.items:
            found = self._running(item.channel, item.ballot)
            if found is None or item.fence != found[1].fence:
                continue
            want, attempt = found
            attempt.granted.add(keeper)
            if not attempt.won(self.sets):
                continue
            lease = Lease(item.channel, attempt.fence, attempt.asked_at + self._rules.own_ms)
            if now < lease.until and lease.fence > want.floor:
                del self.wants[item.channel]
                self.won.append(lease)
            else:
                self._give_up(now, item.channel, want, attempt)

    def refused(self, now: float, keeper: str, message: Refused) -> None:
        for no in message.noes:
            found = self._running(no.channel, no.ballot)
            if found is None:
                continue
            want, attempt = found
            attempt.noes[keeper] = no
            want.leap(no.seen)
            if no.why in ("taken", "waits") and want.taken != (no.by, no.fence):
                want.taken = (no.by, no.fence)
                self._out.add(Taken(no.channel, no.by, no.fence))
            if attempt.failed(now, self.sets):
                self._give_up(now, no.channel, want, attempt)

    def _running(self, channel: str, ballot: int) -> tuple[Want, Attempt] | None:
        """The attempt that an answer is for; answers of older ballots are for none."""
        want = self.wants.get(channel)
        if want is None or want.attempt is None or want.attempt.ballot != ballot:
            return None
        return want, want.attempt

    def _give_up(self, now: float, channel: str, want: Want, attempt: Attempt) -> None:
        if attempt.fence:
            self.undo.append(Item(channel, attempt.ballot, attempt.fence))
        want.tries += 1
        want.rest(now, pause_after(attempt.noes, self.sets, self._rules, want.tries, self._dice))

    # --- what they are asked ---

    def _ask(self, channel: str, attempt: Attempt, keepers: Iterable[str]) -> None:
        """What each is still to be asked in this attempt: its promise, or its grant."""
        for keeper in keepers:
            if keeper not in attempt.told:
                self._asks.setdefault((keeper, Prepare), []).append(Item(channel, attempt.ballot))
            elif keeper not in attempt.granted and attempt.may_ask(keeper):
                item = Item(channel, attempt.ballot, attempt.fence)
                self._asks.setdefault((keeper, Propose), []).append(item)

    def flush(self) -> None:
        """One message for all that a keeper is asked in one call."""
        asks, self._asks = self._asks, {}
        sets = versions(self.sets)
        for (keeper, kind), items in asks.items():
            for some in cut(items):
                if kind is Prepare:
                    self._out.add(Send(keeper, Prepare(self._life, sets, some)))
                else:
                    self._out.add(Send(keeper, Propose(self._life, sets, self._rules.lease_ms, some)))
