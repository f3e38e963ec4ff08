"""The holder: acquires, renews and releases leases of channels, and expires them by its own clock.

A lease is valid from the time of the first request, by the holder's clock, for less time than the span of any
keeper can last. Each call first drops the leases that have expired, so that a process that was suspended
detects this in its first call.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from fernweir.peers.base import Effect, Message, Outbox
from fernweir.peers.lease.acquisition import Acquisition
from fernweir.peers.lease.events import Lease
from fernweir.peers.lease.held_leases import HeldLeases
from fernweir.peers.lease.messages import Extended, Granted, Item, Promised, Refused, Released
from fernweir.peers.lease.pending_releases import PendingReleases
from fernweir.peers.lease.rules import MAX_FLOOR, KeeperSet, LeaseRules, all_keepers, checked_sets


class Holder:
    """Requests and holds leases on behalf of one front.

    `life` must differ from that of every earlier process with this name. A message addressed to the front's
    own name must be passed to `on_message` of its own keeper, and the answer to `on_message` of this holder.
    """

    def __init__(self, me: str, life: int, rules: LeaseRules, seed: int, sets: Iterable[KeeperSet]) -> None:
        self._life = life
        self._rules = rules
        self._sets = checked_sets(sets)
        self._out = Outbox()
        self._acquisition = Acquisition(life, rules, Random(f"lease {me} {life} {seed}"), self._out)
        self._held_leases = HeldLeases(life, rules, self._out)
        self._pending_releases = PendingReleases(life, rules, self._out)
        self._acquisition.sets = self._held_leases.sets = self._sets

    # --- requests of the front ---

    def want(self, now: float, channel: str, floor: int = 0) -> None:
        """Requests the channel until `LeaseAcquired`, under a fence above `floor`, the highest known fence.

        If a server reports a higher fence this must be called again with it, also while the lease is held.

        Raises:
            OverflowError: The holder would have more than `max_channels` channels.
        """
        self._held_leases.expire(now)
        floor = min(floor, MAX_FLOOR)
        leases, wants = self._held_leases.leases, self._acquisition.wants
        held = leases.get(channel)
        if held is not None and held.fence > floor:
            return
        if channel not in wants and len(wants) + len(leases) >= self._rules.max_channels:
            raise OverflowError(
                f"cannot request channel {channel!r}: limit of {self._rules.max_channels} channels"
            )
        self._acquisition.add(now, channel, floor)

    def release(self, now: float, channel: str) -> None:
        """Stops requesting the channel and, if it is held, ends the lease so that others can get it."""
        self._give_up_channel(now, channel, "", "released")

    def hand_over(self, now: float, channel: str, to: str) -> None:
        """Releases the channel, which keepers then reserve for the front `to` for `reserve_ms`."""
        self._give_up_channel(now, channel, to, "handed")

    def current_lease(self, now: float, channel: str) -> Lease | None:
        """Returns the lease of the channel if it is valid now by the holder's clock."""
        lease = self._held_leases.leases.get(channel)
        return lease if lease is not None and now < lease.until else None

    def current_leases(self, now: float) -> list[Lease]:
        return [lease for lease in self._held_leases.leases.values() if now < lease.until]

    def change_keepers(self, now: float, sets: Iterable[KeeperSet]) -> bool:
        """Replaces the keeper sets in force; held leases stay and are renewed by the new keepers.

        Returns False if the sets are older than, or equal to, the current ones.
        """
        self._held_leases.expire(now)
        found = checked_sets(sets)
        if found == self._sets or found[-1].version < self._sets[-1].version:
            return False
        self._sets = found
        self._acquisition.change_keepers(now, found)
        self._held_leases.change_keepers(now, found)
        self._apply_results(now)
        return True

    # --- the state machine ---

    def on_message(self, now: float, sender: str, message: Message) -> None:
        self._held_leases.expire(now)
        if sender not in all_keepers(self._sets) or getattr(message, "life", self._life) != self._life:
            return
        match message:
            case Promised():
                self._acquisition.on_promised(now, sender, message)
            case Granted():
                self._acquisition.on_granted(now, sender, message)
            case Refused():
                self._acquisition.on_refused(now, sender, message)
            case Extended():
                self._held_leases.on_extended(now, sender, message)
            case Released():
                self._pending_releases.on_released(sender, message)
            case _:
                pass
        self._apply_results(now)

    def tick(self, now: float) -> None:
        self._held_leases.expire(now)
        self._acquisition.tick(now)
        self._held_leases.tick(now)
        self._pending_releases.tick(now)
        self._apply_results(now)

    def next_deadline(self) -> float | None:
        deadlines = (
            *self._acquisition.deadlines(),
            *self._held_leases.deadlines(),
            *self._pending_releases.deadlines(),
        )
        return min(deadlines, default=None)

    def take_effects(self) -> list[Effect]:
        return self._out.take_effects()

    # --- coordination of acquisition, held leases and releases ---

    def _give_up_channel(self, now: float, channel: str, to: str, why: str) -> None:
        self._held_leases.expire(now)
        proposed_fence = self._acquisition.cancel(channel)
        lease = self._held_leases.remove(channel, why)
        fence = max(proposed_fence, lease.fence if lease is not None else 0)
        if fence:
            self._pending_releases.add(now, self._sets, [Item(channel, 0, fence)], to, self._rules.lease_ms)

    def _apply_results(self, now: float) -> None:
        """Stores acquired leases and undoes unused grants, unless an older lease depends on their lock."""
        acquired, self._acquisition.acquired = self._acquisition.acquired, []
        for lease in acquired:
            self._held_leases.add(lease)
        unused_grants, self._acquisition.unused_grants = self._acquisition.unused_grants, []
        unused_grants = [item for item in unused_grants if item.channel not in self._held_leases.leases]
        if unused_grants:
            self._pending_releases.add(now, self._sets, unused_grants, "", self._rules.attempt_ms)
        self._acquisition.flush()
