"""What a front knows of each front, including itself; an entry ends with the life of its front."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from fernweir.peers.acts.versions import Versions
from fernweir.peers.late.content_track import Track, View
from fernweir.peers.late.events import State
from fernweir.peers.late.lag_detection import Judged
from fernweir.peers.late.messages import Kind, content_of
from fernweir.peers.late.rules import LateRules


@dataclass(slots=True)
class Lag:
    """Since when a front is behind in one kind: at all, and as passed by almost all others (`passed_at`)."""

    since: float
    passed_at: float | None = None

    def is_stale(self, now: float, passed_ms: float, rules: LateRules) -> bool:
        """Whether the front is stale by this lag."""
        if self.passed_at is not None and now >= self.passed_at + passed_ms:
            return True
        return now >= self.since + rules.split_ms


@dataclass(slots=True)
class Peer:
    """A front.

    `stale_at`: since when it is stale in any kind; `attempted`: the last attempt that was handled.
    """

    name: str
    life: int
    state: State = State.CURRENT
    settings: bytes = b""
    tracks: dict[Kind, Track] = field(default_factory=dict)
    before: dict[Kind, Track] = field(default_factory=dict)  # of its previous life
    lags: dict[Kind, Lag] = field(default_factory=dict)
    stale: frozenset[Kind] = frozenset()
    proven: frozenset[Kind] = frozenset()  # of these, where almost all others have passed it for long enough
    stale_at: float | None = None
    attempted: dict[Kind, int] = field(default_factory=dict)
    supplied: dict[Kind, bytes] = field(default_factory=dict)  # by this front, without an answer yet
    clean_at: float | None = None  # since when it is not stale
    shut_out_count: int = 0
    shut_out_at: float = 0.0
    proved_at: float | None = None  # when its actions, seen here, last proved its facts wrong
    reported_at: float | None = None  # when its actions were last reported to keepers

    @property
    def is_shut_out(self) -> bool:
        """Whether the front is treated as shut out."""
        return self.state in (State.SHUT_OUT, State.RETURNING)

    def on_versions(self, now: float, versions: Versions) -> frozenset[Kind]:
        """Handles the contents in the front's facts; returns the kinds in which they are new."""
        new = set()
        self.settings = versions.settings
        for kind in Kind:
            content = content_of(versions, kind)
            track = self.tracks.get(kind)
            if track is None:
                before = self.before.pop(kind, None)
                # With the content of its previous life it is as far behind as that was.
                same = before is not None and before.published == content
                self.tracks[kind] = before if before is not None and same else Track(content, now)
                self.tracks[kind].evidence.clear()
                new.add(kind)
            elif track.on_content(now, content):
                new.add(kind)
                if not track.is_disproved:
                    # Its lag starts again, as it does receive updates.
                    self.lags.pop(kind, None)
        return frozenset(new)

    def on_evidence(self, now: float, witness: str, versions: Versions, at: float, rules: LateRules) -> bool:
        """Handles actions that a witness saw; returns whether they prove the front's facts wrong."""
        proofs = [
            self.tracks[kind].on_evidence(now, witness, content_of(versions, kind), at, rules.evidence_lag_ms)
            for kind in Kind
            if kind in self.tracks
        ]
        return any(proofs)

    def postpone(self, suspended_ms: float) -> None:
        """Leaves out a time in which the observer was suspended."""
        for lag in self.lags.values():
            lag.since += suspended_ms
            lag.passed_at = None if lag.passed_at is None else lag.passed_at + suspended_ms
        self.stale_at = None if self.stale_at is None else self.stale_at + suspended_ms
        self.clean_at = None if self.clean_at is None else self.clean_at + suspended_ms

    def may_become_stale(self, now: float, kind: Kind, rules: LateRules) -> bool:
        """Whether the front is stale, or has been behind for so long that it may soon be."""
        lag = self.lags.get(kind)
        return kind in self.stale or (lag is not None and now >= lag.since + rules.urgent_ms)

    def update(self, now: float, judged: Mapping[Kind, Judged], urgent_at: float, rules: LateRules) -> None:
        """Updates how long the front is behind, and in which kinds it is stale."""
        for kind, of_kind in judged.items():
            left = self.name in of_kind.left
            if not left and self.name not in of_kind.split:
                self.lags.pop(kind, None)
                continue
            lag = self.lags.setdefault(kind, Lag(now))
            lag.passed_at = None if not left else now if lag.passed_at is None else lag.passed_at
        stale, proven = set(), set()
        for kind, lag in self.lags.items():
            urgent = kind is Kind.BOXES and self.tracks[kind].since < urgent_at
            limit = rules.urgent_ms if urgent else rules.stale_ms
            # A stale front stays stale until it is no longer behind.
            if kind in self.stale or lag.is_stale(now, limit, rules):
                stale.add(kind)
            if lag.passed_at is not None and now >= lag.passed_at + limit:
                proven.add(kind)
        self.stale, self.proven = frozenset(stale), frozenset(proven)
        if stale:
            self.clean_at = None
            self.stale_at = now if self.stale_at is None else self.stale_at
        else:
            self.clean_at = now if self.clean_at is None else self.clean_at
            self.stale_at = None
            self.attempted.clear()


class PeerTable:
    """All fronts by name. The front itself is always in it."""

    def __init__(self, me: str, life: int, rules: LateRules) -> None:
        self.me = me
        self._rules = rules
        self.peers: dict[str, Peer] = {me: Peer(me, life)}

    def __iter__(self) -> Iterator[Peer]:
        return iter(self.peers.values())

    def __len__(self) -> int:
        return len(self.peers)

    def get(self, name: str) -> Peer | None:
        """Returns a front, or None."""
        return self.peers.get(name)

    def lives(self) -> dict[str, int]:
        """Returns the life of each front."""
        return {peer.name: peer.life for peer in self}

    def voices(self) -> frozenset[str]:
        """Returns the fronts whose contents determine the content of the fleet."""
        return frozenset(peer.name for peer in self if not peer.is_shut_out)

    def views(self, now: float, kind: Kind) -> list[View]:
        """Returns the contents that all fronts are considered to have."""
        keep_ms = self._rules.evidence_keep_ms
        return [
            peer.tracks[kind].view(now, peer.name, self.me, keep_ms) for peer in self if kind in peer.tracks
        ]
