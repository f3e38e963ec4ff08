"""Races on a node's connection to its control feed, forced in all orders, and random feed faults."""

from __future__ import annotations

import json
import selectors
import socket
from contextlib import suppress
from dataclasses import replace
from random import Random
from typing import Any

import pytest

from fernweir.front.names import number_of
from fernweir.interface import EndpointListUpdate, ServerState
from fernweir.node.config import NodeConfig
from fernweir.node.endpoint_feed import EndpointFeed, FeedError
from fernweir.node.reconnect import ReconnectPolicy
from tests.node_scene import FarFeed, Stage, staged
from tests.sockets import Far

# Loop iterations between the start of a connect and its `SUB`: the descriptor is ready, its future is set,
# the transport is created, `connection_made` is called, the connecting coroutine resumes. One more is after
# that.
TURNS = range(7)


def connecting(stage: Stage) -> list[int]:
    """Returns the descriptors of the connects in progress."""
    keys = stage.loop.selected.get_map().values()
    return [key.fd for key in keys if key.events & selectors.EVENT_WRITE]


def begin_reconnect(stage: Stage) -> None:
    """Breaks the connection to the feed, and runs until the next connect has started."""
    stage.loop.settle()
    stage.feed.poll()[-1].reset()
    stage.loop.until(lambda: "feed connection ended" in stage.log.getvalue())
    stage.loop.jump(80.0)  # the first backoff is 75 ms at most
    stage.loop.until(lambda: connecting(stage))


def open_connections(*feeds: FarFeed) -> list[tuple[Far, bytes]]:
    """Returns the connections that are open at both ends, with what the node has sent on them."""
    for feed in feeds:
        feed.poll()
    return [
        (line, subscription)
        for feed in feeds
        for line, subscription in zip(feed.lines, feed.subscriptions, strict=True)
        if not line.over
    ]


def change(stage: Stage, n: int, status: str = "draining", **more: object) -> dict[str, Any]:
    line = {**stage.line("s-0", status), **more}
    return {"n": n, "members": {"index": n, "snapshot": False, "endpoints": [line]}}


def encode_event(event: object) -> bytes:
    return json.dumps(event).encode() + b"\n"


def check_followed(stage: Stage, feed: FarFeed, last: int = 1) -> None:
    """Checks that one connection exists, is subscribed from the last event, and delivers the next one."""
    ((line, subscription),) = (
        open_connections(stage.feed, feed) if feed is not stage.feed else open_connections(feed)
    )
    assert line in feed.lines and subscription == b"SUB %d\n" % last
    line.write(encode_event(change(stage, last + 1)))
    stage.loop.until(lambda: stage.node.feed.last_sequence_number == last + 1)


@pytest.mark.parametrize("turns", TURNS)
def test_a_feed_reset_in_any_iteration_of_a_connect_is_followed_by_a_reconnect(turns: int) -> None:
    with staged() as stage:
        begin_reconnect(stage)
        stage.loop.turn(turns)
        stage.feed.poll()[-1].reset()
        stage.loop.advance(1_000)
        check_followed(stage, stage.feed)


@pytest.mark.parametrize("late", [True, False])
@pytest.mark.parametrize("turns", TURNS)
def test_a_connect_that_races_with_its_timeout_is_either_used_or_dropped(turns: int, late: bool) -> None:
    with staged() as stage:
        begin_reconnect(stage)
        stage.loop.turn(turns)
        if not late:  # the other end of the race: the timeout passes while the connect is held
            stage.loop.selected.held.update(connecting(stage))
        stage.loop.jump(1_001.0)
        stage.loop.turn()
        stage.loop.selected.held.clear()
        stage.loop.advance(200)
        check_followed(stage, stage.feed)


