"""The DASH service: viewers ask for a lesson's manifest with a session token and get one answer.

Plays is 200 with an MPD, refused 503 with `Retry-After`, failed 502 or 504; the last three carry problem
details (RFC 9457). A request that isn't one (no good token, no such lesson) gets a 4xx and is not taken.
"""

from __future__ import annotations

import re
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, replace
from math import ceil
from urllib.parse import quote

from pydantic import ValidationError

from fernweir.entitlement.introspect import IntrospectionDecision, IntrospectionStatus
from fernweir.front.boxlist import BoxList
from fernweir.front.commands import ReplyKind, SessionReply, SessionRequest, SetUp
from fernweir.front.dispatcher import Dispatcher, InvalidServerReplyError, ServerRequest
from fernweir.front.introspection import IntrospectionClient
from fernweir.front.manifest import Manifest, ManifestCache, ManifestError
from fernweir.http.client import Reply
from fernweir.http.problem import MEDIA_TYPE, problem
from fernweir.http.server import Exchange
from fernweir.http.target import TargetError, split_target
from fernweir.interface import SessionClass, Settings
from fernweir.tokens import ExpectedClaims, Keyring, ServerClaims, SessionClaims, TokenError, TokenFault

MPD_TYPE = "application/dash+xml"
_PROBLEM = "urn:fernweir:problem:"
_CORS = [("access-control-allow-origin", "*"), ("access-control-expose-headers", "retry-after, location")]
_PREFLIGHT = [
    ("access-control-allow-origin", "*"),
    ("access-control-allow-methods", "GET, HEAD, DELETE, OPTIONS"),
    ("access-control-allow-headers", "authorization, prefer"),
    ("access-control-max-age", "86400"),
]
_WAIT = re.compile(r"wait\s*=\s*(\d{1,6})\s*(?:;|$)")
_BEARER = re.compile(r"[Bb][Ee][Aa][Rr][Ee][Rr] +([A-Za-z0-9._~+/-]+=*)")
_VIA = "dash"
_SIGNED_KEPT = 1_024


@dataclass(frozen=True, slots=True)
class TokenRules:
    """Who issues tokens to viewers, for whom, and how long a box's token holds (seconds)."""

    issuer: str | None
    audience: str
    box_audience: str
    box_life_s: float


class _RefusedError(Exception):
    """The request is answered with this status and not taken."""

    def __init__(self, status: int, kind: str, title: str, headers: tuple[tuple[str, str], ...] = ()) -> None:
        super().__init__(title)
        self.status, self.kind, self.title, self.headers = status, kind, title, headers


