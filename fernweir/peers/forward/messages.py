"""What passes between the front a viewer came to and the one that owns its session."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta

from fernweir.peers.base import Message

Text = Annotated[str, Meta(max_length=256)]
Small = Annotated[int, Meta(ge=0, le=1_000_000)]
Number = Annotated[int, Meta(ge=0, le=0x7FFFFFFFFFFFFFFF)]
Digest = Annotated[bytes, Meta(max_length=64)]


class Carry(Message, frozen=True, tag="carry"):
    """A viewer's request. `what` is `ask`, `look` (does it play?) or `end`; `wait_ms` from the sending on."""

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
    """Its answer. `kind` is one of the host's kinds of answers; `done` for `look` and `end`; `none` where the
    session is not held there, and `elsewhere` where it was, and `why` names the front that has it since.

    `data` is what the viewer is answered from, left out where `digest` alone will do.
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
