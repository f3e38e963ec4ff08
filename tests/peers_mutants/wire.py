"""Mistakes in codec, seals, frames and links."""

from __future__ import annotations

from tests.peers_mutants import Mutant

_SEAL, _TALK = "fernweir/peers/wire/seal.py", "fernweir/peers/wire/conversation.py"
_WINDOW, _FRAMES = "fernweir/peers/wire/window.py", "fernweir/peers/wire/frames.py"
_KEYS, _TCP = "fernweir/peers/wire/keys.py", "fernweir/peers/link/tcp.py"

MUTANTS: list[Mutant] = [
    Mutant("window one too long", _WINDOW, "-ahead >= self.size", "-ahead > self.size", 3),
    Mutant("window one too short", _WINDOW, "-ahead >= self.size", "-ahead >= self.size - 1", 3),
    Mutant("window forgets a jump", _WINDOW, "if ahead < self.size else 1", "if ahead < self.size else 0", 3),
    Mutant("window without a mask", _WINDOW, "-ahead >= self.size or counter < 1", "counter < 1", 3),
    Mutant(
        "tag leaves out the life",
        _SEAL,
        "if self._sealer.opens(view[:-TAG], view[-TAG:]) is None:",
        "if self._sealer.opens(data[: 4 + length] + data[12 + length : -TAG], view[-TAG:]) is None:",
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
        "        view = memoryview(data)\n        if self._sealer",
        "        name = data[4 : 4 + length].decode(errors='replace')\n"
        "        self._take(name, *_NUMBERS.unpack_from(data, 4 + length))\n"
        "        view = memoryview(data)\n        if self._sealer",
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
]
