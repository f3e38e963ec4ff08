"""The settings of a front's peers; nothing of `fernweir.peers` is imported for them."""

from __future__ import annotations

from ipaddress import IPv4Address
from pathlib import Path
from typing import Annotated

from pydantic import AfterValidator, BeforeValidator, Field

from fernweir.config.ini import Section, SectionReader
from fernweir.config.units import (
    Address,
    Count,
    Millis,
    Positive,
    PositiveMillis,
    RateKb,
    Ratio,
    Size,
    split_list,
)

_MAX_KEY_FILE_BYTES = 4_096
_ANY_ADDRESS = "0.0.0.0"


def _check_is_ipv4(address: tuple[str, int]) -> tuple[str, int]:
    """Rejects host names: resolving one would block the front."""
    try:
        IPv4Address(address[0])
    except ValueError:
        raise ValueError("not an IPv4 address with a port: write 10.0.0.1:7400") from None
    return address


def _check_are_distinct(names: list[str]) -> list[str]:
    duplicates = sorted({name for name in names if names.count(name) > 1})
    if duplicates:
        raise ValueError(f"named twice: {', '.join(duplicates)}")
    return names


def _check_is_odd(names: list[str]) -> list[str]:
    if len(names) % 2 == 0:
        raise ValueError(f"{len(names)} of them: an odd number is needed, as a majority grants")
    return names


PeerAddress = Annotated[Address, AfterValidator(_check_is_ipv4)]
PeerName = Annotated[str, Field(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$")]
Format = Annotated[Positive, Field(le=255)]


class PeersSection(Section):
    """A front's peers and what they share of sessions. A front without this section has no peers.

    `keepers` are the acceptors of leases, `parts` the number of channels. `bytes` limits what a front sends
    to all peers together, in kB/s. Operators raise `epoch` with each change of the settings, and
    `keepers_version` with each change of the acceptors. `drift` is the ratio by which two clocks may differ
    in rate. `record` is the folder of the audit log, of `record_disk` bytes at most; without it only peers
    store the log. Times are milliseconds.
    """

    listen: PeerAddress
    advertise: PeerAddress | None = None
    seeds: Annotated[list[PeerAddress], BeforeValidator(split_list), Field(max_length=64)] = Field(
        default_factory=list
    )
    key: str
    old_key: str | None = None
    keepers: Annotated[
        list[PeerName],
        BeforeValidator(split_list),
        Field(min_length=1, max_length=15),
        AfterValidator(_check_are_distinct),
        AfterValidator(_check_is_odd),
    ]
    keepers_version: Positive = 1
    parts: Annotated[Positive, Field(le=256)] = 8
    lease: PositiveMillis = 6_000.0
    drift: Annotated[Ratio, Field(le=0.2)] = 0.01
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
    shut_out_share: Annotated[Ratio, Field(lt=0.5)] = 0.34

    @property
    def advertised(self) -> tuple[str, int]:
        """The address that peers use to reach this front."""
        return self.advertise or self.listen


def check_peers(reader: SectionReader, peers: PeersSection, folder: Path) -> None:
    """Adds problems between values of the section, and with the files that it names."""
    if peers.lease <= peers.overlap:
        reader.add_problem("peers", "lease", "must be longer than the overlap")
    _check_addresses(reader, peers)
    lowest, highest = peers.format_lowest, peers.format_highest
    if lowest is not None and highest is not None and lowest > highest:
        reader.add_problem("peers", "format-lowest", f"is above the highest, {highest}")
    for key, name in (("key", peers.key), ("old-key", peers.old_key)):
        if name is not None:
            _check_key(reader, key, folder / name)
    if peers.old_key is not None and folder / peers.old_key == folder / peers.key:
        reader.add_problem("peers", "old-key", "is the same file as key")


def _check_addresses(reader: SectionReader, peers: PeersSection) -> None:
    if peers.advertise is not None:
        if peers.advertise[1] == 0 and peers.listen[1] != 0:
            reader.add_problem("peers", "advertise", "needs a port, as listen has one")
        if peers.advertise[0] == _ANY_ADDRESS:
            reader.add_problem("peers", "advertise", "is no address at which a peer can reach this front")
    elif peers.listen[0] == _ANY_ADDRESS:
        reader.add_problem("peers", "advertise", "is needed where listen is 0.0.0.0")
    if any(host == _ANY_ADDRESS or port == 0 for host, port in peers.seeds):
        reader.add_problem("peers", "seeds", "each needs an address and a port at which it can be reached")


def _check_key(reader: SectionReader, key: str, path: Path) -> None:
    try:
        with path.open("rb") as file:
            text = file.read(_MAX_KEY_FILE_BYTES + 1)
    except OSError as error:
        reader.add_problem("peers", key, f"{path} can't be read: {error.strerror}")
        return
    if len(text) > _MAX_KEY_FILE_BYTES or len(text.split()) != 1:
        reader.add_problem(
            "peers", key, f"{path} must be one line with a key of 32 to 64 bytes, in hex or base64"
        )
