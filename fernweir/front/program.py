"""The front process: builds its parts from the settings, runs until stopped, and shuts down in order."""

from __future__ import annotations

import asyncio
import os
import signal
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import IO, TYPE_CHECKING

import structlog

from fernweir.config.front import ControlSection, FrontConfig, HttpSection, IntrospectionSection
from fernweir.config.ini import ConfigError, Problem
from fernweir.control.channel import ControlServer
from fernweir.control.desk import OrderService, OrderServiceSettings, load_orders
from fernweir.control.orders import OrderRules
from fernweir.control.overlay import Overlay
from fernweir.control.statefile import StateFileError
from fernweir.entitlement.client import EntitlementClient
from fernweir.entitlement.introspect import IntrospectionConfig, Introspector
from fernweir.entitlement.queue import QueueConfig
from fernweir.front.commands import SessionRequest
from fernweir.front.dash import DashService, TokenRules
from fernweir.front.dispatcher import Dispatcher, Log
from fernweir.front.endpoint_list import EndpointList
from fernweir.front.entitlement_gate import EntitlementGate
from fernweir.front.follower import ListFollower
from fernweir.front.introspection import IntrospectionClient
from fernweir.front.keyset import KeySetFollower
from fernweir.front.operator_controls import OperatorControls
from fernweir.front.record import Recorder
from fernweir.front.seat_reconciliation import SeatReconciliation
from fernweir.front.server_client import ServerClient, ServerTimeouts
from fernweir.front.session_manager import SessionLimits, SessionManager
from fernweir.http.client import Pool
from fernweir.http.parse import Limits
from fernweir.http.server import Server, ServerLimits
from fernweir.journal.disk import JournalFolder
from fernweir.journal.store import Journal, JournalConfig, StoredSegment
from fernweir.seats.file_store import DiskFileStore, FileStore
from fernweir.seats.log import LogError, SeatLog
from fernweir.seats.records import RecordError, rebuild_table
from fernweir.seats.seat import SeatManagerConfig
from fernweir.seats.seat_manager import SeatManager
from fernweir.tokens import Keyring, KeyringError

if TYPE_CHECKING:  # loaded only if the settings have a [peers] section
    from fernweir.peers.program import Peers

_MAX_SEAT_RELEASE_S = 2.0


@dataclass(frozen=True, slots=True)
class Front:
    """A running front and its parts."""

    core: Dispatcher
    server: Server
    server_client: ServerClient
    list_follower: ListFollower
    pools: tuple[Pool, ...]
    record: IO[str] | None
    gate: EntitlementGate | None = None
    keyring: Keyring | None = None
    introspection: IntrospectionClient | None = None
    use_check: SeatReconciliation | None = None
    control: _Control | None = None
    peers: Peers | None = None
    service: DashService | None = None

    @property
    def address(self) -> tuple[str, int]:
        """The address on which viewers are served."""
        return self.server.address

    async def stop(self, within_s: float) -> bool:
        """Accepts nothing new, replies to all pending requests, and ends.

        Returns False if some requests had no reply in time.
        """
        self.server.stop_listening()
        if self.introspection is not None:
            self.introspection.shutdown()
        all_answered = await self.core.drain(within_s)
        if self.peers is not None:
            all_handed_off = await self.peers.leave(within_s)
            self.core.log.info(
                "sessions handed off", whole=all_handed_off, left=self.core.sessions.session_count
            )
            await self.peers.stop()
        self.server.close_when_done()
        if self.gate is not None:
            remaining = await self.gate.release_all_seats(min(within_s, _MAX_SEAT_RELEASE_S))
            self.core.log.info("seats released", left=remaining)
        if self.service is not None:
            self.service.reject_forwarded()
        self.core.run_last_step()
        await asyncio.sleep(0)  # connections send the replies of the last step before they end
        self.kill()
        return all_answered

    def kill(self) -> None:
        """Ends at once: connections are aborted, and nothing more is sent."""
        self.list_follower.stop()
        if self.peers is not None:
            self.peers.abort()
        if self.control is not None:
            self.control.stop()
        if self.introspection is not None:
            self.introspection.stop()
        if self.use_check is not None:
            self.use_check.stop()
        if self.gate is not None:
            self.gate.stop()
        self.server_client.close()
        self.core.stop()
        self.server.abort()
        for pool in self.pools:
            pool.close()
        if self.record is not None:
            self.record.close()


