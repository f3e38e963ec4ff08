"""What a front node is told at its start: the JSON named by `ROUTER_CONFIG`."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from fernweir.interface import Settings
from fernweir.wire import Fields, WireError, read_settings

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
    idle_ms: float


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
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not (host and colon and port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        raise ConfigError(f"{what} is no address with a port: {text!r}")
    return host, int(port)


def _read(body: dict[str, Any]) -> NodeConfig:
    seed, limits, known = body.get("seed"), body.get("limits"), body.get("known")
    try:
        number = int(seed, 16) if isinstance(seed, str) else -1
    except ValueError:
        number = -1
    if number < 0:
        raise ConfigError(f"seed is no hex number: {seed!r}")
    sockets = limits.get("sockets") if isinstance(limits, dict) else None
    if not isinstance(sockets, int) or sockets < 1:
        raise ConfigError("limits.sockets is no number of descriptors")
    if not isinstance(known, dict) or not isinstance(known.get("n"), int):
        raise ConfigError("known has no last number")
    events = known.get("events")
    if not isinstance(events, list):
        raise ConfigError("known has no list of events")
    fields = Fields(flat(body.get("settings")))
    return NodeConfig(
        name=str(body.get("name", "")),
        listen=address(body.get("listen"), "listen"),
        seed=number,
        sockets=sockets,
        feed=address(body.get("feed"), "feed"),
        known_n=known["n"],
        known=tuple(events),
        settings=read_settings(fields),
        kinds=tuple(fields.text("MachineTypes").split(",")),
        connect_ms=fields.number("Limits.ConnectTimeout"),
        idle_ms=fields.number("Limits.ConnIdle"),
    )


def flat(settings: object) -> dict[str, str]:
    """The nested settings as the simulator's paths and values: one parser reads both."""
    if not isinstance(settings, dict):
        raise ConfigError("settings are no object")
    table: dict[str, str] = {}
    _flatten(settings, "", table)
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
        table[path] = ",".join(_plain(one) for one in value)
    elif value is not None:
        table[path] = _plain(value)


def _plain(value: object) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value).replace(" ", "_").replace(",", "_")