@pytest.mark.parametrize("times", [1, 2])
@pytest.mark.parametrize("turns", TURNS)
def test_an_address_change_in_any_iteration_of_a_connect_uses_the_new_address_only(
    turns: int, times: int
) -> None:
    with staged() as stage:
        begin_reconnect(stage)
        stage.loop.turn(turns)
        other = FarFeed()
        for _ in range(times):  # in one turn
            stage.node.endpoint_watcher.change_address(other.address)
        for line in stage.feed.poll():  # events that the old feed still sends
            if not line.over:
                line.write(encode_event(change(stage, 2, "removed")))
        stage.loop.settle()
        assert stage.node.feed.last_sequence_number == 1
        check_followed(stage, other)
        assert stage.node.dispatcher.sessions.endpoint_states == {number_of("s-0"): ServerState.DRAINING}
        other.close()


@pytest.mark.parametrize("first", ["move", "line"])
def test_a_line_of_the_old_feed_is_applied_if_it_is_read_before_the_address_change(first: str) -> None:
    with staged() as stage:
        stage.loop.settle()
        other, (ours, theirs) = FarFeed(), socket.socketpair()
        old = stage.feed.poll()[-1]
        stage.loop.add_reader(
            ours,
            lambda: (
                stage.loop.remove_reader(ours),
                stage.node.endpoint_watcher.change_address(other.address),
            ),
        )
        fds = [ours.fileno(), stage.loop.near(old.sock)]
        stage.loop.selected.first = fds if first == "move" else fds[::-1]
        old.write(encode_event(change(stage, 2)))
        theirs.send(b"!")
        stage.loop.arrived(*fds)
        stage.loop.settle()
        check_followed(stage, other, 1 if first == "move" else 2)
        for end in (ours, theirs, other):
            end.close()


@pytest.mark.parametrize("after", [-0.001, 0.001])
def test_an_address_change_in_the_iteration_of_a_retry_connects_once(after: float) -> None:
    with staged() as stage:
        stage.loop.settle()
        stage.feed.poll()[-1].end()
        stage.loop.until(lambda: "feed connection ended" in stage.log.getvalue())
        (retry,) = [one for one in stage.loop.due() if "EndpointWatcher" in repr(one)]
        other = FarFeed()
        stage.loop.call_at(retry.when() + after, stage.node.endpoint_watcher.change_address, other.address)
        stage.loop.jump(80.0)  # both are due, and run in one turn
        stage.loop.advance(3_000)
        for feed in (stage.feed, other):
            assert not [line for line in feed.poll()[:-1] if not line.over]
        check_followed(stage, other)
        other.close()


@pytest.mark.parametrize("turns", TURNS)
def test_a_stop_in_any_iteration_of_a_connect_opens_no_other_connection(turns: int) -> None:
    with staged() as stage:
        other = FarFeed()
        stage.node.terminate()
        begin_reconnect(stage)
        stage.loop.turn(turns)
        stage.node.endpoint_watcher.stop()
        stage.node.endpoint_watcher.change_address(other.address)
        stage.loop.advance(5_000)
        assert open_connections(stage.feed, other) == [] and not other.lines
        other.close()


def test_an_address_change_during_the_shutdown_is_still_followed() -> None:
    with staged() as stage:
        other = FarFeed()
        stage.node.terminate()
        stage.node.endpoint_watcher.change_address(other.address)
        stage.loop.settle()
        check_followed(stage, other)
        stage.loop.advance(4_000)
        assert stage.node.drained.is_set()
        other.close()


def test_an_address_change_before_the_start_opens_no_connection() -> None:
    with staged() as stage:
        other = FarFeed()
        fresh = type(stage.node.endpoint_watcher)(
            stage.node.dispatcher, stage.node.feed, stage.node.server_transport, other.address, 1
        )
        fresh.change_address(other.address)
        stage.loop.advance(1_000)
        assert other.poll() == []
        fresh.start()
        stage.loop.settle()
        assert len(open_connections(other)) == 1
        fresh.stop()
        other.close()