def read_keyring(config: FrontConfig) -> Keyring:
    """Returns the keys named by the settings. Raises ConfigError if they cannot be read."""
    path = config.path(config.tokens.keys)
    try:
        text = path.read_text(encoding="utf-8")
        return Keyring.from_json(text, sign_with=config.tokens.sign_with, skew_s=config.tokens.skew / 1000.0)
    except (OSError, UnicodeDecodeError, KeyringError) as error:
        raise ConfigError(str(path), [Problem("tokens", "keys", 0, str(error))]) from None


async def start_front(
    config: FrontConfig, *, wall_offset_s: float | None = None, files: FileStore | None = None,
    nonce: Callable[[int], bytes] = os.urandom, peer_clock_offset_s: float = 0.0,
) -> Front:  # fmt: skip
    """Starts to listen and to follow the endpoint list. Raises ConfigError or OSError on failure.

    For rehearsals: `files` replaces the seat log's folder, `nonce` the system's random bytes, and the wall
    clock towards peers is `peer_clock_offset_s` ahead.
    """
    loop = asyncio.get_running_loop()
    # Wall time is used in messages only; it is derived from the loop's clock and an offset that is read once.
    offset = time.time() - loop.time() if wall_offset_s is None else wall_offset_s

    def wall_s() -> float:
        return loop.time() + offset

    settings, section = config.settings, config.front
    keyring = read_keyring(config)
    record = None
    observer = None
    if section.record is not None:
        record = open(config.path(section.record), "w", encoding="utf-8")  # noqa: SIM115 - closed by stop
        observer = Recorder(record, settings, section.seed).on_batch
    limits = SessionLimits(reply_margin_ms=section.margin, unclaimed_session_ttl_ms=section.linger)
    log = structlog.get_logger().bind(front=section.name)
    control = None if config.control is None else _Control(config, config.control, offset, log)
    session_manager = SessionManager(
        settings,
        section.seed,
        limits,
        observer,
        checks_entitlement=config.entitlement is not None,
        journal=None if control is None else control.journal,
        rejection_reason=None if control is None else control.rejection_reason,
        overlay=None if control is None else control.overlay,
    )
    core = Dispatcher(session_manager, batch_ms=section.batch, log=log)
    pool = Pool(
        per_origin=config.servers.connections,
        connect_s=config.servers.connect_time / 1000.0,
        idle_s=config.servers.idle_time / 1000.0,
        limits=Limits(body=int(config.servers.manifest)),
    )
    endpoint_list = EndpointList(settings)
    if control is not None:
        await control.start(core, endpoint_list)
    control_token = _ControlToken(keyring, section.name, config.tokens.box_audience, wall_s)
    timeouts = ServerTimeouts(
        health_check_s=config.servers.probe_time / 1000.0, request_s=config.servers.call_time / 1000.0
    )
    stream_pool = Pool(per_origin=2, connect_s=config.servers.connect_time / 1000.0)
    server_client = ServerClient(
        core, pool, stream_pool, endpoint_list, control_token, timeouts, section.seed
    )
    core.server_transport = server_client
    gate = None
    if config.entitlement is not None:
        files = files or DiskFileStore(config.path(config.entitlement.ledger))
        gate = _make_gate(config, core, pool, control_token, offset, files)
    use_check = None
    if gate is not None and config.entitlement is not None:
        use_check = SeatReconciliation(
            gate,
            pool,
            config.entitlement.url,
            section.name,
            control_token,
            every_s=config.entitlement.use_every / 1000.0,
            call_s=config.entitlement.call_time / 1000.0,
            seed=section.seed,
        )
    follower = ListFollower(
        core,
        stream_pool,
        endpoint_list,
        config.list.url,
        control_token,
        silence_s=config.list.silence / 1000.0,
        cache_path=config.path(config.list.cache) if config.list.cache is not None else None,
        seed=section.seed,
    )
    rules = TokenRules(
        config.tokens.issuer,
        config.tokens.audience,
        config.tokens.box_audience,
        config.tokens.box_life / 1000.0,
    )
    introspection = None
    if config.introspection is not None:
        introspection = _make_introspection(
            config.introspection, section.seed, core, pool, control_token, wall_s
        )
    service = DashService(
        core,
        endpoint_list,
        settings,
        config.class_names,
        keyring,
        rules,
        front=section.name,
        public_url=section.public_url or "http://placeholder",
        wall_s=wall_s,
        max_waiting=config.http.waiting,
        introspection=introspection,
        fail_open_classes=config.plays_unanswered,
    )
    if config.tokens.key_set is not None:
        key_set_follower = KeySetFollower(
            core,
            pool,
            keyring,
            config.tokens.key_set,
            every_s=config.tokens.key_set_every / 1000.0,
            retired_for_s=config.tokens.retired_for / 1000.0,
            wall_s=wall_s,
        )
        key_set_follower.start()
    peers = None
    if config.peers is not None:
        peers = await _start_peers(
            config, core, endpoint_list, server_client, keyring, lambda: wall_s() + peer_clock_offset_s, nonce
        )
        if control is not None and control.order_service is not None:
            control.order_service.fleet = peers.questions
    server = Server(service.handle, _server_limits(config.http))
    await server.listen(*section.listen)
    if section.public_url is None:
        service.public_url = f"http://{server.address[0]}:{server.address[1]}"
    follower.start()
    log.info("front listening", host=server.address[0], port=server.address[1])
    return Front(
        core, server, server_client, follower, (pool, stream_pool), record, gate, keyring, introspection,
        use_check, control, peers, service,
    )  # fmt: skip


