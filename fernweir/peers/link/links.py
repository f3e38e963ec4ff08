"""Sends messages to peers by name and chooses a datagram or a connection for each of them."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable
from functools import lru_cache
from ipaddress import IPv4Address

from fernweir.peers.base import Address, Message, Send
from fernweir.peers.link.rules import Drop, Identity, LinkCounts, LinkRules
from fernweir.peers.link.tcp import Connections
from fernweir.peers.link.udp import Datagrams
from fernweir.peers.wire.bucket import TokenBucket
from fernweir.peers.wire.codec import Codec, MalformedError, join_messages
from fernweir.peers.wire.seal import Opened, Seal, SealRules

_MAX_ARRAY_HEAD_BYTES = 3  # of a msgpack array of messages
_MAX_MESSAGES_PER_DATAGRAM = 1_000
_PORT_ATTEMPTS = 32  # to find a port that is free for both UDP and TCP


@lru_cache(maxsize=4_096)
def _is_numeric(host: str) -> bool:
    try:
        IPv4Address(host)
    except ValueError:
        return False
    return True


def _ignore_stale(sender: str, incarnation: int, newest_incarnation: int, address: Address | None) -> None:
    pass


class Links:
    """One front's sockets towards its peers; `start` creates an instance.

    `address_of` returns a peer's advertised address by its name, `name_at` the name of the peer that has an
    address now, or None if that is not known. `on_message(sender, incarnation, message)`
    is called with each message from a front that has the key. `on_stale(sender, incarnation,
    newest_incarnation, address)` is called for a front that sends under an older incarnation than is known
    for its name; `address` is the source of a datagram, None for a connection. Its messages are ignored until
    it continues under a newer incarnation.
    """

    def __init__(
        self,
        identity: Identity,
        codec: Codec,
        rules: LinkRules,
        address_of: Callable[[str], Address | None],
        on_message: Callable[[str, int, Message], None],
        format_of: Callable[[str], int | None] | None,
        on_stale: Callable[[str, int, int, Address | None], None],
        name_at: Callable[[Address], str | None],
    ) -> None:
        self.codec, self.rules, self.counts = codec, rules, LinkCounts()
        self.seal = Seal(
            identity.keys, identity.name, identity.incarnation, SealRules(formats=identity.formats)
        )
        self.address: Address = ("", 0)
        self._formats = identity.formats
        self._address_of, self._format_of = address_of, format_of
        self._on_message, self._on_stale, self._name_at = on_message, on_stale, name_at
        self._loop = asyncio.get_running_loop()
        self._datagram_capacity_bytes = (
            rules.max_datagram_bytes - self.seal.overhead_bytes - _MAX_ARRAY_HEAD_BYTES
        )
        self._pending: dict[tuple[Address, int], list[bytes]] = {}
        self._datagrams: Datagrams
        self.connections: Connections

    @classmethod
    async def start(
        cls,
        listen: Address,
        identity: Identity,
        codec: Codec,
        address_of: Callable[[str], Address | None],
        on_message: Callable[[str, int, Message], None],
        *,
        rules: LinkRules | None = None,
        seed: int = 0,
        format_of: Callable[[str], int | None] | None = None,
        on_stale: Callable[[str, int, int, Address | None], None] = _ignore_stale,
        name_at: Callable[[Address], str | None] = lambda address: None,
    ) -> Links:
        """Listens for datagrams and connections on one port, any free one if it is 0.

        Raises OSError if the port can't be bound.
        """
        for attempts_left in reversed(range(_PORT_ATTEMPTS)):
            links = cls(
                identity, codec, rules or LinkRules(), address_of, on_message, format_of, on_stale, name_at
            )
            try:
                await links._listen(listen, identity, seed)
            except OSError as error:
                if listen[1] or error.errno != errno.EADDRINUSE or not attempts_left:
                    raise
            else:
                break
        return links

    async def _listen(self, listen: Address, identity: Identity, seed: int) -> None:
        loop, rules, counts = self._loop, self.rules, self.counts
        bucket = TokenBucket(rules.rate, rules.burst, loop.time() * 1000.0)
        self._datagrams = Datagrams(loop, self.seal, bucket, rules, counts, self._on_datagram, self._on_stale)
        self.connections = Connections(
            loop, identity, self.seal, listen[0], bucket, rules, counts, seed,
            self._checked_address, self._on_frame, self._on_stale, self._name_at,
        )  # fmt: skip
        transport, _ = await loop.create_datagram_endpoint(lambda: self._datagrams, local_addr=listen)
        try:
            self.address = (listen[0], transport.get_extra_info("sockname")[1])
            await self.connections.listen(self.address[1])
        except OSError:
            self._datagrams.close()
            raise

    # --- out ---

    def send(self, effect: Send) -> None:
        """Sends a message, or drops and counts it.

        Messages to one peer in one iteration of the event loop share datagrams.
        """
        raw = self.codec.encode_one(effect.message)
        to = effect.to
        if effect.reliable or len(raw) > self._datagram_capacity_bytes:
            self.connections.send(to, join_messages([raw]))
            return
        address = self._checked_address(to)
        message_format = self._format_for(to)
        if address is None:
            self.counts.drop(Drop.ADDRESS)
        elif message_format is None:
            self.counts.drop(Drop.FORMAT)
        else:
            if not self._pending:
                self._loop.call_soon(self._flush)
            self._pending.setdefault((address, message_format), []).append(raw)

    def _flush(self) -> None:
        pending, self._pending = self._pending, {}
        for (address, message_format), raws in pending.items():
            batch: list[bytes] = []
            size = 0
            for raw in raws:
                if batch and (
                    size + len(raw) > self._datagram_capacity_bytes
                    or len(batch) >= _MAX_MESSAGES_PER_DATAGRAM
                ):
                    self._datagrams.send(join_messages(batch), message_format, address)
                    batch, size = [], 0
                batch.append(raw)
                size += len(raw)
            self._datagrams.send(join_messages(batch), message_format, address)

    def _checked_address(self, to: str | Address) -> Address | None:
        address = self._address_of(to) if isinstance(to, str) else to
        if address is None:
            return None
        host, port = address
        if not 0 < port < 65_536 or (self.rules.numeric_addresses_only and not _is_numeric(host)):
            return None
        return address

    def _format_for(self, to: str | Address) -> int | None:
        """Returns the format for a peer; if only its address is known, the lowest, which most support."""
        if not isinstance(to, str):
            return self._formats[0]
        return self._formats[1] if self._format_of is None else self._format_of(to)

    # --- in ---

    def _on_datagram(self, opened: Opened) -> None:
        self._deliver(opened.sender, opened.incarnation, opened.format, opened.body)

    def _on_frame(self, sender: str, incarnation: int, message_format: int, body: bytes) -> None:
        if incarnation < self.seal.newest_incarnation(sender):
            self.counts.drop(Drop.OLD_INCARNATION)
        else:
            self._deliver(sender, incarnation, message_format, body)

    def _deliver(self, sender: str, incarnation: int, message_format: int, body: bytes) -> None:
        try:
            messages = self.codec.decode(body, message_format)
        except MalformedError:
            self.counts.drop(Drop.MALFORMED)
            return
        for message in messages:
            self._on_message(sender, incarnation, message)

    # --- incarnation and shutdown ---

    def advance_incarnation(self, incarnation: int) -> None:
        """Continues under a later incarnation, as peers have seen a newer one of this name."""
        self.seal.advance_incarnation(incarnation)
        self.connections.incarnation = incarnation

    def forget(self, name: str) -> None:
        """Drops the queue and the connections of a peer that is dead or has left."""
        self.connections.forget(name)

    async def stop(self) -> None:
        """Closes all sockets. Pending messages are sent as far as the kernel accepts them at once."""
        self._flush()
        self.connections.stop()
        self._datagrams.close()
        await asyncio.sleep(0)
