"""A hierarchical timing wheel (Varghese and Lauck, 1987): timers that are mostly moved or cancelled.

Renewals are set for each session and nearly always set again before they fire, many thousands in the same
second. Setting and cancelling cost the same however many there are; a timer is touched at most once a
level on its way down. Times are integer ticks; what falls due in one tick comes in the order of its exact
time, then of its setting.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Generic, TypeVar

T = TypeVar("T")
_BITS = 8
_SLOTS = 1 << _BITS
_MASK = _SLOTS - 1
_FULL = (1 << _SLOTS) - 1
_SPAN = _BITS * 5
_LEVELS = 5


@dataclass(slots=True, eq=False)
class Timer(Generic[T]):
    """A handle. `item` is None once it fired or was cancelled."""

    deadline: float
    sequence: int
    item: T | None


class TimingWheel(Generic[T]):
    """`tick` is the resolution, in the unit of all times. Timers never fire early."""

    def __init__(self, now: float, tick: float = 1.0) -> None:
        self._tick = tick
        self._at = int(now / tick)
        self._levels: list[list[list[Timer[T]]]] = [[[] for _ in range(_SLOTS)] for _ in range(_LEVELS)]
        self._bits = [0] * _LEVELS  # slots in use a level
        self._far: list[Timer[T]] = []
        self._numbers = 0
        self._live = 0

    def __len__(self) -> int:
        return self._live

    def schedule(self, due: float, item: T) -> Timer[T]:
        """A timer for `due`; one in the past fires at the next advance."""
        self._numbers += 1
        timer = Timer(due, self._numbers, item)
        self._live += 1
        self._put(timer)
        return timer

    def cancel(self, timer: Timer[T]) -> bool:
        """False if it fired or was cancelled before."""
        if timer.item is None:
            return False
        timer.item = None
        self._live -= 1
        return True

    def next_deadline(self) -> float | None:
        """No timer falls due before this time, though one cancelled may stand there; None if none is set."""
        if not self._live:
            return None
        return self._next_tick() * self._tick

    def _next_tick(self) -> int:
        """The next tick at which a slot must be looked at."""
        # Timers beyond the wheel are put anew each time it has turned whole.
        best = ((self._at >> _SPAN) + 1) << _SPAN
        for level, bits in enumerate(self._bits):
            if bits:
                shift = _BITS * level
                start = self._at >> shift
                index = start & _MASK
                # Turned so that the present slot is bit 0, the lowest bit set is the next slot in use.
                turned = (bits >> index) | (bits << (_SLOTS - index)) & _FULL
                if level:
                    turned &= (
                        ~1
                    )  # a coarse slot under the hand was emptied when reached: it is the next turn's
                step = (turned & -turned).bit_length() - 1 if turned else _SLOTS
                best = min(best, max((start + step) << shift, self._at))
        return best

    def advance(self, now: float) -> list[T]:
        """Everything due by `now`, in order."""
        until = int(now / self._tick)
        due: list[Timer[T]] = []
        while True:
            self._drain(due, now)
            if self._at >= until:
                break
            self._step(until)
        due.sort(key=lambda timer: (timer.deadline, timer.sequence))
        items = []
        for timer in due:
            if timer.item is not None:
                items.append(timer.item)
                timer.item = None
                self._live -= 1
        return items

    def _put(self, timer: Timer[T]) -> None:
        ticks = max(int(timer.deadline / self._tick), self._at)
        ahead = ticks - self._at
        for level in range(_LEVELS):
            if ahead < 1 << (_BITS * (level + 1)):
                # A coarse slot can hold the next turn of the wheel too: it is put anew when reached.
                index = (ticks >> (_BITS * level)) & _MASK
                self._levels[level][index].append(timer)
                self._bits[level] |= 1 << index
                return
        self._far.append(timer)

    def _drain(self, due: list[Timer[T]], now: float) -> None:
        slot = self._levels[0][self._at & _MASK]
        if not slot:
            return
        later = [timer for timer in slot if timer.item is not None and timer.deadline > now]
        due += [timer for timer in slot if timer.item is not None and timer.deadline <= now]
        slot[:] = later
        if not later:
            self._bits[0] &= ~(1 << (self._at & _MASK))

    def _step(self, until: int) -> None:
        """To the next tick, or over ticks in which nothing can be."""
        if not self._bits[0]:
            self._at = min(self._next_tick(), until)
        else:
            self._at += 1
        if self._at & _MASK:
            return
        for level in range(1, _LEVELS):
            index = (self._at >> (_BITS * level)) & _MASK
            self._refill(level, index)
            if index:
                return
        far, self._far = self._far, []
        for timer in far:
            if timer.item is not None:
                self._put(timer)

    def _refill(self, level: int, index: int) -> None:
        slot = self._levels[level][index]
        if slot:
            self._levels[level][index] = []
            self._bits[level] &= ~(1 << index)
            for timer in slot:
                if timer.item is not None:
                    self._put(timer)