async def _start_peers(
    config: FrontConfig, core: Dispatcher, endpoint_list: EndpointList, server_client: ServerClient,
    keyring: Keyring, wall_s: Callable[[], float], nonce: Callable[[int], bytes],
) -> Peers:  # fmt: skip
    from fernweir.front.peering import Peering
    from fernweir.peers.program import Peers, PeersConfig, read_keys
    from fernweir.peers.session_routing import SessionRouting
    from fernweir.peers.settings import first_versions, link_rules, peer_rules

    def wall_ms() -> float:
        return wall_s() * 1000.0

    section = config.peers
    assert section is not None
    folder, stored_segments = None, list[StoredSegment]()
    if section.record is not None:
        folder = JournalFolder(config.path(section.record), max_bytes=int(section.record_disk))
        try:
            stored_segments = folder.open()[1]
        except OSError as error:  # a full or failed disk must not stop the front
            core.log.error("audit log cannot be opened", why=error.strerror or str(error))
        for problem in folder.problems:
            core.log.warning("audit log is incomplete", why=problem)
    beginning = PeersConfig(
        name=config.front.name,
        seed=config.front.seed,
        section=section,
        keys=read_keys(section, config.folder),
        versions=first_versions(section, config.sections, keyring.thumbprints()),
        rules=peer_rules(section),
        links=link_rules(section),
        record=folder,
        stored_segments=stored_segments,
    )
    port = Peering(core, endpoint_list, server_client, config.class_names, wall_ms)
    peers = await Peers.start(core, port, beginning, wall_ms, nonce)
    core.channel_ownership = core.session_locator = SessionRouting(core, port, peers, config.settings)
    return peers