# Input that conveys nothing new: more bytes of a line, old events, numbers below the last.
@pytest.mark.parametrize(
    ("start", "word"),
    [(b"", b""), (b'{"n":2,', b""), (b'{"n":2,', b" "), (b"", b'{"n":1}\n'), (b"", b"0\n"), (b"", b"-7\n")],
)
def test_a_feed_without_useful_input_is_resubscribed_in_under_two_seconds(start: bytes, word: bytes) -> None:
    with staged() as stage:
        stage.loop.settle()
        line = stage.feed.poll()[-1]
        line.write(b"1\n" + start)
        for _ in range(4):
            stage.loop.advance(490)
            if not line.over:
                line.write(word)
            stage.feed.poll()
        stage.loop.settle()
        assert len(stage.feed.poll()) == 2
        check_followed(stage, stage.feed)


def test_a_sequence_number_per_second_keeps_the_connection_even_in_two_parts() -> None:
    with staged() as stage:
        stage.loop.settle()
        line = stage.feed.poll()[-1]
        for _ in range(20):
            line.write(b"1")
            stage.loop.advance(500)
            line.write(b"\n")
            stage.loop.advance(500)
        assert len(stage.feed.poll()) == 1
        check_followed(stage, stage.feed)


@pytest.mark.parametrize("end", ["reset", "end", "silence"])
def test_an_interrupted_event_is_applied_once_from_the_next_connection(end: str) -> None:
    with staged() as stage:
        stage.loop.settle()
        applied: list[int] = []
        watcher = stage.node.endpoint_watcher
        apply = watcher.apply_update
        watcher.apply_update = lambda update: (applied.append(update.version), apply(update))[1]  # type: ignore
        line, event = stage.feed.poll()[-1], encode_event(change(stage, 2))
        line.write(event[:40])
        stage.loop.settle()
        if end != "silence":
            getattr(line, end)()
        stage.loop.advance(1_900 if end == "silence" else 100)
        ((line, subscription),) = open_connections(stage.feed)
        assert subscription == b"SUB 1\n"
        line.write(event[40:90])  # the rest of the interrupted line, which is not a valid line by itself
        line.write(b"\n")
        stage.loop.advance(400)
        ((line, subscription),) = open_connections(stage.feed)
        assert subscription == b"SUB 1\n"
        line.write(
            event + event + encode_event(change(stage, 2, "removed")) + encode_event(change(stage, 3, "up"))
        )
        stage.loop.settle()
        assert applied == [2, 3] and stage.node.feed.last_sequence_number == 3
        line.write(encode_event(change(stage, 5)))  # a gap
        stage.loop.advance(100)
        check_followed(stage, stage.feed, 3)


def test_connects_to_a_new_address_that_hang_are_retried_every_second() -> None:
    with staged() as stage:
        stage.loop.settle()
        stage.loop.advance(1_700)  # silent, and just before the idle timeout
        other = FarFeed()
        began = stage.loop.clock
        stage.node.endpoint_watcher.change_address(other.address)
        for tries in (1, 2, 3):
            stage.loop.until(lambda: connecting(stage))
            stage.loop.selected.held = set(connecting(stage))
            other.poll()
            assert len(other.lines) == tries and len(open_connections(stage.feed, other)) == 1
            stage.loop.advance(1_000)
            stage.loop.selected.held = set()
            while not connecting(stage):
                stage.loop.jump(5.0)
                stage.loop.turn()
                stage.loop.until(lambda: connecting(stage) or not stage.loop._ready)
        assert stage.loop.clock - began < 3.6  # 3 x 1.0 s, and 1.5 x (50 + 100 + 200) ms at most
        stage.loop.settle()
        check_followed(stage, other)
        other.close()


