"""The DASH service: a viewer requests a title's manifest with a session token and gets exactly one reply.

The reply is 200 with an MPD if the session plays, 503 with `Retry-After` if the request is rejected, and 502
or 504 if it fails; the last three carry problem details (RFC 9457). An invalid request (no valid token, no
such title) gets a 4xx and starts no session.
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
from fernweir.front.commands import ReplyKind, SessionReply, SessionRequest, SetUp
from fernweir.front.dispatcher import Dispatcher, InvalidServerReplyError, ServerRequest
from fernweir.front.endpoint_list import EndpointList
from fernweir.front.introspection import IntrospectionClient
from fernweir.front.manifest import Manifest, ManifestCache, ManifestError
from fernweir.http.client import Reply
from fernweir.http.problem import MEDIA_TYPE, problem
from fernweir.http.server import Exchange
from fernweir.http.target import TargetError, split_target
from fernweir.interface import SessionClass, Settings
from fernweir.tokens import ExpectedClaims, Keyring, ServerClaims, SessionClaims, TokenError, TokenFault

MPD_TYPE = "application/dash+xml"
_PROBLEM_PREFIX = "urn:fernweir:problem:"
_CORS_HEADERS = [
    ("access-control-allow-origin", "*"),
    ("access-control-expose-headers", "retry-after, location"),
]
_PREFLIGHT_HEADERS = [
    ("access-control-allow-origin", "*"),
    ("access-control-allow-methods", "GET, HEAD, DELETE, OPTIONS"),
    ("access-control-allow-headers", "authorization, prefer"),
    ("access-control-max-age", "86400"),
]
_PREFER_WAIT = re.compile(r"wait\s*=\s*(\d{1,6})\s*(?:;|$)")
_BEARER_TOKEN = re.compile(r"[Bb][Ee][Aa][Rr][Ee][Rr] +([A-Za-z0-9._~+/-]+=*)")
_PROTOCOL = "dash"
_MAX_CACHED_TOKENS = 1_024


@dataclass(frozen=True, slots=True)
class TokenRules:
    """The issuer and audience of viewers' tokens, and the audience and lifetime of a server's token."""

    issuer: str | None
    audience: str
    server_audience: str
    server_token_ttl_s: float


class _RequestRejectedError(Exception):
    """Raised for a request that is answered with this status and starts no session."""

    def __init__(
        self, status: int, problem_type: str, title: str, headers: tuple[tuple[str, str], ...] = ()
    ) -> None:
        super().__init__(title)
        self.status, self.problem_type, self.title, self.headers = status, problem_type, title, headers


class DashService:
    """Handles viewers' requests, and is the codec of their set-ups."""

    def __init__(
        self,
        core: Dispatcher,
        endpoint_list: EndpointList,
        settings: Settings,
        classes: dict[str, int],
        keyring: Keyring,
        rules: TokenRules,
        *,
        front: str,
        public_url: str,
        wall_s: Callable[[], float],
        max_waiting: int = 10_000,
        introspection: IntrospectionClient | None = None,
        fail_open_classes: frozenset[str] = frozenset(),
    ) -> None:
        self.core, self.endpoint_list, self.settings, self.classes = core, endpoint_list, settings, classes
        self.keyring, self.rules, self.front = keyring, rules, front
        self.public_url = public_url.rstrip("/")
        self._wall_s, self._max_waiting = wall_s, max_waiting
        self._introspection, self._fail_open_classes = introspection, fail_open_classes
        self._manifests = ManifestCache(len(settings.rung_rates_kbyte_s))
        self._server_tokens: OrderedDict[
            tuple[str, int, int, int, tuple[str, int] | None], tuple[str, float]
        ] = OrderedDict()
        self._forwarded: dict[
            int, Callable[[SessionReply | None], None]
        ] = {}  # by ticket: requests whose session is looked up at other fronts
        core.set_up_codecs[_PROTOCOL] = self

    # --- viewers ---

    def handle(self, exchange: Exchange) -> None:
        """Replies to a request now, or starts or joins a session for it."""
        self._reply_on_rejection(exchange, lambda: self._route(exchange))

    def _reply_on_rejection(self, exchange: Exchange, action: Callable[[], None]) -> None:
        try:
            action()
        except _RequestRejectedError as rejection:
            if rejection.status == 401:
                self.core.log.info("token rejected", why=rejection.title, peer=exchange.connection_id)
            body = problem(rejection.status, rejection.title, kind=_PROBLEM_PREFIX + rejection.problem_type)
            exchange.respond(
                rejection.status, [*_CORS_HEADERS, *rejection.headers, ("content-type", MEDIA_TYPE)], body
            )

    def _route(self, exchange: Exchange) -> None:
        try:
            path, query = split_target(exchange.head.target)
        except TargetError as error:
            raise _RequestRejectedError(400, "bad-target", str(error)) from None
        if len(path) != 3 or path[0] != "lessons" or path[2] not in ("manifest.mpd", "session"):
            raise _RequestRejectedError(404, "not-found", "no such resource")
        allowed = ("GET", "HEAD") if path[2] == "manifest.mpd" else ("DELETE",)
        if exchange.method == "OPTIONS":
            exchange.respond(204, _PREFLIGHT_HEADERS)
            return
        if exchange.method not in allowed:
            raise _RequestRejectedError(
                405, "method", "method not allowed", (("allow", ", ".join((*allowed, "OPTIONS"))),)
            )
        token, in_query = _bearer(exchange, query)
        claims: SessionClaims | None = None
        is_opaque = self._introspection is not None and token != "" and token.count(".") != 2
        if not is_opaque:
            claims = self._verify_token(token)
        if self._introspection is not None and (is_opaque or self._introspection.all_tokens):
            self._introspect(self._introspection, exchange, path, token, claims, in_query)
        else:
            assert claims is not None
            self._proceed(exchange, path, claims, in_query, 0.0)

    def _introspect(
        self,
        introspection: IntrospectionClient,
        exchange: Exchange,
        path: list[str],
        token: str,
        claims: SessionClaims | None,
        in_query: bool,
    ) -> None:
        """Proceeds when the issuer has stated whether the token is active, or when that timed out.

        Introspection may use at most half of the viewer's wait; the rest is left for the set-up.
        """
        if self.core.sessions.is_closing or len(introspection) >= self._max_waiting:
            raise _RequestRejectedError(503, "busy", "too many requests wait", (("retry-after", "1"),))
        classes = self.settings.classes
        session_class = (
            classes[self.classes[claims.cls]] if claims else min(classes, key=lambda one: one.deadline_ms)
        )
        started_at = self.core.now()

        def on_decision(decision: IntrospectionDecision) -> None:
            if not exchange.connection_lost:
                exchange.on_connection_lost = None
                self._reply_on_rejection(exchange, lambda: proceed(decision))

        def proceed(decision: IntrospectionDecision) -> None:
            if decision.status is IntrospectionStatus.INACTIVE:
                raise _challenge(TokenError(TokenFault.INACTIVE))
            verified_claims = claims
            if decision.status is IntrospectionStatus.UNKNOWN and (
                claims is None or claims.cls not in self._fail_open_classes
            ):
                raise _RequestRejectedError(
                    503, "refused", "the token's issuer did not answer", (("retry-after", "1"),)
                )
            if verified_claims is None:
                verified_claims = self._read_introspected_claims(decision)
            self._proceed(exchange, path, verified_claims, in_query, self.core.now() - started_at)

        number = introspection.look_up(token, wait_ms(exchange, session_class) / 2.0, on_decision)
        exchange.on_connection_lost = lambda: introspection.withdraw(number)

    def _read_introspected_claims(self, decision: IntrospectionDecision) -> SessionClaims:
        """Returns the claims of an opaque token; the rules are the same as for a signed token."""
        try:
            claims = SessionClaims.model_validate(dict(decision.claims))
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
            session, locator = self.core.sessions.session(claims.jti), self.core.session_locator
            if session is None and locator is not None:
                query = "end" if exchange.method == "DELETE" else "look"
                locator.query_session(
                    claims.jti,
                    query,
                    lambda plays: self._reply_on_rejection(
                        exchange, lambda: self._reply_to_query(exchange, plays)
                    ),
                )
            elif exchange.method == "DELETE":
                ended = self.core.sessions.release_session(self.core.now(), claims.jti)
                self.core.schedule_step()
                self._reply_to_query(exchange, ended)
            else:
                self._reply_to_query(exchange, session is not None and session.informed_viewers > 0)
        else:
            self._request_session(exchange, claims, in_query, spent_ms)

    def _reply_to_query(self, exchange: Exchange, plays: bool | None) -> None:
        """Replies to a request to look up or end a session; `plays` is None if that is undecided now."""
        if exchange.connection_lost:
            return
        if plays is None:
            reason = "the session is between two fronts"
            raise _RequestRejectedError(503, "refused", reason, (("retry-after", "1"),))
        if not plays:
            raise _RequestRejectedError(404, "no-session", "no such session plays here")
        if exchange.method == "DELETE":
            exchange.respond(204, _CORS_HEADERS)
        else:
            exchange.respond(200, [*_CORS_HEADERS, ("content-type", MPD_TYPE), ("cache-control", "no-store")])

    def _verify_token(self, token: str) -> SessionClaims:
        try:
            claims = self.keyring.verify_renewable(
                token,
                SessionClaims,
                ExpectedClaims(self.rules.audience, self.rules.issuer),
                now_s=self._wall_s(),
                is_renewed=self._has_renewed_lease,
            )
        except TokenError as error:
            raise _challenge(error) from None
        if claims.cls not in self.classes:
            raise _challenge(TokenError(TokenFault.CLAIMS, "cls"))
        return claims

    def _has_renewed_lease(self, claims: SessionClaims) -> bool:
        """Whether the session plays on a renewed lease, so that its expired first token is still accepted."""
        entitlement_check, session = self.core.entitlement_check, self.core.sessions.session(claims.jti)
        return (
            entitlement_check is not None
            and session is not None
            and session.informed_viewers > 0
            and entitlement_check.is_entitled(claims.jti)
        )

    def _request_session(
        self, exchange: Exchange, claims: SessionClaims, in_query: bool, spent_ms: float
    ) -> None:
        if not self.endpoint_list.epoch:
            raise _RequestRejectedError(
                503, "no-list", "the list of boxes is not here yet", (("retry-after", "1"),)
            )
        title = self.endpoint_list.titles.get(claims.title)
        if title is None:
            raise _RequestRejectedError(404, "no-lesson", "no such lesson")
        if self.core.sessions.is_closing or len(self.core.sessions.reply_ledger) >= self._max_waiting:
            reason = "front is stopping" if self.core.sessions.is_closing else "too many requests wait"
            raise _RequestRejectedError(503, "busy", reason, (("retry-after", "1"), ("connection", "close")))
        class_index = self.classes[claims.cls]
        session_class = self.settings.classes[class_index]
        if min(claims.top, session_class.top_rung) < session_class.lowest_rung:
            raise _RequestRejectedError(403, "no-rung", "this viewer can use no rung that its class may play")
        request = SessionRequest(
            ticket=self.core.next_ticket(),
            protocol=_PROTOCOL,
            session_id=claims.jti,
            subject=claims.sub,
            title_name=claims.title,
            title=title.number,
            first_zone=title.first_zone,
            replicas=title.replicas,
            class_index=class_index,
            top_rung=claims.top,
            max_wait_ms=max(wait_ms(exchange, session_class) - spent_ms, 0.0),
            tenant=claims.tenant or "",
        )
        location = f"{self.public_url}/lessons/{quote(claims.title, safe='')}/manifest.mpd"
        if in_query:
            location += exchange.head.target[exchange.head.target.index("?") :]
        locator, started_at = self.core.session_locator, self.core.now()

        def submit(request: SessionRequest) -> None:
            exchange.on_connection_lost = lambda: self.core.withdraw_request(request.ticket)
            exchange.on_half_closed = lambda: self.core.on_client_half_closed(request.ticket)
            self.core.submit(request, lambda reply: self._reply(exchange, reply, location))
            # Half-closed before the submission; a playing session is still confirmed.
            if exchange.half_closed:
                self.core.on_client_half_closed(request.ticket)

        def on_located(reply: SessionReply | None) -> None:
            if self._forwarded.pop(request.ticket, None) is None or exchange.connection_lost:
                return
            if reply is not None:
                self._reply(exchange, reply, location)
            else:
                submit(
                    replace(
                        request, max_wait_ms=max(request.max_wait_ms - (self.core.now() - started_at), 0.0)
                    )
                )

        if locator is None or self.core.sessions.session(request.session_id) is not None:
            submit(request)
        else:
            self._forwarded[request.ticket] = on_located
            locator.request_reply(request, on_located)

    def reject_forwarded(self) -> None:
        """Rejects the requests that still wait for other fronts, because this front is stopping."""
        for ticket, on_located in list(self._forwarded.items()):
            on_located(SessionReply(ticket, ReplyKind.REJECTED, "front is stopping", 1_000.0))

    def _reply(self, exchange: Exchange, reply: SessionReply, location: str) -> None:
        if exchange.connection_lost:
            return
        try:
            self._write_reply(exchange, reply, location)
        except Exception:  # a bug in one reply must not leave its viewer waiting
            if not exchange.answered:
                exchange.on_connection_lost = None
                exchange.respond(500, [*_CORS_HEADERS, ("connection", "close")])
            raise

    def _write_reply(self, exchange: Exchange, reply: SessionReply, location: str) -> None:
        if reply.kind is ReplyKind.PLAYS and reply.request is not None:
            body = self._render_manifest(reply, location)
            if body is not None:
                headers = [("content-type", MPD_TYPE), ("cache-control", "no-store")]
                exchange.on_connection_lost = lambda: self.core.on_reply_undelivered(reply)
                exchange.respond(200, [*_CORS_HEADERS, *headers], body)
                return
            reply = SessionReply(reply.ticket, ReplyKind.FAILED, "its box is no longer listed")
        status, problem_type, headers = 503, "refused", []
        if reply.kind is ReplyKind.REJECTED:
            headers = [("retry-after", str(max(ceil(reply.retry_after_ms / 1000.0), 0)))]
        elif reply.kind is ReplyKind.CONFLICT:
            status, problem_type = 409, "conflict"
        else:
            status, problem_type = (504, "timed-out") if reply.is_timeout else (502, "failed")
        retry_after_ms = reply.retry_after_ms if reply.kind is ReplyKind.REJECTED else None
        body = problem(
            status, reply.reason, kind=_PROBLEM_PREFIX + problem_type, retry_after_ms=retry_after_ms
        )
        exchange.respond(status, [*_CORS_HEADERS, *headers, ("content-type", MEDIA_TYPE)], body)

    def _render_manifest(self, reply: SessionReply, location: str) -> bytes | None:
        request, manifest = reply.request, reply.payload
        address = self.endpoint_list.address(reply.server)
        if request is None or address is None or not isinstance(manifest, Manifest):
            return None
        base_url = f"http://{address[0]}:{address[1]}/lessons/{quote(request.title_name, safe='')}/"
        lowest = self.settings.classes[request.class_index].lowest_rung
        token = self._server_token(request, reply.server, reply.attempt, reply.rung)
        return self._manifests.render(
            manifest, lowest, reply.rung, base_url, f"box-{reply.server}", location, f"token={token}"
        )

    # --- servers ---

    def request(self, command: SetUp) -> ServerRequest:
        """Returns the request for a set-up, with its token."""
        request = command.request
        token = self._server_token(request, command.server, command.attempt, command.rung)
        target = f"/lessons/{quote(request.title_name, safe='')}/manifest.mpd"
        return ServerRequest("GET", target, (("authorization", f"Bearer {token}"), ("accept", MPD_TYPE)))

    def accept(self, command: SetUp, reply: Reply) -> object:
        """Returns the manifest of a server's reply. Raises InvalidServerReplyError if it cannot be used."""
        session_class = self.settings.classes[command.request.class_index]
        if reply.status != 200 or not reply.headers.get("content-type").startswith(MPD_TYPE):
            raise InvalidServerReplyError(
                f"status {reply.status} with {reply.headers.get('content-type')[:40]}, no MPD"
            )
        top = min(command.request.top_rung, session_class.top_rung)
        try:
            return self._manifests.validate(
                reply.body, session_class.lowest_rung, max(top, session_class.lowest_rung)
            )
        except ManifestError as error:
            raise InvalidServerReplyError(f"manifest: {error}") from None

    def pack(self, payload: object) -> tuple[bytes, bytes]:
        """Returns the digest and the bytes of a manifest; both are empty if there is none."""
        if not isinstance(payload, Manifest):
            return b"", b""
        return payload.digest, payload.body

    def unpack(self, class_index: int, top_rung: int, data: bytes) -> object:
        """Returns the manifest that another front packed, for a viewer of that class.

        Raises InvalidServerReplyError if it cannot be used.
        """
        session_class = self.settings.classes[class_index]
        try:
            top = max(min(top_rung, session_class.top_rung), session_class.lowest_rung)
            return self._manifests.validate(data, session_class.lowest_rung, top)
        except ManifestError as error:
            raise InvalidServerReplyError(f"manifest: {error}") from None

    def _server_token(self, request: SessionRequest, server: int, attempt: int, rung: int) -> str:
        """Returns the token of one attempt; the viewer's document usually has that of its set-up."""
        ownership = self.core.channel_ownership
        channel_fence = ownership.fence(request.session_id) if ownership is not None else None
        key, now = (request.session_id, server, attempt, rung, channel_fence), self._wall_s()
        cached = self._server_tokens.get(key)
        if cached is not None and now < cached[1]:
            return cached[0]
        token = self._sign_server_token(request, server, attempt, rung, now, channel_fence)
        self._server_tokens[key] = (token, now + self.rules.server_token_ttl_s / 2.0)
        if len(self._server_tokens) > _MAX_CACHED_TOKENS:
            self._server_tokens.popitem(last=False)
        return token

    def _sign_server_token(
        self,
        request: SessionRequest,
        server: int,
        attempt: int,
        rung: int,
        now: float,
        channel_fence: tuple[str, int] | None,
    ) -> str:
        channel, fence = channel_fence or (None, 0)
        return self.keyring.sign(
            ServerClaims(
                iss=self.front,
                aud=f"{self.rules.server_audience}:{server}",
                iat=int(now),
                exp=int(now + self.rules.server_token_ttl_s),
                sub=request.subject,
                jti=request.session_id,
                title=request.title_name,
                cls=self.settings.classes[request.class_index].name,
                top=min(request.top_rung, self.settings.classes[request.class_index].top_rung),
                front=self.front,
                attempt=attempt,
                rung=rung,
                channel=channel,
                fence=fence,
            )
        )


