"""Server and client over loopback: order, back-pressure, and outcomes of requests."""

from __future__ import annotations

import asyncio
import errno
import socket
import struct
import subprocess
import sys
from collections.abc import Awaitable, Callable
from dataclasses import replace
from unittest.mock import patch

import pytest

from fernweir.http.client import ClientConnection, Outcome, Pool, Reply
from fernweir.http.parse import Limits
from fernweir.http.server import Exchange, Server, ServerLimits
from fernweir.http.sse import EventReader, encode_event
from fernweir.rehearsal.hostile import raw
from fernweir.standin.viewer import fetch
from tests.sockets import until

GET = b"GET /%s HTTP/1.1\r\nHost: a\r\n\r\n"


def play(
    scenario: Callable[[Server, list[Exchange]], Awaitable[None]], limits: ServerLimits | None = None
) -> None:
    """Runs a scenario against a server whose requests the scenario answers."""

    async def run() -> None:
        exchanges: list[Exchange] = []
        server = Server(exchanges.append, limits)
        await server.listen("127.0.0.1", 0)
        try:
            await scenario(server, exchanges)
        finally:
            server.abort()

    asyncio.run(run())


def test_pipelined_requests_are_answered_in_request_order() -> None:
    async def scenario(server: Server, exchanges: list[Exchange]) -> None:
        answer = asyncio.ensure_future(
            raw(server.address, GET % b"1" + GET % b"2" + GET % b"3", 5, half_close=True)
        )
        await until(lambda: len(exchanges) == 3)
        for exchange in reversed(exchanges):
            exchange.respond(200, [], exchange.head.target.encode())
        seen, closed = await answer
        assert closed and [seen.index(b"/1") < seen.index(b"/2") < seen.index(b"/3")] == [True]
        with pytest.raises(RuntimeError, match="once"):
            exchanges[0].respond(200)

    play(scenario)


def test_a_fault_is_answered_after_earlier_requests() -> None:
    async def scenario(server: Server, exchanges: list[Exchange]) -> None:
        answer = asyncio.ensure_future(raw(server.address, GET % b"1" + b"BAD\r\n\r\n", 5))
        await until(lambda: len(exchanges) == 1)
        exchanges[0].respond(200, [], b"first")
        seen, closed = await answer
        assert closed and seen.count(b"HTTP/1.1") == 2 and seen.index(b"first") < seen.index(b" 400 ")

    play(scenario)


def test_nothing_is_answered_behind_an_announced_close() -> None:
    async def scenario(server: Server, exchanges: list[Exchange]) -> None:
        gone: list[int] = []
        answer = asyncio.ensure_future(raw(server.address, GET % b"1" + GET % b"2", 5))
        await until(lambda: len(exchanges) == 2)
        exchanges[1].on_connection_lost = lambda: gone.append(2)
        exchanges[0].respond(503, [("connection", "close")], b"")
        seen, closed = await answer
        assert closed and seen.count(b"HTTP/1.1") == 1 and gone == [2]

    play(scenario)


def test_head_and_continue() -> None:
    async def scenario(server: Server, exchanges: list[Exchange]) -> None:
        head = b"HEAD / HTTP/1.1\r\nHost: a\r\n\r\n"
        put = b"PUT / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nab"
        answer = asyncio.ensure_future(raw(server.address, head + put, 5, half_close=True))
        await until(lambda: len(exchanges) == 2)
        exchanges[0].respond(200, [], b"body")
        exchanges[1].respond(204)
        seen, _ = await answer
        assert b"content-length: 4\r\n\r\nHTTP/1.1 204" in seen and exchanges[1].body == b"ab"
        alone, _ = await asyncio.gather(raw(server.address, put[:-2], 0.2), asyncio.sleep(0))
        assert alone[0].startswith(b"HTTP/1.1 100 Continue")

    play(scenario)


def test_slow_senders_idle_ones_and_slow_readers_are_ended() -> None:
    limits = ServerLimits(head_s=0.05, body_s=0.05, idle_s=0.1, stalled_s=0.1)

    async def scenario(server: Server, exchanges: list[Exchange]) -> None:
        partial, slow_body = (
            b"GET / HTTP/1.1\r\nHo",
            b"PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n",
        )
        for data in (partial, slow_body):
            seen, closed = await raw(server.address, data, 5)
            assert closed and seen.startswith(b"HTTP/1.1 408")
        assert await raw(server.address, b"", 5) == (b"", True)
        reader = socket.create_connection(server.address)  # never reads
        reader.sendall(GET % b"big")
        await until(lambda: len(exchanges) == 1)
        exchanges[0].respond(200, [], b"x" * 20_000_000)
        await until(lambda: exchanges[0].connection_lost)
        reader.close()

    play(scenario, limits)


