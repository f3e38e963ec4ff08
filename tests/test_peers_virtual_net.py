"""Datagrams on the virtual loop, and what is wrong with one direction of a way."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from random import Random
from typing import Any

import pytest

from fernweir.rehearsal.datagrams import ANY, WayFault
from fernweir.rehearsal.loop import NODE, VirtualLoop, run
from tests.test_virtual import Recorder, pair


class Box(asyncio.DatagramProtocol):
    """Keeps what comes, with the second at which it came."""

    def __init__(self) -> None:
        self.came: list[bytes] = []
        self.at: list[float] = []
        self.sources: list[tuple[str, int]] = []
        self.said: list[str] = []
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.said.append("made")

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.came.append(data)
        self.at.append(asyncio.get_running_loop().time())
        self.sources.append(addr)

    def error_received(self, exc: Exception) -> None:
        self.said.append(type(exc).__name__)

    def connection_lost(self, exc: Exception | None) -> None:
        self.said.append("lost")


@contextmanager
def node(name: str) -> Iterator[None]:
    token = NODE.set(name)
    try:
        yield
    finally:
        NODE.reset(token)


async def two(loop: VirtualLoop) -> tuple[Box, Box, tuple[str, int], tuple[str, int]]:
    boxes, addresses = [], []
    for number in (1, 2):
        with node(f"front-{number}/0"):
            address = (f"127.0.0.{number}", 7000)
            transport, box = await loop.create_datagram_endpoint(Box, local_addr=address)
        assert transport.get_extra_info("sockname") == address and box.said == ["made"]
        boxes.append(box)
        addresses.append(address)
    return boxes[0], boxes[1], addresses[0], addresses[1]


def numbered(count: int) -> list[bytes]:
    return [f"{number:05}".encode() for number in range(count)]


def test_datagrams_come_once_with_their_sender_and_sockets_open_and_close() -> None:
    async def main(loop: VirtualLoop) -> None:
        one, other, here, there = await two(loop)
        one.transport.sendto(b"hello", there)
        one.transport.sendto(b"nobody", ("127.0.0.9", 1))
        await asyncio.sleep(1.0)
        assert (other.came, other.sources) == ([b"hello"], [here])
        with pytest.raises(OSError, match="in use"):
            await loop.create_datagram_endpoint(Box, local_addr=there)
        linked, third = await loop.create_datagram_endpoint(Box, remote_addr=there)
        linked.sendto(b"linked")
        one.transport.sendto(b"a stranger", linked.get_extra_info("sockname"))
        await asyncio.sleep(1.0)
        assert other.came[1:] == [b"linked"] and third.came == []
        other.transport.close()
        linked.sendto(b"gone")
        linked.sendto(b"x" * 70_000)
        await asyncio.sleep(1.0)
        assert other.said == ["made", "lost"]
        assert sorted(third.said) == ["ConnectionRefusedError", "OSError", "made"]
        await loop.create_datagram_endpoint(Box, local_addr=there)

    run(1, main)


def test_a_way_loses_doubles_reorders_and_delays_in_its_own_direction_only() -> None:
    async def main(loop: VirtualLoop) -> tuple[list[bytes], list[bytes]]:
        one, other, here, there = await two(loop)
        loop.network.ways.set("front-1", there, WayFault(loss=0.2, doubled=0.1, jitter_s=0.05, late=0.1))
        begun = loop.time()
        for data in numbered(2_000):
            one.transport.sendto(data, there)
            other.transport.sendto(data, here)
            await asyncio.sleep(0.001)
        await asyncio.sleep(3.0)
        distinct = set(other.came)
        assert 0.76 < len(distinct) / 2_000 < 0.84
        assert 0.07 < (len(other.came) - len(distinct)) / len(distinct) < 0.13
        late = [at - begun - int(data) * 0.001 for data, at in zip(other.came, other.at, strict=True)]
        assert 0.07 < sum(1 for one in late if one > 0.9) / len(late) < 0.13 and max(late) < 2.2
        assert other.came != sorted(other.came)
        assert sorted(one.came) == numbered(2_000)
        return one.came, other.came

    assert run(3, main) == run(3, main) != run(4, main)


@pytest.mark.parametrize("source, to", [("front-1", "front-2"), ("front-1/0", ANY), (ANY, "front-2/0")])
def test_a_cut_of_datagrams_is_one_way_and_ends(source: str, to: str) -> None:
    async def main(loop: VirtualLoop) -> None:
        one, other, here, there = await two(loop)
        loop.network.ways.set(source, to, WayFault(cut=True))
        one.transport.sendto(b"cut", there)
        other.transport.sendto(b"back", here)
        await asyncio.sleep(1.0)
        assert other.came == [] and one.came == [b"back"]
        loop.network.ways.clear(source, to)
        one.transport.sendto(b"whole", there)
        await asyncio.sleep(1.0)
        assert other.came == [b"whole"]

    run(1, main)


def test_a_standing_node_reads_late_what_its_buffer_held_and_a_killed_one_vanishes() -> None:
    async def main(loop: VirtualLoop) -> None:
        one, other, _, there = await two(loop)
        loop.freeze("front-2/0")
        sent = [data + b"x" * 995 for data in numbered(400)]
        for data in sent:
            one.transport.sendto(data, there)
            await asyncio.sleep(0.005)
        assert other.came == []
        loop.thaw("front-2/0")
        await asyncio.sleep(0.1)
        assert other.came == sent[: len(other.came)] and 100 < len(other.came) < 200
        assert loop.network.datagrams.overflowed == 400 - len(other.came)
        other.transport.sendto(b"its last", one.transport.get_extra_info("sockname"))
        loop.kill("front-2/0")
        one.transport.sendto(b"to the dead", there)
        await asyncio.sleep(1.0)
        assert one.came == [b"its last"] and other.said == ["made"]
        with node("front-2/1"):
            _, again = await loop.create_datagram_endpoint(Box, local_addr=there)
        one.transport.sendto(b"welcome", there)
        await asyncio.sleep(1.0)
        assert again.came == [b"welcome"]

    run(1, main)


async def connected(loop: VirtualLoop) -> tuple[Recorder, Recorder, Callable[[bool, bool], None]]:
    """A connection from the world to `far`, and how to cut (or mend) there and back."""
    here, there = await pair(loop, "far")
    ways = loop.network.ways

    def cut(forth: bool, back: bool) -> None:
        ways.clear_all()
        if forth:
            ways.set("world", "far", WayFault(cut=True))
        if back:
            ways.set("far", "world", WayFault(cut=True))

    return here, there, cut


def test_a_cut_connection_is_silent_and_goes_on_in_order_when_it_is_mended() -> None:
    async def main(loop: VirtualLoop) -> None:
        here, there, cut = await connected(loop)
        sent = Random(1).randbytes(60_000)
        for at in range(0, len(sent), 1_000):
            if at % 20_000 == 10_000:
                cut(True, False)
            if at % 20_000 == 0:
                cut(False, False)
            here.transport.write(sent[at : at + 1_000])
            there.transport.write(b"y")
            await asyncio.sleep(0.05)
        assert len(there.data) == 50_000 and here.data == b"y" * 60
        here.transport.write_eof()
        await asyncio.sleep(30.0)
        assert len(there.data) == 50_000 and there.said == []
        cut(False, False)
        await asyncio.sleep(1.0)
        assert there.data == sent and there.said == ["eof"]

    for seed in range(5):
        run(seed, main)


def test_a_cut_fills_the_writer_even_if_only_its_answers_are_cut() -> None:
    async def main(loop: VirtualLoop) -> None:
        for forth, back in ((True, False), (False, True)):
            here, there, cut = await connected(loop)
            cut(forth, back)
            for _ in range(500):
                here.transport.write(b"x" * 1_000)
                await asyncio.sleep(0.001)
            assert here.said == ["pause"] and len(there.data) < 300_000
            assert (there.data == b"") is forth
            cut(False, False)
            await asyncio.sleep(2.0)
            assert here.said == ["pause", "resume"] and len(there.data) == 500_000

    run(1, main)


def test_a_reset_over_a_cut_is_not_heard_and_a_connect_hangs_until_it_is_mended() -> None:
    async def main(loop: VirtualLoop) -> None:
        here, there, cut = await connected(loop)
        address = here.transport.address
        cut(False, True)
        there.transport.abort()
        here.transport.write(b"anybody?")
        await asyncio.sleep(5.0)
        assert here.said == []
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(loop.create_connection(Recorder, *address), 5.0)
        begun = loop.time()
        loop.call_later(3.0, cut, False, False)
        await loop.create_connection(Recorder, *address)
        assert 3.0 < loop.time() - begun < 3.2
        here.transport.write(b"anybody?")
        await asyncio.sleep(1.0)
        assert here.said == ["reset"]

    run(1, main)


def test_what_a_connection_loses_comes_later_and_in_order() -> None:
    async def main(loop: VirtualLoop) -> float:
        here, there, _ = await connected(loop)
        loop.network.ways.set("world", ANY, WayFault(loss=0.1, extra_s=0.05))
        sent, begun = Random(1).randbytes(50_000), loop.time()
        for at in range(0, len(sent), 1_000):
            here.transport.write(sent[at : at + 1_000])
            await asyncio.sleep(0.001)
        while len(there.data) < len(sent):
            await asyncio.sleep(0.001)
        assert there.data == sent
        return loop.time() - begun

    assert run(1, main) > 0.25
