"""What a keeper says to a question, by its record of the channel alone: "" for yes, else the reason."""

from __future__ import annotations

from fernweir.peers.lease.messages import Item, No
from fernweir.peers.lease.records import Asker, Record
from fernweir.peers.lease.rules import FENCE_MOST


def may_promise(record: Record, now: float, asker: Asker, ballot: int, promise_ms: float) -> str:
    """A channel that is another's, or waits for another, is not promised, nor a ballot below a fresh one.

    The holder itself may ask anew, for a higher fence: its answer may have been lost, or a box may know a
    higher one.
    """
    if record.live(now) and record.owner != asker:
        return "taken"
    if now < record.heir_until and record.heir != asker[0]:
        return "waits"
    if record.asker is not None and (ballot, asker) < (record.ballot, record.asker):
        return "ballot" if now < record.promised_at + promise_ms else ""
    return ""


def may_grant(record: Record, now: float, asker: Asker, item: Item) -> str:
    """Only the last promise made can be cashed, and only with a fence above what was said with it."""
    if record.live(now) and record.owner != asker:
        return "taken"
    if (record.ballot, record.asker) != (item.ballot, asker):
        return "ballot"
    if record.live(now) and record.fence == item.fence:
        return ""  # said twice
    if item.fence <= max(record.told, record.fence):
        return "fence"
    return ""


def may_extend(record: Record, now: float, asker: Asker, fence: int) -> str:
    """A keeper that missed the grant, or restarted since, adopts the lease, if it knows of none above it.

    A lock more is never wrong: its holder counts it only while it believes without a break. One that released
    this fence gets no extension, so that a late question locks nothing. An equal fence of another that is not
    live was an attempt that failed.
    """
    if record.live(now) and record.owner != asker:
        return "taken"
    if fence > record.fence or (fence == record.fence and record.ended != asker):
        return ""
    return "fence"


def may_end(record: Record, now: float, asker: Asker, item: Item) -> bool:
    """A holder ends its own lease, and what is left of its earlier ones, or undoes precisely one attempt."""
    if item.fence > FENCE_MOST or (record.live(now) and record.owner != asker):
        return False
    if item.ballot:
        return record.owner == asker and record.fence == item.fence
    return item.fence >= record.fence


def no(record: Record, now: float, item: Item, why: str) -> No:
    """The refusal, with what helps the asker to ask at the right time."""
    if why == "taken" and record.owner is not None:
        left = max(0.0, record.until - now)
        return No(item.channel, why, item.ballot, record.owner[0], record.fence, left, record.ballot)
    if why == "waits":
        left = max(0.0, record.heir_until - now)
        return No(item.channel, why, item.ballot, record.heir, record.fence, left, record.ballot)
    return No(item.channel, why, item.ballot, "", record.fence, 0.0, record.ballot)
