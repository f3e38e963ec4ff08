"""A hierarchical timing wheel (Varghese and Lauck, 1987), for timers that rarely fire.

Each session has a timer that is nearly always rescheduled or cancelled before it fires, and many thousands
can be due in the same second. Scheduling and cancelling take constant time; a timer is moved at most once per
level before it fires. Positions are integer ticks; timers that are due in one tick fire in the order of their
exact deadlines, then in the order in which they were scheduled.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Generic, TypeVar

T = TypeVar("T")

_BITS_PER_LEVEL = 8
_SLOTS = 1 << _BITS_PER_LEVEL
_SLOT_MASK = _SLOTS - 1
_ALL_SLOTS_USED = (1 << _SLOTS) - 1
_LEVELS = 5
_TOTAL_BITS = _BITS_PER_LEVEL * _LEVELS


@dataclass(slots=True, eq=False)
class Timer(Generic[T]):
    """A scheduled timer.

    Attributes:
        deadline: When it is due.
        sequence: Its number in the order of scheduling.
        value: The value that `advance` returns for it; None after it has fired or was cancelled.
    """

    deadline: float
    sequence: int
    value: T | None


class TimingWheel(Generic[T]):
    """Schedules timers, which never fire early."""

    def __init__(self, now: float, tick: float = 1.0) -> None:
        """Creates a wheel without timers.

        Args:
            now: The time at the start.
            tick: The resolution, in the unit of all times.
        """
        self._tick = tick
        self._current_tick = int(now / tick)
        self._levels: list[list[list[Timer[T]]]] = [[[] for _ in range(_SLOTS)] for _ in range(_LEVELS)]
        self._used_slots = [0] * _LEVELS  # by level, a bit mask of the slots with timers
        self._overflow: list[Timer[T]] = []  # timers beyond one revolution of the coarsest level
        self._last_sequence = 0
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def schedule(self, deadline: float, value: T) -> Timer[T]:
        """Schedules a timer; if its deadline has passed, it fires at the next `advance`."""
        self._last_sequence += 1
        timer = Timer(deadline, self._last_sequence, value)
        self._size += 1
        self._insert(timer)
        return timer

    def cancel(self, timer: Timer[T]) -> bool:
        """Cancels a timer; returns False if it has already fired or was cancelled."""
        if timer.value is None:
            return False
        timer.value = None
        self._size -= 1
        return True

    def next_deadline(self) -> float | None:
        """Returns a time before which no timer is due, or None without timers.

        A cancelled timer can make it earlier than necessary.
        """
        if not self._size:
            return None
        return self._next_tick() * self._tick

    def advance(self, now: float) -> list[T]:
        """Removes all timers that are due by `now` and returns their values in order."""
        last_tick = int(now / self._tick)
        due: list[Timer[T]] = []
        while True:
            self._collect_due(due, now)
            if self._current_tick >= last_tick:
                break
            self._advance_tick(last_tick)
        due.sort(key=lambda timer: (timer.deadline, timer.sequence))
        values: list[T] = []
        for timer in due:
            if timer.value is not None:
                values.append(timer.value)
                timer.value = None
                self._size -= 1
        return values

    def _next_tick(self) -> int:
        """Returns the next tick at which a slot must be processed."""
        # Overflow timers are reinserted after each revolution of the coarsest level.
        nearest = ((self._current_tick >> _TOTAL_BITS) + 1) << _TOTAL_BITS
        for level, used in enumerate(self._used_slots):
            if used:
                nearest = min(nearest, self._next_tick_of_level(level, used))
        return nearest

    def _next_tick_of_level(self, level: int, used: int) -> int:
        shift = _BITS_PER_LEVEL * level
        start = self._current_tick >> shift
        index = start & _SLOT_MASK
        # Rotates the mask so that the current slot is bit 0; the lowest set bit is then the next used slot.
        rotated = (used >> index) | (used << (_SLOTS - index)) & _ALL_SLOTS_USED
        if level:
            # The current slot of a coarse level was emptied when reached: it now holds the next revolution.
            rotated &= ~1
        distance = (rotated & -rotated).bit_length() - 1 if rotated else _SLOTS
        return max((start + distance) << shift, self._current_tick)

    def _insert(self, timer: Timer[T]) -> None:
        ticks = max(int(timer.deadline / self._tick), self._current_tick)
        distance = ticks - self._current_tick
        for level in range(_LEVELS):
            if distance < 1 << (_BITS_PER_LEVEL * (level + 1)):
                # A coarse slot can also hold timers of the next revolution; they are reinserted when reached.
                index = (ticks >> (_BITS_PER_LEVEL * level)) & _SLOT_MASK
                self._levels[level][index].append(timer)
                self._used_slots[level] |= 1 << index
                return
        self._overflow.append(timer)

    def _collect_due(self, due: list[Timer[T]], now: float) -> None:
        index = self._current_tick & _SLOT_MASK
        slot = self._levels[0][index]
        if not slot:
            return
        later = [timer for timer in slot if timer.value is not None and timer.deadline > now]
        due += [timer for timer in slot if timer.value is not None and timer.deadline <= now]
        slot[:] = later
        if not later:
            self._used_slots[0] &= ~(1 << index)

    def _advance_tick(self, last_tick: int) -> None:
        """Advances by one tick, or skips ticks that cannot have a timer."""
        if not self._used_slots[0]:
            self._current_tick = min(self._next_tick(), last_tick)
        else:
            self._current_tick += 1
        if self._current_tick & _SLOT_MASK:
            return
        for level in range(1, _LEVELS):
            index = (self._current_tick >> (_BITS_PER_LEVEL * level)) & _SLOT_MASK
            self._cascade(level, index)
            if index:
                return
        overflow, self._overflow = self._overflow, []
        self._insert_active(overflow)

    def _cascade(self, level: int, index: int) -> None:
        """Moves the timers of a slot of a coarse level to finer levels."""
        slot = self._levels[level][index]
        if slot:
            self._levels[level][index] = []
            self._used_slots[level] &= ~(1 << index)
            self._insert_active(slot)

    def _insert_active(self, timers: list[Timer[T]]) -> None:
        for timer in timers:
            if timer.value is not None:
                self._insert(timer)
