"""What a fault does to a box, alike for fronts as processes and on virtual time."""

from __future__ import annotations

import asyncio

from fernweir.rehearsal.fleet.schedule import Fault, Kind
from fernweir.rehearsal.site import RehearsalSite


async def on_box(site: RehearsalSite, fault: Fault, boxes: int) -> None:
    """Drains or kills the box for the fault's span, then it is ready again; cold if it died."""
    number = 1 + (fault.on - 1) % boxes
    if fault.kind is Kind.DRAIN:
        site.tell(number, "draining")
        await asyncio.sleep(fault.span)
    else:
        site.boxes[number].die()
        await asyncio.sleep(fault.span)
        if not site.boxes[number].up:
            await site.restart(number)
    site.tell(number)
