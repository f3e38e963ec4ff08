"""Links between fronts in virtual time and on sockets: broken, flooded, stalled, killed and forged peers."""

from __future__ import annotations

import asyncio
import contextvars
import importlib
import os
import secrets
import socket
import subprocess
import sys
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from random import Random
from types import SimpleNamespace
from typing import Any
from unittest.mock import Mock, patch

import pytest

from fernweir.peers.base import Address, Message, Send
from fernweir.peers.link.connection import Connection
from fernweir.peers.wire.codec import Codec, highest_common_format
from fernweir.peers.wire.conversation import Conversation
from fernweir.peers.wire.frames import frame
from fernweir.peers.wire.seal import Seal
from fernweir.rehearsal.datagrams import WayFault
from fernweir.rehearsal.loop import NODE, VirtualLoop, run
from tests.peers_mutants import Mutant, broken
from tests.peers_mutants.wire import MUTANTS
from tests.sockets import until

KEY, OTHER = b"k" * 32, b"o" * 32


class Item(Message, tag="item"):
    number: int
    data: bytes = b""


class NewItem(Message, tag="item"):
    number: int
    data: bytes = b""
    share: float = 0.5


class Extra(Message, tag="extra"):
    number: int


def load() -> Any:
    """The modules under test, afresh inside `broken`."""
    parts = ("links", "rules")
    return SimpleNamespace(**{name: importlib.import_module(f"fernweir.peers.link.{name}") for name in parts})


class Front:
    """The links of one front, run in a node of their own."""

    def __init__(self, fleet: Fleet, name: str, life: int) -> None:
        self.fleet, self.name, self.life, self.node = fleet, name, life, f"{name}/{life}"
        self.got: list[tuple[str, int, int]] = []
        self.stale: list[tuple[str, int, int]] = []
        self.links: Any = None

    async def start(
        self, listen: Address, keys: list[bytes], rules: Any, formats: tuple[int, int] = (1, 1)
    ) -> Front:
        m = load()
        kinds = (Item,) if formats[1] == 1 else (NewItem, Extra)
        rng = Random(f"{self.fleet.seed} {self.node}")
        me = m.rules.Identity(self.name, self.life, keys, rng.randbytes, formats)
        token = NODE.set(self.node)
        try:
            self.links = await m.links.Links.start(
                listen, me, Codec([kinds], formats), self.fleet.addresses.get, self._on_message,
                rules=rules, seed=self.fleet.seed, on_stale=lambda *what: self.stale.append(what[:3]),
                format_of=lambda name: highest_common_format(formats, self.fleet.formats.get(name, (1, 1))),
                name_at=self.fleet.names.get,
            )  # fmt: skip
        finally:
            NODE.reset(token)
        return self

    def _on_message(self, sender: str, life: int, message: Message) -> None:
        assert isinstance(message, Item | NewItem)
        self.got.append((sender, life, message.number))

    def run_in_node(self, do: Callable[..., Any], *args: Any) -> Any:
        def inside() -> Any:
            NODE.set(self.node)
            return do(*args)

        return contextvars.copy_context().run(inside)

    def send(self, to: str | Address, number: int, size: int = 0, reliable: bool = False) -> None:
        self.run_in_node(self.links.send, Send(to, Item(number, bytes(size)), reliable))

    def numbers(self, sender: str) -> list[int]:
        return [number for name, _, number in self.got if name == sender]

    @property
    def dropped(self) -> dict[str, int]:
        return {why.value: count for why, count in self.links.counts.dropped.items() if count}


class Fleet:
    def __init__(self, loop: VirtualLoop, seed: int = 1) -> None:
        self.loop, self.seed = loop, seed
        self.addresses: dict[str, Address] = {}
        self.names: dict[Address, str] = {}  # what the fronts know of who has an address now
        self.fronts: dict[str, Front] = {}
        self.formats: dict[str, tuple[int, int]] = {}

    async def front(self, name: str, life: int = 1, keys: list[bytes] | None = None, **rules: Any) -> Front:
        address = (f"127.0.{life}.{ord(name[0])}", 7_400)
        self.addresses[name] = address
        front = Front(self, name, life)
        rules, formats = load().rules.LinkRules(**rules), self.formats.get(name, (1, 1))
        self.fronts[name] = await front.start(address, keys or [KEY], rules, formats)
        return front


