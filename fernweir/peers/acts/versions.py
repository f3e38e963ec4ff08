"""What an act rested on: versions of program, settings, list of boxes, keys and the peers' format.

Between fronts only content proves anything: the numbers of a list or a feed start anew with each front. So
each version is a digest of content, the same at every front whatever order it came in.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from hashlib import blake2b
from itertools import pairwise
from typing import Annotated, Any

import msgspec

DIGEST_BYTES = 16
LIST_PERSON = b"fw boxes"
Digest = Annotated[bytes, msgspec.Meta(max_length=DIGEST_BYTES)]


class Versions(msgspec.Struct, frozen=True, array_like=True):
    """`epoch` is raised by an operator; `boxes_told_at` is wall ms, when the list was told."""

    program: Annotated[str, msgspec.Meta(max_length=64)]
    settings: Digest
    epoch: Annotated[int, msgspec.Meta(ge=0, lt=1 << 62)]
    boxes: Digest
    boxes_told_at: Annotated[int, msgspec.Meta(ge=0, lt=1 << 53)]
    keys: Digest
    format: Annotated[int, msgspec.Meta(ge=0, lt=1 << 16)]


KINDS = ("program", "settings", "epoch", "boxes", "keys", "format")
"""The fields that a question may name; the time told is no version."""


def boxes_digest(rows: Iterable[tuple[int, Any]]) -> bytes:
    """Of a list of boxes: each box's number and what the list says of it, in any order.

    What is said must be what msgpack can say; mappings count by content, not by order. ValueError if a
    box stands twice: which of the two holds would depend on their order.
    """
    listed = sorted(rows, key=lambda row: row[0])
    if any(one[0] == other[0] for one, other in pairwise(listed)):
        raise ValueError("a box is listed twice")
    return _digest(LIST_PERSON, listed)


def settings_digest(sections: Mapping[str, Mapping[str, str]], own: Collection[str] = ()) -> bytes:
    """Of settings by section and key; `own` names those (`section.key`) that differ from front to front."""
    said = {
        section: {key: value for key, value in keys.items() if f"{section}.{key}" not in own}
        for section, keys in sections.items()
    }
    return _digest(b"fw settings", {section: keys for section, keys in said.items() if keys})


def keys_digest(keys: Iterable[tuple[str, bytes]]) -> bytes:
    """Of a set of keys: each one's id and public part, in any order; the same one twice counts once."""
    return _digest(b"fw keys", sorted(set(keys)))


def _digest(person: bytes, content: Any) -> bytes:
    data = msgspec.msgpack.encode(content, order="deterministic")
    return blake2b(data, digest_size=DIGEST_BYTES, person=person).digest()
