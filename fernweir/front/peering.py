"""The front's adapter for its peers: what they can read and change of this front.

Implements `peers.port.Port` together with `peer_view`. It is loaded only if the settings have a `[peers]`
section.
"""

from __future__ import annotations

import json
from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any

from fernweir.front.commands import ReplyKind, SessionReply, SessionRequest
from fernweir.front.dispatcher import Dispatcher, InvalidServerReplyError
from fernweir.front.endpoint_list import EndpointList, ListError, ServerEntry, read_document
from fernweir.front.peer_view import PeerView
from fernweir.front.server_client import ServerClient
from fernweir.front.session_manager import SessionPhase, SessionRecord
from fernweir.http.client import Outcome, Reply
from fernweir.interface import EndpointListUpdate, Result
from fernweir.peers.acts.versions import boxes_digest
from fernweir.peers.forward.messages import Carried, Carry
from fernweir.peers.port import ClaimResult, SessionStatus

_MAX_CACHED_PAYLOADS = 4_096


class Peering(PeerView):
    """Lets peers read the front's sessions and endpoint list, and take over or hand off sessions.

    `wall_ms` returns the current wall time.
    """

    def __init__(
        self, core: Dispatcher, endpoint_list: EndpointList, client: ServerClient, classes: Mapping[str, int],
        wall_ms: Callable[[], float],
    ) -> None:  # fmt: skip
        super().__init__(core, self, wall_ms)
        self._endpoint_list, self._client, self._classes = endpoint_list, client, classes
        self._class_names = {number: name for name, number in classes.items()}
        self._payloads: OrderedDict[bytes, bytes] = OrderedDict()
        self._handing_over = False
        self._reported_title_revision = -1

    # --- requests of peers (peers.port.Port) ---

    def session_statuses(self) -> list[SessionStatus]:
        """Returns the status of all sessions that play here."""
        return [
            self._session_status(record)
            for record in self._core.sessions.records().values()
            if _is_playing(record)
        ]

    def payload(self, digest: bytes) -> bytes | None:
        """Returns the payload that viewers of a session are answered from, for a takeover by a successor."""
        return self._payloads.get(digest)

    def server_numbers(self) -> list[int]:
        """Returns the servers of the current list."""
        return [server for server, entry in self._endpoint_list.servers.items() if entry.state != "gone"]

    def racks(self) -> list[tuple[str, frozenset[int], float]]:
        """Returns each rack's name, its servers, and the capacity of its uplink in kB/s."""
        settings = self._core.sessions.settings
        servers_by_rack: dict[int, set[int]] = {rack: set() for rack in range(settings.rack_count)}
        for server, entry in self._endpoint_list.servers.items():
            servers_by_rack[entry.cell % settings.rack_count].add(server)
        # If no uplink rate is configured, uplinks are no bottleneck: their capacity is that of all links.
        return [
            (
                str(rack),
                frozenset(servers),
                settings.uplink_rate_kbyte_s or settings.link_rate_per_weight_kbyte_s * max(len(servers), 1),
            )
            for rack, servers in servers_by_rack.items()
        ]

    def endpoint_list_document(self) -> bytes:
        """Returns the current endpoint list, for a peer that does not have it."""
        return self._endpoint_list.to_cache()

    def adopt_endpoint_list(self, now: float, data: bytes, digest: bytes) -> bool:
        """Applies a peer's list if its content has this digest and it is newer within the same epoch."""
        try:
            document = read_document(data)
            rows = _rows(
                document.boxes, [(title.title, title.cell, title.copies) for title in document.lessons]
            )
            # Versions of another incarnation of the list server cannot be compared with the current one, so
            # the list server itself has to send its list.
            if boxes_digest(rows) != digest or document.epoch != self._endpoint_list.epoch:
                return False
            update = self._endpoint_list.apply_full(now, document)
        except (ListError, ValueError) as error:
            self._core.log.warning("endpoint list of a peer rejected", why=str(error))
            return False
        if update is not None:
            self._core.sessions.on_endpoint_list(now, update)
            self._core.schedule_step()
        return update is not None

    def adopt_session(self, now: float, standing: SessionStatus, payload: bytes | None) -> bool:
        """Adopts a session of another front.

        Returns False if the session is here already, or if its server, title, class or protocol is unknown.
        """
        core, title = self._core, self._endpoint_list.titles.get(standing.title)
        class_index, codec = self._classes.get(standing.cls), core.set_up_codecs.get(standing.via)
        if title is None or class_index is None or codec is None:
            return False
        unpacked = None
        if payload is not None:
            try:
                unpacked = codec.unpack(class_index, standing.top_rung, payload)
            except InvalidServerReplyError as error:
                core.log.warning("payload of a takeover rejected", session=standing.session, why=str(error))
            else:
                self._cache_payload(standing.payload, payload)
        request = SessionRequest(
            ticket=0,
            protocol=standing.via,
            session_id=standing.session,
            subject=standing.who,
            title_name=standing.title,
            title=title.number,
            first_zone=title.first_zone,
            replicas=title.replicas,
            class_index=class_index,
            top_rung=standing.top_rung,
            max_wait_ms=0.0,
            tenant=standing.tenant,
            viewer_key=standing.key,
        )
        is_adopted = core.sessions.adopt_session(
            now, request, standing.box, attempt=standing.attempt, rung=standing.rung, payload=unpacked,
            informed_viewers=max(standing.answers, 1), is_answerable=unpacked is not None,
        )  # fmt: skip
        if is_adopted:
            self._client.open_notice_stream(standing.box)
            core.schedule_step()
        return is_adopted

    def on_session_missing(self, now: float, session: str, attempt: int) -> None:
        """Ends a session that was taken over and that no longer runs at its server."""
        self._core.sessions.on_session_ended(now, session, attempt, Result.RESET)
        self._core.schedule_step()

    def relinquish_session(self, now: float, session: str) -> bool:
        """Gives up a session that another front owns now, without ending it at its server."""
        self._handing_over = True  # the session has not ended, so standbys must not be notified of an end
        is_handed_over = self._core.sessions.hand_over_session(now, session)
        self._handing_over = False
        if is_handed_over:
            self._core.schedule_step()
        return is_handed_over

    def release_attempt(
        self, now: float, box: int, session: str, attempt: int, why: str, under: tuple[str, int]
    ) -> None:
        """Ends what runs at a server and is not a session of this front."""
        self._client.release_unowned_session(box, session, attempt, why, under)

    def claim_channel(
        self, box: int, channel: str, fence: int, overlap_ms: float,
        then: Callable[[float, ClaimResult], None], adopt: Sequence[tuple[str, int]] = (),
    ) -> None:  # fmt: skip
        """Claims a channel at a server; `then` is called once, after this has returned."""

        def on_reply(reply: Reply) -> None:
            then(self._core.now(), _read_claim_reply(box, reply))

        self._client.claim_channel(box, channel, fence, overlap_ms, on_reply, adopt)

    def execute_forwarded(self, request: Carry, then: Callable[[float, Carried], None]) -> None:
        """Handles a request that reached another front; `then` is called once with the outcome."""
        core, number = self._core, request.number
        session = core.sessions.session(request.session)
        if session is None:
            then(core.now(), Carried(number, "none"))
        elif request.what == "look":
            then(core.now(), Carried(number, "done" if session.informed_viewers else "none"))
        elif request.what == "end":
            ended = core.sessions.release_session(core.now(), request.session)
            core.schedule_step()
            then(core.now(), Carried(number, "done" if ended else "none"))
        else:
            self._submit_forwarded(request, then)

    def to_session_reply(self, request: SessionRequest, carried: Carried) -> SessionReply | None:
        """Converts another front's outcome to a reply; None if that front has no such session."""
        if carried.kind in ("none", "done"):
            return None
        kind = ReplyKind(carried.kind)
        if kind is not ReplyKind.PLAYS:
            return SessionReply(
                request.ticket,
                kind,
                carried.why,
                carried.retry_ms,
                is_timeout=carried.timed_out,
                request=request,
            )
        try:
            payload = self._core.set_up_codecs[request.protocol].unpack(
                request.class_index, request.top_rung, carried.data
            )
        except InvalidServerReplyError as error:
            return SessionReply(request.ticket, ReplyKind.FAILED, str(error), request=request)
        return SessionReply(
            request.ticket, kind, request=request, server=carried.box, attempt=carried.attempt,
            rung=carried.rung, payload=payload,
        )  # fmt: skip

    # --- session events (SessionObserver) and the list (peer_view) ---

    def on_session_updated(self, now: float, held: SessionRecord) -> None:
        """Reports the status of a session that plays to the peers' listener."""
        if self._listener is not None and _is_playing(held):
            self._listener.on_session_status(now, self._session_status(held))

    def on_session_closed(self, now: float, held: SessionRecord, why: str) -> None:
        """Reports a session's end to the peers' listener, unless it was handed over."""
        if self._listener is None or self._handing_over:
            return
        if _is_playing(held):
            self._listener.on_session_ended(now, held.request.session_id)
        else:
            self._listener.on_session_failed(now, held.request.session_id)

    def named(self, box: int) -> tuple[int, str]:
        """Returns the number and the additional name of a server in audit records."""
        return box, ""

    def draining(self) -> set[int]:
        """Returns the servers that the list marks as draining."""
        return {server for server, entry in self._endpoint_list.servers.items() if entry.state == "draining"}

    def list_rows(self) -> list[tuple[int, Any]]:
        """Returns the list's content; it is the same at every front that applied the same list."""
        self._reported_title_revision = self._endpoint_list.title_revision
        return [*_server_rows(self._endpoint_list.servers.values()), self._title_row()]

    def changed_rows(self, update: EndpointListUpdate) -> list[tuple[int, Any]]:
        """Returns the rows of the servers that an update names, and that of the titles if they changed."""
        entries = self._endpoint_list.servers
        rows = _server_rows(entries[one.server] for one in update.entries)
        if self._reported_title_revision == self._endpoint_list.title_revision:
            return rows
        self._reported_title_revision = self._endpoint_list.title_revision
        return [*rows, self._title_row()]

    def _title_row(self) -> tuple[int, Any]:
        return _title_row(
            (name, placement.first_zone, placement.replicas)
            for name, placement in self._endpoint_list.titles.items()
        )

    # --- helpers ---

    def _submit_forwarded(self, request: Carry, then: Callable[[float, Carried], None]) -> None:
        core, title = self._core, self._endpoint_list.titles.get(request.title)
        class_index, codec = self._classes.get(request.cls), core.set_up_codecs.get(request.via)
        if title is None or class_index is None or codec is None:
            reason = "lesson or class is not known to the session's front"
            then(core.now(), Carried(request.number, "failed", reason))
            return

        def on_reply(reply: SessionReply) -> None:
            digest, data = codec.pack(reply.payload) if reply.kind is ReplyKind.PLAYS else (b"", b"")
            then(
                core.now(),
                Carried(
                    request.number,
                    reply.kind.value,
                    reply.reason[:1_000],
                    reply.retry_after_ms,
                    reply.is_timeout,
                    reply.server,
                    reply.attempt,
                    reply.rung,
                    digest,
                    data,
                ),
            )

        session_request = SessionRequest(
            ticket=core.next_ticket(), protocol=request.via, session_id=request.session, subject=request.who,
            title_name=request.title, title=title.number, first_zone=title.first_zone,
            replicas=title.replicas, class_index=class_index, top_rung=request.top_rung,
            max_wait_ms=request.wait_ms, tenant=request.tenant,
        )  # fmt: skip
        core.submit(session_request, on_reply)

    def _session_status(self, record: SessionRecord) -> SessionStatus:
        request = record.request
        codec = self._core.set_up_codecs[request.protocol]
        digest, data = codec.pack(record.payload)
        if digest:
            self._cache_payload(digest, data)
        return SessionStatus(
            session=request.session_id,
            via=request.protocol,
            who=request.subject,
            title=request.title_name,
            cls=self._class_names[request.class_index],
            top_rung=request.top_rung,
            tenant=request.tenant,
            key=request.viewer_key,
            box=record.server,
            attempt=record.attempt,
            rung=record.rung,
            payload=digest,
            answers=record.informed_viewers,
            spent=record.attempt,
        )

    def _cache_payload(self, digest: bytes, data: bytes) -> None:
        self._payloads[digest] = data
        self._payloads.move_to_end(digest)
        if len(self._payloads) > _MAX_CACHED_PAYLOADS:
            self._payloads.popitem(last=False)