def run_fleet(main: Callable[[Fleet], Any], seed: int = 1) -> Any:
    return run(seed, lambda loop: main(Fleet(loop, seed)))


# --- random faults ---

RULES = {
    "rate": 200_000.0, "burst": 50_000.0, "max_queue_bytes": 60_000, "max_total_queue_bytes": 100_000,
    "max_queued_peers": 4, "connections": 8, "half_open": 4, "connect_timeout_ms": 500.0,
    "hello_timeout_ms": 1_000.0, "idle_timeout_ms": 2_000.0, "stall_timeout_ms": 1_500.0,
    "retry_backoff_ms": 50.0, "max_retry_backoff_ms": 400.0, "give_up_ms": 4_000.0,
    "sweep_interval_ms": 100.0,
}  # fmt: skip


def violated_bound(front: Front, begun: float) -> str:
    """Returns which bound a front violates, an empty text if none. Bounds hold at every step."""
    links, rules = front.links, front.links.rules
    inside = links.connections
    send_queues, waiting = inside.send_queues.all(), inside.send_queues.waiting_bytes
    if waiting != sum(send_queue.size_bytes for send_queue in send_queues):
        return (
            f"{waiting} bytes said to wait, and {sum(send_queue.size_bytes for send_queue in send_queues)} do"
        )
    if any(
        send_queue.size_bytes != sum(map(len, send_queue.bodies))
        or send_queue.size_bytes > rules.max_queue_bytes
        for send_queue in send_queues
    ):
        return f"a queue of {max(send_queue.size_bytes for send_queue in send_queues)} bytes"
    if waiting > rules.max_total_queue_bytes or len(send_queues) > rules.max_queued_peers:
        return f"{waiting} bytes wait for {len(send_queues)} peers"
    if len(inside.registry.half_open) > rules.half_open:
        return f"{len(inside.registry.half)} connections are half open"
    for one in inside.registry.all:
        if one._transport.get_write_buffer_size() > 65_536 + rules.write_chunk_bytes:
            return f"{one._transport.get_write_buffer_size()} bytes are written to who does not read"
        if one.conversation.proven and one.conversation.peer not in front.fleet.fronts:
            return "a stranger is proven"
    counts = links.counts
    handshakes = 400 * (counts.dialled + counts.accepted)
    if counts.bytes_out - handshakes > rules.rate * (front.fleet.loop.time() - begun) + rules.burst:
        return f"{counts.bytes_out} bytes went out, more than the budget"
    return ""


