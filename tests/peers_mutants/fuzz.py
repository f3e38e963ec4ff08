"""Mistakes in what `tests/fuzzing` compares with its oracles; each names the target that must find it."""

from __future__ import annotations

from tests.peers_mutants import Mutant

_LINES, _FRAMES, _FEED = "fernweir/node/jsonl.py", "fernweir/node/frames.py", "fernweir/node/endpoint_feed.py"
_HTTP, _SSE, _INI = "fernweir/http/parse.py", "fernweir/http/sse.py", "fernweir/config/ini.py"
_CODEC = "fernweir/peers/wire/codec.py"
_LEDGER, _BOXES, _DISK = (
    "fernweir/front/reply_ledger.py",
    "fernweir/front/boxlist.py",
    "fernweir/journal/disk.py",
)
_STORE = "fernweir/journal/store.py"
_HOST, _BOOK = "fernweir/front/session_manager.py", "fernweir/seats/book.py"
_DESK, _TABLE = "fernweir/peers/forward/desk.py", "fernweir/peers/members/table.py"

BY_TARGET: dict[str, list[Mutant]] = {
    "lines": [
        Mutant("a key twice is taken", _LINES, "if len(found) != len(pairs):", "if not pairs:", 60),
        Mutant("cause of 256", _LINES, "<= cause <= _MAX_CAUSE", "<= cause <= _MAX_CAUSE + 1", 120),
        Mutant(
            "line one byte too long",
            _LINES,
            "self._check_length(len(line) + 1)",
            "self._check_length(len(line))",
            200,
        ),
        Mutant("surrogates in names", _LINES, "if not all(map(_is_encodable, fields)) or ", "if ", 600),
        Mutant(
            "lines before a long one lost",
            _LINES,
            "self.complete_lines.append(line)",
            "self.complete_lines = lines",
            200,
        ),
    ],
    "frames": [
        Mutant(
            "a parameter twice",
            _FRAMES,
            "if code in parameters:",
            "if code in parameters and not length:",
            200,
        ),
        Mutant(
            "whole frame kept back",
            _FRAMES,
            "offset < _LENGTH_BYTES + length:",
            "offset <= _LENGTH_BYTES + length:",
            20,
        ),
        Mutant("report of 17", _FRAMES, "> _MAX_REPORT_VALUES", "> _MAX_REPORT_VALUES + 1", 60),
    ],
    "feed": [
        Mutant(
            "a gap of one",
            _FEED,
            "if sequence_number > self.last_sequence_number + 1:",
            "if sequence_number > self.last_sequence_number + 2:",
            30,
        ),
        Mutant(
            "half an event applied",
            _FEED,
            'self.last_sequence_number = body["n"]\n',
            'self.last_sequence_number = self.last_sequence_number or body["n"]\n',
            30,
        ),
        Mutant("an event in part at once", _FEED, "if line != self._last_rejected_line:", "if not line:", 30),
        Mutant("a list in part empties", _FEED, "or not self.names)", "or True)", 1_000),
        Mutant(
            "a name that no bytes stand for",
            _FEED,
            "AttributeError, KeyError, TypeError, ValueError",
            "KeyError, ConfigError",
            60,
        ),
    ],
    "requests": [
        Mutant("lengths that repeat", _HTTP, "if len(values) > 1 or not _LENGTH", "if not _LENGTH", 600),
        Mutant("bare CR", _HTTP, 'if b"\\r" in line[:-1]:', "if not line:", 200),
        Mutant("scan mark not moved", _HTTP, "self._scanned -= self._pos", "self._scanned -= 0", 30),
        Mutant("chunked in HTTP/1.0", _HTTP, "if chunked and not minor:", "if chunked and minor > 9:", 60),
        Mutant("length beside a coding", _HTTP, 'if "content-length" in headers:', "if not headers:", 600),
    ],
    "responses": [
        Mutant("body after HEAD", _HTTP, 'bare = method == "HEAD" or status', "bare = status", 60),
        Mutant("body of 304", _HTTP, "(204, 304)", "(204,)", 600),
    ],
    "events": [
        Mutant("CR and LF apart", _SSE, 'False, text.removeprefix("\\n")', "False, text", 100),
        Mutant("only one space cut", _SSE, 'value.removeprefix(" ")', "value.lstrip()", 300),
        Mutant("a pause of many digits", _SSE, 'value.lstrip("0")[:_RETRY_DIGITS]', "value", 3_000),
    ],
    "ini": [
        Mutant("lines as Unicode has them", _INI, "io.StringIO(text)", "text.splitlines(True)", 100),
        Mutant("a default section", _INI, 'default_section="\\n"', 'default_section="s0"', 10),
    ],
    "bodies": [
        Mutant("a bad message passed over", _CODEC, "in self.kinds:\n", "in ():\n", 400),
        Mutant("sixteen messages", _CODEC, "if count < 16", "if count <= 16", 200),
    ],
    "ledger": [
        Mutant(
            "one that is due now waits",
            _LEDGER,
            "self._deadlines[0][0] <= now:",
            "self._deadlines[0][0] < now:",
            30,
        ),
        Mutant(
            "an answered one falls due",
            _LEDGER,
            "            if ticket in self._open:\n",
            "            if ticket >= 0:\n",
            30,
        ),
        Mutant("tidied by half", _LEDGER, "if item[1] in self._open]", "if item[1] in self._open][1:]", 200),
    ],
    "boxlist": [
        Mutant(
            "changes on an older version",
            _BOXES,
            "if document.base < self.version:",
            "if document.base < 0:",
            60,
        ),
        Mutant(
            "a whole list leaves old boxes",
            _BOXES,
            "        self.boxes = {}\n        self._lesson",
            "        self._lesson",
            60,
        ),
        Mutant(
            "an age told again restarts", _BOXES, "if not line.boot or boot != line.boot:", "if True:", 60
        ),
        Mutant(
            "checked after it was taken",
            _BOXES,
            "        self._check(document)\n        self.boxes = {}\n",
            "        self.boxes = {}\n        self._check(document)\n",
            60,
        ),
    ],
    "journal": [
        Mutant("a frame's place", _DISK, "        file.size += len(frame)\n", "", 60),
        Mutant("times of a segment", _STORE, "max(times) + 1, Index", "max(times), Index", 200),
        Mutant(
            "a hole between good frames", _DISK, "            os.lseek(self._out, at, os.SEEK_SET)\n", "", 60
        ),
        Mutant(
            "an entry sealed twice",
            _STORE,
            "entries, self._newest = self._newest, []",
            "entries = self._newest",
            60,
        ),
    ],
    "peer": [
        Mutant(
            "carried without a bound",
            _DESK,
            "if len(self._in) > self.rules.most:",
            "if len(self._in) < 0:",
            57,
        ),
        Mutant(
            "any answer ends a request", _DESK, "if out is not None and out.to == sender:", "if sender:", 57
        ),
        Mutant(
            "members without a bound",
            _TABLE,
            "if name in self.rows or len(self.rows) < self._most:",
            "if name:",
            57,
        ),
    ],
    "host": [
        Mutant(
            "an end of what was let go",
            _HOST,
            """self._close_session(held, Result.CANCELLED, "another front's now", let_go=True)""",
            """self._end_session(held, Result.CANCELLED, "another front's now")""",
            60,
        ),
        Mutant(
            "an end that nobody is told",
            _HOST,
            "self.observer.on_session_closed(self._now, held, why)",
            "held.informed_viewers = held.informed_viewers",
            30,
        ),
        Mutant("taken over twice", _HOST, "ask.session_id in self._records\n            or ", "", 100),
        Mutant(
            "doubtful ends not released",
            _HOST,
            "if end.result not in _NEVER_RAN:",
            "if end.result is Result.TIMEOUT:",
            60,
        ),
        Mutant(
            "nobody waits, nothing released",
            _HOST,
            "            self._release_at_server(held, why)\n"
            "            self._close_session(held, Result.CANCELLED, why)",
            "            self._close_session(held, Result.CANCELLED, why)",
            200,
        ),
        Mutant(
            "a seat not given back",
            _HOST,
            "        if self._checks_entitlement:\n            self._commands.append(EntitlementReleased",
            "        if self._checks_entitlement and held.informed_viewers:\n"
            "            self._commands.append(EntitlementReleased",
            60,
        ),
        Mutant(
            "a viewer who left is answered",
            _HOST,
            'held.tickets.remove(ticket)\n            self._on_no_viewer_waiting(held, "its viewer left")',
            'self._on_no_viewer_waiting(held, "its viewer left")',
            60,
        ),
        Mutant(
            "a lost box ends what is out",
            _HOST,
            "self._at_server.get(server, {}).values() if held.phase is SessionPhase.PLAYING\n",
            "self._at_server.get(server, {}).values()\n",
            200,
        ),
    ],
    "seats": [
        Mutant(
            "asked before it is written down",
            _BOOK,
            "if op is Op.ASK and seat.after > self._durable:",
            "if op is Op.ASK and seat.after < 0:",
            60,
        ),
        Mutant(
            "used from the answer on",
            _BOOK,
            "seat.use_until = seat.sent_at + seat.ttl_ms",
            "seat.use_until = now + seat.ttl_ms",
            100,
        ),
        Mutant(
            "doubtful asks are not counted",
            _BOOK,
            "            seat.held_until = now + self.rules.ttl_most_ms\n        if not seat.wanted:",
            "            seat.held_until = now\n        if not seat.wanted:",
            300,
        ),
        Mutant(
            "a released seat not asked for anew",
            _BOOK,
            "        if seat.wanted:\n            self._ask_anew(now, seat)\n            self._set",
            "        if seat.overdue:\n            self._ask_anew(now, seat)\n            self._set",
            200,
        ),
    ],
}

MUTANTS: list[Mutant] = [one for mutants in BY_TARGET.values() for one in mutants]
