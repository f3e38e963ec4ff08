"""The program as the platform runs it: configured by variables, in the foreground, with signals."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
from asyncio.subprocess import Process
from pathlib import Path
from types import SimpleNamespace
from typing import Any

from fernweir.node.config import Address
from fernweir.node.jsonl import Message, encode_message
from tests.node_scene import FeedServer, MediaServer, Scene
from tests.sockets import until
from tests.test_node_parts import ROOT, nested
from tests.test_wire import SETTINGS_TEXT

MOST_MB = 64.0


def free_address() -> Address:
    """Returns an address on a separate loopback host, so that the port stays free until a node binds it."""
    high, low = divmod(os.getpid() % 62_500, 250)
    with socket.socket() as sock:
        sock.bind((f"127.77.{high + 1}.{low + 1}", 0))
        host, port = sock.getsockname()
    return host, port


class Outside(Scene):
    """The surroundings of a node that runs in a separate process."""

    def __init__(self, folder: Path) -> None:
        settings = nested(SETTINGS_TEXT.replace("Deadline=3000", "Deadline=600"))
        settings |= {"MachineTypes": ["box"], "Limits": {"ConnectTimeout": 250, "ConnIdle": 15000}}
        self.plain, self.file = settings, folder / "config.json"
        self.address = free_address()
        self.node = SimpleNamespace(client_listener=SimpleNamespace(address=self.address))  # type: ignore[assignment]
        super().__init__(SimpleNamespace(zone_count=4), 128)  # type: ignore[arg-type]

    def configure(self, feed: Address) -> None:
        lines = [self.line(name) for name in self.servers]
        first = {"n": 1, "members": {"index": 1, "snapshot": True, "endpoints": lines}}
        body = {
            "name": "of the file", "listen": "127.0.0.1:1", "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": MOST_MB, "sockets": self.sockets},
            "feed": "{}:{}".format(*feed), "known": {"n": 1, "events": [first]}, "settings": self.plain,
        }  # fmt: skip
        fresh = self.file.with_suffix(".new")
        fresh.write_text(json.dumps(body))
        fresh.replace(self.file)

    async def run(self, command: tuple[str, ...] = ("-B", "-m", "fernweir", "node"), **more: str) -> Process:
        """Starts a node with this command and additional variables."""
        if not self.servers:
            self.servers["s-0"] = MediaServer("s-0")
            await self.servers["s-0"].listen()
        self.configure(free_address())  # nothing listens there
        variables = {
            "ROUTER_CONFIG": str(self.file), "ROUTER_NAME": "n7",
            "ROUTER_LISTEN": "{}:{}".format(*self.address),
        }  # fmt: skip
        return await asyncio.create_subprocess_exec(
            sys.executable, *command, cwd=ROOT, env=variables | more, stderr=asyncio.subprocess.PIPE
        )

    async def wait_for_log_event(self, process: Process, event: str) -> dict[str, Any]:
        """Reads the log up to a line with this event."""
        assert process.stderr is not None
        async with asyncio.timeout(20.0):
            while line := await process.stderr.readline():
                assert line.startswith(b"{"), line
                body: dict[str, Any] = json.loads(line)
                if body["event"] == event:
                    return body
        raise AssertionError(f"the node ended without logging {event!r}")


async def send_endless_line(address: Address) -> None:
    """Sends 60 MB in one line, as fast as it is read. Returns once the node has closed."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        for _ in range(60 * 16):
            writer.write(b"x" * 65_536)
            await writer.drain()
        await reader.read()
    except ConnectionError:
        pass
    finally:
        writer.close()


