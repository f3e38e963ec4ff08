"""The front node program: startup, reload on SIGHUP, and graceful shutdown on SIGTERM.

It is configured through the platform's environment variables.
"""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys
import time
from collections.abc import Mapping
from pathlib import Path
from typing import TYPE_CHECKING

from fernweir.front.dispatcher import Dispatcher
from fernweir.front.session_manager import SessionLimits, SessionManager
from fernweir.node.client_connection import ClientConnection
from fernweir.node.client_listener import ClientListener
from fernweir.node.client_requests import ClientRequests
from fernweir.node.config import ConfigError, NodeConfig, load_config
from fernweir.node.endpoint_feed import EndpointFeed, FeedError
from fernweir.node.endpoint_watcher import EndpointWatcher
from fernweir.node.graceful_shutdown import GracefulShutdown
from fernweir.node.limits import ConnectionAdmission, DescriptorQuota
from fernweir.node.logs import NodeLog
from fernweir.node.server_pool import ServerPool
from fernweir.node.server_transport import MediaServerTransport
from fernweir.node.session_end_delivery import SessionEndDelivery
from fernweir.node.set_up_parser import SetUpParser

if TYPE_CHECKING:  # these need packages that a node without peers does not have
    from fernweir.node.peering import PeersFile
    from fernweir.peers.program import Peers

_FINAL_CHECK_INTERVAL_S = 0.005
# Blocked while no handler is installed, since the default action of SIGHUP would end the node.
BLOCKED_SIGNALS = (signal.SIGHUP,)


class Node:
    """A running front node.

    Attributes:
        drained: Set when the drain timeout of a shutdown has passed, so that `finish_draining` may begin.
    """

    def __init__(self, config: NodeConfig, log: NodeLog, environment: Mapping[str, str]) -> None:
        loop = asyncio.get_running_loop()
        self.config = config
        self.log = log
        self._environment = environment
        # Clients of this protocol never return to a session, so an unclaimed session need not be kept. No
        # reply margin is needed either: a reply after the client's deadline counts as a failure reported in
        # time.
        limits = SessionLimits(reply_margin_ms=0.0, unclaimed_session_ttl_ms=0.0)
        self.dispatcher = Dispatcher(SessionManager(config.settings, config.seed, limits), log=log)
        wall_clock_offset_ms = (time.time() - loop.time()) * 1000.0
        self.feed = EndpointFeed(config.server_types, wall_clock_offset_ms)
        quota = DescriptorQuota(config.max_descriptors)
        self.server_pool = ServerPool(self.dispatcher, self.feed, config, quota)
        self.server_transport = MediaServerTransport(
            self.dispatcher, self.feed, config.settings, self.server_pool
        )
        self._create_client_side(quota)
        self.endpoint_watcher = EndpointWatcher(
            self.dispatcher, self.feed, self.server_transport, config.feed_address, config.seed
        )
        self.graceful_shutdown = GracefulShutdown(config.settings)
        self.drained = asyncio.Event()
        self._drain_timer: asyncio.TimerHandle | None = None

    def _create_client_side(self, quota: DescriptorQuota) -> None:
        admission: ConnectionAdmission[ClientConnection] = ConnectionAdmission(quota.client_connections)
        parser = SetUpParser(self.config.settings)
        self.session_ends = SessionEndDelivery(self.dispatcher)
        self.client_requests = ClientRequests(
            self.dispatcher, parser, self.server_transport, admission, self.session_ends
        )
        self.client_listener = ClientListener(
            self.dispatcher, self.client_requests, self.session_ends, admission
        )

    def start(self) -> None:
        """Applies the configured endpoint list, listens for clients and follows the feed.

        Raises:
            ConfigError: An event of the configured list is not valid.
            OSError: The listen address is not available.
        """
        try:
            for update in self.feed.apply_known_events(
                self.config.known_events, self.config.known_sequence_number
            ):
                self.endpoint_watcher.apply_update(update)
        except FeedError as error:
            raise ConfigError(f"known: {error}") from None
        if self.feed.partially_applied_events:
            self.log.warning("known events partially applied", events=self.feed.partially_applied_events)
        self.client_listener.listen(self.config.listen_address)
        self.endpoint_watcher.start()
        self.dispatcher.after_step(self._on_first_step)

    def _on_first_step(self) -> None:
        self.client_requests.is_ready = True
        self.log.info("ready", listen=self.client_listener.address, servers=len(self.feed.names))

    def reload(self) -> None:
        """Handles SIGHUP: reads the configuration again. Only a new feed address takes effect."""
        try:
            config = load_config(self._environment)
        except ConfigError as error:
            self._log_unusable_configuration(error)
            return
        self.log.info("feed address reloaded", feed=config.feed_address, last=self.feed.last_sequence_number)
        self.endpoint_watcher.change_address(config.feed_address)

    def _log_unusable_configuration(self, error: ConfigError) -> None:
        self.log.error("new configuration not used", why=str(error))

    def terminate(self) -> None:
        """Handles SIGTERM: rejects new requests; established sessions continue until the drain timeout."""
        if not self.graceful_shutdown.start_draining():
            return
        self.dispatcher.sessions.stop_accepting()
        self.log.info(
            "stopping",
            sessions=self.dispatcher.sessions.session_count,
            within_ms=self.graceful_shutdown.drain_timeout_ms,
        )
        self._drain_timer = self.dispatcher.loop.call_later(
            self.graceful_shutdown.drain_timeout_ms / 1000.0, self._on_drain_timeout
        )

    def _on_drain_timeout(self) -> None:
        """Abandons the requests that are still open, and lets `finish_draining` start."""
        self.dispatcher.sessions.abandon_open_requests(self.dispatcher.now())
        self.dispatcher.schedule_step()
        self.drained.set()

    async def finish_draining(self) -> None:
        """Reads remaining input, then shuts down once all replies are sent or the final check times out."""
        self.graceful_shutdown.start_final_check(self.dispatcher.now())
        while True:
            activity_before = self.client_listener.activity_count
            # Two iterations of the event loop: input that the first one selects is read during the second.
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            has_new_input = (
                self.client_listener.has_pending_connections
                or self.client_listener.activity_count != activity_before
            )
            if self.graceful_shutdown.may_exit(
                self.dispatcher.now(), has_new_input, self._has_unsent_output()
            ):
                break
            if not has_new_input:
                await asyncio.sleep(_FINAL_CHECK_INTERVAL_S)
        self.shutdown()

    def _has_unsent_output(self) -> bool:
        return (
            bool(self.client_requests.open_requests)
            or self.client_listener.has_unsent_data
            or self.server_transport.has_unsent_messages
        )

    def shutdown(self) -> None:
        """Stops all parts and closes all connections."""
        if self._drain_timer is not None:
            self._drain_timer.cancel()
        self.endpoint_watcher.stop()
        self.client_listener.shutdown()
        # Carries out the commands that this caused, such as the release of a session whose reply was not
        # delivered.
        self.dispatcher.run_last_step()
        self.dispatcher.stop()
        self.server_transport.shutdown()


