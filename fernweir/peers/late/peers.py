"""What a front knows of each front of the fleet, itself included; an entry dies with that life."""

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
class Spell:
    """Since when a front is behind in one kind: at all, and by what almost all others left."""

    since: float
    left: float | None = None

    def over(self, now: float, left_ms: float, rules: LateRules) -> bool:
        """Whether that makes it late."""
        if self.left is not None and now >= self.left + left_ms:
            return True
        return now >= self.since + rules.split_ms


@dataclass(slots=True)
class Peer:
    """`late_at`: since when it is late in anything; `tried`: which attempt to bring it up was seen to."""

    name: str
    life: int
    state: State = State.CURRENT
    settings: bytes = b""
    tracks: dict[Kind, Track] = field(default_factory=dict)
    before: dict[Kind, Track] = field(default_factory=dict)  # of its former life
    spells: dict[Kind, Spell] = field(default_factory=dict)
    late: frozenset[Kind] = frozenset()
    proven: frozenset[Kind] = frozenset()  # of these, what almost all others have left behind for long
    late_at: float | None = None
    tried: dict[Kind, int] = field(default_factory=dict)
    given: dict[Kind, bytes] = field(default_factory=dict)  # by this front, and not answered yet
    clean_at: float | None = None  # since when it is late in nothing
    outs: int = 0
    out_at: float = 0.0
    proved_at: float | None = None  # when its acts, seen here, last proved its word wrong
    seen_at: float | None = None  # when keepers were told of its acts

    @property
    def out(self) -> bool:
        return self.state in (State.OUT, State.COMING)

    def said(self, now: float, versions: Versions) -> frozenset[Kind]:
        """Takes its word; in which kinds that is new."""
        new = set()
        self.settings = versions.settings
        for kind in Kind:
            content = content_of(versions, kind)
            track = self.tracks.get(kind)
            if track is None:
                before = self.before.pop(kind, None)
                # With what its former life held it is as far as that was.
                same = before is not None and before.word == content
                self.tracks[kind] = before if before is not None and same else Track(content, now)
                self.tracks[kind].marks.clear()
                new.add(kind)
            elif track.said(now, content):
                new.add(kind)
                if not track.disproved:
                    # How long it is behind begins anew: it does hear news.
                    self.spells.pop(kind, None)
        return frozenset(new)

    def acted(self, now: float, witness: str, versions: Versions, at: float, rules: LateRules) -> bool:
        """Whether acts that a witness saw prove its word wrong."""
        proofs = [
            self.tracks[kind].acted(now, witness, content_of(versions, kind), at, rules.act_lag_ms)
            for kind in Kind
            if kind in self.tracks
        ]
        return any(proofs)

    def postpone(self, gap_ms: float) -> None:
        """Counts a time in which the observer stood still for nothing."""
        for spell in self.spells.values():
            spell.since += gap_ms
            spell.left = None if spell.left is None else spell.left + gap_ms
        self.late_at = None if self.late_at is None else self.late_at + gap_ms
        self.clean_at = None if self.clean_at is None else self.clean_at + gap_ms

    def slow(self, now: float, kind: Kind, rules: LateRules) -> bool:
        """Whether it is late, or has been behind for so long that it may soon be."""
        spell = self.spells.get(kind)
        return kind in self.late or (spell is not None and now >= spell.since + rules.urgent_ms)

    def judged(self, now: float, judged: Mapping[Kind, Judged], urgent_at: float, rules: LateRules) -> None:
        """Keeps count of how long it is behind, and in what it is late."""
        for kind, of_kind in judged.items():
            left = self.name in of_kind.left
            if not left and self.name not in of_kind.split:
                self.spells.pop(kind, None)
                continue
            spell = self.spells.setdefault(kind, Spell(now))
            spell.left = None if not left else now if spell.left is None else spell.left
        late, proven = set(), set()
        for kind, spell in self.spells.items():
            urgent = kind is Kind.BOXES and self.tracks[kind].since < urgent_at
            limit = rules.urgent_ms if urgent else rules.late_ms
            # Once late it stays so until it is behind no more.
            if kind in self.late or spell.over(now, limit, rules):
                late.add(kind)
            if spell.left is not None and now >= spell.left + limit:
                proven.add(kind)
        self.late, self.proven = frozenset(late), frozenset(proven)
        if late:
            self.clean_at = None
            self.late_at = now if self.late_at is None else self.late_at
        else:
            self.clean_at = now if self.clean_at is None else self.clean_at
            self.late_at = None
            self.tried.clear()


class Table:
    """`me` is always in it."""

    def __init__(self, me: str, life: int, rules: LateRules) -> None:
        self.me = me
        self._rules = rules
        self.peers: dict[str, Peer] = {me: Peer(me, life)}

    def __iter__(self) -> Iterator[Peer]:
        return iter(self.peers.values())

    def __len__(self) -> int:
        return len(self.peers)

    def get(self, name: str) -> Peer | None:
        return self.peers.get(name)

    def lives(self) -> dict[str, int]:
        return {peer.name: peer.life for peer in self}

    def voices(self) -> frozenset[str]:
        """Those whose word says what the fleet holds."""
        return frozenset(peer.name for peer in self if not peer.out)

    def views(self, now: float, kind: Kind) -> list[View]:
        keep_ms = self._rules.acts_keep_ms
        return [
            peer.tracks[kind].view(now, peer.name, self.me, keep_ms) for peer in self if kind in peer.tracks
        ]
