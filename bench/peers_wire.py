"""What a datagram between fronts costs: codec, seal, and a bad one against reading it from its socket.

python -m bench.peers_wire [--plays 20000]
"""

from __future__ import annotations

import asyncio
import secrets
import socket
import subprocess
import sys
import time
import tracemalloc
from collections.abc import Callable
from random import Random
from statistics import median

import click

from fernweir.peers.base import Message, Send
from fernweir.peers.link.links import Links
from fernweir.peers.link.rules import Drop, Identity, LinkRules
from fernweir.peers.wire.codec import Codec
from fernweir.peers.wire.conversation import Conversation
from fernweir.peers.wire.frames import FrameReader, frame
from fernweir.peers.wire.gate import GateRules
from fernweir.peers.wire.keys import Sealer
from fernweir.peers.wire.seal import DATAGRAM_PERSONALIZATION, Seal

_ROUNDS = 7


class Probe(Message, tag="bench.probe"):
    number: int
    target: str


class Told(Message, tag="bench.told"):
    name: str
    address: tuple[str, int]
    life: int
    incarnation: int
    state: int


class Fact(Message, tag="bench.fact"):
    owner: str
    key: str
    version: int
    value: bytes


def micros(plays: int, do: Callable[[], object]) -> float:
    """Microseconds a play, the median of some rounds."""
    rounds = []
    for _ in range(_ROUNDS):
        begun = time.perf_counter()
        for _ in range(plays // _ROUNDS):
            do()
        rounds.append((time.perf_counter() - begun) / (plays // _ROUNDS) * 1e6)
    return median(rounds)


def messages(dice: Random, size: int) -> list[Message]:
    """A probe with what a datagram of that size has room for besides."""
    found: list[Message] = [Probe(dice.getrandbits(30), "front-17")]
    codec = Codec([(Probe, Told, Fact)])
    while len(codec.encode(found)) < size - 160:
        found.append(Told(f"front-{dice.randrange(200)}", ("127.0.3.9", 7_400), 1_790_000_000_000, 4, 1))
        found.append(
            Fact(f"front-{dice.randrange(200)}", "acts.head", dice.getrandbits(20), dice.randbytes(40))
        )
    return found


def good(plays: int, size: int) -> None:
    """Both ends of a datagram of about that size. Each is opened once, as a window asks."""
    said, codec = messages(Random(size), size), Codec([(Probe, Told, Fact)])
    body, older = codec.encode(said), Codec([(Probe, Told)])
    sender = Seal([b"k" * 32], "front-1", 1_790_000_000_000)
    costs = {
        "encode": micros(plays, lambda: codec.encode(said)),
        "seal": micros(plays, lambda: sender.seal(body, 1)),
        "decode": micros(plays, lambda: codec.decode(body)),
        "decode with tags not known": micros(plays, lambda: older.decode(body)),
    }
    for what, keys in (("open", [b"k" * 32]), ("open by the second of two keys", [b"o" * 32, b"k" * 32])):
        receiver = Seal(keys, "front-2", 1_790_000_000_000)
        sealed = iter([sender.seal(body, 1) for _ in range(plays)])
        costs[what] = micros(plays, lambda r=receiver, s=sealed: r.try_open(next(s)))  # type: ignore[misc]
    print(f"datagram of {len(sender.seal(body, 1))} bytes, {len(said)} messages, us: ", end="")
    print(", ".join(f"{what} {cost:.2f}" for what, cost in costs.items()))


def bad(plays: int) -> None:
    """A datagram that is refused, against reading it by the plainest means and as asyncio does."""
    seal = Seal([b"k" * 32], "front-2", 1_790_000_000_000)
    data = Seal([b"o" * 32], "front-1", 1_790_000_000_000).seal(bytes(1_340), 1)
    kinds = {"magic": bytes(1_400), "short": data[:20], "tag": data}
    here, there = socket.socket(type=socket.SOCK_DGRAM), socket.socket(type=socket.SOCK_DGRAM)
    with here, there:
        there.bind(("127.0.0.1", 0))
        there.setblocking(False)
        address = there.getsockname()

        def filled() -> None:
            for _ in range(64):
                here.sendto(data, address)

        rounds = []
        for _ in range(max(1, plays // 64)):
            filled()
            begun = time.perf_counter()
            for _ in range(64):
                there.recvfrom(256 * 1024)
            rounds.append((time.perf_counter() - begun) / 64 * 1e6)
        plain = median(rounds)
    through = asyncio.run(_by_asyncio(data, plays))

    print(f"reading {len(data)} bytes: recvfrom {plain:.2f} us, through asyncio's loop {through:.2f} us")
    for kind, what in kinds.items():
        cost = micros(plays, lambda what=what: seal.try_open(what))  # type: ignore[misc]
        print(f"refusing it for its {kind}: {cost:.2f} us, {cost / through:.2f} of asyncio's reading")
    tag = Sealer([b"k" * 32], DATAGRAM_PERSONALIZATION)
    print(f"of that the hash: {micros(plays, lambda: tag.tag(data)):.2f} us")


async def _by_asyncio(data: bytes, plays: int) -> float:
    loop = asyncio.get_running_loop()
    count, done = 0, loop.create_future()

    class Count(asyncio.DatagramProtocol):
        def datagram_received(self, data: bytes, addr: object) -> None:
            nonlocal count
            count += 1
            if count == 64 and not done.done():
                done.set_result(None)

    transport, _ = await loop.create_datagram_endpoint(Count, local_addr=("127.0.0.1", 0))
    address = transport.get_extra_info("sockname")
    rounds = []
    with socket.socket(type=socket.SOCK_DGRAM) as here:
        for _ in range(max(1, plays // 64)):
            count, done = 0, loop.create_future()
            for _ in range(64):
                here.sendto(data, address)
            begun = time.perf_counter()
            await done
            rounds.append((time.perf_counter() - begun) / 64 * 1e6)
    transport.close()
    return median(rounds)


def connection(plays: int, size: int) -> None:
    here = Conversation([b"k" * 32], "a", 1, bytes(16))
    there = Conversation([b"k" * 32], "b", 1, bytes(range(16)))
    here.accept_hello(there.hello())
    there.accept_hello(here.hello())
    body, count = bytes(size), max(_ROUNDS, min(plays, 100_000_000 // size))
    stream = iter([frame(here.seal(body)) for _ in range(count)])
    reader = FrameReader()

    def take() -> None:
        reader.feed(next(stream))
        whole = reader.next()
        assert whole is not None
        there.open(whole)

    cost = micros(count, take)
    print(f"a frame of {size} bytes: read and opened in {cost:.2f} us, {size / cost:.0f} MB/s")


def memory() -> None:
    tracemalloc.start()
    seal = Seal([b"k" * 32], "me", 1)
    before = tracemalloc.get_traced_memory()[0]
    for number in range(1_000):
        sender = Seal([b"k" * 32], f"front-{number}", 1)
        for _ in range(3):
            data = sender.seal(b"", 1)
        seal.open(data)
        seal._senders[sender.name].window.seen |= 1 << 1_023  # as full as it gets
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    print(f"a window of 1,024 counters: {used / 1_000:.0f} bytes a sender, measured over 1,000 of them")


async def peers_memory(peers: int) -> None:
    """What a front's links take when it has a connection with each of its peers."""
    loop, codec, addresses = asyncio.get_running_loop(), Codec([(Probe,)]), dict[str, tuple[str, int]]()
    heard: list[str] = []
    links = {}

    async def start(name: str) -> None:
        me = Identity(name, 1, [b"k" * 32], secrets.token_bytes)
        links[name] = await Links.start(
            ("127.0.0.1", 0), me, codec, addresses.get, lambda sender, life, message: heard.append(sender)
        )
        addresses[name] = links[name].address

    for number in range(peers):
        await start(f"peer-{number}")
    tracemalloc.start()
    await start("here")
    alone = tracemalloc.get_traced_memory()[0]
    for number in range(peers):
        links["here"].send(Send(f"peer-{number}", Probe(number, ""), reliable=True))
        links[f"peer-{number}"].send(Send("here", Probe(number, "")))
    end = loop.time() + 10.0
    while len(heard) < 2 * peers and loop.time() < end:
        await asyncio.sleep(0.01)
    # Both ends of each connection are in this process, and so are the peers' ends of what was sent.
    grown = (tracemalloc.get_traced_memory()[0] - alone) / 2
    tracemalloc.stop()
    print(
        f"links alone {alone / 1e3:.0f} kB; a connection with each of {peers} peers and their windows "
        f"{grown / 1e3:.0f} kB more at each end; {len(heard)} of {2 * peers} messages heard"
    )
    for one in links.values():
        await one.stop()


_FLOOD = """
import socket, sys, time
s = socket.socket(type=socket.SOCK_DGRAM)
data, sent, begun = bytes.fromhex(sys.argv[3]), 0, time.monotonic()
while True:
    for _ in range(int((time.monotonic() - begun) * int(sys.argv[2])) - sent):
        s.sendto(data, ("127.0.0.1", int(sys.argv[1])))
        sent += 1
    time.sleep(0.0005)
"""


async def flooded(seconds: float, flood: int, gate: GateRules) -> None:
    """How late a timer of 1 ms comes in a front that is sent sealed rubbish, and if its peer is heard."""
    heard = 0

    def told(sender: str, life: int, message: Message) -> None:
        nonlocal heard
        heard += 1

    loop, codec, addresses = asyncio.get_running_loop(), Codec([(Probe,)]), dict[str, tuple[str, int]]()
    links = {}
    for name in ("here", "peer"):
        me = Identity(name, 1, [b"k" * 32], secrets.token_bytes)
        rules = LinkRules(gate=gate)
        links[name] = await Links.start(("127.0.0.1", 0), me, codec, addresses.get, told, rules=rules)
        addresses[name] = links[name].address
    data = Seal([b"o" * 32], "peer", 1).seal(bytes(1_340), 1).hex()
    links["peer"].send(Send("here", Probe(0, "")))  # from before the flood, as a rule
    await asyncio.sleep(0.05)
    command = [sys.executable, "-c", _FLOOD, str(links["here"].address[1]), str(flood), data]
    sender = subprocess.Popen(command) if flood else None
    late, sent, begun = [], 1, loop.time()
    cpu = time.process_time()
    while (now := loop.time()) < begun + seconds:
        await asyncio.sleep(0.001)
        late.append((loop.time() - now) * 1e3 - 1.0)
        if len(late) % 20 == 0:
            links["peer"].send(Send("here", Probe(sent, "")))
            sent += 1
    cpu = (time.process_time() - cpu) / seconds
    await asyncio.sleep(0.05)
    if sender is not None:
        sender.kill()
        sender.wait()
    late.sort()
    counts = links["here"].counts
    print(
        f"{flood} bad ones a second, {gate.bad} of them looked at: "
        f"{counts.datagrams_in / seconds:.0f} datagrams a second read, "
        f"{counts.dropped[Drop.SEALED]} refused, "
        f"{counts.dropped[Drop.FLOOD]} not looked at, {heard} of {sent} of the peer's heard, "
        f"{cpu:.0%} of a core, timers late by {median(late):.2f} ms, "
        f"p99 {late[len(late) * 99 // 100]:.2f} ms"
    )
    for one in links.values():
        await one.stop()


@click.command()
@click.option("--plays", default=20_000)
def main(plays: int) -> None:
    for size in (200, 1_400):
        good(plays, size)
    bad(plays)
    for size in (200, 65_536):
        connection(plays, size)
    memory()
    asyncio.run(peers_memory(50))
    for flood, most in ((0, 2_000), (20_000, 2_000), (20_000, 10**9), (100_000, 2_000), (100_000, 10**9)):
        asyncio.run(flooded(3.0, flood, GateRules(max_refused_per_s=most)))


if __name__ == "__main__":
    main()