def wait_ms(exchange: Exchange, session_class: SessionClass) -> float:
    """Returns how long the viewer waits: its class's deadline, or less by `Prefer: wait` (RFC 7240, 4.3)."""
    for value in exchange.headers.all("prefer"):
        for part in value.split(","):
            match = _PREFER_WAIT.match(part.strip())
            if match is not None:
                return min(float(match[1]) * 1000.0, session_class.deadline_ms)
    return session_class.deadline_ms


def _bearer(exchange: Exchange, query: dict[str, str]) -> tuple[str, bool]:
    """Returns the token, and whether it was a query parameter (RFC 6750, 2.1 and 2.3)."""
    authorizations = exchange.headers.all("authorization")
    in_query = "access_token" in query
    if len(authorizations) + in_query > 1:
        raise _RequestRejectedError(400, "bad-request", "more than one token in a request")
    if not authorizations:
        return query.get("access_token", ""), in_query
    match = _BEARER_TOKEN.fullmatch(authorizations[0].strip())
    if match is None:
        raise _challenge(TokenError(TokenFault.MALFORMED, "not a Bearer token"))
    return match[1], in_query


def _challenge(error: TokenError) -> _RequestRejectedError:
    """Returns a 401 as in RFC 6750, section 3; without a token, the challenge has no error code."""
    challenge = 'Bearer realm="lessons"'
    if error.fault is not TokenFault.MISSING:
        challenge += f', error="invalid_token", error_description="{error.fault.value}"'
    return _RequestRejectedError(
        401, f"token:{error.fault.value}", str(error), (("www-authenticate", challenge),)
    )
