"""Mistakes in codec, seals, frames and links."""

from __future__ import annotations

from tests.peers_mutants import Mutant

_SEAL, _TALK = "fernweir/peers/wire/seal.py", "fernweir/peers/wire/conversation.py"
_WINDOW, _FRAMES = "fernweir/peers/wire/window.py", "fernweir/peers/wire/frames.py"
_KEYS, _TCP = "fernweir/peers/wire/keys.py", "fernweir/peers/link/tcp.py"
_LANES, _REGISTRY = "fernweir/peers/link/lanes.py", "fernweir/peers/link/registry.py"
_LINKS, _CONNECTION = "fernweir/peers/link/links.py", "fernweir/peers/link/connection.py"

MUTANTS: list[Mutant] = [
    Mutant("window one too long", _WINDOW, "-ahead >= self.size", "-ahead > self.size", 3),
    Mutant("window one too short", _WINDOW, "-ahead >= self.size", "-ahead >= self.size - 1", 3),
    Mutant("window forgets a jump", _WINDOW, "if ahead < self.size else 1", "if ahead < self.size else 0", 3),
    Mutant("window without a mask", _WINDOW, "-ahead >= self.size or counter < 1", "counter < 1", 3),
    Mutant(
        "tag leaves out the life",
        _SEAL,
        "if self._sealer.opens(memoryview(data)[:-TAG], data[-TAG:]) is None:",
        "if self._sealer.opens(data[: 4 + length] + data[12 + length : -TAG], data[-TAG:]) is None:",
        2,
    ),
    Mutant(
        "only a tag's first bytes compared",
        _KEYS,
        "return compare_digest(self.tag(data, which), tag)",
        "return compare_digest(self.tag(data, which)[:8], bytes(tag)[:8])",
        2,
    ),
    Mutant(
        "newer life keeps the old window",
        _SEAL,
        "known = _Sender(life, self.rules.window)",
        "known = known or _Sender(life, self.rules.window)\n            known.life = life",
        3,
    ),
    Mutant(
        "older life opens a window",
        _SEAL,
        "if known is not None and life < known.life:",
        "if known is None and life < 0:",
        3,
    ),
    Mutant(
        "windows made before the tag is checked",
        _SEAL,
        "        if self._sealer.opens(",
        "        name = data[4 : 4 + length].decode(errors='replace')\n"
        "        self.meet(name, _NUMBERS.unpack_from(data, 4 + length)[0])\n"
        "        if self._sealer.opens(",
        2,
    ),
    Mutant(
        "only the first key opens", _KEYS, "for which in range(len(self._keyed))", "for which in range(1)", 2
    ),
    Mutant(
        "frame counter not checked",
        _TALK,
        'if int.from_bytes(data[:8], "big") != self._heard + 1:',
        'if int.from_bytes(data[:8], "big") < 1:',
        3,
    ),
    Mutant(
        "frame may be left out",
        _TALK,
        'if int.from_bytes(data[:8], "big") != self._heard + 1:',
        'if int.from_bytes(data[:8], "big") <= self._heard:',
        8,
    ),
    Mutant(
        "frame tags cover the own nonce only",
        _TALK,
        'covered = b"".join((self._peer_nonce, self._nonce, data[:-TAG]))',
        'covered = b"".join((self._nonce, self._nonce, data[:-TAG]))',
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
        "empty frames pass", _FRAMES, "if not 1 <= size <= self.most:", "if not 0 <= size <= self.most:", 5
    ),
    Mutant(
        "longest frame refused", _FRAMES, "if not 1 <= size <= self.most:", "if not 1 <= size < self.most:", 3
    ),
    Mutant(
        "length in the other order",
        _FRAMES,
        'size = int.from_bytes(kept[:_HEAD], "big")',
        'size = int.from_bytes(kept[:_HEAD], "little")',
        1,
    ),
    Mutant(
        "length of three bytes",
        _FRAMES,
        'size = int.from_bytes(kept[:_HEAD], "big")',
        'size = int.from_bytes(kept[1:_HEAD], "big")',
        20,
    ),
    Mutant(
        "queue without a bound",
        _LANES,
        "elif lane.size + len(body) > rules.queue:",
        "elif lane.size < 0:",
        40,
    ),
    Mutant(
        "half-open connections without a bound",
        _REGISTRY,
        "if len(self.half) > self._rules.half_open:",
        "if len(self.half) > 9_999:",
        40,
    ),
    Mutant(
        "what was given up still counts as waiting",
        _LANES,
        "del self._lanes[lane.whom]\n            self.waiting -= lane.size",
        "del self._lanes[lane.whom]",
        40,
    ),
    Mutant(
        "written to who does not read",
        _CONNECTION,
        "return self.joined and not self.closed and not self.paused",
        "return self.joined and not self.closed",
        40,
        faults=2,
    ),
    Mutant(
        "budget for datagrams only",
        _TCP,
        "if not self._bucket.take(now, size, keep):",
        "if self._bucket.wait_ms(now, size, keep) < 0:",
        40,
    ),
    Mutant(
        "connections of an earlier life are used on",
        _REGISTRY,
        "return connection.talk.peer_life < self._seal.newest(connection.talk.peer)",
        "return False",
        40,
        faults=2,
    ),
    Mutant(
        "frames of an earlier life are heard",
        _LINKS,
        "if life < self.seal.newest(sender):",
        "if life < 0:",
        40,
        faults=2,
    ),
    Mutant(
        "called once more, then never",
        _TCP,
        "        self._retries.pop(lane, None)\n        address =",
        "        address =",
        40,
    ),
    Mutant(
        "pauses between calls never end",
        _LANES,
        "if now - self._failed_since > rules.give_up_ms:",
        "if now < 0:",
        40,
    ),
    Mutant(
        "a hello may come at any time",
        _REGISTRY,
        "if now - connection.since > rules.hello_ms else Due",
        "if now - connection.since > 1e9 else Due",
        40,
    ),
    Mutant(
        "what is idle stays",
        _REGISTRY,
        "return Due.IDLE if now - connection.used > idle_ms or",
        "return Due.IDLE if",
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
        "if self.named.get(peer) is connection:",
        "if self.named.get(peer) is connection and self.half:",
        10,
    ),
]
