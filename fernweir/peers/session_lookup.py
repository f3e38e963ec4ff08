"""Decides where a request for a session of another front goes: here, to the owner, or back with a retry time.

The module has no I/O and no clock. The sources are, in this order: the sessions that this front relinquished
recently, its replicas, and the registrars of the session. A session that plays but has no owner now must not
be set up a second time, so its viewer has to retry. If no registrar replies, the session is set up here, as
at a front without peers: the probability of a second set-up is that of all registrars failing at once.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from fernweir.peers.forward.messages import Carried, Carry


@dataclass(frozen=True, slots=True)
class LookupRules:
    """The settings of a lookup.

    `retry_after_ms` is the retry time for a session between two owners. A request is forwarded at most
    `max_hops` times.
    """

    retry_after_ms: float = 1_000.0
    max_hops: int = 3


@dataclass(frozen=True, slots=True)
class Destination:
    """The front to forward a request to; empty to set up the session here, or to reject it with `wait_ms`."""

    front: str = ""
    wait_ms: float = 0.0


def choose_destination(
    rules: LookupRules, *, me: str, alive: Callable[[str], bool], known_owner: str | None,
    is_between_owners: bool, registered: str | None, is_owner_lost: bool, has_asked_registrars: bool,
) -> Destination | None:  # fmt: skip
    """Returns the destination of a request, or None if the registrars have to be asked first.

    `known_owner` is the owner according to this front, `registered` the owner according to the registrars.
    `is_owner_lost` means that the registrars know that the owner is gone and no successor has registered yet.
    """
    if is_between_owners:
        return Destination(wait_ms=rules.retry_after_ms)
    if known_owner is not None and known_owner != me and alive(known_owner):
        return Destination(known_owner)
    if not has_asked_registrars:
        return None
    if is_owner_lost:
        return Destination(wait_ms=rules.retry_after_ms)
    if registered is None or registered == me:
        return Destination()
    return Destination(registered) if alive(registered) else Destination(wait_ms=rules.retry_after_ms)


def unreachable_reply(rules: LookupRules, number: int) -> Carried:
    """Returns the reply if the owner did not reply; it may have executed the request."""
    return Carried(number, "refused", "the session's front does not answer", rules.retry_after_ms)


def between_owners_reply(rules: LookupRules, number: int) -> Carried:
    """Returns the reply if the session has no owner at the moment."""
    return Carried(number, "refused", "the session is between two fronts", rules.retry_after_ms)


@dataclass(slots=True)
class PendingLookup:
    """A request whose destination is not known yet, and the callback for its end."""

    request: Carry
    started_at: float
    then: Callable[[float, Carried | None], None]
    hops: int = 0