class DashService:
    """Takes viewers' requests, and is the carrier of their set-ups."""

    def __init__(
        self,
        core: Dispatcher,
        boxes: BoxList,
        settings: Settings,
        classes: dict[str, int],
        keyring: Keyring,
        rules: TokenRules,
        *,
        front: str,
        public_url: str,
        wall_s: Callable[[], float],
        most_waiting: int = 10_000,
        desk: IntrospectionClient | None = None,
        plays_unanswered: frozenset[str] = frozenset(),
    ) -> None:
        self.core, self.boxes, self.settings, self.classes = core, boxes, settings, classes
        self.keyring, self.rules, self.front = keyring, rules, front
        self.public_url = public_url.rstrip("/")
        self._wall_s, self._most_waiting = wall_s, most_waiting
        self._desk, self._plays_unanswered = desk, plays_unanswered
        self._manifests = ManifestCache(len(settings.rung_rates_kbyte_s))
        self._signed: OrderedDict[tuple[str, int, int, int, tuple[str, int] | None], tuple[str, float]] = (
            OrderedDict()
        )
        self._seeking: dict[
            int, Callable[[SessionReply | None], None]
        ] = {}  # by ticket: asked of other fronts
        core.set_up_codecs[_VIA] = self

    # --- viewers ---

    def handle(self, exchange: Exchange) -> None:
        """Answers a request now, or takes it."""
        self._guard(exchange, lambda: self._route(exchange))

    def _guard(self, exchange: Exchange, do: Callable[[], None]) -> None:
        try:
            do()
        except _RefusedError as refused:
            if refused.status == 401:
                self.core.log.info("token refused", why=refused.title, peer=exchange.connection_id)
            body = problem(refused.status, refused.title, kind=_PROBLEM + refused.kind)
            exchange.respond(refused.status, [*_CORS, *refused.headers, ("content-type", MEDIA_TYPE)], body)

    def _route(self, exchange: Exchange) -> None:
        try:
            path, query = split_target(exchange.head.target)
        except TargetError as error:
            raise _RefusedError(400, "bad-target", str(error)) from None
        if len(path) != 3 or path[0] != "lessons" or path[2] not in ("manifest.mpd", "session"):
            raise _RefusedError(404, "not-found", "no such resource")
        allowed = ("GET", "HEAD") if path[2] == "manifest.mpd" else ("DELETE",)
        if exchange.method == "OPTIONS":
            exchange.respond(204, _PREFLIGHT)
            return
        if exchange.method not in allowed:
            raise _RefusedError(
                405, "method", "method not allowed", (("allow", ", ".join((*allowed, "OPTIONS"))),)
            )
        token, in_query = _bearer(exchange, query)
        claims: SessionClaims | None = None
        opaque = self._desk is not None and token != "" and token.count(".") != 2
        if not opaque:
            claims = self._claims(token)
        if self._desk is not None and (opaque or self._desk.all_tokens):
            self._introspect(self._desk, exchange, path, token, claims, in_query)
        else:
            assert claims is not None
            self._proceed(exchange, path, claims, in_query, 0.0)

    def _introspect(
        self,
        desk: IntrospectionClient,
        exchange: Exchange,
        path: list[str],
        token: str,
        claims: SessionClaims | None,
        in_query: bool,
    ) -> None:
        """Goes on when the issuer has said whether the token is active, or its time for that is over.

        At most half of what the viewer waits is spent on the question; the rest is for its set-up.
        """
        if self.core.sessions.is_closing or len(desk) >= self._most_waiting:
            raise _RefusedError(503, "busy", "too many requests wait", (("retry-after", "1"),))
        kinds = self.settings.classes
        kind = kinds[self.classes[claims.cls]] if claims else min(kinds, key=lambda one: one.deadline_ms)
        begun = self.core.now()

        def judged(said: IntrospectionDecision) -> None:
            if not exchange.gone:
                exchange.on_gone = None
                self._guard(exchange, lambda: go_on(said))

        def go_on(said: IntrospectionDecision) -> None:
            if said.status is IntrospectionStatus.INACTIVE:
                raise _challenge(TokenError(TokenFault.INACTIVE))
            known = claims
            if said.status is IntrospectionStatus.UNKNOWN and (
                claims is None or claims.cls not in self._plays_unanswered
            ):
                raise _RefusedError(
                    503, "refused", "the token's issuer did not answer", (("retry-after", "1"),)
                )
            if known is None:
                known = self._claims_told(said)
            self._proceed(exchange, path, known, in_query, self.core.now() - begun)

        number = desk.look_up(token, wait_ms(exchange, kind) / 2.0, judged)
        exchange.on_gone = lambda: desk.withdraw(number)

    def _claims_told(self, said: IntrospectionDecision) -> SessionClaims:
        """The claims of an opaque token, held to the same rules as a signed one's."""
        try:
            claims = SessionClaims.model_validate(dict(said.claims))
        except ValidationError:
            raise _challenge(TokenError(TokenFault.CLAIMS)) from None
        if self.rules.issuer is not None and claims.iss != self.rules.issuer:
            raise _challenge(TokenError(TokenFault.ISSUER, claims.iss))
        if self.rules.audience not in ([claims.aud] if isinstance(claims.aud, str) else claims.aud):
            raise _challenge(TokenError(TokenFault.AUDIENCE))
        if claims.cls not in self.classes:
            raise _challenge(TokenError(TokenFault.CLAIMS, "cls"))
        return claims

    def _proceed(
        self, exchange: Exchange, path: list[str], claims: SessionClaims, in_query: bool, spent_ms: float
    ) -> None:
        if claims.title != path[1]:
            raise _challenge(TokenError(TokenFault.TITLE, "the token is for another lesson"))
        if exchange.method in ("DELETE", "HEAD"):
            held, finder = self.core.sessions.session(claims.jti), self.core.session_locator
            if held is None and finder is not None:
                what = "end" if exchange.method == "DELETE" else "look"
                finder.query_session(
                    claims.jti, what, lambda found: self._guard(exchange, lambda: self._say(exchange, found))
                )
            elif exchange.method == "DELETE":
                ended = self.core.sessions.release_session(self.core.now(), claims.jti)
                self.core.schedule_step()
                self._say(exchange, ended)
            else:
                self._say(exchange, held is not None and held.informed_viewers > 0)
        else:
            self._take(exchange, claims, in_query, spent_ms)

    def _say(self, exchange: Exchange, plays: bool | None) -> None:
        """Answers a request to look for a session, or to end it; None where nobody can say just now."""
        if exchange.gone:
            return
        if plays is None:
            why = "the session is between two fronts"
            raise _RefusedError(503, "refused", why, (("retry-after", "1"),))
        if not plays:
            raise _RefusedError(404, "no-session", "no such session plays here")
        if exchange.method == "DELETE":
            exchange.respond(204, _CORS)
        else:
            exchange.respond(200, [*_CORS, ("content-type", MPD_TYPE), ("cache-control", "no-store")])

    def _claims(self, token: str) -> SessionClaims:
        try:
            claims = self.keyring.verify_renewable(
                token,
                SessionClaims,
                ExpectedClaims(self.rules.audience, self.rules.issuer),
                now_s=self._wall_s(),
                is_renewed=self._covered,
            )
        except TokenError as error:
            raise _challenge(error) from None
        if claims.cls not in self.classes:
            raise _challenge(TokenError(TokenFault.CLAIMS, "cls"))
        return claims

    def _covered(self, claims: SessionClaims) -> bool:
        """A session that plays on a renewed lease may ask for its manifest with the token it began with."""
        keeper, held = self.core.entitlement_check, self.core.sessions.session(claims.jti)
        return (
            keeper is not None
            and held is not None
            and held.informed_viewers > 0
            and keeper.is_entitled(claims.jti)
        )

    def _take(self, exchange: Exchange, claims: SessionClaims, in_query: bool, spent_ms: float) -> None:
        if not self.boxes.epoch:
            raise _RefusedError(503, "no-list", "the list of boxes is not here yet", (("retry-after", "1"),))
        lesson = self.boxes.lessons.get(claims.title)
        if lesson is None:
            raise _RefusedError(404, "no-lesson", "no such lesson")
        if self.core.sessions.is_closing or len(self.core.sessions.reply_ledger) >= self._most_waiting:
            why = "front is stopping" if self.core.sessions.is_closing else "too many requests wait"
            raise _RefusedError(503, "busy", why, (("retry-after", "1"), ("connection", "close")))
        cls = self.classes[claims.cls]
        kind = self.settings.classes[cls]
        if min(claims.top, kind.top_rung) < kind.lowest_rung:
            raise _RefusedError(403, "no-rung", "this viewer can use no rung that its class may play")
        ask = SessionRequest(
            ticket=self.core.next_ticket(),
            protocol=_VIA,
            session_id=claims.jti,
            subject=claims.sub,
            title_name=claims.title,
            title=lesson.number,
            first_zone=lesson.first_cell,
            replicas=lesson.copies,
            class_index=cls,
            top_rung=claims.top,
            max_wait_ms=max(wait_ms(exchange, kind) - spent_ms, 0.0),
            tenant=claims.tenant or "",
        )
        location = f"{self.public_url}/lessons/{quote(claims.title, safe='')}/manifest.mpd"
        if in_query:
            location += exchange.head.target[exchange.head.target.index("?") :]
        finder, begun = self.core.session_locator, self.core.now()

        def here(ask: SessionRequest) -> None:
            exchange.on_gone = lambda: self.core.withdraw_request(ask.ticket)
            exchange.on_left = lambda: self.core.on_client_half_closed(ask.ticket)
            self.core.submit(ask, lambda answer: self._answer(exchange, answer, location))
            if exchange.left:  # before it was taken: what plays is still answered so
                self.core.on_client_half_closed(ask.ticket)

        def found(answer: SessionReply | None) -> None:
            if self._seeking.pop(ask.ticket, None) is None or exchange.gone:
                return
            if answer is not None:
                self._answer(exchange, answer, location)
            else:
                here(replace(ask, max_wait_ms=max(ask.max_wait_ms - (self.core.now() - begun), 0.0)))

        if finder is None or self.core.sessions.session(ask.session_id) is not None:
            here(ask)
        else:
            self._seeking[ask.ticket] = found
            finder.request_reply(ask, found)

    def give_up(self) -> None:
        """The front stops: who waits for what other fronts say is answered now."""
        for ticket, found in list(self._seeking.items()):
            found(SessionReply(ticket, ReplyKind.REJECTED, "front is stopping", 1_000.0))

    def _answer(self, exchange: Exchange, answer: SessionReply, location: str) -> None:
        if exchange.gone:
            return
        try:
            self._write_answer(exchange, answer, location)
        except Exception:  # a bug met by one answer must not leave its viewer waiting for it
            if not exchange.answered:
                exchange.on_gone = None
                exchange.respond(500, [*_CORS, ("connection", "close")])
            raise

    def _write_answer(self, exchange: Exchange, answer: SessionReply, location: str) -> None:
        if answer.kind is ReplyKind.PLAYS and answer.request is not None:
            body = self._document(answer, location)
            if body is not None:
                fields = [("content-type", MPD_TYPE), ("cache-control", "no-store")]
                exchange.on_gone = lambda: self.core.on_reply_undelivered(answer)
                exchange.respond(200, [*_CORS, *fields], body)
                return
            answer = SessionReply(answer.ticket, ReplyKind.FAILED, "its box is no longer listed")
        status, kind, fields = 503, "refused", []
        if answer.kind is ReplyKind.REJECTED:
            fields = [("retry-after", str(max(ceil(answer.retry_after_ms / 1000.0), 0)))]
        elif answer.kind is ReplyKind.CONFLICT:
            status, kind = 409, "conflict"
        else:
            status, kind = (504, "timed-out") if answer.is_timeout else (502, "failed")
        wait = answer.retry_after_ms if answer.kind is ReplyKind.REJECTED else None
        body = problem(status, answer.reason, kind=_PROBLEM + kind, retry_after_ms=wait)
        exchange.respond(status, [*_CORS, *fields, ("content-type", MEDIA_TYPE)], body)

    def _document(self, answer: SessionReply, location: str) -> bytes | None:
        ask, manifest = answer.request, answer.payload
        address = self.boxes.address(answer.server)
        if ask is None or address is None or not isinstance(manifest, Manifest):
            return None
        base = f"http://{address[0]}:{address[1]}/lessons/{quote(ask.title_name, safe='')}/"
        lowest = self.settings.classes[ask.class_index].lowest_rung
        token = self._box_token(ask, answer.server, answer.attempt, answer.rung)
        return self._manifests.render(
            manifest, lowest, answer.rung, base, f"box-{answer.server}", location, f"token={token}"
        )

    # --- boxes ---

    def request(self, command: SetUp) -> ServerRequest:
        ask = command.request
        token = self._box_token(ask, command.server, command.attempt, command.rung)
        target = f"/lessons/{quote(ask.title_name, safe='')}/manifest.mpd"
        return ServerRequest("GET", target, (("authorization", f"Bearer {token}"), ("accept", MPD_TYPE)))

    def accept(self, command: SetUp, reply: Reply) -> object:
        kind = self.settings.classes[command.request.class_index]
        if reply.status != 200 or not reply.headers.get("content-type").startswith(MPD_TYPE):
            raise InvalidServerReplyError(
                f"status {reply.status} with {reply.headers.get('content-type')[:40]}, no MPD"
            )
        top = min(command.request.top_rung, kind.top_rung)
        try:
            return self._manifests.judge(reply.body, kind.lowest_rung, max(top, kind.lowest_rung))
        except ManifestError as error:
            raise InvalidServerReplyError(f"manifest: {error}") from None

    def pack(self, payload: object) -> tuple[bytes, bytes]:
        if not isinstance(payload, Manifest):
            return b"", b""
        return payload.digest, payload.body

    def unpack(self, cls: int, top_rung: int, data: bytes) -> object:
        kind = self.settings.classes[cls]
        try:
            top = max(min(top_rung, kind.top_rung), kind.lowest_rung)
            return self._manifests.judge(data, kind.lowest_rung, top)
        except ManifestError as error:
            raise InvalidServerReplyError(f"manifest: {error}") from None

    def _box_token(self, ask: SessionRequest, server: int, attempt: int, rung: int) -> str:
        """The token of one attempt; the viewer's document mostly carries the one of its set-up."""
        owner = self.core.channel_ownership
        under = owner.fence(ask.session_id) if owner is not None else None
        key, now = (ask.session_id, server, attempt, rung, under), self._wall_s()
        signed = self._signed.get(key)
        if signed is not None and now < signed[1]:
            return signed[0]
        token = self._sign_box_token(ask, server, attempt, rung, now, under)
        self._signed[key] = (token, now + self.rules.box_life_s / 2.0)
        if len(self._signed) > _SIGNED_KEPT:
            self._signed.popitem(last=False)
        return token

    def _sign_box_token(
        self,
        ask: SessionRequest,
        server: int,
        attempt: int,
        rung: int,
        now: float,
        under: tuple[str, int] | None,
    ) -> str:
        channel, fence = under or (None, 0)
        return self.keyring.sign(
            ServerClaims(
                iss=self.front,
                aud=f"{self.rules.box_audience}:{server}",
                iat=int(now),
                exp=int(now + self.rules.box_life_s),
                sub=ask.subject,
                jti=ask.session_id,
                title=ask.title_name,
                cls=self.settings.classes[ask.class_index].name,
                top=min(ask.top_rung, self.settings.classes[ask.class_index].top_rung),
                front=self.front,
                attempt=attempt,
                rung=rung,
                channel=channel,
                fence=fence,
            )
        )