class _Control:
    """The journal, the operators' orders and the operators' socket of a front."""

    def __init__(
        self,
        config: FrontConfig,
        section: ControlSection,
        wall_offset_s: float,
        log: Log,
    ) -> None:
        self._config, self._section, self._wall_offset_s, self._log = config, section, wall_offset_s, log
        self._orders_path = config.path(section.orders)
        try:
            self.orders = load_orders(self._orders_path)
        except (StateFileError, OSError) as error:
            raise ConfigError(str(self._orders_path), [Problem("control", "orders", 0, str(error))]) from None
        self.orders.rules = OrderRules(pace_ms=section.drain_pace, burst=section.drains_at_once)
        self.overlay = Overlay(self.orders.drained)
        self._folder: JournalFolder | None = None
        journal_config = JournalConfig(max_memory_bytes=int(section.journal_memory))
        if section.journal is not None:
            self._folder = JournalFolder(config.path(section.journal), max_bytes=int(section.journal_disk))
        self.journal = Journal(
            config.front.name, journal_config, self._folder, wall_offset_ms=wall_offset_s * 1000.0
        )
        self.journal.on_fault = self._on_journal_fault
        self.order_service: OrderService | None = None
        self._session_manager: SessionManager | None = None
        self._front_control: OperatorControls | None = None
        self._channel: ControlServer | None = None

    def rejection_reason(self, request: SessionRequest) -> str:
        """Returns why the operators' orders reject a request; empty if they allow it."""
        if not (self.orders.holds or self.orders.caps) or self._session_manager is None:
            return ""
        playing = (
            self._session_manager.count_sessions_by_limit(request.title_name, request.tenant)
            if self.orders.caps
            else {}
        )
        return self.orders.rejection_reason(request.title_name, request.tenant, playing)

    async def start(self, core: Dispatcher, endpoint_list: EndpointList) -> None:
        """Restores the journal and opens the operators' socket."""
        section, self._session_manager = self._section, core.sessions
        self._front_control = OperatorControls(core, endpoint_list, self._wall_offset_s)
        rules = OrderServiceSettings(tuple(section.operators), section.led)
        orders_path = None if section.led else self._orders_path
        order_service = self.order_service = OrderService(
            self._config.front.name, self.journal, self.orders, self._front_control, rules, orders_path
        )
        self._channel = ControlServer(order_service, self._config.path(section.socket), mode=section.mode)
        self.journal.watchers.append(self._channel.on_journal_entry)
        if self._folder is not None:
            try:
                self.journal.restore(*self._folder.open())
            except OSError as error:
                self._on_journal_fault(error.strerror or str(error))
            for problem in self._folder.problems:
                self._log.warning("journal is incomplete", why=problem)
            for entry in self.journal.entries(self.journal.first):
                order_service.projection.apply(entry)
        order_service.start()
        await self._channel.listen()

    def stop(self) -> None:
        """Closes the operators' socket and the journal."""
        if self._front_control is not None:
            self._front_control.stop()
        if self._channel is not None:
            self._channel.close()
        if self._folder is not None:
            self._folder.close()

    def _on_journal_fault(self, reason: str) -> None:
        if reason:
            self._log.error("journal cannot be written", why=reason)
        else:
            self._log.info("journal is written again")


def _make_introspection(
    section: IntrospectionSection,
    seed: int,
    core: Dispatcher,
    pool: Pool,
    token: Callable[[], str],
    wall_s: Callable[[], float],
) -> IntrospectionClient:
    introspection_config = IntrospectionConfig(
        positive_cache_ttl_ms=section.believe,
        negative_cache_ttl_ms=section.disbelieve,
        stale_if_error_ms=section.stale,
        request_timeout_ms=section.call_time,
        max_in_flight=section.at_once,
    )
    introspector = Introspector(seed, introspection_config)
    return IntrospectionClient(
        core, pool, introspector, section.url, token, wall_s, all_tokens=section.tokens == "all"
    )


