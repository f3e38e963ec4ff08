"""Datagrams and connections joined: messages to peers by name, on whichever of the two they go."""

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
from fernweir.peers.wire.bucket import Bucket
from fernweir.peers.wire.codec import Codec, MalformedError, join
from fernweir.peers.wire.seal import Opened, Seal, SealRules

_HEAD = 3  # of an array of messages, at most
_MOST = 1_000  # messages in one datagram
_TRIES = 32  # for a port that is free for both


@lru_cache(maxsize=4_096)
def _numeric(host: str) -> bool:
    try:
        IPv4Address(host)
    except ValueError:
        return False
    return True


def _no_one(sender: str, life: int, newest: int, address: Address | None) -> None:
    pass


class Links:
    """One front's sockets towards its peers; `start` makes one.

    `address_of` gives a peer's advertised address by its name. `on_message(sender, life, message)` gets what
    came from a front that has the key. `on_stale(sender, life, newest, address)` hears of a front that sends
    under an older life than is known for its name, from that address where it was a datagram: nothing of it
    counts until it lives on under a newer one.
    """

    def __init__(
        self,
        me: Identity,
        codec: Codec,
        rules: LinkRules,
        address_of: Callable[[str], Address | None],
        on_message: Callable[[str, int, Message], None],
        format_of: Callable[[str], int | None] | None,
        on_stale: Callable[[str, int, int, Address | None], None],
    ) -> None:
        self.codec, self.rules, self.counts = codec, rules, LinkCounts()
        self.seal = Seal(me.keys, me.name, me.life, SealRules(formats=me.formats))
        self.address: Address = ("", 0)
        self._formats = me.formats
        self._address_of, self._format_of = address_of, format_of
        self._on_message, self._on_stale = on_message, on_stale
        self._loop = asyncio.get_running_loop()
        self._room = rules.datagram - self.seal.over - _HEAD
        self._pending: dict[tuple[Address, int], list[bytes]] = {}
        self._datagrams: Datagrams
        self.connections: Connections

    @classmethod
    async def start(
        cls,
        listen: Address,
        me: Identity,
        codec: Codec,
        address_of: Callable[[str], Address | None],
        on_message: Callable[[str, int, Message], None],
        *,
        rules: LinkRules | None = None,
        seed: int = 0,
        format_of: Callable[[str], int | None] | None = None,
        on_stale: Callable[[str, int, int, Address | None], None] = _no_one,
    ) -> Links:
        """Listens for both on one port, any free one if it is 0. OSError if that can't be had."""
        for left in reversed(range(_TRIES)):
            links = cls(me, codec, rules or LinkRules(), address_of, on_message, format_of, on_stale)
            try:
                await links._listen(listen, me, seed)
            except OSError as error:
                if listen[1] or error.errno != errno.EADDRINUSE or not left:
                    raise
            else:
                break
        return links

    async def _listen(self, listen: Address, me: Identity, seed: int) -> None:
        loop, rules, counts = self._loop, self.rules, self.counts
        bucket = Bucket(rules.rate, rules.burst, loop.time() * 1000.0)
        self._datagrams = Datagrams(loop, self.seal, bucket, rules, counts, self._opened, self._on_stale)
        self.connections = Connections(
            loop, me, self.seal, listen[0], bucket, rules, counts, seed,
            self._address, self._framed, self._on_stale,
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
        """Sends, or drops and counts. What goes to one peer in one pass of the loop shares datagrams."""
        raw = self.codec.one(effect.message)
        to = effect.to
        if effect.reliable or len(raw) > self._room:
            self.connections.send(to, join([raw]))
            return
        address = self._address(to)
        form = self._format(to)
        if address is None:
            self.counts.drop(Drop.ADDRESS)
        elif form is None:
            self.counts.drop(Drop.FORMAT)
        else:
            if not self._pending:
                self._loop.call_soon(self._flush)
            self._pending.setdefault((address, form), []).append(raw)

    def _flush(self) -> None:
        pending, self._pending = self._pending, {}
        for (address, form), raws in pending.items():
            batch: list[bytes] = []
            size = 0
            for raw in raws:
                if batch and (size + len(raw) > self._room or len(batch) >= _MOST):
                    self._datagrams.send(join(batch), form, address)
                    batch, size = [], 0
                batch.append(raw)
                size += len(raw)
            self._datagrams.send(join(batch), form, address)

    def _address(self, to: str | Address) -> Address | None:
        address = self._address_of(to) if isinstance(to, str) else to
        if address is None:
            return None
        host, port = address
        if not 0 < port < 65_536 or (self.rules.numeric and not _numeric(host)):
            return None
        return address

    def _format(self, to: str | Address) -> int | None:
        """To whom is not known by name, the lowest, which most understand."""
        if not isinstance(to, str):
            return self._formats[0]
        return self._formats[1] if self._format_of is None else self._format_of(to)

    # --- in ---

    def _opened(self, opened: Opened) -> None:
        self._deliver(opened.sender, opened.life, opened.format, opened.body)

    def _framed(self, sender: str, life: int, form: int, body: bytes) -> None:
        if life < self.seal.newest(sender):
            self.counts.drop(Drop.OLD_LIFE)
        else:
            self._deliver(sender, life, form, body)

    def _deliver(self, sender: str, life: int, form: int, body: bytes) -> None:
        try:
            messages = self.codec.decode(body, form)
        except MalformedError:
            self.counts.drop(Drop.MALFORMED)
            return
        for message in messages:
            self._on_message(sender, life, message)

    # --- the rest ---

    def relive(self, life: int) -> None:
        """From now on under a later life, as peers know this name in one above the present."""
        self.seal.relive(life)
        self.connections.life = life

    def forget(self, name: str) -> None:
        """A peer that is dead or left: nothing waits for it any longer."""
        self.connections.forget(name)

    async def stop(self) -> None:
        """What was sent still goes out, as far as the kernel takes it at once."""
        self._flush()
        self.connections.stop()
        self._datagrams.close()
        await asyncio.sleep(0)
