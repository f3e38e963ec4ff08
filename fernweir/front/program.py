"""The front as a program: puts the pieces together, runs until told to stop, stops in order."""

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
from fernweir.front.boxes import BoxClient, BoxTimes
from fernweir.front.boxlist import BoxList
from fernweir.front.commands import SessionRequest
from fernweir.front.dash import DashService, TokenRules
from fernweir.front.dispatcher import Dispatcher, Log
from fernweir.front.entitlement_gate import Gate
from fernweir.front.follower import ListFollower
from fernweir.front.introspection import TokenDesk
from fernweir.front.keyset import KeySetFollower
from fernweir.front.operator_controls import Steering
from fernweir.front.record import Recorder
from fernweir.front.seat_reconciliation import UseCheck
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

if TYPE_CHECKING:  # loaded only where the settings ask for it
    from fernweir.peers.program import Peers

_GIVE_BACK_S = 2.0


@dataclass(frozen=True, slots=True)
class Front:
    """A running front."""

    core: Dispatcher
    server: Server
    boxes: BoxClient
    list: ListFollower
    pools: tuple[Pool, ...]
    record: IO[str] | None
    gate: Gate | None = None
    keyring: Keyring | None = None
    desk: TokenDesk | None = None
    use: UseCheck | None = None
    control: _Control | None = None
    peers: Peers | None = None
    service: DashService | None = None

    @property
    def address(self) -> tuple[str, int]:
        return self.server.address

    async def stop(self, within_s: float) -> bool:
        """Takes nothing new, answers all it took, ends; False if some had no answer in time."""
        self.server.stop_listening()
        if self.desk is not None:
            self.desk.give_up()
        whole = await self.core.drain(within_s)
        if self.peers is not None:
            handed = await self.peers.leave(within_s)
            self.core.log.info("sessions handed on", whole=handed, left=self.core.sessions.session_count)
            await self.peers.stop()
        self.server.close_when_done()
        if self.gate is not None:
            left = await self.gate.give_back(min(within_s, _GIVE_BACK_S))
            self.core.log.info("seats given back", left=left)
        if self.service is not None:
            self.service.give_up()
        self.core.run_last_step()
        await asyncio.sleep(0)  # connections end in order with what that answered
        self.kill()
        return whole

    def kill(self) -> None:
        """Ends at once: connections break, nothing more is said."""
        self.list.stop()
        if self.peers is not None:
            self.peers.cut()
        if self.control is not None:
            self.control.stop()
        if self.desk is not None:
            self.desk.stop()
        if self.use is not None:
            self.use.stop()
        if self.gate is not None:
            self.gate.stop()
        self.boxes.close()
        self.core.stop()
        self.server.abort()
        for pool in self.pools:
            pool.close()
        if self.record is not None:
            self.record.close()


def read_keyring(config: FrontConfig) -> Keyring:
    """The keys named by the settings. ConfigError when they can't be had."""
    path = config.path(config.tokens.keys)
    try:
        text = path.read_text(encoding="utf-8")
        return Keyring.from_json(text, sign_with=config.tokens.sign_with, skew_s=config.tokens.skew / 1000.0)
    except (OSError, UnicodeDecodeError, KeyringError) as error:
        raise ConfigError(str(path), [Problem("tokens", "keys", 0, str(error))]) from None


