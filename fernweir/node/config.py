"""The configuration of a front node: the JSON file that `ROUTER_CONFIG` names."""

from __future__ import annotations

import json
import math
from collections.abc import Mapping
from dataclasses import dataclass
from ipaddress import IPv4Address
from pathlib import Path
from typing import Any, NamedTuple

from fernweir.interface import Settings
from fernweir.node.settings import SettingError, check_consistency, check_settings, replace_zero_limits
from fernweir.wire import SettingsTable, WireError, read_settings

Address = tuple[str, int]  # IPv4 address and port
_MAX_PORT = 65535
_MAX_QUOTED = 60  # characters of a value that an error shows
_SEED_LIMIT = 2**64  # the wire protocol's seed has 64 bits


class ConfigError(ValueError):
    """Raised when the configuration cannot be used. The message has one line for each mistake."""


@dataclass(frozen=True, slots=True)
class NodeConfig:
    """The configuration of a node at its start.

    Attributes:
        name: The node's name.
        listen_address: The address on which it accepts client connections.
        seed: Seeds its random decisions.
        max_descriptors: How many file descriptors it may use.
        feed_address: The address of the control feed.
        known_sequence_number: The feed's last sequence number when the file was written.
        known_events: Events in the format of the feed, up to that number.
        settings: The settings of the session manager.
        server_types: The names of the server types, in the order of their numbers.
        connect_timeout_ms: How long to wait for a connection to a server.
        idle_timeout_ms: How long a connection to a server may be unused; infinite if there is no limit.
    """

    name: str
    listen_address: Address
    seed: int
    max_descriptors: int
    feed_address: Address
    known_sequence_number: int
    known_events: tuple[object, ...]
    settings: Settings
    server_types: tuple[str, ...]
    connect_timeout_ms: float
    idle_timeout_ms: float


def load_config(environment: Mapping[str, str]) -> NodeConfig:
    """Reads the file that `ROUTER_CONFIG` names.

    `ROUTER_NAME` and `ROUTER_LISTEN` override the name and the listen address of the file.

    Raises:
        ConfigError: The environment names no file, or the file cannot be used.
    """
    path = environment.get("ROUTER_CONFIG")
    if not path:
        raise ConfigError("ROUTER_CONFIG is not set")
    body = _read_object(path)
    for key, variable in (("name", "ROUTER_NAME"), ("listen", "ROUTER_LISTEN")):
        if environment.get(variable):
            body[key] = environment[variable]
    try:
        return _parse_config(body)
    except (ConfigError, WireError) as error:
        raise ConfigError(f"{path}: {error}") from None


def parse_address(text: object, what: str) -> Address:
    """Parses an address as in `10.0.0.1:4000`.

    Args:
        text: The value; anything but a string is rejected.
        what: The name of the value in the error message.

    Raises:
        ConfigError: The value is not an IPv4 address with a port.
    """
    host, _, port_text = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    try:
        IPv4Address(host)  # no host names: there is no DNS, and resolving would block the event loop
        port = int(port_text) if port_text.isascii() and port_text.isdigit() else 0
    except ValueError:
        port = 0
    if not 0 < port <= _MAX_PORT:
        raise ConfigError(f"{what} is not an IPv4 address with a port: {_quoted(text)}")
    return host, port


def flatten_settings(settings: dict[str, Any]) -> dict[str, str]:
    """Converts nested settings to the path and text pairs of the simulator's wire protocol.

    One parser can thus read both forms.

    Raises:
        ConfigError: The settings are nested too deeply.
    """
    table: dict[str, str] = {}
    try:
        _flatten_into(table, "", settings)
    except RecursionError:
        raise ConfigError("settings are nested too deeply") from None
    return table


def _read_object(path: str) -> dict[str, Any]:
    try:
        body = json.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"{path}: not JSON: {error}") from None
    if not isinstance(body, dict):
        raise ConfigError(f"{path}: not a JSON object")
    return body


