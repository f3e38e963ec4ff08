"""Which front may steer a channel's sessions at a box: the highest fence, and lower ones for a bounded while.

Free of I/O; times are seconds of one clock. A fence is taken over by a higher one at the moment when the box
first accepts that; from then on steering under it is accepted for `overlap_s` and refused after.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field

_RISES_KEPT = 8


@dataclass(slots=True)
class _Channel:
    front: str = ""
    rises: deque[tuple[int, float]] = field(default_factory=lambda: deque(maxlen=_RISES_KEPT))

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

    def claim(self, now: float, channel: str, front: str, fence: int) -> bool:
        """A front says that it owns the channel. Of two that show one fence the first has it."""
        known = self._known(channel)
        if fence < known.highest or (fence == known.highest and known.front not in ("", front)):
            return False
        self._raise(now, known, front, fence)
        return True

    def accepts(self, now: float, channel: str, front: str, fence: int) -> bool:
        """Whether steering, or a set-up, under this fence is carried out. One higher than known claims."""
        known = self._known(channel)
        if fence >= known.highest:
            return self.claim(now, channel, front, fence)
        # Overtaken when the first higher fence came; where that is no longer known, long ago.
        for higher, at in known.rises:
            if higher > fence:
                oldest_kept = higher == known.rises[0][0] and len(known.rises) == _RISES_KEPT
                return not oldest_kept and now - at <= self._overlap_s
        return False

    def _known(self, channel: str) -> _Channel:
        known = self._channels.setdefault(channel, _Channel())
        self._channels.move_to_end(channel)
        if len(self._channels) > self._most:
            self._channels.popitem(last=False)
        return known

    def _raise(self, now: float, known: _Channel, front: str, fence: int) -> None:
        if fence > known.highest:
            known.rises.append((fence, now))
            known.front = front
        elif not known.front:
            known.front = front
