"""Connections between fronts: opened on demand, normally one per pair, for complete and ordered delivery.

Waiting bodies are bounded and survive a lost connection. A body that was being written when the connection
was lost is lost too, and so may be bytes that the kernel had already accepted.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from random import Random

from fernweir.peers.base import Address
from fernweir.peers.link.connection import Connection
from fernweir.peers.link.registry import Due, Proof, Registry
from fernweir.peers.link.rules import Drop, Identity, LinkCounts, LinkRules
from fernweir.peers.link.send_queues import PeerTarget, SendQueue, SendQueues
from fernweir.peers.wire import frames
from fernweir.peers.wire.bucket import TokenBucket
from fernweir.peers.wire.conversation import SEAL_OVERHEAD_BYTES
from fernweir.peers.wire.seal import RefusalKind, Seal

MAX_BODY_BYTES = frames.MAX_FRAME_BYTES - SEAL_OVERHEAD_BYTES


class Connections:
    """All connections of one front. `seal` holds the incarnations of peers, `address_of` validates addresses.
    `name_at` returns the name of the peer that is known to have an address now, or None.

    `on_body` is called for each frame with (sender, incarnation, format, body). `on_stale` is called for a
    peer whose incarnation has been superseded, with (sender, incarnation, newest incarnation, None).
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        identity: Identity,
        seal: Seal,
        host: str,
        bucket: TokenBucket,
        rules: LinkRules,
        counts: LinkCounts,
        seed: int,
        address_of: Callable[[PeerTarget], Address | None],
        on_body: Callable[[str, int, int, bytes], None],
        on_stale: Callable[[str, int, int, Address | None], None],
        name_at: Callable[[Address], str | None],
    ) -> None:
        self.identity, self.incarnation, self.rules, self.counts = (
            identity,
            identity.incarnation,
            rules,
            counts,
        )
        self.seal_errors_by_kind: dict[RefusalKind, int] = dict.fromkeys(RefusalKind, 0)
        self.buffer = memoryview(bytearray(65_536))
        self.send_queues, self.registry = SendQueues(rules), Registry(rules, seal, name_at)
        self._loop, self._host, self._bucket, self._seal = loop, host, bucket, seal
        self._address_of, self._on_body, self._on_stale = address_of, on_body, on_stale
        self._rng = Random(f"links {seed}")
        self._retries: dict[SendQueue, asyncio.TimerHandle] = {}
        self._tasks: dict[asyncio.Task[None], None] = {}
        self._server: asyncio.AbstractServer | None = None
        self._refill: asyncio.TimerHandle | None = None
        self._sweeper: asyncio.TimerHandle | None = None
        self._stopped = False

    def now(self) -> float:
        return self._loop.time() * 1000.0

    async def listen(self, port: int) -> None:
        """Listens on a port. Raises OSError if the port is in use."""
        self._server = await self._loop.create_server(lambda: Connection(self, None, None), self._host, port)
        self._sweep()

    # --- sending ---

    def send(self, target: PeerTarget, body: bytes) -> None:
        if len(body) > MAX_BODY_BYTES:
            self.counts.drop(Drop.LONG)
        elif self._stopped:
            self.counts.drop(Drop.FORGOTTEN)
        elif (send_queue := self.send_queues.put(target, body)) is None:
            self.counts.drop(Drop.QUEUE)
        else:
            self._process_queue(send_queue)

    def _process_queue(self, send_queue: SendQueue) -> None:
        connection = self.registry.find(send_queue.target)
        if connection is not None:
            self._write_queue(send_queue, connection)
        elif not send_queue.bodies:  # its last frame was lost with a connection
            self._drop_queue(send_queue, Drop.LOST)
        elif not send_queue.connecting and send_queue not in self._retries:
            self._dial(send_queue)

    def _write_queue(self, send_queue: SendQueue, connection: Connection) -> None:
        """Writes waiting bodies as far as the peer reads and the byte budget allows.

        A quarter of the burst stays reserved for datagrams.
        """
        now, reserve_bytes = self.now(), self._bucket.burst / 4
        while connection.is_writable and (connection.unsent or send_queue.bodies):
            if not connection.unsent:
                connection.start(self.send_queues.next(send_queue))
            size = min(len(connection.unsent), self.rules.write_chunk_bytes)
            if not self._bucket.try_consume(now, size, reserve_bytes):
                self._schedule_refill(self._bucket.wait_ms(now, size, reserve_bytes))
                return
            connection.advance(size)
        if not connection.unsent and not send_queue.bodies:
            self._drop_queue(send_queue, Drop.LOST)

    def _schedule_refill(self, wait_ms: float) -> None:
        if self._refill is None:
            self._refill = self._loop.call_later(max(wait_ms, 1.0) / 1000.0, self._on_refill)

    def _on_refill(self) -> None:
        self._refill = None
        send_queues = self.send_queues.all()
        self._rng.shuffle(send_queues)  # so that no queue always comes first
        for send_queue in send_queues:
            self._process_queue(send_queue)

    def _drop_queue(self, send_queue: SendQueue, reason: Drop) -> None:
        self.counts.drop(reason, self.send_queues.remove(send_queue))
        self._cancel_retry(send_queue)

    def _cancel_retry(self, send_queue: SendQueue) -> None:
        timer = self._retries.pop(send_queue, None)
        if timer is not None:
            timer.cancel()

    # --- dialling ---

    def _dial(self, send_queue: SendQueue) -> None:
        self._retries.pop(send_queue, None)
        address = self._address_of(send_queue.target)
        if address is None:
            self._drop_queue(send_queue, Drop.ADDRESS)
            return
        send_queue.connecting = True
        self.counts.dialled += 1
        self._evict_if_full()
        task = self._loop.create_task(self._connect(send_queue, address))
        self._tasks[task] = None
        task.add_done_callback(lambda done: self._tasks.pop(done, None))

    async def _connect(self, send_queue: SendQueue, address: Address) -> None:
        created: list[Connection] = []

        def protocol() -> Connection:
            created.append(Connection(self, send_queue.target, address))
            return created[0]

        try:
            async with asyncio.timeout(self.rules.connect_timeout_ms / 1000.0):
                # Binds to the listening host, so that anything on the path can identify the caller.
                await self._loop.create_connection(protocol, *address, local_addr=(self._host, 0))
        except (OSError, TimeoutError):
            for connection in created:
                connection.abort()
            self._on_connect_failed(send_queue)
        else:
            if self._stopped:
                created[0].abort()

    def _on_connect_failed(self, send_queue: SendQueue) -> None:
        """Handles a failed dial, or a connection that was lost before the peer was proven or right after."""
        if not self.send_queues.has(send_queue) or send_queue in self._retries:
            return
        self.counts.failed_dials += 1
        backoff_ms = send_queue.on_connect_failed(self.now(), self.rules, self._rng)
        if self.registry.find(send_queue.target) is not None:  # the peer has connected meanwhile
            self._process_queue(send_queue)
        elif backoff_ms is None:
            self._drop_queue(send_queue, Drop.GAVE_UP)
        else:
            self._retries[send_queue] = self._loop.call_later(backoff_ms / 1000.0, self._dial, send_queue)

    # --- callbacks of connections ---

    def on_connection_made(self, connection: Connection) -> None:
        if self._stopped:  # opened in the loop iteration in which `stop` ran, which missed it
            connection.abort()
            return
        if connection.dialled_target is None:
            self.counts.accepted += 1
        evicted = self.registry.add(connection)
        if evicted is not None:
            self.counts.evicted += 1
            evicted.abort()

    def on_peer_proven(self, connection: Connection) -> None:
        """The peer proved its name and incarnation."""
        conversation = connection.conversation
        proof, superseded = self.registry.register_proven(connection)
        if proof is Proof.IDENTITY_MISMATCH:
            self.counts.identity_mismatches += 1
            connection.abort()
        elif proof is Proof.OLD_INCARNATION:
            self.counts.drop(Drop.OLD_INCARNATION)
            connection.abort()
            self._on_stale(
                conversation.peer,
                conversation.peer_incarnation,
                self._seal.newest_incarnation(conversation.peer),
                None,
            )
        else:
            self.counts.proven += 1
            if superseded is not None:
                superseded.abort()
            for send_queue in self._queues_of(connection):
                send_queue.on_connected()
                self._cancel_retry(send_queue)
                self._process_queue(send_queue)
            if connection.dialled_target is None:
                self._evict_if_full()

    def _queues_of(self, connection: Connection) -> Iterator[SendQueue]:
        for target in dict.fromkeys(
            (connection.conversation.peer, connection.dialled_target, connection.address)
        ):
            send_queue = self.send_queues.get(target) if target is not None else None
            if send_queue is not None:
                yield send_queue

    def on_body_received(self, connection: Connection, body: bytes) -> None:
        conversation = connection.conversation
        self._on_body(conversation.peer, conversation.peer_incarnation, conversation.format, body)

    def on_writable(self, connection: Connection) -> None:
        """The write buffer has drained: the peer reads again."""
        for send_queue in self._queues_of(connection):
            self._process_queue(send_queue)

    def on_malformed_frame(self, connection: Connection) -> None:
        self.counts.drop(Drop.MALFORMED)

    def on_seal_error(self, connection: Connection, kind: RefusalKind) -> None:
        self.seal_errors_by_kind[kind] += 1
        self.counts.drop(Drop.SEALED)

    def on_connection_lost(self, connection: Connection) -> None:
        self.registry.remove(connection)
        if connection.unsent:
            connection.unsent = memoryview(b"")
            self.counts.drop(Drop.LOST)
        if self._stopped:
            return
        # A connection that is lost right after it was opened counts as a failed attempt.
        was_stable = (
            connection.established and self.now() - connection.opened_at_ms > self.rules.retry_backoff_ms
        )
        for send_queue in self._queues_of(connection):
            if was_stable or self.registry.find(send_queue.target) is not None:
                self._process_queue(send_queue)
            elif send_queue.target == connection.dialled_target or not send_queue.connecting:
                self._on_connect_failed(send_queue)

    # --- bounds ---

    def _evict_if_full(self) -> None:
        evicted = self.registry.connection_to_evict()
        if evicted is not None:
            if evicted.paused or evicted.unsent:
                evicted.abort()
            else:
                evicted.close()

    def _sweep(self) -> None:
        now = self.now()
        for connection in list(self.registry.all):
            due_action = self.registry.due_action(connection, now)
            if due_action is Due.IDLE:
                connection.close()
            elif due_action is not Due.NOTHING:
                self.counts.handshake_timeouts += due_action is Due.HANDSHAKE_TIMEOUT
                self.counts.stalled += due_action is Due.STALLED
                connection.abort()
        self._sweeper = self._loop.call_later(self.rules.sweep_interval_ms / 1000.0, self._sweep)

    def forget(self, name: str) -> None:
        """Drops the queue and the connections of a dead peer."""
        send_queue = self.send_queues.get(name)
        if send_queue is not None:
            self._drop_queue(send_queue, Drop.FORGOTTEN)
        for connection in list(self.registry.all):
            if connection.conversation.peer == name:
                connection.abort()

    def stop(self) -> None:
        """Closes all connections: written bytes are still sent, waiting bodies are dropped."""
        self._stopped = True
        if self._server is not None:
            self._server.close()
        for timer in (self._refill, self._sweeper):
            if timer is not None:
                timer.cancel()
        for task in list(self._tasks):
            task.cancel()
        for send_queue in self.send_queues.all():
            self._drop_queue(send_queue, Drop.FORGOTTEN)
        for connection in list(self.registry.all):
            if connection.is_usable and not connection.paused:
                connection.close()
            else:
                connection.abort()