def test_a_feed_silent_between_events_is_resubscribed_within_the_drain_grace() -> None:
    """A node gets no drain events during a backoff; the shortest grace period of a deployment is 400 ms."""
    policy, now = ReconnectPolicy(1), 0.0
    for _ in range(40):
        opening = policy.begin_connection(now)
        assert opening is not None and policy.on_connected(opening, now)
        assert policy.deadline is not None and policy.timeout_reason() == "silent"
        now = policy.deadline
        assert policy.on_connection_ended(opening, now)
        assert policy.deadline - now <= 0.075
        now = policy.deadline


def test_a_connection_ends_once_and_the_backoff_grows_for_a_useless_feed() -> None:
    policy, now, backoffs = ReconnectPolicy(1), 0.0, []
    for _ in range(40):
        first = policy.begin_connection(now)
        opening = policy.begin_connection(now)  # replaces the first one
        assert (
            first is not None and opening is not None and policy.timeout_reason() == "no connection in time"
        )
        assert not policy.on_connected(first, now) and not policy.on_connection_ended(first, now)
        assert (
            policy.on_connected(opening, now)
            and policy.is_current(opening)
            and policy.timeout_reason() == "silent"
        )
        # The last sequence number at once, then an event that cannot be used.
        policy.on_data_received(now, applied_event=False)
        assert (
            policy.on_connection_ended(opening, now)
            and not policy.on_connection_ended(opening, now)
            and not policy.is_current(opening)
        )
        assert policy.deadline is not None and policy.timeout_reason() is None
        backoffs.append(policy.deadline - now)
        now = policy.deadline
    assert backoffs[0] < 0.075 and min(backoffs[5:]) >= 0.4 and max(backoffs) <= 1.2
    for is_applied, open_s in ((True, 0.0), (False, 1.0)):  # both reset the backoff
        opening = policy.begin_connection(now)
        assert opening is not None and policy.on_connected(opening, now)
        policy.on_data_received(now + open_s, is_applied)
        assert policy.deadline == now + open_s + 1.8
        policy.on_connection_ended(opening, now)
        assert policy.deadline < now + 0.075
    opening = policy.begin_connection(now)
    policy.stop()
    assert (
        opening is not None
        and not policy.on_connected(opening, now)
        and not policy.on_connection_ended(opening, now)
    )
    assert (
        policy.deadline is None and not policy.on_address_changed() and policy.begin_connection(now) is None
    )


def test_a_repeated_unreadable_event_is_applied_in_part() -> None:
    with staged(servers=2) as stage:
        stage.loop.settle()
        odd = change(stage, 2)
        odd["members"]["endpoints"] += [{**stage.line("s-1"), "type": "odd"}, 7]
        odd["members"]["snapshot"] = True  # endpoints missing from an incomplete list are kept
        no_list = {"n": 3, "members": {"index": "1"}}
        listed = {number_of("s-0"): ServerState.READY, number_of("s-1"): ServerState.READY}
        for n, event in ((2, odd), (3, no_list)):
            for tries, sent in enumerate(({**event, "spoilt": 1}, event, event)):  # the first one differs
                ((line, subscription),) = open_connections(stage.feed)
                assert stage.node.dispatcher.sessions.endpoint_states == listed
                assert not tries or subscription == b"SUB %d\n" % (n - 1)
                line.write(b"%d\n" % (n - 1) + encode_event(sent))
                stage.loop.advance(500)
            assert stage.node.feed.last_sequence_number == n
            listed[number_of("s-0")] = ServerState.DRAINING
        assert stage.node.dispatcher.sessions.endpoint_states == listed
        assert stage.log.getvalue().count("partially applied") == 2
        line.write(encode_event(change(stage, 4)))
        stage.loop.until(lambda: stage.node.feed.last_sequence_number == 4)