def test_a_reader_that_stalls_stops_being_read() -> None:
    """Responses pile up for a client that doesn't read, so its further requests wait in its own kernel."""

    async def scenario(server: Server, exchanges: list[Exchange]) -> None:
        client = socket.create_connection(server.address)
        client.setblocking(False)
        client.send((GET % b"1") * 100)
        await until(lambda: len(exchanges) >= 32)
        for _ in range(20):
            await asyncio.sleep(0)
        taken = len(exchanges)
        assert taken < 100
        for exchange in list(exchanges):
            exchange.respond(200)
        await until(lambda: len(exchanges) > taken)
        client.close()

    play(scenario, replace(ServerLimits(), pipeline=32, parse=Limits()))


@pytest.mark.parametrize("answered_before", [True, False])
def test_a_handler_is_notified_once_of_a_half_close_and_may_still_answer(answered_before: bool) -> None:
    async def scenario(server: Server, exchanges: list[Exchange]) -> None:
        left: list[str] = []
        server.handler = lambda exchange: (exchanges.append(exchange), watch(exchange))

        def watch(exchange: Exchange) -> None:
            exchange.on_half_closed = lambda: left.append(exchange.head.target)

        reader, writer = await asyncio.open_connection(*server.address)
        writer.write(GET % b"1" + GET % b"2" + GET % b"3")
        await until(lambda: len(exchanges) == 2)  # no more than two are accepted at once
        assert not exchanges[0].half_closed and left == []
        if answered_before:
            exchanges[1].respond(200, [], b"second")  # waits behind the first, and still counts as answered
        writer.write_eof()
        if not answered_before:  # nothing is read while the third waits
            exchanges[1].respond(200, [], b"second")
        exchanges[0].respond(200, [], b"first")
        await until(lambda: len(exchanges) == 3)
        await until(lambda: exchanges[2].half_closed)
        exchanges[2].respond(200, [], b"third")
        seen = await reader.read()
        assert [seen.index(b"first") < seen.index(b"second") < seen.index(b"third")] == [True]
        assert left in (["/3"], []) and seen.count(b"HTTP/1.1 200") == 3
        writer.close()

    play(scenario, replace(ServerLimits(), pipeline=2))


def test_a_reset_after_a_half_close_is_reported_after_it() -> None:
    async def scenario(server: Server, exchanges: list[Exchange]) -> None:
        events: list[str] = []
        client = socket.create_connection(server.address)
        client.sendall(GET % b"1")
        await until(lambda: len(exchanges) == 1)
        exchanges[0].on_half_closed = lambda: events.append("left")
        exchanges[0].on_connection_lost = lambda: events.append("gone")
        client.shutdown(socket.SHUT_WR)
        await until(lambda: events == ["left"])
        assert exchanges[0].half_closed and not exchanges[0].connection_lost
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        client.close()  # a reset
        exchanges[0].respond(
            200
        )  # asyncio reads no more after a half-close, so only this write detects the reset
        await until(lambda: exchanges[0].connection_lost)
        assert events == ["left", "gone"]

    play(scenario)


@pytest.mark.parametrize("reads", [True, False])
def test_a_response_that_could_not_be_written_completely_is_reported(reads: bool) -> None:
    async def scenario(server: Server, exchanges: list[Exchange]) -> None:
        events: list[str] = []
        client = socket.create_connection(server.address)
        client.setblocking(False)
        client.send(GET % b"1")
        await until(lambda: len(exchanges) == 1)
        exchanges[0].on_connection_lost = lambda: events.append("gone")
        exchanges[0].respond(
            200, [("connection", "close")], b"x" * 20_000_000
        )  # more than the kernel accepts
        got = 0
        while reads and got < 20_000_000:
            try:
                got += len(client.recv(1_000_000))
            except BlockingIOError:
                await asyncio.sleep(0)
        if not reads:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        client.close()
        await until(lambda: exchanges[0].connection_lost)
        assert events == ([] if reads else ["gone"])

    play(scenario)


IDLERS = """
import socket, sys
socks = []
for _ in range(10_000):
    sock = socket.create_connection(("127.0.0.1", int(sys.argv[1])))
    socks.append(sock)
sys.stdin.read()
"""


