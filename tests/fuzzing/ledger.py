"""The ledger of answers against a dictionary that is searched through."""

from __future__ import annotations

from random import Random

from fernweir.front.reply_ledger import ReplyLedger, ReplyLedgerError
from tests.fuzzing import Finding, Tape, Target, same


def check(data: bytes) -> None:
    """Each ticket has a number of its own; what fell due is told once."""
    tape, ledger, now = Tape(data), ReplyLedger(), 0.0
    open_: dict[int, float] = {}
    told: set[int] = set()
    taken = answered = left = 0
    while tape.more:
        what, ticket = tape.below(6), tape.below(taken + 2)
        if what <= 1:
            ticket = ticket if ticket in open_ and tape.below(4) == 0 else taken
            by = now + tape.below(50)
            try:
                ledger.open(ticket, by)
            except ReplyLedgerError:
                same(ticket in open_, True, data)
                continue
            same(ticket in open_, False, data)
            open_[ticket], taken = by, taken + 1
        elif what == 2:
            try:
                ledger.close(ticket)
            except ReplyLedgerError:
                same(ticket in open_, False, data)
                continue
            if open_.pop(ticket, None) is None:
                raise Finding(f"{ticket} answered twice, or never taken")
            answered += 1
            same(len(ledger._deadlines) <= max(64, 2 * len(open_)), True, data)
        elif what == 3:
            same(ledger.withdraw(ticket), open_.pop(ticket, None) is not None, data)
            left = taken - answered - len(open_)
        elif what == 4:  # many, most of them answered at once
            first, taken = taken, taken + 80
            for one in range(first, taken):
                ledger.open(one, now + 40 + one % 9)
                if one % 16:
                    ledger.close(one)
                    answered += 1
                else:
                    open_[one] = now + 40 + one % 9
        else:
            now += tape.below(30)
            due = sorted((by, one) for one, by in open_.items() if by <= now and one not in told)
            same(ledger.overdue(now), [one for _, one in due], data)
            told.update(one for _, one in due)
        waiting = [by for one, by in open_.items() if one not in told]
        same(ledger.next_deadline(), min(waiting, default=None), data)
        same(
            (len(ledger), sorted(open_)), (len(open_), [one for one in sorted(open_) if one in ledger]), data
        )
        counts = ledger.metrics
        same((counts.opened, counts.answered, counts.withdrawn), (taken, answered, left), data)


def draw(dice: Random) -> bytes:
    return dice.randbytes(dice.randrange(120))


TARGET = Target(check, draw)
