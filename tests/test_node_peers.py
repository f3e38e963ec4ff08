"""Nodes with peers, which `FERNWEIR_PEERS` configures: one in a process, and one in the test."""

from __future__ import annotations

import asyncio
import secrets
import signal
from collections.abc import Awaitable, Callable
from dataclasses import replace
from heapq import heappop, heappush
from io import StringIO
from pathlib import Path
from random import Random
from types import SimpleNamespace
from typing import Any, cast

import msgspec
import pytest

from fernweir.front.dispatcher import Dispatcher
from fernweir.front.names import number_of
from fernweir.node.config import Address, load_config
from fernweir.node.endpoint_feed import EndpointFeed
from fernweir.node.jsonl import Message
from fernweir.node.logs import NodeLog
from fernweir.node.peering import ListedServers, NodePort, read_peers_file, short_server_number, start_peers
from fernweir.node.program import Node
from fernweir.peers import base
from fernweir.peers.acts.list_content import ListContent
from fernweir.peers.acts.versions import Versions, boxes_digest
from fernweir.peers.channel.messages import KINDS as CHANNELS
from fernweir.peers.lease.messages import KINDS as LEASES
from fernweir.peers.lease.messages import Recall, Recalled
from fernweir.peers.members.events import Me
from fernweir.peers.peer import Peer
from fernweir.peers.port import FrontLimits, Listener, Port
from fernweir.peers.program import Peers
from fernweir.peers.settings import first_versions, peer_rules
from tests.node_scene import MediaServer, ViewerConnection
from tests.sockets import until
from tests.step_counter import count_steps
from tests.test_fleet_size import MAX_GROWTH, MOST_SERVERS, USUAL_SERVERS
from tests.test_node_process import Outside, free_address

EXTRAS = "home:0;copies:4;top:1;viewer:00000000b4d65521"


