"""Mistakes in what `tests/fuzzing` compares with its oracles; each names the target that must find it."""

from __future__ import annotations

from tests.peers_mutants import Mutant

_LINES, _FRAMES, _FEED = "fernweir/node/jsonl.py", "fernweir/node/frames.py", "fernweir/node/endpoint_feed.py"
_HTTP, _SSE, _INI = "fernweir/http/parse.py", "fernweir/http/sse.py", "fernweir/config/ini.py"
_CODEC = "fernweir/peers/wire/codec.py"
_LEDGER, _BOXES, _DISK = (
    "fernweir/front/reply_ledger.py",
    "fernweir/front/endpoint_list.py",
    "fernweir/journal/disk.py",
)
_STORE = "fernweir/journal/store.py"
_MANAGER, _HANDOVER = "fernweir/front/session_manager.py", "fernweir/front/session_handover.py"
_ENDINGS, _ATTEMPTS = "fernweir/front/session_endings.py", "fernweir/front/session_attempts.py"
_REQUESTS = "fernweir/front/session_requests.py"
_SEAT_REQUESTS, _SEAT_OPERATIONS = "fernweir/seats/lease_requests.py", "fernweir/seats/lease_operations.py"
_SEAT_ACQUISITION = "fernweir/seats/acquisition.py"
_FORWARDER, _TABLE = "fernweir/peers/forward/forwarder.py", "fernweir/peers/members/table.py"

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
        Mutant("scan mark not moved", _HTTP, "self._scanned -= self._position", "self._scanned -= 0", 30),
        Mutant("chunked in HTTP/1.0", _HTTP, "if chunked and not minor:", "if chunked and minor > 9:", 60),
        Mutant("length beside a coding", _HTTP, 'if "content-length" in headers:', "if not headers:", 600),
    ],
    "responses": [
        Mutant("body after HEAD", _HTTP, 'bodiless = method == "HEAD" or status', "bodiless = status", 60),
        Mutant("body of 304", _HTTP, "(204, 304)", "(204,)", 600),
    ],
    "events": [
        Mutant("CR and LF apart", _SSE, 'False, text.removeprefix("\\n")', "False, text", 100),
        Mutant("only one space cut", _SSE, 'value.removeprefix(" ")', "value.lstrip()", 300),
        Mutant("a pause of many digits", _SSE, 'value.lstrip("0")[:_MAX_RETRY_DIGITS]', "value", 3_000),
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
            "        self.servers = {}\n        self._title",
            "        self._title",
            60,
        ),
        Mutant(
            "an age told again restarts", _BOXES, "if not entry.boot or boot != entry.boot:", "if True:", 60
        ),
        Mutant(
            "checked after it was taken",
            _BOXES,
            "        self._check(document)\n        self.servers = {}\n",
            "        self.servers = {}\n        self._check(document)\n",
            60,
        ),
    ],
    "journal": [
        Mutant("a frame's place", _DISK, "        file.size += len(frame)\n", "", 60),
        Mutant(
            "times of a segment",
            _STORE,
            "return min(times), max(times) + 1",
            "return min(times), max(times)",
            200,
        ),
        Mutant(
            "a hole between good frames",
            _DISK,
            "            os.lseek(self._block_descriptor, offset, os.SEEK_SET)\n",
            "",
            60,
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
            _FORWARDER,
            "if len(self._received) > self.rules.max_requests:",
            "if len(self._received) < 0:",
            57,
        ),
        Mutant(
            "any answer ends a request",
            _FORWARDER,
            "if sent is not None and sent.to == sender:",
            "if sender:",
            57,
        ),
        Mutant(
            "members without a bound",
            _TABLE,
            "if name in self.rows or len(self.rows) < self._max_members:",
            "if name:",
            57,
        ),
    ],
    "host": [
        Mutant(
            "an end of what was let go",
            _HANDOVER,
            """close_session(record, Result.CANCELLED, "another front's now", is_handed_over=True)""",
            """end_session(record, Result.CANCELLED, "another front's now")""",
            60,
        ),
        Mutant(
            "an end that nobody is told",
            _ENDINGS,
            "context.observer.on_session_closed(context.now, record, reason)",
            "record.informed_viewers = record.informed_viewers",
            30,
        ),
        Mutant("taken over twice", _HANDOVER, "request.session_id in self._table.by_id or ", "", 100),
        Mutant(
            "doubtful ends not released",
            _ATTEMPTS,
            "if outcome.result not in NEVER_RAN_RESULTS:",
            'if outcome.result.name == "TIMEOUT":',
            60,
        ),
        Mutant(
            "nobody waits, nothing released",
            _ENDINGS,
            "            self.release_at_server(record, reason)\n"
            "            self.close_session(record, Result.CANCELLED, reason)",
            "            self.close_session(record, Result.CANCELLED, reason)",
            200,
        ),
        Mutant(
            "a seat not given back",
            _ENDINGS,
            "        if context.checks_entitlement:\n            context.commands.append(EntitlementReleased",
            "        if context.checks_entitlement and record.informed_viewers:\n"
            "            context.commands.append(EntitlementReleased",
            60,
        ),
        Mutant(
            "a viewer who left is answered",
            _REQUESTS,
            "record.tickets.remove(ticket)\n            self._endings.on_viewer_left(record, _VIEWER_LEFT)",
            "self._endings.on_viewer_left(record, _VIEWER_LEFT)",
            60,
        ),
        Mutant(
            "a lost box ends what is out",
            _MANAGER,
            "lost = self._table.playing_at(server)",
            "lost = list(self._table.by_server.get(server, {}).values())",
            200,
        ),
    ],
    "seats": [
        Mutant(
            "asked before it is written down",
            _SEAT_REQUESTS,
            "if operation is Operation.ACQUIRE and seat.log_sequence > self._durable_sequence:",
            "if operation is Operation.ACQUIRE and seat.log_sequence < 0:",
            60,
        ),
        Mutant(
            "used from the answer on",
            _SEAT_OPERATIONS,
            "seat.usable_until_ms = seat.sent_at_ms + seat.ttl_ms",
            "seat.usable_until_ms = now + seat.ttl_ms",
            100,
        ),
        Mutant(
            "doubtful asks are not counted",
            _SEAT_ACQUISITION,
            "seat.latest_expiry_ms = now + self._config.max_ttl_ms",
            "seat.latest_expiry_ms = now",
            300,
        ),
        Mutant(
            "a released seat not asked for anew",
            _SEAT_OPERATIONS,
            "        if seat.is_wanted:\n            self.reacquire(now, seat)",
            "        if seat.is_overdue:\n            self.reacquire(now, seat)",
            200,
        ),
    ],
}

MUTANTS: list[Mutant] = [one for mutants in BY_TARGET.values() for one in mutants]
