"""The ledger of replies: each accepted request gets exactly one reply, and none after its deadline.

The ledger has no clock and no I/O. A ticket is opened when a request is accepted. It is closed by its reply,
or withdrawn when its client disconnects; otherwise `overdue` returns it. Closing a ticket twice raises an
exception, so that a second reply cannot be sent.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass

_MIN_ITEMS_TO_COMPACT = 64


class ReplyLedgerError(RuntimeError):
    """Raised when a ticket is opened twice, or closed when it is not open."""


@dataclass(slots=True)
class ReplyLedgerMetrics:
    """Counters of a ledger since its start.

    Attributes:
        opened: Tickets that were opened.
        answered: Tickets that were closed by a reply.
        withdrawn: Tickets whose clients disconnected before a reply.
    """

    opened: int = 0
    answered: int = 0
    withdrawn: int = 0


class ReplyLedger:
    """Open tickets with their deadlines, in milliseconds of the caller's clock.

    The number of a ticket must not be used again once the ticket is closed.

    Attributes:
        metrics: Counters since the start.
    """

    def __init__(self) -> None:
        self.metrics = ReplyLedgerMetrics()
        self._open: dict[int, float] = {}
        self._deadlines: list[tuple[float, int]] = []

    def __len__(self) -> int:
        return len(self._open)

    def __contains__(self, ticket: object) -> bool:
        return ticket in self._open

    def open(self, ticket: int, deadline: float) -> None:
        """Opens a ticket that must be answered by its deadline.

        Raises:
            ReplyLedgerError: The ticket is open already.
        """
        if ticket in self._open:
            raise ReplyLedgerError(f"ticket {ticket} is open already")
        self.metrics.opened += 1
        self._open[ticket] = deadline
        heapq.heappush(self._deadlines, (deadline, ticket))

    def close(self, ticket: int) -> None:
        """Closes a ticket that is answered.

        Raises:
            ReplyLedgerError: The ticket is not open.
        """
        if self._open.pop(ticket, None) is None:
            raise ReplyLedgerError(f"ticket {ticket} is not open: it was closed before or never opened")
        self.metrics.answered += 1
        self._compact_deadlines()

    def withdraw(self, ticket: int) -> bool:
        """Closes a ticket whose client disconnected; False if it was closed already."""
        if self._open.pop(ticket, None) is None:
            return False
        self.metrics.withdrawn += 1
        self._compact_deadlines()
        return True

    def overdue(self, now: float) -> list[int]:
        """Returns open tickets whose deadlines have passed, earliest first, each once.

        They stay open until they are answered.
        """
        found = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, ticket = heapq.heappop(self._deadlines)
            if ticket in self._open:
                found.append(ticket)
        return found

    def next_deadline(self) -> float | None:
        """Returns the earliest deadline of an open ticket, None if there is none."""
        while self._deadlines and self._deadlines[0][1] not in self._open:
            heapq.heappop(self._deadlines)
        return self._deadlines[0][0] if self._deadlines else None

    def _compact_deadlines(self) -> None:
        # Answered tickets stay in the heap until their deadlines: under load, several seconds of requests.
        is_large = len(self._deadlines) > _MIN_ITEMS_TO_COMPACT
        if is_large and len(self._deadlines) > 2 * len(self._open):
            self._deadlines = [item for item in self._deadlines if item[1] in self._open]
            heapq.heapify(self._deadlines)
