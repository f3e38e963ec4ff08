"""Where a viewer's request goes whose session this front does not hold: here, to its owner, or away for now.

A decision and its table; no I/O, no clock. Asked in order: what this front let go lately, the copies it
keeps, then the registrars of the session. A session that stands, and that nobody owns at this moment, must
not begin a second time: its viewer is told to come again. What no registrar could answer begins here, as
it would at a front that stands alone: the chance of a second set-up is the chance that all its registrars
are silent at once.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from fernweir.peers.forward.messages import Carried, Carry


@dataclass(frozen=True, slots=True)
class FindRules:
    """`again_ms` is when a viewer comes again whose session is between two owners; a request is carried on
    `hops` times at the most."""

    again_ms: float = 1_000.0
    hops: int = 3


@dataclass(frozen=True, slots=True)
class To:
    """Carry it to this front; or begin here, if it is empty; or refuse with this wait."""

    front: str = ""
    wait_ms: float = 0.0


def place(
    rules: FindRules, *, me: str, alive: Callable[[str], bool], hint: str | None, between: bool,
    registered: str | None, lost: bool, asked: bool,
) -> To | None:  # fmt: skip
    """What becomes of a request; None while the registrars have not been `asked`.

    `hint` is the owner by what this front knows itself, `registered` by what registrars said, who know it
    as `lost` if its owner is gone and no heir has spoken yet.
    """
    if between:
        return To(wait_ms=rules.again_ms)
    if hint is not None and hint != me and alive(hint):
        return To(hint)
    if not asked:
        return None
    if lost:
        return To(wait_ms=rules.again_ms)
    if registered is None or registered == me:
        return To()
    return To(registered) if alive(registered) else To(wait_ms=rules.again_ms)


def unreachable(rules: FindRules, number: int) -> Carried:
    """What a viewer is told whose session's front said nothing: it may have been carried out there."""
    return Carried(number, "refused", "the session's front does not answer", rules.again_ms)


def between_owners(rules: FindRules, number: int) -> Carried:
    return Carried(number, "refused", "the session is between two fronts", rules.again_ms)


@dataclass(slots=True)
class Seeking:
    """A request whose place is not known yet, and who hears of its end."""

    request: Carry
    since: float
    then: Callable[[float, Carried | None], None]
    hops: int = 0
