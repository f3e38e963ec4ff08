"""CPU that one renewal costs the book: decisions, timers and turns, without network or disk.

python -m bench.renewals [--seats 20000]
"""

from __future__ import annotations

import time

import click

from fernweir.entitlement.queue import QueueRules
from fernweir.seats.book import Book, BookRules, Op, Reply, Said, Send, Want


@click.command()
@click.option("--seats", default=20_000, show_default=True)
def main(seats: int) -> None:
    """Grants all seats at once, then lets every lease be renewed for ten lease times."""
    log: list[bytes] = []

    def append(body: bytes) -> int:
        log.append(body)
        return len(log)

    ttl, now, fence = 30_000.0, 0.0, 0
    book = Book(
        now,
        1,
        append,
        lambda cls: False,
        rules=BookRules(ttl_most_ms=ttl),
        queue=QueueRules(at_once=1_000_000),
    )
    for number in range(seats):
        book.want(now, Want(f"s{number}", "t", "l", "c", "p", 1.0), now + 2_000.0)

    def turn() -> int:
        nonlocal fence
        book.durable(now, len(log))
        sends = [one for one in book.take(now) if isinstance(one, Send)]
        for send in sends:
            fence += 1
            book.replied(now + 1.0, send.number, Reply(Said.DONE, f"L{send.seat.session}", fence, ttl))
        return sum(send.op is Op.RENEW for send in sends)

    while turn() or book.queue.out:
        pass
    begun, renewed = time.process_time(), 0
    while now < 10 * ttl:
        now += 20.0
        renewed += turn()
    cpu = time.process_time() - begun
    each = cpu / max(renewed, 1) * 1e6
    print(f"{seats} seats, {renewed} renewals, {each:.1f} us of CPU each, {cpu:.2f} s in all")


if __name__ == "__main__":
    main()
