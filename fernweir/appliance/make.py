"""Makes a unit's folder: settings, keys with safe permissions, state, a service file as text."""

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

_KEEPERS_MOST = 5
_SEEDS_MOST = 8
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


def create_unit(root: Path, wish: UnitOptions) -> list[str]:
    """The files that were made. UnitError, with nothing left behind, if it can't be done."""
    root = root.absolute()
    if root.exists() and any(root.iterdir()):
        raise UnitError(f"{root}: is not empty; nothing was changed")
    layout = Layout(root)
    longest = len(os.fsencode(layout.front_socket(wish.fronts)))
    if longest > MAX_SOCKET_PATH_BYTES:
        raise UnitError(
            f"{root}: the path is too long for a socket in it, by {longest - MAX_SOCKET_PATH_BYTES} bytes"
        )
    if not wish.simulated_servers and not wish.list_url:
        raise UnitError("say where the list of boxes is, or how many simulated boxes to try with")
    fresh = not root.exists()
    try:
        return _make(layout, wish)
    except (OSError, ConfigError) as error:
        if fresh:
            shutil.rmtree(root, ignore_errors=True)
        raise UnitError(str(error)) from None


def _make(layout: Layout, wish: UnitOptions) -> list[str]:
    for folder in (layout.root, layout.state, layout.run, layout.log):
        folder.mkdir(parents=True, exist_ok=True)
        folder.chmod(0o700)
    ports = _Ports(wish.host, wish.port)
    front_ports = [ports.take() for _ in range(wish.fronts)]
    list_port = ports.take() if wish.simulated_servers else 0
    box_ports = [ports.take() for _ in range(wish.simulated_servers)]
    peer_ports = [ports.take() for _ in range(wish.fronts)] if wish.fronts > 1 else []
    ports.close()
    _write(layout.keys, generate_key_set("k1") + "\n")
    if peer_ports:
        _write(layout.fleet_key, secrets.token_hex(32) + "\n")
    _write(layout.unit_ini, _unit_ini(wish, list_port, box_ports))
    list_url = wish.list_url or f"http://{wish.host}:{list_port}/boxes"
    for number, port in enumerate(front_ports, 1):
        text = _front_ini(wish, number, port, list_url) + _peers_ini(wish, number, peer_ports)
        _write(layout.front_ini(number), text)
    if wish.simulated_servers:
        _write(layout.trial_list, _trial_list(wish, box_ports))
    user = os.environ.get("USER", "fernweir")
    service = _SERVICE.format(name=wish.name, python=sys.executable, root=layout.root, user=user)
    _write(layout.root / "fernweir-unit.service", service)
    write_format(layout)
    for number in range(1, wish.fronts + 1):
        load_front(layout.front_ini(number))
    return sorted(str(path.relative_to(layout.root)) for path in layout.root.rglob("*") if path.is_file())


class _Ports:
    """Free ports: in a row from a first one, or the kernel's choice. All held until all are known."""

    def __init__(self, host: str, first: int) -> None:
        self._host, self._next, self._held = host, first, list[socket.socket]()

    def take(self) -> int:
        sock = socket.socket()
        try:
            sock.bind((self._host, self._next))
        except OSError as error:
            sock.close()
            self.close()
            raise OSError(f"port {self._next} of {self._host}: {error.strerror}") from None
        self._held.append(sock)
        if self._next:
            self._next += 1
        return int(sock.getsockname()[1])

    def close(self) -> None:
        for sock in self._held:
            sock.close()


def _write(path: Path, text: str) -> None:
    handle = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
    with open(handle, "w", encoding="utf-8") as file:
        file.write(text)


def _unit_ini(wish: UnitOptions, list_port: int, box_ports: list[int]) -> str:
    lines = [
        "; A unit of fernweir. docs/appliance.md explains each key.",
        "[unit]",
        f"name = {wish.name}",
        f"fronts = {wish.fronts}",
    ]
    if wish.operators:
        lines.append(f"operators = {', '.join(wish.operators)}")
    if wish.simulated_servers:
        lines += [
            "",
            "; Simulated boxes to try with: leave this section out for real ones.",
            "[trial]",
            f"boxes = {wish.simulated_servers}",
            f"list = {wish.host}:{list_port}",
            f"first-port = {box_ports[0]}",
        ]
    return "\n".join(lines) + "\n"


def _front_ini(wish: UnitOptions, number: int, port: int, list_url: str) -> str:
    cells = max(wish.simulated_servers, 1) if wish.simulated_servers else 16
    operators = f"\noperators = unit, {', '.join(wish.operators)}" if wish.operators else ""
    return f"""; Front {number} of the unit. docs/operating.md explains each key; set [fleet] to your boxes.
[front]
name = front-{number}
listen = {wish.host}:{port}
ordinal = {number - 1}
fronts = {wish.fronts}
seed = {number}
stop-within = 10 s

[list]
url = {list_url}
cache = state/list-{number}.json

[tokens]
keys = keys.json
issuer = {wish.issuer}

[fleet]
cells = {cells}
racks = {cells if wish.simulated_servers else 2}
streams = 30
link = 12 MB/s
uplink = {12 if wish.simulated_servers else 67} MB/s

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


def _peers_ini(wish: UnitOptions, number: int, ports: list[int]) -> str:
    """Fronts of one unit know one another; a front that is alone knows nobody."""
    if not ports:
        return ""
    # Odd, and no more than a majority of which survives most losses; of two fronts only one can keep.
    keepers = min((wish.fronts - 1) // 2 * 2 + 1, _KEEPERS_MOST)
    seeds = [f"{wish.host}:{port}" for place, port in enumerate(ports, 1) if place != number]
    return f"""
; The other fronts of the unit: sessions of one that is gone go on at them. docs/peers-operating.md
[peers]
listen = {wish.host}:{ports[number - 1]}
seeds = {", ".join(seeds[:_SEEDS_MOST])}
key = fleet.key
keepers = {", ".join(f"front-{one}" for one in range(1, keepers + 1))}
"""


def _trial_list(wish: UnitOptions, box_ports: list[int]) -> str:
    boxes = [
        {"box": number, "host": wish.host, "port": port, "cell": number - 1}
        for number, port in enumerate(box_ports, 1)
    ]
    copies = min(3, wish.simulated_servers)
    lessons = [
        {"title": f"lesson-{number}", "cell": number % wish.simulated_servers, "copies": copies}
        for number in range(1, 7)
    ]
    return json.dumps({"boxes": boxes, "lessons": lessons}, indent=1) + "\n"