def _parse_config(body: dict[str, Any]) -> NodeConfig:
    seed = _parse_seed(body.get("seed"))
    max_descriptors = _parse_max_descriptors(body.get("limits"))
    known = _parse_known(body.get("known"))
    name = body.get("name", "")
    if not isinstance(name, str):
        raise ConfigError(f"name is not a string: {_quoted(name)}")
    listen_address = parse_address(body.get("listen"), "listen")
    feed_address = parse_address(body.get("feed"), "feed")
    raw_settings = body.get("settings")
    if not isinstance(raw_settings, dict):
        raise ConfigError("settings is not a JSON object")
    fields = SettingsTable(flatten_settings(raw_settings))
    settings, server_types = _parse_settings(raw_settings, fields)
    longest_deadline_ms = max(session_class.deadline_ms for session_class in settings.classes)
    return NodeConfig(
        name=name,
        listen_address=listen_address,
        seed=seed,
        max_descriptors=max_descriptors,
        feed_address=feed_address,
        known_sequence_number=known.last_sequence_number,
        known_events=known.events,
        settings=settings,
        server_types=server_types,
        # Zero means that there is no limit: the node then waits for a connection as long as for an answer,
        # and connections do not time out when idle.
        connect_timeout_ms=fields.number("Limits.ConnectTimeout", 0.0) or longest_deadline_ms,
        idle_timeout_ms=fields.number("Limits.ConnIdle", 0.0) or math.inf,
    )


def _parse_seed(value: object) -> int:
    try:
        seed = int(value, 16) if isinstance(value, str) else -1
    except ValueError:
        seed = -1
    if seed < 0:
        raise ConfigError(f"seed is not a hexadecimal number: {_quoted(value)}")
    return seed % _SEED_LIMIT


def _parse_max_descriptors(limits: object) -> int:
    sockets = limits.get("sockets") if isinstance(limits, dict) else None
    if not isinstance(sockets, int) or isinstance(sockets, bool) or sockets < 1:
        raise ConfigError("limits.sockets is not a positive integer")
    return sockets


class _Known(NamedTuple):
    """The events of the feed at the time when the file was written."""

    last_sequence_number: int
    events: tuple[object, ...]


def _parse_known(known: object) -> _Known:
    last = known.get("n") if isinstance(known, dict) else None
    if not isinstance(known, dict) or not isinstance(last, int) or isinstance(last, bool):
        raise ConfigError("known.n is not an integer")
    events = known.get("events")
    if not isinstance(events, list):
        raise ConfigError("known.events is not a list")
    return _Known(last, tuple(events))


def _parse_settings(raw_settings: dict[str, Any], fields: SettingsTable) -> tuple[Settings, tuple[str, ...]]:
    """Returns the settings and the names of the server types."""
    try:
        check_settings(raw_settings)
        settings = read_settings(fields)
        check_consistency(settings)
    except SettingError as error:
        raise ConfigError(f"settings: {error}") from None
    fields.text("MachineTypes")  # raises if it is absent
    return replace_zero_limits(settings), tuple(raw_settings["MachineTypes"])


def _flatten_into(table: dict[str, str], path: str, value: object) -> None:
    if isinstance(value, dict):
        for key, inner in value.items():
            _flatten_into(table, f"{path}.{key}" if path else str(key), inner)
    elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
        table[f"{path}.count"] = str(len(value))
        for index, inner in enumerate(value):
            _flatten_into(table, f"{path}.{index}", inner)
    elif isinstance(value, list):
        table[path] = ",".join(_list_item_text(item) for item in value)
    elif value is not None:
        table[path] = _scalar_text(value)


def _list_item_text(value: object) -> str:
    return _scalar_text(value).replace(" ", "_").replace(",", "_")


def _scalar_text(value: object) -> str:
    """Returns the text of a single value. Names are not changed, since clients and servers use them too."""
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value)


def _quoted(value: object) -> str:
    return ascii(value)[:_MAX_QUOTED]
