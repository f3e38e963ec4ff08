"""A DASH front and servers that follow one another at an address: each has connections of its own."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any
from unittest.mock import MagicMock

import pytest

from fernweir.front.commands import ChangeRung, ReleaseSession, SendHealthCheck, SetUp
from fernweir.front.dispatcher import ServerRequest
from fernweir.front.endpoint_list import EndpointList
from fernweir.front.server_client import ServerClient
from fernweir.http.client import Pool
from fernweir.http.server import Exchange, Server
from fernweir.http.sse import encode_event
from fernweir.interface import Result
from tests.helpers import SETTINGS
from tests.sockets import HOST, until
from tests.test_endpoint_list import document, entry

OLD, NEW, THIRD = 1, 2, 3  # servers that follow one another at one address
SESSION = "session-1"


class Process:
    """A server's process: it answers all requests, and lists the sessions that it plays on its stream."""

    def __init__(self, sessions: list[str]) -> None:
        self.sessions = sessions
        self.requests: list[tuple[str, str]] = []
        self.streams: list[Exchange] = []
        self.holds = False  # whether requests stay unanswered
        self.server = Server(self._on_exchange)

    @property
    def targets(self) -> list[str]:
        return [target.partition("?")[0] for _, target in self.requests]

    def _on_exchange(self, exchange: Exchange) -> None:
        target = exchange.head.target
        self.requests.append((exchange.method, target))
        if target == "/notes":
            self.streams.append(exchange)
            exchange.stream(200, [("content-type", "text/event-stream")])
            hello = {"boot": "b", "sessions": [[session, 0] for session in self.sessions]}
            exchange.write(encode_event(json.dumps(hello), "hello"))
        elif not self.holds:
            known = not target.startswith("/sessions/") or SESSION in self.sessions
            exchange.respond(200 if known else 404)


class Scene:
    """The client of a front, and the processes that listened at one address, the last of which accepts."""

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self.sessions = MagicMock()
        self.sessions.is_attempt_wanted.return_value = True
        self.sessions.sessions_playing_at.return_value = {SESSION: 0}
        self.sessions.on_server_lost.return_value = 1
        self.core = MagicMock(loop=loop, sessions=self.sessions, channel_ownership=None)
        self.core.now.side_effect = lambda: loop.time() * 1000.0
        codec = MagicMock()
        codec.request.return_value = ServerRequest("POST", "/set-up", (), b"{}")
        self.core.set_up_codecs = {"dash": codec}
        self.pool, self.stream_pool = Pool(), Pool()
        self.list = EndpointList(SETTINGS)
        self.client = ServerClient(self.core, self.pool, self.stream_pool, self.list, lambda: "token")
        self.processes: list[Process] = []
        self.port = 0

    async def start_process(self, *sessions: str) -> Process:
        """Starts a process at the address. An earlier one only keeps its open connections."""
        if self.processes:
            self.processes[-1].server.stop_listening()
        process = Process(list(sessions))
        await process.server.listen(HOST, self.port)
        self.port = process.server.address[1]
        self.processes.append(process)
        return process

    def tell(self, *states: tuple[int, str]) -> None:
        """Applies a change of the endpoint list."""
        entries = [entry(server, host=HOST, port=self.port, state=state) for server, state in states]
        if self.list.version < 0:
            self.list.apply_full(0.0, document(1, *entries))
        else:
            version = self.list.version
            self.list.apply_delta(0.0, document(version + 1, *entries, base=version))

    async def check_health(self, server: int) -> Result:
        """Returns the result of a health check."""
        self.sessions.on_health_check_finished.reset_mock()
        self.client.check_health(SendHealthCheck(server))
        return await self.health_check_result()

    async def health_check_result(self) -> Result:
        finished = self.sessions.on_health_check_finished
        await until(lambda: finished.call_count)
        result: Result = finished.call_args.args[2]
        return result

    async def set_up(self, server: int) -> Result:
        """Returns the result of a set-up."""
        finished = self.sessions.on_attempt_finished
        finished.reset_mock()
        request = MagicMock(session_id=SESSION, protocol="dash")
        self.client.set_up(SetUp(request, 0, server, 0, 2_000.0))
        await until(lambda: finished.call_count)
        result: Result = finished.call_args.args[3].result
        return result

    def close(self) -> None:
        self.client.close()
        self.pool.close()
        self.stream_pool.close()
        for process in self.processes:
            process.server.abort()


def play(scenario: Callable[[Scene, Process], Awaitable[None]], *sessions: str) -> None:
    """Runs a scenario that starts with the first server at the address, which plays the given sessions."""

    async def run() -> None:
        scene = Scene()
        old = await scene.start_process(*sessions)
        scene.tell((OLD, "ready"))
        try:
            await scenario(scene, old)
        finally:
            scene.close()

    asyncio.run(run())


def test_an_idle_connection_to_a_server_is_not_used_for_its_successor() -> None:
    """Set-ups and health checks of the new server reached the removed one, which drains and still runs."""

    async def scenario(scene: Scene, old: Process) -> None:
        assert await scene.check_health(OLD) is Result.OK  # leaves an idle connection
        new = await scene.start_process()
        scene.tell((OLD, "gone"), (NEW, "ready"))
        assert await scene.check_health(NEW) is Result.OK
        assert await scene.set_up(NEW) is Result.OK
        assert old.targets == ["/probe"]
        assert new.targets[:2] == ["/probe", "/set-up"]
        third = await scene.start_process()
        scene.tell((NEW, "gone"), (THIRD, "ready"))
        assert await scene.set_up(THIRD) is Result.OK
        assert "/set-up" in third.targets
        assert new.targets.count("/set-up") == 1

    play(scenario)