def run_random_faults(seed: int) -> str:
    """Three fronts send messages while paths break and processes are paused, killed and restarted."""

    async def main(fleet: Fleet) -> str:
        rng, loop, begun = Random(seed), fleet.loop, fleet.loop.time()
        fast = {"rate": 5e6, "burst": 2e6, "stall_timeout_ms": 8_000.0, "max_queue_bytes": 90_000}
        rules: dict[str, Any] = RULES | (fast if seed % 2 else {})
        for name in "abc":
            await fleet.front(name, **rules)
        fleet.addresses["z"] = ("127.0.9.9", 7_400)  # nobody listens there
        frozen: set[str] = set()
        number, sent = 0, dict[int, tuple[str, int]]()
        fronts = fleet.fronts
        known: set[tuple[str, int]] = (
            set()
        )  # sent to the newest incarnation of a peer, as known to the sender
        earlier_fronts: list[Front] = []  # killed, or running beside a newer incarnation of their name

        def send_numbered(source: Front, to: str, size: int, reliable: bool) -> int:
            nonlocal number
            number += 1
            sent[number] = (source.name, source.life)
            if to in fronts and source.links.seal.newest_incarnation(to) == fronts[to].life:
                known.add((fronts[to].node, number))
            source.send(to, number, size, reliable)
            return number

        for step in range(160):
            source, to = rng.sample("abc", 2)
            draw = rng.random()
            if draw < 0.7 and source not in frozen:
                size = rng.choice((0, 200, 2_000, 30_000))
                for _ in range(rng.choice((1, 1, 6))):
                    send_numbered(fronts[source], to, size, rng.random() < 0.5)
            elif draw < 0.75 and not frozen:
                frozen.add(source)
                loop.freeze(fronts[source].node)
            elif draw < 0.82 and frozen:
                loop.thaw(fronts[frozen.pop()].node)
            elif draw < 0.87:
                loop.network.ways.set(source, to, WayFault(cut=rng.random() < 0.5, loss=0.2, late=0.2))
            elif draw < 0.92:
                loop.network.ways.clear_all()
            elif draw < 0.94 and not frozen and fronts[source].life < 6:
                earlier_fronts.append(fronts[source])
                if rng.random() < 0.5:
                    loop.kill(fronts[source].node)
                await fleet.front(source, fronts[source].life + 1, **rules)
            elif draw < 0.96:
                for _ in range(9):
                    await loop.create_connection(asyncio.Protocol, *fleet.addresses[to])
            else:
                hello = Conversation([OTHER], "a", 99, bytes(16)).hello()
                transport, _ = await loop.create_connection(asyncio.Protocol, *fleet.addresses[to])
                transport.write(frame(hello))
            for name in frozen - {source} if seed % 2 else ():
                send_numbered(fronts[source], name, 30_000, True)
            if rng.random() < 0.03 and source not in frozen:
                send_numbered(fronts[source], "z", 9_000, True)
            if (
                earlier_fronts
                and (twin := rng.choice(earlier_fronts)).node not in loop._dead
                and twin.name != to
            ):
                send_numbered(twin, to, 300, rng.random() < 0.5)
            await asyncio.sleep(rng.choice((0.0, 0.005, 0.05, 0.3)))
            for front in fronts.values():
                if said := violated_bound(front, begun):
                    return f"step {step}, {front.node}: {said}"
        for name in frozen:
            loop.thaw(fronts[name].node)
        loop.network.ways.clear_all()
        await asyncio.sleep(8.0)
        last = {(one, other): (send_numbered(fronts[one], other, 50, False),
                               send_numbered(fronts[one], other, 5_000, True))
                for one in "abc" for other in "abc" if one != other}  # fmt: skip
        await asyncio.sleep(4.0)
        for (one, other), numbers in last.items():
            if missing := set(numbers) - set(fronts[other].numbers(one)):
                return f"{one} to {other} was lost on a whole network: {missing}"
        for front in [*earlier_fronts, *fronts.values()]:
            for sender, life, what in front.got:
                if front in earlier_fronts and (fronts[front.name].node, what) in known:
                    return f"{front.node} heard {what}, which was for its newer life"
                if sent.get(what) != (sender, life):
                    return f"{front.node} heard {what} from {sender}/{life}, who never said it"
            if front.got and max(Counter(front.got).values()) > 1:
                return f"{front.node} heard one message twice"
            for sender in "abc":
                incarnations = [life for name, life, _ in front.got if name == sender]
                if incarnations != sorted(incarnations):
                    return f"{front.node} heard an older life of {sender} after a newer one"
        await asyncio.sleep(6.0)
        for front in fronts.values():
            inside = front.links.connections
            registry = inside.registry
            if registry.all or registry.half_open or registry.by_name or registry.by_address:
                return f"{front.node} keeps connections that are long over"
            if (
                inside.send_queues.all()
                or inside.send_queues.waiting_bytes
                or inside._retries
                or inside._tasks
            ):
                return f"{front.node} keeps what is long over"
        for front in [*earlier_fronts, *fronts.values()]:
            if front.node not in loop._dead:
                await front.links.stop()
        return ""

    return str(run_fleet(main, seed))


def test_random_faults_keep_every_bound_and_leave_no_state() -> None:
    for seed in range(12):
        assert run_random_faults(seed) == "", f"seed {seed}"


