"""Planned hand-off of channels: offered, accepted, moved, overlap, over. Both ends are in one machine.

Who hands on goes down its list of heirs until one has accepted and got all that stands. Then it is frozen:
the lease goes, and until `overlap_ms` after that, by its own clock, it finishes what is out and steers
nothing else. The heir gets the lease above the old fence, claims at the boxes and acts. Every message about
an offer carries its id and may come twice, late or never: what is not answered is said again, what is said
again is answered again.

Who is responsible: the old owner until it is frozen; then whoever gets the lease, which the old owner asks
for again if its heir does not act or dies in the overlap. If neither gets it, the channel lapses to the
unplanned way, which begins from `takeover` as well.
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
    """Events: those of `giving` and of `takeover`.

    `listed` gives the numbers of all boxes that are listed and believed up, `known` the highest fence that
    is known of a channel (`Replica.fence`): what somebody offers under a lower one is not taken.
    `takeover` is shared by the planned and the unplanned way; its events come out of `take_effects` here.
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

    # --- the old owner's end ---

    def offer(
        self,
        now: float,
        channel: str,
        fence: int,
        statuses: Mapping[str, SessionStatus],
        successors: Sequence[str],
    ) -> bool:
        """Hands a channel on, whose lease this front holds under `fence`. False if it is on its way already.

        Until it is frozen the front steers on, and tells `change` and `end`. What it had taken over itself
        and is still in doubt goes along, for the heir to settle.
        """
        known = {**self.takeover.undecided(channel), **statuses}
        return self._source.offer(
            now, channel, fence, known, [name for name in successors if name != self.me]
        )

    def change(self, now: float, channel: str, status: SessionStatus) -> None:
        """A session of a channel on its way is new or changed; in the overlap, an attempt's good end."""
        self._source.change(now, channel, status.session, status)

    def end(self, now: float, channel: str, session: str) -> None:
        self._source.change(now, channel, session, None)

    def on_frozen(self, now: float, channel: str, out: Iterable[str]) -> None:
        """The answer to `Freeze`: nothing is steered any more, and attempts are out for these sessions."""
        doubtful = self.takeover.undecided(channel)
        self.takeover.stop(channel)
        self._source.on_frozen(now, channel, [*out, *doubtful])

    def cancel(self, now: float, channel: str, why: str) -> bool:
        """Takes an offer back; False once it is frozen and handed, or if there is none."""
        return self._source.cancel(now, channel, why)

    def outgoing(self) -> list[str]:
        return self._source.channels()

    # --- the heir's end ---

    def set_capacity(self, sessions: int, closed: str = "") -> None:
        """How many sessions may come by hand-off at a time; with `closed` none, for that reason."""
        self._target.set_capacity(sessions, closed)

    def on_claimed(self, now: float, channel: str, claimed: ClaimResult) -> None:
        """A box's answer to `Claim`, of whichever way."""
        self.takeover.on_claimed(now, channel, claimed)
        self._drain()

    def incoming(self) -> list[str]:
        return self._target.channels()

    # --- both ---

    def on_lease_acquired(self, now: float, channel: str, fence: int) -> bool:
        """The lease that `WantLease` asked for is here. False if no hand-off waits for it."""
        was_wanted = self._source.on_lease_acquired(now, channel, fence) or self._target.on_lease_acquired(
            now, channel, fence
        )
        self._drain()
        return was_wanted

    def on_lease_taken(self, now: float, channel: str, by: str, fence: int) -> None:
        """Another holds the lease that was asked for."""
        self._source.on_lease_taken(now, channel, by, fence)
        self._target.on_lease_taken(channel, fence)

    def on_lease_lost(self, now: float, channel: str) -> None:
        """The lease is gone without `ReleaseLease`. To be told before anything else on waking up."""
        self._source.on_lease_lost(now, channel)
        self._target.on_lease_lost(channel)
        self.takeover.stop(channel)

    def on_peer_died(self, now: float, name: str) -> None:
        """A front is believed dead."""
        self._source.on_peer_died(now, name)

    def may_steer(self, channel: str) -> bool:
        """Whether hand-off and taking over leave an owner with a valid lease free to steer the channel."""
        for verdict in (self._source.may_steer(channel), self.takeover.may_steer(channel)):
            if verdict is not None:
                return verdict
        return True

    def may_finish(self, now: float, channel: str) -> bool:
        """Whether attempts that were out when the channel was frozen may still be finished from here."""
        return self._source.may_finish(now, channel)

    # --- the part ---

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
