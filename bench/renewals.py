"""CPU that one renewal costs the seat manager: decisions, timers and queue, without network or disk.

python -m bench.renewals [--seats 20000]
"""

from __future__ import annotations

import time

import click

from fernweir.entitlement.queue import QueueConfig
from fernweir.seats.messages import LeaseResponse, Operation, ResponseStatus, SeatRequest, SendLeaseRequest
from fernweir.seats.seat import SeatManagerConfig
from fernweir.seats.seat_manager import SeatManager


@click.command()
@click.option("--seats", default=20_000, show_default=True)
def main(seats: int) -> None:
    """Grants all seats at once, then lets every lease be renewed for ten lease times."""
    log: list[bytes] = []

    def append(body: bytes) -> int:
        log.append(body)
        return len(log)

    ttl, now, fence = 30_000.0, 0.0, 0
    seat_manager = SeatManager(
        now,
        append,
        lambda cls: False,
        SeatManagerConfig(seed=1, max_ttl_ms=ttl, queue=QueueConfig(max_in_flight=1_000_000)),
    )
    for number in range(seats):
        seat_manager.request_seat(now, SeatRequest(f"s{number}", "t", "l", "c", "p", 1.0), now + 2_000.0)

    def turn() -> int:
        nonlocal fence
        seat_manager.on_log_synced(len(log))
        sends = [one for one in seat_manager.advance(now) if isinstance(one, SendLeaseRequest)]
        for send in sends:
            fence += 1
            seat_manager.on_response(
                now + 1.0,
                send.request_id,
                LeaseResponse(ResponseStatus.SUCCEEDED, f"L{send.record.session_id}", fence, ttl),
            )
        return sum(send.operation is Operation.RENEW for send in sends)

    while turn() or seat_manager.send_queue.in_flight:
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