def network_transcript() -> str:
    """Returns what three fronts received and counted on a faulty network, as text."""

    async def main(fleet: Fleet) -> Any:
        fronts = [await fleet.front(name, **RULES) for name in "abc"]
        fleet.loop.network.ways.set("*", "*", WayFault(loss=0.2, doubled=0.2, jitter_s=0.1))
        for number in range(60):
            for one, to in zip(fronts, "bca", strict=True):
                one.send(to, number, 300 * (number % 7), number % 3 == 0)
                one.send(fleet.addresses[to], number, 9_000, number % 2 == 0)
            await asyncio.sleep(0.01)
        await asyncio.sleep(2.0)
        return [(one.got, one.links.counts) for one in fronts]

    return repr(run_fleet(main, 4))


def test_a_run_is_the_same_in_any_process() -> None:
    transcripts = [
        subprocess.run(
            [sys.executable, "-c", "from tests import test_peers_link as t; print(t.network_transcript())"],
            capture_output=True, env=os.environ | {"PYTHONHASHSEED": seed}, check=True,
            cwd=Path(__file__).parent.parent,
        ).stdout
        for seed in ("1", "2")
    ]  # fmt: skip
    assert (
        transcripts[0] == transcripts[1]
        and transcripts[0].strip() == network_transcript().encode()
        and len(transcripts[0]) > 1_000
    )


@pytest.mark.parametrize("mutant", [one for one in MUTANTS if "/link/" in one.file], ids=lambda one: one.name)
def test_each_mutant_is_found(mutant: Mutant) -> None:
    with broken(mutant, "fernweir.peers.link"):
        for seed in range(mutant.seeds):
            try:
                if run_random_faults(seed):
                    return
            except Exception:  # a mutant that stops the run counts as found
                return
    pytest.fail("no run found the mutant")


# --- single cases ---


def test_small_messages_share_datagrams_and_long_ones_take_the_connection() -> None:
    async def main(fleet: Fleet) -> None:
        one, other = await fleet.front("a"), await fleet.front("b")
        for number in range(40):
            one.send("b", number, 100)
        one.send("b", 99, 1_400)
        await asyncio.sleep(1.0)
        assert sorted(other.numbers("a")) == [*range(40), 99]
        assert one.links.counts.datagrams_out == 4 and one.links.counts.frames_out == 1
        assert fleet.loop.network.datagrams.bytes_sent <= 4 * 1_400
        one.send("b", 100, 1_048_576)
        one.send("nobody", 101)
        one.send(("box.example", 7_400), 102)
        one.send(("box.example", 7_400), 103, reliable=True)
        await asyncio.sleep(1.0)
        assert one.dropped == {"long": 1, "address": 3} and 100 not in other.numbers("a")

    run_fleet(main)


def test_a_wrong_fleet_key_gets_nothing_in_and_is_given_up() -> None:
    async def main(fleet: Fleet) -> None:
        one, other = await fleet.front("a", **RULES), await fleet.front("b", keys=[OTHER], **RULES)
        for number in range(10):
            one.send("b", number)
            other.send("a", number, reliable=True)
            await asyncio.sleep(0.5)
        await asyncio.sleep(6.0)
        assert not one.got and not other.got
        assert one.links.counts.dropped["sealed"] > 5 and other.dropped == {"sealed": 10, "gave up": 10}
        assert not other.links.connections.send_queues.all() and not one.links.connections.registry.all

    run_fleet(main)


