"""Messages to bytes and back, for two formats of messages at once.

A body is a msgpack array of messages, each an array that begins with its tag. Fields are checked while they
are decoded. A tag that is not known is passed over, as a newer front may know more kinds; fields that are
not known are further back in the array and are passed over too.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any, Union

import msgspec

from fernweir.peers.base import Message

_MAX_MESSAGES = 65_535  # messages in one body: an array's length of 2 bytes


class MalformedError(Exception):
    """A body that no front of any format would have written."""


@dataclass(slots=True)
class CodecCounts:
    decoded: int = 0
    unknown: int = 0  # messages of kinds that only a newer front has
    malformed: int = 0  # bodies
    formats: int = 0  # bodies of a format outside what is spoken here


def common(mine: tuple[int, int], theirs: tuple[int, int]) -> int | None:
    """The highest format that both speak, each a (lowest, highest)."""
    highest = min(mine[1], theirs[1])
    return highest if highest >= max(mine[0], theirs[0]) else None


class Codec:
    """All kinds of messages of all parts, `formats` being the (lowest, highest) that are spoken here.

    ValueError if two kinds have one tag, or a kind has none, or is no array.
    """

    def __init__(self, kinds: Iterable[Sequence[type[Message]]], formats: tuple[int, int] = (1, 1)) -> None:
        self.formats, self.counts = formats, CodecCounts()
        if not 1 <= formats[0] <= formats[1] <= 255:
            raise ValueError(f"formats {formats} are no range within 1 to 255")
        self.kinds: dict[str, type[Message]] = {}
        for kind in (kind for part in kinds for kind in part):
            config = kind.__struct_config__
            if not config.array_like or not isinstance(config.tag, str):
                raise ValueError(f"{kind.__name__} has no tag of its own, or is no array")
            if self.kinds.setdefault(config.tag, kind) is not kind:
                raise ValueError(
                    f"{kind.__name__} and {self.kinds[config.tag].__name__} are both {config.tag!r}"
                )
        if not self.kinds:
            raise ValueError("no kinds of messages")
        union: Any = Union[tuple(self.kinds.values())]  # noqa: UP007 - made of what is given
        self._all = msgspec.msgpack.Decoder(list[union])
        self._each = msgspec.msgpack.Decoder(union)
        self._raw = msgspec.msgpack.Decoder(list[msgspec.Raw])
        self._tag = msgspec.msgpack.Decoder(str)
        self._encoder = msgspec.msgpack.Encoder()

    def one(self, message: Message) -> bytes:
        """One message as it stands in a body."""
        return self._encoder.encode(message)

    def encode(self, messages: Sequence[Message]) -> bytes:
        return join([self._encoder.encode(message) for message in messages])

    def decode(self, body: bytes | memoryview, message_format: int | None = None) -> list[Message]:
        """The messages of a body in its order; empty if its format is not spoken here.

        MalformedError if any message of a known kind is not well formed: none of them counts then.
        """
        counts = self.counts
        if message_format is not None and not self.formats[0] <= message_format <= self.formats[1]:
            counts.formats += 1
            return []
        try:
            messages: list[Message] = self._all.decode(body)
        except msgspec.ValidationError:
            messages = self._one_by_one(body)
        except (msgspec.DecodeError, RecursionError) as error:
            counts.malformed += 1
            raise MalformedError(str(error)) from None
        counts.decoded += len(messages)
        return messages

    def _one_by_one(self, body: bytes | memoryview) -> list[Message]:
        messages: list[Message] = []
        unknown = 0
        try:
            for raw in self._raw.decode(body):
                try:
                    messages.append(self._each.decode(raw))
                except msgspec.ValidationError:
                    if self._tag.decode(self._raw.decode(raw)[0]) in self.kinds:
                        raise
                    unknown += 1
        except (msgspec.DecodeError, RecursionError, IndexError) as error:
            self.counts.malformed += 1
            raise MalformedError(str(error)) from None
        self.counts.unknown += unknown
        return messages


def join(messages: Sequence[bytes]) -> bytes:
    """A body of messages that are encoded already."""
    count = len(messages)
    if count > _MAX_MESSAGES:
        raise ValueError(f"{count} messages in one body")
    head = bytes([0x90 | count]) if count < 16 else b"\xdc" + count.to_bytes(2, "big")
    return head + b"".join(messages)
