"""Datagrams sealed with the fleet key: the sender is authenticated, and each datagram is accepted once.

A datagram is `magic 2, format 1, length of the name 1, name, incarnation 8, counter 8, body, tag 16`, numbers
big endian, the tag a keyed BLAKE2b of everything before it. It is authenticated, not encrypted. Cheap checks
precede expensive ones, and only an authenticated datagram changes any state other than a counter.

A replay window has limits: a front that just started accepts a datagram recorded before its start once more,
and so does any front that the datagram was not sent to. Messages must tolerate that, like duplication.
"""

from __future__ import annotations

import struct
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from fernweir.peers.wire.keys import TAG_BYTES, Sealer
from fernweir.peers.wire.window import ReplayWindow

MAGIC = b"\xfe\x57"
_NUMBERS = struct.Struct(">QQ")
MAX_NAME_BYTES = 64
MIN_DATAGRAM_BYTES = 4 + 1 + _NUMBERS.size + TAG_BYTES
DATAGRAM_PERSONALIZATION = b"fernweir dgram"


class RefusalKind(StrEnum):
    """Why a datagram, hello or frame was refused."""

    SHORT = "short"
    MAGIC = "magic"
    FORMAT = "format"
    NAME = "name"
    TAG = "tag"
    REPLAY = "replay"  # already seen, or before the window
    OLD_INCARNATION = "old life"
    OWN = "own"  # sent by this front and returned
    COUNTER = "counter"  # on a connection: a repeated, missing or reordered frame


class Refusal(NamedTuple):
    """The reason of a refusal. For an old incarnation the other fields are authenticated."""

    kind: RefusalKind
    sender: str = ""
    incarnation: int = 0
    newest_incarnation: int = 0


class SealError(Exception):
    """Raised for a datagram, hello or frame that is refused."""

    def __init__(self, refused: Refusal) -> None:
        super().__init__(refused.kind.value)
        self.refused, self.kind = refused, refused.kind


_SHORT, _MAGIC, _FORMAT = Refusal(RefusalKind.SHORT), Refusal(RefusalKind.MAGIC), Refusal(RefusalKind.FORMAT)
_NAME, _TAG, _OWN = Refusal(RefusalKind.NAME), Refusal(RefusalKind.TAG), Refusal(RefusalKind.OWN)


class Opened(NamedTuple):
    sender: str
    incarnation: int
    counter: int
    format: int
    body: bytes


@dataclass(frozen=True, slots=True)
class SealRules:
    """`senders` bounds the windows. Only an authenticated sender evicts the least recently active one."""

    window: int = 1_024
    senders: int = 4_096
    formats: tuple[int, int] = (1, 1)


class _Sender:
    __slots__ = ("incarnation", "window")

    def __init__(self, incarnation: int, size: int) -> None:
        self.incarnation, self.window = incarnation, ReplayWindow(size)


class Seal:
    """Seals datagrams under one name and incarnation, and opens those of others.

    The first key seals, any key opens.
    """

    def __init__(
        self, keys: Sequence[bytes], name: str, incarnation: int, rules: SealRules | None = None
    ) -> None:
        self.rules = rules or SealRules()
        self.counts: dict[RefusalKind, int] = dict.fromkeys(RefusalKind, 0)
        self.name, self.incarnation, self._counter = name, incarnation, 0
        self._sealer = Sealer(keys, DATAGRAM_PERSONALIZATION)
        self._formats = self.rules.formats
        self._senders: dict[str, _Sender] = {}
        self._name_bytes = name.encode()
        if not 1 <= len(self._name_bytes) <= MAX_NAME_BYTES:
            raise ValueError(f"the front name has {len(self._name_bytes)} bytes, not 1 to {MAX_NAME_BYTES}")
        self.overhead_bytes = MIN_DATAGRAM_BYTES - 1 + len(self._name_bytes)  # that sealing adds

    def advance_incarnation(self, incarnation: int) -> None:
        """Seals under a later incarnation from now on, as others have seen a newer one of this name."""
        if incarnation <= self.incarnation:
            raise ValueError(f"incarnation {incarnation} is not after {self.incarnation}")
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
        """Returns the contents and sender of a datagram.

        Raises SealError, counted by its kind, unless the datagram is valid and new.
        """
        result = self.try_open(data)
        if isinstance(result, Refusal):
            raise SealError(result)
        return result

    def try_open(self, data: bytes) -> Opened | Refusal:
        """Like `open`, but returns the refusal: raising would cost more than the checks."""
        result = self._try_open(data)
        if isinstance(result, Refusal):
            self.counts[result.kind] += 1
        return result

    def _try_open(self, data: bytes) -> Opened | Refusal:
        size = len(data)
        if size < MIN_DATAGRAM_BYTES:
            return _SHORT
        if not data.startswith(MAGIC):
            return _MAGIC
        message_format, length = data[2], data[3]
        lowest, highest = self._formats
        if not lowest <= message_format <= highest:
            return _FORMAT
        if not 1 <= length <= MAX_NAME_BYTES:
            return _NAME
        start = 4 + length + _NUMBERS.size
        if size < start + TAG_BYTES:
            return _SHORT
        if self._sealer.find_key(memoryview(data)[:-TAG_BYTES], data[-TAG_BYTES:]) is None:
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
            return Refusal(RefusalKind.OLD_INCARNATION, sender, incarnation, self.newest_incarnation(sender))
        if not window.accept(counter):
            return Refusal(RefusalKind.REPLAY, sender, incarnation, incarnation)
        return Opened(sender, incarnation, counter, message_format, data[start:-TAG_BYTES])

    def register_sender(self, sender: str, incarnation: int) -> ReplayWindow | None:
        """Returns the replay window of an authenticated incarnation, which supersedes earlier ones.

        Returns None for a superseded incarnation.
        """
        known = self._senders.pop(sender, None)
        if known is not None and incarnation < known.incarnation:
            self._senders[sender] = known
            return None
        if known is None or incarnation > known.incarnation:
            known = _Sender(incarnation, self.rules.window)
        self._senders[sender] = known  # last in order, as the most recently active
        if len(self._senders) > self.rules.senders:
            del self._senders[next(iter(self._senders))]
        return known.window

    def newest_incarnation(self, sender: str) -> int:
        """Returns the newest incarnation seen under a name, 0 if none is known."""
        known = self._senders.get(sender)
        return 0 if known is None else known.incarnation
