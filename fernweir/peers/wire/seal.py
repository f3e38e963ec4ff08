"""Datagrams sealed with the fleet key: who sent them is proved, and each is taken once.

A datagram is `magic 2, format 1, length of the name 1, name, life 8, counter 8, body, tag 16`, numbers big
endian, the tag a keyed BLAKE2b of all before it. It is authenticated and not hidden. Checks go from cheap
to dear, and only what is authenticated changes anything but a count.

What a window can't know: a front that just started takes what was recorded before its start once more, and
so does any front that the datagram was not sent to. Messages must bear that, as they must bear doubling.
"""

from __future__ import annotations

import struct
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from fernweir.peers.wire.keys import TAG, Sealer
from fernweir.peers.wire.window import Window

MAGIC = b"\xfe\x57"
_NUMBERS = struct.Struct(">QQ")
NAME_MOST = 64
LEAST = 4 + 1 + _NUMBERS.size + TAG
USE = b"fernweir dgram"


class Kind(StrEnum):
    """Why something was not opened."""

    SHORT = "short"
    MAGIC = "magic"
    FORMAT = "format"
    NAME = "name"
    TAG = "tag"
    REPLAY = "replay"  # seen, or before the window
    OLD_INCARNATION = "old life"
    OWN = "own"  # what was sent from here, come back
    COUNTER = "counter"  # on a connection: a frame repeated, left out or out of order


class Refused(NamedTuple):
    """For an old life, `sender` and the two lives are authenticated."""

    kind: Kind
    sender: str = ""
    incarnation: int = 0
    newest_incarnation: int = 0


class SealError(Exception):
    """Something that is not opened."""

    def __init__(self, refused: Refused) -> None:
        super().__init__(refused.kind.value)
        self.refused, self.kind = refused, refused.kind


_SHORT, _MAGIC, _FORMAT = Refused(Kind.SHORT), Refused(Kind.MAGIC), Refused(Kind.FORMAT)
_NAME, _TAG, _OWN = Refused(Kind.NAME), Refused(Kind.TAG), Refused(Kind.OWN)


class Opened(NamedTuple):
    sender: str
    incarnation: int
    counter: int
    format: int
    body: bytes


@dataclass(frozen=True, slots=True)
class SealRules:
    """`senders` bounds the windows; the one not heard longest makes room, for an authenticated one only."""

    window: int = 1_024
    senders: int = 4_096
    formats: tuple[int, int] = (1, 1)


class _Sender:
    __slots__ = ("incarnation", "window")

    def __init__(self, incarnation: int, size: int) -> None:
        self.incarnation, self.window = incarnation, Window(size)


class Seal:
    """Seals under one name and life, and opens what others sealed. The first key seals, any opens."""

    def __init__(
        self, keys: Sequence[bytes], name: str, incarnation: int, rules: SealRules | None = None
    ) -> None:
        self.rules = rules or SealRules()
        self.counts: dict[Kind, int] = dict.fromkeys(Kind, 0)
        self.name, self.incarnation, self._counter = name, incarnation, 0
        self._sealer = Sealer(keys, USE)
        self._formats = self.rules.formats
        self._senders: dict[str, _Sender] = {}
        self._name_bytes = name.encode()
        if not 1 <= len(self._name_bytes) <= NAME_MOST:
            raise ValueError(f"a name of {len(self._name_bytes)} bytes, not 1 to {NAME_MOST}")
        self.over = LEAST - 1 + len(self._name_bytes)  # bytes that sealing adds

    def advance_incarnation(self, incarnation: int) -> None:
        """From now on this front seals under a later life, as others know its name in one above its own."""
        if incarnation <= self.incarnation:
            raise ValueError(f"life {incarnation} is not after {self.incarnation}")
        self.incarnation, self._counter = incarnation, 0

    def seal(self, body: bytes, message_format: int) -> bytes:
        self._counter += 1
        name = self._name_bytes
        head = (
            MAGIC + bytes((message_format, len(name))) + name + _NUMBERS.pack(self.incarnation, self._counter)
        )
        data = head + body
        return data + self._sealer.tag(data)

    def open(self, data: bytes) -> Opened:
        """What a datagram says, and by whom. SealError, counted by its kind, for all but a good new one."""
        found = self.try_open(data)
        if isinstance(found, Refused):
            raise SealError(found)
        return found

    def try_open(self, data: bytes) -> Opened | Refused:
        """As `open`; raising would cost more than the looking."""
        found = self._try_open(data)
        if isinstance(found, Refused):
            self.counts[found.kind] += 1
        return found

    def _try_open(self, data: bytes) -> Opened | Refused:
        size = len(data)
        if size < LEAST:
            return _SHORT
        if not data.startswith(MAGIC):
            return _MAGIC
        message_format, length = data[2], data[3]
        lowest, highest = self._formats
        if not lowest <= message_format <= highest:
            return _FORMAT
        if not 1 <= length <= NAME_MOST:
            return _NAME
        start = 4 + length + _NUMBERS.size
        if size < start + TAG:
            return _SHORT
        if self._sealer.opens(memoryview(data)[:-TAG], data[-TAG:]) is None:
            return _TAG
        try:
            sender = data[4 : 4 + length].decode()
        except UnicodeDecodeError:
            return _NAME
        incarnation, counter = _NUMBERS.unpack_from(data, 4 + length)
        if sender == self.name and incarnation == self.incarnation:
            return _OWN
        window = self.register_sender(sender, incarnation)
        if window is None:
            return Refused(Kind.OLD_INCARNATION, sender, incarnation, self.newest_incarnation(sender))
        if not window.accept(counter):
            return Refused(Kind.REPLAY, sender, incarnation, incarnation)
        return Opened(sender, incarnation, counter, message_format, data[start:-TAG])

    def register_sender(self, sender: str, incarnation: int) -> Window | None:
        """The window of a life that was proved; those before it are over. None for one of these."""
        known = self._senders.pop(sender, None)
        if known is not None and incarnation < known.incarnation:
            self._senders[sender] = known
            return None
        if known is None or incarnation > known.incarnation:
            known = _Sender(incarnation, self.rules.window)
        self._senders[sender] = known  # last in order, as it was heard last
        if len(self._senders) > self.rules.senders:
            del self._senders[next(iter(self._senders))]
        return known.window

    def newest_incarnation(self, sender: str) -> int:
        """The latest life heard under a name, 0 if none is known."""
        known = self._senders.get(sender)
        return 0 if known is None else known.incarnation
