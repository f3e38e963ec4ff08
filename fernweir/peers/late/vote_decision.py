"""Decides which fronts a keeper votes to shut out, and in what order. Pure functions."""

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
    """Whether a front has been stale for all the time in which its peers try to update it."""
    return peer.stale_at is not None and now >= peer.stale_at + rules.catch_up_ms


def vote_kinds(
    now: float,
    peer: Peer,
    vote: Vote | None,
    suspects: AbstractSet[Kind],
    paused: AbstractSet[Kind],
    rules: LateRules,
) -> frozenset[Kind]:
    """Returns the kinds for which a front should be shut out, or none.

    That is the case if it could not be updated, or if it is shut out and not yet up to date for long
    enough. Nobody is shut out for a split, where nothing shows which side is behind, nor for updates that
    are suspect. No vote begins for the kinds in `paused`, in which more fronts seem to fall behind than may
    be shut out.

    Args:
        now: The time in ms.
        peer: The front.
        vote: The current vote of this keeper against the front, if there is one.
        suspects: The kinds whose updates are suspect.
        paused: The kinds for which no new vote begins.
        rules: The limits.
    """
    if vote is not None and vote.life != peer.life:
        vote = None
    if vote is not None and vote.shut_out_at is not None:
        return peer.stale - suspects if peer.stale else _probation(now, peer, vote, vote.shut_out_at, rules)
    kinds = peer.proven - suspects
    if failed(now, peer, rules) and kinds - (paused if vote is None else _NOTHING):
        return kinds
    # Others may already have counted a majority: a vote stays until that would be known here.
    is_recent = vote is not None and now < vote.at + rules.vote_ms
    return vote.kinds - suspects if vote is not None and is_recent else _NOTHING


def _probation(now: float, peer: Peer, vote: Vote, shut_out_at: float, rules: LateRules) -> frozenset[Kind]:
    clean = peer.clean_at is not None and now >= peer.clean_at + rules.clean_for(peer.shut_out_count)
    over = clean and not peer.lags and now >= shut_out_at + rules.min_shut_out_ms
    return _NOTHING if over else vote.kinds


def order(kinds: Mapping[str, frozenset[Kind]], first: Iterable[str] = ()) -> list[str]:
    """Returns the fronts in the order in which they are shut out, the same at every front.

    Those in `first` come first, then those that are stale in most kinds.
    """
    before = frozenset(first)
    names = rendezvous("shut out", kinds)
    return sorted(names, key=lambda name: (name not in before, -len(kinds[name])))
