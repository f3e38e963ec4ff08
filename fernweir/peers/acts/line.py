"""What one holder of copies has of a chain, by its own word, and what is on its way to it."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from fernweir.peers.acts.rules import ActRules
from fernweir.peers.acts.spans import Spans

_LIVE = 16  # so many blocks of the window are for new ones alone


class Line:
    """To one life of one holder. New blocks go at once, older ones follow oldest first, within the window."""

    __slots__ = ("_heard", "_wait", "acked", "asked_from", "life", "name", "out", "out_bytes", "rules")

    def __init__(self, name: str, life: int, rules: ActRules, *, probe: bool = False) -> None:
        """`probe`: send one block first, as the holder's answer says what else it has already."""
        self.name, self.life, self.rules = name, life, rules
        self._heard = not probe
        self.acked = Spans()
        self.out: dict[int, tuple[float, int]] = {}  # number: when it was sent, its size
        self.out_bytes = 0
        self.asked_from = 1  # older ones the holder doesn't want
        self._wait = rules.resend_ms

    def has_room(self, live: bool) -> bool:
        if not self._heard:
            return not self.out
        blocks = self.rules.window_blocks - (0 if live else _LIVE)
        return len(self.out) < blocks and self.out_bytes < self.rules.window_bytes

    def lacking(self, first: int, last: int) -> Iterator[int]:
        """Of a chain's blocks from `first` to `last` those neither there nor on their way, oldest first."""
        for low, high in self.acked.missing(max(first, self.asked_from), last):
            for number in range(low, high + 1):
                if number not in self.out:
                    yield number

    def sent(self, now: float, number: int, size: int) -> None:
        self.out[number] = now, size
        self.out_bytes += size

    def kept(self, numbers: Iterable[int], spans: Iterable[tuple[int, int]], first: int, last: int) -> None:
        """The holder's word; `last` is the chain's last block, as it can't have more."""
        self._heard = True
        for low, high in spans:
            if 1 <= low <= min(high, last):
                self.acked.add(low, min(high, last))
        for number in numbers:
            if 1 <= number <= last:
                self.acked.add(number)
                self._forget(number)
        self.asked_from = max(self.asked_from, min(first, last + 1))
        for number in [number for number in self.out if number < self.asked_from]:
            self._forget(number)
        self._wait = self.rules.resend_ms

    def expire(self, now: float) -> None:
        """What was not acknowledged in time counts as lost; the next try waits longer."""
        late = [number for number, (at, _) in self.out.items() if now - at >= self._wait]
        for number in late:
            self._forget(number)
        if late:
            self._wait = min(self._wait * 2, self.rules.resend_most_ms)

    def next_deadline(self) -> float | None:
        return min(at for at, _ in self.out.values()) + self._wait if self.out else None

    def _forget(self, number: int) -> None:
        gone = self.out.pop(number, None)
        if gone is not None:
            self.out_bytes -= gone[1]
