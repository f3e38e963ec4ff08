"""The records of a trace, as schemas: what the stand-ins' ends of the sockets saw, one JSON object a line.

`t` is milliseconds of one clock for the whole trace. An unknown kind, a missing field or a line that is
no JSON is a TraceError with its number: a trace that can't be read proves nothing.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, TypeAdapter, ValidationError


class TraceError(ValueError):
    """The trace can't be read; the text names the line."""


class Record(BaseModel):
    model_config = ConfigDict(strict=True, frozen=True, extra="forbid")

    t: float | int


class TermsClass(BaseModel):
    model_config = ConfigDict(strict=True, frozen=True, extra="forbid")

    name: str
    floor: int
    seats: int
    effect: Literal["repeatable", "by_key", "once"]


class TermsBudget(BaseModel):
    model_config = ConfigDict(strict=True, frozen=True, extra="forbid")

    span_ms: float
    free: float
    share: float


class TermsCold(BaseModel):
    model_config = ConfigDict(strict=True, frozen=True, extra="forbid")

    warm_up_ms: float
    cold_from: float
    multiple: float
    window_ms: float


class Terms(Record):
    kind: Literal["terms"]
    rungs: int
    drain_grace_ms: float | None
    classes: list[TermsClass]
    budget: TermsBudget | None
    cold: TermsCold | None
    way_ms: float = 0.0  # how much longer than usual news may be on its way
    overlap_ms: float = 0.0  # how long a channel's old owner may still steer


class FrontUp(Record):
    kind: Literal["front.up"]
    front: str


class FrontDown(Record):
    """The front was killed, or told to stop; `planned` if it ended by itself after `front.term`."""

    kind: Literal["front.down"]
    front: str
    planned: bool = False


class FrontTerm(Record):
    """The front was told to stop: what it took before must be answered."""

    kind: Literal["front.term"]
    front: str


class FrontStop(Record):
    """The process stands still from now on (SIGSTOP)."""

    kind: Literal["front.stop"]
    front: str


class FrontCont(Record):
    """It goes on, as if no time had passed."""

    kind: Literal["front.cont"]
    front: str


class FleetShutOut(Record):
    """The fleet shut a front out; from `bound_ms` later boxes must take nothing of it."""

    kind: Literal["fleet.shutout"]
    front: str
    bound_ms: float


class FleetBack(Record):
    """It is one of the fleet again."""

    kind: Literal["fleet.back"]
    front: str


class ViewerAsk(Record):
    kind: Literal["viewer.ask"]
    req: int
    front: str
    session: str
    title: str
    cls: str
    wait_ms: float


class ViewerAnswer(Record):
    kind: Literal["viewer.answer"]
    req: int
    status: int
    rungs: list[int]


class ViewerCut(Record):
    """The connection ended without an answer."""

    kind: Literal["viewer.cut"]
    req: int
    outcome: str


class ViewerLeft(Record):
    kind: Literal["viewer.left"]
    req: int


class BoxStart(Record):
    kind: Literal["box.start"]
    box: int
    boot: str
    cold: bool
    streams: int


class BoxStop(Record):
    kind: Literal["box.stop"]
    box: int
    why: str


class BoxSetup(Record):
    """A set-up came in."""

    kind: Literal["box.setup"]
    box: int
    id: int
    front: str
    session: str
    attempt: int
    title: str
    cls: str
    rung: int
    channel: str = ""
    fence: int = 0


class BoxRuns(Record):
    """Its work is done: the session runs there."""

    kind: Literal["box.runs"]
    box: int
    id: int
    front: str
    session: str
    attempt: int
    title: str
    cls: str
    rung: int
    channel: str = ""
    fence: int = 0


class BoxAnswer(Record):
    kind: Literal["box.answer"]
    box: int
    id: int
    status: int
    whole: bool


class BoxClosed(Record):
    """The front's connection ended before the answer."""

    kind: Literal["box.closed"]
    box: int
    id: int


class BoxEnd(Record):
    kind: Literal["box.end"]
    box: int
    front: str
    session: str
    attempt: int
    title: str
    cls: str
    why: str


class BoxRung(Record):
    kind: Literal["box.rung"]
    box: int
    front: str
    session: str
    attempt: int
    cls: str
    rung: int


class BoxSegment(Record):
    kind: Literal["box.segment"]
    box: int
    session: str
    attempt: int
    cls: str
    rung: int
    status: int


class BoxClaim(Record):
    """A front said that it owns a channel. `highest` is the fence that the box knows after it."""

    kind: Literal["box.claim"]
    box: int
    channel: str
    front: str
    fence: int
    accepted: bool
    highest: int


class BoxSteer(Record):
    """A front steered a session of a channel, or set one up in it, `by` name under a fence."""

    kind: Literal["box.steer"]
    box: int
    channel: str
    fence: int
    by: str
    session: str
    attempt: int
    accepted: bool


class ListTold(Record):
    kind: Literal["list.told"]
    front: str
    box: int
    state: Literal["ready", "draining", "gone"]
    version: int


class SeatTaken(Record):
    """The entitlement server's own report: a lease began, and how many seats of its place are used now."""

    kind: Literal["seat.taken"]
    lease: str
    front: str
    session: str
    place: str
    used: int
    limit: int


class SeatFreed(Record):
    kind: Literal["seat.freed"]
    lease: str
    front: str
    session: str
    place: str
    used: int
    limit: int


class Remark(Record):
    """A note of whoever ran the day: which fault began or ended. Not judged."""

    kind: Literal["day"]
    what: str


AnyRecord = Annotated[
    Terms
    | FrontUp
    | FrontDown
    | FrontTerm
    | FrontStop
    | FrontCont
    | FleetShutOut
    | FleetBack
    | ViewerAsk
    | ViewerAnswer
    | ViewerCut
    | ViewerLeft
    | BoxStart
    | BoxStop
    | BoxSetup
    | BoxRuns
    | BoxAnswer
    | BoxClosed
    | BoxEnd
    | BoxRung
    | BoxSegment
    | BoxClaim
    | BoxSteer
    | ListTold
    | SeatTaken
    | SeatFreed
    | Remark,
    Field(discriminator="kind"),
]
_ADAPTER: TypeAdapter[AnyRecord] = TypeAdapter(AnyRecord)


def read_record(document: object, line: int) -> AnyRecord:
    try:
        return _ADAPTER.validate_python(document)
    except ValidationError as error:
        first = error.errors()[0]
        where = ".".join(map(str, first["loc"]))
        raise TraceError(f"line {line}: {where}: {first['msg']}") from None


def read_trace(lines: Iterable[str]) -> list[tuple[int, AnyRecord]]:
    """All records with their line numbers, by time; records of one instant stay as written."""
    records = []
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        try:
            document = json.loads(line)
        except ValueError:
            raise TraceError(f"line {number}: not JSON") from None
        records.append((number, read_record(document, number)))
    records.sort(key=lambda one: one[1].t)
    if not records or not isinstance(records[0][1], Terms):
        raise TraceError("the first record is not the terms")
    return records
