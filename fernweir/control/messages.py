"""The messages of the control socket, version 1: one JSON object per line.

The first line of a client is its `Hello`; all others are a `Request`, each with an id that the client
chooses. Every request gets one response `{"id", "ok", ...}`. The id of a command is stored with its answer,
so that the client may send it again after a lost connection. Messages to watchers have `watch` instead of
`id`.
"""

from __future__ import annotations

from typing import Annotated, Any, Literal

from pydantic import BaseModel, ConfigDict, Field

VERSION = 1
LINE_BYTES = 65_536
ShortText = Annotated[str, Field(max_length=200)]
RequestId = Annotated[str, Field(min_length=1, max_length=100, pattern=r"^[\x21-\x7e]+$")]


class _Message(BaseModel):
    """The base of all messages: strict, immutable, without unknown fields."""

    model_config = ConfigDict(strict=True, frozen=True, extra="forbid")


class Hello(_Message):
    """The greeting of a client: the protocol version and the operator."""

    hello: Literal[1]
    operator: Annotated[str, Field(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9][A-Za-z0-9._@-]*$")]


class ListSessions(_Message):
    """Requests one page of the live sessions, in the order of `front/session`, that follow `after`."""

    id: RequestId
    do: Literal["sessions"]
    box: int | None = None
    lesson: ShortText | None = None
    tenant: ShortText | None = None
    phase: Literal["asked", "out", "playing"] | None = None
    after: ShortText = ""
    limit: Annotated[int, Field(ge=1, le=500)] = 100


class ListServers(_Message):
    """Requests one page of the servers, in the order of their numbers, that follow `after`."""

    id: RequestId
    do: Literal["boxes"]
    after: int = -1
    limit: Annotated[int, Field(ge=1, le=500)] = 200


class ExplainSession(_Message):
    """Requests the journal's entries on one session, oldest first."""

    id: RequestId
    do: Literal["why"]
    session: ShortText
    limit: Annotated[int, Field(ge=1, le=500)] = 200


class SearchEvents(_Message):
    """Requests the newest journal entries that match all given fields.

    `next` in the response is `before` of the next page. It may be there although a page is not full, and the
    next page may be empty.
    """

    id: RequestId
    do: Literal["events"]
    what: ShortText | None = None
    session: ShortText | None = None
    box: int | None = None
    lesson: ShortText | None = None
    tenant: ShortText | None = None
    cls: ShortText | None = None
    why: ShortText | None = None
    front: ShortText | None = None
    since: int = 0
    until: int = 1 << 62
    before: int | None = None
    limit: Annotated[int, Field(ge=1, le=500)] = 100


class SimpleRequest(_Message):
    """Requests without parameters.

    `overview`: counts by kind, refusals by reason, fronts and orders. `limits`: the limits in force. `site`:
    the snapshot that the rules for orders use. `unit`: the processes of a unit.
    """

    id: RequestId
    do: Literal["overview", "limits", "unwatch", "snapshot", "gauges", "site", "unit"]


class WatchEntries(_Message):
    """Requests the journal entries from now on.

    With `since` and `journal`, the entries after `since` come first if they are all still stored, otherwise a
    snapshot does.
    """

    id: RequestId
    do: Literal["watch"]
    since: Annotated[int, Field(ge=0)] = 0
    journal: ShortText = ""


class ChangeOrders(_Message):
    """A command of an operator, see the module `orders`."""

    id: RequestId
    do: Literal["drain", "undrain", "hold", "unhold", "cap", "uncap", "end", "undo"]
    target: Annotated[str, Field(min_length=1, max_length=200)]
    reason: Annotated[str, Field(max_length=200, pattern=r"^[^\x00-\x1f\x7f]*$")] = ""
    most: Annotated[int, Field(ge=0)] = 0
    mark: ShortText = ""


class RetryProcess(_Message):
    """Starts a process of the unit now that was given up or waits for its next restart."""

    id: RequestId
    do: Literal["retry"]
    target: Annotated[str, Field(min_length=1, max_length=100)]


class ReplaceOrders(_Message):
    """Sent by a unit to one of its fronts: all orders in force, which replace the front's."""

    id: RequestId
    do: Literal["orders"]
    orders: dict[str, Any]


class QueryFleet(_Message):
    """A query over the audit logs of all fronts, see `docs/protocols.md`."""

    id: RequestId
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
    """Validates a request by its `do`."""

    model_config = ConfigDict(strict=True)

    ask: Annotated[Request, Field(discriminator="do")]