def wait_ms(exchange: Exchange, kind: SessionClass) -> float:
    """How long the viewer waits: its class's deadline, or less by `Prefer: wait` (RFC 7240, 4.3)."""
    for value in exchange.headers.all("prefer"):
        for part in value.split(","):
            match = _WAIT.match(part.strip())
            if match is not None:
                return min(float(match[1]) * 1000.0, kind.deadline_ms)
    return kind.deadline_ms


def _bearer(exchange: Exchange, query: dict[str, str]) -> tuple[str, bool]:
    """The token, and whether it came as a query parameter (RFC 6750, 2.1 and 2.3)."""
    fields = exchange.headers.all("authorization")
    in_query = "access_token" in query
    if len(fields) + in_query > 1:
        raise _RefusedError(400, "bad-request", "more than one token in a request")
    if not fields:
        return query.get("access_token", ""), in_query
    match = _BEARER.fullmatch(fields[0].strip())
    if match is None:
        raise _challenge(TokenError(TokenFault.MALFORMED, "not a Bearer token"))
    return match[1], in_query


def _challenge(error: TokenError) -> _RefusedError:
    """401 as in RFC 6750, section 3; a request with no token at all is told no error code."""
    challenge = 'Bearer realm="lessons"'
    if error.fault is not TokenFault.MISSING:
        challenge += f', error="invalid_token", error_description="{error.fault.value}"'
    return _RefusedError(401, f"token:{error.fault.value}", str(error), (("www-authenticate", challenge),))
