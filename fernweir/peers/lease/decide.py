"""A keeper's decisions on requests, from its record of the channel alone.

The functions return an empty string if the request is accepted, otherwise the reason for the refusal.
"""

from __future__ import annotations

from fernweir.peers.lease.messages import Item, Refusal
from fernweir.peers.lease.records import Asker, Record
from fernweir.peers.lease.rules import MAX_FENCE


def may_promise(record: Record, now: float, asker: Asker, ballot: int, promise_ms: float) -> str:
    """Checks a request for a promise.

    Refuses a channel that another holder has or that is reserved for another front, and a ballot below one
    that was promised recently. The current holder may request a higher fence, because the answer to its
    first request may have been lost or a server may know a higher fence.
    """
    if record.is_live(now) and record.owner != asker:
        return "taken"
    if now < record.reserved_until and record.successor != asker[0]:
        return "waits"
    if record.asker is not None and (ballot, asker) < (record.ballot, record.asker):
        return "ballot" if now < record.promised_at + promise_ms else ""
    return ""


def may_grant(record: Record, now: float, asker: Asker, item: Item) -> str:
    """Checks a proposal: only the latest promise counts, and the fence must be above the promised floor."""
    if record.is_live(now) and record.owner != asker:
        return "taken"
    if (record.ballot, record.asker) != (item.ballot, asker):
        return "ballot"
    if record.is_live(now) and record.fence == item.fence:
        return ""  # a duplicate of a proposal that was granted
    if item.fence <= max(record.promised_floor, record.fence):
        return "fence"
    return ""


def may_extend(record: Record, now: float, asker: Asker, fence: int) -> str:
    """Checks a renewal. A keeper without a record of the grant adopts the lease if no higher fence is known.

    The keeper may have missed the grant or restarted since. An additional lock is safe, because the holder
    counts it only while its lease is valid without interruption. A holder that released this fence gets no
    extension, so that a delayed renewal locks nothing. An equal fence of another holder that is not live
    belongs to a failed attempt.
    """
    if record.is_live(now) and record.owner != asker:
        return "taken"
    if fence > record.fence or (fence == record.fence and record.released_by != asker):
        return ""
    return "fence"


def may_end(record: Record, now: float, asker: Asker, item: Item) -> bool:
    """Whether a release applies.

    A holder may end its own lease including the rest of its earlier ones, or undo exactly one attempt.
    """
    if item.fence > MAX_FENCE or (record.is_live(now) and record.owner != asker):
        return False
    if item.ballot:
        return record.owner == asker and record.fence == item.fence
    return item.fence >= record.fence


def refusal(record: Record, now: float, item: Item, why: str) -> Refusal:
    """Returns the refusal, with the times and numbers that let the holder retry at the right moment."""
    if why == "taken" and record.owner is not None:
        remaining_ms = max(0.0, record.until - now)
        return Refusal(
            item.channel, why, item.ballot, record.owner[0], record.fence, remaining_ms, record.ballot
        )
    if why == "waits":
        remaining_ms = max(0.0, record.reserved_until - now)
        return Refusal(
            item.channel, why, item.ballot, record.successor, record.fence, remaining_ms, record.ballot
        )
    return Refusal(item.channel, why, item.ballot, "", record.fence, 0.0, record.ballot)
