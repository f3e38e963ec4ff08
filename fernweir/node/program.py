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
from fernweir.node.config import ConfigError, NodeConfig, load_config
from fernweir.node.ending import Ending
from fernweir.node.endpoint_feed import EndpointFeed, FeedError
from fernweir.node.endpoint_watcher import EndpointWatcher
from fernweir.node.limits import Door, Shares
from fernweir.node.logs import NodeLog
from fernweir.node.requests import SetUpParser
from fernweir.node.servers import Servers
from fernweir.node.viewers import Viewers

if TYPE_CHECKING:  # needs packages, which a node alone does not have
    from fernweir.node.peering import PeersFile
    from fernweir.peers.program import Peers

_LOOK_S = 0.005
# A SIGHUP must never end a node, which is what it does while there is no handler.
HELD_BACK = (signal.SIGHUP,)


class Node:
    """A running front node."""

    def __init__(self, config: NodeConfig, log: NodeLog, environment: Mapping[str, str]) -> None:
        loop = asyncio.get_running_loop()
        self.config, self.log, self._environment = config, log, environment
        # Nobody returns to a session here, and what passes its viewer's time has failed in time.
        limits = SessionLimits(reply_margin_ms=0.0, unclaimed_session_ttl_ms=0.0)
        self.core = Dispatcher(SessionManager(config.settings, config.seed, limits), log=log)
        offset_ms = (time.time() - loop.time()) * 1000.0
        self.feed = EndpointFeed(config.server_types, offset_ms)
        shares = Shares(config.max_descriptors)
        self.servers = Servers(self.core, self.feed, config, shares)
        self.viewers = Viewers(self.core, SetUpParser(config.settings), self.servers, Door(shares.viewers))
        self.follower = EndpointWatcher(self.core, self.feed, self.servers, config.feed_address, config.seed)
        self.ending = Ending(config.settings)
        self.ended = asyncio.Event()
        self._end: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Takes the list and listens. ConfigError or OSError when it can't."""
        try:
            for update in self.feed.apply_known_events(
                self.config.known_events, self.config.known_sequence_number
            ):
                self.follower.apply_update(update)
        except FeedError as error:
            raise ConfigError(f"known: {error}") from None
        if self.feed.partially_applied_events:
            self.log.warning("known events not all of use", events=self.feed.partially_applied_events)
        self.viewers.listen(self.config.listen_address)
        self.follower.start()
        self.core.after_step(self._ready)

    def _ready(self) -> None:
        self.viewers.ready = True
        self.log.info("ready", listen=self.viewers.address, servers=len(self.feed.names))

    def reload(self) -> None:
        """SIGHUP: the feed's address is the one thing that a new file may change while a node runs."""
        try:
            config = load_config(self._environment)
        except ConfigError as error:
            self.log.error("new configuration not used", why=str(error))
            return
        self.log.info("feed moved", feed=config.feed_address, last=self.feed.last_sequence_number)
        self.follower.change_address(config.feed_address)

    def terminate(self) -> None:
        """SIGTERM: what still comes is answered with a refusal; what stands plays on as long as it may."""
        if not self.ending.begin():
            return
        self.core.sessions.stop_accepting()
        self.log.info("stopping", sessions=self.core.sessions.session_count, within_ms=self.ending.plays_ms)
        self._end = self.core.loop.call_later(self.ending.plays_ms / 1000.0, self._give_up)

    def _give_up(self) -> None:
        """The time is over: what is still open is answered, and let go where it is out."""
        self.core.sessions.abandon_open_requests(self.core.now())
        self.core.schedule_step()
        self.ended.set()

    async def finish(self) -> None:
        """Looks once more for what has come, and stops when it is answered and all that was said is out."""
        self.ending.last(self.core.now())
        while True:
            before = self.viewers.came
            # Two turns: what the first one's look at the descriptors found is read before the second is over.
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            came = self.viewers.arriving or self.viewers.came != before
            if self.ending.over(self.core.now(), came, self.viewers.owed or self.servers.owed):
                break
            if not came:
                await asyncio.sleep(_LOOK_S)
        self.stop()

    def stop(self) -> None:
        if self._end is not None:
            self._end.cancel()
        self.follower.stop()
        self.viewers.stop()
        self.core.run_last_step()  # what that gave rise to, as the release of what nobody heard of
        self.core.stop()
        self.servers.close()


def peers_file(config: NodeConfig, environment: Mapping[str, str]) -> PeersFile | None:
    """The settings of the node's peers, where a file of them is named. ConfigError if they can't be used."""
    path = environment.get("FERNWEIR_PEERS")
    if not path:
        return None
    try:
        from fernweir.node.peering import read_peers_file
    except ModuleNotFoundError as error:
        raise ConfigError(f"FERNWEIR_PEERS: package {error.name} is not installed") from None
    return read_peers_file(Path(path), config.name)


async def _peers(node: Node, file: PeersFile) -> Peers:
    from fernweir.node.peering import start_peers

    return await start_peers(node.core, node.feed, node.config, file)


async def run(
    config: NodeConfig, log: NodeLog, environment: Mapping[str, str], file: PeersFile | None = None
) -> None:
    node = Node(config, log, environment)
    loop = asyncio.get_running_loop()
    peers = None if file is None else await _peers(node, file)
    node.start()
    # In the turn in which it begins to listen and to follow, so that none comes to a half of it. A SIGTERM
    # before ends the process, which has taken nothing; a SIGHUP waits (`HELD_BACK`).
    loop.add_signal_handler(signal.SIGHUP, node.reload)
    loop.add_signal_handler(signal.SIGTERM, node.terminate)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HELD_BACK)
    # What was made so far stays for good: the collector need not look at it again.
    gc.collect()
    gc.freeze()
    await node.ended.wait()
    if peers is not None:
        await peers.leave(0.0)  # nothing is handed on: it says that it goes, and the end of its record
        await peers.stop()
    await node.finish()
    signal.pthread_sigmask(signal.SIG_BLOCK, HELD_BACK)  # the loop's end takes the handlers away


def main() -> int:
    """`python -m fernweir node`. 2: the configuration can't be used, or the address can't be had."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HELD_BACK)  # before the file is read: it may be replaced then
    try:
        config = load_config(os.environ)
        file = peers_file(config, os.environ)
        asyncio.run(run(config, NodeLog(config.name), os.environ, file))
    except ConfigError as error:
        for line in str(error).splitlines():
            print(f"fernweir node: {line}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"fernweir node: {error}", file=sys.stderr)
        return 2
    return 0
