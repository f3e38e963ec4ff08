"""Creates the folder of a unit: settings, keys with safe permissions, state, and a systemd service file."""

from __future__ import annotations

import json
import os
import secrets
import shutil
import socket
import sys
from dataclasses import dataclass
from pathlib import Path

from fernweir.appliance.layout import MAX_SOCKET_PATH_BYTES, Layout, UnitError, write_format
from fernweir.config.front import load_front
from fernweir.config.ini import ConfigError
from fernweir.tokens.key_generation import generate_key_set

_MAX_KEEPERS = 5
_MAX_SEEDS = 8
_SERVICE = """[Unit]
Description=fernweir unit {name}
After=network.target

[Service]
ExecStart={python} -m fernweir appliance run {root}
Restart=always
RestartSec=1
KillMode=mixed
TimeoutStopSec=60
User={user}
UMask=0077

[Install]
WantedBy=multi-user.target
"""


@dataclass(frozen=True, slots=True)
class UnitOptions:
    """Options of a new unit.

    `port` is the first port; 0 selects free ones. With `simulated_servers` of 0 the unit uses a real list.
    """

    name: str
    fronts: int = 1
    host: str = "127.0.0.1"
    port: int = 8100
    simulated_servers: int = 0
    list_url: str = ""
    issuer: str = "entitlement"
    operators: tuple[str, ...] = ()


def create_unit(root: Path, options: UnitOptions) -> list[str]:
    """Creates a unit and returns its files. Raises UnitError, with nothing left behind, if it fails."""
    root = root.absolute()
    if root.exists() and any(root.iterdir()):
        raise UnitError(f"{root}: is not empty; nothing was changed")
    layout = Layout(root)
    path_bytes = len(os.fsencode(layout.front_socket(options.fronts)))
    if path_bytes > MAX_SOCKET_PATH_BYTES:
        raise UnitError(
            f"{root}: the path is too long for a socket in it, by {path_bytes - MAX_SOCKET_PATH_BYTES} bytes"
        )
    if not options.simulated_servers and not options.list_url:
        raise UnitError("either the URL of the server list or a number of simulated servers is required")
    is_new_folder = not root.exists()
    try:
        return _create(layout, options)
    except (OSError, ConfigError) as error:
        if is_new_folder:
            shutil.rmtree(root, ignore_errors=True)
        raise UnitError(str(error)) from None


def _create(layout: Layout, options: UnitOptions) -> list[str]:
    for folder in (layout.root, layout.state, layout.run, layout.log):
        folder.mkdir(parents=True, exist_ok=True)
        folder.chmod(0o700)
    ports = _Ports(options.host, options.port)
    front_ports = [ports.reserve() for _ in range(options.fronts)]
    list_port = ports.reserve() if options.simulated_servers else 0
    server_ports = [ports.reserve() for _ in range(options.simulated_servers)]
    peer_ports = [ports.reserve() for _ in range(options.fronts)] if options.fronts > 1 else []
    ports.close()
    _write(layout.keys, generate_key_set("k1") + "\n")
    if peer_ports:
        _write(layout.fleet_key, secrets.token_hex(32) + "\n")
    _write(layout.unit_ini, _unit_ini(options, list_port, server_ports))
    list_url = options.list_url or f"http://{options.host}:{list_port}/boxes"
    for number, port in enumerate(front_ports, 1):
        text = _front_ini(options, number, port, list_url) + _peers_ini(options, number, peer_ports)
        _write(layout.front_ini(number), text)
    if options.simulated_servers:
        _write(layout.trial_list, _trial_list(options, server_ports))
    user = os.environ.get("USER", "fernweir")
    service = _SERVICE.format(name=options.name, python=sys.executable, root=layout.root, user=user)
    _write(layout.root / "fernweir-unit.service", service)
    write_format(layout)
    for number in range(1, options.fronts + 1):
        load_front(layout.front_ini(number))
    return sorted(str(path.relative_to(layout.root)) for path in layout.root.rglob("*") if path.is_file())


