"""The state that the controller keeps of each media server and of each session."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf

from fernweir.interface import ServerState, SessionClass, Viewer
from fernweir.load_estimator import TARGET_UTILIZATION, LinkEstimator
from fernweir.uplink_capacity import UplinkEstimator


@dataclass(slots=True, eq=False)
class Server:
    """The state of one media server as observed by this front."""

    server_id: int
    link: LinkEstimator
    uplink: UplinkEstimator
    stream_slots: int
    rack: int
    state: ServerState = ServerState.READY
    started_at: float = 0.0
    zone: int = 0
    weight: float = 1.0
    sessions: dict[int, Session] = field(default_factory=dict)
    attempts_in_flight: int = 0
    full_until: float = -inf
    shortfall_at: float = -inf
    consecutive_failures: int = 0
    ejected_until: float = -inf
    is_checking_health: bool = False
    upswitch_report_at: float = -inf  # time of the report that set the upswitch budget
    upswitch_budget_kbyte_s: float = 0.0
    is_presumed_dead: bool = False
    suspected_at: float = -inf
    removed_at: float = inf
    warming_since: float = -inf
    last_attempt_at: float = -inf

    def headroom(self, now: float, slow_start_factor: float) -> tuple[float, float]:
        """Returns a sort key by headroom: the unused rate below the target, then the lower load.

        Ordering by a ratio would make all fronts prefer the smallest links at once. Above the target,
        wide and narrow links of the same load rank equally. The capacity of a warming server is scaled by its
        slow-start factor: otherwise it would have the most headroom and reject the sessions placed on it.
        """
        link, uplink = self.link.load(now) / slow_start_factor, self.uplink.load(now)
        link_kbyte_s = self.link.capacity_kbyte_s * slow_start_factor
        link_headroom = (TARGET_UTILIZATION - link) * link_kbyte_s
        uplink_headroom = (TARGET_UTILIZATION - uplink) * self.uplink.capacity_kbyte_s
        return max(min(link_headroom, uplink_headroom), 0.0), -max(link, uplink)

    def load(self, now: float) -> float:
        """Returns the higher of the loads of its link and uplink."""
        return max(self.link.load(now), self.uplink.load(now))

    def has_recent_reports(self, now: float) -> bool:
        """Whether link and uplink have recent reports; an uplink with member links needs none."""
        return all(one.member_links or one.has_recent_report(now) for one in (self.link, self.uplink))


@dataclass(slots=True, eq=False)
class Session:
    """The state of a session from its request to its end."""

    viewer: Viewer
    session_class: SessionClass
    arrived_at: float
    reply_deadline: float
    rung: int
    top_rung: int
    server: Server | None = None
    attempts: int = 0
    is_in_flight: bool = False  # an attempt is open
    is_playing: bool = False
    may_have_run: bool = False
    attempted_servers: list[int] = field(default_factory=list)
    upswitched_at: float = 0.0
    downswitched_at: float = -inf
    has_start_report: bool = False
    is_at_recovered_rung: bool = False
    has_awaited_health_check: bool = False
    last_error_server: Server | None = None
