"""The questions that can be asked of the fleet's acts, and what each wants of every shard.

Times in a question are ms of the asked front's wall clock as it stands now; a shard is one life of one
front. A question is put in stages, each a `Select` that all shards answer.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Annotated, Any, Literal

import msgspec

from fernweir.peers.acts.messages import Name, Select, Value
from fernweir.peers.port import AuditEvent

Kind = Literal["program", "settings", "epoch", "boxes", "keys", "format"]
Wall = Annotated[float, msgspec.Meta(ge=0, le=1e15)]


class _Asked(msgspec.Struct, frozen=True, tag_field="question"):
    """JSON has them as an object whose `question` names them."""


class Still(_Asked, frozen=True, kw_only=True, forbid_unknown_fields=True, tag="still"):
    """At time `at`, which fronts still acted on that version, and for how long after others."""

    at: Wall
    value: Value
    kind: Kind = "boxes"
    since: Wall | None = None
    until: Wall | None = None


class AfterDrain(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    tag_field="question",
    tag="after-drain",
):
    """Who sent set-ups to a box after the first front heard that it drains."""

    box: Annotated[int, msgspec.Meta(ge=0, le=1 << 31)]
    since: Wall | None = None
    until: Wall | None = None


class Refusal(_Asked, frozen=True, kw_only=True, forbid_unknown_fields=True, tag="refusal"):
    """What a front knew when it refused a session."""

    session: Name


class Acts(_Asked, frozen=True, kw_only=True, forbid_unknown_fields=True, tag="acts"):
    """All acts for which everything that is given holds."""

    front: Name | None = None
    deed: AuditEvent | None = None
    session: Name | None = None
    title: Name | None = None
    tenant: Name | None = None
    box: int | None = None
    outcome: Name | None = None
    kind: Kind = "boxes"
    value: Value | None = None
    since: Wall | None = None
    until: Wall | None = None


Question = Still | AfterDrain | Refusal | Acts


class QuestionError(ValueError):
    """No question that can be put; the text says why, for an operator."""


@dataclass(frozen=True, slots=True)
class Budget:
    """What an answer may have at most: acts, their bytes, ms."""

    rows: int
    bytes: int
    deadline_ms: float


def parse(plain: Mapping[str, Any]) -> Question:
    """A question as JSON has it: `question` names it, digests are hex. QuestionError if it is none."""
    try:
        question: Question = msgspec.convert(dict(plain), Question)
    except msgspec.ValidationError as error:
        raise QuestionError(str(error)) from None
    if isinstance(question, Still | Acts) and question.value is not None:
        wanted = int if question.kind in ("epoch", "format") else str
        if not isinstance(question.value, wanted):
            raise QuestionError(f"value: no version of {question.kind}")
    return question


def first(now: float, question: Question, wall: float, context: int) -> Select:
    """The first stage; its times are of the asker's own clock, from which its wall clock is `wall` ahead.

    Nothing is asked for that was done after the question was put: that would never end.
    """
    if isinstance(question, Refusal):
        return Select(deeds=(AuditEvent.REFUSED,), session=question.session, until=now, context=context)
    since = question.since - wall if question.since is not None else None
    until = min(now, question.until - wall) if question.until is not None else now
    if isinstance(question, Still):
        return Select(kind=question.kind, since=since, until=until, runs=True)
    if isinstance(question, AfterDrain):
        return Select(deeds=(AuditEvent.DRAIN,), box=question.box, since=since, until=until)
    kind = question.kind if question.value is not None else ""
    return Select(
        (question.deed,) if question.deed is not None else (), question.session, question.title,
        question.tenant, question.box, question.outcome, kind, question.value, since, until,
    )  # fmt: skip


def second(question: Question, stage: Select, heard: float | None) -> Select | None:
    """What is asked when the first stage is done; `heard`: the earliest that a front can have heard."""
    if not isinstance(question, AfterDrain) or heard is None:
        return None
    return Select(deeds=(AuditEvent.SETUP,), box=question.box, since=heard, until=stage.until)
