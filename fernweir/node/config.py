"""What a front node is told at its start: the JSON named by `ROUTER_CONFIG`."""

from __future__ import annotations

import json
import math
from collections.abc import Mapping
from dataclasses import dataclass
from ipaddress import IPv4Address
from pathlib import Path
from typing import Any

from fernweir.interface import Settings
from fernweir.node.settings import SettingError, check_consistency, check_settings, replace_zero_limits
from fernweir.wire import Fields, WireError, read_settings

Address = tuple[str, int]


class ConfigError(ValueError):
    """The configuration can't be used; the text says what is wrong, one line a mistake."""


@dataclass(frozen=True, slots=True)
class NodeConfig:
    name: str
    listen_address: Address
    seed: int
    max_descriptors: int
    feed_address: Address
    known_sequence_number: int
    known_events: tuple[object, ...]  # events as the feed tells them
    settings: Settings
    server_types: tuple[str, ...]  # machine kinds by their position
    connect_timeout_ms: float
    idle_timeout_ms: float  # infinite where idle connections stay


def load_config(environment: Mapping[str, str]) -> NodeConfig:
    """Reads the file that the environment names; name and address there go before the file's."""
    path = environment.get("ROUTER_CONFIG")
    if not path:
        raise ConfigError("ROUTER_CONFIG names no file")
    try:
        body = json.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"{path}: not JSON: {error}") from None
    if not isinstance(body, dict):
        raise ConfigError(f"{path}: not a JSON object")
    for key, variable in (("name", "ROUTER_NAME"), ("listen", "ROUTER_LISTEN")):
        if environment.get(variable):
            body[key] = environment[variable]
    try:
        return _parse_config(body)
    except (ConfigError, WireError) as error:
        raise ConfigError(f"{path}: {error}") from None


def parse_address(text: object, what: str) -> Address:
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    try:
        IPv4Address(host)  # there is no DNS; asking for a name would hold up all that a node does
        number = int(port) if port.isascii() and port.isdigit() else 0
        if not 0 < number < 65536:
            raise ValueError
    except ValueError:
        raise ConfigError(f"{what} is no address with a port: {ascii(text)[:60]}") from None
    return host, number


def _parse_config(body: dict[str, Any]) -> NodeConfig:
    seed, limits, known = body.get("seed"), body.get("limits"), body.get("known")
    try:
        number = int(seed, 16) if isinstance(seed, str) else -1
    except ValueError:
        number = -1
    if number < 0:
        raise ConfigError(f"seed is no hex number: {ascii(seed)[:60]}")
    sockets = limits.get("sockets") if isinstance(limits, dict) else None
    if not isinstance(sockets, int) or isinstance(sockets, bool) or sockets < 1:
        raise ConfigError("limits.sockets is no number of descriptors")
    last = known.get("n") if isinstance(known, dict) else None
    if not isinstance(known, dict) or not isinstance(last, int) or isinstance(last, bool):
        raise ConfigError("known has no last number")
    events = known.get("events")
    if not isinstance(events, list):
        raise ConfigError("known has no list of events")
    name = body.get("name", "")
    if not isinstance(name, str):
        raise ConfigError(f"name is no text: {ascii(name)[:60]}")
    listen, feed = parse_address(body.get("listen"), "listen"), parse_address(body.get("feed"), "feed")
    told = body.get("settings")
    fields = Fields(flatten_settings(told))
    settings, kinds = _parse_settings(told, fields)
    longest = max(one.deadline_ms for one in settings.classes)
    return NodeConfig(
        name=name,
        listen_address=listen,
        seed=number % 2**64,  # as wide as the wire's
        max_descriptors=sockets,
        feed_address=feed,
        known_sequence_number=last,
        known_events=tuple(events),
        settings=settings,
        server_types=kinds,
        # Without a limit of its own no connection is waited for longer than an answer, and none idles out.
        connect_timeout_ms=fields.number("Limits.ConnectTimeout", 0.0) or longest,
        idle_timeout_ms=fields.number("Limits.ConnIdle", 0.0) or math.inf,
    )


def _parse_settings(told: Any, fields: Fields) -> tuple[Settings, tuple[str, ...]]:
    try:
        check_settings(told)
        settings = read_settings(fields)
        check_consistency(settings)
    except SettingError as error:
        raise ConfigError(f"settings: {error}") from None
    fields.text("MachineTypes")  # has to be there
    return replace_zero_limits(settings), tuple(told["MachineTypes"])


def flatten_settings(settings: object) -> dict[str, str]:
    """The nested settings as the simulator's paths and values: one parser reads both."""
    if not isinstance(settings, dict):
        raise ConfigError("settings are no object")
    table: dict[str, str] = {}
    try:
        _flatten_into(settings, "", table)
    except RecursionError:
        raise ConfigError("settings are nested too deep") from None
    return table


def _flatten_into(value: object, path: str, table: dict[str, str]) -> None:
    if isinstance(value, dict):
        for key, inner in value.items():
            _flatten_into(inner, f"{path}.{key}" if path else str(key), table)
    elif isinstance(value, list) and any(isinstance(one, dict) for one in value):
        table[f"{path}.count"] = str(len(value))
        for place, inner in enumerate(value):
            _flatten_into(inner, f"{path}.{place}", table)
    elif isinstance(value, list):
        table[path] = ",".join(_scalar_text(one).replace(" ", "_").replace(",", "_") for one in value)
    elif value is not None:
        table[path] = _scalar_text(value)


def _scalar_text(value: object) -> str:
    """A value alone stays as it is: a class is called in set-ups, and at servers, by its name as told."""
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value)
