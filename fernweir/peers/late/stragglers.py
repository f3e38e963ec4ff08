"""The state machine of straggler detection, which has a state for each front of the fleet.

A stale front is updated by a peer that has the content that it lacks. If that fails within `catch_up_ms`,
keepers vote to shut it out; it is shut out while a majority of them does so. A front that is shut out
publishes its contents in the fact `late.plea`, and is readmitted when these have been up to date for long
enough.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec

from fernweir.peers.acts.versions import Versions
from fernweir.peers.base import Effect, Message, Outbox, Send
from fernweir.peers.late.catch_up import accepts, attempt_number, choose_helper
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
    MAX_DATA_BYTES,
    CatchUpData,
    CatchUpDone,
    EvidenceReport,
    Kind,
    Votes,
    content_of,
)
from fernweir.peers.late.peers import Peer, PeerTable
from fernweir.peers.late.rules import LateRules, max_shut_out, places
from fernweir.peers.late.suspects import Suspects
from fernweir.peers.late.vote_decision import failed, order, vote_kinds
from fernweir.peers.late.votes import Ballots, Tally, Vote


class Stragglers:
    """The state machine. `life` orders the votes of a keeper; `keepers` decide who is shut out."""

    def __init__(self, me: str, life: int, rules: LateRules, now: float, keepers: Iterable[str]) -> None:
        self.me, self.life, self.rules = me, life, rules
        self._out = Outbox()
        self._table = PeerTable(me, life, rules)
        self._tally = Tally(frozenset(keepers), rules)
        self._ballots = Ballots(me, life, rules, now)
        self._suspects = Suspects(rules, self._out)
        self._judged: dict[Kind, Judged] = {}
        self._versions: Versions | None = None
        self._urgent_at = float("-inf")
        self._applying: dict[Kind, tuple[str, float]] = {}  # the peer whose data is being applied, until when
        self._size = 1
        self._peak_size, self._peak_until = 1, now  # largest size of the fleet, and when it last had it
        self._alone_at: float | None = None
        self._leaseless_at: float | None = None
        self._block_reason = ""
        self._request_data = b""
        self._evaluate_at: float | None = None
        self._evaluated_at = now
        self._quiet = True

    # --- observations ---

    def set_fleet(self, now: float, lives: Mapping[str, int]) -> None:
        """Sets all fronts that are alive, with their lives; the state of others is dropped."""
        peers = self._table.peers
        before = {}
        for name in [name for name in peers if name != self.me and lives.get(name) != peers[name].life]:
            removed = peers.pop(name)
            before[name] = removed.tracks
            if removed.is_shut_out:
                self._out.add(Readmitted(name))
        self.life = self._ballots.life = peers[self.me].life = lives.get(self.me, self.life)
        for name, life in lives.items():
            if name not in peers:
                peers[name] = Peer(name, life, before=before.get(name, {}))
        if self._size >= self._peak_size or now > self._peak_until + self.rules.isolation_ms:
            self._peak_size, self._peak_until = self._size, now
        self._size = len(peers)
        self._alone_at = None if len(peers) > 1 else now if self._alone_at is None else self._alone_at
        self._schedule(now)

    def set_keepers(self, now: float, keepers: Iterable[str]) -> None:
        """Sets the keepers that decide from now on. Votes under the previous ones are withdrawn first."""
        named = frozenset(keepers)
        if named == self._tally.keepers:
            return
        self._tally.set_keepers(named)
        self._ballots.retain(now, {})
        self._ballots.started_at = now
        self._schedule(now)

    def on_versions(self, now: float, name: str, versions: Versions, urgent: bool = False) -> None:
        """Handles the contents of a front, from its facts or its request for readmission, or of this front.

        `urgent`, only for this front: since the previous endpoint list servers drain, or were removed.
        """
        peer = self._table.get(name)
        if peer is None:
            return
        new = peer.on_versions(now, versions)
        if name == self.me:
            self._versions = versions
            if urgent:
                self._urgent_at = now
            for kind in new & self._applying.keys():
                by, _ = self._applying.pop(kind)
                self._out.add(Send(by, CatchUpDone(kind, content_of(versions, kind))))
        if new:
            self._schedule(now)

    def on_evidence(self, now: float, name: str, versions: Versions, age_ms: float = 0.0) -> None:
        """Handles an action with these versions, at most this old, from a front's record or from a server."""
        peer = self._table.get(name)
        if peer is None or name == self.me or not 0.0 <= age_ms <= self.rules.max_evidence_age_ms:
            return
        if peer.on_evidence(now, self.me, versions, now - age_ms, self.rules):
            peer.proved_at = now
            self._schedule(now)
        # Keepers get all its actions for a while, so that they learn when these agree with its facts again.
        proved = peer.proved_at is not None and now < peer.proved_at + self.rules.evidence_keep_ms
        if proved and (peer.reported_at is None or now >= peer.reported_at + self.rules.evidence_interval_ms):
            peer.reported_at = now
            for keeper in sorted(self._tally.keepers):
                if keeper not in (self.me, name):
                    self._out.add(Send(keeper, EvidenceReport(name, peer.life, versions, age_ms)))

    def set_holds_leases(self, now: float, held: bool) -> None:
        """Sets whether this front holds any lease."""
        self._leaseless_at = None if held else now if self._leaseless_at is None else self._leaseless_at
        self._schedule(now)

    def supply(self, now: float, name: str, kind: Kind, content: bytes, data: bytes = b"") -> bool:
        """Sends the data for a `CatchUp`.

        Returns False if it is no longer needed, or too large for a frame.
        """
        peer = self._table.get(name)
        if peer is None or kind not in peer.stale or len(data) > MAX_DATA_BYTES:
            return False
        peer.supplied[kind] = content
        self._out.add(Send(name, CatchUpData(peer.life, kind, content, data), reliable=True))
        return True

    # --- results ---

    def state(self, name: str) -> State | None:
        """Returns the state of a front, or None."""
        peer = self._table.get(name)
        return None if peer is None else peer.state

    def states(self) -> dict[str, State]:
        """Returns the states of all fronts."""
        return {peer.name: peer.state for peer in self._table}

    def shut_out(self) -> frozenset[str]:
        """Returns the fronts that get no leases, whose facts are restricted, and that are no successors."""
        return frozenset(peer.name for peer in self._table if peer.is_shut_out)

    def suspects(self) -> dict[Kind, str]:
        """Returns the kinds whose updates are suspect, with the reasons."""
        return dict(self._suspects.reasons)

    # --- base.Part ---

    def on_message(self, now: float, sender: str, message: Message) -> None:
        """Handles a message of one of `KINDS`; those from unknown fronts are ignored."""
        if sender not in self._table.peers:
            return
        match message:
            case Votes():
                self._tally.on_votes(now, sender, message)
                self._schedule(now)
            case CatchUpData():
                self._on_catch_up_data(now, sender, message)
            case EvidenceReport():
                self._on_evidence_report(now, sender, message)
            case CatchUpDone():
                self._on_catch_up_done(sender, message)

    def tick(self, now: float) -> None:
        """Evaluates all fronts if that is due."""
        if self._evaluate_at is None or now < self._evaluate_at:
            return
        self._evaluate_at = None
        self._evaluate(now)
        if not self._quiet:
            self._evaluate_at = now + self.rules.evaluation_ms

    def next_deadline(self) -> float | None:
        """Returns the latest time for the next `tick`, or None."""
        return self._evaluate_at

    def take_effects(self) -> list[Effect]:
        """Returns all effects since the last call and removes them."""
        return self._out.take_effects()

    # --- internals ---

    def _schedule(self, now: float) -> None:
        """Schedules the next evaluation, so that a burst of events is evaluated once."""
        at = now if self._quiet else now + self.rules.evaluation_ms
        self._evaluate_at = at if self._evaluate_at is None else min(self._evaluate_at, at)

    def _evaluate(self, now: float) -> None:
        table, rules = self._table, self.rules
        if not self._quiet and now > self._evaluated_at + 4 * rules.evaluation_ms:
            self._on_suspended(now, now - self._evaluated_at)
        self._evaluated_at = now
        voices = table.voices()
        views = {kind: table.views(now, kind) for kind in Kind}
        self._judged = {kind: detect_lag(kind, views[kind], voices, rules) for kind in Kind}
        for peer in table:
            for track in peer.tracks.values():
                track.remove_expired(now, rules.evidence_keep_ms)
            peer.update(now, self._judged, self._urgent_at, rules)
        stale = {kind: sum(kind in peer.stale for peer in table) for kind in Kind}
        settings = [(peer.tracks[Kind.SETTINGS].published, peer.settings) for peer in table if peer.tracks]
        behind = {kind: sum(peer.may_become_stale(now, kind, rules) for peer in table) for kind in Kind}
        self._suspects.update(
            now, stale, behind, max_shut_out(rules, len(table)), len(table), self._judged, settings
        )
        self._vote(now)
        self._count_votes(now)
        for peer in table:
            self._start_catch_up(now, peer, views, voices)
        self._update_own_state(now)
        self._quiet = not (
            any(peer.lags or peer.is_shut_out for peer in table)
            or any(track.evidence for peer in table for track in peer.tracks.values())
            or self._suspects.is_busy()
            or self._ballots.is_busy(now)
            or self._tally.is_busy(now)
            or (self._alone_at is not None and self._leaseless_at is not None)
        )

    def _on_suspended(self, now: float, gap_ms: float) -> None:
        """Handles a suspension of this front: its observations are old, and nobody became stale meanwhile."""
        for peer in self._table:
            peer.postpone(gap_ms)
        if gap_ms > self.rules.vote_ms:
            # Its votes have expired at the others, which may have readmitted those fronts.
            self._ballots.retain(now, {})

    # --- votes ---

    def _vote(self, now: float) -> None:
        """Updates and sends this keeper's votes; a keeper that is shut out or stale begins none."""
        mine = self._table.peers[self.me]
        if self.me not in self._tally.keepers:
            self._ballots.retain(now, {})
        else:
            new = {}
            for peer in self._table:
                vote = self._ballots.cast.get(peer.name)
                kinds = vote_kinds(
                    now, peer, vote, self._suspects.reasons.keys(), self._suspects.paused, self.rules
                )
                if (
                    peer.name != self.me
                    and kinds
                    and (vote is not None or not (mine.is_shut_out or mine.stale))
                ):
                    new[peer.name] = Vote(peer.life, kinds, now)
            self._ballots.retain(now, {name: vote.life for name, vote in new.items()})
            ordered = order({name: vote.kinds for name, vote in new.items()})
            capacity = places(len(self._tally.keepers), max_shut_out(self.rules, len(self._table)))
            self._ballots.update(now, ordered, new, capacity)
        votes = self._ballots.next_message(now)
        if votes is not None:
            self._tally.on_votes(now, self.me, votes)
            for peer in self._table:
                if peer.name != self.me:
                    self._out.add(Send(peer.name, votes))

    def _count_votes(self, now: float) -> None:
        voted = self._tally.majorities(now, self._table.lives())
        out = order(voted, self.shut_out())[: max_shut_out(self.rules, len(self._table))]
        for peer in self._table:
            if peer.name in out:
                self._set_shut_out(now, peer, voted[peer.name])
            else:
                if peer.is_shut_out:
                    self._out.add(Readmitted(peer.name))
                self._set_admitted(now, peer)

    def _set_shut_out(self, now: float, peer: Peer, kinds: frozenset[Kind]) -> None:
        if not peer.is_shut_out:
            peer.shut_out_count = (
                1 if now >= peer.shut_out_at + self.rules.forget_ms else peer.shut_out_count + 1
            )
            self._out.add(ShutOut(peer.name, "late in " + ", ".join(sorted(kinds))))
        peer.shut_out_at = now
        vote = self._ballots.cast.get(peer.name)
        if vote is not None and vote.shut_out_at is None:
            vote.shut_out_at = now
        peer.state = State.SHUT_OUT if peer.stale else State.RETURNING

    def _set_admitted(self, now: float, peer: Peer) -> None:
        if not peer.stale:
            peer.state = State.CURRENT
        elif failed(now, peer, self.rules):
            peer.state = State.STALE
        else:
            peer.state = State.CATCHING_UP if peer.attempted else State.STALE

    # --- catching up ---

    def _start_catch_up(
        self, now: float, peer: Peer, views: Mapping[Kind, list[View]], voices: frozenset[str]
    ) -> None:
        if peer.stale_at is None or peer.name == self.me or self.me not in voices:
            return
        number = attempt_number(now - peer.stale_at, self.rules)
        for kind in sorted(peer.stale):
            if peer.attempted.get(kind, -1) >= number:
                continue
            peer.attempted[kind] = number
            target = self._judged[kind].target
            if choose_helper(peer.name, kind, number, target, views[kind], voices) == self.me:
                self._out.add(CatchUp(peer.name, kind, target))

    def _on_catch_up_data(self, now: float, sender: str, message: CatchUpData) -> None:
        """Applies content that a peer sent, one at a time, if this front observes that it lacks it."""
        kind = message.kind
        applying = self._applying.get(kind)
        if message.life != self.life or (applying is not None and now < applying[1]):
            return
        views, voices = self._table.views(now, kind), self._table.voices()
        if accepts(self.me, kind, message.content, detect_lag(kind, views, voices, self.rules), views):
            self._applying[kind] = sender, now + self.rules.attempt_ms
            self._out.add(Apply(kind, message.content, message.data, sender))

    def _on_catch_up_done(self, sender: str, message: CatchUpDone) -> None:
        if self._table.peers[sender].supplied.pop(message.kind, None) is not None:
            self._out.add(CaughtUp(sender, message.kind, message.content))

    # --- evidence of other fronts ---

    def _on_evidence_report(self, now: float, sender: str, message: EvidenceReport) -> None:
        peer = self._table.get(message.name)
        if peer is None or message.life != peer.life or message.name in (sender, self.me):
            return
        if message.age_ms <= self.rules.max_evidence_age_ms:
            peer.on_evidence(now, sender, message.versions, now - message.age_ms, self.rules)
            self._schedule(now)

    # --- this front ---

    def _update_own_state(self, now: float) -> None:
        mine = self._table.peers[self.me]
        reason = "shut out" if mine.is_shut_out else "cut off" if self._is_isolated(now) else ""
        if reason != self._block_reason:
            self._block_reason = reason
            self._out.add(BlockSessions(reason, self.rules.wait_ms if reason else 0.0))
        request = (
            msgspec.msgpack.encode(self._versions) if mine.is_shut_out and self._versions is not None else b""
        )
        if request != self._request_data:
            self._request_data = request
            self._out.add(RequestReadmission(request))

    def _is_isolated(self, now: float) -> bool:
        """Whether all other fronts and all leases have been missing for long, which points to this front.

        A fleet of two cannot tell: the other front may have failed, and this may be the last one that serves.
        """
        since = (self._alone_at, self._leaseless_at)
        return self._peak_size >= self.rules.min_fleet_size and all(
            at is not None and now >= at + self.rules.isolation_ms for at in since
        )
