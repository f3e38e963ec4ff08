"""Conversion of the `[peers]` section of the settings into the rules of the parts."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import replace

from fernweir import VERSION
from fernweir.config.peers import PeersSection
from fernweir.peers.acts.versions import Versions, keys_digest, settings_digest
from fernweir.peers.channel.rules import HandoffRules, ReplicaRules, TakeoverRules
from fernweir.peers.channel_manager import ChannelManagerRules
from fernweir.peers.facts.rules import FactRules
from fernweir.peers.late.rules import LateRules
from fernweir.peers.lease.rules import LeaseRules
from fernweir.peers.link.rules import LinkRules
from fernweir.peers.peer import PeerRules

# Settings that differ between fronts whose settings are otherwise the same.
_FRONT_SPECIFIC_SETTINGS = (
    "front.name", "front.listen", "front.public-url", "front.ordinal", "front.seed", "front.record",
    "list.cache", "control.socket", "control.orders", "control.journal", "entitlement.ledger",
    "peers.listen", "peers.advertise", "peers.seeds", "peers.epoch", "peers.record",
)  # fmt: skip
FORMATS = (1, 1)  # lowest and highest message format of this version
_FACTS_RATE_RATIO = 0.25  # of the bytes per second sent to all peers together


def formats(section: PeersSection) -> tuple[int, int]:
    """Returns the lowest and highest format of this front, limited to those of its version."""
    lowest = max(section.format_lowest or FORMATS[0], FORMATS[0])
    return lowest, max(min(section.format_highest or FORMATS[1], FORMATS[1]), lowest)


def first_versions(
    section: PeersSection, settings: Mapping[str, Mapping[str, str]], keys: Iterable[tuple[str, bytes]]
) -> Versions:
    """Returns the versions at the start of a front, before it has an endpoint list.

    Args:
        section: The settings of the peers.
        settings: All settings by section and key.
        keys: The keys by name.
    """
    return Versions(
        program=VERSION,
        settings=settings_digest(settings, _FRONT_SPECIFIC_SETTINGS),
        epoch=section.epoch,
        boxes=b"",
        boxes_told_at=0,
        keys=keys_digest(keys),
        format=formats(section)[1],
    )


def link_rules(section: PeersSection) -> LinkRules:
    """Returns the rules of the links; a burst is half a second at the full rate, but not too small."""
    rate = section.bytes * 1_000.0
    return replace(LinkRules(), rate=rate, burst=max(rate / 2.0, LinkRules().burst / 8.0))


def peer_rules(section: PeersSection, *, channels: bool = True) -> PeerRules:
    """Returns the rules of all parts.

    A lease is renewed after a third of its span. A front tries to take over a channel whose replica is older
    than a lease. Where servers do not support fences there are no `channels`, and sessions stay with the
    front that placed them.
    """
    lease = LeaseRules(
        lease_ms=section.lease, longest_ms=section.lease, drift=section.drift, renew_ms=section.lease / 3.0
    )
    channel_rules = ChannelManagerRules(
        parts=section.parts if channels else 0,
        standbys=section.standbys,
        stale_ms=section.lease,
        successor_wait_ms=section.lease,
        replica=replace(ReplicaRules(), drift=section.drift, heartbeat_ms=section.lease / 4.0),
        takeover=TakeoverRules(),
        handoff=replace(HandoffRules(), overlap_ms=section.overlap, drift=section.drift),
    )
    facts = replace(FactRules(), bytes_per_s=section.bytes * 1_000.0 * _FACTS_RATE_RATIO)
    late = LateRules(
        stale_ms=section.late_after,
        clean_ms=max(section.late_after, LateRules().clean_ms),
        attempt_ms=section.bring_up_within / LateRules().attempts,
        shut_out_ratio=section.shut_out_share,
    )
    return PeerRules(
        late=late,
        keepers=tuple(section.keepers),
        keepers_version=section.keepers_version,
        lease=lease,
        channels=channel_rules,
        facts=facts,
    )
