"""Messages between the front that received a request and the front that owns its session."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta

from fernweir.peers.base import Message

Text = Annotated[str, Meta(max_length=256)]
Small = Annotated[int, Meta(ge=0, le=1_000_000)]
Number = Annotated[int, Meta(ge=0, le=0x7FFFFFFFFFFFFFFF)]
Digest = Annotated[bytes, Meta(max_length=64)]


class Carry(Message, frozen=True, tag="carry"):
    """A forwarded request of a viewer.

    `what` is `ask`, `look` (whether the session plays) or `end`. `wait_ms` counts from the time it is sent.
    """

    number: Number
    what: Annotated[str, Meta(pattern="^(ask|look|end)$")]
    session: Text
    via: Text
    who: Text
    title: Text
    cls: Text
    top_rung: Small
    tenant: Text
    wait_ms: Annotated[float, Meta(ge=0.0, le=600_000.0)]


class Carried(Message, frozen=True, tag="carried"):
    """The reply to a forwarded request.

    `kind` is that of a session reply, or `done` for `look` and `end`, `none` if the front does not have the
    session, or `elsewhere` if it had it and the front named in `why` has it now. `data` is the payload that
    the reply to the viewer is built from; it is omitted if `digest` is sufficient.
    """

    number: Number
    kind: Annotated[str, Meta(pattern="^(plays|refused|failed|conflict|none|elsewhere|done)$")]
    why: Annotated[str, Meta(max_length=1_000)] = ""
    retry_ms: Annotated[float, Meta(ge=0.0, le=3_600_000.0)] = 0.0
    timed_out: bool = False
    box: Annotated[int, Meta(ge=-1, le=0xFFFFFFFF)] = -1
    attempt: Small = 0
    rung: Small = 0
    digest: Digest = b""
    data: Annotated[bytes, Meta(max_length=1 << 20)] = b""


KINDS = (Carry, Carried)