async def start_front(
    config: FrontConfig, *, wall_offset_s: float | None = None, files: FileStore | None = None,
    nonce: Callable[[int], bytes] = os.urandom, peers_apart_s: float = 0.0,
) -> Front:  # fmt: skip
    """Listens and follows the list. ConfigError or OSError when it can't.

    For rehearsals: `files` stand in for the seat log's folder, `nonce` for the system's random bytes, and
    peers are told a wall clock that is `peers_apart_s` ahead.
    """
    loop = asyncio.get_running_loop()
    # Wall time crosses the wire only; between its readings the loop's clock carries it on.
    offset = time.time() - loop.time() if wall_offset_s is None else wall_offset_s

    def wall_s() -> float:
        return loop.time() + offset

    settings, section = config.settings, config.front
    keyring = read_keyring(config)
    record = None
    watch = None
    if section.record is not None:
        record = open(config.path(section.record), "w", encoding="utf-8")  # noqa: SIM115 - closed by stop
        watch = Recorder(record, settings, section.seed).watch
    limits = SessionLimits(reply_margin_ms=section.margin, unclaimed_session_ttl_ms=section.linger)
    log = structlog.get_logger().bind(front=section.name)
    control = None if config.control is None else _Control(config, config.control, offset, log)
    host = SessionManager(
        settings,
        section.seed,
        limits,
        watch,
        checks_entitlement=config.entitlement is not None,
        journal=None if control is None else control.journal,
        rejection_reason=None if control is None else control.turned_away,
        overlay=None if control is None else control.overlay,
    )
    core = Dispatcher(host, batch_ms=section.batch, log=log)
    pool = Pool(
        per_origin=config.servers.connections,
        connect_s=config.servers.connect_time / 1000.0,
        idle_s=config.servers.idle_time / 1000.0,
        limits=Limits(body=int(config.servers.manifest)),
    )
    boxes = BoxList(settings)
    if control is not None:
        await control.start(core, boxes)
    token = _ControlToken(keyring, section.name, config.tokens.box_audience, wall_s)
    times = BoxTimes(probe_s=config.servers.probe_time / 1000.0, call_s=config.servers.call_time / 1000.0)
    streams = Pool(per_origin=2, connect_s=config.servers.connect_time / 1000.0)
    client = BoxClient(core, pool, streams, boxes, token, times, section.seed)
    core.server_transport = client
    gate = None
    if config.entitlement is not None:
        files = files or DiskFileStore(config.path(config.entitlement.ledger))
        gate = _make_gate(config, core, pool, token, offset, files)
    use = None
    if gate is not None and config.entitlement is not None:
        use = UseCheck(
            gate,
            pool,
            config.entitlement.url,
            section.name,
            token,
            every_s=config.entitlement.use_every / 1000.0,
            call_s=config.entitlement.call_time / 1000.0,
            seed=section.seed,
        )
    follower = ListFollower(
        core,
        streams,
        boxes,
        config.list.url,
        token,
        silence_s=config.list.silence / 1000.0,
        cache=config.path(config.list.cache) if config.list.cache is not None else None,
        seed=section.seed,
    )
    rules = TokenRules(
        config.tokens.issuer,
        config.tokens.audience,
        config.tokens.box_audience,
        config.tokens.box_life / 1000.0,
    )
    desk = None
    if config.introspection is not None:
        desk = _make_desk(config.introspection, section.seed, core, pool, token, wall_s)
    service = DashService(
        core,
        boxes,
        settings,
        config.class_names,
        keyring,
        rules,
        front=section.name,
        public_url=section.public_url or "http://placeholder",
        wall_s=wall_s,
        most_waiting=config.http.waiting,
        desk=desk,
        plays_unanswered=config.plays_unanswered,
    )
    if config.tokens.key_set is not None:
        keys = KeySetFollower(
            core,
            pool,
            keyring,
            config.tokens.key_set,
            every_s=config.tokens.key_set_every / 1000.0,
            retired_for_s=config.tokens.retired_for / 1000.0,
            wall_s=wall_s,
        )
        keys.start()
    peers = None
    if config.peers is not None:
        peers = await _start_peers(
            config, core, boxes, client, keyring, lambda: wall_s() + peers_apart_s, nonce
        )
        if control is not None and control.desk is not None:
            control.desk.fleet = peers.questions
    server = Server(service.handle, _server_limits(config.http))
    await server.listen(*section.listen)
    if section.public_url is None:
        service.public_url = f"http://{server.address[0]}:{server.address[1]}"
    follower.start()
    log.info("front listens", host=server.address[0], port=server.address[1])
    return Front(
        core, server, client, follower, (pool, streams), record, gate, keyring, desk, use, control, peers,
        service,
    )  # fmt: skip


