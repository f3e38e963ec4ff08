"""A question: a filter over the rows of shards. All that is named must hold of a row."""

from __future__ import annotations

from collections.abc import Callable
from math import inf, isnan

import msgspec

ACTS = "acts"
STANDING = "standing"
KINDS = (ACTS, STANDING)

FIELDS = ("deed", "session", "title", "box", "tenant", "version", "outcome")
MOST_TEXT = 256
MOST_FRONTS = 1024


class Row(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One act, or one session that stands, as questions see it; `at` in ms on its front's scale of time."""

    at: float
    deed: str
    session: str = ""
    title: str = ""
    box: int = -1
    tenant: str = ""
    version: str = ""
    outcome: str = ""


class Query(msgspec.Struct, frozen=True):
    """Rows of one kind, of these fronts (none named: all), with these values, with since <= at < until.

    Times are ms on the scale in which the rows are stamped. Whoever asks across fronts whose scales differ
    widens the span by what they may differ.
    """

    of: str = ACTS
    fronts: tuple[str, ...] = ()
    since: float = -inf
    until: float = inf
    deed: str | None = None
    session: str | None = None
    title: str | None = None
    box: int | None = None
    tenant: str | None = None
    version: str | None = None
    outcome: str | None = None


def problem(query: Query) -> str:
    """Why a question from outside is not to be run; empty if it may be."""
    if query.of not in KINDS:
        return "no such kind of shard"
    if isnan(query.since) or isnan(query.until) or query.since > query.until:
        return "not a span of time"
    if len(query.fronts) > MOST_FRONTS or any(len(name) > MOST_TEXT for name in query.fronts):
        return "too many or too long names of fronts"
    if any(len(str(getattr(query, field))) > MOST_TEXT for field in FIELDS):
        return "a value is too long"
    return ""


def clean(text: str) -> str:
    """Text as summaries hold it: bounded, and without the lone surrogates that a token can bring."""
    if not text.isascii():
        text = text.encode("utf-8", "backslashreplace").decode()
    return text[:MOST_TEXT]


def equalities(query: Query) -> tuple[tuple[str, str], ...]:
    """What is asked for, as (field, value), values as text."""
    asked = ((field, getattr(query, field)) for field in FIELDS)
    return tuple((field, clean(str(value))) for field, value in asked if value is not None)


def matcher(query: Query) -> Callable[[Row], bool]:
    """Whether a row is asked for, without regard to its front."""
    wanted = [(field, getattr(query, field)) for field in FIELDS if getattr(query, field) is not None]
    since, until = query.since, query.until

    def matches(row: Row) -> bool:
        if not since <= row.at < until:
            return False
        return all(getattr(row, field) == value for field, value in wanted)

    return matches


def within(narrow: Query, wide: Query) -> bool:
    """Every row that the narrow one asks for is asked for by the wide one too."""
    if narrow.of != wide.of or narrow.since < wide.since or narrow.until > wide.until:
        return False
    if wide.fronts and not (narrow.fronts and set(narrow.fronts) <= set(wide.fronts)):
        return False
    return all(getattr(wide, field) in (None, getattr(narrow, field)) for field in FIELDS)
