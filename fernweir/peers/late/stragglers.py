"""Stragglers: current, late, being brought up, shut out, coming back; each front as every front sees it.

A front that is late is brought up by a peer that holds what it lacks. If that fails in `bring_ms` keepers
vote to shut it out; it is out while a majority of them says so. A front that is out says by the
fact `late.plea` what it holds, and is let back when that has been up to date for long enough.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec

from fernweir.peers.acts.versions import Versions
from fernweir.peers.base import Effect, Message, Outbox, Send
from fernweir.peers.late.catch_up import attempt, bringer, takes
from fernweir.peers.late.content_track import View
from fernweir.peers.late.events import (
    Apply,
    BlockSessions,
    CatchUp,
    CaughtUp,
    Readmitted,
    RequestReadmission,
    ShutOut,
    State,
)
from fernweir.peers.late.lag_detection import Judged, detect_lag
from fernweir.peers.late.messages import (
    DATA_MOST,
    CatchUpData,
    CatchUpDone,
    EvidenceReport,
    Kind,
    Votes,
    content_of,
)
from fernweir.peers.late.peers import Peer, Table
from fernweir.peers.late.rules import LateRules, cap, places
from fernweir.peers.late.suspects import Suspects
from fernweir.peers.late.vote_decision import against, failed, order
from fernweir.peers.late.votes import Ballots, Tally, Vote


class Stragglers:
    """`life` orders a keeper's lives and their votes; `keepers` decide who is shut out."""

    def __init__(self, me: str, life: int, rules: LateRules, now: float, keepers: Iterable[str]) -> None:
        self.me, self.life, self.rules = me, life, rules
        self._out = Outbox()
        self._table = Table(me, life, rules)
        self._tally = Tally(frozenset(keepers), rules)
        self._ballots = Ballots(me, life, rules, now)
        self._suspects = Suspects(rules, self._out)
        self._judged: dict[Kind, Judged] = {}
        self._versions: Versions | None = None
        self._urgent_at = float("-inf")
        self._taking: dict[Kind, tuple[str, float]] = {}  # from whom a part is being applied, until when
        self._size = 1
        self._most, self._most_at = 1, now  # fronts there were, and until when
        self._alone_at: float | None = None
        self._leaseless_at: float | None = None
        self._refrains = ""
        self._pleaded = b""
        self._look_at: float | None = None
        self._looked_at = now
        self._quiet = True

    # --- what the front knows ---

    def set_fleet(self, now: float, lives: Mapping[str, int]) -> None:
        """All fronts believed alive, in which life; what is known of others is dropped."""
        peers = self._table.peers
        before = {}
        for name in [name for name in peers if name != self.me and lives.get(name) != peers[name].life]:
            gone = peers.pop(name)
            before[name] = gone.tracks
            if gone.out:
                self._out.add(Readmitted(name))
        self.life = self._ballots.life = peers[self.me].life = lives.get(self.me, self.life)
        for name, life in lives.items():
            if name not in peers:
                peers[name] = Peer(name, life, before=before.get(name, {}))
        if self._size >= self._most or now > self._most_at + self.rules.alone_ms:
            self._most, self._most_at = self._size, now
        self._size = len(peers)
        self._alone_at = None if len(peers) > 1 else now if self._alone_at is None else self._alone_at
        self._soon(now)

    def set_keepers(self, now: float, keepers: Iterable[str]) -> None:
        """These decide from now on. Votes under the former ones are given up first."""
        named = frozenset(keepers)
        if named == self._tally.keepers:
            return
        self._tally.change(named)
        self._ballots.keep(now, {})
        self._ballots.since = now
        self._soon(now)

    def on_versions(self, now: float, name: str, versions: Versions, urgent: bool = False) -> None:
        """What a front says that it holds, by its fact, or its plea; or what this one holds.

        `urgent`, of this front only: since the former list boxes drain, or are gone.
        """
        peer = self._table.get(name)
        if peer is None:
            return
        new = peer.said(now, versions)
        if name == self.me:
            self._versions = versions
            if urgent:
                self._urgent_at = now
            for kind in new & self._taking.keys():
                by, _ = self._taking.pop(kind)
                self._out.add(Send(by, CatchUpDone(kind, content_of(versions, kind))))
        if new:
            self._soon(now)

    def on_evidence(self, now: float, name: str, versions: Versions, age_ms: float = 0.0) -> None:
        """An act of a front, at most so old, rested on these versions: seen in its record, or at a box."""
        peer = self._table.get(name)
        if peer is None or name == self.me or not 0.0 <= age_ms <= self.rules.act_age_ms:
            return
        if peer.acted(now, self.me, versions, now - age_ms, self.rules):
            peer.proved_at = now
            self._soon(now)
        # For a while keepers are told of all its acts, so that they also hear when these agree again.
        proved = peer.proved_at is not None and now < peer.proved_at + self.rules.acts_keep_ms
        if proved and (peer.seen_at is None or now >= peer.seen_at + self.rules.seen_ms):
            peer.seen_at = now
            for keeper in sorted(self._tally.keepers):
                if keeper not in (self.me, name):
                    self._out.add(Send(keeper, EvidenceReport(name, peer.life, versions, age_ms)))

    def set_holds_leases(self, now: float, held: bool) -> None:
        """Whether this front holds any lease."""
        self._leaseless_at = None if held else now if self._leaseless_at is None else self._leaseless_at
        self._soon(now)

    def supply(self, now: float, name: str, what: Kind, content: bytes, data: bytes = b"") -> bool:
        """The answer to `CatchUp`. False if it is not wanted any more, or too much for one frame."""
        peer = self._table.get(name)
        if peer is None or what not in peer.late or len(data) > DATA_MOST:
            return False
        peer.given[what] = content
        self._out.add(Send(name, CatchUpData(peer.life, what, content, data), reliable=True))
        return True

    # --- what others ask ---

    def state(self, name: str) -> State | None:
        peer = self._table.get(name)
        return None if peer is None else peer.state

    def states(self) -> dict[str, State]:
        return {peer.name: peer.state for peer in self._table}

    def shut_out(self) -> frozenset[str]:
        """For `lease.Keeper.shut_out`, `Facts.restrict_owners`, and the choice of heirs."""
        return frozenset(peer.name for peer in self._table if peer.out)

    def suspects(self) -> dict[Kind, str]:
        return dict(self._suspects.why)

    # --- the part ---

    def on_message(self, now: float, sender: str, message: Message) -> None:
        if sender not in self._table.peers:
            return
        match message:
            case Votes():
                self._tally.heard(now, sender, message)
                self._soon(now)
            case CatchUpData():
                self._part(now, sender, message)
            case EvidenceReport():
                self._seen(now, sender, message)
            case CatchUpDone():
                self._brought(sender, message)

    def tick(self, now: float) -> None:
        if self._look_at is None or now < self._look_at:
            return
        self._look_at = None
        self._look(now)
        if not self._quiet:
            self._look_at = now + self.rules.look_ms

    def next_deadline(self) -> float | None:
        return self._look_at

    def take_effects(self) -> list[Effect]:
        return self._out.take_effects()

    # --- pieces ---

    def _soon(self, now: float) -> None:
        """Looks at it at the next turn: what comes in a burst is looked at once."""
        at = now if self._quiet else now + self.rules.look_ms
        self._look_at = at if self._look_at is None else min(self._look_at, at)

    def _look(self, now: float) -> None:
        table, rules = self._table, self.rules
        if not self._quiet and now > self._looked_at + 4 * rules.look_ms:
            self._stood(now, now - self._looked_at)
        self._looked_at = now
        voices = table.voices()
        views = {kind: table.views(now, kind) for kind in Kind}
        self._judged = {kind: detect_lag(kind, views[kind], voices, rules) for kind in Kind}
        for peer in table:
            for track in peer.tracks.values():
                track.forget(now, rules.acts_keep_ms)
            peer.judged(now, self._judged, self._urgent_at, rules)
        late = {kind: sum(kind in peer.late for peer in table) for kind in Kind}
        said = [(peer.tracks[Kind.SETTINGS].word, peer.settings) for peer in table if peer.tracks]
        behind = {kind: sum(peer.slow(now, kind, rules) for peer in table) for kind in Kind}
        self._suspects.look(now, late, behind, cap(rules, len(table)), len(table), self._judged, said)
        self._vote(now)
        self._count(now)
        for peer in table:
            self._bring(now, peer, views, voices)
        self._own(now)
        self._quiet = not (
            any(peer.spells or peer.out for peer in table)
            or any(track.marks for peer in table for track in peer.tracks.values())
            or self._suspects.busy()
            or self._ballots.busy(now)
            or self._tally.busy(now)
            or (self._alone_at is not None and self._leaseless_at is not None)
        )

    def _stood(self, now: float, gap_ms: float) -> None:
        """This front stood still: what it knows is old, and nobody was late by it meanwhile."""
        for peer in self._table:
            peer.postpone(gap_ms)
        if gap_ms > self.rules.vote_ms:
            # Its votes have lapsed at the others, who may have let those fronts back.
            self._ballots.keep(now, {})

    # --- pieces: who is shut out ---

    def _vote(self, now: float) -> None:
        """A keeper's votes; one that is itself out, or late, begins none."""
        mine = self._table.peers[self.me]
        if self.me not in self._tally.keepers:
            self._ballots.keep(now, {})
        else:
            new = {}
            for peer in self._table:
                vote = self._ballots.cast.get(peer.name)
                kinds = against(now, peer, vote, self._suspects.why.keys(), self._suspects.wait, self.rules)
                if peer.name != self.me and kinds and (vote is not None or not (mine.out or mine.late)):
                    new[peer.name] = Vote(peer.life, kinds, now)
            self._ballots.keep(now, {name: vote.life for name, vote in new.items()})
            ordered = order({name: vote.kinds for name, vote in new.items()})
            room = places(len(self._tally.keepers), cap(self.rules, len(self._table)))
            self._ballots.seek(now, ordered, new, room)
        votes = self._ballots.say(now)
        if votes is not None:
            self._tally.heard(now, self.me, votes)
            for peer in self._table:
                if peer.name != self.me:
                    self._out.add(Send(peer.name, votes))

    def _count(self, now: float) -> None:
        voted = self._tally.against(now, self._table.lives())
        out = order(voted, self.shut_out())[: cap(self.rules, len(self._table))]
        for peer in self._table:
            if peer.name in out:
                self._is_out(now, peer, voted[peer.name])
            else:
                if peer.out:
                    self._out.add(Readmitted(peer.name))
                self._is_in(now, peer)

    def _is_out(self, now: float, peer: Peer, kinds: frozenset[Kind]) -> None:
        if not peer.out:
            peer.outs = 1 if now >= peer.out_at + self.rules.forget_ms else peer.outs + 1
            self._out.add(ShutOut(peer.name, "late in " + ", ".join(sorted(kinds))))
        peer.out_at = now
        vote = self._ballots.cast.get(peer.name)
        if vote is not None and vote.out_at is None:
            vote.out_at = now
        peer.state = State.OUT if peer.late else State.COMING

    def _is_in(self, now: float, peer: Peer) -> None:
        if not peer.late:
            peer.state = State.CURRENT
        elif failed(now, peer, self.rules):
            peer.state = State.LATE
        else:
            peer.state = State.BRINGING if peer.tried else State.LATE

    # --- pieces: bringing up ---

    def _bring(
        self, now: float, peer: Peer, views: Mapping[Kind, list[View]], voices: frozenset[str]
    ) -> None:
        if peer.late_at is None or peer.name == self.me or self.me not in voices:
            return
        number = attempt(now - peer.late_at, self.rules)
        for kind in sorted(peer.late):
            if peer.tried.get(kind, -1) >= number:
                continue
            peer.tried[kind] = number
            target = self._judged[kind].target
            if bringer(peer.name, kind, number, target, views[kind], voices) == self.me:
                self._out.add(CatchUp(peer.name, kind, target))

    def _part(self, now: float, sender: str, message: CatchUpData) -> None:
        """What this front lacks, by a peer's word: taken if this front sees it so too, one at a time."""
        kind = message.kind
        taking = self._taking.get(kind)
        if message.life != self.life or (taking is not None and now < taking[1]):
            return
        views, voices = self._table.views(now, kind), self._table.voices()
        if takes(self.me, kind, message.content, detect_lag(kind, views, voices, self.rules), views):
            self._taking[kind] = sender, now + self.rules.try_ms
            self._out.add(Apply(kind, message.content, message.data, sender))

    def _brought(self, sender: str, message: CatchUpDone) -> None:
        if self._table.peers[sender].given.pop(message.kind, None) is not None:
            self._out.add(CaughtUp(sender, message.kind, message.content))

    # --- pieces: acts that others saw ---

    def _seen(self, now: float, sender: str, message: EvidenceReport) -> None:
        peer = self._table.get(message.name)
        if peer is None or message.life != peer.life or message.name in (sender, self.me):
            return
        if message.age_ms <= self.rules.act_age_ms:
            peer.acted(now, sender, message.versions, now - message.age_ms, self.rules)
            self._soon(now)

    # --- pieces: this front itself ---

    def _own(self, now: float) -> None:
        mine = self._table.peers[self.me]
        why = "shut out" if mine.out else "cut off" if self._cut_off(now) else ""
        if why != self._refrains:
            self._refrains = why
            self._out.add(BlockSessions(why, self.rules.wait_ms if why else 0.0))
        plea = msgspec.msgpack.encode(self._versions) if mine.out and self._versions is not None else b""
        if plea != self._pleaded:
            self._pleaded = plea
            self._out.add(RequestReadmission(plea))

    def _cut_off(self, now: float) -> bool:
        """Every other front and every lease has been gone for long: that is likelier here than everywhere.

        In a fleet of two that can't be told: the other may be dead, and this the last one to serve.
        """
        since = (self._alone_at, self._leaseless_at)
        return self._most >= self.rules.alone_least and all(
            at is not None and now >= at + self.rules.alone_ms for at in since
        )
