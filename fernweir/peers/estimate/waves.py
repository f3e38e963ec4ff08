"""An order over its limit is cut into waves, each estimated anew from what the last one did.

A machine: `next` plans one wave, whoever drives it carries that out and says `done` with what it did. When
more happened than was estimated it pauses; it goes on after a stated time if nothing forbids it, with
smaller waves; and it ends for good by the rules, for which the reason is kept.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum

from fernweir.peers.estimate.bounds import Bound


@dataclass(frozen=True, slots=True)
class Cost:
    """What a wave may do, and did: the quantities that orders are limited by."""

    sessions: float
    setups_s: float
    ration: float
    uplink: float  # of the fullest rack's room, the share that is used


@dataclass(frozen=True, slots=True)
class CostBound:
    sessions: Bound
    setups_s: Bound
    ration: Bound
    uplink: Bound


@dataclass(frozen=True, slots=True)
class WaveRules:
    """`most`: what one wave may do at its upper bound. `small`: the first wave's share of that."""

    most: Cost
    small: float = 0.1
    grow: float = 2.0  # each wave that went as estimated lets the next be so many times larger, up to `most`
    pause_ms: float = 30_000.0
    most_pauses: int = 3
    abort_factor: float = 3.0  # so many times its upper bound is no misjudgement but something broken
    worst: float = 8.0  # widening beyond which nothing is known well enough to go on


class Phase(Enum):
    READY = "ready"
    OUT = "out"  # a wave is being carried out
    PAUSED = "paused"
    OVER = "over"
    ABORTED = "aborted"


@dataclass(frozen=True, slots=True)
class Wave:
    """Units of the order (boxes of a rack, fronts, channels) to be done now, and what that may cost."""

    number: int
    units: tuple[str, ...]
    cost: CostBound


QUANTITIES = ("sessions", "setups_s", "ration", "uplink")


class Waves:
    """`weigh`: what these units would cost as the fleet is now; it is asked anew for every wave."""

    def __init__(
        self, units: Sequence[str], weigh: Callable[[Sequence[str]], CostBound], rules: WaveRules
    ) -> None:
        self._units = deque(dict.fromkeys(units))
        self._weigh = weigh
        self._rules = rules
        self._allowed = rules.small
        self._widening = 1.0
        self._wave: Wave | None = None
        self._number = 0
        self._pauses = 0
        self._until = 0.0
        self.phase = Phase.READY if self._units else Phase.OVER
        self.why = ""

    @property
    def left(self) -> int:
        return len(self._units)

    def next(self, now: float) -> Wave | None:
        """The next wave, or None: one is out, it is paused, or it is over. A single unit that is over the
        limit can't be cut further, and ends the order."""
        if self.phase is Phase.PAUSED and now >= self._until:
            self.phase = Phase.READY
        if self.phase is not Phase.READY:
            return None
        chosen: list[str] = []
        cost: CostBound | None = None
        # Costs need not add up (a rack's uplink is shared), so the longest prefix is sought by doubling and
        # halving, with each one weighed as a whole.
        low, high = 0, len(self._units)
        size = 1
        while low < high:
            told = self._widened(self._weigh([*self._units][:size]))
            if self._fits(told, self._allowed):
                low, cost = size, told
                size = min(high, size * 2) if size * 2 <= high else (size + high + 1) // 2
            else:
                high = size - 1
                size = (low + high + 1) // 2
        if not low:
            told = self._widened(self._weigh([self._units[0]]))
            if not self._fits(told, 1.0):
                self._abort(f"{self._units[0]} alone is over the limit")
                return None
            low, cost = 1, told  # small waves are a precaution, the limit is the rule
        chosen = [self._units.popleft() for _ in range(low)]
        assert cost is not None
        self._number += 1
        self._wave = Wave(self._number, tuple(chosen), cost)
        self.phase = Phase.OUT
        return self._wave

    def done(self, now: float, number: int, actual: Cost, left_over: Sequence[str] = ()) -> None:
        """What a wave did; units it could not do come again."""
        wave = self._wave
        if self.phase is not Phase.OUT or wave is None or wave.number != number:
            return
        self._wave = None
        self._units.extend(unit for unit in dict.fromkeys(left_over) if unit in wave.units)
        over = max(_ratio(getattr(actual, name), getattr(wave.cost, name).high) for name in QUANTITIES)
        if over > self._rules.abort_factor:
            self._abort(f"wave {number} did {over:.1f} times its upper bound")
        elif over > 1.0 or len(left_over) >= len(wave.units):
            self._pause(now, over)
        else:
            self._allowed = min(1.0, self._allowed * self._rules.grow)
            self._widening = max(1.0, self._widening * 0.8)
            self.phase = Phase.READY
        if not self._units and self.phase in (Phase.READY, Phase.PAUSED):
            self.phase = Phase.OVER

    def stop(self, why: str) -> None:
        """Whoever gave the order takes back what is left of it. What is out goes on."""
        if self.phase is not Phase.OVER:
            self._abort(why)

    def next_deadline(self) -> float | None:
        return self._until if self.phase is Phase.PAUSED else None

    def _pause(self, now: float, over: float) -> None:
        self._pauses += 1
        self._widening *= max(1.25, over)
        if self._pauses > self._rules.most_pauses:
            self._abort("too many pauses")
        elif self._widening > self._rules.worst:
            self._abort("estimates can't be relied on")
        else:
            self._allowed = self._rules.small
            self._until = now + self._rules.pause_ms
            self.phase = Phase.PAUSED

    def _abort(self, why: str) -> None:
        self.phase, self.why = Phase.ABORTED, why

    def _widened(self, cost: CostBound) -> CostBound:
        def wide(bound: Bound) -> Bound:
            return Bound(bound.low, bound.guess, bound.high * self._widening)

        return CostBound(wide(cost.sessions), wide(cost.setups_s), wide(cost.ration), wide(cost.uplink))

    def _fits(self, cost: CostBound, share: float) -> bool:
        return all(getattr(cost, name).high <= getattr(self._rules.most, name) * share for name in QUANTITIES)


def _ratio(actual: float, high: float) -> float:
    return actual / high if high > 0 else (0.0 if actual <= 0 else float("inf"))
