"""A node among its peers: loaded only where `FERNWEIR_PEERS` names a settings file. A thin shell.

Media servers of the platform know no fences, so nodes have no channels: a session stays with the node that
placed it. Peers see what a node does and by which versions, and keep its record.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from pydantic import TypeAdapter, ValidationError

from fernweir.config import ini
from fernweir.config.peers import PeerName, PeersSection, check_peers
from fernweir.front.dispatcher import Dispatcher
from fernweir.front.peer_view import Acting
from fernweir.front.stored_types import BY_CLASS, stored_text
from fernweir.interface import EndpointListKind, EndpointListUpdate, ServerState
from fernweir.node.config import ConfigError, NodeConfig
from fernweir.node.endpoint_feed import EndpointFeed
from fernweir.peers.forward.messages import Carried, Carry
from fernweir.peers.port import Claimed, Standing
from fernweir.peers.program import Beginning, Peers, read_keys
from fernweir.peers.settings import first_versions, link_rules, peer_rules

_STATUS_BY_STATE = {ServerState.READY: "up", ServerState.DRAINING: "draining"}
_NODE_SPECIFIC_SETTINGS = ("ordinal",)  # of the platform's settings: what differs from node to node
_DESCRIPTORS_PER_PEER_CONNECTION = (
    24  # of all descriptors, to peers that are called, and as many to those that call
)


@dataclass(frozen=True, slots=True)
class PeersFile:
    """What the settings file says: the section as it was read, as it stands in the file, and the keys."""

    section: PeersSection
    section_text: dict[str, str]
    keys: list[bytes]


def read_peers_file(path: Path, name: str) -> PeersFile:
    """ConfigError names all that is wrong, a line each; `name` is the node's."""
    try:
        file = ini.read_file(path)
        reader = ini.Reader(file)
        section = reader.take("peers", PeersSection)
        if section is not None:
            check_peers(reader, section, path.parent)
        try:
            TypeAdapter(PeerName).validate_python(name)
        except ValidationError:
            reader.wrong("peers", "", f"the node's name is none for a peer: {name[:80]!r}")
        reader.finish()
        assert section is not None
        return PeersFile(section, file.sections["peers"], read_keys(section, path.parent))
    except ini.ConfigError as error:
        raise ConfigError(str(error)) from None


async def start_peers(core: Dispatcher, feed: EndpointFeed, config: NodeConfig, file: PeersFile) -> Peers:
    """Listens and joins, before the node takes its list. OSError if the address can't be had."""
    offset_ms = (time.time() - core.loop.time()) * 1000.0

    def wall_ms() -> float:
        return core.now() + offset_ms

    section, most = file.section, max(config.max_descriptors // _DESCRIPTORS_PER_PEER_CONNECTION, 2)
    begin = Beginning(
        name=config.name,
        seed=config.seed,
        section=section,
        keys=file.keys,
        versions=first_versions(
            section, {"peers": file.section_text, "platform": _platform_settings(config)}, ()
        ),
        rules=peer_rules(section, channels=False),
        links=replace(link_rules(section), connections=most, half_open=most),
    )
    return await Peers.start(core, NodePort(core, feed, wall_ms), begin, wall_ms)


def short_server_number(server: int) -> int:
    """A server's number in acts: the first 31 bits of its name's."""
    return server >> 33


class ListedServers:
    """The servers that the feed names now, as it said it. No I/O."""

    def __init__(self, feed: EndpointFeed) -> None:
        self._feed = feed
        self._rows_by_server: dict[int, list[Any]] = {}

    def on_endpoint_list(self, update: EndpointListUpdate) -> None:
        if update.kind is not EndpointListKind.DELTA:
            self._rows_by_server.clear()
        for one in update.entries:
            if one.state is ServerState.REMOVED:
                self._rows_by_server.pop(one.server, None)
            else:
                self._rows_by_server[one.server] = [
                    _STATUS_BY_STATE[one.state],
                    self._feed.status_since_ms[one.server],
                    *self._feed.addresses[one.server],
                    one.zone,
                    one.server_type,
                    one.weight,
                ]

    def boxes(self) -> list[int]:
        return list(self._rows_by_server)

    def list_rows(self) -> list[tuple[int, Any]]:
        return list(self._rows_by_server.items())

    def draining(self) -> set[int]:
        return {server for server, row in self._rows_by_server.items() if row[0] == "draining"}

    def named(self, box: int) -> tuple[int, str]:
        return short_server_number(box), f" at {self._feed.names.get(box, '')}"


class NodePort(Acting):
    """Implements `peers.port.Port` without channels: nothing is handed on, taken over or claimed."""

    def __init__(self, core: Dispatcher, feed: EndpointFeed, wall_ms: Callable[[], float]) -> None:
        self._listed_servers = ListedServers(feed)
        super().__init__(core, self._listed_servers, wall_ms)

    def on_endpoint_list(self, now: float, update: EndpointListUpdate) -> None:
        self._listed_servers.on_endpoint_list(update)
        super().on_endpoint_list(now, update)

    def standing(self) -> list[Standing]:
        return []

    def racks(self) -> list[tuple[str, frozenset[int], float]]:
        return []

    def boxes(self) -> list[int]:
        return self._listed_servers.boxes()

    def payload(self, digest: bytes) -> bytes | None:
        return None

    def list_document(self) -> bytes:
        return b""

    def take_list(self, now: float, data: bytes, digest: bytes) -> bool:
        return False  # the control feed is the one source of the list

    def take_over(self, now: float, standing: Standing, payload: bytes | None) -> bool:
        return False

    def ended(self, now: float, session: str, attempt: int) -> None:
        """Nothing was taken over."""

    def let_go(self, now: float, session: str) -> bool:
        return False

    def release(
        self, now: float, box: int, session: str, attempt: int, why: str, under: tuple[str, int]
    ) -> None:
        """Servers know no fence to release by."""

    def carry(self, request: Carry, then: Callable[[float, Carried], None]) -> None:
        then(self._core.now(), Carried(request.number, "none"))

    def claim(
        self, box: int, channel: str, fence: int, overlap_ms: float,
        then: Callable[[float, Claimed], None], adopt: Sequence[tuple[str, int]] = (),
    ) -> None:  # fmt: skip
        asyncio.get_running_loop().call_soon(lambda: then(self._core.now(), Claimed(box, reached=False)))


def _platform_settings(config: NodeConfig) -> dict[str, str]:
    """The platform's settings that all nodes have alike, by name."""
    stored = BY_CLASS[type(config.settings)]
    pairs = zip(stored.names, stored.attributes, strict=True)
    said = {name: stored_text(getattr(config.settings, attribute)) for name, attribute in pairs}
    said |= {
        "kinds": repr(config.server_types),
        "connect_ms": repr(config.connect_timeout_ms),
        "idle_ms": repr(config.idle_timeout_ms),
    }
    return {name: value for name, value in said.items() if name not in _NODE_SPECIFIC_SETTINGS}