def test_a_flood_is_dropped_in_bounds_while_peers_are_heard() -> None:
    async def main(fleet: Fleet) -> None:
        gate = importlib.import_module("fernweir.peers.wire.gate").GateRules(
            max_refused_per_s=50, max_refused_per_source_s=20
        )
        one, other = await fleet.front("a", gate=gate), await fleet.front("b", gate=gate)
        looks = 0
        opened = other.links.seal.try_open

        def try_open(data: bytes) -> Any:
            nonlocal looks
            looks += 1
            return opened(data)

        other.links.seal.try_open = try_open
        one.send("b", 0)
        await asyncio.sleep(0.1)
        stranger, _ = await fleet.loop.create_datagram_endpoint(
            asyncio.DatagramProtocol, local_addr=("127.0.0.99", 1)
        )
        forged = Seal([OTHER], "a", 1)
        for number in range(1, 40):
            for _ in range(100):
                stranger.sendto(forged.seal(b"\x90", 1), fleet.addresses["b"])
            one.send("b", number)
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.1)
        assert other.numbers("a") == list(range(40))
        assert looks <= 40 + 50 * 4 and other.dropped["flood"] > 3_500

    run_fleet(main)


def test_recorded_connections_and_datagrams_are_not_accepted_twice() -> None:
    async def main(fleet: Fleet) -> None:
        loop = fleet.loop
        one, other = await fleet.front("a"), await fleet.front("b")
        recorded_writes: list[bytes] = []
        datagrams: list[bytes] = []
        sendto = one.links._datagrams._transport.sendto

        def heard(data: bytes, to: Address) -> None:
            datagrams.append(data)
            sendto(data, to)

        one.links._datagrams._transport.sendto = heard
        one.send("b", 1)
        one.send("b", 2, reliable=True)
        await asyncio.sleep(0.0)
        while not one.links.connections.registry.all:
            await asyncio.sleep(0.0005)
        (connection,) = one.links.connections.registry.all
        through = connection._transport.write
        connection._transport.write = lambda data: (recorded_writes.append(bytes(data)), through(data))
        await asyncio.sleep(0.5)
        assert sorted(other.numbers("a")) == [1, 2]
        hello = frame(connection.conversation.hello())  # what was written before the recording began
        seen = len(other.got)
        for _ in range(3):
            replayer, _ = await loop.create_connection(asyncio.Protocol, *fleet.addresses["b"])
            replayer.write(hello)
            for piece in recorded_writes:
                replayer.write(piece)
            stranger, _ = await loop.create_datagram_endpoint(
                asyncio.DatagramProtocol, local_addr=("127.0.0.99", 0)
            )
            stranger.sendto(datagrams[0], fleet.addresses["b"])
            stranger.sendto(datagrams[0], fleet.addresses["a"])  # its own datagram, returned
            await asyncio.sleep(0.5)
        replayer, _ = await loop.create_connection(asyncio.Protocol, *fleet.addresses["b"])
        replayer.write(hello + (1_048_576).to_bytes(4, "big") + bytes(1_000))
        await asyncio.sleep(0.5)
        assert other.dropped["malformed"] == 1 and not other.links.connections.registry.half_open
        assert len(recorded_writes) >= 2 and len(datagrams) == 1
        assert len(other.got) == seen and not one.got
        assert other.links.connections.seal_errors_by_kind["tag"] == 3
        assert other.links.seal.counts["replay"] == 3 and one.links.seal.counts["own"] == 3

    run_fleet(main)


def test_half_open_connections_are_bounded_and_don_t_keep_a_peer_out() -> None:
    async def main(fleet: Fleet) -> None:
        one, other = await fleet.front("a", half_open=8), await fleet.front("b", half_open=8)
        for number in range(200):
            await fleet.loop.create_connection(asyncio.Protocol, *fleet.addresses["b"])
            assert len(other.links.connections.registry.half_open) <= 8
            if number % 20 == 0:
                one.send("b", number, reliable=True)
        await asyncio.sleep(6.0)
        assert other.numbers("a") == list(range(0, 200, 20))
        assert other.links.counts.evicted >= 180 and not other.links.connections.registry.half_open
        assert other.links.counts.handshake_timeouts > 0

    run_fleet(main)


