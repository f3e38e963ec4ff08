"""What the seat log holds: one JSON object a record, and the state that they fold into."""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import asdict, dataclass, replace
from typing import Any


class RecordError(ValueError):
    """A record or snapshot has a good checksum and says nothing that is known."""


@dataclass(frozen=True, slots=True)
class Kept:
    """One seat as the log knows it: asked for under a key, perhaps held under a lease.

    `until` is wall time in seconds, for after a restart; while the front runs, monotonic time decides.
    """

    session: str
    generation: int
    tenant: str
    lesson: str
    cls: str
    person: str
    worth: float
    lease: str = ""
    fence: int = 0
    until: float = 0.0


Table = dict[str, Kept]


def asked(seat: Kept) -> bytes:
    return _encode({"k": "ask", **asdict(seat)})


def held(session: str, lease: str, fence: int, until: float) -> bytes:
    return _encode({"k": "held", "session": session, "lease": lease, "fence": fence, "until": until})


def gone(session: str) -> bytes:
    return _encode({"k": "gone", "session": session})


def fold(table: Table, body: bytes) -> None:
    """Applies one record to the table."""
    record = _decode(body)
    kind = record.pop("k", None)
    try:
        if kind == "ask":
            seat = Kept(**record)
            table[seat.session] = seat
        elif kind == "held":
            session = record.pop("session")
            if session in table:
                table[session] = replace(table[session], **record)
        elif kind == "gone":
            table.pop(record["session"], None)
        else:
            raise RecordError(f"unknown record {kind!r}")
    except (TypeError, KeyError) as error:
        raise RecordError(f"record {kind!r}: {error}") from None


def encode_table(table: Table) -> bytes:
    return _encode({"seats": [asdict(seat) for seat in table.values()]})


def decode_table(body: bytes | None) -> Table:
    if body is None:
        return {}
    try:
        return {one["session"]: Kept(**one) for one in _decode(body)["seats"]}
    except (TypeError, KeyError) as error:
        raise RecordError(f"snapshot: {error}") from None


def fold_all(snapshot: bytes | None, records: Iterable[tuple[int, bytes]]) -> Table:
    """The table that a recovered log stands for."""
    table = decode_table(snapshot)
    for _, body in records:
        fold(table, body)
    return table


def _encode(document: dict[str, object]) -> bytes:
    return json.dumps(document, separators=(",", ":")).encode()


def _decode(body: bytes) -> dict[str, Any]:
    try:
        document = json.loads(body)
    except ValueError:
        raise RecordError("not JSON") from None
    if not isinstance(document, dict):
        raise RecordError("not an object")
    return document