async def _start_peers(
    config: FrontConfig, core: Dispatcher, boxes: BoxList, client: BoxClient, keyring: Keyring,
    wall_s: Callable[[], float], nonce: Callable[[int], bytes],
) -> Peers:  # fmt: skip
    from fernweir.front.peering import Peering
    from fernweir.peers.program import Beginning, Peers, read_keys
    from fernweir.peers.reach import Reach
    from fernweir.peers.settings import first_versions, link_rules, peer_rules

    def wall_ms() -> float:
        return wall_s() * 1000.0

    section = config.peers
    assert section is not None
    folder, kept = None, list[StoredSegment]()
    if section.record is not None:
        folder = JournalFolder(config.path(section.record), max_bytes=int(section.record_disk))
        try:
            kept = folder.open()[1]
        except OSError as error:  # a full or broken disk stops no front
            core.log.error("record of acts can't be opened", why=error.strerror or str(error))
        for note in folder.problems:
            core.log.warning("record of acts is not whole", why=note)
    begin = Beginning(
        name=config.front.name,
        seed=config.front.seed,
        section=section,
        keys=read_keys(section, config.folder),
        versions=first_versions(section, config.sections, keyring.thumbprints()),
        rules=peer_rules(section),
        links=link_rules(section),
        record=folder,
        kept=kept,
    )
    port = Peering(core, boxes, client, config.class_names, wall_ms)
    peers = await Peers.start(core, port, begin, wall_ms, nonce)
    core.channel_ownership = core.session_locator = Reach(core, port, peers, config.settings)
    return peers


class _Control:
    """Journal, orders and the operators' socket of a front."""

    def __init__(
        self,
        config: FrontConfig,
        section: ControlSection,
        wall_offset_s: float,
        log: Log,
    ) -> None:
        self._config, self._section, self._offset, self._log = config, section, wall_offset_s, log
        self._file = config.path(section.orders)
        try:
            self.orders = load_orders(self._file)
        except (StateFileError, OSError) as error:
            raise ConfigError(str(self._file), [Problem("control", "orders", 0, str(error))]) from None
        self.orders.rules = OrderRules(pace_ms=section.drain_pace, burst=section.drains_at_once)
        self.overlay = Overlay(self.orders.drained)
        self._folder: JournalFolder | None = None
        rules = JournalConfig(max_memory_bytes=int(section.journal_memory))
        if section.journal is not None:
            self._folder = JournalFolder(config.path(section.journal), max_bytes=int(section.journal_disk))
        self.journal = Journal(config.front.name, rules, self._folder, wall_offset_ms=wall_offset_s * 1000.0)
        self.journal.on_fault = self._trouble
        self.desk: OrderService | None = None
        self._host: SessionManager | None = None
        self._steering: Steering | None = None
        self._channel: ControlServer | None = None

    def turned_away(self, ask: SessionRequest) -> str:
        if not (self.orders.holds or self.orders.caps) or self._host is None:
            return ""
        playing = self._host.count_sessions_by_phase(ask.title_name, ask.tenant) if self.orders.caps else {}
        return self.orders.rejection_reason(ask.title_name, ask.tenant, playing)

    async def start(self, core: Dispatcher, boxes: BoxList) -> None:
        section, self._host = self._section, core.sessions
        self._steering = Steering(core, boxes, self._offset)
        rules = OrderServiceSettings(tuple(section.operators), section.led)
        file = None if section.led else self._file
        desk = self.desk = OrderService(
            self._config.front.name, self.journal, self.orders, self._steering, rules, file
        )
        self._channel = ControlServer(desk, self._config.path(section.socket), mode=section.mode)
        self.journal.watchers.append(self._channel.on_journal_entry)
        if self._folder is not None:
            try:
                self.journal.restore(*self._folder.open())
            except OSError as error:
                self._trouble(error.strerror or str(error))
            for note in self._folder.problems:
                self._log.warning("journal is not whole", why=note)
            for entry in self.journal.entries(self.journal.first):
                desk.projection.apply(entry)
        desk.start()
        await self._channel.listen()

    def stop(self) -> None:
        if self._steering is not None:
            self._steering.stop()
        if self._channel is not None:
            self._channel.close()
        if self._folder is not None:
            self._folder.close()

    def _trouble(self, why: str) -> None:
        if why:
            self._log.error("journal is not kept", why=why)
        else:
            self._log.info("journal is kept again")