class Fleet(Outside):
    """A node in a process that may be killed, and a node in this loop, with their surroundings."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self.folder, self.log = folder, StringIO()
        (folder / "fleet.key").write_text(secrets.token_hex(32))

    def peers_file(self, name: str, *seeds: Address) -> Path:
        path = self.folder / f"{name}.ini"
        path.write_text(
            "[peers]\nlisten = 127.0.0.1:0\nkey = fleet.key\nkeepers = n7, n2, n3\n"
            f"seeds = {', '.join(f'{host}:{port}' for host, port in seeds)}\n"
        )
        return path

    async def here(self) -> tuple[Node, Peers]:
        """Starts the node `n2` with the same list as `n7` in other events. Its only seed does not exist."""
        for name in ("s-0", "s-1", "s-2"):
            self.servers[name] = MediaServer(name)
            await self.servers[name].listen()
        self.configure(free_address())
        variables = {"ROUTER_CONFIG": str(self.file), "ROUTER_NAME": "n2", "ROUTER_LISTEN": "127.0.0.1:{}"}
        variables["ROUTER_LISTEN"] = variables["ROUTER_LISTEN"].format(free_address()[1])
        lines = [self.line(name) for name in self.servers]
        gone = {**lines[0], "name": "s-9"}
        first: list[dict[str, Any]] = [{**lines[1], "status": "draining"}, gone, lines[0]]
        later = [lines[2], {**gone, "status": "removed"}, lines[1]]
        known = (
            {"n": 4, "members": {"index": 8, "snapshot": True, "endpoints": first}},
            {"n": 5, "members": {"index": 9, "endpoints": later}},
        )
        config = replace(load_config(variables), known_events=known, known_sequence_number=5)
        node = Node(config, NodeLog("n2", self.log), {})
        file = read_peers_file(self.peers_file("n2", free_address()), "n2")
        peers = await start_peers(node.dispatcher, node.feed, config, file)
        node.start()
        await until(lambda: node.client_requests.is_ready)
        return node, peers

    async def ask(self, node: Node | None = None, **fields: object) -> Message:
        """Sends a set-up to the process, or to a node in this loop, and returns the answer."""
        viewer = ViewerConnection(self)
        if node is not None:
            self.node, before = node, self.node
            await viewer.open()
            self.node = before
        else:
            await viewer.open()
        request = self.setup(left="600", extras=EXTRAS)
        viewer.send(request)
        return await viewer.answer(request.id)


def run_scenario(scenario: Callable[[Fleet, Node, Peers], Awaitable[None]], folder: Path) -> None:
    async def run() -> None:
        fleet = Fleet(folder)
        node, peers = await fleet.here()
        try:
            await scenario(fleet, node, peers)
            assert not fleet.faults
        finally:
            peers.abort()
            await peers.links.stop()
            node.shutdown()

    asyncio.run(run())


def versions(peers: Peers, name: str) -> Versions | None:
    fact = peers.peer.facts.get(name, "versions")
    return None if fact is None else msgspec.msgpack.decode(fact.value, type=Versions)


def test_audit_records_of_a_killed_node_are_served_by_its_peer(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet, node: Node, peers: Peers) -> None:
        # The node reaches no peer. Without channels nothing can be started twice, so it accepts sessions.
        assert (await fleet.ask(node)).type == "answer"
        file = fleet.peers_file("n7", peers.peer.me.address)
        process = await fleet.run(FERNWEIR_PEERS=str(file))
        try:
            await fleet.wait_for_log_event(process, "peer joined")
            await until(lambda: (n7 := versions(peers, "n7")) is not None and n7.boxes)
            mine, theirs = peers.peer.audit.versions, versions(peers, "n7")
            assert theirs is not None and theirs.boxes == mine.boxes and theirs.settings == mine.settings

            answer = await fleet.ask()
            assert answer.type == "answer" and answer.sdp is not None
            life = peers.peer.members.life("n7")
            await until(lambda: peers.peer.audit.store.shelf("n7", life))
        finally:
            process.kill()
            await process.wait()
        await until(lambda: peers.peer.members.alive() == ["n2"])
        answers: list[dict[str, Any]] = []
        peers.questions.ask({"question": "acts", "deed": "setup", "session": answer.id}, answers.append)
        await until(lambda: answers)
        (row,) = answers[0]["rows"]
        server = answer.sdp.split()[0]
        assert (row["front"], row["box"], row["outcome"]) == (
            "n7",
            short_server_number(number_of(server)),
            f"try 0 at {server}",
        )
        # A replica answers for the dead node. Its last records may be missing, which the answer reports.
        assert answers[0]["whole"] is False and {gap["front"] for gap in answers[0]["gaps"]} == {"n7"}

    run_scenario(scenario, tmp_path)


def test_a_stopped_node_leaves_its_peers_in_order(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet, node: Node, peers: Peers) -> None:
        process = await fleet.run(FERNWEIR_PEERS=str(fleet.peers_file("n7", peers.peer.me.address)))
        try:
            await until(lambda: len(peers.peer.members.alive()) == 2)
            await fleet.wait_for_log_event(process, "ready")
            process.send_signal(signal.SIGTERM)
            async with asyncio.timeout(20.0):
                assert await process.wait() == 0
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
        await until(lambda: peers.peer.members.alive() == ["n2"])
        log = fleet.log.getvalue()
        assert '"peer left"' in log and '"peer died"' not in log

        # Drains are in the audit log, too. A node that is shut out rejects requests with a retry time.
        line = {**fleet.line("s-1"), "status": "draining"}
        update = node.feed.apply_line(
            msgspec.json.encode({"n": 6, "members": {"index": 10, "endpoints": [line]}})
        )
        assert update is not None
        before = peers.peer.audit.versions.boxes
        node.endpoint_watcher.apply_update(update)
        assert peers.peer.audit.versions.boxes != before
        answers: list[dict[str, Any]] = []
        peers.questions.ask({"question": "acts", "deed": "drain"}, answers.append)
        await until(lambda: answers)
        drain_outcomes = [row["outcome"] for row in answers[0]["rows"] if row["front"] == "n2"]
        assert drain_outcomes == ["heard at s-1", "heard at s-1"]  # in the first event, and now

        port = node.dispatcher.sessions.observer
        assert isinstance(port, NodePort)
        port.block_new_sessions("shut out", 5_000.0)
        refused = await fleet.ask(node)
        assert (refused.type, refused.fields["wait"]) == ("release", "5000")
        port.block_new_sessions("", 0.0)
        assert (await fleet.ask(node)).type == "answer"
        assert not port.adopt_endpoint_list(0.0, b"{}", before) and port.endpoint_list_document() == b""

    run_scenario(scenario, tmp_path)


def test_a_wrong_settings_file_ends_the_node_with_2_and_all_that_is_wrong(tmp_path: Path) -> None:
    async def scenario() -> None:
        outside = Outside(tmp_path)
        file = tmp_path / "peers.ini"
        file.write_text(
            "[peers]\nlisten = localhost:7400\nkey = none.key\nkeepers = a, b\npart = 3\n[front]\nname = n\n"
        )
        process = await outside.run(FERNWEIR_PEERS=str(file))
        _, said = await process.communicate()
        lines = said.decode().splitlines()
        assert process.returncode == 2 and all(one.startswith(f"fernweir node: {file}: ") for one in lines)
        for word in ("[peers] listen: ", "[peers] keepers: ", "[peers] part: ", "[front]: unknown section"):
            assert sum(word in one for one in lines) == 1, (word, lines)
        assert len(lines) == 4

        process = await outside.run(FERNWEIR_PEERS=str(tmp_path / "nowhere.ini"))
        _, said = await process.communicate()
        assert process.returncode == 2 and said.count(b"\n") == 1 and b"nowhere.ini" in said

        bare = ("-S", "-B", "-m", "fernweir", "node")  # as the platform runs it, without packages
        process = await outside.run(bare, FERNWEIR_PEERS=str(file))
        _, said = await process.communicate()
        assert process.returncode == 2 and said.count(b"\n") == 1 and b"is not installed" in said

    asyncio.run(scenario())


def test_without_the_variable_a_node_from_start_to_end_loads_nothing_of_its_peers(tmp_path: Path) -> None:
    script = (
        "import sys, fernweir.node.program as program\n"
        "code = program.main()\n"
        "known = set(sys.stdlib_module_names) | {'fernweir', '__main__'}\n"
        "other = {name for name in sys.modules if name.partition('.')[0] not in known}\n"
        "parts = ('fernweir.peers', 'fernweir.config', 'fernweir.node.peering', 'fernweir.front.peer_view')\n"
        "other |= {name for name in sys.modules if name.startswith(parts)}\n"
        "print('loaded', code, sorted(other), file=sys.stderr)\n"
    )

    async def scenario() -> None:
        outside = Outside(tmp_path)
        process = await outside.run(("-S", "-B", "-c", script))
        try:
            await outside.wait_for_log_event(process, "ready")
            viewer = await outside.viewer()
            request = outside.setup(left="600", extras=EXTRAS)
            viewer.send(request)
            assert (await viewer.answer(request.id)).type == "answer"
            process.send_signal(signal.SIGTERM)
            async with asyncio.timeout(20.0):
                _, said = await process.communicate()
            assert said.decode().splitlines()[-1] == "loaded 0 []"
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()

    asyncio.run(scenario())


def test_a_list_has_the_same_digest_for_any_clock_and_any_sequence_of_events() -> None:
    def line(name: str, since_ms: float, status: str = "up") -> dict[str, Any]:
        fixed = {"address": "127.0.0.1:9", "type": "box", "group": 1, "weight": 1}
        return {"name": name, "status": status, "since_ms": since_ms, **fixed}

    def digest(offset_ms: float, *events: tuple[bool, list[dict[str, Any]]]) -> bytes:
        feed = EndpointFeed(("box",), offset_ms)
        listed = ListedServers(feed)
        for n, (is_snapshot, lines) in enumerate(events, 1):
            members = {"index": 40 + n, "snapshot": is_snapshot, "endpoints": lines}
            update = feed.apply_line(msgspec.json.encode({"n": n, "members": members}))
            assert update is not None
            listed.on_endpoint_list(update)
        return boxes_digest(listed.list_rows())

    a, b = line("a", 1.7e12), line("b", 0.0)
    one = digest(1.6e12, (True, [a, b]))  # this machine has been up longer than the server
    before = line("a", 1.5e12)
    assert one == digest(1.8e12, (True, [before]), (False, [b, line("c", 0.0)]), (False, [a]), (True, [b, a]))
    assert one == digest(0.0, (True, [b, before]), (False, [line("b", 0.0, "removed")]), (False, [b, a]))
    others = [[a], [a, line("b", 0.0, "draining")], [before, b], [a, {**b, "address": "127.0.0.1:8"}]]
    assert len({one, *(digest(0.0, (True, lines)) for lines in others)}) == 5


class StandalonePort:
    """A port of a front without channels. Any other request to it raises an error."""

    def __init__(self) -> None:
        self.why = ""

    def set_listener(self, listener: Listener) -> None:
        self.listener = listener

    def session_count(self) -> int:
        return 3

    def server_numbers(self) -> list[int]:
        return []

    def limits(self) -> FrontLimits:
        return FrontLimits((1_000.0,))

    def racks(self) -> list[tuple[str, frozenset[int], float]]:
        return []

    def endpoint_list_document(self) -> bytes:
        return b""

    def adopt_endpoint_list(self, now: float, data: bytes, digest: bytes) -> bool:
        raise AssertionError("no peer has a list to send")

    def block_new_sessions(self, why: str, wait_ms: float) -> None:
        assert bool(why) == (wait_ms > 0.0)
        self.why = why


class ThreePeers:
    """Three peers without channels, with a message latency of 2 ms, on simulated time. No I/O."""

    def __init__(self, folder: Path) -> None:
        (folder / "fleet.key").write_text("ab" * 32)
        text = "[peers]\nlisten = 127.0.0.1:1\nkey = fleet.key\nkeepers = n0, n1, n2\nlate-after = 5 s\n"
        text += "bring-up-within = 3 s\n"
        (folder / "peers.ini").write_text(text)
        file = read_peers_file(folder / "peers.ini", "n0")
        self.now, self._sent = 0.0, list[tuple[float, int, str, str, base.Message]]()
        self.kinds: set[type[base.Message]] = set()
        self.ports = {f"n{place}": StandalonePort() for place in range(3)}
        self.there: dict[Any, str] = {("127.0.0.1", 7000 + place): f"n{place}" for place in range(3)}
        self.peers: dict[str, Peer] = {}
        for place, (name, port) in enumerate(self.ports.items()):
            me = Me(name, ("127.0.0.1", 7000 + place), 1, (1, 1))
            first = first_versions(file.section, {}, ())
            rules = peer_rules(file.section, channels=False)
            self.peers[name] = Peer(me, rules, cast(Port, port), place, 0.0, lambda: None, first, lambda: 1e9)
        for peer in self.peers.values():
            peer.start(0.0, [("127.0.0.1", 7000)])

    def tell(self, name: str, *servers: int) -> None:
        self.ports[name].listener.on_endpoint_list(
            self.now, [(one, ["up"]) for one in servers], 1e9 + self.now
        )

    def run(self, until: float, stop: Callable[[], bool] = lambda: False) -> bool:
        """Runs up to that time, or until `stop` returns True."""
        while self.now < until and not stop():
            for name, peer in self.peers.items():
                for effect in peer.take_effects():
                    if isinstance(effect, base.Send):
                        self.kinds.add(type(effect.message))
                        to = self.there.get(effect.to, str(effect.to))
                        heappush(self._sent, (self.now + 2.0, len(self._sent), to, name, effect.message))
            while self._sent and self._sent[0][0] <= self.now:
                _, _, to, sender, message = heappop(self._sent)
                if to in self.peers and sender in self.peers:
                    self.peers[to].on_message(self.now, sender, 1, message)
            for peer in self.peers.values():
                due = peer.next_deadline()
                if due is not None and due <= self.now:
                    peer.tick(self.now)
            self.now += 2.0
        return stop()


def test_without_channels_a_stale_node_is_shut_out_and_returns_and_a_single_one_continues(
    tmp_path: Path,
) -> None:
    three = ThreePeers(tmp_path)
    whys = [port.why for port in three.ports.values()]
    assert whys == ["", "", ""]  # although they have not joined yet
    for name in three.peers:
        three.tell(name, 1, 2)
    assert three.run(5_000.0, lambda: all(len(one.members.alive()) == 3 for one in three.peers.values()))
    three.run(10_000.0)
    three.tell("n0", 1, 2, 3)
    three.tell("n1", 1, 2, 3)
    assert three.run(60_000.0, lambda: three.ports["n2"].why == "shut out")
    assert not three.ports["n0"].why and not three.ports["n1"].why
    three.tell("n2", 1, 2, 3)
    assert three.run(three.now + 120_000.0, lambda: not three.ports["n2"].why)
    del three.peers["n0"], three.peers["n1"]
    assert three.run(three.now + 40_000.0, lambda: three.peers["n2"].members.alive() == ["n2"])
    assert not three.run(three.now + 60_000.0, lambda: bool(three.ports["n2"].why))
    # A keeper recalls the leases that a node that is shut out may hold. No other lease or channel message is
    # sent.
    assert three.kinds & {*LEASES, *CHANNELS} == {Recall, Recalled}


# Guards against an encoding of the complete list at each change, which took most of a front's time.
def test_the_digest_of_a_list_is_the_same_whether_it_is_told_whole_or_in_changes() -> None:
    rng, content, rows = Random(5), ListContent(), dict[int, list[Any]]()
    for _ in range(600):
        number = rng.randrange(40)
        if rng.random() < 0.3:
            has_removals = rows.pop(number, None) is not None
            assert content.update([], [number]) is has_removals
        elif rng.random() < 0.05:
            kept = {one: rows[one] for one in rows if rng.random() < 0.8}
            assert content.replace(kept.items()) is (len(kept) < len(rows))
            rows = kept
        else:
            rows[number] = ["ready", rng.random(), "host", {"b": 1, "a": rng.randrange(9)}]
            assert not content.update([(number, rows[number])], [])
        assert content.digest() == boxes_digest(rows.items())
    rows = {number: ["ready"] for number in range(70_000)}
    content.replace(rows.items())
    assert content.digest() == boxes_digest(rows.items())
    with pytest.raises(ValueError, match="twice"):
        content.replace([(1, ["ready"]), (1, ["draining"])])


def steps_of_change_with_peers(servers: int, folder: Path) -> int:
    """Returns the steps of a peer for a server that begins to drain."""
    peers, feed = ThreePeers(folder), EndpointFeed(("box",), 0.0)
    dispatcher = SimpleNamespace(sessions=SimpleNamespace(), now=lambda: 0.0)
    port = NodePort(cast(Dispatcher, dispatcher), feed, lambda: 1e9)
    port.set_listener(peers.peers["n0"])

    def apply(number: int, lines: list[dict[str, Any]]) -> None:
        members = {"index": number, "snapshot": number == 1, "endpoints": lines}
        update = feed.apply_line(msgspec.json.encode({"n": number, "members": members}))
        assert update is not None
        port.on_endpoint_list(0.0, update)

    fixed = {"address": "127.0.0.1:9", "type": "box", "group": 1, "weight": 1, "since_ms": 0}
    apply(1, [{"name": f"s-{number}", "status": "up", **fixed} for number in range(servers)])
    with count_steps() as counter:
        apply(2, [{"name": "s-7", "status": "draining", **fixed}])
    assert peers.peers["n0"].audit.versions.boxes == boxes_digest(port._listed_servers.list_rows())
    return counter.steps


# Guards against a visit of all servers by the peers at each change of the list.
def test_a_change_of_the_list_costs_peers_the_same_in_a_fleet_of_any_size(tmp_path: Path) -> None:
    usual = steps_of_change_with_peers(USUAL_SERVERS, tmp_path)
    assert steps_of_change_with_peers(MOST_SERVERS, tmp_path) <= MAX_GROWTH * usual
