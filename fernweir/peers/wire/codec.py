"""Encodes and decodes messages, for two message formats at once.

A body is a msgpack array of messages, each an array that begins with its tag. Fields are validated while they
are decoded. An unknown tag is skipped, as a newer front may have more kinds of messages. Unknown fields are
at the end of the array and are skipped too.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any, Union

import msgspec

from fernweir.peers.base import Message

_MAX_MESSAGES = 65_535  # in one body: the array length has 2 bytes


class MalformedError(Exception):
    """Raised for a body that no front of any format would have written."""


@dataclass(slots=True)
class CodecCounts:
    decoded: int = 0
    unknown_kinds: int = 0  # messages of kinds that only newer fronts have
    malformed: int = 0  # bodies
    unsupported_formats: int = 0  # bodies of a format that is not supported here


def highest_common_format(mine: tuple[int, int], theirs: tuple[int, int]) -> int | None:
    """Returns the highest format that both support. Each argument is a (lowest, highest) pair."""
    highest = min(mine[1], theirs[1])
    return highest if highest >= max(mine[0], theirs[0]) else None


class Codec:
    """Codec for all kinds of messages of all parts. `formats` is the supported (lowest, highest) pair.

    Raises ValueError if two kinds share a tag, or if a kind has no tag or is not encoded as an array.
    """

    def __init__(self, kinds: Iterable[Sequence[type[Message]]], formats: tuple[int, int] = (1, 1)) -> None:
        self.formats, self.counts = formats, CodecCounts()
        if not 1 <= formats[0] <= formats[1] <= 255:
            raise ValueError(f"formats {formats} are not a range within 1 to 255")
        self.kinds: dict[str, type[Message]] = {}
        for kind in (kind for part in kinds for kind in part):
            config = kind.__struct_config__
            if not config.array_like or not isinstance(config.tag, str):
                raise ValueError(f"{kind.__name__} has no string tag or is not encoded as an array")
            if self.kinds.setdefault(config.tag, kind) is not kind:
                raise ValueError(
                    f"{kind.__name__} and {self.kinds[config.tag].__name__} have the same tag {config.tag!r}"
                )
        if not self.kinds:
            raise ValueError("the codec needs at least one kind of message")
        union: Any = Union[tuple(self.kinds.values())]  # noqa: UP007 - built at run time from the given kinds
        self._all_decoder = msgspec.msgpack.Decoder(list[union])
        self._message_decoder = msgspec.msgpack.Decoder(union)
        self._raw_decoder = msgspec.msgpack.Decoder(list[msgspec.Raw])
        self._tag_decoder = msgspec.msgpack.Decoder(str)
        self._encoder = msgspec.msgpack.Encoder()

    def encode_one(self, message: Message) -> bytes:
        """Encodes one message as an element of a body."""
        return self._encoder.encode(message)

    def encode(self, messages: Sequence[Message]) -> bytes:
        return join_messages([self._encoder.encode(message) for message in messages])

    def decode(self, body: bytes | memoryview, message_format: int | None = None) -> list[Message]:
        """Returns the messages of a body in order; an empty list if its format is not supported.

        Raises MalformedError if any message of a known kind is malformed; then no message is returned.
        """
        counts = self.counts
        if message_format is not None and not self.formats[0] <= message_format <= self.formats[1]:
            counts.unsupported_formats += 1
            return []
        try:
            messages: list[Message] = self._all_decoder.decode(body)
        except msgspec.ValidationError:
            messages = self._one_by_one(body)
        except (msgspec.DecodeError, RecursionError) as error:
            counts.malformed += 1
            raise MalformedError(str(error)) from None
        counts.decoded += len(messages)
        return messages

    def _one_by_one(self, body: bytes | memoryview) -> list[Message]:
        messages: list[Message] = []
        unknown_kinds = 0
        try:
            for raw in self._raw_decoder.decode(body):
                try:
                    messages.append(self._message_decoder.decode(raw))
                except msgspec.ValidationError:
                    if self._tag_decoder.decode(self._raw_decoder.decode(raw)[0]) in self.kinds:
                        raise
                    unknown_kinds += 1
        except (msgspec.DecodeError, RecursionError, IndexError) as error:
            self.counts.malformed += 1
            raise MalformedError(str(error)) from None
        self.counts.unknown_kinds += unknown_kinds
        return messages


def join_messages(messages: Sequence[bytes]) -> bytes:
    """Builds a body from messages that are already encoded."""
    count = len(messages)
    if count > _MAX_MESSAGES:
        raise ValueError(f"{count} messages are too many for one body")
    head = bytes([0x90 | count]) if count < 16 else b"\xdc" + count.to_bytes(2, "big")
    return head + b"".join(messages)
