"""Planned hand-off of channels: offer, acceptance, transfer, overlap. Contains both source and target.

The source offers the channel to its successors in order until one has accepted and received all statuses. It
then freezes the channel and releases the lease, and until `overlap_ms` after that, by its own clock, it only
finishes the attempts in flight. The target gets the lease above the old fence, claims the channel at the
servers and becomes active. Messages carry the id of their offer and may be duplicated, delayed or lost:
unanswered messages are sent again, and duplicates are answered again.

Responsibility: the source until it is frozen; then the front that gets the lease. The source requests the
lease again if the target does not become active or dies during the overlap. If neither gets it, the channel
is left to an unplanned takeover, which starts in `takeover` as well.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from random import Random

from fernweir.peers.base import Effect, Message, Outbox
from fernweir.peers.channel.handoff_source import HandoffSource
from fernweir.peers.channel.handoff_target import HandoffTarget
from fernweir.peers.channel.rules import HandoffRules
from fernweir.peers.channel.takeover import HigherFenceFound, Inherited, Settled, Takeover
from fernweir.peers.port import ClaimResult, SessionStatus


class Handoff:
    """Events: those of `handoff_source` and of `takeover`.

    `listed` returns the numbers of all listed servers that are up, and `known` the highest known fence of a
    channel (`ChannelReplication.fence`); offers under a lower fence are declined. `takeover` is shared by
    planned and unplanned takeovers; `take_effects` returns its events too.
    """

    def __init__(
        self,
        me: str,
        rules: HandoffRules | None = None,
        seed: int = 0,
        takeover: Takeover | None = None,
        listed: Callable[[], Iterable[int]] = tuple,
        known: Callable[[str], int] = lambda channel: 0,
    ) -> None:
        self.me, self.rules = me, rules or HandoffRules()
        self.takeover = takeover or Takeover()
        self._out = Outbox()
        self._source = HandoffSource(self.rules, Random(f"handoff {me} {seed}"), self._out)
        self._target = HandoffTarget(self.rules, self.takeover, listed, known, self._out)

    # --- source ---

    def offer(
        self,
        now: float,
        channel: str,
        fence: int,
        statuses: Mapping[str, SessionStatus],
        successors: Sequence[str],
    ) -> bool:
        """Starts the hand-off of a channel that this front owns. Returns False if one is in progress.

        Until the channel is frozen, the front continues to steer it and calls `change` and `end`. Sessions
        that are still in doubt from an earlier takeover are included, and the target settles them.
        """
        known = {**self.takeover.undecided(channel), **statuses}
        return self._source.offer(
            now, channel, fence, known, [name for name in successors if name != self.me]
        )

    def change(self, now: float, channel: str, status: SessionStatus) -> None:
        """Adds or updates a session of a channel in hand-off; in the overlap, after a successful attempt."""
        self._source.change(now, channel, status.session, status)

    def end(self, now: float, channel: str, session: str) -> None:
        self._source.change(now, channel, session, None)

    def on_frozen(self, now: float, channel: str, out: Iterable[str]) -> None:
        """Answers `Freeze`: steering has stopped; `out` are the sessions with attempts in flight."""
        doubtful = self.takeover.undecided(channel)
        self.takeover.stop(channel)
        self._source.on_frozen(now, channel, [*out, *doubtful])

    def cancel(self, now: float, channel: str, why: str) -> bool:
        """Cancels an offer. Returns False if the lease was released already, or there is no offer."""
        return self._source.cancel(now, channel, why)

    def outgoing(self) -> list[str]:
        return self._source.channels()

    # --- target ---

    def set_capacity(self, sessions: int, closed: str = "") -> None:
        """Sets how many sessions may arrive by hand-off; `closed` is a reason to accept none."""
        self._target.set_capacity(sessions, closed)

    def on_claimed(self, now: float, channel: str, claimed: ClaimResult) -> None:
        """Handles the answer of a server to `Claim`, in planned and unplanned takeovers."""
        self.takeover.on_claimed(now, channel, claimed)
        self._drain()

    def incoming(self) -> list[str]:
        return self._target.channels()

    # --- both ---

    def on_lease_acquired(self, now: float, channel: str, fence: int) -> bool:
        """Handles the lease that `WantLease` requested. Returns False if no hand-off waits for it."""
        was_wanted = self._source.on_lease_acquired(now, channel, fence) or self._target.on_lease_acquired(
            now, channel, fence
        )
        self._drain()
        return was_wanted

    def on_lease_taken(self, now: float, channel: str, by: str, fence: int) -> None:
        """Another front holds the requested lease."""
        self._source.on_lease_taken(now, channel, by, fence)
        self._target.on_lease_taken(channel, fence)

    def on_lease_lost(self, now: float, channel: str) -> None:
        """The lease was lost without `ReleaseLease`. Called first of all after the process was suspended."""
        self._source.on_lease_lost(now, channel)
        self._target.on_lease_lost(channel)
        self.takeover.stop(channel)

    def on_peer_died(self, now: float, name: str) -> None:
        """The failure detector reported a front as dead."""
        self._source.on_peer_died(now, name)

    def may_steer(self, channel: str) -> bool:
        """Whether hand-off and takeover permit an owner with a valid lease to steer the channel."""
        for verdict in (self._source.may_steer(channel), self.takeover.may_steer(channel)):
            if verdict is not None:
                return verdict
        return True

    def may_finish(self, now: float, channel: str) -> bool:
        """Whether this front may still finish attempts that were in flight when the channel was frozen."""
        return self._source.may_finish(now, channel)

    # --- state machine ---

    def on_message(self, now: float, sender: str, message: Message) -> None:
        self._source.on_message(now, sender, message)
        self._target.on_message(now, sender, message)
        self._drain()

    def tick(self, now: float) -> None:
        self._source.tick(now)
        self._target.tick(now)
        self.takeover.tick(now)
        self._drain()

    def next_deadline(self) -> float | None:
        deadlines = (
            self._source.next_deadline(),
            self._target.next_deadline(),
            self.takeover.next_deadline(),
        )
        return min((due for due in deadlines if due is not None), default=None)

    def take_effects(self) -> list[Effect]:
        self._drain()
        return self._out.take_effects()

    def _drain(self) -> None:
        for effect in self.takeover.take_effects():
            self._out.add(effect)
            if isinstance(effect, Settled):
                self._source.on_settled(effect.channel, effect.take, effect.over)
            if isinstance(effect, Inherited):
                self._target.on_takeover_active(effect.channel, effect.fence)
            elif isinstance(effect, HigherFenceFound):
                self._target.on_lease_taken(effect.channel, effect.fence)