def test_a_paused_peer_fills_a_bounded_queue_and_receives_it_in_order() -> None:
    async def main(fleet: Fleet) -> None:
        rules: dict[str, Any] = RULES | {
            "rate": 1e7,
            "burst": 1e6,
            "stall_timeout_ms": 60_000.0,
            "idle_timeout_ms": 60_000.0,
        }
        one, other = await fleet.front("a", **rules), await fleet.front("b", **rules)
        one.send("b", 0, reliable=True)
        await asyncio.sleep(0.5)
        fleet.loop.freeze(other.node)
        for number in range(1, 100):
            one.send("b", number, 9_000, reliable=True)
            await asyncio.sleep(0.01)
            assert one.links.connections.send_queues.waiting_bytes <= 60_000
        dropped = one.dropped["queue"]
        assert dropped > 10
        fleet.loop.thaw(other.node)
        await asyncio.sleep(2.0)
        assert other.numbers("a") == list(
            range(100 - dropped)
        )  # the first ones: the full queue dropped the others
        assert one.links.counts.dialled == 1

    run_fleet(main)


def test_a_peer_killed_inside_a_frame_is_reached_in_its_next_incarnation() -> None:
    async def main(fleet: Fleet) -> None:
        one, other = await fleet.front("a", **RULES), await fleet.front("b", **RULES)
        one.send("b", 1, 55_000, reliable=True)
        one.send("b", 2, 100, reliable=True)
        while not (connections := list(one.links.connections.registry.all)) or not connections[0].unsent:
            await asyncio.sleep(0.001)
        fleet.loop.kill(other.node)
        again = await fleet.front("b", 2, **RULES)
        await asyncio.sleep(3.0)
        assert (other.got, again.got) == ([], [("a", 1, 2)]) and one.dropped["lost"] == 1
        again.send("a", 3)
        again.send("a", 4, reliable=True)
        await asyncio.sleep(1.0)
        assert sorted(one.got) == [("b", 2, 3), ("b", 2, 4)]

    run_fleet(main)


def test_an_older_incarnation_is_ignored_until_it_continues_under_a_newer_one() -> None:
    async def main(fleet: Fleet) -> None:
        one, new = await fleet.front("a", **RULES), await fleet.front("b", 9, **RULES)
        new.send("a", 1)
        await asyncio.sleep(0.5)
        fleet.loop.kill(new.node)
        old = await fleet.front("b", 5, **RULES)  # its wall clock was set back
        old.send("a", 2)
        old.send("a", 3, reliable=True)
        await asyncio.sleep(1.0)
        assert one.got == [("b", 9, 1)] and one.stale == [("b", 5, 9)] * 2 and one.dropped["old life"] == 1
        old.run_in_node(old.links.advance_incarnation, 10)
        old.send("a", 4)
        old.send("a", 5, reliable=True)
        await asyncio.sleep(1.0)
        assert sorted(one.got) == [("b", 9, 1), ("b", 10, 4), ("b", 10, 5)]

    run_fleet(main)


def test_a_peer_that_answers_under_another_name_is_sent_nothing() -> None:
    async def main(fleet: Fleet) -> None:
        one, other = await fleet.front("a", **RULES), await fleet.front("b", **RULES)
        fleet.addresses["c"] = fleet.addresses["b"]
        one.send("c", 1, reliable=True)
        one.send(fleet.addresses["b"], 2, reliable=True)  # a dial by address accepts any name
        await asyncio.sleep(9.0)
        assert other.numbers("a") == [2] and one.dropped == {"gave up": 1}
        assert one.links.counts.identity_mismatches > 0

    run_fleet(main)


@pytest.mark.parametrize("is_connected", [True, False])
def test_a_message_to_an_address_reaches_the_front_that_has_it_now(is_connected: bool) -> None:
    """It went on the open connection to the front that had the address before, and the new one missed it."""

    async def main(fleet: Fleet) -> None:
        one, old = await fleet.front("a", **RULES), await fleet.front("b", **RULES)
        address = fleet.addresses["b"]
        one.send(address, 1, reliable=True)
        await asyncio.sleep(0.5)
        old.run_in_node(old.links.connections._server.close)  # it keeps its open connections
        old.run_in_node(old.links._datagrams.close)
        fleet.addresses["c"], fleet.names[address] = address, "c"
        new = Front(fleet, "c", 1)
        await new.start(address, [KEY], load().rules.LinkRules(**RULES))
        fleet.fronts["c"] = new
        if is_connected:
            new.send("a", 2, reliable=True)
            await asyncio.sleep(0.5)
        one.send(address, 3, reliable=True)
        await asyncio.sleep(0.5)
        assert (old.numbers("a"), new.numbers("a")) == ([1], [3])
        assert one.links.counts.dialled == 1 + (not is_connected)

    run_fleet(main)


