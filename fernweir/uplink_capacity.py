"""Divides the capacity of all uplinks among racks, in proportion to the links of the listed servers.

The endpoint list changes often in a large fleet, so a change updates two sums and visits no other server or
rack. The capacity of a single uplink is computed when it is read.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import NamedTuple

from fernweir.load_estimator import LinkEstimator, LoadEstimator, TypicalLoad

MIN_UPLINK_KBYTE_S = 1.0
# A sum of floats would drift with each change. Links carry at least 1 kB/s, so that each capacity is a whole
# number of these units.
UNITS_PER_KBYTE_S = 2**52
MAX_LINK_KBYTE_S = 2.0**53


class _LinkChange(NamedTuple):
    """A link that was listed, or is not listed any more."""

    rack: int
    server: int
    link: LinkEstimator
    is_listed: bool


class UplinkDivision:
    """The shares of racks in the capacity of all uplinks.

    Args:
        rack_count: The number of racks.
        total_kbyte_s: The capacity of all uplinks together; infinite if uplinks are no bottleneck.
    """

    def __init__(self, rack_count: int, total_kbyte_s: float) -> None:
        self._total_kbyte_s = total_kbyte_s
        self._links_by_rack: list[dict[int, LinkEstimator]] = [{} for _ in range(rack_count)]
        self._units_by_rack = [0] * rack_count
        self._total_units = 0
        self._listed_count = 0
        self._changes: list[_LinkChange] = []

    def add(self, rack: int, server: int, link: LinkEstimator) -> None:
        """Records that a server is on the endpoint list; takes effect with the next `divide`."""
        self._listed_count += 1
        self._changes.append(_LinkChange(rack, server, link, is_listed=True))

    def remove(self, rack: int, server: int, link: LinkEstimator) -> None:
        """Records that a server is no longer on the endpoint list; takes effect with the next `divide`."""
        self._listed_count -= 1
        self._changes.append(_LinkChange(rack, server, link, is_listed=False))

    def divide(self) -> None:
        """Applies the recorded changes; while no server is listed, the last division stays in effect."""
        if not self._listed_count:
            return
        for change in self._changes:
            self._apply(change)
        self._changes.clear()

    def uplink_kbyte_s(self, rack: int) -> float:
        """Returns the capacity of a rack's uplink; the total before the first division."""
        if not self._total_units:
            return self._total_kbyte_s
        units = self._units_by_rack[rack]
        if not units:
            return MIN_UPLINK_KBYTE_S
        return max(units / self._total_units * self._total_kbyte_s, MIN_UPLINK_KBYTE_S)

    def links(self, rack: int) -> Collection[LinkEstimator]:
        """Returns a view of the links of a rack's listed servers."""
        return self._links_by_rack[rack].values()

    def _apply(self, change: _LinkChange) -> None:
        units = round(min(change.link.capacity_kbyte_s, MAX_LINK_KBYTE_S) * UNITS_PER_KBYTE_S)
        if change.is_listed:
            self._links_by_rack[change.rack][change.server] = change.link
        else:
            del self._links_by_rack[change.rack][change.server]
            units = -units
        self._units_by_rack[change.rack] += units
        self._total_units += units


class UplinkEstimator(LoadEstimator):
    """Estimates the load of a rack's uplink.

    Args:
        division: The division of the capacity among racks.
        rack: The rack.
        typical: The typical load of uplinks.
        decay_ms: The age from which a report counts less.
        is_reported: Whether servers report the loads of uplinks. If not, they are estimated from the links.
    """

    __slots__ = ("_division", "_rack", "member_links")

    member_links: Collection[LinkEstimator]

    def __init__(
        self, division: UplinkDivision, rack: int, typical: TypicalLoad, decay_ms: float, *, is_reported: bool
    ) -> None:
        super().__init__(typical, decay_ms)
        self._division = division
        self._rack = rack
        self.member_links = () if is_reported else division.links(rack)

    @property
    def capacity_kbyte_s(self) -> float:
        """The capacity of the uplink."""
        return self._division.uplink_kbyte_s(self._rack)

    def _prior_load(self, now: float) -> float:
        if not self.member_links:
            return super()._prior_load(now)
        return sum(link.demand_kbyte_s(now) for link in self.member_links) / self.capacity_kbyte_s
