"""Estimates of the loads of links and uplinks, from reports and from the rates of a front's own sessions.

Times are milliseconds of the front's clock, rates and capacities kB a second, loads ratios of demand to
capacity.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Collection
from dataclasses import dataclass
from math import inf

TARGET_UTILIZATION = 0.80  # links and uplinks accept sessions below this load; the rest absorbs bursts
DOWNSWITCH_STEP = 0.20  # sessions go down one rung for each full step of load above the target
DOWNSWITCH_TARGET = TARGET_UTILIZATION + 0.75 * DOWNSWITCH_STEP  # load to shed down to; avoids overshoot
EWMA_WEIGHT = 0.2  # weight of the newest report in a moving average over about five reports
MIN_OWN_RATIO = 0.05  # of the capacity; a smaller own demand is no basis to estimate the total


@dataclass(slots=True, eq=False)
class TypicalLoad:
    """Moving averages of the reported loads of all links, or of all uplinks; used for one without a report.

    Loaded links are reported more often, by every front with a session there. Therefore `mean`, used for
    single links, is biased high. `harmonic_mean`, used for sums of links, weights each report by the inverse
    of its load, or else the busiest servers would make a rack seem full; health checks bias this mean low.
    """

    first_weight: float = EWMA_WEIGHT  # weight of the first report in `mean`
    mean: float = 0.0
    harmonic_mean: float = 0.0

    def observe(self, load: float) -> None:
        """Adds a reported load to the averages."""
        weight = EWMA_WEIGHT if self.mean else self.first_weight
        self.mean += (min(load, 1.0 / TARGET_UTILIZATION) - self.mean) * weight
        observed = 1.0 / max(load, MIN_OWN_RATIO)
        previous = 1.0 / self.harmonic_mean if self.harmonic_mean else observed
        self.harmonic_mean = 1.0 / (previous + (observed - previous) * EWMA_WEIGHT)


class LoadEstimator(ABC):
    """Estimates the load of a link or uplink from its last report and this front's rate changes since."""

    __slots__ = (
        "_own_changes",
        "decay_ms",
        "own_kbyte_s",
        "reported_at",
        "reported_load",
        "shed_at",
        "total_to_own_ratio",
        "typical",
    )

    member_links: Collection[LoadEstimator] = ()  # of an uplink that is not reported itself

    def __init__(self, typical: TypicalLoad, decay_ms: float) -> None:
        self.typical, self.decay_ms = typical, decay_ms
        self.own_kbyte_s = self.total_to_own_ratio = 0.0
        self.reported_load: float | None = None
        self.reported_at = self.shed_at = -inf
        self._own_changes: list[tuple[float, float]] = []  # times and rates, oldest first

    @property
    @abstractmethod
    def capacity_kbyte_s(self) -> float:
        """The rate that it can carry."""

    def add_own_rate(self, now: float, rate_kbyte_s: float) -> None:
        """Adds a change, positive or negative, to the total rate of this front's sessions."""
        self.own_kbyte_s += rate_kbyte_s
        self._own_changes.append((now, rate_kbyte_s))
        self._drop_own_changes(now - 2.0 * self.decay_ms)  # no report older than this is used

    def observe(self, load: float, observed_at: float, is_sample: bool = True) -> None:
        """Records a report of time `observed_at` unless a newer one exists; a sample updates `typical`."""
        if not 0.0 <= load < inf or observed_at < self.reported_at:
            return
        self.reported_load, self.reported_at = load, observed_at
        if is_sample:
            self.typical.observe(load)
        if self.own_kbyte_s >= MIN_OWN_RATIO * self.capacity_kbyte_s:
            ratio = load * self.capacity_kbyte_s / self.own_kbyte_s
            weight = EWMA_WEIGHT if self.total_to_own_ratio else 1.0
            self.total_to_own_ratio += (ratio - self.total_to_own_ratio) * weight
        self._drop_own_changes(observed_at)

    def forget_report(self) -> None:
        """Discards the last report, because it describes a process that has ended."""
        self.reported_load, self.reported_at = None, -inf
        self._own_changes.clear()

    def load(self, now: float) -> float:
        """Returns the last report plus own changes; a stale report is blended with the prior estimate."""
        prior = min(self._prior_load(now), DOWNSWITCH_TARGET)  # a higher load would have been reported
        if self.reported_load is None or now - self.reported_at >= 2.0 * self.decay_ms:
            return prior
        own_change_kbyte_s = sum(rate for _, rate in self._own_changes)
        known = max(self.reported_load + own_change_kbyte_s / self.capacity_kbyte_s, 0.0)
        decay = min(max((now - self.reported_at) / self.decay_ms - 1.0, 0.0), 1.0)
        return known * (1.0 - decay) + prior * decay

    def _prior_load(self, now: float) -> float:
        """Estimates the load without the last report.

        The own load is scaled by the observed ratio of total to own load or, if there are few own sessions,
        the typical load is returned.
        """
        own_load = self.own_kbyte_s / self.capacity_kbyte_s
        if self.total_to_own_ratio > 0.0 and own_load >= MIN_OWN_RATIO:
            return own_load * self.total_to_own_ratio
        return max(self.typical.mean, own_load)

    def has_recent_report(self, now: float) -> bool:
        """Whether the last report is recent enough to count fully."""
        return self.reported_load is not None and now - self.reported_at < self.decay_ms

    def load_with(self, now: float, rate_kbyte_s: float) -> float:
        """Returns the load with an additional rate."""
        return self.load(now) + rate_kbyte_s / self.capacity_kbyte_s

    def _drop_own_changes(self, until: float) -> None:
        count = 0
        for changed_at, _ in self._own_changes:
            if changed_at > until:
                break
            count += 1
        del self._own_changes[:count]


class LinkEstimator(LoadEstimator):
    """Estimates the load of a media server's link.

    Args:
        capacity_kbyte_s: The rate that the link can carry.
        typical: The typical load of links.
        decay_ms: The age from which a report counts less.
        front_count: The number of fronts.

    Attributes:
        slow_start_until: When the slow start of the server's process ends.
    """

    __slots__ = ("capacity_kbyte_s", "front_count", "slow_start_until")

    capacity_kbyte_s: float

    def __init__(
        self, capacity_kbyte_s: float, typical: TypicalLoad, decay_ms: float, front_count: int = 1
    ) -> None:
        super().__init__(typical, decay_ms)
        self.capacity_kbyte_s = max(capacity_kbyte_s, 1.0)
        self.front_count = front_count
        self.slow_start_until = -inf

    def _prior_load(self, now: float) -> float:
        """Estimates the load without the last report.

        A process in slow start began without sessions; other fronts are assumed to have placed as many on it
        as this one.
        """
        if now < self.slow_start_until:
            return self.own_kbyte_s * self.front_count / self.capacity_kbyte_s
        return super()._prior_load(now)

    def demand_kbyte_s(self, now: float) -> float:
        """Returns the rate that the link adds to an unreported uplink, at most the link's capacity."""
        if self.has_recent_report(now):
            return min(self.load(now), 1.0) * self.capacity_kbyte_s
        load = max(self.typical.harmonic_mean, self.own_kbyte_s / self.capacity_kbyte_s)
        return min(load, 1.0) * self.capacity_kbyte_s
