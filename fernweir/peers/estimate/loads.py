"""A front's load as a fact, on which estimates of orders rest: by box, and by channel."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from math import isfinite

import msgspec

from fernweir.peers.estimate.fleet import BoxLoad, ChannelLoad, FrontLoad
from fernweir.peers.estimate.question import MOST_TEXT
from fernweir.peers.estimate.rules import ShardRules
from fernweir.peers.estimate.shards import Rates
from fernweir.peers.estimate.summary import MOST_RATE
from fernweir.peers.port import SessionStatus

FORMAT = 1
KEY = "load"
MOST_BYTES = 32_768
MOST_ENTRIES = 4_096
MOST_SESSIONS = 1 << 24
MOST_KBPS = 1 << 24  # of one session


class Load(msgspec.Struct, frozen=True, array_like=True):
    """`boxes`: (box, sessions, kB/s); `channels`: (name, sessions). Rates: the highest, sessions a second."""

    format: int
    front: str
    life: int
    epoch: int
    starts_s: float
    ends_s: float
    ration_left: float
    boxes: tuple[tuple[int, int, int], ...]
    channels: tuple[tuple[str, int], ...]


class Tally:
    """Counts what stands at a front as it comes and goes. `kbps` by rung, from the settings."""

    def __init__(
        self,
        front: str,
        life: int,
        channel_of: Callable[[str], str],
        kbps: tuple[float, ...],
        rules: ShardRules,
        now: float,
    ) -> None:
        self._front, self._life, self._kbps = front, life, kbps
        self._channel_of = channel_of
        self._standing: dict[str, tuple[int, float, str]] = {}  # box, kB/s, channel
        self._sessions: Counter[int] = Counter()
        self._drawn: dict[int, float] = {}
        self._channels: Counter[str] = Counter()
        self._starts, self._ends = Rates(now, rules), Rates(now, rules)

    def stands(self, now: float, standing: SessionStatus) -> None:
        if not self._leave(standing.session):
            self._starts.add(now)
        kbps = self._kbps[min(max(0, standing.rung), len(self._kbps) - 1)]
        channel = self._channel_of(standing.session)
        self._standing[standing.session] = (standing.box, kbps, channel)
        self._sessions[standing.box] += 1
        self._drawn[standing.box] = self._drawn.get(standing.box, 0.0) + kbps
        self._channels[channel] += 1

    def over(self, now: float, session: str) -> None:
        if self._leave(session):
            self._ends.add(now)

    def _leave(self, session: str) -> bool:
        known = self._standing.pop(session, None)
        if known is None:
            return False
        box, kbps, channel = known
        self._sessions[box] -= 1
        self._drawn[box] -= kbps
        if not self._sessions[box]:
            del self._sessions[box], self._drawn[box]
        self._channels[channel] -= 1
        if not self._channels[channel]:
            del self._channels[channel]
        return True

    def load(self, now: float, epoch: int, ration_left: float) -> bytes:
        """What is to be published."""
        return msgspec.msgpack.encode(
            Load(
                FORMAT,
                self._front,
                self._life,
                epoch,
                self._starts.told(now)[2],
                self._ends.told(now)[2],
                ration_left,
                tuple((box, count, round(self._drawn[box])) for box, count in sorted(self._sessions.items())),
                tuple(sorted(self._channels.items())),
            )
        )


_DECODER = msgspec.msgpack.Decoder(Load)


def read_load(owner: str, life: int, data: bytes, age_ms: float) -> FrontLoad:
    """A peer's load, heard that long ago. Raises ValueError, msgspec's included, if it can't be one."""
    if len(data) > MOST_BYTES:
        raise ValueError("too long")
    load = _DECODER.decode(data)
    if load.format != FORMAT or load.front != owner or load.life != life:
        raise ValueError("another's load, or another format")
    if not (0 <= load.starts_s <= MOST_RATE and 0 <= load.ends_s <= MOST_RATE):
        raise ValueError("rates")
    if not (isfinite(load.ration_left) and load.ration_left >= 0):
        raise ValueError("ration")
    if len(load.boxes) > MOST_ENTRIES or len(load.channels) > MOST_ENTRIES:
        raise ValueError("too many entries")
    for _, sessions, kbps in load.boxes:
        if not (0 < sessions <= MOST_SESSIONS and 0 <= kbps <= sessions * MOST_KBPS):
            raise ValueError("a box's load")
    if len({box for box, _, _ in load.boxes}) < len(load.boxes):
        raise ValueError("a box twice")
    for name, sessions in load.channels:
        if len(name) > MOST_TEXT or not 0 < sessions <= MOST_SESSIONS:
            raise ValueError("a channel's load")
    if len({name for name, _ in load.channels}) < len(load.channels):
        raise ValueError("a channel twice")
    return FrontLoad(
        owner,
        load.epoch,
        age_ms,
        load.starts_s,
        load.ends_s,
        tuple(BoxLoad(box, sessions, float(kbps)) for box, sessions, kbps in load.boxes),
        tuple(ChannelLoad(name, sessions) for name, sessions in load.channels),
        load.ration_left,
    )