def _make_gate(
    config: FrontConfig,
    core: Dispatcher,
    pool: Pool,
    token: Callable[[], str],
    offset_s: float,
    files: FileStore,
) -> EntitlementGate:
    """Opens the seat log and recovers the seats of the previous run. Raises ConfigError if it is damaged."""
    section = config.entitlement
    assert section is not None
    folder = config.path(section.ledger)
    log = SeatLog(files)
    try:
        recovered = log.open()
        table = rebuild_table(recovered.snapshot, recovered.records)
    except (LogError, RecordError, OSError) as error:
        raise ConfigError(str(folder), [Problem("entitlement", "ledger", 0, str(error))]) from None
    now = core.now()
    gates: list[EntitlementGate] = []
    seat_manager = SeatManager(
        now,
        lambda body: gates[0].append(body),
        lambda cls: cls in config.plays_unanswered,
        config=SeatManagerConfig(
            call_timeout_ms=section.call_time,
            max_ttl_ms=section.longest_lease,
            reclaim_after_ms=section.reclaim,
            seed=config.front.seed,
            wall_clock_offset_s=offset_s,
            queue=QueueConfig(max_in_flight=section.at_once),
            last_generation=recovered.last_sequence,
        ),
    )
    client = EntitlementClient(pool, section.url, config.front.name, token)
    gate = EntitlementGate(core, seat_manager, log, client, section.sync / 1000.0)
    gates.append(gate)
    seat_manager.recover_seats(now, now / 1000.0 + offset_s, table)
    core.entitlement_check = gate
    if recovered.torn_bytes or table:
        core.log.info("seat log recovered", seats=len(table), torn_bytes=recovered.torn_bytes)
    gate.schedule_step()
    return gate


class _ControlToken:
    """The token that authorizes a front at servers; it is signed anew before it expires."""

    _TTL_S, _RENEW_AFTER_S = 600.0, 300.0

    def __init__(self, keyring: Keyring, front: str, audience: str, wall_s: Callable[[], float]) -> None:
        self._keyring, self._front, self._audience = keyring, front, audience
        self._wall_s = wall_s
        self._token, self._renew_at = "", 0.0

    def __call__(self) -> str:
        now = self._wall_s()
        if now > self._renew_at:
            claims = {
                "iss": self._front,
                "aud": self._audience,
                "front": self._front,
                "use": "control",
                "iat": int(now),
                "exp": int(now + self._TTL_S),
            }
            self._token, self._renew_at = self._keyring.sign(claims), now + self._RENEW_AFTER_S
        return self._token


def _server_limits(http: HttpSection) -> ServerLimits:
    return ServerLimits(
        parse=Limits(line=int(http.line), head=int(http.head), fields=http.fields, body=int(http.body)),
        connections=http.connections,
        pipeline=http.pipeline,
        head_s=http.head_time / 1000.0,
        body_s=http.body_time / 1000.0,
        idle_s=http.idle_time / 1000.0,
        stalled_s=http.stalled_time / 1000.0,
    )


async def serve(config: FrontConfig, *, until_eof: bool = False) -> int:
    """Runs until SIGTERM or SIGINT; the exit code is 0 if all accepted requests were answered.

    With `until_eof`, it also ends when standard input does, as it does if the parent process is killed.
    """
    front = await start_front(config)
    log = structlog.get_logger().bind(front=config.front.name)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    if until_eof:
        stop_at_eof(stopping)
    await stopping.wait()
    log.info(
        "front stopping",
        waiting=len(front.core.sessions.reply_ledger),
        sessions=front.core.sessions.session_count,
    )
    all_answered = await front.stop(config.front.stop_within / 1000.0)
    metrics = front.core.sessions.metrics
    log.info(
        "front stopped",
        whole=all_answered,
        plays=metrics.plays,
        refused=metrics.rejected,
        failed=metrics.failed,
    )
    return 0 if all_answered else 1


def stop_at_eof(stopping: asyncio.Event) -> None:
    """Sets the event when the parent process closes its end of the pipe to standard input."""
    loop = asyncio.get_running_loop()

    def on_readable() -> None:
        if not os.read(0, 4_096):
            loop.remove_reader(0)
            stopping.set()

    loop.add_reader(0, on_readable)