def test_datagrams_go_out_while_a_long_transfer_uses_the_budget() -> None:
    async def main(fleet: Fleet) -> None:
        rules: dict[str, Any] = RULES | {"max_queue_bytes": 2_000_000, "max_total_queue_bytes": 2_000_000}
        one, other = await fleet.front("a", **rules), await fleet.front("b", **rules)
        begun = fleet.loop.time()
        one.send("b", 0, 1_000_000, reliable=True)
        for number in range(1, 50):
            await asyncio.sleep(0.1)
            one.send("b", number)
            assert one.links.counts.bytes_out <= 200_000 * (fleet.loop.time() - begun) + 50_000 + 1_000
        await asyncio.sleep(1.0)
        assert sorted(other.numbers("a")) == list(range(50)) and not one.dropped
        for number in range(1_000):
            one.send("b", number, 1_000)
        await asyncio.sleep(0.0)
        assert one.dropped["budget"] > 900

    run_fleet(main)


def test_a_release_rolls_through_fronts_of_two_formats_and_a_third_is_kept_out() -> None:
    async def main(fleet: Fleet) -> None:
        fleet.formats.update(a=(1, 1), b=(1, 2), c=(2, 2))
        old, new, newest = await fleet.front("a"), await fleet.front("b"), await fleet.front("c")
        for number, reliable in enumerate((False, True)):
            new.run_in_node(new.links.send, Send("a", NewItem(number, b"", 0.25), reliable))
            new.run_in_node(new.links.send, Send("a", Extra(1), reliable))
            new.send("c", number, reliable=reliable)
            old.send("b", number, reliable=reliable)
            newest.send("b", number, reliable=reliable)
            newest.send("a", 9, reliable=reliable)
        new.send(fleet.addresses["a"], 5)  # before its name is known
        await asyncio.sleep(1.0)
        assert sorted(old.numbers("b")) == [0, 1, 5] and old.links.codec.counts.unknown_kinds == 2
        assert sorted(new.numbers("a")) == sorted(new.numbers("c")) == [0, 1]
        assert sorted(newest.numbers("b")) == [0, 1] and not old.numbers("c")
        assert newest.dropped["format"] == 1 and old.links.connections.seal_errors_by_kind["format"] >= 1

    run_fleet(main)


def test_a_flood_on_a_socket_is_read_many_at_once_and_the_peer_behind_it_is_heard() -> None:
    async def main() -> None:
        m = load()
        gate = importlib.import_module("fernweir.peers.wire.gate").GateRules(
            max_refused_per_s=5, max_refused_per_source_s=5
        )
        got: list[int] = []
        addresses: dict[str, Address] = {}
        links = {}
        for name in "ab":
            me = m.rules.Identity(name, 1, [KEY], secrets.token_bytes)
            links[name] = await m.links.Links.start(
                ("127.0.0.1", 0), me, Codec([(Item,)]), addresses.get,
                lambda sender, life, message: got.append(message.number), rules=m.rules.LinkRules(gate=gate),
            )  # fmt: skip
            addresses[name] = links[name].address
        links["b"].send(Send("a", Item(0)))
        await until(lambda: got == [0])
        forged = Seal([OTHER], "b", 1)
        with socket.socket(type=socket.SOCK_DGRAM) as stranger:
            for number in range(1, 6):
                for _ in range(60):
                    stranger.sendto(forged.seal(b"\x90", 1), addresses["a"])
                links["b"].send(Send("a", Item(number)))
                await until(lambda number=number: got == list(range(number + 1)))
        counts = links["a"].counts
        assert counts.dropped["sealed"] + counts.dropped["flood"] == 300 and counts.dropped["flood"] > 100
        for one in links.values():
            await one.stop()

    asyncio.run(main())


