"""A front node as a program: starts by the platform's variables, reloads on SIGHUP, ends after SIGTERM."""

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
from fernweir.node.client_listener import ClientListener
from fernweir.node.config import ConfigError, NodeConfig, load
from fernweir.node.feed import Feed, FeedError
from fernweir.node.follow import Follower
from fernweir.node.graceful_shutdown import GracefulShutdown
from fernweir.node.limits import ConnectionAdmission, DescriptorQuota
from fernweir.node.logs import NodeLog
from fernweir.node.requests import Requests
from fernweir.node.servers import Servers

if TYPE_CHECKING:  # needs packages, which a node alone does not have
    from fernweir.node.peering import PeersFile
    from fernweir.peers.program import Peers

_FINAL_CHECK_INTERVAL_S = 0.005
# A SIGHUP must never end a node, which is what it does while there is no handler.
BLOCKED_SIGNALS = (signal.SIGHUP,)


class Node:
    """A running front node."""

    def __init__(self, config: NodeConfig, log: NodeLog, environment: Mapping[str, str]) -> None:
        loop = asyncio.get_running_loop()
        self.config, self.log, self._environment = config, log, environment
        # Nobody returns to a session here, and what passes its viewer's time has failed in time.
        limits = SessionLimits(reply_margin_ms=0.0, unclaimed_session_ttl_ms=0.0)
        self.core = Dispatcher(SessionManager(config.settings, config.seed, limits), log=log)
        offset_ms = (time.time() - loop.time()) * 1000.0
        self.feed = Feed(config.settings, config.kinds, offset_ms)
        shares = DescriptorQuota(config.sockets)
        self.servers = Servers(self.core, self.feed, config, shares)
        self.client_listener = ClientListener(
            self.core, Requests(config.settings), self.servers, ConnectionAdmission(shares.client_connections)
        )
        self.follower = Follower(self.core, self.feed, self.servers, config.feed, config.seed)
        self.graceful_shutdown = GracefulShutdown(config.settings)
        self.drained = asyncio.Event()
        self._drain_timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Takes the list and listens. ConfigError or OSError when it can't."""
        try:
            for update in self.feed.start(self.config.known, self.config.known_n):
                self.follower.tell(update)
        except FeedError as error:
            raise ConfigError(f"known: {error}") from None
        if self.feed.left_out:
            self.log.warning("known events not all of use", events=self.feed.left_out)
        self.client_listener.listen(self.config.listen)
        self.follower.start()
        self.core.after_step(self._on_first_step)

    def _on_first_step(self) -> None:
        self.client_listener.is_ready = True
        self.log.info("ready", listen=self.client_listener.address, servers=len(self.feed.names))

    def reload(self) -> None:
        """SIGHUP: the feed's address is the one thing that a new file may change while a node runs."""
        try:
            config = load(self._environment)
        except ConfigError as error:
            self.log.error("new configuration not used", why=str(error))
            return
        self.log.info("feed moved", feed=config.feed, last=self.feed.last)
        self.follower.move(config.feed)

    def terminate(self) -> None:
        """SIGTERM: what still comes is answered with a refusal; what stands plays on as long as it may."""
        if not self.graceful_shutdown.start_draining():
            return
        self.core.sessions.stop_accepting()
        self.log.info(
            "stopping",
            sessions=self.core.sessions.session_count,
            within_ms=self.graceful_shutdown.drain_timeout_ms,
        )
        self._drain_timer = self.core.loop.call_later(
            self.graceful_shutdown.drain_timeout_ms / 1000.0, self._on_drain_timeout
        )

    def _on_drain_timeout(self) -> None:
        """The time is over: what is still open is answered, and let go where it is out."""
        self.core.sessions.abandon_open_requests(self.core.now())
        self.core.schedule_step()
        self.drained.set()

    async def finish_draining(self) -> None:
        """Looks once more for what has come, and stops when it is answered and all that was said is out."""
        self.graceful_shutdown.start_final_check(self.core.now())
        while True:
            before = self.client_listener.activity_count
            # Two turns: what the first one's look at the descriptors found is read before the second is over.
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            came = (
                self.client_listener.has_pending_connections or self.client_listener.activity_count != before
            )
            if self.graceful_shutdown.may_exit(
                self.core.now(), came, self.client_listener.has_unsent_replies or self.servers.owed
            ):
                break
            if not came:
                await asyncio.sleep(_FINAL_CHECK_INTERVAL_S)
        self.shutdown()

    def shutdown(self) -> None:
        if self._drain_timer is not None:
            self._drain_timer.cancel()
        self.follower.stop()
        self.client_listener.shutdown()
        self.core.run_last_step()  # what that gave rise to, as the release of what nobody heard of
        self.core.stop()
        self.servers.close()


def read_peers_file(config: NodeConfig, environment: Mapping[str, str]) -> PeersFile | None:
    """The settings of the node's peers, where a file of them is named. ConfigError if they can't be used."""
    path = environment.get("FERNWEIR_PEERS")
    if not path:
        return None
    try:
        from fernweir.node.peering import read_peers
    except ModuleNotFoundError as error:
        raise ConfigError(f"FERNWEIR_PEERS: package {error.name} is not installed") from None
    return read_peers(Path(path), config.name)


async def _start_peers(node: Node, file: PeersFile) -> Peers:
    from fernweir.node.peering import start_peers

    return await start_peers(node.core, node.feed, node.config, file)


async def run(
    config: NodeConfig, log: NodeLog, environment: Mapping[str, str], file: PeersFile | None = None
) -> None:
    node = Node(config, log, environment)
    loop = asyncio.get_running_loop()
    peers = None if file is None else await _start_peers(node, file)
    node.start()
    # In the turn in which it begins to listen and to follow, so that none comes to a half of it. A SIGTERM
    # before ends the process, which has taken nothing; a SIGHUP waits (`BLOCKED_SIGNALS`).
    loop.add_signal_handler(signal.SIGHUP, node.reload)
    loop.add_signal_handler(signal.SIGTERM, node.terminate)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, BLOCKED_SIGNALS)
    # What was made so far stays for good: the collector need not look at it again.
    gc.collect()
    gc.freeze()
    await node.drained.wait()
    if peers is not None:
        await peers.leave(0.0)  # nothing is handed on: it says that it goes, and the end of its record
        await peers.stop()
    await node.finish_draining()
    signal.pthread_sigmask(signal.SIG_BLOCK, BLOCKED_SIGNALS)  # the loop's end takes the handlers away


def main() -> int:
    """`python -m fernweir node`. 2: the configuration can't be used, or the address can't be had."""
    # Before the configuration is read: its file may be replaced, and a SIGHUP sent, at any time.
    signal.pthread_sigmask(signal.SIG_BLOCK, BLOCKED_SIGNALS)
    try:
        config = load(os.environ)
        file = read_peers_file(config, os.environ)
        asyncio.run(run(config, NodeLog(config.name), os.environ, file))
    except ConfigError as error:
        for line in str(error).splitlines():
            print(f"fernweir node: {line}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"fernweir node: {error}", file=sys.stderr)
        return 2
    return 0