@pytest.mark.parametrize("state", ["ready", "draining"])
def test_nothing_new_goes_to_the_successor_of_the_server_it_is_meant_for(state: str) -> None:
    """The list still has the old server, whose address leads to another one now."""

    async def scenario(scene: Scene, old: Process) -> None:
        new = await scene.start_process()
        scene.tell((NEW, state))
        assert await scene.set_up(OLD) is Result.CONNECT_FAILED
        assert await scene.check_health(OLD) is Result.CONNECT_FAILED
        assert new.requests == []
        scene.tell((NEW, "gone"))
        assert await scene.set_up(OLD) is Result.OK

    play(scenario)


def test_the_reply_of_a_successor_to_a_health_check_counts_for_nobody() -> None:
    async def scenario(scene: Scene, old: Process) -> None:
        new = await scene.start_process()
        new.holds = True
        scene.client.check_health(SendHealthCheck(OLD))
        await until(lambda: new.requests)
        scene.tell((NEW, "ready"))
        assert await scene.health_check_result() is Result.CONNECT_FAILED

    play(scenario)


def test_a_release_reaches_the_displaced_server_on_its_open_connection() -> None:
    async def scenario(scene: Scene, old: Process) -> None:
        assert await scene.check_health(OLD) is Result.OK
        new = await scene.start_process()
        scene.tell((OLD, "gone"), (NEW, "ready"))
        scene.client.release(ReleaseSession(SESSION, 0, OLD, "left"))
        await until(lambda: len(old.requests) == 2)
        assert old.requests[1][0] == "DELETE"
        assert new.requests == []

    play(scenario, SESSION)


@pytest.mark.parametrize("successor", ["untold", "told"])
def test_a_removed_server_that_still_plays_keeps_its_session(successor: str) -> None:
    """Another process answered that it does not know the session, which ended it."""

    async def scenario(scene: Scene, old: Process) -> None:
        scene.client.open_notice_stream(OLD)
        await until(lambda: scene.client._streams[OLD].state.hello_received)
        new = await scene.start_process()
        scene.tell((OLD, "gone"))
        if successor == "told":
            scene.tell((NEW, "ready"))
        scene.client.change_rung(ChangeRung(SESSION, 0, OLD, 1))
        # The request of the first attempt meets the successor, or finds no connection.
        await until(lambda: scene.core.log.info.call_count)
        assert scene.core.log.info.call_args.args == ("rung change failed",)
        assert bool(new.requests) is (successor == "untold")
        scene.sessions.on_session_ended.assert_not_called()
        scene.sessions.on_server_lost.assert_not_called()
        ended = {"session": SESSION, "attempt": 0, "reason": "finished"}
        old.streams[0].write(encode_event(json.dumps(ended), "ended"))
        await until(lambda: scene.sessions.on_session_ended.call_count)
        assert scene.sessions.on_session_ended.call_args.args[3] is Result.OK

    play(scenario, SESSION)


def test_the_stream_of_a_displaced_server_is_not_opened_at_its_successor() -> None:
    """Its sessions are lost with the stream, since nothing else leads to their process."""

    async def scenario(scene: Scene, old: Process) -> None:
        scene.client.open_notice_stream(OLD)
        await until(lambda: scene.client._streams[OLD].state.hello_received)
        new = await scene.start_process()
        scene.tell((OLD, "gone"), (NEW, "ready"))
        old.server.abort()
        await until(lambda: scene.sessions.on_server_lost.call_count)
        assert scene.sessions.on_server_lost.call_args.args[1] == OLD
        assert new.requests == []
        assert OLD not in scene.client._streams

    play(scenario, SESSION)


def test_idle_connections_of_an_earlier_server_are_closed_once_another_uses_the_address() -> None:
    """They stayed open for good, since no call of their owner looked at them again."""

    async def run() -> None:
        process = Process([])
        await process.server.listen(HOST, 0)
        pool = Pool()
        replies: list[Any] = []
        pool.request(process.server.address, "GET", "/probe", replies.append, owner=OLD)
        await until(lambda: replies)
        ((key, connections),) = pool._connections.items()
        assert key.owner == OLD
        connections.idle[0].idle_since -= pool.idle_s
        pool.request(process.server.address, "GET", "/probe", replies.append, owner=NEW)
        await until(lambda: len(replies) == 2)
        assert [key.owner for key in pool._connections] == [NEW]
        assert list(pool._owners.values()) == [[NEW]]
        await until(lambda: len(process.server.connections) == 1)
        pool.close()
        process.server.abort()

    asyncio.run(run())


def test_the_list_tells_which_server_an_address_leads_to() -> None:
    endpoint_list = EndpointList(SETTINGS)

    def reassigned() -> list[int]:
        return [server for server in (OLD, NEW) if endpoint_list.is_reassigned(server)]

    endpoint_list.apply_full(0.0, document(1, entry(OLD)))
    endpoint_list.apply_delta(0.0, document(2, entry(NEW), base=1))
    assert reassigned() == [OLD]
    endpoint_list.apply_delta(0.0, document(3, entry(OLD, state="draining"), base=2))
    assert reassigned() == [OLD]  # the same incarnation, so this is no new start
    endpoint_list.apply_delta(0.0, document(4, entry(OLD, boot="b"), base=3))
    assert reassigned() == [NEW]
    endpoint_list.apply_delta(0.0, document(5, entry(OLD, boot="b", state="gone"), base=4))
    assert reassigned() == [OLD]
    assert endpoint_list.is_removed(OLD)
    assert not endpoint_list.is_removed(NEW)
    endpoint_list.apply_full(0.0, document(6, entry(OLD, boot="c")))
    assert reassigned() == []
    assert endpoint_list.is_removed(NEW)