def test_ten_thousand_idle_connections_cost_nobody_an_answer() -> None:
    async def scenario(server: Server, exchanges: list[Exchange]) -> None:
        # The clients run in a process of their own, as one process may not open so many descriptors.
        command = [sys.executable, "-c", IDLERS, str(server.address[1])]
        with subprocess.Popen(command, stdin=subprocess.PIPE) as idlers:
            await until(lambda: len(server.connections) >= 10_000, 60.0)
            answer = asyncio.ensure_future(raw(server.address, GET % b"1", 5, half_close=True))
            await until(lambda: len(exchanges) == 1)
            exchanges[0].respond(200, [], b"here")
            assert b"here" in (await answer)[0] and len(server.connections) >= 10_000
            idlers.kill()

    play(scenario)


# --- the client ---


async def call(origin: tuple[str, int], pool: Pool | None = None, timeout_s: float = 5.0) -> Reply:
    mine = pool or Pool(connect_s=2.0)
    try:
        return await fetch(mine, origin, "GET", "/", timeout_s)
    finally:
        if pool is None:
            mine.close()


class MisbehavingServer(asyncio.Protocol):
    """Answers a request with given bytes and then closes, resets, or stays silent."""

    def __init__(self, answer: bytes, then: str) -> None:
        self.answer, self.then = answer, then

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.transport.write(self.answer)
        if self.then == "close":
            self.transport.close()


@pytest.mark.parametrize(
    ("answer", "then", "outcome"),
    [
        (b"", "close", Outcome.RESET),
        (b"", "still", Outcome.SILENT),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", "close", Outcome.CUT),
        (b"HTTP/1.1 200 OK\r\nContent-Le", "close", Outcome.CUT),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", "still", Outcome.STALLED),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", "close", Outcome.CUT),
        (b"\x15\x03\x01 not http\r\n\r\n", "close", Outcome.GARBLED),
        (b"HTTP/1.1 200 OK\r\n\r\nto the end", "close", Outcome.ANSWERED),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nab", "still", Outcome.ANSWERED),
    ],
)
def test_outcomes_of_calls_are_distinguished(answer: bytes, then: str, outcome: Outcome) -> None:
    async def run() -> None:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: MisbehavingServer(answer, then), "127.0.0.1", 0)
        reply = await call(server.sockets[0].getsockname()[:2], timeout_s=0.2 if then == "still" else 5.0)
        assert reply.outcome is outcome and not reply.outcome.never_ran
        server.close()

    asyncio.run(run())


def test_a_call_that_was_never_sent_is_reported_as_such() -> None:
    async def run() -> None:
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            port = free.getsockname()[1]
        assert (await call(("127.0.0.1", port))).outcome is Outcome.REFUSED
        # A listener with a full queue accepts no connection: the timeout expires before a byte is written.
        with socket.socket() as deaf:
            deaf.bind(("127.0.0.1", 0))
            deaf.listen(0)
            fillers = [socket.socket() for _ in range(4)]
            for one in fillers:
                one.setblocking(False)
                one.connect_ex(deaf.getsockname())
            reply = await call(deaf.getsockname(), timeout_s=0.2)
            assert reply.outcome is Outcome.UNSENT and reply.outcome.never_ran
            for one in fillers:
                one.close()

    asyncio.run(run())


@pytest.mark.parametrize("how", ["time ends", "cancelled", "lost"])
def test_a_connection_given_up_in_the_iteration_in_which_it_opens_carries_nothing(how: str) -> None:
    """In each case the connection is open, and the coroutine that requested it has not resumed yet."""

    async def run() -> None:
        loop = asyncio.get_running_loop()
        heard: list[bytes] = []
        ended: list[Exception | None] = []

        class Listener(asyncio.Protocol):
            def data_received(self, data: bytes) -> None:
                heard.append(data)

            def connection_lost(self, exc: Exception | None) -> None:
                ended.append(exc)

        server = await loop.create_server(Listener, "127.0.0.1", 0)
        pool, got, limits, made = Pool(), [], [], ClientConnection.connection_made

        def timeout(within_s: float) -> asyncio.Timeout:
            limits.append(asyncio.Timeout(None))
            return limits[-1]

        def crossing(connection: ClientConnection, transport: asyncio.BaseTransport) -> None:
            made(connection, transport)
            patched.stop()
            if how == "time ends":
                limits[0]._on_timeout()
            elif how == "cancelled":
                pool.close()
            else:
                transport.abort()

        patched = patch.object(ClientConnection, "connection_made", crossing)
        patched.start()
        with patch("fernweir.http.client.asyncio.timeout", timeout):
            pool.request(server.sockets[0].getsockname()[:2], "GET", "/", got.append)
            await until(lambda: ended and (got or heard))
        if how == "lost":  # none of it was written, and it is sent on a connection of its own
            assert heard and got == [] and len(ended) == 1
        else:
            assert [reply.outcome.never_ran for reply in got] == [True] and heard == []
        left = [(one.connecting, len(one.queue), len(one.open)) for one in pool._connections.values()]
        assert left == ([(0, 0, 1)] if how == "lost" else [])
        pool.close()
        server.close()

    asyncio.run(run())