def test_a_feed_that_starts_after_the_first_event_is_resubscribed() -> None:
    feed = EndpointFeed(("box",), 0.0)
    for n in (2, 10**30):
        with pytest.raises(FeedError):
            feed.apply_line(b'{"n":%d}' % n)
    with pytest.raises(FeedError):
        feed.apply_line(b"9" * 5_000)
    assert (
        feed.apply_line(b'{"n":0}') is None
        and feed.apply_line(b'{"n":-3}') is None
        and feed.in_sequence_lines == 0
    )
    assert (
        feed.apply_line(b'{"n":1}') is None
        and feed.apply_line(b"1") is None
        and (feed.last_sequence_number, feed.in_sequence_lines) == (1, 2)
    )
    known = EndpointFeed(("box",), 0.0)
    assert list(known.apply_known_events(({"n": 7}, {"n": 8}), 8)) == [] and known.last_sequence_number == 8


class StageWithKnownEvents(Stage):
    """A node whose configured list includes later events."""

    def __init__(self, *later: dict[str, Any]) -> None:
        self.later = later
        super().__init__()

    def config(self, seed: int = 7) -> NodeConfig:
        base = super().config(seed)
        lines = [{**self.line("s-0"), **one} for one in self.later]
        events = [
            {"n": n, "members": {"index": n, "snapshot": False, "endpoints": [line]}}
            for n, line in enumerate(lines, 2)
        ]
        return replace(
            base, known_events=(*base.known_events, *events), known_sequence_number=len(events) + 1
        )


def test_a_server_removed_and_added_again_before_the_start_is_reachable() -> None:
    stage = StageWithKnownEvents({"status": "removed"}, {"since_ms": 1_000})
    assert stage.node.dispatcher.sessions.endpoint_states.keys() == stage.node.feed.addresses.keys() != set()
    stage.establish_session(stage.far_viewer())
    assert len(stage.feed.poll()) == 1 and stage.feed.subscriptions == [b"SUB 3\n"]
    stage.check_settled()
    stage.finish()


def test_an_unreadable_known_event_does_not_prevent_the_start() -> None:
    """Running nodes have skipped the event; a node that restarts must not fail because of it."""
    stage = StageWithKnownEvents({"status": "removed", "type": "odd"}, {"status": "draining"})
    assert stage.node.dispatcher.sessions.endpoint_states == {number_of("s-0"): ServerState.DRAINING}
    assert (
        stage.node.feed.last_sequence_number == 3
        and stage.log.getvalue().count("known events partially applied") == 1
    )
    stage.check_settled()
    stage.finish()
    with pytest.raises(FeedError):  # the missing event cannot be recovered
        list(EndpointFeed(("box",), 0.0).apply_known_events(({"n": 1}, {"n": 3}), 3))


ACTIONS = (
    *("event", "event", "event", "twice", "old", "gap", "number", "half", "silent", "reset", "end"),
    *("move", "move", "hold", "free", "turn", "jump", "advance", "cross", "cross"),
)