def _make_desk(
    section: IntrospectionSection,
    seed: int,
    core: Dispatcher,
    pool: Pool,
    token: Callable[[], str],
    wall_s: Callable[[], float],
) -> TokenDesk:
    rules = IntrospectionConfig(
        positive_cache_ttl_ms=section.believe,
        negative_cache_ttl_ms=section.disbelieve,
        stale_if_error_ms=section.stale,
        request_timeout_ms=section.call_time,
        max_in_flight=section.at_once,
    )
    judge = Introspector(seed, rules)
    return TokenDesk(core, pool, judge, section.url, token, wall_s, all_tokens=section.tokens == "all")


def _make_gate(
    config: FrontConfig,
    core: Dispatcher,
    pool: Pool,
    token: Callable[[], str],
    offset_s: float,
    files: FileStore,
) -> Gate:
    """Opens the seat log and takes up what an earlier life left. ConfigError if the log is damaged."""
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
    gates: list[Gate] = []
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
    gate = Gate(core, seat_manager, log, client, section.sync / 1000.0)
    gates.append(gate)
    seat_manager.recover_seats(now, now / 1000.0 + offset_s, table)
    core.entitlement_check = gate
    if recovered.torn_bytes or table:
        core.log.info("seat log recovered", seats=len(table), torn_bytes=recovered.torn_bytes)
    gate.kick()
    return gate


class _ControlToken:
    """The token by which a front steers its sessions at boxes, signed anew before it lapses."""

    _LIFE_S, _RENEW_S = 600.0, 300.0

    def __init__(self, keyring: Keyring, front: str, audience: str, wall_s: Callable[[], float]) -> None:
        self._keyring, self._front, self._audience = keyring, front, audience
        self._wall_s = wall_s
        self._token, self._good_until = "", 0.0

    def __call__(self) -> str:
        now = self._wall_s()
        if now > self._good_until:
            claims = {
                "iss": self._front,
                "aud": self._audience,
                "front": self._front,
                "use": "control",
                "iat": int(now),
                "exp": int(now + self._LIFE_S),
            }
            self._token, self._good_until = self._keyring.sign(claims), now + self._RENEW_S
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
    """Runs until SIGTERM or SIGINT; the exit code is 0 if all that was taken was answered.

    `until_eof`: also until standard input ends, as it does when the unit that started it is killed.
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
        "front stops",
        waiting=len(front.core.sessions.reply_ledger),
        sessions=front.core.sessions.session_count,
    )
    whole = await front.stop(config.front.stop_within / 1000.0)
    counts = front.core.sessions.metrics
    log.info("front stopped", whole=whole, plays=counts.plays, refused=counts.rejected, failed=counts.failed)
    return 0 if whole else 1


def stop_at_eof(stopping: asyncio.Event) -> None:
    """Sets the event when standard input, the unit's end of a pipe, is closed."""
    loop = asyncio.get_running_loop()

    def readable() -> None:
        if not os.read(0, 4_096):
            loop.remove_reader(0)
            stopping.set()

    loop.add_reader(0, readable)
