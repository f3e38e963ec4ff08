"""Mutants of codec, seals, frames and links."""

from __future__ import annotations

from tests.peers_mutants import Mutant

_SEAL, _TALK = "fernweir/peers/wire/seal.py", "fernweir/peers/wire/conversation.py"
_WINDOW, _FRAMES = "fernweir/peers/wire/window.py", "fernweir/peers/wire/frames.py"
_KEYS, _TCP = "fernweir/peers/wire/keys.py", "fernweir/peers/link/tcp.py"
_SEND_QUEUES, _REGISTRY = "fernweir/peers/link/send_queues.py", "fernweir/peers/link/registry.py"
_LINKS, _CONNECTION = "fernweir/peers/link/links.py", "fernweir/peers/link/connection.py"

MUTANTS: list[Mutant] = [
    Mutant("window one too long", _WINDOW, "-ahead >= self.size", "-ahead > self.size", 3),
    Mutant("window one too short", _WINDOW, "-ahead >= self.size", "-ahead >= self.size - 1", 3),
    Mutant("window forgets a jump", _WINDOW, "if ahead < self.size else 1", "if ahead < self.size else 0", 3),
    Mutant("window without a mask", _WINDOW, "-ahead >= self.size or counter < 1", "counter < 1", 3),
    Mutant(
        "tag leaves out the incarnation",
        _SEAL,
        "if self._sealer.find_key(memoryview(data)[:-TAG_BYTES], data[-TAG_BYTES:]) is None:",
        "if self._sealer.find_key(\n"
        "            data[: 4 + length] + data[12 + length : -TAG_BYTES], data[-TAG_BYTES:]\n"
        "        ) is None:",
        2,
    ),
    Mutant(
        "only a tag's first bytes compared",
        _KEYS,
        "return compare_digest(self.tag(data, key_index), tag)",
        "return compare_digest(self.tag(data, key_index)[:8], bytes(tag)[:8])",
        2,
    ),
    Mutant(
        "newer incarnation keeps the old window",
        _SEAL,
        "known = _Sender(incarnation, self.rules.window)",
        "known = known or _Sender(incarnation, self.rules.window)\n"
        "            known.incarnation = incarnation",
        3,
    ),
    Mutant(
        "older incarnation opens a window",
        _SEAL,
        "if known is not None and incarnation < known.incarnation:",
        "if known is None and incarnation < 0:",
        3,
    ),
    Mutant(
        "windows made before the tag is checked",
        _SEAL,
        "        if self._sealer.find_key(",
        "        name = data[4 : 4 + length].decode(errors='replace')\n"
        "        self.register_sender(name, _NUMBERS.unpack_from(data, 4 + length)[0])\n"
        "        if self._sealer.find_key(",
        2,
    ),
    Mutant(
        "only the first key opens",
        _KEYS,
        "for key_index in range(len(self._keyed_hashes))",
        "for key_index in range(1)",
        2,
    ),
    Mutant(
        "frame counter not checked",
        _TALK,
        'if int.from_bytes(data[:8], "big") != self._last_received_counter + 1:',
        'if int.from_bytes(data[:8], "big") < 1:',
        3,
    ),
    Mutant(
        "frame may be left out",
        _TALK,
        'if int.from_bytes(data[:8], "big") != self._last_received_counter + 1:',
        'if int.from_bytes(data[:8], "big") <= self._last_received_counter:',
        8,
    ),
    Mutant(
        "frame tags cover the own nonce only",
        _TALK,
        'covered = b"".join((self._peer_nonce, self._nonce, data[:-TAG_BYTES]))',
        'covered = b"".join((self._nonce, self._nonce, data[:-TAG_BYTES]))',
        2,
    ),
    Mutant(
        "a hello proves who is there",
        _TALK,
        "        self._peer_nonce = data",
        "        self.proven = True\n        self._peer_nonce = data",
        2,
    ),
    Mutant(
        "empty frames pass",
        _FRAMES,
        "if not 1 <= size <= self.max_bytes:",
        "if not 0 <= size <= self.max_bytes:",
        5,
    ),
    Mutant(
        "longest frame refused",
        _FRAMES,
        "if not 1 <= size <= self.max_bytes:",
        "if not 1 <= size < self.max_bytes:",
        3,
    ),
    Mutant(
        "length in the other order",
        _FRAMES,
        'size = int.from_bytes(buffer[:_LENGTH_BYTES], "big")',
        'size = int.from_bytes(buffer[:_LENGTH_BYTES], "little")',
        1,
    ),
    Mutant(
        "length of three bytes",
        _FRAMES,
        'size = int.from_bytes(buffer[:_LENGTH_BYTES], "big")',
        'size = int.from_bytes(buffer[1:_LENGTH_BYTES], "big")',
        20,
    ),
    Mutant(
        "queue without a bound",
        _SEND_QUEUES,
        "elif send_queue.size_bytes + len(body) > rules.max_queue_bytes:",
        "elif send_queue.size_bytes < 0:",
        40,
    ),
    Mutant(
        "half-open connections without a bound",
        _REGISTRY,
        "if len(self.half_open) > self._rules.half_open:",
        "if len(self.half_open) > 9_999:",
        40,
    ),
    Mutant(
        "what was given up still counts as waiting",
        _SEND_QUEUES,
        "del self._by_target[send_queue.target]\n            self.waiting_bytes -= send_queue.size_bytes",
        "del self._by_target[send_queue.target]",
        40,
    ),
    Mutant(
        "written to who does not read",
        _CONNECTION,
        "return self.established and not self.closed and not self.paused",
        "return self.established and not self.closed",
        40,
        faults=2,
    ),
    Mutant(
        "budget for datagrams only",
        _TCP,
        "if not self._bucket.try_consume(now, size, reserve_bytes):",
        "if self._bucket.wait_ms(now, size, reserve_bytes) < 0:",
        40,
    ),
    Mutant(
        "connections of an earlier incarnation are used on",
        _REGISTRY,
        "return connection.conversation.peer_incarnation < self._seal.newest_incarnation(\n"
        "            connection.conversation.peer\n        )",
        "return False",
        40,
        faults=2,
    ),
    Mutant(
        "frames of an earlier incarnation are heard",
        _LINKS,
        "if incarnation < self.seal.newest_incarnation(sender):",
        "if incarnation < 0:",
        40,
        faults=2,
    ),
    Mutant(
        "called once more, then never",
        _TCP,
        "        self._retries.pop(send_queue, None)\n        address =",
        "        address =",
        40,
    ),
    Mutant(
        "pauses between calls never end",
        _SEND_QUEUES,
        "if now - self._failing_since_ms > rules.give_up_ms:",
        "if now < 0:",
        40,
    ),
    Mutant(
        "a hello may come at any time",
        _REGISTRY,
        "if now - connection.opened_at_ms > rules.hello_timeout_ms\n                else Due",
        "if now - connection.opened_at_ms > 1e9\n                else Due",
        40,
    ),
    Mutant(
        "what is idle stays",
        _REGISTRY,
        "Due.IDLE\n            if now - connection.last_used_ms > idle_timeout_ms or",
        "Due.IDLE\n            if",
        40,
    ),
    Mutant(
        "what was flushed is flushed again",
        _LINKS,
        "pending, self._pending = self._pending, {}",
        "pending = self._pending",
        1,
    ),
    Mutant(
        "a lost connection keeps its name",
        _REGISTRY,
        "if self.by_name.get(peer) is connection:",
        "if self.by_name.get(peer) is connection and self.half_open:",
        10,
    ),
]