class FaultInjector:
    """Feeds at old and new addresses send the same events, while random faults hit their connections."""

    def __init__(self, stage: Stage, rng: Random) -> None:
        self.stage, self.rng = stage, rng
        self.feeds: list[FarFeed] = [stage.feed]
        self.events = [change(stage, 1, "up")]
        self.last_sent: dict[int, int] = {}  # the last event sent on each connection, by its id
        self.broken: set[int] = set()  # connections that stay silent
        self.applied: list[int] = []
        self.apply_update = stage.node.endpoint_watcher.apply_update
        stage.node.endpoint_watcher.apply_update = self.on_update  # type: ignore[method-assign]

    def on_update(self, update: EndpointListUpdate) -> None:
        self.applied.append(update.version)
        self.apply_update(update)

    def open(self) -> list[tuple[int, Far, bytes]]:
        """Returns the subscribed connections at the newest address that still receive events."""
        feed = self.feeds[-1]
        feed.poll()
        pairs = zip(feed.lines, feed.subscriptions, strict=True)
        return [
            (id(line), line, subscription)
            for line, subscription in pairs
            if not line.over and id(line) not in self.broken and subscription.endswith(b"\n")
        ]

    def write(self, line: Far, data: bytes) -> None:
        with suppress(OSError):  # the node has closed it
            line.write(data)

    def serve(self) -> None:
        for key, line, subscription in self.open():
            assert subscription.count(b"\n") == 1
            for event in self.events[self.last_sent.get(key, int(subscription[4:])) :]:
                self.write(line, encode_event(event))
            self.last_sent[key] = len(self.events)

    def number(self) -> None:
        for _, line, _ in self.open():
            self.write(line, b"%d\n" % len(self.events))

    def act(self) -> None:
        rng, loop = self.rng, self.stage.loop
        action = rng.choice(ACTIONS)
        lines = self.open()
        if action == "event":
            status = rng.choice(["up", "draining"])
            self.events.append(change(self.stage, len(self.events) + 1, status, weight=len(self.events)))
        elif action == "move":
            self.feeds += [FarFeed()] * (rng.random() < 0.7)
            for _ in range(rng.choice([1, 1, 2])):
                self.stage.node.endpoint_watcher.change_address(self.feeds[-1].address)
        elif action == "hold":
            loop.selected.held.update(connecting(self.stage))
        elif action == "free":
            loop.selected.held.clear()
        elif action == "cross":
            self.cross()
        elif action == "turn":
            loop.turn(rng.randrange(1, 6))
        elif action == "jump":
            loop.jump(rng.choice([20.0, 80.0, 900.0, 2_000.0]))
        elif action == "advance":
            loop.advance(rng.choice([10.0, 100.0, 500.0, 1_000.0]))
        elif lines:
            key, line, _ = rng.choice(lines)
            if action in ("reset", "end"):
                getattr(line, action)()
            elif action == "number":
                self.number()
            elif action == "gap":
                self.write(line, encode_event(change(self.stage, len(self.events) + 2, "removed")))
            elif action in ("twice", "old"):
                self.write(line, encode_event(rng.choice(self.events[: self.last_sent.get(key, 0)] or [0])))
            elif action == "half":
                self.write(
                    line,
                    encode_event(change(self.stage, len(self.events) + 1, "removed"))[: rng.randrange(60)],
                )
            if action in ("silent", "half", "end"):
                self.broken.add(key)
        if rng.random() < 0.6:
            self.serve()

    def cross(self) -> None:
        """Causes an event between two loop iterations of a connect, if one is in progress or due."""
        loop, feed = self.stage.loop, self.feeds[-1]
        loop.jump(80.0)
        for _ in range(self.rng.randrange(12)):
            loop.turn()
            if connecting(self.stage):
                break
        loop.turn(self.rng.randrange(4))
        if self.rng.random() < 0.7 and (lines := [one for one in feed.poll() if not one.over]):
            lines[-1].reset()
        elif self.rng.random() < 0.5:
            self.stage.node.endpoint_watcher.change_address(feed.address)

    def run(self) -> None:
        for _ in range(80):
            self.act()
            if self.rng.random() < 0.2:
                self.check_settled()
        self.stage.loop.selected.held.clear()
        self.events.append(change(self.stage, len(self.events) + 1))
        for _ in range(50):  # 5 s without faults
            self.serve()
            self.number()
            self.stage.loop.advance(100)
        self.check_settled()
        assert len(self.open()) == 1 and self.applied == list(range(2, len(self.events) + 1))
        assert self.stage.node.dispatcher.sessions.endpoint_states == {number_of("s-0"): ServerState.DRAINING}
        for feed in self.feeds[1:]:
            feed.close()

    def check_settled(self) -> None:
        self.stage.loop.settle()
        assert len(open_connections(*self.feeds)) <= 1, "two connections to the feed are open"
        assert self.applied == list(range(2, len(self.applied) + 2)), "applied twice or out of order"


@pytest.mark.parametrize("seed", range(40))
def test_the_list_is_complete_after_random_feed_faults(seed: int) -> None:
    with staged() as stage:
        FaultInjector(stage, Random(seed)).run()
