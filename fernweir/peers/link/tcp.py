"""Connections between fronts: made on demand, one a pair as a rule, for what must come whole and in order.

What waits for a peer is bounded and survives a broken connection; what was being written when it broke is
lost, and so may be what the kernel had taken.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from random import Random

from fernweir.peers.base import Address
from fernweir.peers.link.connection import Connection
from fernweir.peers.link.lanes import Called, Lane, Lanes
from fernweir.peers.link.registry import Due, Proof, Registry
from fernweir.peers.link.rules import Drop, Identity, LinkCounts, LinkRules
from fernweir.peers.wire import frames
from fernweir.peers.wire.bucket import Bucket
from fernweir.peers.wire.conversation import OVER
from fernweir.peers.wire.seal import Kind, Seal

LONGEST = frames.MOST - OVER


class Connections:
    """`seal` knows the lives of others, `address_of` gives a checked address.

    `opened` gets (sender, life, format, body) of what came, `stale` the (sender, life, newest life) of a
    peer whose life is over.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        me: Identity,
        seal: Seal,
        host: str,
        bucket: Bucket,
        rules: LinkRules,
        counts: LinkCounts,
        seed: int,
        address_of: Callable[[Called], Address | None],
        opened: Callable[[str, int, int, bytes], None],
        stale: Callable[[str, int, int, Address | None], None],
    ) -> None:
        self.me, self.life, self.rules, self.counts = me, me.life, rules, counts
        self.unsealed_by_kind: dict[Kind, int] = dict.fromkeys(Kind, 0)
        self.buffer = memoryview(bytearray(65_536))
        self.lanes, self.registry = Lanes(rules), Registry(rules, seal)
        self._loop, self._host, self._bucket, self._seal = loop, host, bucket, seal
        self._address_of, self._opened, self._stale = address_of, opened, stale
        self._dice = Random(f"links {seed}")
        self._retries: dict[Lane, asyncio.TimerHandle] = {}
        self._tasks: dict[asyncio.Task[None], None] = {}
        self._server: asyncio.AbstractServer | None = None
        self._refill: asyncio.TimerHandle | None = None
        self._sweeper: asyncio.TimerHandle | None = None
        self._stopped = False

    def now(self) -> float:
        return self._loop.time() * 1000.0

    async def listen(self, port: int) -> None:
        """OSError if the port is taken."""
        self._server = await self._loop.create_server(lambda: Connection(self, None, None), self._host, port)
        self._sweep()

    # --- sending ---

    def send(self, whom: Called, body: bytes) -> None:
        if len(body) > LONGEST:
            self.counts.drop(Drop.LONG)
        elif self._stopped:
            self.counts.drop(Drop.FORGOTTEN)
        elif (lane := self.lanes.put(whom, body)) is None:
            self.counts.drop(Drop.QUEUE)
        else:
            self._serve(lane)

    def _serve(self, lane: Lane) -> None:
        connection = self.registry.find(lane.whom)
        if connection is not None:
            self._pump(lane, connection)
        elif not lane.queue:  # its last frame went with a connection
            self._end(lane, Drop.LOST)
        elif not lane.calling and lane not in self._retries:
            self._call(lane)

    def _pump(self, lane: Lane, connection: Connection) -> None:
        """Writes what waits, as far as the peer reads and the budget goes; datagrams keep a quarter."""
        now, keep = self.now(), self._bucket.burst / 4
        while connection.writable and (connection.out or lane.queue):
            if not connection.out:
                connection.start(self.lanes.next(lane))
            size = min(len(connection.out), self.rules.piece)
            if not self._bucket.take(now, size, keep):
                self._refill_in(self._bucket.wait_ms(now, size, keep))
                return
            connection.advance(size)
        if not connection.out and not lane.queue:
            self._end(lane, Drop.LOST)

    def _refill_in(self, wait_ms: float) -> None:
        if self._refill is None:
            self._refill = self._loop.call_later(max(wait_ms, 1.0) / 1000.0, self._refilled)

    def _refilled(self) -> None:
        self._refill = None
        lanes = self.lanes.all()
        self._dice.shuffle(lanes)  # none is always the first to be served
        for lane in lanes:
            self._serve(lane)

    def _end(self, lane: Lane, why: Drop) -> None:
        self.counts.drop(why, self.lanes.end(lane))
        self._no_retry(lane)

    def _no_retry(self, lane: Lane) -> None:
        timer = self._retries.pop(lane, None)
        if timer is not None:
            timer.cancel()

    # --- calling ---

    def _call(self, lane: Lane) -> None:
        self._retries.pop(lane, None)
        address = self._address_of(lane.whom)
        if address is None:
            self._end(lane, Drop.ADDRESS)
            return
        lane.calling = True
        self.counts.dialled += 1
        self._make_room()
        task = self._loop.create_task(self._connect(lane, address))
        self._tasks[task] = None
        task.add_done_callback(lambda done: self._tasks.pop(done, None))

    async def _connect(self, lane: Lane, address: Address) -> None:
        made: list[Connection] = []

        def protocol() -> Connection:
            made.append(Connection(self, lane.whom, address))
            return made[0]

        try:
            async with asyncio.timeout(self.rules.connect_ms / 1000.0):
                # From the host where this front listens, so that whatever stands between knows who calls.
                await self._loop.create_connection(protocol, *address, local_addr=(self._host, 0))
        except (OSError, TimeoutError):
            for connection in made:
                connection.abort()
            self._failed(lane)
        else:
            if self._stopped:
                made[0].abort()

    def _failed(self, lane: Lane) -> None:
        """No connection, or one that broke before it was proven or right after."""
        if not self.lanes.has(lane) or lane in self._retries:
            return
        self.counts.refused += 1
        pause_ms = lane.failed(self.now(), self.rules, self._dice)
        if self.registry.find(lane.whom) is not None:  # the peer called meanwhile
            self._serve(lane)
        elif pause_ms is None:
            self._end(lane, Drop.GAVE_UP)
        else:
            self._retries[lane] = self._loop.call_later(pause_ms / 1000.0, self._call, lane)

    # --- what connections tell ---

    def made(self, connection: Connection) -> None:
        if self._stopped:  # it came up in the turn of the stop, which did not see it
            connection.abort()
            return
        if connection.called is None:
            self.counts.accepted += 1
        crowded = self.registry.add(connection)
        if crowded is not None:
            self.counts.crowded += 1
            crowded.abort()

    def proved(self, connection: Connection) -> None:
        """The other side is there now, under its name and life."""
        talk = connection.talk
        proof, earlier = self.registry.prove(connection)
        if proof is Proof.STRANGER:
            self.counts.strangers += 1
            connection.abort()
        elif proof is Proof.OLD_LIFE:
            self.counts.drop(Drop.OLD_LIFE)
            connection.abort()
            self._stale(talk.peer, talk.peer_life, self._seal.newest(talk.peer), None)
        else:
            self.counts.proven += 1
            if earlier is not None:
                earlier.abort()
            for lane in self._lanes_of(connection):
                lane.reached()
                self._no_retry(lane)
                self._serve(lane)
            if connection.called is None:
                self._make_room()

    def _lanes_of(self, connection: Connection) -> Iterator[Lane]:
        for whom in dict.fromkeys((connection.talk.peer, connection.called, connection.address)):
            lane = self.lanes.get(whom) if whom is not None else None
            if lane is not None:
                yield lane

    def heard(self, connection: Connection, body: bytes) -> None:
        talk = connection.talk
        self._opened(talk.peer, talk.peer_life, talk.format, body)

    def ready(self, connection: Connection) -> None:
        """The peer reads again."""
        for lane in self._lanes_of(connection):
            self._serve(lane)

    def garbled(self, connection: Connection) -> None:
        self.counts.drop(Drop.MALFORMED)

    def unsealed(self, connection: Connection, kind: Kind) -> None:
        self.unsealed_by_kind[kind] += 1
        self.counts.drop(Drop.SEALED)

    def lost(self, connection: Connection) -> None:
        self.registry.remove(connection)
        if connection.out:
            connection.out = memoryview(b"")
            self.counts.drop(Drop.LOST)
        if self._stopped:
            return
        # One that breaks as soon as it is made is as good as none.
        lasted = connection.joined and self.now() - connection.since > self.rules.retry_ms
        for lane in self._lanes_of(connection):
            if lasted or self.registry.find(lane.whom) is not None:
                self._serve(lane)
            elif lane.whom == connection.called or not lane.calling:
                self._failed(lane)

    # --- bounds ---

    def _make_room(self) -> None:
        crowded = self.registry.crowded()
        if crowded is not None:
            if crowded.paused or crowded.out:
                crowded.abort()
            else:
                crowded.close()

    def _sweep(self) -> None:
        now = self.now()
        for connection in list(self.registry.all):
            due = self.registry.due(connection, now)
            if due is Due.IDLE:
                connection.close()
            elif due is not Due.NOTHING:
                self.counts.late += due is Due.LATE
                self.counts.stalled += due is Due.STALLED
                connection.abort()
        self._sweeper = self._loop.call_later(self.rules.sweep_ms / 1000.0, self._sweep)

    def forget(self, name: str) -> None:
        """A peer that is dead: what waits for it goes, and its connections."""
        lane = self.lanes.get(name)
        if lane is not None:
            self._end(lane, Drop.FORGOTTEN)
        for connection in list(self.registry.all):
            if connection.talk.peer == name:
                connection.abort()

    def stop(self) -> None:
        """What is written still goes out, what waits is dropped."""
        self._stopped = True
        if self._server is not None:
            self._server.close()
        for timer in (self._refill, self._sweeper):
            if timer is not None:
                timer.cancel()
        for task in list(self._tasks):
            task.cancel()
        for lane in self.lanes.all():
            self._end(lane, Drop.FORGOTTEN)
        for connection in list(self.registry.all):
            if connection.usable and not connection.paused:
                connection.close()
            else:
                connection.abort()
