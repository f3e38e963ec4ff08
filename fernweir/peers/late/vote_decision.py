"""Whether a keeper is for shutting a front out, and in what order. Pure functions."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from collections.abc import Set as AbstractSet

from fernweir.peers.base import rendezvous
from fernweir.peers.late.messages import Kind
from fernweir.peers.late.peers import Peer
from fernweir.peers.late.rules import LateRules
from fernweir.peers.late.votes import Vote

_NOTHING: frozenset[Kind] = frozenset()


def failed(now: float, peer: Peer, rules: LateRules) -> bool:
    """Whether it has been late for all the time in which it was to be brought up."""
    return peer.late_at is not None and now >= peer.late_at + rules.bring_ms


def against(
    now: float,
    peer: Peer,
    vote: Vote | None,
    suspects: AbstractSet[Kind],
    wait: AbstractSet[Kind],
    rules: LateRules,
) -> frozenset[Kind]:
    """For what a front ought to be out: it could not be brought up, or is out and not yet clean for long.

    `vote`: this keeper's, if it has one out against this front. Nobody is shut out for a split,
    where nothing shows who is behind, nor for suspect news,
    and no vote begins while more than may be out seem to fall behind (`wait`).
    """
    if vote is not None and vote.life != peer.life:
        vote = None
    if vote is not None and vote.out_at is not None:
        return peer.late - suspects if peer.late else _probation(now, peer, vote, vote.out_at, rules)
    kinds = peer.proven - suspects
    if failed(now, peer, rules) and kinds - (wait if vote is None else _NOTHING):
        return kinds
    # Others may have seen a majority already: a vote stands until that would be known here.
    young = vote is not None and now < vote.at + rules.vote_ms
    return vote.kinds - suspects if vote is not None and young else _NOTHING


def _probation(now: float, peer: Peer, vote: Vote, out_at: float, rules: LateRules) -> frozenset[Kind]:
    clean = peer.clean_at is not None and now >= peer.clean_at + rules.clean_for(peer.outs)
    over = clean and not peer.spells and now >= out_at + rules.stay_ms
    return _NOTHING if over else vote.kinds


def order(kinds: Mapping[str, frozenset[Kind]], first: Iterable[str] = ()) -> list[str]:
    """Who is out where not all may be: these first, then who is late in most kinds; alike at every front."""
    before = frozenset(first)
    names = rendezvous("shut out", kinds)
    return sorted(names, key=lambda name: (name not in before, -len(kinds[name])))
