"""Which listed server each address leads to. Pure: no I/O and no clock.

A server that starts may get the address of one that is gone. The endpoint list may name the new server before
it removes the old one, so for a while two servers are listed at one address. The address then leads to the
one that was announced last.
"""

from __future__ import annotations

from collections.abc import Container

Address = tuple[str, int]


class AddressRegistry:
    """Records the addresses of the listed servers, in the order in which they were announced."""

    def __init__(self) -> None:
        self._addresses: dict[int, Address] = {}
        self._announced_by: dict[int, int] = {}  # the event that announced each server at its address
        self._servers: dict[Address, tuple[int, ...]] = {}

    def announce(self, server: int, address: Address, event: int, *, is_new_process: bool) -> None:
        """Records that a server is listed at an address.

        Args:
            server: The server.
            address: Its address.
            event: The sequence number of the event that lists it.
            is_new_process: Whether the event tells of a new start of the server. A server that is listed
                again at the same address without one keeps its place in the order.
        """
        if self._addresses.get(server) == address and not is_new_process:
            return
        self.remove(server)
        self._addresses[server] = address
        self._announced_by[server] = event
        self._servers[address] = (*self._servers.get(address, ()), server)

    def remove(self, server: int) -> None:
        """Records that a server is no longer listed."""
        address = self._addresses.pop(server, None)
        if address is None:
            return
        del self._announced_by[server]
        others = tuple(other for other in self._servers[address] if other != server)
        if others:
            self._servers[address] = others
        else:
            del self._servers[address]

    def retain(self, listed: Container[int]) -> None:
        """Removes all servers that a complete list lacks."""
        for server in [server for server in self._addresses if server not in listed]:
            self.remove(server)

    def is_reassigned(self, server: int, address: Address) -> bool:
        """Whether an address leads to another server than the given one.

        This is so if another server is listed there that was announced later, or if only others are listed
        there. Of servers that one event announced at the same address none is preferred.
        """
        others = [other for other in self._servers.get(address, ()) if other != server]
        if self._addresses.get(server) != address:
            return bool(others)
        announced_by = self._announced_by[server]
        return any(self._announced_by[other] > announced_by for other in others)
