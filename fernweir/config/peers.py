"""The settings of a front's peers. Pure settings: nothing of `fernweir.peers` is imported for them."""

from __future__ import annotations

from ipaddress import IPv4Address
from pathlib import Path
from typing import Annotated, Any

from pydantic import AfterValidator, BeforeValidator, Field

from fernweir.config.ini import Reader, Section
from fernweir.config.units import Address, Count, Millis, Positive, PositiveMillis, RateKb, Share, Size

_LONGEST_KEY_FILE = 4_096


def _number(address: tuple[str, int]) -> tuple[str, int]:
    """Names are refused: looking one up would stop the front."""
    try:
        IPv4Address(address[0])
    except ValueError:
        raise ValueError("not an IPv4 address with a port: write 10.0.0.1:7400") from None
    return address


def _parts(value: Any) -> Any:
    return [part.strip() for part in value.split(",") if part.strip()] if isinstance(value, str) else value


def _distinct(names: list[str]) -> list[str]:
    twice = sorted({name for name in names if names.count(name) > 1})
    if twice:
        raise ValueError(f"named twice: {', '.join(twice)}")
    return names


def _odd(names: list[str]) -> list[str]:
    if len(names) % 2 == 0:
        raise ValueError(f"{len(names)} of them: an odd number is needed, as a majority grants")
    return names


PeerAddress = Annotated[Address, AfterValidator(_number)]
PeerName = Annotated[str, Field(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$")]
Format = Annotated[Positive, Field(le=255)]


class PeersSection(Section):
    """Who a front's peers are, and what of sessions they share; left out, it has none.

    `bytes` is what a front sends a second to all peers together. `epoch` is raised by operators with each
    change of the settings, `keepers_version` with each change of the keepers. `drift` is by how much of a
    span two clocks may differ. `record` is a folder in which the record of acts outlives the process, of
    `record_disk` bytes at most; left out, only peers keep it. Times in ms.
    """

    listen: PeerAddress
    advertise: PeerAddress | None = None
    seeds: Annotated[list[PeerAddress], BeforeValidator(_parts), Field(max_length=64)] = Field(
        default_factory=list
    )
    key: str
    old_key: str | None = None
    keepers: Annotated[
        list[PeerName],
        BeforeValidator(_parts),
        Field(min_length=1, max_length=15),
        AfterValidator(_distinct),
        AfterValidator(_odd),
    ]
    keepers_version: Positive = 1
    parts: Annotated[Positive, Field(le=256)] = 8
    lease: PositiveMillis = 6_000.0
    drift: Annotated[Share, Field(le=0.2)] = 0.01
    overlap: Millis = 1_000.0
    standbys: Annotated[Positive, Field(le=8)] = 2
    bytes: RateKb = 1_000.0
    epoch: Count = 0
    format_lowest: Format | None = None
    format_highest: Format | None = None
    record: str | None = None
    record_disk: Size = 67_108_864
    late_after: PositiveMillis = 15_000.0
    bring_up_within: PositiveMillis = 10_000.0
    shut_out_share: Annotated[Share, Field(lt=0.5)] = 0.34

    @property
    def advertised(self) -> tuple[str, int]:
        return self.advertise or self.listen


def check_peers(reader: Reader, peers: PeersSection, folder: Path) -> None:
    """What can be wrong between two values, or with the files that are named."""
    if peers.lease <= peers.overlap:
        reader.wrong("peers", "lease", "must be longer than the overlap")
    if peers.advertise is not None:
        if peers.advertise[1] == 0 and peers.listen[1] != 0:
            reader.wrong("peers", "advertise", "needs a port, as listen has one")
        if peers.advertise[0] == "0.0.0.0":
            reader.wrong("peers", "advertise", "is no address at which a peer can reach this front")
    elif peers.listen[0] == "0.0.0.0":
        reader.wrong("peers", "advertise", "is needed where listen is 0.0.0.0")
    if any(host == "0.0.0.0" or port == 0 for host, port in peers.seeds):
        reader.wrong("peers", "seeds", "each needs an address and a port at which it can be reached")
    lowest, highest = peers.format_lowest, peers.format_highest
    if lowest is not None and highest is not None and lowest > highest:
        reader.wrong("peers", "format-lowest", f"is above the highest, {highest}")
    for key, name in (("key", peers.key), ("old-key", peers.old_key)):
        if name is not None:
            _check_key(reader, key, folder / name)
    if peers.old_key is not None and folder / peers.old_key == folder / peers.key:
        reader.wrong("peers", "old-key", "is the same file as key")


def _check_key(reader: Reader, key: str, path: Path) -> None:
    try:
        with path.open("rb") as file:
            text = file.read(_LONGEST_KEY_FILE + 1)
    except OSError as error:
        reader.wrong("peers", key, f"{path} can't be read: {error.strerror}")
        return
    if len(text) > _LONGEST_KEY_FILE or len(text.split()) != 1:
        reader.wrong("peers", key, f"{path} must be one line with a key of 32 to 64 bytes, in hex or base64")
