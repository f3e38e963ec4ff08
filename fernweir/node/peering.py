"""Connects a node to its peers. This module is imported only if `FERNWEIR_PEERS` names a settings file.

The platform's media servers do not support fences, so nodes have no channels: a session stays with the node
that placed it. Peers receive a node's activity and settings versions, and replicate its audit log.
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
from fernweir.front.peer_view import PeerView
from fernweir.front.stored_types import BY_CLASS, stored_text
from fernweir.interface import EndpointListKind, EndpointListUpdate, ServerState
from fernweir.node.config import ConfigError, NodeConfig
from fernweir.node.endpoint_feed import EndpointFeed
from fernweir.peers.forward.messages import Carried, Carry
from fernweir.peers.port import ClaimResult, SessionStatus
from fernweir.peers.program import Peers, PeersConfig, read_keys
from fernweir.peers.settings import first_versions, link_rules, peer_rules

_DRAINING = "draining"
_STATUS_BY_STATE = {ServerState.READY: "up", ServerState.DRAINING: _DRAINING}
_NODE_SPECIFIC_SETTINGS = ("ordinal",)
# One in this many descriptors may be used by connections to peers, and the same number by connections from
# peers.
_DESCRIPTORS_PER_PEER_CONNECTION = 24
_MIN_PEER_CONNECTIONS = 2
_MAX_QUOTED_NAME = 80
_SHORT_NUMBER_SHIFT = 33  # keeps 31 of 64 bits


@dataclass(frozen=True, slots=True)
class PeersFile:
    """The content of the peers' settings file.

    Attributes:
        section: The parsed section.
        section_text: The unparsed values of the section, as in the file.
        keys: The keys of the fleet.
    """

    section: PeersSection
    section_text: dict[str, str]
    keys: list[bytes]


def read_peers_file(path: Path, node_name: str) -> PeersFile:
    """Reads the settings file of the peers.

    Args:
        path: The file.
        node_name: The name of the node, which has to be a valid peer name, too.

    Raises:
        ConfigError: The file cannot be used. The message has one line for each mistake.
    """
    try:
        file = ini.read_file(path)
        reader = ini.SectionReader(file)
        section = reader.read_section("peers", PeersSection)
        if section is not None:
            check_peers(reader, section, path.parent)
        if not _is_peer_name(node_name):
            quoted = repr(node_name[:_MAX_QUOTED_NAME])
            reader.add_problem("peers", "", f"the node's name is not a valid peer name: {quoted}")
        reader.raise_problems()
        assert section is not None
        return PeersFile(section, file.sections["peers"], read_keys(section, path.parent))
    except ini.ConfigError as error:
        raise ConfigError(str(error)) from None


def _is_peer_name(name: str) -> bool:
    try:
        TypeAdapter(PeerName).validate_python(name)
    except ValidationError:
        return False
    return True


async def start_peers(
    dispatcher: Dispatcher, feed: EndpointFeed, config: NodeConfig, file: PeersFile
) -> Peers:
    """Listens for peers and joins them. Must be called before the node applies its endpoint list.

    Raises:
        OSError: The address cannot be listened on.
    """
    offset_ms = (time.time() - dispatcher.loop.time()) * 1000.0

    def wall_ms() -> float:
        return dispatcher.now() + offset_ms

    section = file.section
    max_connections = max(config.max_descriptors // _DESCRIPTORS_PER_PEER_CONNECTION, _MIN_PEER_CONNECTIONS)
    texts = {"peers": file.section_text, "platform": _platform_settings(config)}
    beginning = PeersConfig(
        name=config.name,
        seed=config.seed,
        section=section,
        keys=file.keys,
        versions=first_versions(section, texts, ()),
        rules=peer_rules(section, channels=False),
        links=replace(link_rules(section), connections=max_connections, half_open=max_connections),
    )
    return await Peers.start(dispatcher, NodePort(dispatcher, feed, wall_ms), beginning, wall_ms)


def short_server_number(server: int) -> int:
    """Returns the number of a server in audit records: the first 31 of its 64 bits."""
    return server >> _SHORT_NUMBER_SHIFT


class ListedServers:
    """The servers on the endpoint list, as the feed describes them. No I/O.

    Args:
        feed: Provides the addresses and names of servers, and since when each has had its status.
    """

    def __init__(self, feed: EndpointFeed) -> None:
        self._feed = feed
        self._rows_by_server: dict[int, list[Any]] = {}

    def on_endpoint_list(self, update: EndpointListUpdate) -> None:
        """Applies an update of the list."""
        if update.kind is not EndpointListKind.DELTA:
            self._rows_by_server.clear()
        for endpoint in update.entries:
            server = endpoint.server
            if endpoint.state is ServerState.REMOVED:
                self._rows_by_server.pop(server, None)
                continue
            self._rows_by_server[server] = [
                _STATUS_BY_STATE[endpoint.state],
                self._feed.status_since_ms[server],
                *self._feed.addresses[server],
                endpoint.zone,
                endpoint.server_type,
                endpoint.weight,
            ]

    def server_numbers(self) -> list[int]:
        """Returns the numbers of all servers on the list."""
        return list(self._rows_by_server)

    def list_rows(self) -> list[tuple[int, Any]]:
        """Returns the content of the list: the number and the row of each server."""
        return list(self._rows_by_server.items())

    def changed_rows(self, update: EndpointListUpdate) -> list[tuple[int, Any]]:
        """Returns the rows of the listed servers that an update names."""
        named = {one.server for one in update.entries}
        return [(server, self._rows_by_server[server]) for server in named if server in self._rows_by_server]

    def draining(self) -> set[int]:
        """Returns the numbers of the servers that are draining."""
        return {server for server, row in self._rows_by_server.items() if row[0] == _DRAINING}

    def named(self, server: int) -> tuple[int, str]:
        """Returns the number of a server in audit records, and a suffix with its name."""
        return short_server_number(server), f" at {self._feed.names.get(server, '')}"


class NodePort(PeerView):
    """Implements `peers.port.Port` without channels: no session is handed off, taken over or claimed."""

    def __init__(self, dispatcher: Dispatcher, feed: EndpointFeed, wall_ms: Callable[[], float]) -> None:
        self._listed_servers = ListedServers(feed)
        super().__init__(dispatcher, self._listed_servers, wall_ms)

    def on_endpoint_list(self, now: float, update: EndpointListUpdate) -> None:
        """Applies the update, then notifies the peers."""
        self._listed_servers.on_endpoint_list(update)
        super().on_endpoint_list(now, update)

    def session_statuses(self) -> list[SessionStatus]:
        """Returns an empty list, since no session can be handed off."""
        return []

    def racks(self) -> list[tuple[str, frozenset[int], float]]:
        """Returns an empty list, since nodes report no racks to their peers."""
        return []

    def server_numbers(self) -> list[int]:
        """Returns the numbers of all servers on the list."""
        return self._listed_servers.server_numbers()

    def payload(self, digest: bytes) -> bytes | None:
        """Returns None, since no session can be handed off."""
        return None

    def endpoint_list_document(self) -> bytes:
        """Returns an empty document, since the control feed is the only source of the list."""
        return b""

    def adopt_endpoint_list(self, now: float, data: bytes, digest: bytes) -> bool:
        """Rejects the list of a peer, since the control feed is the only source of the list."""
        return False

    def adopt_session(self, now: float, standing: SessionStatus, payload: bytes | None) -> bool:
        """Rejects the session of a peer."""
        return False

    def on_session_missing(self, now: float, session: str, attempt: int) -> None:
        """Does nothing, since no session was taken over."""

    def relinquish_session(self, now: float, session: str) -> bool:
        """Refuses to hand off a session."""
        return False

    def release_attempt(
        self, now: float, box: int, session: str, attempt: int, why: str, under: tuple[str, int]
    ) -> None:
        """Does nothing, since releasing a peer's session needs fences, which servers do not support."""

    def execute_forwarded(self, request: Carry, then: Callable[[float, Carried], None]) -> None:
        """Reports at once that the session that a peer requests does not exist here."""
        then(self._core.now(), Carried(request.number, "none"))

    def claim_channel(
        self,
        box: int,
        channel: str,
        fence: int,
        overlap_ms: float,
        then: Callable[[float, ClaimResult], None],
        adopt: Sequence[tuple[str, int]] = (),
    ) -> None:
        """Reports that the server was not reached, since servers do not support channels."""
        asyncio.get_running_loop().call_soon(lambda: then(self._core.now(), ClaimResult(box, reached=False)))


def _platform_settings(config: NodeConfig) -> dict[str, str]:
    """Returns the platform settings that all nodes share, as text by their stored names."""
    stored = BY_CLASS[type(config.settings)]
    pairs = zip(stored.names, stored.attributes, strict=True)
    texts = {name: stored_text(getattr(config.settings, attribute)) for name, attribute in pairs}
    texts |= {
        "kinds": repr(config.server_types),
        "connect_ms": repr(config.connect_timeout_ms),
        "idle_ms": repr(config.idle_timeout_ms),
    }
    return {name: text for name, text in texts.items() if name not in _NODE_SPECIFIC_SETTINGS}