class _Ports:
    """Reserves free ports: consecutive ones from a first port, or ports that the kernel selects.

    The sockets stay bound until `close`, so that no port is reserved twice.
    """

    def __init__(self, host: str, first: int) -> None:
        self._host, self._next_port, self._reserved = host, first, list[socket.socket]()

    def reserve(self) -> int:
        sock = socket.socket()
        try:
            sock.bind((self._host, self._next_port))
        except OSError as error:
            sock.close()
            self.close()
            raise OSError(f"port {self._next_port} of {self._host}: {error.strerror}") from None
        self._reserved.append(sock)
        if self._next_port:
            self._next_port += 1
        return int(sock.getsockname()[1])

    def close(self) -> None:
        for sock in self._reserved:
            sock.close()


def _write(path: Path, text: str) -> None:
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
    with open(descriptor, "w", encoding="utf-8") as file:
        file.write(text)


def _unit_ini(options: UnitOptions, list_port: int, server_ports: list[int]) -> str:
    lines = [
        "; A unit of fernweir. docs/appliance.md explains each key.",
        "[unit]",
        f"name = {options.name}",
        f"fronts = {options.fronts}",
    ]
    if options.operators:
        lines.append(f"operators = {', '.join(options.operators)}")
    if options.simulated_servers:
        lines += [
            "",
            "; Simulated boxes to try with: leave this section out for real ones.",
            "[trial]",
            f"boxes = {options.simulated_servers}",
            f"list = {options.host}:{list_port}",
            f"first-port = {server_ports[0]}",
        ]
    return "\n".join(lines) + "\n"


def _front_ini(options: UnitOptions, number: int, port: int, list_url: str) -> str:
    cells = max(options.simulated_servers, 1) if options.simulated_servers else 16
    operators = f"\noperators = unit, {', '.join(options.operators)}" if options.operators else ""
    return f"""; Front {number} of the unit. docs/operating.md explains each key; set [fleet] to your boxes.
[front]
name = front-{number}
listen = {options.host}:{port}
ordinal = {number - 1}
fronts = {options.fronts}
seed = {number}
stop-within = 10 s

[list]
url = {list_url}
cache = state/list-{number}.json

[tokens]
keys = keys.json
issuer = {options.issuer}

[fleet]
cells = {cells}
racks = {cells if options.simulated_servers else 2}
streams = 30
link = 12 MB/s
uplink = {12 if options.simulated_servers else 67} MB/s

[ladder]
rates = 150 kB/s, 300 kB/s, 500 kB/s, 800 kB/s, 1.2 MB/s
worths = 0.25, 0.5, 0.7, 0.9, 1

[reports]
fields = x0, x1
tell = 2 s

[rules]
attempts = 3
retry-after-max = 1 s
drain-grace = 1 s
budget-span = 10 s
budget-free = 5
budget-share = 10%

[class.briefing]
aim = 800 ms
deadline = 3 s
gain = 3
scale = 1.4
lowest-rung = 1

[class.training]
aim = 800 ms
deadline = 4 s

[control]
socket = run/front-{number}.sock
orders = state/orders.json
led = yes
journal = state/journal-front-{number}
journal-disk = 64 MB{operators}
"""


def _peers_ini(options: UnitOptions, number: int, ports: list[int]) -> str:
    """Returns the section that makes the fronts of a unit peers; empty for a single front."""
    if not ports:
        return ""
    # An odd number, so that a majority survives most losses; two fronts have only one keeper.
    keepers = min((options.fronts - 1) // 2 * 2 + 1, _MAX_KEEPERS)
    seeds = [f"{options.host}:{port}" for other_number, port in enumerate(ports, 1) if other_number != number]
    return f"""
; The other fronts of the unit: sessions of one that is gone go on at them. docs/peers-operating.md
[peers]
listen = {options.host}:{ports[number - 1]}
seeds = {", ".join(seeds[:_MAX_SEEDS])}
key = fleet.key
keepers = {", ".join(f"front-{keeper}" for keeper in range(1, keepers + 1))}
"""


def _trial_list(options: UnitOptions, server_ports: list[int]) -> str:
    servers = [
        {"box": number, "host": options.host, "port": port, "cell": number - 1}
        for number, port in enumerate(server_ports, 1)
    ]
    replicas = min(3, options.simulated_servers)
    titles = [
        {"title": f"lesson-{number}", "cell": number % options.simulated_servers, "copies": replicas}
        for number in range(1, 7)
    ]
    return json.dumps({"boxes": servers, "lessons": titles}, indent=1) + "\n"