def _rows(entries: Iterable[ServerEntry], titles: Iterable[tuple[str, int, int]]) -> list[tuple[int, Any]]:
    return [*_server_rows(entries), _title_row(titles)]


def _server_rows(entries: Iterable[ServerEntry]) -> list[tuple[int, Any]]:
    return [
        (entry.box, [entry.state, entry.boot, entry.host, entry.port, entry.cell, entry.kind, entry.weight])
        for entry in entries
        if entry.state != "gone"
    ]


def _title_row(titles: Iterable[tuple[str, int, int]]) -> tuple[int, Any]:
    return -1, sorted(map(list, titles))


def _is_playing(record: SessionRecord) -> bool:
    return record.phase is SessionPhase.PLAYING


def _read_claim_reply(server: int, reply: Reply) -> ClaimResult:
    """Reads a server's reply to a claim; a malformed reply counts as a server that was not reached."""
    if reply.outcome is not Outcome.ANSWERED or reply.status not in (200, 409):
        return ClaimResult(server, reached=False)
    try:
        body = json.loads(reply.body)
        sessions = tuple(
            (str(session_id), int(attempt), int(rung)) for session_id, attempt, rung in body["sessions"]
        )
        return ClaimResult(server, True, reply.status == 200, int(body["fence"]), sessions)
    except (ValueError, KeyError, TypeError, RecursionError):
        return ClaimResult(server, reached=False)