def most_memory_mb(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1024.0
    raise AssertionError(f"/proc/{pid}/status has no VmHWM")


def test_a_node_from_its_start_to_its_end(tmp_path: Path) -> None:
    async def scenario() -> None:
        outside = Outside(tmp_path)
        process = await outside.run()
        try:
            ready = await outside.wait_for_log_event(process, "ready")
            assert ready["node"] == "n7" and ready["listen"] == list(outside.address)
            viewer = await outside.viewer()
            extras = "home:0;copies:4;top:1;viewer:00000000b4d65521"
            request = outside.setup(left="600", extras=extras)
            viewer.send(request)
            assert (await viewer.answer(request.id)).type == "answer"  # although no feed answers yet

            await asyncio.gather(*(send_endless_line(outside.address) for _ in range(3)))
            half = await outside.viewer()
            half.write(b'{"type":"setup","id":"00000')
            half.close()
            assert most_memory_mb(process.pid) < MOST_MB

            first, second = FeedServer(), FeedServer()
            await first.listen()
            await second.listen()
            outside.configure(first.address)
            process.send_signal(signal.SIGHUP)
            await until(lambda: first.subscriptions == [1])
            outside.configure(second.address)
            process.send_signal(signal.SIGHUP)
            process.send_signal(signal.SIGHUP)  # twice in a row, directly before SIGTERM
            process.send_signal(signal.SIGTERM)
            await outside.wait_for_log_event(process, "stopping")
            late = outside.setup(left="600", extras=extras)
            viewer.send(late, Message("ping", "0" * 15 + "1", cause=0))
            assert (await viewer.answer(late.id)).type == "release"
            await until(lambda: any((one.type, one.cause) == ("pong", 0) for one in viewer.messages))
            await until(lambda: second.subscriptions)
            assert set(second.subscriptions) == {1} and request.id not in outside.ends
            async with asyncio.timeout(20.0):
                assert await process.wait() == 0
            assert not outside.faults
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()

    asyncio.run(scenario())


def test_a_node_that_is_killed_starts_again_at_its_address_and_takes_over(tmp_path: Path) -> None:
    async def scenario() -> None:
        outside = Outside(tmp_path)
        process = await outside.run()
        await outside.wait_for_log_event(process, "ready")
        os.kill(process.pid, signal.SIGKILL)
        await process.wait()
        again = await outside.run()
        try:
            await outside.wait_for_log_event(again, "ready")
            viewer = await outside.viewer()
            extras = "home:0;copies:4;top:1;viewer:00000000b4d65521"
            plays = outside.setup(extras=f"{extras};at:s-0")
            viewer.send(plays)
            server = outside.servers["s-0"]
            await until(lambda: server.writers)  # the node connects to receive messages of the session
            viewer.send(Message("release", plays.id, cause=16))
            await until(lambda: (plays.id, 16) in server.releases)
            assert not server.setups and not outside.answers
        finally:
            again.kill()
            await again.wait()

    asyncio.run(scenario())


def test_a_sighup_before_a_node_is_ready_waits_for_it_and_moves_the_feed(tmp_path: Path) -> None:
    """The file is a pipe, so the process is known to be reading it when the signal arrives."""

    async def scenario() -> None:
        outside = Outside(tmp_path)
        pipe = tmp_path / "pipe"
        os.mkfifo(pipe)
        process = await outside.run(ROUTER_CONFIG=str(pipe))
        try:
            there = await asyncio.to_thread(
                os.open, pipe, os.O_WRONLY
            )  # returns once the process has opened it
            process.send_signal(signal.SIGHUP)
            os.write(there, outside.file.read_bytes())
            os.close(there)
            await outside.wait_for_log_event(process, "ready")
            feed = FeedServer()
            await feed.listen()
            outside.configure(feed.address)
            await asyncio.to_thread(pipe.write_bytes, outside.file.read_bytes())
            await until(lambda: feed.subscriptions == [1])
            process.send_signal(signal.SIGTERM)
            async with asyncio.timeout(20.0):
                assert await process.wait() == 0
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()

    asyncio.run(scenario())


def test_a_node_that_stood_still_over_the_word_of_its_end_answers_what_it_finds(tmp_path: Path) -> None:
    def state(pid: int) -> str:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0]

    async def scenario() -> None:
        outside = Outside(tmp_path)
        process = await outside.run()
        try:
            await outside.wait_for_log_event(process, "ready")
            extras = "home:0;copies:4;top:1;viewer:00000000b4d65521"
            viewer, server = await outside.viewer(), outside.servers["s-0"]
            established, half, on_open, on_new, left = (
                outside.setup(left="600", extras=extras) for _ in range(5)
            )
            viewer.send(established)
            assert (await viewer.answer(established.id)).type == "answer"
            late = await outside.viewer()
            late.write(encode_message(half)[:40])
            server.script = ["silent"] * 9
            process.send_signal(signal.SIGSTOP)
            await until(lambda: state(process.pid) == "T")

            process.send_signal(signal.SIGTERM)
            process.send_signal(signal.SIGHUP)
            process.send_signal(signal.SIGTERM)
            late.write(encode_message(half)[40:])
            viewer.send(on_open, Message("release", established.id, cause=16))
            newcomer, gone = await outside.viewer(), await outside.viewer()
            newcomer.send(on_new)
            gone.send(left)
            gone.close()
            process.send_signal(signal.SIGCONT)

            async with asyncio.timeout(20.0):
                assert await process.wait() == 0
            for connection, request in ((late, half), (viewer, on_open), (newcomer, on_new)):
                assert (await connection.answer(request.id)).type == "release"
            await until(lambda: not server.writers)
            assert (
                (established.id, 16) in server.releases
                and server.active_sessions == set()
                and server.open_set_ups == {}
            )
            assert not outside.faults
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()

    asyncio.run(scenario())
