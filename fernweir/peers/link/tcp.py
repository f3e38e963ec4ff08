"""Connections between fronts: made on demand, one a pair as a rule, for what must come whole and in order.

What waits for a peer is bounded and survives a broken connection; what was being written when it broke is
lost, and so may be what the kernel had taken. Two fronts that call each other in one moment have two
connections until one is idle; each sends on the first that was proven, so order holds.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from random import Random

from fernweir.peers.base import Address
from fernweir.peers.link.connection import Connection
from fernweir.peers.link.rules import Drop, Identity, LinkCounts, LinkRules
from fernweir.peers.wire import frames
from fernweir.peers.wire.bucket import Bucket
from fernweir.peers.wire.conversation import OVER
from fernweir.peers.wire.seal import Kind, Seal

LONGEST = frames.MOST - OVER
Called = str | Address


class _Lane:
    """What waits for one peer, while anything does."""

    __slots__ = ("dialling", "failures", "queue", "retry", "since", "size", "whom")

    def __init__(self, whom: Called) -> None:
        self.whom = whom
        self.queue: deque[bytes] = deque()
        self.size = self.failures = 0
        self.since = 0.0  # of the first failure in a row
        self.dialling = False
        self.retry: asyncio.TimerHandle | None = None


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
        stale: Callable[[str, int, int], None],
    ) -> None:
        self.me, self.life, self.rules, self.counts = me, me.life, rules, counts
        self.unsealed_by_kind: dict[Kind, int] = dict.fromkeys(Kind, 0)
        self.buffer = memoryview(bytearray(65_536))
        self._loop, self._host, self._bucket = loop, host, bucket
        self._seal, self._address_of, self._opened = seal, address_of, opened
        self._stale = stale
        self._dice = Random(f"links {seed}")
        self._lanes: dict[Called, _Lane] = {}
        self._waiting = 0
        self._half: dict[Connection, None] = {}  # accepted and not proven, oldest first
        self._all: dict[Connection, None] = {}
        self._named: dict[str, Connection] = {}
        self._dialled: dict[Address, Connection] = {}
        self._tasks: set[asyncio.Task[None]] = set()
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
        lane = self._lanes.get(whom)
        if len(body) > LONGEST:
            self.counts.drop(Drop.LONG)
        elif self._stopped:
            self.counts.drop(Drop.FORGOTTEN)
        elif self._waiting + len(body) > self.rules.queues or (
            lane.size + len(body) > self.rules.queue if lane else len(self._lanes) >= self.rules.peers
        ):
            self.counts.drop(Drop.QUEUE)
        else:
            if lane is None:
                lane = self._lanes[whom] = _Lane(whom)
            lane.queue.append(body)
            lane.size += len(body)
            self._waiting += len(body)
            self._serve(lane)

    def _serve(self, lane: _Lane) -> None:
        connection = self._connection(lane.whom)
        if connection is not None:
            self._pump(lane, connection)
        elif not lane.queue:  # its last frame went with a connection
            self._drop_lane(lane, Drop.LOST)
        elif not lane.dialling and lane.retry is None:
            self._dial(lane)

    def _connection(self, whom: Called) -> Connection | None:
        found = self._named.get(whom) if isinstance(whom, str) else self._dialled.get(whom)
        if found is None or not found.usable:
            return None
        if found.talk.peer_life < self._seal.newest(found.talk.peer):  # its name lives on elsewhere
            found.abort()
            return None
        return found

    def _pump(self, lane: _Lane, connection: Connection) -> None:
        """Writes what waits, as far as the peer reads and the budget goes; datagrams keep a quarter."""
        now, keep = self.now(), self._bucket.burst / 4
        while connection.writable and (connection.out or lane.queue):
            if not connection.out:
                body = lane.queue.popleft()
                lane.size -= len(body)
                self._waiting -= len(body)
                connection.start(body)
            size = min(len(connection.out), self.rules.piece)
            if not self._bucket.take(now, size, keep):
                self._refill_in(self._bucket.wait_ms(now, size, keep))
                return
            connection.advance(size)
        if not connection.out and not lane.queue and self._lanes.get(lane.whom) is lane:
            del self._lanes[lane.whom]

    def _refill_in(self, wait_ms: float) -> None:
        if self._refill is None:
            self._refill = self._loop.call_later(max(wait_ms, 1.0) / 1000.0, self._refilled)

    def _refilled(self) -> None:
        self._refill = None
        lanes = list(self._lanes.values())
        self._dice.shuffle(lanes)  # none is always the first to be served
        for lane in lanes:
            self._serve(lane)

    def _drop_lane(self, lane: _Lane, why: Drop) -> None:
        self.counts.drop(why, len(lane.queue))
        self._waiting -= lane.size
        if lane.retry is not None:
            lane.retry.cancel()
        if self._lanes.get(lane.whom) is lane:
            del self._lanes[lane.whom]

    # --- calling ---

    def _dial(self, lane: _Lane) -> None:
        lane.retry = None
        address = self._address_of(lane.whom)
        if address is None:
            self._drop_lane(lane, Drop.ADDRESS)
            return
        lane.dialling = True
        self.counts.dialled += 1
        self._make_room()
        task = self._loop.create_task(self._connect(lane, address))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, lane: _Lane, address: Address) -> None:
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

    def _failed(self, lane: _Lane) -> None:
        """No connection, or one that broke before it was proven."""
        if self._lanes.get(lane.whom) is not lane or lane.retry is not None:
            return
        now, rules = self.now(), self.rules
        lane.dialling = False
        self.counts.refused += 1
        if self._connection(lane.whom) is not None:  # the peer called meanwhile
            self._serve(lane)
            return
        if lane.failures == 0:
            lane.since = now
        lane.failures += 1
        if now - lane.since > rules.give_up_ms:
            self._drop_lane(lane, Drop.GAVE_UP)
            return
        most = min(rules.retry_most_ms, rules.retry_ms * 2 ** min(lane.failures - 1, 16))
        lane.retry = self._loop.call_later(self._dice.uniform(most / 2, most) / 1000.0, self._dial, lane)

    # --- what connections tell ---

    def made(self, connection: Connection) -> None:
        self._all[connection] = None
        if connection.called is None:
            self.counts.accepted += 1
            self._half[connection] = None
            if len(self._half) > self.rules.half_open:
                self.counts.crowded += 1
                oldest = next(iter(self._half))
                del self._half[oldest]
                oldest.abort()

    def proved(self, connection: Connection) -> None:
        """The other side is there now, under its name and life."""
        self._half.pop(connection, None)
        talk = connection.talk
        if isinstance(connection.called, str) and connection.called != talk.peer:
            self.counts.strangers += 1
            connection.abort()
            return
        known = self._named.get(talk.peer)
        if self._seal.meet(talk.peer, talk.peer_life) is None:
            self.counts.drop(Drop.OLD_LIFE)
            connection.abort()
            self._stale(talk.peer, talk.peer_life, self._seal.newest(talk.peer))
            return
        connection.joined = True
        if known is not None and known.talk.peer_life < talk.peer_life:
            known.abort()
        self.counts.proven += 1
        if known is None or known.closed or connection.since - known.since > self.rules.hello_ms:
            # A peer that calls again long after has lost the other one, though this side was not told.
            self._named[talk.peer] = connection
        if connection.address is not None:
            self._dialled[connection.address] = connection
        for whom in {talk.peer, connection.called}:
            lane = self._lanes.get(whom) if whom is not None else None
            if lane is not None:
                lane.dialling, lane.failures = False, 0
                if lane.retry is not None:
                    lane.retry.cancel()
                    lane.retry = None
                self._serve(lane)
        if connection.called is None:
            self._make_room()

    def heard(self, connection: Connection, body: bytes) -> None:
        talk = connection.talk
        self._opened(talk.peer, talk.peer_life, talk.format, body)

    def ready(self, connection: Connection) -> None:
        """The peer reads again."""
        for whom in {connection.talk.peer, connection.called, connection.address}:
            lane = self._lanes.get(whom) if whom is not None else None
            if lane is not None:
                self._serve(lane)

    def garbled(self, connection: Connection) -> None:
        self.counts.drop(Drop.MALFORMED)

    def unsealed(self, connection: Connection, kind: Kind) -> None:
        self.unsealed_by_kind[kind] += 1
        self.counts.drop(Drop.SEALED)

    def lost(self, connection: Connection) -> None:
        self._all.pop(connection, None)
        self._half.pop(connection, None)
        talk, address = connection.talk, connection.address
        if connection.out:
            connection.out = memoryview(b"")
            self.counts.drop(Drop.LOST)
        if self._named.get(talk.peer) is connection:
            del self._named[talk.peer]
            for other in self._all:
                if other.usable and other.talk.peer == talk.peer:
                    self._named.setdefault(talk.peer, other)
        if address is not None and self._dialled.get(address) is connection:
            del self._dialled[address]
        if self._stopped:
            return
        for whom in {talk.peer, connection.called}:
            lane = self._lanes.get(whom) if whom is not None else None
            if lane is None:
                continue
            if connection.joined and self.now() - connection.since > self.rules.retry_ms:
                self._serve(lane)
            elif whom == connection.called:
                self._failed(lane)

    # --- bounds ---

    def _make_room(self) -> None:
        """The connection not used longest goes when there are too many."""
        most = self.rules.connections
        usable = [one for one in self._all if one.usable]
        if len(usable) >= most:
            oldest = min(usable, key=lambda one: one.used)
            if oldest.paused or oldest.out:
                oldest.abort()
            else:
                oldest.close()

    def _sweep(self) -> None:
        now, rules = self.now(), self.rules
        for connection in list(self._all):
            if connection.closed:  # orderly, and the last of it is not out
                if now - connection.still_since > rules.stalled_ms:
                    connection.abort()
            elif not connection.joined:
                if now - connection.since > rules.hello_ms:
                    self.counts.late += 1
                    connection.abort()
            elif connection.paused:
                if now - connection.still_since > rules.stalled_ms:
                    self.counts.stalled += 1
                    connection.abort()
            # Whoever called closes first, so that seldom both do, or one while the other sends.
            elif now - connection.used > rules.idle_ms * (1 if connection.called is not None else 2):
                connection.close()
        self._sweeper = self._loop.call_later(rules.sweep_ms / 1000.0, self._sweep)

    def forget(self, name: str) -> None:
        """A peer that is dead: what waits for it goes, and its connections."""
        lane = self._lanes.get(name)
        if lane is not None:
            self._drop_lane(lane, Drop.FORGOTTEN)
        for connection in list(self._all):
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
        for lane in list(self._lanes.values()):
            self._drop_lane(lane, Drop.FORGOTTEN)
        for connection in list(self._all):
            if connection.usable and not connection.paused:
                connection.close()
            else:
                connection.abort()
