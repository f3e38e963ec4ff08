"""What crosses the control socket: one JSON object a line. Version 1.

The first line of a client is its `Hello`, all others are `Ask`s, each with an id of the client's choosing.
Every ask gets one `{"id", "ok", ...}`; a command's id is remembered, so that it may be sent again after a
dropped connection. What a watcher gets besides has `watch` instead of `id`.
"""

from __future__ import annotations

from typing import Annotated, Any, Literal

from pydantic import BaseModel, ConfigDict, Field

VERSION = 1
LINE_BYTES = 65_536
Word = Annotated[str, Field(max_length=200)]
Id = Annotated[str, Field(min_length=1, max_length=100, pattern=r"^[\x21-\x7e]+$")]


class _Message(BaseModel):
    model_config = ConfigDict(strict=True, frozen=True, extra="forbid")


class Hello(_Message):
    hello: Literal[1]
    operator: Annotated[str, Field(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9][A-Za-z0-9._@-]*$")]


class ListSessions(_Message):
    """Sessions that are not over, in the order of `front/session`, from behind `after` on."""

    id: Id
    do: Literal["sessions"]
    box: int | None = None
    lesson: Word | None = None
    tenant: Word | None = None
    phase: Literal["asked", "out", "playing"] | None = None
    after: Word = ""
    limit: Annotated[int, Field(ge=1, le=500)] = 100


class ListServers(_Message):
    id: Id
    do: Literal["boxes"]
    after: int = -1
    limit: Annotated[int, Field(ge=1, le=500)] = 200


class ExplainSession(_Message):
    """All that the journal has on one session, oldest first."""

    id: Id
    do: Literal["why"]
    session: Word
    limit: Annotated[int, Field(ge=1, le=500)] = 200


class SearchEvents(_Message):
    """The newest entries for which all that is given holds; `next` in the answer is `before` of the next
    page, which may come before a page is full, or be empty."""

    id: Id
    do: Literal["events"]
    what: Word | None = None
    session: Word | None = None
    box: int | None = None
    lesson: Word | None = None
    tenant: Word | None = None
    cls: Word | None = None
    why: Word | None = None
    front: Word | None = None
    since: int = 0
    until: int = 1 << 62
    before: int | None = None
    limit: Annotated[int, Field(ge=1, le=500)] = 100


class SimpleRequest(_Message):
    """`overview`: counts by kind, refusals by reason, fronts, orders. `limits`: what is in force. `site`:
    what the rules of orders look at. `unit`: the processes of a unit."""

    id: Id
    do: Literal["overview", "limits", "unwatch", "snapshot", "gauges", "site", "unit"]


class WatchEntries(_Message):
    """Entries from now on. With `since` and `journal`, those after it if they are still here, else a
    snapshot first."""

    id: Id
    do: Literal["watch"]
    since: Annotated[int, Field(ge=0)] = 0
    journal: Word = ""


class ChangeOrders(_Message):
    """A command of an operator, see `orders`."""

    id: Id
    do: Literal["drain", "undrain", "hold", "unhold", "cap", "uncap", "end", "undo"]
    target: Annotated[str, Field(min_length=1, max_length=200)]
    reason: Annotated[str, Field(max_length=200, pattern=r"^[^\x00-\x1f\x7f]*$")] = ""
    most: Annotated[int, Field(ge=0)] = 0
    mark: Word = ""


class RetryProcess(_Message):
    """A process of the unit that was given up, or that pauses, is to be started now."""

    id: Id
    do: Literal["retry"]
    target: Annotated[str, Field(min_length=1, max_length=100)]


class ReplaceOrders(_Message):
    """From the unit to a front of its own: the orders that stand, as a whole."""

    id: Id
    do: Literal["orders"]
    orders: dict[str, Any]


class QueryFleet(_Message):
    """A question over the acts of all fronts, see `docs/protocols.md`."""

    id: Id
    do: Literal["ask-fleet"]
    question: dict[str, Any]


Request = (
    ListSessions
    | ListServers
    | ExplainSession
    | SearchEvents
    | SimpleRequest
    | WatchEntries
    | ChangeOrders
    | RetryProcess
    | ReplaceOrders
    | QueryFleet
)


class RequestEnvelope(BaseModel):
    model_config = ConfigDict(strict=True)

    ask: Annotated[Request, Field(discriminator="do")]