@pytest.mark.parametrize("ending", ["time ends", "lost"])
def test_a_dial_given_up_in_the_iteration_in_which_it_succeeds_is_retried_once(ending: str) -> None:
    async def main() -> None:
        m = load()
        addresses: dict[str, Address] = {}
        got: list[int] = []
        links = {}
        for name in ("a", "b"):
            me = m.rules.Identity(name, 1, [KEY], secrets.token_bytes)
            links[name] = await m.links.Links.start(
                ("127.0.0.1", 0), me, Codec([(Item,)]), addresses.get,
                lambda sender, life, message: got.append(message.number),
            )  # fmt: skip
            addresses[name] = links[name].address
        limits: list[asyncio.Timeout] = []
        made = Connection.connection_made

        def timeout(within_s: float) -> asyncio.Timeout:
            limits.append(asyncio.Timeout(None))
            return limits[-1]

        def crossing(connection: Connection, transport: asyncio.BaseTransport) -> None:
            made(connection, transport)
            if connection.dialled_target is not None:
                patched.stop()
                if ending == "time ends":
                    limits[0]._on_timeout()
                else:
                    connection.abort()

        patched = patch.object(Connection, "connection_made", crossing)
        patched.start()
        with patch("fernweir.peers.link.tcp.asyncio.timeout", timeout):
            links["a"].send(Send("b", Item(1, b""), reliable=True))
            await until(lambda: got)
        ways = links["a"].connections
        assert got == [1] and ways.counts.dialled == 2 and ways._retries == {}
        await until(lambda: len(ways.registry.all) == len(links["b"].connections.registry.all) == 1)
        for one in links.values():
            await one.stop()

    asyncio.run(main())


def test_a_connection_that_comes_up_as_the_links_stop_is_ended() -> None:
    async def main() -> None:
        m = load()
        me = m.rules.Identity("a", 1, [KEY], secrets.token_bytes)
        links = await m.links.Links.start(
            ("127.0.0.1", 0), me, Codec([(Item,)]), lambda name: None, lambda *what: None
        )
        late = Connection(links.connections, None, None)  # accepted, and not made yet
        await links.stop()
        transport = Mock(spec=asyncio.Transport)
        late.connection_made(transport)
        assert transport.abort.called and not links.connections.registry.all
        late.connection_lost(None)

    asyncio.run(main())


def test_links_on_sockets_carry_both_kinds_and_end_clean() -> None:
    async def main() -> None:
        m = load()
        addresses: dict[str, Address] = {}
        got: dict[str, list[int]] = {"a": [], "b": []}
        links = {}
        for name, host in (("a", "127.0.0.1"), ("b", "127.0.0.2")):
            me = m.rules.Identity(name, 1, [KEY], secrets.token_bytes)
            links[name] = await m.links.Links.start(
                (host, 0), me, Codec([(Item,)]), addresses.get,
                lambda sender, life, message, name=name: got[name].append(message.number),
            )  # fmt: skip
            addresses[name] = links[name].address
        with pytest.raises(OSError):
            await listen_again(m, addresses["a"])
        for number in range(20):
            links["a"].send(Send("b", Item(number, bytes(100))))
            links["b"].send(Send("a", Item(number, bytes(20_000)), reliable=True))
        await until(lambda: len(got["a"]) == 20)
        await until(lambda: len(got["b"]) == 20)
        assert got["a"] == list(range(20))
        (inside,) = links["a"].connections.registry.all
        peer = inside._transport.get_extra_info("peername")
        assert peer[0] == "127.0.0.2"  # the caller is identified by its host
        for one in links.values():
            await one.stop()
        await until(lambda: not any(one.connections.registry.all for one in links.values()))

    async def listen_again(m: Any, address: Address) -> None:
        me = m.rules.Identity("c", 1, [KEY], secrets.token_bytes)
        await m.links.Links.start(address, me, Codec([(Item,)]), lambda name: None, lambda *what: None)

    asyncio.run(main())