@pytest.mark.parametrize(
    ("error", "outcome"),
    [
        (ConnectionRefusedError(errno.ECONNREFUSED, "refused"), Outcome.REFUSED),
        (OSError(errno.EMFILE, "too many open files"), Outcome.UNREACHED),
        (OSError(errno.EHOSTUNREACH, "no route"), Outcome.UNREACHED),
        (ConnectionResetError(errno.ECONNRESET, "reset while new"), Outcome.UNREACHED),
        (TimeoutError(), Outcome.UNREACHED),
        (UnicodeError("label too long"), Outcome.UNREACHED),
    ],
)
def test_only_a_refused_connection_proves_that_the_port_is_closed(error: Exception, outcome: Outcome) -> None:
    async def run() -> None:
        pool, loop = Pool(), asyncio.get_running_loop()
        with patch.object(loop, "create_connection", side_effect=error):
            reply = await call(("127.0.0.1", 9), pool)
        assert reply.outcome is outcome and reply.outcome.never_ran
        assert not pool._connections  # nothing connects, nothing waits

    asyncio.run(run())


def test_a_call_no_longer_wanted_when_its_turn_comes_is_not_sent() -> None:
    async def scenario(server: Server, exchanges: list[Exchange]) -> None:
        pool, done, wanted = Pool(per_origin=1), [], [True]
        for _ in range(2):
            pool.request(server.address, "GET", "/", done.append, wanted=lambda: wanted[0])
        await until(lambda: len(exchanges) == 1)
        wanted[0] = False
        exchanges[0].respond(200)
        await until(lambda: len(done) == 2)
        assert [reply.outcome for reply in done] == [Outcome.ANSWERED, Outcome.UNWANTED]
        assert len(exchanges) == 1
        pool.close()

    play(scenario)


def test_connections_are_reused_and_cancelled_calls_abort_theirs() -> None:
    async def scenario(server: Server, exchanges: list[Exchange]) -> None:
        server.handler = lambda exchange: exchanges.append(exchange) or exchange.respond(200, [], b"ok")
        pool = Pool()
        for _ in range(3):
            assert (await call(server.address, pool)).body == b"ok"
        assert len({exchange.connection_id for exchange in exchanges}) == 1
        server.handler = exchanges.append
        ends: list[Reply] = []
        waiting = pool.request(server.address, "GET", "/", ends.append)
        await until(lambda: len(exchanges) == 4)
        waiting.cancel()
        waiting.cancel()
        await until(lambda: exchanges[3].connection_lost)
        assert [reply.outcome for reply in ends] == [Outcome.CANCELLED]
        pool.close()

    play(scenario)


def test_a_stream_of_events_outlasts_the_limit_of_a_body() -> None:
    async def scenario(server: Server, exchanges: list[Exchange]) -> None:
        pool, reader, got, ends = Pool(limits=Limits(body=1000)), EventReader(), [], []
        pool.request(
            server.address, "GET", "/", ends.append, on_data=lambda data: got.extend(reader.feed(data))
        )
        await until(lambda: len(exchanges) == 1)
        exchanges[0].stream(200, [("content-type", "text/event-stream")])
        for number in range(100):
            exchanges[0].write(encode_event("x" * 50, "e", str(number)))
        await until(lambda: len(got) == 100)
        exchanges[0].finish_stream()
        await until(lambda: len(ends) == 1)
        assert ends[0].outcome is Outcome.ANSWERED and reader.last_id == "99"
        pool.close()

    play(scenario)


def test_a_watcher_that_does_not_read_is_dropped() -> None:
    async def scenario(server: Server, exchanges: list[Exchange]) -> None:
        client = socket.create_connection(server.address)
        client.sendall(GET % b"1")
        await until(lambda: len(exchanges) == 1)
        exchanges[0].stream(200)
        sent = 0
        while exchanges[0].write(b"x" * 65_536) and sent < 2000:
            sent += 1
            await asyncio.sleep(0)
        assert sent < 2000
        await until(lambda: exchanges[0].connection_lost)
        client.close()

    play(scenario)