def load_peers_file(config: NodeConfig, environment: Mapping[str, str]) -> PeersFile | None:
    """Reads the settings of the node's peers.

    Returns:
        The settings, or None if `FERNWEIR_PEERS` is not set.

    Raises:
        ConfigError: The settings cannot be used, or a package that they need is not installed.
    """
    path = environment.get("FERNWEIR_PEERS")
    if not path:
        return None
    try:
        from fernweir.node.peering import read_peers_file
    except ModuleNotFoundError as error:
        raise ConfigError(f"FERNWEIR_PEERS: package {error.name} is not installed") from None
    return read_peers_file(Path(path), config.name)


async def _start_peers(node: Node, file: PeersFile) -> Peers:
    from fernweir.node.peering import start_peers

    return await start_peers(node.dispatcher, node.feed, node.config, file)


async def run(
    config: NodeConfig, log: NodeLog, environment: Mapping[str, str], file: PeersFile | None = None
) -> None:
    """Runs a node until it has shut down after a SIGTERM.

    Args:
        config: The configuration.
        log: The log of the node.
        environment: The environment variables, which reloads use.
        file: The settings of the node's peers, if it has any.
    """
    node = Node(config, log, environment)
    loop = asyncio.get_running_loop()
    peers = None if file is None else await _start_peers(node, file)
    node.start()
    # The handlers are installed in the same iteration of the event loop in which the node starts to listen
    # and to follow the feed, so that no signal is handled by a partially started node. An earlier SIGTERM
    # ends the process, which has not accepted anything yet; an earlier SIGHUP stays pending
    # (`BLOCKED_SIGNALS`).
    loop.add_signal_handler(signal.SIGHUP, node.reload)
    loop.add_signal_handler(signal.SIGTERM, node.terminate)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, BLOCKED_SIGNALS)
    # The objects created so far are permanent, so the garbage collector need not scan them again.
    gc.collect()
    gc.freeze()
    await node.drained.wait()
    if peers is not None:
        await peers.leave(0.0)  # hands off no sessions; announces the exit and completes the audit log
        await peers.stop()
    await node.finish_draining()
    signal.pthread_sigmask(signal.SIG_BLOCK, BLOCKED_SIGNALS)  # closing the loop removes the handlers


def main() -> int:
    """Runs `python -m fernweir node`.

    Returns:
        The exit code: 2 if the configuration cannot be used or the address is not available, otherwise 0.
    """
    # Blocked before the configuration is read, as its file may be replaced and a SIGHUP sent at any time.
    signal.pthread_sigmask(signal.SIG_BLOCK, BLOCKED_SIGNALS)
    try:
        config = load_config(os.environ)
        file = load_peers_file(config, os.environ)
        asyncio.run(run(config, NodeLog(config.name), os.environ, file))
    except ConfigError as error:
        for line in str(error).splitlines():
            print(f"fernweir node: {line}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"fernweir node: {error}", file=sys.stderr)
        return 2
    return 0
