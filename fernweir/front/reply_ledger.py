"""The ledger of answers: every request that was taken gets exactly one, and none after its time.

It has no clock and no I/O. A ticket is opened when a request is taken and closed by its answer, by its
viewer leaving, or not at all, which `overdue` finds. Closing a ticket twice is a bug in the caller and
raises, so that a second answer can't leave.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass


class ReplyLedgerError(RuntimeError):
    """A ticket was opened twice, or answered when it was not open."""


@dataclass(slots=True)
class ReplyLedgerMetrics:
    opened: int = 0
    answered: int = 0
    withdrawn: int = 0


class ReplyLedger:
    """Open tickets with the time, in milliseconds, by which each must be answered.

    A ticket's number is never used again once it is closed.
    """

    def __init__(self) -> None:
        self.metrics = ReplyLedgerMetrics()
        self._open: dict[int, float] = {}
        self._deadlines: list[tuple[float, int]] = []

    def __len__(self) -> int:
        return len(self._open)

    def __contains__(self, ticket: object) -> bool:
        return ticket in self._open

    def open(self, ticket: int, answer_by: float) -> None:
        if ticket in self._open:
            raise ReplyLedgerError(f"ticket {ticket} is open already")
        self.metrics.opened += 1
        self._open[ticket] = answer_by
        heapq.heappush(self._deadlines, (answer_by, ticket))

    def close(self, ticket: int) -> None:
        if self._open.pop(ticket, None) is None:
            raise ReplyLedgerError(f"ticket {ticket} is not open: answered before, or never taken")
        self.metrics.answered += 1
        self._compact_deadlines()

    def withdraw(self, ticket: int) -> bool:
        """The viewer is gone; False if the ticket was closed already."""
        if self._open.pop(ticket, None) is None:
            return False
        self.metrics.withdrawn += 1
        self._compact_deadlines()
        return True

    def overdue(self, now: float) -> list[int]:
        """Open tickets whose time has come, earliest first. They stay open until answered."""
        found = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, ticket = heapq.heappop(self._deadlines)
            if ticket in self._open:
                found.append(ticket)
        return found

    def next_deadline(self) -> float | None:
        """When the next open ticket falls due."""
        while self._deadlines and self._deadlines[0][1] not in self._open:
            heapq.heappop(self._deadlines)
        return self._deadlines[0][0] if self._deadlines else None

    def _compact_deadlines(self) -> None:
        # Answered tickets stay in the heap until they fall due; under load that would be seconds' worth.
        if len(self._deadlines) > 64 and len(self._deadlines) > 2 * len(self._open):
            self._deadlines = [item for item in self._deadlines if item[1] in self._open]
            heapq.heapify(self._deadlines)
