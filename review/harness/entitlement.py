"""An entitlement server: it leases seats over HTTP as docs/protocols.md says, and can fall silent."""

from __future__ import annotations

import asyncio
import json
from contextlib import suppress
from dataclasses import dataclass

from harness.node import Address, free_address
from harness.record import Record


@dataclass(slots=True)
class Lease:
    """A seat that the server has given away.

    Attributes:
        name: The name of the lease.
        key: The idempotency key under which it was acquired.
        session: The session that holds it.
        expires_at: When it expires, in seconds of the record.
    """

    name: str
    key: str
    session: str
    expires_at: float


class EntitlementServer:
    """Grants every seat. A key stands for one seat, however often it is used.

    Args:
        record: The record of the run.
        lease_s: How long a lease lasts from its grant or renewal.

    Attributes:
        is_silent: Whether requests are read but neither carried out nor answered.
        leases: The leases that have neither expired nor been released, by name.
        grants: Each lease that was granted, in order.
        renewed: The sessions whose leases were renewed.
        release_keys: The key of each request for a release, carried out or not.
        most_by_session: For each session, the most leases that it held at a time, by name.
    """

    def __init__(self, record: Record, lease_s: float) -> None:
        self.address: Address = free_address()
        self.is_silent = False
        self.leases: dict[str, Lease] = {}
        self.grants: list[Lease] = []
        self.renewed: set[str] = set()
        self.release_keys: list[str] = []
        self.most_by_session: dict[str, list[str]] = {}
        self._record = record
        self._lease_s = lease_s
        self._fence = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listens at its address."""
        self._server = await asyncio.start_server(self._serve, *self.address)

    async def stop(self) -> None:
        """Closes all connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with suppress(asyncio.IncompleteReadError, OSError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                request_line, *lines = head.split("\r\n")
                headers = {}
                for line in lines:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                method, target, _ = request_line.split(" ")
                key = headers.get("idempotency-key", "").strip('"')
                self._handle(writer, method, target, key, body)
        writer.close()
        self._writers.discard(writer)

    def _handle(self, writer: asyncio.StreamWriter, method: str, target: str, key: str, body: bytes) -> None:
        if method == "DELETE":
            self.release_keys.append(key)
        if self.is_silent:
            self._record.write("entitlement", f"{method} {target} key {key}: no answer")
            return
        self._expire()
        status, answer = self._carry_out(method, target, key, body)
        self._record.write("entitlement", f"{method} {target} key {key}: {status} {json.dumps(answer)}")
        data = json.dumps(answer).encode()
        head = f"HTTP/1.1 {status} -\r\ncontent-type: application/json\r\ncontent-length: {len(data)}\r\n\r\n"
        writer.write(head.encode() + data)

    def _carry_out(self, method: str, target: str, key: str, body: bytes) -> tuple[int, dict[str, object]]:
        parts = target.strip("/").split("/")
        if method == "POST" and parts == ["leases"]:
            return 200, self._acquire(key, str(json.loads(body)["session"]))
        if method == "POST" and parts[-1] == "renew":
            lease = self.leases.get(parts[1])
            if lease is None:
                return 404, {}
            self.renewed.add(lease.session)
            return 200, self._extend(lease)
        if method == "DELETE":
            found = [name for name, lease in self.leases.items() if lease.key == parts[1]]
            for name in found:
                del self.leases[name]
            return (200 if found else 404), {}
        leases = [{"lease": one.name, "key": one.key, "session": one.session, "fence": self._fence}
                  for one in self.leases.values()]  # fmt: skip
        return 200, {"fence": self._fence, "total": len(leases), "leases": leases, "places": []}

    def _acquire(self, key: str, session: str) -> dict[str, object]:
        lease = next((one for one in self.leases.values() if one.key == key), None)
        if lease is None:
            lease = Lease(f"L{len(self.grants) + 1}", key, session, 0.0)
            self.leases[lease.name] = lease
            self.grants.append(lease)
            held = [name for name, one in self.leases.items() if one.session == session]
            self._record.write("entitlement", f"session {session} holds {', '.join(held)}")
            if len(held) > len(self.most_by_session.get(session, [])):
                self.most_by_session[session] = held
        return self._extend(lease)

    def _extend(self, lease: Lease) -> dict[str, object]:
        self._fence += 1
        lease.expires_at = self._record.now() + self._lease_s
        return {"lease": lease.name, "fence": self._fence, "expires_in_ms": self._lease_s * 1000.0}

    def _expire(self) -> None:
        now = self._record.now()
        for name in [name for name, lease in self.leases.items() if lease.expires_at <= now]:
            self._record.write("entitlement", f"{name} has expired")
            del self.leases[name]
