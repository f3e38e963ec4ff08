"""Which front may steer a channel's sessions at a box: the highest fence, and lower ones for a bounded while.

Free of I/O; times are seconds of one clock. A fence is taken over by a higher one at the moment when the box
first accepts that; from then on steering under it is accepted for `overlap_s`, or less if the new owner asks
for less, and refused after.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field

_RISES_KEPT = 8


@dataclass(slots=True)
class _Channel:
    front: str = ""
    rises: deque[tuple[int, float]] = field(default_factory=lambda: deque(maxlen=_RISES_KEPT))  # until when

    @property
    def highest(self) -> int:
        return self.rises[-1][0] if self.rises else 0


class Fences:
    """`most` channels are remembered; the one that was not asked about for longest goes first."""

    def __init__(self, overlap_s: float, most: int = 65_536) -> None:
        self._overlap_s, self._most = overlap_s, most
        self._channels: OrderedDict[str, _Channel] = OrderedDict()

    def highest(self, channel: str) -> int:
        known = self._channels.get(channel)
        return known.highest if known is not None else 0

    def owner(self, channel: str) -> str:
        """The front under the highest fence; empty if the channel is not known."""
        known = self._channels.get(channel)
        return known.front if known is not None else ""

    def claim(self, now: float, channel: str, front: str, fence: int, overlap_s: float | None = None) -> bool:
        """A front says that it owns the channel. Of two that show one fence the first has it."""
        known = self._known(channel)
        if fence < known.highest or (fence == known.highest and known.front not in ("", front)):
            return False
        overlap_s = self._overlap_s if overlap_s is None else min(overlap_s, self._overlap_s)
        if fence > known.highest:
            known.rises.append((fence, now + overlap_s))
        known.front = front
        return True

    def accepts(self, now: float, channel: str, front: str, fence: int) -> bool:
        """Whether steering, or a set-up, under this fence is carried out. One higher than known claims."""
        known = self._known(channel)
        if fence >= known.highest:
            return self.claim(now, channel, front, fence)
        higher = [until for above, until in known.rises if above > fence]
        # Where the first that was higher may be forgotten, it came long ago.
        forgotten = len(known.rises) == _RISES_KEPT and known.rises[0][0] > fence
        return not forgotten and now <= min(higher)

    def _known(self, channel: str) -> _Channel:
        known = self._channels.setdefault(channel, _Channel())
        self._channels.move_to_end(channel)
        if len(self._channels) > self._most:
            self._channels.popitem(last=False)
        return known
