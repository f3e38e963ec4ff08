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
from fernweir.node.settings import SettingError, agree, check, in_force
from fernweir.wire import SettingsTable, WireError, read_settings

Address = tuple[str, int]


class ConfigError(ValueError):
    """The configuration can't be used; the text says what is wrong, one line a mistake."""


@dataclass(frozen=True, slots=True)
class NodeConfig:
    name: str
    listen: Address
    seed: int
    sockets: int
    feed: Address
    known_n: int
    known: tuple[object, ...]  # events as the feed tells them
    settings: Settings
    kinds: tuple[str, ...]  # machine kinds by their position
    connect_ms: float
    idle_ms: float  # infinite where idle connections stay


def load(environment: Mapping[str, str]) -> NodeConfig:
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
        return _read(body)
    except (ConfigError, WireError) as error:
        raise ConfigError(f"{path}: {error}") from None


def address(text: object, what: str) -> Address:
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    try:
        IPv4Address(host)  # there is no DNS; asking for a name would hold up all that a node does
        number = int(port) if port.isascii() and port.isdigit() else 0
        if not 0 < number < 65536:
            raise ValueError
    except ValueError:
        raise ConfigError(f"{what} is no address with a port: {ascii(text)[:60]}") from None
    return host, number


def _read(body: dict[str, Any]) -> NodeConfig:
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
    listen, feed = address(body.get("listen"), "listen"), address(body.get("feed"), "feed")
    told = body.get("settings")
    fields = SettingsTable(flat(told))
    settings, kinds = _settings(told, fields)
    longest = max(one.deadline_ms for one in settings.classes)
    return NodeConfig(
        name=name,
        listen=listen,
        seed=number % 2**64,  # as wide as the wire's
        sockets=sockets,
        feed=feed,
        known_n=last,
        known=tuple(events),
        settings=settings,
        kinds=kinds,
        # Without a limit of its own no connection is waited for longer than an answer, and none idles out.
        connect_ms=fields.number("Limits.ConnectTimeout", 0.0) or longest,
        idle_ms=fields.number("Limits.ConnIdle", 0.0) or math.inf,
    )


def _settings(told: Any, fields: SettingsTable) -> tuple[Settings, tuple[str, ...]]:
    try:
        check(told)
        settings = read_settings(fields)
        agree(settings)
    except SettingError as error:
        raise ConfigError(f"settings: {error}") from None
    fields.text("MachineTypes")  # has to be there
    return in_force(settings), tuple(told["MachineTypes"])


def flat(settings: object) -> dict[str, str]:
    """The nested settings as the simulator's paths and values: one parser reads both."""
    if not isinstance(settings, dict):
        raise ConfigError("settings are no object")
    table: dict[str, str] = {}
    try:
        _flatten(settings, "", table)
    except RecursionError:
        raise ConfigError("settings are nested too deep") from None
    return table


def _flatten(value: object, path: str, table: dict[str, str]) -> None:
    if isinstance(value, dict):
        for key, inner in value.items():
            _flatten(inner, f"{path}.{key}" if path else str(key), table)
    elif isinstance(value, list) and any(isinstance(one, dict) for one in value):
        table[f"{path}.count"] = str(len(value))
        for place, inner in enumerate(value):
            _flatten(inner, f"{path}.{place}", table)
    elif isinstance(value, list):
        table[path] = ",".join(_plain(one).replace(" ", "_").replace(",", "_") for one in value)
    elif value is not None:
        table[path] = _plain(value)


def _plain(value: object) -> str:
    """A value alone stays as it is: a class is called in set-ups, and at servers, by its name as told."""
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value)
